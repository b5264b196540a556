/*
 * net-peer-link.c - outgoing links to peers: one DEALER per address, opened on
 * first use and closed when idle.
 */
#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "net/net-peer-private.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"
#include "ragwort/wire.h"

/*
 * Messages for one peer in libzmq's queue. Small, because a message that waits
 * long for a slow peer is of no use to it any more.
 */
#define SEND_HIGH_WATER_MARK 256
/*
 * Maximum number of messages that wait in a link's own queue for a connection,
 * and for how long.
 */
#define MAX_QUEUED 256
#define MAX_QUEUED_AGE_US 1000000
#define LINK_CHECK_PERIOD_MS 250
/*
 * Maximum number of open links. Each instance pings all members in turn, so
 * without a limit 1,200 members would mean 1,200 connections in each.
 */
#define MAX_LINKS 256
#define MAX_IDLE_US 60000000
/*
 * A connection with unacknowledged bytes is closed after this: the peer is
 * unreachable.
 */
#define TCP_MAX_RETRANSMIT_MS 3000
#define RECONNECT_MS 50
#define MAX_RECONNECT_MS 1000
/*
 * How long to try one of the allowed keys before the next: many times the
 * duration of a handshake. The time is doubled after each round through all
 * keys, MAX_KEY_TIMEOUT_SHIFT times at most, in case handshakes are slower.
 */
#define KEY_TIMEOUT_US 500000
#define MAX_KEY_TIMEOUT_SHIFT 3
/*
 * How long a link uses its old keys while a connection under the new keys
 * cannot be made.
 */
#define REKEY_TIMEOUT_US 10000000
/*
 * A link that is closed still writes its queued messages for up to this time.
 */
#define CLOSE_LINGER_MS 1000

struct queued_message {
	GBytes *bytes;
	int64_t since_us;
};

static void free_queued(void *data)
{
	struct queued_message *queued = data;

	g_bytes_unref(queued->bytes);
	g_free(queued);
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

#ifdef RR_MUTANT_PEER_EXITS_UNSENT
	close_socket(link, 0);
#endif
	close_socket(link, CLOSE_LINGER_MS);
	g_queue_clear_full(&link->queue, free_queued);
	g_free(link->address);
	g_free(link);
}

/*
 * ZMQ_IMMEDIATE: messages are queued only for an established connection, never
 * for a future one. Otherwise a message to a peer that died could reach the
 * instance that takes over its address; that instance still checks the
 * incarnation.
 */
static void *connect_socket(struct peer_link *link)
{
	struct rr_peer_transport *transport = link->transport;
	void *socket = zmq_socket(transport->zmq, ZMQ_DEALER);
	char *endpoint;

	if (!socket)
		return NULL;
	rr_set_zmq_int_option(socket, ZMQ_IMMEDIATE, 1);
	rr_set_zmq_int_option(socket, ZMQ_LINGER, 0);
	rr_set_zmq_int_option(socket, ZMQ_SNDHWM, SEND_HIGH_WATER_MARK);
	rr_set_zmq_int_option(socket, ZMQ_RCVHWM, 1);
	rr_set_zmq_int_option(socket, ZMQ_TCP_MAXRT, TCP_MAX_RETRANSMIT_MS);
	rr_set_zmq_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	rr_set_zmq_int_option(socket, ZMQ_RECONNECT_IVL_MAX, MAX_RECONNECT_MS);
	rr_set_client_keys(socket, &transport->keys, link->key_index);
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

/*
 * Returns whether libzmq accepted the message; EAGAIN means that there is no
 * connection or its queue is full.
 */
static bool try_write(struct peer_link *link, GBytes *bytes)
{
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);

	if (zmq_send(link->socket, data, length, ZMQ_DONTWAIT) < 0)
		return false;
	link->connected = true;
	return true;
}

static gboolean write_queued(void *data)
{
	struct peer_link *link = data;
	struct queued_message *first;

	/* ZMQ_FD is edge-triggered: read the events again after each send. */
	while ((first = g_queue_peek_head(&link->queue))) {
		if (!(rr_get_zmq_events(link->socket) & ZMQ_POLLOUT) ||
		    !try_write(link, first->bytes))
			return G_SOURCE_CONTINUE;
		free_queued(g_queue_pop_head(&link->queue));
	}
	rr_drop_source(&link->write_source);
	return G_SOURCE_REMOVE;
}

