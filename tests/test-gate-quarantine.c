/*
 * test-gate-quarantine.c - requests that crash replicas, and bystanders.
 *
 * A bystander is a harmless request in flight at a replica when another request
 * crashes it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

#define HOLD_MS ((uint32_t)600000)

static const struct rr_fingerprint crashing = { 7, 1 };
static const struct rr_fingerprint other = { 7, 2 };

static struct gate_fixture *new_fixture(const struct test_route *route)
{
	struct gate_fixture *fixture = test_start_gate(route);
	char *path = g_strconcat(route->prefix, "1", NULL);

	test_earn_retry_budget(fixture, path);
	g_free(path);
	g_ptr_array_set_size(fixture->attempts, 0);
	g_ptr_array_set_size(fixture->answers, 0);
	fixture->fingerprint = crashing;
	return fixture;
}

/*
 * Closes the first `n` attempts before the probe of any of their replicas
 * fails, which is how bystanders are affected by a crash.
 */
static void crash_at_once(struct gate_fixture *fixture, guint n)
{
	for (guint i = 0; i < n; i++)
		test_close_attempt(fixture, test_attempt_at(fixture, i));
	for (guint i = 0; i < n; i++)
		test_report_probe(fixture,
				  test_attempt_at(fixture, i)->incarnation,
				  false);
}

static struct test_sent_attempt *last_sent(struct gate_fixture *fixture)
{
	return test_attempt_at(fixture, fixture->attempts->len - 1);
}

static void assert_rejected(struct gate_fixture *fixture, const char *path)
{
	guint sent = fixture->attempts->len;

	test_submit(fixture, path, 900);
	assert_int_equal(fixture->attempts->len, sent);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	assert_string_equal(test_last_answer(fixture)->reason, "quarantined");
}

/* Quarantines the request by an entry from another instance. */
static void apply_quarantine(struct gate_fixture *fixture)
{
	char *crashed[] = { (char *)"x", (char *)"y", (char *)"z", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = crashing,
		.crashed = crashed,
		.quarantined = true,
	};

	rr_gate_apply_quarantine(fixture->ctx, fixture->gate, fixture->now_us,
				 &crashing, &entry);
}

/* Guards against a search that crashes two replicas of every shard. */
static void test_search_continues_as_canary(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(fixture->attempts->len, 4);
	test_advance_time(fixture, TEST_MS);
	crash_at_once(fixture, 2);
	/*
	 * Both were retried before the first crash was known; one retry
	 * remains.
	 */
	assert_int_equal(fixture->attempts->len, 6);
	assert_int_equal(test_count_open_attempts(fixture), 1);
	test_advance_time(fixture, 100 * TEST_MS);
	assert_int_equal(fixture->attempts->len, 6);
	test_crash_replica(fixture, last_sent(fixture));
	assert_int_equal(fixture->attempts->len, 6);
	assert_int_equal(test_last_answer(fixture)->status, 502);
	assert_true(test_last_report(fixture)->entry->quarantined);
	assert_rejected(fixture, "/search/1");
	assert_true(test_last_answer(fixture)->retry_after_ms <= HOLD_MS);
	assert_true(test_last_answer(fixture)->retry_after_ms > HOLD_MS - 1000);
	test_free_gate(fixture);
}

/* Guards against a canary that delays a bystander by more than one attempt. */
static void test_bystander_is_served(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	test_submit(fixture, "/search/1", 900);
	test_advance_time(fixture, TEST_MS);
	crash_at_once(fixture, 3);
	assert_int_equal(test_count_open_attempts(fixture), 1);
	test_reply(fixture, last_sent(fixture), RR_GATE_ANSWERED, 200);
	assert_int_equal(test_count_open_attempts(fixture), 3);
	test_reply_all(fixture);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	assert_int_equal(test_last_answer(fixture)->missing, 0);
	assert_null(test_last_report(fixture));
	g_ptr_array_set_size(fixture->attempts, 0);
	test_advance_time(fixture, 20000 * TEST_MS);
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(fixture->attempts->len, 4);
	test_free_gate(fixture);
}

