/*
 * test-core-policy.c - replica choice, limits, hedges, retries, admission and
 * drains, seen from the fake replicas.
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

struct scene {
	struct fake_cluster *world;
	struct rr_config *config;
	struct rr_service_config *service;
	struct fake_instance *desk;
};

static struct scene set_scene(size_t n_shards, size_t n_replicas)
{
	struct scene scene = { .world = fake_new_cluster(21) };

	scene.config = fake_config(1, n_shards, n_replicas, one_zone, 1);
	scene.service = &scene.config->services[0];
	fake_add_replicas(scene.world, scene.config);
	scene.desk = fake_add_instance(scene.world, "ruaraka-1", "ruaraka", 9);
	return scene;
}

static void start(struct scene *scene)
{
	fake_set_config(scene->desk, scene->config);
	fake_run_for(scene->world, 2500 * FAKE_MS);
}

static void clear_scene(struct scene *scene)
{
	rr_drop_config(scene->config);
	fake_drop_cluster(scene->world);
}

static struct fake_answer *search(struct scene *scene)
{
	guint n = scene->desk->answers->len;

	fake_search(scene->desk);
	assert_true(fake_wait_for_answers(scene->desk, n + 1));
	return fake_answer_at(scene->desk, n);
}

static void search_often(struct scene *scene, int times)
{
	for (int i = 0; i < times; i++) {
		search(scene);
		fake_run_for(scene->world, 5 * FAKE_MS);
	}
}

/*
 * Story: one search in fifty takes the whole time-out, as a replica stalls
 * now and then.  Cause: nothing else was tried until it was given up.
 */
static void test_straggler_is_hedged(void **state)
{
	struct scene scene = set_scene(10, 2);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	start(&scene);
	search_often(&scene, 30);
	fake_replica(scene.world, "s4a")->mode = FAKE_HANG;
	fake_replica(scene.world, "s5b")->mode = FAKE_HANG;
	for (int i = 0; i < 4; i++) {
		before_us = scene.world->now_us;
		answer = search(&scene);
		assert_int_equal(answer->outcome, RR_COMPLETE);
		assert_true(answer->answered_us - before_us < 30 * FAKE_MS);
		fake_run_for(scene.world, 50 * FAKE_MS);
	}
	assert_true(fake_counter_value(scene.desk, RR_N_HEDGES) > 0);
	assert_int_equal(
		fake_counter_value(scene.desk, RR_N_HEDGES),
		fake_counter_value(scene.desk, RR_N_ATTEMPTS_CANCELLED));
	clear_scene(&scene);
}

/*
 * Story: all replicas slow down a little, and the tier doubles their load.
 * Cause: hedges and retries without a budget.
 */
static void test_extra_load_is_bounded(void **state)
{
	struct scene scene = set_scene(10, 2);
	uint64_t extra;
	uint64_t needed;

	(void)state;
	start(&scene);
	search_often(&scene, 30);
	for (int i = 0; i < 10; i++) {
		for (int c = 'a'; c <= 'b'; c++) {
			char *id = g_strdup_printf("s%d%c", i, c);

			fake_replica(scene.world, id)->latency_us =
				(i * 7 + c) % 60 * FAKE_MS;
			g_free(id);
		}
	}
	search_often(&scene, 300);
	extra = fake_counter_value(scene.desk, RR_N_HEDGES) +
		fake_counter_value(scene.desk, RR_N_RETRIES);
	needed = fake_counter_value(scene.desk, RR_N_ATTEMPTS) - extra;
	/* 5 % hedges, 10 % retries and what the budgets start with. */
	assert_true(extra <= needed * 15 / 100 + 13);
	clear_scene(&scene);
}

