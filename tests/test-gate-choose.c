/*
 * test-gate-choose.c - which replica an attempt goes to.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/gate-fixture.h"

/* A near replica and two far ones. */
static struct gate_fixture *three_scene(void)
{
	struct gate_fixture *scene = test_start_gate(&test_idempotent_route);

	test_list_replica(scene, "s.c", "s", "c");
	return scene;
}

/* One request, served after as long as its replica takes. */
static void serve(struct gate_fixture *scene, int64_t near_us, int64_t far_us)
{
	guint first = scene->attempts->len;
	bool near;

	test_submit(scene, "/often/1", 900);
	near = g_str_has_suffix(test_attempt_at(scene, first)->endpoint, ".a");
	test_advance_time(scene, near ? near_us : far_us);
	test_reply_all(scene);
	test_advance_time(scene, 30 * TEST_MS);
}

static guint count_sent_to(struct gate_fixture *scene, const char *endpoint)
{
	guint n = 0;

	for (guint i = 0; i < scene->attempts->len; i++)
		n += !strcmp(test_attempt_at(scene, i)->endpoint, endpoint);
	return n;
}

/*
 * Story: the replica of an instance's own zone is a third slower than those of
 * the others, and callers wait up to thirty times as long.  Bytes between
 * zones are paid for; a few milliseconds that nobody misses are not worth them.
 */
static void test_near_unless_callers_would_notice(void **state)
{
	struct gate_fixture *scene = three_scene();

	for (int i = 0; i < 200; i++)
		serve(scene, 10 * TEST_MS, 7500);
	assert_true(count_sent_to(scene, "s.a") >= 170);
	test_free_gate(scene);
}

/* Where the near one would take much of what callers wait, others do. */
static void test_far_when_the_near_one_is_slow(void **state)
{
	struct gate_fixture *scene = three_scene();

	for (int i = 0; i < 200; i++)
		serve(scene, 120 * TEST_MS, 7500);
	assert_true(count_sent_to(scene, "s.a") <= 40);
	test_free_gate(scene);
}

/*
 * Story: a replica sheds six in ten of its requests though it is idle, and
 * says that it is well.  Each shed costs an arrival out of the bound on extra
 * ones; after a few it is asked seldom, as one that loses answers is.
 */
static void test_a_replica_that_sheds_is_asked_seldom(void **state)
{
	struct gate_fixture *scene = three_scene();
	guint sheds = 0;

	test_earn_retry_budget(scene, "/often/1");
	for (int i = 0; i < 300; i++) {
		struct test_sent_attempt *shed;

		test_submit(scene, "/often/1", 900);
		shed = test_find_open_attempt(scene, "s.a");
		if (shed && i % 5 < 3) {
			test_reply(scene, shed, RR_GATE_REJECTED, 503);
			sheds++;
		}
		test_advance_time(scene, 5 * TEST_MS);
		test_reply_all(scene);
		test_advance_time(scene, 30 * TEST_MS);
	}
	assert_in_range(sheds, 2, 40);
	test_free_gate(scene);
}

/*
 * Story: a shard has one replica, and its connection fails once.  It was left
 * alone for half a second then, and each search of that time lacked the shard
 * for certain.  Nobody else is there to ask: it is asked, until a probe finds
 * that it is not there.
 */
static void test_the_only_replica_is_still_asked(void **state)
{
	struct gate_fixture *scene = test_new_gate(1);

	(void)state;
	test_list_replica(scene, "s.a", "s", "a");
	/* Its zone is well. */
	test_list_replica(scene, "other.a", "other", "a");
	test_set_routes(scene, 1, &test_idempotent_route, 1);
	test_submit(scene, "/often/1", 900);
	test_reply(scene, test_attempt_at(scene, 0), RR_GATE_NO_REPLY, 0);
	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 2);
	test_reply_all(scene);
	test_submit(scene, "/often/1", 900);
	test_reply(scene, test_attempt_at(scene, 2), RR_GATE_NO_REPLY, 0);
	test_advance_time(scene, 450 * TEST_MS);
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us,
				    "s.a", false);
	test_submit(scene, "/often/1", 900);
	assert_int_equal(scene->attempts->len, 3);
	assert_int_equal(test_last_answer(scene)->status, 503);
	test_free_gate(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_near_unless_callers_would_notice),
		cmocka_unit_test(test_far_when_the_near_one_is_slow),
		cmocka_unit_test(test_a_replica_that_sheds_is_asked_seldom),
		cmocka_unit_test(test_the_only_replica_is_still_asked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
