/*
 * ledger-bucket.c - reads and writes of a bucket key, one call at a time.
 */
#include <string.h>

#include "core/ledger-private.h"
#include "ragwort/counters.h"
#include "ragwort/invariant.h"

/*
 * Entries are kept this much longer than the retention, so that an id at the
 * age limit that was accepted is not below the minimum creation time when its
 * claim is written.
 */
#define PRUNE_MARGIN_S 600
/*
 * The minimum creation time is rounded down to a multiple of this, so that most
 * writes need not search for expired ids.
 */
#define PRUNE_GRANULARITY_S 60
#define FIRST_BACKOFF_MS 50
#define MAX_BACKOFF_MS 1000
/*
 * From the second consecutive failed write on, the wait is random, up to 2, 4,
 * ... 64 ms.
 */
#define MAX_WRITE_DOUBLINGS 6

/*
 * Maximum number of calls in flight per ledger. At a store that has reached its
 * limit, further calls only queue and each write meets more conflicts; claims
 * that wait here instead share one write.
 */
#define MAX_CALLS_IN_FLIGHT 4

static void discard_value(struct rr_ledger_bucket *bucket)
{
	rr_drop_ledger_value(bucket->value);
	bucket->value = NULL;
}

static void start_call(struct rr_context *ctx, struct rr_ledger *ledger,
		       struct rr_ledger_bucket *bucket, int64_t now_us,
		       enum rr_ledger_call call)
{
	rr_invariant("at-most-once", bucket->call == RR_LEDGER_CALL_NONE);
	ledger->calls_in_flight++;
	bucket->call = call;
	bucket->call_id = (*ledger->options.next_call_id)++;
	bucket->call_stamp = ledger->logical_clock;
	bucket->call_era = ledger->era.known;
	bucket->call_deadline_us =
		now_us + (int64_t)ledger->options.call_timeout_ms * 1000;
	rr_count(ctx, RR_N_STORE_CALLS, 1);
}

static void start_read(struct rr_context *ctx, struct rr_ledger *ledger,
		       struct rr_ledger_bucket *bucket, int64_t now_us)
{
	const struct rr_store_port *store = &ledger->options.store;

	discard_value(bucket);
	start_call(ctx, ledger, bucket, now_us, RR_LEDGER_CALL_READ);
	store->get(store->data, bucket->call_id, bucket->key);
}

static void start_write(struct rr_context *ctx, struct rr_ledger *ledger,
			struct rr_ledger_bucket *bucket, int64_t now_us)
{
	const struct rr_store_port *store = &ledger->options.store;
	struct rr_store_guard guard;
	bool has_guard = rr_ledger_guard(ledger, &guard);
	size_t length;
	char *bytes = rr_encode_ledger_value(bucket->value, &length);

	start_call(ctx, ledger, bucket, now_us, RR_LEDGER_CALL_WRITE);
	rr_count(ctx, RR_N_LEDGER_WRITES, 1);
	store->compare_and_swap(store->data, bucket->call_id, bucket->key,
				bucket->revision, bytes, length,
				has_guard ? &guard : NULL);
	g_free(bytes);
}

/*
 * Whether pruning must keep an entry: it belongs to a claim that this ledger
 * still tracks, and the claim has to find it.
 */
static bool keep_entry(const void *data, const struct rr_ledger_entry *entry)
{
	const struct rr_ledger *ledger = data;

	return entry->incarnation == ledger->options.incarnation &&
	       !strcmp(entry->instance, ledger->instance) &&
	       g_hash_table_contains(ledger->claims, &entry->sequence);
}

/*
 * Return the newest creation time of all ids in the bucket and of its pending
 * claims; each has passed the age check by the clock of some instance.
 */
static int64_t find_max_created_s(const struct rr_ledger_bucket *bucket)
{
	int64_t max_s = bucket->value->max_created_s;

	for (GList *link = bucket->pending_claims.head; link;
	     link = link->next) {
		const struct rr_claim *claim = link->data;

		max_s = MAX(max_s, claim->created_s);
	}
	return max_s;
}

