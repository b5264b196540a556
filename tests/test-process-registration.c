/*
 * test-process-registration.c - Registration of several gateway processes of
 * one zone in one store.
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
#define ENTRY_KEY_FORMAT "ragwort/instances/gw-%d"

struct fixture {
	struct test_store store;
	char *start_files[N_GATEWAYS];
	struct test_process *gateways[N_GATEWAYS];
};

/* The first instance has a greater strength than the others. */
static void start_gateway(struct fixture *fixture, int i)
{
	char *callers = test_reserve_address();
	char *ready = test_reserve_address();
	char *peers = test_reserve_address();
	char *text = g_strdup_printf(
		"instance: gw-%d\nzone: a\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\npeer_address: \"%s\"\n"
		"store_address: \"127.0.0.1:%u\"\nstrength: %s\n"
		"stop_timeout_s: 6\n",
		i, callers, ready, peers, fixture->store.server.port,
		i ? "0.25" : "1");

	fixture->start_files[i] = test_write_temp_file(text);
	fixture->gateways[i] = test_start_gateway(fixture->start_files[i]);
	g_free(text);
	g_free(peers);
	g_free(ready);
	g_free(callers);
}

static bool has_entry(const struct fixture *fixture, int i)
{
	char *key = g_strdup_printf(ENTRY_KEY_FORMAT, i);
	bool has = g_hash_table_contains(fixture->store.items, key);

	g_free(key);
	return has;
}

static void wait_for_entry(struct fixture *fixture, int i, bool expected)
{
	while (has_entry(fixture, i) != expected)
		raw_run_for(1000);
}

static int set_up(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);

	test_open_store(&fixture->store, 1);
	test_store_put(&fixture->store, "op/config",
		       "{\"version\":1,\"routes\":[],\"services\":[],"
		       "\"limits\":{\"maxHeaderBytes\":16384,"
		       "\"maxBodyBytes\":9999,\"headerTimeoutMs\":3000,"
		       "\"idleTimeoutMs\":15000}}");
	start_gateway(fixture, 0);
	wait_for_entry(fixture, 0, true);
	for (int i = 1; i < N_GATEWAYS; i++)
		start_gateway(fixture, i);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *fixture = *state;

	for (int i = 0; i < N_GATEWAYS; i++) {
		test_drop_process(fixture->gateways[i]);
		test_remove_temp_file(fixture->start_files[i]);
	}
	test_close_store(&fixture->store);
	g_free(fixture);
	return 0;
}

/*
 * Guards against one lease per instance, which hundreds of instances would
 * have to renew.  In a small zone one instance registers the others under its
 * lease.  The entry of a stopped instance must be removed at once, although
 * the lease continues.
 */
static void test_one_instance_registers_the_others(void **state)
{
	struct fixture *fixture = *state;

	for (int i = 1; i < N_GATEWAYS; i++)
		wait_for_entry(fixture, i, true);
	assert_int_equal(g_hash_table_size(fixture->store.leases), 1);
	test_signal_process(fixture->gateways[2], SIGTERM);
	wait_for_entry(fixture, 2, false);
	assert_true(has_entry(fixture, 1));
	assert_int_equal(g_hash_table_size(fixture->store.leases), 1);
}

/*
 * Guards against a zone without entries after the registering instance is
 * killed.  Its lease expires and with it all entries; the next instance of the
 * zone must take over and register the rest.
 */
static void test_registering_instance_is_killed(void **state)
{
	struct fixture *fixture = *state;

	for (int i = 1; i < N_GATEWAYS; i++)
		wait_for_entry(fixture, i, true);
	test_signal_process(fixture->gateways[0], SIGKILL);
	wait_for_entry(fixture, 0, false);
	for (int i = 1; i < N_GATEWAYS; i++)
		wait_for_entry(fixture, i, true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_one_instance_registers_the_others, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_registering_instance_is_killed, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
