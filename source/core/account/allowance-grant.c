/*
 * allowance-grant.c - tokens for other instances, and loans between zones.
 */
#include "core/account/allowance-private.h"

#include <string.h>

#include "ragwort/counters.h"

/* A loan that takes longer is not waited for. */
#define SLOW_LOAN_US (20 * 1000)

void rr_reply_to_instance(struct rr_allowances *allowances, uint64_t handle,
			  enum rr_allowance_status status, uint32_t tokens,
			  uint32_t retry_ms)
{
	const struct rr_allowance_actions *actions =
		&allowances->options.actions;
	const struct rr_allowance_reply reply = {
		.status = status,
		.tokens = tokens,
		.retry_ms = retry_ms,
	};

	actions->reply(actions->data, handle, &reply);
}

void rr_end_taker(struct rr_allowances *allowances,
		  struct rr_allowance_taker *taker,
		  enum rr_allowance_status status, uint32_t tokens,
		  uint32_t retry_ms)
{
	uint64_t handle = taker->handle;

	g_queue_unlink(&taker->account->takers, &taker->link);
	g_hash_table_remove(allowances->takers, &handle);
	rr_reply_to_instance(allowances, handle, status, tokens, retry_ms);
}

/* Ask the owner of another zone for tokens; false if none is up. */
static bool ask_zone(struct rr_allowances *allowances,
		     struct rr_account_allowance *account, const char *zone,
		     uint32_t tokens)
{
	const struct rr_allowance_call call = {
		.verb = RR_ALLOWANCE_LEND,
		.account = account->name,
		.tokens = tokens,
	};
	GPtrArray *order =
		rr_order_owners(&allowances->members, zone, account->name);
	bool asked = false;

	for (guint i = 0; i < order->len && !asked; i++) {
		struct rr_allowance_member *member =
			g_ptr_array_index(order, i);

		if (member->down) {
			rr_probe_allowance_member(allowances, member);
			continue;
		}
		rr_call_member(allowances, member, &call, SLOW_LOAN_US);
		account->n_loan_calls++;
		asked = true;
	}
	g_ptr_array_unref(order);
	return asked;
}

/* Return the other zones that have members, as keys of a table. */
static GHashTable *list_other_zones(struct rr_allowances *allowances)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, allowances->members.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_allowance_member *member = value;

		if (strcmp(member->zone, allowances->members.zone))
			g_hash_table_add(zones, member->zone);
	}
	return zones;
}

static uint32_t count_wanted(const struct rr_account_allowance *account)
{
	uint32_t n = account->waiters.length;

	for (const GList *l = account->takers.head; l; l = l->next)
		n += ((const struct rr_allowance_taker *)l->data)->tokens;
	return n;
}

/* Borrow for those that wait; false if nothing can be borrowed now. */
bool rr_borrow_tokens(struct rr_allowances *allowances,
		      struct rr_account_allowance *account,
		      enum rr_allowance_role role)
{
	GHashTableIter iter;
	GHashTable *zones;
	gpointer zone;
	uint32_t tokens;

	if (account->n_loan_calls)
		return true;
	if (role == RR_ROLE_NONE ||
	    allowances->now_us < account->no_loan_until_us)
		return false;
	tokens = MAX(count_wanted(account), 1) +
		 rr_expected_token_use(account, allowances->now_us);
	zones = list_other_zones(allowances);
	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		ask_zone(allowances, account, zone, tokens);
	g_hash_table_unref(zones);
	return account->n_loan_calls > 0;
}

void rr_serve_takers(struct rr_allowances *allowances,
		     struct rr_account_allowance *account)
{
	enum rr_allowance_role role = rr_allowance_role(allowances, account);