/* Guards against canaries where replicas lose responses but do not crash. */
static void test_lost_responses_are_retried_at_once(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	test_submit(fixture, "/search/1", 900);
	test_advance_time(fixture, TEST_MS);
	for (guint i = 0; i < 4; i++)
		test_close_attempt(fixture, test_attempt_at(fixture, i));
	assert_int_equal(test_count_open_attempts(fixture), 4);
	for (guint i = 0; i < 4; i++)
		test_report_probe(fixture,
				  test_attempt_at(fixture, i)->incarnation,
				  true);
	assert_int_equal(test_count_open_attempts(fixture), 4);
	test_free_gate(fixture);
}

/* Guards against waiting for the probe of a replica that was replaced. */
static void test_replaced_replica_has_crashed(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_non_idempotent_route);
	struct test_incarnation successor = { .service = "s", .started_ms = 5 };

	(void)state;
	test_submit(fixture, "/once/1", 900);
	test_close_attempt(fixture, last_sent(fixture));
	assert_null(test_last_report(fixture));
	successor.id = last_sent(fixture)->endpoint;
	successor.zone = strchr(successor.id, '.') + 1;
	test_list_incarnation(fixture, &successor);
	assert_non_null(test_last_report(fixture));
	test_free_gate(fixture);
}

/* Guards against a canary request that fails on a lost response. */
static void test_canary_continues_after_lost_response(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	test_submit(fixture, "/search/1", 900);
	test_advance_time(fixture, TEST_MS);
	crash_at_once(fixture, 1);
	assert_int_equal(test_count_open_attempts(fixture), 1);
	test_close_attempt(fixture, last_sent(fixture));
	assert_int_equal(test_count_open_attempts(fixture), 0);
	test_report_probe(fixture, last_sent(fixture)->incarnation, true);
	assert_int_equal(test_count_open_attempts(fixture), 1);
	test_reply(fixture, last_sent(fixture), RR_GATE_ANSWERED, 200);
	test_reply_all(fixture);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	test_free_gate(fixture);
}

/*
 * Guards against resets taken for crashes: replicas reset connections over
 * their limit.
 */
static void test_reset_is_not_a_crash(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_non_idempotent_route);

	(void)state;
	for (int i = 0; i < 5; i++) {
		test_submit(fixture, "/once/1", 900);
		test_close_attempt(fixture, last_sent(fixture));
		test_report_probe(fixture, last_sent(fixture)->incarnation,
				  true);
		test_advance_time(fixture, 100 * TEST_MS);
	}
	assert_null(test_last_report(fixture));
	assert_int_equal(fixture->attempts->len, 5);
	test_free_gate(fixture);
}

/* Guards against planned exits taken for crashes. */
static void test_draining_replicas_do_not_count(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_non_idempotent_route);
	struct test_sent_attempt *sent;

	(void)state;
	test_submit(fixture, "/once/1", 900);
	sent = last_sent(fixture);
	test_list_draining_replica(fixture, sent->endpoint, "s",
				   strchr(sent->endpoint, '.') + 1);
	g_ptr_array_set_size(fixture->probes, 0);
	test_close_attempt(fixture, sent);
	assert_int_equal(fixture->probes->len, 0);
	test_report_probe(fixture, sent->incarnation, false);
	assert_null(test_last_report(fixture));
	test_free_gate(fixture);
}

/* Guards against a store write for each request of a replica that is killed. */
static void test_killed_replica_quarantines_nothing(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_idempotent_route);

	(void)state;
	test_submit(fixture, "/often/1", 900);
	test_crash_replica(fixture, test_attempt_at(fixture, 0));
	assert_int_equal(fixture->attempts->len, 2);
	test_reply(fixture, test_attempt_at(fixture, 1), RR_GATE_ANSWERED, 200);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	assert_null(test_last_report(fixture));
	test_free_gate(fixture);
}

/*
 * Guards against quarantine of a frequent bystander, which completed shortly
 * before each crash.
 */
