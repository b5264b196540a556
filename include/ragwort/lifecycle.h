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
	int64_t stop_requested_us; /* when the stop was asked for; 0: it was not */
	uint32_t stop_timeout_ms;
};

enum rr_stop_phase {
	RR_STOP_KEEP_SERVING, /* serve on; answers end their connections */
	/* Callers were led elsewhere: connections at rest may close. */
	RR_STOP_CLOSE_IDLE,
	/* The end is near: nothing new is taken, as it would be cut off. */
	RR_STOP_REJECT_NEW,
	RR_STOP_EXIT,
};

void rr_request_stop(struct rr_lifecycle *lifecycle, int64_t now_us);
/* Whether callers may be sent here. */
bool rr_lifecycle_is_ready(const struct rr_lifecycle *lifecycle, bool serves);
/* While stopping: what to do with so many requests and connections open. */
enum rr_stop_phase rr_find_stop_phase(const struct rr_lifecycle *lifecycle,
				      int64_t now_us, size_t requests,
				      size_t connections);

#endif
