/*
 * gate-request.c - the life of a gateway's request: taken or turned away, parts
 * gathered, answered.
 *
 * What is said of a request: 503 and 429 promise that it has not run and
 * never will, and are given only if no attempt left or each was refused with
 * proof.  Else 502 (its outcome is unknown) or 504 (its time is over).
 */
#include "core/gate-private.h"

#include <string.h>

struct rr_gate_request *rr_find_request(const struct rr_gate *gate, uint64_t id)
{
	return g_hash_table_lookup(gate->requests, &id);
}

void rr_free_request(gpointer data)
{
	struct rr_gate_request *run = data;

	rr_clear_trace(&run->trace);
	rr_clear_top_records(&run->top_records);
	if (run->signatures)
		g_string_free(run->signatures, TRUE);
	rr_drop_route_table(run->route_table);
	g_free(run->parts);
	g_free(run->request_id);
	g_free(run);
}

/* Answered or left: its attempts run out on their own. */
static void end_run(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *run)
{
	struct rr_fingerprint fingerprint = run->fingerprint;

	rr_detach_attempts(ctx, gate, run);
	if (run->claim_pending)
		rr_drop_pending_claim(gate, run);
	g_hash_table_remove(gate->requests, &run->id);
	rr_publish_suspicion(ctx, gate, &fingerprint);
}

static bool is_promise(uint16_t status)
{
	return status == 503 || status == 429;
}

static void give_answer(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *run,
			struct rr_gate_answer *answer)
{
	answer->request = run->id;
	if (is_promise(answer->status) && answer->kind == RR_GATE_LOCAL_ANSWER)
		rr_invariant("not-run", run->n_may_have_run == 0);
	gate->actions.answer(gate->actions.data, answer);
	/* Told afterwards: its lines take longer than many an answer. */
	rr_log_request(ctx, gate, run, answer);
	end_run(ctx, gate, run);
}

void rr_answer_locally(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_request *run, uint16_t status,
		       const char *reason)
{
	struct rr_gate_answer answer = {
		.kind = RR_GATE_LOCAL_ANSWER,
		.status = status,
		.reason = reason,
		.missing = run->n_parts - run->n_answered,
#ifndef RR_MUTANT_GATE_KEEPS_CALLERS
		/*
		 * Guards against callers that come again and again on the
		 * connection they have: only a new one leads to an instance
		 * that is not cut off.
		 */
		.close_connection =
			gate->isolated && gate->policy.answer_ends_when_cut,
#endif
	};

	if (is_promise(status))
		answer.retry_after_ms = rr_draw_retry_after_ms(
			ctx, gate,
			run->deadline_us ?
				MAX(run->deadline_us - gate->now_us, 0) :
				gate->policy.retry_base_us);
	if (answer.retry_after_ms && run->retry_after_ms)
		answer.retry_after_ms = run->retry_after_ms;
	give_answer(ctx, gate, run, &answer);
}

void rr_proxy_reply(struct rr_context *ctx, struct rr_gate *gate,
		    struct rr_gate_request *run,
		    const struct rr_gate_reply *reply)
{
	struct rr_gate_answer answer = {
		.kind = RR_GATE_PROXIED_ANSWER,
		.status = reply->status,
		.reason = "replied",
		.message = reply->message,
	};

	give_answer(ctx, gate, run, &answer);
}

static void answer_gathered(struct rr_context *ctx, struct rr_gate *gate,
			    struct rr_gate_request *run)
{
	struct rr_gate_answer answer = {
		.kind = RR_GATE_MERGED_ANSWER,
		.status = 200,
		.reason = run->n_answered == run->n_parts ? "whole" : "partial",
		.signatures = run->signatures->str,
		.missing = run->n_parts - run->n_answered,
		.body = run->top_records.records,
		.length = run->top_records.n * RR_RECORD_BYTES,
	};

	rr_invariant("coverage", run->n_answered >= run->n_required);
	rr_count(ctx,
		 answer.missing ? RR_N_ANSWERS_PARTIAL : RR_N_ANSWERS_COMPLETE,
		 1);
	give_answer(ctx, gate, run, &answer);
}

