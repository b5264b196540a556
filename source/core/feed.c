/*
 * feed.c - following the platform's store.
 *
 * Three things go on side by side: reading (a range, feed-range.c, then
 * watches), entries (feed-entry.c), and the count of instances (feed-count.c).
 * A store that is away changes nothing of what is known.
 */
#include "core/feed-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * A watch waits as long as the platform allows less a little: each one is
 * paid for.
 */
#define WATCH_MS 25000
/*
 * The first watch after a failed reading: the span in which a store that
 * drops its history tells watches nothing.
 */
#define DOUBTED_WATCH_MS 1000
/* Beyond what a slow store (60 times its usual 4 ms) needs. */
#define CALL_TIMEOUT_MS 1500
/*
 * Another instance answers after a part of the bound on news at the latest,
 * and is given up after another part: the rest is left for the store.
 */
#define PEER_WAIT_PART 4
#define PEER_TIMEOUT_PART 8
/* Nobody was heard for such a part of it: the store is next. */
#define SILENCE_PART 2
/* Those who ask this instance wait for so long while it asks anew. */
#define SOON_PART 16
/*
 * After news, so that a burst of changes costs one watch, not one each: a part
 * of the bound on news.  Each change wakes every watch: the more there are, the
 * longer they wait, up to a larger part.
 */
#define MERGE_PART 8
#define MERGE_WATCHERS 9
#define MERGE_MOST_PART 3
/* Far more than a merge brings on a calm day, far less than a cut answer. */
#define MANY_CHANGES 64
/* Told at once: a weak instance takes a few milliseconds for them. */
#define SOME_CHANGES 64
/* First and longest wait after a failure; drawn between half and all. */
#define FIRST_BACKOFF_US (200 * 1000)
#define MOST_BACKOFF_US (1500 * 1000)

static void free_known(gpointer data)
{
	struct rr_feed_key_state *known = data;

	g_free(known->id);
	g_free(known);
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
					   free_known);
	feed->range_active = true;
	feed->reading.due_us = now_us;
	feed->last_read_us = now_us;
	feed->last_registered_us = now_us;
	feed->count_due_us = rr_initial_count_due_us(now_us);
	feed->store_reachable = true;
	return feed;
}

void rr_drop_feed(struct rr_feed *feed)
{
	if (!feed)
		return;
	g_hash_table_unref(feed->keys);
	rr_drop_sources(feed->sources);
	rr_drop_change_log(feed->change_log);
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
 * One line for each call that is paid for in full or came to nothing: what a
 * renewal or another instance answers is told by counters.
 */
void rr_log_feed_call(struct rr_context *ctx, const struct rr_feed *feed,
		      const struct rr_feed_call_state *line, const char *peer,
		      const struct rr_feed_reply *reply)
{
	bool good = reply->status == RR_FEED_OK;

	if (good && (peer || line->kind == RR_FEED_LEASE_RENEW))
		return;
	rr_log(ctx, RR_LOG_INFO, "store-call",
	       RR_FIELD_STRING("kind", call_names[line->kind]),
	       RR_FIELD_STRING("from", peer ? peer : "store"),
	       RR_FIELD_STRING("outcome", status_names[reply->status]),
	       RR_FIELD_U64("code", reply->http_status),
	       RR_FIELD_I64("took_us", feed->now_us - line->started_us),
	       RR_FIELD_U64("items", reply->items ? reply->items->len : 0),
	       RR_FIELD_U64("revision", reply->revision),
	       RR_FIELD_U64("known", feed->revision));
}

void rr_start_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_call_state *line,
			struct rr_feed_call *call)
{
	call->id = line->call_id = ++feed->last_call_id;
	line->kind = call->kind;
	line->started_us = feed->now_us;
	call->timeout_ms =
		call->wait_ms +
		(call->peer ? feed->max_staleness_ms / PEER_TIMEOUT_PART :
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
 * A store that drops its history may leave a watch deaf that is opened just
 * then: it hears nothing until its end, while renewals are answered.  A first
 * watch that soon ends shows it, and the next one may be long.
 */
static uint32_t watch_ms(struct rr_feed *feed, bool peer)
{
	/* After a silent one the next is to say at once whether it hears. */
	if (peer && !feed->last_read_ok)
		return 0;
	/* One that others tell would not notice that its own watch is deaf. */
	if (peer || rr_prefers_peer_source(feed->sources))
		return feed->max_staleness_ms / PEER_WAIT_PART;
#ifndef RR_MUTANT_FEED_LONG_WATCH
	if (feed->needs_short_watch)
		return DOUBTED_WATCH_MS;
#endif
	return WATCH_MS;
}

static int64_t news_bound_us(const struct rr_feed *feed)
{
	return (int64_t)feed->max_staleness_ms * 1000;
}

/* Nobody was heard for so long: the store is next. */
static int64_t silence_us(const struct rr_feed *feed)
{
	return news_bound_us(feed) / SILENCE_PART;
}

/* Whom to ask next; NULL: nobody now, until *due_us. */
static const char *pick_source(struct rr_feed *feed, int64_t *due_us)
{
	if (feed->range_active && feed->range_from_peer)
		return feed->read_peer;
	/*
	 * Guards against several before the store that are frozen: each is
	 * waited for, and the bound on news would be over.
	 */
	if (feed->now_us - feed->last_read_us >= silence_us(feed) &&
	    rr_may_ask_store(feed->sources, feed->now_us))
		return "";
	return rr_pick_source(feed->sources, feed->now_us, feed->range_active,
			      due_us);
}

static void read_on(struct rr_context *ctx, struct rr_feed *feed)
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
		 * What an old copy lacks is told by the first watch.  Later on
		 * it would unlist what came after it.
		 */
		call.allow_stale = !feed->has_synced || feed->found_no_peers;
	} else {
		call.after_revision = feed->revision;
		call.wait_ms = watch_ms(feed, call.peer != NULL);
	}
	rr_start_feed_call(ctx, feed, &feed->reading, &call);
}

