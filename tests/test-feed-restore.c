/*
 * test-feed-restore.c - following a store that is restored from a copy: its
 * revisions are given out again, and what was written since the copy is lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/feed-fixture.h"
#include "support/feed-fleet.h"

/* Time after which a replica that is missing from the copy has left. */
#define REPLICAS_SETTLED_MS 4000

/* A fixture that follows the store at revision 20 of its first era. */
static struct feed_fixture *new_fixture(void)
{
	struct feed_fixture *fixture = feed_new_fixture();

	fixture->era = 1;
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 r1@11 r2@12 inst1@13 inst2@14 inst3@15", 20);
	feed_answer_ok(fixture, RR_FEED_LEASE_GRANT, NULL, 0);
	feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 0);
	feed_assert_events(fixture, "routes 3 +r1 +r2 instances 3 ");
	return fixture;
}

/* Restore the store; the open watch learns of it. */
static void restore_store(struct feed_fixture *fixture)
{
	fixture->era++;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
}

/*
 * Guards against a configuration that is left out since its revision is lower
 * than one of the era before.
 */
static void test_configuration_at_lower_revision_is_applied(void **state)
{
	struct feed_fixture *fixture = new_fixture();
	struct recorded_call *range;

	(void)state;
	restore_store(fixture);
	range = feed_find_call(fixture, RR_FEED_RANGE);
	assert_non_null(range);
	assert_null(range->peer);
	assert_false(range->allow_stale);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes4@9 r1@5 r2@6 inst1@7 inst2@8 inst3@4", 15);
	feed_assert_events(fixture, "routes 4 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 15);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes5@16", 16);
	feed_assert_events(fixture, "routes 5 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a watch that continues from a revision of the era before,
 * which the store has reached again with other changes.
 */
static void test_era_is_learnt_from_any_reply(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_advance(fixture, 1600 * MS);
	assert_non_null(feed_find_call(fixture, RR_FEED_WATCH));
	fixture->era++;
	feed_answer_ok(fixture, RR_FEED_LEASE_RENEW, NULL, 0);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH));
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes5@10 r1@11 r2@12 inst1@13 inst2@14 inst3@15", 20);
	feed_assert_events(fixture, "routes 5 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 20);
	feed_drop_fixture(fixture);
}

/*
 * Guards against replicas that are dropped because the copy is older than
 * their entries, which are written again a moment later.
 */
static void test_replica_missing_from_copy_is_kept_for_a_while(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 inst1@7 inst2@8 inst3@9", 15);
	feed_assert_events(fixture, "");
	feed_advance(fixture, 2000 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "r1@16", 16);
	feed_assert_events(fixture, "+r1 ");
	feed_advance(fixture, (REPLICAS_SETTLED_MS - 2000 - 100) * MS);
	feed_assert_events(fixture, "");
	feed_advance(fixture, 200 * MS);
	feed_assert_events(fixture, "-r2 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against budgets and connections that are shared among too few
 * instances while their entries are missing from the copy.
 */
static void test_instances_missing_from_copy_are_counted(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	g_string_truncate(fixture->instance_events, 0);
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@5 r1@6 r2@7", 15);
	feed_advance(fixture, 11 * 1000 * MS);
	feed_assert_events(fixture, "");
	assert_string_equal(fixture->instance_events->str, "");
	feed_advance(fixture, 2 * 1000 * MS);
	assert_string_equal(fixture->instance_events->str,
			    "-inst1 -inst2 -inst3 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a replica that left after the copy was made and is used again
 * because its entry is back.
 */
static void test_removed_replica_in_copy_is_not_used(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@21 -r2@22", 22);
	feed_assert_events(fixture, "-r1 -r2 ");
	feed_advance(fixture, 400 * MS);
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r1@11 r2@12 inst1@7 inst2@8 inst3@9", 20);
	/* Once more, by a watch that overlaps the read. */
	feed_answer_ok(fixture, RR_FEED_WATCH, "r1@11", 20);
	feed_assert_events(fixture, "");
	feed_advance(fixture, 400 * MS);
	/* It is removed again, or it runs and writes its entry. */
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@21 r2@22", 22);
	feed_assert_events(fixture, "+r2 ");
	feed_advance(fixture, REPLICAS_SETTLED_MS * MS);
	feed_assert_events(fixture, "");
	feed_drop_fixture(fixture);
}

/* Guards against a replica that is never used again, as it does not write. */
static void test_removed_replica_that_stays_in_copy_is_used(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@21", 21);
	feed_assert_events(fixture, "-r1 ");
	feed_advance(fixture, 400 * MS);
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r1@11 r2@12 inst1@7 inst2@8 inst3@9", 20);
	feed_advance(fixture, REPLICAS_SETTLED_MS * MS);
	feed_assert_events(fixture, "+r1 ");
	feed_drop_fixture(fixture);
}

/* Fail the open watch, and those of peers that are asked instead. */
static void fail_watches(struct feed_fixture *fixture)
{
	struct recorded_call *call;

	while ((call = feed_find_call(fixture, RR_FEED_WATCH)))
		feed_answer(fixture, call, RR_FEED_FAILED, NULL, 0, false);
}

/*
 * Guards against replicas that are dropped while the store cannot be followed,
 * since what they have written again is not known.
 */
static void test_missing_replica_is_kept_without_store(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r1@6 inst1@7 inst2@8 inst3@9", 15);
	for (int i = 0; i < 20; i++) {
		fail_watches(fixture);
		feed_advance(fixture, 1000 * MS);
		feed_assert_events(fixture, "");
	}
	while (!feed_find_call(fixture, RR_FEED_WATCH))
		feed_advance(fixture, 100 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "r2@16", 16);
	feed_assert_events(fixture, "+r2 ");
	feed_advance(fixture, 2000 * MS);
	feed_assert_events(fixture, "");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a replica that left, was back in the copy, and is used although
 * a later read of all items no longer has it.
 */
static void test_removed_replica_gone_from_later_range_is_not_used(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@21", 21);
	feed_assert_events(fixture, "-r1 ");
	feed_advance(fixture, 400 * MS);
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r1@11 r2@12 inst1@7 inst2@8 inst3@9", 20);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r2@12 inst1@7 inst2@8 inst3@9", 22);
	feed_advance(fixture, (REPLICAS_SETTLED_MS + 1000) * MS);
	feed_assert_events(fixture, "");
	feed_drop_fixture(fixture);
}

/*
 * Guards against renewals of a lease that the restored store has given to
 * another instance.
 */
static void test_lease_of_earlier_era_is_not_renewed(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r1@6 r2@7 inst1@7 inst2@8 inst3@9", 15);
	feed_advance(fixture, 1600 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_LEASE_RENEW));
	assert_non_null(feed_find_call(fixture, RR_FEED_LEASE_GRANT));
	/* A grant that the store made before it was restored. */
	fixture->era = 1;
	feed_answer_ok(fixture, RR_FEED_LEASE_GRANT, NULL, 0);
	assert_null(feed_find_call(fixture, RR_FEED_WRITE_ENTRIES));
	fixture->era = 2;
	feed_advance(fixture, 300 * MS);
	feed_answer_ok(fixture, RR_FEED_LEASE_GRANT, NULL, 0);
	assert_non_null(feed_find_call(fixture, RR_FEED_WRITE_ENTRIES));
	feed_drop_fixture(fixture);
}

/*
 * Guards against an instance that reads from peers and learns of the restore
 * only from them, and against a read of the store by each of these.
 */
static void test_reader_of_peers_reads_from_the_same_peer(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();
	struct recorded_call *call;
	char *peer;

	(void)state;
	fixture->era = 1;
	feed_answer_ok(
		fixture, RR_FEED_RANGE,
		"routes3@10 r1@11 inst1/z/9@13 inst2/z/8@14 inst3/z/7@14", 20);
	call = feed_find_call(fixture, RR_FEED_WATCH);
	assert_non_null(call->peer);
	peer = g_strdup(call->peer);
	fixture->era = 2;
	feed_answer(fixture, call, RR_FEED_COMPACTED, NULL, 0, false);
	call = feed_find_call(fixture, RR_FEED_RANGE);
	assert_string_equal(call->peer, peer);
	feed_answer(fixture, call, RR_FEED_OK,
		    "routes4@10 r1@11 inst1/z/9@13 inst2/z/8@14 inst3/z/7@14",
		    15, false);
	feed_assert_events(fixture, "routes 3 +r1 instances 3 routes 4 ");
	/* Another peer that has not learnt of the restore yet. */
	fixture->era = 1;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH), RR_FEED_OK,
		    "routes5@30", 30, false);
	feed_assert_events(fixture, "");
	assert_int_equal(rr_feed_cursor(fixture->feed).revision, 15);
	g_free(peer);
	feed_drop_fixture(fixture);
}

/*
 * Guards against changes after a revision of the era before that are served to
 * a peer, which would miss those at the same revisions.
 */
static void test_peer_of_earlier_era_reads_all_items(void **state)
{
	struct feed_fixture *fixture = new_fixture();
	struct rr_store_cursor upto;
	GArray *changes;

	(void)state;
	restore_store(fixture);
	assert_false(rr_feed_can_serve_items(fixture->feed));
	assert_false(rr_feed_can_serve_changes(fixture->feed));
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r1@6 inst1@7 inst2@8 inst3@9", 15);
	assert_true(rr_feed_can_serve_items(fixture->feed));
	for (uint64_t era = 0; era <= 1; era++) {
		struct rr_store_cursor after = { era, 18 };

		assert_true(rr_feed_has_changes_after(fixture->feed, after));
		assert_null(rr_feed_changes(fixture->feed, after, &upto));
	}
	assert_false(rr_feed_has_changes_after(
		fixture->feed, (struct rr_store_cursor){ 2, 15 }));
	changes = rr_feed_changes(fixture->feed, (struct rr_store_cursor){ 0 },
				  &upto);
	assert_int_equal(changes->len, 5);
	assert_int_equal(upto.era, 2);
	assert_int_equal(upto.revision, 15);
	g_array_unref(changes);
	feed_drop_fixture(fixture);
}

/*
 * Guards against an instance that stays behind a store which goes back without
 * stating an era.
 */
static void test_store_without_eras_goes_back(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes4@9 r1@5 r2@6 inst1@7 inst2@8 inst3@4", 15);
	feed_assert_events(fixture, "routes 4 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 15);
	feed_drop_fixture(fixture);
}

/*
 * Guards against a query of death that is let loose, since the restore has lost
 * its entry, and against a report that relies on a revision from before.
 */
static void test_lost_quarantine_is_published_again(void **state)
{
	struct feed_fixture *fixture = new_fixture();
	struct recorded_call *report;

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "quarantined/5@21", 21);
	feed_advance(fixture, 400 * MS);
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@5 r1@6 r2@7 inst1@7 inst2@8 inst3@9", 20);
	feed_assert_events(fixture, "quarantined 5 lost 5 ");
	feed_report(fixture, 5, true);
	report = feed_find_call(fixture, RR_FEED_REPORT);
	assert_string_equal(report->report, "quarantined 5");
	assert_int_equal(report->expected_revision, 0);
	feed_drop_fixture(fixture);
}

/* Guards against a request that is rejected again, though it was released. */
static void test_released_quarantine_in_copy_is_removed(void **state)
{
	struct feed_fixture *fixture = new_fixture();
	struct recorded_call *report;

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "quarantined/5@21", 21);
	feed_advance(fixture, 400 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-quarantined/5@22", 22);
	feed_assert_events(fixture, "quarantined 5 released 5 ");
	feed_advance(fixture, 400 * MS);
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "quarantined/5@18 routes3@5 r1@6 r2@7 inst1@7 inst2@8 "
		       "inst3@9",
		       20);
	feed_assert_events(fixture, "");
	report = feed_find_call(fixture, RR_FEED_REPORT);
	assert_string_equal(report->report, "released 5");
	assert_int_equal(report->expected_revision, 18);
	feed_drop_fixture(fixture);
}

/* Guards against state of the first restore that hides the second one. */
static void test_second_restore_during_the_first(void **state)
{
	struct feed_fixture *fixture = new_fixture();

	(void)state;
	restore_store(fixture);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "routes4@12", 15, true);
	fixture->era++;
	/* The second page is of another era: the read starts again. */
	feed_answer_ok(fixture, RR_FEED_RANGE, "r1@6", 14);
	assert_null(feed_find_call(fixture, RR_FEED_RANGE)->after_key);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes5@12 r1@6 r9@8 inst1@7 inst2@8 inst3@9", 14);
	feed_assert_events(fixture, "routes 4 routes 5 +r9 ");
	restore_store(fixture);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes5@9 r1@6 r2@5 inst1@7 inst2@8 inst3@9", 10);
	feed_advance(fixture, REPLICAS_SETTLED_MS * MS);
	feed_assert_events(fixture, "-r9 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against changes that are not in force within the staleness bound of a
 * fleet after a restore, and against a read of the store by each instance.
 */
static void test_fleet_follows_restored_store(void **state)
{
	enum { N_INSTANCES = 300, N_ZONES = 5, BOUND_MS = 6000 };
	enum { N_LOST_WRITES = 200 };
	struct fleet *fleet = fleet_new(N_INSTANCES, N_ZONES, 540);
	int64_t written_us;

	(void)state;
	fleet_start_all(fleet, 300 * FLEET_MS);
	fleet_run(fleet, 20 * FLEET_S);
	for (uint64_t version = 4; version <= 6; version++)
		fleet_write_routes(fleet, version);
	for (guint i = 0; i < N_LOST_WRITES; i++)
		fleet_write_replica(fleet, i);
	fleet_run(fleet, 3 * FLEET_S);
	fleet->store_down = true;
	fleet_run(fleet, 2 * FLEET_S);
	fleet->store_down = false;
	fleet_restore_store(fleet, 6 * FLEET_S);
	fleet->billed_calls = 0;
	fleet_run(fleet, 2 * FLEET_S);
	fleet_write_routes(fleet, 6);
	fleet_write_routes(fleet, 7);
	written_us = fleet->now_us;
	fleet_run(fleet, BOUND_MS * FLEET_MS);
	assert_true(fleet_applied_us(fleet, 7) - written_us <
		    BOUND_MS * FLEET_MS);
	print_message("restore: %.0f calls, version 7 after %d ms\n",
		      fleet->billed_calls,
		      (int)((fleet_applied_us(fleet, 7) - written_us) / 1000));
	assert_true(fleet->billed_calls < N_INSTANCES);
	fleet_run(fleet, 15 * FLEET_S);
	assert_int_equal(fleet_count_entries(fleet), N_INSTANCES);
	fleet_drop(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_configuration_at_lower_revision_is_applied),
		cmocka_unit_test(test_era_is_learnt_from_any_reply),
		cmocka_unit_test(
			test_replica_missing_from_copy_is_kept_for_a_while),
		cmocka_unit_test(test_instances_missing_from_copy_are_counted),
		cmocka_unit_test(test_removed_replica_in_copy_is_not_used),
		cmocka_unit_test(
			test_removed_replica_that_stays_in_copy_is_used),
		cmocka_unit_test(test_missing_replica_is_kept_without_store),
		cmocka_unit_test(
			test_removed_replica_gone_from_later_range_is_not_used),
		cmocka_unit_test(test_lease_of_earlier_era_is_not_renewed),
		cmocka_unit_test(test_reader_of_peers_reads_from_the_same_peer),
		cmocka_unit_test(test_peer_of_earlier_era_reads_all_items),
		cmocka_unit_test(test_store_without_eras_goes_back),
		cmocka_unit_test(test_lost_quarantine_is_published_again),
		cmocka_unit_test(test_released_quarantine_in_copy_is_removed),
		cmocka_unit_test(test_second_restore_during_the_first),
		cmocka_unit_test(test_fleet_follows_restored_store),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
