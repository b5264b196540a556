/*
 * json.c - escaping of strings for JSON.
 */
#include "base/json-private.h"

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
