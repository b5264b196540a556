/*
 * bench-load.h - open-loop load on running instances.
 *
 * Requests are sent at scheduled times, whether or not earlier ones have been
 * answered, and latency is counted from the scheduled time.  In a closed loop
 * a stall would also stop new requests and hardly show in the latencies
 * (coordinated omission).
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
	RR_BENCH_OTHER,	    /* invalid, gone, or not an instance's answer */
	RR_BENCH_NO_ANSWER, /* no connection, or timed out */
	RR_BENCH_OUTCOME_COUNT,
};

/* Results of one entry of the mix. */
struct rr_bench_stats {
	struct rr_bench_histogram latencies; /* complete and partial answers */
	struct rr_bench_histogram rejection_latencies; /* not run */
	struct rr_bench_histogram send_delays; /* scheduled to actual send */
	uint64_t requests;
	uint64_t outcome_counts[RR_BENCH_OUTCOME_COUNT];
	uint64_t shards_covered;
	uint64_t shards_missing;
	uint64_t attempts;
	uint64_t rows;
};

struct rr_bench_load {
	const struct rr_bench_scenario *scenario;
	char **addresses; /* IP:PORT, used round-robin */
	const struct rr_credentials *credentials;
	/* Called at the end of the warm-up and after the last send. */
	void (*measurement_started)(void *data);
	void (*measurement_ended)(void *data);
	void *data;
};

/*
 * Run the scenario to its end on the default main context.  Return one element
 * per entry of the mix, covering the requests that were due after the warm-up;
 * free it with g_free().
 */
struct rr_bench_stats *rr_run_bench_load(const struct rr_bench_load *load);

#endif
