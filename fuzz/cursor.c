/*
 * cursor.c - Fuzz target: cursors, decoded from text and built from numbers.
 */
#include <stdlib.h>
#include <string.h>

#include "ragwort/wire.h"

#define SERVICE "riordino"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

/*
 * Random text rarely passes the checksum, so cursors are also built from the
 * input's bytes as numbers.
 */
static void check_numbers(const uint8_t *data, size_t length)
{
	struct rr_cursor cursor;
	struct rr_cursor decoded;
	char *text;
	bool valid;

	if (length < sizeof(cursor))
		return;
	memcpy(&cursor, data, sizeof(cursor));
	text = rr_encode_cursor(SERVICE, &cursor);
	valid = rr_decode_cursor(SERVICE, text, &decoded, NULL);
	if (valid != (cursor.version > 0 && cursor.next_key <= RR_KEY_LIMIT))
		abort();
	if (valid && (decoded.version != cursor.version ||
		      decoded.map_epoch != cursor.map_epoch ||
		      decoded.next_key != cursor.next_key ||
		      decoded.skip_rows != cursor.skip_rows))
		abort();
	g_free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	struct rr_cursor cursor;
	GError *error = NULL;
	char *text = g_strndup((const char *)data, length);

	if (rr_decode_cursor(SERVICE, text, &cursor, &error) == (error != NULL))
		abort();
	g_clear_error(&error);
	g_free(text);
	check_numbers(data, length);
	return 0;
}
