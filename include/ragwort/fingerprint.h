/*
 * fingerprint.h - content hash that identifies a request.
 *
 * All attempts at the same content have the same fingerprint, at any instance.
 * It is the leading half of a SHA-256 hash (FIPS 180-4): a request cannot be
 * crafted to share the fingerprint of another one.
 */
#ifndef RAGWORT_FINGERPRINT_H
#define RAGWORT_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Buffer size for a fingerprint in hexadecimal, with the null byte. */
#define RR_FINGERPRINT_TEXT_SIZE 33

struct rr_fingerprint {
	uint64_t high;
	uint64_t low; /* both 0: unset */
};

/* The parts of a request that are the same in all of its attempts. */
struct rr_fingerprint_parts {
	const char *method;
	const char *host;
	const char *path; /* with the query */
	size_t path_length;
	const char *credentials; /* Authorization header, or NULL if absent */
	const uint8_t *body;
	size_t body_length;
};

/* Hash the parts of a request.  Linear in the length of the body. */
struct rr_fingerprint rr_fingerprint(const struct rr_fingerprint_parts *parts);
/* Whether the fingerprint is set, that is, not all zero. */
bool rr_is_fingerprint_set(const struct rr_fingerprint *fingerprint);
bool rr_same_fingerprint(const struct rr_fingerprint *a,
			 const struct rr_fingerprint *b);
/* Write 32 lower-case hexadecimal digits to `text`, and return it. */
char *rr_format_fingerprint(const struct rr_fingerprint *fingerprint,
			    char text[RR_FINGERPRINT_TEXT_SIZE]);
/*
 * Parse 32 lower-case hexadecimal digits.  Return false if `text` is malformed
 * or all zero.
 */
bool rr_parse_fingerprint(const char *text, struct rr_fingerprint *fingerprint);

#endif
