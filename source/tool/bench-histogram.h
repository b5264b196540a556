/*
 * bench-histogram.h - times of the load, in buckets of under 2 % width.
 */
#ifndef TOOL_BENCH_HISTOGRAM_H
#define TOOL_BENCH_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

#define RR_BENCH_SUB_BUCKETS 64 /* buckets of each power of two */
#define RR_BENCH_POWERS_OF_TWO 36
#define RR_BENCH_BUCKET_COUNT (RR_BENCH_SUB_BUCKETS * RR_BENCH_POWERS_OF_TWO)

/* All zero is empty. */
struct rr_bench_histogram {
	uint64_t counts[RR_BENCH_BUCKET_COUNT];
	uint64_t total;
};

/* Count a time; a negative one counts as 0. */
void rr_add_bench_sample(struct rr_bench_histogram *histogram, int64_t took_us);
void rr_merge_bench_histogram(struct rr_bench_histogram *sum,
			      const struct rr_bench_histogram *other);
/*
 * The time that a share (0 to 1) of all stays within: the upper bound of its
 * bucket; 0 where there is none.
 */
int64_t rr_bench_quantile_us(const struct rr_bench_histogram *histogram,
			     double share);
/*
 * Append an SVG picture of the distribution: time across, in powers of ten,
 * and the share of answers that took no longer, up.
 */
void rr_format_bench_plot(const struct rr_bench_histogram *histogram,
			  const char *title, GString *out);

#endif
