/*
 * attempt.c - attempts: queued at a replica, sent, ended.
 */
#include "core/core-private.h"

static void add_live(struct rr_task *task, struct rr_live_attempt *attempt)
{
	g_assert(task->n_live < RR_MAX_LIVE_ATTEMPTS);
	task->live[task->n_live++] = attempt;
}

static void remove_live(struct rr_task *task, struct rr_live_attempt *attempt)
{
	for (uint32_t i = 0; i < task->n_live; i++) {
		if (task->live[i] != attempt)
			continue;
		task->live[i] = task->live[--task->n_live];
		return;
	}
}

/*
 * Queue an attempt in order of deadline.  As most requests have similar time
 * limits, this is mostly the order of arrival, so the search starts at the
 * tail.
 */
static void enqueue(struct rr_live_attempt *attempt)
{
	struct rr_replica *replica = attempt->replica;
	GQueue *queue = &replica->queues[attempt->query->priority];
	GList *after = queue->tail;

	while (after &&
	       ((struct rr_live_attempt *)after->data)->query->deadline_us >
		       attempt->query->deadline_us)
		after = after->prev;
	if (after) {
		g_queue_insert_after(queue, after, attempt);
		attempt->queue_link = after->next;
	} else {
		g_queue_push_head(queue, attempt);
		attempt->queue_link = queue->head;
	}
	replica->service->n_queued++;
}

static void dequeue(struct rr_live_attempt *attempt)
{
	struct rr_replica *replica = attempt->replica;

	g_queue_delete_link(&replica->queues[attempt->query->priority],
			    attempt->queue_link);
	attempt->queue_link = NULL;
	replica->service->n_queued--;
}

void rr_queue_attempt(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query, uint32_t task,
		      size_t replica_index, bool hedge)
{
	struct rr_task *entry = &query->tasks[task];
	struct rr_live_attempt *attempt = g_new0(struct rr_live_attempt, 1);

	attempt->id = rr_next_id(core);
	attempt->query = query;
	attempt->task = task;
	attempt->replica_index = replica_index;
	attempt->replica = rr_keep_replica(
		query->map->shards[entry->shard].replicas[replica_index]);
	attempt->status = RR_ATTEMPT_QUEUED;
	attempt->hedge = hedge;
	attempt->created_us = core->now_us;
	add_live(entry, attempt);
	g_hash_table_insert(core->attempts, &attempt->id, attempt);
	enqueue(attempt);
	rr_schedule_dispatch(core, attempt->replica);
}

/* Remove an attempt from all tables and free it. */
static void end_attempt(struct rr_core *core, struct rr_live_attempt *attempt)
{
	struct rr_replica *replica = attempt->replica;

	if (attempt->status == RR_ATTEMPT_QUEUED) {
		dequeue(attempt);
	} else {
		replica->in_flight--;
		if (attempt->query->priority == RR_BATCH)
			replica->batch_in_flight--;
	}
	remove_live(&attempt->query->tasks[attempt->task], attempt);
	g_hash_table_remove(core->attempts, &attempt->id);
	rr_schedule_dispatch(core, replica);
	rr_drop_replica(replica);
	g_free(attempt);
}

void rr_discard_attempt(struct rr_core *core, struct rr_live_attempt *attempt)
{
	end_attempt(core, attempt);
}

void rr_cancel_live_attempt(struct rr_context *ctx, struct rr_core *core,
			    struct rr_live_attempt *attempt)
{
	/* Return the token of a hedge that was not sent. */
	if (attempt->hedge && attempt->status == RR_ATTEMPT_QUEUED)
		attempt->query->service->hedge_budget.tokens += 1;
	if (attempt->status == RR_ATTEMPT_SENT) {
		rr_count(ctx, RR_N_ATTEMPTS_CANCELLED, 1);
		core->actions.cancel_attempt(core->actions.data, attempt->id);
	}
	end_attempt(core, attempt);
}

