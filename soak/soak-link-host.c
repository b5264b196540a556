/*
 * soak-link-host.c - processes that run the loopback links, which can delay,
 * stall or refuse connections.
 *
 * A link has two descriptors for each connection, so with hundreds of gateways
 * one process has too few for all of them.  Each chunk of bytes is forwarded
 * when its delay is over and its direction is not stalled.
 */
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib-unix.h>

#include "soak-link.h"
#include "support/port.h"

#define FLUSH_MS 2
#define CHUNK_BYTES 16384

struct chunk {
	GBytes *bytes; /* NULL: end of stream */
	int64_t due_us;
};

/* One direction of a connection. */
struct stream {
	GSocket *from;
	GSocket *to;
	GSource *source;
	GQueue chunks;
	bool to_target; /* from the client to the target */
	bool eof_sent;	/* end of stream was forwarded */
};

struct conn {
	struct link *link;
	GSocket *client;
	GSocket *target;
	struct stream to_target;
	struct stream to_client;
};

struct link {
	GSocket *listener;
	GSource *source;
	uint16_t port;
	uint16_t target_port;
	enum soak_link_state state;
	uint32_t delay_ms;
	GPtrArray *conns;
	guint timer; /* 0: no chunks are queued */
};

/* Connections of all links that failed for want of descriptors. */
static uint32_t n_failed_connections;

static void free_chunk(gpointer data)
{
	struct chunk *chunk = data;

	if (chunk->bytes)
		g_bytes_unref(chunk->bytes);
	g_free(chunk);
}

static void clear_stream(struct stream *stream)
{
	if (stream->source) {
		g_source_destroy(stream->source);
		g_source_unref(stream->source);
	}
	g_queue_clear_full(&stream->chunks, free_chunk);
}

static void free_conn(struct conn *conn)
{
	clear_stream(&conn->to_target);
	clear_stream(&conn->to_client);
	g_socket_close(conn->client, NULL);
	g_socket_close(conn->target, NULL);
	g_object_unref(conn->client);
	g_object_unref(conn->target);
	g_free(conn);
}

static void drop_conn(struct conn *conn)
{
	g_ptr_array_remove_fast(conn->link->conns, conn);
	free_conn(conn);
}

static bool is_passing(const struct link *link, bool to_target)
{
	switch (link->state) {
	case SOAK_LINK_UP:
		return true;
	case SOAK_LINK_REQUESTS_STALLED:
		return !to_target;
	case SOAK_LINK_REPLIES_STALLED:
		return to_target;
	case SOAK_LINK_STALLED:
	case SOAK_LINK_REFUSED:
		return false;
	}
	return false;
}

/* Forward the chunks that are due; return false if the connection is broken. */
static bool flush_stream(struct link *link, struct stream *stream)
{
	struct chunk *chunk;

	while (is_passing(link, stream->to_target) &&
	       (chunk = g_queue_peek_head(&stream->chunks)) &&
	       chunk->due_us <= g_get_monotonic_time()) {
		gsize length = 0;
		const char *bytes =
			chunk->bytes ? g_bytes_get_data(chunk->bytes, &length) :
				       NULL;
		gssize sent;

		if (!bytes) {
			stream->eof_sent = true;
			g_socket_shutdown(stream->to, FALSE, TRUE, NULL);
			free_chunk(g_queue_pop_head(&stream->chunks));
			continue;
		}
		sent = g_socket_send(stream->to, bytes, length, NULL, NULL);
		if (sent < 0)
			return g_socket_condition_check(
				       stream->to, G_IO_HUP | G_IO_ERR) == 0;
		if ((gsize)sent < length) {
			GBytes *rest = g_bytes_new_from_bytes(
				chunk->bytes, (gsize)sent,
				length - (gsize)sent);

			g_bytes_unref(chunk->bytes);
			chunk->bytes = rest;
			return true;
		}
		free_chunk(g_queue_pop_head(&stream->chunks));
	}
	return true;
}

static gboolean flush_all(gpointer data);

/* There are hundreds of links: run the timer only for those with chunks. */
static void flush_later(struct link *link)
{
	if (!link->timer)
		link->timer = g_timeout_add(FLUSH_MS, flush_all, link);
}

static gboolean read_stream(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	struct stream *stream = data;
	struct conn *conn =
		stream->to_target ?
			(struct conn *)((char *)stream -
					G_STRUCT_OFFSET(struct conn,
							to_target)) :
			(struct conn *)((char *)stream -
					G_STRUCT_OFFSET(struct conn,
							to_client));
	char bytes[CHUNK_BYTES];
	gssize n = g_socket_receive(socket, bytes, sizeof(bytes), NULL, NULL);
	struct chunk *chunk;

	if (n < 0) {
		drop_conn(conn);
		return G_SOURCE_REMOVE;
	}
	chunk = g_new0(struct chunk, 1);
	chunk->bytes = n ? g_bytes_new(bytes, (gsize)n) : NULL;
	chunk->due_us =
		g_get_monotonic_time() + (int64_t)conn->link->delay_ms * MS;
	g_queue_push_tail(&stream->chunks, chunk);
	if (!flush_stream(conn->link, stream)) {
		drop_conn(conn);
		return G_SOURCE_REMOVE;
	}
	if (stream->eof_sent || !g_queue_is_empty(&stream->chunks))
		flush_later(conn->link);
	if (n)
		return G_SOURCE_CONTINUE;
	g_source_unref(stream->source);
	stream->source = NULL;
	return G_SOURCE_REMOVE;
}

