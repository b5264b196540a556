/*
 * test-process-quarantine.c - several ragwort-gateway processes on one store,
 * and a request that crashes each replica that runs it (a query of death).
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

#define GATEWAYS 3
#define SHARDS 4
#define COPIES 2
#define SINGLES 3 /* replicas of the service of single requests */
#define REPLICAS (SHARDS * COPIES + SINGLES)
#define RUN_MS 5
#define RESTART_MS 300
#define VISIT_MS 400
/* Instances know of a crash that is so long ago, and of the two before. */
#define SETTLED_US (1500 * 1000)
#define MOST_LATE 3

struct world;

struct replica {
	struct test_server server;
	struct world *world;
	int index;
	int generation; /* its lifetimes so far */
	guint restart;	/* source; 0: it runs */
};

struct run {
	struct replica *replica;
	struct test_connection *connection; /* NULL: it is gone */
	guint source;
};

struct world {
	struct test_store store;
	struct replica replicas[REPLICAS];
	GPtrArray *runs; /* struct run */
	int crashes;
	int64_t third_us; /* when the third replica crashed; 0: not yet */
	int64_t calm_us;  /* when the last harm from outside was over */
	bool hands_over;  /* the first instance is strong, the others weak */
	GHashTable *late; /* ids of deadly requests that came after that */
	char *callers[GATEWAYS];
	char *start_files[GATEWAYS];
	struct test_process *gateways[GATEWAYS];
	int next_id;
};

static const char *const config =
	"{\"version\":3,\"routes\":[{\"name\":\"all\",\"host\":\"h\","
	"\"prefix\":\"/all/\",\"routeType\":\"idempotent\","
	"\"timeoutMs\":2000,\"targetLatencyMs\":1000,\"maxAttempts\":2,"
	"\"shardServices\":[\"s0\",\"s1\",\"s2\",\"s3\"],\"topK\":2,"
	"\"minShardRatio\":0.7},{\"name\":\"one\",\"host\":\"h\","
	"\"prefix\":\"/one/\",\"routeType\":\"idempotent\","
	"\"timeoutMs\":2000,\"maxAttempts\":2,\"service\":\"k\"},"
	"{\"name\":\"once\",\"host\":\"h\","
	"\"prefix\":\"/once/\",\"routeType\":\"non_idempotent\","
	"\"timeoutMs\":2000,\"maxAttempts\":2,\"service\":\"k\"}],"
	"\"services\":[{\"name\":\"s0\",\"maxConnections\":30},"
	"{\"name\":\"s1\",\"maxConnections\":30},"
	"{\"name\":\"s2\",\"maxConnections\":30},"
	"{\"name\":\"s3\",\"maxConnections\":30},"
	"{\"name\":\"k\",\"maxConnections\":30}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":9999,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

/* Replicas. */

static char *id_of(const struct replica *replica)
{
	return g_strdup_printf("i-%d-%d", replica->index, replica->generation);
}

static void announce_replica(struct replica *replica)
{
	char *id = id_of(replica);
	char *service =
		replica->index < SHARDS * COPIES ?
			g_strdup_printf("s%d", replica->index % SHARDS) :
			g_strdup("k");
	char *address = g_strdup_printf("127.0.0.1:%u", replica->server.port);
	char zone[] = { (char)('a' + replica->index / SHARDS), '\0' };
	struct test_replica_entry entry = {
		.id = id,
		.service = service,
		.address = address,
		.zone = zone,
		.slots = 2,
	};

	test_store_put_replica(&replica->world->store, &entry);
	g_free(address);
	g_free(service);
	g_free(id);
}

static gboolean restart(gpointer data)
{
	struct replica *replica = data;
	char *id = id_of(replica);
	char *key = g_strconcat("servers/", id, NULL);

	test_store_remove(&replica->world->store, key);
	replica->generation++;
	replica->restart = 0;
	test_set_listening(&replica->server, true);
	announce_replica(replica);
	g_free(key);
	g_free(id);
	return G_SOURCE_REMOVE;
}

static void crash(struct replica *replica)
{
	struct world *world = replica->world;

	test_stop_server(&replica->server);
	replica->restart = g_timeout_add(RESTART_MS, restart, replica);
	if (++world->crashes == 3)
		world->third_us = g_get_monotonic_time();
}

static void answer(struct replica *replica, struct test_connection *connection)
{
	char *extra = g_strdup_printf(
		"Response-Seal: seal%d\r\n"
		"Request-Id: %s\r\n",
		replica->index, test_request_header(connection, "request-id"));
	char body[17];

	memset(body, 'a' + replica->index, 16);
	body[16] = '\0';
	test_reply_to(connection, 200, extra, body, false);
	g_free(extra);
}

