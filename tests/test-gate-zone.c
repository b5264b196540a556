/*
 * test-gate-zone.c - detection of unreachable replicas and zones, and recovery.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

/* Replies to all attempts in flight at replicas of the given zones. */
static void reply_from_zones(struct gate_fixture *fixture, const char *zones)
{
	for (guint j = 0; j < fixture->attempts->len; j++) {
		struct test_sent_attempt *sent = test_attempt_at(fixture, j);
		const char *zone = strchr(sent->endpoint, '.') + 1;

		if (!sent->replied && !sent->cancelled && strchr(zones, *zone))
			test_reply(fixture, sent, RR_GATE_ANSWERED, 200);
	}
}

/*
 * A network partition makes all replicas of the other zones unreachable at
 * once, and searches need shards that have replicas only there.  The instance
 * has to report that it is not ready, so that callers use another zone, and to
 * detect by connection probes when the others are reachable again.
 */
static void test_isolated_zone(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *fixture = test_new_gate(7);
	const char *reason;

	route.min_share = 0.9;
	test_list_replica(fixture, "s1.a", "s1", "a");
	test_list_replica(fixture, "s2.a", "s2", "a");
	test_list_replica(fixture, "s3.b", "s3", "b");
	test_list_replica(fixture, "s4.b", "s4", "b");
	test_set_routes(fixture, 5, &route, 1);
	assert_true(rr_gate_is_ready(fixture->gate, &reason));
	for (int i = 0; i < 16; i++) {
		test_submit(fixture, "/search/1", 200);
		test_advance_time(fixture, 3 * TEST_MS);
		reply_from_zones(fixture, "a");
		test_advance_time(fixture, 60 * TEST_MS);
	}
	assert_false(rr_gate_is_ready(fixture->gate, &reason));
	assert_string_equal(reason, "cut-off");
	g_ptr_array_set_size(fixture->attempts, 0);
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(fixture->attempts->len, 0);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	assert_true(test_last_answer(fixture)->close_connection);
	g_ptr_array_set_size(fixture->probes, 0);
	test_advance_time(fixture, 1000 * TEST_MS);
	assert_in_range(fixture->probes->len, 3, 4);
	rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
				    fixture->now_us, "s3.b", true);
	assert_true(rr_gate_is_ready(fixture->gate, &reason));
	test_free_gate(fixture);
}

/*
 * Guards against slow detection when a zone is isolated from two others at
 * once.  Most attempts go to one of these, which is found unreachable by five
 * attempts without a reply.  To the other only three were in flight, and no
 * more are sent since the first is missing in all searches.  Callers were
 * rejected for 0.7 s longer, until two probes had failed.
 */
static void test_two_zones_unreachable_at_once(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *fixture = test_new_gate(7);
	const char *reason;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(fixture, "s1.a", "s1", "a");
	test_list_replica(fixture, "s2.b", "s2", "b");
	test_list_replica(fixture, "s3.b", "s3", "b");
	test_list_replica(fixture, "s4.c", "s4", "c");
	test_set_routes(fixture, 5, &route, 1);
	for (int i = 0; i < 3; i++) {
		test_submit(fixture, "/search/1", 90);
		test_advance_time(fixture, 95 * TEST_MS);
	}
	assert_false(rr_gate_is_ready(fixture->gate, &reason));
	assert_string_equal(reason, "cut-off");
	test_free_gate(fixture);
}

/*
 * Of two other zones one becomes unreachable half a second before the other.
 * The first must not count as reachable again when the second is checked, or
 * the instance does not notice that it is isolated.
 */
static void test_two_zones_unreachable_in_sequence(void **state)
{
	static const char *const three_services[] = { "s1", "s2", "s3", NULL };
	struct test_route route = test_search_route;
	struct gate_fixture *fixture = test_new_gate(7);
	const char *reason;

	route.services = three_services;
	route.min_share = 0.9;
	test_list_replica(fixture, "s1.a", "s1", "a");
	test_list_replica(fixture, "s2.b", "s2", "b");
	test_list_replica(fixture, "s3.c", "s3", "c");
	test_set_routes(fixture, 5, &route, 1);
	for (int i = 0; i < 40; i++) {
		test_submit(fixture, "/search/1", 200);
		test_advance_time(fixture, 3 * TEST_MS);
		for (guint j = 0; j < fixture->attempts->len; j++) {
			struct test_sent_attempt *sent =
				test_attempt_at(fixture, j);
			bool is_reachable =
				strstr(sent->endpoint, ".a") ||
				(i < 12 && strstr(sent->endpoint, ".c"));

			if (!sent->replied && !sent->cancelled && is_reachable)
				test_reply(fixture, sent, RR_GATE_ANSWERED,
					   200);
		}
		test_advance_time(fixture, 60 * TEST_MS);
		while (fixture->probes->len) {
			char *id = g_ptr_array_steal_index(fixture->probes, 0);

			rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
						    fixture->now_us, id,
						    i < 12 && strstr(id, ".c"));
			g_free(id);
		}
	}
	assert_false(rr_gate_is_ready(fixture->gate, &reason));
	assert_string_equal(reason, "cut-off");
	test_free_gate(fixture);
}

