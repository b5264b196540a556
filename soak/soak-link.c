/*
 * soak-link.c - a loopback link that can be slow, silent one way or both, or
 * cut: each chunk of bytes is passed on when it is due and the way is open.
 */
#include <string.h>

#include "soak.h"
#include "support/port.h"

#define FLUSH_MS 2
#define CHUNK_BYTES 16384

struct chunk {
	GBytes *bytes; /* NULL: the end of the stream */
	int64_t due_us;
};

/* One direction of a connection. */
struct way {
	GSocket *from;
	GSocket *to;
	GSource *source;
	GQueue chunks;
	bool forth; /* from the one who connected */
	bool ended; /* its end was passed on */
};

struct pair {
	struct soak_link *link;
	GSocket *near;
	GSocket *far;
	struct way forth;
	struct way back;
};

struct soak_link {
	GSocket *listener;
	GSource *source;
	uint16_t port;
	uint16_t target_port;
	enum soak_link_state state;
	uint32_t delay_ms;
	GPtrArray *pairs;
	guint timer; /* 0: nothing waits to be passed on */
};

static void free_chunk(gpointer data)
{
	struct chunk *chunk = data;

	if (chunk->bytes)
		g_bytes_unref(chunk->bytes);
	g_free(chunk);
}

static void clear_way(struct way *way)
{
	if (way->source) {
		g_source_destroy(way->source);
		g_source_unref(way->source);
	}
	g_queue_clear_full(&way->chunks, free_chunk);
}

static void free_pair(struct pair *pair)
{
	clear_way(&pair->forth);
	clear_way(&pair->back);
	g_socket_close(pair->near, NULL);
	g_socket_close(pair->far, NULL);
	g_object_unref(pair->near);
	g_object_unref(pair->far);
	g_free(pair);
}

static void drop_pair(struct pair *pair)
{
	g_ptr_array_remove_fast(pair->link->pairs, pair);
	free_pair(pair);
}

static bool is_open(const struct soak_link *link, bool forth)
{
	switch (link->state) {
	case SOAK_LINK_UP:
		return true;
	case SOAK_LINK_REQUESTS_STALLED:
		return !forth;
	case SOAK_LINK_REPLIES_STALLED:
		return forth;
	case SOAK_LINK_STALLED:
	case SOAK_LINK_REFUSED:
		return false;
	}
	return false;
}

/* Pass on what is due; false if the connection is of no more use. */
static bool flush_way(struct soak_link *link, struct way *way)
{
	struct chunk *chunk;

	while (is_open(link, way->forth) &&
	       (chunk = g_queue_peek_head(&way->chunks)) &&
	       chunk->due_us <= g_get_monotonic_time()) {
		gsize length = 0;
		const char *bytes =
			chunk->bytes ? g_bytes_get_data(chunk->bytes, &length) :
				       NULL;
		gssize sent;

		if (!bytes) {
			way->ended = true;
			g_socket_shutdown(way->to, FALSE, TRUE, NULL);
			free_chunk(g_queue_pop_head(&way->chunks));
			continue;
		}
		sent = g_socket_send(way->to, bytes, length, NULL, NULL);
		if (sent < 0)
			return g_socket_condition_check(
				       way->to, G_IO_HUP | G_IO_ERR) == 0;
		if ((gsize)sent < length) {
			GBytes *rest = g_bytes_new_from_bytes(
				chunk->bytes, (gsize)sent,
				length - (gsize)sent);

			g_bytes_unref(chunk->bytes);
			chunk->bytes = rest;
			return true;
		}
		free_chunk(g_queue_pop_head(&way->chunks));
	}
	return true;
}

static gboolean flush_all(gpointer data);

/* A fleet has hundreds of links: only those that hold something are visited. */
static void flush_later(struct soak_link *link)
{
	if (!link->timer)
		link->timer = g_timeout_add(FLUSH_MS, flush_all, link);
}

static gboolean read_way(GSocket *socket, GIOCondition condition, gpointer data)
{
	struct way *way = data;
	struct pair *pair =
		way->forth ?
			(struct pair *)((char *)way -
					G_STRUCT_OFFSET(struct pair, forth)) :
			(struct pair *)((char *)way -
					G_STRUCT_OFFSET(struct pair, back));
	char bytes[CHUNK_BYTES];
	gssize n = g_socket_receive(socket, bytes, sizeof(bytes), NULL, NULL);
	struct chunk *chunk;

	if (n < 0) {
		drop_pair(pair);
		return G_SOURCE_REMOVE;
	}
	chunk = g_new0(struct chunk, 1);
	chunk->bytes = n ? g_bytes_new(bytes, (gsize)n) : NULL;
	chunk->due_us =
		g_get_monotonic_time() + (int64_t)pair->link->delay_ms * MS;
	g_queue_push_tail(&way->chunks, chunk);
	if (!flush_way(pair->link, way)) {
		drop_pair(pair);
		return G_SOURCE_REMOVE;
	}
	if (way->ended || !g_queue_is_empty(&way->chunks))
		flush_later(pair->link);
	if (n)
		return G_SOURCE_CONTINUE;
	g_source_unref(way->source);
	way->source = NULL;
	return G_SOURCE_REMOVE;
}

