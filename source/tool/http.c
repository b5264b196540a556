/*
 * http.c - HTTP client of the tool, on libsoup.
 */
#include "tool/http.h"

#include <libsoup/soup.h>

#include "net/address-private.h"
#include "ragwort/error.h"
#include "tool/credentials.h"

struct pending_request {
	const struct rr_http_request *request;
	SoupSession *session;
	SoupMessage *message;
	GCancellable *cancellable;
	GSource *timer;
	GBytes *body;
	GError *error;
	GSocketClientEvent connected_event; /* nothing is sent before it */
	bool timed_out;
	bool connected;
	bool done;
};

static void on_network_event(SoupMessage *message, GSocketClientEvent event,
			     GIOStream *stream, gpointer data)
{
	struct pending_request *pending = data;

	(void)message;
	(void)stream;
	/*
	 * Before this event, which with TLS is the end of the handshake, the
	 * server cannot have received the request.
	 */
	if (event == pending->connected_event)
		pending->connected = true;
}

static gboolean on_timeout(gpointer data)
{
	struct pending_request *pending = data;

	pending->timed_out = true;
	g_cancellable_cancel(pending->cancellable);
	return G_SOURCE_REMOVE;
}

static void on_reply(GObject *session, GAsyncResult *result, gpointer data)
{
	struct pending_request *pending = data;

	pending->body = soup_session_send_and_read_finish(
		SOUP_SESSION(session), result, &pending->error);
	pending->done = true;
}

static SoupMessage *make_message(const struct rr_http_request *request)
{
	const struct rr_credentials *credentials = request->credentials;
	bool tls = credentials && credentials->ca_database;
	char *uri = g_strdup_printf("%s://%s%s", tls ? "https" : "http",
				    request->address, request->path);
	SoupMessage *message = soup_message_new(request->method, uri);
	SoupMessageHeaders *headers;
	GBytes *body;

	g_free(uri);
	soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT |
						SOUP_MESSAGE_NO_REDIRECT);
	headers = soup_message_get_request_headers(message);
	for (size_t i = 0; i < request->n_headers; i++)
		soup_message_headers_append(headers, request->headers[i].name,
					    request->headers[i].value);
	if (credentials && credentials->authorization)
		soup_message_headers_append(headers, "Authorization",
					    credentials->authorization);
	if (request->body) {
		body = g_bytes_new(request->body, request->length);
		soup_message_set_request_body_from_bytes(
			message, "application/json", body);
		g_bytes_unref(body);
	}
	return message;
}

static void start_request(const struct rr_http_request *request,
			  struct pending_request *pending)
{
	bool tls = request->credentials && request->credentials->ca_database;

	pending->request = request;
	/* Addresses are IP addresses within the site: never use a proxy. */
	pending->session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	if (tls)
		soup_session_set_tls_database(
			pending->session, request->credentials->ca_database);
	pending->connected_event = tls ? G_SOCKET_CLIENT_TLS_HANDSHAKED :
					 G_SOCKET_CLIENT_CONNECTED;
	pending->cancellable = g_cancellable_new();
	pending->message = make_message(request);
	g_signal_connect(pending->message, "network-event",
			 G_CALLBACK(on_network_event), pending);
	pending->timer = g_timeout_source_new(request->timeout_ms);
	g_source_set_callback(pending->timer, on_timeout, pending, NULL);
	g_source_attach(pending->timer, NULL);
	soup_session_send_and_read_async(
		pending->session, pending->message, G_PRIORITY_DEFAULT,
		pending->cancellable, on_reply, pending);
}

static void set_request_error(const struct pending_request *pending,
			      GError **error)
{
	const struct rr_http_request *request = pending->request;
	int code = pending->connected ? RR_ERROR_SYSTEM : RR_ERROR_UNAVAILABLE;

	if (pending->timed_out)
		g_set_error(error, RR_ERROR, code,
			    "%s did not reply within %u ms", request->address,
			    request->timeout_ms);
	else
		g_set_error(error, RR_ERROR, code, "%s: %s", request->address,
			    pending->error->message);
}

static void copy_reply(const struct pending_request *pending,
		       struct rr_http_reply *reply)
{
	const void *bytes = g_bytes_get_data(pending->body, &reply->length);

	reply->body = g_strndup(bytes ? bytes : "", reply->length);
	reply->status = soup_message_get_status(pending->message);
}

static void finish_request(struct pending_request *pending,
			   struct rr_http_reply *reply, GError **error)
{
	if (pending->body)
		copy_reply(pending, reply);
	else
		set_request_error(pending, error);
	g_source_destroy(pending->timer);
	g_source_unref(pending->timer);
	g_object_unref(pending->message);
	g_object_unref(pending->cancellable);
	g_object_unref(pending->session);
	g_clear_error(&pending->error);
	if (pending->body)
		g_bytes_unref(pending->body);
}

void rr_send_http_requests(const struct rr_http_request *requests,
			   struct rr_http_reply *replies, GError **errors,
			   size_t n)
{
	struct pending_request *pending = g_new0(struct pending_request, n);

	for (size_t i = 0; i < n; i++) {
		GSocketAddress *address =
			rr_parse_address(requests[i].address, &errors[i]);

		replies[i] = (struct rr_http_reply){ 0 };
		if (!address)
			continue;
		g_object_unref(address);
		start_request(&requests[i], &pending[i]);
	}
	for (size_t i = 0; i < n; i++) {
		while (pending[i].request && !pending[i].done)
			g_main_context_iteration(NULL, TRUE);
		if (pending[i].request)
			finish_request(&pending[i], &replies[i], &errors[i]);
	}
	g_free(pending);
}

bool rr_send_http_request(const struct rr_http_request *request,
			  struct rr_http_reply *reply, GError **error)
{
	GError *request_error = NULL;

	rr_send_http_requests(request, reply, &request_error, 1);
	if (!request_error)
		return true;
	g_propagate_error(error, request_error);
	return false;
}

void rr_clear_http_reply(struct rr_http_reply *reply)
{
	g_free(reply->body);
	*reply = (struct rr_http_reply){ 0 };
}
