/*
 * paths.h - where a test finds the programs and the files of its checkout.
 *
 * A test is BUILD/tests/NAME, and BUILD stands in the checkout.
 */
#ifndef TESTS_SUPPORT_PATHS_H
#define TESTS_SUPPORT_PATHS_H

/* A file of the checkout, such as "docs/SETTINGS.md"; g_free() it. */
char *rr_source_path(const char *name);
/* A program of the same build, such as "ragwort"; g_free() it. */
char *rr_build_path(const char *name);
/* A committed page is what the program makes of it now. */
void rr_assert_page_is_current(const char *name, const char *made);

#endif
