/*
 * member-probe.c - probing of members.
 *
 * This instance probes a fixed choice of members, see start_round(). In each
 * period it pings one of them, in a shuffled order, so that each is pinged once
 * per round.
 */
#include <string.h>

#include "core/member-private.h"
#include "ragwort/invariant.h"

/* Number of members probed in turn; see start_round(). */
#define MAX_WATCHED 32
/*
 * Maximum number of pings per period in addition to the probe: to hints and to
 * members with ping_soon set.
 */
#define EXTRA_PINGS 4
/* Number of periods between pings of dead members. */
#define DEAD_PING_PERIODS 4
#define MAX_REQUESTED_PINGS 64
#define REQUESTED_PING_PERIODS 2

int64_t rr_probe_period_us(const struct rr_members *members)
{
	return (int64_t)members->options.probe_period_ms * 1000 *
	       (1 + members->local_slowness);
}

/* Replace the entry with the lowest weight if the member has a higher one. */
static void replace_lowest_weight(GPtrArray *order, struct member *member)
{
	guint lowest = 0;

	for (guint i = 1; i < order->len; i++) {
		struct member *other = order->pdata[i];
		struct member *least = order->pdata[lowest];

		if (other->probe_weight < least->probe_weight)
			lowest = i;
	}
	if (((struct member *)order->pdata[lowest])->probe_weight <
	    member->probe_weight)
		order->pdata[lowest] = member;
}

/* Add a member to the current round if it is one of those to be probed. */
void rr_insert_in_probe_order(struct rr_context *ctx,
			      struct rr_members *members, struct member *member)
{
	GPtrArray *order = members->probe_order;
	guint n_remaining = order->len - members->probe_cursor;

	if (g_ptr_array_find(order, member, NULL))
		return;
	if (order->len >= MAX_WATCHED) {
		replace_lowest_weight(order, member);
		return;
	}
	g_ptr_array_insert(order,
			   (gint)(members->probe_cursor +
				  rr_random_below(ctx, n_remaining + 1)),
			   member);
}

void rr_remove_from_probe_order(struct rr_members *members,
				struct member *member)
{
	guint at;

	if (members->probe.target == member)
		members->probe.target = NULL;
	if (!g_ptr_array_find(members->probe_order, member, &at))
		return;
	g_ptr_array_remove_index(members->probe_order, at);
	if (at < members->probe_cursor)
		members->probe_cursor--;
}

static gint compare_weight_descending(gconstpointer a, gconstpointer b)
{
	const struct member *const *first = a;
	const struct member *const *second = b;

	if ((*first)->probe_weight == (*second)->probe_weight)
		return 0;
	return (*first)->probe_weight > (*second)->probe_weight ? -1 : 1;
}

static void shuffle(struct rr_context *ctx, GPtrArray *order)
{
	for (guint i = order->len; i > 1; i--) {
		guint other = rr_random_below(ctx, i);
		gpointer last = order->pdata[i - 1];

		order->pdata[i - 1] = order->pdata[other];
		order->pdata[other] = last;
	}
}

/*
 * Choose the members to probe: a few that are determined only by the names of
 * both sides, so that the connections to them persist. If all members were
 * probed in turn, nearly every ping among 1,200 members would open a
 * connection, which costs far more CPU time and bytes than the ping. Each
 * member is still probed by about the same number of others, and updates still
 * reach all members in a few steps.
 */
static void start_round(struct rr_context *ctx, struct rr_members *members)
{
	GPtrArray *order = members->probe_order;

	g_ptr_array_set_size(order, 0);
	members->probe_cursor = 0;
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		if (member->state != RR_MEMBER_DEAD)
			g_ptr_array_add(order, member);
	}
	if (order->len > MAX_WATCHED) {
		g_ptr_array_sort(order, compare_weight_descending);
		g_ptr_array_set_size(order, MAX_WATCHED);
	}
	shuffle(ctx, order);
}

