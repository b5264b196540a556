/*
 * test-platform-formats.c - the users' platform's formats, both ways.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "platform/platform.h"
#include "support/standin-store.h"

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"h\",\"prefix\":\"/b/\","
	"\"routeType\":\"idempotent\",\"service\":\"k\"}]}";

static void assert_call(const struct rr_feed_call *call, const char *start,
			const char *body)
{
	GString *bytes = rr_encode_feed_call(call, "10.0.0.9:80");
	char *end = strstr(bytes->str, "\r\n\r\n");

	assert_non_null(end);
	assert_true(g_str_has_prefix(bytes->str, start));
	assert_non_null(strstr(bytes->str, "\r\nHost: 10.0.0.9:80\r\n"));
	assert_string_equal(end + 4, body);
	g_string_free(bytes, TRUE);
}

static void test_prefix_counts(void **state)
{
	const struct rr_feed_call range = { .kind = RR_FEED_RANGE };
	const struct rr_feed_call page = { .kind = RR_FEED_RANGE,
					   .after_key = "servers/i 1" };
	const struct rr_feed_call watch = { .kind = RR_FEED_WATCH,
					    .after_revision = 411,
					    .wait_ms = 20000 };
	const struct rr_feed_call grant = { .kind = RR_FEED_LEASE_GRANT,
					    .ttl_ms = 3000 };
	const struct rr_feed_call keep = { .kind = RR_FEED_LEASE_RENEW,
					   .lease = 77120 };
	const struct rr_feed_call leave = { .kind = RR_FEED_LEASE_REVOKE,
					    .lease = 77120 };

	assert_call(&range, "GET /v1/kv-range?prefix= HTTP/1.1\r\n", "");
	assert_call(&page,
		    "GET /v1/kv-range?prefix=&after=servers/i%201 HTTP/1.1\r\n",
		    "");
	assert_call(&watch,
		    "GET /v1/kv-watch?prefix=&after=411&waitMs=20000 "
		    "HTTP/1.1\r\n",
		    "");
	assert_call(&grant, "POST /v1/kv-lease HTTP/1.1\r\n",
		    "{\"ttlMs\":3000}");
	assert_call(&keep, "POST /v1/kv-keep/77120 HTTP/1.1\r\n", "{}");
	assert_call(&leave, "DELETE /v1/kv-lease-end/77120 HTTP/1.1\r\n", "");
}

static void test_replica_entry(void **state)
{
	struct rr_instance entry = { .id = (char *)"front-1",
				     .zone = (char *)"z" };
	gpointer entries[] = { &entry };
	GPtrArray entered = { .pdata = entries, .len = 1 };
	const struct rr_feed_call enter = { .kind = RR_FEED_WRITE_ENTRIES,
					    .lease = 5,
					    .added = &entered };
	GString *bytes = rr_encode_feed_call(&enter, "s:1");

	assert_true(g_str_has_prefix(bytes->str, "POST /v1/kv-txn HTTP/1.1"));
	assert_non_null(
		strstr(bytes->str, "\"key\":\"ragwort/instances/front-1\""));
	assert_non_null(strstr(bytes->str, "\"lease\":5}"));
	g_string_free(bytes, TRUE);
}

/* The first read takes an old copy; other instances' copies are not old. */
static void test_old_copies(void **state)
{
	const struct rr_feed_call old = { .kind = RR_FEED_RANGE,
					  .allow_stale = true };
	const struct rr_feed_call page = { .kind = RR_FEED_RANGE,
					   .allow_stale = true,
					   .after_key = "servers/i" };

	(void)state;
	assert_call(&old,
		    "GET /v1/kv-range?prefix=&serializable=1 HTTP/1.1\r\n", "");
	assert_call(&page,
		    "GET /v1/kv-range?prefix=&after=servers/i&serializable=1 "
		    "HTTP/1.1\r\n",
		    "");
}

