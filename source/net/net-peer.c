/*
 * net-peer.c - peer transport: creation, key replacement and ZeroMQ helpers.
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

static bool check_address(const char *address, GError **error)
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

static gboolean close_idle(void *data)
{
	struct rr_peer_transport *transport = data;

	rr_close_idle_links(transport);
	rr_close_old_router(transport);
	return G_SOURCE_CONTINUE;
}

struct rr_peer_transport *
rr_new_peer_transport(struct rr_context *ctx,
		      const struct rr_peer_transport_options *options,
		      GError **error)
{
	struct rr_peer_transport *transport;
	struct peer_keys keys = { 0 };

	if (!check_address(options->address, error))
		return NULL;
	if (options->keys && !rr_parse_peer_keys(options->keys, &keys, error))
		return NULL;
	transport = g_new0(struct rr_peer_transport, 1);
	transport->ctx = rr_keep_context(ctx);
	transport->keys = keys;
	transport->received = options->received;
	transport->data = options->data;
	transport->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 rr_drop_peer_link);
	transport->zmq = zmq_ctx_new();
	zmq_ctx_set(transport->zmq, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
	if ((transport->keys.configured &&
	     !rr_start_zap_handler(transport, error)) ||
	    !(transport->router = rr_new_peer_router(
		      transport, options->address, false, error))) {
		rr_drop_peer_transport(transport);
		return NULL;
	}
	transport->idle_timer = g_timeout_source_new_seconds(IDLE_CHECK_S);
	g_source_set_callback(transport->idle_timer, close_idle, transport,
			      NULL);
	g_source_attach(transport->idle_timer,
			g_main_context_get_thread_default());
	return transport;
}

void rr_drop_peer_transport(struct rr_peer_transport *transport)
{
	if (!transport)
		return;
	rr_drop_source(&transport->zap_source);
	rr_drop_source(&transport->link_timer);
	rr_drop_source(&transport->idle_timer);
	g_hash_table_unref(transport->links);
	rr_drop_peer_router(transport->router);
	rr_drop_peer_router(transport->old_router);
	if (transport->zap_socket)
		zmq_close(transport->zap_socket);
	zmq_ctx_shutdown(transport->zmq);
	zmq_ctx_term(transport->zmq);
	explicit_bzero(&transport->keys, sizeof(transport->keys));
	rr_drop_context(transport->ctx);
	g_free(transport);
}

const char *rr_peer_transport_address(const struct rr_peer_transport *transport)
{
	return transport->router->address;
}

bool rr_set_peer_keys(struct rr_context *ctx,
		      struct rr_peer_transport *transport,
		      const struct rr_peer_keys *keys, GError **error)
{
	struct peer_keys new_keys;
	struct peer_keys old_keys;
	bool pair_changed;
	bool removed;
	bool done = false;

	if (!transport->keys.configured) {
		g_set_error(error, RR_ERROR, RR_ERROR_RESTART_REQUIRED,
			    "peer transport was started without keys");
		return false;
	}
	if (!rr_parse_peer_keys(keys, &new_keys, error))
		return false;
	old_keys = transport->keys;
	pair_changed = memcmp(new_keys.secret_key, old_keys.secret_key,
			      RR_CURVE_KEY_BYTES) != 0;
	removed = !rr_are_keys_still_allowed(&old_keys, &new_keys);
	transport->keys = new_keys;
	if (pair_changed && !rr_rekey_peer_router(transport, error)) {
		transport->keys = old_keys;
		goto failed;
	}
	transport->keys_removed |= removed;
	if (pair_changed || removed)
		rr_rekey_peer_links(transport);
	rr_log(ctx, RR_LOG_INFO, "peer_keys",
	       RR_FIELD_U64("allowed", new_keys.n_allowed),
	       RR_FIELD_BOOL("new_pair", pair_changed),
	       RR_FIELD_BOOL("removed", removed));
	done = true;
failed:
	explicit_bzero(&new_keys, sizeof(new_keys));
	explicit_bzero(&old_keys, sizeof(old_keys));
	return done;
}
