/*
 * gate-endpoint.c - the replicas that are there, by lifetime.
 *
 * The list is one source, what attempts see another: a lifetime that answers
 * 421 for another replica, or that the list calls draining, takes nothing new
 * any more; a later lifetime does (gate-incarnation.c).
 */
#include "core/gate-private.h"

#include <string.h>

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

/* Whether a replica gets a line of its own now; else it is counted. */
static bool is_told(struct rr_gate *gate)
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

static void set_extras(const struct rr_gate *gate,
		       struct rr_gate_service *service)
{
	double slack = gate->extra_slack * gate->policy.share_slack_part;
	uint32_t holders = rr_count_coordinators(gate);
	double part = gate->n_instances ? 1.0 / gate->n_instances : 0;

	/* Where some hand searches over, the others have the extra attempts. */
	if (service->is_shard && holders < gate->n_instances)
		part = gate->forwards_searches ?
			       gate->policy.share_weak_part /
				       (gate->n_instances - holders) :
			       (1 - gate->policy.share_weak_part) / holders;
	rr_set_retry_budget(&service->retry_budget, gate->extra_ratio,
			    slack * part);
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
	set_extras(gate, service);
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
		set_extras(gate, service);
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

/* This instance's part of a replica's connections, times `part`. */
static uint32_t share_of_connections(const struct rr_gate *gate,
				     const char *name, double part)
{
	const struct rr_route_service *service =
		rr_find_service_config(gate, name);
	double share;

	if (!service || !service->max_connections)
		return 1;
	if (!rr_count_coordinators(gate))
		return 1;
	share = service->max_connections * part / rr_count_coordinators(gate);
	return MAX(1, (uint32_t)share);
}

uint32_t rr_max_idle_connections(const struct rr_gate *gate, const char *name)
{
	return share_of_connections(gate, name, gate->policy.share_kept_part);
}

uint32_t rr_gate_connection_share(const struct rr_gate *gate, const char *name)
{
	return share_of_connections(gate, name,
				    gate->policy.share_connection_part);
}

static struct rr_endpoint *add_endpoint(struct rr_gate *gate,
					const struct rr_endpoint_info *listing,
					const char *before)
{
	struct rr_endpoint *endpoint = g_new0(struct rr_endpoint, 1);

	endpoint->refs = 1;
	endpoint->number = ++gate->next_id;
	endpoint->id = g_strdup(listing->id);
	endpoint->started_ms = listing->started_ms;
	endpoint->incarnation =
		rr_format_incarnation(listing, endpoint->number, before);
	endpoint->address = g_strdup(listing->address);
	endpoint->zone = rr_get_gate_zone(gate, listing->zone);
	endpoint->region = g_hash_table_lookup(gate->regions, listing->zone);
	endpoint->service = rr_get_gate_service(gate, listing->service);
	rr_init_passive_health(&endpoint->track);
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
	if (is_told(gate))
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

/* Its lifetime is over: attempts in flight keep it until they end. */
static void end_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_endpoint *endpoint, const char *reason)
{
	rr_retire_endpoint(ctx, gate, endpoint, reason);
	rr_resolve_closed_attempts(ctx, gate, endpoint, false);
	remove_endpoint(gate, endpoint);
}

/*
 * Whether a connection is made before it is needed: not by those that hand
 * searches over, nor where there is not one for everybody, nor while it is not
 * known how many they are.
 */
static bool may_open(const struct rr_gate *gate,
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
 * Another lifetime takes the place of the one that is known, with nothing of
 * it.  Attempts in flight keep the earlier one until they end: what comes back
 * tells of that one only.
 */
static struct rr_endpoint *
replace_endpoint(struct rr_context *ctx, struct rr_gate *gate,
		 struct rr_endpoint *before,
		 const struct rr_endpoint_info *listing)
{
	struct rr_endpoint *endpoint;
	char *name;
	bool drained;

	if (!before)
		return add_endpoint(gate, listing, NULL);
	/* Within a lifetime a drain is for good, wherever it is listed. */
	drained = before->draining && before->started_ms == listing->started_ms;
	name = g_strdup(before->incarnation);
	end_endpoint(ctx, gate, before, "replaced");
	endpoint = add_endpoint(gate, listing, name);
	endpoint->draining = drained;
	g_free(name);
	return endpoint;
}

static void log_listed(struct rr_context *ctx, struct rr_gate *gate,
		       const struct rr_endpoint_info *listing,
		       const char *event, const char *reason)
{
	if (!is_told(gate))
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

/* What is told of the lifetime that is known by now. */
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
		log_listed(ctx, gate, listing, "endpoint-listed", "new");
	}
	if (listing->draining) {
		rr_retire_endpoint(ctx, gate, endpoint, "draining");
		return;
	}
	/* Seen by its own sign of life: it is worth a try. */
	rr_note_contact(ctx, gate, endpoint);
	if (is_new)
		g_queue_push_tail(&gate->to_preconnect,
				  rr_keep_endpoint(endpoint));
	rr_send_queued_parts(ctx, gate, endpoint->service);
}

/*
 * Guards against a start of all: the list of replicas comes together with that
 * of instances, and who does not wait for the latter opens connections to
 * replicas that another instance is to ask.  They reset those over their cap,
 * which are the others' as well.
 */
void rr_preconnect_listed(struct rr_gate *gate)
{
	struct rr_endpoint *endpoint;

	if (!gate->n_instances)
		return;
	while ((endpoint = g_queue_pop_head(&gate->to_preconnect))) {
		if (endpoint->listed && !endpoint->draining &&
		    may_open(gate, endpoint))
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
		log_listed(ctx, gate, listing, "endpoint-left-out",
			   "earlier-lifetime");
		return;
	case RR_INCARNATION_UNKNOWN:
		log_listed(ctx, gate, listing, "endpoint-left-out",
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

void rr_gate_unlist_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us, const char *id)
{
	struct rr_endpoint *endpoint = g_hash_table_lookup(gate->endpoints, id);

	gate->now_us = now_us;
	if (!endpoint || !endpoint->listed)
		return;
	endpoint->listed = false;
	endpoint->unlisted_us = now_us;
	if (is_told(gate))
		rr_log(ctx, RR_LOG_INFO, "endpoint-unlisted",
		       RR_FIELD_STRING("endpoint", endpoint->id),
		       RR_FIELD_I64("born_ms", endpoint->started_ms),
		       RR_FIELD_STRING("service", endpoint->service->name),
		       RR_FIELD_BOOL("draining", endpoint->draining));
#ifdef RR_MUTANT_GATE_LAPSED_STAYS
	return;
#endif
	rr_set_timer(gate->timers, now_us + gate->policy.list_unlisted_grace_us,
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
		    gate->now_us - endpoint->unlisted_us <
			    gate->policy.list_unlisted_grace_us)
			continue;
		end_endpoint(ctx, gate, endpoint, "unlisted");
		return;
	}
}

void rr_remove_endpoint(struct rr_context *ctx, struct rr_gate *gate,
			const char *id, const char *reason)
{
	struct rr_endpoint *endpoint = g_hash_table_lookup(gate->endpoints, id);

	if (endpoint)
		end_endpoint(ctx, gate, endpoint, reason);
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
