/*
 * late-forward.h - whether to go on waiting for a coordinator's response.
 *
 * Load: replicas of many shards are slow or hang, so that coordinators collect
 * the parts of most searches after the objective, but before the deadline.  A
 * coordinator that is frozen or unreachable looks the same to the instance that
 * forwarded a search.  A call that a running coordinator answers at once
 * distinguishes them: its search is waited for, a silent one's is abandoned.
 */
#ifndef RAGWORT_CORE_ADMISSION_LATE_FORWARD_H
#define RAGWORT_CORE_ADMISSION_LATE_FORWARD_H

#include <stdint.h>

/* What is known of a coordinator; zero-initialise before use. */
struct rr_coordinator_contact {
	int64_t asked_us; /* when the last call was sent; 0 if never */
	int64_t reply_us; /* when it last replied to anything; 0 if never */
};

enum rr_late_forward_step {
	RR_LATE_FORWARD_WAIT,
	RR_LATE_FORWARD_ASK, /* send a call now */
	RR_LATE_FORWARD_GIVE_UP,
};

/* A forwarded search. */
struct rr_late_forward {
	int64_t sent_us;
	int64_t due_us; /* when its response was due */
	/* Time for a reply to a call, and between calls. */
	int64_t patience_us;
};

/*
 * Decide on a search.  Unless the result is RR_LATE_FORWARD_GIVE_UP, `*next_us`
 * is set to the time to decide again.
 */
enum rr_late_forward_step
rr_decide_late_forward(const struct rr_late_forward *search,
		       const struct rr_coordinator_contact *contact,
		       int64_t now_us, int64_t *next_us);

#endif
