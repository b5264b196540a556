/*
 * start-file.c - reading of an instance's start file.
 */
#include "daemon/daemon.h"

struct rr_start_settings *
rr_read_start_file(const char *file, GPtrArray *diagnostics, GError **error)
{
	struct rr_settings_source source = { .file = file };
	struct rr_start_settings *settings;
	char *text;

	if (!g_file_get_contents(file, &text, &source.length, error))
		return NULL;
	source.text = text;
	settings = rr_parse_start_settings(&source, diagnostics);
	g_free(text);
	return settings;
}
