/*
 * relay.c - sending of relays to owners, their timeouts and cancellation.
 *
 * Shards whose replicas this instance holds no connections to are sent to an
 * owner, in one message per owner and query.
 */
#include "core/core-private.h"

#include <stdlib.h>
#include <string.h>

#define NO_OWNER SIZE_MAX
/*
 * The deadline sent to the owner is earlier than the query's by this margin or
 * by 1/RETURN_MARGIN_DIVISOR of the remaining time, whichever is longer, so
 * that the reply arrives in time.
 */
#define RETURN_MARGIN_MS 3
#define RETURN_MARGIN_DIVISOR 20
/*
 * Added to the attempt timeout for a relay: by then an owner has reported its
 * progress.
 */
#define RELAY_TIMEOUT_MARGIN_MS 20
/* Backoff of a peer after a relay to it timed out. */
#define MIN_BACKOFF_US (500 * 1000)
#define MAX_BACKOFF_US (4 * G_USEC_PER_SEC)

static bool is_excluded_owner(const struct rr_query *query,
			      const char *instance)
{
	for (guint i = 0; i < query->excluded_owners->len; i++) {
		if (!strcmp(g_ptr_array_index(query->excluded_owners, i),
			    instance))
			return true;
	}
	return false;
}

static struct rr_outgoing_relay *find_unsent_relay(const struct rr_query *query,
						   const char *instance)
{
	for (guint i = 0; i < query->unsent_relays->len; i++) {
		struct rr_outgoing_relay *outgoing =
			g_ptr_array_index(query->unsent_relays, i);

		if (!strcmp(outgoing->instance, instance))
			return outgoing;
	}
	return NULL;
}

/*
 * Choose an owner to which this query already has an unsent relay; otherwise
 * the one with the fewest relays in flight.
 */