static void test_frequent_bystander_is_not_quarantined(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_idempotent_route);

	(void)state;
	fixture->fingerprint = other;
	for (int i = 0; i < 6; i++) {
		char *id = g_strdup_printf("r%d", i);

		test_submit(fixture, "/often/1", 900);
		test_reply(fixture, last_sent(fixture), RR_GATE_ANSWERED, 200);
		test_submit(fixture, "/often/1", 900);
		while (test_count_open_attempts(fixture))
			test_crash_replica(fixture, last_sent(fixture));
		assert_int_equal(test_last_answer(fixture)->status, 502);
		test_list_replica(fixture, id, "s", "a");
		test_advance_time(fixture, 2000 * TEST_MS);
		g_free(id);
	}
	assert_null(test_last_report(fixture));
	test_free_gate(fixture);
}

/* Applies the last report of one instance to the others. */
static void propagate_report(struct gate_fixture *from,
			     struct gate_fixture *const *to)
{
	struct test_report *report = test_last_report(from);

	for (; report && *to; to++)
		rr_gate_apply_quarantine((*to)->ctx, (*to)->gate, (*to)->now_us,
					 &report->entry->fingerprint,
					 report->entry);
}

/* Returns an instance that knows one replica, unknown to the others. */
static struct gate_fixture *new_fixture_with(const char *replica)
{
	struct gate_fixture *fixture = test_new_gate(1);

	test_list_replica(fixture, replica, "s", "a");
	test_set_routes(fixture, 5, &test_non_idempotent_route, 1);
	test_advance_time(fixture, TEST_MS);
	fixture->fingerprint = crashing;
	return fixture;
}

/* Guards against crashes of which no instance sees three itself. */
static void test_crashes_add_up_across_instances(void **state)
{
	struct gate_fixture *fixtures[] = { new_fixture_with("p"),
					    new_fixture_with("q"),
					    new_fixture_with("r"), NULL };

	(void)state;
	for (int i = 0; fixtures[i]; i++) {
		test_submit(fixtures[i], "/once/1", 900);
		test_crash_replica(fixtures[i], last_sent(fixtures[i]));
		assert_int_equal(
			test_last_report(fixtures[i])->entry->quarantined,
			i == 2);
		propagate_report(fixtures[i], fixtures);
		for (int j = 0; fixtures[j]; j++)
			test_advance_time(fixtures[j], 100 * TEST_MS);
	}
	for (int i = 0; fixtures[i]; i++) {
		assert_rejected(fixtures[i], "/once/1");
		test_free_gate(fixtures[i]);
	}
}

/* Guards against attempts that continue after a peer reports a quarantine. */
static void test_reported_quarantine_cancels_attempts(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	test_submit(fixture, "/search/1", 900);
	apply_quarantine(fixture);
	assert_int_equal(test_count_open_attempts(fixture), 0);
	assert_int_equal(test_last_answer(fixture)->status, 502);
	assert_rejected(fixture, "/search/1");
	fixture->fingerprint = other;
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(test_count_open_attempts(fixture), 4);
	test_free_gate(fixture);
}

/* Guards against "outcome unknown" although no attempt was sent. */
static void test_unsent_request_was_not_run(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	fixture->nothing_sent = true;
	test_submit(fixture, "/search/1", 900);
	apply_quarantine(fixture);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	test_free_gate(fixture);
}

/* A request that another instance suspects is first sent to one replica. */
static void test_suspected_search_starts_as_canary(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);
	char *crashed[] = { (char *)"x", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = crashing,
		.crashed = crashed,
	};

	(void)state;
	rr_gate_apply_quarantine(fixture->ctx, fixture->gate, fixture->now_us,
				 &crashing, &entry);
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(fixture->attempts->len, 1);
	test_reply(fixture, last_sent(fixture), RR_GATE_ANSWERED, 200);
	assert_int_equal(fixture->attempts->len, 4);
	/* It completed, so its release is reported. */
	assert_true(test_last_report(fixture)->released);
	test_reply_all(fixture);
	assert_int_equal(test_last_answer(fixture)->missing, 0);
	test_free_gate(fixture);
}

