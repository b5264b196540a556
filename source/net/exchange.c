/*
 * exchange.c - HTTP exchanges over persistent connections, each request sent
 * only once.
 */
#include "net/exchange-private.h"

/*
 * The core limits the number of open attempts; the limits of libsoup (2 per
 * host, 10 in total) would queue attempts where they cannot be cancelled.
 */
#define MAX_CONNECTIONS 65535
#define READ_BYTES 16384u

struct rr_http_session {
	SoupSession *session;
	GHashTable *open; /* set of struct rr_exchange */
};

struct rr_exchange {
	struct rr_http_session *session;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream;
	GByteArray *body;
	guint timer;
	bool started; /* a connection exists, so bytes may have been sent */
	uint32_t max_reply_bytes;
	void (*done)(void *data, const struct rr_exchange_result *result);
	void *data;
};

struct rr_http_session *rr_new_http_session(uint32_t idle_s)
{
	struct rr_http_session *session = g_new0(struct rr_http_session, 1);

	session->session = g_object_new(
		SOUP_TYPE_SESSION, "max-conns", MAX_CONNECTIONS,
		"max-conns-per-host", MAX_CONNECTIONS, "timeout", 0u,
		"idle-timeout", idle_s, "proxy-resolver", NULL, NULL);
	/*
	 * The authentication manager resends a request after a 401, so a
	 * reservation would run twice. Without it a 401 is an ordinary reply.
	 */
	soup_session_remove_feature_by_type(session->session,
					    SOUP_TYPE_AUTH_MANAGER);
	soup_session_remove_feature_by_type(session->session,
					    SOUP_TYPE_CONTENT_DECODER);
	session->open = g_hash_table_new(NULL, NULL);
	return session;
}

void rr_drop_http_session(struct rr_http_session *session)
{
	GHashTableIter iter;
	gpointer key;

	if (!session)
		return;
	g_hash_table_iter_init(&iter, session->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct rr_exchange *exchange = key;

		/* Freed by its own completion callback in the main loop. */
		exchange->done = NULL;
		exchange->session = NULL;
		g_cancellable_cancel(exchange->cancellable);
	}
	g_hash_table_destroy(session->open);
	g_object_unref(session->session);
	g_free(session);
}

uint32_t rr_count_exchanges(const struct rr_http_session *session)
{
	return g_hash_table_size(session->open);
}

static void free_exchange(struct rr_exchange *exchange)
{
	if (exchange->timer)
		g_source_remove(exchange->timer);
	g_clear_object(&exchange->stream);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_byte_array_unref(exchange->body);
	g_free(exchange);
}

static void finish_exchange(struct rr_exchange *exchange, const char *error)
{
	struct rr_exchange_result result = {
		.never_sent = error && !exchange->started,
		.complete = !error,
		.status = soup_message_get_status(exchange->message),
		.headers = soup_message_get_response_headers(exchange->message),
		.length = exchange->body->len,
		.error = error,
	};

	g_byte_array_append(exchange->body, (const guint8 *)"", 1);
	result.body = (const char *)exchange->body->data;
	if (exchange->session)
		g_hash_table_remove(exchange->session->open, exchange);
	if (exchange->done)
		exchange->done(exchange->data, &result);
	free_exchange(exchange);
}

static void read_more(struct rr_exchange *exchange);

/*
 * Processes the result of a read into the last READ_BYTES of the body buffer:
 * `length` bytes were read, 0 at the end of the reply, -1 on an error. Returns
 * whether to read on.
 */
static bool process_read(struct rr_exchange *exchange, gssize length,
			 const GError *error)
{
	guint received = exchange->body->len - READ_BYTES;

	g_byte_array_set_size(exchange->body,
			      received + (length > 0 ? (guint)length : 0));
	if (length < 0)
		finish_exchange(exchange, error->message);
	else if (length == 0)
		finish_exchange(exchange, NULL);
	else if (exchange->body->len > exchange->max_reply_bytes)
		finish_exchange(exchange, "reply too large");
	else
		return true;
	return false;
}

static void on_read_finished(GObject *source, GAsyncResult *async,
			     gpointer data)
{
	struct rr_exchange *exchange = data;
	GError *error = NULL;
	gssize length;

	length = g_input_stream_read_finish(G_INPUT_STREAM(source), async,
					    &error);
	if (process_read(exchange, length, error))
		read_more(exchange);
	g_clear_error(&error);
}

