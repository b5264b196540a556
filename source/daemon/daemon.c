/*
 * daemon.c - connects the core with the network adapters.
 *
 * Adapters pass their events to the core; the core's actions call the
 * adapters.
 */
#include "daemon/daemon.h"
#include "daemon/lost-changes.h"

#include <glib-unix.h>
#include <signal.h>

#include "daemon/reload.h"
#include "ragwort/core.h"
#include "ragwort/counters.h"
#include "ragwort/net-caller.h"
#include "ragwort/net-peer.h"
#include "ragwort/net-platform.h"
#include "ragwort/net-upstream.h"
#include "ragwort/program.h"
#include "ragwort/record.h"

/*
 * Number of instances per zone that watch the configuration record.  The others
 * receive it from their peers.
 */
#define WATCHERS_PER_ZONE 2
/* A draining instance exits once it has been idle for this long. */
#define DRAIN_IDLE_US (300 * 1000)
#define DRAIN_CHECK_MS 20

/* Event source that calls rr_core_tick() at the time the core requested. */
struct tick_source {
	GSource source; /* must be first: GLib allocates the whole struct */
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
	bool uses_curve_keys;		  /* peer connections use CURVE keys */
	struct rr_log_settings start_log; /* log settings of the start file */
	GQueue records; /* GBytes: records from peers waiting to be applied */
	guint record_source;
	guint drain_source;
	guint signal_sources[3];
	uint32_t drain_timeout_ms;
	int64_t drain_started_us; /* 0: not draining */
	int64_t last_busy_us;	  /* last time there was work, for draining */
	bool was_ready;
};

/*
 * Update the time of the next tick, and log a change of readiness.  Called
 * after each event, since an event can change both.
 */
static void update_after_event(struct rr_daemon *daemon)
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
	update_after_event(daemon);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs tick_funcs = { .dispatch = dispatch_tick };

/* Actions of the core. */

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

static void send_answer(void *data, const struct rr_answer *answer)
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

/*
 * Apply a configuration record; a malformed one is logged and ignored.
 * `key_revision` is that of its key if it comes from the store, 0 if from a
 * peer.
 */
static void apply_record(struct rr_daemon *daemon, const char *text,
			 size_t length, uint64_t key_revision)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_config *config = NULL;
	struct rr_config_record *record;
	GError *error = NULL;

	record = rr_decode_config_record(text, length, &error);
	if (record)
		config =
			rr_build_site_config(record, daemon->site, diagnostics);
	if (config) {
		if (rr_core_set_config(daemon->ctx, daemon->core,
				       g_get_monotonic_time(), config, text,
				       length))
			rr_apply_log_settings(daemon->ctx, &daemon->start_log,
					      &config->log);
		else if (key_revision)
			rr_write_lost_changes(daemon->ctx, daemon->core, record,
					      key_revision);
		update_after_event(daemon);
	} else {
		const struct rr_diagnostic *diagnostic =
			diagnostics->len ? g_ptr_array_index(diagnostics, 0) :
					   NULL;

		rr_log(daemon->ctx, RR_LOG_ERROR, "config-record-bad",
		       RR_FIELD_STRING("error", error ? error->message :
						diagnostic ?
							diagnostic->message :
							""),
		       RR_FIELD_STRING("file",
				       diagnostic ? diagnostic->file : ""),
		       RR_FIELD_U64("line", diagnostic ? diagnostic->line : 0));
	}
	g_clear_error(&error);
	rr_drop_config(config);
	rr_drop_config_record(record);
	g_ptr_array_unref(diagnostics);
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
		apply_record(daemon, text, length, 0);
		g_bytes_unref(record);
	}
	return G_SOURCE_REMOVE;
}

/*
 * Queue a record that the core received from a peer.  The core must not be
 * called from inside its own actions, so an idle source applies the record.
 */
static void queue_record(void *data, const char *record, size_t length)
{
	struct rr_daemon *daemon = data;

	g_queue_push_tail(&daemon->records, g_bytes_new(record, length));
	if (!daemon->record_source)
		daemon->record_source = g_idle_add(apply_records, daemon);
}

/* Events passed to the core. */

static uint64_t handle_request(void *data, const struct rr_request *request)
{
	struct rr_daemon *daemon = data;
	uint64_t query_id;

	daemon->last_busy_us = g_get_monotonic_time();
	query_id = rr_core_handle_request(daemon->ctx, daemon->core,
					  daemon->last_busy_us,
					  g_get_real_time(), request);
	update_after_event(daemon);
	return query_id;
}

static void handle_disconnect(void *data, uint64_t query_id)
{
	struct rr_daemon *daemon = data;

	rr_core_cancel(daemon->ctx, daemon->core, g_get_monotonic_time(),
		       query_id);
	update_after_event(daemon);
}

static bool is_ready(void *data, const char **reason)
{
	struct rr_daemon *daemon = data;

	return rr_core_is_ready(daemon->core, reason);
}

static void append_status(void *data, GString *out)
{
	struct rr_daemon *daemon = data;

	rr_core_format_status(daemon->core, g_get_monotonic_time(), out);
}

