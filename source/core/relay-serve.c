/*
 * relay-serve.c - at the owner: a peer's shards are run as a query of ours
 * that is never relayed on, and their rows go back merged.
 */
#include "core/core-private.h"

#include <string.h>

/* So long a guarded relay is remembered, to know a second copy by. */
#define REMEMBER_US (600 * G_USEC_PER_SEC)

/* Progress is told after this part of an attempt's time-out, or sooner. */
#define PROGRESS_PART 4
#define LEAST_PROGRESS_US 5000

struct served_relay {
	char *name;
	int64_t at_us;
};

static char *relay_name(const struct rr_peer_message *message, uint64_t id)
{
	return g_strdup_printf("%s/%" G_GINT64_MODIFIER "x/%" G_GINT64_MODIFIER
			       "x",
			       message->from, message->from_incarnation, id);
}

static void forget_old_relays(struct rr_core *core)
{
	struct served_relay *oldest;

	while ((oldest = g_queue_peek_head(&core->served_relay_order)) &&
	       core->now_us - oldest->at_us > REMEMBER_US) {
		g_queue_pop_head(&core->served_relay_order);
		g_hash_table_remove(core->served_relays, oldest->name);
		g_free(oldest->name);
		g_free(oldest);
	}
}

void rr_free_served_relays(struct rr_core *core)
{
	struct served_relay *entry;

	while ((entry = g_queue_pop_head(&core->served_relay_order))) {
		g_free(entry->name);
		g_free(entry);
	}
	g_hash_table_destroy(core->served_relays);
}

/* It may run once only: the peer holds the claim for it. */
static bool is_guarded_relay(const struct rr_relay *relay)
{
	return relay->kind == RR_RESERVE || relay->idempotency_key;
}

/*
 * Whether the relay was taken before.  A message can come twice; a
 * reservation run for each copy would be two reservations under one claim.
 * Reads are remembered only while they run: a second run of one is no harm.
 */
static bool seen_before(struct rr_core *core,
			const struct rr_peer_message *message)
{
	struct served_relay *entry;
	char *name = relay_name(message, message->relay->query_id);

	forget_old_relays(core);
#ifdef RR_MUTANT_RELAY_TWICE
	g_hash_table_remove_all(core->served_relays);
	g_hash_table_remove_all(core->relay_origins);
#endif
	if (g_hash_table_contains(core->served_relays, name) ||
	    g_hash_table_contains(core->relay_origins, name)) {
		g_free(name);
		return true;
	}
	if (!is_guarded_relay(message->relay)) {
		g_free(name);
		return false;
	}
	entry = g_new(struct served_relay, 1);
	entry->name = name;
	entry->at_us = core->now_us;
	g_queue_push_tail(&core->served_relay_order, entry);
	g_hash_table_add(core->served_relays, name);
	return false;
}

static struct rr_peer_message *start_reply(const struct rr_core *core,
					   uint64_t incarnation, uint64_t id,
					   size_t n_outcomes)
{
	struct rr_peer_message *message =
		rr_prepare_peer_message(core, RR_PEER_RELAY_REPLY);

	message->to_incarnation = incarnation;
	message->relay_reply = g_new0(struct rr_relay_reply, 1);
	message->relay_reply->query_id = id;
	message->relay_reply->n_outcomes = n_outcomes;
	message->relay_reply->outcomes =
		g_new0(struct rr_relay_outcome, MAX(1, n_outcomes));
	return message;
}

/* Nothing was sent for any shard, and the peer is told so at once. */
static void refuse_relay(struct rr_context *ctx, struct rr_core *core,
			 const struct rr_peer_message *message,
			 const char *address, enum rr_missing_reason reason,
			 uint32_t retry_after_ms, const char *why)
{
	const struct rr_relay *relay = message->relay;
	struct rr_peer_message *reply =
		start_reply(core, message->from_incarnation, relay->query_id,
			    relay->n_shards);

	reply->relay_reply->retry_after_ms = retry_after_ms;
	for (size_t i = 0; i < relay->n_shards; i++) {
		struct rr_relay_outcome *outcome =
			&reply->relay_reply->outcomes[i];

		outcome->shard = g_strdup(relay->shards[i].shard);
		outcome->reason = reason;
		outcome->not_run = true;
	}
	rr_log(ctx, RR_LOG_DECISION, "refuse-relay",
	       RR_FIELD_STRING("request", relay->request_id),
	       RR_FIELD_STRING("peer", message->from),
	       RR_FIELD_STRING("reason", why));
	rr_send_peer_message(ctx, core, message->from, address, reply);
}

