/*
 * reload.h - what an instance reads again without a stop.
 */
#ifndef RAGWORT_DAEMON_RELOAD_H
#define RAGWORT_DAEMON_RELOAD_H

#include "daemon/daemon.h"
#include "ragwort/net-caller.h"

struct rr_reload_targets {
	struct rr_caller_server *caller_server;
	struct rr_peer_transport *peer_transport;
	const char *start_file;
	bool uses_curve_keys; /* the peer port was made with keys */
};

/*
 * Read certificate, key and tokens again, and the keys that the start file
 * names.  What fails is logged as "reload-failed" and stays as it was.
 */
void rr_reload_credentials(struct rr_context *ctx,
			   const struct rr_reload_targets *parts);

#endif
