/*
 * test-gate-emulated.c - the gate's policy against emulated replicas.
 *
 * Each scenario has to meet its target, and each mechanism has to improve the
 * scenarios that it is meant for.
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
/* Minimum fraction of answers within the objective, without faults. */
#define MIN_IN_TIME 0.99
/* Minimum answer value, as a fraction of the maximum, with faults. */
#define MIN_VALUE 0.90
/* Smallest difference in value that counts as a gain: half a per cent. */
#define MIN_GAIN 0.005

static void load_named_scenario(const char *name,
				struct emulated_scenario *scenario)
{
	char *file = g_strdup_printf("bench/gate/scenarios/%s.yaml", name);
	char *path = rr_source_path(file);
	GPtrArray *errors = rr_new_diagnostics();

	if (!load_scenario(path, scenario, errors)) {
		rr_print_diagnostics(errors);
		fail_msg("%s cannot be read", name);
	}
	g_ptr_array_unref(errors);
	g_free(path);
	g_free(file);
}

/* Return the mean value over the seeds; `in_time` may be NULL. */
static double measure_value(const char *name, const char *disabled,
			    double *in_time)
{
	struct emulated_scenario scenario;
	struct rr_gate_policy policy;
	uint64_t n_requests = 0;
	uint64_t n_in_time = 0;
	double total_value = 0;

	load_named_scenario(name, &scenario);
	rr_init_gate_policy(&policy);
	if (disabled)
		assert_true(rr_set_gate_policy(&policy, disabled, "off"));
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct emulated_result result;

		emulate_scenario(&scenario, &policy, seed, &result);
		total_value += mean_answer_value(&result);
		n_requests += result.requests;
		n_in_time += result.answered_in_time;
		clear_emulated_result(&result);
	}
	if (in_time)
		*in_time = (double)n_in_time / (double)n_requests;
	return total_value / SEEDS;
}

static void test_answers_in_time_without_faults(void **state)
{
	double in_time;

	measure_value("calm", NULL, &in_time);
	if (in_time < MIN_IN_TIME)
		fail_msg("%.4f in time", in_time);
}

/* In these scenarios at most one shard has no replica that answers. */
static void test_value_with_faults(void **state)
{
	static const char *const names[] = {
		"failing",	 "shedding",   "reborn", "zone-cut",
		"ninety-shards", "shard-lost", "deadly",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		double value = measure_value(names[i], NULL, NULL);

		if (value < MIN_VALUE)
			fail_msg("%s: %.4f", names[i], value);
	}
}

/*
 * Guards against the removal of a mechanism that no unit test needs.  Each one
 * improves the answers in some scenario; without it they are worse there.
 */
static void test_each_mechanism_gains(void **state)
{
	static const struct {
		const char *scenario;
		const char *mechanism;
	} cases[] = {
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

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool same_scenario =
			i && cases[i].scenario == cases[i - 1].scenario;
		double without = measure_value(cases[i].scenario,
					       cases[i].mechanism, NULL);

		if (!same_scenario)
			with = measure_value(cases[i].scenario, NULL, NULL);
		if (with - without < MIN_GAIN)
			fail_msg("%s in %s: %.4f with it, %.4f without",
				 cases[i].mechanism, cases[i].scenario, with,
				 without);
	}
}

/* Guards against a query of death that is sent on after its detection. */
static void test_query_of_death_is_quarantined(void **state)
{
	struct emulated_scenario scenario;
	struct emulated_result result;

	(void)state;
	load_named_scenario("deadly", &scenario);
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		emulate_scenario(&scenario, NULL, seed, &result);
		assert_true(result.crashes >= 3);
		assert_in_range(result.late_queries_of_death, 0, 3);
		clear_emulated_result(&result);
	}
}

/* Guards against quarantine that costs more than it saves on random crashes. */
static void test_random_crashes_quarantine_nothing(void **state)
{
	double with = measure_value("crashing", NULL, NULL);
	double without = measure_value("crashing", "quarantine_known", NULL);
	struct emulated_scenario scenario;
	struct emulated_result result;

	(void)state;
	if (without - with >= MIN_GAIN)
		fail_msg("%.4f with it, %.4f without", with, without);
	load_named_scenario("crashing", &scenario);
	emulate_scenario(&scenario, NULL, 1, &result);
	assert_int_equal(result.quarantine_reports, 0);
	clear_emulated_result(&result);
}

/* Guards against work for evacuated zones and overload of cold replicas. */
static void test_evacuated_zones_and_cold_replicas(void **state)
{
	struct emulated_scenario scenario;
	struct emulated_result result;

	(void)state;
	load_named_scenario("evacuated", &scenario);
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		emulate_scenario(&scenario, NULL, seed, &result);
		assert_int_equal(result.evacuated_arrivals, 0);
		assert_int_equal(result.cold_excess, 0);
		clear_emulated_result(&result);
	}
}

/*
 * Guards against work for a zone that is evacuated after a restore of the
 * store, at a lower revision, and against replicas that are dropped while their
 * entries are lost.
 */
static void test_evacuation_after_restore(void **state)
{
	struct emulated_scenario scenario;
	struct emulated_result result;

	(void)state;
	load_named_scenario("restored", &scenario);
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		emulate_scenario(&scenario, NULL, seed, &result);
		assert_int_equal(result.evacuated_arrivals, 0);
		assert_int_equal(result.cold_excess, 0);
		clear_emulated_result(&result);
	}
}

static void test_emulation_is_deterministic(void **state)
{
	assert_true(measure_value("few-quick", NULL, NULL) ==
		    measure_value("few-quick", NULL, NULL));
}

static void test_invalid_scenarios(void **state)
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
		GPtrArray *errors = rr_new_diagnostics();
		char *file;
		int fd = g_file_open_tmp("scenario-XXXXXX", &file, NULL);

		assert_true(fd >= 0);
		assert_true(g_file_set_contents(file, texts[i], -1, NULL));
		assert_false(load_scenario(file, &scenario, errors));
		assert_true(errors->len > 0);
		g_ptr_array_unref(errors);
		g_close(fd, NULL);
		remove(file);
		g_free(file);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_in_time_without_faults),
		cmocka_unit_test(test_value_with_faults),
		cmocka_unit_test(test_each_mechanism_gains),
		cmocka_unit_test(test_query_of_death_is_quarantined),
		cmocka_unit_test(test_random_crashes_quarantine_nothing),
		cmocka_unit_test(test_evacuated_zones_and_cold_replicas),
		cmocka_unit_test(test_evacuation_after_restore),
		cmocka_unit_test(test_emulation_is_deterministic),
		cmocka_unit_test(test_invalid_scenarios),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
