/*
 * feed-items.c - the store's items as they are learnt, and forgotten.
 */
#include "core/feed-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

void rr_free_feed_item(gpointer data)
{
	struct rr_feed_item *item = data;

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

static void forget_instance(struct rr_feed *feed, const char *id)
{
	rr_update_source(feed->sources, feed->now_us, id, NULL);
	feed->actions.instance(feed->actions.data, id, NULL);
}

static void forget_quarantine(struct rr_feed *feed, const char *id)
{
	struct rr_fingerprint fingerprint;

	if (rr_parse_fingerprint(id, &fingerprint))
		feed->actions.quarantine(feed->actions.data, &fingerprint,
					 NULL);
}

/* Whom a key named is not known to be there any more. */
static void forget_named(struct rr_feed *feed,
			 const struct rr_feed_key_state *known,
			 uint64_t revision)
{
	if (known->kind == RR_FEED_REPLICA)
		feed->actions.replica_unlisted(feed->actions.data, known->id);
	else if (known->kind == RR_FEED_INSTANCE)
		forget_instance(feed, known->id);
	else if (known->kind == RR_FEED_EVACUATION)
		feed->actions.evacuation(feed->actions.data, known->id,
					 revision, false);
	else if (known->kind == RR_FEED_QUARANTINE)
		forget_quarantine(feed, known->id);
}

static void set_names_one(struct rr_feed *feed, struct rr_feed_key_state *known,
			  bool names_one)
{
	if (known->kind == RR_FEED_INSTANCE && names_one != known->is_valid)
		feed->n_instances += names_one ? 1 : -1;
	known->is_valid = names_one;
}

static void forget_key(struct rr_feed *feed, const char *key, uint64_t revision)
{
	struct rr_feed_key_state *known = g_hash_table_lookup(feed->keys, key);
	struct rr_feed_change news = { .key = key, .revision = revision };

	if (!known)
		return;
	rr_put_change(feed->change_log, &news);
	forget_named(feed, known, revision);
	set_names_one(feed, known, false);
	g_hash_table_remove(feed->keys, key);
}

static void tell_fault(struct rr_context *ctx, struct rr_feed_key_state *known,
		       const struct rr_feed_item *item)
{
	rr_count(ctx, RR_N_STORE_VALUES_INVALID, 1);
	/* Written again and again, it is told once. */
	if (known->decode_error != item->decode_error)
		rr_log(ctx, RR_LOG_ERROR, "item-unreadable",
		       RR_FIELD_STRING("key", item->key),
		       RR_FIELD_STRING("reason", item->decode_error),
		       RR_FIELD_U64("revision", item->revision));
	known->decode_error = item->decode_error;
}

/*
 * A value that is none of its kind names nobody.  Guards against entries that
 * others write: what its key named before is not known to be there any more.
 * The routes in force stay, since without any nobody would be served.
 */
static void learn_fault(struct rr_context *ctx, struct rr_feed *feed,
			struct rr_feed_key_state *known,
			const struct rr_feed_item *item)
{
	if (known->is_valid)
		forget_named(feed, known, item->revision);
	set_names_one(feed, known, false);
	tell_fault(ctx, known, item);
}

/*
 * Only operators write these keys: one whose value cannot be read still asks
 * for the evacuation.
 */
static void learn_evacuation(struct rr_context *ctx, struct rr_feed *feed,
			     struct rr_feed_key_state *known,
			     const struct rr_feed_item *item)
{
	if (item->decode_error)
		tell_fault(ctx, known, item);
	feed->actions.evacuation(feed->actions.data, item->id, item->revision,
				 true);
}

static void learn(struct rr_context *ctx, struct rr_feed *feed,
		  struct rr_feed_key_state *known,
		  const struct rr_feed_item *item)
{
	if (item->kind == RR_FEED_EVACUATION) {
		learn_evacuation(ctx, feed, known, item);
		return;
	}
#ifndef RR_MUTANT_FEED_KEEPS_UNREADABLE
	if (item->decode_error) {
		learn_fault(ctx, feed, known, item);
		return;
	}
#endif
	known->decode_error = NULL;
	set_names_one(feed, known, true);
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

static void keep_for_others(struct rr_feed *feed,
			    const struct rr_feed_item *item)
{
	struct rr_feed_change news = {
		.key = item->key,
		.value = item->value,
		.compressed = item->compressed,
		.revision = item->revision,
	};

	if (item->value)
		rr_put_change(feed->change_log, &news);
}

void rr_apply_feed_item(struct rr_context *ctx, struct rr_feed *feed,
			const struct rr_feed_item *item)
{
	struct rr_feed_key_state *known =
		g_hash_table_lookup(feed->keys, item->key);

	if (item->kind == RR_FEED_OTHER)
		return;
	if (item->kind == RR_FEED_INSTANCE)
		rr_observe_registration(feed->registrations, item->id,
					item->revision, item->removed);
#ifndef RR_MUTANT_FEED_OLD_NEWS
	if (known && item->revision < known->revision)
		return;
#endif
	if (item->removed) {
		forget_key(feed, item->key, item->revision);
		return;
	}
	if (!known) {
		known = g_new0(struct rr_feed_key_state, 1);
		known->kind = item->kind;
		known->id = g_strdup(item->id);
		g_hash_table_insert(feed->keys, g_strdup(item->key), known);
	}
	known->seen = true;
	if (known->revision == item->revision)
		return;
	known->revision = item->revision;
	keep_for_others(feed, item);
	learn(ctx, feed, known, item);
}

void rr_remove_unseen_keys(struct rr_feed *feed)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer known;

	g_hash_table_iter_init(&iter, feed->keys);
	while (g_hash_table_iter_next(&iter, &key, &known)) {
		if (!((struct rr_feed_key_state *)known)->seen)
			g_ptr_array_add(gone, g_strdup(key));
	}
	for (guint i = 0; i < gone->len; i++)
		forget_key(feed, g_ptr_array_index(gone, i),
			   feed->range_revision);
	g_ptr_array_unref(gone);
}
