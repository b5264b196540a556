/*
 * attempt.h - one try at one replica: what the core asks the carrier to send
 * and what the carrier gives back.
 */
#ifndef RAGWORT_ATTEMPT_H
#define RAGWORT_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/coverage.h"
#include "ragwort/request.h"
#include "ragwort/rows.h"

/* To send now; all pointers are valid during the callback only. */
struct rr_attempt {
	uint64_t id; /* never repeats, not across restarts either */
	const char *replica;
	const char *address; /* IP:PORT */
	const char *shard;
	const char *service;
	enum rr_request_kind kind;
	const char *request_id;
	const char *idempotency_key;
	const char *body;
	uint64_t key_from; /* keys asked for, [key_from, key_to) */
	uint64_t key_to;
	uint32_t row_limit;
	uint64_t version; /* exactly this one; 0: the replica's newest */
	uint64_t map_epoch;
	uint32_t deadline_ms; /* what is left; the upstream is told */
};

enum rr_reply_status {
	/* The upstream ran it; without end_mark its body is unusable. */
	RR_REPLY_OK,
	/* Proof of not run: connection refused, or the upstream said so. */
	RR_REPLY_REFUSED,
	/* As refused, and the upstream is too busy until retry_after_ms. */
	RR_REPLY_SHED,
	/* As refused, and the upstream is leaving: nothing more to it. */
	RR_REPLY_DRAINING,
	/* As refused: the version asked for is not (or no longer) held. */
	RR_REPLY_NO_VERSION,
	/* Sent, no usable reply: it may have run. */
	RR_REPLY_LOST,
};

enum rr_upstream_state {
	RR_UPSTREAM_UNKNOWN,
	RR_UPSTREAM_READY,
	RR_UPSTREAM_COLD,
	RR_UPSTREAM_DRAINING,
	RR_UPSTREAM_DOWN,
};

/* What came of an attempt; filled by the carrier, copied by the core. */
struct rr_reply {
	uint64_t attempt_id;
	enum rr_reply_status status;
	uint64_t version;	 /* that the rows are of */
	uint64_t oldest_version; /* held by the replica; 0: not told */
	uint64_t newest_version;
	uint64_t map_epoch;
	const struct rr_key_range *ranges; /* answered for */
	size_t n_ranges;
	struct rr_rows *rows; /* the core keeps a reference if it needs one */
	uint32_t row_count;   /* as the upstream counted them */
	bool body_complete;   /* the body was whole */
	bool has_more;	      /* row_limit cut the rows */
	enum rr_upstream_state state;
	double load; /* 0 to 1 as reported; negative: not told */
	uint32_t retry_after_ms;
	const char *result; /* RR_RESERVE: JSON */
	size_t result_length;
};

/* What a health poll of a replica told. */
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
