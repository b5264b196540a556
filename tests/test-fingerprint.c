/*
 * test-fingerprint.c - repeats of a request have one fingerprint, other
 * requests have others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "wire/fingerprint.h"

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

static void test_a_repeat_has_the_same(void **state)
{
	struct rr_fingerprint_parts a =
		parts_of("POST", "h", "/a/1?b=2", "token", "body");
	char *copied = g_strdup("/a/1?b=2");
	struct rr_fingerprint_parts b =
		parts_of("POST", "h", copied, "token", "body");

	(void)state;
	assert_true(rr_fingerprint(&a) == rr_fingerprint(&b));
	g_free(copied);
}

static void test_each_part_counts(void **state)
{
	const struct rr_fingerprint_parts all[] = {
		parts_of("POST", "h", "/a/1", "token", "body"),
		parts_of("GET", "h", "/a/1", "token", "body"),
		parts_of("POST", "g", "/a/1", "token", "body"),
		parts_of("POST", "h", "/a/2", "token", "body"),
		parts_of("POST", "h", "/a/1", "other", "body"),
		parts_of("POST", "h", "/a/1", NULL, "body"),
		parts_of("POST", "h", "/a/1", "token", NULL),
		/* The same bytes, divided in another way. */
		parts_of("POST", "h", "/a/1token", "", "body"),
		parts_of("POST", "h", "/a/1", "", "tokenbody"),
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(all); i++) {
		for (gsize j = 0; j < i; j++)
			assert_true(rr_fingerprint(&all[i]) !=
				    rr_fingerprint(&all[j]));
	}
}

static void test_text(void **state)
{
	char text[RR_FINGERPRINT_TEXT];

	(void)state;
	assert_string_equal(rr_format_fingerprint(0x1234abcd, text),
			    "000000001234abcd");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_repeat_has_the_same),
		cmocka_unit_test(test_each_part_counts),
		cmocka_unit_test(test_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
