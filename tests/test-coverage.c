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
 * Story: during a split a search said "complete" though the keys between two
 * replies were in neither.  The replies came in any order, some overlapping.
 * Cause: coverage was counted per shard and not per key.
 */
static void test_random_unions(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	(void)state;
	for (int round = 0; round < 2000; round++) {
		struct rr_coverage *coverage = rr_new_coverage();
		bool held[KEYS] = { false };

		for (int i = 0; i < 6; i++) {
			struct rr_key_range range = {
				.from = g_rand_int_range(random, 0, KEYS),
				.to = g_rand_int_range(random, 0, KEYS),
			};

			for (uint64_t k = range.from; k < range.to; k++)
				held[k] = true;
			rr_add_range(coverage, range);
		}
		for (uint64_t from = 0; from < KEYS; from += 5) {
			struct rr_key_range within = { from, KEYS };
			struct rr_key_range hole;
			uint64_t k = from;

			while (k < KEYS && held[k])
				k++;
			assert_int_equal(rr_covers_key(coverage, from),
					 held[from]);
			assert_int_equal(
				rr_find_first_gap(coverage, within, &hole),
				k < KEYS);
			if (k == KEYS)
				continue;
			assert_int_equal(hole.from, k);
			while (k < KEYS && !held[k])
				k++;
			assert_int_equal(hole.to, k);
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
