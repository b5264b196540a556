/*
 * test-gate-generated.c - deployments that nobody has seen, drawn at random: the
 * policy loses to the plain one nowhere.
 *
 * Story: a customer's shards have one replica each, and their work takes a
 * tenth of a second.  What helps where work is short and replicas are two
 * turns searches away there, which one try at each shard would have served.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "gate/emulator.h"

/* Deployments drawn from the seeds 1 to so many. */
#define DRAWN 12
/* Of what callers are owed: less is as good. */
#define MOST_LOST 0.02

static double value_by(const struct emulated_scenario *scenario,
		       const struct rr_gate_policy *policy)
{
	struct emulated_result result;
	double value;

	emulate_scenario(scenario, policy, 1, &result);
	value = mean_answer_value(&result);
	clear_emulated_result(&result);
	return value;
}

static void test_plain_is_no_better(void **state)
{
	struct rr_gate_policy policy;
	struct rr_gate_policy plain;
	guint lost = 0;

	rr_init_gate_policy(&policy);
	init_baseline_policy(&plain);
	for (uint32_t seed = 1; seed <= DRAWN; seed++) {
		struct emulated_scenario scenario;
		double loss;

		generate_scenario(seed, &scenario);
		loss = -value_by(&scenario, &policy);
		scenario.routes[0].max_attempts = 1;
		loss += value_by(&scenario, &plain);
		if (loss <= MOST_LOST)
			continue;
		print_message("%s loses %.4f\n", scenario.name, loss);
		lost++;
	}
	assert_int_equal(lost, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_plain_is_no_better),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
