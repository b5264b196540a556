/*
 * http-reader.h - HTTP/1.1 message reader for byte streams, without I/O.
 *
 * http_parser splits the bytes; this module decides what is accepted, limited
 * and stored. It reads one message at a time and leaves the bytes after it to
 * the caller.
 */
#ifndef RAGWORT_NET_HTTP_READER_H
#define RAGWORT_NET_HTTP_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rr_http_header {
	const char *name; /* as received */
	const char *value;
};

struct rr_http_message {
	/* Requests only. */
	const char *method;
	const char *target;
	size_t target_length;
	/* Responses only. */
	uint16_t status;
	const char *reason;

	struct rr_http_header *headers;
	size_t n_headers;
	const uint8_t *body;
	size_t body_length;
	bool keep_alive;      /* the connection may be reused */
	bool close_delimited; /* the end of the connection ended the body */
	bool expects_continue;
};

enum rr_http_result {
	RR_HTTP_INCOMPLETE, /* more bytes are needed */
	RR_HTTP_COMPLETE,   /* rr_http_message() returns the message */
	/* Not an HTTP/1 message; the stream cannot be used further. */
	RR_HTTP_MALFORMED,
	/* Above max_header_bytes or the maximum number of headers. */
	RR_HTTP_HEADERS_TOO_LARGE,
	RR_HTTP_BODY_TOO_LARGE, /* above max_body_bytes */
};

struct rr_http_reader_options {
	bool parse_responses;	   /* false: parse requests */
	uint32_t max_header_bytes; /* 0: no limit */
	uint32_t max_body_bytes;   /* 0: no limit */
};

struct rr_http_reader;

struct rr_http_reader *
rr_new_http_reader(const struct rr_http_reader_options *options);
void rr_drop_http_reader(struct rr_http_reader *reader);
void rr_set_http_reader_limits(struct rr_http_reader *reader,
			       uint32_t max_header_bytes,
			       uint32_t max_body_bytes);
/* Start the next message; `no_body` for the response to a HEAD request. */
void rr_reset_http_reader(struct rr_http_reader *reader, bool no_body);
/*
 * Parse more bytes; *used is set to the number of bytes that belong to this
 * message. Interim responses (1xx) are skipped.
 */
enum rr_http_result rr_parse_http(struct rr_http_reader *reader,
				  const uint8_t *bytes, size_t length,
				  size_t *used);
/*
 * Handle an orderly end of the stream, which completes a response without a
 * length.
 */
enum rr_http_result rr_finish_http(struct rr_http_reader *reader);
/* Return whether any byte of the message was read. */
bool rr_http_is_started(const struct rr_http_reader *reader);
/* Return whether all headers of the message were read. */
bool rr_http_has_headers(const struct rr_http_reader *reader);
/* Return the memory that is used for the message so far. */
size_t rr_http_reader_bytes(const struct rr_http_reader *reader);
/* Return the message, valid until the next reset. */
const struct rr_http_message *rr_http_message(struct rr_http_reader *reader);
/* Return the first value of a header, ignoring case; NULL if absent. */
const char *rr_find_http_header(const struct rr_http_message *message,
				const char *name);
/*
 * Return whether a header is hop-by-hop: by its name, or because the Connection
 * header names it.
 */
bool rr_is_hop_by_hop_header(const struct rr_http_message *message,
			     const char *name);

#endif
