/*
 * config.h - the operators' configuration of one site.
 *
 * Immutable once built and reference-counted, so that a query keeps the
 * configuration it started with.  settings.h builds it from YAML.
 */
#ifndef RAGWORT_CONFIG_H
#define RAGWORT_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rr_answer_mode {
	/* Wait for every shard that may still reply, up to the deadline. */
	RR_ANSWER_COVERAGE,
	/*
	 * Answer once `min_coverage` is reached and `straggler_wait_ms` has
	 * passed.
	 */
	RR_ANSWER_LATENCY,
};

struct rr_replica_config {
	char *id; /* unique in the configuration */
	char *zone;
	char *address; /* IP:PORT */
};

struct rr_shard_config {
	char *name;	   /* unique in the service */
	char *public_name; /* name shown to callers; may equal name */
	/* Range of keys, [key_from, key_to). */
	uint64_t key_from;
	uint64_t key_to;
	struct rr_replica_config *replicas;
	size_t n_replicas;
};

struct rr_service_config {
	char *name;
	enum rr_answer_mode answer;
	uint32_t deadline_ms;
	/* RR_ANSWER_LATENCY: sufficient share of shards, 0 to 1. */
	double min_coverage;
	/*
	 * RR_ANSWER_LATENCY: time to wait for the remaining shards once
	 * min_coverage is reached.
	 */
	uint32_t straggler_wait_ms;
	/* Attempts may be repeated; false: every request uses the ledger. */
	bool idempotent;
	/*
	 * Requests cost money: no hedging, and the ledger is used as for
	 * reservations.
	 */
	bool costs_money;
	/* Limits of one replica. */
	uint32_t slots;
	uint32_t connections;
	uint32_t connect_ms;	     /* time to set up a connection */
	uint32_t connection_reserve; /* reserved for other zones and tools */
	/* Maximum extra attempts, as a share of the required ones, 0 to 1. */
	double hedge_budget;
	double retry_budget;
	uint32_t attempt_timeout_ms;
	/* Maximum number of requests queued or running in one instance. */
	uint32_t max_open_requests;
	/* Maximum share of capacity for the batch class, 0 to 1. */
	double batch_share;
	uint32_t max_rows; /* maximum rows of an answer, and of a list page */
	struct rr_shard_config *shards;
	size_t n_shards;
};

/* Log settings that override those of an instance's start file. */
struct rr_log_settings {
	int level;		  /* enum rr_log_level; -1: not set */
	int format;		  /* enum rr_log_format; -1: not set */
	uint32_t max_lines_per_s; /* UINT32_MAX: not set */
};

struct rr_config {
	int refs;
	uint64_t revision; /* revision of the source record */
	char *site;
	/* number of owners of a replica by rendezvous hashing */
	uint32_t owners_per_replica;
	uint32_t reservation_retention_s;
	uint32_t ledger_buckets;
	struct rr_log_settings log;
	struct rr_service_config *services;
	size_t n_services;
};

/*
 * Create a configuration with default values and one reference, to be filled by
 * the caller.
 */
struct rr_config *rr_new_config(void);
struct rr_config *rr_keep_config(struct rr_config *config);
/*
 * Drop a reference; the last one frees all strings and arrays.  NULL is
 * allowed.
 */
void rr_drop_config(struct rr_config *config);

/* Set a service's default values; strings and shards stay empty. */
void rr_init_service_config(struct rr_service_config *service);

/*
 * Return the service of that name, owned by the configuration; NULL if there is
 * none.
 */
const struct rr_service_config *rr_find_service(const struct rr_config *config,
						const char *name);

#endif
