/*
 * net-peer-router.c - receiving side of the peer transport: a ROUTER per key
 * pair.
 *
 * While a key pair is being replaced, a second ROUTER listens under the old
 * pair.
 */
#include <errno.h>
#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "net/address-private.h"
#include "net/net-peer-private.h"
#include "ragwort/counters.h"
#include "ragwort/error.h"
#include "ragwort/log.h"
#include "ragwort/wire.h"

/* Unread messages of one peer; TCP flow control holds back the rest. */
#define RECEIVE_HIGH_WATER_MARK 1000
/*
 * Messages handled in one turn of the main loop, so that callers are served in
 * between.
 */
#define MAX_MESSAGES_PER_TURN 64
#define BACKLOG 1024
/*
 * A router under a removed key pair is closed when it has received nothing for
 * this time.
 */
#define OLD_ROUTER_IDLE_US 5000000

static void handle_payload(struct rr_peer_transport *transport,
			   zmq_msg_t *payload)
{
	GError *error = NULL;
	struct rr_peer_message *message = rr_decode_peer_message(
		zmq_msg_data(payload), zmq_msg_size(payload), &error);

	if (!message) {
		rr_count(transport->ctx, RR_N_PEER_MESSAGES_BAD, 1);
		rr_log(transport->ctx, RR_LOG_WARNING, "peer_message_bad",
		       RR_FIELD_STRING("reason", error->message));
		g_error_free(error);
		return;
	}
	transport->received(transport->data, message);
	rr_drop_peer_message(message);
}

/*
 * Reads one complete message: the routing id of the sender and one frame.
 * Returns false when none is waiting.
 */
static bool receive_message(struct peer_router *router)
{
	struct rr_peer_transport *transport = router->transport;
	zmq_msg_t payload;
	int frames = 0;
	bool more = true;

	zmq_msg_init(&payload);
	while (more) {
		if (zmq_msg_recv(&payload, router->socket, ZMQ_DONTWAIT) < 0)
			break;
		frames++;
		more = zmq_msg_more(&payload);
	}
	if (frames && !rr_is_sender_allowed(transport, &payload)) {
		rr_log_rejected_peer(transport);
	} else if (frames == 2) {
		handle_payload(transport, &payload);
	} else if (frames) {
		rr_count(transport->ctx, RR_N_PEER_MESSAGES_BAD, 1);
		rr_log(transport->ctx, RR_LOG_WARNING, "peer_message_bad",
		       RR_FIELD_STRING("reason", "expected one frame"),
		       RR_FIELD_I64("frames", frames - 1));
	}
	zmq_msg_close(&payload);
	return frames > 0;
}

static gboolean receive_messages(void *data);

static gboolean resume_receive(void *data)
{
	struct peer_router *router = data;

	rr_drop_source(&router->resume_source);
	receive_messages(router);
	return G_SOURCE_REMOVE;
}

/*
 * ZMQ_FD is edge-triggered, so a message could stay unread until the next one
 * arrives. Therefore ZMQ_EVENTS is read again after each message, and another
 * turn is scheduled when the limit of this turn is reached.
 */
static gboolean receive_messages(void *data)
{
	struct peer_router *router = data;
	int remaining = MAX_MESSAGES_PER_TURN;

	router->last_receive_us = g_get_monotonic_time();
	while (rr_get_zmq_events(router->socket) & ZMQ_POLLIN) {
		if (!remaining--) {
			if (router->resume_source)
				break;
			router->resume_source = g_idle_source_new();
			g_source_set_priority(router->resume_source,
					      G_PRIORITY_DEFAULT);
			g_source_set_callback(router->resume_source,
					      resume_receive, router, NULL);
			g_source_attach(router->resume_source,
					g_main_context_get_thread_default());
			break;
		}
		if (!receive_message(router))
			break;
	}
	return G_SOURCE_CONTINUE;
}

/* Returns the bound address, "" on failure; to be freed with g_free(). */
static char *read_bound_address(int fd)
{
	struct sockaddr_storage name;
	socklen_t size = sizeof(name);
	GSocketAddress *address;
	char *text;

	if (getsockname(fd, (struct sockaddr *)&name, &size))
		return g_strdup("");
	address = g_socket_address_new_from_native(&name, size);
	text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(address));
	g_object_unref(address);
	return text;
}

static void set_port_sharing(int fd, int shared)
{
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &shared, sizeof(shared));
}

