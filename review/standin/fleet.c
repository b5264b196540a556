/*
 * fleet.c - a small deployment for the scripts of the review.
 */
#include "fleet.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>

#include "support/port.h"

#define READY_TIMEOUT_MS 20000
#define GATEWAY_PROGRAM "target/ragwort-gateway"
#define HOST "desk.example"

static const char *const zones[FLEET_ZONES] = { "catania-sala",
						"siracusa-filiale",
						"zi-magazzino" };

int64_t fleet_now_ms(const struct fleet *fleet)
{
	return (g_get_monotonic_time() - fleet->started_us) / 1000;
}

void fleet_note(struct fleet *fleet, const char *format, ...)
{
	va_list args;

	fprintf(fleet->record, "%8.3f  ", (double)fleet_now_ms(fleet) / 1000);
	va_start(args, format);
	vfprintf(fleet->record, format, args);
	va_end(args);
	fputc('\n', fleet->record);
	fflush(fleet->record);
}

struct fleet *fleet_open(const char *record_file)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->record = fopen(record_file, "w");
	fleet->folder = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!fleet->record || !fleet->folder)
		g_error("no record or no temporary folder");
	fleet->loop = g_main_loop_new(NULL, FALSE);
	fleet->started_us = g_get_monotonic_time();
	test_open_store(&fleet->store, 1);
	return fleet;
}

static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(folder);
}

static void close_gateway(struct fleet_gateway *gateway)
{
	if (gateway->process) {
		g_subprocess_send_signal(gateway->process, SIGCONT);
		g_subprocess_force_exit(gateway->process);
		g_subprocess_wait(gateway->process, NULL, NULL);
		g_object_unref(gateway->process);
	}
	g_free(gateway->name);
	g_free(gateway->caller_address);
	g_free(gateway->ready_address);
	g_free(gateway->peer_address);
	g_free(gateway->start_file);
}

void fleet_close(struct fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->n_gateways; i++)
		close_gateway(&fleet->gateways[i]);
	for (uint32_t i = 0; i < fleet->n_replicas; i++) {
		test_destroy_server(&fleet->replicas[i].server);
		g_free(fleet->replicas[i].id);
		g_free(fleet->replicas[i].service);
	}
	test_close_store(&fleet->store);
	g_main_loop_unref(fleet->loop);
	fclose(fleet->record);
	remove_folder(fleet->folder);
	g_free(fleet->folder);
	g_free(fleet);
}

static gboolean quit_loop(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_REMOVE;
}

void fleet_run_for(struct fleet *fleet, uint32_t ms)
{
	g_timeout_add(ms, quit_loop, fleet->loop);
	g_main_loop_run(fleet->loop);
}

/* Replicas. */

static void handle_request(struct test_connection *connection)
{
	struct fleet_replica *replica = connection->server->data;
	const char *expected =
		test_request_header(connection, "expect-instance");

	if (expected && strcmp(expected, replica->id) != 0) {
		test_reply_to(connection, 421, "", "", false);
		return;
	}
	replica->runs++;
	replica->fleet->run(replica, connection);
}

struct fleet_replica *fleet_add_replica(struct fleet *fleet,
					const char *service, uint32_t zone)
{
	struct fleet_replica *replica = &fleet->replicas[fleet->n_replicas];
	char *address;
	struct test_replica_entry entry = {
		.service = service,
		.zone = zones[zone],
		.slots = 6,
	};

	replica->fleet = fleet;
	replica->id = g_strdup_printf("i-%08x", ++fleet->n_replicas);
	replica->service = g_strdup(service);
	replica->zone = zones[zone];
	replica->server.data = replica;
	replica->server.request = handle_request;
	test_set_listening(&replica->server, true);
	address = g_strdup_printf("127.0.0.1:%u", replica->server.port);
	entry.id = replica->id;
	entry.address = address;
	test_store_put_replica(&fleet->store, &entry);
	g_free(address);
	return replica;
}

void fleet_remove_entry(struct fleet_replica *replica)
{
	char *key = g_strconcat("servers/", replica->id, NULL);

	test_store_remove(&replica->fleet->store, key);
	g_free(key);
}

void fleet_answer(struct fleet_replica *replica,
		  struct test_connection *connection, int status,
		  const char *body)
{
	const char *id = test_request_header(connection, "request-id");
	char *extra = g_strdup_printf("Response-Seal: seal.%s.%s\r\n"
				      "Request-Id: %s\r\n",
				      replica->id, id, id);

	test_reply_to(connection, status, extra, body, false);
	g_free(extra);
}

/* Gateways. */

