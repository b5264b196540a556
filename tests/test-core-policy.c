/*
 * test-core-policy.c - replica choice, limits, hedges, retries, admission and
 * drains, as observed at the fake replicas.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/fake-cluster.h"

static const char *const one_zone[] = { "ruaraka" };
static const char *const two_zones[] = { "ruaraka", "athi" };

struct fixture {
	struct fake_cluster *cluster;
	struct rr_config *config;
	struct rr_service_config *service;
	struct fake_instance *instance;
};

static struct fixture new_fixture(size_t n_shards, size_t n_replicas)
{
	struct fixture fixture = { .cluster = fake_new_cluster(21) };

	fixture.config = fake_config(1, n_shards, n_replicas, one_zone, 1);
	fixture.service = &fixture.config->services[0];
	fake_add_replicas(fixture.cluster, fixture.config);
	fixture.instance =
		fake_add_instance(fixture.cluster, "ruaraka-1", "ruaraka", 9);
	return fixture;
}

static void start(struct fixture *fixture)
{
	fake_set_config(fixture->instance, fixture->config);
	fake_run_for(fixture->cluster, 2500 * FAKE_MS);
}

static void drop_fixture(struct fixture *fixture)
{
	rr_drop_config(fixture->config);
	fake_drop_cluster(fixture->cluster);
}

static struct fake_answer *search(struct fixture *fixture)
{
	guint n = fixture->instance->answers->len;

	fake_search(fixture->instance);
	assert_true(fake_wait_for_answers(fixture->instance, n + 1));
	return fake_answer_at(fixture->instance, n);
}

static void search_repeatedly(struct fixture *fixture, int times)
{
	for (int i = 0; i < times; i++) {
		search(fixture);
		fake_run_for(fixture->cluster, 5 * FAKE_MS);
	}
}

/*
 * Guards against waiting for the whole time-out when a replica stalls: one
 * search in fifty did, as no other replica was tried before the time-out.
 */
static void test_straggler_is_hedged(void **state)
{
	struct fixture fixture = new_fixture(10, 2);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	start(&fixture);
	search_repeatedly(&fixture, 30);
	fake_replica(fixture.cluster, "s4a")->mode = FAKE_HANG;
	fake_replica(fixture.cluster, "s5b")->mode = FAKE_HANG;
	for (int i = 0; i < 4; i++) {
		before_us = fixture.cluster->now_us;
		answer = search(&fixture);
		assert_int_equal(answer->outcome, RR_COMPLETE);
		assert_true(answer->answered_us - before_us < 30 * FAKE_MS);
		fake_run_for(fixture.cluster, 50 * FAKE_MS);
	}
	assert_true(fake_counter_value(fixture.instance, RR_N_HEDGES) > 0);
	assert_int_equal(
		fake_counter_value(fixture.instance, RR_N_HEDGES),
		fake_counter_value(fixture.instance, RR_N_ATTEMPTS_CANCELLED));
	drop_fixture(&fixture);
}

/*
 * Guards against hedges and retries without a budget, which double the load
 * when all replicas become a little slower.
 */
static void test_extra_load_is_bounded(void **state)
{
	struct fixture fixture = new_fixture(10, 2);
	uint64_t extra;
	uint64_t needed;

	(void)state;
	start(&fixture);
	search_repeatedly(&fixture, 30);
	for (int i = 0; i < 10; i++) {
		for (int c = 'a'; c <= 'b'; c++) {
			char *id = g_strdup_printf("s%d%c", i, c);

			fake_replica(fixture.cluster, id)->latency_us =
				(i * 7 + c) % 60 * FAKE_MS;
			g_free(id);
		}
	}
	search_repeatedly(&fixture, 300);
	extra = fake_counter_value(fixture.instance, RR_N_HEDGES) +
		fake_counter_value(fixture.instance, RR_N_RETRIES);
	needed = fake_counter_value(fixture.instance, RR_N_ATTEMPTS) - extra;
	/* 5 % hedges, 10 % retries, and the initial tokens of the budgets. */
	assert_true(extra <= needed * 15 / 100 + 13);
	drop_fixture(&fixture);
}

