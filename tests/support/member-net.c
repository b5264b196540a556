/*
 * member-net.c - event queue and virtual clock for memberships under test.
 */
#include "member-net.h"

#include <stdio.h>

#include "ragwort/invariant.h"
#include "ragwort/wire.h"

/* A tick of a node or a message in transit. */
struct net_event {
	int64_t at_us;
	guint node;
	GBytes *bytes; /* NULL: a tick */
	guint from;
};

static void free_event(void *data)
{
	struct net_event *event = data;

	g_bytes_unref(event->bytes);
	g_free(event);
}

static void run_event(void *context, void *data);

static void add_event(struct member_net *net, const struct net_event *event)
{
	push_event(net->events, event->at_us, run_event,
		   g_memdup2(event, sizeof(*event)));
}

struct member_net *new_member_net(uint32_t seed)
{
	struct member_net *net = g_new0(struct member_net, 1);
	struct rr_context_options options = { .seed = seed };

	net->ctx = rr_new_context(&options);
	net->random = g_rand_new_with_seed(seed + 1);
	net->nodes = g_ptr_array_new();
	net->events = new_event_queue();
	net->min_delay_us = 200;
	net->max_delay_us = 3000;
	net->now_us = NET_SECOND;
	return net;
}

void drop_member_net(struct member_net *net)
{
	for (guint i = 0; i < net->nodes->len; i++) {
		struct net_node *node = node_at(net, i);

		rr_drop_members(node->members);
		g_free(node->instance);
		g_free(node->address);
		g_hash_table_unref(node->contacted_nodes);
		g_free(node);
	}
	drop_event_queue(net->events, free_event);
	g_ptr_array_unref(net->nodes);
	g_rand_free(net->random);
	rr_drop_context(net->ctx);
	g_free(net);
}

struct net_node *add_node(struct member_net *net, guint zone)
{
	struct net_node *node = g_new0(struct net_node, 1);

	node->net = net;
	node->index = net->nodes->len;
	node->zone = zone;
	node->instance =
		g_strdup_printf("zone-%u-entry-%04u", zone, node->index);
	node->address = g_strdup_printf("10.%u.%u.%u:8201", zone,
					node->index / 256, node->index % 256);
	node->scheduled_us = INT64_MAX;
	node->contacted_nodes = g_hash_table_new(NULL, NULL);
	g_ptr_array_add(net->nodes, node);
	return node;
}

struct net_node *node_at(const struct member_net *net, guint index)
{
	return net->nodes->pdata[index];
}

static struct net_node *find_node_by_address(struct member_net *net,
					     const char *address)
{
	guint zone;
	guint high;
	guint low;

	if (sscanf(address, "10.%u.%u.%u:", &zone, &high, &low) != 3)
		return NULL;
	return node_at(net, high * 256 + low);
}

static bool is_isolated(const struct member_net *net,
			const struct net_node *node)
{
	return node->index < 32 && (net->isolated_nodes >> node->index & 1);
}

static bool can_reach(const struct member_net *net, const struct net_node *from,
		      const struct net_node *to)
{
	if (is_isolated(net, from) || is_isolated(net, to))
		return false;
	if (net->blocked_to && from == net->blocked_from &&
	    to == net->blocked_to)
		return false;
	if (from->zone == to->zone)
		return true;
	return !(net->isolated_zones >> from->zone & 1) &&
	       !(net->isolated_zones >> to->zone & 1);
}

static void send_copy(struct member_net *net, const struct net_node *from,
		      const struct net_node *to, GBytes *bytes)
{
	int64_t delay_range_us = net->max_delay_us - net->min_delay_us;
	struct net_event event = {
		.at_us = net->now_us + net->min_delay_us +
			 (int64_t)(g_rand_double(net->random) *
				   (double)delay_range_us),
		.node = to->index,
		.from = from->index,
	};

	if (g_rand_double(net->random) < net->loss_rate)
		return;
	event.bytes = g_bytes_ref(bytes);
	add_event(net, &event);
}

static void send_message(void *data, const char *instance, const char *address,
			 struct rr_peer_message *message)
{
	struct net_node *from = data;
	struct member_net *net = from->net;
	struct net_node *to = find_node_by_address(net, address);
	GBytes *bytes = rr_encode_peer_message(message);

	(void)instance;
	net->messages++;
	from->messages++;
	net->bytes += g_bytes_get_size(bytes);
	from->bytes += g_bytes_get_size(bytes);
	if (to)
		g_hash_table_add(from->contacted_nodes, to);
	if (message->kind == RR_PEER_ACK && message->n_updates > 24)
		net->max_sync_updates =
			MAX(net->max_sync_updates, message->n_updates);
	else
		net->max_updates = MAX(net->max_updates, message->n_updates);
	if (to && can_reach(net, from, to)) {
		send_copy(net, from, to, bytes);
		if (g_rand_double(net->random) < net->duplicate_rate)
			send_copy(net, from, to, bytes);
	}
	g_bytes_unref(bytes);
}

static void on_changed(void *data)
{
	struct net_node *node = data;
	size_t n;

	node->net->changes++;
	rr_usable_members(node->members, &n);
	node->min_usable = MIN(node->min_usable, n);
}

