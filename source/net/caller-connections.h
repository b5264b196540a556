/*
 * caller-connections.h - limits on the number, idle time and memory of caller
 * connections.
 */
#ifndef RAGWORT_CALLER_CONNECTIONS_H
#define RAGWORT_CALLER_CONNECTIONS_H

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/net-caller.h"

struct rr_caller_connections;

/*
 * Track the connections of a server, which must outlive this object. The limits
 * are those of struct rr_caller_server_options.
 */
struct rr_caller_connections *
rr_new_caller_connections(struct rr_context *ctx, SoupServer *server,
			  const struct rr_caller_server_options *options);
/* Stop tracking; the connections belong to the server. NULL is allowed. */
void rr_drop_caller_connections(struct rr_caller_connections *callers);

/*
 * Return whether a message arrived on a connection above the limit that can't
 * replace an idle one.
 */
bool rr_is_over_connection_limit(SoupServerMessage *message);

/*
 * Reserve memory for the body of a request whose headers have been read. If it
 * is short, callers that have held much of it for long are disconnected. Returns
 * false if it is still short.
 */
bool rr_reserve_body_memory(SoupServerMessage *message, size_t n_bytes);

/*
 * Mark the reply as ready: the time limit for reading its n_bytes starts now.
 */
void rr_mark_reply_ready(SoupServerMessage *message, size_t n_bytes);

#endif
