/*
 * fair-share.c - start-time fair queueing between flows.
 */
#include "core/admission/fair-share.h"

/* Flows are forgotten beyond this number, if they were served long enough ago. */
#define MAX_FLOWS 256

void rr_init_fair_share(struct rr_fair_share *share)
{
	share->finish_tags = NULL;
	share->virtual_time = 0;
}

void rr_clear_fair_share(struct rr_fair_share *share)
{
	g_clear_pointer(&share->finish_tags, g_hash_table_unref);
}

uint64_t rr_fair_share_start(const struct rr_fair_share *share, uint64_t flow)
{
	const uint64_t *finish =
		share->finish_tags ?
			g_hash_table_lookup(share->finish_tags, &flow) :
			NULL;

	return finish ? MAX(*finish, share->virtual_time) : share->virtual_time;
}

static uint64_t *copy_number(uint64_t number)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = number;
	return copy;
}

static gboolean is_past(gpointer flow, gpointer finish, gpointer virtual_time)
{
	return *(const uint64_t *)finish <= *(const uint64_t *)virtual_time;
}

void rr_fair_share_serve(struct rr_fair_share *share, uint64_t flow)
{
	uint64_t start = rr_fair_share_start(share, flow);

	if (!share->finish_tags)
		share->finish_tags = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, g_free);
	share->virtual_time = start;
	g_hash_table_replace(share->finish_tags, copy_number(flow),
			     copy_number(start + 1));
	/* A flow whose tag has passed is as good as a new one. */
	if (g_hash_table_size(share->finish_tags) > MAX_FLOWS)
		g_hash_table_foreach_remove(share->finish_tags, is_past,
					    &share->virtual_time);
}

void rr_fair_share_reset(struct rr_fair_share *share)
{
	rr_clear_fair_share(share);
	share->virtual_time = 0;
}
