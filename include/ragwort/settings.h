/*
 * settings.h - YAML settings, checked: the operators' base and overlays, and
 * an instance's start file.
 *
 * Every key is in one table (settings-table.h) that both checks the files and
 * prints docs/SETTINGS.md.  A check reports all faults, not the first only.
 */
#ifndef RAGWORT_SETTINGS_H
#define RAGWORT_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/config.h"
#include "ragwort/log.h"

/* One thing wrong in a file. */
struct rr_diagnostic {
	char *file;
	uint32_t line; /* from 1 */
	char *message; /* what was found and what is allowed */
	/* The file holds all the same: the key's default is in force. */
	bool is_warning;
};

/* A new array for faults, which frees them. */
GPtrArray *rr_new_diagnostics(void);
/* Print "FILE:LINE: WHAT" for each on stderr. */
void rr_print_diagnostics(const GPtrArray *faults);

struct rr_settings_source {
	const char *file; /* its name, for faults */
	const char *text;
	size_t length;
};

/*
 * Make the configuration of one site from the base file and the site's
 * overlay (NULL for none).  Faults are appended to `faults`, an array of
 * struct rr_diagnostic * that frees its elements; NULL is returned when there is
 * any.  The result's revision is 0.
 */
struct rr_config *rr_parse_config(const struct rr_settings_source *base,
				  const struct rr_settings_source *overlay,
				  const char *site, GPtrArray *faults);

/*
 * Append what differs between two configurations of a site, one indented line
 * each; nothing when they are the same but for the revision.
 */
void rr_format_config_diff(const struct rr_config *old,
			   const struct rr_config *new, GString *out);

/* An instance's start file. */
struct rr_start_settings {
	char *instance; /* unique name */
	char *zone;
	char *site;
	char *caller_address;	/* IP:PORT callers come to */
	char *peer_address;	/* IP:PORT peers come to */
	char *platform_address; /* IP:PORT of the key-value service */
	/* Peers to start from, IP:PORT, when the platform's list is out. */
	char **seed_peers; /* NULL-terminated, never NULL itself */
	enum rr_log_level log_level;
	enum rr_log_format log_format;
	uint32_t log_max_lines_per_s;
	uint32_t drain_timeout_ms;  /* longest wait for work in flight */
	char *tls_certificate_file; /* NULL: callers speak plain HTTP */
	char *tls_key_file;
	char *caller_token_file; /* NULL: any caller is served */
	char *peer_public_key;	 /* Z85 CURVE key; NULL: peers speak plain */
	char *peer_secret_key_file;
	char **peer_allowed_keys; /* NULL-terminated, never NULL itself */
	uint32_t max_body_bytes;
	uint32_t caller_idle_ms;    /* to bring a request or read an answer */
	uint32_t caller_rate_per_s; /* of one address; 0: no bound */
	uint32_t caller_max_connections;
};

/* As rr_parse_config(), for a start file. */
struct rr_start_settings *
rr_parse_start_settings(const struct rr_settings_source *file,
			GPtrArray *faults);
void rr_drop_start_settings(struct rr_start_settings *settings);

/* A gateway's start file. */
struct rr_gateway_settings {
	char *instance;
	char *zone;
	char *caller_address;  /* IP:PORT callers come to */
	char *ready_address;   /* IP:PORT of the question whether they may */
	char *metrics_address; /* IP:PORT; NULL: none */
	char *store_address;   /* IP:PORT of the platform's store */
	char *peer_address;    /* IP:PORT other instances come to; NULL: none */
	/* Instances to start from, IP:PORT, while the store is away. */
	char **seed_peers;   /* NULL-terminated, never NULL itself */
	char **zone_regions; /* "ZONE/REGION", in the same way */
	double strength;     /* share of a processor that this one has */
	uint32_t news_bound_ms;
	double extra_share; /* of requests, that a service gets on top */
	double extra_slack; /* and so many more in a window */
	/* Of what a cold replica bears in a second, and so many more. */
	double cold_overage;
	double cold_slack;
	/* Longest time until an evacuation is known; 0: as any change. */
	uint32_t evacuation_bound_ms;
	uint32_t extra_window_ms;
	uint32_t stop_timeout_ms;
	uint32_t max_connections; /* of callers at once */
	enum rr_log_level log_level;
	enum rr_log_format log_format;
	uint32_t log_max_lines_per_s;
	uint32_t log_request_lines_per_s;
};

/*
 * As rr_parse_config(), for a gateway's start file.  A figure that is no
 * allowed one, and has a default, keeps no gateway from starting: its fault is
 * appended as one left out, and the settings are returned.
 */
struct rr_gateway_settings *
rr_parse_gateway_settings(const struct rr_settings_source *file,
			  GPtrArray *faults);
void rr_drop_gateway_settings(struct rr_gateway_settings *settings);

/*
 * Append the keys of the start file whose change is in force after a restart
 * only, made from the table: "instance, zone, tls.key_file".
 */
void rr_format_restart_only_keys(GString *out);

/* Append the reference page of all keys, in Markdown, made from the table. */
void rr_format_settings_reference(GString *out);

#endif
