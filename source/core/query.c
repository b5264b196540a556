/*
 * query.c - the life cycle of a request: begin, advance, finish.
 */
#include "core/core-private.h"

#include <math.h>

static void free_relay(gpointer data)
{
	struct rr_outgoing_relay *relay = data;

	g_free(relay->instance);
	g_free(relay->address);
	g_free(relay->zone);
	g_array_unref(relay->tasks);
	g_array_unref(relay->replicas);
	g_free(relay);
}

static bool needs_ledger(const struct rr_service_config *config,
			 enum rr_request_kind kind)
{
	return kind == RR_RESERVE || !config->idempotent || config->costs_money;
}

static uint32_t limit_rows(const struct rr_service_config *config,
			   uint32_t requested)
{
	return requested && requested < config->max_rows ? requested :
							   config->max_rows;
}

static int64_t get_deadline_us(const struct rr_core *core,
			       const struct rr_service_config *config,
			       uint32_t requested_ms)
{
	uint32_t ms = config->deadline_ms;

	if (requested_ms && requested_ms < ms)
		ms = requested_ms;
	return core->now_us + (int64_t)ms * 1000;
}

static void copy_request(struct rr_query *query,
			 const struct rr_request *request)
{
	query->kind = request->kind;
	query->priority =
		request->priority == RR_BATCH ? RR_BATCH : RR_INTERACTIVE;
	query->request_id =
		g_strdup(request->request_id ? request->request_id : "");
	query->body = g_strdup(request->body ? request->body : "null");
	query->idempotency_key = g_strdup(request->idempotency_key);
	query->key = request->key;
	query->key_to = RR_KEY_LIMIT;
	if (request->kind == RR_LOOKUP || request->kind == RR_RESERVE) {
		query->key_from = request->key;
		query->key_to = request->key + 1;
	}
}

struct rr_query *rr_new_query(struct rr_core *core, struct rr_service *service,
			      const struct rr_request *request)
{
	const struct rr_service_config *config = service->map->service;
	struct rr_query *query = g_new0(struct rr_query, 1);

	query->id = rr_next_id(core);
	query->stage = RR_QUERY_RUNNING;
	copy_request(query, request);
	query->at_most_once = needs_ledger(config, request->kind);
	query->max_rows = limit_rows(config, request->max_rows);
	query->service = service;
	query->map = rr_keep_service_map(service->map);
	query->started_us = core->now_us;
	query->deadline_us =
		get_deadline_us(core, config, request->deadline_ms);
	query->pin_task = RR_NO_TASK;
	query->pending_tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	query->coverage = rr_new_coverage();
	query->row_blocks =
		g_array_new(FALSE, FALSE, sizeof(struct rr_row_block));
	query->relays = g_ptr_array_new_with_free_func(free_relay);
	query->unsent_relays = g_ptr_array_new_with_free_func(free_relay);
	query->excluded_owners = g_ptr_array_new_with_free_func(g_free);
	service->n_open++;
	if (query->priority == RR_BATCH)
		service->n_open_batch++;
	g_hash_table_insert(core->queries, &query->id, query);
	rr_set_timer(core->timers, query->deadline_us, RR_TIMER_DEADLINE,
		     query->id, 0);
	return query;
}

struct rr_query *rr_find_query(struct rr_core *core, uint64_t id)
{
	struct rr_query *query = g_hash_table_lookup(core->queries, &id);

	return query && query->stage != RR_QUERY_DONE ? query : NULL;
}

void rr_add_tasks(struct rr_query *query, size_t first, size_t n)
{
	size_t before = query->n_tasks;

	query->tasks = g_renew(struct rr_task, query->tasks, before + n);
	query->n_tasks += n;
	for (size_t i = 0; i < n; i++) {
		query->tasks[before + i] =
			(struct rr_task){ .shard = (uint32_t)(first + i) };
		rr_enqueue_task(query, (uint32_t)(before + i));
		query->n_open++;
	}
}

void rr_schedule_query(struct rr_core *core, struct rr_query *query)
{
	if (query->scheduled)
		return;
	query->scheduled = true;
	g_ptr_array_add(core->scheduled_queries, query);
}

void rr_begin_query(struct rr_context *ctx, struct rr_core *core,
		    struct rr_query *query)
{
	if (query->kind == RR_SEARCH) {
		rr_add_tasks(query, 0, query->map->n_shards);
	} else if (query->kind != RR_LIST) {
		size_t shard = rr_find_shard_by_key(query->map, query->key);

		rr_add_tasks(query, shard, 1);
	}
	rr_schedule_query(core, query);
}

