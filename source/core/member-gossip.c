/*
 * member-gossip.c - updates carried by pings and acks.
 *
 * An update is carried by a limited number of messages: twice the binary
 * logarithm of the group size, after which all members have received it with
 * high probability. A member that missed it nevertheless, or that was isolated,
 * has a different digest and is sent entries of the table. The size of messages
 * thus stays bounded in all cases.
 */
#include <math.h>

#include "core/member-private.h"
#include "ragwort/invariant.h"

#define INVARIANT "membership"
#define TRANSMISSIONS_PER_DOUBLING 2
/*
 * Minimum interval between full-sync acks, so that a member is not fully
 * occupied by many new members that start at the same time.
 */
#define FULL_SYNC_INTERVAL_US 200000
/* A peer counts as new if it knows fewer than 3 in 4 of the members. */
#define NEW_PEER_NUMERATOR 3
#define NEW_PEER_DENOMINATOR 4
/*
 * Consecutive acks with a different digest before a member requests a full sync
 * as if it were new; the threshold doubles for each further request.
 */
#define MIN_RESYNC_THRESHOLD 12
#define MAX_RESYNC_THRESHOLD 768

static uint32_t transmission_limit(const struct rr_members *members)
{
	return TRANSMISSIONS_PER_DOUBLING *
	       (uint32_t)ceil(log2((double)members->n_usable + 2));
}

void rr_queue_member_update(struct rr_members *members, struct member *member)
{
	if (member->update_queued)
		g_queue_unlink(&members->update_queue, &member->update_link);
	member->update_queued = true;
	member->transmissions_left = transmission_limit(members);
	g_queue_push_head_link(&members->update_queue, &member->update_link);
}

void rr_unqueue_member_update(struct rr_members *members, struct member *member)
{
	if (!member->update_queued)
		return;
	g_queue_unlink(&members->update_queue, &member->update_link);
	member->update_queued = false;
}

static void append_update(struct rr_peer_message *message,
			  const struct member *member)
{
	struct rr_member_update *update =
		&message->updates[message->n_updates++];
	bool dead = member->state == RR_MEMBER_DEAD;

	update->instance = g_strdup(member->instance);
	update->zone = dead ? NULL : g_strdup(member->zone);
	update->address = dead ? NULL : g_strdup(member->address);
	update->incarnation = member->incarnation;
	update->refutation = member->refutation;
	update->state = member->state;
}

static void append_self(struct rr_members *members,
			struct rr_peer_message *message)
{
	struct member own = {
		.instance = members->instance,
		.zone = members->zone,
		.address = members->address,
		.incarnation = members->options.incarnation,
		.refutation = members->refutation,
		.state = members->leaving ? RR_MEMBER_LEAVING : RR_MEMBER_ALIVE,
	};

	append_update(message, &own);
}

/*
 * Count the consecutive acks with a different digest; after several, a full
 * sync is requested. Guards against a member that never learns the last of many
 * changes: after a partition, or when all instances start at once, most of the
 * entries that happen to be sent are already known, and the rest would take
 * minutes.
 */
void rr_compare_digest(struct rr_members *members,
		       const struct rr_peer_message *ack)
{
	if (ack->members_digest != members->digest) {
		members->digest_mismatches++;
		return;
	}
	members->digest_mismatches = 0;
	members->resync_threshold = MIN_RESYNC_THRESHOLD;
}

/*
 * Return whether to request a full sync with this ping, which is done by
 * reporting a member count of 0.
 */
static bool should_request_full_sync(struct rr_members *members)
{
	if (members->digest_mismatches <
	    MAX(members->resync_threshold, MIN_RESYNC_THRESHOLD))
		return false;
	members->digest_mismatches = 0;
	members->resync_threshold =
		MIN(MAX(members->resync_threshold, MIN_RESYNC_THRESHOLD) * 2,
		    MAX_RESYNC_THRESHOLD);
	return true;
}

/*
 * Append queued updates, newest first. A sent update moves to the end of the
 * queue until its transmissions are used up.
 */
static void append_queued_updates(struct rr_members *members,
				  struct rr_peer_message *message,
				  const struct member *about)
{
	guint remaining = members->update_queue.length;

	while (remaining-- && message->n_updates < RR_MEMBER_MAX_UPDATES) {
		GList *link = g_queue_pop_head_link(&members->update_queue);
		struct member *member = link->data;

		rr_invariant(INVARIANT, member && member->update_queued);
		if (member != about)
			append_update(message, member);
		if (--member->transmissions_left)
			g_queue_push_tail_link(&members->update_queue, link);
		else
			member->update_queued = false;
	}
}

struct rr_peer_message *rr_new_member_message(struct rr_members *members,
					      enum rr_peer_kind kind,
					      const struct member *about)
{
	struct rr_peer_message *message = rr_new_peer_message(kind);

	message->from = g_strdup(members->instance);
	message->from_incarnation = members->options.incarnation;
	message->members_count =
		(uint32_t)members->n_usable + (members->leaving ? 0 : 1);
	message->members_digest = members->digest;
	if (kind == RR_PEER_PING && should_request_full_sync(members))
		message->members_count = 0;
	message->updates =
		g_new0(struct rr_member_update, RR_MEMBER_MAX_UPDATES);
	append_self(members, message);
	if (about && about->state != RR_MEMBER_ALIVE)
		append_update(message, about);
	append_queued_updates(members, message, about);
	return message;
}

/* Append entries that are not dead, continuing after the last one sent. */
static void append_table_entries(struct rr_members *members,
				 struct rr_peer_message *message, size_t limit)
{
	guint n = members->table->len;

	for (guint i = 0; i < n && message->n_updates < limit; i++) {
		struct member *member;

		members->repair_cursor = (members->repair_cursor + 1) % n;
		member = members->table->pdata[members->repair_cursor];
		if (member->state != RR_MEMBER_DEAD)
			append_update(message, member);
	}
}

void rr_append_repair_updates(struct rr_members *members,
			      struct rr_peer_message *message, int64_t now_us,
			      uint32_t peer_count, uint64_t peer_digest)
{
	size_t limit = MIN(message->n_updates + RR_MEMBER_MAX_REPAIR,
			   RR_MEMBER_MAX_UPDATES);

	if (peer_digest == members->digest)
		return;
	if ((uint64_t)peer_count * NEW_PEER_DENOMINATOR <
		    (uint64_t)message->members_count * NEW_PEER_NUMERATOR &&
	    now_us >= members->next_full_sync_us) {
		members->next_full_sync_us = now_us + FULL_SYNC_INTERVAL_US;
		limit = RR_MEMBER_MAX_FULL_SYNC;
		message->updates =
			g_renew(struct rr_member_update, message->updates,
				message->n_updates + members->table->len);
	}
	append_table_entries(members, message, limit);
}

void rr_send_member_message(struct rr_members *members, const char *instance,
			    const char *address,
			    struct rr_peer_message *message)
{
	rr_invariant(INVARIANT, message->n_updates <= RR_MEMBER_MAX_FULL_SYNC);
	rr_invariant(INVARIANT, address != NULL);
	members->options.send(members->options.data, instance, address,
			      message);
	rr_drop_peer_message(message);
}
