/*
 * gate-zone.c - detection of unreachable replicas and availability zones.
 *
 * Unreachable replicas and zones get no requests.  They are probed by opening
 * connections, so that their recovery is found without risking a request.  An
 * instance that receives nothing from any other zone, and cannot serve its
 * routes without them, reports that it is not ready: callers that can reach
 * another zone are served better there.
 */
#include "core/gate-private.h"

#include <string.h>

struct rr_gate_zone *rr_get_gate_zone(struct rr_gate *gate, const char *name)
{
	struct rr_gate_zone *zone;

	for (guint i = 0; i < gate->zones->len; i++) {
		zone = g_ptr_array_index(gate->zones, i);
		if (!strcmp(zone->name, name))
			return zone;
	}
	zone = g_new0(struct rr_gate_zone, 1);
	zone->number = ++gate->next_id;
	zone->name = g_strdup(name);
	zone->is_local = !g_strcmp0(name, gate->zone) ||
			 !strcmp(name, RR_COORDINATOR_SERVICE);
	zone->evacuation = rr_get_evacuation(gate, name);
	rr_init_passive_health(&zone->health);
	g_ptr_array_add(gate->zones, zone);
	return zone;
}

void rr_free_gate_zone(gpointer data)
{
	struct rr_gate_zone *zone = data;

	g_free(zone->name);
	g_free(zone);
}

void rr_note_attempt_started(struct rr_gate *gate, struct rr_endpoint *endpoint)
{
	if (!endpoint->in_flight.length)
		rr_resume_silence_clock(&endpoint->health, gate->now_us);
	if (!endpoint->zone->n_in_flight++)
		rr_resume_silence_clock(&endpoint->zone->health, gate->now_us);
}

void rr_note_attempt_ended(struct rr_gate *gate, struct rr_endpoint *endpoint)
{
	if (!endpoint->in_flight.length)
		rr_pause_silence_clock(&endpoint->health, gate->now_us);
	if (!--endpoint->zone->n_in_flight)
		rr_pause_silence_clock(&endpoint->zone->health, gate->now_us);
}

static void schedule_probe(struct rr_gate *gate, struct rr_endpoint *endpoint)
{
	if (endpoint->probing)
		return;
	endpoint->probing = true;
	rr_set_timer(gate->timers, gate->now_us + gate->policy.silence_probe_us,
		     RR_TIMER_GATE_PROBE, endpoint->number, 0);
}

/* Chooses a random replica of a zone; NULL if there is none. */
static struct rr_endpoint *choose_zone_replica(struct rr_context *ctx,
					       const struct rr_gate *gate,
					       const struct rr_gate_zone *zone)
{
	struct rr_endpoint *chosen = NULL;
	uint32_t n_seen = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_endpoint *endpoint = value;

		if (endpoint->zone != zone || endpoint->draining)
			continue;
		if (!rr_random_below(ctx, ++n_seen))
			chosen = endpoint;
	}
	return chosen;
}

static void probe_zone(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_zone *zone)
{
	struct rr_endpoint *endpoint = choose_zone_replica(ctx, gate, zone);

	if (!endpoint)
		return;
	zone->probed = true;
	gate->actions.probe(gate->actions.data, endpoint->incarnation,
			    endpoint->address);
}

/* Sets the timer of a zone, which replaces the previous one. */
static void set_zone_timer(struct rr_gate *gate, struct rr_gate_zone *zone,
			   int64_t after_us)
{
	rr_set_timer(gate->timers, gate->now_us + after_us,
		     RR_TIMER_GATE_ZONE_PROBE, zone->number, ++zone->timer_seq);
}

/* Starts probes to find out whether a zone is unreachable. */
static void suspect_zone(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_zone *zone)
{
	if (zone->unreachable || zone->suspected)
		return;
	zone->suspected = true;
	zone->suspected_us = gate->now_us;
	zone->failed_probes = 0;
	zone->probed = false;
	for (uint32_t i = 0; i < gate->policy.suspect_zone_probes; i++)
		probe_zone(ctx, gate, zone);
	set_zone_timer(gate, zone, gate->policy.suspect_probe_timeout_us);
}

