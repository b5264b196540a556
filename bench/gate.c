/*
 * gate.c - run the gateway's policy against emulated replicas.
 *
 *	gate --all --seed 1
 *	gate --scenario FILE --vary hedge_quantile=0.8..0.97 --steps 5
 *	gate --all --ablate all
 *	gate --drawn 40
 *
 * Prints one JSON line for each run.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "gate/emulator.h"
#include "ragwort/settings.h"
#include "support/paths.h"

#define SCENARIOS "bench/gate/scenarios"
#define MAX_SET_ARGS 16

struct experiment {
	uint32_t seed;
	uint32_t seeds;
	const char *label; /* how it differs from the default policy */
	struct rr_gate_policy policy;
};

static void print_run(const struct emulated_scenario *scenario,
		      const struct experiment *experiment, uint32_t seed,
		      const struct emulated_result *result)
{
	printf("{\"scenario\":\"%s\",\"policy\":\"%s\",\"seed\":%u,"
	       "\"value\":%.4f,\"asked\":%" G_GUINT64_FORMAT
	       ",\"in_time\":%" G_GUINT64_FORMAT ",\"late\":%" G_GUINT64_FORMAT
	       ",\"partial\":%" G_GUINT64_FORMAT
	       ",\"returned\":%" G_GUINT64_FORMAT
	       ",\"refused\":%" G_GUINT64_FORMAT
	       ",\"failed\":%" G_GUINT64_FORMAT
	       ",\"attempts\":%" G_GUINT64_FORMAT
	       ",\"crashes\":%" G_GUINT64_FORMAT
	       ",\"reports\":%" G_GUINT64_FORMAT
	       ",\"deadly_late\":%" G_GUINT64_FORMAT
	       ",\"evacuated\":%" G_GUINT64_FORMAT
	       ",\"cold_excess\":%" G_GUINT64_FORMAT
	       ",\"slot_use\":%.3f,\"p50_ms\":%.1f,\"p99_ms\":%.1f}\n",
	       scenario->name, experiment->label, seed,
	       mean_answer_value(result), result->requests,
	       result->answered_in_time, result->late, result->partial,
	       result->caller_retries, result->rejected, result->failed,
	       result->attempts, result->crashes, result->quarantine_reports,
	       result->late_queries_of_death, result->evacuated_arrivals,
	       result->cold_excess, result->slot_use,
	       latency_quantile_ms(result, 0.5),
	       latency_quantile_ms(result, 0.99));
	fflush(stdout);
}

static void print_scenario(const struct emulated_scenario *scenario)
{
	const struct emulated_route *route = &scenario->routes[0];

	printf("{\"scenario\":\"%s\",\"instances\":%g,\"zones\":%g,"
	       "\"shards\":%g,\"replicas\":%g,\"slots\":%g,"
	       "\"pause_ms\":%g,\"far_ms\":%.1f,\"caller_ms\":%.1f,"
	       "\"per_s\":%.2f,\"work_ms\":%.1f,\"objective_ms\":%.0f,"
	       "\"deadline_ms\":%.0f,\"least_share\":%.2f,"
	       "\"faults\":%u}\n",
	       scenario->name, scenario->instances, scenario->zones,
	       scenario->shards, scenario->replicas, scenario->slots,
	       scenario->pause_ms, scenario->far_ms, scenario->caller_ms,
	       route->per_s, route->work_ms, route->objective_ms,
	       route->deadline_ms, route->least_share, scenario->n_faults);
}

/* Run a scenario with each seed; return the mean answer value. */
static double run_scenario(const struct emulated_scenario *scenario,
			   const struct rr_gate_policy *policy,
			   const struct experiment *experiment)
{
	double sum = 0;

	for (uint32_t i = 0; i < experiment->seeds; i++) {
		struct emulated_result result;

		emulate_scenario(scenario, policy, experiment->seed + i,
				 &result);
		print_run(scenario, experiment, experiment->seed + i, &result);
		sum += mean_answer_value(&result);
		clear_emulated_result(&result);
	}
	return sum / experiment->seeds;
}

static void ablate(const struct emulated_scenario *scenario, const char *name,
		   struct experiment experiment)
{
	struct rr_gate_policy policy = experiment.policy;
	char label[64];

