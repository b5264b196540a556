/*
 * test-core-reserve.c - reservations: at most once, and "not run" only with
 * proof.
 *
 * The checks count what the fake replicas ran.
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

struct fixture {
	struct fake_cluster *cluster;
	struct rr_config *config;
	struct fake_instance *first;
	struct fake_instance *second;
};

static struct fixture new_fixture(void)
{
	struct fixture fixture = { .cluster = fake_new_cluster(5) };

	fixture.config = fake_config(1, 2, 2, one_zone, 1);
	fake_add_replicas(fixture.cluster, fixture.config);
	fixture.first = fake_add_instance(fixture.cluster, "ruaraka-1",
					  "ruaraka", FAKE_WALL_S * 1000000);
	fixture.second =
		fake_add_instance(fixture.cluster, "ruaraka-2", "ruaraka",
				  FAKE_WALL_S * 1000000 + 7);
	fake_set_config(fixture.first, fixture.config);
	fake_set_config(fixture.second, fixture.config);
	fake_hint_all_members(fixture.cluster);
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	return fixture;
}

static void drop_fixture(struct fixture *fixture)
{
	rr_drop_config(fixture->config);
	fake_drop_cluster(fixture->cluster);
}

/* Runs of the id on all replicas together. */
static int count_runs(struct fixture *fixture, const char *id)
{
	static const char *const names[] = { "s0a", "s0b", "s1a", "s1b" };
	int runs = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct fake_replica *replica =
			fake_replica(fixture->cluster, names[i]);

		runs += GPOINTER_TO_INT(
			g_hash_table_lookup(replica->run_counts, id));
	}
	return runs;
}

static void set_modes(struct fixture *fixture, enum fake_mode a,
		      enum fake_mode b)
{
	fake_replica(fixture->cluster, "s0a")->mode = a;
	fake_replica(fixture->cluster, "s0b")->mode = b;
}

static struct fake_answer *reserve(struct fixture *fixture,
				   struct fake_instance *instance)
{
	guint n = instance->answers->len;

	(void)fixture;
	fake_reserve(instance, 20, ID);
	assert_true(fake_wait_for_answers(instance, n + 1));
	return fake_answer_at(instance, n);
}

