/*
 * attempt.h - one attempt at a replica: what the core asks the carrier to send
 * and the reply that the carrier returns.
 */
#ifndef RAGWORT_ATTEMPT_H
#define RAGWORT_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/coverage.h"
#include "ragwort/request.h"
#include "ragwort/rows.h"

/*
 * An attempt to be sent at once; all pointers are valid during the callback
 * only.
 */
struct rr_attempt {
	uint64_t id; /* unique, also across restarts of the instance */
	const char *replica;
	const char *address; /* IP:PORT */
	const char *shard;
	const char *service;
	enum rr_request_kind kind;
	const char *request_id;
	const char *idempotency_key;
	const char *body;
	uint64_t key_from; /* keys requested: [key_from, key_to) */
	uint64_t key_to;
	uint32_t row_limit;
	/* the only version accepted; 0: the replica's newest */
	uint64_t version;
	uint64_t map_epoch;
	uint32_t deadline_ms; /* time left, passed to the upstream */
};

enum rr_reply_status {
	/*
	 * The upstream ran the request; the reply is usable only if
	 * body_complete.
	 */
	RR_REPLY_OK,
	/*
	 * The request certainly did not run: the connection was refused, or the
	 * upstream said so.
	 */
	RR_REPLY_REFUSED,
	/*
	 * The request did not run: the upstream is overloaded and asks for no
	 * more attempts within retry_after_ms.
	 */
	RR_REPLY_SHED,
	/*
	 * The request did not run: the upstream is draining, and nothing more
	 * must be sent to it.
	 */
	RR_REPLY_DRAINING,
	/*
	 * The request did not run: the upstream does not hold the version
	 * requested, or no longer holds it.
	 */
	RR_REPLY_NO_VERSION,
	/* No usable reply was received: the request may have run. */
	RR_REPLY_LOST,
};

enum rr_upstream_state {
	RR_UPSTREAM_UNKNOWN,
	RR_UPSTREAM_READY,
	RR_UPSTREAM_COLD,
	RR_UPSTREAM_DRAINING,
	RR_UPSTREAM_DOWN,
};

/* Result of an attempt; filled in by the carrier, copied by the core. */
struct rr_reply {
	uint64_t attempt_id;
	enum rr_reply_status status;
	uint64_t version; /* index version of the rows */
	/* oldest held by the replica; 0: not reported */
	uint64_t oldest_version;
	uint64_t newest_version;
	uint64_t map_epoch;
	const struct rr_key_range *ranges; /* key ranges that the rows cover */
	size_t n_ranges;
	struct rr_rows *rows; /* the core takes a reference if it needs one */
	uint32_t row_count;   /* as counted by the upstream */
	bool body_complete;   /* the whole body was received */
	bool has_more;	      /* rows were omitted because of row_limit */
	enum rr_upstream_state state;
	double load; /* as reported, 0 to 1; negative: not reported */
	uint32_t retry_after_ms;
	const char *result; /* JSON; RR_RESERVE only */
	size_t result_length;
};

/* Result of a health poll of a replica. */
struct rr_health {
	const char *replica;
	bool reachable;
	enum rr_upstream_state state;
	double load;
	uint64_t oldest_version;
	uint64_t newest_version;
	uint64_t map_epoch;
};

#endif
