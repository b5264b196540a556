/*
 * net-peer.c - the port peers come to: a ROUTER that receives.
 */
#include <errno.h>
#include <glib-unix.h>
#include <string.h>
#include <zmq.h>

#include "net/net-peer-private.h"
#include "ragwort/counters.h"
#include "ragwort/error.h"
#include "ragwort/log.h"
#include "ragwort/wire.h"

#define MAX_SOCKETS 1023
#define IDLE_CHECK_S 10

struct socket_watch {
	GSourceFunc ready;
	void *data;
};

static gboolean on_socket_ready(gint fd, GIOCondition condition, gpointer data)
{
	struct socket_watch *watch = data;

	(void)fd;
	(void)condition;
	return watch->ready(watch->data);
}

GSource *rr_watch_zmq_socket(void *socket, GSourceFunc ready, void *data)
{
	struct socket_watch *watch = g_new(struct socket_watch, 1);
	int fd = -1;
	size_t size = sizeof(fd);
	GSource *source;

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	watch->ready = ready;
	watch->data = data;
	source = g_unix_fd_source_new(fd, G_IO_IN);
	g_source_set_callback(source, G_SOURCE_FUNC(on_socket_ready), watch,
			      g_free);
	g_source_attach(source, g_main_context_get_thread_default());
	return source;
}

void rr_drop_source(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

int rr_get_zmq_events(void *socket)
{
	int events = 0;
	size_t size = sizeof(events);

	if (zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size))
		return 0;
	return events;
}

void rr_set_zmq_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static bool address_valid(const char *address, GError **error)
{
	const char *colon = strrchr(address, ':');
	char *host = colon ? g_strndup(address, (gsize)(colon - address)) :
			     g_strdup("");
	guint64 number;
	bool valid = g_hostname_is_ip_address(host) && !strchr(host, ':') &&
		     g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535,
						&number, NULL);

	g_free(host);
	if (!valid)
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "peer address \"%s\": a numeric IPv4 address and "
			    "a port are allowed",
			    address);
	return valid;
}

static gboolean check_idle(void *data)
{
	struct rr_peer_transport *port = data;

	rr_close_idle_links(port);
	rr_close_old_router(port);
	return G_SOURCE_CONTINUE;
}

struct rr_peer_transport *
rr_new_peer_transport(struct rr_context *ctx,
		      const struct rr_peer_transport_options *options,
		      GError **error)
{
	struct rr_peer_transport *port;
	struct peer_keys keys = { 0 };

	if (!address_valid(options->address, error))
		return NULL;
	if (options->keys && !rr_parse_peer_keys(options->keys, &keys, error))
		return NULL;
	port = g_new0(struct rr_peer_transport, 1);
	port->ctx = rr_keep_context(ctx);
	port->keys = keys;
	port->received = options->received;
	port->data = options->data;
	port->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    rr_drop_peer_link);
	port->zmq = zmq_ctx_new();
	zmq_ctx_set(port->zmq, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
	if ((port->keys.configured && !rr_start_zap_handler(port, error)) ||
	    !(port->router = rr_new_peer_router(port, options->address, false,
						error))) {
		rr_drop_peer_transport(port);
		return NULL;
	}
	port->idle_timer = g_timeout_source_new_seconds(IDLE_CHECK_S);
	g_source_set_callback(port->idle_timer, check_idle, port, NULL);
	g_source_attach(port->idle_timer, g_main_context_get_thread_default());
	return port;
}

void rr_drop_peer_transport(struct rr_peer_transport *port)
{
	if (!port)
		return;
	rr_drop_source(&port->zap_source);
	rr_drop_source(&port->link_timer);
	rr_drop_source(&port->idle_timer);
	g_hash_table_unref(port->links);
	rr_drop_peer_router(port->router);
	rr_drop_peer_router(port->old_router);
	if (port->zap_socket)
		zmq_close(port->zap_socket);
	zmq_ctx_shutdown(port->zmq);
	zmq_ctx_term(port->zmq);
	explicit_bzero(&port->keys, sizeof(port->keys));
	rr_drop_context(port->ctx);
	g_free(port);
}

const char *rr_peer_transport_address(const struct rr_peer_transport *port)
{
	return port->router->address;
}

bool rr_set_peer_keys(struct rr_context *ctx, struct rr_peer_transport *port,
		      const struct rr_peer_keys *keys, GError **error)
{
	struct peer_keys parsed;
	struct peer_keys before;
	bool new_pair;
	bool removed;
	bool done = false;

	if (!port->keys.configured) {
		g_set_error(error, RR_ERROR, RR_ERROR_RESTART_REQUIRED,
			    "the peer port was started without keys");
		return false;
	}
	if (!rr_parse_peer_keys(keys, &parsed, error))
		return false;
	before = port->keys;
	new_pair = memcmp(parsed.secret_key, before.secret_key,
			  RR_CURVE_KEY_BYTES) != 0;
	removed = !rr_are_keys_still_allowed(&before, &parsed);
	port->keys = parsed;
	if (new_pair && !rr_rekey_peer_router(port, error)) {
		port->keys = before;
		goto failed;
	}
	port->keys_removed |= removed;
	if (new_pair || removed)
		rr_rekey_peer_links(port);
	rr_log(ctx, RR_LOG_INFO, "peer_keys",
	       RR_FIELD_U64("allowed", parsed.n_allowed),
	       RR_FIELD_BOOL("new_pair", new_pair),
	       RR_FIELD_BOOL("removed", removed));
	done = true;
failed:
	explicit_bzero(&parsed, sizeof(parsed));
	explicit_bzero(&before, sizeof(before));
	return done;
}
