/*
 * front-port.h - callers' connections of the gateway: requests read whole,
 * one at a time on each connection, answered in order.
 */
#ifndef RAGWORT_NET_FRONT_PORT_H
#define RAGWORT_NET_FRONT_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http-reader.h"
#include "net/poller.h"
#include "ragwort/context.h"
#include "ragwort/route.h"

struct rr_front_port;
/* One caller's connection, valid until it is answered or has gone. */
struct rr_caller;

struct rr_front_port_options {
	struct rr_poller *poller;
	const char *address; /* IP:PORT */
	/* Connections at once; one more waits with the system.  0: no bound */
	uint32_t max_connections;
	/*
	 * A whole request.  It is answered by rr_answer_caller(), now or
	 * later; the message is valid until then.
	 */
	void (*request)(void *data, struct rr_caller *caller,
			const struct rr_http_message *message);
	/* The caller sends no more; it may still read. NULL allowed. */
	void (*left)(void *data, struct rr_caller *caller);
	/* The connection is gone, and with it the caller. NULL allowed. */
	void (*gone)(void *data, struct rr_caller *caller);
	void *data;
};

/* An answer; the bytes are copied. */
struct rr_front_answer {
	uint16_t status;
	const char *reason;		      /* NULL: the usual phrase */
	const struct rr_http_header *headers; /* without framing */
	size_t n_headers;
	const uint8_t *body;
	size_t length;
	bool close; /* end the connection behind it */
};

/* Listen; NULL with an error. */
struct rr_front_port *
rr_new_front_port(struct rr_context *ctx,
		  const struct rr_front_port_options *options, GError **error);
void rr_drop_front_port(struct rr_front_port *port);
void rr_bound_front_port(struct rr_front_port *port,
			 const struct rr_caller_limits *limits);

void rr_answer_caller(struct rr_caller *caller,
		      const struct rr_front_answer *answer);
/* What the owner keeps with a caller while its request is open. */
void rr_set_caller_mark(struct rr_caller *caller, uint64_t mark);
uint64_t rr_caller_mark(const struct rr_caller *caller);
int64_t rr_caller_rtt_us(const struct rr_caller *caller);
/* Whether its connection was made for the request that it waits for. */
bool rr_caller_is_new(const struct rr_caller *caller);

/* Answers end their connections from now on: the instance is leaving. */
void rr_close_front_port(struct rr_front_port *port);
/* Connections are refused from now on. */
void rr_refuse_callers(struct rr_front_port *port);
/* Close connections on which nothing is under way. */
void rr_close_idle_callers(struct rr_front_port *port);
size_t rr_count_callers(const struct rr_front_port *port);

/* Connections that take too long. */
void rr_tick_front_port(struct rr_front_port *port, int64_t now_us);
int64_t rr_front_port_wake_us(const struct rr_front_port *port);

#endif
