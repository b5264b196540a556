/*
 * evacuation.c - a zone that is to get nothing, and its return.
 */
#include "core/evacuation.h"

bool rr_take_evacuation(struct rr_evacuation *evacuation, int64_t now_us,
			uint64_t revision, bool in_force)
{
#ifndef RR_MUTANT_EVACUATION_GOES_BACK
	if (revision <= evacuation->revision)
		return false;
#endif
	evacuation->revision = revision;
	if (in_force == evacuation->in_force)
		return false;
	evacuation->in_force = in_force;
	evacuation->returning = !in_force;
	evacuation->since_us = now_us;
	return true;
}

double rr_evacuation_share(const struct rr_evacuation *evacuation,
			   int64_t now_us, int64_t return_us)
{
	int64_t since_us = now_us - evacuation->since_us;

	if (evacuation->in_force)
		return 0;
#ifdef RR_MUTANT_EVACUATION_ENDS_AT_ONCE
	return 1;
#endif
	if (!evacuation->returning || since_us >= return_us)
		return 1;
	return (double)since_us / (double)return_us;
}

bool rr_evacuation_left_cold(const struct rr_evacuation *evacuation,
			     int64_t now_us, int64_t cold_us)
{
	return evacuation->returning && now_us - evacuation->since_us < cold_us;
}
