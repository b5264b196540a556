/*
 * net-peer-private.h - inside of struct rr_peer_transport.
 *
 * net-peer.c opens and closes, net-peer-router.c listens and receives,
 * net-peer-link.c has the links to peers,
 * net-peer-keys.c the CURVE keys and the check of a peer's key.
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

/* The way to one peer: a DEALER connected to its address. */
struct peer_link {
	struct rr_peer_transport *transport;
	char *address;
	void *socket;	       /* NULL: closed */
	void *next_socket;     /* the one to come under new keys, or NULL */
	GSource *write_source; /* only while messages wait */
	GQueue queue;	       /* struct waiting_message */
	uint32_t key_index;    /* which allowed key the peer is taken to hold */
	uint32_t n_key_tries;  /* keys tried since the link was opened */
	bool connected;	       /* the socket has taken a message */
	int64_t connect_started_us; /* when the newest socket was opened */
	int64_t rekey_started_us;   /* when `next` was first asked for */
	int64_t last_used_us;
};

/* What listens, under one key pair. */
struct peer_router {
	struct rr_peer_transport *transport;
	void *socket;
	int fd; /* owned by the socket */
	GSource *read_source;
	GSource *resume_source; /* more was waiting than one turn takes */
	char *address;
	uint8_t public_key[RR_CURVE_KEY_BYTES];
	int64_t last_receive_us;
};

struct rr_peer_transport {
	struct rr_context *ctx;
	void *zmq;
	struct peer_router *router;
	struct peer_router *old_router; /* under the pair before, or NULL */
	void *zap_socket;		/* NULL without keys */
	GSource *zap_source;
	GSource *link_timer; /* only while some link waits or is renewed */
	GSource *idle_timer;
	struct peer_keys keys;
	bool keys_removed; /* some key was allowed once and is no more */
	GHashTable *links; /* address to struct peer_link */
	void (*received)(void *data, const struct rr_peer_message *message);
	void *data;
};

/* Attach a watch of a socket's ZMQ_FD. */
GSource *rr_watch_zmq_socket(void *socket, GSourceFunc ready, void *data);
void rr_drop_source(GSource **source);
/* ZMQ_EVENTS, read anew. */
int rr_get_zmq_events(void *socket);
void rr_set_zmq_int_option(void *socket, int option, int value);

/* net-peer-router.c */
struct peer_router *rr_new_peer_router(struct rr_peer_transport *port,
				       const char *address, bool shared,
				       GError **error);
void rr_drop_peer_router(struct peer_router *router);
/* Listen under the port's new pair beside the router of the old one. */
bool rr_rekey_peer_router(struct rr_peer_transport *port, GError **error);
/* Close the old router once its key is removed and nobody uses it. */
void rr_close_old_router(struct rr_peer_transport *port);

/* net-peer-link.c */
void rr_drop_peer_link(void *link);
/* Connect every link anew under the port's keys, without a gap. */
void rr_rekey_peer_links(struct rr_peer_transport *port);
void rr_close_idle_links(struct rr_peer_transport *port);

/* net-peer-keys.c */
bool rr_parse_peer_keys(const struct rr_peer_keys *from, struct peer_keys *keys,
			GError **error);
void rr_set_server_keys(void *socket, const struct peer_keys *keys);
void rr_set_client_keys(void *socket, const struct peer_keys *keys,
			uint32_t key_index);
bool rr_is_peer_key_allowed(const struct peer_keys *keys, const uint8_t *key);
/* Whether every key allowed before is allowed still. */
bool rr_are_keys_still_allowed(const struct peer_keys *before,
			       const struct peer_keys *now);
/* Whether the sender of a message still holds an allowed key. */
bool rr_is_sender_allowed(struct rr_peer_transport *port, zmq_msg_t *message);
void rr_log_rejected_peer(struct rr_peer_transport *port);
bool rr_start_zap_handler(struct rr_peer_transport *port, GError **error);

#endif
