/*
 * test-platform-load.c - decoding of the load header of replicas.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "platform/platform.h"

static void test_valid_load(void **state)
{
	struct rr_gate_load load;

	(void)state;
	assert_true(rr_decode_load("3,0,8", &load));
	assert_int_equal(load.running, 3);
	assert_int_equal(load.slots, 8);
	assert_int_equal(load.pace_percent, 100);
	assert_true(rr_decode_load(" 2, 11 ,2,830 ", &load));
	assert_int_equal(load.waiting, 11);
	assert_int_equal(load.pace_percent, 830);
}

/* Guards against a malformed header that is accepted as a load. */
static void test_malformed_load(void **state)
{
	static const char *const texts[] = {
		"",	   "3",		  "3,0",    "3,0,0",
		"3,0,8,0", "3,0,8,100,7", "-1,0,8", "3,0,8x",
		"3,,8",	   "3,0,8,",	  "a,b,c",  "1,1,99999999999"
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct rr_gate_load load = { .reported = true };

		assert_false(rr_decode_load(texts[i], &load));
		assert_false(load.reported);
	}
}

/* Guards against a malformed era that would pass for a restored store. */
static void test_store_era(void **state)
{
	static const char *const malformed[] = { "",  "0",  "-1", "+2",
						 "x", "2x", "2 ", "2,3" };

	(void)state;
	assert_int_equal(rr_decode_store_era("7"), 7);
	assert_int_equal(rr_decode_store_era(NULL), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		assert_int_equal(rr_decode_store_era(malformed[i]), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_load),
		cmocka_unit_test(test_malformed_load),
		cmocka_unit_test(test_store_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
