/*
 * account-table.c - the accounts of one version of the configuration, found by
 * key and by name.
 */
#include "ragwort/account.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Longer names and keys do not fit into a header. */
#define MAX_LENGTH 4096

struct account_key {
	uint64_t hash; /* first: the key in the hash table */
	char *text;
	size_t length;
	const struct rr_account *account;
	struct account_key *next; /* another key with the same hash */
};

struct rr_account_table {
	uint64_t seed;
	GPtrArray *accounts; /* struct rr_account */
	GHashTable *by_name; /* name -> struct rr_account */
	GHashTable *by_hash; /* hash -> struct account_key */
};

static void free_account(gpointer data)
{
	struct rr_account *account = data;

	g_free(account->name);
	g_free(account);
}

static void free_keys(gpointer data)
{
	struct account_key *next;

	for (struct account_key *key = data; key; key = next) {
		next = key->next;
		g_free(key->text);
		g_free(key);
	}
}

struct rr_account_table *rr_new_account_table(uint64_t seed)
{
	struct rr_account_table *table = g_new0(struct rr_account_table, 1);

	table->seed = seed;
	table->accounts = g_ptr_array_new_with_free_func(free_account);
	table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	table->by_hash = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_keys);
	return table;
}

void rr_drop_account_table(struct rr_account_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->by_hash);
	g_hash_table_unref(table->by_name);
	g_ptr_array_unref(table->accounts);
	g_free(table);
}

/* Whether a text can be sent as a header's value without being changed. */
static bool fits_header(const char *text)
{
	size_t length = text ? strlen(text) : 0;

	if (!length || length > MAX_LENGTH || text[0] == ' ' ||
	    text[length - 1] == ' ')
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isprint(text[i]))
			return false;
	}
	return true;
}

static uint64_t hash_key(const struct rr_account_table *table, const char *key,
			 size_t length)
{
	return XXH3_64bits_withSeed(key, length, table->seed);
}

/* Compare all bytes, so that the time does not depend on their values. */
static bool is_same_key(const struct account_key *key, const char *text,
			size_t length)
{
	unsigned char difference = 0;

	if (key->length != length)
		return false;
	for (size_t i = 0; i < length; i++)
		difference |= (unsigned char)(key->text[i] ^ text[i]);
	return !difference;
}

const struct rr_account *
rr_find_account_by_key(const struct rr_account_table *table, const char *key)
{
	size_t length = strlen(key);
	uint64_t hash = hash_key(table, key, length);

	for (const struct account_key *entry =
		     g_hash_table_lookup(table->by_hash, &hash);
	     entry; entry = entry->next) {
		if (is_same_key(entry, key, length))
			return entry->account;
	}
	return NULL;
}

static void add_key(struct rr_account_table *table, const char *text,
		    const struct rr_account *account)
{
	struct account_key *key = g_new0(struct account_key, 1);
	struct account_key *first;

	key->text = g_strdup(text);
	key->length = strlen(text);
	key->hash = hash_key(table, text, key->length);
	key->account = account;
	first = g_hash_table_lookup(table->by_hash, &key->hash);
	if (first) {
		key->next = first->next;
		first->next = key;
		return;
	}
	g_hash_table_insert(table->by_hash, &key->hash, key);
}

static const char *find_fault(const struct rr_account_table *table,
			      const struct rr_account *account,
			      const char *const *keys)
{
	if (!fits_header(account->name))
		return "an account's name is missing or cannot be sent in a "
		       "header";
	if (g_hash_table_contains(table->by_name, account->name))
		return "two accounts have one name";
	for (size_t i = 0; keys[i]; i++) {
		if (!fits_header(keys[i]))
			return "an account's key is empty or cannot be sent "
			       "in a header";
		if (rr_find_account_by_key(table, keys[i]))
			return "a key is in two accounts";
	}
	return NULL;
}

const char *rr_add_account(struct rr_account_table *table,
			   struct rr_account *account, const char *const *keys)
{
	const char *fault = find_fault(table, account, keys);

	if (fault) {
		free_account(account);
		return fault;
	}
	g_ptr_array_add(table->accounts, account);
	g_hash_table_insert(table->by_name, account->name, account);
	for (size_t i = 0; keys[i]; i++) {
		/* An account may name one of its keys twice. */
		if (!rr_find_account_by_key(table, keys[i]))
			add_key(table, keys[i], account);
	}
	return NULL;
}

const struct rr_account *rr_find_account(const struct rr_account_table *table,
					 const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

size_t rr_count_accounts(const struct rr_account_table *table)
{
	return table->accounts->len;
}

const struct rr_account *rr_account_at(const struct rr_account_table *table,
				       size_t index)
{
	return g_ptr_array_index(table->accounts, index);
}
