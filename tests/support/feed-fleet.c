/*
 * feed-fleet.c - simulated feeds, and their calls to the store and to each
 * other.
 */
#include "support/feed-fleet-private.h"

#include <string.h>

void fleet_drop_call(gpointer data)
{
	struct fleet_call *call = data;

	if (--call->refs)
		return;
	g_ptr_array_unref(call->entered);
	g_ptr_array_unref(call->removed);
	g_free(call->after_key);
	g_free(call);
}

struct fleet_call *fleet_keep_call(struct fleet_call *call)
{
	call->refs++;
	return call;
}

/* Replies. */

static void run_node(struct fleet_node *node);

static void free_delivery(struct delivery *delivery)
{
	g_ptr_array_unref(delivery->reply.items);
	fleet_drop_call(delivery->call);
	g_free(delivery);
}

/* Whether an event of a frozen instance was put off until it is resumed. */
static bool put_off(struct fleet_node *node,
		    void (*handler)(void *context, void *data), void *data)
{
	struct fleet *fleet = node->fleet;

	if (node->frozen_until_us <= fleet->now_us || fleet->stopping)
		return false;
	push_event(fleet->events, node->frozen_until_us, handler, data);
	return true;
}

static bool is_reply_lost(const struct fleet_call *call)
{
	return !call->peer && !call->timed_out &&
	       call->node->replies_lost_until_us > call->node->fleet->now_us;
}

static bool is_reply_held(const struct fleet_call *call)
{
	return !call->peer && !call->timed_out &&
	       call->node->replies_held_until_us > call->node->fleet->now_us;
}

static void deliver(void *context, void *data)
{
	struct delivery *delivery = data;
	struct fleet_call *call = delivery->call;
	struct fleet_node *node = call->node;

	if (put_off(node, deliver, data))
		return;
	if (is_reply_held(call)) {
		push_event(node->fleet->events, node->replies_held_until_us,
			   deliver, data);
		return;
	}
	if (!call->peer)
		node->has_store_conn = true;
	if (!call->done && node->feed && !is_reply_lost(call) &&
	    node->incarnation == call->incarnation && !node->fleet->stopping) {
		call->done = true;
		delivery->reply.call_id = call->call.id;
		rr_feed_reply(node->ctx, node->feed, node->fleet->now_us,
			      &delivery->reply);
		run_node(node);
	}
	free_delivery(delivery);
}

struct delivery *fleet_new_delivery(struct fleet_call *call,
				    enum rr_feed_status status)
{
	struct delivery *delivery = g_new0(struct delivery, 1);

	delivery->call = fleet_keep_call(call);
	delivery->reply.status = status;
	delivery->reply.items =
		g_ptr_array_new_with_free_func(rr_free_feed_item);
	return delivery;
}

void fleet_answer(struct fleet *fleet, struct delivery *delivery)
{
	push_event(fleet->events, fleet->now_us + ONE_WAY_DELAY_US, deliver,
		   delivery);
}

void fleet_fail(struct fleet *fleet, struct fleet_call *call)
{
	fleet_answer(fleet, fleet_new_delivery(call, RR_FEED_FAILED));
}

/* Calls to a peer. */

static void serve_items(struct fleet_node *peer, struct fleet_call *call)
{
	bool range = call->call.kind == RR_FEED_RANGE;
	struct rr_store_cursor after = {
		.era = call->call.era,
		.revision = range ? 0 : call->call.after_revision,
	};
	struct rr_store_cursor upto;
	GArray *items = rr_feed_changes(peer->feed, after, &upto);
	struct delivery *delivery = fleet_new_delivery(
		call, items ? RR_FEED_OK : RR_FEED_COMPACTED);

	delivery->reply.revision = upto.revision;
	delivery->reply.era = upto.era;
	delivery->reply.age_us =
		rr_feed_age_us(peer->feed, peer->fleet->now_us);
	for (guint i = 0; items && i < items->len; i++) {
		const struct rr_feed_change *item =
			&g_array_index(items, struct rr_feed_change, i);

		g_ptr_array_add(delivery->reply.items,
				fleet_make_item(item->key, item->value,
						item->revision));
	}
	if (items)
		g_array_unref(items);
	fleet_answer(peer->fleet, delivery);
}

/* Answer a waiting call as the gateway does; false: it continues to wait. */
static bool answer_waiting_call(struct fleet_node *peer,
				struct fleet_call *call)
{
	struct rr_store_cursor after = { call->call.era,
					 call->call.after_revision };
	int64_t now_us = peer->fleet->now_us;

