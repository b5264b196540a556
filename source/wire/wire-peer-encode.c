/*
 * wire-peer-encode.c - encoding of peer messages as protobuf.
 *
 * The strings in the generated structs are owned by the peer message.
 */
#include <string.h>

#include "peer.pb-c.h"
#include "wire/wire-private.h"

/* The protobuf message and the arrays allocated for it. */
struct encoding {
	Ragwort__PeerMessage message;
	Ragwort__MemberUpdate *updates;
	Ragwort__MemberUpdate **update_list;
	Ragwort__Relay relay;
	Ragwort__RelayShard *shards;
	Ragwort__RelayShard **shard_list;
	Ragwort__RelayReply reply;
	Ragwort__RelayOutcome *outcomes;
	Ragwort__RelayOutcome **outcome_list;
	uint64_t *ranges; /* (from, to) pairs of all outcomes */
	uint64_t *row_keys;
	uint32_t *row_lengths;
	uint8_t *row_texts;
};

static void fill_updates(struct encoding *e, const struct rr_peer_message *from)
{
	size_t n = from->n_updates;

	e->updates = g_new(Ragwort__MemberUpdate, n);
	e->update_list = g_new(Ragwort__MemberUpdate *, n);
	for (size_t i = 0; i < n; i++) {
		Ragwort__MemberUpdate *update = &e->updates[i];

		ragwort__member_update__init(update);
		update->instance = from->updates[i].instance;
		update->zone = from->updates[i].zone;
		update->address = from->updates[i].address;
		update->incarnation = from->updates[i].incarnation;
		update->refutation = from->updates[i].refutation;
		update->state = from->updates[i].state;
		e->update_list[i] = update;
	}
	e->message.updates = e->update_list;
	e->message.n_updates = n;
}

static void fill_shards(struct encoding *e, const struct rr_relay *from)
{
	e->shards = g_new(Ragwort__RelayShard, from->n_shards);
	e->shard_list = g_new(Ragwort__RelayShard *, from->n_shards);
	for (size_t i = 0; i < from->n_shards; i++) {
		Ragwort__RelayShard *shard = &e->shards[i];

		ragwort__relay_shard__init(shard);
		shard->shard = from->shards[i].shard;
		shard->replica = from->shards[i].preferred_replica;
		shard->oldest_version = from->shards[i].oldest_version;
		shard->newest_version = from->shards[i].newest_version;
		e->shard_list[i] = shard;
	}
	e->relay.shards = e->shard_list;
	e->relay.n_shards = from->n_shards;
}

static void fill_relay(struct encoding *e, const struct rr_relay *from)
{
	Ragwort__Relay *relay = &e->relay;

	ragwort__relay__init(relay);
	relay->query_id = from->query_id;
	relay->kind = from->kind;
	relay->service = from->service;
	relay->request_id = from->request_id;
	relay->body.data = (uint8_t *)from->body;
	relay->body.len = from->body ? strlen(from->body) : 0;
	relay->idempotency_key = from->idempotency_key;
	relay->key_from = from->key_from;
	relay->key_to = from->key_to;
	relay->row_limit = from->row_limit;
	relay->version = from->version;
	relay->map_epoch = from->map_epoch;
	relay->remaining_ms = from->remaining_ms;
	relay->batch = from->batch;
	relay->config_revision = from->config_revision;
	fill_shards(e, from);
	e->message.relay = relay;
}

static void fill_rows(struct encoding *e, const struct rr_rows *rows)
{
	size_t n = rr_count_rows(rows);
	size_t offset = 0;

	e->row_keys = g_new(uint64_t, n);
	e->row_lengths = g_new(uint32_t, n);
	e->row_texts = g_malloc(rr_rows_bytes(rows) + 1);
	for (size_t i = 0; i < n; i++) {
		size_t length;
		const char *json = rr_row_json(rows, i, &length);

		e->row_keys[i] = rr_row_key(rows, i);
		e->row_lengths[i] = (uint32_t)length;
		memcpy(e->row_texts + offset, json, length);
		offset += length;
	}
	e->reply.row_keys = e->row_keys;
	e->reply.n_row_keys = n;
	e->reply.row_lengths = e->row_lengths;
	e->reply.n_row_lengths = n;
	e->reply.row_texts.data = e->row_texts;
	e->reply.row_texts.len = offset;
}

