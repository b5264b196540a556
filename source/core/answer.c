/*
 * answer.c - answers to callers, one for each request.
 */
#include "core/core-private.h"

struct shard_lists {
	GPtrArray *covered;
	GArray *missing;
};

static void list_shards(const struct rr_query *query, struct shard_lists *lists)
{
	lists->covered = g_ptr_array_new();
	lists->missing =
		g_array_new(FALSE, FALSE, sizeof(struct rr_missing_shard));
	for (size_t i = 0; i < query->n_tasks; i++) {
		const struct rr_task *task = &query->tasks[i];
		const struct rr_shard_config *shard =
			query->map->shards[task->shard].config;
		struct rr_missing_shard missing = {
			.shard = shard->name,
			.public_name = shard->public_name ? shard->public_name :
							    shard->name,
			.reason = task->reason,
		};

		if (task->status == RR_TASK_COVERED)
			g_ptr_array_add(lists->covered, shard->name);
		else
			g_array_append_val(lists->missing, missing);
	}
}

static void count_outcome(struct rr_context *ctx, enum rr_outcome outcome)
{
	switch (outcome) {
	case RR_COMPLETE:
		rr_count(ctx, RR_N_ANSWERS_COMPLETE, 1);
		return;
	case RR_PARTIAL:
		rr_count(ctx, RR_N_ANSWERS_PARTIAL, 1);
		return;
	case RR_NOT_RUN:
		rr_count(ctx, RR_N_ANSWERS_NOT_RUN, 1);
		return;
	case RR_UNKNOWN:
		rr_count(ctx, RR_N_ANSWERS_UNKNOWN, 1);
		return;
	case RR_INVALID:
	case RR_GONE:
		return;
	}
}

static void check_answer(const struct rr_query *query,
			 const struct rr_answer *answer)
{
	/*
	 * A caller that receives "not run" sends the request again or sells
	 * elsewhere, so "not run" must not be answered if the request may have
	 * run.
	 */
	rr_invariant("not-run",
		     answer->outcome != RR_NOT_RUN || !query->n_maybe_run);
	rr_invariant("true-coverage",
		     answer->outcome != RR_COMPLETE || !answer->n_missing);
	rr_invariant("right-answer", !query->answered);
}

static void log_finish(struct rr_context *ctx, const struct rr_answer *answer)
{
	rr_log(ctx, RR_LOG_DECISION, "finish",
	       RR_FIELD_STRING("request", answer->request_id),
	       RR_FIELD_U64("query", answer->query_id),
	       RR_FIELD_STRING("outcome", rr_outcome_name(answer->outcome)),
	       RR_FIELD_U64("covered", answer->n_covered),
	       RR_FIELD_U64("lacking", answer->n_missing),
	       RR_FIELD_U64("attempts", answer->attempts),
	       RR_FIELD_I64("elapsed_us", answer->elapsed_us),
	       RR_FIELD_STRING("reason", answer->reason));
}

static bool needs_retry_time(enum rr_outcome outcome)
{
	return outcome == RR_NOT_RUN || outcome == RR_UNKNOWN;
}

void rr_deliver_answer(struct rr_context *ctx, struct rr_core *core,
		       struct rr_query *query, struct rr_answer *answer)
{
	struct shard_lists lists;

	list_shards(query, &lists);
	answer->query_id = query->id;
	answer->request_id = query->request_id;
	answer->covered = (const char *const *)lists.covered->pdata;
	answer->n_covered = lists.covered->len;
	answer->missing = (const struct rr_missing_shard *)lists.missing->data;
	answer->n_missing = lists.missing->len;
	answer->elapsed_us = core->now_us - query->started_us;
	answer->attempts = query->attempts;
	if (needs_retry_time(answer->outcome) && !answer->retry_after_ms)
		answer->retry_after_ms = query->retry_after_ms ?
						 query->retry_after_ms :
						 RR_DEFAULT_RETRY_AFTER_MS;
	check_answer(query, answer);
	query->answered = true;
	if (!query->cancelled) {
		count_outcome(ctx, answer->outcome);
		rr_observe_latency(ctx, query->service->name,
				   answer->elapsed_us);
		log_finish(ctx, answer);
		core->actions.send_answer(core->actions.data, answer);
	}
	g_ptr_array_unref(lists.covered);
	g_array_unref(lists.missing);
}

void rr_answer_query(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query, enum rr_outcome outcome,
		     const char *reason)
{
	GArray *rows = rr_sorted_rows(query, query->max_rows);
	bool answered = query->n_covered || rows->len;
	struct rr_answer answer = {
		.outcome = outcome,
		.reason = reason,
		.index_version = answered ? query->pin_version : 0,
		.map_epoch = answered ? query->pin_epoch : 0,
		.rows = (const struct rr_answer_row *)rows->data,
		.n_rows = rows->len,
		.has_more = query->has_more || query->n_rows > rows->len,
	};

	rr_deliver_answer(ctx, core, query, &answer);
	g_array_unref(rows);
	rr_end_query(ctx, core, query);
}

void rr_answer_rejected_request(struct rr_context *ctx, struct rr_core *core,
				const struct rr_request *request, uint64_t id,
				enum rr_outcome outcome, const char *reason,
				uint32_t retry_after_ms)
{
	struct rr_answer answer = {
		.query_id = id,
		.request_id = request->request_id ? request->request_id : "",
		.outcome = outcome,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	count_outcome(ctx, outcome);
	rr_log(ctx, RR_LOG_DECISION, "refuse",
	       RR_FIELD_STRING("request", answer.request_id),
	       RR_FIELD_U64("query", id),
	       RR_FIELD_STRING("outcome", rr_outcome_name(outcome)),
	       RR_FIELD_U64("retry_after_ms", retry_after_ms),
	       RR_FIELD_STRING("reason", reason));
	core->actions.send_answer(core->actions.data, &answer);
}
