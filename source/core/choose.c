/*
 * choose.c - which replica of a shard is tried next.
 *
 * Replicas are first put in tiers (healthy and near before the rest); within
 * the best tier two are drawn at random and the one with less expected wait
 * is nearly always taken.  Expected wait is this instance's own outstanding work times its
 * own latency estimate: the replicas' reports lag or mislead, so they only
 * break ties.
 */
#include "core/core-private.h"
#include "core/weighted-choice.h"

#include <string.h>

#define MOST_REPLICAS 64 /* of a shard: a bit each in a task's masks */
#define GUESSED_LATENCY_US 1000.0
/* What a hop by an owner adds. */
#define HOP_US 1000.0
#define COLD_FACTOR 4.0
#define NEW_FACTOR 1.5
#define NEW_SAMPLES 4
#define TIE 0.1
#define BEHIND_US (20 * 1000)
#define BUSY_WEIGHT 0.1
#define WAIT_POWER 3.0
#define FRESH_US (5 * G_USEC_PER_SEC)
/* An outlier: so many losses in a row, or so much slower than the median. */
#define OUTLIER_LOSSES 5
#define OUTLIER_FACTOR 3.0
#define OUTLIER_MARGIN_US 2000.0
#define OUTLIER_SAMPLES 16
/* Of one that is back: it has shown once what it does. */
#define RETURNED_SAMPLES 8
#define SET_ASIDE_US (2 * G_USEC_PER_SEC)
#define MOST_TIMES_SET_ASIDE 8
/* At most one in this many replicas of a service is set aside. */
#define SET_ASIDE_PART 5

enum tier_cost {
	TIER_FAR = 1,	 /* in another availability zone */
	TIER_BEHIND = 2, /* not yet seen with the pinned version */
	TIER_ASIDE = 4,	 /* an outlier */
};

struct choice {
	size_t indices[MOST_REPLICAS];
	size_t n;
	bool saw_shed;
	bool saw_version;
	bool saw_unreachable;
	bool saw_tried;
	int64_t retry_us;
};

static bool is_live_on(const struct rr_task *task,
		       const struct rr_replica *replica)
{
	for (uint32_t i = 0; i < task->n_live; i++) {
		if (task->live[i]->replica == replica)
			return true;
	}
	return false;
}

static bool is_set_aside(const struct rr_core *core,
			 const struct rr_replica *replica)
{
	return replica->ejected_until_us > core->now_us &&
	       !core->switches.no_outliers;
}

/*
 * Told of late that it does not hold the pin yet.  What was told longer ago
 * counts for nothing: it has most likely followed by now, and to ask it costs
 * a refusal at most.
 */
static bool is_behind(const struct rr_core *core, const struct rr_query *query,
		      const struct rr_replica *replica)
{
	return query->pin_version && replica->newest_version &&
	       replica->newest_version < query->pin_version &&
	       core->now_us - replica->versions_updated_us < BEHIND_US;
}

static uint32_t tier_of(const struct rr_core *core,
			const struct rr_query *query,
			const struct rr_replica *replica, bool near_is_free)
{
	uint32_t tier = 0;

	if (core->switches.random_replica)
		return 0;
	if (near_is_free && strcmp(replica->zone, core->zone))
		tier += TIER_FAR;
	if (is_behind(core, query, replica))
		tier += TIER_BEHIND;
	if (is_set_aside(core, replica))
		tier += TIER_ASIDE;
	return tier;
}

/* Whether the replica may be tried now; else why not goes into `choice`. */
static bool is_candidate(struct rr_core *core, struct rr_query *query,
			 struct rr_task *task, size_t i,
			 struct rr_replica *replica, struct choice *choice)
{
	if (!rr_is_replica_usable(core, replica) || is_live_on(task, replica))
		return false;
	/* What is sent from here goes by all that is known here. */
	if (replica->draining_since_us && (replica->owned || query->origin))
		return false;
	if (query->pin_version &&
	    (task->no_version_mask >> i & 1 ||
	     replica->oldest_version > query->pin_version)) {
		choice->saw_version = true;
		return false;
	}
	if (task->tried_mask >> i & 1) {
		choice->saw_tried = true;
		return false;
	}
	rr_refresh_owners(core, replica);
	/* A relay is not passed on: only own replicas, or the one named. */
	if (query->origin && !replica->owned && i != task->requested_replica)
		return false;
	if (!rr_is_replica_reachable(core, query, replica)) {
		choice->saw_unreachable = true;
		return false;
	}
	if (replica->shed_until_us > core->now_us) {
		choice->saw_shed = true;
		choice->retry_us =
			MIN(choice->retry_us, replica->shed_until_us);
		return false;
	}
	return true;
}

