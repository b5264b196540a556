/*
 * test-process-gateway.c - End-to-end tests of ragwort-gateway as a process.
 *
 * A stand-in store and replicas implement the protocol of the users' platform;
 * callers use HTTP.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/port.h"
#include "support/process.h"
#include "support/raw-http.h"
#include "support/raw-peer.h"
#include "support/standin-store.h"
#include "support/tool-run.h"

#define N_SHARDS 3
/* Half of the largest value that the store accepts. */
#define NESTED_LEVELS 500000
#define MAX_WAIT_MS 20000

struct fixture {
	struct test_store store;
	struct test_server replicas[N_SHARDS];
	int runs;
	bool hold_replies;   /* replicas do not reply */
	bool separate_zones; /* each shard's replica is in a separate zone */
	char *caller_address;
	char *ready_address;
	char *start_file;
	struct test_process *gateway;
};

/* The replica of each shard returns one record of a letter of its own. */
static void send_reply(struct test_connection *connection)
{
	struct fixture *fixture = connection->server->data;
	long shard = connection->server - fixture->replicas;
	char *extra = g_strdup_printf(
		"Response-Seal: seal%ld\r\n"
		"Request-Id: %s\r\n",
		shard, test_request_header(connection, "request-id"));
	char body[17];

	memset(body, (char)('a' + shard), 16);
	body[16] = '\0';
	test_reply_to(connection, 200, extra, body, false);
	g_free(extra);
}

static void handle_run(struct test_connection *connection)
{
	struct fixture *fixture = connection->server->data;

	fixture->runs++;
	if (!fixture->hold_replies)
		send_reply(connection);
}

static char *format_config(int version, const char *prefix)
{
	return g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"all\",\"host\":\"h\","
		"\"prefix\":\"%s\",\"routeType\":\"idempotent\","
		"\"timeoutMs\":2000,\"targetLatencyMs\":1000,\"maxAttempts\":2,"
		"\"shardServices\":[\"s0\",\"s1\",\"s2\"],\"topK\":2,"
		"\"minShardRatio\":0.6},{\"name\":\"one\",\"host\":\"h\","
		"\"prefix\":\"/one/\",\"routeType\":\"non_idempotent\","
		"\"timeoutMs\":5000,\"maxAttempts\":2,\"service\":\"s0\"}],"
		"\"services\":[{\"name\":\"s0\",\"maxConnections\":9},"
		"{\"name\":\"s1\",\"maxConnections\":9},"
		"{\"name\":\"s2\",\"maxConnections\":9}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":9999,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		version, prefix);
}

static void register_replica(struct fixture *fixture, int i, int64_t started_ms,
			     bool draining)
{
	char *id = g_strdup_printf("i-%d", i);
	char *service = g_strdup_printf("s%d", i);
	char *zone = g_strdup_printf("z%d", i);
	char *address =
		g_strdup_printf("127.0.0.1:%u", fixture->replicas[i].port);
	struct test_replica_entry entry = {
		.id = id,
		.service = service,
		.address = address,
		.zone = fixture->separate_zones ? zone : NULL,
		.slots = 2,
		.draining = draining,
		.started_ms = started_ms,
	};

	test_store_put_replica(&fixture->store, &entry);
	g_free(zone);
	g_free(address);
	g_free(service);
	g_free(id);
}

static void fill_store(struct fixture *fixture)
{
	char *config = format_config(3, "/all/");

	test_store_put(&fixture->store, "op/config", config);
	for (int i = 0; i < N_SHARDS; i++)
		register_replica(fixture, i, 0, false);
	g_free(config);
}

/* Wait until the gateway has received all changes of the store. */
static void wait_for_current_watch(struct fixture *fixture)
{
	for (int i = 0; !test_store_has_current_watch(&fixture->store); i++) {
		assert_true(i < MAX_WAIT_MS);
		raw_run_for(1000);
	}
}

static void start_gateway(struct fixture *fixture)
{
	char *text = g_strdup_printf(
		"instance: gw-1\nzone: a\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\nstore_address: \"127.0.0.1:%u\"\n"
		"stop_timeout_s: 6\n",
		fixture->caller_address, fixture->ready_address,
		fixture->store.server.port);

	fixture->start_file = test_write_temp_file(text);
	fixture->gateway = test_start_gateway(fixture->start_file);
	wait_for_current_watch(fixture);
	g_free(text);
}

static void restart_gateway(struct fixture *fixture)
{
	test_signal_process(fixture->gateway, SIGKILL);
	test_wait_process(fixture->gateway);
	test_drop_process(fixture->gateway);
	test_remove_temp_file(fixture->start_file);
	/* The store notices that the connection of the watch was closed. */
	while (test_store_has_current_watch(&fixture->store))
		raw_run_for(1000);
	start_gateway(fixture);
}