void rr_back_off_feed_call(struct rr_context *ctx, struct rr_feed *feed,
			   struct rr_feed_call_state *line)
{
	line->backoff_us = line->backoff_us ?
				   MIN(2 * line->backoff_us, MOST_BACKOFF_US) :
				   FIRST_BACKOFF_US;
	line->due_us =
		feed->now_us + (int64_t)((0.5 + 0.5 * rr_random_unit(ctx)) *
					 (double)line->backoff_us);
}

void rr_set_store_reachable(struct rr_context *ctx, struct rr_feed *feed,
			    bool reached)
{
	if (feed->store_reachable == reached)
		return;
	if (!reached && rr_feed_can_serve_changes(feed))
		feed->last_serving_us = feed->now_us;
	feed->store_reachable = reached;
	rr_log(ctx, RR_LOG_WARNING, reached ? "store-regained" : "store-lost",
	       RR_FIELD_U64("revision", feed->revision));
}

/*
 * How long the next watch waits after `n` changes.  The store cuts long
 * answers: many changes may be a part only, and what is behind them is old
 * news already.
 */
static int64_t merge_us(const struct rr_feed *feed, guint n)
{
	int64_t many =
		MAX(1, rr_count_watchers(feed->sources) / MERGE_WATCHERS);
	int64_t bound_us = news_bound_us(feed);

	/* What another instance tells is merged already. */
	if (n >= MANY_CHANGES || feed->read_peer)
		return 0;
	return MIN(many * bound_us / MERGE_PART, bound_us / MERGE_MOST_PART);
}

static void take_changes(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply)
{
	bool news = reply->items && reply->items->len;

	for (guint i = 0; news && i < reply->items->len; i++)
		rr_apply_feed_item(ctx, feed,
				   g_ptr_array_index(reply->items, i));
	feed->revision = MAX(feed->revision, reply->revision);
	feed->reading.due_us =
		feed->now_us + (news ? merge_us(feed, reply->items->len) : 0);
}

/*
 * A range of an instance that has fallen behind, or an old copy of the store,
 * would take things back.
 */
static bool is_behind(const struct rr_feed *feed,
		      const struct rr_feed_reply *reply)
{
#ifdef RR_MUTANT_FEED_OLDER_COPY
	return false;
#endif
	return feed->range_active && reply->revision < feed->revision;
}

static void take_good_reading(struct rr_context *ctx, struct rr_feed *feed,
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
		take_changes(ctx, feed, reply);
	rr_update_instance_count(feed);
}

static void log_failed_reading(struct rr_context *ctx,
			       const struct rr_feed *feed, bool forgotten)
{
	rr_count(ctx, RR_N_STORE_FAILURES, 1);
	rr_log(ctx, RR_LOG_INFO, "read-failed",
	       RR_FIELD_STRING("reason",
			       forgotten ? "history-forgotten" : "no-answer"),
	       RR_FIELD_STRING("from",
			       feed->read_peer ? feed->read_peer : "store"),
	       RR_FIELD_BOOL("range", feed->range_active),
	       RR_FIELD_U64("revision", feed->revision));
}

