/*
 * wire-allowance.c - text form of the calls that keep the allowances.
 *
 * A call is "VERB TOKENS WAIT_MS ACCOUNT", a reply "STATUS TOKENS RETRY_MS".
 */
#include "ragwort/allowance.h"

#include <string.h>

/* Longest call: an account's name and three numbers. */
#define MAX_BYTES 8192

static const char *const verbs[] = {
	[RR_ALLOWANCE_TAKE] = "take",
	[RR_ALLOWANCE_LEND] = "lend",
	[RR_ALLOWANCE_PROBE] = "probe",
};

/* The statuses that are sent. */
static const char *const statuses[] = {
	[RR_ALLOWANCE_GRANTED] = "granted",
	[RR_ALLOWANCE_EMPTY] = "empty",
	[RR_ALLOWANCE_NOT_OWNER] = "not-owner",
};

GString *rr_encode_allowance_call(const struct rr_allowance_call *call)
{
	GString *text = g_string_sized_new(64);

	g_string_append_printf(
		text, "%s %" G_GUINT32_FORMAT " %" G_GUINT32_FORMAT " %s",
		verbs[call->verb], call->tokens, call->wait_ms, call->account);
	return text;
}

GString *rr_encode_allowance_reply(const struct rr_allowance_reply *reply)
{
	GString *text = g_string_sized_new(32);

	g_string_append_printf(
		text, "%s %" G_GUINT32_FORMAT " %" G_GUINT32_FORMAT,
		statuses[reply->status], reply->tokens, reply->retry_ms);
	return text;
}

/* Split into `n` words; the last one takes the rest.  NULL if there are fewer. */
static char **split_words(const uint8_t *bytes, size_t length, gint n)
{
	char **words;
	char *text;

	if (length > MAX_BYTES || memchr(bytes, 0, length))
		return NULL;
	text = g_strndup((const char *)bytes, length);
	words = g_strsplit(text, " ", n);
	g_free(text);
	if (g_strv_length(words) == (guint)n)
		return words;
	g_strfreev(words);
	return NULL;
}

static bool parse_u32(const char *word, uint32_t *number)
{
	guint64 parsed;

	if (!g_ascii_string_to_unsigned(word, 10, 0, G_MAXUINT32, &parsed,
					NULL))
		return false;
	*number = (uint32_t)parsed;
	return true;
}

/* Return the index of a word in a list; -1 if it is not in the list. */
static int find_word(const char *const *list, size_t n, const char *word)
{
	for (size_t i = 0; i < n; i++) {
		if (!strcmp(list[i], word))
			return (int)i;
	}
	return -1;
}

bool rr_parse_allowance_call(const uint8_t *bytes, size_t length,
			     struct rr_allowance_call *call)
{
	char **words = split_words(bytes, length, 4);
	int verb;

	if (!words)
		return false;
	*call = (struct rr_allowance_call){ 0 };
	verb = find_word(verbs, G_N_ELEMENTS(verbs), words[0]);
	if (verb >= 0 && parse_u32(words[1], &call->tokens) &&
	    parse_u32(words[2], &call->wait_ms)) {
		call->verb = (enum rr_allowance_verb)verb;
		call->account = g_strdup(words[3]);
	}
	g_strfreev(words);
	return call->account != NULL;
}

void rr_clear_allowance_call(struct rr_allowance_call *call)
{
	g_free((char *)call->account);
	call->account = NULL;
}

bool rr_parse_allowance_reply(const uint8_t *bytes, size_t length,
			      struct rr_allowance_reply *reply)
{
	char **words = split_words(bytes, length, 3);
	int status;
	bool valid;

	if (!words)
		return false;
	*reply = (struct rr_allowance_reply){ 0 };
	status = find_word(statuses, G_N_ELEMENTS(statuses), words[0]);
	valid = status >= 0 && parse_u32(words[1], &reply->tokens) &&
		parse_u32(words[2], &reply->retry_ms);
	if (valid)
		reply->status = (enum rr_allowance_status)status;
	g_strfreev(words);
	return valid;
}
