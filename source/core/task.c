/*
 * task.c - the part of a query that one shard answers.
 */
#include "core/core-private.h"

/* Maximum number of starts of one task, counted over all its replicas. */
#define MAX_STARTS 6
/* Delay before replicas that failed once for a task are tried a second time. */
#define SECOND_ROUND_DELAY_US 5000

struct rr_key_range rr_task_range(const struct rr_query *query,
				  const struct rr_task *task)
{
	const struct rr_shard_config *shard =
		query->map->shards[task->shard].config;
	struct rr_key_range range = { shard->key_from, shard->key_to };

	range.from = MAX(range.from, query->key_from);
	range.to = MIN(range.to, query->key_to);
	return range;
}

void rr_enqueue_task(struct rr_query *query, uint32_t index)
{
	query->tasks[index].status = RR_TASK_PENDING;
	g_array_append_val(query->pending_tasks, index);
}

void rr_mark_task_covered(struct rr_core *core, struct rr_query *query,
			  uint32_t index)
{
	struct rr_task *task = &query->tasks[index];

	/*
	 * Only the key ranges of merged replies decide whether a shard is
	 * covered.  If a shard were reported as covered with a gap in it, the
	 * rows in the gap would be missing from the answer unnoticed, and an
	 * item could be sold twice.
	 */
	rr_invariant("true-coverage",
		     query->kind == RR_RESERVE ||
			     rr_covers_range(query->coverage,
					     rr_task_range(query, task)));
	if (task->status != RR_TASK_FAILED)
		query->n_open--;
	task->status = RR_TASK_COVERED;
	task->reason = RR_MISSING_NONE;
	query->n_covered++;
	rr_schedule_query(core, query);
}

static void log_missing_shard(struct rr_context *ctx,
			      const struct rr_query *query,
			      const struct rr_task *task)
{
	rr_log(ctx, RR_LOG_DECISION, "lack",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_STRING("shard",
			       query->map->shards[task->shard].config->name),
	       RR_FIELD_STRING("reason", rr_missing_reason_name(task->reason)));
}

void rr_mark_task_failed(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 enum rr_missing_reason reason)
{
	struct rr_task *task = &query->tasks[index];

	rr_cancel_task_attempts(ctx, core, query, index);
	task->status = RR_TASK_FAILED;
	task->reason =
		reason != RR_MISSING_NONE ? reason : RR_MISSING_NO_REPLICA;
	query->n_open--;
	if (reason == RR_MISSING_VERSION)
		query->wants_restart = true;
	log_missing_shard(ctx, query, task);
	rr_schedule_query(core, query);
}

void rr_cancel_task_attempts(struct rr_context *ctx, struct rr_core *core,
			     struct rr_query *query, uint32_t index)
{
	struct rr_task *task = &query->tasks[index];

	while (task->n_live) {
		struct rr_live_attempt *attempt = task->live[task->n_live - 1];

		if (attempt->status == RR_ATTEMPT_SENT && !attempt->hedge)
			rr_record_cancelled_attempt(ctx, core, attempt->replica,
						    core->now_us -
							    attempt->sent_us);
		rr_cancel_live_attempt(ctx, core, attempt);
	}
	task->relay = NULL;
}

static void back_off_task(struct rr_core *core, struct rr_query *query,
			  uint32_t index, int64_t until_us)
{
	query->tasks[index].status = RR_TASK_BACKOFF;
	rr_set_timer(core->timers, until_us, RR_TIMER_RETRY, query->id, index);
}

static bool is_before_deadline(const struct rr_query *query, int64_t at_us)
{
	return at_us < query->deadline_us;
}

/*
 * No replica can be tried now: wait until one that rejected an attempt as
 * overloaded can be tried again, start a second round over the replicas, or
 * fail the task.
 */
static void handle_no_replica(struct rr_context *ctx, struct rr_core *core,
			      struct rr_query *query, uint32_t index,
			      enum rr_missing_reason reason, int64_t retry_us)
{
	struct rr_task *task = &query->tasks[index];
	int64_t second_round_us = core->now_us + SECOND_ROUND_DELAY_US;