static struct rr_feed_reply decode(enum rr_feed_call_kind kind, uint16_t status,
				   const char *body)
{
	struct rr_feed_reply reply = { 0 };

	rr_decode_feed_reply(kind, status, (const uint8_t *)body, strlen(body),
			     &reply);
	return reply;
}

static void drop(struct rr_feed_reply *reply)
{
	if (reply->items)
		g_ptr_array_unref(reply->items);
	reply->items = NULL;
}

static void test_range_reply(void **state)
{
	char *coded = g_base64_encode((const guchar *)config, strlen(config));
	struct test_replica_entry listed = { .id = "i-1" };
	char *text = test_make_replica_entry(&listed);
	char *entry = g_base64_encode((const guchar *)text, strlen(text));
	char *body = g_strdup_printf(
		"{\"items\":[{\"key\":\"op/config\",\"value\":\"%s\","
		"\"revision\":3,\"created\":3,\"lease\":0},"
		"{\"key\":\"servers/i-1\",\"value\":\"%s\",\"revision\":9},"
		"{\"key\":\"ragwort/instances/n1\",\"value\":\"e30=\","
		"\"revision\":10},{\"key\":\"op/else\",\"value\":\"\","
		"\"revision\":11}],"
		"\"hasMore\":true,\"storeRevision\":530}",
		coded, entry);
	struct rr_feed_reply reply = decode(RR_FEED_RANGE, 200, body);
	struct rr_feed_item *item;

	assert_int_equal(reply.status, RR_FEED_OK);
	assert_int_equal(reply.revision, 530);
	assert_true(reply.more);
	assert_int_equal(reply.items->len, 4);
	item = g_ptr_array_index(reply.items, 0);
	assert_int_equal(item->kind, RR_FEED_ROUTES);
	assert_int_equal(rr_route_table_version(item->routes), 7);
	item = g_ptr_array_index(reply.items, 1);
	assert_int_equal(item->kind, RR_FEED_REPLICA);
	assert_string_equal(item->replica->id, "i-1");
	item = g_ptr_array_index(reply.items, 2);
	assert_int_equal(item->kind, RR_FEED_INSTANCE);
	assert_string_equal(item->id, "n1");
	item = g_ptr_array_index(reply.items, 3);
	assert_int_equal(item->kind, RR_FEED_OTHER);
	drop(&reply);
	g_free(body);
	g_free(entry);
	g_free(text);
	g_free(coded);
}

static void test_watch_reply(void **state)
{
	struct rr_feed_reply reply =
		decode(RR_FEED_WATCH, 200,
		       "{\"events\":[{\"key\":\"servers/i-1\",\"revision\":413,"
		       "\"removed\":true}],\"storeRevision\":413}");
	struct rr_feed_item *item = g_ptr_array_index(reply.items, 0);

	assert_true(item->removed);
	assert_int_equal(item->revision, 413);
	assert_int_equal(reply.revision, 413);
	drop(&reply);
}

static void test_other_replies(void **state)
{
	struct rr_feed_reply reply;

	reply = decode(RR_FEED_LEASE_GRANT, 200,
		       "{\"lease\":77120,\"ttlMs\":3000}");
	assert_int_equal(reply.status, RR_FEED_OK);
	assert_int_equal(reply.lease, 77120);
	reply = decode(RR_FEED_LEASE_RENEW, 404, "{}");
	assert_int_equal(reply.status, RR_FEED_NO_LEASE);
	reply = decode(RR_FEED_WRITE_ENTRIES, 404, "{}");
	assert_int_equal(reply.status, RR_FEED_NO_LEASE);
	reply = decode(RR_FEED_WATCH, 410, "");
	assert_int_equal(reply.status, RR_FEED_COMPACTED);
}