	if (!rr_set_gate_policy(&policy, name, "off"))
		return;
	g_snprintf(label, sizeof(label), "without %s", name);
	experiment.label = label;
	run_scenario(scenario, &policy, &experiment);
}

static void ablate_all(const struct emulated_scenario *scenario,
		       const char *which, const struct experiment *experiment)
{
	const char *const *names = rr_gate_policy_switches();

	for (size_t i = 0; names[i]; i++) {
		if (!strcmp(which, "all") || !strcmp(which, names[i]))
			ablate(scenario, names[i], *experiment);
	}
}

/* Vary a policy setting by NAME=FROM..TO; return false if that is invalid. */
static bool vary(const struct emulated_scenario *scenario, const char *spec,
		 int steps, struct experiment experiment)
{
	char **words = g_strsplit(spec, "=", 2);
	char **range =
		words[0] && words[1] ? g_strsplit(words[1], "..", 2) : NULL;
	bool ok = range && range[0] && range[1];

	for (int i = 0; ok && i < steps; i++) {
		double from = g_ascii_strtod(range[0], NULL);
		double to = g_ascii_strtod(range[1], NULL);
		struct rr_gate_policy policy = experiment.policy;
		char value[32];
		char label[96];

		g_ascii_formatd(value, sizeof(value), "%.6g",
				from + (to - from) * i / MAX(steps - 1, 1));
		ok = rr_set_gate_policy(&policy, words[0], value);
		g_snprintf(label, sizeof(label), "%s=%s", words[0], value);
		experiment.label = label;
		if (ok)
			run_scenario(scenario, &policy, &experiment);
	}
	g_strfreev(range);
	g_strfreev(words);
	return ok;
}

static double run_baseline(struct emulated_scenario scenario,
			   struct experiment experiment)
{
	struct rr_gate_policy policy;

	init_baseline_policy(&policy);
	scenario.routes[0].max_attempts = 1;
	experiment.label = "plain";
	return run_scenario(&scenario, &policy, &experiment);
}

/*
 * Compare the policy with the baseline in generated deployments.  It should be
 * worse in none of them.
 */
static void run_many_generated(int n, struct experiment experiment)
{
	double worst = 1;
	double sum = 0;
	uint32_t worst_seed = 0;

	for (uint32_t i = 1; i <= (uint32_t)n; i++) {
		struct emulated_scenario scenario;
		double gain;

		generate_scenario(i, &scenario);
		gain = run_scenario(&scenario, &experiment.policy,
				    &experiment) -
		       run_baseline(scenario, experiment);
		sum += gain;
		if (gain < worst) {
			worst = gain;
			worst_seed = i;
		}
	}
	printf("{\"drawn\":%d,\"mean_gain\":%.4f,\"worst_gain\":%.4f,"
	       "\"worst\":\"drawn-%u\"}\n",
	       n, sum / n, worst, worst_seed);
}

struct arguments {
	struct arg_lit *all;
	struct arg_file *scenario;
	struct arg_int *seed;
	struct arg_int *seeds;
	struct arg_str *vary;
	struct arg_int *steps;
	struct arg_str *ablate;
	struct arg_str *set;
	struct arg_int *drawn;
	struct arg_int *draw;
	struct arg_lit *help;
	struct arg_end *end;
};

/* Run with the default policy and with the requested variations. */
static bool run_one(const struct emulated_scenario *scenario,
		    const struct arguments *arguments,
		    const struct experiment *experiment)
{
	run_scenario(scenario, &experiment->policy, experiment);
	if (arguments->ablate->count)
		ablate_all(scenario, arguments->ablate->sval[0], experiment);
	if (!arguments->vary->count)
		return true;
	return vary(scenario, arguments->vary->sval[0],
		    arguments->steps->ival[0], *experiment);
}

static bool run_file(const char *file, const struct arguments *arguments,
		     const struct experiment *experiment)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct emulated_scenario scenario;
	bool ok = load_scenario(file, &scenario, diagnostics);

	rr_print_diagnostics(diagnostics);
	g_ptr_array_unref(diagnostics);
	return ok && run_one(&scenario, arguments, experiment);
}

