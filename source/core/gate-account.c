/*
 * gate-account.c - authentication of requests by the key of a client account.
 *
 * A request is authenticated once, by the instance that its caller reached and
 * with the version of the configuration that routes it.
 */
#include "core/gate-private.h"

#include <string.h>

#include "ragwort/owner.h"

static const struct rr_account_table *accounts_of(const struct rr_gate *gate)
{
	return rr_route_table_accounts(gate->route_table);
}

static void set_account(struct rr_gate_request *req, const char *name)
{
	req->account = g_strdup(name);
	req->flow = rr_hash_name(name);
}

uint16_t rr_authenticate_request(const struct rr_gate *gate,
				 struct rr_gate_request *req,
				 const struct rr_gate_request_info *info,
				 const char **reason)
{
	const struct rr_account_table *accounts = accounts_of(gate);
	const struct rr_account *account;

	req->priority = req->route->priority;
	if (req->from_peer && info->account) {
		set_account(req, info->account);
		if (info->account_priority >= 0)
			req->priority = (uint32_t)info->account_priority;
		return 0;
	}
	if (!accounts || req->route->is_public)
		return 0;
	if (req->from_peer) {
		/* Forwarded under a version without accounts. */
		*reason = "no-account";
		return 503;
	}
	if (!info->key) {
		*reason = "no-key";
		return 401;
	}
	account = rr_find_account_by_key(accounts, info->key);
	if (!account) {
		*reason = "unknown-key";
		return 401;
	}
	set_account(req, account->name);
	req->key = g_strdup(info->key);
	if (account->has_priority)
		req->priority = account->priority;
	return 0;
}

/*
 * Whether a request is allowed by the current configuration.  A key may have
 * moved to another account.
 */
static bool is_still_allowed(const struct rr_gate *gate,
			     const struct rr_gate_request *req)
{
	const struct rr_account_table *accounts = accounts_of(gate);
	const struct rr_account *account;

	if (!req->account || !accounts)
		return true;
	if (!req->key)
		return rr_find_account(accounts, req->account) != NULL;
	account = rr_find_account_by_key(accounts, req->key);
	return account && !strcmp(account->name, req->account);
}

void rr_stop_revoked_requests(struct rr_context *ctx, struct rr_gate *gate)
{
	GArray *idle = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rr_gate_request *req = value;

		if (is_still_allowed(gate, req))
			continue;
		if (!req->key_revoked)
			rr_count(ctx, RR_N_REQUESTS_KEY_REVOKED, 1);
		req->key_revoked = true;
		if (!req->in_flight.length)
			g_array_append_val(idle, req->id);
	}
	for (guint i = 0; i < idle->len; i++) {
		uint64_t id = g_array_index(idle, uint64_t, i);
		struct rr_gate_request *req = rr_find_request(gate, id);

		if (req)
			rr_answer_locally(ctx, gate, req, 401, "key-revoked");
	}
	g_array_unref(idle);
}
