/*
 * test-feed-watch.c - watches of the store that receive nothing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/feed-fixture.h"

/*
 * Guards against a long watch that receives nothing at an instance that starts
 * while the store compacts its history, since the range was of a stale copy.
 */
static void test_watch_after_stale_range_is_short(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();

	(void)state;
	assert_true(feed_find_call(fixture, RR_FEED_RANGE)->allow_stale);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10 r1@11 inst2@12", 20);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes4@21 r1@11 inst2@12", 21);
	feed_assert_events(fixture, "routes 3 +r1 routes 4 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against an open watch that receives nothing, whatever made it so: a
 * watcher of another zone knows the change.
 */
static void test_watch_is_compared_with_another_zone(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	feed_advance(fixture, 600 * MS);
	assert_non_null(feed_find_call(fixture, RR_FEED_CHECK)->peer);
	assert_int_equal(feed_find_call(fixture, RR_FEED_CHECK)->wait_ms, 0);
	/* The other zone knows no more, or cannot be reached. */
	feed_answer_ok(fixture, RR_FEED_CHECK, NULL, 20);
	feed_advance(fixture, 550 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_CHECK),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms,
			 25000);
	feed_advance(fixture, 550 * MS);
	feed_answer_ok(fixture, RR_FEED_CHECK, "routes4@21", 21);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH)->peer);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes4@21", 21);
	feed_assert_events(fixture, "routes 4 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against an open watch that receives nothing while no other zone can be
 * reached: it is opened again before the staleness bound.
 */
static void test_unconfirmed_watch_is_opened_again(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	struct recorded_call *watch;
	guint n_watches;

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	watch = feed_find_call(fixture, RR_FEED_WATCH);
	n_watches = feed_count_calls(fixture, RR_FEED_WATCH);
	for (int i = 0; i < 26; i++) {
		struct recorded_call *check =
			feed_find_call(fixture, RR_FEED_CHECK);

		if (check)
			feed_answer(fixture, check, RR_FEED_FAILED, NULL, 0,
				    false);
		feed_advance(fixture, 100 * MS);
	}
	assert_true(watch->done);
	assert_int_equal(feed_count_calls(fixture, RR_FEED_WATCH),
			 n_watches + 1);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes4@21", 21);
	feed_assert_events(fixture, "routes 4 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a long watch in a site of one zone, or in the zone that others
 * are compared with, where nothing shows that it receives nothing: its wait, the
 * time-out of a lost reply and a comparison fit into the staleness bound of 3 s.
 */
static void test_reference_watch_is_short(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture_with_strength(1);

	(void)state;
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 inst1/z/0@13 inst2/z/0@14", 20);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH)->peer);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 750);
	feed_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_watch_after_stale_range_is_short),
		cmocka_unit_test(test_watch_is_compared_with_another_zone),
		cmocka_unit_test(test_unconfirmed_watch_is_opened_again),
		cmocka_unit_test(test_reference_watch_is_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
