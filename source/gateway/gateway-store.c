/*
 * gateway-store.c - the feed's calls to the store and its updates of the gate.
 */
#include "gateway/gateway-private.h"

#include <string.h>

#include "platform/platform.h"

/* Endpoint name of the store; other instances are named by address. */
#define STORE_ENDPOINT "store"
/* One for the watch and one for all other calls. */
#define MAX_IDLE_STORE_CONNS 2

/* A call that has not been answered yet. */
struct open_call {
	uint64_t id; /* assigned by the feed */
	enum rr_feed_call_kind kind;
};

static void send_call(void *data, const struct rr_feed_call *call)
{
	struct rr_gateway *gateway = data;
	const char *address =
		call->peer ? call->peer : gateway->settings->store_address;
	GString *encoded = rr_encode_feed_call(call, address);
	struct rr_raw_request request = {
		.head = encoded->str,
		.head_length = encoded->len,
	};
	/* Not retried here: the feed decides on retries. */
	struct rr_gate_attempt_info info = {
		.attempt = call->id,
		.incarnation = call->peer ? call->peer : STORE_ENDPOINT,
		.address = address,
		.deadline_ms = call->timeout_ms,
		/* Another source is asked instead of a silent peer. */
		.ends_at_deadline = call->peer != NULL,
		.idempotent = false,
		.max_idle_connections = MAX_IDLE_STORE_CONNS,
	};
	struct open_call *open = g_new0(struct open_call, 1);

	open->id = call->id;
	open->kind = call->kind;
	g_hash_table_insert(gateway->store_calls, &open->id, open);
	rr_send_to_replica(gateway->store_client, rr_gateway_now_us(), &info,
			   &request);
	g_string_free(encoded, TRUE);
}

static void cancel_call(void *data, uint64_t call)
{
	struct rr_gateway *gateway = data;

	rr_cancel_replica_attempt(gateway->store_client, call);
	g_hash_table_remove(gateway->store_calls, &call);
}

/* An instance of an earlier version does not report the age: 0. */
static int64_t decode_age_us(const char *text)
{
	uint64_t age_ms = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	return (int64_t)MIN(age_ms, G_MAXUINT32) * 1000;
}

void rr_handle_gateway_store_reply(void *data,
				   const struct rr_gate_reply *reply)
{
	struct rr_gateway *gateway = data;
	struct open_call *open =
		g_hash_table_lookup(gateway->store_calls, &reply->attempt);
	struct rr_feed_reply decoded = { .status = RR_FEED_FAILED };

	if (!open)
		return;
	if (reply->outcome == RR_GATE_ANSWERED)
		rr_decode_feed_reply(open->kind, reply->status, reply->body,
				     reply->length, &decoded);
	if (reply->message)
		decoded.era = rr_decode_store_era(rr_find_http_header(
			reply->message, rr_platform_names()->store_era));
	if (reply->message)
		decoded.age_us = decode_age_us(rr_find_http_header(
			reply->message, CHANGES_AGE_HEADER));
	if (reply->message &&
	    rr_find_http_header(reply->message, ISOLATED_HEADER))
		rr_gate_suspect_zones(gateway->ctx, gateway->gate,
				      rr_gateway_now_us());
	decoded.call_id = open->id;
	g_hash_table_remove(gateway->store_calls, &reply->attempt);
	rr_feed_reply(gateway->ctx, gateway->feed, rr_gateway_now_us(),
		      &decoded);
	if (decoded.items)
		g_ptr_array_unref(decoded.items);
}

void rr_handle_store_disconnect(void *data, const char *endpoint)
{
	struct rr_gateway *gateway = data;

	if (!strcmp(endpoint, STORE_ENDPOINT))
		rr_feed_handle_disconnect(gateway->feed, rr_gateway_now_us());
}

static void set_routes(void *data, struct rr_route_table *table)
{
	struct rr_gateway *gateway = data;

	if (rr_gate_set_routes(gateway->ctx, gateway->gate, rr_gateway_now_us(),
			       table))
		rr_set_http_listener_limits(gateway->caller_listener,
					    rr_table_caller_limits(table));
}

static void update_endpoint(void *data, const struct rr_endpoint_info *endpoint)
{
	struct rr_gateway *gateway = data;

	rr_gate_update_endpoint(gateway->ctx, gateway->gate,
				rr_gateway_now_us(), endpoint);
}

static void unlist_endpoint(void *data, const char *id)
{
	struct rr_gateway *gateway = data;

	rr_gate_unlist_late(gateway->ctx, gateway->gate, rr_gateway_now_us(),
			    id, rr_feed_change_age_us(gateway->feed));
}

static void update_instance(void *data, const char *id,
			    const struct rr_instance *instance)
{
	struct rr_gateway *gateway = data;

	struct rr_gate_instance info = { .id = id };

	if (instance) {
		info.zone = instance->zone;
		info.address = instance->address;
		info.strength = instance->strength;
		info.started_ms = instance->started_ms;
	}
	rr_gate_update_instance(gateway->ctx, gateway->gate,
				rr_gateway_now_us(), &info);
}

static void set_instance_count(void *data, uint32_t instances)
{
	struct rr_gateway *gateway = data;

	rr_gate_set_instance_count(gateway->ctx, gateway->gate, instances);
}

static void set_evacuation(void *data, const char *zone,
			   struct rr_store_cursor cursor, bool in_force)
{
	struct rr_gateway *gateway = data;

	rr_gate_set_evacuation(gateway->ctx, gateway->gate, rr_gateway_now_us(),
			       zone, cursor, in_force);
}

static void apply_quarantine(void *data,
			     const struct rr_fingerprint *fingerprint,
			     const struct rr_quarantine_entry *entry)
{
	struct rr_gateway *gateway = data;

	rr_gate_apply_quarantine(gateway->ctx, gateway->gate,
				 rr_gateway_now_us(), fingerprint, entry);
}

static void republish_quarantine(void *data,
				 const struct rr_fingerprint *fingerprint)
{
	struct rr_gateway *gateway = data;

	rr_gate_republish_quarantine(gateway->gate, rr_gateway_now_us(),
				     fingerprint);
}

static void handle_claim_result(void *data,
				const struct rr_quarantine_entry *entry,
				bool granted)
{
	struct rr_gateway *gateway = data;

	rr_gate_handle_trial_claim_result(gateway->ctx, gateway->gate,
					  rr_gateway_now_us(), entry, granted);
}

struct rr_feed_actions rr_gateway_feed_actions(struct rr_gateway *gateway)
{
	return (struct rr_feed_actions){
		.call = send_call,
		.cancel = cancel_call,
		.routes = set_routes,
		.replica_listed = update_endpoint,
		.replica_unlisted = unlist_endpoint,
		.instance_count = set_instance_count,
		.instance = update_instance,
		.evacuation = set_evacuation,
		.quarantine = apply_quarantine,
		.quarantine_lost = republish_quarantine,
		.claim_decided = handle_claim_result,
		.data = gateway,
	};
}
