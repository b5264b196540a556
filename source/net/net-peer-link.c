/*
 * net-peer-link.c - the links to peers: one DEALER an address, opened when
 * first needed and closed when long unused.
 */
#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "net/net-peer-private.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"
#include "ragwort/wire.h"

/*
 * Messages one peer may have in the library's queue.  Small: when a peer
 * reads slowly, what waits long is of no use to it any more.
 */
#define SEND_HIGH_WATER_MARK 256
/* Messages and bytes that wait here for a connection, and how long. */
#define MAX_WAITING 256
#define MAX_WAITING_AGE_US 1000000
#define AGE_PERIOD_MS 250
/*
 * Links open at once.  Pings go to all members in turn; without a bound
 * 1,200 members would mean as many connections in each.
 */
#define MAX_LINKS 256
#define MAX_IDLE_US 60000000
/* Unacknowledged bytes close a connection after this: the peer is gone. */
#define TCP_GIVE_UP_MS 3000
#define RECONNECT_MS 50
#define MAX_RECONNECT_MS 1000
/*
 * How long a key is tried before the next one of the allowed: many times what
 * a handshake takes, and doubled after each round in case it is not.
 */
#define KEY_TRY_US 500000
#define MAX_KEY_TRY_SHIFT 3
/* A link goes on under its old keys for so long while new ones don't connect. */
#define RENEW_LIMIT_US 10000000
/* A link closed for lack of use or for new keys still writes what it has. */
#define CLOSE_LINGER_MS 1000

struct waiting_message {
	GBytes *bytes;
	int64_t since_us;
};

static void free_waiting(void *data)
{
	struct waiting_message *waiting = data;

	g_bytes_unref(waiting->bytes);
	g_free(waiting);
}

static void close_one(void **socket, int linger_ms)
{
	if (!*socket)
		return;
	rr_set_zmq_int_option(*socket, ZMQ_LINGER, linger_ms);
	zmq_close(*socket);
	*socket = NULL;
}

static void close_socket(struct peer_link *link, int linger_ms)
{
	rr_drop_source(&link->write_source);
	close_one(&link->next_socket, 0);
	close_one(&link->socket, linger_ms);
	link->connected = false;
}

void rr_drop_peer_link(void *data)
{
	struct peer_link *link = data;

	close_socket(link, 0);
	g_queue_clear_full(&link->queue, free_waiting);
	g_free(link->address);
	g_free(link);
}

/*
 * ZMQ_IMMEDIATE: a message is queued for a connection that stands, never for
 * one to come.  Guards against a message to a peer that died reaching the
 * one that takes its address; its replacement still checks the incarnation.
 */
static void *connect_socket(struct peer_link *link)
{
	struct rr_peer_transport *port = link->transport;
	void *socket = zmq_socket(port->zmq, ZMQ_DEALER);
	char *endpoint;

	if (!socket)
		return NULL;
	rr_set_zmq_int_option(socket, ZMQ_IMMEDIATE, 1);
	rr_set_zmq_int_option(socket, ZMQ_LINGER, 0);
	rr_set_zmq_int_option(socket, ZMQ_SNDHWM, SEND_HIGH_WATER_MARK);
	rr_set_zmq_int_option(socket, ZMQ_RCVHWM, 1);
	rr_set_zmq_int_option(socket, ZMQ_TCP_MAXRT, TCP_GIVE_UP_MS);
	rr_set_zmq_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	rr_set_zmq_int_option(socket, ZMQ_RECONNECT_IVL_MAX, MAX_RECONNECT_MS);
	rr_set_client_keys(socket, &port->keys, link->key_index);
	endpoint = g_strdup_printf("tcp://%s", link->address);
	if (zmq_connect(socket, endpoint))
		close_one(&socket, 0);
	g_free(endpoint);
	link->connect_started_us = g_get_monotonic_time();
	return socket;
}

static bool open_socket(struct peer_link *link)
{
	link->socket = connect_socket(link);
	return link->socket != NULL;
}

/* Whether the library took it; EAGAIN: no connection, or its queue is full. */
static bool write_now(struct peer_link *link, GBytes *bytes)
{
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);

	if (zmq_send(link->socket, data, length, ZMQ_DONTWAIT) < 0)
		return false;
	link->connected = true;
	return true;
}

