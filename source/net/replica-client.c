/*
 * replica-client.c - HTTP client for replicas: keeps a pool of connections per
 * incarnation, sends attempts on them and closes those that time out.
 */
#include "net/replica-client.h"

#include <string.h>

#include "net/replica-conn.h"

/*
 * A replica that does not accept a connection within this time counts as down
 * or unreachable. The limit is ten times what a slow replica needs, and less
 * than the time after which TCP first retransmits a lost packet.
 */
#define CONNECT_TIMEOUT_US (400 * 1000)
/*
 * How long after its deadline a non-idempotent request may still be answered.
 */
#define DEADLINE_GRACE_US (500 * 1000)
/* Time limit for a non-idempotent request that has no deadline. */
#define NO_DEADLINE_US (60 * G_USEC_PER_SEC)

/*
 * A failure to open a connection for an attempt or a probe, or an idle
 * connection that was found closed. It is reported at the next tick, because
 * results are never reported from inside the call that starts the attempt or
 * probe.
 */
struct deferred_reply {
	uint64_t attempt; /* 0: failed probe, or closed connection */
	char *incarnation;
	bool idle_closed;
};

static void free_deferred(gpointer data)
{
	struct deferred_reply *deferred_reply = data;

	g_free(deferred_reply->incarnation);
	g_free(deferred_reply);
}

static void free_pool(gpointer data)
{
	struct rr_conn_pool *pool = data;

	g_free(pool->incarnation);
	g_free(pool->address);
	g_free(pool);
}

struct rr_replica_client *
rr_new_replica_client(struct rr_context *ctx,
		      const struct rr_replica_client_options *options)
{
	struct rr_replica_client *client = g_new0(struct rr_replica_client, 1);

	client->ctx = rr_keep_context(ctx);
	client->poller = options->poller;
	client->memory = options->memory;
	client->request_id_header = g_strdup(options->request_id_header);
	client->signature_header = g_strdup(options->signature_header);
	client->not_run_header = g_strdup(options->not_run_header);
	client->load_header = g_strdup(options->load_header);
	client->parse_load = options->parse_load;
	client->replied = options->replied;
	client->probed = options->probed;
	client->idle_closed = options->idle_closed;
	client->data = options->data;
	client->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	client->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&client->active);
	g_queue_init(&client->deferred);
	return client;
}

void rr_drop_replica_client(struct rr_replica_client *client)
{
	GHashTableIter iter;
	gpointer value;
	GList *link;

	if (!client)
		return;
	while ((link = g_queue_pop_head_link(&client->active))) {
		struct rr_replica_conn *conn = link->data;

		conn->is_active = false;
		rr_close_replica_conn(conn);
	}
	g_hash_table_iter_init(&iter, client->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_conn_pool *pool = value;
		struct rr_replica_conn *conn;

		pool->closing = false;
		while ((conn = g_queue_pop_head(&pool->idle)))
			rr_close_replica_conn(conn);
	}
	g_queue_clear_full(&client->deferred, free_deferred);
	g_hash_table_unref(client->attempts);
	g_hash_table_unref(client->pools);
	g_free(client->request_id_header);
	g_free(client->signature_header);
	g_free(client->not_run_header);
	g_free(client->load_header);
	rr_drop_context(client->ctx);
	g_free(client);
}

static struct rr_conn_pool *get_pool(struct rr_replica_client *client,
				     const char *incarnation,
				     const char *address)
{
	struct rr_conn_pool *pool =
		g_hash_table_lookup(client->pools, incarnation);

	if (!pool) {
		pool = g_new0(struct rr_conn_pool, 1);
		pool->incarnation = g_strdup(incarnation);
		pool->address = g_strdup(address);
		g_queue_init(&pool->idle);
		g_hash_table_insert(client->pools, pool->incarnation, pool);
	}
	return pool;
}

/*
 * Guards against a close by the other side that is not reported, since the
 * connection is dropped before its end of stream is read.
 */
static void defer_idle_close(struct rr_replica_client *client,
			     const char *incarnation)
{
	struct deferred_reply *deferred_reply;

#ifdef RR_MUTANT_PORT_DROPS_CLOSED
	return;
#endif
	if (!client->idle_closed)
		return;
	deferred_reply = g_new0(struct deferred_reply, 1);
	deferred_reply->incarnation = g_strdup(incarnation);
	deferred_reply->idle_closed = true;
	g_queue_push_tail(&client->deferred, deferred_reply);
}