	if (reason == RR_MISSING_SHED) {
		int64_t wait_us = retry_us - core->now_us;

		query->retry_after_ms = MAX(query->retry_after_ms,
					    (uint32_t)(wait_us / 1000 + 1));
		task->reason = reason;
		if (is_before_deadline(query, retry_us)) {
			back_off_task(core, query, index, retry_us);
			return;
		}
	}
	if ((reason == RR_MISSING_LOST || reason == RR_MISSING_TRUNCATED) &&
	    !task->second_round && !query->at_most_once &&
	    is_before_deadline(query, second_round_us)) {
		task->second_round = true;
		task->tried_mask = 0;
		back_off_task(core, query, index, second_round_us);
		return;
	}
	rr_mark_task_failed(ctx, core, query, index, reason);
}

static void log_route(struct rr_context *ctx, const struct rr_query *query,
		      const struct rr_task *task,
		      const struct rr_replica *replica, const char *reason)
{
	rr_log(ctx, RR_LOG_DECISION, "route",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_STRING("shard",
			       query->map->shards[task->shard].config->name),
	       RR_FIELD_STRING("replica", replica->id),
	       RR_FIELD_BOOL("direct", replica->owned),
	       RR_FIELD_STRING("reason", reason));
}

/* Take a token for a retry; the first start of a task needs none. */
static bool take_retry_token(struct rr_context *ctx, struct rr_query *query,
			     struct rr_task *task)
{
	if (!task->needs_token)
		return true;
	if (!rr_take_tokens(&query->service->retry_budget, 1))
		return false;
	task->needs_token = false;
	rr_count(ctx, RR_N_RETRIES, 1);
	return true;
}

void rr_start_task(struct rr_context *ctx, struct rr_core *core,
		   struct rr_query *query, uint32_t index)
{
	struct rr_task *task = &query->tasks[index];
	enum rr_missing_reason reason = RR_MISSING_NO_REPLICA;
	const char *start_reason = task->n_starts ? "retry" : "first";
	struct rr_replica *replica;
	int64_t retry_us;
	size_t chosen;

	/*
	 * The outcome "unknown" was answered or the caller disconnected: send
	 * nothing more.
	 */
	if (query->stage == RR_QUERY_LINGERING) {
		rr_mark_task_failed(ctx, core, query, index, task->reason);
		return;
	}
	chosen = rr_choose_replica(ctx, core, query, index, &reason, &retry_us);
	if (chosen == RR_NO_REPLICA) {
		handle_no_replica(ctx, core, query, index, reason, retry_us);
		return;
	}
	if (task->n_starts >= MAX_STARTS ||
	    !take_retry_token(ctx, query, task)) {
		rr_mark_task_failed(ctx, core, query, index, task->reason);
		return;
	}
	task->n_starts++;
	task->status = RR_TASK_RUNNING;
	replica = query->map->shards[task->shard].replicas[chosen];
	log_route(ctx, query, task, replica, start_reason);
	if (replica->owned || query->origin)
		rr_queue_attempt(ctx, core, query, index, chosen, false);
	else
		rr_add_task_to_relay(ctx, core, query, index, chosen);
}

/*
 * Whether a failure costs a retry token.  It does not if the replica is
 * draining (RR_MISSING_NONE) or does not hold the version: such a replica did
 * no work for the request, and each is tried only once.
 */
static bool costs_token(enum rr_missing_reason reason)
{
	return reason != RR_MISSING_VERSION && reason != RR_MISSING_NONE;
}

void rr_handle_task_failure(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query, uint32_t index,
			    enum rr_missing_reason reason, bool proven)
{
	struct rr_task *task = &query->tasks[index];

	rr_schedule_query(core, query);
	if (reason != RR_MISSING_NONE)
		task->reason = reason;
	if (task->status != RR_TASK_RUNNING || task->n_live || task->relay)
		return;
#ifdef RR_MUTANT_RESERVE_AGAIN
	proven = true;
#endif
	/*
	 * An at-most-once request that may have run is never sent again: a
	 * second run would make a second reservation.
	 */
	if (query->at_most_once && !proven) {
		rr_mark_task_failed(ctx, core, query, index, reason);
		return;
	}
	task->needs_token = costs_token(reason);
	rr_enqueue_task(query, index);
}
