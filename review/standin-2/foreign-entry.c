/*
 * foreign-entry.c - a small deployment whose store gets an entry of another
 * writer.
 *
 *     foreign-entry GATEWAY RECORD
 *
 * Starts one gateway per zone, the project's stand-in store and one replica per
 * zone.  Callers send one request after the other to each gateway.  With
 * TROUBLE=0 nobody else writes to the store.  Exits with 1 if the rule was
 * broken, with 0 if it held and with 2 if the deployment did not come up.
 */
#include <string.h>

#include "place.h"
#include "support/raw-http.h"
#include "support/standin-store.h"

#define ZONES 3
#define START_US (20 * G_USEC_PER_SEC)
#define CALM_US (5 * G_USEC_PER_SEC)
/* Three check-in intervals of 1,200 ms: the platform removes the entry then. */
#define ENTRY_US (3600 * 1000)
#define AFTER_US (5 * G_USEC_PER_SEC)
#define REQUEST_PAUSE_US (50 * 1000)
#define DEADLINE_MS 1000
/*
 * Nested lists in the entry: two bytes each, so that the value stays below the
 * store's limit of 1,048,576 bytes.
 */
#define NESTED_LISTS 500000
/* RULES.md, "Fault": on two machines at least, three times each. */
#define ENDED_MACHINES 2
#define ENDS 3

static const char *const zones[ZONES] = { "cz-central-a", "cz-central-b",
					  "cz-central-c" };
static const char *const names[ZONES] = { "front-cz-central-a-1",
					  "front-cz-central-b-1",
					  "front-cz-central-c-1" };

struct replica {
	struct test_server server;
	char *id;
	int n_run;
};

struct caller {
	struct place_gateway *gateway;
	int number;
	gint n_served;
	gint n_failed;
	gint stopped;
	GThread *thread;
};

struct deployment {
	struct place place;
	struct test_store store;
	struct place_gateway gateways[ZONES];
	struct replica replicas[ZONES];
	struct caller callers[ZONES];
};

/* Replicas. */

static void answer_request(struct test_connection *connection)
{
	struct replica *replica = connection->server->data;
	const char *id = test_request_header(connection, "request-id");
	const char *expected =
		test_request_header(connection, "expect-instance");
	char *headers;

	if (g_strcmp0(expected, replica->id)) {
		test_reply_to(connection, 421, "Not-Executed: 1\r\n", "",
			      false);
		return;
	}
	replica->n_run++;
	headers = g_strdup_printf("Request-Id: %s\r\n"
				  "Response-Seal: %s.%s\r\n",
				  id, replica->id, id);
	test_reply_to(connection, 200, headers, "stock", false);
	g_free(headers);
}

static void start_replica(struct deployment *deployment, int zone)
{
	struct replica *replica = &deployment->replicas[zone];
	struct test_replica_entry entry = {
		.service = "intake",
		.zone = zones[zone],
		.slots = 2,
	};

	replica->id = g_strdup_printf("i-%d", zone);
	replica->server.data = replica;
	replica->server.request = answer_request;
	test_set_listening(&replica->server, true);
	entry.id = replica->id;
	entry.address = g_strdup_printf("127.0.0.1:%u", replica->server.port);
	test_store_put_replica(&deployment->store, &entry);
	g_free((char *)entry.address);
}

/* Callers, one thread for each gateway. */

static gpointer run_caller(gpointer data)
{
	struct caller *caller = data;

	for (int n = 0; !g_atomic_int_get(&caller->stopped); n++) {
		char *id = g_strdup_printf("%d-%d", caller->number, n);
		char *path = g_strdup_printf("/intake/%s", id);
		int status = place_send_request(caller->gateway->caller_address,
						path, id, DEADLINE_MS);

		g_atomic_int_inc(status == 200 ? &caller->n_served :
						 &caller->n_failed);
		g_free(path);
		g_free(id);
		g_usleep(REQUEST_PAUSE_US);
	}
	return NULL;
}

/* The run. */

