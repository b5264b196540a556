/*
 * line-diff.h - line-based diff of two texts.
 */
#ifndef TOOL_LINE_DIFF_H
#define TOOL_LINE_DIFF_H

#include <glib.h>

/*
 * Append the removed ("-") and added ("+") lines with their line numbers, or
 * nothing if the texts are equal.  NULL stands for an empty text.
 */
void rr_format_line_diff(const char *old, const char *new, GString *out);

#endif
