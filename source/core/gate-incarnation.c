/*
 * gate-incarnation.c - matching of list entries to incarnations of replicas.
 *
 * A replica may restart under the same id.  Draining state, connections,
 * attempts in flight and measurements of an earlier incarnation do not apply to
 * the new one.  Entries may arrive late and in any order, so the latest start
 * time known of an id is kept after its entry is removed.
 */
#include "core/gate-private.h"

#include <string.h>

/*
 * Maximum number of ids whose start time is kept: all replicas of the largest
 * deployment and several times the number replaced there in a day, in about a
 * megabyte.
 */
#define MAX_STARTS 8192

static int64_t latest_start(const struct rr_gate *gate, const char *id)
{
	const int64_t *started_ms =
		g_hash_table_lookup(gate->latest_starts, id);

	return started_ms ? *started_ms : 0;
}

static bool has_moved(const struct rr_endpoint *endpoint,
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
	int64_t latest_ms = latest_start(gate, listing->id);

	/*
	 * Guards against entries that others write under a replica's key: an
	 * entry without a start time is not from a replica that reports one.
	 */
	if (!listing->started_ms && latest_ms)
		return RR_INCARNATION_UNKNOWN;
		/*
	 * Guards against stale updates, from an instance that lags behind or by
	 * a delayed write: requests would be sent to an address that belongs to
	 * another replica by now.
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
	    has_moved(endpoint, listing))
		return RR_INCARNATION_REPLACED;
	return RR_INCARNATION_SAME;
}

static gboolean has_no_endpoint(gpointer id, gpointer started_ms,
				gpointer endpoints)
{
	return !g_hash_table_contains(endpoints, id);
}

void rr_note_start(struct rr_gate *gate, const struct rr_endpoint_info *listing)
{
	int64_t *started_ms;

	if (listing->started_ms <= latest_start(gate, listing->id))
		return;
	if (g_hash_table_size(gate->latest_starts) >= MAX_STARTS)
		g_hash_table_foreach_remove(gate->latest_starts,
					    has_no_endpoint, gate->endpoints);
	started_ms = g_new(int64_t, 1);
	*started_ms = listing->started_ms;
	g_hash_table_insert(gate->latest_starts, g_strdup(listing->id),
			    started_ms);
}

char *rr_format_incarnation(const struct rr_endpoint_info *listing,
			    uint64_t number, const char *previous)
{
	char *name = listing->started_ms ?
			     g_strdup_printf("%s@%" G_GINT64_FORMAT,
					     listing->id, listing->started_ms) :
			     g_strdup(listing->id);
	char *unique;

	if (!previous || strcmp(name, previous))
		return name;
	unique = g_strdup_printf("%s#%" G_GUINT64_FORMAT, name, number);
	g_free(name);
	return unique;
}
