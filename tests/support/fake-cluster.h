/*
 * fake-cluster.h - cores in virtual time with fake replicas, a fake store and
 * fake links, for focused tests of the core.
 */
#ifndef TESTS_SUPPORT_FAKE_CLUSTER_H
#define TESTS_SUPPORT_FAKE_CLUSTER_H

#include <glib.h>

#include "ragwort/core.h"
#include "ragwort/counters.h"
#include "support/event-queue.h"

#define FAKE_MS 1000
/* Wall-clock time at virtual time 0, in s since 1970. */
#define FAKE_WALL_S INT64_C(1700000000)

enum fake_mode {
	FAKE_OK,
	FAKE_SHED,	 /* rejects with retry_after_ms */
	FAKE_REFUSE,	 /* refuses connections */
	FAKE_NO_VERSION, /* reports that it does not hold the version */
	FAKE_HANG,	 /* never replies */
	FAKE_LOSE_REPLY, /* runs the request; the reply is lost */
	FAKE_TRUNCATE,	 /* truncates the body */
	/* replies with its newest version, whatever was requested */
	FAKE_WRONG_VERSION,
	FAKE_DRAINING, /* rejects as draining */
	FAKE_DOWN,     /* as FAKE_REFUSE; health polls find it unreachable */
};

struct fake_replica {
	char *id;
	enum fake_mode mode;
	enum rr_upstream_state state;
	uint64_t oldest;
	uint64_t newest;
	/* keys held, with a row for every tenth key */
	struct rr_key_range range;
	int64_t latency_us;
	uint32_t retry_after_ms;
	bool no_health; /* no reply to health polls */
	/* Counts of what the replica received. */
	uint32_t attempts;
	uint32_t polls;
	uint32_t cancelled;
	GHashTable *run_counts; /* idempotency key -> times run */
};

/* A copy of an answer to a caller. */
struct fake_answer {
	uint64_t query_id;
	enum rr_outcome outcome;
	char *reason;
	uint64_t version;
	GArray *keys;	    /* keys of the rows (uint64_t) */
	GArray *versions;   /* version of each row (uint64_t) */
	GPtrArray *covered; /* names of shards (char *) */
	GPtrArray *missing; /* "shard:reason" (char *) */
	char *result;
	char *cursor;
	bool replayed;
	bool has_more;
	uint32_t retry_after_ms;
	uint32_t attempts;
	int64_t answered_us;
};

struct fake_instance {
	struct fake_cluster *cluster;
	struct rr_context *ctx;
	struct rr_core *core;
	char *name;
	char *zone;
	bool partitioned;	   /* isolated from all peers */
	GPtrArray *answers;	   /* struct fake_answer */
	GString *log;		   /* log lines */
	uint32_t sent_by_kind[16]; /* messages sent, by kind */
	/* revision of the last record passed to apply_config_record */
	uint64_t offered_revision;
};

struct fake_cluster {
	int64_t now_us;
	GPtrArray *instances;
	GHashTable *replicas; /* id -> struct fake_replica */
	struct event_queue *events;
	GHashTable *values; /* values of the store: key -> struct fake_value */
	bool store_down;    /* calls fail with proof that they had no effect */
	bool store_loses_replies; /* calls take effect; the replies are lost */
	int64_t store_delay_us;
	int64_t link_delay_us;
	uint32_t seed;
};

struct fake_cluster *fake_new_cluster(uint32_t seed);
void fake_drop_cluster(struct fake_cluster *cluster);

/*
 * Create a configuration of one service "desk", with shards of 100 keys each.
 */
struct rr_config *fake_config(uint64_t revision, size_t n_shards,
			      size_t n_replicas, const char *const *zones,
			      size_t n_zones);
/* Add the fake replicas that a configuration names. */
void fake_add_replicas(struct fake_cluster *cluster,
		       const struct rr_config *config);
struct fake_replica *fake_replica(struct fake_cluster *cluster, const char *id);

struct fake_instance *fake_add_instance(struct fake_cluster *cluster,
					const char *name, const char *zone,
					uint64_t incarnation);
/* Stop an instance without a drain; messages in flight to it are lost. */
void fake_kill_instance(struct fake_instance *instance);
void fake_set_config(struct fake_instance *instance, struct rr_config *config);
/* Pass every instance to every other as a member hint. */
void fake_hint_all_members(struct fake_cluster *cluster);

/* Run events and ticks for `us` microseconds of virtual time. */
void fake_run_for(struct fake_cluster *cluster, int64_t us);
/*
 * Run until the instance has n answers; returns false if that takes longer than
 * a minute.
 */
bool fake_wait_for_answers(struct fake_instance *instance, guint n);

uint64_t fake_search(struct fake_instance *instance);
uint64_t fake_reserve(struct fake_instance *instance, uint64_t key,
		      const char *id);
uint64_t fake_request(struct fake_instance *instance,
		      const struct rr_request *request);
struct fake_answer *fake_answer_at(struct fake_instance *instance, guint i);
struct fake_answer *fake_last_answer(struct fake_instance *instance);
bool fake_is_missing(const struct fake_answer *answer,
		     const char *shard_reason);
uint64_t fake_counter_value(struct fake_instance *instance,
			    enum rr_counter counter);
uint32_t fake_total_attempts(struct fake_cluster *cluster);

#endif
