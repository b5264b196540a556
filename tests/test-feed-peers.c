/*
 * test-feed-peers.c - news of the store from other instances, and for them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/feed-scene.h"

/* Read everything in a zone with two stronger ones, and ask one of them. */
static struct feed_scene *following_scene(void)
{
	struct feed_scene *scene = feed_new_scene();

	feed_answer_ok(
		scene, RR_FEED_RANGE,
		"routes3@10 r1@11 inst1/z/4@12 inst2/z/4@13 inst3/z/1@14", 20);
	feed_answer_ok(scene, RR_FEED_GRANT, NULL, 0);
	feed_answer_ok(scene, RR_FEED_ENTER, NULL, 0);
	feed_assert_news(scene, "routes 3 +r1 instances 3 ");
	return scene;
}

static bool asks_peer(struct feed_scene *scene)
{
	struct feed_call *watch = feed_find_call(scene, RR_FEED_WATCH);

	return watch && watch->peer;
}

/*
 * Story: each replica that comes or goes wakes every watch, and each is paid
 * for.  Where two others of its zone watch, an instance asks one of them: the
 * store sees its renewals only, fewer of them.
 */
static void test_others_tell(void **state)
{
	struct feed_scene *scene = following_scene();

	assert_true(asks_peer(scene));
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 20);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->wait_ms, 750);
	feed_answer_ok(scene, RR_FEED_WATCH, "r2@21", 21);
	feed_assert_news(scene, "+r2 ");
	assert_true(asks_peer(scene));
	for (int i = 0; i < 16; i++) {
		feed_pass(scene, 750 * MS);
		feed_answer_ok(scene, RR_FEED_WATCH, NULL, 21);
		assert_true(asks_peer(scene));
		if (feed_find_call(scene, RR_FEED_KEEP))
			feed_answer_ok(scene, RR_FEED_KEEP, NULL, 0);
	}
	assert_in_range(feed_count_calls(scene, RR_FEED_KEEP), 2, 4);
	feed_drop_scene(scene);
}

/*
 * Story: both watchers of a zone freeze just before a replica drains.  Who
 * asks them gives each up and is at the store within the bound.
 */
static void test_others_fall_silent(void **state)
{
	struct feed_scene *scene = following_scene();
	struct feed_call *first = feed_find_call(scene, RR_FEED_WATCH);

	feed_answer(scene, first, RR_FEED_FAILED, NULL, 0, false);
	assert_true(asks_peer(scene));
	assert_string_not_equal(feed_find_call(scene, RR_FEED_WATCH)->peer,
				first->peer);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_non_null(feed_find_call(scene, RR_FEED_WATCH));
	assert_false(asks_peer(scene));
	feed_answer_ok(scene, RR_FEED_WATCH, "-r1@30", 30);
	feed_assert_news(scene, "-r1 ");
	/* When they answer again, they are asked again. */
	feed_pass(scene, 4000 * MS);
	assert_true(asks_peer(scene));
	feed_drop_scene(scene);
}

/* What another no longer knows, the store may know. */
static void test_others_have_forgotten(void **state)
{
	struct feed_scene *scene = following_scene();

	for (int i = 0; i < 2; i++)
		feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
			    RR_FEED_FORGOTTEN, NULL, 0, false);
	assert_false(asks_peer(scene));
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_FORGOTTEN, NULL, 0, false);
	assert_null(feed_find_call(scene, RR_FEED_RANGE)->peer);
	feed_drop_scene(scene);
}

/*
 * Two that ask each other would both believe that nothing changes: only who
 * watches the store itself, and is answered, passes changes on.
 */
