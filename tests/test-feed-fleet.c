/*
 * test-feed-fleet.c - hundreds of instances and one store: what a start, an
 * outage and a change cost, and how long they take.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>

#include "support/feed-fleet.h"

#define INSTANCES 300
#define ZONES 5
#define REPLICAS 540
/* Calls that the store takes in a second, of those that count. */
#define STORE_RATE 3200
/* The bound on configuration, of these feeds. */
#define BOUND_US (6 * FLEET_S)

static struct fleet *started_fleet(void)
{
	struct fleet *fleet = fleet_new(INSTANCES, ZONES, REPLICAS);

	fleet_start_all(fleet, 300 * FLEET_MS);
	fleet_run(fleet, 14 * FLEET_S);
	return fleet;
}

/*
 * Story: all machines start within 0.3 s of each other, for the first time.
 * Each read the list, took a lease, wrote an entry and watched: five calls an
 * instance, all at once.  They serve as soon as they have read; a few enter
 * the others.
 */
static void test_first_start(void **state)
{
	struct fleet *fleet = started_fleet();

	(void)state;
	assert_true(fleet_slowest_sync_us(fleet) < FLEET_S);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	print_message("start: %.0f calls, %u in a second at most\n",
		      fleet->billed_calls, fleet->peak_calls_per_s);
	/* Two for each of three instances, what they all may cost together. */
	assert_true(fleet->billed_calls < INSTANCES * 2);
	assert_true(fleet->peak_calls_per_s < STORE_RATE);
	fleet_drop(fleet);
}

/*
 * Story: all are killed and come back two seconds later.  Entries of before
 * still stand, so that each knows at once whom to ask.
 */
static void test_all_are_killed(void **state)
{
	struct fleet *fleet = started_fleet();

	(void)state;
	fleet_kill_all(fleet);
	fleet_run(fleet, 2 * FLEET_S);
	fleet->billed_calls = 0;
	fleet_start_all(fleet, 300 * FLEET_MS);
	fleet_run(fleet, 10 * FLEET_S);
	assert_true(fleet_slowest_sync_us(fleet) < FLEET_S);
	print_message("killed: %.0f calls\n", fleet->billed_calls);
	assert_true(fleet->billed_calls < INSTANCES);
	/* Those of before have ended by now, and nobody is missing. */
	fleet_run(fleet, 10 * FLEET_S);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	fleet_drop(fleet);
}

/* Nothing changes for a minute: renewals of a few, and watches that end. */
static void test_a_calm_minute(void **state)
{
	struct fleet *fleet = started_fleet();

	(void)state;
	fleet->billed_calls = 0;
	fleet_run(fleet, 60 * FLEET_S);
	print_message("calm minute: %.0f calls\n", fleet->billed_calls);
	assert_true(fleet->billed_calls < INSTANCES / 3.0);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	fleet_drop(fleet);
}

/* Replicas come and go all the while. */
static void change_replicas(struct fleet *fleet, int64_t us)
{
	for (int64_t at_us = 0; at_us < us; at_us += 50 * FLEET_MS) {
		fleet_write_replica(fleet, (guint)(at_us % REPLICAS));
		fleet_run(fleet, 50 * FLEET_MS);
	}
}

/* Every third instance, and the first of each zone whatever its number. */
static void turn_away(struct fleet *fleet, bool turned_away)
{
	for (guint i = 0; i < fleet->nodes->len; i++) {
		struct fleet_node *node = g_ptr_array_index(fleet->nodes, i);

		node->rejected_by_store =
			turned_away && (i < 2 * ZONES || i % 3 == 0);
	}
}

/*
 * Story: the store turns a third of the instances away for nine seconds, those
 * first that use it most, while replicas are replaced all the time.  The
 * others of their zones watched for themselves then, sixty a zone, and paid
 * for each change: 2,200 calls.  A new configuration in the midst of it is in
 * force everywhere within the bound.
 */
static void test_the_store_turns_some_away(void **state)
{
	struct fleet *fleet = started_fleet();
	int64_t from_us;

	(void)state;
	fleet->billed_calls = 0;
	turn_away(fleet, true);
	change_replicas(fleet, 3 * FLEET_S);
	fleet_write_routes(fleet, 2);
	from_us = fleet->now_us;
	change_replicas(fleet, 6 * FLEET_S);
	print_message("turned away: %.0f calls, in force after %.2f s\n",
		      fleet->billed_calls,
		      (double)(fleet_applied_us(fleet, 2) - from_us) / FLEET_S);
	assert_true(fleet_applied_us(fleet, 2) - from_us < BOUND_US);
	assert_true(fleet->billed_calls < INSTANCES * 2);
	turn_away(fleet, false);
	fleet_run(fleet, 10 * FLEET_S);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	fleet_drop(fleet);
}

/*
 * Story: the store is away for all for five seconds.  Each instance called it
 * about each second; a few do, and tell the others when it is back.
 */
static void test_the_store_is_away(void **state)
{
	struct fleet *fleet = started_fleet();
	int64_t from_us;

	(void)state;
	fleet->billed_calls = 0;
	fleet->store_down = true;
	fleet_run(fleet, 5 * FLEET_S);
	print_message("away: %.0f calls\n", fleet->billed_calls);
	assert_true(fleet->billed_calls < INSTANCES * 2);
	fleet->store_down = false;
	fleet_write_routes(fleet, 3);
	from_us = fleet->now_us;
	fleet_run(fleet, 10 * FLEET_S);
	print_message("in force %.2f s after it is back\n",
		      (double)(fleet_applied_us(fleet, 3) - from_us) / FLEET_S);
	assert_true(fleet_applied_us(fleet, 3) - from_us < BOUND_US);
	fleet_drop(fleet);
}

/* A change on a calm day is known everywhere in a fraction of the bound. */
static void test_a_change(void **state)
{
	struct fleet *fleet = started_fleet();
	int64_t from_us;

	(void)state;
	fleet_write_routes(fleet, 2);
	from_us = fleet->now_us;
	fleet_run(fleet, 5 * FLEET_S);
	assert_true(fleet_applied_us(fleet, 2) - from_us < BOUND_US / 6);
	fleet_drop(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_start),
		cmocka_unit_test(test_all_are_killed),
		cmocka_unit_test(test_a_calm_minute),
		cmocka_unit_test(test_a_change),
		cmocka_unit_test(test_the_store_turns_some_away),
		cmocka_unit_test(test_the_store_is_away),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
