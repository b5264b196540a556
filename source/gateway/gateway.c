/*
 * gateway.c - construction and main loop of a gateway instance.
 *
 * Events of callers, replicas and the store go to the gate and the feed, whose
 * actions go back to the network adapters.
 */
#include "gateway/gateway-private.h"

#include <glib-unix.h>
#include <signal.h>
#include <sys/resource.h>

#include "gateway/log-writer.h"
#include "platform/platform.h"
#include "ragwort/counters.h"
#include "ragwort/invariant.h"
#include "ragwort/program.h"

/* Log lines are buffered for this long and written in one go. */
#define LOG_FLUSH_DELAY_US (200 * 1000)
/* Interval of the checks for open requests and connections while stopping. */
#define STOP_CHECK_INTERVAL_US (100 * 1000)
/*
 * A main loop iteration of this length, or a wake-up this late, is reported to
 * the gate as a stall, since it delays the reading of replies. The limit is
 * much shorter than the time without contact after which a replica is
 * suspected.
 */
#define MIN_STALL_US (10 * 1000)
/* For the readiness and metrics addresses, which get few requests. */
#define MAX_STATUS_CONNS 64
/* Parts of the file descriptors that the connections of a listener may use. */
#define CALLER_DESCRIPTOR_DIVISOR 2
#define STATUS_DESCRIPTOR_DIVISOR 32

int64_t rr_gateway_now_us(void)
{
	return g_get_monotonic_time();
}

/* Readiness. */

bool rr_gateway_is_ready(const struct rr_gateway *gateway, const char **reason)
{
	bool serves = rr_gate_is_ready(gateway->gate, reason);

	if (serves && !rr_feed_has_synced(gateway->feed)) {
		*reason = "store-not-read";
		serves = false;
	}
	if (gateway->lifecycle.stop_requested_us)
		*reason = "stopping";
	return rr_lifecycle_is_ready(&gateway->lifecycle, serves);
}

/*
 * Reject watching peers (instances that wait here for store changes) as soon as
 * this instance is isolated from the other zones. Other instances of the zone
 * may send too few requests to detect the partition themselves.
 */
static void update_isolation(struct rr_gateway *gateway)
{
	bool isolated = rr_gate_is_isolated(gateway->gate);

	if (isolated && !gateway->was_isolated)
		rr_reject_watching_peers(gateway);
	gateway->was_isolated = isolated;
}

static void update_readiness(struct rr_gateway *gateway)
{
	const char *reason = "";
	bool ready = rr_gateway_is_ready(gateway, &reason);

	if (ready == gateway->was_ready)
		return;
	gateway->was_ready = ready;
	rr_set_gauge(gateway->ctx, RR_G_READY, ready);
	rr_log(gateway->ctx, RR_LOG_INFO, ready ? "ready" : "not-ready",
	       RR_FIELD_STRING("reason", reason));
}

static void stop_accepting(struct rr_gateway *gateway)
{
	rr_stop_accepting(gateway->caller_listener);
	if (gateway->peer_listener)
		rr_stop_accepting(gateway->peer_listener);
}

static void close_idle_conns(struct rr_gateway *gateway)
{
	rr_close_idle_caller_conns(gateway->caller_listener);
	if (gateway->peer_listener)
		rr_close_idle_caller_conns(gateway->peer_listener);
}

static void check_stop(struct rr_gateway *gateway)
{
	size_t callers = rr_count_caller_conns(gateway->caller_listener);
	enum rr_stop_phase phase;

	if (!gateway->lifecycle.stop_requested_us ||
	    rr_gateway_now_us() < gateway->stop_check_us)
		return;
	gateway->stop_check_us = rr_gateway_now_us() + STOP_CHECK_INTERVAL_US;
	phase = rr_find_stop_phase(&gateway->lifecycle, rr_gateway_now_us(),
				   rr_gate_count_requests(gateway->gate),
				   callers);
	if (phase == RR_STOP_REJECT_NEW)
		stop_accepting(gateway);
	if (phase == RR_STOP_CLOSE_IDLE || phase == RR_STOP_REJECT_NEW)
		close_idle_conns(gateway);
	if (phase == RR_STOP_EXIT)
		g_main_loop_quit(gateway->loop);
}

