/*
 * address-private.h - IP:PORT strings as GIO's socket addresses, for the
 * programs that use GIO.
 */
#ifndef RAGWORT_ADDRESS_PRIVATE_H
#define RAGWORT_ADDRESS_PRIVATE_H

#include <gio/gio.h>

#include "net/native-address-private.h"

/* Parse IP:PORT. Returns NULL with an error for any other text. */
GSocketAddress *rr_parse_address(const char *text, GError **error);

#endif
