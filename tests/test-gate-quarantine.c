/*
 * test-gate-quarantine.c - a request that crashes the replicas that run it,
 * and those that run beside it.
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

static const struct rr_fingerprint deadly = { 7, 1 };
static const struct rr_fingerprint other = { 7, 2 };

static struct gate_fixture *new_scene(const struct test_route *route)
{
	struct gate_fixture *scene = test_start_gate(route);
	char *path = g_strconcat(route->prefix, "1", NULL);

	test_earn_retry_budget(scene, path);
	g_free(path);
	g_ptr_array_set_size(scene->attempts, 0);
	g_ptr_array_set_size(scene->answers, 0);
	scene->fingerprint = deadly;
	return scene;
}

/* Closed all together, and then found to be gone: as bystanders see it. */
static void crash_at_once(struct gate_fixture *scene, guint n)
{
	for (guint i = 0; i < n; i++)
		test_close_attempt(scene, test_attempt_at(scene, i));
	for (guint i = 0; i < n; i++)
		test_report_probe(scene, test_attempt_at(scene, i)->incarnation,
				  false);
}

static struct test_sent_attempt *last_sent(struct gate_fixture *scene)
{
	return test_attempt_at(scene, scene->attempts->len - 1);
}

static void assert_refused(struct gate_fixture *scene, const char *path)
{
	guint sent = scene->attempts->len;

	test_submit(scene, path, 900);
	assert_int_equal(scene->attempts->len, sent);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_string_equal(test_last_answer(scene)->reason, "quarantined");
}

/* Put it into quarantine, as others tell. */
static void tell_quarantine(struct gate_fixture *scene)
{
	char *crashed[] = { (char *)"x", (char *)"y", (char *)"z", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = deadly,
		.crashed = crashed,
		.quarantined = true,
	};

	rr_gate_apply_quarantine(scene->ctx, scene->gate, scene->now_us,
				 &deadly, &entry);
}

/* Guards against a search that takes along a replica of each shard, twice. */
static void test_a_search_goes_on_as_a_canary(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 4);
	test_advance_time(scene, TEST_MS);
	crash_at_once(scene, 2);
	/* Each was repeated before the first crash was known; one goes on. */
	assert_int_equal(scene->attempts->len, 6);
	assert_int_equal(test_count_open_attempts(scene), 1);
	test_advance_time(scene, 100 * TEST_MS);
	assert_int_equal(scene->attempts->len, 6);
	test_crash_replica(scene, last_sent(scene));
	assert_int_equal(scene->attempts->len, 6);
	assert_int_equal(test_last_answer(scene)->status, 502);
	assert_true(test_last_report(scene)->entry->quarantined);
	assert_refused(scene, "/search/1");
	assert_true(test_last_answer(scene)->retry_after_ms <= HOLD_MS);
	assert_true(test_last_answer(scene)->retry_after_ms > HOLD_MS - 1000);
	test_free_gate(scene);
}

/* Guards against a canary that costs others more than one attempt's time. */
static void test_a_bystander_is_served(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, TEST_MS);
	crash_at_once(scene, 3);
	assert_int_equal(test_count_open_attempts(scene), 1);
	test_reply(scene, last_sent(scene), RR_GATE_ANSWERED, 200);
	assert_int_equal(test_count_open_attempts(scene), 3);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->status, 200);
	assert_int_equal(test_last_answer(scene)->missing, 0);
	assert_null(test_last_report(scene));
	g_ptr_array_set_size(scene->attempts, 0);
	test_advance_time(scene, 20000 * TEST_MS);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 4);
	test_free_gate(scene);
}

/* Guards against caution where replicas lose answers, and do not crash. */
static void test_lost_answers_are_asked_again_at_once(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, TEST_MS);
	for (guint i = 0; i < 4; i++)
		test_close_attempt(scene, test_attempt_at(scene, i));
	assert_int_equal(test_count_open_attempts(scene), 4);
	for (guint i = 0; i < 4; i++)
		test_report_probe(scene, test_attempt_at(scene, i)->incarnation,
				  true);
	assert_int_equal(test_count_open_attempts(scene), 4);
	test_free_gate(scene);
}

