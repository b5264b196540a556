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

#include "support/feed-fixture.h"

/* Read everything in a zone with two stronger ones, and ask the first. */
static struct feed_fixture *following_scene(void)
{
	struct feed_fixture *scene = feed_new_fixture();

	feed_answer_ok(scene, RR_FEED_RANGE,
		       "routes3@10 r1@11 inst1/z/4@12 inst2/z/3@13 "
		       "inst3/z/1@14 inst9/y/9@15",
		       20);
	feed_assert_events(scene, "routes 3 +r1 instances 4 ");
	return scene;
}

static bool asks_peer(struct feed_fixture *scene)
{
	struct recorded_call *watch = feed_find_call(scene, RR_FEED_WATCH);

	return watch && watch->peer;
}

/*
 * Story: each replica that comes or goes wakes every watch, each lease and
 * each entry is paid for, by hundreds of instances.  One of a zone watches and
 * two enter the others: an instance asks these, and the store sees one reading
 * of it, at its start.
 */
static void test_others_tell(void **state)
{
	struct feed_fixture *scene = following_scene();

	(void)state;
	assert_true(asks_peer(scene));
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 20);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->wait_ms, 750);
	feed_answer_ok(scene, RR_FEED_WATCH, "r2@21", 21);
	feed_assert_events(scene, "+r2 ");
	assert_true(asks_peer(scene));
	for (int i = 0; i < 16; i++) {
		struct recorded_call *enter =
			feed_find_call(scene, RR_FEED_WRITE_ENTRIES);

		if (enter) {
			assert_string_equal(enter->entries->str, "+inst0 ");
			assert_non_null(enter->peer);
			feed_answer_ok(scene, RR_FEED_WRITE_ENTRIES, NULL, 0);
		}
		feed_advance(scene, 750 * MS);
		feed_answer_ok(scene, RR_FEED_WATCH, NULL, 21);
		assert_true(asks_peer(scene));
	}
	assert_in_range(feed_count_calls(scene, RR_FEED_WRITE_ENTRIES), 3, 4);
	assert_int_equal(feed_count_store_calls(scene), 1);
	feed_drop_fixture(scene);
}

/*
 * Story: the watcher of a zone freezes just before a replica drains.  Who asks
 * it gives it up and asks the next one for an answer at once.  Where more are
 * frozen it is at the store within the bound, however many there are.
 */
static void test_others_fall_silent(void **state)
{
	struct feed_fixture *scene = following_scene();
	struct recorded_call *first = feed_find_call(scene, RR_FEED_WATCH);

	(void)state;
	assert_string_equal(first->peer, "inst1/z/4:1");
	feed_advance(scene, 1125 * MS);
	feed_answer(scene, first, RR_FEED_FAILED, NULL, 0, false);
	assert_string_equal(feed_find_call(scene, RR_FEED_WATCH)->peer,
			    "inst2/z/3:1");
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->wait_ms, 0);
	feed_advance(scene, 375 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_non_null(feed_find_call(scene, RR_FEED_WATCH));
	assert_false(asks_peer(scene));
	feed_answer_ok(scene, RR_FEED_WATCH, "-r1@30", 30);
	feed_assert_events(scene, "-r1 ");
	/* When it answers again, it is asked again. */
	feed_advance(scene, 2100 * MS);
	feed_answer_ok(scene, RR_FEED_WATCH, NULL, 30);
	assert_true(asks_peer(scene));
	feed_drop_fixture(scene);
}

/*
 * What another no longer knows by changes it knows as a whole; where it is
 * behind, another is asked, and the store's own history at last.
 */
static void test_others_have_forgotten(void **state)
{
	struct feed_fixture *scene = following_scene();

	(void)state;
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	assert_string_equal(feed_find_call(scene, RR_FEED_RANGE)->peer,
			    "inst1/z/4:1");
	feed_answer_ok(scene, RR_FEED_RANGE,
		       "routes3@10 inst1/z/4@12 inst2/z/3@13 inst3/z/1@14 "
		       "inst9/y/9@15 r5@24",
		       25);
	feed_assert_events(scene, "+r5 -r1 ");
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 25);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10", 22);
	feed_assert_events(scene, "");
	assert_string_equal(feed_find_call(scene, RR_FEED_WATCH)->peer,
			    "inst2/z/3:1");
	while (feed_find_call(scene, RR_FEED_WATCH)->peer)
		feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
			    RR_FEED_FAILED, NULL, 0, false);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	assert_null(feed_find_call(scene, RR_FEED_RANGE)->peer);
	assert_false(feed_find_call(scene, RR_FEED_RANGE)->allow_stale);
	feed_drop_fixture(scene);
}

