/*
 * feed.c - following the platform's store.
 *
 * Three things go on side by side: reading (a range, then watches), this
 * instance's entry (a lease, its key, its renewal), and the count of
 * instances.  A store that is away changes nothing of what is known.
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
/*
 * After news, so that a burst of changes costs one watch, not one each.  Each
 * change wakes every watch: the more there are, the longer they wait, up to a
 * part of the bound on news.
 */
#define MERGE_US (400 * 1000)
#define MERGE_WATCHERS 9
#define MERGE_PART 3
/* Far more than a merge brings on a calm day, far less than a cut answer. */
#define MANY_CHANGES 64
/* First and longest wait after a failure; drawn between half and all. */
#define FIRST_BACKOFF_US (200 * 1000)
#define MOST_BACKOFF_US (1500 * 1000)
/*
 * The entry lasts this long without renewal: a freeze of seconds leaves it
 * in place, so that the others do not take this instance's share.
 */
#define LEASE_MS 12000
/*
 * Renewal, which also tells whether the store answers: a change has to be in
 * force within three seconds, and a watch that fell silent shows only here.
 */
#define KEEP_US (1500 * 1000)
/* Of an instance that asks others: a third of the lease. */
#define FOLLOWER_KEEP_US (4 * G_USEC_PER_SEC)

static void free_known(gpointer data)
{
	struct rr_feed_known *known = data;

	g_free(known->id);
	g_free(known);
}

struct rr_feed *rr_new_feed(struct rr_context *ctx,
			    const struct rr_feed_options *options,
			    int64_t now_us)
{
	struct rr_feed *feed = g_new0(struct rr_feed, 1);

	feed->actions = options->actions;
	feed->news_bound_ms = options->news_bound_ms;
	feed->sources = rr_new_sources(&options->self, options->seeds);
	feed->news = rr_new_news();
	feed->now_us = now_us;
	feed->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_known);
	feed->ranging = true;
	feed->reading.due_us = now_us;
	feed->entry.due_us = now_us;
	feed->count_from_us = rr_first_count_us(now_us);
	feed->reached = true;
	return feed;
}

void rr_drop_feed(struct rr_feed *feed)
{
	if (!feed)
		return;
	g_hash_table_unref(feed->known);
	rr_drop_sources(feed->sources);
	rr_drop_news(feed->news);
	g_free(feed->asked);
	g_free(feed->after_key);
	g_free(feed);
}

static const char *const call_names[] = {
	[RR_FEED_RANGE] = "read",  [RR_FEED_WATCH] = "watch",
	[RR_FEED_GRANT] = "lease", [RR_FEED_KEEP] = "renewal",
	[RR_FEED_ENTER] = "entry", [RR_FEED_LEAVE] = "leave",
};

static const char *const status_names[] = {
	[RR_FEED_OK] = "ok",
	[RR_FEED_FORGOTTEN] = "forgotten",
	[RR_FEED_NO_LEASE] = "no-lease",
	[RR_FEED_FAILED] = "failed",
};

/*
 * One line for each call that is paid for in full or came to nothing: what a
 * renewal or another instance answers is told by counters.
 */
static void log_call(struct rr_context *ctx, const struct rr_feed *feed,
		     const struct rr_feed_line *line, const char *peer,
		     const struct rr_feed_reply *reply)
{
	bool good = reply->status == RR_FEED_OK;

	if (good && (peer || line->kind == RR_FEED_KEEP))
		return;
	rr_log(ctx, RR_LOG_INFO, "store-call",
	       RR_FIELD_STRING("kind", call_names[line->kind]),
	       RR_FIELD_STRING("from", peer ? peer : "store"),
	       RR_FIELD_STRING("outcome", status_names[reply->status]),
	       RR_FIELD_U64("code", reply->code),
	       RR_FIELD_I64("took_us", feed->now_us - line->since_us),
	       RR_FIELD_U64("items", reply->items ? reply->items->len : 0),
	       RR_FIELD_U64("revision", reply->revision),
	       RR_FIELD_U64("known", feed->revision));
}

