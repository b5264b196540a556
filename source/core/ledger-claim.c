/*
 * ledger-claim.c - decision on one claim from the value of its bucket.
 */
#include "core/ledger-private.h"
#include "ragwort/counters.h"
#include "ragwort/invariant.h"

#include <string.h>

/*
 * The platform limits values to one megabyte; new claims are rejected below
 * that.
 */
#define MAX_BYTES_FOR_NEW_CLAIMS 900000
/* Results are not stored if they would enlarge a value beyond this. */
#define MAX_VALUE_BYTES 1000000
#define MAX_RESULT_BYTES 16384
#define HELD_RETRY_MS 1000
#define FULL_RETRY_MS 60000

static bool is_own_entry(const struct rr_ledger *ledger,
			 const struct rr_claim *claim,
			 const struct rr_ledger_entry *entry)
{
	return entry && entry->sequence == claim->id &&
	       entry->incarnation == ledger->options.incarnation &&
	       !strcmp(entry->instance, ledger->instance);
}

/*
 * Whether the id may have been claimed, and have run, in an earlier era of the
 * store, which has lost it.
 */
static bool may_be_lost(const struct rr_ledger *ledger,
			const struct rr_claim *claim)
{
#ifdef RR_MUTANT_LEDGER_CLAIMS_LOST_IDS
	return false;
#endif
	return claim->created_s < ledger->era.floor_s;
}

static bool is_stale(const struct rr_claim *claim)
{
	return claim->bucket->value_stamp < claim->stamp;
}

/*
 * An id that was held at the last read may be done or released by now, and a
 * full bucket may have been pruned: only a read that began after the claim was
 * requested can decide this. An absent entry needs no read, since the
 * compare-and-swap compares the revision.
 */
bool rr_claim_needs_read(const struct rr_claim *claim)
{
	const struct rr_ledger_value *value = claim->bucket->value;
	const struct rr_ledger_entry *entry;

	if (claim->state != RR_CLAIM_STATE_PENDING || !is_stale(claim))
		return false;
	entry = rr_find_ledger_entry(value, claim->name);
	if (!entry)
		return value->encoded_size_bound >= MAX_BYTES_FOR_NEW_CLAIMS;
	return !entry->done && !entry->uncommitted;
}

static void report_existing_entry(struct rr_context *ctx,
				  struct rr_ledger *ledger,
				  const struct rr_claim *claim,
				  const struct rr_ledger_entry *entry)
{
	struct rr_queued_claim_result *outcome;

	rr_count(ctx, RR_N_CLAIMS_DUPLICATE, 1);
	if (entry->fingerprint != claim->fingerprint) {
		rr_queue_claim_result(ledger, claim->id, RR_CLAIM_REJECTED,
				      "id-used-for-another-request", 0);
		return;
	}
	if (!entry->done) {
		rr_queue_claim_result(ledger, claim->id, RR_CLAIM_HELD, "held",
				      HELD_RETRY_MS);
		return;
	}
	rr_queue_claim_result(ledger, claim->id, RR_CLAIM_DONE, NULL, 0);
	outcome = g_queue_peek_tail(&ledger->queued_results);
	outcome->result = g_memdup2(entry->result, entry->result_length);
	outcome->result_length = entry->result_length;
}

static void report_acquired(struct rr_context *ctx, struct rr_ledger *ledger,
			    struct rr_claim *claim,
			    const struct rr_ledger_entry *entry)
{
	rr_invariant("at-most-once", claim->state == RR_CLAIM_STATE_PENDING);
	rr_invariant("at-most-once", is_own_entry(ledger, claim, entry));
	rr_invariant("at-most-once", !entry->done && !entry->uncommitted);
	claim->state = RR_CLAIM_STATE_ACQUIRED;
	rr_count(ctx, RR_N_CLAIMS, 1);
	rr_queue_claim_result(ledger, claim->id, RR_CLAIM_ACQUIRED, NULL, 0);
}

static void insert_entry(struct rr_ledger *ledger, struct rr_claim *claim)
{
	struct rr_ledger_value *value = claim->bucket->value;
	struct rr_ledger_entry entry = {
		.name = claim->name,
		.created_s = claim->created_s,
		.fingerprint = claim->fingerprint,
		.instance = ledger->instance,
		.incarnation = ledger->options.incarnation,
		.sequence = claim->id,
		.uncommitted = true,
	};

	rr_invariant("at-most-once", !rr_find_ledger_entry(value, claim->name));
	rr_invariant("at-most-once", claim->created_s >= value->min_created_s);
	rr_add_ledger_entry(value, &entry);
}

/* Return why an id without an entry cannot be inserted; NULL if it can. */
static const char *find_reject_reason(const struct rr_ledger *ledger,
				      const struct rr_claim *claim,
				      uint32_t *retry_after_ms)
{
	const struct rr_ledger_value *value = claim->bucket->value;

	*retry_after_ms = 0;
	/*
	 * The entry of an id created before this time may have been pruned, by
	 * the clock of any instance, so the request may already have run. The
	 * minimum is part of the value, so every instance sees it together with
	 * the pruned entries.
	 */
	if (claim->created_s < value->min_created_s)
		return "id-too-old";
	if (may_be_lost(ledger, claim))
		return RR_REASON_STORE_RESTORED;
	if (value->encoded_size_bound >= MAX_BYTES_FOR_NEW_CLAIMS) {
		*retry_after_ms = FULL_RETRY_MS;
		return "ledger-full";
	}
	return NULL;
}

