/*
 * gate.c - creation of the gateway's state, its routes and its timers.
 */
#include "core/gate-private.h"

#include <string.h>

/*
 * Log lines per second about changes of replicas.  Guards against a list of
 * hundreds of replicas that is read or replaced at once: logging each change
 * takes a weak instance longer than its callers wait.
 */
#define LIST_LINES_PER_S 20

static void free_route_stats(gpointer data)
{
	struct rr_route_stats *stats = data;

	g_free(stats->split_credits);
	g_free(stats);
}

static void free_endpoint(gpointer data)
{
	rr_drop_endpoint(data);
}

/* Parse "ZONE/REGION" strings; strings without a slash are ignored. */
static GHashTable *parse_regions(const char *const *zone_regions)
{
	GHashTable *regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (; zone_regions && *zone_regions; zone_regions++) {
		const char *slash = strchr(*zone_regions, '/');

		if (slash)
			g_hash_table_insert(
				regions,
				g_strndup(*zone_regions,
					  (gsize)(slash - *zone_regions)),
				g_strdup(slash + 1));
	}
	return regions;
}

struct rr_gate *rr_new_gate(struct rr_context *ctx,
			    const struct rr_gate_options *options)
{
	struct rr_gate *gate = g_new0(struct rr_gate, 1);

	gate->instance = g_strdup(options->instance);
	gate->zone = g_strdup(options->zone);
	gate->regions = parse_regions(options->zone_regions);
	gate->actions = options->actions;
	rr_init_gate_policy(&gate->policy);
	if (options->policy)
		gate->policy = *options->policy;
	gate->extra_ratio = options->extra_ratio;
	gate->extra_slack = options->extra_slack;
	gate->extra_window_us = (int64_t)options->extra_window_ms * 1000;
	gate->cold_overage = options->cold_overage;
	gate->cold_slack = options->cold_slack;
	gate->process_started_us = options->process_started_us;
	gate->drain_ms = options->drain_ms;
	gate->last_answer_us = INT64_MAX;
	gate->strength = options->strength;
	gate->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    rr_free_gate_peer);
	gate->request_log_budget.lines_per_s = options->log_lines_per_s;
	gate->list_log_budget.lines_per_s = LIST_LINES_PER_S;
	g_queue_init(&gate->to_preconnect);
	gate->timers = rr_new_timers();
	gate->zones = g_ptr_array_new_with_free_func(rr_free_gate_zone);
	gate->evacuations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       rr_free_gate_service);
	gate->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_endpoint);
	gate->incarnations = g_hash_table_new(g_str_hash, g_str_equal);
	gate->latest_starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->route_stats = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_route_stats);
	gate->quarantine = rr_new_gate_quarantine(&gate->policy);
	gate->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, rr_free_request);
	gate->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, rr_free_attempt);
	gate->coordinators = rr_get_gate_service(gate, RR_COORDINATOR_SERVICE);
	gate->allowances = rr_new_gate_allowances(ctx, gate, options);
	return gate;
}

void rr_drop_gate(struct rr_gate *gate)
{
	if (!gate)
		return;
	rr_drop_allowances(gate->allowances);
	g_queue_clear_full(&gate->to_preconnect, free_endpoint);
	g_hash_table_unref(gate->attempts);
	g_hash_table_unref(gate->requests);
	rr_drop_quarantine(gate->quarantine);
	g_hash_table_unref(gate->incarnations);
	g_hash_table_unref(gate->endpoints);
	g_hash_table_unref(gate->latest_starts);
	g_hash_table_unref(gate->services);
	g_ptr_array_unref(gate->zones);
	g_hash_table_unref(gate->evacuations);
	g_hash_table_unref(gate->regions);
	g_hash_table_unref(gate->route_stats);
	g_hash_table_unref(gate->peers);
	rr_drop_route_table(gate->route_table);
	rr_drop_timers(gate->timers);
	g_free(gate->instance);
	g_free(gate->zone);
	g_free(gate);
}

