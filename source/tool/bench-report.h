/*
 * bench-report.h - what `ragwort bench` prints.
 */
#ifndef TOOL_BENCH_REPORT_H
#define TOOL_BENCH_REPORT_H

#include "tool/bench-load.h"
#include "tool/bench-scrape.h"

struct rr_bench_result {
	const struct rr_bench_scenario *scenario;
	const struct rr_bench_stats *stats; /* one an entry */
	const struct rr_bench_scrape *before;
	const struct rr_bench_scrape *after;
};

/* Tables for people, on stdout. */
void rr_print_bench_tables(const struct rr_bench_result *result);
/* One JSON object a line, on stdout: entries, instances, replicas. */
void rr_print_bench_json(const struct rr_bench_result *result);

#endif