static gboolean end_run(gpointer data)
{
	struct run *run = data;
	struct replica *replica = run->replica;
	struct test_connection *connection = run->connection;

	run->source = 0;
	g_ptr_array_remove(replica->world->runs, run);
	if (strstr(connection->path, "deadly"))
		crash(replica);
	else
		answer(replica, connection);
	return G_SOURCE_REMOVE;
}

static void free_run(gpointer data)
{
	struct run *run = data;

	if (run->source)
		g_source_remove(run->source);
	g_free(run);
}

/* A run whose connection is gone is dropped. */
static void drop_run(struct test_connection *connection)
{
	struct replica *replica = connection->server->data;
	GPtrArray *runs = replica->world->runs;

	for (guint i = 0; i < runs->len; i++) {
		struct run *run = g_ptr_array_index(runs, i);

		if (run->connection != connection)
			continue;
		g_ptr_array_remove_index(runs, i);
		return;
	}
}

static void take_run(struct test_connection *connection)
{
	struct replica *replica = connection->server->data;
	struct world *world = replica->world;
	struct run *run = g_new0(struct run, 1);

	run->replica = replica;
	run->connection = connection;
	run->source = g_timeout_add(RUN_MS, end_run, run);
	g_ptr_array_add(world->runs, run);
	if (strstr(connection->path, "deadly") && world->third_us &&
	    g_get_monotonic_time() >=
		    MAX(world->third_us, world->calm_us) + SETTLED_US)
		g_hash_table_add(world->late,
				 g_strdup(test_request_header(connection,
							      "request-id")));
}

/* Gateways. */

static void start_gateway(struct world *world, int i)
{
	char *ready = test_reserve_address();
	char *peers = test_reserve_address();
	bool weak = world->hands_over && i;
	char *text = g_strdup_printf(
		"instance: gw-%d\nzone: %c\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\npeer_address: \"%s\"\n"
		"store_address: \"127.0.0.1:%u\"\nstop_timeout_s: 6\n"
		"extra_slack: 100\nstrength: %s\n",
		i, world->hands_over ? 'a' : 'a' + i, world->callers[i], ready,
		peers, world->store.server.port, weak ? "0.2" : "1");

	world->start_files[i] = test_write_temp_file(text);
	world->gateways[i] = test_start_gateway(world->start_files[i]);
	g_free(text);
	g_free(peers);
	g_free(ready);
}

static void stop_gateway(struct world *world, int i)
{
	test_drop_process(world->gateways[i]);
	test_remove_temp_file(world->start_files[i]);
}

static struct raw_peer *ask(struct world *world, int gateway, const char *line)
{
	struct raw_peer *caller = raw_connect(world->callers[gateway]);
	char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: h\r\n"
				     "Request-Id: id%d\r\nDeadline-Ms: 4000\r\n"
				     "Content-Length: 0\r\n\r\n",
				     line, world->next_id++);

	raw_send(caller, text);
	g_free(text);
	return caller;
}

/* Ask, and whether the answer's status was this one. */
static bool is_answered(struct world *world, int gateway, const char *line,
			const char *status)
{
	struct raw_peer *caller = ask(world, gateway, line);
	bool same;

	raw_expect(caller, "\r\n\r\n");
	same = g_str_has_prefix(caller->received->str + strlen("HTTP/1.1 "),
				status);
	raw_drop(caller);
	return same;
}

static void wait_until_served(struct world *world, int gateway)
{
	while (raw_is_refused(world->callers[gateway]) ||
	       !is_answered(world, gateway, "GET /all/fine", "200") ||
	       !is_answered(world, gateway, "GET /one/fine", "200"))
		raw_run_for(20 * 1000);
}

static int set_up_world(void **state, bool hands_over)
{
	struct world *world = g_new0(struct world, 1);

	world->hands_over = hands_over;
	test_open_store(&world->store, 1);
	test_store_put(&world->store, "op/config", config);
	world->runs = g_ptr_array_new_with_free_func(free_run);
	world->late =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < REPLICAS; i++) {
		struct replica *replica = &world->replicas[i];

		replica->world = world;
		replica->index = i;
		replica->server.data = replica;
		replica->server.request = take_run;
		replica->server.closing = drop_run;
		test_set_listening(&replica->server, true);
		announce_replica(replica);
	}
	for (int i = 0; i < GATEWAYS; i++) {
		world->callers[i] = test_reserve_address();
		start_gateway(world, i);
	}
	for (int i = 0; i < GATEWAYS; i++)
		wait_until_served(world, i);
	*state = world;
	return 0;
}

static int set_up(void **state)
{
	return set_up_world(state, false);
}

static int set_up_weak(void **state)
{
	return set_up_world(state, true);
}

