/*
 * bench-load.h - open-loop load on running instances.
 *
 * Requests are due at times drawn beforehand, whether or not earlier ones
 * were answered, and a time counts from when its request was due.  Else a
 * stall would stop the asking too, and hardly show.
 */
#ifndef TOOL_BENCH_LOAD_H
#define TOOL_BENCH_LOAD_H

#include "tool/bench-histogram.h"
#include "tool/bench-scenario.h"

struct rr_credentials;

enum rr_bench_outcome {
	RR_BENCH_COMPLETE,
	RR_BENCH_PARTIAL,
	RR_BENCH_NOT_RUN,
	RR_BENCH_UNKNOWN,
	RR_BENCH_OTHER,	    /* invalid, gone, or no answer of an instance */
	RR_BENCH_NO_ANSWER, /* no connection, or none in time */
	RR_BENCH_OUTCOME_COUNT,
};

/* What came of one entry of the mix. */
struct rr_bench_stats {
	struct rr_bench_histogram latencies; /* complete and partial answers */
	struct rr_bench_histogram rejection_latencies;
	struct rr_bench_histogram send_delays; /* of sending: the load's own */
	uint64_t requests;
	uint64_t outcome_counts[RR_BENCH_OUTCOME_COUNT];
	uint64_t shards_covered;
	uint64_t shards_missing;
	uint64_t attempts;
	uint64_t rows;
};

struct rr_bench_load {
	const struct rr_bench_scenario *scenario;
	char **addresses; /* IP:PORT, asked in turn */
	const struct rr_credentials *credentials;
	/* Called when the warm-up is over and when the last was asked. */
	void (*measurement_started)(void *data);
	void (*measurement_ended)(void *data);
	void *data;
};

/*
 * Run the scenario to its end, on the default main context; a tally for each
 * entry, of the requests that were due after the warm-up.  Freed by g_free().
 */
struct rr_bench_stats *rr_run_bench_load(const struct rr_bench_load *load);

#endif
