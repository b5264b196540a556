/*
 * test-gate-zone.c - replicas and zones that fall silent, and are heard again.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

/* Replicas of these zones answer what is open there. */
static void reply_from(struct gate_fixture *scene, const char *zones)
{
	for (guint j = 0; j < scene->attempts->len; j++) {
		struct test_sent_attempt *sent = test_attempt_at(scene, j);
		const char *zone = strchr(sent->endpoint, '.') + 1;

		if (!sent->replied && !sent->cancelled && strchr(zones, *zone))
			test_reply(scene, sent, RR_GATE_ANSWERED, 200);
	}
}

/*
 * Story: a network cut silences every replica of the other zones at once.
 * Searches need shards that are only there: this instance says that it is not
 * ready, so that callers go where they are served, and finds out by bare
 * connections when the others are back.
 */
static void test_a_zone_is_cut_off(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *scene = test_new_gate(7);
	const char *reason;

	route.min_share = 0.9;
	test_list_replica(scene, "s1.a", "s1", "a");
	test_list_replica(scene, "s2.a", "s2", "a");
	test_list_replica(scene, "s3.b", "s3", "b");
	test_list_replica(scene, "s4.b", "s4", "b");
	test_set_routes(scene, 5, &route, 1);
	assert_true(rr_gate_is_ready(scene->gate, &reason));
	for (int i = 0; i < 16; i++) {
		test_submit(scene, "/search/1", 200);
		test_advance_time(scene, 3 * TEST_MS);
		reply_from(scene, "a");
		test_advance_time(scene, 60 * TEST_MS);
	}
	assert_false(rr_gate_is_ready(scene->gate, &reason));
	assert_string_equal(reason, "cut-off");
	g_ptr_array_set_size(scene->attempts, 0);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 0);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_true(test_last_answer(scene)->close_connection);
	g_ptr_array_set_size(scene->probes, 0);
	test_advance_time(scene, 1000 * TEST_MS);
	assert_in_range(scene->probes->len, 3, 4);
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us,
				    "s3.b", true);
	assert_true(rr_gate_is_ready(scene->gate, &reason));
	test_free_gate(scene);
}

/*
 * Story: a zone is cut off from two others at once.  Most of its work goes to
 * one of these, and five attempts without an answer show its silence; of the
 * other only three were under way, and then nothing more is sent there, since
 * the searches lack the first.  Callers were refused here for 0.7 s more,
 * until two probes had failed.
 */
static void test_two_zones_fall_silent_at_once(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *scene = test_new_gate(7);
	const char *reason;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(scene, "s1.a", "s1", "a");
	test_list_replica(scene, "s2.b", "s2", "b");
	test_list_replica(scene, "s3.b", "s3", "b");
	test_list_replica(scene, "s4.c", "s4", "c");
	test_set_routes(scene, 5, &route, 1);
	for (int i = 0; i < 3; i++) {
		test_submit(scene, "/search/1", 90);
		test_advance_time(scene, 95 * TEST_MS);
	}
	assert_false(rr_gate_is_ready(scene->gate, &reason));
	assert_string_equal(reason, "cut-off");
	test_free_gate(scene);
}

/*
 * Story: of two other zones one falls silent half a second before the other.
 * The first must not count as well again when the second is judged, or the
 * instance does not notice that it is cut off.
 */
static void test_two_zones_fall_silent_one_after_the_other(void **state)
{
	static const char *const three[] = { "s1", "s2", "s3", NULL };
	struct test_route route = test_search_route;
	struct gate_fixture *scene = test_new_gate(7);
	const char *reason;

	route.services = three;
	route.min_share = 0.9;
	test_list_replica(scene, "s1.a", "s1", "a");
	test_list_replica(scene, "s2.b", "s2", "b");
	test_list_replica(scene, "s3.c", "s3", "c");
	test_set_routes(scene, 5, &route, 1);
	for (int i = 0; i < 40; i++) {
		test_submit(scene, "/search/1", 200);
		test_advance_time(scene, 3 * TEST_MS);
		for (guint j = 0; j < scene->attempts->len; j++) {
			struct test_sent_attempt *sent =
				test_attempt_at(scene, j);
			bool answers = strstr(sent->endpoint, ".a") ||
				       (i < 12 && strstr(sent->endpoint, ".c"));

			if (!sent->replied && !sent->cancelled && answers)
				test_reply(scene, sent, RR_GATE_ANSWERED, 200);
		}
		test_advance_time(scene, 60 * TEST_MS);
		while (scene->probes->len) {
			char *id = g_ptr_array_steal_index(scene->probes, 0);

			rr_gate_handle_probe_result(scene->ctx, scene->gate,
						    scene->now_us, id,
						    i < 12 && strstr(id, ".c"));
			g_free(id);
		}
	}
	assert_false(rr_gate_is_ready(scene->gate, &reason));
	assert_string_equal(reason, "cut-off");
	test_free_gate(scene);
}