/* Whatever is no such answer changes nothing and is tried again. */
static void test_failures(void **state)
{
	static const struct {
		enum rr_feed_call_kind kind;
		uint16_t status;
		const char *body;
	} cases[] = {
		{ RR_FEED_RANGE, 503, "" },
		{ RR_FEED_RANGE, 429, "{}" },
		{ RR_FEED_RANGE, 200, "" },
		{ RR_FEED_RANGE, 200, "{\"items\":[]}" },
		{ RR_FEED_RANGE, 200, "{\"items\":[3],\"storeRevision\":3}" },
		{ RR_FEED_WATCH, 200, "{\"items\":[],\"storeRevision\":3}" },
		{ RR_FEED_WATCH, 404, "" },
		{ RR_FEED_LEASE_GRANT, 200, "{}" },
		{ RR_FEED_LEASE_RENEW, 429, "" },
		{ RR_FEED_WRITE_ENTRIES, 412, "{}" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rr_feed_reply reply =
			decode(cases[i].kind, cases[i].status, cases[i].body);

		if (reply.status != RR_FEED_FAILED)
			fail_msg("case %zu: %d", i, reply.status);
		drop(&reply);
	}
}

static void test_key_calls(void **state)
{
	struct rr_store_request call;

	rr_make_get_request(&call, "ledger/3 4");
	assert_string_equal(call.path, "/v1/kv-key?key=ledger/3%204");
	assert_null(call.body);
	rr_clear_store_request(&call);
	rr_make_cas_request(&call, "ledger/3", 7, "one", 3);
	assert_string_equal(call.path, "/v1/kv-txn");
	assert_string_equal(call.body,
			    "{\"expectedRev\":[{\"key\":\"ledger/3\","
			    "\"revision\":7}],\"writes\":[{\"key\":"
			    "\"ledger/3\",\"value\":\"b25l\",\"lease\":0}],"
			    "\"deletes\":[]}");
	rr_clear_store_request(&call);
}

static struct rr_key_reply got(uint16_t status, const char *body)
{
	struct rr_key_reply reply;

	rr_decode_get_reply(status, body, strlen(body), &reply);
	return reply;
}

static struct rr_key_reply swapped(uint16_t status, const char *body)
{
	struct rr_key_reply reply;

	rr_decode_cas_reply("a", status, body, strlen(body), &reply);
	return reply;
}

static void test_key_replies(void **state)
{
	struct rr_key_reply reply =
		got(200, "{\"key\":\"a\",\"revision\":9,\"value\":\"b25l\"}");

	assert_int_equal(reply.status, RR_STORE_OK);
	assert_int_equal(reply.revision, 9);
	assert_int_equal(reply.length, 3);
	assert_string_equal(reply.value, "one");
	rr_clear_key_reply(&reply);
	reply = got(404, "{}");
	assert_int_equal(reply.status, RR_STORE_OK);
	assert_null(reply.value);
	assert_int_equal(reply.revision, 0);
	reply = swapped(200, "{\"revision\":12}");
	assert_int_equal(reply.status, RR_STORE_OK);
	assert_int_equal(reply.revision, 12);
	reply = swapped(412, "{\"items\":[{\"key\":\"b\",\"revision\":3},"
			     "{\"key\":\"a\",\"revision\":8}]}");
	assert_int_equal(reply.status, RR_STORE_CONFLICT);
	assert_int_equal(reply.revision, 8);
	reply = swapped(412, "{\"items\":[]}");
	assert_int_equal(reply.status, RR_STORE_CONFLICT);
	assert_int_equal(reply.revision, 0);
}

/*
 * "Nothing was done" and "it may have been done" must never be taken for each
 * other: a reservation hangs on it.
 */
static void test_what_a_reply_proves(void **state)
{
	static const struct {
		const char *body;
		enum rr_store_status proves;
		uint16_t status;
	} cases[] = {
		{ "{}", RR_STORE_UNAVAILABLE, 503 },
		{ "{}", RR_STORE_UNAVAILABLE, 429 },
		{ "{}", RR_STORE_UNKNOWN, 500 },
		{ "{}", RR_STORE_UNKNOWN, 502 },
		{ "", RR_STORE_UNKNOWN, 200 },
		{ "{}", RR_STORE_UNKNOWN, 200 },
		{ "{\"revision\":-1}", RR_STORE_UNKNOWN, 200 },
		{ "[1]", RR_STORE_UNKNOWN, 200 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rr_key_reply reply =
			swapped(cases[i].status, cases[i].body);

		assert_int_equal(reply.status, cases[i].proves);
		reply = got(cases[i].status, cases[i].body);
		assert_int_equal(reply.status, cases[i].proves);
		assert_null(reply.value);
	}
}

/* An instance answers another in the store's own words. */
static void test_news_of_instances(void **state)
{
	struct rr_feed_change changes[] = {
		{ .key = "servers/i1", .value = "e30=", .revision = 8 },
		{ .key = "op/config", .revision = 9 },
	};
	GArray *items =
		g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	struct rr_feed_call asked = { .kind = RR_FEED_WATCH,
				      .after_revision = 7,
				      .wait_ms = 750 };
	struct rr_feed_reply reply = { 0 };
	struct rr_change_feed_request call;
	GString *bytes = rr_encode_feed_call(&asked, "10.0.0.1:9");
	char **words = g_strsplit(bytes->str, " ", 3);
	GString *body;

	assert_true(rr_parse_change_feed_request(words[1], &call));
	assert_false(call.wants_snapshot);
	assert_int_equal(call.after_revision, 7);
	assert_int_equal(call.wait_ms, 750);
	g_array_append_vals(items, changes, G_N_ELEMENTS(changes));
	body = rr_encode_change_feed_reply(&call, items, 11);
	rr_decode_feed_reply(RR_FEED_WATCH, 200, (const uint8_t *)body->str,
			     body->len, &reply);
	assert_int_equal(reply.status, RR_FEED_OK);
	assert_int_equal(reply.revision, 11);
	assert_int_equal(reply.items->len, 2);
	assert_true(((struct rr_feed_item *)g_ptr_array_index(reply.items, 1))
			    ->removed);
	g_ptr_array_unref(reply.items);
	g_string_free(body, TRUE);
	g_string_free(bytes, TRUE);
	g_strfreev(words);
	g_array_unref(items);
}

/* Routes as the store has them, long enough to be packed. */
static char *make_long_routes(void)
{
	char *padding = g_strnfill(40000, 'x');
	char *text = g_strdup_printf("%.*s,\"padding\":\"%s\"}",
				     (int)strlen(config) - 1, config, padding);

	g_free(padding);
	return text;
}

static struct rr_feed_reply read_watch(const char *body)
{
	struct rr_feed_reply reply = { 0 };

	rr_decode_feed_reply(RR_FEED_WATCH, 200, (const uint8_t *)body,
			     strlen(body), &reply);
	assert_int_equal(reply.status, RR_FEED_OK);
	assert_int_equal(reply.items->len, 1);
	return reply;
}

static struct rr_feed_item *only_item(const struct rr_feed_reply *reply)
{
	return g_ptr_array_index(reply->items, 0);
}

/* Pass an item on as its asker wants it, and read it there. */
static struct rr_feed_reply pass_on(const struct rr_feed_item *item,
				    bool packed, size_t *bytes)
{
	struct rr_feed_change news = {
		.key = item->key,
		.value = item->value,
		.compressed = item->compressed,
		.revision = item->revision,
	};
	struct rr_change_feed_request call = { .accepts_compressed = packed };
	GArray *items =
		g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	struct rr_feed_reply reply;
	GString *body;

	g_array_append_val(items, news);
	body = rr_encode_change_feed_reply(&call, items, item->revision);
	*bytes = body->len;
	reply = read_watch(body->str);
	g_string_free(body, TRUE);
	g_array_unref(items);
	return reply;
}

/*
 * Story: a watcher of a large zone passes each configuration on to a dozen
 * others: 477 KB, 600 times a day, is more than control may send.  It goes
 * packed, through any number of instances; one of an older version, which
 * does not know of that, gets it as the store has it.
 */
static void test_long_values_go_packed(void **state)
{
	char *text = make_long_routes();
	char *coded = g_base64_encode((const guchar *)text, strlen(text));
	char *body = g_strdup_printf(
		"{\"storeRevision\":9,\"events\":[{\"key\":\"op/config\","
		"\"revision\":9,\"value\":\"%s\"}]}",
		coded);
	struct rr_feed_reply first = read_watch(body);
	struct rr_feed_reply next;
	struct rr_feed_reply old;
	size_t packed_bytes;
	size_t old_bytes;

	(void)state;
	assert_non_null(only_item(&first)->routes);
	next = pass_on(only_item(&first), true, &packed_bytes);
	assert_non_null(only_item(&next)->routes);
	assert_string_equal(only_item(&next)->value, only_item(&first)->value);
	assert_true(packed_bytes < strlen(body) / 10);
	old = pass_on(only_item(&next), false, &old_bytes);
	assert_non_null(only_item(&old)->routes);
	assert_int_equal(old_bytes, strlen(body));
	g_ptr_array_unref(first.items);
	g_ptr_array_unref(next.items);
	g_ptr_array_unref(old.items);
	g_free(body);
	g_free(coded);
	g_free(text);
}

/* An asker says whether it takes packed values; the store is not told so. */
static void test_who_takes_packed_values(void **state)
{
	struct rr_feed_call asked = { .kind = RR_FEED_WATCH };
	struct rr_change_feed_request call;

	(void)state;
	for (int peer = 0; peer < 2; peer++) {
		GString *bytes;
		char **words;

		asked.peer = peer ? "10.0.0.1:9" : NULL;
		bytes = rr_encode_feed_call(&asked, "10.0.0.1:9");
		words = g_strsplit(bytes->str, " ", 3);
		assert_true(rr_parse_change_feed_request(words[1], &call));
		assert_int_equal(call.accepts_compressed, peer);
		g_strfreev(words);
		g_string_free(bytes, TRUE);
	}
	assert_true(rr_parse_change_feed_request(
		"/v1/kv-range?prefix=&packed=1", &call));
	assert_true(call.wants_snapshot && call.accepts_compressed);
}

/*
 * What cannot be unpacked leaves the routes as they were, and is kept as it
 * came: the instances that ask this one have to hear that there was something.
 */
static void test_unreadable_packed_value(void **state)
{
	struct rr_feed_reply reply = read_watch(
		"{\"storeRevision\":9,\"events\":[{\"key\":\"op/config\","
		"\"revision\":9,\"packed\":\"e30=\"}]}");

	(void)state;
	assert_null(only_item(&reply)->routes);
	assert_non_null(only_item(&reply)->decode_error);
	assert_string_equal(only_item(&reply)->value, "e30=");
	g_ptr_array_unref(reply.items);
}

static void test_what_is_no_news_call(void **state)
{
	static const char *const targets[] = {
		"/",
		"/v1/kv-watch",
		"/v1/kv-watch?prefix=&after=&waitMs=1",
		"/v1/kv-watch?prefix=&after=1x&waitMs=1",
		"/v1/kv-watch?prefix=&after=1",
		"/v1/kv-range?prefix=&after=a",
		"/search/1?after=1&waitMs=2",
	};
	struct rr_change_feed_request call;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		assert_false(rr_parse_change_feed_request(targets[i], &call));
	assert_true(
		rr_parse_change_feed_request("/v1/kv-range?prefix=", &call));
	assert_true(call.wants_snapshot);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prefix_counts),
		cmocka_unit_test(test_replica_entry),
		cmocka_unit_test(test_range_reply),
		cmocka_unit_test(test_watch_reply),
		cmocka_unit_test(test_other_replies),
		cmocka_unit_test(test_failures),
		cmocka_unit_test(test_key_calls),
		cmocka_unit_test(test_key_replies),
		cmocka_unit_test(test_what_a_reply_proves),
		cmocka_unit_test(test_news_of_instances),
		cmocka_unit_test(test_long_values_go_packed),
		cmocka_unit_test(test_who_takes_packed_values),
		cmocka_unit_test(test_unreadable_packed_value),
		cmocka_unit_test(test_what_is_no_news_call),
		cmocka_unit_test(test_old_copies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