/* Only these of the relay's shards are run: the ones known here. */
static void add_known_shards(struct rr_query *query,
			     const struct rr_relay *relay)
{
	/* Shards come in the map's order: the next is not far. */
	size_t guess = 0;

	for (size_t i = 0; i < relay->n_shards; i++) {
		size_t shard = rr_find_shard_by_name(
			query->map, relay->shards[i].shard, guess);
		const struct rr_shard_map *map;
		struct rr_task *task;

		if (shard == query->map->n_shards) {
			g_ptr_array_add(query->unknown_shards,
					g_strdup(relay->shards[i].shard));
			continue;
		}
		guess = shard + 1;
		rr_add_tasks(query, shard, 1);
		map = &query->map->shards[shard];
		task = &query->tasks[query->n_tasks - 1];
		task->requested_replica = RR_NO_REPLICA;
		for (size_t j = 0; j < map->n_replicas; j++) {
			if (!g_strcmp0(map->replicas[j]->id,
				       relay->shards[i].preferred_replica))
				task->requested_replica = j;
		}
	}
}

/* Well before the peer would take this owner for dead. */
static int64_t progress_after_us(const struct rr_query *query)
{
	const struct rr_service_config *config = query->map->service;
	int64_t latest_us =
		(int64_t)config->attempt_timeout_ms * (1000 / PROGRESS_PART);
	int64_t usual_us =
		rr_sketch_quantile_us(&query->service->latencies, 0.95);

	if (usual_us)
		latest_us = MIN(latest_us, 2 * usual_us);
	return MAX(latest_us, LEAST_PROGRESS_US);
}

static void run_relay(struct rr_context *ctx, struct rr_core *core,
		      const struct rr_peer_message *message,
		      const char *address, struct rr_service *service)
{
	const struct rr_relay *relay = message->relay;
	struct rr_request request = {
		.kind = relay->kind,
		.request_id = relay->request_id,
		.service = relay->service,
		.body = relay->body,
		.key = relay->key_from,
		.idempotency_key = relay->idempotency_key,
		.deadline_ms = relay->remaining_ms,
		.priority = relay->batch ? RR_BATCH : RR_INTERACTIVE,
	};
	struct rr_query *query = rr_new_query(core, service, &request);

	query->origin = g_strdup(message->from);
	query->origin_address = g_strdup(address);
	query->origin_incarnation = message->from_incarnation;
	query->origin_query_id = relay->query_id;
	query->row_limit = MAX(1, relay->row_limit);
	query->max_rows = query->row_limit;
	query->key_from = relay->key_from;
	query->key_to = relay->key_to;
	query->pin_version = relay->version;
	query->pin_epoch = relay->map_epoch;
	query->unknown_shards = g_ptr_array_new_with_free_func(g_free);
	add_known_shards(query, relay);
	if (!query->at_most_once)
		rr_set_timer(core->timers,
			     core->now_us + progress_after_us(query),
			     RR_TIMER_PROGRESS, query->id, 0);
	g_hash_table_insert(core->relay_origins,
			    relay_name(message, relay->query_id), &query->id);
	rr_schedule_query(core, query);
}

static const char *refuse_outright(const struct rr_core *core,
				   const struct rr_peer_message *message,
				   const struct rr_service *service)
{
	if (core->draining)
		return "stopping";
	if (!service)
		return "unknown-service";
	/*
	 * A message queued for an instance that died reaches its replacement,
	 * which can't know whether the reservation ran before.
	 */
	if (is_guarded_relay(message->relay) && !message->to_incarnation)
		return "no-incarnation";
	return NULL;
}

