/*
 * lifecycle.h - when an instance takes callers, turns them away and ends.
 *
 * Pure: times and counts in, what to do out.
 */
#ifndef RAGWORT_LIFECYCLE_H
#define RAGWORT_LIFECYCLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rr_lifecycle {
	int64_t stop_us; /* when the stop was asked for; 0: it was not */
	uint32_t stop_timeout_ms;
};

enum rr_stop_step {
	RR_STOP_RUN, /* serve on; answers end their connections */
	/* Callers were led elsewhere: connections at rest may close. */
	RR_STOP_CLOSE_IDLE,
	/* The end is near: nothing new is taken, as it would be cut off. */
	RR_STOP_REFUSE,
	RR_STOP_EXIT,
};

void rr_ask_stop(struct rr_lifecycle *lifecycle, int64_t now_us);
/* Whether callers may be sent here. */
bool rr_takes_callers(const struct rr_lifecycle *lifecycle, bool serves);
/* While stopping: what to do with so many requests and connections open. */
enum rr_stop_step rr_next_stop_step(const struct rr_lifecycle *lifecycle,
				    int64_t now_us, size_t requests,
				    size_t connections);

#endif
