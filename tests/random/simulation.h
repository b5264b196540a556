/*
 * simulation.h - State and interfaces of the randomised simulation.
 *
 * The fakes of the simulation share virtual time, an event queue, seeded
 * random numbers and a record of the events that they observed.
 *
 * Two instances run on one fake platform.  The network between them is not
 * simulated: each communicates with fake peers only.
 */
#ifndef RAGWORT_TESTS_SIMULATION_H
#define RAGWORT_TESTS_SIMULATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/core.h"
#include "support/event-queue.h"

#define N_INSTANCES 2
#define N_PEERS 3
#define N_SHARDS 6
#define N_REPLICAS 3 /* of a shard: two in zone a, one in zone b */
#define KEYS_PER_SHARD 100
#define KEY_STEP 10 /* every 10th key has a row */
#define KEY_END ((uint64_t)N_SHARDS * KEYS_PER_SHARD)
#define VERSIONS_KEPT 3
#define N_SERVICES 3
#define SERVICE_READ "stock"
#define SERVICE_FAST "quick" /* latency mode */
#define SERVICE_WRITE "orders"
#define RETENTION_S 40
#define WALL_START_US ((int64_t)1700000000 * G_USEC_PER_SEC)
#define MS ((int64_t)1000)

struct simulation;

/* One replica of the fake upstream. */
struct replica {
	const char *zone;
	int shard;
	uint64_t newest_version;
	uint64_t map_epoch;
	bool draining;
	bool down;     /* connections are refused */
	bool hung;     /* accepts attempts and never replies */
	bool shedding; /* rejects attempts for overload */
	/*
	 * Time at which an instance learned that the replica of a service
	 * drains; 0: it has not.
	 */
	int64_t draining_seen_us[N_SERVICES][N_INSTANCES];
};

/* State of a request as known to its caller. */
struct issued_request {
	uint64_t number;
	enum rr_request_kind kind;
	char service[16];
	char idempotency_key[48]; /* of a reservation; else "" */
	int64_t key_created_us;
	uint64_t key;
	uint32_t max_rows;
	int instance;
	uint64_t incarnation;
	uint64_t query_id;
	int64_t sent_us;
	int64_t deadline_us;
	bool answered;
	bool cancelled;
	bool was_draining;     /* the instance was draining at that time */
	bool from_peer;	       /* a relay of a fake peer */
	uint64_t n_executions; /* counted by the fake upstream and peers */
	bool reported_not_run;
	uint64_t list_number; /* paged list; 0: none */
};

/* A list that is requested page by page. */
struct paged_list {
	uint64_t number;
	uint64_t version;
	uint64_t next_key; /* all rows below it were returned */
	char *cursor;
	int n_pages;
	int64_t page_sent_us; /* time of the pending request; 0: none pending */
};

struct instance {
	struct simulation *simulation;
	int index;
	char name[16];
	struct rr_context *ctx;
	struct rr_core *core;
	uint64_t incarnation;
	int64_t paused_until_us;
	int64_t next_tick_us;
	bool draining;
	uint64_t config_revision; /* highest revision applied by this process */
	int64_t last_event_us;
};

struct fake_peer {
	char name[16];
	char address[24];
	uint64_t incarnation;
	bool up;
	uint64_t config_revision;
};

struct store_value {
	char *value;
	size_t length;
	uint64_t revision;
};

struct simulation {
	GRand *random;
	int64_t now_us;
	int64_t wall_offset_us;
	uint64_t steps;
	uint64_t sequence;
	struct event_queue *events;
	struct instance instances[N_INSTANCES];
	struct fake_peer peers[N_PEERS];
	struct replica replicas[N_SHARDS * N_REPLICAS];
	uint64_t shard_bounds[64]
			     [N_SHARDS + 1]; /* shards' keys by epoch % 64 */
	uint64_t index_version;
	uint64_t map_epoch;
	uint64_t config_revision; /* current revision of the operators */
	bool faults_stopped;	  /* no new faults */
	/* Store. */
	GHashTable *store_values; /* key to struct store_value */
	bool store_down;
	bool store_slow;
	bool store_loses_replies;
	/* Observed events. */
	GHashTable *issued_requests; /* number to struct issued_request */
	GQueue *requests_by_age;
	uint64_t last_request_number;
	uint64_t last_list_number;
	uint64_t last_relay_id;
	GHashTable *paged_lists;
	GHashTable *executions_by_key; /* "service/id" to count */
	GHashTable *results_by_key;
	GPtrArray *recent_keys;
	GHashTable *cancelled_attempts; /* attempt id */
	GHashTable *
		relayed_requests; /* query id of a fake peer to request number */
	uint64_t answers_by_outcome[8];
	uint64_t n_attempts;
	uint64_t n_relays_sent;
	uint64_t n_relay_replies;
	uint64_t n_restarts;
	uint64_t n_rows_checked;
};

