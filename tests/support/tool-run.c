/*
 * tool-run.c - runs `ragwort` as a process from tests.
 */
#include "support/tool-run.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>

#include "support/paths.h"

#define MAX_ARGUMENTS 24

static void on_process_done(GObject *process, GAsyncResult *result,
			    gpointer data)
{
	struct tool_run *run = data;

	g_subprocess_communicate_utf8_finish(G_SUBPROCESS(process), result,
					     &run->out, &run->err, NULL);
	run->done = true;
}

struct tool_run *test_run_tool(const char *first, ...)
{
	const char *argv[MAX_ARGUMENTS] = { NULL };
	char *program = rr_build_path("ragwort");
	struct tool_run *run = g_new0(struct tool_run, 1);
	GSubprocess *process;
	va_list rest;
	int n = 0;

	argv[n++] = program;
	va_start(rest, first);
	for (const char *argument = first; argument;
	     argument = va_arg(rest, char *)) {
		assert_true(n < MAX_ARGUMENTS - 1);
		argv[n++] = argument;
	}
	va_end(rest);
	process = g_subprocess_newv(argv,
				    G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					    G_SUBPROCESS_FLAGS_STDERR_PIPE,
				    NULL);
	assert_non_null(process);
	g_subprocess_communicate_utf8_async(process, NULL, NULL,
					    on_process_done, run);
	test_run_until(&run->done);
	assert_true(g_subprocess_get_if_exited(process));
	run->exit_code = g_subprocess_get_exit_status(process);
	g_object_unref(process);
	g_free(program);
	return run;
}

void test_drop_tool_run(struct tool_run *run)
{
	g_free(run->out);
	g_free(run->err);
	g_free(run);
}

void test_expect_output(struct tool_run *run, int code, const char *out,
			const char *err)
{
	if (run->exit_code != code || (out && !strstr(run->out, out)) ||
	    (err && !strstr(run->err, err)))
		fail_msg("exit code %d, wanted %d, '%s' and '%s'\n%s\n%s",
			 run->exit_code, code, out ? out : "", err ? err : "",
			 run->out, run->err);
	test_drop_tool_run(run);
}

char *test_write_temp_file(const char *text)
{
	char *path;
	int fd = g_file_open_tmp("ragwort-test-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	g_close(fd, NULL);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

void test_remove_temp_file(char *path)
{
	g_remove(path);
	g_free(path);
}

int test_set_up_platform(void **state)
{
	struct platform_fixture *platform = g_new0(struct platform_fixture, 1);

	platform->standin = test_start_platform();
	platform->address =
		g_strdup_printf("127.0.0.1:%u", platform->standin->port);
	*state = platform;
	return 0;
}

int test_tear_down_platform(void **state)
{
	struct platform_fixture *platform = *state;

	if (platform->daemon) {
		g_subprocess_force_exit(platform->daemon);
		g_subprocess_wait(platform->daemon, NULL, NULL);
		g_object_unref(platform->daemon);
	}
	test_drop_platform(platform->standin);
	g_free(platform->address);
	g_free(platform);
	return 0;
}
