/*
 * accounts.c - Fuzz target: client accounts in the operators' configuration.
 *
 * Of an accepted configuration every account has a name that can be sent in a
 * header and is found by it.
 */
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void check_accounts(const struct rr_account_table *accounts)
{
	for (size_t i = 0; i < rr_count_accounts(accounts); i++) {
		const struct rr_account *account = rr_account_at(accounts, i);

		if (!*account->name || strpbrk(account->name, "\r\n") ||
		    rr_find_account(accounts, account->name) != account ||
		    !(account->rate_per_s >= 0) || !(account->burst >= 0))
			abort();
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	char *key = g_strndup((const char *)data, length);
	const char *fault = NULL;
	struct rr_route_table *table =
		rr_decode_routes((const char *)data, length, &fault);

	if (!table == !fault)
		abort();
	if (table && rr_route_table_accounts(table)) {
		check_accounts(rr_route_table_accounts(table));
		rr_find_account_by_key(rr_route_table_accounts(table), key);
	}
	rr_drop_route_table(table);
	g_free(key);
	return 0;
}
