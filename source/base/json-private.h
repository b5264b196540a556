/*
 * json-private.h - functions that write JSON strings and check JSON texts.
 */
#ifndef RAGWORT_JSON_PRIVATE_H
#define RAGWORT_JSON_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Append a quoted, escaped string; NULL appends null.  Bytes that are not UTF-8
 * become U+FFFD.
 */
void rr_append_json_string(GString *out, const char *text);

/*
 * Check that a text is nested at most `max_depth` levels, before it is passed
 * to a JSON parser.  Parsers, or the functions that free their trees, recurse
 * once a level, so that a megabyte of brackets overflows the stack.
 *
 * The text need not be NUL-terminated.  Bytes that JSON allows only in strings
 * are rejected outside of them: some parsers accept comments, in which a quote
 * would hide the brackets after it.  Otherwise the text may still be invalid
 * JSON.
 *
 * Return false with RR_ERROR_SYNTAX if the text is rejected.
 */
bool rr_check_json_nesting(const char *text, size_t length, uint32_t max_depth,
			   GError **error);

#endif
