/*
 * test-feed-peers.c - reading the store's changes from peers, and serving them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/feed-fixture.h"

/*
 * A feed that has read all items, in a zone with two stronger instances, and
 * reads from the first of them.
 */
static struct feed_fixture *new_following_fixture(void)
{
	struct feed_fixture *fixture = feed_new_fixture();

	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 r1@11 inst1/z/4@12 inst2/z/3@13 "
		       "inst3/z/1@14 inst9/y/9@15",
		       20);
	feed_assert_events(fixture, "routes 3 +r1 instances 4 ");
	return fixture;
}

static bool reads_from_peer(struct feed_fixture *fixture)
{
	struct recorded_call *watch = feed_find_call(fixture, RR_FEED_WATCH);

	return watch && watch->peer;
}

/*
 * Guards against hundreds of instances that each pay for a lease, an entry and
 * a watch that every replica change wakes.  One instance of a zone watches and
 * two register the others; an instance reads from these, and calls the store
 * only once, at its start.
 */
static void test_reads_from_peers(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();

	(void)state;
	assert_true(reads_from_peer(fixture));
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 20);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 750);
	feed_answer_ok(fixture, RR_FEED_WATCH, "r2@21", 21);
	feed_assert_events(fixture, "+r2 ");
	assert_true(reads_from_peer(fixture));
	for (int i = 0; i < 16; i++) {
		struct recorded_call *entry_call =
			feed_find_call(fixture, RR_FEED_WRITE_ENTRIES);

		if (entry_call) {
			assert_string_equal(entry_call->entries->str,
					    "+inst0 ");
			assert_non_null(entry_call->peer);
			feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 0);
		}
		feed_advance(fixture, 750 * MS);
		feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 21);
		assert_true(reads_from_peer(fixture));
	}
	assert_in_range(feed_count_calls(fixture, RR_FEED_WRITE_ENTRIES), 3, 4);
	assert_int_equal(feed_count_store_calls(fixture), 1);
	feed_drop_fixture(fixture);
}

/*
 * The watcher of a zone freezes just before a replica drains.  Its readers time
 * out and ask the next source for an immediate answer.  However many sources
 * are frozen, an instance reaches the store within the bound.
 */
static void test_peers_time_out(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();
	struct recorded_call *first = feed_find_call(fixture, RR_FEED_WATCH);

	(void)state;
	assert_string_equal(first->peer, "inst1/z/4:1");
	feed_advance(fixture, 1125 * MS);
	feed_answer(fixture, first, RR_FEED_FAILED, NULL, 0, false);
	assert_string_equal(feed_find_call(fixture, RR_FEED_WATCH)->peer,
			    "inst2/z/3:1");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->wait_ms, 0);
	feed_advance(fixture, 375 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_non_null(feed_find_call(fixture, RR_FEED_WATCH));
	assert_false(reads_from_peer(fixture));
	feed_answer_ok(fixture, RR_FEED_WATCH, "-r1@30", 30);
	feed_assert_events(fixture, "-r1 ");
	/* The first source is used again after its backoff. */
	feed_advance(fixture, 2100 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 30);
	assert_true(reads_from_peer(fixture));
	feed_drop_fixture(fixture);
}

/*
 * After a peer has compacted its changes, all items are read from it; if that
 * peer lags behind, another is asked, and finally the store's own history.
 */
static void test_peers_have_compacted(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();

	(void)state;
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	assert_string_equal(feed_find_call(fixture, RR_FEED_RANGE)->peer,
			    "inst1/z/4:1");
	feed_answer_ok(fixture, RR_FEED_RANGE,
		       "routes3@10 inst1/z/4@12 inst2/z/3@13 inst3/z/1@14 "
		       "inst9/y/9@15 r5@24",
		       25);
	feed_assert_events(fixture, "+r5 -r1 ");
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 25);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10", 22);
	feed_assert_events(fixture, "");
	assert_string_equal(feed_find_call(fixture, RR_FEED_WATCH)->peer,
			    "inst2/z/3:1");
	while (feed_find_call(fixture, RR_FEED_WATCH)->peer)
		feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
			    RR_FEED_FAILED, NULL, 0, false);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	assert_null(feed_find_call(fixture, RR_FEED_RANGE)->peer);
	assert_false(feed_find_call(fixture, RR_FEED_RANGE)->allow_stale);
	feed_drop_fixture(fixture);
}

