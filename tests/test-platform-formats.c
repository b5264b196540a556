/*
 * test-platform-formats.c - encoding and decoding of the platform's formats.
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

static void test_feed_requests(void **state)
{
	const struct rr_feed_call range = { .kind = RR_FEED_RANGE };
	const struct rr_feed_call page = { .kind = RR_FEED_RANGE,
					   .after_key = "servers/i 1" };
	const struct rr_feed_call watch = { .kind = RR_FEED_WATCH,
					    .after_revision = 411,
					    .wait_ms = 20000 };
	const struct rr_feed_call grant = { .kind = RR_FEED_LEASE_GRANT,
					    .ttl_ms = 3000 };
	const struct rr_feed_call renew = { .kind = RR_FEED_LEASE_RENEW,
					    .lease = 77120 };
	const struct rr_feed_call revoke = { .kind = RR_FEED_LEASE_REVOKE,
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
	assert_call(&renew, "POST /v1/kv-keep/77120 HTTP/1.1\r\n", "{}");
	assert_call(&revoke, "DELETE /v1/kv-lease-end/77120 HTTP/1.1\r\n", "");
}

static void test_registration_request(void **state)
{
	struct rr_instance entry = { .id = (char *)"front-1",
				     .zone = (char *)"z" };
	gpointer entries[] = { &entry };
	GPtrArray added = { .pdata = entries, .len = 1 };
	const struct rr_feed_call call = { .kind = RR_FEED_WRITE_ENTRIES,
					   .lease = 5,
					   .added = &added };
	GString *bytes = rr_encode_feed_call(&call, "s:1");

	assert_true(g_str_has_prefix(bytes->str, "POST /v1/kv-txn HTTP/1.1"));
	assert_non_null(
		strstr(bytes->str, "\"key\":\"ragwort/instances/front-1\""));
	assert_non_null(strstr(bytes->str, "\"lease\":5}"));
	g_string_free(bytes, TRUE);
}

/*
 * The first read accepts a stale copy of the store; other instances have no
 * stale ones.
 */
