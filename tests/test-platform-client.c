/*
 * test-platform-client.c - platform client against the stand-in platform: the
 * status for each kind of failure, the watch, and the instance list.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "ragwort/counters.h"
#include "ragwort/net-platform.h"
#include "ragwort/record.h"
#include "support/process.h"

struct fixture {
	struct rr_context *ctx;
	struct rr_platform_client *client;
	struct rr_store_port store;
	struct test_platform *platform;
	uint64_t next_call_id;
	bool replied;
	struct rr_store_reply reply;
	char *value;
	/* Received from the watch and the list. */
	bool record_read;
	char *record;
	bool member_listed;
	char *member;
	bool replica_listed;
	enum rr_upstream_state replica_state;
	bool is_watcher;
	uint32_t list_slow_period_ms;
	uint32_t lists_read;
};

static void on_replied(void *data, const struct rr_store_reply *reply)
{
	struct fixture *f = data;

	f->reply = *reply;
	g_free(f->value);
	f->value = NULL;
	if (reply->value) {
		f->value = g_malloc0(reply->length + 1);
		memcpy(f->value, reply->value, reply->length);
	}
	f->replied = true;
}

static void on_record_received(void *data, const char *record, size_t length,
			       uint64_t key_revision)
{
	struct fixture *f = data;

	g_free(f->record);
	f->record = g_strndup(record, length);
	f->record_read = true;
}

static void on_member_listed(void *data, const char *name, const char *zone,
			     const char *address)
{
	struct fixture *f = data;

	g_free(f->member);
	f->member = g_strdup_printf("%s/%s/%s", name, zone, address);
	f->member_listed = true;
	f->lists_read++;
}

static void on_replica_listed(void *data, const char *name, int64_t started_ms,
			      enum rr_upstream_state state)
{
	struct fixture *f = data;

	f->replica_state = state;
	f->replica_listed = true;
}

static bool get_is_watcher(void *data)
{
	struct fixture *f = data;

	return f->is_watcher;
}

static void open_client(struct fixture *f)
{
	char *address = g_strdup_printf("127.0.0.1:%u", f->platform->port);
	struct rr_platform_client_options options = {
		.address = address,
		.replied = on_replied,
		.record_received = on_record_received,
		.member_listed = on_member_listed,
		.replica_listed = on_replica_listed,
		.is_watcher = get_is_watcher,
		.data = f,
		.call_timeout_ms = 500,
		.watch_ms = 5000,
		.list_period_ms = 50,
		.list_slow_period_ms = f->list_slow_period_ms,
		.retry_ms = 50,
	};

	f->client = rr_new_platform_client(f->ctx, &options);
	f->store = rr_make_store_port(f->client);
	g_free(address);
}

static int set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->ctx = rr_new_context(NULL);
	f->platform = test_start_platform();
	f->is_watcher = true;
	f->list_slow_period_ms = 100;
	f->next_call_id = 1;
	open_client(f);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	rr_drop_platform_client(f->client);
	while (g_main_context_iteration(NULL, FALSE))
		;
	test_drop_platform(f->platform);
	rr_drop_context(f->ctx);
	g_free(f->value);
	g_free(f->record);
	g_free(f->member);
	g_free(f);
	return 0;
}

static enum rr_store_status swap_bytes(struct fixture *f, const char *key,
				       uint64_t revision, const char *value,
				       size_t length)
{
	f->replied = false;
	f->store.compare_and_swap(f->store.data, f->next_call_id++, key,
				  revision, value, length, NULL);
	test_run_until(&f->replied);
	assert_int_equal(f->reply.call_id, f->next_call_id - 1);
	return f->reply.status;
}

static enum rr_store_status swap(struct fixture *f, const char *key,
				 uint64_t revision, const char *value)
{
	return swap_bytes(f, key, revision, value, strlen(value));
}

static enum rr_store_status get(struct fixture *f, const char *key)
{
	f->replied = false;
	f->store.get(f->store.data, f->next_call_id++, key);
	test_run_until(&f->replied);
	return f->reply.status;
}

