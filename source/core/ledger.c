/*
 * ledger.c - claims of request ids: the calls of users and their outcomes.
 */
#include "ragwort/ledger.h"

#include <string.h>
#include <xxhash.h>

#include "core/ledger-private.h"
#include "ragwort/error.h"
#include "ragwort/invariant.h"

/* How far ahead of this instance's clock an id may be made. */
#define MAX_FUTURE_S 300
#define MIN_ID_TAIL 8
#define MAX_ID_TAIL 64
/* Seconds since 1970 up to the year 33658: enough, and no overflow. */
#define MAX_ID_DIGITS 12

static void free_claim(gpointer data)
{
	struct rr_claim *claim = data;

	g_free(claim->name);
	g_free(claim->result);
	g_free(claim);
}

/*
 * A late reply to a call of the process before, of the same instance name,
 * must not pass for the reply to a call of this one: it would tell of another
 * key.  Ids of each incarnation therefore have a first half of their own.
 */
static void mark_call_ids(const struct rr_ledger_options *options)
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
	mark_call_ids(options);
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

static void free_outcome(gpointer data)
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
	g_queue_clear_full(&ledger->queued_results, free_outcome);
	g_free(ledger->instance);
	g_free(ledger);
}

void rr_set_ledger_retention(struct rr_ledger *ledger, uint32_t retention_s)
{
	ledger->options.retention_s = retention_s;
}

void rr_queue_claim_result(struct rr_ledger *ledger, uint64_t claim,
			   enum rr_claim_status status, const char *reason,
			   uint32_t retry_after_ms)
{
	struct rr_queued_claim_result *outcome =
		g_new0(struct rr_queued_claim_result, 1);

	outcome->claim_id = claim;
	outcome->status = status;
	outcome->reason = reason;
	outcome->retry_after_ms = retry_after_ms;
	g_queue_push_tail(&ledger->queued_results, outcome);
}

void rr_remove_claim(struct rr_ledger *ledger, struct rr_claim *claim)
{
	g_hash_table_remove(ledger->claims, &claim->id);
}

/* Outcomes leave from here only, when no bucket is being worked on. */
static void tell_outcomes(struct rr_ledger *ledger)
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
		free_outcome(outcome);
	}
}

bool rr_parse_request_id(const char *id, int64_t *made_s, GError **error)
{
	size_t digits = strspn(id, "0123456789");
	const char *tail = id + digits + 1;
	size_t tail_length;

	if (!digits || digits > MAX_ID_DIGITS || id[digits] != '-') {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "request id '%.80s' does not begin with seconds "
			    "since 1970 and '-'",
			    id);
		return false;
	}
	tail_length = strspn(tail, "abcdefghijklmnopqrstuvwxyz"
				   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				   "0123456789_.-");
	if (tail[tail_length] || tail_length < MIN_ID_TAIL ||
	    tail_length > MAX_ID_TAIL) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "request id '%.80s': after the seconds %d to %d of "
			    "[A-Za-z0-9_.-] are allowed",
			    id, MIN_ID_TAIL, MAX_ID_TAIL);
		return false;
	}
	*made_s = g_ascii_strtoll(id, NULL, 10);
	return true;
}

/*
 * Why the id cannot be claimed whatever the store holds; NULL if it can.  A
 * wrong clock here only refuses too much or too little: what was pruned is
 * refused by the floor in the bucket, not by this check.
 */
static const char *refuse_id(const struct rr_ledger *ledger, const char *id,
			     int64_t wall_us, int64_t *made_s)
{
	int64_t wall_s = wall_us / G_USEC_PER_SEC;

	if (!rr_parse_request_id(id, made_s, NULL))
		return "id-malformed";
	if (*made_s > wall_s + MAX_FUTURE_S)
		return "id-from-the-future";
	if (*made_s < wall_s - (int64_t)ledger->options.retention_s)
		return "id-too-old";
	return NULL;
}

