/*
 * soak.h - soak test of gateway processes under overlapping external faults.
 *
 * Callers and replicas check the guarantees of the gateway during the faults.
 * One program runs the store, the replicas and the callers on one main loop; the
 * links to them and the gateways are separate processes.  The seed determines
 * the series of the faults: their kinds, targets, durations and planned times.
 * What callers and replicas draw depends on the machine as well.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "support/process.h"
#include "support/raw-http.h"
#include "support/standin-store.h"

#define MS ((int64_t)1000)
#define ZONES 3
#define SHARDS 6 /* in each of the two sets of shards */
#define MAX_ATTEMPTS 2
#define TOP_RECORDS 5
#define RECORD_BYTES 16
#define RECORDS_PER_PART 4
/* Shards required for an answer: minShardRatio is 0.6. */
#define MIN_PARTS 4
#define DEADLINE_MS 1500
/* Capacity of a cold replica, and time for which a new one is cold. */
#define COLD_PER_S 20
#define COLD_OVERAGE 1.5
#define COLD_SLACK 5
#define COLD_MS 3000
/* Number of a replica's last arrivals that are stored. */
#define ARRIVAL_RING_SIZE 64
/* Stored executions of one request: more than are ever allowed. */
#define MAX_EXECUTIONS 32

struct soak_options {
	uint32_t seed;
	uint32_t seconds;
	uint32_t instances;
	uint32_t callers;  /* per instance */
	bool check_timing; /* also check time limits */
	/* Of the logs; NULL: a temporary one, removed if no rule is broken. */
	const char *log_dir;
};

enum soak_request_kind {
	SOAK_SEARCH,	     /* one replica of every shard */
	SOAK_IDEMPOTENT,     /* one replica, may be retried */
	SOAK_NON_IDEMPOTENT, /* one replica, at most once */
	SOAK_N_REQUEST_KINDS,
};

struct soak_execution {
	uint32_t incarnation; /* number of the replica's incarnation */
	char service[4];
};

/* State of a request; kept until the end of the soak. */
struct soak_request {
	char *id;
	enum soak_request_kind kind;
	char query_of_death[24]; /* content; "" if it is not one */
	int64_t sent_us;
	uint32_t n_executions;
	struct soak_execution executions[MAX_EXECUTIONS];
	bool rejected; /* answered as not executed */
	/* It ran at a crashed replica: the attempt limit isn't checked. */
	bool on_lost_replica;
};

/* A link between a gateway and the store, or to a replica. */
struct soak_link;

enum soak_link_state {
	SOAK_LINK_UP,
	SOAK_LINK_STALLED,	    /* both directions are stalled */
	SOAK_LINK_REQUESTS_STALLED, /* only the direction from the client */
	SOAK_LINK_REPLIES_STALLED,
	SOAK_LINK_REFUSED, /* open and new connections are closed */
};

struct soak_replica {
	struct soak *soak;
	uint32_t incarnation; /* unique number */
	char id[16];	      /* may be that of the previous incarnation */
	int64_t started_ms;
	char service[4];
	uint32_t zone;
	struct test_server server;
	struct soak_link *link;
	bool up;
	bool registered;
	int64_t draining_since_us; /* 0: not draining */
	int64_t paused_until_us;
	int64_t cold_until_us;
	int64_t arrivals_us[ARRIVAL_RING_SIZE]; /* ring buffer */
	uint32_t n_arrivals;
	uint32_t extra_work_ms;
	double shed_share;
	double lost_answer_share;    /* share of executions without an answer */
	double corrupt_answer_share; /* share of corrupt answers */
};

struct soak_instance {
	struct soak *soak;
	uint32_t number;
	char *name;
	uint16_t port;
	uint16_t ready_port;
	uint16_t peer_port;
	struct soak_link *store_link;
	char *settings_file;
	struct test_process *process; /* NULL: not running */
	uint32_t n_starts;
	bool frozen;
	bool killed;
	int64_t started_us;
	int64_t stop_requested_us; /* 0: not asked to stop */
	int last_signal;	   /* since the start; 0: none */
	int64_t last_signal_us;
	int64_t last_fault_us; /* last fault of it or its store link */
};

