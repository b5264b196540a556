/*
 * gate-attempt.c - attempts: sending a request to a replica, retries, hedges
 * and cancellation.
 */
#include "core/gate-private.h"

void rr_free_attempt(gpointer data)
{
	struct rr_gate_attempt *attempt = data;

	rr_drop_endpoint(attempt->endpoint);
	g_free(attempt);
}

void rr_remove_attempt(struct rr_gate *gate, struct rr_gate_attempt *attempt)
{
	g_hash_table_steal(gate->attempts, &attempt->id);
	g_queue_unlink(&attempt->endpoint->in_flight, &attempt->endpoint_link);
	rr_note_attempt_ended(gate, attempt->endpoint);
	if (!attempt->request)
		return;
	g_queue_unlink(&attempt->request->in_flight, &attempt->request_link);
	attempt->request->parts[attempt->part].n_in_flight--;
}

void rr_trace_attempt(const struct rr_gate *gate, struct rr_gate_request *req,
		      const struct rr_gate_attempt *attempt,
		      enum rr_trace_event_kind kind, const char *reason,
		      uint32_t status)
{
	const struct rr_endpoint *endpoint = attempt->endpoint;
	struct rr_trace_event event = {
		.at_us = gate->now_us,
		.kind = kind,
		.reason = reason,
		.service = endpoint->service->name,
		.endpoint = endpoint->incarnation,
		.attempt = attempt->id,
		.status = status,
		.in_flight = endpoint->in_flight.length,
		.slowness =
			rr_decayed_slowness(&endpoint->health, gate->now_us),
		.pace_percent = endpoint->pace_percent,
		.extras_left = rr_extras_left(&endpoint->service->retry_budget,
					      gate->now_us),
	};

	rr_add_trace_event(&req->trace, &event);
}

static void trace_part(const struct rr_gate *gate, struct rr_gate_request *req,
		       const struct rr_gate_part *part,
		       enum rr_trace_event_kind kind, const char *reason)
{
	struct rr_trace_event event = {
		.at_us = gate->now_us,
		.kind = kind,
		.reason = reason,
		.service = part->service->name,
		.extras_left = rr_extras_left(&part->service->retry_budget,
					      gate->now_us),
	};

	rr_add_trace_event(&req->trace, &event);
}

static void cancel_attempt(struct rr_context *ctx, struct rr_gate *gate,
			   struct rr_gate_attempt *attempt, const char *reason)
{
	if (attempt->request)
		rr_trace_attempt(gate, attempt->request, attempt,
				 RR_TRACE_CANCELLED, reason, 0);
	rr_count(ctx, RR_N_ATTEMPTS_CANCELLED, 1);
	gate->actions.cancel(gate->actions.data, attempt->id);
	rr_remove_attempt(gate, attempt);
	rr_note_attempt_cancelled(ctx, gate, attempt->endpoint);
	rr_free_attempt(attempt);
}

static void set_timer(struct rr_gate *gate, int64_t due_us,
		      enum rr_timer_kind kind, uint64_t id)
{
	rr_set_timer(gate->timers, due_us, kind, id, 0);
}

/*
 * Return how long after sending an attempt to hedge it: the less of the retry
 * budget is left, the later.
 */
static int64_t hedge_delay_us(const struct rr_gate *gate,
			      const struct rr_gate_request *req,
			      const struct rr_gate_part *part)
{
	const struct rr_gate_policy *policy = &gate->policy;
	int64_t typical_us =
		rr_typical_attempt_us(gate, req->stats, req->route);
	int64_t min_delay_us = rr_sketch_quantile_us(&req->stats->attempt_times,
						     policy->hedge_quantile);
	double max_delay_us = policy->hedge_dear_factor * (double)typical_us;
	int64_t latest_delay_us;

	if (!min_delay_us)
		min_delay_us = (int64_t)(policy->hedge_guess_factor *
					 (double)typical_us);
	min_delay_us = MAX(min_delay_us, policy->hedge_least_us);
	/* A hedge sent later could hardly answer in time. */
	latest_delay_us =
		req->answer_by_us - 2 * typical_us - part->last_sent_us;
	return rr_hedge_threshold_us(
		rr_retry_budget_used_fraction(&part->service->retry_budget,
					      gate->now_us),
		min_delay_us, MIN((int64_t)max_delay_us, latest_delay_us));
}

