/*
 * change-log.c - the latest change of each key of the store, removals included.
 */
#include "core/change-log.h"

/*
 * Maximum number of removed keys that are kept.  Replicas are replaced daily;
 * this is several times the number of keys that this removes in the longest
 * time between two reads of a peer.
 */
#define MAX_REMOVED_KEYS 2048

struct logged_change {
	char *key;
	char *value; /* NULL: removed */
	bool compressed;
	uint64_t revision;
};

struct rr_change_log {
	GHashTable *items;  /* key -> struct logged_change */
	uint32_t n_removed; /* number of removed keys among them */
	uint64_t floor;	    /* removals up to this revision may be missing */
};

static void free_logged_change(gpointer data)
{
	struct logged_change *logged = data;

	g_free(logged->key);
	g_free(logged->value);
	g_free(logged);
}

struct rr_change_log *rr_new_change_log(void)
{
	struct rr_change_log *change_log = g_new0(struct rr_change_log, 1);

	change_log->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_logged_change);
	return change_log;
}

void rr_drop_change_log(struct rr_change_log *change_log)
{
	if (!change_log)
		return;
	g_hash_table_unref(change_log->items);
	g_free(change_log);
}

/*
 * Drop all removals at once: this is rare, and a reader that needs them can
 * read all items again at little cost.
 */
static void drop_removals(struct rr_change_log *change_log)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, change_log->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct logged_change *logged = value;

		if (logged->value)
			continue;
#ifndef RR_MUTANT_NEWS_FORGETS
		change_log->floor = MAX(change_log->floor, logged->revision);
#endif
		g_hash_table_iter_remove(&iter);
	}
	change_log->n_removed = 0;
}

void rr_put_change(struct rr_change_log *change_log,
		   const struct rr_feed_change *item)
{
	struct logged_change *logged =
		g_hash_table_lookup(change_log->items, item->key);

	if (!logged) {
		logged = g_new0(struct logged_change, 1);
		logged->key = g_strdup(item->key);
		g_hash_table_insert(change_log->items, logged->key, logged);
	} else if (!logged->value) {
		change_log->n_removed--;
	}
	g_free(logged->value);
	logged->value = g_strdup(item->value);
	logged->compressed = item->compressed;
	logged->revision = item->revision;
	if (!item->value && ++change_log->n_removed > MAX_REMOVED_KEYS)
		drop_removals(change_log);
}

static struct rr_feed_change as_change(const struct logged_change *logged)
{
	return (struct rr_feed_change){
		.key = logged->key,
		.value = logged->value,
		.compressed = logged->compressed,
		.revision = logged->revision,
	};
}

void rr_merge_change_log(struct rr_change_log *change_log,
			 const struct rr_change_log *later)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, later->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_feed_change change = as_change(value);

		rr_put_change(change_log, &change);
	}
}

bool rr_find_change(const struct rr_change_log *change_log, const char *key,
		    struct rr_feed_change *change)
{
	const struct logged_change *logged =
		g_hash_table_lookup(change_log->items, key);

	if (logged)
		*change = as_change(logged);
	return logged != NULL;
}

/*
 * Guards against a reader whose items are older than those this log started
 * with: it would never receive the removal of a replica in between.
 */
void rr_start_change_log(struct rr_change_log *change_log, uint64_t revision)
{
#ifndef RR_MUTANT_NEWS_BEGINS_UNTOLD
	change_log->floor = MAX(change_log->floor, revision);
#endif
}

static gint compare_revisions(gconstpointer a, gconstpointer b)
{
	const struct rr_feed_change *one = a;
	const struct rr_feed_change *other = b;

	return one->revision < other->revision ?
		       -1 :
		       one->revision > other->revision;
}

GArray *rr_list_changes_after(const struct rr_change_log *change_log,
			      uint64_t after)
{
	GArray *items;
	GHashTableIter iter;
	gpointer value;

	if (after && after < change_log->floor)
		return NULL;
	items = g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	g_hash_table_iter_init(&iter, change_log->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct logged_change *logged = value;
		struct rr_feed_change item = as_change(logged);

		if (logged->revision > after && (after || logged->value))
			g_array_append_val(items, item);
	}
	g_array_sort(items, compare_revisions);
	return items;
}

uint64_t rr_truncate_changes(GArray *items, guint max_changes)
{
	guint n = max_changes;

	if (items->len <= max_changes)
		return 0;
	while (n < items->len &&
	       g_array_index(items, struct rr_feed_change, n).revision ==
		       g_array_index(items, struct rr_feed_change, n - 1)
			       .revision)
		n++;
	if (n == items->len)
		return 0;
	g_array_set_size(items, n);
	return g_array_index(items, struct rr_feed_change, n - 1).revision;
}
