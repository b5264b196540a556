/*
 * test-feed.c - following the store in virtual time: outages, lost answers,
 * forgotten history, silent connections.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/counters.h"
#include "support/feed-fixture.h"

static void test_first_reading(void **state)
{
	struct feed_fixture *scene = feed_new_fixture();

	assert_false(rr_feed_has_synced(scene->feed));
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_OK,
		    "routes3@10 inst1@9 r1@11", 20, true);
	assert_false(rr_feed_has_synced(scene->feed));
	assert_string_equal(feed_find_call(scene, RR_FEED_RANGE)->after_key,
			    "r1");
	assert_true(feed_find_call(scene, RR_FEED_RANGE)->allow_stale);
	/* The second page is read later, but changes count from the first. */
	feed_answer_ok(scene, RR_FEED_RANGE, "r2@25", 26);
	assert_true(rr_feed_has_synced(scene->feed));
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 20);
	feed_assert_events(scene, "routes 3 +r1 +r2 ");
	feed_drop_fixture(scene);
}

/*
 * Story: pages are read of copies that lag, the second of one that lags more.
 * What the second lacks is told by the first watch, if it asks from there.
 */
static void test_pages_of_different_age(void **state)
{
	struct feed_fixture *scene = feed_new_fixture();

	(void)state;
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_OK,
		    "inst1@9 r1@11", 20, true);
	feed_answer_ok(scene, RR_FEED_RANGE, "r2@12", 15);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 15);
	feed_drop_fixture(scene);
}

/*
 * Story: all instances start at once, and the store has no entry yet.  Were
 * each to watch and enter itself, that would be three calls for each of
 * hundreds.  Each looks again a little later, the strong ones first, and the
 * others then find somebody to ask.  It serves meanwhile.
 */
static void test_alone_it_looks_again(void **state)
{
	struct feed_fixture *scene = feed_new_fixture_with_strength(0.25);
	guint calls;

	(void)state;
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	assert_true(rr_feed_has_synced(scene->feed));
	feed_advance(scene, 1200 * MS);
	assert_null(feed_find_call(scene, RR_FEED_RANGE));
	feed_advance(scene, 1100 * MS);
	assert_true(feed_find_call(scene, RR_FEED_RANGE)->allow_stale);
	feed_answer_ok(scene, RR_FEED_RANGE,
		       "routes3@10 r1@11 inst1/z/4@21 inst2/z/4@21", 22);
	calls = feed_count_store_calls(scene);
	assert_int_equal(calls, 2);
	assert_non_null(feed_find_call(scene, RR_FEED_WATCH)->peer);
	assert_non_null(feed_find_call(scene, RR_FEED_WRITE_ENTRIES)->peer);
	feed_drop_fixture(scene);
}

/* The first of all finds nobody the second time either, and goes ahead. */
static void test_alone_it_goes_ahead(void **state)
{
	struct feed_fixture *scene = feed_new_fixture_with_strength(0.5);

	(void)state;
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	feed_advance(scene, 1500 * MS);
	/* A copy that is older still takes nothing back. */
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10", 15);
	feed_advance(scene, 600 * MS);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 20);
	assert_non_null(feed_find_call(scene, RR_FEED_LEASE_GRANT));
	/*
	 * The others have not entered by now: taken for the only one it would
	 * spend what all of them may.
	 */
	feed_assert_events(scene, "routes 3 +r1 ");
	feed_advance(scene, 1500 * MS);
	feed_assert_events(scene, "instances 1 ");
	feed_drop_fixture(scene);
}

static void test_changes(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	feed_answer_ok(scene, RR_FEED_WATCH, "r3@21 -r1@22 routes4@23", 23);
	feed_assert_events(scene, "+r3 -r1 routes 4 ");
	feed_advance(scene, 1000 * MS);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 23);
	feed_drop_fixture(scene);
}

