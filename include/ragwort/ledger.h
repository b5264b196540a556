/*
 * ledger.h - at most once: claims of request ids in the platform's service.
 *
 * An id is claimed by compare-and-swap before anything is sent for it.  A
 * claim is never taken over; only its claimant releases it, and only with
 * proof that nothing ran.  Claims are written in groups into a fixed number
 * of bucket keys, so that the store's write rate bounds the buckets and not
 * the reservations.
 *
 * What the store must give: a key's revision changes with every write and
 * never comes back, and a swap compares it when it takes effect, also when
 * that is long after its reply was given up.
 *
 * No input or output: store calls leave through a port and their replies
 * come in by rr_handle_ledger_reply().
 */
#ifndef RAGWORT_LEDGER_H
#define RAGWORT_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/store.h"

enum rr_claim_status {
	/* The claim is ours: the request may be sent once. */
	RR_CLAIM_ACQUIRED,
	/* Claimed before and finished: the recorded result stands. */
	RR_CLAIM_DONE,
	/* Claimed before, no result recorded: it may be running. */
	RR_CLAIM_HELD,
	/*
	 * Not claimed: the store gave proof, or the id is unusable.  Nothing
	 * ran for this claim; with an unreachable store that says nothing of
	 * earlier claims of the same id.
	 */
	RR_CLAIM_REJECTED,
	/*
	 * The claim's own write may have taken effect and could not be
	 * settled; the caller of the ledger must not send, so nothing runs.
	 */
	RR_CLAIM_UNRESOLVED,
};

struct rr_claim_result {
	uint64_t claim_id; /* what rr_claim_request_id() gave */
	enum rr_claim_status status;
	/* RR_CLAIM_DONE: the recorded result's JSON; NULL if too large. */
	const char *result;
	size_t result_length;
	const char *reason; /* a word for RR_CLAIM_REJECTED and _UNSETTLED */
	uint32_t retry_after_ms;
};

struct rr_ledger_options {
	const char *instance;
	uint64_t incarnation; /* never the same twice for one instance name */
	/*
	 * Keys are ledger/G/S: G in [0, buckets) by the id's hash, S by the
	 * minute the id was made in, a day of them in turns.
	 */
	uint32_t buckets;
	uint32_t time_slice_s; /* 0: 60; other values are for tests */
	uint32_t retention_s;  /* ids older than this are refused */
	uint32_t call_timeout_ms;
	struct rr_store_port store;
	/* Tells the outcome of a claim, exactly once, never from inside
	 * rr_claim_request_id(). The result is valid during the call only. */
	void (*claimed)(void *data, const struct rr_claim_result *result);
	void *data;
	/*
	 * Call ids are drawn from here, shared with other users of the port.
	 * The ledger puts a mark of its incarnation into the upper half.
	 */
	uint64_t *next_call_id;
};

struct rr_ledger;

struct rr_ledger *rr_new_ledger(struct rr_context *ctx,
				const struct rr_ledger_options *options);
void rr_drop_ledger(struct rr_ledger *ledger);

/*
 * A new configuration has another retention.  Shorter or longer, no id runs
 * twice: what was pruned is refused by a floor kept in the bucket.  The number
 * of buckets, however, never changes: an id would move to another key.
 */
void rr_set_ledger_retention(struct rr_ledger *ledger, uint32_t retention_s);

/*
 * Ask for a claim of `service`/`id`.  `id` is the caller's Idempotency-Key:
 * its first part gives its age (see rr_parse_request_id()).  `now_us` is
 * monotonic time, `wall_us` time since 1970.  `fingerprint` is a hash of the
 * request; the same id with another one is refused.  Returns the claim's
 * number; the outcome comes through the claimed callback.
 */
uint64_t rr_claim_request_id(struct rr_context *ctx, struct rr_ledger *ledger,
			     int64_t now_us, int64_t wall_us,
			     const char *service, const char *id,
			     uint64_t fingerprint);

/* Record the result of a claim of ours: later claims of its id get it. */
void rr_record_claim_result(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, uint64_t claim, const char *result,
			    size_t length);

/* Give back a claim of ours, with proof that nothing ran for it. */
void rr_release_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      int64_t now_us, uint64_t claim);

/* A claim of ours was sent and its outcome is unknown: it stays held. */
void rr_abandon_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      uint64_t claim);

/* Returns whether the call was the ledger's. */
bool rr_handle_ledger_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, const struct rr_store_reply *reply);

/* Time-outs and retries of store calls. */
void rr_tick_ledger(struct rr_context *ctx, struct rr_ledger *ledger,
		    int64_t now_us);
/* When rr_tick_ledger() is next needed; INT64_MAX for never, 0 for now. */
int64_t rr_ledger_wake_us(const struct rr_ledger *ledger);
/* Whether nothing is unsettled: a graceful stop waits for it. */
bool rr_ledger_is_idle(const struct rr_ledger *ledger);

/*
 * The group of keys an id is in.  Any instance may claim it; when one
 * instance claims all ids of a group, found by rendezvous hashing, no swap
 * conflicts and many claims share a write.
 */
uint32_t rr_ledger_group(const char *service, const char *id, uint32_t buckets);

/*
 * Split an Idempotency-Key "<unix-seconds>-<8 to 64 of [A-Za-z0-9_.-]>".
 * Returns false with an error for anything else.
 */
bool rr_parse_request_id(const char *id, int64_t *made_s, GError **error);

#endif
