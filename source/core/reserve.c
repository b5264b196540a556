/*
 * reserve.c - requests that may run at most once.
 *
 * Such a request is claimed in the ledger before anything is sent, has one
 * attempt in flight, and its outcome is recorded.
 */
#include "core/core-private.h"

#include <string.h>
#include <xxhash.h>

/* Timeout of calls to the store, for which reservations have to wait. */
#define STORE_TIMEOUT_MS 250
/* How long to wait for an outcome after "unknown" was answered. */
#define LINGER_US (60 * G_USEC_PER_SEC)
/*
 * Maximum length of the rows recorded as the result of an at-most-once read.  A
 * repeated request is answered with the recorded result.
 */
#define MAX_RECORDED_BYTES 16384

static void handle_claim(void *data, const struct rr_claim_result *result);

void rr_start_ledger(struct rr_context *ctx, struct rr_core *core)
{
	struct rr_ledger_options options = {
		.instance = core->instance,
		.incarnation = core->incarnation,
		.buckets = core->config->ledger_buckets,
		.retention_s = core->config->reservation_retention_s,
		.call_timeout_ms = STORE_TIMEOUT_MS,
		.store = core->store,
		.claimed = handle_claim,
		.data = core,
		.next_call_id = &core->next_call_id,
	};

	if (!core->ledger) {
		core->ledger = rr_new_ledger(ctx, &options);
		core->ledger_buckets = options.buckets;
		return;
	}
	rr_set_ledger_retention(core->ledger, options.retention_s);
	/*
	 * With a different number of buckets an id would be looked up where it
	 * was not written, and could be claimed twice.
	 */
	if (core->ledger_buckets != options.buckets)
		rr_log(ctx, RR_LOG_ERROR, "ledger-buckets-changed",
		       RR_FIELD_U64("in_use", core->ledger_buckets),
		       RR_FIELD_U64("configured", options.buckets),
		       RR_FIELD_STRING("reason",
				       "takes effect when all instances are "
				       "replaced together"));
}

/*
 * Return a hash of the request, by which the ledger detects that an idempotency
 * key is used again for a different request.
 */
static uint64_t get_fingerprint(const struct rr_query *query)
{
	uint64_t seed = XXH3_64bits(query->body, strlen(query->body));

	seed = XXH3_64bits_withSeed(&query->key, sizeof(query->key), seed);
	return XXH3_64bits_withSeed(&query->kind, sizeof(query->kind), seed);
}

void rr_claim_query(struct rr_context *ctx, struct rr_core *core,
		    struct rr_query *query, int64_t wall_us)
{
	query->stage = RR_QUERY_CLAIMING;
	query->claim_id = rr_claim_request_id(
		ctx, core->ledger, core->now_us, wall_us, query->service->name,
		query->idempotency_key, get_fingerprint(query));
	g_hash_table_insert(
		core->queries_by_claim,
		g_memdup2(&query->claim_id, sizeof(query->claim_id)), query);
}

static void release_claim(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query)
{
	if (!query->claim_acquired)
		return;
	/*
	 * A claim is released only with proof that nothing ran: otherwise a
	 * repeated request could run a second time.
	 */
	rr_invariant("at-most-once", !query->n_maybe_run);
	query->claim_acquired = false;
	rr_release_claim(ctx, core->ledger, core->now_us, query->claim_id);
}

static void abandon_claim(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query)
{
	if (!query->claim_acquired)
		return;
	query->claim_acquired = false;
	rr_abandon_claim(ctx, core->ledger, query->claim_id);
}

/*
 * End an at-most-once query whose claim was not acquired, or is no longer held.
 */
static void answer_unclaimed(struct rr_context *ctx, struct rr_core *core,
			     struct rr_query *query, enum rr_outcome outcome,
			     const char *reason)
{
	if (query->answered)
		rr_end_query(ctx, core, query);
	else
		rr_answer_query(ctx, core, query, outcome, reason);
}

static void answer_replayed(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query,
			    const struct rr_claim_result *result)
{
	struct rr_answer answer = {
		.outcome = RR_COMPLETE,
		.replayed = true,
	};

	if (!query->answered) {
		query->result = result->result ?
					g_strndup(result->result,
						  result->result_length) :
					g_strdup("null");
		answer.result = query->result;
		rr_deliver_answer(ctx, core, query, &answer);
	}
	rr_end_query(ctx, core, query);
}

