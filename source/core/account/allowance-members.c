/*
 * allowance-members.c - owners of accounts by rendezvous hashing, and contact
 * with them.
 */
#include "core/account/allowance-members.h"

#include <string.h>

#include "ragwort/owner.h"

/* This many calls in a row have to fail, for this long. */
#define ISOLATED_FAILURES 3
#define ISOLATED_AFTER_US (800 * 1000)
/*
 * A member is gone after this many late replies, or half as many failed calls.
 * Guards against two owners when a message is lost.
 */
#define GONE_AFTER 3
/* Older changes do not matter in any window; see rr_last_owner_change_us(). */
#define MAX_CHANGES 256

struct rr_member_change {
	char *id;
	int64_t at_us;
};

static void free_member(gpointer data)
{
	struct rr_allowance_member *member = data;

	g_free(member->id);
	g_free(member->zone);
	g_free(member->address);
	g_free(member);
}

static void clear_change(gpointer data)
{
	g_free(((struct rr_member_change *)data)->id);
}

void rr_init_allowance_members(struct rr_allowance_members *members,
			       const char *self, const char *zone,
			       int64_t now_us)
{
	*members = (struct rr_allowance_members){
		.self = g_strdup(self ? self : ""),
		.zone = g_strdup(zone ? zone : ""),
		.by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_member),
		.changes = g_array_new(FALSE, FALSE,
				       sizeof(struct rr_member_change)),
		.contact_us = now_us,
	};
	g_array_set_clear_func(members->changes, clear_change);
	rr_update_allowance_member(members, now_us, members->self,
				   members->zone, "");
}

void rr_clear_allowance_members(struct rr_allowance_members *members)
{
	g_hash_table_unref(members->by_id);
	g_array_unref(members->changes);
	g_free(members->self);
	g_free(members->zone);
}

static void add_change(struct rr_allowance_members *members, int64_t now_us,
		       const char *id)
{
	struct rr_member_change change = { g_strdup(id), now_us };

	if (members->changes->len == MAX_CHANGES) {
		members->dropped_us = g_array_index(members->changes,
						    struct rr_member_change, 0)
					      .at_us;
		g_array_remove_index(members->changes, 0);
	}
	g_array_append_val(members->changes, change);
}

void rr_update_allowance_member(struct rr_allowance_members *members,
				int64_t now_us, const char *id,
				const char *zone, const char *address)
{
	struct rr_allowance_member *member =
		g_hash_table_lookup(members->by_id, id);
	bool is_self = !strcmp(id, members->self);

	/* This instance is always a member, whatever the list has. */
	if (member && is_self)
		return;
	if (member && zone && !strcmp(member->zone, zone) &&
	    !strcmp(member->address, address ? address : ""))
		return;
	members->version++;
	if ((member && !g_strcmp0(member->zone, members->zone)) ||
	    (zone && !g_strcmp0(zone, members->zone)))
		add_change(members, now_us, id);
	if (member)
		g_hash_table_remove(members->by_id, id);
	if (!zone)
		return;
	member = g_new0(struct rr_allowance_member, 1);
	member->id = g_strdup(id);
	member->zone = g_strdup(zone);
	member->address = g_strdup(address ? address : "");
	member->is_self = is_self;
	g_hash_table_insert(members->by_id, member->id, member);
}

struct rr_allowance_member *
rr_find_allowance_member(const struct rr_allowance_members *members,
			 const char *id)
{
	return g_hash_table_lookup(members->by_id, id);
}

static gint compare_owners(gconstpointer a, gconstpointer b)
{
	const struct rr_allowance_member *const *first = a;
	const struct rr_allowance_member *const *second = b;

	if ((*first)->weight != (*second)->weight)
		return (*first)->weight > (*second)->weight ? -1 : 1;
	return strcmp((*first)->id, (*second)->id);
}

GPtrArray *rr_order_owners(const struct rr_allowance_members *members,
			   const char *zone, const char *account)
{
	GPtrArray *order = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_allowance_member *member = value;

		if (strcmp(member->zone, zone))
			continue;
		member->weight = rr_rendezvous_weight(account, member->id);
		g_ptr_array_add(order, member);
	}
	g_ptr_array_sort(order, compare_owners);
	return order;
}

int64_t rr_last_owner_change_us(struct rr_allowance_members *members,
				int64_t now_us, int64_t window_us,
				const char *account)
{
	uint64_t own = rr_rendezvous_weight(account, members->self);

	while (members->changes->len &&
	       g_array_index(members->changes, struct rr_member_change, 0)
			       .at_us < now_us - window_us)
		g_array_remove_index(members->changes, 0);
	for (guint i = members->changes->len; i-- > 0;) {
		const struct rr_member_change *change = &g_array_index(
			members->changes, struct rr_member_change, i);

		if (strcmp(change->id, members->self) &&
		    rr_rendezvous_weight(account, change->id) > own)
			return change->at_us;
	}
	/* It may have been of any member. */
	return members->dropped_us < now_us - window_us ? 0 :
							  members->dropped_us;
}

void rr_note_allowance_contact(struct rr_allowance_members *members,
			       struct rr_allowance_member *member,
			       int64_t now_us)
{
	members->contact_us = now_us;
	members->n_failures = 0;
	if (!member)
		return;
	member->contact_us = now_us;
	member->down = false;
	member->n_missed = 0;
	member->avoid_until_us = 0;
}

void rr_note_allowance_failure(struct rr_allowance_members *members,
			       struct rr_allowance_member *member, bool is_late)
{
	members->n_failures++;
	if (!member)
		return;
	member->down = true;
	member->n_missed += is_late ? 1 : 2;
}

bool rr_is_member_gone(const struct rr_allowance_member *member)
{
	return member->n_missed >= GONE_AFTER;
}

bool rr_is_allowance_isolated(const struct rr_allowance_members *members,
			      int64_t now_us)
{
	return members->n_failures >= ISOLATED_FAILURES &&
	       now_us - members->contact_us > ISOLATED_AFTER_US;
}
