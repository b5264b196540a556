/*
 * bench-report.c - tables and JSON lines of `ragwort bench`.
 */
#include "tool/bench-report.h"

#include <stdio.h>

#include "base/json-private.h"

static double quantile_ms(const struct rr_bench_histogram *histogram,
			  double share)
{
	return (double)rr_bench_quantile_us(histogram, share) / 1000.0;
}

static double ratio(double numerator, double denominator)
{
	return denominator > 0 ? numerator / denominator : 0;
}

static double coverage_share(const struct rr_bench_stats *stats)
{
	return ratio((double)stats->shards_covered,
		     (double)(stats->shards_covered + stats->shards_missing));
}

static double attempts_per_shard(const struct rr_bench_stats *stats)
{
	return ratio((double)stats->attempts,
		     (double)(stats->shards_covered + stats->shards_missing));
}

/* Return the increase of a counter of the i-th instance during the run. */
static uint64_t counter_increase(const struct rr_bench_result *result, guint i,
				 enum rr_bench_metric metric)
{
	const struct rr_bench_instance *before = &g_array_index(
		result->before->instances, struct rr_bench_instance, i);
	const struct rr_bench_instance *after = &g_array_index(
		result->after->instances, struct rr_bench_instance, i);

	/* A restarted instance counts from 0 again. */
	if (after->values[metric] < before->values[metric])
		return after->values[metric];
	return after->values[metric] - before->values[metric];
}

static double elapsed_s(const struct rr_bench_result *result)
{
	return (double)(result->after->scraped_us -
			result->before->scraped_us) /
	       G_USEC_PER_SEC;
}

static const struct rr_bench_instance *
instance_at(const struct rr_bench_result *result, guint i)
{
	return &g_array_index(result->after->instances,
			      struct rr_bench_instance, i);
}

static void print_entry(const char *name, const struct rr_bench_stats *stats)
{
	printf("%-16s %7" G_GUINT64_FORMAT " %8.1f %8.1f %8.1f %8.1f %8.4f "
	       "%9.3f",
	       name, stats->requests, quantile_ms(&stats->latencies, 0.5),
	       quantile_ms(&stats->latencies, 0.9),
	       quantile_ms(&stats->latencies, 0.99),
	       quantile_ms(&stats->latencies, 0.999), coverage_share(stats),
	       attempts_per_shard(stats));
	for (int i = 0; i < RR_BENCH_OUTCOME_COUNT; i++)
		printf(" %7" G_GUINT64_FORMAT, stats->outcome_counts[i]);
	printf("\n");
}

static void print_entries(const struct rr_bench_result *result)
{
	printf("%-16s %7s %8s %8s %8s %8s %8s %9s %7s %7s %7s %7s %7s %7s\n",
	       "REQUESTS", "ASKED", "P50 MS", "P90 MS", "P99 MS", "P99.9 MS",
	       "COVERAGE", "ATT/SHARD", "WHOLE", "PARTIAL", "NOT-RUN",
	       "UNKNOWN", "OTHER", "NONE");
	for (size_t i = 0; i < result->scenario->n_entries; i++)
		print_entry(result->scenario->entries[i].name,
			    &result->stats[i]);
}

static void print_rejections(const struct rr_bench_result *result)
{
	for (size_t i = 0; i < result->scenario->n_entries; i++) {
		const struct rr_bench_stats *stats = &result->stats[i];

		if (stats->rejection_latencies.total)
			printf("%s: rejection latency p50 %.1f ms, p99 %.1f "
			       "ms\n",
			       result->scenario->entries[i].name,
			       quantile_ms(&stats->rejection_latencies, 0.5),
			       quantile_ms(&stats->rejection_latencies, 0.99));
		printf("%s: send delay of the load generator p99 %.2f ms\n",
		       result->scenario->entries[i].name,
		       quantile_ms(&stats->send_delays, 0.99));
	}
}