/* Guards against a canary that waits for the probe of a replica that is gone. */
static void test_a_replica_that_is_replaced_has_crashed(void **state)
{
	struct gate_fixture *scene = new_scene(&test_non_idempotent_route);
	struct test_incarnation born = { .service = "s", .started_ms = 5 };

	(void)state;
	test_submit(scene, "/once/1", 900);
	test_close_attempt(scene, last_sent(scene));
	assert_null(test_last_report(scene));
	born.id = last_sent(scene)->endpoint;
	born.zone = strchr(born.id, '.') + 1;
	test_list_incarnation(scene, &born);
	assert_non_null(test_last_report(scene));
	test_free_gate(scene);
}

/* Guards against a canary that is ended by a lost answer. */
static void test_a_canary_whose_answer_is_lost_goes_on(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, TEST_MS);
	crash_at_once(scene, 1);
	assert_int_equal(test_count_open_attempts(scene), 1);
	test_close_attempt(scene, last_sent(scene));
	assert_int_equal(test_count_open_attempts(scene), 0);
	test_report_probe(scene, last_sent(scene)->incarnation, true);
	assert_int_equal(test_count_open_attempts(scene), 1);
	test_reply(scene, last_sent(scene), RR_GATE_ANSWERED, 200);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->status, 200);
	test_free_gate(scene);
}

/* Guards against replicas over their cap, which reset what is too much. */
static void test_a_reset_is_no_crash(void **state)
{
	struct gate_fixture *scene = new_scene(&test_non_idempotent_route);

	(void)state;
	for (int i = 0; i < 5; i++) {
		test_submit(scene, "/once/1", 900);
		test_close_attempt(scene, last_sent(scene));
		test_report_probe(scene, last_sent(scene)->incarnation, true);
		test_advance_time(scene, 100 * TEST_MS);
	}
	assert_null(test_last_report(scene));
	assert_int_equal(scene->attempts->len, 5);
	test_free_gate(scene);
}

/* Guards against planned ends that are taken for crashes. */
static void test_replicas_that_leave_do_not_count(void **state)
{
	struct gate_fixture *scene = new_scene(&test_non_idempotent_route);
	struct test_sent_attempt *sent;

	(void)state;
	test_submit(scene, "/once/1", 900);
	sent = last_sent(scene);
	test_list_draining_replica(scene, sent->endpoint, "s",
				   strchr(sent->endpoint, '.') + 1);
	g_ptr_array_set_size(scene->probes, 0);
	test_close_attempt(scene, sent);
	assert_int_equal(scene->probes->len, 0);
	test_report_probe(scene, sent->incarnation, false);
	assert_null(test_last_report(scene));
	test_free_gate(scene);
}

/* Guards against a write for each request that a kill from outside cut. */
static void test_a_killed_replica_condemns_nobody(void **state)
{
	struct gate_fixture *scene = new_scene(&test_idempotent_route);

	(void)state;
	test_submit(scene, "/often/1", 900);
	test_crash_replica(scene, test_attempt_at(scene, 0));
	assert_int_equal(scene->attempts->len, 2);
	test_reply(scene, test_attempt_at(scene, 1), RR_GATE_ANSWERED, 200);
	assert_int_equal(test_last_answer(scene)->status, 200);
	assert_null(test_last_report(scene));
	test_free_gate(scene);
}

/*
 * Guards against one that runs beside the deadly one again and again: it ran
 * to its end a moment before.
 */
static void test_a_frequent_bystander_is_not_condemned(void **state)
{
	struct gate_fixture *scene = new_scene(&test_idempotent_route);

	(void)state;
	scene->fingerprint = other;
	for (int i = 0; i < 6; i++) {
		char *id = g_strdup_printf("r%d", i);

		test_submit(scene, "/often/1", 900);
		test_reply(scene, last_sent(scene), RR_GATE_ANSWERED, 200);
		test_submit(scene, "/often/1", 900);
		while (test_count_open_attempts(scene))
			test_crash_replica(scene, last_sent(scene));
		assert_int_equal(test_last_answer(scene)->status, 502);
		test_list_replica(scene, id, "s", "a");
		test_advance_time(scene, 2000 * TEST_MS);
		g_free(id);
	}
	assert_null(test_last_report(scene));
	test_free_gate(scene);
}

/* What one instance reports, the others learn. */
static void pass_on(struct gate_fixture *from, struct gate_fixture *const *to)
{
	struct test_report *report = test_last_report(from);

	for (; report && *to; to++)
		rr_gate_apply_quarantine((*to)->ctx, (*to)->gate, (*to)->now_us,
					 &report->entry->fingerprint,
					 report->entry);
}