/* With every attempt of every replica lost, retries stop at their budget. */
static void test_retries_stay_in_budget(void **state)
{
	struct fixture fixture = new_fixture(10, 2);

	(void)state;
	start(&fixture);
	for (int i = 0; i < 10; i++) {
		for (int c = 'a'; c <= 'b'; c++) {
			char *id = g_strdup_printf("s%d%c", i, c);

			fake_replica(fixture.cluster, id)->mode =
				FAKE_LOSE_REPLY;
			g_free(id);
		}
	}
	search_repeatedly(&fixture, 100);
	assert_in_range(fake_counter_value(fixture.instance, RR_N_RETRIES), 10,
			1000 / 10 + 10);
	assert_int_equal(fake_last_answer(fixture.instance)->outcome,
			 RR_PARTIAL);
	assert_true(
		fake_is_missing(fake_last_answer(fixture.instance), "s1:lost"));
	drop_fixture(&fixture);
}

/*
 * A shedding replica gets no attempts before its retry time; the other replica
 * of the shard serves instead.
 */
static void test_shedding_replica_is_skipped(void **state)
{
	struct fixture fixture = new_fixture(1, 2);
	struct fake_replica *shedding;
	uint32_t before;

	(void)state;
	start(&fixture);
	shedding = fake_replica(fixture.cluster, "s0a");
	shedding->mode = FAKE_SHED;
	shedding->retry_after_ms = 1000;
	search_repeatedly(&fixture, 20);
	before = shedding->attempts;
	assert_in_range(before, 1, 2);
	shedding->mode = FAKE_OK;
	fake_run_for(fixture.cluster, 1500 * FAKE_MS);
	search_repeatedly(&fixture, 20);
	assert_true(shedding->attempts > before);
	drop_fixture(&fixture);
}

/*
 * A replica that is being replaced still answers for half a minute, and
 * searches that it accepts then are aborted.  Guards against choosing it
 * although it has reported that it is draining.
 */
static void test_draining_replica_gets_no_new_attempts(void **state)
{
	struct fixture fixture = new_fixture(4, 2);
	struct fake_replica *draining;
	uint32_t before;

	(void)state;
	start(&fixture);
	search_repeatedly(&fixture, 20);
	draining = fake_replica(fixture.cluster, "s2a");
	draining->state = RR_UPSTREAM_DRAINING;
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	before = draining->attempts;
	search_repeatedly(&fixture, 100);
	assert_int_equal(draining->attempts, before);
	assert_int_equal(fake_last_answer(fixture.instance)->outcome,
			 RR_COMPLETE);
	/* Once ready, it is used again. */
	draining->state = RR_UPSTREAM_READY;
	fake_run_for(fixture.cluster, 5000 * FAKE_MS);
	search_repeatedly(&fixture, 50);
	assert_true(draining->attempts > before);
	drop_fixture(&fixture);
}

/*
 * Guards against counting truncated replies as successes: a replica that
 * truncates its bodies has the lowest latency and so attracted the attempts,
 * and every other search was late or missed a yard though the other replica of
 * the shard was healthy.
 */
static void test_truncated_bodies_are_not_successes(void **state)
{
	struct fixture fixture = new_fixture(4, 2);
	struct fake_replica *truncating;
	uint32_t before;

	(void)state;
	start(&fixture);
	search_repeatedly(&fixture, 20);
	truncating = fake_replica(fixture.cluster, "s2a");
	truncating->mode = FAKE_TRUNCATE;
	truncating->latency_us = FAKE_MS / 10;
	search_repeatedly(&fixture, 20);
	before = truncating->attempts;
	search_repeatedly(&fixture, 100);
	assert_in_range(truncating->attempts - before, 0, 10);
	assert_int_equal(fake_last_answer(fixture.instance)->outcome,
			 RR_COMPLETE);
	/* With complete bodies it is used again. */
	truncating->mode = FAKE_OK;
	before = truncating->attempts;
	fake_run_for(fixture.cluster, 30000 * FAKE_MS);
	search_repeatedly(&fixture, 100);
	assert_true(truncating->attempts - before > 10);
	drop_fixture(&fixture);
}

/*
 * Attempts queued for a replica that starts to drain move to the other replica
 * of the shard.
 */
