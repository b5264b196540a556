/*
 * test-lifecycle.c - when an instance takes callers, and how it stops.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "ragwort/lifecycle.h"

#define S ((int64_t)1000000)

static void test_ready_only_while_serving(void **state)
{
	struct rr_lifecycle lifecycle = { .stop_timeout_ms = 6000 };

	assert_false(rr_lifecycle_is_ready(&lifecycle, false));
	assert_true(rr_lifecycle_is_ready(&lifecycle, true));
	rr_request_stop(&lifecycle, 10 * S);
	assert_false(rr_lifecycle_is_ready(&lifecycle, true));
}

/*
 * Story: callers still come for two seconds after the stop was asked for,
 * since the platform asks only once a second.  Whoever closed its doors at
 * once would cut them off.
 */
static void test_stop(void **state)
{
	struct rr_lifecycle lifecycle = { .stop_timeout_ms = 6000 };

	rr_request_stop(&lifecycle, 10 * S);
	rr_request_stop(&lifecycle, 12 * S);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 12 * S, 0, 0),
			 RR_STOP_KEEP_SERVING);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 13 * S, 2, 5),
			 RR_STOP_CLOSE_IDLE);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 13 * S, 0, 1),
			 RR_STOP_CLOSE_IDLE);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 13 * S, 0, 0),
			 RR_STOP_EXIT);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 15 * S, 2, 5),
			 RR_STOP_CLOSE_IDLE);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 10 * S + 5900000, 2, 5),
			 RR_STOP_EXIT);
}

/*
 * Story: callers that nobody leads elsewhere come until the very end.  The
 * last one's request was read, sent to a replica and cut fifteen milliseconds
 * later, when the process ended.
 */
static void test_nothing_new_before_the_end(void **state)
{
	struct rr_lifecycle lifecycle = { .stop_timeout_ms = 6000 };

	rr_request_stop(&lifecycle, 10 * S);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 10 * S + 5050000, 2, 5),
			 RR_STOP_CLOSE_IDLE);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 10 * S + 5150000, 2, 5),
			 RR_STOP_REJECT_NEW);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 10 * S + 5550000, 0, 1),
			 RR_STOP_REJECT_NEW);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 10 * S + 5550000, 0, 0),
			 RR_STOP_EXIT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ready_only_while_serving),
		cmocka_unit_test(test_stop),
		cmocka_unit_test(test_nothing_new_before_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
