/*
 * test-feed-verify.c - a start from a stale copy of the store that has content
 * of an earlier era although it states the present one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/feed-fixture.h"

/* Half of the staleness bound: the store is asked in any case after it. */
#define STORE_FALLBACK_MS 1500

/* A fixture whose first range was of a stale copy at revision 20. */
static struct feed_fixture *new_unverified_fixture(void)
{
	struct feed_fixture *fixture = feed_new_fixture();
	struct recorded_call *range = feed_find_call(fixture, RR_FEED_RANGE);

	fixture->era = 2;
	assert_true(range->allow_stale);
	feed_answer(fixture, range, RR_FEED_OK,
		    "routes3@10 r1@11 r2@19 inst1@13", 20, false);
	feed_assert_events(fixture, "routes 3 +r1 +r2 ");
	return fixture;
}

static void answer_verification(struct feed_fixture *fixture, const char *items,
				uint64_t revision)
{
	struct recorded_call *range = feed_find_call(fixture, RR_FEED_RANGE);

	assert_non_null(range);
	assert_false(range->allow_stale);
	feed_answer(fixture, range, RR_FEED_OK, items, revision, false);
}

/*
 * Guards against a configuration of the present era that is never read, since
 * the store has passed the revision of the stale copy.
 */
static void test_change_below_revision_of_copy_is_read(void **state)
{
	struct feed_fixture *fixture = new_unverified_fixture();

	(void)state;
	assert_null(feed_find_call(fixture, RR_FEED_WATCH));
	answer_verification(fixture, "routes4@17 r1@11 r3@24 inst1@13", 24);
	feed_assert_events(fixture, "routes 4 +r3 -r2 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 24);
	feed_drop_fixture(fixture);
}

/*
 * Guards against items of the copy that hide those of the present era, whose
 * revisions are lower, or equal and stand for another value.
 */
static void test_items_of_copy_are_replaced(void **state)
{
	struct feed_fixture *fixture = new_unverified_fixture();

	(void)state;
	answer_verification(fixture, "routes4@10 r1@9 inst1@13", 15);
	feed_assert_events(fixture, "routes 4 -r2 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 15);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes5@16 r2@17", 17);
	feed_assert_events(fixture, "routes 5 +r2 ");
	feed_drop_fixture(fixture);
}

/* Guards against replicas that count as cold once more without a change. */
static void test_unchanged_items_are_not_reported_again(void **state)
{
	struct feed_fixture *fixture = new_unverified_fixture();

	(void)state;
	answer_verification(fixture, "routes3@10 r1@11 r2@19 inst1@13", 22);
	feed_assert_events(fixture, "");
	feed_drop_fixture(fixture);
}

/* Guards against a zone of peers that take over the items of a stale copy. */
static void test_stale_copy_is_not_served(void **state)
{
	struct feed_fixture *fixture = new_unverified_fixture();

	(void)state;
	assert_true(rr_feed_has_synced(fixture->feed));
	assert_false(rr_feed_can_serve_items(fixture->feed));
	assert_false(rr_feed_can_serve_changes(fixture->feed));
	answer_verification(fixture, "routes4@10 r1@9 inst1@13", 15);
	assert_true(rr_feed_can_serve_items(fixture->feed));
	assert_true(rr_feed_can_serve_changes(fixture->feed));
	feed_drop_fixture(fixture);
}

/*
 * Guards against an evacuation of the earlier era that stays in force, since its
 * revision is higher than that at which it is known to be absent.
 */
static void test_evacuation_of_copy_ends(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();

	(void)state;
	fixture->era = 2;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "evacuate/z1@19 routes3@10 inst1@13", 20, false);
	feed_assert_events(fixture, "evacuate z1 1 routes 3 ");
	answer_verification(fixture, "routes3@10 inst1@13", 15);
	feed_assert_events(fixture, "take-back z1 15 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a read of the store by each of hundreds of instances that
 * start at the same moment: their peers have read it, or soon will have.
 */
static void test_peers_are_read_before_the_store(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();
	int n_peers = 0;

	(void)state;
	fixture->era = 2;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "routes3@10 inst1/z/9@11 inst2/z/8@12 inst3/z/7@13 "
		    "inst4/z/6@14",
		    20, false);
	/* All of them start as well, and cannot serve it yet. */
	for (; feed_find_call(fixture, RR_FEED_RANGE); n_peers++) {
		struct recorded_call *range =
			feed_find_call(fixture, RR_FEED_RANGE);

		assert_non_null(range->peer);
		feed_answer(fixture, range, RR_FEED_FAILED, NULL, 0, false);
	}
	assert_int_equal(n_peers, 4);
	feed_advance(fixture, 1000 * MS);
	assert_non_null(feed_find_call(fixture, RR_FEED_RANGE)->peer);
	answer_verification(fixture, "routes4@10 inst1/z/9@11", 15);
	feed_assert_events(fixture, "routes 3 instances 4 routes 4 ");
	assert_non_null(feed_find_call(fixture, RR_FEED_WATCH)->peer);
	feed_drop_fixture(fixture);
}

/*
 * Guards against items of a stale copy that hide those of a peer, since only its
 * first page was read: the store is away before the second.
 */
static void test_partial_copy_is_replaced(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", NULL };
	struct feed_fixture *fixture = feed_new_fixture_with_seeds(seeds);

	(void)state;
	fixture->era = 2;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "r1@11 routes3@18", 20, true);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_string_equal(feed_find_call(fixture, RR_FEED_RANGE)->peer,
			    seeds[0]);
	answer_verification(fixture, "r1@11 routes4@12 inst1@13", 15);
	feed_assert_events(fixture, "+r1 routes 3 +r1 routes 4 ");
	feed_drop_fixture(fixture);
}

