/*
 * news.c - what the store told, by key, the removed ones too.
 */
#include "core/news.h"

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

struct rr_news {
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

struct rr_news *rr_new_news(void)
{
	struct rr_news *news = g_new0(struct rr_news, 1);

	news->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_kept);
	return news;
}

void rr_drop_news(struct rr_news *news)
{
	if (!news)
		return;
	g_hash_table_unref(news->items);
	g_free(news);
}

/* All removals at once: they are cheap to learn anew, and it is rare. */
static void forget_removed(struct rr_news *news)
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

void rr_keep_news(struct rr_news *news, const struct rr_news_item *item)
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
	kept->packed = item->packed;
	kept->revision = item->revision;
	if (!item->value && ++news->n_removed > MOST_REMOVED)
		forget_removed(news);
}

/*
 * Guards against an asker that has an older list than this one began with: it
 * would never hear of a replica that was removed in between.
 */
void rr_begin_news(struct rr_news *news, uint64_t revision)
{
#ifndef RR_MUTANT_NEWS_BEGINS_UNTOLD
	news->floor = MAX(news->floor, revision);
#endif
}

static gint compare_revisions(gconstpointer a, gconstpointer b)
{
	const struct rr_news_item *one = a;
	const struct rr_news_item *other = b;

	return one->revision < other->revision ?
		       -1 :
		       one->revision > other->revision;
}

GArray *rr_news_after(const struct rr_news *news, uint64_t after)
{
	GArray *items;
	GHashTableIter iter;
	gpointer value;

	if (after && after < news->floor)
		return NULL;
	items = g_array_new(FALSE, FALSE, sizeof(struct rr_news_item));
	g_hash_table_iter_init(&iter, news->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kept *kept = value;
		struct rr_news_item item = {
			.key = kept->key,
			.value = kept->value,
			.packed = kept->packed,
			.revision = kept->revision,
		};

		if (kept->revision > after && (after || kept->value))
			g_array_append_val(items, item);
	}
	g_array_sort(items, compare_revisions);
	return items;
}

uint64_t rr_cut_news(GArray *items, guint most)
{
	guint n = most;

	if (items->len <= most)
		return 0;
	while (n < items->len &&
	       g_array_index(items, struct rr_news_item, n).revision ==
		       g_array_index(items, struct rr_news_item, n - 1)
			       .revision)
		n++;
	if (n == items->len)
		return 0;
	g_array_set_size(items, n);
	return g_array_index(items, struct rr_news_item, n - 1).revision;
}
