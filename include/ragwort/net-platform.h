/*
 * net-platform.h - the platform's service over HTTP: the core's store port,
 * the watch of the configuration and the list of instances.
 */
#ifndef RAGWORT_NET_PLATFORM_H
#define RAGWORT_NET_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/attempt.h"
#include "ragwort/context.h"
#include "ragwort/store.h"

struct rr_platform_client_options {
	const char *address; /* IP:PORT */
	/* This instance's entry in the list; a name of NULL: it has none. */
	const char *instance;
	const char *zone;
	const char *peer_address;
	/* Answers a call of the store port, once each; from the main loop. */
	void (*replied)(void *data, const struct rr_store_reply *reply);
	/* The configuration record was read: it may be the known one. */
	void (*record_received)(void *data, const char *record, size_t length);
	/* The list of instances names an entry instance. */
	void (*member_listed)(void *data, const char *name, const char *zone,
			      const char *address);
	/*
	 * It names an upstream replica.  `born_ms` is the start of its
	 * lifetime, in Unix milliseconds; 0: not told.
	 */
	void (*replica_listed)(void *data, const char *name, int64_t born_ms,
			       enum rr_upstream_state state);
	/*
	 * Whether this instance is one of those that watch the record and
	 * the list; asked again after each wait.  Every one reads both once
	 * at start, whatever this says; one that knows no other member
	 * should watch.
	 */
	bool (*is_watcher)(void *data);
	void *data;
	uint32_t call_timeout_ms; /* 0: default 3000 */
	uint32_t watch_ms;	  /* one wait of the watch; 0: default 20000 */
	uint32_t list_period_ms;  /* 0: default 2000 */
	/* The same where this instance does not watch; 0: default 60000. */
	uint32_t list_slow_period_ms;
	uint32_t retry_ms; /* after a failure; 0: default 1000 */
	/* Without renewal the entry goes after this; 0: default 12000. */
	uint32_t lease_ms;
};

struct rr_platform_client;

/* Starts reading the record and the list from the main loop. */
struct rr_platform_client *
rr_new_platform_client(struct rr_context *ctx,
		       const struct rr_platform_client_options *options);
/* Nothing is called back any more. NULL is allowed. */
void rr_drop_platform_client(struct rr_platform_client *port);

/* The callbacks for the core; valid as long as the port. */
struct rr_store_port rr_make_store_port(struct rr_platform_client *port);

#endif
