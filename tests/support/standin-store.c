/*
 * standin-store.c - keys, leases and watches of the stand-in store.
 */
#include "support/standin-store.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define TICK_MS 20

struct item {
	char *key;
	char *value; /* base64; NULL: removed */
	uint64_t revision;
	uint64_t lease;
};

struct lease {
	uint64_t id;
	int64_t ttl_us;
	int64_t until_us;
};

/* A watch that waits, or an answer that is slow. */
struct waiter {
	struct test_connection *connection;
	char *prefix;
	uint64_t after;
	int64_t until_us;
	char *answer; /* NULL: a watch */
	int status;
};

static void free_item(gpointer data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void free_waiter(gpointer data)
{
	struct waiter *waiter = data;

	g_free(waiter->answer);
	g_free(waiter->prefix);
	g_free(waiter);
}

static struct item *new_item(const char *key, const char *value,
			     uint64_t revision, uint64_t lease)
{
	struct item *item = g_new0(struct item, 1);

	item->key = g_strdup(key);
	item->value = g_strdup(value);
	item->revision = revision;
	item->lease = lease;
	return item;
}

/* Answers. */

static void append_item(GString *out, const struct item *item)
{
	g_string_append_printf(
		out, "{\"key\":\"%s\",\"revision\":%" G_GUINT64_FORMAT ",",
		item->key, item->revision);
	if (item->value)
		g_string_append_printf(out,
				       "\"value\":\"%s\",\"lease\":%" //
				       G_GUINT64_FORMAT "}",
				       item->value, item->lease);
	else
		g_string_append(out, "\"removed\":true}");
}

/* Changes behind a revision; NULL if there are none. */
static char *changes_after(const struct test_store *store, const char *prefix,
			   uint64_t after)
{
	GString *out = g_string_new("{\"events\":[");
	bool any = false;

	for (guint i = 0; i < store->changes->len; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (item->revision <= after ||
		    !g_str_has_prefix(item->key, prefix))
			continue;
		if (any)
			g_string_append_c(out, ',');
		append_item(out, item);
		any = true;
	}
	g_string_append_printf(out,
			       "],\"storeRevision\":%" G_GUINT64_FORMAT "}",
			       store->revision);
	return g_string_free(out, !any);
}

static void answer_now(struct test_store *store,
		       struct test_connection *connection, int status,
		       const char *body)
{
	store->calls++;
	test_reply_to(connection, status, "", body, false);
}

static void add_waiter(struct test_store *store,
		       struct test_connection *connection, const char *prefix,
		       uint64_t after, int64_t wait_us, int status,
		       const char *answer)
{
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->connection = connection;
	waiter->prefix = g_strdup(prefix);
	waiter->after = after;
	waiter->until_us = g_get_monotonic_time() + wait_us;
	waiter->status = status;
	waiter->answer = g_strdup(answer);
	g_ptr_array_add(store->waiters, waiter);
}

static void answer(struct test_store *store, struct test_connection *connection,
		   int status, const char *body)
{
	if (store->slow_ms)
		add_waiter(store, connection, "", 0, store->slow_ms * 1000,
			   status, body);
	else
		answer_now(store, connection, status, body);
}

/* A watch or slow answer is due: off the list before it is answered. */
static void end_waiter(struct test_store *store, guint index)
{
	struct waiter *waiter = g_ptr_array_index(store->waiters, index);
	char *body = waiter->answer ? g_strdup(waiter->answer) :
				      changes_after(store, waiter->prefix,
						    waiter->after);
	struct test_connection *connection = waiter->connection;
	int status = waiter->answer ? waiter->status : 200;

	g_ptr_array_remove_index_fast(store->waiters, index);
	if (!body)
		body = g_strdup_printf(
			"{\"events\":[],\"storeRevision\":%" G_GUINT64_FORMAT
			"}",
			store->revision);
	answer_now(store, connection, status, body);
	g_free(body);
}

static bool has_change(const struct test_store *store,
		       const struct waiter *waiter)
{
	for (guint i = store->changes->len; i > 0; i--) {
		const struct item *item =
			g_ptr_array_index(store->changes, i - 1);

		if (item->revision <= waiter->after)
			return false;
		if (g_str_has_prefix(item->key, waiter->prefix))
			return true;
	}
	return false;
}

static bool is_due(const struct test_store *store, const struct waiter *waiter)
{
	if (waiter->until_us <= g_get_monotonic_time())
		return true;
	return !waiter->answer && has_change(store, waiter);
}

static void answer_waiters(struct test_store *store)
{
	guint i = 0;

	if (store->state != TEST_STORE_UP)
		return;
	while (i < store->waiters->len) {
		if (is_due(store, g_ptr_array_index(store->waiters, i)))
			end_waiter(store, i);
		else
			i++;
	}
}

/* Changes. */

static void write_item(struct test_store *store, const char *key,
		       const char *value, uint64_t lease)
{
	uint64_t revision = ++store->revision;

	g_ptr_array_add(store->changes, new_item(key, value, revision, lease));
	if (value)
		g_hash_table_insert(store->items, g_strdup(key),
				    new_item(key, value, revision, lease));
	else
		g_hash_table_remove(store->items, key);
}

void test_store_put(struct test_store *store, const char *key,
		    const char *value)
{
	char *coded = g_base64_encode((const guchar *)value, strlen(value));

	write_item(store, key, coded, 0);
	g_free(coded);
	answer_waiters(store);
}

void test_store_remove(struct test_store *store, const char *key)
{
	if (!g_hash_table_contains(store->items, key))
		return;
	write_item(store, key, NULL, 0);
	answer_waiters(store);
}

static void end_lease(struct test_store *store, uint64_t id)
{
	GList *keys = g_hash_table_get_keys(store->items);

	for (GList *l = keys; l; l = l->next) {
		const struct item *item =
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

static void end_leases(struct test_store *store)
{
	GList *leases = g_hash_table_get_values(store->leases);

	for (GList *l = leases; l; l = l->next) {
		struct lease *lease = l->data;

		if (lease->until_us <= g_get_monotonic_time())
			end_lease(store, lease->id);
	}
	g_list_free(leases);
}

/* While it is not up, leases stand still unless they are to lapse. */
static gboolean tick(gpointer data)
{
	struct test_store *store = data;
	GHashTableIter iter;
	gpointer lease;

	if (store->state == TEST_STORE_UP || store->lapses)
		end_leases(store);
	if (store->state != TEST_STORE_UP && !store->lapses) {
		g_hash_table_iter_init(&iter, store->leases);
		while (g_hash_table_iter_next(&iter, NULL, &lease))
			((struct lease *)lease)->until_us += TICK_MS * 1000;
	}
	answer_waiters(store);
	return G_SOURCE_CONTINUE;
}

/* Calls. */

static uint64_t query_number(const char *path, const char *name)
{
	const char *at = strstr(path, name);

	return at ? g_ascii_strtoull(at + strlen(name), NULL, 10) : 0;
}

static uint64_t path_number(const char *path)
{
	const char *slash = strrchr(path, '/');

	return g_ascii_strtoull(slash + 1, NULL, 10);
}

/* A parameter of the query, decoded; "" if there is none. */
static char *query_text(const char *path, const char *name)
{
	const char *at = strstr(path, name);
	char *text;
	char *decoded;

	if (!at)
		return g_strdup("");
	at += strlen(name);
	text = g_strndup(at, strcspn(at, "&"));
	decoded = g_uri_unescape_string(text, NULL);
	g_free(text);
	return decoded ? decoded : g_strdup("");
}

static struct test_calls *calls_of(struct test_store *store, const char *key)
{
	static struct test_calls uncounted;

	return store->counts ? test_find_counts(store->counts, key) :
			       &uncounted;
}

static void take_range(struct test_store *store,
		       struct test_connection *connection)
{
	GString *out = g_string_new("{\"items\":[");
	GList *keys = g_hash_table_get_keys(store->items);
	char *prefix = query_text(connection->path, "?prefix=");
	bool any = false;

	calls_of(store, prefix)->reads++;
	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (GList *l = keys; l; l = l->next) {
		if (!g_str_has_prefix(l->data, prefix))
			continue;
		if (any)
			g_string_append_c(out, ',');
		append_item(out, g_hash_table_lookup(store->items, l->data));
		any = true;
	}
	g_list_free(keys);
	g_free(prefix);
	g_string_append_printf(out,
			       "],\"hasMore\":false,"
			       "\"storeRevision\":%" G_GUINT64_FORMAT "}",
			       store->revision);
	answer(store, connection, 200, out->str);
	g_string_free(out, TRUE);
}

static void take_key(struct test_store *store,
		     struct test_connection *connection)
{
	char *key = query_text(connection->path, "?key=");
	const struct item *item = g_hash_table_lookup(store->items, key);
	GString *out = g_string_new(NULL);

	calls_of(store, key)->reads++;
	if (item)
		append_item(out, item);
	else
		g_string_append(out, "{}");
	answer(store, connection, item ? 200 : 404, out->str);
	g_string_free(out, TRUE);
	g_free(key);
}

static void take_watch(struct test_store *store,
		       struct test_connection *connection)
{
	uint64_t after = query_number(connection->path, "&after=");
	int64_t wait_us =
		(int64_t)query_number(connection->path, "&waitMs=") * 1000;
	char *prefix = query_text(connection->path, "?prefix=");

	calls_of(store, prefix)->watches++;
	if (after < store->floor)
		answer(store, connection, 410, "{}");
	else
		add_waiter(store, connection, prefix, after, wait_us, 200,
			   NULL);
	answer_waiters(store);
	g_free(prefix);
}

/* Whether the answer to a write is lost: its connection ends. */
static bool loses(struct test_store *store, struct test_connection *connection)
{
	if (store->lose_next)
		store->lose_next--;
	else if (g_rand_double(store->rand) >= store->lost_share)
		return false;
	test_close_connection(connection);
	return true;
}

static void take_grant(struct test_store *store,
		       struct test_connection *connection)
{
	struct lease *lease = g_new0(struct lease, 1);
	JsonNode *root = json_from_string(connection->body, NULL);
	char *body;

	lease->id = 1000 + ++store->revision;
	lease->ttl_us = json_object_get_int_member(json_node_get_object(root),
						   "ttlMs") *
			1000;
	lease->until_us = g_get_monotonic_time() + lease->ttl_us;
	g_hash_table_insert(store->leases, &lease->id, lease);
	json_node_unref(root);
	if (loses(store, connection))
		return;
	body = g_strdup_printf("{\"lease\":%" G_GUINT64_FORMAT ",\"ttlMs\":%d}",
			       lease->id, (int)(lease->ttl_us / 1000));
	answer(store, connection, 200, body);
	g_free(body);
}

static void take_keep(struct test_store *store,
		      struct test_connection *connection)
{
	uint64_t id = path_number(connection->path);
	struct lease *lease = g_hash_table_lookup(store->leases, &id);

	if (lease)
		lease->until_us = g_get_monotonic_time() + lease->ttl_us;
	answer(store, connection, lease ? 200 : 404, "{}");
}

static void take_lease_end(struct test_store *store,
			   struct test_connection *connection)
{
	end_lease(store, path_number(connection->path));
	answer(store, connection, 200, "{}");
}

/* A transaction: all of it or nothing. */
static uint64_t revision_of(const struct test_store *store, const char *key)
{
	const struct item *item = g_hash_table_lookup(store->items, key);

	return item ? item->revision : 0;
}

static bool conditions_hold(const struct test_store *store,
			    JsonArray *conditions)
{
	for (guint i = 0; i < json_array_get_length(conditions); i++) {
		JsonObject *condition =
			json_array_get_object_element(conditions, i);
		const char *key =
			json_object_get_string_member(condition, "key");

		if (revision_of(store, key) !=
		    (uint64_t)json_object_get_int_member(condition, "revision"))
			return false;
	}
	return true;
}

static bool leases_stand(const struct test_store *store, JsonArray *writes)
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

static int commit(struct test_store *store, JsonObject *txn)
{
	JsonArray *writes = json_object_get_array_member(txn, "writes");

	if (!conditions_hold(store,
			     json_object_get_array_member(txn, "expectedRev")))
		return 412;
	if (!leases_stand(store, writes))
		return 404;
	for (guint i = 0; i < json_array_get_length(writes); i++) {
		JsonObject *write = json_array_get_object_element(writes, i);

		write_item(
			store, json_object_get_string_member(write, "key"),
			json_object_get_string_member(write, "value"),
			(uint64_t)json_object_get_int_member(write, "lease"));
	}
	return 200;
}

/* The keys that were to have another revision, as they are now. */
static char *items_now(const struct test_store *store, JsonObject *txn)
{
	JsonArray *conditions =
		json_object_get_array_member(txn, "expectedRev");
	GString *out = g_string_new("{\"items\":[");

	for (guint i = 0; i < json_array_get_length(conditions); i++) {
		const char *key = json_object_get_string_member(
			json_array_get_object_element(conditions, i), "key");
		const struct item *item =
			g_hash_table_lookup(store->items, key);

		if (!item)
			continue;
		if (out->str[out->len - 1] == '}')
			g_string_append_c(out, ',');
		append_item(out, item);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

struct late_write {
	struct test_store *store;
	JsonNode *root;
};

static gboolean commit_late(gpointer data)
{
	struct late_write *late = data;

	commit(late->store, json_node_get_object(late->root));
	answer_waiters(late->store);
	json_node_unref(late->root);
	g_free(late);
	return G_SOURCE_REMOVE;
}

static const char *first_key(JsonObject *txn)
{
	JsonArray *writes = json_object_get_array_member(txn, "writes");

	return json_object_get_string_member(
		json_array_get_object_element(writes, 0), "key");
}

static void take_txn(struct test_store *store,
		     struct test_connection *connection)
{
	JsonNode *root = json_from_string(connection->body, NULL);
	JsonObject *txn = json_node_get_object(root);
	struct test_calls *calls = calls_of(store, first_key(txn));
	struct late_write *late;
	char *body;
	int status;

	calls->writes++;
	if (store->late_next) {
		store->late_next--;
		late = g_new0(struct late_write, 1);
		late->store = store;
		late->root = root;
		g_timeout_add(store->late_ms, commit_late, late);
		test_close_connection(connection);
		return;
	}
	status = commit(store, txn);
	if (status == 412)
		calls->conflicts++;
	body = status == 412 ?
		       items_now(store, txn) :
		       g_strdup_printf("{\"revision\":%" G_GUINT64_FORMAT "}",
				       store->revision);
	json_node_unref(root);
	if (!loses(store, connection))
		answer(store, connection, status, body);
	g_free(body);
	answer_waiters(store);
}

static void take_call(struct test_connection *connection)
{
	static const struct {
		const char *path; /* a longer one before its beginning */
		bool write;
		void (*take)(struct test_store *store,
			     struct test_connection *connection);
	} calls[] = {
		{ "/v1/kv-range", false, take_range },
		{ "/v1/kv-watch", false, take_watch },
		{ "/v1/kv-key", false, take_key },
		{ "/v1/kv-txn", true, take_txn },
		{ "/v1/kv-lease-end", true, take_lease_end },
		{ "/v1/kv-lease", true, take_grant },
		{ "/v1/kv-keep", false, take_keep },
	};
	struct test_store *store = connection->server->data;

	if (store->state == TEST_STORE_SILENT || connection->server->reset)
		return;
	if (store->state == TEST_STORE_BUSY) {
		test_reply_to(connection, 503, "", "{}", false);
		return;
	}
	for (gsize i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (!g_str_has_prefix(connection->path, calls[i].path))
			continue;
		if (test_over_rate(&store->rate, calls[i].write))
			test_reply_to(connection, 429, "", "{}", false);
		else
			calls[i].take(store, connection);
		return;
	}
	answer(store, connection, 404, "{}");
}

static void forget_connection(struct test_connection *connection)
{
	struct test_store *store = connection->server->data;
	guint i = 0;

	while (i < store->waiters->len) {
		struct waiter *waiter = g_ptr_array_index(store->waiters, i);

		if (waiter->connection == connection)
			g_ptr_array_remove_index_fast(store->waiters, i);
		else
			i++;
	}
}

static void end_connections(struct test_store *store)
{
	while (store->server.connections->len)
		test_close_connection(
			g_ptr_array_index(store->server.connections, 0));
}

void test_store_forget(struct test_store *store)
{
	store->floor = store->revision;
	g_ptr_array_set_size(store->changes, 0);
	end_connections(store);
}

void test_store_set_state(struct test_store *store, enum test_store_state state)
{
	store->state = state;
	store->server.reset = state == TEST_STORE_RESET;
	/* What was asked while it was away is never answered. */
	end_connections(store);
}

bool test_store_is_followed(const struct test_store *store)
{
	for (guint i = 0; i < store->waiters->len; i++) {
		const struct waiter *waiter =
			g_ptr_array_index(store->waiters, i);

		if (!waiter->answer && waiter->after >= store->revision)
			return true;
	}
	return false;
}

guint test_store_count(const struct test_store *store, const char *prefix)
{
	GHashTableIter iter;
	gpointer key;
	guint n = 0;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		n += g_str_has_prefix(key, prefix);
	return n;
}

void test_open_store(struct test_store *store, uint32_t seed)
{
	test_open_store_at(store, 0, seed);
}

void test_open_store_at(struct test_store *store, uint16_t port, uint32_t seed)
{
	*store = (struct test_store){
		.server = {
			.port = port,
			.data = store,
			.request = take_call,
			.closing = forget_connection,
		},
		/* Above 0 before anything is written. */
		.revision = 1,
	};
	store->rand = g_rand_new_with_seed(seed);
	store->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_item);
	store->changes = g_ptr_array_new_with_free_func(free_item);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	store->waiters = g_ptr_array_new_with_free_func(free_waiter);
	store->timer = g_timeout_add(TICK_MS, tick, store);
	test_listen(&store->server, true);
}

void test_close_store(struct test_store *store)
{
	test_listen(&store->server, false);
	end_connections(store);
	g_ptr_array_unref(store->server.connections);
	g_source_remove(store->timer);
	g_ptr_array_unref(store->waiters);
	g_ptr_array_unref(store->changes);
	g_hash_table_unref(store->items);
	g_hash_table_unref(store->leases);
	g_rand_free(store->rand);
}
