/*
 * wire-peer.c - decoding and checking of peer messages.
 */
#include <string.h>

#include "peer.pb-c.h"
#include "wire/wire-private.h"

/*
 * Memory limit for unpacking a message of N bytes: UNPACK_SLACK_BYTES +
 * UNPACK_FACTOR * N.  A short message of many empty submessages would unpack to
 * fifty times its size; beyond the limit the allocation fails and the message
 * is rejected.
 */
#define UNPACK_SLACK_BYTES (256u << 10)
#define UNPACK_FACTOR 8

struct budget {
	size_t remaining_bytes;
};

static void *allocate_within_budget(void *data, size_t size)
{
	struct budget *budget = data;

	if (size > budget->remaining_bytes)
		return NULL;
	budget->remaining_bytes -= size;
	return g_try_malloc(size);
}

static void free_allocation(void *data, void *pointer)
{
	(void)data;
	g_free(pointer);
}

__attribute__((format(printf, 2, 3))) static bool fail(GError **error,
						       const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX, "peer message: %s", text);
	g_free(text);
	return false;
}

static bool check_name(const char *text, const char *field, GError **error)
{
	if (rr_is_valid_name(text))
		return true;
	return fail(error, "%s is missing or not a valid name", field);
}

/* Copy bytes to a string.  A NUL byte, which would truncate it, is an error. */
static bool copy_text(ProtobufCBinaryData bytes, const char *field, char **text,
		      GError **error)
{
	if (bytes.len && memchr(bytes.data, 0, bytes.len))
		return fail(error, "%s contains a NUL byte", field);
	*text = g_strndup((const char *)bytes.data, bytes.len);
	return true;
}

static bool decode_update(const Ragwort__MemberUpdate *from,
			  struct rr_member_update *update, GError **error)
{
	bool dead = from->state == RR_MEMBER_DEAD;

	if (from->state > RR_MEMBER_DEAD)
		return fail(error, "member state %u, allowed 0 to %d",
			    from->state, RR_MEMBER_DEAD);
	if (!from->incarnation)
		return fail(error, "member update without incarnation");
	if (!check_name(from->instance, "member update's instance", error))
		return false;
	if (!dead && !check_name(from->zone, "member update's zone", error))
		return false;
	if (!dead && !rr_is_valid_address(from->address))
		return fail(error, "member update's address is not IP:PORT");
	update->instance = g_strdup(from->instance);
	update->zone = dead ? NULL : g_strdup(from->zone);
	update->address = dead ? NULL : g_strdup(from->address);
	update->incarnation = from->incarnation;
	update->refutation = from->refutation;
	update->state = (enum rr_member_state)from->state;
	return true;
}

static bool decode_updates(const Ragwort__PeerMessage *from,
			   struct rr_peer_message *message, GError **error)
{
	if (from->n_updates > RR_MAX_PEER_UPDATES)
		return fail(error, "%zu member updates, allowed %d",
			    from->n_updates, RR_MAX_PEER_UPDATES);
	message->updates = g_new0(struct rr_member_update, from->n_updates);
	message->n_updates = from->n_updates;
	for (size_t i = 0; i < from->n_updates; i++) {
		if (!decode_update(from->updates[i], &message->updates[i],
				   error))
			return false;
	}
	return true;
}

static bool decode_relay_shards(const Ragwort__Relay *from,
				struct rr_relay *relay, GError **error)
{
	if (from->n_shards < 1 || from->n_shards > RR_MAX_RELAY_SHARDS)
		return fail(error, "relay of %zu shards, allowed 1 to %d",
			    from->n_shards, RR_MAX_RELAY_SHARDS);
	relay->shards = g_new0(struct rr_relay_shard, from->n_shards);
	relay->n_shards = from->n_shards;
	for (size_t i = 0; i < from->n_shards; i++) {
		const Ragwort__RelayShard *shard = from->shards[i];

		if (!check_name(shard->shard, "relay's shard", error))
			return false;
		if (*shard->replica &&
		    !check_name(shard->replica, "relay's replica", error))
			return false;
		if (shard->oldest_version > shard->newest_version)
			return fail(error, "relay's oldest version is above "
					   "its newest");
		relay->shards[i].shard = g_strdup(shard->shard);
		if (*shard->replica)
			relay->shards[i].preferred_replica =
				g_strdup(shard->replica);
		relay->shards[i].oldest_version = shard->oldest_version;
		relay->shards[i].newest_version = shard->newest_version;
	}
	return true;
}

