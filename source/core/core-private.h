/*
 * core-private.h - the core's own state and what its parts share.
 */
#ifndef RAGWORT_CORE_PRIVATE_H
#define RAGWORT_CORE_PRIVATE_H

#include <glib.h>

#include "core/query-private.h"
#include "core/replica-private.h"
#include "core/timer.h"
#include "ragwort/core.h"
#include "ragwort/counters.h"
#include "ragwort/invariant.h"
#include "ragwort/ledger.h"
#include "ragwort/log.h"
#include "ragwort/member.h"

#define RR_DRAIN_GRACE_US (3 * G_USEC_PER_SEC)
/* What an answer advises where nothing better is known. */
#define RR_DEFAULT_RETRY_AFTER_MS 1000

/* A peer as the relay path sees it. */
struct rr_peer {
	char *instance;
	uint64_t highest_revision; /* it ever told */
	int64_t last_contact_us;   /* last message */
	int64_t backoff_until_us;  /* a relay timed out: left alone */
	int64_t backoff_us;	   /* of the last time */
	uint32_t relays_in_flight;
};

/* A member in the core's own copy of the usable ones. */
struct rr_member_copy {
	char *instance;
	char *zone;
	char *address;
	uint64_t incarnation;
};

struct rr_core {
	struct rr_context *ctx; /* of the event under way, for callbacks */
	int64_t now_us;
	int64_t wall_us;
	char *instance;
	char *zone;
	char *peer_address;
	uint64_t incarnation;
	struct rr_core_actions actions;
	struct rr_store_port store;
	struct rr_policy_switches switches;
	uint64_t id_base;
	uint64_t ids_issued;
	uint64_t next_call_id;
	bool draining;

	struct rr_timers *timers;
	GHashTable *queries;	      /* uint64_t -> struct rr_query */
	GHashTable *attempts;	      /* uint64_t -> struct rr_live_attempt */
	GHashTable *relays;	      /* uint64_t -> struct rr_outgoing_relay */
	GPtrArray *scheduled_queries; /* struct rr_query to look at */
	GPtrArray *replicas_to_dispatch; /* struct rr_replica, referenced */

	/* Configuration in force. */
	struct rr_config *config;
	int64_t config_set_us; /* when it was put in force */
	char *config_record;
	size_t config_record_length;
	uint64_t config_request_id;
	bool awaiting_config;

	GHashTable *services;		/* name -> struct rr_service */
	GPtrArray *service_list;	/* the same, in order */
	GHashTable *replicas;		/* id -> struct rr_replica */
	GHashTable *replicas_by_number; /* number -> struct rr_replica */
	GPtrArray *replica_list;	/* in the order of the configuration */
	uint64_t next_replica_number;

	struct rr_members *members;
	bool members_changed;
	uint64_t members_generation; /* grows with each new copy */
	struct rr_member_copy *member_copies;
	struct rr_member_ref *member_refs;
	size_t n_members;
	GHashTable *peers; /* instance -> struct rr_peer */

	/* Relays taken from peers, by name "instance/incarnation/id". */
	GHashTable *relay_origins; /* name -> query id, of those under way */
	GHashTable *served_relays; /* names of guarded ones, kept for a while */
	GQueue served_relay_order; /* struct served_relay, oldest first */

	struct rr_ledger *ledger;
	GHashTable *claims;	 /* claim -> query id */
	uint32_t ledger_buckets; /* that the ledger was made with */
};

/* core.c */
/* End an event: advance what it touched, send what may go. */
void rr_run_scheduled_work(struct rr_context *ctx, struct rr_core *core);
/* An id that no earlier run of this instance gave. */
uint64_t rr_next_id(struct rr_core *core);
/* Look at a replica's queue when the event ends. */
void rr_schedule_dispatch(struct rr_core *core, struct rr_replica *replica);

/* members-view.c */
void rr_clear_member_copies(struct rr_core *core);
void rr_free_peer(gpointer data);
/* Copy the usable members, if they changed. */
void rr_refresh_member_copies(struct rr_core *core);
struct rr_peer *rr_get_or_add_peer(struct rr_core *core, const char *instance);
/* Forget peers that were not heard for long: names come and go. */
void rr_expire_peers(struct rr_core *core);
/* A message with sender, incarnation and revision filled in. */
struct rr_peer_message *rr_prepare_peer_message(const struct rr_core *core,
						enum rr_peer_kind kind);
/* Send and free. */
void rr_send_peer_message(struct rr_context *ctx, struct rr_core *core,
			  const char *instance, const char *address,
			  struct rr_peer_message *message);

/* relay-serve.c */
void rr_free_served_relays(struct rr_core *core);

/* config-apply.c */
void rr_check_peer_config_revision(struct rr_context *ctx, struct rr_core *core,
				   const struct rr_peer_message *message);
void rr_answer_config_get(struct rr_context *ctx, struct rr_core *core,
			  const struct rr_peer_message *message);
void rr_handle_config_record(struct rr_context *ctx, struct rr_core *core,
			     const struct rr_peer_message *message);
void rr_fire_config_request(struct rr_context *ctx, struct rr_core *core,
			    uint64_t number);

/* reserve.c: the ledger's callback, and the ledger itself */
void rr_start_ledger(struct rr_context *ctx, struct rr_core *core);

#endif
