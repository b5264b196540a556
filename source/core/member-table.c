/*
 * member-table.c - the member list and the state of each member.
 *
 * An update overrides the known state if its incarnation is higher, or with the
 * same incarnation its refutation, or with the same refutation its state, in
 * the order alive, suspect, leaving, dead. All members apply this rule, so
 * their states converge regardless of the order in which updates arrive.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "core/member-private.h"
#include "ragwort/counters.h"
#include "ragwort/invariant.h"

#define INVARIANT "membership"

static const char *const state_names[] = {
	[RR_MEMBER_ALIVE] = "alive",
	[RR_MEMBER_SUSPECT] = "suspect",
	[RR_MEMBER_LEAVING] = "leaving",
	[RR_MEMBER_DEAD] = "dead",
};

static void free_member(void *data)
{
	struct member *member = data;

	g_free(member->instance);
	g_free(member->zone);
	g_free(member->address);
	g_free(member);
}

void rr_init_member_table(struct rr_members *members)
{
	members->table = g_ptr_array_new_with_free_func(free_member);
	g_queue_init(&members->update_queue);
}

void rr_clear_member_table(struct rr_members *members)
{
	g_ptr_array_unref(members->table);
}

/*
 * Return the index of the first entry whose name is not less than the given
 * one.
 */
