/*
 * fingerprint.c - a hash of a request's parts.
 */
#include "wire/fingerprint.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* With its length, so that one part cannot run into the next. */
static void add_part(XXH3_state_t *state, const void *bytes, size_t length)
{
	uint64_t counted = GUINT64_TO_LE((uint64_t)length);

	XXH3_64bits_update(state, &counted, sizeof(counted));
	if (length)
		XXH3_64bits_update(state, bytes, length);
}

static void add_text(XXH3_state_t *state, const char *text)
{
	add_part(state, text, text ? strlen(text) : 0);
}

uint64_t rr_fingerprint(const struct rr_fingerprint_parts *parts)
{
	XXH3_state_t *state = XXH3_createState();
	uint64_t fingerprint;

	XXH3_64bits_reset(state);
	add_text(state, parts->method);
	add_text(state, parts->host);
	add_part(state, parts->path, parts->path_length);
	add_text(state, parts->credentials);
	add_part(state, parts->body, parts->body_length);
	fingerprint = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return fingerprint ? fingerprint : 1;
}

char *rr_format_fingerprint(uint64_t fingerprint,
			    char text[RR_FINGERPRINT_TEXT])
{
	g_snprintf(text, RR_FINGERPRINT_TEXT, "%016" G_GINT64_MODIFIER "x",
		   fingerprint);
	return text;
}
