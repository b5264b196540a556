/*
 * daemon.c - wiring: adapters hand events to the core, its actions go back
 * to them.
 */
#include "daemon/daemon.h"

#include <glib-unix.h>
#include <signal.h>

#include "daemon/reload.h"
#include "ragwort/core.h"
#include "ragwort/counters.h"
#include "ragwort/net-caller.h"
#include "ragwort/net-peer.h"
#include "ragwort/net-platform.h"
#include "ragwort/net-upstream.h"
#include "ragwort/record.h"

/* How many instances of a zone watch the configuration record. */
#define WATCHERS_PER_ZONE 2
/* A draining instance stays until nothing has come for this long. */
#define QUIET_US (300 * 1000)
#define DRAIN_CHECK_MS 20

/* Ticks the core at the time it asked for. */
struct tick_source {
	GSource source; /* first: GLib allocates the whole */
	struct rr_daemon *daemon;
};

struct rr_daemon {
	struct rr_context *ctx;
	GMainLoop *loop;
	struct tick_source *ticker;
	struct rr_core *core;
	struct rr_caller_server *callers;
	struct rr_upstream_client *upstreams;
	struct rr_peer_transport *peers;
	struct rr_platform_client *platform;
	char *site;
	char *start_file;
	bool keyed;			  /* peers speak under CURVE keys */
	struct rr_log_settings start_log; /* of the start file */
	GQueue records; /* GBytes, from peers, to put in force */
	guint record_source;
	guint drain_source;
	guint signal_sources[3];
	uint32_t drain_timeout_ms;
	int64_t drain_began_us; /* 0: not draining */
	int64_t busy_us;	/* last time a draining one had work */
	bool was_ready;
};

/* After each event: the core may want its tick earlier. */
static void settle(struct rr_daemon *daemon)
{
	bool ready;

	g_source_set_ready_time(&daemon->ticker->source,
				rr_core_wake_us(daemon->core));
	ready = rr_core_is_ready(daemon->core, NULL);
	if (ready == daemon->was_ready)
		return;
	daemon->was_ready = ready;
	rr_log(daemon->ctx, RR_LOG_INFO, ready ? "ready" : "not-ready",
	       RR_FIELD_U64("config_revision",
			    rr_core_config_revision(daemon->core)),
	       RR_FIELD_U64("caller_port",
			    rr_caller_server_tcp_port(daemon->callers)));
}

