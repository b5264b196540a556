/*
 * test-platform-entries.c - decoding of store entries, valid ones and those
 * that other programs wrote.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "platform/platform.h"

/* Fields of a valid entry, of which tests omit or replace one. */
struct field {
	const char *name;
	const char *value;
};

static const struct field valid_fields[] = {
	{ "service", "\"s\"" },
	{ "address", "\"10.0.0.1:80\"" },
	{ "zone", "\"z\"" },
	{ "version", "\"v1\"" },
	{ "slots", "2" },
	{ "state", "\"ready\"" },
	{ "coldRemainingMs", "900" },
	{ "sequence", "4" },
	{ "born", "1700000000000" },
};

/* A NULL value omits the field; an unknown name changes nothing. */
static char *make_entry(const char *name, const char *value)
{
	GString *out = g_string_new("{");

	for (size_t i = 0; i < G_N_ELEMENTS(valid_fields); i++) {
		bool replaced = !strcmp(valid_fields[i].name, name);

		if (replaced && !value)
			continue;
		g_string_append_printf(
			out, "%s\"%s\":%s", out->len > 1 ? "," : "",
			valid_fields[i].name,
			replaced ? value : valid_fields[i].value);
	}
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

static struct rr_feed_item *decode(const char *id, const char *text,
				   size_t length)
{
	struct rr_feed_item *item = g_new0(struct rr_feed_item, 1);

	item->replica =
		rr_decode_endpoint_info(id, text, length, &item->decode_error);
	assert_true(!item->replica == !!item->decode_error);
	return item;
}

static void assert_invalid_replica(const char *id, const char *text)
{
	struct rr_feed_item *item = decode(id, text, strlen(text));

	if (item->replica)
		fail_msg("decoded as replica %s: %s", id, text);
	rr_free_feed_item(item);
}

static void test_replica_entry(void **state)
{
	char *text = make_entry("state", "\"draining\"");
	struct rr_feed_item *item = decode("i-1", text, strlen(text));

	assert_non_null(item->replica);
	assert_string_equal(item->replica->id, "i-1");
	assert_string_equal(item->replica->service, "s");
	assert_string_equal(item->replica->address, "10.0.0.1:80");
	assert_string_equal(item->replica->zone, "z");
	assert_true(item->replica->draining);
	assert_int_equal(item->replica->slots, 2);
	assert_int_equal(item->replica->cold_ms, 900);
	assert_int_equal(item->replica->started_ms, 1700000000000);
	rr_free_feed_item(item);
	g_free(text);
}

/* Not every platform reports when an incarnation started. */
static void test_optional_start_time(void **state)
{
	char *text = make_entry("born", NULL);
	struct rr_feed_item *item = decode("i-1", text, strlen(text));

	assert_non_null(item->replica);
	assert_int_equal(item->replica->started_ms, 0);
	rr_free_feed_item(item);
	g_free(text);
}

/*
 * Guards against requests sent to an address without a replica: a script of
 * the operators writes an entry under a replica's key in which a field is
 * missing or of another type, and a default is used in its place.
 */
static void test_missing_or_mistyped_fields(void **state)
{
	static const char *const bad_values[] = { "null", "true", "[]",	  "{}",
						  "-1",	  "\"\"", "1e999" };

	for (size_t i = 0; i < G_N_ELEMENTS(valid_fields); i++) {
		const char *name = valid_fields[i].name;

		for (size_t j = 0; j < G_N_ELEMENTS(bad_values); j++) {
			char *text = make_entry(name, bad_values[j]);

			assert_invalid_replica("i-1", text);
			g_free(text);
		}
		if (strcmp(name, "born")) {
			char *text = make_entry(name, NULL);

			assert_invalid_replica("i-1", text);
			g_free(text);
		}
	}
}

static void test_invalid_field_values(void **state)
{
	static const struct field fields[] = {
		{ "state", "\"Ready\"" },
		{ "state", "\"starting\"" },
		{ "state", "\"ready \"" },
		{ "service", "7" },
		{ "service", "\"s\\u0000t\\n\"" },
		{ "zone", "\"z\\r\\n\"" },
		{ "address", "\"10.0.0.1\"" },
		{ "address", "\"10.0.0.1:0\"" },
		{ "address", "\"10.0.0.1:99999\"" },
		{ "address", "\"host:80\"" },
		{ "slots", "0" },
		{ "slots", "1.5" },
		{ "slots", "\"2\"" },
		{ "sequence", "0.25" },
		{ "born", "1700000000000.5" },
		{ "born", "0" },
		{ "born", "\"1700000000000\"" },
		{ "born", "1e40" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		char *text = make_entry(fields[i].name, fields[i].value);

		assert_invalid_replica("i-1", text);
		g_free(text);
	}
}

static void test_malformed_entries(void **state)
{
	static const char *const texts[] = {
		"", "nonsense", "[]", "7", "{", "\"x\"", "\xff\xfe{}", "null",
	};
	char *valid = make_entry("none", NULL);
	char *extended = g_strconcat(valid, "{}", NULL);
	char *truncated = g_strndup(valid, strlen(valid) - 1);
	GString *bytes = g_string_new(valid);
	struct rr_feed_item *item;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_invalid_replica("i-1", texts[i]);
	assert_invalid_replica("i-1", extended);
	assert_invalid_replica("i-1", truncated);
	/* A valid entry up to a NUL, with more bytes behind it. */
	g_string_append_len(bytes, "\0{}", 3);
	item = decode("i-1", bytes->str, bytes->len);
	assert_null(item->replica);
	rr_free_feed_item(item);
	g_string_free(bytes, TRUE);
	g_free(truncated);
	g_free(extended);
	g_free(valid);
}

/*
 * Return a nested list with this many levels, preceded by `start`.  Enough to
 * overflow the stack if the tree is freed recursively.
 */
static char *make_nested_list(const char *start)
{
	GString *out = g_string_new(start);
	gsize levels = 500000;

	g_string_set_size(out, out->len + 2 * levels);
	memset(out->str + strlen(start), '[', levels);
	memset(out->str + strlen(start) + levels, ']', levels);
	return g_string_free(out, FALSE);
}

/*
 * Guards against a process that ends whenever it reads a deeply nested value
 * that another writer left: also if a quote in a comment, which the parser
 * accepts, would hide the brackets from the check.
 */
static void test_nesting_is_bounded(void **state)
{
	static const char *const starts[] = { "", "/*\"*/", "/*\"\n*/",
					      "//\"\n" };
	const char *reason;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		char *list = make_nested_list(starts[i]);
		size_t length = strlen(list);
		char *entry = make_entry("service", list);

		assert_invalid_replica("i-1", entry);
		assert_null(rr_decode_instance("gw-1", list, length, &reason));
		assert_non_null(rr_validate_evacuation("z", list, length));
		assert_null(rr_decode_quarantine("0123456789abcdef", list,
						 length, &reason));
		assert_null(rr_decode_routes(list, length, &reason));
		assert_null(
			rr_parse_registration_request(list, length, &reason));
		g_free(entry);
		g_free(list);
	}
}

/*
 * Guards against a deeply nested value that costs other entries: one in the
 * middle of a range, of a watch's changes or of a failed condition's items must
 * leave those around it.
 */
static void test_nested_value_among_others(void **state)
{
	static const enum rr_feed_call_kind kinds[] = { RR_FEED_RANGE,
							RR_FEED_WATCH,
							RR_FEED_REPORT };
	char *list = make_nested_list("");
	char *bad = g_base64_encode((const guchar *)list, strlen(list));
	char *valid = make_entry("none", NULL);
	char *good = g_base64_encode((const guchar *)valid, strlen(valid));

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		bool watch = kinds[i] == RR_FEED_WATCH;
		bool report = kinds[i] == RR_FEED_REPORT;
		struct rr_feed_reply reply = { 0 };
		char *body = g_strdup_printf(
			"{\"%s\":["
			"{\"key\":\"servers/a\",\"value\":\"%s\",\"revision\":3},"
			"{\"key\":\"servers/b\",\"value\":\"%s\",\"revision\":4},"
			"{\"key\":\"servers/c\",\"value\":\"%s\",\"revision\":5}],"
			"\"storeRevision\":9}",
			watch ? "events" : "items", good, bad, good);

		rr_decode_feed_reply(kinds[i], report ? 412 : 200,
				     (const uint8_t *)body, strlen(body),
				     &reply);
		assert_int_equal(reply.status,
				 report ? RR_FEED_CONFLICT : RR_FEED_OK);
		assert_int_equal(reply.items->len, 3);
		for (guint j = 0; j < 3; j++) {
			const struct rr_feed_item *item =
				g_ptr_array_index(reply.items, j);

			assert_int_equal(!item->replica, j == 1);
			assert_int_equal(!!item->decode_error, j == 1);
		}
		g_ptr_array_unref(reply.items);
		g_free(body);
	}
	g_free(good);
	g_free(valid);
	g_free(bad);
	g_free(list);
}