void rr_handle_relay(struct rr_context *ctx, struct rr_core *core,
		     const struct rr_peer_message *message)
{
	const struct rr_relay *relay = message->relay;
	const char *address;
	const char *why;
	uint64_t incarnation;
	uint32_t retry_after_ms = 0;
	struct rr_service *service;

	if (!relay || !relay->service || seen_before(core, message)) {
		rr_count(ctx, RR_N_PEER_MESSAGES_STALE, 1);
		return;
	}
	if (!rr_find_member(core->members, message->from, &address,
			    &incarnation))
		address = "";
	rr_count(ctx, RR_N_RELAYS_RECEIVED, 1);
	service = rr_find_service_state(core, relay->service);
	why = refuse_outright(core, message, service);
	if (why) {
		refuse_relay(ctx, core, message, address, RR_MISSING_NO_REPLICA,
			     0, why);
		return;
	}
	why = rr_check_query_admission(core, service,
				       relay->batch ? RR_BATCH : RR_INTERACTIVE,
				       relay->remaining_ms, &retry_after_ms);
	if (why) {
		refuse_relay(ctx, core, message, address, RR_MISSING_SHED,
			     retry_after_ms, why);
		return;
	}
	run_relay(ctx, core, message, address, service);
}

void rr_handle_relay_cancel(struct rr_context *ctx, struct rr_core *core,
			    const struct rr_peer_message *message)
{
	char *name = relay_name(message, message->cancel_query_id);
	uint64_t *id = g_hash_table_lookup(core->relay_origins, name);
	struct rr_query *query = id ? rr_find_query(core, *id) : NULL;

	g_free(name);
	if (!query)
		return;
	if (query->at_most_once)
		rr_cancel_at_most_once(ctx, core, query);
	else
		rr_end_query(ctx, core, query);
}

void rr_remove_relay_origin(struct rr_core *core, const struct rr_query *query)
{
	struct rr_peer_message sender = {
		.from = query->origin,
		.from_incarnation = query->origin_incarnation,
	};
	char *name = relay_name(&sender, query->origin_query_id);

	g_hash_table_remove(core->relay_origins, name);
	g_free(name);
}

static void fill_versions(const struct rr_core *core,
			  const struct rr_shard_map *shard,
			  struct rr_relay_outcome *outcome)
{
	for (size_t i = 0; i < shard->n_replicas; i++) {
		const struct rr_replica *replica = shard->replicas[i];

		if (!rr_is_replica_usable(core, replica) ||
		    replica->newest_version <= outcome->newest_version)
			continue;
		outcome->newest_version = replica->newest_version;
		outcome->oldest_version = replica->oldest_version;
	}
}

/* The ranges really covered by replies to the task, within what was asked. */
static void fill_ranges(const struct rr_query *query,
			const struct rr_task *task,
			struct rr_relay_outcome *outcome)
{
	GArray *ranges = g_array_new(FALSE, FALSE, sizeof(struct rr_key_range));

	for (guint i = 0; task->covered_ranges && i < task->covered_ranges->len;
	     i++) {
		struct rr_key_range range = g_array_index(
			task->covered_ranges, struct rr_key_range, i);

		range.from = MAX(range.from, query->key_from);
		range.to = MIN(range.to, query->key_to);
		if (range.from < range.to)
			g_array_append_val(ranges, range);
	}
	if (outcome->covered && query->kind != RR_RESERVE) {
		struct rr_key_range range = rr_task_range(query, task);

		g_array_append_val(ranges, range);
	}
	outcome->n_ranges = ranges->len;
	outcome->ranges = (struct rr_key_range *)g_array_free(ranges, FALSE);
}

static void fill_outcome(const struct rr_core *core,
			 const struct rr_query *query,
			 const struct rr_task *task,
			 struct rr_relay_outcome *outcome)
{
	const struct rr_shard_map *shard = &query->map->shards[task->shard];

