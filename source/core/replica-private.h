/*
 * replica-private.h - run-time state of replicas and services: what this
 * instance has seen of them itself.
 */
#ifndef RAGWORT_CORE_REPLICA_PRIVATE_H
#define RAGWORT_CORE_REPLICA_PRIVATE_H

#include <glib.h>

#include "core/token-budget.h"
#include "core/concurrency-limit.h"
#include "ragwort/attempt.h"
#include "ragwort/config.h"
#include "ragwort/context.h"
#include "ragwort/owner.h"

struct rr_core;
struct rr_service;

/* Requests of either class wait apart: enum rr_priority is the index. */
#define RR_PRIORITY_COUNT 2

struct rr_replica {
	int refs;
	uint64_t number; /* names it in timers */
	char *id;
	int64_t started_ms; /* start of its lifetime, Unix; 0: not told */
	char *zone;
	char *address;
	struct rr_service *service;
	const struct rr_shard_map *shard; /* NULL: not in force any more */

	/* Attempts of this instance: sent, and waiting for a slot. */
	uint32_t in_flight;
	uint32_t batch_in_flight;
	GQueue queues
		[RR_PRIORITY_COUNT]; /* struct rr_live_attempt, by deadline */

	/* Own estimate of the time of an attempt, exponentially weighted. */
	double latency_us;
	struct rr_concurrency_limit limit; /* of attempts in flight */
	int64_t shed_until_us;
	int64_t ejected_until_us;
	uint32_t ejection_count;
	uint32_t samples;
	uint32_t consecutive_losses;

	enum rr_upstream_state state;
	int64_t draining_since_us; /* first news; 0: not draining */
	int64_t last_success_us;   /* last complete reply */
	double reported_load;
	uint32_t ready_polls;	/* in a row since the draining news */
	uint32_t poll_failures; /* in a row */
	uint64_t oldest_version;
	uint64_t newest_version;
	uint64_t map_epoch;
	int64_t versions_updated_us;

	int64_t poll_sent_us;

	/* Owners as indices into the core's members, of that view. */
	uint64_t owners_generation;
	size_t owners[RR_MAX_OWNERS];
	size_t n_owners;

	bool owned;		 /* this instance is one of them */
	bool dispatch_scheduled; /* in the core's list of queues to look at */
	bool poll_scheduled;	 /* a poll timer is set */
	bool poll_pending;	 /* sent, not answered */
};

struct rr_shard_map {
	const struct rr_shard_config *config;
	char *owner_key; /* "service/shard": owners are found by it */
	struct rr_replica **replicas;
	size_t n_replicas;
};

/* A service as one configuration has it; queries keep the one they began by. */
struct rr_service_map {
	int refs;
	struct rr_config *config;
	const struct rr_service_config *service;
	struct rr_shard_map *shards; /* sorted by their first key */
	size_t n_shards;
};

struct rr_service {
	char *name;
	struct rr_service_map *map; /* NULL: not in the configuration */
	struct rr_token_budget hedge_budget;
	struct rr_token_budget retry_budget;
	struct rr_latency_sketch latencies;
	uint32_t n_open;
	uint32_t n_open_batch;
	uint32_t n_queued;  /* attempts in the queues of its replicas */
	uint32_t n_ejected; /* replicas set aside as outliers, at last look */
	/* The pin chosen from what replicas told, while nothing changes. */
	uint64_t change_count;	   /* counts changes of versions and states */
	uint64_t pin_change_count; /* that the cached pin was chosen at */
	int64_t pin_until_us;
	uint64_t pin_version;
	uint64_t pin_epoch;
	size_t pin_shards; /* shards known to hold it */
};

/* choose.c */
/* Whether an attempt took so long that an outlier's would. */
bool rr_is_outlier_latency(const struct rr_replica *replica, double took_us);

/* replica.c */
struct rr_replica *rr_keep_replica(struct rr_replica *replica);
void rr_drop_replica(struct rr_replica *replica);
struct rr_replica *rr_find_replica(struct rr_core *core, const char *id);
struct rr_replica *rr_find_replica_by_number(struct rr_core *core,
					     uint64_t number);
struct rr_replica *rr_add_replica(struct rr_context *ctx, struct rr_core *core,
				  struct rr_service *service,
				  const struct rr_replica_config *config);
/* Take a replica out of the core's tables; attempts may still hold it. */
void rr_retire_replica(struct rr_core *core, struct rr_replica *replica);
/* What a replica told of its versions; 0 is not told. */
void rr_update_replica_versions(const struct rr_core *core,
				struct rr_replica *replica, uint64_t oldest,
				uint64_t newest, uint64_t epoch);
/*
 * The list tells of the lifetime that started at `born_ms` (0: not told).
 * False if that one is over, or may be: a later one was told of before.
 */
bool rr_update_replica_start_time(struct rr_context *ctx,
				  struct rr_replica *replica, int64_t born_ms);
void rr_update_replica_state(struct rr_context *ctx, struct rr_core *core,
			     struct rr_replica *replica,
			     enum rr_upstream_state state, const char *source);
void rr_record_success(struct rr_context *ctx, struct rr_core *core,
		       struct rr_replica *replica, int64_t took_us,
		       uint32_t in_flight);
/* A sent attempt lost to another after `took_us`: it takes at least that. */
void rr_record_cancelled_attempt(struct rr_context *ctx, struct rr_core *core,
				 struct rr_replica *replica, int64_t took_us);
void rr_record_loss(struct rr_context *ctx, struct rr_core *core,
		    struct rr_replica *replica);
void rr_record_shed(struct rr_core *core, struct rr_replica *replica,
		    uint32_t retry_after_ms);
/* Whether the replica may be sent new work, now or once it is free. */
bool rr_is_replica_usable(const struct rr_core *core,
			  const struct rr_replica *replica);
/* Bring `owners` and `owned` up to the present view of the members. */
void rr_refresh_owners(struct rr_core *core, struct rr_replica *replica);

/* health-poll.c */
void rr_schedule_poll(struct rr_context *ctx, struct rr_core *core,
		      struct rr_replica *replica, bool at_once);
void rr_handle_poll_timer(struct rr_context *ctx, struct rr_core *core,
			  struct rr_replica *replica);
void rr_handle_poll_timeout(struct rr_context *ctx, struct rr_core *core,
			    struct rr_replica *replica);
void rr_handle_health_reply(struct rr_context *ctx, struct rr_core *core,
			    const struct rr_health *health);
/* The owners may have changed: take up polling what is now owned. */
void rr_poll_owned_replicas(struct rr_context *ctx, struct rr_core *core);

/* service.c */
struct rr_service *rr_find_service_state(struct rr_core *core,
					 const char *name);
struct rr_service_map *rr_keep_service_map(struct rr_service_map *map);
void rr_drop_service_map(struct rr_service_map *map);
/* The shard that holds a key by the configuration; n_shards if none. */
size_t rr_find_shard_by_key(const struct rr_service_map *map, uint64_t key);
/* The shard of that name, looked for from `guess` on; n_shards if none. */
size_t rr_find_shard_by_name(const struct rr_service_map *map, const char *name,
			     size_t guess);

/* replica-limit.c */
/* This owner's part of the replica's slots, rounded up. */
uint32_t rr_slot_share(const struct rr_replica *replica);
uint32_t rr_replica_limit(const struct rr_core *core,
			  const struct rr_replica *replica);
/* A reply came; `in_flight` counts the attempts when it was sent. */
void rr_adapt_replica_limit(struct rr_replica *replica, int64_t took_us,
			    uint32_t in_flight);

#endif