static void start_call(struct rr_context *ctx, struct rr_feed *feed,
		       struct rr_feed_line *line, struct rr_feed_call *call)
{
	call->id = line->call = ++feed->next_call;
	line->kind = call->kind;
	line->since_us = feed->now_us;
	call->timeout_ms =
		call->wait_ms +
		(call->peer ? feed->news_bound_ms / PEER_TIMEOUT_PART :
			      CALL_TIMEOUT_MS);
	rr_count(ctx, call->peer ? RR_N_PEER_NEWS_CALLS : RR_N_STORE_CALLS, 1);
	feed->actions.call(feed->actions.data, call);
}

/*
 * A store that drops its history may leave a watch deaf that is opened just
 * then: it hears nothing until its end, while renewals are answered.  A first
 * watch that soon ends shows it, and the next one may be long.
 */
static uint32_t watch_ms(const struct rr_feed *feed, bool peer)
{
	if (peer)
		return feed->news_bound_ms / PEER_WAIT_PART;
#ifndef RR_MUTANT_FEED_LONG_WATCH
	if (feed->doubted)
		return DOUBTED_WATCH_MS;
#endif
	return WATCH_MS;
}

static void read_on(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_call call = { .kind = RR_FEED_WATCH };
	const char *source =
		rr_pick_source(feed->sources, feed->now_us, feed->ranging,
			       &feed->reading.due_us);

	if (!source)
		return;
	g_free(feed->asked);
	call.peer = feed->asked = *source ? g_strdup(source) : NULL;
	if (feed->ranging) {
		call.kind = RR_FEED_RANGE;
		call.after_key = feed->after_key;
	} else {
		call.after_revision = feed->revision;
		call.wait_ms = watch_ms(feed, call.peer != NULL);
	}
	start_call(ctx, feed, &feed->reading, &call);
}

static void renew(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_call call = { .kind = RR_FEED_GRANT,
				     .ttl_ms = LEASE_MS,
				     .lease = feed->lease };

	if (feed->lease)
		call.kind = feed->entered ? RR_FEED_KEEP : RR_FEED_ENTER;
	start_call(ctx, feed, &feed->entry, &call);
}

static void wait_longer(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_line *line)
{
	line->backoff_us = line->backoff_us ?
				   MIN(2 * line->backoff_us, MOST_BACKOFF_US) :
				   FIRST_BACKOFF_US;
	line->due_us =
		feed->now_us + (int64_t)((0.5 + 0.5 * rr_random_unit(ctx)) *
					 (double)line->backoff_us);
}

static void note_reached(struct rr_context *ctx, struct rr_feed *feed,
			 bool reached)
{
	if (feed->reached == reached)
		return;
	feed->reached = reached;
	rr_log(ctx, RR_LOG_WARNING, reached ? "store-regained" : "store-lost",
	       RR_FIELD_U64("revision", feed->revision));
}

/* Begin to read everything anew. */
static void start_range(struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer known;

	feed->ranging = true;
	g_clear_pointer(&feed->after_key, g_free);
	g_hash_table_iter_init(&iter, feed->known);
	while (g_hash_table_iter_next(&iter, NULL, &known))
		((struct rr_feed_known *)known)->seen = false;
}

static void take_page(struct rr_context *ctx, struct rr_feed *feed,
		      const struct rr_feed_reply *reply)
{
	const struct rr_feed_item *last = NULL;

	if (!feed->after_key)
		feed->range_revision = reply->revision;
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
	rr_forget_unseen(feed);
	g_clear_pointer(&feed->after_key, g_free);
	feed->ranging = false;
	feed->revision = feed->range_revision;
	feed->reading.due_us = feed->now_us;
	rr_log(ctx, RR_LOG_INFO, "store-read",
	       RR_FIELD_U64("revision", feed->revision),
	       RR_FIELD_U64("items", g_hash_table_size(feed->known)));
	feed->has_read = true;
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

	/* What another instance tells is merged already. */
	if (n >= MANY_CHANGES || feed->asked)
		return 0;
	return MIN(many * MERGE_US,
		   (int64_t)feed->news_bound_ms * 1000 / MERGE_PART);
}

