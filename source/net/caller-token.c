/*
 * caller-token.c - bearer tokens of callers.
 */
#include "net/caller-private.h"

#include <string.h>

#include "ragwort/error.h"

#define BEARER "Bearer "

char **rr_read_tokens(const char *file, GError **error)
{
	GPtrArray *tokens;
	char *text;
	char **lines;

	if (!g_file_get_contents(file, &text, NULL, error))
		return NULL;
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	tokens = g_ptr_array_new();
	for (char **line = lines; *line; line++) {
		g_strstrip(*line);
		if (**line)
			g_ptr_array_add(tokens, g_strdup(*line));
	}
	g_strfreev(lines);
	g_ptr_array_add(tokens, NULL);
	lines = (char **)g_ptr_array_free(tokens, FALSE);
	if (*lines)
		return lines;
	g_strfreev(lines);
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
		    "%s: no token found; a line with one is needed", file);
	return NULL;
}

/*
 * Compares in a time that depends only on the length of what the caller sent: a
 * comparison that stopped at the first wrong byte would let a caller find a
 * token byte by byte.
 */
static bool tokens_equal(const char *token, const char *sent)
{
	size_t token_length = strlen(token);
	size_t sent_length = strlen(sent);
	size_t difference = token_length ^ sent_length;

	for (size_t i = 0; i < sent_length; i++)
		difference |=
			(unsigned char)(token[i % token_length] ^ sent[i]);
	return difference == 0;
}

bool rr_check_token(char **tokens, const char *header)
{
	bool found = false;

	if (!header || !g_str_has_prefix(header, BEARER))
		return false;
	for (char **token = tokens; *token; token++) {
		if (tokens_equal(*token, header + strlen(BEARER)))
			found = true;
	}
	return found;
}
