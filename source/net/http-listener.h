/*
 * http-listener.h - callers' connections of the gateway: requests read whole,
 * one at a time on each connection, answered in order.
 */
#ifndef RAGWORT_NET_HTTP_LISTENER_H
#define RAGWORT_NET_HTTP_LISTENER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http-reader.h"
#include "net/poller.h"
#include "ragwort/context.h"
#include "ragwort/route.h"

struct rr_http_listener;
/* One caller's connection, valid until it is answered or has gone. */
struct rr_caller_conn;

struct rr_http_listener_options {
	struct rr_poller *poller;
	const char *address; /* IP:PORT */
	/* Connections at once; one more waits with the system.  0: no bound */
	uint32_t max_connections;
	/*
	 * A whole request.  It is answered by rr_send_http_response(), now or
	 * later; the message is valid until then.
	 */
	void (*request)(void *data, struct rr_caller_conn *caller,
			const struct rr_http_message *message);
	/* The caller sends no more; it may still read. NULL allowed. */
	void (*half_closed)(void *data, struct rr_caller_conn *caller);
	/* The connection is gone, and with it the caller. NULL allowed. */
	void (*disconnected)(void *data, struct rr_caller_conn *caller);
	void *data;
};

/* An answer; the bytes are copied. */
struct rr_http_response {
	uint16_t status;
	const char *reason;		      /* NULL: the usual phrase */
	const struct rr_http_header *headers; /* without framing */
	size_t n_headers;
	const uint8_t *body;
	size_t length;
	bool close; /* end the connection behind it */
};

/* Listen; NULL with an error. */
struct rr_http_listener *
rr_new_http_listener(struct rr_context *ctx,
		     const struct rr_http_listener_options *options,
		     GError **error);
void rr_drop_http_listener(struct rr_http_listener *port);
void rr_set_http_listener_limits(struct rr_http_listener *port,
				 const struct rr_caller_limits *limits);

void rr_send_http_response(struct rr_caller_conn *caller,
			   const struct rr_http_response *answer);
/* What the owner keeps with a caller while its request is open. */
void rr_set_caller_user_data(struct rr_caller_conn *caller, uint64_t mark);
uint64_t rr_caller_user_data(const struct rr_caller_conn *caller);
int64_t rr_caller_rtt_us(const struct rr_caller_conn *caller);
/* Whether its connection was made for the request that it waits for. */
bool rr_is_first_request(const struct rr_caller_conn *caller);

/* Answers end their connections from now on: the instance is leaving. */
void rr_drain_http_listener(struct rr_http_listener *port);
/* Connections are refused from now on. */
void rr_stop_accepting(struct rr_http_listener *port);
/* Close connections on which nothing is under way. */
void rr_close_idle_caller_conns(struct rr_http_listener *port);
size_t rr_count_caller_conns(const struct rr_http_listener *port);

/* Connections that take too long. */
void rr_tick_http_listener(struct rr_http_listener *port, int64_t now_us);
int64_t rr_http_listener_wake_us(const struct rr_http_listener *port);

#endif