static void take_changes(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply)
{
	bool news = reply->items && reply->items->len;

	for (guint i = 0; news && i < reply->items->len; i++)
		rr_take_feed_item(ctx, feed,
				  g_ptr_array_index(reply->items, i));
	feed->revision = MAX(feed->revision, reply->revision);
	feed->reading.due_us =
		feed->now_us + (news ? merge_us(feed, reply->items->len) : 0);
}

/* A range of an instance that has fallen behind would take things back. */
static bool is_behind(const struct rr_feed *feed,
		      const struct rr_feed_reply *reply)
{
#ifdef RR_MUTANT_FEED_OLDER_COPY
	return false;
#endif
	return feed->asked && feed->ranging && reply->revision < feed->revision;
}

static void take_good_reading(struct rr_context *ctx, struct rr_feed *feed,
			      const struct rr_feed_reply *reply)
{
	rr_source_answered(feed->sources, feed->asked ? feed->asked : "");
	feed->heard = true;
	if (!feed->asked) {
		feed->doubted = false;
		note_reached(ctx, feed, true);
	}
	if (feed->ranging)
		take_page(ctx, feed, reply);
	else
		take_changes(ctx, feed, reply);
	rr_look_at_count(feed);
}

static void take_reading(struct rr_context *ctx, struct rr_feed *feed,
			 const struct rr_feed_reply *reply)
{
	bool forgotten = reply->status == RR_FEED_FORGOTTEN;

	feed->reading.call = 0;
	feed->reading.due_us = feed->now_us;
	if (reply->status == RR_FEED_OK && !is_behind(feed, reply)) {
		take_good_reading(ctx, feed, reply);
		return;
	}
	feed->heard = false;
	feed->doubted = true;
	rr_count(ctx, RR_N_STORE_FAILURES, 1);
	rr_log(ctx, RR_LOG_INFO, "read-failed",
	       RR_FIELD_STRING("reason",
			       forgotten ? "history-forgotten" : "no-answer"),
	       RR_FIELD_STRING("from", feed->asked ? feed->asked : "store"),
	       RR_FIELD_BOOL("range", feed->ranging),
	       RR_FIELD_U64("revision", feed->revision));
	if (forgotten && !feed->asked) {
		start_range(feed);
		return;
	}
	rr_source_failed(ctx, feed->sources, feed->asked ? feed->asked : "",
			 feed->now_us);
	if (feed->ranging) {
		/* Pages belong together: from the first one again. */
		start_range(feed);
		if (!feed->asked)
			note_reached(ctx, feed, false);
	}
}

static void ask_anew(struct rr_feed *feed)
{
	if (feed->reading.call)
		feed->actions.cancel(feed->actions.data, feed->reading.call);
	feed->reading.call = 0;
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

	if (!feed->reading.call || feed->reading.kind != RR_FEED_WATCH)
		return;
	better = rr_pick_source(feed->sources, feed->now_us, false, &due_us);
	if (better && strcmp(better, feed->asked ? feed->asked : ""))
		ask_anew(feed);
}

/*
 * The store answers again after it did not: the watch may wait on a
 * connection that nothing will come back on, so it is asked anew.
 */
static void end_suspicion(struct rr_context *ctx, struct rr_feed *feed)
{
	note_reached(ctx, feed, true);
	rr_source_answered(feed->sources, "");
	if (!feed->suspect)
		return;
	feed->suspect = false;
	/* What it did meanwhile is not known: see watch_ms(). */
	feed->doubted = true;
#ifdef RR_MUTANT_FEED_TRUSTS_WATCH
	return;
#endif
	if (!feed->asked &&
	    (!feed->reading.call || feed->reading.kind == RR_FEED_WATCH))
		ask_anew(feed);
}

static int64_t keep_us(struct rr_feed *feed)
{
	return feed->asked && rr_sources_follow(feed->sources) ?
		       FOLLOWER_KEEP_US :
		       KEEP_US;
}

