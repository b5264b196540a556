/*
 * net-peer.h - messages between instances over ZeroMQ, on the GLib main loop.
 *
 * One ROUTER socket, bound to the peer address, only receives; one DEALER
 * socket per peer address only sends. A message passed to rr_send_to_peer()
 * counts as sent: it may be lost without any notification.
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
	const char *address;		 /* IP:PORT; port 0 picks a free one */
	const struct rr_peer_keys *keys; /* NULL: no encryption */
	/* Handles a message, which is freed after the call. */
	void (*received)(void *data, const struct rr_peer_message *message);
	void *data;
};

/*
 * Bind the peer address. The options are copied. The transport runs on the
 * default main context of the thread. Returns NULL with an error if the address
 * or a key is invalid or the address is in use.
 */
struct rr_peer_transport *
rr_new_peer_transport(struct rr_context *ctx,
		      const struct rr_peer_transport_options *options,
		      GError **error);
/* Close immediately; unwritten messages are lost. NULL is allowed. */
void rr_drop_peer_transport(struct rr_peer_transport *transport);

/* Return the bound IP:PORT, owned by the transport. */
const char *
rr_peer_transport_address(const struct rr_peer_transport *transport);

/*
 * Send a message to the instance at an address; never blocks. The caller keeps
 * ownership of the message. A message that cannot be written is queued for the
 * connection for one second at most. It is dropped after that, or at once if
 * the queue is full, and counted in RR_N_PEER_MESSAGES_DROPPED.
 */
void rr_send_to_peer(struct rr_context *ctx,
		     struct rr_peer_transport *transport, const char *instance,
		     const char *address,
		     const struct rr_peer_message *message);

/*
 * Replace the keys of a running transport. Established connections are kept;
 * new ones use the new keys. Replace a key pair in three steps, each on all
 * instances: allow both keys, change the pair, allow only the new one. Returns
 * false with an error, and changes nothing, if a key is malformed or the
 * transport was created without keys.
 */
bool rr_set_peer_keys(struct rr_context *ctx,
		      struct rr_peer_transport *transport,
		      const struct rr_peer_keys *keys, GError **error);

#endif
