/*
 * member.c - public functions of the membership: ticks, messages, leaving and
 * queries.
 */
#include <string.h>

#include "core/member-private.h"
#include "ragwort/counters.h"
#include "ragwort/invariant.h"

#define INVARIANT "membership"
#define DEFAULT_PROBE_PERIOD_MS 500
#define DEFAULT_ACK_TIMEOUT_MS 150
#define DEFAULT_SUSPICION_TIMEOUT_MS 2500
#define DEFAULT_PING_REQUEST_FANOUT 3
#define DEFAULT_DEAD_RETENTION_MS 3600000
#define MAX_LOCAL_SLOWNESS 8
/*
 * If the next tick is overdue by more than this when a tick, a message or a
 * request to leave is handled, the process is assumed to have been paused: the
 * current probe is dropped and suspicions are extended, see handle_pause().
 */
#define PAUSE_THRESHOLD_US 250000
/*
 * Number of members that a leaving instance notifies directly; gossip informs
 * the others.
 */
#define MAX_LEAVE_PINGS 32

static void set_default(uint32_t *value, uint32_t default_value)
{
	if (!*value)
		*value = default_value;
}

struct rr_members *rr_new_members(struct rr_context *ctx,
				  const struct rr_members_options *options,
				  int64_t now_us)
{
	struct rr_members *members = g_new0(struct rr_members, 1);
	struct rr_members_options *own = &members->options;

	*own = *options;
	set_default(&own->probe_period_ms, DEFAULT_PROBE_PERIOD_MS);
	set_default(&own->ack_timeout_ms, DEFAULT_ACK_TIMEOUT_MS);
	set_default(&own->suspicion_timeout_ms, DEFAULT_SUSPICION_TIMEOUT_MS);
	set_default(&own->ping_request_fanout, DEFAULT_PING_REQUEST_FANOUT);
	set_default(&own->dead_retention_ms, DEFAULT_DEAD_RETENTION_MS);
	members->instance = g_strdup(options->instance);
	members->zone = g_strdup(options->zone);
	members->address = g_strdup(options->address);
	own->instance = members->instance;
	own->zone = members->zone;
	own->address = members->address;
	rr_init_member_table(members);
	members->probe_order = g_ptr_array_new();
	members->requested_pings =
		g_array_new(FALSE, FALSE, sizeof(struct requested_ping));
	members->hints = g_ptr_array_new_with_free_func(rr_free_hint);
	members->usable =
		g_array_new(FALSE, FALSE, sizeof(struct rr_member_ref));
	members->usable_stale = true;
	members->digest = rr_hash_member(members->instance, own->incarnation);
	/* Avoids the sequence numbers of an earlier process of this name. */
	members->next_sequence = rr_random_u64(ctx) >> 1;
	members->next_period_us =
		now_us + rr_random_below(ctx, own->probe_period_ms * 1000);
	members->reported_wake_us = INT64_MAX;
	rr_set_gauge(ctx, RR_G_MEMBERS, 1);
	return members;
}

void rr_drop_members(struct rr_members *members)
{
	if (!members)
		return;
	rr_expire_requested_pings(members, INT64_MAX);
	g_array_unref(members->requested_pings);
	g_ptr_array_unref(members->probe_order);
	g_ptr_array_unref(members->hints);
	g_array_unref(members->usable);
	rr_clear_member_table(members);
	g_free(members->instance);
	g_free(members->zone);
	g_free(members->address);
	g_free(members);
}

static int64_t find_wake_us(const struct rr_members *members)
{
	int64_t wake_us = members->next_period_us;

	if (members->probe.target && !members->probe.answered)
		wake_us = MIN(wake_us, members->probe.ping_request_us);
	wake_us = MIN(wake_us, rr_next_suspicion_end_us(members));
	return MIN(wake_us, rr_next_hint_us(members));
}

/*
 * Detect a pause of this instance itself, when a call comes long after the tick
 * was due. Guards against an instance that was stopped for a minute and finds
 * every probe and suspicion overdue at its first tick: it would declare all
 * members dead. The current probe is dropped without a result, suspicions are
 * extended by the length of the pause, and the next probes get more time.
 */
