/*
 * allowance-members.h - the instances that keep allowances: who owns an account
 * in a zone, and which of them are reachable.
 */
#ifndef RAGWORT_CORE_ACCOUNT_ALLOWANCE_MEMBERS_H
#define RAGWORT_CORE_ACCOUNT_ALLOWANCE_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_allowance_member {
	char *id;
	char *zone;
	char *address; /* IP:PORT */
	bool is_self;
	uint64_t weight;	/* for the account that is being ordered */
	bool down;		/* its last call or probe failed */
	uint32_t n_missed;	/* replies in a row; see rr_is_member_gone() */
	bool probing;		/* a probe is in flight */
	int64_t avoid_until_us; /* was slow to reply: others are asked first */
	int64_t contact_us;	/* last reply; 0 if none */
	int64_t probed_us;	/* last probe sent */
};

struct rr_allowance_members {
	char *self;
	char *zone;
	GHashTable *by_id; /* id -> struct rr_allowance_member */
	uint64_t version;  /* incremented by each change */
	/* struct rr_member_change of this zone, oldest first */
	GArray *changes;
	/* Time of the last one that is not in `changes` any more; 0 if none. */
	int64_t dropped_us;
	/* Contact with any other instance. */
	int64_t contact_us;
	uint32_t n_failures; /* failed calls since then */
};

/* Copy the instance's own id and zone. */
void rr_init_allowance_members(struct rr_allowance_members *members,
			       const char *self, const char *zone,
			       int64_t now_us);
void rr_clear_allowance_members(struct rr_allowance_members *members);
/*
 * Add, change or remove (zone NULL) a member.  A member that was restarted is
 * removed first.
 */
void rr_update_allowance_member(struct rr_allowance_members *members,
				int64_t now_us, const char *id,
				const char *zone, const char *address);
struct rr_allowance_member *
rr_find_allowance_member(const struct rr_allowance_members *members,
			 const char *id);
/*
 * Return the members of a zone in the order in which they may own an account,
 * an array to be freed with g_ptr_array_unref().  It is valid until
 * members->version changes.
 */
GPtrArray *rr_order_owners(const struct rr_allowance_members *members,
			   const char *zone, const char *account);
/*
 * Return the time of the last change, of those in the last `window_us`, of a
 * member that goes before this instance for an account: it may have granted
 * from the same part of the allowance.  0 if there was none.
 */
int64_t rr_last_owner_change_us(struct rr_allowance_members *members,
				int64_t now_us, int64_t window_us,
				const char *account);

/* Record a reply of a member, or a call that was received (NULL). */
void rr_note_allowance_contact(struct rr_allowance_members *members,
			       struct rr_allowance_member *member,
			       int64_t now_us);
/*
 * Record a call without a reply; `member` may be NULL.  A call that the network
 * reports as failed says more about it than one whose reply is late.
 */
void rr_note_allowance_failure(struct rr_allowance_members *members,
			       struct rr_allowance_member *member,
			       bool is_late);
/* Whether a member did not reply often enough for another one to take over. */
bool rr_is_member_gone(const struct rr_allowance_member *member);
/* Whether no other instance can be reached, though there are some. */
bool rr_is_allowance_isolated(const struct rr_allowance_members *members,
			      int64_t now_us);

#endif
