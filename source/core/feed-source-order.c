/*
 * feed-source-order.c - the order in which an instance asks, from its place in its
 * zone: who watches, who stands by, whose level it asks, and who enters it.
 *
 * Nobody agrees on places: from another view of the entries follows a watch
 * more or less, never a change that is missed.
 */
#include "core/feed-source-private.h"

#include <string.h>

#include "core/feed-rank.h"

/*
 * Watchers of other zones that are asked before the store.  Guards against a
 * store that turns a zone's first instances away: all others of the zone would
 * watch it themselves, and each change would be paid for by each.
 */
#define FAR_BEFORE_STORE 2

/* Append a source, with what is known of it from the order before. */
void rr_append_source(GPtrArray *order, const struct rr_sources *old,
		      const char *address, enum source_kind kind)
{
	const struct source *known = rr_find_source(old, address);
	struct source *source = g_new0(struct source, 1);

	if (known)
		*source = *known;
	source->address = g_strdup(address);
	source->kind = kind;
	g_ptr_array_add(order, source);
}

/* The first instances of one zone, fewer where it has no more. */
struct first {
	const struct rr_instance *instances[RR_MAX_WATCH_CANDIDATES];
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

	while (place && rr_ranks_before(instance, first->instances[place - 1]))
		place--;
	if (place == RR_MAX_WATCH_CANDIDATES)
		return;
	first->n = MIN(first->n + 1, RR_MAX_WATCH_CANDIDATES);
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
	return rr_ranks_before(*(const struct rr_instance *const *)a,
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
		if (rr_ranks_before(instance, &sources->self))
			g_ptr_array_add(before, value);
		else
			++*n_behind;
	}
	g_ptr_array_sort(before, compare_instances);
	return before;
}

/* The place of this instance in its zone, and the one that it asks first. */
struct own_place {
	guint rank;
	struct rr_tree_position place;
	const struct rr_instance *above; /* NULL: its level asks the watchers */
	bool is_asked;			 /* a level is below it */
	bool enters;			 /* itself, and others */
};

static struct own_place find_own_place(const struct rr_sources *sources)
{
	guint n_behind;
	GPtrArray *before = find_before(sources, &n_behind);
	guint n = before->len + 1 + n_behind;
	struct own_place own = { .rank = before->len,
				 .place = rr_find_tree_position(before->len,
								n) };
	const struct rr_tree_position *place = &own.place;

	own.is_asked = n > place->level_end;
	own.enters = before->len < rr_zone_registrars(n);
	if (place->level > 1)
		own.above = g_ptr_array_index(
			before,
			place->parents_from + before->len % place->n_parents);
	g_ptr_array_unref(before);
	return own;
}

/* One watcher of a zone, another from instance to instance. */
static void append_watcher(GPtrArray *order, const struct rr_sources *sources,
			   const struct first *first)
{
	const struct rr_instance *instance =
		first->instances[g_str_hash(sources->self.id) %
				 count_watching(first)];

	if (*instance->address)
		rr_append_source(order, sources, instance->address,
				 SOURCE_FALLBACK);
}

static gint compare_zones(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The other zones in their order, from one on that differs by instance. */
static GPtrArray *list_far_zones(const struct rr_sources *sources,
				 GHashTable *zones)
{
	GPtrArray *sorted = g_ptr_array_new();
	GPtrArray *turned = g_ptr_array_new();
	GHashTableIter iter;
	gpointer zone;

	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, &zone, NULL)) {
		if (strcmp(zone, sources->self.zone))
			g_ptr_array_add(sorted, zone);
	}
	g_ptr_array_sort(sorted, compare_zones);
	for (guint i = 0; i < sorted->len; i++)
		g_ptr_array_add(turned,
				g_ptr_array_index(
					sorted, (g_str_hash(sources->self.id) +
						 i) % sorted->len));
	g_ptr_array_unref(sorted);
	return turned;
}

