/*
 * peer.c - Fuzz target: peer messages.
 *
 * An accepted message that is encoded, decoded and encoded again must give
 * the same bytes both times.
 */
#include <stdlib.h>

#include "ragwort/wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_round_trip(const struct rr_peer_message *message)
{
	GBytes *bytes = rr_encode_peer_message(message);
	gsize length;
	const uint8_t *data = g_bytes_get_data(bytes, &length);
	struct rr_peer_message *decoded =
		rr_decode_peer_message(data, length, NULL);
	GBytes *reencoded;

	if (!decoded)
		abort();
	reencoded = rr_encode_peer_message(decoded);
	if (!g_bytes_equal(bytes, reencoded))
		abort();
	g_bytes_unref(reencoded);
	g_bytes_unref(bytes);
	rr_drop_peer_message(decoded);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	GError *error = NULL;
	struct rr_peer_message *message =
		rr_decode_peer_message(data, length, &error);

	if ((message == NULL) != (error != NULL))
		abort();
	if (message)
		check_round_trip(message);
	g_clear_error(&error);
	rr_drop_peer_message(message);
	return 0;
}