static void handle_pause(struct rr_members *members, int64_t now_us)
{
	int64_t late_us;

	if (members->reported_wake_us == INT64_MAX ||
	    now_us - members->reported_wake_us <= PAUSE_THRESHOLD_US)
		return;
	late_us = now_us - members->reported_wake_us;
#ifdef RR_MUTANT_MEMBER_NO_PAUSE
	return;
#endif
	members->probe.target = NULL;
	members->local_slowness =
		MIN(members->local_slowness + 1, MAX_LOCAL_SLOWNESS);
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		if (member->suspicion_end_us != INT64_MAX)
			member->suspicion_end_us += late_us;
	}
	members->next_period_us = now_us;
	members->reported_wake_us = now_us;
}

/* Finish an event: report changes and record when the next tick is due. */
static void finish_event(struct rr_context *ctx, struct rr_members *members)
{
	members->reported_wake_us = find_wake_us(members);
	if (!members->change_pending)
		return;
	members->change_pending = false;
	rr_set_gauge(ctx, RR_G_MEMBERS,
		     members->n_usable + (members->leaving ? 0 : 1));
	if (members->options.changed)
		members->options.changed(members->options.data);
}

static void apply_updates(struct rr_context *ctx, struct rr_members *members,
			  int64_t now_us, const struct rr_peer_message *message)
{
	members->applying_full_sync =
		message->n_updates > RR_MEMBER_MAX_UPDATES;
	for (size_t i = 0; i < message->n_updates; i++)
		rr_apply_member_update(ctx, members, now_us,
				       &message->updates[i]);
	members->applying_full_sync = false;
}

/*
 * Handle a message other than a ping, ack or ping request: it proves that its
 * sender is alive.
 */
static void mark_sender_alive(struct rr_members *members, struct member *from,
			      const struct rr_peer_message *message)
{
	if (!from || from->incarnation != message->from_incarnation)
		return;
	if (members->probe.target == from)
		members->probe.answered = true;
	if (from->state == RR_MEMBER_SUSPECT || from->state == RR_MEMBER_DEAD)
		from->ping_soon = true;
}

static void handle_message(struct rr_context *ctx, struct rr_members *members,
			   int64_t now_us,
			   const struct rr_peer_message *message)
{
	struct member *from = rr_lookup_member(members, message->from);

	/*
	 * The message is from an earlier process of that name: its contents are
	 * outdated.
	 */
	if (from && message->from_incarnation < from->incarnation) {
		rr_count(ctx, RR_N_PEER_MESSAGES_STALE, 1);
		return;
	}
	apply_updates(ctx, members, now_us, message);
	switch (message->kind) {
	case RR_PEER_PING:
		rr_handle_ping(members, now_us, message);
		break;
	case RR_PEER_ACK:
		rr_handle_ack(members, message);
		break;
	case RR_PEER_PING_REQUEST:
		rr_handle_ping_request(members, now_us, message);
		break;
	default:
		mark_sender_alive(members, from, message);
		break;
	}
}

void rr_handle_member_message(struct rr_context *ctx,
			      struct rr_members *members, int64_t now_us,
			      const struct rr_peer_message *message)
{
	handle_pause(members, now_us);
	/*
	 * Ignore messages with this instance's own name: an address was listed
	 * twice, or messages loop.
	 */
	if (strcmp(message->from, members->instance))
		handle_message(ctx, members, now_us, message);
	finish_event(ctx, members);
}

void rr_tick_members(struct rr_context *ctx, struct rr_members *members,
		     int64_t now_us)
{
	handle_pause(members, now_us);
	if (members->probe.target && !members->probe.answered &&
	    members->probe.ping_request_us <= now_us)
		rr_send_ping_requests(ctx, members);
	if (members->next_period_us <= now_us) {
		rr_start_probe_period(ctx, members, now_us);
		rr_expire_members(ctx, members, now_us);
	} else {
		if (members->n_suspicions)
			rr_expire_members(ctx, members, now_us);
		if (!members->n_usable)
			rr_ping_hints(members, now_us, UINT32_MAX);
	}
	finish_event(ctx, members);
}

int64_t rr_members_wake_us(const struct rr_members *members)
{
	return find_wake_us(members);
}