/*
 * Story: somebody writes nonsense under the keys of a replica, of an instance
 * and of the configuration.  The replica is not known to be there any more and
 * gets no work, the instance does not count, and the routes stay in force, for
 * without any nobody would be served.  What is written anew is taken.
 */
static void test_values_that_are_none_of_their_kind(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	feed_advance(scene, 2500 * MS);
	feed_answer_ok(scene, RR_FEED_WATCH,
		       "?r1@21 ?routes4@22 ?inst3@23 r2@24", 24);
	feed_assert_events(scene, "-r1 +r2 ");
	assert_non_null(strstr(scene->instance_events->str, "-inst3 "));
	feed_advance(scene, 21000 * MS);
	feed_assert_events(scene, "instances 2 ");
	feed_answer_ok(scene, RR_FEED_WATCH, "r1@25 routes4@26 inst3@27", 27);
	feed_assert_events(scene, "+r1 routes 4 instances 3 ");
	feed_drop_fixture(scene);
}

/*
 * Story: the store drops its history and cuts all watches, with a new
 * configuration just written.  A watch that is opened anew in that moment
 * hears nothing until its end, 25 s later, and the old routes are in force
 * for so long, while each renewal is answered.  So the first watch after a cut
 * is short; it ends with word that the history is gone, and all is read anew.
 */
static void test_watch_after_a_cut_is_short(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	(void)state;
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->wait_ms, 25000);
	while (feed_find_call(scene, RR_FEED_WATCH))
		feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
			    RR_FEED_FAILED, NULL, 0, false);
	feed_advance(scene, 200 * MS);
	assert_null(feed_find_call(scene, RR_FEED_WATCH)->peer);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->wait_ms, 1000);
	feed_advance(scene, 1000 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	assert_false(feed_find_call(scene, RR_FEED_RANGE)->allow_stale);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes4@23 r1@11 inst1@13", 23);
	feed_assert_events(scene, "routes 4 -r2 ");
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->wait_ms, 25000);
	feed_drop_fixture(scene);
}

/* A watch tells again what the second page of the range had already. */
static void test_old_news_counts_for_nothing(void **state)
{
	struct feed_fixture *scene = feed_new_fixture();

	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_OK,
		    "inst1@9 r1@11", 20, true);
	feed_answer_ok(scene, RR_FEED_RANGE, "r2@25", 26);
	feed_assert_events(scene, "+r1 +r2 ");
	feed_answer_ok(scene, RR_FEED_WATCH, "r2@21 -r2@23 r2@25", 26);
	feed_assert_events(scene, "");
	feed_drop_fixture(scene);
}

/* The count of paid calls: a burst of changes is one watch, not one each. */
static void test_bursts_are_merged(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	guint before = feed_count_calls(scene, RR_FEED_WATCH);

	feed_answer_ok(scene, RR_FEED_WATCH, "r3@21", 21);
	feed_advance(scene, 300 * MS);
	assert_null(feed_find_call(scene, RR_FEED_WATCH));
	feed_advance(scene, 200 * MS);
	assert_non_null(feed_find_call(scene, RR_FEED_WATCH));
	assert_int_equal(feed_count_calls(scene, RR_FEED_WATCH), before + 1);
	feed_drop_fixture(scene);
}

/* Each change wakes all watches: the more there are, the longer they wait,
 * but never for more than a third of the bound. */
static void test_many_instances_merge_more(void **state)
{
	struct feed_fixture *scene = feed_new_fixture();
	GString *items = g_string_new(NULL);

	for (int i = 0; i < 100; i++)
		g_string_append_printf(items, "inst%d@%d ", i, i + 1);
	feed_answer_ok(scene, RR_FEED_RANGE, items->str, 200);
	feed_answer_ok(scene, RR_FEED_WATCH, "r3@201", 201);
	feed_advance(scene, 990 * MS);
	assert_null(feed_find_call(scene, RR_FEED_WATCH));
	feed_advance(scene, 20 * MS);
	assert_non_null(feed_find_call(scene, RR_FEED_WATCH));
	g_string_free(items, TRUE);
	feed_drop_fixture(scene);
}

