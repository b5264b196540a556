/*
 * fake-store.h - the platform's key-value service in memory and virtual time.
 *
 * The user sets now_us, makes calls through a client's port and runs the events
 * that are due.  Replies are passed to the client's callback.
 */
#ifndef SUPPORT_FAKE_STORE_H
#define SUPPORT_FAKE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/store.h"
#include "support/event-queue.h"

/* Outcome of a call. */
enum fake_call_outcome {
	FAKE_OK,
	FAKE_UNAVAILABLE,	  /* fails, with proof of no effect */
	FAKE_LOST_AFTER_EFFECT,	  /* took effect, no reply */
	FAKE_LOST_WITHOUT_EFFECT, /* no effect, no reply */
	FAKE_LATE_EFFECT, /* no reply; takes effect later, see max_late_us */
	FAKE_CALL_OUTCOME_COUNT,
};

struct fake_store {
	int64_t now_us;
	/*
	 * Bounds of the delay before a call arrives, and of that before its
	 * reply.
	 */
	uint32_t min_delay_us;
	uint32_t max_delay_us;
	/* longest delay of FAKE_LATE_EFFECT; the shortest is a tenth */
	uint32_t max_late_us;
	/* Time for which each call occupies the service; 0: none. */
	uint32_t write_busy_us;
	uint32_t read_busy_us;
	/* Calls in 1000 with each outcome; the rest are FAKE_OK. */
	uint32_t per_mille[FAKE_CALL_OUTCOME_COUNT];
	/*
	 * Outcome of the next n_next_outcomes writes; takes precedence over
	 * per_mille.
	 */
	enum fake_call_outcome next_outcome;
	uint32_t n_next_outcomes;

	uint64_t reads;
	uint64_t writes;
	uint64_t bytes_written;
	uint64_t conflicts;

	/* Stated in the replies; 0: none, as of a store without eras. */
	uint64_t era;

	GRand *random;
	GHashTable *values;
	GHashTable *copy; /* NULL: none was made */
	struct event_queue *events;
	int64_t write_free_us;
	int64_t read_free_us;
};

struct fake_client {
	struct fake_store *store;
	/* NULL after its user was freed: replies are dropped. */
	void (*reply)(void *data, const struct rr_store_reply *reply);
	void *data;
};

struct fake_store *new_fake_store(uint32_t seed);
void drop_fake_store(struct fake_store *store);

/* Keep a copy of all values, for restore_fake_store(). */
void copy_fake_store(struct fake_store *store);
/*
 * Restore the values of the copy and begin the next era.  Calls in progress
 * take effect in that era.
 */
void restore_fake_store(struct fake_store *store);

/* Return the store port of a client, which must outlive the store's events. */
struct rr_store_port fake_client_port(struct fake_client *client);

/* Return the time of the next event; INT64_MAX if none. */
int64_t fake_store_due_us(const struct fake_store *store);
/* Run one event; now_us advances to its time if that is later. */
void run_fake_store_event(struct fake_store *store);

/* Return a value without a call; NULL if absent. */
const char *get_fake_value(struct fake_store *store, const char *key,
			   size_t *length, uint64_t *revision);
/* Set a value without a call. */
void set_fake_value(struct fake_store *store, const char *key,
		    const char *bytes, size_t length);

#endif
