/*
 * net-peer.h - messages between instances over ZeroMQ, on the GLib main loop.
 *
 * One ROUTER is bound at the peer address and only receives; one DEALER for
 * each peer's address only sends.  A message handed to rr_send_to_peer() counts
 * as sent: it may be lost, and nothing tells.
 */
#ifndef RAGWORT_NET_PEER_H
#define RAGWORT_NET_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/peer.h"

struct rr_peer_transport;

/*
 * CURVE keys in Z85, 40 characters each.  A peer may connect with any of the
 * allowed public keys, and is expected to hold one of them: usually one key
 * pair serves all instances, and two while it is being replaced.
 */
struct rr_peer_keys {
	const char *public_key;
	const char *secret_key;
	const char *const *allowed_keys; /* NULL-terminated, 8 at most */
};

struct rr_peer_transport_options {
	const char *address;		 /* IP:PORT; port 0 takes a free one */
	const struct rr_peer_keys *keys; /* NULL: plain */
	/* A message came; it is freed after the call. */
	void (*received)(void *data, const struct rr_peer_message *message);
	void *data;
};

/*
 * Bind the port; everything is copied.  It works on the thread's default
 * main context.  NULL with an error when the address or a key is bad or the
 * address is taken.
 */
struct rr_peer_transport *
rr_new_peer_transport(struct rr_context *ctx,
		      const struct rr_peer_transport_options *options,
		      GError **error);
/* Close at once; what is not yet written is lost.  NULL is allowed. */
void rr_drop_peer_transport(struct rr_peer_transport *port);

/* The bound IP:PORT, owned by the port. */
const char *rr_peer_transport_address(const struct rr_peer_transport *port);

/*
 * Send a message to the instance at an address; never blocks.  The message
 * stays the caller's.  One that cannot be written waits for the connection
 * for a second at most; it is dropped then, or when too many wait, and
 * counted in RR_N_PEER_MESSAGES_DROPPED.
 */
void rr_send_to_peer(struct rr_context *ctx, struct rr_peer_transport *port,
		     const char *instance, const char *address,
		     const struct rr_peer_message *message);

/*
 * Replace the keys of a running port.  Connections that stand go on; new
 * ones use the new keys.  Replace a key pair in three steps, each on all
 * instances: allow both keys, change the pair, allow the new one only.
 * False with an error, and nothing changed, when a key is malformed or the
 * port was made without keys.
 */
bool rr_set_peer_keys(struct rr_context *ctx, struct rr_peer_transport *port,
		      const struct rr_peer_keys *keys, GError **error);

#endif