/*
 * Raise the minimum creation time to the retention limit by the clock of this
 * instance, but never beyond the creation time of the newest id minus the
 * retention. Otherwise, a clock far ahead of all others would prune entries of
 * ids that the others still accept.
 */
static void prune_bucket(const struct rr_ledger *ledger,
			 struct rr_ledger_bucket *bucket, int64_t now_us)
{
	int64_t wall_s = (now_us + ledger->wall_offset_us) / G_USEC_PER_SEC;
	int64_t new_min_created_s = MIN(wall_s, find_max_created_s(bucket));

	new_min_created_s -= ledger->options.retention_s + PRUNE_MARGIN_S;
	new_min_created_s -= new_min_created_s % PRUNE_GRANULARITY_S;
#ifdef RR_MUTANT_LEDGER_PRUNE_EARLY
	new_min_created_s = wall_s - ledger->options.retention_s / 4;
#endif
	if (new_min_created_s > 0)
		rr_prune_ledger_value(bucket->value, new_min_created_s,
				      keep_entry, ledger);
#ifdef RR_MUTANT_LEDGER_PRUNE_EARLY
	bucket->value->min_created_s = 0;
#endif
}

static bool any_needs_read(const struct rr_ledger_bucket *bucket)
{
	for (GList *link = bucket->pending_claims.head; link;
	     link = link->next) {
		if (rr_claim_needs_read(link->data))
			return true;
	}
	return false;
}

static void remove_pending_claim(struct rr_ledger *ledger,
				 struct rr_ledger_bucket *bucket, GList *link)
{
	struct rr_claim *claim = link->data;

	g_queue_delete_link(&bucket->pending_claims, link);
	claim->in_flight = false;
	claim->in_doubt = false;
	if (claim->state != RR_CLAIM_STATE_ACQUIRED)
		rr_remove_claim(ledger, claim);
}

/*
 * Apply the pending claims to the value. Return whether it has to be written.
 */
static bool apply_pending_claims(struct rr_context *ctx,
				 struct rr_ledger *ledger,
				 struct rr_ledger_bucket *bucket)
{
	bool write = false;
	GList *next;

	for (GList *link = bucket->pending_claims.head; link; link = next) {
		struct rr_claim *claim = link->data;
		bool finished;

		next = link->next;
		claim->in_flight =
			rr_apply_claim(ctx, ledger, claim, &finished);
		write |= claim->in_flight;
		if (finished)
			remove_pending_claim(ledger, bucket, link);
	}
	return write;
}

void rr_advance_bucket(struct rr_context *ctx, struct rr_ledger *ledger,
		       struct rr_ledger_bucket *bucket, int64_t now_us)
{
	if (bucket->call != RR_LEDGER_CALL_NONE || now_us < bucket->retry_us)
		return;
	if (!bucket->pending_claims.length ||
	    ledger->calls_in_flight >= MAX_CALLS_IN_FLIGHT)
		return;
	if (!rr_ledger_era_is_recorded(ledger)) {
		rr_advance_ledger_era(ctx, ledger, now_us);
		return;
	}
	if (!bucket->value || any_needs_read(bucket)) {
		start_read(ctx, ledger, bucket, now_us);
		return;
	}
	prune_bucket(ledger, bucket, now_us);
	if (apply_pending_claims(ctx, ledger, bucket))
		start_write(ctx, ledger, bucket, now_us);
}

/*
 * Reject immediately every pending claim of which no write can take effect any
 * more, so that callers need not wait for their deadline.
 */
static void reject_pending_claims(struct rr_ledger *ledger,
				  struct rr_ledger_bucket *bucket,
				  const char *reason, uint32_t retry_after_ms)
{
	GList *next;

	for (GList *link = bucket->pending_claims.head; link; link = next) {
		struct rr_claim *claim = link->data;

		next = link->next;
		if (claim->state != RR_CLAIM_STATE_PENDING ||
		    claim->in_flight || claim->in_doubt)
			continue;
		rr_queue_claim_result(ledger, claim->id, RR_CLAIM_REJECTED,
				      reason, retry_after_ms);
		remove_pending_claim(ledger, bucket, link);
	}
}

