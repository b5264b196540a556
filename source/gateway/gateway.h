/*
 * gateway.h - a gateway instance: the gate and the feed with their adapters
 * on one main loop.
 */
#ifndef RAGWORT_GATEWAY_H
#define RAGWORT_GATEWAY_H

#include <glib.h>

#include "ragwort/context.h"
#include "ragwort/settings.h"

struct rr_gateway;

/* Listen; NULL with an error.  The settings must live as long. */
struct rr_gateway *rr_new_gateway(struct rr_context *ctx,
				  const struct rr_gateway_settings *settings,
				  GError **error);
void rr_drop_gateway(struct rr_gateway *gateway);
/* Run until SIGTERM or SIGINT and the graceful stop that follows. */
void rr_run_gateway(struct rr_gateway *gateway);

#endif
