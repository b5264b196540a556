/*
 * counters.h - counters, gauges and latency histograms of one context, and
 * their Prometheus text.
 *
 * counter-list.h names each with its help; docs/METRICS.md is made from it.
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

/* Add to a counter. */
void rr_count(struct rr_context *ctx, enum rr_counter counter, uint64_t n);
/* Set a gauge. */
void rr_set_gauge(struct rr_context *ctx, enum rr_counter gauge, uint64_t n);
/* Set the gauges of this process's own processor time and memory. */
void rr_update_process_gauges(struct rr_context *ctx);
uint64_t rr_counter_value(struct rr_context *ctx, enum rr_counter counter);

/* Record the time one answer of a service took, in microseconds. */
void rr_observe_latency(struct rr_context *ctx, const char *service,
			int64_t latency_us);
/*
 * The quantile (0 to 1) of a service's latencies in microseconds; 0 where
 * there is none.  Exact to the histogram's bucket (about 9 %).
 */
int64_t rr_latency_quantile_us(struct rr_context *ctx, const char *service,
			       double quantile);

/* Append all of it as Prometheus text, format version 0.0.4. */
void rr_format_metrics(struct rr_context *ctx, GString *out);
/* Append the reference page of all metrics, in Markdown, from the list. */
void rr_format_metrics_reference(GString *out);

#endif
