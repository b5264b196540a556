/*
 * test-evacuation.c - what is known of one zone's evacuation.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/evacuation.h"

#define MS ((int64_t)1000)

/* Guards against news of an evacuation that is over, told late. */
static void test_older_revisions_count_for_nothing(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	assert_true(rr_update_evacuation(&evacuation, 1 * MS, 7, true));
	assert_false(rr_update_evacuation(&evacuation, 2 * MS, 7, true));
	assert_false(rr_update_evacuation(&evacuation, 3 * MS, 5, false));
	assert_true(evacuation.active);
	assert_true(rr_update_evacuation(&evacuation, 4 * MS, 9, false));
	assert_false(rr_update_evacuation(&evacuation, 5 * MS, 7, true));
	assert_false(evacuation.active);
}

/* Guards against a removal that is told of a zone never known as evacuated. */
static void test_an_end_alone_changes_nothing(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	assert_false(rr_update_evacuation(&evacuation, 1 * MS, 7, false));
	assert_false(evacuation.ended);
	assert_true(rr_zone_traffic_share(&evacuation, 1 * MS, 3000 * MS) == 1);
}

/* Guards against a zone that gets all of its work in one moment. */
static void test_a_zone_returns_gradually(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	rr_update_evacuation(&evacuation, 0, 7, true);
	assert_true(rr_zone_traffic_share(&evacuation, 900 * MS, 1000 * MS) ==
		    0);
	rr_update_evacuation(&evacuation, 2000 * MS, 9, false);
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

/* Guards against a second evacuation that ends with the first one's return. */
static void test_evacuated_again_while_it_returns(void **state)
{
	struct rr_evacuation evacuation = { 0 };

	(void)state;
	rr_update_evacuation(&evacuation, 0, 7, true);
	rr_update_evacuation(&evacuation, 2000 * MS, 9, false);
	assert_true(rr_update_evacuation(&evacuation, 2500 * MS, 11, true));
	assert_true(rr_zone_traffic_share(&evacuation, 9000 * MS, 1000 * MS) ==
		    0);
	assert_false(evacuation.ended);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_older_revisions_count_for_nothing),
		cmocka_unit_test(test_an_end_alone_changes_nothing),
		cmocka_unit_test(test_a_zone_returns_gradually),
		cmocka_unit_test(test_evacuated_again_while_it_returns),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
