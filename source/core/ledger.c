/*
 * ledger.c - public functions of the ledger and reporting of outcomes.
 */
#include "ragwort/ledger.h"

#include <string.h>
#include <xxhash.h>

#include "core/ledger-private.h"
#include "ragwort/error.h"
#include "ragwort/invariant.h"

/*
 * Maximum time that the creation time of an id may be ahead of this instance's
 * clock.
 */
#define MAX_FUTURE_S 300
#define MIN_ID_TAIL 8
#define MAX_ID_TAIL 64
/* Seconds since 1970 up to the year 33658, which cannot overflow. */
#define MAX_ID_DIGITS 12

static void free_claim(gpointer data)
{
	struct rr_claim *claim = data;

	g_free(claim->name);
	g_free(claim->result);
	g_free(claim);
}

/*
 * A late reply to a call of an earlier process with the same instance name must
 * not be mistaken for the reply to a call of this one, since it would describe
 * another key. The upper half of call ids is therefore different for each
 * incarnation.
 */
static void set_call_id_prefix(const struct rr_ledger_options *options)
{
	XXH64_hash_t hash = XXH3_64bits_withSeed(options->instance,
						 strlen(options->instance),
						 options->incarnation);

	*options->next_call_id |= hash << 32;
}

struct rr_ledger *rr_new_ledger(struct rr_context *ctx,
				const struct rr_ledger_options *options)
{
	struct rr_ledger *ledger = g_new0(struct rr_ledger, 1);

	(void)ctx;
#ifndef RR_MUTANT_LEDGER_CALL_IDS
	set_call_id_prefix(options);
#endif
	ledger->options = *options;
	ledger->options.buckets = MAX(options->buckets, 1);
	ledger->instance = g_strdup(options->instance);
	ledger->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						rr_free_bucket);
	ledger->active_buckets = g_ptr_array_new();
	g_queue_init(&ledger->idle_buckets);
	ledger->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_claim);
	ledger->timed_out_calls = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	g_queue_init(&ledger->queued_results);
	return ledger;
}

static void free_queued_result(gpointer data)
{
	struct rr_queued_claim_result *outcome = data;

	g_free(outcome->result);
	g_free(outcome);
}

void rr_drop_ledger(struct rr_ledger *ledger)
{
	if (!ledger)
		return;
	g_ptr_array_unref(ledger->active_buckets);
	g_queue_clear(&ledger->idle_buckets);
	g_hash_table_destroy(ledger->buckets);
	g_hash_table_destroy(ledger->claims);
	g_hash_table_destroy(ledger->timed_out_calls);
	g_queue_clear_full(&ledger->queued_results, free_queued_result);
	g_free(ledger->instance);
	g_free(ledger);
}

void rr_set_ledger_retention(struct rr_ledger *ledger, uint32_t retention_s)
{
	ledger->options.retention_s = retention_s;
}

void rr_queue_claim_result(struct rr_ledger *ledger, uint64_t claim_id,
			   enum rr_claim_status status, const char *reason,
			   uint32_t retry_after_ms)
{
	struct rr_queued_claim_result *outcome =
		g_new0(struct rr_queued_claim_result, 1);

	outcome->claim_id = claim_id;
	outcome->status = status;
	outcome->reason = reason;
	outcome->retry_after_ms = retry_after_ms;
	g_queue_push_tail(&ledger->queued_results, outcome);
}

void rr_remove_claim(struct rr_ledger *ledger, struct rr_claim *claim)
{
	g_hash_table_remove(ledger->claims, &claim->id);
}

/*
 * Report queued outcomes. Outcomes are reported only here, while no bucket is
 * being processed.
 */
static void report_outcomes(struct rr_ledger *ledger)
{
	struct rr_queued_claim_result *outcome;

	while ((outcome = g_queue_pop_head(&ledger->queued_results))) {
		const struct rr_claim_result result = {
			.claim_id = outcome->claim_id,
			.status = outcome->status,
			.result = outcome->result,
			.result_length = outcome->result_length,
			.reason = outcome->reason,
			.retry_after_ms = outcome->retry_after_ms,
		};

		ledger->options.claimed(ledger->options.data, &result);
		free_queued_result(outcome);
	}
}

