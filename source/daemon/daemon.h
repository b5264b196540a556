/*
 * daemon.h - an entry instance: the core with its adapters on one main loop.
 */
#ifndef RAGWORT_DAEMON_H
#define RAGWORT_DAEMON_H

#include <glib.h>
#include <stdbool.h>

#include "ragwort/context.h"
#include "ragwort/net-peer.h"
#include "ragwort/settings.h"

struct rr_daemon;

/*
 * Read an instance's start file.  NULL with an error when it is unreadable,
 * without one and with faults appended when it is faulty.
 */
struct rr_start_settings *rr_read_start_file(const char *file,
					     GPtrArray *faults, GError **error);

/*
 * Listen and connect; NULL with an error.  The settings are not kept; the
 * file they are from is read again on SIGHUP.
 */
struct rr_daemon *rr_new_daemon(struct rr_context *ctx, const char *start_file,
				const struct rr_start_settings *settings,
				GError **error);
void rr_drop_daemon(struct rr_daemon *daemon);
/* Run until SIGTERM or SIGINT and the graceful stop that follows. */
void rr_run_daemon(struct rr_daemon *daemon);

/*
 * Read the keys that the start file names; they stay unset where it names
 * none.  *secret_key belongs to the caller, for rr_wipe_secret_key().
 */
bool rr_read_peer_keys(const struct rr_start_settings *settings,
		       struct rr_peer_keys *keys, char **secret_key,
		       GError **error);
/* Overwrite and free. NULL is allowed. */
void rr_wipe_secret_key(char *secret_key);

/* Write log lines to stderr: for struct rr_log_options. */
void rr_write_log_line(void *data, enum rr_log_level level, const char *line);
/*
 * Log as the operators' files say, and as the start file says where they say
 * nothing.
 */
void rr_apply_log_settings(struct rr_context *ctx,
			   const struct rr_log_settings *start,
			   const struct rr_log_settings *site);

#endif
