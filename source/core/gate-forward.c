/*
 * gate-forward.c - forwarding of searches from weak instances to coordinators.
 *
 * A search goes to a replica of every shard.  Replicas accept few connections,
 * so not every instance can hold one to each replica, and a weak instance needs
 * longer to send ninety requests than callers want to wait.  Coordinators, the
 * strong instances, hold the connections, which the searches of all instances
 * keep in use.  A weak instance forwards a whole search to a coordinator of its
 * zone, or of another zone while no local one is usable, and receives one
 * response.  Coordinators are endpoints like replicas: they are chosen,
 * suspected and probed in the same way.
 */
#include "core/gate-private.h"

#include <string.h>

void rr_free_gate_peer(gpointer data)
{
	struct rr_gate_peer *peer = data;

	g_free(peer->id);
	g_free(peer->zone);
	g_free(peer->address);
	g_free(peer);
}

/* Return a table of zone -> greatest strength of its instances (double). */
static GHashTable *find_strongest(const struct rr_gate *gate)
{
	GHashTable *strongest =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_gate_peer *peer = value;
		double *max_strength =
			g_hash_table_lookup(strongest, peer->zone);

		if (!max_strength) {
			max_strength = g_new0(double, 1);
			g_hash_table_insert(strongest, peer->zone,
					    max_strength);
		}
		*max_strength = MAX(*max_strength, peer->strength);
	}
	return strongest;
}

static double zone_strength(GHashTable *strongest, const char *zone)
{
	const double *max_strength = g_hash_table_lookup(strongest, zone);

	return max_strength ? *max_strength : 0;
}

/*
 * Whether an instance is weak, so that it forwards its searches: the strongest
 * one of its zone has at least peer_much_stronger times its strength.
 */
static bool is_weak(const struct rr_gate *gate, GHashTable *strongest,
		    const char *zone, double strength)
{
	return gate->policy.peer_hands_over &&
	       zone_strength(strongest, zone) >=
		       gate->policy.peer_much_stronger * strength;
}

static void count_coordinators(struct rr_gate *gate, GHashTable *strongest)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_gate_peer *peer = value;

		peer->is_coordinator =
			!is_weak(gate, strongest, peer->zone, peer->strength);
		n += peer->is_coordinator;
	}
	gate->n_coordinators = n;
}

uint32_t rr_count_coordinators(const struct rr_gate *gate)
{
	bool some_are_weak =
		gate->n_coordinators &&
		gate->n_coordinators < g_hash_table_size(gate->peers);

	return some_are_weak ? gate->n_coordinators : gate->n_instances;
}

/* Add or remove a peer as a coordinator that this instance forwards to. */
static void update_forward_target(struct rr_context *ctx, struct rr_gate *gate,
				  struct rr_gate_peer *peer)
{
	bool is_target = gate->forwards_searches &&
			 peer->strength >= gate->policy.peer_much_stronger *
						   gate->strength &&
			 *peer->address;
	struct rr_endpoint *endpoint;
	struct rr_endpoint_info listing = {
		.id = peer->id,
		.service = RR_COORDINATOR_SERVICE,
		.address = peer->address,
		/*
		 * Not a zone of replicas: contact with coordinators says
		 * nothing about the replicas of their zone.
		 */
		.zone = RR_COORDINATOR_SERVICE,
		.slots = gate->policy.peer_slots,
	};

	if (is_target == peer->is_forward_target)
		return;
	peer->is_forward_target = is_target;
	if (!is_target) {
		rr_gate_unlist_endpoint(ctx, gate, gate->now_us, peer->id);
		return;
	}
	rr_gate_update_endpoint(ctx, gate, gate->now_us, &listing);
	endpoint = g_hash_table_lookup(gate->endpoints, peer->id);
	endpoint->remote_coordinator = strcmp(peer->zone, gate->zone) != 0;
	endpoint->region = g_hash_table_lookup(gate->regions, peer->zone);
}

static void update_forwarding(struct rr_context *ctx, struct rr_gate *gate,
			      GHashTable *strongest)
{
	bool weak = is_weak(gate, strongest, gate->zone, gate->strength);

	if (weak != gate->forwards_searches)
		rr_log(ctx, RR_LOG_INFO, weak ? "hands-over" : "serves-itself",
		       RR_FIELD_DOUBLE("strength", gate->strength),
		       RR_FIELD_DOUBLE("strongest",
				       zone_strength(strongest, gate->zone)),
		       RR_FIELD_U64("holders", gate->n_coordinators));
	gate->forwards_searches = weak;
}

/*
 * Guards against hundreds of instances that are reported one by one, as after
 * all of them start: if each report re-evaluated all peers, reading the list
 * would take each instance time in proportion to the cube of their number, and
 * callers would wait for seconds.
 */
void rr_update_peers(struct rr_context *ctx, struct rr_gate *gate)
{
	GHashTable *strongest;
	GHashTableIter iter;
	gpointer value;

	if (!gate->peers_changed)
		return;
	gate->peers_changed = false;
	gate->peers_version++;
	strongest = find_strongest(gate);
	count_coordinators(gate, strongest);
	update_forwarding(ctx, gate, strongest);
	g_hash_table_unref(strongest);
	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_forward_target(ctx, gate, value);
	rr_update_retry_budgets(gate);
}

static void replace_string(char **string, const char *text)
{
	g_free(*string);
	*string = g_strdup(text ? text : "");
}

