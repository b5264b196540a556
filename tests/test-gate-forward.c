/*
 * test-gate-forward.c - searches that weak instances hand over.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>
#include <time.h>

#include "support/gate-fixture.h"

/* A weak instance, w, and the strong one of its zone. */
static struct gate_fixture *lone_scene(void)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);

	test_update_instance(scene, "w", "a", 1, 5000);
	test_update_instance(scene, "strong", "a", 4, 5000);
	return scene;
}

/* As above, and one of another zone. */
static struct gate_fixture *weak_scene(void)
{
	struct gate_fixture *scene = lone_scene();

	test_update_instance(scene, "far", "b", 9, 5000);
	return scene;
}

/*
 * Story: ninety shards take few connections each, and a weak instance needs
 * longer to send ninety requests than callers want to wait.  It hands the
 * search whole to the strong one of its zone and passes its answer on.
 */
static void test_weak_instances_hand_over(void **state)
{
	struct gate_fixture *scene = weak_scene();

	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 1);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "strong");
	test_advance_time(scene, 20 * TEST_MS);
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	test_free_gate(scene);
}

/* An instance that knows nothing yet, with 90 replicas in its first reading. */
static struct gate_fixture *starting_scene(void)
{
	struct gate_fixture *scene = test_new_uncounted_gate(7);

	test_set_routes(scene, 1, &test_search_route, 1);
	for (int i = 0; i < 90; i++) {
		char *id = g_strdup_printf("r%d.a", i);

		test_list_replica(scene, id, test_shards[i % 4], "a");
		g_free(id);
	}
	return scene;
}

/* This one and 73 others of a large site, of which five are that strong. */
static void tell_fleet(struct gate_fixture *scene, double strongest)
{
	test_update_instance(scene, "self", "a", 1, 5000);
	for (int i = 0; i < 73; i++) {
		char *id = g_strdup_printf("i%d", i);

		test_update_instance(scene, id, "a",
				     i < 5 ? strongest : strongest / 4, 5000);
		g_free(id);
	}
	rr_gate_set_instance_count(scene->ctx, scene->gate, 74);
}

/*
 * Guards against a start of all in which each opens connections to replicas
 * that take one for each of a few: 26 here.
 */
static void test_nothing_is_opened_before_the_count(void **state)
{
	struct gate_fixture *scene = starting_scene();

	(void)state;
	test_advance_time(scene, 50 * TEST_MS);
	assert_int_equal(scene->preconnected->len, 0);
	tell_fleet(scene, 4);
	test_advance_time(scene, 50 * TEST_MS);
	/* Only those to the strong ones. */
	assert_int_equal(scene->preconnected->len, 5);
	test_free_gate(scene);
}

/* Guards against a holder of connections that has none once it is counted. */
static void test_a_holder_opens_after_the_count(void **state)
{
	struct gate_fixture *scene = starting_scene();

	(void)state;
	tell_fleet(scene, 1);
	test_advance_time(scene, 50 * TEST_MS);
	assert_int_equal(scene->preconnected->len, 90);
	test_free_gate(scene);
}

/* Guards against a small site that needs a first connection for each request. */
static void test_a_few_open_after_the_count(void **state)
{
	struct gate_fixture *scene = starting_scene();

	(void)state;
	rr_gate_set_instance_count(scene->ctx, scene->gate, 7);
	test_advance_time(scene, 50 * TEST_MS);
	assert_int_equal(scene->preconnected->len, 90);
	assert_int_equal(rr_gate_connection_share(scene->gate, "s1"), 3);
	test_free_gate(scene);
}

/* Refused or not reached: nothing has run, and it is served here at once. */
static void test_refused_search_is_served_here(void **state)
{
	static const enum rr_gate_outcome outcomes[] = { RR_GATE_REJECTED,
							 RR_GATE_UNSENT };

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		struct gate_fixture *scene = lone_scene();

		test_submit(scene, "/search/1", 900);
		test_reply(scene, test_attempt_at(scene, 0), outcomes[i], 503);
		assert_int_equal(scene->attempts->len, 5);
		test_reply_all(scene);
		assert_int_equal(test_last_answer(scene)->kind,
				 RR_GATE_MERGED_ANSWER);
		assert_int_equal(test_last_answer(scene)->missing, 0);
		test_free_gate(scene);
	}
}

/*
 * Story: both strong instances of a zone are killed at once.  Its weak ones
 * would open ninety connections for each search; the other zones' strong ones
 * hold them already.
 */
