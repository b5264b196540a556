/*
 * member-private.h - inside of struct rr_members.
 *
 * member.c has the public functions, member-table.c who is known and what is
 * believed, member-gossip.c what rides on a message, member-probe.c the pings.
 */
#ifndef RAGWORT_MEMBER_PRIVATE_H
#define RAGWORT_MEMBER_PRIVATE_H

#include "ragwort/member.h"

/* Updates on one ping or ack, the sender's own included. */
#define RR_MEMBER_MAX_UPDATES 24
/* Of these, entries sent because the two sides' digests differ. */
#define RR_MEMBER_MAX_REPAIR 12
/* Entries of the one long ack that a newcomer gets. */
#define RR_MEMBER_MAX_FULL_SYNC 4000
/* Members known, dead ones included; and hints not yet answered. */
#define RR_MEMBER_MAX_KNOWN 8192
#define RR_MEMBER_MAX_HINTS 4096

struct member {
	char *instance;
	char *zone;
	char *address;
	uint64_t incarnation;
	uint32_t refutation;
	enum rr_member_state state;
	/* When a suspect, or a silent leaving one, is declared dead. */
	int64_t suspicion_end_us; /* INT64_MAX: not */
	int64_t dead_us;	  /* when it was declared dead */
	int64_t rebroadcast_us; /* dead: tell so again then, if still silent */
	bool left_gracefully;	/* said that it is leaving before it died */
	bool ping_soon;		/* somebody believes otherwise: ask itself */
	bool update_queued;
	uint32_t transmissions_left; /* how often its news still rides */
	uint64_t probe_weight;	     /* the highest are those we probe */
	GList update_link;
};

struct hint {
	char *instance; /* NULL: a seed, only the address is known */
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

/* The one probe under way. */
struct probe {
	struct member *target; /* NULL: none */
	uint64_t sequence;
	int64_t ping_request_us; /* when helpers are asked; INT64_MAX: were */
	bool answered;
};

struct rr_members {
	struct rr_members_options options;
	char *instance;
	char *zone;
	char *address;
	uint32_t refutation;
	bool leaving;

	GPtrArray *table;    /* struct member, sorted by instance; not self */
	size_t n_usable;     /* of the table */
	size_t n_suspicions; /* members with a verdict to come */
	size_t n_dead;
	uint64_t digest;     /* of usable members, self included */
	GQueue update_queue; /* of news_link: what changed last comes first */
	guint repair_cursor; /* next entry of the table to fill up with */
	int64_t next_full_sync_us;
	bool applying_full_sync; /* the updates being applied are a long ack's */
	uint32_t digest_mismatches; /* in a row, from members who know others */
	uint32_t resync_threshold; /* of these, before the table is asked for */

	GPtrArray *probe_order;
	guint probe_cursor;
	struct probe probe;
	uint64_t next_sequence;
	int64_t next_period_us;
	int64_t reported_wake_us; /* as last told to the carrier */
	uint32_t
		local_slowness; /* 0: fine; how slow this instance itself seems */
	uint32_t periods;
	GArray *requested_pings; /* struct requested_ping */
	GPtrArray *hints;

	GArray *usable; /* struct rr_member_ref */
	bool usable_stale;
	bool change_pending; /* tell the callback before returning */
};

/* member-table.c */
void rr_init_member_table(struct rr_members *members);
void rr_clear_member_table(struct rr_members *members);
struct member *rr_lookup_member(const struct rr_members *members,
				const char *instance);
/* Take an update from a message or of our own making. */
void rr_apply_member_update(struct rr_context *ctx, struct rr_members *members,
			    int64_t now_us,
			    const struct rr_member_update *update);
void rr_set_member_state(struct rr_context *ctx, struct rr_members *members,
			 struct member *member, enum rr_member_state state,
			 int64_t now_us);
void rr_suspect_member(struct rr_context *ctx, struct rr_members *members,
		       struct member *member, int64_t now_us);
/* Verdicts that are due, and dead members remembered for long enough. */
void rr_expire_members(struct rr_context *ctx, struct rr_members *members,
		       int64_t now_us);
int64_t rr_next_suspicion_end_us(const struct rr_members *members);
uint64_t rr_hash_member(const char *instance, uint64_t incarnation);

/* member-gossip.c */
void rr_queue_member_update(struct rr_members *members, struct member *member);
void rr_unqueue_member_update(struct rr_members *members,
			      struct member *member);
/* A message with this instance's own update and news; `about` is a member
 * that has to hear what is believed of itself, or NULL. */
struct rr_peer_message *rr_new_member_message(struct rr_members *members,
					      enum rr_peer_kind kind,
					      const struct member *about);
/* Add what a peer of that count and digest lacks. */
void rr_append_repair_updates(struct rr_members *members,
			      struct rr_peer_message *message, int64_t now_us,
			      uint32_t peer_count, uint64_t peer_digest);
void rr_send_member_message(struct rr_members *members, const char *instance,
			    const char *address,
			    struct rr_peer_message *message);

/* Note whether an ack's sender knows the same members. */
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
/* A member is known now: its hints are done. */
void rr_remove_member_hints(struct rr_members *members,
			    const struct member *member);
int64_t rr_next_hint_us(const struct rr_members *members);

#endif