/* Guards against crashes that count only while the caller waits. */
static void test_crash_counts_after_caller_closed(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_non_idempotent_route);
	uint64_t id;

	(void)state;
	id = test_submit(fixture, "/once/1", 900);
	rr_gate_abandon(fixture->ctx, fixture->gate, fixture->now_us, id);
	test_crash_replica(fixture, last_sent(fixture));
	assert_non_null(test_last_report(fixture));
	test_free_gate(fixture);
}

/* Submits a quarantined request that is due for a trial. */
static void claim(struct gate_fixture *fixture, const char *path)
{
	guint sent = fixture->attempts->len;

	test_submit(fixture, path, 900);
	assert_int_equal(fixture->attempts->len, sent);
	assert_true(test_last_report(fixture)->claim);
}

static void answer_claim(struct gate_fixture *fixture, bool granted)
{
	rr_gate_handle_trial_claim_result(
		fixture->ctx, fixture->gate, fixture->now_us,
		test_last_report(fixture)->entry, granted);
}

/* Guards against a wrong quarantine that never ends. */
static void test_completed_trial_releases(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	apply_quarantine(fixture);
	test_advance_time(fixture, (int64_t)HOLD_MS * TEST_MS);
	claim(fixture, "/search/1");
	/* Only one trial at a time. */
	assert_rejected(fixture, "/search/1");
	answer_claim(fixture, true);
	assert_int_equal(test_count_open_attempts(fixture), 1);
	assert_rejected(fixture, "/search/1");
	test_reply(fixture, last_sent(fixture), RR_GATE_ANSWERED, 200);
	assert_true(test_last_report(fixture)->released);
	assert_int_equal(test_count_open_attempts(fixture), 3);
	test_reply_all(fixture);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	g_ptr_array_set_size(fixture->attempts, 0);
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(fixture->attempts->len, 4);
	test_free_gate(fixture);
}

/* Guards against unlimited trials: two at most, with one attempt each. */
static void test_crashed_trial_extends_quarantine(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	apply_quarantine(fixture);
	test_advance_time(fixture, (int64_t)HOLD_MS * TEST_MS);
	for (uint32_t trial = 1; trial <= 2; trial++) {
		claim(fixture, "/search/1");
		answer_claim(fixture, true);
		test_crash_replica(fixture, last_sent(fixture));
		assert_int_equal(test_last_answer(fixture)->status, 502);
		assert_int_equal(fixture->attempts->len, trial);
		test_advance_time(fixture, (int64_t)HOLD_MS * TEST_MS);
		assert_rejected(fixture, "/search/1");
		test_advance_time(fixture, 3 * (int64_t)HOLD_MS * TEST_MS);
	}
	test_advance_time(fixture, 100 * (int64_t)HOLD_MS * TEST_MS);
	assert_rejected(fixture, "/search/1");
	test_free_gate(fixture);
}

/*
 * Guards against trials by two instances at once, and without a reachable
 * store.
 */
static void test_trial_needs_a_claim(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_idempotent_route);

	(void)state;
	apply_quarantine(fixture);
	test_advance_time(fixture, (int64_t)HOLD_MS * TEST_MS);
	claim(fixture, "/often/1");
	answer_claim(fixture, false);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	claim(fixture, "/often/1");
	test_advance_time(fixture, 300 * TEST_MS);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	assert_int_equal(fixture->attempts->len, 0);
	/* Granted too late: the request has been answered. */
	answer_claim(fixture, true);
	assert_int_equal(fixture->attempts->len, 0);
	test_free_gate(fixture);
}

/* Guards against a request that waits for its claim beyond its deadline. */
static void test_claim_ends_at_deadline(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_idempotent_route);
	guint n_answers;

	(void)state;
	apply_quarantine(fixture);
	test_advance_time(fixture, (int64_t)HOLD_MS * TEST_MS);
	n_answers = fixture->answers->len;
	test_submit(fixture, "/often/1", 100);
	assert_true(test_last_report(fixture)->claim);
	test_advance_time(fixture, 99 * TEST_MS);
	assert_int_equal(fixture->answers->len, n_answers);
	test_advance_time(fixture, 2 * TEST_MS);
	assert_int_equal(fixture->answers->len, n_answers + 1);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	test_free_gate(fixture);
}

