/*
 * test-gate-evacuate.c - requests while a zone is evacuated, and as it returns.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

static void evacuate(struct gate_fixture *scene, const char *zone,
		     uint64_t revision)
{
	rr_gate_set_evacuation(scene->ctx, scene->gate, scene->now_us, zone,
			       revision, true);
}

static void take_back(struct gate_fixture *scene, const char *zone,
		      uint64_t revision)
{
	rr_gate_set_evacuation(scene->ctx, scene->gate, scene->now_us, zone,
			       revision, false);
}

/* Attempts from the i-th on that went to replicas of a zone. */
static guint count_sent(struct gate_fixture *scene, guint from,
			const char *zone)
{
	char *suffix = g_strconcat(".", zone, NULL);
	guint n = 0;

	for (guint i = from; i < scene->attempts->len; i++)
		n += g_str_has_suffix(test_attempt_at(scene, i)->endpoint,
				      suffix);
	g_free(suffix);
	return n;
}

/* Guards against first attempts to the zone, which is the nearest one. */
static void test_first_attempts_go_elsewhere(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);
	guint before;

	(void)state;
	test_earn_retry_budget(scene, "/often/1");
	before = scene->attempts->len;
	evacuate(scene, "a", 7);
	for (int i = 0; i < 50; i++) {
		test_submit(scene, "/often/1", 900);
		test_advance_time(scene, 10 * TEST_MS);
		test_reply_all(scene);
	}
	assert_int_equal(count_sent(scene, before, "a"), 0);
	assert_int_equal(test_last_answer(scene)->status, 200);
	test_free_gate(scene);
}

/* Guards against a hedge or a repeat that goes to the zone. */
static void test_hedges_and_repeats_go_elsewhere(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);
	guint before;

	(void)state;
	test_earn_retry_budget(scene, "/often/1");
	evacuate(scene, "a", 7);
	before = scene->attempts->len;
	test_submit(scene, "/often/1", 2000);
	test_advance_time(scene, 150 * TEST_MS);
	test_reply_all(scene);
	test_submit(scene, "/often/1", 2000);
	test_reply(scene, test_attempt_at(scene, scene->attempts->len - 1),
		   RR_GATE_REJECTED, 503);
	test_advance_time(scene, 100 * TEST_MS);
	assert_int_equal(count_sent(scene, before, "b"), 2);
	assert_int_equal(count_sent(scene, before, "a"), 0);
	test_free_gate(scene);
}

/* Guards against an attempt that waits for a connection and is sent late. */
static void test_what_has_not_left_goes_elsewhere(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);
	struct test_sent_attempt *first;

	(void)state;
	test_submit(scene, "/often/1", 900);
	first = test_attempt_at(scene, 0);
	assert_string_equal(first->endpoint, "s.a");
	scene->nothing_sent = true;
	evacuate(scene, "a", 7);
	assert_true(first->cancelled);
	assert_int_equal(scene->attempts->len, 2);
	assert_string_equal(test_attempt_at(scene, 1)->endpoint, "s.b");
	test_free_gate(scene);
}

/* Guards against breaking off what a replica is at work on already. */
static void test_what_has_left_ends_there(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	(void)state;
	test_submit(scene, "/once/1", 900);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "s.a");
	evacuate(scene, "a", 7);
	assert_false(test_attempt_at(scene, 0)->cancelled);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->status, 200);
	assert_int_equal(scene->attempts->len, 1);
	test_free_gate(scene);
}

/* Guards against requests that are held though nothing can be sent. */
static void test_all_zones_evacuated(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	guint before = scene->attempts->len;

	(void)state;
	evacuate(scene, "a", 7);
	evacuate(scene, "b", 8);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, before);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_string_equal(test_last_answer(scene)->reason, "evacuated");
	assert_int_equal(test_last_answer(scene)->at_us, scene->now_us);
	test_free_gate(scene);
}

/* Guards against the rule for a service's only replica, which is kept on. */
static void test_the_only_replica_is_evacuated(void **state)
{
	struct gate_fixture *scene = test_new_gate(1);

	(void)state;
	test_list_replica(scene, "s.a", "s", "a");
	test_set_routes(scene, 1, &test_idempotent_route, 1);
	evacuate(scene, "a", 7);
	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 0);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/* Guards against coverage that is not true of a shard that is only there. */
