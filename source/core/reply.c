/*
 * reply.c - validation and merging of replies to attempts.
 *
 * A reply updates the state of its replica first, and then its query.
 */
#include "core/core-private.h"

/*
 * Check that the reply is complete and of the pinned version, and that its rows
 * are within its ranges.
 */
static enum rr_missing_reason check_reply(const struct rr_query *query,
					  const struct rr_reply *reply)
{
#ifndef RR_MUTANT_COVERAGE_CUT
	if (!reply->body_complete ||
	    reply->row_count != rr_count_rows(reply->rows))
		return RR_MISSING_TRUNCATED;
#endif
	if (query->kind == RR_RESERVE)
		return reply->result ? RR_MISSING_NONE : RR_MISSING_TRUNCATED;
#ifndef RR_MUTANT_SNAPSHOT_MIX
	if (!reply->version ||
	    (query->pin_version && reply->version != query->pin_version))
		return RR_MISSING_VERSION;
#endif
	if (!rr_rows_within(reply->rows, reply->ranges, reply->n_ranges))
		return RR_MISSING_TRUNCATED;
	if (reply->has_more && !rr_count_rows(reply->rows))
		return RR_MISSING_TRUNCATED;
	return RR_MISSING_NONE;
}

/* Merge the rows and ranges of a reply, clipped to the keys requested. */
static void merge_reply(struct rr_query *query, struct rr_task *task,
			const struct rr_reply *reply)
{
#ifdef RR_MUTANT_COVERAGE_SHARD
	struct rr_key_range task_range = rr_task_range(query, task);
	GArray *clipped = rr_clip_ranges(&task_range, 1, task_range);
#else
	GArray *clipped = rr_clip_ranges(reply->ranges, reply->n_ranges,
					 rr_task_range(query, task));
#endif
	const struct rr_key_range *ranges =
		(const struct rr_key_range *)clipped->data;

	rr_merge_rows(query, reply->rows, ranges, clipped->len,
		      rr_rows_within(reply->rows, ranges, clipped->len),
		      reply->version);
	if (query->origin && !task->covered_ranges)
		task->covered_ranges = g_array_ref(clipped);
	else if (query->origin)
		g_array_append_vals(task->covered_ranges, clipped->data,
				    clipped->len);
	g_array_unref(clipped);
}

/*
 * Merge a valid reply.  The task is covered unless its range has a gap; then
 * another replica is tried.
 */
static void accept_reply(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, uint32_t index,
			 const struct rr_reply *reply, uint64_t replica_bit)
{
	struct rr_task *task = &query->tasks[index];

	if (query->kind == RR_RESERVE) {
		query->result = g_strndup(reply->result, reply->result_length);
		query->result_version = reply->version;
		rr_cancel_task_attempts(ctx, core, query, index);
		rr_mark_task_covered(core, query, index);
		return;
	}
	if (!query->pin_version)
		rr_pin_query(ctx, core, query, reply->version, reply->map_epoch,
			     "first-reply");
	query->has_more |= reply->has_more;
	if (query->kind == RR_LIST && reply->has_more)
		rr_end_list_page(query, reply->rows);
	merge_reply(query, task, reply);
	if (rr_covers_range(query->coverage, rr_task_range(query, task))) {
		rr_cancel_task_attempts(ctx, core, query, index);
		rr_mark_task_covered(core, query, index);
		return;
	}
	task->tried_mask |= replica_bit;
	rr_handle_task_failure(ctx, core, query, index, RR_MISSING_MOVED,
			       false);
}

/*
 * Update the state of the replica from a reply, whether or not the query can
 * use the reply.
 */