static size_t choose_owner(struct rr_core *core, const struct rr_query *query,
			   const struct rr_replica *replica)
{
	size_t best = NO_OWNER;
	uint32_t fewest = UINT32_MAX;

	for (size_t i = 0; i < replica->n_owners; i++) {
		size_t index = replica->owners[i];
		const char *instance = core->member_copies[index].instance;
		struct rr_peer *peer;

		if (!strcmp(instance, core->instance) ||
		    is_excluded_owner(query, instance))
			continue;
		peer = rr_get_or_add_peer(core, instance);
		if (core->now_us < peer->backoff_until_us)
			continue;
		if (find_unsent_relay(query, instance))
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
	return choose_owner(core, query, replica) != NO_OWNER;
}

static struct rr_outgoing_relay *add_unsent_relay(struct rr_core *core,
						  struct rr_query *query,
						  size_t owner,
						  const char *zone)
{
	const struct rr_member_copy *member = &core->member_copies[owner];
	struct rr_outgoing_relay *outgoing =
		g_new0(struct rr_outgoing_relay, 1);

	outgoing->id = rr_next_id(core);
	outgoing->query = query;
	outgoing->instance = g_strdup(member->instance);
	outgoing->address = g_strdup(member->address);
	outgoing->incarnation = member->incarnation;
	outgoing->zone = g_strdup(zone);
	outgoing->tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	outgoing->replicas = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_ptr_array_add(query->unsent_relays, outgoing);
	return outgoing;
}

void rr_add_task_to_relay(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query, uint32_t task,
			  size_t replica_index)
{
	struct rr_task *entry = &query->tasks[task];
	struct rr_replica *replica =
		query->map->shards[entry->shard].replicas[replica_index];
	size_t owner = choose_owner(core, query, replica);
	struct rr_outgoing_relay *outgoing;

	if (owner == NO_OWNER) {
		rr_mark_task_failed(ctx, core, query, task,
				    RR_MISSING_UNREACHABLE_ZONE);
		return;
	}
	outgoing =
		find_unsent_relay(query, core->member_copies[owner].instance);
	if (!outgoing)
		outgoing = add_unsent_relay(core, query, owner, replica->zone);
	g_array_append_val(outgoing->tasks, task);
	g_array_append_val(outgoing->replicas, replica_index);
	entry->relay = outgoing;
}

static void fill_shard(const struct rr_query *query,
		       const struct rr_outgoing_relay *outgoing, guint i,
		       struct rr_relay_shard *shard)
{
	uint32_t task = g_array_index(outgoing->tasks, uint32_t, i);
	size_t index = g_array_index(outgoing->replicas, size_t, i);
	const struct rr_shard_map *map =
		&query->map->shards[query->tasks[task].shard];

	shard->shard = g_strdup(map->config->name);
	shard->preferred_replica = g_strdup(map->replicas[index]->id);
	shard->oldest_version = map->replicas[index]->oldest_version;
	shard->newest_version = map->replicas[index]->newest_version;
}

/*
 * Return the time for the owner to reply. Deadlines become shorter with each
 * hop, so that the reply arrives before the deadline of this query.
 */
static uint32_t remaining_ms(const struct rr_core *core,
			     const struct rr_query *query)
{
	int64_t query_remaining_ms = (query->deadline_us - core->now_us) / 1000;
	int64_t margin_ms = MAX(RETURN_MARGIN_MS,
				query_remaining_ms / RETURN_MARGIN_DIVISOR);

	return (uint32_t)MAX(1, query_remaining_ms - margin_ms);
}

/*
 * Return the number of rows needed. One more is requested, which shows whether
 * rows were truncated.
 */
static uint32_t required_rows(const struct rr_query *query)
{
	return query->kind == RR_LIST ? rr_list_row_limit(query) :
					query->max_rows;
}

static struct rr_relay *build_relay(struct rr_core *core,
				    const struct rr_query *query,
				    const struct rr_outgoing_relay *outgoing)
{
	struct rr_relay *relay = g_new0(struct rr_relay, 1);

	relay->query_id = outgoing->id;
	relay->kind = query->kind;
	relay->service = g_strdup(query->service->name);
	relay->request_id = g_strdup(query->request_id);
	relay->body = g_strdup(query->body);
	relay->idempotency_key = g_strdup(query->idempotency_key);
	relay->key_from = query->key_from;
	relay->key_to = query->key_to;
	relay->row_limit = outgoing->row_limit + 1;
	relay->version = query->pin_version;
	relay->map_epoch = query->pin_epoch;
	relay->remaining_ms = remaining_ms(core, query);
	relay->batch = query->priority == RR_BATCH;
	relay->config_revision = rr_core_config_revision(core);
	relay->n_shards = outgoing->tasks->len;
	relay->shards = g_new0(struct rr_relay_shard, relay->n_shards);
	for (guint i = 0; i < outgoing->tasks->len; i++)
		fill_shard(query, outgoing, i, &relay->shards[i]);
	return relay;
}

static void count_relay_sent(struct rr_context *ctx, struct rr_core *core,
			     struct rr_query *query,
			     struct rr_outgoing_relay *outgoing)
{
	rr_count(ctx, RR_N_RELAYS_SENT, 1);
	rr_get_or_add_peer(core, outgoing->instance)->relays_in_flight++;
	/*
	 * Once the message is passed on for sending, the tasks count as
	 * possibly run, never as "not run".
	 */
	for (guint i = 0; i < outgoing->tasks->len; i++) {
		uint32_t task = g_array_index(outgoing->tasks, uint32_t, i);

		query->tasks[task].n_maybe_run++;
		query->n_maybe_run++;
	}
	rr_log(ctx, RR_LOG_DECISION, "relay",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_U64("relay", outgoing->id),
	       RR_FIELD_STRING("owner", outgoing->instance),
	       RR_FIELD_STRING("zone", outgoing->zone),
	       RR_FIELD_U64("shards", outgoing->tasks->len));
}

static void set_relay_timer(struct rr_core *core,
			    const struct rr_outgoing_relay *outgoing)
{
	int64_t timeout_ms = outgoing->query->map->service->attempt_timeout_ms;

	rr_set_timer(core->timers,
		     core->now_us +
			     (timeout_ms + RELAY_TIMEOUT_MARGIN_MS) * 1000,
		     RR_TIMER_RELAY_TIMEOUT, outgoing->id, 0);
}

static void send_relay(struct rr_context *ctx, struct rr_core *core,
		       struct rr_query *query,
		       struct rr_outgoing_relay *outgoing)
{
	struct rr_peer_message *message =
		rr_prepare_peer_message(core, RR_PEER_RELAY);

	outgoing->row_limit = required_rows(query);
	outgoing->version = query->pin_version;
	outgoing->sent_us = core->now_us;
	message->to_incarnation = outgoing->incarnation;
	message->relay = build_relay(core, query, outgoing);
	g_ptr_array_add(query->relays, outgoing);
	g_hash_table_insert(core->relays, &outgoing->id, outgoing);
	if (!query->at_most_once)
		set_relay_timer(core, outgoing);
	count_relay_sent(ctx, core, query, outgoing);
	rr_send_peer_message(ctx, core, outgoing->instance, outgoing->address,
			     message);
}

void rr_flush_relays(struct rr_context *ctx, struct rr_core *core,
		     struct rr_query *query)
{
	while (query->unsent_relays->len) {
		struct rr_outgoing_relay *outgoing =
			g_ptr_array_steal_index(query->unsent_relays, 0);

		send_relay(ctx, core, query, outgoing);
	}
}

/* Remove a relay from all tables; its tasks no longer wait for it. */
static void end_relay(struct rr_core *core, struct rr_outgoing_relay *outgoing)
{
	struct rr_query *query = outgoing->query;

	for (guint i = 0; i < outgoing->tasks->len; i++) {
		uint32_t task = g_array_index(outgoing->tasks, uint32_t, i);

		if (query->tasks[task].relay == outgoing)
			query->tasks[task].relay = NULL;
	}
	rr_get_or_add_peer(core, outgoing->instance)->relays_in_flight--;
	g_hash_table_remove(core->relays, &outgoing->id);
	g_ptr_array_remove(query->relays, outgoing);
}

/* Return whether the task still waits for this relay. */
static bool is_task_waiting(const struct rr_query *query,
			    const struct rr_outgoing_relay *outgoing,
			    uint32_t task)
{
	return query->tasks[task].relay == outgoing;
}

static void back_off_unresponsive_peer(struct rr_core *core,
				       const struct rr_outgoing_relay *outgoing)
{
	struct rr_peer *peer = rr_get_or_add_peer(core, outgoing->instance);

	if (peer->last_contact_us > outgoing->sent_us)
		return;
	peer->backoff_us =
		MIN(MAX(2 * peer->backoff_us, MIN_BACKOFF_US), MAX_BACKOFF_US);
	peer->backoff_until_us = core->now_us + peer->backoff_us;
}

static enum rr_missing_reason
loss_reason(const struct rr_core *core,
	    const struct rr_outgoing_relay *outgoing)
{
	return strcmp(outgoing->zone, core->zone) ?
		       RR_MISSING_UNREACHABLE_ZONE :
		       RR_MISSING_LOST;
}

void rr_fail_relay(struct rr_context *ctx, struct rr_core *core, uint64_t id,
		   const char *reason)
{
	struct rr_outgoing_relay *outgoing =
		g_hash_table_lookup(core->relays, &id);
	struct rr_query *query;
	enum rr_missing_reason missing_reason;
	GArray *tasks;

	if (!outgoing)
		return;
	query = outgoing->query;
	missing_reason = loss_reason(core, outgoing);
	back_off_unresponsive_peer(core, outgoing);
	g_ptr_array_add(query->excluded_owners, g_strdup(outgoing->instance));
	rr_log(ctx, RR_LOG_DECISION, "relay-lost",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id), RR_FIELD_U64("relay", id),
	       RR_FIELD_STRING("owner", outgoing->instance),
	       RR_FIELD_STRING("reason", reason));
	tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (guint i = 0; i < outgoing->tasks->len; i++) {
		uint32_t task = g_array_index(outgoing->tasks, uint32_t, i);

		if (is_task_waiting(query, outgoing, task))
			g_array_append_val(tasks, task);
	}
	end_relay(core, outgoing);
	for (guint i = 0; i < tasks->len; i++)
		rr_handle_task_failure(ctx, core, query,
				       g_array_index(tasks, uint32_t, i),
				       missing_reason, false);
	g_array_unref(tasks);
}