/*
 * Guards against header injection: the id in a key contains a line end.  The
 * id is sent in a header of every request, and what follows the line end would
 * be read as another header.
 */
static void test_invalid_ids(void **state)
{
	static const char *const ids[] = {
		"", "i 1", "i\r\nHost: x", "i\t1", "i\x7f", "\xc3\xa4",
	};
	char *valid = make_entry("none", NULL);
	char *too_long = g_strnfill(201, 'i');

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		assert_invalid_replica(ids[i], valid);
	assert_invalid_replica(too_long, valid);
	g_free(too_long);
	g_free(valid);
}

static void test_instance_round_trip(void **state)
{
	struct rr_instance instance = {
		.id = (char *)"gw-1",
		.zone = (char *)"z",
		.address = (char *)"10.0.0.1:80",
		.strength = 0.25,
		.started_ms = 1700000000000,
	};
	char *text = rr_encode_instance(&instance);
	const char *reason;
	struct rr_instance *decoded =
		rr_decode_instance("gw-1", text, strlen(text), &reason);

	assert_null(reason);
	assert_string_equal(decoded->zone, "z");
	assert_string_equal(decoded->address, "10.0.0.1:80");
	assert_true(decoded->strength == 0.25);
	assert_int_equal(decoded->started_ms, 1700000000000);
	rr_free_instance(decoded);
	g_free(text);
}

