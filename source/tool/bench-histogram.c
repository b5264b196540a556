/*
 * bench-histogram.c - latency histogram and its SVG plot.
 */
#include "tool/bench-histogram.h"

#include <math.h>

#define SUB_BUCKET_BITS 6 /* log2 of RR_BENCH_SUB_BUCKETS */

/* Find a bucket; below RR_BENCH_SUB_BUCKETS, each microsecond has its own. */
static size_t bucket_index(uint64_t latency_us)
{
	unsigned int shift;
	size_t bucket;

	if (latency_us < RR_BENCH_SUB_BUCKETS)
		return (size_t)latency_us;
	shift = 63 - (unsigned int)__builtin_clzll(latency_us) -
		SUB_BUCKET_BITS;
	bucket = (size_t)(shift + 1) * RR_BENCH_SUB_BUCKETS +
		 (size_t)(latency_us >> shift) - RR_BENCH_SUB_BUCKETS;
	return MIN(bucket, RR_BENCH_BUCKET_COUNT - 1);
}

/* Return the inclusive upper bound of a bucket, in microseconds. */
static int64_t bucket_upper_us(size_t bucket)
{
	size_t shift;

	if (bucket < RR_BENCH_SUB_BUCKETS)
		return (int64_t)bucket;
	shift = bucket / RR_BENCH_SUB_BUCKETS - 1;
	return ((int64_t)(bucket % RR_BENCH_SUB_BUCKETS + RR_BENCH_SUB_BUCKETS +
			  1)
		<< shift) -
	       1;
}

void rr_add_bench_sample(struct rr_bench_histogram *histogram,
			 int64_t latency_us)
{
	histogram->counts[bucket_index((uint64_t)MAX(0, latency_us))]++;
	histogram->total++;
}

void rr_merge_bench_histogram(struct rr_bench_histogram *sum,
			      const struct rr_bench_histogram *other)
{
	for (size_t i = 0; i < RR_BENCH_BUCKET_COUNT; i++)
		sum->counts[i] += other->counts[i];
	sum->total += other->total;
}

int64_t rr_bench_quantile_us(const struct rr_bench_histogram *histogram,
			     double quantile)
{
	uint64_t rank = (uint64_t)ceil(quantile * (double)histogram->total);
	uint64_t cumulative = 0;

	for (size_t i = 0; i < RR_BENCH_BUCKET_COUNT && histogram->total; i++) {
		cumulative += histogram->counts[i];
		if (cumulative && cumulative >= rank)
			return bucket_upper_us(i);
	}
	return 0;
}

#define PLOT_WIDTH 640
#define PLOT_HEIGHT 360
#define PLOT_LEFT 60
#define PLOT_TOP 40
#define PLOT_RIGHT 620
#define PLOT_BOTTOM 310
/* The time axis runs from 0.1 ms to 10 s. */
#define PLOT_MIN_US 100.0
#define PLOT_MAX_US 1e7

static double plot_x(double latency_us)
{
	double fraction = log10(CLAMP(latency_us, PLOT_MIN_US, PLOT_MAX_US) /
				PLOT_MIN_US) /
			  5.0;

	return PLOT_LEFT + fraction * (PLOT_RIGHT - PLOT_LEFT);
}

static double plot_y(double fraction)
{
	return PLOT_BOTTOM - fraction * (PLOT_BOTTOM - PLOT_TOP);
}

static void format_grid(GString *out)
{
	static const char *const labels[] = { "0.1 ms", "1 ms", "10 ms",
					      "100 ms", "1 s",	"10 s" };

	for (size_t i = 0; i < G_N_ELEMENTS(labels); i++) {
		double x = plot_x(PLOT_MIN_US * pow(10.0, (double)i));

		g_string_append_printf(
			out,
			"<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" "
			"stroke=\"#ccc\"/><text x=\"%.1f\" y=\"%d\" "
			"text-anchor=\"middle\">%s</text>\n",
			x, PLOT_TOP, x, PLOT_BOTTOM, x, PLOT_BOTTOM + 20,
			labels[i]);
	}
	for (int i = 0; i <= 4; i++) {
		double y = plot_y(i / 4.0);

		g_string_append_printf(
			out,
			"<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
			"stroke=\"#ccc\"/><text x=\"%d\" y=\"%.1f\" "
			"text-anchor=\"end\">%d %%</text>\n",
			PLOT_LEFT, y, PLOT_RIGHT, y, PLOT_LEFT - 6, y + 4,
			i * 25);
	}
}

static void format_curve(const struct rr_bench_histogram *histogram,
			 GString *out)
{
	uint64_t cumulative = 0;

	g_string_append_printf(out,
			       "<polyline fill=\"none\" stroke=\"#06c\" "
			       "stroke-width=\"2\" points=\"%d,%d",
			       PLOT_LEFT, PLOT_BOTTOM);
	for (size_t i = 0; i < RR_BENCH_BUCKET_COUNT; i++) {
		if (!histogram->counts[i])
			continue;
		cumulative += histogram->counts[i];
		g_string_append_printf(
			out, " %.1f,%.1f", plot_x((double)bucket_upper_us(i)),
			plot_y((double)cumulative / (double)histogram->total));
	}
	g_string_append(out, "\"/>\n");
}

static void format_quantile(const struct rr_bench_histogram *histogram,
			    const char *name, double quantile, int line,
			    GString *out)
{
	double latency_us = (double)rr_bench_quantile_us(histogram, quantile);

	g_string_append_printf(
		out,
		"<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"#c30\"/>"
		"<text x=\"%d\" y=\"%d\">%s %.1f ms</text>\n",
		plot_x(latency_us), plot_y(quantile), PLOT_LEFT + 8,
		PLOT_TOP + 16 * line, name, latency_us / 1000.0);
}

void rr_format_bench_plot(const struct rr_bench_histogram *histogram,
			  const char *title, GString *out)
{
	char *escaped = g_markup_escape_text(title, -1);

	g_string_append_printf(
		out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"#fff\"/>\n"
		"<text x=\"%d\" y=\"24\" font-size=\"14\">%s: share of %" G_GUINT64_FORMAT
		" answers by latency</text>\n",
		PLOT_WIDTH, PLOT_HEIGHT, PLOT_LEFT, escaped, histogram->total);
	format_grid(out);
	if (histogram->total) {
		format_curve(histogram, out);
		format_quantile(histogram, "p50", 0.5, 1, out);
		format_quantile(histogram, "p90", 0.9, 2, out);
		format_quantile(histogram, "p99", 0.99, 3, out);
		format_quantile(histogram, "p99.9", 0.999, 4, out);
	}
	g_string_append(out, "</svg>\n");
	g_free(escaped);
}
