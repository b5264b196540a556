/*
 * json.c - escaping of strings for JSON, and a check of a text's nesting.
 */
#include "base/json-private.h"

#include <string.h>

#include "ragwort/error.h"

static bool needs_no_escape(unsigned char c)
{
	return c >= ' ' && c != '"' && c != '\\' && c != 0x7f;
}

/*
 * Count the bytes before the first one that needs an escape.  Long values
 * usually need none, so that the caller copies them in one call.
 */
static size_t count_unescaped(const char *text)
{
	size_t n = 0;

	while (needs_no_escape((unsigned char)text[n]))
		n++;
	return n;
}

static void append_escaped(GString *out, unsigned char c)
{
	static const char digits[] = "0123456789abcdef";

	if (c == '"' || c == '\\') {
		g_string_append_c(out, '\\');
		g_string_append_c(out, (char)c);
		return;
	}
	g_string_append(out, "\\u00");
	g_string_append_c(out, digits[c >> 4]);
	g_string_append_c(out, digits[c & 15]);
}

void rr_append_json_string(GString *out, const char *text)
{
	char *valid = NULL;

	if (!text) {
		g_string_append(out, "null");
		return;
	}
	/*
	 * JSON is UTF-8: a caller's bytes that are not, for example in a
	 * request id, would make the whole line or answer invalid.
	 */
	if (!g_utf8_validate(text, -1, NULL)) {
		valid = g_utf8_make_valid(text, -1);
		text = valid;
	}
	g_string_append_c(out, '"');
	while (*text) {
		size_t n_unescaped = count_unescaped(text);

		g_string_append_len(out, text, (gssize)n_unescaped);
		text += n_unescaped;
		if (*text)
			append_escaped(out, (unsigned char)*text++);
	}
	g_string_append_c(out, '"');
	g_free(valid);
}

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
