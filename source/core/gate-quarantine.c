/*
 * gate-quarantine.c - queries of death: detection, canary requests, quarantine
 * and trials.
 *
 * When a replica closes the connection of an attempt, the replica is probed.
 * If it is down, it has crashed, and the request is suspected: it continues as
 * a canary, with one attempt in flight, until an attempt completes or crashes
 * another replica.  A quarantined request is rejected, except for a few trials
 * that instances claim through the store.
 */
#include "core/gate-private.h"

/* Maximum number of closed attempts kept per replica while it is probed. */
#define MAX_CLOSED 64
/* Reasons reported in responses and log lines. */
#define CRASHES_REPLICAS "crashes-replicas"
#define IN_QUARANTINE "quarantined"

struct rr_quarantine *
rr_new_gate_quarantine(const struct rr_gate_policy *policy)
{
	struct rr_quarantine_options options = {
		.crash_threshold = policy->quarantine_crashes,
		.hold_us = policy->quarantine_hold_us,
		.harmless_us = policy->quarantine_harmless_us,
	};

	return rr_new_quarantine(&options);
}

static void log_record(struct rr_context *ctx, const struct rr_gate *gate,
		       const struct rr_quarantine_record *record,
		       enum rr_log_level level, const char *event,
		       const char *reason)
{
	char fingerprint[RR_FINGERPRINT_TEXT_SIZE];
	char *crashed = g_strjoinv(",", (char **)record->crashed);

	rr_format_fingerprint(&record->fingerprint, fingerprint);
	rr_log(ctx, level, event, RR_FIELD_STRING("fingerprint", fingerprint),
	       RR_FIELD_STRING("reason", reason),
	       RR_FIELD_U64("crashed", record->n_crashed),
	       RR_FIELD_STRING("endpoints", crashed),
	       RR_FIELD_I64("age_us", gate->now_us - record->first_crash_us),
	       RR_FIELD_U64("trials", record->trials));
	g_free(crashed);
}

static void set_quarantine_gauge(struct rr_context *ctx,
				 const struct rr_gate *gate)
{
	rr_set_gauge(ctx, RR_G_REQUESTS_IN_QUARANTINE,
		     rr_count_quarantined(gate->quarantine));
}

static void release_record(struct rr_context *ctx, struct rr_gate *gate,
			   const struct rr_quarantine_record *record,
			   enum rr_log_level level, const char *reason)
{
	log_record(ctx, gate, record, level, "request-released", reason);
	rr_remove_quarantine_record(gate->quarantine, &record->fingerprint);
	set_quarantine_gauge(ctx, gate);
}

static struct rr_gate_request *
find_request_by_fingerprint(const struct rr_gate *gate,
			    const struct rr_fingerprint *fingerprint)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_gate_request *req = value;

		if (rr_same_fingerprint(&req->fingerprint, fingerprint))
			return req;
	}
	return NULL;
}

static void publish_record(struct rr_gate *gate,
			   struct rr_quarantine_record *record, bool released)
{
	struct rr_quarantine_entry entry = rr_make_quarantine_entry(record);
	struct rr_quarantine_report report = {
		.entry = &entry,
		.released = released,
	};

	record->n_published = record->n_crashed;
	record->quarantine_published = record->quarantined;
	record->maybe_stored = true;
	gate->actions.report(gate->actions.data, &report);
}

/*
 * Publishes a quarantine at once, but a suspicion only when the request has
 * ended without a completed attempt.  Guards against a write for each request
 * that was merely in flight at a crashed replica: it usually completes at
 * another one.
 */
static void publish_if_due(struct rr_gate *gate,
			   struct rr_quarantine_record *record)
{
	bool is_unpublished = record->quarantined ?
				      !record->quarantine_published :
				      record->n_published < record->n_crashed;

#ifdef RR_MUTANT_GATE_KEEPS_CRASHES_TO_ITSELF
	return;
#endif
	if (is_unpublished &&
	    (record->quarantined ||
	     !find_request_by_fingerprint(gate, &record->fingerprint)))
		publish_record(gate, record, false);
}

/* Fails all requests with a fingerprint, which cancels their attempts. */
static void
fail_requests_by_fingerprint(struct rr_context *ctx, struct rr_gate *gate,
			     const struct rr_fingerprint *fingerprint)
{
	struct rr_gate_request *req;

	while ((req = find_request_by_fingerprint(gate, fingerprint))) {
		req->final_rejection = true;
		rr_fail_request(ctx, gate, req, IN_QUARANTINE);
	}
}

/*
 * Quarantines a fingerprint and fails its requests if its crashes suffice, and
 * publishes its record if that is due.
 */
static void quarantine_and_publish(struct rr_context *ctx, struct rr_gate *gate,
				   struct rr_quarantine_record *record)
{
	struct rr_fingerprint fingerprint = record->fingerprint;