static void run_timers(struct rr_gateway *gateway)
{
	int64_t now = rr_gateway_now_us();

	rr_tick_replica_client(gateway->store_client, now);
	rr_tick_replica_client(gateway->replica_client, now);
	rr_tick_replica_client(gateway->coordinator_client, now);
	rr_tick_replica_client(gateway->allowance_client, now);
	rr_feed_tick(gateway->ctx, gateway->feed, now);
	rr_answer_watching_peers(gateway, now);
	rr_gate_tick(gateway->ctx, gateway->gate, now);
	update_isolation(gateway);
	rr_tick_http_listener(gateway->caller_listener, now);
	rr_tick_http_listener(gateway->readiness_listener, now);
	if (gateway->metrics_listener)
		rr_tick_http_listener(gateway->metrics_listener, now);
	if (gateway->peer_listener)
		rr_tick_http_listener(gateway->peer_listener, now);
	rr_tick_memory_budget(gateway->memory);
	check_stop(gateway);
	if (gateway->log_flush_us && gateway->log_flush_us <= now) {
		rr_flush_log();
		gateway->log_flush_us = 0;
	}
}

/*
 * Return when the next timer is due. Called after the events of a main loop
 * iteration, so it also reports a change of readiness and schedules the flush
 * of new log lines.
 */
static int64_t next_tick_us(struct rr_gateway *gateway)
{
	int64_t due_us = rr_gate_next_tick_us(gateway->gate);

	update_readiness(gateway);
	if (rr_gate_is_isolated(gateway->gate) != gateway->was_isolated)
		return 0;
	due_us = MIN(due_us, rr_feed_wake_us(gateway->feed));
	due_us = MIN(due_us, rr_watching_peers_wake_us(gateway));
	due_us =
		MIN(due_us, rr_http_listener_wake_us(gateway->caller_listener));
	due_us = MIN(due_us,
		     rr_http_listener_wake_us(gateway->readiness_listener));
	if (gateway->metrics_listener)
		due_us = MIN(due_us, rr_http_listener_wake_us(
					     gateway->metrics_listener));
	if (gateway->peer_listener)
		due_us = MIN(due_us,
			     rr_http_listener_wake_us(gateway->peer_listener));
	due_us =
		MIN(due_us, rr_replica_client_wake_us(gateway->replica_client));
	due_us = MIN(due_us, rr_replica_client_wake_us(gateway->store_client));
	due_us = MIN(due_us,
		     rr_replica_client_wake_us(gateway->coordinator_client));
	due_us = MIN(due_us,
		     rr_replica_client_wake_us(gateway->allowance_client));
	if (rr_is_memory_short(gateway->memory))
		due_us = MIN(due_us, rr_gateway_now_us() + RR_MEMORY_CHECK_US);
	if (gateway->lifecycle.stop_requested_us)
		due_us = MIN(due_us, gateway->stop_check_us);
	if (rr_has_buffered_log_lines() && !gateway->log_flush_us)
		gateway->log_flush_us =
			rr_gateway_now_us() + LOG_FLUSH_DELAY_US;
	if (gateway->log_flush_us)
		due_us = MIN(due_us, gateway->log_flush_us);
	return due_us;
}

static void report_stall(struct rr_gateway *gateway, int64_t now_us,
			 int64_t delay_us)
{
	if (delay_us >= MIN_STALL_US)
		rr_gate_report_stall(gateway->ctx, gateway->gate, now_us,
				     delay_us);
}

/*
 * Called once per iteration, before the main loop waits.  The wait is limited
 * by a timeout and not by g_source_set_ready_time(), since each change of the
 * ready time wakes the loop for one more iteration.
 */
static gboolean prepare_tick(GSource *source, gint *timeout_ms)
{
	struct tick_source *ticker = (struct tick_source *)source;
	int64_t now_us = rr_gateway_now_us();
	int64_t wait_us;

	if (ticker->iteration_started_us)
		report_stall(ticker->gateway, now_us,
			     now_us - ticker->iteration_started_us);
	/* check() is not called if the source is ready already. */
	ticker->iteration_started_us = now_us;
	ticker->due_us = MAX(next_tick_us(ticker->gateway), now_us);
	*timeout_ms = -1;
	if (ticker->due_us == INT64_MAX)
		return FALSE;
	wait_us = ticker->due_us - now_us;
	*timeout_ms = (gint)MIN((wait_us + 999) / 1000, G_MAXINT);
	return !wait_us;
}

