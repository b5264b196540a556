/*
 * admission.c - admission of requests by load.
 *
 * A request that can't be completed in time is rejected at once with a retry
 * time, instead of being queued until its deadline: the caller can go
 * elsewhere, and the requests that are queued are still of use when they are
 * sent.
 */
#include "core/core-private.h"

/*
 * A request is admitted if its expected wait is at most its deadline divided by
 * this.  A request needs the slowest of its shards, which waits far longer than
 * the average one.
 */
#define DEADLINE_WAIT_DIVISOR 4
/* Assumed latency while no attempt has been measured. */
#define DEFAULT_ATTEMPT_US 5000

/*
 * Expected wait of a new attempt for a slot, from the number of queued
 * attempts.
 */
static int64_t expected_wait_us(const struct rr_core *core,
				const struct rr_service *service)
{
	const struct rr_service_map *map = service->map;
	int64_t typical_us = rr_sketch_quantile_us(&service->latencies, 0.5);
	uint64_t n_slots = 0;

	if (!service->n_queued)
		return 0;
	if (!typical_us)
		typical_us = DEFAULT_ATTEMPT_US;
	for (size_t i = 0; i < map->n_shards; i++) {
		for (size_t j = 0; j < map->shards[i].n_replicas; j++) {
			struct rr_replica *replica = map->shards[i].replicas[j];

			if (replica->owned &&
			    rr_is_replica_usable(core, replica))
				n_slots += rr_replica_limit(core, replica);
		}
	}
	return (int64_t)(service->n_queued / MAX(1, n_slots)) * typical_us;
}

static uint32_t to_ms(int64_t us)
{
	return (uint32_t)MAX(1, us / 1000);
}

const char *rr_check_query_admission(struct rr_core *core,
				     struct rr_service *service,
				     enum rr_priority priority,
				     uint32_t deadline_ms,
				     uint32_t *retry_after_ms)
{
	const struct rr_service_config *config = service->map->service;
	uint32_t max_batch = MAX(
		1, (uint32_t)(config->batch_share * config->max_open_requests));
	int64_t max_wait_us =
		(int64_t)deadline_ms * 1000 / DEADLINE_WAIT_DIVISOR;
	int64_t wait_us;

	*retry_after_ms = RR_DEFAULT_RETRY_AFTER_MS;
	if (core->switches.no_admission)
		return NULL;
	if (service->n_open >= config->max_open_requests) {
		wait_us = rr_sketch_quantile_us(&service->latencies, 0.5);
		*retry_after_ms = to_ms(MAX(wait_us * 4, 20000));
		return "overloaded";
	}
	if (priority == RR_BATCH && service->n_open_batch >= max_batch)
		return "batch-share-used";
	wait_us = expected_wait_us(core, service);
	if (priority == RR_BATCH)
		max_wait_us =
			(int64_t)((double)max_wait_us * config->batch_share);
	if (wait_us > max_wait_us) {
		*retry_after_ms = to_ms(wait_us);
		return "overloaded";
	}
	return NULL;
}