static void take_reading(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply)
{
	bool forgotten = reply->status == RR_FEED_COMPACTED;

	feed->reading.call_id = 0;
	feed->reading.due_us = feed->now_us;
	if (reply->status == RR_FEED_OK && !is_behind(feed, reply)) {
		take_good_reading(ctx, feed, reply);
		return;
	}
	if (rr_feed_can_serve_changes(feed))
		feed->last_serving_us = feed->now_us;
	feed->last_read_ok = false;
	feed->needs_short_watch = true;
	log_failed_reading(ctx, feed, forgotten);
	/* Who no longer has the changes has the whole. */
	if (forgotten) {
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

static void ask_anew(struct rr_feed *feed)
{
	if (feed->reading.call_id)
		feed->actions.cancel(feed->actions.data, feed->reading.call_id);
	feed->reading.call_id = 0;
	feed->reading.due_us = feed->now_us;
}

/*
 * One to ask before the one that is asked has come, or is well again: an
 * instance in place of the store, or the store in place of an instance.
 */
static void turn_to_better(struct rr_feed *feed)
{
	int64_t due_us;
	const char *better;

	if (!feed->reading.call_id || feed->reading.kind != RR_FEED_WATCH)
		return;
	/* One that has just begun is not worth breaking off. */
	if (feed->now_us - feed->reading.started_us <
	    news_bound_us(feed) / PEER_WAIT_PART)
		return;
	better = rr_pick_source(feed->sources, feed->now_us, false, &due_us);
	if (better && strcmp(better, feed->read_peer ? feed->read_peer : ""))
		ask_anew(feed);
}

void rr_end_watch_suspicion(struct rr_context *ctx, struct rr_feed *feed)
{
	rr_set_store_reachable(ctx, feed, true);
	rr_mark_source_healthy(feed->sources, "");
	if (!feed->watch_suspected)
		return;
	feed->watch_suspected = false;
	/* What it did meanwhile is not known: see watch_ms(). */
	feed->needs_short_watch = true;
#ifdef RR_MUTANT_FEED_TRUSTS_WATCH
	return;
#endif
	if (!feed->read_peer &&
	    (!feed->reading.call_id || feed->reading.kind == RR_FEED_WATCH))
		ask_anew(feed);
}

void rr_feed_reply(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us,
		   const struct rr_feed_reply *reply)
{
	feed->now_us = now_us;
	if (reply->call_id && reply->call_id == feed->reading.call_id) {
		rr_log_feed_call(ctx, feed, &feed->reading, feed->read_peer,
				 reply);
		take_reading(ctx, feed, reply);
	} else if (reply->call_id && reply->call_id == feed->entry.call_id) {
		rr_log_feed_call(ctx, feed, &feed->entry, feed->registrar,
				 reply);
		rr_handle_feed_entry_reply(ctx, feed, reply);
	} else {
		rr_handle_report_reply(ctx, feed, reply);
	}
}

void rr_feed_tick(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us)
{
	feed->now_us = now_us;
	turn_to_better(feed);
	if (!feed->reading.call_id && feed->reading.due_us <= now_us)
		read_on(ctx, feed);
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
 * Guards against a store that turns an instance away: all that ask it, those
 * that ask these, and the standbys that are about to take its place, would be
 * refused at the same moment, and each would go to the store.
 */
int64_t rr_feed_serve_grace_end_us(const struct rr_feed *feed)
{
	int64_t soon_us = news_bound_us(feed) / SOON_PART;

	if (!feed->last_serving_us || rr_feed_can_serve_changes(feed))
		return INT64_MAX;
	return feed->last_serving_us + soon_us;
}

bool rr_feed_is_in_serve_grace(const struct rr_feed *feed, int64_t now_us)
{
	int64_t until_us = rr_feed_serve_grace_end_us(feed);

#ifdef RR_MUTANT_FEED_REFUSES_AT_ONCE
	return false;
#endif
	return !feed->leaving && until_us != INT64_MAX && now_us < until_us;
}

uint64_t rr_feed_revision(const struct rr_feed *feed)
{
	return feed->revision;
}

GArray *rr_feed_changes(const struct rr_feed *feed, uint64_t after,
			uint64_t *revision)
{
	GArray *items = rr_list_changes_after(feed->change_log, after);
	uint64_t cut =
		items && after ? rr_truncate_changes(items, SOME_CHANGES) : 0;

	*revision = cut ? cut : feed->revision;
	return items;
}
