/*
 * feed-read.c - reads of the store's items, from the store or from a peer: a
 * range at first (feed-range.c), then watches.
 */
#include "core/feed-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * Wait time of a watch.  Each watch is billed, so it is as long as the platform
 * allows, less a small margin.
 */
#define WATCH_MS 25000
/*
 * Wait time of the first watch after a failed or another read: the period
 * during which a store that compacts its history may leave watches without any
 * reply.
 */
#define SHORT_WATCH_MS 1000
/*
 * Wait time of the watch that those of other zones are compared with, as a
 * fraction of the staleness bound; the rest is left for a reply that is lost and
 * for the comparison.
 */
#define REFERENCE_WATCH_DIVISOR 4
/*
 * A peer answers a watch within this fraction of the staleness bound, which
 * leaves the rest for asking the store.
 */
#define PEER_WAIT_DIVISOR 4
/*
 * A reply with this many changes may be truncated, so the next watch is not
 * delayed.  Far more than are collected during one delay in normal operation,
 * far fewer than a truncated reply has.
 */
#define BACKLOG_CHANGES 64

/*
 * Whether only replies of the store show that a watch receives all changes: in
 * the zone that others are compared with, or while no other zone replies.
 */
static bool must_prove_watch(struct rr_feed *feed)
{
#ifdef RR_MUTANT_FEED_REFERENCE_WATCH_LONG
	return false;
#endif
	return feed->is_unconfirmed ||
	       !rr_find_reference_watcher(feed->sources);
}

/*
 * Return the wait time of the next watch.  A watch that is opened while the
 * store compacts its history may receive nothing until it ends, although
 * renewals are answered.  Hence a long watch only follows a watch of the store
 * that was answered.  A watch that has to be proved returns at once if the last
 * proof is too old.
 */
static uint32_t next_watch_ms(struct rr_feed *feed, bool peer)
{
	uint32_t reference_ms =
		feed->max_staleness_ms / REFERENCE_WATCH_DIVISOR;

	/*
	 * After a failed read, the next peer must answer at once whether it can
	 * serve changes.
	 */
	if (peer && !feed->last_read_ok)
		return 0;
	/*
	 * An instance that normally reads from peers would not notice that its
	 * own watch receives nothing, so the watch is short.
	 */
	if (peer || rr_prefers_peer_source(feed->sources))
		return feed->max_staleness_ms / PEER_WAIT_DIVISOR;
#ifndef RR_MUTANT_FEED_LONG_WATCH
	if (feed->needs_short_watch)
		return SHORT_WATCH_MS;
#endif
	if (!must_prove_watch(feed))
		return WATCH_MS;
	if (feed->now_us - feed->complete_us >= (int64_t)reference_ms * 1000)
		return 0;
	return MIN(WATCH_MS, reference_ms);
}

/* Time without any reply after which the store is asked. */
static int64_t store_fallback_us(const struct rr_feed *feed)
{
	return rr_max_staleness_us(feed) / STORE_FALLBACK_DIVISOR;
}

/* Return the source to read from next; NULL: none now, until *due_us. */
static const char *pick_source(struct rr_feed *feed, int64_t *due_us)
{
	int64_t fallback_us = feed->last_read_us + store_fallback_us(feed);
	enum rr_read_purpose purpose = rr_is_verifying_feed(feed) ?
					       RR_READ_VERIFY :
				       feed->range_active ? RR_READ_RANGE :
							    RR_READ_CHANGES;
	const char *source;

	if (feed->range_active && feed->range_from_peer)
		return feed->read_peer;
	/* Pages are only consistent together. */
	if (feed->range_active && feed->after_key)
		return feed->read_peer ? feed->read_peer : "";
	/*
	 * Guards against several frozen peers that come before the store:
	 * waiting for each of them would exceed the staleness bound.
	 */
	if (feed->now_us >= fallback_us &&
	    rr_may_ask_store(feed->sources, feed->now_us))
		return "";
	source = rr_pick_source(feed->sources, feed->now_us, purpose, due_us);
	if (!source && feed->now_us < fallback_us)
		*due_us = MIN(*due_us, fallback_us);
	return source;
}

