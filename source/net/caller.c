/*
 * caller.c - HTTP server for callers.
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
/* Statuses that libsoup does not define. */
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_HEADER_TOO_LARGE 431
#define RATE_LIMIT_RETRY_MS 1000
/* Twice the period at which closed connections are removed. */
#define CONNECTION_LIMIT_RETRY_MS 2000
/* Connections that hold memory are closed sooner than that. */
#define MEMORY_RETRY_MS 1000
#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"

struct rr_caller_server {
	struct rr_context *ctx;
	struct rr_caller_server_options options;
	char *certificate_file;
	char *key_file;
	char *token_file;
	char **tokens;
	SoupServer *soup_server;
	struct rr_caller_connections *connections;
	struct rr_caller_rate_limiter *rate; /* NULL: no limit */
	GHashTable *calls; /* uint64_t query id -> struct open_call */
	struct open_call
		*accepting; /* call passed to options.request(), else NULL */
	uint32_t n_open;
	bool draining;
};

/*
 * A call that the core is processing; freed when its reply is written or its
 * connection is closed.
 */
struct open_call {
	uint64_t query_id; /* first, as it is the key of the hash table */
	struct rr_caller_server *server;
	SoupServerMessage *message;
	guint hangup_source;
	bool answered;
};

static void set_reply(struct rr_caller_server *server,
		      SoupServerMessage *message, uint32_t status,
		      const char *type, GString *text)
{
	gsize length = text->len;

	if (server->draining)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Connection", "close");
	rr_mark_reply_ready(message, length);
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE,
					 g_string_free(text, FALSE), length);
}

static void set_rejection(struct rr_caller_server *server,
			  SoupServerMessage *message, uint32_t status,
			  const char *reason)
{
	GString *text = g_string_new(NULL);

	if (status == STATUS_TOO_MANY_REQUESTS)
		rr_count(server->ctx, RR_N_CALLS_OVER_RATE, 1);
	else if (status != SOUP_STATUS_SERVICE_UNAVAILABLE)
		rr_count(server->ctx, RR_N_CALLS_INVALID, 1);
	rr_format_rejection(status == SOUP_STATUS_SERVICE_UNAVAILABLE ?
				    RR_NOT_RUN :
				    RR_INVALID,
			    reason, text);
	set_reply(server, message, status, JSON_TYPE, text);
}

static void set_retry_after(SoupServerMessage *message, uint32_t after_ms)
{
	char seconds[16];

	/* The header is in whole seconds: round up, never 0. */
	g_snprintf(seconds, sizeof(seconds), "%u",
		   MAX(1, after_ms / 1000 + (after_ms % 1000 != 0)));
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Retry-After", seconds);
}

static void stop_hangup_watch(struct open_call *call)
{
	if (call->hangup_source)
		g_source_remove(call->hangup_source);
	call->hangup_source = 0;
}

static void end_call(struct open_call *call)
{
	call->answered = true;
	stop_hangup_watch(call);
	if (call->query_id)
		g_hash_table_remove(call->server->calls, &call->query_id);
}

/* Runs when the reply was written or the connection was closed. */
static void finish_call(SoupServerMessage *message, gpointer data)
{
	struct open_call *call = data;
	struct rr_caller_server *server = call->server;

	if (!call->answered) {
		end_call(call);
		server->options.disconnected(server->options.data,
					     call->query_id);
	}
	server->n_open--;
	g_object_unref(call->message);
	g_free(call);
}

/*
 * libsoup does not poll a paused connection, so it would notice a caller that
 * disconnected only when the answer is written, and upstreams would work on for
 * a caller that is gone. POLLRDHUP reports it at once, even while unread bytes
 * are pending.
 */
static gboolean on_hangup(gint fd, GIOCondition condition, gpointer data)
{
	struct open_call *call = data;
	struct rr_caller_server *server = call->server;

	call->hangup_source = 0;
	end_call(call);
	server->options.disconnected(server->options.data, call->query_id);
	set_rejection(server, call->message, SOUP_STATUS_REQUEST_TIMEOUT,
		      "the caller disconnected");
	soup_server_message_unpause(call->message);
	return G_SOURCE_REMOVE;
}

static void start_hangup_watch(struct open_call *call)
{
	GSocket *socket = soup_server_message_get_socket(call->message);

	if (!socket)
		return;
	call->hangup_source =
		g_unix_fd_add(g_socket_get_fd(socket),
			      (GIOCondition)(POLLRDHUP | G_IO_HUP | G_IO_ERR),
			      on_hangup, call);
}