/* Called once per iteration after the wait, before any input is read. */
static gboolean check_tick(GSource *source)
{
	struct tick_source *ticker = (struct tick_source *)source;

	ticker->iteration_started_us = rr_gateway_now_us();
	report_stall(ticker->gateway, ticker->iteration_started_us,
		     ticker->iteration_started_us - ticker->due_us);
	return ticker->due_us <= ticker->iteration_started_us;
}

static gboolean dispatch_tick(GSource *source, GSourceFunc callback,
			      gpointer data)
{
	run_timers(((struct tick_source *)source)->gateway);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs tick_funcs = {
	.prepare = prepare_tick,
	.check = check_tick,
	.dispatch = dispatch_tick,
};

/* Replies of replicas. */

static void handle_reply(void *data, const struct rr_gate_reply *reply)
{
	struct rr_gateway *gateway = data;

	rr_gate_reply(gateway->ctx, gateway->gate, rr_gateway_now_us(), reply);
}

static void handle_probe_result(void *data, const char *incarnation,
				bool reached)
{
	struct rr_gateway *gateway = data;

	rr_gate_handle_probe_result(gateway->ctx, gateway->gate,
				    rr_gateway_now_us(), incarnation, reached);
}

/* Signals. */

static gboolean handle_stop_signal(gpointer data)
{
	struct rr_gateway *gateway = data;

	rr_log(gateway->ctx, RR_LOG_INFO, "stopping",
	       RR_FIELD_U64("requests", rr_gate_count_requests(gateway->gate)),
	       RR_FIELD_U64("callers",
			    rr_count_caller_conns(gateway->caller_listener)));
	rr_request_stop(&gateway->lifecycle, rr_gateway_now_us());
	rr_gate_limit_answers(gateway->gate, rr_gateway_now_us(),
			      rr_stop_answer_by_us(&gateway->lifecycle));
	gateway->stop_check_us = rr_gateway_now_us() + STOP_CHECK_INTERVAL_US;
	rr_drain_http_listener(gateway->caller_listener);
	if (gateway->peer_listener)
		rr_drain_http_listener(gateway->peer_listener);
	rr_feed_leave(gateway->ctx, gateway->feed, rr_gateway_now_us());
	rr_answer_watching_peers(gateway, rr_gateway_now_us());
	return G_SOURCE_CONTINUE;
}

static gboolean handle_reload_signal(gpointer data)
{
	struct rr_gateway *gateway = data;

	rr_log(gateway->ctx, RR_LOG_INFO, "reload",
	       RR_FIELD_STRING("reason", "changes to the start file take "
					 "effect only after a restart"));
	return G_SOURCE_CONTINUE;
}

/* Construction. */

/*
 * Return the limit on the age of changes read from the store. All kinds of
 * changes arrive with the same calls, so the shortest of their limits applies
 * to all of them.
 */
static uint32_t
find_max_staleness_ms(const struct rr_gateway_settings *settings)
{
	uint32_t bound_ms = MIN(settings->news_bound_ms, settings->drain_ms);

	if (!settings->evacuation_bound_ms)
		return bound_ms;
	return MIN(bound_ms, settings->evacuation_bound_ms);
}

static void create_gate_and_feed(struct rr_gateway *gateway)
{
	struct rr_gate_options gate = {
		.instance = gateway->settings->instance,
		.zone = gateway->settings->zone,
		.zone_regions =
			(const char *const *)gateway->settings->zone_regions,
		.actions = rr_gateway_gate_actions(gateway),
		.extra_ratio = gateway->settings->extra_share,
		.extra_slack = gateway->settings->extra_slack,
		.extra_window_ms = gateway->settings->extra_window_ms,
		.cold_overage = gateway->settings->cold_overage,
		.cold_slack = gateway->settings->cold_slack,
		.allowance_window_ms = gateway->settings->allowance_window_ms,
		.allowance_overage = gateway->settings->allowance_overage,
		.allowance_slack = gateway->settings->allowance_slack,
		.drain_ms = gateway->settings->drain_ms,
		.process_started_us = rr_gateway_now_us(),
		.strength = gateway->settings->strength,
		.log_lines_per_s = gateway->settings->log_request_lines_per_s,
	};
	struct rr_feed_options feed = {
		.actions = rr_gateway_feed_actions(gateway),
		.self = {
			.id = gateway->settings->instance,
			.zone = gateway->settings->zone,
			.address = gateway->settings->peer_address,
			.strength = gateway->settings->strength,
			.started_ms = gateway->started_ms,
		},
		.seeds = (const char *const *)gateway->settings->seed_peers,
		.max_staleness_ms = find_max_staleness_ms(gateway->settings),
	};

	rr_invariant("drain-shares",
		     rr_longest_change_age_us(feed.max_staleness_ms) <=
			     rr_gate_usable_after_removal_us(gate.drain_ms));
	gateway->gate = rr_new_gate(gateway->ctx, &gate);
	gateway->feed = rr_new_feed(gateway->ctx, &feed, rr_gateway_now_us());
}

/*
 * Callers' memory does not limit the replies of the store and about allowances:
 * without them, the instance could not serve anybody.
 */
static void create_clients(struct rr_gateway *gateway)
{
	struct rr_replica_client_options replicas = {
		.poller = gateway->poller,
		.memory = gateway->memory,
		.request_id_header = gateway->names->request_id,
		.signature_header = gateway->names->signature,
		.not_run_header = gateway->names->not_run,
		.load_header = gateway->names->load,
		.parse_load = rr_decode_load,
		.replied = handle_reply,
		.probed = handle_probe_result,
		.data = gateway,
	};
	struct rr_replica_client_options store = {
		.poller = gateway->poller,
		.replied = rr_handle_gateway_store_reply,
		.idle_closed = rr_handle_store_disconnect,
		.data = gateway,
	};

	struct rr_replica_client_options coordinators = {
		.poller = gateway->poller,
		.memory = gateway->memory,
		.not_run_header = NOT_RUN_HEADER,
		.replied = handle_reply,
		.probed = handle_probe_result,
		.data = gateway,
	};

	struct rr_replica_client_options allowances = {
		.poller = gateway->poller,
		.replied = rr_handle_allowance_reply,
		.data = gateway,
	};

	gateway->allowance_client =
		rr_new_replica_client(gateway->ctx, &allowances);
	gateway->coordinator_client =
		rr_new_replica_client(gateway->ctx, &coordinators);
	gateway->replica_client =
		rr_new_replica_client(gateway->ctx, &replicas);
	gateway->store_client = rr_new_replica_client(gateway->ctx, &store);
}

/*
 * Limit the connections of a listener to a part of the file descriptors, so that
 * some are left for replicas, the store and the other listeners.
 */
static uint32_t limit_connections(uint32_t max_connections, uint32_t divisor)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0 ||
	    limit.rlim_cur / divisor >= max_connections)
		return max_connections;
	return MAX((uint32_t)limit.rlim_cur / divisor, 1);
}

