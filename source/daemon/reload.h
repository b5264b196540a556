/*
 * reload.h - reload of an instance's credentials without a restart.
 */
#ifndef RAGWORT_DAEMON_RELOAD_H
#define RAGWORT_DAEMON_RELOAD_H

#include "daemon/daemon.h"
#include "ragwort/net-caller.h"

struct rr_reload_targets {
	struct rr_caller_server *caller_server;
	struct rr_peer_transport *peer_transport;
	const char *start_file;
	bool uses_curve_keys; /* the peer transport was created with keys */
};

/*
 * Reload the certificate, its key and the tokens, and the peer keys that the
 * start file names.  A part that fails is logged as "reload-failed" and keeps
 * its previous values.
 */
void rr_reload_credentials(struct rr_context *ctx,
			   const struct rr_reload_targets *targets);

#endif
