/*
 * core.c - event functions of the core.
 *
 * Each event updates the state and schedules the queries and replicas that it
 * affected.  At its end the scheduled queries are advanced and queued attempts
 * are sent to the scheduled replicas.
 */
#include "core/core-private.h"

#include <string.h>

/*
 * An id is the incarnation shifted left by this number of bits (its high bits
 * are lost), plus a counter.
 */
#define ID_COUNTER_BITS 24

uint64_t rr_next_id(struct rr_core *core)
{
	/*
	 * The incarnation is usually the start time of the instance in
	 * microseconds, so ids of two incarnations collide only if one issued
	 * 2^24 ids per microsecond.  A reply to an attempt of an earlier
	 * incarnation therefore matches no attempt and is dropped.
	 */
#ifdef RR_MUTANT_IDS_REPEAT
	return ++core->ids_issued;
#endif
	return core->id_base + ++core->ids_issued;
}

void rr_schedule_dispatch(struct rr_core *core, struct rr_replica *replica)
{
	if (replica->dispatch_scheduled)
		return;
	replica->dispatch_scheduled = true;
	g_ptr_array_add(core->replicas_to_dispatch, rr_keep_replica(replica));
}

static void send_member_message(void *data, const char *instance,
				const char *address,
				struct rr_peer_message *message)
{
	struct rr_core *core = data;

	message->config_revision = rr_core_config_revision(core);
	rr_count(core->ctx, RR_N_PEER_MESSAGES_SENT, 1);
	core->actions.send_peer_message(core->actions.data, instance, address,
					message);
}

static void mark_members_changed(void *data)
{
	struct rr_core *core = data;

	core->members_changed = true;
}

static struct rr_members *make_members(struct rr_context *ctx,
				       struct rr_core *core)
{
	struct rr_members_options options = {
		.instance = core->instance,
		.zone = core->zone,
		.address = core->peer_address,
		.incarnation = core->incarnation,
		.send = send_member_message,
		.changed = mark_members_changed,
		.data = core,
	};

	return rr_new_members(ctx, &options, core->now_us);
}

static void make_tables(struct rr_core *core)
{
	core->timers = rr_new_timers();
	core->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->relays = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->queries_by_claim = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	core->scheduled_queries = g_ptr_array_new();
	core->replicas_to_dispatch = g_ptr_array_new();
	core->services = g_hash_table_new(g_str_hash, g_str_equal);
	core->service_list = g_ptr_array_new();
	core->replicas = g_hash_table_new(g_str_hash, g_str_equal);
	core->replicas_by_number =
		g_hash_table_new(g_int64_hash, g_int64_equal);
	core->replica_list = g_ptr_array_new();
	core->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    rr_free_peer);
	core->relay_origins =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	core->served_relays = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&core->served_relay_order);
}

struct rr_core *rr_new_core(struct rr_context *ctx,
			    const struct rr_core_options *options,
			    int64_t now_us)
{
	struct rr_core *core = g_new0(struct rr_core, 1);

	core->ctx = ctx;
	core->now_us = now_us;
	core->instance = g_strdup(options->instance);
	core->zone = g_strdup(options->zone);
	core->peer_address = g_strdup(options->peer_address);
	core->incarnation = options->incarnation;
	core->actions = options->actions;
	core->store = options->store;
	core->switches = options->switches;
	core->id_base = options->incarnation << ID_COUNTER_BITS;
	core->members_changed = true;
	make_tables(core);
	core->members = make_members(ctx, core);
	rr_refresh_member_copies(core);
	return core;
}

static void free_queries(struct rr_core *core)
{
	GList *queries = g_hash_table_get_values(core->queries);

	for (GList *item = queries; item; item = item->next)
		rr_discard_query(core, item->data);
	g_list_free(queries);
}

static void free_services(struct rr_core *core)
{
	for (guint i = 0; i < core->replica_list->len; i++) {
		struct rr_replica *replica =
			g_ptr_array_index(core->replica_list, i);

		rr_retire_replica(core, replica);
		rr_drop_replica(replica);
	}
	for (guint i = 0; i < core->replicas_to_dispatch->len; i++)
		rr_drop_replica(
			g_ptr_array_index(core->replicas_to_dispatch, i));
	for (guint i = 0; i < core->service_list->len; i++) {
		struct rr_service *service =
			g_ptr_array_index(core->service_list, i);

		rr_drop_service_map(service->map);
		g_free(service->name);
		g_free(service);
	}
}

