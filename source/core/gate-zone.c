/*
 * gate-zone.c - replicas and availability zones that have fallen silent.
 *
 * What is silent is left alone and probed by new connections, so that no
 * request has to find out; an instance that hears nothing from any other
 * zone, and cannot serve without them, says that it is not ready: callers
 * who can reach another zone are better off there.
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
	rr_init_passive_health(&zone->track);
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
		rr_resume_silence_clock(&endpoint->track, gate->now_us);
	if (!endpoint->zone->n_in_flight++)
		rr_resume_silence_clock(&endpoint->zone->track, gate->now_us);
}

void rr_note_attempt_ended(struct rr_gate *gate, struct rr_endpoint *endpoint)
{
	if (!endpoint->in_flight.length)
		rr_pause_silence_clock(&endpoint->track, gate->now_us);
	if (!--endpoint->zone->n_in_flight)
		rr_pause_silence_clock(&endpoint->zone->track, gate->now_us);
}

static void set_probe(struct rr_gate *gate, struct rr_endpoint *endpoint)
{
	if (endpoint->probing)
		return;
	endpoint->probing = true;
	rr_set_timer(gate->timers, gate->now_us + gate->policy.silence_probe_us,
		     RR_TIMER_GATE_PROBE, endpoint->number, 0);
}

/* Any replica of a zone, drawn at random. */
static struct rr_endpoint *draw_of_zone(struct rr_context *ctx,
					const struct rr_gate *gate,
					const struct rr_gate_zone *zone)
{
	struct rr_endpoint *drawn = NULL;
	uint32_t seen = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_endpoint *endpoint = value;

		if (endpoint->zone != zone || endpoint->draining)
			continue;
		if (!rr_random_below(ctx, ++seen))
			drawn = endpoint;
	}
	return drawn;
}

static void probe_zone(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_zone *zone)
{
	struct rr_endpoint *endpoint = draw_of_zone(ctx, gate, zone);

	if (!endpoint)
		return;
	zone->probed = true;
	gate->actions.probe(gate->actions.data, endpoint->incarnation,
			    endpoint->address);
}

/* Look at a zone again after so long, and not before. */
static void watch_zone(struct rr_gate *gate, struct rr_gate_zone *zone,
		       int64_t after_us)
{
	rr_set_timer(gate->timers, gate->now_us + after_us,
		     RR_TIMER_GATE_ZONE_PROBE, zone->number, ++zone->timer_seq);
}

/* Find out by probes whether a zone is silent. */
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
	watch_zone(gate, zone, gate->policy.suspect_probe_timeout_us);
}

/*
 * Guards against an instance that has too little work to notice a cut: callers
 * are led to other zones once all of a zone's instances say that they are not
 * ready, and one that does not know keeps them there.
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

static bool is_any_silent(const struct rr_gate *gate)
{
	for (guint i = 0; i < gate->zones->len; i++) {
		const struct rr_gate_zone *zone =
			g_ptr_array_index(gate->zones, i);

		if (zone->unreachable)
			return true;
	}
	return false;
}

static bool seems_cut(const struct rr_gate *gate,
		      const struct rr_gate_zone *zone)
{
	uint32_t enough = is_any_silent(gate) ?
				  gate->policy.silence_next_unanswered :
				  gate->policy.silence_unanswered;

	return zone->unanswered >= enough &&
	       rr_silence_us(&zone->track, gate->now_us) >=
		       gate->policy.silence_zone_us;
}

static void silence_zone(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_zone *zone);

/*
 * A cut takes several zones at a time, but once one of them is silent there
 * may be no more work that would show it of the others.
 */
static void suspect_other_zones(struct rr_context *ctx, struct rr_gate *gate)
{
	for (guint i = 0; i < gate->zones->len; i++) {
		struct rr_gate_zone *zone = g_ptr_array_index(gate->zones, i);

		if (zone->is_local || zone->unreachable)
			continue;
		if (seems_cut(gate, zone))
			silence_zone(ctx, gate, zone);
		else if (gate->now_us - zone->last_contact_us >=
			 gate->policy.suspect_zone_us)
			suspect_zone(ctx, gate, zone);
	}
}

