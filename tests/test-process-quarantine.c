/*
 * test-process-quarantine.c - Process tests of quarantining queries of death.
 *
 * Several ragwort-gateway processes share one store.  A query of death is a
 * request that crashes each replica that runs it.
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

#define N_GATEWAYS 3
#define N_SHARDS 4
#define REPLICAS_PER_SHARD 2
#define N_UNSHARDED_REPLICAS 3 /* replicas of the service without shards */
#define N_REPLICAS (N_SHARDS * REPLICAS_PER_SHARD + N_UNSHARDED_REPLICAS)
#define RUN_MS 5
#define RESTART_MS 300
#define REQUEST_INTERVAL_MS 400
/* Time after a crash by which all instances know of it and the two before. */
#define SETTLED_US (1500 * 1000)
#define MAX_LATE_REQUESTS 3

struct fixture;

struct replica {
	struct test_server server;
	struct fixture *fixture;
	int index;
	int generation; /* number of restarts so far */
	guint restart;	/* source of the pending restart; 0: running */
};

struct run {
	struct replica *replica;
	struct test_connection *connection; /* NULL: closed */
	guint source;
};

struct fixture {
	struct test_store store;
	struct replica replicas[N_REPLICAS];
	GPtrArray *runs; /* struct run */
	int crashes;
	int64_t third_crash_us;	 /* time of the third crash; 0: not yet */
	int64_t faults_ended_us; /* end of the last injected fault */
	bool forwards_to_strong; /* only instance 0 has a great strength */
	/* Ids of deadly requests run when all instances knew of the crashes. */
	GHashTable *late_requests;
	char *caller_addresses[N_GATEWAYS];
	char *start_files[N_GATEWAYS];
	struct test_process *gateways[N_GATEWAYS];
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

static char *format_id(const struct replica *replica)
{
	return g_strdup_printf("i-%d-%d", replica->index, replica->generation);
}

static void register_replica(struct replica *replica)
{
	char *id = format_id(replica);
	char *service =
		replica->index < N_SHARDS * REPLICAS_PER_SHARD ?
			g_strdup_printf("s%d", replica->index % N_SHARDS) :
			g_strdup("k");
	char *address = g_strdup_printf("127.0.0.1:%u", replica->server.port);
	char zone[] = { (char)('a' + replica->index / N_SHARDS), '\0' };
	struct test_replica_entry entry = {
		.id = id,
		.service = service,
		.address = address,
		.zone = zone,
		.slots = 2,
	};

	test_store_put_replica(&replica->fixture->store, &entry);
	g_free(address);
	g_free(service);
	g_free(id);
}

static gboolean restart(gpointer data)
{
	struct replica *replica = data;
	char *id = format_id(replica);
	char *key = g_strconcat("servers/", id, NULL);

	test_store_remove(&replica->fixture->store, key);
	replica->generation++;
	replica->restart = 0;
	test_set_listening(&replica->server, true);
	register_replica(replica);
	g_free(key);
	g_free(id);
	return G_SOURCE_REMOVE;
}

static void crash_replica(struct replica *replica)
{
	struct fixture *fixture = replica->fixture;

	test_stop_server(&replica->server);
	replica->restart = g_timeout_add(RESTART_MS, restart, replica);
	if (++fixture->crashes == 3)
		fixture->third_crash_us = g_get_monotonic_time();
}

static void send_reply(struct replica *replica,
		       struct test_connection *connection)
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

static gboolean finish_run(gpointer data)
{
	struct run *run = data;
	struct replica *replica = run->replica;
	struct test_connection *connection = run->connection;

	run->source = 0;
	g_ptr_array_remove(replica->fixture->runs, run);
	if (strstr(connection->path, "deadly"))
		crash_replica(replica);
	else
		send_reply(replica, connection);
	return G_SOURCE_REMOVE;
}

static void free_run(gpointer data)
{
	struct run *run = data;

	if (run->source)
		g_source_remove(run->source);
	g_free(run);
}

/* Drop the run of a closed connection. */
static void drop_run(struct test_connection *connection)
{
	struct replica *replica = connection->server->data;
	GPtrArray *runs = replica->fixture->runs;

	for (guint i = 0; i < runs->len; i++) {
		struct run *run = g_ptr_array_index(runs, i);

		if (run->connection != connection)
			continue;
		g_ptr_array_remove_index(runs, i);
		return;
	}
}

static void handle_run(struct test_connection *connection)
{
	struct replica *replica = connection->server->data;
	struct fixture *fixture = replica->fixture;
	struct run *run = g_new0(struct run, 1);

	run->replica = replica;
	run->connection = connection;
	run->source = g_timeout_add(RUN_MS, finish_run, run);
	g_ptr_array_add(fixture->runs, run);
	if (strstr(connection->path, "deadly") && fixture->third_crash_us &&
	    g_get_monotonic_time() >=
		    MAX(fixture->third_crash_us, fixture->faults_ended_us) +
			    SETTLED_US)
		g_hash_table_add(fixture->late_requests,
				 g_strdup(test_request_header(connection,
							      "request-id")));
}

/* Gateways. */

static void start_gateway(struct fixture *fixture, int i)
{
	char *ready = test_reserve_address();
	char *peers = test_reserve_address();
	bool weak = fixture->forwards_to_strong && i;
	char *text = g_strdup_printf(
		"instance: gw-%d\nzone: %c\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\npeer_address: \"%s\"\n"
		"store_address: \"127.0.0.1:%u\"\nstop_timeout_s: 6\n"
		"extra_slack: 100\nstrength: %s\n",
		i, fixture->forwards_to_strong ? 'a' : 'a' + i,
		fixture->caller_addresses[i], ready, peers,
		fixture->store.server.port, weak ? "0.2" : "1");

	fixture->start_files[i] = test_write_temp_file(text);
	fixture->gateways[i] = test_start_gateway(fixture->start_files[i]);
	g_free(text);
	g_free(peers);
	g_free(ready);
}

static void stop_gateway(struct fixture *fixture, int i)
{
	test_drop_process(fixture->gateways[i]);
	test_remove_temp_file(fixture->start_files[i]);
}

static struct raw_peer *send_request(struct fixture *fixture, int gateway,
				     const char *line)
{
	struct raw_peer *caller =
		raw_connect(fixture->caller_addresses[gateway]);
	char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: h\r\n"
				     "Request-Id: id%d\r\nDeadline-Ms: 4000\r\n"
				     "Content-Length: 0\r\n\r\n",
				     line, fixture->next_id++);

