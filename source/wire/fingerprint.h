/*
 * fingerprint.h - one number for what a request asks, the same for each of
 * its repeats, whoever takes them.
 */
#ifndef WIRE_FINGERPRINT_H
#define WIRE_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/* Hexadecimal digits of a fingerprint in text, and the zero byte. */
#define RR_FINGERPRINT_TEXT 17

/* What a replica gets of a request but for what differs on each attempt. */
struct rr_fingerprint_parts {
	const char *method;
	const char *host;
	const char *path; /* with the query */
	size_t path_length;
	const char *credentials; /* of the caller; NULL: it sent none */
	const uint8_t *body;
	size_t body_length;
};

/* Never 0. */
uint64_t rr_fingerprint(const struct rr_fingerprint_parts *parts);
/* In hexadecimal digits; returns `text`. */
char *rr_format_fingerprint(uint64_t fingerprint,
			    char text[RR_FINGERPRINT_TEXT]);

#endif
