/*
 * ledger-private.h - internal state of struct rr_ledger.
 */
#ifndef CORE_LEDGER_PRIVATE_H
#define CORE_LEDGER_PRIVATE_H

#include "ragwort/ledger.h"
#include "wire/ledger-value.h"

enum rr_claim_state {
	RR_CLAIM_STATE_PENDING,	  /* to be inserted into the bucket */
	RR_CLAIM_STATE_ACQUIRED,  /* held; the caller decides its outcome */
	RR_CLAIM_STATE_RECORDING, /* result to be written to the bucket */
	RR_CLAIM_STATE_RELEASING, /* entry to be removed from the bucket */
};

struct rr_claim {
	uint64_t id; /* also the sequence number of the entry */
	char *name;  /* SERVICE/ID */
	int64_t created_s;
	uint64_t fingerprint;
	enum rr_claim_state state;
	/* valid only while the claim is in its pending_claims */
	struct rr_ledger_bucket *bucket;
	/*
	 * Logical time of the request: a bucket value with an older stamp is
	 * stale for this claim.
	 */
	uint64_t stamp;
	int64_t deadline_us;
	/* Part of the write in flight. */
	bool in_flight;
	/* Part of a write that may have taken effect or may still do so. */
	bool in_doubt;
	char *result;
	size_t result_length;
};

enum rr_ledger_call {
	RR_LEDGER_CALL_NONE,
	RR_LEDGER_CALL_READ,
	RR_LEDGER_CALL_WRITE,
};

struct rr_ledger_bucket {
	char *key;
	bool active;	  /* has pending claims or a call in flight */
	GList *idle_link; /* link in idle_buckets; NULL if active */
	struct rr_ledger_value *value; /* NULL: unknown */
	uint64_t revision;	       /* of value */
	/* logical time as of which value is current */
	uint64_t value_stamp;
	/* highest seen; a read below it is stale */
	uint64_t highest_revision;
	enum rr_ledger_call call;
	uint64_t call_id;
	uint64_t call_stamp;
	uint64_t call_era; /* that was known when the call was sent */
	int64_t call_deadline_us;
	/*
	 * A write based on in_doubt_revision got no reply. As long as the key
	 * has that revision, the write may still take effect.
	 */
	bool write_in_doubt;
	uint64_t in_doubt_revision;
	int64_t retry_us; /* earliest time of the next call */
	/* consecutive conflicts and lost replies */
	uint32_t consecutive_write_failures;
	GQueue pending_claims; /* claims to be written */
};

/* The outcome of a claim, not yet reported. */
struct rr_queued_claim_result {
	uint64_t claim_id;
	enum rr_claim_status status;
	char *result;
	size_t result_length;
	const char *reason;
	uint32_t retry_after_ms;
};

/*
 * The era of the store.  Claims of an earlier era may be lost, so ids created
 * before the floor are not claimed unless they have an entry.
 */
struct rr_ledger_era {
	uint64_t known; /* highest one stated in a reply; 0: none is */
	/* the era that floor_s and revision are of; claims wait for `known` */
	uint64_t recorded;
	int64_t floor_s;
	uint64_t revision; /* of the record's key */
	bool was_restored; /* since this process started */
	uint64_t call_id;  /* 0: no call in flight */
	bool is_write;
	struct rr_ledger_era_value written; /* by the write in flight */
	int64_t call_deadline_us;
	int64_t retry_us;
};

struct rr_ledger {
	struct rr_ledger_options options;
	struct rr_ledger_era era;
	char *instance;
	/* key to struct rr_ledger_bucket, created on demand */
	GHashTable *buckets;
	/* with pending claims or a call, longest waiting first */
	GPtrArray *active_buckets;
	GQueue idle_buckets; /* inactive with cached value, oldest first */
	size_t idle_bytes;   /* size of the values in idle_buckets */
	GHashTable *claims;  /* id to struct rr_claim, owned */
	/* ids of timed-out calls, reply outstanding */
	GHashTable *timed_out_calls;
	GQueue queued_results; /* struct rr_queued_claim_result */
	/*
	 * The store does not answer: until retry_us claims are rejected without
	 * a call.
	 */
	bool store_unreachable;
	int64_t retry_us;
	/* consecutive calls without a usable reply */
	uint32_t consecutive_failures;
	uint32_t calls_in_flight; /* of all buckets */
	uint64_t last_claim_id;
	uint64_t logical_clock;
	int64_t wall_offset_us; /* time since 1970 minus monotonic time */
};

