/*
 * http-listener.c - HTTP server connections of the gateway: reads requests,
 * passes them to the owner of the listener and sends the responses.
 */
#define _GNU_SOURCE /* accept4() */
#include "net/http-listener-private.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/native-address-private.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"

#define BACKLOG 512
/* Limits used until the configuration of the operators has been read. */
#define INITIAL_HEADER_BYTES 16384
#define INITIAL_BODY_BYTES 262144
#define INITIAL_HEADER_TIMEOUT_MS 3000
#define INITIAL_IDLE_TIMEOUT_MS 15000
/* Longer bodies are written separately from their headers. */
#define MAX_JOINED_BODY_BYTES 65536

static int64_t monotonic_now_us(void)
{
	return g_get_monotonic_time();
}

/* Closes and frees a connection that is not in the listener's list. */
static void destroy_caller(struct rr_caller_conn *caller)
{
	rr_clear_memory_user(&caller->memory);
	rr_drop_stream(caller->stream);
	rr_drop_http_reader(caller->reader);
	g_byte_array_unref(caller->pending);
	g_free(caller);
}

void rr_free_caller_conn(struct rr_caller_conn *caller)
{
	g_queue_unlink(&caller->listener->callers, &caller->link);
	destroy_caller(caller);
}

/* Handles a closed connection; the owner drops its request. */
static void handle_disconnect(struct rr_caller_conn *caller)
{
	struct rr_http_listener *listener = caller->listener;

	if (caller->state == CALLER_OPEN && listener->options.disconnected)
		listener->options.disconnected(listener->options.data, caller);
	rr_free_caller_conn(caller);
}

void rr_update_caller_memory(struct rr_caller_conn *caller)
{
	rr_hold_memory(&caller->memory,
		       rr_http_reader_bytes(caller->reader) +
			       caller->pending->len +
			       rr_unsent_bytes(caller->stream));
}

/* Stops reading a request until memory is available for the rest of it. */
static void throttle_request(struct rr_caller_conn *caller)
{
	rr_update_caller_memory(caller);
	if (rr_wait_for_memory(&caller->memory))
		rr_set_stream_throttled(caller->stream, true);
}

static void resume_request(void *data)
{
	struct rr_caller_conn *caller = data;

	rr_set_stream_throttled(caller->stream, false);
}

static void set_state(struct rr_caller_conn *caller, enum caller_state state)
{
	caller->state = state;
	caller->since_us = monotonic_now_us();
}

static void append_headers(GString *out, const struct rr_caller_conn *caller,
			   const struct rr_http_response *response,
			   bool has_length)
{
	const char *reason = response->reason;

	if (!reason)
		reason = http_status_str((enum http_status)response->status);
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", response->status,
			       reason);
	for (size_t i = 0; i < response->n_headers; i++) {
		g_string_append(out, response->headers[i].name);
		g_string_append(out, ": ");
		g_string_append(out, response->headers[i].value);
		g_string_append(out, "\r\n");
	}
	if (has_length)
		g_string_append_printf(
			out, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
			response->length);
	if (caller->close)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

static void read_next_request(struct rr_caller_conn *caller);

/* The kernel has the complete response: read the next request, or close. */
static void finish_response(struct rr_caller_conn *caller)
{
	if (!caller->close) {
		set_state(caller, CALLER_READING);
		read_next_request(caller);
		return;
	}
	if (caller->half_closed) {
		rr_free_caller_conn(caller);
		return;
	}
	/*
	 * Let the peer close first: closing while bytes of the peer are unread
	 * would send a reset that can overtake the response.
	 */
	set_state(caller, CALLER_CLOSING);
	rr_shutdown_stream_write(caller->stream);
	rr_set_stream_paused(caller->stream, false);
}

static void on_flushed(void *data)
{
	struct rr_caller_conn *caller = data;

	if (caller->state == CALLER_WRITING)
		finish_response(caller);
}

static bool write_bytes(struct rr_caller_conn *caller, const void *bytes,
			size_t length)
{
	bool taken;

	return rr_write_stream(caller->stream, bytes, length, &taken);
}

