/*
 * replica-port.c - the client end of the data path.
 */
#include "net/replica-port.h"

#include <string.h>

#include "net/stream.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * A connection not made by then goes to a replica that is gone or cut off:
 * ten times what a slow one needs, under the first resend of a lost packet.
 */
#define CONNECT_TIMEOUT_US (400 * 1000)
/* What may run once is waited for so much longer than its deadline. */
#define DEADLINE_GRACE_US (500 * 1000)
#define NO_DEADLINE_US (60 * G_USEC_PER_SEC)
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

enum conn_state {
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_BUSY, /* its attempt's request was sent, at least in part */
};

struct replica {
	char *endpoint;
	char *address;
	GQueue idle; /* struct conn, the one used last at the head */
	uint32_t most_idle;
	uint32_t n_conns;
	bool forgotten;
};

struct conn {
	struct rr_replica_port *port;
	struct replica *replica;
	struct rr_stream *stream;
	struct rr_http_reader *reader;
	enum conn_state state;
	int64_t since_us; /* connecting */
	int64_t keep_until_us;
	uint64_t attempt; /* 0: none */
	int64_t give_up_us;
	bool idempotent;
	bool no_body;
	bool probe;   /* its connecting is waited for */
	bool reached; /* though it did not come to stand */
	bool soiled;  /* not to be used again after this answer */
	uint32_t n_foreign;
	char *request_id;
	GByteArray *request; /* waits for the connection */
	GList link;	     /* in the port's list of connections in use */
	bool linked;
};

/* A reply given from inside a send: it is handed out at the next tick. */
struct owed {
	uint64_t attempt; /* 0: a probe that failed */
	char *endpoint;
};

struct rr_replica_port {
	struct rr_context *ctx;
	struct rr_poller *poller;
	char *request_id; /* headers' names; NULL: not looked at */
	char *seal;
	char *not_run;
	void (*replied)(void *data, const struct rr_gate_reply *reply);
	void (*probed)(void *data, const char *endpoint, bool reached);
	void *data;
	int64_t now_us;
	GHashTable *replicas; /* endpoint -> struct replica */
	GHashTable *attempts; /* id -> struct conn */
	GQueue used;	      /* struct conn: connecting or busy */
	GQueue owed;	      /* struct owed */
};

static void free_owed(gpointer data)
{
	struct owed *owed = data;

	g_free(owed->endpoint);
	g_free(owed);
}

static void free_replica(gpointer data)
{
	struct replica *replica = data;

	g_free(replica->endpoint);
	g_free(replica->address);
	g_free(replica);
}

struct rr_replica_port *
rr_new_replica_port(struct rr_context *ctx,
		    const struct rr_replica_port_options *options)
{
	struct rr_replica_port *port = g_new0(struct rr_replica_port, 1);

	port->ctx = rr_keep_context(ctx);
	port->poller = options->poller;
	port->request_id = g_strdup(options->request_id);
	port->seal = g_strdup(options->seal);
	port->not_run = g_strdup(options->not_run);
	port->replied = options->replied;
	port->probed = options->probed;
	port->data = options->data;
	port->replicas = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_replica);
	port->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&port->used);
	g_queue_init(&port->owed);
	return port;
}

static void link_used(struct conn *conn)
{
	g_queue_push_tail_link(&conn->port->used, &conn->link);
	conn->linked = true;
}

static void unlink_used(struct conn *conn)
{
	if (conn->linked)
		g_queue_unlink(&conn->port->used, &conn->link);
	conn->linked = false;
}

/* Close a connection and forget it. */
static void free_conn(struct conn *conn)
{
	struct rr_replica_port *port = conn->port;
	struct replica *replica = conn->replica;

	if (conn->attempt)
		g_hash_table_remove(port->attempts, &conn->attempt);
	unlink_used(conn);
	if (conn->state == CONN_IDLE)
		g_queue_remove(&replica->idle, conn);
	rr_drop_stream(conn->stream);
	rr_drop_http_reader(conn->reader);
	if (conn->request)
		g_byte_array_unref(conn->request);
	g_free(conn->request_id);
	g_free(conn);
	if (!--replica->n_conns && replica->forgotten)
		g_hash_table_remove(port->replicas, replica->endpoint);
}

