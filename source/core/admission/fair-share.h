/*
 * fair-share.h - order between flows that share a queue.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng, 1996) with equal weights: the
 * flow that was served least goes first, and one that was idle does not make up
 * for it.
 *
 * Load: one client account sends many times as much as the others while a
 * service is short of capacity.  The others wait as if it sent as much as they.
 */
#ifndef RAGWORT_CORE_ADMISSION_FAIR_SHARE_H
#define RAGWORT_CORE_ADMISSION_FAIR_SHARE_H

#include <glib.h>
#include <stdint.h>

struct rr_fair_share {
	GHashTable *finish_tags; /* flow -> uint64_t; flows served recently */
	uint64_t virtual_time;	 /* start tag of the entry served last */
};

void rr_init_fair_share(struct rr_fair_share *share);
void rr_clear_fair_share(struct rr_fair_share *share);
/* Return the start tag of a flow's next entry: the lowest goes first. */
uint64_t rr_fair_share_start(const struct rr_fair_share *share, uint64_t flow);
/* An entry of a flow is served. */
void rr_fair_share_serve(struct rr_fair_share *share, uint64_t flow);
/* No entry waits: forget all flows. */
void rr_fair_share_reset(struct rr_fair_share *share);

#endif