/* Sends a response; the connection may be freed afterwards. */
static void send_response(struct rr_caller_conn *caller,
			  const struct rr_http_response *response)
{
	bool bodiless = caller->is_head_request || response->status == 204 ||
			response->status == 304;
	/* A long body is not copied to save a write. */
	bool is_joined = response->length <= MAX_JOINED_BODY_BYTES;
	GString *out =
		g_string_sized_new(512 + (is_joined ? response->length : 0));
	bool sent;

	append_headers(out, caller, response, !bodiless);
	if (!bodiless && is_joined && response->length)
		g_string_append_len(out, (const char *)response->body,
				    (gssize)response->length);
	set_state(caller, CALLER_WRITING);
	rr_end_memory_wait(&caller->memory);
	rr_set_stream_throttled(caller->stream, false);
	/* Frees the request, as the caller may take long to read. */
	rr_reset_http_reader(caller->reader, false);
	sent = write_bytes(caller, out->str, out->len);
	if (sent && !bodiless && !is_joined)
		sent = write_bytes(caller, response->body, response->length);
	g_string_free(out, TRUE);
	if (!sent) {
		rr_free_caller_conn(caller);
		return;
	}
	rr_update_caller_memory(caller);
	if (!rr_unsent_bytes(caller->stream))
		finish_response(caller);
}

void rr_send_http_response(struct rr_caller_conn *caller,
			   const struct rr_http_response *response)
{
	const struct rr_http_message *message = rr_http_message(caller->reader);

	caller->close = response->close || !message->keep_alive ||
			caller->half_closed || caller->listener->draining;
	send_response(caller, response);
}

/* Rejects an unparsable or too large request and closes the connection. */
static void reject_request(struct rr_caller_conn *caller,
			   enum rr_http_result result)
{
	struct rr_http_response response = { .status = 400, .close = true };

	if (result == RR_HTTP_HEADERS_TOO_LARGE)
		response.status = 431;
	else if (result == RR_HTTP_BODY_TOO_LARGE)
		response.status = 413;
	rr_count(caller->listener->ctx, RR_N_CALLS_INVALID, 1);
	rr_log(caller->listener->ctx, RR_LOG_DECISION, "call-refused",
	       RR_FIELD_U64("status", response.status));
	caller->close = true;
	rr_set_stream_paused(caller->stream, true);
	send_response(caller, &response);
}

/* Rejects an incomplete request, which has not been passed on. */
void rr_reject_incomplete_request(struct rr_caller_conn *caller,
				  uint16_t status)
{
	static const struct rr_http_header retry_after = { "Retry-After", "1" };
	struct rr_http_response response = {
		.status = status,
		.headers = &retry_after,
		.n_headers = status == 503,
	};

	caller->close = true;
	rr_set_stream_paused(caller->stream, true);
	send_response(caller, &response);
}

static void pass_request(struct rr_caller_conn *caller)
{
	struct rr_http_listener *listener = caller->listener;
	const struct rr_http_message *message = rr_http_message(caller->reader);

	caller->is_head_request = !strcmp(message->method, "HEAD");
	caller->user_data = 0;
	caller->n_requests++;
	set_state(caller, CALLER_OPEN);
	rr_set_stream_paused(caller->stream, true);
	rr_end_memory_wait(&caller->memory);
	rr_update_caller_memory(caller);
	listener->options.request(listener->options.data, caller, message);
}

/* Answers an Expect: 100-continue header, so that the caller sends its body. */
static void send_continue(struct rr_caller_conn *caller)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	bool taken;

	rr_write_stream(caller->stream, (const uint8_t *)text, sizeof(text) - 1,
			&taken);
}

/*
 * Parses bytes of the next request; bytes after it are kept in `pending`.
 * Returns whether more bytes are needed; otherwise the connection may be freed.
 */
