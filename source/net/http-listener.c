/*
 * http-listener.c - the server end of the data path.
 */
#define _GNU_SOURCE /* accept4() */
#include "net/http-listener.h"

#include <errno.h>
#include <gio/gio.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address-private.h"
#include "net/stream.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"

#define BACKLOG 512
/* Until the operators' configuration is known. */
#define FIRST_HEADER_BYTES 16384
#define FIRST_BODY_BYTES 262144
#define FIRST_HEADER_TIMEOUT_MS 3000
#define FIRST_IDLE_TIMEOUT_MS 15000
/* A body may take so many times as long as the headers. */
#define BODY_FACTOR 4
/* A caller that does not read its answer is let go after this. */
#define UNREAD_US (10 * G_USEC_PER_SEC)
/*
 * After a refusal that leaves bytes unread, so that the answer is read
 * before a reset: one way and back with room.
 */
#define LINGER_US (200 * 1000)

enum caller_state {
	CALLER_READING, /* a request, or waiting for one */
	CALLER_OPEN,	/* a request is with the owner */
	CALLER_WRITING, /* the answer is not out yet */
	CALLER_CLOSING, /* the answer is out; the peer is to close */
};

struct rr_caller_conn {
	struct rr_http_listener *port;
	struct rr_stream *stream;
	struct rr_http_reader *reader;
	GByteArray *rest; /* bytes behind the request under way */
	enum caller_state state;
	bool half_closed;
	bool close; /* behind the answer under way */
	bool http_1_0;
	bool head;	  /* the request wants no body */
	int64_t since_us; /* of this state; of the first byte while reading */
	uint64_t mark;
	GList link;
	uint64_t n_requests; /* read on this connection so far */
};

struct rr_http_listener {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_io_watcher listener;
	struct rr_http_listener_options options;
	struct rr_caller_limits limits;
	GQueue callers; /* struct rr_caller_conn, about by the time of their turn */
	int64_t checked_us;
	bool closing;
	bool full;
};

static int64_t now_us(void)
{
	return g_get_monotonic_time();
}

/* End and free a connection that is off the port's list. */
static void end_caller(struct rr_caller_conn *caller)
{
	rr_drop_stream(caller->stream);
	rr_drop_http_reader(caller->reader);
	g_byte_array_unref(caller->rest);
	g_free(caller);
}

static void free_caller(struct rr_caller_conn *caller)
{
	g_queue_unlink(&caller->port->callers, &caller->link);
	end_caller(caller);
}

/* The connection is gone; the owner forgets what it had with it. */
static void lose_caller(struct rr_caller_conn *caller)
{
	struct rr_http_listener *port = caller->port;

	if (caller->state == CALLER_OPEN && port->options.disconnected)
		port->options.disconnected(port->options.data, caller);
	free_caller(caller);
}

static void set_state(struct rr_caller_conn *caller, enum caller_state state)
{
	caller->state = state;
	caller->since_us = now_us();
}

static void append_head(GString *out, const struct rr_caller_conn *caller,
			const struct rr_http_response *answer, bool has_length)
{
	const char *reason = answer->reason;

	if (!reason)
		reason = http_status_str((enum http_status)answer->status);
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", answer->status,
			       reason);
	for (size_t i = 0; i < answer->n_headers; i++) {
		g_string_append(out, answer->headers[i].name);
		g_string_append(out, ": ");
		g_string_append(out, answer->headers[i].value);
		g_string_append(out, "\r\n");
	}
	if (has_length)
		g_string_append_printf(
			out, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
			answer->length);
	if (caller->close)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

static void read_on(struct rr_caller_conn *caller);

/* The answer is with the system: the next request, or the end. */
static void end_answer(struct rr_caller_conn *caller)
{
	if (!caller->close) {
		set_state(caller, CALLER_READING);
		read_on(caller);
		return;
	}
	if (caller->half_closed) {
		free_caller(caller);
		return;
	}
	/*
	 * The peer closes first.  Guards against a reset that overtakes the
	 * answer where bytes of the peer are unread.
	 */
	set_state(caller, CALLER_CLOSING);
	rr_shutdown_stream_write(caller->stream);
	rr_set_stream_paused(caller->stream, false);
}

static void take_flushed(void *data)
{
	struct rr_caller_conn *caller = data;

	if (caller->state == CALLER_WRITING)
		end_answer(caller);
}