static void test_another_zones_instance_steps_in(void **state)
{
	struct gate_fixture *scene = weak_scene();

	test_submit(scene, "/search/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_UNSENT, 0);
	assert_int_equal(scene->attempts->len, 2);
	assert_string_equal(test_attempt_at(scene, 1)->endpoint, "far");
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	test_free_gate(scene);
}

/*
 * Story: the strong instance dies with the search.  It may have asked each
 * shard as often as the route allows: to ask once more would break the bound,
 * even where there are extra attempts left.  The caller is told so at once.
 */
static void test_lost_search_is_not_served_again(void **state)
{
	struct gate_fixture *scene = weak_scene();

	test_advance_time(scene, 20000 * TEST_MS);
	test_submit(scene, "/search/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_BROKEN, 0);
	assert_int_equal(scene->attempts->len, 1);
	assert_int_equal(test_last_answer(scene)->status, 502);
	test_free_gate(scene);
}

/*
 * A frozen one is waited for twice as long as the caller wants to wait, and
 * then left alone.
 */
static void test_frozen_strong_instance(void **state)
{
	struct gate_fixture *scene = lone_scene();

	for (int i = 0; i < 8; i++) {
		test_submit(scene, "/search/1", 900);
		if (!test_find_open_attempt(scene, "strong"))
			test_reply_all(scene);
		test_advance_time(scene, 170 * TEST_MS);
	}
	assert_true(test_attempt_at(scene, 0)->cancelled);
	assert_int_equal(
		((struct test_answer *)g_ptr_array_index(scene->answers, 0))
			->status,
		502);
	g_ptr_array_set_size(scene->attempts, 0);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 4);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "s1.a");
	test_reply_all(scene);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_MERGED_ANSWER);
	test_free_gate(scene);
}

static void test_strong_instance_leaves(void **state)
{
	struct gate_fixture *scene = lone_scene();

	test_update_instance(scene, "strong", NULL, 0, 0);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 4);
	test_free_gate(scene);
}

/* A search that another instance hands over, 50 ms before it is due. */
static void take_handed(struct gate_fixture *scene)
{
	struct rr_gate_request_info ask = {
		.host = "h",
		.path = "/search/1",
		.path_length = strlen("/search/1"),
		.deadline_ms = 900,
		.forward_deadline_us = 50 * TEST_MS,
	};

	rr_gate_submit(scene->ctx, scene->gate, scene->now_us, &ask);
}

/* What was handed over is never handed on, whatever the entries say. */
static void test_handed_search_stays(void **state)
{
	struct gate_fixture *scene = weak_scene();

	take_handed(scene);
	assert_int_equal(scene->attempts->len, 4);
	for (guint i = 0; i < 3; i++)
		test_reply(scene, test_attempt_at(scene, i), RR_GATE_ANSWERED,
			   200);
	test_advance_time(scene, 46 * TEST_MS);
	assert_int_equal(scene->answers->len, 0);
	test_advance_time(scene, 2 * TEST_MS);
	assert_int_equal(test_last_answer(scene)->missing, 1);
	test_free_gate(scene);
}

/*
 * Story: a burst comes to a fleet of weak instances, and no shard has room.
 * Each strong instance that a search is handed to refuses it, the next one
 * does the same, and at last the weak one asks ninety shards itself: a shard
 * gets 1,263 extra attempts where 1,244 are allowed.  Where there is no room
 * the first refusal is the last.
 */
static void test_overrun_search_is_not_handed_on(void **state)
{
	struct gate_fixture *scene = weak_scene();
	struct test_sent_attempt *sent;

	test_submit(scene, "/search/1", 900);
	sent = test_attempt_at(scene, 0);
	test_reply(scene, sent, RR_GATE_REJECTED, 429);
	assert_int_equal(scene->attempts->len, 1);
	assert_int_equal(test_last_answer(scene)->status, 503);
	assert_true(test_last_answer(scene)->retry_after_ms > 0);
	test_free_gate(scene);
}

/* Two searches take all room, those behind them wait; one more is refused. */
static void test_strong_instance_says_that_there_is_no_room(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);

	for (int i = 0; i < 5; i++)
		take_handed(scene);
	assert_int_equal(scene->answers->len, 0);
	test_advance_time(scene, 20 * TEST_MS);
	take_handed(scene);
	assert_string_equal(test_last_answer(scene)->reason, "overrun");
	assert_int_equal(test_last_answer(scene)->status, 429);
	test_submit(scene, "/search/1", 900);
	assert_string_equal(test_last_answer(scene)->reason, "overrun");
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

/*
 * What replicas were asked and refused is not asked anew by another instance,
 * which would take its attempts for the first.  Here the rest had not left.
 */
static void test_refused_by_replicas_is_not_handed_on(void **state)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);

	take_handed(scene);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_REJECTED, 503);
	scene->nothing_sent = true;
	test_reply(scene, test_attempt_at(scene, 1), RR_GATE_REJECTED, 503);
	assert_string_equal(test_last_answer(scene)->reason, "too-few-parts");
	assert_int_equal(test_last_answer(scene)->status, 429);
	test_free_gate(scene);
}

