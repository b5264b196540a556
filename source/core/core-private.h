/*
 * core-private.h - state of the core, and functions shared by its source files.
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

/*
 * How long after the report of a drain attempts may still be sent to the
 * replica; one sent later violates the invariant "drain".
 */
#define RR_DRAIN_GRACE_US (3 * G_USEC_PER_SEC)
/* Retry time in an answer if no better estimate is known. */
#define RR_DEFAULT_RETRY_AFTER_MS 1000

/* State of a peer, for relays. */
struct rr_peer {
	char *instance;
	uint64_t highest_revision; /* highest ever reported by the peer */
	int64_t last_contact_us;   /* last message received from it */
	/* no relays are sent to it until then, as one timed out */
	int64_t backoff_until_us;
	int64_t backoff_us; /* last backoff applied */
	uint32_t relays_in_flight;
};

/* A copy of one usable member (alive or suspect). */
struct rr_member_copy {
	char *instance;
	char *zone;
	char *address;
	uint64_t incarnation;
};

struct rr_core {
	struct rr_context *ctx; /* of the current event, for callbacks */
	int64_t now_us;
	int64_t wall_us;
	char *instance;
	char *zone;
	char *peer_address;
	uint64_t incarnation;
	struct rr_core_actions actions;
	struct rr_store_port store;
	struct rr_policy_switches switches;
	/* incarnation, shifted to make room for ids_issued in each id */
	uint64_t id_base;
	uint64_t ids_issued;
	uint64_t next_call_id;
	bool draining;

	struct rr_timers *timers;
	GHashTable *queries;	      /* uint64_t -> struct rr_query */
	GHashTable *attempts;	      /* uint64_t -> struct rr_live_attempt */
	GHashTable *relays;	      /* uint64_t -> struct rr_outgoing_relay */
	GPtrArray *scheduled_queries; /* struct rr_query to advance */
	/* struct rr_replica, with a reference each */
	GPtrArray *replicas_to_dispatch;

	/* Current configuration. */
	struct rr_config *config;
	int64_t config_set_us; /* when `config` was applied */
	char *config_record;
	size_t config_record_length;
	uint64_t config_request_id;
	bool awaiting_config;

	GHashTable *services;		/* name -> struct rr_service */
	GPtrArray *service_list;	/* in the order of the configuration */
	GHashTable *replicas;		/* id -> struct rr_replica */
	GHashTable *replicas_by_number; /* number -> struct rr_replica */
	GPtrArray *replica_list;	/* in the order of the configuration */
	uint64_t next_replica_number;

	struct rr_members *members;
	bool members_changed;
	/* incremented with each refresh of member_copies */
	uint64_t members_generation;
	struct rr_member_copy *member_copies;
	struct rr_member_ref *member_refs;
	size_t n_members;
	GHashTable *peers; /* instance -> struct rr_peer */

	/* Relays received from peers, by name "instance/incarnation/id". */
	/* name -> query id (uint64_t), for relays in progress */
	GHashTable *relay_origins;
	/*
	 * names of at-most-once relays, kept for a while after receipt: a
	 * second copy of such a relay is not run again
	 */
	GHashTable *served_relays;
	GQueue served_relay_order; /* struct served_relay, oldest first */

	struct rr_ledger *ledger;
	GHashTable *queries_by_claim; /* claim id -> struct rr_query */
	uint32_t ledger_buckets;      /* number the ledger was created with */
};

/* core.c */
/*
 * End an event: advance the scheduled queries and send queued attempts to the
 * scheduled replicas, until nothing is scheduled any more.
 */
void rr_run_scheduled_work(struct rr_context *ctx, struct rr_core *core);
/*
 * Return an id that was not issued before, by this or an earlier incarnation.
 */
uint64_t rr_next_id(struct rr_core *core);
/* Schedule the replica's queue to be dispatched at the end of the event. */
void rr_schedule_dispatch(struct rr_core *core, struct rr_replica *replica);

/* members-view.c */
void rr_clear_member_copies(struct rr_core *core);
void rr_free_peer(gpointer data);
/* Refresh the copies of the usable members, if they changed. */
void rr_refresh_member_copies(struct rr_core *core);
struct rr_peer *rr_get_or_add_peer(struct rr_core *core, const char *instance);
/* Remove peers without recent contact, as names of instances come and go. */
void rr_expire_peers(struct rr_core *core);
/* Create a message with sender, incarnation and revision filled in. */
struct rr_peer_message *rr_prepare_peer_message(const struct rr_core *core,
						enum rr_peer_kind kind);
/* Send a message and free it. */
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

/* reserve.c */
void rr_start_ledger(struct rr_context *ctx, struct rr_core *core);

#endif