/*
 * Pin a version that is known already.  A look-up needs no pin, as it is
 * answered by one replica; searches and lists use one version on all shards.
 */
static void pin_known_version(struct rr_context *ctx, struct rr_core *core,
			      struct rr_query *query)
{
	uint64_t epoch;
	uint64_t version;
	size_t n_shards;

	if (query->pin_version || query->origin || query->row_blocks->len)
		return;
	if (query->kind != RR_SEARCH && query->kind != RR_LIST)
		return;
	version = rr_choose_pin(ctx, core, query->service, &epoch, &n_shards);
	if (version)
		rr_pin_query(ctx, core, query, version, epoch,
			     query->map->service->answer == RR_ANSWER_LATENCY ?
				     "fast-replicas" :
				     "most-shards");
}

/*
 * Whether the task whose reply is to set the pinned version is in progress.
 * While no version is pinned only one task is started: with two in flight, the
 * replies could be of two versions.
 */
static bool is_pin_task_running(const struct rr_query *query)
{
	const struct rr_task *task;

	if (query->pin_version || query->pin_task == RR_NO_TASK)
		return false;
	task = &query->tasks[query->pin_task];
	return task->status == RR_TASK_RUNNING ||
	       task->status == RR_TASK_BACKOFF;
}

static void start_pending_tasks(struct rr_context *ctx, struct rr_core *core,
				struct rr_query *query)
{
	while (query->pending_head < query->pending_tasks->len &&
	       !is_pin_task_running(query)) {
		uint32_t index = g_array_index(query->pending_tasks, uint32_t,
					       query->pending_head++);

		if (query->tasks[index].status != RR_TASK_PENDING)
			continue;
		if (!query->pin_version)
			query->pin_task = index;
		rr_start_task(ctx, core, query, index);
	}
	if (query->pending_head < query->pending_tasks->len)
		return;
	g_array_set_size(query->pending_tasks, 0);
	query->pending_head = 0;
}

/*
 * Mark failed tasks as covered if the ranges of other replies cover their keys.
 */
static void cover_failed_tasks(struct rr_core *core, struct rr_query *query)
{
	for (uint32_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];
		struct rr_key_range range = rr_task_range(query, task);

		if (task->status == RR_TASK_FAILED && range.from < range.to &&
		    rr_covers_range(query->coverage, range))
			rr_mark_task_covered(core, query, i);
	}
}

static const char *first_missing_reason(const struct rr_query *query)
{
	for (size_t i = 0; i < query->n_tasks; i++) {
		if (query->tasks[i].status == RR_TASK_FAILED)
			return rr_missing_reason_name(query->tasks[i].reason);
	}
	return NULL;
}

static void finish_read(struct rr_context *ctx, struct rr_core *core,
			struct rr_query *query)
{
	if (query->n_covered == query->n_tasks) {
		rr_answer_query(ctx, core, query, RR_COMPLETE, NULL);
		return;
	}
	if (!query->n_covered && !query->n_maybe_run) {
		rr_answer_query(ctx, core, query, RR_NOT_RUN,
				first_missing_reason(query));
		return;
	}
	rr_answer_query(ctx, core, query, RR_PARTIAL, NULL);
}

static void finish_query(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query)
{
	if (query->kind != RR_RESERVE)
		cover_failed_tasks(core, query);
	if (query->origin)
		rr_send_relay_reply(ctx, core, query);
	else if (query->at_most_once)
		rr_finish_at_most_once(ctx, core, query);
	else if (query->kind == RR_LIST)
		rr_advance_list(ctx, core, query);
	else
		finish_read(ctx, core, query);
}

/*
 * Answer mode "latency": once the minimum coverage is reached, wait at most
 * straggler_wait_ms for the remaining shards.
 */
static void check_min_coverage(struct rr_context *ctx, struct rr_core *core,
			       struct rr_query *query)
{
	const struct rr_service_config *config = query->map->service;
	uint32_t needed;

	if (config->answer != RR_ANSWER_LATENCY || query->kind != RR_SEARCH ||
	    query->at_most_once || query->coverage_reached)
		return;
	needed = (uint32_t)ceil(config->min_coverage * (double)query->n_tasks);
	if (query->n_covered < MAX(1, needed))
		return;
	query->coverage_reached = true;
	if (!config->straggler_wait_ms) {
		rr_end_query_at_min_coverage(ctx, core, query);
		return;
	}
	rr_set_timer(core->timers,
		     core->now_us + (int64_t)config->straggler_wait_ms * 1000,
		     RR_TIMER_COVERAGE_WAIT, query->id, 0);
}

