/*
 * cold-share.c - one instance's part of what a cold replica bears.
 */
#include "core/cold-share.h"

#include <glib.h>

/*
 * A second and what two ways differ by: requests count that were sent and
 * arrived within one.
 */
#define WINDOW_US (1100 * 1000)

uint32_t rr_cold_share(double bound, uint32_t instances, uint32_t before)
{
	uint32_t all = (uint32_t)MIN(bound, (double)G_MAXINT32);
	uint32_t owners = MIN(instances, all);
	uint32_t share;

#ifdef RR_MUTANT_COLD_SHARE_UNDIVIDED
	return MIN(all, RR_COLD_MAX_PER_S);
#endif
	if (before >= owners)
		return 0;
	share = all / owners + (before < all % owners);
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
