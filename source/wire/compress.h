/*
 * compress.h - zlib compression to base64 text, for messages between instances.
 */
#ifndef RAGWORT_WIRE_COMPRESS_H
#define RAGWORT_WIRE_COMPRESS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Return the bytes compressed and encoded in base64; the caller frees the text
 * with g_free().  NULL if compression fails.
 */
char *rr_compress_to_base64(const uint8_t *bytes, size_t length);

/*
 * Decode and decompress the text of rr_compress_to_base64().  The caller frees
 * the result with g_free(); a zero byte follows its *length bytes.  NULL if the
 * text is malformed or decompresses to more than `max_bytes`.
 */
char *rr_decompress_base64(const char *text, size_t max_bytes, size_t *length);

#endif
