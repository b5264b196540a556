/*
 * context-private.h - definition of struct rr_context.
 */
#ifndef RAGWORT_CONTEXT_PRIVATE_H
#define RAGWORT_CONTEXT_PRIVATE_H

#include "ragwort/context.h"
#include "ragwort/counters.h"

struct rr_context {
	int refs;
	GRand *random;
	struct rr_log_options log;
	GHashTable *log_windows; /* event name to struct log_window */
	/*
	 * The second of the last timestamp, and its text without the fraction.
	 * Cached since formatting it takes as long as the rest of a line.
	 */
	int64_t timestamp_s;
	char timestamp_prefix[32];
	uint64_t counters[RR_COUNTER_COUNT];
	GHashTable *latencies; /* service name to struct rr_histogram */
};

#endif