/*
 * Story: an instance is turned away by the store for nine seconds of a
 * reshard.  What it missed comes in answers of some hundred changes, the
 * configuration in the last of them; with a pause after each it is in force
 * too late.
 */
static void test_backlog_is_read_without_pauses(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	GString *items = g_string_new(NULL);

	for (int i = 0; i < 100; i++)
		g_string_append_printf(items, "x%d@%d ", i, 30 + i);
	feed_answer_ok(scene, RR_FEED_WATCH, items->str, 129);
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 129);
	feed_answer_ok(scene, RR_FEED_WATCH, "routes9@130", 130);
	assert_null(feed_find_call(scene, RR_FEED_WATCH));
	g_string_free(items, TRUE);
	feed_drop_fixture(scene);
}

/* Guards against an evacuation that is lost with the store or told twice. */
static void test_evacuations(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	GArray *news;
	uint64_t revision;

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, "evacuate/z1@21", 21);
	feed_assert_events(scene, "evacuate z1 21 ");
	/* For those who ask this instance. */
	news = rr_feed_changes(scene->feed, 20, &revision);
	assert_int_equal(news->len, 1);
	g_array_unref(news);
	feed_advance(scene, 2000 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED,
		    NULL, 0, false);
	feed_advance(scene, 5000 * MS);
	feed_assert_events(scene, "");
	feed_answer_ok(scene, RR_FEED_WATCH, "-evacuate/z1@30", 30);
	feed_assert_events(scene, "take-back z1 30 ");
	feed_drop_fixture(scene);
}

/* Guards against an operator's request that is dropped for its value. */
static void test_an_evacuation_whose_value_cannot_be_read(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, "?evacuate/z1@21", 21);
	feed_assert_events(scene, "evacuate z1 21 ");
	assert_int_equal(
		rr_counter_value(scene->ctx, RR_N_STORE_VALUES_INVALID), 1);
	feed_drop_fixture(scene);
}

/* Guards against an evacuation that ended where no change is told of it. */
static void test_an_evacuation_that_is_not_in_the_range(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, "evacuate/z1@21", 21);
	feed_advance(scene, 2000 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11 r2@12 inst1@13",
		       40);
	assert_non_null(strstr(scene->events->str, "take-back z1 40 "));
	feed_drop_fixture(scene);
}

/* Nothing new for minutes: a long watch each time, nothing else is read. */
static void test_quiet_minutes(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	for (int i = 0; i < 240; i++) {
		struct recorded_call *keep;

		feed_advance(scene, 1000 * MS);
		keep = feed_find_call(scene, RR_FEED_LEASE_RENEW);
		if (keep)
			feed_answer(scene, keep, RR_FEED_OK, NULL, 0, false);
		if (i % 25 == 24)
			feed_answer_ok(scene, RR_FEED_WATCH, NULL, 30);
	}
	assert_true(feed_count_calls(scene, RR_FEED_WATCH) <= 11);
	assert_int_equal(feed_count_calls(scene, RR_FEED_RANGE), 1);
	assert_in_range(feed_count_calls(scene, RR_FEED_LEASE_RENEW), 100, 170);
	feed_drop_fixture(scene);
}

/*
 * Story: the store drops its history while a watch is cut.  What changed in
 * the gap is found by reading everything again: a replica that left is gone.
 */
static void test_forgotten_history(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	struct recorded_call *watch = feed_find_call(scene, RR_FEED_WATCH);

	feed_answer(scene, watch, RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes5@40 r2@12 r4@41 inst1@13",
		       50);
	feed_assert_events(scene, "routes 5 +r4 -r1 ");
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->after_revision,
			 50);
	feed_drop_fixture(scene);
}