static void watch_queued(struct peer_link *link)
{
	if (link->queue.length && link->socket && !link->write_source)
		link->write_source =
			rr_watch_zmq_socket(link->socket, write_queued, link);
}

/*
 * Tries the next allowed key after messages were not sent in time: the peer is
 * unreachable, or it holds another of the allowed keys, as it may while a key
 * pair is being replaced.
 */
static void try_next_key(struct peer_link *link)
{
	if (link->transport->keys.n_allowed < 2)
		return;
	link->key_index++;
	link->n_key_tries++;
	close_socket(link, 0);
	if (link->queue.length && open_socket(link))
		watch_queued(link);
}

/* Returns whether the newest socket has used up its time to connect. */
static bool key_timed_out(const struct peer_link *link, int64_t now_us)
{
	uint32_t n_allowed = MAX(link->transport->keys.n_allowed, 1);
	uint32_t rounds =
		MIN(link->n_key_tries / n_allowed, MAX_KEY_TIMEOUT_SHIFT);

	return now_us - link->connect_started_us >
	       ((int64_t)KEY_TIMEOUT_US << rounds);
}

static void switch_to_next_socket(struct peer_link *link)
{
	void *next = link->next_socket;

	link->next_socket = NULL;
	close_socket(link, CLOSE_LINGER_MS);
	link->socket = next;
	watch_queued(link);
}

/*
 * Connects under the new keys before closing the old connection. Otherwise
 * forwarded requests would be lost during a key replacement, because a
 * handshake takes time and a peer may hold either key. Returns true while the
 * replacement is in progress.
 */
static bool continue_rekey(struct peer_link *link, int64_t now_us)
{
	if (!link->rekey_started_us)
		return false;
	if ((link->next_socket &&
	     rr_get_zmq_events(link->next_socket) & ZMQ_POLLOUT) ||
	    now_us - link->rekey_started_us > REKEY_TIMEOUT_US) {
		link->rekey_started_us = 0;
		switch_to_next_socket(link);
		return false;
	}
	if (!link->next_socket || key_timed_out(link, now_us)) {
		close_one(&link->next_socket, 0);
		link->key_index++;
		link->n_key_tries++;
		link->next_socket = connect_socket(link);
	}
	return true;
}

