/*
 * split-weights.c - the weights of two split routes change; afterwards it is
 * counted which service runs the requests.
 *
 * The operators move traffic from a service to its successor.  At first they
 * write the weights in thousandths, at the end as plain proportions.  More than
 * three seconds after the store has accepted the last version, each request has
 * to be handled as that version says.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define N_GATEWAYS 6
#define REQUESTS_BEFORE 60 /* to each gateway on each route */
#define REQUESTS_AFTER 50
#define N_ROUTES 2
/* Of RULES.md: the least number of requests, and the largest difference. */
#define MIN_REQUESTS 200
#define MAX_SHARE_OFF 0.2

struct route {
	const char *name;
	const char *prefix;
	double old_weights
		[2]; /* of the service to leave, and of its successor */
	double new_weights[2];
};

static const struct route routes[N_ROUTES] = {
	/* One in ten requests is to stay where it was. */
	{ "lookup", "/lookup/", { 950, 50 }, { 1, 9 } },
	/* No request is to stay. */
	{ "reserve", "/reserve/", { 950, 50 }, { 0, 1 } },
};

struct test {
	struct fleet *fleet;
	char ran_at[64]; /* service of the latest run */
	uint32_t n_runs; /* of the request sent last */
};

static void run_request(struct fleet_replica *replica,
			struct test_connection *connection)
{
	struct test *test = replica->fleet->data;

	test->n_runs++;
	g_strlcpy(test->ran_at, replica->service, sizeof(test->ran_at));
	fleet_answer(replica, connection, 200, "done");
}

static char *format_config(int version, bool changed)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < N_ROUTES; i++) {
		const double *weights =
			changed ? routes[i].new_weights : routes[i].old_weights;

		g_string_append_printf(
			out,
			"%s{\"name\":\"%s\",\"host\":\"desk.example\","
			"\"prefix\":\"%s\",\"routeType\":\"%s\","
			"\"timeoutMs\":4000,\"targetLatencyMs\":250,"
			"\"priority\":2,\"maxAttempts\":2,\"trafficSplit\":["
			"{\"service\":\"invoicing-1\",\"weight\":%g},"
			"{\"service\":\"invoicing-2\",\"weight\":%g}]}",
			i ? "," : "", routes[i].name, routes[i].prefix,
			i ? "non_idempotent" : "idempotent", weights[0],
			weights[1]);
	}
	g_string_append(out,
			"],\"services\":["
			"{\"name\":\"invoicing-1\",\"healthPath\":\"/health\","
			"\"maxConnections\":110},"
			"{\"name\":\"invoicing-2\",\"healthPath\":\"/health\","
			"\"maxConnections\":110}],"
			"\"limits\":{\"maxHeaderBytes\":16384,"
			"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
			"\"idleTimeoutMs\":15000}}");
	return g_string_free(out, FALSE);
}

static void put_config(struct test *test, int version, bool changed)
{
	char *config = format_config(version, changed);

	test_store_put(&test->fleet->store, "op/config", config);
	fleet_note(test->fleet, "op/config acknowledged: version %d", version);
	for (int i = 0; i < N_ROUTES; i++) {
		const double *weights =
			changed ? routes[i].new_weights : routes[i].old_weights;

		fleet_note(test->fleet,
			   "  %s: invoicing-1 weight %g, invoicing-2 weight %g",
			   routes[i].prefix, weights[0], weights[1]);
	}
	g_free(config);
}

/* Requests run by each of the two services. */
struct counts {
	uint32_t first;
	uint32_t second;
	uint32_t other; /* not run, or not answered with 200 */
};

static void send_one(struct test *test, struct fleet_caller *caller,
		     uint32_t gateway, const struct route *route,
		     struct counts *counts)
{
	static uint32_t n_sent;
	char *path = g_strdup_printf("%s%u", route->prefix, ++n_sent);
	char *id = g_strdup_printf("%016x", n_sent);
	struct fleet_request request = {
		.method = "POST",
		.path = path,
		.id = id,
		.deadline_ms = 4000,
	};
	struct fleet_answer answer;

