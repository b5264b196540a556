/*
 * wait-queue.h - work that waits in this instance for room at a service.
 *
 * It waits here and not at the replicas: here it can be withdrawn for
 * nothing, and be served in the order that does callers most good.  A leaf.
 */
#ifndef RAGWORT_CORE_WAIT_QUEUE_H
#define RAGWORT_CORE_WAIT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_waiter {
	uint64_t request; /* the request, and which of its parts */
	uint32_t part;
	uint32_t priority; /* 0 is the highest */
	int64_t since_us;
	int64_t answer_by_us; /* an answer after this misses its objective */
};

struct rr_wait_queue {
	GArray *waiters; /* struct rr_waiter, the oldest first */
};

void rr_init_wait_queue(struct rr_wait_queue *queue);
void rr_clear_wait_queue(struct rr_wait_queue *queue);
void rr_push_waiter(struct rr_wait_queue *queue,
		    const struct rr_waiter *waiter);
/*
 * Take the one to serve next; false if none waits.  The work takes about
 * `typical_us`.
 *
 * Those that can still be in time go before those that cannot, and of them
 * the highest priority first.  Within one priority the oldest goes first
 * while all are served soon.  Once the oldest has used up much of its time
 * with waiting, more comes than can be served: then the newest goes first,
 * since the oldest would be late, and so would everyone after it.
 */
bool rr_pop_waiter(struct rr_wait_queue *queue, int64_t now_us,
		   int64_t typical_us, struct rr_waiter *waiter);
/* Whether more comes than can be served: see above. */
bool rr_is_overloaded(const struct rr_wait_queue *queue, int64_t now_us);

/* What the wait of one more is reckoned from. */
struct rr_overload_inputs {
	int64_t now_us;
	int64_t answer_by_us; /* its own */
	int64_t typical_us;   /* one piece of work */
	uint32_t capacity;    /* so many at once */
};

/*
 * Whether it is overrun, or would be with one more: what waits already takes
 * up too much of the newcomer's time.  Turned away then, before a backlog
 * shows by its age, fewer are served late.
 */
bool rr_would_overload(const struct rr_wait_queue *queue,
		       const struct rr_overload_inputs *outlook);

#endif