void rr_merge_part_reply(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_request *run, struct rr_gate_part *part,
			 const struct rr_gate_reply *reply)
{
	rr_add_part_records(&run->top_records, reply->body, reply->length);
	if (run->signatures->len)
		g_string_append(run->signatures, ", ");
	g_string_append(run->signatures, reply->signature);
	part->status = RR_PART_ANSWERED;
	run->n_answered++;
	run->last_part_us = gate->now_us;
	rr_advance_request(ctx, gate, run);
}

void rr_fail_part(struct rr_gate_request *run, struct rr_gate_part *part)
{
	part->status = RR_PART_FAILED;
	run->n_failed++;
}

/* Open parts from which nothing is expected: their replicas are silent. */
static size_t count_hopeless(const struct rr_gate *gate,
			     const struct rr_gate_request *run)
{
	size_t n = 0;

	for (size_t i = 0; i < run->n_parts; i++) {
		const struct rr_gate_part *part = &run->parts[i];

		if (part->status == RR_PART_PENDING && !part->n_in_flight &&
		    !rr_is_service_reachable(gate, part->service))
			n++;
	}
	return n;
}

static bool has_arrived(const struct rr_gate_request *run)
{
	for (size_t i = 0; i < run->n_parts; i++) {
		if (run->parts[i].n_reached)
			return true;
	}
	return false;
}

/*
 * Refuse what has not run.  Guards against a search that goes from one strong
 * instance to the next while no shard has room: each would count it anew, and
 * all together ask the shards more often than they may.
 */
static void refuse_run(struct rr_context *ctx, struct rr_gate *gate,
		       struct rr_gate_request *run, const char *reason,
		       bool no_room)
{
	bool final = run->from_peer &&
		     (no_room || run->final_rejection || has_arrived(run));

	rr_answer_locally(ctx, gate, run,
			  final ? RR_STATUS_FINAL_REJECTION : 503, reason);
}

void rr_fail_request(struct rr_context *ctx, struct rr_gate *gate,
		     struct rr_gate_request *run, const char *reason)
{
	rr_cancel_unsent(ctx, gate, run);
#ifdef RR_MUTANT_GATE_FALSE_PROMISE
	run->n_may_have_run = 0;
#endif
	if (!run->n_may_have_run)
		refuse_run(ctx, gate, run, reason, false);
	else if (gate->now_us >= run->expires_us)
		rr_answer_locally(ctx, gate, run, 504, reason);
	else
		rr_answer_locally(ctx, gate, run, 502, reason);
}

static void advance_gather(struct rr_context *ctx, struct rr_gate *gate,
			   struct rr_gate_request *run)
{
	struct rr_gather_state state = {
		.now_us = gate->now_us,
		.answer_by_us = run->answer_by_us,
		.parts = run->n_parts,
		.answered = run->n_answered,
		.failed = run->n_failed,
		.required = run->n_required,
	};

	if (gate->now_us >= run->expires_us) {
		if (run->n_answered >= run->n_required)
			answer_gathered(ctx, gate, run);
		else
			rr_fail_request(ctx, gate, run, "time-over");
		return;
	}
	if (run->n_answered >= run->n_required)
		state.unreachable = count_hopeless(gate, run);
	switch (rr_decide_gather(&state)) {
	case RR_GATHER_WAIT:
		return;
	case RR_GATHER_ANSWER:
		answer_gathered(ctx, gate, run);
		return;
	case RR_GATHER_FAIL:
		rr_fail_request(ctx, gate, run, "too-few-parts");
		return;
	}
}

void rr_advance_request(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *run)
{
	if (run->claim_pending)
		return;
	if (run->route->mode == RR_ROUTE_GATHER && !run->forwarded) {
		advance_gather(ctx, gate, run);
		return;
	}
	if (run->forwarded &&
	    gate->now_us >= rr_forward_expires_us(gate, run) &&
	    !run->n_failed) {
		rr_fail_request(ctx, gate, run, "strong-instance-silent");
		return;
	}
	if (run->n_failed)
		rr_fail_request(ctx, gate, run, "no-replica");
	else if (gate->now_us >= run->expires_us)
		rr_fail_request(ctx, gate, run, "time-over");
}

/*
 * Parts of a split in proportion to their weights: each request adds every
 * weight to its part's credit, and the part with most pays them all.  It
 * begins at random, so that instances do not all start with the same part.
 */
