/*
 * gate-allowance.c - requests wait for a token of their account's allowance.
 *
 * A search takes one token, at the instance that its caller reached.  Retries,
 * hedges and parts take none.
 */
#include "core/gate-private.h"

/* Part of the objective that may be spent on the wait for a token. */
#define WAIT_PART 5
/* The same on routes without an objective. */
#define DEFAULT_WAIT_US (50 * 1000)

static void call_instance(void *data, uint64_t id, const char *address,
			  uint32_t timeout_ms,
			  const struct rr_allowance_call *call)
{
	struct rr_gate *gate = data;

	gate->actions.call_allowance(gate->actions.data, id, address,
				     timeout_ms, call);
}

static void reply_to_instance(void *data, uint64_t handle,
			      const struct rr_allowance_reply *reply)
{
	struct rr_gate *gate = data;

	gate->actions.reply_allowance(gate->actions.data, handle, reply);
}

static void reject(struct rr_context *ctx, struct rr_gate *gate,
		   struct rr_gate_request *req,
		   enum rr_allowance_outcome outcome, uint32_t retry_ms)
{
	bool beyond = outcome == RR_ALLOWANCE_BEYOND;

	rr_count(ctx,
		 beyond ? RR_N_REQUESTS_OVER_ALLOWANCE :
			  RR_N_REQUESTS_ALLOWANCE_UNKNOWN,
		 1);
	req->retry_after_ms = retry_ms;
	rr_answer_locally(ctx, gate, req, beyond ? 429 : 503,
			  beyond ? "over-allowance" : "allowance-unknown");
}

/* The request has a token, or needs none. */
static void keep_token(struct rr_context *ctx, const struct rr_gate *gate,
		       struct rr_gate_request *req)
{
	req->token_end_us = rr_allowances_token_end_us(gate->allowances);
	if (req->token_end_us)
		rr_count(ctx, RR_N_ALLOWANCE_TOKENS_TAKEN, 1);
}

static void decide(void *data, struct rr_context *ctx, uint64_t request,
		   enum rr_allowance_outcome outcome, uint32_t retry_ms)
{
	struct rr_gate *gate = data;
	struct rr_gate_request *req = rr_find_request(gate, request);

	if (!req || !req->allowance_pending)
		return;
	req->allowance_pending = false;
	if (outcome != RR_ALLOWANCE_TAKEN) {
		reject(ctx, gate, req, outcome, retry_ms);
		return;
	}
	keep_token(ctx, gate, req);
	rr_pass_request(ctx, gate, req);
}

struct rr_allowances *
rr_new_gate_allowances(struct rr_context *ctx, struct rr_gate *gate,
		       const struct rr_gate_options *options)
{
	struct rr_allowance_options allowances = {
		.instance = options->instance,
		.zone = options->zone,
		.n_zones = g_hash_table_size(gate->regions),
		.window_ms = options->allowance_window_ms,
		.overage = options->allowance_overage,
		.slack = options->allowance_slack,
		.started_us = options->process_started_us,
		.actions = {
			.call = call_instance,
			.reply = reply_to_instance,
			.decide = decide,
			.data = gate,
		},
	};

	if (!options->allowance_window_ms)
		return NULL;
	return rr_new_allowances(ctx, &allowances);
}

/*
 * Whether a request can no longer be answered within its objective, counted
 * from its caller's first attempt: by its deadline, its caller has waited for
 * longer already.
 */
static bool is_returning_late(const struct rr_gate_request *req)
{
	int64_t objective_us = (int64_t)req->route->objective_ms * 1000;
	int64_t timeout_us = (int64_t)req->route->timeout_ms * 1000;

	return objective_us && timeout_us && req->deadline_us &&
	       req->started_us + timeout_us - req->deadline_us > objective_us;
}

bool rr_take_request_allowance(struct rr_context *ctx, struct rr_gate *gate,
			       struct rr_gate_request *req)
{
	int64_t wait_us = (int64_t)req->route->objective_ms * 1000 / WAIT_PART;
	enum rr_allowance_outcome (*take)(struct rr_allowances *, int64_t,
					  const char *, uint64_t, int64_t,
					  uint32_t *) =
		is_returning_late(req) ? rr_allowances_take_late :
					 rr_allowances_take;
	enum rr_allowance_outcome outcome;
	uint32_t retry_ms = 0;

	if (!gate->allowances || !req->account || req->from_peer)
		return true;
	outcome = take(gate->allowances, gate->now_us, req->account, req->id,
		       wait_us ? wait_us : DEFAULT_WAIT_US, &retry_ms);
	if (outcome == RR_ALLOWANCE_TAKEN) {
		keep_token(ctx, gate, req);
		return true;
	}
	if (outcome == RR_ALLOWANCE_WAITING) {
		req->allowance_pending = true;
		if (req->expires_us != INT64_MAX)
			rr_set_timer(gate->timers, req->expires_us,
				     RR_TIMER_GATE_ADVANCE, req->id, 0);
	} else {
		reject(ctx, gate, req, outcome, retry_ms);
	}
	return false;
}

void rr_release_request_allowance(struct rr_context *ctx, struct rr_gate *gate,
				  struct rr_gate_request *req)
{
	if (!gate->allowances)
		return;
	if (req->allowance_pending)
		rr_allowances_forget(gate->allowances, req->id);
	if (req->token_end_us > gate->now_us && !req->n_may_have_run) {
		rr_count(ctx, RR_N_ALLOWANCE_TOKENS_RETURNED, 1);
		rr_allowances_give_back(gate->allowances, gate->now_us,
					req->account, req->token_end_us);
	}
}

void rr_gate_handle_allowance_call(struct rr_gate *gate, int64_t now_us,
				   uint64_t handle,
				   const struct rr_allowance_call *call)
{
	const struct rr_allowance_reply not_kept = {
		.status = RR_ALLOWANCE_NOT_OWNER,
	};

	gate->now_us = now_us;
	if (gate->allowances)
		rr_allowances_handle_call(gate->allowances, now_us, handle,
					  call);
	else
		gate->actions.reply_allowance(gate->actions.data, handle,
					      &not_kept);
}

void rr_gate_drop_allowance_call(struct rr_gate *gate, uint64_t handle)
{
	if (gate->allowances)
		rr_allowances_drop_call(gate->allowances, handle);
}

void rr_gate_handle_allowance_reply(struct rr_gate *gate, int64_t now_us,
				    uint64_t id,
				    const struct rr_allowance_reply *reply)
{
	gate->now_us = now_us;
	if (rr_handle_coordinator_reply(gate, id,
					reply->status != RR_ALLOWANCE_NO_REPLY))
		return;
	if (gate->allowances)
		rr_allowances_handle_reply(gate->allowances, now_us, id, reply);
}