/* Send an answer; false if the connection is gone. */
static void send_answer(struct rr_caller_conn *caller,
			const struct rr_http_response *answer)
{
	bool bodiless =
		caller->head || answer->status == 204 || answer->status == 304;
	GString *out = g_string_sized_new(512 + answer->length);
	bool taken;
	bool sent;

	append_head(out, caller, answer, !bodiless);
	if (!bodiless && answer->length)
		g_string_append_len(out, (const char *)answer->body,
				    (gssize)answer->length);
	set_state(caller, CALLER_WRITING);
	sent = rr_write_stream(caller->stream, (const uint8_t *)out->str,
			       out->len, &taken);
	g_string_free(out, TRUE);
	if (!sent)
		free_caller(caller);
	else if (!rr_unsent_bytes(caller->stream))
		end_answer(caller);
}

void rr_send_http_response(struct rr_caller_conn *caller,
			   const struct rr_http_response *answer)
{
	const struct rr_http_message *message = rr_http_message(caller->reader);

	caller->close = answer->close || !message->keep_alive ||
			caller->half_closed || caller->port->closing;
	send_answer(caller, answer);
}

/* What cannot be read is answered and ends the connection. */
static void refuse(struct rr_caller_conn *caller, enum rr_http_result result)
{
	struct rr_http_response answer = { .status = 400, .close = true };

	if (result == RR_HTTP_HEADERS_TOO_LARGE)
		answer.status = 431;
	else if (result == RR_HTTP_BODY_TOO_LARGE)
		answer.status = 413;
	rr_count(caller->port->ctx, RR_N_CALLS_INVALID, 1);
	rr_log(caller->port->ctx, RR_LOG_DECISION, "call-refused",
	       RR_FIELD_U64("status", answer.status));
	caller->close = true;
	rr_set_stream_paused(caller->stream, true);
	send_answer(caller, &answer);
}

static void open_request(struct rr_caller_conn *caller)
{
	struct rr_http_listener *port = caller->port;
	const struct rr_http_message *message = rr_http_message(caller->reader);

	caller->head = !strcmp(message->method, "HEAD");
	caller->mark = 0;
	caller->n_requests++;
	set_state(caller, CALLER_OPEN);
	rr_set_stream_paused(caller->stream, true);
	port->options.request(port->options.data, caller, message);
}

/* A caller that asks first is told to send its body. */
static void ask_for_body(struct rr_caller_conn *caller)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
	bool taken;

	rr_write_stream(caller->stream, (const uint8_t *)go_on,
			sizeof(go_on) - 1, &taken);
}

/* Read bytes of the next request; what is behind it is kept. */
static void read_bytes(struct rr_caller_conn *caller, const uint8_t *bytes,
		       size_t length)
{
	bool head_was_read = rr_http_has_headers(caller->reader);
	enum rr_http_result result;
	size_t used;

	if (!rr_http_is_started(caller->reader))
		caller->since_us = now_us();
	result = rr_parse_http(caller->reader, bytes, length, &used);
	if (result == RR_HTTP_INCOMPLETE) {
		if (!head_was_read && rr_http_has_headers(caller->reader) &&
		    rr_http_message(caller->reader)->expects_continue)
			ask_for_body(caller);
		return;
	}
	if (result != RR_HTTP_COMPLETE) {
		refuse(caller, result);
		return;
	}
	if (used < length)
		g_byte_array_append(caller->rest, bytes + used,
				    (guint)(length - used));
	open_request(caller);
}

/* Begin with the next request, from what has come already. */
static void read_on(struct rr_caller_conn *caller)
{
	GByteArray *rest = caller->rest;

	rr_reset_http_reader(caller->reader, false);
	if (rest->len) {
		caller->rest = g_byte_array_new();
		read_bytes(caller, rest->data, rest->len);
		g_byte_array_unref(rest);
		return;
	}
	rr_set_stream_paused(caller->stream, false);
}

static void take_bytes(void *data, const uint8_t *bytes, size_t length)
{
	struct rr_caller_conn *caller = data;

	switch (caller->state) {
	case CALLER_READING:
		read_bytes(caller, bytes, length);
		return;
	case CALLER_OPEN:
	case CALLER_WRITING:
		g_byte_array_append(caller->rest, bytes, (guint)length);
		return;
	case CALLER_CLOSING:
		return;
	}
}

