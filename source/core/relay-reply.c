/*
 * relay-reply.c - merging of the reply to a relay into the query that sent it.
 */
#include "core/core-private.h"

#include <string.h>

/*
 * Return the position of a shard's task in the relay. Outcomes usually have the
 * same order, so the search starts at `guess`. Return the number of tasks if
 * there is none.
 */
static guint find_task_position(const struct rr_query *query,
				const struct rr_outgoing_relay *outgoing,
				const char *shard, guint guess)
{
	for (guint i = 0; i < outgoing->tasks->len; i++) {
		guint position = (guess + i) % outgoing->tasks->len;
		uint32_t task =
			g_array_index(outgoing->tasks, uint32_t, position);
		const struct rr_shard_map *map =
			&query->map->shards[query->tasks[task].shard];

		if (!strcmp(map->config->name, shard))
			return position;
	}
	return outgoing->tasks->len;
}

static struct rr_replica *
get_preferred_replica(const struct rr_query *query,
		      const struct rr_outgoing_relay *outgoing, guint position)
{
	uint32_t task = g_array_index(outgoing->tasks, uint32_t, position);
	size_t index = g_array_index(outgoing->replicas, size_t, position);

	return query->map->shards[query->tasks[task].shard].replicas[index];
}

static GArray *collect_ranges(const struct rr_relay_reply *reply)
{
	GArray *ranges = g_array_new(FALSE, FALSE, sizeof(struct rr_key_range));

	for (size_t i = 0; i < reply->n_outcomes; i++)
		g_array_append_vals(ranges, reply->outcomes[i].ranges,
				    (guint)reply->outcomes[i].n_ranges);
	return ranges;
}

static bool are_rows_covered(const struct rr_rows *rows, const GArray *ranges)
{
	struct rr_coverage *coverage = rr_new_coverage();
	size_t n = rr_count_rows(rows);
	bool within = true;

	for (guint i = 0; i < ranges->len; i++)
		rr_add_range(coverage,
			     g_array_index(ranges, struct rr_key_range, i));
	for (size_t i = 0; within && i < n; i++)
		within = rr_covers_key(coverage, rr_row_key(rows, i));
	rr_drop_coverage(coverage);
	return within;
}

/*
 * Merge the rows of the reply. Return false if they do not match the version
 * that the query is pinned to, or lie outside the reported ranges.
 */
static bool merge_reply(struct rr_context *ctx, struct rr_core *core,
			struct rr_query *query,
			const struct rr_outgoing_relay *outgoing,
			const struct rr_relay_reply *reply)
{
	GArray *ranges = collect_ranges(reply);
	bool valid = true;

	if (!ranges->len) {
		g_array_unref(ranges);
		return true;
	}
	if (!reply->version ||
	    (query->pin_version && reply->version != query->pin_version))
		valid = false;
	if (valid && !are_rows_covered(reply->rows, ranges))
		valid = false;
	if (valid && !query->pin_version)
		rr_pin_query(ctx, core, query, reply->version, query->pin_epoch,
			     "first-reply");
	if (valid) {
		bool truncated =
			rr_count_rows(reply->rows) > outgoing->row_limit;

		query->has_more |= truncated;
		if (truncated && query->kind == RR_LIST)
			rr_end_list_page(query, reply->rows);
		rr_merge_rows(query, reply->rows,
			      (const struct rr_key_range *)ranges->data,
			      ranges->len, true, reply->version);
	}
	g_array_unref(ranges);
	return valid;
}

/*
 * Mark the replicas of a zone as tried: the owner has tried all that it can use
 * there. Replicas of other zones may still be tried.
 */
static void mark_zone_tried(struct rr_query *query, struct rr_task *task,
			    const char *zone)
{
	const struct rr_shard_map *shard = &query->map->shards[task->shard];

	for (size_t i = 0; i < shard->n_replicas && i < 64; i++) {
		if (!strcmp(shard->replicas[i]->zone, zone))
			task->tried_mask |= 1ull << i;
	}
}

static void handle_uncovered(struct rr_context *ctx, struct rr_core *core,
			     struct rr_query *query, const char *zone,
			     uint32_t index,
			     const struct rr_relay_outcome *outcome)
{
	struct rr_task *task = &query->tasks[index];
	bool try_other_owner =
		outcome->not_run && outcome->reason == RR_MISSING_NO_REPLICA;

	if (!try_other_owner)
		mark_zone_tried(query, task, zone);
	if (outcome->reason == RR_MISSING_DEADLINE ||
	    outcome->reason == RR_MISSING_MIN_COVERAGE ||
	    outcome->reason == RR_MISSING_VERSION)
		rr_mark_task_failed(ctx, core, query, index, outcome->reason);
	else
		rr_handle_task_failure(ctx, core, query, index, outcome->reason,
				       outcome->not_run);
}