/* An instance that knows one replica, which nobody else does. */
static struct gate_fixture *scene_with(const char *replica)
{
	struct gate_fixture *scene = test_new_gate(1);

	test_list_replica(scene, replica, "s", "a");
	test_set_routes(scene, 5, &test_non_idempotent_route, 1);
	test_advance_time(scene, TEST_MS);
	scene->fingerprint = deadly;
	return scene;
}

/* Guards against crashes that no instance counts to three by itself. */
static void test_instances_add_up_what_they_see(void **state)
{
	struct gate_fixture *scenes[] = { scene_with("p"), scene_with("q"),
					  scene_with("r"), NULL };

	(void)state;
	for (int i = 0; scenes[i]; i++) {
		test_submit(scenes[i], "/once/1", 900);
		test_crash_replica(scenes[i], last_sent(scenes[i]));
		assert_int_equal(
			test_last_report(scenes[i])->entry->quarantined,
			i == 2);
		pass_on(scenes[i], scenes);
		for (int j = 0; scenes[j]; j++)
			test_advance_time(scenes[j], 100 * TEST_MS);
	}
	for (int i = 0; scenes[i]; i++) {
		assert_refused(scenes[i], "/once/1");
		test_free_gate(scenes[i]);
	}
}

/* Guards against attempts that go on after others have told. */
static void test_what_is_under_way_ends_when_others_tell(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	test_submit(scene, "/search/1", 900);
	tell_quarantine(scene);
	assert_int_equal(test_count_open_attempts(scene), 0);
	assert_int_equal(test_last_answer(scene)->status, 502);
	assert_refused(scene, "/search/1");
	scene->fingerprint = other;
	test_submit(scene, "/search/1", 900);
	assert_int_equal(test_count_open_attempts(scene), 4);
	test_free_gate(scene);
}

/* Guards against "outcome unknown" where nothing has left. */
static void test_what_has_not_left_was_not_run(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	scene->nothing_sent = true;
	test_submit(scene, "/search/1", 900);
	tell_quarantine(scene);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/* One that others suspect is sent to one replica first. */
static void test_a_suspected_search_starts_as_a_canary(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);
	char *crashed[] = { (char *)"x", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = deadly,
		.crashed = crashed,
	};

	(void)state;
	rr_gate_apply_quarantine(scene->ctx, scene->gate, scene->now_us,
				 &deadly, &entry);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 1);
	test_reply(scene, last_sent(scene), RR_GATE_ANSWERED, 200);
	assert_int_equal(scene->attempts->len, 4);
	/* It ran to its end: the others are told. */
	assert_true(test_last_report(scene)->released);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->missing, 0);
	test_free_gate(scene);
}

/* Guards against crashes that count only while their caller waits. */
static void test_a_caller_that_leaves_changes_nothing(void **state)
{
	struct gate_fixture *scene = new_scene(&test_non_idempotent_route);
	uint64_t id;

	(void)state;
	id = test_submit(scene, "/once/1", 900);
	rr_gate_abandon(scene->ctx, scene->gate, scene->now_us, id);
	test_crash_replica(scene, last_sent(scene));
	assert_non_null(test_last_report(scene));
	test_free_gate(scene);
}

/* Claim the trial of one in quarantine, whose time has come. */
static void claim(struct gate_fixture *scene, const char *path)
{
	guint sent = scene->attempts->len;

	test_submit(scene, path, 900);
	assert_int_equal(scene->attempts->len, sent);
	assert_true(test_last_report(scene)->claim);
}

static void answer_claim(struct gate_fixture *scene, bool granted)
{
	rr_gate_handle_claim_result(scene->ctx, scene->gate, scene->now_us,
				    test_last_report(scene)->entry, granted);
}

/* Guards against a wrong quarantine that lasts. */
static void test_a_trial_that_is_answered_ends_it(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	tell_quarantine(scene);
	test_advance_time(scene, (int64_t)HOLD_MS * TEST_MS);
	claim(scene, "/search/1");
	/* Only one at a time. */
	assert_refused(scene, "/search/1");
	answer_claim(scene, true);
	assert_int_equal(test_count_open_attempts(scene), 1);
	assert_refused(scene, "/search/1");
	test_reply(scene, last_sent(scene), RR_GATE_ANSWERED, 200);
	assert_true(test_last_report(scene)->released);
	assert_int_equal(test_count_open_attempts(scene), 3);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->status, 200);
	g_ptr_array_set_size(scene->attempts, 0);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 4);
	test_free_gate(scene);
}