static bool apply_pending(struct rr_context *ctx, struct rr_ledger *ledger,
			  struct rr_claim *claim, bool *finished)
{
	struct rr_ledger_bucket *bucket = claim->bucket;
	struct rr_ledger_entry *entry;
	uint32_t retry_after_ms = 0;
	const char *reason;

	entry = rr_find_ledger_entry(bucket->value, claim->name);
#ifdef RR_MUTANT_LEDGER_TAKEOVER
	if (entry && !entry->done && !entry->uncommitted &&
	    !is_own_entry(ledger, claim, entry)) {
		rr_remove_ledger_entry(bucket->value, claim->name);
		entry = NULL;
	}
#endif
	if (entry && entry->uncommitted)
		return false;
	rr_invariant("at-most-once", !is_own_entry(ledger, claim, entry));
	/*
	 * An earlier write of this claim may still take effect: any outcome but
	 * RR_CLAIM_ACQUIRED has to wait until a later write changes the
	 * revision and so invalidates the earlier one.
	 */
	reason = entry ? NULL :
			 find_reject_reason(ledger, claim, &retry_after_ms);
	if ((entry || reason) && claim->in_doubt)
		return true;
	*finished = entry || reason;
	if (entry)
		report_existing_entry(ctx, ledger, claim, entry);
	else if (reason)
		rr_queue_claim_result(ledger, claim->id, RR_CLAIM_REJECTED,
				      reason, retry_after_ms);
	else
		insert_entry(ledger, claim);
	return !*finished;
}

/* Store the result if it fits; without it the id still counts as done. */
static void finish_entry(struct rr_ledger_value *value,
			 struct rr_ledger_entry *entry,
			 const struct rr_claim *claim)
{
	bool fits = claim->result_length <= MAX_RESULT_BYTES &&
		    value->encoded_size_bound + claim->result_length <=
			    MAX_VALUE_BYTES;

	rr_finish_ledger_entry(value, entry, fits ? claim->result : NULL,
			       fits ? claim->result_length : 0);
	entry->uncommitted = true;
}

static bool apply_recording(struct rr_context *ctx, struct rr_ledger *ledger,
			    struct rr_claim *claim, bool *finished)
{
	struct rr_ledger_value *value = claim->bucket->value;
	struct rr_ledger_entry *entry;

	entry = rr_find_ledger_entry(value, claim->name);
	if (is_own_entry(ledger, claim, entry) && !entry->done) {
		finish_entry(value, entry, claim);
		return true;
	}
	if (!is_own_entry(ledger, claim, entry))
		rr_count(ctx, RR_N_CLAIMS_LOST, 1);
	/* Lost in a restore: later claims of the id are to get the result. */
	if (!entry && may_be_lost(ledger, claim) &&
	    claim->created_s >= value->min_created_s) {
		insert_entry(ledger, claim);
		finish_entry(value, rr_find_ledger_entry(value, claim->name),
			     claim);
		return true;
	}
	/* Already recorded or pruned: no entry to update. */
	*finished = true;
	return false;
}

static bool apply_releasing(struct rr_ledger *ledger, struct rr_claim *claim,
			    bool *finished)
{
	struct rr_ledger_value *value = claim->bucket->value;
	struct rr_ledger_entry *entry;

	entry = rr_find_ledger_entry(value, claim->name);
	if (is_own_entry(ledger, claim, entry)) {
		rr_invariant("at-most-once", !entry->done);
		rr_remove_ledger_entry(value, claim->name);
		return true;
	}
	/*
	 * A write that may still insert the entry has to be invalidated first.
	 */
	if (claim->in_doubt)
		return true;
	*finished = true;
	return false;
}

bool rr_resolve_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      struct rr_claim *claim)
{
	const struct rr_ledger_bucket *bucket = claim->bucket;
	const struct rr_ledger_entry *entry;
	bool is_own;

	entry = rr_find_ledger_entry(bucket->value, claim->name);
	is_own = is_own_entry(ledger, claim, entry);
	/*
	 * The entry was written in an earlier era, or late in this one: an
	 * earlier claim of the id may be lost.
	 */
	if (is_own && claim->state == RR_CLAIM_STATE_PENDING &&
	    may_be_lost(ledger, claim)) {
		rr_queue_claim_result(ledger, claim->id, RR_CLAIM_REJECTED,
				      RR_REASON_STORE_RESTORED, 0);
		claim->state = RR_CLAIM_STATE_RELEASING;
		return false;
	}
	if (is_own && claim->state == RR_CLAIM_STATE_PENDING) {
		report_acquired(ctx, ledger, claim, entry);
		return true;
	}
	if (is_own && claim->state == RR_CLAIM_STATE_RECORDING)
		return entry->done;
	if (!bucket->write_in_doubt)
		claim->in_doubt = false;
	return claim->state == RR_CLAIM_STATE_RELEASING && !is_own &&
	       !claim->in_doubt;
}

bool rr_apply_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		    struct rr_claim *claim, bool *finished)
{
	*finished = false;
	switch (claim->state) {
	case RR_CLAIM_STATE_PENDING:
		return apply_pending(ctx, ledger, claim, finished);
	case RR_CLAIM_STATE_RECORDING:
		return apply_recording(ctx, ledger, claim, finished);
	case RR_CLAIM_STATE_RELEASING:
		return apply_releasing(ledger, claim, finished);
	case RR_CLAIM_STATE_ACQUIRED:
		break;
	}
	*finished = true;
	return false;
}