static void update_replica(struct rr_context *ctx, struct rr_core *core,
			   const struct rr_live_attempt *attempt,
			   const struct rr_reply *reply)
{
	struct rr_replica *replica = attempt->replica;

	rr_update_replica_versions(core, replica, reply->oldest_version,
				   reply->newest_version, reply->map_epoch);
	if (reply->load >= 0)
		replica->reported_load = reply->load;
	rr_update_replica_state(ctx, core, replica, reply->state, "reply");
	switch (reply->status) {
	case RR_REPLY_OK:
		/*
		 * Guards against a replica that attracts attempts because it
		 * truncates its bodies and so has the lowest latency.
		 */
		if (!reply->body_complete) {
			rr_record_loss(ctx, core, replica);
			return;
		}
		rr_record_success(ctx, core, replica,
				  core->now_us - attempt->sent_us,
				  attempt->in_flight);
		return;
	case RR_REPLY_SHED:
		rr_record_shed(core, replica, reply->retry_after_ms);
		return;
	case RR_REPLY_DRAINING:
		rr_update_replica_state(ctx, core, replica,
					RR_UPSTREAM_DRAINING, "refusal");
		return;
	case RR_REPLY_REFUSED:
	case RR_REPLY_LOST:
		rr_record_loss(ctx, core, replica);
		return;
	case RR_REPLY_NO_VERSION:
		return;
	}
}

/*
 * Count an attempt no longer among those that may have run, as its reply proves
 * that it did not.
 */
static void uncount_attempt(struct rr_query *query, struct rr_task *task)
{
	query->n_maybe_run--;
	task->n_maybe_run--;
}

static void handle_failure(struct rr_context *ctx, struct rr_core *core,
			   struct rr_query *query, uint32_t index,
			   const struct rr_reply *reply, uint64_t replica_bit)
{
	struct rr_task *task = &query->tasks[index];
	enum rr_missing_reason reason = RR_MISSING_LOST;
	bool proven = reply->status != RR_REPLY_LOST;

#ifdef RR_MUTANT_NOT_RUN_LOST
	proven = true;
#endif
	if (proven) {
		uncount_attempt(query, task);
		rr_count(ctx, RR_N_ATTEMPTS_SHED, 1);
	} else {
		rr_count(ctx, RR_N_ATTEMPTS_LOST, 1);
	}
	switch (reply->status) {
	case RR_REPLY_SHED:
		reason = RR_MISSING_SHED;
		break;
	case RR_REPLY_NO_VERSION:
		reason = RR_MISSING_VERSION;
		task->no_version_mask |= replica_bit;
		break;
	case RR_REPLY_DRAINING:
		reason = RR_MISSING_NONE;
		break;
	case RR_REPLY_REFUSED:
		reason = RR_MISSING_NO_REPLICA;
		task->tried_mask |= replica_bit;
		break;
	default:
		task->tried_mask |= replica_bit;
		break;
	}
	rr_handle_task_failure(ctx, core, query, index, reason, proven);
}

static void handle_ok(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query, uint32_t index,
		      const struct rr_reply *reply, uint64_t replica_bit)
{
	struct rr_task *task = &query->tasks[index];
	enum rr_missing_reason reason = check_reply(query, reply);

	if (reason == RR_MISSING_NONE) {
		accept_reply(ctx, core, query, index, reply, replica_bit);
		return;
	}
	rr_count(ctx, RR_N_BAD_REPLIES, 1);
	if (reason == RR_MISSING_VERSION)
		task->no_version_mask |= replica_bit;
	task->tried_mask |= replica_bit;
	rr_handle_task_failure(ctx, core, query, index, reason, false);
}

void rr_handle_reply(struct rr_context *ctx, struct rr_core *core,
		     const struct rr_reply *reply)
{
	struct rr_live_attempt *attempt =
		g_hash_table_lookup(core->attempts, &reply->attempt_id);
	struct rr_query *query;
	uint64_t replica_bit;
	uint32_t index;

	/*
	 * A late, duplicate or unknown reply is dropped: if its rows were
	 * merged, they could be sent to the caller of another request.
	 */
	if (!attempt || attempt->status != RR_ATTEMPT_SENT) {
		rr_count(ctx, RR_N_LATE_REPLIES, 1);
		return;
	}
	query = attempt->query;
	index = attempt->task;
	replica_bit = 1ull << (attempt->replica_index & 63);
	rr_invariant("right-answer",
		     g_hash_table_lookup(core->queries, &query->id) == query);
	update_replica(ctx, core, attempt, reply);
	rr_discard_attempt(core, attempt);
	if (reply->status == RR_REPLY_OK)
		handle_ok(ctx, core, query, index, reply, replica_bit);
	else
		handle_failure(ctx, core, query, index, reply, replica_bit);
}
