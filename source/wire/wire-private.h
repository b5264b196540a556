/*
 * wire-private.h - what the decoders share.
 */
#ifndef RAGWORT_WIRE_PRIVATE_H
#define RAGWORT_WIRE_PRIVATE_H

#include <stdarg.h>

#include "ragwort/error.h"
#include "ragwort/wire.h"

/* Longest name: docs/FORMATS.md. */
#define RR_MAX_NAME_LENGTH 63

/* Whether the text is a name as docs/FORMATS.md has it. */
bool rr_is_valid_name(const char *text);
/* Whether the text is a numeric IPv4 address and a port from 1. */
bool rr_is_valid_address(const char *text);
/* Check [from, to): from < to and both keys in range. */
bool rr_is_valid_key_range(uint64_t from, uint64_t to);

#endif
