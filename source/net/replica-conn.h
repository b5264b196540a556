/*
 * replica-conn.h - one connection to a replica, for the port that has many.
 */
#ifndef RAGWORT_NET_REPLICA_CONN_H
#define RAGWORT_NET_REPLICA_CONN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http-reader.h"
#include "net/replica-client.h"
#include "net/stream.h"

enum conn_state {
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_BUSY, /* its attempt's request was sent, at least in part */
};

struct rr_conn_pool {
	char *incarnation;
	char *address;
	GQueue idle; /* struct conn, the one used last at the head */
	uint32_t max_idle;
	uint32_t n_conns;
	bool closing;
};

struct rr_replica_conn {
	struct rr_replica_client *client;
	struct rr_conn_pool *pool;
	struct rr_stream *stream;
	struct rr_http_reader *reader;
	enum conn_state state;
	int64_t connect_started_us; /* connecting */
	int64_t reuse_until_us;
	uint64_t attempt; /* 0: none */
	int64_t deadline_us;
	bool idempotent;
	bool no_body;
	bool is_probe;	     /* its connecting is waited for */
	bool peer_reachable; /* though it did not come to stand */
	bool no_reuse;	     /* not to be used again after this answer */
	uint32_t n_mismatched;
	char *request_id;
	GByteArray *pending_request; /* waits for the connection */
	GList link; /* in the port's list of connections in use */
	bool is_active;
};

struct rr_replica_client {
	struct rr_context *ctx;
	struct rr_poller *poller;
	char *request_id_header; /* headers' names; NULL: not looked at */
	char *signature_header;
	char *not_run_header;
	char *load_header;
	bool (*parse_load)(const char *text, struct rr_gate_load *load);
	void (*replied)(void *data, const struct rr_gate_reply *reply);
	void (*probed)(void *data, const char *lifetime, bool reached);
	void *data;
	int64_t now_us;
	GHashTable *pools;    /* lifetime -> struct rr_conn_pool */
	GHashTable *attempts; /* id -> struct rr_replica_conn */
	GQueue active;	      /* struct conn: connecting or busy */
	GQueue deferred;      /* struct owed */
};

/* In the port's list of connections in use, or out of it. */
void rr_add_active_conn(struct rr_replica_conn *conn);
void rr_remove_active_conn(struct rr_replica_conn *conn);
/* Begin to connect; NULL if that fails at once. */
struct rr_replica_conn *rr_open_replica_conn(struct rr_replica_client *port,
					     struct rr_conn_pool *replica);
/* Its next request is sent on it now. */
void rr_mark_conn_busy(struct rr_replica_conn *conn);
/* Close and forget it; with the last one a forgotten replica goes as well. */
void rr_free_conn(struct rr_replica_conn *conn);
/* It is of no more use; its attempt and its probe, if any, are told so. */
void rr_fail_conn(struct rr_replica_conn *conn, enum rr_gate_outcome outcome,
		  const char *reason);

#endif