static struct rr_claim *add_claim(struct rr_ledger *ledger, uint64_t id,
				  char *name, int64_t made_s, int64_t now_us)
{
	struct rr_claim *claim = g_new0(struct rr_claim, 1);

	claim->id = id;
	claim->name = name;
	claim->created_s = made_s;
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
	uint64_t number = ++ledger->last_claim_id;
	struct rr_claim *claim;
	const char *reason;
	int64_t made_s;

	ledger->wall_offset_us = wall_us - now_us;
	reason = refuse_id(ledger, id, wall_us, &made_s);
	if (reason) {
		rr_queue_claim_result(ledger, number, RR_CLAIM_REJECTED, reason,
				      0);
		return number;
	}
	if (ledger->store_unreachable && now_us < ledger->retry_us) {
		int64_t wait_ms = (ledger->retry_us - now_us) / 1000;

		rr_queue_claim_result(ledger, number, RR_CLAIM_REJECTED,
				      "store-unavailable",
				      (uint32_t)wait_ms + 1);
		return number;
	}
	claim = add_claim(ledger, number, g_strdup_printf("%s/%s", service, id),
			  made_s, now_us);
	claim->fingerprint = fingerprint;
	rr_advance_bucket(ctx, ledger, claim->bucket, now_us);
	return number;
}

/* A claim that was told "ours"; anything else is an error of the user. */
static struct rr_claim *find_running(struct rr_ledger *ledger, uint64_t id)
{
	struct rr_claim *claim = g_hash_table_lookup(ledger->claims, &id);

	rr_invariant("at-most-once",
		     claim && claim->state == RR_CLAIM_STATE_ACQUIRED);
	return claim;
}

static void queue_work(struct rr_context *ctx, struct rr_ledger *ledger,
		       struct rr_claim *claim, int64_t now_us)
{
	rr_enqueue_claim(ledger, claim);
	rr_advance_bucket(ctx, ledger, claim->bucket, now_us);
}

void rr_record_claim_result(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, uint64_t claim, const char *result,
			    size_t length)
{
	struct rr_claim *running = find_running(ledger, claim);

	running->state = RR_CLAIM_STATE_RECORDING;
	running->result = g_memdup2(result, length);
	running->result_length = length;
	queue_work(ctx, ledger, running, now_us);
}

void rr_release_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      int64_t now_us, uint64_t claim)
{
	struct rr_claim *running = find_running(ledger, claim);

	running->state = RR_CLAIM_STATE_RELEASING;
	queue_work(ctx, ledger, running, now_us);
}

void rr_abandon_claim(struct rr_context *ctx, struct rr_ledger *ledger,
		      uint64_t claim)
{
	struct rr_claim *running = find_running(ledger, claim);

	(void)ctx;
#ifdef RR_MUTANT_LEDGER_RELEASE_UNKNOWN
	running->state = RR_CLAIM_STATE_RELEASING;
	rr_enqueue_claim(ledger, running);
	return;
#endif
	rr_remove_claim(ledger, running);
}

bool rr_handle_ledger_reply(struct rr_context *ctx, struct rr_ledger *ledger,
			    int64_t now_us, const struct rr_store_reply *reply)
{
	/* It was handled as unknown when its time was up. */
	if (g_hash_table_remove(ledger->timed_out_calls, &reply->call_id))
		return true;
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
		tell_outcomes(ledger);
		return true;
	}
	return false;
}

void rr_tick_ledger(struct rr_context *ctx, struct rr_ledger *ledger,
		    int64_t now_us)
{
	for (guint i = 0; i < ledger->active_buckets->len; i++) {
		struct rr_ledger_bucket *bucket =
			ledger->active_buckets->pdata[i];

		if (rr_bucket_wake_us(ledger, bucket) <= now_us)
			rr_tick_bucket(ctx, ledger, bucket, now_us);
	}
	rr_start_pending_calls(ctx, ledger, now_us);
	rr_deactivate_idle_buckets(ledger);
	tell_outcomes(ledger);
}

int64_t rr_ledger_wake_us(const struct rr_ledger *ledger)
{
	int64_t wake_us = INT64_MAX;

	/* Outcomes that a claim had at once wait for the next tick. */
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