static bool parse_bytes(struct rr_caller_conn *caller, const uint8_t *bytes,
			size_t length)
{
	bool had_headers = rr_http_has_headers(caller->reader);
	enum rr_http_result result;
	size_t used;

	if (!rr_http_is_started(caller->reader))
		caller->since_us = monotonic_now_us();
	result = rr_parse_http(caller->reader, bytes, length, &used);
	if (result == RR_HTTP_INCOMPLETE) {
		if (!had_headers && rr_http_has_headers(caller->reader) &&
		    rr_http_message(caller->reader)->expects_continue)
			send_continue(caller);
		throttle_request(caller);
		return true;
	}
	if (result != RR_HTTP_COMPLETE) {
		reject_request(caller, result);
		return false;
	}
	if (used < length)
		g_byte_array_append(caller->pending, bytes + used,
				    (guint)(length - used));
	pass_request(caller);
	return false;
}

/* Starts on the next request, with the bytes already received. */
static void read_next_request(struct rr_caller_conn *caller)
{
	GByteArray *pending = caller->pending;
	bool incomplete = true;

	if (pending->len) {
		caller->pending = g_byte_array_new();
		incomplete = parse_bytes(caller, pending->data, pending->len);
		g_byte_array_unref(pending);
	}
	if (!incomplete)
		return;
	rr_set_stream_paused(caller->stream, false);
}

static void on_received(void *data, const uint8_t *bytes, size_t length)
{
	struct rr_caller_conn *caller = data;

	switch (caller->state) {
	case CALLER_READING:
		parse_bytes(caller, bytes, length);
		return;
	case CALLER_OPEN:
	case CALLER_WRITING:
		g_byte_array_append(caller->pending, bytes, (guint)length);
		return;
	case CALLER_CLOSING:
		return;
	}
}

static void on_ended(void *data, enum rr_stream_end end)
{
	struct rr_caller_conn *caller = data;
	struct rr_http_listener *listener = caller->listener;

	if (end == RR_STREAM_ERROR || caller->state == CALLER_READING ||
	    caller->state == CALLER_CLOSING) {
		handle_disconnect(caller);
		return;
	}
	caller->half_closed = true;
	caller->close = true;
	if (caller->state == CALLER_OPEN && listener->options.half_closed)
		listener->options.half_closed(listener->options.data, caller);
}

static bool add_caller(struct rr_http_listener *listener, int fd)
{
	struct rr_caller_conn *caller = g_new0(struct rr_caller_conn, 1);
	struct rr_stream_callbacks callbacks = {
		.received = on_received,
		.ended = on_ended,
		.flushed = on_flushed,
		.data = caller,
	};
	struct rr_http_reader_options reader_options = {
		.max_header_bytes = listener->limits.max_header_bytes,
		.max_body_bytes = listener->limits.max_body_bytes,
	};

	caller->stream =
		rr_new_accepted_stream(listener->poller, fd, &callbacks);
	if (!caller->stream) {
		g_free(caller);
		return false;
	}
	caller->listener = listener;
	caller->reader = rr_new_http_reader(&reader_options);
	caller->pending = g_byte_array_new();
	caller->link.data = caller;
	rr_init_memory_user(&caller->memory, listener->options.memory,
			    resume_request, caller);
	set_state(caller, CALLER_READING);
	g_queue_push_tail_link(&listener->callers, &caller->link);
	return true;
}

static bool is_at_connection_limit(const struct rr_http_listener *listener)
{
	return listener->options.max_connections &&
	       listener->callers.length >= listener->options.max_connections;
}

static bool has_waiting_connection(const struct rr_http_listener *listener)
{
	struct pollfd listening = {
		.fd = listener->watcher.fd,
		.events = POLLIN,
	};

	return poll(&listening, 1, 0) > 0;
}

void rr_accept_callers(struct rr_http_listener *listener)
{
	for (;;) {
		int fd;

		listener->must_retry_accept =
			is_at_connection_limit(listener) &&
			(!has_waiting_connection(listener) ||
			 !rr_make_room_for_caller(listener));
		if (listener->must_retry_accept)
			return;
		fd = accept4(listener->watcher.fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			if (errno == EINTR || errno == ECONNABORTED)
				continue;
			if (errno == EAGAIN || errno == EWOULDBLOCK)
				return;
			rr_log(listener->ctx, RR_LOG_WARNING, "accept-failed",
			       RR_FIELD_STRING("reason", g_strerror(errno)));
			/* There is no event for connections that wait. */
			listener->must_retry_accept = true;
			rr_make_room_for_caller(listener);
			return;
		}
		if (!add_caller(listener, fd))
			close(fd);
	}
}

