/*
 * gate-cold.c - rate limit on requests to cold replicas.
 *
 * A replica is cold when it has just started, or when the evacuation of its
 * zone has just ended.  It becomes overloaded and fails if all instances
 * together send it more requests per second than it can serve while cold.
 */
#include "core/gate-private.h"

#include "ragwort/owner.h"

int64_t rr_cold_period_us(const struct rr_gate *gate,
			  const struct rr_gate_service *service)
{
	const struct rr_route_service *config =
		rr_find_service_config(gate, service->name);

	return config && config->cold_ms ? (int64_t)config->cold_ms * 1000 :
					   gate->policy.return_cold_us;
}

bool rr_is_cold(const struct rr_gate *gate, const struct rr_endpoint *endpoint)
{
	if (endpoint->cold_until_us > gate->now_us)
		return true;
	return endpoint->zone->evacuation->ended &&
	       rr_is_cold_after_evacuation(
		       endpoint->zone->evacuation, gate->now_us,
		       rr_cold_period_us(gate, endpoint->service));
}

/*
 * Returns the limit for all instances together, in requests per second; 0 if
 * none is configured for the service.
 */
static double max_rate_of(const struct rr_gate *gate,
			  const struct rr_endpoint *endpoint)
{
	const struct rr_route_service *config =
		rr_find_service_config(gate, endpoint->service->name);

	if (!config || config->cold_per_s <= 0)
		return 0;
	return gate->policy.share_cold_part *
	       (config->cold_per_s * gate->cold_overage + gate->cold_slack);
}

/* Whether a peer sends attempts to replicas of a service. */
static bool sends_to(const struct rr_gate_peer *peer,
		     const struct rr_gate_service *service)
{
	return !service->is_shard || peer->is_coordinator;
}

/* Computes this instance's share from the instances known now. */
static uint32_t compute_share(const struct rr_gate *gate,
			      const struct rr_endpoint *endpoint,
			      double max_per_s)
{
	const struct rr_gate_peer *self =
		gate->instance ?
			g_hash_table_lookup(gate->peers, gate->instance) :
			NULL;
	GHashTableIter iter;
	gpointer value;
	uint32_t instances = 0;
	uint32_t rank = 0;
	uint64_t own_weight;

	/* An unlisted instance gets no share: its peers do not count it. */
	if (!self || !sends_to(self, endpoint->service))
		return 0;
	own_weight = rr_rendezvous_weight(endpoint->incarnation, self->id);
	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_gate_peer *peer = value;

		if (!sends_to(peer, endpoint->service))
			continue;
		instances++;
		rank += peer != self &&
			rr_rendezvous_weight(endpoint->incarnation, peer->id) >=
				own_weight;
	}
	return rr_cold_share(max_per_s, instances, rank);
}

/* Returns the share, cached until the instances or the limit change. */
static uint32_t cached_share(const struct rr_gate *gate,
			     struct rr_endpoint *endpoint, double max_per_s)
{
	struct rr_cold_quota *quota = endpoint->cold_quota;

	if (!quota)
		quota = endpoint->cold_quota = g_new0(struct rr_cold_quota, 1);
	if (quota->peers_version != gate->peers_version ||
	    quota->bound != max_per_s) {
		quota->peers_version = gate->peers_version;
		quota->bound = max_per_s;
		quota->share = compute_share(gate, endpoint, max_per_s);
	}
	return quota->share;
}

/*
 * Guards against exceeding the limit after a restart: it is not known what the
 * previous process sent in the last second.
 */
static bool has_just_started(const struct rr_gate *gate)
{
	return gate->now_us - gate->process_started_us < G_USEC_PER_SEC;
}

bool rr_has_cold_quota_left(const struct rr_gate *gate,
			    struct rr_endpoint *endpoint)
{
	double max_per_s =
		rr_is_cold(gate, endpoint) ? max_rate_of(gate, endpoint) : 0;
	uint32_t share;

	if (max_per_s <= 0)
		return true;
	if (has_just_started(gate))
		return false;
	share = cached_share(gate, endpoint, max_per_s);
	return rr_cold_window_has_room(&endpoint->cold_quota->window,
				       gate->now_us, share);
}

void rr_charge_cold_quota(const struct rr_gate *gate,
			  struct rr_endpoint *endpoint)
{
	if (endpoint->cold_quota && rr_is_cold(gate, endpoint))
		rr_add_to_cold_window(&endpoint->cold_quota->window,
				      gate->now_us);
}
