/*
 * test-core-reserve.c - reservations: at most once, and "not run" only with
 * proof.  The checks look at what the fake replicas ran.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/fake-cluster.h"

#define ID "1700000001-abcdefgh"

static const char *const one_zone[] = { "ruaraka" };

struct scene {
	struct fake_cluster *world;
	struct rr_config *config;
	struct fake_instance *first;
	struct fake_instance *second;
};

static struct scene set_scene(void)
{
	struct scene scene = { .world = fake_new_cluster(5) };

	scene.config = fake_config(1, 2, 2, one_zone, 1);
	fake_add_replicas(scene.world, scene.config);
	scene.first = fake_add_instance(scene.world, "ruaraka-1", "ruaraka",
					FAKE_WALL_S * 1000000);
	scene.second = fake_add_instance(scene.world, "ruaraka-2", "ruaraka",
					 FAKE_WALL_S * 1000000 + 7);
	fake_set_config(scene.first, scene.config);
	fake_set_config(scene.second, scene.config);
	fake_hint_all_members(scene.world);
	fake_run_for(scene.world, 3000 * FAKE_MS);
	return scene;
}

static void clear_scene(struct scene *scene)
{
	rr_drop_config(scene->config);
	fake_drop_cluster(scene->world);
}

/* How often the id ran, on all replicas together. */
static int count_runs(struct scene *scene, const char *id)
{
	static const char *const names[] = { "s0a", "s0b", "s1a", "s1b" };
	int runs = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct fake_replica *replica =
			fake_replica(scene->world, names[i]);

		runs += GPOINTER_TO_INT(
			g_hash_table_lookup(replica->run_counts, id));
	}
	return runs;
}

static void set_modes(struct scene *scene, enum fake_mode a, enum fake_mode b)
{
	fake_replica(scene->world, "s0a")->mode = a;
	fake_replica(scene->world, "s0b")->mode = b;
}

static struct fake_answer *reserve(struct scene *scene,
				   struct fake_instance *instance)
{
	guint n = instance->answers->len;

	(void)scene;
	fake_reserve(instance, 20, ID);
	assert_true(fake_wait_for_answers(instance, n + 1));
	return fake_answer_at(instance, n);
}

