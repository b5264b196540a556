/*
 * test-feed.c - following the store in virtual time: outages, lost replies,
 * compacted history, dead connections.
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

/* Answer one page; a range of a stale copy is followed by another range. */
static void answer_range(struct feed_fixture *fixture, const char *items,
			 uint64_t revision, bool more)
{
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    items, revision, more);
}

static void test_first_range(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();

	assert_false(rr_feed_has_synced(fixture->feed));
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "routes3@10 inst1@9 r1@11", 20, true);
	assert_false(rr_feed_has_synced(fixture->feed));
	assert_string_equal(feed_find_call(fixture, RR_FEED_RANGE)->after_key,
			    "r1");
	assert_true(feed_find_call(fixture, RR_FEED_RANGE)->allow_stale);
	/*
	 * The second page is read later, but changes are read from the revision
	 * of the first.
	 */
	answer_range(fixture, "r2@25", 26, false);
	answer_range(fixture, "routes3@10 inst1@9 r1@11", 20, true);
	answer_range(fixture, "r2@25", 26, false);
	assert_true(rr_feed_has_synced(fixture->feed));
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 20);
	feed_assert_events(fixture, "routes 3 +r1 +r2 ");
	feed_drop_fixture(fixture);
}

/*
 * The pages come from stale copies, the second from an older one.  The first
 * watch reports what the second page misses, if it starts from the older
 * revision.
 */
static void test_pages_of_different_age(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();

	(void)state;
	for (int i = 0; i < 2; i++) {
		answer_range(fixture, "inst1@9 r1@11", 20, true);
		answer_range(fixture, "r2@12", 15, false);
	}
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 15);
	feed_drop_fixture(fixture);
}

/*
 * Guards against a simultaneous first start, when the store has no entries yet
 * and each of hundreds of instances would watch and register itself by three
 * calls.  Each reads again a little later, the strong ones first, and the
 * others then find peers.  It serves meanwhile.
 */
static void test_peer_recheck_finds_peers(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture_with_strength(0.25);
	guint calls;

	(void)state;
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	assert_true(rr_feed_has_synced(fixture->feed));
	feed_advance(fixture, 1200 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_RANGE));
	feed_advance(fixture, 1100 * MS);
	assert_true(feed_find_call(fixture, RR_FEED_RANGE)->allow_stale);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 r1@11 inst1/z/4@21 inst2/z/4@21", 22);
	calls = feed_count_store_calls(fixture);
	assert_int_equal(calls, 2);
	assert_non_null(feed_find_call(fixture, RR_FEED_WATCH)->peer);
	assert_non_null(feed_find_call(fixture, RR_FEED_WRITE_ENTRIES)->peer);
	feed_drop_fixture(fixture);
}

/*
 * The first instance finds no peers the second time either, and continues
 * alone.
 */
static void test_peer_recheck_finds_none(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture_with_strength(0.5);

	(void)state;
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	feed_advance(fixture, 1500 * MS);
	/* An older copy does not revert known items. */
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10", 15);
	feed_advance(fixture, 200 * MS);
	answer_range(fixture, "routes3@10 r1@11", 20, false);
	feed_advance(fixture, 400 * MS);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 20);
	assert_non_null(feed_find_call(fixture, RR_FEED_LEASE_GRANT));
	/*
	 * The others have not registered yet: counted as the only one, this
	 * instance would use the budgets of all.
	 */
	feed_assert_events(fixture, "routes 3 +r1 ");
	feed_advance(fixture, 1500 * MS);
	feed_assert_events(fixture, "instances 1 ");
	feed_drop_fixture(fixture);
}

static void test_changes(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	feed_answer_ok(fixture, RR_FEED_WATCH, "r3@21 -r1@22 routes4@23", 23);
	feed_assert_events(fixture, "+r3 -r1 routes 4 ");
	feed_advance(fixture, 1000 * MS);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 23);
	feed_drop_fixture(fixture);
}

