/*
 * settings-table.c - table of all keys of the operators' files and start files.
 */
#include "settings/settings-table.h"

#include "ragwort/owner.h"

#include <string.h>

#define CONFIG_OFFSET(member) offsetof(struct rr_config, member)
#define SERVICE_OFFSET(member) offsetof(struct rr_service_config, member)
#define SHARD_OFFSET(member) offsetof(struct rr_shard_config, member)
#define REPLICA_OFFSET(member) offsetof(struct rr_replica_config, member)
#define START_OFFSET(member) offsetof(struct rr_start_settings, member)
#define GATEWAY_OFFSET(member) offsetof(struct rr_gateway_settings, member)

#define MAX_TIME_MS 600000
#define MAX_TIME_S 3600
#define MAX_COUNT 1000000
/* Limit of shares and multiples of requests; above any useful value. */
#define MAX_SHARE 1000

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
	  RR_MAX_OWNERS, .offset = CONFIG_OFFSET(owners_per_replica),
	  .unit = "instances",
	  .help = "Number of instances in a replica's availability zone "
		  "that hold connections to it; other instances reach the "
		  "replica through them." },
	{ "reservation_retention_s", RR_SCOPE_SITE, RR_TYPE_INTEGER, 60,
	  2592000, .offset = CONFIG_OFFSET(reservation_retention_s),
	  .unit = "s", .base_only = true,
	  .help = "How long the id of a reservation is remembered. A "
		  "request with an older id is rejected instead of being "
		  "run again." },
	{ "ledger_buckets", RR_SCOPE_SITE, RR_TYPE_INTEGER, 1, 4096,
	  .offset = CONFIG_OFFSET(ledger_buckets), .unit = "keys",
	  .base_only = true,
	  .help = "Number of keys in the platform's service over which "
		  "reservation ids are distributed. Cannot be changed once "
		  "set: `config push` rejects a change, because an id would "
		  "be looked up under another key and its request could run "
		  "twice." },
	{ "log", RR_SCOPE_SITE, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_SITE_LOG, .no_field = true,
	  .help = "Log settings that override those of the start files." },
	{ "defaults", RR_SCOPE_SITE, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_DEFAULTS, .no_field = true,
	  .help = "Values for services that do not set their own." },
	{ "services", RR_SCOPE_SITE, RR_TYPE_MAPPING_LIST,
	  .inner_scope = RR_SCOPE_SERVICE, .required = true, .no_field = true,
	  .help = "Services available to callers." },

	{ "level", RR_SCOPE_SITE_LOG, RR_TYPE_ENUM, .choices = log_levels,
	  .offset = CONFIG_OFFSET(log.level),
	  .help = "Most detailed level that is logged; each level includes "
		  "those before it." },
	{ "format", RR_SCOPE_SITE_LOG, RR_TYPE_ENUM, .choices = log_formats,
	  .offset = CONFIG_OFFSET(log.format), .help = "Format of log lines." },
	{ "max_lines_per_s", RR_SCOPE_SITE_LOG, RR_TYPE_INTEGER, 0, MAX_COUNT,
	  .offset = CONFIG_OFFSET(log.max_lines_per_s), .unit = "lines",
	  .help = "Maximum number of log lines per second for each event; 0 "
		  "for no limit." },

	{ "name", RR_SCOPE_SERVICE, RR_TYPE_NAME, .required = true,
	  .is_identity = true, .not_in_defaults = true,
	  .offset = SERVICE_OFFSET(name),
	  .help = "Name of the service in callers' requests." },
	{ "remove", RR_SCOPE_SERVICE, RR_TYPE_BOOL, .overlay_only = true,
	  .not_in_defaults = true, .no_field = true,
	  .help = "`true` removes the base file's service from this site." },
	{ "answer", RR_SCOPE_SERVICE, RR_TYPE_ENUM, .choices = answer_modes,
	  .offset = SERVICE_OFFSET(answer),
	  .help = "`coverage` waits for every shard that can still reply, "
		  "up to the deadline; `latency` answers once the share "
		  "`enough` of the shards is covered and `wait_ms` has "
		  "passed." },
	{ "deadline_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, MAX_TIME_MS,
	  .offset = SERVICE_OFFSET(deadline_ms), .unit = "ms",
	  .help = "Maximum time to answer a request; a caller can ask for "
		  "less." },
	{ "enough", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = SERVICE_OFFSET(min_coverage), .unit = "share of shards",
	  .help = "With `answer: latency`: share of shards that is "
		  "sufficient for an answer." },
	{ "wait_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 0, MAX_TIME_MS,
	  .offset = SERVICE_OFFSET(straggler_wait_ms), .unit = "ms",
	  .help = "With `answer: latency`: how long to wait for the "
		  "remaining shards once enough are covered." },
	{ "idempotent", RR_SCOPE_SERVICE, RR_TYPE_BOOL,
	  .offset = SERVICE_OFFSET(idempotent),
	  .help = "Whether an attempt may be repeated. With `false`, every "
		  "request is recorded and runs at most once." },
	{ "costs_money", RR_SCOPE_SERVICE, RR_TYPE_BOOL,
	  .offset = SERVICE_OFFSET(costs_money),
	  .help = "Whether each attempt costs money. If `true`, requests "
		  "are not hedged, and each is recorded and runs at most "
		  "once." },
	{ "slots", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, 10000,
	  .offset = SERVICE_OFFSET(slots), .unit = "requests",
	  .help = "Number of requests that one replica processes "
		  "concurrently." },
	{ "connections", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, 10000,
	  .offset = SERVICE_OFFSET(connections), .unit = "connections",
	  .help = "Number of connections that one replica accepts from all "
		  "instances together." },
	{ "connect_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 0, 60000,
	  .offset = SERVICE_OFFSET(connect_ms), .unit = "ms",
	  .help = "Time needed to open a new connection to a replica." },
	{ "connection_reserve", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 0, 10000,
	  .offset = SERVICE_OFFSET(connection_reserve), .unit = "connections",
	  .help = "Connections of a replica kept free for other "
		  "availability zones and for tools; must be less than "
		  "`connections`." },
	{ "hedge_budget", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = SERVICE_OFFSET(hedge_budget), .unit = "share of attempts",
	  .help = "Maximum number of second attempts (hedges) at slow "
		  "shards, as a share of the attempts that are needed." },
	{ "retry_budget", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = SERVICE_OFFSET(retry_budget), .unit = "share of attempts",
	  .help = "Maximum number of retries after failed attempts, as a "
		  "share of the attempts that are needed." },
	{ "attempt_timeout_ms", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1,
	  MAX_TIME_MS, .offset = SERVICE_OFFSET(attempt_timeout_ms),
	  .unit = "ms",
	  .help = "Maximum duration of one attempt; never longer than the "
		  "time left until the deadline." },
	{ "max_open_requests", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, MAX_COUNT,
	  .offset = SERVICE_OFFSET(max_open_requests), .unit = "requests",
	  .help = "Maximum number of requests waiting or running in one "
		  "instance; further requests are rejected with a retry "
		  "delay." },
	{ "batch_share", RR_SCOPE_SERVICE, RR_TYPE_NUMBER, 0, 1,
	  .offset = SERVICE_OFFSET(batch_share), .unit = "share of capacity",
	  .help = "Maximum share of the capacity for requests with "
		  "`X-Priority: batch`." },
	{ "max_rows", RR_SCOPE_SERVICE, RR_TYPE_INTEGER, 1, 100000,
	  .offset = SERVICE_OFFSET(max_rows), .unit = "rows",
	  .help = "Maximum number of rows in one answer or in one page of a "
		  "list." },
	{ "shards", RR_SCOPE_SERVICE, RR_TYPE_MAPPING_LIST,
	  .inner_scope = RR_SCOPE_SHARD, .required = true,
	  .not_in_defaults = true, .no_field = true,
	  .help = "Shards over which the service's keys are distributed." },

	{ "name", RR_SCOPE_SHARD, RR_TYPE_NAME, .required = true,
	  .is_identity = true, .offset = SHARD_OFFSET(name),
	  .help = "Name of the shard, unique in the service." },
	{ "remove", RR_SCOPE_SHARD, RR_TYPE_BOOL, .overlay_only = true,
	  .no_field = true,
	  .help = "`true` removes the base file's shard from this site." },
	{ "yard", RR_SCOPE_SHARD, RR_TYPE_NAME,
	  .offset = SHARD_OFFSET(public_name),
	  .help = "Name by which answers report this shard as missing; the "
		  "shard's name if omitted." },
	{ "keys", RR_SCOPE_SHARD, RR_TYPE_KEY_RANGE, .required = true,
	  .no_field = true,
	  .help = "Range of keys held by the shard, from the first up to "
		  "but not including the second. No two shards of a service "
		  "hold the same key." },
	{ "replicas", RR_SCOPE_SHARD, RR_TYPE_MAPPING_LIST,
	  .inner_scope = RR_SCOPE_REPLICA, .required = true, .no_field = true,
	  .help = "Upstreams, each of which holds the whole shard." },

	{ "id", RR_SCOPE_REPLICA, RR_TYPE_NAME, .required = true,
	  .is_identity = true, .offset = REPLICA_OFFSET(id),
	  .help = "Identifier of the replica, unique in the whole "
		  "configuration." },
	{ "remove", RR_SCOPE_REPLICA, RR_TYPE_BOOL, .overlay_only = true,
	  .no_field = true,
	  .help = "`true` removes the base file's replica from this site." },
	{ "zone", RR_SCOPE_REPLICA, RR_TYPE_NAME, .required = true,
	  .offset = REPLICA_OFFSET(zone),
	  .help = "Availability zone in which the replica runs." },
	{ "address", RR_SCOPE_REPLICA, RR_TYPE_ADDRESS, .required = true,
	  .offset = REPLICA_OFFSET(address),
	  .help = "Address of the replica." },

	/* The start file of an instance. */
	{ "instance", RR_SCOPE_START, RR_TYPE_NAME, .required = true,
	  .needs_restart = true, .offset = START_OFFSET(instance),
	  .help = "Name of this instance, different from that of any other." },
	{ "zone", RR_SCOPE_START, RR_TYPE_NAME, .required = true,
	  .needs_restart = true, .offset = START_OFFSET(zone),
	  .help = "Availability zone in which this instance runs." },
	{ "site", RR_SCOPE_START, RR_TYPE_NAME, .required = true,
	  .needs_restart = true, .offset = START_OFFSET(site),
	  .help = "Site whose overlay applies to this instance." },
	{ "caller_address", RR_SCOPE_START, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .needs_restart = true,
	  .offset = START_OFFSET(caller_address),
	  .help = "Address on which to listen for callers and operators." },
	{ "peer_address", RR_SCOPE_START, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .needs_restart = true,
	  .offset = START_OFFSET(peer_address),
	  .help = "Address on which to listen for other instances." },
	{ "platform_address", RR_SCOPE_START, RR_TYPE_ADDRESS, .required = true,
	  .needs_restart = true, .offset = START_OFFSET(platform_address),
	  .help = "Address of the platform's key-value service." },
	{ "seed_peers", RR_SCOPE_START, RR_TYPE_ADDRESS_LIST,
	  .needs_restart = true, .offset = START_OFFSET(seed_peers),
	  .help = "Peers to contact while the platform's list of instances "
		  "is unavailable." },
	{ "log", RR_SCOPE_START, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_START_LOG, .no_field = true,
	  .help = "Log settings, used until the operators' files override "
		  "them." },
	{ "drain_timeout_ms", RR_SCOPE_START, RR_TYPE_INTEGER, 0, 3600000,
	  .needs_restart = true, .offset = START_OFFSET(drain_timeout_ms),
	  .unit = "ms",
	  .help = "Maximum time to wait for requests in flight when the "
		  "instance is stopped." },
	{ "max_body_bytes", RR_SCOPE_START, RR_TYPE_INTEGER, 1024, 8388608,
	  .needs_restart = true, .offset = START_OFFSET(max_body_bytes),
	  .unit = "bytes",
	  .help = "Maximum size of the body of a caller's request; a larger "
		  "one is rejected with status 413." },
	{ "caller_idle_ms", RR_SCOPE_START, RR_TYPE_INTEGER, 1000, 3600000,
	  .needs_restart = true, .offset = START_OFFSET(caller_idle_ms),
	  .unit = "ms",
	  .help = "Maximum time for a caller to send a complete request, "
		  "counted from the opening of the connection or its last "
		  "answer, and to read an answer. The connection is closed "
		  "when the time expires." },
	{ "caller_rate_per_s", RR_SCOPE_START, RR_TYPE_INTEGER, 0, 1000000,
	  .needs_restart = true, .offset = START_OFFSET(caller_rate_per_s),
	  .unit = "requests",
	  .help = "Maximum number of requests per second from one address "
		  "(an IPv6 /64 counts as one); further requests are "
		  "rejected with status 429. 0 for no limit, as many callers "
		  "may share one address." },
	{ "caller_max_connections", RR_SCOPE_START, RR_TYPE_INTEGER, 1,
	  MAX_COUNT, .needs_restart = true,
	  .offset = START_OFFSET(caller_max_connections), .unit = "connections",
	  .help = "Maximum number of concurrent connections from callers. A "
		  "request on a connection above the limit is rejected with "
		  "status 503; connections far above it are closed at once." },
	{ "memory_mb", RR_SCOPE_START, RR_TYPE_INTEGER, 16, MAX_COUNT,
	  .needs_restart = true, .offset = START_OFFSET(memory_mb),
	  .unit = "MB",
	  .help = "Memory that this instance may use. Bodies of requests and "
		  "answers may use a quarter of it; beyond that, bodies over "
		  "16 KB are rejected with status 503, and callers that send "
		  "or read long messages too slowly are disconnected." },
	{ "tls", RR_SCOPE_START, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_START_TLS, .no_field = true,
	  .help = "TLS for callers; plain HTTP if omitted." },
	{ "caller_token_file", RR_SCOPE_START, RR_TYPE_FILE,
	  .needs_restart = true, .offset = START_OFFSET(caller_token_file),
	  .help = "File with the token that callers must send; any caller "
		  "is served if omitted." },
	{ "curve", RR_SCOPE_START, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_START_CURVE, .no_field = true,
	  .help = "CURVE encryption between peers; no encryption if "
		  "omitted." },

	{ "level", RR_SCOPE_START_LOG, RR_TYPE_ENUM, .choices = log_levels,
	  .needs_restart = true, .offset = START_OFFSET(log_level),
	  .help = "Most detailed level that is logged; `decision` logs one "
		  "line for each routing decision." },
	{ "format", RR_SCOPE_START_LOG, RR_TYPE_ENUM, .choices = log_formats,
	  .needs_restart = true, .offset = START_OFFSET(log_format),
	  .help = "Format of log lines." },
	{ "max_lines_per_s", RR_SCOPE_START_LOG, RR_TYPE_INTEGER, 0, MAX_COUNT,
	  .needs_restart = true, .offset = START_OFFSET(log_max_lines_per_s),
	  .unit = "lines",
	  .help = "Maximum number of log lines per second for each event; 0 "
		  "for no limit." },

	{ "certificate_file", RR_SCOPE_START_TLS, RR_TYPE_FILE,
	  .required = true, .needs_restart = true,
	  .offset = START_OFFSET(tls_certificate_file),
	  .help = "Certificate chain in PEM format." },
	{ "key_file", RR_SCOPE_START_TLS, RR_TYPE_FILE, .required = true,
	  .needs_restart = true, .offset = START_OFFSET(tls_key_file),
	  .help = "Private key in PEM format." },

	{ "public_key", RR_SCOPE_START_CURVE, RR_TYPE_CURVE_KEY,
	  .required = true, .offset = START_OFFSET(peer_public_key),
	  .help = "Public key of this instance; usually all instances of a "
		  "site share one key pair." },
	{ "secret_key_file", RR_SCOPE_START_CURVE, RR_TYPE_FILE,
	  .required = true, .offset = START_OFFSET(peer_secret_key_file),
	  .help = "File with the matching secret key." },
	{ "allowed_keys", RR_SCOPE_START_CURVE, RR_TYPE_CURVE_KEY_LIST,
	  .offset = START_OFFSET(peer_allowed_keys),
	  .help = "Public keys of the peers that may connect, 1 to 8." },

	/* The gateway's start file. */
	{ "instance", RR_SCOPE_GATEWAY, RR_TYPE_NAME, .required = true,
	  .offset = GATEWAY_OFFSET(instance),
	  .help = "Name of this instance, different from that of any other." },
	{ "zone", RR_SCOPE_GATEWAY, RR_TYPE_NAME, .required = true,
	  .offset = GATEWAY_OFFSET(zone),
	  .help = "Availability zone in which this instance runs; its "
		  "replicas are tried first." },
	{ "caller_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .offset = GATEWAY_OFFSET(caller_address),
	  .help = "Address on which to listen for callers." },
	{ "ready_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .required = true, .offset = GATEWAY_OFFSET(ready_address),
	  .help = "Address on which the platform checks whether the "
		  "instance is ready for callers." },
	{ "metrics_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .offset = GATEWAY_OFFSET(metrics_address),
	  .help = "Address on which counters and histograms are served as "
		  "Prometheus text under any path; not served if omitted." },
	{ "store_address", RR_SCOPE_GATEWAY, RR_TYPE_ADDRESS, .required = true,
	  .offset = GATEWAY_OFFSET(store_address),
	  .help = "Address of the platform's key-value store." },
	{ "peer_address", RR_SCOPE_GATEWAY, RR_TYPE_LISTEN_ADDRESS,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(peer_address),
	  .help = "Address on which to listen for other instances: weaker "
		  "ones forward searches to this one, others request "
		  "changes of the store from it. If omitted, they do "
		  "neither." },
	{ "seed_peers", RR_SCOPE_GATEWAY, RR_TYPE_ADDRESS_LIST,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(seed_peers),
	  .help = "Peer addresses of instances to contact while the store "
		  "is unreachable." },
	{ "zone_regions", RR_SCOPE_GATEWAY, RR_TYPE_ZONE_REGION_LIST,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(zone_regions),
	  .help = "Region of each availability zone. A route that names "
		  "regions is not sent to any zone that is not listed here." },
	{ "strength", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, 1024,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(strength),
	  .unit = "cores",
	  .help = "Number of processor cores available to this instance. An "
		  "instance with at most half the cores of another one in "
		  "its zone forwards searches to it." },
	{ "news_bound_ms", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 100, MAX_TIME_MS,
	  .ms_per_unit = 1, .default_if_invalid = true,
	  .offset = GATEWAY_OFFSET(news_bound_ms), .unit = "ms",
	  .help = "Maximum time until a change in the store is known to "
		  "this instance; a higher value causes fewer calls." },
	{ "drain_ms", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 100, MAX_TIME_MS,
	  .ms_per_unit = 1, .default_if_invalid = true,
	  .offset = GATEWAY_OFFSET(drain_ms), .unit = "ms",
	  .help = "Time for which a replica serves after it was removed from "
		  "the store. Changes are known and applied within it, also if "
		  "`news_bound_ms` is longer." },
	{ "extra_share", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MAX_SHARE,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(extra_share),
	  .unit = "share of requests",
	  .help = "Maximum number of attempts beyond the first that a "
		  "service gets from all instances together, as a share of "
		  "its requests." },
	{ "extra_slack", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MAX_COUNT,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(extra_slack),
	  .unit = "attempts",
	  .help = "Attempts allowed in addition to `extra_share` in any "
		  "window, from all instances together." },
	{ "extra_window_s", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 0.1, MAX_TIME_S,
	  .ms_per_unit = 1000, .default_if_invalid = true,
	  .offset = GATEWAY_OFFSET(extra_window_ms), .unit = "s",
	  .help = "Length of the window for `extra_share` and "
		  "`extra_slack`." },
	{ "cold_overage", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MAX_SHARE,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(cold_overage),
	  .unit = "times",
	  .help = "Maximum number of requests that a cold replica gets in "
		  "any second from all instances together, as a multiple of "
		  "the rate declared for cold replicas of its service." },
	{ "cold_slack", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MAX_COUNT,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(cold_slack),
	  .unit = "requests",
	  .help = "Requests allowed in addition to `cold_overage` in any "
		  "second, from all instances together." },
	{ "allowance_window_s", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 0.1,
	  MAX_TIME_S, .ms_per_unit = 1000, .default_if_invalid = true,
	  .offset = GATEWAY_OFFSET(allowance_window_ms), .unit = "s",
	  .help = "Length of the window in which the allowances of client "
		  "accounts are kept. `zone_regions` has to name all zones: "
		  "each has an equal part." },
	{ "allowance_overage", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MAX_SHARE,
	  .default_if_invalid = true,
	  .offset = GATEWAY_OFFSET(allowance_overage),
	  .unit = "share of the allowance",
	  .help = "Requests beyond an account's allowance that all instances "
		  "together may run in any window, as a share of it." },
	{ "allowance_slack", RR_SCOPE_GATEWAY, RR_TYPE_NUMBER, 0, MAX_COUNT,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(allowance_slack),
	  .unit = "requests",
	  .help = "Requests allowed in addition to `allowance_overage` in any "
		  "window. Too small a slack rejects requests of small "
		  "accounts below their allowance." },
	{ "evacuation_bound_ms", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 100,
	  MAX_TIME_MS, .ms_per_unit = 1, .default_if_invalid = true,
	  .offset = GATEWAY_OFFSET(evacuation_bound_ms), .unit = "ms",
	  .help = "Maximum time until an evacuation in the store is known "
		  "to this instance, if less than `news_bound_ms`." },
	{ "stop_timeout_s", RR_SCOPE_GATEWAY, RR_TYPE_DURATION, 0, MAX_TIME_S,
	  .ms_per_unit = 1000, .default_if_invalid = true,
	  .offset = GATEWAY_OFFSET(stop_timeout_ms), .unit = "s",
	  .help = "Time from SIGTERM until the platform kills the process." },
	{ "max_connections", RR_SCOPE_GATEWAY, RR_TYPE_INTEGER, 1, MAX_COUNT,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(max_connections),
	  .unit = "connections",
	  .help = "Maximum number of concurrent connections from callers, at "
		  "most half of the process's file descriptors. A "
		  "further one replaces an idle one or, after a second, "
		  "incomplete requests, which are answered 408; otherwise it "
		  "waits." },
	{ "memory_mb", RR_SCOPE_GATEWAY, RR_TYPE_INTEGER, 16, MAX_COUNT,
	  .default_if_invalid = true, .offset = GATEWAY_OFFSET(memory_mb),
	  .unit = "MB",
	  .help = "Memory that this instance may use. Requests and responses "
		  "of callers may use a quarter of it; beyond that, callers "
		  "that send or read long messages too slowly are "
		  "disconnected, and other long messages wait." },
	{ "log", RR_SCOPE_GATEWAY, RR_TYPE_MAPPING,
	  .inner_scope = RR_SCOPE_GATEWAY_LOG, .no_field = true,
	  .help = "Log settings; log lines are written to standard output." },

	{ "level", RR_SCOPE_GATEWAY_LOG, RR_TYPE_ENUM, .choices = log_levels,
	  .offset = GATEWAY_OFFSET(log_level),
	  .help = "Most detailed level that is logged." },
	{ "format", RR_SCOPE_GATEWAY_LOG, RR_TYPE_ENUM, .choices = log_formats,
	  .offset = GATEWAY_OFFSET(log_format),
	  .help = "Format of log lines." },
	{ "request_lines_per_s", RR_SCOPE_GATEWAY_LOG, RR_TYPE_INTEGER, 0,
	  MAX_COUNT, .offset = GATEWAY_OFFSET(log_request_lines_per_s),
	  .unit = "lines",
	  .help = "Maximum number of lines per second about decisions on "
		  "requests. A request is logged completely, or only by its "
		  "result and the steps of its missing parts. Requests that "
		  "failed, were late or lack a part take precedence, "
		  "followed by one in 64 of the others." },
	{ "max_lines_per_s", RR_SCOPE_GATEWAY_LOG, RR_TYPE_INTEGER, 0,
	  MAX_COUNT, .offset = GATEWAY_OFFSET(log_max_lines_per_s),
	  .unit = "lines",
	  .help = "Maximum number of log lines per second for each event; 0 "
		  "for no limit." },
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