/*
 * The claim was acquired: send the request, unless the caller was answered or
 * has disconnected.
 */
static void send_claimed(struct rr_context *ctx, struct rr_core *core,
			 struct rr_query *query)
{
	query->claim_acquired = true;
	if (query->answered || query->cancelled) {
		release_claim(ctx, core, query);
		rr_end_query(ctx, core, query);
		return;
	}
	query->stage = RR_QUERY_RUNNING;
	rr_begin_query(ctx, core, query);
}

/*
 * RR_INVALID for a rejection that a retry with the same id cannot change, as
 * the caller's id is wrong.
 */
static enum rr_outcome get_rejection_outcome(const char *reason)
{
	static const char *const invalid_reasons[] = {
		"id-used-for-another-request",
		"id-malformed",
		"id-from-the-future",
		"id-too-old",
	};

	/* An earlier request with the same id may have run. */
	if (!g_strcmp0(reason, RR_REASON_STORE_RESTORED))
		return RR_UNKNOWN;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_reasons); i++) {
		if (!g_strcmp0(reason, invalid_reasons[i]))
			return RR_INVALID;
	}
	return RR_NOT_RUN;
}

static void log_claim(struct rr_context *ctx, const struct rr_query *query,
		      const struct rr_claim_result *result)
{
	static const char *const names[] = {
		[RR_CLAIM_ACQUIRED] = "ours",
		[RR_CLAIM_DONE] = "done",
		[RR_CLAIM_HELD] = "held",
		[RR_CLAIM_REJECTED] = "refused",
		[RR_CLAIM_UNRESOLVED] = "unsettled",
	};

	rr_log(ctx, RR_LOG_DECISION, "claim",
	       RR_FIELD_STRING("request", query->request_id),
	       RR_FIELD_U64("query", query->id),
	       RR_FIELD_STRING("status", names[result->status]),
	       RR_FIELD_STRING("reason", result->reason));
}

static void handle_claim(void *data, const struct rr_claim_result *result)
{
	struct rr_core *core = data;
	struct rr_context *ctx = core->ctx;
	struct rr_query *query =
		g_hash_table_lookup(core->queries_by_claim, &result->claim_id);

	if (!query)
		return;
	g_hash_table_remove(core->queries_by_claim, &result->claim_id);
	log_claim(ctx, query, result);
	query->retry_after_ms =
		MAX(query->retry_after_ms, result->retry_after_ms);
	switch (result->status) {
	case RR_CLAIM_ACQUIRED:
		send_claimed(ctx, core, query);
		return;
	case RR_CLAIM_DONE:
		answer_replayed(ctx, core, query, result);
		return;
	case RR_CLAIM_HELD:
		answer_unclaimed(ctx, core, query, RR_UNKNOWN,
				 "claimed-before");
		return;
	case RR_CLAIM_REJECTED:
		answer_unclaimed(ctx, core, query,
				 get_rejection_outcome(result->reason),
				 result->reason);
		return;
	case RR_CLAIM_UNRESOLVED:
		/*
		 * Nothing was sent for this request, but an earlier one with
		 * the same id may have run, so that "not run" might be false.
		 */
		answer_unclaimed(ctx, core, query, RR_UNKNOWN, result->reason);
		return;
	}
}

/*
 * Return the result to record for an at-most-once read: its rows, or null rows
 * if they are longer than MAX_RECORDED_BYTES.
 */
static char *format_rows(const struct rr_query *query)
{
	GArray *rows = rr_sorted_rows(query, query->max_rows);
	GString *text = g_string_new("{\"rows\":[");

	for (guint i = 0; i < rows->len && text->len < MAX_RECORDED_BYTES;
	     i++) {
		struct rr_answer_row *row =
			&g_array_index(rows, struct rr_answer_row, i);
		size_t length;
		const char *json = rr_row_json(row->rows, row->index, &length);

		g_string_append_printf(
			text, "%s{\"key\":%" G_GUINT64_FORMAT ",\"row\":",
			i ? "," : "", rr_row_key(row->rows, row->index));
		g_string_append_len(text, json, (gssize)length);
		g_string_append_c(text, '}');
	}
	g_string_append(text, "]}");
	g_array_unref(rows);
	if (text->len >= MAX_RECORDED_BYTES)
		g_string_assign(text, "{\"rows\":null}");
	return g_string_free(text, FALSE);
}

