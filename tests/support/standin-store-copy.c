/*
 * standin-store-copy.c - copies of the stand-in store's content and its restore.
 */
#include "support/standin-store-private.h"

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

void test_copy_store(struct test_store *store)
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
	test_drop_store_copy(store->copy);
	store->copy = copy;
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
