/*
 * evacuation.h - whether the operators want nothing sent to a zone, and how
 * much of the work a zone gets that they have just taken back.
 */
#ifndef RAGWORT_CORE_EVACUATION_H
#define RAGWORT_CORE_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

/* All zero: a zone that never was evacuated. */
struct rr_evacuation {
	bool active;
	bool ended;	    /* taken back, and not for long */
	uint64_t revision;  /* of the store, of the latest change known */
	int64_t changed_us; /* when that change was learnt here */
};

/*
 * Take in what is told of a zone.  False if it changes nothing: it is known
 * already, or older than what is known.  Guards against an instance that has
 * fallen behind and tells of an evacuation that is over, or of the time before
 * one that is in force.
 */
bool rr_update_evacuation(struct rr_evacuation *evacuation, int64_t now_us,
			  uint64_t revision, bool in_force);

/*
 * The share of its work that a zone gets, from 0 to 1.  After it was taken
 * back it grows for `return_us`, so that its replicas, which may be cold, do
 * not get the work of all instances in one moment.
 */
double rr_zone_traffic_share(const struct rr_evacuation *evacuation,
			     int64_t now_us, int64_t return_us);

/* Whether the replicas of a zone may be cold for having been evacuated. */
bool rr_is_cold_after_evacuation(const struct rr_evacuation *evacuation,
				 int64_t now_us, int64_t cold_us);

#endif