/* With every replica of a shard lost, retries stop at their budget. */
static void test_retries_stay_in_budget(void **state)
{
	struct scene scene = set_scene(10, 2);

	(void)state;
	start(&scene);
	for (int i = 0; i < 10; i++) {
		for (int c = 'a'; c <= 'b'; c++) {
			char *id = g_strdup_printf("s%d%c", i, c);

			fake_replica(scene.world, id)->mode = FAKE_LOSE_REPLY;
			g_free(id);
		}
	}
	search_often(&scene, 100);
	assert_in_range(fake_counter_value(scene.desk, RR_N_RETRIES), 10,
			1000 / 10 + 10);
	assert_int_equal(fake_last_answer(scene.desk)->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(fake_last_answer(scene.desk), "s1:lost"));
	clear_scene(&scene);
}

/* A shedding replica gets nothing before its time; its sibling does it. */
static void test_shedding_replica_is_left_alone(void **state)
{
	struct scene scene = set_scene(1, 2);
	struct fake_replica *shedding;
	uint32_t before;

	(void)state;
	start(&scene);
	shedding = fake_replica(scene.world, "s0a");
	shedding->mode = FAKE_SHED;
	shedding->retry_after_ms = 1000;
	search_often(&scene, 20);
	before = shedding->attempts;
	assert_in_range(before, 1, 2);
	shedding->mode = FAKE_OK;
	fake_run_for(scene.world, 1500 * FAKE_MS);
	search_often(&scene, 20);
	assert_true(shedding->attempts > before);
	clear_scene(&scene);
}

/*
 * Story: a replica that is being replaced answers for half a minute more, and
 * the searches it took then are cut off.  Cause: it was chosen although it
 * had said that it leaves.
 */
static void test_draining_replica_gets_nothing_new(void **state)
{
	struct scene scene = set_scene(4, 2);
	struct fake_replica *leaving;
	uint32_t before;

	(void)state;
	start(&scene);
	search_often(&scene, 20);
	leaving = fake_replica(scene.world, "s2a");
	leaving->state = RR_UPSTREAM_DRAINING;
	fake_run_for(scene.world, 3000 * FAKE_MS);
	before = leaving->attempts;
	search_often(&scene, 100);
	assert_int_equal(leaving->attempts, before);
	assert_int_equal(fake_last_answer(scene.desk)->outcome, RR_COMPLETE);
	/* It comes back, and is used again. */
	leaving->state = RR_UPSTREAM_READY;
	fake_run_for(scene.world, 5000 * FAKE_MS);
	search_often(&scene, 50);
	assert_true(leaving->attempts > before);
	clear_scene(&scene);
}

/*
 * Story: every other search is late or lacks a yard, though its other replica
 * is well.  Cause: a replica whose bodies are cut short answers quickest, and
 * each such answer was noted as its success.
 */
static void test_cut_bodies_are_no_success(void **state)
{
	struct scene scene = set_scene(4, 2);
	struct fake_replica *cutting;
	uint32_t before;

	(void)state;
	start(&scene);
	search_often(&scene, 20);
	cutting = fake_replica(scene.world, "s2a");
	cutting->mode = FAKE_TRUNCATE;
	cutting->latency_us = FAKE_MS / 10;
	search_often(&scene, 20);
	before = cutting->attempts;
	search_often(&scene, 100);
	assert_in_range(cutting->attempts - before, 0, 10);
	assert_int_equal(fake_last_answer(scene.desk)->outcome, RR_COMPLETE);
	/* Whole bodies again: it is used again. */
	cutting->mode = FAKE_OK;
	before = cutting->attempts;
	fake_run_for(scene.world, 30000 * FAKE_MS);
	search_often(&scene, 100);
	assert_true(cutting->attempts - before > 10);
	clear_scene(&scene);
}

