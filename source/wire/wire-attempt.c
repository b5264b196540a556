/*
 * wire-attempt.c - the JSON body and the request path of an attempt.
 */
#include "wire/wire-private.h"

#include <string.h>

char *rr_encode_attempt_body(const struct rr_attempt *attempt, size_t *length)
{
	const char *query =
		attempt->body && *attempt->body ? attempt->body : "null";
	char *text = g_strdup_printf(
		"{\"query\":%s,\"key_from\":%" G_GUINT64_FORMAT
		",\"key_to\":%" G_GUINT64_FORMAT ",\"limit\":%u}",
		query, attempt->key_from, attempt->key_to, attempt->row_limit);

	*length = strlen(text);
	return text;
}

char *rr_format_attempt_path(const struct rr_attempt *attempt)
{
	/* Names of shards have only characters that need no escape. */
	return g_strdup_printf("/v1/shards/%s/%s", attempt->shard,
			       rr_request_kind_name(attempt->kind));
}
