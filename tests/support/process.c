/*
 * process.c - Starts, signals, queries and ends processes from tests.
 */
#include "support/process.h"

#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>

#include "support/paths.h"
#include "support/raw-http.h"

/* A failing test exits without clean-up; the kernel then kills its children. */
static void kill_with_parent(gpointer data)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/*
 * Takes over `launcher`, which defines where the output goes; `setup` runs in
 * the new process before the program.
 */
static struct test_process *launch(GSubprocessLauncher *launcher,
				   const char *program,
				   const char *const *arguments,
				   GSpawnChildSetupFunc setup)
{
	struct test_process *process = g_new0(struct test_process, 1);
	GPtrArray *argv = g_ptr_array_new();
	char *path = rr_build_path(program);
	GError *error = NULL;

	g_ptr_array_add(argv, path);
	for (; arguments && *arguments; arguments++)
		g_ptr_array_add(argv, (char *)*arguments);
	g_ptr_array_add(argv, NULL);
	g_subprocess_launcher_set_child_setup(launcher, setup, NULL, NULL);
	process->handle = g_subprocess_launcher_spawnv(
		launcher, (const gchar *const *)argv->pdata, &error);
	g_object_unref(launcher);
	if (!process->handle)
		g_error("%s: %s", path, error->message);
	process->pid = atoi(g_subprocess_get_identifier(process->handle));
	g_ptr_array_unref(argv);
	g_free(path);
	return process;
}

struct test_process *test_start_process(const char *program,
					const char *const *arguments,
					bool read_output)
{
	struct test_process *process =
		launch(g_subprocess_launcher_new(
			       read_output ? G_SUBPROCESS_FLAGS_STDOUT_PIPE :
					     G_SUBPROCESS_FLAGS_NONE),
		       program, arguments, kill_with_parent);

	if (read_output)
		process->output = g_data_input_stream_new(
			g_subprocess_get_stdout_pipe(process->handle));
	return process;
}

static struct test_process *launch_logged(const char *program,
					  const char *const *arguments,
					  const char *log_file,
					  GSpawnChildSetupFunc setup)
{
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);

	g_subprocess_launcher_set_stdout_file_path(launcher, log_file);
	return launch(launcher, program, arguments, setup);
}

struct test_process *test_start_logged_process(const char *program,
					       const char *const *arguments,
					       const char *log_file)
{
	return launch_logged(program, arguments, log_file, kill_with_parent);
}

/* nohup(1) does the same. */
static void ignore_reload_signal(gpointer data)
{
	kill_with_parent(data);
	signal(SIGHUP, SIG_IGN);
}

struct test_process *test_start_ignoring_hangup(const char *program,
						const char *const *arguments,
						const char *log_file)
{
	return launch_logged(program, arguments, log_file,
			     ignore_reload_signal);
}

struct test_process *test_start_gateway(const char *settings_path)
{
	const char *arguments[] = { "--settings", settings_path, NULL };

	return test_start_process("ragwort-gateway", arguments, false);
}

void test_signal_process(struct test_process *process, int signal_number)
{
	g_subprocess_send_signal(process->handle, signal_number);
}

int test_wait_process(struct test_process *process)
{
	g_subprocess_wait(process->handle, NULL, NULL);
	if (!g_subprocess_get_if_exited(process->handle))
		return -1;
	return g_subprocess_get_exit_status(process->handle);
}

void test_drop_process(struct test_process *process)
{
	if (!process)
		return;
	g_subprocess_force_exit(process->handle);
	g_subprocess_wait(process->handle, NULL, NULL);
	g_clear_object(&process->output);
	g_object_unref(process->handle);
	g_free(process);
}

struct test_upstreams *test_start_upstreams(int n_replicas,
					    const char *const *arguments)
{
	struct test_upstreams *upstreams = g_new0(struct test_upstreams, 1);
	GPtrArray *argv = g_ptr_array_new();
	char *count = g_strdup_printf("--replicas=%d", n_replicas);
	char *line;

	g_ptr_array_add(argv, count);
	for (; arguments && *arguments; arguments++)
		g_ptr_array_add(argv, (char *)*arguments);
	g_ptr_array_add(argv, NULL);
	upstreams->process = test_start_process(
		"standin/upstream", (const char *const *)argv->pdata, true);
	while ((line = g_data_input_stream_read_line(upstreams->process->output,
						     NULL, NULL, NULL))) {
		unsigned int port = 0;
		bool ready = !strcmp(line, "ready");

		if (sscanf(line, "control %u", &port) == 1)
			upstreams->control_port = (uint16_t)port;
		else if (sscanf(line, "replica %*d %u", &port) == 1)
			upstreams->ports[upstreams->n_replicas++] =
				(uint16_t)port;
		g_free(line);
		if (ready)
			break;
	}
	if (upstreams->n_replicas != n_replicas)
		g_error("the upstream stand-in did not start");
	g_ptr_array_unref(argv);
	g_free(count);
	return upstreams;
}

void test_drop_upstreams(struct test_upstreams *upstreams)
{
	test_drop_process(upstreams->process);
	g_free(upstreams);
}

struct test_platform *test_start_platform(void)
{
	struct test_platform *platform = g_new0(struct test_platform, 1);
	unsigned int port = 0;
	char *line;

