/*
 * test-settings-regressions.c - tests of settings files found by fuzzing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "ragwort/settings.h"

/*
 * Guards against a crash of `ragwort check`, and of an instance that reads the
 * record, if an extra dash makes `defaults` a list in both base and overlay.
 * Lists are merged by the identity of their elements, and elements of
 * `defaults` have no identity.
 */
static void test_defaults_as_lists(void **state)
{
	static const char text[] = "defaults:\n  - deadline_ms: 400\n";
	struct rr_settings_source base = { "base.yaml", text, strlen(text) };
	struct rr_settings_source overlay = { "overlay.yaml", text,
					      strlen(text) };
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_config *config =
		rr_parse_config(&base, &overlay, "nairobi", diagnostics);

	(void)state;
	assert_null(config);
	assert_true(diagnostics->len > 0);
	g_ptr_array_unref(diagnostics);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_defaults_as_lists),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
