/*
 * replica-fixture.c - a port to one replica, driven by raw bytes.
 */
#include "support/replica-fixture.h"

#include <string.h>

#include "platform/platform.h"

static void take_reply(void *data, const struct rr_gate_reply *reply)
{
	struct replica_fixture *scene = data;

	scene->replies++;
	scene->outcome = reply->outcome;
	scene->status = reply->status;
	scene->unreachable = reply->unreachable;
	scene->wrong_incarnation = reply->wrong_incarnation;
	scene->load = reply->load;
	g_free(scene->signature);
	scene->signature = g_strdup(reply->signature);
	g_string_truncate(scene->body, 0);
	if (reply->length)
		g_string_append_len(scene->body, (const char *)reply->body,
				    (gssize)reply->length);
}

static void take_probe(void *data, const char *endpoint, bool reached)
{
	struct replica_fixture *scene = data;

	scene->probes++;
	scene->probe_reached = reached;
}

struct replica_fixture *replica_new_fixture(void)
{
	struct replica_fixture *scene = g_new0(struct replica_fixture, 1);
	struct rr_replica_client_options options = {
		.request_id_header = "Id",
		.signature_header = "Seal",
		.not_run_header = "Not-Run",
		.load_header = "Load",
		.parse_load = rr_decode_load,
		.replied = take_reply,
		.probed = take_probe,
		.data = scene,
	};

	scene->ctx = rr_new_context(NULL);
	scene->poller = rr_new_poller(NULL);
	scene->body = g_string_new(NULL);
	options.poller = scene->poller;
	scene->client = rr_new_replica_client(scene->ctx, &options);
	scene->listener = raw_listen();
	return scene;
}

void replica_drop_fixture(struct replica_fixture *scene)
{
	rr_drop_replica_client(scene->client);
	rr_drop_poller(scene->poller);
	rr_drop_context(scene->ctx);
	raw_drop_listener(scene->listener);
	g_string_free(scene->body, TRUE);
	g_free(scene->signature);
	g_free(scene);
}

uint64_t replica_send(struct replica_fixture *scene, const char *head,
		      const char *body, bool idempotent, bool no_body)
{
	struct rr_gate_attempt_info send = {
		.attempt = ++scene->next_attempt,
		.endpoint = "r",
		.incarnation = "r",
		.address = scene->listener->address,
		.deadline_ms = 1000,
		.idempotent = idempotent,
		.max_idle_connections = 1,
	};
	struct rr_raw_request request = {
		.head = head,
		.head_length = strlen(head),
		.body = (const uint8_t *)body,
		.body_length = body ? strlen(body) : 0,
		.request_id = "one",
		.no_body = no_body,
	};

	rr_send_to_replica(scene->client, g_get_monotonic_time(), &send,
			   &request);
	return send.attempt;
}

uint64_t replica_send_get(struct replica_fixture *scene)
{
	return replica_send(scene, REPLICA_GET, NULL, true, false);
}

struct raw_peer *replica_send_and_accept(struct replica_fixture *scene)
{
	struct raw_peer *peer;

	replica_send_get(scene);
	peer = raw_accept(scene->listener);
	raw_expect(peer, REPLICA_GET);
	return peer;
}

struct raw_peer *replica_serve_once(struct replica_fixture *scene)
{
	struct raw_peer *peer;

	replica_send_get(scene);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "\r\n\r\n");
	raw_send(peer, REPLICA_OK "\r\nab");
	raw_run_until(&scene->replies, 1);
	g_assert_cmpint(scene->outcome, ==, RR_GATE_ANSWERED);
	g_string_truncate(peer->received, 0);
	return peer;
}
