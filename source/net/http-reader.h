/*
 * http-reader.h - HTTP/1.1 messages from a stream of bytes, in memory only.
 *
 * The parser library splits the bytes; what is accepted, bounded and kept is
 * decided here.  One message is read at a time: bytes behind it are left to
 * the caller.
 */
#ifndef RAGWORT_NET_HTTP_READER_H
#define RAGWORT_NET_HTTP_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rr_http_header {
	const char *name; /* as it was sent */
	const char *value;
};

struct rr_http_message {
	/* Of a request. */
	const char *method;
	const char *target;
	size_t target_length;
	/* Of a response. */
	uint16_t status;
	const char *reason;

	struct rr_http_header *headers;
	size_t n_headers;
	const uint8_t *body;
	size_t body_length;
	bool keep_alive;      /* the connection may be used again */
	bool close_delimited; /* the body ended with the connection */
	bool expects_continue;
};

enum rr_http_result {
	RR_HTTP_INCOMPLETE, /* the message is not whole yet */
	RR_HTTP_COMPLETE,   /* rr_http_message() has it */
	RR_HTTP_MALFORMED, /* no HTTP/1 message: the stream is of no more use */
	RR_HTTP_HEADERS_TOO_LARGE, /* over the bound on headers */
	RR_HTTP_BODY_TOO_LARGE,	   /* over the bound on bodies */
};

struct rr_http_reader_options {
	bool parse_responses;	   /* else requests */
	uint32_t max_header_bytes; /* 0: no bound */
	uint32_t max_body_bytes;   /* 0: no bound */
};

struct rr_http_reader;

struct rr_http_reader *
rr_new_http_reader(const struct rr_http_reader_options *options);
void rr_drop_http_reader(struct rr_http_reader *reader);
void rr_set_http_reader_limits(struct rr_http_reader *reader,
			       uint32_t max_header_bytes,
			       uint32_t max_body_bytes);
/* Begin the next message; `no_body` for the response to a HEAD request. */
void rr_reset_http_reader(struct rr_http_reader *reader, bool no_body);
/*
 * Read on; *used tells how many bytes belong to this message.  Interim
 * responses (1xx) are passed over.
 */
enum rr_http_result rr_parse_http(struct rr_http_reader *reader,
				  const uint8_t *bytes, size_t length,
				  size_t *used);
/* The stream ended in order: a response without a length is whole now. */
enum rr_http_result rr_finish_http(struct rr_http_reader *reader);
/* Whether any byte of the message was read. */
bool rr_http_is_started(const struct rr_http_reader *reader);
/* Whether the head of the message was read whole. */
bool rr_http_has_headers(const struct rr_http_reader *reader);
/* What was read, valid until the next reset. */
const struct rr_http_message *rr_http_message(struct rr_http_reader *reader);
/* The first value of a header, whatever its case; NULL if there is none. */
const char *rr_find_http_header(const struct rr_http_message *message,
				const char *name);
/*
 * Whether a header concerns one connection only: by its name, or named by
 * the Connection header.
 */
bool rr_is_hop_by_hop_header(const struct rr_http_message *message,
			     const char *name);

#endif
