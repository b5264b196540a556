/*
 * stream.h - a non-blocking TCP connection.
 *
 * The owner may drop a stream at any time, even inside its callbacks.
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
	RR_STREAM_EOF, /* the peer closed its sending side; it may still read */
	RR_STREAM_ERROR,   /* reset, timed out or unreachable */
	RR_STREAM_REFUSED, /* connection refused */
};

struct rr_stream_callbacks {
	/* The connection is established; NULL if not needed. */
	void (*connected)(void *data);
	void (*received)(void *data, const uint8_t *bytes, size_t length);
	/* The stream ended; called once, as the last callback. */
	void (*ended)(void *data, enum rr_stream_end end);
	/* All buffered bytes were passed to the kernel; NULL is allowed. */
	void (*flushed)(void *data);
	void *data;
};

/*
 * Start to connect to IP:PORT. Returns NULL if that fails immediately or the
 * address is invalid.
 */
struct rr_stream *
rr_connect_stream(struct rr_poller *poller, const char *address,
		  const struct rr_stream_callbacks *callbacks);
/*
 * Create a stream for an accepted descriptor, which must be non-blocking and is
 * owned by the stream from then on. Returns NULL on failure; the descriptor
 * then stays with the caller.
 */
struct rr_stream *
rr_new_accepted_stream(struct rr_poller *poller, int fd,
		       const struct rr_stream_callbacks *callbacks);
/* Close a stream; unsent bytes are lost. NULL is allowed. */
void rr_drop_stream(struct rr_stream *stream);

/*
 * Send bytes; those that the kernel does not accept at once are buffered.
 * Returns false if the connection has failed; *taken is then whether any of
 * these bytes may have been sent.
 */
bool rr_write_stream(struct rr_stream *stream, const uint8_t *bytes,
		     size_t length, bool *taken);
size_t rr_unsent_bytes(const struct rr_stream *stream);
/* Close the sending side after all buffered bytes are sent. */
void rr_shutdown_stream_write(struct rr_stream *stream);
/*
 * Pause or resume reading. While reading is paused, data from the peer stays in
 * the kernel buffers; when they are full, TCP flow control stops the peer.
 */
void rr_set_stream_paused(struct rr_stream *stream, bool paused);
/*
 * Stop or resume reading until more data may be stored. Unlike a pause, this
 * also delays the report of an orderly end, which follows the unread data.
 */
void rr_set_stream_throttled(struct rr_stream *stream, bool throttled);
/*
 * Return whether data or an end of stream is waiting to be read, which should
 * not be the case on an idle connection.
 */
bool rr_stream_has_input(const struct rr_stream *stream);
/* Return the peer's IP address, to be freed with g_free(). */
char *rr_stream_peer_ip(const struct rr_stream *stream);
/* Return the round-trip time measured by the kernel; 0 if not available. */
int64_t rr_stream_rtt_us(const struct rr_stream *stream);

#endif