static guint find_index(const struct rr_members *members, const char *instance)
{
	guint low = 0;
	guint high = members->table->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		struct member *member = members->table->pdata[middle];

		if (strcmp(member->instance, instance) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

struct member *rr_lookup_member(const struct rr_members *members,
				const char *instance)
{
	guint at = find_index(members, instance);
	struct member *member;

	if (at >= members->table->len)
		return NULL;
	member = members->table->pdata[at];
	return strcmp(member->instance, instance) ? NULL : member;
}

uint64_t rr_hash_member(const char *instance, uint64_t incarnation)
{
	return XXH3_64bits_withSeed(instance, strlen(instance), incarnation);
}

static bool is_usable(const struct member *member)
{
	return member->state == RR_MEMBER_ALIVE ||
	       member->state == RR_MEMBER_SUSPECT;
}

static void set_suspicion_end(struct rr_members *members, struct member *member,
			      int64_t end_us)
{
	if (member->suspicion_end_us != INT64_MAX)
		members->n_suspicions--;
	member->suspicion_end_us = end_us;
	if (end_us != INT64_MAX)
		members->n_suspicions++;
}

/*
 * Add a member to the totals, or subtract it: before a change of the member it
 * is subtracted, and added again afterwards.
 */
static void update_totals(struct rr_members *members,
			  const struct member *member, bool add)
{
	if (member->state == RR_MEMBER_DEAD)
		members->n_dead += add ? 1 : (size_t)-1;
	if (!is_usable(member))
		return;
	members->n_usable += add ? 1 : (size_t)-1;
	members->digest ^=
		rr_hash_member(member->instance, member->incarnation);
}

/*
 * Return the time that a suspect has to refute. It grows with the logarithm of
 * the group size, as does the time for an update to reach the suspect and for
 * its refutation to come back.
 */
static int64_t suspicion_us(const struct rr_members *members)
{
	double scale = log10((double)members->n_usable + 1);

	return (int64_t)(members->options.suspicion_timeout_ms * 1000.0 *
			 MAX(scale, 1));
}

static void log_state(struct rr_context *ctx, const struct member *member)
{
	rr_log(ctx, RR_LOG_DECISION, "member",
	       RR_FIELD_STRING("instance", member->instance),
	       RR_FIELD_STRING("zone", member->zone),
	       RR_FIELD_STRING("state", state_names[member->state]),
	       RR_FIELD_U64("incarnation", member->incarnation),
	       RR_FIELD_U64("refutation", member->refutation));
}

void rr_set_member_state(struct rr_context *ctx, struct rr_members *members,
			 struct member *member, enum rr_member_state state,
			 int64_t now_us)
{
	bool was_usable = is_usable(member);

	update_totals(members, member, false);
	if (member->state == RR_MEMBER_LEAVING)
		member->left_gracefully = true;
	member->state = state;
	update_totals(members, member, true);
	set_suspicion_end(members, member, INT64_MAX);
	member->rebroadcast_us = INT64_MAX;
	if (state == RR_MEMBER_SUSPECT)
		set_suspicion_end(members, member,
				  now_us + suspicion_us(members));
	if (state == RR_MEMBER_DEAD)
		member->dead_us = now_us;
	if (state == RR_MEMBER_ALIVE) {
		member->left_gracefully = false;
		rr_remove_member_hints(members, member);
	}
	if (was_usable != is_usable(member)) {
		members->usable_stale = true;
		members->change_pending = true;
	}
	if (state != RR_MEMBER_DEAD)
		rr_insert_in_probe_order(ctx, members, member);
	rr_queue_member_update(members, member);
	log_state(ctx, member);
}

void rr_suspect_member(struct rr_context *ctx, struct rr_members *members,
		       struct member *member, int64_t now_us)
{
	member->ping_soon = true;
	if (member->state == RR_MEMBER_ALIVE)
		rr_set_member_state(ctx, members, member, RR_MEMBER_SUSPECT,
				    now_us);
	else if (member->state == RR_MEMBER_LEAVING &&
		 member->suspicion_end_us == INT64_MAX)
		set_suspicion_end(members, member,
				  now_us + suspicion_us(members));
}

static void remove_member(struct rr_members *members, guint at)
{
	struct member *member = members->table->pdata[at];

	rr_invariant(INVARIANT, member->state == RR_MEMBER_DEAD);
	update_totals(members, member, false);
	rr_unqueue_member_update(members, member);
	rr_remove_from_probe_order(members, member);
	g_ptr_array_remove_index(members->table, at);
}

/* Make room by removing the member that has been dead for longest. */
static bool make_room(struct rr_members *members)
{
	guint oldest = members->table->len;
	int64_t oldest_us = INT64_MAX;

	if (members->table->len < RR_MEMBER_MAX_KNOWN)
		return true;
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		if (member->state != RR_MEMBER_DEAD ||
		    member->dead_us >= oldest_us)
			continue;
		oldest = i;
		oldest_us = member->dead_us;
	}
	if (oldest == members->table->len)
		return false;
	remove_member(members, oldest);
	return true;
}

static void add_member(struct rr_context *ctx, struct rr_members *members,
		       int64_t now_us, const struct rr_member_update *update)
{
	struct member *member;

	/* An unknown member that is already gone needs no entry. */
	if (update->state == RR_MEMBER_DEAD ||
	    update->state == RR_MEMBER_LEAVING || !update->zone ||
	    !update->address || !make_room(members))
		return;
	member = g_new0(struct member, 1);
	member->instance = g_strdup(update->instance);
	member->zone = g_strdup(update->zone);
	member->address = g_strdup(update->address);
	member->incarnation = update->incarnation;
	member->refutation = update->refutation;
	/* placeholder, not counted as usable */
	member->state = RR_MEMBER_LEAVING;
	member->suspicion_end_us = INT64_MAX;
	member->update_link.data = member;
	member->probe_weight =
		rr_rendezvous_weight(members->instance, member->instance);
	g_ptr_array_insert(members->table,
			   (gint)find_index(members, member->instance), member);
	rr_set_member_state(ctx, members, member, update->state, now_us);
	member->left_gracefully = false;
	/* Members learned from a full sync are not new to others. */
	if (members->applying_full_sync)
		rr_unqueue_member_update(members, member);
}

static bool overrides(const struct rr_member_update *update,
		      uint64_t incarnation, uint32_t refutation,
		      enum rr_member_state state)
{
	if (update->incarnation != incarnation)
		return update->incarnation > incarnation;
	if (update->refutation != refutation)
		return update->refutation > refutation;
	return update->state > state;
}

/*
 * Handle an update about this instance itself. A suspicion is refuted with a
 * higher refutation number, which overrides it wherever it spread; otherwise,
 * one lost ack would remove a live instance from all member lists.
 */
static void handle_own_update(struct rr_context *ctx,
			      struct rr_members *members,
			      const struct rr_member_update *update)
{
	enum rr_member_state own_state =
		members->leaving ? RR_MEMBER_LEAVING : RR_MEMBER_ALIVE;

	if (!overrides(update, members->options.incarnation,
		       members->refutation, own_state))
		return;
	if (update->incarnation > members->options.incarnation) {
		/* Another process with this name started later. */
		rr_log(ctx, RR_LOG_WARNING, "member_name_taken",
		       RR_FIELD_STRING("instance", members->instance),
		       RR_FIELD_U64("incarnation", update->incarnation));
		return;
	}
#ifndef RR_MUTANT_MEMBER_NO_REFUTE
	members->refutation = update->refutation + 1;
#endif
	members->local_slowness = MIN(members->local_slowness + 1, 8);
	rr_log(ctx, RR_LOG_DECISION, "member_refute",
	       RR_FIELD_STRING("believed", state_names[update->state]),
	       RR_FIELD_U64("refutation", members->refutation));
}

static void replace_string(struct rr_members *members, char **text,
			   const char *with)
{
	if (!with || !strcmp(*text, with))
		return;
	g_free(*text);
	*text = g_strdup(with);
	members->usable_stale = true;
	members->change_pending = true;
}

void rr_apply_member_update(struct rr_context *ctx, struct rr_members *members,
			    int64_t now_us,
			    const struct rr_member_update *update)
{
	struct member *member;

	if (!strcmp(update->instance, members->instance)) {
		handle_own_update(ctx, members, update);
		return;
	}
	member = rr_lookup_member(members, update->instance);
	if (!member) {
		add_member(ctx, members, now_us, update);
		return;
	}
	if (!overrides(update, member->incarnation, member->refutation,
		       member->state)) {
		/*
		 * The member is dead here but alive for the sender, as happens
		 * on both sides after a partition. Pinging the member itself
		 * decides it: it either refutes or does not answer.
		 */
		if (member->state == RR_MEMBER_DEAD &&
		    update->state < RR_MEMBER_DEAD &&
		    update->incarnation == member->incarnation &&
		    update->refutation == member->refutation)
			member->ping_soon = true;
		return;
	}
	update_totals(members, member, false);
	if (update->incarnation != member->incarnation) {
		members->usable_stale = true;
		members->change_pending = true;
	}
	member->incarnation = update->incarnation;
	member->refutation = update->refutation;
	replace_string(members, &member->zone, update->zone);
	replace_string(members, &member->address, update->address);
	update_totals(members, member, true);
	rr_set_member_state(ctx, members, member, update->state, now_us);
}

static bool has_retention_ended(const struct rr_members *members,
				const struct member *member, int64_t now_us)
{
#ifdef RR_MUTANT_MEMBER_FORGET_DEAD
	return true;
#endif
	return now_us - member->dead_us >
	       (int64_t)members->options.dead_retention_ms * 1000;
}

void rr_expire_members(struct rr_context *ctx, struct rr_members *members,
		       int64_t now_us)
{
	guint i = 0;

	if (!members->n_suspicions && !members->n_dead)
		return;
	while (i < members->table->len) {
		struct member *member = members->table->pdata[i];

		if (member->suspicion_end_us <= now_us) {
			rr_set_member_state(ctx, members, member,
					    RR_MEMBER_DEAD, now_us);
		} else if (member->state == RR_MEMBER_DEAD) {
			if (has_retention_ended(members, member, now_us)) {
				remove_member(members, i);
				continue;
			}
			if (member->rebroadcast_us <= now_us) {
				member->rebroadcast_us = INT64_MAX;
				rr_queue_member_update(members, member);
			}
		}
		i++;
	}
}

int64_t rr_next_suspicion_end_us(const struct rr_members *members)
{
	int64_t next_us = INT64_MAX;

	if (!members->n_suspicions)
		return next_us;
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		next_us = MIN(next_us, member->suspicion_end_us);
	}
	return next_us;
}
