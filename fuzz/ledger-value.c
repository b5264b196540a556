/*
 * ledger-value.c - Fuzz target: ledger buckets as read from the store.
 *
 * An accepted value must decode to the same entries after it is encoded.
 */
#include <stdlib.h>

#include "wire/ledger-value.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_round_trip(const struct rr_ledger_value *value)
{
	size_t length;
	char *bytes = rr_encode_ledger_value(value, &length);
	struct rr_ledger_value *decoded =
		rr_decode_ledger_value(bytes, length, NULL);

	if (!decoded ||
	    g_hash_table_size(decoded->entries) !=
		    g_hash_table_size(value->entries) ||
	    decoded->min_created_s != value->min_created_s)
		abort();
	rr_drop_ledger_value(decoded);
	g_free(bytes);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	GError *error = NULL;
	struct rr_ledger_value *value =
		rr_decode_ledger_value((const char *)data, length, &error);

	if ((value == NULL) != (error != NULL))
		abort();
	if (value)
		check_round_trip(value);
	g_clear_error(&error);
	rr_drop_ledger_value(value);
	return 0;
}
