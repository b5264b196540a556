/*
 * fingerprint.c - content hash of a request, and its text form.
 */
#include "ragwort/fingerprint.h"

#include <glib.h>
#include <string.h>

#define HASH_BYTES 32
#define HALF_DIGITS 16

/*
 * Add a part to the hash, preceded by its length.  Without the length, moving
 * bytes from one part to the next would not change the hash.
 */
static void add_part(GChecksum *hash, const void *bytes, size_t length)
{
	uint64_t length_le = GUINT64_TO_LE((uint64_t)length);

	g_checksum_update(hash, (const guchar *)&length_le, sizeof(length_le));
	if (length)
		g_checksum_update(hash, bytes, (gssize)length);
}

static void add_text(GChecksum *hash, const char *text)
{
	add_part(hash, text, text ? strlen(text) : 0);
}

struct rr_fingerprint rr_fingerprint(const struct rr_fingerprint_parts *parts)
{
	GChecksum *hash = g_checksum_new(G_CHECKSUM_SHA256);
	struct rr_fingerprint fingerprint;
	guint8 digest[HASH_BYTES];
	gsize length = sizeof(digest);

	add_text(hash, parts->method);
	add_text(hash, parts->host);
	add_part(hash, parts->path, parts->path_length);
	add_text(hash, parts->credentials);
#ifndef RR_MUTANT_FINGERPRINT_WITHOUT_BODY
	add_part(hash, parts->body, parts->body_length);
#endif
	g_checksum_get_digest(hash, digest, &length);
	g_checksum_free(hash);
	memcpy(&fingerprint, digest, sizeof(fingerprint));
	fingerprint.high = GUINT64_FROM_BE(fingerprint.high);
	fingerprint.low = GUINT64_FROM_BE(fingerprint.low);
	return fingerprint;
}

bool rr_is_fingerprint_set(const struct rr_fingerprint *fingerprint)
{
	return fingerprint->high || fingerprint->low;
}

bool rr_same_fingerprint(const struct rr_fingerprint *a,
			 const struct rr_fingerprint *b)
{
	return a->high == b->high && a->low == b->low;
}

char *rr_format_fingerprint(const struct rr_fingerprint *fingerprint,
			    char text[RR_FINGERPRINT_TEXT_SIZE])
{
	g_snprintf(text, RR_FINGERPRINT_TEXT_SIZE,
		   "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
		   fingerprint->high, fingerprint->low);
	return text;
}

static bool parse_half(const char *digits, uint64_t *half)
{
	*half = 0;
	for (int i = 0; i < HALF_DIGITS; i++) {
		int digit = g_ascii_xdigit_value(digits[i]);

		if (digit < 0 || g_ascii_isupper(digits[i]))
			return false;
		*half = *half << 4 | (uint64_t)digit;
	}
	return true;
}

bool rr_parse_fingerprint(const char *text, struct rr_fingerprint *fingerprint)
{
	return strlen(text) == RR_FINGERPRINT_TEXT_SIZE - 1 &&
	       parse_half(text, &fingerprint->high) &&
	       parse_half(text + HALF_DIGITS, &fingerprint->low) &&
	       rr_is_fingerprint_set(fingerprint);
}