static gboolean dispatch_tick(GSource *source, GSourceFunc callback,
			      gpointer data)
{
	struct rr_daemon *daemon = ((struct tick_source *)source)->daemon;

	g_source_set_ready_time(source, -1);
	rr_core_tick(daemon->ctx, daemon->core, g_get_monotonic_time());
	settle(daemon);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs tick_funcs = { .dispatch = dispatch_tick };

/* The core's actions. */

static void send_attempt(void *data, const struct rr_attempt *attempt)
{
	struct rr_daemon *daemon = data;

	rr_send_attempt(daemon->ctx, daemon->upstreams, attempt);
}

static void cancel_attempt(void *data, uint64_t attempt_id)
{
	struct rr_daemon *daemon = data;

	rr_cancel_attempt(daemon->ctx, daemon->upstreams, attempt_id);
}

static void give_answer(void *data, const struct rr_answer *answer)
{
	struct rr_daemon *daemon = data;

	rr_answer_call(daemon->ctx, daemon->callers, answer);
}

static void send_peer(void *data, const char *instance, const char *address,
		      const struct rr_peer_message *message)
{
	struct rr_daemon *daemon = data;

	rr_send_to_peer(daemon->ctx, daemon->peers, instance, address, message);
}

static void poll_health(void *data, const char *replica, const char *address)
{
	struct rr_daemon *daemon = data;

	rr_poll_upstream_health(daemon->ctx, daemon->upstreams, replica,
				address);
}

/* Put a record in force; a malformed one changes nothing. */
static void apply_record(struct rr_daemon *daemon, const char *text,
			 size_t length)
{
	GPtrArray *faults = rr_new_diagnostics();
	struct rr_config *config = NULL;
	struct rr_config_record *record;
	GError *error = NULL;

	record = rr_decode_config_record(text, length, &error);
	if (record)
		config = rr_build_site_config(record, daemon->site, faults);
	if (config) {
		if (rr_core_set_config(daemon->ctx, daemon->core,
				       g_get_monotonic_time(), config, text,
				       length))
			rr_apply_log_settings(daemon->ctx, &daemon->start_log,
					      &config->log);
		settle(daemon);
	} else {
		const struct rr_diagnostic *fault =
			faults->len ? g_ptr_array_index(faults, 0) : NULL;

		rr_log(daemon->ctx, RR_LOG_ERROR, "config-record-bad",
		       RR_FIELD_STRING("error", error ? error->message :
						fault ? fault->message :
							""),
		       RR_FIELD_STRING("file", fault ? fault->file : ""),
		       RR_FIELD_U64("line", fault ? fault->line : 0));
	}
	g_clear_error(&error);
	rr_drop_config(config);
	rr_drop_config_record(record);
	g_ptr_array_unref(faults);
}

static gboolean apply_records(gpointer data)
{
	struct rr_daemon *daemon = data;
	GBytes *record;
	gsize length;
	const char *text;

	daemon->record_source = 0;
	while ((record = g_queue_pop_head(&daemon->records))) {
		text = g_bytes_get_data(record, &length);
		apply_record(daemon, text, length);
		g_bytes_unref(record);
	}
	return G_SOURCE_REMOVE;
}

/* The core may not be called from inside its own actions: later. */
static void keep_record(void *data, const char *record, size_t length)
{
	struct rr_daemon *daemon = data;

	g_queue_push_tail(&daemon->records, g_bytes_new(record, length));
	if (!daemon->record_source)
		daemon->record_source = g_idle_add(apply_records, daemon);
}

/* Events for the core. */

static uint64_t take_request(void *data, const struct rr_request *request)
{
	struct rr_daemon *daemon = data;
	uint64_t query_id;

	daemon->busy_us = g_get_monotonic_time();
	query_id = rr_core_handle_request(daemon->ctx, daemon->core,
					  daemon->busy_us, g_get_real_time(),
					  request);
	settle(daemon);
	return query_id;
}

static void take_leaver(void *data, uint64_t query_id)
{
	struct rr_daemon *daemon = data;

	rr_core_cancel(daemon->ctx, daemon->core, g_get_monotonic_time(),
		       query_id);
	settle(daemon);
}

static bool tell_ready(void *data, const char **reason)
{
	struct rr_daemon *daemon = data;

	return rr_core_is_ready(daemon->core, reason);
}

static void tell_status(void *data, GString *out)
{
	struct rr_daemon *daemon = data;

	rr_core_format_status(daemon->core, g_get_monotonic_time(), out);
}

static void take_reply(void *data, const struct rr_reply *reply)
{
	struct rr_daemon *daemon = data;

	rr_core_handle_reply(daemon->ctx, daemon->core, g_get_monotonic_time(),
			     reply);
	settle(daemon);
}

static void take_health(void *data, const struct rr_health *health)
{
	struct rr_daemon *daemon = data;

	rr_core_handle_health(daemon->ctx, daemon->core, g_get_monotonic_time(),
			      health);
	settle(daemon);
}

static void take_store_reply(void *data, const struct rr_store_reply *reply)
{
	struct rr_daemon *daemon = data;

	rr_core_handle_store_reply(daemon->ctx, daemon->core,
				   g_get_monotonic_time(), reply);
	settle(daemon);
}

static void take_record(void *data, const char *record, size_t length)
{
	apply_record(data, record, length);
}

static void take_member(void *data, const char *name, const char *zone,
			const char *address)
{
	struct rr_daemon *daemon = data;

	rr_core_hint_member(daemon->ctx, daemon->core, g_get_monotonic_time(),
			    name, zone, address);
	settle(daemon);
}

static void take_replica(void *data, const char *name, int64_t born_ms,
			 enum rr_upstream_state state)
{
	struct rr_daemon *daemon = data;

	rr_core_hint_replica(daemon->ctx, daemon->core, g_get_monotonic_time(),
			     name, born_ms, state);
	settle(daemon);
}

static bool tell_watches(void *data)
{
	struct rr_daemon *daemon = data;

	return rr_core_is_config_watcher(daemon->core, WATCHERS_PER_ZONE);
}

static void handle_peer_message(void *data,
				const struct rr_peer_message *message)
{
	struct rr_daemon *daemon = data;

	rr_core_handle_peer_message(daemon->ctx, daemon->core,
				    g_get_monotonic_time(), g_get_real_time(),
				    message);
	settle(daemon);
}

/* Signals. */

/*
 * A draining instance ends when the core has nothing left, every reply is
 * written and nothing new has come for a moment: a request or relay that was
 * under way when the stop began would otherwise be cut off.
 */
static gboolean check_drained(gpointer data)
{
	struct rr_daemon *daemon = data;
	int64_t now_us = g_get_monotonic_time();

	if (!rr_core_is_drained(daemon->core) ||
	    rr_count_open_calls(daemon->callers))
		daemon->busy_us = now_us;
	if (now_us - daemon->drain_began_us >
	    (int64_t)daemon->drain_timeout_ms * 1000) {
		rr_log(daemon->ctx, RR_LOG_WARNING, "drain-timeout",
		       RR_FIELD_U64("open_calls",
				    rr_count_open_calls(daemon->callers)));
		g_main_loop_quit(daemon->loop);
	} else if (now_us - daemon->busy_us > QUIET_US) {
		g_main_loop_quit(daemon->loop);
	}
	return G_SOURCE_CONTINUE;
}

static gboolean begin_stop(gpointer data)
{
	struct rr_daemon *daemon = data;

	if (daemon->drain_began_us)
		return G_SOURCE_CONTINUE;
	rr_log(daemon->ctx, RR_LOG_INFO, "draining",
	       RR_FIELD_U64("open_calls",
			    rr_count_open_calls(daemon->callers)));
	daemon->drain_began_us = g_get_monotonic_time();
	daemon->busy_us = daemon->drain_began_us;
	rr_drain_caller_server(daemon->callers);
	rr_core_drain(daemon->ctx, daemon->core, daemon->drain_began_us);
	settle(daemon);
	daemon->drain_source =
		g_timeout_add(DRAIN_CHECK_MS, check_drained, daemon);
	return G_SOURCE_CONTINUE;
}

static gboolean reload(gpointer data)
{
	struct rr_daemon *daemon = data;
	struct rr_reload_targets parts = {
		.caller_server = daemon->callers,
		.peer_transport = daemon->peers,
		.start_file = daemon->start_file,
		.uses_curve_keys = daemon->keyed,
	};

	rr_reload_credentials(daemon->ctx, &parts);
	return G_SOURCE_CONTINUE;
}

/* Construction. */

static void make_core(struct rr_daemon *daemon,
		      const struct rr_start_settings *settings)
{
	struct rr_core_options options = {
		.instance = settings->instance,
		.zone = settings->zone,
		.peer_address = settings->peer_address,
		.incarnation = (uint64_t)g_get_real_time(),
		.actions = {
			.send_attempt = send_attempt,
			.cancel_attempt = cancel_attempt,
			.send_answer = give_answer,
			.send_peer_message = send_peer,
			.poll_health = poll_health,
			.apply_config_record = keep_record,
			.data = daemon,
		},
		.store = rr_make_store_port(daemon->platform),
	};

	daemon->core =
		rr_new_core(daemon->ctx, &options, g_get_monotonic_time());
	for (char **seed = settings->seed_peers; *seed; seed++)
		rr_core_hint_member(daemon->ctx, daemon->core,
				    g_get_monotonic_time(), "", "", *seed);
}

static void make_upstreams(struct rr_daemon *daemon,
			   const struct rr_start_settings *settings)
{
	struct rr_upstream_client_options options = {
		.instance = settings->instance,
		.replied = take_reply,
		.polled = take_health,
		.data = daemon,
	};

	daemon->upstreams = rr_new_upstream_client(daemon->ctx, &options);
}

static void make_platform(struct rr_daemon *daemon,
			  const struct rr_start_settings *settings)
{
	struct rr_platform_client_options options = {
		.address = settings->platform_address,
		.instance = settings->instance,
		.zone = settings->zone,
		.peer_address = settings->peer_address,
		.replied = take_store_reply,
		.record_received = take_record,
		.member_listed = take_member,
		.replica_listed = take_replica,
		.is_watcher = tell_watches,
		.data = daemon,
	};

	daemon->platform = rr_new_platform_client(daemon->ctx, &options);
}

static bool make_peers(struct rr_daemon *daemon,
		       const struct rr_start_settings *settings, GError **error)
{
	struct rr_peer_keys keys = { 0 };
	struct rr_peer_transport_options options = {
		.address = settings->peer_address,
		.received = handle_peer_message,
		.data = daemon,
	};
	char *secret_key;

	if (!rr_read_peer_keys(settings, &keys, &secret_key, error))
		return false;
	daemon->keyed = keys.public_key != NULL;
	if (daemon->keyed)
		options.keys = &keys;
	daemon->peers = rr_new_peer_transport(daemon->ctx, &options, error);
	rr_wipe_secret_key(secret_key);
	return daemon->peers != NULL;
}

static bool make_callers(struct rr_daemon *daemon,
			 const struct rr_start_settings *settings,
			 GError **error)
{
	struct rr_caller_server_options options = {
		.address = settings->caller_address,
		.max_body_bytes = settings->max_body_bytes,
		.io_timeout_ms = settings->caller_idle_ms,
		.rate_per_s = settings->caller_rate_per_s,
		.max_connections = settings->caller_max_connections,
		.tls_certificate_file = settings->tls_certificate_file,
		.tls_key_file = settings->tls_key_file,
		.token_file = settings->caller_token_file,
		.request = take_request,
		.disconnected = take_leaver,
		.is_ready = tell_ready,
		.append_status = tell_status,
		.data = daemon,
	};

	daemon->callers = rr_new_caller_server(daemon->ctx, &options, error);
	return daemon->callers != NULL;
}

static void start_sources(struct rr_daemon *daemon)
{
	daemon->ticker = (struct tick_source *)g_source_new(
		&tick_funcs, sizeof(struct tick_source));
	daemon->ticker->daemon = daemon;
	g_source_attach(&daemon->ticker->source, NULL);
	daemon->signal_sources[0] =
		g_unix_signal_add(SIGTERM, begin_stop, daemon);
	daemon->signal_sources[1] =
		g_unix_signal_add(SIGINT, begin_stop, daemon);
	daemon->signal_sources[2] = g_unix_signal_add(SIGHUP, reload, daemon);
}

struct rr_daemon *rr_new_daemon(struct rr_context *ctx, const char *start_file,
				const struct rr_start_settings *settings,
				GError **error)
{
	struct rr_daemon *daemon = g_new0(struct rr_daemon, 1);

	daemon->ctx = rr_keep_context(ctx);
	daemon->loop = g_main_loop_new(NULL, FALSE);
	daemon->site = g_strdup(settings->site);
	daemon->start_file = g_strdup(start_file);
	daemon->drain_timeout_ms = settings->drain_timeout_ms;
	daemon->start_log = (struct rr_log_settings){
		.level = settings->log_level,
		.format = settings->log_format,
		.max_lines_per_s = settings->log_max_lines_per_s,
	};
	g_queue_init(&daemon->records);
	make_upstreams(daemon, settings);
	make_platform(daemon, settings);
	if (!make_peers(daemon, settings, error) ||
	    !make_callers(daemon, settings, error)) {
		rr_drop_daemon(daemon);
		return NULL;
	}
	start_sources(daemon);
	make_core(daemon, settings);
	settle(daemon);
	return daemon;
}

void rr_drop_daemon(struct rr_daemon *daemon)
{
	if (!daemon)
		return;
	for (gsize i = 0; i < G_N_ELEMENTS(daemon->signal_sources); i++) {
		if (daemon->signal_sources[i])
			g_source_remove(daemon->signal_sources[i]);
	}
	if (daemon->drain_source)
		g_source_remove(daemon->drain_source);
	if (daemon->record_source)
		g_source_remove(daemon->record_source);
	g_queue_clear_full(&daemon->records, (GDestroyNotify)g_bytes_unref);
	if (daemon->ticker) {
		g_source_destroy(&daemon->ticker->source);
		g_source_unref(&daemon->ticker->source);
	}
	rr_drop_caller_server(daemon->callers);
	rr_drop_peer_transport(daemon->peers);
	rr_drop_platform_client(daemon->platform);
	rr_drop_upstream_client(daemon->upstreams);
	/* What the ports cancelled is freed by the main loop. */
	while (g_main_context_iteration(NULL, FALSE))
		;
	rr_drop_core(daemon->core);
	g_main_loop_unref(daemon->loop);
	rr_drop_context(daemon->ctx);
	g_free(daemon->site);
	g_free(daemon->start_file);
	g_free(daemon);
}

void rr_run_daemon(struct rr_daemon *daemon)
{
	rr_log(daemon->ctx, RR_LOG_INFO, "started",
	       RR_FIELD_U64("caller_port",
			    rr_caller_server_tcp_port(daemon->callers)));
	g_main_loop_run(daemon->loop);
	rr_log(daemon->ctx, RR_LOG_INFO, "stopped",
	       RR_FIELD_U64("requests",
			    rr_counter_value(daemon->ctx, RR_N_REQUESTS)));
}