static bool start_listeners(struct rr_gateway *gateway, GError **error)
{
	const struct rr_gateway_settings *settings = gateway->settings;
	uint32_t max_connections = limit_connections(settings->max_connections,
						     CALLER_DESCRIPTOR_DIVISOR);
	struct rr_http_listener_options callers = {
		.poller = gateway->poller,
		.memory = gateway->memory,
		.address = settings->caller_address,
		.max_connections = max_connections,
		.request = rr_handle_caller_request,
		.half_closed = rr_handle_caller_half_close,
		.disconnected = rr_handle_caller_disconnect,
		.data = gateway,
	};
	struct rr_http_listener_options ready = {
		.poller = gateway->poller,
		.memory = gateway->memory,
		.address = settings->ready_address,
		.max_connections = limit_connections(MAX_STATUS_CONNS,
						     STATUS_DESCRIPTOR_DIVISOR),
		.request = rr_handle_readiness_request,
		.data = gateway,
	};
	struct rr_http_listener_options metrics = ready;
	struct rr_http_listener_options peers = callers;

	if (max_connections < settings->max_connections)
		rr_log(gateway->ctx, RR_LOG_WARNING, "connections-limited",
		       RR_FIELD_STRING("reason", "half of the file descriptors "
						 "are for callers"),
		       RR_FIELD_U64("max_connections", max_connections));
	gateway->caller_listener =
		rr_new_http_listener(gateway->ctx, &callers, error);
	if (!gateway->caller_listener)
		return false;
	gateway->readiness_listener =
		rr_new_http_listener(gateway->ctx, &ready, error);
	if (!gateway->readiness_listener)
		return false;
	if (settings->peer_address) {
		peers.address = settings->peer_address;
		peers.request = rr_handle_peer_request;
		peers.disconnected = rr_handle_peer_disconnect;
		gateway->peer_listener =
			rr_new_http_listener(gateway->ctx, &peers, error);
		if (!gateway->peer_listener)
			return false;
	}
	if (!settings->metrics_address)
		return true;
	metrics.address = settings->metrics_address;
	metrics.request = rr_handle_metrics_request;
	gateway->metrics_listener =
		rr_new_http_listener(gateway->ctx, &metrics, error);
	return gateway->metrics_listener != NULL;
}

