/*
 * feed-restore.c - a store that is restored from a copy.
 *
 * A restored store begins a new era: changes made since the copy are lost, and
 * their revisions are given out again.  The known items stay in force while all
 * items are read again.  Operators and replicas then write again what was lost.
 * Until they have had the time, the restore is not settled: an item that the
 * copy lacks is kept, and one that was removed before is held back.
 */
#include "core/feed-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

/*
 * Time after which replicas have written their entries again, and after which
 * the platform has removed the entries of replicas that are gone.
 */
#define REPLICAS_SETTLE_US (4 * G_USEC_PER_SEC)
/* The same for all other items; instances' entries are under a lease. */
#define SETTLE_US (12 * G_USEC_PER_SEC)
/* Delay of both while the store cannot be followed. */
#define SETTLE_RETRY_US (1 * G_USEC_PER_SEC)

/* An item that was removed before the restore. */
struct held_item {
	struct rr_feed_item *item;
	bool seen; /* found by the current range read */
};

static void free_held_item(gpointer data)
{
	struct held_item *held = data;

	rr_free_feed_item(held->item);
	g_free(held);
}

void rr_init_feed_restore(struct rr_feed *feed)
{
	feed->restore.held = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_held_item);
}

void rr_clear_feed_restore(struct rr_feed *feed)
{
	g_hash_table_unref(feed->restore.held);
	rr_drop_change_log(feed->restore.prior_log);
	rr_end_feed_verification(feed);
}

enum rr_era_match rr_match_feed_era(const struct rr_feed *feed,
				    const struct rr_feed_reply *reply,
				    bool from_peer)
{
#ifdef RR_MUTANT_FEED_IGNORES_ERA
	return RR_ERA_SAME;
#endif
	/*
	 * Peers of an earlier version state no era.  Until a restore was seen,
	 * theirs is taken to be the known one.
	 */
	if (!reply->era)
		return from_peer && feed->restore.was_restored ?
			       RR_ERA_EARLIER :
			       RR_ERA_SAME;
	if (reply->era == feed->era)
		return RR_ERA_SAME;
	return reply->era < feed->era ? RR_ERA_EARLIER : RR_ERA_LATER;
}

/*
 * Add the changes of the ending era to those of earlier ones.  Items that were
 * held back still count as removed.
 */
static void extend_prior_log(struct rr_feed *feed)
{
	struct rr_feed_restore *restore = &feed->restore;
	GHashTableIter iter;
	gpointer key;

	if (!restore->prior_log)
		restore->prior_log = rr_new_change_log();
	if (feed->unverified_log)
		rr_merge_change_log(restore->prior_log, feed->unverified_log);
	rr_merge_change_log(restore->prior_log, feed->change_log);
	g_hash_table_iter_init(&iter, restore->held);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct rr_feed_change removal = { .key = key };

		rr_put_change(restore->prior_log, &removal);
	}
	g_hash_table_remove_all(restore->held);
	rr_drop_change_log(feed->change_log);
	feed->change_log = rr_new_change_log();
}

void rr_forget_feed_revisions(struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct rr_feed_key_state *)value)->revision = 0;
	feed->revision = 0;
}

void rr_begin_feed_era(struct rr_context *ctx, struct rr_feed *feed,
		       const struct rr_feed_reply *reply, bool from_peer)
{
	struct rr_feed_restore *restore = &feed->restore;
	uint64_t era = MAX(feed->era, reply->era);

	/* The first reply: nothing is known of an earlier era. */
	if (!feed->has_synced && !feed->era) {
		feed->era = era;
		return;
	}
	if (rr_feed_can_serve_changes(feed))
		feed->last_serving_us = feed->now_us;
	rr_count(ctx, RR_N_STORE_RESTORES, 1);
	rr_log(ctx, RR_LOG_WARNING, "store-restored",
	       RR_FIELD_STRING("from", from_peer ? feed->read_peer : "store"),
	       RR_FIELD_U64("era", era), RR_FIELD_U64("era_before", feed->era),
	       RR_FIELD_U64("revision", reply->revision),
	       RR_FIELD_U64("revision_before", feed->revision),
	       RR_FIELD_U64("items", g_hash_table_size(feed->keys)));
	if (!restore->reading) {
		restore->prior_revision = feed->revision;
		restore->started_us = feed->now_us;
	}
	restore->was_restored = true;
	restore->reading = true;
	restore->replicas_settled_us = 0;
	restore->settled_us = 0;
	extend_prior_log(feed);
	rr_end_feed_verification(feed);
	rr_forget_feed_revisions(feed);
	feed->era = era;
	rr_restart_feed_read(feed);
	feed->range_from_peer = from_peer;
	rr_start_feed_range(feed);
	rr_reset_feed_entry(feed);
	rr_reset_report_queue(feed->report_queue);
}