/*
 * Called when another instance of this zone is isolated.  Probes the other
 * zones, since this instance may have too little traffic to notice the
 * partition itself.  Callers are directed to other zones only once all
 * instances of this zone report that they are not ready.
 */
void rr_gate_suspect_zones(struct rr_context *ctx, struct rr_gate *gate,
			   int64_t now_us)
{
	gate->now_us = now_us;
	if (gate->isolated || !gate->policy.silence_of_zones)
		return;
#ifdef RR_MUTANT_GATE_HEARS_OF_NO_CUT
	return;
#endif
	for (guint i = 0; i < gate->zones->len; i++) {
		struct rr_gate_zone *zone = g_ptr_array_index(gate->zones, i);

		if (!zone->is_local)
			suspect_zone(ctx, gate, zone);
	}
}

bool rr_gate_is_isolated(const struct rr_gate *gate)
{
	return gate->isolated;
}

static bool is_any_unreachable(const struct rr_gate *gate)
{
	for (guint i = 0; i < gate->zones->len; i++) {
		const struct rr_gate_zone *zone =
			g_ptr_array_index(gate->zones, i);

		if (zone->unreachable)
			return true;
	}
	return false;
}

static bool seems_unreachable(const struct rr_gate *gate,
			      const struct rr_gate_zone *zone)
{
	uint32_t threshold = is_any_unreachable(gate) ?
				     gate->policy.silence_next_unanswered :
				     gate->policy.silence_unanswered;

	return zone->unanswered >= threshold &&
	       rr_silence_us(&zone->health, gate->now_us) >=
		       gate->policy.silence_zone_us;
}

static void mark_unreachable(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_gate_zone *zone);

/*
 * Checks the other zones after one was found unreachable.  A network partition
 * often affects several zones at once, but from then on there may be no more
 * attempts to the others that would reveal it.
 */
static void suspect_other_zones(struct rr_context *ctx, struct rr_gate *gate)
{
	for (guint i = 0; i < gate->zones->len; i++) {
		struct rr_gate_zone *zone = g_ptr_array_index(gate->zones, i);

		if (zone->is_local || zone->unreachable)
			continue;
		if (seems_unreachable(gate, zone))
			mark_unreachable(ctx, gate, zone);
		else if (gate->now_us - zone->last_contact_us >=
			 gate->policy.suspect_zone_us)
			suspect_zone(ctx, gate, zone);
	}
}

static void mark_unreachable(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_gate_zone *zone)
{
	if (zone->unreachable || !gate->policy.silence_of_zones)
		return;
	zone->unreachable = true;
	rr_log(ctx, RR_LOG_WARNING, "zone-silent",
	       RR_FIELD_STRING("zone", zone->name),
	       RR_FIELD_U64("unanswered", zone->unanswered),
	       RR_FIELD_I64("silent_us",
			    rr_silence_us(&zone->health, gate->now_us)));
	zone->suspected = false;
	set_zone_timer(gate, zone, gate->policy.silence_probe_us);
	suspect_other_zones(ctx, gate);
	rr_update_isolation(ctx, gate);
}

/* Whether each replica of a zone is suspected individually. */
static bool are_all_suspected(const struct rr_gate *gate,
			      const struct rr_gate_zone *zone)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_endpoint *endpoint = value;

		if (endpoint->zone == zone && !endpoint->draining &&
		    !rr_is_suspected(&endpoint->health, gate->now_us))
			return false;
	}
	return true;
}

/*
 * Counts attempts in flight as unanswered: they may stay open for a second, and
 * waiting for that would delay the detection.
 */
static void suspect_if_unresponsive(struct rr_context *ctx,
				    struct rr_gate *gate,
				    struct rr_gate_zone *zone)
{
	if (zone->unanswered + zone->n_in_flight >=
		    gate->policy.suspect_zone_unanswered &&
	    rr_silence_us(&zone->health, gate->now_us) >=
		    gate->policy.suspect_zone_us)
		suspect_zone(ctx, gate, zone);
}

/* Counts an attempt without a reply and checks whether its zone responds. */
static void check_zone(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_zone *zone)
{
	zone->unanswered++;
	if (seems_unreachable(gate, zone) || are_all_suspected(gate, zone))
		mark_unreachable(ctx, gate, zone);
	else if (zone->unanswered >= gate->policy.silence_unanswered)
		/* Refused connections fail at once: no silent time adds up. */
		suspect_zone(ctx, gate, zone);
	else
		suspect_if_unresponsive(ctx, gate, zone);
}