static void send_leave_pings(struct rr_context *ctx, struct rr_members *members)
{
	guint n = members->table->len;
	guint start = n ? rr_random_below(ctx, n) : 0;
	uint32_t remaining = MAX_LEAVE_PINGS;

	for (guint i = 0; i < n && remaining; i++) {
		struct member *member = members->table->pdata[(start + i) % n];
		struct rr_peer_message *message;

		if (member->state != RR_MEMBER_ALIVE)
			continue;
		message = rr_new_member_message(members, RR_PEER_PING, member);
		message->sequence = members->next_sequence++;
		message->target = g_strdup(member->instance);
		rr_send_member_message(members, member->instance,
				       member->address, message);
		remaining--;
	}
}

void rr_announce_leaving(struct rr_context *ctx, struct rr_members *members,
			 int64_t now_us)
{
	if (members->leaving)
		return;
	handle_pause(members, now_us);
	members->leaving = true;
	members->digest ^=
		rr_hash_member(members->instance, members->options.incarnation);
	members->usable_stale = true;
	members->change_pending = true;
	send_leave_pings(ctx, members);
	finish_event(ctx, members);
}

static void add_usable(struct rr_members *members, const char *instance,
		       const char *zone)
{
	struct rr_member_ref ref = { instance, zone, rr_hash_name(instance),
				     rr_hash_name(zone) };

	g_array_append_val(members->usable, ref);
}

static void rebuild_usable(struct rr_members *members)
{
	bool self_pending = !members->leaving;

	g_array_set_size(members->usable, 0);
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		if (self_pending &&
		    strcmp(members->instance, member->instance) < 0) {
			add_usable(members, members->instance, members->zone);
			self_pending = false;
		}
		if (member->state == RR_MEMBER_ALIVE ||
		    member->state == RR_MEMBER_SUSPECT)
			add_usable(members, member->instance, member->zone);
	}
	if (self_pending)
		add_usable(members, members->instance, members->zone);
	members->usable_stale = false;
}

const struct rr_member_ref *rr_usable_members(struct rr_members *members,
					      size_t *n_members)
{
	if (members->usable_stale)
		rebuild_usable(members);
	*n_members = members->usable->len;
	rr_invariant(INVARIANT,
		     *n_members ==
			     members->n_usable + (members->leaving ? 0 : 1));
	return (const struct rr_member_ref *)members->usable->data;
}

bool rr_find_member(const struct rr_members *members, const char *instance,
		    const char **address, uint64_t *incarnation)
{
	struct member *member;

	if (!strcmp(instance, members->instance)) {
		*address = members->address;
		*incarnation = members->options.incarnation;
		return !members->leaving;
	}
	member = rr_lookup_member(members, instance);
	if (!member || (member->state != RR_MEMBER_ALIVE &&
			member->state != RR_MEMBER_SUSPECT))
		return false;
	*address = member->address;
	*incarnation = member->incarnation;
	return true;
}

struct rr_member_update *rr_list_members(const struct rr_members *members,
					 size_t *n_members)
{
	struct rr_member_update *list =
		g_new0(struct rr_member_update, members->table->len + 1);

	list[0].instance = members->instance;
	list[0].zone = members->zone;
	list[0].address = members->address;
	list[0].incarnation = members->options.incarnation;
	list[0].refutation = members->refutation;
	list[0].state = members->leaving ? RR_MEMBER_LEAVING : RR_MEMBER_ALIVE;
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		list[i + 1].instance = member->instance;
		list[i + 1].zone = member->zone;
		list[i + 1].address = member->address;
		list[i + 1].incarnation = member->incarnation;
		list[i + 1].refutation = member->refutation;
		list[i + 1].state = member->state;
	}
	*n_members = members->table->len + 1;
	return list;
}

bool rr_members_is_leaving(const struct rr_members *members)
{
	return members->leaving;
}

size_t rr_members_bytes(const struct rr_members *members)
{
	/* One pointer each in the table and in the probe order. */
	size_t bytes = sizeof(*members) +
		       members->usable->len * sizeof(struct rr_member_ref);

	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		bytes += sizeof(*member) + 2 * sizeof(void *) +
			 strlen(member->instance) + strlen(member->zone) +
			 strlen(member->address) + 3;
	}
	return bytes;
}
