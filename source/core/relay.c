/*
 * relay.c - at the instance that asks: shards whose replicas it holds no
 * connections to go to an owner, in one message an owner and query.
 */
#include "core/core-private.h"

#include <stdlib.h>
#include <string.h>

#define NO_OWNER SIZE_MAX
/* The owner stops so much before us, for its reply to come in time. */
#define RETURN_MARGIN_MS 3
#define RETURN_MARGIN_PART 20
/* Beyond an attempt's time-out: by then an owner has told its progress. */
#define RELAY_EXTRA_MS 20
/* A peer that let a relay time out is left alone for a while. */
#define FIRST_SILENCE_US (500 * 1000)
#define LONGEST_SILENCE_US (4 * G_USEC_PER_SEC)

static bool is_bad_owner(const struct rr_query *query, const char *instance)
{
	for (guint i = 0; i < query->excluded_owners->len; i++) {
		if (!strcmp(g_ptr_array_index(query->excluded_owners, i),
			    instance))
			return true;
	}
	return false;
}

static struct rr_outgoing_relay *find_batch(const struct rr_query *query,
					    const char *instance)
{
	for (guint i = 0; i < query->unsent_relays->len; i++) {
		struct rr_outgoing_relay *run =
			g_ptr_array_index(query->unsent_relays, i);

		if (!strcmp(run->instance, instance))
			return run;
	}
	return NULL;
}

/* An owner with a message under way to it already; else the least loaded. */
static size_t pick_owner(struct rr_core *core, const struct rr_query *query,
			 const struct rr_replica *replica)
{
	size_t best = NO_OWNER;
	uint32_t fewest = UINT32_MAX;

	for (size_t i = 0; i < replica->n_owners; i++) {
		size_t index = replica->owners[i];
		const char *instance = core->member_copies[index].instance;
		struct rr_peer *peer;

		if (!strcmp(instance, core->instance) ||
		    is_bad_owner(query, instance))
			continue;
		peer = rr_get_or_add_peer(core, instance);
		if (core->now_us < peer->backoff_until_us)
			continue;
		if (find_batch(query, instance))
			return index;
		if (peer->relays_in_flight < fewest) {
			fewest = peer->relays_in_flight;
			best = index;
		}
	}
	return best;
}

bool rr_is_replica_reachable(struct rr_core *core, const struct rr_query *query,
			     struct rr_replica *replica)
{
	if (replica->owned || query->origin)
		return true;
	return pick_owner(core, query, replica) != NO_OWNER;
}

static struct rr_outgoing_relay *start_batch(struct rr_core *core,
					     struct rr_query *query,
					     size_t owner, const char *zone)
{
	const struct rr_member_copy *member = &core->member_copies[owner];
	struct rr_outgoing_relay *run = g_new0(struct rr_outgoing_relay, 1);

	run->id = rr_next_id(core);
	run->query = query;
	run->instance = g_strdup(member->instance);
	run->address = g_strdup(member->address);
	run->incarnation = member->incarnation;
	run->zone = g_strdup(zone);
	run->tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	run->replicas = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_ptr_array_add(query->unsent_relays, run);
	return run;
}

void rr_add_task_to_relay(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query, uint32_t task,
			  size_t replica_index)
{
	struct rr_task *entry = &query->tasks[task];
	struct rr_replica *replica =
		query->map->shards[entry->shard].replicas[replica_index];
	size_t owner = pick_owner(core, query, replica);
	struct rr_outgoing_relay *run;

	if (owner == NO_OWNER) {
		rr_mark_task_failed(ctx, core, query, task,
				    RR_MISSING_UNREACHABLE_ZONE);
		return;
	}
	run = find_batch(query, core->member_copies[owner].instance);
	if (!run)
		run = start_batch(core, query, owner, replica->zone);
	g_array_append_val(run->tasks, task);
	g_array_append_val(run->replicas, replica_index);
	entry->relay = run;
}

static void fill_shard(const struct rr_query *query,
		       const struct rr_outgoing_relay *run, guint i,
		       struct rr_relay_shard *shard)
{
	uint32_t task = g_array_index(run->tasks, uint32_t, i);
	size_t index = g_array_index(run->replicas, size_t, i);
	const struct rr_shard_map *map =
		&query->map->shards[query->tasks[task].shard];

	shard->shard = g_strdup(map->config->name);
	shard->preferred_replica = g_strdup(map->replicas[index]->id);
	shard->oldest_version = map->replicas[index]->oldest_version;
	shard->newest_version = map->replicas[index]->newest_version;
}

/* Deadlines shrink hop by hop, so that the reply is back before ours. */
static uint32_t remaining_ms(const struct rr_core *core,
			     const struct rr_query *query)
{
	int64_t left_ms = (query->deadline_us - core->now_us) / 1000;
	int64_t margin_ms = MAX(RETURN_MARGIN_MS, left_ms / RETURN_MARGIN_PART);

	return (uint32_t)MAX(1, left_ms - margin_ms);
}