static void test_runs_once_and_is_replayed(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;
	char *result;

	(void)state;
	answer = reserve(&fixture, fixture.first);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_false(answer->replayed);
	assert_string_equal(g_ptr_array_index(answer->covered, 0), "s0");
	result = g_strdup(answer->result);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	answer = reserve(&fixture, fixture.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_true(answer->replayed);
	assert_string_equal(answer->result, result);
	assert_int_equal(count_runs(&fixture, ID), 1);
	g_free(result);
	drop_fixture(&fixture);
}

/*
 * The invoicing desk sends an order to two instances at the same time.  Guards
 * against both of them sending it to an upstream, which reserves two pallets
 * for one order.
 */
static void test_two_instances_at_once(void **state)
{
	struct fixture fixture = new_fixture();

	(void)state;
	fake_reserve(fixture.first, 20, ID);
	fake_reserve(fixture.second, 20, ID);
	assert_true(fake_wait_for_answers(fixture.first, 1));
	assert_true(fake_wait_for_answers(fixture.second, 1));
	assert_int_equal(count_runs(&fixture, ID), 1);
	assert_int_not_equal(fake_last_answer(fixture.first)->outcome,
			     RR_NOT_RUN);
	assert_int_not_equal(fake_last_answer(fixture.second)->outcome,
			     RR_NOT_RUN);
	drop_fixture(&fixture);
}

/*
 * The reply is lost after the upstream ran the reservation.  Guards against
 * treating a missing reply as proof of not run: the caller receives "not run",
 * reserves elsewhere, and has two reservations.
 */
static void test_lost_reply_is_unknown(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;

	(void)state;
	set_modes(&fixture, FAKE_LOSE_REPLY, FAKE_LOSE_REPLY);
	answer = reserve(&fixture, fixture.first);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	assert_true(answer->retry_after_ms > 0);
	set_modes(&fixture, FAKE_OK, FAKE_OK);
	fake_run_for(fixture.cluster, 500 * FAKE_MS);
	answer = reserve(&fixture, fixture.second);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	assert_int_equal(count_runs(&fixture, ID), 1);
	drop_fixture(&fixture);
}

/* A reservation rejected with proof by one replica may run on the other. */
static void test_proven_rejection_tries_other_replica(void **state)
{
	struct fixture fixture = new_fixture();

	(void)state;
	for (int i = 0; i < 6; i++) {
		char *id = g_strdup_printf("1700000001-order-%03d", i);
		guint n = fixture.first->answers->len;

		set_modes(&fixture, i & 1 ? FAKE_REFUSE : FAKE_DRAINING,
			  FAKE_OK);
		fake_reserve(fixture.first, 20, id);
		assert_true(fake_wait_for_answers(fixture.first, n + 1));
		assert_int_equal(fake_last_answer(fixture.first)->outcome,
				 RR_COMPLETE);
		assert_int_equal(count_runs(&fixture, id), 1);
		g_free(id);
	}
	drop_fixture(&fixture);
}

/*
 * Rejected by all replicas: "not run", the claim is released, and it may run
 * later.
 */
static void test_all_rejected_is_not_run(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;

	(void)state;
	set_modes(&fixture, FAKE_REFUSE, FAKE_REFUSE);
	answer = reserve(&fixture, fixture.first);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	set_modes(&fixture, FAKE_OK, FAKE_OK);
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	answer = reserve(&fixture, fixture.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_false(answer->replayed);
	assert_int_equal(count_runs(&fixture, ID), 1);
	drop_fixture(&fixture);
}

/* The platform's key-value service is down: "not run", at once. */
static void test_store_down_is_not_run(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;
	int64_t before_us = fixture.cluster->now_us;

	(void)state;
	fixture.cluster->store_down = true;
	answer = reserve(&fixture, fixture.first);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	assert_true(answer->retry_after_ms > 0);
	assert_true(answer->answered_us - before_us < 100 * FAKE_MS);
	assert_int_equal(count_runs(&fixture, ID), 0);
	drop_fixture(&fixture);
}

/*
 * The replica replies after the deadline, at which the caller receives
 * "unknown".  Guards against dropping the late outcome with the caller: a later
 * request with the same id returns the result of the reservation.
 */
static void test_late_outcome_is_recorded(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;

	(void)state;
	fake_replica(fixture.cluster, "s0a")->latency_us = 2000 * FAKE_MS;
	fake_replica(fixture.cluster, "s0b")->latency_us = 2000 * FAKE_MS;
	answer = reserve(&fixture, fixture.first);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	answer = reserve(&fixture, fixture.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_true(answer->replayed);
	assert_int_equal(count_runs(&fixture, ID), 1);
	drop_fixture(&fixture);
}

/*
 * After a cancel, an attempt that was sent runs on and its outcome is recorded.
 */
static void test_cancel_after_send(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;
	uint64_t query;

	(void)state;
	query = fake_reserve(fixture.first, 20, ID);
	fake_run_for(fixture.cluster, 6 * FAKE_MS);
	assert_int_equal(fake_total_attempts(fixture.cluster), 1);
	rr_core_cancel(fixture.first->ctx, fixture.first->core,
		       fixture.cluster->now_us, query);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	assert_int_equal(fixture.first->answers->len, 0);
	answer = reserve(&fixture, fixture.second);
	assert_true(answer->replayed);
	assert_int_equal(count_runs(&fixture, ID), 1);
	drop_fixture(&fixture);
}

/* A request cancelled before its claim was acquired sends nothing. */
static void test_cancel_before_claim(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;
	uint64_t query;

	(void)state;
	query = fake_reserve(fixture.first, 20, ID);
	rr_core_cancel(fixture.first->ctx, fixture.first->core,
		       fixture.cluster->now_us, query);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	assert_int_equal(count_runs(&fixture, ID), 0);
	answer = reserve(&fixture, fixture.second);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_false(answer->replayed);
	drop_fixture(&fixture);
}

/* A slow reservation is never hedged, whatever the budget. */
static void test_never_hedged(void **state)
{
	struct fixture fixture = new_fixture();

	(void)state;
	for (int i = 0; i < 100; i++) {
		fake_search(fixture.first);
		assert_true(fake_wait_for_answers(fixture.first, i + 1));
	}
	fake_replica(fixture.cluster, "s0a")->latency_us = 300 * FAKE_MS;
	fake_replica(fixture.cluster, "s0b")->latency_us = 300 * FAKE_MS;
	assert_int_equal(reserve(&fixture, fixture.first)->outcome,
			 RR_COMPLETE);
	assert_int_equal(count_runs(&fixture, ID), 1);
	drop_fixture(&fixture);
}

/* Reads of a service whose work costs money are claimed in the ledger too. */
static void test_costly_search_is_claimed(void **state)
{
	struct fixture fixture = new_fixture();
	struct rr_config *config = fake_config(2, 2, 2, one_zone, 1);
	struct rr_request request = {
		.kind = RR_SEARCH,
		.service = "desk",
		.idempotency_key = ID,
	};
	uint32_t attempts;

	(void)state;
	config->services[0].costs_money = true;
	fake_set_config(fixture.first, config);
	rr_drop_config(config);
	fake_search(fixture.first);
	assert_int_equal(fake_last_answer(fixture.first)->outcome, RR_INVALID);
	fake_request(fixture.first, &request);
	assert_true(fake_wait_for_answers(fixture.first, 2));
	assert_int_equal(fake_last_answer(fixture.first)->outcome, RR_COMPLETE);
	assert_int_equal(fake_last_answer(fixture.first)->keys->len, 20);
	attempts = fake_total_attempts(fixture.cluster);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	fake_request(fixture.first, &request);
	assert_true(fake_wait_for_answers(fixture.first, 3));
	assert_true(fake_last_answer(fixture.first)->replayed);
	assert_non_null(strstr(fake_last_answer(fixture.first)->result, "110"));
	assert_int_equal(fake_total_attempts(fixture.cluster), attempts);
	drop_fixture(&fixture);
}

/*
 * Guards against comparing ids without the requests: an id is reused for
 * another pallet, and the result of the first one is returned for it.
 */
static void test_id_reused_for_another_request(void **state)
{
	struct fixture fixture = new_fixture();

	(void)state;
	reserve(&fixture, fixture.first);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	fake_reserve(fixture.first, 120, ID);
	assert_true(fake_wait_for_answers(fixture.first, 2));
	assert_int_equal(fake_last_answer(fixture.first)->outcome, RR_INVALID);
	assert_int_equal(count_runs(&fixture, ID), 1);
	drop_fixture(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_runs_once_and_is_replayed),
		cmocka_unit_test(test_two_instances_at_once),
		cmocka_unit_test(test_lost_reply_is_unknown),
		cmocka_unit_test(test_proven_rejection_tries_other_replica),
		cmocka_unit_test(test_all_rejected_is_not_run),
		cmocka_unit_test(test_store_down_is_not_run),
		cmocka_unit_test(test_late_outcome_is_recorded),
		cmocka_unit_test(test_cancel_after_send),
		cmocka_unit_test(test_cancel_before_claim),
		cmocka_unit_test(test_never_hedged),
		cmocka_unit_test(test_costly_search_is_claimed),
		cmocka_unit_test(test_id_reused_for_another_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