/* Publish the entries of queries of death again that the store has lost. */
static uint32_t republish_lost_entries(struct rr_feed *feed)
{
	uint32_t n_lost = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_key_state *state = value;
		struct rr_fingerprint fingerprint;

		if (!state->is_missing || state->kind != RR_FEED_QUARANTINE ||
		    !rr_parse_fingerprint(state->id, &fingerprint))
			continue;
		feed->actions.quarantine_lost(feed->actions.data, &fingerprint);
		n_lost++;
	}
	return n_lost;
}

/* Remove the entries again that were released before the restore. */
static uint32_t release_entries_again(struct rr_feed *feed)
{
	uint32_t n_released = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->restore.held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_item *item =
			((struct held_item *)value)->item;
		struct rr_quarantine_report report = {
			.entry = item->quarantine,
			.released = true,
		};

		if (!item->quarantine)
			continue;
		rr_feed_report(feed, feed->now_us, &report);
		n_released++;
	}
	return n_released;
}

void rr_finish_feed_reread(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_restore *restore = &feed->restore;
	bool writes = !feed->read_peer;
	uint32_t n_lost = 0;
	uint32_t n_released = 0;

#ifdef RR_MUTANT_FEED_LOSES_QUARANTINE
	writes = false;
#endif
	/* Peers that read from this instance leave that to it. */
	if (writes) {
		n_lost = republish_lost_entries(feed);
		n_released = release_entries_again(feed);
	}
	restore->reading = false;
	restore->replicas_settled_us = feed->now_us + REPLICAS_SETTLE_US;
	restore->settled_us = feed->now_us + SETTLE_US;
	rr_log(ctx, RR_LOG_WARNING, "restore-read",
	       RR_FIELD_U64("era", feed->era),
	       RR_FIELD_U64("revision", feed->revision),
	       RR_FIELD_U64("revision_before", restore->prior_revision),
	       RR_FIELD_U64("held_back", g_hash_table_size(restore->held)),
	       RR_FIELD_U64("published_again", n_lost),
	       RR_FIELD_U64("released_again", n_released),
	       RR_FIELD_I64("took_us", feed->now_us - restore->started_us));
}

/* Whether a key existed in an earlier era and was removed. */
static bool was_removed(const struct rr_feed *feed, const char *key)
{
	struct rr_feed_change change;

	return feed->restore.prior_log &&
	       rr_find_change(feed->restore.prior_log, key, &change) &&
	       !change.value;
}

static void hold_item(struct rr_feed *feed, struct rr_feed_item *item)
{
	struct held_item *held = g_new0(struct held_item, 1);

	held->item = rr_keep_feed_item(item);
	held->seen = true;
	g_hash_table_replace(feed->restore.held, held->item->key, held);
	rr_log_feed_change(feed, item);
}

bool rr_hold_restored_item(struct rr_feed *feed, struct rr_feed_item *item)
{
	struct held_item *held =
		g_hash_table_lookup(feed->restore.held, item->key);
	struct rr_feed_change removal = { .key = item->key,
					  .revision = item->revision };

#ifdef RR_MUTANT_FEED_REVIVES_REMOVED
	return false;
#endif
	if (held && item->revision <= held->item->revision) {
		held->seen = true;
		return true;
	}
	if (held) {
		if (item->removed)
			rr_put_change(feed->change_log, &removal);
		g_hash_table_remove(feed->restore.held, item->key);
		return false;
	}
	if (!feed->restore.reading || item->removed ||
	    g_hash_table_contains(feed->keys, item->key) ||
	    !was_removed(feed, item->key))
		return false;
	hold_item(feed, item);
	return true;
}

