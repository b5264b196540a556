/*
 * feed-fleet-private.h - calls in flight of the simulated fleet, and the
 * simulated store.
 */
#ifndef TESTS_SUPPORT_FEED_FLEET_PRIVATE_H
#define TESTS_SUPPORT_FEED_FLEET_PRIVATE_H

#include "support/feed-fleet.h"

/* One-way delay to the store and between instances. */
#define ONE_WAY_DELAY_US (2 * FLEET_MS)
/* Age of a stale copy. */
#define STALE_COPY_AGE_US (1 * FLEET_S)
#define PAGE_ITEMS 500
#define MAX_STALENESS_MS 6000
#define ROUTES_KEY "routes"

struct fleet_change {
	guint refs;
	uint64_t revision;
	int64_t at_us;
	char *key;
	char *value; /* NULL: removed */
	uint64_t lease;
};

/* A call in flight, or waiting at the store or at a peer. */
struct fleet_call {
	struct fleet_node *node;
	struct fleet_node *peer; /* NULL: the store */
	uint32_t incarnation;
	uint32_t n_closed; /* connections closed before it was sent */
	struct rr_feed_call call;
	char *after_key;
	GPtrArray *entered; /* struct rr_instance */
	GPtrArray *removed; /* char */
	int64_t deadline_us;
	bool is_held; /* a watch that gets no reply until its deadline */
	bool timed_out;
	bool done;
	guint refs;
};

struct delivery {
	struct fleet_call *call;
	struct rr_feed_reply reply;
};

/* feed-fleet.c: calls and replies in flight */
void fleet_drop_call(gpointer data);
struct fleet_call *fleet_keep_call(struct fleet_call *call);
struct delivery *fleet_new_delivery(struct fleet_call *call,
				    enum rr_feed_status status);
/* Send a reply and take ownership of it. */
void fleet_answer(struct fleet *fleet, struct delivery *delivery);
void fleet_fail(struct fleet *fleet, struct fleet_call *call);

/* Close the store's connections: its instances notice their idle ones. */
void fleet_close_store_conns(struct fleet *fleet);

/* feed-fleet-store.c */
void fleet_drop_change(gpointer data);
struct rr_feed_item *fleet_make_item(const char *key, const char *value,
				     uint64_t revision);
void fleet_handle_at_store(struct fleet *fleet, struct fleet_call *call);
/*
 * Answer the waiting watches that have changes to report or whose wait time is
 * over.
 */
void fleet_answer_watches(struct fleet *fleet);
/* Expire leases, periodically. */
void fleet_tick_store(void *context, void *data);

#endif
