/*
 * fake-store.h - the platform's key-value service in memory and virtual time.
 *
 * The user sets now_us, makes calls through a client's port, and runs the
 * events that are due; replies come through the client's callback.
 */
#ifndef SUPPORT_FAKE_STORE_H
#define SUPPORT_FAKE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/store.h"
#include "support/event-queue.h"

/* What becomes of a call. */
enum fake_call_outcome {
	FAKE_OK,
	FAKE_UNAVAILABLE,	  /* proof that it had no effect */
	FAKE_LOST_AFTER_EFFECT,	  /* took effect, no reply */
	FAKE_LOST_WITHOUT_EFFECT, /* no effect, no reply */
	FAKE_LATE_EFFECT,	  /* no reply, takes effect late_us later */
	FAKE_CALL_OUTCOME_COUNT,
};

struct fake_store {
	int64_t now_us;
	/* A call arrives after, and its reply after that, min to max. */
	uint32_t min_delay_us;
	uint32_t max_delay_us;
	uint32_t max_late_us; /* most; the least is a tenth */
	/* Time that each call keeps the service to itself; 0: none. */
	uint32_t write_busy_us;
	uint32_t read_busy_us;
	/* Calls in 1000 that have each fate; the rest is FAKE_OK. */
	uint32_t per_mille[FAKE_CALL_OUTCOME_COUNT];
	/* The next writes have this fate, before the odds are asked. */
	enum fake_call_outcome next_outcome;
	uint32_t n_next_outcomes;

	uint64_t reads;
	uint64_t writes;
	uint64_t bytes_written;
	uint64_t conflicts;

	GRand *random;
	GHashTable *values;
	struct event_queue *events;
	int64_t write_free_us;
	int64_t read_free_us;
};

struct fake_client {
	struct fake_store *store;
	/* NULL once its user is gone: replies are thrown away. */
	void (*reply)(void *data, const struct rr_store_reply *reply);
	void *data;
};

struct fake_store *new_fake_store(uint32_t seed);
void drop_fake_store(struct fake_store *store);

/* The client must live as long as the store's events. */
struct rr_store_port fake_client_port(struct fake_client *client);

/* When the next event is due; INT64_MAX for none. */
int64_t fake_store_due_us(const struct fake_store *store);
/* Run one event; now_us moves to its time if that is later. */
void run_fake_store_event(struct fake_store *store);

/* Look at a value without a call; NULL if it is not there. */
const char *peek_fake_value(struct fake_store *store, const char *key,
			    size_t *length, uint64_t *revision);
/* Put a value without a call. */
void poke_fake_value(struct fake_store *store, const char *key,
		     const char *value, size_t length);

#endif
