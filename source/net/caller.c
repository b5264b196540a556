/*
 * caller.c - the HTTP server that callers come to.
 */
#define _GNU_SOURCE /* POLLRDHUP */
#include "ragwort/net-caller.h"

#include <glib-unix.h>
#include <libsoup/soup.h>
#include <poll.h>
#include <string.h>

#include "net/address-private.h"
#include "net/caller-connections.h"
#include "net/caller-private.h"
#include "ragwort/counters.h"
#include "ragwort/error.h"

#define MAX_PATH_BYTES 8192
#define MAX_HEADER_BYTES 8192
/* The library has no names for these. */
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_HEADER_TOO_LARGE 431
#define RATE_RETRY_MS 1000
/* Twice the time after which closed connections are looked for. */
#define BOUND_RETRY_MS 2000
#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"

struct rr_caller_server {
	struct rr_context *ctx;
	struct rr_caller_server_options options;
	char *certificate_file;
	char *key_file;
	char *token_file;
	char **tokens;
	SoupServer *server;
	struct rr_caller_connections *connections;
	struct rr_caller_rate_limiter *rate; /* NULL: no bound */
	GHashTable *calls;	     /* uint64_t query id to struct open_call */
	struct open_call *accepting; /* inside options.request() */
	uint32_t n_open;
	bool closing;
};

/* A call that the core works on; freed when its reply is written. */
struct open_call {
	uint64_t query_id; /* first: the hash table's key */
	struct rr_caller_server *port;
	SoupServerMessage *message;
	guint hangup_source;
	bool answered;
};

static void set_reply(struct rr_caller_server *port, SoupServerMessage *message,
		      uint32_t status, const char *type, GString *text)
{
	gsize length = text->len;

	if (port->closing)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Connection", "close");
	rr_mark_reply_ready(message);
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE,
					 g_string_free(text, FALSE), length);
}

static void set_refusal(struct rr_caller_server *port,
			SoupServerMessage *message, uint32_t status,
			const char *reason)
{
	GString *text = g_string_new(NULL);

	if (status == STATUS_TOO_MANY_REQUESTS)
		rr_count(port->ctx, RR_N_CALLS_OVER_RATE, 1);
	else if (status != SOUP_STATUS_SERVICE_UNAVAILABLE)
		rr_count(port->ctx, RR_N_CALLS_INVALID, 1);
	rr_format_rejection(status == SOUP_STATUS_SERVICE_UNAVAILABLE ?
				    RR_NOT_RUN :
				    RR_INVALID,
			    reason, text);
	set_reply(port, message, status, JSON_TYPE, text);
}

static void set_retry_after(SoupServerMessage *message, uint32_t after_ms)
{
	char seconds[16];

	/* The header counts whole seconds: round up, never 0. */
	g_snprintf(seconds, sizeof(seconds), "%u",
		   MAX(1, after_ms / 1000 + (after_ms % 1000 != 0)));
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Retry-After", seconds);
}

static void stop_watching(struct open_call *call)
{
	if (call->hangup_source)
		g_source_remove(call->hangup_source);
	call->hangup_source = 0;
}

static void end_call(struct open_call *call)
{
	call->answered = true;
	stop_watching(call);
	if (call->query_id)
		g_hash_table_remove(call->port->calls, &call->query_id);
}

/* The reply was written, or the connection is gone. */
static void finish_call(SoupServerMessage *message, gpointer data)
{
	struct open_call *call = data;
	struct rr_caller_server *port = call->port;

	if (!call->answered) {
		end_call(call);
		port->options.disconnected(port->options.data, call->query_id);
	}
	port->n_open--;
	g_object_unref(call->message);
	g_free(call);
}

/*
 * The library does not look at a paused connection, so it would notice a
 * caller that left only when the answer is written: upstreams would work on
 * for nobody.  POLLRDHUP tells it at once, also where unread bytes wait.
 */
static gboolean note_hangup(gint fd, GIOCondition condition, gpointer data)
{
	struct open_call *call = data;
	struct rr_caller_server *port = call->port;

	call->hangup_source = 0;
	end_call(call);
	port->options.disconnected(port->options.data, call->query_id);
	set_refusal(port, call->message, SOUP_STATUS_REQUEST_TIMEOUT,
		    "the caller left");
	soup_server_message_unpause(call->message);
	return G_SOURCE_REMOVE;
}

static void watch_call(struct open_call *call)
{
	GSocket *socket = soup_server_message_get_socket(call->message);

	if (!socket)
		return;
	call->hangup_source =
		g_unix_fd_add(g_socket_get_fd(socket),
			      (GIOCondition)(POLLRDHUP | G_IO_HUP | G_IO_ERR),
			      note_hangup, call);
}

