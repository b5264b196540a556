/*
 * test-gate-incarnation.c - replicas that start again under the id they had.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

#define FIRST_BORN_MS INT64_C(1700000000000)
#define SECOND_BORN_MS (FIRST_BORN_MS + 5000)

static const char *const one_service[] = { "s", NULL };

static void list_as(struct gate_fixture *scene, int64_t born_ms, bool draining)
{
	struct test_incarnation lifetime = {
		.id = "r",
		.service = "s",
		.zone = "a",
		.started_ms = born_ms,
		.draining = draining,
	};

	test_list_incarnation(scene, &lifetime);
}

static void list_born(struct gate_fixture *scene, int64_t born_ms)
{
	list_as(scene, born_ms, false);
}

static void list_draining(struct gate_fixture *scene, int64_t born_ms)
{
	list_as(scene, born_ms, true);
}

/* One replica, "r", of the service of a route. */
static struct gate_fixture *start(const struct test_route *route)
{
	struct gate_fixture *scene = test_new_gate(7);

	list_born(scene, FIRST_BORN_MS);
	assert_true(test_set_routes(scene, 5, route, 1));
	return scene;
}

static struct test_sent_attempt *last_sent(struct gate_fixture *scene)
{
	return test_attempt_at(scene, scene->attempts->len - 1);
}

static void assert_refused(struct gate_fixture *scene)
{
	guint sent = scene->attempts->len;

	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, sent);
	assert_int_equal(test_last_answer(scene)->status, 503);
}

static void assert_served(struct gate_fixture *scene)
{
	guint sent = scene->attempts->len;

	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, sent + 1);
	test_reply(scene, last_sent(scene), RR_GATE_ANSWERED, 200);
}

/*
 * Story: operators drain a replica, and its machine starts it again under
 * the same id.  It says that it is ready, and callers are refused for want of
 * it for as long as the instance runs: the drain was the lifetime's before.
 */
static void test_a_drained_replica_is_used_once_born_again(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);

	list_draining(scene, FIRST_BORN_MS);
	assert_refused(scene);
	list_born(scene, FIRST_BORN_MS);
	assert_refused(scene);
	list_born(scene, SECOND_BORN_MS);
	assert_served(scene);
	test_free_gate(scene);
}

/*
 * Story: a replica's address goes to another for a moment, which answers 421;
 * then the replica starts again there, under its id.
 */
static void test_after_421_the_next_lifetime_is_used(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);

	test_submit(scene, "/often/1", 900);
	test_reply(scene, last_sent(scene), RR_GATE_REJECTED, 421);
	assert_refused(scene);
	list_born(scene, SECOND_BORN_MS);
	assert_served(scene);
	test_free_gate(scene);
}

/*
 * Story: the news of a replica's earlier lifetime come late, from an instance
 * that has fallen behind.  Taken for new they would put a drained replica, or
 * an address that is another's, in place of the one that is well.
 */
static void test_an_earlier_lifetime_never_returns(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);

	list_born(scene, SECOND_BORN_MS);
	list_draining(scene, FIRST_BORN_MS);
	assert_served(scene);
	rr_gate_unlist_endpoint(scene->ctx, scene->gate, scene->now_us, "r");
	test_advance_time(scene, 5000 * TEST_MS);
	list_born(scene, FIRST_BORN_MS);
	assert_refused(scene);
	list_born(scene, SECOND_BORN_MS);
	assert_served(scene);
	test_free_gate(scene);
}

/*
 * Story: a replica hangs, is suspected and left alone, and its operators start
 * it again.  What was seen of the lifetime before says nothing of this one.
 */
static void test_what_was_seen_is_of_one_lifetime(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);

	for (int i = 0; i < 3; i++) {
		test_submit(scene, "/often/1", 900);
		test_reply(scene, last_sent(scene), RR_GATE_NO_REPLY, 0);
	}
	assert_refused(scene);
	list_born(scene, SECOND_BORN_MS);
	assert_served(scene);
	test_free_gate(scene);
}

/*
 * Story: a reservation is at a replica that crashes and starts again.  Whether
 * it ran before the crash is not known: sent to the new lifetime it could run
 * twice, and refused it would be a false promise.
 */
static void test_a_lost_lifetimes_work_is_unknown(void **state)
{
	struct gate_fixture *scene = start(&test_non_idempotent_route);

	test_submit(scene, "/once/1", 900);
	list_born(scene, SECOND_BORN_MS);
	assert_int_equal(scene->attempts->len, 1);
	assert_int_equal(scene->answers->len, 0);
	test_reply(scene, last_sent(scene), RR_GATE_BROKEN, 0);
	assert_int_equal(scene->attempts->len, 1);
	assert_int_equal(test_last_answer(scene)->status, 502);
	test_free_gate(scene);
}

/* Lost at the lifetime before, it may be repeated at the next one. */
static void test_the_next_lifetime_takes_a_repeat(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);

	test_earn_retry_budget(scene, "/often/1");
	test_submit(scene, "/often/1", 900);
	list_born(scene, SECOND_BORN_MS);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_BROKEN, 0);
	assert_int_equal(scene->attempts->len, 2);
	assert_string_not_equal(test_attempt_at(scene, 0)->incarnation,
				test_attempt_at(scene, 1)->incarnation);
	test_reply(scene, last_sent(scene), RR_GATE_ANSWERED, 200);
	assert_int_equal(test_last_answer(scene)->kind, RR_GATE_PROXIED_ANSWER);
	test_free_gate(scene);
}