	if (!rr_feed_can_serve_changes(peer->feed)) {
		if (rr_feed_is_in_serve_grace(peer->feed, now_us))
			return false;
		fleet_fail(peer->fleet, call);
		return true;
	}
	if (after.era > rr_feed_cursor(peer->feed).era) {
		fleet_fail(peer->fleet, call);
		return true;
	}
	if (call->deadline_us > now_us &&
	    !rr_feed_has_changes_after(peer->feed, after))
		return false;
	serve_items(peer, call);
	return true;
}

static void answer_waiting_calls(struct fleet_node *node)
{
	guint i = 0;

	while (i < node->waiting_calls->len) {
		if (answer_waiting_call(
			    node, g_ptr_array_index(node->waiting_calls, i)))
			g_ptr_array_remove_index(node->waiting_calls, i);
		else
			i++;
	}
}

static void register_for(struct fleet_node *peer, struct fleet_call *call)
{
	bool accepted = true;

	for (guint i = 0; i < call->removed->len; i++)
		rr_feed_deregister_instance(
			peer->feed, peer->fleet->now_us,
			g_ptr_array_index(call->removed, i));
	for (guint i = 0; i < call->entered->len && accepted; i++)
		accepted = rr_feed_register_instance(
			peer->ctx, peer->feed, peer->fleet->now_us,
			g_ptr_array_index(call->entered, i));
	fleet_answer(peer->fleet,
		     fleet_new_delivery(call, accepted ? RR_FEED_OK :
							 RR_FEED_FAILED));
}

static void handle_at_peer(struct fleet_node *peer, struct fleet_call *call)
{
	if (!peer->feed)
		fleet_fail(peer->fleet, call);
	else if (call->call.kind == RR_FEED_WRITE_ENTRIES)
		register_for(peer, call);
	else if (call->call.kind == RR_FEED_RANGE &&
		 rr_feed_can_serve_items(peer->feed))
		serve_items(peer, call);
	else if (call->call.kind == RR_FEED_RANGE)
		fleet_fail(peer->fleet, call);
	else
		g_ptr_array_add(peer->waiting_calls, fleet_keep_call(call));
	if (peer->feed)
		run_node(peer);
}

static void arrive(void *context, void *data)
{
	struct fleet *fleet = context;
	struct fleet_call *call = data;

	if (call->peer && put_off(call->peer, arrive, data))
		return;
	call->deadline_us = fleet->now_us + (int64_t)call->call.wait_ms * 1000;
	if (fleet->stopping)
		call->done = true;
	else if (call->peer)
		handle_at_peer(call->peer, call);
	else if (call->n_closed != call->node->n_closed)
		fleet_fail(fleet, call);
	else
		fleet_handle_at_store(fleet, call);
	fleet_drop_call(call);
}

static void time_out(void *context, void *data)
{
	struct fleet *fleet = context;
	struct fleet_call *call = data;

	call->timed_out = true;
	if (!call->done && !fleet->stopping)
		fleet_fail(fleet, call);
	fleet_drop_call(call);
}

/* Connections. */

static void notice_close(void *context, void *data)
{
	struct fleet_node *node = data;

	if (put_off(node, notice_close, data) || !node->feed ||
	    node->fleet->stopping)
		return;
	rr_feed_handle_disconnect(node->feed, node->fleet->now_us);
	run_node(node);
}

void fleet_close_store_conns(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->watches->len; i++)
		fleet_fail(fleet, g_ptr_array_index(fleet->watches, i));
	g_ptr_array_set_size(fleet->watches, 0);
	for (guint i = 0; i < fleet->nodes->len; i++) {
		struct fleet_node *node = g_ptr_array_index(fleet->nodes, i);

		if (!node->has_store_conn)
			continue;
		node->has_store_conn = false;
		node->n_closed++;
		push_event(fleet->events, fleet->now_us + ONE_WAY_DELAY_US,
			   notice_close, node);
	}
}

/* Nodes. */

static struct fleet_node *find_peer(const struct fleet *fleet,
				    const char *address)
{
	return g_ptr_array_index(fleet->nodes, atoi(address));
}

static void free_instance(gpointer data)
{
	rr_free_instance(data);
}

