/*
 * test-gate-generated.c - the policy against the baseline policy in randomly
 * generated deployments.
 *
 * Guards against a policy that helps in common deployments and harms others.
 * An example is a deployment whose shards have one replica each and take a
 * tenth of a second: mechanisms that help with short work and two replicas
 * reject searches there that one attempt at each shard would have served.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "gate/emulator.h"

/* Number of deployments, generated from the seeds 1 to this. */
#define N_DEPLOYMENTS 12
/* Tolerated loss of answer value, as a fraction of the maximum. */
#define MAX_LOSS 0.02

static double measure_value(const struct emulated_scenario *scenario,
			    const struct rr_gate_policy *policy)
{
	struct emulated_result result;
	double value;

	emulate_scenario(scenario, policy, 1, &result);
	value = mean_answer_value(&result);
	clear_emulated_result(&result);
	return value;
}

static void test_baseline_is_not_better(void **state)
{
	struct rr_gate_policy policy;
	struct rr_gate_policy baseline;
	guint n_lost = 0;

	rr_init_gate_policy(&policy);
	init_baseline_policy(&baseline);
	for (uint32_t seed = 1; seed <= N_DEPLOYMENTS; seed++) {
		struct emulated_scenario scenario;
		double loss;

		generate_scenario(seed, &scenario);
		loss = -measure_value(&scenario, &policy);
		scenario.routes[0].max_attempts = 1;
		loss += measure_value(&scenario, &baseline);
		if (loss <= MAX_LOSS)
			continue;
		print_message("%s loses %.4f\n", scenario.name, loss);
		n_lost++;
	}
	assert_int_equal(n_lost, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_baseline_is_not_better),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
