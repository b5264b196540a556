/*
 * evacuation.h - evacuation state of an availability zone.
 *
 * Operators evacuate a zone so that no requests are sent to it.  After the end
 * of the evacuation its share of the traffic grows slowly.
 */
#ifndef RAGWORT_CORE_EVACUATION_H
#define RAGWORT_CORE_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

#include "ragwort/store-cursor.h"

/* All zero: the zone was never evacuated. */
struct rr_evacuation {
	bool active;		       /* no requests are sent to the zone */
	bool ended;		       /* was evacuated, and is so no longer */
	struct rr_store_cursor cursor; /* of the latest known change */
	int64_t changed_us; /* when this instance received that change */
};

/*
 * Apply an update from the store.  Return false if it changes nothing, since it
 * is already known or older than the latest known change.  Guards against an
 * instance that lags behind and reports an evacuation that has ended, or the
 * state before one that is active.
 */
bool rr_update_evacuation(struct rr_evacuation *evacuation, int64_t now_us,
			  struct rr_store_cursor cursor, bool active);

/*
 * Return the share of its usual traffic that a zone gets, 0 to 1.  It grows
 * linearly for `slow_start_us` after the end of an evacuation, so that its
 * replicas, which may be cold, do not get the traffic of all instances at once.
 */
double rr_zone_traffic_share(const struct rr_evacuation *evacuation,
			     int64_t now_us, int64_t slow_start_us);

/* Whether the zone's evacuation ended less than `cold_period_us` ago. */
bool rr_is_cold_after_evacuation(const struct rr_evacuation *evacuation,
				 int64_t now_us, int64_t cold_period_us);

#endif
