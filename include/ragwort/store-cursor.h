/*
 * store-cursor.h - a position in the history of the platform's store.
 *
 * A store that is restored from a copy begins a new era: changes made since the
 * copy are lost, and their revisions are given out again.  Revisions of
 * different eras must not be compared.
 */
#ifndef RAGWORT_STORE_CURSOR_H
#define RAGWORT_STORE_CURSOR_H

#include <stdbool.h>
#include <stdint.h>

struct rr_store_cursor {
	uint64_t era; /* 0: unknown, or the store has no eras */
	uint64_t revision;
};

/* Whether `cursor` is later than `other`. */
static inline bool rr_is_later_cursor(struct rr_store_cursor cursor,
				      struct rr_store_cursor other)
{
#ifdef RR_MUTANT_EVACUATION_IGNORES_ERA
	return cursor.revision > other.revision;
#endif
	return cursor.era != other.era ? cursor.era > other.era :
					 cursor.revision > other.revision;
}

#endif
