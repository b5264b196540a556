/*
 * wire.h - encoders and decoders of peer messages, upstream bodies and cursors.
 *
 * The functions do no I/O.  Malformed input gives an error that names the
 * invalid part; decoders never abort and never read past the end of the input.
 */
#ifndef RAGWORT_WIRE_H
#define RAGWORT_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/attempt.h"
#include "ragwort/peer.h"

/* Limits on input from the network. */
#define RR_MAX_PEER_BYTES (8u << 20)
#define RR_MAX_UPSTREAM_BYTES (8u << 20)
#define RR_MAX_PEER_UPDATES 4096
#define RR_MAX_RELAY_SHARDS 8192
#define RR_MAX_RANGES 1024
#define RR_MAX_UPSTREAM_ROWS 100000
/* Keys are integers below this. */
#define RR_KEY_LIMIT (UINT64_C(1) << 63)

/*
 * Encode a peer message as protobuf (proto/peer.proto).  The caller frees the
 * result with g_bytes_unref().
 */
GBytes *rr_encode_peer_message(const struct rr_peer_message *message);
/*
 * Decode and check a peer message; `length` is in bytes.  The caller frees the
 * result with rr_drop_peer_message().  NULL with an error if it is malformed or
 * too large.
 */
struct rr_peer_message *rr_decode_peer_message(const uint8_t *bytes,
					       size_t length, GError **error);

/*
 * Return the JSON body of an attempt, *length bytes long, and the path that it
 * is posted to.  The caller frees both with g_free().
 */
char *rr_encode_attempt_body(const struct rr_attempt *attempt, size_t *length);
char *rr_format_attempt_path(const struct rr_attempt *attempt);

/* A decoded upstream body, which owns the reply. */
struct rr_upstream_body;

/*
 * Decode the JSON body of a 200 reply; `length` is in bytes.  The caller frees
 * the result with rr_drop_upstream_body().  NULL with an error if the body is
 * malformed, too large or truncated.
 */
struct rr_upstream_body *rr_decode_upstream_body(const char *text,
						 size_t length, GError **error);
/* Return the reply, with status RR_REPLY_OK; it is owned by the body. */
struct rr_reply *rr_get_upstream_reply(struct rr_upstream_body *body);
/* Free a body; NULL is ignored. */
void rr_drop_upstream_body(struct rr_upstream_body *body);

/* The position at which the next page of a list starts. */
struct rr_cursor {
	uint64_t version; /* of the index that all pages are read from */
	uint64_t map_epoch;
	uint64_t next_key;
	/* Rows of next_key already returned; a key may have several rows. */
	uint32_t skip_rows;
};

/*
 * Encode a cursor as text, which the caller frees with g_free().  The checksum
 * includes the service's name.
 */
char *rr_encode_cursor(const char *service, const struct rr_cursor *cursor);
/*
 * Decode the text of a cursor.  False with an error if it is malformed or was
 * altered, or if it was encoded for another service.
 */
bool rr_decode_cursor(const char *service, const char *text,
		      struct rr_cursor *cursor, GError **error);

#endif
