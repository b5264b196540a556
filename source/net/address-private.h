/*
 * address-private.h - IP:PORT strings as socket addresses.
 */
#ifndef RAGWORT_ADDRESS_PRIVATE_H
#define RAGWORT_ADDRESS_PRIVATE_H

#include <gio/gio.h>
#include <stdbool.h>

/* Return whether text is IP:PORT ([IP]:PORT for IPv6) with a non-zero port. */
bool rr_is_address(const char *text);
/* Parse IP:PORT. Returns NULL with an error for any other text. */
GSocketAddress *rr_parse_address(const char *text, GError **error);

#endif
