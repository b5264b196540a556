/*
 * test-feed-age.c - how old a change is when an instance learns of it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/feed-fixture.h"

/* As rr_new_feed() in the fixture. */
#define MAX_STALENESS_MS 3000

/* A feed that reads from inst1, which has just replied. */
static struct feed_fixture *new_following_fixture(void)
{
	struct feed_fixture *fixture = feed_new_fixture();

	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 r1@11 inst1/z/4@12 inst2/z/3@13 "
		       "inst3/z/1@14 inst9/y/9@15",
		       20);
	feed_advance(fixture, 750 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	return fixture;
}

static struct recorded_call *find_watch(struct feed_fixture *fixture)
{
	return feed_find_call(fixture, RR_FEED_WATCH);
}

static void fail_watch(struct feed_fixture *fixture)
{
	feed_answer(fixture, find_watch(fixture), RR_FEED_FAILED, NULL, 0,
		    false);
}

/*
 * A replica is removed while the source had no watch open, then the source
 * freezes.  Guards against a removal that counts from when it was learned.
 */
static void test_removal_behind_silent_sources(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();
	int64_t replied_us = fixture->now_us;
	int64_t true_age_us;

	assert_non_null(find_watch(fixture)->peer);
	feed_advance(fixture, 1125 * MS);
	fail_watch(fixture);
	feed_advance(fixture, 375 * MS);
	fail_watch(fixture);
	assert_null(find_watch(fixture)->peer);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@30", 30);
	true_age_us = fixture->now_us - replied_us + 375 * MS;
	assert_in_range(fixture->unlisted_age_us, true_age_us,
			rr_longest_change_age_us(MAX_STALENESS_MS));
	feed_drop_fixture(fixture);
}

/* Guards against a peer whose own source was silent. */
static void test_age_of_peer_counts(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();
	struct recorded_call *watch = find_watch(fixture);
	struct rr_feed_reply reply = {
		.call_id = watch->id,
		.status = RR_FEED_OK,
		.revision = 20,
		.age_us = 1000 * MS,
	};

	feed_advance(fixture, 750 * MS);
	watch->done = true;
	rr_feed_reply(fixture->ctx, fixture->feed, fixture->now_us, &reply);
	assert_int_equal(rr_feed_age_us(fixture->feed, fixture->now_us),
			 1000 * MS);
	rr_feed_tick(fixture->ctx, fixture->feed, fixture->now_us);
	feed_advance(fixture, 100 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@30", 30);
	assert_int_equal(fixture->unlisted_age_us, 1100 * MS);
	feed_drop_fixture(fixture);
}

/*
 * Guards against an open watch that is taken for a proof.  What it reports may
 * have been on its way since it was opened, if its connection was cut off
 * meanwhile; only a watch that ended without changes counts up to its end.
 */
static void test_removal_during_watch(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	assert_null(find_watch(fixture)->peer);
	feed_advance(fixture, 600 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "r1@40", 40);
	feed_advance(fixture, 375 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@41", 41);
	assert_int_equal(fixture->unlisted_age_us, (600 + 375) * MS);
	feed_advance(fixture, 375 * MS);
	assert_int_equal(find_watch(fixture)->wait_ms, 25000);
	feed_advance(fixture, 400 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r2@42", 42);
	assert_int_equal(fixture->unlisted_age_us, (375 + 400) * MS);
	feed_drop_fixture(fixture);
}

/* A watcher of the reference zone, whose watches are short. */
static struct feed_fixture *new_reference_fixture(void)
{
	struct feed_fixture *fixture = feed_new_fixture_with_strength(1);

	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 r1@11 inst1/z/0@13 inst2/z/0@14", 20);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	return fixture;
}

/*
 * Guards against a watcher that is cut off from the store and says that it
 * knows all changes: its age grows while its watch receives nothing, and it
 * stops serving changes in time for its peers to learn of them elsewhere.
 */
static void test_cut_watcher_states_its_age(void **state)
{
	struct feed_fixture *fixture = new_reference_fixture();
	struct rr_feed *feed = fixture->feed;

	feed_advance(fixture, 750 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	assert_int_equal(rr_feed_age_us(feed, fixture->now_us), 0);
	feed_advance(fixture, 1500 * MS);
	assert_int_equal(rr_feed_age_us(feed, fixture->now_us), 1500 * MS);
	assert_true(rr_feed_can_serve_changes(feed));
	feed_advance(fixture, 750 * MS);
	rr_feed_tick(fixture->ctx, feed, fixture->now_us);
	assert_false(rr_feed_can_serve_changes(feed));
	feed_drop_fixture(fixture);
}

/*
 * Guards against a reply that was held up on its way and passes for a new one:
 * a watch that may wait 750 ms is answered after 1,000 ms.
 */
static void test_late_reply_counts_from_its_wait(void **state)
{
	struct feed_fixture *fixture = new_reference_fixture();

	feed_advance(fixture, 1000 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	assert_int_equal(rr_feed_age_us(fixture->feed, fixture->now_us),
			 250 * MS);
	feed_drop_fixture(fixture);
}

/*
 * Guards against a long watch whose proof only the store could renew: another
 * zone that knows of no other change confirms it up to the age that it states.
 */
static void test_other_zone_confirms_watch(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	struct recorded_call *check;
	struct rr_feed_reply reply = { .status = RR_FEED_OK,
				       .revision = 20,
				       .age_us = 300 * MS };

	feed_advance(fixture, 1000 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	feed_advance(fixture, 600 * MS);
	check = feed_find_call(fixture, RR_FEED_CHECK);
	feed_answer(fixture, check, RR_FEED_FAILED, NULL, 0, false);
	feed_advance(fixture, 550 * MS);
	check = feed_find_call(fixture, RR_FEED_CHECK);
	assert_int_equal(rr_feed_age_us(fixture->feed, fixture->now_us),
			 1150 * MS);
	feed_advance(fixture, 100 * MS);
	reply.call_id = check->id;
	check->done = true;
	rr_feed_reply(fixture->ctx, fixture->feed, fixture->now_us, &reply);
	/* It was asked 650 ms ago. */
	assert_int_equal(rr_feed_age_us(fixture->feed, fixture->now_us),
			 950 * MS);
	feed_drop_fixture(fixture);
}

/*
 * Entries expire while the store is away.  Guards against replicas that are
 * dropped at once although their entries come back.
 */
static void test_outage_of_store(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	feed_answer_ok(fixture, RR_FEED_WATCH, "r1@40", 40);
	feed_advance(fixture, 400 * MS);
	fail_watch(fixture);
	for (int i = 0; i < 5; i++) {
		feed_advance(fixture, 1500 * MS);
		if (find_watch(fixture))
			fail_watch(fixture);
	}
	while (!find_watch(fixture))
		feed_advance(fixture, 100 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@41", 41);
	assert_int_equal(fixture->unlisted_age_us, 0);
	feed_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_removal_behind_silent_sources),
		cmocka_unit_test(test_age_of_peer_counts),
		cmocka_unit_test(test_removal_during_watch),
		cmocka_unit_test(test_cut_watcher_states_its_age),
		cmocka_unit_test(test_late_reply_counts_from_its_wait),
		cmocka_unit_test(test_other_zone_confirms_watch),
		cmocka_unit_test(test_outage_of_store),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