static void record_result(struct rr_context *ctx, struct rr_core *core,
			  struct rr_query *query)
{
	if (!query->claim_acquired)
		return;
	if (query->kind != RR_RESERVE) {
		g_free(query->result);
		query->result = format_rows(query);
	}
	query->claim_acquired = false;
	rr_record_claim_result(ctx, core->ledger, core->now_us, query->claim_id,
			       query->result, strlen(query->result));
}

static void answer_complete(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query)
{
	struct rr_answer answer = {
		.outcome = RR_COMPLETE,
		.index_version = query->result_version,
		.result = query->result,
	};

	if (query->kind != RR_RESERVE) {
		rr_answer_query(ctx, core, query, RR_COMPLETE, NULL);
		return;
	}
	rr_deliver_answer(ctx, core, query, &answer);
	rr_end_query(ctx, core, query);
}

static const char *first_missing_reason(const struct rr_query *query)
{
	for (size_t i = 0; i < query->n_tasks; i++) {
		if (query->tasks[i].status == RR_TASK_FAILED)
			return rr_missing_reason_name(query->tasks[i].reason);
	}
	return NULL;
}

void rr_finish_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query)
{
	enum rr_outcome outcome;

	if (query->n_covered == query->n_tasks) {
		record_result(ctx, core, query);
		if (query->answered)
			rr_end_query(ctx, core, query);
		else
			answer_complete(ctx, core, query);
		return;
	}
	if (!query->n_maybe_run) {
		release_claim(ctx, core, query);
		outcome = RR_NOT_RUN;
	} else {
		abandon_claim(ctx, core, query);
		outcome = query->n_covered ? RR_PARTIAL : RR_UNKNOWN;
	}
	answer_unclaimed(ctx, core, query, outcome,
			 first_missing_reason(query));
}

/* Fail the tasks of which no attempt or relay was sent. */
static void fail_unsent_tasks(struct rr_context *ctx, struct rr_core *core,
			      struct rr_query *query)
{
	for (uint32_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];
		bool sent = task->relay ||
			    (task->n_live &&
			     task->live[0]->status == RR_ATTEMPT_SENT);

		if (task->status == RR_TASK_COVERED ||
		    task->status == RR_TASK_FAILED || sent)
			continue;
		rr_mark_task_failed(ctx, core, query, i,
				    task->status == RR_TASK_BACKOFF ?
					    task->reason :
					    RR_MISSING_DEADLINE);
	}
}

static void start_lingering(struct rr_core *core, struct rr_query *query)
{
	query->stage = RR_QUERY_LINGERING;
	rr_set_timer(core->timers, core->now_us + LINGER_US, RR_TIMER_LINGER,
		     query->id, 0);
}

static void answer_unknown(struct rr_context *ctx, struct rr_core *core,
			   struct rr_query *query, const char *reason)
{
	struct rr_answer answer = {
		.outcome = RR_UNKNOWN,
		.reason = reason,
	};

	if (!query->origin && !query->answered)
		rr_deliver_answer(ctx, core, query, &answer);
}

void rr_end_at_most_once_at_deadline(struct rr_context *ctx,
				     struct rr_core *core,
				     struct rr_query *query)
{
	if (query->stage == RR_QUERY_CLAIMING) {
		/* The claim may still be acquired; it is released then. */
		answer_unknown(ctx, core, query, "claim-pending");
		return;
	}
	fail_unsent_tasks(ctx, core, query);
	if (!query->n_open) {
		rr_schedule_query(core, query);
		return;
	}
	answer_unknown(ctx, core, query, "deadline");
	start_lingering(core, query);
}

void rr_cancel_at_most_once(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query)
{
	query->cancelled = true;
	if (query->stage != RR_QUERY_RUNNING)
		return;
	fail_unsent_tasks(ctx, core, query);
	rr_schedule_query(core, query);
	if (query->n_open)
		start_lingering(core, query);
}

void rr_end_lingering_query(struct rr_context *ctx, struct rr_core *core,
			    struct rr_query *query)
{
	for (uint32_t i = 0; i < query->n_tasks; i++) {
		struct rr_task *task = &query->tasks[i];

		if (task->status != RR_TASK_COVERED &&
		    task->status != RR_TASK_FAILED)
			rr_mark_task_failed(ctx, core, query, i,
					    RR_MISSING_LOST);
	}
	rr_schedule_query(core, query);
}
