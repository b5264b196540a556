/*
 * settings.c - Fuzz target: the operators' base file and an overlay.
 *
 * A line of "%%" separates the two files in the input.
 */
#include <stdlib.h>
#include <string.h>

#include "ragwort/settings.h"

#define SEPARATOR "\n%%\n"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	const char *text = (const char *)data;
	const char *separator =
		length ? g_strstr_len(text, (gssize)length, SEPARATOR) : NULL;
	struct rr_settings_source base = { "base.yaml", text, length };
	struct rr_settings_source overlay = { "overlay.yaml", NULL, 0 };
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_config *config;

	if (separator) {
		base.length = (size_t)(separator - text);
		overlay.text = separator + strlen(SEPARATOR);
		overlay.length = length - base.length - strlen(SEPARATOR);
	}
	config = rr_parse_config(&base, separator ? &overlay : NULL, "nairobi",
				 diagnostics);
	if ((config == NULL) != (diagnostics->len > 0))
		abort();
	rr_drop_config(config);
	g_ptr_array_unref(diagnostics);
	return 0;
}
