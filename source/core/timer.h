/*
 * timer.h - timer queue of the core.
 *
 * A timer refers to its object by number, never by pointer, since the object
 * may have been freed when the timer fires; the lookup then fails.  Timers are
 * not cancelled.
 */
#ifndef RAGWORT_CORE_TIMER_H
#define RAGWORT_CORE_TIMER_H

#include <stdbool.h>
#include <stdint.h>

enum rr_timer_kind {
	RR_TIMER_DEADLINE,	  /* id: query */
	RR_TIMER_COVERAGE_WAIT,	  /* id: query; coverage is sufficient */
	RR_TIMER_LINGER,	  /* id: query; answered, attempts still open */
	RR_TIMER_PROGRESS,	  /* id: query forwarded by a peer */
	RR_TIMER_RETRY,		  /* id: query, index: task */
	RR_TIMER_HEDGE,		  /* id: attempt */
	RR_TIMER_ATTEMPT_TIMEOUT, /* id: attempt */
	RR_TIMER_RELAY_TIMEOUT,	  /* id: relay */
	RR_TIMER_POLL,		  /* id: replica's number */
	RR_TIMER_POLL_TIMEOUT,	  /* id: replica's number */
	RR_TIMER_SEND_QUEUED,	  /* id: replica's number */
	RR_TIMER_CONFIG_REQUEST,  /* id: number of the request */
	RR_TIMER_GATE_ADVANCE,	  /* id: gateway request */
	RR_TIMER_GATE_HEDGE,	  /* id: gateway attempt */
	RR_TIMER_GATE_PROBE,	  /* id: endpoint's number */
	RR_TIMER_GATE_ZONE_PROBE, /* id: zone's number, index: timer_seq */
	RR_TIMER_GATE_UNLISTED_GRACE, /* id: endpoint's number */
	RR_TIMER_GATE_CLAIM_TIMEOUT,  /* id: gateway request */
	RR_TIMER_ALLOWANCE_SLOW,      /* id: call that should have a reply */
	RR_TIMER_ALLOWANCE_TIMEOUT,   /* id: call */
	RR_TIMER_ALLOWANCE_SERVE,     /* id: gateway request that waits */
	RR_TIMER_ALLOWANCE_WAIT,      /* id: gateway request */
	RR_TIMER_ALLOWANCE_TAKER,     /* id: handle of a call received */
	RR_TIMER_ALLOWANCE_PROBE,     /* while isolated */
};

struct rr_timer {
	int64_t due_us;
	uint64_t sequence; /* order of timers that are due at the same time */
	enum rr_timer_kind kind;
	uint32_t index;
	uint64_t id;
};

struct rr_timers;

/* Return an empty queue, to be freed with rr_drop_timers(). */
struct rr_timers *rr_new_timers(void);
void rr_drop_timers(struct rr_timers *timers);
/* Add a timer.  The meaning of `id` and `index` depends on `kind`. */
void rr_set_timer(struct rr_timers *timers, int64_t due_us,
		  enum rr_timer_kind kind, uint64_t id, uint32_t index);
/* Remove the next timer due at `now_us`.  Return false if there is none. */
bool rr_pop_timer(struct rr_timers *timers, int64_t now_us,
		  struct rr_timer *timer);
/* Return when the next timer is due; INT64_MAX if there is none. */
int64_t rr_next_timer_us(const struct rr_timers *timers);

#endif