/*
 * Guards against a crash: an entry under the prefix of the instances has no
 * zone, is accepted as an instance, and the process dies when it looks the zone
 * up.
 */
static void test_invalid_instances(void **state)
{
	static const char *const texts[] = {
		"{}",
		"[]",
		"nonsense",
		"{\"zone\":3,\"address\":\"\",\"strength\":250}",
		"{\"zone\":\"z\",\"address\":\"x\",\"strength\":250}",
		"{\"zone\":\"z\",\"address\":\"\",\"strength\":\"250\"}",
		"{\"zone\":\"z\",\"address\":\"\",\"strength\":-1}",
		"{\"zone\":\"z\",\"address\":\"\",\"strength\":1e300}",
		"{\"zone\":\"z\",\"address\":\"\",\"strength\":1,\"born\":0.5}",
	};
	const char *reason;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_null(rr_decode_instance("gw-1", texts[i],
					       strlen(texts[i]), &reason));
		assert_non_null(reason);
	}
}

static struct rr_feed_reply forward_change(const char *key, const char *value,
					   bool compressed,
					   bool accepts_compressed)
{
	struct rr_change_feed_request request = { .after.revision = 1,
						  .accepts_compressed =
							  accepts_compressed };
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	struct rr_feed_change change = { .key = key,
					 .value = value,
					 .compressed = compressed,
					 .revision = 2 };
	struct rr_feed_reply reply = { 0 };
	GString *body;

	g_array_append_val(changes, change);
	change.key = "servers/next";
	change.value = NULL;
	change.compressed = false;
	change.revision = 3;
	g_array_append_val(changes, change);
	body = rr_encode_change_feed_reply(&request, changes, 3);
	rr_decode_feed_reply(RR_FEED_WATCH, 200, (const uint8_t *)body->str,
			     body->len, &reply);
	g_string_free(body, TRUE);
	g_array_unref(changes);
	return reply;
}

