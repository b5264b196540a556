/*
 * test-gate-region.c - routes whose requests may go to some regions only.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

/* Near replicas in north, one far in south, one of a zone without a region. */
static struct gate_fixture *region_scene(const struct test_route *model,
					 const char *region)
{
	struct test_route route = *model;
	struct gate_fixture *scene = test_new_gate(3);

	route.region = region;
	test_list_replica(scene, "s.a", "s", "a");
	test_list_replica(scene, "s.c", "s", "c");
	test_list_replica(scene, "s.x", "s", "x");
	test_set_routes(scene, 1, &route, 1);
	return scene;
}

/* Guards against a first attempt or a repeat that leaves its region. */
static void test_attempts_stay_at_home(void **state)
{
	struct gate_fixture *scene =
		region_scene(&test_idempotent_route, "south");

	(void)state;
	test_earn_retry_budget(scene, "/often/1");
	for (int i = 0; i < 40; i++) {
		test_submit(scene, "/often/1", 900);
		test_reply(scene,
			   test_attempt_at(scene, scene->attempts->len - 1),
			   i % 2 ? RR_GATE_REJECTED : RR_GATE_ANSWERED, 200);
		test_advance_time(scene, 20 * TEST_MS);
	}
	for (guint i = 0; i < scene->attempts->len; i++)
		assert_string_equal(test_attempt_at(scene, i)->endpoint, "s.c");
	test_free_gate(scene);
}

/* Guards against callers who wait though no region has a replica for them. */
static void test_no_replica_at_home(void **state)
{
	struct gate_fixture *scene =
		region_scene(&test_idempotent_route, "west");

	(void)state;
	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 0);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/* Several regions, and a zone whose region is not known: that is none. */
static void test_several_regions(void **state)
{
	struct gate_fixture *scene =
		region_scene(&test_idempotent_route, "west,south,north");

	guint first;

	(void)state;
	test_earn_retry_budget(scene, "/often/1");
	first = scene->attempts->len;
	test_submit(scene, "/often/1", 900);
	test_reply(scene, test_attempt_at(scene, first), RR_GATE_REJECTED, 503);
	assert_int_equal(scene->attempts->len, first + 2);
	for (guint i = 0; i < scene->attempts->len; i++)
		assert_string_not_equal(test_attempt_at(scene, i)->endpoint,
					"s.x");
	test_free_gate(scene);
}

/* Guards against a search that is handed to an instance of another region. */
static void test_searches_are_handed_over_at_home(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *scene = test_new_gate(3);

	(void)state;
	route.region = "north";
	for (int i = 0; i < 4; i++) {
		char *id = g_strdup_printf("%s.a", test_shards[i]);

		test_list_replica(scene, id, test_shards[i], "a");
		g_free(id);
	}
	test_set_routes(scene, 1, &route, 1);
	test_update_instance(scene, "self", "a", 1, 5000);
	test_update_instance(scene, "strong", "a", 4, 5000);
	test_update_instance(scene, "abroad", "c", 9, 5000);
	test_submit(scene, "/search/1", 900);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "strong");
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_UNSENT, 0);
	assert_int_equal(scene->attempts->len, 5);
	assert_string_equal(test_attempt_at(scene, 1)->endpoint, "s1.a");
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_attempts_stay_at_home),
		cmocka_unit_test(test_no_replica_at_home),
		cmocka_unit_test(test_several_regions),
		cmocka_unit_test(test_searches_are_handed_over_at_home),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
