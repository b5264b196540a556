/*
 * feed-source.c - the order in which the store and other instances are asked.
 *
 * The first instances of a zone by strength watch the store, the next ask
 * these, and in a large zone the rest ask those.  Nobody agrees on who is
 * first: from another view of the entries follows a watch more or less, never
 * a change that is missed.
 */
#include "core/feed-source.h"

#include "core/feed-rank.h"

#include <string.h>

/*
 * First and longest wait after a failure.  The store's is short: it answers
 * within milliseconds again when it is back.
 */
#define FIRST_STORE_WAIT_US (200 * 1000)
#define MOST_STORE_WAIT_US (1500 * 1000)
#define FIRST_INSTANCE_WAIT_US (1 * G_USEC_PER_SEC)
#define MOST_INSTANCE_WAIT_US (8 * G_USEC_PER_SEC)

#define STORE ""

enum source_kind {
	SOURCE_STORE,
	SOURCE_ABOVE,  /* goes before this instance in its own zone */
	SOURCE_BESIDE, /* watches, too, or is of another zone */
	SOURCE_SEED,   /* given at the start: asked for everything only */
};

struct source {
	enum source_kind kind;
	char *address; /* STORE for the store */
	int64_t bad_until_us;
	int64_t wait_us; /* after the next failure */
};

struct rr_sources {
	struct rr_instance self; /* its address is not needed */
	bool may_follow;
	GHashTable *instances; /* id -> struct rr_instance */
	GPtrArray *order;      /* struct source, the first to ask first */
	bool is_old;	       /* the order: entries have changed since */
	bool is_asked;	       /* a level of its zone is below it */
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
	return source->kind == SOURCE_STORE;
}

/* Append a source, with what is known of it from the order before. */
static void append_source(GPtrArray *order, const struct rr_sources *old,
			  const char *address, enum source_kind kind)
{
	const struct source *known = find_source(old, address);
	struct source *source = g_new0(struct source, 1);

	if (known)
		*source = *known;
	source->address = g_strdup(address);
	source->kind = kind;
	g_ptr_array_add(order, source);
}

/* The first instances of one zone, fewer where it has no more. */
struct first {
	const struct rr_instance *instances[RR_WATCHERS];
	guint n;
	guint n_all; /* instances of the zone */
};

/* Of these, how many watch the store. */
static guint count_watching(const struct first *first)
{
	return MIN(first->n, rr_zone_watchers(first->n_all));
}

static void add_to_first(struct first *first,
			 const struct rr_instance *instance)
{
	guint place = first->n;

	while (place && rr_goes_before(instance, first->instances[place - 1]))
		place--;
	if (place == RR_WATCHERS)
		return;
	first->n = MIN(first->n + 1, RR_WATCHERS);
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
	first->n_all++;
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

static gint compare_instances(gconstpointer a, gconstpointer b)
{
	return rr_goes_before(*(const struct rr_instance *const *)a,
			      *(const struct rr_instance *const *)b) ?
		       -1 :
		       1;
}

/* Those of its own zone that go before this one, in order. */
static GPtrArray *find_before(const struct rr_sources *sources, guint *n_behind)
{
	GPtrArray *before = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	*n_behind = 0;
	g_hash_table_iter_init(&iter, sources->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_instance *instance = value;

		if (strcmp(instance->zone, sources->self.zone))
			continue;
		if (rr_goes_before(instance, &sources->self))
			g_ptr_array_add(before, value);
		else
			++*n_behind;
	}
	g_ptr_array_sort(before, compare_instances);
	return before;
}

/* The place of this instance in its zone, and the one that it asks first. */
struct own_place {
	struct rr_place place;
	const struct rr_instance *above; /* NULL: its level asks the watchers */
	bool is_asked;			 /* a level is below it */
};

static struct own_place find_own_place(const struct rr_sources *sources)
{
	guint n_behind;
	GPtrArray *before = find_before(sources, &n_behind);
	guint n = before->len + 1 + n_behind;
	struct own_place own = { .place = rr_find_place(before->len, n) };
	const struct rr_place *place = &own.place;

	own.is_asked = n > place->end;
	if (place->level > 1)
		own.above = g_ptr_array_index(
			before,
			place->above_from + before->len % place->n_above);
	g_ptr_array_unref(before);
	return own;
}

/*
 * Watchers of a zone, `most` of them at the most, from one on that differs
 * from instance to instance.
 */
static void append_watchers(GPtrArray *order, const struct rr_sources *sources,
			    const struct first *first, enum source_kind kind,
			    guint most)
{
	guint from = g_str_hash(sources->self.id);
	guint n = count_watching(first);

	for (guint i = 0; i < MIN(n, most); i++) {
		const struct rr_instance *instance =
			first->instances[(from + i) % n];

		if (!is_self(sources, instance) && *instance->address)
			append_source(order, sources, instance->address, kind);
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
			append_watchers(order, sources, first, SOURCE_BESIDE,
					RR_WATCHERS);
	}
}

static uint32_t count_first(GHashTable *zones)
{
	GHashTableIter iter;
	gpointer first;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, NULL, &first))
		n += count_watching(first);
	return n;
}

static void append_seeds(GPtrArray *order, const struct rr_sources *old)
{
	for (guint i = 0; i < old->order->len; i++) {
		const struct source *source = g_ptr_array_index(old->order, i);

		if (source->kind == SOURCE_SEED)
			append_source(order, old, source->address, SOURCE_SEED);
	}
}

static void make_order(struct rr_sources *sources)
{
	GPtrArray *order = g_ptr_array_new_with_free_func(free_source);
	GHashTable *zones = find_first(sources);
	const struct first *near =
		g_hash_table_lookup(zones, sources->self.zone);
	struct own_place own = find_own_place(sources);
	bool watches = !sources->may_follow || !own.place.level;

	sources->is_asked = sources->may_follow && own.is_asked;
	if (watches)
		append_source(order, sources, STORE, SOURCE_STORE);
	if (sources->may_follow) {
		if (own.above && *own.above->address)
			append_source(order, sources, own.above->address,
				      SOURCE_ABOVE);
		/* Two are waited for at the most, then the store is asked. */
		append_watchers(order, sources, near,
				watches ? SOURCE_BESIDE : SOURCE_ABOVE,
				own.above ? RR_WATCHERS - 1 : RR_WATCHERS);
	}
	if (!watches)
		append_source(order, sources, STORE, SOURCE_STORE);
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
		append_source(sources->order, sources, *seeds, SOURCE_SEED);
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

		if (source->kind == SOURCE_SEED && !everything)
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

bool rr_source_may_be_told(struct rr_sources *sources, const char *address)
{
	const struct source *source;

	refresh(sources);
	source = find_source(sources, address);
#ifdef RR_MUTANT_SOURCE_TELLS_ANYTHING
	return source != NULL;
#endif
	return source && source->kind == SOURCE_ABOVE && sources->is_asked;
}

uint32_t rr_count_watchers(struct rr_sources *sources)
{
	refresh(sources);
	return sources->watchers;
}
