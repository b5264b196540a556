/*
 * test-gate-emulated.c - the gate's policy against emulated replicas: each
 * scenario keeps the aim, and each mechanism is worth what it is kept for.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>

#include "gate/emulator.h"
#include "ragwort/settings.h"
#include "support/paths.h"

#define SEEDS 2
/* Of answers within their objective, where nothing goes wrong. */
#define AIM_IN_TIME 0.99
/* Of what callers are owed, on days with trouble. */
#define AIM_VALUE 0.90
/* Half of one in a hundred: less is no gain. */
#define LEAST_GAIN 0.005

static void load(const char *name, struct emulated_scenario *scenario)
{
	char *file = g_strdup_printf("bench/gate/scenarios/%s.yaml", name);
	char *path = rr_source_path(file);
	GPtrArray *faults = rr_new_diagnostics();

	if (!load_scenario(path, scenario, faults)) {
		rr_print_diagnostics(faults);
		fail_msg("%s cannot be read", name);
	}
	g_ptr_array_unref(faults);
	g_free(path);
	g_free(file);
}

/* Mean over the seeds; *in_time may be NULL. */
static double value_of(const char *name, const char *off, double *in_time)
{
	struct emulated_scenario scenario;
	struct rr_gate_policy policy;
	uint64_t asked = 0;
	uint64_t n_in_time = 0;
	double sum = 0;

	load(name, &scenario);
	rr_init_gate_policy(&policy);
	if (off)
		assert_true(rr_set_gate_policy(&policy, off, "off"));
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct emulated_result result;

		emulate_scenario(&scenario, &policy, seed, &result);
		sum += mean_answer_value(&result);
		asked += result.requests;
		n_in_time += result.in_time;
		clear_emulated_result(&result);
	}
	if (in_time)
		*in_time = (double)n_in_time / (double)asked;
	return sum / SEEDS;
}

static void test_calm_answers_are_in_time(void **state)
{
	double in_time;

	value_of("calm", NULL, &in_time);
	if (in_time < AIM_IN_TIME)
		fail_msg("%.4f in time", in_time);
}

/* Where each shard has a replica that answers, or all but one. */
static void test_troubles_cost_a_tenth_at_most(void **state)
{
	static const char *const names[] = {
		"failing",	 "shedding",   "reborn", "zone-cut",
		"ninety-shards", "shard-lost", "deadly",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		double value = value_of(names[i], NULL, NULL);

		if (value < AIM_VALUE)
			fail_msg("%s: %.4f", names[i], value);
	}
}

/*
 * Story: somebody tidies a mechanism away, since no test of a module needs it.
 * Each was kept for a load; without it that load's callers are served worse.
 */
static void test_each_mechanism_is_worth_its_load(void **state)
{
	static const struct {
		const char *scenario;
		const char *mechanism;
	} gains[] = {
		{ "calm", "hedge_slow" },
		{ "ninety-shards", "hedge_slow" },
		{ "ninety-shards", "choose_by_slowness" },
		{ "failing", "choose_by_losses" },
		{ "shedding", "choose_by_losses" },
		{ "burst", "admit_by_wait" },
		{ "burst", "limit_adapts" },
		{ "zone-cut", "silence_of_zones" },
		{ "zone-cut", "silence_unready" },
		{ "deadly", "quarantine_known" },
	};
	double with = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(gains); i++) {
		bool again = i && gains[i].scenario == gains[i - 1].scenario;
		double without =
			value_of(gains[i].scenario, gains[i].mechanism, NULL);

		if (!again)
			with = value_of(gains[i].scenario, NULL, NULL);
		if (with - without < LEAST_GAIN)
			fail_msg("%s in %s: %.4f with it, %.4f without",
				 gains[i].mechanism, gains[i].scenario, with,
				 without);
	}
}

/* Guards against a request that goes on crashing replicas once it is known. */
static void test_a_deadly_request_is_kept_from_replicas(void **state)
{
	struct emulated_scenario scenario;
	struct emulated_result result;

	(void)state;
	load("deadly", &scenario);
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		emulate_scenario(&scenario, NULL, seed, &result);
		assert_true(result.crashes >= 3);
		assert_in_range(result.late_queries_of_death, 0, 3);
		clear_emulated_result(&result);
	}
}

/* Guards against caution that costs those more who run where replicas crash. */
static void test_crashes_without_a_cause_condemn_nobody(void **state)
{
	double with = value_of("crashing", NULL, NULL);
	double without = value_of("crashing", "quarantine_known", NULL);
	struct emulated_scenario scenario;
	struct emulated_result result;

	(void)state;
	if (without - with >= LEAST_GAIN)
		fail_msg("%.4f with it, %.4f without", with, without);
	load("crashing", &scenario);
	emulate_scenario(&scenario, NULL, 1, &result);
	assert_int_equal(result.quarantine_reports, 0);
	clear_emulated_result(&result);
}

/* Guards against work for an evacuated zone, or too much for a cold replica. */
static void test_evacuated_zones_and_cold_replicas(void **state)
{
	struct emulated_scenario scenario;
	struct emulated_result result;

	(void)state;
	load("evacuated", &scenario);
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		emulate_scenario(&scenario, NULL, seed, &result);
		assert_int_equal(result.evacuated_arrivals, 0);
		assert_int_equal(result.cold_excess, 0);
		clear_emulated_result(&result);
	}
}

static void test_a_run_repeats(void **state)
{
	assert_true(value_of("few-quick", NULL, NULL) ==
		    value_of("few-quick", NULL, NULL));
}

static void test_faulty_scenarios(void **state)
{
	static const char *const texts[] = {
		"name: x\n",
		"routes: 3\n",
		"routes: [{name: a}]\n",
		"routes: [{name: a, per_s: 1, work_ms: 1, objective_ms: 9, "
		"deadline_ms: 9}]\nshards: 0\n",
		"routes: [{name: a, per_s: x, work_ms: 1, objective_ms: 9, "
		"deadline_ms: 9}]\n",
		"routes: [{name: a, per_s: 1, work_ms: 1, objective_ms: 9, "
		"deadline_ms: 9}]\nfaults: [{kind: odd}]\n",
		"nonsense: 1\n",
		"[",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct emulated_scenario scenario;
		GPtrArray *faults = rr_new_diagnostics();
		char *file;
		int fd = g_file_open_tmp("scenario-XXXXXX", &file, NULL);

		assert_true(fd >= 0);
		assert_true(g_file_set_contents(file, texts[i], -1, NULL));
		assert_false(load_scenario(file, &scenario, faults));
		assert_true(faults->len > 0);
		g_ptr_array_unref(faults);
		g_close(fd, NULL);
		remove(file);
		g_free(file);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calm_answers_are_in_time),
		cmocka_unit_test(test_troubles_cost_a_tenth_at_most),
		cmocka_unit_test(test_each_mechanism_is_worth_its_load),
		cmocka_unit_test(test_a_deadly_request_is_kept_from_replicas),
		cmocka_unit_test(test_crashes_without_a_cause_condemn_nobody),
		cmocka_unit_test(test_evacuated_zones_and_cold_replicas),
		cmocka_unit_test(test_a_run_repeats),
		cmocka_unit_test(test_faulty_scenarios),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