static int set_up(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);

	test_open_store(&fixture->store, 1);
	for (int i = 0; i < N_SHARDS; i++) {
		fixture->replicas[i].data = fixture;
		fixture->replicas[i].request = handle_run;
		test_set_listening(&fixture->replicas[i], true);
	}
	fill_store(fixture);
	fixture->caller_address = test_reserve_address();
	fixture->ready_address = test_reserve_address();
	start_gateway(fixture);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *fixture = *state;

	test_drop_process(fixture->gateway);
	test_close_store(&fixture->store);
	for (int i = 0; i < N_SHARDS; i++)
		test_destroy_server(&fixture->replicas[i]);
	test_remove_temp_file(fixture->start_file);
	g_free(fixture->caller_address);
	g_free(fixture->ready_address);
	g_free(fixture);
	return 0;
}

static struct raw_peer *send_request(struct fixture *fixture, const char *line)
{
	struct raw_peer *caller = raw_connect(fixture->caller_address);
	char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: h\r\n"
				     "Request-Id: id1\r\nDeadline-Ms: 4000\r\n"
				     "Content-Length: 0\r\n\r\n",
				     line);

	raw_send(caller, text);
	g_free(text);
	return caller;
}

static void test_search(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *caller = send_request(fixture, "GET /all/x");

	raw_expect(caller, "ccccccccccccccccbbbbbbbbbbbbbbbb");
	assert_non_null(strstr(caller->received->str, "HTTP/1.1 200 OK"));
	assert_non_null(strstr(caller->received->str, "Part-Seals: "));
	assert_null(strstr(caller->received->str, "Missing-Parts"));
	assert_int_equal(fixture->runs, N_SHARDS);
	raw_drop(caller);
}

static void test_forwarded_request(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *caller = send_request(fixture, "POST /one/x");

	raw_expect(caller, "aaaaaaaaaaaaaaaa");
	assert_non_null(strstr(caller->received->str, "Response-Seal: seal0"));
	raw_drop(caller);
}

/* Guards against a new configuration version that is not applied. */
static void test_new_configuration(void **state)
{
	struct fixture *fixture = *state;
	char *config = format_config(8, "/new/");
	struct raw_peer *caller = send_request(fixture, "GET /new/x");

	raw_expect(caller, "HTTP/1.1 404 ");
	raw_drop(caller);
	test_store_put(&fixture->store, "op/config", config);
	wait_for_current_watch(fixture);
	caller = send_request(fixture, "GET /new/x");
	raw_expect(caller, "cccccccccccccccc");
	raw_drop(caller);
	g_free(config);
}

/*
 * Guards against requests to a draining replica.  Its shard is missing and the
 * response must report that.
 */
static void test_draining_replica(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *caller;

	register_replica(fixture, 2, 0, true);
	wait_for_current_watch(fixture);
	caller = send_request(fixture, "GET /all/x");
	raw_expect(caller, "Missing-Parts: 1\r\n");
	assert_int_equal(fixture->runs, 2);
	raw_drop(caller);
}

/*
 * Guards against a restarted replica that stays out of use.  It drains, exits
 * and starts again under the same id, while invalid entries are written under
 * neighbouring keys.  Searches must be complete again.
 */
static void test_restarted_replica_beside_invalid_entries(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *caller;

	register_replica(fixture, 2, 1700000000000, true);
	test_store_put(&fixture->store, "servers/i-\"9\n", "nonsense");
	test_store_put(&fixture->store, "ragwort/instances/x", "{}");
	register_replica(fixture, 2, 1700000009000, false);
	wait_for_current_watch(fixture);
	caller = send_request(fixture, "GET /all/x");
	raw_expect(caller, "HTTP/1.1 200 OK");
	assert_int_equal(fixture->runs, 3);
	raw_drop(caller);
}

/*
 * Guards against a gateway that ends, at each of its starts, by an entry of
 * another writer that is nested deeper than its stack allows.
 */
static void test_deeply_nested_entry(void **state)
{
	struct fixture *fixture = *state;
	GString *entry = g_string_new("{\"service\":");
	struct raw_peer *caller;

	for (int i = 0; i < 2 * NESTED_LEVELS; i++)
		g_string_append_c(entry, i < NESTED_LEVELS ? '[' : ']');
	g_string_append_c(entry, '}');
	test_store_put(&fixture->store, "servers/i-1-nested", entry->str);
	wait_for_current_watch(fixture);
	restart_gateway(fixture);
	caller = send_request(fixture, "GET /all/x");
	raw_expect(caller, "HTTP/1.1 200 OK");
	assert_int_equal(fixture->runs, 3);
	raw_drop(caller);
	g_string_free(entry, TRUE);
}

/* Move each shard to a separate zone and wait until the gateway knows it. */
static void move_shards_to_separate_zones(struct fixture *fixture)
{
	fixture->separate_zones = true;
	for (int i = 0; i < N_SHARDS; i++)
		register_replica(fixture, i, 0, false);
	wait_for_current_watch(fixture);
}

