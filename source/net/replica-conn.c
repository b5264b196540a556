/*
 * replica-conn.c - a connection to a replica: reading of answers, and reuse.
 */
#include "net/replica-conn.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * A connection is reused until this long before the replica would close it.
 * Otherwise a request could arrive after the replica closed the connection and
 * be lost.
 */
#define KEEP_ALIVE_MARGIN_US (700 * 1000)
/* Used if the replica sends no keep-alive timeout. */
#define DEFAULT_KEEP_ALIVE_US (2 * G_USEC_PER_SEC)
#define MAX_KEEP_ALIVE_US (60 * G_USEC_PER_SEC)
/* Size limits for answers, which are buffered completely. */
#define MAX_ANSWER_BYTES (8 * 1024 * 1024)
#define MAX_ANSWER_HEADER_BYTES (64 * 1024)
/*
 * Maximum number of answers to other requests that are skipped; one more fails
 * the attempt.
 */
#define MAX_MISMATCHED_ANSWERS 2

void rr_add_active_conn(struct rr_replica_conn *conn)
{
	g_queue_push_tail_link(&conn->client->active, &conn->link);
	conn->is_active = true;
}

void rr_remove_active_conn(struct rr_replica_conn *conn)
{
	if (conn->is_active)
		g_queue_unlink(&conn->client->active, &conn->link);
	conn->is_active = false;
}

void rr_update_conn_memory(struct rr_replica_conn *conn)
{
	size_t n = rr_http_reader_bytes(conn->reader) +
		   rr_unsent_bytes(conn->stream);

	if (conn->pending_request)
		n += conn->pending_request->len;
	rr_hold_memory(&conn->memory, n);
}

/*
 * Stops reading an answer until memory is available for the rest of it. Its
 * replica notices nothing but a slow connection, so nothing that has run is
 * lost.
 */
static void throttle_answer(struct rr_replica_conn *conn)
{
	rr_update_conn_memory(conn);
	if (rr_wait_for_memory(&conn->memory))
		rr_set_stream_throttled(conn->stream, true);
}

static void resume_answer(void *data)
{
	struct rr_replica_conn *conn = data;

	rr_set_stream_throttled(conn->stream, false);
}

/* Closes and frees a connection. */
void rr_close_replica_conn(struct rr_replica_conn *conn)
{
	struct rr_replica_client *client = conn->client;
	struct rr_conn_pool *pool = conn->pool;

	if (conn->attempt)
		g_hash_table_remove(client->attempts, &conn->attempt);
	rr_remove_active_conn(conn);
	if (conn->state == CONN_IDLE)
		g_queue_remove(&pool->idle, conn);
	rr_clear_memory_user(&conn->memory);
	rr_drop_stream(conn->stream);
	rr_drop_http_reader(conn->reader);
	if (conn->pending_request)
		g_byte_array_unref(conn->pending_request);
	g_free(conn->request_id);
	g_free(conn);
	if (!--pool->n_conns && pool->closing)
		g_hash_table_remove(client->pools, pool->incarnation);
}

/* Reports the reply of the attempt of a connection and ends the attempt. */
static void report_reply(struct rr_replica_conn *conn,
			 struct rr_gate_reply *reply)
{
	struct rr_replica_client *client = conn->client;

	reply->attempt = conn->attempt;
	if (!conn->attempt)
		return;
	g_hash_table_remove(client->attempts, &conn->attempt);
	conn->attempt = 0;
	client->replied(client->data, reply);
}

static void close_failed_conn(struct rr_replica_conn *conn,
			      enum rr_gate_outcome outcome, const char *reason,
			      bool closed)
{
	struct rr_replica_client *client = conn->client;
	struct rr_gate_reply reply = {
		.attempt = conn->attempt,
		.outcome = outcome,
		.unreachable =
			conn->state == CONN_CONNECTING && !conn->peer_reachable,
		.connection_closed = closed,
	};

	char *probed =
		conn->is_probe ? g_strdup(conn->pool->incarnation) : NULL;
	bool reached = conn->peer_reachable;

	if (conn->attempt)
		rr_log(client->ctx, RR_LOG_DECISION, "connection-broken",
		       RR_FIELD_U64("attempt", conn->attempt),
		       RR_FIELD_STRING("lifetime", conn->pool->incarnation),
		       RR_FIELD_STRING("reason", reason));
	rr_close_replica_conn(conn);
	if (probed)
		client->probed(client->data, probed, reached);
	g_free(probed);
	if (reply.attempt)
		client->replied(client->data, &reply);
}

void rr_fail_replica_conn(struct rr_replica_conn *conn,
			  enum rr_gate_outcome outcome, const char *reason)
{
	close_failed_conn(conn, outcome, reason, false);
}

/* Reports that the connection of a probe is established. */
static void report_probe_success(struct rr_replica_conn *conn)
{
	conn->is_probe = false;
	conn->client->probed(conn->client->data, conn->pool->incarnation, true);
}

