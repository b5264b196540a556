/*
 * feed-rank.h - the ranking of a zone's instances and the tree by which they
 * pass on changes.
 */
#ifndef RAGWORT_CORE_FEED_RANK_H
#define RAGWORT_CORE_FEED_RANK_H

#include <glib.h>
#include <stdbool.h>

#include "ragwort/feed.h"

/* Maximum number of watchers of a zone. */
#define RR_MAX_ZONE_WATCHERS 2
/* Maximum number of registrars of a zone. */
#define RR_MAX_ZONE_REGISTRARS 2
/*
 * Number of watch candidates: the highest-ranked instances of a zone, of which
 * each watches the store while none that ranks before it is connected to the
 * store.  Guards against a store that rejects some instances, the watchers
 * first of all.
 */
#define RR_MAX_WATCH_CANDIDATES 4

/*
 * Position in the tree of a zone.  The highest-ranked instances watch; each
 * level has room for a fixed number of children for each instance of the level
 * above.
 */
struct rr_tree_position {
	guint level;	    /* 0: watches the store */
	guint parents_from; /* first rank of the level above */
	guint n_parents;    /* 0: there is no level above */
	guint level_end;    /* one past the last rank of its own level */
};

/* Whether `a` ranks before `b`.  The result is the same on every instance. */
bool rr_ranks_before(const struct rr_instance *a, const struct rr_instance *b);
/* Number of watchers in a zone of `n_instances`. */
guint rr_zone_watchers(guint n_instances);
/*
 * Number of registrars in a zone of `n_instances`; more than one in a larger
 * zone, since one may fail or be isolated.
 */
guint rr_zone_registrars(guint n_instances);
/* Position of the instance of the given rank (0 is first) in a zone of `n`. */
struct rr_tree_position rr_find_tree_position(guint rank, guint n);

#endif