void rr_return_queued_attempts(struct rr_context *ctx, struct rr_core *core,
			       struct rr_replica *replica)
{
	for (int i = 0; i < RR_PRIORITY_COUNT; i++) {
		while (replica->queues[i].length) {
			struct rr_live_attempt *attempt =
				g_queue_peek_head(&replica->queues[i]);
			struct rr_query *query = attempt->query;
			uint32_t task = attempt->task;

			end_attempt(core, attempt);
			rr_handle_task_failure(ctx, core, query, task,
					       RR_MISSING_NONE, true);
		}
	}
}

static uint32_t get_row_limit(const struct rr_query *query)
{
	if (query->origin)
		return query->row_limit;
	return query->kind == RR_LIST ? rr_list_row_limit(query) :
					query->max_rows;
}

static void set_attempt_timers(struct rr_core *core,
			       const struct rr_live_attempt *attempt)
{
	const struct rr_query *query = attempt->query;
	const struct rr_service_config *config = query->map->service;

	/*
	 * An at-most-once request that was sent has no timeout: it runs until
	 * its outcome is known.
	 */
	if (query->at_most_once)
		return;
	rr_set_timer(core->timers,
		     core->now_us + (int64_t)config->attempt_timeout_ms * 1000,
		     RR_TIMER_ATTEMPT_TIMEOUT, attempt->id, 0);
	if (!attempt->hedge && !core->switches.no_hedge)
		rr_set_hedge_timer(core, attempt);
}

static void count_sent(struct rr_context *ctx, struct rr_live_attempt *attempt)
{
	struct rr_query *query = attempt->query;
	struct rr_task *task = &query->tasks[attempt->task];

	rr_count(ctx, RR_N_ATTEMPTS, 1);
	query->attempts++;
	query->n_maybe_run++;
	task->attempts++;
	task->n_maybe_run++;
	if (attempt->hedge)
		rr_count(ctx, RR_N_HEDGES, 1);
	/*
	 * Only the first attempt of a task earns tokens; hedges and retries
	 * spend them.
	 */
	if (attempt->hedge || task->attempts > 1)
		return;
	rr_earn_token(&query->service->hedge_budget);
	rr_earn_token(&query->service->retry_budget);
}

static void send_attempt(struct rr_context *ctx, struct rr_core *core,
			 struct rr_live_attempt *attempt)
{
	struct rr_query *query = attempt->query;
	struct rr_task *task = &query->tasks[attempt->task];
	struct rr_replica *replica = attempt->replica;
	struct rr_key_range range = rr_task_range(query, task);
	int64_t left_us = query->deadline_us - core->now_us;
	struct rr_attempt out = {
		.id = attempt->id,
		.replica = replica->id,
		.address = replica->address,
		.shard = query->map->shards[task->shard].config->name,
		.service = query->service->name,
		.kind = query->kind,
		.request_id = query->request_id,
		.idempotency_key = query->idempotency_key,
		.body = query->body,
		.key_from = range.from,
		.key_to = range.to,
		.row_limit = get_row_limit(query),
		.version = query->pin_version,
		.map_epoch = query->pin_epoch,
		.deadline_ms = (uint32_t)MAX(1, left_us / 1000),
	};

	/*
	 * A draining upstream would abort new work when it exits.  The attempts
	 * queued for it are returned to their tasks when the drain is reported,
	 * so none should remain to be sent.
	 */
	rr_invariant("drain",
		     !replica->draining_since_us ||
			     core->now_us - replica->draining_since_us <=
				     RR_DRAIN_GRACE_US);
	dequeue(attempt);
	attempt->status = RR_ATTEMPT_SENT;
	attempt->sent_us = core->now_us;
	replica->in_flight++;
	attempt->in_flight = replica->in_flight;
	if (query->priority == RR_BATCH)
		replica->batch_in_flight++;
	count_sent(ctx, attempt);
	set_attempt_timers(core, attempt);
	core->actions.send_attempt(core->actions.data, &out);
}

/*
 * Return the next queued attempt that may be sent, interactive ones first; NULL
 * if none.  Batch attempts may use only a share of the limit, at least one.
 */
static struct rr_live_attempt *next_queued(const struct rr_replica *replica,
					   uint32_t limit)
{
	struct rr_live_attempt *attempt =
		g_queue_peek_head((GQueue *)&replica->queues[RR_INTERACTIVE]);
	double share;

	if (attempt)
		return attempt;
	attempt = g_queue_peek_head((GQueue *)&replica->queues[RR_BATCH]);
	if (!attempt)
		return NULL;
	share = attempt->query->map->service->batch_share * limit;
	return replica->batch_in_flight < MAX(1, (uint32_t)share) ? attempt :
								    NULL;
}