/* Guards against trials without end: two at the most, one attempt each. */
static void test_a_trial_that_crashes_goes_on_with_it(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	tell_quarantine(scene);
	test_advance_time(scene, (int64_t)HOLD_MS * TEST_MS);
	for (uint32_t trial = 1; trial <= 2; trial++) {
		claim(scene, "/search/1");
		answer_claim(scene, true);
		test_crash_replica(scene, last_sent(scene));
		assert_int_equal(test_last_answer(scene)->status, 502);
		assert_int_equal(scene->attempts->len, trial);
		test_advance_time(scene, (int64_t)HOLD_MS * TEST_MS);
		assert_refused(scene, "/search/1");
		test_advance_time(scene, 3 * (int64_t)HOLD_MS * TEST_MS);
	}
	test_advance_time(scene, 100 * (int64_t)HOLD_MS * TEST_MS);
	assert_refused(scene, "/search/1");
	test_free_gate(scene);
}

/* Guards against two instances that try it at once, and a store that is away. */
static void test_a_trial_needs_the_claim(void **state)
{
	struct gate_fixture *scene = new_scene(&test_idempotent_route);

	(void)state;
	tell_quarantine(scene);
	test_advance_time(scene, (int64_t)HOLD_MS * TEST_MS);
	claim(scene, "/often/1");
	answer_claim(scene, false);
	assert_int_equal(test_last_answer(scene)->status, 503);
	claim(scene, "/often/1");
	test_advance_time(scene, 300 * TEST_MS);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_int_equal(scene->attempts->len, 0);
	/* Granted too late: nobody waits for it any more. */
	answer_claim(scene, true);
	assert_int_equal(scene->attempts->len, 0);
	test_free_gate(scene);
}

/* Guards against a strong instance whose refusal leads to the next one. */
static void test_one_that_was_handed_over_is_refused_for_good(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);
	struct rr_gate_request_info ask = {
		.host = "h",
		.path = "/search/1",
		.path_length = strlen("/search/1"),
		.fingerprint = deadly,
		.deadline_ms = 900,
		.forward_deadline_us = 80 * TEST_MS,
	};

	(void)state;
	tell_quarantine(scene);
	rr_gate_submit(scene->ctx, scene->gate, scene->now_us, &ask);
	assert_int_equal(test_last_answer(scene)->status, 429);
	test_free_gate(scene);
}

/* Operators remove its entry. */
static void test_a_removed_entry_ends_it(void **state)
{
	struct gate_fixture *scene = new_scene(&test_search_route);

	(void)state;
	tell_quarantine(scene);
	assert_refused(scene, "/search/1");
	rr_gate_apply_quarantine(scene->ctx, scene->gate, scene->now_us,
				 &deadly, NULL);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(test_count_open_attempts(scene), 4);
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_search_goes_on_as_a_canary),
		cmocka_unit_test(test_a_bystander_is_served),
		cmocka_unit_test(test_lost_answers_are_asked_again_at_once),
		cmocka_unit_test(test_a_canary_whose_answer_is_lost_goes_on),
		cmocka_unit_test(test_a_replica_that_is_replaced_has_crashed),
		cmocka_unit_test(test_a_reset_is_no_crash),
		cmocka_unit_test(test_replicas_that_leave_do_not_count),
		cmocka_unit_test(test_a_killed_replica_condemns_nobody),
		cmocka_unit_test(test_a_frequent_bystander_is_not_condemned),
		cmocka_unit_test(test_instances_add_up_what_they_see),
		cmocka_unit_test(test_what_is_under_way_ends_when_others_tell),
		cmocka_unit_test(test_what_has_not_left_was_not_run),
		cmocka_unit_test(test_a_suspected_search_starts_as_a_canary),
		cmocka_unit_test(test_a_caller_that_leaves_changes_nothing),
		cmocka_unit_test(test_a_trial_that_is_answered_ends_it),
		cmocka_unit_test(test_a_trial_that_crashes_goes_on_with_it),
		cmocka_unit_test(test_a_trial_needs_the_claim),
		cmocka_unit_test(
			test_one_that_was_handed_over_is_refused_for_good),
		cmocka_unit_test(test_a_removed_entry_ends_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
