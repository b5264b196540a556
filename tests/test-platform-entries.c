/*
 * test-platform-entries.c - entries of replicas and instances in the store,
 * their own and others'.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "platform/platform.h"

/* Fields of a good entry, of which one is left out or replaced. */
struct field {
	const char *name;
	const char *value;
};

static const struct field good_fields[] = {
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

/* NULL leaves the field out; a name that is none of them changes nothing. */
static char *make_entry(const char *name, const char *value)
{
	GString *out = g_string_new("{");

	for (size_t i = 0; i < G_N_ELEMENTS(good_fields); i++) {
		bool changed = !strcmp(good_fields[i].name, name);

		if (changed && !value)
			continue;
		g_string_append_printf(out, "%s\"%s\":%s",
				       out->len > 1 ? "," : "",
				       good_fields[i].name,
				       changed ? value : good_fields[i].value);
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

static void assert_names_nobody(const char *id, const char *text)
{
	struct rr_feed_item *item = decode(id, text, strlen(text));

	if (item->replica)
		fail_msg("%s names a replica: %s", id, text);
	rr_free_feed_item(item);
}

static void test_an_entry_of_a_replica(void **state)
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

/* Not every platform tells when a lifetime started. */
static void test_a_start_may_be_left_out(void **state)
{
	char *text = make_entry("born", NULL);
	struct rr_feed_item *item = decode("i-1", text, strlen(text));

	assert_non_null(item->replica);
	assert_int_equal(item->replica->started_ms, 0);
	rr_free_feed_item(item);
	g_free(text);
}

/*
 * Story: a script of the operators' writes under a replica's key, without a
 * field or with one of another type.  Read with guesses in place of what
 * lacks, such an entry sends requests where nobody is.
 */
static void test_fields_that_lack_or_are_of_another_type(void **state)
{
	static const char *const others[] = { "null", "true", "[]",   "{}",
					      "-1",   "\"\"", "1e999" };

	for (size_t i = 0; i < G_N_ELEMENTS(good_fields); i++) {
		const char *name = good_fields[i].name;

		for (size_t j = 0; j < G_N_ELEMENTS(others); j++) {
			char *text = make_entry(name, others[j]);

			assert_names_nobody("i-1", text);
			g_free(text);
		}
		if (strcmp(name, "born")) {
			char *text = make_entry(name, NULL);

			assert_names_nobody("i-1", text);
			g_free(text);
		}
	}
}

static void test_values_that_are_not_known(void **state)
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

		assert_names_nobody("i-1", text);
		g_free(text);
	}
}

static void test_bytes_that_are_no_entry(void **state)
{
	static const char *const texts[] = {
		"", "nonsense", "[]", "7", "{", "\"x\"", "\xff\xfe{}", "null",
	};
	char *good = make_entry("none", NULL);
	char *longer = g_strconcat(good, "{}", NULL);
	char *cut = g_strndup(good, strlen(good) - 1);
	GString *bytes = g_string_new(good);
	struct rr_feed_item *item;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_names_nobody("i-1", texts[i]);
	assert_names_nobody("i-1", longer);
	assert_names_nobody("i-1", cut);
	/* A good entry up to a zero byte, and something behind it. */
	g_string_append_len(bytes, "\0{}", 3);
	item = decode("i-1", bytes->str, bytes->len);
	assert_null(item->replica);
	rr_free_feed_item(item);
	g_string_free(bytes, TRUE);
	g_free(cut);
	g_free(longer);
	g_free(good);
}

/*
 * Story: a key holds a line end.  Its id goes into a header of each request,
 * where what is behind the line end would be a header of its own.
 */
static void test_ids_that_cannot_stand_in_a_header(void **state)
{
	static const char *const ids[] = {
		"", "i 1", "i\r\nHost: x", "i\t1", "i\x7f", "\xc3\xa4",
	};
	char *good = make_entry("none", NULL);
	char *longest = g_strnfill(201, 'i');

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		assert_names_nobody(ids[i], good);
	assert_names_nobody(longest, good);
	g_free(longest);
	g_free(good);
}

static void test_an_instances_own_entry(void **state)
{
	struct rr_instance entry = {
		.id = (char *)"gw-1",
		.zone = (char *)"z",
		.address = (char *)"10.0.0.1:80",
		.strength = 0.25,
		.started_ms = 1700000000000,
	};
	char *text = rr_encode_instance(&entry);
	const char *fault;
	struct rr_instance *instance =
		rr_decode_instance("gw-1", text, strlen(text), &fault);

	assert_null(fault);
	assert_string_equal(instance->zone, "z");
	assert_string_equal(instance->address, "10.0.0.1:80");
	assert_true(instance->strength == 0.25);
	assert_int_equal(instance->started_ms, 1700000000000);
	rr_free_instance(instance);
	g_free(text);
}

/*
 * Story: an entry among those of the instances has no zone.  Taken for an
 * instance it ends the process that looks its zone up.
 */
static void test_entries_that_are_no_instances(void **state)
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
	const char *fault;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_null(rr_decode_instance("gw-1", texts[i],
					       strlen(texts[i]), &fault));
		assert_non_null(fault);
	}
}