/* Near, well and with a free slot: no need to go to another zone. */
static bool is_free_near(const struct rr_core *core,
			 const struct rr_replica *replica)
{
	return !strcmp(replica->zone, core->zone) &&
	       !is_set_aside(core, replica) &&
	       replica->in_flight < rr_slot_share(replica);
}

/* Keep those of the best tier. */
static void keep_best_tier(const struct rr_core *core,
			   const struct rr_query *query,
			   const struct rr_shard_map *shard,
			   struct choice *choice, bool near_is_free)
{
	uint32_t best = UINT32_MAX;
	size_t n = 0;

	for (size_t i = 0; i < choice->n; i++) {
		size_t index = choice->indices[i];
		uint32_t tier = tier_of(core, query, shard->replicas[index],
					near_is_free);

		if (tier > best)
			continue;
		if (tier < best)
			n = 0;
		best = tier;
		choice->indices[n++] = index;
	}
	choice->n = n;
}

static void gather(struct rr_core *core, struct rr_query *query,
		   struct rr_task *task, struct choice *choice)
{
	const struct rr_shard_map *shard = &query->map->shards[task->shard];
	size_t n = MIN(shard->n_replicas, MOST_REPLICAS);
	bool near_is_free = false;

	choice->retry_us = INT64_MAX;
	for (size_t i = 0; i < n; i++) {
		struct rr_replica *replica = shard->replicas[i];

		if (!is_candidate(core, query, task, i, replica, choice))
			continue;
		choice->indices[choice->n++] = i;
		near_is_free |= is_free_near(core, replica);
	}
	keep_best_tier(core, query, shard, choice, near_is_free);
}

static enum rr_missing_reason why_none(const struct rr_task *task,
				       const struct choice *choice)
{
	if (choice->saw_shed)
		return RR_MISSING_SHED;
	if (choice->saw_version)
		return RR_MISSING_VERSION;
	if (choice->saw_tried && task->reason != RR_MISSING_NONE)
		return task->reason;
	if (choice->saw_unreachable)
		return RR_MISSING_UNREACHABLE_ZONE;
	return RR_MISSING_NO_REPLICA;
}

/* An estimate that is old says little: the replica may be well again. */
static double believed_latency_us(const struct rr_core *core,
				  const struct rr_replica *replica,
				  double typical_us)
{
	if (!replica->samples)
		return typical_us;
	if (core->now_us - replica->last_success_us < FRESH_US)
		return replica->latency_us;
	return MIN(replica->latency_us, NEW_FACTOR * typical_us);
}

/*
 * What waiting for a slot makes of an attempt's time.  While slots are free
 * it hardly matters how many are taken; behind full ones it matters twice,
 * as it is the slow attempts that hold slots for long.
 */
static double queue_factor(const struct rr_replica *replica,
			   uint32_t outstanding)
{
	uint32_t slots = rr_slot_share(replica);
	uint32_t excess = outstanding + 1 > slots ? outstanding + 1 - slots : 0;

	return 1 + BUSY_WEIGHT * outstanding + 4.0 * excess / slots;
}

static double expected_wait_us(const struct rr_core *core,
			       const struct rr_replica *replica,
			       double typical_us)
{
	double latency_us = believed_latency_us(core, replica, typical_us);
	uint32_t outstanding = replica->in_flight;
	double wait_us;

	for (int i = 0; i < RR_PRIORITY_COUNT; i++)
		outstanding += replica->queues[i].length;
	wait_us = latency_us * queue_factor(replica, outstanding);
	if (replica->state == RR_UPSTREAM_COLD)
		wait_us *= COLD_FACTOR;
	else if (replica->samples < NEW_SAMPLES)
		wait_us *= NEW_FACTOR;
	if (!replica->owned)
		wait_us += HOP_US;
	return wait_us;
}

/*
 * Of two, a coin weighted by the cube of the waits: nearly always the one
 * with less, but now and then the other.  Guards against an estimate that is
 * never put right because nothing is sent there: a replica that is new, or
 * was slow once, would stay idle for good.  The report decides near ties.
 */
