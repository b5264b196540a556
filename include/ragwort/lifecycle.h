/*
 * lifecycle.h - readiness of an instance and the phases of a graceful stop.
 *
 * Pure functions of times and counts, without I/O.
 */
#ifndef RAGWORT_LIFECYCLE_H
#define RAGWORT_LIFECYCLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rr_lifecycle {
	int64_t stop_requested_us; /* time of the stop request; 0: none */
	uint32_t stop_timeout_ms;
};

enum rr_stop_phase {
	/* serve as usual; connections close after their next answer */
	RR_STOP_KEEP_SERVING,
	/* Callers are routed to other instances: idle connections may close. */
	RR_STOP_CLOSE_IDLE,
	/*
	 * The deadline is near: new requests are rejected, since they would be
	 * interrupted.
	 */
	RR_STOP_REJECT_NEW,
	RR_STOP_EXIT,
};

void rr_request_stop(struct rr_lifecycle *lifecycle, int64_t now_us);
/* Return whether the platform may route callers to this instance. */
bool rr_lifecycle_is_ready(const struct rr_lifecycle *lifecycle, bool serves);
/*
 * Return the time by which all requests have to be answered, so that the exit
 * interrupts none; INT64_MAX if no stop was requested.
 */
int64_t rr_stop_answer_by_us(const struct rr_lifecycle *lifecycle);
/*
 * Return the phase of a requested stop, given the numbers of requests and
 * caller connections that are open.
 */
enum rr_stop_phase rr_find_stop_phase(const struct rr_lifecycle *lifecycle,
				      int64_t now_us, size_t requests,
				      size_t connections);

#endif
