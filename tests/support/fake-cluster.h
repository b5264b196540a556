/*
 * fake-cluster.h - cores in virtual time on fake replicas, a fake store and
 * fake links, for focused tests of the core.
 */
#ifndef TESTS_SUPPORT_FAKE_CLUSTER_H
#define TESTS_SUPPORT_FAKE_CLUSTER_H

#include <glib.h>

#include "ragwort/core.h"
#include "ragwort/counters.h"
#include "support/event-queue.h"

#define FAKE_MS 1000
/* Wall-clock time of the world's start. */
#define FAKE_WALL_S INT64_C(1700000000)

enum fake_mode {
	FAKE_OK,
	FAKE_SHED,	    /* refuses, with retry_after_ms */
	FAKE_REFUSE,	    /* connection refused */
	FAKE_NO_VERSION,    /* says it does not hold what is asked */
	FAKE_HANG,	    /* never replies */
	FAKE_LOSE_REPLY,    /* runs it; the reply is lost */
	FAKE_TRUNCATE,	    /* a body cut short */
	FAKE_WRONG_VERSION, /* rows of its newest, whatever was asked */
	FAKE_DRAINING,	    /* refuses: leaving */
	FAKE_DOWN,	    /* as FAKE_REFUSE, and no health */
};

struct fake_replica {
	char *id;
	enum fake_mode mode;
	enum rr_upstream_state state;
	uint64_t oldest;
	uint64_t newest;
	struct rr_key_range range; /* holds a row for each tenth key */
	int64_t latency_us;
	uint32_t retry_after_ms;
	bool no_health; /* polls get no reply */
	/* What it saw. */
	uint32_t attempts;
	uint32_t polls;
	uint32_t cancelled;
	GHashTable *run_counts; /* Idempotency-Key -> times run */
};

/* What a caller was answered, copied. */
struct fake_answer {
	uint64_t query_id;
	enum rr_outcome outcome;
	char *reason;
	uint64_t version;
	GArray *keys;	    /* uint64_t, of the rows */
	GArray *versions;   /* uint64_t, that each row was made of */
	GPtrArray *covered; /* char * */
	GPtrArray *missing; /* char *: "shard:reason" */
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
	bool partitioned;	   /* from all peers */
	GPtrArray *answers;	   /* struct fake_answer */
	GString *log;		   /* decision lines */
	uint32_t sent_by_kind[16]; /* sent, by kind */
	uint64_t offered_revision; /* calls of config_record */
};

struct fake_cluster {
	int64_t now_us;
	GPtrArray *instances;
	GHashTable *replicas; /* id -> struct fake_replica */
	struct event_queue *events;
	GHashTable *values;	  /* store: key -> struct fake_value */
	bool store_down;	  /* proof: never reached */
	bool store_loses_replies; /* does it, and the reply is lost */
	int64_t store_delay_us;
	int64_t link_delay_us;
	uint32_t seed;
};

struct fake_cluster *fake_new_cluster(uint32_t seed);
void fake_drop_cluster(struct fake_cluster *world);

/* A configuration of one service "desk", shards of 100 keys each. */
struct rr_config *fake_config(uint64_t revision, size_t n_shards,
			      size_t n_replicas, const char *const *zones,
			      size_t n_zones);
/* Make the fake replicas that a configuration names. */
void fake_add_replicas(struct fake_cluster *world,
		       const struct rr_config *config);
struct fake_replica *fake_replica(struct fake_cluster *world, const char *id);

struct fake_instance *fake_add_instance(struct fake_cluster *world,
					const char *name, const char *zone,
					uint64_t incarnation);
/* It dies at once; nothing in flight reaches it. */
void fake_kill_instance(struct fake_instance *instance);
void fake_set_config(struct fake_instance *instance, struct rr_config *config);
/* Every instance is told of every other. */
void fake_hint_all_members(struct fake_cluster *world);

/* Run events and ticks up to now + us. */
void fake_run_for(struct fake_cluster *world, int64_t us);
/* Run until the instance has n answers; false if that takes a minute. */
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
uint32_t fake_total_attempts(struct fake_cluster *world);

#endif