static void make_call(void *data, const struct rr_feed_call *feed_call)
{
	struct fleet_node *node = data;
	struct fleet *fleet = node->fleet;
	struct fleet_call *call = g_new0(struct fleet_call, 1);

	call->refs = 2;
	call->node = node;
	call->incarnation = node->incarnation;
	call->n_closed = node->n_closed;
	call->call = *feed_call;
	call->peer = feed_call->peer ? find_peer(fleet, feed_call->peer) : NULL;
	call->after_key = g_strdup(feed_call->after_key);
	call->entered = g_ptr_array_new_with_free_func(free_instance);
	call->removed = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; feed_call->added && i < feed_call->added->len; i++)
		g_ptr_array_add(call->entered,
				rr_copy_instance(g_ptr_array_index(
					feed_call->added, i)));
	for (guint i = 0; feed_call->removed && i < feed_call->removed->len;
	     i++)
		g_ptr_array_add(call->removed, g_strdup(g_ptr_array_index(
						       feed_call->removed, i)));
	push_event(fleet->events, fleet->now_us + ONE_WAY_DELAY_US, arrive,
		   call);
	push_event(fleet->events,
		   fleet->now_us + (int64_t)feed_call->timeout_ms * 1000,
		   time_out, call);
}

/* Replies to cancelled calls are still sent; the feed ignores their ids. */
static void ignore_cancel(void *data, uint64_t call)
{
}

static void apply_routes(void *data, struct rr_route_table *table)
{
	struct fleet_node *node = data;

	if (rr_route_table_version(table) <= node->routes_version)
		return;
	node->routes_version = rr_route_table_version(table);
	node->routes_applied_us = node->fleet->now_us;
}

static void ignore_listed(void *data, const struct rr_endpoint_info *listing)
{
}

static void note_removal(void *data, const char *id)
{
	struct fleet_node *node = data;
	char *key = g_strconcat("r/", id, NULL);
	const struct fleet_change *change =
		g_hash_table_lookup(node->fleet->items, key);

	node->removal_us = node->fleet->now_us - change->at_us;
	node->stated_removal_us = rr_feed_change_age_us(node->feed);
	g_free(key);
}

static void ignore_instances(void *data, uint32_t instances)
{
}

static void ignore_instance(void *data, const char *id,
			    const struct rr_instance *instance)
{
}

static void tick(void *context, void *data)
{
	struct fleet_node *node = data;

	if (node->next_tick_us > node->fleet->now_us || node->fleet->stopping ||
	    put_off(node, tick, data))
		return;
	node->next_tick_us = INT64_MAX;
	if (node->feed)
		run_node(node);
}

static void run_node(struct fleet_node *node)
{
	struct fleet *fleet = node->fleet;
	int64_t wake_us;

	rr_feed_tick(node->ctx, node->feed, fleet->now_us);
	answer_waiting_calls(node);
	if (!node->synced_us && rr_feed_has_synced(node->feed))
		node->synced_us = fleet->now_us;
	wake_us = rr_feed_wake_us(node->feed);
	for (guint i = 0; i < node->waiting_calls->len; i++) {
		const struct fleet_call *call =
			g_ptr_array_index(node->waiting_calls, i);

		wake_us = MIN(wake_us, call->deadline_us);
	}
	if (node->waiting_calls->len)
		wake_us =
			MIN(wake_us, MIN(rr_feed_serve_grace_end_us(node->feed),
					 rr_feed_serve_end_us(node->feed)));
	wake_us = MAX(wake_us, fleet->now_us + FLEET_MS);
	if (wake_us >= node->next_tick_us)
		return;
	node->next_tick_us = wake_us;
	push_event(fleet->events, wake_us, tick, node);
}

static void start_node(void *context, void *data)
{
	struct fleet_node *node = data;
	struct rr_feed_options options = {
		.actions = {
			.call = make_call,
			.cancel = ignore_cancel,
			.routes = apply_routes,
			.replica_listed = ignore_listed,
			.replica_unlisted = note_removal,
			.instance_count = ignore_instances,
			.instance = ignore_instance,
			.data = node,
		},
		.self = node->self,
		.max_staleness_ms = node->fleet->max_staleness_ms,
	};

	if (node->fleet->stopping || node->feed)
		return;
	node->started_us = node->fleet->now_us;
	node->frozen_until_us = 0;
	node->has_store_conn = false;
	node->synced_us = 0;
	node->routes_version = 0;
	node->next_tick_us = INT64_MAX;
	node->feed = rr_new_feed(node->ctx, &options, node->fleet->now_us);
	run_node(node);
}

static void add_node(struct fleet *fleet, guint index, guint zones)
{
	struct fleet_node *node = g_new0(struct fleet_node, 1);
	struct rr_context_options options = { .seed = index + 1 };

	node->fleet = fleet;
	node->index = index;
	node->self.id = g_strdup_printf("n%u", index);
	node->self.zone = g_strdup_printf("z%u", index % zones);
	node->self.address = g_strdup_printf("%u", index);
	node->self.strength = index < 3 * zones ? 0.5 : 0.12;
	node->ctx = rr_new_context(&options);
	node->waiting_calls = g_ptr_array_new_with_free_func(fleet_drop_call);
	g_ptr_array_add(fleet->nodes, node);
}

