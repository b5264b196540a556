/*
 * test-process-clients.c - ragwort-gateway as a process, with crowds of clients
 * that hold connections, send requests slowly or do not read their responses.
 *
 * Each test checks that the process stays within the memory of a small machine
 * and that an ordinary request is answered while the crowd is still connected.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "support/crowd.h"
#include "support/port.h"
#include "support/process.h"
#include "support/raw-http.h"
#include "support/raw-peer.h"
#include "support/standin-store.h"
#include "support/tool-run.h"

/* The smallest machine of the deployments. */
#define MACHINE_MEMORY_KB (160 * 1024)
#define MACHINE_DESCRIPTORS 4100
/* Below the limit on the answers of replicas, 8 MB. */
#define LONG_ANSWER_BYTES (7500 * 1000)
#define LONG_BODY_BYTES (4 * 1000 * 1000)

struct fixture {
	struct test_store store;
	struct test_server replica;
	struct test_server held; /* a replica that never answers */
	char *long_answer;
	int long_answers_begun;
	int long_answers_ended;
	char *caller_address;
	char *ready_address;
	char *start_file;
	struct test_process *gateway;
	int max_descriptors;
	struct test_crowd crowd;
};

/* A long answer that is sent as the gateway reads it. */
struct long_answer {
	GSource *writable;
	gsize sent;
};

static gboolean send_more(GSocket *socket, GIOCondition condition,
			  gpointer data)
{
	struct test_connection *connection = data;
	struct fixture *fixture = connection->server->data;
	struct long_answer *answer = connection->user;
	gssize n = g_socket_send(socket, fixture->long_answer + answer->sent,
				 strlen(fixture->long_answer) - answer->sent,
				 NULL, NULL);

	if (n > 0)
		answer->sent += (gsize)n;
	if (fixture->long_answer[answer->sent])
		return G_SOURCE_CONTINUE;
	test_close_connection(connection);
	return G_SOURCE_REMOVE;
}

static void handle_run(struct test_connection *connection)
{
	struct fixture *fixture = connection->server->data;
	struct long_answer *answer;

	if (!g_str_has_prefix(connection->path, "/long/")) {
		test_reply_to(connection, 200, "Response-Seal: s\r\n", "short",
			      false);
		return;
	}
	fixture->long_answers_begun++;
	answer = g_new0(struct long_answer, 1);
	answer->writable =
		g_socket_create_source(connection->socket, G_IO_OUT, NULL);
	g_source_set_callback(answer->writable, G_SOURCE_FUNC(send_more),
			      connection, NULL);
	g_source_attach(answer->writable, NULL);
	connection->user = answer;
}

static void hold_run(struct test_connection *connection)
{
}

static void end_long_answer(struct test_connection *connection)
{
	struct fixture *fixture = connection->server->data;
	struct long_answer *answer = connection->user;

	if (!answer)
		return;
	g_source_destroy(answer->writable);
	g_source_unref(answer->writable);
	fixture->long_answers_ended++;
}

/* Start a replica of a service, which is the only one in its zone. */
static void start_replica(struct fixture *fixture, struct test_server *server,
			  const char *service)
{
	char *address;
	struct test_replica_entry entry = {
		.id = service,
		.service = service,
		.zone = service,
		.slots = TEST_MAX_CROWD * 2,
	};

	server->data = fixture;
	test_set_listening(server, true);
	address = g_strdup_printf("127.0.0.1:%u", server->port);
	entry.address = address;
	test_store_put_replica(&fixture->store, &entry);
	g_free(address);
}

static void fill_store(struct fixture *fixture)
{
	test_store_put(
		&fixture->store, "op/config",
		"{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"prefix\":\"/\",\"routeType\":\"idempotent\","
		"\"timeoutMs\":5000,\"maxAttempts\":1,\"service\":\"s\"},"
		"{\"name\":\"w\",\"host\":\"h\",\"prefix\":\"/held/\","
		"\"routeType\":\"idempotent\",\"timeoutMs\":5000,"
		"\"maxAttempts\":1,\"service\":\"held\"}],"
		"\"services\":[{\"name\":\"s\",\"maxConnections\":400},"
		"{\"name\":\"held\",\"maxConnections\":400}],"
		"\"limits\":{\"maxHeaderBytes\":16384,"
		"\"maxBodyBytes\":5000000,\"headerTimeoutMs\":60000,"
		"\"idleTimeoutMs\":60000}}");
	fixture->replica.request = handle_run;
	fixture->replica.closing = end_long_answer;
	start_replica(fixture, &fixture->replica, "s");
	fixture->held.request = hold_run;
	start_replica(fixture, &fixture->held, "held");
}

/*
 * Start a gateway that may open `max_descriptors`; `settings` are further lines
 * of its start file.
 */
