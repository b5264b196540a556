/*
 * feed.c - following the platform's store.
 *
 * Four activities run side by side: reads (feed-read.c), their comparison with
 * another zone (feed-check.c), registration (feed-entry.c) and the instance
 * count (feed-count.c).
 * An unreachable store changes none of the known items.
 */
#include "core/feed-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * A call to a peer times out this fraction of the staleness bound after the
 * time that the peer may wait.
 */
#define PEER_TIMEOUT_DIVISOR 8
/* Longer than a slow store takes, which is 60 times its usual 4 ms. */
#define CALL_TIMEOUT_MS 1500
/*
 * Peers that read from this instance are kept waiting for up to this fraction
 * of the staleness bound while it reconnects.
 */
#define SERVE_GRACE_DIVISOR 16
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
	feed->complete_us = now_us;
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
	[RR_FEED_CHECK] = "check",	   [RR_FEED_LEASE_GRANT] = "lease",
	[RR_FEED_LEASE_RENEW] = "renewal", [RR_FEED_WRITE_ENTRIES] = "entry",
	[RR_FEED_LEASE_REVOKE] = "leave",  [RR_FEED_REPORT] = "report",
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
	state->wait_ms = call->wait_ms;
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

int64_t rr_max_staleness_us(const struct rr_feed *feed)
{
	return (int64_t)feed->max_staleness_ms * 1000;
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
		rr_handle_feed_read(ctx, feed, reply);
	} else if (reply->call_id && reply->call_id == feed->entry.call_id) {
		rr_log_feed_call(ctx, feed, &feed->entry, feed->registrar,
				 reply);
		handle_entry_reply(ctx, feed, reply);
	} else if (reply->call_id && reply->call_id == feed->checking.call_id) {
		rr_handle_feed_check_reply(ctx, feed, reply);
	} else {
		handle_report_reply(ctx, feed, reply);
	}
}

void rr_feed_tick(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us)
{
	feed->now_us = now_us;
	rr_switch_to_preferred_source(feed);
	rr_tick_feed_restore(ctx, feed);
	if (!feed->reading.call_id && feed->reading.due_us <= now_us)
		rr_start_feed_read(ctx, feed);
	rr_tick_feed_check(ctx, feed);
	rr_update_instance_count(feed);
	rr_tick_feed_entry(ctx, feed);
	rr_tick_report_queue(ctx, feed);
}

int64_t rr_feed_wake_us(const struct rr_feed *feed)
{
	int64_t wake_us = INT64_MAX;

	if (!feed->reading.call_id)
		wake_us = feed->reading.due_us;
	wake_us = MIN(wake_us, rr_feed_check_wake_us(feed));
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
	if (!feed->has_synced || feed->range_active || feed->is_unverified ||
	    feed->leaving)
		return false;
	if (!feed->read_peer)
		return feed->store_reachable &&
		       feed->now_us < rr_feed_serve_end_us(feed) &&
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
	int64_t grace_us = rr_max_staleness_us(feed) / SERVE_GRACE_DIVISOR;

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
#ifdef RR_MUTANT_FEED_SERVES_STALE_COPY
	return feed->has_synced && !feed->restore.reading;
#endif
	return feed->has_synced && !feed->restore.reading &&
	       !feed->is_unverified;
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
