/*
 * replica-client.c - the client end of the data path.
 */
#include "net/replica-client.h"

#include <string.h>

#include "net/replica-conn.h"

/*
 * A connection not made by then goes to a replica that is gone or cut off:
 * ten times what a slow one needs, under the first resend of a lost packet.
 */
#define CONNECT_TIMEOUT_US (400 * 1000)
/* What may run once is waited for so much longer than its deadline. */
#define DEADLINE_GRACE_US (500 * 1000)
#define NO_DEADLINE_US (60 * G_USEC_PER_SEC)

/* A reply given from inside a send: it is handed out at the next tick. */
struct owed {
	uint64_t attempt; /* 0: a probe that failed */
	char *lifetime;
};

static void free_owed(gpointer data)
{
	struct owed *owed = data;

	g_free(owed->lifetime);
	g_free(owed);
}

static void free_replica(gpointer data)
{
	struct rr_conn_pool *replica = data;

	g_free(replica->incarnation);
	g_free(replica->address);
	g_free(replica);
}

struct rr_replica_client *
rr_new_replica_client(struct rr_context *ctx,
		      const struct rr_replica_client_options *options)
{
	struct rr_replica_client *port = g_new0(struct rr_replica_client, 1);

	port->ctx = rr_keep_context(ctx);
	port->poller = options->poller;
	port->request_id_header = g_strdup(options->request_id_header);
	port->signature_header = g_strdup(options->signature_header);
	port->not_run_header = g_strdup(options->not_run_header);
	port->load_header = g_strdup(options->load_header);
	port->parse_load = options->parse_load;
	port->replied = options->replied;
	port->probed = options->probed;
	port->data = options->data;
	port->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_replica);
	port->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&port->active);
	g_queue_init(&port->deferred);
	return port;
}

void rr_drop_replica_client(struct rr_replica_client *port)
{
	GHashTableIter iter;
	gpointer value;
	GList *link;

	if (!port)
		return;
	while ((link = g_queue_pop_head_link(&port->active))) {
		struct rr_replica_conn *conn = link->data;

		conn->is_active = false;
		rr_free_conn(conn);
	}
	g_hash_table_iter_init(&iter, port->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_conn_pool *replica = value;
		struct rr_replica_conn *conn;

		replica->closing = false;
		while ((conn = g_queue_pop_head(&replica->idle)))
			rr_free_conn(conn);
	}
	g_queue_clear_full(&port->deferred, free_owed);
	g_hash_table_unref(port->attempts);
	g_hash_table_unref(port->pools);
	g_free(port->request_id_header);
	g_free(port->signature_header);
	g_free(port->not_run_header);
	g_free(port->load_header);
	rr_drop_context(port->ctx);
	g_free(port);
}

static struct rr_conn_pool *replica_of(struct rr_replica_client *port,
				       const char *lifetime,
				       const char *address)
{
	struct rr_conn_pool *replica =
		g_hash_table_lookup(port->pools, lifetime);

	if (!replica) {
		replica = g_new0(struct rr_conn_pool, 1);
		replica->incarnation = g_strdup(lifetime);
		replica->address = g_strdup(address);
		g_queue_init(&replica->idle);
		g_hash_table_insert(port->pools, replica->incarnation, replica);
	}
	return replica;
}

