/*
 * feed-source.c - the order in which the store and other instances are asked.
 *
 * The first instances of a zone by strength watch the store; the others ask
 * these.  Nobody agrees on who is first: from another view of the entries
 * follows a watch more or less, never a change that is missed.
 */
#include "core/feed-source.h"

#include <string.h>

/* Instances of a zone that watch the store: one may freeze or be cut off. */
#define WATCHERS 2
/*
 * First and longest wait after a failure.  The store's is short: it answers
 * within milliseconds again when it is back.
 */
#define FIRST_STORE_WAIT_US (200 * 1000)
#define MOST_STORE_WAIT_US (1500 * 1000)
#define FIRST_INSTANCE_WAIT_US (1 * G_USEC_PER_SEC)
#define MOST_INSTANCE_WAIT_US (8 * G_USEC_PER_SEC)

#define STORE ""

struct source {
	char *address; /* STORE for the store */
	bool seed;     /* given at the start: asked for everything only */
	int64_t bad_until_us;
	int64_t wait_us; /* after the next failure */
};

struct rr_sources {
	struct rr_instance self; /* its address is not needed */
	bool may_follow;
	GHashTable *instances; /* id -> struct rr_instance */
	GPtrArray *order;      /* struct source, the first to ask first */
	bool is_old;	       /* the order: entries have changed since */
	uint32_t watchers;     /* of all zones */
};

static void free_source(gpointer data)
{
	struct source *source = data;

	g_free(source->address);
	g_free(source);
}

static void free_instance(gpointer data)
{
	rr_free_instance(data);
}

static struct source *find_source(const struct rr_sources *sources,
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
	return !strcmp(source->address, STORE);
}

/* Append a source, with what is known of it from the order before. */
static void append_source(GPtrArray *order, const struct rr_sources *old,
			  const char *address, bool seed)
{
	const struct source *known = find_source(old, address);
	struct source *source = g_new0(struct source, 1);

	if (known)
		*source = *known;
	source->address = g_strdup(address);
	source->seed = seed;
	g_ptr_array_add(order, source);
}

static uint32_t hash_of(const struct rr_instance *instance)
{
	return g_str_hash(instance->id);
}

/* Whether `a` is before `b` among those that watch. */
static bool goes_before(const struct rr_instance *a,
			const struct rr_instance *b)
{
	if (a->strength != b->strength)
		return a->strength > b->strength;
	if (hash_of(a) != hash_of(b))
		return hash_of(a) < hash_of(b);
	return strcmp(a->id, b->id) < 0;
}

/* The first instances of one zone, fewer where it has no more. */
struct first {
	const struct rr_instance *instances[WATCHERS];
	guint n;
};

static void add_to_first(struct first *first,
			 const struct rr_instance *instance)
{
	guint place = first->n;

	while (place && goes_before(instance, first->instances[place - 1]))
		place--;
	if (place == WATCHERS)
		return;
	first->n = MIN(first->n + 1, WATCHERS);
	for (guint i = first->n - 1; i > place; i--)
		first->instances[i] = first->instances[i - 1];
	first->instances[place] = instance;
}

static void add_to_zone(GHashTable *zones, const struct rr_instance *instance)
{
	struct first *first = g_hash_table_lookup(zones, instance->zone);

	if (!first) {
		first = g_new0(struct first, 1);
		g_hash_table_insert(zones, instance->zone, first);
	}
	add_to_first(first, instance);
}

/* Zone -> struct first; this instance counts before its entry is there. */
static GHashTable *find_first(const struct rr_sources *sources)
{
	GHashTable *zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;

	add_to_zone(zones, &sources->self);
	g_hash_table_iter_init(&iter, sources->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_to_zone(zones, value);
	return zones;
}

static bool is_self(const struct rr_sources *sources,
		    const struct rr_instance *instance)
{
	return instance == &sources->self;
}

/* Watchers of a zone, from one on that differs from instance to instance. */
static void append_watchers(GPtrArray *order, const struct rr_sources *sources,
			    const struct first *first)
{
	guint from = g_str_hash(sources->self.id);

	for (guint i = 0; i < first->n; i++) {
		const struct rr_instance *instance =
			first->instances[(from + i) % first->n];

		if (!is_self(sources, instance) && *instance->address)
			append_source(order, sources, instance->address, false);
	}
}

static void append_far_watchers(GPtrArray *order,
				const struct rr_sources *sources,
				GHashTable *zones)
{
	GHashTableIter iter;
	gpointer zone;
	gpointer first;

	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, &zone, &first)) {
		if (strcmp(zone, sources->self.zone))
			append_watchers(order, sources, first);
	}
}

static bool is_watcher(const struct rr_sources *sources,
		       const struct first *first)
{
	for (guint i = 0; i < first->n; i++) {
		if (is_self(sources, first->instances[i]))
			return true;
	}
	return false;
}

