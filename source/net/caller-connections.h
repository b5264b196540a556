/*
 * caller-connections.h - limits on the number and idle time of caller
 * connections.
 */
#ifndef RAGWORT_CALLER_CONNECTIONS_H
#define RAGWORT_CALLER_CONNECTIONS_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"

struct rr_caller_connections;

/*
 * Track the connections of a server, which must outlive this object. Both
 * limits are those of struct rr_caller_server_options.
 */
struct rr_caller_connections *
rr_new_caller_connections(struct rr_context *ctx, SoupServer *server,
			  uint32_t idle_ms, uint32_t max_connections);
/* Stop tracking; the connections belong to the server. NULL is allowed. */
void rr_drop_caller_connections(struct rr_caller_connections *callers);

/* Return whether a message arrived on a connection above the limit. */
bool rr_is_over_connection_limit(SoupServerMessage *message);

/* Mark the reply as ready: the time limit for reading it starts now. */
void rr_mark_reply_ready(SoupServerMessage *message);

#endif