/* Guards against a stale copy that stays in force while no peer answers. */
static void test_store_is_read_if_no_peer_answers(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();
	struct recorded_call *range;
	int64_t end_us = fixture->now_us + (STORE_FALLBACK_MS + 100) * MS;

	(void)state;
	fixture->era = 2;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "routes3@10 inst1/z/9@11 inst2/z/8@12 inst3/z/7@13 "
		    "inst4/z/6@14",
		    20, false);
	while ((range = feed_find_call(fixture, RR_FEED_RANGE)) == NULL ||
	       range->peer) {
		assert_true(fixture->now_us < end_us);
		if (range)
			feed_answer(fixture, range, RR_FEED_FAILED, NULL, 0,
				    false);
		feed_advance(fixture, 10 * MS);
	}
	answer_verification(fixture, "routes4@10", 15);
	feed_assert_events(fixture, "routes 3 instances 4 routes 4 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against an instance that alone finds no peers, and never replaces the
 * items of its second stale copy.
 */
static void test_copies_of_lone_instance_are_replaced(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture_with_strength(0.5);

	(void)state;
	fixture->era = 2;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "routes3@10 r1@11", 20, false);
	feed_advance(fixture, 1500 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "routes3@10 r1@11 r2@21", 22, false);
	answer_verification(fixture, "routes4@10 r1@9", 15);
	feed_assert_events(fixture, "routes 3 +r1 +r2 routes 4 -r2 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 15);
	feed_drop_fixture(fixture);
}

/* Guards against a restore during the verification that ends it too early. */
static void test_restore_during_verification(void **state)
{
	struct feed_fixture *fixture = new_unverified_fixture();

	(void)state;
	fixture->era = 3;
	answer_verification(fixture, "routes4@10 r1@9 inst1@13", 15);
	feed_assert_events(fixture, "routes 4 ");
	assert_true(rr_feed_can_serve_items(fixture->feed));
	assert_int_equal(rr_feed_cursor(fixture->feed).era, 3);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes5@16 r2@17", 17);
	feed_assert_events(fixture, "routes 5 +r2 ");
	feed_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_change_below_revision_of_copy_is_read),
		cmocka_unit_test(test_items_of_copy_are_replaced),
		cmocka_unit_test(test_unchanged_items_are_not_reported_again),
		cmocka_unit_test(test_stale_copy_is_not_served),
		cmocka_unit_test(test_evacuation_of_copy_ends),
		cmocka_unit_test(test_peers_are_read_before_the_store),
		cmocka_unit_test(test_partial_copy_is_replaced),
		cmocka_unit_test(test_store_is_read_if_no_peer_answers),
		cmocka_unit_test(test_copies_of_lone_instance_are_replaced),
		cmocka_unit_test(test_restore_during_verification),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
