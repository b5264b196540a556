/*
 * counters.c - counters, gauges, latency histograms and their Prometheus text.
 */
#include "ragwort/counters.h"

#include <inttypes.h>
#include <math.h>
#include <stdbool.h>

#include "base/context-private.h"

/*
 * Bucket bounds grow by a factor of 2^(1/8), about 9 %, from 1 us to about 18
 * minutes.
 */
#define BUCKETS_PER_DOUBLING 8
#define BUCKET_COUNT (30 * BUCKETS_PER_DOUBLING)

struct rr_histogram {
	uint64_t buckets[BUCKET_COUNT];
	uint64_t count;
	uint64_t sum_us;
};

struct counter_info {
	const char *name;
	const char *help;
	bool gauge;
};

static const struct counter_info counter_infos[RR_COUNTER_COUNT] = {
#define RR_COUNTER(id, name, help) [id] = { name, help, false },
#define RR_GAUGE(id, name, help) [id] = { name, help, true },
#include "ragwort/counter-list.h"
#undef RR_COUNTER
#undef RR_GAUGE
};

/* Upper bounds of the exported Prometheus buckets. */
static const int64_t exported_bounds_us[] = {
	1000,  2000,   5000,   10000,  20000,	50000,
	84000, 100000, 200000, 500000, 1000000, 5000000,
};

void rr_count(struct rr_context *ctx, enum rr_counter counter, uint64_t n)
{
	ctx->counters[counter] += n;
}

void rr_set_gauge(struct rr_context *ctx, enum rr_counter gauge, uint64_t n)
{
	ctx->counters[gauge] = n;
}

uint64_t rr_counter_value(struct rr_context *ctx, enum rr_counter counter)
{
	return ctx->counters[counter];
}

static int find_bucket(int64_t latency_us)
{
	int bucket;

	if (latency_us <= 1)
		return 0;
	bucket = (int)(log2((double)latency_us) * BUCKETS_PER_DOUBLING);
	return MIN(bucket, BUCKET_COUNT - 1);
}

/* Return the upper bound of a bucket, rounded up to a microsecond. */
static int64_t bucket_bound_us(int bucket)
{
	return (int64_t)ceil(exp2((bucket + 1.0) / BUCKETS_PER_DOUBLING));
}

void rr_observe_latency(struct rr_context *ctx, const char *service,
			int64_t latency_us)
{
	struct rr_histogram *histogram;

	histogram = g_hash_table_lookup(ctx->latencies, service);
	if (!histogram) {
		histogram = g_new0(struct rr_histogram, 1);
		g_hash_table_insert(ctx->latencies, g_strdup(service),
				    histogram);
	}
	histogram->buckets[find_bucket(latency_us)]++;
	histogram->count++;
	histogram->sum_us += (uint64_t)MAX(latency_us, 0);
}

int64_t rr_latency_quantile_us(struct rr_context *ctx, const char *service,
			       double quantile)
{
	struct rr_histogram *histogram;
	uint64_t rank;
	uint64_t cumulative_count = 0;

	histogram = g_hash_table_lookup(ctx->latencies, service);
	if (!histogram || !histogram->count)
		return 0;
	rank = (uint64_t)ceil(quantile * (double)histogram->count);
	for (int i = 0; i < BUCKET_COUNT; i++) {
		cumulative_count += histogram->buckets[i];
		if (cumulative_count && cumulative_count >= rank)
			return bucket_bound_us(i);
	}
	return bucket_bound_us(BUCKET_COUNT - 1);
}

/* Escape a label's value as the Prometheus text format requires. */
static char *escape_label(const char *text)
{
	GString *out = g_string_new(NULL);

	for (; *text; text++) {
		if (*text == '\\' || *text == '"')
			g_string_append_printf(out, "\\%c", *text);
		else if (*text == '\n')
			g_string_append(out, "\\n");
		else
			g_string_append_c(out, *text);
	}
	return g_string_free(out, FALSE);
}

static void format_histogram(const char *service,
			     const struct rr_histogram *histogram, GString *out)
{
	static const char name[] = "ragwort_answer_seconds";
	char *escaped_service = escape_label(service);
	uint64_t cumulative_count = 0;
	int bucket = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(exported_bounds_us); i++) {
		int64_t bound_us = exported_bounds_us[i];

		while (bucket < BUCKET_COUNT &&
		       bucket_bound_us(bucket) <= bound_us)
			cumulative_count += histogram->buckets[bucket++];
		g_string_append_printf(
			out,
			"%s_bucket{service=\"%s\",le=\"%g\"} %" PRIu64 "\n",
			name, escaped_service, (double)bound_us / 1e6,
			cumulative_count);
	}
	g_string_append_printf(
		out, "%s_bucket{service=\"%s\",le=\"+Inf\"} %" PRIu64 "\n",
		name, escaped_service, histogram->count);
	g_string_append_printf(out, "%s_sum{service=\"%s\"} %.6f\n", name,
			       escaped_service,
			       (double)histogram->sum_us / 1e6);
	g_string_append_printf(out, "%s_count{service=\"%s\"} %" PRIu64 "\n",
			       name, escaped_service, histogram->count);
	g_free(escaped_service);
}

void rr_format_metrics(struct rr_context *ctx, GString *out)
{
	GHashTableIter iter;
	gpointer service;
	gpointer histogram;

	for (int i = 0; i < RR_COUNTER_COUNT; i++) {
		g_string_append_printf(out, "# HELP ragwort_%s %s\n",
				       counter_infos[i].name,
				       counter_infos[i].help);
		g_string_append_printf(
			out, "# TYPE ragwort_%s %s\n", counter_infos[i].name,
			counter_infos[i].gauge ? "gauge" : "counter");
		g_string_append_printf(out, "ragwort_%s %" PRIu64 "\n",
				       counter_infos[i].name, ctx->counters[i]);
	}
	g_string_append(out, "# HELP ragwort_answer_seconds time from "
			     "request to answer\n"
			     "# TYPE ragwort_answer_seconds histogram\n");
	g_hash_table_iter_init(&iter, ctx->latencies);
	while (g_hash_table_iter_next(&iter, &service, &histogram))
		format_histogram(service, histogram, out);
}

void rr_format_metrics_reference(GString *out)
{
	g_string_append(
		out,
		"# Metrics\n"
		"\n"
		"Generated by `ragwort metrics-reference` from the list in\n"
		"include/ragwort/counter-list.h; do not edit it by hand. "
		"`GET /metrics`\n"
		"of an instance gives them in the Prometheus text format, "
		"version 0.0.4.\n"
		"\n"
		"| name | type | meaning |\n"
		"| --- | --- | --- |\n");
	for (int i = 0; i < RR_COUNTER_COUNT; i++)
		g_string_append_printf(out, "| `ragwort_%s` | %s | %s |\n",
				       counter_infos[i].name,
				       counter_infos[i].gauge ? "gauge" :
								"counter",
				       counter_infos[i].help);
	g_string_append(out, "| `ragwort_answer_seconds` | histogram, label "
			     "`service` | time from request to "
			     "answer |\n");
}