/*
 * Whether the replica may take over the attempt; sets *index to its index in
 * the attempt's shard.
 */
static bool can_take_over(const struct rr_replica *replica,
			  const struct rr_live_attempt *attempt, size_t *index)
{
	const struct rr_query *query = attempt->query;
	const struct rr_task *task = &query->tasks[attempt->task];
	const struct rr_shard_map *shard = &query->map->shards[task->shard];

	if (query->pin_version &&
	    (replica->oldest_version > query->pin_version ||
	     replica->newest_version < query->pin_version))
		return false;
	for (uint32_t i = 0; i < task->n_live; i++) {
		if (task->live[i]->replica == replica)
			return false;
	}
	for (size_t i = 0; i < shard->n_replicas; i++) {
		if (shard->replicas[i] != replica)
			continue;
		*index = i;
		return !(task->tried_mask >> i & 1) &&
		       !(task->no_version_mask >> i & 1);
	}
	return false;
}

/*
 * Move an attempt from the queue of a busy replica of the same shard to this
 * one.  Guards against work that is queued at a replica that stalled after it
 * was chosen, while another replica is idle.  An ejected replica takes over
 * only an attempt that has waited for longer than an outlier's latency; it
 * would delay any other attempt further.
 */
static bool take_from_sibling(struct rr_core *core, struct rr_replica *replica)
{
	const struct rr_shard_map *shard = replica->shard;

	for (size_t i = 0; i < shard->n_replicas; i++) {
		struct rr_replica *other = shard->replicas[i];
		struct rr_live_attempt *attempt =
			g_queue_peek_head(&other->queues[RR_INTERACTIVE]);
		size_t index;

		if (other == replica || !attempt ||
		    other->in_flight < rr_replica_limit(core, other) ||
		    !can_take_over(replica, attempt, &index) ||
		    (replica->ejected_until_us > core->now_us &&
		     !rr_is_outlier_latency(
			     replica,
			     (double)(core->now_us - attempt->created_us))))
			continue;
		dequeue(attempt);
		rr_drop_replica(other);
		attempt->replica = rr_keep_replica(replica);
		attempt->replica_index = index;
		enqueue(attempt);
		return true;
	}
	return false;
}

static bool can_send(const struct rr_core *core,
		     const struct rr_replica *replica)
{
	return rr_is_replica_usable(core, replica) &&
	       !replica->draining_since_us &&
	       replica->shed_until_us <= core->now_us;
}

void rr_dispatch_queued_attempts(struct rr_context *ctx, struct rr_core *core,
				 struct rr_replica *replica)
{
	uint32_t limit;

	if (!can_send(core, replica)) {
		rr_return_queued_attempts(ctx, core, replica);
		return;
	}
	limit = rr_replica_limit(core, replica);
	while (replica->in_flight < limit) {
		struct rr_live_attempt *attempt = next_queued(replica, limit);

		if (attempt) {
			send_attempt(ctx, core, attempt);
			continue;
		}
		if (!replica->owned || replica->queues[RR_BATCH].length ||
		    !take_from_sibling(core, replica))
			return;
	}
}

void rr_handle_attempt_timeout(struct rr_context *ctx, struct rr_core *core,
			       uint64_t attempt_id)
{
	struct rr_live_attempt *attempt =
		g_hash_table_lookup(core->attempts, &attempt_id);
	struct rr_query *query;
	uint32_t task;

	if (!attempt || attempt->status != RR_ATTEMPT_SENT)
		return;
	query = attempt->query;
	task = attempt->task;
	rr_count(ctx, RR_N_ATTEMPTS_LOST, 1);
	query->tasks[task].tried_mask |= 1ull << (attempt->replica_index & 63);
	rr_record_loss(ctx, core, attempt->replica);
	rr_cancel_live_attempt(ctx, core, attempt);
	rr_handle_task_failure(ctx, core, query, task, RR_MISSING_LOST, false);
}
