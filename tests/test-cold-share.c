/*
 * test-cold-share.c - shares of instances in the rate limit of a cold replica.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/cold-share.h"
#include "ragwort/owner.h"

#define MS ((int64_t)1000)
#define SECOND_MS 1000

/* Returns the rank of the i-th of `n` instances in the order of a replica. */
static uint32_t find_rank(const char *replica, uint32_t i, uint32_t n)
{
	char *self = g_strdup_printf("inst%u", i);
	uint64_t own_weight = rr_rendezvous_weight(replica, self);
	uint32_t rank = 0;

	for (uint32_t j = 0; j < n; j++) {
		char *other = g_strdup_printf("inst%u", j);

		rank += j != i &&
			rr_rendezvous_weight(replica, other) >= own_weight;
		g_free(other);
	}
	g_free(self);
	return rank;
}

static uint32_t sum_shares(const char *replica, double max_per_s, uint32_t n)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < n; i++)
		sum += rr_cold_share(max_per_s, n, find_rank(replica, i, n));
	return sum;
}

/* Guards against shares that add up to more than the limit of a replica. */
static void test_shares_add_up_within_the_limit(void **state)
{
	static const uint32_t sizes[] = { 1, 3, 9, 74, 300 };
	static const double limits[] = { 0.5, 1, 4.9, 17, 41 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(limits); j++)
			assert_true(sum_shares("i-1@5", limits[j], sizes[i]) <=
				    limits[j]);
	}
}

/* Guards against a large fleet in which each share is rounded down to 0. */
static void test_large_fleet_uses_the_whole_limit(void **state)
{
	(void)state;
	assert_int_equal(sum_shares("i-1@5", 17, 300), 17);
	assert_int_equal(sum_shares("i-2@5", 17.9, 74), 17);
	assert_int_equal(sum_shares("i-3@5", 17, 3), 17);
}

/* Guards against two bursts within the same second. */
static void test_share_holds_in_any_second(void **state)
{
	struct rr_cold_window window = { 0 };
	int64_t sent_ms[400];
	guint n = 0;

	(void)state;
	for (int64_t now_ms = 0; now_ms < 9000; now_ms += 7) {
		if (!rr_cold_window_has_room(&window, now_ms * MS, 5))
			continue;
		rr_add_to_cold_window(&window, now_ms * MS);
		sent_ms[n++] = now_ms;
	}
	assert_in_range(n, 35, 45);
	for (guint i = 5; i < n; i++)
		assert_true(sent_ms[i] - sent_ms[i - 5] > SECOND_MS);
}

static void test_no_share_sends_nothing(void **state)
{
	struct rr_cold_window window = { 0 };

	(void)state;
	assert_false(rr_cold_window_has_room(&window, 5000 * MS, 0));
	assert_int_equal(rr_cold_share(0.7, 3, 0), 0);
	assert_int_equal(rr_cold_share(1e9, 1, 0), RR_COLD_MAX_PER_S);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares_add_up_within_the_limit),
		cmocka_unit_test(test_large_fleet_uses_the_whole_limit),
		cmocka_unit_test(test_share_holds_in_any_second),
		cmocka_unit_test(test_no_share_sends_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