static struct fixture *start_fixture(const char *settings, int max_descriptors)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct rlimit own;
	struct rlimit limit;
	char *text;

	test_open_store(&fixture->store, 1);
	fill_store(fixture);
	fixture->long_answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nConnection: close\r\n"
		"Content-Length: %d\r\n\r\n%*d",
		LONG_ANSWER_BYTES, LONG_ANSWER_BYTES, 0);
	fixture->caller_address = test_reserve_address();
	fixture->ready_address = test_reserve_address();
	text = g_strdup_printf(
		"instance: gw-1\nzone: a\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\nstore_address: \"127.0.0.1:%u\"\n"
		"log: {level: warning}\n%s",
		fixture->caller_address, fixture->ready_address,
		fixture->store.server.port, settings);
	fixture->start_file = test_write_temp_file(text);
	g_free(text);
	getrlimit(RLIMIT_NOFILE, &own);
	limit = own;
	limit.rlim_cur = (rlim_t)max_descriptors;
	fixture->max_descriptors = max_descriptors;
	setrlimit(RLIMIT_NOFILE, &limit);
	test_limit_sanitizer_memory();
	fixture->gateway = test_start_gateway(fixture->start_file);
	setrlimit(RLIMIT_NOFILE, &own);
	while (!test_store_has_current_watch(&fixture->store))
		raw_run_for(1000);
	return fixture;
}

static void stop_fixture(struct fixture *fixture)
{
	test_drop_crowd(&fixture->crowd);
	test_signal_process(fixture->gateway, SIGTERM);
	assert_int_equal(test_wait_process(fixture->gateway), 0);
	test_drop_process(fixture->gateway);
	test_close_store(&fixture->store);
	test_destroy_server(&fixture->replica);
	test_destroy_server(&fixture->held);
	test_remove_temp_file(fixture->start_file);
	g_free(fixture->long_answer);
	g_free(fixture->caller_address);
	g_free(fixture->ready_address);
	g_free(fixture);
}

/* One ordinary request is answered, and the machine's limits have held. */
static void check_gateway(struct fixture *fixture)
{
	struct raw_peer *caller = raw_connect(fixture->caller_address);

	raw_send(caller, "GET /a HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 8000\r\n"
			 "\r\n");
	raw_expect(caller, "\r\n\r\nshort");
	raw_drop(caller);
	test_assert_process_limits(fixture->gateway->pid, MACHINE_MEMORY_KB,
				   fixture->max_descriptors);
}

/*
 * Wait until the answers that the replica has begun have ended, and it begins no
 * more for a second. The gateway may reject some of the requests.
 */
static void wait_for_long_answers(struct fixture *fixture, bool read_slowly)
{
	int64_t begun_us = g_get_monotonic_time();
	int64_t deadline_us = begun_us + TEST_CROWD_TIMEOUT_US;
	int n_begun = 0;

	for (int i = 0; g_get_monotonic_time() < begun_us + G_USEC_PER_SEC ||
			!n_begun || fixture->long_answers_ended < n_begun;
	     i++) {
		struct raw_peer *peer =
			fixture->crowd.peers[i % fixture->crowd.n];

		assert_true(g_get_monotonic_time() < deadline_us);
		if (read_slowly)
			g_free(raw_read_available(peer));
		else
			raw_run_for(1000);
		if (fixture->long_answers_begun > n_begun)
			begun_us = g_get_monotonic_time();
		n_begun = fixture->long_answers_begun;
	}
}

#define GET_LONG "GET /long/a HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 4000\r\n\r\n"

/* Guards against memory for answers that many clients request and do not read. */
static void test_long_answers_unread(void **state)
{
	struct fixture *fixture = start_fixture("", MACHINE_DESCRIPTORS);

	test_add_crowd(&fixture->crowd, 60, fixture->caller_address, GET_LONG);
	wait_for_long_answers(fixture, false);
	check_gateway(fixture);
	stop_fixture(fixture);
}

/* Guards against memory for answers that many clients read a little at a time. */
static void test_long_answers_read_slowly(void **state)
{
	struct fixture *fixture = start_fixture("", MACHINE_DESCRIPTORS);

	test_add_crowd(&fixture->crowd, 60, fixture->caller_address, GET_LONG);
	wait_for_long_answers(fixture, true);
	check_gateway(fixture);
	stop_fixture(fixture);
}

/* Return a request whose body lacks its last `n_missing` bytes. */
static char *format_long_request(const char *path, int n_missing)
{
	return g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n"
			       "Content-Length: %d\r\n\r\n%*d",
			       path, LONG_BODY_BYTES,
			       LONG_BODY_BYTES - n_missing, 0);
}

/* Guards against memory for many request bodies that never become complete. */
static void test_bodies_without_last_byte(void **state)
{
	struct fixture *fixture = start_fixture("", MACHINE_DESCRIPTORS);
	char *text = format_long_request("/a", 1);

	test_add_crowd(&fixture->crowd, 60, fixture->caller_address, text);
	check_gateway(fixture);
	g_free(text);
	stop_fixture(fixture);
}

/* Guards against memory for long bodies of requests that wait for a replica. */
static void test_bodies_of_waiting_requests(void **state)
{
	struct fixture *fixture = start_fixture("", MACHINE_DESCRIPTORS);
	char *text = format_long_request("/held/a", 0);

	test_add_crowd(&fixture->crowd, 60, fixture->caller_address, text);
	check_gateway(fixture);
	g_free(text);
	stop_fixture(fixture);
}

