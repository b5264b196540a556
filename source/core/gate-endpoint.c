/*
 * gate-endpoint.c - the known replicas, by incarnation.
 *
 * Their state comes from the replica list and from the outcome of attempts.  An
 * incarnation whose address answers 421 because another replica runs there, or
 * that is listed as draining, gets no new attempts; a later incarnation does
 * (gate-incarnation.c).
 */
#include "core/gate-private.h"

#include <string.h>

/*
 * A request that was sent reaches its replica within this fraction of the time
 * for which a removed replica serves.
 */
#define ARRIVAL_DIVISOR 10

struct rr_endpoint *rr_keep_endpoint(struct rr_endpoint *endpoint)
{
	endpoint->refs++;
	return endpoint;
}

void rr_drop_endpoint(struct rr_endpoint *endpoint)
{
	if (!endpoint || --endpoint->refs)
		return;
	g_free(endpoint->id);
	g_free(endpoint->incarnation);
	g_free(endpoint->address);
	g_free(endpoint->cold_quota);
	if (endpoint->closed_attempts)
		g_array_unref(endpoint->closed_attempts);
	g_free(endpoint);
}

/* Whether to log a change of a replica now; otherwise it is only counted. */
static bool take_log_line(struct rr_gate *gate)
{
	if (rr_take_log_lines(&gate->list_log_budget, gate->now_us, 1, false))
		return true;
	gate->suppressed_changes++;
	return false;
}

void rr_log_suppressed_changes(struct rr_context *ctx, struct rr_gate *gate)
{
	if (!gate->suppressed_changes)
		return;
	rr_log(ctx, RR_LOG_INFO, "endpoints-changed",
	       RR_FIELD_U64("not_told_singly", gate->suppressed_changes),
	       RR_FIELD_U64("endpoints", g_hash_table_size(gate->endpoints)));
	gate->suppressed_changes = 0;
}

void rr_free_gate_service(gpointer data)
{
	struct rr_gate_service *service = data;

	rr_clear_wait_queue(&service->wait_queue);
	g_ptr_array_unref(service->endpoints);
	g_free(service->name);
	g_free(service);
}

static void set_retry_budget(const struct rr_gate *gate,
			     struct rr_gate_service *service)
{
	double slack = gate->extra_slack * gate->policy.share_slack_part;
	uint32_t n_coordinators = rr_count_coordinators(gate);
	double fraction = gate->n_instances ? 1.0 / gate->n_instances : 0;
	double start_slack;

	/*
	 * If some instances forward their searches, the coordinators get most
	 * of the retry budget.
	 */
	if (service->is_shard && n_coordinators < gate->n_instances)
		fraction =
			gate->forwards_searches ?
				gate->policy.share_weak_part /
					(gate->n_instances - n_coordinators) :
				(1 - gate->policy.share_weak_part) /
					n_coordinators;
	slack *= fraction;
	start_slack = slack * gate->policy.share_start_part;
	rr_set_retry_budget(&service->retry_budget, gate->extra_ratio,
			    slack - start_slack, start_slack);
}

struct rr_gate_service *rr_get_gate_service(struct rr_gate *gate,
					    const char *name)
{
	struct rr_gate_service *service =
		g_hash_table_lookup(gate->services, name);

	if (service)
		return service;
	service = g_new0(struct rr_gate_service, 1);
	service->name = g_strdup(name);
	service->endpoints = g_ptr_array_new();
	rr_init_wait_queue(&service->wait_queue);
	rr_init_retry_budget(&service->retry_budget, gate->extra_window_us,
			     gate->process_started_us);
	set_retry_budget(gate, service);
	g_hash_table_insert(gate->services, service->name, service);
	return service;
}

void rr_gate_set_instance_count(struct rr_context *ctx, struct rr_gate *gate,
				uint32_t instances)
{
	instances = MAX(instances, 1);
	if (instances == gate->n_instances)
		return;
	rr_log(ctx, RR_LOG_INFO, "instances", RR_FIELD_U64("now", instances),
	       RR_FIELD_U64("before", gate->n_instances));
	gate->n_instances = instances;
	rr_update_retry_budgets(gate);
}

void rr_update_retry_budgets(struct rr_gate *gate)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, gate->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		set_retry_budget(gate, service);
}

