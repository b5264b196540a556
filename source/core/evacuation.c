/*
 * evacuation.c - evacuation state of a zone and its slow start afterwards.
 */
#include "core/evacuation.h"

bool rr_update_evacuation(struct rr_evacuation *evacuation, int64_t now_us,
			  struct rr_store_cursor cursor, bool active)
{
#ifndef RR_MUTANT_EVACUATION_GOES_BACK
	if (!rr_is_later_cursor(cursor, evacuation->cursor))
		return false;
#endif
	evacuation->cursor = cursor;
	if (active == evacuation->active)
		return false;
	evacuation->active = active;
	evacuation->ended = !active;
	evacuation->changed_us = now_us;
	return true;
}

double rr_zone_traffic_share(const struct rr_evacuation *evacuation,
			     int64_t now_us, int64_t slow_start_us)
{
	int64_t since_us = now_us - evacuation->changed_us;

	if (evacuation->active)
		return 0;
#ifdef RR_MUTANT_EVACUATION_ENDS_AT_ONCE
	return 1;
#endif
	if (!evacuation->ended || since_us >= slow_start_us)
		return 1;
	return (double)since_us / (double)slow_start_us;
}

bool rr_is_cold_after_evacuation(const struct rr_evacuation *evacuation,
				 int64_t now_us, int64_t cold_period_us)
{
	return evacuation->ended &&
	       now_us - evacuation->changed_us < cold_period_us;
}