static void on_connection(void *data, uint32_t events)
{
	rr_accept_callers(data);
}

static bool start_listening(struct rr_http_listener *listener, GError **error)
{
	struct rr_native_address address;
	int on = 1;
	int fd;

	if (!rr_parse_native_address(listener->options.address, &address,
				     error))
		return false;
	fd = socket(address.storage.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0)
		(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address.storage, address.length) < 0 ||
	    listen(fd, BACKLOG) < 0) {
		g_set_error(error, G_FILE_ERROR,
			    (gint)g_file_error_from_errno(errno),
			    "listen at %s: %s", listener->options.address,
			    g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return false;
	}
	listener->watcher.fd = fd;
	listener->watcher.ready = on_connection;
	listener->watcher.data = listener;
	return rr_add_io_watcher(listener->poller, &listener->watcher);
}

struct rr_http_listener *
rr_new_http_listener(struct rr_context *ctx,
		     const struct rr_http_listener_options *options,
		     GError **error)
{
	struct rr_http_listener *listener = g_new0(struct rr_http_listener, 1);

	listener->ctx = rr_keep_context(ctx);
	listener->poller = options->poller;
	listener->options = *options;
	listener->limits = (struct rr_caller_limits){
		.max_header_bytes = INITIAL_HEADER_BYTES,
		.max_body_bytes = INITIAL_BODY_BYTES,
		.header_timeout_ms = INITIAL_HEADER_TIMEOUT_MS,
		.idle_timeout_ms = INITIAL_IDLE_TIMEOUT_MS,
	};
	listener->watcher.fd = -1;
	g_queue_init(&listener->callers);
	if (start_listening(listener, error))
		return listener;
	rr_drop_http_listener(listener);
	return NULL;
}

void rr_stop_accepting(struct rr_http_listener *listener)
{
	if (listener->watcher.fd < 0)
		return;
	rr_remove_io_watcher(listener->poller, &listener->watcher);
	close(listener->watcher.fd);
	listener->watcher.fd = -1;
	listener->must_retry_accept = false;
}

void rr_drop_http_listener(struct rr_http_listener *listener)
{
	GList *link;

	if (!listener)
		return;
	while ((link = g_queue_pop_head_link(&listener->callers)))
		destroy_caller(link->data);
	rr_stop_accepting(listener);
	rr_drop_context(listener->ctx);
	g_free(listener);
}

void rr_set_http_listener_limits(struct rr_http_listener *listener,
				 const struct rr_caller_limits *limits)
{
	listener->limits = *limits;
	for (GList *l = listener->callers.head; l; l = l->next) {
		struct rr_caller_conn *caller = l->data;

		rr_set_http_reader_limits(caller->reader,
					  limits->max_header_bytes,
					  limits->max_body_bytes);
	}
}

void rr_set_caller_user_data(struct rr_caller_conn *caller, uint64_t user_data)
{
	caller->user_data = user_data;
}

uint64_t rr_get_caller_user_data(const struct rr_caller_conn *caller)
{
	return caller->user_data;
}

bool rr_is_first_request(const struct rr_caller_conn *caller)
{
	return caller->n_requests == 1;
}

int64_t rr_caller_rtt_us(const struct rr_caller_conn *caller)
{
	return rr_stream_rtt_us(caller->stream);
}

void rr_drain_http_listener(struct rr_http_listener *listener)
{
	listener->draining = true;
}

bool rr_is_idle_caller(const struct rr_caller_conn *caller)
{
	return caller->state == CALLER_READING &&
	       !rr_http_is_started(caller->reader);
}

void rr_close_idle_caller_conns(struct rr_http_listener *listener)
{
	GList *next;

	for (GList *l = listener->callers.head; l; l = next) {
		struct rr_caller_conn *caller = l->data;

		next = l->next;
		if (rr_is_idle_caller(caller) ||
		    caller->state == CALLER_CLOSING)
			rr_free_caller_conn(caller);
	}
}

size_t rr_count_caller_conns(const struct rr_http_listener *listener)
{
	return listener->callers.length;
}