	test->n_runs = 0;
	answer = fleet_send(caller, &request);
	/* One that may be repeated can run twice, at the same service. */
	if (answer.status != 200 || !test->n_runs)
		counts->other++;
	else if (!strcmp(test->ran_at, "invoicing-1"))
		counts->first++;
	else
		counts->second++;
	fleet_note(test->fleet, "request %s %s to %s: answered %d, run by %s",
		   id, path, test->fleet->gateways[gateway].name, answer.status,
		   test->n_runs ? test->ran_at : "none");
	fleet_clear_answer(&answer);
	g_free(path);
	g_free(id);
}

static void send_requests(struct test *test, uint32_t n,
			  struct counts counts[N_ROUTES])
{
	struct fleet_caller *callers[N_GATEWAYS];

	for (uint32_t i = 0; i < N_GATEWAYS; i++)
		callers[i] = fleet_open_caller(test->fleet, i);
	for (uint32_t i = 0; i < n; i++) {
		for (uint32_t j = 0; j < N_GATEWAYS; j++) {
			for (int k = 0; k < N_ROUTES; k++)
				send_one(test, callers[j], j, &routes[k],
					 &counts[k]);
		}
		fleet_run_for(test->fleet, 10);
	}
	for (uint32_t i = 0; i < N_GATEWAYS; i++)
		fleet_close_caller(callers[i]);
}

/*
 * Judge the requests sent since the configuration has been due everywhere.
 * Returns the exit code.
 */
static int judge(struct test *test, const struct counts counts[N_ROUTES],
		 bool changed)
{
	int code = 0;

	for (int i = 0; i < N_ROUTES; i++) {
		const double *weights =
			changed ? routes[i].new_weights : routes[i].old_weights;
		uint32_t n = counts[i].first + counts[i].second;
		double share = n ? (double)counts[i].first / n : 0;
		double due = weights[0] / (weights[0] + weights[1]);
		bool share_held = fabs(share - due) <= MAX_SHARE_OFF;
		bool place_held = weights[0] > 0 || !counts[i].first;

		fleet_note(test->fleet,
			   "%s: %u requests, %u run by invoicing-1 (share "
			   "%.3f, by its weight %.3f), %u otherwise",
			   routes[i].prefix, n, counts[i].first, share, due,
			   counts[i].other);
		if (n < MIN_REQUESTS || counts[i].other) {
			fleet_note(test->fleet, "the case could not run");
			return 2;
		}
		if (!share_held)
			fleet_note(test->fleet,
				   "CONFIG broken: a part's share lies more "
				   "than 0.2 off its weight's");
		if (!place_held)
			fleet_note(test->fleet,
				   "CONFIG broken: %u requests were run by the "
				   "old service, as only an older version "
				   "allows",
				   counts[i].first);
		if (!share_held || !place_held)
			code = 1;
	}
	return code;
}

int main(int argc, char **argv)
{
	const char *trouble = g_getenv("TROUBLE");
	bool changes = !trouble || strcmp(trouble, "0") != 0;
	struct counts before[N_ROUTES] = { 0 };
	struct counts after[N_ROUTES] = { 0 };
	struct test test = { 0 };
	int code;

	if (argc != 2)
		return 2;
	test.fleet = fleet_open(argv[1]);
	test.fleet->run = run_request;
	test.fleet->data = &test;
	for (uint32_t zone = 0; zone < FLEET_ZONES; zone++) {
		fleet_add_replica(test.fleet, "invoicing-1", zone);
		fleet_add_replica(test.fleet, "invoicing-2", zone);
	}
	put_config(&test, 3, false);
	if (!fleet_start_gateways(test.fleet, N_GATEWAYS)) {
		fleet_note(test.fleet, "the gateways are not ready");
		fleet_close(test.fleet);
		return 2;
	}
	fleet_run_for(test.fleet, FLEET_STABLE_WINDOW_MS + 1000);
	send_requests(&test, REQUESTS_BEFORE, before);
	if (changes)
		put_config(&test, 8, true);
	fleet_run_for(test.fleet, FLEET_CONFIG_APPLY_MS + 1000);
	fleet_note(test.fleet, "from here on the last version is due");
	send_requests(&test, REQUESTS_AFTER, after);
	code = judge(&test, after, changes);
	if (code < 2)
		fleet_note(test.fleet,
			   code ? "the rule was broken" : "the rule held");
	fleet_close(test.fleet);
	return code;
}
