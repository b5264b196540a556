/*
 * feed-rank.c - who goes first in a zone.
 */
#include "core/feed-rank.h"

#include <string.h>

/*
 * Instances that ask one other, about: at the size of the aim each costs it
 * 0.8 KB/s of the 7 KB/s that control has, and a zone of 240 then gives the
 * second level 9 each (docs/CAPACITY.md).
 */
#define ASKERS 12
/*
 * In a zone of so many one enters the others, in larger ones two: where the
 * one is lost, they enter themselves.
 */
#define SMALL_ZONE 3
/* Entries tell strength in thousandths of a core. */
#define STRENGTH_STEPS 1000

static uint32_t hash_of(const struct rr_instance *instance)
{
	return g_str_hash(instance->id);
}

/*
 * An instance knows its own strength exactly, that of others as their entries
 * tell it.  Guards against two that each take the other to go first: the order
 * goes by what entries tell.
 */
static int64_t told_strength(const struct rr_instance *instance)
{
	return (int64_t)(instance->strength * STRENGTH_STEPS + 0.5);
}

bool rr_ranks_before(const struct rr_instance *a, const struct rr_instance *b)
{
	if (told_strength(a) != told_strength(b))
		return told_strength(a) > told_strength(b);
	if (hash_of(a) != hash_of(b))
		return hash_of(a) < hash_of(b);
	return strcmp(a->id, b->id) < 0;
}

/*
 * As few as tell all of a zone in three levels: each change wakes and pays for
 * every watch.  Where the one freezes, those that ask it turn to the next of
 * the zone, which watches then, within half the bound on news.
 */
guint rr_zone_watchers(guint n_instances)
{
	return n_instances <= 1 + ASKERS + ASKERS * ASKERS ?
		       1 :
		       RR_MAX_ZONE_WATCHERS;
}

guint rr_zone_registrars(guint n_instances)
{
	return n_instances <= SMALL_ZONE ? 1 : RR_MAX_ZONE_REGISTRARS;
}

struct rr_tree_position rr_find_tree_position(guint rank, guint n)
{
	struct rr_tree_position place = { .level_end = rr_zone_watchers(n) };
	guint from = 0;

	while (rank >= place.level_end) {
		place.level++;
		place.parents_from = from;
		place.n_parents = place.level_end - from;
		from = place.level_end;
		place.level_end += place.n_parents * ASKERS;
	}
	return place;
}