void rr_drop_core(struct rr_core *core)
{
	if (!core)
		return;
	free_queries(core);
	free_services(core);
	rr_drop_ledger(core->ledger);
	rr_drop_members(core->members);
	rr_clear_member_copies(core);
	rr_drop_timers(core->timers);
	rr_free_served_relays(core);
	g_hash_table_destroy(core->relay_origins);
	g_hash_table_destroy(core->peers);
	g_hash_table_destroy(core->queries);
	g_hash_table_destroy(core->attempts);
	g_hash_table_destroy(core->relays);
	g_hash_table_destroy(core->queries_by_claim);
	g_hash_table_destroy(core->services);
	g_hash_table_destroy(core->replicas);
	g_hash_table_destroy(core->replicas_by_number);
	g_ptr_array_unref(core->scheduled_queries);
	g_ptr_array_unref(core->replicas_to_dispatch);
	g_ptr_array_unref(core->service_list);
	g_ptr_array_unref(core->replica_list);
	rr_drop_config(core->config);
	g_free(core->config_record);
	g_free(core->instance);
	g_free(core->zone);
	g_free(core->peer_address);
	g_free(core);
}

static void advance_scheduled_queries(struct rr_context *ctx,
				      struct rr_core *core)
{
	for (guint i = 0; i < core->scheduled_queries->len; i++) {
		struct rr_query *query =
			g_ptr_array_index(core->scheduled_queries, i);

		query->scheduled = false;
		rr_advance_query(ctx, core, query);
		if (query->stage == RR_QUERY_DONE && !query->scheduled)
			rr_free_query(core, query);
	}
	g_ptr_array_set_size(core->scheduled_queries, 0);
}

static void dispatch_scheduled_replicas(struct rr_context *ctx,
					struct rr_core *core)
{
	for (guint i = 0; i < core->replicas_to_dispatch->len; i++) {
		struct rr_replica *replica =
			g_ptr_array_index(core->replicas_to_dispatch, i);

		replica->dispatch_scheduled = false;
		rr_dispatch_queued_attempts(ctx, core, replica);
		rr_drop_replica(replica);
	}
	g_ptr_array_set_size(core->replicas_to_dispatch, 0);
}

static void update_members(struct rr_context *ctx, struct rr_core *core)
{
	if (!core->members_changed)
		return;
	rr_refresh_member_copies(core);
	rr_fail_relays_to_dead(ctx, core);
	rr_expire_peers(core);
	rr_poll_owned_replicas(ctx, core);
	rr_set_gauge(ctx, RR_G_MEMBERS, core->n_members);
}

/*
 * Tick the ledger if it is due: it passes results to the core from its tick,
 * which may be due at the end of the event that called it.
 */
static void tick_due_ledger(struct rr_context *ctx, struct rr_core *core)
{
	if (core->ledger && rr_ledger_wake_us(core->ledger) <= core->now_us)
		rr_tick_ledger(ctx, core->ledger, core->now_us);
}

void rr_run_scheduled_work(struct rr_context *ctx, struct rr_core *core)
{
	do {
		tick_due_ledger(ctx, core);
		update_members(ctx, core);
		advance_scheduled_queries(ctx, core);
		dispatch_scheduled_replicas(ctx, core);
	} while (core->scheduled_queries->len ||
		 core->replicas_to_dispatch->len || core->members_changed);
	rr_set_gauge(ctx, RR_G_OPEN_QUERIES, g_hash_table_size(core->queries));
	rr_set_gauge(ctx, RR_G_READY, rr_core_is_ready(core, NULL));
}

/*
 * Set the context and time of an event; the core's time does not go back even
 * if the carrier's clock does.
 */
static void begin_event(struct rr_context *ctx, struct rr_core *core,
			int64_t now_us)
{
	core->ctx = ctx;
	core->now_us = MAX(core->now_us, now_us);
}

static void fire_attempt_timer(struct rr_context *ctx, struct rr_core *core,
			       const struct rr_timer *timer)
{
	struct rr_live_attempt *attempt =
		g_hash_table_lookup(core->attempts, &timer->id);

	if (timer->kind == RR_TIMER_ATTEMPT_TIMEOUT)
		rr_handle_attempt_timeout(ctx, core, timer->id);
	else if (attempt)
		rr_hedge_attempt(ctx, core, attempt);
}

static void fire_replica_timer(struct rr_context *ctx, struct rr_core *core,
			       const struct rr_timer *timer)
{
	struct rr_replica *replica = rr_find_replica_by_number(core, timer->id);

	if (!replica)
		return;
	if (timer->kind == RR_TIMER_POLL)
		rr_handle_poll_timer(ctx, core, replica);
	else if (timer->kind == RR_TIMER_POLL_TIMEOUT)
		rr_handle_poll_timeout(ctx, core, replica);
	else
		rr_schedule_dispatch(core, replica);
}

