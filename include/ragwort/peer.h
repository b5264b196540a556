/*
 * peer.h - the typed messages between instances.
 *
 * wire-peer.h encodes them; the core sees only these structs.
 */
#ifndef RAGWORT_PEER_H
#define RAGWORT_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/coverage.h"
#include "ragwort/request.h"
#include "ragwort/rows.h"

#define RR_PEER_VERSION 1

enum rr_peer_kind {
	RR_PEER_PING = 1,
	RR_PEER_ACK,
	RR_PEER_PING_REQUEST, /* ping `target` for me */
	RR_PEER_RELAY,	      /* run these shards for me */
	RR_PEER_RELAY_REPLY,
	RR_PEER_RELAY_CANCEL,
	RR_PEER_CONFIG_GET, /* send me your record */
	RR_PEER_CONFIG,	    /* a whole record */
};

enum rr_member_state {
	RR_MEMBER_ALIVE,
	RR_MEMBER_SUSPECT,
	RR_MEMBER_LEAVING,
	RR_MEMBER_DEAD,
};

/* What one instance believes of another; carried on pings and acks. */
struct rr_member_update {
	char *instance;
	char *zone;	      /* NULL where the state is dead */
	char *address;	      /* peers' IP:PORT; likewise */
	uint64_t incarnation; /* of the process; grows with each start */
	uint32_t refutation;  /* raised by the member to refute a suspicion */
	enum rr_member_state state;
};

/* One shard of a relay. */
struct rr_relay_shard {
	char *shard;
	char *preferred_replica; /* the replica the sender would take first */
	/* Versions the sender has seen, 0 for none; of the reply: the range. */
	uint64_t oldest_version;
	uint64_t newest_version;
};

/* What became of one shard of a relay. */
struct rr_relay_outcome {
	char *shard;
	bool covered;
	enum rr_missing_reason reason; /* where not covered */
	/* Proof that no attempt was made for it, or that all were refused. */
	bool not_run;
	uint64_t oldest_version;
	uint64_t newest_version;
	uint32_t attempts;
	struct rr_key_range *ranges; /* really covered */
	size_t n_ranges;
};

struct rr_relay {
	uint64_t query_id; /* the sender's; unique with its incarnation */
	enum rr_request_kind kind;
	char *service;
	char *request_id;
	char *body;
	char *idempotency_key; /* NULL for reads */
	uint64_t key_from;
	uint64_t key_to;
	uint32_t row_limit;
	uint64_t version; /* the pin; 0: whatever the first reply has */
	uint64_t map_epoch;
	uint32_t remaining_ms; /* until the sender's deadline */
	bool batch;
	uint64_t config_revision; /* what the sender runs by */
	struct rr_relay_shard *shards;
	size_t n_shards;
};

struct rr_relay_reply {
	uint64_t query_id;
	uint64_t version;
	struct rr_rows *rows; /* of all covered shards, merged */
	struct rr_relay_outcome *outcomes;
	size_t n_outcomes;
	char *result; /* of a reservation; NULL otherwise */
	uint32_t retry_after_ms;
};

struct rr_peer_message {
	enum rr_peer_kind kind;
	char *from;
	uint64_t from_incarnation;
	/* 0 when the sender does not know it; else others drop the message. */
	uint64_t to_incarnation;
	uint64_t config_revision; /* the sender's, on every message */
	uint64_t sequence;	  /* ping, ack, ping request */
	/* Of a ping: who is meant; of a ping request: whom to ping; of an
	 * ack: who is proved to live, NULL for the sender itself. */
	char *target;
	/* Ping and ack: how many usable members the sender knows, and a hash
	 * of them; two that differ have news for each other. */
	uint32_t members_count;
	uint64_t members_digest;
	struct rr_member_update *updates;
	size_t n_updates;
	struct rr_relay *relay;
	struct rr_relay_reply *relay_reply;
	uint64_t cancel_query_id;
	char *config_record; /* RR_PEER_CONFIG; a NUL follows the text */
	size_t config_length;
};

struct rr_peer_message *rr_new_peer_message(enum rr_peer_kind kind);
/* Frees all that hangs on it. NULL is allowed. */
void rr_drop_peer_message(struct rr_peer_message *message);

#endif
