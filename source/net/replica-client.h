/*
 * replica-client.h - connections to replicas; one request at a time on each,
 * and each request sent once.
 *
 * A connection is closed on any protocol violation: unexpected bytes, an answer
 * to another request, or invalid framing. Only complete answers are reported.
 */
#ifndef RAGWORT_NET_REPLICA_CLIENT_H
#define RAGWORT_NET_REPLICA_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http-reader.h"
#include "net/memory-budget.h"
#include "net/poller.h"
#include "ragwort/context.h"
#include "ragwort/gate.h"

struct rr_replica_client_options {
	struct rr_poller *poller;
	struct rr_memory_budget *memory; /* NULL: no limit */
	/*
	 * Names of the headers that answers are checked by. NULL disables a
	 * check: without signature_header, for example, answers need no
	 * signature.
	 */
	const char *request_id_header;
	const char *signature_header;
	const char *not_run_header;
	/* Header with the load of a replica, and its parser; NULL: none. */
	const char *load_header;
	bool (*parse_load)(const char *text, struct rr_gate_load *load);
	/* Reports a reply, whose message is a struct rr_http_message. */
	void (*replied)(void *data, const struct rr_gate_reply *reply);
	/* Reports the result of rr_probe_replica(); NULL if never used. */
	void (*probed)(void *data, const char *incarnation, bool reached);
	/* The other side has closed an idle connection; NULL: not reported. */
	void (*idle_closed)(void *data, const char *incarnation);
	void *data;
};

struct rr_raw_request {
	/* Request line and headers, including the empty line. */
	const char *head;
	size_t head_length;
	const uint8_t *body;
	size_t body_length;
	const char *request_id; /* NULL: none */
	bool no_body;		/* HEAD request: the response has no body */
};

struct rr_replica_client;

struct rr_replica_client *
rr_new_replica_client(struct rr_context *ctx,
		      const struct rr_replica_client_options *options);
void rr_drop_replica_client(struct rr_replica_client *client);

/*
 * Send one attempt. The reply is reported later, never from inside this
 * function. The bytes are copied.
 */
void rr_send_to_replica(struct rr_replica_client *client, int64_t now_us,
			const struct rr_gate_attempt_info *info,
			const struct rr_raw_request *request);
/*
 * Close the connection of an attempt, for which no reply is reported any more.
 */
void rr_cancel_replica_attempt(struct rr_replica_client *client,
			       uint64_t attempt);
/*
 * Cancel an attempt like rr_cancel_replica_attempt(), but only if no byte of it
 * has been sent because its connection is not yet established. Returns false
 * otherwise, or if the attempt is unknown.
 */
bool rr_cancel_unsent_attempt(struct rr_replica_client *client,
			      uint64_t attempt);
/*
 * Open an idle connection to a replica, unless it has any connection already.
 */
void rr_preconnect_replica(struct rr_replica_client *client, int64_t now_us,
			   const char *incarnation, const char *address);
/*
 * Open another connection to a replica regardless of existing ones; it is kept.
 * The result is reported later, never from inside this function.
 */
void rr_probe_replica(struct rr_replica_client *client, int64_t now_us,
		      const char *incarnation, const char *address);
/* Close the idle connections of a replica; those in use close when done. */
void rr_close_replica_conns(struct rr_replica_client *client,
			    const char *incarnation);

/* Close connections that have timed out and report deferred replies. */
void rr_tick_replica_client(struct rr_replica_client *client, int64_t now_us);
int64_t rr_replica_client_wake_us(const struct rr_replica_client *client);

#endif