void rr_drop_replica_port(struct rr_replica_port *port)
{
	GHashTableIter iter;
	gpointer value;
	GList *link;

	if (!port)
		return;
	while ((link = g_queue_pop_head_link(&port->used))) {
		struct conn *conn = link->data;

		conn->linked = false;
		free_conn(conn);
	}
	g_hash_table_iter_init(&iter, port->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct replica *replica = value;
		struct conn *conn;

		replica->forgotten = false;
		while ((conn = g_queue_pop_head(&replica->idle)))
			free_conn(conn);
	}
	g_queue_clear_full(&port->owed, free_owed);
	g_hash_table_unref(port->attempts);
	g_hash_table_unref(port->replicas);
	g_free(port->request_id);
	g_free(port->seal);
	g_free(port->not_run);
	rr_drop_context(port->ctx);
	g_free(port);
}

/* Give the reply of a connection's attempt, which is then over. */
static void give_reply(struct conn *conn, struct rr_gate_reply *reply)
{
	struct rr_replica_port *port = conn->port;

	reply->attempt = conn->attempt;
	if (!conn->attempt)
		return;
	g_hash_table_remove(port->attempts, &conn->attempt);
	conn->attempt = 0;
	port->replied(port->data, reply);
}

/* The connection is of no more use; its attempt, if any, is told so. */
static void break_conn(struct conn *conn, enum rr_gate_outcome outcome,
		       const char *reason)
{
	struct rr_replica_port *port = conn->port;
	struct rr_gate_reply reply = {
		.attempt = conn->attempt,
		.outcome = outcome,
		.unreachable = conn->state == CONN_CONNECTING && !conn->reached,
	};

	char *probed = conn->probe ? g_strdup(conn->replica->endpoint) : NULL;
	bool reached = conn->reached;

	if (conn->attempt)
		rr_log(port->ctx, RR_LOG_DECISION, "connection-broken",
		       RR_FIELD_U64("attempt", conn->attempt),
		       RR_FIELD_STRING("endpoint", conn->replica->endpoint),
		       RR_FIELD_STRING("reason", reason));
	free_conn(conn);
	if (probed)
		port->probed(port->data, probed, reached);
	g_free(probed);
	if (reply.attempt)
		port->replied(port->data, &reply);
}

/* A probe's connection stands. */
static void tell_reached(struct conn *conn)
{
	conn->probe = false;
	conn->port->probed(conn->port->data, conn->replica->endpoint, true);
}

