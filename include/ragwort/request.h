/*
 * request.h - requests of callers and their answers.
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

/* Return the name of a kind in paths, such as "search". */
const char *rr_request_kind_name(enum rr_request_kind kind);

enum rr_priority {
	RR_INTERACTIVE,
	/*
	 * for example nightly jobs: may use a share of the slots, rejected
	 * first
	 */
	RR_BATCH,
};

struct rr_request {
	enum rr_request_kind kind;
	enum rr_priority priority;
	/* for logs; the HTTP adapter makes one if absent */
	const char *request_id;
	const char *service;
	const char *body; /* the caller's query as JSON, forwarded unparsed */
	uint64_t key;	  /* RR_LOOKUP, RR_RESERVE */
	const char *idempotency_key; /* RR_RESERVE */
	const char *cursor;	     /* RR_LIST; NULL for the first page */
	uint32_t max_rows;	     /* 0: the limit of the service */
	uint32_t deadline_ms;	     /* 0: the service's; capped at that */
};

/* Why a shard is missing from an answer. */
enum rr_missing_reason {
	RR_MISSING_NONE,
	RR_MISSING_NO_REPLICA, /* none known, or all known to be down */
	RR_MISSING_DEADLINE,   /* no reply in time */
	RR_MISSING_SHED,       /* rejected by its replicas as overloaded */
	RR_MISSING_LOST,       /* connection lost, no retry possible */
	RR_MISSING_VERSION, /* does not hold the index version of the answer */
	RR_MISSING_TRUNCATED,	     /* only incomplete replies received */
	RR_MISSING_MOVED,	     /* its keys were moving between shards */
	RR_MISSING_UNREACHABLE_ZONE, /* its availability zone is unreachable */
	/* answer mode "latency": enough others were covered */
	RR_MISSING_MIN_COVERAGE,
	RR_MISSING_REASON_COUNT,
};

/* Return the name of a reason in answers and logs, such as "deadline". */
const char *rr_missing_reason_name(enum rr_missing_reason reason);

enum rr_outcome {
	RR_COMPLETE, /* all shards covered; a reservation ran */
	RR_PARTIAL,  /* some shards missing, each named */
	/* nothing ran; the caller may retry after retry_after_ms */
	RR_NOT_RUN,
	/*
	 * it may have run; the caller may retry with the same idempotency key
	 */
	RR_UNKNOWN,
	RR_INVALID, /* the request itself is wrong; nothing ran */
	RR_GONE,    /* the index version of the cursor is no longer held */
};

const char *rr_outcome_name(enum rr_outcome outcome);

/*
 * The reason of an RR_INVALID answer that HTTP callers receive as status 404.
 */
#define RR_REASON_UNKNOWN_SERVICE "unknown-service"

struct rr_missing_shard {
	const char *shard;
	const char *public_name;
	enum rr_missing_reason reason;
};

/* A row of an answer: a block of rows and the index in it. */
struct rr_answer_row {
	const struct rr_rows *rows;
	size_t index;
};

/* An answer; valid during the callback that passes it. */
struct rr_answer {
	uint64_t query_id;
	const char *request_id;
	enum rr_outcome outcome;
	/*
	 * The error (RR_INVALID) or why the request did not run or has no known
	 * or complete result; NULL if none.
	 */
	const char *reason;
	uint64_t index_version; /* version of every row; 0: no rows */
	uint64_t map_epoch;
	const struct rr_answer_row *rows; /* in key order */
	size_t n_rows;
	bool has_more;		    /* more rows matched than max_rows */
	const char *const *covered; /* names of shards */
	size_t n_covered;
	const struct rr_missing_shard *missing;
	size_t n_missing;
	const char *result; /* RR_RESERVE: JSON from the upstream */
	bool replayed; /* RR_RESERVE: result recorded by an earlier request */
	const char *next_cursor; /* RR_LIST: NULL after the last page */
	uint32_t retry_after_ms; /* RR_NOT_RUN, RR_UNKNOWN */
	int64_t elapsed_us;
	uint32_t attempts;
};

#endif