/* Abort the run unless `condition` holds, after printing step and message. */
#define check(simulation, condition, ...)                         \
	do {                                                      \
		if (!(condition))                                 \
			fail_check((simulation), #condition,      \
				   g_strdup_printf(__VA_ARGS__)); \
	} while (0)

__attribute__((noreturn)) void fail_check(struct simulation *simulation,
					  const char *condition, char *what);

/* Return true with probability 1/n. */
bool random_one_in(struct simulation *simulation, int n);
int64_t random_between(struct simulation *simulation, int64_t low,
		       int64_t high);

/* Schedule `run(simulation, data)` for `at_us`; `run` frees the data. */
void schedule_event(struct simulation *simulation, int64_t at_us,
		    void (*run)(struct simulation *simulation, void *data),
		    void *data);
/* Run the next event; returns false if there is none. */
bool run_event(struct simulation *simulation);

/* Upstream. */
void init_upstream(struct simulation *simulation);
/* Return a replica by its id in the configuration: sSHARD-LETTERSERVICE. */
struct replica *find_replica(struct simulation *simulation, const char *id,
			     int *service);
void format_replica(struct simulation *simulation,
		    const struct replica *replica, int service, char id[24],
		    char address[24]);
void handle_attempt(struct simulation *simulation, struct instance *instance,
		    const struct rr_attempt *attempt);
void handle_health_poll(struct simulation *simulation,
			struct instance *instance, const char *id);
void perturb_upstream(struct simulation *simulation);
void restore_upstream(struct simulation *simulation);
/*
 * Count the execution of a request at a replica.  Fails the run if the request
 * was reported as not run, or if the idempotency key `id` (NULL: none) was
 * executed before.
 */
void count_run(struct simulation *simulation, uint64_t number,
	       const char *service, const char *id);
bool holds_version(const struct replica *replica, uint64_t version);
struct rr_key_range replica_range(struct simulation *simulation,
				  const struct replica *replica);
/*
 * Append the rows of a key range, with the version and request number in each
 * row.  Stops at `limit` rows (0: no limit) and then returns true.
 */
bool fill_rows(struct simulation *simulation, struct rr_rows *rows,
	       struct rr_key_range range, uint64_t version, uint64_t number,
	       uint32_t limit);
/* Return the number in a request id; 0 if there is none. */
uint64_t parse_request_number(const char *request_id);

/* Platform. */
struct rr_store_port make_fake_store_port(struct instance *instance);
void init_store(struct simulation *simulation);
void drop_store(struct simulation *simulation);
void perturb_store(struct simulation *simulation);

/* Peers. */
void init_peers(struct simulation *simulation);
void handle_peer_message(struct simulation *simulation,
			 struct instance *instance, const char *to,
			 const struct rr_peer_message *message);
void perturb_peers(struct simulation *simulation);
void send_random_relay(struct simulation *simulation);
void hint_peers(struct simulation *simulation, struct instance *instance);

/* Callers. */
void send_random_request(struct simulation *simulation);
void cancel_random_request(struct simulation *simulation);

/* Checks of answers against the events that the fakes observed. */
void check_answer(struct simulation *simulation, struct instance *instance,
		  const struct rr_answer *answer);
void check_relay_reply(struct simulation *simulation,
		       const struct rr_relay_reply *reply);
void check_overdue(struct simulation *simulation);

/* Record a request sent now and assign its number. */
struct issued_request *add_issued_request(struct simulation *simulation,
					  struct instance *instance,
					  enum rr_request_kind kind,
					  uint32_t deadline_ms);
extern const char *const service_names[N_SERVICES];

/*
 * Schedule an event for an instance; if the instance is paused at that time,
 * it gets the event after the pause.  `drop`, unless NULL, then frees `data`.
 */
void schedule_delivery(struct simulation *simulation, int index, int64_t at_us,
		       void (*run)(struct instance *instance, void *data),
		       void *data, void (*drop)(void *data));
/* Schedule the next tick and check the invariants, after each event. */
void finish_delivery(struct instance *instance);

#endif