/* One more than is needed tells whether rows were cut. */
static uint32_t rows_needed(const struct rr_query *query)
{
	return query->kind == RR_LIST ? rr_list_row_limit(query) :
					query->max_rows;
}

static struct rr_relay *make_relay(struct rr_core *core,
				   const struct rr_query *query,
				   const struct rr_outgoing_relay *run)
{
	struct rr_relay *relay = g_new0(struct rr_relay, 1);

	relay->query_id = run->id;
	relay->kind = query->kind;
	relay->service = g_strdup(query->service->name);
	relay->request_id = g_strdup(query->request_id);
	relay->body = g_strdup(query->body);
	relay->idempotency_key = g_strdup(query->idempotency_key);
	relay->key_from = query->key_from;
	relay->key_to = query->key_to;
	relay->row_limit = run->row_limit + 1;
	relay->version = query->pin_version;
	relay->map_epoch = query->pin_epoch;
	relay->remaining_ms = remaining_ms(core, query);
	relay->batch = query->priority == RR_BATCH;
	relay->config_revision = rr_core_config_revision(core);
	relay->n_shards = run->tasks->len;
	relay->shards = g_new0(struct rr_relay_shard, relay->n_shards);
	for (guint i = 0; i < run->tasks->len; i++)
		fill_shard(query, run, i, &relay->shards[i]);
	return relay;
}

static void count_relay_sent(struct rr_context *ctx, struct rr_core *core,
			     struct rr_query *query,
			     struct rr_outgoing_relay *run)
{
	rr_count(ctx, RR_N_RELAYS_SENT, 1);
	rr_get_or_add_peer(core, run->instance)->relays_in_flight++;
	/* A message handed over counts as sent, never as "not run". */
	for (guint i = 0; i < run->tasks->len; i++) {
		uint32_t task = g_array_index(run->tasks, uint32_t, i);

		query->tasks[task].n_maybe_run++;
		query->n_maybe_run++;
	}
	rr_log(ctx, RR_LOG_DECISION, "relay",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id), RR_FIELD_U64("relay", run->id),
	       RR_FIELD_STRING("owner", run->instance),
	       RR_FIELD_STRING("zone", run->zone),
	       RR_FIELD_U64("shards", run->tasks->len));
}

static void set_relay_timer(struct rr_core *core,
			    const struct rr_outgoing_relay *run)
{
	int64_t timeout_ms = run->query->map->service->attempt_timeout_ms;

	rr_set_timer(core->timers,
		     core->now_us + (timeout_ms + RELAY_EXTRA_MS) * 1000,
		     RR_TIMER_RELAY_TIMEOUT, run->id, 0);
}

static void send_relay(struct rr_context *ctx, struct rr_core *core,
		       struct rr_query *query, struct rr_outgoing_relay *run)
{
	struct rr_peer_message *message =
		rr_prepare_peer_message(core, RR_PEER_RELAY);

	run->row_limit = rows_needed(query);
	run->version = query->pin_version;
	run->sent_us = core->now_us;
	message->to_incarnation = run->incarnation;
	message->relay = make_relay(core, query, run);
	g_ptr_array_add(query->relays, run);
	g_hash_table_insert(core->relays, &run->id, run);
	if (!query->at_most_once)
		set_relay_timer(core, run);
	count_relay_sent(ctx, core, query, run);
	rr_send_peer_message(ctx, core, run->instance, run->address, message);
}

void rr_flush_relays(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query)
{
	while (query->unsent_relays->len) {
		struct rr_outgoing_relay *run =
			g_ptr_array_steal_index(query->unsent_relays, 0);

		send_relay(ctx, core, query, run);
	}
}

/* Take a relay out of all tables; its tasks wait for it no more. */
static void end_relay(struct rr_core *core, struct rr_outgoing_relay *run)
{
	struct rr_query *query = run->query;

	for (guint i = 0; i < run->tasks->len; i++) {
		uint32_t task = g_array_index(run->tasks, uint32_t, i);

		if (query->tasks[task].relay == run)
			query->tasks[task].relay = NULL;
	}
	rr_get_or_add_peer(core, run->instance)->relays_in_flight--;
	g_hash_table_remove(core->relays, &run->id);
	g_ptr_array_remove(query->relays, run);
}

/* Whether the task still waits for this relay. */
static bool awaits(const struct rr_query *query,
		   const struct rr_outgoing_relay *run, uint32_t task)
{
	return query->tasks[task].relay == run;
}

static void note_silence(struct rr_core *core,
			 const struct rr_outgoing_relay *run)
{
	struct rr_peer *peer = rr_get_or_add_peer(core, run->instance);

	if (peer->last_contact_us > run->sent_us)
		return;
	peer->backoff_us = MIN(MAX(2 * peer->backoff_us, FIRST_SILENCE_US),
			       LONGEST_SILENCE_US);
	peer->backoff_until_us = core->now_us + peer->backoff_us;
}