static void test_a_shard_that_is_only_there_lacks(void **state)
{
	struct gate_fixture *scene = test_new_gate(1);

	(void)state;
	test_list_replica(scene, "s1.a", "s1", "a");
	test_list_replica(scene, "s2.b", "s2", "b");
	test_list_replica(scene, "s3.b", "s3", "b");
	test_list_replica(scene, "s4.b", "s4", "b");
	test_set_routes(scene, 5, &test_search_route, 1);
	evacuate(scene, "a", 7);
	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, 5 * TEST_MS);
	test_reply_all(scene);
	assert_int_equal(count_sent(scene, 0, "a"), 0);
	assert_int_equal(test_last_answer(scene)->status, 200);
	assert_int_equal(test_last_answer(scene)->missing, 1);
	assert_non_null(strstr(scene->log->str, "lacks_evacuated=1"));
	test_free_gate(scene);
}

/* Guards against a part that waits for room until its caller has gone. */
static void test_what_waits_is_refused(void **state)
{
	struct gate_fixture *scene = test_new_gate(1);
	uint64_t waiting;

	(void)state;
	test_list_replica(scene, "s.a", "s", "a");
	test_set_routes(scene, 1, &test_idempotent_route, 1);
	do {
		waiting = test_submit(scene, "/often/1", 900);
	} while (test_attempt_at(scene, scene->attempts->len - 1)->request ==
		 waiting);
	assert_int_equal(scene->answers->len, 0);
	evacuate(scene, "a", 7);
	assert_int_equal(scene->answers->len, 1);
	assert_int_equal(test_last_answer(scene)->request, waiting);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/* Guards against an instance that learns of it before it has the list. */
static void test_known_before_the_list(void **state)
{
	struct gate_fixture *scene = test_new_gate(1);

	(void)state;
	evacuate(scene, "a", 7);
	test_list_replica(scene, "s.a", "s", "a");
	test_list_replica(scene, "s.b", "s", "b");
	test_set_routes(scene, 1, &test_idempotent_route, 1);
	test_submit(scene, "/often/1", 900);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "s.b");
	test_free_gate(scene);
}

/* Guards against a name that no replica has, which would hide a cut. */
static void test_a_zone_that_nobody_knows(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	(void)state;
	evacuate(scene, "nowhere", 7);
	assert_non_null(strstr(scene->log->str, "zone=nowhere"));
	assert_non_null(strstr(scene->log->str, "endpoints=0"));
	test_submit(scene, "/often/1", 900);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->status, 200);
	test_free_gate(scene);
}

/* Requests served until `until_us`, and those of them sent to a zone. */
static guint serve_until(struct gate_fixture *scene, int64_t until_us,
			 const char *zone, guint *served)
{
	guint from = scene->attempts->len;

	while (scene->now_us < until_us) {
		test_submit(scene, "/often/1", 900);
		test_advance_time(scene, 5 * TEST_MS);
		test_reply_all(scene);
		test_advance_time(scene, 5 * TEST_MS);
	}
	*served = scene->attempts->len - from;
	return count_sent(scene, from, zone);
}

/* Guards against replicas that may be cold and get all work at once. */
static void test_a_zone_returns_gradually(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);
	int64_t back_us;
	guint served;

	(void)state;
	evacuate(scene, "a", 7);
	serve_until(scene, scene->now_us + 1000 * TEST_MS, "a", &served);
	back_us = scene->now_us;
	take_back(scene, "a", 9);
	assert_true(serve_until(scene, back_us + 500 * TEST_MS, "a", &served) <=
		    served / 4);
	serve_until(scene, back_us + 3000 * TEST_MS, "a", &served);
	assert_true(serve_until(scene, back_us + 4000 * TEST_MS, "a",
				&served) >= served * 3 / 4);
	test_free_gate(scene);
}

/* Guards against callers refused while the only replicas are just back. */
static void test_a_zone_taken_back_serves_at_once(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	(void)state;
	evacuate(scene, "a", 7);
	evacuate(scene, "b", 8);
	take_back(scene, "b", 9);
	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 1);
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_attempts_go_elsewhere),
		cmocka_unit_test(test_hedges_and_repeats_go_elsewhere),
		cmocka_unit_test(test_what_has_not_left_goes_elsewhere),
		cmocka_unit_test(test_what_has_left_ends_there),
		cmocka_unit_test(test_all_zones_evacuated),
		cmocka_unit_test(test_the_only_replica_is_evacuated),
		cmocka_unit_test(test_a_shard_that_is_only_there_lacks),
		cmocka_unit_test(test_what_waits_is_refused),
		cmocka_unit_test(test_known_before_the_list),
		cmocka_unit_test(test_a_zone_that_nobody_knows),
		cmocka_unit_test(test_a_zone_returns_gradually),
		cmocka_unit_test(test_a_zone_taken_back_serves_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
