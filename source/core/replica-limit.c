/*
 * replica-limit.c - limit of an owner's attempts in flight at a replica.
 *
 * The limit never exceeds twice the slots, nor this owner's share of the
 * connection cap.
 */
#include "core/core-private.h"

/*
 * Attempts in flight may exceed the slots by this factor, to allow for those in
 * transit.
 */
#define IN_FLIGHT_PER_SLOT 2
/*
 * Latency samples needed before a replica may have more than one attempt in
 * flight.  They are counted from zero for a replica that is new, was restarted,
 * is back after a drain or a failure, or was ejected.
 */
#define WARM_REPLIES 4

static uint32_t get_owner_count(const struct rr_replica *replica)
{
	return replica->n_owners ? (uint32_t)replica->n_owners : 1;
}

uint32_t rr_slot_share(const struct rr_replica *replica)
{
	uint32_t owners = get_owner_count(replica);
	uint32_t slots = 1;

	if (replica->shard)
		slots = replica->service->map->service->slots;
	return (slots + owners - 1) / owners;
}

/* This owner's share of the connections that are not reserved, at least one. */
static uint32_t connection_share(const struct rr_replica *replica)
{
	const struct rr_service_config *config = replica->service->map->service;
	uint32_t free =
		config->connections > config->connection_reserve ?
			config->connections - config->connection_reserve :
			1;

	return MAX(1, free / get_owner_count(replica));
}

static uint32_t max_limit(const struct rr_replica *replica)
{
	const struct rr_service_config *config = replica->service->map->service;

	return MAX(1, MIN(IN_FLIGHT_PER_SLOT * config->slots,
			  connection_share(replica)));
}

uint32_t rr_replica_limit(const struct rr_core *core,
			  const struct rr_replica *replica)
{
	uint32_t max_in_flight;

	if (!replica->shard)
		return 1;
	max_in_flight = max_limit(replica);
	if (core->switches.no_adaptive_limit)
		return MIN(max_in_flight,
			   replica->service->map->service->slots);
	if (replica->state == RR_UPSTREAM_COLD ||
	    replica->samples < WARM_REPLIES)
		return 1;
	return rr_current_limit(&replica->limit, max_in_flight);
}

void rr_adapt_replica_limit(struct rr_replica *replica, int64_t took_us,
			    uint32_t in_flight)
{
	struct rr_limit_bounds bounds;

	if (!replica->shard)
		return;
	bounds.share = rr_slot_share(replica);
	bounds.highest = max_limit(replica);
	rr_adapt_limit(&replica->limit, &bounds, (double)took_us, 0, in_flight);
}
