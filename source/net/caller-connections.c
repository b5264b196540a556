/*
 * caller-connections.c - callers' connections, bounded in their number and in
 * the time that a caller may keep one waiting.
 */
#include "net/caller-connections.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

#define CONNECTION_KEY "ragwort-connection"
#define SWEEP_S 1
/*
 * Connections over the bound that are kept until their request is there, to
 * be told that nothing ran; those beyond are closed at once.
 */
#define MOST_TOLD 64

struct rr_caller_connections {
	struct rr_context *ctx;
	SoupServer *server;
	int64_t idle_us;
	uint32_t max_connections; /* 0: no bound */
	guint sweep_source;
	GHashTable *open; /* set of struct connection */
};

/* Lives as long as its socket. */
struct connection {
	struct rr_caller_connections *owner; /* NULL once that is dropped */
	GSocket *socket;
	bool works; /* the request is read, its reply not begun */
	bool ended;
	bool over;	  /* the bound on their number */
	int64_t since_us; /* when the caller's turn began */
};

static struct connection *connection_of(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	return socket ? g_object_get_data(G_OBJECT(socket), CONNECTION_KEY) :
			NULL;
}

static void set_turn(SoupServerMessage *message, bool works)
{
	struct connection *connection = connection_of(message);

	if (!connection)
		return;
	connection->works = works;
	connection->since_us = g_get_monotonic_time();
}

void rr_mark_reply_ready(SoupServerMessage *message)
{
	set_turn(message, false);
}

static void note_read(SoupServer *server, SoupServerMessage *message,
		      gpointer data)
{
	/* A refusal may have been given before the body was read. */
	if (!soup_server_message_get_status(message))
		set_turn(message, true);
}

static void note_end(SoupServer *server, SoupServerMessage *message,
		     gpointer data)
{
	set_turn(message, false);
}

static void free_connection(gpointer data)
{
	struct connection *connection = data;

	if (connection->owner)
		g_hash_table_remove(connection->owner->open, connection);
	g_free(connection);
}

/* The library finds it closed and frees it. */
static void end_connection(struct connection *connection)
{
	connection->ended = true;
	g_socket_shutdown(connection->socket, TRUE, TRUE, NULL);
}

/* The library may keep a socket's object for a while after closing it. */
static void forget_closed(struct rr_caller_connections *callers)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct connection *connection = key;

		if (!g_socket_is_closed(connection->socket))
			continue;
		connection->owner = NULL;
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Guards against callers that hold connections without using them: one that
 * never ends its request, or one that does not read its answer.  The time
 * runs for the whole of it, so a byte now and then does not help.
 */
static gboolean sweep(gpointer data)
{
	struct rr_caller_connections *callers = data;
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer key;

	forget_closed(callers);
	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct connection *connection = key;

		if (connection->works || connection->ended ||
		    now_us - connection->since_us <= callers->idle_us)
			continue;
		rr_count(callers->ctx, RR_N_CALLER_CONNS_TIMED_OUT, 1);
		end_connection(connection);
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Guards against callers, or one script, that open connections without end:
 * each holds a descriptor and memory here, until accepting fails for all.
 */
static void judge_number(struct rr_caller_connections *callers,
			 struct connection *connection)
{
	guint open = g_hash_table_size(callers->open);

	if (!callers->max_connections || open <= callers->max_connections)
		return;
	forget_closed(callers);
	open = g_hash_table_size(callers->open);
	if (open <= callers->max_connections)
		return;
	connection->over = true;
	rr_count(callers->ctx, RR_N_CALLER_CONNS_REJECTED, 1);
	rr_log(callers->ctx, RR_LOG_WARNING, "caller-over-bound",
	       RR_FIELD_U64("connections", open),
	       RR_FIELD_U64("caller_max_connections",
			    callers->max_connections));
	if (open > callers->max_connections + MOST_TOLD)
		end_connection(connection);
}

bool rr_is_over_connection_limit(SoupServerMessage *message)
{
	const struct connection *connection = connection_of(message);

	return connection && connection->over;
}

/* For a connection's first message the library tells this on accepting. */
static void note_start(SoupServer *server, SoupServerMessage *message,
		       gpointer data)
{
	struct rr_caller_connections *callers = data;
	GSocket *socket = soup_server_message_get_socket(message);
	struct connection *connection = connection_of(message);

	if (!socket || connection)
		return;
	connection = g_new0(struct connection, 1);
	connection->owner = callers;
	connection->socket = socket;
	connection->since_us = g_get_monotonic_time();
	g_object_set_data_full(G_OBJECT(socket), CONNECTION_KEY, connection,
			       free_connection);
	g_hash_table_add(callers->open, connection);
	judge_number(callers, connection);
}

struct rr_caller_connections *
rr_new_caller_connections(struct rr_context *ctx, SoupServer *server,
			  uint32_t idle_ms, uint32_t max_connections)
{
	struct rr_caller_connections *callers =
		g_new0(struct rr_caller_connections, 1);

	callers->ctx = rr_keep_context(ctx);
	callers->server = server;
	callers->idle_us = (int64_t)idle_ms * 1000;
	callers->max_connections = max_connections;
	callers->open = g_hash_table_new(NULL, NULL);
	g_signal_connect(server, "request-started", G_CALLBACK(note_start),
			 callers);
	g_signal_connect(server, "request-read", G_CALLBACK(note_read),
			 callers);
	g_signal_connect(server, "request-finished", G_CALLBACK(note_end),
			 callers);
	callers->sweep_source = g_timeout_add_seconds(SWEEP_S, sweep, callers);
	return callers;
}

void rr_drop_caller_connections(struct rr_caller_connections *callers)
{
	GHashTableIter iter;
	gpointer key;

	if (!callers)
		return;
	g_source_remove(callers->sweep_source);
	g_signal_handlers_disconnect_by_data(callers->server, callers);
	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		((struct connection *)key)->owner = NULL;
	g_hash_table_destroy(callers->open);
	rr_drop_context(callers->ctx);
	g_free(callers);
}