static void schedule(struct net_node *node)
{
	struct net_event tick = { .node = node->index };

	tick.at_us = MAX(rr_members_wake_us(node->members), node->net->now_us);
	if (tick.at_us >= node->scheduled_us)
		return;
	node->scheduled_us = tick.at_us;
	add_event(node->net, &tick);
}

static void hint_others(struct net_node *node, guint n_hints)
{
	struct member_net *net = node->net;

	for (guint i = 0; i < n_hints; i++) {
		guint at = (guint)g_rand_int_range(net->random, 0,
						   (gint32)net->nodes->len);
		struct net_node *other = node_at(net, at);
		char *zone = g_strdup_printf("zone-%u", other->zone);

		rr_hint_member(net->ctx, node->members, net->now_us,
			       other->instance, zone, other->address);
		g_free(zone);
	}
}

void start_node(struct net_node *node, guint n_hints)
{
	struct member_net *net = node->net;
	char *zone = g_strdup_printf("zone-%u", node->zone);
	struct rr_members_options options = {
		.instance = node->instance,
		.zone = zone,
		.address = node->address,
		.incarnation = (uint64_t)net->now_us,
		.send = send_message,
		.changed = on_changed,
		.data = node,
	};

	rr_drop_members(node->members);
	node->incarnation = options.incarnation;
	node->leaving = false;
	node->paused_until_us = 0;
	node->members = rr_new_members(net->ctx, &options, net->now_us);
	hint_others(node, n_hints);
	schedule(node);
	g_free(zone);
}

void kill_node(struct net_node *node)
{
	rr_drop_members(node->members);
	node->members = NULL;
}

void pause_node(struct net_node *node, int64_t duration_us)
{
	node->paused_until_us = node->net->now_us + duration_us;
}

static void deliver(struct net_node *node, const struct net_event *event)
{
	struct member_net *net = node->net;
	struct rr_peer_message *message;
	GError *error = NULL;
	gsize length;
	const uint8_t *bytes = g_bytes_get_data(event->bytes, &length);

	message = rr_decode_peer_message(bytes, length, &error);
	if (!message)
		g_error("message of a member cannot be decoded: %s",
			error->message);
	if (can_reach(net, node_at(net, event->from), node))
		rr_handle_member_message(net->ctx, node->members, net->now_us,
					 message);
	rr_drop_peer_message(message);
}

static void run_event(void *context, void *data)
{
	struct member_net *net = context;
	struct net_event *event = data;
	struct net_node *node = node_at(net, event->node);

	if (node->members && node->paused_until_us > net->now_us) {
		/*
		 * Events wait, as in a socket buffer, until the process
		 * resumes.
		 */
		event->at_us = node->paused_until_us;
		push_event(net->events, event->at_us, run_event, event);
		return;
	}
	if (!event->bytes && event->at_us >= node->scheduled_us)
		node->scheduled_us = INT64_MAX;
	if (node->members && event->bytes)
		deliver(node, event);
	else if (node->members &&
		 rr_members_wake_us(node->members) <= net->now_us)
		rr_tick_members(net->ctx, node->members, net->now_us);
	free_event(event);
	if (node->members)
		schedule(node);
}

void run_net(struct member_net *net, int64_t duration_us)
{
	int64_t until_us = net->now_us + duration_us;

	while (next_event_us(net->events) <= until_us)
		run_next_event(net->events, &net->now_us, net);
	net->now_us = until_us;
}

static bool is_live(const struct net_node *node)
{
	return node->members && !node->leaving;
}

static bool has_node_converged(const struct member_net *net,
			       const struct net_node *node)
{
	size_t n;
	const struct rr_member_ref *refs = rr_usable_members(node->members, &n);
	size_t expected = 0;

	(void)refs;
	for (guint i = 0; i < net->nodes->len; i++) {
		const struct net_node *other = node_at(net, i);
		const char *address;
		uint64_t incarnation;

		if (!is_live(other))
			continue;
		expected++;
		if (!rr_find_member(node->members, other->instance, &address,
				    &incarnation) ||
		    incarnation != other->incarnation)
			return false;
	}
	return n == expected;
}

bool net_has_converged(const struct member_net *net)
{
	for (guint i = 0; i < net->nodes->len; i++) {
		const struct net_node *node = node_at(net, i);

		if (is_live(node) && !has_node_converged(net, node))
			return false;
	}
	return true;
}

int64_t run_until_converged(struct member_net *net, int64_t timeout_us)
{
	int64_t start_us = net->now_us;

	for (;;) {
		clock_t check_start = clock();
		bool converged = net_has_converged(net);

		net->check_cpu += clock() - check_start;
		if (converged)
			return net->now_us - start_us;
		if (net->now_us - start_us >= timeout_us)
			return -1;
		run_net(net, NET_SECOND / 4);
	}
}

guint count_nodes_seeing(const struct member_net *net,
			 const struct net_node *node)
{
	guint n = 0;

	for (guint i = 0; i < net->nodes->len; i++) {
		const struct net_node *other = node_at(net, i);
		const char *address;
		uint64_t incarnation;

		if (other != node && other->members &&
		    rr_find_member(other->members, node->instance, &address,
				   &incarnation))
			n++;
	}
	return n;
}

void start_nodes(struct member_net *net, guint n, guint zones)
{
	for (guint i = 0; i < n; i++)
		add_node(net, i % zones);
	for (guint i = 0; i < n; i++)
		start_node(node_at(net, i), 3);
}
