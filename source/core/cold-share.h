/*
 * cold-share.h - how many requests an instance may send a cold replica in any
 * second, so that all instances together stay within what it bears.
 *
 * No agreement and no call to the store: of the instances that are known, a few
 * are drawn for each replica by rendezvous hashing, and have shares that differ
 * by one at most.  Where there is enough for all, all are.
 */
#ifndef RAGWORT_CORE_COLD_SHARE_H
#define RAGWORT_CORE_COLD_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The most that one instance sends a cold replica in a second. */
#define RR_COLD_MAX_PER_S 32

/*
 * What one instance may send in any second.  `bound` is what all may,
 * `instances` how many take part, `before` how many of them go before this one
 * in the order of the replica.  0: nothing.
 */
uint32_t rr_cold_share(double bound, uint32_t instances, uint32_t before);

/* Sendings to one replica of late; all zero: none. */
struct rr_cold_window {
	int64_t sent_us[RR_COLD_MAX_PER_S]; /* a ring */
	uint64_t n_sent;
};

/* Whether one more may be sent to stay within a share. */
bool rr_cold_window_has_room(const struct rr_cold_window *window,
			     int64_t now_us, uint32_t share);
void rr_add_to_cold_window(struct rr_cold_window *window, int64_t now_us);

#endif