struct fleet *fleet_new(guint n, guint zones, guint replicas)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->events = new_event_queue();
	fleet->now_us = 100 * FLEET_S;
	fleet->nodes = g_ptr_array_new();
	fleet->history = g_ptr_array_new_with_free_func(fleet_drop_change);
	fleet->prior_history =
		g_ptr_array_new_with_free_func(fleet_drop_change);
	fleet->items = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	fleet->watches = g_ptr_array_new_with_free_func(fleet_drop_call);
	fleet->revision = 1;
	fleet->era = 1;
	fleet->max_staleness_ms = MAX_STALENESS_MS;
	for (guint i = 0; i < n; i++)
		add_node(fleet, i, zones);
	fleet_write_routes(fleet, 1);
	for (guint i = 0; i < replicas; i++)
		fleet_write_replica(fleet, i);
	fleet->now_us += 10 * FLEET_S;
	fleet_tick_store(fleet, NULL);
	return fleet;
}

void fleet_drop(struct fleet *fleet)
{
	fleet->stopping = true;
	while (run_next_event(fleet->events, &fleet->now_us, fleet))
		;
	drop_event_queue(fleet->events, NULL);
	for (guint i = 0; i < fleet->nodes->len; i++) {
		struct fleet_node *node = g_ptr_array_index(fleet->nodes, i);

		rr_drop_feed(node->feed);
		rr_drop_context(node->ctx);
		g_ptr_array_unref(node->waiting_calls);
		g_free(node->self.id);
		g_free(node->self.zone);
		g_free(node->self.address);
		g_free(node);
	}
	g_ptr_array_unref(fleet->nodes);
	g_ptr_array_unref(fleet->watches);
	g_hash_table_unref(fleet->items);
	g_hash_table_unref(fleet->leases);
	g_ptr_array_unref(fleet->history);
	g_ptr_array_unref(fleet->prior_history);
	g_free(fleet);
}

void fleet_start_all(struct fleet *fleet, int64_t within_us)
{
	for (guint i = 0; i < fleet->nodes->len; i++)
		push_event(fleet->events,
			   fleet->now_us + within_us * ((i * 37) % 100) / 100,
			   start_node, g_ptr_array_index(fleet->nodes, i));
}

static void kill_node(struct fleet_node *node)
{
	rr_drop_feed(node->feed);
	node->feed = NULL;
	node->incarnation++;
	node->self.started_ms++;
	g_ptr_array_set_size(node->waiting_calls, 0);
}

void fleet_kill_all(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->nodes->len; i++)
		kill_node(g_ptr_array_index(fleet->nodes, i));
}

void fleet_restart_node(struct fleet *fleet, guint index, int64_t down_us)
{
	struct fleet_node *node = g_ptr_array_index(fleet->nodes, index);

	kill_node(node);
	push_event(fleet->events, fleet->now_us + down_us, start_node, node);
}

void fleet_freeze_node(struct fleet *fleet, guint index, int64_t us)
{
	struct fleet_node *node = g_ptr_array_index(fleet->nodes, index);

	node->frozen_until_us = MAX(node->frozen_until_us, fleet->now_us + us);
}

void fleet_run(struct fleet *fleet, int64_t us)
{
	int64_t end_us = fleet->now_us + us;

	while (next_event_us(fleet->events) <= end_us)
		run_next_event(fleet->events, &fleet->now_us, fleet);
	fleet->now_us = end_us;
}

int64_t fleet_slowest_sync_us(const struct fleet *fleet)
{
	int64_t slowest_us = 0;

	for (guint i = 0; i < fleet->nodes->len; i++) {
		const struct fleet_node *node =
			g_ptr_array_index(fleet->nodes, i);

		if (!node->synced_us)
			return INT64_MAX;
		slowest_us =
			MAX(slowest_us, node->synced_us - node->started_us);
	}
	return slowest_us;
}

int64_t fleet_applied_us(const struct fleet *fleet, uint64_t version)
{
	int64_t last_us = 0;

	for (guint i = 0; i < fleet->nodes->len; i++) {
		const struct fleet_node *node =
			g_ptr_array_index(fleet->nodes, i);

		if (node->feed && node->routes_version < version)
			return INT64_MAX;
		last_us = MAX(last_us, node->routes_applied_us);
	}
	return last_us;
}