static uint32_t schedule_retry(struct rr_context *ctx, struct rr_ledger *ledger,
			       struct rr_ledger_bucket *bucket, int64_t now_us)
{
	uint32_t limit_ms = FIRST_BACKOFF_MS
			    << MIN(ledger->consecutive_failures, 8);
	uint32_t wait_ms;

	limit_ms = MIN(limit_ms, MAX_BACKOFF_MS);
	wait_ms = limit_ms / 2 + rr_random_below(ctx, limit_ms / 2 + 1);
	ledger->consecutive_failures++;
	bucket->retry_us = now_us + (int64_t)wait_ms * 1000;
	return wait_ms;
}

/*
 * Handle a call that the store did not answer: reject the pending claims of all
 * buckets, since their calls would fail as well.
 */
static void handle_store_failure(struct rr_context *ctx,
				 struct rr_ledger *ledger,
				 struct rr_ledger_bucket *bucket,
				 int64_t now_us)
{
	uint32_t wait_ms = schedule_retry(ctx, ledger, bucket, now_us);
	GPtrArray *active = ledger->active_buckets;

	rr_count(ctx, RR_N_STORE_FAILURES, 1);
	ledger->store_unreachable = true;
	ledger->retry_us = bucket->retry_us;
	for (guint i = 0; i < active->len; i++)
		reject_pending_claims(ledger, active->pdata[i],
				      "store-unavailable", wait_ms);
}

static void handle_store_success(struct rr_ledger *ledger,
				 struct rr_ledger_bucket *bucket,
				 uint64_t revision)
{
	ledger->store_unreachable = false;
	ledger->consecutive_failures = 0;
	bucket->retry_us = 0;
	bucket->revision = revision;
	bucket->highest_revision = revision;
	bucket->value_stamp = bucket->call_stamp;
}

static void commit_value(struct rr_ledger_bucket *bucket)
{
	for (GList *link = bucket->pending_claims.head; link;
	     link = link->next) {
		struct rr_claim *claim = link->data;
		struct rr_ledger_entry *entry;

		claim->in_flight = false;
		entry = rr_find_ledger_entry(bucket->value, claim->name);
		if (entry)
			entry->uncommitted = false;
	}
}

/*
 * Settle claims as soon as the value is known: the next call, for another
 * claim, may fail, and a claim that took effect would then be rejected.
 */
static void resolve_pending_claims(struct rr_context *ctx,
				   struct rr_ledger *ledger,
				   struct rr_ledger_bucket *bucket)
{
	GList *next;

	for (GList *link = bucket->pending_claims.head; link; link = next) {
		next = link->next;
		if (rr_resolve_claim(ctx, ledger, link->data))
			remove_pending_claim(ledger, bucket, link);
	}
}

static struct rr_ledger_value *decode_read(struct rr_ledger_bucket *bucket,
					   const struct rr_store_reply *reply,
					   GError **error)
{
	if (reply->revision < bucket->highest_revision) {
		g_set_error_literal(
			error, g_quark_from_static_string("ledger"), 0,
			"revision of the key is lower than one seen before");
		return NULL;
	}
	if (!reply->value || !reply->length)
		return rr_new_ledger_value();
	return rr_decode_ledger_value(reply->value, reply->length, error);
}

static void handle_read_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			      struct rr_ledger_bucket *bucket, int64_t now_us,
			      const struct rr_store_reply *reply)
{
	GError *error = NULL;

	if (reply->status != RR_STORE_OK) {
		handle_store_failure(ctx, ledger, bucket, now_us);
		return;
	}
	bucket->value = decode_read(bucket, reply, &error);
	if (!bucket->value) {
		rr_count(ctx, RR_N_LEDGER_VALUES_BAD, 1);
		rr_log(ctx, RR_LOG_ERROR, "ledger-unreadable",
		       RR_FIELD_STRING("key", bucket->key),
		       RR_FIELD_STRING("error", error->message));
		g_clear_error(&error);
		reject_pending_claims(
			ledger, bucket, "ledger-unreadable",
			schedule_retry(ctx, ledger, bucket, now_us));
		return;
	}
	handle_store_success(ledger, bucket, reply->revision);
	/*
	 * A write without a reply compares the revision when it reaches the
	 * store. Once the key has another revision, the write has either taken
	 * effect or never will, and the value shows which. While the revision
	 * is unchanged nothing is known: the write may still be in transit,
	 * although the value just read does not contain it.
	 */
	if (bucket->in_doubt_revision != reply->revision)
		bucket->write_in_doubt = false;
#ifdef RR_MUTANT_LEDGER_NO_FENCE
	bucket->write_in_doubt = false;
#endif
	resolve_pending_claims(ctx, ledger, bucket);
}

