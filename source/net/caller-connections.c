/*
 * caller-connections.c - limits on the number of caller connections, on the time
 * they may stay idle and on the memory for their requests and replies.
 */
#include "net/caller-connections.h"

#include "net/memory-budget.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"

#define CONNECTION_KEY "ragwort-connection"
#define TIMEOUT_CHECK_PERIOD_S 1
/* A request whose body arrives for this long may be replaced by another one. */
#define MIN_REPLACED_BODY_US G_USEC_PER_SEC
/*
 * Maximum number of connections above the limit that are kept open until their
 * request has arrived. The request then replaces an idle connection, or is
 * rejected with an answer that reports that it was not run. Further connections
 * replace an idle one or are closed immediately.
 */
#define MAX_REJECTED_CONNECTIONS 64

struct rr_caller_connections {
	struct rr_context *ctx;
	SoupServer *server;
	int64_t idle_us;
	uint32_t max_connections; /* 0: no limit */
	struct rr_memory_budget *memory;
	guint timeout_source;
	GHashTable *open; /* set of struct connection */
};

/* A caller's connection; data of its socket and freed with it. */
struct connection {
	struct rr_caller_connections *owner; /* NULL after that is freed */
	GSocket *socket;
	bool in_progress; /* request read, reply not started */
	bool shut_down;
	bool over_limit; /* opened above max_connections */
	bool is_reading_body;
	uint64_t n_requests; /* read so far */
	int64_t since_us;    /* when the wait for the caller started */
	struct rr_memory_user memory;
	int64_t held_since_us; /* since when it holds memory */
};

static struct connection *get_connection(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	return socket ? g_object_get_data(G_OBJECT(socket), CONNECTION_KEY) :
			NULL;
}

static void set_in_progress(SoupServerMessage *message, bool in_progress)
{
	struct connection *connection = get_connection(message);

	if (!connection)
		return;
	connection->in_progress = in_progress;
	connection->since_us = g_get_monotonic_time();
}

static void hold_memory(struct connection *connection, size_t n_bytes)
{
	connection->held_since_us = g_get_monotonic_time();
	rr_hold_memory(&connection->memory, n_bytes);
}

void rr_mark_reply_ready(SoupServerMessage *message, size_t n_bytes)
{
	struct connection *connection = get_connection(message);

	set_in_progress(message, false);
	if (connection)
		hold_memory(connection, n_bytes);
}

static void on_request_read(SoupServer *server, SoupServerMessage *message,
			    gpointer data)
{
	struct connection *connection = get_connection(message);

	if (connection) {
		connection->is_reading_body = false;
		connection->n_requests++;
	}
	/* A request may have been rejected before its body was read. */
	if (!soup_server_message_get_status(message))
		set_in_progress(message, true);
}

static void on_request_finished(SoupServer *server, SoupServerMessage *message,
				gpointer data)
{
	struct connection *connection = get_connection(message);

	set_in_progress(message, false);
	if (!connection)
		return;
	connection->is_reading_body = false;
	rr_hold_memory(&connection->memory, 0);
}

static void free_connection(gpointer data)
{
	struct connection *connection = data;

	if (connection->owner) {
		g_hash_table_remove(connection->owner->open, connection);
		rr_clear_memory_user(&connection->memory);
	}
	g_free(connection);
}

/* The connection is closed, or no longer tracked. */
static void detach_connection(struct connection *connection)
{
	rr_clear_memory_user(&connection->memory);
	connection->memory.budget = NULL;
	connection->owner = NULL;
}

/* libsoup notices the shutdown and frees the connection. */
static void shut_down_connection(struct connection *connection)
{
	connection->shut_down = true;
	g_socket_shutdown(connection->socket, TRUE, TRUE, NULL);
}

/* Returns the caller's IP address, to be freed with g_free(). */
static char *describe_caller(const struct connection *connection)
{
	GSocketAddress *address =
		g_socket_get_remote_address(connection->socket, NULL);
	char *ip = NULL;

	if (G_IS_INET_SOCKET_ADDRESS(address))
		ip = g_inet_address_to_string(g_inet_socket_address_get_address(
			G_INET_SOCKET_ADDRESS(address)));
	g_clear_object(&address);
	return ip ? ip : g_strdup("unknown");
}

