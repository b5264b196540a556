/*
 * replica-conn.c - one connection to a replica: what comes on it, and whether
 * it may be used again.
 */
#include "net/replica-conn.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * A kept connection is used until so long before the replica would close it.
 * Guards against a request that crosses the close and is lost.
 */
#define KEEP_MARGIN_US (700 * 1000)
/* Where the replica does not say how long it keeps one. */
#define KEEP_GUESS_US (2 * G_USEC_PER_SEC)
#define KEEP_MOST_US (60 * G_USEC_PER_SEC)
/* Answers of replicas are kept whole in memory up to this. */
#define MOST_ANSWER_BYTES (8 * 1024 * 1024)
#define MOST_ANSWER_HEAD_BYTES (64 * 1024)
/* Foreign answers that are passed over before ours is given up. */
#define MOST_FOREIGN 2

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

/* Close a connection and forget it. */
void rr_free_conn(struct rr_replica_conn *conn)
{
	struct rr_replica_client *port = conn->client;
	struct rr_conn_pool *replica = conn->pool;

	if (conn->attempt)
		g_hash_table_remove(port->attempts, &conn->attempt);
	rr_remove_active_conn(conn);
	if (conn->state == CONN_IDLE)
		g_queue_remove(&replica->idle, conn);
	rr_drop_stream(conn->stream);
	rr_drop_http_reader(conn->reader);
	if (conn->pending_request)
		g_byte_array_unref(conn->pending_request);
	g_free(conn->request_id);
	g_free(conn);
	if (!--replica->n_conns && replica->closing)
		g_hash_table_remove(port->pools, replica->incarnation);
}

/* Give the reply of a connection's attempt, which is then over. */
static void give_reply(struct rr_replica_conn *conn,
		       struct rr_gate_reply *reply)
{
	struct rr_replica_client *port = conn->client;

	reply->attempt = conn->attempt;
	if (!conn->attempt)
		return;
	g_hash_table_remove(port->attempts, &conn->attempt);
	conn->attempt = 0;
	port->replied(port->data, reply);
}

static void break_conn(struct rr_replica_conn *conn,
		       enum rr_gate_outcome outcome, const char *reason,
		       bool closed)
{
	struct rr_replica_client *port = conn->client;
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
		rr_log(port->ctx, RR_LOG_DECISION, "connection-broken",
		       RR_FIELD_U64("attempt", conn->attempt),
		       RR_FIELD_STRING("lifetime", conn->pool->incarnation),
		       RR_FIELD_STRING("reason", reason));
	rr_free_conn(conn);
	if (probed)
		port->probed(port->data, probed, reached);
	g_free(probed);
	if (reply.attempt)
		port->replied(port->data, &reply);
}

void rr_fail_conn(struct rr_replica_conn *conn, enum rr_gate_outcome outcome,
		  const char *reason)
{
	break_conn(conn, outcome, reason, false);
}

/* A probe's connection stands. */
static void tell_reached(struct rr_replica_conn *conn)
{
	conn->is_probe = false;
	conn->client->probed(conn->client->data, conn->pool->incarnation, true);
}