/* Returns a listening socket, or -1 with an error. */
static int open_listening_socket(const char *text, bool shared, GError **error)
{
	GSocketAddress *address = rr_parse_address(text, error);
	struct sockaddr_storage name;
	gssize size;
	int on = 1;
	int fd = -1;

	if (!address)
		return -1;
	size = g_socket_address_get_native_size(address);
	if (g_socket_address_to_native(address, &name, sizeof(name), NULL))
		fd = socket(name.ss_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_object_unref(address);
	if (fd >= 0) {
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		set_port_sharing(fd, shared);
	}
	if (fd >= 0 && !bind(fd, (struct sockaddr *)&name, (socklen_t)size) &&
	    !listen(fd, BACKLOG))
		return fd;
	g_set_error(error, RR_ERROR, RR_ERROR_SYSTEM,
		    "cannot bind the peer address %s: %s", text,
		    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static void *make_socket(struct rr_peer_transport *transport, int fd,
			 const char *address)
{
	void *socket = zmq_socket(transport->zmq, ZMQ_ROUTER);
	char *endpoint = g_strdup_printf("tcp://%s", address);

	rr_set_zmq_int_option(socket, ZMQ_LINGER, 0);
	rr_set_zmq_int_option(socket, ZMQ_ROUTER_MANDATORY, 1);
	rr_set_zmq_int_option(socket, ZMQ_RCVHWM, RECEIVE_HIGH_WATER_MARK);
	rr_set_zmq_int_option(socket, ZMQ_SNDHWM, 1);
	rr_set_zmq_int_option(socket, ZMQ_USE_FD, fd);
	rr_set_server_keys(socket, &transport->keys);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &(int64_t){ RR_MAX_PEER_BYTES },
		       sizeof(int64_t));
	if (socket && zmq_bind(socket, endpoint)) {
		zmq_close(socket);
		socket = NULL;
	}
	g_free(endpoint);
	return socket;
}

struct peer_router *rr_new_peer_router(struct rr_peer_transport *transport,
				       const char *address, bool shared,
				       GError **error)
{
	int fd = open_listening_socket(address, shared, error);
	struct peer_router *router;

	if (fd < 0)
		return NULL;
	router = g_new0(struct peer_router, 1);
	router->transport = transport;
	router->fd = fd;
	router->address = read_bound_address(fd);
	memcpy(router->public_key, transport->keys.public_key,
	       RR_CURVE_KEY_BYTES);
	router->socket = make_socket(transport, fd, router->address);
	if (!router->socket) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYSTEM,
			    "cannot listen at the peer address %s: %s", address,
			    zmq_strerror(errno));
		close(fd);
		rr_drop_peer_router(router);
		return NULL;
	}
	router->last_receive_us = g_get_monotonic_time();
	router->read_source =
		rr_watch_zmq_socket(router->socket, receive_messages, router);
	return router;
}

void rr_drop_peer_router(struct peer_router *router)
{
	if (!router)
		return;
	rr_drop_source(&router->read_source);
	rr_drop_source(&router->resume_source);
	if (router->socket)
		zmq_close(router->socket);
	g_free(router->address);
	g_free(router);
}

/*
 * Keeps forwarded requests from being lost when the key pair changes: a ROUTER
 * reads its key when it is bound, and unbinding closes the connections it
 * accepted. So a second one listens at the same address under the new pair; the
 * kernel spreads new connections over both, and a peer that reaches the wrong
 * one tries again. The address may be shared only while the second one binds,
 * because two instances must not start with the same address.
 */
bool rr_rekey_peer_router(struct rr_peer_transport *transport, GError **error)
{
	struct peer_router *new_router;

	set_port_sharing(transport->router->fd, 1);
	new_router = rr_new_peer_router(transport, transport->router->address,
					true, error);
	set_port_sharing(transport->router->fd, 0);
	if (!new_router)
		return false;
	set_port_sharing(new_router->fd, 0);
	rr_drop_peer_router(transport->old_router);
	transport->old_router = transport->router;
	transport->router = new_router;
	return true;
}

void rr_close_old_router(struct rr_peer_transport *transport)
{
	struct peer_router *old = transport->old_router;

	if (!old || rr_is_peer_key_allowed(&transport->keys, old->public_key) ||
	    g_get_monotonic_time() - old->last_receive_us < OLD_ROUTER_IDLE_US)
		return;
	rr_drop_peer_router(old);
	transport->old_router = NULL;
}
