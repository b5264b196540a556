/*
 * test-gate-evacuate.c - routing around evacuated zones, and their slow start.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

static void evacuate(struct gate_fixture *fixture, const char *zone,
		     uint64_t revision)
{
	rr_gate_set_evacuation(
		fixture->ctx, fixture->gate, fixture->now_us, zone,
		(struct rr_store_cursor){ .revision = revision }, true);
}

static void end_evacuation(struct gate_fixture *fixture, const char *zone,
			   uint64_t revision)
{
	rr_gate_set_evacuation(
		fixture->ctx, fixture->gate, fixture->now_us, zone,
		(struct rr_store_cursor){ .revision = revision }, false);
}

/* Counts the attempts to replicas of a zone, starting at index `from`. */
static guint count_sent(struct gate_fixture *fixture, guint from,
			const char *zone)
{
	char *suffix = g_strconcat(".", zone, NULL);
	guint n = 0;

	for (guint i = from; i < fixture->attempts->len; i++)
		n += g_str_has_suffix(test_attempt_at(fixture, i)->endpoint,
				      suffix);
	g_free(suffix);
	return n;
}

/* Guards against first attempts to an evacuated zone, the local one. */
static void test_first_attempts_avoid_the_zone(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_idempotent_route);
	guint before;

	(void)state;
	test_earn_retry_budget(fixture, "/often/1");
	before = fixture->attempts->len;
	evacuate(fixture, "a", 7);
	for (int i = 0; i < 50; i++) {
		test_submit(fixture, "/often/1", 900);
		test_advance_time(fixture, 10 * TEST_MS);
		test_reply_all(fixture);
	}
	assert_int_equal(count_sent(fixture, before, "a"), 0);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	test_free_gate(fixture);
}

/* Guards against hedges and retries to an evacuated zone. */
static void test_hedges_and_retries_avoid_the_zone(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_idempotent_route);
	guint before;

	(void)state;
	test_earn_retry_budget(fixture, "/often/1");
	evacuate(fixture, "a", 7);
	before = fixture->attempts->len;
	test_submit(fixture, "/often/1", 2000);
	test_advance_time(fixture, 150 * TEST_MS);
	test_reply_all(fixture);
	test_submit(fixture, "/often/1", 2000);
	test_reply(fixture,
		   test_attempt_at(fixture, fixture->attempts->len - 1),
		   RR_GATE_REJECTED, 503);
	test_advance_time(fixture, 100 * TEST_MS);
	assert_int_equal(count_sent(fixture, before, "b"), 2);
	assert_int_equal(count_sent(fixture, before, "a"), 0);
	test_free_gate(fixture);
}

/* Guards against an attempt that waits for a connection and is sent later. */
static void test_unsent_attempt_is_redirected(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_idempotent_route);
	struct test_sent_attempt *first;

	(void)state;
	test_submit(fixture, "/often/1", 900);
	first = test_attempt_at(fixture, 0);
	assert_string_equal(first->endpoint, "s.a");
	fixture->nothing_sent = true;
	evacuate(fixture, "a", 7);
	assert_true(first->cancelled);
	assert_int_equal(fixture->attempts->len, 2);
	assert_string_equal(test_attempt_at(fixture, 1)->endpoint, "s.b");
	test_free_gate(fixture);
}

/* Guards against cancelling an attempt that a replica is already serving. */
static void test_sent_attempt_completes(void **state)
{
	struct gate_fixture *fixture =
		test_start_gate(&test_non_idempotent_route);

	(void)state;
	test_submit(fixture, "/once/1", 900);
	assert_string_equal(test_attempt_at(fixture, 0)->endpoint, "s.a");
	evacuate(fixture, "a", 7);
	assert_false(test_attempt_at(fixture, 0)->cancelled);
	test_reply_all(fixture);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	assert_int_equal(fixture->attempts->len, 1);
	test_free_gate(fixture);
}

/* Guards against requests that are queued although nothing can be sent. */
static void test_all_zones_evacuated(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_search_route);
	guint before = fixture->attempts->len;

	(void)state;
	evacuate(fixture, "a", 7);
	evacuate(fixture, "b", 8);
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(fixture->attempts->len, before);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	assert_string_equal(test_last_answer(fixture)->reason, "evacuated");
	assert_int_equal(test_last_answer(fixture)->at_us, fixture->now_us);
	test_free_gate(fixture);
}

/*
 * Guards against sending to an evacuated replica by the rule that the only
 * replica of a service stays in use.
 */
static void test_only_replica_is_evacuated(void **state)
{
	struct gate_fixture *fixture = test_new_gate(1);

	(void)state;
	test_list_replica(fixture, "s.a", "s", "a");
	test_set_routes(fixture, 1, &test_idempotent_route, 1);
	evacuate(fixture, "a", 7);
	test_submit(fixture, "/often/1", 900);
	assert_int_equal(fixture->attempts->len, 0);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	test_free_gate(fixture);
}

