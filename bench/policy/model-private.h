/*
 * model-private.h - data shared by the policy experiment's files: replicas,
 * attempts in transit and the instance.
 */
#ifndef RAGWORT_BENCH_MODEL_PRIVATE_H
#define RAGWORT_BENCH_MODEL_PRIVATE_H

#include "policy/model.h"

#define SLOTS 2
#define CONNECTIONS 25
#define CONNECT_US (6 * MS)
#define SERVICE_US (4 * MS)    /* mean service time of an attempt */
#define SERVICE_SIGMA 0.5      /* standard deviation of its logarithm */
#define SAME_ZONE_DELAY_US 300 /* one-way delay */
#define CROSS_ZONE_DELAY_US (1500)
#define DEADLINE_MS 400
#define ATTEMPT_TIMEOUT_MS 150
#define IDLE_CLOSE_US (30 * SECOND)
#define SHED_QUEUE_LIMIT \
	4 /* queue length at which a shedding replica rejects */
#define COLD_PERIOD_US (3 * SECOND)
#define COLD_FACTOR 8.0
#define VERSIONS_KEPT 3
#define N_REPLICAS_ALL (POLICY_SHARDS * POLICY_REPLICAS)

struct model;

struct job {
	struct model *model;
	struct upstream *upstream;
	uint64_t attempt_id;
	uint64_t version;
	uint64_t key_from;
	uint64_t key_to;
	uint32_t row_limit;
	bool cancelled;
	bool started;
	bool slot_released; /* cancelled while running; its slot is free */
	int64_t deadline_us;
};

struct upstream {
	struct model *model;
	char id[24];
	char address[24];
	int shard;
	int replica_index; /* within its shard; 0 is in the instance's zone */
	uint64_t newest_version;
	uint32_t busy_slots;
	GQueue queue;	      /* struct job */
	uint32_t connections; /* open connections, in use or idle */
	uint32_t conns_in_use;
	int64_t cold_until_us;
};

struct query {
	int64_t started_us;
	bool measured;
	bool is_list;
};

struct model {
	const struct run_options *options;
	const struct scenario *scenario;
	struct run_result *result;
	struct event_queue *events;
	int64_t now_us;
	int64_t next_tick_us;
	GRand *random;
	struct rr_context *ctx;
	struct rr_core *core;
	struct upstream upstreams[N_REPLICAS_ALL];
	uint64_t version;
	GHashTable *jobs;    /* attempt id to struct job */
	GHashTable *queries; /* query id to struct query */
	struct query *submitting;
	GPtrArray *posts; /* unused */
	bool stopping;
	char *list_cursor;
	bool list_pending;
};

/* Schedule a call of `run(model, data)` after a delay. */
void schedule_event(struct model *model, int64_t delay_us,
		    void (*run)(void *context, void *data), void *data);
/* Schedule the core's next tick; call after each event for the core. */
void schedule_core_tick(struct model *model);

/* Callbacks of the core towards replicas; `data` is the model. */
void on_send_attempt(void *data, const struct rr_attempt *attempt);
void on_cancel_attempt(void *data, uint64_t attempt_id);
void on_poll_health(void *data, const char *replica, const char *address);

#endif