static void discard_write(struct rr_ledger_bucket *bucket, bool may_take_effect)
{
	discard_value(bucket);
	for (GList *link = bucket->pending_claims.head; link;
	     link = link->next) {
		struct rr_claim *claim = link->data;

		if (claim->in_flight && may_take_effect)
			claim->in_doubt = true;
		claim->in_flight = false;
	}
}

/* The time allowed to settle a claim starts when its write got no reply. */
static void mark_write_in_doubt(struct rr_ledger *ledger,
				struct rr_ledger_bucket *bucket, int64_t now_us)
{
	int64_t deadline_us =
		now_us + (int64_t)ledger->options.call_timeout_ms * 1000;

	for (GList *link = bucket->pending_claims.head; link;
	     link = link->next) {
		struct rr_claim *claim = link->data;

		if (claim->in_flight && !claim->in_doubt)
			claim->deadline_us = deadline_us;
	}
	bucket->write_in_doubt = true;
	bucket->in_doubt_revision = bucket->revision;
	discard_write(bucket, true);
}

/*
 * The first failed write is retried immediately, later ones after a random
 * wait, which separates instances that write the same bucket at the same time.
 */
static void delay_after_failed_write(struct rr_context *ctx,
				     struct rr_ledger_bucket *bucket,
				     int64_t now_us)
{
	uint32_t doublings =
		MIN(bucket->consecutive_write_failures, MAX_WRITE_DOUBLINGS);

	if (bucket->consecutive_write_failures++)
		bucket->retry_us =
			now_us + rr_random_below(ctx, 1000u << doublings);
}

static void handle_write_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			       struct rr_ledger_bucket *bucket, int64_t now_us,
			       const struct rr_store_reply *reply)
{
	enum rr_store_status status = reply->status;

#ifdef RR_MUTANT_LEDGER_NO_SETTLE
	if (status == RR_STORE_UNKNOWN)
		status = RR_STORE_OK;
#endif
	switch (status) {
	case RR_STORE_OK:
		commit_value(bucket);
		handle_store_success(ledger, bucket, reply->revision);
		bucket->write_in_doubt = false;
		bucket->consecutive_write_failures = 0;
		resolve_pending_claims(ctx, ledger, bucket);
		break;
	case RR_STORE_CONFLICT:
		rr_count(ctx, RR_N_LEDGER_CONFLICTS, 1);
		/* The key is unchanged: it was the guard that did not hold. */
		if (reply->revision == bucket->revision)
			rr_expire_ledger_era(ledger);
		discard_write(bucket, false);
		delay_after_failed_write(ctx, bucket, now_us);
		break;
	case RR_STORE_UNAVAILABLE:
		discard_write(bucket, false);
		handle_store_failure(ctx, ledger, bucket, now_us);
		break;
	case RR_STORE_UNKNOWN:
		rr_count(ctx, RR_N_STORE_FAILURES, 1);
		mark_write_in_doubt(ledger, bucket, now_us);
		delay_after_failed_write(ctx, bucket, now_us);
		break;
	}
}

