/*
 * fleet.h - a small deployment for the scripts of the review: the store,
 * replicas and callers in this process, gateways as processes of their own.
 *
 * The gateways are those that the deploy file builds, with the start file that
 * the platform makes for a site of three zones.  All run on the main loop.
 */
#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "support/raw-http.h"
#include "support/standin-store.h"

#define FLEET_ZONES 3
#define FLEET_MAX_GATEWAYS 9
#define FLEET_MAX_REPLICAS 16

/* Bounds of the small sites, in milliseconds. */
#define FLEET_STABLE_WINDOW_MS 4000
#define FLEET_CONFIG_APPLY_MS 3000

struct fleet;

struct fleet_replica {
	struct fleet *fleet;
	struct test_server server;
	char *id;
	char *service;
	const char *zone;
	uint32_t runs;
};

struct fleet_gateway {
	char *name;
	const char *zone;
	char *caller_address;
	char *ready_address;
	char *peer_address;
	char *start_file;
	GSubprocess *process; /* NULL: not running */
};

struct fleet {
	GMainLoop *loop;
	struct test_store store;
	struct fleet_replica replicas[FLEET_MAX_REPLICAS];
	uint32_t n_replicas;
	struct fleet_gateway gateways[FLEET_MAX_GATEWAYS];
	uint32_t n_gateways;
	char *folder; /* temporary, for start files and logs */
	FILE *record;
	int64_t started_us;
	/* A replica has begun to work on a request; it has to be answered. */
	void (*run)(struct fleet_replica *replica,
		    struct test_connection *connection);
	void *data;
};

/* Open the store and the record, which is appended to from now on. */
struct fleet *fleet_open(const char *record_file);
/* End all gateways, close everything and remove the temporary folder. */
void fleet_close(struct fleet *fleet);

/* Write a line with the time since the start to the record. */
void fleet_note(struct fleet *fleet, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/* Return the time since the start in milliseconds. */
int64_t fleet_now_ms(const struct fleet *fleet);
/* Run the main loop for some milliseconds. */
void fleet_run_for(struct fleet *fleet, uint32_t ms);

/* Start a replica in a zone (0 to 2) and write its entry to the store. */
struct fleet_replica *fleet_add_replica(struct fleet *fleet,
					const char *service, uint32_t zone);
/* Remove a replica's entry; the replica goes on serving. */
void fleet_remove_entry(struct fleet_replica *replica);
/* Answer the request of a connection as its replica's own work. */
void fleet_answer(struct fleet_replica *replica,
		  struct test_connection *connection, int status,
		  const char *body);

/* Start gateways in the zones in turn; false if they are not ready in time. */
bool fleet_start_gateways(struct fleet *fleet, uint32_t n);
void fleet_signal(struct fleet *fleet, uint32_t gateway, int signal_number);

struct fleet_answer {
	int status; /* 0: closed without a complete answer */
	char *headers;
	char *body;
};

struct fleet_request {
	const char *method;
	const char *path;
	const char *id;
	uint32_t deadline_ms;
};

/* A caller with one connection to one gateway, kept for many requests. */
struct fleet_caller;

struct fleet_caller *fleet_open_caller(struct fleet *fleet, uint32_t gateway);
void fleet_close_caller(struct fleet_caller *caller);
/*
 * Send a request; `answered` is called from the main loop when its answer is
 * complete or the connection is closed.  One request at a time.
 */
void fleet_post(struct fleet_caller *caller,
		const struct fleet_request *request,
		void (*answered)(void *data, const struct fleet_answer *answer),
		void *data);
/*
 * Send a request and run the main loop until its answer is complete, the
 * connection is closed or the deadline is one second past.
 */
struct fleet_answer fleet_send(struct fleet_caller *caller,
			       const struct fleet_request *request);
void fleet_clear_answer(struct fleet_answer *answer);

#endif