static void start_call(struct rr_caller_server *server,
		       SoupServerMessage *message,
		       const struct rr_request *request)
{
	struct open_call *call = g_new0(struct open_call, 1);
	uint64_t query_id;

	call->server = server;
	call->message = g_object_ref(message);
	server->n_open++;
	g_signal_connect(message, "finished", G_CALLBACK(finish_call), call);
	soup_server_message_pause(message);
	server->accepting = call;
	query_id = server->options.request(server->options.data, request);
	server->accepting = NULL;
	if (call->answered)
		return;
	call->query_id = query_id;
	g_hash_table_insert(server->calls, &call->query_id, call);
	start_hangup_watch(call);
}

void rr_answer_call(struct rr_context *ctx, struct rr_caller_server *server,
		    const struct rr_answer *answer)
{
	struct open_call *call =
		g_hash_table_lookup(server->calls, &answer->query_id);
	GString *text;

	if (!call)
		call = server->accepting;
	if (!call || call->answered)
		return;
	end_call(call);
	text = g_string_sized_new(512);
	rr_format_answer(answer, text);
	if (answer->outcome == RR_NOT_RUN || answer->outcome == RR_UNKNOWN)
		set_retry_after(call->message, answer->retry_after_ms);
	set_reply(server, call->message, rr_answer_http_status(answer),
		  JSON_TYPE, text);
	soup_server_message_unpause(call->message);
}

static void serve_ready(struct rr_caller_server *server,
			SoupServerMessage *message)
{
	GString *text = g_string_new(NULL);
	const char *reason = NULL;
	bool ready = server->options.is_ready(server->options.data, &reason);

	if (ready)
		g_string_append(text, "{\"ready\":true}\n");
	else
		g_string_append_printf(
			text, "{\"ready\":false,\"reason\":\"%s\"}\n", reason);
	set_reply(server, message,
		  ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
		  JSON_TYPE, text);
}

/* Serves /metrics and /status; returns false for other paths. */
static bool serve_page(struct rr_caller_server *server,
		       SoupServerMessage *message, const char *path)
{
	GString *text;

	if (!strcmp(path, "/metrics")) {
		text = g_string_new(NULL);
		rr_update_process_gauges(server->ctx);
		rr_format_metrics(server->ctx, text);
		set_reply(server, message, SOUP_STATUS_OK, METRICS_TYPE, text);
		return true;
	}
	if (!strcmp(path, "/status")) {
		text = g_string_new(NULL);
		server->options.append_status(server->options.data, text);
		g_string_append_c(text, '\n');
		set_reply(server, message, SOUP_STATUS_OK, JSON_TYPE, text);
		return true;
	}
	return false;
}

/* Serves the pages for the load balancer, which need no token. */
static bool serve_probe(struct rr_caller_server *server,
			SoupServerMessage *message, const char *path)
{
	if (!strcmp(path, "/healthz")) {
		set_reply(server, message, SOUP_STATUS_OK, JSON_TYPE,
			  g_string_new("{\"alive\":true}\n"));
		return true;
	}
	if (!strcmp(path, "/readyz")) {
		serve_ready(server, message);
		return true;
	}
	return false;
}

static bool has_token(struct rr_caller_server *server,
		      SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);

	return !server->tokens ||
	       rr_check_token(
		       server->tokens,
		       soup_message_headers_get_one(headers, "Authorization"));
}

static void handle_request(SoupServer *soup_server, SoupServerMessage *message,
			   const char *path, GHashTable *query, gpointer data)
{
	struct rr_caller_server *server = data;
	struct rr_call_request call;
	uint32_t status = 0;
	GError *error = NULL;

	if (serve_probe(server, message, path))
		return;
	if (serve_page(server, message, path))
		return;
	if (rr_parse_call(server->ctx, message, path, query, &call, &status,
			  &error)) {
		start_call(server, message, &call.request);
	} else {
		set_rejection(server, message, status, error->message);
		g_error_free(error);
	}
	rr_clear_call(&call);
}

