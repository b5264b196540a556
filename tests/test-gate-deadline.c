/*
 * test-gate-deadline.c - when answers have to leave, and callers come back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/gate-fixture.h"

/* When a search that lacks one of its four parts is answered. */
static int64_t answered_after_us(bool caller_is_new)
{
	struct gate_fixture *scene = test_start_gate(&test_search_route);
	int64_t began_us = scene->now_us;
	int64_t after_us;

	scene->new_connection = caller_is_new;
	test_submit(scene, "/search/1", 900);
	test_advance_time(scene, 5 * TEST_MS);
	for (guint i = 0; i < 3; i++)
		test_reply(scene, test_attempt_at(scene, i), RR_GATE_ANSWERED,
			   200);
	test_advance_time(scene, 200 * TEST_MS);
	assert_int_equal(test_last_answer(scene)->status, 200);
	assert_int_equal(test_last_answer(scene)->missing, 1);
	after_us = test_last_answer(scene)->at_us - began_us;
	test_free_gate(scene);
	return after_us;
}

/*
 * Story: a caller makes a connection for its search and waits a round trip
 * for that.  An answer that leaves when one on a kept connection would, with
 * the same parts, comes late and is worth a tenth.
 */
static void test_a_connection_takes_its_time(void **state)
{
	/* The scene's callers are 2 ms away, there and back. */
	assert_int_equal(answered_after_us(false) - answered_after_us(true),
			 2 * TEST_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_connection_takes_its_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
