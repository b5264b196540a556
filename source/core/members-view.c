/*
 * members-view.c - the core's copy of the usable members, its state per peer,
 * and messages to peers.
 */
#include "core/core-private.h"

/*
 * Instances are replaced every day under new names, so old peers are removed
 * once there are this many more peers than twice the member count.
 */
#define MAX_EXTRA_PEERS 64
#define PEER_RETENTION_US (600 * G_USEC_PER_SEC)

void rr_clear_member_copies(struct rr_core *core)
{
	for (size_t i = 0; i < core->n_members; i++) {
		g_free(core->member_copies[i].instance);
		g_free(core->member_copies[i].zone);
		g_free(core->member_copies[i].address);
	}
	g_clear_pointer(&core->member_copies, g_free);
	g_clear_pointer(&core->member_refs, g_free);
	core->n_members = 0;
}

static void copy_member(struct rr_core *core, size_t i,
			const struct rr_member_ref *member)
{
	struct rr_member_copy *copy = &core->member_copies[i];

	copy->instance = g_strdup(member->instance);
	copy->zone = g_strdup(member->zone);
	core->member_refs[i].instance = copy->instance;
	core->member_refs[i].zone = copy->zone;
	core->member_refs[i].instance_hash = member->instance_hash;
	core->member_refs[i].zone_hash = member->zone_hash;
}

static void copy_address(struct rr_core *core, struct rr_member_copy *copy)
{
	const char *address = NULL;

	rr_find_member(core->members, copy->instance, &address,
		       &copy->incarnation);
	copy->address = g_strdup(address ? address : "");
}

void rr_refresh_member_copies(struct rr_core *core)
{
	const struct rr_member_ref *members;
	size_t n;

	if (!core->members_changed)
		return;
	core->members_changed = false;
	rr_clear_member_copies(core);
	members = rr_usable_members(core->members, &n);
	core->member_copies = g_new0(struct rr_member_copy, MAX(1, n));
	core->member_refs = g_new0(struct rr_member_ref, MAX(1, n));
	for (size_t i = 0; i < n; i++)
		copy_member(core, i, &members[i]);
	core->n_members = n;
	for (size_t i = 0; i < n; i++)
		copy_address(core, &core->member_copies[i]);
	core->members_generation++;
}

struct rr_peer *rr_get_or_add_peer(struct rr_core *core, const char *instance)
{
	struct rr_peer *peer = g_hash_table_lookup(core->peers, instance);

	if (peer)
		return peer;
	peer = g_new0(struct rr_peer, 1);
	peer->instance = g_strdup(instance);
	g_hash_table_insert(core->peers, peer->instance, peer);
	return peer;
}

void rr_free_peer(gpointer data)
{
	struct rr_peer *peer = data;

	g_free(peer->instance);
	g_free(peer);
}

struct rr_peer_message *rr_prepare_peer_message(const struct rr_core *core,
						enum rr_peer_kind kind)
{
	struct rr_peer_message *message = rr_new_peer_message(kind);

	message->from = g_strdup(core->instance);
	message->from_incarnation = core->incarnation;
	message->config_revision = rr_core_config_revision(core);
	return message;
}

void rr_send_peer_message(struct rr_context *ctx, struct rr_core *core,
			  const char *instance, const char *address,
			  struct rr_peer_message *message)
{
	rr_count(ctx, RR_N_PEER_MESSAGES_SENT, 1);
	core->actions.send_peer_message(core->actions.data, instance, address,
					message);
	rr_drop_peer_message(message);
}

static gboolean is_peer_expired(gpointer key, gpointer value, gpointer data)
{
	const struct rr_core *core = data;
	const struct rr_peer *peer = value;

	return !peer->relays_in_flight &&
	       core->now_us - peer->last_contact_us > PEER_RETENTION_US;
}

void rr_expire_peers(struct rr_core *core)
{
	if (g_hash_table_size(core->peers) >
	    2 * core->n_members + MAX_EXTRA_PEERS)
		g_hash_table_foreach_remove(core->peers, is_peer_expired, core);
}
