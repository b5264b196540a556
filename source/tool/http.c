/*
 * http.c - HTTP calls of the tool by libsoup.
 */
#include "tool/http.h"

#include <libsoup/soup.h>

#include "net/address-private.h"
#include "ragwort/error.h"
#include "tool/credentials.h"

struct running_call {
	const struct rr_http_request *call;
	SoupSession *session;
	SoupMessage *message;
	GCancellable *cancel;
	GSource *timer;
	GBytes *body;
	GError *error;
	GSocketClientEvent sending_from;
	bool timed_out;
	bool connected;
	bool done;
};

static void note_event(SoupMessage *message, GSocketClientEvent event,
		       GIOStream *stream, gpointer data)
{
	struct running_call *running = data;

	(void)message;
	(void)stream;
	/* With TLS nothing is sent before the handshake is over. */
	if (event == running->sending_from)
		running->connected = true;
}

static gboolean time_out(gpointer data)
{
	struct running_call *running = data;

	running->timed_out = true;
	g_cancellable_cancel(running->cancel);
	return G_SOURCE_REMOVE;
}

static void take_body(GObject *session, GAsyncResult *result, gpointer data)
{
	struct running_call *running = data;

	running->body = soup_session_send_and_read_finish(
		SOUP_SESSION(session), result, &running->error);
	running->done = true;
}

static SoupMessage *new_message(const struct rr_http_request *call)
{
	const struct rr_credentials *access = call->credentials;
	bool tls = access && access->ca_database;
	char *uri = g_strdup_printf("%s://%s%s", tls ? "https" : "http",
				    call->address, call->path);
	SoupMessage *message = soup_message_new(call->method, uri);
	SoupMessageHeaders *headers;
	GBytes *body;

	g_free(uri);
	soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT |
						SOUP_MESSAGE_NO_REDIRECT);
	headers = soup_message_get_request_headers(message);
	for (size_t i = 0; i < call->n_headers; i++)
		soup_message_headers_append(headers, call->headers[i].name,
					    call->headers[i].value);
	if (access && access->authorization)
		soup_message_headers_append(headers, "Authorization",
					    access->authorization);
	if (call->body) {
		body = g_bytes_new(call->body, call->length);
		soup_message_set_request_body_from_bytes(
			message, "application/json", body);
		g_bytes_unref(body);
	}
	return message;
}

static void start_call(const struct rr_http_request *call,
		       struct running_call *running)
{
	bool tls = call->credentials && call->credentials->ca_database;

	running->call = call;
	/* Addresses are IP numbers of the site's own: never by a proxy. */
	running->session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	if (tls)
		soup_session_set_tls_database(running->session,
					      call->credentials->ca_database);
	running->sending_from = tls ? G_SOCKET_CLIENT_TLS_HANDSHAKED :
				      G_SOCKET_CLIENT_CONNECTED;
	running->cancel = g_cancellable_new();
	running->message = new_message(call);
	g_signal_connect(running->message, "network-event",
			 G_CALLBACK(note_event), running);
	running->timer = g_timeout_source_new(call->timeout_ms);
	g_source_set_callback(running->timer, time_out, running, NULL);
	g_source_attach(running->timer, NULL);
	soup_session_send_and_read_async(running->session, running->message,
					 G_PRIORITY_DEFAULT, running->cancel,
					 take_body, running);
}

static void set_call_error(const struct running_call *running, GError **error)
{
	const struct rr_http_request *call = running->call;
	int code = running->connected ? RR_ERROR_SYSTEM : RR_ERROR_UNAVAILABLE;

	if (running->timed_out)
		g_set_error(error, RR_ERROR, code,
			    "%s did not answer within %u ms", call->address,
			    call->timeout_ms);
	else
		g_set_error(error, RR_ERROR, code, "%s: %s", call->address,
			    running->error->message);
}

static void take_reply(const struct running_call *running,
		       struct rr_http_reply *reply)
{
	const void *bytes = g_bytes_get_data(running->body, &reply->length);

	reply->body = g_strndup(bytes ? bytes : "", reply->length);
	reply->status = soup_message_get_status(running->message);
}

static void end_call(struct running_call *running, struct rr_http_reply *reply,
		     GError **error)
{
	if (running->body)
		take_reply(running, reply);
	else
		set_call_error(running, error);
	g_source_destroy(running->timer);
	g_source_unref(running->timer);
	g_object_unref(running->message);
	g_object_unref(running->cancel);
	g_object_unref(running->session);
	g_clear_error(&running->error);
	if (running->body)
		g_bytes_unref(running->body);
}

void rr_send_http_requests(const struct rr_http_request *calls,
			   struct rr_http_reply *replies, GError **errors,
			   size_t n)
{
	struct running_call *running = g_new0(struct running_call, n);

	for (size_t i = 0; i < n; i++) {
		GSocketAddress *address =
			rr_parse_address(calls[i].address, &errors[i]);

		replies[i] = (struct rr_http_reply){ 0 };
		if (!address)
			continue;
		g_object_unref(address);
		start_call(&calls[i], &running[i]);
	}
	for (size_t i = 0; i < n; i++) {
		while (running[i].call && !running[i].done)
			g_main_context_iteration(NULL, TRUE);
		if (running[i].call)
			end_call(&running[i], &replies[i], &errors[i]);
	}
	g_free(running);
}

bool rr_send_http_request(const struct rr_http_request *call,
			  struct rr_http_reply *reply, GError **error)
{
	GError *problem = NULL;

	rr_send_http_requests(call, reply, &problem, 1);
	if (!problem)
		return true;
	g_propagate_error(error, problem);
	return false;
}

void rr_clear_http_reply(struct rr_http_reply *reply)
{
	g_free(reply->body);
	*reply = (struct rr_http_reply){ 0 };
}
