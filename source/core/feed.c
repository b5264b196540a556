/*
 * feed.c - following the platform's store.
 *
 * Three activities run side by side: reads (a range, see feed-range.c, then
 * watches), registration (feed-entry.c) and the instance count (feed-count.c).
 * An unreachable store changes none of the known items.
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
 * Wait time of the first watch after a failed read: the period during which a
 * store that compacts its history may leave watches without any reply.
 */
#define SHORT_WATCH_MS 1000
/* Longer than a slow store takes, which is 60 times its usual 4 ms. */
#define CALL_TIMEOUT_MS 1500
/*
 * Divisors of the staleness bound: a peer answers a watch within
 * 1/PEER_WAIT_DIVISOR of it, and the call times out 1/PEER_TIMEOUT_DIVISOR
 * later, which leaves the rest for asking the store.
 */
#define PEER_WAIT_DIVISOR 4
#define PEER_TIMEOUT_DIVISOR 8
/*
 * The store is asked after this fraction of the staleness bound without a reply
 * from any source.
 */
#define STORE_FALLBACK_DIVISOR 2
/*
 * Peers that read from this instance are kept waiting for up to this fraction
 * of the staleness bound while it reconnects.
 */
#define SERVE_GRACE_DIVISOR 16
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
 * A reply with this many changes may be truncated, so the next watch is not
 * delayed.  Far more than are collected during one delay in normal operation,
 * far fewer than a truncated reply has.
 */
#define BACKLOG_CHANGES 64
/*
 * Maximum number of changes in one reply to a peer: a weak instance takes a few
 * milliseconds to apply them.
 */
#define MAX_SERVED_CHANGES 64
/*
 * First and longest backoff after a failure; randomised between half of it and
 * all of it.
 */
#define MIN_BACKOFF_US (200 * 1000)
#define MAX_BACKOFF_US (1500 * 1000)

static void free_key_state(gpointer data)
{
	struct rr_feed_key_state *state = data;

	g_free(state->id);
	g_free(state);
}

struct rr_feed *rr_new_feed(struct rr_context *ctx,
			    const struct rr_feed_options *options,
			    int64_t now_us)
{
	struct rr_feed *feed = g_new0(struct rr_feed, 1);

	feed->actions = options->actions;
	feed->max_staleness_ms = options->max_staleness_ms;
	feed->self = rr_copy_instance(&options->self);
	feed->registrations = rr_new_registrations();
	feed->report_queue = rr_new_report_queue();
	feed->sources = rr_new_sources(&options->self, options->seeds);
	feed->change_log = rr_new_change_log();
	feed->now_us = now_us;
	feed->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_key_state);
	feed->range_active = true;
	feed->reading.due_us = now_us;
	feed->last_read_us = now_us;
	feed->last_registered_us = now_us;
	feed->count_due_us = rr_initial_count_due_us(now_us);
	feed->store_reachable = true;
	rr_init_feed_restore(feed);
	return feed;
}

void rr_drop_feed(struct rr_feed *feed)
{
	if (!feed)
		return;
	g_hash_table_unref(feed->keys);
	rr_drop_sources(feed->sources);
	rr_drop_change_log(feed->change_log);
	rr_clear_feed_restore(feed);
	rr_drop_registrations(feed->registrations);
	rr_drop_report_queue(feed->report_queue);
	rr_free_instance(feed->self);
	g_free(feed->read_peer);
	g_free(feed->registrar);
	g_free(feed->after_key);
	g_free(feed);
}

static const char *const call_names[] = {
	[RR_FEED_RANGE] = "read",	   [RR_FEED_WATCH] = "watch",
	[RR_FEED_LEASE_GRANT] = "lease",   [RR_FEED_LEASE_RENEW] = "renewal",
	[RR_FEED_WRITE_ENTRIES] = "entry", [RR_FEED_LEASE_REVOKE] = "leave",
	[RR_FEED_REPORT] = "report",
};