/*
 * Story: the cut resets connections, so that no time passes in silence, and
 * only a part of a zone's replicas is ever asked.  Probes of others show that
 * it is the zone.
 */
static void test_a_zone_refuses_connections(void **state)
{
	struct gate_fixture *scene = test_new_gate(7);
	struct rr_gate_reply reply = { .outcome = RR_GATE_UNSENT,
				       .unreachable = true };
	const char *reason;
	char id[16];

	for (int i = 0; i < 20; i++) {
		g_snprintf(id, sizeof(id), "x%d.b", i);
		test_list_replica(scene, id, i < 6 ? "s1" : "other", "b");
	}
	test_list_replica(scene, "s2.a", "s2", "a");
	test_list_replica(scene, "s3.a", "s3", "a");
	test_list_replica(scene, "s4.a", "s4", "a");
	{
		struct test_route route = test_search_route;

		route.min_share = 1;
		test_set_routes(scene, 5, &route, 1);
	}
	test_advance_time(scene, 500 * TEST_MS);
	for (int i = 0; i < 6; i++) {
		test_submit(scene, "/search/1", 900);
		for (guint j = 0; j < scene->attempts->len; j++) {
			struct test_sent_attempt *sent =
				test_attempt_at(scene, j);

			if (sent->replied || sent->cancelled ||
			    !strstr(sent->endpoint, ".b"))
				continue;
			sent->replied = true;
			reply.attempt = sent->attempt;
			rr_gate_reply(scene->ctx, scene->gate, scene->now_us,
				      &reply);
		}
		test_reply_all(scene);
	}
	for (int i = 0; i < 3; i++) {
		test_advance_time(scene, 310 * TEST_MS);
		while (scene->probes->len) {
			char *probed =
				g_ptr_array_steal_index(scene->probes, 0);

			rr_gate_handle_probe_result(scene->ctx, scene->gate,
						    scene->now_us, probed,
						    false);
			g_free(probed);
		}
	}
	assert_false(rr_gate_is_ready(scene->gate, &reason));
	assert_string_equal(reason, "cut-off");
	test_free_gate(scene);
}

/*
 * Story: a replica is dark.  It is left alone until a connection to it
 * stands again, so that no caller has to find out.
 */
static void test_a_dark_replica_is_probed(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_earn_retry_budget(scene, "/often/1");
	test_submit(scene, "/often/1", 900);
	{
		struct rr_gate_reply reply = {
			.attempt = test_attempt_at(scene, 0)->attempt,
			.outcome = RR_GATE_UNSENT,
			.unreachable = true,
		};

		test_attempt_at(scene, 0)->replied = true;
		rr_gate_reply(scene->ctx, scene->gate, scene->now_us, &reply);
	}
	test_reply_all(scene);
	g_ptr_array_set_size(scene->attempts, 0);
	for (int i = 0; i < 30; i++) {
		test_submit(scene, "/often/1", 900);
		test_reply_all(scene);
		test_advance_time(scene, 50 * TEST_MS);
		if (scene->probes->len)
			rr_gate_handle_probe_result(scene->ctx, scene->gate,
						    scene->now_us, "s.a",
						    false);
	}
	for (guint i = 0; i < scene->attempts->len; i++)
		assert_string_equal(test_attempt_at(scene, i)->endpoint, "s.b");
	assert_true(scene->probes->len > 1);
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us,
				    "s.a", true);
	test_submit(scene, "/often/1", 900);
	assert_string_equal(
		test_attempt_at(scene, scene->attempts->len - 1)->endpoint,
		"s.a");
	test_free_gate(scene);
}

