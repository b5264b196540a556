/*
 * test-change-log.c - the changes that one instance serves to another.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/change-log.h"
#include "ragwort/feed.h"

static void put_change(struct rr_change_log *change_log, const char *key,
		       uint64_t revision, const char *value)
{
	struct rr_feed_change item = {
		.key = key,
		.value = value,
		.revision = revision,
	};

	rr_put_change(change_log, &item);
}

static void assert_after(const struct rr_change_log *change_log, uint64_t after,
			 const char *expected)
{
	GArray *items = rr_list_changes_after(change_log, after);
	GString *actual = g_string_new(NULL);

	assert_non_null(items);
	for (guint i = 0; i < items->len; i++) {
		const struct rr_feed_change *item =
			&g_array_index(items, struct rr_feed_change, i);

		g_string_append_printf(actual, "%s=%s@%u ", item->key,
				       item->value ? item->value : "-",
				       (unsigned int)item->revision);
	}
	assert_string_equal(actual->str, expected);
	g_string_free(actual, TRUE);
	g_array_unref(items);
}

static void test_changes_in_order(void **state)
{
	struct rr_change_log *change_log = rr_new_change_log();

	put_change(change_log, "b", 5, "B");
	put_change(change_log, "a", 3, "A");
	put_change(change_log, "c", 4, "C");
	put_change(change_log, "a", 9, "A2");
	put_change(change_log, "c", 8, NULL);
	assert_after(change_log, 4, "b=B@5 c=-@8 a=A2@9 ");
	assert_after(change_log, 8, "a=A2@9 ");
	assert_after(change_log, 9, "");
	/* All present items, without removed ones. */
	assert_after(change_log, 0, "b=B@5 a=A2@9 ");
	put_change(change_log, "c", 12, "C3");
	assert_after(change_log, 8, "a=A2@9 c=C3@12 ");
	rr_drop_change_log(change_log);
}

/*
 * Guards against unbounded growth while a fleet replaces its replicas for
 * weeks.  Old removals are dropped; a reader from before them has to read all
 * items again, since it would otherwise miss that a replica left.
 */
static void test_removed_keys_are_bounded(void **state)
{
	struct rr_change_log *change_log = rr_new_change_log();
	uint64_t revision = 10;
	GArray *recent;

	put_change(change_log, "stays", 5, "S");
	for (int i = 0; i < 5000; i++) {
		char *key = g_strdup_printf("k%d", i);

		put_change(change_log, key, ++revision, "v");
		put_change(change_log, key, ++revision, NULL);
		g_free(key);
	}
	assert_null(rr_list_changes_after(change_log, 100));
	recent = rr_list_changes_after(change_log, revision - 20);
	assert_non_null(recent);
	assert_int_equal(recent->len, 10);
	assert_after(change_log, 0, "stays=S@5 ");
	g_array_unref(recent);
	rr_drop_change_log(change_log);
}

/*
 * An instance restarts and reads the list at revision 50; a replica was removed
 * at 45.  A reader that is at revision 40 switches to it.  Neither of them
 * would ever learn of the removal, so the reader has to read all items again.
 */
static void test_removals_before_the_start(void **state)
{
	struct rr_change_log *change_log = rr_new_change_log();

	(void)state;
	put_change(change_log, "a", 3, "A");
	rr_start_change_log(change_log, 50);
	assert_null(rr_list_changes_after(change_log, 40));
	assert_after(change_log, 50, "");
	assert_after(change_log, 0, "a=A@3 ");
	put_change(change_log, "a", 51, NULL);
	assert_after(change_log, 50, "a=-@51 ");
	rr_drop_change_log(change_log);
}

/*
 * Guards against delays when an index is resharded and eight hundred entries
 * change within seconds: applied as one reply they block a weak instance, and
 * its callers, for a tenth of a second.  Changes are served in parts, between
 * which the reader serves its callers; a part never ends among changes of one
 * revision.
 */
static void test_truncation(void **state)
{
	struct rr_change_log *change_log = rr_new_change_log();
	GArray *items;

	(void)state;
	for (uint64_t i = 1; i <= 9; i++) {
		char *key = g_strdup_printf("k%u", (unsigned int)i);

		put_change(change_log, key, 10 + i / 4, "v");
		g_free(key);
	}
	items = rr_list_changes_after(change_log, 1);
	assert_int_equal(items->len, 9);
	assert_int_equal(rr_truncate_changes(items, 5), 11);
	assert_int_equal(items->len, 7);
	assert_int_equal(rr_truncate_changes(items, 7), 0);
	g_array_unref(items);
	items = rr_list_changes_after(change_log, 11);
	assert_int_equal(rr_truncate_changes(items, 1), 0);
	assert_int_equal(items->len, 2);
	g_array_unref(items);
	rr_drop_change_log(change_log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes_in_order),
		cmocka_unit_test(test_removed_keys_are_bounded),
		cmocka_unit_test(test_removals_before_the_start),
		cmocka_unit_test(test_truncation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
