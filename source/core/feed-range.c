/*
 * feed-range.c - reading everything: at the start, and where the changes since
 * then are no longer kept.
 */
#include "core/feed-private.h"

#include <string.h>

#include "ragwort/log.h"

/*
 * An instance that knows of nobody else looks again after a part of this: the
 * weaker it is, the later, so that a few strong ones are entered by then and
 * the others need no call of their own.
 */
#define ALONE_US (4 * G_USEC_PER_SEC)
/* The least part of it that is waited; the rest is drawn. */
#define ALONE_LEAST_PART 0.6

void rr_start_feed_range(struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer known;

	feed->range_active = true;
	g_clear_pointer(&feed->after_key, g_free);
	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &known))
		((struct rr_feed_key_state *)known)->seen = false;
}

/* Whether no other instance has an entry. */
static bool knows_nobody(const struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_key_state *known = value;

		if (known->kind == RR_FEED_INSTANCE &&
		    strcmp(known->id, feed->self->id))
			return false;
	}
	return true;
}

/*
 * Guards against a first start of all, in which each would take itself for
 * the first of its zone, watch the store and enter itself by calls of its own.
 */
static void wait_for_others(struct rr_context *ctx, struct rr_feed *feed)
{
	double drawn =
		ALONE_LEAST_PART + (1 - ALONE_LEAST_PART) * rr_random_unit(ctx);
	double weakness = 1 - MIN(feed->self->strength, 1);

	feed->found_no_peers = true;
	feed->peer_recheck_us = feed->now_us + (int64_t)(weakness * weakness *
							 drawn * ALONE_US);
	/* The others are entered after it has looked again. */
	feed->count_due_us = rr_initial_count_due_us(feed->peer_recheck_us);
	rr_start_feed_range(feed);
	feed->reading.due_us = feed->peer_recheck_us;
}

/* Who was alone has looked for others twice. */
static void stop_waiting(struct rr_feed *feed)
{
	if (feed->found_no_peers)
		rr_enable_peer_sources(feed->sources);
	feed->found_no_peers = false;
	feed->peer_recheck_us = 0;
}

static void end_range(struct rr_context *ctx, struct rr_feed *feed)
{
	rr_remove_unseen_keys(feed);
	g_clear_pointer(&feed->after_key, g_free);
	feed->range_active = false;
	feed->range_from_peer = false;
	feed->revision = feed->range_revision;
	rr_start_change_log(feed->change_log, feed->revision);
	feed->reading.due_us = feed->now_us;
	rr_log(ctx, RR_LOG_INFO, "store-read",
	       RR_FIELD_U64("revision", feed->revision),
	       RR_FIELD_U64("items", g_hash_table_size(feed->keys)));
	feed->has_synced = true;
	if (!feed->found_no_peers && !feed->read_peer && knows_nobody(feed))
		wait_for_others(ctx, feed);
	else
		stop_waiting(feed);
}

void rr_handle_feed_page(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply)
{
	const struct rr_feed_item *last = NULL;

	/* Old copies of different age may give the pages. */
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
	end_range(ctx, feed);
}

/* Go on with what is known: its changes may be had elsewhere. */
static void leave_range(struct rr_feed *feed)
{
	feed->range_active = false;
	feed->range_from_peer = false;
	g_clear_pointer(&feed->after_key, g_free);
}

void rr_handle_feed_range_failure(struct rr_context *ctx, struct rr_feed *feed)
{
	bool store = !feed->read_peer;

	if (feed->has_synced &&
	    (feed->range_from_peer || feed->found_no_peers)) {
		leave_range(feed);
		stop_waiting(feed);
	} else {
		/* Pages belong together: from the first one again. */
		rr_start_feed_range(feed);
	}
	if (store)
		rr_set_store_reachable(ctx, feed, false);
}
