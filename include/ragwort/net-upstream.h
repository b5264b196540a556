/*
 * net-upstream.h - attempts, cancellations and health polls over HTTP.
 *
 * Sends each attempt at most once: no resend, no redirect, and no second
 * request after an authentication challenge. The core sets timeouts and limits.
 */
#ifndef RAGWORT_NET_UPSTREAM_H
#define RAGWORT_NET_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "ragwort/attempt.h"
#include "ragwort/context.h"

struct rr_upstream_client_options {
	/*
	 * This instance's name, copied. It is part of every X-Attempt-Id,
	 * because two instances can use the same attempt numbers.
	 */
	const char *instance;
	/*
	 * Reports the result of an attempt, once for each that was not
	 * cancelled; runs from the main loop, never from inside a call. The
	 * reply is valid during the callback only.
	 */
	void (*replied)(void *data, const struct rr_reply *reply);
	/* Reports the result of a health poll in the same way. */
	void (*polled)(void *data, const struct rr_health *health);
	void *data;
	/*
	 * How long the connection of a cancelled attempt is kept, so that the
	 * upstream can end the work and the connection can be reused; it is
	 * closed after this. 0: default 2000.
	 */
	uint32_t cancel_grace_ms;
	uint32_t health_timeout_ms; /* 0: default 1000 */
	/*
	 * Cancel an attempt by closing its connection instead of sending a
	 * cancellation; used to compare the two ways.
	 */
	bool cancel_by_close;
};

struct rr_upstream_client;

struct rr_upstream_client *
rr_new_upstream_client(struct rr_context *ctx,
		       const struct rr_upstream_client_options *options);
/* Close all connections; no callback runs any more. */
void rr_drop_upstream_client(struct rr_upstream_client *client);

/* Send an attempt; the data it refers to is copied. */
void rr_send_attempt(struct rr_context *ctx, struct rr_upstream_client *client,
		     const struct rr_attempt *attempt);
/* Cancel an attempt: no reply is reported for it. Unknown ids are ignored. */
void rr_cancel_attempt(struct rr_context *ctx,
		       struct rr_upstream_client *client, uint64_t attempt_id);
/* Request the health of a replica. */
void rr_poll_upstream_health(struct rr_context *ctx,
			     struct rr_upstream_client *client,
			     const char *replica, const char *address);
/* Return the number of open HTTP exchanges, cancelled ones included. */
uint32_t rr_count_upstream_exchanges(const struct rr_upstream_client *client);

#endif
