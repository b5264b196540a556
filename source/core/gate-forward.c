/*
 * gate-forward.c - weak instances hand searches over to a strong one of their
 * zone, or of another while none there is well.
 *
 * A search goes to a replica of every shard.  Replicas take few connections,
 * so that not every instance can hold one to each, and a weak instance needs
 * longer to send ninety requests than callers want to wait.  The strong ones
 * hold the connections, kept warm by everybody's searches; a weak one hands a
 * search over whole, and gets one answer.  Strong instances are endpoints
 * like replicas: chosen, suspected and probed in the same way.
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

/* Zone -> the greatest strength of an instance there, as double. */
static GHashTable *find_strongest(const struct rr_gate *gate)
{
	GHashTable *strongest =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rr_gate_peer *peer = value;
		double *most = g_hash_table_lookup(strongest, peer->zone);

		if (!most) {
			most = g_new0(double, 1);
			g_hash_table_insert(strongest, peer->zone, most);
		}
		*most = MAX(*most, peer->strength);
	}
	return strongest;
}

static double strongest_of(GHashTable *strongest, const char *zone)
{
	const double *most = g_hash_table_lookup(strongest, zone);

	return most ? *most : 0;
}

static bool is_weak(const struct rr_gate *gate, GHashTable *strongest,
		    const char *zone, double strength)
{
	return gate->policy.peer_hands_over &&
	       strongest_of(strongest, zone) >=
		       gate->policy.peer_much_stronger * strength;
}

static void count_holders(struct rr_gate *gate, GHashTable *strongest)
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

/* List or unlist a peer as one that searches are handed to. */
static void judge_peer(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_peer *peer)
{
	bool wanted = gate->forwards_searches &&
		      peer->strength >= gate->policy.peer_much_stronger *
						gate->strength &&
		      *peer->address;
	struct rr_endpoint *endpoint;
	struct rr_endpoint_info listing = {
		.id = peer->id,
		.service = RR_COORDINATOR_SERVICE,
		.address = peer->address,
		/* Not the zone of replicas: its silence tells nothing of them. */
		.zone = RR_COORDINATOR_SERVICE,
		.slots = gate->policy.peer_slots,
	};

	if (wanted == peer->is_forward_target)
		return;
	peer->is_forward_target = wanted;
	if (!wanted) {
		rr_gate_unlist_endpoint(ctx, gate, gate->now_us, peer->id);
		return;
	}
	rr_gate_update_endpoint(ctx, gate, gate->now_us, &listing);
	endpoint = g_hash_table_lookup(gate->endpoints, peer->id);
	endpoint->remote_coordinator = strcmp(peer->zone, gate->zone) != 0;
	endpoint->region = g_hash_table_lookup(gate->regions, peer->zone);
}

static void judge_weakness(struct rr_context *ctx, struct rr_gate *gate,
			   GHashTable *strongest)
{
	bool weak = is_weak(gate, strongest, gate->zone, gate->strength);

	if (weak != gate->forwards_searches)
		rr_log(ctx, RR_LOG_INFO, weak ? "hands-over" : "serves-itself",
		       RR_FIELD_DOUBLE("strength", gate->strength),
		       RR_FIELD_DOUBLE("strongest",
				       strongest_of(strongest, gate->zone)),
		       RR_FIELD_U64("holders", gate->n_coordinators));
	gate->forwards_searches = weak;
}

/*
 * Guards against hundreds of instances that are told of one by one, as after
 * a start of all: with a look at all of them for each, one instance's reading
 * of the list takes as many looks as the cube of their number, and callers
 * wait for seconds.
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
	count_holders(gate, strongest);
	judge_weakness(ctx, gate, strongest);
	g_hash_table_unref(strongest);
	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		judge_peer(ctx, gate, value);
	rr_update_retry_budgets(gate);
}

static void set_text(char **place, const char *text)
{
	g_free(*place);
	*place = g_strdup(text ? text : "");
}

/*
 * An instance that started again is another lifetime: what was seen of the one
 * before counts no more.  Starts are compared for being the same only, since
 * an instance's time of day may have been set back in between.
 */
static bool has_started_anew(const struct rr_gate_peer *peer,
			     const struct rr_gate_instance *told)
{
	return peer->started_ms != told->started_ms ||
	       strcmp(peer->address, told->address ? told->address : "");
}

static bool is_same(const struct rr_gate_peer *peer,
		    const struct rr_gate_instance *told)
{
	return !has_started_anew(peer, told) &&
	       peer->strength == told->strength &&
	       !g_strcmp0(peer->zone, told->zone);
}

static void forget_peer(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_peer *peer)
{
	if (peer->is_forward_target)
		rr_remove_endpoint(ctx, gate, peer->id, "instance-ended");
	peer->is_forward_target = false;
}

static void update_peer(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_peer *peer,
			const struct rr_gate_instance *told)
{
	if (is_same(peer, told))
		return;
	if (has_started_anew(peer, told))
		forget_peer(ctx, gate, peer);
	/* It may be listed in another way. */
	if (peer->is_forward_target)
		rr_gate_unlist_endpoint(ctx, gate, gate->now_us, peer->id);
	peer->is_forward_target = false;
	set_text(&peer->zone, told->zone);
	set_text(&peer->address, told->address);
	peer->strength = told->strength;
	peer->started_ms = told->started_ms;
}

static struct rr_gate_peer *peer_of(struct rr_gate *gate, const char *id)
{
	struct rr_gate_peer *peer = g_hash_table_lookup(gate->peers, id);

	if (peer)
		return peer;
	peer = g_new0(struct rr_gate_peer, 1);
	peer->id = g_strdup(id);
	set_text(&peer->address, NULL);
	g_hash_table_insert(gate->peers, peer->id, peer);
	return peer;
}

void rr_gate_update_instance(struct rr_context *ctx, struct rr_gate *gate,
			     int64_t now_us,
			     const struct rr_gate_instance *told)
{
	struct rr_gate_peer *peer = g_hash_table_lookup(gate->peers, told->id);

	gate->now_us = now_us;
	if (told->zone) {
		update_peer(ctx, gate, peer_of(gate, told->id), told);
	} else if (peer) {
		if (peer->is_forward_target)
			rr_gate_unlist_endpoint(ctx, gate, now_us, told->id);
		g_hash_table_remove(gate->peers, told->id);
	}
	gate->peers_changed = true;
}

bool rr_prepare_forward(struct rr_gate *gate, struct rr_gate_request *run)
{
	if (!gate->forwards_searches || run->route->mode != RR_ROUTE_GATHER)
		return false;
	if (!rr_is_service_reachable(gate, gate->coordinators))
		return false;
	run->forwarded = true;
	run->parts = g_new0(struct rr_gate_part, 1);
	run->parts[0].service = gate->coordinators;
	run->n_parts = 1;
	run->n_required = 1;
	return true;
}
