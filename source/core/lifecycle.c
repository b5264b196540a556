/*
 * lifecycle.c - graceful stop: requests in progress are completed as far as
 * the stop timeout allows.
 */
#include "ragwort/lifecycle.h"

/*
 * The platform checks readiness every second and routes new callers to other
 * instances after two failed checks; until then callers still arrive and are
 * served.
 */
#define REROUTE_US (2600 * 1000)
/*
 * New requests are rejected for this long before the exit; nearly every request
 * takes less time. Guards against callers that still arrive at the very end,
 * whose requests would be read and then interrupted.
 */
#define REJECT_NEW_US (500 * 1000)
/*
 * Reserved for the exit and for closing connections before the platform kills
 * the process.
 */
#define EXIT_MARGIN_US (400 * 1000)

/* Time to send the last answers. */
#define LAST_ANSWERS_US (100 * 1000)

/* Time from the stop request to the exit. */
static int64_t exit_after_us(const struct rr_lifecycle *lifecycle)
{
	return (int64_t)lifecycle->stop_timeout_ms * 1000 - EXIT_MARGIN_US;
}

void rr_request_stop(struct rr_lifecycle *lifecycle, int64_t now_us)
{
	if (!lifecycle->stop_requested_us)
		lifecycle->stop_requested_us = now_us;
}

bool rr_lifecycle_is_ready(const struct rr_lifecycle *lifecycle, bool serves)
{
	return serves && !lifecycle->stop_requested_us;
}

int64_t rr_stop_answer_by_us(const struct rr_lifecycle *lifecycle)
{
	if (!lifecycle->stop_requested_us)
		return INT64_MAX;
	return lifecycle->stop_requested_us + exit_after_us(lifecycle) -
	       LAST_ANSWERS_US;
}

enum rr_stop_phase rr_find_stop_phase(const struct rr_lifecycle *lifecycle,
				      int64_t now_us, size_t requests,
				      size_t connections)
{
	int64_t since_us = now_us - lifecycle->stop_requested_us;
	int64_t end_us = exit_after_us(lifecycle);

	if (since_us >= end_us)
		return RR_STOP_EXIT;
	if (since_us < REROUTE_US)
		return RR_STOP_KEEP_SERVING;
	if (!requests && !connections)
		return RR_STOP_EXIT;
	return since_us >= end_us - REJECT_NEW_US ? RR_STOP_REJECT_NEW :
						    RR_STOP_CLOSE_IDLE;
}