/* Read a response with a long answer. */
static void expect_long_answer(struct raw_peer *caller)
{
	int64_t deadline_us = g_get_monotonic_time() + TEST_CROWD_TIMEOUT_US;
	char bytes[65536];
	size_t left = 0;
	ssize_t n;

	while ((n = recv(caller->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) < 0) {
		assert_true(g_get_monotonic_time() < deadline_us);
		raw_run_for(1000);
	}
	assert_true(g_str_has_prefix(bytes, "HTTP/1.1 200 "));
	left = (size_t)(g_strstr_len(bytes, n, "\r\n\r\n") + 4 - bytes) +
	       LONG_ANSWER_BYTES - (size_t)n;
	while (left) {
		n = recv(caller->fd, bytes, MIN(left, sizeof(bytes)),
			 MSG_DONTWAIT);
		assert_true(n && g_get_monotonic_time() < deadline_us);
		if (n < 0)
			raw_run_for(1000);
		else
			left -= (size_t)n;
	}
}

/*
 * Guards against the rejection of a single request whose body, or answer, is
 * longer than the memory for all of them.
 */
static void test_single_long_messages(void **state)
{
	struct fixture *fixture =
		start_fixture("memory_mb: 16\n", MACHINE_DESCRIPTORS);
	char *text = format_long_request("/long/a", 0);

	test_add_crowd(&fixture->crowd, 1, fixture->caller_address, text);
	expect_long_answer(fixture->crowd.peers[0]);
	check_gateway(fixture);
	g_free(text);
	stop_fixture(fixture);
}

/* Guards against memory that idle connections keep after long requests. */
static void test_idle_after_long_bodies(void **state)
{
	struct fixture *fixture = start_fixture("", MACHINE_DESCRIPTORS);
	char *text = format_long_request("/a", 0);

	for (int i = 1; i <= 60; i++) {
		test_add_crowd(&fixture->crowd, 1, fixture->caller_address,
			       text);
		raw_expect(fixture->crowd.peers[i - 1], "\r\n\r\nshort");
	}
	check_gateway(fixture);
	g_free(text);
	stop_fixture(fixture);
}

/* Guards against silent clients that hold all connections. */
static void test_silent_connections(void **state)
{
	struct fixture *fixture =
		start_fixture("max_connections: 20\n", MACHINE_DESCRIPTORS);

	test_add_crowd(&fixture->crowd, 40, fixture->caller_address, "");
	check_gateway(fixture);
	stop_fixture(fixture);
}

/* Guards against clients that hold all connections by parts of a request. */
static void test_incomplete_headers(void **state)
{
	struct fixture *fixture =
		start_fixture("max_connections: 20\n", MACHINE_DESCRIPTORS);

	test_add_crowd(&fixture->crowd, 40, fixture->caller_address,
		       "GET /a HTTP/1.1\r\n");
	check_gateway(fixture);
	stop_fixture(fixture);
}

/* Guards against silent clients that hold all file descriptors. */
static void test_silent_connections_hold_descriptors(void **state)
{
	struct fixture *fixture = start_fixture("", 100);

	test_add_crowd(&fixture->crowd, 130, fixture->caller_address, "");
	check_gateway(fixture);
	stop_fixture(fixture);
}

/* A request to one of the gateway's own addresses, which few clients use. */
static void check_beside_silent_connections(struct fixture *fixture,
					    const char *address,
					    const char *request)
{
	struct raw_peer *client;

	test_add_crowd(&fixture->crowd, 100, address, "");
	client = raw_connect(address);
	raw_send(client, request);
	raw_expect(client, "HTTP/1.1 200 ");
	raw_drop(client);
	check_gateway(fixture);
	stop_fixture(fixture);
}

/* Guards against silent clients that block the platform's readiness checks. */
static void test_silent_connections_to_ready_address(void **state)
{
	struct fixture *fixture = start_fixture("", MACHINE_DESCRIPTORS);

	check_beside_silent_connections(
		fixture, fixture->ready_address,
		"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n");
}

/* Guards against silent clients that block the reading of metrics. */
static void test_silent_connections_to_metrics_address(void **state)
{
	char *address = test_reserve_address();
	char *settings = g_strdup_printf("metrics_address: \"%s\"\n", address);

	check_beside_silent_connections(
		start_fixture(settings, MACHINE_DESCRIPTORS), address,
		"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
	g_free(settings);
	g_free(address);
}

/* The first argument is the name of a single test to run. */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_answers_unread),
		cmocka_unit_test(test_long_answers_read_slowly),
		cmocka_unit_test(test_bodies_without_last_byte),
		cmocka_unit_test(test_bodies_of_waiting_requests),
		cmocka_unit_test(test_single_long_messages),
		cmocka_unit_test(test_idle_after_long_bodies),
		cmocka_unit_test(test_silent_connections),
		cmocka_unit_test(test_incomplete_headers),
		cmocka_unit_test(test_silent_connections_hold_descriptors),
		cmocka_unit_test(test_silent_connections_to_ready_address),
		cmocka_unit_test(test_silent_connections_to_metrics_address),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
