/*
 * counters.h - counters, gauges and latency histograms of a context, and their
 * export in the Prometheus text format.
 *
 * counter-list.h has their names and help texts; docs/METRICS.md is generated
 * from it.
 */
#ifndef RAGWORT_COUNTERS_H
#define RAGWORT_COUNTERS_H

#include <glib.h>
#include <stdint.h>

struct rr_context;

enum rr_counter {
#define RR_COUNTER(id, name, help) id,
#define RR_GAUGE(id, name, help) id,
#include "ragwort/counter-list.h"
#undef RR_COUNTER
#undef RR_GAUGE
	RR_COUNTER_COUNT,
};

/* Add `n` to a counter. */
void rr_count(struct rr_context *ctx, enum rr_counter counter, uint64_t n);
/* Set a gauge to `n`. */
void rr_set_gauge(struct rr_context *ctx, enum rr_counter gauge, uint64_t n);
/* Update the gauges of this process's processor time and memory. */
void rr_update_process_gauges(struct rr_context *ctx);
uint64_t rr_counter_value(struct rr_context *ctx, enum rr_counter counter);

/* Record the latency of one answer of a service, in microseconds. */
void rr_observe_latency(struct rr_context *ctx, const char *service,
			int64_t latency_us);
/*
 * Return a quantile (0 to 1) of a service's latencies in microseconds; 0 if
 * none were recorded.  The result is the upper bound of the histogram's
 * bucket, which is about 9 % wide.
 */
int64_t rr_latency_quantile_us(struct rr_context *ctx, const char *service,
			       double quantile);

/* Append all metrics in the Prometheus text format, version 0.0.4. */
void rr_format_metrics(struct rr_context *ctx, GString *out);
/* Append the reference page of all metrics (docs/METRICS.md), in Markdown. */
void rr_format_metrics_reference(GString *out);

#endif