	if (rr_quarantine_if_confirmed(gate->quarantine, gate->now_us,
				       record)) {
		rr_count(ctx, RR_N_REQUESTS_QUARANTINED, 1);
		log_record(ctx, gate, record, RR_LOG_WARNING,
			   "request-quarantined", CRASHES_REPLICAS);
		set_quarantine_gauge(ctx, gate);
		fail_requests_by_fingerprint(ctx, gate, &fingerprint);
	}
	/* Looked up again in case ending the requests removed the record. */
	record = rr_find_quarantine_record(gate->quarantine, &fingerprint);
	if (record)
		publish_if_due(gate, record);
}

/* Canary requests. */

void rr_send_canary(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *req)
{
	for (size_t i = 0; i < req->n_parts; i++) {
		if (req->parts[i].status == RR_PART_PENDING &&
		    (rr_try_send_part(ctx, gate, req, i, "canary") ||
		     req->parts[i].queued))
			return;
	}
	rr_fail_request(ctx, gate, req,
			req->n_closed ? CRASHES_REPLICAS : "no-replica");
}

/*
 * Whether a request is to continue as a canary.  Requires a confirmed crash,
 * see rr_resolve_closed_attempts().  Guards against serialising requests to
 * replicas that only lose responses.
 */
static bool is_suspicious(const struct rr_gate *gate,
			  const struct rr_gate_request *req)
{
#ifdef RR_MUTANT_GATE_SENDS_ALL_AT_ONCE
	return false;
#endif
	return !req->completed && req->n_crashed &&
	       !rr_is_harmless(gate->quarantine, gate->now_us,
			       &req->fingerprint);
}

/*
 * Returns the latest attempt if it was sent after the first close, or NULL.  A
 * crash confirms the suspicion only if its attempt was sent after an earlier
 * crash, see rr_add_crash().
 */
static struct rr_gate_attempt *find_canary(const struct rr_gate_request *req)
{
	struct rr_gate_attempt *latest =
		g_queue_peek_tail((GQueue *)&req->in_flight);

	return latest && latest->sent_us >= req->first_close_us ? latest : NULL;
}

static void become_canary(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_gate_request *req)
{
	req->canary = true;
	rr_cancel_other_attempts(ctx, gate, req, find_canary(req), "suspected");
	if (!req->in_flight.length)
		rr_send_canary(ctx, gate, req);
}

/* Continues a request after the probe of a replica that closed its attempt. */
static void resolve_attempt(struct rr_context *ctx, struct rr_gate *gate,
			    const struct rr_closed_attempt *attempt,
			    bool crashed)
{
	struct rr_gate_request *req = rr_find_request(gate, attempt->request);

	if (!req)
		return;
	req->n_unresolved--;
	req->n_crashed += crashed;
	req->parts[attempt->part].n_crashed += crashed;
	if (!req->canary) {
		if (is_suspicious(gate, req))
			become_canary(ctx, gate, req);
		return;
	}
	if (req->in_flight.length || req->n_unresolved)
		return;
	if (crashed)
		rr_fail_request(ctx, gate, req, CRASHES_REPLICAS);
	else
		rr_send_canary(ctx, gate, req);
}

bool rr_handle_canary_failure(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_gate_request *req)
{
	if (!req->canary && !is_suspicious(gate, req))
		return false;
	if (!req->canary)
		become_canary(ctx, gate, req);
	else if (!req->in_flight.length && !req->n_unresolved)
		rr_send_canary(ctx, gate, req);
	return true;
}

void rr_end_canary(struct rr_context *ctx, struct rr_gate *gate,
		   struct rr_gate_request *req, size_t index)
{
	req->completed = true;
	if (!req->canary)
		return;
	req->canary = false;
	for (size_t i = 0; i < req->n_parts; i++) {
		struct rr_gate_part *part = &req->parts[i];

		if (i == index || part->status != RR_PART_PENDING ||
		    part->n_in_flight || part->queued)
			continue;
		if (!rr_try_send_part(ctx, gate, req, i, "canary-answered") &&
		    !part->queued)
			rr_fail_part(req, part);
	}
}

bool rr_start_canary(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *req)
{
	if (!req->trial &&
	    (rr_quarantine_is_empty(gate->quarantine) ||
	     !rr_find_quarantine_record(gate->quarantine, &req->fingerprint)))
		return false;
	req->canary = true;
	rr_send_canary(ctx, gate, req);
	return true;
}

