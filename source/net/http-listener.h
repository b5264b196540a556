/*
 * http-listener.h - HTTP server for the gateway's callers.
 *
 * Requests are read completely before they are passed on, one at a time per
 * connection, and responses are sent in the same order.
 *
 * While memory is short, callers that have held much of it for long are
 * disconnected: those whose request is incomplete with status 503, those that
 * do not read their response without a further one. A request that was passed
 * on is never cut short.
 */
#ifndef RAGWORT_NET_HTTP_LISTENER_H
#define RAGWORT_NET_HTTP_LISTENER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http-reader.h"
#include "net/memory-budget.h"
#include "net/poller.h"
#include "ragwort/context.h"
#include "ragwort/route.h"

struct rr_http_listener;
/*
 * A caller's connection, valid until the response is sent or the caller
 * disconnects.
 */
struct rr_caller_conn;

struct rr_http_listener_options {
	struct rr_poller *poller;
	struct rr_memory_budget *memory; /* NULL: no limit */
	const char *address;		 /* IP:PORT */
	/*
	 * Open connections; 0: no limit. A further one replaces an idle one or
	 * requests that arrive slowly, otherwise it stays in the kernel's
	 * backlog.
	 */
	uint32_t max_connections;
	/*
	 * Handles a complete request. The response is sent by
	 * rr_send_http_response(), now or later; the message is valid until
	 * then.
	 */
	void (*request)(void *data, struct rr_caller_conn *caller,
			const struct rr_http_message *message);
	/*
	 * The caller closed its sending side; it may still read. NULL is
	 * allowed.
	 */
	void (*half_closed)(void *data, struct rr_caller_conn *caller);
	/* The caller disconnected. NULL is allowed. */
	void (*disconnected)(void *data, struct rr_caller_conn *caller);
	void *data;
};

/* A response; the body is copied when it is sent. */
struct rr_http_response {
	uint16_t status;
	const char *reason; /* NULL: the standard phrase */
	/* Excluding Content-Length and Connection. */
	const struct rr_http_header *headers;
	size_t n_headers;
	const uint8_t *body;
	size_t length;
	bool close; /* close the connection after the response */
};

/* Start to listen. Returns NULL with an error. */
struct rr_http_listener *
rr_new_http_listener(struct rr_context *ctx,
		     const struct rr_http_listener_options *options,
		     GError **error);
void rr_drop_http_listener(struct rr_http_listener *listener);
void rr_set_http_listener_limits(struct rr_http_listener *listener,
				 const struct rr_caller_limits *limits);

void rr_send_http_response(struct rr_caller_conn *caller,
			   const struct rr_http_response *response);
/* Store a value of the owner with a caller while its request is open. */
void rr_set_caller_user_data(struct rr_caller_conn *caller, uint64_t user_data);
uint64_t rr_get_caller_user_data(const struct rr_caller_conn *caller);
int64_t rr_caller_rtt_us(const struct rr_caller_conn *caller);
/* Return whether the current request is the first of its connection. */
bool rr_is_first_request(const struct rr_caller_conn *caller);

/* Start a planned shutdown: each response closes its connection from now on. */
void rr_drain_http_listener(struct rr_http_listener *listener);
/* Close the listening socket, so that new connections are refused. */
void rr_stop_accepting(struct rr_http_listener *listener);
/* Close connections without a request in progress. */
void rr_close_idle_caller_conns(struct rr_http_listener *listener);
size_t rr_count_caller_conns(const struct rr_http_listener *listener);

/* Close connections that have timed out or have to release memory. */
void rr_tick_http_listener(struct rr_http_listener *listener, int64_t now_us);
int64_t rr_http_listener_wake_us(const struct rr_http_listener *listener);

#endif
