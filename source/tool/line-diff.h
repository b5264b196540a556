/*
 * line-diff.h - the lines in which two texts differ.
 */
#ifndef TOOL_LINE_DIFF_H
#define TOOL_LINE_DIFF_H

#include <glib.h>

/*
 * Append the lines that go ("-") and come ("+"), each with its number, or
 * nothing when the texts are the same.  NULL is an empty text.
 */
void rr_format_line_diff(const char *old, const char *new, GString *out);

#endif
