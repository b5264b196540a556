/*
 * emulator-private.h - the emulated emulation, and what its parts share.
 */
#ifndef BENCH_GATE_EMULATOR_PRIVATE_H
#define BENCH_GATE_EMULATOR_PRIVATE_H

#include "gate/emulator.h"
#include "ragwort/gate.h"
#include "support/event-queue.h"

#define US_PER_MS 1000.0
#define US_PER_S 1000000.0
/* How long a replica is cold after a restart. */
#define COLD_PERIOD_US INT64_C(3000000)

struct emulation;
struct emulated_attempt;

struct replica {
	struct emulation *emulation;
	uint32_t number;
	uint32_t shard;
	uint32_t zone;
	char *id;
	int64_t started_ms;
	int64_t cold_until_us;
	GArray *arrivals_us; /* int64_t, while it is cold */
	double service_time_factor;
	int64_t pause_offset_us;
	double slowdown_factor;
	bool unresponsive;
	bool is_down;
	double shed_share;
	double error_share;
	uint32_t busy_slots;
	GQueue queue;	      /* struct emulated_attempt */
	int64_t slot_used_us; /* of its slots */
};

/* An attempt, from its sending to its reply. */
struct emulated_attempt {
	struct emulation *emulation;
	uint64_t attempt_id;
	uint64_t request_number; /* number of its caller's attempt */
	uint32_t instance_number;
	struct replica *replica;
	double work_us;
	bool is_query_of_death;
	bool accepted; /* by its replica */
	bool running;
	bool cancelled;
	bool done; /* its reply is on the way, or lost */
	int refs;
};

struct instance {
	struct emulation *emulation;
	uint32_t number;
	uint32_t zone;
	struct rr_context *ctx;
	struct rr_gate *gate;
	GHashTable *open_requests; /* gate's id -> struct request */
	GHashTable *attempts;	   /* attempt -> struct emulated_attempt */
	struct request *submitting;
	uint32_t *idle_conns; /* connections at rest, by replica */
	int64_t next_tick_us; /* of the next tick that is set */
	int64_t unready_since_us;
};

struct request {
	struct emulation *emulation;
	const struct emulated_route *route;
	uint64_t number;     /* of this attempt of its caller */
	uint64_t content_id; /* content, the same in each attempt */
	bool is_query_of_death;
	uint32_t zone;
	uint32_t n_tries;
	uint32_t instance_number;
	int64_t started_us;
	int64_t deadline_us; /* then its caller gives up */
	bool new_connection; /* its connection */
};

struct emulation {
	const struct emulated_scenario *scenario;
	const struct rr_gate_policy *policy;
	struct emulated_result *result;
	struct event_queue *events;
	int64_t now_us;
	int64_t end_us;
	GRand *rand;
	/* Of their own, so that they are the same ones by any policy. */
	GRand *arrivals_rand;
	GRand *layout_rand;   /* speeds, pauses, and whom a trouble hits */
	GPtrArray *replicas;  /* struct replica */
	GPtrArray *instances; /* struct instance */
	int isolated_zone;    /* -1: none */
	double load_factor;
	int evacuated_zone; /* or -1 */
	int64_t evacuation_changed_us;
	uint64_t last_request_number; /* of requests */
	uint64_t query_of_death_crashes;
	int64_t third_crash_us;	  /* when the third of these was; 0: not yet */
	GHashTable *late_numbers; /* numbers counted in deadly_late */
	GHashTable *
		quarantine_entries; /* low half of a fingerprint -> the store's entry */
};

/* emulator.c */
int64_t ms_to_us(double ms);
double draw_uniform(struct emulation *emulation);
/* Bound on requests to a cold replica in any second, or 0. */
double max_cold_per_s(const struct emulation *emulation);
/* One way; -1 where nothing passes. */
int64_t one_way_delay_us(const struct emulation *emulation, uint32_t from,
			 uint32_t to);
void schedule_tick(struct instance *instance);
void reply_to_gate(struct emulated_attempt *work, enum rr_gate_outcome outcome,
		   uint16_t status, bool unreachable);

/* emulated-replica.c */
void start_replicas(struct emulation *emulation);
void drop_replica(gpointer replica);
/* An attempt arrives. */
void handle_attempt_arrival(void *context, void *work);
/* Its connection has closed. */
void handle_attempt_cancel(void *context, void *work);
void keep_attempt(struct emulated_attempt *work);
void drop_attempt(struct emulated_attempt *work);
void announce_replica(struct instance *instance, const struct replica *replica,
		      bool draining);

/* Its connection closes: it has no answer, and never will. */
void abort_attempt(struct emulated_attempt *work);

/* emulated-crash.c */
/* Its connections close, and new ones are refused. */
void crash_replica(struct replica *replica);
/* Start a new lifetime after so much downtime. */
void restart_replica(struct replica *replica, int64_t after_us);
/* A query of death crashes its replica. */
void crash_on_query_of_death(struct emulated_attempt *work);
void count_late_query_of_death(const struct emulated_attempt *work);
/* Count a request against the bounds of evacuated zones and cold replicas. */
void count_limit_violations(const struct emulated_attempt *work);
void free_quarantine_entry(gpointer entry);
void write_quarantine_report(void *instance,
			     const struct rr_quarantine_report *report);

/* emulated-caller.c */
void start_callers(struct emulation *emulation);
/* Send a query of death with this content. */
void send_query_of_death(struct emulation *emulation, uint64_t asks);
void handle_gate_answer(struct instance *instance, struct request *request,
			const struct rr_gate_answer *answer);

/* emulated-fault.c */
void schedule_faults(struct emulation *emulation);
/* Announce its new lifetime to all instances. */
void announce_restart_later(struct replica *replica);

#endif
