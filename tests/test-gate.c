/*
 * test-gate.c - the gateway's decisions in virtual time, reply by reply.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

static const char *const one_service[] = { "s", NULL };
static const char *const two_services[] = { "s", "t", NULL };

static void test_before_routes_are_known(void **state)
{
	struct gate_fixture *scene = test_new_gate(7);
	const char *reason;

	test_submit(scene, "/x", 900);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_in_range(test_last_answer(scene)->retry_after_ms, 1, 300);
	assert_false(rr_gate_is_ready(scene->gate, &reason));
	assert_string_equal(reason, "no-routes");
	test_free_gate(scene);
}

static void test_no_route(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_submit(scene, "/other/1", 900);
	assert_int_equal(test_last_answer(scene)->status, 404);
	assert_int_equal(scene->attempts->len, 0);
	test_free_gate(scene);
}

static void test_near_replica_answers(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 1);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "s.a");
	assert_int_equal(test_attempt_at(scene, 0)->deadline_ms, 900);
	test_advance_time(scene, 20 * TEST_MS);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	assert_int_equal(rr_gate_count_requests(scene->gate), 0);
	test_free_gate(scene);
}

/*
 * Story: a replica reads a reservation, runs it and dies before it answers.
 * Sent to the other replica it would run twice.
 */
