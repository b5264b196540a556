/*
 * feed-rank.c - the ranking of the instances of a zone.
 */
#include "core/feed-rank.h"

#include <string.h>

/*
 * Approximate number of instances that read changes from one parent.  At the
 * target fleet size each child costs its parent 0.8 KB/s of the 7 KB/s that the
 * control traffic may use, and in a zone of 240 instances each child of a
 * watcher then has 9 children of its own (docs/CAPACITY.md).
 */
#define CHILDREN_PER_PARENT 12
/*
 * Zones up to this size have one registrar, larger ones two.  If the single
 * registrar is lost, the others register themselves.
 */
#define SMALL_ZONE_INSTANCES 3
/* Entries store strength in thousandths of a core. */
#define STRENGTH_UNITS_PER_CORE 1000

static uint32_t instance_hash(const struct rr_instance *instance)
{
	return g_str_hash(instance->id);
}

/*
 * Return the strength as rounded in entries.  An instance knows its own
 * strength exactly, but that of others only from their entries.  Guards against
 * two instances that each rank the other first.
 */
static int64_t rounded_strength(const struct rr_instance *instance)
{
	return (int64_t)(instance->strength * STRENGTH_UNITS_PER_CORE + 0.5);
}

bool rr_ranks_before(const struct rr_instance *a, const struct rr_instance *b)
{
	if (rounded_strength(a) != rounded_strength(b))
		return rounded_strength(a) > rounded_strength(b);
	if (instance_hash(a) != instance_hash(b))
		return instance_hash(a) < instance_hash(b);
	return strcmp(a->id, b->id) < 0;
}

/*
 * Return the lowest number of watchers that reach a whole zone in three levels,
 * since each change wakes every watcher and each of these calls is paid for.
 * If the only watcher freezes, its children turn to the next instance of the
 * zone, which then watches, within half the staleness bound.
 */
guint rr_zone_watchers(guint n_instances)
{
	return n_instances <= 1 + CHILDREN_PER_PARENT +
				       CHILDREN_PER_PARENT *
					       CHILDREN_PER_PARENT ?
		       1 :
		       RR_MAX_ZONE_WATCHERS;
}

guint rr_zone_registrars(guint n_instances)
{
	return n_instances <= SMALL_ZONE_INSTANCES ? 1 : RR_MAX_ZONE_REGISTRARS;
}

struct rr_tree_position rr_find_tree_position(guint rank, guint n)
{
	struct rr_tree_position position = { .level_end = rr_zone_watchers(n) };
	guint from = 0;

	while (rank >= position.level_end) {
		position.level++;
		position.parents_from = from;
		position.n_parents = position.level_end - from;
		from = position.level_end;
		position.level_end += position.n_parents * CHILDREN_PER_PARENT;
	}
	return position;
}
