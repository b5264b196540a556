/*
 * cold-share.h - rate limit on the requests of one instance to a cold replica.
 *
 * The shares of all instances add up to no more than the replica can serve
 * while cold.  Each instance computes its own share, without agreement and
 * without a call to the store: rendezvous hashing over the known instances
 * selects a few of them for each replica, or all if the rate is high enough,
 * and the shares of the selected ones differ by one at most.
 */
#ifndef RAGWORT_CORE_COLD_SHARE_H
#define RAGWORT_CORE_COLD_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum number of requests per second from one instance. */
#define RR_COLD_MAX_PER_S 32

/*
 * Return how many requests this instance may send in any second; 0 for none.
 * `max_per_s` is the limit for all instances together, `instances` the number
 * of instances that send to the replica, `rank` the number of those that
 * precede this one in the replica's rendezvous order.
 */
uint32_t rr_cold_share(double max_per_s, uint32_t instances, uint32_t rank);

/* Times of the latest requests to one replica; all zero: none sent yet. */
struct rr_cold_window {
	int64_t sent_us[RR_COLD_MAX_PER_S]; /* ring buffer */
	uint64_t n_sent;		    /* since the replica became known */
};

/* Whether another request at `now_us` stays within `share` per second. */
bool rr_cold_window_has_room(const struct rr_cold_window *window,
			     int64_t now_us, uint32_t share);
/* Record a request sent at `now_us`. */
void rr_add_to_cold_window(struct rr_cold_window *window, int64_t now_us);

#endif