/* What the platform makes of deploy/gateway.yaml.template. */
static void write_start_file(struct fleet *fleet, struct fleet_gateway *gateway)
{
	GString *text = g_string_new(NULL);
	char *name = g_strconcat(gateway->name, ".yaml", NULL);

	g_string_printf(text,
			"instance: \"%s\"\nzone: \"%s\"\n"
			"caller_address: \"%s\"\nready_address: \"%s\"\n"
			"store_address: \"127.0.0.1:%u\"\n"
			"peer_address: \"%s\"\nseed_peers: [",
			gateway->name, gateway->zone, gateway->caller_address,
			gateway->ready_address, fleet->store.server.port,
			gateway->peer_address);
	for (uint32_t i = 0; i < MIN(fleet->n_gateways, FLEET_ZONES); i++)
		g_string_append_printf(text, "%s\"%s\"", i ? "," : "",
				       fleet->gateways[i].peer_address);
	g_string_append(text, "]\nzone_regions: [");
	for (uint32_t i = 0; i < FLEET_ZONES; i++)
		g_string_append_printf(text, "%s\"%s/sicilia-est\"",
				       i ? "," : "", zones[i]);
	g_string_append(text,
			"]\nstrength: 0.25\nnews_bound_ms: 3000\n"
			"extra_share: 0.2\nextra_slack: 52\n"
			"extra_window_s: 10\nstop_timeout_s: 6\n"
			"log: {level: info, format: key-value, "
			"max_lines_per_s: 400, request_lines_per_s: 100}\n");
	gateway->start_file = g_build_filename(fleet->folder, name, NULL);
	if (!g_file_set_contents(gateway->start_file, text->str,
				 (gssize)text->len, NULL))
		g_error("start file not written");
	g_string_free(text, TRUE);
	g_free(name);
}

/* The kernel ends the gateways of a test that ends early. */
static void end_with_parent(gpointer data)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void start_gateway(struct fleet *fleet, struct fleet_gateway *gateway)
{
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	GError *error = NULL;
	char *log;

	write_start_file(fleet, gateway);
	log = g_strconcat(gateway->start_file, ".log", NULL);
	g_subprocess_launcher_setenv(launcher, "RAGWORTROUTE_BOOT",
				     gateway->start_file, TRUE);
	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	g_subprocess_launcher_set_child_setup(launcher, end_with_parent, NULL,
					      NULL);
	gateway->process = g_subprocess_launcher_spawn(launcher, &error,
						       GATEWAY_PROGRAM, NULL);
	if (!gateway->process)
		g_error("%s: %s", GATEWAY_PROGRAM, error->message);
	g_object_unref(launcher);
	g_free(log);
}

void fleet_signal(struct fleet *fleet, uint32_t gateway, int signal_number)
{
	g_subprocess_send_signal(fleet->gateways[gateway].process,
				 signal_number);
}

/* Callers. */

struct fleet_caller {
	struct fleet *fleet;
	GSocket *socket;
	GString *received;
	bool closed;
	GSource *source;
	/* Of the request that waits for its answer; NULL: none. */
	void (*answered)(void *data, const struct fleet_answer *answer);
	void *data;
};

static gboolean on_caller_readable(GSocket *socket, GIOCondition condition,
				   gpointer data);

static struct fleet_caller *connect_caller(struct fleet *fleet,
					   const char *address)
{
	struct fleet_caller *caller = g_new0(struct fleet_caller, 1);
	GSocketConnectable *target = g_network_address_parse(address, 0, NULL);
	GInetAddress *host = g_inet_address_new_from_string("127.0.0.1");
	GSocketAddress *at = g_inet_socket_address_new(
		host, g_network_address_get_port(G_NETWORK_ADDRESS(target)));

	caller->fleet = fleet;
	caller->received = g_string_new(NULL);
	caller->socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	caller->closed = !g_socket_connect(caller->socket, at, NULL, NULL);
	g_socket_set_blocking(caller->socket, FALSE);
	caller->source = g_socket_create_source(caller->socket, G_IO_IN, NULL);
	g_source_set_callback(caller->source, G_SOURCE_FUNC(on_caller_readable),
			      caller, NULL);
	g_source_attach(caller->source, NULL);
	g_object_unref(at);
	g_object_unref(host);
	g_object_unref(target);
	return caller;
}

struct fleet_caller *fleet_open_caller(struct fleet *fleet, uint32_t gateway)
{
	return connect_caller(fleet, fleet->gateways[gateway].caller_address);
}

void fleet_close_caller(struct fleet_caller *caller)
{
	g_source_destroy(caller->source);
	g_source_unref(caller->source);
	g_socket_close(caller->socket, NULL);
	g_object_unref(caller->socket);
	g_string_free(caller->received, TRUE);
	g_free(caller);
}

/* Split a complete answer off; false if it is not complete. */
static bool take_answer(struct fleet_caller *caller,
			struct fleet_answer *answer)
{
	char *end = strstr(caller->received->str, "\r\n\r\n");
	const char *length_field;
	gsize head;
	gsize length = 0;

