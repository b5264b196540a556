/*
 * gate-split.c - weighted splits: the choice of a service for a request.
 */
#include "core/gate-private.h"

#include <string.h>

/* The turns of a split begin anywhere among this many. */
#define MAX_SKIPPED_TURNS 256

static double total_weight(const struct rr_route *route)
{
	double total = 0;

	for (size_t i = 0; i < route->n_parts; i++)
		total += route->parts[i].weight;
	return total;
}

/* Whether the credits are those of the route's parts and weights. */
static bool has_current_credits(const struct rr_route_stats *stats,
				const struct rr_route *route)
{
	if (stats->n_credits != route->n_parts)
		return false;
#ifdef RR_MUTANT_SPLIT_KEEPS_CREDITS
	return true;
#endif
	for (size_t i = 0; i < route->n_parts; i++) {
		if (stats->split_credits[i].weight != route->parts[i].weight)
			return false;
	}
	return true;
}

/*
 * Smooth weighted round-robin: each request adds to each part's credit its
 * share of the weights, and 1 is subtracted from the chosen part, which has the
 * highest credit.  Parts of weight 0 are never chosen.
 */
static size_t take_turn(struct rr_split_credit *credits, size_t n, double total)
{
	size_t best = n;

	for (size_t i = 0; i < n; i++) {
		if (credits[i].weight <= 0)
			continue;
		credits[i].credit += credits[i].weight / total;
		if (best == n || credits[i].credit > credits[best].credit)
			best = i;
	}
	credits[best].credit -= 1;
	return best;
}

/*
 * Begin at a random turn.  Guards against instances that all send their first
 * requests, after a start or a change of the weights, to the same part.
 */
static void init_credits(struct rr_context *ctx, struct rr_route_stats *stats,
			 const struct rr_route *route, double total)
{
	uint32_t n_turns = rr_random_below(ctx, MAX_SKIPPED_TURNS);

	g_free(stats->split_credits);
	stats->split_credits = g_new0(struct rr_split_credit, route->n_parts);
	stats->n_credits = route->n_parts;
	for (size_t i = 0; i < route->n_parts; i++) {
		stats->split_credits[i].weight = route->parts[i].weight;
		stats->split_credits[i].credit =
			rr_random_unit(ctx) * route->parts[i].weight / total;
	}
	while (n_turns--)
		take_turn(stats->split_credits, stats->n_credits, total);
}

size_t rr_choose_split_part(struct rr_context *ctx,
			    struct rr_route_stats *stats,
			    const struct rr_route *route)
{
	double total = total_weight(route);

	if (total <= 0)
		return 0;
	if (!has_current_credits(stats, route))
		init_credits(ctx, stats, route, total);
	return take_turn(stats->split_credits, stats->n_credits, total);
}

/* Return a request's route in the current routes, NULL if it was removed. */
static const struct rr_route *find_current_route(const struct rr_gate *gate,
						 const struct rr_route *route)
{
	for (size_t i = 0; i < rr_count_routes(gate->route_table); i++) {
		const struct rr_route *current =
			rr_route_at(gate->route_table, i);

		if (!strcmp(current->name, route->name))
			return current;
	}
	return NULL;
}

static bool has_weight_zero(const struct rr_route *route, const char *service)
{
	bool found = false;

	for (size_t i = 0; i < route->n_parts; i++) {
		if (strcmp(route->parts[i].service, service))
			continue;
		if (route->parts[i].weight > 0)
			return false;
		found = true;
	}
	return found;
}

void rr_update_split_service(struct rr_context *ctx, struct rr_gate *gate,
			     const struct rr_gate_request *req,
			     struct rr_gate_part *part)
{
	const struct rr_route *route;

#ifdef RR_MUTANT_SPLIT_KEEPS_SERVICE
	return;
#endif
	if (req->route_table == gate->route_table || req->forwarded ||
	    req->route->mode != RR_ROUTE_PROXY || req->route->n_parts < 2)
		return;
	route = find_current_route(gate, req->route);
	if (!route || route->mode != RR_ROUTE_PROXY ||
	    !has_weight_zero(route, part->service->name) ||
	    total_weight(route) <= 0)
		return;
	part->service = rr_get_gate_service(
		gate, route->parts[rr_choose_split_part(ctx, req->stats, route)]
			      .service);
}

void rr_flush_split_queues(struct rr_context *ctx, struct rr_gate *gate)
{
	for (size_t i = 0; i < rr_count_routes(gate->route_table); i++) {
		const struct rr_route *route =
			rr_route_at(gate->route_table, i);

		for (size_t j = 0; j < route->n_parts; j++) {
			if (route->parts[j].weight <= 0)
				rr_flush_queued_parts(
					ctx, gate,
					rr_get_gate_service(
						gate, route->parts[j].service));
		}
	}
}