/*
 * Returns an idle connection that may be reused, NULL if there is none; closes
 * those that may not.
 */
static struct rr_replica_conn *take_idle_conn(struct rr_replica_client *client,
					      struct rr_conn_pool *pool,
					      bool idempotent)
{
	struct rr_replica_conn *conn;

	while ((conn = g_queue_pop_head(&pool->idle))) {
		bool may_reuse = conn->reuse_until_us > client->now_us;

		/*
		 * A non-idempotent request is not sent on a connection with
		 * unread input: an end of stream or unexpected bytes.
		 */
		if (may_reuse &&
		    (idempotent || !rr_stream_has_input(conn->stream))) {
			rr_add_active_conn(conn);
			rr_mark_conn_busy(conn);
			return conn;
		}
		if (rr_stream_has_input(conn->stream))
			defer_idle_close(client, pool->incarnation);
		rr_close_replica_conn(conn);
	}
	return NULL;
}

static GByteArray *join_request(const struct rr_raw_request *request)
{
	GByteArray *bytes = g_byte_array_sized_new(
		(guint)(request->head_length + request->body_length));

	g_byte_array_append(bytes, (const guint8 *)request->head,
			    (guint)request->head_length);
	if (request->body_length)
		g_byte_array_append(bytes, request->body,
				    (guint)request->body_length);
	return bytes;
}

static void defer_unsent(struct rr_replica_client *client, uint64_t attempt)
{
	struct deferred_reply *deferred_reply =
		g_new0(struct deferred_reply, 1);

	deferred_reply->attempt = attempt;
	g_queue_push_tail(&client->deferred, deferred_reply);
}

static void defer_probe_failure(struct rr_replica_client *client,
				const char *incarnation)
{
	struct deferred_reply *deferred_reply =
		g_new0(struct deferred_reply, 1);

	deferred_reply->incarnation = g_strdup(incarnation);
	g_queue_push_tail(&client->deferred, deferred_reply);
}

static int64_t wait_for_reply_us(const struct rr_gate_attempt_info *info)
{
	if (info->deadline_ms < 0)
		return NO_DEADLINE_US;
	return info->deadline_ms * 1000 +
	       (info->ends_at_deadline ? 0 : DEADLINE_GRACE_US);
}

static void bind_attempt(struct rr_replica_conn *conn,
			 const struct rr_gate_attempt_info *info,
			 const struct rr_raw_request *request)
{
	conn->attempt = info->attempt;
	conn->idempotent = info->idempotent;
	conn->no_body = request->no_body;
	conn->n_mismatched = 0;
	conn->no_reuse = false;
	conn->request_id = g_strdup(request->request_id);
	conn->deadline_us = conn->client->now_us + wait_for_reply_us(info);
	g_hash_table_insert(conn->client->attempts, &conn->attempt, conn);
}

void rr_send_to_replica(struct rr_replica_client *client, int64_t now_us,
			const struct rr_gate_attempt_info *info,
			const struct rr_raw_request *request)
{
	struct rr_conn_pool *pool =
		get_pool(client, info->incarnation, info->address);
	GByteArray *bytes = join_request(request);
	struct rr_replica_conn *conn;
	bool taken;

	client->now_us = now_us;
	pool->max_idle = info->max_idle_connections;
	while ((conn = take_idle_conn(client, pool, info->idempotent))) {
		conn->no_body = request->no_body;
		rr_reset_http_reader(conn->reader, conn->no_body);
		if (rr_write_stream(conn->stream, bytes->data, bytes->len,
				    &taken)) {
			bind_attempt(conn, info, request);
			rr_update_conn_memory(conn);
			g_byte_array_unref(bytes);
			return;
		}
		/* No byte was sent: another connection may be tried. */
		rr_close_replica_conn(conn);
	}
	conn = rr_open_replica_conn(client, pool);
	if (!conn) {
		g_byte_array_unref(bytes);
		defer_unsent(client, info->attempt);
		return;
	}
	bind_attempt(conn, info, request);
	conn->pending_request = bytes;
	rr_update_conn_memory(conn);
}