void rr_handle_bucket_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			    struct rr_ledger_bucket *bucket, int64_t now_us,
			    const struct rr_store_reply *reply)
{
	enum rr_ledger_call call = bucket->call;
	struct rr_store_reply lost = { .call_id = reply->call_id,
				       .status = RR_STORE_UNKNOWN };

	ledger->calls_in_flight--;
	bucket->call = RR_LEDGER_CALL_NONE;
	/* A call that was sent in another era decides nothing. */
	if (!rr_note_ledger_era(ctx, ledger, reply) ||
	    bucket->call_era != ledger->era.known) {
		if (call == RR_LEDGER_CALL_WRITE)
			handle_write_reply(ctx, ledger, bucket, now_us, &lost);
		rr_advance_bucket(ctx, ledger, bucket, now_us);
		return;
	}
	if (call == RR_LEDGER_CALL_READ) {
		handle_read_reply(ctx, ledger, bucket, now_us, reply);
		/*
		 * Write immediately: conflicts are more likely the longer ago
		 * the read was.
		 */
		rr_advance_bucket(ctx, ledger, bucket, now_us);
	} else {
		handle_write_reply(ctx, ledger, bucket, now_us, reply);
	}
}

/*
 * Abandon a claim whose write could not be settled in time. Its request was not
 * sent, so nothing ran for it. Its entry may be in the store or may still be
 * written, so it is removed by its sequence number once the store answers
 * again; until then other instances see the id as held.
 */
static void abandon_claim(struct rr_context *ctx, struct rr_ledger *ledger,
			  struct rr_claim *claim)
{
	rr_count(ctx, RR_N_CLAIMS_UNRESOLVED, 1);
	rr_queue_claim_result(ledger, claim->id, RR_CLAIM_UNRESOLVED,
			      "store-lost-reply", MAX_BACKOFF_MS);
	claim->state = RR_CLAIM_STATE_RELEASING;
}

static void time_out_claims(struct rr_context *ctx, struct rr_ledger *ledger,
			    struct rr_ledger_bucket *bucket, int64_t now_us)
{
	GList *next;

	for (GList *link = bucket->pending_claims.head; link; link = next) {
		struct rr_claim *claim = link->data;

		next = link->next;
		if (claim->state != RR_CLAIM_STATE_PENDING ||
		    claim->in_flight || now_us < claim->deadline_us)
			continue;
		if (claim->in_doubt) {
			abandon_claim(ctx, ledger, claim);
			continue;
		}
		rr_queue_claim_result(ledger, claim->id, RR_CLAIM_REJECTED,
				      "store-slow", MAX_BACKOFF_MS);
		remove_pending_claim(ledger, bucket, link);
	}
}

void rr_tick_bucket(struct rr_context *ctx, struct rr_ledger *ledger,
		    struct rr_ledger_bucket *bucket, int64_t now_us)
{
	if (bucket->call != RR_LEDGER_CALL_NONE &&
	    now_us >= bucket->call_deadline_us) {
		const struct rr_store_reply reply = {
			.call_id = bucket->call_id,
			.status = RR_STORE_UNKNOWN,
		};

		g_hash_table_add(
			ledger->timed_out_calls,
			g_memdup2(&bucket->call_id, sizeof(bucket->call_id)));
		rr_handle_bucket_reply(ctx, ledger, bucket, now_us, &reply);
	}
	time_out_claims(ctx, ledger, bucket, now_us);
}

void rr_start_pending_calls(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us)
{
	GPtrArray *active = ledger->active_buckets;

	for (guint i = 0;
	     i < active->len && ledger->calls_in_flight < MAX_CALLS_IN_FLIGHT;
	     i++)
		rr_advance_bucket(ctx, ledger, active->pdata[i], now_us);
}

int64_t rr_bucket_wake_us(const struct rr_ledger *ledger,
			  const struct rr_ledger_bucket *bucket)
{
	int64_t wake_us = INT64_MAX;

	if (bucket->call != RR_LEDGER_CALL_NONE)
		wake_us = bucket->call_deadline_us;
	else if (bucket->pending_claims.length &&
		 rr_ledger_era_is_recorded(ledger) &&
		 ledger->calls_in_flight < MAX_CALLS_IN_FLIGHT)
		wake_us = bucket->retry_us;
	for (GList *link = bucket->pending_claims.head; link;
	     link = link->next) {
		const struct rr_claim *claim = link->data;

		if (claim->state == RR_CLAIM_STATE_PENDING && !claim->in_flight)
			wake_us = MIN(wake_us, claim->deadline_us);
	}
	return wake_us;
}
