/*
 * feed-count.c - the number of instances in the fleet, by which budgets and
 * connections are divided.
 */
#include "core/feed-private.h"

/*
 * A lower instance count is reported only after this delay: budgets apply to
 * windows of ten seconds, entries expire when the store is unavailable, and
 * instances whose registrar is gone have no entry for a while (see
 * feed-entry.c).
 */
#define SHRINK_DELAY_US (20 * G_USEC_PER_SEC)
/*
 * Delay of the first count after the start, or after the second read of an
 * instance that found no peers: by then all instances that start together have
 * registered.  If MIN_EXISTING_ENTRIES entries already exist, the instance
 * is restarting into a running fleet and reports the count at once.
 */
#define INITIAL_COUNT_DELAY_US (2 * G_USEC_PER_SEC)
#define MIN_EXISTING_ENTRIES 3

int64_t rr_initial_count_due_us(int64_t now_us)
{
	return now_us + INITIAL_COUNT_DELAY_US;
}

static void report_count(struct rr_feed *feed, uint32_t count)
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
	if (feed->now_us < feed->count_due_us && count < MIN_EXISTING_ENTRIES)
		return;
	if (count >= feed->reported_count) {
		if (count > feed->reported_count)
			report_count(feed, count);
		feed->shrink_due_us = 0;
		return;
	}
	if (!feed->shrink_due_us)
		feed->shrink_due_us = feed->now_us + SHRINK_DELAY_US;
	else if (feed->now_us >= feed->shrink_due_us)
		report_count(feed, count);
}
