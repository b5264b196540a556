/*
 * net-caller.h - HTTP server for callers: receives requests and sends answers.
 *
 * docs/FORMATS.md specifies the formats; docs/CALLERS.md is the guide for
 * callers.
 */
#ifndef RAGWORT_NET_CALLER_H
#define RAGWORT_NET_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/request.h"

struct rr_caller_server_options {
	const char *address; /* IP:PORT; port 0 picks a free one */
	uint32_t max_body_bytes;
	/*
	 * Time limit for a connection to send a complete request, counted from
	 * when it was opened or from its last answer, and for reading an
	 * answer.
	 */
	uint32_t io_timeout_ms;
	uint32_t rate_per_s; /* requests per client address; 0: no limit */
	/*
	 * Open connections; a request on one above the limit is rejected. 0: no
	 * limit.
	 */
	uint32_t max_connections;
	/*
	 * Memory for the bodies of requests and for answers, over all
	 * connections. Beyond it long bodies are rejected, and callers that
	 * send or read too slowly are disconnected. 0: no limit.
	 */
	uint64_t max_memory_bytes;
	const char *tls_certificate_file; /* NULL: plain HTTP */
	const char *tls_key_file;
	/*
	 * File with one token per line, each of which is accepted; NULL: no
	 * token required.
	 */
	const char *token_file;
	/*
	 * Handles a request and returns its query id. rr_answer_call() answers
	 * it, possibly from inside the callback.
	 */
	uint64_t (*request)(void *data, const struct rr_request *request);
	/*
	 * The caller of a query has disconnected; the query must not be
	 * answered any more.
	 */
	void (*disconnected)(void *data, uint64_t query_id);
	/*
	 * Returns whether the instance accepts callers; if not, sets *reason.
	 */
	bool (*is_ready)(void *data, const char **reason);
	/*
	 * Appends this instance's state as a JSON object, for the page /status.
	 */
	void (*append_status)(void *data, GString *out);
	void *data;
};

struct rr_caller_server;

/*
 * Start to listen. Returns NULL with an error if that fails or a file cannot be
 * read.
 */
struct rr_caller_server *
rr_new_caller_server(struct rr_context *ctx,
		     const struct rr_caller_server_options *options,
		     GError **error);
/* Stop listening and close all connections. NULL is allowed. */
void rr_drop_caller_server(struct rr_caller_server *server);

/* Answer a query. An id whose caller has disconnected is ignored. */
void rr_answer_call(struct rr_context *ctx, struct rr_caller_server *server,
		    const struct rr_answer *answer);
/* Reload certificate, key and tokens; on an error the old ones stay in use. */
bool rr_reload_caller_server(struct rr_context *ctx,
			     struct rr_caller_server *server, GError **error);
/* Start a planned shutdown: each reply closes its connection from now on. */
void rr_drain_caller_server(struct rr_caller_server *server);
/* Return the number of calls whose reply has not been fully written. */
uint32_t rr_count_open_calls(const struct rr_caller_server *server);
/* Return the TCP port that the server listens on. */
uint16_t rr_caller_server_tcp_port(const struct rr_caller_server *server);

#endif
