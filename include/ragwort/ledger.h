/*
 * ledger.h - at-most-once claims of request ids in the platform's key-value
 * service.
 *
 * An id is claimed by compare-and-swap before any attempt is sent for it. A
 * claim is never taken over by another instance; only its claimant releases it,
 * and only with proof that nothing ran. Claims are written in batches into a
 * fixed number of bucket keys, so that the store's write rate limits the number
 * of buckets and not the number of reservations.
 *
 * Requirements on the store: a key's revision changes with every write and
 * never returns to an earlier value in the same era (store-cursor.h), a store
 * that may be restored states its era in its replies, and a compare-and-swap
 * compares the revisions at the time it takes effect, even if that is long
 * after the call timed out.
 *
 * The module does no I/O: store calls are issued through a port and their
 * replies are passed to rr_handle_ledger_reply().
 */
#ifndef RAGWORT_LEDGER_H
#define RAGWORT_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"
#include "ragwort/store.h"

/*
 * Reason of RR_CLAIM_REJECTED for an id that was created before, or shortly
 * after, the store was restored from a copy, and has no entry: it may have been
 * claimed and have run.
 */
#define RR_REASON_STORE_RESTORED "store-restored"

enum rr_claim_status {
	/* Claimed by this call: the request may be sent once. */
	RR_CLAIM_ACQUIRED,
	/* Claimed earlier and finished: the recorded result is valid. */
	RR_CLAIM_DONE,
	/* Claimed earlier, no result recorded: the request may be running. */
	RR_CLAIM_HELD,
	/*
	 * Not claimed: the store proved it, or the id is unusable. Nothing ran
	 * for this claim. If the store is unreachable, this says nothing about
	 * earlier claims of the same id.
	 */
	RR_CLAIM_REJECTED,
	/*
	 * The write of this claim may have taken effect, and it could not be
	 * determined in time whether it did. The caller must not send the
	 * request, so nothing runs.
	 */
	RR_CLAIM_UNRESOLVED,
};

struct rr_claim_result {
	uint64_t claim_id; /* returned by rr_claim_request_id() */
	enum rr_claim_status status;
	/*
	 * RR_CLAIM_DONE: the recorded result as JSON; NULL if it was too large
	 * to store.
	 */
	const char *result;
	size_t result_length;
	/* reason code for RR_CLAIM_REJECTED and RR_CLAIM_UNRESOLVED */
	const char *reason;
	uint32_t retry_after_ms;
};

struct rr_ledger_options {
	const char *instance;
	/* unique per process start of one instance name */
	uint64_t incarnation;
	/*
	 * Keys are ledger/G/S: G in [0, buckets) is derived from the hash of
	 * the id, S from the time slice in which the id was created; S repeats
	 * after 1440 slices, a day of default slices.
	 */
	uint32_t buckets;
	/* 0: default of 60; other values are for tests */
	uint32_t time_slice_s;
	uint32_t retention_s; /* older ids are rejected */
	uint32_t call_timeout_ms;
	struct rr_store_port store;
	/*
	 * Reports the outcome of a claim, exactly once, and never from inside
	 * rr_claim_request_id(). The result is valid only during the call.
	 */
	void (*claimed)(void *data, const struct rr_claim_result *result);
	void *data;
	/*
	 * The counter that call ids are taken from, shared with other users of
	 * the port. The ledger sets the upper half to a hash of its instance
	 * name and incarnation.
	 */
	uint64_t *next_call_id;
};

struct rr_ledger;

struct rr_ledger *rr_new_ledger(struct rr_context *ctx,
				const struct rr_ledger_options *options);
void rr_drop_ledger(struct rr_ledger *ledger);

/*
 * Change the retention after a configuration change. Whether it becomes shorter
 * or longer, no id runs twice: ids whose entries were pruned are rejected by
 * the minimum creation time stored in the bucket. The number of buckets, in
 * contrast, must never change, because ids would then map to other keys.
 */
void rr_set_ledger_retention(struct rr_ledger *ledger, uint32_t retention_s);

/*
 * Request a claim of `service`/`id`. `id` is the caller's Idempotency-Key,
 * whose first part gives its creation time (see rr_parse_request_id()).
 * `now_us` is monotonic time in microseconds, `wall_us` microseconds since
 * 1970. `fingerprint` is a hash of the request; the same id with a different
 * fingerprint is rejected. Return the claim's id; the outcome is reported
 * through the claimed callback.
 */
uint64_t rr_claim_request_id(struct rr_context *ctx, struct rr_ledger *ledger,
			     int64_t now_us, int64_t wall_us,
			     const char *service, const char *id,
			     uint64_t fingerprint);

/* Record the result of an acquired claim; later claims of its id receive it. */
void rr_record_claim_result(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, uint64_t claim_id,
			    const char *result, size_t length);

/* Release an acquired claim; requires proof that nothing ran for it. */
void rr_release_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      int64_t now_us, uint64_t claim_id);

/*
 * Stop tracking an acquired claim whose request was sent with unknown outcome;
 * the id stays held in the store.
 */
void rr_abandon_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      uint64_t claim_id);

/*
 * Handle a reply of the store. Return whether the call belongs to the ledger.
 */
bool rr_handle_ledger_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, const struct rr_store_reply *reply);

/* Process timeouts and retries of store calls. */
void rr_tick_ledger(struct rr_context *ctx, struct rr_ledger *ledger,
		    int64_t now_us);
/*
 * Return when rr_tick_ledger() is next needed, in monotonic microseconds;
 * INT64_MAX for never, 0 for immediately.
 */
int64_t rr_ledger_wake_us(const struct rr_ledger *ledger);
/*
 * Return whether no claim is pending and no outcome is unreported; a graceful
 * stop waits for this.
 */
bool rr_ledger_is_idle(const struct rr_ledger *ledger);

/*
 * Return the group of keys that holds an id. Any instance may claim the id. If
 * all ids of a group are claimed by one instance, chosen by rendezvous hashing,
 * compare-and-swaps do not conflict and many claims share one write.
 */
uint32_t rr_ledger_group(const char *service, const char *id, uint32_t buckets);

/*
 * Parse an Idempotency-Key "<unix-seconds>-<8 to 64 of [A-Za-z0-9_.-]>" and
 * store its creation time, in seconds since 1970, in `*created_s`. Returns
 * false and set `error` for anything else.
 */
bool rr_parse_request_id(const char *id, int64_t *created_s, GError **error);

#endif
