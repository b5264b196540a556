/*
 * gate-choose.c - choice of the replica of a service for an attempt.
 *
 * All replicas of a service give equivalent answers.  They are grouped into
 * tiers; a few of the best tier are drawn at random, and the one with the
 * lowest expected wait is nearly always chosen.  The expected wait is the
 * typical attempt time, multiplied by the replica's slowness as measured by
 * this instance, by a factor for this instance's attempts in flight there and
 * by another one if the replica is cold.  The loss rate of the replica and the
 * distance to another zone add to it.
 *
 * A search ends with its slowest parts.  Its parts therefore leave the local
 * zone for a smaller gain than a request to one replica.  This answers the load
 * when replicas of many shards are slow at once: a search that has two attempts
 * a part misses its objective if the first goes to a replica known to be slow.
 */
#include "core/gate-private.h"
#include "core/weighted-choice.h"

enum tier {
	TIER_PREFERRED,
	TIER_REMOTE_COORDINATOR, /* a coordinator of another zone */
	TIER_SLOW_START,	 /* the evacuation of its zone ended recently */
	TIER_UNLISTED,		 /* its entry was removed recently */
	N_TIERS,
};

int64_t rr_typical_attempt_us(const struct rr_gate *gate,
			      const struct rr_route_stats *stats,
			      const struct rr_route *route)
{
	int64_t typical_us = rr_sketch_quantile_us(&stats->attempt_times, 0.5);

	if (typical_us)
		return typical_us;
	if (!route->objective_ms)
		return gate->policy.choose_guess_us;
	return (int64_t)(route->objective_ms * 1000.0 /
			 gate->policy.choose_guess_part);
}

static bool was_tried(const struct rr_gate_part *part,
		      const struct rr_endpoint *endpoint)
{
	for (uint8_t i = 0; i < part->n_tried; i++) {
		if (part->tried[i] == endpoint->number)
			return true;
	}
	return false;
}

/*
 * Whether all other replicas of its service are draining or in evacuated zones,
 * and no probe has failed at this one.  Always false for a coordinator.
 */
static bool is_last_candidate(const struct rr_gate *gate,
			      const struct rr_endpoint *endpoint)
{
	const GPtrArray *endpoints = endpoint->service->endpoints;

	if (endpoint->service == gate->coordinators ||
	    endpoint->health.consecutive_suspicions > 1)
		return false;
	for (guint i = 0; i < endpoints->len; i++) {
		const struct rr_endpoint *other =
			g_ptr_array_index(endpoints, i);

		if (other != endpoint && !other->draining &&
		    !other->zone->evacuation->active)
			return false;
	}
	return true;
}

bool rr_is_endpoint_eligible(const struct rr_gate *gate,
			     const struct rr_endpoint *endpoint)
{
#ifdef RR_MUTANT_GATE_DRAIN_IGNORED
	return true;
#endif
	if (endpoint->draining || endpoint->zone->unreachable)
		return false;
#ifndef RR_MUTANT_GATE_IGNORES_EVACUATION
	if (endpoint->zone->evacuation->active)
		return false;
#endif
	if (!gate->policy.choose_avoids_suspects ||
	    !rr_is_suspected(&endpoint->health, gate->now_us))
		return true;
#ifdef RR_MUTANT_GATE_SPARES_THE_ONLY_ONE
	return false;
#endif
	/*
	 * A suspected replica stays eligible if no other is available:
	 * excluding it after it was slow or unreachable for a moment would make
	 * the service unavailable for seconds, until the suspicion ends.
	 */
	return is_last_candidate(gate, endpoint);
}

bool rr_is_service_reachable(const struct rr_gate *gate,
			     const struct rr_gate_service *service)
{
	for (guint i = 0; i < service->endpoints->len; i++) {
		if (rr_is_endpoint_eligible(
			    gate, g_ptr_array_index(service->endpoints, i)))
			return true;
	}
	return false;
}

static enum tier endpoint_tier(struct rr_context *ctx,
			       const struct rr_gate *gate,
			       const struct rr_endpoint *endpoint)
{
	if (!endpoint->listed)
		return TIER_UNLISTED;
	if (rr_skip_in_slow_start(ctx, gate, endpoint))
		return TIER_SLOW_START;
	return endpoint->remote_coordinator ? TIER_REMOTE_COORDINATOR :
					      TIER_PREFERRED;
}

/* Inputs of the expected waits, for one attempt. */
struct wait_inputs {
	int64_t typical_us;
	double left_us; /* until the response is due */
	double far_us;	/* cost of another zone */
};

static double far_cost_us(const struct rr_gate *gate,
			  const struct rr_gate_request *req, double left_us)
{
	const struct rr_gate_policy *policy = &gate->policy;
	double part = req->route->mode == RR_ROUTE_GATHER && !req->forwarded ?
			      policy->choose_far_search_part :
			      policy->choose_far_part;

	return MAX((double)policy->choose_far_us, part * left_us);
}

static double expected_wait_us(const struct rr_gate *gate,
			       const struct rr_endpoint *endpoint,
			       const struct wait_inputs *wait_inputs)
{
	const struct rr_gate_policy *policy = &gate->policy;
	double wait_us = (double)wait_inputs->typical_us;
	double loss_rate = 0;

	if (policy->choose_by_losses)
		loss_rate =
			rr_decayed_loss_rate(&endpoint->health, gate->now_us);
	if (policy->choose_by_slowness)
		wait_us *= rr_decayed_slowness(&endpoint->health, gate->now_us);
	wait_us *= 1 + policy->choose_busy_weight * endpoint->in_flight.length;
	if (rr_is_cold(gate, endpoint))
		wait_us *= policy->choose_cold_factor;
	wait_us +=
		loss_rate * (policy->choose_loss_price * wait_us +
			     policy->choose_loss_part * wait_inputs->left_us);
	if (endpoint->zone->is_local)
		return wait_us;
	return wait_us + wait_inputs->far_us;
}

