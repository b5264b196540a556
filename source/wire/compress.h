/*
 * compress.h - compressed bytes as text, for what instances pass on to each other.
 */
#ifndef RAGWORT_WIRE_COMPRESS_H
#define RAGWORT_WIRE_COMPRESS_H

#include <stddef.h>
#include <stdint.h>

/* The bytes compressed, in base64, for g_free(). */
char *rr_compress_to_base64(const uint8_t *bytes, size_t length);

/*
 * What was packed, for g_free(), with a zero byte behind its *length bytes.
 * NULL if the text is nothing that rr_compress_to_base64() made, or holds more than
 * `most_bytes`.
 */
char *rr_decompress_base64(const char *text, size_t most_bytes, size_t *length);

#endif