/* Closes a connection so that other callers can be served. */
static void reclaim_connection(struct connection *connection,
			       const char *reason)
{
	struct rr_context *ctx = connection->owner->ctx;
	char *ip = describe_caller(connection);

	rr_count(ctx, RR_N_CALLER_CONNS_RECLAIMED, 1);
	rr_log(ctx, RR_LOG_WARNING, "caller-closed",
	       RR_FIELD_STRING("reason", reason), RR_FIELD_STRING("caller", ip),
	       RR_FIELD_U64("bytes", connection->memory.held_bytes),
	       RR_FIELD_U64("requests", connection->n_requests));
	g_free(ip);
	rr_clear_memory_user(&connection->memory);
	shut_down_connection(connection);
}

/*
 * Removes connections whose socket is closed from the set. libsoup may keep the
 * object of a socket for a while after closing it, so they would still count as
 * open.
 */
static void remove_closed(struct rr_caller_connections *callers)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct connection *connection = key;

		if (!g_socket_is_closed(connection->socket))
			continue;
		detach_connection(connection);
		g_hash_table_iter_remove(&iter);
	}
}

/* Returns the connection to close first to release memory, or NULL. */
static struct connection *find_memory_hog(struct rr_caller_connections *callers)
{
	int64_t now_us = g_get_monotonic_time();
	struct connection *found = NULL;
	double greatest = 0;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct connection *connection = key;
		double cost =
			rr_memory_cost(&connection->memory,
				       now_us - connection->held_since_us);

		if (connection->in_progress || connection->shut_down ||
		    cost <= greatest)
			continue;
		greatest = cost;
		found = connection;
	}
	return found;
}

/*
 * Closes connections whose request is incomplete, and has therefore not run, or
 * whose reply is unread.
 */
static void release_memory(struct rr_caller_connections *callers)
{
	struct connection *connection;

	while (rr_memory_shortage_bytes(callers->memory) &&
	       (connection = find_memory_hog(callers)))
		reclaim_connection(connection, "memory-short");
}

bool rr_reserve_body_memory(SoupServerMessage *message, size_t n_bytes)
{
	struct connection *connection = get_connection(message);

	if (!connection || !connection->owner)
		return true;
	connection->is_reading_body = true;
	hold_memory(connection, n_bytes);
	if (n_bytes <= RR_SHORT_MESSAGE_BYTES)
		return true;
	release_memory(connection->owner);
	if (!rr_is_memory_short(connection->owner->memory))
		return true;
	rr_hold_memory(&connection->memory, 0);
	return false;
}

/*
 * Closes connections that callers keep open without using them: those that
 * never complete a request, and those that do not read their answer. The limit
 * applies to the whole request or answer, so sending a byte now and then does
 * not extend it.
 */
static gboolean close_timed_out(gpointer data)
{
	struct rr_caller_connections *callers = data;
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer key;

	remove_closed(callers);
	release_memory(callers);
	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct connection *connection = key;

		if (connection->in_progress || connection->shut_down ||
		    now_us - connection->since_us <= callers->idle_us)
			continue;
		rr_count(callers->ctx, RR_N_CALLER_CONNS_TIMED_OUT, 1);
		shut_down_connection(connection);
	}
	return G_SOURCE_CONTINUE;
}

/* Returns whether a connection waits for the headers of a request. */
static bool is_idle(const struct connection *connection)
{
	return !connection->in_progress && !connection->shut_down &&
	       !connection->is_reading_body && !connection->memory.held_bytes;
}

/* Returns whether a body has been arriving for so long that it is abandoned. */
static bool is_slow_body(const struct connection *connection, int64_t now_us)
{
	return connection->is_reading_body && !connection->shut_down &&
	       now_us - connection->held_since_us >= MIN_REPLACED_BODY_US;
}

/* Returns whether replacing `a` harms callers less than replacing `b`. */
static bool is_used_less(const struct connection *a, const struct connection *b)
{
	if (is_idle(a) != is_idle(b))
		return is_idle(a);
	if (!a->n_requests != !b->n_requests)
		return !a->n_requests;
	return a->since_us < b->since_us;
}

/*
 * Returns the connection to close in place of `connection`: an idle one, if
 * possible one that was never used, or one whose request arrives slowly, of each
 * kind the oldest; NULL if there is none. Counts the connections within the
 * limit in *n_regular, which are the only ones considered if `regular` is true.
 */