static void handle_outcome(struct rr_context *ctx, struct rr_core *core,
			   struct rr_query *query, const char *zone,
			   uint32_t index,
			   const struct rr_relay_outcome *outcome, bool valid)
{
	struct rr_task *task = &query->tasks[index];

	task->relay = NULL;
	task->attempts += outcome->attempts;
	query->attempts += outcome->attempts;
	if (outcome->not_run) {
		task->n_maybe_run--;
		query->n_maybe_run--;
	}
	if (!outcome->covered) {
		handle_uncovered(ctx, core, query, zone, index, outcome);
		return;
	}
	if (!valid) {
		mark_zone_tried(query, task, zone);
		rr_handle_task_failure(ctx, core, query, index,
				       RR_MISSING_VERSION, false);
		return;
	}
	if (query->kind != RR_RESERVE &&
	    !rr_covers_range(query->coverage, rr_task_range(query, task))) {
		mark_zone_tried(query, task, zone);
		rr_handle_task_failure(ctx, core, query, index,
				       RR_MISSING_MOVED, false);
		return;
	}
	rr_cancel_task_attempts(ctx, core, query, index);
	rr_mark_task_covered(core, query, index);
}

static void handle_outcomes(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query,
			    struct rr_outgoing_relay *outgoing,
			    const struct rr_relay_reply *reply, bool valid)
{
	for (size_t i = 0; i < reply->n_outcomes; i++) {
		const struct rr_relay_outcome *outcome = &reply->outcomes[i];
		guint position = find_task_position(query, outgoing,
						    outcome->shard, (guint)i);
		uint32_t task;

		if (position == outgoing->tasks->len)
			continue;
		task = g_array_index(outgoing->tasks, uint32_t, position);
		rr_update_replica_versions(
			core, get_preferred_replica(query, outgoing, position),
			outcome->oldest_version, outcome->newest_version,
			query->pin_epoch);
		if (query->tasks[task].relay != outgoing)
			continue;
		if (outcome->not_run &&
		    outcome->reason == RR_MISSING_NO_REPLICA)
			rr_exclude_owner(query, outgoing->instance);
		handle_outcome(ctx, core, query, outgoing->zone, task, outcome,
			       valid);
	}
}

static bool set_result(struct rr_query *query,
		       const struct rr_relay_reply *reply)
{
	if (query->kind != RR_RESERVE)
		return true;
	if (!reply->n_outcomes || !reply->outcomes[0].covered)
		return true;
	if (!reply->result || query->result)
		return false;
	query->result = g_strdup(reply->result);
	query->result_version = reply->version;
	return true;
}

static struct rr_outgoing_relay *
find_matching_relay(struct rr_core *core, const struct rr_peer_message *message)
{
	struct rr_outgoing_relay *outgoing = g_hash_table_lookup(
		core->relays, &message->relay_reply->query_id);

	if (!outgoing || strcmp(outgoing->instance, message->from) ||
	    outgoing->incarnation != message->from_incarnation)
		return NULL;
	return outgoing;
}

void rr_handle_relay_reply(struct rr_context *ctx, struct rr_core *core,
			   const struct rr_peer_message *message)
{
	const struct rr_relay_reply *reply = message->relay_reply;
	struct rr_outgoing_relay *outgoing =
		reply ? find_matching_relay(core, message) : NULL;
	struct rr_query *query;
	bool valid;

	/*
	 * The reply is late, a duplicate, or from another incarnation of the
	 * owner, and belongs to no query.
	 */
	if (!outgoing) {
		rr_count(ctx, RR_N_LATE_REPLIES, 1);
		return;
	}
	query = outgoing->query;
	query->retry_after_ms =
		MAX(query->retry_after_ms, reply->retry_after_ms);
	if (query->kind == RR_RESERVE)
		valid = set_result(query, reply);
	else
		valid = merge_reply(ctx, core, query, outgoing, reply);
	if (!valid)
		rr_count(ctx, RR_N_BAD_REPLIES, 1);
	handle_outcomes(ctx, core, query, outgoing, reply, valid);
	rr_end_relay_if_complete(core, outgoing);
	rr_schedule_query(core, query);
}
