/*
 * concurrency-limit.c - adaptive concurrency limit for one replica.
 *
 * The limit starts at this instance's share of the replica's slots.  It grows
 * as long as attempts sent at the limit take no longer than attempts that find
 * no queue: the slots are idle while a response and the next attempt are in
 * transit.  It shrinks when they take longer, on rejections and on losses.
 * Instances thus share a replica without communicating.
 */
#include "core/concurrency-limit.h"

#include <glib.h>

/* A higher ratio of the latency to that without a queue indicates a queue. */
#define QUEUE_LATENCY_RATIO 1.5
/* Applied to the limit for each response that indicates a queue. */
#define SHRINK_FACTOR 0.98
/* The limit grows while the ratio is lower than this. */
#define GROW_LATENCY_RATIO 1.25
/* Weight of a new sample: about the last 16 samples dominate a mean. */
#define LATENCY_WEIGHT 0.0625

void rr_reset_limit(struct rr_concurrency_limit *limit, uint32_t share)
{
	limit->value = share;
	limit->unloaded_time = 0;
	limit->loaded_time = 0;
}

uint32_t rr_current_limit(const struct rr_concurrency_limit *limit,
			  uint32_t highest)
{
	return MAX(1, MIN((uint32_t)limit->value, highest));
}

static void update_mean(double *mean, double latency)
{
	if (*mean <= 0)
		*mean = latency;
	else
		*mean += LATENCY_WEIGHT * (latency - *mean);
}

/*
 * Latency alone reduces the limit no further than this instance's share, since
 * widely spread latencies look like a queue where there is none.  Rejections
 * reduce it further.
 */
static void shrink_to_share(struct rr_concurrency_limit *limit, double share)
{
	if (limit->value > share)
		limit->value = MAX(share, limit->value * SHRINK_FACTOR);
}

void rr_adapt_limit(struct rr_concurrency_limit *limit,
		    const struct rr_limit_bounds *bounds, double latency,
		    double unloaded, uint32_t in_flight)
{
	double baseline;

	if (in_flight <= bounds->share)
		update_mean(&limit->unloaded_time, latency);
	if (in_flight < (uint32_t)limit->value)
		return;
	update_mean(&limit->loaded_time, latency);
	baseline = unloaded > 0 ? unloaded : limit->unloaded_time;
	if (baseline <= 0)
		return;
	if (limit->loaded_time > QUEUE_LATENCY_RATIO * baseline)
		shrink_to_share(limit, bounds->share);
	else if (limit->loaded_time < GROW_LATENCY_RATIO * baseline)
		limit->value += 1 / MAX(1.0, limit->value);
	limit->value = MIN(limit->value, (double)bounds->highest);
}

void rr_shrink_limit(struct rr_concurrency_limit *limit, double factor)
{
	limit->value = MAX(1.0, limit->value * factor);
}
