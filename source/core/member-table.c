/*
 * member-table.c - who is known and what is believed of each.
 *
 * An update overrides a belief when its incarnation is higher, or with the
 * same incarnation its refutation, or with the same refutation its state in
 * the order alive, suspect, leaving, dead.  Everyone applies this one rule,
 * so beliefs agree whatever the order in which news comes.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "core/member-private.h"
#include "ragwort/counters.h"
#include "ragwort/invariant.h"

#define PROMISE "membership"

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

/* The first entry not before the name: where it is or would go. */
static guint find_place(const struct rr_members *members, const char *instance)
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
	guint at = find_place(members, instance);
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

static void set_verdict(struct rr_members *members, struct member *member,
			int64_t verdict_us)
{
	if (member->suspicion_end_us != INT64_MAX)
		members->n_suspicions--;
	member->suspicion_end_us = verdict_us;
	if (verdict_us != INT64_MAX)
		members->n_suspicions++;
}

/* Take the member out of the sums, or put it back, around a change. */
static void account(struct rr_members *members, const struct member *member,
		    bool add)
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
 * Time for a suspect to refute.  It grows with the logarithm of the size, as
 * the time does that news takes to reach it and its answer to come back.
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

	account(members, member, false);
	if (member->state == RR_MEMBER_LEAVING)
		member->left_gracefully = true;
	member->state = state;
	account(members, member, true);
	set_verdict(members, member, INT64_MAX);
	member->rebroadcast_us = INT64_MAX;
	if (state == RR_MEMBER_SUSPECT)
		set_verdict(members, member, now_us + suspicion_us(members));
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
		set_verdict(members, member, now_us + suspicion_us(members));
}

static void forget_member(struct rr_members *members, guint at)
{
	struct member *member = members->table->pdata[at];

	rr_invariant(PROMISE, member->state == RR_MEMBER_DEAD);
	account(members, member, false);
	rr_unqueue_member_update(members, member);
	rr_remove_from_probe_order(members, member);
	g_ptr_array_remove_index(members->table, at);
}

/* Make room by forgetting the member that has been dead longest. */
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
	forget_member(members, oldest);
	return true;
}

static void add_member(struct rr_context *ctx, struct rr_members *members,
		       int64_t now_us, const struct rr_member_update *update)
{
	struct member *member;

	/* What is unknown and gone needs no place. */
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
	member->state = RR_MEMBER_LEAVING; /* not counted as usable yet */
	member->suspicion_end_us = INT64_MAX;
	member->update_link.data = member;
	member->probe_weight =
		rr_rendezvous_weight(members->instance, member->instance);
	g_ptr_array_insert(members->table,
			   (gint)find_place(members, member->instance), member);
	rr_set_member_state(ctx, members, member, update->state, now_us);
	member->left_gracefully = false;
	/* What a whole table taught is no news to others. */
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
 * Somebody believes something of this instance itself.  A suspicion is
 * refuted with a higher number, which overrides it wherever it went; without
 * that, one lost ack would take a live instance out everywhere.
 */
static void handle_own_update(struct rr_context *ctx,
			      struct rr_members *members,
			      const struct rr_member_update *update)
{
	enum rr_member_state own =
		members->leaving ? RR_MEMBER_LEAVING : RR_MEMBER_ALIVE;

	if (!overrides(update, members->options.incarnation,
		       members->refutation, own))
		return;
	if (update->incarnation > members->options.incarnation) {
		/* Another process runs under this name and started later. */
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

static void replace_text(struct rr_members *members, char **text,
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
		 * Believed dead here and live there: after a partition both
		 * sides meet like this.  Asking the member itself settles it,
		 * for it will refute or stay silent.
		 */
		if (member->state == RR_MEMBER_DEAD &&
		    update->state < RR_MEMBER_DEAD &&
		    update->incarnation == member->incarnation &&
		    update->refutation == member->refutation)
			member->ping_soon = true;
		return;
	}
	account(members, member, false);
	if (update->incarnation != member->incarnation) {
		members->usable_stale = true;
		members->change_pending = true;
	}
	member->incarnation = update->incarnation;
	member->refutation = update->refutation;
	replace_text(members, &member->zone, update->zone);
	replace_text(members, &member->address, update->address);
	account(members, member, true);
	rr_set_member_state(ctx, members, member, update->state, now_us);
}

static bool forgettable(const struct rr_members *members,
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
			if (forgettable(members, member, now_us)) {
				forget_member(members, i);
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