/*
 * An owner reports its progress well before this timeout. If it sent any
 * message since, it is alive and processing the shards; sending them to another
 * owner as well would only add load.
 */
void rr_handle_relay_timeout(struct rr_context *ctx, struct rr_core *core,
			     uint64_t id)
{
	struct rr_outgoing_relay *outgoing =
		g_hash_table_lookup(core->relays, &id);

	if (!outgoing)
		return;
	if (rr_get_or_add_peer(core, outgoing->instance)->last_contact_us >
	    outgoing->sent_us)
		set_relay_timer(core, outgoing);
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
 * Return whether the owner cannot answer any more: it is dead, no longer in the
 * member list, or restarted. A leaving owner finishes what it has accepted, so
 * its replies are still awaited.
 */
static bool is_owner_gone(const struct rr_outgoing_relay *outgoing,
			  const struct rr_member_update *members,
			  size_t n_members)
{
	for (size_t i = 0; i < n_members; i++) {
		if (strcmp(members[i].instance, outgoing->instance))
			continue;
		return members[i].state == RR_MEMBER_DEAD ||
		       members[i].incarnation != outgoing->incarnation;
	}
	return true;
}

void rr_fail_relays_to_dead(struct rr_context *ctx, struct rr_core *core)
{
	size_t n_members;
	struct rr_member_update *members =
		rr_list_members(core->members, &n_members);
	GArray *gone_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->relays);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_outgoing_relay *outgoing = value;

		if (is_owner_gone(outgoing, members, n_members))
			g_array_append_val(gone_ids, outgoing->id);
	}
	g_free(members);
	/*
	 * The iteration order of a hash table is unspecified; sort the ids, so
	 * that runs are reproducible.
	 */
	if (gone_ids->len)
		qsort(gone_ids->data, gone_ids->len, sizeof(uint64_t),
		      compare_ids);
	for (guint i = 0; i < gone_ids->len; i++)
		rr_fail_relay(ctx, core, g_array_index(gone_ids, uint64_t, i),
			      "peer-gone");
	g_array_unref(gone_ids);
}

