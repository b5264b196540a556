/*
 * coverage.h - a union of key ranges: what an answer has really covered.
 *
 * Replies name the ranges they hold.  While a repartition is under way two
 * replies may hold the same keys or none may hold some; a union of ranges
 * counts no key twice and hides no hole.
 */
#ifndef RAGWORT_COVERAGE_H
#define RAGWORT_COVERAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Keys [from, to). */
struct rr_key_range {
	uint64_t from;
	uint64_t to;
};

struct rr_coverage;

struct rr_coverage *rr_new_coverage(void);
void rr_drop_coverage(struct rr_coverage *coverage);

/* Add a range; an empty one changes nothing. */
void rr_add_range(struct rr_coverage *coverage, struct rr_key_range range);
bool rr_covers_key(const struct rr_coverage *coverage, uint64_t key);
/* Whether every key of the range is covered; an empty range is. */
bool rr_covers_range(const struct rr_coverage *coverage,
		     struct rr_key_range range);
/*
 * The first hole in `within`: false when there is none, else true with the
 * hole in *hole.
 */
bool rr_find_first_gap(const struct rr_coverage *coverage,
		       struct rr_key_range within, struct rr_key_range *hole);
void rr_clear_coverage(struct rr_coverage *coverage);

#endif
