/*
 * test-compress.c - what is packed comes back, and nothing else does.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "wire/compress.h"

#define MOST 1000000

static void assert_comes_back(const char *bytes, size_t length)
{
	char *text = rr_compress_to_base64((const uint8_t *)bytes, length);
	size_t got;
	char *back = rr_decompress_base64(text, MOST, &got);

	assert_non_null(back);
	assert_int_equal(got, length);
	assert_memory_equal(back, bytes, length);
	assert_int_equal(back[got], 0);
	g_free(back);
	g_free(text);
}

static void test_what_was_packed_comes_back(void **state)
{
	char *repeated = g_strnfill(500000, 'r');
	char *packed = rr_compress_to_base64((const uint8_t *)repeated, 500000);

	(void)state;
	assert_comes_back("", 0);
	assert_comes_back("{\"version\":7}", 13);
	assert_comes_back("a\0b", 3);
	assert_comes_back(repeated, 500000);
	assert_true(strlen(packed) < 500000 / 50);
	g_free(packed);
	g_free(repeated);
}

static void test_what_is_not_packed(void **state)
{
	static const char *const texts[] = { "", "no base64 at all",
					     "e30=", "eJwDAAAA" /* cut */ };
	size_t length;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_null(rr_decompress_base64(texts[i], MOST, &length));
}

/*
 * Story: an instance with a fault tells 20 KB that unpack to gigabytes.
 * Whoever asked it must not run out of memory for that.
 */
static void test_too_much_is_refused(void **state)
{
	char *repeated = g_strnfill(20000, 'r');
	char *packed = rr_compress_to_base64((const uint8_t *)repeated, 20000);
	size_t length;
	char *back = rr_decompress_base64(packed, 20000, &length);

	(void)state;
	assert_non_null(back);
	assert_null(rr_decompress_base64(packed, 19999, &length));
	g_free(back);
	g_free(packed);
	g_free(repeated);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_what_was_packed_comes_back),
		cmocka_unit_test(test_what_is_not_packed),
		cmocka_unit_test(test_too_much_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