void rr_cancel_relays(struct rr_context *ctx, struct rr_core *core,
		      struct rr_query *query)
{
	g_ptr_array_set_size(query->unsent_relays, 0);
	while (query->relays->len) {
		struct rr_outgoing_relay *outgoing =
			g_ptr_array_index(query->relays, 0);
		struct rr_peer_message *message =
			rr_prepare_peer_message(core, RR_PEER_RELAY_CANCEL);

		message->to_incarnation = outgoing->incarnation;
		message->cancel_query_id = outgoing->id;
		if (core->now_us >= query->deadline_us)
			back_off_unresponsive_peer(core, outgoing);
		rr_send_peer_message(ctx, core, outgoing->instance,
				     outgoing->address, message);
		end_relay(core, outgoing);
	}
}

void rr_exclude_owner(struct rr_query *query, const char *instance)
{
	if (!is_excluded_owner(query, instance))
		g_ptr_array_add(query->excluded_owners, g_strdup(instance));
}

void rr_end_relay_if_complete(struct rr_core *core,
			      struct rr_outgoing_relay *outgoing)
{
	for (guint i = 0; i < outgoing->tasks->len; i++) {
		if (is_task_waiting(
			    outgoing->query, outgoing,
			    g_array_index(outgoing->tasks, uint32_t, i)))
			return;
	}
	end_relay(core, outgoing);
}

/*
 * An owner stops before the deadline of this query and reports missing shards.
 * If it reported nothing by the deadline and no message was received since, it
 * is unreachable.
 */
enum rr_missing_reason
rr_unanswered_relay_reason(const struct rr_core *core,
			   const struct rr_outgoing_relay *outgoing)
{
	const struct rr_peer *peer =
		g_hash_table_lookup(core->peers, outgoing->instance);

	if (!strcmp(outgoing->zone, core->zone) ||
	    (peer && peer->last_contact_us > outgoing->sent_us))
		return RR_MISSING_DEADLINE;
	return RR_MISSING_UNREACHABLE_ZONE;
}
