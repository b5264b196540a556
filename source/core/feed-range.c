/*
 * feed-range.c - range reads of all items, at the start and after a compaction.
 */
#include "core/feed-private.h"

#include <string.h>

#include "ragwort/log.h"

/*
 * Longest delay before an instance that found no peers reads again.  The delay
 * is shorter for instances with a larger share of a core: these register first,
 * and the weaker ones then need no store calls of their own.
 */
#define PEER_RECHECK_DELAY_US (4 * G_USEC_PER_SEC)
/* The delay is multiplied by a random factor between this and 1. */
#define MIN_PEER_RECHECK_FRACTION 0.6

void rr_start_feed_range(struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer state;

	feed->range_active = true;
	g_clear_pointer(&feed->after_key, g_free);
	rr_start_held_range(feed);
	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &state))
		((struct rr_feed_key_state *)state)->seen = false;
}

/* Whether there is no entry of another instance. */
static bool has_no_peers(const struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_key_state *state = value;

		if (state->kind == RR_FEED_INSTANCE &&
		    strcmp(state->id, feed->self->id))
			return false;
	}
	return true;
}

/*
 * Postpone peer reads and registration, and schedule another read of all items.
 * Guards against a simultaneous first start of all instances: each would see no
 * other entry, rank itself first in its zone, watch the store and register
 * itself by its own calls.
 */
static void schedule_peer_recheck(struct rr_context *ctx, struct rr_feed *feed)
{
	double fraction = MIN_PEER_RECHECK_FRACTION +
			  (1 - MIN_PEER_RECHECK_FRACTION) * rr_random_unit(ctx);
	double missing_core_share = 1 - MIN(feed->self->strength, 1);

	feed->found_no_peers = true;
	feed->peer_recheck_us =
		feed->now_us +
		(int64_t)(missing_core_share * missing_core_share * fraction *
			  PEER_RECHECK_DELAY_US);
	/* The other instances register after this one has read again. */
	feed->count_due_us = rr_initial_count_due_us(feed->peer_recheck_us);
	rr_start_feed_range(feed);
	feed->reading.due_us = feed->peer_recheck_us;
}

/* The second read is done, whether or not it found peers. */
static void end_peer_recheck(struct rr_feed *feed)
{
	if (feed->found_no_peers)
		rr_enable_peer_sources(feed->sources);
	feed->found_no_peers = false;
	feed->peer_recheck_us = 0;
}

static void finish_range(struct rr_context *ctx, struct rr_feed *feed)
{
	uint32_t n_missing = rr_handle_unseen_keys(feed);
	bool was_verifying = rr_is_verifying_feed(feed);

	rr_drop_unseen_held_items(feed);
	g_clear_pointer(&feed->after_key, g_free);
	feed->range_active = false;
	feed->range_from_peer = false;
	feed->revision = feed->range_revision;
	rr_start_change_log(feed->change_log, feed->revision);
	feed->reading.due_us = feed->now_us;
	rr_log(ctx, RR_LOG_INFO, "store-read", RR_FIELD_U64("era", feed->era),
	       RR_FIELD_U64("revision", feed->revision),
	       RR_FIELD_U64("items", g_hash_table_size(feed->keys)),
	       RR_FIELD_U64("missing", n_missing));
	feed->has_synced = true;
	rr_end_feed_verification(feed);
#ifndef RR_MUTANT_FEED_TRUSTS_STALE_COPY
	feed->is_unverified = feed->read_is_stale;
#endif
	if (feed->restore.reading)
		rr_finish_feed_reread(ctx, feed);
	if (!feed->found_no_peers && !was_verifying && !feed->read_peer &&
	    has_no_peers(feed))
		schedule_peer_recheck(ctx, feed);
	else
		end_peer_recheck(feed);
	if (feed->is_unverified && !feed->found_no_peers)
		rr_start_feed_verification(feed);
}

void rr_handle_feed_page(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply)
{
	struct rr_feed_item *last = NULL;

	/* Pages may come from stale copies of different age. */
	feed->range_revision =
		feed->after_key ? MIN(feed->range_revision, reply->revision) :
				  reply->revision;
	for (guint i = 0; reply->items && i < reply->items->len; i++) {
		last = g_ptr_array_index(reply->items, i);
		rr_apply_feed_item(ctx, feed, last);
	}
	if (reply->more && last) {
		g_free(feed->after_key);
		feed->after_key = g_strdup(last->key);
		feed->reading.due_us = feed->now_us;
		return;
	}
	finish_range(ctx, feed);
}

/*
 * Abandon the range and continue with the known items: their changes may be
 * available from another source.
 */
static void abandon_range(struct rr_feed *feed)
{
	feed->range_active = false;
	feed->range_from_peer = false;
	g_clear_pointer(&feed->after_key, g_free);
}

void rr_handle_feed_range_failure(struct rr_context *ctx, struct rr_feed *feed)
{
	bool from_store = !feed->read_peer;

	if (feed->restore.reading) {
		/* The known items are of an earlier era: continue nowhere. */
		feed->range_from_peer = false;
		end_peer_recheck(feed);
		rr_start_feed_range(feed);
	} else if (feed->has_synced && !rr_is_verifying_feed(feed) &&
		   (feed->range_from_peer || feed->found_no_peers)) {
		abandon_range(feed);
		end_peer_recheck(feed);
		if (feed->is_unverified)
			rr_start_feed_verification(feed);
	} else {
		/*
		 * Pages are only consistent together: restart from the first.
		 */
#ifndef RR_MUTANT_FEED_KEEPS_PARTIAL_COPY
		if (feed->read_is_stale)
			rr_forget_feed_revisions(feed);
#endif
		rr_start_feed_range(feed);
	}
	if (from_store)
		rr_set_store_reachable(ctx, feed, false);
}