static int64_t get_keep_alive_us(const struct rr_http_message *message)
{
	const char *value = rr_find_http_header(message, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	int64_t keep_alive_us = DEFAULT_KEEP_ALIVE_US;

	if (timeout) {
		guint64 keep_alive_s = g_ascii_strtoull(
			timeout + strlen("timeout="), NULL, 10);

		keep_alive_us = MIN((int64_t)keep_alive_s * G_USEC_PER_SEC,
				    MAX_KEEP_ALIVE_US);
	}
	return MAX(keep_alive_us - KEEP_ALIVE_MARGIN_US, keep_alive_us / 4);
}

/*
 * Limits idle connections. If instances lose power, a replica counts their
 * connections until it detects the loss. The limit is low enough that the
 * restarted instances can open as many new connections without exceeding the
 * replica's connection limit.
 */
static bool is_below_idle_limit(const struct rr_replica_conn *conn)
{
	return conn->pool->idle.length < MAX(1, conn->pool->max_idle);
}

static void start_idle(struct rr_replica_conn *conn, int64_t keep_alive_us)
{
	rr_remove_active_conn(conn);
	conn->state = CONN_IDLE;
	conn->reuse_until_us = conn->client->now_us + keep_alive_us;
	g_clear_pointer(&conn->request_id, g_free);
	rr_reset_http_reader(conn->reader, false);
	rr_end_memory_wait(&conn->memory);
	rr_update_conn_memory(conn);
	g_queue_push_head(&conn->pool->idle, conn);
}

static const char *find_header(const struct rr_http_message *message,
			       const char *name)
{
	return name ? rr_find_http_header(message, name) : NULL;
}

/* A malformed load report does not invalidate the answer. */
static void fill_load(const struct rr_replica_client *client,
		      const struct rr_http_message *message,
		      struct rr_gate_load *load)
{
	const char *text = find_header(message, client->load_header);

	if (text && !client->parse_load(text, load))
		rr_count(client->ctx, RR_N_BAD_LOAD_REPORTS, 1);
}

static void fill_reply(const struct rr_replica_conn *conn,
		       const struct rr_http_message *message,
		       struct rr_gate_reply *reply)
{
	const struct rr_replica_client *client = conn->client;

	reply->status = message->status;
	reply->signature = find_header(message, client->signature_header);
	reply->body = message->body;
	reply->length = message->body_length;
	reply->message = message;
	fill_load(client, message, &reply->load);
	reply->outcome = RR_GATE_ANSWERED;
	if (message->status == 421) {
		reply->outcome = RR_GATE_REJECTED;
		reply->wrong_incarnation = true;
	} else if (find_header(message, client->not_run_header)) {
		reply->outcome = RR_GATE_REJECTED;
	} else if (message->status < 300 && client->signature_header &&
		   !reply->signature) {
		/* A success without its signature is not accepted. */
		reply->outcome = RR_GATE_BROKEN;
	}
}

/*
 * Returns whether an answer belongs to another request, by the request id that
 * it echoes.
 */
static bool is_mismatched(const struct rr_replica_conn *conn,
			  const struct rr_http_message *message)
{
	const char *id = find_header(message, conn->client->request_id_header);

#ifdef RR_MUTANT_PORT_TAKES_FOREIGN
	return false;
#endif
	return id && conn->request_id && strcmp(id, conn->request_id);
}

/*
 * Handles a complete answer, which was followed by `n_extra` bytes. The
 * connection may be freed afterwards.
 */
static void handle_answer(struct rr_replica_conn *conn, size_t n_extra)
{
	const struct rr_http_message *message = rr_http_message(conn->reader);
	struct rr_gate_reply reply = { 0 };
	int64_t keep_alive_us = get_keep_alive_us(message);
	bool reusable = message->keep_alive && !conn->no_reuse && !n_extra &&
			!rr_unsent_bytes(conn->stream);

	fill_reply(conn, message, &reply);
	if (n_extra)
		rr_log(conn->client->ctx, RR_LOG_DECISION,
		       "bytes-behind-answer",
		       RR_FIELD_U64("attempt", conn->attempt),
		       RR_FIELD_STRING("lifetime", conn->pool->incarnation),
		       RR_FIELD_U64("bytes", n_extra));
	report_reply(conn, &reply);
	if (reusable && !conn->pool->closing && is_below_idle_limit(conn))
		start_idle(conn, keep_alive_us);
	else
		rr_close_replica_conn(conn);
}

/*
 * Skips an answer to an earlier request: the expected one follows it, and a
 * non-idempotent request must not be lost because of it. The connection is not
 * reused. Returns false if the connection was closed.
 */
static bool skip_answer(struct rr_replica_conn *conn)
{
	rr_count(conn->client->ctx, RR_N_BAD_REPLIES, 1);
	conn->no_reuse = true;
	if (++conn->n_mismatched > MAX_MISMATCHED_ANSWERS ||
	    rr_http_message(conn->reader)->close_delimited) {
		rr_fail_replica_conn(conn, RR_GATE_BROKEN, "foreign-answers");
		return false;
	}
	rr_reset_http_reader(conn->reader, conn->no_body);
	return true;
}

static void on_received(void *data, const uint8_t *bytes, size_t length)
{
	struct rr_replica_conn *conn = data;
	size_t at = 0;

#ifdef RR_MUTANT_PORT_UNASKED_BYTES
	if (conn->state == CONN_IDLE)
		return;
#endif
	if (conn->state != CONN_BUSY) {
		rr_fail_replica_conn(conn, RR_GATE_BROKEN, "unasked-bytes");
		return;
	}
	while (at < length) {
		size_t used;
		enum rr_http_result result = rr_parse_http(
			conn->reader, bytes + at, length - at, &used);

		at += used;
		if (result == RR_HTTP_INCOMPLETE) {
			throttle_answer(conn);
			return;
		}
		if (result != RR_HTTP_COMPLETE) {
			rr_fail_replica_conn(conn, RR_GATE_BROKEN, "no-answer");
			return;
		}
		if (!is_mismatched(conn, rr_http_message(conn->reader))) {
			handle_answer(conn, length - at);
			return;
		}
		if (!skip_answer(conn))
			return;
	}
}

/* The other side has closed an idle connection. */
static void close_idle_conn(struct rr_replica_conn *conn)
{
	struct rr_replica_client *client = conn->client;
	char *incarnation = g_strdup(conn->pool->incarnation);

	rr_close_replica_conn(conn);
	if (client->idle_closed)
		client->idle_closed(client->data, incarnation);
	g_free(incarnation);
}

static void on_ended(void *data, enum rr_stream_end end)
{
	struct rr_replica_conn *conn = data;
	bool started;

	if (conn->state == CONN_CONNECTING) {
		/*
		 * A reset shows that the peer is reachable but accepts no
		 * connection.
		 */
		conn->peer_reachable = end != RR_STREAM_REFUSED;
		rr_fail_replica_conn(conn, RR_GATE_UNSENT,
				     conn->peer_reachable ? "reset" :
							    "refused");
		return;
	}
	if (conn->state == CONN_IDLE) {
		close_idle_conn(conn);
		return;
	}
	started = rr_http_is_started(conn->reader);
	if (end == RR_STREAM_EOF && started &&
	    rr_finish_http(conn->reader) == RR_HTTP_COMPLETE) {
		if (is_mismatched(conn, rr_http_message(conn->reader)))
			rr_fail_replica_conn(conn, RR_GATE_BROKEN,
					     "foreign-answer");
		else
			handle_answer(conn, 0);
		return;
	}
	close_failed_conn(conn, RR_GATE_BROKEN,
			  started ? "cut-short" : "closed", true);
}

void rr_mark_conn_busy(struct rr_replica_conn *conn)
{
	conn->state = CONN_BUSY;
	rr_reset_http_reader(conn->reader, conn->no_body);
}

static void on_connected(void *data)
{
	struct rr_replica_conn *conn = data;
	bool taken;

	if (!conn->attempt) {
		start_idle(conn, DEFAULT_KEEP_ALIVE_US);
		if (conn->is_probe)
			report_probe_success(conn);
		return;
	}
	rr_mark_conn_busy(conn);
	if (!rr_write_stream(conn->stream, conn->pending_request->data,
			     conn->pending_request->len, &taken)) {
		close_failed_conn(conn, taken ? RR_GATE_BROKEN : RR_GATE_UNSENT,
				  "write", taken);
		return;
	}
	g_clear_pointer(&conn->pending_request, g_byte_array_unref);
	rr_update_conn_memory(conn);
}

struct rr_replica_conn *rr_open_replica_conn(struct rr_replica_client *client,
					     struct rr_conn_pool *pool)
{
	struct rr_replica_conn *conn = g_new0(struct rr_replica_conn, 1);
	struct rr_stream_callbacks callbacks = {
		.connected = on_connected,
		.received = on_received,
		.ended = on_ended,
		.data = conn,
	};
	struct rr_http_reader_options reader_options = {
		.parse_responses = true,
		.max_header_bytes = MAX_ANSWER_HEADER_BYTES,
		.max_body_bytes = MAX_ANSWER_BYTES,
	};

	conn->stream =
		rr_connect_stream(client->poller, pool->address, &callbacks);
	if (!conn->stream) {
		g_free(conn);
		return NULL;
	}
	conn->client = client;
	conn->pool = pool;
	conn->reader = rr_new_http_reader(&reader_options);
	conn->state = CONN_CONNECTING;
	conn->connect_started_us = client->now_us;
	conn->link.data = conn;
	rr_init_memory_user(&conn->memory, client->memory, resume_answer, conn);
	rr_add_active_conn(conn);
	pool->n_conns++;
	return conn;
}
