/*
 * gate-deadline.c - response deadlines and Retry-After values of requests.
 */
#include "core/gate-private.h"

uint32_t rr_draw_retry_after_ms(struct rr_context *ctx,
				const struct rr_gate *gate, int64_t left_us)
{
	double from = gate->policy.retry_from;
	double to = gate->policy.retry_to;
	double fraction = from + (to - from) * rr_random_unit(ctx);

	return MAX(1, (uint32_t)(fraction * (double)left_us / 1000));
}

/* Return the time reserved for sending the response. */
static int64_t write_reserve_us(const struct rr_gate *gate,
				int64_t objective_us)
{
	double fraction = (double)objective_us / gate->policy.answer_write_part;

	return MAX(gate->policy.answer_least_write_us, (int64_t)fraction);
}

void rr_set_request_deadlines(const struct rr_gate *gate,
			      struct rr_gate_request *req,
			      const struct rr_gate_request_info *info)
{
	int64_t objective_us = (int64_t)req->route->objective_ms * 1000;
	int64_t rtt_us = info->caller_rtt_us > 0 ?
				 info->caller_rtt_us :
				 gate->policy.answer_guessed_rtt_us;
	int64_t network_us = rtt_us;

	/*
	 * Guards against responses that are sent in time but arrive late: a
	 * caller measures from the start of its connect, one round trip before
	 * it could send.
	 */
#ifndef RR_MUTANT_GATE_FORGETS_CONNECT
	if (info->new_connection && gate->policy.answer_counts_connect)
		network_us += rtt_us;
#endif

	req->started_us = gate->now_us;
	req->expires_us = INT64_MAX;
	if (req->route->timeout_ms)
		req->expires_us =
			gate->now_us + (int64_t)req->route->timeout_ms * 1000;
	if (info->deadline_ms >= 0) {
		req->deadline_us = gate->now_us + info->deadline_ms * 1000;
		req->expires_us = MIN(req->expires_us, req->deadline_us);
	} else if (req->route->timeout_ms) {
		req->deadline_us = req->expires_us;
	}
	req->answer_by_us = req->expires_us;
	if (info->forward_deadline_us >= 0)
		req->answer_by_us =
			MIN(req->expires_us,
			    gate->now_us + info->forward_deadline_us -
				    gate->policy.answer_hand_back_us);
	else if (objective_us)
		req->answer_by_us =
			MIN(req->answer_by_us,
			    gate->now_us + objective_us - network_us -
				    write_reserve_us(gate, objective_us));
	rr_limit_request_deadlines(gate, req);
}

void rr_limit_request_deadlines(const struct rr_gate *gate,
				struct rr_gate_request *req)
{
#ifdef RR_MUTANT_GATE_EXITS_UNANSWERED
	return;
#endif
	req->expires_us = MIN(req->expires_us, gate->last_answer_us);
	req->answer_by_us = MIN(req->answer_by_us, gate->last_answer_us);
}

int64_t rr_forward_due_us(const struct rr_gate *gate,
			  const struct rr_gate_request *req)
{
	return req->answer_by_us + gate->policy.answer_hand_back_us;
}

int64_t rr_forward_patience_us(const struct rr_gate_request *req)
{
	return req->answer_by_us - req->started_us;
}
