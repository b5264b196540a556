/*
 * start-settings.c - Fuzz target: an instance's start file.
 */
#include <stdlib.h>

#include "ragwort/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	struct rr_settings_source source = { "start.yaml", (const char *)data,
					     length };
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_start_settings *settings =
		rr_parse_start_settings(&source, diagnostics);

	if ((settings == NULL) != (diagnostics->len > 0))
		abort();
	rr_drop_start_settings(settings);
	g_ptr_array_unref(diagnostics);
	return 0;
}
