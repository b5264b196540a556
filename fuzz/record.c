/*
 * record.c - Fuzz target: the configuration record from the store or a peer.
 *
 * An accepted record must keep its hash and revision after it is encoded and
 * decoded.
 */
#include <stdlib.h>

#include "ragwort/record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_round_trip(const struct rr_config_record *record)
{
	size_t length;
	char *text = rr_encode_config_record(record, &length);
	struct rr_config_record *decoded =
		rr_decode_config_record(text, length, NULL);

	if (!decoded ||
	    rr_hash_config_record(decoded) != rr_hash_config_record(record) ||
	    rr_config_record_revision(decoded) !=
		    rr_config_record_revision(record))
		abort();
	rr_drop_config_record(decoded);
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
		check_round_trip(record);
	g_clear_error(&error);
	rr_drop_config_record(record);
	return 0;
}
