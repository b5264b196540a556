/*
 * snapshot.c - selection of the index version that new queries of a service are
 * pinned to.
 */
#include "core/core-private.h"

/* Maximum number of versions compared; more are never in use at once. */
#define MAX_CANDIDATES 16
/*
 * A version is pinned only if it is held by at least this share of the number
 * of replicas that hold the most widely held version.
 */
#define MIN_REPLICA_SHARE 0.95
/*
 * Lifetime of a pin.  In latency mode the pin depends on which replicas are the
 * fastest, so it has to be refreshed even if no version has changed.
 */
#define PIN_LIFETIME_US (100 * 1000)

struct candidates {
	uint64_t versions[MAX_CANDIDATES]; /* newest first */
	size_t shards[MAX_CANDIDATES];
	size_t replicas[MAX_CANDIDATES];
	uint64_t epochs[MAX_CANDIDATES];
	size_t n;
};

static void add_candidate(struct candidates *candidates, uint64_t version)
{
	size_t at = 0;

	while (at < candidates->n && candidates->versions[at] > version)
		at++;
	if (at < candidates->n && candidates->versions[at] == version)
		return;
	if (at == MAX_CANDIDATES)
		return;
	if (candidates->n < MAX_CANDIDATES)
		candidates->n++;
	for (size_t i = candidates->n - 1; i > at; i--)
		candidates->versions[i] = candidates->versions[i - 1];
	candidates->versions[at] = version;
}

static bool knows_versions(const struct rr_core *core,
			   const struct rr_replica *replica)
{
	return replica->newest_version && rr_is_replica_usable(core, replica);
}

static bool holds(const struct rr_replica *replica, uint64_t version)
{
	return replica->oldest_version <= version &&
	       version <= replica->newest_version;
}

/* In latency mode, only the fastest replica of each shard counts. */
static const struct rr_replica *
fastest_replica(const struct rr_core *core, const struct rr_shard_map *shard)
{
	const struct rr_replica *best = NULL;

	for (size_t i = 0; i < shard->n_replicas; i++) {
		const struct rr_replica *replica = shard->replicas[i];

		if (!knows_versions(core, replica))
			continue;
		if (!best || replica->latency_us < best->latency_us)
			best = replica;
	}
	return best;
}

static void count_shard(const struct rr_core *core,
			const struct rr_shard_map *shard, bool latency_first,
			struct candidates *candidates)
{
	const struct rr_replica *only =
		latency_first ? fastest_replica(core, shard) : NULL;

	for (size_t c = 0; c < candidates->n; c++) {
		size_t holders = 0;

		for (size_t i = 0; i < shard->n_replicas; i++) {
			const struct rr_replica *replica = shard->replicas[i];

			if (latency_first && replica != only)
				continue;
			if (!knows_versions(core, replica) ||
			    !holds(replica, candidates->versions[c]))
				continue;
			holders++;
			candidates->epochs[c] =
				MAX(candidates->epochs[c], replica->map_epoch);
		}
		candidates->replicas[c] += holders;
		candidates->shards[c] += holders > 0;
	}
}

static void count_candidates(const struct rr_core *core,
			     const struct rr_service_map *map,
			     bool latency_first, struct candidates *candidates)
{
	for (size_t i = 0; i < map->n_shards; i++) {
		const struct rr_shard_map *shard = &map->shards[i];

		for (size_t j = 0; j < shard->n_replicas; j++) {
			if (knows_versions(core, shard->replicas[j]))
				add_candidate(
					candidates,
					shard->replicas[j]->newest_version);
		}
	}
	for (size_t i = 0; i < map->n_shards; i++)
		count_shard(core, &map->shards[i], latency_first, candidates);
}

/*
 * Return the number of shards that must hold a version for it to be pinned: as
 * many as the most widely held one has, in latency mode the minimum coverage of
 * these.
 */
static size_t shards_needed(const struct rr_service_config *config,
			    const struct candidates *candidates)
{
	size_t max_shards = 0;

	for (size_t c = 0; c < candidates->n; c++)
		max_shards = MAX(max_shards, candidates->shards[c]);
	if (config->answer == RR_ANSWER_LATENCY)
		max_shards =
			(size_t)(config->min_coverage * (double)max_shards);
	return MAX(1, max_shards);
}