	while (account->takers.length) {
		struct rr_allowance_taker *taker = account->takers.head->data;
		uint32_t tokens = rr_take_allowance_tokens(allowances, account,
							   role, taker->tokens);

		if (tokens)
			rr_end_taker(allowances, taker, RR_ALLOWANCE_GRANTED,
				     tokens, 0);
		else if (rr_borrow_tokens(allowances, account, role))
			return;
		else if (role == RR_ROLE_OWNER || role == RR_ROLE_TAKEOVER)
			rr_end_taker(
				allowances, taker, RR_ALLOWANCE_EMPTY, 0,
				rr_next_token_ms(allowances, account, role));
		else
			rr_end_taker(allowances, taker, RR_ALLOWANCE_NOT_OWNER,
				     0, 0);
	}
}

static void handle_take(struct rr_allowances *allowances,
			struct rr_account_allowance *account, uint64_t handle,
			const struct rr_allowance_call *call)
{
	struct rr_allowance_taker *taker = g_new0(struct rr_allowance_taker, 1);

	taker->handle = handle;
	taker->account = account;
	taker->tokens = MAX(call->tokens, 1);
	taker->link.data = taker;
	g_hash_table_insert(allowances->takers, &taker->handle, taker);
	g_queue_push_tail_link(&account->takers, &taker->link);
	rr_serve_takers(allowances, account);
	if (g_hash_table_contains(allowances->takers, &handle))
		rr_set_timer(allowances->timers,
			     allowances->now_us +
				     MAX((int64_t)call->wait_ms * 1000,
					 RR_ALLOWANCE_MIN_SLOW_US),
			     RR_TIMER_ALLOWANCE_TAKER, handle, 0);
}

void rr_allowances_handle_call(struct rr_allowances *allowances, int64_t now_us,
			       uint64_t handle,
			       const struct rr_allowance_call *call)
{
	struct rr_account_allowance *account =
		rr_find_account_allowance(allowances, call->account);
	enum rr_allowance_role role;
	uint32_t tokens;

	allowances->now_us = now_us;
	rr_note_allowance_contact(&allowances->members, NULL, now_us);
	if (call->verb == RR_ALLOWANCE_PROBE) {
		rr_reply_to_instance(allowances, handle, RR_ALLOWANCE_GRANTED,
				     0, 0);
		return;
	}
	if (!account) {
		rr_reply_to_instance(allowances, handle, RR_ALLOWANCE_NOT_OWNER,
				     0, 0);
		return;
	}
	if (call->verb == RR_ALLOWANCE_TAKE) {
		handle_take(allowances, account, handle, call);
		return;
	}
	role = rr_allowance_role(allowances, account);
	tokens = rr_lend_allowance_tokens(allowances, account, role,
					  call->tokens);
	rr_count(allowances->ctx, RR_N_ALLOWANCE_TOKENS_LENT, tokens);
	rr_reply_to_instance(allowances, handle,
			     tokens ? RR_ALLOWANCE_GRANTED : RR_ALLOWANCE_EMPTY,
			     tokens, 0);
}

void rr_allowances_drop_call(struct rr_allowances *allowances, uint64_t handle)
{
	struct rr_allowance_taker *taker =
		g_hash_table_lookup(allowances->takers, &handle);

	if (!taker)
		return;
	g_queue_unlink(&taker->account->takers, &taker->link);
	g_hash_table_remove(allowances->takers, &handle);
}

void rr_handle_taker_end(struct rr_allowances *allowances, uint64_t handle)
{
	struct rr_allowance_taker *taker =
		g_hash_table_lookup(allowances->takers, &handle);
	enum rr_allowance_role role;

	if (!taker)
		return;
	role = rr_allowance_role(allowances, taker->account);
	/* Another instance may own the account by now: it is not spent. */
	if (role == RR_ROLE_OWNER || role == RR_ROLE_TAKEOVER)
		rr_end_taker(
			allowances, taker, RR_ALLOWANCE_EMPTY, 0,
			rr_next_token_ms(allowances, taker->account, role));
	else
		rr_end_taker(allowances, taker, RR_ALLOWANCE_NOT_OWNER, 0, 0);
}