static void test_drain_empties_the_queue(void **state)
{
	struct fixture fixture = new_fixture(1, 2);

	(void)state;
	fixture.service->slots = 1;
	start(&fixture);
	search_repeatedly(&fixture, 20);
	for (int i = 0; i < 8; i++)
		fake_search(fixture.instance);
	rr_core_hint_replica(fixture.instance->ctx, fixture.instance->core,
			     fixture.cluster->now_us, "s0a", 1,
			     RR_UPSTREAM_DRAINING);
	assert_true(fake_wait_for_answers(fixture.instance, 28));
	for (guint i = 20; i < 28; i++)
		assert_int_equal(fake_answer_at(fixture.instance, i)->outcome,
				 RR_COMPLETE);
	assert_int_equal(fake_counter_value(fixture.instance, RR_N_RETRIES), 0);
	drop_fixture(&fixture);
}

/*
 * An attempt that waits in a replica's own queue cannot be cancelled, and that
 * queue may be full.  So attempts are queued at the instance: never more
 * attempts than the two slots of a replica are in flight, and queued attempts
 * of a replica whose slots are full move to an idle replica of its shard.
 */
static void test_slots_limit_attempts_in_flight(void **state)
{
	struct fixture fixture = new_fixture(1, 2);
	uint32_t before;

	(void)state;
	fixture.service->slots = 2;
	start(&fixture);
	search_repeatedly(&fixture, 40);
	before = fake_total_attempts(fixture.cluster);
	for (int i = 0; i < 20; i++)
		fake_search(fixture.instance);
	assert_int_equal(fake_total_attempts(fixture.cluster) - before, 4);
	assert_true(fake_wait_for_answers(fixture.instance, 60));
	assert_int_equal(fake_total_attempts(fixture.cluster) - before, 20);
	drop_fixture(&fixture);
}

/*
 * A replica much slower than the others is ejected, although it reports that it
 * is ready.
 */
static void test_outlier_is_ejected(void **state)
{
	struct fixture fixture = new_fixture(8, 2);
	struct fake_replica *slow;
	uint32_t before;

	(void)state;
	fixture.service->attempt_timeout_ms = 400;
	start(&fixture);
	slow = fake_replica(fixture.cluster, "s3a");
	slow->latency_us = 40 * FAKE_MS;
	search_repeatedly(&fixture, 60);
	before = slow->attempts;
	search_repeatedly(&fixture, 60);
	assert_true(slow->attempts - before < 20);
	drop_fixture(&fixture);
}

/*
 * A dead replica is not used after two failed polls, and is used again once it
 * answers.
 */
static void test_dead_replica_recovers(void **state)
{
	struct fixture fixture = new_fixture(1, 2);
	struct fake_replica *dead;
	uint32_t before;

	(void)state;
	start(&fixture);
	dead = fake_replica(fixture.cluster, "s0a");
	dead->mode = FAKE_DOWN;
	fake_run_for(fixture.cluster, 6000 * FAKE_MS);
	before = dead->attempts;
	search_repeatedly(&fixture, 20);
	assert_int_equal(dead->attempts, before);
	dead->mode = FAKE_OK;
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	search_repeatedly(&fixture, 20);
	assert_true(dead->attempts > before);
	drop_fixture(&fixture);
}

/*
 * Guards against accepting all requests under overload: every caller then
 * waited for the whole deadline and got no answer.
 */
static void test_overload_is_rejected_at_once(void **state)
{
	struct fixture fixture = new_fixture(2, 1);
	guint rejected = 0;

	(void)state;
	fixture.service->slots = 1;
	fixture.service->max_open_requests = 50;
	start(&fixture);
	search_repeatedly(&fixture, 20);
	for (int i = 0; i < 300; i++)
		fake_search(fixture.instance);
	for (guint i = 20; i < fixture.instance->answers->len; i++) {
		struct fake_answer *answer =
			fake_answer_at(fixture.instance, i);

		assert_int_equal(answer->outcome, RR_NOT_RUN);
		assert_true(answer->retry_after_ms > 0);
		rejected++;
	}
	assert_int_equal(rejected, 250);
	assert_true(fake_wait_for_answers(fixture.instance, 320));
	assert_int_equal(
		fake_counter_value(fixture.instance, RR_N_ANSWERS_COMPLETE),
		70);
	drop_fixture(&fixture);
}

/*
 * Batch requests have a share of the capacity, and interactive ones go first.
 */