/*
 * Whether an instance was restarted: it is then a new incarnation, and what was
 * observed of the previous one is discarded.  Start times are compared only for
 * equality, since the instance's clock may have been set back in between.
 */
static bool was_restarted(const struct rr_gate_peer *peer,
			  const struct rr_gate_instance *info)
{
	return peer->started_ms != info->started_ms ||
	       strcmp(peer->address, info->address ? info->address : "");
}

static bool is_unchanged(const struct rr_gate_peer *peer,
			 const struct rr_gate_instance *info)
{
	return !was_restarted(peer, info) && peer->strength == info->strength &&
	       !g_strcmp0(peer->zone, info->zone);
}

static void remove_peer_endpoint(struct rr_context *ctx, struct rr_gate *gate,
				 struct rr_gate_peer *peer)
{
	if (peer->is_forward_target)
		rr_remove_endpoint(ctx, gate, peer->id, "instance-ended");
	peer->is_forward_target = false;
}

static void update_peer(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_peer *peer,
			const struct rr_gate_instance *info)
{
	if (is_unchanged(peer, info))
		return;
	if (was_restarted(peer, info))
		remove_peer_endpoint(ctx, gate, peer);
	/* Its new state may change whether and how it is listed. */
	if (peer->is_forward_target)
		rr_gate_unlist_endpoint(ctx, gate, gate->now_us, peer->id);
	peer->is_forward_target = false;
	replace_string(&peer->zone, info->zone);
	replace_string(&peer->address, info->address);
	peer->strength = info->strength;
	peer->started_ms = info->started_ms;
}

static struct rr_gate_peer *get_peer(struct rr_gate *gate, const char *id)
{
	struct rr_gate_peer *peer = g_hash_table_lookup(gate->peers, id);

	if (peer)
		return peer;
	peer = g_new0(struct rr_gate_peer, 1);
	peer->id = g_strdup(id);
	replace_string(&peer->address, NULL);
	g_hash_table_insert(gate->peers, peer->id, peer);
	return peer;
}

void rr_gate_update_instance(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us,
			     const struct rr_gate_instance *info)
{
	struct rr_gate_peer *peer = g_hash_table_lookup(gate->peers, info->id);

	gate->now_us = now_us;
	if (gate->allowances)
		rr_allowances_update_member(gate->allowances, now_us, info->id,
					    info->zone, info->address);
	if (info->zone) {
		update_peer(ctx, gate, get_peer(gate, info->id), info);
	} else if (peer) {
		if (peer->is_forward_target)
			rr_gate_unlist_endpoint(ctx, gate, now_us, info->id);
		g_hash_table_remove(gate->peers, info->id);
	}
	gate->peers_changed = true;
}

bool rr_prepare_forward(struct rr_gate *gate, struct rr_gate_request *req)
{
	if (!gate->forwards_searches || req->route->mode != RR_ROUTE_GATHER)
		return false;
	if (!rr_is_service_reachable(gate, gate->coordinators))
		return false;
	req->forwarded = true;
	req->parts = g_new0(struct rr_gate_part, 1);
	req->parts[0].service = gate->coordinators;
	req->n_parts = 1;
	req->n_required = 1;
	return true;
}

/* Distinguishes ids of calls of this module from those for allowances. */
#define COORDINATOR_CALL (UINT64_C(1) << 63)

/* Ask a coordinator for a reply, which shows that it runs. */
static void ask_coordinator(struct rr_context *ctx, struct rr_gate *gate,
			    struct rr_endpoint *endpoint, int64_t patience_us)
{
	const struct rr_allowance_call call = {
		.verb = RR_ALLOWANCE_PROBE,
		.account = "",
	};

	endpoint->contact.asked_us = gate->now_us;
	rr_count(ctx, RR_N_COORDINATOR_CHECKS, 1);
	gate->actions.call_allowance(
		gate->actions.data, COORDINATOR_CALL | endpoint->number,
		endpoint->address, (uint32_t)(patience_us / 1000), &call);
}

bool rr_await_forward(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req)
{
	const struct rr_gate_attempt *attempt =
		g_queue_peek_tail(&req->in_flight);
	struct rr_late_forward search = {
		.due_us = rr_forward_due_us(gate, req),
		.patience_us = rr_forward_patience_us(req),
	};
	int64_t next_us;

	if (!attempt)
		return true;
	search.sent_us = attempt->sent_us;
	switch (rr_decide_late_forward(&search, &attempt->endpoint->contact,
				       gate->now_us, &next_us)) {
	case RR_LATE_FORWARD_GIVE_UP:
		return false;
	case RR_LATE_FORWARD_ASK:
		ask_coordinator(ctx, gate, attempt->endpoint,
				search.patience_us);
		break;
	case RR_LATE_FORWARD_WAIT:
		break;
	}
	rr_set_timer(gate->timers, next_us, RR_TIMER_GATE_ADVANCE, req->id, 0);
	return true;
}

bool rr_handle_coordinator_reply(struct rr_gate *gate, uint64_t call,
				 bool replied)
{
	const GPtrArray *endpoints = gate->coordinators->endpoints;

	if (!(call & COORDINATOR_CALL))
		return false;
	for (guint i = 0; replied && i < endpoints->len; i++) {
		struct rr_endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (endpoint->number != (call & ~COORDINATOR_CALL))
			continue;
		endpoint->contact.reply_us = gate->now_us;
		rr_observe_contact(&endpoint->health, gate->now_us);
	}
	return true;
}