static void fire_retry(struct rr_core *core, struct rr_query *query,
		       uint32_t index)
{
	if (index >= query->n_tasks ||
	    query->tasks[index].status != RR_TASK_BACKOFF)
		return;
	rr_enqueue_task(query, index);
	rr_schedule_query(core, query);
}

static void fire_query_timer(struct rr_context *ctx, struct rr_core *core,
			     const struct rr_timer *timer)
{
	struct rr_query *query = rr_find_query(core, timer->id);

	if (!query)
		return;
	switch (timer->kind) {
	case RR_TIMER_DEADLINE:
		rr_end_query_at_deadline(ctx, core, query);
		return;
	case RR_TIMER_COVERAGE_WAIT:
		rr_end_query_at_min_coverage(ctx, core, query);
		return;
	case RR_TIMER_PROGRESS:
		rr_send_relay_progress(ctx, core, query);
		return;
	case RR_TIMER_LINGER:
		rr_end_lingering_query(ctx, core, query);
		return;
	default:
		fire_retry(core, query, timer->index);
		return;
	}
}

static void fire_timer(struct rr_context *ctx, struct rr_core *core,
		       const struct rr_timer *timer)
{
	switch (timer->kind) {
	case RR_TIMER_DEADLINE:
	case RR_TIMER_COVERAGE_WAIT:
	case RR_TIMER_LINGER:
	case RR_TIMER_RETRY:
	case RR_TIMER_PROGRESS:
		fire_query_timer(ctx, core, timer);
		return;
	case RR_TIMER_HEDGE:
	case RR_TIMER_ATTEMPT_TIMEOUT:
		fire_attempt_timer(ctx, core, timer);
		return;
	case RR_TIMER_RELAY_TIMEOUT:
		rr_handle_relay_timeout(ctx, core, timer->id);
		return;
	case RR_TIMER_POLL:
	case RR_TIMER_POLL_TIMEOUT:
	case RR_TIMER_SEND_QUEUED:
		fire_replica_timer(ctx, core, timer);
		return;
	case RR_TIMER_CONFIG_REQUEST:
		rr_fire_config_request(ctx, core, timer->id);
		return;
	case RR_TIMER_GATE_ADVANCE:
	case RR_TIMER_GATE_HEDGE:
	case RR_TIMER_GATE_PROBE:
	case RR_TIMER_GATE_ZONE_PROBE:
	case RR_TIMER_GATE_UNLISTED_GRACE:
	case RR_TIMER_GATE_CLAIM_TIMEOUT:
	case RR_TIMER_ALLOWANCE_SLOW:
	case RR_TIMER_ALLOWANCE_TIMEOUT:
	case RR_TIMER_ALLOWANCE_SERVE:
	case RR_TIMER_ALLOWANCE_WAIT:
	case RR_TIMER_ALLOWANCE_TAKER:
	case RR_TIMER_ALLOWANCE_PROBE:
		/*
		 * These timers belong to the gate (gate.c), which has a timer
		 * queue of its own.
		 */
		rr_invariant("own-timers", false);
		return;
	}
}

void rr_core_tick(struct rr_context *ctx, struct rr_core *core, int64_t now_us)
{
	struct rr_timer timer;

	begin_event(ctx, core, now_us);
	while (rr_pop_timer(core->timers, core->now_us, &timer))
		fire_timer(ctx, core, &timer);
	if (core->ledger)
		rr_tick_ledger(ctx, core->ledger, core->now_us);
	rr_tick_members(ctx, core->members, core->now_us);
	rr_run_scheduled_work(ctx, core);
}

int64_t rr_core_wake_us(const struct rr_core *core)
{
	int64_t wake_us = rr_next_timer_us(core->timers);

	if (core->ledger)
		wake_us = MIN(wake_us, rr_ledger_wake_us(core->ledger));
	return MIN(wake_us, rr_members_wake_us(core->members));
}

void rr_core_handle_reply(struct rr_context *ctx, struct rr_core *core,
			  int64_t now_us, const struct rr_reply *reply)
{
	begin_event(ctx, core, now_us);
	rr_handle_reply(ctx, core, reply);
	rr_run_scheduled_work(ctx, core);
}

void rr_core_handle_health(struct rr_context *ctx, struct rr_core *core,
			   int64_t now_us, const struct rr_health *health)
{
	begin_event(ctx, core, now_us);
	rr_handle_health_reply(ctx, core, health);
	rr_run_scheduled_work(ctx, core);
}