static void test_batch_has_a_share(void **state)
{
	struct fixture fixture = new_fixture(1, 1);
	struct rr_request batch = {
		.kind = RR_SEARCH,
		.service = "desk",
		.priority = RR_BATCH,
	};
	uint64_t interactive_query;

	(void)state;
	fixture.service->slots = 2;
	fixture.service->batch_share = 0.5;
	fixture.service->max_open_requests = 20;
	start(&fixture);
	search_repeatedly(&fixture, 20);
	for (int i = 0; i < 15; i++)
		fake_request(fixture.instance, &batch);
	assert_int_equal(fixture.instance->answers->len, 25);
	assert_string_equal(fake_last_answer(fixture.instance)->reason,
			    "batch-share-used");
	interactive_query = fake_search(fixture.instance);
	assert_true(fake_wait_for_answers(fixture.instance, 27));
	assert_true(fake_answer_at(fixture.instance, 25)->query_id ==
			    interactive_query ||
		    fake_answer_at(fixture.instance, 26)->query_id ==
			    interactive_query);
	drop_fixture(&fixture);
}

/* Only owners poll, each about once a second, also when polls are lost. */
static void test_polls_are_bounded(void **state)
{
	struct fixture fixture = new_fixture(1, 1);

	(void)state;
	start(&fixture);
	fake_replica(fixture.cluster, "s0a")->no_health = true;
	fake_replica(fixture.cluster, "s0a")->polls = 0;
	fake_run_for(fixture.cluster, 20000 * FAKE_MS);
	assert_in_range(fake_replica(fixture.cluster, "s0a")->polls, 8, 24);
	drop_fixture(&fixture);
}

/* The same events, times and seed give the same actions. */
static void test_runs_are_deterministic(void **state)
{
	GString *logs[2];

	(void)state;
	for (int run = 0; run < 2; run++) {
		struct fixture fixture = new_fixture(12, 2);

		start(&fixture);
		fake_replica(fixture.cluster, "s4a")->mode = FAKE_HANG;
		fake_replica(fixture.cluster, "s7b")->mode = FAKE_SHED;
		search_repeatedly(&fixture, 40);
		logs[run] = g_string_new(fixture.instance->log->str);
		drop_fixture(&fixture);
	}
	assert_string_equal(logs[0]->str, logs[1]->str);
	g_string_free(logs[0], TRUE);
	g_string_free(logs[1], TRUE);
}

/*
 * A replica in another zone serves when the one in the instance's zone is down.
 */
static void test_same_zone_replica_first(void **state)
{
	struct fixture fixture = new_fixture(1, 2);

	(void)state;
	g_free(fixture.service->shards[0].replicas[1].zone);
	fixture.service->shards[0].replicas[1].zone = g_strdup(two_zones[1]);
	start(&fixture);
	search_repeatedly(&fixture, 20);
	assert_int_equal(fake_replica(fixture.cluster, "s0b")->attempts, 0);
	fake_replica(fixture.cluster, "s0a")->mode = FAKE_DOWN;
	search_repeatedly(&fixture, 3);
	assert_int_equal(fake_last_answer(fixture.instance)->outcome,
			 RR_COMPLETE);
	assert_true(fake_replica(fixture.cluster, "s0b")->attempts > 0);
	drop_fixture(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_straggler_is_hedged),
		cmocka_unit_test(test_extra_load_is_bounded),
		cmocka_unit_test(test_retries_stay_in_budget),
		cmocka_unit_test(test_shedding_replica_is_skipped),
		cmocka_unit_test(test_draining_replica_gets_no_new_attempts),
		cmocka_unit_test(test_truncated_bodies_are_not_successes),
		cmocka_unit_test(test_drain_empties_the_queue),
		cmocka_unit_test(test_slots_limit_attempts_in_flight),
		cmocka_unit_test(test_outlier_is_ejected),
		cmocka_unit_test(test_dead_replica_recovers),
		cmocka_unit_test(test_overload_is_rejected_at_once),
		cmocka_unit_test(test_batch_has_a_share),
		cmocka_unit_test(test_polls_are_bounded),
		cmocka_unit_test(test_runs_are_deterministic),
		cmocka_unit_test(test_same_zone_replica_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