static void take_end(void *data, enum rr_stream_end end)
{
	struct rr_caller_conn *caller = data;
	struct rr_http_listener *port = caller->port;

	if (end == RR_STREAM_ERROR || caller->state == CALLER_READING ||
	    caller->state == CALLER_CLOSING) {
		lose_caller(caller);
		return;
	}
	caller->half_closed = true;
	caller->close = true;
	if (caller->state == CALLER_OPEN && port->options.half_closed)
		port->options.half_closed(port->options.data, caller);
}

static bool add_caller(struct rr_http_listener *port, int fd)
{
	struct rr_caller_conn *caller = g_new0(struct rr_caller_conn, 1);
	struct rr_stream_callbacks owner = {
		.received = take_bytes,
		.ended = take_end,
		.flushed = take_flushed,
		.data = caller,
	};
	struct rr_http_reader_options reading = {
		.max_header_bytes = port->limits.max_header_bytes,
		.max_body_bytes = port->limits.max_body_bytes,
	};

	caller->stream = rr_new_accepted_stream(port->poller, fd, &owner);
	if (!caller->stream) {
		g_free(caller);
		return false;
	}
	caller->port = port;
	caller->reader = rr_new_http_reader(&reading);
	caller->rest = g_byte_array_new();
	caller->link.data = caller;
	set_state(caller, CALLER_READING);
	g_queue_push_tail_link(&port->callers, &caller->link);
	return true;
}

static bool has_room(const struct rr_http_listener *port)
{
	return !port->options.max_connections ||
	       port->callers.length < port->options.max_connections;
}

static void accept_callers(void *data, uint32_t events)
{
	struct rr_http_listener *port = data;

	for (;;) {
		int fd;

		port->full = !has_room(port);
		if (port->full)
			return;
		fd = accept4(port->listener.fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			if (errno == EINTR || errno == ECONNABORTED)
				continue;
			if (errno != EAGAIN && errno != EWOULDBLOCK)
				rr_log(port->ctx, RR_LOG_WARNING,
				       "accept-failed",
				       RR_FIELD_STRING("reason",
						       g_strerror(errno)));
			return;
		}
		if (!add_caller(port, fd))
			close(fd);
	}
}

static bool listen_at(struct rr_http_listener *port, GError **error)
{
	GSocketAddress *address =
		rr_parse_address(port->options.address, error);
	struct sockaddr_storage native;
	gssize length;
	int on = 1;
	int fd;

	if (!address)
		return false;
	length = g_socket_address_get_native_size(address);
	if (!g_socket_address_to_native(address, &native, sizeof(native),
					error)) {
		g_object_unref(address);
		return false;
	}
	g_object_unref(address);
	fd = socket(native.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0)
		(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&native, (socklen_t)length) < 0 ||
	    listen(fd, BACKLOG) < 0) {
		g_set_error(error, G_IO_ERROR,
			    (gint)g_io_error_from_errno(errno),
			    "listen at %s: %s", port->options.address,
			    g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return false;
	}
	port->listener.fd = fd;
	port->listener.ready = accept_callers;
	port->listener.data = port;
	return rr_add_io_watcher(port->poller, &port->listener);
}

struct rr_http_listener *
rr_new_http_listener(struct rr_context *ctx,
		     const struct rr_http_listener_options *options,
		     GError **error)
{
	struct rr_http_listener *port = g_new0(struct rr_http_listener, 1);

	port->ctx = rr_keep_context(ctx);
	port->poller = options->poller;
	port->options = *options;
	port->limits = (struct rr_caller_limits){
		.max_header_bytes = FIRST_HEADER_BYTES,
		.max_body_bytes = FIRST_BODY_BYTES,
		.header_timeout_ms = FIRST_HEADER_TIMEOUT_MS,
		.idle_timeout_ms = FIRST_IDLE_TIMEOUT_MS,
	};
	port->listener.fd = -1;
	g_queue_init(&port->callers);
	if (listen_at(port, error))
		return port;
	rr_drop_http_listener(port);
	return NULL;
}

void rr_stop_accepting(struct rr_http_listener *port)
{
	if (port->listener.fd < 0)
		return;
	rr_remove_io_watcher(port->poller, &port->listener);
	close(port->listener.fd);
	port->listener.fd = -1;
	port->full = false;
}