void rr_cancel_replica_attempt(struct rr_replica_client *client,
			       uint64_t attempt)
{
	struct rr_replica_conn *conn =
		g_hash_table_lookup(client->attempts, &attempt);

	if (conn)
		rr_close_replica_conn(conn);
}

bool rr_cancel_unsent_attempt(struct rr_replica_client *client,
			      uint64_t attempt)
{
	struct rr_replica_conn *conn =
		g_hash_table_lookup(client->attempts, &attempt);

	if (!conn || conn->state != CONN_CONNECTING)
		return false;
	rr_close_replica_conn(conn);
	return true;
}

void rr_preconnect_replica(struct rr_replica_client *client, int64_t now_us,
			   const char *incarnation, const char *address)
{
	struct rr_conn_pool *pool = get_pool(client, incarnation, address);

	client->now_us = now_us;
	pool->closing = false;
	if (!pool->n_conns)
		rr_open_replica_conn(client, pool);
}

void rr_probe_replica(struct rr_replica_client *client, int64_t now_us,
		      const char *incarnation, const char *address)
{
	struct rr_conn_pool *pool = get_pool(client, incarnation, address);
	struct rr_replica_conn *conn;

	client->now_us = now_us;
	conn = rr_open_replica_conn(client, pool);
	if (conn)
		conn->is_probe = true;
	else
		defer_probe_failure(client, incarnation);
}

void rr_close_replica_conns(struct rr_replica_client *client,
			    const char *incarnation)
{
	struct rr_conn_pool *pool =
		g_hash_table_lookup(client->pools, incarnation);

	if (!pool)
		return;
	pool->closing = true;
	if (!pool->n_conns) {
		g_hash_table_remove(client->pools, incarnation);
		return;
	}
	/* The pool is freed with its last connection. */
	for (guint n = pool->idle.length; n; n--)
		rr_close_replica_conn(g_queue_pop_head(&pool->idle));
}

static void report_deferred(struct rr_replica_client *client)
{
	struct deferred_reply *deferred_reply;

	while ((deferred_reply = g_queue_pop_head(&client->deferred))) {
		struct rr_gate_reply reply = {
			.attempt = deferred_reply->attempt,
			.outcome = RR_GATE_UNSENT,
			.unreachable = true,
		};

		if (deferred_reply->idle_closed)
			client->idle_closed(client->data,
					    deferred_reply->incarnation);
		else if (deferred_reply->incarnation)
			client->probed(client->data,
				       deferred_reply->incarnation, false);
		else
			client->replied(client->data, &reply);
		free_deferred(deferred_reply);
	}
}

/*
 * Returns when a connection in use times out: INT64_MAX if its request is
 * idempotent and has been sent.
 */
static int64_t get_deadline(const struct rr_replica_conn *conn)
{
	if (conn->state == CONN_CONNECTING)
		return conn->connect_started_us + CONNECT_TIMEOUT_US;
	return conn->idempotent ? INT64_MAX : conn->deadline_us;
}

/*
 * Removes a timed-out connection from the active list and returns it; NULL if
 * there is none.
 */
static struct rr_replica_conn *
take_overdue_conn(struct rr_replica_client *client)
{
	for (GList *l = client->active.head; l; l = l->next) {
		struct rr_replica_conn *conn = l->data;

		if (get_deadline(conn) > client->now_us)
			continue;
		rr_remove_active_conn(conn);
		return conn;
	}
	return NULL;
}

void rr_tick_replica_client(struct rr_replica_client *client, int64_t now_us)
{
	struct rr_replica_conn *conn;

	client->now_us = now_us;
	report_deferred(client);
	/*
	 * Only one per tick: reporting its failure may close other connections.
	 */
	conn = take_overdue_conn(client);
	if (conn)
		rr_fail_replica_conn(
			conn,
			conn->state == CONN_CONNECTING ? RR_GATE_UNSENT :
							 RR_GATE_NO_REPLY,
			conn->state == CONN_CONNECTING ? "connect-timeout" :
							 "silent");
}

int64_t rr_replica_client_wake_us(const struct rr_replica_client *client)
{
	int64_t wake_us = INT64_MAX;

	if (client->deferred.length)
		return 0;
	for (GList *l = client->active.head; l; l = l->next)
		wake_us = MIN(wake_us, get_deadline(l->data));
	return wake_us;
}
