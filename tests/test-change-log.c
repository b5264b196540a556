/*
 * test-change-log.c - what one instance passes on to another.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/change-log.h"
#include "ragwort/feed.h"

static void keep(struct rr_change_log *news, const char *key, uint64_t revision,
		 const char *value)
{
	struct rr_feed_change item = {
		.key = key,
		.value = value,
		.revision = revision,
	};

	rr_put_change(news, &item);
}

static void assert_after(const struct rr_change_log *news, uint64_t after,
			 const char *expected)
{
	GArray *items = rr_list_changes_after(news, after);
	GString *told = g_string_new(NULL);

	assert_non_null(items);
	for (guint i = 0; i < items->len; i++) {
		const struct rr_feed_change *item =
			&g_array_index(items, struct rr_feed_change, i);

		g_string_append_printf(told, "%s=%s@%u ", item->key,
				       item->value ? item->value : "-",
				       (unsigned int)item->revision);
	}
	assert_string_equal(told->str, expected);
	g_string_free(told, TRUE);
	g_array_unref(items);
}

static void test_changes_in_order(void **state)
{
	struct rr_change_log *news = rr_new_change_log();

	keep(news, "b", 5, "B");
	keep(news, "a", 3, "A");
	keep(news, "c", 4, "C");
	keep(news, "a", 9, "A2");
	keep(news, "c", 8, NULL);
	assert_after(news, 4, "b=B@5 c=-@8 a=A2@9 ");
	assert_after(news, 8, "a=A2@9 ");
	assert_after(news, 9, "");
	/* All there is: what was removed is not there. */
	assert_after(news, 0, "b=B@5 a=A2@9 ");
	keep(news, "c", 12, "C3");
	assert_after(news, 8, "a=A2@9 c=C3@12 ");
	rr_drop_change_log(news);
}

/*
 * Story: a fleet replaces its replicas for weeks.  Removed keys are not kept
 * for good; whoever asks from before the forgotten ones has to read anew,
 * rather than miss that a replica left.
 */
static void test_removed_keys_are_bounded(void **state)
{
	struct rr_change_log *news = rr_new_change_log();
	uint64_t revision = 10;
	GArray *recent;

	keep(news, "stays", 5, "S");
	for (int i = 0; i < 5000; i++) {
		char *key = g_strdup_printf("k%d", i);

		keep(news, key, ++revision, "v");
		keep(news, key, ++revision, NULL);
		g_free(key);
	}
	assert_null(rr_list_changes_after(news, 100));
	recent = rr_list_changes_after(news, revision - 20);
	assert_non_null(recent);
	assert_int_equal(recent->len, 10);
	assert_after(news, 0, "stays=S@5 ");
	g_array_unref(recent);
	rr_drop_change_log(news);
}

/*
 * Story: an instance starts again and reads the list at revision 50; a replica
 * was removed at 45.  Another that followed up to 40 turns to it for news.  Of
 * the removal neither of them would ever hear: it has to read anew.
 */
static void test_removals_before_the_beginning(void **state)
{
	struct rr_change_log *news = rr_new_change_log();

	(void)state;
	keep(news, "a", 3, "A");
	rr_start_change_log(news, 50);
	assert_null(rr_list_changes_after(news, 40));
	assert_after(news, 50, "");
	assert_after(news, 0, "a=A@3 ");
	keep(news, "a", 51, NULL);
	assert_after(news, 50, "a=-@51 ");
	rr_drop_change_log(news);
}

/*
 * Story: an index is cut into other shards, and eight hundred entries change
 * within seconds.  Taken as one answer they hold a weak instance up for a tenth
 * of a second, and its callers wait.  They are told in parts, between which it
 * serves; a part never ends among changes of one revision.
 */
static void test_told_in_parts(void **state)
{
	struct rr_change_log *news = rr_new_change_log();
	GArray *items;

	(void)state;
	for (uint64_t i = 1; i <= 9; i++) {
		char *key = g_strdup_printf("k%u", (unsigned int)i);

		keep(news, key, 10 + i / 4, "v");
		g_free(key);
	}
	items = rr_list_changes_after(news, 1);
	assert_int_equal(items->len, 9);
	assert_int_equal(rr_truncate_changes(items, 5), 11);
	assert_int_equal(items->len, 7);
	assert_int_equal(rr_truncate_changes(items, 7), 0);
	g_array_unref(items);
	items = rr_list_changes_after(news, 11);
	assert_int_equal(rr_truncate_changes(items, 1), 0);
	assert_int_equal(items->len, 2);
	g_array_unref(items);
	rr_drop_change_log(news);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes_in_order),
		cmocka_unit_test(test_removed_keys_are_bounded),
		cmocka_unit_test(test_removals_before_the_beginning),
		cmocka_unit_test(test_told_in_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
