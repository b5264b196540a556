/*
 * test-core-list.c - full lists in pages: every row once, one version.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/fake-cluster.h"

static const char *const two_zones[] = { "ruaraka", "athi" };

struct scene {
	struct fake_cluster *world;
	struct rr_config *config;
	struct fake_instance *desk;
};

static struct scene set_scene(size_t n_zones)
{
	struct scene scene = { .world = fake_new_cluster(31) };

	scene.config = fake_config(1, 8, 2, two_zones, n_zones);
	scene.config->owners_per_replica = 1;
	fake_add_replicas(scene.world, scene.config);
	scene.desk = fake_add_instance(scene.world, "ruaraka-1", "ruaraka", 9);
	if (n_zones == 2)
		fake_add_instance(scene.world, "athi-1", "athi", 10);
	for (guint i = 0; i < scene.world->instances->len; i++)
		fake_set_config(g_ptr_array_index(scene.world->instances, i),
				scene.config);
	fake_hint_all_members(scene.world);
	fake_run_for(scene.world, 3000 * FAKE_MS);
	return scene;
}

static void clear_scene(struct scene *scene)
{
	rr_drop_config(scene->config);
	fake_drop_cluster(scene->world);
}

static struct fake_answer *get_page(struct scene *scene, const char *cursor,
				    uint32_t max_rows)
{
	struct rr_request request = {
		.kind = RR_LIST,
		.service = "desk",
		.cursor = cursor,
		.max_rows = max_rows,
		.priority = RR_BATCH,
	};
	guint n = scene->desk->answers->len;

	fake_request(scene->desk, &request);
	assert_true(fake_wait_for_answers(scene->desk, n + 1));
	return fake_answer_at(scene->desk, n);
}

static void walk(struct scene *scene, uint32_t max_rows)
{
	const char *cursor = NULL;
	uint64_t expected = 0;

	do {
		struct fake_answer *page = get_page(scene, cursor, max_rows);

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
		struct scene scene = set_scene(1);

		walk(&scene, sizes[i]);
		clear_scene(&scene);
	}
}

static void test_every_row_once_over_zones(void **state)
{
	static const uint32_t sizes[] = { 3, 10, 64 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct scene scene = set_scene(2);

		walk(&scene, sizes[i]);
		clear_scene(&scene);
	}
}

/* The index moved on at every replica. */
static void hold_versions(struct scene *scene, uint64_t oldest, uint64_t newest)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, scene->world->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_replica *replica = value;

		replica->oldest = oldest;
		replica->newest = newest;
	}
}

/*
 * Story: the nightly list has a part twice and lacks another: stock was
 * reindexed between two pages.  Cause: a page was given of another version
 * than the page before.
 */
static void test_pin_is_kept_over_pages(void **state)
{
	struct scene scene = set_scene(1);
	struct fake_answer *page = get_page(&scene, NULL, 25);

	(void)state;
	hold_versions(&scene, 5, 9);
	fake_run_for(scene.world, 3000 * FAKE_MS);
	page = get_page(&scene, page->cursor, 25);
	assert_int_equal(page->outcome, RR_COMPLETE);
	assert_int_equal(page->version, 7);
	clear_scene(&scene);
}

/* The version is gone: the caller is told so, never moved to another. */
static void test_version_gone(void **state)
{
	struct scene scene = set_scene(1);
	struct fake_answer *page = get_page(&scene, NULL, 25);

	(void)state;
	hold_versions(&scene, 8, 9);
	page = get_page(&scene, page->cursor, 25);
	assert_int_equal(page->outcome, RR_GONE);
	assert_int_equal(page->keys->len, 0);
	assert_null(page->cursor);
	clear_scene(&scene);
}

/*
 * Story: one shard is out; the list goes on after it as if it were empty.
 * Cause: a page with a hole.  The page ends before the shard, names it, and
 * its cursor goes on there.
 */
static void test_page_ends_before_a_hole(void **state)
{
	struct scene scene = set_scene(1);
	struct fake_answer *page;

	(void)state;
	fake_replica(scene.world, "s2a")->mode = FAKE_LOSE_REPLY;
	fake_replica(scene.world, "s2b")->mode = FAKE_LOSE_REPLY;
	page = get_page(&scene, NULL, 500);
	assert_int_equal(page->outcome, RR_PARTIAL);
	assert_int_equal(page->keys->len, 20);
	assert_true(fake_is_missing(page, "s2:lost"));
	fake_replica(scene.world, "s2a")->mode = FAKE_OK;
	fake_replica(scene.world, "s2b")->mode = FAKE_OK;
	page = get_page(&scene, page->cursor, 500);
	assert_int_equal(page->outcome, RR_COMPLETE);
	assert_int_equal(page->keys->len, 60);
	assert_int_equal(g_array_index(page->keys, uint64_t, 0), 200);
	clear_scene(&scene);
}

static void test_slow_list_goes_on(void **state)
{
	struct scene scene = set_scene(1);
	struct fake_answer *page;

	(void)state;
	for (int i = 0; i < 8; i++) {
		for (int c = 'a'; c <= 'b'; c++) {
			char *id = g_strdup_printf("s%d%c", i, c);

			fake_replica(scene.world, id)->latency_us =
				90 * FAKE_MS;
			g_free(id);
		}
	}
	page = get_page(&scene, NULL, 500);
	assert_int_equal(page->outcome, RR_COMPLETE);
	assert_int_equal(page->keys->len, 40);
	assert_int_equal(page->missing->len, 0);
	page = get_page(&scene, page->cursor, 500);
	assert_int_equal(g_array_index(page->keys, uint64_t, 0), 400);
	assert_int_equal(page->keys->len, 40);
	clear_scene(&scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_row_once),
		cmocka_unit_test(test_every_row_once_over_zones),
		cmocka_unit_test(test_pin_is_kept_over_pages),
		cmocka_unit_test(test_version_gone),
		cmocka_unit_test(test_page_ends_before_a_hole),
		cmocka_unit_test(test_slow_list_goes_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
