/*
 * concurrency-limit.h - adaptive limit on attempts in flight at one replica.
 *
 * The limit depends only on latencies, numbers of attempts in flight,
 * rejections and losses; the structs of replicas and requests are not used.
 */
#ifndef RAGWORT_CORE_CONCURRENCY_LIMIT_H
#define RAGWORT_CORE_CONCURRENCY_LIMIT_H

#include <stdint.h>

struct rr_concurrency_limit {
	double value; /* not rounded; see rr_current_limit() */
	/* Mean latencies, in the unit of rr_adapt_limit(); 0: no sample. */
	double unloaded_time; /* of attempts sent within this instance's share */
	double loaded_time;   /* of attempts sent at the limit */
};

struct rr_limit_bounds {
	uint32_t share;	  /* this instance's share of the replica's slots */
	uint32_t highest; /* upper bound of the limit */
};

/* Set the limit to `share` and discard the mean latencies. */
void rr_reset_limit(struct rr_concurrency_limit *limit, uint32_t share);
/* Return the current limit, at most `highest` but at least 1. */
uint32_t rr_current_limit(const struct rr_concurrency_limit *limit,
			  uint32_t highest);
/*
 * Adapt the limit to a response that took `latency`.  `in_flight` is the number
 * of attempts in flight when its attempt was sent.  `unloaded` is the latency
 * without a queue; if it is 0, the mean kept in `limit` is used.
 */
void rr_adapt_limit(struct rr_concurrency_limit *limit,
		    const struct rr_limit_bounds *bounds, double latency,
		    double unloaded, uint32_t in_flight);
/* Multiply the limit by `factor` after a rejection or a loss; at least 1. */
void rr_shrink_limit(struct rr_concurrency_limit *limit, double factor);

#endif
