/*
 * feed-verify.c - items of a stale copy of the store.
 *
 * A stale copy costs the store little, so an instance starts from one.  After a
 * restore of the store the copy may have content of the earlier era although it
 * states the new one, and its revisions then stand for other changes.  Nothing
 * in the copy shows that.  Hence its items only serve until all have been read
 * again, from a peer or, by the instances that watch the store, from the store;
 * changes are read after that, and peers are served.
 */
#include "core/feed-private.h"

void rr_start_feed_verification(struct rr_feed *feed)
{
	rr_drop_change_log(feed->unverified_log);
	feed->unverified_log = feed->change_log;
	feed->change_log = rr_new_change_log();
#ifndef RR_MUTANT_FEED_VERIFIES_BY_REVISION
	rr_forget_feed_revisions(feed);
#endif
	rr_start_feed_range(feed);
	feed->reading.due_us = feed->now_us;
}

bool rr_is_verifying_feed(const struct rr_feed *feed)
{
	return feed->unverified_log != NULL;
}

void rr_end_feed_verification(struct rr_feed *feed)
{
	feed->is_unverified = false;
	g_clear_pointer(&feed->unverified_log, rr_drop_change_log);
}
