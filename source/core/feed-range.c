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

	feed->ranging = true;
	g_clear_pointer(&feed->after_key, g_free);
	g_hash_table_iter_init(&iter, feed->known);
	while (g_hash_table_iter_next(&iter, NULL, &known))
		((struct rr_feed_known *)known)->seen = false;
}

/* Whether no other instance has an entry. */
static bool knows_nobody(const struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_known *known = value;

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

	feed->was_alone = true;
	feed->alone_until_us = feed->now_us + (int64_t)(weakness * weakness *
							drawn * ALONE_US);
	/* The others are entered after it has looked again. */
	feed->count_from_us = rr_first_count_us(feed->alone_until_us);
	rr_start_feed_range(feed);
	feed->reading.due_us = feed->alone_until_us;
}

/* Who was alone has looked for others twice. */
static void stop_waiting(struct rr_feed *feed)
{
	if (feed->was_alone)
		rr_allow_following(feed->sources);
	feed->was_alone = false;
	feed->alone_until_us = 0;
}

static void end_range(struct rr_context *ctx, struct rr_feed *feed)
{
	rr_forget_unseen(feed);
	g_clear_pointer(&feed->after_key, g_free);
	feed->ranging = false;
	feed->from_asked = false;
	feed->revision = feed->range_revision;
	rr_begin_news(feed->news, feed->revision);
	feed->reading.due_us = feed->now_us;
	rr_log(ctx, RR_LOG_INFO, "store-read",
	       RR_FIELD_U64("revision", feed->revision),
	       RR_FIELD_U64("items", g_hash_table_size(feed->known)));
	feed->has_read = true;
	if (!feed->was_alone && !feed->asked && knows_nobody(feed))
		wait_for_others(ctx, feed);
	else
		stop_waiting(feed);
}

void rr_take_feed_page(struct rr_context *ctx, struct rr_feed *feed,
		       const struct rr_feed_reply *reply)
{
	const struct rr_feed_item *last = NULL;

	/* Old copies of different age may give the pages. */
	feed->range_revision =
		feed->after_key ? MIN(feed->range_revision, reply->revision) :
				  reply->revision;
	for (guint i = 0; reply->items && i < reply->items->len; i++) {
		last = g_ptr_array_index(reply->items, i);
		rr_take_feed_item(ctx, feed, last);
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
	feed->ranging = false;
	feed->from_asked = false;
	g_clear_pointer(&feed->after_key, g_free);
}

void rr_take_failed_feed_range(struct rr_context *ctx, struct rr_feed *feed)
{
	bool store = !feed->asked;

	if (feed->has_read && (feed->from_asked || feed->was_alone)) {
		leave_range(feed);
		stop_waiting(feed);
	} else {
		/* Pages belong together: from the first one again. */
		rr_start_feed_range(feed);
	}
	if (store)
		rr_note_feed_reached(ctx, feed, false);
}
