/*
 * test-feed-random.c - random orders of faults of the store and of instances
 * that follow it, in virtual time.
 *
 * Usage: feed-random [SEED [ROUNDS]]; without arguments, a fixed set of seeds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>

#include "support/feed-fleet.h"

#define INSTANCES 9
#define ZONES 3
#define ONE_ZONE_INSTANCES 3
#define REPLICAS 20
#define FIRST_SEED 1
#define SEEDS 150
#define ROUNDS 20
#define MIN_FAULTS 2
#define MAX_FAULTS 7
#define MAX_GAP_US (900 * FLEET_MS)
#define MAX_FAULT_US (3 * FLEET_S)
/* Age of the copy, and time until operators write again what was lost. */
#define MAX_COPY_AGE_US (3 * FLEET_S)
#define MAX_REWRITE_US (1500 * FLEET_MS)
#define MAX_DOWN_US (900 * FLEET_MS)
/* The staleness bound of these feeds: a version is in force within it. */
#define BOUND_US (6 * FLEET_S)

struct play {
	GRand *rand;
	struct fleet *fleet;
	bool loses_all_replies;
	uint64_t version;
	GString *series; /* of the faults of this round, for the report */
};

static int64_t draw_us(struct play *play, int64_t below_us)
{
	return g_rand_int_range(play->rand, 0, (gint32)(below_us / FLEET_MS)) *
	       FLEET_MS;
}

static guint draw_node(struct play *play)
{
	return (guint)g_rand_int_range(play->rand, 0,
				       (gint32)play->fleet->nodes->len);
}

static void record(struct play *play, const char *name, int64_t argument)
{
	g_string_append_printf(play->series,
			       " %" G_GINT64_FORMAT "ms:%s(%" G_GINT64_FORMAT
			       ")",
			       play->fleet->now_us / FLEET_MS, name, argument);
}

static void write_next_version(struct play *play)
{
	record(play, "write", (int64_t)++play->version);
	fleet_write_routes(play->fleet, play->version);
}

/* The operators write again what a restore has lost, or the next version. */
static void restore_store(struct play *play)
{
	int64_t age_us = draw_us(play, MAX_COPY_AGE_US);

	record(play, "restore", age_us / FLEET_MS);
	fleet_restore_store(play->fleet, age_us);
	fleet_run(play->fleet, draw_us(play, MAX_REWRITE_US));
	if (g_rand_boolean(play->rand))
		play->version++;
	record(play, "write", (int64_t)play->version);
	fleet_write_routes(play->fleet, play->version);
}

static void compact_store(struct play *play)
{
	record(play, "compact", 0);
	if (g_rand_boolean(play->rand))
		write_next_version(play);
	fleet_compact_store(play->fleet);
}

static void toggle_store(struct play *play)
{
	record(play, "store-down", !play->fleet->store_down);
	fleet_set_store_down(play->fleet, !play->fleet->store_down);
}

static void freeze_node(struct play *play)
{
	guint index = draw_node(play);

	record(play, "freeze", index);
	fleet_freeze_node(play->fleet, index, draw_us(play, MAX_FAULT_US));
}

static void restart_node(struct play *play)
{
	guint index = draw_node(play);

	record(play, "restart", index);
	fleet_restart_node(play->fleet, index, draw_us(play, MAX_DOWN_US));
}

static void lose_replies(struct play *play)
{
	guint index = draw_node(play);
	struct fleet_node *node = g_ptr_array_index(play->fleet->nodes, index);

	record(play, "lose-replies", index);
	node->replies_lost_until_us =
		play->fleet->now_us + draw_us(play, MAX_FAULT_US);
}

/* For a while, no instance gets any reply of the store. */
static void lose_all_replies(struct play *play)
{
	int64_t until_us = play->fleet->now_us + draw_us(play, MAX_FAULT_US);

	record(play, "lose-all-replies", until_us / FLEET_MS);
	for (guint i = 0; i < play->fleet->nodes->len; i++) {
		struct fleet_node *node =
			g_ptr_array_index(play->fleet->nodes, i);

		node->replies_lost_until_us = until_us;
	}
}

static void reject_node(struct play *play)
{
	guint index = draw_node(play);
	struct fleet_node *node = g_ptr_array_index(play->fleet->nodes, index);

	record(play, "reject", index);
	node->rejected_by_store = !node->rejected_by_store;
}

