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

struct world;
struct work;

struct replica {
	struct world *world;
	uint32_t number;
	uint32_t shard;
	uint32_t zone;
	char *id;
	int64_t born_ms;
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
	uint32_t instance;
	struct replica *replica;
	double work_us;
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
};

/* emulator.c */
int64_t ms_to_us(double ms);
double draw_unit(struct world *world);
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

/* emulated-caller.c */
void start_callers(struct world *world);
void take_gate_answer(struct instance *instance, struct request *request,
		      const struct rr_gate_answer *answer);

/* emulated-fault.c */
void start_faults(struct world *world);

#endif
