/*
 * address-private.h - IP:PORT texts as socket addresses.
 */
#ifndef RAGWORT_ADDRESS_PRIVATE_H
#define RAGWORT_ADDRESS_PRIVATE_H

#include <gio/gio.h>
#include <stdbool.h>

/* Whether text is IP:PORT ([IP]:PORT for IPv6), with a port from 1. */
bool rr_is_address(const char *text);
/* NULL with an error for anything but IP:PORT. */
GSocketAddress *rr_parse_address(const char *text, GError **error);

#endif