static void suspect_replica(struct rr_context *ctx, struct rr_gate *gate,
			    struct rr_endpoint *endpoint, const char *reason)
{
	bool was_suspected = rr_is_suspected(&endpoint->health, gate->now_us);

	rr_observe_loss(&endpoint->health, gate->now_us, RR_LOSS_UNREACHABLE);
	if (was_suspected)
		return;
	rr_log(ctx, RR_LOG_INFO, "endpoint-suspected",
	       RR_FIELD_STRING("endpoint", endpoint->id),
	       RR_FIELD_STRING("service", endpoint->service->name),
	       RR_FIELD_STRING("reason", reason),
	       RR_FIELD_I64("for_us", endpoint->health.suspected_until_us -
					      gate->now_us));
	schedule_probe(gate, endpoint);
}

static void check_replica(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_endpoint *endpoint)
{
	if (rr_silence_us(&endpoint->health, gate->now_us) >=
	    gate->policy.silence_replica_us)
		suspect_replica(ctx, gate, endpoint, "silent");
}

void rr_note_attempt_cancelled(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_endpoint *endpoint)
{
	check_replica(ctx, gate, endpoint);
	check_zone(ctx, gate, endpoint->zone);
}

/*
 * Checks the time without contact while attempts are in flight.  Without this,
 * if the retry budget is exhausted, an attempt is not abandoned before its
 * request's deadline, and more requests would go to a dead replica until then.
 */
void rr_note_attempt_overdue(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_endpoint *endpoint)
{
#ifndef RR_MUTANT_GATE_OPEN_IS_FINE
	if (gate->policy.silence_of_open_attempts &&
	    !rr_is_suspected(&endpoint->health, gate->now_us))
		check_replica(ctx, gate, endpoint);
#endif
	suspect_if_unresponsive(ctx, gate, endpoint->zone);
}

void rr_note_attempt_lost(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_endpoint *endpoint, enum rr_loss loss)
{
	if (loss == RR_LOSS_BROKEN) {
		rr_observe_loss(&endpoint->health, gate->now_us, loss);
		return;
	}
	suspect_replica(ctx, gate, endpoint, "unreachable");
	check_zone(ctx, gate, endpoint->zone);
}

static void record_zone_contact(struct rr_context *ctx, struct rr_gate *gate,
				struct rr_gate_zone *zone)
{
	rr_observe_contact(&zone->health, gate->now_us);
	zone->unanswered = 0;
	zone->last_contact_us = gate->now_us;
	zone->failed_probes = 0;
	zone->suspected = false;
	if (!zone->unreachable)
		return;
	zone->unreachable = false;
	rr_log(ctx, RR_LOG_WARNING, "zone-heard",
	       RR_FIELD_STRING("zone", zone->name));
	rr_update_isolation(ctx, gate);
}

void rr_note_contact(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_endpoint *endpoint)
{
	endpoint->contact.reply_us = gate->now_us;
	rr_observe_contact(&endpoint->health, gate->now_us);
	record_zone_contact(ctx, gate, endpoint->zone);
}

static struct rr_endpoint *find_endpoint(const struct rr_gate *gate,
					 uint64_t number)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct rr_endpoint *)value)->number == number)
			return value;
	}
	return NULL;
}

void rr_handle_probe_timer(struct rr_context *ctx, struct rr_gate *gate,
			   uint64_t number)
{
	struct rr_endpoint *endpoint = find_endpoint(gate, number);

	if (!endpoint)
		return;
	endpoint->probing = false;
	if (endpoint->draining || !endpoint->health.consecutive_suspicions)
		return;
	/* An unreachable zone is probed as a whole. */
	if (endpoint->zone->unreachable) {
		schedule_probe(gate, endpoint);
		return;
	}
	endpoint->probing = true;
	gate->actions.probe(gate->actions.data, endpoint->incarnation,
			    endpoint->address);
}

static struct rr_gate_zone *find_zone(const struct rr_gate *gate,
				      uint64_t number)
{
	for (guint i = 0; i < gate->zones->len; i++) {
		struct rr_gate_zone *zone = g_ptr_array_index(gate->zones, i);

		if (zone->number == number)
			return zone;
	}
	return NULL;
}