static struct rr_feed_reply read_back(const char *key, const char *value,
				      bool packed, bool takes_packed)
{
	struct rr_change_feed_request call = { .after_revision = 1,
					       .accepts_compressed =
						       takes_packed };
	GArray *items =
		g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	struct rr_feed_change item = {
		.key = key, .value = value, .compressed = packed, .revision = 2
	};
	struct rr_feed_reply reply = { 0 };
	GString *body;

	g_array_append_val(items, item);
	item.key = "servers/next";
	item.value = NULL;
	item.compressed = false;
	item.revision = 3;
	g_array_append_val(items, item);
	body = rr_encode_change_feed_reply(&call, items, 3);
	rr_decode_feed_reply(RR_FEED_WATCH, 200, (const uint8_t *)body->str,
			     body->len, &reply);
	g_string_free(body, TRUE);
	g_array_unref(items);
	return reply;
}

/*
 * Story: one key holds a quote.  Passed on as it is, it ends the text of all
 * news, and a whole zone hears of no change any more.
 */
static void test_odd_keys_spoil_no_news(void **state)
{
	static const char *const keys[] = {
		"servers/a\"b", "servers/a\\",	"servers/\"}],\"x\":[{",
		"servers/a\nb", "servers/\x01", "servers/\xc3\xa4",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		struct rr_feed_reply reply =
			read_back(keys[i], "e30=", false, true);
		struct rr_feed_item *item;

		assert_int_equal(reply.status, RR_FEED_OK);
		assert_int_equal(reply.items->len, 2);
		item = g_ptr_array_index(reply.items, 0);
		assert_string_equal(item->key, keys[i]);
		assert_non_null(item->decode_error);
		g_ptr_array_unref(reply.items);
	}
}

/* One key in another encoding does not spoil what is read with it. */
static void test_a_key_that_is_no_utf8(void **state)
{
	struct rr_feed_reply reply =
		read_back("servers/\xff", "e30=", false, true);

	assert_int_equal(reply.status, RR_FEED_OK);
	assert_int_equal(reply.items->len, 2);
	g_ptr_array_unref(reply.items);
}

/* Values that cannot be unpacked are passed on: others have to know, too. */
static void test_values_that_cannot_be_unpacked(void **state)
{
	for (int takes_packed = 0; takes_packed < 2; takes_packed++) {
		struct rr_feed_reply reply =
			read_back("servers/a", "\"!", true, takes_packed);
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
 * Story: somebody writes under a key that is a replica's with a zero byte
 * behind it.  Cut off there, it would be the replica's own.
 */
static void test_a_zero_byte_ends_no_key(void **state)
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

/* Guards against an evacuation whose zone or value is read as another's. */
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
	assert_string_equal(item->decode_error, "its key names no zone");
	item = g_ptr_array_index(reply.items, 2);
	assert_string_equal(item->id, "ruaraka");
	assert_string_equal(item->decode_error, "no object");
	g_ptr_array_unref(reply.items);
}

static struct rr_registration_request *parse_entries(const char *body)
{
	const char *fault;

	return rr_parse_registration_request(body, strlen(body), &fault);
}

/* What one instance asks another to write is read as it was meant. */
static void test_entries_for_another(void **state)
{
	struct rr_instance entry = { .id = (char *)"front-1",
				     .zone = (char *)"z",
				     .address = (char *)"10.0.0.1:7",
				     .strength = 0.12,
				     .started_ms = 5 };
	gpointer entries[] = { &entry };
	gpointer ids[] = { (char *)"front-2" };
	GPtrArray entered = { .pdata = entries, .len = 1 };
	GPtrArray removed = { .pdata = ids, .len = 1 };
	const struct rr_feed_call enter = { .kind = RR_FEED_WRITE_ENTRIES,
					    .peer = "10.0.0.2:7",
					    .added = &entered,
					    .removed = &removed };
	GString *bytes = rr_encode_feed_call(&enter, "10.0.0.2:7");
	struct rr_registration_request *call =
		parse_entries(strstr(bytes->str, "\r\n\r\n") + 4);
	const struct rr_instance *read;

	(void)state;
	assert_true(rr_is_registration_request("POST", "/v1/kv-txn"));
	assert_false(rr_is_registration_request("GET", "/v1/kv-txn"));
	assert_non_null(call);
	assert_int_equal(call->added->len, 1);
	read = g_ptr_array_index(call->added, 0);
	assert_string_equal(read->id, "front-1");
	assert_string_equal(read->address, "10.0.0.1:7");
	assert_true(read->strength == 0.12);
	assert_int_equal(read->started_ms, 5);
	assert_string_equal(g_ptr_array_index(call->removed, 0), "front-2");
	rr_free_registration_request(call);
	g_string_free(bytes, TRUE);
}

/* A call that is none is refused whole: nothing of it is written. */
static void test_bad_entries_for_another(void **state)
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
		assert_null(parse_entries(bodies[i]));
}