/*
 * Story: the instance that enters this one dies.  Its lease ends after twelve
 * seconds, and with it this one's entry; by then another has been asked.
 */
static void test_enterer_dies(void **state)
{
	struct feed_fixture *scene = following_scene();
	struct recorded_call *enter =
		feed_find_call(scene, RR_FEED_WRITE_ENTRIES);
	char *first = g_strdup(enter->peer);

	(void)state;
	feed_answer_ok(scene, RR_FEED_WRITE_ENTRIES, NULL, 0);
	feed_advance(scene, 4100 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WRITE_ENTRIES),
		    RR_FEED_FAILED, NULL, 0, false);
	feed_advance(scene, 300 * MS);
	assert_string_not_equal(
		feed_find_call(scene, RR_FEED_WRITE_ENTRIES)->peer, first);
	g_free(first);
	feed_drop_fixture(scene);
}

/*
 * Story: an upgrade comes instance by instance, and those of before do not
 * know how to enter others.  After fifteen seconds it enters itself.
 */
static void test_nobody_enters_it(void **state)
{
	struct feed_fixture *scene = following_scene();

	(void)state;
	for (int i = 0; i < 40 && !feed_find_call(scene, RR_FEED_LEASE_GRANT);
	     i++) {
		if (feed_find_call(scene, RR_FEED_WRITE_ENTRIES))
			feed_answer(
				scene,
				feed_find_call(scene, RR_FEED_WRITE_ENTRIES),
				RR_FEED_FAILED, NULL, 0, false);
		feed_advance(scene, 500 * MS);
	}
	feed_answer_ok(scene, RR_FEED_LEASE_GRANT, NULL, 0);
	assert_null(feed_find_call(scene, RR_FEED_WRITE_ENTRIES)->peer);
	feed_answer_ok(scene, RR_FEED_WRITE_ENTRIES, NULL, 0);
	feed_advance(scene, 5000 * MS);
	assert_non_null(feed_find_call(scene, RR_FEED_LEASE_RENEW));
	feed_drop_fixture(scene);
}

static bool enroll(struct feed_fixture *scene, const char *id, const char *zone)
{
	struct rr_instance instance = { .id = (char *)id,
					.zone = (char *)zone,
					.address = (char *)"10.0.0.1:7" };

	return rr_feed_register_instance(scene->ctx, scene->feed, scene->now_us,
					 &instance);
}

/*
 * Story: after a start of all, thirty instances ask one to be entered within
 * half a second.  It writes them by one call, under the lease that it has.
 */
static void test_it_enters_others(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	guint before = feed_count_calls(scene, RR_FEED_WRITE_ENTRIES);

	(void)state;
	assert_false(enroll(scene, "inst50", "another"));
	for (int i = 10; i < 40; i++) {
		char *id = g_strdup_printf("inst%d", i);

		assert_true(enroll(scene, id, "z"));
		g_free(id);
	}
	feed_advance(scene, 500 * MS);
	assert_int_equal(feed_count_calls(scene, RR_FEED_WRITE_ENTRIES),
			 before + 1);
	assert_int_equal(feed_find_call(scene, RR_FEED_WRITE_ENTRIES)->lease,
			 77);
	feed_answer_ok(scene, RR_FEED_WRITE_ENTRIES, NULL, 30);
	rr_feed_deregister_instance(scene->feed, scene->now_us, "inst10");
	feed_advance(scene, 500 * MS);
	assert_string_equal(
		feed_find_call(scene, RR_FEED_WRITE_ENTRIES)->entries->str,
		"-inst10 ");
	feed_drop_fixture(scene);
}

/*
 * Story: the lease ends with the store's outage, and all entries under it.
 * They are written again under a new one.  While the store turns this instance
 * away it takes nobody on, so that they ask another.
 */
