/*
 * gate-choose.c - which replica of a service takes one more attempt.
 *
 * Replicas of one service answer equally well.  They are put in tiers; of
 * the best tier a few are drawn and the one with least expected wait nearly
 * always wins.  Expected wait is the usual time of the work, times how slow
 * this instance has found the replica, times its own open work there.
 */
#include "core/gate-private.h"
#include "core/weighted-choice.h"

enum tier {
	TIER_GOOD,
	TIER_AWAY,	/* an instance of another zone */
	TIER_HELD_BACK, /* its zone returns from an evacuation */
	TIER_UNLISTED,	/* its entry has just gone */
	N_TIERS,
};

int64_t rr_typical_attempt_us(const struct rr_gate *gate,
			      const struct rr_route_stats *record,
			      const struct rr_route *route)
{
	int64_t typical_us = rr_sketch_quantile_us(&record->attempt_times, 0.5);

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
 * Whether no other replica of its service may be there, and no probe has found
 * that it is not there either.
 */
static bool is_last_hope(const struct rr_gate *gate,
			 const struct rr_endpoint *endpoint)
{
	const GPtrArray *endpoints = endpoint->service->endpoints;

	if (endpoint->service == gate->coordinators ||
	    endpoint->track.consecutive_silences > 1)
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
	    !rr_is_suspected(&endpoint->track, gate->now_us))
		return true;
		/*
	 * Guards against a shard of one replica that was slow or unreachable
	 * for a moment and is given up for seconds: there is no other to ask.
	 */
#ifdef RR_MUTANT_GATE_SPARES_THE_ONLY_ONE
	return false;
#endif
	return is_last_hope(gate, endpoint);
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

static enum tier tier_of(struct rr_context *ctx, const struct rr_gate *gate,
			 const struct rr_endpoint *endpoint)
{
	if (!endpoint->listed)
		return TIER_UNLISTED;
	if (rr_skip_in_slow_start(ctx, gate, endpoint))
		return TIER_HELD_BACK;
	return endpoint->remote_coordinator ? TIER_AWAY : TIER_GOOD;
}

/* What waits are reckoned from, for one attempt. */
struct reckoning {
	int64_t typical_us;
	double left_us; /* that the caller still waits */
};

static double expected_wait_us(const struct rr_gate *gate,
			       const struct rr_endpoint *endpoint,
			       const struct reckoning *reckoning)
{
	const struct rr_gate_policy *policy = &gate->policy;
	double wait_us = (double)reckoning->typical_us;
	double losses = 0;
	double far_us;

	if (policy->choose_by_losses)
		losses = rr_decayed_loss_rate(&endpoint->track, gate->now_us);
	if (policy->choose_by_slowness)
		wait_us *= rr_decayed_slowness(&endpoint->track, gate->now_us);
	wait_us *= 1 + policy->choose_busy_weight * endpoint->in_flight.length;
	if (rr_is_cold(gate, endpoint))
		wait_us *= policy->choose_cold_factor;
	wait_us += losses * (policy->choose_loss_price * wait_us +
			     policy->choose_loss_part * reckoning->left_us);
	if (endpoint->zone->is_local)
		return wait_us;
	far_us = policy->choose_far_part * reckoning->left_us;
	return wait_us + MAX((double)policy->choose_far_us, far_us);
}

/* The better of the best tier so far and one more of it. */
static struct rr_endpoint *better_of(struct rr_context *ctx,
				     const struct rr_gate *gate,
				     struct rr_endpoint *a,
				     struct rr_endpoint *b,
				     const struct reckoning *reckoning)
{
	double wait_a = expected_wait_us(gate, a, reckoning);
	double wait_b = expected_wait_us(gate, b, reckoning);

	return rr_choose_by_wait(ctx, wait_a, wait_b,
				 gate->policy.choose_wait_power) ?
		       a :
		       b;
}

/* Draw some of an array at random, whose order changes, and pick of these. */
static struct rr_endpoint *pick_of(struct rr_context *ctx,
				   const struct rr_gate *gate, GPtrArray *array,
				   const struct reckoning *reckoning)
{
	guint drawn = MIN(array->len, gate->policy.choose_draws);
	struct rr_endpoint *best = NULL;

	for (guint i = 0; i < drawn; i++) {
		guint at = i + rr_random_below(ctx, array->len - i);
		struct rr_endpoint *endpoint = g_ptr_array_index(array, at);

		array->pdata[at] = array->pdata[i];
		array->pdata[i] = endpoint;
		best = best ? better_of(ctx, gate, best, endpoint, reckoning) :
			      endpoint;
	}
	return best;
}

struct rr_limit_bounds rr_endpoint_bounds(const struct rr_gate *gate,
					  const struct rr_endpoint *endpoint)
{
	uint32_t connections =
		rr_gate_connection_share(gate, endpoint->service->name);
	uint32_t holders = rr_count_coordinators(gate);
	struct rr_limit_bounds bounds = {
		.share =
			holders ? (endpoint->slots + holders - 1) / holders : 1,
		.highest = MIN(connections, endpoint->slots),
	};

	if (endpoint->service == gate->coordinators)
		bounds.share = bounds.highest = endpoint->slots;
	return bounds;
}

static uint32_t capacity_of(const struct rr_gate *gate,
			    const struct rr_endpoint *endpoint)
{
	struct rr_limit_bounds bounds = rr_endpoint_bounds(gate, endpoint);

	if (!gate->policy.limit_adapts)
		return MAX(1, bounds.highest);
	return rr_current_limit(&endpoint->limit, bounds.highest);
}

static bool has_room(const struct rr_gate *gate,
		     const struct rr_endpoint *endpoint)
{
	return endpoint->in_flight.length < capacity_of(gate, endpoint);
}

uint32_t rr_service_capacity(const struct rr_gate *gate,
			     const struct rr_gate_service *service)
{
	uint32_t capacity = 0;

	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct rr_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (rr_is_endpoint_eligible(gate, endpoint))
			capacity += capacity_of(gate, endpoint);
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
		    has_room(gate, endpoint))
			return true;
	}
	return false;
}