/*
 * Pick the newest version that enough shards hold, on nearly as many replicas
 * as any other version.  Guards against one replica of each shard taking all
 * the load while a new version is being distributed to the other replicas.
 */
static size_t pick_candidate(const struct rr_service_config *config,
			     const struct candidates *candidates)
{
	size_t needed = shards_needed(config, candidates);
	size_t widest = 0;

	for (size_t c = 0; c < candidates->n; c++) {
		if (candidates->shards[c] >= needed)
			widest = MAX(widest, candidates->replicas[c]);
	}
	for (size_t c = 0; c < candidates->n; c++) {
		if (candidates->shards[c] >= needed &&
		    (double)candidates->replicas[c] >=
			    MIN_REPLICA_SHARE * (double)widest)
			return c;
	}
	return candidates->n;
}

static void refresh_pin(struct rr_core *core, struct rr_service *service)
{
	const struct rr_service_config *config = service->map->service;
	bool latency_first = config->answer == RR_ANSWER_LATENCY;
	struct candidates candidates = { .n = 0 };
	size_t chosen;

	count_candidates(core, service->map, latency_first, &candidates);
	chosen = pick_candidate(config, &candidates);
	service->pin_change_count = service->change_count;
	service->pin_until_us = core->now_us + PIN_LIFETIME_US;
	service->pin_version = 0;
	service->pin_epoch = 0;
	service->pin_shards = 0;
	if (chosen == candidates.n)
		return;
	service->pin_version = candidates.versions[chosen];
	service->pin_epoch = candidates.epochs[chosen];
	service->pin_shards = candidates.shards[chosen];
}

uint64_t rr_choose_pin(struct rr_context *ctx, struct rr_core *core,
		       struct rr_service *service, uint64_t *epoch,
		       size_t *n_shards)
{
	if (service->pin_change_count != service->change_count ||
	    core->now_us >= service->pin_until_us)
		refresh_pin(core, service);
	*epoch = service->pin_epoch;
	*n_shards = service->pin_shards;
	return service->pin_version;
}

void rr_pin_query(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query, uint64_t version, uint64_t epoch,
		  const char *reason)
{
	rr_invariant("one-snapshot",
		     !query->pin_version && !query->row_blocks->len);
	query->pin_version = version;
	query->pin_epoch = epoch;
	rr_log(ctx, RR_LOG_DECISION, "pin",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_U64("version", version), RR_FIELD_U64("epoch", epoch),
	       RR_FIELD_STRING("reason", reason));
}

static bool may_restart(struct rr_core *core, const struct rr_query *query)
{
	int64_t typical_us =
		rr_sketch_quantile_us(&query->service->latencies, 0.5);

	if (query->kind != RR_SEARCH || query->at_most_once || query->origin)
		return false;
	if (query->restarts || query->map != query->service->map)
		return false;
	return query->deadline_us - core->now_us > 2 * typical_us;
}

bool rr_restart_query(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query)
{
	uint64_t epoch;
	size_t n_shards;
	uint64_t version;

	if (!may_restart(core, query))
		return false;
	version = rr_choose_pin(ctx, core, query->service, &epoch, &n_shards);
	if (version <= query->pin_version || n_shards <= query->n_covered)
		return false;
	if (!rr_take_tokens(&query->service->retry_budget,
			    (double)query->n_covered))
		return false;
	rr_log(ctx, RR_LOG_DECISION, "restart",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_U64("from_version", query->pin_version),
	       RR_FIELD_U64("version", version));
	rr_count(ctx, RR_N_SNAPSHOT_RESTARTS, 1);
	query->restarts++;
	rr_cancel_relays(ctx, core, query);
	rr_clear_merge(query);
	query->n_covered = 0;
	query->n_open = 0;
	g_array_set_size(query->pending_tasks, 0);
	query->pending_head = 0;
	for (uint32_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];

		rr_cancel_task_attempts(ctx, core, query, i);
		task->tried_mask = 0;
		task->no_version_mask = 0;
		task->needs_token = false;
		task->n_starts = 0;
		task->reason = RR_MISSING_NONE;
		rr_enqueue_task(query, i);
		query->n_open++;
	}
	query->pin_version = 0;
	rr_pin_query(ctx, core, query, version, epoch, "restart");
	return true;
}
