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
	feed_advance(fixture, 1100 * MS);
	assert_non_null(feed_find_call(fixture, RR_FEED_CHECK)->peer);
	assert_int_equal(feed_find_call(fixture, RR_FEED_CHECK)->wait_ms, 0);
	/* The other zone knows no more, or cannot be reached. */
	feed_answer_ok(fixture, RR_FEED_CHECK, NULL, 20);
	feed_advance(fixture, 1100 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_CHECK),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms,
			 25000);
	feed_advance(fixture, 1100 * MS);
	feed_answer_ok(fixture, RR_FEED_CHECK, "routes4@21", 21);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH)->peer);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes4@21", 21);
	feed_assert_events(fixture, "routes 4 ");
	feed_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_watch_after_stale_range_is_short),
		cmocka_unit_test(test_watch_is_compared_with_another_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