static void watch_way(struct way *way, GSocket *from, GSocket *to, bool forth)
{
	way->from = from;
	way->to = to;
	way->forth = forth;
	g_queue_init(&way->chunks);
	way->source = g_socket_create_source(from, G_IO_IN, NULL);
	g_source_set_callback(way->source, G_SOURCE_FUNC(read_way), way, NULL);
	g_source_attach(way->source, NULL);
}

static GSocket *connect_to(uint16_t port)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);

	if (!g_socket_connect(socket, address, NULL, NULL))
		g_clear_object(&socket);
	else
		g_socket_set_blocking(socket, FALSE);
	g_object_unref(address);
	return socket;
}

static gboolean accept_pair(GSocket *listener, GIOCondition condition,
			    gpointer data)
{
	struct soak_link *link = data;
	GSocket *near = g_socket_accept(listener, NULL, NULL);
	GSocket *far = near && link->state != SOAK_LINK_REFUSED ?
			       connect_to(link->target_port) :
			       NULL;
	struct pair *pair;

	if (!far) {
		if (near)
			g_socket_close(near, NULL);
		g_clear_object(&near);
		return G_SOURCE_CONTINUE;
	}
	g_socket_set_blocking(near, FALSE);
	pair = g_new0(struct pair, 1);
	pair->link = link;
	pair->near = near;
	pair->far = far;
	watch_way(&pair->forth, near, far, true);
	watch_way(&pair->back, far, near, false);
	g_ptr_array_add(link->pairs, pair);
	return G_SOURCE_CONTINUE;
}

static gboolean flush_all(gpointer data)
{
	struct soak_link *link = data;
	bool holds = false;

	for (guint i = link->pairs->len; i > 0; i--) {
		struct pair *pair = g_ptr_array_index(link->pairs, i - 1);

		if (!flush_way(link, &pair->forth) ||
		    !flush_way(link, &pair->back) ||
		    (pair->forth.ended && pair->back.ended))
			drop_pair(pair);
		else if (!g_queue_is_empty(&pair->forth.chunks) ||
			 !g_queue_is_empty(&pair->back.chunks))
			holds = true;
	}
	if (holds)
		return G_SOURCE_CONTINUE;
	link->timer = 0;
	return G_SOURCE_REMOVE;
}

void soak_set_link_listening(struct soak_link *link, bool open)
{
	if (open == (link->listener != NULL))
		return;
	if (!open) {
		g_source_destroy(link->source);
		g_source_unref(link->source);
		g_socket_close(link->listener, NULL);
		g_clear_object(&link->listener);
		return;
	}
	link->listener = test_open_listener(&link->port);
	link->source = g_socket_create_source(link->listener, G_IO_IN, NULL);
	g_source_set_callback(link->source, G_SOURCE_FUNC(accept_pair), link,
			      NULL);
	g_source_attach(link->source, NULL);
}

struct soak_link *soak_new_link(struct soak *soak, uint16_t target_port)
{
	struct soak_link *link = g_new0(struct soak_link, 1);

	link->target_port = target_port;
	link->pairs = g_ptr_array_new();
	soak_set_link_listening(link, true);
	return link;
}

void soak_drop_link(struct soak_link *link)
{
	if (link->timer)
		g_source_remove(link->timer);
	soak_set_link_listening(link, false);
	soak_close_link_conns(link);
	g_ptr_array_unref(link->pairs);
	g_free(link);
}

uint16_t soak_link_port(const struct soak_link *link)
{
	return link->port;
}

void soak_set_link_state(struct soak_link *link, enum soak_link_state state,
			 uint32_t delay_ms)
{
	link->state = state;
	link->delay_ms = delay_ms;
	if (state == SOAK_LINK_REFUSED)
		soak_close_link_conns(link);
}

void soak_close_link_conns(struct soak_link *link)
{
	GPtrArray *pairs = link->pairs;

	link->pairs = g_ptr_array_new();
	for (guint i = 0; i < pairs->len; i++)
		free_pair(g_ptr_array_index(pairs, i));
	g_ptr_array_unref(pairs);
}