static void test_runs_once_and_is_replayed(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;
	char *result;

	(void)state;
	answer = reserve(&scene, scene.first);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_false(answer->replayed);
	assert_string_equal(g_ptr_array_index(answer->covered, 0), "s0");
	result = g_strdup(answer->result);
	fake_run_for(scene.world, 100 * FAKE_MS);
	answer = reserve(&scene, scene.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_true(answer->replayed);
	assert_string_equal(answer->result, result);
	assert_int_equal(count_runs(&scene, ID), 1);
	g_free(result);
	clear_scene(&scene);
}

/*
 * Story: two pallets are reserved for one order.  The invoicing desk sent it
 * to two instances at the same moment.  Cause: both sent it on.
 */
static void test_two_instances_at_once(void **state)
{
	struct scene scene = set_scene();

	(void)state;
	fake_reserve(scene.first, 20, ID);
	fake_reserve(scene.second, 20, ID);
	assert_true(fake_wait_for_answers(scene.first, 1));
	assert_true(fake_wait_for_answers(scene.second, 1));
	assert_int_equal(count_runs(&scene, ID), 1);
	assert_int_not_equal(fake_last_answer(scene.first)->outcome,
			     RR_NOT_RUN);
	assert_int_not_equal(fake_last_answer(scene.second)->outcome,
			     RR_NOT_RUN);
	clear_scene(&scene);
}

/*
 * Story: a reservation is told "not run", is made elsewhere, and stands
 * twice.  The reply was lost after the upstream ran it.  Cause: no reply was
 * taken for no run.
 */
static void test_lost_reply_is_unknown(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;

	(void)state;
	set_modes(&scene, FAKE_LOSE_REPLY, FAKE_LOSE_REPLY);
	answer = reserve(&scene, scene.first);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	assert_true(answer->retry_after_ms > 0);
	set_modes(&scene, FAKE_OK, FAKE_OK);
	fake_run_for(scene.world, 500 * FAKE_MS);
	answer = reserve(&scene, scene.second);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	assert_int_equal(count_runs(&scene, ID), 1);
	clear_scene(&scene);
}

/* Refused with proof by one replica, it may run on the other. */
static void test_proven_refusal_tries_the_other(void **state)
{
	struct scene scene = set_scene();

	(void)state;
	for (int i = 0; i < 6; i++) {
		char *id = g_strdup_printf("1700000001-order-%03d", i);
		guint n = scene.first->answers->len;

		set_modes(&scene, i & 1 ? FAKE_REFUSE : FAKE_DRAINING, FAKE_OK);
		fake_reserve(scene.first, 20, id);
		assert_true(fake_wait_for_answers(scene.first, n + 1));
		assert_int_equal(fake_last_answer(scene.first)->outcome,
				 RR_COMPLETE);
		assert_int_equal(count_runs(&scene, id), 1);
		g_free(id);
	}
	clear_scene(&scene);
}

/* Refused by all: "not run", the claim is given back, and it may run later. */
static void test_all_refused_is_not_run(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;

	(void)state;
	set_modes(&scene, FAKE_REFUSE, FAKE_REFUSE);
	answer = reserve(&scene, scene.first);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	set_modes(&scene, FAKE_OK, FAKE_OK);
	fake_run_for(scene.world, 3000 * FAKE_MS);
	answer = reserve(&scene, scene.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_false(answer->replayed);
	assert_int_equal(count_runs(&scene, ID), 1);
	clear_scene(&scene);
}

/* The platform's service is down: not run, at once. */
static void test_store_down_is_not_run(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;
	int64_t before_us = scene.world->now_us;

	(void)state;
	scene.world->store_down = true;
	answer = reserve(&scene, scene.first);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	assert_true(answer->retry_after_ms > 0);
	assert_true(answer->answered_us - before_us < 100 * FAKE_MS);
	assert_int_equal(count_runs(&scene, ID), 0);
	clear_scene(&scene);
}

/*
 * Story: the replica hangs; the caller is told "unknown" at the deadline, and
 * asking again later brings the reservation's own result.  Cause of the
 * failure: the late outcome was thrown away with the caller.
 */
static void test_late_outcome_is_recorded(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;

	(void)state;
	fake_replica(scene.world, "s0a")->latency_us = 2000 * FAKE_MS;
	fake_replica(scene.world, "s0b")->latency_us = 2000 * FAKE_MS;
	answer = reserve(&scene, scene.first);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	fake_run_for(scene.world, 3000 * FAKE_MS);
	answer = reserve(&scene, scene.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_true(answer->replayed);
	assert_int_equal(count_runs(&scene, ID), 1);
	clear_scene(&scene);
}

/* The caller left: what was sent runs on and is recorded. */
static void test_caller_left_after_send(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;
	uint64_t query;

	(void)state;
	query = fake_reserve(scene.first, 20, ID);
	fake_run_for(scene.world, 6 * FAKE_MS);
	assert_int_equal(fake_total_attempts(scene.world), 1);
	rr_core_cancel(scene.first->ctx, scene.first->core, scene.world->now_us,
		       query);
	fake_run_for(scene.world, 100 * FAKE_MS);
	assert_int_equal(scene.first->answers->len, 0);
	answer = reserve(&scene, scene.second);
	assert_true(answer->replayed);
	assert_int_equal(count_runs(&scene, ID), 1);
	clear_scene(&scene);
}

/* The caller left before the claim was had: nothing is sent at all. */
static void test_caller_left_before_claim(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;
	uint64_t query;

	(void)state;
	query = fake_reserve(scene.first, 20, ID);
	rr_core_cancel(scene.first->ctx, scene.first->core, scene.world->now_us,
		       query);
	fake_run_for(scene.world, 100 * FAKE_MS);
	assert_int_equal(count_runs(&scene, ID), 0);
	answer = reserve(&scene, scene.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_false(answer->replayed);
	clear_scene(&scene);
}

/* A slow reservation is never hedged, whatever the budget. */
static void test_never_hedged(void **state)
{
	struct scene scene = set_scene();

	(void)state;
	for (int i = 0; i < 100; i++) {
		fake_search(scene.first);
		assert_true(fake_wait_for_answers(scene.first, i + 1));
	}
	fake_replica(scene.world, "s0a")->latency_us = 300 * FAKE_MS;
	fake_replica(scene.world, "s0b")->latency_us = 300 * FAKE_MS;
	assert_int_equal(reserve(&scene, scene.first)->outcome, RR_COMPLETE);
	assert_int_equal(count_runs(&scene, ID), 1);
	clear_scene(&scene);
}

/* Services whose work costs money go by the ledger for their reads too. */
static void test_costly_search_is_claimed(void **state)
{
	struct scene scene = set_scene();
	struct rr_config *config = fake_config(2, 2, 2, one_zone, 1);
	struct rr_request request = {
		.kind = RR_SEARCH,
		.service = "desk",
		.idempotency_key = ID,
	};
	uint32_t attempts;

	(void)state;
	config->services[0].costs_money = true;
	fake_set_config(scene.first, config);
	rr_drop_config(config);
	fake_search(scene.first);
	assert_int_equal(fake_last_answer(scene.first)->outcome, RR_INVALID);
	fake_request(scene.first, &request);
	assert_true(fake_wait_for_answers(scene.first, 2));
	assert_int_equal(fake_last_answer(scene.first)->outcome, RR_COMPLETE);
	assert_int_equal(fake_last_answer(scene.first)->keys->len, 20);
	attempts = fake_total_attempts(scene.world);
	fake_run_for(scene.world, 100 * FAKE_MS);
	fake_request(scene.first, &request);
	assert_true(fake_wait_for_answers(scene.first, 3));
	assert_true(fake_last_answer(scene.first)->replayed);
	assert_non_null(strstr(fake_last_answer(scene.first)->result, "110"));
	assert_int_equal(fake_total_attempts(scene.world), attempts);
	clear_scene(&scene);
}

/*
 * Story: an id is used again for another pallet, and the first one's result
 * is taken for it.  Cause: ids were compared, the requests not.
 */
static void test_id_of_another_request(void **state)
{
	struct scene scene = set_scene();

	(void)state;
	reserve(&scene, scene.first);
	fake_run_for(scene.world, 100 * FAKE_MS);
	fake_reserve(scene.first, 120, ID);
	assert_true(fake_wait_for_answers(scene.first, 2));
	assert_int_equal(fake_last_answer(scene.first)->outcome, RR_INVALID);
	assert_int_equal(count_runs(&scene, ID), 1);
	clear_scene(&scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_runs_once_and_is_replayed),
		cmocka_unit_test(test_two_instances_at_once),
		cmocka_unit_test(test_lost_reply_is_unknown),
		cmocka_unit_test(test_proven_refusal_tries_the_other),
		cmocka_unit_test(test_all_refused_is_not_run),
		cmocka_unit_test(test_store_down_is_not_run),
		cmocka_unit_test(test_late_outcome_is_recorded),
		cmocka_unit_test(test_caller_left_after_send),
		cmocka_unit_test(test_caller_left_before_claim),
		cmocka_unit_test(test_never_hedged),
		cmocka_unit_test(test_costly_search_is_claimed),
		cmocka_unit_test(test_id_of_another_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