void rr_drop_http_listener(struct rr_http_listener *port)
{
	GList *link;

	if (!port)
		return;
	while ((link = g_queue_pop_head_link(&port->callers)))
		end_caller(link->data);
	rr_stop_accepting(port);
	rr_drop_context(port->ctx);
	g_free(port);
}

void rr_set_http_listener_limits(struct rr_http_listener *port,
				 const struct rr_caller_limits *limits)
{
	port->limits = *limits;
	for (GList *l = port->callers.head; l; l = l->next) {
		struct rr_caller_conn *caller = l->data;

		rr_set_http_reader_limits(caller->reader,
					  limits->max_header_bytes,
					  limits->max_body_bytes);
	}
}

void rr_set_caller_user_data(struct rr_caller_conn *caller, uint64_t mark)
{
	caller->mark = mark;
}

uint64_t rr_caller_user_data(const struct rr_caller_conn *caller)
{
	return caller->mark;
}

bool rr_is_first_request(const struct rr_caller_conn *caller)
{
	return caller->n_requests == 1;
}

int64_t rr_caller_rtt_us(const struct rr_caller_conn *caller)
{
	return rr_stream_rtt_us(caller->stream);
}

void rr_drain_http_listener(struct rr_http_listener *port)
{
	port->closing = true;
}

static bool is_quiet(const struct rr_caller_conn *caller)
{
	return caller->state == CALLER_READING &&
	       !rr_http_is_started(caller->reader);
}

void rr_close_idle_caller_conns(struct rr_http_listener *port)
{
	GList *next;

	for (GList *l = port->callers.head; l; l = next) {
		struct rr_caller_conn *caller = l->data;

		next = l->next;
		if (is_quiet(caller) || caller->state == CALLER_CLOSING)
			free_caller(caller);
	}
}

size_t rr_count_caller_conns(const struct rr_http_listener *port)
{
	return port->callers.length;
}

/* When a connection has taken too long over what it is at. */
static int64_t bound_of(const struct rr_caller_conn *caller)
{
	const struct rr_caller_limits *limits = &caller->port->limits;
	int64_t bound_ms = 0;

	switch (caller->state) {
	case CALLER_READING:
		if (!rr_http_is_started(caller->reader))
			bound_ms = limits->idle_timeout_ms;
		else if (!rr_http_has_headers(caller->reader))
			bound_ms = limits->header_timeout_ms;
		else
			bound_ms = (int64_t)limits->header_timeout_ms *
				   BODY_FACTOR;
		break;
	case CALLER_OPEN:
		break;
	case CALLER_WRITING:
		return caller->since_us + UNREAD_US;
	case CALLER_CLOSING:
		return caller->since_us + LINGER_US;
	}
	return bound_ms ? caller->since_us + bound_ms * 1000 : INT64_MAX;
}

/* A request that is too slow is told so; a connection at rest just ends. */
static void end_overdue(struct rr_caller_conn *caller)
{
	struct rr_http_response answer = { .status = 408, .close = true };

	rr_count(caller->port->ctx, RR_N_CALLER_CONNS_TIMED_OUT, 1);
	if (caller->state != CALLER_READING ||
	    !rr_http_is_started(caller->reader)) {
		free_caller(caller);
		return;
	}
	caller->close = true;
	rr_set_stream_paused(caller->stream, true);
	send_answer(caller, &answer);
}

/* How often connections are looked over: bounds are of seconds. */
#define CHECK_US (250 * 1000)

void rr_tick_http_listener(struct rr_http_listener *port, int64_t now)
{
	GList *next;

	if (now < port->checked_us + CHECK_US)
		return;
	port->checked_us = now;
	for (GList *l = port->callers.head; l; l = next) {
		struct rr_caller_conn *caller = l->data;

		next = l->next;
		if (bound_of(caller) <= now)
			end_overdue(caller);
	}
	if (port->full && has_room(port))
		accept_callers(port, EPOLLIN);
}

int64_t rr_http_listener_wake_us(const struct rr_http_listener *port)
{
	int64_t wake_us = INT64_MAX;

	for (GList *l = port->callers.head; l; l = l->next)
		wake_us = MIN(wake_us, bound_of(l->data));
	if (port->full)
		wake_us = MIN(wake_us, port->checked_us + CHECK_US);
	return wake_us == INT64_MAX ? wake_us :
				      MAX(wake_us, port->checked_us + CHECK_US);
}