bool rr_parse_request_id(const char *id, int64_t *created_s, GError **error)
{
	size_t digits = strspn(id, "0123456789");
	const char *tail = id + digits + 1;
	size_t tail_length;

	if (!digits || digits > MAX_ID_DIGITS || id[digits] != '-') {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "request id '%.80s' does not start with seconds "
			    "since 1970 followed by '-'",
			    id);
		return false;
	}
	tail_length = strspn(tail, "abcdefghijklmnopqrstuvwxyz"
				   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				   "0123456789_.-");
	if (tail[tail_length] || tail_length < MIN_ID_TAIL ||
	    tail_length > MAX_ID_TAIL) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "request id '%.80s': expected %d to %d characters "
			    "of [A-Za-z0-9_.-] after the seconds",
			    id, MIN_ID_TAIL, MAX_ID_TAIL);
		return false;
	}
	*created_s = g_ascii_strtoll(id, NULL, 10);
	return true;
}

/*
 * Return why the id cannot be claimed regardless of the store's contents; NULL
 * if it can. A wrong clock makes this check reject too many or too few ids, but
 * no pruned id is accepted: those are rejected by the minimum creation time in
 * the bucket.
 */
static const char *find_reject_reason(const struct rr_ledger *ledger,
				      const char *id, int64_t wall_us,
				      int64_t *created_s)
{
	int64_t wall_s = wall_us / G_USEC_PER_SEC;

	if (!rr_parse_request_id(id, created_s, NULL))
		return "id-malformed";
	if (*created_s > wall_s + MAX_FUTURE_S)
		return "id-from-the-future";
	if (*created_s < wall_s - (int64_t)ledger->options.retention_s)
		return "id-too-old";
	return NULL;
}

static struct rr_claim *add_claim(struct rr_ledger *ledger, uint64_t id,
				  char *name, int64_t created_s, int64_t now_us)
{
	struct rr_claim *claim = g_new0(struct rr_claim, 1);

	claim->id = id;
	claim->name = name;
	claim->created_s = created_s;
	claim->stamp = ++ledger->logical_clock;
	claim->deadline_us =
		now_us + (int64_t)ledger->options.call_timeout_ms * 1000;
	g_hash_table_insert(ledger->claims, &claim->id, claim);
	rr_enqueue_claim(ledger, claim);
	return claim;
}

uint64_t rr_claim_request_id(struct rr_context *ctx, struct rr_ledger *ledger,
			     int64_t now_us, int64_t wall_us,
			     const char *service, const char *id,
			     uint64_t fingerprint)
{
	uint64_t claim_id = ++ledger->last_claim_id;
	struct rr_claim *claim;
	const char *reason;
	int64_t created_s;

	ledger->wall_offset_us = wall_us - now_us;
	reason = find_reject_reason(ledger, id, wall_us, &created_s);
	if (reason) {
		rr_queue_claim_result(ledger, claim_id, RR_CLAIM_REJECTED,
				      reason, 0);
		return claim_id;
	}
	if (ledger->store_unreachable && now_us < ledger->retry_us) {
		int64_t wait_ms = (ledger->retry_us - now_us) / 1000;

		rr_queue_claim_result(ledger, claim_id, RR_CLAIM_REJECTED,
				      "store-unavailable",
				      (uint32_t)wait_ms + 1);
		return claim_id;
	}
	claim = add_claim(ledger, claim_id,
			  g_strdup_printf("%s/%s", service, id), created_s,
			  now_us);
	claim->fingerprint = fingerprint;
	rr_advance_bucket(ctx, ledger, claim->bucket, now_us);
	return claim_id;
}

/* Find an acquired claim; any other state is an error of the caller. */
static struct rr_claim *find_acquired_claim(struct rr_ledger *ledger,
					    uint64_t id)
{
	struct rr_claim *claim = g_hash_table_lookup(ledger->claims, &id);

	rr_invariant("at-most-once",
		     claim && claim->state == RR_CLAIM_STATE_ACQUIRED);
	return claim;
}