struct soak_caller;

struct soak {
	struct soak_options options;
	GRand *rand;	   /* of callers and replicas */
	GRand *fault_rand; /* of the fault that was injected last */
	uint32_t n_series; /* faults and phases drawn, from the seed alone */
	int64_t started_us;
	char *log_dir;
	FILE *fault_log;
	struct soak_stall_monitor *stalls;
	struct soak_link_hosts *link_hosts;
	bool lacks_descriptors;
	struct test_store store;
	GPtrArray *replicas;  /* struct soak_replica */
	GPtrArray *instances; /* struct soak_instance */
	GPtrArray *callers;   /* struct soak_caller */
	GHashTable *requests; /* id -> struct soak_request */
	uint32_t last_incarnation;
	uint64_t last_request_number;
	uint64_t config_version;
	int64_t config_written_us;
	char *config_text;		   /* as last written */
	uint32_t n_restores;		   /* of the store, from a copy */
	bool use_second_shards;		   /* in the current version */
	bool use_second_service;	   /* for single requests, likewise */
	int64_t evacuated_since_us[ZONES]; /* 0: not evacuated */
	int64_t last_fault_us; /* last fault of the store or of a replica */
	uint32_t n_faults;
	uint32_t answered;
	uint32_t complete;
	uint32_t partial;
	uint32_t rejected;
	uint32_t reused_ids;	  /* incarnations with the previous id */
	uint32_t unknown_outcome; /* 502 and 504 */
	uint32_t unanswered;	  /* connections closed without an answer */
	uint32_t executions;
	uint32_t crashes;	      /* of replicas, by queries of death */
	GHashTable *queries_of_death; /* content to struct query_of_death */
	uint32_t violations;
};

/* Print and count a violated rule; the soak fails at its end. */
void soak_report_violation(struct soak *soak, const char *rule,
			   const char *format, ...) G_GNUC_PRINTF(3, 4);
uint32_t soak_random_below(struct soak *soak, uint32_t below);
bool soak_chance(struct soak *soak, double share);
/*
 * Return whether there was no fault of the store, of a replica or of `instance`
 * since `since_us` and for some time before it, as the rules with time limits
 * require.  If `instance` is NULL, check all instances, which must also be
 * running and not frozen.
 */
bool soak_is_fault_free_since(const struct soak *soak,
			      const struct soak_instance *instance,
			      int64_t since_us);

/* soak-series.c: the series of faults, and what a failed run leaves behind */
/*
 * Begin the draws of the next fault or phase.  They depend on the seed and on
 * its number only, so that a series repeats whatever the machine does.
 */
