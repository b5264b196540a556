/*
 * bench-report.h - tables and JSON lines of `ragwort bench`.
 */
#ifndef TOOL_BENCH_REPORT_H
#define TOOL_BENCH_REPORT_H

#include "tool/bench-load.h"
#include "tool/bench-scrape.h"

struct rr_bench_result {
	const struct rr_bench_scenario *scenario;
	const struct rr_bench_stats *stats; /* one per entry of the scenario */
	const struct rr_bench_scrape *before;
	const struct rr_bench_scrape *after;
};

/* Print human-readable tables on stdout. */
void rr_print_bench_tables(const struct rr_bench_result *result);
/* Print one JSON object per line: entries, instances, replicas. */
void rr_print_bench_json(const struct rr_bench_result *result);

#endif