static bool decode_relay(const Ragwort__Relay *from,
			 struct rr_peer_message *message, GError **error)
{
	struct rr_relay *relay;

	if (!from)
		return fail(error, "relay without payload");
	if (from->kind < RR_SEARCH || from->kind > RR_LIST)
		return fail(error, "relay kind %u, allowed %d to %d",
			    from->kind, RR_SEARCH, RR_LIST);
	if (!check_name(from->service, "relay's service", error))
		return false;
	if (!rr_is_valid_key_range(from->key_from, from->key_to))
		return fail(error, "relay has an invalid key range");
	if (from->kind == RR_RESERVE && !*from->idempotency_key)
		return fail(error, "reservation without idempotency key");
	relay = g_new0(struct rr_relay, 1);
	message->relay = relay;
	relay->query_id = from->query_id;
	relay->kind = (enum rr_request_kind)from->kind;
	relay->service = g_strdup(from->service);
	relay->request_id = g_strdup(from->request_id);
	if (*from->idempotency_key)
		relay->idempotency_key = g_strdup(from->idempotency_key);
	relay->key_from = from->key_from;
	relay->key_to = from->key_to;
	relay->row_limit = from->row_limit;
	relay->version = from->version;
	relay->map_epoch = from->map_epoch;
	relay->remaining_ms = from->remaining_ms;
	relay->batch = from->batch;
	relay->config_revision = from->config_revision;
	return copy_text(from->body, "relay's body", &relay->body, error) &&
	       decode_relay_shards(from, relay, error);
}

static bool decode_rows(const Ragwort__RelayReply *from,
			struct rr_relay_reply *reply, GError **error)
{
	const char *text = (const char *)from->row_texts.data;
	size_t remaining = from->row_texts.len;

	if (from->n_row_keys != from->n_row_lengths)
		return fail(error, "%zu row keys but %zu lengths",
			    from->n_row_keys, from->n_row_lengths);
	reply->rows = rr_new_rows();
	for (size_t i = 0; i < from->n_row_keys; i++) {
		size_t length = from->row_lengths[i];

		if (from->row_keys[i] >= RR_KEY_LIMIT)
			return fail(error, "row key is out of range");
		if (!length || length > remaining)
			return fail(error, "row length is out of range");
		rr_append_row(reply->rows, from->row_keys[i], text, length);
		text += length;
		remaining -= length;
	}
	if (remaining)
		return fail(error, "%zu bytes after the last row", remaining);
	return true;
}

static bool decode_outcome(const Ragwort__RelayOutcome *from,
			   struct rr_relay_outcome *outcome, GError **error)
{
	if (!check_name(from->shard, "outcome's shard", error))
		return false;
	if (from->reason >= RR_MISSING_REASON_COUNT)
		return fail(error, "reason %u, allowed 0 to %d", from->reason,
			    RR_MISSING_REASON_COUNT - 1);
	if (from->covered == (from->reason != RR_MISSING_NONE))
		return fail(error, "outcome's reason contradicts covered");
	if (from->oldest_version > from->newest_version)
		return fail(error, "outcome's oldest version is above its "
				   "newest");
	if (from->n_ranges % 2 || from->n_ranges / 2 > RR_MAX_RANGES)
		return fail(error,
			    "%zu range bounds, allowed are even numbers "
			    "up to %d",
			    from->n_ranges, 2 * RR_MAX_RANGES);
	outcome->shard = g_strdup(from->shard);
	outcome->covered = from->covered;
	outcome->reason = (enum rr_missing_reason)from->reason;
	outcome->not_run = from->not_run;
	outcome->oldest_version = from->oldest_version;
	outcome->newest_version = from->newest_version;
	outcome->attempts = from->attempts;
	outcome->n_ranges = from->n_ranges / 2;
	outcome->ranges = g_new(struct rr_key_range, outcome->n_ranges);
	for (size_t i = 0; i < outcome->n_ranges; i++) {
		outcome->ranges[i].from = from->ranges[2 * i];
		outcome->ranges[i].to = from->ranges[2 * i + 1];
		if (!rr_is_valid_key_range(outcome->ranges[i].from,
					   outcome->ranges[i].to))
			return fail(error, "outcome has an invalid key range");
	}
	return true;
}

static bool decode_reply(const Ragwort__RelayReply *from,
			 struct rr_peer_message *message, GError **error)
{
	struct rr_relay_reply *reply;