void soak_start_draws(struct soak *soak);
/* Draws of faults, as opposed to those of callers and replicas. */
uint32_t soak_fault_below(struct soak *soak, uint32_t below);
bool soak_fault_chance(struct soak *soak, double share);
/* Continue with draws of their own, for what a fault does later. */
void soak_seed_draws(struct soak *soak, uint32_t seed);
/* Record a fault with its target and duration. */
void soak_log_fault(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void soak_open_logs(struct soak *soak);
/* Print where the logs of a failed run are; remove those of any other. */
void soak_close_logs(struct soak *soak);
/* Measure for how long this program's main loop stands still. */
void soak_monitor_stalls(struct soak *soak);
/* Return the longest stall since `since_us`, in milliseconds. */
uint32_t soak_longest_stall_ms(const struct soak *soak, int64_t since_us);

/* soak-link.c */
/* Start the processes that run the links. */
struct soak_link_hosts *soak_start_link_hosts(uint32_t n_instances);
void soak_stop_link_hosts(struct soak_link_hosts *hosts);
/*
 * Return how many connections the links could not accept or pass on, which is a
 * fault of the soak itself.
 */
uint32_t soak_count_failed_connections(const struct soak_link_hosts *hosts);
struct soak_link *soak_new_link(struct soak *soak, uint16_t target_port);
void soak_drop_link(struct soak_link *link);
uint16_t soak_link_port(const struct soak_link *link);
void soak_set_link_state(struct soak_link *link, enum soak_link_state state,
			 uint32_t delay_ms);
/* Open or close the listening socket of a link. */
void soak_set_link_listening(struct soak_link *link, bool open);
/* Close all connections of a link. */
void soak_close_link_conns(struct soak_link *link);

/* soak-replica.c */
/* Write the records of a part, which depend on the request and the service. */
void soak_make_part_records(const char *request_id, const char *service,
			    char *out);
struct soak_replica *soak_new_replica(struct soak *soak, const char *service,
				      uint32_t zone);
void soak_drop_replica(struct soak_replica *replica);
/* Write the replica's entry to the store. */
void soak_register_replica(struct soak_replica *replica);
/* Crash a replica; soak_restart_replica() starts a new incarnation. */
void soak_crash_replica(struct soak_replica *replica);
/*
 * Start a new incarnation at the same address.  At random, it has a new id, or
 * the same one if the service is the same; and its old entry is removed first
 * or overwritten.
 */
void soak_restart_replica(struct soak_replica *replica, const char *service);
/* Write an invalid entry to the store, at the replica's or another key. */
void soak_write_invalid_entry(struct soak_replica *replica);

/* soak-instance.c */
struct soak_instance *soak_new_instance(struct soak *soak, uint32_t number);
void soak_drop_instance(struct soak_instance *instance);
void soak_start_instance(struct soak_instance *instance);
/* Reap the process if it has exited; return whether it is not running. */
bool soak_reap_instance(struct soak_instance *instance);
void soak_signal_instance(struct soak_instance *instance, int number);
/* Report a violation if the process exited without being stopped or killed. */
void soak_check_instance_alive(struct soak_instance *instance);

/* soak-caller.c */
struct soak_caller *soak_new_caller(struct soak *soak, uint32_t instance);
void soak_drop_caller(struct soak_caller *caller);

/* soak-query-of-death.c */
/* Make a small share of the requests queries of death. */
void soak_draw_query_of_death(struct soak *soak, struct soak_request *request);
/* Report a violation if a replica receives a quarantined query of death. */
void soak_check_query_of_death(struct soak *soak,
			       const struct soak_request *request);
void soak_crash_on_query_of_death(struct soak_replica *replica,
				  const char *request_id);

/* soak-store.c */
void soak_disturb_store(struct soak *soak);
void soak_slow_store(struct soak *soak);
void soak_mute_watches(struct soak *soak);
/* Restore the store from a copy; its operators and replicas write again. */
void soak_restore_store(struct soak *soak);
void soak_end_store_faults(struct soak *soak);
void soak_evacuate_zone(struct soak *soak);
void soak_end_evacuation(struct soak *soak, uint32_t zone);

/* soak-fault.c */
uint32_t soak_random_fault_ms(struct soak *soak);
/* Record that the store or a replica has a fault now. */
void soak_record_fault(struct soak *soak);
enum soak_phase {
	SOAK_RANDOM_FAULTS,    /* any fault */
	SOAK_INSTANCE_STOPS,   /* planned: instances restart, routes change */
	SOAK_REPLICA_DRAINS,   /* planned: replicas drain, routes change */
	SOAK_ZONE_EVACUATIONS, /* planned: zones are evacuated, routes change */
	SOAK_N_PHASES,
};

/* Start a random fault or planned change of a phase. */
void soak_inject_fault(struct soak *soak, enum soak_phase phase);
/* End the faults of the store, zones, replicas and instances. */
void soak_clear_faults(struct soak *soak);
/* Write the next version of the configuration. */
void soak_write_config(struct soak *soak);
/* Write the next version, with services drawn at random. */
void soak_change_config(struct soak *soak);

#endif
