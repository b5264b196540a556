/*
 * feed-fleet.h - many feeds in virtual time, on one store that counts what it
 * is asked: for tests of how a fleet starts, and of what an outage costs.
 */
#ifndef TESTS_SUPPORT_FEED_FLEET_H
#define TESTS_SUPPORT_FEED_FLEET_H

#include "ragwort/feed.h"
#include "support/event-queue.h"

#define FLEET_MS ((int64_t)1000)
#define FLEET_S (1000 * FLEET_MS)

struct fleet;

struct fleet_node {
	struct fleet *fleet;
	guint index;
	struct rr_instance self;
	struct rr_context *ctx;
	struct rr_feed *feed;	/* NULL: it does not run */
	uint32_t incarnation;	/* answers to an earlier one are dropped */
	bool rejected_by_store; /* by the store, at once */
	int64_t started_us;
	int64_t synced_us;    /* when everything was first read; 0: not yet */
	int64_t next_tick_us; /* the next one in the queue */
	uint64_t routes_version; /* version in force */
	int64_t routes_applied_us;
	GPtrArray *
		waiting_calls; /* struct fleet_call that wait here for changes */
};

struct fleet {
	struct event_queue *events;
	int64_t now_us;
	GPtrArray *nodes;   /* struct fleet_node */
	GPtrArray *history; /* struct fleet_change of the store */
	GHashTable *items;  /* key -> latest struct fleet_change */
	GHashTable *leases; /* id -> when it ends, int64_t */
	GPtrArray *watches; /* struct fleet_call that wait at the store */
	uint64_t revision;
	uint64_t next_lease;
	bool store_down;
	bool stopping; /* events on their way are let go */
	/* Calls as they are paid for: old copies and renewals a tenth. */
	double billed_calls;
	uint32_t
		peak_calls_per_s; /* calls in a second that count toward its rates */
	uint32_t calls_this_second;
	int64_t current_second;
};

/* `n` instances in `zones` zones, the first few of each four times as strong. */
struct fleet *fleet_new(guint n, guint zones, guint replicas);
void fleet_drop(struct fleet *fleet);
/* Within the next so many microseconds. */
void fleet_start_all(struct fleet *fleet, int64_t within_us);
void fleet_kill_all(struct fleet *fleet);
void fleet_run(struct fleet *fleet, int64_t us);
/* The operators' next version; what other instances write is their own. */
void fleet_write_routes(struct fleet *fleet, uint64_t version);
void fleet_write_replica(struct fleet *fleet, guint number);
/* How many instances have an entry. */
guint fleet_count_entries(struct fleet *fleet);
/* The longest that it took one from its start to have read everything. */
int64_t fleet_slowest_sync_us(const struct fleet *fleet);
/* When the last one had a version in force; INT64_MAX: not all have it. */
int64_t fleet_applied_us(const struct fleet *fleet, uint64_t version);

#endif