static const enum rr_counter call_counters[] = {
	[RR_FEED_RANGE] = RR_N_STORE_READS,
	[RR_FEED_WATCH] = RR_N_STORE_WATCHES,
	[RR_FEED_LEASE_GRANT] = RR_N_STORE_LEASE_CHANGES,
	[RR_FEED_LEASE_RENEW] = RR_N_STORE_LEASE_RENEWALS,
	[RR_FEED_WRITE_ENTRIES] = RR_N_STORE_ENTRY_WRITES,
	[RR_FEED_LEASE_REVOKE] = RR_N_STORE_LEASE_CHANGES,
	[RR_FEED_REPORT] = RR_N_STORE_REPORT_WRITES,
};

static const char *const status_names[] = {
	[RR_FEED_OK] = "ok",
	[RR_FEED_COMPACTED] = "forgotten",
	[RR_FEED_NO_LEASE] = "no-lease",
	[RR_FEED_CONFLICT] = "conflict",
	[RR_FEED_FAILED] = "failed",
};

/*
 * Log failed calls, and all calls to the store except successful renewals,
 * which are not charged in full.  Successful renewals and replies of peers are
 * covered by counters.
 */
void rr_log_feed_call(struct rr_context *ctx, const struct rr_feed *feed,
		      const struct rr_feed_call_state *state, const char *peer,
		      const struct rr_feed_reply *reply)
{
	bool ok = reply->status == RR_FEED_OK;

	if (ok && (peer || state->kind == RR_FEED_LEASE_RENEW))
		return;
	rr_log(ctx, RR_LOG_INFO, "store-call",
	       RR_FIELD_STRING("kind", call_names[state->kind]),
	       RR_FIELD_STRING("from", peer ? peer : "store"),
	       RR_FIELD_STRING("outcome", status_names[reply->status]),
	       RR_FIELD_U64("code", reply->http_status),
	       RR_FIELD_I64("took_us", feed->now_us - state->started_us),
	       RR_FIELD_U64("items", reply->items ? reply->items->len : 0),
	       RR_FIELD_U64("era", reply->era),
	       RR_FIELD_U64("revision", reply->revision),
	       RR_FIELD_U64("known", feed->revision));
}

void rr_start_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_call_state *state,
			struct rr_feed_call *call)
{
	call->id = state->call_id = ++feed->last_call_id;
	state->kind = call->kind;
	state->started_us = feed->now_us;
	call->timeout_ms =
		call->wait_ms +
		(call->peer ? feed->max_staleness_ms / PEER_TIMEOUT_DIVISOR :
			      CALL_TIMEOUT_MS);
	if (call->peer) {
		rr_count(ctx, RR_N_PEER_FEED_CALLS, 1);
	} else {
		rr_count(ctx, RR_N_STORE_CALLS, 1);
		rr_count(ctx, call_counters[call->kind], 1);
	}
	feed->actions.call(feed->actions.data, call);
}

/*
 * Return the wait time of the next watch.  A watch that is opened while the
 * store compacts its history may receive nothing until it ends, although
 * renewals are answered.  Hence the first watch after a failure is short, and a
 * long one follows once it has been answered.
 */
static uint32_t next_watch_ms(struct rr_feed *feed, bool peer)
{
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
	return WATCH_MS;
}

static int64_t max_staleness_us(const struct rr_feed *feed)
{
	return (int64_t)feed->max_staleness_ms * 1000;
}

/* Time without any reply after which the store is asked. */
static int64_t store_fallback_us(const struct rr_feed *feed)
{
	return max_staleness_us(feed) / STORE_FALLBACK_DIVISOR;
}

