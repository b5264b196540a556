/*
 * wait-queue.h - queue of requests that wait for capacity of a service.
 *
 * Requests wait in the instance instead of at the replicas, since here they can
 * be cancelled at no cost and be served in the order that is best for callers.
 * Independent of requests and replicas.
 */
#ifndef RAGWORT_CORE_WAIT_QUEUE_H
#define RAGWORT_CORE_WAIT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/admission/fair-share.h"

struct rr_queue_entry {
	uint64_t request;     /* id of the request */
	uint32_t part;	      /* index of the part in the request */
	uint32_t priority;    /* 0 is the highest */
	uint64_t flow;	      /* entries that share; 0 if none are told apart */
	int64_t since_us;     /* when it was queued */
	int64_t answer_by_us; /* a later response misses the objective */
};

struct rr_wait_queue {
	GArray *entries;	    /* struct rr_queue_entry, oldest first */
	struct rr_fair_share share; /* between flows */
};

/* Initialise an empty queue; rr_clear_wait_queue() frees its entries. */
void rr_init_wait_queue(struct rr_wait_queue *queue);
void rr_clear_wait_queue(struct rr_wait_queue *queue);
/* Append a copy of `entry`. */
void rr_push_queue_entry(struct rr_wait_queue *queue,
			 const struct rr_queue_entry *entry);
/*
 * Remove the entry to serve next.  Return false if the queue is empty.  The
 * work takes about `typical_us`.
 *
 * Entries that can still meet their objective precede those that cannot; among
 * these the highest priority comes first, within a priority the flow that was
 * served least, and within a flow the oldest entry.  Under overload a flow's
 * newest entry comes first instead: once an entry has spent much of its time waiting, more requests arrive than can be served,
 * and serving the oldest first would make it and all that follow late.
 */
bool rr_pop_queue_entry(struct rr_wait_queue *queue, int64_t now_us,
			int64_t typical_us, struct rr_queue_entry *entry);
/*
 * Whether more requests arrive than can be served: some entry has spent too
 * much of its time waiting.
 */
bool rr_is_overloaded(const struct rr_wait_queue *queue, int64_t now_us);

/* Inputs for the estimated wait of a new entry. */
struct rr_overload_inputs {
	int64_t now_us;
	int64_t answer_by_us; /* of the new entry */
	int64_t typical_us;   /* time to serve one entry */
	uint32_t capacity;    /* entries served at the same time */
};

/*
 * Whether the queue is overloaded, or would be with a new entry, since the work
 * already queued takes too much of its time.  Rejecting entries then, before
 * the age of the backlog shows the overload, leaves fewer to be served late.
 */
bool rr_would_overload(const struct rr_wait_queue *queue,
		       const struct rr_overload_inputs *inputs);

#endif