/*
 * Story: a zone is cut off.  Its searches wait for shards of other zones until
 * their deadline, so that no attempt is given up for a second; refused for as
 * long as that, callers lose what another zone would serve.  An instance that
 * gets twenty searches a second finds out within a quarter of a second.
 */
static void test_a_cut_shows_before_attempts_are_given_up(void **state)
{
	struct test_route route = test_search_route;
	struct gate_fixture *scene = test_new_gate(7);
	const char *reason;
	int64_t cut_us;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(scene, "s1.a", "s1", "a");
	test_list_replica(scene, "s2.b", "s2", "b");
	test_list_replica(scene, "s3.c", "s3", "c");
	test_list_replica(scene, "s4.c", "s4", "c");
	test_set_routes(scene, 5, &route, 1);
	for (int i = 0; i < 20; i++) {
		test_submit(scene, "/search/1", 1200);
		test_advance_time(scene, 5 * TEST_MS);
		reply_from(scene, "abc");
		test_advance_time(scene, 45 * TEST_MS);
	}
	cut_us = scene->now_us;
	while (rr_gate_is_ready(scene->gate, &reason)) {
		test_submit(scene, "/search/1", 1200);
		test_advance_time(scene, 5 * TEST_MS);
		reply_from(scene, "a");
		test_advance_time(scene, 45 * TEST_MS);
		if (scene->now_us - cut_us > 250 * TEST_MS)
			fail_msg("not known after a quarter of a second");
	}
	assert_string_equal(reason, "cut-off");
	test_free_gate(scene);
}

/*
 * Story: a replica dies while its service has no extra attempt left.  What is
 * there is not hedged, so not given up before its deadline, ten seconds on;
 * until then more requests go to the dead replica, and wait as long.
 */
static void test_silence_shows_without_extra_attempts(void **state)
{
	struct test_route route = test_idempotent_route;
	struct gate_fixture *scene = test_new_gate(7);

	(void)state;
	route.timeout_ms = 20000;
	test_list_replica(scene, "s.a", "s", "a");
	test_set_routes(scene, 5, &route, 1);
	test_list_replica(scene, "t.b", "t", "b");
	test_earn_retry_budget(scene, "/often/1");
	test_submit(scene, "/often/1", 10000);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "s.a");
	test_advance_time(scene, 900 * TEST_MS);
	assert_false(test_attempt_at(scene, 0)->cancelled);
	assert_true(scene->probes->len > 0);
	test_list_replica(scene, "s.b", "s", "b");
	test_submit(scene, "/often/1", 10000);
	assert_string_equal(
		test_attempt_at(scene, scene->attempts->len - 1)->endpoint,
		"s.b");
	test_free_gate(scene);
}

/*
 * Story: replicas of a zone pause at once, for a tenth of a second.  Their
 * machines answer a new connection, so their zone is not left alone.
 */
static void test_a_pause_is_no_cut(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	guint probes = 0;

	(void)state;
	for (int i = 0; i < 60; i++) {
		bool pauses = i % 10 < 2;

		test_submit(scene, "/search/1", 1200);
		test_advance_time(scene, 5 * TEST_MS);
		reply_from(scene, pauses ? "a" : "ab");
		test_advance_time(scene, 45 * TEST_MS);
		for (; probes < scene->probes->len; probes++)
			rr_gate_handle_probe_result(
				scene->ctx, scene->gate, scene->now_us,
				g_ptr_array_index(scene->probes, probes), true);
	}
	g_ptr_array_set_size(scene->attempts, 0);
	test_list_draining_replica(scene, "s1.a", "s1", "a");
	test_submit(scene, "/search/1", 1200);
	assert_non_null(test_find_open_attempt(scene, "s1.b"));
	test_free_gate(scene);
}

/*
 * Story: a weak instance gathers searches of 180 shards, and its own work
 * holds its loop up for 150 ms.  All answers are there, unread.  It took that
 * for the silence of every zone, called itself cut off, and callers were sent
 * away from a fleet that was well.
 */