static void test_entries_of_others_lapse(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	(void)state;
	enroll(scene, "inst10", "z");
	feed_advance(scene, 500 * MS);
	feed_answer_ok(scene, RR_FEED_WRITE_ENTRIES, NULL, 30);
	feed_advance(scene, 1600 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_LEASE_RENEW),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(enroll(scene, "inst11", "z"));
	feed_advance(scene, 300 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_LEASE_RENEW),
		    RR_FEED_NO_LEASE, NULL, 0, false);
	feed_advance(scene, 500 * MS);
	feed_answer_ok(scene, RR_FEED_LEASE_GRANT, NULL, 0);
	assert_string_equal(
		feed_find_call(scene, RR_FEED_WRITE_ENTRIES)->entries->str,
		"+inst0 +inst10 ");
	feed_drop_fixture(scene);
}

/*
 * Story: one that enters others is stopped.  Were it to end its lease, they
 * would all vanish until they have asked another: only its own entry goes.
 */
static void test_it_leaves_others_in_place(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	(void)state;
	enroll(scene, "inst10", "z");
	feed_advance(scene, 500 * MS);
	feed_answer_ok(scene, RR_FEED_WRITE_ENTRIES, NULL, 30);
	rr_feed_leave(scene->ctx, scene->feed, scene->now_us);
	assert_null(feed_find_call(scene, RR_FEED_LEASE_REVOKE));
	assert_string_equal(
		feed_find_call(scene, RR_FEED_WRITE_ENTRIES)->entries->str,
		"-inst0 ");
	assert_false(enroll(scene, "inst10", "z"));
	feed_drop_fixture(scene);
}

/*
 * Two that ask each other would both believe that nothing changes: only who
 * watches the store itself, and is answered, passes changes on.
 */
static void test_passing_on(void **state)
{
	struct feed_fixture *scene = following_scene();
	struct feed_fixture *watcher;
	GArray *changes;
	uint64_t told;

	assert_false(rr_feed_can_serve_changes(scene->feed));
	feed_drop_fixture(scene);
	watcher = feed_new_synced_fixture();
	assert_true(rr_feed_can_serve_changes(watcher->feed));
	feed_answer_ok(watcher, RR_FEED_WATCH, "-r1@21 r3@22", 22);
	assert_int_equal(rr_feed_revision(watcher->feed), 22);
	changes = rr_feed_changes(watcher->feed, 20, &told);
	assert_int_equal(told, 22);
	assert_int_equal(changes->len, 2);
	assert_null(g_array_index(changes, struct rr_feed_change, 0).value);
	assert_string_equal(
		g_array_index(changes, struct rr_feed_change, 1).key, "r3");
	g_array_unref(changes);
	feed_advance(watcher, 1600 * MS);
	feed_answer(watcher, feed_find_call(watcher, RR_FEED_LEASE_RENEW),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(rr_feed_can_serve_changes(watcher->feed));
	feed_drop_fixture(watcher);
}

/* Of a zone of sixty, one of the second level, and what it read. */
static struct feed_fixture *middle_scene(void)
{
	struct feed_fixture *scene = feed_new_fixture();
	GString *items = g_string_new("routes3@10 r1@11");

	for (int i = 1; i < 60; i++)
		g_string_append_printf(items, " inst%d/z/%d@%d", i,
				       i < 10 ? 4 : -1, 11 + i);
	feed_answer_ok(scene, RR_FEED_RANGE, items->str, 100);
	feed_assert_events(scene, "routes 3 +r1 instances 59 ");
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
	struct feed_fixture *scene = middle_scene();
	GArray *changes;
	uint64_t told;

	(void)state;
	assert_true(asks_peer(scene));
	feed_answer_ok(scene, RR_FEED_WATCH, "r2@101", 101);
	assert_true(rr_feed_can_serve_changes(scene->feed));
	changes = rr_feed_changes(scene->feed, 100, &told);
	assert_int_equal(changes->len, 1);
	g_array_unref(changes);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_false(rr_feed_can_serve_changes(scene->feed));
	feed_advance(scene, 1100 * MS);
	feed_answer_ok(scene, RR_FEED_WATCH, NULL, 101);
	assert_true(asks_peer(scene));
	feed_answer_ok(scene, RR_FEED_WATCH, NULL, 101);
	assert_true(rr_feed_can_serve_changes(scene->feed));
	feed_drop_fixture(scene);
}

/*
 * Story: the store turns a zone's watcher away.  All that ask it hear so in the
 * same moment, and so do those that ask these; refused by everybody at once,
 * sixty would go to the store.  Who asks a standby waits until that one hears
 * the store, a few milliseconds later; if it does not, it is refused soon.
 */
static void test_who_asks_waits_for_a_standby(void **state)
{
	struct feed_fixture *scene = middle_scene();

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, NULL, 101);
	assert_true(rr_feed_can_serve_changes(scene->feed));
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_false(rr_feed_can_serve_changes(scene->feed));
	assert_true(rr_feed_is_in_serve_grace(scene->feed, scene->now_us));
	assert_false(rr_feed_is_in_serve_grace(scene->feed,
					       scene->now_us + 200 * MS));
	feed_answer_ok(scene, RR_FEED_WATCH, "r9@102", 102);
	assert_true(rr_feed_can_serve_changes(scene->feed));
	feed_drop_fixture(scene);
}

