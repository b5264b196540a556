/*
 * test-tool-daemon.c - tests of `ragwort` with a running instance: settings
 * applied without a restart, TLS and tokens.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support/paths.h"
#include "support/tool-run.h"

/* Reads a log until a line contains the part, and returns that line. */
static char *read_log_until(GDataInputStream *log, const char *part)
{
	char *line;

	while ((line = g_data_input_stream_read_line(log, NULL, NULL, NULL))) {
		if (strstr(line, part))
			return line;
		g_free(line);
	}
	fail_msg("the log ended without '%s'", part);
	return NULL;
}

/* Starts an instance and returns its log. */
static GDataInputStream *start_daemon(struct platform_fixture *platform,
				      const char *start_file)
{
	char *program = rr_build_path("ragwortd");

	platform->daemon =
		g_subprocess_new(G_SUBPROCESS_FLAGS_STDERR_PIPE, NULL, program,
				 "--settings", start_file, NULL);
	assert_non_null(platform->daemon);
	g_free(program);
	return g_data_input_stream_new(
		g_subprocess_get_stderr_pipe(platform->daemon));
}

static char *write_start_file(const struct platform_fixture *platform,
			      const char *extra_settings)
{
	char *text = g_strdup_printf("instance: i1\n"
				     "zone: z\n"
				     "site: nairobi\n"
				     "caller_address: 127.0.0.1:0\n"
				     "peer_address: 127.0.0.1:0\n"
				     "platform_address: %s\n"
				     "log: {level: info}\n"
				     "%s",
				     platform->address, extra_settings);
	char *path = test_write_temp_file(text);

	g_free(text);
	return path;
}

/*
 * Guards against log settings that are read at the start only.  An operator who
 * raises the log level during a fault would have to restart the instances, and
 * the fault would be gone before it is logged.
 */
static void test_log_settings_without_restart(void **state)
{
	struct platform_fixture *platform = *state;
	char *start_path = write_start_file(platform, "");
	char *base = g_strdup_printf(
		TEST_BASE_CONFIG_FORMAT "log: {format: json}\n", 64, 300, 10);
	char *path = test_write_temp_file(base);
	GDataInputStream *log = start_daemon(platform, start_path);
	char *line = read_log_until(log, "started");

	assert_int_not_equal(line[0], '{');
	g_free(line);
	test_expect_output(test_run_tool("config", "push", "--platform",
					 platform->address, "--file", path,
					 NULL),
			   0, "log, format: the start file's -> json", NULL);
	line = read_log_until(log, "log-settings");
	assert_int_equal(line[0], '{');
	g_free(line);
	g_subprocess_send_signal(platform->daemon, SIGTERM);
	assert_true(g_subprocess_wait_check(platform->daemon, NULL, NULL));
	g_object_unref(log);
	g_free(base);
	test_remove_temp_file(path);
	test_remove_temp_file(start_path);
}

/* Creates a self-signed certificate for 127.0.0.1. */
static void make_certificate(const char *file, const char *key_file)
{
	const char *const argv[] = {
		"openssl",   "req",	 "-x509",
		"-newkey",   "rsa:2048", "-nodes",
		"-days",     "2",	 "-subj",
		"/CN=entry", "-addext",	 "subjectAltName=IP:127.0.0.1",
		"-keyout",   key_file,	 "-out",
		file,	     NULL
	};
	GSubprocess *process = g_subprocess_newv(
		argv, G_SUBPROCESS_FLAGS_STDERR_SILENCE, NULL);

	assert_true(g_subprocess_wait_check(process, NULL, NULL));
	g_object_unref(process);
}

/* Returns the caller address that an instance logs at its start. */
static char *read_caller_address(GDataInputStream *log)
{
	char *line = read_log_until(log, "event=started");
	char *port = strstr(line, "caller_port=");
	char *address;

	assert_non_null(port);
	address = g_strdup_printf("127.0.0.1:%d",
				  atoi(port + strlen("caller_port=")));
	g_free(line);
	return address;
}

