/*
 * net-platform.h - client of the platform service over HTTP: key-value store of
 * the core, watch of the configuration, and instance list.
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
	/*
	 * Name, zone and peer address in this instance's entry of the list.
	 * Without a name (NULL) the instance is not registered.
	 */
	const char *instance;
	const char *zone;
	const char *peer_address;
	/*
	 * Reports the reply to a call of the store port, once per call, from
	 * the main loop.
	 */
	void (*replied)(void *data, const struct rr_store_reply *reply);
	/*
	 * The configuration record was read; it may be unchanged.
	 * `key_revision` is that of its key in the store.
	 */
	void (*record_received)(void *data, const char *record, size_t length,
				uint64_t key_revision);
	/* The instance list contains another instance. */
	void (*member_listed)(void *data, const char *name, const char *zone,
			      const char *address);
	/*
	 * The list contains an upstream replica. `started_ms` is the start of
	 * its incarnation in Unix milliseconds; 0: unknown.
	 */
	void (*replica_listed)(void *data, const char *name, int64_t started_ms,
			       enum rr_upstream_state state);
	/*
	 * Returns whether this instance watches the record and the list; called
	 * again after each wait. Every instance reads both once at start
	 * regardless of this. An instance that knows no other member should
	 * watch.
	 */
	bool (*is_watcher)(void *data);
	void *data;
	uint32_t call_timeout_ms; /* 0: default 3000 */
	uint32_t watch_ms; /* timeout of one watch request; 0: default 20000 */
	uint32_t list_period_ms; /* 0: default 2000 */
	/* List period while this instance does not watch; 0: default 60000. */
	uint32_t list_slow_period_ms;
	uint32_t retry_ms; /* delay after a failure; 0: default 1000 */
	/* Lifetime of the entry without renewal; 0: default 12000. */
	uint32_t lease_ms;
};

struct rr_platform_client;

/* Create a client, which reads the record and the list from the main loop. */
struct rr_platform_client *
rr_new_platform_client(struct rr_context *ctx,
		       const struct rr_platform_client_options *options);
/* Close the client; no callback runs any more. NULL is allowed. */
void rr_drop_platform_client(struct rr_platform_client *client);

/* Return the store callbacks for the core, valid as long as the client. */
struct rr_store_port rr_make_store_port(struct rr_platform_client *client);

#endif
