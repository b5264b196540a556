/*
 * feed-check.c - comparison of an open watch with what another zone knows.
 *
 * A watch that receives nothing looks like one without changes, whatever made it
 * so.  The watches of one zone are short; while an instance of another zone waits
 * for the store, it asks a watcher of that reference zone for changes that its
 * own watch has not reported, or those of other zones in turn if it gets no
 * reply.  A watch that the reference zone has not confirmed for a while is opened
 * again.
 */
#include "core/feed-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * Period of the comparison, as a fraction of the staleness bound; the rest is
 * left for a reply that the reference zone's watch has lost.
 */
#define CHECK_PERIOD_DIVISOR 6

/* Whether this instance waits for changes from the store. */
static bool is_watching_store(const struct rr_feed *feed)
{
	return feed->reading.call_id && !feed->read_peer &&
	       feed->reading.kind == RR_FEED_WATCH;
}

/*
 * Whether changes are read from the store, also between two watches: the
 * comparison shows up to when all are known.
 */
static bool follows_store(const struct rr_feed *feed)
{
	return is_watching_store(feed) ||
	       (!feed->read_peer && !feed->range_active && feed->last_read_ok);
}

static int64_t check_period_us(const struct rr_feed *feed)
{
	return rr_max_staleness_us(feed) / CHECK_PERIOD_DIVISOR;
}

static int64_t next_check_due_us(const struct rr_feed *feed)
{
#if defined(RR_MUTANT_FEED_CHECKS_NOTHING) || \
	defined(RR_MUTANT_FEED_IGNORES_DISCONNECT)
	return INT64_MAX;
#endif
	int64_t last_us = feed->checking.started_us;

	if (feed->checking.call_id || !follows_store(feed))
		return INT64_MAX;
	if (!feed->last_read_ok)
		last_us = MAX(last_us, feed->reading.started_us);
	return last_us + check_period_us(feed);
}

static int64_t unconfirmed_until_us(const struct rr_feed *feed)
{
#if defined(RR_MUTANT_FEED_NEEDS_NO_CONFIRMATION) || \
	defined(RR_MUTANT_FEED_CHECKS_NOTHING) ||    \
	defined(RR_MUTANT_FEED_IGNORES_DISCONNECT)
	return INT64_MAX;
#endif
	return rr_feed_unconfirmed_us(feed);
}

/*
 * Guards against a watch that receives nothing at an instance that is cut off
 * from the other zones, but not from the store.
 */
static void reopen_unconfirmed_watch(struct rr_context *ctx,
				     struct rr_feed *feed)
{
	if (!is_watching_store(feed) ||
	    feed->now_us < unconfirmed_until_us(feed))
		return;
	rr_log(ctx, RR_LOG_INFO, "watch-unconfirmed",
	       RR_FIELD_U64("known", feed->revision),
	       RR_FIELD_I64("watch_us",
			    feed->now_us - feed->reading.started_us));
	feed->is_unconfirmed = true;
	rr_restart_feed_read(feed);
	rr_start_feed_read(ctx, feed);
}

void rr_tick_feed_check(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_call call = {
		.kind = RR_FEED_CHECK,
		.after_revision = feed->revision,
		.era = feed->era,
	};
	const char *reference;

	reopen_unconfirmed_watch(ctx, feed);
	if (feed->now_us < next_check_due_us(feed))
		return;
	reference = rr_find_reference_watcher(feed->sources);
	feed->checks_reference = reference && !feed->checking_failed;
	call.peer = feed->checks_reference ?
			    reference :
			    rr_find_remote_watcher(feed->sources,
						   feed->check_turn++);
	feed->checking_failed = false;
	if (call.peer)
		rr_start_feed_call(ctx, feed, &feed->checking, &call);
	else
		feed->checking.started_us = feed->now_us;
}

int64_t rr_feed_check_wake_us(const struct rr_feed *feed)
{
	if (!is_watching_store(feed))
		return next_check_due_us(feed);
	return MIN(next_check_due_us(feed), unconfirmed_until_us(feed));
}

/* Whether there was no reply, or one of an instance that is an era behind. */
static bool is_unusable(const struct rr_feed *feed,
			const struct rr_feed_reply *reply)
{
	return reply->status == RR_FEED_FAILED ||
	       rr_match_feed_era(feed, reply, true) == RR_ERA_EARLIER;
}

/* Whether the reply has changes that this instance does not know. */
static bool has_unknown_changes(const struct rr_feed *feed,
				const struct rr_feed_reply *reply)
{
	switch (rr_match_feed_era(feed, reply, true)) {
	case RR_ERA_EARLIER:
		return false;
	case RR_ERA_LATER:
		return true;
	case RR_ERA_SAME:
		return reply->status == RR_FEED_COMPACTED ||
		       (reply->status == RR_FEED_OK && reply->items &&
			reply->items->len && reply->revision > feed->revision);
	}
	return false;
}

void rr_handle_feed_check_reply(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply)
{
	feed->checking.call_id = 0;
	feed->checking_failed =
		feed->checks_reference && is_unusable(feed, reply);
	if (!has_unknown_changes(feed, reply)) {
		if (!is_unusable(feed, reply))
			rr_confirm_complete_time(feed, reply);
		return;
	}
	/* A watch that was just opened may still report them. */
	if (!is_watching_store(feed) ||
	    feed->checking.started_us - feed->reading.started_us <
		    check_period_us(feed))
		return;
	rr_count(ctx, RR_N_WATCHES_BEHIND, 1);
	rr_log(ctx, RR_LOG_WARNING, "watch-behind",
	       RR_FIELD_U64("revision", reply->revision),
	       RR_FIELD_U64("known", feed->revision),
	       RR_FIELD_U64("era", reply->era),
	       RR_FIELD_I64("watch_us",
			    feed->now_us - feed->reading.started_us));
	feed->needs_short_watch = true;
	rr_restart_feed_read(feed);
}
