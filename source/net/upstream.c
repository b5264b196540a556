/*
 * upstream.c - attempts over HTTP and what their replies mean.
 */
#include "ragwort/net-upstream.h"

#include <string.h>

#include "net/exchange-private.h"
#include "net/upstream-private.h"
#include "ragwort/counters.h"
#include "ragwort/wire.h"

#define DEFAULT_CANCEL_GRACE_MS 2000
#define DEFAULT_HEALTH_TIMEOUT_MS 1000
#define IDLE_CONNECTION_S 300
#define MAX_HEALTH_BYTES 4096
#define NUMBER_TEXT 24

struct rr_upstream_client {
	struct rr_context *ctx;
	struct rr_upstream_client_options options;
	char *instance;
	struct rr_http_session *exchanger;
	GHashTable *attempts; /* uint64_t id to struct open_attempt */
};

struct open_attempt {
	uint64_t id; /* first: the hash table's key */
	struct rr_upstream_client *port;
	struct rr_exchange *exchange;
	char *address;
	bool withdrawn;
};

struct open_poll {
	struct rr_upstream_client *port;
	char *replica;
};

static void free_attempt(gpointer data)
{
	struct open_attempt *attempt = data;

	g_free(attempt->address);
	g_free(attempt);
}

struct rr_upstream_client *
rr_new_upstream_client(struct rr_context *ctx,
		       const struct rr_upstream_client_options *options)
{
	struct rr_upstream_client *port = g_new0(struct rr_upstream_client, 1);

	port->ctx = rr_keep_context(ctx);
	port->options = *options;
	port->instance = g_strdup(options->instance);
	port->options.instance = port->instance;
	if (!port->options.cancel_grace_ms)
		port->options.cancel_grace_ms = DEFAULT_CANCEL_GRACE_MS;
	if (!port->options.health_timeout_ms)
		port->options.health_timeout_ms = DEFAULT_HEALTH_TIMEOUT_MS;
	port->exchanger = rr_new_http_session(IDLE_CONNECTION_S);
	port->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_attempt);
	return port;
}

void rr_drop_upstream_client(struct rr_upstream_client *port)
{
	if (!port)
		return;
	rr_drop_http_session(port->exchanger);
	g_hash_table_destroy(port->attempts);
	rr_drop_context(port->ctx);
	g_free(port->instance);
	g_free(port);
}

static void take_reply(void *data, const struct rr_exchange_result *result)
{
	struct open_attempt *attempt = data;
	struct rr_upstream_client *port = attempt->port;
	struct rr_upstream_body *body = NULL;
	struct rr_reply reply;

	if (!attempt->withdrawn) {
		rr_decode_upstream_result(port->ctx, result, &reply, &body);
		reply.attempt_id = attempt->id;
		port->options.replied(port->options.data, &reply);
		rr_drop_upstream_body(body);
	}
	g_hash_table_remove(port->attempts, &attempt->id);
}

/*
 * Two instances started in the same microsecond count attempts from the same
 * number.  With the number alone one's cancel could end the other's attempt at
 * their upstream, so the name goes with it.
 */
static char *format_attempt_id(const struct rr_upstream_client *port,
			       uint64_t attempt_id)
{
	return g_strdup_printf("%s-%" G_GUINT64_FORMAT, port->instance,
			       attempt_id);
}