/*
 * Guards against a reply with changes that cannot be parsed: a key contains a
 * quote and is forwarded unescaped, so that a whole zone gets no changes any
 * more.
 */
static void test_key_escaping(void **state)
{
	static const char *const keys[] = {
		"servers/a\"b", "servers/a\\",	"servers/\"}],\"x\":[{",
		"servers/a\nb", "servers/\x01", "servers/\xc3\xa4",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		struct rr_feed_reply reply =
			forward_change(keys[i], "e30=", false, true);
		struct rr_feed_item *item;

		assert_int_equal(reply.status, RR_FEED_OK);
		assert_int_equal(reply.items->len, 2);
		item = g_ptr_array_index(reply.items, 0);
		assert_string_equal(item->key, keys[i]);
		assert_non_null(item->decode_error);
		g_ptr_array_unref(reply.items);
	}
}

/* A key that is not UTF-8 must not make the rest of the reply unreadable. */
static void test_invalid_utf8_key(void **state)
{
	struct rr_feed_reply reply =
		forward_change("servers/\xff", "e30=", false, true);

	assert_int_equal(reply.status, RR_FEED_OK);
	assert_int_equal(reply.items->len, 2);
	g_ptr_array_unref(reply.items);
}

/*
 * Values that cannot be decompressed are forwarded, so that other instances
 * learn of the change as well.
 */
static void test_undecompressable_values(void **state)
{
	for (int accepts_compressed = 0; accepts_compressed < 2;
	     accepts_compressed++) {
		struct rr_feed_reply reply = forward_change(
			"servers/a", "\"!", true, accepts_compressed);
		struct rr_feed_item *item;

		assert_int_equal(reply.status, RR_FEED_OK);
		item = g_ptr_array_index(reply.items, 0);
		assert_null(item->replica);
		assert_non_null(item->decode_error);
		assert_non_null(item->value);
		g_ptr_array_unref(reply.items);
	}
}

/*
 * Guards against a key that is truncated at a NUL: someone writes under a
 * replica's key with a NUL appended, which would then be read as the replica's
 * own key.
 */
static void test_nul_in_key(void **state)
{
	static const char body[] =
		"{\"storeRevision\":3,\"events\":[{\"key\":\"servers/"
		"a\\u0000\",\"revision\":3,\"removed\":true},{\"key\":"
		"\"servers/b\\\\u0000\",\"revision\":3,\"removed\":true}]}";
	struct rr_feed_reply reply = { 0 };
	const struct rr_feed_item *item;

	rr_decode_feed_reply(RR_FEED_WATCH, 200, (const uint8_t *)body,
			     strlen(body), &reply);
	assert_int_equal(reply.status, RR_FEED_OK);
	item = g_ptr_array_index(reply.items, 0);
	assert_string_not_equal(item->key, "servers/a");
	item = g_ptr_array_index(reply.items, 1);
	assert_string_equal(item->key, "servers/b\\u0000");
	g_ptr_array_unref(reply.items);
}