/*
 * Invalid values are written under the keys of a replica, of an instance and of
 * the routes.  The replica counts as removed and gets no requests, the instance
 * is not counted, and the routes stay in force, since no query can be served
 * without routes.  Values written later are applied.
 */
static void test_invalid_values(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	feed_advance(fixture, 2500 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH,
		       "?r1@21 ?routes4@22 ?inst3@23 r2@24", 24);
	feed_assert_events(fixture, "-r1 +r2 ");
	assert_non_null(strstr(fixture->instance_events->str, "-inst3 "));
	feed_advance(fixture, 21000 * MS);
	feed_assert_events(fixture, "instances 2 ");
	feed_answer_ok(fixture, RR_FEED_WATCH, "r1@25 routes4@26 inst3@27", 27);
	feed_assert_events(fixture, "+r1 routes 4 instances 3 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a watch that receives nothing.  The store compacts its history
 * and cuts all watches, just after a new configuration was written.  A watch
 * opened at that moment receives nothing until its end, 25 s later, and the old
 * routes stay in force, while each renewal is answered.  So the first watch
 * after a failure is short; its reply reports the compaction, and all items are
 * read again.
 */
static void test_watch_after_failure_is_short(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	(void)state;
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 20);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms,
			 25000);
	while (feed_find_call(fixture, RR_FEED_WATCH))
		feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
			    RR_FEED_FAILED, NULL, 0, false);
	feed_advance(fixture, 200 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH)->peer);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	feed_advance(fixture, 1000 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	assert_false(feed_find_call(fixture, RR_FEED_RANGE)->allow_stale);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes4@23 r1@11 inst1@13", 23);
	feed_assert_events(fixture, "routes 4 -r2 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 23);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms,
			 25000);
	feed_drop_fixture(fixture);
}

/* A watch repeats what the second page of the range contained. */
static void test_older_changes_are_ignored(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();

	for (int i = 0; i < 2; i++) {
		answer_range(fixture, "inst1@9 r1@11", 20, true);
		answer_range(fixture, "r2@25", 26, false);
	}
	feed_assert_events(fixture, "+r1 +r2 ");
	feed_answer_ok(fixture, RR_FEED_WATCH, "r2@21 -r2@23 r2@25", 26);
	feed_assert_events(fixture, "");
	feed_drop_fixture(fixture);
}

/* A burst of changes costs one watch, not one for each change. */
static void test_bursts_are_merged(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	guint before = feed_count_calls(fixture, RR_FEED_WATCH);

	feed_answer_ok(fixture, RR_FEED_WATCH, "r3@21", 21);
	feed_advance(fixture, 300 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH));
	feed_advance(fixture, 200 * MS);
	assert_non_null(feed_find_call(fixture, RR_FEED_WATCH));
	assert_int_equal(feed_count_calls(fixture, RR_FEED_WATCH), before + 1);
	feed_drop_fixture(fixture);
}

/*
 * Each change wakes all watches: the more there are, the longer the delay, but
 * never more than a third of the bound.
 */
static void test_many_instances_merge_more(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();
	GString *items = g_string_new(NULL);

	for (int i = 0; i < 100; i++)
		g_string_append_printf(items, "inst%d@%d ", i, i + 1);
	feed_answer_ok(fixture, RR_FEED_RANGE, items->str, 200);
	feed_answer_ok(fixture, RR_FEED_WATCH, "r3@201", 201);
	feed_advance(fixture, 990 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH));
	feed_advance(fixture, 20 * MS);
	assert_non_null(feed_find_call(fixture, RR_FEED_WATCH));
	g_string_free(items, TRUE);
	feed_drop_fixture(fixture);
}

/*
 * The store rejects an instance for nine seconds during a reshard.  The missed
 * changes come in replies of some hundred, the routes in the last of them; with
 * a delay after each reply they would be in force too late.
 */
