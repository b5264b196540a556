/*
 * reload.c - SIGHUP: certificate, tokens and peers' keys read again.
 */
#include "daemon/reload.h"

#include "ragwort/counters.h"
#include "ragwort/error.h"
#include "ragwort/log.h"

static void set_fault(const GPtrArray *faults, GError **error)
{
	const struct rr_diagnostic *fault;

	if (!faults->len)
		return;
	fault = g_ptr_array_index(faults, 0);
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX, "%s:%u: %s", fault->file,
		    fault->line, fault->message);
}

static struct rr_start_settings *read_again(const char *file, GError **error)
{
	GPtrArray *faults = rr_new_diagnostics();
	struct rr_start_settings *settings =
		rr_read_start_file(file, faults, error);

	if (!settings)
		set_fault(faults, error);
	g_ptr_array_unref(faults);
	return settings;
}

static bool reload_peers(struct rr_context *ctx,
			 struct rr_peer_transport *peers,
			 const struct rr_start_settings *settings, bool keyed,
			 GError **error)
{
	struct rr_peer_keys keys = { 0 };
	char *secret_key;
	bool ok;

	if (keyed != (settings->peer_public_key != NULL)) {
		g_set_error(error, RR_ERROR, RR_ERROR_RESTART_REQUIRED,
			    "'curve' was %s the start file: that needs a "
			    "restart",
			    keyed ? "taken out of" : "put into");
		return false;
	}
	if (!keyed)
		return true;
	if (!rr_read_peer_keys(settings, &keys, &secret_key, error))
		return false;
	ok = rr_set_peer_keys(ctx, peers, &keys, error);
	rr_wipe_secret_key(secret_key);
	return ok;
}

/* Log how it went; clears the error. */
static bool tell(struct rr_context *ctx, const char *what, GError **error)
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
 * Each part by itself: an expired certificate that cannot be read must not
 * keep a peer's removed key alive.
 */
void rr_reload_credentials(struct rr_context *ctx,
			   const struct rr_reload_targets *parts)
{
	struct rr_start_settings *settings;
	GError *error = NULL;
	bool ok;

	rr_reload_caller_server(ctx, parts->caller_server, &error);
	ok = tell(ctx, "callers' certificate and tokens", &error);
	settings = read_again(parts->start_file, &error);
	if (settings)
		reload_peers(ctx, parts->peer_transport, settings,
			     parts->uses_curve_keys, &error);
	ok = tell(ctx, "peers' keys", &error) && ok;
	rr_drop_start_settings(settings);
	rr_count(ctx, ok ? RR_N_RELOADS : RR_N_RELOAD_FAILURES, 1);
}