static gboolean write_waiting(void *data)
{
	struct peer_link *link = data;
	struct waiting_message *first;

	/* The descriptor tells a change once: look again after each send. */
	while ((first = g_queue_peek_head(&link->queue))) {
		if (!(rr_get_zmq_events(link->socket) & ZMQ_POLLOUT) ||
		    !write_now(link, first->bytes))
			return G_SOURCE_CONTINUE;
		free_waiting(g_queue_pop_head(&link->queue));
	}
	rr_drop_source(&link->write_source);
	return G_SOURCE_REMOVE;
}

static void watch_waiting(struct peer_link *link)
{
	if (link->queue.length && link->socket && !link->write_source)
		link->write_source =
			rr_watch_zmq_socket(link->socket, write_waiting, link);
}

/*
 * The peer is gone, or it holds another of the allowed keys, as it does while
 * a key pair is being replaced.
 */
static void try_next_key(struct peer_link *link)
{
	if (link->transport->keys.n_allowed < 2)
		return;
	link->key_index++;
	link->n_key_tries++;
	close_socket(link, 0);
	if (link->queue.length && open_socket(link))
		watch_waiting(link);
}

/* Whether the newest socket had its time to connect. */
static bool key_tried(const struct peer_link *link, int64_t now_us)
{
	uint32_t n_allowed = MAX(link->transport->keys.n_allowed, 1);
	uint32_t rounds = MIN(link->n_key_tries / n_allowed, MAX_KEY_TRY_SHIFT);

	return now_us - link->connect_started_us >
	       ((int64_t)KEY_TRY_US << rounds);
}

static void take_next(struct peer_link *link)
{
	void *next = link->next_socket;

	link->next_socket = NULL;
	close_socket(link, CLOSE_LINGER_MS);
	link->socket = next;
	watch_waiting(link);
}

/*
 * The new connection first, then the end of the old one.  Guards against
 * relayed work that is lost while keys are replaced: a handshake takes time,
 * and a peer may hold either key.  True while it goes on.
 */
static bool renew_step(struct peer_link *link, int64_t now_us)
{
	if (!link->rekey_started_us)
		return false;
	if ((link->next_socket &&
	     rr_get_zmq_events(link->next_socket) & ZMQ_POLLOUT) ||
	    now_us - link->rekey_started_us > RENEW_LIMIT_US) {
		link->rekey_started_us = 0;
		take_next(link);
		return false;
	}
	if (!link->next_socket || key_tried(link, now_us)) {
		close_one(&link->next_socket, 0);
		link->key_index++;
		link->n_key_tries++;
		link->next_socket = connect_socket(link);
	}
	return true;
}

/* Drop what waits for too long; returns how many still wait. */
static guint drop_aged(struct peer_link *link, int64_t now_us)
{
	struct waiting_message *first;
	uint64_t dropped = 0;

	while ((first = g_queue_peek_head(&link->queue)) &&
	       now_us - first->since_us > MAX_WAITING_AGE_US) {
		free_waiting(g_queue_pop_head(&link->queue));
		dropped++;
	}
	if (!dropped)
		return link->queue.length;
	rr_count(link->transport->ctx, RR_N_PEER_MESSAGES_DROPPED, dropped);
	rr_log(link->transport->ctx, RR_LOG_INFO, "peer_unreachable",
	       RR_FIELD_STRING("address", link->address),
	       RR_FIELD_U64("dropped", dropped));
	try_next_key(link);
	return link->queue.length;
}

/* Whether the link needs another look soon. */
static bool look_after(struct peer_link *link, int64_t now_us)
{
	bool renewing = renew_step(link, now_us);
	bool waits = drop_aged(link, now_us) > 0;

	if (waits && !renewing && !link->connected && key_tried(link, now_us))
		try_next_key(link);
	return renewing || waits;
}

static gboolean look_after_links(void *data)
{
	struct rr_peer_transport *port = data;
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer link;
	bool again = false;
	uint64_t n_renewals = 0;

	g_hash_table_iter_init(&iter, port->links);
	while (g_hash_table_iter_next(&iter, NULL, &link)) {
		again |= look_after(link, now_us);
		n_renewals += ((struct peer_link *)link)->rekey_started_us != 0;
	}
	rr_set_gauge(port->ctx, RR_G_PEER_REKEYS, n_renewals);
	if (again)
		return G_SOURCE_CONTINUE;
	rr_drop_source(&port->link_timer);
	return G_SOURCE_REMOVE;
}

