/*
 * memory-budget.h - limit on the memory that all connections of a process hold
 * for requests and responses.
 *
 * Each connection is a user of the budget and reports what it holds. While the
 * limit is reached, a user that holds more than a short message stops reading
 * and waits; the budget calls its `resume` when memory is free again. Short
 * messages therefore pass at any time. Closing connections is left to their
 * owners (see http-listener.h).
 */
#ifndef RAGWORT_NET_MEMORY_BUDGET_H
#define RAGWORT_NET_MEMORY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Interval at which a budget that is short of memory is checked. */
#define RR_MEMORY_CHECK_US (50 * 1000)
/* A user that holds at most this much never waits. */
#define RR_SHORT_MESSAGE_BYTES 16384

struct rr_memory_budget;

struct rr_memory_user {
	struct rr_memory_budget *budget; /* NULL: no limit */
	size_t held_bytes;
	bool is_waiting;
	/*
	 * Reads on; may clear any user. Called by rr_tick_memory_budget(), NULL
	 * for a user that never waits.
	 */
	void (*resume)(void *data);
	void *data;
	GList link; /* element of the budget's queue, while waiting */
};

struct rr_memory_budget *rr_new_memory_budget(uint64_t limit_bytes);
/* Free a budget that has no users any more; NULL is allowed. */
void rr_drop_memory_budget(struct rr_memory_budget *budget);

/* Initialise a user; `data` is passed to `resume`. */
void rr_init_memory_user(struct rr_memory_user *user,
			 struct rr_memory_budget *budget,
			 void (*resume)(void *data), void *data);
/* Release what a user holds and end its wait. */
void rr_clear_memory_user(struct rr_memory_user *user);
/* Set the number of bytes that a user holds. */
void rr_hold_memory(struct rr_memory_user *user, size_t n_bytes);
/*
 * Return whether a user has to stop reading. It then waits until its `resume`
 * is called or rr_end_memory_wait().
 */
bool rr_wait_for_memory(struct rr_memory_user *user);
/* The message is complete, or the rest of it is not stored. */
void rr_end_memory_wait(struct rr_memory_user *user);

uint64_t rr_held_memory_bytes(const struct rr_memory_budget *budget);
/* Return whether users wait or the limit is exceeded; false for NULL. */
bool rr_is_memory_short(const struct rr_memory_budget *budget);
/*
 * Return how many bytes have to be released so that waiting users can read on
 * for some time; 0 unless memory is short.
 */
uint64_t rr_memory_shortage_bytes(const struct rr_memory_budget *budget);
/*
 * Return how strongly a user's connection should be closed to release memory:
 * the bytes that it holds times the time for which it has held them. 0 if they
 * are few, or held so shortly that a retransmission may be on its way.
 */
double rr_memory_cost(const struct rr_memory_user *user, int64_t age_us);
/* Let waiting users read on, in the order of waiting. */
void rr_tick_memory_budget(struct rr_memory_budget *budget);

#endif
