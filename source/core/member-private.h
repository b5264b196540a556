/*
 * member-private.h - internal state of struct rr_members.
 *
 * member.c has the public functions, member-table.c the member list and its
 * states, member-gossip.c the updates carried by messages, member-probe.c the
 * pings and member-hint.c the hints.
 */
#ifndef RAGWORT_MEMBER_PRIVATE_H
#define RAGWORT_MEMBER_PRIVATE_H

#include "ragwort/member.h"

/* Maximum number of updates in a ping or ack, the sender's own included. */
#define RR_MEMBER_MAX_UPDATES 24
/*
 * Maximum number of these that are sent because the digests of the two sides
 * differ.
 */
#define RR_MEMBER_MAX_REPAIR 12
/* Maximum number of updates in the full-sync ack for a new member. */
#define RR_MEMBER_MAX_FULL_SYNC 4000
/*
 * Maximum numbers of known members, dead ones included, and of unanswered
 * hints.
 */
#define RR_MEMBER_MAX_KNOWN 8192
#define RR_MEMBER_MAX_HINTS 4096

struct member {
	char *instance;
	char *zone;
	char *address;
	uint64_t incarnation;
	uint32_t refutation;
	enum rr_member_state state;
	/*
	 * When a suspect, or an unresponsive leaving member, is declared dead;
	 * INT64_MAX: not scheduled.
	 */
	int64_t suspicion_end_us; /* INT64_MAX: not */
	int64_t dead_us;	  /* when it was declared dead */
	/* if dead: when to broadcast it again if there is still no reply */
	int64_t rebroadcast_us;
	/* announced that it is leaving before it died */
	bool left_gracefully;
	/* members disagree about its state: ping it directly */
	bool ping_soon;
	bool update_queued;
	/* remaining messages that carry its update */
	uint32_t transmissions_left;
	/* the members with the highest weights are probed */
	uint64_t probe_weight;
	GList update_link;
};

struct hint {
	char *instance; /* NULL: a seed, of which only the address is known */
	char *address;
	int64_t next_ping_us;
	int64_t backoff_us;
	uint32_t pings_sent;
};

/* A ping sent on behalf of another member. */
struct requested_ping {
	uint64_t sequence;
	uint64_t requester_sequence;
	char *requester;
	char *target;
	int64_t expires_us;
};

/* The probe in progress; there is at most one. */
struct probe {
	struct member *target; /* NULL: no probe in progress */
	uint64_t sequence;
	/* when ping requests are sent; INT64_MAX: already sent */
	int64_t ping_request_us;
	bool answered;
};

struct rr_members {
	struct rr_members_options options;
	char *instance;
	char *zone;
	char *address;
	uint32_t refutation;
	bool leaving;

	/* struct member, sorted by instance; without self */
	GPtrArray *table;
	size_t n_usable;     /* usable members in the table */
	size_t n_suspicions; /* number of members with a suspicion_end_us */
	size_t n_dead;
	uint64_t digest; /* of usable members, self included */
	/* links are member.update_link; latest change first */
	GQueue update_queue;
	guint repair_cursor; /* position in the table for repair updates */
	int64_t next_full_sync_us;
	bool applying_full_sync; /* set while applying a full-sync ack */
	/* consecutive acks with a different digest */
	uint32_t digest_mismatches;
	/* digest_mismatches that trigger a full sync */
	uint32_t resync_threshold;

	GPtrArray *probe_order;
	guint probe_cursor;
	struct probe probe;
	uint64_t next_sequence;
	int64_t next_period_us;
	/* last wake-up time computed for the caller */
	int64_t reported_wake_us;
	/*
	 * Raised when this instance itself seems slow (it was paused, or others
	 * suspected it), lowered by each answered probe. The period and the ack
	 * timeout of probes are multiplied by 1 + local_slowness.
	 */
	uint32_t local_slowness;
	uint32_t periods;
	GArray *requested_pings; /* struct requested_ping */
	GPtrArray *hints;

	GArray *usable; /* struct rr_member_ref */
	bool usable_stale;
	bool change_pending; /* call the changed callback before returning */
};

/* member-table.c */
void rr_init_member_table(struct rr_members *members);
void rr_clear_member_table(struct rr_members *members);
struct member *rr_lookup_member(const struct rr_members *members,
				const char *instance);
/* Apply an update from a message, or one created locally. */
void rr_apply_member_update(struct rr_context *ctx, struct rr_members *members,
			    int64_t now_us,
			    const struct rr_member_update *update);
void rr_set_member_state(struct rr_context *ctx, struct rr_members *members,
			 struct member *member, enum rr_member_state state,
			 int64_t now_us);
void rr_suspect_member(struct rr_context *ctx, struct rr_members *members,
		       struct member *member, int64_t now_us);
/*
 * Declare members dead whose suspicion ended, and remove dead members after the
 * retention time.
 */
void rr_expire_members(struct rr_context *ctx, struct rr_members *members,
		       int64_t now_us);
int64_t rr_next_suspicion_end_us(const struct rr_members *members);
uint64_t rr_hash_member(const char *instance, uint64_t incarnation);

/* member-gossip.c */
void rr_queue_member_update(struct rr_members *members, struct member *member);
void rr_unqueue_member_update(struct rr_members *members,
			      struct member *member);
/*
 * Create a message with the update of this instance itself and with queued
 * updates. `about` is a member that has to learn its own state as known here,
 * or NULL.
 */
struct rr_peer_message *rr_new_member_message(struct rr_members *members,
					      enum rr_peer_kind kind,
					      const struct member *about);
/* Append updates that a peer with this member count and digest may miss. */
void rr_append_repair_updates(struct rr_members *members,
			      struct rr_peer_message *message, int64_t now_us,
			      uint32_t peer_count, uint64_t peer_digest);
void rr_send_member_message(struct rr_members *members, const char *instance,
			    const char *address,
			    struct rr_peer_message *message);

/* Record whether the sender of an ack knows the same members. */
void rr_compare_digest(struct rr_members *members,
		       const struct rr_peer_message *ack);

/* member-probe.c */
void rr_insert_in_probe_order(struct rr_context *ctx,
			      struct rr_members *members,
			      struct member *member);
void rr_remove_from_probe_order(struct rr_members *members,
				struct member *member);
void rr_start_probe_period(struct rr_context *ctx, struct rr_members *members,
			   int64_t now_us);
void rr_send_ping_requests(struct rr_context *ctx, struct rr_members *members);
void rr_handle_ping(struct rr_members *members, int64_t now_us,
		    const struct rr_peer_message *message);
void rr_handle_ack(struct rr_members *members,
		   const struct rr_peer_message *message);
void rr_handle_ping_request(struct rr_members *members, int64_t now_us,
			    const struct rr_peer_message *message);
int64_t rr_probe_period_us(const struct rr_members *members);
void rr_expire_requested_pings(struct rr_members *members, int64_t now_us);

/* member-hint.c */
void rr_free_hint(void *hint);
/* Ping up to `limit` hints that are due. */
void rr_ping_hints(struct rr_members *members, int64_t now_us, uint32_t limit);
/* Remove the hints for a member that is now known. */
void rr_remove_member_hints(struct rr_members *members,
			    const struct member *member);
int64_t rr_next_hint_us(const struct rr_members *members);

#endif
