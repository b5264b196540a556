/*
 * standin-store.c - reads, watches and faults of the stand-in store.
 */
#include "base/json-private.h"
#include "support/standin-store-private.h"

#include <string.h>

/* How long new watches are held after a compaction. */
#define HOLD_WATCHES_MS 100
#define TICK_MS 20

/* A watch without changes yet, or a delayed answer. */
struct waiter {
	struct test_connection *connection;
	char *prefix;
	uint64_t after;
	int64_t deadline_us;
	char *answer; /* NULL for a watch */
	int status;
};

static void free_waiter(gpointer data)
{
	struct waiter *waiter = data;

	g_free(waiter->answer);
	g_free(waiter->prefix);
	g_free(waiter);
}

void test_append_store_item(GString *out, const struct test_store_item *item)
{
	g_string_append(out, "{\"key\":");
	rr_append_json_string(out, item->key);
	g_string_append_printf(out, ",\"revision\":%" G_GUINT64_FORMAT ",",
			       item->revision);
	if (item->value)
		g_string_append_printf(out,
				       "\"value\":\"%s\",\"lease\":%" //
				       G_GUINT64_FORMAT "}",
				       item->value, item->lease);
	else
		g_string_append(out, "\"removed\":true}");
}

/* Returns the changes after a revision; NULL if there are none. */
static char *changes_after(const struct test_store *store, const char *prefix,
			   uint64_t after)
{
	GString *out = g_string_new("{\"events\":[");
	bool found = false;

	for (guint i = 0; i < store->changes->len; i++) {
		const struct test_store_item *item =
			g_ptr_array_index(store->changes, i);

		if (item->revision <= after ||
		    !g_str_has_prefix(item->key, prefix))
			continue;
		if (found)
			g_string_append_c(out, ',');
		test_append_store_item(out, item);
		found = true;
	}
	g_string_append_printf(out,
			       "],\"storeRevision\":%" G_GUINT64_FORMAT "}",
			       store->revision);
	return g_string_free(out, !found);
}

static void reply(struct test_store *store, struct test_connection *connection,
		  int status, const char *body)
{
	char *era = g_strdup_printf("Store-Era: %" G_GUINT64_FORMAT "\r\n",
				    store->era);

	test_reply_to(connection, status, era, body, false);
	g_free(era);
}

void test_answer_store_call_now(struct test_store *store,
				struct test_connection *connection, int status,
				const char *body)
{
	store->calls++;
	reply(store, connection, status, body);
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
	waiter->deadline_us = g_get_monotonic_time() + wait_us;
	waiter->status = status;
	waiter->answer = g_strdup(answer);
	g_ptr_array_add(store->waiters, waiter);
}

void test_answer_store_call(struct test_store *store,
			    struct test_connection *connection, int status,
			    const char *body)
{
	if (store->answer_delay_ms)
		add_waiter(store, connection, "", 0,
			   store->answer_delay_ms * 1000, status, body);
	else
		test_answer_store_call_now(store, connection, status, body);
}

/*
 * Answers a watch or delayed call that is due, after removing it from the list.
 */
static void answer_waiter(struct test_store *store, guint index)
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
	test_answer_store_call_now(store, connection, status, body);
	g_free(body);
}

