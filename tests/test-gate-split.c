/*
 * test-gate-split.c - tests of weighted splits whose weights change.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/gate-fixture.h"

static const char *const services[] = { "s", "t", NULL };

static const struct test_route split_route = {
	.name = "split",
	.prefix = "/split/",
	.services = services,
	.max_attempts = 2,
	.objective_ms = 250,
	.timeout_ms = 4000,
};

static void set_weights(struct gate_fixture *fixture, uint64_t version,
			double first, double second)
{
	const double weights[] = { first, second };
	struct test_route route = split_route;

	route.weights = weights;
	assert_true(test_set_routes(fixture, version, &route, 1));
}

static struct gate_fixture *start_split(uint32_t seed, double first,
					double second)
{
	struct gate_fixture *fixture = test_new_gate(seed);

	test_list_replica(fixture, "s.a", "s", "a");
	test_list_replica(fixture, "s.b", "s", "b");
	test_list_replica(fixture, "t.a", "t", "a");
	test_list_replica(fixture, "t.b", "t", "b");
	set_weights(fixture, 5, first, second);
	return fixture;
}

static char last_service(struct gate_fixture *fixture)
{
	return test_attempt_at(fixture, fixture->attempts->len - 1)
		->endpoint[0];
}

/* Send n requests; return how many the service "s" gets. */
static int count_first(struct gate_fixture *fixture, int n)
{
	int n_first = 0;

	for (int i = 0; i < n; i++) {
		test_submit(fixture, "/split/1", 900);
		n_first += last_service(fixture) == 's';
		test_reply_all(fixture);
	}
	return n_first;
}

/*
 * Weights in thousandths are followed by plain ones.  Guards against hundreds
 * of requests that follow the earlier weights.
 */
static void test_new_weights_on_another_scale(void **state)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct gate_fixture *fixture = start_split(seed, 950, 50);

		count_first(fixture, (int)(7 * seed));
		set_weights(fixture, 6, 1, 9);
		assert_in_range(count_first(fixture, 200), 18, 22);
		assert_in_range(count_first(fixture, 200), 18, 22);
		set_weights(fixture, 7, 600, 400);
		assert_in_range(count_first(fixture, 200), 118, 122);
		test_free_gate(fixture);
	}
}

/* Fleet of gates that each send few requests, as instances of a large site. */
#define N_GATES 300
#define N_SENT 2

static void assert_fleet_share(double before, double first, double second)
{
	double due = first / (first + second);
	int n_first[N_SENT] = { 0 };

	for (uint32_t seed = 1; seed <= N_GATES; seed++) {
		bool is_changed = before >= 0;
		struct gate_fixture *fixture =
			start_split(seed, is_changed ? before : first,
				    is_changed ? 1 - before : second);

		if (is_changed) {
			count_first(fixture, (int)(seed % 4));
			set_weights(fixture, 6, first, second);
		}
		for (int i = 0; i < N_SENT; i++)
			n_first[i] += count_first(fixture, 1);
		test_free_gate(fixture);
	}
	for (int i = 0; i < N_SENT; i++) {
		double off = (double)n_first[i] / N_GATES - due;

		if (off > 0.1 || off < -0.1)
			fail_msg("%g:%g after %g: %d of %d", first, second,
				 before, n_first[i], N_GATES);
	}
}

/*
 * Guards against instances that all send their first requests after a change,
 * or after a start, to the same service of a split.
 */
static void test_first_requests_of_many_instances(void **state)
{
	static const double weights[][2] = {
		{ 7, 3 }, { 1, 1 }, { 600, 400 }, { 1, 9 }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(weights); i++) {
		const double *w = weights[i];

		assert_fleet_share(-1, w[0], w[1]);
		assert_fleet_share(1, w[0], w[1]);
		assert_fleet_share(0, w[0], w[1]);
		assert_fleet_share(0.95, w[0], w[1]);
	}
}

/* Guards against requests to a service that the operators took out of use. */
static void test_weight_zero_gets_none(void **state)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct gate_fixture *fixture = start_split(seed, 950, 50);

		count_first(fixture, (int)(7 * seed));
		set_weights(fixture, 6, 0, 1);
		assert_int_equal(count_first(fixture, 200), 0);
		set_weights(fixture, 7, 1, 0);
		assert_int_equal(count_first(fixture, 200), 200);
		test_free_gate(fixture);
	}
}

/* Guards against queued requests that wait for the earlier service. */
static void test_queued_requests_leave_weight_zero(void **state)
{
	struct gate_fixture *fixture = start_split(7, 1, 0);
	guint n_first;

	for (int i = 0; i < 6; i++)
		test_submit(fixture, "/split/1", 900);
	n_first = fixture->attempts->len;
	assert_in_range(n_first, 1, 5);
	set_weights(fixture, 6, 0, 1);
	for (int i = 0; i < 6; i++) {
		test_advance_time(fixture, 5 * TEST_MS);
		test_reply_all(fixture);
	}
	assert_int_equal(fixture->answers->len, 6);
	assert_int_equal(fixture->attempts->len, 6);
	for (guint i = n_first; i < 6; i++)
		assert_int_equal(test_attempt_at(fixture, i)->endpoint[0], 't');
	test_free_gate(fixture);
}

/* Guards against retries at the earlier service. */
static void test_retries_leave_weight_zero(void **state)
{
	struct gate_fixture *fixture = start_split(7, 1, 1);

	test_earn_retry_budget(fixture, "/split/1");
	set_weights(fixture, 6, 1, 0);
	test_submit(fixture, "/split/1", 900);
	assert_int_equal(last_service(fixture), 's');
	set_weights(fixture, 7, 0, 1);
	test_reply(fixture,
		   test_attempt_at(fixture, fixture->attempts->len - 1),
		   RR_GATE_BROKEN, 0);
	assert_int_equal(test_count_open_attempts(fixture), 1);
	assert_int_equal(last_service(fixture), 't');
	test_reply_all(fixture);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	test_free_gate(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_weights_on_another_scale),
		cmocka_unit_test(test_first_requests_of_many_instances),
		cmocka_unit_test(test_weight_zero_gets_none),
		cmocka_unit_test(test_queued_requests_leave_weight_zero),
		cmocka_unit_test(test_retries_leave_weight_zero),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