void rr_send_attempt(struct rr_context *ctx, struct rr_upstream_client *port,
		     const struct rr_attempt *attempt)
{
	struct open_attempt *open = g_new0(struct open_attempt, 1);
	char *path = rr_format_attempt_path(attempt);
	char *id = format_attempt_id(port, attempt->id);
	char deadline_ms[NUMBER_TEXT];
	char version[NUMBER_TEXT];
	char epoch[NUMBER_TEXT];
	/* The last pair is for reservations and costly work only. */
	const char *headers[] = {
		"X-Request-Id",
		attempt->request_id ? attempt->request_id : "-",
		"X-Attempt-Id",
		id,
		"X-Deadline-Ms",
		deadline_ms,
		"X-Index-Version",
		version,
		"X-Map-Epoch",
		epoch,
		"Idempotency-Key",
		attempt->idempotency_key,
		NULL,
	};
	struct rr_exchange_options options = {
		.method = "POST",
		.address = attempt->address,
		.path = path,
		.headers = headers,
		.max_reply_bytes = RR_MAX_UPSTREAM_BYTES,
		.done = take_reply,
		.data = open,
	};

	if (!attempt->idempotency_key)
		headers[G_N_ELEMENTS(headers) - 3] = NULL;
	g_snprintf(deadline_ms, sizeof(deadline_ms), "%u",
		   attempt->deadline_ms);
	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
		   attempt->version);
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT,
		   attempt->map_epoch);
	options.body = rr_encode_attempt_body(attempt, &options.body_length);
	open->id = attempt->id;
	open->port = port;
	open->address = g_strdup(attempt->address);
	g_hash_table_insert(port->attempts, &open->id, open);
	open->exchange = rr_start_exchange(port->exchanger, &options);
	g_free(path);
	g_free(id);
}

static void ignore_reply(void *data, const struct rr_exchange_result *result)
{
}

/*
 * Withdrawing by closing the connection would cost the next attempt a new
 * one (6 ms) and a place under the upstream's cap until it notices.  So the
 * upstream is told on another connection and the attempt's own message ends
 * in the background; an upstream that does not end it within the grace (hung
 * or paused) loses the connection, so that none is held for ever.
 */
void rr_cancel_attempt(struct rr_context *ctx, struct rr_upstream_client *port,
		       uint64_t attempt_id)
{
	struct open_attempt *open =
		g_hash_table_lookup(port->attempts, &attempt_id);
	const char *headers[] = { "X-Attempt-Id", NULL, NULL };
	char *id;
	struct rr_exchange_options options = {
		.method = "POST",
		.path = "/v1/cancel",
		.headers = headers,
		.max_reply_bytes = MAX_HEALTH_BYTES,
		.timeout_ms = port->options.cancel_grace_ms,
		.done = ignore_reply,
	};

	if (!open || open->withdrawn)
		return;
	open->withdrawn = true;
	if (port->options.cancel_by_close) {
		rr_abort_exchange(open->exchange);
		return;
	}
	rr_set_exchange_timeout(open->exchange, port->options.cancel_grace_ms);
	id = format_attempt_id(port, attempt_id);
	headers[1] = id;
	options.address = open->address;
	options.body = g_strdup("");
	rr_start_exchange(port->exchanger, &options);
	g_free(id);
}

static void take_health(void *data, const struct rr_exchange_result *result)
{
	struct open_poll *poll = data;
	struct rr_upstream_client *port = poll->port;
	struct rr_health health = { .replica = poll->replica, .load = -1 };

	rr_decode_health_result(port->ctx, result, &health);
	port->options.polled(port->options.data, &health);
	g_free(poll->replica);
	g_free(poll);
}

void rr_poll_upstream_health(struct rr_context *ctx,
			     struct rr_upstream_client *port,
			     const char *replica, const char *address)
{
	struct open_poll *poll = g_new0(struct open_poll, 1);
	struct rr_exchange_options options = {
		.method = "GET",
		.address = address,
		.path = "/v1/health",
		.max_reply_bytes = MAX_HEALTH_BYTES,
		.timeout_ms = port->options.health_timeout_ms,
		.done = take_health,
		.data = poll,
	};

	poll->port = port;
	poll->replica = g_strdup(replica);
	rr_start_exchange(port->exchanger, &options);
}

uint32_t rr_count_upstream_exchanges(const struct rr_upstream_client *port)
{
	return rr_count_exchanges(port->exchanger);
}