static void print_instances(const struct rr_bench_result *result)
{
	double seconds = elapsed_s(result);

	printf("\n%-22s %6s %8s %9s %9s %7s %7s %7s %8s %9s\n", "INSTANCE",
	       "CPU %", "RES MB", "REQUESTS", "ATTEMPTS", "HEDGES", "RETRIES",
	       "REFUSED", "RELAYS", "MESSAGES");
	for (guint i = 0; i < result->after->instances->len; i++) {
		const struct rr_bench_instance *instance =
			instance_at(result, i);

		if (!instance->answered) {
			printf("%-22s no answer\n", instance->address);
			continue;
		}
		printf("%-22s %6.1f %8.1f", instance->address,
		       (double)counter_increase(result, i, RR_BENCH_CPU_MS) /
			       10 / seconds,
		       (double)instance->values[RR_BENCH_RESIDENT_BYTES] / 1e6);
		printf(" %9" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT
		       " %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT
		       " %7" G_GUINT64_FORMAT,
		       counter_increase(result, i, RR_BENCH_REQUESTS),
		       counter_increase(result, i, RR_BENCH_ATTEMPTS),
		       counter_increase(result, i, RR_BENCH_HEDGES),
		       counter_increase(result, i, RR_BENCH_RETRIES),
		       counter_increase(result, i, RR_BENCH_REJECTED));
		printf(" %8" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT "\n",
		       counter_increase(result, i, RR_BENCH_RELAYS_SENT),
		       counter_increase(result, i, RR_BENCH_PEER_MESSAGES));
	}
}

static void print_totals(const struct rr_bench_result *result)
{
	double cpu_s = 0;
	double requests = 0;
	double attempts = 0;

	for (guint i = 0; i < result->after->instances->len; i++) {
		cpu_s += (double)counter_increase(result, i, RR_BENCH_CPU_MS) /
			 1000;
		requests +=
			(double)counter_increase(result, i, RR_BENCH_REQUESTS);
		attempts +=
			(double)counter_increase(result, i, RR_BENCH_ATTEMPTS);
	}
	printf("all instances: %.2f s of CPU time in %.1f s, %.0f "
	       "requests and %.0f attempts per second of CPU time\n",
	       cpu_s, elapsed_s(result), ratio(requests, cpu_s),
	       ratio(attempts, cpu_s));
}

/* Return a replica's counters before the run; zero if not scraped then. */
static struct rr_bench_replica
replica_before(const struct rr_bench_result *result, guint i)
{
	struct rr_bench_replica none = { .control_address = NULL };

	return i < result->before->replicas->len ?
		       g_array_index(result->before->replicas,
				     struct rr_bench_replica, i) :
		       none;
}

static void print_replicas(const struct rr_bench_result *result)
{
	if (!result->after->replicas->len)
		return;
	printf("\n%-22s %7s %9s %7s %5s\n", "UPSTREAM STAND-IN", "REPLICA",
	       "REQUESTS", "OPENED", "PEAK");
	for (guint i = 0; i < result->after->replicas->len; i++) {
		const struct rr_bench_replica *replica = &g_array_index(
			result->after->replicas, struct rr_bench_replica, i);
		struct rr_bench_replica before = replica_before(result, i);

		printf("%-22s %7" G_GINT64_FORMAT " %9" G_GINT64_FORMAT
		       " %7" G_GINT64_FORMAT " %5" G_GINT64_FORMAT "\n",
		       replica->control_address, replica->replica_number,
		       replica->requests - before.requests,
		       replica->connections_opened - before.connections_opened,
		       replica->peak_connections);
	}
}

void rr_print_bench_tables(const struct rr_bench_result *result)
{
	print_entries(result);
	print_rejections(result);
	print_instances(result);
	print_totals(result);
	print_replicas(result);
}

static const char *const outcome_names[RR_BENCH_OUTCOME_COUNT] = {
	"complete", "partial", "not_run", "unknown", "other", "no_answer",
};

