/*
 * feed-count.c - how many instances share budgets and connections.
 */
#include "core/feed-private.h"

/*
 * The count of instances shrinks only after this: budgets hold for windows of
 * ten seconds, entries lapse when the store is away, and those that nobody
 * enters any more are a while without (feed-entry.c).
 */
#define SHRINK_US (20 * G_USEC_PER_SEC)
/*
 * Instances that start together have all entered by then, counted from when
 * the last of them look for others.  Where so many entries stand already, it
 * is a restart among others, and they count at once.
 */
#define FIRST_COUNT_US (2 * G_USEC_PER_SEC)
#define STANDING_ENTRIES 3

int64_t rr_initial_count_due_us(int64_t now_us)
{
	return now_us + FIRST_COUNT_US;
}

static void tell_count(struct rr_feed *feed, uint32_t count)
{
	rr_enable_peer_sources(feed->sources);
	feed->shrink_due_us = 0;
	feed->reported_count = count;
	feed->actions.instance_count(feed->actions.data, count);
}

void rr_update_instance_count(struct rr_feed *feed)
{
	uint32_t count;

	if (!feed->has_synced)
		return;
	count = MAX(feed->n_instances, 1);
	if (feed->now_us < feed->count_due_us && count < STANDING_ENTRIES)
		return;
	if (count >= feed->reported_count) {
		if (count > feed->reported_count)
			tell_count(feed, count);
		feed->shrink_due_us = 0;
		return;
	}
	if (!feed->shrink_due_us)
		feed->shrink_due_us = feed->now_us + SHRINK_US;
	else if (feed->now_us >= feed->shrink_due_us)
		tell_count(feed, count);
}