/* Guards against a planned stop that ends a request that waits for its claim. */
static void test_claim_ends_before_exit(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_idempotent_route);
	guint n_answers;

	(void)state;
	apply_quarantine(fixture);
	test_advance_time(fixture, (int64_t)HOLD_MS * TEST_MS);
	n_answers = fixture->answers->len;
	test_submit(fixture, "/often/1", 900);
	rr_gate_limit_answers(fixture->gate, fixture->now_us,
			      fixture->now_us + 100 * TEST_MS);
	test_advance_time(fixture, 101 * TEST_MS);
	assert_int_equal(fixture->answers->len, n_answers + 1);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	test_free_gate(fixture);
}

/* Guards against a rejected request that is forwarded to the next instance. */
static void test_forwarded_request_is_finally_rejected(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);
	struct rr_gate_request_info request = {
		.host = "h",
		.path = "/search/1",
		.path_length = strlen("/search/1"),
		.fingerprint = crashing,
		.deadline_ms = 900,
		.forward_deadline_us = 80 * TEST_MS,
	};

	(void)state;
	apply_quarantine(fixture);
	rr_gate_submit(fixture->ctx, fixture->gate, fixture->now_us, &request);
	assert_int_equal(test_last_answer(fixture)->status, 429);
	test_free_gate(fixture);
}

/* Operators remove the entry from the store. */
static void test_removed_entry_releases(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);

	(void)state;
	apply_quarantine(fixture);
	assert_rejected(fixture, "/search/1");
	rr_gate_apply_quarantine(fixture->ctx, fixture->gate, fixture->now_us,
				 &crashing, NULL);
	test_submit(fixture, "/search/1", 900);
	assert_int_equal(test_count_open_attempts(fixture), 4);
	test_free_gate(fixture);
}

/* Guards against a quarantine that ends with the loss of its entry. */
static void test_lost_entry_is_published_again(void **state)
{
	struct gate_fixture *fixture = new_fixture(&test_search_route);
	struct rr_fingerprint other = { .low = 1 };

	(void)state;
	apply_quarantine(fixture);
	assert_null(test_last_report(fixture));
	rr_gate_republish_quarantine(fixture->gate, fixture->now_us, &other);
	assert_null(test_last_report(fixture));
	rr_gate_republish_quarantine(fixture->gate, fixture->now_us, &crashing);
	assert_true(test_last_report(fixture)->entry->quarantined);
	assert_false(test_last_report(fixture)->released);
	assert_rejected(fixture, "/search/1");
	test_free_gate(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_search_continues_as_canary),
		cmocka_unit_test(test_bystander_is_served),
		cmocka_unit_test(test_lost_responses_are_retried_at_once),
		cmocka_unit_test(test_canary_continues_after_lost_response),
		cmocka_unit_test(test_replaced_replica_has_crashed),
		cmocka_unit_test(test_reset_is_not_a_crash),
		cmocka_unit_test(test_draining_replicas_do_not_count),
		cmocka_unit_test(test_killed_replica_quarantines_nothing),
		cmocka_unit_test(test_frequent_bystander_is_not_quarantined),
		cmocka_unit_test(test_crashes_add_up_across_instances),
		cmocka_unit_test(test_reported_quarantine_cancels_attempts),
		cmocka_unit_test(test_unsent_request_was_not_run),
		cmocka_unit_test(test_suspected_search_starts_as_canary),
		cmocka_unit_test(test_crash_counts_after_caller_closed),
		cmocka_unit_test(test_completed_trial_releases),
		cmocka_unit_test(test_crashed_trial_extends_quarantine),
		cmocka_unit_test(test_trial_needs_a_claim),
		cmocka_unit_test(test_claim_ends_at_deadline),
		cmocka_unit_test(test_claim_ends_before_exit),
		cmocka_unit_test(test_forwarded_request_is_finally_rejected),
		cmocka_unit_test(test_removed_entry_releases),
		cmocka_unit_test(test_lost_entry_is_published_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