static struct member *next_target(struct rr_context *ctx,
				  struct rr_members *members)
{
	for (int round = 0; round < 2; round++) {
		while (members->probe_cursor < members->probe_order->len) {
			struct member *member =
				members->probe_order
					->pdata[members->probe_cursor++];

			if (member->state != RR_MEMBER_DEAD)
				return member;
		}
		start_round(ctx, members);
	}
	return NULL;
}

static uint64_t send_ping(struct rr_members *members,
			  const struct member *member)
{
	struct rr_peer_message *message =
		rr_new_member_message(members, RR_PEER_PING, member);
	uint64_t sequence = members->next_sequence++;

	message->sequence = sequence;
	message->target = g_strdup(member->instance);
	rr_send_member_message(members, member->instance, member->address,
			       message);
	return sequence;
}

static void finish_probe(struct rr_context *ctx, struct rr_members *members,
			 int64_t now_us)
{
	struct probe *probe = &members->probe;

	if (!probe->target)
		return;
	if (!probe->answered)
		rr_suspect_member(ctx, members, probe->target, now_us);
	else if (members->local_slowness)
		members->local_slowness--;
	probe->target = NULL;
}

static void start_probe(struct rr_context *ctx, struct rr_members *members,
			int64_t now_us)
{
	struct probe *probe = &members->probe;

	probe->target = next_target(ctx, members);
	if (!probe->target)
		return;
	probe->answered = false;
	probe->ping_request_us =
		now_us + (int64_t)members->options.ack_timeout_ms * 1000 *
				 (1 + members->local_slowness);
	probe->sequence = send_ping(members, probe->target);
}

/*
 * Ping members whose state is disputed: a suspect learns of the suspicion from
 * this instance and can refute it, and so can a member that is alive but was
 * declared dead.
 */
static uint32_t ping_disputed(struct rr_members *members, int64_t now_us)
{
	uint32_t limit = EXTRA_PINGS;
	guint n = members->table->len;
	guint start = n ? members->periods % n : 0;

	for (guint i = 0; i < n && limit; i++) {
		struct member *member = members->table->pdata[(start + i) % n];

		if (!member->ping_soon)
			continue;
		member->ping_soon = member->state == RR_MEMBER_SUSPECT;
		if (member->state == RR_MEMBER_DEAD)
			member->rebroadcast_us =
				now_us + rr_probe_period_us(members);
		send_ping(members, member);
		limit--;
	}
	return limit;
}

/*
 * Ping a random dead member: it may have restarted, or a partition may have
 * ended.
 */
static void ping_dead(struct rr_context *ctx, struct rr_members *members)
{
	struct member *chosen = NULL;
	uint32_t seen = 0;

	if (!members->n_dead || members->periods % DEAD_PING_PERIODS)
		return;
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		if (member->state != RR_MEMBER_DEAD || member->left_gracefully)
			continue;
		if (!rr_random_below(ctx, ++seen))
			chosen = member;
	}
	if (chosen)
		send_ping(members, chosen);
}

void rr_start_probe_period(struct rr_context *ctx, struct rr_members *members,
			   int64_t now_us)
{
	uint32_t extra_pings;

	members->periods++;
	finish_probe(ctx, members, now_us);
	rr_expire_requested_pings(members, now_us);
	start_probe(ctx, members, now_us);
	extra_pings = ping_disputed(members, now_us);
	ping_dead(ctx, members);
	rr_ping_hints(members, now_us, extra_pings);
	members->next_period_us = now_us + rr_probe_period_us(members);
}

static void send_ping_request(struct rr_members *members,
			      const struct member *helper)
{
	struct rr_peer_message *message =
		rr_new_member_message(members, RR_PEER_PING_REQUEST, NULL);

	message->sequence = members->probe.sequence;
	message->target = g_strdup(members->probe.target->instance);
	rr_send_member_message(members, helper->instance, helper->address,
			       message);
}

/*
 * No ack arrived in time. The network path from this instance may be at fault,
 * so other members are asked to ping the target.
 */
