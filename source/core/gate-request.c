/*
 * gate-request.c - processing of a request from admission to its answer.
 *
 * Statuses 503, 429, 408 and 421 guarantee that a request has not run and never
 * will.  They are used only if no attempt was sent or each was rejected with
 * proof.  Otherwise the status is 502 (outcome unknown) or 504 (timed out).
 * Only an idempotent request gets a replica's own status without proof.
 */
#include "core/gate-private.h"

#include <string.h>

struct rr_gate_request *rr_find_request(const struct rr_gate *gate, uint64_t id)
{
	return g_hash_table_lookup(gate->requests, &id);
}

void rr_free_request(gpointer data)
{
	struct rr_gate_request *req = data;

	rr_clear_trace(&req->trace);
	rr_clear_top_records(&req->top_records);
	if (req->signatures)
		g_string_free(req->signatures, TRUE);
	rr_drop_route_table(req->route_table);
	g_free(req->parts);
	g_free(req->account);
	g_free(req->key);
	g_free(req->request_id);
	g_free(req);
}

/* Free a request that was answered or abandoned; its attempts are detached. */
static void end_request(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *req)
{
	struct rr_fingerprint fingerprint = req->fingerprint;

	rr_release_request_allowance(ctx, gate, req);
	rr_detach_attempts(ctx, gate, req);
	if (req->claim_pending)
		rr_drop_pending_claim(gate, req);
	g_hash_table_remove(gate->requests, &req->id);
	rr_publish_suspicion(ctx, gate, &fingerprint);
}