void rr_note_attempt_closed(struct rr_context *ctx, struct rr_gate *gate,
			    const struct rr_gate_attempt *attempt)
{
	struct rr_endpoint *endpoint = attempt->endpoint;
	struct rr_gate_request *req = attempt->request;
	struct rr_closed_attempt closed = {
		.crash = {
			.fingerprint = attempt->fingerprint,
			.sent_us = attempt->sent_us,
			.closed_us = gate->now_us,
		},
		.request = req ? req->id : 0,
		.part = attempt->part,
	};

	if (req && !req->n_closed++)
		req->first_close_us = gate->now_us;
	/* Draining and unlisted replicas are expected to exit. */
	if (!gate->policy.quarantine_known ||
	    endpoint->service == gate->coordinators || !endpoint->listed ||
	    endpoint->draining || !rr_is_fingerprint_set(&attempt->fingerprint))
		return;
	if (!endpoint->closed_attempts)
		endpoint->closed_attempts = g_array_new(
			FALSE, FALSE, sizeof(struct rr_closed_attempt));
	if (endpoint->closed_attempts->len == MAX_CLOSED)
		return;
	g_array_append_val(endpoint->closed_attempts, closed);
	if (req)
		req->n_unresolved++;
	if (endpoint->closed_attempts->len == 1)
		gate->actions.probe(gate->actions.data, endpoint->incarnation,
				    endpoint->address);
}

static void note_crash(struct rr_context *ctx, struct rr_gate *gate,
		       const struct rr_crash *crash, const char *incarnation)
{
	struct rr_quarantine_record *record = rr_add_crash(
		gate->quarantine, gate->now_us, crash, incarnation);

	if (!record)
		return;
	log_record(ctx, gate, record, RR_LOG_INFO, "request-suspected",
		   "replica-crashed");
	quarantine_and_publish(ctx, gate, record);
}

void rr_resolve_closed_attempts(struct rr_context *ctx, struct rr_gate *gate,
				struct rr_endpoint *endpoint, bool reached)
{
	GArray *closed = g_steal_pointer(&endpoint->closed_attempts);

	if (!closed)
		return;
#ifdef RR_MUTANT_GATE_TAKES_CLOSES_FOR_CRASHES
	reached = false;
#endif
	if (!reached) {
		rr_count(ctx, RR_N_REPLICA_CRASHES, 1);
		rr_log(ctx, RR_LOG_WARNING, "replica-crashed",
		       RR_FIELD_STRING("endpoint", endpoint->incarnation),
		       RR_FIELD_STRING("service", endpoint->service->name),
		       RR_FIELD_U64("requests", closed->len));
	}
	for (guint i = 0; i < closed->len; i++) {
		const struct rr_closed_attempt *attempt =
			&g_array_index(closed, struct rr_closed_attempt, i);

		if (!reached)
			note_crash(ctx, gate, &attempt->crash,
				   endpoint->incarnation);
		resolve_attempt(ctx, gate, attempt, !reached);
	}
	g_array_unref(closed);
}

void rr_note_attempt_completed(struct rr_context *ctx, struct rr_gate *gate,
			       const struct rr_gate_attempt *attempt)
{
	struct rr_quarantine_record *record;

	if (attempt->endpoint->service == gate->coordinators ||
	    !rr_is_fingerprint_set(&attempt->fingerprint))
		return;
	rr_mark_harmless(gate->quarantine, gate->now_us, &attempt->fingerprint);
	if (rr_quarantine_is_empty(gate->quarantine))
		return;
	record = rr_find_quarantine_record(gate->quarantine,
					   &attempt->fingerprint);
	if (!record)
		return;
	if (record->maybe_stored)
		publish_record(gate, record, true);
	release_record(ctx, gate, record,
		       record->quarantined ? RR_LOG_WARNING : RR_LOG_INFO,
		       "ran-to-its-end");
}

/* Quarantine and trials. */

static void reject_quarantined(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_gate_request *req)
{
	const struct rr_quarantine_record *record =
		rr_find_quarantine_record(gate->quarantine, &req->fingerprint);
	int64_t wait_us = record ? record->next_trial_us - gate->now_us : 0;

	/* If no time until a trial remains, Retry-After is drawn as usual. */
	if (wait_us > 0)
		req->retry_after_ms = (uint32_t)MIN(wait_us / 1000, G_MAXINT32);
	req->final_rejection = true;
	rr_count(ctx, RR_N_QUARANTINE_REJECTED, 1);
	rr_fail_request(ctx, gate, req, IN_QUARANTINE);
}

static void claim_trial(struct rr_gate *gate, struct rr_gate_request *req,
			struct rr_quarantine_record *record)
{
	struct rr_quarantine_entry entry = rr_make_quarantine_entry(record);
	struct rr_quarantine_report report = { .entry = &entry, .claim = true };

	entry.trials++;
	record->claimant_id = req->id;
	req->claim_pending = true;
	rr_set_timer(gate->timers,
		     gate->now_us + gate->policy.quarantine_claim_us,
		     RR_TIMER_GATE_CLAIM_TIMEOUT, req->id, 0);
	if (req->expires_us != INT64_MAX)
		rr_set_timer(gate->timers, req->expires_us,
			     RR_TIMER_GATE_ADVANCE, req->id, 0);
	gate->actions.report(gate->actions.data, &report);
}