	outcome->shard = g_strdup(shard->config->name);
	outcome->covered = task->status == RR_TASK_COVERED;
	outcome->reason = outcome->covered ? RR_MISSING_NONE : task->reason;
	outcome->not_run = !task->n_maybe_run && !outcome->covered;
	outcome->attempts = task->attempts;
	fill_versions(core, shard, outcome);
	fill_ranges(query, task, outcome);
}

static struct rr_rows *merged_rows(const struct rr_query *query)
{
	GArray *sorted = rr_sorted_rows(query, query->row_limit);
	struct rr_rows *rows = rr_new_rows();

	for (guint i = 0; i < sorted->len; i++) {
		struct rr_answer_row *row =
			&g_array_index(sorted, struct rr_answer_row, i);
		size_t length;
		const char *json = rr_row_json(row->rows, row->index, &length);

		rr_append_row(rows, rr_row_key(row->rows, row->index), json,
			      length);
	}
	g_array_unref(sorted);
	return rows;
}

static void fill_unknown(const struct rr_query *query,
			 struct rr_relay_outcome *outcomes)
{
	for (guint i = 0; i < query->unknown_shards->len; i++) {
		outcomes[i].shard =
			g_strdup(g_ptr_array_index(query->unknown_shards, i));
		outcomes[i].reason = RR_MISSING_NO_REPLICA;
		outcomes[i].not_run = true;
	}
}

/* Fill in the outcomes not told yet; of unsettled tasks only if `last`. */
static void fill_outcomes(const struct rr_core *core, struct rr_query *query,
			  struct rr_relay_reply *reply, bool last)
{
	size_t n = 0;

	for (size_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];

		if (task->outcome_sent ||
		    (!last && task->status != RR_TASK_COVERED))
			continue;
		fill_outcome(core, query, task, &reply->outcomes[n++]);
		task->outcome_sent = true;
	}
	if (last) {
		fill_unknown(query, &reply->outcomes[n]);
		n += query->unknown_shards->len;
	}
	reply->n_outcomes = n;
}

static struct rr_peer_message *make_reply(const struct rr_core *core,
					  struct rr_query *query, bool last)
{
	struct rr_peer_message *message = start_reply(
		core, query->origin_incarnation, query->origin_query_id,
		query->n_tasks + query->unknown_shards->len);
	struct rr_relay_reply *reply = message->relay_reply;

	reply->version = query->kind == RR_RESERVE ? query->result_version :
						     query->pin_version;
	reply->rows = merged_rows(query);
	reply->result = g_strdup(query->result);
	reply->retry_after_ms = query->retry_after_ms;
	fill_outcomes(core, query, reply, last);
	return message;
}

/* Rows of a task with a hole can't go before its outcome does. */
static bool has_part_rows(const struct rr_query *query)
{
	for (size_t i = 0; i < query->n_tasks; i++) {
		if (query->tasks[i].status != RR_TASK_COVERED &&
		    query->tasks[i].covered_ranges)
			return true;
	}
	return false;
}

/*
 * Some shard is slow: tell what is covered so far, be it nothing.  Guards
 * against one straggler holding back all the rest, and against the peer
 * taking a busy owner for a dead one and sending all of it elsewhere.
 */
void rr_send_relay_progress(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query)
{
	struct rr_peer_message *message;

	if (query->stage != RR_QUERY_RUNNING || !query->origin)
		return;
	if (has_part_rows(query)) {
		message = start_reply(core, query->origin_incarnation,
				      query->origin_query_id, 0);
	} else {
		message = make_reply(core, query, false);
		rr_clear_row_blocks(query);
	}
	rr_send_peer_message(ctx, core, query->origin, query->origin_address,
			     message);
}

void rr_send_relay_reply(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query)
{
	struct rr_peer_message *message = make_reply(core, query, true);

	rr_log(ctx, RR_LOG_DECISION, "finish-relay",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_STRING("peer", query->origin),
	       RR_FIELD_U64("covered", query->n_covered),
	       RR_FIELD_U64("shards", query->n_tasks),
	       RR_FIELD_U64("attempts", query->attempts));
	query->answered = true;
	rr_send_peer_message(ctx, core, query->origin, query->origin_address,
			     message);
	rr_end_query(ctx, core, query);
}
