/*
 * peer.h - messages between instances as C structs.
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
	RR_PEER_PING_REQUEST, /* ping `target` on behalf of the sender */
	RR_PEER_RELAY,	      /* query these shards on behalf of the sender */
	RR_PEER_RELAY_REPLY,
	RR_PEER_RELAY_CANCEL,
	RR_PEER_CONFIG_GET, /* request the configuration record */
	RR_PEER_CONFIG,	    /* a complete configuration record */
};

enum rr_member_state {
	RR_MEMBER_ALIVE,
	RR_MEMBER_SUSPECT,
	RR_MEMBER_LEAVING,
	RR_MEMBER_DEAD,
};

/* The state of a member as one instance knows it; carried on pings and acks. */
struct rr_member_update {
	char *instance;
	char *zone;	      /* NULL if the state is dead */
	char *address;	      /* IP:PORT for peers; NULL likewise */
	uint64_t incarnation; /* of the process; increases with each start */
	/* incremented by the member to refute a suspicion */
	uint32_t refutation;
	enum rr_member_state state;
};

/* One shard of a relay. */
struct rr_relay_shard {
	char *shard;
	char *preferred_replica; /* the replica that the sender would choose */
	/*
	 * Range of index versions that the sender knows of; 0 for none.
	 */
	uint64_t oldest_version;
	uint64_t newest_version;
};

/* The outcome of one shard of a relay. */
struct rr_relay_outcome {
	char *shard;
	bool covered;
	enum rr_missing_reason reason; /* if not covered */
	/*
	 * Whether it is proved that nothing ran: no attempt was made, or all
	 * were rejected.
	 */
	bool not_run;
	/* Range of index versions known to the owner that served the relay. */
	uint64_t oldest_version;
	uint64_t newest_version;
	uint32_t attempts;
	struct rr_key_range *ranges; /* key ranges that are covered */
	size_t n_ranges;
};

struct rr_relay {
	/* the sender's query id, unique together with its incarnation */
	uint64_t query_id;
	enum rr_request_kind kind;
	char *service;
	char *request_id;
	char *body;
	char *idempotency_key; /* NULL for reads */
	uint64_t key_from;
	uint64_t key_to;
	uint32_t row_limit;
	/* index version to read; 0: that of the first reply */
	uint64_t version;
	uint64_t map_epoch;
	uint32_t remaining_ms; /* until the sender's deadline */
	bool batch;
	/* revision of the configuration the sender uses */
	uint64_t config_revision;
	struct rr_relay_shard *shards;
	size_t n_shards;
};

struct rr_relay_reply {
	uint64_t query_id;
	uint64_t version;
	struct rr_rows *rows; /* merged rows of all covered shards */
	struct rr_relay_outcome *outcomes;
	size_t n_outcomes;
	char *result; /* result of a reservation; NULL otherwise */
	uint32_t retry_after_ms;
};

struct rr_peer_message {
	enum rr_peer_kind kind;
	char *from;
	uint64_t from_incarnation;
	/*
	 * 0 if the sender does not know it; otherwise, an instance with another
	 * incarnation drops the message.
	 */
	uint64_t to_incarnation;
	uint64_t config_revision; /* the sender's; set in every message */
	uint64_t sequence;	  /* ping, ack, ping request */
	/*
	 * In a ping, the addressed member; in a ping request, the member to
	 * ping; in an ack, the member that is proved alive, NULL for the sender
	 * itself.
	 */
	char *target;
	/*
	 * In pings and acks, the number of usable members that the sender
	 * knows, and a hash of them; if the hashes of two members differ, they
	 * have updates for each other.
	 */
	uint32_t members_count;
	uint64_t members_digest;
	struct rr_member_update *updates;
	size_t n_updates;
	struct rr_relay *relay;
	struct rr_relay_reply *relay_reply;
	uint64_t cancel_query_id;
	/* RR_PEER_CONFIG; NUL-terminated, not counted in config_length */
	char *config_record;
	size_t config_length;
};

struct rr_peer_message *rr_new_peer_message(enum rr_peer_kind kind);
/* Free a message with all it points to. NULL is allowed. */
void rr_drop_peer_message(struct rr_peer_message *message);

#endif