enum rr_choice rr_choose_endpoint(struct rr_context *ctx, struct rr_gate *gate,
				  const struct rr_gate_request *run,
				  const struct rr_gate_part *part,
				  struct rr_endpoint **chosen)
{
	const struct rr_gate_service *service = part->service;
	int64_t typical_us =
		rr_typical_attempt_us(gate, run->stats, run->route);
	struct reckoning reckoning = {
		.typical_us = typical_us,
		.left_us = MAX(run->answer_by_us - gate->now_us, 0),
	};
	GPtrArray *candidates = g_ptr_array_new();
	enum tier best = N_TIERS;
	bool full = false;
	bool cold = false;

	for (guint i = 0; i < service->endpoints->len; i++) {
		struct rr_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);
		enum tier tier;

		if (!rr_is_endpoint_eligible(gate, endpoint) ||
		    was_tried(part, endpoint))
			continue;
		if (!rr_route_allows_region(run->route, endpoint->region))
			continue;
		if (!has_room(gate, endpoint)) {
			full = true;
			continue;
		}
		if (!rr_has_cold_quota_left(gate, endpoint)) {
			cold = true;
			continue;
		}
		tier = tier_of(ctx, gate, endpoint);
		if (tier > best)
			continue;
		if (tier < best)
			g_ptr_array_set_size(candidates, 0);
		best = tier;
		g_ptr_array_add(candidates, endpoint);
	}
	*chosen = candidates->len ? pick_of(ctx, gate, candidates, &reckoning) :
				    NULL;
	g_ptr_array_unref(candidates);
	if (*chosen)
		return RR_CHOSEN;
	if (full)
		return RR_CHOICE_FULL;
	return cold ? RR_CHOICE_COLD : RR_CHOICE_NONE;
}
