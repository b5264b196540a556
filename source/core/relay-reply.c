/*
 * relay-reply.c - an owner's reply is taken into the query that asked.
 */
#include "core/core-private.h"

#include <string.h>

/* The place of a shard's outcome in the relay; outcomes keep the order. */
static guint find_place(const struct rr_query *query,
			const struct rr_outgoing_relay *run, const char *shard,
			guint guess)
{
	for (guint i = 0; i < run->tasks->len; i++) {
		guint place = (guess + i) % run->tasks->len;
		uint32_t task = g_array_index(run->tasks, uint32_t, place);
		const struct rr_shard_map *map =
			&query->map->shards[query->tasks[task].shard];

		if (!strcmp(map->config->name, shard))
			return place;
	}
	return run->tasks->len;
}

static struct rr_replica *named_replica(const struct rr_query *query,
					const struct rr_outgoing_relay *run,
					guint place)
{
	uint32_t task = g_array_index(run->tasks, uint32_t, place);
	size_t index = g_array_index(run->replicas, size_t, place);

	return query->map->shards[query->tasks[task].shard].replicas[index];
}

static GArray *gather_ranges(const struct rr_relay_reply *reply)
{
	GArray *ranges = g_array_new(FALSE, FALSE, sizeof(struct rr_key_range));

	for (size_t i = 0; i < reply->n_outcomes; i++)
		g_array_append_vals(ranges, reply->outcomes[i].ranges,
				    (guint)reply->outcomes[i].n_ranges);
	return ranges;
}

static bool rows_in_union(const struct rr_rows *rows, const GArray *ranges)
{
	struct rr_coverage *all = rr_new_coverage();
	size_t n = rr_count_rows(rows);
	bool within = true;

	for (guint i = 0; i < ranges->len; i++)
		rr_add_range(all,
			     g_array_index(ranges, struct rr_key_range, i));
	for (size_t i = 0; within && i < n; i++)
		within = rr_covers_key(all, rr_row_key(rows, i));
	rr_drop_coverage(all);
	return within;
}

/* Merge the reply's rows; false if they are not of the pin. */
static bool merge_reply(struct rr_context *ctx, struct rr_core *core,
			struct rr_query *query,
			const struct rr_outgoing_relay *run,
			const struct rr_relay_reply *reply)
{
	GArray *ranges = gather_ranges(reply);
	bool good = true;

	if (!ranges->len) {
		g_array_unref(ranges);
		return true;
	}
	if (!reply->version ||
	    (query->pin_version && reply->version != query->pin_version))
		good = false;
	if (good && !rows_in_union(reply->rows, ranges))
		good = false;
	if (good && !query->pin_version)
		rr_pin_query(ctx, core, query, reply->version, query->pin_epoch,
			     "first-reply");
	if (good) {
		bool cut = rr_count_rows(reply->rows) > run->row_limit;

		query->has_more |= cut;
		if (cut && query->kind == RR_LIST)
			rr_end_list_page(query, reply->rows);
		rr_merge_rows(query, reply->rows,
			      (const struct rr_key_range *)ranges->data,
			      ranges->len, true, reply->version);
	}
	g_array_unref(ranges);
	return good;
}

/* The owner tried all it has of the shard; another zone may have more. */
static void mark_zone_tried(struct rr_query *query, struct rr_task *task,
			    const char *zone)
{
	const struct rr_shard_map *shard = &query->map->shards[task->shard];

	for (size_t i = 0; i < shard->n_replicas && i < 64; i++) {
		if (!strcmp(shard->replicas[i]->zone, zone))
			task->tried_mask |= 1ull << i;
	}
}

static void take_lacking(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, const char *zone,
			 uint32_t index, const struct rr_relay_outcome *outcome)
{
	struct rr_task *task = &query->tasks[index];
	bool other_owner =
		outcome->not_run && outcome->reason == RR_MISSING_NO_REPLICA;

	if (!other_owner)
		mark_zone_tried(query, task, zone);
	if (outcome->reason == RR_MISSING_DEADLINE ||
	    outcome->reason == RR_MISSING_MIN_COVERAGE ||
	    outcome->reason == RR_MISSING_VERSION)
		rr_mark_task_failed(ctx, core, query, index, outcome->reason);
	else
		rr_handle_task_failure(ctx, core, query, index, outcome->reason,
				       outcome->not_run);
}

static void take_outcome(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query, const char *zone,
			 uint32_t index, const struct rr_relay_outcome *outcome,
			 bool good)
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
		take_lacking(ctx, core, query, zone, index, outcome);
		return;
	}
	if (!good) {
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

static void take_outcomes(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query, struct rr_outgoing_relay *run,
			  const struct rr_relay_reply *reply, bool good)
{
	for (size_t i = 0; i < reply->n_outcomes; i++) {
		const struct rr_relay_outcome *outcome = &reply->outcomes[i];
		guint place = find_place(query, run, outcome->shard, (guint)i);
		uint32_t task;

		if (place == run->tasks->len)
			continue;
		task = g_array_index(run->tasks, uint32_t, place);
		rr_update_replica_versions(
			core, named_replica(query, run, place),
			outcome->oldest_version, outcome->newest_version,
			query->pin_epoch);
		if (query->tasks[task].relay != run)
			continue;
		if (outcome->not_run &&
		    outcome->reason == RR_MISSING_NO_REPLICA)
			rr_exclude_owner(query, run->instance);
		take_outcome(ctx, core, query, run->zone, task, outcome, good);
	}
}

static bool take_result(struct rr_query *query,
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
match_relay(struct rr_core *core, const struct rr_peer_message *message)
{
	struct rr_outgoing_relay *run = g_hash_table_lookup(
		core->relays, &message->relay_reply->query_id);

	if (!run || strcmp(run->instance, message->from) ||
	    run->incarnation != message->from_incarnation)
		return NULL;
	return run;
}

void rr_handle_relay_reply(struct rr_context *ctx, struct rr_core *core,
			   const struct rr_peer_message *message)
{
	const struct rr_relay_reply *reply = message->relay_reply;
	struct rr_outgoing_relay *run =
		reply ? match_relay(core, message) : NULL;
	struct rr_query *query;
	bool good;

	/* Late, doubled, or of an owner's earlier life: not for this query. */
	if (!run) {
		rr_count(ctx, RR_N_LATE_REPLIES, 1);
		return;
	}
	query = run->query;
	query->retry_after_ms =
		MAX(query->retry_after_ms, reply->retry_after_ms);
	if (query->kind == RR_RESERVE)
		good = take_result(query, reply);
	else
		good = merge_reply(ctx, core, query, run, reply);
	if (!good)
		rr_count(ctx, RR_N_BAD_REPLIES, 1);
	take_outcomes(ctx, core, query, run, reply, good);
	rr_end_relay_if_complete(core, run);
	rr_schedule_query(core, query);
}