static void silence_zone(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_zone *zone)
{
	if (zone->unreachable || !gate->policy.silence_of_zones)
		return;
	zone->unreachable = true;
	rr_log(ctx, RR_LOG_WARNING, "zone-silent",
	       RR_FIELD_STRING("zone", zone->name),
	       RR_FIELD_U64("unanswered", zone->unanswered),
	       RR_FIELD_I64("silent_us",
			    rr_silence_us(&zone->track, gate->now_us)));
	zone->suspected = false;
	watch_zone(gate, zone, gate->policy.silence_probe_us);
	suspect_other_zones(ctx, gate);
	rr_update_isolation(ctx, gate);
}

/* Whether each replica of a zone is suspected by itself. */
static bool are_all_suspected(const struct rr_gate *gate,
			      const struct rr_gate_zone *zone)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_endpoint *endpoint = value;

		if (endpoint->zone == zone && !endpoint->draining &&
		    !rr_is_suspected(&endpoint->track, gate->now_us))
			return false;
	}
	return true;
}

/* Attempts that wait count as well: they may do so for a second. */
static void look_for_silence(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_gate_zone *zone)
{
	if (zone->unanswered + zone->n_in_flight >=
		    gate->policy.suspect_zone_unanswered &&
	    rr_silence_us(&zone->track, gate->now_us) >=
		    gate->policy.suspect_zone_us)
		suspect_zone(ctx, gate, zone);
}

static void judge_zone(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_zone *zone)
{
	zone->unanswered++;
	if (seems_cut(gate, zone) || are_all_suspected(gate, zone))
		silence_zone(ctx, gate, zone);
	else if (zone->unanswered >= gate->policy.silence_unanswered)
		suspect_zone(ctx, gate,
			     zone); /* refused at once: no time passes */
	else
		look_for_silence(ctx, gate, zone);
}

static void suspect(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_endpoint *endpoint, const char *reason)
{
	bool already = rr_is_suspected(&endpoint->track, gate->now_us);

	rr_observe_loss(&endpoint->track, gate->now_us, RR_LOSS_UNREACHABLE);
	if (already)
		return;
	rr_log(ctx, RR_LOG_INFO, "endpoint-suspected",
	       RR_FIELD_STRING("endpoint", endpoint->id),
	       RR_FIELD_STRING("service", endpoint->service->name),
	       RR_FIELD_STRING("reason", reason),
	       RR_FIELD_I64("for_us",
			    endpoint->track.suspected_until_us - gate->now_us));
	set_probe(gate, endpoint);
}

static void judge_replica(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_endpoint *endpoint)
{
	if (rr_silence_us(&endpoint->track, gate->now_us) >=
	    gate->policy.silence_replica_us)
		suspect(ctx, gate, endpoint, "silent");
}

void rr_note_attempt_cancelled(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_endpoint *endpoint)
{
	judge_replica(ctx, gate, endpoint);
	judge_zone(ctx, gate, endpoint->zone);
}

/*
 * Guards against silence that is never judged: where no extra attempt is left,
 * an attempt is not given up before its request's deadline, and requests
 * would go to a dead replica until then.
 */
void rr_note_attempt_overdue(struct rr_context *ctx, struct rr_gate *gate,
			     struct rr_endpoint *endpoint)
{
#ifndef RR_MUTANT_GATE_OPEN_IS_FINE
	if (gate->policy.silence_of_open_attempts &&
	    !rr_is_suspected(&endpoint->track, gate->now_us))
		judge_replica(ctx, gate, endpoint);
#endif
	look_for_silence(ctx, gate, endpoint->zone);
}

