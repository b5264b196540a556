/*
 * gather.h - merge the parts of many shards, and when to stop waiting.
 *
 * Pure functions on memory.
 */
#ifndef RAGWORT_GATHER_H
#define RAGWORT_GATHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RR_RECORD_BYTES 16

/* The greatest records seen so far, greatest first, by their bytes. */
struct rr_top_records {
	uint8_t *records; /* room for `most` */
	size_t n;
	size_t capacity;
};

void rr_init_top_records(struct rr_top_records *top, size_t most);
void rr_clear_top_records(struct rr_top_records *top);
/*
 * Take the records of one part, in any order; a rest shorter than a record
 * is left out.  Equal records all count.
 */
void rr_add_part_records(struct rr_top_records *top, const uint8_t *body,
			 size_t length);

/* How a gathered answer stands. */
struct rr_gather_state {
	int64_t now_us;
	/* An answer that leaves later misses the latency objective. */
	int64_t answer_by_us;
	size_t parts;
	size_t answered; /* answered well */
	size_t failed;	 /* nothing more can come */
	/*
	 * Of those that may still come: at replicas that do not answer, so
	 * that nothing is expected from them.
	 */
	size_t unreachable;
	size_t required; /* parts that an answer must have */
};

enum rr_gather_step {
	RR_GATHER_WAIT,
	RR_GATHER_ANSWER,
	RR_GATHER_FAIL, /* too many are lacking for an answer */
};

/* Parts that an answer of `parts` must have for this share of them. */
size_t rr_required_parts(size_t parts, double least_share);

/*
 * Whether to go on waiting.  What an answer is worth grows with the square
 * of the share of parts, and falls steeply at the latency objective: until
 * then there is something to gain, at it there is more to lose.
 */
enum rr_gather_step rr_decide_gather(const struct rr_gather_state *state);

#endif
