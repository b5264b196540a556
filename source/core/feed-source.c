/*
 * feed-source.c - who is asked now, and what came of asking.
 */
#include "core/feed-source-private.h"

#include <string.h>

/*
 * First and longest wait after a failure.  The store's is short: it answers
 * within milliseconds again when it is back.
 */
#define FIRST_STORE_WAIT_US (200 * 1000)
#define MOST_STORE_WAIT_US (1500 * 1000)
#define FIRST_INSTANCE_WAIT_US (1 * G_USEC_PER_SEC)
#define MOST_INSTANCE_WAIT_US (8 * G_USEC_PER_SEC)
/* Of the one to ask first: it soon hears the store again. */
#define MOST_ABOVE_WAIT_US (2 * G_USEC_PER_SEC)
/*
 * An instance whose entry has gone keeps its place for so long.  Guards against
 * a store that ends the leases of some: all others would find themselves in
 * other places, and ask instances that know nothing of it yet.
 */
#define GONE_US (12 * G_USEC_PER_SEC)

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

static void refresh(struct rr_sources *sources)
{
	if (sources->order_is_stale)
		rr_rebuild_source_order(sources);
}

/* Forget those whose entries went long ago. */
static void forget_gone(struct rr_sources *sources, int64_t now_us)
{
	GHashTableIter iter;
	gpointer id;
	gpointer gone_us;

	g_hash_table_iter_init(&iter, sources->removed_at);
	while (g_hash_table_iter_next(&iter, &id, &gone_us)) {
		if (now_us - *(int64_t *)gone_us < GONE_US)
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
	g_free(sources->self.id);
	g_free(sources->self.zone);
	g_free(sources);
}

static void note_gone(struct rr_sources *sources, int64_t now_us,
		      const char *id)
{
	int64_t *gone_us;

	if (!g_hash_table_contains(sources->instances, id) ||
	    g_hash_table_contains(sources->removed_at, id))
		return;
	gone_us = g_new(int64_t, 1);
	*gone_us = now_us;
	g_hash_table_insert(sources->removed_at, g_strdup(id), gone_us);
}

void rr_update_source(struct rr_sources *sources, int64_t now_us,
		      const char *id, const struct rr_instance *instance)
{
	struct rr_instance *kept;

	if (!instance) {
		note_gone(sources, now_us, id);
		return;
	}
	g_hash_table_remove(sources->instances, id);
	g_hash_table_remove(sources->removed_at, id);
	sources->order_is_stale = true;
	if (!instance->zone || !instance->address ||
	    !strcmp(id, sources->self.id))
		return;
	kept = rr_copy_instance(instance);
	g_free(kept->id);
	kept->id = g_strdup(id);
	g_hash_table_insert(sources->instances, kept->id, kept);
}

void rr_enable_peer_sources(struct rr_sources *sources)
{
	if (sources->peers_enabled)
		return;
	sources->peers_enabled = true;
	sources->order_is_stale = true;
}

const char *rr_pick_source(struct rr_sources *sources, int64_t now_us,
			   bool everything, int64_t *due_us)
{
	const struct source *store;

	forget_gone(sources, now_us);
	refresh(sources);
	store = rr_find_source(sources, STORE);
	*due_us = INT64_MAX;
	/* An instance may have fallen behind: what is whole is the store's. */
	if (everything && store->backoff_until_us <= now_us)
		return store->address;
	for (guint i = 0; i < sources->order->len; i++) {
		const struct source *source =
			g_ptr_array_index(sources->order, i);

		if (source->kind == SOURCE_SEED && !everything)
			continue;
		if (source->backoff_until_us <= now_us)
			return source->address;
		*due_us = MIN(*due_us, source->backoff_until_us);
	}
	return NULL;
}

bool rr_may_ask_store(struct rr_sources *sources, int64_t now_us)
{
	refresh(sources);
	return rr_find_source(sources, STORE)->backoff_until_us <= now_us;
}

/*
 * Guards against a store that is away for all: hundreds that nobody can tell
 * anything would call it each second.  A few do, and tell the others.
 */
static int64_t first_wait_us(const struct rr_sources *sources,
			     const struct source *source)
{
	if (!is_store(source))
		return FIRST_INSTANCE_WAIT_US;
	return sources->is_watch_candidate ? FIRST_STORE_WAIT_US :
					     MOST_INSTANCE_WAIT_US;
}

static int64_t most_wait_us(const struct rr_sources *sources,
			    const struct source *source)
{
	if (source->kind == SOURCE_PRECEDING)
		return MOST_ABOVE_WAIT_US;
	return is_store(source) && sources->is_watch_candidate ?
		       MOST_STORE_WAIT_US :
		       MOST_INSTANCE_WAIT_US;
}

void rr_mark_source_failed(struct rr_context *ctx, struct rr_sources *sources,
			   const char *address, int64_t now_us)
{
	struct source *source;
	int64_t most_us;
	int64_t wait_us;

	refresh(sources);
	source = rr_find_source(sources, address);
	if (!source)
		return;
	most_us = most_wait_us(sources, source);
	wait_us = source->next_backoff_us;
	if (!wait_us)
		wait_us = first_wait_us(sources, source);
	source->next_backoff_us = MIN(2 * wait_us, most_us);
	/* Drawn, so that instances do not all come back at once. */
	source->backoff_until_us =
		now_us +
		(int64_t)((0.5 + 0.5 * rr_random_unit(ctx)) * (double)wait_us);
}

void rr_mark_source_healthy(struct rr_sources *sources, const char *address)
{
	struct source *source;

	refresh(sources);
	source = rr_find_source(sources, address);
	if (!source)
		return;
	source->next_backoff_us = 0;
	source->backoff_until_us = 0;
}

bool rr_prefers_peer_source(struct rr_sources *sources)
{
	refresh(sources);
	return !is_store(g_ptr_array_index(sources->order, 0));
}

bool rr_may_serve_changes_from(struct rr_sources *sources, const char *address)
{
	const struct source *source;

	refresh(sources);
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

	refresh(sources);
	n = sources->registrars->len;
	return n ? g_ptr_array_index(sources->registrars, turn % n) : NULL;
}

bool rr_peer_sources_enabled(const struct rr_sources *sources)
{
	return sources->peers_enabled;
}

uint32_t rr_count_watchers(struct rr_sources *sources)
{
	refresh(sources);
	return sources->n_watchers;
}
