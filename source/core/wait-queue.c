/*
 * wait-queue.c - queueing discipline for requests that wait for capacity.
 */
#include "core/wait-queue.h"

/*
 * An entry that has waited for more than this fraction of the time until its
 * objective shows that those behind it will be late: the remaining time has to
 * suffice for the work itself and for a retry.
 */
#define OVERLOAD_WAIT_FRACTION 0.35
/*
 * A new entry is rejected if its own wait would exceed this fraction.  It is
 * less than the fraction above, or the last entry admitted would indicate
 * overload.  In the burst of tests/test-wait-queue.c, in which two workers can
 * serve 168 requests in 5 s, 168 are in time with this value, 141 with 0.35 and
 * 64 without the check.
 */
#define ADMISSION_WAIT_FRACTION 0.25

void rr_init_wait_queue(struct rr_wait_queue *queue)
{
	queue->entries =
		g_array_new(FALSE, FALSE, sizeof(struct rr_queue_entry));
	rr_init_fair_share(&queue->share);
}

void rr_clear_wait_queue(struct rr_wait_queue *queue)
{
	rr_clear_fair_share(&queue->share);
	g_array_unref(queue->entries);
	queue->entries = NULL;
}

void rr_push_queue_entry(struct rr_wait_queue *queue,
			 const struct rr_queue_entry *entry)
{
	g_array_append_val(queue->entries, *entry);
}

static const struct rr_queue_entry *entry_at(const struct rr_wait_queue *queue,
					     guint i)
{
	return &g_array_index(queue->entries, struct rr_queue_entry, i);
}

static bool has_waited_long(const struct rr_queue_entry *entry, int64_t now_us)
{
	double allowed_us = (double)(entry->answer_by_us - entry->since_us);

	return (double)(now_us - entry->since_us) >
	       OVERLOAD_WAIT_FRACTION * allowed_us;
}

bool rr_is_overloaded(const struct rr_wait_queue *queue, int64_t now_us)
{
	for (guint i = 0; i < queue->entries->len; i++) {
		if (has_waited_long(entry_at(queue, i), now_us))
			return true;
	}
	return false;
}

bool rr_would_overload(const struct rr_wait_queue *queue,
		       const struct rr_overload_inputs *inputs)
{
	double queued_work_us =
		(double)queue->entries->len * (double)inputs->typical_us;
	double allowed_us = ADMISSION_WAIT_FRACTION *
			    (double)(inputs->answer_by_us - inputs->now_us);

#ifdef RR_MUTANT_QUEUE_NO_OUTLOOK
	allowed_us = G_MAXDOUBLE;
#endif
	return queued_work_us > allowed_us * inputs->capacity ||
	       rr_is_overloaded(queue, inputs->now_us);
}

/* Whether `a`, the newer entry, is served before `b`. */
static bool is_served_before(const struct rr_wait_queue *queue,
			     const struct rr_queue_entry *a,
			     const struct rr_queue_entry *b, int64_t in_time_us,
			     bool newest_first)
{
	bool a_in_time = a->answer_by_us >= in_time_us;
	bool b_in_time = b->answer_by_us >= in_time_us;
	uint64_t a_start;
	uint64_t b_start;

	if (a_in_time != b_in_time)
		return a_in_time;
	if (a->priority != b->priority)
		return a->priority < b->priority;
#ifndef RR_MUTANT_QUEUE_IGNORES_FLOWS
	a_start = rr_fair_share_start(&queue->share, a->flow);
	b_start = rr_fair_share_start(&queue->share, b->flow);
	if (a_start != b_start)
		return a_start < b_start;
#endif
	return newest_first;
}

bool rr_pop_queue_entry(struct rr_wait_queue *queue, int64_t now_us,
			int64_t typical_us, struct rr_queue_entry *entry)
{
	bool newest_first = rr_is_overloaded(queue, now_us);
	guint best = 0;

#ifdef RR_MUTANT_QUEUE_OLDEST_FIRST
	newest_first = false;
#endif

	if (!queue->entries->len)
		return false;
	for (guint i = 1; i < queue->entries->len; i++) {
		if (is_served_before(queue, entry_at(queue, i),
				     entry_at(queue, best), now_us + typical_us,
				     newest_first))
			best = i;
	}
	*entry = *entry_at(queue, best);
	g_array_remove_index(queue->entries, best);
	if (entry->flow)
		rr_fair_share_serve(&queue->share, entry->flow);
	if (!queue->entries->len)
		rr_fair_share_reset(&queue->share);
	return true;
}
