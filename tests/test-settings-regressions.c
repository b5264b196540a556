/*
 * test-settings-regressions.c - settings files that fuzzing found.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "ragwort/settings.h"

/*
 * Story: an operator writes a dash too many, so that `defaults` is a list,
 * in the base and in the overlay.  `ragwort check` crashes and says nothing;
 * so does an instance that is handed the record.  Cause: lists are laid over
 * each other by the name of their elements, which defaults have none of.
 */
static void test_defaults_as_lists(void **state)
{
	static const char text[] = "defaults:\n  - deadline_ms: 400\n";
	struct rr_settings_source base = { "base.yaml", text, strlen(text) };
	struct rr_settings_source overlay = { "overlay.yaml", text,
					      strlen(text) };
	GPtrArray *faults = rr_new_diagnostics();
	struct rr_config *config =
		rr_parse_config(&base, &overlay, "nairobi", faults);

	(void)state;
	assert_null(config);
	assert_true(faults->len > 0);
	g_ptr_array_unref(faults);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_defaults_as_lists),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