static void start_age_timer(struct rr_peer_transport *port)
{
	if (port->link_timer)
		return;
	port->link_timer = g_timeout_source_new(AGE_PERIOD_MS);
	g_source_set_callback(port->link_timer, look_after_links, port, NULL);
	g_source_attach(port->link_timer, g_main_context_get_thread_default());
}

static void wait_for_connection(struct peer_link *link, GBytes *bytes)
{
	struct waiting_message *waiting;

	if (link->queue.length >= MAX_WAITING) {
		rr_count(link->transport->ctx, RR_N_PEER_MESSAGES_DROPPED, 1);
		return;
	}
	waiting = g_new(struct waiting_message, 1);
	waiting->bytes = g_bytes_ref(bytes);
	waiting->since_us = g_get_monotonic_time();
	g_queue_push_tail(&link->queue, waiting);
	start_age_timer(link->transport);
	watch_waiting(link);
}

static void tell_links(struct rr_peer_transport *port)
{
	rr_set_gauge(port->ctx, RR_G_PEER_LINKS,
		     g_hash_table_size(port->links));
}

void rr_close_idle_links(struct rr_peer_transport *port)
{
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, port->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_link *link = value;

		if (link->queue.length ||
		    now_us - link->last_used_us <= MAX_IDLE_US)
			continue;
		close_socket(link, CLOSE_LINGER_MS);
		g_hash_table_iter_remove(&iter);
	}
	tell_links(port);
}

/* Close the link that has been unused for longest. */
static void make_room(struct rr_peer_transport *port)
{
	struct peer_link *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(port->links) < MAX_LINKS)
		return;
	g_hash_table_iter_init(&iter, port->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_link *link = value;

		if (!oldest || link->last_used_us < oldest->last_used_us)
			oldest = link;
	}
	if (!oldest)
		return;
	rr_count(port->ctx, RR_N_PEER_MESSAGES_DROPPED, oldest->queue.length);
	close_socket(oldest, CLOSE_LINGER_MS);
	g_hash_table_remove(port->links, oldest->address);
}

static struct peer_link *find_link(struct rr_peer_transport *port,
				   const char *address)
{
	struct peer_link *link = g_hash_table_lookup(port->links, address);

	if (!link) {
		make_room(port);
		link = g_new0(struct peer_link, 1);
		link->transport = port;
		link->address = g_strdup(address);
		g_queue_init(&link->queue);
		g_hash_table_insert(port->links, link->address, link);
		tell_links(port);
	}
	link->last_used_us = g_get_monotonic_time();
	if (!link->socket && !open_socket(link))
		return NULL;
	return link;
}

void rr_rekey_peer_links(struct rr_peer_transport *port)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t n_renewals = 0;

	g_hash_table_iter_init(&iter, port->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_link *link = value;

		if (!link->socket)
			continue;
		n_renewals++;
		close_one(&link->next_socket, 0);
		link->n_key_tries = 0;
		link->rekey_started_us = g_get_monotonic_time();
		link->next_socket = connect_socket(link);
	}
	rr_set_gauge(port->ctx, RR_G_PEER_REKEYS, n_renewals);
	start_age_timer(port);
	tell_links(port);
}

void rr_send_to_peer(struct rr_context *ctx, struct rr_peer_transport *port,
		     const char *instance, const char *address,
		     const struct rr_peer_message *message)
{
	GBytes *bytes = rr_encode_peer_message(message);
	struct peer_link *link = NULL;

	if (g_bytes_get_size(bytes) <= RR_MAX_PEER_BYTES)
		link = find_link(port, address);
	if (!link) {
		rr_count(ctx, RR_N_PEER_MESSAGES_DROPPED, 1);
		rr_log(ctx, RR_LOG_WARNING, "peer_not_sent",
		       RR_FIELD_STRING("instance", instance),
		       RR_FIELD_STRING("address", address),
		       RR_FIELD_U64("bytes", g_bytes_get_size(bytes)));
	} else {
		/* Behind those that wait already, so that order holds. */
		if (link->queue.length || !write_now(link, bytes)) {
			wait_for_connection(link, bytes);
			write_waiting(link);
		}
	}
	g_bytes_unref(bytes);
}
