/*
 * platform.c - client of the platform service, which provides the core's
 * key-value store over HTTP.
 */
#include "net/platform-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

#define IDLE_CONNECTION_S 120

struct open_call {
	struct rr_platform_client *client;
	uint64_t call_id;
	char *key;
	bool is_write;
};

/*
 * Only a call that was never sent, or one that the store reports as not
 * executed, has provably had no effect. Anything else without a clear reply
 * (timeout, closed connection, another status) may have been written.
 */
static void decode_reply(const struct open_call *call,
			 const struct rr_exchange_result *result,
			 struct rr_key_reply *reply)
{
	uint16_t status = (uint16_t)result->status;

	*reply = (struct rr_key_reply){ .status = RR_STORE_UNKNOWN };
	if (result->never_sent)
		reply->status = RR_STORE_UNAVAILABLE;
	else if (result->complete && call->is_write)
		rr_decode_cas_reply(call->key, status, result->body,
				    result->length, reply);
	else if (result->complete)
		rr_decode_get_reply(status, result->body, result->length,
				    reply);
}

static uint64_t find_era(const struct rr_exchange_result *result)
{
	return result->headers ?
		       rr_decode_store_era(soup_message_headers_get_one(
			       result->headers,
			       rr_platform_names()->store_era)) :
		       0;
}

uint64_t rr_note_platform_era(struct rr_platform_client *client,
			      const struct rr_exchange_result *result)
{
	uint64_t era = find_era(result);

	if (era <= client->era)
		return era;
	if (client->era) {
		rr_log(client->ctx, RR_LOG_WARNING, "store-restored",
		       RR_FIELD_U64("era", era),
		       RR_FIELD_U64("era_before", client->era));
		client->record_read = false;
		client->lease = 0;
		client->is_registered = false;
		if (client->record_exchange)
			rr_abort_exchange(client->record_exchange);
	}
	client->era = era;
	return era;
}

static void handle_reply(void *data, const struct rr_exchange_result *result)
{
	struct open_call *call = data;
	struct rr_platform_client *client = call->client;
	struct rr_key_reply decoded;
	struct rr_store_reply reply = { .call_id = call->call_id };

	decode_reply(call, result, &decoded);
	reply.status = decoded.status;
	reply.revision = decoded.revision;
	reply.value = decoded.value;
	reply.length = decoded.length;
	reply.era = rr_note_platform_era(client, result);
	if (reply.status == RR_STORE_UNAVAILABLE ||
	    reply.status == RR_STORE_UNKNOWN)
		rr_log_platform_failure(
			client, call->is_write ? "write-failed" : "read-failed",
			result);
	client->options.replied(client->options.data, &reply);
	rr_clear_key_reply(&decoded);
	g_free(call->key);
	g_free(call);
}

void rr_log_platform_failure(struct rr_platform_client *client,
			     const char *what,
			     const struct rr_exchange_result *result)
{
	rr_count(client->ctx, RR_N_STORE_FAILURES, 1);
	rr_log(client->ctx, RR_LOG_WARNING, what,
	       RR_FIELD_U64("status", result->status),
	       RR_FIELD_STRING("error", result->error));
}

struct rr_exchange *rr_start_platform_call(
	struct rr_platform_client *client, struct rr_store_request *call,
	uint32_t timeout_ms,
	void (*done)(void *data, const struct rr_exchange_result *result),
	void *data)
{
	size_t length = call->body ? strlen(call->body) : 0;
	struct rr_exchange_options options = {
		.method = call->method,
		.address = client->address,
		.path = call->path,
		.body = g_steal_pointer(&call->body),
		.body_length = length,
		.max_reply_bytes = MAX_REPLY_BYTES,
		.timeout_ms = timeout_ms,
		.done = done,
		.data = data,
	};

	struct rr_exchange *exchange;

	rr_count(client->ctx, RR_N_STORE_CALLS, 1);
	exchange = rr_start_exchange(client->session, &options);
	rr_clear_store_request(call);
	return exchange;
}

static void start_key_call(struct rr_platform_client *client, uint64_t call_id,
			   const char *key, struct rr_store_request *request)
{
	struct open_call *call = g_new0(struct open_call, 1);

	call->client = client;
	call->call_id = call_id;
	call->key = g_strdup(key);
	call->is_write = request->body != NULL;
	rr_start_platform_call(client, request, client->options.call_timeout_ms,
			       handle_reply, call);
}

static void get_key(void *data, uint64_t call_id, const char *key)
{
	struct rr_store_request call;

	rr_make_get_request(&call, key);
	start_key_call(data, call_id, key, &call);
}

static void compare_and_swap_key(void *data, uint64_t call_id, const char *key,
				 uint64_t revision, const char *value,
				 size_t length,
				 const struct rr_store_guard *guard)
{
	struct rr_store_request call;

	rr_make_cas_request(&call, key, revision, value, length, guard);
	start_key_call(data, call_id, key, &call);
}

struct rr_store_port rr_make_store_port(struct rr_platform_client *client)
{
	return (struct rr_store_port){
		.get = get_key,
		.compare_and_swap = compare_and_swap_key,
		.data = client,
	};
}

static void set_default(uint32_t *value, uint32_t default_value)
{
	if (!*value)
		*value = default_value;
}

struct rr_platform_client *
rr_new_platform_client(struct rr_context *ctx,
		       const struct rr_platform_client_options *options)
{
	struct rr_platform_client *client =
		g_new0(struct rr_platform_client, 1);

	client->started_ms = g_get_real_time() / 1000;
	client->ctx = rr_keep_context(ctx);
	client->options = *options;
	client->address = g_strdup(options->address);
	client->options.address = client->address;
	client->options.instance = g_strdup(options->instance);
	client->options.zone = g_strdup(options->zone);
	client->options.peer_address = g_strdup(options->peer_address);
	set_default(&client->options.call_timeout_ms, 3000);
	set_default(&client->options.watch_ms, 20000);
	set_default(&client->options.list_period_ms, 2000);
	set_default(&client->options.list_slow_period_ms, 60000);
	set_default(&client->options.retry_ms, 1000);
	set_default(&client->options.lease_ms, 12000);
	client->session = rr_new_http_session(IDLE_CONNECTION_S);
	rr_start_platform_watch(client);
	rr_start_platform_registration(client);
	return client;
}

void rr_drop_platform_client(struct rr_platform_client *client)
{
	if (!client)
		return;
	rr_stop_platform_watch(client);
	rr_stop_platform_registration(client);
	rr_drop_http_session(client->session);
	rr_drop_context(client->ctx);
	g_free(client->address);
	g_free((char *)client->options.instance);
	g_free((char *)client->options.zone);
	g_free((char *)client->options.peer_address);
	g_free(client);
}
