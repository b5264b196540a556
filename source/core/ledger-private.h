/*
 * ledger-private.h - inside of struct rr_ledger.
 */
#ifndef CORE_LEDGER_PRIVATE_H
#define CORE_LEDGER_PRIVATE_H

#include "ragwort/ledger.h"
#include "wire/ledger-value.h"

enum rr_claim_state {
	RR_CLAIM_STATE_PENDING,	  /* wants its entry in the bucket */
	RR_CLAIM_STATE_ACQUIRED,  /* ours; its holder acts on it */
	RR_CLAIM_STATE_RECORDING, /* wants its result in the bucket */
	RR_CLAIM_STATE_RELEASING, /* wants its entry out of the bucket */
};

struct rr_claim {
	uint64_t id; /* also the nonce's sequence */
	char *name;  /* SERVICE/ID */
	int64_t created_s;
	uint64_t fingerprint;
	enum rr_claim_state state;
	struct rr_ledger_bucket *bucket; /* while it is in the bucket's work */
	/* The ledger's stamp when it was asked: older knowledge is stale. */
	uint64_t stamp;
	int64_t deadline_us;
	/* Part of the write now in flight. */
	bool in_flight;
	/* Part of a write that may have taken or may still take effect. */
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
	bool active;	  /* has work or a call in flight */
	GList *idle_link; /* in the ledger's idle queue; NULL if not */
	struct rr_ledger_value *value; /* NULL: not known */
	uint64_t revision;	       /* of value */
	uint64_t value_stamp;	       /* value is at least this fresh */
	uint64_t highest_revision;     /* ever seen: a read below it is stale */
	enum rr_ledger_call call;
	uint64_t call_id;
	uint64_t call_stamp;
	int64_t call_deadline_us;
	/*
	 * A write on unknown_revision got no reply.  While the key still has
	 * that revision the write may take effect yet.
	 */
	bool write_in_doubt;
	uint64_t in_doubt_revision;
	int64_t retry_us; /* no call before this */
	uint32_t
		consecutive_write_failures; /* in a row: conflicts and lost replies */
	GQueue pending_claims; /* claims that want something of the store */
};

/* A claim's outcome, waiting to be told. */
struct rr_queued_claim_result {
	uint64_t claim_id;
	enum rr_claim_status status;
	char *result;
	size_t result_length;
	const char *reason;
	uint32_t retry_after_ms;
};

struct rr_ledger {
	struct rr_ledger_options options;
	char *instance;
	GHashTable
		*buckets; /* key to struct rr_ledger_bucket, made when needed */
	GPtrArray *
		active_buckets; /* with work or a call, longest waiting first */
	GQueue idle_buckets;	/* others whose value is kept, oldest first */
	size_t idle_bytes;	/* of the values in idle */
	GHashTable *claims;	/* id to struct rr_claim, owned */
	GHashTable *timed_out_calls; /* timed out, reply still to come */
	GQueue queued_results;	     /* struct rr_queued_claim_result */
	/*
	 * The store does not answer: until retry_us claims are refused
	 * without a call.
	 */
	bool store_unreachable;
	int64_t retry_us;
	uint32_t
		consecutive_failures; /* calls in a row without a usable reply */
	uint32_t calls_in_flight;     /* in flight, of all buckets */
	uint64_t last_claim_id;
	uint64_t logical_clock;
	int64_t wall_offset_us; /* time since 1970 less monotonic time */
};

/* ledger.c */

/* Queue an outcome of the claim, without touching the claim. */
void rr_queue_claim_result(struct rr_ledger *ledger, uint64_t claim,
			   enum rr_claim_status status, const char *reason,
			   uint32_t retry_after_ms);
/* Free a claim that nobody needs; it must be in no bucket's work. */
void rr_remove_claim(struct rr_ledger *ledger, struct rr_claim *claim);

/* ledger-table.c */

/* Find the claim's bucket, made if need be, and put the claim to its work. */
void rr_enqueue_claim(struct rr_ledger *ledger, struct rr_claim *claim);
/*
 * Take buckets that want nothing out of the active ones.  Their values are
 * kept up to a bound, since a claim of a known value needs one call less.
 */
void rr_deactivate_idle_buckets(struct rr_ledger *ledger);
void rr_free_bucket(gpointer data);

/* ledger-claim.c */

/* Whether the claim cannot be judged by what is known of its bucket. */
bool rr_claim_needs_read(const struct rr_claim *claim);
/*
 * Look at a value just learned from the store, before anything is changed in
 * it: whether the claim has what it wants and needs the store no more.
 */
bool rr_resolve_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      struct rr_claim *claim);
/*
 * Bring the bucket's value in memory to what the claim wants, or finish the
 * claim.  Returns whether the value must be written for it.  `*finished` says
 * that the claim wants nothing more of the store.
 */
bool rr_apply_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		    struct rr_claim *claim, bool *finished);

/* ledger-bucket.c */

/* Start the next call of a bucket if it has work and no call in flight. */
void rr_advance_bucket(struct rr_context *ctx, struct rr_ledger *ledger,
		       struct rr_ledger_bucket *bucket, int64_t now_us);
/* Take the reply of the call in flight; rr_start_pending_calls() comes next. */
void rr_handle_bucket_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			    struct rr_ledger_bucket *bucket, int64_t now_us,
			    const struct rr_store_reply *reply);
/* Time out the call in flight and the claims that waited too long. */
void rr_tick_bucket(struct rr_context *ctx, struct rr_ledger *ledger,
		    struct rr_ledger_bucket *bucket, int64_t now_us);
int64_t rr_bucket_wake_us(const struct rr_ledger *ledger,
			  const struct rr_ledger_bucket *bucket);
/* Start calls as far as allowed, of the buckets that wait longest first. */
void rr_start_pending_calls(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us);

#endif
