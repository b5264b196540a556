/*
 * test-feed-report.c - what instances tell each other of requests that crash
 * replicas, through a store that is shared, slow or away.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/feed-fixture.h"

/* The report that is under way. */
static struct recorded_call *expect(struct feed_fixture *scene,
				    const char *report, uint64_t revision)
{
	struct recorded_call *call = feed_find_call(scene, RR_FEED_REPORT);

	assert_non_null(call);
	assert_null(call->peer);
	assert_string_equal(call->report, report);
	assert_int_equal(call->expected_revision, revision);
	return call;
}

static struct feed_fixture *new_scene(void)
{
	struct feed_fixture *scene = feed_new_synced_fixture();

	g_string_truncate(scene->events, 0);
	return scene;
}

/* One in force stands without a lease: it outlasts whoever wrote it. */
static void test_quarantine_is_written_at_once(void **state)
{
	struct feed_fixture *scene = new_scene();

	(void)state;
	feed_report(scene, 5, true);
	assert_int_equal(expect(scene, "quarantined 5", 0)->lease, 0);
	feed_answer_ok(scene, RR_FEED_REPORT, "", 30);
	feed_advance(scene, 1000 * MS);
	assert_null(feed_find_call(scene, RR_FEED_REPORT));
	feed_drop_fixture(scene);
}

/* Suspicion goes with its lease, one lease for many. */
static void test_suspicion_has_a_lease(void **state)
{
	struct feed_fixture *scene = new_scene();
	guint grants = feed_count_calls(scene, RR_FEED_LEASE_GRANT);

	(void)state;
	feed_report(scene, 5, false);
	feed_answer_ok(scene, RR_FEED_LEASE_GRANT, "", 30);
	assert_true(expect(scene, "suspected 5", 0)->lease != 0);
	feed_answer_ok(scene, RR_FEED_REPORT, "", 31);
	feed_advance(scene, 1000 * MS);
	feed_report(scene, 6, false);
	expect(scene, "suspected 6", 0);
	feed_answer_ok(scene, RR_FEED_REPORT, "", 32);
	assert_int_equal(feed_count_calls(scene, RR_FEED_LEASE_GRANT),
			 grants + 1);
	feed_drop_fixture(scene);
}

/* Guards against evidence that is written over by another instance's. */
static void test_what_others_wrote_first_is_learnt(void **state)
{
	struct feed_fixture *scene = new_scene();

	(void)state;
	feed_report(scene, 5, true);
	feed_answer(scene, expect(scene, "quarantined 5", 0), RR_FEED_CONFLICT,
		    "suspected/5@40", 0, false);
	feed_assert_events(scene, "suspected 5 ");
	feed_advance(scene, 1000 * MS);
	assert_null(feed_find_call(scene, RR_FEED_REPORT));
	/* Who knows more tells it again, on top of that. */
	feed_report(scene, 5, true);
	expect(scene, "quarantined 5", 40);
	feed_drop_fixture(scene);
}

/* Guards against an entry whose lease ended, which a watch has not told. */
static void test_an_entry_that_is_gone_is_written_anew(void **state)
{
	struct feed_fixture *scene = new_scene();

	(void)state;
	feed_report(scene, 5, true);
	feed_answer_ok(scene, RR_FEED_REPORT, "", 30);
	feed_advance(scene, 1000 * MS);
	feed_report(scene, 5, true);
	feed_answer(scene, expect(scene, "quarantined 5", 30), RR_FEED_CONFLICT,
		    "", 0, false);
	feed_advance(scene, 1000 * MS);
	expect(scene, "quarantined 5", 0);
	feed_drop_fixture(scene);
}

