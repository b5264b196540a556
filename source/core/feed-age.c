/*
 * feed-age.c - up to when all changes of the store are known.
 *
 * An open watch that reports nothing shows nothing: its connection may be cut
 * off, or the reply may be on its way.  Only a reply does, and only for the time
 * before the source sent it.  A reply without changes to a watch that waited to
 * its end was sent no earlier than that; any other reply may have been sent as
 * soon as the call was.  A peer's reply holds up to the time that the peer
 * states, so the bound covers every source on the way to the store.
 */
#include "core/feed-private.h"

/*
 * Delay of the next watch after changes, as a fraction of the staleness bound,
 * so that a burst of changes costs one watch instead of one each.  Each change
 * wakes every watch, so the delay grows with the number of watchers, up to
 * 1/MAX_MERGE_DIVISOR.
 */
#define MERGE_DIVISOR 8
#define WATCHERS_PER_MERGE_STEP 9
#define MAX_MERGE_DIVISOR 3
/*
 * A watch that nothing has confirmed for this fraction of the staleness bound is
 * opened again.
 */
#define UNCONFIRMED_FRACTION (7 / 12.0)
/*
 * A watcher of the store serves changes until its knowledge is older than this
 * fraction of the staleness bound.
 */
#define SERVED_FRACTION (3 / 4.0)
/* Its peers find another source within this fraction. */
#define FAILOVER_FRACTION (1 / 8.0)

static int64_t fraction_of(int64_t bound_us, double fraction)
{
	return (int64_t)(fraction * (double)bound_us);
}

int64_t rr_watcher_delay_us(const struct rr_feed *feed)
{
	int64_t steps = MAX(1, rr_count_watchers(feed->sources) /
				       WATCHERS_PER_MERGE_STEP);
	int64_t bound_us = rr_max_staleness_us(feed);

	return MIN(steps * bound_us / MERGE_DIVISOR,
		   bound_us / MAX_MERGE_DIVISOR);
}

int64_t rr_feed_age_us(const struct rr_feed *feed, int64_t now_us)
{
#ifdef RR_MUTANT_FEED_TRUSTS_OPEN_WATCH
	if (!feed->read_peer && feed->reading.call_id)
		return 0;
#endif
	return MAX(now_us - feed->complete_us, 0);
}

int64_t rr_feed_change_age_us(const struct rr_feed *feed)
{
	return feed->change_age_us;
}

int64_t rr_longest_change_age_us(uint32_t max_staleness_ms)
{
	int64_t bound_us = (int64_t)max_staleness_ms * 1000;
	int64_t silent_us = bound_us / MAX_MERGE_DIVISOR +
			    bound_us / STORE_FALLBACK_DIVISOR;

	return MAX(silent_us,
		   fraction_of(bound_us, SERVED_FRACTION + FAILOVER_FRACTION));
}

void rr_set_change_age(struct rr_feed *feed)
{
#ifdef RR_MUTANT_FEED_FORGETS_AGE
	feed->change_age_us = 0;
	return;
#endif
	/* Entries that expired while the store was away were not removed. */
	if (feed->store_read_failed || !feed->store_reachable)
		feed->change_age_us = 0;
	else
		feed->change_age_us = rr_feed_age_us(feed, feed->now_us);
}

/* Return the earliest time at which the source may have sent the reply. */
static int64_t earliest_reply_us(const struct rr_feed *feed,
				 const struct rr_feed_reply *reply)
{
	int64_t wait_end_us = feed->reading.started_us +
			      (int64_t)feed->reading.wait_ms * 1000;

	if (feed->range_active)
		return feed->range_started_us;
	if ((reply->items && reply->items->len) || feed->now_us < wait_end_us)
		return feed->reading.started_us;
	return wait_end_us;
}

void rr_update_complete_time(struct rr_feed *feed,
			     const struct rr_feed_reply *reply)
{
	int64_t lag_us = 0;

	if ((feed->range_active && reply->more) || feed->read_is_stale)
		return;
	if (feed->read_peer)
		lag_us = MAX(reply->age_us, rr_watcher_delay_us(feed));
	feed->complete_us =
		MAX(feed->complete_us, earliest_reply_us(feed, reply) - lag_us);
}

void rr_confirm_complete_time(struct rr_feed *feed,
			      const struct rr_feed_reply *reply)
{
	int64_t confirmed_us = feed->checking.started_us - reply->age_us;

	if (confirmed_us <= feed->complete_us)
		return;
	feed->complete_us = confirmed_us;
	feed->is_unconfirmed = false;
}

int64_t rr_feed_unconfirmed_us(const struct rr_feed *feed)
{
	return MAX(feed->reading.started_us, feed->complete_us) +
	       fraction_of(rr_max_staleness_us(feed), UNCONFIRMED_FRACTION);
}

int64_t rr_feed_serve_end_us(const struct rr_feed *feed)
{
#ifdef RR_MUTANT_FEED_SERVES_UNPROVEN
	return INT64_MAX;
#endif
	if (feed->read_peer)
		return INT64_MAX;
	return feed->complete_us +
	       fraction_of(rr_max_staleness_us(feed), SERVED_FRACTION);
}