void rr_start_feed_read(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_call call = { .kind = RR_FEED_WATCH };
	char *source = g_strdup(pick_source(feed, &feed->reading.due_us));

	if (!source)
		return;
	g_free(feed->read_peer);
	call.peer = feed->read_peer = *source ? g_strdup(source) : NULL;
	g_free(source);
	if (feed->range_active) {
		if (!feed->after_key)
			feed->range_started_us = feed->now_us;
		call.kind = RR_FEED_RANGE;
		call.after_key = feed->after_key;
		/*
		 * The first range may be stale, and so may the one that is read
		 * again because the first found no peers: all items are read
		 * once more before any change of them is.  Any other stale
		 * range would remove items added after the copy was made, and
		 * after a restore the copy may be of an earlier era.
		 */
		call.allow_stale =
			(!feed->has_synced || feed->found_no_peers) &&
			!feed->restore.was_restored && !call.peer;
	} else {
		call.after_revision = feed->revision;
		call.era = feed->era;
		call.wait_ms = next_watch_ms(feed, call.peer != NULL);
	}
	feed->read_is_stale = call.allow_stale;
	rr_start_feed_call(ctx, feed, &feed->reading, &call);
}

/*
 * Return the delay of the next watch after a reply of `n` changes.  None after
 * a long reply, which the store may have truncated: the changes that follow are
 * already late.
 */
static int64_t merge_delay_us(const struct rr_feed *feed, guint n)
{
	/* The peer has already merged its changes. */
	if (n >= BACKLOG_CHANGES || feed->read_peer)
		return 0;
	return rr_watcher_delay_us(feed);
}

static void apply_changes(struct rr_context *ctx, struct rr_feed *feed,
			  const struct rr_feed_reply *reply)
{
	bool has_changes = reply->items && reply->items->len;

	for (guint i = 0; has_changes && i < reply->items->len; i++)
		rr_apply_feed_item(ctx, feed,
				   g_ptr_array_index(reply->items, i));
	feed->revision = MAX(feed->revision, reply->revision);
	feed->reading.due_us =
		feed->now_us +
		(has_changes ? merge_delay_us(feed, reply->items->len) : 0);
}

/*
 * Whether the reply is a range from a lagging peer or a stale copy of the
 * store, which would revert known changes.
 */
static bool is_behind(const struct rr_feed *feed,
		      const struct rr_feed_reply *reply)
{
#ifdef RR_MUTANT_FEED_OLDER_COPY
	return false;
#endif
	return feed->range_active && reply->revision < feed->revision;
}

/*
 * Whether a read shows that the store was restored although it states no later
 * era: the store itself never goes back otherwise.
 */
static bool shows_restore(const struct rr_feed *feed,
			  const struct rr_feed_reply *reply)
{
	return reply->status == RR_FEED_OK && is_behind(feed, reply) &&
	       !feed->read_peer && !feed->read_is_stale && !feed->after_key;
}

/* Log how many items of a reply were older than the known ones. */
static void log_outdated_items(struct rr_context *ctx, struct rr_feed *feed,
			       const struct rr_feed_reply *reply)
{
	if (!feed->n_outdated)
		return;
	rr_count(ctx, RR_N_STORE_ITEMS_OUTDATED, feed->n_outdated);
	rr_log(ctx, RR_LOG_INFO, "items-outdated",
	       RR_FIELD_STRING("from",
			       feed->read_peer ? feed->read_peer : "store"),
	       RR_FIELD_U64("items", feed->n_outdated),
	       RR_FIELD_U64("revision", reply->revision),
	       RR_FIELD_U64("known", feed->revision));
	feed->n_outdated = 0;
}

/*
 * Whether the next watch of the store is the first one after another read.  A
 * range may be of a stale copy, and a peer's reply says nothing of the store:
 * it may have compacted its history in the meantime.
 */
static bool is_first_watch_next(const struct rr_feed *feed)
{
#ifdef RR_MUTANT_FEED_FIRST_WATCH_LONG
	return false;
#endif
	return feed->read_peer || feed->range_active;
}

static void handle_read_success(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply)
{
	rr_mark_source_healthy(feed->sources,
			       feed->read_peer ? feed->read_peer : "");
	feed->last_read_ok = true;
	feed->last_read_us = feed->now_us;
	rr_set_change_age(feed);
	feed->store_read_failed = false;
	feed->needs_short_watch = is_first_watch_next(feed);
	rr_update_complete_time(feed, reply);
	if (!feed->read_peer)
		rr_set_store_reachable(ctx, feed, true);
	if (feed->range_active)
		rr_handle_feed_page(ctx, feed, reply);
	else
		apply_changes(ctx, feed, reply);
	feed->change_age_us = 0;
	log_outdated_items(ctx, feed, reply);
	rr_update_instance_count(feed);
}

