/*
 * admission.c - which requests are taken at all.
 *
 * Work that can't be done in time is refused at once with a time to come
 * back, rather than held to its deadline: the caller can go elsewhere, and
 * what is in the queues still has a use when its turn comes.
 */
#include "core/core-private.h"

/*
 * The part of its deadline that a request may be expected to wait: it needs
 * the slowest of its shards, which waits far longer than the average one.
 */
#define QUEUE_PART 4
/* Where no attempt was measured yet. */
#define GUESSED_ATTEMPT_US 5000

/* How long a new attempt would wait for a slot, by what waits now. */
static int64_t expected_wait_us(const struct rr_core *core,
				const struct rr_service *service)
{
	const struct rr_service_map *map = service->map;
	int64_t typical_us = rr_sketch_quantile_us(&service->latencies, 0.5);
	uint64_t lanes = 0;

	if (!service->n_queued)
		return 0;
	if (!typical_us)
		typical_us = GUESSED_ATTEMPT_US;
	for (size_t i = 0; i < map->n_shards; i++) {
		for (size_t j = 0; j < map->shards[i].n_replicas; j++) {
			struct rr_replica *replica = map->shards[i].replicas[j];

			if (replica->owned &&
			    rr_is_replica_usable(core, replica))
				lanes += rr_replica_limit(core, replica);
		}
	}
	return (int64_t)(service->n_queued / MAX(1, lanes)) * typical_us;
}

static uint32_t whole_ms(int64_t us)
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
	uint32_t most_batch = MAX(
		1, (uint32_t)(config->batch_share * config->max_open_requests));
	int64_t bound_us = (int64_t)deadline_ms * 1000 / QUEUE_PART;
	int64_t wait_us;

	*retry_after_ms = RR_DEFAULT_RETRY_AFTER_MS;
	if (core->switches.no_admission)
		return NULL;
	if (service->n_open >= config->max_open_requests) {
		wait_us = rr_sketch_quantile_us(&service->latencies, 0.5);
		*retry_after_ms = whole_ms(MAX(wait_us * 4, 20000));
		return "overloaded";
	}
	if (priority == RR_BATCH && service->n_open_batch >= most_batch)
		return "batch-share-used";
	wait_us = expected_wait_us(core, service);
	if (priority == RR_BATCH)
		bound_us = (int64_t)((double)bound_us * config->batch_share);
	if (wait_us > bound_us) {
		*retry_after_ms = whole_ms(wait_us);
		return "overloaded";
	}
	return NULL;
}