	if (!from)
		return fail(error, "relay reply without payload");
	if (from->n_outcomes > RR_MAX_RELAY_SHARDS)
		return fail(error, "%zu outcomes, allowed %d", from->n_outcomes,
			    RR_MAX_RELAY_SHARDS);
	reply = g_new0(struct rr_relay_reply, 1);
	message->relay_reply = reply;
	reply->query_id = from->query_id;
	reply->version = from->version;
	reply->retry_after_ms = from->retry_after_ms;
	if (from->has_result &&
	    !copy_text(from->result, "result", &reply->result, error))
		return false;
	reply->outcomes = g_new0(struct rr_relay_outcome, from->n_outcomes);
	reply->n_outcomes = from->n_outcomes;
	for (size_t i = 0; i < from->n_outcomes; i++) {
		if (!decode_outcome(from->outcomes[i], &reply->outcomes[i],
				    error))
			return false;
	}
	return decode_rows(from, reply, error);
}

static bool decode_payload(const Ragwort__PeerMessage *from,
			   struct rr_peer_message *message, GError **error)
{
	switch (message->kind) {
	case RR_PEER_PING_REQUEST:
		if (!message->target)
			return fail(error, "ping request without target");
		break;
	case RR_PEER_RELAY:
		return decode_relay(from->relay, message, error);
	case RR_PEER_RELAY_REPLY:
		return decode_reply(from->relay_reply, message, error);
	case RR_PEER_CONFIG:
		message->config_length = from->config_record.len;
		return copy_text(from->config_record, "configuration record",
				 &message->config_record, error);
	case RR_PEER_PING:
	case RR_PEER_ACK:
	case RR_PEER_RELAY_CANCEL:
	case RR_PEER_CONFIG_GET:
		break;
	}
	return true;
}

static bool decode_message(const Ragwort__PeerMessage *from,
			   struct rr_peer_message *message, GError **error)
{
	if (!check_name(from->from, "sender", error))
		return false;
	if (!from->from_incarnation)
		return fail(error, "sender without incarnation");
	if (*from->target && !check_name(from->target, "target", error))
		return false;
	message->from = g_strdup(from->from);
	message->from_incarnation = from->from_incarnation;
	message->to_incarnation = from->to_incarnation;
	message->config_revision = from->config_revision;
	message->sequence = from->sequence;
	if (*from->target)
		message->target = g_strdup(from->target);
	message->members_count = from->members_count;
	message->members_digest = from->members_digest;
	message->cancel_query_id = from->cancel_query_id;
	return decode_updates(from, message, error) &&
	       decode_payload(from, message, error);
}

static struct rr_peer_message *
check_and_decode(const Ragwort__PeerMessage *unpacked, GError **error)
{
	struct rr_peer_message *message;

	if (unpacked->version != RR_PEER_VERSION) {
		fail(error, "version %u, supported is %d", unpacked->version,
		     RR_PEER_VERSION);
		return NULL;
	}
	if (unpacked->kind < RR_PEER_PING || unpacked->kind > RR_PEER_CONFIG) {
		fail(error, "kind %u, allowed %d to %d", unpacked->kind,
		     RR_PEER_PING, RR_PEER_CONFIG);
		return NULL;
	}
	message = rr_new_peer_message((enum rr_peer_kind)unpacked->kind);
	if (decode_message(unpacked, message, error))
		return message;
	rr_drop_peer_message(message);
	return NULL;
}

struct rr_peer_message *rr_decode_peer_message(const uint8_t *bytes,
					       size_t length, GError **error)
{
	struct budget budget = { UNPACK_SLACK_BYTES + UNPACK_FACTOR * length };
	ProtobufCAllocator allocator = { allocate_within_budget,
					 free_allocation, &budget };
	Ragwort__PeerMessage *unpacked;
	struct rr_peer_message *message;

	if (length > RR_MAX_PEER_BYTES) {
		g_set_error(error, RR_ERROR, RR_ERROR_TOO_LARGE,
			    "peer message: %zu bytes, allowed %u", length,
			    RR_MAX_PEER_BYTES);
		return NULL;
	}
	unpacked = ragwort__peer_message__unpack(&allocator, length, bytes);
	if (!unpacked) {
		fail(error, "%zu bytes are not a valid message", length);
		return NULL;
	}
	message = check_and_decode(unpacked, error);
	ragwort__peer_message__free_unpacked(unpacked, &allocator);
	return message;
}
