/*
 * allowance-reply.c - replies of other instances, and calls without a reply.
 */
#include "core/account/allowance-private.h"

/* After the owner had no token, it is not asked for up to this long. */
#define SPENT_US (50 * 1000)
/* A member that was slow to reply is asked last for this long. */
#define AVOID_US (300 * 1000)
/* After a zone's owner had nothing to lend, it is not asked for this long. */
#define NO_LOAN_US (100 * 1000)
/* The same after it could not be reached. */
#define UNREACHED_ZONE_US G_USEC_PER_SEC

static void handle_take_reply(struct rr_allowances *allowances,
			      struct rr_account_allowance *account,
			      const struct rr_allowance_open_call *call,
			      const struct rr_allowance_reply *reply)
{
	int64_t now_us = allowances->now_us;

	if (account->take_call == call->id)
		account->take_call = 0;
	if (reply->status == RR_ALLOWANCE_GRANTED)
		rr_hold_tokens(account->held, reply->tokens,
			       now_us + RR_ALLOWANCE_HOLD_US);
	/* The waiters of a slow call ask elsewhere. */
	if (call->abandoned && reply->status != RR_ALLOWANCE_GRANTED)
		return;
	if (reply->status == RR_ALLOWANCE_EMPTY) {
		int64_t retry_us = (int64_t)reply->retry_ms * 1000;

		account->spent_until_us = now_us + MIN(retry_us, SPENT_US);
		account->promised_us = now_us + retry_us;
		rr_reject_waiters(allowances, account, RR_ALLOWANCE_BEYOND,
				  reply->retry_ms);
	} else if (reply->status == RR_ALLOWANCE_NOT_OWNER) {
		rr_reject_waiters(allowances, account, RR_ALLOWANCE_UNKNOWN, 0);
	}
	rr_serve_waiters(allowances, account);
}

static void handle_loan_reply(struct rr_allowances *allowances,
			      struct rr_account_allowance *account,
			      const struct rr_allowance_open_call *call,
			      const struct rr_allowance_reply *reply)
{
	if (!call->abandoned)
		account->n_loan_calls--;
	if (reply->status == RR_ALLOWANCE_GRANTED)
		rr_hold_tokens(account->loans, reply->tokens,
			       allowances->now_us + RR_ALLOWANCE_HOLD_US);
	else if (!account->loans->len)
		account->no_loan_until_us =
			allowances->now_us +
			(reply->status == RR_ALLOWANCE_NO_REPLY ?
				 UNREACHED_ZONE_US :
				 NO_LOAN_US);
	/* The last reply decides what those that wait get. */
	rr_serve_takers(allowances, account);
	rr_serve_waiters(allowances, account);
}

static void note_reply(struct rr_allowances *allowances,
		       const struct rr_allowance_open_call *call,
		       const struct rr_allowance_reply *reply, bool is_late)
{
	struct rr_allowances *a = allowances;
	struct rr_allowance_member *member =
		rr_find_allowance_member(&a->members, call->member);

	if (member && call->verb == RR_ALLOWANCE_PROBE)
		member->probing = false;
	if (reply->status == RR_ALLOWANCE_NO_REPLY)
		rr_note_allowance_failure(&a->members, member, is_late);
	else
		rr_note_allowance_contact(&a->members, member, a->now_us);
	if (rr_is_allowance_isolated(&a->members, a->now_us))
		rr_schedule_isolated_probe(a);
}

static void handle_reply(struct rr_allowances *allowances, uint64_t id,
			 const struct rr_allowance_reply *reply, bool is_late)
{
	struct rr_allowance_open_call *call =
		rr_steal_open_call(allowances, id);
	struct rr_account_allowance *account;

	if (!call)
		return;
	note_reply(allowances, call, reply, is_late);
	account = rr_find_account_allowance(allowances, call->account);
	if (account && call->verb == RR_ALLOWANCE_TAKE)
		handle_take_reply(allowances, account, call, reply);
	if (account && call->verb == RR_ALLOWANCE_LEND)
		handle_loan_reply(allowances, account, call, reply);
	rr_free_open_call(call);
}

void rr_allowances_handle_reply(struct rr_allowances *allowances,
				int64_t now_us, uint64_t id,
				const struct rr_allowance_reply *reply)
{
	allowances->now_us = now_us;
	handle_reply(allowances, id, reply, false);
}

void rr_handle_slow_call(struct rr_allowances *allowances, uint64_t id)
{
	struct rr_allowance_open_call *call =
		g_hash_table_lookup(allowances->calls, &id);
	struct rr_allowance_member *member;
	struct rr_account_allowance *account;

	if (!call || call->abandoned)
		return;
	member = rr_find_allowance_member(&allowances->members, call->member);
	account = rr_find_account_allowance(allowances, call->account);
	call->abandoned = true;
	if (!account)
		return;
	if (call->verb == RR_ALLOWANCE_LEND) {
		account->n_loan_calls--;
		account->no_loan_until_us = allowances->now_us + NO_LOAN_US;
		rr_serve_takers(allowances, account);
	} else if (account->take_call == id) {
		account->take_call = 0;
	}
	if (member && call->verb == RR_ALLOWANCE_TAKE)
		member->avoid_until_us = allowances->now_us + AVOID_US;
	rr_serve_waiters(allowances, account);
}

void rr_handle_call_timeout(struct rr_allowances *allowances, uint64_t id)
{
	const struct rr_allowance_reply none = {
		.status = RR_ALLOWANCE_NO_REPLY,
	};

	handle_reply(allowances, id, &none, true);
}
