/*
 * choose.c - choice of the replica that a task is sent to next.
 *
 * Candidates are first ranked in tiers (healthy replicas in this instance's
 * zone before the rest).  Within the best tier two are drawn at random and the
 * one with the shorter expected wait is nearly always chosen.  The expected
 * wait is this instance's latency estimate for the replica, raised with the
 * number of attempts that this instance has outstanding there; load reported by
 * replicas may be late or wrong, so it only breaks ties.
 */
#include "core/core-private.h"
#include "core/weighted-choice.h"

#include <string.h>

/*
 * Replicas considered in one shard; each has a bit in the 64-bit masks of a
 * task.
 */
#define MAX_REPLICAS 64
/* Median latency assumed while the service has no samples. */
#define DEFAULT_LATENCY_US 1000.0
/* Latency added by relaying through an owner. */
#define RELAY_HOP_US 1000.0
/*
 * Factors on the expected wait of a replica that is cold, or that has fewer
 * than NEW_SAMPLES samples.
 */
#define COLD_FACTOR 4.0
#define NEW_FACTOR 1.5
#define NEW_SAMPLES 4
/*
 * Waits that differ by less than this fraction are a tie; reported loads (0 to
 * 1) that differ by more break it.
 */
#define TIE_FRACTION 0.1
/* Age up to which a report of versions is recent; see is_behind(). */
#define VERSION_REPORT_AGE_US (20 * 1000)
/*
 * Part of the latency added to the expected wait for each attempt outstanding
 * at the replica.
 */
#define IN_FLIGHT_WEIGHT 0.1
/* Power to which expected waits are raised; see choose_of_two(). */
#define WAIT_POWER 3.0
/* Age from which a latency estimate is old; see estimate_latency_us(). */
#define ESTIMATE_AGE_US (5 * G_USEC_PER_SEC)
/*
 * A replica is an outlier after this many consecutive losses, or if it has
 * enough samples and its latency estimate exceeds OUTLIER_FACTOR times the
 * median latency of the service plus OUTLIER_MARGIN_US.
 */
#define OUTLIER_LOSSES 5
#define OUTLIER_FACTOR 3.0
#define OUTLIER_MARGIN_US 2000.0
#define OUTLIER_SAMPLES 16
/*
 * Samples needed to eject a replica that was ejected before; fewer are enough,
 * as it has been an outlier.
 */
#define REPEAT_OUTLIER_SAMPLES 8
/*
 * Duration of the first ejection.  Each further ejection lasts this much
 * longer, up to MAX_EJECTION_MULTIPLIER times this.
 */
#define EJECTION_US (2 * G_USEC_PER_SEC)
#define MAX_EJECTION_MULTIPLIER 8
/*
 * At most one in this many replicas of a service is ejected, but one always may
 * be.
 */
#define EJECTION_DIVISOR 5

enum tier_cost {
	/* in another availability zone, while one in this zone is free */
	TIER_OTHER_ZONE = 1,
	/* a recent report does not have the pinned version */
	TIER_BEHIND = 2,
	TIER_EJECTED = 4, /* ejected as an outlier */
};

struct candidates {
	size_t indices[MAX_REPLICAS];
	size_t n;
	bool any_shed;
	bool any_without_version;
	bool any_unreachable;
	bool any_tried;
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

static bool is_ejected(const struct rr_core *core,
		       const struct rr_replica *replica)
{
	return replica->ejected_until_us > core->now_us &&
	       !core->switches.no_outliers;
}

/*
 * Whether a recent report says that the replica does not hold the pinned
 * version yet.  An older report is ignored: the replica has most likely caught
 * up since, and trying it costs at most one rejection.
 */
static bool is_behind(const struct rr_core *core, const struct rr_query *query,
		      const struct rr_replica *replica)
{
	return query->pin_version && replica->newest_version &&
	       replica->newest_version < query->pin_version &&
	       core->now_us - replica->versions_updated_us <
		       VERSION_REPORT_AGE_US;
}

static uint32_t get_tier(const struct rr_core *core,
			 const struct rr_query *query,
			 const struct rr_replica *replica, bool same_zone_free)
{
	uint32_t tier = 0;

	if (core->switches.random_replica)
		return 0;
	if (same_zone_free && strcmp(replica->zone, core->zone))
		tier += TIER_OTHER_ZONE;
	if (is_behind(core, query, replica))
		tier += TIER_BEHIND;
	if (is_ejected(core, replica))
		tier += TIER_EJECTED;
	return tier;
}

/*
 * Whether the replica may be tried now; if not, records the reason in
 * `candidates`.
 */
static bool is_candidate(struct rr_core *core, struct rr_query *query,
			 struct rr_task *task, size_t i,
			 struct rr_replica *replica,
			 struct candidates *candidates)
{
	if (!rr_is_replica_usable(core, replica) || is_live_on(task, replica))
		return false;
	/*
	 * The drain state known here decides only about attempts that this
	 * instance sends itself; for a relay the owner decides.
	 */
	if (replica->draining_since_us && (replica->owned || query->origin))
		return false;
	if (query->pin_version &&
	    (task->no_version_mask >> i & 1 ||
	     replica->oldest_version > query->pin_version)) {
		candidates->any_without_version = true;
		return false;
	}
	if (task->tried_mask >> i & 1) {
		candidates->any_tried = true;
		return false;
	}
	rr_refresh_owners(core, replica);
	/*
	 * A relay is not forwarded again: use only replicas that this instance
	 * owns, or the one that the relay asks for.
	 */
	if (query->origin && !replica->owned && i != task->requested_replica)
		return false;
	if (!rr_is_replica_reachable(core, query, replica)) {
		candidates->any_unreachable = true;
		return false;
	}
	if (replica->shed_until_us > core->now_us) {
		candidates->any_shed = true;
		candidates->retry_us =
			MIN(candidates->retry_us, replica->shed_until_us);
		return false;
	}
	return true;
}

/*
 * Whether the replica is in this instance's zone, not ejected and has a free
 * slot, so that no replica of another zone is needed.
 */
static bool is_free_in_zone(const struct rr_core *core,
			    const struct rr_replica *replica)
{
	return !strcmp(replica->zone, core->zone) &&
	       !is_ejected(core, replica) &&
	       replica->in_flight < rr_slot_share(replica);
}

/* Drop all candidates that are not in the best tier. */
static void keep_best_tier(const struct rr_core *core,
			   const struct rr_query *query,
			   const struct rr_shard_map *shard,
			   struct candidates *candidates, bool same_zone_free)
{
	uint32_t best = UINT32_MAX;
	size_t n = 0;

