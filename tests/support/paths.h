/*
 * paths.h - Paths of programs and source files for tests.
 *
 * They are derived from the path of the running test, BUILD/tests/NAME, where
 * BUILD is a directory at the top of the source tree.
 */
#ifndef TESTS_SUPPORT_PATHS_H
#define TESTS_SUPPORT_PATHS_H

/*
 * Return the path of a file in the source tree, such as "docs/SETTINGS.md";
 * free it with g_free().
 */
char *rr_source_path(const char *name);
/*
 * Return the path of a program of the same build, such as "ragwort"; free it
 * with g_free().
 */
char *rr_build_path(const char *name);
/* Assert that a committed page equals the text that the program generates. */
void rr_assert_page_is_current(const char *name, const char *generated);

#endif
