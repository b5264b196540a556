/*
 * test-process-daemon-clients.c - ragwortd as a process, with crowds of clients
 * that hold connections or send requests slowly; see test-process-clients.c.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/crowd.h"
#include "support/deployment.h"

#define MACHINE_MEMORY_KB (160 * 1024)
#define MACHINE_DESCRIPTORS 4100
#define LONG_BODY_BYTES (4 * 1000 * 1000)

struct fixture {
	struct test_deployment *d;
	struct test_crowd crowd;
	char *address;
};

static struct fixture *start_fixture(const char *settings)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct test_deployment_options options = {
		.n_shards = 1,
		.replicas_per_shard = 1,
		.n_zones = 1,
		.n_instances = 1,
		.start_file_lines = { settings },
	};

	test_limit_sanitizer_memory();
	fixture->d = test_start_deployment(&options);
	fixture->address =
		g_strdup_printf("127.0.0.1:%u", fixture->d->caller_ports[0]);
	return fixture;
}

/* An ordinary search is answered, and the machine's limits have held. */
static void check_and_stop(struct fixture *fixture)
{
	struct test_http_reply *reply = test_search(fixture->d, 0);

	assert_int_equal(test_check_search(fixture->d, reply), 0);
	test_drop_reply(reply);
	test_assert_process_limits(fixture->d->instances[0]->pid,
				   MACHINE_MEMORY_KB, MACHINE_DESCRIPTORS);
	test_drop_crowd(&fixture->crowd);
	test_signal_process(fixture->d->instances[0], SIGTERM);
	assert_int_equal(test_wait_process(fixture->d->instances[0]), 0);
	test_drop_deployment(fixture->d);
	g_free(fixture->address);
	g_free(fixture);
}

/* Guards against memory for many request bodies that never become complete. */
static void test_bodies_without_last_byte(void **state)
{
	struct fixture *fixture = start_fixture("max_body_bytes: 5000000\n"
						"caller_idle_ms: 60000\n");
	char *text = g_strdup_printf("POST " TEST_SERVICE "/search HTTP/1.1\r\n"
				     "Host: h\r\nContent-Length: %d\r\n\r\n"
				     "%*d",
				     LONG_BODY_BYTES, LONG_BODY_BYTES - 1, 0);

	test_add_crowd(&fixture->crowd, 60, fixture->address, text);
	g_free(text);
	check_and_stop(fixture);
}

/* Guards against silent clients that hold all connections. */
static void test_silent_connections(void **state)
{
	struct fixture *fixture = start_fixture("caller_max_connections: 20\n"
						"caller_idle_ms: 60000\n");

	test_add_crowd(&fixture->crowd, 120, fixture->address, "");
	check_and_stop(fixture);
}

/* Guards against clients that hold all connections by parts of a request. */
static void test_incomplete_headers(void **state)
{
	struct fixture *fixture = start_fixture("caller_max_connections: 20\n"
						"caller_idle_ms: 60000\n");

	test_add_crowd(&fixture->crowd, 120, fixture->address,
		       "GET /healthz HTTP/1.1\r\n");
	check_and_stop(fixture);
}

/* The first argument is the name of a single test to run. */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies_without_last_byte),
		cmocka_unit_test(test_silent_connections),
		cmocka_unit_test(test_incomplete_headers),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