/* Guards against an evacuation that is read with a wrong zone or value. */
static void test_evacuations(void **state)
{
	static const char body[] =
		"{\"items\":["
		"{\"key\":\"op/evacuate/athi\",\"value\":\"e30=\","
		"\"revision\":3},"
		"{\"key\":\"op/evacuate/\",\"value\":\"e30=\",\"revision\":4},"
		"{\"key\":\"op/evacuate/ruaraka\",\"value\":\"W10=\","
		"\"revision\":5}],\"storeRevision\":9}";
	struct rr_feed_reply reply = { 0 };
	const struct rr_feed_item *item;

	(void)state;
	rr_decode_feed_reply(RR_FEED_RANGE, 200, (const uint8_t *)body,
			     strlen(body), &reply);
	assert_int_equal(reply.items->len, 3);
	item = g_ptr_array_index(reply.items, 0);
	assert_int_equal(item->kind, RR_FEED_EVACUATION);
	assert_string_equal(item->id, "athi");
	assert_null(item->decode_error);
	item = g_ptr_array_index(reply.items, 1);
	assert_string_equal(item->decode_error, "key has no zone name");
	item = g_ptr_array_index(reply.items, 2);
	assert_string_equal(item->id, "ruaraka");
	assert_string_equal(item->decode_error, "value is not a JSON object");
	g_ptr_array_unref(reply.items);
}

static struct rr_registration_request *parse_registration(const char *body)
{
	const char *reason;

	return rr_parse_registration_request(body, strlen(body), &reason);
}

/* The receiver decodes a registration request as the sender encoded it. */
static void test_registration_request(void **state)
{
	struct rr_instance entry = { .id = (char *)"front-1",
				     .zone = (char *)"z",
				     .address = (char *)"10.0.0.1:7",
				     .strength = 0.12,
				     .started_ms = 5 };
	gpointer entries[] = { &entry };
	gpointer ids[] = { (char *)"front-2" };
	GPtrArray added = { .pdata = entries, .len = 1 };
	GPtrArray removed = { .pdata = ids, .len = 1 };
	const struct rr_feed_call call = { .kind = RR_FEED_WRITE_ENTRIES,
					   .peer = "10.0.0.2:7",
					   .added = &added,
					   .removed = &removed };
	GString *bytes = rr_encode_feed_call(&call, "10.0.0.2:7");
	struct rr_registration_request *request =
		parse_registration(strstr(bytes->str, "\r\n\r\n") + 4);
	const struct rr_instance *decoded;

	(void)state;
	assert_true(rr_is_registration_request("POST", "/v1/kv-txn"));
	assert_false(rr_is_registration_request("GET", "/v1/kv-txn"));
	assert_non_null(request);
	assert_int_equal(request->added->len, 1);
	decoded = g_ptr_array_index(request->added, 0);
	assert_string_equal(decoded->id, "front-1");
	assert_string_equal(decoded->address, "10.0.0.1:7");
	assert_true(decoded->strength == 0.12);
	assert_int_equal(decoded->started_ms, 5);
	assert_string_equal(g_ptr_array_index(request->removed, 0), "front-2");
	rr_free_registration_request(request);
	g_string_free(bytes, TRUE);
}

/* An invalid registration request is rejected as a whole, with no write. */
static void test_invalid_registration_requests(void **state)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{\"writes\":[]}",
		"{\"writes\":{},\"deletes\":[]}",
		"{\"writes\":[5],\"deletes\":[]}",
		"{\"writes\":[{\"key\":\"op/config\",\"value\":\"e30=\"}],"
		"\"deletes\":[]}",
		"{\"writes\":[{\"key\":\"ragwort/instances/a\",\"value\":"
		"\"e30=\"}],\"deletes\":[]}",
		"{\"writes\":[],\"deletes\":[7]}",
		"{\"writes\":[],\"deletes\":[\"servers/r1\"]}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		assert_null(parse_registration(bodies[i]));
}

#define FINGERPRINT "00000000000000010000000000000002"

static const char *check_quarantine(const char *id, const char *text)
{
	const char *reason;
	struct rr_quarantine_entry *entry =
		rr_decode_quarantine(id, text, strlen(text), &reason);

	assert_true(!entry == !!reason);
	rr_free_quarantine_entry(entry);
	return reason;
}