/* An idle connection that may be used; those that may not are closed. */
static struct rr_replica_conn *take_idle(struct rr_replica_client *port,
					 struct rr_conn_pool *replica,
					 bool idempotent)
{
	struct rr_replica_conn *conn;

	while ((conn = g_queue_pop_head(&replica->idle))) {
		/*
		 * What may run once is not sent where an end or stray bytes
		 * wait to be read already.
		 */
		if (conn->reuse_until_us > port->now_us &&
		    (idempotent || !rr_stream_has_input(conn->stream))) {
			rr_add_active_conn(conn);
			rr_mark_conn_busy(conn);
			return conn;
		}
		rr_free_conn(conn);
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

static void owe_unsent(struct rr_replica_client *port, uint64_t attempt)
{
	struct owed *owed = g_new0(struct owed, 1);

	owed->attempt = attempt;
	g_queue_push_tail(&port->deferred, owed);
}

static void owe_probe(struct rr_replica_client *port, const char *lifetime)
{
	struct owed *owed = g_new0(struct owed, 1);

	owed->lifetime = g_strdup(lifetime);
	g_queue_push_tail(&port->deferred, owed);
}

static void bind_attempt(struct rr_replica_conn *conn,
			 const struct rr_gate_attempt_info *send,
			 const struct rr_raw_request *request)
{
	conn->attempt = send->attempt;
	conn->idempotent = send->idempotent;
	conn->no_body = request->no_body;
	conn->n_mismatched = 0;
	conn->no_reuse = false;
	conn->request_id = g_strdup(request->request_id);
	conn->deadline_us =
		conn->client->now_us +
		(send->deadline_ms >= 0 ?
			 send->deadline_ms * 1000 + DEADLINE_GRACE_US :
			 NO_DEADLINE_US);
	g_hash_table_insert(conn->client->attempts, &conn->attempt, conn);
}

void rr_send_to_replica(struct rr_replica_client *port, int64_t now_us,
			const struct rr_gate_attempt_info *send,
			const struct rr_raw_request *request)
{
	struct rr_conn_pool *replica =
		replica_of(port, send->incarnation, send->address);
	GByteArray *bytes = join_request(request);
	struct rr_replica_conn *conn;
	bool taken;

	port->now_us = now_us;
	replica->max_idle = send->max_idle_connections;
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
		rr_free_conn(conn);
	}
	conn = rr_open_replica_conn(port, replica);
	if (!conn) {
		g_byte_array_unref(bytes);
		owe_unsent(port, send->attempt);
		return;
	}
	bind_attempt(conn, send, request);
	conn->pending_request = bytes;
}

void rr_cancel_replica_attempt(struct rr_replica_client *port, uint64_t attempt)
{
	struct rr_replica_conn *conn =
		g_hash_table_lookup(port->attempts, &attempt);

	if (conn)
		rr_free_conn(conn);
}

bool rr_cancel_unsent_attempt(struct rr_replica_client *port, uint64_t attempt)
{
	struct rr_replica_conn *conn =
		g_hash_table_lookup(port->attempts, &attempt);

	if (!conn || conn->state != CONN_CONNECTING)
		return false;
	rr_free_conn(conn);
	return true;
}

void rr_preconnect_replica(struct rr_replica_client *port, int64_t now_us,
			   const char *lifetime, const char *address)
{
	struct rr_conn_pool *replica = replica_of(port, lifetime, address);

	port->now_us = now_us;
	replica->closing = false;
	if (!replica->n_conns)
		rr_open_replica_conn(port, replica);
}

void rr_probe_replica(struct rr_replica_client *port, int64_t now_us,
		      const char *lifetime, const char *address)
{
	struct rr_conn_pool *replica = replica_of(port, lifetime, address);
	struct rr_replica_conn *conn;

	port->now_us = now_us;
	conn = rr_open_replica_conn(port, replica);
	if (conn)
		conn->is_probe = true;
	else
		owe_probe(port, lifetime);
}

void rr_close_replica_conns(struct rr_replica_client *port,
			    const char *lifetime)
{
	struct rr_conn_pool *replica =
		g_hash_table_lookup(port->pools, lifetime);

	if (!replica)
		return;
	replica->closing = true;
	if (!replica->n_conns) {
		g_hash_table_remove(port->pools, lifetime);
		return;
	}
	/* With the last connection the replica goes as well. */
	for (guint n = replica->idle.length; n; n--)
		rr_free_conn(g_queue_pop_head(&replica->idle));
}

static void give_owed(struct rr_replica_client *port)
{
	struct owed *owed;

	while ((owed = g_queue_pop_head(&port->deferred))) {
		struct rr_gate_reply reply = {
			.attempt = owed->attempt,
			.outcome = RR_GATE_UNSENT,
			.unreachable = true,
		};

		if (owed->lifetime)
			port->probed(port->data, owed->lifetime, false);
		else
			port->replied(port->data, &reply);
		free_owed(owed);
	}
}

/* When a connection in use is given up. */
static int64_t bound_of(const struct rr_replica_conn *conn)
{
	if (conn->state == CONN_CONNECTING)
		return conn->connect_started_us + CONNECT_TIMEOUT_US;
	return conn->idempotent ? INT64_MAX : conn->deadline_us;
}

/* One that is given up, taken off the list; NULL if there is none. */
static struct rr_replica_conn *take_overdue(struct rr_replica_client *port)
{
	for (GList *l = port->active.head; l; l = l->next) {
		struct rr_replica_conn *conn = l->data;

		if (bound_of(conn) > port->now_us)
			continue;
		rr_remove_active_conn(conn);
		return conn;
	}
	return NULL;
}

void rr_tick_replica_client(struct rr_replica_client *port, int64_t now_us)
{
	struct rr_replica_conn *conn;

	port->now_us = now_us;
	give_owed(port);
	/* One at a time: its end may change what the others wait for. */
	conn = take_overdue(port);
	if (conn)
		rr_fail_conn(conn,
			     conn->state == CONN_CONNECTING ? RR_GATE_UNSENT :
							      RR_GATE_NO_REPLY,
			     conn->state == CONN_CONNECTING ?
				     "connect-timeout" :
				     "silent");
}

int64_t rr_replica_client_wake_us(const struct rr_replica_client *port)
{
	int64_t wake_us = INT64_MAX;

	if (port->deferred.length)
		return 0;
	for (GList *l = port->active.head; l; l = l->next)
		wake_us = MIN(wake_us, bound_of(l->data));
	return wake_us;
}