static size_t count_ranges(const struct rr_relay_reply *from)
{
	size_t n = 0;

	for (size_t i = 0; i < from->n_outcomes; i++)
		n += from->outcomes[i].n_ranges;
	return n;
}

static void fill_outcomes(struct encoding *e, const struct rr_relay_reply *from)
{
	uint64_t *range;

	e->outcomes = g_new(Ragwort__RelayOutcome, from->n_outcomes);
	e->outcome_list = g_new(Ragwort__RelayOutcome *, from->n_outcomes);
	e->ranges = g_new(uint64_t, 2 * count_ranges(from) + 1);
	range = e->ranges;
	for (size_t i = 0; i < from->n_outcomes; i++) {
		const struct rr_relay_outcome *source = &from->outcomes[i];
		Ragwort__RelayOutcome *outcome = &e->outcomes[i];

		ragwort__relay_outcome__init(outcome);
		outcome->shard = source->shard;
		outcome->covered = source->covered;
		outcome->reason = source->reason;
		outcome->not_run = source->not_run;
		outcome->oldest_version = source->oldest_version;
		outcome->newest_version = source->newest_version;
		outcome->attempts = source->attempts;
		outcome->ranges = range;
		outcome->n_ranges = 2 * source->n_ranges;
		for (size_t r = 0; r < source->n_ranges; r++) {
			*range++ = source->ranges[r].from;
			*range++ = source->ranges[r].to;
		}
		e->outcome_list[i] = outcome;
	}
	e->reply.outcomes = e->outcome_list;
	e->reply.n_outcomes = from->n_outcomes;
}

static void fill_reply(struct encoding *e, const struct rr_relay_reply *from)
{
	Ragwort__RelayReply *reply = &e->reply;

	ragwort__relay_reply__init(reply);
	reply->query_id = from->query_id;
	reply->version = from->version;
	reply->retry_after_ms = from->retry_after_ms;
	reply->has_result = from->result != NULL;
	reply->result.data = (uint8_t *)from->result;
	reply->result.len = from->result ? strlen(from->result) : 0;
	fill_rows(e, from->rows);
	fill_outcomes(e, from);
	e->message.relay_reply = reply;
}

static void clear_encoding(struct encoding *e)
{
	g_free(e->updates);
	g_free(e->update_list);
	g_free(e->shards);
	g_free(e->shard_list);
	g_free(e->outcomes);
	g_free(e->outcome_list);
	g_free(e->ranges);
	g_free(e->row_keys);
	g_free(e->row_lengths);
	g_free(e->row_texts);
}

GBytes *rr_encode_peer_message(const struct rr_peer_message *message)
{
	struct encoding e = { 0 };
	size_t length;
	uint8_t *bytes;

	ragwort__peer_message__init(&e.message);
	e.message.version = RR_PEER_VERSION;
	e.message.kind = message->kind;
	e.message.from = message->from;
	e.message.from_incarnation = message->from_incarnation;
	e.message.to_incarnation = message->to_incarnation;
	e.message.config_revision = message->config_revision;
	e.message.sequence = message->sequence;
	e.message.target = message->target;
	e.message.members_count = message->members_count;
	e.message.members_digest = message->members_digest;
	e.message.cancel_query_id = message->cancel_query_id;
	e.message.config_record.data = (uint8_t *)message->config_record;
	e.message.config_record.len = message->config_length;
	if (message->n_updates)
		fill_updates(&e, message);
	if (message->relay)
		fill_relay(&e, message->relay);
	if (message->relay_reply)
		fill_reply(&e, message->relay_reply);
	length = ragwort__peer_message__get_packed_size(&e.message);
	bytes = g_malloc(length);
	ragwort__peer_message__pack(&e.message, bytes);
	clear_encoding(&e);
	return g_bytes_new_take(bytes, length);
}
