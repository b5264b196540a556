/*
 * address.c - IP:PORT strings as GIO's socket addresses.
 */
#include "net/address-private.h"

GSocketAddress *rr_parse_address(const char *text, GError **error)
{
	struct rr_native_address native;

	if (!rr_parse_native_address(text, &native, error))
		return NULL;
	return g_socket_address_new_from_native(&native.storage, native.length);
}
