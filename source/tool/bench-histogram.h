/*
 * bench-histogram.h - latency histogram with buckets narrower than 2 %.
 */
#ifndef TOOL_BENCH_HISTOGRAM_H
#define TOOL_BENCH_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

#define RR_BENCH_SUB_BUCKETS 64 /* buckets per power of two */
#define RR_BENCH_POWERS_OF_TWO 36
#define RR_BENCH_BUCKET_COUNT (RR_BENCH_SUB_BUCKETS * RR_BENCH_POWERS_OF_TWO)

/* A zero-initialised histogram is empty. */
struct rr_bench_histogram {
	uint64_t counts[RR_BENCH_BUCKET_COUNT];
	uint64_t total;
};

/* Count one latency; negative values count as 0. */
void rr_add_bench_sample(struct rr_bench_histogram *histogram,
			 int64_t latency_us);
void rr_merge_bench_histogram(struct rr_bench_histogram *sum,
			      const struct rr_bench_histogram *other);
/*
 * Return a quantile (0 to 1) in microseconds, as the upper bound of its bucket;
 * 0 if the histogram is empty.
 */
int64_t rr_bench_quantile_us(const struct rr_bench_histogram *histogram,
			     double quantile);
/*
 * Append an SVG plot of the cumulative distribution: latency on a logarithmic
 * x axis, and the fraction of answers that took no longer on the y axis.
 */
void rr_format_bench_plot(const struct rr_bench_histogram *histogram,
			  const char *title, GString *out);

#endif