	platform->process = test_start_process("standin/platform", NULL, true);
	while (!platform->control_port &&
	       (line = g_data_input_stream_read_line(platform->process->output,
						     NULL, NULL, NULL))) {
		if (sscanf(line, "port %u", &port) == 1)
			platform->port = (uint16_t)port;
		else if (sscanf(line, "control %u", &port) == 1)
			platform->control_port = (uint16_t)port;
		g_free(line);
	}
	if (!platform->port || !platform->control_port)
		g_error("the platform stand-in did not start");
	return platform;
}

void test_drop_platform(struct test_platform *platform)
{
	test_drop_process(platform->process);
	g_free(platform);
}

struct test_http_reply *test_http_request(const char *method, uint16_t port,
					  const char *path,
					  const char *const *headers,
					  const char *body)
{
	struct test_http_reply *reply = g_new0(struct test_http_reply, 1);
	SoupSession *session =
		soup_session_new_with_options("proxy-resolver", NULL, "timeout",
					      TEST_TIMEOUT_MS / 1000, NULL);
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	SoupMessage *message = soup_message_new(method, url);
	GBytes *sent = g_bytes_new(body ? body : "", body ? strlen(body) : 0);
	GBytes *got;

	if (body)
		soup_message_set_request_body_from_bytes(
			message, "application/json", sent);
	for (; headers && *headers; headers += 2)
		soup_message_headers_append(
			soup_message_get_request_headers(message), headers[0],
			headers[1]);
	got = soup_session_send_and_read(session, message, NULL, NULL);
	if (got) {
		gsize length;
		const char *text = g_bytes_get_data(got, &length);

		reply->status = soup_message_get_status(message);
		reply->body = g_strndup(text ? text : "", length);
		reply->json = json_from_string(reply->body, NULL);
		reply->retry_after = g_strdup(soup_message_headers_get_one(
			soup_message_get_response_headers(message),
			"Retry-After"));
		g_bytes_unref(got);
	}
	g_bytes_unref(sent);
	g_object_unref(message);
	g_object_unref(session);
	g_free(url);
	return reply;
}

struct run_call {
	const char *method;
	uint16_t port;
	const char *path;
	const char *const *headers;
	const char *body;
	gint done;
};

static gpointer run_call(gpointer data)
{
	struct run_call *call = data;
	struct test_http_reply *reply =
		test_http_request(call->method, call->port, call->path,
				  call->headers, call->body);

	g_atomic_int_set(&call->done, 1);
	g_main_context_wakeup(NULL);
	return reply;
}

struct test_http_reply *
test_http_request_in_thread(const char *method, uint16_t port, const char *path,
			    const char *const *headers, const char *body)
{
	struct run_call call = { method, port, path, headers, body, 0 };
	GThread *thread = g_thread_new("caller", run_call, &call);

	while (!g_atomic_int_get(&call.done))
		g_main_context_iteration(NULL, TRUE);
	return g_thread_join(thread);
}

void test_drop_reply(struct test_http_reply *reply)
{
	if (reply->json)
		json_node_unref(reply->json);
	g_free(reply->body);
	g_free(reply->retry_after);
	g_free(reply);
}

const char *test_get_reply_string(const struct test_http_reply *reply,
				  const char *name)
{
	JsonNode *node = NULL;
	const char *text = NULL;

	if (reply->json && JSON_NODE_HOLDS_OBJECT(reply->json))
		node = json_object_get_member(json_node_get_object(reply->json),
					      name);
	if (node && JSON_NODE_HOLDS_VALUE(node))
		text = json_node_get_string(node);
	return text ? text : "";
}

void test_post_control(uint16_t control_port, const char *json)
{
	struct test_http_reply *reply =
		test_http_request("POST", control_port, "/control", NULL, json);

	if (reply->status != 200)
		g_error("control %s: status %u", json, reply->status);
	test_drop_reply(reply);
}

static int64_t read_count(const struct test_upstreams *upstreams, int replica,
			  const char *group, const char *name)
{
	struct test_http_reply *reply = test_http_request(
		"GET", upstreams->control_port, "/control/counts", NULL, NULL);
	JsonObject *object = json_node_get_object(reply->json);
	int64_t count = 0;

	if (replica >= 0)
		object = json_array_get_object_element(
			json_object_get_array_member(object, "replicas"),
			(guint)replica);
	if (group)
		object = json_object_get_object_member(object, group);
	if (json_object_has_member(object, name))
		count = json_object_get_int_member(object, name);
	test_drop_reply(reply);
	return count;
}

int64_t test_read_count(const struct test_upstreams *upstreams, int replica,
			const char *name)
{
	return read_count(upstreams, replica, NULL, name);
}

int64_t test_read_run_count(const struct test_upstreams *upstreams,
			    const char *key)
{
	return read_count(upstreams, -1, "runs", key);
}

static gboolean handle_timeout(gpointer data)
{
	g_error("timed out: no event within %d ms", TEST_TIMEOUT_MS);
	return G_SOURCE_REMOVE;
}

void test_run_until(const bool *done)
{
	guint timer = g_timeout_add(TEST_TIMEOUT_MS, handle_timeout, NULL);

	while (!*done)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(timer);
}

bool test_wait_until(bool (*condition)(void *data), void *data)
{
	for (int i = 0; i < TEST_TIMEOUT_MS / 20; i++) {
		if (condition(data))
			return true;
		g_usleep(20 * 1000);
	}
	return false;
}