static void write_config(struct deployment *deployment)
{
	test_store_put(
		&deployment->store, "op/config",
		"{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"prefix\":\"/intake/\",\"routeType\":\"idempotent\","
		"\"timeoutMs\":1000,\"targetLatencyMs\":600,\"priority\":1,"
		"\"maxAttempts\":2,\"service\":\"intake\"}],"
		"\"services\":[{\"name\":\"intake\",\"maxConnections\":480}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
}

/* An entry whose service is of another type: lists in lists. */
static void write_foreign_entry(struct deployment *deployment)
{
	GString *value = g_string_new("{\"address\":\"127.0.0.1:9\","
				      "\"state\":\"ready\",\"service\":");

	for (int i = 0; i < NESTED_LISTS; i++)
		g_string_append_c(value, '[');
	for (int i = 0; i < NESTED_LISTS; i++)
		g_string_append_c(value, ']');
	g_string_append_c(value, '}');
	place_record(&deployment->place,
		     "another writer writes servers/other, %zu bytes",
		     value->len);
	test_store_put(&deployment->store, "servers/other", value->str);
	g_string_free(value, TRUE);
}

static void remove_foreign_entry(struct deployment *deployment)
{
	place_record(&deployment->place, "the platform removes servers/other");
	test_store_remove(&deployment->store, "servers/other");
}

static void start_gateway(struct deployment *deployment, int zone)
{
	const struct place_bounds bounds = { .config_apply_ms = 5000,
					     .drain_ms = 5000,
					     .retry_slack = 180 };
	struct place_gateway *gateway = &deployment->gateways[zone];
	struct caller *caller = &deployment->callers[zone];

	gateway->place = &deployment->place;
	gateway->name = names[zone];
	gateway->zone = zones[zone];
	gateway->strength = "0.5";
	gateway->store_port = deployment->store.server.port;
	place_start_gateway(gateway, &bounds);
	caller->gateway = gateway;
	caller->number = zone;
	caller->thread = g_thread_new("caller", run_caller, caller);
}

static void start_deployment(struct deployment *deployment)
{
	test_open_store(&deployment->store, 1);
	write_config(deployment);
	for (int i = 0; i < ZONES; i++)
		start_replica(deployment, i);
	for (int i = 0; i < ZONES; i++)
		start_gateway(deployment, i);
}

static bool all_serve(struct deployment *deployment)
{
	for (int i = 0; i < ZONES; i++) {
		if (!g_atomic_int_get(&deployment->callers[i].n_served))
			return false;
	}
	return true;
}

static void reset_counts(struct deployment *deployment)
{
	for (int i = 0; i < ZONES; i++) {
		g_atomic_int_set(&deployment->callers[i].n_served, 0);
		g_atomic_int_set(&deployment->callers[i].n_failed, 0);
	}
}

/* Record the counts of a period; returns how many requests were served. */
static int record_counts(struct deployment *deployment, const char *period)
{
	int n_served = 0;

	for (int i = 0; i < ZONES; i++) {
		struct caller *caller = &deployment->callers[i];
		int served = g_atomic_int_get(&caller->n_served);
		int failed = g_atomic_int_get(&caller->n_failed);

		place_record(&deployment->place,
			     "%s: %s was sent %d requests, served %d; replica "
			     "%s has run %d",
			     period, names[i], served + failed, served,
			     deployment->replicas[i].id,
			     deployment->replicas[i].n_run);
		n_served += served;
	}
	return n_served;
}

static void end_deployment(struct deployment *deployment)
{
	deployment->place.ending = true;
	for (int i = 0; i < ZONES; i++)
		g_atomic_int_set(&deployment->callers[i].stopped, 1);
	for (int i = 0; i < ZONES; i++) {
		place_stop_gateway(&deployment->gateways[i]);
		g_thread_join(deployment->callers[i].thread);
	}
	place_close(&deployment->place);
}

static bool has_ended_too_often(struct deployment *deployment)
{
	int n_machines = 0;

	for (int i = 0; i < ZONES; i++) {
		place_record(&deployment->place, "%s ended by itself %d times",
			     names[i], deployment->gateways[i].n_ends);
		n_machines += deployment->gateways[i].n_ends >= ENDS;
	}
	return n_machines >= ENDED_MACHINES;
}

/* Play the periods before, during and after the entry; true: broken. */
static bool play(struct deployment *deployment, bool trouble)
{
	bool broken;

	reset_counts(deployment);
	place_run_for(CALM_US);
	record_counts(deployment, "before");
	reset_counts(deployment);
	if (trouble)
		write_foreign_entry(deployment);
	place_run_for(ENTRY_US);
	broken = !record_counts(deployment, "meanwhile");
	if (trouble)
		remove_foreign_entry(deployment);
	reset_counts(deployment);
	place_run_for(AFTER_US);
	record_counts(deployment, "after");
	return has_ended_too_often(deployment) || broken;
}

int main(int argc, char **argv)
{
	static struct deployment deployment;
	bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	int64_t end_us = g_get_monotonic_time() + START_US;
	bool broken;

	if (argc != 3 || !place_open(&deployment.place, argv[1], argv[2]))
		return 2;
	start_deployment(&deployment);
	while (!all_serve(&deployment) && g_get_monotonic_time() < end_us)
		place_run_for(100 * 1000);
	if (!all_serve(&deployment)) {
		place_record(&deployment.place, "not all gateways serve");
		end_deployment(&deployment);
		return 2;
	}
	broken = play(&deployment, trouble);
	place_record(&deployment.place, "Fault: %s",
		     broken ? "broken" : "held");
	end_deployment(&deployment);
	return broken ? 1 : 0;
}
