/*
 * feed-items.c - the store's items as they are added, updated and removed.
 */
#include "core/feed-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

/* The store's first revision. */
#define LOWEST_REVISION 1

struct rr_feed_item *rr_keep_feed_item(struct rr_feed_item *item)
{
	item->extra_refs++;
	return item;
}

void rr_free_feed_item(gpointer data)
{
	struct rr_feed_item *item = data;

	if (item->extra_refs--)
		return;
	rr_drop_route_table(item->routes);
	if (item->replica) {
		g_free((char *)item->replica->id);
		g_free((char *)item->replica->service);
		g_free((char *)item->replica->address);
		g_free((char *)item->replica->zone);
		g_free(item->replica);
	}
	rr_free_instance(item->instance);
	rr_free_quarantine_entry(item->quarantine);
	g_free(item->value);
	g_free(item->key);
	g_free(item->id);
	g_free(item);
}

void rr_free_instance(struct rr_instance *instance)
{
	if (!instance)
		return;
	g_free(instance->id);
	g_free(instance->zone);
	g_free(instance->address);
	g_free(instance);
}

struct rr_instance *rr_copy_instance(const struct rr_instance *instance)
{
	struct rr_instance *copy = g_new0(struct rr_instance, 1);

	copy->id = g_strdup(instance->id ? instance->id : "");
	copy->zone = g_strdup(instance->zone ? instance->zone : "");
	copy->address = g_strdup(instance->address ? instance->address : "");
	copy->strength = instance->strength;
	copy->started_ms = instance->started_ms;
	return copy;
}

static void remove_instance(struct rr_feed *feed, const char *id)
{
	rr_update_source(feed->sources, feed->now_us, id, NULL);
	feed->actions.instance(feed->actions.data, id, NULL);
}

static void remove_quarantine(struct rr_feed *feed, const char *id)
{
	struct rr_fingerprint fingerprint;

	if (rr_parse_fingerprint(id, &fingerprint))
		feed->actions.quarantine(feed->actions.data, &fingerprint,
					 NULL);
}

/*
 * Return the position of a change.  That of an item of a stale copy is not
 * known, so any other position counts as later.
 */
static struct rr_store_cursor change_cursor(const struct rr_feed *feed,
					    uint64_t revision)
{
#ifdef RR_MUTANT_FEED_TRUSTS_STALE_CURSOR
	return (struct rr_store_cursor){ feed->era, revision };
#endif
	return (struct rr_store_cursor){
		.era = feed->era,
		.revision = feed->read_is_stale ? LOWEST_REVISION : revision,
	};
}

/* Report that the object described by a key's last value was removed. */
static void remove_object(struct rr_feed *feed,
			  const struct rr_feed_key_state *state,
			  uint64_t revision)
{
	struct rr_store_cursor cursor = change_cursor(feed, revision);

	if (state->kind == RR_FEED_REPLICA)
		feed->actions.replica_unlisted(feed->actions.data, state->id);
	else if (state->kind == RR_FEED_INSTANCE)
		remove_instance(feed, state->id);
	else if (state->kind == RR_FEED_EVACUATION)
		feed->actions.evacuation(feed->actions.data, state->id, cursor,
					 false);
	else if (state->kind == RR_FEED_QUARANTINE)
		remove_quarantine(feed, state->id);
}

static void set_valid(struct rr_feed *feed, struct rr_feed_key_state *state,
		      bool is_valid)
{
	if (state->kind == RR_FEED_INSTANCE && is_valid != state->is_valid)
		feed->n_instances += is_valid ? 1 : -1;
	state->is_valid = is_valid;
}

void rr_remove_feed_key(struct rr_feed *feed, const char *key,
			uint64_t revision)
{
	struct rr_feed_key_state *state = g_hash_table_lookup(feed->keys, key);
	struct rr_feed_change change = { .key = key, .revision = revision };

	if (!state)
		return;
	rr_put_change(feed->change_log, &change);
	remove_object(feed, state, revision);
	set_valid(feed, state, false);
	g_hash_table_remove(feed->keys, key);
}

static void report_decode_error(struct rr_context *ctx,
				struct rr_feed_key_state *state,
				const struct rr_feed_item *item)
{
	rr_count(ctx, RR_N_STORE_VALUES_INVALID, 1);
	/* A value that is rewritten with the same error is logged once. */
	if (state->decode_error != item->decode_error)
		rr_log(ctx, RR_LOG_ERROR, "item-unreadable",
		       RR_FIELD_STRING("key", item->key),
		       RR_FIELD_STRING("reason", item->decode_error),
		       RR_FIELD_U64("revision", item->revision));
	state->decode_error = item->decode_error;
}

