/*
 * gate-incarnation.c - which lifetime of a replica an entry tells of.
 *
 * A replica may start again under its id.  It then has nothing of before: no
 * drain, connection, work in flight or measured time of the earlier lifetime
 * is its own.  Entries may come late and in any order, so the latest start
 * that was told of an id outlives its entry here.
 */
#include "core/gate-private.h"

#include <string.h>

/*
 * Ids whose start is remembered: all replicas of the largest deployment and
 * several times those that are replaced there on one day, in about a
 * megabyte.
 */
#define MOST_BORN 8192

static int64_t latest_born(const struct rr_gate *gate, const char *id)
{
	const int64_t *born_ms = g_hash_table_lookup(gate->latest_starts, id);

	return born_ms ? *born_ms : 0;
}

static bool is_elsewhere(const struct rr_endpoint *endpoint,
			 const struct rr_endpoint_info *listing)
{
	return strcmp(endpoint->address, listing->address) ||
	       strcmp(endpoint->service->name, listing->service) ||
	       strcmp(endpoint->zone->name, listing->zone);
}

enum rr_incarnation_match
rr_match_incarnation(const struct rr_gate *gate,
		     const struct rr_endpoint *endpoint,
		     const struct rr_endpoint_info *listing)
{
	int64_t latest_ms = latest_born(gate, listing->id);

	/*
	 * Guards against entries that others write under a replica's key: one
	 * that lacks a field which the replica tells is not its own.
	 */
	if (!listing->started_ms && latest_ms)
		return RR_INCARNATION_UNKNOWN;
		/*
	 * Guards against news that come late, from an instance that has fallen
	 * behind or as a write that is carried out after its time: work would
	 * go to an address that is another's by now.
	 */
#ifndef RR_MUTANT_GATE_EARLIER_RETURNS
	if (listing->started_ms < latest_ms)
		return RR_INCARNATION_EARLIER;
#endif
	if (!endpoint)
		return RR_INCARNATION_REPLACED;
#ifdef RR_MUTANT_GATE_ONE_LIFETIME
	return RR_INCARNATION_SAME;
#endif
	if (listing->started_ms != endpoint->started_ms ||
	    is_elsewhere(endpoint, listing))
		return RR_INCARNATION_REPLACED;
	return RR_INCARNATION_SAME;
}

static gboolean is_over(gpointer id, gpointer born_ms, gpointer endpoints)
{
	return !g_hash_table_contains(endpoints, id);
}

void rr_note_start(struct rr_gate *gate, const struct rr_endpoint_info *listing)
{
	int64_t *born_ms;

	if (listing->started_ms <= latest_born(gate, listing->id))
		return;
	if (g_hash_table_size(gate->latest_starts) >= MOST_BORN)
		g_hash_table_foreach_remove(gate->latest_starts, is_over,
					    gate->endpoints);
	born_ms = g_new(int64_t, 1);
	*born_ms = listing->started_ms;
	g_hash_table_insert(gate->latest_starts, g_strdup(listing->id),
			    born_ms);
}

char *rr_format_incarnation(const struct rr_endpoint_info *listing,
			    uint64_t number, const char *before)
{
	char *name = listing->started_ms ?
			     g_strdup_printf("%s@%" G_GINT64_FORMAT,
					     listing->id, listing->started_ms) :
			     g_strdup(listing->id);
	char *longer;

	if (!before || strcmp(name, before))
		return name;
	longer = g_strdup_printf("%s#%" G_GUINT64_FORMAT, name, number);
	g_free(name);
	return longer;
}
