/*
 * test-gate-log.c - what the log tells of a request, within its bound.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "support/gate-fixture.h"

#define SHARDS 180

/* Shards s0 to s179 with a replica each, and a route over all of them. */
static struct gate_fixture *wide_scene(void)
{
	struct gate_fixture *scene = test_new_gate(3);
	struct test_route route = test_search_route;
	const char *names[SHARDS + 1] = { NULL };

	for (int i = 0; i < SHARDS; i++) {
		char *id = g_strdup_printf("s%d.a", i);

		names[i] = g_strdup_printf("s%d", i);
		test_list_replica(scene, id, names[i], "a");
		g_free(id);
	}
	route.services = names;
	route.min_share = 0.9;
	test_set_routes(scene, 5, &route, 1);
	for (int i = 0; i < SHARDS; i++)
		g_free((char *)names[i]);
	test_advance_time(scene, TEST_MS);
	g_string_truncate(scene->log, 0);
	return scene;
}

/* All but the last few answer; then the objective is over. */
static void search_without(struct gate_fixture *scene, guint lacking)
{
	guint from = scene->attempts->len;

	test_submit(scene, "/search/1", 900);
	for (guint i = from; i < scene->attempts->len; i++) {
		struct test_sent_attempt *sent = test_attempt_at(scene, i);
		guint shard = (guint)atoi(sent->endpoint + 1);

		if (shard < SHARDS - lacking)
			test_reply(scene, sent, RR_GATE_ANSWERED, 200);
	}
	test_advance_time(scene, 300 * TEST_MS);
}

static guint count_of(const struct gate_fixture *scene, const char *words)
{
	char **pieces = g_strsplit(scene->log->str, words, -1);
	guint n = g_strv_length(pieces);

	/* An empty log has no pieces. */
	n -= n > 0;
	g_strfreev(pieces);
	return n;
}

/*
 * Story: a search of 180 shards leaves with two parts lacking.  Its 370 steps
 * are over the bound on lines, and the log told none of them: why the two
 * lacked was nowhere.  Their steps are told, and the last line counts why.
 */
static void test_what_lacks_is_told(void **state)
{
	struct gate_fixture *scene = wide_scene();

	(void)state;
	search_without(scene, 2);
	assert_int_equal(count_of(scene, "event=answered"), 1);
	assert_int_equal(count_of(scene, "missing=2"), 1);
	assert_int_equal(count_of(scene, "lacks_no_extra=2"), 1);
	assert_int_equal(count_of(scene, "event=sent"), 2);
	assert_int_equal(count_of(scene, "service=s178 "), 2);
	assert_int_equal(count_of(scene, "steps_left_out=0"), 0);
	test_free_gate(scene);
}

/* Many such searches: the bound holds, the last lines are there. */
static void test_the_bound_holds(void **state)
{
	struct gate_fixture *scene = wide_scene();

	(void)state;
	for (int i = 0; i < 40; i++)
		search_without(scene, 15);
	assert_int_equal(count_of(scene, "event=answered"), 40);
	/* Of 50 lines a second, in twelve seconds. */
	assert_true(count_of(scene, "event=") < 2 * 50 + 12 * 50 + 40);
	assert_true(count_of(scene, "event=sent") < 40 * 15);
	test_free_gate(scene);
}

/* A search that went well is told for a few of many, and then whole. */
static void test_what_went_well_is_not_told(void **state)
{
	struct gate_fixture *scene = wide_scene();

	(void)state;
	search_without(scene, 0);
	assert_int_equal(count_of(scene, "event=sent"), 0);
	assert_int_equal(count_of(scene, "event=answered"), 0);
	test_free_gate(scene);
}

/* Which request a replica broke off, and how it ended, share a fingerprint. */
static void test_broken_attempts_are_told(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	(void)state;
	scene->fingerprint.low = 0xabc;
	g_string_truncate(scene->log, 0);
	test_submit(scene, "/often/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_BROKEN, 0);
	test_advance_time(scene, 1000 * TEST_MS);
	assert_int_equal(count_of(scene, "event=attempt-broken request=id "
					 "fingerprint="
					 "00000000000000000000000000000abc"),
			 1);
	assert_int_equal(count_of(scene, "event=answered request=id "
					 "fingerprint="
					 "00000000000000000000000000000abc"),
			 1);
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_what_lacks_is_told),
		cmocka_unit_test(test_the_bound_holds),
		cmocka_unit_test(test_what_went_well_is_not_told),
		cmocka_unit_test(test_broken_attempts_are_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
