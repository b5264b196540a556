/*
 * native-address-private.h - IP:PORT strings as socket addresses of the system.
 */
#ifndef RAGWORT_NATIVE_ADDRESS_PRIVATE_H
#define RAGWORT_NATIVE_ADDRESS_PRIVATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

struct rr_native_address {
	struct sockaddr_storage storage;
	socklen_t length;
	uint16_t port;
};

/* Return whether text is IP:PORT ([IP]:PORT for IPv6) with a non-zero port. */
bool rr_is_address(const char *text);
/* Parse IP:PORT. Returns false with an error for any other text. */
bool rr_parse_native_address(const char *text,
			     struct rr_native_address *address, GError **error);

#endif
