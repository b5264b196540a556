/*
 * paths.c - Paths of programs and source files for tests.
 */
#include "support/paths.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

static char *find_build_directory(void)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *tests = g_path_get_dirname(self);
	char *build = g_path_get_dirname(tests);

	g_free(self);
	g_free(tests);
	return build;
}

char *rr_source_path(const char *name)
{
	char *build = find_build_directory();
	char *root = g_path_get_dirname(build);
	char *path = g_build_filename(root, name, NULL);

	g_free(build);
	g_free(root);
	return path;
}

char *rr_build_path(const char *name)
{
	char *build = find_build_directory();
	char *path = g_build_filename(build, name, NULL);

	g_free(build);
	return path;
}

void rr_assert_page_is_current(const char *name, const char *generated)
{
	char *path = rr_source_path(name);
	char *page = NULL;

	assert_true(g_file_get_contents(path, &page, NULL, NULL));
	assert_string_equal(page, generated);
	g_free(page);
	g_free(path);
}