/* A range that breaks off between its pages begins anew, losing nobody. */
static void test_range_breaks_off(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_OK,
		    "r1@11", 50, true);
	feed_answer(scene, feed_find_call(scene, RR_FEED_RANGE), RR_FEED_FAILED,
		    NULL, 0, false);
	feed_assert_events(scene, "");
	feed_advance(scene, 3000 * MS);
	assert_null(feed_find_call(scene, RR_FEED_RANGE)->after_key);
	feed_answer_ok(scene, RR_FEED_RANGE, "routes3@10 r1@11 r2@12", 60);
	feed_assert_events(scene, "");
	feed_drop_fixture(scene);
}

/*
 * Story: the store turns this machine away for some seconds, in silence.  The
 * watch that was asked meanwhile will never be answered, though the store is
 * back.  The renewal shows both the loss and the return; a change is in force
 * within three seconds of the return.
 */
static void test_a_watch_that_will_not_be_answered(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	struct recorded_call *watch = feed_find_call(scene, RR_FEED_WATCH);

	feed_advance(scene, 1600 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_LEASE_RENEW),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(rr_feed_is_store_reachable(scene->feed));
	assert_false(watch->done);
	feed_advance(scene, 2000 * MS);
	feed_answer_ok(scene, RR_FEED_LEASE_RENEW, NULL, 0);
	assert_true(rr_feed_is_store_reachable(scene->feed));
	assert_true(watch->done);
	/* The store may drop its history as it comes back: a short one first. */
	assert_int_equal(feed_find_call(scene, RR_FEED_WATCH)->wait_ms, 1000);
	feed_answer_ok(scene, RR_FEED_WATCH, "routes9@70", 70);
	feed_assert_events(scene, "routes 9 ");
	feed_drop_fixture(scene);
}

/* While it is away, calls are few, and never at the same moments. */
static void test_backoff(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	guint before;

	feed_answer(scene, feed_find_call(scene, RR_FEED_WATCH), RR_FEED_FAILED,
		    NULL, 0, false);
	before = scene->calls->len;
	for (int i = 0; i < 600; i++) {
		feed_advance(scene, 100 * MS);
		for (guint j = 0; j < scene->calls->len; j++) {
			struct recorded_call *call =
				g_ptr_array_index(scene->calls, j);

			if (!call->done)
				feed_answer(scene, call, RR_FEED_FAILED, NULL,
					    0, false);
		}
	}
	assert_in_range(scene->calls->len - before, 60, 140);
	assert_true(rr_feed_has_synced(scene->feed));
	feed_assert_events(scene, "");
	feed_drop_fixture(scene);
}

/* Leases may lapse with the store: the entry is made anew. */
static void test_entry_is_made_anew(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	feed_advance(scene, 1600 * MS);
	feed_answer(scene, feed_find_call(scene, RR_FEED_LEASE_RENEW),
		    RR_FEED_NO_LEASE, NULL, 0, false);
	feed_advance(scene, 1600 * MS);
	feed_answer_ok(scene, RR_FEED_LEASE_GRANT, NULL, 0);
	feed_answer_ok(scene, RR_FEED_WRITE_ENTRIES, NULL, 0);
	feed_advance(scene, 1600 * MS);
	assert_int_equal(feed_find_call(scene, RR_FEED_LEASE_RENEW)->lease, 77);
	feed_drop_fixture(scene);
}

/*
 * Budgets and connections are shared by the count: it grows at once and
 * shrinks only when a window has passed, or a restart of many would let the
 * others spend what these have spent already.
 */
