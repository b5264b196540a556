/*
 * concurrency-limit.c - an adaptive limit of attempts at one replica.
 *
 * It starts at this instance's part of the slots.  It grows as long as
 * attempts sent at the limit take no longer than those that find no queue
 * (the replica's slots stand idle while an answer and the next attempt are on
 * their way), and shrinks when they do, on refusals and on losses.  Instances
 * so share a replica without a message between them.
 */
#include "core/concurrency-limit.h"

#include <glib.h>

/* More time than this, against a replica that is not busy, is its queue. */
#define QUEUE_FACTOR 1.5
#define QUEUE_SHRINK 0.98
#define GROW_FACTOR 1.25
#define TIME_WEIGHT 0.0625

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

static void mix_time(double *estimate, double took)
{
	if (*estimate <= 0)
		*estimate = took;
	else
		*estimate += TIME_WEIGHT * (took - *estimate);
}

/*
 * Time alone takes the limit no lower than this instance's slots: where times
 * spread widely they look like a queue that is not there.  Refusals do.
 */
static void shrink_to_share(struct rr_concurrency_limit *limit, double share)
{
	if (limit->value > share)
		limit->value = MAX(share, limit->value * QUEUE_SHRINK);
}

void rr_adapt_limit(struct rr_concurrency_limit *limit,
		    const struct rr_limit_bounds *bounds, double took,
		    double unqueued, uint32_t in_flight)
{
	double free;

	if (in_flight <= bounds->share)
		mix_time(&limit->unloaded_time, took);
	if (in_flight < (uint32_t)limit->value)
		return;
	mix_time(&limit->loaded_time, took);
	free = unqueued > 0 ? unqueued : limit->unloaded_time;
	if (free <= 0)
		return;
	if (limit->loaded_time > QUEUE_FACTOR * free)
		shrink_to_share(limit, bounds->share);
	else if (limit->loaded_time < GROW_FACTOR * free)
		limit->value += 1 / MAX(1.0, limit->value);
	limit->value = MIN(limit->value, (double)bounds->highest);
}

void rr_shrink_limit(struct rr_concurrency_limit *limit, double factor)
{
	limit->value = MAX(1.0, limit->value * factor);
}