	for (size_t i = 0; i < candidates->n; i++) {
		size_t index = candidates->indices[i];
		uint32_t tier = get_tier(core, query, shard->replicas[index],
					 same_zone_free);

		if (tier > best)
			continue;
		if (tier < best)
			n = 0;
		best = tier;
		candidates->indices[n++] = index;
	}
	candidates->n = n;
}

static void collect_candidates(struct rr_core *core, struct rr_query *query,
			       struct rr_task *task,
			       struct candidates *candidates)
{
	const struct rr_shard_map *shard = &query->map->shards[task->shard];
	size_t n = MIN(shard->n_replicas, MAX_REPLICAS);
	bool same_zone_free = false;

	candidates->retry_us = INT64_MAX;
	for (size_t i = 0; i < n; i++) {
		struct rr_replica *replica = shard->replicas[i];

		if (!is_candidate(core, query, task, i, replica, candidates))
			continue;
		candidates->indices[candidates->n++] = i;
		same_zone_free |= is_free_in_zone(core, replica);
	}
	keep_best_tier(core, query, shard, candidates, same_zone_free);
}

static enum rr_missing_reason
get_missing_reason(const struct rr_task *task,
		   const struct candidates *candidates)
{
	if (candidates->any_shed)
		return RR_MISSING_SHED;
	if (candidates->any_without_version)
		return RR_MISSING_VERSION;
	if (candidates->any_tried && task->reason != RR_MISSING_NONE)
		return task->reason;
	if (candidates->any_unreachable)
		return RR_MISSING_UNREACHABLE_ZONE;
	return RR_MISSING_NO_REPLICA;
}

/*
 * An old estimate is unreliable, as the replica may have recovered: cap it at
 * that of a new replica.
 */
static double estimate_latency_us(const struct rr_core *core,
				  const struct rr_replica *replica,
				  double typical_us)
{
	if (!replica->samples)
		return typical_us;
	if (core->now_us - replica->last_success_us < ESTIMATE_AGE_US)
		return replica->latency_us;
	return MIN(replica->latency_us, NEW_FACTOR * typical_us);
}

/*
 * Factor by which waiting for a slot lengthens an attempt.  While slots are
 * free the number in use hardly matters.  Once all are in use, each further
 * attempt adds 4 / slots, more than the 1 / slots of a queue in which all
 * attempts take equally long, because slow attempts occupy the slots most of
 * the time.
 */
static double queue_factor(const struct rr_replica *replica,
			   uint32_t outstanding)
{
	uint32_t slots = rr_slot_share(replica);
	uint32_t excess = outstanding + 1 > slots ? outstanding + 1 - slots : 0;

	return 1 + IN_FLIGHT_WEIGHT * outstanding + 4.0 * excess / slots;
}

static double expected_wait_us(const struct rr_core *core,
			       const struct rr_replica *replica,
			       double typical_us)
{
	double latency_us = estimate_latency_us(core, replica, typical_us);
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
		wait_us += RELAY_HOP_US;
	return wait_us;
}

/*
 * Choose one of two at random, weighted by the cube of the expected waits:
 * nearly always the one with the shorter wait, occasionally the other.  Guards
 * against an estimate that is never corrected because no attempts are sent: a
 * replica that is new, or was slow once, would stay idle for ever.  On a near
 * tie the reported load decides.
 */
static size_t choose_of_two(struct rr_context *ctx, const struct rr_core *core,
			    const struct rr_query *query,
			    const struct rr_shard_map *shard, size_t a,
			    size_t b)
{
	const struct rr_replica *x = shard->replicas[a];
	const struct rr_replica *y = shard->replicas[b];
	double typical_us =
		(double)rr_sketch_quantile_us(&query->service->latencies, 0.5);
	double wait_x;
	double wait_y;

	if (typical_us <= 0)
		typical_us = DEFAULT_LATENCY_US;
	wait_x = expected_wait_us(core, x, typical_us);
	wait_y = expected_wait_us(core, y, typical_us);
	if (ABS(wait_x - wait_y) < TIE_FRACTION * MIN(wait_x, wait_y) &&
	    x->reported_load >= 0 && y->reported_load >= 0 &&
	    ABS(x->reported_load - y->reported_load) > TIE_FRACTION)
		return y->reported_load < x->reported_load ? b : a;
	return rr_choose_by_wait(ctx, wait_x, wait_y, WAIT_POWER) ? a : b;
}

size_t rr_choose_replica(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason *reason, int64_t *retry_us)
{
	struct rr_task *task = &query->tasks[index];
	const struct rr_shard_map *shard = &query->map->shards[task->shard];
	struct candidates candidates = { .n = 0 };
	size_t first;
	size_t second;

	collect_candidates(core, query, task, &candidates);
	*retry_us = candidates.retry_us;
	if (!candidates.n) {
		*reason = get_missing_reason(task, &candidates);
		return RR_NO_REPLICA;
	}
	if (candidates.n == 1)
		return candidates.indices[0];
	first = rr_random_below(ctx, (uint32_t)candidates.n);
	if (core->switches.random_replica)
		return candidates.indices[first];
	second =
		(first + 1 + rr_random_below(ctx, (uint32_t)candidates.n - 1)) %
		candidates.n;
	return choose_of_two(ctx, core, query, shard, candidates.indices[first],
			     candidates.indices[second]);
}

/*
 * Return the latency above which a replica is an outlier; 0 if the median
 * latency of its service is not known.
 */
static double outlier_threshold_us(const struct rr_replica *replica)
{
	double median_us = (double)rr_sketch_quantile_us(
		&replica->service->latencies, 0.5);

	return median_us > 0 ? OUTLIER_FACTOR * median_us + OUTLIER_MARGIN_US :
			       0;
}

bool rr_is_outlier_latency(const struct rr_replica *replica, double took_us)
{
	return took_us > outlier_threshold_us(replica);
}

static bool is_outlier(const struct rr_replica *replica)
{
	double threshold_us = outlier_threshold_us(replica);
	uint32_t samples = replica->ejection_count ? REPEAT_OUTLIER_SAMPLES :
						     OUTLIER_SAMPLES;

	if (replica->consecutive_losses >= OUTLIER_LOSSES)
		return true;
	return threshold_us > 0 && replica->samples >= samples &&
	       replica->latency_us > threshold_us;
}

/*
 * Whether one more replica may be ejected.  Guards against a slow network being
 * mistaken for many slow replicas, which would overload the remaining ones.
 */
static bool may_eject(const struct rr_core *core,
		      const struct rr_replica *replica)
{
	const struct rr_service_map *map = replica->service->map;
	size_t n = 0;
	size_t n_ejected = 0;

	for (size_t i = 0; i < map->n_shards; i++) {
		for (size_t j = 0; j < map->shards[i].n_replicas; j++) {
			const struct rr_replica *other =
				map->shards[i].replicas[j];

			n++;
			if (other->ejected_until_us > core->now_us)
				n_ejected++;
		}
	}
	return n_ejected < MAX(1, n / EJECTION_DIVISOR);
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
	if (!may_eject(core, replica))
		return;
	replica->ejection_count =
		MIN(replica->ejection_count + 1, MAX_EJECTION_MULTIPLIER);
	replica->ejected_until_us =
		core->now_us + EJECTION_US * replica->ejection_count;
	rr_log(ctx, RR_LOG_DECISION, "set-aside",
	       RR_FIELD_STRING("replica", replica->id),
	       RR_FIELD_DOUBLE("latency_us", replica->latency_us),
	       RR_FIELD_STRING("reason", "outlier"));
	/*
	 * After the ejection the replica is evaluated again from new samples,
	 * starting from an estimate at the outlier threshold.
	 */
	replica->samples = 0;
	replica->consecutive_losses = 0;
	if (outlier_threshold_us(replica) > 0)
		replica->latency_us =
			MIN(replica->latency_us, outlier_threshold_us(replica));
}