	raw_send(caller, text);
	g_free(text);
	return caller;
}

/* Send a request; returns whether the response has this status. */
static bool has_status(struct fixture *fixture, int gateway, const char *line,
		       const char *status)
{
	struct raw_peer *caller = send_request(fixture, gateway, line);
	bool same;

	raw_expect(caller, "\r\n\r\n");
	same = g_str_has_prefix(caller->received->str + strlen("HTTP/1.1 "),
				status);
	raw_drop(caller);
	return same;
}

static void wait_until_served(struct fixture *fixture, int gateway)
{
	while (raw_is_refused(fixture->caller_addresses[gateway]) ||
	       !has_status(fixture, gateway, "GET /all/fine", "200") ||
	       !has_status(fixture, gateway, "GET /one/fine", "200"))
		raw_run_for(20 * 1000);
}

static int set_up_fixture(void **state, bool forwards_to_strong)
{
	struct fixture *fixture = g_new0(struct fixture, 1);

	fixture->forwards_to_strong = forwards_to_strong;
	test_open_store(&fixture->store, 1);
	test_store_put(&fixture->store, "op/config", config);
	fixture->runs = g_ptr_array_new_with_free_func(free_run);
	fixture->late_requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < N_REPLICAS; i++) {
		struct replica *replica = &fixture->replicas[i];

		replica->fixture = fixture;
		replica->index = i;
		replica->server.data = replica;
		replica->server.request = handle_run;
		replica->server.closing = drop_run;
		test_set_listening(&replica->server, true);
		register_replica(replica);
	}
	for (int i = 0; i < N_GATEWAYS; i++) {
		fixture->caller_addresses[i] = test_reserve_address();
		start_gateway(fixture, i);
	}
	for (int i = 0; i < N_GATEWAYS; i++)
		wait_until_served(fixture, i);
	*state = fixture;
	return 0;
}

static int set_up(void **state)
{
	return set_up_fixture(state, false);
}

static int set_up_forwarding(void **state)
{
	return set_up_fixture(state, true);
}

static int tear_down(void **state)
{
	struct fixture *fixture = *state;

	for (int i = 0; i < N_GATEWAYS; i++) {
		stop_gateway(fixture, i);
		g_free(fixture->caller_addresses[i]);
	}
	g_ptr_array_set_size(fixture->runs, 0);
	for (int i = 0; i < N_REPLICAS; i++) {
		struct replica *replica = &fixture->replicas[i];

		if (replica->restart)
			g_source_remove(replica->restart);
		test_destroy_server(&replica->server);
	}
	g_ptr_array_unref(fixture->runs);
	g_hash_table_unref(fixture->late_requests);
	test_close_store(&fixture->store);
	g_free(fixture);
	return 0;
}

