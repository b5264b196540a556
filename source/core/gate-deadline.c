/*
 * gate-deadline.c - when a request's answer has to leave, and when its caller is
 * asked back.
 */
#include "core/gate-private.h"

uint32_t rr_draw_retry_after_ms(struct rr_context *ctx,
				const struct rr_gate *gate, int64_t left_us)
{
	double from = gate->policy.retry_from;
	double to = gate->policy.retry_to;
	double part = from + (to - from) * rr_random_unit(ctx);

	return MAX(1, (uint32_t)(part * (double)left_us / 1000));
}

/* For an answer's way out. */
static int64_t kept_back_us(const struct rr_gate *gate, int64_t objective_us)
{
	double part = (double)objective_us / gate->policy.answer_write_part;

	return MAX(gate->policy.answer_least_write_us, (int64_t)part);
}

void rr_set_request_deadlines(const struct rr_gate *gate,
			      struct rr_gate_request *run,
			      const struct rr_gate_request_info *ask)
{
	int64_t objective_us = (int64_t)run->route->objective_ms * 1000;
	int64_t rtt_us = ask->caller_rtt_us > 0 ?
				 ask->caller_rtt_us :
				 gate->policy.answer_guessed_rtt_us;
	int64_t way_us = rtt_us;

	/*
	 * Guards against answers that leave in time and come late: a caller
	 * counts from when it began to connect, a round trip before it could
	 * send.
	 */
#ifndef RR_MUTANT_GATE_FORGETS_CONNECT
	if (ask->new_connection && gate->policy.answer_counts_connect)
		way_us += rtt_us;
#endif

	run->started_us = gate->now_us;
	run->expires_us = INT64_MAX;
	if (run->route->timeout_ms)
		run->expires_us =
			gate->now_us + (int64_t)run->route->timeout_ms * 1000;
	if (ask->deadline_ms >= 0) {
		run->deadline_us = gate->now_us + ask->deadline_ms * 1000;
		run->expires_us = MIN(run->expires_us, run->deadline_us);
	} else if (run->route->timeout_ms) {
		run->deadline_us = run->expires_us;
	}
	run->answer_by_us = run->expires_us;
	if (ask->forward_deadline_us >= 0)
		run->answer_by_us =
			MIN(run->expires_us,
			    gate->now_us + ask->forward_deadline_us -
				    gate->policy.answer_hand_back_us);
	else if (objective_us)
		run->answer_by_us =
			MIN(run->answer_by_us,
			    gate->now_us + objective_us - way_us -
				    kept_back_us(gate, objective_us));
}

int64_t rr_forward_expires_us(const struct rr_gate *gate,
			      const struct rr_gate_request *run)
{
	return run->answer_by_us + gate->policy.answer_hand_back_us +
	       (run->answer_by_us - run->started_us);
}