static struct connection *
find_replaceable(const struct rr_caller_connections *callers,
		 const struct connection *connection, bool regular,
		 uint32_t *n_regular)
{
	int64_t now_us = g_get_monotonic_time();
	struct connection *found = NULL;
	GHashTableIter iter;
	gpointer key;

	*n_regular = 0;
	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct connection *other = key;

		if (other == connection || other->shut_down ||
		    (regular && other->over_limit))
			continue;
		*n_regular += !other->over_limit;
		if ((is_idle(other) || is_slow_body(other, now_us)) &&
		    (!found || is_used_less(other, found)))
			found = other;
	}
	return found;
}

/*
 * Limits the connections. A caller or script that opens connections without end
 * would use up descriptors and memory until accept() fails for all callers.
 */
static void check_connection_limit(struct rr_caller_connections *callers,
				   struct connection *connection)
{
	guint open = g_hash_table_size(callers->open);
	struct connection *replaced;
	uint32_t n_regular;

	if (!callers->max_connections || open <= callers->max_connections)
		return;
	remove_closed(callers);
	open = g_hash_table_size(callers->open);
	if (open <= callers->max_connections)
		return;
	connection->over_limit = true;
	rr_count(callers->ctx, RR_N_CALLER_CONNS_REJECTED, 1);
	rr_log(callers->ctx, RR_LOG_WARNING, "caller-over-bound",
	       RR_FIELD_U64("connections", open),
	       RR_FIELD_U64("caller_max_connections",
			    callers->max_connections));
	if (open <= callers->max_connections + MAX_REJECTED_CONNECTIONS)
		return;
	replaced = find_replaceable(callers, connection, false, &n_regular);
	reclaim_connection(replaced ? replaced : connection,
			   "connection-limit");
}

bool rr_is_over_connection_limit(SoupServerMessage *message)
{
	struct connection *connection = get_connection(message);
	struct connection *replaced;
	uint32_t n_regular;

	if (!connection || !connection->over_limit || !connection->owner)
		return false;
	replaced = find_replaceable(connection->owner, connection, true,
				    &n_regular);
	if (n_regular >= connection->owner->max_connections) {
		if (!replaced)
			return true;
		reclaim_connection(replaced, "connection-limit");
	}
	connection->over_limit = false;
	return false;
}

/*
 * For the first message of a connection libsoup emits this signal on accepting.
 */
static void on_request_started(SoupServer *server, SoupServerMessage *message,
			       gpointer data)
{
	struct rr_caller_connections *callers = data;
	GSocket *socket = soup_server_message_get_socket(message);
	struct connection *connection = get_connection(message);

	if (!socket || connection)
		return;
	connection = g_new0(struct connection, 1);
	connection->owner = callers;
	connection->socket = socket;
	connection->since_us = g_get_monotonic_time();
	rr_init_memory_user(&connection->memory, callers->memory, NULL, NULL);
	g_object_set_data_full(G_OBJECT(socket), CONNECTION_KEY, connection,
			       free_connection);
	g_hash_table_add(callers->open, connection);
	check_connection_limit(callers, connection);
}

struct rr_caller_connections *
rr_new_caller_connections(struct rr_context *ctx, SoupServer *server,
			  const struct rr_caller_server_options *options)
{
	struct rr_caller_connections *callers =
		g_new0(struct rr_caller_connections, 1);

	callers->ctx = rr_keep_context(ctx);
	callers->server = server;
	callers->idle_us = (int64_t)options->io_timeout_ms * 1000;
	callers->max_connections = options->max_connections;
	if (options->max_memory_bytes)
		callers->memory =
			rr_new_memory_budget(options->max_memory_bytes);
	callers->open = g_hash_table_new(NULL, NULL);
	g_signal_connect(server, "request-started",
			 G_CALLBACK(on_request_started), callers);
	g_signal_connect(server, "request-read", G_CALLBACK(on_request_read),
			 callers);
	g_signal_connect(server, "request-finished",
			 G_CALLBACK(on_request_finished), callers);
	callers->timeout_source = g_timeout_add_seconds(
		TIMEOUT_CHECK_PERIOD_S, close_timed_out, callers);
	return callers;
}

void rr_drop_caller_connections(struct rr_caller_connections *callers)
{
	GHashTableIter iter;
	gpointer key;

	if (!callers)
		return;
	g_source_remove(callers->timeout_source);
	g_signal_handlers_disconnect_by_data(callers->server, callers);
	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		detach_connection(key);
	}
	g_hash_table_destroy(callers->open);
	rr_drop_memory_budget(callers->memory);
	rr_drop_context(callers->ctx);
	g_free(callers);
}
