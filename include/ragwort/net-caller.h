/*
 * net-caller.h - callers' HTTP server: requests in, answers out.
 *
 * docs/FORMATS.md has the formats, docs/CALLERS.md the page for callers.
 */
#ifndef RAGWORT_NET_CALLER_H
#define RAGWORT_NET_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/request.h"

struct rr_caller_server_options {
	const char *address; /* IP:PORT; port 0 takes a free one */
	uint32_t max_body_bytes;
	/*
	 * How long a connection may take to bring a whole request, counted
	 * from its opening or its last answer, and to read an answer.
	 */
	uint32_t io_timeout_ms;
	uint32_t rate_per_s; /* requests of one address; 0: no bound */
	/* At once; a request on one more is refused.  0: no bound. */
	uint32_t max_connections;
	const char *tls_certificate_file; /* NULL: plain HTTP */
	const char *tls_key_file;
	/* One token a line, any of which is taken; NULL: no token asked. */
	const char *token_file;
	/*
	 * A request came; returns its query id.  rr_answer_call() answers it,
	 * possibly from inside the callback.
	 */
	uint64_t (*request)(void *data, const struct rr_request *request);
	/* The caller of a query left; it must not be answered any more. */
	void (*disconnected)(void *data, uint64_t query_id);
	/* Whether to send callers here; else *reason says why not. */
	bool (*is_ready)(void *data, const char **reason);
	/* Append the state as a JSON object. */
	void (*append_status)(void *data, GString *out);
	void *data;
};

struct rr_caller_server;

/* Listen; NULL with an error if that or reading a file fails. */
struct rr_caller_server *
rr_new_caller_server(struct rr_context *ctx,
		     const struct rr_caller_server_options *options,
		     GError **error);
/* Stop listening and close all connections. NULL is allowed. */
void rr_drop_caller_server(struct rr_caller_server *port);

/* Answer a query.  An id whose caller has left is ignored. */
void rr_answer_call(struct rr_context *ctx, struct rr_caller_server *port,
		    const struct rr_answer *answer);
/* Read certificate, key and tokens again; on an error the old ones stay. */
bool rr_reload_caller_server(struct rr_context *ctx,
			     struct rr_caller_server *port, GError **error);
/* A planned stop has begun: each reply closes its connection. */
void rr_drain_caller_server(struct rr_caller_server *port);
/* Calls whose reply has not been written to the end. */
uint32_t rr_count_open_calls(const struct rr_caller_server *port);
/* The port that is listened to. */
uint16_t rr_caller_server_tcp_port(const struct rr_caller_server *port);

#endif