	if (!end)
		return false;
	head = (gsize)(end - caller->received->str) + 4;
	answer->headers = g_strndup(caller->received->str, head);
	length_field = strstr(answer->headers, "\r\nContent-Length: ");
	if (length_field)
		length = strtoul(length_field + strlen("\r\nContent-Length: "),
				 NULL, 10);
	if (caller->received->len < head + length) {
		g_clear_pointer(&answer->headers, g_free);
		return false;
	}
	answer->status = atoi(answer->headers + strlen("HTTP/1.1 "));
	answer->body = g_strndup(caller->received->str + head, length);
	g_string_erase(caller->received, 0, (gssize)(head + length));
	return true;
}

/* Report the answer, or the end of the connection. */
static void report_answer(struct fleet_caller *caller,
			  struct fleet_answer *answer)
{
	void (*answered)(void *data, const struct fleet_answer *answer) =
		caller->answered;

	caller->answered = NULL;
	if (answered)
		answered(caller->data, answer);
	fleet_clear_answer(answer);
}

static gboolean on_caller_readable(GSocket *socket, GIOCondition condition,
				   gpointer data)
{
	struct fleet_caller *caller = data;
	struct fleet_answer answer = { 0 };
	char bytes[16384];
	gssize n = g_socket_receive(socket, bytes, sizeof(bytes), NULL, NULL);

	if (n > 0)
		g_string_append_len(caller->received, bytes, n);
	else
		caller->closed = true;
	if (take_answer(caller, &answer) || caller->closed)
		report_answer(caller, &answer);
	return n > 0;
}

void fleet_post(struct fleet_caller *caller,
		const struct fleet_request *request,
		void (*answered)(void *data, const struct fleet_answer *answer),
		void *data)
{
	char *text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: " HOST "\r\nRequest-Id: %s\r\n"
		"Deadline-Ms: %u\r\nContent-Length: 0\r\n\r\n",
		request->method, request->path, request->id,
		request->deadline_ms);

	caller->answered = answered;
	caller->data = data;
	g_socket_send(caller->socket, text, strlen(text), NULL, NULL);
	g_free(text);
}

static gboolean on_overdue(gpointer data)
{
	bool *overdue = data;

	*overdue = true;
	return G_SOURCE_CONTINUE;
}

struct wait {
	struct fleet_answer answer;
	bool done;
};

static void end_wait(void *data, const struct fleet_answer *answer)
{
	struct wait *wait = data;

	wait->done = true;
	wait->answer.status = answer->status;
	wait->answer.headers = g_strdup(answer->headers);
	wait->answer.body = g_strdup(answer->body);
}

struct fleet_answer fleet_send(struct fleet_caller *caller,
			       const struct fleet_request *request)
{
	struct wait wait = { 0 };
	bool overdue = false;
	guint timer = g_timeout_add(request->deadline_ms + 1000, on_overdue,
				    &overdue);

	if (!caller->closed)
		fleet_post(caller, request, end_wait, &wait);
	while (!caller->closed && !overdue && !wait.done)
		g_main_context_iteration(NULL, TRUE);
	caller->answered = NULL;
	g_source_remove(timer);
	return wait.answer;
}

void fleet_clear_answer(struct fleet_answer *answer)
{
	g_clear_pointer(&answer->headers, g_free);
	g_clear_pointer(&answer->body, g_free);
}

static bool is_ready(struct fleet *fleet, const struct fleet_gateway *gateway)
{
	struct fleet_request request = {
		.method = "GET",
		.path = "/v1/ready",
		.id = "ready",
		.deadline_ms = 500,
	};
	struct fleet_caller *caller =
		connect_caller(fleet, gateway->ready_address);
	struct fleet_answer answer = fleet_send(caller, &request);
	bool ready = answer.status == 200;

	fleet_clear_answer(&answer);
	fleet_close_caller(caller);
	return ready;
}

bool fleet_start_gateways(struct fleet *fleet, uint32_t n)
{
	int64_t limit_ms = fleet_now_ms(fleet) + READY_TIMEOUT_MS;

	fleet->n_gateways = n;
	for (uint32_t i = 0; i < n; i++) {
		struct fleet_gateway *gateway = &fleet->gateways[i];

		gateway->zone = zones[i % FLEET_ZONES];
		gateway->name = g_strdup_printf("front-%s-%u", gateway->zone,
						i / FLEET_ZONES + 1);
		gateway->caller_address = test_reserve_address();
		gateway->ready_address = test_reserve_address();
		gateway->peer_address = test_reserve_address();
	}
	for (uint32_t i = 0; i < n; i++)
		start_gateway(fleet, &fleet->gateways[i]);
	for (uint32_t i = 0; i < n; i++) {
		while (!is_ready(fleet, &fleet->gateways[i])) {
			if (fleet_now_ms(fleet) >= limit_ms)
				return false;
			fleet_run_for(fleet, 100);
		}
		fleet_note(fleet, "%s is ready", fleet->gateways[i].name);
	}
	return true;
}