/* Guards against what is found out while the store is away. */
static void test_it_is_told_when_the_store_is_back(void **state)
{
	struct feed_fixture *scene = new_scene();

	(void)state;
	feed_report(scene, 5, true);
	for (int i = 0; i < 4; i++) {
		feed_answer(scene, expect(scene, "quarantined 5", 0),
			    RR_FEED_FAILED, "", 0, false);
		feed_advance(scene, 1500 * MS);
	}
	feed_answer_ok(scene, RR_FEED_REPORT, "", 30);
	feed_advance(scene, 2000 * MS);
	assert_null(feed_find_call(scene, RR_FEED_REPORT));
	feed_drop_fixture(scene);
}

/* Guards against a trial by two, and by one that cannot know. */
static void test_a_claim_is_decided_once(void **state)
{
	struct feed_fixture *scene = new_scene();

	(void)state;
	feed_claim(scene, 5);
	feed_answer_ok(scene, RR_FEED_REPORT, "", 30);
	feed_assert_events(scene, "granted 5 ");
	feed_advance(scene, 1000 * MS);
	feed_claim(scene, 5);
	feed_answer(scene, expect(scene, "quarantined 5", 30), RR_FEED_CONFLICT,
		    "quarantined/5@40", 0, false);
	feed_assert_events(scene, "not-granted 5 quarantined 5 ");
	feed_advance(scene, 1000 * MS);
	feed_claim(scene, 5);
	feed_answer(scene, expect(scene, "quarantined 5", 40), RR_FEED_FAILED,
		    "", 0, false);
	feed_assert_events(scene, "not-granted 5 ");
	feed_advance(scene, 5000 * MS);
	assert_null(feed_find_call(scene, RR_FEED_REPORT));
	feed_drop_fixture(scene);
}

static void test_what_ran_to_its_end_is_removed(void **state)
{
	struct feed_fixture *scene = new_scene();

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, "quarantined/5@21", 21);
	feed_assert_events(scene, "quarantined 5 ");
	feed_release(scene, 5);
	expect(scene, "released 5", 21);
	feed_answer_ok(scene, RR_FEED_REPORT, "", 22);
	feed_advance(scene, 1000 * MS);
	feed_answer_ok(scene, RR_FEED_WATCH, "-quarantined/5@22", 22);
	feed_assert_events(scene, "released 5 ");
	feed_drop_fixture(scene);
}

/* Guards against a flood: few calls a second, the latest news of each. */
static void test_a_flood_is_bounded(void **state)
{
	struct feed_fixture *scene = new_scene();
	guint before = feed_count_calls(scene, RR_FEED_REPORT);
	guint calls;

	(void)state;
	for (uint64_t i = 1; i <= 500; i++)
		feed_report(scene, i, true);
	for (int i = 0; i < 1000; i++) {
		if (feed_find_call(scene, RR_FEED_REPORT))
			feed_answer_ok(scene, RR_FEED_REPORT, "", 30);
		feed_advance(scene, MS);
	}
	calls = feed_count_calls(scene, RR_FEED_REPORT) - before;
	assert_in_range(calls, 2, 100);
	feed_drop_fixture(scene);
}

/* Guards against instances that ask this one, and are not told. */
static void test_it_is_passed_on(void **state)
{
	struct feed_fixture *scene = new_scene();
	uint64_t revision;
	GArray *changes;

	(void)state;
	feed_answer_ok(scene, RR_FEED_WATCH, "quarantined/5@21", 21);
	changes = rr_feed_changes(scene->feed, 20, &revision);
	assert_int_equal(changes->len, 1);
	g_array_unref(changes);
	feed_drop_fixture(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quarantine_is_written_at_once),
		cmocka_unit_test(test_suspicion_has_a_lease),
		cmocka_unit_test(test_what_others_wrote_first_is_learnt),
		cmocka_unit_test(test_an_entry_that_is_gone_is_written_anew),
		cmocka_unit_test(test_it_is_told_when_the_store_is_back),
		cmocka_unit_test(test_a_claim_is_decided_once),
		cmocka_unit_test(test_what_ran_to_its_end_is_removed),
		cmocka_unit_test(test_a_flood_is_bounded),
		cmocka_unit_test(test_it_is_passed_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
