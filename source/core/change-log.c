/*
 * change-log.c - what the store told, by key, the removed ones too.
 */
#include "core/change-log.h"

/*
 * Removed keys that are remembered: several times what a day's replacements
 * leave in the longest time between two questions.
 */
#define MOST_REMOVED 2048

struct kept {
	char *key;
	char *value; /* NULL: removed */
	bool packed;
	uint64_t revision;
};

struct rr_change_log {
	GHashTable *items;  /* key -> struct kept */
	uint32_t n_removed; /* of them */
	uint64_t floor;	    /* removals up to here may be forgotten */
};

static void free_kept(gpointer data)
{
	struct kept *kept = data;

	g_free(kept->key);
	g_free(kept->value);
	g_free(kept);
}

struct rr_change_log *rr_new_change_log(void)
{
	struct rr_change_log *news = g_new0(struct rr_change_log, 1);

	news->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_kept);
	return news;
}

void rr_drop_change_log(struct rr_change_log *news)
{
	if (!news)
		return;
	g_hash_table_unref(news->items);
	g_free(news);
}

/* All removals at once: they are cheap to learn anew, and it is rare. */
static void forget_removed(struct rr_change_log *news)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, news->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kept *kept = value;

		if (kept->value)
			continue;
#ifndef RR_MUTANT_NEWS_FORGETS
		news->floor = MAX(news->floor, kept->revision);
#endif
		g_hash_table_iter_remove(&iter);
	}
	news->n_removed = 0;
}

void rr_put_change(struct rr_change_log *news,
		   const struct rr_feed_change *item)
{
	struct kept *kept = g_hash_table_lookup(news->items, item->key);

	if (!kept) {
		kept = g_new0(struct kept, 1);
		kept->key = g_strdup(item->key);
		g_hash_table_insert(news->items, kept->key, kept);
	} else if (!kept->value) {
		news->n_removed--;
	}
	g_free(kept->value);
	kept->value = g_strdup(item->value);
	kept->packed = item->compressed;
	kept->revision = item->revision;
	if (!item->value && ++news->n_removed > MOST_REMOVED)
		forget_removed(news);
}

/*
 * Guards against an asker that has an older list than this one began with: it
 * would never hear of a replica that was removed in between.
 */
void rr_start_change_log(struct rr_change_log *news, uint64_t revision)
{
#ifndef RR_MUTANT_NEWS_BEGINS_UNTOLD
	news->floor = MAX(news->floor, revision);
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

GArray *rr_list_changes_after(const struct rr_change_log *news, uint64_t after)
{
	GArray *items;
	GHashTableIter iter;
	gpointer value;

	if (after && after < news->floor)
		return NULL;
	items = g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	g_hash_table_iter_init(&iter, news->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kept *kept = value;
		struct rr_feed_change item = {
			.key = kept->key,
			.value = kept->value,
			.compressed = kept->packed,
			.revision = kept->revision,
		};

		if (kept->revision > after && (after || kept->value))
			g_array_append_val(items, item);
	}
	g_array_sort(items, compare_revisions);
	return items;
}

uint64_t rr_truncate_changes(GArray *items, guint most)
{
	guint n = most;

	if (items->len <= most)
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