static void test_gets_and_swaps(void **state)
{
	struct fixture *f = *state;
	uint64_t revision;

	assert_int_equal(get(f, "ledger/3"), RR_STORE_OK);
	assert_null(f->value);
	assert_int_equal(f->reply.revision, 0);
	assert_int_equal(swap(f, "ledger/3", 0, "one"), RR_STORE_OK);
	revision = f->reply.revision;
	assert_true(revision > 0);
	assert_int_equal(swap(f, "ledger/3", revision + 5, "two"),
			 RR_STORE_CONFLICT);
	assert_int_equal(get(f, "ledger/3"), RR_STORE_OK);
	assert_string_equal(f->value, "one");
	assert_int_equal(f->reply.revision, revision);
}

/*
 * Guards against values that are copied as strings. One reservation in thirty
 * was answered "not run, ledger-unreadable", and so was every later one of the
 * same minute and group: the fingerprint of a claim contained a zero byte, and
 * everything after it was stored as zeros.
 */
static void test_values_are_binary(void **state)
{
	static const char bytes[] = { 8, 1, 0, 26, 0, 0, 7 };
	struct fixture *f = *state;

	assert_int_equal(swap_bytes(f, "ledger/4", 0, bytes, sizeof(bytes)),
			 RR_STORE_OK);
	assert_int_equal(get(f, "ledger/4"), RR_STORE_OK);
	assert_int_equal(f->reply.length, sizeof(bytes));
	assert_memory_equal(f->value, bytes, sizeof(bytes));
}

/*
 * Guards against a write that is reported as not written when the platform
 * executes it and its reply is lost: a claim would be taken for free although
 * it exists. The client must report that the result is unknown.
 */
static void test_lost_reply_is_unknown(void **state)
{
	struct fixture *f = *state;

	test_post_control(f->platform->control_port, "{\"lose_replies\":1}");
	assert_int_equal(swap(f, "k", 0, "written"), RR_STORE_UNKNOWN);
	assert_int_equal(get(f, "k"), RR_STORE_OK);
	assert_string_equal(f->value, "written");
}

static void test_refused_connection_is_unavailable(void **state)
{
	struct fixture *f = *state;

	test_post_control(f->platform->control_port, "{\"outage\":\"refuse\"}");
	/*
	 * Calls on existing connections are closed: unknown, not unavailable.
	 */
	while (swap(f, "k", 0, "x") != RR_STORE_UNAVAILABLE)
		assert_int_equal(f->reply.status, RR_STORE_UNKNOWN);
	assert_true(rr_counter_value(f->ctx, RR_N_STORE_FAILURES) > 0);
	test_post_control(f->platform->control_port, "{\"outage\":false}");
	assert_int_equal(get(f, "k"), RR_STORE_OK);
}

static void test_unresponsive_platform_is_unknown(void **state)
{
	struct fixture *f = *state;

	test_post_control(f->platform->control_port, "{\"outage\":\"hang\"}");
	assert_int_equal(swap(f, "k", 0, "x"), RR_STORE_UNKNOWN);
}

static void test_watch_sees_each_record(void **state)
{
	struct fixture *f = *state;
	uint64_t revision;

	assert_int_equal(swap(f, RR_CONFIG_RECORD_KEY, 0, "first"),
			 RR_STORE_OK);
	revision = f->reply.revision;
	if (!f->record)
		test_run_until(&f->record_read);
	assert_string_equal(f->record, "first");
	f->record_read = false;
	assert_int_equal(swap(f, RR_CONFIG_RECORD_KEY, revision, "second"),
			 RR_STORE_OK);
	if (!f->record_read)
		test_run_until(&f->record_read);
	assert_string_equal(f->record, "second");
}

/*
 * Guards against a record that is never read: the restored store writes it at
 * the revision up to which the instance has watched before.
 */
static void test_record_of_restored_store_is_read(void **state)
{
	struct fixture *f = *state;
	uint64_t revision;

	assert_int_equal(swap(f, RR_CONFIG_RECORD_KEY, 0, "first"),
			 RR_STORE_OK);
	revision = f->reply.revision;
	test_post_control(f->platform->control_port, "{\"copy\":true}");
	assert_int_equal(swap(f, RR_CONFIG_RECORD_KEY, revision, "second"),
			 RR_STORE_OK);
	while (g_strcmp0(f->record, "second"))
		g_main_context_iteration(NULL, TRUE);
	test_post_control(f->platform->control_port, "{\"restore\":true}");
	while (swap(f, RR_CONFIG_RECORD_KEY, revision, "third") != RR_STORE_OK)
		assert_int_equal(f->reply.status, RR_STORE_UNKNOWN);
	assert_int_equal(f->reply.era, 2);
	f->record_read = false;
	while (g_strcmp0(f->record, "third")) {
		f->record_read = false;
		test_run_until(&f->record_read);
	}
}

