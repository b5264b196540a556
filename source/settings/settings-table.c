/*
 * settings-table.c - every key of the operators' files and the start file.
 */
#include "settings/settings-table.h"

#include "ragwort/owner.h"

#include <string.h>

#define IN_CONFIG(member) offsetof(struct rr_config, member)
#define IN_SERVICE(member) offsetof(struct rr_service_config, member)
#define IN_SHARD(member) offsetof(struct rr_shard_config, member)
#define IN_REPLICA(member) offsetof(struct rr_replica_config, member)
#define IN_START(member) offsetof(struct rr_start_settings, member)
#define IN_GATEWAY(member) offsetof(struct rr_gateway_settings, member)

#define LONGEST_MS 600000
#define LONGEST_S 3600
#define MOST_COUNT 1000000
/* More extra attempts than requests for any use. */
#define MOST_SHARE 1000

/* In the order of enum rr_answer_mode. */
static const char *const answer_modes[] = { "coverage", "latency", NULL };
/* In the order of enum rr_log_level. */
static const char *const log_levels[] = { "error",    "warning", "info",
					  "decision", "debug",	 NULL };
/* In the order of enum rr_log_format. */
static const char *const log_formats[] = { "key-value", "json", NULL };

const struct rr_setting rr_settings[] = {
	/* The operators' files. */
	{ "owners_per_replica", RR_SCOPE_SITE, RR_TYPE_INTEGER, 1,
	  RR_MAX_OWNERS, .offset = IN_CONFIG(owners_per_replica),
	  .unit = "instances",
	  .help = "How many instances of a replica's availability zone hold "
		  "connections to it; the others reach it through them." },
	{ "reservation_retention_s", RR_SCOPE_SITE, RR_TYPE_INTEGER, 60,
	  2592000, .offset = IN_CONFIG(reservation_retention_s), .unit = "s",
	  .base_only = true,
	  .help = "How long a reservation's id is remembered; an older id is "
		  "refused rather than run again." },
	{ "ledger_buckets", RR_SCOPE_SITE, RR_TYPE_INTEGER, 1, 4096,
	  .offset = IN_CONFIG(ledger_buckets), .unit = "keys",
	  .base_only = true,
	  .help = "Keys of the platform's service that reservation ids are "
		  "spread over. Chosen once: `config push` refuses to change "
		  "it, because an id would be looked for under another key "
		  "and could run twice." },
	{ "log", RR_SCOPE_SITE, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_SITE_LOG, .no_field = true,
	  .help = "Log settings that replace those of the start files." },
	{ "defaults", RR_SCOPE_SITE, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_DEFAULTS, .no_field = true,
	  .help = "Values for every service that does not set its own." },
	{ "services", RR_SCOPE_SITE, RR_TYPE_MAPPING_LIST,
	  .inner_scope = RR_SCOPE_SERVICE, .required = true, .no_field = true,
	  .help = "The services that callers may ask." },

	{ "level", RR_SCOPE_SITE_LOG, RR_TYPE_ENUM, .choices = log_levels,
	  .offset = IN_CONFIG(log.level),
	  .help = "The most detailed lines that are written; each level "
		  "includes those before it." },
	{ "format", RR_SCOPE_SITE_LOG, RR_TYPE_ENUM, .choices = log_formats,
	  .offset = IN_CONFIG(log.format), .help = "How a line is written." },
	{ "max_lines_per_s", RR_SCOPE_SITE_LOG, RR_TYPE_INTEGER, 0, MOST_COUNT,
	  .offset = IN_CONFIG(log.max_lines_per_s), .unit = "lines",
	  .help = "Most lines of one event in a second; 0 is no bound." },

	{ "name", RR_SCOPE_SERVICE, RR_TYPE_NAME, .required = true,
	  .is_identity = true, .not_in_defaults = true,
	  .offset = IN_SERVICE(name),
	  .help = "What callers call the service." },
	{ "remove", RR_SCOPE_SERVICE, RR_TYPE_BOOL, .overlay_only = true,
	  .not_in_defaults = true, .no_field = true,
	  .help = "`true` takes the base's service away from this site." },
	{ "answer", RR_SCOPE_SERVICE, RR_TYPE_ENUM, .choices = answer_modes,
	  .offset = IN_SERVICE(answer),
	  .help = "`coverage` waits for every shard that can still come, up "
		  "to the deadline; `latency` answers when `enough` is "
		  "covered and `wait_ms` has passed." },
	{ "deadline_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, LONGEST_MS,
	  .offset = IN_SERVICE(deadline_ms), .unit = "ms",
	  .help = "Longest time to an answer; a caller may ask for less." },
	{ "enough", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = IN_SERVICE(min_coverage), .unit = "share of shards",
	  .help = "With `answer: latency`: the share of shards that is "
		  "enough." },
	{ "wait_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 0, LONGEST_MS,
	  .offset = IN_SERVICE(straggler_wait_ms), .unit = "ms",
	  .help = "With `answer: latency`: how long to wait for the other "
		  "shards once there is enough." },
	{ "idempotent", RR_SCOPE_SERVICE, RR_TYPE_BOOL,
	  .offset = IN_SERVICE(idempotent),
	  .help = "Whether an attempt may be repeated; with `false` every "
		  "request is recorded and runs at most once." },
	{ "costs_money", RR_SCOPE_SERVICE, RR_TYPE_BOOL,
	  .offset = IN_SERVICE(costs_money),
	  .help = "Whether each attempt costs money: no hedging, and every "
		  "request is recorded and runs at most once." },
	{ "slots", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, 10000,
	  .offset = IN_SERVICE(slots), .unit = "requests",
	  .help = "How many requests one replica works on at once." },
	{ "connections", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, 10000,
	  .offset = IN_SERVICE(connections), .unit = "connections",
	  .help = "How many connections one replica takes from all instances "
		  "together." },
	{ "connect_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 0, 60000,
	  .offset = IN_SERVICE(connect_ms), .unit = "ms",
	  .help = "What a new connection to a replica costs." },
	{ "connection_reserve", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 0, 10000,
	  .offset = IN_SERVICE(connection_reserve), .unit = "connections",
	  .help = "Connections of a replica left free for other availability "
		  "zones and for tools; fewer than `connections`." },
	{ "hedge_budget", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = IN_SERVICE(hedge_budget), .unit = "share of attempts",
	  .help = "Most second attempts at slow shards, as a share of the "
		  "needed ones." },
	{ "retry_budget", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = IN_SERVICE(retry_budget), .unit = "share of attempts",
	  .help = "Most retries after failed attempts, as a share of the "
		  "needed ones." },
	{ "attempt_timeout_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1,
	  LONGEST_MS, .offset = IN_SERVICE(attempt_timeout_ms), .unit = "ms",
	  .help = "Longest time of one attempt; never longer than what is "
		  "left of the deadline." },
	{ "max_open_requests", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, MOST_COUNT,
	  .offset = IN_SERVICE(max_open_requests), .unit = "requests",
	  .help = "Most requests waiting or running in one instance; more "
		  "are refused with a time to come back." },
	{ "batch_share", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = IN_SERVICE(batch_share), .unit = "share of capacity",
	  .help = "How much of the capacity requests with `X-Priority: "
		  "batch` may use." },
	{ "max_rows", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, 100000,
	  .offset = IN_SERVICE(max_rows), .unit = "rows",
	  .help = "Most rows of one answer or of one page of a list." },
	{ "shards", RR_SCOPE_SERVICE, RR_TYPE_MAPPING_LIST,
	  .inner_scope = RR_SCOPE_SHARD, .required = true,
	  .not_in_defaults = true, .no_field = true,
	  .help = "The parts that the service's keys are spread over." },

	{ "name", RR_SCOPE_SHARD, RR_TYPE_NAME, .required = true,
	  .is_identity = true, .offset = IN_SHARD(name),
	  .help = "Unique in the service." },
	{ "remove", RR_SCOPE_SHARD, RR_TYPE_BOOL, .overlay_only = true,
	  .no_field = true,
	  .help = "`true` takes the base's shard away from this site." },
	{ "yard", RR_SCOPE_SHARD, RR_TYPE_NAME, .offset = IN_SHARD(public_name),
	  .help = "What answers call this part where it is lacking; the "
		  "shard's name if left out." },
	{ "keys", RR_SCOPE_SHARD, RR_TYPE_KEY_RANGE, .required = true,
	  .no_field = true,
	  .help = "The keys held, from the first up to but not including the "
		  "second; no two shards of a service hold the same key." },
	{ "replicas", RR_SCOPE_SHARD, RR_TYPE_MAPPING_LIST,
	  .inner_scope = RR_SCOPE_REPLICA, .required = true, .no_field = true,
	  .help = "The upstreams that each hold the whole shard." },

	{ "id", RR_SCOPE_REPLICA, RR_TYPE_NAME, .required = true,
	  .is_identity = true, .offset = IN_REPLICA(id),
	  .help = "Unique in the whole "
		  "configuration." },
	{ "remove", RR_SCOPE_REPLICA, RR_TYPE_BOOL, .overlay_only = true,
	  .no_field = true,
	  .help = "`true` takes the base's replica away from this site." },
	{ "zone", RR_SCOPE_REPLICA, RR_TYPE_NAME, .required = true,
	  .offset = IN_REPLICA(zone),
	  .help = "The availability zone it runs in." },
	{ "address", RR_SCOPE_REPLICA, RR_TYPE_ADDRESS, .required = true,
	  .offset = IN_REPLICA(address), .help = "Where it is reached." },

	/* The start file. */
	{ "instance", RR_SCOPE_START, RR_TYPE_NAME, .required = true,
	  .needs_restart = true, .offset = IN_START(instance),
	  .help = "This instance's name, unlike that of any other." },
	{ "zone", RR_SCOPE_START, RR_TYPE_NAME, .required = true,
	  .needs_restart = true, .offset = IN_START(zone),
	  .help = "The availability zone this instance runs in." },
	{ "site", RR_SCOPE_START, RR_TYPE_NAME, .required = true,
	  .needs_restart = true, .offset = IN_START(site),
	  .help = "The site whose overlay this instance goes by." },
	{ "caller_address", RR_SCOPE_START, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .needs_restart = true,
	  .offset = IN_START(caller_address),
	  .help = "Where callers and operators come to." },
	{ "peer_address", RR_SCOPE_START, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .needs_restart = true,
	  .offset = IN_START(peer_address),
	  .help = "Where other instances come to." },
	{ "platform_address", RR_SCOPE_START, RR_TYPE_ADDRESS, .required = true,
	  .needs_restart = true, .offset = IN_START(platform_address),
	  .help = "Where the platform's key-value service is reached." },
	{ "seed_peers", RR_SCOPE_START, RR_TYPE_ADDRESS_LIST,
	  .needs_restart = true, .offset = IN_START(seed_peers),
	  .help = "Peers to start from while the platform's list of "
		  "instances is out of reach." },
	{ "log", RR_SCOPE_START, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_START_LOG, .no_field = true,
	  .help = "Log settings until the operators' files set others." },
	{ "drain_timeout_ms", RR_SCOPE_START, RR_TYPE_INTEGER, 0, 3600000,
	  .needs_restart = true, .offset = IN_START(drain_timeout_ms),
	  .unit = "ms",
	  .help = "Longest wait for work in flight when the instance is "
		  "stopped." },
	{ "max_body_bytes", RR_SCOPE_START, RR_TYPE_INTEGER, 1024, 8388608,
	  .needs_restart = true, .offset = IN_START(max_body_bytes),
	  .unit = "bytes",
	  .help = "Longest body of a caller's request; a longer one is "
		  "refused with 413." },
	{ "caller_idle_ms", RR_SCOPE_START, RR_TYPE_INTEGER, 1000, 3600000,
	  .needs_restart = true, .offset = IN_START(caller_idle_ms),
	  .unit = "ms",
	  .help = "Longest time for a caller's connection to bring a whole "
		  "request after its opening or its last answer, and to read "
		  "an answer; it is closed then." },
	{ "caller_rate_per_s", RR_SCOPE_START, RR_TYPE_INTEGER, 0, 1000000,
	  .needs_restart = true, .offset = IN_START(caller_rate_per_s),
	  .unit = "requests",
	  .help = "Most requests in a second from one address (an IPv6 /64 "
		  "counts as one); more are refused with 429. 0 is no bound, "
		  "since many callers may come through one address." },
	{ "caller_max_connections", RR_SCOPE_START, RR_TYPE_INTEGER, 1,
	  MOST_COUNT, .needs_restart = true,
	  .offset = IN_START(caller_max_connections), .unit = "connections",
	  .help = "Most connections of callers at once; a request on one more "
		  "is refused with 503, and those far beyond are closed at "
		  "once." },
	{ "tls", RR_SCOPE_START, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_START_TLS, .no_field = true,
	  .help = "Left out: callers speak plain HTTP." },
	{ "caller_token_file", RR_SCOPE_START, RR_TYPE_FILE,
	  .needs_restart = true, .offset = IN_START(caller_token_file),
	  .help = "A file with the token that callers must send; left out: "
		  "any caller is served." },
	{ "curve", RR_SCOPE_START, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_START_CURVE, .no_field = true,
	  .help = "Left out: peers speak without encryption." },

	{ "level", RR_SCOPE_START_LOG, RR_TYPE_ENUM, .choices = log_levels,
	  .needs_restart = true, .offset = IN_START(log_level),
	  .help = "The most detailed lines that are written; `decision` has "
		  "one for each routing decision." },
	{ "format", RR_SCOPE_START_LOG, RR_TYPE_ENUM, .choices = log_formats,
	  .needs_restart = true, .offset = IN_START(log_format),
	  .help = "How a line is written." },
	{ "max_lines_per_s", RR_SCOPE_START_LOG, RR_TYPE_INTEGER, 0, MOST_COUNT,
	  .needs_restart = true, .offset = IN_START(log_max_lines_per_s),
	  .unit = "lines",
	  .help = "Most lines of one event in a second; 0 is no bound." },

	{ "certificate_file", RR_SCOPE_START_TLS, RR_TYPE_FILE,
	  .required = true, .needs_restart = true,
	  .offset = IN_START(tls_certificate_file),
	  .help = "Certificate chain in PEM." },
	{ "key_file", RR_SCOPE_START_TLS, RR_TYPE_FILE, .required = true,
	  .needs_restart = true, .offset = IN_START(tls_key_file),
	  .help = "Private key in PEM." },

	{ "public_key", RR_SCOPE_START_CURVE, RR_TYPE_CURVE_KEY,
	  .required = true, .offset = IN_START(peer_public_key),
	  .help = "The public key that this instance speaks under; usually "
		  "one pair serves a whole site." },
	{ "secret_key_file", RR_SCOPE_START_CURVE, RR_TYPE_FILE,
	  .required = true, .offset = IN_START(peer_secret_key_file),
	  .help = "A file with the secret key to it." },
	{ "allowed_keys", RR_SCOPE_START_CURVE, RR_TYPE_CURVE_KEY_LIST,
	  .offset = IN_START(peer_allowed_keys),
	  .help = "Public keys of the peers that are let in, 1 to 8." },

	/* The gateway's start file. */
	{ "instance", RR_SCOPE_GATEWAY, RR_TYPE_NAME, .required = true,
	  .offset = IN_GATEWAY(instance),
	  .help = "This instance's name, unlike that of any other." },
	{ "zone", RR_SCOPE_GATEWAY, RR_TYPE_NAME, .required = true,
	  .offset = IN_GATEWAY(zone),
	  .help = "The availability zone this instance runs in; replicas of "
		  "it are asked first." },
	{ "caller_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .offset = IN_GATEWAY(caller_address),
	  .help = "Where callers come to." },
	{ "ready_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .offset = IN_GATEWAY(ready_address),
	  .help = "Where the platform asks whether callers may come." },
	{ "metrics_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .offset = IN_GATEWAY(metrics_address),
	  .help = "Where counters and histograms are read, as Prometheus "
		  "text under any path. Left out: nowhere." },
	{ "store_address", RR_SCOPE_GATEWAY, RR_TYPE_ADDRESS, .required = true,
	  .offset = IN_GATEWAY(store_address),
	  .help = "Where the platform's key-value store is reached." },
	{ "peer_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .default_if_invalid = true, .offset = IN_GATEWAY(peer_address),
	  .help = "Where other instances come to: weaker ones hand searches "
		  "over, others ask for the store's news. Left out: they do "
		  "not." },
	{ "seed_peers", RR_SCOPE_GATEWAY, RR_TYPE_ADDRESS_LIST,
	  .default_if_invalid = true, .offset = IN_GATEWAY(seed_peers),
	  .help = "Peer addresses of instances to start from while the store "
		  "is out of reach." },
	{ "zone_regions", RR_SCOPE_GATEWAY, RR_TYPE_ZONE_REGION_LIST,
	  .default_if_invalid = true, .offset = IN_GATEWAY(zone_regions),
	  .help = "The region of each availability zone. A route that names "
		  "regions is sent to no zone that is not listed here." },
	{ "strength", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, 1024,
	  .default_if_invalid = true, .offset = IN_GATEWAY(strength),
	  .unit = "cores",
	  .help = "What this instance has of a processor. One that has half "
		  "of another's of its zone, or less, hands searches over." },
	{ "news_bound_ms", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 100, LONGEST_MS,
	  .ms_per_unit = 1, .default_if_invalid = true,
	  .offset = IN_GATEWAY(news_bound_ms), .unit = "ms",
	  .help = "Longest time until a change in the store has to be known "
		  "here; the more there is of it, the fewer calls are made." },
	{ "extra_share", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MOST_SHARE,
	  .default_if_invalid = true, .offset = IN_GATEWAY(extra_share),
	  .unit = "share of requests",
	  .help = "Most attempts on top of the first that a service gets from "
		  "all instances together, as a share of its requests." },
	{ "extra_slack", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MOST_COUNT,
	  .default_if_invalid = true, .offset = IN_GATEWAY(extra_slack),
	  .unit = "attempts",
	  .help = "So many more in any window, from all instances together." },
	{ "extra_window_s", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 0.1, LONGEST_S,
	  .ms_per_unit = 1000, .default_if_invalid = true,
	  .offset = IN_GATEWAY(extra_window_ms), .unit = "s",
	  .help = "Length of that window." },
	{ "cold_overage", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MOST_SHARE,
	  .default_if_invalid = true, .offset = IN_GATEWAY(cold_overage),
	  .unit = "times",
	  .help = "What a cold replica may get in any second from all "
		  "instances together, as a multiple of what its service is "
		  "said to bear." },
	{ "cold_slack", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MOST_COUNT,
	  .default_if_invalid = true, .offset = IN_GATEWAY(cold_slack),
	  .unit = "requests",
	  .help = "So many more in any second, from all instances together." },
	{ "evacuation_bound_ms", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 100,
	  LONGEST_MS, .ms_per_unit = 1, .default_if_invalid = true,
	  .offset = IN_GATEWAY(evacuation_bound_ms), .unit = "ms",
	  .help = "Longest time until an evacuation in the store has to be "
		  "known here, if that is less than `news_bound_ms`." },
	{ "stop_timeout_s", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 0, LONGEST_S,
	  .ms_per_unit = 1000, .default_if_invalid = true,
	  .offset = IN_GATEWAY(stop_timeout_ms), .unit = "s",
	  .help = "Time from SIGTERM until the platform kills the process." },
	{ "max_connections", RR_SCOPE_GATEWAY, RR_TYPE_INTEGER, 1, MOST_COUNT,
	  .default_if_invalid = true, .offset = IN_GATEWAY(max_connections),
	  .unit = "connections",
	  .help = "Most connections of callers at once; one more waits until "
		  "another ends." },
	{ "log", RR_SCOPE_GATEWAY, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_GATEWAY_LOG, .no_field = true,
	  .help = "What is written to standard output." },

	{ "level", RR_SCOPE_GATEWAY_LOG, RR_TYPE_ENUM, .choices = log_levels,
	  .offset = IN_GATEWAY(log_level),
	  .help = "The most detailed lines that are written." },
	{ "format", RR_SCOPE_GATEWAY_LOG, RR_TYPE_ENUM, .choices = log_formats,
	  .offset = IN_GATEWAY(log_format), .help = "How a line is written." },
	{ "request_lines_per_s", RR_SCOPE_GATEWAY_LOG, RR_TYPE_INTEGER, 0,
	  MOST_COUNT, .offset = IN_GATEWAY(log_request_lines_per_s),
	  .unit = "lines",
	  .help = "Lines for what was decided for requests. A request is told "
		  "whole or by its end only: first those that failed, came "
		  "late or lack a part, then one in 64 of the others." },
	{ "max_lines_per_s", RR_SCOPE_GATEWAY_LOG, RR_TYPE_INTEGER, 0,
	  MOST_COUNT, .offset = IN_GATEWAY(log_max_lines_per_s),
	  .unit = "lines",
	  .help = "Most lines of one event in a second; 0 is no bound." },
};

const size_t rr_n_settings = G_N_ELEMENTS(rr_settings);

bool rr_is_setting_in_scope(const struct rr_setting *setting,
			    enum rr_setting_scope scope)
{
	if (scope == RR_SCOPE_DEFAULTS)
		return setting->scope == RR_SCOPE_SERVICE &&
		       !setting->not_in_defaults;
	return setting->scope == scope;
}

const struct rr_setting *rr_find_setting(enum rr_setting_scope scope,
					 const char *name)
{
	for (size_t i = 0; i < rr_n_settings; i++) {
		if (rr_is_setting_in_scope(&rr_settings[i], scope) &&
		    !strcmp(rr_settings[i].name, name))
			return &rr_settings[i];
	}
	return NULL;
}

const char *rr_find_identity_key(enum rr_setting_scope scope)
{
	for (size_t i = 0; i < rr_n_settings; i++) {
		if (rr_settings[i].scope == scope && rr_settings[i].is_identity)
			return rr_settings[i].name;
	}
	return NULL;
}