/*
 * The registrar of this instance dies.  Its lease ends after twelve seconds,
 * and with it this instance's entry; by then another registrar has been asked.
 */
static void test_registrar_dies(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();
	struct recorded_call *entry_call =
		feed_find_call(fixture, RR_FEED_WRITE_ENTRIES);
	char *first = g_strdup(entry_call->peer);

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 0);
	feed_advance(fixture, 4100 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WRITE_ENTRIES),
		    RR_FEED_FAILED, NULL, 0, false);
	feed_advance(fixture, 300 * MS);
	assert_string_not_equal(
		feed_find_call(fixture, RR_FEED_WRITE_ENTRIES)->peer, first);
	g_free(first);
	feed_drop_fixture(fixture);
}

/*
 * During a rolling upgrade the older instances cannot register others.  After
 * fifteen seconds an instance registers itself.
 */
static void test_no_registrar_accepts(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();

	(void)state;
	for (int i = 0; i < 40 && !feed_find_call(fixture, RR_FEED_LEASE_GRANT);
	     i++) {
		if (feed_find_call(fixture, RR_FEED_WRITE_ENTRIES))
			feed_answer(
				fixture,
				feed_find_call(fixture, RR_FEED_WRITE_ENTRIES),
				RR_FEED_FAILED, NULL, 0, false);
		feed_advance(fixture, 500 * MS);
	}
	feed_answer_ok(fixture, RR_FEED_LEASE_GRANT, NULL, 0);
	assert_null(feed_find_call(fixture, RR_FEED_WRITE_ENTRIES)->peer);
	feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 0);
	feed_advance(fixture, 5000 * MS);
	assert_non_null(feed_find_call(fixture, RR_FEED_LEASE_RENEW));
	feed_drop_fixture(fixture);
}

static bool register_instance(struct feed_fixture *fixture, const char *id,
			      const char *zone)
{
	struct rr_instance instance = { .id = (char *)id,
					.zone = (char *)zone,
					.address = (char *)"10.0.0.1:7" };

	return rr_feed_register_instance(fixture->ctx, fixture->feed,
					 fixture->now_us, &instance);
}

/*
 * After a simultaneous start thirty instances ask one registrar within half a
 * second.  It writes them in one call, under its existing lease.
 */
static void test_registers_others(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();
	guint before = feed_count_calls(fixture, RR_FEED_WRITE_ENTRIES);

	(void)state;
	assert_false(register_instance(fixture, "inst50", "another"));
	for (int i = 10; i < 40; i++) {
		char *id = g_strdup_printf("inst%d", i);

		assert_true(register_instance(fixture, id, "z"));
		g_free(id);
	}
	feed_advance(fixture, 500 * MS);
	assert_int_equal(feed_count_calls(fixture, RR_FEED_WRITE_ENTRIES),
			 before + 1);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WRITE_ENTRIES)->lease,
			 77);
	feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 30);
	rr_feed_deregister_instance(fixture->feed, fixture->now_us, "inst10");
	feed_advance(fixture, 500 * MS);
	assert_string_equal(
		feed_find_call(fixture, RR_FEED_WRITE_ENTRIES)->entries->str,
		"-inst10 ");
	feed_drop_fixture(fixture);
}

/*
 * The lease expires during a store outage, and all entries under it.  They are
 * written again under a new lease.  While the store rejects this instance it
 * accepts no registrations, so that the others ask another registrar.
 */
static void test_registered_entries_expire(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	(void)state;
	register_instance(fixture, "inst10", "z");
	feed_advance(fixture, 500 * MS);
	feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 30);
	feed_advance(fixture, 1600 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_LEASE_RENEW),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(register_instance(fixture, "inst11", "z"));
	feed_advance(fixture, 300 * MS);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_LEASE_RENEW),
		    RR_FEED_NO_LEASE, NULL, 0, false);
	feed_advance(fixture, 500 * MS);
	feed_answer_ok(fixture, RR_FEED_LEASE_GRANT, NULL, 0);
	assert_string_equal(
		feed_find_call(fixture, RR_FEED_WRITE_ENTRIES)->entries->str,
		"+inst0 +inst10 ");
	feed_drop_fixture(fixture);
}

