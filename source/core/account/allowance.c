/*
 * allowance.c - the accounts that have an allowance, requests that take a token
 * of one, and timers.
 */
#include "core/account/allowance-private.h"

#include "ragwort/counters.h"

/* After a stall of this length another instance may have taken over. */
#define FROZEN_US (100 * 1000)
/* An allowance is short for this long after a request beyond it. */
#define SHORT_US G_USEC_PER_SEC

static void free_account(gpointer data)
{
	struct rr_account_allowance *account = data;

	if (account->order)
		g_ptr_array_unref(account->order);
	g_array_unref(account->held);
	g_array_unref(account->loans);
	g_free(account->name);
	g_free(account);
}

struct rr_allowances *
rr_new_allowances(struct rr_context *ctx,
		  const struct rr_allowance_options *options)
{
	struct rr_allowances *allowances = g_new0(struct rr_allowances, 1);

	allowances->ctx = rr_keep_context(ctx);
	allowances->options = *options;
	allowances->options.n_zones = MAX(options->n_zones, 1);
	allowances->options.instance = NULL;
	allowances->options.zone = NULL;
	allowances->now_us = options->started_us;
	rr_init_allowance_members(&allowances->members, options->instance,
				  options->zone, options->started_us);
	allowances->accounts = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, free_account);
	allowances->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, rr_free_open_call);
	allowances->waiters = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	allowances->takers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	allowances->timers = rr_new_timers();
	return allowances;
}

void rr_drop_allowances(struct rr_allowances *allowances)
{
	if (!allowances)
		return;
	g_hash_table_unref(allowances->waiters);
	g_hash_table_unref(allowances->takers);
	g_hash_table_unref(allowances->calls);
	g_hash_table_unref(allowances->accounts);
	rr_clear_allowance_members(&allowances->members);
	rr_drop_timers(allowances->timers);
	rr_drop_context(allowances->ctx);
	g_free(allowances);
}

struct rr_account_allowance *
rr_find_account_allowance(struct rr_allowances *allowances, const char *name)
{
	return g_hash_table_lookup(allowances->accounts, name);
}

static void apply_account(struct rr_allowances *allowances,
			  const struct rr_account *entry)
{
	struct rr_account_allowance *account =
		rr_find_account_allowance(allowances, entry->name);

	if (!account) {
		account = g_new0(struct rr_account_allowance, 1);
		account->name = g_strdup(entry->name);
		account->held = g_array_new(FALSE, FALSE,
					    sizeof(struct rr_held_tokens));
		account->loans = g_array_new(FALSE, FALSE,
					     sizeof(struct rr_held_tokens));
		g_queue_init(&account->waiters);
		g_queue_init(&account->takers);
		g_hash_table_insert(allowances->accounts, account->name,
				    account);
	}
	account->rate_per_s = entry->rate_per_s;
	account->burst = entry->burst;
	/* A raised limit takes effect with the next request. */
	account->spent_until_us = 0;
	account->last_beyond_us = 0;
	account->no_loan_until_us = 0;
	account->promised_us = 0;
	rr_resize_allowance_buckets(allowances, account);
}

/* Decide on all that wait for tokens of an account that has gone. */
static void end_account(struct rr_allowances *allowances,
			struct rr_account_allowance *account)
{
	rr_abandon_account_calls(allowances, account->name);
	allowances->token_end_us = 0;
	while (account->waiters.length)
		rr_decide_waiter(allowances, account->waiters.head->data,
				 RR_ALLOWANCE_TAKEN, 0);
	while (account->takers.length)
		rr_end_taker(allowances, account->takers.head->data,
			     RR_ALLOWANCE_NOT_OWNER, 0, 0);
}

void rr_allowances_set_accounts(struct rr_allowances *allowances,
				int64_t now_us,
				const struct rr_account_table *accounts)
{
	size_t n = accounts ? rr_count_accounts(accounts) : 0;
	GHashTableIter iter;
	gpointer value;

	allowances->now_us = now_us;
	for (size_t i = 0; i < n; i++) {
		const struct rr_account *account = rr_account_at(accounts, i);

		if (account->rate_per_s > 0)
			apply_account(allowances, account);
	}
	g_hash_table_iter_init(&iter, allowances->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_account_allowance *account = value;
		const struct rr_account *entry =
			accounts ? rr_find_account(accounts, account->name) :
				   NULL;

		if (entry && entry->rate_per_s > 0)
			continue;
		end_account(allowances, account);
		g_hash_table_iter_remove(&iter);
	}
}

void rr_allowances_update_member(struct rr_allowances *allowances,
				 int64_t now_us, const char *id,
				 const char *zone, const char *address)
{
	allowances->now_us = now_us;
	rr_update_allowance_member(&allowances->members, now_us, id, zone,
				   address);
}

