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
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/port.h"
#include "support/raw-http.h"
#include "support/standin-store.h"

#define ZONES 3
#define START_US (20 * G_USEC_PER_SEC)
#define CALM_US (5 * G_USEC_PER_SEC)
/* Three check-in intervals of 1,200 ms: the platform removes the entry then. */
#define ENTRY_US (3600 * 1000)
#define AFTER_US (5 * G_USEC_PER_SEC)
/* The platform starts a process that ended again after a short delay. */
#define RESTART_MS 500
#define REQUEST_PAUSE_US (50 * 1000)
/*
 * Nested lists in the entry: two bytes each, so that the value stays below the
 * store's limit of 1,048,576 bytes.
 */
#define NESTED_LISTS 400000
/* RULES.md, "Fault": on two machines at least, three times each. */
#define ENDED_MACHINES 2
#define ENDS 3

static const char *const zones[ZONES] = { "cz-central-a", "cz-central-b",
					  "cz-central-c" };

struct place;

struct gateway {
	struct place *place;
	int number;
	char *caller_address;
	char *settings_file;
	GSubprocess *process;
	int n_ends; /* by itself */
	/* Used by its caller's thread as well. */
	gint n_served;
	gint n_failed;
	gint stopped;
	GThread *caller;
};

struct replica {
	struct test_server server;
	struct place *place;
	char *id;
	int zone;
	int n_run;
};

struct place {
	const char *program;
	char *folder;
	FILE *record;
	int64_t started_us;
	struct test_store store;
	struct gateway gateways[ZONES];
	struct replica replicas[ZONES];
	bool ending;
};

G_GNUC_PRINTF(2, 3)
static void record(struct place *place, const char *format, ...)
{
	va_list args;

	fprintf(place->record, "%7.3f ",
		(double)(g_get_monotonic_time() - place->started_us) /
			G_USEC_PER_SEC);
	va_start(args, format);
	vfprintf(place->record, format, args);
	va_end(args);
	fputc('\n', place->record);
	fflush(place->record);
}

static void run_for(int64_t us)
{
	int64_t end_us = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < end_us) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(1000);
	}
}

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

static void start_replica(struct place *place, int zone)
{
	struct replica *replica = &place->replicas[zone];
	struct test_replica_entry entry = {
		.service = "intake",
		.zone = zones[zone],
		.slots = 2,
	};

	replica->place = place;
	replica->zone = zone;
	replica->id = g_strdup_printf("i-%d", zone);
	replica->server.data = replica;
	replica->server.request = answer_request;
	test_set_listening(&replica->server, true);
	entry.id = replica->id;
	entry.address = g_strdup_printf("127.0.0.1:%u", replica->server.port);
	test_store_put_replica(&place->store, &entry);
	g_free((char *)entry.address);
}

/* Gateways, and the platform that starts them again. */

static void start_gateway(struct gateway *gateway);

static gboolean restart_gateway(gpointer data)
{
	struct gateway *gateway = data;

	if (!gateway->place->ending)
		start_gateway(gateway);
	return G_SOURCE_REMOVE;
}

static void handle_end(GObject *source, GAsyncResult *result, gpointer data)
{
	struct gateway *gateway = data;
	GSubprocess *process = G_SUBPROCESS(source);

	g_subprocess_wait_finish(process, result, NULL);
	if (gateway->place->ending)
		return;
	gateway->n_ends++;
	record(gateway->place, "gateway %d ended by itself: %s %d",
	       gateway->number,
	       g_subprocess_get_if_signaled(process) ? "signal" : "exit code",
	       g_subprocess_get_if_signaled(process) ?
		       g_subprocess_get_term_sig(process) :
		       g_subprocess_get_exit_status(process));
	g_clear_object(&gateway->process);
	g_timeout_add(RESTART_MS, restart_gateway, gateway);
}

static void start_gateway(struct gateway *gateway)
{
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	char *log = g_strdup_printf("%s/gateway-%d.log", gateway->place->folder,
				    gateway->number);

	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	g_subprocess_launcher_set_stderr_file_path(launcher, log);
	g_subprocess_launcher_setenv(launcher, "RAGWORTROUTE_BOOT",
				     gateway->settings_file, TRUE);
	gateway->process = g_subprocess_launcher_spawn(
		launcher, NULL, gateway->place->program, NULL);
	g_object_unref(launcher);
	g_free(log);
	if (!gateway->process)
		exit(2);
	record(gateway->place, "gateway %d started", gateway->number);
	g_subprocess_wait_async(gateway->process, NULL, handle_end, gateway);
}