void rr_send_ping_requests(struct rr_context *ctx, struct rr_members *members)
{
	GPtrArray *order = members->probe_order;
	uint32_t remaining = members->options.ping_request_fanout;
	guint n = order->len;
	guint start = n ? rr_random_below(ctx, n) : 0;

	members->probe.ping_request_us = INT64_MAX;
#ifdef RR_MUTANT_MEMBER_NO_HELPERS
	return;
#endif
	for (guint i = 0; i < n && remaining; i++) {
		struct member *helper = order->pdata[(start + i) % n];

		if (helper == members->probe.target ||
		    helper->state != RR_MEMBER_ALIVE)
			continue;
		send_ping_request(members, helper);
		remaining--;
	}
}

static void send_ack(struct rr_members *members, const struct member *to,
		     struct rr_peer_message *message, uint64_t sequence)
{
	message->sequence = sequence;
	rr_send_member_message(members, to->instance, to->address, message);
}

void rr_handle_ping(struct rr_members *members, int64_t now_us,
		    const struct rr_peer_message *message)
{
	struct member *from = rr_lookup_member(members, message->from);
	struct rr_peer_message *ack;

	if (!from)
		return;
	ack = rr_new_member_message(members, RR_PEER_ACK, from);
	rr_append_repair_updates(members, ack, now_us, message->members_count,
				 message->members_digest);
	send_ack(members, from, ack, message->sequence);
}

void rr_handle_ping_request(struct rr_members *members, int64_t now_us,
			    const struct rr_peer_message *message)
{
	struct member *target = rr_lookup_member(members, message->target);
	struct requested_ping requested;

	if (!target || members->requested_pings->len >= MAX_REQUESTED_PINGS)
		return;
	requested.requester = g_strdup(message->from);
	requested.requester_sequence = message->sequence;
	requested.target = g_strdup(message->target);
	requested.expires_us =
		now_us + REQUESTED_PING_PERIODS * rr_probe_period_us(members);
	requested.sequence = send_ping(members, target);
	g_array_append_val(members->requested_pings, requested);
}

static void remove_requested_ping(struct rr_members *members, guint at)
{
	struct requested_ping *requested = &g_array_index(
		members->requested_pings, struct requested_ping, at);

	g_free(requested->requester);
	g_free(requested->target);
	g_array_remove_index_fast(members->requested_pings, at);
}

void rr_expire_requested_pings(struct rr_members *members, int64_t now_us)
{
	guint i = 0;

	while (i < members->requested_pings->len) {
		if (g_array_index(members->requested_pings,
				  struct requested_ping, i)
			    .expires_us <= now_us)
			remove_requested_ping(members, i);
		else
			i++;
	}
}

static void forward_ack(struct rr_members *members, guint at)
{
	struct requested_ping *requested = &g_array_index(
		members->requested_pings, struct requested_ping, at);
	struct member *to = rr_lookup_member(members, requested->requester);
	struct member *target = rr_lookup_member(members, requested->target);

	if (to) {
		struct rr_peer_message *ack =
			rr_new_member_message(members, RR_PEER_ACK, target);

		ack->target = g_strdup(requested->target);
		send_ack(members, to, ack, requested->requester_sequence);
	}
	remove_requested_ping(members, at);
}

void rr_handle_ack(struct rr_members *members,
		   const struct rr_peer_message *message)
{
	const char *alive_instance =
		message->target ? message->target : message->from;
	struct probe *probe = &members->probe;

	rr_compare_digest(members, message);
	if (probe->target && probe->sequence == message->sequence &&
	    !strcmp(probe->target->instance, alive_instance))
		probe->answered = true;
	for (guint i = 0; i < members->requested_pings->len; i++) {
		struct requested_ping *requested = &g_array_index(
			members->requested_pings, struct requested_ping, i);

		if (requested->sequence == message->sequence &&
		    !strcmp(requested->target, alive_instance)) {
			forward_ack(members, i);
			return;
		}
	}
}