static enum rr_missing_reason loss_reason(const struct rr_core *core,
					  const struct rr_outgoing_relay *run)
{
	return strcmp(run->zone, core->zone) ? RR_MISSING_UNREACHABLE_ZONE :
					       RR_MISSING_LOST;
}

void rr_fail_relay(struct rr_context *ctx, struct rr_core *core, uint64_t id,
		   const char *why)
{
	struct rr_outgoing_relay *run = g_hash_table_lookup(core->relays, &id);
	struct rr_query *query;
	enum rr_missing_reason reason;
	GArray *tasks;

	if (!run)
		return;
	query = run->query;
	reason = loss_reason(core, run);
	note_silence(core, run);
	g_ptr_array_add(query->excluded_owners, g_strdup(run->instance));
	rr_log(ctx, RR_LOG_DECISION, "relay-lost",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id), RR_FIELD_U64("relay", id),
	       RR_FIELD_STRING("owner", run->instance),
	       RR_FIELD_STRING("reason", why));
	tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (guint i = 0; i < run->tasks->len; i++) {
		uint32_t task = g_array_index(run->tasks, uint32_t, i);

		if (awaits(query, run, task))
			g_array_append_val(tasks, task);
	}
	end_relay(core, run);
	for (guint i = 0; i < tasks->len; i++)
		rr_handle_task_failure(ctx, core, query,
				       g_array_index(tasks, uint32_t, i),
				       reason, false);
	g_array_unref(tasks);
}

/*
 * An owner tells its progress well before this.  One that was heard since is
 * alive and has the shards in hand; to send them to another one too would
 * only add load.
 */
void rr_handle_relay_timeout(struct rr_context *ctx, struct rr_core *core,
			     uint64_t id)
{
	struct rr_outgoing_relay *run = g_hash_table_lookup(core->relays, &id);

	if (!run)
		return;
	if (rr_get_or_add_peer(core, run->instance)->last_contact_us >
	    run->sent_us)
		set_relay_timer(core, run);
	else
		rr_fail_relay(ctx, core, id, "timeout");
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Whether the owner will not answer any more: dead, forgotten, or replaced.
 * One that is leaving ends what it has, so its replies are waited for.
 */
static bool is_gone(const struct rr_outgoing_relay *run,
		    const struct rr_member_update *members, size_t n_members)
{
	for (size_t i = 0; i < n_members; i++) {
		if (strcmp(members[i].instance, run->instance))
			continue;
		return members[i].state == RR_MEMBER_DEAD ||
		       members[i].incarnation != run->incarnation;
	}
	return true;
}

void rr_fail_relays_to_dead(struct rr_context *ctx, struct rr_core *core)
{
	size_t n_members;
	struct rr_member_update *members =
		rr_list_members(core->members, &n_members);
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->relays);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_outgoing_relay *run = value;

		if (is_gone(run, members, n_members))
			g_array_append_val(gone, run->id);
	}
	g_free(members);
	/* A hash table has no order of its own; a run must repeat exactly. */
	if (gone->len)
		qsort(gone->data, gone->len, sizeof(uint64_t), compare_ids);
	for (guint i = 0; i < gone->len; i++)
		rr_fail_relay(ctx, core, g_array_index(gone, uint64_t, i),
			      "peer-gone");
	g_array_unref(gone);
}

void rr_cancel_relays(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query)
{
	g_ptr_array_set_size(query->unsent_relays, 0);
	while (query->relays->len) {
		struct rr_outgoing_relay *run =
			g_ptr_array_index(query->relays, 0);
		struct rr_peer_message *message =
			rr_prepare_peer_message(core, RR_PEER_RELAY_CANCEL);

		message->to_incarnation = run->incarnation;
		message->cancel_query_id = run->id;
		if (core->now_us >= query->deadline_us)
			note_silence(core, run);
		rr_send_peer_message(ctx, core, run->instance, run->address,
				     message);
		end_relay(core, run);
	}
}

void rr_exclude_owner(struct rr_query *query, const char *instance)
{
	if (!is_bad_owner(query, instance))
		g_ptr_array_add(query->excluded_owners, g_strdup(instance));
}

void rr_end_relay_if_complete(struct rr_core *core,
			      struct rr_outgoing_relay *run)
{
	for (guint i = 0; i < run->tasks->len; i++) {
		if (awaits(run->query, run,
			   g_array_index(run->tasks, uint32_t, i)))
			return;
	}
	end_relay(core, run);
}

/*
 * An owner stops before we do and says what it lacks; one that said nothing
 * by our deadline, and was not heard since, is out of reach.
 */
enum rr_missing_reason
rr_unanswered_relay_reason(const struct rr_core *core,
			   const struct rr_outgoing_relay *run)
{
	const struct rr_peer *peer =
		g_hash_table_lookup(core->peers, run->instance);

	if (!strcmp(run->zone, core->zone) ||
	    (peer && peer->last_contact_us > run->sent_us))
		return RR_MISSING_DEADLINE;
	return RR_MISSING_UNREACHABLE_ZONE;
}