/*
 * Guards against a registrar that ends its lease when it stops: the instances
 * registered by it would all disappear until they have asked another one.  Only
 * its own entry is removed.
 */
static void test_leave_keeps_registered_entries(void **state)
{
	struct feed_fixture *fixture = feed_new_synced_fixture();

	(void)state;
	register_instance(fixture, "inst10", "z");
	feed_advance(fixture, 500 * MS);
	feed_answer_ok(fixture, RR_FEED_WRITE_ENTRIES, NULL, 30);
	rr_feed_leave(fixture->ctx, fixture->feed, fixture->now_us);
	assert_null(feed_find_call(fixture, RR_FEED_LEASE_REVOKE));
	assert_string_equal(
		feed_find_call(fixture, RR_FEED_WRITE_ENTRIES)->entries->str,
		"-inst0 ");
	assert_false(register_instance(fixture, "inst10", "z"));
	feed_drop_fixture(fixture);
}

/*
 * Guards against two instances that read from each other and both conclude that
 * nothing changes: only one that watches the store itself, and is answered,
 * serves changes.
 */
static void test_serves_changes(void **state)
{
	struct feed_fixture *fixture = new_following_fixture();
	struct feed_fixture *watcher;
	GArray *changes;
	struct rr_store_cursor upto;

	assert_false(rr_feed_can_serve_changes(fixture->feed));
	feed_drop_fixture(fixture);
	watcher = feed_new_synced_fixture();
	assert_true(rr_feed_can_serve_changes(watcher->feed));
	feed_answer_ok(watcher, RR_FEED_WATCH, "-r1@21 r3@22", 22);
	assert_int_equal(rr_feed_cursor(watcher->feed).revision, 22);
	changes = rr_feed_changes(watcher->feed,
				  (struct rr_store_cursor){ .revision = 20 },
				  &upto);
	assert_int_equal(upto.revision, 22);
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

/* A feed of the second level in a zone of sixty that has read all items. */
static struct feed_fixture *new_second_level_fixture(void)
{
	struct feed_fixture *fixture = feed_new_fixture();
	GString *items = g_string_new("routes3@10 r1@11");

	for (int i = 1; i < 60; i++)
		g_string_append_printf(items, " inst%d/z/%d@%d", i,
				       i < 10 ? 4 : -1, 11 + i);
	feed_answer_ok(fixture, RR_FEED_RANGE, items->str, 100);
	feed_assert_events(fixture, "routes 3 +r1 instances 59 ");
	g_string_free(items, TRUE);
	return fixture;
}

/*
 * In a zone of sixty an instance serves the changes that it reads from a
 * watcher.  The watcher freezes: waiting readers are rejected at once, since
 * they would otherwise conclude that nothing changes.  Then another watcher
 * answers.
 */
static void test_second_level_serves_changes(void **state)
{
	struct feed_fixture *fixture = new_second_level_fixture();
	GArray *changes;
	struct rr_store_cursor upto;

	(void)state;
	assert_true(reads_from_peer(fixture));
	feed_answer_ok(fixture, RR_FEED_WATCH, "r2@101", 101);
	assert_true(rr_feed_can_serve_changes(fixture->feed));
	changes = rr_feed_changes(fixture->feed,
				  (struct rr_store_cursor){ .revision = 100 },
				  &upto);
	assert_int_equal(changes->len, 1);
	g_array_unref(changes);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(rr_feed_can_serve_changes(fixture->feed));
	feed_advance(fixture, 1100 * MS);
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 101);
	assert_true(reads_from_peer(fixture));
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 101);
	assert_true(rr_feed_can_serve_changes(fixture->feed));
	feed_drop_fixture(fixture);
}

/*
 * Guards against sixty instances that call the store when it rejects a zone's
 * watcher: its readers are rejected at the same moment, and their readers as
 * well.  A reader of a standby waits until that one is connected to the store,
 * some milliseconds later; otherwise it is rejected soon.
 */