static void end_faults(struct play *play)
{
	struct fleet *fleet = play->fleet;

	for (guint i = 0; i < fleet->nodes->len; i++) {
		struct fleet_node *node = g_ptr_array_index(fleet->nodes, i);

		node->rejected_by_store = false;
		node->replies_lost_until_us = 0;
	}
	if (fleet->store_down)
		fleet_set_store_down(fleet, false);
	/* Those that are frozen or down are back by then. */
	fleet_run(fleet, MAX_FAULT_US);
}

static void run_round(struct play *play)
{
	/* The last two only where all may lose their replies at once. */
	enum { N_COMMON_FAULTS = 13 };
	static void (*const faults[])(struct play * play) = {
		restore_store,	    restore_store,    compact_store,
		compact_store,	    compact_store,    toggle_store,
		freeze_node,	    restart_node,     restart_node,
		lose_replies,	    reject_node,      write_next_version,
		write_next_version, lose_all_replies, lose_all_replies,
	};
	gint n = g_rand_int_range(play->rand, MIN_FAULTS, MAX_FAULTS + 1);

	g_string_truncate(play->series, 0);
	for (gint i = 0; i < n; i++) {
		faults[g_rand_int_range(play->rand, 0,
					play->loses_all_replies ?
						G_N_ELEMENTS(faults) :
						N_COMMON_FAULTS)](play);
		fleet_run(play->fleet, draw_us(play, MAX_GAP_US));
	}
	end_faults(play);
	fleet_run(play->fleet, BOUND_US);
}

static bool all_in_force(const struct play *play, uint32_t seed, int round)
{
	if (fleet_applied_us(play->fleet, play->version) != INT64_MAX)
		return true;
	for (guint i = 0; i < play->fleet->nodes->len; i++) {
		const struct fleet_node *node =
			g_ptr_array_index(play->fleet->nodes, i);

		if (node->routes_version != play->version)
			print_message("seed %u round %d: n%u has version %d, "
				      "not %d;%s\n",
				      seed, round, i, (int)node->routes_version,
				      (int)play->version, play->series->str);
	}
	return false;
}

/* Return the number of the failed round; 0: all passed. */
static int play_seed(uint32_t seed, int rounds, guint instances, guint zones,
		     bool loses_all_replies)
{
	struct play play = {
		.rand = g_rand_new_with_seed(seed),
		.fleet = fleet_new(instances, zones, REPLICAS),
		.loses_all_replies = loses_all_replies,
		.version = 1,
		.series = g_string_new(NULL),
	};
	int failed = 0;

	fleet_start_all(play.fleet, 300 * FLEET_MS);
	fleet_run(play.fleet, 14 * FLEET_S);
	for (int round = 1; round <= rounds && !failed; round++) {
		run_round(&play);
		if (!all_in_force(&play, seed, round))
			failed = round;
	}
	fleet_drop(play.fleet);
	g_string_free(play.series, TRUE);
	g_rand_free(play.rand);
	return failed;
}

/*
 * Guards against a version of the configuration that is not in force within the
 * bound after the last fault, at any instance.
 */
static void test_configuration_is_in_force_after_faults(void **state)
{
	guint n_failed = 0;

	(void)state;
	for (uint32_t seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
		n_failed +=
			play_seed(seed, ROUNDS, INSTANCES, ZONES, false) != 0;
	assert_int_equal(n_failed, 0);
}

/*
 * Guards against the same in a site of one zone, where no watcher of another
 * zone knows of a change that a watch has not reported.
 */
static void test_configuration_is_in_force_in_one_zone(void **state)
{
	guint n_failed = 0;

	(void)state;
	for (uint32_t seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
		n_failed += play_seed(seed, ROUNDS, ONE_ZONE_INSTANCES, 1,
				      false) != 0;
	assert_int_equal(n_failed, 0);
}

/*
 * Guards against the same where the watches of all zones have lost the reply to
 * the same change, so that none of them differs from another.
 */
static void test_configuration_is_in_force_after_lost_replies(void **state)
{
	guint n_failed = 0;

	(void)state;
	for (uint32_t seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++)
		n_failed +=
			play_seed(seed, ROUNDS, INSTANCES, ZONES, true) != 0;
	assert_int_equal(n_failed, 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_configuration_is_in_force_after_faults),
		cmocka_unit_test(test_configuration_is_in_force_in_one_zone),
		cmocka_unit_test(
			test_configuration_is_in_force_after_lost_replies),
	};

	if (argc > 1)
		return play_seed((uint32_t)g_ascii_strtoull(argv[1], NULL, 10),
				 argc > 2 ? atoi(argv[2]) : ROUNDS, INSTANCES,
				 ZONES, false) != 0;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