static int tear_down(void **state)
{
	struct world *world = *state;

	for (int i = 0; i < GATEWAYS; i++) {
		stop_gateway(world, i);
		g_free(world->callers[i]);
	}
	g_ptr_array_set_size(world->runs, 0);
	for (int i = 0; i < REPLICAS; i++) {
		struct replica *replica = &world->replicas[i];

		if (replica->restart)
			g_source_remove(replica->restart);
		test_destroy_server(&replica->server);
	}
	g_ptr_array_unref(world->runs);
	g_hash_table_unref(world->late);
	test_close_store(&world->store);
	g_free(world);
	return 0;
}

/* The same request comes to one instance after the other. */
static void visit_in_turn(struct world *world, const char *line, int visits)
{
	for (int i = 0; i < visits; i++) {
		raw_drop(ask(world, i % GATEWAYS, line));
		raw_run_for(VISIT_MS * 1000);
	}
}

/* As above, and each waits for its answer. */
static void ask_in_turn(struct world *world, const char *line, int visits)
{
	for (int i = 0; i < visits; i++) {
		struct raw_peer *caller = ask(world, i % GATEWAYS, line);

		raw_expect(caller, "\r\n\r\n");
		raw_drop(caller);
		raw_run_for(VISIT_MS * 1000);
	}
}

static void assert_kept_from_replicas(struct world *world)
{
	assert_true(world->crashes >= 3);
	assert_in_range(g_hash_table_size(world->late), 0, MOST_LATE);
}

/* Guards against a search that crashes a replica of each shard at each visit. */
static void test_a_search_that_crashes_replicas_is_kept_from_them(void **state)
{
	struct world *world = *state;

	ask_in_turn(world, "GET /all/deadly", 15);
	assert_kept_from_replicas(world);
	for (int i = 0; i < GATEWAYS; i++)
		wait_until_served(world, i);
}

/*
 * Guards against crashes that no instance counts to three: each sees two of
 * them at a visit.
 */
static void test_a_request_that_crashes_replicas_is_kept_from_them(void **state)
{
	struct world *world = *state;

	ask_in_turn(world, "GET /one/deadly", 15);
	assert_kept_from_replicas(world);
}

/* Guards against one that is never repeated here, and by its caller only. */
static void test_one_that_runs_once_is_kept_from_them(void **state)
{
	struct world *world = *state;

	ask_in_turn(world, "POST /once/deadly", 18);
	assert_kept_from_replicas(world);
}

/* Guards against crashes that count only for a caller that waits to the end. */
static void test_one_whose_caller_leaves_is_kept_from_them(void **state)
{
	struct world *world = *state;

	ask_in_turn(world, "GET /all/deadly", 1);
	visit_in_turn(world, "GET /all/deadly", 12);
	assert_kept_from_replicas(world);
}

/* Guards against an instance that starts again and knows nothing of it. */
static void test_an_instance_that_starts_again_knows_of_it(void **state)
{
	struct world *world = *state;

	ask_in_turn(world, "GET /all/deadly", 3);
	raw_run_for(2 * SETTLED_US);
	for (int i = 0; i < GATEWAYS; i++) {
		test_signal_process(world->gateways[i], SIGKILL);
		test_wait_process(world->gateways[i]);
		stop_gateway(world, i);
		start_gateway(world, i);
	}
	for (int i = 0; i < GATEWAYS; i++)
		wait_until_served(world, i);
	ask_in_turn(world, "GET /all/deadly", 6);
	assert_kept_from_replicas(world);
}

/* Guards against a strong instance that gathers it for each weak one. */
static void test_one_that_is_handed_over_is_kept_from_them(void **state)
{
	struct world *world = *state;

	ask_in_turn(world, "GET /all/deadly", 15);
	assert_kept_from_replicas(world);
	for (int i = 0; i < GATEWAYS; i++)
		wait_until_served(world, i);
}

/* Guards against crashes that are forgotten since the store was away. */
static void test_a_store_that_is_away_is_told_later(void **state)
{
	struct world *world = *state;

	test_store_set_state(&world->store, TEST_STORE_RESET);
	ask_in_turn(world, "GET /all/deadly", 6);
	test_store_set_state(&world->store, TEST_STORE_UP);
	world->calm_us = g_get_monotonic_time() + SETTLED_US;
	ask_in_turn(world, "GET /all/deadly", 18);
	assert_kept_from_replicas(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_a_search_that_crashes_replicas_is_kept_from_them,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_a_request_that_crashes_replicas_is_kept_from_them,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_one_that_runs_once_is_kept_from_them, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_one_whose_caller_leaves_is_kept_from_them, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_an_instance_that_starts_again_knows_of_it, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_one_that_is_handed_over_is_kept_from_them,
			set_up_weak, tear_down),
		cmocka_unit_test_setup_teardown(
			test_a_store_that_is_away_is_told_later, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