#define DEADLY "00000000000000010000000000000002"

static const char *find_quarantine_fault(const char *id, const char *text)
{
	const char *fault;
	struct rr_quarantine_entry *entry =
		rr_decode_quarantine(id, text, strlen(text), &fault);

	assert_true(!entry == !!fault);
	rr_free_quarantine_entry(entry);
	return fault;
}

static void test_quarantine_comes_back(void **state)
{
	char *crashed[] = { (char *)"i-1", (char *)"i-2@170\"0", NULL };
	struct rr_quarantine_entry entry = {
		.fingerprint = { 1, 2 },
		.crashed = crashed,
		.quarantined = true,
		.trials = 3,
	};
	char *text = rr_encode_quarantine(&entry);
	const char *fault;
	struct rr_quarantine_entry *back =
		rr_decode_quarantine(DEADLY, text, strlen(text), &fault);

	(void)state;
	assert_non_null(back);
	assert_true(
		rr_same_fingerprint(&back->fingerprint, &entry.fingerprint));
	assert_true(back->quarantined);
	assert_int_equal(back->trials, 3);
	assert_int_equal(g_strv_length(back->crashed), 2);
	assert_string_equal(back->crashed[1], crashed[1]);
	rr_free_quarantine_entry(back);
	g_free(text);
}

/* Guards against entries that others write, or a later version. */
static void test_quarantine_that_is_none(void **state)
{
	static const char five[] =
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":"
		"[\"a\",\"b\",\"c\",\"d\",\"e\"]}";
	static const char *const bad[] = {
		"",
		"[]",
		"{}",
		"{\"state\":\"quarantined\"}",
		"{\"state\":\"odd\",\"trials\":0,\"crashed\":[\"i\"]}",
		"{\"state\":\"quarantined\",\"trials\":-1,\"crashed\":[\"i\"]}",
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":[]}",
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":[7]}",
		"{\"state\":\"quarantined\",\"trials\":0,\"crashed\":[\"a b\"]}",
		five,
	};
	const char *good =
		"{\"state\":\"suspected\",\"trials\":0,\"crashed\":[\"i\"]}";

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_non_null(find_quarantine_fault(DEADLY, bad[i]));
	assert_null(find_quarantine_fault(DEADLY, good));
	assert_non_null(find_quarantine_fault("", good));
	assert_non_null(find_quarantine_fault("x", good));
}

/* Of a key that others wrote, and of one that is not there any more. */
static void test_a_report_that_came_too_late(void **state)
{
	static const char *const bodies[] = {
		"{\"items\":[{\"key\":\"ragwort/quarantine/" DEADLY
		"\",\"value\":\"e30=\",\"revision\":7}]}",
		"{\"items\":[{\"key\":\"ragwort/quarantine/" DEADLY
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
		cmocka_unit_test(test_an_entry_of_a_replica),
		cmocka_unit_test(test_a_start_may_be_left_out),
		cmocka_unit_test(test_fields_that_lack_or_are_of_another_type),
		cmocka_unit_test(test_values_that_are_not_known),
		cmocka_unit_test(test_bytes_that_are_no_entry),
		cmocka_unit_test(test_ids_that_cannot_stand_in_a_header),
		cmocka_unit_test(test_an_instances_own_entry),
		cmocka_unit_test(test_entries_that_are_no_instances),
		cmocka_unit_test(test_odd_keys_spoil_no_news),
		cmocka_unit_test(test_a_key_that_is_no_utf8),
		cmocka_unit_test(test_values_that_cannot_be_unpacked),
		cmocka_unit_test(test_a_zero_byte_ends_no_key),
		cmocka_unit_test(test_entries_for_another),
		cmocka_unit_test(test_bad_entries_for_another),
		cmocka_unit_test(test_quarantine_comes_back),
		cmocka_unit_test(test_quarantine_that_is_none),
		cmocka_unit_test(test_a_report_that_came_too_late),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
