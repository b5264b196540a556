/*
 * feed-source-order.c - the order of sources of an instance, by its rank in its
 * zone.
 *
 * The rank decides which instances watch the store, which stand by as watch
 * candidates, which instance of the level above each one asks, and which
 * instances register the others.  Instances whose views of the entries differ
 * may compute different ranks; this costs one watch more or less, but never
 * misses a change.
 */
#include "core/feed-source-private.h"

#include <string.h>

#include "core/feed-rank.h"

/*
 * Number of watchers of other zones that are asked before the store.  Guards
 * against a store that rejects the highest-ranked instances of a zone: all
 * others of the zone would watch the store themselves, and each would pay for
 * every change.
 */
#define REMOTE_WATCHERS_BEFORE_STORE 2

/* Append a source, keeping its state from the previous order. */
void rr_append_source(GPtrArray *order, const struct rr_sources *old,
		      const char *address, enum source_kind kind)
{
	const struct source *previous = rr_find_source(old, address);
	struct source *source = g_new0(struct source, 1);

	if (previous)
		*source = *previous;
	source->address = g_strdup(address);
	source->kind = kind;
	g_ptr_array_add(order, source);
}

/* The highest-ranked instances of one zone, fewer in a small zone. */
struct top_ranked {
	const struct rr_instance *instances[RR_MAX_WATCH_CANDIDATES];
	guint n;
	guint n_all; /* instances of the zone */
};

/* Return how many instances of the zone watch the store. */
static guint count_watching(const struct top_ranked *top)
{
	return MIN(top->n, rr_zone_watchers(top->n_all));
}

static void add_to_top_ranked(struct top_ranked *top,
			      const struct rr_instance *instance)
{
	guint position = top->n;

	while (position &&
	       rr_ranks_before(instance, top->instances[position - 1]))
		position--;
	if (position == RR_MAX_WATCH_CANDIDATES)
		return;
	top->n = MIN(top->n + 1, RR_MAX_WATCH_CANDIDATES);
	for (guint i = top->n - 1; i > position; i--)
		top->instances[i] = top->instances[i - 1];
	top->instances[position] = instance;
}

static void add_to_zone(GHashTable *zones, const struct rr_instance *instance)
{
	struct top_ranked *top = g_hash_table_lookup(zones, instance->zone);

	if (!top) {
		top = g_new0(struct top_ranked, 1);
		g_hash_table_insert(zones, instance->zone, top);
	}
	add_to_top_ranked(top, instance);
	top->n_all++;
}

/*
 * Return a map from zone name to struct top_ranked.  This instance is not in
 * `sources->instances` and is added here.
 */
static GHashTable *find_top_ranked(const struct rr_sources *sources)
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

/*
 * Return the instances of this instance's zone that rank before it, in order;
 * *n_following is set to the number of those that rank after it.
 */
static GPtrArray *find_preceding(const struct rr_sources *sources,
				 guint *n_following)
{
	GPtrArray *before = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	*n_following = 0;
	g_hash_table_iter_init(&iter, sources->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_instance *instance = value;

		if (strcmp(instance->zone, sources->self.zone))
			continue;
		if (rr_ranks_before(instance, &sources->self))
			g_ptr_array_add(before, value);
		else
			++*n_following;
	}
	g_ptr_array_sort(before, compare_instances);
	return before;
}

/* The position of this instance in its zone, and its preferred parent. */
struct own_position {
	guint rank;
	struct rr_tree_position position;
	/* NULL: this instance is a watcher, or its parents are the watchers */
	const struct rr_instance *parent;
	bool has_children; /* the tree has a level below this instance */
	bool is_registrar; /* registers itself and others */
};

static struct own_position find_own_position(const struct rr_sources *sources)
{
	guint n_following;
	GPtrArray *before = find_preceding(sources, &n_following);
	guint n = before->len + 1 + n_following;
	struct own_position own = { .rank = before->len,
				    .position = rr_find_tree_position(
					    before->len, n) };
	const struct rr_tree_position *position = &own.position;

	own.has_children = n > position->level_end;
	own.is_registrar = before->len < rr_zone_registrars(n);
	if (position->level > 1)
		own.parent = g_ptr_array_index(
			before, position->parents_from +
					before->len % position->n_parents);
	g_ptr_array_unref(before);
	return own;
}

/* Return one watcher of a zone, chosen by the hash of this instance's id. */
static const struct rr_instance *pick_watcher(const struct rr_sources *sources,
					      const struct top_ranked *top)
{
	return top
		->instances[g_str_hash(sources->self.id) % count_watching(top)];
}

static void append_watcher(GPtrArray *order, const struct rr_sources *sources,
			   const struct top_ranked *top)
{
	const struct rr_instance *instance = pick_watcher(sources, top);

	if (*instance->address)
		rr_append_source(order, sources, instance->address,
				 SOURCE_FALLBACK);
}

static gint compare_zones(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Return the other zones in cyclic order, starting with one chosen by the hash
 * of this instance's id, so that instances start with different ones.
 */
static GPtrArray *list_remote_zones(const struct rr_sources *sources,
				    GHashTable *zones)
{
	GPtrArray *sorted = g_ptr_array_new();
	GPtrArray *rotated = g_ptr_array_new();
	GHashTableIter iter;
	gpointer zone;

	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, &zone, NULL)) {
		if (strcmp(zone, sources->self.zone))
			g_ptr_array_add(sorted, zone);
	}
	g_ptr_array_sort(sorted, compare_zones);
	for (guint i = 0; i < sorted->len; i++)
		g_ptr_array_add(rotated,
				g_ptr_array_index(
					sorted, (g_str_hash(sources->self.id) +
						 i) % sorted->len));
	g_ptr_array_unref(sorted);
	return rotated;
}

