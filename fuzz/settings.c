/*
 * settings.c - fuzz target: the operators' base file and an overlay, with a
 * line of "%%" between the two.
 */
#include <stdlib.h>
#include <string.h>

#include "ragwort/settings.h"

#define SEPARATOR "\n%%\n"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	const char *text = (const char *)data;
	const char *second =
		length ? g_strstr_len(text, (gssize)length, SEPARATOR) : NULL;
	struct rr_settings_source base = { "base.yaml", text, length };
	struct rr_settings_source overlay = { "overlay.yaml", NULL, 0 };
	GPtrArray *faults = rr_new_diagnostics();
	struct rr_config *config;

	if (second) {
		base.length = (size_t)(second - text);
		overlay.text = second + strlen(SEPARATOR);
		overlay.length = length - base.length - strlen(SEPARATOR);
	}
	config = rr_parse_config(&base, second ? &overlay : NULL, "nairobi",
				 faults);
	if ((config == NULL) != (faults->len > 0))
		abort();
	rr_drop_config(config);
	g_ptr_array_unref(faults);
	return 0;
}