void rr_note_attempt_lost(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_endpoint *endpoint, enum rr_loss loss)
{
	if (loss == RR_LOSS_BROKEN) {
		rr_observe_loss(&endpoint->track, gate->now_us, loss);
		return;
	}
	suspect(ctx, gate, endpoint, "unreachable");
	judge_zone(ctx, gate, endpoint->zone);
}

static void zone_alive(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_zone *zone)
{
	rr_observe_contact(&zone->track, gate->now_us);
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
	rr_observe_contact(&endpoint->track, gate->now_us);
	zone_alive(ctx, gate, endpoint->zone);
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
	if (endpoint->draining || !endpoint->track.consecutive_silences)
		return;
	/* A silent zone is probed as one. */
	if (endpoint->zone->unreachable) {
		set_probe(gate, endpoint);
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
 * Suspicion of a zone ends with its first sign of life.  Guards against a cut that
 * takes half a second to show by attempts alone, while each request of that
 * time is lost.  It holds where replicas pause, since their machines answer.
 */
static void end_suspicion(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_gate_zone *zone)
{
	if (gate->now_us - zone->suspected_us <
		    gate->policy.suspect_probe_timeout_us ||
	    !zone->probed)
		return;
#ifndef RR_MUTANT_GATE_SLOW_PROBES
	silence_zone(ctx, gate, zone);
#endif
}

void rr_handle_zone_timer(struct rr_context *ctx, struct rr_gate *gate,
			  uint64_t number, uint32_t watch)
{
	struct rr_gate_zone *zone = find_zone(gate, number);

	if (!zone || zone->timer_seq != watch)
		return;
	if (zone->suspected)
		end_suspicion(ctx, gate, zone);
	if (!zone->unreachable && !zone->suspected)
		return;
	if (zone->unreachable)
		suspect_other_zones(ctx, gate);
	probe_zone(ctx, gate, zone);
	watch_zone(gate, zone, gate->policy.silence_probe_us);
}

void rr_gate_handle_probe_result(struct rr_context *ctx, struct rr_gate *gate,
				 int64_t now_us, const char *lifetime,
				 bool reached)
{
	struct rr_endpoint *endpoint =
		g_hash_table_lookup(gate->incarnations, lifetime);

	gate->now_us = now_us;
	if (!endpoint)
		return;
	endpoint->probing = false;
	rr_resolve_closed_attempts(ctx, gate, endpoint, reached);
	if (reached) {
		rr_observe_reachable(&endpoint->track);
		zone_alive(ctx, gate, endpoint->zone);
		rr_send_queued_parts(ctx, gate, endpoint->service);
		return;
	}
	if (++endpoint->zone->failed_probes >=
		    gate->policy.silence_failed_probes &&
	    endpoint->zone->suspected)
		silence_zone(ctx, gate, endpoint->zone);
	if (endpoint->track.consecutive_silences && !endpoint->draining) {
		rr_observe_unreachable(&endpoint->track, now_us);
		set_probe(gate, endpoint);
	}
}

/* Whether the replicas that can be reached are enough for a route. */
static bool can_serve(const struct rr_gate *gate, const struct rr_route *route)
{
	size_t least =
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
	return reachable >= least;
}

static bool hears_no_other_zone(const struct rr_gate *gate)
{
	bool any = false;

	for (guint i = 0; i < gate->zones->len; i++) {
		const struct rr_gate_zone *zone =
			g_ptr_array_index(gate->zones, i);

		if (zone->is_local)
			continue;
		if (!zone->unreachable)
			return false;
		any = true;
	}
	return any;
}

static bool lacks_a_route(const struct rr_gate *gate)
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
			hears_no_other_zone(gate) && lacks_a_route(gate);

	if (isolated == gate->isolated)
		return;
	gate->isolated = isolated;
	rr_log(ctx, RR_LOG_WARNING, isolated ? "cut-off" : "not-cut-off",
	       RR_FIELD_U64("zones", gate->zones->len));
}
