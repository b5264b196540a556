/*
 * store-reply.c - Fuzz target: replies of the platform's store.
 *
 * They contain the configuration with the route table, and store entries.
 */
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

#define N_KINDS (RR_FEED_REPORT + 1)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void decode_route_table(const uint8_t *data, size_t length)
{
	const char *text = (const char *)data;
	const char *reason;
	struct rr_route_table *table = rr_decode_routes(text, length, &reason);

	if (table && !rr_route_table_version(table))
		abort();
	if (!table == !reason)
		abort();
	rr_drop_route_table(table);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	struct rr_feed_reply reply = { 0 };
	enum rr_feed_call_kind kind;

	if (!length)
		return 0;
	kind = (enum rr_feed_call_kind)(data[0] % N_KINDS);
	rr_decode_feed_reply(kind, kind == RR_FEED_REPORT ? 412 : 200, data + 1,
			     length - 1, &reply);
	if (reply.items)
		g_ptr_array_unref(reply.items);
	decode_route_table(data + 1, length - 1);
	return 0;
}
