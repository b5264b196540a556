/*
 * replica-conn.h - one connection to a replica, for the port that has many.
 */
#ifndef RAGWORT_NET_REPLICA_CONN_H
#define RAGWORT_NET_REPLICA_CONN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http-reader.h"
#include "net/replica-port.h"
#include "net/stream.h"

enum conn_state {
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_BUSY, /* its attempt's request was sent, at least in part */
};

struct rr_conn_replica {
	char *lifetime;
	char *address;
	GQueue idle; /* struct conn, the one used last at the head */
	uint32_t most_idle;
	uint32_t n_conns;
	bool forgotten;
};

struct rr_conn {
	struct rr_replica_port *port;
	struct rr_conn_replica *replica;
	struct rr_stream *stream;
	struct rr_http_reader *reader;
	enum conn_state state;
	int64_t since_us; /* connecting */
	int64_t keep_until_us;
	uint64_t attempt; /* 0: none */
	int64_t give_up_us;
	bool idempotent;
	bool no_body;
	bool probe;   /* its connecting is waited for */
	bool reached; /* though it did not come to stand */
	bool soiled;  /* not to be used again after this answer */
	uint32_t n_foreign;
	char *request_id;
	GByteArray *request; /* waits for the connection */
	GList link;	     /* in the port's list of connections in use */
	bool linked;
};

struct rr_replica_port {
	struct rr_context *ctx;
	struct rr_poller *poller;
	char *request_id; /* headers' names; NULL: not looked at */
	char *seal;
	char *not_run;
	char *load;
	bool (*read_load)(const char *text, struct rr_gate_load *load);
	void (*replied)(void *data, const struct rr_gate_reply *reply);
	void (*probed)(void *data, const char *lifetime, bool reached);
	void *data;
	int64_t now_us;
	GHashTable *replicas; /* lifetime -> struct rr_conn_replica */
	GHashTable *attempts; /* id -> struct rr_conn */
	GQueue used;	      /* struct conn: connecting or busy */
	GQueue owed;	      /* struct owed */
};

/* In the port's list of connections in use, or out of it. */
void rr_link_conn(struct rr_conn *conn);
void rr_unlink_conn(struct rr_conn *conn);
/* Begin to connect; NULL if that fails at once. */
struct rr_conn *rr_connect_to(struct rr_replica_port *port,
			      struct rr_conn_replica *replica);
/* Its next request is sent on it now. */
void rr_start_busy(struct rr_conn *conn);
/* Close and forget it; with the last one a forgotten replica goes as well. */
void rr_free_conn(struct rr_conn *conn);
/* It is of no more use; its attempt and its probe, if any, are told so. */
void rr_break_conn(struct rr_conn *conn, enum rr_gate_outcome outcome,
		   const char *reason);

#endif
