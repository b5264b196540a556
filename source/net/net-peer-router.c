/*
 * net-peer-router.c - the listening end of the peer port: a ROUTER under one
 * key pair, and for a while a second one when the pair is replaced.
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

/* Messages of one peer that wait unread; TCP holds back the rest. */
#define RECEIVE_HIGH_WATER_MARK 1000
/* Messages handled in one turn of the loop, so that callers get theirs. */
#define MAX_MESSAGES_A_TURN 64
#define BACKLOG 1024
/* A router under a removed pair is closed when it was quiet for so long. */
#define QUIET_US 5000000

static void handle_payload(struct rr_peer_transport *port, zmq_msg_t *payload)
{
	GError *error = NULL;
	struct rr_peer_message *message = rr_decode_peer_message(
		zmq_msg_data(payload), zmq_msg_size(payload), &error);

	if (!message) {
		rr_count(port->ctx, RR_N_PEER_MESSAGES_BAD, 1);
		rr_log(port->ctx, RR_LOG_WARNING, "peer_message_bad",
		       RR_FIELD_STRING("reason", error->message));
		g_error_free(error);
		return;
	}
	port->received(port->data, message);
	rr_drop_peer_message(message);
}

/*
 * Read one message whole, which has the sender's routing id and one frame.
 * False when none waits.
 */
static bool receive_one(struct peer_router *router)
{
	struct rr_peer_transport *port = router->transport;
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
	if (frames && !rr_is_sender_allowed(port, &payload)) {
		rr_log_rejected_peer(port);
	} else if (frames == 2) {
		handle_payload(port, &payload);
	} else if (frames) {
		rr_count(port->ctx, RR_N_PEER_MESSAGES_BAD, 1);
		rr_log(port->ctx, RR_LOG_WARNING, "peer_message_bad",
		       RR_FIELD_STRING("reason", "not one frame"),
		       RR_FIELD_I64("frames", frames - 1));
	}
	zmq_msg_close(&payload);
	return frames > 0;
}

static gboolean receive(void *data);

static gboolean receive_again(void *data)
{
	struct peer_router *router = data;

	rr_drop_source(&router->resume_source);
	receive(router);
	return G_SOURCE_REMOVE;
}

/*
 * ZMQ_FD tells a change once only.  Guards against a message that lies
 * unread until the next one comes: ZMQ_EVENTS is read again after each
 * receive, and when the turn's share is used up another turn is asked for.
 */
static gboolean receive(void *data)
{
	struct peer_router *router = data;
	int left = MAX_MESSAGES_A_TURN;

	router->last_receive_us = g_get_monotonic_time();
	while (rr_get_zmq_events(router->socket) & ZMQ_POLLIN) {
		if (!left--) {
			if (router->resume_source)
				break;
			router->resume_source = g_idle_source_new();
			g_source_set_priority(router->resume_source,
					      G_PRIORITY_DEFAULT);
			g_source_set_callback(router->resume_source,
					      receive_again, router, NULL);
			g_source_attach(router->resume_source,
					g_main_context_get_thread_default());
			break;
		}
		if (!receive_one(router))
			break;
	}
	return G_SOURCE_CONTINUE;
}

/* "" for an address that is none; g_free() it. */
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

static void share_address(int fd, int share)
{
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &share, sizeof(share));
}

/* A listening socket, or -1 and errno. */
static int listen_at(const char *text, bool shared, GError **error)
{
	GSocketAddress *address = rr_parse_address(text, error);
	struct sockaddr_storage name;
	gssize size;
	int yes = 1;
	int fd = -1;

	if (!address)
		return -1;
	size = g_socket_address_get_native_size(address);
	if (g_socket_address_to_native(address, &name, sizeof(name), NULL))
		fd = socket(name.ss_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_object_unref(address);
	if (fd >= 0) {
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
		share_address(fd, shared);
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

static void *make_socket(struct rr_peer_transport *port, int fd,
			 const char *address)
{
	void *socket = zmq_socket(port->zmq, ZMQ_ROUTER);
	char *endpoint = g_strdup_printf("tcp://%s", address);

	rr_set_zmq_int_option(socket, ZMQ_LINGER, 0);
	rr_set_zmq_int_option(socket, ZMQ_ROUTER_MANDATORY, 1);
	rr_set_zmq_int_option(socket, ZMQ_RCVHWM, RECEIVE_HIGH_WATER_MARK);
	rr_set_zmq_int_option(socket, ZMQ_SNDHWM, 1);
	rr_set_zmq_int_option(socket, ZMQ_USE_FD, fd);
	rr_set_server_keys(socket, &port->keys);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &(int64_t){ RR_MAX_PEER_BYTES },
		       sizeof(int64_t));
	if (socket && zmq_bind(socket, endpoint)) {
		zmq_close(socket);
		socket = NULL;
	}
	g_free(endpoint);
	return socket;
}

struct peer_router *rr_new_peer_router(struct rr_peer_transport *port,
				       const char *address, bool shared,
				       GError **error)
{
	int fd = listen_at(address, shared, error);
	struct peer_router *router;

	if (fd < 0)
		return NULL;
	router = g_new0(struct peer_router, 1);
	router->transport = port;
	router->fd = fd;
	router->address = read_bound_address(fd);
	memcpy(router->public_key, port->keys.public_key, RR_CURVE_KEY_BYTES);
	router->socket = make_socket(port, fd, router->address);
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
		rr_watch_zmq_socket(router->socket, receive, router);
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
 * Guards against relays that are lost when the pair changes: a ROUTER takes
 * its key when it is bound, and unbinding ends the connections it accepted.
 * So a second one listens at the same address, under the new pair; the kernel
 * spreads new connections over both, and a peer that reached the wrong one
 * tries again.  Only while the second one binds may the address be shared:
 * two instances with one address must not come up.
 */
bool rr_rekey_peer_router(struct rr_peer_transport *port, GError **error)
{
	struct peer_router *renewed;

	share_address(port->router->fd, 1);
	renewed = rr_new_peer_router(port, port->router->address, true, error);
	share_address(port->router->fd, 0);
	if (!renewed)
		return false;
	share_address(renewed->fd, 0);
	rr_drop_peer_router(port->old_router);
	port->old_router = port->router;
	port->router = renewed;
	return true;
}

void rr_close_old_router(struct rr_peer_transport *port)
{
	struct peer_router *old = port->old_router;

	if (!old || rr_is_peer_key_allowed(&port->keys, old->public_key) ||
	    g_get_monotonic_time() - old->last_receive_us < QUIET_US)
		return;
	rr_drop_peer_router(old);
	port->old_router = NULL;
}
