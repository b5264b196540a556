/*
 * standin-store-private.h - internals shared by the source files of the
 * stand-in store.
 */
#ifndef TESTS_SUPPORT_STANDIN_STORE_PRIVATE_H
#define TESTS_SUPPORT_STANDIN_STORE_PRIVATE_H

#include "support/standin-store.h"

struct test_store_item {
	char *key;
	char *value; /* base64; NULL: removed */
	uint64_t revision;
	uint64_t lease;
};

struct test_store_lease {
	uint64_t id;
	int64_t ttl_us;
	int64_t expires_us;
};

void test_append_store_item(GString *out, const struct test_store_item *item);
/* Answer a call at once, or after answer_delay_ms. */
void test_answer_store_call(struct test_store *store,
			    struct test_connection *connection, int status,
			    const char *body);
/*
 * Answer the watches that have changes to report, and delayed calls that are
 * due.
 */
void test_answer_due_store_calls(struct test_store *store);
/* Return the counters for calls on a key. */
struct test_prefix_counts *test_find_store_counts(struct test_store *store,
						  const char *key);

/* Answer a call without delay. */
void test_answer_store_call_now(struct test_store *store,
				struct test_connection *connection, int status,
				const char *body);
void test_close_store_connections(struct test_store *store);

/* standin-store-copy.c */
void test_drop_store_copy(struct test_store_copy *copy);
/*
 * Return the items that a read finds, struct test_store_item by key, and set
 * *revision to theirs; the items are valid until the store changes.
 */
GPtrArray *test_list_store_items(const struct test_store *store, bool stale,
				 uint64_t *revision);

/* standin-store-write.c */
struct test_store_item *test_new_store_item(const char *key, const char *value,
					    uint64_t revision, uint64_t lease);
void test_free_store_item(gpointer data);
void test_expire_store_leases(struct test_store *store);
void test_handle_lease_grant(struct test_store *store,
			     struct test_connection *connection);
void test_handle_lease_renew(struct test_store *store,
			     struct test_connection *connection);
void test_handle_lease_revoke(struct test_store *store,
			      struct test_connection *connection);
void test_handle_txn(struct test_store *store,
		     struct test_connection *connection);

#endif
