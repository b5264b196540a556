/*
 * test-feed-removal.c - the age of a removal that instances learn of while some
 * of the others, often watchers, are disturbed, in virtual time.
 *
 * Usage: feed-removal [FIRST_SEED SEEDS [REMOVALS]]
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>

#include "support/feed-fleet.h"

#define INSTANCES 12
#define ZONES 3
#define REPLICAS 200
/* Staleness bounds, which are also the drain time. */
#define SHORT_BOUND_MS 3000
#define LONG_BOUND_MS 6000
/* A replica is a last resort for this share of the drain time. */
#define USABLE_PERCENT 90

static uint32_t first_seed = 1;
static uint32_t n_seeds = 150;
static uint32_t n_removals = 1;

enum disturbance {
	FREEZE,	    /* the process is stopped */
	LOSE,	    /* no reply of the store arrives */
	HOLD,	    /* replies of the store arrive late */
	SHORT_HOLD, /* the same, so shortly that no call times out */
	REJECT,	    /* the store rejects its calls */
	N_DISTURBANCES,
};

static void disturb(struct fleet_node *node, enum disturbance kind, int64_t us)
{
	int64_t until_us = node->fleet->now_us + us;

	switch (kind) {
	case FREEZE:
		fleet_freeze_node(node->fleet, node->index, us);
		break;
	case LOSE:
		node->replies_lost_until_us = until_us;
		break;
	case HOLD:
		node->replies_held_until_us = until_us;
		break;
	case SHORT_HOLD:
		node->replies_held_until_us = node->fleet->now_us + us / 8;
		break;
	case REJECT:
		node->rejected_by_store = true;
		break;
	case N_DISTURBANCES:
		break;
	}
}

static int64_t draw_us(GRand *rand, int64_t below_us)
{
	return g_rand_int_range(rand, 0, (gint32)below_us);
}

/* Nodes 0 to 5 have the same strength: two of each zone. */
static void play(uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct fleet *fleet = fleet_new(INSTANCES, ZONES, REPLICAS);
	bool is_disturbed[INSTANCES] = { false };
	int64_t usable_us;
	enum disturbance kind =
		(enum disturbance)g_rand_int_range(rand, 0, N_DISTURBANCES);

	fleet->max_staleness_ms = seed % 2 ? SHORT_BOUND_MS : LONG_BOUND_MS;
	usable_us = fleet->max_staleness_ms * FLEET_MS * USABLE_PERCENT / 100;
	fleet_start_all(fleet, 300 * FLEET_MS);
	fleet_run(fleet, 40 * FLEET_S + draw_us(rand, 3 * FLEET_S));
	/* Often a change just before, which the watchers merge. */
	if (g_rand_boolean(rand))
		fleet_write_routes(fleet, 2);
	fleet_run(fleet, draw_us(rand, FLEET_S));
	for (int i = 0; i < 6; i++) {
		guint index = (guint)g_rand_int_range(rand, 0, 9);

		is_disturbed[index] = true;
		disturb(g_ptr_array_index(fleet->nodes, index), kind,
			4 * FLEET_S);
	}
	fleet_run(fleet, draw_us(rand, 2 * FLEET_S));
	for (guint i = 0; i < n_removals; i++)
		fleet_remove_replica(fleet, i);
	fleet_run(fleet, 10 * FLEET_S);
	for (guint i = 0; i < INSTANCES; i++) {
		const struct fleet_node *node =
			g_ptr_array_index(fleet->nodes, i);

		if (is_disturbed[i])
			continue;
		if (!node->removal_us ||
		    node->removal_us > node->stated_removal_us ||
		    node->removal_us > usable_us)
			fail_msg("seed %u kind %d n%u: removal learned after "
				 "%d ms, stated age %d ms",
				 seed, kind, i,
				 (int)(node->removal_us / FLEET_MS),
				 (int)(node->stated_removal_us / FLEET_MS));
	}
	fleet_drop(fleet);
	g_rand_free(rand);
}

/*
 * Guards against requests to a removed replica because the sources of a zone
 * were frozen, cut off or slow, and the zone took the removal for newer than it
 * was, or learned of it too late.
 */
static void test_age_of_removal_is_never_understated(void **state)
{
	for (uint32_t seed = first_seed; seed < first_seed + n_seeds; seed++)
		play(seed);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_age_of_removal_is_never_understated),
	};

	if (argc >= 3) {
		first_seed = (uint32_t)atoi(argv[1]);
		n_seeds = (uint32_t)atoi(argv[2]);
	}
	if (argc == 4)
		n_removals = MIN((uint32_t)atoi(argv[3]), REPLICAS);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
