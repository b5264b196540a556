/*
 * caller-connections.h - callers' connections, bounded in time and number.
 */
#ifndef RAGWORT_CALLER_CONNECTIONS_H
#define RAGWORT_CALLER_CONNECTIONS_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"

struct rr_caller_connections;

/*
 * Watch the connections of a server, which has to live longer.  Both bounds
 * are those of struct rr_caller_server_options.
 */
struct rr_caller_connections *
rr_new_caller_connections(struct rr_context *ctx, SoupServer *server,
			  uint32_t idle_ms, uint32_t max_connections);
/* Watch no more; connections are the server's. NULL is allowed. */
void rr_drop_caller_connections(struct rr_caller_connections *callers);

/* Whether a message came on a connection over the bound on their number. */
bool rr_is_over_connection_limit(SoupServerMessage *message);

/* The reply is there: from now on it is the caller's turn to read it. */
void rr_mark_reply_ready(SoupServerMessage *message);

#endif
