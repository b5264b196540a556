/*
 * feed-rank.h - the order of a zone's instances, and the levels in which they
 * ask each other for news.
 */
#ifndef RAGWORT_CORE_FEED_RANK_H
#define RAGWORT_CORE_FEED_RANK_H

#include <glib.h>
#include <stdbool.h>

#include "ragwort/feed.h"

/* Most instances of a zone that watch the store. */
#define RR_MAX_ZONE_WATCHERS 2
/* Most instances of a zone that enter the others in the store. */
#define RR_MAX_ZONE_REGISTRARS 2
/*
 * The first of a zone, of which each watches while all before it do not hear
 * the store.  Guards against a store that turns some instances away, and those
 * that watch first of all.
 */
#define RR_MAX_WATCH_CANDIDATES 4

/*
 * The first few of a zone watch, and each level has room for so many that ask
 * each of the one above.
 */
struct rr_tree_position {
	guint level;	    /* 0: it watches */
	guint parents_from; /* ranks of the level above */
	guint n_parents;    /* 0: there is none */
	guint level_end;    /* behind the last rank of its own level */
};

/* Whether `a` is before `b`, the same for every instance that asks. */
bool rr_ranks_before(const struct rr_instance *a, const struct rr_instance *b);
/* How many watch in a zone of so many. */
guint rr_zone_watchers(guint n_instances);
/* How many enter others in a zone of so many: one may die or be cut off. */
guint rr_zone_registrars(guint n_instances);
/* The place in a zone of `n` of the instance before which `rank` others go. */
struct rr_tree_position rr_find_tree_position(guint rank, guint n);

#endif
