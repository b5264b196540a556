/*
 * test-retry-budget.c - extra attempts within a sliding window.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/retry-budget.h"

#define SECOND ((int64_t)1000000)
#define WINDOW (10 * SECOND)
#define RATIO 0.2
#define SLACK 30

static struct rr_retry_budget started(int64_t began_us)
{
	struct rr_retry_budget allowance;

	rr_init_retry_budget(&allowance, WINDOW, began_us);
	rr_set_retry_budget(&allowance, RATIO, SLACK);
	return allowance;
}

static int take_all(struct rr_retry_budget *allowance, int64_t now_us)
{
	int n = 0;

	while (rr_take_extra(allowance, now_us))
		n++;
	return n;
}

/*
 * Story: replicas shed for nine seconds, twice, with seconds between.  Saved
 * tokens were spent on the first spell, and in the second one searches failed
 * though the service was owed its slack anew.
 */
static void test_second_spell_has_its_slack(void **state)
{
	struct rr_retry_budget allowance = started(0);

	assert_int_equal(take_all(&allowance, 20 * SECOND), SLACK);
	assert_int_equal(take_all(&allowance, 29 * SECOND), 0);
	assert_int_equal(take_all(&allowance, 31 * SECOND), SLACK);
}

/* Whatever is asked when, no window that ends with an extra attempt has more. */
static void test_any_window(void **state)
{
	struct rr_retry_budget allowance = started(0);
	GRand *rand = g_rand_new_with_seed(5);
	GArray *spent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *earned = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t now = 15 * SECOND;

	for (int i = 0; i < 20000; i++) {
		guint in_window = 0;
		guint requests = 0;

		now += g_rand_int_range(rand, 0, 20000);
		if (g_rand_boolean(rand)) {
			rr_earn_extra(&allowance, now);
			g_array_append_val(earned, now);
		}
		if (g_rand_int_range(rand, 0, 3) ||
		    !rr_take_extra(&allowance, now))
			continue;
		g_array_append_val(spent, now);
		for (guint k = spent->len; k > 0; k--)
			in_window += g_array_index(spent, int64_t, k - 1) >=
				     now - WINDOW;
		for (guint k = earned->len; k > 0; k--)
			requests += g_array_index(earned, int64_t, k - 1) >=
				    now - WINDOW;
		assert_true(in_window <= RATIO * requests + SLACK);
	}
	assert_true(spent->len > 20);
	g_array_unref(spent);
	g_array_unref(earned);
	g_rand_free(rand);
}

/*
 * Story: an instance spends its slack, is killed and is back within a second.
 * Its predecessor's attempts still count: it has no slack for a window, and
 * only what its own requests earn.
 */
static void test_restart_has_no_slack(void **state)
{
	struct rr_retry_budget allowance = started(50 * SECOND);

	assert_int_equal(take_all(&allowance, 51 * SECOND), 0);
	for (int i = 0; i < 10; i++)
		rr_earn_extra(&allowance, 52 * SECOND);
	assert_int_equal(take_all(&allowance, 52 * SECOND), 2);
	assert_int_equal(take_all(&allowance, 63 * SECOND), SLACK);
}

/* More instances than thought: what was spent stays counted. */
static void test_smaller_share(void **state)
{
	struct rr_retry_budget allowance = started(0);

	assert_int_equal(take_all(&allowance, 20 * SECOND), SLACK);
	rr_set_retry_budget(&allowance, RATIO, SLACK / 2.0);
	assert_true(rr_extras_left(&allowance, 20 * SECOND) < 0);
	assert_float_equal(rr_extras_used_fraction(&allowance, 20 * SECOND), 1,
			   1e-9);
	assert_int_equal(take_all(&allowance, 31 * SECOND), SLACK / 2);
}

static void test_returned_ones_count_no_more(void **state)
{
	struct rr_retry_budget allowance = started(0);

	assert_int_equal(take_all(&allowance, 20 * SECOND), SLACK);
	rr_return_extra(&allowance, 22 * SECOND);
	assert_int_equal(take_all(&allowance, 22 * SECOND), 1);
	/* Where none is counted, nothing happens. */
	rr_return_extra(&allowance, 99 * SECOND);
	assert_int_equal(take_all(&allowance, 99 * SECOND), SLACK);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_second_spell_has_its_slack),
		cmocka_unit_test(test_any_window),
		cmocka_unit_test(test_restart_has_no_slack),
		cmocka_unit_test(test_smaller_share),
		cmocka_unit_test(test_returned_ones_count_no_more),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