static void test_quarantine_round_trip(void **state)
{
	char *crashed[] = { (char *)"i-1", (char *)"i-2@170\"0", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = { 1, 2 },
		.crashed = crashed,
		.quarantined = true,
		.trials = 3,
	};
	char *text = rr_encode_quarantine(&entry);
	const char *reason;
	struct rr_quarantine_entry *decoded =
		rr_decode_quarantine(FINGERPRINT, text, strlen(text), &reason);

	(void)state;
	assert_non_null(decoded);
	assert_true(
		rr_same_fingerprint(&decoded->fingerprint, &entry.fingerprint));
	assert_true(decoded->quarantined);
	assert_int_equal(decoded->trials, 3);
	assert_int_equal(g_strv_length(decoded->crashed), 2);
	assert_string_equal(decoded->crashed[1], crashed[1]);
	rr_free_quarantine_entry(decoded);
	g_free(text);
}

/* Guards against invalid entries of other programs or of later versions. */
static void test_invalid_quarantine_entries(void **state)
{
	static const char too_many[] =
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":"
		"[\"a\",\"b\",\"c\",\"d\",\"e\"]}";
	static const char *const invalid[] = {
		"",
		"[]",
		"{}",
		"{\"state\":\"quarantined\"}",
		"{\"state\":\"odd\",\"trials\":0,\"crashed\":[\"i\"]}",
		"{\"state\":\"quarantined\",\"trials\":-1,\"crashed\":[\"i\"]}",
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":[]}",
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":[7]}",
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":[\"a b\"]}",
		too_many,
	};
	const char *valid =
		"{\"state\":\"suspected\",\"trials\":0,\"crashed\":[\"i\"]}";

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		assert_non_null(check_quarantine(FINGERPRINT, invalid[i]));
	assert_null(check_quarantine(FINGERPRINT, valid));
	assert_non_null(check_quarantine("", valid));
	assert_non_null(check_quarantine("x", valid));
}

/* The key was written by another program, or is absent by now. */
static void test_conflicting_report(void **state)
{
	static const char *const bodies[] = {
		"{\"items\":[{\"key\":\"ragwort/quarantine/" FINGERPRINT
		"\",\"value\":\"e30=\",\"revision\":7}]}",
		"{\"items\":[{\"key\":\"ragwort/quarantine/" FINGERPRINT
		"\",\"revision\":0}]}",
		"{\"items\":[]}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		struct rr_feed_reply reply = { 0 };

		rr_decode_feed_reply(RR_FEED_REPORT, 412,
				     (const uint8_t *)bodies[i],
				     strlen(bodies[i]), &reply);
		assert_int_equal(reply.status, RR_FEED_CONFLICT);
		assert_int_equal(reply.items->len, i == 0);
		g_ptr_array_unref(reply.items);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_evacuations),
		cmocka_unit_test(test_replica_entry),
		cmocka_unit_test(test_optional_start_time),
		cmocka_unit_test(test_missing_or_mistyped_fields),
		cmocka_unit_test(test_invalid_field_values),
		cmocka_unit_test(test_malformed_entries),
		cmocka_unit_test(test_nesting_is_bounded),
		cmocka_unit_test(test_nested_value_among_others),
		cmocka_unit_test(test_invalid_ids),
		cmocka_unit_test(test_instance_round_trip),
		cmocka_unit_test(test_invalid_instances),
		cmocka_unit_test(test_key_escaping),
		cmocka_unit_test(test_invalid_utf8_key),
		cmocka_unit_test(test_undecompressable_values),
		cmocka_unit_test(test_nul_in_key),
		cmocka_unit_test(test_registration_request),
		cmocka_unit_test(test_invalid_registration_requests),
		cmocka_unit_test(test_quarantine_round_trip),
		cmocka_unit_test(test_invalid_quarantine_entries),
		cmocka_unit_test(test_conflicting_report),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
