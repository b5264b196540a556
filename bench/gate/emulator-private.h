/*
 * emulator-private.h - data and functions shared by the emulator's files.
 */
#ifndef BENCH_GATE_EMULATOR_PRIVATE_H
#define BENCH_GATE_EMULATOR_PRIVATE_H

#include "gate/emulator.h"
#include "ragwort/gate.h"
#include "support/event-queue.h"

#define US_PER_MS 1000.0
#define US_PER_S 1000000.0
/* Time for which a replica is cold after a restart. */
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
	GArray *arrivals_us; /* int64_t; arrivals while it is cold */
	double service_time_factor;
	int64_t pause_offset_us;
	double slowdown_factor;
	bool unresponsive;
	bool is_down;
	double shed_share;
	double error_share;
	uint32_t busy_slots;
	GQueue queue;	      /* struct emulated_attempt */
	int64_t slot_used_us; /* total of all slots */
};

/* An attempt, from sending to reply. */
struct emulated_attempt {
	struct emulation *emulation;
	uint64_t attempt_id;
	uint64_t request_number; /* `number` of its request */
	uint32_t instance_number;
	struct replica *replica;
	double work_us;
	bool is_query_of_death;
	bool accepted; /* queued by its replica */
	bool running;
	bool cancelled;
	bool done; /* its reply was sent or lost */
	int refs;
};

struct instance {
	struct emulation *emulation;
	uint32_t number;
	uint32_t zone;
	struct rr_context *ctx;
	struct rr_gate *gate;
	GHashTable *open_requests;  /* the gate's id to struct request */
	GHashTable *attempts;	    /* id to struct emulated_attempt */
	struct request *submitting; /* NULL if none, or already answered */
	uint32_t *idle_conns;	    /* idle connections, by replica number */
	int64_t next_tick_us; /* time of the scheduled tick; INT64_MAX: none */
	int64_t unready_since_us; /* 0: ready */
};

struct request {
	struct emulation *emulation;
	const struct emulated_route *route;
	uint64_t number;     /* unique for each try of the caller */
	uint64_t content_id; /* identifies the content; same in each try */
	bool is_query_of_death;
	uint32_t zone;
	uint32_t n_tries;
	uint32_t instance_number;
	int64_t started_us;
	int64_t deadline_us; /* its caller times out */
	bool new_connection; /* sent on a new connection */
};

struct emulation {
	const struct emulated_scenario *scenario;
	const struct rr_gate_policy *policy;
	struct emulated_result *result;
	struct event_queue *events;
	int64_t now_us;
	int64_t end_us;
	GRand *rand;
	/* Separate generators: same sequence with any policy. */
	GRand *arrivals_rand;
	GRand *layout_rand;   /* service times, pauses, targets of faults */
	GPtrArray *replicas;  /* struct replica */
	GPtrArray *instances; /* struct instance */
	int isolated_zone;    /* -1: none */
	double load_factor;
	int evacuated_zone;	      /* -1: none */
	struct rr_store_cursor store; /* the store's last change */
	int64_t evacuation_changed_us;
	uint64_t last_request_number;
	uint64_t query_of_death_crashes;
	int64_t third_crash_us;	  /* time of the third of these; 0: not yet */
	GHashTable *late_numbers; /* counted in late_queries_of_death */
	GHashTable *
		quarantine_entries; /* low half of a fingerprint to its entry */
};

/* emulator.c */
int64_t ms_to_us(double ms);
double draw_uniform(struct emulation *emulation);
/* Maximum number of requests to a cold replica in any second; 0: no limit. */
double max_cold_per_s(const struct emulation *emulation);
/* One-way delay between zones; -1 if they can't reach each other. */
int64_t one_way_delay_us(const struct emulation *emulation, uint32_t from,
			 uint32_t to);
void schedule_tick(struct instance *instance);
void reply_to_gate(struct emulated_attempt *attempt,
		   enum rr_gate_outcome outcome, uint16_t status,
		   bool unreachable);

/* emulated-replica.c */
void start_replicas(struct emulation *emulation);
void drop_replica(gpointer replica);
/* An attempt arrives at its replica. */
void handle_attempt_arrival(void *context, void *attempt);
/* An attempt's cancellation arrives at its replica. */
void handle_attempt_cancel(void *context, void *attempt);
void keep_attempt(struct emulated_attempt *attempt);
void drop_attempt(struct emulated_attempt *attempt);
void announce_replica(struct instance *instance, const struct replica *replica,
		      bool draining);

/* Close an attempt's connection without a reply. */
void abort_attempt(struct emulated_attempt *attempt);

/* emulated-crash.c */
/* Close a replica's connections and refuse new ones. */
void crash_replica(struct replica *replica);
/* Start a new incarnation after this downtime. */
void restart_replica(struct replica *replica, int64_t after_us);
/* Crash the replica of a query of death and schedule its restart. */
void crash_on_query_of_death(struct emulated_attempt *attempt);
void count_late_query_of_death(const struct emulated_attempt *attempt);
/* Count arrivals in evacuated zones and above the limit of cold replicas. */
void count_limit_violations(const struct emulated_attempt *attempt);
void free_quarantine_entry(gpointer entry);
void write_quarantine_report(void *instance,
			     const struct rr_quarantine_report *report);

/* emulated-caller.c */
void start_callers(struct emulation *emulation);
/* Send a query of death with this content on the first route. */
void send_query_of_death(struct emulation *emulation, uint64_t content_id);
void handle_gate_answer(struct instance *instance, struct request *request,
			const struct rr_gate_answer *answer);

/* emulated-fault.c */
void schedule_faults(struct emulation *emulation);
/* Announce a replica's new incarnation to all instances, with a delay. */
void announce_restart_later(struct replica *replica);

#endif