/*
 * Story: a zone is cut off from the store.  Its watchers turn to those of
 * another zone, whose watchers may turn to them: what is heard from afar is
 * told to nobody.
 */
static void test_far_news_are_not_passed_on(void **state)
{
	struct feed_fixture *scene = middle_scene();

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, "inst99/y/9@101", 101);
	for (int i = 0; i < 4; i++)
		feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
			    RR_FEED_FAILED, NULL, 0, false);
	assert_true(asks_peer(scene));
	assert_string_equal(feed_find_call(scene, RR_FEED_WATCH)->peer,
			    "inst99/y/9:1");
	feed_answer_ok(scene, RR_FEED_WATCH, NULL, 101);
	assert_false(rr_feed_can_serve_changes(scene->feed));
	feed_drop_fixture(scene);
}

/*
 * Story: all processes are killed while the store is down.  The first to
 * start knows nothing and says so; those after it read from an instance that
 * they were given to start from, and serve.
 */
static void test_start_while_the_store_is_away(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", "10.0.0.2:7", NULL };
	struct feed_fixture *scene = feed_new_fixture_with_seeds(seeds);

	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_string_equal(feed_find_call(scene, RR_FEED_RANGE)->peer,
			    seeds[0]);
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_string_equal(feed_find_call(scene, RR_FEED_RANGE)->peer,
			    seeds[1]);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	assert_true(rr_feed_has_synced(scene->feed));
	feed_assert_events(scene, "routes 3 +r1 ");
	/* The store is back, with what has changed meanwhile. */
	feed_advance(scene, 2000 * MS);
	assert_null(feed_find_call(scene, RR_FEED_WATCH)->peer);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 20);
	feed_drop_fixture(scene);
}

/* One that has fallen behind must not unlist what came after. */
static void test_an_older_copy_is_left_out(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", NULL };
	struct feed_fixture *scene = feed_new_fixture_with_seeds(seeds);

	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 inst1@9 r1@11 r2@19",
		       20);
	feed_assert_events(scene, "routes 3 +r1 +r2 ");
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED,
		    NULL, 0, false);
	assert_non_null(feed_find_call(scene, RR_FEED_RANGE)->peer);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 15);
	feed_assert_events(scene, "");
	feed_advance(scene, 300 * MS);
	assert_null(feed_find_call(scene, RR_FEED_RANGE)->peer);
	feed_drop_fixture(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_others_tell),
		cmocka_unit_test(test_others_fall_silent),
		cmocka_unit_test(test_others_have_forgotten),
		cmocka_unit_test(test_enterer_dies),
		cmocka_unit_test(test_nobody_enters_it),
		cmocka_unit_test(test_it_enters_others),
		cmocka_unit_test(test_entries_of_others_lapse),
		cmocka_unit_test(test_it_leaves_others_in_place),
		cmocka_unit_test(test_passing_on),
		cmocka_unit_test(test_middle_level_passes_on),
		cmocka_unit_test(test_who_asks_waits_for_a_standby),
		cmocka_unit_test(test_far_news_are_not_passed_on),
		cmocka_unit_test(test_start_while_the_store_is_away),
		cmocka_unit_test(test_an_older_copy_is_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
