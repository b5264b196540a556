/*
 * route.h - the gateway's routes: one immutable version of the operators'
 * configuration.
 *
 * A table is built once, then only read; requests keep the one they began
 * with, so that a change in the middle never mixes two versions.
 */
#ifndef RAGWORT_ROUTE_H
#define RAGWORT_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One service of a route. */
struct rr_route_part {
	char *service;
	double weight; /* of a split; 1 elsewhere */
};

enum rr_route_mode {
	RR_ROUTE_PROXY,	 /* to a replica of one of the parts, by weight */
	RR_ROUTE_GATHER, /* to a replica of each part, merged */
};

struct rr_route {
	char *name;
	char *host;   /* lower case, without a port */
	char *prefix; /* begins and ends with a slash */
	enum rr_route_mode mode;
	bool idempotent;
	uint32_t timeout_ms;
	uint32_t objective_ms; /* latency objective; 0: none is told */
	uint32_t priority;     /* 0 is the highest */
	uint32_t max_attempts; /* replicas a part may be sent to; at least 1 */
	struct rr_route_part *parts;
	size_t n_parts;
	uint32_t top_k;	  /* records of a gathered answer */
	double min_share; /* of the parts that an answer must have */
	/* Only replicas and instances of these; NULL: of any region. */
	char **regions;
};

/* Whether a request of a route may be sent to a region; NULL: not known. */
bool rr_route_allows_region(const struct rr_route *route, const char *region);

/* What is said of a service that routes name. */
struct rr_route_service {
	char *name;
	uint32_t
		max_connections; /* of a replica, from all callers; 0: unknown */
	uint32_t cold_ms;	 /* a replica is cold that long; 0: not told */
	/* Requests a second that a cold replica bears; 0: no bound is told. */
	double cold_per_s;
};

/* What a caller may send and how long it may take; 0: no bound. */
struct rr_caller_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct rr_route_table;

/* A new table with one reference, empty until routes are added. */
struct rr_route_table *rr_new_route_table(uint64_t version);
struct rr_route_table *rr_keep_route_table(struct rr_route_table *table);
void rr_drop_route_table(struct rr_route_table *table);

/*
 * Add to a table that nobody else has yet.  The route's or service's strings
 * and parts are taken over, also when it is refused: false if a route lacks
 * its name, host, prefix or parts, or another has the same host and prefix.
 */
bool rr_add_route(struct rr_route_table *table, struct rr_route *route);
void rr_add_route_service(struct rr_route_table *table,
			  struct rr_route_service *service);
void rr_set_caller_limits(struct rr_route_table *table,
			  const struct rr_caller_limits *limits);

uint64_t rr_route_table_version(const struct rr_route_table *table);
const struct rr_caller_limits *
rr_table_caller_limits(const struct rr_route_table *table);
size_t rr_count_routes(const struct rr_route_table *table);
const struct rr_route *rr_route_at(const struct rr_route_table *table,
				   size_t index);

/*
 * The route of a host (a port behind it counts for nothing) whose prefix is
 * the longest that begins the path; a query behind the path counts for
 * nothing.  NULL if there is none.
 */
const struct rr_route *rr_find_route(const struct rr_route_table *table,
				     const char *host, const char *path,
				     size_t path_length);
/* NULL if the service is not listed. */
const struct rr_route_service *
rr_find_route_service(const struct rr_route_table *table, const char *name);

#endif