/*
 * Story: twenty searches are refused for want of replicas, each by several
 * instances.  They earn no extra attempts, or all instances together would
 * have more than callers' requests allow.
 */
static void test_refused_searches_earn_nothing(void **state)
{
	struct gate_fixture *scene = test_new_gate(1);
	guint sent;

	test_set_routes(scene, 1, &test_search_route, 1);
	for (int i = 0; i < 20; i++) {
		take_handed(scene);
		assert_int_equal(test_last_answer(scene)->status, 503);
	}
	for (size_t i = 0; test_shards[i]; i++) {
		char *id = g_strconcat(test_shards[i], ".a", NULL);

		test_list_replica(scene, id, test_shards[i], "a");
		id[strlen(id) - 1] = 'b';
		test_list_replica(scene, id, test_shards[i], "b");
		g_free(id);
	}
	take_handed(scene);
	sent = scene->attempts->len;
	assert_int_equal(sent, 4);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_REJECTED, 503);
	assert_int_equal(scene->attempts->len, sent);
	test_free_gate(scene);
}

/*
 * Story: the strong instance of a zone hangs until it is killed, is suspected
 * for seconds, and starts again under its name while its old entry stands.
 * Its time of day was set back meanwhile.  Searches go to it at once: what was
 * seen of the process before says nothing of this one.
 */
static void test_a_strong_instance_starts_again(void **state)
{
	struct gate_fixture *scene = lone_scene();

	for (int i = 0; i < 4; i++) {
		test_submit(scene, "/search/1", 900);
		test_reply(scene,
			   test_attempt_at(scene, scene->attempts->len - 1),
			   RR_GATE_NO_REPLY, 0);
	}
	g_ptr_array_set_size(scene->attempts, 0);
	test_update_instance(scene, "strong", "a", 4, 3000);
	test_submit(scene, "/search/1", 900);
	assert_int_equal(scene->attempts->len, 1);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "strong");
	assert_true(scene->idle_closed->len > 0);
	test_free_gate(scene);
}

/*
 * Story: all 1,200 instances start at once.  Each reads the entries of all the
 * others, and callers wait meanwhile: where each entry made it look at all of
 * them anew, that took a processor 18 seconds.  It looks once, when the next
 * request or turn of the loop comes.
 */
static void test_many_entries_are_read_quickly(void **state)
{
	const clock_t most = CLOCKS_PER_SEC;
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	clock_t from = clock();

	(void)state;
	test_update_instance(scene, "w", "a", 1, 5000);
	for (int i = 0; i < 1200; i++) {
		char *id = g_strdup_printf("i%d", i);

		test_update_instance(scene, id, i % 2 ? "a" : "b",
				     i == 601 ? 4 : 1, 5000);
		g_free(id);
	}
	test_submit(scene, "/search/1", 900);
	assert_true(clock() - from < most);
	assert_int_equal(scene->attempts->len, 1);
	assert_string_equal(test_attempt_at(scene, 0)->endpoint, "i601");
	test_free_gate(scene);
}

/* What an entry says again, as after its lease was renewed, changes nothing. */
static void test_same_entry_keeps_what_was_seen(void **state)
{
	struct gate_fixture *scene = lone_scene();

	(void)state;
	test_submit(scene, "/search/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_NO_REPLY, 0);
	g_ptr_array_set_size(scene->attempts, 0);
	test_update_instance(scene, "strong", "a", 4, 5000);
	test_submit(scene, "/search/1", 900);
	/* It was not reached a moment ago, and is left alone still. */
	assert_int_equal(scene->attempts->len, 4);
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_weak_instances_hand_over),
		cmocka_unit_test(test_nothing_is_opened_before_the_count),
		cmocka_unit_test(test_a_holder_opens_after_the_count),
		cmocka_unit_test(test_a_few_open_after_the_count),
		cmocka_unit_test(test_refused_search_is_served_here),
		cmocka_unit_test(test_another_zones_instance_steps_in),
		cmocka_unit_test(test_lost_search_is_not_served_again),
		cmocka_unit_test(test_frozen_strong_instance),
		cmocka_unit_test(test_strong_instance_leaves),
		cmocka_unit_test(test_handed_search_stays),
		cmocka_unit_test(test_overrun_search_is_not_handed_on),
		cmocka_unit_test(
			test_strong_instance_says_that_there_is_no_room),
		cmocka_unit_test(test_refused_by_replicas_is_not_handed_on),
		cmocka_unit_test(test_refused_searches_earn_nothing),
		cmocka_unit_test(test_a_strong_instance_starts_again),
		cmocka_unit_test(test_many_entries_are_read_quickly),
		cmocka_unit_test(test_same_entry_keeps_what_was_seen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
