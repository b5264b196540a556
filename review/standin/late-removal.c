/*
 * late-removal.c - a replica leaves without reporting it, and the gateway that
 * its zone's other gateway reads changes from is frozen just then.
 *
 * The replica's entry is removed and it goes on serving for drainMs and a
 * little longer, then exits.  Callers send reservations to the undisturbed
 * gateway all the while; none may reach the replica later than drainMs after
 * the store has accepted the removal.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define N_GATEWAYS 6
#define N_CALLERS 12
#define WATCHER 1 /* first gateway of its zone */
#define READER 4  /* the other gateway of that zone */
#define SERVICE "riordino"
#define WORK_MS 120
#define DRAIN_MS 3000
/* How much longer than drainMs the replica serves. */
#define LONGER_MS 200
/* From the change of the configuration to the removal, and to the freeze. */
#define REMOVAL_AFTER_MS 120
#define FREEZE_AFTER_MS 220
#define FREEZE_MS 3000
#define N_ROUNDS 4

struct test;

struct caller {
	struct test *test;
	struct fleet_caller *connection;
	char id[32];
};

struct test {
	struct fleet *fleet;
	struct caller callers[N_CALLERS];
	struct fleet_replica *leaving;
	int64_t removed_ms;
	bool stopping;
	uint32_t n_sent;
	uint32_t n_waiting;
	uint32_t n_late;  /* runs later than drainMs after the removal */
	uint32_t n_lost;  /* of the late ones, answered with 502 */
	GHashTable *late; /* ids of these requests */
};

/* A request that a replica works on. */
struct work {
	struct fleet_replica *replica;
	struct test_connection *connection; /* NULL: closed */
};

static gboolean finish_work(gpointer data)
{
	struct work *work = data;

	if (work->connection) {
		work->connection->user = NULL;
		fleet_answer(work->replica, work->connection, 200, "reserved");
	}
	g_free(work);
	return G_SOURCE_REMOVE;
}

static void on_closing(struct test_connection *connection)
{
	struct work *work = connection->user;

	if (work)
		work->connection = NULL;
	connection->user = NULL;
}

static void run_request(struct fleet_replica *replica,
			struct test_connection *connection)
{
	struct test *test = replica->fleet->data;
	const char *id = test_request_header(connection, "request-id");
	struct work *work = g_new0(struct work, 1);
	int64_t after_ms = fleet_now_ms(test->fleet) - test->removed_ms;

	work->replica = replica;
	work->connection = connection;
	connection->user = work;
	replica->server.closing = on_closing;
	g_timeout_add(WORK_MS, finish_work, work);
	if (replica != test->leaving || !test->removed_ms)
		return;
	fleet_note(test->fleet, "%s is run by %s, %d ms after its removal", id,
		   replica->id, (int)after_ms);
	if (after_ms <= DRAIN_MS)
		return;
	test->n_late++;
	g_hash_table_add(test->late, g_strdup(id));
	fleet_note(test->fleet,
		   "DRAIN broken: a request reached a replica %d ms after the "
		   "store acknowledged that it is gone (bound %d ms)",
		   (int)after_ms, DRAIN_MS);
}

static void put_config(struct test *test, int version)
{
	char *config = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"reserve\","
		"\"host\":\"desk.example\",\"prefix\":\"/reserve/\","
		"\"routeType\":\"non_idempotent\",\"timeoutMs\":%d,"
		"\"targetLatencyMs\":800,\"priority\":2,\"maxAttempts\":2,"
		"\"service\":\"" SERVICE "\"}],\"services\":[{\"name\":"
		"\"" SERVICE "\",\"healthPath\":\"/health\","
		"\"maxConnections\":34}],\"limits\":{"
		"\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		version, 5000 - version);

	test_store_put(&test->fleet->store, "op/config", config);
	fleet_note(test->fleet, "op/config acknowledged: version %d", version);
	g_free(config);
}

static void send_next(struct caller *caller);

static void on_answer(void *data, const struct fleet_answer *answer)
{
	struct caller *caller = data;
	struct test *test = caller->test;
	bool late = g_hash_table_contains(test->late, caller->id);

	test->n_waiting--;
	if (late || (answer->status != 200 && answer->status != 503))
		fleet_note(test->fleet, "%s is answered %d", caller->id,
			   answer->status);
	test->n_lost += late && answer->status != 200;
	if (!answer->status) {
		fleet_close_caller(caller->connection);
		caller->connection = fleet_open_caller(test->fleet, READER);
	}
	send_next(caller);
}