static void enqueue_and_advance(struct rr_context *ctx,
				struct rr_ledger *ledger,
				struct rr_claim *claim, int64_t now_us)
{
	rr_enqueue_claim(ledger, claim);
	rr_advance_bucket(ctx, ledger, claim->bucket, now_us);
}

void rr_record_claim_result(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, uint64_t claim_id,
			    const char *result, size_t length)
{
	struct rr_claim *acquired = find_acquired_claim(ledger, claim_id);

	acquired->state = RR_CLAIM_STATE_RECORDING;
	acquired->result = g_memdup2(result, length);
	acquired->result_length = length;
	enqueue_and_advance(ctx, ledger, acquired, now_us);
}

void rr_release_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      int64_t now_us, uint64_t claim_id)
{
	struct rr_claim *acquired = find_acquired_claim(ledger, claim_id);

	acquired->state = RR_CLAIM_STATE_RELEASING;
	enqueue_and_advance(ctx, ledger, acquired, now_us);
}

void rr_abandon_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      uint64_t claim_id)
{
	struct rr_claim *acquired = find_acquired_claim(ledger, claim_id);

	(void)ctx;
#ifdef RR_MUTANT_LEDGER_RELEASE_UNKNOWN
	acquired->state = RR_CLAIM_STATE_RELEASING;
	rr_enqueue_claim(ledger, acquired);
	return;
#endif
	rr_remove_claim(ledger, acquired);
}

bool rr_handle_ledger_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, const struct rr_store_reply *reply)
{
	/* Already handled as RR_STORE_UNKNOWN when it timed out. */
	if (g_hash_table_remove(ledger->timed_out_calls, &reply->call_id))
		return true;
	if (rr_handle_ledger_era_reply(ctx, ledger, now_us, reply)) {
		rr_start_pending_calls(ctx, ledger, now_us);
		rr_deactivate_idle_buckets(ledger);
		report_outcomes(ledger);
		return true;
	}
	for (guint i = 0; i < ledger->active_buckets->len; i++) {
		struct rr_ledger_bucket *bucket =
			ledger->active_buckets->pdata[i];

		if (bucket->call == RR_LEDGER_CALL_NONE ||
		    bucket->call_id != reply->call_id)
			continue;
		rr_handle_bucket_reply(ctx, ledger, bucket, now_us, reply);
		g_ptr_array_remove_index(ledger->active_buckets, i);
		g_ptr_array_add(ledger->active_buckets, bucket);
		rr_start_pending_calls(ctx, ledger, now_us);
		rr_deactivate_idle_buckets(ledger);
		report_outcomes(ledger);
		return true;
	}
	return false;
}

void rr_tick_ledger(struct rr_context *ctx, struct rr_ledger *ledger,
		    int64_t now_us)
{
	rr_tick_ledger_era(ctx, ledger, now_us);
	for (guint i = 0; i < ledger->active_buckets->len; i++) {
		struct rr_ledger_bucket *bucket =
			ledger->active_buckets->pdata[i];

		if (rr_bucket_wake_us(ledger, bucket) <= now_us)
			rr_tick_bucket(ctx, ledger, bucket, now_us);
	}
	rr_start_pending_calls(ctx, ledger, now_us);
	rr_deactivate_idle_buckets(ledger);
	report_outcomes(ledger);
}

int64_t rr_ledger_wake_us(const struct rr_ledger *ledger)
{
	int64_t wake_us = rr_ledger_era_wake_us(ledger);

	/*
	 * Outcomes that were known immediately are reported at the next tick.
	 */
	if (ledger->queued_results.length)
		return 0;
	for (guint i = 0; i < ledger->active_buckets->len; i++)
		wake_us =
			MIN(wake_us,
			    rr_bucket_wake_us(
				    ledger, ledger->active_buckets->pdata[i]));
	return wake_us;
}

bool rr_ledger_is_idle(const struct rr_ledger *ledger)
{
	if (ledger->queued_results.length)
		return false;
	for (guint i = 0; i < ledger->active_buckets->len; i++) {
		const struct rr_ledger_bucket *bucket =
			ledger->active_buckets->pdata[i];

		if (bucket->pending_claims.length)
			return false;
	}
	return true;
}
