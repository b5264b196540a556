/*
 * lifecycle.c - a stop that cuts nobody off.
 */
#include "ragwort/lifecycle.h"

/*
 * The platform asks each second and leads new callers elsewhere after two
 * misses; until then they still come, and are served.
 */
#define LED_ELSEWHERE_US (2600 * 1000)
/*
 * Before the end nothing new is taken for so long: nearly every request takes
 * less.  Guards against callers that come to the last, whose requests would
 * be read and then cut.
 */
#define LAST_TAKEN_US (500 * 1000)
/* Left before the platform kills: an exit and its closes take a moment. */
#define LAST_MOMENT_US (400 * 1000)

void rr_request_stop(struct rr_lifecycle *lifecycle, int64_t now_us)
{
	if (!lifecycle->stop_requested_us)
		lifecycle->stop_requested_us = now_us;
}

bool rr_lifecycle_is_ready(const struct rr_lifecycle *lifecycle, bool serves)
{
	return serves && !lifecycle->stop_requested_us;
}

enum rr_stop_phase rr_find_stop_phase(const struct rr_lifecycle *lifecycle,
				      int64_t now_us, size_t requests,
				      size_t connections)
{
	int64_t since_us = now_us - lifecycle->stop_requested_us;
	int64_t end_us =
		(int64_t)lifecycle->stop_timeout_ms * 1000 - LAST_MOMENT_US;

	if (since_us >= end_us)
		return RR_STOP_EXIT;
	if (since_us < LED_ELSEWHERE_US)
		return RR_STOP_KEEP_SERVING;
	if (!requests && !connections)
		return RR_STOP_EXIT;
	return since_us >= end_us - LAST_TAKEN_US ? RR_STOP_REJECT_NEW :
						    RR_STOP_CLOSE_IDLE;
}
