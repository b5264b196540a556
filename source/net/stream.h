/*
 * stream.h - one TCP connection without blocking: bytes in, bytes out, its
 * end.
 *
 * The owner drops a stream whenever it likes, inside its callbacks too.
 */
#ifndef RAGWORT_NET_STREAM_H
#define RAGWORT_NET_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/poller.h"

struct rr_stream;

enum rr_stream_end {
	RR_STREAM_EOF,	   /* the peer sends no more; it may still read */
	RR_STREAM_ERROR,   /* reset, timed out or unreachable */
	RR_STREAM_REFUSED, /* nobody listens there */
};

struct rr_stream_callbacks {
	/* The connection that was asked for stands; NULL if not needed. */
	void (*connected)(void *data);
	void (*received)(void *data, const uint8_t *bytes, size_t length);
	/* Once; nothing comes afterwards. */
	void (*ended)(void *data, enum rr_stream_end end);
	/* All bytes that waited were handed to the system; NULL allowed. */
	void (*flushed)(void *data);
	void *data;
};

/*
 * Begin to connect to IP:PORT.  NULL when that fails at once, or for what is
 * no such address.
 */
struct rr_stream *rr_connect_stream(struct rr_poller *poller,
				    const char *address,
				    const struct rr_stream_callbacks *owner);
/* Take over an accepted descriptor, without blocking.  NULL on failure. */
struct rr_stream *
rr_new_accepted_stream(struct rr_poller *poller, int fd,
		       const struct rr_stream_callbacks *owner);
/* Close it.  Bytes that were not sent yet are lost.  NULL is allowed. */
void rr_drop_stream(struct rr_stream *stream);

/*
 * Send bytes, keeping what the system does not take at once.  False when the
 * connection is found broken; *taken tells then whether any byte of these
 * may have left.
 */
bool rr_write_stream(struct rr_stream *stream, const uint8_t *bytes,
		     size_t length, bool *taken);
size_t rr_unsent_bytes(const struct rr_stream *stream);
/* Close the sending side once all bytes are out. */
void rr_shutdown_stream_write(struct rr_stream *stream);
/*
 * Stop or go on reading: what a peer sends meanwhile waits with the system,
 * and then with the peer.
 */
void rr_set_stream_paused(struct rr_stream *stream, bool paused);
/* Whether bytes or an end wait to be read: nothing should, when idle. */
bool rr_stream_has_input(const struct rr_stream *stream);
/* The measured time there and back; 0 if the system does not tell. */
int64_t rr_stream_rtt_us(const struct rr_stream *stream);

#endif
