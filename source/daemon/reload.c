/*
 * reload.c - reload of certificate, tokens and peer keys on SIGHUP.
 */
#include "daemon/reload.h"

#include "ragwort/counters.h"
#include "ragwort/error.h"
#include "ragwort/log.h"

static void set_error_from_diagnostics(const GPtrArray *diagnostics,
				       GError **error)
{
	const struct rr_diagnostic *diagnostic;

	if (!diagnostics->len)
		return;
	diagnostic = g_ptr_array_index(diagnostics, 0);
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX, "%s:%u: %s",
		    diagnostic->file, diagnostic->line, diagnostic->message);
}

static struct rr_start_settings *reread_settings(const char *file,
						 GError **error)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_start_settings *settings =
		rr_read_start_file(file, diagnostics, error);

	if (!settings)
		set_error_from_diagnostics(diagnostics, error);
	g_ptr_array_unref(diagnostics);
	return settings;
}

static bool reload_peers(struct rr_context *ctx,
			 struct rr_peer_transport *peers,
			 const struct rr_start_settings *settings,
			 bool uses_curve_keys, GError **error)
{
	struct rr_peer_keys keys = { 0 };
	char *secret_key;
	bool ok;

	if (uses_curve_keys != (settings->peer_public_key != NULL)) {
		g_set_error(error, RR_ERROR, RR_ERROR_RESTART_REQUIRED,
			    "'curve' was %s the start file; this change "
			    "requires a restart",
			    uses_curve_keys ? "removed from" : "added to");
		return false;
	}
	if (!uses_curve_keys)
		return true;
	if (!rr_read_peer_keys(settings, &keys, &secret_key, error))
		return false;
	ok = rr_set_peer_keys(ctx, peers, &keys, error);
	rr_wipe_secret_key(secret_key);
	return ok;
}

/* Log whether `what` was reloaded, clear the error; return true on success. */
static bool log_result(struct rr_context *ctx, const char *what, GError **error)
{
	bool ok = !*error;

	if (ok)
		rr_log(ctx, RR_LOG_INFO, "reloaded",
		       RR_FIELD_STRING("what", what));
	else
		rr_log(ctx, RR_LOG_ERROR, "reload-failed",
		       RR_FIELD_STRING("what", what),
		       RR_FIELD_STRING("error", (*error)->message));
	g_clear_error(error);
	return ok;
}

/*
 * Caller and peer credentials are reloaded independently of each other: a
 * certificate that is expired or unreadable must not keep a removed peer key
 * accepted.
 */
void rr_reload_credentials(struct rr_context *ctx,
			   const struct rr_reload_targets *targets)
{
	struct rr_start_settings *settings;
	GError *error = NULL;
	bool ok;

	rr_reload_caller_server(ctx, targets->caller_server, &error);
	ok = log_result(ctx, "callers' certificate and tokens", &error);
	settings = reread_settings(targets->start_file, &error);
	if (settings)
		reload_peers(ctx, targets->peer_transport, settings,
			     targets->uses_curve_keys, &error);
	ok = log_result(ctx, "peers' keys", &error) && ok;
	rr_drop_start_settings(settings);
	rr_count(ctx, ok ? RR_N_RELOADS : RR_N_RELOAD_FAILURES, 1);
}