static void test_own_delay_is_not_silence(void **state)
{
	enum { SHARDS = 180 };
	struct gate_fixture *scene = test_new_gate(7);
	const char *names[SHARDS + 1] = { NULL };
	struct test_route route = test_search_route;
	const char *reason;

	(void)state;
	for (int i = 0; i < SHARDS; i++) {
		char *id = g_strdup_printf("s%d.%c", i, 'b' + i % 4);

		names[i] = g_strdup_printf("s%d", i);
		test_list_replica(scene, id, names[i], strchr(id, '.') + 1);
		g_free(id);
	}
	route.services = names;
	route.objective_ms = 240;
	test_set_routes(scene, 5, &route, 1);
	for (int i = 0; i < 3; i++) {
		test_submit(scene, "/search/1", 900);
		scene->now_us += 150 * TEST_MS;
		rr_gate_report_stall(scene->ctx, scene->gate, scene->now_us,
				     150 * TEST_MS);
		/* Timers that came due meanwhile, then what was unread. */
		rr_gate_tick(scene->ctx, scene->gate, scene->now_us);
		assert_int_equal(scene->probes->len, 0);
		assert_true(rr_gate_is_ready(scene->gate, &reason));
		test_reply_all(scene);
		test_advance_time(scene, 100 * TEST_MS);
	}
	/* Without a delay the same silence is judged. */
	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, 300 * TEST_MS);
	assert_true(scene->probes->len > 0);
	for (int i = 0; i < SHARDS; i++)
		g_free((char *)names[i]);
	test_free_gate(scene);
}

/*
 * Story: a zone of sixty instances is cut off.  The strong ones, which gather
 * all searches, notice within half a second; a weak one asks so few replicas
 * that it takes five, and callers are led elsewhere only once all say that
 * they are not ready.  Told by another, it finds out by probes.
 */
static void test_told_of_a_cut(void **state)
{
	struct gate_fixture *scene = test_new_gate(7);
	struct test_route route = test_search_route;
	const char *reason;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(scene, "s1.a", "s1", "a");
	test_list_replica(scene, "s2.a", "s2", "a");
	test_list_replica(scene, "s3.b", "s3", "b");
	test_list_replica(scene, "s4.c", "s4", "c");
	test_set_routes(scene, 5, &route, 1);
	rr_gate_suspect_zones(scene->ctx, scene->gate, scene->now_us);
	assert_true(scene->probes->len >= 2);
	assert_true(rr_gate_is_ready(scene->gate, &reason));
	test_advance_time(scene, 200 * TEST_MS);
	assert_false(rr_gate_is_ready(scene->gate, &reason));
	assert_string_equal(reason, "cut-off");
	assert_true(rr_gate_is_isolated(scene->gate));
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us,
				    "s3.b", true);
	assert_true(rr_gate_is_ready(scene->gate, &reason));
	test_free_gate(scene);
}

/* Told wrongly, its probes are answered, and it goes on. */
static void test_told_of_a_cut_wrongly(void **state)
{
	struct gate_fixture *scene = test_new_gate(7);
	struct test_route route = test_search_route;
	const char *reason;

	(void)state;
	route.min_share = 0.9;
	test_list_replica(scene, "s1.a", "s1", "a");
	test_list_replica(scene, "s3.b", "s3", "b");
	test_list_replica(scene, "s4.c", "s4", "c");
	test_set_routes(scene, 5, &route, 1);
	rr_gate_suspect_zones(scene->ctx, scene->gate, scene->now_us);
	test_advance_time(scene, 5 * TEST_MS);
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us,
				    "s3.b", true);
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us,
				    "s4.c", true);
	test_advance_time(scene, 500 * TEST_MS);
	assert_false(rr_gate_is_isolated(scene->gate));
	assert_true(rr_gate_is_ready(scene->gate, &reason));
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_zone_is_cut_off),
		cmocka_unit_test(test_two_zones_fall_silent_at_once),
		cmocka_unit_test(
			test_two_zones_fall_silent_one_after_the_other),
		cmocka_unit_test(test_a_zone_refuses_connections),
		cmocka_unit_test(test_a_dark_replica_is_probed),
		cmocka_unit_test(test_a_cut_shows_before_attempts_are_given_up),
		cmocka_unit_test(test_a_pause_is_no_cut),
		cmocka_unit_test(test_silence_shows_without_extra_attempts),
		cmocka_unit_test(test_own_delay_is_not_silence),
		cmocka_unit_test(test_told_of_a_cut),
		cmocka_unit_test(test_told_of_a_cut_wrongly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