/*
 * The partition resets connections, so that no time without contact adds up,
 * and requests are sent to only some of the zone's replicas.  Probes of other
 * replicas have to show that the whole zone is unreachable.
 */
static void test_zone_resets_connections(void **state)
{
	struct gate_fixture *fixture = test_new_gate(7);
	struct rr_gate_reply reply = { .outcome = RR_GATE_UNSENT,
				       .unreachable = true };
	const char *reason;
	char id[16];

	for (int i = 0; i < 20; i++) {
		g_snprintf(id, sizeof(id), "x%d.b", i);
		test_list_replica(fixture, id, i < 6 ? "s1" : "other", "b");
	}
	test_list_replica(fixture, "s2.a", "s2", "a");
	test_list_replica(fixture, "s3.a", "s3", "a");
	test_list_replica(fixture, "s4.a", "s4", "a");
	{
		struct test_route route = test_search_route;

		route.min_share = 1;
		test_set_routes(fixture, 5, &route, 1);
	}
	test_advance_time(fixture, 500 * TEST_MS);
	for (int i = 0; i < 6; i++) {
		test_submit(fixture, "/search/1", 900);
		for (guint j = 0; j < fixture->attempts->len; j++) {
			struct test_sent_attempt *sent =
				test_attempt_at(fixture, j);

			if (sent->replied || sent->cancelled ||
			    !strstr(sent->endpoint, ".b"))
				continue;
			sent->replied = true;
			reply.attempt = sent->attempt;
			rr_gate_reply(fixture->ctx, fixture->gate,
				      fixture->now_us, &reply);
		}
		test_reply_all(fixture);
	}
	for (int i = 0; i < 3; i++) {
		test_advance_time(fixture, 310 * TEST_MS);
		while (fixture->probes->len) {
			char *probed =
				g_ptr_array_steal_index(fixture->probes, 0);

			rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
						    fixture->now_us, probed,
						    false);
			g_free(probed);
		}
	}
	assert_false(rr_gate_is_ready(fixture->gate, &reason));
	assert_string_equal(reason, "cut-off");
	test_free_gate(fixture);
}

/*
 * An unreachable replica gets no attempts until a probe connects to it, so that
 * no request is spent on finding out whether it has recovered.
 */
static void test_unreachable_replica_is_probed(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_idempotent_route);

	test_earn_retry_budget(fixture, "/often/1");
	test_submit(fixture, "/often/1", 900);
	{
		struct rr_gate_reply reply = {
			.attempt = test_attempt_at(fixture, 0)->attempt,
			.outcome = RR_GATE_UNSENT,
			.unreachable = true,
		};

		test_attempt_at(fixture, 0)->replied = true;
		rr_gate_reply(fixture->ctx, fixture->gate, fixture->now_us,
			      &reply);
	}
	test_reply_all(fixture);
	g_ptr_array_set_size(fixture->attempts, 0);
	for (int i = 0; i < 30; i++) {
		test_submit(fixture, "/often/1", 900);
		test_reply_all(fixture);
		test_advance_time(fixture, 50 * TEST_MS);
		if (fixture->probes->len)
			rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
						    fixture->now_us, "s.a",
						    false);
	}
	for (guint i = 0; i < fixture->attempts->len; i++)
		assert_string_equal(test_attempt_at(fixture, i)->endpoint,
				    "s.b");
	assert_true(fixture->probes->len > 1);
	rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
				    fixture->now_us, "s.a", true);
	test_submit(fixture, "/often/1", 900);
	assert_string_equal(
		test_attempt_at(fixture, fixture->attempts->len - 1)->endpoint,
		"s.a");
	test_free_gate(fixture);
}

