/*
 * test-feed-report.c - publishing queries of death through a store that is
 * shared, slow or unreachable.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/feed-fixture.h"

/* Return the report in flight, after checking its content. */
static struct recorded_call *expect_report(struct feed_fixture *fixture,
					   const char *report,
					   uint64_t revision)
{
	struct recorded_call *call = feed_find_call(fixture, RR_FEED_REPORT);

	assert_non_null(call);
	assert_null(call->peer);
	assert_string_equal(call->report, report);
	assert_int_equal(call->expected_revision, revision);
	return call;
}

static struct feed_fixture *new_fixture(void)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	g_string_truncate(fixture->events, 0);
	return fixture;
}

/*
 * A quarantine in force is written without a lease, since it must outlive the
 * instance that wrote it.
 */
static void test_quarantine_is_written_at_once(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_report(fixture, 5, true);
	assert_int_equal(expect_report(fixture, "quarantined 5", 0)->lease, 0);
	feed_answer_ok(fixture, RR_FEED_REPORT, "", 30);
	feed_advance(fixture, 1000 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_REPORT));
	feed_drop_fixture(fixture);
}

/* Suspicions expire with their lease; one lease serves many. */
static void test_suspicion_has_a_lease(void **state)
{
	struct feed_fixture *fixture = new_fixture();
	guint grants = feed_count_calls(fixture, RR_FEED_LEASE_GRANT);

	(void)state;
	feed_report(fixture, 5, false);
	feed_answer_ok(fixture, RR_FEED_LEASE_GRANT, "", 30);
	assert_true(expect_report(fixture, "suspected 5", 0)->lease != 0);
	feed_answer_ok(fixture, RR_FEED_REPORT, "", 31);
	feed_advance(fixture, 1000 * MS);
	feed_report(fixture, 6, false);
	expect_report(fixture, "suspected 6", 0);
	feed_answer_ok(fixture, RR_FEED_REPORT, "", 32);
	assert_int_equal(feed_count_calls(fixture, RR_FEED_LEASE_GRANT),
			 grants + 1);
	feed_drop_fixture(fixture);
}

/* Guards against evidence that is overwritten by another instance's. */
static void test_conflicting_entry_is_applied(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_report(fixture, 5, true);
	feed_answer(fixture, expect_report(fixture, "quarantined 5", 0),
		    RR_FEED_CONFLICT, "suspected/5@40", 0, false);
	feed_assert_events(fixture, "suspected 5 ");
	feed_advance(fixture, 1000 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_REPORT));
	/* An instance with more evidence reports again, at the new revision. */
	feed_report(fixture, 5, true);
	expect_report(fixture, "quarantined 5", 40);
	feed_drop_fixture(fixture);
}

/*
 * Guards against an entry whose lease has expired without a watch having
 * reported it.
 */
static void test_expired_entry_is_written_again(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_report(fixture, 5, true);
	feed_answer_ok(fixture, RR_FEED_REPORT, "", 30);
	feed_advance(fixture, 1000 * MS);
	feed_report(fixture, 5, true);
	feed_answer(fixture, expect_report(fixture, "quarantined 5", 30),
		    RR_FEED_CONFLICT, "", 0, false);
	feed_advance(fixture, 1000 * MS);
	expect_report(fixture, "quarantined 5", 0);
	feed_drop_fixture(fixture);
}

/* Guards against the loss of reports made during a store outage. */
static void test_report_is_retried_after_outage(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_report(fixture, 5, true);
	for (int i = 0; i < 4; i++) {
		feed_answer(fixture, expect_report(fixture, "quarantined 5", 0),
			    RR_FEED_FAILED, "", 0, false);
		feed_advance(fixture, 1500 * MS);
	}
	feed_answer_ok(fixture, RR_FEED_REPORT, "", 30);
	feed_advance(fixture, 2000 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_REPORT));
	feed_drop_fixture(fixture);
}

/*
 * Guards against a trial by two instances, and by one that does not know the
 * outcome of its claim.
 */
static void test_claim_is_decided_once(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_claim(fixture, 5);
	feed_answer_ok(fixture, RR_FEED_REPORT, "", 30);
	feed_assert_events(fixture, "granted 5 ");
	feed_advance(fixture, 1000 * MS);
	feed_claim(fixture, 5);
	feed_answer(fixture, expect_report(fixture, "quarantined 5", 30),
		    RR_FEED_CONFLICT, "quarantined/5@40", 0, false);
	feed_assert_events(fixture, "not-granted 5 quarantined 5 ");
	feed_advance(fixture, 1000 * MS);
	feed_claim(fixture, 5);
	feed_answer(fixture, expect_report(fixture, "quarantined 5", 40),
		    RR_FEED_FAILED, "", 0, false);
	feed_assert_events(fixture, "not-granted 5 ");
	feed_advance(fixture, 5000 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_REPORT));
	feed_drop_fixture(fixture);
}

static void test_completed_request_is_removed(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "quarantined/5@21", 21);
	feed_assert_events(fixture, "quarantined 5 ");
	feed_release(fixture, 5);
	expect_report(fixture, "released 5", 21);
	feed_answer_ok(fixture, RR_FEED_REPORT, "", 22);
	feed_advance(fixture, 1000 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-quarantined/5@22", 22);
	feed_assert_events(fixture, "released 5 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a flood of reports: few calls a second, with the latest report
 * of each request.
 */
static void test_report_rate_is_bounded(void **state)
{
	struct feed_fixture *fixture = new_fixture();
	guint before = feed_count_calls(fixture, RR_FEED_REPORT);
	guint calls;

	(void)state;
	for (uint64_t i = 1; i <= 500; i++)
		feed_report(fixture, i, true);
	for (int i = 0; i < 1000; i++) {
		if (feed_find_call(fixture, RR_FEED_REPORT))
			feed_answer_ok(fixture, RR_FEED_REPORT, "", 30);
		feed_advance(fixture, MS);
	}
	calls = feed_count_calls(fixture, RR_FEED_REPORT) - before;
	assert_in_range(calls, 2, 100);
	feed_drop_fixture(fixture);
}

/*
 * Guards against peers that read from this instance and do not receive the
 * entry.
 */
static void test_entry_is_served_to_peers(void **state)
{
	struct feed_fixture *fixture = new_fixture();
	struct rr_store_cursor upto;
	GArray *changes;

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "quarantined/5@21", 21);
	changes = rr_feed_changes(fixture->feed,
				  (struct rr_store_cursor){ .revision = 20 },
				  &upto);
	assert_int_equal(changes->len, 1);
	g_array_unref(changes);
	feed_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quarantine_is_written_at_once),
		cmocka_unit_test(test_suspicion_has_a_lease),
		cmocka_unit_test(test_conflicting_entry_is_applied),
		cmocka_unit_test(test_expired_entry_is_written_again),
		cmocka_unit_test(test_report_is_retried_after_outage),
		cmocka_unit_test(test_claim_is_decided_once),
		cmocka_unit_test(test_completed_request_is_removed),
		cmocka_unit_test(test_report_rate_is_bounded),
		cmocka_unit_test(test_entry_is_served_to_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