static void test_backlog_is_read_without_pauses(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	GString *items = g_string_new(NULL);

	for (int i = 0; i < 100; i++)
		g_string_append_printf(items, "x%d@%d ", i, 30 + i);
	feed_answer_ok(fixture, RR_FEED_WATCH, items->str, 129);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 129);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes9@130", 130);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH));
	g_string_free(items, TRUE);
	feed_drop_fixture(fixture);
}

/*
 * Guards against an evacuation that is lost during a store outage or reported
 * twice.
 */
static void test_evacuations(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	GArray *changes;
	struct rr_store_cursor upto;

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "evacuate/z1@21", 21);
	feed_assert_events(fixture, "evacuate z1 21 ");
	/* Served to peers. */
	changes = rr_feed_changes(fixture->feed,
				  (struct rr_store_cursor){ .revision = 20 },
				  &upto);
	assert_int_equal(changes->len, 1);
	g_array_unref(changes);
	feed_advance(fixture, 2000 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_FAILED, NULL, 0, false);
	feed_advance(fixture, 5000 * MS);
	feed_assert_events(fixture, "");
	feed_answer_ok(fixture, RR_FEED_WATCH, "-evacuate/z1@30", 30);
	feed_assert_events(fixture, "take-back z1 30 ");
	feed_drop_fixture(fixture);
}

/* Guards against an evacuation that is ignored because of its value. */
static void test_evacuation_with_invalid_value(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "?evacuate/z1@21", 21);
	feed_assert_events(fixture, "evacuate z1 21 ");
	assert_int_equal(
		rr_counter_value(fixture->ctx, RR_N_STORE_VALUES_INVALID), 1);
	feed_drop_fixture(fixture);
}

/* Guards against an evacuation that ended without a change being reported. */
static void test_evacuation_absent_from_range(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "evacuate/z1@21", 21);
	feed_advance(fixture, 2000 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 r1@11 r2@12 inst1@13", 40);
	assert_non_null(strstr(fixture->events->str, "take-back z1 40 "));
	feed_drop_fixture(fixture);
}

/* Answer the open comparison, if any: another zone knows of no change. */
static void answer_check(struct feed_fixture *fixture)
{
	struct recorded_call *check = feed_find_call(fixture, RR_FEED_CHECK);

	if (check)
		feed_answer(fixture, check, RR_FEED_OK, NULL, 20, false);
}

/* Minutes without changes cost only long watches and renewals. */
static void test_minutes_without_changes(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	guint n_ranges = feed_count_calls(fixture, RR_FEED_RANGE);

	assert_int_equal(n_ranges, 2);
	for (int i = 0; i < 240; i++) {
		struct recorded_call *renewal;

		/* A reply that takes longer than 375 ms would be dropped. */
		for (int j = 0; j < 4; j++) {
			feed_advance(fixture, 250 * MS);
			answer_check(fixture);
		}
		renewal = feed_find_call(fixture, RR_FEED_LEASE_RENEW);
		if (renewal)
			feed_answer(fixture, renewal, RR_FEED_OK, NULL, 0,
				    false);
		if (i % 25 == 24)
			feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 30);
	}
	assert_true(feed_count_calls(fixture, RR_FEED_WATCH) <= 11);
	assert_int_equal(feed_count_calls(fixture, RR_FEED_RANGE), n_ranges);
	assert_in_range(feed_count_calls(fixture, RR_FEED_LEASE_RENEW), 100,
			170);
	feed_drop_fixture(fixture);
}

/*
 * The store compacts its history while a watch is cut.  The changes in between
 * are found by reading all items again: a removed replica is gone.
 */
static void test_compacted_history(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	struct recorded_call *watch = feed_find_call(fixture, RR_FEED_WATCH);

	feed_answer(fixture, watch, RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes5@40 r2@12 r4@41 inst1@13", 50);
	feed_assert_events(fixture, "routes 5 +r4 -r1 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 50);
	feed_drop_fixture(fixture);
}

/* A range that fails between its pages restarts, and removes no items. */
static void test_range_failure(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE), RR_FEED_OK,
		    "r1@11", 50, true);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE),
		    RR_FEED_FAILED, NULL, 0, false);
	feed_assert_events(fixture, "");
	feed_advance(fixture, 3000 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_RANGE)->after_key);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10 r1@11 r2@12", 60);
	feed_assert_events(fixture, "");
	feed_drop_fixture(fixture);
}