/*
 * Guards against slow detection of a partition.  Searches of an isolated zone
 * wait for shards of other zones until their deadline, so that no attempt is
 * abandoned for a second, while callers are rejected that another zone would
 * serve.  An instance that gets 20 searches per second has to detect it within
 * 0.25 s.
 */
static void test_isolation_is_detected_before_abandonment(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *fixture = test_new_gate(7);
	const char *reason;
	int64_t isolated_us;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(fixture, "s1.a", "s1", "a");
	test_list_replica(fixture, "s2.b", "s2", "b");
	test_list_replica(fixture, "s3.c", "s3", "c");
	test_list_replica(fixture, "s4.c", "s4", "c");
	test_set_routes(fixture, 5, &route, 1);
	for (int i = 0; i < 20; i++) {
		test_submit(fixture, "/search/1", 1200);
		test_advance_time(fixture, 5 * TEST_MS);
		reply_from_zones(fixture, "abc");
		test_advance_time(fixture, 45 * TEST_MS);
	}
	isolated_us = fixture->now_us;
	while (rr_gate_is_ready(fixture->gate, &reason)) {
		test_submit(fixture, "/search/1", 1200);
		test_advance_time(fixture, 5 * TEST_MS);
		reply_from_zones(fixture, "a");
		test_advance_time(fixture, 45 * TEST_MS);
		if (fixture->now_us - isolated_us > 250 * TEST_MS)
			fail_msg("isolation not detected within 0.25 s");
	}
	assert_string_equal(reason, "cut-off");
	test_free_gate(fixture);
}

/*
 * Guards against a dead replica that is not detected while the retry budget is
 * exhausted.  A replica dies; the attempt there is not hedged and so not
 * abandoned before its deadline ten seconds later, and until then more requests
 * are sent to the dead replica and wait as long.
 */
static void test_dead_replica_is_detected_without_retry_budget(void **state)
{
	struct test_route route = test_idempotent_route;
	struct gate_fixture *fixture = test_new_gate(7);

	(void)state;
	route.timeout_ms = 20000;
	test_list_replica(fixture, "s.a", "s", "a");
	test_set_routes(fixture, 5, &route, 1);
	test_list_replica(fixture, "t.b", "t", "b");
	test_earn_retry_budget(fixture, "/often/1");
	test_submit(fixture, "/often/1", 10000);
	assert_string_equal(test_attempt_at(fixture, 0)->endpoint, "s.a");
	test_advance_time(fixture, 900 * TEST_MS);
	assert_false(test_attempt_at(fixture, 0)->cancelled);
	assert_true(fixture->probes->len > 0);
	test_list_replica(fixture, "s.b", "s", "b");
	test_submit(fixture, "/often/1", 10000);
	assert_string_equal(
		test_attempt_at(fixture, fixture->attempts->len - 1)->endpoint,
		"s.b");
	test_free_gate(fixture);
}

/*
 * Guards against a zone taken for unreachable when its replicas all pause at
 * once for 0.1 s.  Their machines still accept connections.
 */
static void test_pause_is_not_a_partition(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_search_route);
	guint probes = 0;

	(void)state;
	for (int i = 0; i < 60; i++) {
		bool is_paused = i % 10 < 2;

		test_submit(fixture, "/search/1", 1200);
		test_advance_time(fixture, 5 * TEST_MS);
		reply_from_zones(fixture, is_paused ? "a" : "ab");
		test_advance_time(fixture, 45 * TEST_MS);
		for (; probes < fixture->probes->len; probes++)
			rr_gate_handle_probe_result(
				fixture->ctx, fixture->gate, fixture->now_us,
				g_ptr_array_index(fixture->probes, probes),
				true);
	}
	g_ptr_array_set_size(fixture->attempts, 0);
	test_list_draining_replica(fixture, "s1.a", "s1", "a");
	test_submit(fixture, "/search/1", 1200);
	assert_non_null(test_find_open_attempt(fixture, "s1.b"));
	test_free_gate(fixture);
}

/*
 * Guards against an instance that treats its own delay as time without contact
 * of the replicas.  A slow instance gathers searches of 180 shards, and its own
 * work blocks its event loop for 150 ms while all responses wait unread.  It
 * considered all zones unreachable and reported that it was isolated, so that
 * callers were directed away from a healthy fleet.
 */