void rr_mark_shards(struct rr_gate *gate)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, gate->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		((struct rr_gate_service *)service)->is_shard = false;
	for (size_t i = 0; i < rr_count_routes(gate->route_table); i++) {
		const struct rr_route *route =
			rr_route_at(gate->route_table, i);

		if (route->mode != RR_ROUTE_GATHER)
			continue;
		for (size_t j = 0; j < route->n_parts; j++)
			rr_get_gate_service(gate, route->parts[j].service)
				->is_shard = true;
	}
	rr_update_retry_budgets(gate);
}

const struct rr_route_service *
rr_find_service_config(const struct rr_gate *gate, const char *name)
{
	return gate->route_table ?
		       rr_find_route_service(gate->route_table, name) :
		       NULL;
}

/* Return this instance's share of a fraction of a replica's connections. */
static uint32_t connection_share(const struct rr_gate *gate, const char *name,
				 double fraction)
{
	const struct rr_route_service *service =
		rr_find_service_config(gate, name);
	double share;

	if (!service || !service->max_connections)
		return 1;
	if (!rr_count_coordinators(gate))
		return 1;
	share = service->max_connections * fraction /
		rr_count_coordinators(gate);
	return MAX(1, (uint32_t)share);
}

uint32_t rr_max_idle_connections(const struct rr_gate *gate, const char *name)
{
	return connection_share(gate, name, gate->policy.share_kept_part);
}

uint32_t rr_gate_connection_share(const struct rr_gate *gate, const char *name)
{
	return connection_share(gate, name, gate->policy.share_connection_part);
}

static struct rr_endpoint *add_endpoint(struct rr_gate *gate,
					const struct rr_endpoint_info *listing,
					const char *previous)
{
	struct rr_endpoint *endpoint = g_new0(struct rr_endpoint, 1);

	endpoint->refs = 1;
	endpoint->number = ++gate->next_id;
	endpoint->id = g_strdup(listing->id);
	endpoint->started_ms = listing->started_ms;
	endpoint->incarnation =
		rr_format_incarnation(listing, endpoint->number, previous);
	endpoint->address = g_strdup(listing->address);
	endpoint->zone = rr_get_gate_zone(gate, listing->zone);
	endpoint->region = g_hash_table_lookup(gate->regions, listing->zone);
	endpoint->service = rr_get_gate_service(gate, listing->service);
	rr_init_passive_health(&endpoint->health);
	g_queue_init(&endpoint->in_flight);
	g_ptr_array_add(endpoint->service->endpoints, endpoint);
	g_hash_table_insert(gate->endpoints, endpoint->id, endpoint);
	g_hash_table_insert(gate->incarnations, endpoint->incarnation,
			    endpoint);
	rr_note_start(gate, listing);
	return endpoint;
}

void rr_retire_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_endpoint *endpoint, const char *reason)
{
	if (endpoint->draining)
		return;
	endpoint->draining = true;
	if (take_log_line(gate))
		rr_log(ctx, RR_LOG_INFO, "endpoint-retired",
		       RR_FIELD_STRING("endpoint", endpoint->id),
		       RR_FIELD_I64("born_ms", endpoint->started_ms),
		       RR_FIELD_STRING("service", endpoint->service->name),
		       RR_FIELD_STRING("reason", reason),
		       RR_FIELD_U64("in_flight", endpoint->in_flight.length));
	gate->actions.close_idle(gate->actions.data, endpoint->incarnation);
}

static void remove_endpoint(struct rr_gate *gate, struct rr_endpoint *endpoint)
{
	g_ptr_array_remove(endpoint->service->endpoints, endpoint);
	g_hash_table_remove(gate->incarnations, endpoint->incarnation);
	g_hash_table_steal(gate->endpoints, endpoint->id);
	rr_drop_endpoint(endpoint);
}

/* Remove an incarnation; its attempts in flight reference it until they end. */
static void retire_and_remove(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_endpoint *endpoint, const char *reason)
{
	rr_retire_endpoint(ctx, gate, endpoint, reason);
	rr_resolve_closed_attempts(ctx, gate, endpoint, false);
	remove_endpoint(gate, endpoint);
}

/*
 * Whether to open a connection before it is needed.  Always done for a
 * coordinator; otherwise not if this instance forwards its searches, if the
 * replica does not accept one connection from each instance, or while the
 * number of instances is unknown.
 */
