/*
 * feed-source.c - selection of the source to read from, with backoff after
 * failures.
 */
#include "core/feed-source-private.h"

#include <string.h>

/*
 * First and longest backoff after a failure.  The store's is short: when it is
 * reachable again it answers within milliseconds.
 */
#define MIN_STORE_BACKOFF_US (200 * 1000)
#define MAX_STORE_BACKOFF_US (1500 * 1000)
#define MIN_PEER_BACKOFF_US (1 * G_USEC_PER_SEC)
#define MAX_PEER_BACKOFF_US (8 * G_USEC_PER_SEC)
/*
 * Longest backoff of a source that ranks before this instance.  Shorter, since
 * such a source soon reconnects to the store.
 */
#define MAX_PRECEDING_BACKOFF_US (2 * G_USEC_PER_SEC)
/*
 * An instance whose entry was removed keeps its rank for this long.  Guards
 * against a store that ends the leases of some instances: all others would
 * change rank and ask instances that do not know of the change yet.
 */
#define REMOVAL_DELAY_US (12 * G_USEC_PER_SEC)

void rr_free_source(gpointer data)
{
	struct source *source = data;

	g_free(source->address);
	g_free(source);
}

static void free_instance(gpointer data)
{
	rr_free_instance(data);
}

struct source *rr_find_source(const struct rr_sources *sources,
			      const char *address)
{
	for (guint i = 0; i < sources->order->len; i++) {
		struct source *source = g_ptr_array_index(sources->order, i);

		if (!strcmp(source->address, address))
			return source;
	}
	return NULL;
}

static bool is_store(const struct source *source)
{
	return source->kind == SOURCE_STORE;
}

static void refresh_order(struct rr_sources *sources)
{
	if (sources->order_is_stale)
		rr_rebuild_source_order(sources);
}

/* Drop the instances whose entries were removed long ago. */
static void purge_removed(struct rr_sources *sources, int64_t now_us)
{
	GHashTableIter iter;
	gpointer id;
	gpointer removed_us;

	g_hash_table_iter_init(&iter, sources->removed_at);
	while (g_hash_table_iter_next(&iter, &id, &removed_us)) {
		if (now_us - *(int64_t *)removed_us < REMOVAL_DELAY_US)
			continue;
		g_hash_table_remove(sources->instances, id);
		g_hash_table_iter_remove(&iter);
		sources->order_is_stale = true;
	}
}

struct rr_sources *rr_new_sources(const struct rr_instance *self,
				  const char *const *seeds)
{
	struct rr_sources *sources = g_new0(struct rr_sources, 1);

	sources->self.id = g_strdup(self->id ? self->id : "");
	sources->self.zone = g_strdup(self->zone ? self->zone : "");
	sources->self.strength = self->strength;
	sources->instances = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_instance);
	sources->removed_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sources->order = g_ptr_array_new_with_free_func(rr_free_source);
	sources->registrars = g_ptr_array_new_with_free_func(g_free);
	sources->remote_watchers = g_ptr_array_new_with_free_func(g_free);
	for (; seeds && *seeds; seeds++)
		rr_append_source(sources->order, sources, *seeds, SOURCE_SEED);
	rr_rebuild_source_order(sources);
	return sources;
}

void rr_drop_sources(struct rr_sources *sources)
{
	if (!sources)
		return;
	g_hash_table_unref(sources->instances);
	g_hash_table_unref(sources->removed_at);
	g_ptr_array_unref(sources->order);
	g_ptr_array_unref(sources->registrars);
	g_ptr_array_unref(sources->remote_watchers);
	g_free(sources->reference_watcher);
	g_free(sources->self.id);
	g_free(sources->self.zone);
	g_free(sources);
}

static void mark_removed(struct rr_sources *sources, int64_t now_us,
			 const char *id)
{
	int64_t *removed_us;

	if (!g_hash_table_contains(sources->instances, id) ||
	    g_hash_table_contains(sources->removed_at, id))
		return;
	removed_us = g_new(int64_t, 1);
	*removed_us = now_us;
	g_hash_table_insert(sources->removed_at, g_strdup(id), removed_us);
}

void rr_update_source(struct rr_sources *sources, int64_t now_us,
		      const char *id, const struct rr_instance *instance)
{
	struct rr_instance *copy;

	if (!instance) {
		mark_removed(sources, now_us, id);
		return;
	}
	g_hash_table_remove(sources->instances, id);
	g_hash_table_remove(sources->removed_at, id);
	sources->order_is_stale = true;
	if (!instance->zone || !instance->address ||
	    !strcmp(id, sources->self.id))
		return;
	copy = rr_copy_instance(instance);
	g_free(copy->id);
	copy->id = g_strdup(id);
	g_hash_table_insert(sources->instances, copy->id, copy);
}

void rr_enable_peer_sources(struct rr_sources *sources)
{
	if (sources->peers_enabled)
		return;
	sources->peers_enabled = true;
	sources->order_is_stale = true;
}

