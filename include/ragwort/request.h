/*
 * request.h - what callers ask and what they are answered.
 */
#ifndef RAGWORT_REQUEST_H
#define RAGWORT_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ragwort/rows.h"

enum rr_request_kind {
	RR_SEARCH = 1, /* every shard of the service */
	RR_LOOKUP,     /* the shard that holds one key */
	RR_RESERVE,    /* the shard that holds one key, at most once */
	RR_LIST,       /* a page of all rows in key order */
};

/* The word for a kind in paths, such as "search". */
const char *rr_request_kind_name(enum rr_request_kind kind);

enum rr_priority {
	RR_INTERACTIVE,
	RR_BATCH, /* nightly jobs: a small share, first to be refused */
};

struct rr_request {
	enum rr_request_kind kind;
	enum rr_priority priority;
	const char *request_id; /* for logs; the adapter makes one if absent */
	const char *service;
	const char *body; /* the caller's query as JSON, passed on unread */
	uint64_t key;	  /* RR_LOOKUP, RR_RESERVE */
	const char *idempotency_key; /* RR_RESERVE */
	const char *cursor;	     /* RR_LIST; NULL for the first page */
	uint32_t max_rows;	     /* 0: the service's */
	uint32_t deadline_ms; /* 0: the service's; never longer than that */
};

/* Why a shard is lacking from an answer. */
enum rr_missing_reason {
	RR_MISSING_NONE,
	RR_MISSING_NO_REPLICA, /* none known, or all known to be down */
	RR_MISSING_DEADLINE,   /* no reply in time */
	RR_MISSING_SHED,       /* refused by its replicas: too busy */
	RR_MISSING_LOST,       /* connection lost, no second attempt possible */
	RR_MISSING_VERSION,    /* does not hold the answer's index version */
	RR_MISSING_TRUNCATED,  /* only incomplete replies came */
	RR_MISSING_MOVED,      /* its keys were moving between shards */
	RR_MISSING_UNREACHABLE_ZONE, /* no way to its availability zone */
	RR_MISSING_MIN_COVERAGE, /* latency mode: enough others were covered */
	RR_MISSING_REASON_COUNT,
};

/* The word for a reason in answers and logs, such as "deadline". */
const char *rr_missing_reason_name(enum rr_missing_reason reason);

enum rr_outcome {
	RR_COMPLETE, /* all shards covered; a reservation ran */
	RR_PARTIAL,  /* some lacking, each named */
	RR_NOT_RUN,  /* nothing ran anywhere: come back after retry_after_ms */
	RR_UNKNOWN,  /* it may have run; ask again under the same id */
	RR_INVALID,  /* the request itself is wrong; nothing ran */
	RR_GONE,     /* a cursor's index version is held no longer */
};

const char *rr_outcome_name(enum rr_outcome outcome);

/* The reason of RR_INVALID that callers get as 404. */
#define RR_REASON_UNKNOWN_SERVICE "unknown-service"

struct rr_missing_shard {
	const char *shard;
	const char *public_name;
	enum rr_missing_reason reason;
};

/* One block of rows and which of them the answer takes. */
struct rr_answer_row {
	const struct rr_rows *rows;
	size_t index;
};

/* Valid during the callback that hands it out. */
struct rr_answer {
	uint64_t query_id;
	const char *request_id;
	enum rr_outcome outcome;
	/* What is wrong (RR_INVALID) or why it did not run; NULL if none. */
	const char *reason;
	uint64_t index_version; /* every row is of this one; 0: no rows */
	uint64_t map_epoch;
	const struct rr_answer_row *rows; /* in key order */
	size_t n_rows;
	bool has_more;		    /* more rows matched than max_rows */
	const char *const *covered; /* names of shards */
	size_t n_covered;
	const struct rr_missing_shard *missing;
	size_t n_missing;
	const char *result; /* RR_RESERVE: the upstream's JSON */
	bool replayed;	    /* RR_RESERVE: recorded by an earlier request */
	const char *next_cursor; /* RR_LIST: NULL after the last page */
	uint32_t retry_after_ms; /* RR_NOT_RUN, RR_UNKNOWN */
	int64_t elapsed_us;
	uint32_t attempts;
};

#endif