/* A reply of the lifetime before tells nothing of the one that is there. */
static void test_a_late_421_is_the_earlier_lifetimes(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);

	test_submit(scene, "/often/1", 900);
	list_born(scene, SECOND_BORN_MS);
	test_reply(scene, last_sent(scene), RR_GATE_REJECTED, 421);
	assert_served(scene);
	test_free_gate(scene);
}

/*
 * Story: a replica comes back at another address.  A connection to the old one
 * is kept, and requests go to whoever listens there now.
 */
static void test_connections_are_a_lifetimes_own(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);
	struct test_incarnation moved = {
		.id = "r",
		.service = "s",
		.zone = "a",
		.address = "127.0.0.1:2",
		.started_ms = SECOND_BORN_MS,
	};
	char *before;

	assert_served(scene);
	before = g_strdup(last_sent(scene)->incarnation);
	test_list_incarnation(scene, &moved);
	assert_string_equal(g_ptr_array_index(scene->idle_closed,
					      scene->idle_closed->len - 1),
			    before);
	assert_served(scene);
	assert_string_equal(last_sent(scene)->address, "127.0.0.1:2");
	assert_string_equal(last_sent(scene)->endpoint, "r");
	assert_string_not_equal(last_sent(scene)->incarnation, before);
	g_free(before);
	test_free_gate(scene);
}

/*
 * Story: a machine that served one service starts again under its id as a
 * replica of another.  Still counted to the first, it would run requests of a
 * service to which no route leads.
 */
static void test_a_new_lifetime_may_serve_another_service(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);
	struct test_incarnation other = {
		.id = "r",
		.service = "t",
		.zone = "b",
		.started_ms = SECOND_BORN_MS,
	};

	test_list_incarnation(scene, &other);
	assert_refused(scene);
	test_free_gate(scene);
}

/*
 * An entry that changes place within a lifetime is treated as another one, but
 * for a drain, which is for good.
 */
static void test_a_moved_lifetime_keeps_its_drain(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);
	struct test_incarnation moved = {
		.id = "r",
		.service = "s",
		.zone = "a",
		.address = "127.0.0.1:2",
		.started_ms = FIRST_BORN_MS,
	};

	test_list_incarnation(scene, &moved);
	assert_served(scene);
	assert_string_equal(last_sent(scene)->address, "127.0.0.1:2");
	list_draining(scene, FIRST_BORN_MS);
	test_list_incarnation(scene, &moved);
	assert_refused(scene);
	test_free_gate(scene);
}

/*
 * Story: somebody else writes an entry under the key of a replica, which lacks
 * when it started.  It names no replica, and that one's own next entry does.
 */
static void test_an_entry_that_lacks_its_start_names_nobody(void **state)
{
	struct gate_fixture *scene = start(&test_idempotent_route);

	list_born(scene, 0);
	test_advance_time(scene, 5000 * TEST_MS);
	assert_refused(scene);
	list_born(scene, FIRST_BORN_MS);
	assert_served(scene);
	test_free_gate(scene);
}

/* A lifetime is cold by its own entry, not by the one before. */
static void test_cold_time_is_a_lifetimes_own(void **state)
{
	struct gate_fixture *scene = test_new_gate(7);
	struct test_route route = test_idempotent_route;
	struct test_incarnation cold = {
		.id = "r",
		.service = "s",
		.zone = "a",
		.started_ms = FIRST_BORN_MS,
		.cold_ms = 60000,
	};

	route.services = one_service;
	test_list_incarnation(scene, &cold);
	test_list_replica(scene, "q", "s", "a");
	assert_true(test_set_routes(scene, 5, &route, 1));
	for (int i = 0; i < 8; i++) {
		test_submit(scene, "/often/1", 900);
		test_advance_time(scene, 20 * TEST_MS);
		test_reply_all(scene);
	}
	list_born(scene, SECOND_BORN_MS);
	g_ptr_array_set_size(scene->attempts, 0);
	for (int i = 0; i < 40; i++) {
		test_submit(scene, "/often/1", 900);
		test_advance_time(scene, 20 * TEST_MS);
		test_reply_all(scene);
	}
	assert_non_null(scene->attempts);
	for (guint i = 0; i < scene->attempts->len; i++) {
		if (!strcmp(test_attempt_at(scene, i)->endpoint, "r")) {
			test_free_gate(scene);
			return;
		}
	}
	fail_msg("the new lifetime got none of 40 requests");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_a_drained_replica_is_used_once_born_again),
		cmocka_unit_test(test_after_421_the_next_lifetime_is_used),
		cmocka_unit_test(test_an_earlier_lifetime_never_returns),
		cmocka_unit_test(test_what_was_seen_is_of_one_lifetime),
		cmocka_unit_test(test_a_lost_lifetimes_work_is_unknown),
		cmocka_unit_test(test_the_next_lifetime_takes_a_repeat),
		cmocka_unit_test(test_a_late_421_is_the_earlier_lifetimes),
		cmocka_unit_test(test_connections_are_a_lifetimes_own),
		cmocka_unit_test(test_a_new_lifetime_may_serve_another_service),
		cmocka_unit_test(test_a_moved_lifetime_keeps_its_drain),
		cmocka_unit_test(
			test_an_entry_that_lacks_its_start_names_nobody),
		cmocka_unit_test(test_cold_time_is_a_lifetimes_own),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
