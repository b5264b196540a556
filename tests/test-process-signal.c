/*
 * test-process-signal.c - Process tests of signals that arrive while a gateway
 * starts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "support/port.h"
#include "support/process.h"
#include "support/raw-peer.h"
#include "support/tool-run.h"

/* Starts with a SIGHUP each, and the time between their moments. */
#define N_STARTS 40
#define SIGNAL_STEP_US 125
#define START_LIMIT_US (5 * G_USEC_PER_SEC)

static char *make_settings(const char *callers)
{
	char *ready = test_reserve_address();
	char *store = test_reserve_address();
	char *text = g_strdup_printf(
		"instance: gw-0\nzone: a\ncaller_address: \"%s\"\n"
		"ready_address: \"%s\"\nstore_address: \"%s\"\n"
		"stop_timeout_s: 6\n",
		callers, ready, store);

	g_free(store);
	g_free(ready);
	return text;
}

/*
 * Guards against a gateway that is ended, without a message, by a SIGHUP before
 * its handler is installed.  The start file is a pipe: the signal arrives while
 * the gateway reads it.
 */
static void test_reload_signal_during_start(void **state)
{
	char *directory = g_dir_make_tmp("ragwort-XXXXXX", NULL);
	char *path = g_build_filename(directory, "start", NULL);
	char *callers = test_reserve_address();
	char *text = make_settings(callers);
	struct test_process *gateway;
	int fd;

	(void)state;
	assert_int_equal(mkfifo(path, 0600), 0);
	gateway = test_start_gateway(path);
	fd = open(path, O_WRONLY | O_CLOEXEC);
	test_signal_process(gateway, SIGHUP);
	/* Time for the signal to take effect. */
	raw_run_for(50 * 1000);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	while (raw_is_refused(callers))
		raw_run_for(20 * 1000);
	test_signal_process(gateway, SIGTERM);
	assert_int_equal(test_wait_process(gateway), 0);
	test_drop_process(gateway);
	g_unlink(path);
	g_rmdir(directory);
	g_free(text);
	g_free(callers);
	g_free(path);
	g_free(directory);
}

static void wait_until_serving(const char *callers)
{
	int64_t end_us = g_get_monotonic_time() + START_LIMIT_US;

	while (raw_is_refused(callers)) {
		assert_true(g_get_monotonic_time() < end_us);
		raw_run_for(2 * 1000);
	}
}

static bool log_contains(const char *file, const char *word)
{
	char *text = NULL;
	bool found = g_file_get_contents(file, &text, NULL, NULL) &&
		     strstr(text, word);

	g_free(text);
	return found;
}

/*
 * Guards against a gateway that is ended by a SIGHUP at any moment from exec on,
 * although it was started with the signal ignored, and against one that then
 * ignores the signal for good.
 */
static void test_reload_signal_ignored_by_starter(void **state)
{
	char *callers = test_reserve_address();
	char *text = make_settings(callers);
	char *settings = test_write_temp_file(text);
	char *log_file = test_write_temp_file("");
	const char *arguments[] = { "--settings", settings, NULL };
	int64_t end_us;

	(void)state;
	for (int i = 0; i < N_STARTS; i++) {
		struct test_process *gateway = test_start_ignoring_hangup(
			"ragwort-gateway", arguments, log_file);

		g_usleep((gulong)i * SIGNAL_STEP_US);
		test_signal_process(gateway, SIGHUP);
		wait_until_serving(callers);
		test_signal_process(gateway, SIGHUP);
		end_us = g_get_monotonic_time() + START_LIMIT_US;
		while (!log_contains(log_file, "event=reload")) {
			assert_true(g_get_monotonic_time() < end_us);
			raw_run_for(2 * 1000);
		}
		test_drop_process(gateway);
	}
	test_remove_temp_file(log_file);
	test_remove_temp_file(settings);
	g_free(text);
	g_free(callers);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reload_signal_during_start),
		cmocka_unit_test(test_reload_signal_ignored_by_starter),
	};

	/* Writing to a gateway that has ended fails the test, not this. */
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