bool rr_has_prior_value(const struct rr_feed *feed,
			const struct rr_feed_item *item)
{
	const struct rr_change_log *log = feed->restore.reading ?
						  feed->restore.prior_log :
						  feed->unverified_log;
	struct rr_feed_change change;

	return log && item->value && rr_find_change(log, item->key, &change) &&
	       change.value && change.compressed == item->compressed &&
	       !g_strcmp0(change.value, item->value);
}

uint64_t rr_held_revision(const struct rr_feed *feed, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->restore.held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_item *item =
			((struct held_item *)value)->item;

		if (!g_strcmp0(item->id, id))
			return item->revision;
	}
	return 0;
}

void rr_start_held_range(struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->restore.held);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct held_item *)value)->seen = false;
}

void rr_drop_unseen_held_items(struct rr_feed *feed)
{
	GHashTableIter iter;
	gpointer value;

#ifdef RR_MUTANT_FEED_KEEPS_HELD
	return;
#endif
	g_hash_table_iter_init(&iter, feed->restore.held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct held_item *held = value;
		struct rr_feed_change removal = {
			.key = held->item->key,
			.revision = feed->range_revision,
		};

		if (held->seen)
			continue;
		rr_put_change(feed->change_log, &removal);
		g_hash_table_iter_remove(&iter);
	}
}

/* Whether items of a kind are to be settled now. */
static bool is_settled(enum rr_feed_item_kind kind, bool replicas_only)
{
	return !replicas_only || kind == RR_FEED_REPLICA;
}

static void apply_held_items(struct rr_context *ctx, struct rr_feed *feed,
			     bool replicas_only)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->restore.held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_feed_item *item =
			((struct held_item *)value)->item;

		if (!is_settled(item->kind, replicas_only))
			continue;
		rr_apply_held_item(ctx, feed, item);
		g_hash_table_iter_remove(&iter);
	}
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void remove_missing_keys(struct rr_feed *feed, bool replicas_only)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct rr_feed_key_state *state = value;

		if (state->is_missing && is_settled(state->kind, replicas_only))
			g_ptr_array_add(missing, g_strdup(key));
	}
	g_ptr_array_sort(missing, compare_names);
	for (guint i = 0; i < missing->len; i++)
		rr_remove_feed_key(feed, g_ptr_array_index(missing, i),
				   feed->revision);
	g_ptr_array_unref(missing);
}

static void settle(struct rr_context *ctx, struct rr_feed *feed,
		   bool replicas_only)
{
	apply_held_items(ctx, feed, replicas_only);
	remove_missing_keys(feed, replicas_only);
}

void rr_tick_feed_restore(struct rr_context *ctx, struct rr_feed *feed)
{
	struct rr_feed_restore *restore = &feed->restore;

	if (feed->now_us < rr_feed_restore_wake_us(feed))
		return;
#ifndef RR_MUTANT_FEED_SETTLES_BLIND
	/* What was written meanwhile is not known. */
	if (!feed->last_read_ok || feed->range_active) {
		restore->replicas_settled_us = feed->now_us + SETTLE_RETRY_US;
		restore->settled_us =
			MAX(restore->settled_us, restore->replicas_settled_us);
		return;
	}
#endif
	if (restore->replicas_settled_us &&
	    restore->replicas_settled_us <= feed->now_us) {
		restore->replicas_settled_us = 0;
		settle(ctx, feed, true);
	}
	if (restore->settled_us > feed->now_us)
		return;
	restore->settled_us = 0;
	settle(ctx, feed, false);
	g_clear_pointer(&restore->prior_log, rr_drop_change_log);
}

int64_t rr_feed_restore_wake_us(const struct rr_feed *feed)
{
	const struct rr_feed_restore *restore = &feed->restore;

	if (!restore->settled_us)
		return INT64_MAX;
	return restore->replicas_settled_us ?
		       MIN(restore->replicas_settled_us, restore->settled_us) :
		       restore->settled_us;
}
