/*
 * test-gate-cold.c - routing of requests while replicas are cold.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

static void list_cold_replica(struct gate_fixture *fixture, const char *id,
			      const char *zone)
{
	struct test_incarnation incarnation = {
		.id = id, .service = "s", .zone = zone, .cold_ms = 3000
	};

	test_list_incarnation(fixture, &incarnation);
}

/* One instance, and a service with a rate limit for cold replicas. */
static struct gate_fixture *new_cold_fixture(double cold_per_s)
{
	struct test_route route = test_idempotent_route;
	struct gate_fixture *fixture = test_new_gate(3);

	route.cold_per_s = cold_per_s;
	test_set_routes(fixture, 1, &route, 1);
	test_update_instance(fixture, "self", "a", 1, 5000);
	test_advance_time(fixture, 2000 * TEST_MS);
	return fixture;
}

/*
 * Submits requests for one second, each served at once.  Returns how many were
 * sent to `endpoint`.
 */
static guint serve_for_a_second(struct gate_fixture *fixture,
				const char *endpoint)
{
	guint first = fixture->attempts->len;
	guint n = 0;

	for (int i = 0; i < 100; i++) {
		test_submit(fixture, "/often/1", 900);
		test_advance_time(fixture, 5 * TEST_MS);
		test_reply_all(fixture);
		test_advance_time(fixture, 5 * TEST_MS);
	}
	for (guint i = first; i < fixture->attempts->len; i++)
		n += !strcmp(test_attempt_at(fixture, i)->endpoint, endpoint);
	return n;
}

/* Guards against overload of a cold replica: limit 0.7 * (8 * 1.5 + 5). */
static void test_rate_limit_of_a_cold_replica(void **state)
{
	struct gate_fixture *fixture = new_cold_fixture(8);

	(void)state;
	list_cold_replica(fixture, "s.a", "a");
	list_cold_replica(fixture, "s.b", "b");
	assert_int_equal(serve_for_a_second(fixture, "s.a"), 11);
	test_advance_time(fixture, 3000 * TEST_MS);
	assert_true(serve_for_a_second(fixture, "s.a") > 80);
	test_free_gate(fixture);
}

/* Guards against callers that wait for a cold replica at its rate limit. */
static void test_requests_over_the_limit_are_rejected(void **state)
{
	struct gate_fixture *fixture = new_cold_fixture(0.1);

	(void)state;
	list_cold_replica(fixture, "s.a", "a");
	while (fixture->attempts->len == fixture->answers->len) {
		test_submit(fixture, "/often/1", 900);
		test_reply_all(fixture);
	}
	assert_int_equal(fixture->attempts->len, 3);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	assert_int_equal(test_last_answer(fixture)->at_us, fixture->now_us);
	test_free_gate(fixture);
}

/* Guards against a limit that is not divided among the known instances. */
static void test_limit_is_shared_with_peers(void **state)
{
	struct gate_fixture *fixture = new_cold_fixture(8);

	(void)state;
	test_update_instance(fixture, "other1", "a", 1, 5000);
	test_update_instance(fixture, "other2", "a", 1, 5000);
	test_update_instance(fixture, "other3", "a", 1, 5000);
	list_cold_replica(fixture, "s.a", "a");
	list_cold_replica(fixture, "s.b", "b");
	assert_in_range(serve_for_a_second(fixture, "s.a"), 2, 3);
	test_free_gate(fixture);
}

/* Guards against sending from an instance that its peers do not count. */
static void test_instance_is_not_listed(void **state)
{
	struct test_route route = test_idempotent_route;
	struct gate_fixture *fixture = test_new_gate(3);

	(void)state;
	route.cold_per_s = 8;
	test_set_routes(fixture, 1, &route, 1);
	test_advance_time(fixture, 2000 * TEST_MS);
	list_cold_replica(fixture, "s.a", "a");
	test_submit(fixture, "/often/1", 900);
	assert_int_equal(fixture->attempts->len, 0);
	assert_int_equal(test_last_answer(fixture)->status, 503);
	test_free_gate(fixture);
}

/* Guards against a limit where none is configured, which is the usual case. */
static void test_no_limit_is_configured(void **state)
{
	struct gate_fixture *fixture = new_cold_fixture(0);

	(void)state;
	list_cold_replica(fixture, "s.a", "a");
	assert_true(serve_for_a_second(fixture, "s.a") > 90);
	test_free_gate(fixture);
}

/* Guards against overload of replicas that are cold after an evacuation. */
static void test_cold_after_an_evacuation(void **state)
{
	struct gate_fixture *fixture = new_cold_fixture(8);

	(void)state;
	test_list_replica(fixture, "s.a", "s", "a");
	rr_gate_set_evacuation(fixture->ctx, fixture->gate, fixture->now_us,
			       "a", (struct rr_store_cursor){ .revision = 5 },
			       true);
	rr_gate_set_evacuation(fixture->ctx, fixture->gate, fixture->now_us,
			       "a", (struct rr_store_cursor){ .revision = 6 },
			       false);
	assert_int_equal(serve_for_a_second(fixture, "s.a"), 11);
	test_free_gate(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate_limit_of_a_cold_replica),
		cmocka_unit_test(test_requests_over_the_limit_are_rejected),
		cmocka_unit_test(test_limit_is_shared_with_peers),
		cmocka_unit_test(test_instance_is_not_listed),
		cmocka_unit_test(test_no_limit_is_configured),
		cmocka_unit_test(test_cold_after_an_evacuation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
