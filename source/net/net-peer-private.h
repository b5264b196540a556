/*
 * net-peer-private.h - internals of struct rr_peer_transport.
 *
 * net-peer.c creates and frees it, net-peer-router.c listens and receives,
 * net-peer-link.c has the links to peers, net-peer-keys.c the CURVE keys and
 * the authentication of peers.
 */
#ifndef RAGWORT_NET_PEER_PRIVATE_H
#define RAGWORT_NET_PEER_PRIVATE_H

#include <zmq.h>

#include "ragwort/net-peer.h"

#define RR_MAX_ALLOWED_KEYS 8
#define RR_CURVE_KEY_BYTES 32

struct peer_keys {
	bool configured;
	uint8_t public_key[RR_CURVE_KEY_BYTES];
	uint8_t secret_key[RR_CURVE_KEY_BYTES];
	uint8_t allowed[RR_MAX_ALLOWED_KEYS][RR_CURVE_KEY_BYTES];
	uint32_t n_allowed;
};

/* An outgoing link to one peer: a DEALER connected to its address. */
struct peer_link {
	struct rr_peer_transport *transport;
	char *address;
	void *socket;	       /* NULL: closed */
	void *next_socket;     /* connecting under new keys, or NULL */
	GSource *write_source; /* only while messages are queued */
	GQueue queue;	       /* struct queued_message */
	/* Index of the allowed key that the peer is assumed to hold. */
	uint32_t key_index;
	/* Keys tried since the link was opened or its keys replaced. */
	uint32_t n_key_tries;
	bool connected;		    /* the socket has accepted a message */
	int64_t connect_started_us; /* when the newest socket was opened */
	/* When the key replacement started; 0: none in progress. */
	int64_t rekey_started_us;
	int64_t last_used_us;
};

/* A listening ROUTER under one key pair. */
struct peer_router {
	struct rr_peer_transport *transport;
	void *socket;
	int fd; /* owned by the socket */
	GSource *read_source;
	/* Set while messages beyond MAX_MESSAGES_PER_TURN are unread. */
	GSource *resume_source;
	char *address;
	uint8_t public_key[RR_CURVE_KEY_BYTES];
	int64_t last_receive_us;
};

struct rr_peer_transport {
	struct rr_context *ctx;
	void *zmq;
	struct peer_router *router;
	/* Under the previous key pair, or NULL. */
	struct peer_router *old_router;
	void *zap_socket; /* NULL without keys */
	GSource *zap_source;
	/* Only while a link has queued messages or is replacing its keys. */
	GSource *link_timer;
	GSource *idle_timer;
	struct peer_keys keys;
	bool keys_removed; /* a formerly allowed key has been removed */
	GHashTable *links; /* address -> struct peer_link */
	void (*received)(void *data, const struct rr_peer_message *message);
	void *data;
};

/* Attach a source that watches a socket's ZMQ_FD. */
GSource *rr_watch_zmq_socket(void *socket, GSourceFunc ready, void *data);
void rr_drop_source(GSource **source);
/* Read ZMQ_EVENTS. */
int rr_get_zmq_events(void *socket);
void rr_set_zmq_int_option(void *socket, int option, int value);

/* net-peer-router.c */
struct peer_router *rr_new_peer_router(struct rr_peer_transport *transport,
				       const char *address, bool shared,
				       GError **error);
void rr_drop_peer_router(struct peer_router *router);
/*
 * Listen under the transport's new key pair, in parallel to the router of the
 * old one.
 */
bool rr_rekey_peer_router(struct rr_peer_transport *transport, GError **error);
/*
 * Close the old router once its key is removed and it receives no more
 * messages.
 */
void rr_close_old_router(struct rr_peer_transport *transport);

/* net-peer-link.c */
void rr_drop_peer_link(void *link);
/* Reconnect every link under the transport's keys without an interruption. */
void rr_rekey_peer_links(struct rr_peer_transport *transport);
void rr_close_idle_links(struct rr_peer_transport *transport);

/* net-peer-keys.c */
bool rr_parse_peer_keys(const struct rr_peer_keys *config,
			struct peer_keys *keys, GError **error);
void rr_set_server_keys(void *socket, const struct peer_keys *keys);
void rr_set_client_keys(void *socket, const struct peer_keys *keys,
			uint32_t key_index);
bool rr_is_peer_key_allowed(const struct peer_keys *keys, const uint8_t *key);
/* Return whether all keys allowed before are still allowed. */
bool rr_are_keys_still_allowed(const struct peer_keys *old_keys,
			       const struct peer_keys *new_keys);
/* Return whether the sender of a message still holds an allowed key. */
bool rr_is_sender_allowed(struct rr_peer_transport *transport,
			  zmq_msg_t *message);
void rr_log_rejected_peer(struct rr_peer_transport *transport);
bool rr_start_zap_handler(struct rr_peer_transport *transport, GError **error);

#endif