/* Return the source to read from next; NULL: none now, until *due_us. */
static const char *pick_source(struct rr_feed *feed, int64_t *due_us)
{
	if (feed->range_active && feed->range_from_peer)
		return feed->read_peer;
	/*
	 * Guards against several frozen peers that come before the store:
	 * waiting for each of them would exceed the staleness bound.
	 */
	if (feed->now_us - feed->last_read_us >= store_fallback_us(feed) &&
	    rr_may_ask_store(feed->sources, feed->now_us))
		return "";
	return rr_pick_source(feed->sources, feed->now_us, feed->range_active,
			      due_us);
}

static void start_read(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_call call = { .kind = RR_FEED_WATCH };
	char *source = g_strdup(pick_source(feed, &feed->reading.due_us));

	if (!source)
		return;
	g_free(feed->read_peer);
	call.peer = feed->read_peer = *source ? g_strdup(source) : NULL;
	g_free(source);
	if (feed->range_active) {
		call.kind = RR_FEED_RANGE;
		call.after_key = feed->after_key;
		/*
		 * The first range may be stale: the watch that follows reports
		 * the changes it lacks.  So may the range that is read again
		 * because the one before found no peers: no watch runs between
		 * the two, so no newer changes are known.  Any other stale
		 * range would remove items added after the copy was made, and
		 * after a restore the copy may be of an earlier era.
		 */
		call.allow_stale =
			(!feed->has_synced || feed->found_no_peers) &&
			!feed->restore.was_restored;
	} else {
		call.after_revision = feed->revision;
		call.era = feed->era;
		call.wait_ms = next_watch_ms(feed, call.peer != NULL);
	}
	feed->read_is_stale = call.allow_stale;
	rr_start_feed_call(ctx, feed, &feed->reading, &call);
}

void rr_back_off_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			   struct rr_feed_call_state *state)
{
	state->backoff_us = state->backoff_us ?
				    MIN(2 * state->backoff_us, MAX_BACKOFF_US) :
				    MIN_BACKOFF_US;
	state->due_us =
		feed->now_us + (int64_t)((0.5 + 0.5 * rr_random_unit(ctx)) *
					 (double)state->backoff_us);
}

void rr_set_store_reachable(struct rr_context *ctx, struct rr_feed *feed,
			    bool reachable)
{
	if (feed->store_reachable == reachable)
		return;
	if (!reachable && rr_feed_can_serve_changes(feed))
		feed->last_serving_us = feed->now_us;
	feed->store_reachable = reachable;
	rr_log(ctx, RR_LOG_WARNING, reachable ? "store-regained" : "store-lost",
	       RR_FIELD_U64("revision", feed->revision));
}

/*
 * Return the delay of the next watch after a reply of `n` changes.  None after
 * a long reply, which the store may have truncated: the changes that follow are
 * already late.
 */
