/*
 * coverage.h - a union of key ranges: the keys that an answer covers.
 *
 * Replies name the key ranges that they hold.  During a repartition two replies
 * may hold the same keys, or none may hold some of them; a union of ranges
 * counts no key twice and shows every gap.
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
/*
 * Whether every key of the range is covered; an empty range counts as covered.
 */
bool rr_covers_range(const struct rr_coverage *coverage,
		     struct rr_key_range range);
/*
 * Find the first gap in `within`, a range of keys that are not covered.  Return
 * false if there is none, else true with the range in *gap.
 */
bool rr_find_first_gap(const struct rr_coverage *coverage,
		       struct rr_key_range within, struct rr_key_range *gap);
void rr_clear_coverage(struct rr_coverage *coverage);

#endif
