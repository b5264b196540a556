/*
 * test-evacuation.c - evacuation state of one zone.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/evacuation.h"

#define MS ((int64_t)1000)

/* Apply an update at a revision of the first era. */
static bool update(struct rr_evacuation *evacuation, int64_t now_us,
		   uint64_t revision, bool active)
{
	struct rr_store_cursor cursor = { .era = 1, .revision = revision };

	return rr_update_evacuation(evacuation, now_us, cursor, active);
}

/* Guards against a late update about an evacuation that has ended. */
static void test_older_revisions_are_ignored(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	assert_true(update(&evacuation, 1 * MS, 7, true));
	assert_false(update(&evacuation, 2 * MS, 7, true));
	assert_false(update(&evacuation, 3 * MS, 5, false));
	assert_true(evacuation.active);
	assert_true(update(&evacuation, 4 * MS, 9, false));
	assert_false(update(&evacuation, 5 * MS, 7, true));
	assert_false(evacuation.active);
}

/* Guards against a removal received for a zone not known as evacuated. */
static void test_end_without_evacuation(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	assert_false(update(&evacuation, 1 * MS, 7, false));
	assert_false(evacuation.ended);
	assert_true(rr_zone_traffic_share(&evacuation, 1 * MS, 3000 * MS) == 1);
}

/* Guards against a zone that gets all of its traffic back at once. */
static void test_slow_start(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	update(&evacuation, 0, 7, true);
	assert_true(rr_zone_traffic_share(&evacuation, 900 * MS, 1000 * MS) ==
		    0);
	update(&evacuation, 2000 * MS, 9, false);
	assert_true(rr_zone_traffic_share(&evacuation, 2000 * MS, 1000 * MS) ==
		    0);
	assert_true(rr_zone_traffic_share(&evacuation, 2250 * MS, 1000 * MS) ==
		    0.25);
	assert_true(
		rr_is_cold_after_evacuation(&evacuation, 2250 * MS, 1000 * MS));
	assert_true(rr_zone_traffic_share(&evacuation, 3000 * MS, 1000 * MS) ==
		    1);
	assert_false(
		rr_is_cold_after_evacuation(&evacuation, 3000 * MS, 1000 * MS));
}

/* Guards against a slow start that ends a second evacuation. */
static void test_evacuated_again_in_slow_start(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	update(&evacuation, 0, 7, true);
	update(&evacuation, 2000 * MS, 9, false);
	assert_true(update(&evacuation, 2500 * MS, 11, true));
	assert_true(rr_zone_traffic_share(&evacuation, 9000 * MS, 1000 * MS) ==
		    0);
	assert_false(evacuation.ended);
}

/*
 * Guards against an evacuation that is left out since the store was restored
 * and gives lower revisions out again.
 */
static void test_evacuation_in_later_era(void **state)
{
	struct rr_evacuation evacuation = { 0 };
	struct rr_store_cursor later = { .era = 2, .revision = 4 };

	(void)state;
	assert_true(update(&evacuation, 1 * MS, 7, true));
	assert_true(update(&evacuation, 2 * MS, 9, false));
	assert_true(rr_update_evacuation(&evacuation, 3 * MS, later, true));
	assert_false(update(&evacuation, 4 * MS, 12, false));
	assert_true(evacuation.active);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_older_revisions_are_ignored),
		cmocka_unit_test(test_end_without_evacuation),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_evacuated_again_in_slow_start),
		cmocka_unit_test(test_evacuation_in_later_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
