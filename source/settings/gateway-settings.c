/*
 * gateway-settings.c - defaults and parser of a gateway's start file.
 */
#include "settings/settings-table.h"

/*
 * DEFAULT_EXTRA_* limit the attempts beyond the first, DEFAULT_COLD_OVERAGE the
 * requests to cold replicas.
 */
#define DEFAULT_EXTRA_SHARE 0.1
#define DEFAULT_EXTRA_SLACK 10
#define DEFAULT_EXTRA_WINDOW_MS 10000
#define DEFAULT_COLD_OVERAGE 1
#define DEFAULT_ALLOWANCE_WINDOW_MS 5000
#define DEFAULT_STOP_TIMEOUT_MS 10000
#define DEFAULT_STRENGTH 1
#define DEFAULT_NEWS_BOUND_MS 3000
#define DEFAULT_DRAIN_MS 3000
/* Half of the file descriptors that a small instance may open. */
#define DEFAULT_MAX_CONNECTIONS 2000
#define DEFAULT_MAX_LINES_PER_S 400
/* Logging this many lines takes about 1 % of a small instance's CPU time. */
#define DEFAULT_REQUEST_LINES_PER_S 100

void rr_init_gateway_settings(struct rr_gateway_settings *settings)
{
	*settings = (struct rr_gateway_settings){
		.seed_peers = g_new0(char *, 1),
		.zone_regions = g_new0(char *, 1),
		.extra_share = DEFAULT_EXTRA_SHARE,
		.extra_slack = DEFAULT_EXTRA_SLACK,
		.extra_window_ms = DEFAULT_EXTRA_WINDOW_MS,
		.cold_overage = DEFAULT_COLD_OVERAGE,
		.allowance_window_ms = DEFAULT_ALLOWANCE_WINDOW_MS,
		.stop_timeout_ms = DEFAULT_STOP_TIMEOUT_MS,
		.strength = DEFAULT_STRENGTH,
		.news_bound_ms = DEFAULT_NEWS_BOUND_MS,
		.drain_ms = DEFAULT_DRAIN_MS,
		.max_connections = DEFAULT_MAX_CONNECTIONS,
		.memory_mb = RR_DEFAULT_MEMORY_MB,
		.log_level = RR_LOG_INFO,
		.log_format = RR_LOG_KEY_VALUE,
		.log_max_lines_per_s = DEFAULT_MAX_LINES_PER_S,
		.log_request_lines_per_s = DEFAULT_REQUEST_LINES_PER_S,
	};
}

struct rr_gateway_settings *
rr_parse_gateway_settings(const struct rr_settings_source *file,
			  GPtrArray *diagnostics)
{
	struct rr_gateway_settings *settings =
		g_new0(struct rr_gateway_settings, 1);

	rr_init_gateway_settings(settings);
	if (rr_parse_start_file(file, RR_SCOPE_GATEWAY, settings, diagnostics))
		return settings;
	rr_drop_gateway_settings(settings);
	return NULL;
}

void rr_drop_gateway_settings(struct rr_gateway_settings *settings)
{
	if (!settings)
		return;
	g_free(settings->instance);
	g_free(settings->zone);
	g_free(settings->caller_address);
	g_free(settings->ready_address);
	g_free(settings->metrics_address);
	g_free(settings->store_address);
	g_free(settings->peer_address);
	g_strfreev(settings->seed_peers);
	g_strfreev(settings->zone_regions);
	g_free(settings);
}
