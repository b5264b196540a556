/*
 * route.h - the gateway's routes, as one immutable version of the operators'
 * configuration.
 *
 * A table is built once, then only read.  A request references the table that
 * it started with, so a change of routes never mixes two versions in one
 * request; only a service that gets weight 0 in a split is replaced.
 */
#ifndef RAGWORT_ROUTE_H
#define RAGWORT_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/account.h"

/* One service of a route. */
struct rr_route_part {
	char *service;
	double weight; /* for a weighted split; otherwise 1 */
};

enum rr_route_mode {
	RR_ROUTE_PROXY,	 /* one part, chosen by weight */
	RR_ROUTE_GATHER, /* all parts; their answers are merged */
};

struct rr_route {
	char *name;
	char *host;   /* lower case, without a port */
	char *prefix; /* begins and ends with a slash */
	enum rr_route_mode mode;
	bool idempotent;
	uint32_t timeout_ms;
	uint32_t objective_ms; /* latency objective; 0 if none */
	uint32_t priority;     /* 0 is the highest */
	/* Attempts per part, each at another replica; at least 1. */
	uint32_t max_attempts;
	struct rr_route_part *parts;
	size_t n_parts;
	uint32_t top_k; /* number of records in a merged answer */
	/* minimum fraction of the parts that an answer must contain */
	double min_share;
	/* Allowed regions of replicas and instances; NULL allows any. */
	char **regions;
	bool is_public; /* needs no account's key */
};

/* Whether a request of a route may be sent to a region (NULL if unknown). */
bool rr_route_allows_region(const struct rr_route *route, const char *region);

/* Settings of a service that routes name. */
struct rr_route_service {
	char *name;
	/* Connections per replica, from all callers; 0 if unknown. */
	uint32_t max_connections;
	uint32_t cold_ms; /* warm-up time of a replica; 0 if not set */
	/* Requests per second that a cold replica can handle; 0 if not set. */
	double cold_per_s;
};

/* Limits on the size and duration of a caller's request; 0 for no limit. */
struct rr_caller_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct rr_route_table;

/* Create an empty table with one reference. */
struct rr_route_table *rr_new_route_table(uint64_t version);
struct rr_route_table *rr_keep_route_table(struct rr_route_table *table);
void rr_drop_route_table(struct rr_route_table *table);

/*
 * Add to a table that is not yet shared.  The table takes ownership of the
 * route or service and its strings and parts, also on failure.  Returns false
 * if a route has no name, host or parts, has an invalid prefix or weight,
 * or has the same host and prefix as another.
 */
bool rr_add_route(struct rr_route_table *table, struct rr_route *route);
void rr_add_route_service(struct rr_route_table *table,
			  struct rr_route_service *service);
void rr_set_caller_limits(struct rr_route_table *table,
			  const struct rr_caller_limits *limits);
/* Set the accounts; the table takes ownership.  At most once. */
void rr_set_route_accounts(struct rr_route_table *table,
			   struct rr_account_table *accounts);

uint64_t rr_route_table_version(const struct rr_route_table *table);
const struct rr_caller_limits *
rr_table_caller_limits(const struct rr_route_table *table);
/* Return the accounts, or NULL if the configuration uses none. */
const struct rr_account_table *
rr_route_table_accounts(const struct rr_route_table *table);
size_t rr_count_routes(const struct rr_route_table *table);
const struct rr_route *rr_route_at(const struct rr_route_table *table,
				   size_t index);

/*
 * Find the route of a host with the longest prefix that matches the path.  A
 * port after the host and a query after the path are ignored.  Returns NULL if
 * there is none.
 */
const struct rr_route *rr_find_route(const struct rr_route_table *table,
				     const char *host, const char *path,
				     size_t path_length);
/* Find a service's settings; returns NULL if there are none. */
const struct rr_route_service *
rr_find_route_service(const struct rr_route_table *table, const char *name);

#endif
