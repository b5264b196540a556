/*
 * emulator-private.h - the emulated world, and what its parts share.
 */
#ifndef BENCH_GATE_EMULATOR_PRIVATE_H
#define BENCH_GATE_EMULATOR_PRIVATE_H

#include "gate/emulator.h"
#include "ragwort/gate.h"
#include "support/event-queue.h"

#define US_PER_MS 1000.0
#define US_PER_S 1000000.0
/* How long a replica is cold after a restart. */
#define COLD_US INT64_C(3000000)

struct world;
struct work;

struct replica {
	struct world *world;
	uint32_t number;
	uint32_t shard;
	uint32_t zone;
	char *id;
	int64_t born_ms;
	int64_t cold_until_us;
	GArray *arrivals_us; /* int64_t, while it is cold */
	double speed;
	int64_t pause_offset_us;
	double slow;
	bool silent;
	bool gone;
	double shed;
	double fail;
	uint32_t busy;
	GQueue waiting;	 /* struct work */
	int64_t used_us; /* of its slots */
};

/* An attempt, from its sending to its reply. */
struct work {
	struct world *world;
	uint64_t attempt;
	uint64_t request; /* number of its caller's attempt */
	uint32_t instance;
	struct replica *replica;
	double work_us;
	bool deadly;
	bool taken; /* by its replica */
	bool running;
	bool withdrawn;
	bool over; /* its reply is on the way, or lost */
	int refs;
};

struct instance {
	struct world *world;
	uint32_t number;
	uint32_t zone;
	struct rr_context *ctx;
	struct rr_gate *gate;
	GHashTable *open;  /* gate's id -> struct request */
	GHashTable *works; /* attempt -> struct work */
	struct request *taking;
	uint32_t *idle;	 /* connections at rest, by replica */
	int64_t tick_us; /* of the next tick that is set */
	int64_t unready_us;
};

struct request {
	struct world *world;
	const struct emulated_route *route;
	uint64_t number; /* of this attempt of its caller */
	uint64_t asks;	 /* content, the same in each attempt */
	bool deadly;
	uint32_t zone;
	uint32_t tries;
	uint32_t instance;
	int64_t started_us;
	int64_t last_us; /* then its caller gives up */
	bool is_new;	 /* its connection */
};

struct world {
	const struct emulated_scenario *scenario;
	const struct rr_gate_policy *policy;
	struct emulated_result *result;
	struct event_queue *events;
	int64_t now_us;
	int64_t end_us;
	GRand *rand;
	/* Of their own, so that they are the same ones by any policy. */
	GRand *arrivals;
	GRand *layout;	      /* speeds, pauses, and whom a trouble hits */
	GPtrArray *replicas;  /* struct replica */
	GPtrArray *instances; /* struct instance */
	int cut_zone;	      /* -1: none */
	double burst;
	int evacuated_zone; /* or -1 */
	int64_t evacuated_us;
	uint64_t next_number; /* of requests */
	uint64_t deadly_crashes;
	int64_t third_us; /* when the third of these was; 0: not yet */
	GHashTable *late; /* numbers counted in deadly_late */
	GHashTable
		*entries; /* low half of a fingerprint -> the store's entry */
};

/* emulator.c */
int64_t ms_to_us(double ms);
double draw_unit(struct world *world);
/* Bound on requests to a cold replica in any second, or 0. */
double cold_bound(const struct world *world);
/* One way; -1 where nothing passes. */
int64_t way_us(const struct world *world, uint32_t from, uint32_t to);
void set_tick(struct instance *instance);
void reply_to_gate(struct work *work, enum rr_gate_outcome outcome,
		   uint16_t status, bool unreachable);

/* emulated-replica.c */
void start_replicas(struct world *world);
void drop_replica(gpointer replica);
/* An attempt arrives. */
void arrive_at_replica(void *context, void *work);
/* Its connection has closed. */
void leave_replica(void *context, void *work);
void keep_work(struct work *work);
void drop_work(struct work *work);
void list_replica(struct instance *instance, const struct replica *replica,
		  bool draining);

/* Its connection closes: it has no answer, and never will. */
void close_work(struct work *work);

/* emulated-crash.c */
/* Its connections close, and new ones are refused. */
void crash_replica(struct replica *replica);
/* Start a new lifetime after so much downtime. */
void restart_replica(struct replica *replica, int64_t after_us);
/* A query of death crashes its replica. */
void crash_under(struct work *work);
void note_deadly_arrival(const struct work *work);
/* Count a request against the bounds of evacuated zones and cold replicas. */
void check_arrival(const struct work *work);
void free_entry(gpointer entry);
void report_to_store(void *instance, const struct rr_quarantine_report *report);

/* emulated-caller.c */
void start_callers(struct world *world);
/* Send a query of death with this content. */
void ask_deadly(struct world *world, uint64_t asks);
void take_gate_answer(struct instance *instance, struct request *request,
		      const struct rr_gate_answer *answer);

/* emulated-fault.c */
void start_faults(struct world *world);
/* Announce its new lifetime to all instances. */
void tell_rebirth_later(struct replica *replica);

#endif