static void test_loop_delay_suspects_no_replica(void **state)
{
	enum { SHARDS = 180 };
	struct gate_fixture *fixture = test_new_gate(7);
	const char *names[SHARDS + 1] = { NULL };
	struct test_route route = test_search_route;
	const char *reason;

	(void)state;
	for (int i = 0; i < SHARDS; i++) {
		char *id = g_strdup_printf("s%d.%c", i, 'b' + i % 4);

		names[i] = g_strdup_printf("s%d", i);
		test_list_replica(fixture, id, names[i], strchr(id, '.') + 1);
		g_free(id);
	}
	route.services = names;
	route.objective_ms = 240;
	test_set_routes(fixture, 5, &route, 1);
	for (int i = 0; i < 3; i++) {
		test_submit(fixture, "/search/1", 900);
		fixture->now_us += 150 * TEST_MS;
		rr_gate_report_stall(fixture->ctx, fixture->gate,
				     fixture->now_us, 150 * TEST_MS);
		/* Timers that became due come first, then the responses. */
		rr_gate_tick(fixture->ctx, fixture->gate, fixture->now_us);
		assert_int_equal(fixture->probes->len, 0);
		assert_true(rr_gate_is_ready(fixture->gate, &reason));
		test_reply_all(fixture);
		test_advance_time(fixture, 100 * TEST_MS);
	}
	/* Without a delay the same time without contact causes probes. */
	test_submit(fixture, "/search/1", 900);
	test_advance_time(fixture, 300 * TEST_MS);
	assert_true(fixture->probes->len > 0);
	for (int i = 0; i < SHARDS; i++)
		g_free((char *)names[i]);
	test_free_gate(fixture);
}

/*
 * A zone of sixty instances is isolated.  The strong ones, which gather all
 * searches, detect it within half a second.  A weak one sends so few attempts
 * that it takes five seconds, and callers are directed elsewhere only once all
 * instances report that they are not ready.  A report from a peer has to make
 * it probe the zones and find out.
 */
static void test_isolation_reported_by_peer(void **state)
{
	struct gate_fixture *fixture = test_new_gate(7);
	struct test_route route = test_search_route;
	const char *reason;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(fixture, "s1.a", "s1", "a");
	test_list_replica(fixture, "s2.a", "s2", "a");
	test_list_replica(fixture, "s3.b", "s3", "b");
	test_list_replica(fixture, "s4.c", "s4", "c");
	test_set_routes(fixture, 5, &route, 1);
	rr_gate_suspect_zones(fixture->ctx, fixture->gate, fixture->now_us);
	assert_true(fixture->probes->len >= 2);
	assert_true(rr_gate_is_ready(fixture->gate, &reason));
	test_advance_time(fixture, 200 * TEST_MS);
	assert_false(rr_gate_is_ready(fixture->gate, &reason));
	assert_string_equal(reason, "cut-off");
	assert_true(rr_gate_is_isolated(fixture->gate));
	rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
				    fixture->now_us, "s3.b", true);
	assert_true(rr_gate_is_ready(fixture->gate, &reason));
	test_free_gate(fixture);
}

/* A wrong report from a peer has no effect, since the probes succeed. */
static void test_false_isolation_report(void **state)
{
	struct gate_fixture *fixture = test_new_gate(7);
	struct test_route route = test_search_route;
	const char *reason;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(fixture, "s1.a", "s1", "a");
	test_list_replica(fixture, "s3.b", "s3", "b");
	test_list_replica(fixture, "s4.c", "s4", "c");
	test_set_routes(fixture, 5, &route, 1);
	rr_gate_suspect_zones(fixture->ctx, fixture->gate, fixture->now_us);
	test_advance_time(fixture, 5 * TEST_MS);
	rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
				    fixture->now_us, "s3.b", true);
	rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
				    fixture->now_us, "s4.c", true);
	test_advance_time(fixture, 500 * TEST_MS);
	assert_false(rr_gate_is_isolated(fixture->gate));
	assert_true(rr_gate_is_ready(fixture->gate, &reason));
	test_free_gate(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_isolated_zone),
		cmocka_unit_test(test_two_zones_unreachable_at_once),
		cmocka_unit_test(test_two_zones_unreachable_in_sequence),
		cmocka_unit_test(test_zone_resets_connections),
		cmocka_unit_test(test_unreachable_replica_is_probed),
		cmocka_unit_test(test_isolation_is_detected_before_abandonment),
		cmocka_unit_test(test_pause_is_not_a_partition),
		cmocka_unit_test(
			test_dead_replica_is_detected_without_retry_budget),
		cmocka_unit_test(test_loop_delay_suspects_no_replica),
		cmocka_unit_test(test_isolation_reported_by_peer),
		cmocka_unit_test(test_false_isolation_report),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