static size_t better_of(struct rr_context *ctx, const struct rr_core *core,
			const struct rr_query *query,
			const struct rr_shard_map *shard, size_t a, size_t b)
{
	const struct rr_replica *x = shard->replicas[a];
	const struct rr_replica *y = shard->replicas[b];
	double typical_us =
		(double)rr_sketch_quantile_us(&query->service->latencies, 0.5);
	double wait_x;
	double wait_y;

	if (typical_us <= 0)
		typical_us = GUESSED_LATENCY_US;
	wait_x = expected_wait_us(core, x, typical_us);
	wait_y = expected_wait_us(core, y, typical_us);
	if (ABS(wait_x - wait_y) < TIE * MIN(wait_x, wait_y) &&
	    x->reported_load >= 0 && y->reported_load >= 0 &&
	    ABS(x->reported_load - y->reported_load) > TIE)
		return y->reported_load < x->reported_load ? b : a;
	return rr_choose_by_wait(ctx, wait_x, wait_y, WAIT_POWER) ? a : b;
}

size_t rr_choose_replica(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason *reason, int64_t *retry_us)
{
	struct rr_task *task = &query->tasks[index];
	const struct rr_shard_map *shard = &query->map->shards[task->shard];
	struct choice choice = { .n = 0 };
	size_t first;
	size_t second;

	gather(core, query, task, &choice);
	*retry_us = choice.retry_us;
	if (!choice.n) {
		*reason = why_none(task, &choice);
		return RR_NO_REPLICA;
	}
	if (choice.n == 1)
		return choice.indices[0];
	first = rr_random_below(ctx, (uint32_t)choice.n);
	if (core->switches.random_replica)
		return choice.indices[first];
	second = (first + 1 + rr_random_below(ctx, (uint32_t)choice.n - 1)) %
		 choice.n;
	return better_of(ctx, core, query, shard, choice.indices[first],
			 choice.indices[second]);
}

/* The estimate over which a replica is an outlier; 0 while none is known. */
static double outlier_border_us(const struct rr_replica *replica)
{
	double median_us = (double)rr_sketch_quantile_us(
		&replica->service->latencies, 0.5);

	return median_us > 0 ? OUTLIER_FACTOR * median_us + OUTLIER_MARGIN_US :
			       0;
}

bool rr_is_outlier_latency(const struct rr_replica *replica, double took_us)
{
	return took_us > outlier_border_us(replica);
}

static bool is_outlier(const struct rr_replica *replica)
{
	double border_us = outlier_border_us(replica);
	uint32_t samples =
		replica->ejection_count ? RETURNED_SAMPLES : OUTLIER_SAMPLES;

	if (replica->consecutive_losses >= OUTLIER_LOSSES)
		return true;
	return border_us > 0 && replica->samples >= samples &&
	       replica->latency_us > border_us;
}

/*
 * Whether one more may be set aside.  Guards against a slow network looking
 * like many slow replicas, and the rest being buried under all the work.
 */
static bool may_set_aside(const struct rr_core *core,
			  const struct rr_replica *replica)
{
	const struct rr_service_map *map = replica->service->map;
	size_t n = 0;
	size_t aside = 0;

	for (size_t i = 0; i < map->n_shards; i++) {
		for (size_t j = 0; j < map->shards[i].n_replicas; j++) {
			const struct rr_replica *other =
				map->shards[i].replicas[j];

			n++;
			if (other->ejected_until_us > core->now_us)
				aside++;
		}
	}
	return aside < MAX(1, n / SET_ASIDE_PART);
}

void rr_update_outlier_ejection(struct rr_context *ctx, struct rr_core *core,
				struct rr_replica *replica)
{
	if (core->switches.no_outliers || !replica->shard ||
	    replica->ejected_until_us > core->now_us)
		return;
	if (!is_outlier(replica)) {
		if (replica->samples % OUTLIER_SAMPLES == 0)
			replica->ejection_count = 0;
		return;
	}
	if (!may_set_aside(core, replica))
		return;
	replica->ejection_count =
		MIN(replica->ejection_count + 1, MOST_TIMES_SET_ASIDE);
	replica->ejected_until_us =
		core->now_us + SET_ASIDE_US * replica->ejection_count;
	rr_log(ctx, RR_LOG_DECISION, "set-aside",
	       RR_FIELD_STRING("replica", replica->id),
	       RR_FIELD_DOUBLE("latency_us", replica->latency_us),
	       RR_FIELD_STRING("reason", "outlier"));
	/* Judged anew when it is back, from the border, by what it does then. */
	replica->samples = 0;
	replica->consecutive_losses = 0;
	if (outlier_border_us(replica) > 0)
		replica->latency_us =
			MIN(replica->latency_us, outlier_border_us(replica));
}
