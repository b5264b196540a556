/*
 * replica-scene.h - a port to one replica whose bytes the test sends itself.
 */
#ifndef TESTS_SUPPORT_REPLICA_SCENE_H
#define TESTS_SUPPORT_REPLICA_SCENE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/poller.h"
#include "net/replica-port.h"
#include "support/raw-peer.h"

#define REPLICA_GET "GET /1 HTTP/1.1\r\nHost: h\r\nId: one\r\n\r\n"
#define REPLICA_OK \
	"HTTP/1.1 200 OK\r\nId: one\r\nSeal: s\r\nContent-Length: 2\r\n"

struct replica_scene {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_replica_port *port;
	struct raw_listener *listener;
	uint64_t next_attempt;
	int replies;
	enum rr_gate_outcome outcome;
	uint16_t status;
	bool unreachable;
	bool other_instance;
	struct rr_gate_load load;
	char *seal;
	GString *body;
	int probes;
	bool reached;
};

/* A listener, and a port that knows headers Id, Seal, Not-Run and Load. */
struct replica_scene *replica_start(void);
void replica_stop(struct replica_scene *scene);

/* Send a request as one attempt; returns its id. */
uint64_t replica_send(struct replica_scene *scene, const char *head,
		      const char *body, bool idempotent, bool no_body);

/* Send REPLICA_GET, which may be repeated. */
uint64_t replica_ask(struct replica_scene *scene);

/* Ask, and have the request on a new connection. */
struct raw_peer *replica_ask_and_accept(struct replica_scene *scene);

/* Ask once more on a new connection or a kept one, and answer it well. */
struct raw_peer *replica_serve_once(struct replica_scene *scene);

#endif