/*
 * Append one watcher of each other zone, from index `from` up to `end`,
 * exclusive.
 */
static void append_remote_watchers(GPtrArray *order,
				   const struct rr_sources *sources,
				   GHashTable *zones, const GPtrArray *remote,
				   guint from, guint end)
{
	for (guint i = from; i < MIN(remote->len, end); i++)
		append_watcher(order, sources,
			       g_hash_table_lookup(
				       zones, g_ptr_array_index(remote, i)));
}

static void find_remote_watchers(struct rr_sources *sources, GHashTable *zones)
{
	GPtrArray *remote = list_remote_zones(sources, zones);

	g_ptr_array_set_size(sources->remote_watchers, 0);
	for (guint i = 0; i < remote->len; i++) {
		const struct rr_instance *instance = pick_watcher(
			sources, g_hash_table_lookup(
					 zones, g_ptr_array_index(remote, i)));

		if (*instance->address)
			g_ptr_array_add(sources->remote_watchers,
					g_strdup(instance->address));
	}
	g_ptr_array_unref(remote);
}

/* The reference zone is the first by name that has a watcher. */
static void find_reference_watcher(struct rr_sources *sources,
				   GHashTable *zones)
{
	const char *first = sources->self.zone;
	const struct rr_instance *watcher = NULL;
	GHashTableIter iter;
	gpointer zone;
	gpointer top;

	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, &zone, &top)) {
		const struct rr_instance *instance = pick_watcher(sources, top);

		if (strcmp(zone, first) >= 0 || !*instance->address)
			continue;
		first = zone;
		watcher = instance;
	}
	g_free(sources->reference_watcher);
	sources->reference_watcher =
		watcher ? g_strdup(watcher->address) : NULL;
}

static uint32_t count_all_watchers(GHashTable *zones)
{
	GHashTableIter iter;
	gpointer top;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, NULL, &top))
		n += count_watching(top);
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

/*
 * Set the registrars of this instance's zone; none if it is a registrar itself.
 */
static void find_registrars(struct rr_sources *sources,
			    const struct top_ranked *local, bool is_registrar)
{
	guint n = MIN(local->n, rr_zone_registrars(local->n_all));
	guint from = g_str_hash(sources->self.id);

	g_ptr_array_set_size(sources->registrars, 0);
	for (guint i = 0; i < n && !is_registrar; i++) {
		const struct rr_instance *instance =
			local->instances[(from + i) % n];

		if (*instance->address)
			g_ptr_array_add(sources->registrars,
					g_strdup(instance->address));
	}
}

/*
 * Append the watch candidates of this instance's zone: the watchers, starting
 * with one chosen by the hash of its id, then the standbys.  With `before`,
 * those that rank before this instance; otherwise those that rank after it.
 */
static void append_local(GPtrArray *order, const struct rr_sources *sources,
			 const struct top_ranked *local,
			 const struct own_position *own, bool before)
{
	guint n_watching = count_watching(local);
	guint from = g_str_hash(sources->self.id);

	for (guint i = 0; i < local->n; i++) {
		guint at = i < n_watching ? (from + i) % n_watching : i;
		const struct rr_instance *instance = local->instances[at];

		if ((at < own->rank) != before || is_self(sources, instance) ||
		    instance == own->parent || !*instance->address)
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
 * A watcher asks the store first; a standby asks it when no instance that ranks
 * before it is connected to the store; the others ask it after the watchers of
 * two other zones have failed as well.
 */
static void append_all(GPtrArray *order, const struct rr_sources *sources,
		       GHashTable *zones, const struct own_position *own)
{
	const struct top_ranked *local =
		g_hash_table_lookup(zones, sources->self.zone);
	GPtrArray *remote = list_remote_zones(sources, zones);
	bool is_candidate = own->rank < RR_MAX_WATCH_CANDIDATES;
	guint remote_before_store =
		is_candidate ? 0 : REMOTE_WATCHERS_BEFORE_STORE;

	if (!own->position.level)
		append_store(order, sources);
	if (own->parent && *own->parent->address)
		rr_append_source(order, sources, own->parent->address,
				 SOURCE_PRECEDING);
	append_local(order, sources, local, own, true);
	append_remote_watchers(order, sources, zones, remote, 0,
			       remote_before_store);
	if (own->position.level)
		append_store(order, sources);
	append_local(order, sources, local, own, false);
	append_remote_watchers(order, sources, zones, remote,
			       remote_before_store, remote->len);
	g_ptr_array_unref(remote);
}

void rr_rebuild_source_order(struct rr_sources *sources)
{
	GPtrArray *order = g_ptr_array_new_with_free_func(rr_free_source);
	GHashTable *zones = find_top_ranked(sources);
	struct own_position own = find_own_position(sources);

	sources->has_children = sources->peers_enabled && own.has_children;
	sources->is_watch_candidate =
		!sources->peers_enabled || own.rank < RR_MAX_WATCH_CANDIDATES;
	if (sources->peers_enabled)
		append_all(order, sources, zones, &own);
	else
		append_store(order, sources);
	append_seeds(order, sources);
	find_remote_watchers(sources, zones);
	find_reference_watcher(sources, zones);
	find_registrars(sources, g_hash_table_lookup(zones, sources->self.zone),
			!sources->peers_enabled || own.is_registrar);
	sources->n_watchers = sources->peers_enabled ?
				      count_all_watchers(zones) :
				      g_hash_table_size(sources->instances) + 1;
	g_hash_table_unref(zones);
	g_ptr_array_unref(sources->order);
	sources->order = order;
	sources->order_is_stale = false;
}