/* Expect a search in which exactly one shard is missing. */
static void expect_one_shard_missing(struct fixture *fixture)
{
	struct raw_peer *caller;

	fixture->runs = 0;
	caller = send_request(fixture, "GET /all/x");
	raw_expect(caller, "Missing-Parts: 1\r\n");
	assert_int_equal(fixture->runs, 2);
	raw_drop(caller);
}

/*
 * Guards against an evacuation that is lost when the store is unavailable or
 * the gateway restarts.
 */
static void test_evacuated_zone_gets_no_requests(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *caller;

	move_shards_to_separate_zones(fixture);
	test_store_put(&fixture->store, "op/evacuate/z2", "{}");
	wait_for_current_watch(fixture);
	expect_one_shard_missing(fixture);
	test_store_set_state(&fixture->store, TEST_STORE_RESET);
	expect_one_shard_missing(fixture);
	test_store_set_state(&fixture->store, TEST_STORE_UP);
	restart_gateway(fixture);
	expect_one_shard_missing(fixture);
	test_store_remove(&fixture->store, "op/evacuate/z2");
	wait_for_current_watch(fixture);
	fixture->runs = 0;
	caller = send_request(fixture, "GET /all/x");
	raw_expect(caller, "cccccccccccccccc");
	assert_int_equal(fixture->runs, N_SHARDS);
	raw_drop(caller);
}

/*
 * Guards against callers that have to wait for a response when no request may
 * be sent because all zones are evacuated.
 */
static void test_all_zones_evacuated(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *caller;

	move_shards_to_separate_zones(fixture);
	test_store_put(&fixture->store, "op/evacuate/z0", "{}");
	test_store_put(&fixture->store, "op/evacuate/z1", "no object");
	test_store_put(&fixture->store, "op/evacuate/z2", "{}");
	wait_for_current_watch(fixture);
	caller = send_request(fixture, "GET /all/x");
	raw_expect(caller, "HTTP/1.1 503 ");
	raw_expect(caller, "Retry-After: ");
	raw_drop(caller);
	assert_int_equal(fixture->runs, 0);
}

static bool is_ready(struct fixture *fixture)
{
	struct raw_peer *caller = raw_connect(fixture->ready_address);
	bool ready;

	raw_send(caller, "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n");
	raw_expect(caller, "\r\n\r\n");
	ready = strstr(caller->received->str, "HTTP/1.1 200") != NULL;
	raw_drop(caller);
	return ready;
}

/*
 * Guards against a stop that aborts requests.  The platform stops an instance
 * while a reservation runs and new requests arrive.  The instance must report
 * not ready at once, serve them all, and then exit by itself.
 */
static void test_stop_completes_all_requests(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *running;
	struct raw_peer *late;

	assert_true(is_ready(fixture));
	fixture->hold_replies = true;
	running = send_request(fixture, "POST /one/x");
	raw_run_until(&fixture->runs, 1);
	test_signal_process(fixture->gateway, SIGTERM);
	while (is_ready(fixture))
		raw_run_for(1000);
	fixture->hold_replies = false;
	late = send_request(fixture, "GET /all/x");
	raw_expect(late, "Connection: close\r\n");
	raw_expect(late, "cccccccccccccccc");
	for (guint i = 0; i < fixture->replicas[0].connections->len; i++) {
		struct test_connection *connection =
			g_ptr_array_index(fixture->replicas[0].connections, i);

		if (connection->busy)
			send_reply(connection);
	}
	raw_expect(running, "aaaaaaaaaaaaaaaa");
	raw_drop(running);
	raw_drop(late);
	assert_int_equal(test_wait_process(fixture->gateway), 0);
}

#define NOWHERE "GET /nowhere/x HTTP/1.1\r\nHost: h\r\n\r\n"

/*
 * Guards against requests that leak if they are pipelined and answered at once:
 * each answer starts the next request.  AddressSanitizer reports it at the exit.
 */
static void test_pipelined_requests_answered_at_once(void **state)
{
	struct fixture *fixture = *state;
	struct raw_peer *caller = raw_connect(fixture->caller_address);

	raw_send(caller, NOWHERE NOWHERE NOWHERE);
	raw_expect(caller, "HTTP/1.1 404 ");
	raw_run_for(20000);
	raw_drop(caller);
	test_signal_process(fixture->gateway, SIGTERM);
	assert_int_equal(test_wait_process(fixture->gateway), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_search, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_forwarded_request, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_new_configuration, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_draining_replica, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_restarted_replica_beside_invalid_entries, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_evacuated_zone_gets_no_requests, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(test_deeply_nested_entry,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_all_zones_evacuated,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_stop_completes_all_requests, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_pipelined_requests_answered_at_once, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
