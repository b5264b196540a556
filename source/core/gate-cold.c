/*
 * gate-cold.c - cold replicas: which they are, and how many requests they get.
 *
 * A replica that has just started, or whose zone was evacuated, falls over if
 * it gets more than it bears in a second from all instances together.
 */
#include "core/gate-private.h"

#include "ragwort/owner.h"

int64_t rr_cold_period_us(const struct rr_gate *gate,
			  const struct rr_gate_service *service)
{
	const struct rr_route_service *told =
		rr_find_service_config(gate, service->name);

	return told && told->cold_ms ? (int64_t)told->cold_ms * 1000 :
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

/* What all instances together may send it in a second; 0: no bound is told. */
static double bound_of(const struct rr_gate *gate,
		       const struct rr_endpoint *endpoint)
{
	const struct rr_route_service *told =
		rr_find_service_config(gate, endpoint->service->name);

	if (!told || told->cold_per_s <= 0)
		return 0;
	return gate->policy.share_cold_part *
	       (told->cold_per_s * gate->cold_overage + gate->cold_slack);
}

/* Whether a peer sends attempts to replicas of a service. */
static bool takes_part(const struct rr_gate_peer *peer,
		       const struct rr_gate_service *service)
{
	return !service->is_shard || peer->is_coordinator;
}

/* This instance's share, by the instances that are known now. */
static uint32_t find_share(const struct rr_gate *gate,
			   const struct rr_endpoint *endpoint, double bound)
{
	const struct rr_gate_peer *self =
		gate->instance ?
			g_hash_table_lookup(gate->peers, gate->instance) :
			NULL;
	GHashTableIter iter;
	gpointer value;
	uint32_t instances = 0;
	uint32_t before = 0;
	uint64_t own;

	/* The others do not count an instance that is not in the list. */
	if (!self || !takes_part(self, endpoint->service))
		return 0;
	own = rr_rendezvous_weight(endpoint->incarnation, self->id);
	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_gate_peer *peer = value;

		if (!takes_part(peer, endpoint->service))
			continue;
		instances++;
		before += peer != self &&
			  rr_rendezvous_weight(endpoint->incarnation,
					       peer->id) >= own;
	}
	return rr_cold_share(bound, instances, before);
}

/* The same, kept until the instances or the routes change. */
static uint32_t share_of(const struct rr_gate *gate,
			 struct rr_endpoint *endpoint, double bound)
{
	struct rr_cold_quota *cold = endpoint->cold_quota;

	if (!cold)
		cold = endpoint->cold_quota = g_new0(struct rr_cold_quota, 1);
	if (cold->peers_version != gate->peers_version ||
	    cold->bound != bound) {
		cold->peers_version = gate->peers_version;
		cold->bound = bound;
		cold->share = find_share(gate, endpoint, bound);
	}
	return cold->share;
}

/*
 * Guards against a restart: what the process before sent in the last second is
 * not known.
 */
static bool has_just_begun(const struct rr_gate *gate)
{
	return gate->now_us - gate->process_started_us < G_USEC_PER_SEC;
}

bool rr_has_cold_quota_left(const struct rr_gate *gate,
			    struct rr_endpoint *endpoint)
{
	double bound =
		rr_is_cold(gate, endpoint) ? bound_of(gate, endpoint) : 0;
	uint32_t share;

	if (bound <= 0)
		return true;
	if (has_just_begun(gate))
		return false;
	share = share_of(gate, endpoint, bound);
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
