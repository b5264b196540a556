/*
 * allowance-call.c - calls to the other instances that keep allowances.
 */
#include "core/account/allowance-private.h"

#include <string.h>

#include "ragwort/counters.h"

/* A reply later than this is that of an instance that is down. */
#define CALL_TIMEOUT_MS 300
/* A probe of an instance that may be down; a stall of the loop is shorter. */
#define PROBE_TIMEOUT_MS 150
#define PROBE_INTERVAL_US (200 * 1000)
/* Interval of the probes of an isolated instance. */
#define ISOLATED_PROBE_US (300 * 1000)

void rr_free_open_call(gpointer data)
{
	struct rr_allowance_open_call *call = data;

	g_free(call->account);
	g_free(call->member);
	g_free(call);
}

void rr_abandon_account_calls(struct rr_allowances *allowances,
			      const char *account)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, allowances->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_allowance_open_call *call = value;

		if (!strcmp(call->account, account))
			call->abandoned = true;
	}
}

static uint64_t send_call(struct rr_allowances *allowances,
			  struct rr_allowance_member *member,
			  const struct rr_allowance_call *call,
			  uint32_t timeout_ms)
{
	struct rr_allowance_open_call *open =
		g_new0(struct rr_allowance_open_call, 1);

	rr_count(allowances->ctx, RR_N_ALLOWANCE_CALLS, 1);
	open->id = ++allowances->next_call;
	open->verb = call->verb;
	open->account = g_strdup(call->account);
	open->member = g_strdup(member->id);
	g_hash_table_insert(allowances->calls, &open->id, open);
	rr_set_timer(allowances->timers,
		     allowances->now_us + (int64_t)timeout_ms * 1000,
		     RR_TIMER_ALLOWANCE_TIMEOUT, open->id, 0);
	allowances->options.actions.call(allowances->options.actions.data,
					 open->id, member->address, timeout_ms,
					 call);
	return open->id;
}

uint64_t rr_call_member(struct rr_allowances *allowances,
			struct rr_allowance_member *member,
			const struct rr_allowance_call *call, int64_t slow_us)
{
	uint64_t id = send_call(allowances, member, call, CALL_TIMEOUT_MS);

	rr_set_timer(allowances->timers, allowances->now_us + slow_us,
		     RR_TIMER_ALLOWANCE_SLOW, id, 0);
	return id;
}

void rr_probe_allowance_member(struct rr_allowances *allowances,
			       struct rr_allowance_member *member)
{
	const struct rr_allowance_call call = {
		.verb = RR_ALLOWANCE_PROBE,
		.account = "",
	};

	if (member->is_self || member->probing ||
	    (member->probed_us &&
	     allowances->now_us - member->probed_us < PROBE_INTERVAL_US))
		return;
	member->probing = true;
	member->probed_us = allowances->now_us;
	send_call(allowances, member, &call, PROBE_TIMEOUT_MS);
}

void rr_probe_any_member(struct rr_allowances *allowances)
{
	struct rr_allowance_member *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, allowances->members.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_allowance_member *member = value;

		if (member->is_self)
			continue;
		/* One probe at a time is enough. */
		if (member->probing)
			return;
		if (!oldest || member->probed_us < oldest->probed_us)
			oldest = member;
	}
	if (oldest)
		rr_probe_allowance_member(allowances, oldest);
}

void rr_schedule_isolated_probe(struct rr_allowances *allowances)
{
	if (allowances->probe_scheduled)
		return;
	allowances->probe_scheduled = true;
	rr_set_timer(allowances->timers, allowances->now_us + ISOLATED_PROBE_US,
		     RR_TIMER_ALLOWANCE_PROBE, 0, 0);
}

void rr_handle_isolated_probe(struct rr_allowances *allowances)
{
	allowances->probe_scheduled = false;
	if (!rr_is_allowance_isolated(&allowances->members, allowances->now_us))
		return;
	rr_probe_any_member(allowances);
	rr_schedule_isolated_probe(allowances);
}

struct rr_allowance_open_call *
rr_steal_open_call(struct rr_allowances *allowances, uint64_t id)
{
	struct rr_allowance_open_call *call =
		g_hash_table_lookup(allowances->calls, &id);

	if (call)
		g_hash_table_steal(allowances->calls, &id);
	return call;
}
