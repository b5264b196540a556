/*
 * json-nesting.c - check of how deep a JSON text is nested.
 */
#include "base/json-private.h"

#include <string.h>

#include "ragwort/error.h"

/* Return the position after the string that begins at `pos`. */
static size_t skip_string(const char *text, size_t length, size_t pos)
{
	for (pos++; pos < length && text[pos] != '"'; pos++) {
		if (text[pos] == '\\')
			pos++;
	}
	return pos + 1;
}

/* Whether JSON allows a byte outside of strings. */
static bool is_structural(char c)
{
	return g_ascii_isalnum(c) || (c && strchr(" \t\r\n[]{}:,+-.", c));
}

bool rr_check_json_nesting(const char *text, size_t length, uint32_t max_depth,
			   GError **error)
{
	uint32_t depth = 0;
	size_t pos = 0;

	while (pos < length) {
		char c = text[pos];

		if (c == '"') {
			pos = skip_string(text, length, pos);
			continue;
		}
		if (!is_structural(c)) {
			g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
				    "not JSON: byte 0x%02x outside a string",
				    (unsigned char)c);
			return false;
		}
		if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && depth)
			depth--;
		if (depth > max_depth) {
			g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
				    "nested deeper than %u", max_depth);
			return false;
		}
		pos++;
	}
	return true;
}
