/*
 * wire-cursor.c - encoding of the cursors of paged lists.
 *
 * A cursor is "1.VERSION.EPOCH.KEY.SKIP.SUM", with numbers in hexadecimal.  The
 * checksum SUM covers the service's name and the fields before it.  It detects
 * cursors that were truncated, mistyped or used on another service, which would
 * silently skip rows; it is not a signature.
 */
#include <string.h>
#include <xxhash.h>

#include "wire/wire-private.h"

#define CURSOR_FORMAT 1
#define CURSOR_FIELDS 6
#define MAX_CURSOR_LENGTH 128

static uint64_t checksum_cursor(const char *service, const char *text,
				size_t length)
{
	uint64_t seed = XXH64(service, strlen(service), CURSOR_FORMAT);

	return XXH64(text, length, seed);
}

char *rr_encode_cursor(const char *service, const struct rr_cursor *cursor)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"%x.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER
			"x.%" G_GINT64_MODIFIER "x.%x",
			CURSOR_FORMAT, cursor->version, cursor->map_epoch,
			cursor->next_key, cursor->skip_rows);
	g_string_append_printf(text, ".%016" G_GINT64_MODIFIER "x",
			       checksum_cursor(service, text->str, text->len));
	return g_string_free(text, FALSE);
}

/*
 * Parse one hexadecimal number and the dot after it, or the end of the text
 * after the last one.  NULL if malformed.
 */
static const char *parse_field(const char *at, bool last, uint64_t *value)
{
	const char *start = at;

	*value = 0;
	while (g_ascii_isxdigit(*at) && at - start < 16) {
		*value = *value << 4 | (uint64_t)g_ascii_xdigit_value(*at);
		at++;
	}
	if (at == start || *at != (last ? '\0' : '.'))
		return NULL;
	return last ? at : at + 1;
}

static bool parse_fields(const char *text, uint64_t *fields)
{
	for (int i = 0; i < CURSOR_FIELDS; i++) {
		text = parse_field(text, i == CURSOR_FIELDS - 1, &fields[i]);
		if (!text)
			return false;
	}
	return true;
}

bool rr_decode_cursor(const char *service, const char *text,
		      struct rr_cursor *cursor, GError **error)
{
	uint64_t fields[CURSOR_FIELDS];
	const char *checksum;

	if (strnlen(text, MAX_CURSOR_LENGTH + 1) > MAX_CURSOR_LENGTH ||
	    !parse_fields(text, fields)) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "cursor is malformed: send next_cursor of the "
			    "previous page unchanged");
		return false;
	}
	if (fields[0] != CURSOR_FORMAT) {
		g_set_error(error, RR_ERROR, RR_ERROR_UNSUPPORTED,
			    "cursor has format %" G_GUINT64_FORMAT
			    ", supported is %d",
			    fields[0], CURSOR_FORMAT);
		return false;
	}
	checksum = strrchr(text, '.');
	if (fields[5] !=
	    checksum_cursor(service, text, (size_t)(checksum - text))) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "cursor was altered or belongs to a service other "
			    "than \"%s\"",
			    service);
		return false;
	}
	if (!fields[1] || fields[3] > RR_KEY_LIMIT || fields[4] > UINT32_MAX) {
		g_set_error(error, RR_ERROR, RR_ERROR_OUT_OF_RANGE,
			    "cursor has a version, key or offset out of range");
		return false;
	}
	cursor->version = fields[1];
	cursor->map_epoch = fields[2];
	cursor->next_key = fields[3];
	cursor->skip_rows = (uint32_t)fields[4];
	return true;
}
