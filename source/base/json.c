/*
 * json.c - escape strings for JSON.
 */
#include "base/json-private.h"

#include <stdbool.h>

static bool is_plain(unsigned char c)
{
	return c >= ' ' && c != '"' && c != '\\' && c != 0x7f;
}

/* Bytes until one that is escaped: long values have none. */
static size_t count_plain(const char *text)
{
	size_t n = 0;

	while (is_plain((unsigned char)text[n]))
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
	 * JSON is UTF-8: a stranger's bytes that are not, say in a request
	 * id, would make the whole line or answer unreadable to its reader.
	 */
	if (!g_utf8_validate(text, -1, NULL)) {
		valid = g_utf8_make_valid(text, -1);
		text = valid;
	}
	g_string_append_c(out, '"');
	while (*text) {
		size_t plain = count_plain(text);

		g_string_append_len(out, text, (gssize)plain);
		text += plain;
		if (*text)
			append_escaped(out, (unsigned char)*text++);
	}
	g_string_append_c(out, '"');
	g_free(valid);
}