static void start_stream(struct stream *stream, GSocket *from, GSocket *to,
			 bool to_target)
{
	stream->from = from;
	stream->to = to;
	stream->to_target = to_target;
	g_queue_init(&stream->chunks);
	stream->source = g_socket_create_source(from, G_IO_IN, NULL);
	g_source_set_callback(stream->source, G_SOURCE_FUNC(read_stream),
			      stream, NULL);
	g_source_attach(stream->source, NULL);
}

static void count_failure(GError *error)
{
	n_failed_connections += g_error_matches(error, G_IO_ERROR,
						G_IO_ERROR_TOO_MANY_OPEN_FILES);
	g_clear_error(&error);
}

static GSocket *accept_client(GSocket *listener)
{
	GError *error = NULL;
	GSocket *client = g_socket_accept(listener, NULL, &error);

	if (!client)
		count_failure(error);
	return client;
}

static GSocket *connect_to_port(uint16_t port)
{
	GError *error = NULL;
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, &error);

	if (!socket)
		count_failure(error);
	else if (!g_socket_connect(socket, address, NULL, NULL))
		g_clear_object(&socket);
	else
		g_socket_set_blocking(socket, FALSE);
	g_object_unref(address);
	return socket;
}

static gboolean accept_conn(GSocket *listener, GIOCondition condition,
			    gpointer data)
{
	struct link *link = data;
	GSocket *client = accept_client(listener);
	GSocket *target = client && link->state != SOAK_LINK_REFUSED ?
				  connect_to_port(link->target_port) :
				  NULL;
	struct conn *conn;

	if (!target) {
		if (client)
			g_socket_close(client, NULL);
		g_clear_object(&client);
		return G_SOURCE_CONTINUE;
	}
	g_socket_set_blocking(client, FALSE);
	conn = g_new0(struct conn, 1);
	conn->link = link;
	conn->client = client;
	conn->target = target;
	start_stream(&conn->to_target, client, target, true);
	start_stream(&conn->to_client, target, client, false);
	g_ptr_array_add(link->conns, conn);
	return G_SOURCE_CONTINUE;
}

static gboolean flush_all(gpointer data)
{
	struct link *link = data;
	bool has_pending = false;

	for (guint i = link->conns->len; i > 0; i--) {
		struct conn *conn = g_ptr_array_index(link->conns, i - 1);

		if (!flush_stream(link, &conn->to_target) ||
		    !flush_stream(link, &conn->to_client) ||
		    (conn->to_target.eof_sent && conn->to_client.eof_sent))
			drop_conn(conn);
		else if (!g_queue_is_empty(&conn->to_target.chunks) ||
			 !g_queue_is_empty(&conn->to_client.chunks))
			has_pending = true;
	}
	if (has_pending)
		return G_SOURCE_CONTINUE;
	link->timer = 0;
	return G_SOURCE_REMOVE;
}

static void close_conns(struct link *link)
{
	GPtrArray *conns = link->conns;

	link->conns = g_ptr_array_new();
	for (guint i = 0; i < conns->len; i++)
		free_conn(g_ptr_array_index(conns, i));
	g_ptr_array_unref(conns);
}

static void set_listening(struct link *link, bool open)
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
	g_source_set_callback(link->source, G_SOURCE_FUNC(accept_conn), link,
			      NULL);
	g_source_attach(link->source, NULL);
}

/* Links are never removed; the host ends with the soak. */
static struct link *new_link(GPtrArray *links, uint16_t target_port)
{
	struct link *link = g_new0(struct link, 1);

	link->target_port = target_port;
	link->conns = g_ptr_array_new();
	set_listening(link, true);
	g_ptr_array_add(links, link);
	return link;
}

static struct link *execute(GPtrArray *links,
			    const struct soak_link_command *command)
{
	struct link *link = command->kind == SOAK_LINK_NEW ?
				    new_link(links, command->target_port) :
				    g_ptr_array_index(links, command->link);

	switch (command->kind) {
	case SOAK_LINK_NEW:
		break;
	case SOAK_LINK_SET_STATE:
		link->state = command->state;
		link->delay_ms = command->delay_ms;
		if (link->state == SOAK_LINK_REFUSED)
			close_conns(link);
		break;
	case SOAK_LINK_SET_LISTENING:
		set_listening(link, command->listening);
		break;
	case SOAK_LINK_CLOSE_CONNS:
		close_conns(link);
		break;
	}
	return link;
}

/* Links of this process. */
struct host {
	int fd; /* to the soak */
	GPtrArray *links;
};

static gboolean handle_command(gint fd, GIOCondition condition, gpointer data)
{
	struct host *host = data;
	struct soak_link_command command;
	struct soak_link_reply reply = { 0 };

	if (recv(fd, &command, sizeof(command), 0) != sizeof(command))
		exit(0); /* the soak has ended */
	reply.port = execute(host->links, &command)->port;
	reply.link = host->links->len - 1;
	reply.n_failed_connections = n_failed_connections;
	if (send(fd, &reply, sizeof(reply), MSG_NOSIGNAL) != sizeof(reply))
		exit(0);
	return G_SOURCE_CONTINUE;
}

static G_GNUC_NORETURN void run_host(int fd)
{
	struct host host = { .fd = fd, .links = g_ptr_array_new() };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	g_unix_fd_add(fd, G_IO_IN, handle_command, &host);
	for (;;)
		g_main_context_iteration(NULL, TRUE);
}

int soak_fork_link_host(void)
{
	int fds[2];
	pid_t pid;

	if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, fds) < 0)
		g_error("socketpair: %s", g_strerror(errno));
	pid = fork();
	if (pid < 0)
		g_error("fork: %s", g_strerror(errno));
	if (!pid) {
		close(fds[0]);
		run_host(fds[1]);
	}
	close(fds[1]);
	return fds[0];
}