static void test_count_of_instances(void **state)
{
	struct feed_fixture *scene = feed_new_fixture();

	feed_answer_ok(scene, RR_FEED_RANGE, "inst1@1 inst2@2 inst3@3 inst4@4",
		       9);
	feed_assert_events(scene, "instances 4 ");
	feed_answer_ok(scene, RR_FEED_WATCH, "inst5@10", 10);
	feed_assert_events(scene, "instances 5 ");
	feed_advance(scene, 1000 * MS);
	feed_answer_ok(scene, RR_FEED_WATCH, "-inst1@11 -inst2@12", 12);
	feed_advance(scene, 18000 * MS);
	feed_assert_events(scene, "");
	feed_answer_ok(scene, RR_FEED_WATCH, "inst1@13", 13);
	feed_advance(scene, 21000 * MS);
	feed_assert_events(scene, "instances 4 ");
	assert_string_equal(scene->instance_events->str,
			    "+inst1 +inst2 +inst3 +inst4 +inst5 -inst1 "
			    "-inst2 +inst1 ");
	feed_drop_fixture(scene);
}

static void test_first_of_all_waits_for_others(void **state)
{
	struct feed_fixture *scene = feed_new_fixture();

	feed_answer_ok(scene, RR_FEED_RANGE, "inst1@1", 9);
	feed_assert_events(scene, "");
	feed_answer_ok(scene, RR_FEED_WATCH, "inst2@10", 10);
	feed_assert_events(scene, "");
	feed_advance(scene, 2100 * MS);
	feed_assert_events(scene, "instances 2 ");
	feed_drop_fixture(scene);
}

static void test_leaving(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	rr_feed_leave(scene->ctx, scene->feed, scene->now_us);
	assert_int_equal(feed_find_call(scene, RR_FEED_LEASE_REVOKE)->lease,
			 77);
	feed_advance(scene, 5000 * MS);
	assert_int_equal(feed_count_calls(scene, RR_FEED_LEASE_RENEW), 0);
	/* Changes are still followed while the last requests are served. */
	feed_answer_ok(scene, RR_FEED_WATCH, "-r1@30", 30);
	feed_assert_events(scene, "-r1 ");
	feed_drop_fixture(scene);
}

static void test_unreadable_items_change_nothing(void **state)
{
	struct feed_fixture *scene = feed_new_synced_fixture();
	struct recorded_call *watch = feed_find_call(scene, RR_FEED_WATCH);
	struct rr_feed_item *item = feed_make_item("-r9", 31);
	struct rr_feed_reply reply = {
		.call_id = watch->id,
		.items = g_ptr_array_new_with_free_func(rr_free_feed_item),
		.revision = 31,
	};

	item->removed = false;
	item->decode_error = "no JSON";
	g_ptr_array_add(reply.items, item);
	rr_feed_reply(scene->ctx, scene->feed, scene->now_us, &reply);
	feed_assert_events(scene, "");
	g_ptr_array_unref(reply.items);
	feed_drop_fixture(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_reading),
		cmocka_unit_test(test_pages_of_different_age),
		cmocka_unit_test(test_alone_it_looks_again),
		cmocka_unit_test(test_alone_it_goes_ahead),
		cmocka_unit_test(test_changes),
		cmocka_unit_test(test_values_that_are_none_of_their_kind),
		cmocka_unit_test(test_watch_after_a_cut_is_short),
		cmocka_unit_test(test_old_news_counts_for_nothing),
		cmocka_unit_test(test_bursts_are_merged),
		cmocka_unit_test(test_many_instances_merge_more),
		cmocka_unit_test(test_backlog_is_read_without_pauses),
		cmocka_unit_test(test_evacuations),
		cmocka_unit_test(test_an_evacuation_whose_value_cannot_be_read),
		cmocka_unit_test(test_an_evacuation_that_is_not_in_the_range),
		cmocka_unit_test(test_quiet_minutes),
		cmocka_unit_test(test_forgotten_history),
		cmocka_unit_test(test_range_breaks_off),
		cmocka_unit_test(test_a_watch_that_will_not_be_answered),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_entry_is_made_anew),
		cmocka_unit_test(test_count_of_instances),
		cmocka_unit_test(test_first_of_all_waits_for_others),
		cmocka_unit_test(test_leaving),
		cmocka_unit_test(test_unreadable_items_change_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
