/*
 * place.c - gateways as processes, and the record of a run.
 */
#include "place.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/port.h"

/* The platform starts a process that ended again after a short delay. */
#define RESTART_MS 500
#define CALLER_TIMEOUT_S 3

bool place_open(struct place *place, const char *program, const char *record)
{
	place->started_us = g_get_monotonic_time();
	place->program = program;
	place->folder = g_dir_make_tmp("review-2-XXXXXX", NULL);
	place->record = fopen(record, "w");
	return place->folder && place->record;
}

void place_close(struct place *place)
{
	g_rmdir(place->folder);
	fclose(place->record);
}

void place_record(struct place *place, const char *format, ...)
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

void place_run_for(int64_t us)
{
	int64_t end_us = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < end_us) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(500);
	}
}

static char *log_file(const struct place_gateway *gateway)
{
	return g_strdup_printf("%s/%s.log", gateway->place->folder,
			       gateway->name);
}

static void spawn_gateway(struct place_gateway *gateway);

static gboolean restart_gateway(gpointer data)
{
	struct place_gateway *gateway = data;

	if (!gateway->place->ending)
		spawn_gateway(gateway);
	return G_SOURCE_REMOVE;
}

static void handle_end(GObject *source, GAsyncResult *result, gpointer data)
{
	struct place_gateway *gateway = data;
	GSubprocess *process = G_SUBPROCESS(source);

	g_subprocess_wait_finish(process, result, NULL);
	if (gateway->place->ending)
		return;
	gateway->n_ends++;
	place_record(gateway->place, "%s ended by itself: %s %d", gateway->name,
		     g_subprocess_get_if_signaled(process) ? "signal" :
							     "exit code",
		     g_subprocess_get_if_signaled(process) ?
			     g_subprocess_get_term_sig(process) :
			     g_subprocess_get_exit_status(process));
	g_clear_object(&gateway->process);
	g_timeout_add(RESTART_MS, restart_gateway, gateway);
}

static void spawn_gateway(struct place_gateway *gateway)
{
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	char *log = log_file(gateway);

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
	place_record(gateway->place, "%s started", gateway->name);
	g_subprocess_wait_async(gateway->process, NULL, handle_end, gateway);
}

void place_start_gateway(struct place_gateway *gateway,
			 const struct place_bounds *bounds)
{
	char *ready = test_reserve_address();
	char *peers = test_reserve_address();
	char *text;

	gateway->caller_address = test_reserve_address();
	gateway->settings_file = g_strdup_printf(
		"%s/%s.yaml", gateway->place->folder, gateway->name);
	text = g_strdup_printf(
		"instance: \"%s\"\nzone: \"%s\"\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\nstore_address: \"127.0.0.1:%u\"\n"
		"peer_address: \"%s\"\nseed_peers: []\n"
		"zone_regions: [\"%s/region\"]\nstrength: %s\n"
		"news_bound_ms: %u\nextra_share: 0.2\nextra_slack: %u\n"
		"extra_window_s: 10\ndrain_ms: %u\nstop_timeout_s: 6\n"
		"log: {level: info, format: key-value, max_lines_per_s: 400,"
		" request_lines_per_s: 100}\n",
		gateway->name, gateway->zone, gateway->caller_address, ready,
		gateway->store_port, peers, gateway->zone, gateway->strength,
		bounds->config_apply_ms, bounds->retry_slack, bounds->drain_ms);
	g_file_set_contents(gateway->settings_file, text, -1, NULL);
	g_free(text);
	g_free(peers);
	g_free(ready);
	spawn_gateway(gateway);
}

void place_stop_gateway(struct place_gateway *gateway)
{
	char *log = log_file(gateway);

	if (gateway->process) {
		g_subprocess_force_exit(gateway->process);
		g_subprocess_wait(gateway->process, NULL, NULL);
	}
	g_unlink(log);
	g_unlink(gateway->settings_file);
	g_free(log);
}

int place_send_request(const char *address, const char *path,
		       const char *request_id, int deadline_ms)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	char *text = g_strdup_printf(
		"GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
		"Deadline-Ms: %d\r\nConnection: close\r\n\r\n",
		path, request_id, deadline_ms);
	char reply[16384] = "";
	gsize n_read = 0;
	int status = 0;

	g_socket_client_set_timeout(client, CALLER_TIMEOUT_S);
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
	if (g_str_has_prefix(reply, "HTTP/1.1 "))
		status = atoi(reply + strlen("HTTP/1.1 "));
	g_object_unref(client);
	g_free(text);
	return status;
}
