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

int64_t rr_first_count_us(int64_t now_us)
{
	return now_us + FIRST_COUNT_US;
}

static void tell_count(struct rr_feed *feed, uint32_t count)
{
	rr_allow_following(feed->sources);
	feed->shrink_us = 0;
	feed->told = count;
	feed->actions.instances(feed->actions.data, count);
}

void rr_look_at_count(struct rr_feed *feed)
{
	uint32_t count;

	if (!feed->has_read)
		return;
	count = MAX(feed->n_instances, 1);
	if (feed->now_us < feed->count_from_us && count < STANDING_ENTRIES)
		return;
	if (count >= feed->told) {
		if (count > feed->told)
			tell_count(feed, count);
		feed->shrink_us = 0;
		return;
	}
	if (!feed->shrink_us)
		feed->shrink_us = feed->now_us + SHRINK_US;
	else if (feed->now_us >= feed->shrink_us)
		tell_count(feed, count);
}
