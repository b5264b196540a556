/*
 * upstream.c - attempts, cancellations and health polls over HTTP.
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
#define NUMBER_TEXT_SIZE 24

struct rr_upstream_client {
	struct rr_context *ctx;
	struct rr_upstream_client_options options;
	char *instance;
	struct rr_http_session *session;
	GHashTable *attempts; /* uint64_t id -> struct open_attempt */
	GHashTable *polls;    /* set of struct open_poll */
};

struct open_attempt {
	uint64_t id; /* first, as it is the key of the hash table */
	struct rr_upstream_client *client;
	struct rr_exchange *exchange;
	char *address;
	bool cancelled;
};

struct open_poll {
	struct rr_upstream_client *client;
	char *replica;
};

static void free_attempt(gpointer data)
{
	struct open_attempt *attempt = data;

	g_free(attempt->address);
	g_free(attempt);
}

static void free_poll(gpointer data)
{
	struct open_poll *poll = data;

	g_free(poll->replica);
	g_free(poll);
}

struct rr_upstream_client *
rr_new_upstream_client(struct rr_context *ctx,
		       const struct rr_upstream_client_options *options)
{
	struct rr_upstream_client *client =
		g_new0(struct rr_upstream_client, 1);

	client->ctx = rr_keep_context(ctx);
	client->options = *options;
	client->instance = g_strdup(options->instance);
	client->options.instance = client->instance;
	if (!client->options.cancel_grace_ms)
		client->options.cancel_grace_ms = DEFAULT_CANCEL_GRACE_MS;
	if (!client->options.health_timeout_ms)
		client->options.health_timeout_ms = DEFAULT_HEALTH_TIMEOUT_MS;
	client->session = rr_new_http_session(IDLE_CONNECTION_S);
	client->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_attempt);
	client->polls = g_hash_table_new_full(NULL, NULL, free_poll, NULL);
	return client;
}

void rr_drop_upstream_client(struct rr_upstream_client *client)
{
	if (!client)
		return;
	rr_drop_http_session(client->session);
	g_hash_table_destroy(client->attempts);
	g_hash_table_destroy(client->polls);
	rr_drop_context(client->ctx);
	g_free(client->instance);
	g_free(client);
}

static void handle_reply(void *data, const struct rr_exchange_result *result)
{
	struct open_attempt *attempt = data;
	struct rr_upstream_client *client = attempt->client;
	struct rr_upstream_body *body = NULL;
	struct rr_reply reply;

	if (!attempt->cancelled) {
		rr_decode_upstream_result(client->ctx, result, &reply, &body);
		reply.attempt_id = attempt->id;
		client->options.replied(client->options.data, &reply);
		rr_drop_upstream_body(body);
	}
	g_hash_table_remove(client->attempts, &attempt->id);
}

/*
 * Two instances started in the same microsecond number their attempts from the
 * same start. With the number alone, a cancellation by one could end an attempt
 * of the other at a shared upstream, so the id includes the instance name.
 */
static char *format_attempt_id(const struct rr_upstream_client *client,
			       uint64_t attempt_id)
{
	return g_strdup_printf("%s-%" G_GUINT64_FORMAT, client->instance,
			       attempt_id);
}

void rr_send_attempt(struct rr_context *ctx, struct rr_upstream_client *client,
		     const struct rr_attempt *attempt)
{
	struct open_attempt *open = g_new0(struct open_attempt, 1);
	char *path = rr_format_attempt_path(attempt);
	char *id = format_attempt_id(client, attempt->id);
	char deadline_ms[NUMBER_TEXT_SIZE];
	char version[NUMBER_TEXT_SIZE];
	char epoch[NUMBER_TEXT_SIZE];
	/*
	 * The last pair, which only reservations and expensive work have, is
	 * removed below if the attempt has no idempotency key.
	 */
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
		.done = handle_reply,
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
	open->client = client;
	open->address = g_strdup(attempt->address);
	g_hash_table_insert(client->attempts, &open->id, open);
	open->exchange = rr_start_exchange(client->session, &options);
	g_free(path);
	g_free(id);
}

static void ignore_reply(void *data, const struct rr_exchange_result *result)
{
}

/*
 * Cancels an attempt without closing its connection. Closing would cost the
 * next attempt a new connection (6 ms), and the old one would count against the
 * upstream's connection limit until the upstream detects the close. So the
 * cancellation is sent on another connection and the exchange of the attempt
 * ends in the background. If an upstream does not end it within the grace
 * period (hung or paused), its connection is closed, so that none is held
 * forever.
 */
void rr_cancel_attempt(struct rr_context *ctx,
		       struct rr_upstream_client *client, uint64_t attempt_id)
{
	struct open_attempt *open =
		g_hash_table_lookup(client->attempts, &attempt_id);
	const char *headers[] = { "X-Attempt-Id", NULL, NULL };
	char *id;
	struct rr_exchange_options options = {
		.method = "POST",
		.path = "/v1/cancel",
		.headers = headers,
		.max_reply_bytes = MAX_HEALTH_BYTES,
		.timeout_ms = client->options.cancel_grace_ms,
		.done = ignore_reply,
	};

	if (!open || open->cancelled)
		return;
	open->cancelled = true;
	if (client->options.cancel_by_close) {
		rr_abort_exchange(open->exchange);
		return;
	}
	rr_set_exchange_timeout(open->exchange,
				client->options.cancel_grace_ms);
	id = format_attempt_id(client, attempt_id);
	headers[1] = id;
	options.address = open->address;
	options.body = g_strdup("");
	rr_start_exchange(client->session, &options);
	g_free(id);
}

static void handle_health(void *data, const struct rr_exchange_result *result)
{
	struct open_poll *poll = data;
	struct rr_upstream_client *client = poll->client;
	struct rr_health health = { .replica = poll->replica, .load = -1 };

	rr_decode_health_result(client->ctx, result, &health);
	client->options.polled(client->options.data, &health);
	g_hash_table_remove(client->polls, poll);
}

void rr_poll_upstream_health(struct rr_context *ctx,
			     struct rr_upstream_client *client,
			     const char *replica, const char *address)
{
	struct open_poll *poll = g_new0(struct open_poll, 1);
	struct rr_exchange_options options = {
		.method = "GET",
		.address = address,
		.path = "/v1/health",
		.max_reply_bytes = MAX_HEALTH_BYTES,
		.timeout_ms = client->options.health_timeout_ms,
		.done = handle_health,
		.data = poll,
	};

	poll->client = client;
	poll->replica = g_strdup(replica);
	g_hash_table_add(client->polls, poll);
	rr_start_exchange(client->session, &options);
}

uint32_t rr_count_upstream_exchanges(const struct rr_upstream_client *client)
{
	return rr_count_exchanges(client->session);
}
