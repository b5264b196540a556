/*
 * test-gather.c - merged records, and the decision when to stop waiting for
 * parts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/gather.h"

#define MS 1000

static void add(struct rr_top_records *top, const char *letters)
{
	size_t n = strlen(letters);
	uint8_t *body = g_malloc(n * RR_RECORD_BYTES + 1);

	for (size_t i = 0; i < n; i++)
		memset(body + i * RR_RECORD_BYTES, letters[i], RR_RECORD_BYTES);
	rr_add_part_records(top, body, n * RR_RECORD_BYTES);
	g_free(body);
}

static void assert_top(const struct rr_top_records *top, const char *letters)
{
	assert_int_equal(top->n, strlen(letters));
	for (size_t i = 0; i < top->n; i++)
		assert_int_equal(top->records[i * RR_RECORD_BYTES], letters[i]);
}

static void test_greatest_records_descending(void **state)
{
	struct rr_top_records top;

	rr_init_top_records(&top, 4);
	add(&top, "cab");
	assert_top(&top, "cba");
	add(&top, "xy");
	assert_top(&top, "yxcb");
	add(&top, "aa");
	assert_top(&top, "yxcb");
	rr_clear_top_records(&top);
}

static void test_equal_records_all_count(void **state)
{
	struct rr_top_records top;

	rr_init_top_records(&top, 4);
	add(&top, "bb");
	add(&top, "bab");
	assert_top(&top, "bbbb");
	rr_clear_top_records(&top);
}

/* Bytes are compared as unsigned: 0xff is greater than 'z'. */
static void test_bytes_are_unsigned(void **state)
{
	struct rr_top_records top;
	uint8_t high[RR_RECORD_BYTES];

	memset(high, 0xff, sizeof(high));
	rr_init_top_records(&top, 2);
	add(&top, "z");
	rr_add_part_records(&top, high, sizeof(high));
	assert_int_equal(top.records[0], 0xff);
	rr_clear_top_records(&top);
}

static void test_trailing_bytes_are_ignored(void **state)
{
	struct rr_top_records top;
	uint8_t bytes[RR_RECORD_BYTES + 7] = { 1 };

	rr_init_top_records(&top, 2);
	rr_add_part_records(&top, bytes, sizeof(bytes));
	assert_int_equal(top.n, 1);
	rr_add_part_records(&top, bytes, 7);
	assert_int_equal(top.n, 1);
	rr_clear_top_records(&top);
}

static void test_against_sorting(void **state)
{
	GRand *rand = g_rand_new_with_seed(3);

	for (int round = 0; round < 200; round++) {
		struct rr_top_records top;
		char letters[65] = "";
		char sorted[65];
		int n = g_rand_int_range(rand, 0, 64);
		size_t capacity = (size_t)g_rand_int_range(rand, 1, 24);

		rr_init_top_records(&top, capacity);
		for (int i = 0; i < n; i++)
			letters[i] = (char)g_rand_int_range(rand, 'a', 'j');
		add(&top, letters);
		memcpy(sorted, letters, sizeof(sorted));
		for (int i = 0; i < n; i++) {
			for (int j = i + 1; j < n; j++) {
				if (sorted[j] > sorted[i]) {
					char swapped = sorted[i];

					sorted[i] = sorted[j];
					sorted[j] = swapped;
				}
			}
		}
		sorted[MIN((size_t)n, capacity)] = '\0';
		assert_top(&top, sorted);
		rr_clear_top_records(&top);
	}
	g_rand_free(rand);
}

static void test_required_parts(void **state)
{
	assert_int_equal(rr_required_parts(20, 0.89), 18);
	assert_int_equal(rr_required_parts(20, 0.75), 15);
	assert_int_equal(rr_required_parts(100, 0.89), 89);
	assert_int_equal(rr_required_parts(90, 0.95), 86);
	assert_int_equal(rr_required_parts(30, 1), 30);
	assert_int_equal(rr_required_parts(3, 0), 1);
}

static enum rr_gather_step decide(size_t answered, size_t failed,
				  size_t unreachable, int64_t now_us)
{
	struct rr_gather_state state = {
		.now_us = now_us,
		.answer_by_us = 35 * MS,
		.parts = 20,
		.answered = answered,
		.failed = failed,
		.unreachable = unreachable,
		.required = 15,
	};

	return rr_decide_gather(&state);
}

static void test_waits_until_the_objective(void **state)
{
	assert_int_equal(decide(0, 0, 0, 0), RR_GATHER_WAIT);
	assert_int_equal(decide(19, 0, 0, 34 * MS), RR_GATHER_WAIT);
	assert_int_equal(decide(19, 0, 0, 35 * MS), RR_GATHER_ANSWER);
	assert_int_equal(decide(20, 0, 0, 5 * MS), RR_GATHER_ANSWER);
	assert_int_equal(decide(18, 2, 0, 5 * MS), RR_GATHER_ANSWER);
}

/*
 * Too few parts at the objective: the deadline is seconds away, and a late
 * answer is better than none.
 */
static void test_waits_for_required_parts(void **state)
{
	assert_int_equal(decide(14, 0, 0, 35 * MS), RR_GATHER_WAIT);
	assert_int_equal(decide(14, 5, 0, 200 * MS), RR_GATHER_WAIT);
	assert_int_equal(decide(15, 0, 0, 200 * MS), RR_GATHER_ANSWER);
}

static void test_fails_once_required_parts_are_impossible(void **state)
{
	assert_int_equal(decide(0, 6, 0, 1 * MS), RR_GATHER_FAIL);
	assert_int_equal(decide(14, 6, 0, 1 * MS), RR_GATHER_FAIL);
	assert_int_equal(decide(0, 5, 0, 1 * MS), RR_GATHER_WAIT);
}

/* A part that is known to be unreachable is not awaited. */
static void test_unreachable_parts_are_not_awaited(void **state)
{
	assert_int_equal(decide(18, 0, 2, 5 * MS), RR_GATHER_ANSWER);
	assert_int_equal(decide(17, 0, 2, 5 * MS), RR_GATHER_WAIT);
	assert_int_equal(decide(14, 0, 6, 5 * MS), RR_GATHER_WAIT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_greatest_records_descending),
		cmocka_unit_test(test_equal_records_all_count),
		cmocka_unit_test(test_bytes_are_unsigned),
		cmocka_unit_test(test_trailing_bytes_are_ignored),
		cmocka_unit_test(test_against_sorting),
		cmocka_unit_test(test_required_parts),
		cmocka_unit_test(test_waits_until_the_objective),
		cmocka_unit_test(test_waits_for_required_parts),
		cmocka_unit_test(test_fails_once_required_parts_are_impossible),
		cmocka_unit_test(test_unreachable_parts_are_not_awaited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