static void test_reader_waits_for_standby(void **state)
{
	struct feed_fixture *fixture = new_second_level_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 101);
	assert_true(rr_feed_can_serve_changes(fixture->feed));
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_false(rr_feed_can_serve_changes(fixture->feed));
	assert_true(rr_feed_is_in_serve_grace(fixture->feed, fixture->now_us));
	assert_false(rr_feed_is_in_serve_grace(fixture->feed,
					       fixture->now_us + 200 * MS));
	feed_answer_ok(fixture, RR_FEED_WATCH, "r9@102", 102);
	assert_true(rr_feed_can_serve_changes(fixture->feed));
	feed_drop_fixture(fixture);
}

/*
 * A zone is isolated from the store.  Its watchers read from those of another
 * zone, which may in turn read from them: changes read from another zone are
 * not served.
 */
static void test_remote_changes_are_not_served(void **state)
{
	struct feed_fixture *fixture = new_second_level_fixture();

	(void)state;
	feed_answer_ok(fixture, RR_FEED_WATCH, "inst99/y/9@101", 101);
	for (int i = 0; i < 4; i++)
		feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
			    RR_FEED_FAILED, NULL, 0, false);
	assert_true(reads_from_peer(fixture));
	assert_string_equal(feed_find_call(fixture, RR_FEED_WATCH)->peer,
			    "inst99/y/9:1");
	feed_answer_ok(fixture, RR_FEED_WATCH, NULL, 101);
	assert_false(rr_feed_can_serve_changes(fixture->feed));
	feed_drop_fixture(fixture);
}

/*
 * All processes are killed while the store is down.  The first to start knows
 * no items and reports so; the next ones read from a configured seed, and
 * serve.
 */
static void test_start_during_store_outage(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", "10.0.0.2:7", NULL };
	struct feed_fixture *fixture = feed_new_fixture_with_seeds(seeds);

	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_string_equal(feed_find_call(fixture, RR_FEED_RANGE)->peer,
			    seeds[0]);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_string_equal(feed_find_call(fixture, RR_FEED_RANGE)->peer,
			    seeds[1]);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10 r1@11", 20);
	assert_true(rr_feed_has_synced(fixture->feed));
	feed_assert_events(fixture, "routes 3 +r1 ");
	/* The store is reachable again and has newer changes. */
	feed_advance(fixture, 2000 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_WATCH)->peer);
	assert_int_equal(feed_find_call(fixture, RR_FEED_WATCH)->after_revision,
			 20);
	feed_drop_fixture(fixture);
}

/* A range from a lagging peer must not remove newer items. */
static void test_stale_range_is_ignored(void **state)
{
	static const char *const seeds[] = { "10.0.0.1:7", NULL };
	struct feed_fixture *fixture = feed_new_fixture_with_seeds(seeds);

	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10 inst1@9 r1@11 r2@19",
		       20);
	feed_assert_events(fixture, "routes 3 +r1 +r2 ");
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_WATCH),
		    RR_FEED_COMPACTED, NULL, 0, false);
	feed_answer(fixture, feed_find_call(fixture, RR_FEED_RANGE),
		    RR_FEED_FAILED, NULL, 0, false);
	assert_non_null(feed_find_call(fixture, RR_FEED_RANGE)->peer);
	feed_answer_ok(fixture, RR_FEED_RANGE, "routes3@10 r1@11", 15);
	feed_assert_events(fixture, "");
	feed_advance(fixture, 300 * MS);
	assert_null(feed_find_call(fixture, RR_FEED_RANGE)->peer);
	feed_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reads_from_peers),
		cmocka_unit_test(test_peers_time_out),
		cmocka_unit_test(test_peers_have_compacted),
		cmocka_unit_test(test_registrar_dies),
		cmocka_unit_test(test_no_registrar_accepts),
		cmocka_unit_test(test_registers_others),
		cmocka_unit_test(test_registered_entries_expire),
		cmocka_unit_test(test_leave_keeps_registered_entries),
		cmocka_unit_test(test_serves_changes),
		cmocka_unit_test(test_second_level_serves_changes),
		cmocka_unit_test(test_reader_waits_for_standby),
		cmocka_unit_test(test_remote_changes_are_not_served),
		cmocka_unit_test(test_start_during_store_outage),
		cmocka_unit_test(test_stale_range_is_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
