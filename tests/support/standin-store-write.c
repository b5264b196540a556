/*
 * standin-store-write.c - writes, leases and transactions of the stand-in
 * store.
 */
#include "support/standin-store-private.h"

#include <json-glib/json-glib.h>
#include <string.h>

void test_free_store_item(gpointer data)
{
	struct test_store_item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

struct test_store_item *test_new_store_item(const char *key, const char *value,
					    uint64_t revision, uint64_t lease)
{
	struct test_store_item *item = g_new0(struct test_store_item, 1);

	item->key = g_strdup(key);
	item->value = g_strdup(value);
	item->revision = revision;
	item->lease = lease;
	return item;
}

static void write_item(struct test_store *store, const char *key,
		       const char *value, uint64_t lease)
{
	uint64_t revision = ++store->revision;

	g_ptr_array_add(store->changes,
			test_new_store_item(key, value, revision, lease));
	if (value)
		g_hash_table_insert(
			store->items, g_strdup(key),
			test_new_store_item(key, value, revision, lease));
	else
		g_hash_table_remove(store->items, key);
}

void test_store_put(struct test_store *store, const char *key,
		    const char *value)
{
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	write_item(store, key, encoded, 0);
	g_free(encoded);
	test_answer_due_store_calls(store);
}

void test_store_remove(struct test_store *store, const char *key)
{
	if (!g_hash_table_contains(store->items, key))
		return;
	write_item(store, key, NULL, 0);
	test_answer_due_store_calls(store);
}

static void revoke_lease(struct test_store *store, uint64_t id)
{
	GList *keys = g_hash_table_get_keys(store->items);

	for (GList *l = keys; l; l = l->next) {
		const struct test_store_item *item =
			g_hash_table_lookup(store->items, l->data);

		if (item->lease == id) {
			char *key = g_strdup(l->data);

			write_item(store, key, NULL, 0);
			g_free(key);
		}
	}
	g_list_free(keys);
	g_hash_table_remove(store->leases, &id);
}

void test_expire_store_leases(struct test_store *store)
{
	GList *leases = g_hash_table_get_values(store->leases);

	for (GList *l = leases; l; l = l->next) {
		struct test_store_lease *lease = l->data;

		if (lease->expires_us <= g_get_monotonic_time())
			revoke_lease(store, lease->id);
	}
	g_list_free(leases);
}

static uint64_t parse_path_number(const char *path)
{
	const char *slash = strrchr(path, '/');

	return g_ascii_strtoull(slash + 1, NULL, 10);
}

/*
 * Closes the connection of a write instead of answering it, if that is to be
 * simulated. Returns whether it did.
 */
static bool lose_answer(struct test_store *store,
			struct test_connection *connection)
{
	if (store->lose_next_writes)
		store->lose_next_writes--;
	else if (g_rand_double(store->rand) >= store->lost_write_share)
		return false;
	test_close_connection(connection);
	return true;
}

void test_handle_lease_grant(struct test_store *store,
			     struct test_connection *connection)
{
	struct test_store_lease *lease = g_new0(struct test_store_lease, 1);
	JsonNode *root = json_from_string(connection->body, NULL);
	char *body;

	lease->id = 1000 + ++store->revision;
	lease->ttl_us = json_object_get_int_member(json_node_get_object(root),
						   "ttlMs") *
			1000;
	lease->expires_us = g_get_monotonic_time() + lease->ttl_us;
	g_hash_table_insert(store->leases, &lease->id, lease);
	json_node_unref(root);
	if (lose_answer(store, connection))
		return;
	body = g_strdup_printf("{\"lease\":%" G_GUINT64_FORMAT ",\"ttlMs\":%d}",
			       lease->id, (int)(lease->ttl_us / 1000));
	test_answer_store_call(store, connection, 200, body);
	g_free(body);
}

void test_handle_lease_renew(struct test_store *store,
			     struct test_connection *connection)
{
	uint64_t id = parse_path_number(connection->path);
	struct test_store_lease *lease =
		g_hash_table_lookup(store->leases, &id);

	if (lease)
		lease->expires_us = g_get_monotonic_time() + lease->ttl_us;
	test_answer_store_call(store, connection, lease ? 200 : 404, "{}");
}

void test_handle_lease_revoke(struct test_store *store,
			      struct test_connection *connection)
{
	revoke_lease(store, parse_path_number(connection->path));
	test_answer_store_call(store, connection, 200, "{}");
}

/* Transactions are applied completely or not at all. */
static uint64_t find_revision(const struct test_store *store, const char *key)
{
	const struct test_store_item *item =
		g_hash_table_lookup(store->items, key);

	return item ? item->revision : 0;
}

static bool are_conditions_met(const struct test_store *store,
			       JsonArray *conditions)
{
	for (guint i = 0; i < json_array_get_length(conditions); i++) {
		JsonObject *condition =
			json_array_get_object_element(conditions, i);
		const char *key =
			json_object_get_string_member(condition, "key");

		if (find_revision(store, key) !=
		    (uint64_t)json_object_get_int_member(condition, "revision"))
			return false;
	}
	return true;
}

static bool are_leases_valid(const struct test_store *store, JsonArray *writes)
{
	for (guint i = 0; i < json_array_get_length(writes); i++) {
		JsonObject *write = json_array_get_object_element(writes, i);
		uint64_t lease =
			(uint64_t)json_object_get_int_member(write, "lease");

		if (lease && !g_hash_table_contains(store->leases, &lease))
			return false;
	}
	return true;
}

static void remove_keys(struct test_store *store, JsonObject *txn)
{
	JsonArray *deletes =
		json_object_has_member(txn, "deletes") ?
			json_object_get_array_member(txn, "deletes") :
			NULL;

	for (guint i = 0; deletes && i < json_array_get_length(deletes); i++) {
		const char *key = json_array_get_string_element(deletes, i);

		if (g_hash_table_contains(store->items, key))
			write_item(store, key, NULL, 0);
	}
}

static int commit(struct test_store *store, JsonObject *txn)
{
	JsonArray *writes = json_object_get_array_member(txn, "writes");

	if (!are_conditions_met(
		    store, json_object_get_array_member(txn, "expectedRev")))
		return 412;
	if (!are_leases_valid(store, writes))
		return 404;
	for (guint i = 0; i < json_array_get_length(writes); i++) {
		JsonObject *write = json_array_get_object_element(writes, i);

		write_item(
			store, json_object_get_string_member(write, "key"),
			json_object_get_string_member(write, "value"),
			(uint64_t)json_object_get_int_member(write, "lease"));
	}
	remove_keys(store, txn);
	return 200;
}

/* Returns the current items of the keys in the conditions of a transaction. */
static char *format_conflicts(const struct test_store *store, JsonObject *txn)
{
	JsonArray *conditions =
		json_object_get_array_member(txn, "expectedRev");
	GString *out = g_string_new("{\"items\":[");

	for (guint i = 0; i < json_array_get_length(conditions); i++) {
		const char *key = json_object_get_string_member(
			json_array_get_object_element(conditions, i), "key");
		const struct test_store_item *item =
			g_hash_table_lookup(store->items, key);

		if (!item)
			continue;
		if (out->str[out->len - 1] == '}')
			g_string_append_c(out, ',');
		test_append_store_item(out, item);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

struct delayed_write {
	struct test_store *store;
	JsonNode *root;
};

static gboolean commit_delayed(gpointer data)
{
	struct delayed_write *delayed = data;

	commit(delayed->store, json_node_get_object(delayed->root));
	test_answer_due_store_calls(delayed->store);
	json_node_unref(delayed->root);
	g_free(delayed);
	return G_SOURCE_REMOVE;
}

static const char *first_key(JsonObject *txn)
{
	JsonArray *writes = json_object_get_array_member(txn, "writes");
	JsonArray *deletes = json_object_get_array_member(txn, "deletes");

	if (json_array_get_length(writes))
		return json_object_get_string_member(
			json_array_get_object_element(writes, 0), "key");
	return json_array_get_string_element(deletes, 0);
}

void test_handle_txn(struct test_store *store,
		     struct test_connection *connection)
{
	JsonNode *root = json_from_string(connection->body, NULL);
	JsonObject *txn = json_node_get_object(root);
	struct test_prefix_counts *counts =
		test_find_store_counts(store, first_key(txn));
	struct delayed_write *delayed;
	char *body;
	int status;

	counts->writes++;
	if (store->delay_next_writes) {
		store->delay_next_writes--;
		delayed = g_new0(struct delayed_write, 1);
		delayed->store = store;
		delayed->root = root;
		g_timeout_add(store->write_delay_ms, commit_delayed, delayed);
		test_close_connection(connection);
		return;
	}
	status = commit(store, txn);
	if (status == 412)
		counts->conflicts++;
	body = status == 412 ?
		       format_conflicts(store, txn) :
		       g_strdup_printf("{\"revision\":%" G_GUINT64_FORMAT "}",
				       store->revision);
	json_node_unref(root);
	if (!lose_answer(store, connection))
		test_answer_store_call(store, connection, status, body);
	g_free(body);
	test_answer_due_store_calls(store);
}