/* The settings that deploy/gateway.yaml.template makes for such a site. */
static void write_settings(struct gateway *gateway)
{
	struct place *place = gateway->place;
	char *ready = test_reserve_address();
	char *peers = test_reserve_address();
	char *text = g_strdup_printf(
		"instance: \"front-%s-1\"\nzone: \"%s\"\n"
		"caller_address: \"%s\"\nready_address: \"%s\"\n"
		"store_address: \"127.0.0.1:%u\"\npeer_address: \"%s\"\n"
		"seed_peers: []\nzone_regions: [\"%s/cz-central\","
		"\"%s/cz-central\",\"%s/cz-central\"]\nstrength: 0.5\n"
		"news_bound_ms: 5000\nextra_share: 0.2\nextra_slack: 180\n"
		"extra_window_s: 10\ndrain_ms: 5000\nstop_timeout_s: 6\n"
		"log: {level: info, format: key-value, max_lines_per_s: 400,"
		" request_lines_per_s: 100}\n",
		zones[gateway->number], zones[gateway->number],
		gateway->caller_address, ready, place->store.server.port, peers,
		zones[0], zones[1], zones[2]);

	gateway->settings_file = g_strdup_printf(
		"%s/gateway-%d.yaml", place->folder, gateway->number);
	g_file_set_contents(gateway->settings_file, text, -1, NULL);
	g_free(text);
	g_free(peers);
	g_free(ready);
}

/* Callers, one thread for each gateway. */

/* Send a request on a new connection; return whether it was served. */
static bool send_request(const char *address, int gateway, int number)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	char *text = g_strdup_printf("GET /intake/%d HTTP/1.1\r\nHost: h\r\n"
				     "Request-Id: %d-%d\r\n"
				     "Deadline-Ms: 1000\r\n"
				     "Connection: close\r\n\r\n",
				     number, gateway, number);
	char reply[1024] = "";
	gsize n_read = 0;

	g_socket_client_set_timeout(client, 2);
	connection =
		g_socket_client_connect_to_host(client, address, 0, NULL, NULL);
	if (connection) {
		GIOStream *stream = G_IO_STREAM(connection);

		g_output_stream_write_all(g_io_stream_get_output_stream(stream),
					  text, strlen(text), NULL, NULL, NULL);
		g_input_stream_read_all(g_io_stream_get_input_stream(stream),
					reply, sizeof(reply) - 1, &n_read, NULL,
					NULL);
		g_object_unref(connection);
	}
	g_object_unref(client);
	g_free(text);
	return g_str_has_prefix(reply, "HTTP/1.1 200 ") &&
	       g_str_has_suffix(reply, "stock");
}

static gpointer run_caller(gpointer data)
{
	struct gateway *gateway = data;

	for (int number = 0; !g_atomic_int_get(&gateway->stopped); number++) {
		bool served = send_request(gateway->caller_address,
					   gateway->number, number);

		g_atomic_int_inc(served ? &gateway->n_served :
					  &gateway->n_failed);
		g_usleep(REQUEST_PAUSE_US);
	}
	return NULL;
}

/* The run. */

