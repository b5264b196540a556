/*
 * settings.h - parser of YAML settings: base file, overlays and start files.
 *
 * The base file has the settings of all sites, an overlay the changes for one
 * site, and a start file the settings of one process.
 *
 * Every key is in one table (settings-table.h), used both to check the files
 * and to generate docs/SETTINGS.md.  A check reports all errors, not only the
 * first.
 */
#ifndef RAGWORT_SETTINGS_H
#define RAGWORT_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/config.h"
#include "ragwort/log.h"

/* An error or warning at a line of a file. */
struct rr_diagnostic {
	char *file;
	uint32_t line; /* from 1 */
	char *message; /* what was found and what is allowed */
	/*
	 * A warning does not reject the file: the key's default is used
	 * instead of the invalid value.
	 */
	bool is_warning;
};

/* Create an array of struct rr_diagnostic * that frees its elements. */
GPtrArray *rr_new_diagnostics(void);
/* Print "FILE:LINE: MESSAGE" for each diagnostic to stderr. */
void rr_print_diagnostics(const GPtrArray *diagnostics);

struct rr_settings_source {
	const char *file; /* name used in diagnostics */
	const char *text;
	size_t length;
};

/*
 * Build the configuration of `site` from the base file and the site's overlay
 * (NULL for none).  Errors are appended to `diagnostics`, an array of struct
 * rr_diagnostic * that frees its elements.  Return NULL if there is any
 * error; otherwise a configuration whose revision is 0, which the caller
 * releases with rr_drop_config().
 */
struct rr_config *rr_parse_config(const struct rr_settings_source *base,
				  const struct rr_settings_source *overlay,
				  const char *site, GPtrArray *diagnostics);

/*
 * Append the differences between two configurations of a site as text, one
 * indented line each.  The revision is not compared.
 */
void rr_format_config_diff(const struct rr_config *old,
			   const struct rr_config *new, GString *out);

/* An instance's start file. */
struct rr_start_settings {
	char *instance; /* unique name */
	char *zone;
	char *site;
	char *caller_address;	/* IP:PORT to listen on for callers */
	char *peer_address;	/* IP:PORT to listen on for peers */
	char *platform_address; /* IP:PORT of the key-value service */
	/* IP:PORT of peers to contact if the platform's list is unavailable. */
	char **seed_peers; /* NULL-terminated, never NULL itself */
	enum rr_log_level log_level;
	enum rr_log_format log_format;
	uint32_t log_max_lines_per_s;
	uint32_t drain_timeout_ms;  /* limit for requests in flight */
	char *tls_certificate_file; /* NULL: plain HTTP */
	char *tls_key_file;
	char *caller_token_file; /* NULL: any caller is served */
	char *peer_public_key;	 /* Z85 CURVE key; NULL: no encryption */
	char *peer_secret_key_file;
	char **peer_allowed_keys; /* NULL-terminated, never NULL itself */
	uint32_t max_body_bytes;
	uint32_t caller_idle_ms; /* limit to send a request or read an answer */
	uint32_t caller_rate_per_s; /* for each address; 0: no limit */
	uint32_t caller_max_connections;
	uint32_t memory_mb;
};

/*
 * Parse an instance's start file; errors as for rr_parse_config().  The caller
 * frees the result with rr_drop_start_settings().
 */
struct rr_start_settings *
rr_parse_start_settings(const struct rr_settings_source *file,
			GPtrArray *diagnostics);
void rr_drop_start_settings(struct rr_start_settings *settings);

/* A gateway's start file. */
struct rr_gateway_settings {
	char *instance;
	char *zone;
	char *caller_address;  /* IP:PORT to listen on for callers */
	char *ready_address;   /* IP:PORT to listen on for readiness checks */
	char *metrics_address; /* IP:PORT to listen on; NULL: none */
	char *store_address;   /* IP:PORT of the platform's store */
	char *peer_address;    /* IP:PORT to listen on for peers; NULL: none */
	/* IP:PORT of peers to contact while the store is unreachable. */
	char **seed_peers;   /* NULL-terminated, never NULL itself */
	char **zone_regions; /* "ZONE/REGION"; NULL-terminated, never NULL */
	double strength;     /* processor cores of this instance */
	/* Longest time until this instance knows a change in the store. */
	uint32_t news_bound_ms;
	uint32_t drain_ms; /* for which a removed replica still serves */
	/*
	 * Attempts beyond the first that a service may get in any
	 * extra_window_ms: extra_share of its requests, plus extra_slack.
	 */
	double extra_share;
	double extra_slack;
	/*
	 * Requests that a cold replica may get in any second: the rate that
	 * its service declares, times cold_overage, plus cold_slack.
	 */
	double cold_overage;
	double cold_slack;
	/*
	 * Requests of an account that all instances together run in any
	 * window: its rate in that time plus its burst, times 1 +
	 * allowance_overage, plus allowance_slack.
	 */
	uint32_t allowance_window_ms;
	double allowance_overage;
	double allowance_slack;
	/* As news_bound_ms, for evacuations; 0: the same as news_bound_ms. */
	uint32_t evacuation_bound_ms;
	uint32_t extra_window_ms;
	uint32_t stop_timeout_ms;
	uint32_t max_connections; /* concurrent, of callers */
	uint32_t memory_mb;
	enum rr_log_level log_level;
	enum rr_log_format log_format;
	uint32_t log_max_lines_per_s;
	uint32_t log_request_lines_per_s;
};

/*
 * Return how much of an instance's memory requests and responses of callers may
 * use.
 */
uint64_t rr_caller_memory_bytes(uint32_t memory_mb);

/*
 * Parse a gateway's start file; errors as for rr_parse_config().  An invalid
 * value of a setting marked default_if_invalid does not keep a gateway from
 * starting: a warning is appended, the default is used and the settings are
 * returned.  The caller frees the result with rr_drop_gateway_settings().
 */
struct rr_gateway_settings *
rr_parse_gateway_settings(const struct rr_settings_source *file,
			  GPtrArray *diagnostics);
void rr_drop_gateway_settings(struct rr_gateway_settings *settings);

/*
 * Append the keys of an instance's start file whose changes take effect only
 * after a restart, in the form "instance, zone, tls.key_file".
 */
void rr_format_restart_only_keys(GString *out);

/* Append the reference page of all keys, in Markdown. */
void rr_format_settings_reference(GString *out);

#endif
