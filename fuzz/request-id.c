/*
 * request-id.c - Fuzz target: the Idempotency-Key header of callers' requests.
 */
#include <stdlib.h>
#include <string.h>

#include "ragwort/ledger.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	GError *error = NULL;
	char *text = g_strndup((const char *)data, length);
	int64_t created_s = -1;
	bool valid = rr_parse_request_id(text, &created_s, &error);

	if (valid == (error != NULL))
		abort();
	/* The creation time is the number before the first dash. */
	if (valid && (created_s < 0 || created_s != atoll(text) ||
		      strlen(strchr(text, '-') + 1) < 8))
		abort();
	g_clear_error(&error);
	g_free(text);
	return 0;
}