static struct tool_run *run_status(const char *address, const char *ca_file,
				   const char *token_file)
{
	char *ca = g_strdup_printf("--tls-ca=%s", ca_file ? ca_file : "");
	char *file = g_strdup_printf("--token-file=%s",
				     token_file ? token_file : "");
	const char *first_option = ca_file ? ca : file;
	struct tool_run *run;

	if (!ca_file && !token_file)
		first_option = NULL;
	run = test_run_tool("status", "--instances", address, first_option,
			    ca_file && token_file ? file : NULL, NULL);
	g_free(ca);
	g_free(file);
	return run;
}

/*
 * Makes a reload fail on the key file and reads the rest of the log: no line
 * may contain a token, right or wrong, or a part of the key.
 */
static void expect_no_secret_logged(struct platform_fixture *platform,
				    GDataInputStream *log, const char *key_file)
{
	char *line;
	bool failed = false;

	g_file_set_contents(key_file, "no-key-any-more\n", -1, NULL);
	g_subprocess_send_signal(platform->daemon, SIGHUP);
	while ((line = g_data_input_stream_read_line(log, NULL, NULL, NULL))) {
		if (strstr(line, "reload-failed") && !failed) {
			failed = true;
			g_subprocess_send_signal(platform->daemon, SIGTERM);
		}
		assert_null(strstr(line, "-token"));
		assert_null(strstr(line, "no-key-any-more"));
		assert_null(strstr(line, "PRIVATE KEY"));
		g_free(line);
	}
	assert_true(failed);
	assert_true(g_subprocess_wait_check(platform->daemon, NULL, NULL));
}

/*
 * Guards against a tool that does not verify the instance's certificate, and so
 * sends the site's token to any server at its address, and against an instance
 * that does not require the token, so that any caller can read the site's
 * state.
 */
static void test_tls_and_token(void **state)
{
	struct platform_fixture *platform = *state;
	char *certificate_file = test_write_temp_file("");
	char *key_file = test_write_temp_file("");
	char *other_certificate = test_write_temp_file("");
	char *token_file = test_write_temp_file("right-token\n");
	char *wrong_token_file = test_write_temp_file("wrong-token\n");
	char *extra_settings =
		g_strdup_printf("tls: {certificate_file: %s, key_file: %s}\n"
				"caller_token_file: %s\n",
				certificate_file, key_file, token_file);
	char *start_path = write_start_file(platform, extra_settings);
	GDataInputStream *log;
	char *address;

	make_certificate(other_certificate, key_file);
	make_certificate(certificate_file, key_file);
	log = start_daemon(platform, start_path);
	address = read_caller_address(log);
	test_expect_output(run_status(address, certificate_file, token_file), 1,
			   "not ready", NULL);
	test_expect_output(
		run_status(address, certificate_file, wrong_token_file), 3,
		"no answer: status 401", NULL);
	test_expect_output(run_status(address, certificate_file, NULL), 3,
			   "no answer: status 401", NULL);
	test_expect_output(run_status(address, other_certificate, token_file),
			   3, "Unacceptable TLS certificate", NULL);
	test_expect_output(run_status(address, NULL, token_file), 3,
			   "no answer", NULL);
	test_expect_output(run_status(address, key_file, token_file), 2, NULL,
			   "--tls-ca");
	expect_no_secret_logged(platform, log, key_file);
	g_object_unref(log);
	g_free(address);
	g_free(extra_settings);
	test_remove_temp_file(start_path);
	test_remove_temp_file(certificate_file);
	test_remove_temp_file(key_file);
	test_remove_temp_file(other_certificate);
	test_remove_temp_file(token_file);
	test_remove_temp_file(wrong_token_file);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_log_settings_without_restart, test_set_up_platform,
			test_tear_down_platform),
		cmocka_unit_test_setup_teardown(test_tls_and_token,
						test_set_up_platform,
						test_tear_down_platform),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