static size_t choose_split(struct rr_context *ctx,
			   struct rr_route_stats *record,
			   const struct rr_route *route)
{
	double sum = 0;
	size_t best = 0;

	if (record->n_credits != route->n_parts) {
		g_free(record->split_credits);
		record->split_credits = g_new0(double, route->n_parts);
		record->n_credits = route->n_parts;
		for (size_t i = 0; i < route->n_parts; i++)
			record->split_credits[i] =
				rr_random_unit(ctx) * route->parts[i].weight;
	}
	for (size_t i = 0; i < route->n_parts; i++) {
		record->split_credits[i] += route->parts[i].weight;
		sum += route->parts[i].weight;
		if (record->split_credits[i] > record->split_credits[best])
			best = i;
	}
	record->split_credits[best] -= sum;
	return best;
}

static struct rr_route_stats *record_of(struct rr_gate *gate,
					const struct rr_route *route)
{
	struct rr_route_stats *record =
		g_hash_table_lookup(gate->route_stats, route->name);

	if (!record) {
		record = g_new0(struct rr_route_stats, 1);
		g_hash_table_insert(gate->route_stats, g_strdup(route->name),
				    record);
	}
	return record;
}

static void add_part(struct rr_gate *gate, struct rr_gate_request *run,
		     const char *service)
{
	struct rr_gate_part *part = &run->parts[run->n_parts++];

	part->service = rr_get_gate_service(gate, service);
}

static void add_parts(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run)
{
	const struct rr_route *route = run->route;
	size_t chosen;

	if (route->mode == RR_ROUTE_PROXY) {
		chosen = route->n_parts > 1 ?
				 choose_split(ctx, run->stats, route) :
				 0;
		run->parts = g_new0(struct rr_gate_part, 1);
		add_part(gate, run, route->parts[chosen].service);
		run->n_required = 1;
		return;
	}
	run->parts = g_new0(struct rr_gate_part, route->n_parts);
	for (size_t i = 0; i < route->n_parts; i++)
		add_part(gate, run, route->parts[i].service);
	run->n_required = rr_required_parts(route->n_parts, route->min_share);
	run->signatures = g_string_new(NULL);
	rr_init_top_records(&run->top_records, route->top_k);
}

static const char *name_admission(enum rr_admission admission)
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

/* Send each part for the first time, or give it up. */
static void start_parts(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *run)
{
	enum rr_admission admission = rr_admit_request(gate, run);
	bool no_room = admission == RR_ADMIT_OVERLOADED;

	if (admission != RR_ADMITTED && !run->n_may_have_run) {
		rr_count(ctx, RR_N_REQUESTS_REJECTED, 1);
		refuse_run(ctx, gate, run, name_admission(admission), no_room);
		return;
	}
	rr_earn_retry_budget(gate, run);
	if (rr_start_canary(ctx, gate, run))
		return;
	for (size_t i = 0; i < run->n_parts; i++) {
		struct rr_gate_part *part = &run->parts[i];

		if (!rr_try_send_part(ctx, gate, run, i, "first") &&
		    !part->queued)
			rr_fail_part(run, part);
	}
	rr_advance_request(ctx, gate, run);
}

void rr_serve_locally(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run)
{
	g_clear_pointer(&run->parts, g_free);
	run->forwarded = false;
	run->n_parts = 0;
	run->n_failed = 0;
	add_parts(ctx, gate, run);
	start_parts(ctx, gate, run);
}

void rr_start_request(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *run)
{
	uint64_t id = run->id;

	if (run->from_peer || run->trial || !rr_prepare_forward(gate, run))
		add_parts(ctx, gate, run);
	rr_set_timer(gate->timers,
		     run->forwarded ? rr_forward_expires_us(gate, run) :
				      run->answer_by_us,
		     RR_TIMER_GATE_ADVANCE, id, 0);
	if (run->expires_us != run->answer_by_us &&
	    run->expires_us != INT64_MAX)
		rr_set_timer(gate->timers, run->expires_us,
			     RR_TIMER_GATE_ADVANCE, id, 0);
	if (run->forwarded &&
	    !rr_try_send_part(ctx, gate, run, 0, "handed-over")) {
		rr_serve_locally(ctx, gate, run);
		return;
	}
	if (!run->forwarded)
		start_parts(ctx, gate, run);
}