/* What waits for a replica that begins to leave goes to its sibling. */
static void test_drain_empties_the_queue(void **state)
{
	struct scene scene = set_scene(1, 2);

	(void)state;
	scene.service->slots = 1;
	start(&scene);
	search_often(&scene, 20);
	for (int i = 0; i < 8; i++)
		fake_search(scene.desk);
	rr_core_hint_replica(scene.desk->ctx, scene.desk->core,
			     scene.world->now_us, "s0a", 1,
			     RR_UPSTREAM_DRAINING);
	assert_true(fake_wait_for_answers(scene.desk, 28));
	for (guint i = 20; i < 28; i++)
		assert_int_equal(fake_answer_at(scene.desk, i)->outcome,
				 RR_COMPLETE);
	assert_int_equal(fake_counter_value(scene.desk, RR_N_RETRIES), 0);
	clear_scene(&scene);
}

/*
 * Story: two slots a replica, and its own queue is full; what waits there
 * can't be withdrawn.  The queue is kept here: never more than the slots are
 * in flight, and one that is full hands over to its idle sibling.
 */
static void test_slots_bound_what_is_in_flight(void **state)
{
	struct scene scene = set_scene(1, 2);
	uint32_t before;

	(void)state;
	scene.service->slots = 2;
	start(&scene);
	search_often(&scene, 40);
	before = fake_total_attempts(scene.world);
	for (int i = 0; i < 20; i++)
		fake_search(scene.desk);
	assert_int_equal(fake_total_attempts(scene.world) - before, 4);
	assert_true(fake_wait_for_answers(scene.desk, 60));
	assert_int_equal(fake_total_attempts(scene.world) - before, 20);
	clear_scene(&scene);
}

/* Far slower than its fellows: set aside, though it says it is fine. */
static void test_outlier_is_set_aside(void **state)
{
	struct scene scene = set_scene(8, 2);
	struct fake_replica *slow;
	uint32_t before;

	(void)state;
	scene.service->attempt_timeout_ms = 400;
	start(&scene);
	slow = fake_replica(scene.world, "s3a");
	slow->latency_us = 40 * FAKE_MS;
	search_often(&scene, 60);
	before = slow->attempts;
	search_often(&scene, 60);
	assert_true(slow->attempts - before < 20);
	clear_scene(&scene);
}

/* A dead replica is out of use after two polls, and back when it answers. */
static void test_dead_replica_comes_back(void **state)
{
	struct scene scene = set_scene(1, 2);
	struct fake_replica *dead;
	uint32_t before;

	(void)state;
	start(&scene);
	dead = fake_replica(scene.world, "s0a");
	dead->mode = FAKE_DOWN;
	fake_run_for(scene.world, 6000 * FAKE_MS);
	before = dead->attempts;
	search_often(&scene, 20);
	assert_int_equal(dead->attempts, before);
	dead->mode = FAKE_OK;
	fake_run_for(scene.world, 3000 * FAKE_MS);
	search_often(&scene, 20);
	assert_true(dead->attempts > before);
	clear_scene(&scene);
}

/*
 * Story: more is asked than can be done; every caller waits the whole
 * deadline and then hears nothing.  Cause: all was taken in.
 */
static void test_overload_is_refused_early(void **state)
{
	struct scene scene = set_scene(2, 1);
	guint refused = 0;

	(void)state;
	scene.service->slots = 1;
	scene.service->max_open_requests = 50;
	start(&scene);
	search_often(&scene, 20);
	for (int i = 0; i < 300; i++)
		fake_search(scene.desk);
	for (guint i = 20; i < scene.desk->answers->len; i++) {
		struct fake_answer *answer = fake_answer_at(scene.desk, i);

		assert_int_equal(answer->outcome, RR_NOT_RUN);
		assert_true(answer->retry_after_ms > 0);
		refused++;
	}
	assert_int_equal(refused, 250);
	assert_true(fake_wait_for_answers(scene.desk, 320));
	assert_int_equal(fake_counter_value(scene.desk, RR_N_ANSWERS_COMPLETE),
			 70);
	clear_scene(&scene);
}