static int64_t keep_us_of(const struct rr_http_message *message)
{
	const char *value = rr_find_http_header(message, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	int64_t keep_us = KEEP_GUESS_US;

	if (timeout) {
		guint64 keep_s = g_ascii_strtoull(timeout + strlen("timeout="),
						  NULL, 10);

		keep_us = MIN((int64_t)keep_s * G_USEC_PER_SEC, KEEP_MOST_US);
	}
	return MAX(keep_us - KEEP_MARGIN_US, keep_us / 4);
}

/*
 * Connections of instances that lost power count at a replica until it finds
 * out.  Guards against a cap that is full of them when the instances are back:
 * each keeps so few at rest that as many again find room.
 */
static bool may_keep(const struct rr_replica_conn *conn)
{
	return conn->pool->idle.length < MAX(1, conn->pool->max_idle);
}

static void start_idle(struct rr_replica_conn *conn, int64_t keep_us)
{
	rr_remove_active_conn(conn);
	conn->state = CONN_IDLE;
	conn->reuse_until_us = conn->client->now_us + keep_us;
	g_clear_pointer(&conn->request_id, g_free);
	rr_reset_http_reader(conn->reader, false);
	g_queue_push_head(&conn->pool->idle, conn);
}

static const char *value_of(const struct rr_http_message *message,
			    const char *name)
{
	return name ? rr_find_http_header(message, name) : NULL;
}

/* A report that cannot be read is no fault of the answer it came with. */
static void fill_load(const struct rr_replica_client *port,
		      const struct rr_http_message *message,
		      struct rr_gate_load *load)
{
	const char *text = value_of(message, port->load_header);

	if (text && !port->parse_load(text, load))
		rr_count(port->ctx, RR_N_BAD_LOAD_REPORTS, 1);
}

static void fill_reply(const struct rr_replica_conn *conn,
		       const struct rr_http_message *message,
		       struct rr_gate_reply *reply)
{
	const struct rr_replica_client *port = conn->client;

	reply->status = message->status;
	reply->signature = value_of(message, port->signature_header);
	reply->body = message->body;
	reply->length = message->body_length;
	reply->message = message;
	fill_load(port, message, &reply->load);
	reply->outcome = RR_GATE_ANSWERED;
	if (message->status == 421) {
		reply->outcome = RR_GATE_REJECTED;
		reply->wrong_incarnation = true;
	} else if (value_of(message, port->not_run_header)) {
		reply->outcome = RR_GATE_REJECTED;
	} else if (message->status < 300 && port->signature_header &&
		   !reply->signature) {
		/* A success counts only with its signature. */
		reply->outcome = RR_GATE_BROKEN;
	}
}

/* Whether an answer is to another request, by the id that it echoes. */
static bool is_foreign(const struct rr_replica_conn *conn,
		       const struct rr_http_message *message)
{
	const char *id = value_of(message, conn->client->request_id_header);

#ifdef RR_MUTANT_PORT_TAKES_FOREIGN
	return false;
#endif
	return id && conn->request_id && strcmp(id, conn->request_id);
}

/*
 * Take a whole answer; `rest` bytes came behind it.  The connection may be
 * gone afterwards.
 */
static void take_answer(struct rr_replica_conn *conn, size_t rest)
{
	const struct rr_http_message *message = rr_http_message(conn->reader);
	struct rr_gate_reply reply = { 0 };
	int64_t keep_us = keep_us_of(message);
	bool reusable = message->keep_alive && !conn->no_reuse && !rest &&
			!rr_unsent_bytes(conn->stream);

	fill_reply(conn, message, &reply);
	if (rest)
		rr_log(conn->client->ctx, RR_LOG_DECISION,
		       "bytes-behind-answer",
		       RR_FIELD_U64("attempt", conn->attempt),
		       RR_FIELD_STRING("lifetime", conn->pool->incarnation),
		       RR_FIELD_U64("bytes", rest));
	give_reply(conn, &reply);
	if (reusable && !conn->pool->closing && may_keep(conn))
		start_idle(conn, keep_us);
	else
		rr_free_conn(conn);
}

/*
 * An answer to an earlier request stands where ours is expected.  It is
 * passed over: ours comes behind it, and what may run once is not to be lost
 * for it.  The connection is not used again.
 */
static bool pass_over(struct rr_replica_conn *conn)
{
	rr_count(conn->client->ctx, RR_N_BAD_REPLIES, 1);
	conn->no_reuse = true;
	if (++conn->n_mismatched > MOST_FOREIGN ||
	    rr_http_message(conn->reader)->close_delimited) {
		rr_fail_conn(conn, RR_GATE_BROKEN, "foreign-answers");
		return false;
	}
	rr_reset_http_reader(conn->reader, conn->no_body);
	return true;
}

static void take_bytes(void *data, const uint8_t *bytes, size_t length)
{
	struct rr_replica_conn *conn = data;
	size_t at = 0;

#ifdef RR_MUTANT_PORT_UNASKED_BYTES
	if (conn->state == CONN_IDLE)
		return;
#endif
	if (conn->state != CONN_BUSY) {
		rr_fail_conn(conn, RR_GATE_BROKEN, "unasked-bytes");
		return;
	}
	while (at < length) {
		size_t used;
		enum rr_http_result result = rr_parse_http(
			conn->reader, bytes + at, length - at, &used);

		at += used;
		if (result == RR_HTTP_INCOMPLETE)
			return;
		if (result != RR_HTTP_COMPLETE) {
			rr_fail_conn(conn, RR_GATE_BROKEN, "no-answer");
			return;
		}
		if (!is_foreign(conn, rr_http_message(conn->reader))) {
			take_answer(conn, length - at);
			return;
		}
		if (!pass_over(conn))
			return;
	}
}

static void take_end(void *data, enum rr_stream_end end)
{
	struct rr_replica_conn *conn = data;
	bool begun;

	if (conn->state == CONN_CONNECTING) {
		/* A reset shows that somebody is there, with no room. */
		conn->peer_reachable = end != RR_STREAM_REFUSED;
		rr_fail_conn(conn, RR_GATE_UNSENT,
			     conn->peer_reachable ? "reset" : "refused");
		return;
	}
	if (conn->state == CONN_IDLE) {
		rr_free_conn(conn);
		return;
	}
	begun = rr_http_is_started(conn->reader);
	if (end == RR_STREAM_EOF && begun &&
	    rr_finish_http(conn->reader) == RR_HTTP_COMPLETE) {
		if (is_foreign(conn, rr_http_message(conn->reader)))
			rr_fail_conn(conn, RR_GATE_BROKEN, "foreign-answer");
		else
			take_answer(conn, 0);
		return;
	}
	break_conn(conn, RR_GATE_BROKEN, begun ? "cut-short" : "closed", true);
}

void rr_mark_conn_busy(struct rr_replica_conn *conn)
{
	conn->state = CONN_BUSY;
	rr_reset_http_reader(conn->reader, conn->no_body);
}

static void take_connected(void *data)
{
	struct rr_replica_conn *conn = data;
	bool taken;

	if (!conn->attempt) {
		start_idle(conn, KEEP_GUESS_US);
		if (conn->is_probe)
			tell_reached(conn);
		return;
	}
	rr_mark_conn_busy(conn);
	if (!rr_write_stream(conn->stream, conn->pending_request->data,
			     conn->pending_request->len, &taken)) {
		break_conn(conn, taken ? RR_GATE_BROKEN : RR_GATE_UNSENT,
			   "write", taken);
		return;
	}
	g_clear_pointer(&conn->pending_request, g_byte_array_unref);
}

struct rr_replica_conn *rr_open_replica_conn(struct rr_replica_client *port,
					     struct rr_conn_pool *replica)
{
	struct rr_replica_conn *conn = g_new0(struct rr_replica_conn, 1);
	struct rr_stream_callbacks owner = {
		.connected = take_connected,
		.received = take_bytes,
		.ended = take_end,
		.data = conn,
	};
	struct rr_http_reader_options reading = {
		.parse_responses = true,
		.max_header_bytes = MOST_ANSWER_HEAD_BYTES,
		.max_body_bytes = MOST_ANSWER_BYTES,
	};

	conn->stream =
		rr_connect_stream(port->poller, replica->address, &owner);
	if (!conn->stream) {
		g_free(conn);
		return NULL;
	}
	conn->client = port;
	conn->pool = replica;
	conn->reader = rr_new_http_reader(&reading);
	conn->state = CONN_CONNECTING;
	conn->connect_started_us = port->now_us;
	conn->link.data = conn;
	rr_add_active_conn(conn);
	replica->n_conns++;
	return conn;
}
