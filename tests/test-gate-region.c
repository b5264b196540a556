/*
 * test-gate-region.c - tests of routes that are restricted to regions.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

/* One replica in north, one in south, and one in a zone without a region. */
static struct gate_fixture *new_region_fixture(const struct test_route *base,
					       const char *region)
{
	struct test_route route = *base;
	struct gate_fixture *fixture = test_new_gate(3);

	route.region = region;
	test_list_replica(fixture, "s.a", "s", "a");
	test_list_replica(fixture, "s.c", "s", "c");
	test_list_replica(fixture, "s.x", "s", "x");
	test_set_routes(fixture, 1, &route, 1);
	return fixture;
}

/* Guards against a first attempt or a retry outside the route's region. */
static void test_attempts_stay_in_region(void **state)
{
	struct gate_fixture *fixture =
		new_region_fixture(&test_idempotent_route, "south");

	(void)state;
	test_earn_retry_budget(fixture, "/often/1");
	for (int i = 0; i < 40; i++) {
		test_submit(fixture, "/often/1", 900);
		test_reply(fixture,
			   test_attempt_at(fixture, fixture->attempts->len - 1),
			   i % 2 ? RR_GATE_REJECTED : RR_GATE_ANSWERED, 200);
		test_advance_time(fixture, 20 * TEST_MS);
	}
	for (guint i = 0; i < fixture->attempts->len; i++)
		assert_string_equal(test_attempt_at(fixture, i)->endpoint,
				    "s.c");
	test_free_gate(fixture);
}

/* Guards against requests that wait though no allowed region has a replica. */
static void test_no_replica_in_region(void **state)
{
	struct gate_fixture *fixture =
		new_region_fixture(&test_idempotent_route, "west");

	(void)state;
	test_submit(fixture, "/often/1", 900);
	assert_int_equal(fixture->attempts->len, 0);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	test_free_gate(fixture);
}

/* A zone without a known region is not allowed by any list of regions. */
static void test_several_regions(void **state)
{
	struct gate_fixture *fixture =
		new_region_fixture(&test_idempotent_route, "west,south,north");

	guint first;

	(void)state;
	test_earn_retry_budget(fixture, "/often/1");
	first = fixture->attempts->len;
	test_submit(fixture, "/often/1", 900);
	test_reply(fixture, test_attempt_at(fixture, first), RR_GATE_REJECTED,
		   503);
	assert_int_equal(fixture->attempts->len, first + 2);
	for (guint i = 0; i < fixture->attempts->len; i++)
		assert_string_not_equal(test_attempt_at(fixture, i)->endpoint,
					"s.x");
	test_free_gate(fixture);
}

/* Guards against forwarding a search to an instance of another region. */
static void test_forwards_within_region(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *fixture = test_new_gate(3);

	(void)state;
	route.region = "north";
	for (int i = 0; i < 4; i++) {
		char *id = g_strdup_printf("%s.a", test_shards[i]);

		test_list_replica(fixture, id, test_shards[i], "a");
		g_free(id);
	}
	test_set_routes(fixture, 1, &route, 1);
	test_update_instance(fixture, "self", "a", 1, 5000);
	test_update_instance(fixture, "strong", "a", 4, 5000);
	test_update_instance(fixture, "abroad", "c", 9, 5000);
	test_submit(fixture, "/search/1", 900);
	assert_string_equal(test_attempt_at(fixture, 0)->endpoint, "strong");
	test_reply(fixture, test_attempt_at(fixture, 0), RR_GATE_UNSENT, 0);
	assert_int_equal(fixture->attempts->len, 5);
	assert_string_equal(test_attempt_at(fixture, 1)->endpoint, "s1.a");
	test_free_gate(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_attempts_stay_in_region),
		cmocka_unit_test(test_no_replica_in_region),
		cmocka_unit_test(test_several_regions),
		cmocka_unit_test(test_forwards_within_region),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
