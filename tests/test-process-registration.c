/*
 * test-process-registration.c - several ragwort-gateway processes of one zone on one
 * store: who watches, and who enters whom.
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
#define ENTRY "ragwort/instances/gw-%d"

struct world {
	struct test_store store;
	char *start_files[GATEWAYS];
	struct test_process *gateways[GATEWAYS];
};

/* The first is stronger than the others. */
static void start_gateway(struct world *world, int i)
{
	char *callers = test_reserve_address();
	char *ready = test_reserve_address();
	char *peers = test_reserve_address();
	char *text = g_strdup_printf(
		"instance: gw-%d\nzone: a\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\npeer_address: \"%s\"\n"
		"store_address: \"127.0.0.1:%u\"\nstrength: %s\n"
		"stop_timeout_s: 6\n",
		i, callers, ready, peers, world->store.server.port,
		i ? "0.25" : "1");

	world->start_files[i] = test_write_temp_file(text);
	world->gateways[i] = test_start_gateway(world->start_files[i]);
	g_free(text);
	g_free(peers);
	g_free(ready);
	g_free(callers);
}

static bool has_entry(const struct world *world, int i)
{
	char *key = g_strdup_printf(ENTRY, i);
	bool has = g_hash_table_contains(world->store.items, key);

	g_free(key);
	return has;
}

static void wait_for_entry(struct world *world, int i, bool there)
{
	while (has_entry(world, i) != there)
		raw_run_for(1000);
}

static int set_up(void **state)
{
	struct world *world = g_new0(struct world, 1);

	test_open_store(&world->store, 1);
	test_store_put(&world->store, "op/config",
		       "{\"version\":1,\"routes\":[],\"services\":[],"
		       "\"limits\":{\"maxHeaderBytes\":16384,"
		       "\"maxBodyBytes\":9999,\"headerTimeoutMs\":3000,"
		       "\"idleTimeoutMs\":15000}}");
	start_gateway(world, 0);
	wait_for_entry(world, 0, true);
	for (int i = 1; i < GATEWAYS; i++)
		start_gateway(world, i);
	*state = world;
	return 0;
}

static int tear_down(void **state)
{
	struct world *world = *state;

	for (int i = 0; i < GATEWAYS; i++) {
		test_drop_process(world->gateways[i]);
		test_remove_temp_file(world->start_files[i]);
	}
	test_close_store(&world->store);
	g_free(world);
	return 0;
}

/*
 * Story: hundreds of instances each held a lease of their own and renewed it.
 * One of a small zone enters the others under its lease; one that is stopped
 * is gone at once, though the lease stands.
 */
static void test_one_enters_the_others(void **state)
{
	struct world *world = *state;

	for (int i = 1; i < GATEWAYS; i++)
		wait_for_entry(world, i, true);
	assert_int_equal(g_hash_table_size(world->store.leases), 1);
	test_signal_process(world->gateways[2], SIGTERM);
	wait_for_entry(world, 2, false);
	assert_true(has_entry(world, 1));
	assert_int_equal(g_hash_table_size(world->store.leases), 1);
}

/*
 * Story: the one that enters the others is killed.  Its lease ends, and with
 * it all entries; the next of the zone takes its place and enters the rest.
 */
static void test_the_one_is_killed(void **state)
{
	struct world *world = *state;

	for (int i = 1; i < GATEWAYS; i++)
		wait_for_entry(world, i, true);
	test_signal_process(world->gateways[0], SIGKILL);
	wait_for_entry(world, 0, false);
	for (int i = 1; i < GATEWAYS; i++)
		wait_for_entry(world, i, true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_one_enters_the_others,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_the_one_is_killed, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