static bool is_within_rate(struct rr_caller_server *server,
			   SoupServerMessage *message)
{
	GSocketAddress *address =
		soup_server_message_get_remote_address(message);

	return !server->rate || !G_IS_INET_SOCKET_ADDRESS(address) ||
	       rr_consume_rate_token(server->rate,
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

/*
 * Returns the status that rejects a call before its body is read, and sets
 * *reason; 0 if the call is accepted.
 */
static uint32_t check_headers(struct rr_caller_server *server,
			      SoupServerMessage *message, const char *path,
			      const char **reason)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	bool probe = !strcmp(path, "/healthz") || !strcmp(path, "/readyz");
	bool too_long = strlen(path) > MAX_PATH_BYTES;

	if (!probe && rr_is_over_connection_limit(message)) {
		set_retry_after(message, CONNECTION_LIMIT_RETRY_MS);
		*reason = "more connections than caller_max_connections";
		return SOUP_STATUS_SERVICE_UNAVAILABLE;
	}
	/*
	 * Before the token check, so that guessing tokens is rate-limited too.
	 */
	if (!probe && !is_within_rate(server, message)) {
		set_retry_after(message, RATE_LIMIT_RETRY_MS);
		*reason = "more requests than caller_rate_per_s allows";
		return STATUS_TOO_MANY_REQUESTS;
	}
	if (!probe && !has_token(server, message)) {
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
	    (goffset)server->options.max_body_bytes) {
		*reason = "the body is over max_body_bytes";
		return SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
	}
	if (!rr_reserve_body_memory(
		    message,
		    (size_t)soup_message_headers_get_content_length(headers))) {
		set_retry_after(message, MEMORY_RETRY_MS);
		*reason = "the memory for requests and answers is used up";
		return SOUP_STATUS_SERVICE_UNAVAILABLE;
	}
	return 0;
}

/*
 * Runs as soon as the headers have been read, so that the body of a rejected
 * call is not stored.
 */
static void handle_headers(SoupServer *soup_server, SoupServerMessage *message,
			   const char *path, GHashTable *query, gpointer data)
{
	struct rr_caller_server *server = data;
	const char *reason;
	uint32_t status = check_headers(server, message, path, &reason);
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
	set_rejection(server, message, status, reason);
}

bool rr_reload_caller_server(struct rr_context *ctx,
			     struct rr_caller_server *server, GError **error)
{
	char **tokens = NULL;
	GTlsCertificate *certificate = NULL;

	if (server->token_file) {
		tokens = rr_read_tokens(server->token_file, error);
		if (!tokens)
			return false;
	}
	if (server->certificate_file) {
		certificate = g_tls_certificate_new_from_files(
			server->certificate_file,
			server->key_file ? server->key_file :
					   server->certificate_file,
			error);
		if (!certificate) {
			g_strfreev(tokens);
			return false;
		}
		soup_server_set_tls_certificate(server->soup_server,
						certificate);
		g_object_unref(certificate);
	}
	g_strfreev(server->tokens);
	server->tokens = tokens;
	return true;
}

static bool start_listening(struct rr_caller_server *server, GError **error)
{
	SoupServerListenOptions tls =
		server->certificate_file ? SOUP_SERVER_LISTEN_HTTPS : 0;
	GSocketAddress *address =
		rr_parse_address(server->options.address, error);
	bool ok;

	if (!address)
		return false;
	ok = soup_server_listen(server->soup_server, address, tls, error);
	g_object_unref(address);
	return ok;
}

struct rr_caller_server *
rr_new_caller_server(struct rr_context *ctx,
		     const struct rr_caller_server_options *options,
		     GError **error)
{
	struct rr_caller_server *server = g_new0(struct rr_caller_server, 1);

	server->ctx = rr_keep_context(ctx);
	server->options = *options;
	server->certificate_file = g_strdup(options->tls_certificate_file);
	server->key_file = g_strdup(options->tls_key_file);
	server->token_file = g_strdup(options->token_file);
	if (options->rate_per_s)
		server->rate = rr_new_caller_rate_limiter(options->rate_per_s);
	server->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	server->soup_server = soup_server_new("server-header", "ragwort", NULL);
	server->connections =
		rr_new_caller_connections(ctx, server->soup_server, options);
	soup_server_add_early_handler(server->soup_server, NULL, handle_headers,
				      server, NULL);
	soup_server_add_handler(server->soup_server, NULL, handle_request,
				server, NULL);
	if (!rr_reload_caller_server(ctx, server, error) ||
	    !start_listening(server, error)) {
		rr_drop_caller_server(server);
		return NULL;
	}
	server->options.address = NULL;
	return server;
}

void rr_drop_caller_server(struct rr_caller_server *server)
{
	if (!server)
		return;
	rr_drop_caller_connections(server->connections);
	soup_server_disconnect(server->soup_server);
	g_object_unref(server->soup_server);
	g_hash_table_destroy(server->calls);
	g_strfreev(server->tokens);
	rr_drop_caller_rate_limiter(server->rate);
	g_free(server->certificate_file);
	g_free(server->key_file);
	g_free(server->token_file);
	rr_drop_context(server->ctx);
	g_free(server);
}

void rr_drain_caller_server(struct rr_caller_server *server)
{
	server->draining = true;
}

uint32_t rr_count_open_calls(const struct rr_caller_server *server)
{
	return server->n_open;
}

uint16_t rr_caller_server_tcp_port(const struct rr_caller_server *server)
{
	GSList *uris = soup_server_get_uris(server->soup_server);
	int number = uris ? g_uri_get_port(uris->data) : 0;

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return (uint16_t)number;
}