static void test_what_may_have_run_is_not_repeated(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	test_earn_retry_budget(scene, "/once/1");
	test_submit(scene, "/once/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_BROKEN, 0);
	assert_int_equal(scene->attempts->len, 1);
	assert_int_equal(test_last_answer(scene)->status, 502);
	assert_int_equal(test_last_answer(scene)->retry_after_ms, 0);
	test_free_gate(scene);
}

static void test_proof_of_not_run_allows_another(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	test_earn_retry_budget(scene, "/once/1");
	test_submit(scene, "/once/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_REJECTED, 503);
	assert_int_equal(scene->attempts->len, 2);
	assert_string_not_equal(test_attempt_at(scene, 0)->endpoint,
				test_attempt_at(scene, 1)->endpoint);
	test_reply(scene, test_attempt_at(scene, 1), RR_GATE_ANSWERED, 200);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	test_free_gate(scene);
}

static void test_all_refused_is_a_promise(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	test_earn_retry_budget(scene, "/once/1");
	test_submit(scene, "/once/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_REJECTED, 503);
	test_reply(scene, test_attempt_at(scene, 1), RR_GATE_UNSENT, 0);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_in_range(test_last_answer(scene)->retry_after_ms, 1, 300);
	test_free_gate(scene);
}

/* Refused by one, lost at the other: the promise can no longer be made. */
static void test_one_lost_attempt_ends_the_promise(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	test_earn_retry_budget(scene, "/once/1");
	test_submit(scene, "/once/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_REJECTED, 503);
	test_reply(scene, test_attempt_at(scene, 1), RR_GATE_NO_REPLY, 0);
	assert_int_equal(test_last_answer(scene)->status, 502);
	test_free_gate(scene);
}

/* A connection that never came about reached nobody: another is not extra. */
static void test_unsent_attempts_are_not_extra(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_submit(scene, "/often/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_UNSENT, 0);
	assert_int_equal(scene->attempts->len, 2);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	test_free_gate(scene);
}

static void test_no_extra_left_no_repeat(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_submit(scene, "/often/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_BROKEN, 0);
	assert_int_equal(scene->attempts->len, 1);
	assert_int_equal(test_last_answer(scene)->status, 502);
	test_free_gate(scene);
}

static void test_most_attempts(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_list_replica(scene, "s.c", "s", "c");
	test_list_replica(scene, "s.d", "s", "c");
	test_earn_retry_budget(scene, "/often/1");
	test_submit(scene, "/often/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_BROKEN, 0);
	test_reply(scene, test_attempt_at(scene, 1), RR_GATE_BROKEN, 0);
	assert_int_equal(scene->attempts->len, 2);
	assert_int_equal(test_last_answer(scene)->status, 502);
	test_free_gate(scene);
}

/* A replica's own failure has run; where it may not be repeated it is the
 * answer. */
static void test_a_replicas_failure_is_forwarded(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	test_submit(scene, "/once/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_ANSWERED, 500);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	assert_int_equal(test_last_answer(scene)->status, 500);
	test_free_gate(scene);
}

/*
 * Story: a replica's address is given to a replica of another service.  It
 * refuses what is meant for the old one, and the old one is not tried again.
 */
static void test_another_lifetime_retires_the_old_one(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	test_earn_retry_budget(scene, "/once/1");
	test_submit(scene, "/once/1", 900);
	test_reply(scene, test_find_open_attempt(scene, "s.a"),
		   RR_GATE_REJECTED, 421);
	assert_string_equal(test_attempt_at(scene, 1)->endpoint, "s.b");
	test_reply_all(scene);
	assert_string_equal(g_ptr_array_index(scene->idle_closed, 0), "s.a");
	for (int i = 0; i < 20; i++) {
		test_submit(scene, "/once/1", 900);
		test_reply_all(scene);
	}
	for (guint i = 1; i < scene->attempts->len; i++)
		assert_string_equal(test_attempt_at(scene, i)->endpoint, "s.b");
	test_free_gate(scene);
}

static void test_draining_replicas_get_nothing(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_list_draining_replica(scene, "s.a", "s", "a");
	for (int i = 0; i < 20; i++) {
		test_submit(scene, "/often/1", 900);
		test_reply_all(scene);
	}
	for (guint i = 0; i < scene->attempts->len; i++)
		assert_string_equal(test_attempt_at(scene, i)->endpoint, "s.b");
	test_list_draining_replica(scene, "s.b", "s", "b");
	test_submit(scene, "/often/1", 900);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/*
 * Story: the store is down, the replicas' entries lapse and come back two
 * seconds later.  Nobody is turned away meanwhile; a replica that does not
 * come back gets nothing after that.
 */
static void test_lapsed_entries_are_a_last_resort(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	rr_gate_unlist_endpoint(scene->ctx, scene->gate, scene->now_us, "s.a");
	test_submit(scene, "/often/1", 900);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "s.b");
	test_reply_all(scene);
	rr_gate_unlist_endpoint(scene->ctx, scene->gate, scene->now_us, "s.b");
	test_advance_time(scene, 1500 * TEST_MS);
	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 2);
	test_reply_all(scene);
	test_list_replica(scene, "s.b", "s", "b");
	test_advance_time(scene, 600 * TEST_MS);
	for (int i = 0; i < 10; i++) {
		test_submit(scene, "/often/1", 900);
		assert_string_equal(
			test_attempt_at(scene, scene->attempts->len - 1)
				->endpoint,
			"s.b");
		test_reply_all(scene);
	}
	test_free_gate(scene);
}

static void test_versions_only_grow(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	assert_false(test_set_routes(scene, 5, &test_non_idempotent_route, 1));
	assert_false(test_set_routes(scene, 4, &test_non_idempotent_route, 1));
	test_submit(scene, "/often/1", 900);
	assert_true(test_set_routes(scene, 9, &test_search_route, 1));
	assert_int_equal(rr_route_table_version(rr_gate_routes(scene->gate)),
			 9);
	/* The request goes on by the version it began with. */
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	test_submit(scene, "/often/1", 900);
	assert_int_equal(test_last_answer(scene)->status, 404);
	test_free_gate(scene);
}

static void test_gather_whole(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	struct test_answer *answer;

	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 4);
	test_advance_time(scene, 5 * TEST_MS);
	test_reply_all(scene);
	answer = test_last_answer(scene);
	assert_int_equal(answer->kind, RR_GATE_MERGED_ANSWER);
	assert_int_equal(answer->missing, 0);
	assert_string_equal(answer->signatures,
			    "seal-s1.a, seal-s2.a, seal-s3.a, "
			    "seal-s4.a");
	assert_int_equal(answer->length, 4 * 16);
	test_free_gate(scene);
}

/* Three of four are in when the objective is near: they are the answer. */
static void test_gather_at_the_cut(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	struct test_answer *answer;
	int64_t began_us = scene->now_us;

	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, 5 * TEST_MS);
	for (guint i = 0; i < 3; i++)
		test_reply(scene, test_attempt_at(scene, i), RR_GATE_ANSWERED,
			   200);
	assert_int_equal(scene->answers->len, 0);
	test_advance_time(scene, 90 * TEST_MS);
	answer = test_last_answer(scene);
	assert_int_equal(answer->missing, 1);
	/* 80 ms, less an eighth and the caller's round trip of 2 ms. */
	assert_in_range(answer->at_us - began_us, 66 * TEST_MS, 74 * TEST_MS);
	assert_int_equal(test_count_open_attempts(scene), 0);
	test_free_gate(scene);
}

static void test_gather_too_few(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	int64_t began_us = scene->now_us;

	test_submit(scene, "/search/1", 900);
	for (guint i = 0; i < 2; i++)
		test_reply(scene, test_attempt_at(scene, i), RR_GATE_ANSWERED,
			   200);
	test_advance_time(scene, 500 * TEST_MS);
	assert_int_equal(scene->answers->len, 0);
	test_advance_time(scene, 600 * TEST_MS);
	assert_int_equal(test_last_answer(scene)->status, 504);
	assert_in_range(test_last_answer(scene)->at_us - began_us,
			900 * TEST_MS, 901 * TEST_MS);
	test_free_gate(scene);
}

/* What cannot reach its least share is refused at once, before any work. */
static void test_gather_that_cannot_be_served(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);

	test_list_draining_replica(scene, "s1.a", "s1", "a");
	test_list_draining_replica(scene, "s1.b", "s1", "b");
	test_submit(scene, "/search/1", 900);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->missing, 1);
	g_ptr_array_set_size(scene->attempts, 0);
	test_list_draining_replica(scene, "s2.a", "s2", "a");
	test_list_draining_replica(scene, "s2.b", "s2", "b");
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 0);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/*
 * Story: one replica pauses for 100 ms, the objective is 80.  The other one
 * is asked as soon as the answer is overdue, and the first is withdrawn.
 */
static void test_hedge_and_loser(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	struct test_sent_attempt *slow;

	test_earn_retry_budget(scene, "/search/1");
	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, 2 * TEST_MS);
	slow = test_find_open_attempt(scene, "s1.a");
	for (guint i = 0; i < 4; i++) {
		if (test_attempt_at(scene, i) != slow)
			test_reply(scene, test_attempt_at(scene, i),
				   RR_GATE_ANSWERED, 200);
	}
	test_advance_time(scene, 20 * TEST_MS);
	assert_non_null(test_find_open_attempt(scene, "s1.b"));
	test_reply(scene, test_find_open_attempt(scene, "s1.b"),
		   RR_GATE_ANSWERED, 200);
	assert_true(slow->cancelled);
	assert_int_equal(test_last_answer(scene)->missing, 0);
	test_free_gate(scene);
}

static void test_what_runs_once_is_not_hedged(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	test_earn_retry_budget(scene, "/once/1");
	test_submit(scene, "/once/1", 900);
	test_advance_time(scene, 800 * TEST_MS);
	assert_int_equal(scene->attempts->len, 1);
	assert_false(test_attempt_at(scene, 0)->cancelled);
	test_advance_time(scene, 200 * TEST_MS);
	assert_int_equal(test_last_answer(scene)->status, 504);
	assert_false(test_attempt_at(scene, 0)->cancelled);
	test_free_gate(scene);
}

/*
 * Story: a connection hangs until the request's time is over.  No byte has
 * left, so that the caller is told that it was not run, and may ask again.
 */
static void test_what_never_left_was_not_run(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);

	scene->nothing_sent = true;
	test_submit(scene, "/once/1", 300);
	test_advance_time(scene, 400 * TEST_MS);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_true(test_attempt_at(scene, 0)->cancelled);
	test_free_gate(scene);
}

/* A caller that closed its side gets what comes soon, and costs nothing new. */
static void test_a_caller_leaves(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	uint64_t id;

	test_earn_retry_budget(scene, "/search/1");
	id = test_submit(scene, "/search/1", 900);
	rr_gate_half_close(scene->ctx, scene->gate, scene->now_us, id);
	test_advance_time(scene, 100 * TEST_MS);
	assert_int_equal(scene->attempts->len, 4);
	assert_int_equal(test_count_open_attempts(scene), 4);
	test_advance_time(scene, 200 * TEST_MS);
	assert_int_equal(test_count_open_attempts(scene), 0);
	assert_int_equal(rr_gate_count_requests(scene->gate), 0);
	test_free_gate(scene);
}

static void test_a_caller_is_gone(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	uint64_t id = test_submit(scene, "/search/1", 900);

	rr_gate_abandon(scene->ctx, scene->gate, scene->now_us, id);
	assert_int_equal(test_count_open_attempts(scene), 0);
	test_advance_time(scene, 2000 * TEST_MS);
	assert_int_equal(scene->answers->len, 0);
	test_free_gate(scene);
}

/* A reservation that was sent runs to its end though its caller left. */
static void test_what_runs_once_outlives_its_caller(void **state)
{
	struct gate_fixture *scene =
		test_start_gate(&test_non_idempotent_route);
	uint64_t id = test_submit(scene, "/once/1", 900);

	rr_gate_abandon(scene->ctx, scene->gate, scene->now_us, id);
	assert_false(test_attempt_at(scene, 0)->cancelled);
	test_advance_time(scene, 500 * TEST_MS);
	test_reply_all(scene);
	assert_int_equal(scene->answers->len, 0);
	test_free_gate(scene);
}

static void test_split_by_weight(void **state)
{
	static const double weights[] = { 3, 1 };
	const struct test_route route = {
		.name = "split",
		.prefix = "/split/",
		.services = two_services,
		.weights = weights,
		.max_attempts = 1,
	};
	struct gate_fixture *scene = test_start_gate(&route);
	int first = 0;

	for (int i = 0; i < 400; i++) {
		test_submit(scene, "/split/1", 900);
		if (test_attempt_at(scene, scene->attempts->len - 1)
			    ->endpoint[0] == 's')
			first++;
		test_reply_all(scene);
	}
	assert_in_range(first, 299, 301);
	test_free_gate(scene);
}

/* At its limit a replica gets no more; work waits here and is then sent. */
static void test_work_waits_for_room(void **state)
{
	const struct test_route route = {
		.name = "often",
		.prefix = "/often/",
		.services = one_service,
		.max_attempts = 1,
		.objective_ms = 250,
		.timeout_ms = 4000,
	};
	struct gate_fixture *scene = test_new_gate(7);

	test_list_replica(scene, "s.a", "s", "a");
	test_set_routes(scene, 5, &route, 1);
	for (int i = 0; i < 4; i++)
		test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 1);
	for (int i = 0; i < 4; i++) {
		test_advance_time(scene, 5 * TEST_MS);
		test_reply_all(scene);
	}
	assert_int_equal(scene->answers->len, 4);
	assert_int_equal(scene->attempts->len, 4);
	test_free_gate(scene);
}