static void log_read_failure(struct rr_context *ctx, const struct rr_feed *feed,
			     const struct rr_feed_reply *reply)
{
	const char *reason =
		reply->status == RR_FEED_COMPACTED   ? "history-forgotten" :
		reply->status == RR_FEED_OK	     ? "older-than-known" :
		reply->era && reply->era < feed->era ? "earlier-era" :
						       "no-answer";

	rr_count(ctx, RR_N_STORE_FAILURES, 1);
	rr_log(ctx, RR_LOG_INFO, "read-failed",
	       RR_FIELD_STRING("reason", reason),
	       RR_FIELD_STRING("from",
			       feed->read_peer ? feed->read_peer : "store"),
	       RR_FIELD_BOOL("range", feed->range_active),
	       RR_FIELD_U64("revision", feed->revision));
}

static void handle_read_reply(struct rr_context *ctx, struct rr_feed *feed,
			      const struct rr_feed_reply *reply)
{
	bool compacted = reply->status == RR_FEED_COMPACTED;

	feed->reading.call_id = 0;
	feed->reading.due_us = feed->now_us;
	if (reply->status == RR_FEED_OK && !is_behind(feed, reply)) {
		handle_read_success(ctx, feed, reply);
		return;
	}
	if (rr_feed_can_serve_changes(feed))
		feed->last_serving_us = feed->now_us;
	feed->last_read_ok = false;
	feed->store_read_failed |= !feed->read_peer && !compacted;
	feed->needs_short_watch = true;
	log_read_failure(ctx, feed, reply);
	/* A source that has compacted the changes still has all items. */
	if (compacted) {
		rr_start_feed_range(feed);
		feed->range_from_peer = feed->read_peer != NULL;
		return;
	}
	rr_mark_source_failed(ctx, feed->sources,
			      feed->read_peer ? feed->read_peer : "",
			      feed->now_us);
	if (feed->range_active)
		rr_handle_feed_range_failure(ctx, feed);
}

/*
 * Handle a reply of a later era.  The first page of a range in that era is used;
 * of any other reply only the era is.
 */
static void handle_later_era(struct rr_context *ctx, struct rr_feed *feed,
			     const struct rr_feed_reply *reply)
{
	bool is_first_page = feed->range_active && !feed->after_key &&
			     reply->status == RR_FEED_OK;

	feed->reading.call_id = 0;
	rr_begin_feed_era(ctx, feed, reply, feed->read_peer != NULL);
	if (is_first_page)
		handle_read_success(ctx, feed, reply);
}

void rr_handle_feed_read(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply)
{
	struct rr_feed_reply unusable = *reply;

	switch (rr_match_feed_era(feed, reply, feed->read_peer != NULL)) {
	case RR_ERA_EARLIER:
		unusable.status = RR_FEED_FAILED;
		handle_read_reply(ctx, feed, &unusable);
		return;
	case RR_ERA_LATER:
		handle_later_era(ctx, feed, reply);
		return;
	case RR_ERA_SAME:
		if (shows_restore(feed, reply))
			handle_later_era(ctx, feed, reply);
		else
			handle_read_reply(ctx, feed, reply);
		return;
	}
}

void rr_restart_feed_read(struct rr_feed *feed)
{
	if (feed->reading.call_id)
		feed->actions.cancel(feed->actions.data, feed->reading.call_id);
	feed->reading.call_id = 0;
	feed->reading.due_us = feed->now_us;
}

void rr_switch_to_preferred_source(struct rr_feed *feed)
{
	int64_t due_us;
	const char *preferred;

	if (!feed->reading.call_id || feed->reading.kind != RR_FEED_WATCH)
		return;
	/* A watch that has just started is not worth cancelling. */
	if (feed->now_us - feed->reading.started_us <
	    rr_max_staleness_us(feed) / PEER_WAIT_DIVISOR)
		return;
	preferred = rr_pick_source(feed->sources, feed->now_us, RR_READ_CHANGES,
				   &due_us);
	if (preferred &&
	    strcmp(preferred, feed->read_peer ? feed->read_peer : ""))
		rr_restart_feed_read(feed);
}

void rr_feed_handle_disconnect(struct rr_feed *feed, int64_t now_us)
{
	feed->now_us = now_us;
#ifdef RR_MUTANT_FEED_IGNORES_DISCONNECT
	return;
#endif
	feed->needs_short_watch = true;
	if (!feed->read_peer && feed->reading.call_id &&
	    feed->reading.kind == RR_FEED_WATCH)
		rr_restart_feed_read(feed);
}