static void register_instance(struct fixture *f)
{
	test_post_control(f->platform->control_port,
			  "{\"instances\":[{\"name\":\"e\",\"kind\":\"entry\","
			  "\"zone\":\"z\",\"address\":\"127.0.0.1:1\","
			  "\"state\":\"live\"}]}");
}

/* An instance that does not watch still reads the record once, at its start. */
static void test_reads_once_without_watching(void **state)
{
	struct fixture *f = *state;

	rr_drop_platform_client(f->client);
	f->is_watcher = false;
	open_client(f);
	assert_int_equal(swap(f, RR_CONFIG_RECORD_KEY, 0, "first"),
			 RR_STORE_OK);
	rr_drop_platform_client(f->client);
	g_clear_pointer(&f->record, g_free);
	f->record_read = false;
	open_client(f);
	test_run_until(&f->record_read);
	assert_string_equal(f->record, "first");
	assert_int_equal(
		swap(f, RR_CONFIG_RECORD_KEY, f->reply.revision, "second"),
		RR_STORE_OK);
	/* It has not read the record again after several reads of the list. */
	for (int i = 0; i < 3; i++) {
		f->member_listed = false;
		register_instance(f);
		test_run_until(&f->member_listed);
	}
	assert_string_equal(f->record, "first");
}

static void test_reads_the_list(void **state)
{
	struct fixture *f = *state;

	test_post_control(
		f->platform->control_port,
		"{\"instances\":[{\"name\":\"athi-1\",\"kind\":\"entry\","
		"\"zone\":\"athi\",\"address\":\"127.0.0.1:8201\","
		"\"state\":\"live\"},{\"name\":\"d-a\",\"kind\":"
		"\"upstream\",\"zone\":\"athi\",\"address\":\"127.0.0.1:9\","
		"\"state\":\"leaving\"},7,{}]}");
	test_run_until(&f->replica_listed);
	assert_int_equal(f->replica_state, RR_UPSTREAM_DRAINING);
	assert_string_equal(f->member, "athi-1/athi/127.0.0.1:8201");
}

/*
 * Guards against reservations that get 429 from the platform because 1,200
 * instances read the list every 2 s and use up its reads. An instance that does
 * not watch reads the list once at start. It reads on when it has to watch,
 * because the watcher of its zone died or it sees no member any more. The
 * watching client beside it shows that enough periods have passed.
 */
static void test_slow_list_period_without_watching(void **state)
{
	struct fixture *f = *state;
	struct fixture other = { .platform = f->platform,
				 .ctx = rr_new_context(NULL),
				 .list_slow_period_ms = G_MAXINT32 };

	register_instance(f);
	open_client(&other);
	test_run_until(&other.member_listed);
	while (f->lists_read < 20) {
		f->member_listed = false;
		test_run_until(&f->member_listed);
	}
	assert_int_equal(other.lists_read, 1);
	other.is_watcher = true;
	other.member_listed = false;
	test_run_until(&other.member_listed);
	rr_drop_platform_client(other.client);
	rr_drop_context(other.ctx);
	g_free(other.member);
}

/*
 * The list is still read at the slow period, so that a hint that peers did not
 * forward arrives.
 */
static void test_reads_the_list_again_without_watching(void **state)
{
	struct fixture *f = *state;

	f->is_watcher = false;
	register_instance(f);
	while (f->lists_read < 3) {
		f->member_listed = false;
		test_run_until(&f->member_listed);
	}
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_gets_and_swaps),
		TEST(test_values_are_binary),
		TEST(test_lost_reply_is_unknown),
		TEST(test_refused_connection_is_unavailable),
		TEST(test_unresponsive_platform_is_unknown),
		TEST(test_watch_sees_each_record),
		TEST(test_record_of_restored_store_is_read),
		TEST(test_reads_once_without_watching),
		TEST(test_reads_the_list),
		TEST(test_slow_list_period_without_watching),
		TEST(test_reads_the_list_again_without_watching),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