static void send_attempt(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_request *req, size_t index,
			 struct rr_endpoint *endpoint, const char *reason)
{
	struct rr_gate_part *part = &req->parts[index];
	struct rr_gate_attempt *attempt = g_new0(struct rr_gate_attempt, 1);
	struct rr_gate_attempt_info send = { 0 };

	attempt->id = ++gate->next_id;
	attempt->request = req;
	attempt->part = index;
	attempt->endpoint = rr_keep_endpoint(endpoint);
	attempt->stats = req->stats;
	attempt->fingerprint = req->fingerprint;
	attempt->sent_us = gate->now_us;
	attempt->idempotent = req->route->idempotent;
	attempt->in_flight_at_send = endpoint->in_flight.length + 1;
	attempt->uses_budget = part->n_reached > 0;
	attempt->endpoint_link.data = attempt;
	attempt->request_link.data = attempt;
	g_hash_table_insert(gate->attempts, &attempt->id, attempt);
	rr_note_attempt_started(gate, endpoint);
	rr_charge_cold_quota(gate, endpoint);
	g_queue_push_tail_link(&endpoint->in_flight, &attempt->endpoint_link);
	g_queue_push_tail_link(&req->in_flight, &attempt->request_link);
	part->tried[part->n_tried++] = endpoint->number;
	part->n_reached++;
	part->n_may_have_run++;
	part->n_in_flight++;
	part->last_sent_us = gate->now_us;
	req->n_may_have_run++;
	rr_count(ctx, RR_N_ATTEMPTS, 1);
	rr_trace_attempt(gate, req, attempt, RR_TRACE_SENT, reason, 0);
	send.attempt = attempt->id;
	send.request = req->id;
	send.endpoint = endpoint->id;
	send.incarnation = endpoint->incarnation;
	send.address = endpoint->address;
	send.idempotent = attempt->idempotent;
	send.max_idle_connections =
		rr_max_idle_connections(gate, endpoint->service->name);
	send.forwarded = req->forwarded;
	send.account = req->account;
	send.priority = req->priority;
	send.forward_deadline_us = MAX(req->answer_by_us - gate->now_us, 0);
	send.deadline_ms =
		req->deadline_us ?
			MAX(req->deadline_us - gate->now_us, 0) / 1000 :
			-1;
	if (req->route->idempotent && !req->forwarded &&
	    gate->policy.hedge_slow)
		set_timer(gate, gate->now_us + hedge_delay_us(gate, req, part),
			  RR_TIMER_GATE_HEDGE, attempt->id);
	gate->actions.send(gate->actions.data, &send);
}

static void enqueue_part(const struct rr_gate *gate,
			 struct rr_gate_request *req, size_t index)
{
	struct rr_gate_part *part = &req->parts[index];
	struct rr_queue_entry entry = {
		.request = req->id,
		.part = (uint32_t)index,
		.priority = req->priority,
		.flow = req->flow,
		.since_us = gate->now_us,
		.answer_by_us = req->answer_by_us,
	};

	if (part->queued)
		return;
	trace_part(gate, req, part, RR_TRACE_QUEUED, "no-room");
	part->queued = true;
	rr_push_queue_entry(&part->service->wait_queue, &entry);
}

static bool may_send(const struct rr_gate_request *req,
		     const struct rr_gate_part *part)
{
	if (req->caller_closed || req->key_revoked ||
	    part->status != RR_PART_PENDING)
		return false;
	if (part->n_tried >= RR_MAX_TRIED)
		return false;
	if (req->canary && req->in_flight.length)
		return false;
#ifndef RR_MUTANT_GATE_REPEAT_ONCE
	if (!req->route->idempotent && part->n_may_have_run)
		return false;
#endif
	/* Crashed replicas do not count against max_attempts. */
	return part->n_may_have_run <
	       req->route->max_attempts + part->n_crashed;
}

