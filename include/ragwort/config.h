/*
 * config.h - the operators' configuration of one site: what the core runs by.
 *
 * Immutable once made and counted by reference, so that a query keeps the one
 * it started with.  settings.h makes it from YAML.
 */
#ifndef RAGWORT_CONFIG_H
#define RAGWORT_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rr_answer_mode {
	/* Wait for every shard that can still come, up to the deadline. */
	RR_ANSWER_COVERAGE,
	/* Answer when `enough` is covered and `wait_ms` has passed. */
	RR_ANSWER_LATENCY,
};

struct rr_replica_config {
	char *id; /* unique in the configuration */
	char *zone;
	char *address; /* IP:PORT */
};

struct rr_shard_config {
	char *name;	   /* unique in the service */
	char *public_name; /* what callers call the part; may equal name */
	/* Keys held, [key_from, key_to). */
	uint64_t key_from;
	uint64_t key_to;
	struct rr_replica_config *replicas;
	size_t n_replicas;
};

struct rr_service_config {
	char *name;
	enum rr_answer_mode answer;
	uint32_t deadline_ms;
	/* RR_ANSWER_LATENCY: share of shards, 0 to 1, that is enough. */
	double min_coverage;
	/* RR_ANSWER_LATENCY: how long to wait for the rest after that. */
	uint32_t straggler_wait_ms;
	/* Attempts may be repeated; false: every request goes by the ledger. */
	bool idempotent;
	/* Work costs money: no hedge, and the ledger as for reservations. */
	bool costs_money;
	/* Limits of one replica. */
	uint32_t slots;
	uint32_t connections;
	uint32_t connect_ms;	     /* what a new connection costs */
	uint32_t connection_reserve; /* kept free for other zones and tools */
	/* Most extra attempts, as a share of needed ones, 0 to 1. */
	double hedge_budget;
	double retry_budget;
	uint32_t attempt_timeout_ms;
	/* Most requests waiting or running in one instance. */
	uint32_t max_open_requests;
	/* Share of capacity the batch class may use, 0 to 1. */
	double batch_share;
	uint32_t max_rows; /* rows of one answer, and of one list page */
	struct rr_shard_config *shards;
	size_t n_shards;
};

/* Log settings that replace those of an instance's start file. */
struct rr_log_settings {
	int level;		  /* enum rr_log_level; -1: not set */
	int format;		  /* enum rr_log_format; -1: not set */
	uint32_t max_lines_per_s; /* UINT32_MAX: not set */
};

struct rr_config {
	int refs;
	uint64_t revision; /* of the record it came from */
	char *site;
	uint32_t owners_per_replica; /* k of the rendezvous hash */
	uint32_t reservation_retention_s;
	uint32_t ledger_buckets;
	struct rr_log_settings log;
	struct rr_service_config *services;
	size_t n_services;
};

/* A zeroed configuration with one reference, for its one maker to fill. */
struct rr_config *rr_new_config(void);
struct rr_config *rr_keep_config(struct rr_config *config);
/* Drop a reference; the last frees all strings and arrays. NULL is allowed. */
void rr_drop_config(struct rr_config *config);

/* Set a service's defaults; strings and shards stay empty. */
void rr_init_service_config(struct rr_service_config *service);

/* The service of that name, owned by the configuration; NULL if none. */
const struct rr_service_config *rr_find_service(const struct rr_config *config,
						const char *name);

#endif
