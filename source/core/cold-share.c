/*
 * cold-share.c - one instance's share of the request rate of a cold replica.
 */
#include "core/cold-share.h"

#include <glib.h>

/*
 * One second, plus the difference in network delay between two requests: the
 * limit applies to the requests that arrive in any second as well as to those
 * that are sent in it.
 */
#define WINDOW_US (1100 * 1000)

uint32_t rr_cold_share(double max_per_s, uint32_t instances, uint32_t rank)
{
	uint32_t total = (uint32_t)MIN(max_per_s, (double)G_MAXINT32);
	uint32_t participants = MIN(instances, total);
	uint32_t share;

#ifdef RR_MUTANT_COLD_SHARE_UNDIVIDED
	return MIN(total, RR_COLD_MAX_PER_S);
#endif
	if (rank >= participants)
		return 0;
	share = total / participants + (rank < total % participants);
	return MIN(share, RR_COLD_MAX_PER_S);
}

bool rr_cold_window_has_room(const struct rr_cold_window *window,
			     int64_t now_us, uint32_t share)
{
	uint64_t oldest;

	if (!share)
		return false;
	if (window->n_sent < share)
		return true;
	oldest = (window->n_sent - share) % RR_COLD_MAX_PER_S;
	return now_us - window->sent_us[oldest] >= WINDOW_US;
}

void rr_add_to_cold_window(struct rr_cold_window *window, int64_t now_us)
{
	window->sent_us[window->n_sent++ % RR_COLD_MAX_PER_S] = now_us;
}