bool rr_gate_set_routes(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, struct rr_route_table *table)
{
	uint64_t old_version =
		gate->route_table ? rr_route_table_version(gate->route_table) :
				    0;
	uint64_t new_version = rr_route_table_version(table);

	gate->now_us = now_us;
#ifdef RR_MUTANT_GATE_GOES_BACK
	old_version = 0;
#endif
	if (gate->route_table && new_version <= old_version) {
		rr_log(ctx, RR_LOG_INFO, "routes-left-out",
		       RR_FIELD_U64("version", new_version),
		       RR_FIELD_U64("in_force", old_version));
		return false;
	}
	rr_drop_route_table(gate->route_table);
	gate->route_table = rr_keep_route_table(table);
	gate->routes_applied_us = now_us;
	rr_mark_shards(gate);
	rr_update_isolation(ctx, gate);
	/* First: an account that is removed passes the requests that wait. */
	rr_stop_revoked_requests(ctx, gate);
	if (gate->allowances)
		rr_allowances_set_accounts(gate->allowances, now_us,
					   rr_route_table_accounts(table));
	rr_flush_split_queues(ctx, gate);
	rr_count(ctx, RR_N_CONFIG_CHANGES, 1);
	rr_set_gauge(ctx, RR_G_CONFIG_REVISION, new_version);
	rr_log(ctx, RR_LOG_INFO, "routes-in-force",
	       RR_FIELD_U64("version", new_version),
	       RR_FIELD_U64("before", old_version),
	       RR_FIELD_U64("routes", rr_count_routes(table)));
	return true;
}

const struct rr_route_table *rr_gate_routes(const struct rr_gate *gate)
{
	return gate->route_table;
}

static void handle_advance_timer(struct rr_context *ctx, struct rr_gate *gate,
				 uint64_t id)
{
	struct rr_gate_request *req = rr_find_request(gate, id);

	if (req)
		rr_advance_request(ctx, gate, req);
}

void rr_gate_tick(struct rr_context *ctx, struct rr_gate *gate, int64_t now_us)
{
	struct rr_timer timer;

	gate->now_us = now_us;
	rr_update_peers(ctx, gate);
	rr_preconnect_listed(gate);
	rr_log_suppressed_changes(ctx, gate);
	if (gate->allowances)
		rr_allowances_tick(gate->allowances, now_us);
	while (rr_pop_timer(gate->timers, now_us, &timer)) {
		switch (timer.kind) {
		case RR_TIMER_GATE_ADVANCE:
			handle_advance_timer(ctx, gate, timer.id);
			break;
		case RR_TIMER_GATE_HEDGE:
			rr_handle_hedge_timer(ctx, gate, timer.id);
			break;
		case RR_TIMER_GATE_PROBE:
			rr_handle_probe_timer(ctx, gate, timer.id);
			break;
		case RR_TIMER_GATE_ZONE_PROBE:
			rr_handle_zone_timer(ctx, gate, timer.id, timer.index);
			break;
		case RR_TIMER_GATE_UNLISTED_GRACE:
			rr_expire_unlisted(ctx, gate, timer.id);
			break;
		case RR_TIMER_GATE_CLAIM_TIMEOUT:
			rr_handle_claim_timeout(ctx, gate, timer.id);
			break;
		default:
			rr_invariant("gate-timer", false);
		}
	}
}

int64_t rr_gate_next_tick_us(const struct rr_gate *gate)
{
	if (gate->peers_changed ||
	    (gate->n_instances && gate->to_preconnect.length))
		return 0;
	if (gate->allowances)
		return MIN(rr_next_timer_us(gate->timers),
			   rr_allowances_next_tick_us(gate->allowances));
	return rr_next_timer_us(gate->timers);
}

size_t rr_gate_count_requests(const struct rr_gate *gate)
{
	return g_hash_table_size(gate->requests);
}
