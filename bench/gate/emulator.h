/*
 * emulator.h - several gates in virtual time against emulated replicas.
 *
 * One scenario is a deployment, its load and what goes wrong; a run repeats
 * exactly for one seed.  Replicas have slots and queues, pause, shed, slow
 * down, fall silent and are cut off; callers come in open loop, come back as
 * they are told, and move on where an instance says that it is not ready.
 * Processor time of the gates is not emulated.
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
	double per_s; /* of all callers together */
	double objective_ms;
	double deadline_ms;
	double least_share; /* of the shards; 0: one replica serves it */
	double work_ms;	    /* mean; exponential beyond a half of it */
	double max_attempts;
};

enum emulated_fault_kind {
	FAULT_SLOW,	     /* work takes x times as long */
	FAULT_UNRESPONSIVE,  /* nothing comes back */
	FAULT_DOWN,	     /* connections are refused */
	FAULT_SHED,	     /* a share x of the requests is refused */
	FAULT_ERRORS,	     /* a share x is answered with a failure */
	FAULT_ZONE_ISOLATED, /* zone number x is cut off from the others */
	FAULT_BURST,	     /* x times as many requests */
	FAULT_RESTART,	     /* gone, and born again under its id in the end */
	FAULT_CRASH,	     /* the same, and its connections close at once */
	/* A query of death to the first route, every x seconds. */
	FAULT_QUERY_OF_DEATH,
	FAULT_EVACUATE, /* zone number x is evacuated */
	N_FAULT_KINDS,
};

struct emulated_fault {
	enum emulated_fault_kind kind;
	double at_s;
	double for_s;
	double share; /* of the replicas, drawn at random */
	double x;
	double shard; /* only replicas of that one; below 0: of any */
};

struct emulated_scenario {
	char name[NAME_SIZE];
	double seconds;
	double instances;
	double zones;
	double shards;
	double replicas; /* of each shard */
	double slots;
	double queue; /* requests that wait at a replica at most */
	double connections;
	double connect_ms; /* for a new one, beside its round trip */
	double pause_ms;   /* each replica stops for so long */
	double pause_every_ms;
	double far_ms;	    /* one way between zones */
	double caller_ms;   /* one way to callers */
	double new_callers; /* share of requests on a connection of their own */
	double extra_ratio;
	double extra_slack;
	double cold_per_s; /* capacity of a cold replica; 0: unbounded */
	struct emulated_route routes[MAX_ROUTES];
	uint32_t n_routes;
	struct emulated_fault faults[MAX_FAULTS];
	uint32_t n_faults;
};

struct emulated_result {
	uint64_t requests;
	uint64_t in_time;
	uint64_t late;
	uint64_t partial; /* of those in time */
	uint64_t rejected;
	uint64_t
		caller_retries; /* came a second time, after a refusal or failure */
	uint64_t failed;	/* or never answered */
	double total_value;	/* see value_of_answer() */
	uint64_t attempts;
	uint64_t first_attempts; /* one a part */
	double slot_use;
	uint64_t crashes;	     /* crashed replicas */
	uint64_t quarantine_reports; /* updates published by instances */
	uint64_t
		late_queries_of_death; /* queries of death received after SETTLED_US */
	uint64_t
		evacuated_arrivals; /* requests received in an evacuated zone */
	uint64_t cold_excess;	    /* requests beyond a cold replica's bound */
	GArray *latencies_us; /* double: from the caller's start to its answer */
};

/* The usual deployment: what a scenario file leaves out. */
void init_scenario(struct emulated_scenario *scenario);
/*
 * Read a scenario's file; false with faults appended.  Keys are those of the
 * struct, routes and faults are lists of mappings.
 */
bool load_scenario(const char *file, struct emulated_scenario *scenario,
		   GPtrArray *faults);
/* A deployment nobody has seen, drawn from a seed. */
void generate_scenario(uint32_t seed, struct emulated_scenario *scenario);
/* One try, no queue, no hedge, no regard to what was seen. */
void init_baseline_policy(struct rr_gate_policy *policy);
/* What a share of the parts is worth to its caller, in time or late. */
double value_of_answer(double share, bool in_time);
/* Clear with clear_emulated_result(). */
void emulate_scenario(const struct emulated_scenario *scenario,
		      const struct rr_gate_policy *policy, uint32_t seed,
		      struct emulated_result *result);
void clear_emulated_result(struct emulated_result *result);
/* Of what callers are owed, the part that they get. */
double mean_answer_value(const struct emulated_result *result);
double latency_quantile_ms(const struct emulated_result *result,
			   double quantile);

#endif
