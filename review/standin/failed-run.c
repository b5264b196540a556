/*
 * failed-run.c - replicas fail part of the requests that they work on, and
 * answer 503 without saying that the request was not executed.
 *
 * Callers send reservations, which may run once only.  A 503 promises them that
 * the reservation has not run and never will, so they send it again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define N_GATEWAYS 6
#define N_RESERVATIONS 300
#define SERVICE "riordino"
#define WORK_MS 5
/* Of the requests that a replica works on, in percent. */
#define FAILED_PERCENT 40
/* Of the failed ones, in percent: answered 503, the others 500. */
#define UNAVAILABLE_PERCENT 50
#define MAX_TRIES 2

struct test {
	struct fleet *fleet;
	bool fails;
	uint32_t n_runs; /* of the request sent last */
	uint32_t n_refused_but_run;
	uint32_t n_applied_twice;
	uint32_t n_rejected; /* 503, and not run */
};

struct work {
	struct fleet_replica *replica;
	struct test_connection *connection; /* NULL: closed */
};

static gboolean finish_work(gpointer data)
{
	struct work *work = data;
	struct test *test = work->replica->fleet->data;
	int status = 200;

	if (test->fails && g_random_int_range(0, 100) < FAILED_PERCENT)
		status = g_random_int_range(0, 100) < UNAVAILABLE_PERCENT ?
				 503 :
				 500;
	if (work->connection) {
		work->connection->user = NULL;
		fleet_note(test->fleet, "%s ends its run and answers %d",
			   work->replica->id, status);
		fleet_answer(work->replica, work->connection, status, "");
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
	struct work *work = g_new0(struct work, 1);

	test->n_runs++;
	fleet_note(test->fleet, "%s runs %s", replica->id,
		   test_request_header(connection, "request-id"));
	work->replica = replica;
	work->connection = connection;
	connection->user = work;
	replica->server.closing = on_closing;
	g_timeout_add(WORK_MS, finish_work, work);
}

static void put_config(struct test *test)
{
	test_store_put(
		&test->fleet->store, "op/config",
		"{\"version\":3,\"routes\":[{\"name\":\"reserve\","
		"\"host\":\"desk.example\",\"prefix\":\"/reserve/\","
		"\"routeType\":\"non_idempotent\",\"timeoutMs\":5000,"
		"\"targetLatencyMs\":800,\"priority\":2,\"maxAttempts\":2,"
		"\"service\":\"" SERVICE "\"}],\"services\":[{\"name\":"
		"\"" SERVICE "\",\"healthPath\":\"/health\","
		"\"maxConnections\":34}],\"limits\":{"
		"\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
	fleet_note(test->fleet, "op/config acknowledged: version 3");
}

static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/*
 * Send one attempt, on a new connection as callers do.  Returns whether it was
 * answered with the promise that it has not run.
 */
static bool try_once(struct test *test, uint32_t reservation, uint32_t attempt,
		     uint32_t *runs)
{
	uint32_t gateway = (reservation + attempt) % N_GATEWAYS;
	struct fleet_caller *caller = fleet_open_caller(test->fleet, gateway);
	char *path = g_strdup_printf("/reserve/%u", reservation);
	char *id = g_strdup_printf("%08x%08x", reservation, attempt);
	struct fleet_request request = {
		.method = "POST",
		.path = path,
		.id = id,
		.deadline_ms = 5000,
	};
	struct fleet_answer answer;
	bool refused;

	test->n_runs = 0;
	answer = fleet_send(caller, &request);
	refused = promises_not_run(answer.status);
	*runs += test->n_runs;
	fleet_note(test->fleet,
		   "request %s %s to %s: answered %d, run %u times", id, path,
		   test->fleet->gateways[gateway].name, answer.status,
		   test->n_runs);
	if (refused && test->n_runs) {
		test->n_refused_but_run++;
		fleet_note(test->fleet,
			   "REFUSED broken: %s is answered %d and has run", id,
			   answer.status);
	}
	test->n_rejected += refused && !test->n_runs;
	fleet_clear_answer(&answer);
	fleet_close_caller(caller);
	g_free(path);
	g_free(id);
	return refused;
}

static void reserve(struct test *test, uint32_t reservation)
{
	uint32_t runs = 0;

	for (uint32_t i = 0; i < MAX_TRIES; i++) {
		if (!try_once(test, reservation, i, &runs))
			break;
	}
	if (runs < 2)
		return;
	test->n_applied_twice++;
	fleet_note(test->fleet, "reservation %u was run %u times", reservation,
		   runs);
}

int main(int argc, char **argv)
{
	const char *trouble = g_getenv("TROUBLE");
	struct test test = { 0 };

	if (argc != 2)
		return 2;
	test.fails = !trouble || strcmp(trouble, "0") != 0;
	test.fleet = fleet_open(argv[1]);
	test.fleet->run = run_request;
	test.fleet->data = &test;
	for (uint32_t i = 0; i < 6; i++)
		fleet_add_replica(test.fleet, SERVICE, i % FLEET_ZONES);
	put_config(&test);
	if (!fleet_start_gateways(test.fleet, N_GATEWAYS)) {
		fleet_note(test.fleet, "the gateways are not ready");
		fleet_close(test.fleet);
		return 2;
	}
	fleet_run_for(test.fleet, FLEET_STABLE_WINDOW_MS + 1000);
	for (uint32_t i = 0; i < N_RESERVATIONS; i++)
		reserve(&test, i);
	fleet_note(test.fleet,
		   "%u reservations: %u requests were answered with a promise "
		   "and had run, %u had not; %u reservations ran twice, since "
		   "callers kept to the promise",
		   N_RESERVATIONS, test.n_refused_but_run, test.n_rejected,
		   test.n_applied_twice);
	fleet_note(test.fleet, test.n_refused_but_run ? "the rule was broken" :
							"the rule held");
	fleet_close(test.fleet);
	return test.n_refused_but_run ? 1 : 0;
}