static bool has_change(const struct test_store *store,
		       const struct waiter *waiter)
{
	for (guint i = store->changes->len; i > 0; i--) {
		const struct test_store_item *item =
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
	if (waiter->deadline_us <= g_get_monotonic_time())
		return true;
	return !store->watches_muted && !waiter->answer &&
	       has_change(store, waiter);
}

void test_answer_due_store_calls(struct test_store *store)
{
	guint i = 0;

	if (store->state != TEST_STORE_UP)
		return;
	while (i < store->waiters->len) {
		if (is_due(store, g_ptr_array_index(store->waiters, i)))
			answer_waiter(store, i);
		else
			i++;
	}
}

/*
 * Leases do not run down while the store is not up, unless leases_expire_down
 * is set.
 */
static gboolean tick(gpointer data)
{
	struct test_store *store = data;
	GHashTableIter iter;
	gpointer lease;

	if (store->state == TEST_STORE_UP || store->leases_expire_down)
		test_expire_store_leases(store);
	if (store->state != TEST_STORE_UP && !store->leases_expire_down) {
		g_hash_table_iter_init(&iter, store->leases);
		while (g_hash_table_iter_next(&iter, NULL, &lease))
			((struct test_store_lease *)lease)->expires_us +=
				TICK_MS * 1000;
	}
	test_answer_due_store_calls(store);
	return G_SOURCE_CONTINUE;
}

static uint64_t parse_query_number(const char *path, const char *name)
{
	const char *at = strstr(path, name);

	return at ? g_ascii_strtoull(at + strlen(name), NULL, 10) : 0;
}

/* Returns a decoded parameter of the query string; "" if absent. */
static char *parse_query_text(const char *path, const char *name)
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

struct test_prefix_counts *test_find_store_counts(struct test_store *store,
						  const char *key)
{
	static struct test_prefix_counts uncounted;

	return store->counts ? test_get_prefix_counts(store->counts, key) :
			       &uncounted;
}

static void handle_range(struct test_store *store,
			 struct test_connection *connection)
{
	bool stale = parse_query_number(connection->path, "&serializable=");
	char *prefix = parse_query_text(connection->path, "?prefix=");
	GString *out = g_string_new("{\"items\":[");
	uint64_t revision;
	GPtrArray *items = test_list_store_items(store, stale, &revision);
	bool found = false;

	test_find_store_counts(store, prefix)->reads++;
	for (guint i = 0; i < items->len; i++) {
		const struct test_store_item *item =
			g_ptr_array_index(items, i);

		if (!g_str_has_prefix(item->key, prefix))
			continue;
		if (found)
			g_string_append_c(out, ',');
		test_append_store_item(out, item);
		found = true;
	}
	g_ptr_array_unref(items);
	g_free(prefix);
	g_string_append_printf(out,
			       "],\"hasMore\":false,"
			       "\"storeRevision\":%" G_GUINT64_FORMAT "}",
			       revision);
	test_answer_store_call(store, connection, 200, out->str);
	g_string_free(out, TRUE);
}

static void handle_key(struct test_store *store,
		       struct test_connection *connection)
{
	char *key = parse_query_text(connection->path, "?key=");
	const struct test_store_item *item =
		g_hash_table_lookup(store->items, key);
	GString *out = g_string_new(NULL);

	test_find_store_counts(store, key)->reads++;
	if (item)
		test_append_store_item(out, item);
	else
		g_string_append(out, "{}");
	test_answer_store_call(store, connection, item ? 200 : 404, out->str);
	g_string_free(out, TRUE);
	g_free(key);
}

static void handle_watch(struct test_store *store,
			 struct test_connection *connection)
{
	uint64_t after = parse_query_number(connection->path, "&after=");
	int64_t wait_us =
		(int64_t)parse_query_number(connection->path, "&waitMs=") *
		1000;
	char *prefix = parse_query_text(connection->path, "?prefix=");

	test_find_store_counts(store, prefix)->watches++;
	if (after < store->compacted_revision &&
	    g_get_monotonic_time() < store->hold_watches_until_us)
		add_waiter(store, connection, prefix, after, wait_us, 410,
			   "{}");
	else if (after < store->compacted_revision || after > store->revision)
		test_answer_store_call(store, connection, 410, "{}");
	else
		add_waiter(store, connection, prefix, after, wait_us, 200,
			   NULL);
	test_answer_due_store_calls(store);
	g_free(prefix);
}

static void handle_call(struct test_connection *connection)
{
	static const struct {
		const char *path; /* prefix; longer ones first */
		bool write;
		void (*handle)(struct test_store *store,
			       struct test_connection *connection);
	} calls[] = {
		{ "/v1/kv-range", false, handle_range },
		{ "/v1/kv-watch", false, handle_watch },
		{ "/v1/kv-key", false, handle_key },
		{ "/v1/kv-txn", true, test_handle_txn },
		{ "/v1/kv-lease-end", true, test_handle_lease_revoke },
		{ "/v1/kv-lease", true, test_handle_lease_grant },
		{ "/v1/kv-keep", false, test_handle_lease_renew },
	};
	struct test_store *store = connection->server->data;

	if (store->state == TEST_STORE_UNRESPONSIVE ||
	    connection->server->reset)
		return;
	if (store->state == TEST_STORE_BUSY) {
		reply(store, connection, 503, "{}");
		return;
	}
	for (gsize i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (!g_str_has_prefix(connection->path, calls[i].path))
			continue;
		if (test_rate_limit_call(&store->rate, calls[i].write))
			reply(store, connection, 429, "{}");
		else
			calls[i].handle(store, connection);
		return;
	}
	test_answer_store_call(store, connection, 404, "{}");
}

static void remove_waiters(struct test_connection *connection)
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

void test_close_store_connections(struct test_store *store)
{
	while (store->server.connections->len)
		test_close_connection(
			g_ptr_array_index(store->server.connections, 0));
}

void test_compact_store(struct test_store *store)
{
	store->compacted_revision = store->revision;
	store->hold_watches_until_us =
		g_get_monotonic_time() + HOLD_WATCHES_MS * 1000;
	store->watches_muted = false;
	g_ptr_array_set_size(store->changes, 0);
	test_close_store_connections(store);
}

void test_store_set_state(struct test_store *store, enum test_store_state state)
{
	store->state = state;
	store->server.reset = state == TEST_STORE_RESET;
	/* Calls made while the store was down are never answered. */
	test_close_store_connections(store);
}

bool test_store_has_current_watch(const struct test_store *store)
{
	for (guint i = 0; i < store->waiters->len; i++) {
		const struct waiter *waiter =
			g_ptr_array_index(store->waiters, i);

		if (!waiter->answer && waiter->after >= store->revision)
			return true;
	}
	return false;
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
			.request = handle_call,
			.closing = remove_waiters,
		},
		/* Non-zero even before the first write. */
		.revision = 1,
		.era = 1,
	};
	store->rand = g_rand_new_with_seed(seed);
	store->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     test_free_store_item);
	store->changes = g_ptr_array_new_with_free_func(test_free_store_item);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	store->waiters = g_ptr_array_new_with_free_func(free_waiter);
	store->timer = g_timeout_add(TICK_MS, tick, store);
	test_set_listening(&store->server, true);
}

