/*
 * soak.h - a soak of real gateway processes: faults from outside them, in
 * series that overlap, while callers and replicas check what is promised.
 *
 * One program holds the store, the replicas, the links to them and the
 * callers on one main loop; the gateways are processes of their own.  What
 * happens is drawn from a seed; when it happens is up to the machine.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "support/process.h"
#include "support/raw-http.h"
#include "support/standin-store.h"

#define MS ((int64_t)1000)
#define ZONES 3
#define SHARDS 6 /* of either set of shards */
#define MAX_ATTEMPTS 2
#define TOP_RECORDS 5
#define RECORD_BYTES 16
#define RECORDS_PER_PART 4
/* Shards that an answer needs: 0.6 of them. */
#define MIN_PARTS 4
#define DEADLINE_MS 1500
/* Capacity of a cold replica, and how long a new one is cold. */
#define COLD_PER_S 20
#define COLD_OVERAGE 1.5
#define COLD_SLACK 5
#define COLD_MS 3000
/* Size of the ring of a replica's last arrivals. */
#define ARRIVAL_RING_SIZE 64
/* Runs of one request that are remembered: more than there may ever be. */
#define MAX_EXECUTIONS 32

struct soak_options {
	uint32_t seed;
	uint32_t seconds;
	uint32_t instances;
	uint32_t callers;    /* of each instance */
	bool check_timing;   /* check bounds of time as well */
	const char *log_dir; /* of the gateways' lines; NULL: not kept */
};

enum soak_request_kind {
	SOAK_SEARCH,	     /* one replica of every shard */
	SOAK_IDEMPOTENT,     /* one replica, may be repeated */
	SOAK_NON_IDEMPOTENT, /* one replica, at most once */
	SOAK_N_REQUEST_KINDS,
};

struct soak_execution {
	uint32_t incarnation; /* number of its lifetime */
	char service[4];
};

/* What is known of a request, from its sending to the end of the soak. */
struct soak_request {
	char *id;
	enum soak_request_kind kind;
	char query_of_death[24]; /* content of a query of death, or "" */
	int64_t sent_us;
	uint32_t n_executions;
	struct soak_execution executions[MAX_EXECUTIONS];
	bool rejected; /* that it has not run and never will */
	/* A replica that had it is gone: it counts no more for the bound. */
	bool on_lost_replica;
};

/* A link between a gateway and the store, or to a replica. */
struct soak_link;

enum soak_link_state {
	SOAK_LINK_UP,
	SOAK_LINK_STALLED,	    /* nothing passes either way */
	SOAK_LINK_REQUESTS_STALLED, /* nothing passes from the one who connects */
	SOAK_LINK_REPLIES_STALLED,
	SOAK_LINK_REFUSED, /* connections end, new ones too */
};

struct soak_replica {
	struct soak *soak;
	uint32_t incarnation; /* of its lifetime */
	char id[16];	      /* may be that of the lifetime before */
	int64_t started_ms;
	char service[4];
	uint32_t zone;
	struct test_server server;
	struct soak_link *link;
	bool up;
	bool registered;
	int64_t draining_since_us; /* 0: it is not */
	int64_t paused_until_us;
	int64_t cold_until_us;
	int64_t arrivals_us[ARRIVAL_RING_SIZE]; /* a ring */
	uint32_t n_arrivals;
	uint32_t extra_work_ms;
	double shed_share;
	double no_answer_share;	 /* of the answers to what it ran */
	double bad_answer_share; /* of its answers */
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
	struct test_process *process; /* NULL: it is down */
	uint32_t n_starts;
	bool frozen;
	bool killed;
	int64_t stop_requested_us; /* 0: not asked to stop */
	int64_t last_fault_us;	   /* last harm to it, or to its link */
};

struct soak_caller;