static void write_config(struct place *place)
{
	test_store_put(
		&place->store, "op/config",
		"{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"prefix\":\"/intake/\",\"routeType\":\"idempotent\","
		"\"timeoutMs\":1000,\"targetLatencyMs\":600,\"priority\":1,"
		"\"maxAttempts\":2,\"service\":\"intake\"}],"
		"\"services\":[{\"name\":\"intake\",\"maxConnections\":480}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
}

/* An entry whose service is of another type: lists in lists. */
static void write_foreign_entry(struct place *place)
{
	GString *value = g_string_new("{\"address\":\"127.0.0.1:9\","
				      "\"state\":\"ready\",\"service\":");

	for (int i = 0; i < NESTED_LISTS; i++)
		g_string_append_c(value, '[');
	for (int i = 0; i < NESTED_LISTS; i++)
		g_string_append_c(value, ']');
	g_string_append_c(value, '}');
	record(place, "another writer writes servers/other, %zu bytes",
	       value->len);
	test_store_put(&place->store, "servers/other", value->str);
	g_string_free(value, TRUE);
}

static void remove_foreign_entry(struct place *place)
{
	record(place, "the platform removes servers/other");
	test_store_remove(&place->store, "servers/other");
}

static void start_place(struct place *place)
{
	place->folder = g_dir_make_tmp("foreign-entry-XXXXXX", NULL);
	test_open_store(&place->store, 1);
	write_config(place);
	for (int i = 0; i < ZONES; i++)
		start_replica(place, i);
	for (int i = 0; i < ZONES; i++) {
		struct gateway *gateway = &place->gateways[i];

		gateway->place = place;
		gateway->number = i;
		gateway->caller_address = test_reserve_address();
		write_settings(gateway);
		start_gateway(gateway);
		gateway->caller = g_thread_new("caller", run_caller, gateway);
	}
}

/* Whether each gateway has served a request. */
static bool all_serve(struct place *place)
{
	for (int i = 0; i < ZONES; i++) {
		if (!g_atomic_int_get(&place->gateways[i].n_served))
			return false;
	}
	return true;
}

static void reset_counts(struct place *place)
{
	for (int i = 0; i < ZONES; i++) {
		g_atomic_int_set(&place->gateways[i].n_served, 0);
		g_atomic_int_set(&place->gateways[i].n_failed, 0);
	}
}

static int record_counts(struct place *place, const char *period)
{
	int n_served = 0;

	for (int i = 0; i < ZONES; i++) {
		struct gateway *gateway = &place->gateways[i];
		int served = g_atomic_int_get(&gateway->n_served);
		int failed = g_atomic_int_get(&gateway->n_failed);

		record(place,
		       "%s: gateway %d was sent %d requests, served %d; "
		       "replica i-%d has run %d",
		       period, i, served + failed, served, i,
		       place->replicas[i].n_run);
		n_served += served;
	}
	return n_served;
}

static void remove_files(struct place *place)
{
	for (int i = 0; i < ZONES; i++) {
		char *log =
			g_strdup_printf("%s/gateway-%d.log", place->folder, i);

		g_unlink(log);
		g_unlink(place->gateways[i].settings_file);
		g_free(log);
	}
	g_rmdir(place->folder);
}

static void end_place(struct place *place)
{
	place->ending = true;
	for (int i = 0; i < ZONES; i++)
		g_atomic_int_set(&place->gateways[i].stopped, 1);
	for (int i = 0; i < ZONES; i++) {
		if (place->gateways[i].process)
			g_subprocess_force_exit(place->gateways[i].process);
	}
	for (int i = 0; i < ZONES; i++)
		g_thread_join(place->gateways[i].caller);
	run_for(G_USEC_PER_SEC);
	remove_files(place);
}

static bool has_ended_too_often(struct place *place)
{
	int n_machines = 0;

	for (int i = 0; i < ZONES; i++) {
		record(place, "gateway %d ended by itself %d times", i,
		       place->gateways[i].n_ends);
		n_machines += place->gateways[i].n_ends >= ENDS;
	}
	return n_machines >= ENDED_MACHINES;
}

int main(int argc, char **argv)
{
	struct place place = { .started_us = g_get_monotonic_time() };
	bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	int64_t deadline_us = place.started_us + START_US;
	bool broken;

	if (argc != 3)
		return 2;
	place.program = argv[1];
	place.record = fopen(argv[2], "w");
	if (!place.record)
		return 2;
	start_place(&place);
	while (!all_serve(&place) && g_get_monotonic_time() < deadline_us)
		run_for(100 * 1000);
	if (!all_serve(&place)) {
		record(&place, "not all gateways serve");
		end_place(&place);
		return 2;
	}
	reset_counts(&place);
	run_for(CALM_US);
	record_counts(&place, "before");
	reset_counts(&place);
	if (trouble)
		write_foreign_entry(&place);
	run_for(ENTRY_US);
	broken = !record_counts(&place, "meanwhile");
	if (trouble)
		remove_foreign_entry(&place);
	reset_counts(&place);
	run_for(AFTER_US);
	record_counts(&place, "after");
	broken |= has_ended_too_often(&place);
	record(&place, broken ? "Fault: broken" : "Fault: held");
	end_place(&place);
	return broken ? 1 : 0;
}