static void take_entry(struct rr_context *ctx, struct rr_feed *feed,
		       const struct rr_feed_reply *reply)
{
	enum rr_feed_call_kind kind = feed->entry.kind;

	feed->entry.call = 0;
	switch (reply->status) {
	case RR_FEED_OK:
		feed->entry.backoff_us = 0;
		end_suspicion(ctx, feed);
		if (kind == RR_FEED_GRANT)
			feed->lease = reply->lease;
		feed->entered = kind != RR_FEED_GRANT;
		feed->entry.due_us =
			feed->now_us + (feed->entered ? keep_us(feed) : 0);
		return;
	case RR_FEED_NO_LEASE:
		end_suspicion(ctx, feed);
		feed->lease = 0;
		feed->entered = false;
		wait_longer(ctx, feed, &feed->entry);
		return;
	case RR_FEED_FORGOTTEN:
	case RR_FEED_FAILED:
		rr_count(ctx, RR_N_STORE_FAILURES, 1);
		feed->suspect = true;
		note_reached(ctx, feed, false);
		wait_longer(ctx, feed, &feed->entry);
		return;
	}
}

void rr_feed_reply(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us,
		   const struct rr_feed_reply *reply)
{
	feed->now_us = now_us;
	if (reply->call && reply->call == feed->reading.call) {
		log_call(ctx, feed, &feed->reading, feed->asked, reply);
		take_reading(ctx, feed, reply);
	} else if (reply->call && reply->call == feed->entry.call) {
		log_call(ctx, feed, &feed->entry, NULL, reply);
		take_entry(ctx, feed, reply);
	}
}

void rr_feed_tick(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us)
{
	feed->now_us = now_us;
	turn_to_better(feed);
	if (!feed->reading.call && feed->reading.due_us <= now_us)
		read_on(ctx, feed);
	if (!feed->entry.call && feed->entry.due_us <= now_us && !feed->leaving)
		renew(ctx, feed);
	rr_look_at_count(feed);
}

int64_t rr_feed_wake_us(const struct rr_feed *feed)
{
	int64_t wake_us = INT64_MAX;

	if (!feed->reading.call)
		wake_us = feed->reading.due_us;
	if (!feed->entry.call && !feed->leaving)
		wake_us = MIN(wake_us, feed->entry.due_us);
	if (feed->has_read && !feed->told)
		wake_us = MIN(wake_us,
			      MAX(feed->count_from_us, feed->now_us + 1));
	if (feed->shrink_us)
		wake_us = MIN(wake_us, feed->shrink_us);
	return wake_us;
}

void rr_feed_leave(struct rr_context *ctx, struct rr_feed *feed, int64_t now_us)
{
	struct rr_feed_call call = { .kind = RR_FEED_LEAVE,
				     .lease = feed->lease };

	feed->now_us = now_us;
	if (feed->leaving)
		return;
	feed->leaving = true;
	if (!feed->lease)
		return;
	if (feed->entry.call)
		feed->actions.cancel(feed->actions.data, feed->entry.call);
	start_call(ctx, feed, &feed->entry, &call);
}

bool rr_feed_has_read(const struct rr_feed *feed)
{
	return feed->has_read;
}

bool rr_feed_is_reached(const struct rr_feed *feed)
{
	return feed->reached;
}

bool rr_feed_passes_on(const struct rr_feed *feed)
{
#ifdef RR_MUTANT_FEED_PASSES_ON_HEARSAY
	return feed->has_read;
#endif
	if (!feed->has_read || feed->ranging || feed->leaving)
		return false;
	if (!feed->asked)
		return feed->reached;
	return feed->heard && rr_source_may_be_told(feed->sources, feed->asked);
}

uint64_t rr_feed_revision(const struct rr_feed *feed)
{
	return feed->revision;
}

GArray *rr_feed_changes(const struct rr_feed *feed, uint64_t after)
{
	return rr_news_after(feed->news, after);
}
