/*
 * standin-store-copy.c - copies of the stand-in store's content, its restore, and
 * stale reads.
 */
#include "support/standin-store-private.h"

#include <string.h>

struct test_store_copy {
	uint64_t revision;
	GPtrArray *items;  /* struct test_store_item */
	GPtrArray *leases; /* struct test_store_lease */
};

void test_drop_store_copy(struct test_store_copy *copy)
{
	if (!copy)
		return;
	g_ptr_array_unref(copy->items);
	g_ptr_array_unref(copy->leases);
	g_free(copy);
}

static struct test_store_item *copy_item(const struct test_store_item *item)
{
	return test_new_store_item(item->key, item->value, item->revision,
				   item->lease);
}

static struct test_store_copy *new_copy(const struct test_store *store)
{
	struct test_store_copy *copy = g_new0(struct test_store_copy, 1);
	GHashTableIter iter;
	gpointer value;

	copy->revision = store->revision;
	copy->items = g_ptr_array_new_with_free_func(test_free_store_item);
	copy->leases = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(copy->items, copy_item(value));
	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(
			copy->leases,
			g_memdup2(value, sizeof(struct test_store_lease)));
	return copy;
}

void test_copy_store(struct test_store *store)
{
	test_drop_store_copy(store->copy);
	store->copy = new_copy(store);
}

void test_hold_stale_reads(struct test_store *store)
{
	test_release_stale_reads(store);
	store->stale_copy = new_copy(store);
}

void test_release_stale_reads(struct test_store *store)
{
	g_clear_pointer(&store->stale_copy, test_drop_store_copy);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp((*(const struct test_store_item *const *)a)->key,
		      (*(const struct test_store_item *const *)b)->key);
}

GPtrArray *test_list_store_items(const struct test_store *store, bool stale,
				 uint64_t *revision)
{
	const struct test_store_copy *copy = stale ? store->stale_copy : NULL;
	GPtrArray *items = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	if (copy) {
		for (guint i = 0; i < copy->items->len; i++)
			g_ptr_array_add(items,
					g_ptr_array_index(copy->items, i));
	} else {
		g_hash_table_iter_init(&iter, store->items);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			g_ptr_array_add(items, value);
	}
	g_ptr_array_sort(items, compare_keys);
	*revision = copy ? copy->revision : store->revision;
	return items;
}

/* Leases of the copy start anew. */
static void restore_leases(struct test_store *store)
{
	g_hash_table_remove_all(store->leases);
	for (guint i = 0; i < store->copy->leases->len; i++) {
		struct test_store_lease *lease =
			g_memdup2(g_ptr_array_index(store->copy->leases, i),
				  sizeof(struct test_store_lease));

		lease->expires_us = g_get_monotonic_time() + lease->ttl_us;
		g_hash_table_insert(store->leases, &lease->id, lease);
	}
}

/* Drop the changes made since the copy. */
static void truncate_changes(struct test_store *store)
{
	guint n = store->changes->len;

	while (n && ((struct test_store_item *)g_ptr_array_index(store->changes,
								 n - 1))
				    ->revision > store->copy->revision)
		n--;
	g_ptr_array_set_size(store->changes, (gint)n);
}

void test_restore_store(struct test_store *store)
{
	g_hash_table_remove_all(store->items);
	for (guint i = 0; i < store->copy->items->len; i++) {
		const struct test_store_item *item =
			g_ptr_array_index(store->copy->items, i);

		g_hash_table_insert(store->items, g_strdup(item->key),
				    copy_item(item));
	}
	restore_leases(store);
	truncate_changes(store);
	store->revision = store->copy->revision;
	store->compacted_revision =
		MIN(store->compacted_revision, store->revision);
	store->era++;
	test_close_store_connections(store);
}