static bool run_generated(const struct arguments *arguments,
			  const struct experiment *experiment)
{
	struct emulated_scenario scenario;

	generate_scenario((uint32_t)arguments->draw->ival[0], &scenario);
	print_scenario(&scenario);
	run_baseline(scenario, *experiment);
	return run_one(&scenario, arguments, experiment);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static bool run_all(const struct arguments *arguments,
		    const struct experiment *experiment)
{
	char *directory = rr_source_path(SCENARIOS);
	GDir *dir = g_dir_open(directory, 0, NULL);
	GPtrArray *files = g_ptr_array_new_with_free_func(g_free);
	const char *name;
	bool ok = dir != NULL;

	while (dir && (name = g_dir_read_name(dir)))
		g_ptr_array_add(files, g_build_filename(directory, name, NULL));
	g_ptr_array_sort(files, compare_names);
	for (guint i = 0; i < files->len; i++)
		ok &= run_file(g_ptr_array_index(files, i), arguments,
			       experiment);
	if (dir)
		g_dir_close(dir);
	g_ptr_array_unref(files);
	g_free(directory);
	return ok;
}

/* Apply the NAME=VALUE arguments; return false if one is invalid. */
static bool apply_settings(const struct arg_str *set,
			   struct rr_gate_policy *policy)
{
	bool ok = true;

	for (int i = 0; i < set->count; i++) {
		char **words = g_strsplit(set->sval[i], "=", 2);

		if (!words[0] || !words[1] ||
		    !rr_set_gate_policy(policy, words[0], words[1])) {
			fprintf(stderr, "gate: %s is not a policy setting\n",
				set->sval[i]);
			ok = false;
		}
		g_strfreev(words);
	}
	return ok;
}

static int print_help(void **table)
{
	printf("Usage: gate");
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-24s %s\n");
	return 0;
}

int main(int argc, char **argv)
{
	struct arguments arguments = {
		.all = arg_lit0(NULL, "all", "run all files of " SCENARIOS),
		.scenario = arg_file0(NULL, "scenario", "FILE",
				      "run one scenario file"),
		.seed = arg_int0(NULL, "seed", "N", "first seed, default 1"),
		.seeds = arg_int0(NULL, "seeds", "N",
				  "number of seeds, default 1"),
		.vary = arg_str0(NULL, "vary", "NAME=FROM..TO",
				 "vary a number of the policy"),
		.steps = arg_int0(NULL, "steps", "N",
				  "steps of --vary, default 5"),
		.ablate = arg_str0(
			NULL, "ablate", "NAME",
			"turn off a switch of the policy, or all in turn"),
		.set = arg_strn(NULL, "set", "NAME=VALUE", 0, MAX_SET_ARGS,
				"set a policy setting for all runs"),
		.drawn = arg_int0(NULL, "drawn", "N",
				  "run N randomly generated deployments"),
		.draw = arg_int0(NULL, "draw", "SEED",
				 "run one generated deployment"),
		.help = arg_lit0("h", "help", "print this and exit"),
		.end = arg_end(8),
	};
	void *table[] = { arguments.all,    arguments.scenario, arguments.seed,
			  arguments.seeds,  arguments.vary,	arguments.steps,
			  arguments.ablate, arguments.set,	arguments.drawn,
			  arguments.draw,   arguments.help,	arguments.end };
	struct experiment experiment = { .label = "default" };
	bool ok = true;

	arguments.seed->ival[0] = 1;
	arguments.seeds->ival[0] = 1;
	arguments.steps->ival[0] = 5;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, arguments.end, "gate");
		return 2;
	}
	if (arguments.help->count)
		return print_help(table);
	experiment.seed = (uint32_t)arguments.seed->ival[0];
	experiment.seeds = (uint32_t)MAX(arguments.seeds->ival[0], 1);
	rr_init_gate_policy(&experiment.policy);
	if (!apply_settings(arguments.set, &experiment.policy))
		return 2;
	if (arguments.all->count)
		ok = run_all(&arguments, &experiment);
	if (arguments.scenario->count)
		ok = run_file(arguments.scenario->filename[0], &arguments,
			      &experiment);
	if (arguments.draw->count)
		ok = run_generated(&arguments, &experiment);
	if (arguments.drawn->count)
		run_many_generated(arguments.drawn->ival[0], experiment);
	arg_freetable(table, G_N_ELEMENTS(table));
	return ok ? 0 : 2;
}
