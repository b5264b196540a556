/*
 * fingerprint.h - the identity of what a request asks: the same for each of
 * its repeats, whoever takes them.
 *
 * The leading half of a SHA-256 hash: nobody can make a request whose
 * fingerprint is that of another's.
 */
#ifndef RAGWORT_FINGERPRINT_H
#define RAGWORT_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Hexadecimal digits of a fingerprint in text, and the zero byte. */
#define RR_FINGERPRINT_TEXT 33

struct rr_fingerprint {
	uint64_t high;
	uint64_t low; /* both 0: of nothing */
};

/* What a replica gets of a request, but for what differs on each attempt. */
struct rr_fingerprint_parts {
	const char *method;
	const char *host;
	const char *path; /* with the query */
	size_t path_length;
	const char *credentials; /* of the caller; NULL: it sent none */
	const uint8_t *body;
	size_t body_length;
};

struct rr_fingerprint rr_fingerprint(const struct rr_fingerprint_parts *parts);
bool rr_is_fingerprint(const struct rr_fingerprint *fingerprint);
bool rr_same_fingerprint(const struct rr_fingerprint *a,
			 const struct rr_fingerprint *b);
/* In hexadecimal digits; returns `text`. */
char *rr_format_fingerprint(const struct rr_fingerprint *fingerprint,
			    char text[RR_FINGERPRINT_TEXT]);
/* From such digits; false if it is none. */
bool rr_parse_fingerprint(const char *text, struct rr_fingerprint *fingerprint);

#endif
