/*
 * replica-client.h - connections to replicas: one request at a time on each,
 * each sent once.
 *
 * A connection goes whenever something on it is not what it should be: bytes
 * that nobody asked for, an answer to another request, a framing that does
 * not parse.  An answer is handed on only when it is whole.
 */
#ifndef RAGWORT_NET_REPLICA_CLIENT_H
#define RAGWORT_NET_REPLICA_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http-reader.h"
#include "net/poller.h"
#include "ragwort/context.h"
#include "ragwort/gate.h"

struct rr_replica_client_options {
	struct rr_poller *poller;
	/*
	 * Names of the headers that answers are judged by.  Without a name
	 * for signatures answers need none, and so on.
	 */
	const char *request_id_header;
	const char *signature_header;
	const char *not_run_header;
	/* The header of a replica's load, and what reads it; NULL: none. */
	const char *load_header;
	bool (*parse_load)(const char *text, struct rr_gate_load *load);
	/* message in the reply is a struct rr_http_message. */
	void (*replied)(void *data, const struct rr_gate_reply *reply);
	/* The outcome of rr_probe_replica(); NULL where none is made. */
	void (*probed)(void *data, const char *lifetime, bool reached);
	void *data;
};

struct rr_raw_request {
	const char *head; /* request line and headers, with the empty line */
	size_t head_length;
	const uint8_t *body;
	size_t body_length;
	const char *request_id; /* NULL: it has none */
	bool no_body;		/* the response has none: HEAD */
};

struct rr_replica_client;

struct rr_replica_client *
rr_new_replica_client(struct rr_context *ctx,
		      const struct rr_replica_client_options *options);
void rr_drop_replica_client(struct rr_replica_client *port);

/*
 * Send one attempt.  The reply comes later, never from inside.  Bytes are
 * copied.
 */
void rr_send_to_replica(struct rr_replica_client *port, int64_t now_us,
			const struct rr_gate_attempt_info *send,
			const struct rr_raw_request *request);
/* End the connection of an attempt, which is not replied to any more. */
void rr_cancel_replica_attempt(struct rr_replica_client *port,
			       uint64_t attempt);
/*
 * As above, but only if no byte of it has left: its connection does not stand
 * yet.  False if it has, or is none of this port's.
 */
bool rr_cancel_unsent_attempt(struct rr_replica_client *port, uint64_t attempt);
/* Have one idle connection to a replica, unless there is any already. */
void rr_preconnect_replica(struct rr_replica_client *port, int64_t now_us,
			   const char *lifetime, const char *address);
/*
 * Make one more connection to a replica, whatever there is; it is kept.  The
 * outcome comes later, never from inside.
 */
void rr_probe_replica(struct rr_replica_client *port, int64_t now_us,
		      const char *lifetime, const char *address);
/* Close idle connections of a replica; those in use close when done. */
void rr_close_replica_conns(struct rr_replica_client *port,
			    const char *lifetime);

/* Connections that take too long, and replies that wait to be given. */
void rr_tick_replica_client(struct rr_replica_client *port, int64_t now_us);
int64_t rr_replica_client_wake_us(const struct rr_replica_client *port);

#endif
