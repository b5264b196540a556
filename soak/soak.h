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
#define MOST_ATTEMPTS 2
#define TOP_RECORDS 5
#define RECORD_BYTES 16
#define PART_RECORDS 4
/* Shards that an answer needs: 0.6 of them. */
#define LEAST_PARTS 4
#define DEADLINE_MS 1500
/* Capacity of a cold replica, and how long a new one is cold. */
#define COLD_PER_S 20
#define COLD_OVERAGE 1.5
#define COLD_SLACK 5
#define COLD_MS 3000
/* Size of the ring of a replica's last arrivals. */
#define ARRIVALS 64
/* Runs of one request that are remembered: more than there may ever be. */
#define MOST_RUNS 32

struct soak_options {
	uint32_t seed;
	uint32_t seconds;
	uint32_t instances;
	uint32_t callers;    /* of each instance */
	bool timing;	     /* check bounds of time as well */
	const char *log_dir; /* of the gateways' lines; NULL: not kept */
};

enum soak_kind {
	SOAK_SEARCH, /* one replica of every shard */
	SOAK_OFTEN,  /* one replica, may be repeated */
	SOAK_ONCE,   /* one replica, at most once */
	SOAK_KINDS,
};

struct soak_run {
	uint32_t replica; /* number of its lifetime */
	char service[4];
};

/* What is known of a request, from its sending to the end of the soak. */
struct soak_request {
	char *id;
	enum soak_kind kind;
	char deadly[24]; /* content of a query of death, or "" */
	int64_t sent_us;
	uint32_t n_runs;
	struct soak_run runs[MOST_RUNS];
	bool promised; /* that it has not run and never will */
	/* A replica that had it is gone: it counts no more for the bound. */
	bool lost_a_replica;
};

/* A link between a gateway and the store, or to a replica. */
struct soak_link;

enum soak_link_state {
	SOAK_LINK_UP,
	SOAK_LINK_SILENT,   /* nothing passes either way */
	SOAK_LINK_NO_CALLS, /* nothing passes from the one who connects */
	SOAK_LINK_NO_REPLIES,
	SOAK_LINK_REFUSED, /* connections end, new ones too */
};

struct soak_replica {
	struct soak *soak;
	uint32_t number; /* of its lifetime */
	char id[16];	 /* may be that of the lifetime before */
	int64_t born_ms;
	char service[4];
	uint32_t zone;
	struct test_server server;
	struct soak_link *link;
	bool up;
	bool listed;
	int64_t draining_us; /* 0: it is not */
	int64_t paused_until_us;
	int64_t cold_until_us;
	int64_t arrivals_us[ARRIVALS]; /* a ring */
	uint32_t n_arrivals;
	uint32_t slow_ms;
	double shed;
	double lose;   /* of the answers to what it ran */
	double garble; /* of its answers */
};

struct soak_instance {
	struct soak *soak;
	uint32_t number;
	char *name;
	uint16_t port;
	uint16_t ready_port;
	uint16_t peer_port;
	struct soak_link *store;
	char *start_file;
	struct test_process *process; /* NULL: it is down */
	uint32_t starts;
	bool frozen;
	bool killed;
	int64_t stopping_us;  /* 0: not asked to stop */
	int64_t disturbed_us; /* last harm to it, or to its link */
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
	uint32_t next_replica;
	uint64_t next_request;
	uint64_t version;
	bool other_shards; /* which set the newest version names */
	bool other_single; /* which service it names for single requests */
	int64_t evacuated_us[ZONES]; /* since when; 0: it is not */
	int64_t harmed_us; /* last harm to the store or to any replica */
	uint32_t faults;
	uint32_t answered;
	uint32_t whole;
	uint32_t partial;
	uint32_t refused;
	uint32_t reborn;  /* lifetimes under the id of the one before */
	uint32_t unknown; /* 502 and 504 */
	uint32_t cut;	  /* connections that ended without an answer */
	uint32_t runs;
	uint32_t crashes;   /* of replicas, under requests */
	GHashTable *deadly; /* content -> struct deadly */
	uint32_t violations;
};

/* Note a promise that was broken; the soak goes on, and fails in the end. */
void soak_violation(struct soak *soak, const char *rule, const char *format,
		    ...) G_GNUC_PRINTF(3, 4);
uint32_t soak_draw(struct soak *soak, uint32_t below);
bool soak_chance(struct soak *soak, double share);
/* Nothing was harmed for as long as the rules with bounds of time ask. */
bool soak_is_calm_since(const struct soak *soak,
			const struct soak_instance *instance, int64_t since_us);

/* soak-link.c */
struct soak_link *soak_new_link(struct soak *soak, uint16_t target_port);
void soak_drop_link(struct soak_link *link);
uint16_t soak_link_port(const struct soak_link *link);
void soak_set_link(struct soak_link *link, enum soak_link_state state,
		   uint32_t delay_ms);
/* Accept or refuse new connections. */
void soak_listen_link(struct soak_link *link, bool open);
/* End all connections now. */
void soak_reset_link(struct soak_link *link);

/* soak-replica.c */
/* The records of a part, which follow from the request and the service. */
void soak_part_records(const char *request_id, const char *service, char *out);
struct soak_replica *soak_new_replica(struct soak *soak, const char *service,
				      uint32_t zone);
void soak_drop_replica(struct soak_replica *replica);
/* Tell the store of it. */
void soak_list_replica(struct soak_replica *replica);
/* Its process dies: a new lifetime begins with soak_revive_replica(). */
void soak_crash_replica(struct soak_replica *replica);
/*
 * Begin a new lifetime at the same address, drawn at random: under another id,
 * or the same one if it serves the same, its entry taken away first or
 * written over.
 */
void soak_revive_replica(struct soak_replica *replica, const char *service);
/* Somebody writes what is no entry, beside its own or over it. */
void soak_write_odd_entry(struct soak_replica *replica);

/* soak-instance.c */
struct soak_instance *soak_new_instance(struct soak *soak, uint32_t number);
void soak_drop_instance(struct soak_instance *instance);
void soak_start_instance(struct soak_instance *instance);
/* Whether the process has ended; it is reaped then. */
bool soak_instance_ended(struct soak_instance *instance);
/* One that ended though nobody asked for it broke a promise. */
void soak_check_instance(struct soak_instance *instance);

/* soak-caller.c */
struct soak_caller *soak_new_caller(struct soak *soak, uint32_t instance);
void soak_drop_caller(struct soak_caller *caller);

/* soak-deadly.c */
/* Make a small share of the requests queries of death. */
void soak_draw_deadly(struct soak *soak, struct soak_request *request);
/* Check that a replica may receive a query of death. */
void soak_check_deadly(struct soak *soak, const struct soak_request *request);
void soak_crash_under(struct soak_replica *replica, const char *request_id);

/* soak-fault.c */
enum soak_phase {
	SOAK_STORM,	  /* anything */
	SOAK_STOPS,	  /* planned: instances stop and start, routes change */
	SOAK_DRAINS,	  /* planned: replicas leave, routes change */
	SOAK_EVACUATIONS, /* planned: zones are emptied, routes change */
	SOAK_PHASES,
};

/* Begin one fault or planned change of a phase, drawn at random. */
void soak_begin_fault(struct soak *soak, enum soak_phase phase);
/* Undo all that is still harmed. */
void soak_heal_all(struct soak *soak);
/* Write the next version of the configuration. */
void soak_write_config(struct soak *soak);

#endif
