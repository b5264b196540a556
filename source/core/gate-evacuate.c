/*
 * gate-evacuate.c - routing around evacuated zones, and their slow start.
 *
 * Attempts that were already sent to a replica of the zone complete there.
 * Attempts that were not yet sent are redirected to other zones.
 */
#include "core/gate-private.h"

struct rr_evacuation *rr_get_evacuation(struct rr_gate *gate, const char *zone)
{
	struct rr_evacuation *evacuation =
		g_hash_table_lookup(gate->evacuations, zone);

	if (evacuation)
		return evacuation;
	evacuation = g_new0(struct rr_evacuation, 1);
	g_hash_table_insert(gate->evacuations, g_strdup(zone), evacuation);
	return evacuation;
}

bool rr_is_service_evacuated(const struct rr_gate_service *service)
{
	bool has_endpoint = false;

	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct rr_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (endpoint->draining)
			continue;
		if (!endpoint->zone->evacuation->active)
			return false;
		has_endpoint = true;
	}
	return has_endpoint;
}

bool rr_skip_in_slow_start(struct rr_context *ctx, const struct rr_gate *gate,
			   const struct rr_endpoint *endpoint)
{
	const struct rr_evacuation *evacuation = endpoint->zone->evacuation;
	double share;

	if (!evacuation->ended)
		return false;
	share = rr_zone_traffic_share(
		evacuation, gate->now_us,
		rr_cold_period_us(gate, endpoint->service));
	return share < 1 && rr_random_unit(ctx) >= share;
}

/*
 * Lists the attempts in flight in a zone.  Returns ids instead of pointers,
 * since ending one attempt may end and free others.
 */
static GArray *list_attempts(const struct rr_gate *gate, const char *zone)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_gate_attempt *attempt = value;

		if (!g_strcmp0(attempt->endpoint->zone->name, zone))
			g_array_append_val(ids, attempt->id);
	}
	return ids;
}

/*
 * Redirects attempts that wait for a connection, which would otherwise be sent
 * after the start of the evacuation.  Returns how many attempts remain in the
 * zone.
 */
static guint redirect_unsent(struct rr_context *ctx, struct rr_gate *gate,
			     const char *zone)
{
	GArray *ids = list_attempts(gate, zone);
	guint remaining = 0;

	for (guint i = 0; i < ids->len; i++) {
		struct rr_gate_attempt *attempt = g_hash_table_lookup(
			gate->attempts, &g_array_index(ids, uint64_t, i));

		if (attempt && !rr_redirect_unsent(ctx, gate, attempt,
						   RR_REASON_EVACUATED))
			remaining++;
	}
	g_array_unref(ids);
	return remaining;
}

/* Counts the known replicas of a zone, listed or recently unlisted. */
static guint count_endpoints(const struct rr_gate *gate, const char *zone)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_endpoint *endpoint = value;

		n += !g_strcmp0(endpoint->zone->name, zone);
	}
	return n;
}

/* Retries queued parts, in other zones or where there is capacity again. */
static void flush_queues(struct rr_context *ctx, struct rr_gate *gate)
{
	GList *services = g_hash_table_get_values(gate->services);

	for (GList *l = services; l; l = l->next)
		rr_flush_queued_parts(ctx, gate, l->data);
	g_list_free(services);
}

static uint64_t count_evacuated(const struct rr_gate *gate)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t n = 0;

	g_hash_table_iter_init(&iter, gate->evacuations);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct rr_evacuation *)value)->active;
	return n;
}

void rr_gate_set_evacuation(struct rr_context *ctx, struct rr_gate *gate,
			    int64_t now_us, const char *zone,
			    struct rr_store_cursor cursor, bool active)
{
	guint remaining = 0;

	gate->now_us = now_us;
	if (!rr_update_evacuation(rr_get_evacuation(gate, zone), now_us, cursor,
				  active))
		return;
#ifdef RR_MUTANT_GATE_SENDS_AFTER_EVACUATION
	return;
#endif
	if (active)
		remaining = redirect_unsent(ctx, gate, zone);
	flush_queues(ctx, gate);
	rr_update_isolation(ctx, gate);
	rr_set_gauge(ctx, RR_G_ZONES_EVACUATED, count_evacuated(gate));
	rr_log(ctx, RR_LOG_WARNING,
	       active ? "zone-evacuated" : "zone-taken-back",
	       RR_FIELD_STRING("zone", zone), RR_FIELD_U64("era", cursor.era),
	       RR_FIELD_U64("revision", cursor.revision),
	       RR_FIELD_U64("endpoints", count_endpoints(gate, zone)),
	       RR_FIELD_U64("in_flight", remaining));
}
