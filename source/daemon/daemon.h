/*
 * daemon.h - an instance: the core and its network adapters on one main loop.
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
 * Read an instance's start file.  Return NULL with `error` set if the file
 * cannot be read, and NULL without an error, with the reasons appended to
 * `diagnostics`, if its contents are invalid.
 */
struct rr_start_settings *
rr_read_start_file(const char *file, GPtrArray *diagnostics, GError **error);

/*
 * Create an instance, open its listening sockets and connect to the platform.
 * Return NULL with `error` set on failure.  `settings` is only used during
 * the call; `start_file`, from which it was read, is read again on SIGHUP.
 */
struct rr_daemon *rr_new_daemon(struct rr_context *ctx, const char *start_file,
				const struct rr_start_settings *settings,
				GError **error);
void rr_drop_daemon(struct rr_daemon *daemon);
/* Run until SIGTERM or SIGINT, and then until the drain has finished. */
void rr_run_daemon(struct rr_daemon *daemon);

/*
 * Read the CURVE keys that the start file names.  Keys that it does not name
 * stay unset.  The caller owns *secret_key and releases it with
 * rr_wipe_secret_key().  Return false with `error` set if the file of the
 * secret key cannot be read.
 */
bool rr_read_peer_keys(const struct rr_start_settings *settings,
		       struct rr_peer_keys *keys, char **secret_key,
		       GError **error);
/* Overwrite a secret key with zeros and free it.  NULL is allowed. */
void rr_wipe_secret_key(char *secret_key);

/* Write a log line to stderr; the `write` callback of rr_log_options. */
void rr_write_log_line(void *data, enum rr_log_level level, const char *line);
/*
 * Apply the log settings of the operators' configuration files (`site`).
 * Those that they leave unset are taken from the start file (`start`).
 */
void rr_apply_log_settings(struct rr_context *ctx,
			   const struct rr_log_settings *start,
			   const struct rr_log_settings *site);

#endif