/* ledger.c */

/* Queue an outcome of the claim for reporting. The claim is not changed. */
void rr_queue_claim_result(struct rr_ledger *ledger, uint64_t claim_id,
			   enum rr_claim_status status, const char *reason,
			   uint32_t retry_after_ms);
/*
 * Free a claim that is no longer needed. It must not be in the pending claims
 * of a bucket.
 */
void rr_remove_claim(struct rr_ledger *ledger, struct rr_claim *claim);

/* ledger-era.c */

/* Whether claims can be decided: the floor of the store's era is known. */
bool rr_ledger_era_is_recorded(const struct rr_ledger *ledger);
/*
 * Read or write the record of the store's era, unless it is known or a call is
 * in flight.
 */
void rr_advance_ledger_era(struct rr_context *ctx, struct rr_ledger *ledger,
			   int64_t now_us);
/*
 * Learn the era of a reply.  Return false if the reply must not be used, since
 * its era is not the known one.
 */
bool rr_note_ledger_era(struct rr_context *ctx, struct rr_ledger *ledger,
			const struct rr_store_reply *reply);
/* The record may have been replaced: read it again. */
void rr_expire_ledger_era(struct rr_ledger *ledger);
/* Handle a reply to a call for the record; false: it is to another call. */
bool rr_handle_ledger_era_reply(struct rr_context *ctx,
				struct rr_ledger *ledger, int64_t now_us,
				const struct rr_store_reply *reply);
/* Time out the call in flight, and send the next if claims wait for it. */
void rr_tick_ledger_era(struct rr_context *ctx, struct rr_ledger *ledger,
			int64_t now_us);
int64_t rr_ledger_era_wake_us(const struct rr_ledger *ledger);
/* Return the guard of all writes of buckets; false: the store has no eras. */
bool rr_ledger_guard(const struct rr_ledger *ledger,
		     struct rr_store_guard *guard);

/* ledger-table.c */

/* Drop the cached values and known revisions of all buckets. */
void rr_forget_bucket_values(struct rr_ledger *ledger);

/*
 * Find or create the bucket of the claim and append the claim to its pending
 * claims.
 */
void rr_enqueue_claim(struct rr_ledger *ledger, struct rr_claim *claim);
/*
 * Move buckets without pending claims and calls from the active to the idle
 * buckets. Their values stay cached up to a limit, since a claim in a bucket
 * with a known value needs one call less.
 */
void rr_deactivate_idle_buckets(struct rr_ledger *ledger);
void rr_free_bucket(gpointer data);

/* ledger-claim.c */

/* Return whether the cached bucket value is too old to decide the claim. */
bool rr_claim_needs_read(const struct rr_claim *claim);
/*
 * Check a claim against a value that was just read or written, before anything
 * in the value is changed. Return whether the claim is settled and needs no
 * further store call.
 */
bool rr_resolve_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      struct rr_claim *claim);
/*
 * Apply the claim's change to the cached bucket value, or settle the claim.
 * Return whether the value must be written for it. Set `*finished` if the claim
 * needs no further store call.
 */
bool rr_apply_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		    struct rr_claim *claim, bool *finished);

/* ledger-bucket.c */

/*
 * Start the next call of a bucket if it has pending claims and no call in
 * flight.
 */
void rr_advance_bucket(struct rr_context *ctx, struct rr_ledger *ledger,
		       struct rr_ledger_bucket *bucket, int64_t now_us);
/*
 * Handle the reply to the call in flight. The caller then calls
 * rr_start_pending_calls().
 */
void rr_handle_bucket_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			    struct rr_ledger_bucket *bucket, int64_t now_us,
			    const struct rr_store_reply *reply);
/* Time out the call in flight and the claims past their deadline. */
void rr_tick_bucket(struct rr_context *ctx, struct rr_ledger *ledger,
		    struct rr_ledger_bucket *bucket, int64_t now_us);
int64_t rr_bucket_wake_us(const struct rr_ledger *ledger,
			  const struct rr_ledger_bucket *bucket);
/* Start calls up to the limit, in the buckets that wait longest first. */
void rr_start_pending_calls(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us);

#endif
