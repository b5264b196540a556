/*
 * test-compress.c - round trips of compressed text, and invalid text.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "wire/compress.h"

#define MAX_BYTES 1000000

static void assert_round_trip(const char *bytes, size_t length)
{
	char *text = rr_compress_to_base64((const uint8_t *)bytes, length);
	size_t decompressed_length;
	char *decompressed =
		rr_decompress_base64(text, MAX_BYTES, &decompressed_length);

	assert_non_null(decompressed);
	assert_int_equal(decompressed_length, length);
	assert_memory_equal(decompressed, bytes, length);
	assert_int_equal(decompressed[decompressed_length], 0);
	g_free(decompressed);
	g_free(text);
}

static void test_round_trips(void **state)
{
	char *repeated = g_strnfill(500000, 'r');
	char *compressed =
		rr_compress_to_base64((const uint8_t *)repeated, 500000);

	(void)state;
	assert_round_trip("", 0);
	assert_round_trip("{\"version\":7}", 13);
	assert_round_trip("a\0b", 3);
	assert_round_trip(repeated, 500000);
	assert_true(strlen(compressed) < 500000 / 50);
	g_free(compressed);
	g_free(repeated);
}

static void test_invalid_text_is_rejected(void **state)
{
	static const char *const texts[] = { "", "no base64 at all", "e30=",
					     "eJwDAAAA" /* truncated */ };
	size_t length;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_null(rr_decompress_base64(texts[i], MAX_BYTES, &length));
}

/*
 * A faulty instance sends 20 KB that decompress to gigabytes, and the receiver
 * runs out of memory.
 */
static void test_output_over_the_limit_is_rejected(void **state)
{
	char *repeated = g_strnfill(20000, 'r');
	char *compressed =
		rr_compress_to_base64((const uint8_t *)repeated, 20000);
	size_t length;
	char *decompressed = rr_decompress_base64(compressed, 20000, &length);

	(void)state;
	assert_non_null(decompressed);
	assert_null(rr_decompress_base64(compressed, 19999, &length));
	g_free(decompressed);
	g_free(compressed);
	g_free(repeated);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trips),
		cmocka_unit_test(test_invalid_text_is_rejected),
		cmocka_unit_test(test_output_over_the_limit_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
