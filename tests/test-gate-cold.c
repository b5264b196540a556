/*
 * test-gate-cold.c - requests while replicas are cold.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

static void list_cold(struct gate_fixture *scene, const char *id,
		      const char *zone)
{
	struct test_incarnation lifetime = {
		.id = id, .service = "s", .zone = zone, .cold_ms = 3000
	};

	test_list_incarnation(scene, &lifetime);
}

/* This instance alone, and a service whose replicas bear so much cold. */
static struct gate_fixture *cold_scene(double cold_per_s)
{
	struct test_route route = test_idempotent_route;
	struct gate_fixture *scene = test_new_gate(3);

	route.cold_per_s = cold_per_s;
	test_set_routes(scene, 1, &route, 1);
	test_update_instance(scene, "self", "a", 1, 5000);
	test_advance_time(scene, 2000 * TEST_MS);
	return scene;
}

/* Requests over a second, each served well at once; how many were sent. */
static guint serve_for_a_second(struct gate_fixture *scene,
				const char *endpoint)
{
	guint first = scene->attempts->len;
	guint n = 0;

	for (int i = 0; i < 100; i++) {
		test_submit(scene, "/often/1", 900);
		test_advance_time(scene, 5 * TEST_MS);
		test_reply_all(scene);
		test_advance_time(scene, 5 * TEST_MS);
	}
	for (guint i = first; i < scene->attempts->len; i++)
		n += !strcmp(test_attempt_at(scene, i)->endpoint, endpoint);
	return n;
}

/* Guards against a cold replica that falls over: 0.7 of (8 * 1.5 + 5). */
static void test_a_cold_replica_gets_what_it_bears(void **state)
{
	struct gate_fixture *scene = cold_scene(8);

	(void)state;
	list_cold(scene, "s.a", "a");
	list_cold(scene, "s.b", "b");
	assert_int_equal(serve_for_a_second(scene, "s.a"), 11);
	test_advance_time(scene, 3000 * TEST_MS);
	assert_true(serve_for_a_second(scene, "s.a") > 80);
	test_free_gate(scene);
}

/* Guards against callers who wait for a cold replica that may get no more. */
static void test_what_cold_ones_may_not_get_is_refused(void **state)
{
	struct gate_fixture *scene = cold_scene(0.1);

	(void)state;
	list_cold(scene, "s.a", "a");
	while (scene->attempts->len == scene->answers->len) {
		test_submit(scene, "/often/1", 900);
		test_reply_all(scene);
	}
	assert_int_equal(scene->attempts->len, 3);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_int_equal(test_last_answer(scene)->at_us, scene->now_us);
	test_free_gate(scene);
}

/* Guards against shares that are not divided among the instances known. */
static void test_others_have_their_shares(void **state)
{
	struct gate_fixture *scene = cold_scene(8);

	(void)state;
	test_update_instance(scene, "other1", "a", 1, 5000);
	test_update_instance(scene, "other2", "a", 1, 5000);
	test_update_instance(scene, "other3", "a", 1, 5000);
	list_cold(scene, "s.a", "a");
	list_cold(scene, "s.b", "b");
	assert_in_range(serve_for_a_second(scene, "s.a"), 2, 3);
	test_free_gate(scene);
}

/* Guards against an instance that the others do not count. */
static void test_not_in_the_list_of_instances(void **state)
{
	struct test_route route = test_idempotent_route;
	struct gate_fixture *scene = test_new_gate(3);

	(void)state;
	route.cold_per_s = 8;
	test_set_routes(scene, 1, &route, 1);
	test_advance_time(scene, 2000 * TEST_MS);
	list_cold(scene, "s.a", "a");
	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 0);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/* Guards against a bound where none is told: the usual case. */
static void test_no_bound_is_told(void **state)
{
	struct gate_fixture *scene = cold_scene(0);

	(void)state;
	list_cold(scene, "s.a", "a");
	assert_true(serve_for_a_second(scene, "s.a") > 90);
	test_free_gate(scene);
}

/* Guards against replicas that are cold after an evacuation, untold. */
static void test_cold_after_an_evacuation(void **state)
{
	struct gate_fixture *scene = cold_scene(8);

	(void)state;
	test_list_replica(scene, "s.a", "s", "a");
	rr_gate_set_evacuation(scene->ctx, scene->gate, scene->now_us, "a", 5,
			       true);
	rr_gate_set_evacuation(scene->ctx, scene->gate, scene->now_us, "a", 6,
			       false);
	assert_int_equal(serve_for_a_second(scene, "s.a"), 11);
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_cold_replica_gets_what_it_bears),
		cmocka_unit_test(test_what_cold_ones_may_not_get_is_refused),
		cmocka_unit_test(test_others_have_their_shares),
		cmocka_unit_test(test_not_in_the_list_of_instances),
		cmocka_unit_test(test_no_bound_is_told),
		cmocka_unit_test(test_cold_after_an_evacuation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