void rr_core_handle_store_reply(struct rr_context *ctx, struct rr_core *core,
				int64_t now_us,
				const struct rr_store_reply *reply)
{
	begin_event(ctx, core, now_us);
	if (core->ledger)
		rr_handle_ledger_reply(ctx, core->ledger, core->now_us, reply);
	rr_run_scheduled_work(ctx, core);
}

static void dispatch_peer_message(struct rr_context *ctx, struct rr_core *core,
				  const struct rr_peer_message *message)
{
	switch (message->kind) {
	case RR_PEER_PING:
	case RR_PEER_ACK:
	case RR_PEER_PING_REQUEST:
		return;
	case RR_PEER_RELAY:
		rr_handle_relay(ctx, core, message);
		return;
	case RR_PEER_RELAY_REPLY:
		rr_handle_relay_reply(ctx, core, message);
		return;
	case RR_PEER_RELAY_CANCEL:
		rr_handle_relay_cancel(ctx, core, message);
		return;
	case RR_PEER_CONFIG_GET:
		rr_answer_config_get(ctx, core, message);
		return;
	case RR_PEER_CONFIG:
		rr_handle_config_record(ctx, core, message);
		return;
	}
}

static void record_peer_contact(struct rr_core *core, const char *instance)
{
	struct rr_peer *peer = rr_get_or_add_peer(core, instance);

	peer->last_contact_us = core->now_us;
	peer->backoff_until_us = 0;
	peer->backoff_us = 0;
}

void rr_core_handle_peer_message(struct rr_context *ctx, struct rr_core *core,
				 int64_t now_us, int64_t wall_us,
				 const struct rr_peer_message *message)
{
	begin_event(ctx, core, now_us);
	if (!message->from || !strcmp(message->from, core->instance))
		return;
	/*
	 * A message queued for an instance that has died may reach this one if
	 * it now has the same address.  Drop it: it was not meant for this
	 * instance.
	 */
	if (message->to_incarnation &&
	    message->to_incarnation != core->incarnation) {
		rr_count(ctx, RR_N_PEER_MESSAGES_STALE, 1);
		return;
	}
	rr_count(ctx, RR_N_PEER_MESSAGES_RECEIVED, 1);
	record_peer_contact(core, message->from);
	rr_handle_member_message(ctx, core->members, core->now_us, message);
	rr_check_peer_config_revision(ctx, core, message);
	dispatch_peer_message(ctx, core, message);
	rr_run_scheduled_work(ctx, core);
}

void rr_core_hint_member(struct rr_context *ctx, struct rr_core *core,
			 int64_t now_us, const char *instance, const char *zone,
			 const char *address)
{
	begin_event(ctx, core, now_us);
	rr_hint_member(ctx, core->members, core->now_us, instance, zone,
		       address);
	rr_run_scheduled_work(ctx, core);
}

void rr_core_hint_replica(struct rr_context *ctx, struct rr_core *core,
			  int64_t now_us, const char *replica,
			  int64_t started_ms, enum rr_upstream_state state)
{
	struct rr_replica *entry = rr_find_replica(core, replica);

	begin_event(ctx, core, now_us);
	/*
	 * Ignore the report of a replica that is down unless this instance owns
	 * it: only an owner polls the replica and so learns that it is up
	 * again.
	 */
	if (entry && (entry->owned || state != RR_UPSTREAM_DOWN) &&
	    rr_update_replica_start_time(ctx, entry, started_ms))
		rr_update_replica_state(ctx, core, entry, state, "list");
	rr_run_scheduled_work(ctx, core);
}

void rr_core_drain(struct rr_context *ctx, struct rr_core *core, int64_t now_us)
{
	begin_event(ctx, core, now_us);
	if (!core->draining) {
		core->draining = true;
		rr_log(ctx, RR_LOG_INFO, "draining",
		       RR_FIELD_U64("open", g_hash_table_size(core->queries)));
		rr_announce_leaving(ctx, core->members, core->now_us);
	}
	rr_run_scheduled_work(ctx, core);
}

bool rr_core_is_drained(const struct rr_core *core)
{
#ifdef RR_MUTANT_STOP_AT_ONCE
	return core->draining;
#endif
	if (!core->draining || g_hash_table_size(core->queries))
		return false;
	return !core->ledger || rr_ledger_is_idle(core->ledger);
}

bool rr_core_is_ready(const struct rr_core *core, const char **reason)
{
	const char *unready_reason = NULL;

	if (core->draining)
		unready_reason = "stopping";
	else if (!core->config)
		unready_reason = "no-configuration";
	if (reason)
		*reason = unready_reason;
	return !unready_reason;
}