/*
 * The store drops this instance's connections for some seconds without a reply.
 * The watch sent meanwhile is never answered, although the store is back.  The
 * renewal shows both the loss and the recovery; a change is in force within
 * three seconds of the recovery.
 */
static void test_watch_without_reply(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	struct recorded_call *watch = feed_find_call(fixture, RR_FEED_WATCH);

	feed_advance(fixture, 1600 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_LEASE_RENEW),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(rr_feed_is_store_reachable(fixture->feed));
	assert_false(watch->done);
	/* Another zone knows of no change, so nothing else ends the watch. */
	for (int i = 0; i < 20; i++) {
		answer_check(fixture);
		feed_advance(fixture, 100 * MS);
	}
	assert_false(watch->done);
	feed_answer_ok(fixture, RR_FEED_LEASE_RENEW, NULL, 0);
	assert_true(rr_feed_is_store_reachable(fixture->feed));
	assert_true(watch->done);
	/*
	 * The store may compact its history as it recovers: the first watch is
	 * short.
	 */
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	feed_answer_ok(fixture, RR_FEED_WATCH, "routes9@70", 70);
	feed_assert_events(fixture, "routes 9 ");
	feed_drop_fixture(fixture);
}

/* While the store is unreachable, calls are few and randomised. */
static void test_backoff(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	guint before;

	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_FAILED, NULL, 0, false);
	before = fixture->calls->len;
	for (int i = 0; i < 600; i++) {
		feed_advance(fixture, 100 * MS);
		for (guint j = 0; j < fixture->calls->len; j++) {
			struct recorded_call *call =
				g_ptr_array_index(fixture->calls, j);

			if (!call->done)
				feed_answer(fixture, call, RR_FEED_FAILED, NULL,
					    0, false);
		}
	}
	assert_in_range(fixture->calls->len - before, 60, 140);
	assert_true(rr_feed_has_synced(fixture->feed));
	feed_assert_events(fixture, "");
	feed_drop_fixture(fixture);
}

/* Leases may expire during an outage: the entry is written again. */
static void test_lapsed_entry_is_rewritten(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	feed_advance(fixture, 1600 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_LEASE_RENEW),
		    RR_FEED_NO_LEASE, NULL, 0, false);
	feed_advance(fixture, 1600 * MS);
	feed_answer_ok(fixture, RR_FEED_LEASE_GRANT, NULL, 0);
	feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 0);
	feed_advance(fixture, 1600 * MS);
	assert_int_equal(feed_find_call(fixture, RR_FEED_LEASE_RENEW)->lease,
			 77);
	feed_drop_fixture(fixture);
}

/*
 * Budgets and connections are divided by the instance count.  It grows at once
 * and shrinks only after a budget window: during a restart of many the others
 * would otherwise use what these have used already.
 */
static void test_count_of_instances(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();

	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "inst1@1 inst2@2 inst3@3 inst4@4", 9);
	feed_assert_events(fixture, "instances 4 ");
	feed_answer_ok(fixture, RR_FEED_WATCH, "inst5@10", 10);
	feed_assert_events(fixture, "instances 5 ");
	feed_advance(fixture, 1000 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, "-inst1@11 -inst2@12", 12);
	feed_advance(fixture, 18000 * MS);
	feed_assert_events(fixture, "");
	feed_answer_ok(fixture, RR_FEED_WATCH, "inst1@13", 13);
	feed_advance(fixture, 21000 * MS);
	feed_assert_events(fixture, "instances 4 ");
	assert_string_equal(fixture->instance_events->str,
			    "+inst1 +inst2 +inst3 +inst4 +inst5 -inst1 "
			    "-inst2 +inst1 ");
	feed_drop_fixture(fixture);
}

