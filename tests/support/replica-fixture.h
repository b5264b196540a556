/*
 * replica-fixture.h - a client of one replica whose bytes the test sends
 * itself.
 */
#ifndef TESTS_SUPPORT_REPLICA_FIXTURE_H
#define TESTS_SUPPORT_REPLICA_FIXTURE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/poller.h"
#include "net/replica-client.h"
#include "support/raw-peer.h"

#define REPLICA_GET "GET /1 HTTP/1.1\r\nHost: h\r\nId: one\r\n\r\n"
#define REPLICA_OK \
	"HTTP/1.1 200 OK\r\nId: one\r\nSeal: s\r\nContent-Length: 2\r\n"

struct replica_fixture {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_replica_client *client;
	struct raw_listener *listener;
	uint64_t next_attempt;
	int replies;
	enum rr_gate_outcome outcome;
	uint16_t status;
	bool unreachable;
	bool wrong_incarnation;
	struct rr_gate_load load;
	char *signature;
	GString *body;
	int idle_closes;
	int probes;
	bool probe_reached;
};

/*
 * Create a listener, and a client with the headers Id, Seal, Not-Run and Load.
 */
struct replica_fixture *replica_new_fixture(void);
void replica_drop_fixture(struct replica_fixture *fixture);

/* Send a request as one attempt; returns the attempt's id. */
uint64_t replica_send(struct replica_fixture *fixture, const char *head,
		      const char *body, bool idempotent, bool no_body);

/* Send REPLICA_GET, which is idempotent. */
uint64_t replica_send_get(struct replica_fixture *fixture);

/* Send REPLICA_GET and read it from a new connection. */
struct raw_peer *replica_send_and_accept(struct replica_fixture *fixture);

/*
 * Send REPLICA_GET, read it from a new connection and answer it successfully.
 * The connection is kept for reuse.
 */
struct raw_peer *replica_serve_once(struct replica_fixture *fixture);

#endif
