/*
 * ledger-value.c - fuzz target: ledger buckets as the store hands them over.
 * What is accepted has to survive encoding.
 */
#include <stdlib.h>

#include "wire/ledger-value.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_again(const struct rr_ledger_value *value)
{
	size_t length;
	char *bytes = rr_encode_ledger_value(value, &length);
	struct rr_ledger_value *again =
		rr_decode_ledger_value(bytes, length, NULL);

	if (!again ||
	    g_hash_table_size(again->entries) !=
		    g_hash_table_size(value->entries) ||
	    again->min_created_s != value->min_created_s)
		abort();
	rr_drop_ledger_value(again);
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
		check_again(value);
	g_clear_error(&error);
	rr_drop_ledger_value(value);
	return 0;
}
