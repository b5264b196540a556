/*
 * test-lifecycle.c - readiness and graceful stop.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "ragwort/lifecycle.h"

#define SECOND_US ((int64_t)1000000)

static void test_ready_while_serving(void **state)
{
	struct rr_lifecycle lifecycle = { .stop_timeout_ms = 6000 };

	assert_false(rr_lifecycle_is_ready(&lifecycle, false));
	assert_true(rr_lifecycle_is_ready(&lifecycle, true));
	rr_request_stop(&lifecycle, 10 * SECOND_US);
	assert_false(rr_lifecycle_is_ready(&lifecycle, true));
}

/*
 * Guards against closing listeners immediately on a stop request. The platform
 * checks readiness only once a second, so callers still arrive for two seconds
 * and would be disconnected.
 */
static void test_stop_phases(void **state)
{
	struct rr_lifecycle lifecycle = { .stop_timeout_ms = 6000 };

	rr_request_stop(&lifecycle, 10 * SECOND_US);
	rr_request_stop(&lifecycle, 12 * SECOND_US);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 12 * SECOND_US, 0, 0),
			 RR_STOP_KEEP_SERVING);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 13 * SECOND_US, 2, 5),
			 RR_STOP_CLOSE_IDLE);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 13 * SECOND_US, 0, 1),
			 RR_STOP_CLOSE_IDLE);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 13 * SECOND_US, 0, 0),
			 RR_STOP_EXIT);
	assert_int_equal(rr_find_stop_phase(&lifecycle, 15 * SECOND_US, 2, 5),
			 RR_STOP_CLOSE_IDLE);
	assert_int_equal(
		rr_find_stop_phase(&lifecycle, 10 * SECOND_US + 5900000, 2, 5),
		RR_STOP_EXIT);
}

/* Guards against requests that are answered only after the exit. */
static void test_answers_end_before_exit(void **state)
{
	struct rr_lifecycle lifecycle = { .stop_timeout_ms = 6000 };

	(void)state;
	assert_true(rr_stop_answer_by_us(&lifecycle) == INT64_MAX);
	rr_request_stop(&lifecycle, 10 * SECOND_US);
	assert_true(rr_find_stop_phase(&lifecycle,
				       rr_stop_answer_by_us(&lifecycle) + 50000,
				       1, 1) != RR_STOP_EXIT);
	assert_true(rr_stop_answer_by_us(&lifecycle) > 15 * SECOND_US);
}

/*
 * Guards against accepting requests until the very end of a stop. Callers that
 * are not routed elsewhere still send requests; one was read, sent to a replica
 * and interrupted 15 ms later, when the process exited.
 */
static void test_new_requests_rejected_before_exit(void **state)
{
	struct rr_lifecycle lifecycle = { .stop_timeout_ms = 6000 };

	rr_request_stop(&lifecycle, 10 * SECOND_US);
	assert_int_equal(
		rr_find_stop_phase(&lifecycle, 10 * SECOND_US + 5050000, 2, 5),
		RR_STOP_CLOSE_IDLE);
	assert_int_equal(
		rr_find_stop_phase(&lifecycle, 10 * SECOND_US + 5150000, 2, 5),
		RR_STOP_REJECT_NEW);
	assert_int_equal(
		rr_find_stop_phase(&lifecycle, 10 * SECOND_US + 5550000, 0, 1),
		RR_STOP_REJECT_NEW);
	assert_int_equal(
		rr_find_stop_phase(&lifecycle, 10 * SECOND_US + 5550000, 0, 0),
		RR_STOP_EXIT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ready_while_serving),
		cmocka_unit_test(test_stop_phases),
		cmocka_unit_test(test_answers_end_before_exit),
		cmocka_unit_test(test_new_requests_rejected_before_exit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
