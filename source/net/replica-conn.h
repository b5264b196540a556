/*
 * replica-conn.h - a connection to a replica, as used by the replica client.
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
	CONN_BUSY, /* the request of its attempt was sent, at least in part */
};

struct rr_conn_pool {
	char *incarnation;
	char *address;
	GQueue idle; /* struct rr_replica_conn, most recently used first */
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
	int64_t connect_started_us; /* when connecting started */
	int64_t reuse_until_us;
	uint64_t attempt; /* 0: none */
	int64_t deadline_us;
	bool idempotent;
	bool no_body;
	bool is_probe;	     /* opened for rr_probe_replica() */
	bool peer_reachable; /* connecting failed, but the peer is reachable */
	bool no_reuse;	     /* close after the current answer */
	uint32_t n_mismatched;
	char *request_id;
	GByteArray *pending_request; /* sent once connected */
	struct rr_memory_user memory;
	GList link; /* element of the client's `active` list */
	bool is_active;
};

struct rr_replica_client {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_memory_budget *memory; /* NULL: no limit */
	char *request_id_header;	 /* header names; NULL: not checked */
	char *signature_header;
	char *not_run_header;
	char *load_header;
	bool (*parse_load)(const char *text, struct rr_gate_load *load);
	void (*replied)(void *data, const struct rr_gate_reply *reply);
	void (*probed)(void *data, const char *incarnation, bool reached);
	void (*idle_closed)(void *data, const char *incarnation);
	void *data;
	int64_t now_us;
	GHashTable *pools;    /* incarnation -> struct rr_conn_pool */
	GHashTable *attempts; /* id -> struct rr_replica_conn */
	GQueue active;	      /* struct rr_replica_conn: connecting or busy */
	GQueue deferred;      /* struct deferred_reply */
};

/* Add a connection to the client's active list, or remove it. */
void rr_add_active_conn(struct rr_replica_conn *conn);
void rr_remove_active_conn(struct rr_replica_conn *conn);
/* Start to connect; NULL if that fails immediately. */
struct rr_replica_conn *rr_open_replica_conn(struct rr_replica_client *client,
					     struct rr_conn_pool *pool);
/* Report what a connection holds for its request and its answer. */
void rr_update_conn_memory(struct rr_replica_conn *conn);
/* Mark a connection as busy, before the next request is sent on it. */
void rr_mark_conn_busy(struct rr_replica_conn *conn);
/*
 * Close and free a connection; the last one of a closing pool frees the pool.
 */
void rr_close_replica_conn(struct rr_replica_conn *conn);
/*
 * Close a failed connection and report the failure of its attempt or probe, if
 * any.
 */
void rr_fail_replica_conn(struct rr_replica_conn *conn,
			  enum rr_gate_outcome outcome, const char *reason);

#endif
