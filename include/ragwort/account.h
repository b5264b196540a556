/*
 * account.h - client accounts: their keys, rank and allowance.
 *
 * A table belongs to one version of the configuration.  It is built once, then
 * only read, so that a request is authenticated and routed by one version.
 */
#ifndef RAGWORT_ACCOUNT_H
#define RAGWORT_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rr_account {
	char *name;
	/* Rank of its requests, 0 is the highest; else the route's applies. */
	bool has_priority;
	uint32_t priority;
	/*
	 * Allowance over all instances together: rate_per_s requests per
	 * second plus burst.  A rate of 0 means no limit.
	 */
	double rate_per_s;
	double burst;
};

struct rr_account_table;

/*
 * Create an empty table.  `seed` keys the hash of the accounts' keys; it should
 * differ from process to process.
 */
struct rr_account_table *rr_new_account_table(uint64_t seed);
void rr_drop_account_table(struct rr_account_table *table);

/*
 * Add an account with its keys, a NULL-terminated array that is copied; an
 * account without keys is allowed and cannot be used.  The table takes
 * ownership of the account and its name, also on failure.  Returns NULL, or a
 * static string that says why the account is invalid: it has no name or one
 * that cannot be sent in a header, its name or a key is in the table already,
 * or a key is empty or cannot be sent in a header.
 */
const char *rr_add_account(struct rr_account_table *table,
			   struct rr_account *account, const char *const *keys);

/*
 * Find the account that holds a key; returns NULL if there is none.  The time
 * taken does not depend on how much of a wrong key is right.
 */
const struct rr_account *
rr_find_account_by_key(const struct rr_account_table *table, const char *key);
/* Find an account by name; returns NULL if there is none. */
const struct rr_account *rr_find_account(const struct rr_account_table *table,
					 const char *name);
size_t rr_count_accounts(const struct rr_account_table *table);
const struct rr_account *rr_account_at(const struct rr_account_table *table,
				       size_t index);

#endif