/* The nightly job has a share, and counter staff go before it. */
static void test_batch_has_a_share(void **state)
{
	struct scene scene = set_scene(1, 1);
	struct rr_request batch = {
		.kind = RR_SEARCH,
		.service = "desk",
		.priority = RR_BATCH,
	};
	uint64_t desk_query;

	(void)state;
	scene.service->slots = 2;
	scene.service->batch_share = 0.5;
	scene.service->max_open_requests = 20;
	start(&scene);
	search_often(&scene, 20);
	for (int i = 0; i < 15; i++)
		fake_request(scene.desk, &batch);
	assert_int_equal(scene.desk->answers->len, 25);
	assert_string_equal(fake_last_answer(scene.desk)->reason,
			    "batch-share-used");
	desk_query = fake_search(scene.desk);
	assert_true(fake_wait_for_answers(scene.desk, 27));
	assert_true(fake_answer_at(scene.desk, 25)->query_id == desk_query ||
		    fake_answer_at(scene.desk, 26)->query_id == desk_query);
	clear_scene(&scene);
}

/* Only owners poll, about once a second each, also when polls are lost. */
static void test_polls_are_bounded(void **state)
{
	struct scene scene = set_scene(1, 1);

	(void)state;
	start(&scene);
	fake_replica(scene.world, "s0a")->no_health = true;
	fake_replica(scene.world, "s0a")->polls = 0;
	fake_run_for(scene.world, 20000 * FAKE_MS);
	assert_in_range(fake_replica(scene.world, "s0a")->polls, 8, 24);
	clear_scene(&scene);
}

/* The same events, times and seed give the same actions. */
static void test_runs_repeat(void **state)
{
	GString *logs[2];

	(void)state;
	for (int run = 0; run < 2; run++) {
		struct scene scene = set_scene(12, 2);

		start(&scene);
		fake_replica(scene.world, "s4a")->mode = FAKE_HANG;
		fake_replica(scene.world, "s7b")->mode = FAKE_SHED;
		search_often(&scene, 40);
		logs[run] = g_string_new(scene.desk->log->str);
		clear_scene(&scene);
	}
	assert_string_equal(logs[0]->str, logs[1]->str);
	g_string_free(logs[0], TRUE);
	g_string_free(logs[1], TRUE);
}

/* A replica in another zone serves when the near one is gone. */
static void test_near_replica_first(void **state)
{
	struct scene scene = set_scene(1, 2);

	(void)state;
	g_free(scene.service->shards[0].replicas[1].zone);
	scene.service->shards[0].replicas[1].zone = g_strdup(two_zones[1]);
	start(&scene);
	search_often(&scene, 20);
	assert_int_equal(fake_replica(scene.world, "s0b")->attempts, 0);
	fake_replica(scene.world, "s0a")->mode = FAKE_DOWN;
	search_often(&scene, 3);
	assert_int_equal(fake_last_answer(scene.desk)->outcome, RR_COMPLETE);
	assert_true(fake_replica(scene.world, "s0b")->attempts > 0);
	clear_scene(&scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_straggler_is_hedged),
		cmocka_unit_test(test_extra_load_is_bounded),
		cmocka_unit_test(test_retries_stay_in_budget),
		cmocka_unit_test(test_shedding_replica_is_left_alone),
		cmocka_unit_test(test_draining_replica_gets_nothing_new),
		cmocka_unit_test(test_cut_bodies_are_no_success),
		cmocka_unit_test(test_drain_empties_the_queue),
		cmocka_unit_test(test_slots_bound_what_is_in_flight),
		cmocka_unit_test(test_outlier_is_set_aside),
		cmocka_unit_test(test_dead_replica_comes_back),
		cmocka_unit_test(test_overload_is_refused_early),
		cmocka_unit_test(test_batch_has_a_share),
		cmocka_unit_test(test_polls_are_bounded),
		cmocka_unit_test(test_runs_repeat),
		cmocka_unit_test(test_near_replica_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