static bool may_preconnect(const struct rr_gate *gate,
			   const struct rr_endpoint *endpoint)
{
	const struct rr_route_service *service =
		rr_find_service_config(gate, endpoint->service->name);

	if (endpoint->service == gate->coordinators)
		return true;
	if (gate->forwards_searches || !gate->n_instances ||
	    !gate->policy.share_opens_early)
		return false;
	return !service ||
	       service->max_connections >= rr_count_coordinators(gate);
}

/*
 * Replace the known incarnation by a new one, which inherits no state.
 * Attempts in flight reference the earlier one until they end: their outcome
 * says nothing about the new one.
 */
static struct rr_endpoint *
replace_endpoint(struct rr_context *ctx, struct rr_gate *gate,
		 struct rr_endpoint *previous,
		 const struct rr_endpoint_info *listing)
{
	struct rr_endpoint *endpoint;
	char *name;
	bool was_draining;

	if (!previous)
		return add_endpoint(gate, listing, NULL);
	/* An incarnation that drains never resumes, at any address. */
	was_draining = previous->draining &&
		       previous->started_ms == listing->started_ms;
	name = g_strdup(previous->incarnation);
	retire_and_remove(ctx, gate, previous, "replaced");
	endpoint = add_endpoint(gate, listing, name);
	endpoint->draining = was_draining;
	g_free(name);
	return endpoint;
}

static void log_list_entry(struct rr_context *ctx, struct rr_gate *gate,
			   const struct rr_endpoint_info *listing,
			   const char *event, const char *reason)
{
	if (!take_log_line(gate))
		return;
	rr_log(ctx, RR_LOG_INFO, event,
	       RR_FIELD_STRING("endpoint", listing->id),
	       RR_FIELD_I64("born_ms", listing->started_ms),
	       RR_FIELD_STRING("service", listing->service),
	       RR_FIELD_STRING("address", listing->address),
	       RR_FIELD_STRING("zone", listing->zone),
	       RR_FIELD_STRING("reason", reason),
	       RR_FIELD_BOOL("draining", listing->draining),
	       RR_FIELD_U64("cold_ms", listing->cold_ms));
}

/* Apply a list entry to the known incarnation. */
static void update_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			    struct rr_endpoint *endpoint,
			    const struct rr_endpoint_info *listing)
{
	bool is_new = !endpoint->listed;

	endpoint->listed = true;
	endpoint->slots = MAX(listing->slots, 1);
	endpoint->cold_until_us =
		gate->now_us + (int64_t)listing->cold_ms * 1000;
	if (is_new) {
		rr_reset_limit(&endpoint->limit,
			       rr_endpoint_bounds(gate, endpoint).share);
		log_list_entry(ctx, gate, listing, "endpoint-listed", "new");
	}
	if (listing->draining) {
		rr_retire_endpoint(ctx, gate, endpoint, "draining");
		return;
	}
	/* The entry shows that the replica runs: end any suspicion. */
	rr_note_contact(ctx, gate, endpoint);
	if (is_new)
		g_queue_push_tail(&gate->to_preconnect,
				  rr_keep_endpoint(endpoint));
	rr_send_queued_parts(ctx, gate, endpoint->service);
}

/*
 * Guards against excess connections when all instances start at once.  The
 * replica list arrives together with the list of instances; an instance that
 * does not wait for the latter opens connections to replicas that other
 * instances are responsible for.  Replicas reset connections over their limit,
 * including those of other instances.
 */
void rr_preconnect_listed(struct rr_gate *gate)
{
	struct rr_endpoint *endpoint;

	if (!gate->n_instances)
		return;
	while ((endpoint = g_queue_pop_head(&gate->to_preconnect))) {
		if (endpoint->listed && !endpoint->draining &&
		    may_preconnect(gate, endpoint))
			gate->actions.preconnect(gate->actions.data,
						 endpoint->incarnation,
						 endpoint->address);
		rr_drop_endpoint(endpoint);
	}
}

void rr_gate_update_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us,
			     const struct rr_endpoint_info *listing)
{
	struct rr_endpoint *endpoint =
		g_hash_table_lookup(gate->endpoints, listing->id);

	gate->now_us = now_us;
	switch (rr_match_incarnation(gate, endpoint, listing)) {
	case RR_INCARNATION_EARLIER:
		log_list_entry(ctx, gate, listing, "endpoint-left-out",
			       "earlier-lifetime");
		return;
	case RR_INCARNATION_UNKNOWN:
		log_list_entry(ctx, gate, listing, "endpoint-left-out",
			       "start-not-told");
		rr_gate_unlist_endpoint(ctx, gate, now_us, listing->id);
		return;
	case RR_INCARNATION_REPLACED:
		endpoint = replace_endpoint(ctx, gate, endpoint, listing);
		break;
	case RR_INCARNATION_SAME:
		break;
	}
	update_endpoint(ctx, gate, endpoint, listing);
}

