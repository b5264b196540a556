/*
 * policy.c - run the policy experiment's scenarios with each policy and print
 * one JSON line for each run.
 *
 *	policy --all --seed 1
 *	policy --scenario straggler --policy full --seed 1 --seconds 60
 */
#include "policy/model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct scenario scenarios[] = {
	{ .name = "steady", .load = 0.5 },
	/* Baseline for the scenarios with faults at the same load. */
	{ .name = "steady-30", .load = 0.3 },
	/* Low load, as the shard's other replica has to serve all of it. */
	{ .name = "straggler", .load = 0.3, .straggler_factor = 20 },
	{ .name = "slow-5-percent",
	  .load = 0.3,
	  .slow_share = 0.05,
	  .slow_factor = 20 },
	{ .name = "slow-none", .load = 0.3 }, /* baseline for slow-5-percent */
	{ .name = "replica-lost", .load = 0.3, .replica_lost = true },
	{ .name = "cold-start", .load = 0.3, .replica_cold = true },
	{ .name = "shedding", .load = 0.9, .shedding = true },
	{ .name = "false-load", .load = 0.5, .inverted_load = true },
	{ .name = "overload-1", .load = 1.0 },
	{ .name = "overload-1.5", .load = 1.5 },
	{ .name = "overload-3", .load = 3.0 },
	{ .name = "zone-cut", .load = 0.3, .zone_isolated = true },
	{ .name = "index-moves", .load = 0.5, .index_period_us = SECOND },
	{ .name = "nightly-list", .load = 0.5, .nightly_list = true },
	{ .name = "caps", .load = 0.5, .connection_cap = 4 },
};

static const struct policy policies[] = {
	{ .name = "baseline",
	  .switches = { .random_replica = true,
			.no_hedge = true,
			.no_adaptive_limit = true,
			.no_admission = true,
			.no_outliers = true },
	  .no_retry = true },
	{ .name = "no-hedge", .switches = { .no_hedge = true } },
	{ .name = "random-replica", .switches = { .random_replica = true } },
	{ .name = "no-limit", .switches = { .no_adaptive_limit = true } },
	{ .name = "no-admission", .switches = { .no_admission = true } },
	{ .name = "no-outliers", .switches = { .no_outliers = true } },
	{ .name = "full" },
};

static double ratio(uint64_t numerator, uint64_t denominator)
{
	return denominator ? (double)numerator / (double)denominator : 0.0;
}

static void print_result(const struct run_options *options,
			 struct run_result *result)
{
	double extra_ratio =
		ratio(result->attempts, result->needed_attempts) - 1.0;

	printf("{\"scenario\":\"%s\",\"policy\":\"%s\",\"seed\":%u,"
	       "\"p50_ms\":%.2f,\"p90_ms\":%.2f,\"p99_ms\":%.2f,"
	       "\"p999_ms\":%.2f,\"coverage\":%.5f,\"extra_attempts\":%.4f,"
	       "\"peak_connections\":%u,\"connection_cap\":%u,"
	       "\"connections_opened\":%" G_GUINT64_FORMAT
	       ",\"connections_refused\":%" G_GUINT64_FORMAT
	       ",\"goodput\":%.1f,\"asked_per_s\":%.1f,\"refused\":%.4f,"
	       "\"refusal_p99_ms\":%.2f,\"restarts\":%" G_GUINT64_FORMAT
	       ",\"mixed\":%" G_GUINT64_FORMAT
	       ",\"list_rows\":%" G_GUINT64_FORMAT "}\n",
	       options->scenario->name, options->policy->name, options->seed,
	       quantile_ms(result->latencies_us, 0.5),
	       quantile_ms(result->latencies_us, 0.9),
	       quantile_ms(result->latencies_us, 0.99),
	       quantile_ms(result->latencies_us, 0.999),
	       ratio(result->shards_covered, result->shards_needed),
	       extra_ratio, result->peak_connections, result->connection_cap,
	       result->connections_opened, result->connections_refused,
	       (double)result->answered_in_time / result->seconds,
	       (double)result->requests / result->seconds,
	       ratio(result->rejected, result->requests),
	       quantile_ms(result->rejection_latencies_us, 0.99),
	       result->snapshot_restarts, result->mixed_versions,
	       result->list_rows);
	fflush(stdout);
}

static int usage(void)
{
	fprintf(stderr, "usage: policy [--all] [--scenario NAME] "
			"[--policy NAME] [--seed N] [--seconds N]\n"
			"scenarios:");
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++)
		fprintf(stderr, " %s", scenarios[i].name);
	fprintf(stderr, "\npolicies:");
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		fprintf(stderr, " %s", policies[i].name);
	fprintf(stderr, "\n");
	return 2;
}

int main(int argc, char **argv)
{
	const char *only_scenario = NULL;
	const char *only_policy = NULL;
	uint32_t seed = 1;
	int64_t seconds = 30;
	int runs = 0;

	for (int i = 1; i < argc; i++) {
		if (!strcmp(argv[i], "--all"))
			continue;
		if (i + 1 == argc)
			return usage();
		if (!strcmp(argv[i], "--scenario"))
			only_scenario = argv[++i];
		else if (!strcmp(argv[i], "--policy"))
			only_policy = argv[++i];
		else if (!strcmp(argv[i], "--seed"))
			seed = (uint32_t)strtoul(argv[++i], NULL, 10);
		else if (!strcmp(argv[i], "--seconds"))
			seconds = strtol(argv[++i], NULL, 10);
		else
			return usage();
	}
	for (size_t s = 0; s < G_N_ELEMENTS(scenarios); s++) {
		for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
			struct run_options options = {
				.scenario = &scenarios[s],
				.policy = &policies[p],
				.seed = seed,
				.duration_us = seconds * SECOND,
				.warm_up_us = seconds * SECOND / 6,
			};
			struct run_result result;

			if (only_scenario &&
			    strcmp(only_scenario, scenarios[s].name))
				continue;
			if (only_policy &&
			    strcmp(only_policy, policies[p].name))
				continue;
			run_policy(&options, &result);
			print_result(&options, &result);
			clear_result(&result);
			runs++;
		}
	}
	return runs ? 0 : usage();
}