void test_close_store(struct test_store *store)
{
	test_set_listening(&store->server, false);
	test_close_store_connections(store);
	g_ptr_array_unref(store->server.connections);
	g_source_remove(store->timer);
	g_ptr_array_unref(store->waiters);
	test_drop_store_copy(store->copy);
	test_release_stale_reads(store);
	g_ptr_array_unref(store->changes);
	g_hash_table_unref(store->items);
	g_hash_table_unref(store->leases);
	g_rand_free(store->rand);
}

static const char *text_or_default(const char *text, const char *default_text)
{
	return text ? text : default_text;
}

char *test_make_replica_entry(const struct test_replica_entry *entry)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out,
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\","
		"\"coldRemainingMs\":%u,\"sequence\":1",
		text_or_default(entry->service, "any"),
		text_or_default(entry->address, "127.0.0.1:1"),
		text_or_default(entry->zone, "a"), MAX(entry->slots, 1),
		entry->draining ? "draining" : "ready", entry->cold_ms);
	if (entry->started_ms)
		g_string_append_printf(out, ",\"born\":%" G_GINT64_FORMAT,
				       entry->started_ms);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

void test_store_put_replica(struct test_store *store,
			    const struct test_replica_entry *entry)
{
	char *key = g_strdup_printf("servers/%s", entry->id);
	char *value = test_make_replica_entry(entry);

	test_store_put(store, key, value);
	g_free(value);
	g_free(key);
}
