/*
 * feed-fleet.h - many feeds in virtual time, with one store that counts calls.
 *
 * For tests of the start of a fleet and of the cost of an outage.
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
	struct rr_feed *feed;	/* NULL: not running */
	uint32_t incarnation;	/* replies to an earlier one are dropped */
	bool rejected_by_store; /* the store rejects its calls at once */
	int64_t frozen_until_us;
	/* Replies of the store are lost until then. */
	int64_t replies_lost_until_us;
	/* Replies of the store are held up until then. */
	int64_t replies_held_until_us;
	/*
	 * Of the last removal of a replica that it learned of: how long ago that
	 * was, and the age that the feed stated.
	 */
	int64_t removal_us;
	int64_t stated_removal_us;
	/* It has a connection to the store, the `n_closed + 1`st. */
	bool has_store_conn;
	uint32_t n_closed;
	int64_t started_us;
	int64_t synced_us;    /* when all items were first read; 0: not yet */
	int64_t next_tick_us; /* time of the next queued tick */
	uint64_t routes_version; /* version in force */
	int64_t routes_applied_us;
	GPtrArray *waiting_calls; /* struct fleet_call, waiting for changes */
};

struct fleet {
	struct event_queue *events;
	int64_t now_us;
	GPtrArray *nodes; /* struct fleet_node */
	uint32_t max_staleness_ms;
	GPtrArray *history; /* struct fleet_change of the store */
	/* The same, as they were when the store was last restored. */
	GPtrArray *prior_history;
	int64_t restored_us; /* 0: never */
	GHashTable *items;   /* key -> latest struct fleet_change */
	GHashTable *leases;  /* id -> expiry time, int64_t */
	GPtrArray *watches;  /* struct fleet_call that wait at the store */
	uint64_t revision;
	uint64_t era; /* rises by one with each restore */
	uint64_t next_lease;
	/* Changes up to this revision were removed. */
	uint64_t compacted_revision;
	/* Watches of removed changes get no reply if they begin before. */
	int64_t hold_watches_until_us;
	bool store_down;
	bool stopping; /* queued events are dropped */
	/* Calls as billed: stale range reads and renewals count as a tenth. */
	double billed_calls;
	/* peak of the calls that count toward the rate limit */
	uint32_t peak_calls_per_s;
	uint32_t calls_this_second;
	int64_t current_second;
};

/*
 * Create `n` instances in `zones` zones, the first three of each about four
 * times as strong as the others.
 */
struct fleet *fleet_new(guint n, guint zones, guint replicas);
void fleet_drop(struct fleet *fleet);
/* Start all within the next `within_us` microseconds. */
void fleet_start_all(struct fleet *fleet, int64_t within_us);
void fleet_kill_all(struct fleet *fleet);
/* Kill an instance and start it again `down_us` later. */
void fleet_restart_node(struct fleet *fleet, guint index, int64_t down_us);
/* Let an instance neither receive nor send anything for a while. */
void fleet_freeze_node(struct fleet *fleet, guint index, int64_t us);
void fleet_run(struct fleet *fleet, int64_t us);
/*
 * Write the next version of the routes, as the operators do.  What instances
 * write is separate.
 */
void fleet_write_routes(struct fleet *fleet, uint64_t version);
void fleet_write_replica(struct fleet *fleet, guint number);
void fleet_remove_replica(struct fleet *fleet, guint number);
/*
 * Restore the store from a copy that is `age_us` old: later changes and leases
 * are lost, and their revisions are given out again.  Stale reads lag behind:
 * for a while they return the content from before, and state the new era.
 */
void fleet_restore_store(struct fleet *fleet, int64_t age_us);
/*
 * Compact the store: drop all changes so far and close all connections.  A
 * watch of these changes that is opened shortly afterwards gets no reply until
 * its end.
 */
void fleet_compact_store(struct fleet *fleet);
/* Make the store unreachable, or reachable again; closes all connections. */
void fleet_set_store_down(struct fleet *fleet, bool down);
/* Number of instances with an entry. */
guint fleet_count_entries(struct fleet *fleet);
/*
 * The longest time from the start of an instance to its first complete read;
 * INT64_MAX: some have not completed it.
 */
int64_t fleet_slowest_sync_us(const struct fleet *fleet);
/* When the last instance applied `version`; INT64_MAX: not all have done so. */
int64_t fleet_applied_us(const struct fleet *fleet, uint64_t version);

#endif