static int64_t merge_delay_us(const struct rr_feed *feed, guint n)
{
	int64_t steps = MAX(1, rr_count_watchers(feed->sources) /
				       WATCHERS_PER_MERGE_STEP);
	int64_t bound_us = max_staleness_us(feed);

	/* The peer has already merged its changes. */
	if (n >= BACKLOG_CHANGES || feed->read_peer)
		return 0;
	return MIN(steps * bound_us / MERGE_DIVISOR,
		   bound_us / MAX_MERGE_DIVISOR);
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

static void handle_read_success(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply)
{
	rr_mark_source_healthy(feed->sources,
			       feed->read_peer ? feed->read_peer : "");
	feed->last_read_ok = true;
	feed->last_read_us = feed->now_us;
	if (!feed->read_peer) {
		feed->needs_short_watch = false;
		rr_set_store_reachable(ctx, feed, true);
	}
	if (feed->range_active)
		rr_handle_feed_page(ctx, feed, reply);
	else
		apply_changes(ctx, feed, reply);
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

static void handle_read(struct rr_context *ctx, struct rr_feed *feed,
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

/*
 * Handle the reply to a registration call.  What a store of another era grants
 * or confirms is not valid in the known one.
 */
static void handle_entry_reply(struct rr_context *ctx, struct rr_feed *feed,
			       const struct rr_feed_reply *reply)
{
	struct rr_feed_reply unusable = *reply;

	feed->entry.call_id = 0;
	unusable.status = RR_FEED_FAILED;
	switch (feed->registrar ? RR_ERA_SAME :
				  rr_match_feed_era(feed, reply, false)) {
	case RR_ERA_EARLIER:
		rr_handle_feed_entry_reply(ctx, feed, &unusable);
		return;
	case RR_ERA_LATER:
		rr_begin_feed_era(ctx, feed, reply, false);
		return;
	case RR_ERA_SAME:
		rr_handle_feed_entry_reply(ctx, feed, reply);
		return;
	}
}

/* Handle the reply to a report in the same way. */
static void handle_report_reply(struct rr_context *ctx, struct rr_feed *feed,
				const struct rr_feed_reply *reply)
{
	enum rr_era_match match = rr_match_feed_era(feed, reply, false);
	struct rr_feed_reply unusable = *reply;

	unusable.status = RR_FEED_FAILED;
	if (match == RR_ERA_LATER)
		rr_begin_feed_era(ctx, feed, reply, false);
	rr_handle_report_reply(ctx, feed,
			       match == RR_ERA_SAME ? reply : &unusable);
}

void rr_restart_feed_read(struct rr_feed *feed)
{
	if (feed->reading.call_id)
		feed->actions.cancel(feed->actions.data, feed->reading.call_id);
	feed->reading.call_id = 0;
	feed->reading.due_us = feed->now_us;
}

/*
 * Cancel the current watch when a preferred source has appeared or recovered: a
 * peer instead of the store, or the store instead of a peer.
 */
static void switch_to_preferred(struct rr_feed *feed)
{
	int64_t due_us;
	const char *preferred;

	if (!feed->reading.call_id || feed->reading.kind != RR_FEED_WATCH)
		return;
	/* A watch that has just started is not worth cancelling. */
	if (feed->now_us - feed->reading.started_us <
	    max_staleness_us(feed) / PEER_WAIT_DIVISOR)
		return;
	preferred = rr_pick_source(feed->sources, feed->now_us, false, &due_us);
	if (preferred &&
	    strcmp(preferred, feed->read_peer ? feed->read_peer : ""))
		rr_restart_feed_read(feed);
}

void rr_end_watch_suspicion(struct rr_context *ctx, struct rr_feed *feed)
{
	rr_set_store_reachable(ctx, feed, true);
	rr_mark_source_healthy(feed->sources, "");
	if (!feed->watch_suspected)
		return;
	feed->watch_suspected = false;
	/*
	 * What the store did in the meantime is not known: see next_watch_ms().
	 */
	feed->needs_short_watch = true;
#ifdef RR_MUTANT_FEED_TRUSTS_WATCH
	return;
#endif
	if (!feed->read_peer &&
	    (!feed->reading.call_id || feed->reading.kind == RR_FEED_WATCH))
		rr_restart_feed_read(feed);
}

void rr_feed_reply(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us,
		   const struct rr_feed_reply *reply)
{
	feed->now_us = now_us;
	if (reply->call_id && reply->call_id == feed->reading.call_id) {
		rr_log_feed_call(ctx, feed, &feed->reading, feed->read_peer,
				 reply);
		handle_read(ctx, feed, reply);
	} else if (reply->call_id && reply->call_id == feed->entry.call_id) {
		rr_log_feed_call(ctx, feed, &feed->entry, feed->registrar,
				 reply);
		handle_entry_reply(ctx, feed, reply);
	} else {
		handle_report_reply(ctx, feed, reply);
	}
}

void rr_feed_tick(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us)
{
	feed->now_us = now_us;
	switch_to_preferred(feed);
	rr_tick_feed_restore(ctx, feed);
	if (!feed->reading.call_id && feed->reading.due_us <= now_us)
		start_read(ctx, feed);
	rr_update_instance_count(feed);
	rr_tick_feed_entry(ctx, feed);
	rr_tick_report_queue(ctx, feed);
}

int64_t rr_feed_wake_us(const struct rr_feed *feed)
{
	int64_t wake_us = INT64_MAX;

	if (!feed->reading.call_id)
		wake_us = feed->reading.due_us;
	wake_us = MIN(wake_us, rr_feed_entry_wake_us(feed));
	wake_us = MIN(wake_us, rr_report_queue_wake_us(feed));
	wake_us = MIN(wake_us, rr_feed_restore_wake_us(feed));
	if (feed->has_synced && !feed->reported_count)
		wake_us =
			MIN(wake_us, MAX(feed->count_due_us, feed->now_us + 1));
	if (feed->shrink_due_us)
		wake_us = MIN(wake_us, feed->shrink_due_us);
	return wake_us;
}

bool rr_feed_has_synced(const struct rr_feed *feed)
{
	return feed->has_synced;
}

bool rr_feed_is_store_reachable(const struct rr_feed *feed)
{
	return feed->store_reachable;
}

bool rr_feed_can_serve_changes(const struct rr_feed *feed)
{
#ifdef RR_MUTANT_FEED_PASSES_ON_HEARSAY
	return feed->has_synced;
#endif
	if (!feed->has_synced || feed->range_active || feed->leaving)
		return false;
	if (!feed->read_peer)
		return feed->store_reachable &&
		       (feed->last_read_ok ||
			!rr_prefers_peer_source(feed->sources));
	return feed->last_read_ok &&
	       rr_may_serve_changes_from(feed->sources, feed->read_peer);
}

/*
 * Guards against a store that rejects this instance: its children, their
 * children, and the standbys that are about to replace it would all be rejected
 * at the same moment, and each would call the store.
 */
int64_t rr_feed_serve_grace_end_us(const struct rr_feed *feed)
{
	int64_t grace_us = max_staleness_us(feed) / SERVE_GRACE_DIVISOR;

	if (!feed->last_serving_us || rr_feed_can_serve_changes(feed))
		return INT64_MAX;
	return feed->last_serving_us + grace_us;
}

bool rr_feed_is_in_serve_grace(const struct rr_feed *feed, int64_t now_us)
{
	int64_t until_us = rr_feed_serve_grace_end_us(feed);

#ifdef RR_MUTANT_FEED_REFUSES_AT_ONCE
	return false;
#endif
	return !feed->leaving && until_us != INT64_MAX && now_us < until_us;
}

bool rr_feed_can_serve_items(const struct rr_feed *feed)
{
	return feed->has_synced && !feed->restore.reading;
}

struct rr_store_cursor rr_feed_cursor(const struct rr_feed *feed)
{
	return (struct rr_store_cursor){ feed->era, feed->revision };
}

/*
 * Whether a position is of another era.  One without an era is of an instance
 * of an earlier version; it counts as known while no restore was seen.
 */
static bool is_of_other_era(const struct rr_feed *feed,
			    struct rr_store_cursor cursor)
{
#ifdef RR_MUTANT_FEED_SERVES_OTHER_ERA
	return false;
#endif
	return cursor.era ? cursor.era != feed->era :
			    feed->restore.was_restored;
}

bool rr_feed_has_changes_after(const struct rr_feed *feed,
			       struct rr_store_cursor after)
{
	return is_of_other_era(feed, after) || feed->revision > after.revision;
}

GArray *rr_feed_changes(const struct rr_feed *feed,
			struct rr_store_cursor after,
			struct rr_store_cursor *upto)
{
	uint64_t last_revision = 0;
	GArray *items;

	*upto = rr_feed_cursor(feed);
	if (after.revision && is_of_other_era(feed, after))
		return NULL;
	items = rr_list_changes_after(feed->change_log, after.revision);
	if (items && after.revision)
		last_revision = rr_truncate_changes(items, MAX_SERVED_CHANGES);
	if (last_revision)
		upto->revision = last_revision;
	return items;
}