/* One watcher of each other zone, from the `from`th to before the `end`th. */
static void append_far_watchers(GPtrArray *order,
				const struct rr_sources *sources,
				GHashTable *zones, const GPtrArray *far,
				guint from, guint end)
{
	for (guint i = from; i < MIN(far->len, end); i++)
		append_watcher(
			order, sources,
			g_hash_table_lookup(zones, g_ptr_array_index(far, i)));
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
			rr_append_source(order, old, source->address,
					 SOURCE_SEED);
	}
}

/* Those of its zone that enter others; none for one that is among them. */
static void find_enterers(struct rr_sources *sources, const struct first *near,
			  bool enters)
{
	guint n = MIN(near->n, rr_zone_registrars(near->n_all));
	guint from = g_str_hash(sources->self.id);

	g_ptr_array_set_size(sources->registrars, 0);
	for (guint i = 0; i < n && !enters; i++) {
		const struct rr_instance *instance =
			near->instances[(from + i) % n];

		if (*instance->address)
			g_ptr_array_add(sources->registrars,
					g_strdup(instance->address));
	}
}

/*
 * Those of its own zone that hear the store, or may: the watchers, from one on
 * that differs from instance to instance, then the standbys.  From those that
 * go before it up to its own place, or from there on.
 */
static void append_near(GPtrArray *order, const struct rr_sources *sources,
			const struct first *near, const struct own_place *own,
			bool before)
{
	guint n_watching = count_watching(near);
	guint from = g_str_hash(sources->self.id);

	for (guint i = 0; i < near->n; i++) {
		guint at = i < n_watching ? (from + i) % n_watching : i;
		const struct rr_instance *instance = near->instances[at];

		if ((at < own->rank) != before || is_self(sources, instance) ||
		    instance == own->above || !*instance->address)
			continue;
		rr_append_source(order, sources, instance->address,
				 before ? SOURCE_PRECEDING : SOURCE_FALLBACK);
	}
}

static void append_store(GPtrArray *order, const struct rr_sources *sources)
{
	rr_append_source(order, sources, STORE, SOURCE_STORE);
}

/*
 * A watcher asks the store first; a standby where no one before it hears it;
 * the others once two other zones' watchers do not either.
 */
static void append_all(GPtrArray *order, const struct rr_sources *sources,
		       GHashTable *zones, const struct own_place *own)
{
	const struct first *near =
		g_hash_table_lookup(zones, sources->self.zone);
	GPtrArray *far = list_far_zones(sources, zones);
	bool stands_by = own->rank < RR_MAX_WATCH_CANDIDATES;
	guint far_before = stands_by ? 0 : FAR_BEFORE_STORE;

	if (!own->place.level)
		append_store(order, sources);
	if (own->above && *own->above->address)
		rr_append_source(order, sources, own->above->address,
				 SOURCE_PRECEDING);
	append_near(order, sources, near, own, true);
	append_far_watchers(order, sources, zones, far, 0, far_before);
	if (own->place.level)
		append_store(order, sources);
	append_near(order, sources, near, own, false);
	append_far_watchers(order, sources, zones, far, far_before, far->len);
	g_ptr_array_unref(far);
}

void rr_rebuild_source_order(struct rr_sources *sources)
{
	GPtrArray *order = g_ptr_array_new_with_free_func(rr_free_source);
	GHashTable *zones = find_first(sources);
	struct own_place own = find_own_place(sources);

	sources->has_children = sources->peers_enabled && own.is_asked;
	sources->is_watch_candidate =
		!sources->peers_enabled || own.rank < RR_MAX_WATCH_CANDIDATES;
	if (sources->peers_enabled)
		append_all(order, sources, zones, &own);
	else
		append_store(order, sources);
	append_seeds(order, sources);
	find_enterers(sources, g_hash_table_lookup(zones, sources->self.zone),
		      !sources->peers_enabled || own.enters);
	sources->n_watchers = sources->peers_enabled ?
				      count_first(zones) :
				      g_hash_table_size(sources->instances) + 1;
	g_hash_table_unref(zones);
	g_ptr_array_unref(sources->order);
	sources->order = order;
	sources->order_is_stale = false;
}