/*
 * Handle a value that cannot be decoded, such as one written by a third party:
 * the object that the key described before counts as removed.  The routes in
 * force stay, since no query can be served without routes.
 */
static void apply_invalid_item(struct rr_context *ctx, struct rr_feed *feed,
			       struct rr_feed_key_state *state,
			       const struct rr_feed_item *item)
{
	if (state->is_valid)
		remove_object(feed, state, item->revision);
	set_valid(feed, state, false);
	report_decode_error(ctx, state, item);
}

/*
 * Only operators write these keys, so one whose value cannot be decoded still
 * requests the evacuation.
 */
static void apply_evacuation(struct rr_context *ctx, struct rr_feed *feed,
			     struct rr_feed_key_state *state,
			     const struct rr_feed_item *item)
{
	struct rr_store_cursor cursor = change_cursor(feed, item->revision);

	if (item->decode_error)
		report_decode_error(ctx, state, item);
	feed->actions.evacuation(feed->actions.data, item->id, cursor, true);
}

static void apply_item(struct rr_context *ctx, struct rr_feed *feed,
		       struct rr_feed_key_state *state,
		       const struct rr_feed_item *item)
{
	if (item->kind == RR_FEED_EVACUATION) {
		apply_evacuation(ctx, feed, state, item);
		return;
	}
#ifndef RR_MUTANT_FEED_KEEPS_UNREADABLE
	if (item->decode_error) {
		apply_invalid_item(ctx, feed, state, item);
		return;
	}
#endif
	state->decode_error = NULL;
	set_valid(feed, state, true);
	switch (item->kind) {
	case RR_FEED_ROUTES:
		feed->actions.routes(feed->actions.data, item->routes);
		break;
	case RR_FEED_REPLICA:
		feed->actions.replica_listed(feed->actions.data, item->replica);
		break;
	case RR_FEED_INSTANCE:
		rr_update_source(feed->sources, feed->now_us, item->id,
				 item->instance);
		feed->actions.instance(feed->actions.data, item->id,
				       item->instance);
		break;
	case RR_FEED_QUARANTINE:
		feed->actions.quarantine(feed->actions.data,
					 &item->quarantine->fingerprint,
					 item->quarantine);
		break;
	case RR_FEED_EVACUATION:
	case RR_FEED_OTHER:
		break;
	}
}

void rr_log_feed_change(struct rr_feed *feed, const struct rr_feed_item *item)
{
	struct rr_feed_change change = {
		.key = item->key,
		.value = item->value,
		.compressed = item->compressed,
		.revision = item->revision,
	};

	if (item->value)
		rr_put_change(feed->change_log, &change);
}

void rr_apply_held_item(struct rr_context *ctx, struct rr_feed *feed,
			const struct rr_feed_item *item)
{
	struct rr_feed_key_state *state =
		g_hash_table_lookup(feed->keys, item->key);
	bool is_known;

#ifndef RR_MUTANT_FEED_OLD_NEWS
	if (state && item->revision < state->revision) {
		feed->n_outdated++;
		return;
	}
#endif
	if (item->removed) {
		rr_remove_feed_key(feed, item->key, item->revision);
		return;
	}
	is_known = state && rr_has_prior_value(feed, item);
	if (!state) {
		state = g_new0(struct rr_feed_key_state, 1);
		state->kind = item->kind;
		state->id = g_strdup(item->id);
		g_hash_table_insert(feed->keys, g_strdup(item->key), state);
	}
	state->seen = true;
	state->is_missing = false;
	if (state->revision == item->revision)
		return;
	state->revision = item->revision;
	rr_log_feed_change(feed, item);
	if (!is_known)
		apply_item(ctx, feed, state, item);
}

void rr_apply_feed_item(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_item *item)
{
	if (item->kind == RR_FEED_OTHER)
		return;
	if (item->kind == RR_FEED_INSTANCE)
		rr_observe_registration(feed->registrations, item->id,
					item->revision, item->removed);
	if (!rr_hold_restored_item(feed, item))
		rr_apply_held_item(ctx, feed, item);
}

uint32_t rr_handle_unseen_keys(struct rr_feed *feed)
{
	GPtrArray *unseen = g_ptr_array_new_with_free_func(g_free);
	uint32_t n_missing = 0;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct rr_feed_key_state *state = value;

		if (state->seen)
			continue;
#ifndef RR_MUTANT_FEED_DROPS_MISSING
		state->is_missing |= feed->restore.reading;
#endif
		if (state->is_missing)
			n_missing++;
		else
			g_ptr_array_add(unseen, g_strdup(key));
	}
	for (guint i = 0; i < unseen->len; i++)
		rr_remove_feed_key(feed, g_ptr_array_index(unseen, i),
				   feed->range_revision);
	g_ptr_array_unref(unseen);
	return n_missing;
}
