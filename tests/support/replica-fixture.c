/*
 * replica-fixture.c - a client of one replica, driven by raw bytes.
 */
#include "support/replica-fixture.h"

#include <string.h>

#include "platform/platform.h"

static void handle_reply(void *data, const struct rr_gate_reply *reply)
{
	struct replica_fixture *fixture = data;

	fixture->replies++;
	fixture->outcome = reply->outcome;
	fixture->status = reply->status;
	fixture->unreachable = reply->unreachable;
	fixture->wrong_incarnation = reply->wrong_incarnation;
	fixture->load = reply->load;
	g_free(fixture->signature);
	fixture->signature = g_strdup(reply->signature);
	g_string_truncate(fixture->body, 0);
	if (reply->length)
		g_string_append_len(fixture->body, (const char *)reply->body,
				    (gssize)reply->length);
}

static void handle_probe(void *data, const char *endpoint, bool reached)
{
	struct replica_fixture *fixture = data;

	fixture->probes++;
	fixture->probe_reached = reached;
}

static void handle_idle_close(void *data, const char *endpoint)
{
	struct replica_fixture *fixture = data;

	fixture->idle_closes++;
}

struct replica_fixture *replica_new_fixture(void)
{
	struct replica_fixture *fixture = g_new0(struct replica_fixture, 1);
	struct rr_replica_client_options options = {
		.request_id_header = "Id",
		.signature_header = "Seal",
		.not_run_header = "Not-Run",
		.load_header = "Load",
		.parse_load = rr_decode_load,
		.replied = handle_reply,
		.probed = handle_probe,
		.idle_closed = handle_idle_close,
		.data = fixture,
	};

	fixture->ctx = rr_new_context(NULL);
	fixture->poller = rr_new_poller(NULL);
	fixture->body = g_string_new(NULL);
	options.poller = fixture->poller;
	fixture->client = rr_new_replica_client(fixture->ctx, &options);
	fixture->listener = raw_listen();
	return fixture;
}

void replica_drop_fixture(struct replica_fixture *fixture)
{
	rr_drop_replica_client(fixture->client);
	rr_drop_poller(fixture->poller);
	rr_drop_context(fixture->ctx);
	raw_drop_listener(fixture->listener);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->signature);
	g_free(fixture);
}

uint64_t replica_send(struct replica_fixture *fixture, const char *head,
		      const char *body, bool idempotent, bool no_body)
{
	struct rr_gate_attempt_info info = {
		.attempt = ++fixture->next_attempt,
		.endpoint = "r",
		.incarnation = "r",
		.address = fixture->listener->address,
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

	rr_send_to_replica(fixture->client, g_get_monotonic_time(), &info,
			   &request);
	return info.attempt;
}

uint64_t replica_send_get(struct replica_fixture *fixture)
{
	return replica_send(fixture, REPLICA_GET, NULL, true, false);
}

struct raw_peer *replica_send_and_accept(struct replica_fixture *fixture)
{
	struct raw_peer *peer;

	replica_send_get(fixture);
	peer = raw_accept(fixture->listener);
	raw_expect(peer, REPLICA_GET);
	return peer;
}

struct raw_peer *replica_serve_once(struct replica_fixture *fixture)
{
	struct raw_peer *peer;

	replica_send_get(fixture);
	peer = raw_accept(fixture->listener);
	raw_expect(peer, "\r\n\r\n");
	raw_send(peer, REPLICA_OK "\r\nab");
	raw_run_until(&fixture->replies, 1);
	g_assert_cmpint(fixture->outcome, ==, RR_GATE_ANSWERED);
	g_string_truncate(peer->received, 0);
	return peer;
}