/* Send the same request to the instances in turn, without awaiting replies. */
static void send_in_turn(struct fixture *fixture, const char *line,
			 int n_requests)
{
	for (int i = 0; i < n_requests; i++) {
		raw_drop(send_request(fixture, i % N_GATEWAYS, line));
		raw_run_for(REQUEST_INTERVAL_MS * 1000);
	}
}

/* As above, and wait for each response. */
static void request_in_turn(struct fixture *fixture, const char *line,
			    int n_requests)
{
	for (int i = 0; i < n_requests; i++) {
		struct raw_peer *caller =
			send_request(fixture, i % N_GATEWAYS, line);

		raw_expect(caller, "\r\n\r\n");
		raw_drop(caller);
		raw_run_for(REQUEST_INTERVAL_MS * 1000);
	}
}

static void assert_quarantined(struct fixture *fixture)
{
	assert_true(fixture->crashes >= 3);
	assert_in_range(g_hash_table_size(fixture->late_requests), 0,
			MAX_LATE_REQUESTS);
}

/* Guards against a search that crashes a replica of each shard each time. */
static void test_deadly_search_is_quarantined(void **state)
{
	struct fixture *fixture = *state;

	request_in_turn(fixture, "GET /all/deadly", 15);
	assert_quarantined(fixture);
	for (int i = 0; i < N_GATEWAYS; i++)
		wait_until_served(fixture, i);
}

/*
 * Guards against crashes that no instance alone counts up to three: each
 * observes two of them per request.
 */
static void test_deadly_unsharded_request_is_quarantined(void **state)
{
	struct fixture *fixture = *state;

	request_in_turn(fixture, "GET /one/deadly", 15);
	assert_quarantined(fixture);
}

/*
 * Guards against a query of death that the gateway never retries and only its
 * caller repeats.
 */
static void test_deadly_non_idempotent_request_is_quarantined(void **state)
{
	struct fixture *fixture = *state;

	request_in_turn(fixture, "POST /once/deadly", 18);
	assert_quarantined(fixture);
}

/* Guards against crashes that count only if the caller awaits the response. */
static void
test_deadly_search_of_disconnected_caller_is_quarantined(void **state)
{
	struct fixture *fixture = *state;

	request_in_turn(fixture, "GET /all/deadly", 1);
	send_in_turn(fixture, "GET /all/deadly", 12);
	assert_quarantined(fixture);
}

/* Guards against a restarted instance that does not load the quarantine. */
static void test_restarted_instance_loads_quarantine(void **state)
{
	struct fixture *fixture = *state;

	request_in_turn(fixture, "GET /all/deadly", 3);
	raw_run_for(2 * SETTLED_US);
	for (int i = 0; i < N_GATEWAYS; i++) {
		test_signal_process(fixture->gateways[i], SIGKILL);
		test_wait_process(fixture->gateways[i]);
		stop_gateway(fixture, i);
		start_gateway(fixture, i);
	}
	for (int i = 0; i < N_GATEWAYS; i++)
		wait_until_served(fixture, i);
	request_in_turn(fixture, "GET /all/deadly", 6);
	assert_quarantined(fixture);
}

/*
 * Guards against a strong instance that runs the query of death again for
 * each weak instance that forwards it.
 */
static void test_deadly_search_at_weak_instance_is_quarantined(void **state)
{
	struct fixture *fixture = *state;

	request_in_turn(fixture, "GET /all/deadly", 15);
	assert_quarantined(fixture);
	for (int i = 0; i < N_GATEWAYS; i++)
		wait_until_served(fixture, i);
}

/* Guards against crashes that are lost because the store was unavailable. */
static void test_crashes_are_written_after_store_outage(void **state)
{
	struct fixture *fixture = *state;

	test_store_set_state(&fixture->store, TEST_STORE_RESET);
	request_in_turn(fixture, "GET /all/deadly", 6);
	test_store_set_state(&fixture->store, TEST_STORE_UP);
	fixture->faults_ended_us = g_get_monotonic_time() + SETTLED_US;
	request_in_turn(fixture, "GET /all/deadly", 18);
	assert_quarantined(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_deadly_search_is_quarantined, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_deadly_unsharded_request_is_quarantined, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_deadly_non_idempotent_request_is_quarantined,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_deadly_search_of_disconnected_caller_is_quarantined,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_restarted_instance_loads_quarantine, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_deadly_search_at_weak_instance_is_quarantined,
			set_up_forwarding, tear_down),
		cmocka_unit_test_setup_teardown(
			test_crashes_are_written_after_store_outage, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