static bool guarantees_not_run(uint16_t status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static void send_answer(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *req,
			struct rr_gate_answer *answer)
{
	answer->request = req->id;
	if (guarantees_not_run(answer->status) &&
	    (answer->kind == RR_GATE_LOCAL_ANSWER || !req->route->idempotent))
		rr_invariant("not-run", req->n_may_have_run == 0);
	gate->actions.answer(gate->actions.data, answer);
	/* Log after answering: logging can take longer than the answer. */
	rr_log_request(ctx, gate, req, answer);
	end_request(ctx, gate, req);
}

void rr_answer_locally(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_request *req, uint16_t status,
		       const char *reason)
{
	struct rr_gate_answer answer = {
		.kind = RR_GATE_LOCAL_ANSWER,
		.status = status,
		.reason = reason,
		.missing = req->n_parts - req->n_answered,
#ifndef RR_MUTANT_GATE_KEEPS_CALLERS
		/*
		 * Guards against callers that keep retrying on the same
		 * connection: only a new connection can lead to an instance
		 * that is not isolated.
		 */
		.close_connection =
			gate->isolated && gate->policy.answer_ends_when_cut,
#endif
	};

	if (guarantees_not_run(status))
		answer.retry_after_ms = rr_draw_retry_after_ms(
			ctx, gate,
			req->deadline_us ?
				MAX(req->deadline_us - gate->now_us, 0) :
				gate->policy.retry_base_us);
	if (answer.retry_after_ms && req->retry_after_ms)
		answer.retry_after_ms = req->retry_after_ms;
	send_answer(ctx, gate, req, &answer);
}

/*
 * Guards against requests that run twice: a replica that has run a request and
 * answers with one of the statuses that guarantee the opposite would make its
 * caller send the request again.
 */
void rr_proxy_reply(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *req,
		    const struct rr_gate_reply *reply)
{
	struct rr_gate_answer answer = {
		.kind = RR_GATE_PROXIED_ANSWER,
		.status = reply->status,
		.reason = "replied",
		.message = reply->message,
	};

#ifndef RR_MUTANT_GATE_PASSES_ON_PROMISE
	if (!req->route->idempotent && guarantees_not_run(reply->status)) {
		rr_answer_locally(ctx, gate, req, 502, "rejected-unproven");
		return;
	}
#endif
	send_answer(ctx, gate, req, &answer);
}

static void send_merged_answer(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_gate_request *req)
{
	struct rr_gate_answer answer = {
		.kind = RR_GATE_MERGED_ANSWER,
		.status = 200,
		.reason = req->n_answered == req->n_parts ? "whole" : "partial",
		.signatures = req->signatures->str,
		.missing = req->n_parts - req->n_answered,
		.body = req->top_records.records,
		.length = req->top_records.n * RR_RECORD_BYTES,
	};

	rr_invariant("coverage", req->n_answered >= req->n_required);
	rr_count(ctx,
		 answer.missing ? RR_N_ANSWERS_PARTIAL : RR_N_ANSWERS_COMPLETE,
		 1);
	send_answer(ctx, gate, req, &answer);
}

void rr_merge_part_reply(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_request *req, struct rr_gate_part *part,
			 const struct rr_gate_reply *reply)
{
	rr_add_part_records(&req->top_records, reply->body, reply->length);
	if (req->signatures->len)
		g_string_append(req->signatures, ", ");
	g_string_append(req->signatures, reply->signature);
	part->status = RR_PART_ANSWERED;
	req->n_answered++;
	req->last_part_us = gate->now_us;
	rr_advance_request(ctx, gate, req);
}

void rr_fail_part(struct rr_gate_request *req, struct rr_gate_part *part)
{
	part->status = RR_PART_FAILED;
	req->n_failed++;
}

/* Count pending parts without attempts in flight or an eligible replica. */
static size_t count_unreachable(const struct rr_gate *gate,
				const struct rr_gate_request *req)
{
	size_t n = 0;

	for (size_t i = 0; i < req->n_parts; i++) {
		const struct rr_gate_part *part = &req->parts[i];

		if (part->status == RR_PART_PENDING && !part->n_in_flight &&
		    !rr_is_service_reachable(gate, part->service))
			n++;
	}
	return n;
}

static bool has_reached_replica(const struct rr_gate_request *req)
{
	for (size_t i = 0; i < req->n_parts; i++) {
		if (req->parts[i].n_reached)
			return true;
	}
	return false;
}

/*
 * Reject a request that has not run.  The final status guards against a search
 * that is forwarded from one coordinator to the next while no shard has
 * capacity: each would count its attempts from zero, and together they would
 * send the shards more attempts than allowed.
 */
static void reject_request(struct rr_context *ctx, struct rr_gate *gate,
			   struct rr_gate_request *req, const char *reason,
			   bool overloaded)
{
	bool final = req->from_peer && (overloaded || req->final_rejection ||
					has_reached_replica(req));

	rr_answer_locally(ctx, gate, req,
			  final ? RR_STATUS_FINAL_REJECTION : 503, reason);
}

void rr_fail_request(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *req, const char *reason)
{
	rr_cancel_unsent(ctx, gate, req);
#ifdef RR_MUTANT_GATE_FALSE_PROMISE
	req->n_may_have_run = 0;
#endif
	if (!req->n_may_have_run)
		reject_request(ctx, gate, req, reason, false);
	else if (gate->now_us >= req->expires_us)
		rr_answer_locally(ctx, gate, req, 504, reason);
	else
		rr_answer_locally(ctx, gate, req, 502, reason);
}

static void advance_gather(struct rr_context *ctx, struct rr_gate *gate,
			   struct rr_gate_request *req)
{
	struct rr_gather_state state = {
		.now_us = gate->now_us,
		.answer_by_us = req->answer_by_us,
		.parts = req->n_parts,
		.answered = req->n_answered,
		.failed = req->n_failed,
		.required = req->n_required,
	};

	if (gate->now_us >= req->expires_us) {
		if (req->n_answered >= req->n_required)
			send_merged_answer(ctx, gate, req);
		else
			rr_fail_request(ctx, gate, req, "time-over");
		return;
	}
	if (req->n_answered >= req->n_required)
		state.unreachable = count_unreachable(gate, req);
	switch (rr_decide_gather(&state)) {
	case RR_GATHER_WAIT:
		return;
	case RR_GATHER_ANSWER:
		send_merged_answer(ctx, gate, req);
		return;
	case RR_GATHER_FAIL:
		rr_fail_request(ctx, gate, req, "too-few-parts");
		return;
	}
}

void rr_advance_request(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *req)
{
	if (req->allowance_pending) {
		if (gate->now_us >= req->expires_us)
			rr_fail_request(ctx, gate, req, "time-over");
		return;
	}
	if (req->claim_pending) {
#ifndef RR_MUTANT_GATE_CLAIM_OUTLASTS_DEADLINE
		if (gate->now_us >= req->expires_us)
			rr_handle_claim_timeout(ctx, gate, req->id);
#endif
		return;
	}
	if (req->route->mode == RR_ROUTE_GATHER && !req->forwarded) {
		advance_gather(ctx, gate, req);
		return;
	}
	if (req->n_failed)
		rr_fail_request(ctx, gate, req, "no-replica");
	else if (gate->now_us >= req->expires_us)
		rr_fail_request(ctx, gate, req, "time-over");
	else if (req->forwarded && !rr_await_forward(ctx, gate, req))
		rr_fail_request(ctx, gate, req, "strong-instance-silent");
}

static struct rr_route_stats *get_route_stats(struct rr_gate *gate,
					      const struct rr_route *route)
{
	struct rr_route_stats *stats =
		g_hash_table_lookup(gate->route_stats, route->name);

	if (!stats) {
		stats = g_new0(struct rr_route_stats, 1);
		g_hash_table_insert(gate->route_stats, g_strdup(route->name),
				    stats);
	}
	return stats;
}

static void add_part(struct rr_gate *gate, struct rr_gate_request *req,
		     const char *service)
{
	struct rr_gate_part *part = &req->parts[req->n_parts++];

	part->service = rr_get_gate_service(gate, service);
}

static void add_parts(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req)
{
	const struct rr_route *route = req->route;
	size_t chosen;

	if (route->mode == RR_ROUTE_PROXY) {
		chosen = route->n_parts > 1 ?
				 rr_choose_split_part(ctx, req->stats, route) :
				 0;
		req->parts = g_new0(struct rr_gate_part, 1);
		add_part(gate, req, route->parts[chosen].service);
		req->n_required = 1;
		return;
	}
	req->parts = g_new0(struct rr_gate_part, route->n_parts);
	for (size_t i = 0; i < route->n_parts; i++)
		add_part(gate, req, route->parts[i].service);
	req->n_required = rr_required_parts(route->n_parts, route->min_share);
	req->signatures = g_string_new(NULL);
	rr_init_top_records(&req->top_records, route->top_k);
}

static const char *admission_reason(enum rr_admission admission)
{
	switch (admission) {
	case RR_ADMIT_OVERLOADED:
		return "overrun";
	case RR_ADMIT_EVACUATED:
		return RR_REASON_EVACUATED;
	default:
		return "no-replica";
	}
}

/* Send the first attempt of each part; parts that cannot be sent fail. */
static void start_parts(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *req)
{
	enum rr_admission admission = rr_admit_request(gate, req);
	bool overloaded = admission == RR_ADMIT_OVERLOADED;

	if (admission != RR_ADMITTED && !req->n_may_have_run) {
		rr_count(ctx, RR_N_REQUESTS_REJECTED, 1);
		reject_request(ctx, gate, req, admission_reason(admission),
			       overloaded);
		return;
	}
	rr_earn_retry_budget(gate, req);
	if (rr_start_canary(ctx, gate, req))
		return;
	for (size_t i = 0; i < req->n_parts; i++) {
		struct rr_gate_part *part = &req->parts[i];

		if (!rr_try_send_part(ctx, gate, req, i, "first") &&
		    !part->queued)
			rr_fail_part(req, part);
	}
	rr_advance_request(ctx, gate, req);
}

void rr_serve_locally(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req)
{
	g_clear_pointer(&req->parts, g_free);
	req->forwarded = false;
	req->n_parts = 0;
	req->n_failed = 0;
	add_parts(ctx, gate, req);
	start_parts(ctx, gate, req);
}

void rr_start_request(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req)
{
	uint64_t id = req->id;

	if (req->from_peer || req->trial || !rr_prepare_forward(gate, req))
		add_parts(ctx, gate, req);
	rr_set_timer(gate->timers,
		     req->forwarded ? rr_forward_due_us(gate, req) :
				      req->answer_by_us,
		     RR_TIMER_GATE_ADVANCE, id, 0);
	if (req->expires_us != req->answer_by_us &&
	    req->expires_us != INT64_MAX)
		rr_set_timer(gate->timers, req->expires_us,
			     RR_TIMER_GATE_ADVANCE, id, 0);
	if (req->forwarded &&
	    !rr_try_send_part(ctx, gate, req, 0, "handed-over")) {
		rr_serve_locally(ctx, gate, req);
		return;
	}
	if (!req->forwarded)
		start_parts(ctx, gate, req);
}

/* Reject a request that matches no route or arrives before routes are known. */
static uint64_t reject_unrouted(struct rr_context *ctx, struct rr_gate *gate,
				const struct rr_gate_request_info *info,
				uint16_t status, const char *reason)
{
	struct rr_gate_answer answer = {
		.request = ++gate->next_id,
		.kind = RR_GATE_LOCAL_ANSWER,
		.status = status,
		.reason = reason,
	};
	char fingerprint[RR_FINGERPRINT_TEXT_SIZE];

	rr_format_fingerprint(&info->fingerprint, fingerprint);
	if (guarantees_not_run(status))
		answer.retry_after_ms = rr_draw_retry_after_ms(
			ctx, gate,
			info->deadline_ms >= 0 ? info->deadline_ms * 1000 :
						 gate->policy.retry_base_us);
	rr_log(ctx, RR_LOG_INFO, "turned-away",
	       RR_FIELD_STRING("request", info->request_id),
	       RR_FIELD_STRING("fingerprint", fingerprint),
	       RR_FIELD_STRING("instance", gate->instance),
	       RR_FIELD_U64("status", status),
	       RR_FIELD_STRING("reason", reason),
	       RR_FIELD_STRING("host", info->host),
	       RR_FIELD_U64("version",
			    gate->route_table ?
				    rr_route_table_version(gate->route_table) :
				    0));
	gate->actions.answer(gate->actions.data, &answer);
	return answer.request;
}

void rr_pass_request(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *req)
{
	if (rr_check_quarantine(ctx, gate, req) == RR_QUARANTINE_PASS)
		rr_start_request(ctx, gate, req);
}

uint64_t rr_gate_submit(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, const struct rr_gate_request_info *info)
{
	const struct rr_route *route;
	struct rr_gate_request *req;
	const char *reason;
	uint16_t status;
	uint64_t id;

	gate->now_us = now_us;
	rr_update_peers(ctx, gate);
	rr_count(ctx, RR_N_REQUESTS, 1);
	if (!gate->route_table)
		return reject_unrouted(ctx, gate, info, 503, "no-routes");
	route = rr_find_route(gate->route_table, info->host, info->path,
			      info->path_length);
	if (!route)
		return reject_unrouted(ctx, gate, info, 404, "no-route");
	req = g_new0(struct rr_gate_request, 1);
	req->id = id = ++gate->next_id;
	req->request_id = g_strdup(info->request_id ? info->request_id : "");
	req->fingerprint = info->fingerprint;
	req->route_table = rr_keep_route_table(gate->route_table);
	req->route = route;
	req->stats = get_route_stats(gate, route);
	g_queue_init(&req->in_flight);
	rr_init_trace(&req->trace);
	req->routes_age_us = now_us - gate->routes_applied_us;
	req->from_peer = info->forward_deadline_us >= 0;
	status = rr_authenticate_request(gate, req, info, &reason);
	if (status) {
		if (status == 401)
			rr_count(ctx,
				 info->key ? RR_N_REQUESTS_UNKNOWN_KEY :
					     RR_N_REQUESTS_NO_KEY,
				 1);
		rr_free_request(req);
		return reject_unrouted(ctx, gate, info, status, reason);
	}
	g_hash_table_insert(gate->requests, &req->id, req);
	rr_set_request_deadlines(gate, req, info);
	if (rr_take_request_allowance(ctx, gate, req))
		rr_pass_request(ctx, gate, req);
	return id;
}

static void trace_caller_closed(const struct rr_gate *gate,
				struct rr_gate_request *req, const char *reason)
{
	struct rr_trace_event event = {
		.at_us = gate->now_us,
		.kind = RR_TRACE_CALLER_CLOSED,
		.reason = reason,
	};

	rr_add_trace_event(&req->trace, &event);
}

void rr_gate_half_close(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, uint64_t request)
{
	struct rr_gate_request *req = rr_find_request(gate, request);

	gate->now_us = now_us;
	if (!req || req->caller_closed)
		return;
	req->caller_closed = true;
	trace_caller_closed(gate, req, "half-closed");
	/* An attempt that may run at most once is not cut short. */
	if (!req->route->idempotent)
		return;
	req->expires_us =
		MIN(req->expires_us, now_us + gate->policy.answer_left_us);
	rr_set_timer(gate->timers, req->expires_us, RR_TIMER_GATE_ADVANCE,
		     req->id, 0);
}

void rr_gate_limit_answers(struct rr_gate *gate, int64_t now_us,
			   int64_t answer_by_us)
{
	GHashTableIter iter;
	gpointer value;

	gate->now_us = now_us;
	gate->last_answer_us = answer_by_us;
	g_hash_table_iter_init(&iter, gate->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_gate_request *req = value;

		rr_limit_request_deadlines(gate, req);
		rr_set_timer(gate->timers, req->expires_us,
			     RR_TIMER_GATE_ADVANCE, req->id, 0);
	}
}

void rr_gate_abandon(struct rr_context *ctx, struct rr_gate *gate,
		     int64_t now_us, uint64_t request)
{
	const struct rr_gate_answer answer = { .reason = "caller-gone" };
	struct rr_gate_request *req = rr_find_request(gate, request);

	gate->now_us = now_us;
	if (!req)
		return;
	req->caller_closed = true;
	trace_caller_closed(gate, req, "closed");
	rr_log_request(ctx, gate, req, &answer);
	end_request(ctx, gate, req);
}