static void start_call(struct rr_caller_server *port,
		       SoupServerMessage *message,
		       const struct rr_request *request)
{
	struct open_call *call = g_new0(struct open_call, 1);
	uint64_t query_id;

	call->port = port;
	call->message = g_object_ref(message);
	port->n_open++;
	g_signal_connect(message, "finished", G_CALLBACK(finish_call), call);
	soup_server_message_pause(message);
	port->accepting = call;
	query_id = port->options.request(port->options.data, request);
	port->accepting = NULL;
	if (call->answered)
		return;
	call->query_id = query_id;
	g_hash_table_insert(port->calls, &call->query_id, call);
	watch_call(call);
}

void rr_answer_call(struct rr_context *ctx, struct rr_caller_server *port,
		    const struct rr_answer *answer)
{
	struct open_call *call =
		g_hash_table_lookup(port->calls, &answer->query_id);
	GString *text;

	if (!call)
		call = port->accepting;
	if (!call || call->answered)
		return;
	end_call(call);
	text = g_string_sized_new(512);
	rr_format_answer(answer, text);
	if (answer->outcome == RR_NOT_RUN || answer->outcome == RR_UNKNOWN)
		set_retry_after(call->message, answer->retry_after_ms);
	set_reply(port, call->message, rr_answer_http_status(answer), JSON_TYPE,
		  text);
	soup_server_message_unpause(call->message);
}

static void serve_ready(struct rr_caller_server *port,
			SoupServerMessage *message)
{
	GString *text = g_string_new(NULL);
	const char *reason = NULL;
	bool ready = port->options.is_ready(port->options.data, &reason);

	if (ready)
		g_string_append(text, "{\"ready\":true}\n");
	else
		g_string_append_printf(
			text, "{\"ready\":false,\"reason\":\"%s\"}\n", reason);
	set_reply(port, message,
		  ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
		  JSON_TYPE, text);
}

/* Whether the path was one of the adapter's own, now replied to. */
static bool serve_page(struct rr_caller_server *port,
		       SoupServerMessage *message, const char *path)
{
	GString *text;

	if (!strcmp(path, "/metrics")) {
		text = g_string_new(NULL);
		rr_update_process_gauges(port->ctx);
		rr_format_metrics(port->ctx, text);
		set_reply(port, message, SOUP_STATUS_OK, METRICS_TYPE, text);
		return true;
	}
	if (!strcmp(path, "/status")) {
		text = g_string_new(NULL);
		port->options.append_status(port->options.data, text);
		g_string_append_c(text, '\n');
		set_reply(port, message, SOUP_STATUS_OK, JSON_TYPE, text);
		return true;
	}
	return false;
}

/* Pages for the balancer: no token asked. */
static bool serve_probe(struct rr_caller_server *port,
			SoupServerMessage *message, const char *path)
{
	if (!strcmp(path, "/healthz")) {
		set_reply(port, message, SOUP_STATUS_OK, JSON_TYPE,
			  g_string_new("{\"alive\":true}\n"));
		return true;
	}
	if (!strcmp(path, "/readyz")) {
		serve_ready(port, message);
		return true;
	}
	return false;
}

static bool has_token(struct rr_caller_server *port, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);

	return !port->tokens ||
	       rr_check_token(port->tokens, soup_message_headers_get_one(
						    headers, "Authorization"));
}

static void take_request(SoupServer *server, SoupServerMessage *message,
			 const char *path, GHashTable *query, gpointer data)
{
	struct rr_caller_server *port = data;
	struct rr_call_request call;
	uint32_t status = 0;
	GError *error = NULL;

	if (serve_probe(port, message, path))
		return;
	if (serve_page(port, message, path))
		return;
	if (rr_parse_call(port->ctx, message, path, query, &call, &status,
			  &error)) {
		start_call(port, message, &call.request);
	} else {
		set_refusal(port, message, status, error->message);
		g_error_free(error);
	}
	rr_clear_call(&call);
}

static bool within_rate(struct rr_caller_server *port,
			SoupServerMessage *message)
{
	GSocketAddress *address =
		soup_server_message_get_remote_address(message);

	return !port->rate || !G_IS_INET_SOCKET_ADDRESS(address) ||
	       rr_consume_rate_token(port->rate,
				     g_inet_socket_address_get_address(
					     G_INET_SOCKET_ADDRESS(address)),
				     g_get_monotonic_time());
}

static void check_header(const char *name, const char *value, gpointer data)
{
	bool *too_long = data;

	if (strlen(name) + strlen(value) > MAX_HEADER_BYTES)
		*too_long = true;
}