/* Choose between two replicas of one tier, nearly always the shorter wait. */
static struct rr_endpoint *choose_of_two(struct rr_context *ctx,
					 const struct rr_gate *gate,
					 struct rr_endpoint *a,
					 struct rr_endpoint *b,
					 const struct wait_inputs *wait_inputs)
{
	double wait_a = expected_wait_us(gate, a, wait_inputs);
	double wait_b = expected_wait_us(gate, b, wait_inputs);

	return rr_choose_by_wait(ctx, wait_a, wait_b,
				 gate->policy.choose_wait_power) ?
		       a :
		       b;
}

/* Draw some replicas of an array, which it reorders, and choose one of them. */
static struct rr_endpoint *
choose_of_array(struct rr_context *ctx, const struct rr_gate *gate,
		GPtrArray *array, const struct wait_inputs *wait_inputs)
{
	guint n_drawn = MIN(array->len, gate->policy.choose_draws);
	struct rr_endpoint *best = NULL;

	for (guint i = 0; i < n_drawn; i++) {
		guint at = i + rr_random_below(ctx, array->len - i);
		struct rr_endpoint *endpoint = g_ptr_array_index(array, at);

		array->pdata[at] = array->pdata[i];
		array->pdata[i] = endpoint;
		best = best ? choose_of_two(ctx, gate, best, endpoint,
					    wait_inputs) :
			      endpoint;
	}
	return best;
}

struct rr_limit_bounds rr_endpoint_bounds(const struct rr_gate *gate,
					  const struct rr_endpoint *endpoint)
{
	uint32_t connections =
		rr_gate_connection_share(gate, endpoint->service->name);
	uint32_t n_coordinators = rr_count_coordinators(gate);
	struct rr_limit_bounds bounds = {
		.share = n_coordinators ? (endpoint->slots + n_coordinators -
					   1) / n_coordinators :
					  1,
		.highest = MIN(connections, endpoint->slots),
	};

	if (endpoint->service == gate->coordinators)
		bounds.share = bounds.highest = endpoint->slots;
	return bounds;
}

static uint32_t endpoint_capacity(const struct rr_gate *gate,
				  const struct rr_endpoint *endpoint)
{
	struct rr_limit_bounds bounds = rr_endpoint_bounds(gate, endpoint);

	if (!gate->policy.limit_adapts)
		return MAX(1, bounds.highest);
	return rr_current_limit(&endpoint->limit, bounds.highest);
}

static bool has_capacity(const struct rr_gate *gate,
			 const struct rr_endpoint *endpoint)
{
	return endpoint->in_flight.length < endpoint_capacity(gate, endpoint);
}

uint32_t rr_service_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service)
{
	uint32_t capacity = 0;

	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct rr_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (rr_is_endpoint_eligible(gate, endpoint))
			capacity += endpoint_capacity(gate, endpoint);
	}
	return capacity;
}

bool rr_service_has_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service)
{
	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct rr_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (rr_is_endpoint_eligible(gate, endpoint) &&
		    has_capacity(gate, endpoint))
			return true;
	}
	return false;
}

enum rr_choice rr_choose_endpoint(struct rr_context *ctx, struct rr_gate *gate,
				  const struct rr_gate_request *req,
				  const struct rr_gate_part *part,
				  struct rr_endpoint **chosen)
{
	const struct rr_gate_service *service = part->service;
	int64_t typical_us =
		rr_typical_attempt_us(gate, req->stats, req->route);
	struct wait_inputs wait_inputs = {
		.typical_us = typical_us,
		.left_us = MAX(req->answer_by_us - gate->now_us, 0),
	};
	GPtrArray *candidates = g_ptr_array_new();
	enum tier best = N_TIERS;
	bool full = false;
	bool cold = false;

	wait_inputs.far_us = far_cost_us(gate, req, wait_inputs.left_us);
	for (guint i = 0; i < service->endpoints->len; i++) {
		struct rr_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);
		enum tier tier;

		if (!rr_is_endpoint_eligible(gate, endpoint) ||
		    was_tried(part, endpoint))
			continue;
		if (!rr_route_allows_region(req->route, endpoint->region))
			continue;
		if (!has_capacity(gate, endpoint)) {
			full = true;
			continue;
		}
		if (!rr_has_cold_quota_left(gate, endpoint)) {
			cold = true;
			continue;
		}
		tier = endpoint_tier(ctx, gate, endpoint);
		if (tier > best)
			continue;
		if (tier < best)
			g_ptr_array_set_size(candidates, 0);
		best = tier;
		g_ptr_array_add(candidates, endpoint);
	}
	*chosen = candidates->len ?
			  choose_of_array(ctx, gate, candidates, &wait_inputs) :
			  NULL;
	g_ptr_array_unref(candidates);
	if (*chosen)
		return RR_CHOSEN;
	if (full)
		return RR_CHOICE_FULL;
	return cold ? RR_CHOICE_COLD : RR_CHOICE_NONE;
}
