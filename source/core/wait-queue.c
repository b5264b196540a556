/*
 * wait-queue.c - the order in which waiting work is served.
 */
#include "core/wait-queue.h"

/*
 * Waiting for more than this part of the time until its cut shows that the
 * work behind will be late: what remains has to hold the work itself, and a
 * second try.
 */
#define OVERRUN_PART 0.35
/*
 * A newcomer is turned away when its own wait would be more than this part.
 * Less than the part above, or the last one taken would show as overrun.
 * Replayed burst (the test): of 168 that two can do in five seconds 168 are in
 * time, 141 with 0.35, 64 without.
 */
#define NEWCOMER_PART 0.25

void rr_init_wait_queue(struct rr_wait_queue *queue)
{
	queue->waiters = g_array_new(FALSE, FALSE, sizeof(struct rr_waiter));
}

void rr_clear_wait_queue(struct rr_wait_queue *queue)
{
	g_array_unref(queue->waiters);
	queue->waiters = NULL;
}

void rr_push_waiter(struct rr_wait_queue *queue, const struct rr_waiter *waiter)
{
	g_array_append_val(queue->waiters, *waiter);
}

static const struct rr_waiter *waiter_at(const struct rr_wait_queue *queue,
					 guint i)
{
	return &g_array_index(queue->waiters, struct rr_waiter, i);
}

static bool has_waited_long(const struct rr_waiter *waiter, int64_t now_us)
{
	double allowed_us = (double)(waiter->answer_by_us - waiter->since_us);

	return (double)(now_us - waiter->since_us) > OVERRUN_PART * allowed_us;
}

bool rr_is_overloaded(const struct rr_wait_queue *queue, int64_t now_us)
{
	for (guint i = 0; i < queue->waiters->len; i++) {
		if (has_waited_long(waiter_at(queue, i), now_us))
			return true;
	}
	return false;
}

bool rr_would_overload(const struct rr_wait_queue *queue,
		       const struct rr_overload_inputs *outlook)
{
	double ahead_us =
		(double)queue->waiters->len * (double)outlook->typical_us;
	double allowed_us = NEWCOMER_PART *
			    (double)(outlook->answer_by_us - outlook->now_us);

#ifdef RR_MUTANT_QUEUE_NO_OUTLOOK
	allowed_us = G_MAXDOUBLE;
#endif
	return ahead_us > allowed_us * outlook->capacity ||
	       rr_is_overloaded(queue, outlook->now_us);
}

/* Whether `a`, which is newer, goes before `b`. */
static bool goes_before(const struct rr_waiter *a, const struct rr_waiter *b,
			int64_t in_time_us, bool newest_first)
{
	bool a_in_time = a->answer_by_us >= in_time_us;
	bool b_in_time = b->answer_by_us >= in_time_us;

	if (a_in_time != b_in_time)
		return a_in_time;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return newest_first;
}

bool rr_pop_waiter(struct rr_wait_queue *queue, int64_t now_us,
		   int64_t typical_us, struct rr_waiter *waiter)
{
	bool newest_first = rr_is_overloaded(queue, now_us);
	guint best = 0;

#ifdef RR_MUTANT_QUEUE_OLDEST_FIRST
	newest_first = false;
#endif

	if (!queue->waiters->len)
		return false;
	for (guint i = 1; i < queue->waiters->len; i++) {
		if (goes_before(waiter_at(queue, i), waiter_at(queue, best),
				now_us + typical_us, newest_first))
			best = i;
	}
	*waiter = *waiter_at(queue, best);
	g_array_remove_index(queue->waiters, best);
	return true;
}
