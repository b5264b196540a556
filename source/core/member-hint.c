/*
 * member-hint.c - instances known by hint only, which have not answered yet.
 */
#include <string.h>

#include "core/member-private.h"

#define MIN_BACKOFF_US 500000
#define MAX_BACKOFF_US 30000000
/*
 * After this many pings a hint is removed; the platform's instance list adds it
 * again as long as it contains the instance.
 */
#define MAX_PINGS 20

void rr_free_hint(void *data)
{
	struct hint *hint = data;

	g_free(hint->instance);
	g_free(hint->address);
	g_free(hint);
}

static bool have_hint(const struct rr_members *members, const char *instance,
		      const char *address)
{
	for (guint i = 0; i < members->hints->len; i++) {
		struct hint *hint = members->hints->pdata[i];

		if (!g_strcmp0(hint->instance, instance) &&
		    !strcmp(hint->address, address))
			return true;
	}
	return false;
}

void rr_hint_member(struct rr_context *ctx, struct rr_members *members,
		    int64_t now_us, const char *instance, const char *zone,
		    const char *address)
{
	struct member *member;
	struct hint *hint;

	(void)ctx;
	(void)zone; /* reported by the member itself when it answers */
	if (!g_strcmp0(instance, members->instance) ||
	    !strcmp(address, members->address))
		return;
	member = instance ? rr_lookup_member(members, instance) : NULL;
	if (member && member->state != RR_MEMBER_DEAD)
		return;
	if (members->hints->len >= RR_MEMBER_MAX_HINTS ||
	    have_hint(members, instance, address))
		return;
	hint = g_new0(struct hint, 1);
	hint->instance = g_strdup(instance);
	hint->address = g_strdup(address);
	hint->next_ping_us = now_us;
	hint->backoff_us = MIN_BACKOFF_US;
	g_ptr_array_add(members->hints, hint);
}

/* Return whether a live member has the address of a seed. */
static bool seed_is_known(const struct rr_members *members,
			  const struct hint *hint)
{
	if (hint->instance)
		return false;
	for (guint i = 0; i < members->table->len; i++) {
		struct member *member = members->table->pdata[i];

		if (member->state == RR_MEMBER_ALIVE &&
		    !strcmp(member->address, hint->address))
			return true;
	}
	return false;
}

static void ping_hint(struct rr_members *members, struct hint *hint,
		      int64_t now_us)
{
	struct rr_peer_message *message;

	hint->next_ping_us = now_us + hint->backoff_us;
	hint->backoff_us = MIN(hint->backoff_us * 2, MAX_BACKOFF_US);
	if (seed_is_known(members, hint))
		return;
	hint->pings_sent++;
	message = rr_new_member_message(members, RR_PEER_PING, NULL);
	message->sequence = members->next_sequence++;
	message->target = g_strdup(hint->instance);
	rr_send_member_message(members, hint->instance, hint->address, message);
}

void rr_ping_hints(struct rr_members *members, int64_t now_us, uint32_t limit)
{
	guint i = 0;

	while (i < members->hints->len && limit) {
		struct hint *hint = members->hints->pdata[i];

		if (hint->instance && hint->pings_sent >= MAX_PINGS) {
			g_ptr_array_remove_index_fast(members->hints, i);
			continue;
		}
		if (hint->next_ping_us <= now_us) {
			ping_hint(members, hint, now_us);
			limit--;
		}
		i++;
	}
}

void rr_remove_member_hints(struct rr_members *members,
			    const struct member *member)
{
	guint i = 0;

	while (i < members->hints->len) {
		struct hint *hint = members->hints->pdata[i];

		if (!g_strcmp0(hint->instance, member->instance))
			g_ptr_array_remove_index_fast(members->hints, i);
		else
			i++;
	}
}

int64_t rr_next_hint_us(const struct rr_members *members)
{
	int64_t next_us = INT64_MAX;

	/* If there are members to ping, hints wait for the next period. */
	if (members->n_usable)
		return next_us;
	for (guint i = 0; i < members->hints->len; i++) {
		struct hint *hint = members->hints->pdata[i];

		next_us = MIN(next_us, hint->next_ping_us);
	}
	return next_us;
}