void rr_advance_query(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query)
{
	if (query->stage == RR_QUERY_DONE || query->stage == RR_QUERY_CLAIMING)
		return;
	pin_known_version(ctx, core, query);
	start_pending_tasks(ctx, core, query);
	if (query->wants_restart) {
		query->wants_restart = false;
		if (rr_restart_query(ctx, core, query))
			start_pending_tasks(ctx, core, query);
	}
	rr_flush_relays(ctx, core, query);
	if (!query->n_open)
		finish_query(ctx, core, query);
	else
		check_min_coverage(ctx, core, query);
}

/*
 * Return why a task that is still open at the end of its query is reported as
 * missing. This is `reason`, but if that is the deadline, a more specific cause
 * if one is known.
 */
static enum rr_missing_reason
get_open_task_reason(const struct rr_core *core, const struct rr_task *task,
		     enum rr_missing_reason reason)
{
	if (reason != RR_MISSING_DEADLINE)
		return reason;
	if (task->relay)
		return rr_unanswered_relay_reason(core, task->relay);
	if (task->status == RR_TASK_BACKOFF && task->reason != RR_MISSING_NONE)
		return task->reason;
	return reason;
}

/*
 * Fail all open tasks and finish the query.  If the reason is the deadline, a
 * more specific one is used where it is known.
 */
static void fail_open_tasks(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query,
			    enum rr_missing_reason reason)
{
	for (uint32_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];

		if (task->status == RR_TASK_COVERED ||
		    task->status == RR_TASK_FAILED)
			continue;
		rr_mark_task_failed(ctx, core, query, i,
				    get_open_task_reason(core, task, reason));
	}
	query->wants_restart = false;
	finish_query(ctx, core, query);
}

void rr_end_query_at_deadline(struct rr_context *ctx, struct rr_core *core,
			      struct rr_query *query)
{
	if (query->stage == RR_QUERY_DONE || query->stage == RR_QUERY_LINGERING)
		return;
	if (query->at_most_once) {
		rr_end_at_most_once_at_deadline(ctx, core, query);
		return;
	}
	fail_open_tasks(ctx, core, query, RR_MISSING_DEADLINE);
}

void rr_end_query_at_min_coverage(struct rr_context *ctx, struct rr_core *core,
				  struct rr_query *query)
{
	if (query->stage != RR_QUERY_RUNNING || !query->n_open)
		return;
	fail_open_tasks(ctx, core, query, RR_MISSING_MIN_COVERAGE);
}

static void free_tasks(struct rr_query *query)
{
	for (size_t i = 0; i < query->n_tasks; i++) {
		if (query->tasks[i].covered_ranges)
			g_array_unref(query->tasks[i].covered_ranges);
	}
	g_free(query->tasks);
}

void rr_end_query(struct rr_context *ctx, struct rr_core *core,
		  struct rr_query *query)
{
	if (query->stage == RR_QUERY_DONE)
		return;
	for (uint32_t i = 0; i < query->n_tasks; i++)
		rr_cancel_task_attempts(ctx, core, query, i);
	rr_cancel_relays(ctx, core, query);
	query->stage = RR_QUERY_DONE;
	if (query->origin)
		rr_remove_relay_origin(core, query);
	query->service->n_open--;
	if (query->priority == RR_BATCH)
		query->service->n_open_batch--;
	rr_schedule_query(core, query);
}

void rr_free_query(struct rr_core *core, struct rr_query *query)
{
	g_hash_table_remove(core->queries, &query->id);
	free_tasks(query);
	g_array_unref(query->pending_tasks);
	rr_clear_merge(query);
	g_array_unref(query->row_blocks);
	rr_drop_coverage(query->coverage);
	g_ptr_array_unref(query->relays);
	g_ptr_array_unref(query->unsent_relays);
	g_ptr_array_unref(query->excluded_owners);
	if (query->unknown_shards)
		g_ptr_array_unref(query->unknown_shards);
	rr_drop_service_map(query->map);
	g_free(query->request_id);
	g_free(query->body);
	g_free(query->idempotency_key);
	g_free(query->origin);
	g_free(query->origin_address);
	g_free(query->result);
	g_free(query);
}

void rr_discard_query(struct rr_core *core, struct rr_query *query)
{
	for (uint32_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];

		while (task->n_live)
			rr_discard_attempt(core, task->live[task->n_live - 1]);
	}
	rr_free_query(core, query);
}
