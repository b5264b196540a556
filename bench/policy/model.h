/*
 * model.h - the policy experiment: one core in virtual time against fake
 * replicas with the sizes of the planned deployment.
 *
 * A replica has slots, a queue and a limit on connections; a new connection
 * takes time.  The experiment covers only the policy: there is one instance
 * and there are no peers.
 */
#ifndef RAGWORT_BENCH_MODEL_H
#define RAGWORT_BENCH_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/core.h"
#include "support/event-queue.h"

#define MS ((int64_t)1000)
#define SECOND (1000 * MS)
#define WALL_START_US ((int64_t)1700000000 * G_USEC_PER_SEC)
#define POLICY_SHARDS 20
#define POLICY_REPLICAS 2
#define POLICY_KEYS_PER_SHARD 100 /* every tenth has a row */
#define POLICY_SERVICE "counter-desk"

/* Load and faults; all zero except `load` is the steady state. */
struct scenario {
	const char *name;
	double load;		 /* fraction of the replicas' capacity */
	double straggler_factor; /* service time factor, replica 0 of shard 0 */
	double slow_share;	 /* fraction of slow attempts, at random */
	double slow_factor;
	bool replica_lost;  /* replica 1 of shard 1, after a third of the run */
	bool replica_cold;  /* that replica is replaced by a cold one instead */
	bool shedding;	    /* replicas with SHED_QUEUE_LIMIT queued reject */
	bool inverted_load; /* replicas report 1 - load */
	bool zone_isolated; /* zone of each replica 1, in the middle third */
	int64_t index_period_us; /* interval between index versions; 0: none */
	bool nightly_list;
	uint32_t connection_cap; /* 0: the default, CONNECTIONS */
};

struct policy {
	const char *name;
	struct rr_policy_switches switches;
	bool no_retry; /* retry budget 0, as in the baseline */
};

struct run_options {
	const struct scenario *scenario;
	const struct policy *policy;
	uint32_t seed;
	int64_t duration_us;
	int64_t warm_up_us; /* not measured */
};

struct run_result {
	uint64_t requests;
	uint64_t answered_in_time; /* complete, within the deadline */
	uint64_t rejected;
	uint64_t shards_needed;
	uint64_t shards_covered;
	uint64_t attempts;
	uint64_t needed_attempts;
	uint64_t snapshot_restarts;
	uint64_t mixed_versions; /* answers with rows of two versions */
	uint64_t list_rows;
	uint32_t peak_connections;
	uint32_t connection_cap;
	uint64_t connections_opened;
	uint64_t connections_refused;
	double seconds;
	GArray *latencies_us; /* int64_t; of answers that were not rejected */
	GArray *rejection_latencies_us; /* int64_t */
};

void run_policy(const struct run_options *options, struct run_result *result);
void clear_result(struct run_result *result);
/* Return a quantile (0 to 1) in milliseconds; sorts the array. */
double quantile_ms(GArray *times_us, double quantile);

/* Return the service's capacity in searches/s: slots over service time. */
double policy_capacity_per_s(void);

#endif
