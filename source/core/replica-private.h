/*
 * replica-private.h - run-time state of replicas and services, as observed by
 * this instance.
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

/*
 * Attempts of each priority have their own queue, indexed by enum rr_priority.
 */
#define RR_PRIORITY_COUNT 2

struct rr_replica {
	int refs;
	uint64_t number; /* identifies the replica in timers */
	char *id;
	/* start of its incarnation, ms since 1970; 0: not reported */
	int64_t started_ms;
	char *zone;
	char *address;
	struct rr_service *service;
	/* NULL: not in the current configuration */
	const struct rr_shard_map *shard;

	/*
	 * Attempts of this instance: sent and not ended, and queued for a slot.
	 */
	uint32_t in_flight;
	uint32_t batch_in_flight;
	GQueue queues
		[RR_PRIORITY_COUNT]; /* struct rr_live_attempt, by deadline */

	/*
	 * Exponentially weighted moving average of the latency of this
	 * instance's attempts.
	 */
	double latency_us;
	struct rr_concurrency_limit limit; /* on attempts in flight */
	/*
	 * The replica rejected an attempt as overloaded: send nothing until
	 * then.
	 */
	int64_t shed_until_us;
	int64_t ejected_until_us;
	uint32_t ejection_count;
	/* latency samples since the estimates were last reset */
	uint32_t samples;
	uint32_t consecutive_losses;

	enum rr_upstream_state state;
	int64_t draining_since_us; /* when first reported; 0: not draining */
	int64_t last_success_us;   /* last complete reply */
	double reported_load;
	/* consecutive polls answered "ready" since the drain was reported */
	uint32_t ready_polls;
	uint32_t poll_failures; /* consecutive */
	uint64_t oldest_version;
	uint64_t newest_version;
	uint64_t map_epoch;
	int64_t versions_updated_us;

	int64_t poll_sent_us;

	/*
	 * Owners as indices into the core's member_copies; valid while
	 * owners_generation equals its members_generation.
	 */
	uint64_t owners_generation;
	size_t owners[RR_MAX_OWNERS];
	size_t n_owners;

	bool owned;		 /* this instance is an owner */
	bool dispatch_scheduled; /* in the core's list of queues to dispatch */
	bool poll_scheduled;	 /* a poll timer is set */
	bool poll_pending;	 /* sent, no reply yet */
};

struct rr_shard_map {
	const struct rr_shard_config *config;
	/* "service/shard", the key by which owners are found */
	char *owner_key;
	struct rr_replica **replicas;
	size_t n_replicas;
};

/*
 * A service as described by one configuration.  A query keeps the map that it
 * started with when the configuration changes.
 */
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
	uint32_t n_queued; /* attempts queued at its replicas */
	/* replicas ejected as outliers, at the last check */
	uint32_t n_ejected;
	/*
	 * Cached pin: the index version that new searches and lists ask all
	 * shards for, chosen from the versions reported by replicas.  Valid
	 * while change_count equals pin_change_count and until pin_until_us.
	 * change_count counts changes of the configuration and of the versions
	 * and states of replicas.
	 */
	uint64_t change_count;
	uint64_t pin_change_count; /* change_count when the pin was chosen */
	int64_t pin_until_us;
	uint64_t pin_version;
	uint64_t pin_epoch;
	size_t pin_shards; /* number of shards known to hold pin_version */
};

/* choose.c */
/* Whether a latency is above the outlier threshold of the replica's service. */
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
/*
 * Remove a replica from the core's tables; attempts may still hold references.
 */
void rr_retire_replica(struct rr_core *core, struct rr_replica *replica);
/* Update the versions that a replica reports; 0 means not reported. */
void rr_update_replica_versions(const struct rr_core *core,
				struct rr_replica *replica, uint64_t oldest,
				uint64_t newest, uint64_t epoch);
/*
 * Update the start time of a replica from the list of instances (ms since 1970;
 * 0: not reported).  Return false, changing nothing, if a later start time was
 * reported before: the incarnation in the list has ended, or may have.
 */
bool rr_update_replica_start_time(struct rr_context *ctx,
				  struct rr_replica *replica,
				  int64_t started_ms);
void rr_update_replica_state(struct rr_context *ctx, struct rr_core *core,
			     struct rr_replica *replica,
			     enum rr_upstream_state state, const char *source);
void rr_record_success(struct rr_context *ctx, struct rr_core *core,
		       struct rr_replica *replica, int64_t took_us,
		       uint32_t in_flight);
/*
 * Record a sent attempt that was cancelled after `took_us`, for example because
 * another reply arrived first.  Its latency would have been at least `took_us`.
 */
void rr_record_cancelled_attempt(struct rr_context *ctx, struct rr_core *core,
				 struct rr_replica *replica, int64_t took_us);
void rr_record_loss(struct rr_context *ctx, struct rr_core *core,
		    struct rr_replica *replica);
void rr_record_shed(struct rr_core *core, struct rr_replica *replica,
		    uint32_t retry_after_ms);
/*
 * Whether new work may be sent to the replica, now or once it has a free slot.
 */
bool rr_is_replica_usable(const struct rr_core *core,
			  const struct rr_replica *replica);
/* Update `owners` and `owned` from the current member list. */
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
/*
 * Start to poll replicas that this instance now owns, after a change of owners.
 */
void rr_poll_owned_replicas(struct rr_context *ctx, struct rr_core *core);

/* service.c */
struct rr_service *rr_find_service_state(struct rr_core *core,
					 const char *name);
struct rr_service_map *rr_keep_service_map(struct rr_service_map *map);
void rr_drop_service_map(struct rr_service_map *map);
/*
 * Return the index of the shard that holds a key according to the
 * configuration, n_shards if none does.
 */
size_t rr_find_shard_by_key(const struct rr_service_map *map, uint64_t key);
/*
 * Return the index of the shard with this name, n_shards if there is none.  The
 * search starts at index `guess` and wraps around.
 */
size_t rr_find_shard_by_name(const struct rr_service_map *map, const char *name,
			     size_t guess);

/* replica-limit.c */
/* Return this owner's share of the replica's slots, rounded up. */
uint32_t rr_slot_share(const struct rr_replica *replica);
/*
 * Return the number of attempts that this instance may have in flight at the
 * replica.
 */
uint32_t rr_replica_limit(const struct rr_core *core,
			  const struct rr_replica *replica);
/*
 * Adapt the limit to the latency of an attempt; `in_flight` is the number of
 * attempts in flight at the replica when it was sent, itself included.
 */
void rr_adapt_replica_limit(struct rr_replica *replica, int64_t took_us,
			    uint32_t in_flight);

#endif
