/*
 * wire.h - encoders and decoders: peer messages, upstream bodies, cursors.
 *
 * Pure functions on memory.  A malformed input gives an error that names what
 * is wrong; it never aborts and never reads past the end.
 */
#ifndef RAGWORT_WIRE_H
#define RAGWORT_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/attempt.h"
#include "ragwort/peer.h"

/* Bounds on what a stranger can send. */
#define RR_MAX_PEER_BYTES (8u << 20)
#define RR_MAX_UPSTREAM_BYTES (8u << 20)
#define RR_MAX_PEER_UPDATES 4096
#define RR_MAX_RELAY_SHARDS 8192
#define RR_MAX_RANGES 1024
#define RR_MAX_UPSTREAM_ROWS 100000
/* Keys are integers below this. */
#define RR_KEY_LIMIT (UINT64_C(1) << 63)

/* protobuf-c; the bytes are freed with g_bytes_unref(). */
GBytes *rr_encode_peer_message(const struct rr_peer_message *message);
struct rr_peer_message *rr_decode_peer_message(const uint8_t *bytes,
					       size_t length, GError **error);

/* The JSON body of an attempt, and the path it is posted to. */
char *rr_encode_attempt_body(const struct rr_attempt *attempt, size_t *length);
char *rr_format_attempt_path(const struct rr_attempt *attempt);

/* A decoded upstream body; `reply` points into it. */
struct rr_upstream_body;

/*
 * Decode the JSON body of a 200 reply into body->reply (status
 * RR_REPLY_OK).  NULL with an error when malformed or cut short.
 */
struct rr_upstream_body *rr_decode_upstream_body(const char *text,
						 size_t length, GError **error);
struct rr_reply *rr_get_upstream_reply(struct rr_upstream_body *body);
void rr_drop_upstream_body(struct rr_upstream_body *body);

/* Where a paged list goes on. */
struct rr_cursor {
	uint64_t version;
	uint64_t map_epoch;
	uint64_t next_key;
	/* Rows of next_key already given: keys may have several rows. */
	uint32_t skip_rows;
};

/* Freed with g_free(). The service's name is part of the check sum. */
char *rr_encode_cursor(const char *service, const struct rr_cursor *cursor);
bool rr_decode_cursor(const char *service, const char *text,
		      struct rr_cursor *cursor, GError **error);

#endif
