/*
 * concurrency-limit.h - how many attempts one instance may have at one replica.
 *
 * A leaf: it knows neither replicas nor requests.
 */
#ifndef RAGWORT_CORE_LIMIT_H
#define RAGWORT_CORE_LIMIT_H

#include <stdint.h>

struct rr_concurrency_limit {
	double value;
	/* Mean times, in the unit that they are handed in with; 0: none. */
	double unloaded_time; /* of attempts sent within this instance's share */
	double loaded_time;   /* of attempts sent at the limit */
};

struct rr_limit_bounds {
	uint32_t share;	  /* this instance's part of the replica's slots */
	uint32_t highest; /* never more than this */
};

void rr_reset_limit(struct rr_concurrency_limit *limit, uint32_t share);
/* The limit now; at least 1. */
uint32_t rr_current_limit(const struct rr_concurrency_limit *limit,
			  uint32_t highest);
/*
 * An answer took `took`; `in_flight` counts the attempts when its own was
 * sent.  `unqueued` is the time without a queue, 0 where only the limit's
 * own means tell.
 */
void rr_adapt_limit(struct rr_concurrency_limit *limit,
		    const struct rr_limit_bounds *bounds, double took,
		    double unqueued, uint32_t in_flight);
/* After a refusal or a loss. */
void rr_shrink_limit(struct rr_concurrency_limit *limit, double factor);

#endif