/* Whether a source may be asked, if it is not in backoff. */
static bool is_allowed(const struct rr_sources *sources,
		       const struct source *source,
		       enum rr_read_purpose purpose)
{
	if (source->kind == SOURCE_SEED)
		return purpose == RR_READ_RANGE;
#ifdef RR_MUTANT_FEED_VERIFIES_AT_STORE
	return true;
#endif
	return purpose != RR_READ_VERIFY || !is_store(source) ||
	       sources->is_watch_candidate;
}

const char *rr_pick_source(struct rr_sources *sources, int64_t now_us,
			   enum rr_read_purpose purpose, int64_t *due_us)
{
	const struct source *store;

	purge_removed(sources, now_us);
	refresh_order(sources);
	store = rr_find_source(sources, STORE);
	*due_us = INT64_MAX;
	if (purpose == RR_READ_RANGE && store->backoff_until_us <= now_us)
		return store->address;
	for (guint i = 0; i < sources->order->len; i++) {
		const struct source *source =
			g_ptr_array_index(sources->order, i);

		if (!is_allowed(sources, source, purpose))
			continue;
		if (source->backoff_until_us <= now_us)
			return source->address;
		*due_us = MIN(*due_us, source->backoff_until_us);
	}
	return NULL;
}

bool rr_may_ask_store(struct rr_sources *sources, int64_t now_us)
{
	refresh_order(sources);
	return rr_find_source(sources, STORE)->backoff_until_us <= now_us;
}

/*
 * Return the first backoff after a failure.  Guards against a store that is
 * unreachable for all: hundreds of instances without any other source would
 * call it each second.  Only the watch candidates retry it that soon, and they
 * pass changes on to the others.
 */
static int64_t min_backoff_us(const struct rr_sources *sources,
			      const struct source *source)
{
	if (!is_store(source))
		return MIN_PEER_BACKOFF_US;
	return sources->is_watch_candidate ? MIN_STORE_BACKOFF_US :
					     MAX_PEER_BACKOFF_US;
}

static int64_t max_backoff_us(const struct rr_sources *sources,
			      const struct source *source)
{
	if (source->kind == SOURCE_PRECEDING)
		return MAX_PRECEDING_BACKOFF_US;
	return is_store(source) && sources->is_watch_candidate ?
		       MAX_STORE_BACKOFF_US :
		       MAX_PEER_BACKOFF_US;
}

void rr_mark_source_failed(struct rr_context *ctx, struct rr_sources *sources,
			   const char *address, int64_t now_us)
{
	struct source *source;
	int64_t max_us;
	int64_t backoff_us;

	refresh_order(sources);
	source = rr_find_source(sources, address);
	if (!source)
		return;
	max_us = max_backoff_us(sources, source);
	backoff_us = source->next_backoff_us;
	if (!backoff_us)
		backoff_us = min_backoff_us(sources, source);
	source->next_backoff_us = MIN(2 * backoff_us, max_us);
	/* Randomised, so that instances do not all retry at once. */
	source->backoff_until_us =
		now_us + (int64_t)((0.5 + 0.5 * rr_random_unit(ctx)) *
				   (double)backoff_us);
}

void rr_mark_source_healthy(struct rr_sources *sources, const char *address)
{
	struct source *source;

	refresh_order(sources);
	source = rr_find_source(sources, address);
	if (!source)
		return;
	source->next_backoff_us = 0;
	source->backoff_until_us = 0;
}

bool rr_prefers_peer_source(struct rr_sources *sources)
{
	refresh_order(sources);
	return !is_store(g_ptr_array_index(sources->order, 0));
}

bool rr_may_serve_changes_from(struct rr_sources *sources, const char *address)
{
	const struct source *source;

	refresh_order(sources);
	source = rr_find_source(sources, address);
#ifdef RR_MUTANT_SOURCE_TELLS_ANYTHING
	return source != NULL;
#endif
	return source && source->kind == SOURCE_PRECEDING &&
	       sources->has_children;
}

const char *rr_find_registrar(struct rr_sources *sources, guint turn)
{
	guint n;

	refresh_order(sources);
	n = sources->registrars->len;
	return n ? g_ptr_array_index(sources->registrars, turn % n) : NULL;
}

const char *rr_find_remote_watcher(struct rr_sources *sources, guint turn)
{
	guint n;

	refresh_order(sources);
	n = sources->remote_watchers->len;
	return n ? g_ptr_array_index(sources->remote_watchers, turn % n) : NULL;
}

const char *rr_find_reference_watcher(struct rr_sources *sources)
{
	refresh_order(sources);
	return sources->reference_watcher;
}

bool rr_peer_sources_enabled(const struct rr_sources *sources)
{
	return sources->peers_enabled;
}

uint32_t rr_count_watchers(struct rr_sources *sources)
{
	refresh_order(sources);
	return sources->n_watchers;
}