static void test_stale_ranges(void **state)
{
	const struct rr_feed_call first_page = { .kind = RR_FEED_RANGE,
						 .allow_stale = true };
	const struct rr_feed_call next_page = { .kind = RR_FEED_RANGE,
						.allow_stale = true,
						.after_key = "servers/i" };

	(void)state;
	assert_call(&first_page,
		    "GET /v1/kv-range?prefix=&serializable=1 HTTP/1.1\r\n", "");
	assert_call(&next_page,
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

static void clear_reply(struct rr_feed_reply *reply)
{
	if (reply->items)
		g_ptr_array_unref(reply->items);
	reply->items = NULL;
}

static void test_range_reply(void **state)
{
	char *encoded_config =
		g_base64_encode((const guchar *)config, strlen(config));
	struct test_replica_entry replica = { .id = "i-1" };
	char *text = test_make_replica_entry(&replica);
	char *encoded_entry =
		g_base64_encode((const guchar *)text, strlen(text));
	char *body = g_strdup_printf(
		"{\"items\":[{\"key\":\"op/config\",\"value\":\"%s\","
		"\"revision\":3,\"created\":3,\"lease\":0},"
		"{\"key\":\"servers/i-1\",\"value\":\"%s\",\"revision\":9},"
		"{\"key\":\"ragwort/instances/n1\",\"value\":\"e30=\","
		"\"revision\":10},{\"key\":\"op/else\",\"value\":\"\","
		"\"revision\":11}],"
		"\"hasMore\":true,\"storeRevision\":530}",
		encoded_config, encoded_entry);
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
	clear_reply(&reply);
	g_free(body);
	g_free(encoded_entry);
	g_free(text);
	g_free(encoded_config);
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
	clear_reply(&reply);
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

/* A malformed or unexpected reply counts as failed, to be retried. */
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
		clear_reply(&reply);
	}
}

static void test_key_requests(void **state)
{
	struct rr_store_request request;

	rr_make_get_request(&request, "ledger/3 4");
	assert_string_equal(request.path, "/v1/kv-key?key=ledger/3%204");
	assert_null(request.body);
	rr_clear_store_request(&request);
	rr_make_cas_request(&request, "ledger/3", 7, "one", 3, NULL);
	assert_string_equal(request.path, "/v1/kv-txn");
	assert_string_equal(request.body,
			    "{\"expectedRev\":[{\"key\":\"ledger/3\","
			    "\"revision\":7}],\"writes\":[{\"key\":"
			    "\"ledger/3\",\"value\":\"b25l\",\"lease\":0}],"
			    "\"deletes\":[]}");
	rr_clear_store_request(&request);
}

static struct rr_key_reply decode_get(uint16_t status, const char *body)
{
	struct rr_key_reply reply;

	rr_decode_get_reply(status, body, strlen(body), &reply);
	return reply;
}

static struct rr_key_reply decode_cas(uint16_t status, const char *body)
{
	struct rr_key_reply reply;

	rr_decode_cas_reply("a", status, body, strlen(body), &reply);
	return reply;
}

static void test_key_replies(void **state)
{
	struct rr_key_reply reply = decode_get(
		200, "{\"key\":\"a\",\"revision\":9,\"value\":\"b25l\"}");

	assert_int_equal(reply.status, RR_STORE_OK);
	assert_int_equal(reply.revision, 9);
	assert_int_equal(reply.length, 3);
	assert_string_equal(reply.value, "one");
	rr_clear_key_reply(&reply);
	reply = decode_get(404, "{}");
	assert_int_equal(reply.status, RR_STORE_OK);
	assert_null(reply.value);
	assert_int_equal(reply.revision, 0);
	reply = decode_cas(200, "{\"revision\":12}");
	assert_int_equal(reply.status, RR_STORE_OK);
	assert_int_equal(reply.revision, 12);
	reply = decode_cas(412, "{\"items\":[{\"key\":\"b\",\"revision\":3},"
				"{\"key\":\"a\",\"revision\":8}]}");
	assert_int_equal(reply.status, RR_STORE_CONFLICT);
	assert_int_equal(reply.revision, 8);
	reply = decode_cas(412, "{\"items\":[]}");
	assert_int_equal(reply.status, RR_STORE_CONFLICT);
	assert_int_equal(reply.revision, 0);
}

/*
 * Guards against a write that may have taken effect but is reported as not
 * done, or the other way round: reservations rely on the difference.
 */
static void test_ambiguous_replies(void **state)
{
	static const struct {
		const char *body;
		enum rr_store_status expected;
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
			decode_cas(cases[i].status, cases[i].body);

		assert_int_equal(reply.status, cases[i].expected);
		reply = decode_get(cases[i].status, cases[i].body);
		assert_int_equal(reply.status, cases[i].expected);
		assert_null(reply.value);
	}
}

/* Instances answer each other in the store's format. */
static void test_peer_changes(void **state)
{
	struct rr_feed_change changes[] = {
		{ .key = "servers/i1", .value = "e30=", .revision = 8 },
		{ .key = "op/config", .revision = 9 },
	};
	GArray *items =
		g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	struct rr_feed_call call = { .kind = RR_FEED_WATCH,
				     .after_revision = 7,
				     .wait_ms = 750 };
	struct rr_feed_reply reply = { 0 };
	struct rr_change_feed_request request;
	GString *bytes = rr_encode_feed_call(&call, "10.0.0.1:9");
	char **words = g_strsplit(bytes->str, " ", 3);
	GString *body;

	assert_true(rr_parse_change_feed_request(words[1], &request));
	assert_false(request.wants_snapshot);
	assert_int_equal(request.after.revision, 7);
	assert_int_equal(request.wait_ms, 750);
	g_array_append_vals(items, changes, G_N_ELEMENTS(changes));
	body = rr_encode_change_feed_reply(&request, items, 11);
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

/* Routes in the store's format, long enough to be compressed. */
static char *make_long_routes(void)
{
	char *padding = g_strnfill(40000, 'x');
	char *text = g_strdup_printf("%.*s,\"padding\":\"%s\"}",
				     (int)strlen(config) - 1, config, padding);

	g_free(padding);
	return text;
}

static struct rr_feed_reply decode_watch(const char *body)
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

/* Forward an item, compressed if the receiver accepts it, and decode it. */
static struct rr_feed_reply forward_item(const struct rr_feed_item *item,
					 bool accepts_compressed,
					 size_t *n_bytes)
{
	struct rr_feed_change change = {
		.key = item->key,
		.value = item->value,
		.compressed = item->compressed,
		.revision = item->revision,
	};
	struct rr_change_feed_request request = { .accepts_compressed =
							  accepts_compressed };
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	struct rr_feed_reply reply;
	GString *body;

	g_array_append_val(changes, change);
	body = rr_encode_change_feed_reply(&request, changes, item->revision);
	*n_bytes = body->len;
	reply = decode_watch(body->str);
	g_string_free(body, TRUE);
	g_array_unref(changes);
	return reply;
}

/*
 * Guards against too much traffic between instances: in a large zone a watcher
 * forwards every configuration to a dozen others, and 477 KB, 600 times a day,
 * exceeds the limit for control traffic.  Values are forwarded compressed,
 * through any number of instances.  One of an earlier version, which does not
 * support that, gets the value as the store has it.
 */
static void test_long_values_compressed(void **state)
{
	char *text = make_long_routes();
	char *encoded = g_base64_encode((const guchar *)text, strlen(text));
	char *body = g_strdup_printf(
		"{\"storeRevision\":9,\"events\":[{\"key\":\"op/config\","
		"\"revision\":9,\"value\":\"%s\"}]}",
		encoded);
	struct rr_feed_reply first = decode_watch(body);
	struct rr_feed_reply forwarded;
	struct rr_feed_reply uncompressed;
	size_t compressed_bytes;
	size_t uncompressed_bytes;

	(void)state;
	assert_non_null(only_item(&first)->routes);
	forwarded = forward_item(only_item(&first), true, &compressed_bytes);
	assert_non_null(only_item(&forwarded)->routes);
	assert_string_equal(only_item(&forwarded)->value,
			    only_item(&first)->value);
	assert_true(compressed_bytes < strlen(body) / 10);
	uncompressed =
		forward_item(only_item(&forwarded), false, &uncompressed_bytes);
	assert_non_null(only_item(&uncompressed)->routes);
	assert_int_equal(uncompressed_bytes, strlen(body));
	g_ptr_array_unref(first.items);
	g_ptr_array_unref(forwarded.items);
	g_ptr_array_unref(uncompressed.items);
	g_free(body);
	g_free(encoded);
	g_free(text);
}

/* Requests to instances accept compressed values, those to the store do not. */
static void test_compression_request(void **state)
{
	struct rr_feed_call call = { .kind = RR_FEED_WATCH };
	struct rr_change_feed_request request;

	(void)state;
	for (int peer = 0; peer < 2; peer++) {
		GString *bytes;
		char **words;

		call.peer = peer ? "10.0.0.1:9" : NULL;
		bytes = rr_encode_feed_call(&call, "10.0.0.1:9");
		words = g_strsplit(bytes->str, " ", 3);
		assert_true(rr_parse_change_feed_request(words[1], &request));
		assert_int_equal(request.accepts_compressed, peer);
		g_strfreev(words);
		g_string_free(bytes, TRUE);
	}
	assert_true(rr_parse_change_feed_request(
		"/v1/kv-range?prefix=&packed=1", &request));
	assert_true(request.wants_snapshot && request.accepts_compressed);
}

/*
 * A value that cannot be decompressed gives no routes and is kept unchanged, so
 * that peers that request changes from this instance get it as well.
 */
static void test_undecompressable_value(void **state)
{
	struct rr_feed_reply reply = decode_watch(
		"{\"storeRevision\":9,\"events\":[{\"key\":\"op/config\","
		"\"revision\":9,\"packed\":\"e30=\"}]}");

	(void)state;
	assert_null(only_item(&reply)->routes);
	assert_non_null(only_item(&reply)->decode_error);
	assert_string_equal(only_item(&reply)->value, "e30=");
	g_ptr_array_unref(reply.items);
}

static void test_other_targets(void **state)
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
	struct rr_change_feed_request request;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		assert_false(
			rr_parse_change_feed_request(targets[i], &request));
	assert_true(
		rr_parse_change_feed_request("/v1/kv-range?prefix=", &request));
	assert_true(request.wants_snapshot);
}

/*
 * Guards against a revision whose era is lost between instances, and against
 * an era in a request to the store or from an instance of an earlier version.
 */
static void test_era_between_instances(void **state)
{
	struct rr_feed_call call = { .kind = RR_FEED_WATCH,
				     .peer = "10.0.0.1:9",
				     .after_revision = 7,
				     .era = 3,
				     .wait_ms = 750 };
	struct rr_change_feed_request parsed;
	struct rr_store_request request;

	(void)state;
	rr_make_feed_request(&request, &call);
	assert_true(rr_parse_change_feed_request(request.path, &parsed));
	assert_int_equal(parsed.after.era, 3);
	assert_int_equal(parsed.after.revision, 7);
	assert_int_equal(parsed.wait_ms, 750);
	assert_true(parsed.accepts_compressed);
	rr_clear_store_request(&request);
	call.peer = NULL;
	rr_make_feed_request(&request, &call);
	assert_null(strstr(request.path, "era"));
	assert_true(rr_parse_change_feed_request(request.path, &parsed));
	assert_int_equal(parsed.after.era, 0);
	rr_clear_store_request(&request);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_feed_requests),
		cmocka_unit_test(test_registration_request),
		cmocka_unit_test(test_range_reply),
		cmocka_unit_test(test_watch_reply),
		cmocka_unit_test(test_other_replies),
		cmocka_unit_test(test_failures),
		cmocka_unit_test(test_key_requests),
		cmocka_unit_test(test_key_replies),
		cmocka_unit_test(test_ambiguous_replies),
		cmocka_unit_test(test_peer_changes),
		cmocka_unit_test(test_long_values_compressed),
		cmocka_unit_test(test_compression_request),
		cmocka_unit_test(test_undecompressable_value),
		cmocka_unit_test(test_other_targets),
		cmocka_unit_test(test_stale_ranges),
		cmocka_unit_test(test_era_between_instances),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
