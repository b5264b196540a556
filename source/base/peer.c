/*
 * peer.c - allocation and release of peer messages.
 */
#include "ragwort/peer.h"

#include <glib.h>

struct rr_peer_message *rr_new_peer_message(enum rr_peer_kind kind)
{
	struct rr_peer_message *message = g_new0(struct rr_peer_message, 1);

	message->kind = kind;
	return message;
}

static void free_relay(struct rr_relay *relay)
{
	if (!relay)
		return;
	for (size_t i = 0; i < relay->n_shards; i++) {
		g_free(relay->shards[i].shard);
		g_free(relay->shards[i].preferred_replica);
	}
	g_free(relay->shards);
	g_free(relay->service);
	g_free(relay->request_id);
	g_free(relay->body);
	g_free(relay->idempotency_key);
	g_free(relay);
}

static void free_relay_reply(struct rr_relay_reply *reply)
{
	if (!reply)
		return;
	for (size_t i = 0; i < reply->n_outcomes; i++) {
		g_free(reply->outcomes[i].shard);
		g_free(reply->outcomes[i].ranges);
	}
	g_free(reply->outcomes);
	rr_drop_rows(reply->rows);
	g_free(reply->result);
	g_free(reply);
}

void rr_drop_peer_message(struct rr_peer_message *message)
{
	if (!message)
		return;
	for (size_t i = 0; i < message->n_updates; i++) {
		g_free(message->updates[i].instance);
		g_free(message->updates[i].zone);
		g_free(message->updates[i].address);
	}
	g_free(message->updates);
	g_free(message->from);
	g_free(message->target);
	g_free(message->config_record);
	free_relay(message->relay);
	free_relay_reply(message->relay_reply);
	g_free(message);
}