struct soak {
	struct soak_options options;
	GRand *rand;
	struct test_store store;
	GPtrArray *replicas;  /* struct soak_replica */
	GPtrArray *instances; /* struct soak_instance */
	GPtrArray *callers;   /* struct soak_caller */
	GHashTable *requests; /* id -> struct soak_request */
	uint32_t last_incarnation;
	uint64_t last_request_number;
	uint64_t config_version;
	bool use_second_shards;	 /* which set the newest version names */
	bool use_second_service; /* which service it names for single requests */
	int64_t evacuated_since_us[ZONES]; /* since when; 0: it is not */
	int64_t last_fault_us; /* last harm to the store or to any replica */
	uint32_t n_faults;
	uint32_t answered;
	uint32_t complete;
	uint32_t partial;
	uint32_t rejected;
	uint32_t reused_ids;	  /* lifetimes under the id of the one before */
	uint32_t unknown_outcome; /* 502 and 504 */
	uint32_t unanswered;	  /* connections that ended without an answer */
	uint32_t executions;
	uint32_t crashes;	      /* of replicas, under requests */
	GHashTable *queries_of_death; /* content -> struct deadly */
	uint32_t violations;
};

/* Note a promise that was broken; the soak goes on, and fails in the end. */
void soak_report_violation(struct soak *soak, const char *rule,
			   const char *format, ...) G_GNUC_PRINTF(3, 4);
uint32_t soak_random_below(struct soak *soak, uint32_t below);
bool soak_chance(struct soak *soak, double share);
/* Nothing was harmed for as long as the rules with bounds of time ask. */
bool soak_is_fault_free_since(const struct soak *soak,
			      const struct soak_instance *instance,
			      int64_t since_us);

/* soak-link.c */
struct soak_link *soak_new_link(struct soak *soak, uint16_t target_port);
void soak_drop_link(struct soak_link *link);
uint16_t soak_link_port(const struct soak_link *link);
void soak_set_link_state(struct soak_link *link, enum soak_link_state state,
			 uint32_t delay_ms);
/* Accept or refuse new connections. */
void soak_set_link_listening(struct soak_link *link, bool open);
/* End all connections now. */
void soak_close_link_conns(struct soak_link *link);

/* soak-replica.c */
/* The records of a part, which follow from the request and the service. */
void soak_make_part_records(const char *request_id, const char *service,
			    char *out);
struct soak_replica *soak_new_replica(struct soak *soak, const char *service,
				      uint32_t zone);
void soak_drop_replica(struct soak_replica *replica);
/* Tell the store of it. */
void soak_register_replica(struct soak_replica *replica);
/* Its process dies: a new lifetime begins with soak_restart_replica(). */
void soak_crash_replica(struct soak_replica *replica);
/*
 * Begin a new lifetime at the same address, drawn at random: under another id,
 * or the same one if it serves the same, its entry taken away first or
 * written over.
 */
void soak_restart_replica(struct soak_replica *replica, const char *service);
/* Somebody writes what is no entry, beside its own or over it. */
void soak_write_invalid_entry(struct soak_replica *replica);

/* soak-instance.c */
struct soak_instance *soak_new_instance(struct soak *soak, uint32_t number);
void soak_drop_instance(struct soak_instance *instance);
void soak_start_instance(struct soak_instance *instance);
/* Whether the process has ended; it is reaped then. */
bool soak_reap_instance(struct soak_instance *instance);
/* One that ended though nobody asked for it broke a promise. */
void soak_check_instance_alive(struct soak_instance *instance);

/* soak-caller.c */
struct soak_caller *soak_new_caller(struct soak *soak, uint32_t instance);
void soak_drop_caller(struct soak_caller *caller);

/* soak-query-of-death.c */
/* Make a small share of the requests queries of death. */
void soak_draw_query_of_death(struct soak *soak, struct soak_request *request);
/* Check that a replica may receive a query of death. */
void soak_check_query_of_death(struct soak *soak,
			       const struct soak_request *request);
void soak_crash_on_query_of_death(struct soak_replica *replica,
				  const char *request_id);

/* soak-fault.c */
enum soak_phase {
	SOAK_RANDOM_FAULTS, /* anything */
	SOAK_INSTANCE_STOPS, /* planned: instances stop and start, routes change */
	SOAK_REPLICA_DRAINS,   /* planned: replicas leave, routes change */
	SOAK_ZONE_EVACUATIONS, /* planned: zones are emptied, routes change */
	SOAK_N_PHASES,
};

/* Begin one fault or planned change of a phase, drawn at random. */
void soak_inject_fault(struct soak *soak, enum soak_phase phase);
/* Undo all that is still harmed. */
void soak_clear_faults(struct soak *soak);
/* Write the next version of the configuration. */
void soak_write_config(struct soak *soak);

#endif