static gboolean send_now(gpointer data)
{
	struct caller *caller = data;
	struct test *test = caller->test;
	struct fleet_request request = {
		.method = "POST",
		.path = "/reserve/pallet",
		.id = caller->id,
		.deadline_ms = 5000,
	};

	if (test->stopping)
		return G_SOURCE_REMOVE;
	g_snprintf(caller->id, sizeof(caller->id), "%016x", ++test->n_sent);
	test->n_waiting++;
	fleet_post(caller->connection, &request, on_answer, caller);
	return G_SOURCE_REMOVE;
}

static void send_next(struct caller *caller)
{
	g_timeout_add(20, send_now, caller);
}

static void start_callers(struct test *test)
{
	test->stopping = false;
	for (uint32_t i = 0; i < N_CALLERS; i++) {
		struct caller *caller = &test->callers[i];

		caller->test = test;
		caller->connection = fleet_open_caller(test->fleet, READER);
		send_next(caller);
	}
}

static void stop_callers(struct test *test)
{
	test->stopping = true;
	fleet_run_for(test->fleet, 200);
	while (test->n_waiting)
		fleet_run_for(test->fleet, 50);
	for (uint32_t i = 0; i < N_CALLERS; i++)
		fleet_close_caller(test->callers[i].connection);
}

/* The leaving replica exits; its work ends with it. */
static void exit_replica(struct test *test)
{
	fleet_note(test->fleet, "%s exits", test->leaving->id);
	test_stop_server(&test->leaving->server);
	test->leaving = NULL;
	test->removed_ms = 0;
}

static void play_round(struct test *test, int round, bool freezes)
{
	struct fleet *fleet = test->fleet;

	start_callers(test);
	fleet_run_for(fleet, 500);
	put_config(test, 10 * (round + 1));
	fleet_run_for(fleet, REMOVAL_AFTER_MS);
	fleet_remove_entry(test->leaving);
	test->removed_ms = fleet_now_ms(fleet);
	fleet_note(fleet, "acknowledged: %s is gone", test->leaving->id);
	fleet_run_for(fleet, FREEZE_AFTER_MS - REMOVAL_AFTER_MS);
	if (freezes) {
		fleet_signal(fleet, WATCHER, SIGSTOP);
		fleet_note(fleet, "%s is frozen",
			   fleet->gateways[WATCHER].name);
	}
	fleet_run_for(fleet, FREEZE_MS);
	if (freezes) {
		fleet_signal(fleet, WATCHER, SIGCONT);
		fleet_note(fleet, "%s wakes", fleet->gateways[WATCHER].name);
	}
	fleet_run_for(fleet, DRAIN_MS + LONGER_MS - FREEZE_MS -
				     (FREEZE_AFTER_MS - REMOVAL_AFTER_MS));
	exit_replica(test);
	stop_callers(test);
	fleet_run_for(fleet, FLEET_STABLE_WINDOW_MS + 500);
}

int main(int argc, char **argv)
{
	const char *trouble = g_getenv("TROUBLE");
	bool freezes = !trouble || strcmp(trouble, "0") != 0;
	struct test test = { 0 };

	if (argc != 2)
		return 2;
	test.fleet = fleet_open(argv[1]);
	test.fleet->run = run_request;
	test.fleet->data = &test;
	test.late =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet_add_replica(test.fleet, SERVICE, 0);
	put_config(&test, 3);
	if (!fleet_start_gateways(test.fleet, N_GATEWAYS)) {
		fleet_note(test.fleet, "the gateways are not ready");
		fleet_close(test.fleet);
		return 2;
	}
	for (int i = 0; i < N_ROUNDS; i++) {
		test.leaving = fleet_add_replica(test.fleet, SERVICE, 1);
		fleet_run_for(test.fleet, FLEET_STABLE_WINDOW_MS + 500);
		play_round(&test, i, freezes);
	}
	fleet_note(test.fleet,
		   "%u requests sent; %u were run later than drainMs after the "
		   "removal, and %u of these were lost",
		   test.n_sent, test.n_late, test.n_lost);
	fleet_note(test.fleet,
		   test.n_late ? "the rule was broken" : "the rule held");
	fleet_close(test.fleet);
	g_hash_table_unref(test.late);
	return test.n_late ? 1 : 0;
}
