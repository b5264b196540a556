/*
 * wire-private.h - checks shared by the decoders.
 */
#ifndef RAGWORT_WIRE_PRIVATE_H
#define RAGWORT_WIRE_PRIVATE_H

#include <stdarg.h>

#include "ragwort/error.h"
#include "ragwort/wire.h"

/* Length limit of names (docs/FORMATS.md). */
#define RR_MAX_NAME_LENGTH 63

/* Return whether the text is a valid name (docs/FORMATS.md). */
bool rr_is_valid_name(const char *text);
/* Return whether the text is IP:PORT, a numeric IPv4 address and a port > 0. */
bool rr_is_valid_address(const char *text);
/* Return whether [from, to) is not empty and within the range of keys. */
bool rr_is_valid_key_range(uint64_t from, uint64_t to);

#endif