static int64_t keep_us_of(const struct rr_http_message *message)
{
	const char *value = rr_http_value(message, "Keep-Alive");
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
static bool may_keep(const struct conn *conn)
{
	return conn->replica->idle.length < MAX(1, conn->replica->most_idle);
}

static void start_idle(struct conn *conn, int64_t keep_us)
{
	unlink_used(conn);
	conn->state = CONN_IDLE;
	conn->keep_until_us = conn->port->now_us + keep_us;
	g_clear_pointer(&conn->request_id, g_free);
	rr_reset_http_reader(conn->reader, false);
	g_queue_push_head(&conn->replica->idle, conn);
}

static const char *value_of(const struct rr_http_message *message,
			    const char *name)
{
	return name ? rr_http_value(message, name) : NULL;
}

static void fill_reply(const struct conn *conn,
		       const struct rr_http_message *message,
		       struct rr_gate_reply *reply)
{
	const struct rr_replica_port *port = conn->port;

	reply->status = message->status;
	reply->seal = value_of(message, port->seal);
	reply->body = message->body;
	reply->length = message->body_length;
	reply->message = message;
	reply->outcome = RR_GATE_ANSWERED;
	if (message->status == 421) {
		reply->outcome = RR_GATE_REFUSED;
		reply->other_instance = true;
	} else if (value_of(message, port->not_run)) {
		reply->outcome = RR_GATE_REFUSED;
	} else if (message->status < 300 && port->seal && !reply->seal) {
		/* A success counts only with its signature. */
		reply->outcome = RR_GATE_BROKEN;
	}
}

/* Whether an answer is to another request, by the id that it echoes. */
static bool is_foreign(const struct conn *conn,
		       const struct rr_http_message *message)
{
	const char *id = value_of(message, conn->port->request_id);

#ifdef RR_MUTANT_PORT_TAKES_FOREIGN
	return false;
#endif
	return id && conn->request_id && strcmp(id, conn->request_id);
}

/*
 * Take a whole answer; `rest` bytes came behind it.  The connection may be
 * gone afterwards.
 */
static void take_answer(struct conn *conn, size_t rest)
{
	const struct rr_http_message *message = rr_http_message(conn->reader);
	struct rr_gate_reply reply = { 0 };
	int64_t keep_us = keep_us_of(message);
	bool reusable = message->keep_alive && !conn->soiled && !rest &&
			!rr_unsent_bytes(conn->stream);

	fill_reply(conn, message, &reply);
	if (rest)
		rr_log(conn->port->ctx, RR_LOG_DECISION, "bytes-behind-answer",
		       RR_FIELD_U64("attempt", conn->attempt),
		       RR_FIELD_STRING("endpoint", conn->replica->endpoint),
		       RR_FIELD_U64("bytes", rest));
	give_reply(conn, &reply);
	if (reusable && !conn->replica->forgotten && may_keep(conn))
		start_idle(conn, keep_us);
	else
		free_conn(conn);
}

/*
 * An answer to an earlier request stands where ours is expected.  It is
 * passed over: ours comes behind it, and what may run once is not to be lost
 * for it.  The connection is not used again.
 */
static bool pass_over(struct conn *conn)
{
	rr_count(conn->port->ctx, RR_N_BAD_REPLIES, 1);
	conn->soiled = true;
	if (++conn->n_foreign > MOST_FOREIGN ||
	    rr_http_message(conn->reader)->until_close) {
		break_conn(conn, RR_GATE_BROKEN, "foreign-answers");
		return false;
	}
	rr_reset_http_reader(conn->reader, conn->no_body);
	return true;
}

static void take_bytes(void *data, const uint8_t *bytes, size_t length)
{
	struct conn *conn = data;
	size_t at = 0;

#ifdef RR_MUTANT_PORT_UNASKED_BYTES
	if (conn->state == CONN_IDLE)
		return;
#endif
	if (conn->state != CONN_BUSY) {
		break_conn(conn, RR_GATE_BROKEN, "unasked-bytes");
		return;
	}
	while (at < length) {
		size_t used;
		enum rr_http_result result = rr_read_http(
			conn->reader, bytes + at, length - at, &used);

		at += used;
		if (result == RR_HTTP_MORE)
			return;
		if (result != RR_HTTP_WHOLE) {
			break_conn(conn, RR_GATE_BROKEN, "no-answer");
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
	struct conn *conn = data;
	bool begun;

	if (conn->state == CONN_CONNECTING) {
		/* A reset shows that somebody is there, with no room. */
		conn->reached = end != RR_END_REFUSED;
		break_conn(conn, RR_GATE_UNSENT,
			   conn->reached ? "reset" : "refused");
		return;
	}
	if (conn->state == CONN_IDLE) {
		free_conn(conn);
		return;
	}
	begun = rr_http_begun(conn->reader);
	if (end == RR_END_ORDERLY && begun &&
	    rr_end_http(conn->reader) == RR_HTTP_WHOLE) {
		if (is_foreign(conn, rr_http_message(conn->reader)))
			break_conn(conn, RR_GATE_BROKEN, "foreign-answer");
		else
			take_answer(conn, 0);
		return;
	}
	break_conn(conn, RR_GATE_BROKEN, begun ? "cut-short" : "closed");
}

static void start_busy(struct conn *conn)
{
	conn->state = CONN_BUSY;
	rr_reset_http_reader(conn->reader, conn->no_body);
}

static void take_connected(void *data)
{
	struct conn *conn = data;
	bool taken;

	if (!conn->attempt) {
		start_idle(conn, KEEP_GUESS_US);
		if (conn->probe)
			tell_reached(conn);
		return;
	}
	start_busy(conn);
	if (!rr_write_stream(conn->stream, conn->request->data,
			     conn->request->len, &taken)) {
		break_conn(conn, taken ? RR_GATE_BROKEN : RR_GATE_UNSENT,
			   "write");
		return;
	}
	g_clear_pointer(&conn->request, g_byte_array_unref);
}

static struct conn *connect_to(struct rr_replica_port *port,
			       struct replica *replica)
{
	struct conn *conn = g_new0(struct conn, 1);
	struct rr_stream_owner owner = {
		.connected = take_connected,
		.received = take_bytes,
		.ended = take_end,
		.data = conn,
	};
	struct rr_http_reader_options reading = {
		.responses = true,
		.max_header_bytes = MOST_ANSWER_HEAD_BYTES,
		.max_body_bytes = MOST_ANSWER_BYTES,
	};

	conn->stream =
		rr_connect_stream(port->poller, replica->address, &owner);
	if (!conn->stream) {
		g_free(conn);
		return NULL;
	}
	conn->port = port;
	conn->replica = replica;
	conn->reader = rr_new_http_reader(&reading);
	conn->state = CONN_CONNECTING;
	conn->since_us = port->now_us;
	conn->link.data = conn;
	link_used(conn);
	replica->n_conns++;
	return conn;
}

static struct replica *replica_of(struct rr_replica_port *port,
				  const char *endpoint, const char *address)
{
	struct replica *replica = g_hash_table_lookup(port->replicas, endpoint);

	if (!replica) {
		replica = g_new0(struct replica, 1);
		replica->endpoint = g_strdup(endpoint);
		replica->address = g_strdup(address);
		g_queue_init(&replica->idle);
		g_hash_table_insert(port->replicas, replica->endpoint, replica);
	}
	return replica;
}

/* An idle connection that may be used; those that may not are closed. */
static struct conn *take_idle(struct rr_replica_port *port,
			      struct replica *replica, bool idempotent)
{
	struct conn *conn;

	while ((conn = g_queue_pop_head(&replica->idle))) {
		/*
		 * What may run once is not sent where an end or stray bytes
		 * wait to be read already.
		 */
		if (conn->keep_until_us > port->now_us &&
		    (idempotent || !rr_stream_has_news(conn->stream))) {
			link_used(conn);
			start_busy(conn);
			return conn;
		}
		free_conn(conn);
	}
	return NULL;
}

static GByteArray *join_request(const struct rr_request_bytes *request)
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

static void owe_unsent(struct rr_replica_port *port, uint64_t attempt)
{
	struct owed *owed = g_new0(struct owed, 1);

	owed->attempt = attempt;
	g_queue_push_tail(&port->owed, owed);
}

static void owe_probe(struct rr_replica_port *port, const char *endpoint)
{
	struct owed *owed = g_new0(struct owed, 1);

	owed->endpoint = g_strdup(endpoint);
	g_queue_push_tail(&port->owed, owed);
}

static void bind_attempt(struct conn *conn, const struct rr_gate_send *send,
			 const struct rr_request_bytes *request)
{
	conn->attempt = send->attempt;
	conn->idempotent = send->idempotent;
	conn->no_body = request->no_body;
	conn->n_foreign = 0;
	conn->soiled = false;
	conn->request_id = g_strdup(request->request_id);
	conn->give_up_us = conn->port->now_us +
			   (send->deadline_ms >= 0 ? send->deadline_ms * 1000 +
							     DEADLINE_GRACE_US :
						     NO_DEADLINE_US);
	g_hash_table_insert(conn->port->attempts, &conn->attempt, conn);
}

void rr_send_to_replica(struct rr_replica_port *port, int64_t now_us,
			const struct rr_gate_send *send,
			const struct rr_request_bytes *request)
{
	struct replica *replica =
		replica_of(port, send->endpoint, send->address);
	GByteArray *bytes = join_request(request);
	struct conn *conn;
	bool taken;

	port->now_us = now_us;
	replica->most_idle = send->kept_connections;
	while ((conn = take_idle(port, replica, send->idempotent))) {
		conn->no_body = request->no_body;
		rr_reset_http_reader(conn->reader, conn->no_body);
		if (rr_write_stream(conn->stream, bytes->data, bytes->len,
				    &taken)) {
			bind_attempt(conn, send, request);
			g_byte_array_unref(bytes);
			return;
		}
		/* No byte left: another connection may be tried. */
		free_conn(conn);
	}
	conn = connect_to(port, replica);
	if (!conn) {
		g_byte_array_unref(bytes);
		owe_unsent(port, send->attempt);
		return;
	}
	bind_attempt(conn, send, request);
	conn->request = bytes;
}

void rr_withdraw_from_replica(struct rr_replica_port *port, uint64_t attempt)
{
	struct conn *conn = g_hash_table_lookup(port->attempts, &attempt);

	if (conn)
		free_conn(conn);
}

void rr_open_replica(struct rr_replica_port *port, int64_t now_us,
		     const char *endpoint, const char *address)
{
	struct replica *replica = replica_of(port, endpoint, address);

	port->now_us = now_us;
	replica->forgotten = false;
	if (!replica->n_conns)
		connect_to(port, replica);
}

void rr_probe_replica(struct rr_replica_port *port, int64_t now_us,
		      const char *endpoint, const char *address)
{
	struct replica *replica = replica_of(port, endpoint, address);
	struct conn *conn;

	port->now_us = now_us;
	conn = connect_to(port, replica);
	if (conn)
		conn->probe = true;
	else
		owe_probe(port, endpoint);
}

void rr_forget_replica(struct rr_replica_port *port, const char *endpoint)
{
	struct replica *replica = g_hash_table_lookup(port->replicas, endpoint);

	if (!replica)
		return;
	replica->forgotten = true;
	if (!replica->n_conns) {
		g_hash_table_remove(port->replicas, endpoint);
		return;
	}
	/* With the last connection the replica goes as well. */
	for (guint n = replica->idle.length; n; n--)
		free_conn(g_queue_pop_head(&replica->idle));
}

static void give_owed(struct rr_replica_port *port)
{
	struct owed *owed;

	while ((owed = g_queue_pop_head(&port->owed))) {
		struct rr_gate_reply reply = {
			.attempt = owed->attempt,
			.outcome = RR_GATE_UNSENT,
			.unreachable = true,
		};

		if (owed->endpoint)
			port->probed(port->data, owed->endpoint, false);
		else
			port->replied(port->data, &reply);
		free_owed(owed);
	}
}

/* When a connection in use is given up. */
static int64_t bound_of(const struct conn *conn)
{
	if (conn->state == CONN_CONNECTING)
		return conn->since_us + CONNECT_TIMEOUT_US;
	return conn->idempotent ? INT64_MAX : conn->give_up_us;
}

/* One that is given up, taken off the list; NULL if there is none. */
static struct conn *take_overdue(struct rr_replica_port *port)
{
	for (GList *l = port->used.head; l; l = l->next) {
		struct conn *conn = l->data;

		if (bound_of(conn) > port->now_us)
			continue;
		unlink_used(conn);
		return conn;
	}
	return NULL;
}

void rr_tick_replica_port(struct rr_replica_port *port, int64_t now_us)
{
	struct conn *conn;

	port->now_us = now_us;
	give_owed(port);
	/* One at a time: its end may change what the others wait for. */
	conn = take_overdue(port);
	if (conn)
		break_conn(conn,
			   conn->state == CONN_CONNECTING ? RR_GATE_UNSENT :
							    RR_GATE_SILENT,
			   conn->state == CONN_CONNECTING ? "connect-timeout" :
							    "silent");
}

int64_t rr_replica_port_wake_us(const struct rr_replica_port *port)
{
	int64_t wake_us = INT64_MAX;

	if (port->owed.length)
		return 0;
	for (GList *l = port->used.head; l; l = l->next)
		wake_us = MIN(wake_us, bound_of(l->data));
	return wake_us;
}