/*
 * Marks a suspected zone as unreachable if no probe succeeded in time.  Any
 * contact with the zone ends the suspicion before.  Guards against a partition
 * that takes half a second to detect by attempts alone, while all requests of
 * that time are lost.  A pause of the replicas does not count as a partition,
 * since their machines still accept connections.
 */
static void confirm_suspicion(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_gate_zone *zone)
{
	if (gate->now_us - zone->suspected_us <
		    gate->policy.suspect_probe_timeout_us ||
	    !zone->probed)
		return;
#ifndef RR_MUTANT_GATE_SLOW_PROBES
	mark_unreachable(ctx, gate, zone);
#endif
}

void rr_handle_zone_timer(struct rr_context *ctx, struct rr_gate *gate,
			  uint64_t number, uint32_t sequence)
{
	struct rr_gate_zone *zone = find_zone(gate, number);

	if (!zone || zone->timer_seq != sequence)
		return;
	if (zone->suspected)
		confirm_suspicion(ctx, gate, zone);
	if (!zone->unreachable && !zone->suspected)
		return;
	if (zone->unreachable)
		suspect_other_zones(ctx, gate);
	probe_zone(ctx, gate, zone);
	set_zone_timer(gate, zone, gate->policy.silence_probe_us);
}

void rr_gate_handle_probe_result(struct rr_context *ctx, struct rr_gate *gate,
				 int64_t now_us, const char *incarnation,
				 bool reached)
{
	struct rr_endpoint *endpoint =
		g_hash_table_lookup(gate->incarnations, incarnation);

	gate->now_us = now_us;
	if (!endpoint)
		return;
	endpoint->probing = false;
	rr_resolve_closed_attempts(ctx, gate, endpoint, reached);
	if (reached) {
		rr_observe_reachable(&endpoint->health);
		record_zone_contact(ctx, gate, endpoint->zone);
		rr_send_queued_parts(ctx, gate, endpoint->service);
		return;
	}
	if (++endpoint->zone->failed_probes >=
		    gate->policy.silence_failed_probes &&
	    endpoint->zone->suspected)
		mark_unreachable(ctx, gate, endpoint->zone);
	if (endpoint->health.consecutive_suspicions && !endpoint->draining) {
		rr_observe_unreachable(&endpoint->health, now_us);
		schedule_probe(gate, endpoint);
	}
}

/* Whether enough services are reachable to serve a route. */
static bool can_serve(const struct rr_gate *gate, const struct rr_route *route)
{
	size_t required =
		route->mode == RR_ROUTE_GATHER ?
			rr_required_parts(route->n_parts, route->min_share) :
			1;
	size_t reachable = 0;

	for (size_t i = 0; i < route->n_parts; i++) {
		const struct rr_gate_service *service = g_hash_table_lookup(
			gate->services, route->parts[i].service);

		if (service && rr_is_service_reachable(gate, service))
			reachable++;
	}
	return reachable >= required;
}

static bool are_other_zones_unreachable(const struct rr_gate *gate)
{
	bool has_other_zone = false;

	for (guint i = 0; i < gate->zones->len; i++) {
		const struct rr_gate_zone *zone =
			g_ptr_array_index(gate->zones, i);

		if (zone->is_local)
			continue;
		if (!zone->unreachable)
			return false;
		has_other_zone = true;
	}
	return has_other_zone;
}

static bool has_unserved_route(const struct rr_gate *gate)
{
	for (size_t i = 0;
	     gate->route_table && i < rr_count_routes(gate->route_table); i++) {
		if (!can_serve(gate, rr_route_at(gate->route_table, i)))
			return true;
	}
	return false;
}

void rr_update_isolation(struct rr_context *ctx, struct rr_gate *gate)
{
	bool isolated = gate->policy.silence_unready &&
			are_other_zones_unreachable(gate) &&
			has_unserved_route(gate);

	if (isolated == gate->isolated)
		return;
	gate->isolated = isolated;
	rr_log(ctx, RR_LOG_WARNING, isolated ? "cut-off" : "not-cut-off",
	       RR_FIELD_U64("zones", gate->zones->len));
}