static void format_entry(const char *name, const struct rr_bench_stats *stats,
			 GString *out)
{
	g_string_append(out, "{\"requests\":");
	rr_append_json_string(out, name);
	g_string_append_printf(
		out,
		",\"asked\":%" G_GUINT64_FORMAT
		",\"p50_ms\":%.3f,\"p90_ms\":%.3f,\"p99_ms\":%.3f,"
		"\"p999_ms\":%.3f,\"coverage\":%.6f,"
		"\"attempts_per_shard\":%.4f,\"rows\":%" G_GUINT64_FORMAT
		",\"refusal_p99_ms\":%.3f,\"late_p99_ms\":%.3f",
		stats->requests, quantile_ms(&stats->latencies, 0.5),
		quantile_ms(&stats->latencies, 0.9),
		quantile_ms(&stats->latencies, 0.99),
		quantile_ms(&stats->latencies, 0.999), coverage_share(stats),
		attempts_per_shard(stats), stats->rows,
		quantile_ms(&stats->rejection_latencies, 0.99),
		quantile_ms(&stats->send_delays, 0.99));
	for (int i = 0; i < RR_BENCH_OUTCOME_COUNT; i++)
		g_string_append_printf(out, ",\"%s\":%" G_GUINT64_FORMAT,
				       outcome_names[i],
				       stats->outcome_counts[i]);
	g_string_append(out, "}\n");
}

static void format_instance(const struct rr_bench_result *result, guint i,
			    GString *out)
{
	const struct rr_bench_instance *instance = instance_at(result, i);

	g_string_append_printf(
		out, "{\"instance\":\"%s\",\"answered\":%s,\"seconds\":%.3f",
		instance->address, instance->answered ? "true" : "false",
		elapsed_s(result));
	g_string_append_printf(
		out,
		",\"cpu_ms\":%" G_GUINT64_FORMAT
		",\"resident_bytes\":%" G_GUINT64_FORMAT
		",\"requests\":%" G_GUINT64_FORMAT
		",\"attempts\":%" G_GUINT64_FORMAT
		",\"hedges\":%" G_GUINT64_FORMAT
		",\"retries\":%" G_GUINT64_FORMAT
		",\"refused\":%" G_GUINT64_FORMAT
		",\"relays\":%" G_GUINT64_FORMAT
		",\"peer_messages\":%" G_GUINT64_FORMAT "}\n",
		counter_increase(result, i, RR_BENCH_CPU_MS),
		instance->values[RR_BENCH_RESIDENT_BYTES],
		counter_increase(result, i, RR_BENCH_REQUESTS),
		counter_increase(result, i, RR_BENCH_ATTEMPTS),
		counter_increase(result, i, RR_BENCH_HEDGES),
		counter_increase(result, i, RR_BENCH_RETRIES),
		counter_increase(result, i, RR_BENCH_REJECTED),
		counter_increase(result, i, RR_BENCH_RELAYS_SENT),
		counter_increase(result, i, RR_BENCH_PEER_MESSAGES));
}

static void format_replica(const struct rr_bench_result *result, guint i,
			   GString *out)
{
	const struct rr_bench_replica *replica = &g_array_index(
		result->after->replicas, struct rr_bench_replica, i);
	struct rr_bench_replica before = replica_before(result, i);

	g_string_append_printf(
		out,
		"{\"standin\":\"%s\",\"replica\":%" G_GINT64_FORMAT
		",\"requests\":%" G_GINT64_FORMAT
		",\"opened\":%" G_GINT64_FORMAT
		",\"peak_connections\":%" G_GINT64_FORMAT "}\n",
		replica->control_address, replica->replica_number,
		replica->requests - before.requests,
		replica->connections_opened - before.connections_opened,
		replica->peak_connections);
}

void rr_print_bench_json(const struct rr_bench_result *result)
{
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < result->scenario->n_entries; i++)
		format_entry(result->scenario->entries[i].name,
			     &result->stats[i], out);
	for (guint i = 0; i < result->after->instances->len; i++)
		format_instance(result, i, out);
	for (guint i = 0; i < result->after->replicas->len; i++)
		format_replica(result, i, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
}