static void attach_sources(struct rr_gateway *gateway)
{
	gateway->ticker = (struct tick_source *)g_source_new(
		&tick_funcs, sizeof(struct tick_source));
	gateway->ticker->gateway = gateway;
	g_source_attach(&gateway->ticker->source, NULL);
	gateway->signal_sources[0] =
		g_unix_signal_add(SIGTERM, handle_stop_signal, gateway);
	gateway->signal_sources[1] =
		g_unix_signal_add(SIGINT, handle_stop_signal, gateway);
	gateway->signal_sources[2] =
		g_unix_signal_add(SIGHUP, handle_reload_signal, gateway);
	rr_unblock_reload_signal();
}

struct rr_gateway *rr_new_gateway(struct rr_context *ctx,
				  const struct rr_gateway_settings *settings,
				  GError **error)
{
	struct rr_gateway *gateway = g_new0(struct rr_gateway, 1);

	gateway->ctx = rr_keep_context(ctx);
	gateway->settings = settings;
	gateway->names = rr_platform_names();
	gateway->started_ms = g_get_real_time() / 1000;
	gateway->loop = g_main_loop_new(NULL, FALSE);
	gateway->lifecycle.stop_timeout_ms = settings->stop_timeout_ms;
	gateway->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, rr_free_open_request);
	gateway->store_calls = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	gateway->watching_peers =
		g_array_new(FALSE, FALSE, sizeof(struct watching_peer));
	gateway->allowance_callers =
		g_array_new(FALSE, FALSE, sizeof(struct allowance_caller));
	gateway->memory = rr_new_memory_budget(
		rr_caller_memory_bytes(settings->memory_mb));
	gateway->poller = rr_new_poller(error);
	if (!gateway->poller || !start_listeners(gateway, error)) {
		rr_drop_gateway(gateway);
		return NULL;
	}
	create_clients(gateway);
	create_gate_and_feed(gateway);
	attach_sources(gateway);
	return gateway;
}

void rr_drop_gateway(struct rr_gateway *gateway)
{
	if (!gateway)
		return;
	for (gsize i = 0; i < G_N_ELEMENTS(gateway->signal_sources); i++) {
		if (gateway->signal_sources[i])
			g_source_remove(gateway->signal_sources[i]);
	}
	if (gateway->ticker) {
		g_source_destroy(&gateway->ticker->source);
		g_source_unref(&gateway->ticker->source);
	}
	rr_drop_http_listener(gateway->caller_listener);
	rr_drop_http_listener(gateway->readiness_listener);
	rr_drop_http_listener(gateway->metrics_listener);
	rr_drop_http_listener(gateway->peer_listener);
	rr_drop_replica_client(gateway->replica_client);
	rr_drop_replica_client(gateway->store_client);
	rr_drop_replica_client(gateway->coordinator_client);
	rr_drop_replica_client(gateway->allowance_client);
	rr_drop_feed(gateway->feed);
	rr_drop_gate(gateway->gate);
	g_hash_table_unref(gateway->requests);
	g_hash_table_unref(gateway->store_calls);
	g_array_unref(gateway->watching_peers);
	g_array_unref(gateway->allowance_callers);
	rr_drop_memory_budget(gateway->memory);
	rr_drop_poller(gateway->poller);
	g_main_loop_unref(gateway->loop);
	rr_drop_context(gateway->ctx);
	g_free(gateway);
}

void rr_run_gateway(struct rr_gateway *gateway)
{
	const struct rr_gateway_settings *settings = gateway->settings;

	rr_log(gateway->ctx, RR_LOG_INFO, "started",
	       RR_FIELD_STRING("instance", settings->instance),
	       RR_FIELD_STRING("zone", settings->zone),
	       RR_FIELD_STRING("callers", settings->caller_address),
	       RR_FIELD_STRING("store", settings->store_address));
	g_main_loop_run(gateway->loop);
	rr_log(gateway->ctx, RR_LOG_INFO, "stopped",
	       RR_FIELD_U64("requests",
			    rr_counter_value(gateway->ctx, RR_N_REQUESTS)),
	       RR_FIELD_U64("open", rr_gate_count_requests(gateway->gate)));
}
