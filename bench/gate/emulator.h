/*
 * emulator.h - several gates in virtual time against emulated replicas.
 *
 * A scenario describes a deployment, its load and its faults.  A run is
 * deterministic for a given seed.  Replicas have slots and queues; they pause,
 * shed load, slow down, stop responding and become unreachable.  Callers
 * generate open-loop load, retry after the Retry-After time of a rejection and
 * use another instance while one reports that it is not ready.  The CPU time
 * of the gates is not emulated.
 */
#ifndef BENCH_GATE_EMULATOR_H
#define BENCH_GATE_EMULATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/gate-policy.h"

#define MAX_ROUTES 4
#define MAX_FAULTS 16
#define NAME_SIZE 32

struct emulated_route {
	char name[NAME_SIZE];
	double per_s; /* requests per second, all callers together */
	double objective_ms;
	double deadline_ms;
	double least_share; /* min. share of shards; 0: one replica serves it */
	double work_ms;	    /* mean; half constant, half exponential */
	double max_attempts;
};

enum emulated_fault_kind {
	FAULT_SLOW,	     /* service time is multiplied by x */
	FAULT_UNRESPONSIVE,  /* no replies are sent */
	FAULT_DOWN,	     /* connections are refused */
	FAULT_SHED,	     /* a share x of the requests is rejected */
	FAULT_ERRORS,	     /* a share x of the replies has status 500 */
	FAULT_ZONE_ISOLATED, /* zone number x is unreachable from the others */
	FAULT_BURST,	     /* the request rate is multiplied by x */
	FAULT_RESTART,	     /* down, then a new incarnation with the same id */
	FAULT_CRASH,	     /* as FAULT_RESTART; connections close at once */
	/* A query of death on the first route every x seconds. */
	FAULT_QUERY_OF_DEATH,
	FAULT_EVACUATE, /* zone number x is evacuated */
	/*
	 * The store is restored from a copy that lacks the entries of a share
	 * of the replicas; these are written again at the end.
	 */
	FAULT_RESTORE,
	N_FAULT_KINDS,
};

struct emulated_fault {
	enum emulated_fault_kind kind;
	double at_s;
	double for_s;
	double share; /* of the replicas, selected at random */
	double x;
	double shard; /* only replicas of this shard; negative: all shards */
};

struct emulated_scenario {
	char name[NAME_SIZE];
	double seconds;
	double instances;
	double zones;
	double shards;
	double replicas; /* of each shard */
	double slots;
	double queue; /* maximum queue length of a replica */
	double connections;
	double connect_ms; /* connection setup, beside the round trip */
	double pause_ms;   /* length of each replica's periodic pause */
	double pause_every_ms;
	double far_ms;	    /* one-way delay between zones */
	double caller_ms;   /* one-way delay between callers and instances */
	double new_callers; /* share of requests on a new connection */
	double extra_ratio;
	double extra_slack;
	double cold_per_s; /* requests/s of a cold replica; 0: no limit */
	struct emulated_route routes[MAX_ROUTES];
	uint32_t n_routes;
	struct emulated_fault faults[MAX_FAULTS];
	uint32_t n_faults;
};

struct emulated_result {
	uint64_t requests;
	uint64_t answered_in_time;
	uint64_t late;
	uint64_t partial; /* included in answered_in_time */
	uint64_t rejected;
	uint64_t caller_retries; /* sent again after a rejection or failure */
	uint64_t failed;	 /* including requests without an answer */
	double total_value;	 /* see value_of_answer() */
	uint64_t attempts;
	uint64_t first_attempts; /* one for each part */
	double slot_use;
	uint64_t crashes;	     /* crashes of replicas */
	uint64_t quarantine_reports; /* updates published by instances */
	/* Queries of death received SETTLED_US or more after the third crash. */
	uint64_t late_queries_of_death;
	uint64_t
		evacuated_arrivals; /* requests received in an evacuated zone */
	uint64_t cold_excess;	    /* requests above a cold replica's limit */
	GArray *latencies_us; /* double; first send to answer, at the caller */
};

/* Set the defaults for all keys that a scenario file may omit. */
void init_scenario(struct emulated_scenario *scenario);
/*
 * Read a scenario file.  Return false and append to `diagnostics` on
 * error.  The keys are the members of the struct; routes and faults are lists
 * of mappings.
 */
bool load_scenario(const char *file, struct emulated_scenario *scenario,
		   GPtrArray *diagnostics);
/* Generate a random deployment, load and faults from a seed. */
void generate_scenario(uint32_t seed, struct emulated_scenario *scenario);
/*
 * Set a policy without hedging, admission by queueing time, adaptive limits
 * or replica selection by observed latency and losses.
 */
void init_baseline_policy(struct rr_gate_policy *policy);
/* The value to its caller of an answer with this share of the parts. */
double value_of_answer(double share, bool in_time);
/* Run a scenario; clear the result with clear_emulated_result(). */
void emulate_scenario(const struct emulated_scenario *scenario,
		      const struct rr_gate_policy *policy, uint32_t seed,
		      struct emulated_result *result);
void clear_emulated_result(struct emulated_result *result);
/* Mean value of an answer over all requests, 0 to 1. */
double mean_answer_value(const struct emulated_result *result);
double latency_quantile_ms(const struct emulated_result *result,
			   double quantile);

#endif
