/*
 * test-feed-fleet.c - the cost and duration of a start, an outage and a change
 * with hundreds of instances and one store.
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
/* Rate limit of the store, in calls per second that count toward it. */
#define STORE_RATE 3200
/* The staleness bound of these feeds. */
#define BOUND_US (6 * FLEET_S)

static struct fleet *new_started_fleet(void)
{
	struct fleet *fleet = fleet_new(INSTANCES, ZONES, REPLICAS);

	fleet_start_all(fleet, 300 * FLEET_MS);
	fleet_run(fleet, 14 * FLEET_S);
	return fleet;
}

/*
 * Guards against a first start in which all instances, within 0.3 s, each read
 * the list, take a lease, write an entry and watch: five calls an instance, all
 * at once.  They serve as soon as they have read; a few register the others.
 */
static void test_first_start(void **state)
{
	struct fleet *fleet = new_started_fleet();

	(void)state;
	assert_true(fleet_slowest_sync_us(fleet) < FLEET_S);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	print_message("start: %.0f calls, peak %u calls in a second\n",
		      fleet->billed_calls, fleet->peak_calls_per_s);
	/* Two for each of three instances: the limit for all together. */
	assert_true(fleet->billed_calls < INSTANCES * 2);
	assert_true(fleet->peak_calls_per_s < STORE_RATE);
	fleet_drop(fleet);
}

/*
 * All instances are killed and restart two seconds later.  Their earlier
 * entries still exist, so each knows its peers at once.
 */
static void test_restart_of_all(void **state)
{
	struct fleet *fleet = new_started_fleet();

	(void)state;
	fleet_kill_all(fleet);
	fleet_run(fleet, 2 * FLEET_S);
	fleet->billed_calls = 0;
	fleet_start_all(fleet, 300 * FLEET_MS);
	fleet_run(fleet, 10 * FLEET_S);
	assert_true(fleet_slowest_sync_us(fleet) < FLEET_S);
	print_message("restart of all: %.0f calls\n", fleet->billed_calls);
	assert_true(fleet->billed_calls < INSTANCES);
	/* The earlier entries have expired by now, and none is missing. */
	fleet_run(fleet, 10 * FLEET_S);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	fleet_drop(fleet);
}

/*
 * A minute without changes costs only the renewals of a few instances and
 * expiring watches.
 */
static void test_minute_without_changes(void **state)
{
	struct fleet *fleet = new_started_fleet();

	(void)state;
	fleet->billed_calls = 0;
	fleet_run(fleet, 60 * FLEET_S);
	print_message("minute without changes: %.0f calls\n",
		      fleet->billed_calls);
	assert_true(fleet->billed_calls < INSTANCES / 3.0);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	fleet_drop(fleet);
}

/* Write replicas continuously. */
static void change_replicas(struct fleet *fleet, int64_t us)
{
	for (int64_t at_us = 0; at_us < us; at_us += 50 * FLEET_MS) {
		fleet_write_replica(fleet, (guint)(at_us % REPLICAS));
		fleet_run(fleet, 50 * FLEET_MS);
	}
}

/*
 * Let the store reject every third instance, and the first ones of each zone.
 */
static void set_rejected(struct fleet *fleet, bool rejected)
{
	for (guint i = 0; i < fleet->nodes->len; i++) {
		struct fleet_node *node = g_ptr_array_index(fleet->nodes, i);

		node->rejected_by_store =
			rejected && (i < 2 * ZONES || i % 3 == 0);
	}
}

/*
 * Guards against an overload when the store rejects a third of the instances
 * for nine seconds, those first that use it most, while replicas are replaced
 * all the time.  The other instances of their zones used to watch for
 * themselves, sixty in a zone, and paid for each change: 2,200 calls.  A new
 * configuration during this time must be in force everywhere within the bound.
 */
static void test_store_rejects_some(void **state)
{
	struct fleet *fleet = new_started_fleet();
	int64_t from_us;

	(void)state;
	fleet->billed_calls = 0;
	set_rejected(fleet, true);
	change_replicas(fleet, 3 * FLEET_S);
	fleet_write_routes(fleet, 2);
	from_us = fleet->now_us;
	change_replicas(fleet, 6 * FLEET_S);
	print_message("store rejects some: %.0f calls, in force after %.2f s\n",
		      fleet->billed_calls,
		      (double)(fleet_applied_us(fleet, 2) - from_us) / FLEET_S);
	assert_true(fleet_applied_us(fleet, 2) - from_us < BOUND_US);
	assert_true(fleet->billed_calls < INSTANCES * 2);
	set_rejected(fleet, false);
	fleet_run(fleet, 10 * FLEET_S);
	assert_int_equal(fleet_count_entries(fleet), INSTANCES);
	fleet_drop(fleet);
}

/*
 * Guards against calls from every instance about once a second while the store
 * is unreachable for all for five seconds.  Only a few call it, and serve the
 * others when it is back.
 */
static void test_store_outage(void **state)
{
	struct fleet *fleet = new_started_fleet();
	int64_t from_us;

	(void)state;
	fleet->billed_calls = 0;
	fleet->store_down = true;
	fleet_run(fleet, 5 * FLEET_S);
	print_message("store outage: %.0f calls\n", fleet->billed_calls);
	assert_true(fleet->billed_calls < INSTANCES * 2);
	fleet->store_down = false;
	fleet_write_routes(fleet, 3);
	from_us = fleet->now_us;
	fleet_run(fleet, 10 * FLEET_S);
	print_message("in force %.2f s after the store is back\n",
		      (double)(fleet_applied_us(fleet, 3) - from_us) / FLEET_S);
	assert_true(fleet_applied_us(fleet, 3) - from_us < BOUND_US);
	fleet_drop(fleet);
}

/*
 * A change in normal operation is in force everywhere within a fraction of the
 * bound.
 */
static void test_single_change(void **state)
{
	struct fleet *fleet = new_started_fleet();
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
		cmocka_unit_test(test_restart_of_all),
		cmocka_unit_test(test_minute_without_changes),
		cmocka_unit_test(test_single_change),
		cmocka_unit_test(test_store_rejects_some),
		cmocka_unit_test(test_store_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
