/*
 * gather.h - merging of the replies of many shards, the parts of an answer, and
 * the decision when to stop waiting for more.
 *
 * The functions keep no state of their own.
 */
#ifndef RAGWORT_GATHER_H
#define RAGWORT_GATHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Length of a result record; records are compared as byte strings. */
#define RR_RECORD_BYTES 16

/* The greatest records so far, in descending order of their bytes. */
struct rr_top_records {
	uint8_t *records; /* space for `capacity` records */
	size_t n;
	size_t capacity;
};

void rr_init_top_records(struct rr_top_records *top, size_t capacity);
void rr_clear_top_records(struct rr_top_records *top);
/*
 * Add the records of one part, in any order.  Trailing bytes shorter than a
 * record are ignored.  Equal records are all kept.
 */
void rr_add_part_records(struct rr_top_records *top, const uint8_t *body,
			 size_t length);

/* State of an answer whose parts are being collected. */
struct rr_gather_state {
	int64_t now_us;
	/* An answer sent later than this misses the latency objective. */
	int64_t answer_by_us;
	size_t parts;
	size_t answered; /* answered successfully */
	size_t failed;	 /* failed permanently */
	/*
	 * Open parts at replicas that do not answer, so that no reply is
	 * expected.
	 */
	size_t unreachable;
	size_t required; /* least number of parts for an answer */
};

enum rr_gather_step {
	RR_GATHER_WAIT,
	RR_GATHER_ANSWER,
	RR_GATHER_FAIL, /* too many parts failed for an answer */
};

/*
 * Return the number of parts, of `parts`, that an answer must have for a share
 * of at least `min_share`.
 */
size_t rr_required_parts(size_t parts, double min_share);

/*
 * Decide whether to wait for more parts.  The value of an answer grows with the
 * square of the share of parts and falls steeply at the latency objective:
 * until then waiting may raise the value, afterwards it costs more than it can
 * gain.
 */
enum rr_gather_step rr_decide_gather(const struct rr_gather_state *state);

#endif
