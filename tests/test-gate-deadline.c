/*
 * test-gate-deadline.c - tests of response deadlines.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support/gate-fixture.h"

/* Return the time that a search without one of its four parts takes. */
static int64_t measure_answer_us(bool is_new_connection)
{
	struct gate_fixture *fixture = test_start_gate(&test_search_route);
	int64_t start_us = fixture->now_us;
	int64_t elapsed_us;

	fixture->new_connection = is_new_connection;
	test_submit(fixture, "/search/1", 900);
	test_advance_time(fixture, 5 * TEST_MS);
	for (guint i = 0; i < 3; i++)
		test_reply(fixture, test_attempt_at(fixture, i),
			   RR_GATE_ANSWERED, 200);
	test_advance_time(fixture, 200 * TEST_MS);
	assert_int_equal(test_last_answer(fixture)->status, 200);
	assert_int_equal(test_last_answer(fixture)->missing, 1);
	elapsed_us = test_last_answer(fixture)->at_us - start_us;
	test_free_gate(fixture);
	return elapsed_us;
}

/*
 * A caller that opens a connection for its search waits one round trip for it.
 * Guards against an answer that is sent as late as on a reused connection:
 * with the same parts it arrives late and is worth a tenth.
 */
static void test_new_connection_shortens_deadline(void **state)
{
	/* The fixture's callers have a round-trip time of 2 ms. */
	assert_int_equal(measure_answer_us(false) - measure_answer_us(true),
			 2 * TEST_MS);
}

/*
 * Guards against requests that a planned stop interrupts, since their deadlines
 * are later than the exit: without an answer, their callers know nothing.
 */
static void test_stop_answers_open_requests(void **state)
{
	struct gate_fixture *fixture =
		test_start_gate(&test_non_idempotent_route);
	int64_t exit_us = fixture->now_us + 2000 * TEST_MS;
	uint64_t before = test_submit(fixture, "/once/1", 9000);
	uint64_t after;

	(void)state;
	rr_gate_limit_answers(fixture->gate, fixture->now_us, exit_us);
	after = test_submit(fixture, "/once/2", 9000);
	test_advance_time(fixture, 1900 * TEST_MS);
	assert_int_equal(fixture->answers->len, 0);
	test_advance_time(fixture, 101 * TEST_MS);
	assert_int_equal(fixture->answers->len, 2);
	for (guint i = 0; i < 2; i++) {
		const struct test_answer *answer =
			g_ptr_array_index(fixture->answers, i);

		assert_true(answer->request == before ||
			    answer->request == after);
		assert_int_equal(answer->status, 504);
		assert_true(answer->at_us <= exit_us + TEST_MS);
	}
	test_free_gate(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_connection_shortens_deadline),
		cmocka_unit_test(test_stop_answers_open_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