/*
 * Reads to the end of the body even when its length is known, because libsoup
 * keeps the connection for reuse only then. What has arrived, usually the
 * complete reply, is read without blocking: one more pass through the main loop
 * would cost as much as the rest of the reading.
 */
static void read_more(struct rr_exchange *exchange)
{
	GError *error = NULL;
	guint length;
	gssize n_read;

	do {
		length = exchange->body->len;
		g_byte_array_set_size(exchange->body, length + READ_BYTES);
		n_read = g_pollable_input_stream_read_nonblocking(
			G_POLLABLE_INPUT_STREAM(exchange->stream),
			exchange->body->data + length, READ_BYTES,
			exchange->cancellable, &error);
		if (g_error_matches(error, G_IO_ERROR,
				    G_IO_ERROR_WOULD_BLOCK)) {
			g_error_free(error);
			g_input_stream_read_async(
				exchange->stream, exchange->body->data + length,
				READ_BYTES, G_PRIORITY_DEFAULT,
				exchange->cancellable, on_read_finished,
				exchange);
			return;
		}
	} while (process_read(exchange, n_read, error));
	g_clear_error(&error);
}

static void on_headers(GObject *source, GAsyncResult *async, gpointer data)
{
	struct rr_exchange *exchange = data;
	GError *error = NULL;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(source), async, &error);
	if (!exchange->stream) {
		finish_exchange(exchange, error->message);
		g_error_free(error);
		return;
	}
	read_more(exchange);
}

static void on_starting(SoupMessage *message, gpointer data)
{
	struct rr_exchange *exchange = data;

	exchange->started = true;
}

static gboolean on_timeout(gpointer data)
{
	struct rr_exchange *exchange = data;

	exchange->timer = 0;
	g_cancellable_cancel(exchange->cancellable);
	return G_SOURCE_REMOVE;
}

void rr_set_exchange_timeout(struct rr_exchange *exchange, uint32_t timeout_ms)
{
	if (exchange->timer)
		g_source_remove(exchange->timer);
	exchange->timer = g_timeout_add(timeout_ms, on_timeout, exchange);
}

void rr_abort_exchange(struct rr_exchange *exchange)
{
	g_cancellable_cancel(exchange->cancellable);
}

static SoupMessage *make_message(const struct rr_exchange_options *options)
{
	char *url =
		g_strconcat("http://", options->address, options->path, NULL);
	SoupMessage *message = soup_message_new(options->method, url);
	SoupMessageHeaders *headers;

	g_free(url);
	if (!message)
		return NULL;
	/*
	 * IDEMPOTENT allows a POST on a reused connection (a new one costs 6 ms
	 * according to the requirements); unlike GET and PUT, a POST is not
	 * resent when that connection closes. tests/test-upstream.c counts the
	 * requests sent.
	 */
	soup_message_set_flags(message, SOUP_MESSAGE_IDEMPOTENT |
						SOUP_MESSAGE_NO_REDIRECT);
	headers = soup_message_get_request_headers(message);
	for (const char *const *pair = options->headers; pair && *pair;
	     pair += 2)
		soup_message_headers_append(headers, pair[0], pair[1]);
	return message;
}

struct rr_exchange *rr_start_exchange(struct rr_http_session *session,
				      const struct rr_exchange_options *options)
{
	struct rr_exchange *exchange = g_new0(struct rr_exchange, 1);
	GBytes *body = NULL;

	exchange->session = session;
	exchange->cancellable = g_cancellable_new();
	exchange->body = g_byte_array_new();
	exchange->max_reply_bytes = options->max_reply_bytes;
	exchange->done = options->done;
	exchange->data = options->data;
	exchange->message = make_message(options);
	if (options->body)
		body = g_bytes_new_take(options->body, options->body_length);
	if (!exchange->message) {
		/* An invalid address ends like a refused connection. */
		exchange->message = soup_message_new("GET", "http://0.0.0.0/");
		g_cancellable_cancel(exchange->cancellable);
	}
	if (body) {
		soup_message_set_request_body_from_bytes(
			exchange->message, "application/json", body);
		g_bytes_unref(body);
	}
	g_signal_connect(exchange->message, "starting", G_CALLBACK(on_starting),
			 exchange);
	g_hash_table_add(session->open, exchange);
	if (options->timeout_ms)
		rr_set_exchange_timeout(exchange, options->timeout_ms);
	soup_session_send_async(session->session, exchange->message,
				G_PRIORITY_DEFAULT, exchange->cancellable,
				on_headers, exchange);
	return exchange;
}