/* A request that no route takes, or that comes before any are known. */
static uint64_t turn_away(struct rr_context *ctx, struct rr_gate *gate,
			  const struct rr_gate_request_info *ask,
			  uint16_t status, const char *reason)
{
	struct rr_gate_answer answer = {
		.request = ++gate->next_id,
		.kind = RR_GATE_LOCAL_ANSWER,
		.status = status,
		.reason = reason,
	};
	char fingerprint[RR_FINGERPRINT_TEXT_SIZE];

	rr_format_fingerprint(&ask->fingerprint, fingerprint);
	if (is_promise(status))
		answer.retry_after_ms = rr_draw_retry_after_ms(
			ctx, gate,
			ask->deadline_ms >= 0 ? ask->deadline_ms * 1000 :
						gate->policy.retry_base_us);
	rr_log(ctx, RR_LOG_INFO, "turned-away",
	       RR_FIELD_STRING("request", ask->request_id),
	       RR_FIELD_STRING("fingerprint", fingerprint),
	       RR_FIELD_STRING("instance", gate->instance),
	       RR_FIELD_U64("status", status),
	       RR_FIELD_STRING("reason", reason),
	       RR_FIELD_STRING("host", ask->host),
	       RR_FIELD_U64("version",
			    gate->route_table ?
				    rr_route_table_version(gate->route_table) :
				    0));
	gate->actions.answer(gate->actions.data, &answer);
	return answer.request;
}

uint64_t rr_gate_submit(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, const struct rr_gate_request_info *ask)
{
	const struct rr_route *route;
	struct rr_gate_request *run;
	uint64_t id;

	gate->now_us = now_us;
	rr_update_peers(ctx, gate);
	rr_count(ctx, RR_N_REQUESTS, 1);
	if (!gate->route_table)
		return turn_away(ctx, gate, ask, 503, "no-routes");
	route = rr_find_route(gate->route_table, ask->host, ask->path,
			      ask->path_length);
	if (!route)
		return turn_away(ctx, gate, ask, 404, "no-route");
	run = g_new0(struct rr_gate_request, 1);
	run->id = id = ++gate->next_id;
	run->request_id = g_strdup(ask->request_id ? ask->request_id : "");
	run->fingerprint = ask->fingerprint;
	run->route_table = rr_keep_route_table(gate->route_table);
	run->route = route;
	run->stats = record_of(gate, route);
	g_queue_init(&run->in_flight);
	rr_init_trace(&run->trace);
	run->routes_age_us = now_us - gate->routes_applied_us;
	run->from_peer = ask->forward_deadline_us >= 0;
	g_hash_table_insert(gate->requests, &run->id, run);
	rr_set_request_deadlines(gate, run, ask);
	if (rr_check_quarantine(ctx, gate, run) == RR_QUARANTINE_PASS)
		rr_start_request(ctx, gate, run);
	return id;
}

static void note_left(const struct rr_gate *gate, struct rr_gate_request *run,
		      const char *reason)
{
	struct rr_trace_event step = {
		.at_us = gate->now_us,
		.kind = RR_TRACE_CALLER_CLOSED,
		.reason = reason,
	};

	rr_add_trace_event(&run->trace, &step);
}

void rr_gate_half_close(struct rr_context *ctx, struct rr_gate *gate,
			int64_t now_us, uint64_t request)
{
	struct rr_gate_request *run = rr_find_request(gate, request);

	gate->now_us = now_us;
	if (!run || run->caller_closed)
		return;
	run->caller_closed = true;
	note_left(gate, run, "half-closed");
	/* What may run once at most goes on to its end. */
	if (!run->route->idempotent)
		return;
	run->expires_us =
		MIN(run->expires_us, now_us + gate->policy.answer_left_us);
	rr_set_timer(gate->timers, run->expires_us, RR_TIMER_GATE_ADVANCE,
		     run->id, 0);
}

void rr_gate_abandon(struct rr_context *ctx, struct rr_gate *gate,
		     int64_t now_us, uint64_t request)
{
	const struct rr_gate_answer none = { .reason = "caller-gone" };
	struct rr_gate_request *run = rr_find_request(gate, request);

	gate->now_us = now_us;
	if (!run)
		return;
	run->caller_closed = true;
	note_left(gate, run, "closed");
	rr_log_request(ctx, gate, run, &none);
	end_run(ctx, gate, run);
}
