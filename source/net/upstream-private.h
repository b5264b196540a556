/*
 * upstream-private.h - what HTTP results of upstreams mean.
 */
#ifndef RAGWORT_UPSTREAM_PRIVATE_H
#define RAGWORT_UPSTREAM_PRIVATE_H

#include "net/exchange-private.h"
#include "ragwort/attempt.h"
#include "ragwort/context.h"
#include "ragwort/wire.h"

/*
 * Fill *reply from what came of an attempt.  *body holds what the reply
 * points into and is dropped by the caller after use; NULL where there is
 * none.
 */
void rr_decode_upstream_result(struct rr_context *ctx,
			       const struct rr_exchange_result *result,
			       struct rr_reply *reply,
			       struct rr_upstream_body **body);

/* Fill *health from what came of a poll; its replica is set already. */
void rr_decode_health_result(struct rr_context *ctx,
			     const struct rr_exchange_result *result,
			     struct rr_health *health);

#endif