enum rr_allowance_outcome rr_allowances_take(struct rr_allowances *allowances,
					     int64_t now_us, const char *name,
					     uint64_t request, int64_t wait_us,
					     uint32_t *retry_ms)
{
	struct rr_account_allowance *account =
		rr_find_account_allowance(allowances, name);
	struct rr_allowance_waiter *waiter;

	allowances->now_us = now_us;
	allowances->token_end_us = 0;
	if (!account || rr_take_at_once(allowances, account))
		return RR_ALLOWANCE_TAKEN;
	if (now_us < account->spent_until_us) {
		*retry_ms = rr_promise_return_ms(allowances, account, now_us);
		return RR_ALLOWANCE_BEYOND;
	}
	waiter = g_new0(struct rr_allowance_waiter, 1);
	waiter->request = request;
	waiter->account = account;
	waiter->until_us = now_us + wait_us;
	waiter->link.data = waiter;
	g_hash_table_insert(allowances->waiters, &waiter->request, waiter);
	g_queue_push_tail_link(&account->waiters, &waiter->link);
	rr_set_timer(allowances->timers, waiter->until_us,
		     RR_TIMER_ALLOWANCE_WAIT, request, 0);
	/* Served by the next tick: the decide action may not be called here. */
	rr_set_timer(allowances->timers, now_us, RR_TIMER_ALLOWANCE_SERVE,
		     request, 0);
	return RR_ALLOWANCE_WAITING;
}

enum rr_allowance_outcome
rr_allowances_take_late(struct rr_allowances *allowances, int64_t now_us,
			const char *name, uint64_t request, int64_t wait_us,
			uint32_t *retry_ms)
{
	struct rr_account_allowance *account =
		rr_find_account_allowance(allowances, name);

#ifndef RR_MUTANT_ALLOWANCE_SERVES_LATE_FIRST
	if (account && account->last_beyond_us &&
	    now_us - account->last_beyond_us < SHORT_US) {
		allowances->now_us = now_us;
		*retry_ms = rr_promise_return_ms(allowances, account, now_us);
		return RR_ALLOWANCE_BEYOND;
	}
#endif
	return rr_allowances_take(allowances, now_us, name, request, wait_us,
				  retry_ms);
}

void rr_allowances_forget(struct rr_allowances *allowances, uint64_t request)
{
	struct rr_allowance_waiter *waiter =
		g_hash_table_lookup(allowances->waiters, &request);

	if (!waiter)
		return;
	g_queue_unlink(&waiter->account->waiters, &waiter->link);
	g_hash_table_remove(allowances->waiters, &request);
}

void rr_allowances_give_back(struct rr_allowances *allowances, int64_t now_us,
			     const char *name, int64_t token_end_us)
{
	struct rr_account_allowance *account =
		rr_find_account_allowance(allowances, name);

#ifdef RR_MUTANT_ALLOWANCE_KEEPS_UNUSED
	return;
#endif
	allowances->now_us = now_us;
	/*
	 * Guards against tokens that are given back again and again: after an
	 * outage of the replicas all of them would be used at once.
	 */
	if (account && token_end_us > now_us)
		rr_hold_tokens(account->held, 1, token_end_us);
}

int64_t rr_allowances_token_end_us(const struct rr_allowances *allowances)
{
	return allowances->token_end_us;
}

void rr_allowances_report_stall(struct rr_allowances *allowances,
				int64_t now_us, int64_t delay_us)
{
	GHashTableIter iter;
	gpointer value;

	if (delay_us < FROZEN_US)
		return;
	g_hash_table_iter_init(&iter, allowances->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_account_allowance *account = value;

		account->main.filled_us =
			MIN(account->main.filled_us + delay_us, now_us);
		account->takeover.filled_us =
			MIN(account->takeover.filled_us + delay_us, now_us);
	}
}

bool rr_allowances_is_isolated(const struct rr_allowances *allowances,
			       int64_t now_us)
{
	return rr_is_allowance_isolated(&allowances->members, now_us);
}

static void handle_wait_end(struct rr_allowances *allowances, uint64_t request)
{
	struct rr_allowance_waiter *waiter =
		g_hash_table_lookup(allowances->waiters, &request);

	if (waiter && waiter->until_us <= allowances->now_us)
		rr_decide_waiter(allowances, waiter, RR_ALLOWANCE_UNKNOWN, 0);
}

static void handle_serve(struct rr_allowances *allowances, uint64_t request)
{
	struct rr_allowance_waiter *waiter =
		g_hash_table_lookup(allowances->waiters, &request);

	if (waiter)
		rr_serve_waiters(allowances, waiter->account);
}

void rr_allowances_tick(struct rr_allowances *allowances, int64_t now_us)
{
	struct rr_timer timer;

	allowances->now_us = now_us;
	while (rr_pop_timer(allowances->timers, now_us, &timer)) {
		switch (timer.kind) {
		case RR_TIMER_ALLOWANCE_SLOW:
			rr_handle_slow_call(allowances, timer.id);
			break;
		case RR_TIMER_ALLOWANCE_TIMEOUT:
			rr_handle_call_timeout(allowances, timer.id);
			break;
		case RR_TIMER_ALLOWANCE_WAIT:
			handle_wait_end(allowances, timer.id);
			break;
		case RR_TIMER_ALLOWANCE_SERVE:
			handle_serve(allowances, timer.id);
			break;
		case RR_TIMER_ALLOWANCE_TAKER:
			rr_handle_taker_end(allowances, timer.id);
			break;
		case RR_TIMER_ALLOWANCE_PROBE:
			rr_handle_isolated_probe(allowances);
			break;
		default:
			break;
		}
	}
}

int64_t rr_allowances_next_tick_us(const struct rr_allowances *allowances)
{
	return rr_next_timer_us(allowances->timers);
}
