/*
 * member-gossip.c - what rides on pings and acks.
 *
 * News of a change rides on a bounded number of messages (twice the binary
 * logarithm of the size: then all have heard it with high probability).  Who
 * missed it nevertheless, or was cut off, differs in the digest and is sent
 * entries of the table.  So a message stays bounded, whatever happened.
 */
#include <math.h>

#include "core/member-private.h"
#include "ragwort/invariant.h"

#define PROMISE "membership"
#define SENDS_PER_DOUBLING 2
/* A newcomer's one long ack: not more often, so that a rack of newcomers
 * cannot make one member send nothing else. */
#define SYNC_INTERVAL_US 200000
/* A newcomer is who knows less than this part of the members: 3 in 4. */
#define SYNC_BELOW_FACTOR 3
#define SYNC_BELOW_DIVISOR 4
/* Differing acks in a row before a member asks for a whole table, as if it
 * were a newcomer; twice as many before each further one. */
#define FIRST_PATIENCE 12
#define MAX_PATIENCE 768

static uint32_t news_sends(const struct rr_members *members)
{
	return SENDS_PER_DOUBLING *
	       (uint32_t)ceil(log2((double)members->n_usable + 2));
}

void rr_queue_member_update(struct rr_members *members, struct member *member)
{
	if (member->update_queued)
		g_queue_unlink(&members->update_queue, &member->update_link);
	member->update_queued = true;
	member->transmissions_left = news_sends(members);
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

static void append_own(struct rr_members *members,
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
 * Guards against a member that never learns the last of many changes: after
 * a partition, or when a whole fleet starts, entries that happen to be sent
 * are mostly known, and the rest would take minutes.
 */
void rr_compare_digest(struct rr_members *members,
		       const struct rr_peer_message *ack)
{
	if (ack->members_digest != members->digest) {
		members->digest_mismatches++;
		return;
	}
	members->digest_mismatches = 0;
	members->resync_threshold = FIRST_PATIENCE;
}

/* Whether to ask for a whole table with this ping: by knowing nobody. */
static bool ask_for_table(struct rr_members *members)
{
	if (members->digest_mismatches <
	    MAX(members->resync_threshold, FIRST_PATIENCE))
		return false;
	members->digest_mismatches = 0;
	members->resync_threshold =
		MIN(MAX(members->resync_threshold, FIRST_PATIENCE) * 2,
		    MAX_PATIENCE);
	return true;
}

/* Newest news first; what was sent goes to the back until it is used up. */
static void append_news(struct rr_members *members,
			struct rr_peer_message *message,
			const struct member *about)
{
	guint waiting = members->update_queue.length;

	while (waiting-- && message->n_updates < RR_MEMBER_MAX_UPDATES) {
		GList *link = g_queue_pop_head_link(&members->update_queue);
		struct member *member = link->data;

		rr_invariant(PROMISE, member && member->update_queued);
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
	if (kind == RR_PEER_PING && ask_for_table(members))
		message->members_count = 0;
	message->updates =
		g_new0(struct rr_member_update, RR_MEMBER_MAX_UPDATES);
	append_own(members, message);
	if (about && about->state != RR_MEMBER_ALIVE)
		append_update(message, about);
	append_news(members, message, about);
	return message;
}

/* Entries that are not dead, from where the last filling ended. */
static void append_table(struct rr_members *members,
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
	if ((uint64_t)peer_count * SYNC_BELOW_DIVISOR <
		    (uint64_t)message->members_count * SYNC_BELOW_FACTOR &&
	    now_us >= members->next_full_sync_us) {
		members->next_full_sync_us = now_us + SYNC_INTERVAL_US;
		limit = RR_MEMBER_MAX_FULL_SYNC;
		message->updates =
			g_renew(struct rr_member_update, message->updates,
				message->n_updates + members->table->len);
	}
	append_table(members, message, limit);
}

void rr_send_member_message(struct rr_members *members, const char *instance,
			    const char *address,
			    struct rr_peer_message *message)
{
	rr_invariant(PROMISE, message->n_updates <= RR_MEMBER_MAX_FULL_SYNC);
	rr_invariant(PROMISE, address != NULL);
	members->options.send(members->options.data, instance, address,
			      message);
	rr_drop_peer_message(message);
}
