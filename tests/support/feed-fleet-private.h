/*
 * feed-fleet-private.h - calls of a fleet's feeds on their way, and the store.
 */
#ifndef TESTS_SUPPORT_FEED_FLEET_PRIVATE_H
#define TESTS_SUPPORT_FEED_FLEET_PRIVATE_H

#include "support/feed-fleet.h"

/* One way, to the store and among instances. */
#define ONE_WAY_DELAY_US (2 * FLEET_MS)
/* How old a copy is that may be old. */
#define STALE_COPY_AGE_US (1 * FLEET_S)
#define PAGE_ITEMS 500
#define MAX_STALENESS_MS 6000
#define ROUTES_KEY "routes"

struct fleet_change {
	uint64_t revision;
	int64_t at_us;
	char *key;
	char *value; /* NULL: removed */
	uint64_t lease;
};

/* A call on its way, at the store or at another instance. */
struct fleet_call {
	struct fleet_node *node;
	struct fleet_node *peer; /* NULL: the store */
	uint32_t incarnation;
	struct rr_feed_call call;
	char *after_key;
	GPtrArray *entered; /* struct rr_instance */
	GPtrArray *removed; /* char */
	int64_t deadline_us;
	bool done;
	guint refs;
};

struct delivery {
	struct fleet_call *call;
	struct rr_feed_reply reply;
};

/* feed-fleet.c: calls and answers on their way */
void fleet_drop_call(gpointer data);
struct fleet_call *fleet_keep_call(struct fleet_call *call);
struct delivery *fleet_new_delivery(struct fleet_call *call,
				    enum rr_feed_status status);
/* Send an answer; it is the carrier's from then on. */
void fleet_answer(struct fleet *fleet, struct delivery *delivery);
void fleet_fail(struct fleet *fleet, struct fleet_call *call);

/* feed-fleet-store.c */
void fleet_free_change(gpointer data);
struct rr_feed_item *fleet_make_item(const char *key, const char *value,
				     uint64_t revision);
void fleet_handle_at_store(struct fleet *fleet, struct fleet_call *call);
/* Answer those that wait, where there is something to tell or time is over. */
void fleet_answer_watches(struct fleet *fleet);
/* End leases, again and again. */
void fleet_tick_store(void *context, void *data);

#endif