static void handle_reply(void *data, const struct rr_reply *reply)
{
	struct rr_daemon *daemon = data;

	rr_core_handle_reply(daemon->ctx, daemon->core, g_get_monotonic_time(),
			     reply);
	update_after_event(daemon);
}

static void handle_health(void *data, const struct rr_health *health)
{
	struct rr_daemon *daemon = data;

	rr_core_handle_health(daemon->ctx, daemon->core, g_get_monotonic_time(),
			      health);
	update_after_event(daemon);
}

static void handle_store_reply(void *data, const struct rr_store_reply *reply)
{
	struct rr_daemon *daemon = data;

	rr_core_handle_store_reply(daemon->ctx, daemon->core,
				   g_get_monotonic_time(), reply);
	update_after_event(daemon);
}

static void handle_record(void *data, const char *record, size_t length,
			  uint64_t key_revision)
{
	apply_record(data, record, length, key_revision);
}

static void handle_member(void *data, const char *name, const char *zone,
			  const char *address)
{
	struct rr_daemon *daemon = data;

	rr_core_hint_member(daemon->ctx, daemon->core, g_get_monotonic_time(),
			    name, zone, address);
	update_after_event(daemon);
}

static void handle_replica(void *data, const char *name, int64_t started_ms,
			   enum rr_upstream_state state)
{
	struct rr_daemon *daemon = data;

	rr_core_hint_replica(daemon->ctx, daemon->core, g_get_monotonic_time(),
			     name, started_ms, state);
	update_after_event(daemon);
}

static bool is_watcher(void *data)
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
	update_after_event(daemon);
}

/* Signals. */

/*
 * Exit the main loop of a draining instance when the core has no work left,
 * every reply is written and nothing new has arrived for DRAIN_IDLE_US.
 * Without the idle time, a caller's request or a forwarded one that was in
 * transit when the drain started would be aborted.
 */
static gboolean check_drained(gpointer data)
{
	struct rr_daemon *daemon = data;
	int64_t now_us = g_get_monotonic_time();

	if (!rr_core_is_drained(daemon->core) ||
	    rr_count_open_calls(daemon->callers))
		daemon->last_busy_us = now_us;
	if (now_us - daemon->drain_started_us >
	    (int64_t)daemon->drain_timeout_ms * 1000) {
		rr_log(daemon->ctx, RR_LOG_WARNING, "drain-timeout",
		       RR_FIELD_U64("open_calls",
				    rr_count_open_calls(daemon->callers)));
		g_main_loop_quit(daemon->loop);
	} else if (now_us - daemon->last_busy_us > DRAIN_IDLE_US) {
		g_main_loop_quit(daemon->loop);
	}
	return G_SOURCE_CONTINUE;
}

static gboolean start_drain(gpointer data)
{
	struct rr_daemon *daemon = data;

	if (daemon->drain_started_us)
		return G_SOURCE_CONTINUE;
	rr_log(daemon->ctx, RR_LOG_INFO, "draining",
	       RR_FIELD_U64("open_calls",
			    rr_count_open_calls(daemon->callers)));
	daemon->drain_started_us = g_get_monotonic_time();
	daemon->last_busy_us = daemon->drain_started_us;
	rr_drain_caller_server(daemon->callers);
	rr_core_drain(daemon->ctx, daemon->core, daemon->drain_started_us);
	update_after_event(daemon);
	daemon->drain_source =
		g_timeout_add(DRAIN_CHECK_MS, check_drained, daemon);
	return G_SOURCE_CONTINUE;
}

static gboolean reload(gpointer data)
{
	struct rr_daemon *daemon = data;
	struct rr_reload_targets targets = {
		.caller_server = daemon->callers,
		.peer_transport = daemon->peers,
		.start_file = daemon->start_file,
		.uses_curve_keys = daemon->uses_curve_keys,
	};

	rr_reload_credentials(daemon->ctx, &targets);
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
			.send_answer = send_answer,
			.send_peer_message = send_peer,
			.poll_health = poll_health,
			.apply_config_record = queue_record,
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
		.replied = handle_reply,
		.polled = handle_health,
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
		.replied = handle_store_reply,
		.record_received = handle_record,
		.member_listed = handle_member,
		.replica_listed = handle_replica,
		.is_watcher = is_watcher,
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
	daemon->uses_curve_keys = keys.public_key != NULL;
	if (daemon->uses_curve_keys)
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
		.max_memory_bytes = rr_caller_memory_bytes(settings->memory_mb),
		.tls_certificate_file = settings->tls_certificate_file,
		.tls_key_file = settings->tls_key_file,
		.token_file = settings->caller_token_file,
		.request = handle_request,
		.disconnected = handle_disconnect,
		.is_ready = is_ready,
		.append_status = append_status,
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
		g_unix_signal_add(SIGTERM, start_drain, daemon);
	daemon->signal_sources[1] =
		g_unix_signal_add(SIGINT, start_drain, daemon);
	daemon->signal_sources[2] = g_unix_signal_add(SIGHUP, reload, daemon);
	rr_unblock_reload_signal();
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
	update_after_event(daemon);
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
	/* Let the main loop free the operations that the adapters cancelled. */
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