/* Why a call is refused before its body is read: status 0 if it is not. */
static uint32_t refuse_early(struct rr_caller_server *port,
			     SoupServerMessage *message, const char *path,
			     const char **reason)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	bool probe = !strcmp(path, "/healthz") || !strcmp(path, "/readyz");
	bool too_long = strlen(path) > MAX_PATH_BYTES;

	if (!probe && rr_is_over_connection_limit(message)) {
		set_retry_after(message, BOUND_RETRY_MS);
		*reason = "more connections than caller_max_connections";
		return SOUP_STATUS_SERVICE_UNAVAILABLE;
	}
	/* Before the token: guessing at it is bounded too. */
	if (!probe && !within_rate(port, message)) {
		set_retry_after(message, RATE_RETRY_MS);
		*reason = "more requests than caller_rate_per_s allows";
		return STATUS_TOO_MANY_REQUESTS;
	}
	if (!probe && !has_token(port, message)) {
		*reason = "Authorization: a valid bearer token is needed";
		return SOUP_STATUS_UNAUTHORIZED;
	}
	soup_message_headers_foreach(headers, check_header, &too_long);
	if (too_long) {
		*reason = "path or header: 8192 bytes at most are allowed";
		return STATUS_HEADER_TOO_LARGE;
	}
	if (soup_message_headers_get_encoding(headers) ==
	    SOUP_ENCODING_CHUNKED) {
		*reason = "a body needs a Content-Length";
		return SOUP_STATUS_LENGTH_REQUIRED;
	}
	if (soup_message_headers_get_content_length(headers) >
	    (goffset)port->options.max_body_bytes) {
		*reason = "the body is over max_body_bytes";
		return SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
	}
	return 0;
}

/* Runs when the headers are there: what is refused has no body kept. */
static void take_headers(SoupServer *server, SoupServerMessage *message,
			 const char *path, GHashTable *query, gpointer data)
{
	struct rr_caller_server *port = data;
	const char *reason;
	uint32_t status = refuse_early(port, message, path, &reason);
	SoupMessageHeaders *headers;

	if (!status)
		return;
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
	headers = soup_server_message_get_response_headers(message);
	soup_message_headers_replace(headers, "Connection", "close");
	if (status == SOUP_STATUS_UNAUTHORIZED)
		soup_message_headers_replace(headers, "WWW-Authenticate",
					     "Bearer");
	set_refusal(port, message, status, reason);
}

bool rr_reload_caller_server(struct rr_context *ctx,
			     struct rr_caller_server *port, GError **error)
{
	char **tokens = NULL;
	GTlsCertificate *certificate = NULL;

	if (port->token_file) {
		tokens = rr_read_tokens(port->token_file, error);
		if (!tokens)
			return false;
	}
	if (port->certificate_file) {
		certificate = g_tls_certificate_new_from_files(
			port->certificate_file,
			port->key_file ? port->key_file :
					 port->certificate_file,
			error);
		if (!certificate) {
			g_strfreev(tokens);
			return false;
		}
		soup_server_set_tls_certificate(port->server, certificate);
		g_object_unref(certificate);
	}
	g_strfreev(port->tokens);
	port->tokens = tokens;
	return true;
}

static bool listen_at(struct rr_caller_server *port, GError **error)
{
	SoupServerListenOptions tls =
		port->certificate_file ? SOUP_SERVER_LISTEN_HTTPS : 0;
	GSocketAddress *address =
		rr_parse_address(port->options.address, error);
	bool ok;

	if (!address)
		return false;
	ok = soup_server_listen(port->server, address, tls, error);
	g_object_unref(address);
	return ok;
}

struct rr_caller_server *
rr_new_caller_server(struct rr_context *ctx,
		     const struct rr_caller_server_options *options,
		     GError **error)
{
	struct rr_caller_server *port = g_new0(struct rr_caller_server, 1);

	port->ctx = rr_keep_context(ctx);
	port->options = *options;
	port->certificate_file = g_strdup(options->tls_certificate_file);
	port->key_file = g_strdup(options->tls_key_file);
	port->token_file = g_strdup(options->token_file);
	if (options->rate_per_s)
		port->rate = rr_new_caller_rate_limiter(options->rate_per_s);
	port->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	port->server = soup_server_new("server-header", "ragwort", NULL);
	port->connections = rr_new_caller_connections(ctx, port->server,
						      options->io_timeout_ms,
						      options->max_connections);
	soup_server_add_early_handler(port->server, NULL, take_headers, port,
				      NULL);
	soup_server_add_handler(port->server, NULL, take_request, port, NULL);
	if (!rr_reload_caller_server(ctx, port, error) ||
	    !listen_at(port, error)) {
		rr_drop_caller_server(port);
		return NULL;
	}
	port->options.address = NULL;
	return port;
}

void rr_drop_caller_server(struct rr_caller_server *port)
{
	if (!port)
		return;
	rr_drop_caller_connections(port->connections);
	soup_server_disconnect(port->server);
	g_object_unref(port->server);
	g_hash_table_destroy(port->calls);
	g_strfreev(port->tokens);
	rr_drop_caller_rate_limiter(port->rate);
	g_free(port->certificate_file);
	g_free(port->key_file);
	g_free(port->token_file);
	rr_drop_context(port->ctx);
	g_free(port);
}

void rr_drain_caller_server(struct rr_caller_server *port)
{
	port->closing = true;
}

uint32_t rr_count_open_calls(const struct rr_caller_server *port)
{
	return port->n_open;
}

uint16_t rr_caller_server_tcp_port(const struct rr_caller_server *port)
{
	GSList *uris = soup_server_get_uris(port->server);
	int number = uris ? g_uri_get_port(uris->data) : 0;

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return (uint16_t)number;
}