/* Drops messages that have waited too long; returns how many are left. */
static guint drop_expired(struct peer_link *link, int64_t now_us)
{
	struct queued_message *first;
	uint64_t dropped = 0;

	while ((first = g_queue_peek_head(&link->queue)) &&
	       now_us - first->since_us > MAX_QUEUED_AGE_US) {
		free_queued(g_queue_pop_head(&link->queue));
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

/* Checks a link; returns whether it has to be checked again soon. */
static bool check_link(struct peer_link *link, int64_t now_us)
{
	bool rekeying = continue_rekey(link, now_us);
	bool has_queued = drop_expired(link, now_us) > 0;

	if (has_queued && !rekeying && !link->connected &&
	    key_timed_out(link, now_us))
		try_next_key(link);
	return rekeying || has_queued;
}

static gboolean check_links(void *data)
{
	struct rr_peer_transport *transport = data;
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer link;
	bool needs_check = false;
	uint64_t n_rekeys = 0;

	g_hash_table_iter_init(&iter, transport->links);
	while (g_hash_table_iter_next(&iter, NULL, &link)) {
		needs_check |= check_link(link, now_us);
		n_rekeys += ((struct peer_link *)link)->rekey_started_us != 0;
	}
	rr_set_gauge(transport->ctx, RR_G_PEER_REKEYS, n_rekeys);
	if (needs_check)
		return G_SOURCE_CONTINUE;
	rr_drop_source(&transport->link_timer);
	return G_SOURCE_REMOVE;
}

static void start_link_timer(struct rr_peer_transport *transport)
{
	if (transport->link_timer)
		return;
	transport->link_timer = g_timeout_source_new(LINK_CHECK_PERIOD_MS);
	g_source_set_callback(transport->link_timer, check_links, transport,
			      NULL);
	g_source_attach(transport->link_timer,
			g_main_context_get_thread_default());
}

static void queue_message(struct peer_link *link, GBytes *bytes)
{
	struct queued_message *queued;

	if (link->queue.length >= MAX_QUEUED) {
		rr_count(link->transport->ctx, RR_N_PEER_MESSAGES_DROPPED, 1);
		return;
	}
	queued = g_new(struct queued_message, 1);
	queued->bytes = g_bytes_ref(bytes);
	queued->since_us = g_get_monotonic_time();
	g_queue_push_tail(&link->queue, queued);
	start_link_timer(link->transport);
	watch_queued(link);
}

static void update_link_gauge(struct rr_peer_transport *transport)
{
	rr_set_gauge(transport->ctx, RR_G_PEER_LINKS,
		     g_hash_table_size(transport->links));
}

void rr_close_idle_links(struct rr_peer_transport *transport)
{
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, transport->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_link *link = value;

		if (link->queue.length ||
		    now_us - link->last_used_us <= MAX_IDLE_US)
			continue;
		close_socket(link, CLOSE_LINGER_MS);
		g_hash_table_iter_remove(&iter);
	}
	update_link_gauge(transport);
}

/* Closes the least recently used link if the limit is reached. */
static void evict_oldest_link(struct rr_peer_transport *transport)
{
	struct peer_link *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(transport->links) < MAX_LINKS)
		return;
	g_hash_table_iter_init(&iter, transport->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_link *link = value;

		if (!oldest || link->last_used_us < oldest->last_used_us)
			oldest = link;
	}
	if (!oldest)
		return;
	rr_count(transport->ctx, RR_N_PEER_MESSAGES_DROPPED,
		 oldest->queue.length);
	close_socket(oldest, CLOSE_LINGER_MS);
	g_hash_table_remove(transport->links, oldest->address);
}

static struct peer_link *get_link(struct rr_peer_transport *transport,
				  const char *address)
{
	struct peer_link *link = g_hash_table_lookup(transport->links, address);

	if (!link) {
		evict_oldest_link(transport);
		link = g_new0(struct peer_link, 1);
		link->transport = transport;
		link->address = g_strdup(address);
		g_queue_init(&link->queue);
		g_hash_table_insert(transport->links, link->address, link);
		update_link_gauge(transport);
	}
	link->last_used_us = g_get_monotonic_time();
	if (!link->socket && !open_socket(link))
		return NULL;
	return link;
}

void rr_rekey_peer_links(struct rr_peer_transport *transport)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t n_rekeys = 0;

	g_hash_table_iter_init(&iter, transport->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_link *link = value;

		if (!link->socket)
			continue;
		n_rekeys++;
		close_one(&link->next_socket, 0);
		link->n_key_tries = 0;
		link->rekey_started_us = g_get_monotonic_time();
		link->next_socket = connect_socket(link);
	}
	rr_set_gauge(transport->ctx, RR_G_PEER_REKEYS, n_rekeys);
	start_link_timer(transport);
	update_link_gauge(transport);
}

void rr_send_to_peer(struct rr_context *ctx,
		     struct rr_peer_transport *transport, const char *instance,
		     const char *address, const struct rr_peer_message *message)
{
	GBytes *bytes = rr_encode_peer_message(message);
	struct peer_link *link = NULL;

	if (g_bytes_get_size(bytes) <= RR_MAX_PEER_BYTES)
		link = get_link(transport, address);
	if (!link) {
		rr_count(ctx, RR_N_PEER_MESSAGES_DROPPED, 1);
		rr_log(ctx, RR_LOG_WARNING, "peer_not_sent",
		       RR_FIELD_STRING("instance", instance),
		       RR_FIELD_STRING("address", address),
		       RR_FIELD_U64("bytes", g_bytes_get_size(bytes)));
	} else {
		/* After the messages already queued, to keep the order. */
		if (link->queue.length || !try_write(link, bytes)) {
			queue_message(link, bytes);
			write_queued(link);
		}
	}
	g_bytes_unref(bytes);
}