static uint32_t count_first(GHashTable *zones)
{
	GHashTableIter iter;
	gpointer first;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, NULL, &first))
		n += ((struct first *)first)->n;
	return n;
}

static void append_seeds(GPtrArray *order, const struct rr_sources *old)
{
	for (guint i = 0; i < old->order->len; i++) {
		const struct source *source = g_ptr_array_index(old->order, i);

		if (source->seed)
			append_source(order, old, source->address, true);
	}
}

static void make_order(struct rr_sources *sources)
{
	GPtrArray *order = g_ptr_array_new_with_free_func(free_source);
	GHashTable *zones = find_first(sources);
	const struct first *near =
		g_hash_table_lookup(zones, sources->self.zone);
	bool watches = !sources->may_follow || is_watcher(sources, near);

	if (watches)
		append_source(order, sources, STORE, false);
	if (sources->may_follow)
		append_watchers(order, sources, near);
	if (!watches)
		append_source(order, sources, STORE, false);
	if (sources->may_follow)
		append_far_watchers(order, sources, zones);
	append_seeds(order, sources);
	sources->watchers = sources->may_follow ?
				    count_first(zones) :
				    g_hash_table_size(sources->instances) + 1;
	g_hash_table_unref(zones);
	g_ptr_array_unref(sources->order);
	sources->order = order;
	sources->is_old = false;
}

static void refresh(struct rr_sources *sources)
{
	if (sources->is_old)
		make_order(sources);
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
	sources->order = g_ptr_array_new_with_free_func(free_source);
	for (; seeds && *seeds; seeds++)
		append_source(sources->order, sources, *seeds, true);
	make_order(sources);
	return sources;
}

void rr_drop_sources(struct rr_sources *sources)
{
	if (!sources)
		return;
	g_hash_table_unref(sources->instances);
	g_ptr_array_unref(sources->order);
	g_free(sources->self.id);
	g_free(sources->self.zone);
	g_free(sources);
}

void rr_note_source(struct rr_sources *sources, const char *id,
		    const struct rr_instance *instance)
{
	struct rr_instance *kept;

	g_hash_table_remove(sources->instances, id);
	if (instance && instance->zone && instance->address &&
	    strcmp(id, sources->self.id)) {
		kept = g_new0(struct rr_instance, 1);
		kept->id = g_strdup(id);
		kept->zone = g_strdup(instance->zone);
		kept->address = g_strdup(instance->address);
		kept->strength = instance->strength;
		g_hash_table_insert(sources->instances, kept->id, kept);
	}
	sources->is_old = true;
}

void rr_allow_following(struct rr_sources *sources)
{
	if (sources->may_follow)
		return;
	sources->may_follow = true;
	sources->is_old = true;
}

const char *rr_pick_source(struct rr_sources *sources, int64_t now_us,
			   bool everything, int64_t *due_us)
{
	const struct source *store;

	refresh(sources);
	store = find_source(sources, STORE);
	*due_us = INT64_MAX;
	/* An instance may have fallen behind: what is whole is the store's. */
	if (everything && store->bad_until_us <= now_us)
		return store->address;
	for (guint i = 0; i < sources->order->len; i++) {
		const struct source *source =
			g_ptr_array_index(sources->order, i);

		if (source->seed && !everything)
			continue;
		if (source->bad_until_us <= now_us)
			return source->address;
		*due_us = MIN(*due_us, source->bad_until_us);
	}
	return NULL;
}

void rr_source_failed(struct rr_context *ctx, struct rr_sources *sources,
		      const char *address, int64_t now_us)
{
	struct source *source;
	int64_t most_us;
	int64_t wait_us;

	refresh(sources);
	source = find_source(sources, address);
	if (!source)
		return;
	most_us = is_store(source) ? MOST_STORE_WAIT_US : MOST_INSTANCE_WAIT_US;
	wait_us = source->wait_us;
	if (!wait_us)
		wait_us = is_store(source) ? FIRST_STORE_WAIT_US :
					     FIRST_INSTANCE_WAIT_US;
	source->wait_us = MIN(2 * wait_us, most_us);
	/* Drawn, so that instances do not all come back at once. */
	source->bad_until_us =
		now_us +
		(int64_t)((0.5 + 0.5 * rr_random_unit(ctx)) * (double)wait_us);
}

void rr_source_answered(struct rr_sources *sources, const char *address)
{
	struct source *source;

	refresh(sources);
	source = find_source(sources, address);
	if (!source)
		return;
	source->wait_us = 0;
	source->bad_until_us = 0;
}

bool rr_sources_follow(struct rr_sources *sources)
{
	refresh(sources);
	return !is_store(g_ptr_array_index(sources->order, 0));
}

uint32_t rr_count_watchers(struct rr_sources *sources)
{
	refresh(sources);
	return sources->watchers;
}