/*
 * Story: every attempt fails at first, for ten seconds, at ten instances.
 * Whatever they repeat and hedge, the service gets no more extra attempts in
 * any ten seconds than 0.2 of its requests and 50.
 */
static void test_budget_of_all_instances(void **state)
{
	const int n = 10;
	struct gate_fixture *scenes[10];
	int per_instance = 0;
	int extras = 0;

	for (int i = 0; i < n; i++) {
		scenes[i] = test_start_gate(&test_idempotent_route);
		/* An idle minute must not save up more than the slack. */
		test_advance_time(scenes[i], 60000 * TEST_MS);
	}
	for (int second = 0; second < 10; second++) {
		for (int i = 0; i < n; i++) {
			for (int k = 0; k < 20; k++) {
				guint before = scenes[i]->attempts->len;

				test_submit(scenes[i], "/often/1", 900);
				while (test_count_open_attempts(scenes[i]))
					test_reply(
						scenes[i],
						test_attempt_at(
							scenes[i],
							scenes[i]->attempts
									->len -
								1),
						RR_GATE_BROKEN, 0);
				extras += (int)(scenes[i]->attempts->len -
						before) -
					  1;
				test_advance_time(scenes[i], 50 * TEST_MS);
			}
		}
	}
	for (int i = 0; i < n; i++) {
		per_instance += (int)scenes[i]->attempts->len;
		test_free_gate(scenes[i]);
	}
	assert_true(extras <= 0.2 * 2000 + 50);
	assert_true(extras >= 0.15 * 2000);
	assert_true(per_instance >= 2000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_before_routes_are_known),
		cmocka_unit_test(test_no_route),
		cmocka_unit_test(test_near_replica_answers),
		cmocka_unit_test(test_what_may_have_run_is_not_repeated),
		cmocka_unit_test(test_proof_of_not_run_allows_another),
		cmocka_unit_test(test_all_refused_is_a_promise),
		cmocka_unit_test(test_one_lost_attempt_ends_the_promise),
		cmocka_unit_test(test_unsent_attempts_are_not_extra),
		cmocka_unit_test(test_no_extra_left_no_repeat),
		cmocka_unit_test(test_most_attempts),
		cmocka_unit_test(test_a_replicas_failure_is_forwarded),
		cmocka_unit_test(test_another_lifetime_retires_the_old_one),
		cmocka_unit_test(test_draining_replicas_get_nothing),
		cmocka_unit_test(test_lapsed_entries_are_a_last_resort),
		cmocka_unit_test(test_versions_only_grow),
		cmocka_unit_test(test_gather_whole),
		cmocka_unit_test(test_gather_at_the_cut),
		cmocka_unit_test(test_gather_too_few),
		cmocka_unit_test(test_gather_that_cannot_be_served),
		cmocka_unit_test(test_hedge_and_loser),
		cmocka_unit_test(test_what_runs_once_is_not_hedged),
		cmocka_unit_test(test_what_never_left_was_not_run),
		cmocka_unit_test(test_a_caller_leaves),
		cmocka_unit_test(test_a_caller_is_gone),
		cmocka_unit_test(test_what_runs_once_outlives_its_caller),
		cmocka_unit_test(test_split_by_weight),
		cmocka_unit_test(test_work_waits_for_room),
		cmocka_unit_test(test_budget_of_all_instances),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
