/*
 * json-private.h - function that appends a JSON string to a text.
 */
#ifndef RAGWORT_JSON_PRIVATE_H
#define RAGWORT_JSON_PRIVATE_H

#include <glib.h>

/*
 * Append a quoted, escaped string; NULL appends null.  Bytes that are not UTF-8
 * become U+FFFD.
 */
void rr_append_json_string(GString *out, const char *text);

#endif
