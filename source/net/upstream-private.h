/*
 * upstream-private.h - decoding of HTTP results from upstreams.
 */
#ifndef RAGWORT_UPSTREAM_PRIVATE_H
#define RAGWORT_UPSTREAM_PRIVATE_H

#include "net/exchange-private.h"
#include "ragwort/attempt.h"
#include "ragwort/context.h"
#include "ragwort/wire.h"

/*
 * Fill *reply from the result of an attempt. *body owns the data that the reply
 * refers to and is freed by the caller after use; NULL if there is none.
 */
void rr_decode_upstream_result(struct rr_context *ctx,
			       const struct rr_exchange_result *result,
			       struct rr_reply *reply,
			       struct rr_upstream_body **body);

/* Fill *health from the result of a poll; health->replica is already set. */
void rr_decode_health_result(struct rr_context *ctx,
			     const struct rr_exchange_result *result,
			     struct rr_health *health);

#endif