static void test_first_instance_waits_for_others(void **state)
{
	struct feed_fixture *fixture = feed_new_fixture();

	feed_answer_ok(fixture, RR_FEED_RANGE, "inst1@1", 9);
	feed_assert_events(fixture, "");
	feed_answer_ok(fixture, RR_FEED_WATCH, "inst2@10", 10);
	feed_assert_events(fixture, "");
	feed_advance(fixture, 2100 * MS);
	feed_assert_events(fixture, "instances 2 ");
	feed_drop_fixture(fixture);
}

static void test_leaving(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	rr_feed_leave(fixture->ctx, fixture->feed, fixture->now_us);
	assert_int_equal(feed_find_call(fixture, RR_FEED_LEASE_REVOKE)->lease,
			 77);
	feed_advance(fixture, 5000 * MS);
	assert_int_equal(feed_count_calls(fixture, RR_FEED_LEASE_RENEW), 0);
	/* Changes are still applied while the last requests are served. */
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@30", 30);
	feed_assert_events(fixture, "-r1 ");
	feed_drop_fixture(fixture);
}

static void test_undecodable_items_change_nothing(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	struct recorded_call *watch = feed_find_call(fixture, RR_FEED_WATCH);
	struct rr_feed_item *item = feed_make_item("-r9", 31);
	struct rr_feed_reply reply = {
		.call_id = watch->id,
		.items = g_ptr_array_new_with_free_func(rr_free_feed_item),
		.revision = 31,
	};

	item->removed = false;
	item->decode_error = "no JSON";
	g_ptr_array_add(reply.items, item);
	rr_feed_reply(fixture->ctx, fixture->feed, fixture->now_us, &reply);
	feed_assert_events(fixture, "");
	g_ptr_array_unref(reply.items);
	feed_drop_fixture(fixture);
}

/*
 * Guards against a long watch that receives nothing, since the store compacted
 * its history while no watch was open: only its idle connections show that.
 */
static void test_watch_after_disconnect_is_short(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "r3@21", 21);
	rr_feed_handle_disconnect(fixture->feed, fixture->now_us);
	feed_advance(fixture, 400 * MS);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 21);
	assert_true(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms > 20000);
	/* A watch that may have been opened just before is opened again. */
	rr_feed_handle_disconnect(fixture->feed, fixture->now_us);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH));
	rr_feed_tick(fixture->ctx, fixture->feed, fixture->now_us);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 1000);
	feed_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_range),
		cmocka_unit_test(test_pages_of_different_age),
		cmocka_unit_test(test_peer_recheck_finds_peers),
		cmocka_unit_test(test_peer_recheck_finds_none),
		cmocka_unit_test(test_changes),
		cmocka_unit_test(test_invalid_values),
		cmocka_unit_test(test_watch_after_failure_is_short),
		cmocka_unit_test(test_older_changes_are_ignored),
		cmocka_unit_test(test_bursts_are_merged),
		cmocka_unit_test(test_watch_after_disconnect_is_short),
		cmocka_unit_test(test_many_instances_merge_more),
		cmocka_unit_test(test_backlog_is_read_without_pauses),
		cmocka_unit_test(test_evacuations),
		cmocka_unit_test(test_evacuation_with_invalid_value),
		cmocka_unit_test(test_evacuation_absent_from_range),
		cmocka_unit_test(test_minutes_without_changes),
		cmocka_unit_test(test_compacted_history),
		cmocka_unit_test(test_range_failure),
		cmocka_unit_test(test_watch_without_reply),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_lapsed_entry_is_rewritten),
		cmocka_unit_test(test_count_of_instances),
		cmocka_unit_test(test_first_instance_waits_for_others),
		cmocka_unit_test(test_leaving),
		cmocka_unit_test(test_undecodable_items_change_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
