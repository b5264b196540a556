/*
 * net-upstream.h - attempts, cancellations and health polls over HTTP.
 *
 * Sends each attempt once at most: no resend, no redirect, no second try
 * after an authentication challenge.  Timeouts and limits are the core's.
 */
#ifndef RAGWORT_NET_UPSTREAM_H
#define RAGWORT_NET_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "ragwort/attempt.h"
#include "ragwort/context.h"

struct rr_upstream_client_options {
	/*
	 * This instance's name, copied.  It is part of every X-Attempt-Id:
	 * the numbers of two instances can be the same.
	 */
	const char *instance;
	/*
	 * Tells what came of an attempt, once for each that was not
	 * cancelled; from the main loop, never from inside a call.  The
	 * reply is valid during the callback only.
	 */
	void (*replied)(void *data, const struct rr_reply *reply);
	/* The same for a health poll. */
	void (*polled)(void *data, const struct rr_health *health);
	void *data;
	/*
	 * A cancelled attempt's connection is kept, so that its upstream can
	 * end the work and the connection serves again; after this it is
	 * closed.  0: default 2000.
	 */
	uint32_t cancel_grace_ms;
	uint32_t health_timeout_ms; /* 0: default 1000 */
	/* Cancel by closing the connection instead: for comparison. */
	bool cancel_by_close;
};

struct rr_upstream_client;

struct rr_upstream_client *
rr_new_upstream_client(struct rr_context *ctx,
		       const struct rr_upstream_client_options *options);
/* Closes all connections; nothing is called back any more. */
void rr_drop_upstream_client(struct rr_upstream_client *port);

/* Send an attempt; what it points to is copied. */
void rr_send_attempt(struct rr_context *ctx, struct rr_upstream_client *port,
		     const struct rr_attempt *attempt);
/* Withdraw an attempt: no reply is handed out for it.  Unknown ids do nothing. */
void rr_cancel_attempt(struct rr_context *ctx, struct rr_upstream_client *port,
		       uint64_t attempt_id);
/* Ask a replica for its health. */
void rr_poll_upstream_health(struct rr_context *ctx,
			     struct rr_upstream_client *port,
			     const char *replica, const char *address);
/* How many HTTP exchanges are open, cancelled ones included. */
uint32_t rr_count_upstream_exchanges(const struct rr_upstream_client *port);

#endif