/*
 * Trace a reason unless it is the last one traced for the part: a hedge that
 * waits for retry budget is retried often.
 */
static void trace_not_sent(const struct rr_gate *gate,
			   struct rr_gate_request *req,
			   struct rr_gate_part *part, const char *reason)
{
	if (part->not_sent_reason == reason)
		return;
	part->not_sent_reason = reason;
	trace_part(gate, req, part, RR_TRACE_NOT_SENT, reason);
}

static const char *choice_reason(const struct rr_gate_part *part,
				 enum rr_choice choice)
{
	if (choice == RR_CHOICE_FULL)
		return "no-room";
	if (choice == RR_CHOICE_COLD)
		return "cold";
	return rr_is_service_evacuated(part->service) ? RR_REASON_EVACUATED :
							"no-replica";
}

bool rr_try_send_part(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req, size_t index,
		      const char *reason)
{
	struct rr_gate_part *part = &req->parts[index];
	bool extra = part->n_reached > 0;
	struct rr_endpoint *endpoint;
	enum rr_choice choice;

	if (!may_send(req, part))
		return false;
	rr_update_split_service(ctx, gate, req, part);
#ifndef RR_MUTANT_GATE_NO_BUDGET
	if (extra &&
	    rr_extras_left(&part->service->retry_budget, gate->now_us) < 1) {
		trace_not_sent(gate, req, part, RR_REASON_NO_RETRY_BUDGET);
		return false;
	}
#endif
	choice = rr_choose_endpoint(ctx, gate, req, part, &endpoint);
	if (choice == RR_CHOICE_FULL && !part->n_in_flight)
		enqueue_part(gate, req, index);
	if (choice != RR_CHOSEN) {
		trace_not_sent(gate, req, part, choice_reason(part, choice));
		return false;
	}
	if (extra)
		rr_take_extra(&part->service->retry_budget, gate->now_us);
	send_attempt(ctx, gate, req, index, endpoint, reason);
	return true;
}

static void retry_queued_part(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_gate_request *req, size_t index)
{
	struct rr_gate_part *part = &req->parts[index];

	part->queued = false;
	if (rr_try_send_part(ctx, gate, req, index, "room") || part->queued)
		return;
	/* A canary has at most one attempt in flight, of any part. */
	if (req->canary) {
		if (!req->in_flight.length && !req->n_unresolved)
			rr_send_canary(ctx, gate, req);
		return;
	}
	if (part->status == RR_PART_PENDING && !part->n_in_flight)
		rr_fail_part(req, part);
	rr_advance_request(ctx, gate, req);
}

/* Try to send the next queued part.  Return false if no part is queued. */
static bool retry_first_queued(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_gate_service *service)
{
	struct rr_gate_request *req;
	struct rr_queue_entry entry;

	if (!rr_pop_queue_entry(&service->wait_queue, gate->now_us,
				service->typical_us, &entry))
		return false;
	req = rr_find_request(gate, entry.request);
	if (req)
		retry_queued_part(ctx, gate, req, entry.part);
	return true;
}

void rr_send_queued_parts(struct rr_context *ctx, struct rr_gate *gate,
			  struct rr_gate_service *service)
{
	guint n = service->wait_queue.entries->len;

	while (n-- && rr_service_has_capacity(gate, service) &&
	       retry_first_queued(ctx, gate, service))
		;
}

void rr_flush_queued_parts(struct rr_context *ctx, struct rr_gate *gate,
			   struct rr_gate_service *service)
{
	guint n = service->wait_queue.entries->len;

	while (n-- && retry_first_queued(ctx, gate, service))
		;
}

