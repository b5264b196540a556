/*
 * test-coverage.c - unions of key ranges.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwort/coverage.h"

#define KEYS 64

/*
 * Compares unions of random ranges, in any order and overlapping, with an array
 * of keys.  Guards against coverage that is counted per shard instead of per
 * key: during a split a search was reported as complete though keys between two
 * replies were covered by neither.
 */
static void test_random_unions(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	(void)state;
	for (int round = 0; round < 2000; round++) {
		struct rr_coverage *coverage = rr_new_coverage();
		bool covered[KEYS] = { false };

		for (int i = 0; i < 6; i++) {
			struct rr_key_range range = {
				.from = g_rand_int_range(random, 0, KEYS),
				.to = g_rand_int_range(random, 0, KEYS),
			};

			for (uint64_t k = range.from; k < range.to; k++)
				covered[k] = true;
			rr_add_range(coverage, range);
		}
		for (uint64_t from = 0; from < KEYS; from += 5) {
			struct rr_key_range within = { from, KEYS };
			struct rr_key_range gap;
			uint64_t k = from;

			while (k < KEYS && covered[k])
				k++;
			assert_int_equal(rr_covers_key(coverage, from),
					 covered[from]);
			assert_int_equal(
				rr_find_first_gap(coverage, within, &gap),
				k < KEYS);
			if (k == KEYS)
				continue;
			assert_int_equal(gap.from, k);
			while (k < KEYS && !covered[k])
				k++;
			assert_int_equal(gap.to, k);
		}
		rr_drop_coverage(coverage);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_unions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
