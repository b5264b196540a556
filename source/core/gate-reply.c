/*
 * gate-reply.c - handling of replies to attempts.
 *
 * A reply updates the health of its replica and then advances its request.
 */
#include "core/gate-private.h"

/* Record the latency of an answer that is not an error of the replica. */
static void record_latency(struct rr_gate *gate,
			   const struct rr_gate_attempt *attempt,
			   int64_t elapsed_us)
{
	struct rr_endpoint *endpoint = attempt->endpoint;
	struct rr_limit_bounds bounds = rr_endpoint_bounds(gate, endpoint);
	int64_t typical_us =
		rr_sketch_quantile_us(&attempt->stats->attempt_times, 0.5);

	rr_observe_answer(&endpoint->health, gate->now_us, elapsed_us,
			  typical_us);
	rr_add_latency(&attempt->stats->attempt_times, elapsed_us);
	if (!typical_us)
		return;
	attempt->endpoint->service->typical_us = typical_us;
	rr_adapt_limit(&endpoint->limit, &bounds,
		       (double)elapsed_us / (double)typical_us, 1,
		       attempt->in_flight_at_send);
}

static void record_rejection(struct rr_gate *gate, struct rr_endpoint *endpoint)
{
	rr_observe_rejection(&endpoint->health, gate->now_us);
	rr_shrink_limit(&endpoint->limit, gate->policy.limit_shed_shrink);
}

/* Update the health of a replica from a reply. */
static void track_reply(struct rr_context *ctx, struct rr_gate *gate,
			const struct rr_gate_attempt *attempt,
			const struct rr_gate_reply *reply)
{
	struct rr_endpoint *endpoint = attempt->endpoint;
	int64_t elapsed_us = gate->now_us - attempt->sent_us;

	switch (reply->outcome) {
	case RR_GATE_ANSWERED:
		if (reply->status >= 500 &&
		    endpoint->service != gate->coordinators) {
			rr_note_contact(ctx, gate, endpoint);
			rr_note_attempt_lost(ctx, gate, endpoint,
					     RR_LOSS_BROKEN);
			return;
		}
		rr_note_contact(ctx, gate, endpoint);
		record_latency(gate, attempt, elapsed_us);
		return;
	case RR_GATE_REJECTED:
		rr_note_contact(ctx, gate, endpoint);
		if (reply->wrong_incarnation)
			rr_retire_endpoint(ctx, gate, endpoint,
					   "other-instance");
		else
			record_rejection(gate, endpoint);
		return;
	case RR_GATE_UNSENT:
	case RR_GATE_BROKEN:
	case RR_GATE_NO_REPLY:
		rr_note_attempt_lost(ctx, gate, endpoint,
				     reply->unreachable ||
						     reply->outcome ==
							     RR_GATE_NO_REPLY ?
					     RR_LOSS_UNREACHABLE :
					     RR_LOSS_BROKEN);
		return;
	}
}

/* Undo the counts of an attempt that is proven not to have run. */
static void undo_counts(struct rr_gate_request *req, struct rr_gate_part *part,
			const struct rr_gate_attempt *attempt,
			const struct rr_gate_reply *reply, int64_t now_us)
{
	if (reply->outcome != RR_GATE_REJECTED &&
	    reply->outcome != RR_GATE_UNSENT)
		return;
	part->n_may_have_run--;
	req->n_may_have_run--;
	if (reply->outcome != RR_GATE_UNSENT)
		return;
	part->n_reached--;
	if (attempt->uses_budget)
		rr_return_extra(&attempt->endpoint->service->retry_budget,
				now_us);
}

static const char *outcome_name(const struct rr_gate_reply *reply)
{
	static const char *const names[] = {
		[RR_GATE_ANSWERED] = "answered", [RR_GATE_REJECTED] = "refused",
		[RR_GATE_UNSENT] = "unsent",	 [RR_GATE_BROKEN] = "broken",
		[RR_GATE_NO_REPLY] = "silent",
	};

	return names[reply->outcome];
}

/*
 * Handle the reply of another instance to a forwarded request.  An answer is
 * passed on, also if it reports a failure.  A request that was rejected or not
 * sent is sent to another coordinator or served here, unless the rejection is
 * final.
 */