void rr_handle_hedge_timer(struct rr_context *ctx, struct rr_gate *gate,
			   uint64_t id)
{
	struct rr_gate_attempt *attempt =
		g_hash_table_lookup(gate->attempts, &id);
	struct rr_gate_request *req = attempt ? attempt->request : NULL;
	struct rr_gate_part *part;
	int64_t due_us;

	if (!req || req->canary)
		return;
	part = &req->parts[attempt->part];
	if (part->last_sent_us != attempt->sent_us || !may_send(req, part))
		return;
	due_us = part->last_sent_us + hedge_delay_us(gate, req, part);
	if (gate->now_us < due_us) {
		set_timer(gate, due_us, RR_TIMER_GATE_HEDGE, id);
		return;
	}
	rr_observe_overdue(&attempt->endpoint->health, gate->now_us,
			   gate->now_us - attempt->sent_us,
			   rr_typical_attempt_us(gate, req->stats, req->route));
	rr_note_attempt_overdue(ctx, gate, attempt->endpoint);
	if (rr_try_send_part(ctx, gate, req, attempt->part, "hedge")) {
		rr_count(ctx, RR_N_HEDGES, 1);
		return;
	}
	if (gate->now_us + gate->policy.hedge_check_us < req->expires_us)
		set_timer(gate, gate->now_us + gate->policy.hedge_check_us,
			  RR_TIMER_GATE_HEDGE, id);
}

/*
 * Cancel the attempts of a part that was answered by another one.  Guards
 * against replicas that, after a pause or while slow, process attempts whose
 * result is no longer needed while needed ones queue behind them.
 */
void rr_cancel_losers(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req, size_t index)
{
	GList *next;

	for (GList *l = req->in_flight.head; l; l = next) {
		struct rr_gate_attempt *attempt = l->data;

		next = l->next;
		if (attempt->part != index || !attempt->idempotent)
			continue;
		rr_observe_overdue(
			&attempt->endpoint->health, gate->now_us,
			gate->now_us - attempt->sent_us,
			rr_typical_attempt_us(gate, req->stats, req->route));
		cancel_attempt(ctx, gate, attempt, "lost-to-another");
	}
}

/* Allow another attempt at a replica whose attempt was cancelled. */
static void remove_tried(struct rr_gate_part *part, uint64_t number)
{
	for (uint8_t i = 0; i < part->n_tried; i++) {
		if (part->tried[i] == number) {
			part->tried[i] = part->tried[--part->n_tried];
			return;
		}
	}
}

void rr_cancel_other_attempts(struct rr_context *ctx, struct rr_gate *gate,
			      struct rr_gate_request *req,
			      const struct rr_gate_attempt *kept,
			      const char *reason)
{
	GList *next;

	for (GList *l = req->in_flight.head; l; l = next) {
		struct rr_gate_attempt *attempt = l->data;

		next = l->next;
		if (attempt == kept || !attempt->idempotent)
			continue;
		remove_tried(&req->parts[attempt->part],
			     attempt->endpoint->number);
		cancel_attempt(ctx, gate, attempt, reason);
	}
}

void rr_cancel_unsent(struct rr_context *ctx, struct rr_gate *gate,
		      struct rr_gate_request *req)
{
	GList *next;

	for (GList *l = req->in_flight.head; l; l = next) {
		struct rr_gate_attempt *attempt = l->data;

		next = l->next;
		if (!gate->actions.cancel_unsent(gate->actions.data,
						 attempt->id))
			continue;
		rr_trace_attempt(gate, req, attempt, RR_TRACE_CANCELLED,
				 "not-sent-yet", 0);
		req->parts[attempt->part].n_may_have_run--;
		req->parts[attempt->part].n_reached--;
		req->n_may_have_run--;
		rr_remove_attempt(gate, attempt);
		rr_note_attempt_lost(ctx, gate, attempt->endpoint,
				     RR_LOSS_UNREACHABLE);
		rr_free_attempt(attempt);
	}
}

void rr_detach_attempts(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_request *req)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&req->in_flight))) {
		struct rr_gate_attempt *attempt = link->data;

		req->parts[attempt->part].n_in_flight--;
		attempt->request = NULL;
		/*
		 * An attempt that is not idempotent is never cancelled: its
		 * outcome is worth knowing, and the replica stops it at its
		 * deadline.
		 */
		if (attempt->idempotent)
			cancel_attempt(ctx, gate, attempt, "request-over");
	}
}
