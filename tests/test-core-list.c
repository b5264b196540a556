/*
 * test-core-list.c - full lists in pages: every row once, of one version.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/fake-cluster.h"

static const char *const two_zones[] = { "ruaraka", "athi" };

struct fixture {
	struct fake_cluster *cluster;
	struct rr_config *config;
	struct fake_instance *instance;
};

static struct fixture new_fixture(size_t n_zones)
{
	struct fixture fixture = { .cluster = fake_new_cluster(31) };

	fixture.config = fake_config(1, 8, 2, two_zones, n_zones);
	fixture.config->owners_per_replica = 1;
	fake_add_replicas(fixture.cluster, fixture.config);
	fixture.instance =
		fake_add_instance(fixture.cluster, "ruaraka-1", "ruaraka", 9);
	if (n_zones == 2)
		fake_add_instance(fixture.cluster, "athi-1", "athi", 10);
	for (guint i = 0; i < fixture.cluster->instances->len; i++)
		fake_set_config(
			g_ptr_array_index(fixture.cluster->instances, i),
			fixture.config);
	fake_hint_all_members(fixture.cluster);
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	return fixture;
}

static void drop_fixture(struct fixture *fixture)
{
	rr_drop_config(fixture->config);
	fake_drop_cluster(fixture->cluster);
}

static struct fake_answer *get_page(struct fixture *fixture, const char *cursor,
				    uint32_t max_rows)
{
	struct rr_request request = {
		.kind = RR_LIST,
		.service = "desk",
		.cursor = cursor,
		.max_rows = max_rows,
		.priority = RR_BATCH,
	};
	guint n = fixture->instance->answers->len;

	fake_request(fixture->instance, &request);
	assert_true(fake_wait_for_answers(fixture->instance, n + 1));
	return fake_answer_at(fixture->instance, n);
}

static void read_all_pages(struct fixture *fixture, uint32_t max_rows)
{
	const char *cursor = NULL;
	uint64_t expected = 0;

	do {
		struct fake_answer *page = get_page(fixture, cursor, max_rows);

		assert_int_equal(page->outcome, RR_COMPLETE);
		assert_int_equal(page->version, 7);
		assert_true(page->keys->len <= max_rows);
		for (guint i = 0; i < page->keys->len; i++) {
			assert_int_equal(g_array_index(page->keys, uint64_t, i),
					 expected);
			expected += 10;
		}
		cursor = page->cursor;
	} while (cursor);
	assert_int_equal(expected, 800);
}

static void test_every_row_once(void **state)
{
	static const uint32_t sizes[] = { 1, 3, 7, 10, 25, 79, 80, 81, 500 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fixture fixture = new_fixture(1);

		read_all_pages(&fixture, sizes[i]);
		drop_fixture(&fixture);
	}
}

static void test_every_row_once_over_zones(void **state)
{
	static const uint32_t sizes[] = { 3, 10, 64 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fixture fixture = new_fixture(2);

		read_all_pages(&fixture, sizes[i]);
		drop_fixture(&fixture);
	}
}

/* Set the versions that every replica holds. */
static void set_versions(struct fixture *fixture, uint64_t oldest,
			 uint64_t newest)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fixture->cluster->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_replica *replica = value;

		replica->oldest = oldest;
		replica->newest = newest;
	}
}

/*
 * Stock is reindexed between two pages.  Guards against a page of another
 * version than the one before: the nightly list had one part twice and missed
 * another.
 */
static void test_pin_is_kept_over_pages(void **state)
{
	struct fixture fixture = new_fixture(1);
	struct fake_answer *page = get_page(&fixture, NULL, 25);

	(void)state;
	set_versions(&fixture, 5, 9);
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	page = get_page(&fixture, page->cursor, 25);
	assert_int_equal(page->outcome, RR_COMPLETE);
	assert_int_equal(page->version, 7);
	drop_fixture(&fixture);
}

/*
 * If the pinned version is no longer held, the answer says so; it never changes
 * to another version.
 */
static void test_version_gone(void **state)
{
	struct fixture fixture = new_fixture(1);
	struct fake_answer *page = get_page(&fixture, NULL, 25);

	(void)state;
	set_versions(&fixture, 8, 9);
	page = get_page(&fixture, page->cursor, 25);
	assert_int_equal(page->outcome, RR_GONE);
	assert_int_equal(page->keys->len, 0);
	assert_null(page->cursor);
	drop_fixture(&fixture);
}

/*
 * One shard is down.  Guards against a list that continues after it as if it
 * were empty: the page ends before the shard and names it, and its cursor
 * continues there.
 */
static void test_page_ends_before_missing_shard(void **state)
{
	struct fixture fixture = new_fixture(1);
	struct fake_answer *page;

	(void)state;
	fake_replica(fixture.cluster, "s2a")->mode = FAKE_LOSE_REPLY;
	fake_replica(fixture.cluster, "s2b")->mode = FAKE_LOSE_REPLY;
	page = get_page(&fixture, NULL, 500);
	assert_int_equal(page->outcome, RR_PARTIAL);
	assert_int_equal(page->keys->len, 20);
	assert_true(fake_is_missing(page, "s2:lost"));
	fake_replica(fixture.cluster, "s2a")->mode = FAKE_OK;
	fake_replica(fixture.cluster, "s2b")->mode = FAKE_OK;
	page = get_page(&fixture, page->cursor, 500);
	assert_int_equal(page->outcome, RR_COMPLETE);
	assert_int_equal(page->keys->len, 60);
	assert_int_equal(g_array_index(page->keys, uint64_t, 0), 200);
	drop_fixture(&fixture);
}

static void test_slow_list_continues_on_next_page(void **state)
{
	struct fixture fixture = new_fixture(1);
	struct fake_answer *page;

	(void)state;
	for (int i = 0; i < 8; i++) {
		for (int c = 'a'; c <= 'b'; c++) {
			char *id = g_strdup_printf("s%d%c", i, c);

			fake_replica(fixture.cluster, id)->latency_us =
				90 * FAKE_MS;
			g_free(id);
		}
	}
	page = get_page(&fixture, NULL, 500);
	assert_int_equal(page->outcome, RR_COMPLETE);
	assert_int_equal(page->keys->len, 40);
	assert_int_equal(page->missing->len, 0);
	page = get_page(&fixture, page->cursor, 500);
	assert_int_equal(g_array_index(page->keys, uint64_t, 0), 400);
	assert_int_equal(page->keys->len, 40);
	drop_fixture(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_row_once),
		cmocka_unit_test(test_every_row_once_over_zones),
		cmocka_unit_test(test_pin_is_kept_over_pages),
		cmocka_unit_test(test_version_gone),
		cmocka_unit_test(test_page_ends_before_missing_shard),
		cmocka_unit_test(test_slow_list_continues_on_next_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
