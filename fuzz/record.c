/*
 * record.c - fuzz target: the configuration record as the store and peers
 * hand it over.  What is accepted has to survive encoding unchanged.
 */
#include <stdlib.h>

#include "ragwort/record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_again(const struct rr_config_record *record)
{
	size_t length;
	char *text = rr_encode_config_record(record, &length);
	struct rr_config_record *again =
		rr_decode_config_record(text, length, NULL);

	if (!again ||
	    rr_hash_config_record(again) != rr_hash_config_record(record) ||
	    rr_config_record_revision(again) !=
		    rr_config_record_revision(record))
		abort();
	rr_drop_config_record(again);
	g_free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	GError *error = NULL;
	struct rr_config_record *record =
		rr_decode_config_record((const char *)data, length, &error);

	if ((record == NULL) != (error != NULL))
		abort();
	if (record)
		check_again(record);
	g_clear_error(&error);
	rr_drop_config_record(record);
	return 0;
}
