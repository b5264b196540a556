/*
 * gateway.h - a gateway instance.
 *
 * Connects the gate and the feed with their network adapters on one main loop.
 */
#ifndef RAGWORT_GATEWAY_H
#define RAGWORT_GATEWAY_H

#include <glib.h>

#include "ragwort/context.h"
#include "ragwort/settings.h"

struct rr_gateway;

/*
 * Create a gateway and listen on its addresses.  Returns NULL and sets *error
 * on failure.  The settings must outlive the gateway.
 */
struct rr_gateway *rr_new_gateway(struct rr_context *ctx,
				  const struct rr_gateway_settings *settings,
				  GError **error);
/* Close all connections and free the gateway, which may be NULL. */
void rr_drop_gateway(struct rr_gateway *gateway);
/* Run until the graceful stop that follows SIGTERM or SIGINT has ended. */
void rr_run_gateway(struct rr_gateway *gateway);

#endif
