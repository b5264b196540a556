/*
 * test-process-gateway.c - ragwort-gateway as a process, from end to end: a
 * store and replicas that speak the users' platform's protocol, callers over
 * HTTP, and a stop that cuts nobody off.
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

#define SHARDS 3

struct world {
	struct test_store store;
	struct test_server replicas[SHARDS];
	int runs;
	bool hold;  /* replicas keep their requests */
	bool apart; /* each shard's replica is in a zone of its own */
	char *caller_address;
	char *ready_address;
	char *start_file;
	struct test_process *gateway;
};

/* Each replica has one record of its own letter. */
static void answer_run(struct test_connection *connection)
{
	struct world *world = connection->server->data;
	long shard = connection->server - world->replicas;
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

static void take_run(struct test_connection *connection)
{
	struct world *world = connection->server->data;

	world->runs++;
	if (!world->hold)
		answer_run(connection);
}

static char *config_of(int version, const char *prefix)
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

static void announce_replica(struct world *world, int i, int64_t born_ms,
			     bool draining)
{
	char *id = g_strdup_printf("i-%d", i);
	char *service = g_strdup_printf("s%d", i);
	char *zone = g_strdup_printf("z%d", i);
	char *address =
		g_strdup_printf("127.0.0.1:%u", world->replicas[i].port);
	struct test_replica_entry entry = {
		.id = id,
		.service = service,
		.address = address,
		.zone = world->apart ? zone : NULL,
		.slots = 2,
		.draining = draining,
		.started_ms = born_ms,
	};

	test_store_put_replica(&world->store, &entry);
	g_free(zone);
	g_free(address);
	g_free(service);
	g_free(id);
}

static void fill_store(struct world *world)
{
	char *config = config_of(3, "/all/");

	test_store_put(&world->store, "op/config", config);
	for (int i = 0; i < SHARDS; i++)
		announce_replica(world, i, 0, false);
	g_free(config);
}

/* The gateway knows all that the store holds. */
static void wait_until_followed(struct world *world)
{
	while (!test_store_has_current_watch(&world->store))
		raw_run_for(1000);
}

static void start_gateway(struct world *world)
{
	char *text = g_strdup_printf(
		"instance: gw-1\nzone: a\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\nstore_address: \"127.0.0.1:%u\"\n"
		"stop_timeout_s: 6\n",
		world->caller_address, world->ready_address,
		world->store.server.port);

	world->start_file = test_write_temp_file(text);
	world->gateway = test_start_gateway(world->start_file);
	wait_until_followed(world);
	g_free(text);
}

static int set_up(void **state)
{
	struct world *world = g_new0(struct world, 1);

	test_open_store(&world->store, 1);
	for (int i = 0; i < SHARDS; i++) {
		world->replicas[i].data = world;
		world->replicas[i].request = take_run;
		test_set_listening(&world->replicas[i], true);
	}
	fill_store(world);
	world->caller_address = test_reserve_address();
	world->ready_address = test_reserve_address();
	start_gateway(world);
	*state = world;
	return 0;
}

static int tear_down(void **state)
{
	struct world *world = *state;

	test_drop_process(world->gateway);
	test_close_store(&world->store);
	for (int i = 0; i < SHARDS; i++)
		test_destroy_server(&world->replicas[i]);
	test_remove_temp_file(world->start_file);
	g_free(world->caller_address);
	g_free(world->ready_address);
	g_free(world);
	return 0;
}

static struct raw_peer *ask(struct world *world, const char *line)
{
	struct raw_peer *caller = raw_connect(world->caller_address);
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
	struct world *world = *state;
	struct raw_peer *caller = ask(world, "GET /all/x");

	raw_expect(caller, "ccccccccccccccccbbbbbbbbbbbbbbbb");
	assert_non_null(strstr(caller->received->str, "HTTP/1.1 200 OK"));
	assert_non_null(strstr(caller->received->str, "Part-Seals: "));
	assert_null(strstr(caller->received->str, "Missing-Parts"));
	assert_int_equal(world->runs, SHARDS);
	raw_drop(caller);
}

static void test_forwarded_request(void **state)
{
	struct world *world = *state;
	struct raw_peer *caller = ask(world, "POST /one/x");

	raw_expect(caller, "aaaaaaaaaaaaaaaa");
	assert_non_null(strstr(caller->received->str, "Response-Seal: seal0"));
	raw_drop(caller);
}

/* A new version is in force as soon as the store tells of it. */
static void test_new_configuration(void **state)
{
	struct world *world = *state;
	char *config = config_of(8, "/new/");
	struct raw_peer *caller = ask(world, "GET /new/x");

	raw_expect(caller, "HTTP/1.1 404 ");
	raw_drop(caller);
	test_store_put(&world->store, "op/config", config);
	wait_until_followed(world);
	caller = ask(world, "GET /new/x");
	raw_expect(caller, "cccccccccccccccc");
	raw_drop(caller);
	g_free(config);
}

/* A draining replica gets nothing more: its part is lacking, and told so. */
static void test_draining_replica(void **state)
{
	struct world *world = *state;
	struct raw_peer *caller;

	announce_replica(world, 2, 0, true);
	wait_until_followed(world);
	caller = ask(world, "GET /all/x");
	raw_expect(caller, "Missing-Parts: 1\r\n");
	assert_int_equal(world->runs, 2);
	raw_drop(caller);
}

/*
 * Story: a replica drains, ends and starts again under its id, while somebody
 * writes nonsense under keys beside it.  Searches have all their parts again.
 */
static void test_reborn_replica_beside_odd_entries(void **state)
{
	struct world *world = *state;
	struct raw_peer *caller;

	announce_replica(world, 2, 1700000000000, true);
	test_store_put(&world->store, "servers/i-\"9\n", "nonsense");
	test_store_put(&world->store, "ragwort/instances/x", "{}");
	announce_replica(world, 2, 1700000009000, false);
	wait_until_followed(world);
	caller = ask(world, "GET /all/x");
	raw_expect(caller, "HTTP/1.1 200 OK");
	assert_int_equal(world->runs, 3);
	raw_drop(caller);
}

/* Three zones with a shard each, known to the gateway. */
static void place_apart(struct world *world)
{
	world->apart = true;
	for (int i = 0; i < SHARDS; i++)
		announce_replica(world, i, 0, false);
	wait_until_followed(world);
}

/* One search that lacks a shard, and only that. */
static void expect_one_lacks(struct world *world)
{
	struct raw_peer *caller;

	world->runs = 0;
	caller = ask(world, "GET /all/x");
	raw_expect(caller, "Missing-Parts: 1\r\n");
	assert_int_equal(world->runs, 2);
	raw_drop(caller);
}

/* Guards against an evacuation that is forgotten with the store or a start. */
static void test_an_evacuated_zone_gets_nothing(void **state)
{
	struct world *world = *state;
	struct raw_peer *caller;

	place_apart(world);
	test_store_put(&world->store, "op/evacuate/z2", "{}");
	wait_until_followed(world);
	expect_one_lacks(world);
	test_store_set_state(&world->store, TEST_STORE_RESET);
	expect_one_lacks(world);
	test_store_set_state(&world->store, TEST_STORE_UP);
	test_signal_process(world->gateway, SIGKILL);
	test_wait_process(world->gateway);
	test_drop_process(world->gateway);
	test_remove_temp_file(world->start_file);
	start_gateway(world);
	expect_one_lacks(world);
	test_store_remove(&world->store, "op/evacuate/z2");
	wait_until_followed(world);
	world->runs = 0;
	caller = ask(world, "GET /all/x");
	raw_expect(caller, "cccccccccccccccc");
	assert_int_equal(world->runs, SHARDS);
	raw_drop(caller);
}

/* Guards against callers who wait though nothing may be sent anywhere. */
static void test_all_zones_evacuated(void **state)
{
	struct world *world = *state;
	struct raw_peer *caller;

	place_apart(world);
	test_store_put(&world->store, "op/evacuate/z0", "{}");
	test_store_put(&world->store, "op/evacuate/z1", "no object");
	test_store_put(&world->store, "op/evacuate/z2", "{}");
	wait_until_followed(world);
	caller = ask(world, "GET /all/x");
	raw_expect(caller, "HTTP/1.1 503 ");
	raw_expect(caller, "Retry-After: ");
	raw_drop(caller);
	assert_int_equal(world->runs, 0);
}

static bool is_ready(struct world *world)
{
	struct raw_peer *asker = raw_connect(world->ready_address);
	bool ready;

	raw_send(asker, "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n");
	raw_expect(asker, "\r\n\r\n");
	ready = strstr(asker->received->str, "HTTP/1.1 200") != NULL;
	raw_drop(asker);
	return ready;
}

/*
 * Story: the platform stops an instance while a reservation runs and callers
 * still come.  It says at once that it is not ready, serves them all, and
 * ends by itself.
 */
static void test_stop_cuts_nobody_off(void **state)
{
	struct world *world = *state;
	struct raw_peer *busy;
	struct raw_peer *late;

	assert_true(is_ready(world));
	world->hold = true;
	busy = ask(world, "POST /one/x");
	raw_run_until(&world->runs, 1);
	test_signal_process(world->gateway, SIGTERM);
	while (is_ready(world))
		raw_run_for(1000);
	world->hold = false;
	late = ask(world, "GET /all/x");
	raw_expect(late, "Connection: close\r\n");
	raw_expect(late, "cccccccccccccccc");
	for (guint i = 0; i < world->replicas[0].connections->len; i++) {
		struct test_connection *connection =
			g_ptr_array_index(world->replicas[0].connections, i);

		if (connection->busy)
			answer_run(connection);
	}
	raw_expect(busy, "aaaaaaaaaaaaaaaa");
	raw_drop(busy);
	raw_drop(late);
	assert_int_equal(test_wait_process(world->gateway), 0);
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
			test_reborn_replica_beside_odd_entries, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_an_evacuated_zone_gets_nothing, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_all_zones_evacuated,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_stop_cuts_nobody_off,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
