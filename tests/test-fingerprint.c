/*
 * test-fingerprint.c - equality and text form of fingerprints.
 *
 * Repeats of a request have the same fingerprint, different requests have
 * different ones.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/fingerprint.h"

static struct rr_fingerprint_parts parts_of(const char *method,
					    const char *host, const char *path,
					    const char *credentials,
					    const char *body)
{
	return (struct rr_fingerprint_parts){
		.method = method,
		.host = host,
		.path = path,
		.path_length = strlen(path),
		.credentials = credentials,
		.body = (const uint8_t *)body,
		.body_length = body ? strlen(body) : 0,
	};
}

static void test_repeat_has_the_same_fingerprint(void **state)
{
	char *copied = g_strdup("/a/1?b=2");
	struct rr_fingerprint_parts a =
		parts_of("POST", "h", "/a/1?b=2", "token", "body");
	struct rr_fingerprint_parts b =
		parts_of("POST", "h", copied, "token", "body");
	struct rr_fingerprint x = rr_fingerprint(&a);
	struct rr_fingerprint y = rr_fingerprint(&b);

	(void)state;
	assert_true(rr_is_fingerprint_set(&x));
	assert_true(rr_same_fingerprint(&x, &y));
	g_free(copied);
}

static void test_every_part_is_hashed(void **state)
{
	const struct rr_fingerprint_parts all[] = {
		parts_of("POST", "h", "/a/1", "token", "body"),
		parts_of("GET", "h", "/a/1", "token", "body"),
		parts_of("POST", "g", "/a/1", "token", "body"),
		parts_of("POST", "h", "/a/2", "token", "body"),
		parts_of("POST", "h", "/a/1", "other", "body"),
		parts_of("POST", "h", "/a/1", NULL, "body"),
		parts_of("POST", "h", "/a/1", "token", NULL),
		/* The same bytes, divided differently between the parts. */
		parts_of("POST", "h", "/a/1token", "", "body"),
		parts_of("POST", "h", "/a/1", "", "tokenbody"),
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(all); i++) {
		for (gsize j = 0; j < i; j++) {
			struct rr_fingerprint x = rr_fingerprint(&all[i]);
			struct rr_fingerprint y = rr_fingerprint(&all[j]);

			assert_false(rr_same_fingerprint(&x, &y));
		}
	}
}

static void test_text_form(void **state)
{
	struct rr_fingerprint x = { 0x1234abcd, 0xfe00000000000001 };
	struct rr_fingerprint y;
	char text[RR_FINGERPRINT_TEXT_SIZE];

	(void)state;
	assert_string_equal(rr_format_fingerprint(&x, text),
			    "000000001234abcdfe00000000000001");
	assert_true(rr_parse_fingerprint(text, &y));
	assert_true(rr_same_fingerprint(&x, &y));
	assert_false(rr_parse_fingerprint("", &y));
	assert_false(
		rr_parse_fingerprint("000000001234ABCDfe00000000000001", &y));
	assert_false(
		rr_parse_fingerprint("00000000000000000000000000000000", &y));
	assert_false(
		rr_parse_fingerprint("000000001234abcdfe000000000000011", &y));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeat_has_the_same_fingerprint),
		cmocka_unit_test(test_every_part_is_hashed),
		cmocka_unit_test(test_text_form),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
