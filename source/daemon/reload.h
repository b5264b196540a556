/*
 * reload.h - what an instance reads again without a stop.
 */
#ifndef RAGWORT_DAEMON_RELOAD_H
#define RAGWORT_DAEMON_RELOAD_H

#include "daemon/daemon.h"
#include "ragwort/net-caller.h"

struct rr_reload {
	struct rr_caller_server *callers;
	struct rr_peer_transport *peers;
	const char *start_file;
	bool keyed; /* the peer port was made with keys */
};

/*
 * Read certificate, key and tokens again, and the keys that the start file
 * names.  What fails is logged as "reload-failed" and stays as it was.
 */
void rr_reload_keys(struct rr_context *ctx, const struct rr_reload *parts);

#endif