/* Guards against wrong coverage if a shard has replicas in the zone only. */
static void test_evacuated_shard_is_missing(void **state)
{
	struct gate_fixture *fixture = test_new_gate(1);

	(void)state;
	test_list_replica(fixture, "s1.a", "s1", "a");
	test_list_replica(fixture, "s2.b", "s2", "b");
	test_list_replica(fixture, "s3.b", "s3", "b");
	test_list_replica(fixture, "s4.b", "s4", "b");
	test_set_routes(fixture, 5, &test_search_route, 1);
	evacuate(fixture, "a", 7);
	test_submit(fixture, "/search/1", 900);
	test_advance_time(fixture, 5 * TEST_MS);
	test_reply_all(fixture);
	assert_int_equal(count_sent(fixture, 0, "a"), 0);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	assert_int_equal(test_last_answer(fixture)->missing, 1);
	assert_non_null(strstr(fixture->log->str, "lacks_evacuated=1"));
	test_free_gate(fixture);
}

/* Guards against a queued part that waits until its caller has closed. */
static void test_queued_part_is_rejected(void **state)
{
	struct gate_fixture *fixture = test_new_gate(1);
	uint64_t waiting;

	(void)state;
	test_list_replica(fixture, "s.a", "s", "a");
	test_set_routes(fixture, 1, &test_idempotent_route, 1);
	do {
		waiting = test_submit(fixture, "/often/1", 900);
	} while (
		test_attempt_at(fixture, fixture->attempts->len - 1)->request ==
		waiting);
	assert_int_equal(fixture->answers->len, 0);
	evacuate(fixture, "a", 7);
	assert_int_equal(fixture->answers->len, 1);
	assert_int_equal(test_last_answer(fixture)->request, waiting);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	test_free_gate(fixture);
}

/* Guards against an evacuation that is known before the list of replicas. */
static void test_evacuation_before_the_list(void **state)
{
	struct gate_fixture *fixture = test_new_gate(1);

	(void)state;
	evacuate(fixture, "a", 7);
	test_list_replica(fixture, "s.a", "s", "a");
	test_list_replica(fixture, "s.b", "s", "b");
	test_set_routes(fixture, 1, &test_idempotent_route, 1);
	test_submit(fixture, "/often/1", 900);
	assert_string_equal(test_attempt_at(fixture, 0)->endpoint, "s.b");
	test_free_gate(fixture);
}

/*
 * Guards against a zone name that no replica has, which would hide a network
 * partition.
 */
static void test_unknown_zone(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_idempotent_route);

	(void)state;
	evacuate(fixture, "nowhere", 7);
	assert_non_null(strstr(fixture->log->str, "zone=nowhere"));
	assert_non_null(strstr(fixture->log->str, "endpoints=0"));
	test_submit(fixture, "/often/1", 900);
	test_reply_all(fixture);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	test_free_gate(fixture);
}

/*
 * Submits requests until `until_us`.  Stores the number of attempts in `served`
 * and returns how many of them were sent to `zone`.
 */
static guint serve_until(struct gate_fixture *fixture, int64_t until_us,
			 const char *zone, guint *served)
{
	guint from = fixture->attempts->len;

	while (fixture->now_us < until_us) {
		test_submit(fixture, "/often/1", 900);
		test_advance_time(fixture, 5 * TEST_MS);
		test_reply_all(fixture);
		test_advance_time(fixture, 5 * TEST_MS);
	}
	*served = fixture->attempts->len - from;
	return count_sent(fixture, from, zone);
}

/* Guards against replicas that may be cold and get all traffic at once. */
static void test_slow_start(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_idempotent_route);
	int64_t ended_us;
	guint served;

	(void)state;
	evacuate(fixture, "a", 7);
	serve_until(fixture, fixture->now_us + 1000 * TEST_MS, "a", &served);
	ended_us = fixture->now_us;
	end_evacuation(fixture, "a", 9);
	assert_true(serve_until(fixture, ended_us + 500 * TEST_MS, "a",
				&served) <= served / 4);
	serve_until(fixture, ended_us + 3000 * TEST_MS, "a", &served);
	assert_true(serve_until(fixture, ended_us + 4000 * TEST_MS, "a",
				&served) >= served * 3 / 4);
	test_free_gate(fixture);
}

/* Guards against rejections while the only replicas are in slow start. */
static void test_slow_start_of_the_only_zone(void **state)
{
	struct gate_fixture *fixture = test_start_gate(&test_idempotent_route);

	(void)state;
	evacuate(fixture, "a", 7);
	evacuate(fixture, "b", 8);
	end_evacuation(fixture, "b", 9);
	test_submit(fixture, "/often/1", 900);
	assert_int_equal(fixture->attempts->len, 1);
	test_free_gate(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_attempts_avoid_the_zone),
		cmocka_unit_test(test_hedges_and_retries_avoid_the_zone),
		cmocka_unit_test(test_unsent_attempt_is_redirected),
		cmocka_unit_test(test_sent_attempt_completes),
		cmocka_unit_test(test_all_zones_evacuated),
		cmocka_unit_test(test_only_replica_is_evacuated),
		cmocka_unit_test(test_evacuated_shard_is_missing),
		cmocka_unit_test(test_queued_part_is_rejected),
		cmocka_unit_test(test_evacuation_before_the_list),
		cmocka_unit_test(test_unknown_zone),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_slow_start_of_the_only_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