static void handle_forward_reply(struct rr_context *ctx, struct rr_gate *gate,
				 struct rr_gate_request *req,
				 const struct rr_gate_reply *reply)
{
	switch (reply->outcome) {
	case RR_GATE_ANSWERED:
		rr_proxy_reply(ctx, gate, req, reply);
		return;
	case RR_GATE_REJECTED:
#ifndef RR_MUTANT_GATE_HANDS_ON_OVERRUN
		if (reply->status == RR_STATUS_FINAL_REJECTION) {
			rr_answer_locally(ctx, gate, req, 503, "refused-there");
			return;
		}
#endif
		G_GNUC_FALLTHROUGH;
	case RR_GATE_UNSENT:
		if (!rr_try_send_part(ctx, gate, req, 0, "repeat"))
			rr_serve_locally(ctx, gate, req);
		return;
	case RR_GATE_BROKEN:
	case RR_GATE_NO_REPLY:
#ifdef RR_MUTANT_GATE_SERVES_LOST_SEARCH
		rr_serve_locally(ctx, gate, req);
		return;
#endif
		/*
		 * The other instance may have spent the attempts allowed at
		 * each shard, so the search is not sent again.
		 */
		rr_fail_part(req, &req->parts[0]);
		rr_advance_request(ctx, gate, req);
		return;
	}
}

static void handle_reply(struct rr_context *ctx, struct rr_gate *gate,
			 struct rr_gate_request *req, size_t index,
			 const struct rr_gate_reply *reply)
{
	struct rr_gate_part *part = &req->parts[index];
	bool good = reply->outcome == RR_GATE_ANSWERED &&
		    reply->status >= 200 && reply->status < 300;

	if (part->status != RR_PART_PENDING)
		return;
	if (req->forwarded) {
		handle_forward_reply(ctx, gate, req, reply);
		return;
	}
	if (reply->outcome == RR_GATE_ANSWERED)
		rr_end_canary(ctx, gate, req, index);
	else if (rr_handle_canary_failure(ctx, gate, req))
		return;
	if (good && gate->policy.hedge_ends_losers)
		rr_cancel_losers(ctx, gate, req, index);
	if (good && req->route->mode == RR_ROUTE_GATHER) {
		rr_merge_part_reply(ctx, gate, req, part, reply);
		return;
	}
	if (good) {
		rr_proxy_reply(ctx, gate, req, reply);
		return;
	}
	if (rr_try_send_part(ctx, gate, req, index, "repeat")) {
		rr_count(ctx, RR_N_RETRIES, 1);
		return;
	}
	if (part->n_in_flight || part->queued)
		return;
	if (req->route->mode == RR_ROUTE_PROXY &&
	    reply->outcome == RR_GATE_ANSWERED) {
		rr_proxy_reply(ctx, gate, req, reply);
		return;
	}
	rr_fail_part(req, part);
	rr_advance_request(ctx, gate, req);
}

void rr_gate_reply(struct rr_context *ctx, struct rr_gate *gate, int64_t now_us,
		   const struct rr_gate_reply *reply)
{
	struct rr_gate_attempt *attempt =
		g_hash_table_lookup(gate->attempts, &reply->attempt);
	struct rr_gate_service *service;
	struct rr_gate_request *req;

	gate->now_us = now_us;
	if (!attempt) {
		rr_count(ctx, RR_N_LATE_REPLIES, 1);
		return;
	}
	req = attempt->request;
	service = attempt->endpoint->service;
	if (reply->load.reported)
		attempt->endpoint->pace_percent = reply->load.pace_percent;
	if (req)
		rr_trace_attempt(gate, req, attempt, RR_TRACE_REPLY,
				 outcome_name(reply), reply->status);
	if (reply->outcome == RR_GATE_BROKEN)
		rr_log_broken_attempt(ctx, gate, attempt);
	if (reply->connection_closed)
		rr_note_attempt_closed(ctx, gate, attempt);
	if (reply->outcome == RR_GATE_ANSWERED)
		rr_note_attempt_completed(ctx, gate, attempt);
	track_reply(ctx, gate, attempt, reply);
	rr_remove_attempt(gate, attempt);
	if (req) {
		undo_counts(req, &req->parts[attempt->part], attempt, reply,
			    now_us);
		handle_reply(ctx, gate, req, attempt->part, reply);
	}
	rr_free_attempt(attempt);
	rr_send_queued_parts(ctx, gate, service);
}

bool rr_redirect_unsent(struct rr_context *ctx, struct rr_gate *gate,
			struct rr_gate_attempt *attempt, const char *reason)
{
	const struct rr_gate_reply unsent = { .attempt = attempt->id,
					      .outcome = RR_GATE_UNSENT };
	struct rr_gate_request *req = attempt->request;

	if (!req ||
	    !gate->actions.cancel_unsent(gate->actions.data, attempt->id))
		return false;
	rr_trace_attempt(gate, req, attempt, RR_TRACE_CANCELLED, reason, 0);
	rr_remove_attempt(gate, attempt);
	undo_counts(req, &req->parts[attempt->part], attempt, &unsent,
		    gate->now_us);
	handle_reply(ctx, gate, req, attempt->part, &unsent);
	rr_free_attempt(attempt);
	return true;
}
