/*
 * relay-serve.c - serving of relays at an owner, an instance that holds
 * connections to the replicas.
 *
 * The shards that a peer requests are run as a query of this instance, which is
 * never relayed further. Their rows are merged and sent back.
 */
#include "core/core-private.h"

#include <string.h>

/*
 * Time that a non-idempotent relay is remembered, to detect duplicates of it.
 */
#define SERVED_RELAY_RETENTION_US (600 * G_USEC_PER_SEC)

/*
 * Progress is reported after at most this fraction of the attempt timeout, so
 * that the peer does not time out first; MIN_PROGRESS_US may make it later.
 */
#define PROGRESS_TIMEOUT_DIVISOR 4
#define MIN_PROGRESS_US 5000

struct served_relay {
	char *name;
	int64_t received_us;
};

static char *format_relay_name(const struct rr_peer_message *message,
			       uint64_t id)
{
	return g_strdup_printf("%s/%" G_GINT64_MODIFIER "x/%" G_GINT64_MODIFIER
			       "x",
			       message->from, message->from_incarnation, id);
}

static void expire_served_relays(struct rr_core *core)
{
	struct served_relay *oldest;

	while ((oldest = g_queue_peek_head(&core->served_relay_order)) &&
	       core->now_us - oldest->received_us > SERVED_RELAY_RETENTION_US) {
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

/*
 * Return whether the relay may run only once: the peer holds the claim for it.
 */
static bool is_at_most_once_relay(const struct rr_relay *relay)
{
	return relay->kind == RR_RESERVE || relay->idempotency_key;
}

/*
 * Return whether the relay was received before. A message can arrive twice; a
 * reservation that ran for each copy would be two reservations under one claim.
 * Reads are remembered only while they run, since running one twice is
 * harmless.
 */
static bool is_duplicate_relay(struct rr_core *core,
			       const struct rr_peer_message *message)
{
	struct served_relay *entry;
	char *name = format_relay_name(message, message->relay->query_id);

	expire_served_relays(core);
#ifdef RR_MUTANT_RELAY_TWICE
	g_hash_table_remove_all(core->served_relays);
	g_hash_table_remove_all(core->relay_origins);
#endif
	if (g_hash_table_contains(core->served_relays, name) ||
	    g_hash_table_contains(core->relay_origins, name)) {
		g_free(name);
		return true;
	}
	if (!is_at_most_once_relay(message->relay)) {
		g_free(name);
		return false;
	}
	entry = g_new(struct served_relay, 1);
	entry->name = name;
	entry->received_us = core->now_us;
	g_queue_push_tail(&core->served_relay_order, entry);
	g_hash_table_add(core->served_relays, name);
	return false;
}

static struct rr_peer_message *new_relay_reply(const struct rr_core *core,
					       uint64_t incarnation,
					       uint64_t id, size_t n_outcomes)
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

/*
 * Reject a relay: no attempt was sent for any shard, and the peer is notified
 * immediately.
 */
static void reject_relay(struct rr_context *ctx, struct rr_core *core,
			 const struct rr_peer_message *message,
			 const char *address, enum rr_missing_reason reason,
			 uint32_t retry_after_ms, const char *reject_reason)
{
	const struct rr_relay *relay = message->relay;
	struct rr_peer_message *reply =
		new_relay_reply(core, message->from_incarnation,
				relay->query_id, relay->n_shards);

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
	       RR_FIELD_STRING("reason", reject_reason));
	rr_send_peer_message(ctx, core, message->from, address, reply);
}

/*
 * Add tasks for the shards of the relay that this instance knows; the others
 * are recorded in unknown_shards.
 */
static void add_known_shards(struct rr_query *query,
			     const struct rr_relay *relay)
{
	/* Shards are listed in the order of the map: the next one is close. */
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

/*
 * Return the delay before progress is reported, well before the peer would
 * consider this owner dead.
 */
static int64_t progress_delay_us(const struct rr_query *query)
{
	const struct rr_service_config *config = query->map->service;
	int64_t delay_us = (int64_t)config->attempt_timeout_ms *
			   (1000 / PROGRESS_TIMEOUT_DIVISOR);
	int64_t typical_us =
		rr_sketch_quantile_us(&query->service->latencies, 0.95);

	if (typical_us)
		delay_us = MIN(delay_us, 2 * typical_us);
	return MAX(delay_us, MIN_PROGRESS_US);
}

static void start_relayed_query(struct rr_context *ctx, struct rr_core *core,
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
			     core->now_us + progress_delay_us(query),
			     RR_TIMER_PROGRESS, query->id, 0);
	g_hash_table_insert(core->relay_origins,
			    format_relay_name(message, relay->query_id),
			    &query->id);
	rr_schedule_query(core, query);
}

static const char *find_reject_reason(const struct rr_core *core,
				      const struct rr_peer_message *message,
				      const struct rr_service *service)
{
	if (core->draining)
		return "stopping";
	if (!service)
		return "unknown-service";
	/*
	 * A message queued for an instance that died reaches its replacement,
	 * which cannot know whether the reservation ran before.
	 */
	if (is_at_most_once_relay(message->relay) && !message->to_incarnation)
		return "no-incarnation";
	return NULL;
}

void rr_handle_relay(struct rr_context *ctx, struct rr_core *core,
		     const struct rr_peer_message *message)
{
	const struct rr_relay *relay = message->relay;
	const char *address;
	const char *reject_reason;
	uint64_t incarnation;
	uint32_t retry_after_ms = 0;
	struct rr_service *service;

	if (!relay || !relay->service || is_duplicate_relay(core, message)) {
		rr_count(ctx, RR_N_PEER_MESSAGES_STALE, 1);
		return;
	}
	if (!rr_find_member(core->members, message->from, &address,
			    &incarnation))
		address = "";
	rr_count(ctx, RR_N_RELAYS_RECEIVED, 1);
	service = rr_find_service_state(core, relay->service);
	reject_reason = find_reject_reason(core, message, service);
	if (reject_reason) {
		reject_relay(ctx, core, message, address, RR_MISSING_NO_REPLICA,
			     0, reject_reason);
		return;
	}
	reject_reason = rr_check_query_admission(
		core, service, relay->batch ? RR_BATCH : RR_INTERACTIVE,
		relay->remaining_ms, &retry_after_ms);
	if (reject_reason) {
		reject_relay(ctx, core, message, address, RR_MISSING_SHED,
			     retry_after_ms, reject_reason);
		return;
	}
	start_relayed_query(ctx, core, message, address, service);
}

void rr_handle_relay_cancel(struct rr_context *ctx, struct rr_core *core,
			    const struct rr_peer_message *message)
{
	char *name = format_relay_name(message, message->cancel_query_id);
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
	char *name = format_relay_name(&sender, query->origin_query_id);

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

/*
 * Set the ranges that replies to the task covered, within the requested range.
 */
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

static struct rr_rows *build_merged_rows(const struct rr_query *query)
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

static void fill_unknown_shards(const struct rr_query *query,
				struct rr_relay_outcome *outcomes)
{
	for (guint i = 0; i < query->unknown_shards->len; i++) {
		outcomes[i].shard =
			g_strdup(g_ptr_array_index(query->unknown_shards, i));
		outcomes[i].reason = RR_MISSING_NO_REPLICA;
		outcomes[i].not_run = true;
	}
}

/*
 * Fill in the outcomes not sent yet; those of unfinished tasks only if
 * `is_final`.
 */
static void fill_outcomes(const struct rr_core *core, struct rr_query *query,
			  struct rr_relay_reply *reply, bool is_final)
{
	size_t n = 0;

	for (size_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];

		if (task->outcome_sent ||
		    (!is_final && task->status != RR_TASK_COVERED))
			continue;
		fill_outcome(core, query, task, &reply->outcomes[n++]);
		task->outcome_sent = true;
	}
	if (is_final) {
		fill_unknown_shards(query, &reply->outcomes[n]);
		n += query->unknown_shards->len;
	}
	reply->n_outcomes = n;
}

static struct rr_peer_message *make_reply(const struct rr_core *core,
					  struct rr_query *query, bool is_final)
{
	struct rr_peer_message *message = new_relay_reply(
		core, query->origin_incarnation, query->origin_query_id,
		query->n_tasks + query->unknown_shards->len);
	struct rr_relay_reply *reply = message->relay_reply;

	reply->version = query->kind == RR_RESERVE ? query->result_version :
						     query->pin_version;
	reply->rows = build_merged_rows(query);
	reply->result = g_strdup(query->result);
	reply->retry_after_ms = query->retry_after_ms;
	fill_outcomes(core, query, reply, is_final);
	return message;
}

/*
 * Return whether there are rows of a partly covered task; they must not be sent
 * before the outcome of the task.
 */
static bool has_partial_rows(const struct rr_query *query)
{
	for (size_t i = 0; i < query->n_tasks; i++) {
		if (query->tasks[i].status != RR_TASK_COVERED &&
		    query->tasks[i].covered_ranges)
			return true;
	}
	return false;
}

/*
 * Report what is covered so far, even if nothing, when a shard is slow. Guards
 * against one slow shard delaying all others, and against the peer considering
 * a busy owner dead and sending all of its shards elsewhere.
 */
void rr_send_relay_progress(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query)
{
	struct rr_peer_message *message;

	if (query->stage != RR_QUERY_RUNNING || !query->origin)
		return;
	if (has_partial_rows(query)) {
		message = new_relay_reply(core, query->origin_incarnation,
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