int64_t rr_gate_usable_after_removal_us(uint32_t drain_ms)
{
	return (int64_t)drain_ms * 1000 -
	       (int64_t)drain_ms * 1000 / ARRIVAL_DIVISOR;
}

/* Return how long a replica whose entry was removed is a last resort. */
static int64_t last_resort_us(const struct rr_gate *gate, int64_t age_us)
{
	int64_t grace_us = gate->policy.list_unlisted_grace_us;

#ifndef RR_MUTANT_GATE_GRACE_IGNORES_AGE
	if (gate->drain_ms)
		grace_us = MIN(grace_us,
			       rr_gate_usable_after_removal_us(gate->drain_ms) -
				       age_us);
#endif
	return MAX(grace_us, 0);
}

void rr_gate_unlist_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us, const char *id)
{
	rr_gate_unlist_late(ctx, gate, now_us, id, 0);
}

void rr_gate_unlist_late(struct rr_context *ctx, struct rr_gate *gate,
			 int64_t now_us, const char *id, int64_t age_us)
{
	struct rr_endpoint *endpoint = g_hash_table_lookup(gate->endpoints, id);

	gate->now_us = now_us;
	if (!endpoint || !endpoint->listed)
		return;
	endpoint->listed = false;
	endpoint->unlisted_until_us = now_us + last_resort_us(gate, age_us);
	if (take_log_line(gate))
		rr_log(ctx, RR_LOG_INFO, "endpoint-unlisted",
		       RR_FIELD_STRING("endpoint", endpoint->id),
		       RR_FIELD_I64("born_ms", endpoint->started_ms),
		       RR_FIELD_STRING("service", endpoint->service->name),
		       RR_FIELD_I64("age_us", age_us),
		       RR_FIELD_BOOL("draining", endpoint->draining));
#ifdef RR_MUTANT_GATE_LAPSED_STAYS
	return;
#endif
	if (endpoint->unlisted_until_us <= now_us) {
		retire_and_remove(ctx, gate, endpoint, "unlisted");
		return;
	}
	rr_set_timer(gate->timers, endpoint->unlisted_until_us,
		     RR_TIMER_GATE_UNLISTED_GRACE, endpoint->number, 0);
}

void rr_expire_unlisted(struct rr_context *ctx, struct rr_gate *gate,
			uint64_t number)
{
	struct rr_endpoint *endpoint;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint = value;
		if (endpoint->listed || endpoint->number != number ||
		    gate->now_us < endpoint->unlisted_until_us)
			continue;
		retire_and_remove(ctx, gate, endpoint, "unlisted");
		return;
	}
}

void rr_remove_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			const char *id, const char *reason)
{
	struct rr_endpoint *endpoint = g_hash_table_lookup(gate->endpoints, id);

	if (endpoint)
		retire_and_remove(ctx, gate, endpoint, reason);
}

static bool has_endpoint(const struct rr_gate *gate, const char *name)
{
	const struct rr_gate_service *service =
		g_hash_table_lookup(gate->services, name);

	return service && service->endpoints->len;
}

bool rr_gate_is_ready(const struct rr_gate *gate, const char **reason)
{
	if (!gate->route_table) {
		*reason = "no-routes";
		return false;
	}
	if (!g_hash_table_size(gate->endpoints)) {
		*reason = "no-endpoints";
		return false;
	}
	if (gate->isolated) {
		*reason = "cut-off";
		return false;
	}
	if (gate->allowances &&
	    rr_allowances_is_isolated(gate->allowances, gate->now_us)) {
		*reason = "allowance-unknown";
		return false;
	}
	for (size_t i = 0; i < rr_count_routes(gate->route_table); i++) {
		const struct rr_route *route =
			rr_route_at(gate->route_table, i);

		for (size_t j = 0; j < route->n_parts; j++) {
			if (has_endpoint(gate, route->parts[j].service))
				return true;
		}
	}
	*reason = "no-endpoint-of-any-route";
	return false;
}