static void test_passing_on(void **state)
{
	struct feed_scene *scene = following_scene();
	struct feed_scene *watcher;
	GArray *changes;

	assert_false(rr_feed_passes_on(scene->feed));
	feed_drop_scene(scene);
	watcher = feed_settled_scene();
	assert_true(rr_feed_passes_on(watcher->feed));
	feed_answer_ok(watcher, RR_FEED_WATCH, "-r1@21 r3@22", 22);
	assert_int_equal(rr_feed_revision(watcher->feed), 22);
	changes = rr_feed_changes(watcher->feed, 20);
	assert_int_equal(changes->len, 2);
	assert_null(g_array_index(changes, struct rr_news_item, 0).value);
	assert_string_equal(g_array_index(changes, struct rr_news_item, 1).key,
			    "r3");
	g_array_unref(changes);
	feed_pass(watcher, 1600 * MS);
	feed_answer(watcher, feed_find_call(watcher, RR_FEED_KEEP),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(rr_feed_passes_on(watcher->feed));
	feed_drop_scene(watcher);
}

/* Of a zone of sixty, one of the second level, and what it read. */
static struct feed_scene *middle_scene(void)
{
	struct feed_scene *scene = feed_new_scene();
	GString *items = g_string_new("routes3@10 r1@11");

	for (int i = 1; i < 60; i++)
		g_string_append_printf(items, " inst%d/z/%d@%d", i,
				       i < 20 ? 4 : -1, 11 + i);
	feed_answer_ok(scene, RR_FEED_RANGE, items->str, 100);
	feed_answer_ok(scene, RR_FEED_GRANT, NULL, 0);
	feed_answer_ok(scene, RR_FEED_ENTER, NULL, 0);
	feed_assert_news(scene, "routes 3 +r1 instances 59 ");
	g_string_free(items, TRUE);
	return scene;
}

/*
 * Story: in a zone of sixty an instance tells others what a watcher told it.
 * The watcher freezes: those who wait here are let go at once, rather than
 * believe that nothing changes.  Then another watcher answers.
 */
static void test_middle_level_passes_on(void **state)
{
	struct feed_scene *scene = middle_scene();
	GArray *changes;

	(void)state;
	assert_true(asks_peer(scene));
	feed_answer_ok(scene, RR_FEED_WATCH, "r2@101", 101);
	assert_true(rr_feed_passes_on(scene->feed));
	changes = rr_feed_changes(scene->feed, 100);
	assert_int_equal(changes->len, 1);
	g_array_unref(changes);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_true(asks_peer(scene));
	assert_false(rr_feed_passes_on(scene->feed));
	feed_answer_ok(scene, RR_FEED_WATCH, NULL, 101);
	assert_true(rr_feed_passes_on(scene->feed));
	feed_drop_scene(scene);
}

/*
 * Story: a zone is cut off from the store.  Its watchers turn to those of
 * another zone, whose watchers may turn to them: what is heard from afar is
 * told to nobody.
 */
static void test_far_news_are_not_passed_on(void **state)
{
	struct feed_scene *scene = middle_scene();

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, "inst99/y/9@101", 101);
	for (int i = 0; i < 3; i++)
		feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
			    RR_FEED_FAILED, NULL, 0, false);
	assert_true(asks_peer(scene));
	assert_string_equal(feed_find_call(scene, RR_FEED_WATCH)->peer,
			    "inst99/y/9:1");
	feed_answer_ok(scene, RR_FEED_WATCH, NULL, 101);
	assert_false(rr_feed_passes_on(scene->feed));
	feed_drop_scene(scene);
}

/*
 * Story: all processes are killed while the store is down.  The first to
 * start knows nothing and says so; those after it read from an instance that
 * they were given to start from, and serve.
 */
static void test_start_while_the_store_is_away(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", "10.0.0.2:7", NULL };
	struct feed_scene *scene = feed_new_scene_from(seeds);

	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_string_equal(feed_find_call(scene, RR_FEED_RANGE)->peer,
			    seeds[0]);
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_string_equal(feed_find_call(scene, RR_FEED_RANGE)->peer,
			    seeds[1]);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	assert_true(rr_feed_has_read(scene->feed));
	feed_assert_news(scene, "routes 3 +r1 ");
	/* The store is back, with what has changed meanwhile. */
	feed_pass(scene, 2000 * MS);
	assert_null(feed_find_call(scene, RR_FEED_WATCH)->peer);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 20);
	feed_drop_scene(scene);
}

/* One that has fallen behind must not unlist what came after. */
static void test_an_older_copy_is_left_out(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", NULL };
	struct feed_scene *scene = feed_new_scene_from(seeds);

	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11 r2@19", 20);
	feed_assert_news(scene, "routes 3 +r1 +r2 ");
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_FORGOTTEN, NULL, 0, false);
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_non_null(feed_find_call(scene, RR_FEED_RANGE)->peer);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 15);
	feed_assert_news(scene, "");
	feed_pass(scene, 300 * MS);
	assert_null(feed_find_call(scene, RR_FEED_RANGE)->peer);
	feed_drop_scene(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_others_tell),
		cmocka_unit_test(test_others_fall_silent),
		cmocka_unit_test(test_others_have_forgotten),
		cmocka_unit_test(test_passing_on),
		cmocka_unit_test(test_middle_level_passes_on),
		cmocka_unit_test(test_far_news_are_not_passed_on),
		cmocka_unit_test(test_start_while_the_store_is_away),
		cmocka_unit_test(test_an_older_copy_is_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