enum rr_quarantine_step rr_check_quarantine(struct rr_context *ctx,
					    struct rr_gate *gate,
					    struct rr_gate_request *req)
{
	struct rr_quarantine_record *record;

	if (rr_quarantine_is_empty(gate->quarantine))
		return RR_QUARANTINE_PASS;
	record = rr_find_quarantine_record(gate->quarantine, &req->fingerprint);
	if (!record)
		return RR_QUARANTINE_PASS;
#ifdef RR_MUTANT_GATE_IGNORES_QUARANTINE
	return RR_QUARANTINE_PASS;
#endif
	if (!record->quarantined)
		return RR_QUARANTINE_PASS;
#ifdef RR_MUTANT_GATE_TRIES_AT_WILL
	req->trial = true;
	return RR_QUARANTINE_PASS;
#endif
	if (record->trials >= gate->policy.quarantine_trials ||
	    gate->now_us < record->next_trial_us || record->claimant_id) {
		reject_quarantined(ctx, gate, req);
		return RR_QUARANTINE_REJECTED;
	}
	claim_trial(gate, req, record);
	return RR_QUARANTINE_CLAIMING;
}

void rr_handle_claim_timeout(struct rr_context *ctx, struct rr_gate *gate,
			     uint64_t id)
{
	struct rr_gate_request *req = rr_find_request(gate, id);

	if (req && req->claim_pending)
		reject_quarantined(ctx, gate, req);
}

void rr_drop_pending_claim(struct rr_gate *gate,
			   const struct rr_gate_request *req)
{
	struct rr_quarantine_record *record =
		rr_find_quarantine_record(gate->quarantine, &req->fingerprint);

	if (record && record->claimant_id == req->id)
		record->claimant_id = 0;
}

void rr_gate_handle_trial_claim_result(struct rr_context *ctx,
				       struct rr_gate *gate, int64_t now_us,
				       const struct rr_quarantine_entry *entry,
				       bool granted)
{
	struct rr_quarantine_record *record = rr_find_quarantine_record(
		gate->quarantine, &entry->fingerprint);
	struct rr_gate_request *req;

	gate->now_us = now_us;
	if (!record)
		return;
	req = rr_find_request(gate, record->claimant_id);
	record->claimant_id = 0;
	if (granted)
		rr_raise_trial_count(gate->quarantine, now_us, record,
				     entry->trials);
	if (!req || !req->claim_pending)
		return;
	req->claim_pending = false;
	if (!granted) {
		reject_quarantined(ctx, gate, req);
		return;
	}
	log_record(ctx, gate, record, RR_LOG_WARNING, "request-tried",
		   "hold-over");
	req->trial = true;
	rr_start_request(ctx, gate, req);
}

void rr_gate_apply_quarantine(struct rr_context *ctx, struct rr_gate *gate,
			      int64_t now_us,
			      const struct rr_fingerprint *fingerprint,
			      const struct rr_quarantine_entry *entry)
{
	struct rr_quarantine_record *record =
		rr_find_quarantine_record(gate->quarantine, fingerprint);
	bool was_quarantined = record && record->quarantined;

	gate->now_us = now_us;
	if (!entry) {
		if (record)
			release_record(ctx, gate, record, RR_LOG_INFO,
				       "entry-removed");
		return;
	}
	record = rr_merge_quarantine_entry(gate->quarantine, now_us, entry);
	if (record->quarantined && !was_quarantined) {
		log_record(ctx, gate, record, RR_LOG_WARNING,
			   "request-quarantined", "reported");
		set_quarantine_gauge(ctx, gate);
		fail_requests_by_fingerprint(ctx, gate, fingerprint);
	}
	record = rr_find_quarantine_record(gate->quarantine, fingerprint);
	if (record)
		quarantine_and_publish(ctx, gate, record);
}

void rr_publish_suspicion(struct rr_context *ctx, struct rr_gate *gate,
			  const struct rr_fingerprint *fingerprint)
{
	struct rr_quarantine_record *record;

	if (rr_quarantine_is_empty(gate->quarantine))
		return;
	record = rr_find_quarantine_record(gate->quarantine, fingerprint);
	if (record)
		publish_if_due(gate, record);
}

void rr_gate_republish_quarantine(struct rr_gate *gate, int64_t now_us,
				  const struct rr_fingerprint *fingerprint)
{
	struct rr_quarantine_record *record =
		rr_find_quarantine_record(gate->quarantine, fingerprint);

	gate->now_us = now_us;
	if (record)
		publish_record(gate, record, false);
}
