/*
 * platform.c - the core's store port over HTTP.
 */
#include "net/platform-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

#define IDLE_CONNECTION_S 120

struct key_call {
	struct rr_platform_client *port;
	uint64_t call_id;
	char *key;
	bool write;
};

/*
 * Only a call that never left, or one that the store says it did nothing for,
 * is proof of no effect.  Everything else that is no clear reply (timeout,
 * closed connection, another status) may have been written.
 */
static void read_reply(const struct key_call *call,
		       const struct rr_exchange_result *result,
		       struct rr_key_reply *reply)
{
	uint16_t status = (uint16_t)result->status;

	*reply = (struct rr_key_reply){ .status = RR_STORE_UNKNOWN };
	if (result->never_sent)
		reply->status = RR_STORE_UNAVAILABLE;
	else if (result->complete && call->write)
		rr_decode_cas_reply(call->key, status, result->body,
				    result->length, reply);
	else if (result->complete)
		rr_decode_get_reply(status, result->body, result->length,
				    reply);
}

static void take_reply(void *data, const struct rr_exchange_result *result)
{
	struct key_call *call = data;
	struct rr_platform_client *port = call->port;
	struct rr_key_reply decoded;
	struct rr_store_reply reply = { .call_id = call->call_id };

	read_reply(call, result, &decoded);
	reply.status = decoded.status;
	reply.revision = decoded.revision;
	reply.value = decoded.value;
	reply.length = decoded.length;
	if (reply.status == RR_STORE_UNAVAILABLE ||
	    reply.status == RR_STORE_UNKNOWN)
		rr_log_platform_failure(
			port, call->write ? "write-failed" : "read-failed",
			result);
	port->options.replied(port->options.data, &reply);
	rr_clear_key_reply(&decoded);
	g_free(call->key);
	g_free(call);
}

void rr_log_platform_failure(struct rr_platform_client *port, const char *what,
			     const struct rr_exchange_result *result)
{
	rr_count(port->ctx, RR_N_STORE_FAILURES, 1);
	rr_log(port->ctx, RR_LOG_WARNING, what,
	       RR_FIELD_U64("status", result->status),
	       RR_FIELD_STRING("error", result->error));
}

void rr_start_platform_call(
	struct rr_platform_client *port, struct rr_store_request *call,
	uint32_t timeout_ms,
	void (*done)(void *data, const struct rr_exchange_result *result),
	void *data)
{
	size_t length = call->body ? strlen(call->body) : 0;
	struct rr_exchange_options options = {
		.method = call->method,
		.address = port->address,
		.path = call->path,
		.body = g_steal_pointer(&call->body),
		.body_length = length,
		.max_reply_bytes = MAX_REPLY_BYTES,
		.timeout_ms = timeout_ms,
		.done = done,
		.data = data,
	};

	rr_count(port->ctx, RR_N_STORE_CALLS, 1);
	rr_start_exchange(port->session, &options);
	rr_clear_store_request(call);
}

static void start_key_call(struct rr_platform_client *port, uint64_t call_id,
			   const char *key, struct rr_store_request *made)
{
	struct key_call *call = g_new0(struct key_call, 1);

	call->port = port;
	call->call_id = call_id;
	call->key = g_strdup(key);
	call->write = made->body != NULL;
	rr_start_platform_call(port, made, port->options.call_timeout_ms,
			       take_reply, call);
}

static void get_key(void *data, uint64_t call_id, const char *key)
{
	struct rr_store_request call;

	rr_make_get_request(&call, key);
	start_key_call(data, call_id, key, &call);
}

static void compare_and_swap_key(void *data, uint64_t call_id, const char *key,
				 uint64_t revision, const char *value,
				 size_t length)
{
	struct rr_store_request call;

	rr_make_cas_request(&call, key, revision, value, length);
	start_key_call(data, call_id, key, &call);
}

struct rr_store_port rr_make_store_port(struct rr_platform_client *port)
{
	return (struct rr_store_port){
		.get = get_key,
		.compare_and_swap = compare_and_swap_key,
		.data = port,
	};
}

static void set_default(uint32_t *value, uint32_t otherwise)
{
	if (!*value)
		*value = otherwise;
}

struct rr_platform_client *
rr_new_platform_client(struct rr_context *ctx,
		       const struct rr_platform_client_options *options)
{
	struct rr_platform_client *port = g_new0(struct rr_platform_client, 1);

	port->started_ms = g_get_real_time() / 1000;
	port->ctx = rr_keep_context(ctx);
	port->options = *options;
	port->address = g_strdup(options->address);
	port->options.address = port->address;
	port->options.instance = g_strdup(options->instance);
	port->options.zone = g_strdup(options->zone);
	port->options.peer_address = g_strdup(options->peer_address);
	set_default(&port->options.call_timeout_ms, 3000);
	set_default(&port->options.watch_ms, 20000);
	set_default(&port->options.list_period_ms, 2000);
	set_default(&port->options.list_slow_period_ms, 60000);
	set_default(&port->options.retry_ms, 1000);
	set_default(&port->options.lease_ms, 12000);
	port->session = rr_new_http_session(IDLE_CONNECTION_S);
	rr_start_platform_watch(port);
	rr_start_platform_registration(port);
	return port;
}

void rr_drop_platform_client(struct rr_platform_client *port)
{
	if (!port)
		return;
	rr_stop_platform_watch(port);
	rr_stop_platform_registration(port);
	rr_drop_http_session(port->session);
	rr_drop_context(port->ctx);
	g_free(port->address);
	g_free((char *)port->options.instance);
	g_free((char *)port->options.zone);
	g_free((char *)port->options.peer_address);
	g_free(port);
}
