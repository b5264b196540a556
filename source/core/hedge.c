/*
 * hedge.c - a second attempt for a task whose first is slow.
 *
 * Only idempotent reads are hedged, and only within the token budget.  The
 * fewer tokens remain, the longer an attempt must have taken before it is
 * hedged, so that tokens are spent on attempts that are certainly slow.  A
 * hedge waits for a slot like any attempt, ahead of those of later requests; if
 * it is cancelled before it was sent, its token is returned.
 */
#include "core/core-private.h"

/*
 * Quantile of the service's latencies after which an attempt is first checked
 * for a hedge.
 */
#define HEDGE_QUANTILE 0.95
/* Least delay before an attempt is checked for a hedge. */
#define MIN_HEDGE_DELAY_US 2000
/* Delay before an attempt that could not be hedged is checked again. */
#define HEDGE_RECHECK_US 3000
/*
 * Time after which an attempt may be hedged when the budget is used up, in
 * median latencies of the service.
 */
#define MAX_THRESHOLD_MEDIANS 8.0

static void set_hedge_check(struct rr_core *core,
			    const struct rr_live_attempt *attempt,
			    int64_t after_us)
{
	rr_set_timer(core->timers,
		     core->now_us + MAX(after_us, MIN_HEDGE_DELAY_US),
		     RR_TIMER_HEDGE, attempt->id, 0);
}

void rr_set_hedge_timer(struct rr_core *core,
			const struct rr_live_attempt *attempt)
{
	int64_t after_us = rr_sketch_quantile_us(
		&attempt->query->service->latencies, HEDGE_QUANTILE);

	if (after_us)
		set_hedge_check(core, attempt, after_us);
}

/*
 * Return the time after which an attempt may be hedged.  With many tokens left
 * it is HEDGE_QUANTILE of the latencies; as the budget is used up it rises to a
 * large multiple of the median, so that the remaining tokens go to attempts
 * that are certainly slow.
 */
static int64_t hedge_threshold_us(const struct rr_service *service)
{
	double max_threshold_us =
		MAX_THRESHOLD_MEDIANS *
		(double)rr_sketch_quantile_us(&service->latencies, 0.5);

	return rr_hedge_threshold_us(
		rr_budget_used_fraction(&service->hedge_budget),
		rr_sketch_quantile_us(&service->latencies, HEDGE_QUANTILE),
		(int64_t)max_threshold_us);
}

static bool may_hedge(const struct rr_query *query, const struct rr_task *task)
{
	if (query->at_most_once || query->stage != RR_QUERY_RUNNING)
		return false;
	return task->status == RR_TASK_RUNNING && task->n_live == 1 &&
	       !task->relay;
}

/* Find another replica of the shard to which this instance may send a hedge. */
static size_t find_other_replica(struct rr_context *ctx, struct rr_core *core,
				 struct rr_query *query, uint32_t index)
{
	const struct rr_shard_map *shard =
		&query->map->shards[query->tasks[index].shard];
	const struct rr_replica *replica;
	enum rr_missing_reason reason;
	int64_t retry_us;
	size_t chosen;

	chosen = rr_choose_replica(ctx, core, query, index, &reason, &retry_us);
	if (chosen == RR_NO_REPLICA)
		return chosen;
	replica = shard->replicas[chosen];
	if (!replica->owned && !query->origin)
		return RR_NO_REPLICA;
	return chosen;
}

static void log_hedge(struct rr_context *ctx,
		      const struct rr_live_attempt *attempt, size_t chosen)
{
	const struct rr_query *query = attempt->query;
	const struct rr_shard_map *shard =
		&query->map->shards[query->tasks[attempt->task].shard];

	rr_log(ctx, RR_LOG_DECISION, "hedge",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_STRING("shard", shard->config->name),
	       RR_FIELD_STRING("replica", shard->replicas[chosen]->id),
	       RR_FIELD_STRING("reason", "slow"),
	       RR_FIELD_STRING("slow", attempt->replica->id));
}

void rr_hedge_attempt(struct rr_context *ctx, struct rr_core *core,
		      struct rr_live_attempt *attempt)
{
	struct rr_query *query = attempt->query;
	size_t chosen;

	if (!may_hedge(query, &query->tasks[attempt->task]))
		return;
	if (core->now_us - attempt->sent_us <
	    hedge_threshold_us(query->service)) {
		set_hedge_check(core, attempt, HEDGE_RECHECK_US);
		return;
	}
	chosen = find_other_replica(ctx, core, query, attempt->task);
	if (chosen == RR_NO_REPLICA ||
	    !rr_take_tokens(&query->service->hedge_budget, 1)) {
		set_hedge_check(core, attempt, HEDGE_RECHECK_US);
		return;
	}
	log_hedge(ctx, attempt, chosen);
	rr_queue_attempt(ctx, core, query, attempt->task, chosen, true);
}
