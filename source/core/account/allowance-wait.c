/*
 * allowance-wait.c - requests of this instance's callers that wait for a token.
 */
#include "core/account/allowance-private.h"

/* A reply is slow after this part of the wait, within the bounds. */
#define SLOW_PART 2
#define MAX_SLOW_US (60 * 1000)

void rr_decide_waiter(struct rr_allowances *allowances,
		      struct rr_allowance_waiter *waiter,
		      enum rr_allowance_outcome outcome, uint32_t retry_ms)
{
	const struct rr_allowance_actions *actions =
		&allowances->options.actions;
	uint64_t request = waiter->request;

	g_queue_unlink(&waiter->account->waiters, &waiter->link);
	g_hash_table_remove(allowances->waiters, &request);
	actions->decide(actions->data, allowances->ctx, request, outcome,
			retry_ms);
}

static struct rr_allowance_member *
choose_grantor(struct rr_allowances *allowances,
	       struct rr_account_allowance *account)
{
	GPtrArray *order = rr_allowance_order(allowances, account);
	struct rr_allowance_member *slow = NULL;

	for (guint i = 0; i < order->len; i++) {
		struct rr_allowance_member *member =
			g_ptr_array_index(order, i);

		if (member->is_self)
			return member;
		if (member->down) {
			rr_probe_allowance_member(allowances, member);
			continue;
		}
		if (member->avoid_until_us <= allowances->now_us)
			return member;
		if (!slow)
			slow = member;
	}
	return slow;
}

static void ask_grantor(struct rr_allowances *allowances,
			struct rr_account_allowance *account,
			struct rr_allowance_member *member)
{
	const struct rr_allowance_waiter *first = account->waiters.head->data;
	int64_t left_us = MAX(first->until_us - allowances->now_us, 0);
	struct rr_allowance_call call = {
		.verb = RR_ALLOWANCE_TAKE,
		.account = account->name,
		.tokens = account->waiters.length,
		.wait_ms = (uint32_t)(left_us / SLOW_PART / 1000),
	};
	uint32_t expected = rr_expected_token_use(account, allowances->now_us);

	/* A busy account's next requests need not ask. */
	if (expected > 1)
		call.tokens += expected - 1;
	account->take_call =
		rr_call_member(allowances, member, &call,
			       CLAMP(left_us / SLOW_PART,
				     RR_ALLOWANCE_MIN_SLOW_US, MAX_SLOW_US));
}

void rr_reject_waiters(struct rr_allowances *allowances,
		       struct rr_account_allowance *account,
		       enum rr_allowance_outcome outcome, uint32_t retry_ms)
{
	int64_t earliest_us = allowances->now_us + (int64_t)retry_ms * 1000;

	if (outcome == RR_ALLOWANCE_BEYOND)
		account->last_beyond_us = allowances->now_us;
	while (account->waiters.length) {
		rr_decide_waiter(allowances, account->waiters.head->data,
				 outcome, retry_ms);
		if (outcome == RR_ALLOWANCE_BEYOND)
			retry_ms = rr_promise_return_ms(allowances, account,
							earliest_us);
	}
}

/* Give tokens to those that wait here, or find out where to get some. */
void rr_serve_waiters(struct rr_allowances *allowances,
		      struct rr_account_allowance *account)
{
	struct rr_allowance_member *grantor;
	enum rr_allowance_role role;

	while (account->waiters.length &&
	       rr_take_held_token(allowances, account->held))
		rr_decide_waiter(allowances, account->waiters.head->data,
				 RR_ALLOWANCE_TAKEN, 0);
	if (!account->waiters.length || account->take_call)
		return;
	grantor = choose_grantor(allowances, account);
	if (!grantor) {
		rr_reject_waiters(allowances, account, RR_ALLOWANCE_UNKNOWN, 0);
		return;
	}
	if (!grantor->is_self) {
		ask_grantor(allowances, account, grantor);
		return;
	}
	role = rr_allowance_role(allowances, account);
	while (account->waiters.length &&
	       rr_take_allowance_tokens(allowances, account, role, 1))
		rr_decide_waiter(allowances, account->waiters.head->data,
				 RR_ALLOWANCE_TAKEN, 0);
	if (!account->waiters.length ||
	    rr_borrow_tokens(allowances, account, role))
		return;
	if (role == RR_ROLE_OWNER || role == RR_ROLE_TAKEOVER)
		rr_reject_waiters(allowances, account, RR_ALLOWANCE_BEYOND,
				  rr_next_token_ms(allowances, account, role));
	else
		rr_reject_waiters(allowances, account, RR_ALLOWANCE_UNKNOWN, 0);
}

/* The token of a request at hand; false if it has to be asked for. */
bool rr_take_at_once(struct rr_allowances *allowances,
		     struct rr_account_allowance *account)
{
	struct rr_allowance_member *grantor;

	if (account->waiters.length)
		return false;
	if (rr_take_held_token(allowances, account->held)) {
		rr_count_token_use(account, allowances->now_us);
		return true;
	}
	grantor = choose_grantor(allowances, account);
	return grantor && grantor->is_self &&
	       rr_take_allowance_tokens(allowances, account,
					rr_allowance_role(allowances, account),
					1);
}
