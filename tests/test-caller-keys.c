/*
 * test-caller-keys.c - tokens of callers and the certificate of the caller
 * server, on start and on reload.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <libsoup/soup.h>
#include <unistd.h>

#include "support/caller-fixture.h"
#include "support/process.h"

/*
 * LeakSanitizer of gcc 12 crashes at exit while it scans the thread-local
 * memory of the threads created by the TLS library. Without this interceptor it
 * skips that scan, and still detects leaks.
 */
const char *__asan_default_options(void);

const char *__asan_default_options(void)
{
	return "intercept_tls_get_addr=0";
}

static uint32_t get_status(struct caller_fixture *f, const char *path,
			   const char *authorization)
{
	const char *const headers[] = { "Authorization", authorization, NULL };
	struct test_http_reply *reply = test_http_request_in_thread(
		"GET", f->tcp_port, path, authorization ? headers : NULL, NULL);
	uint32_t status = reply->status;

	test_drop_reply(reply);
	return status;
}

static void test_requires_a_token(void **state)
{
	struct caller_fixture *f = *state;
	char *file = NULL;
	GError *error = NULL;

	close(g_file_open_tmp("ragwort-token-XXXXXX", &file, NULL));
	g_file_set_contents(file, "first-token\nsecond-token\n", -1, NULL);
	caller_reopen_server(f, 4096, file);
	assert_int_equal(get_status(f, "/status", NULL), 401);
	assert_int_equal(get_status(f, "/status", "Bearer "), 401);
	assert_int_equal(get_status(f, "/status", "Bearer first-toke"), 401);
	assert_int_equal(get_status(f, "/status", "Bearer first-tokenf"), 401);
	assert_int_equal(get_status(f, "/status", "Basic first-token"), 401);
	assert_int_equal(get_status(f, "/status", "Bearer first-token"), 200);
	assert_int_equal(get_status(f, "/status", "Bearer second-token"), 200);
	/* The health check of the load balancer sends no token. */
	assert_int_equal(get_status(f, "/healthz", NULL), 200);
	/*
	 * A token rotation, then an invalid file, which must not change the
	 * tokens.
	 */
	g_file_set_contents(file, "third-token\n", -1, NULL);
	assert_true(rr_reload_caller_server(f->ctx, f->server, &error));
	assert_int_equal(get_status(f, "/status", "Bearer first-token"), 401);
	g_file_set_contents(file, "\n", -1, NULL);
	assert_false(rr_reload_caller_server(f->ctx, f->server, &error));
	g_clear_error(&error);
	assert_int_equal(get_status(f, "/status", "Bearer third-token"), 200);
	unlink(file);
	g_free(file);
}

static void make_certificate(const char *file, const char *key,
			     const char *subject)
{
	const char *const argv[] = { "openssl",	 "req",	   "-x509",   "-newkey",
				     "rsa:2048", "-nodes", "-days",   "2",
				     "-subj",	 subject,  "-keyout", key,
				     "-out",	 file,	   NULL };
	GSubprocess *process = g_subprocess_newv(
		argv, G_SUBPROCESS_FLAGS_STDERR_SILENCE, NULL);

	assert_true(g_subprocess_wait_check(process, NULL, NULL));
	g_object_unref(process);
}

struct tls_call {
	uint16_t tcp_port;
	uint32_t status;
	char *subject;
	gint done;
};

static gboolean on_accept_certificate(SoupMessage *message,
				      GTlsCertificate *certificate,
				      GTlsCertificateFlags errors,
				      gpointer data)
{
	struct tls_call *call = data;

	call->subject = g_tls_certificate_get_subject_name(certificate);
	return TRUE;
}

static gpointer tls_call_thread(gpointer data)
{
	struct tls_call *call = data;
	SoupSession *session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	char *url =
		g_strdup_printf("https://127.0.0.1:%u/healthz", call->tcp_port);
	SoupMessage *message = soup_message_new("GET", url);
	GBytes *body;

	g_signal_connect(message, "accept-certificate",
			 G_CALLBACK(on_accept_certificate), call);
	body = soup_session_send_and_read(session, message, NULL, NULL);
	if (body)
		g_bytes_unref(body);
	call->status = soup_message_get_status(message);
	g_object_unref(message);
	g_object_unref(session);
	g_free(url);
	g_atomic_int_set(&call->done, 1);
	g_main_context_wakeup(NULL);
	return NULL;
}

static void check_subject(struct caller_fixture *f, const char *subject)
{
	struct tls_call call = { .tcp_port = f->tcp_port };
	GThread *thread = g_thread_new("tls", tls_call_thread, &call);

	while (!g_atomic_int_get(&call.done))
		g_main_context_iteration(NULL, TRUE);
	g_thread_join(thread);
	assert_int_equal(call.status, 200);
	assert_string_equal(call.subject, subject);
	g_free(call.subject);
}

/*
 * Guards against a server that needs a restart for a new certificate: an
 * operator replaces one that is about to expire, and new connections must use
 * the new one after a reload.
 */
static void test_serves_and_reloads_a_certificate(void **state)
{
	struct caller_fixture *f = *state;
	char *directory = g_dir_make_tmp("ragwort-tls-XXXXXX", NULL);
	char *file = g_build_filename(directory, "cert.pem", NULL);
	char *key = g_build_filename(directory, "key.pem", NULL);
	struct rr_caller_server_options options = {
		.address = "127.0.0.1:0",
		.max_body_bytes = 4096,
		.io_timeout_ms = 60000,
		.tls_certificate_file = file,
		.tls_key_file = key,
		.data = f,
	};
	GError *error = NULL;

	make_certificate(file, key, "/CN=first");
	rr_drop_caller_server(f->server);
	f->server = rr_new_caller_server(f->ctx, &options, &error);
	assert_null(error);
	f->tcp_port = rr_caller_server_tcp_port(f->server);
	check_subject(f, "CN=first");
	make_certificate(file, key, "/CN=second");
	check_subject(f, "CN=first");
	assert_true(rr_reload_caller_server(f->ctx, f->server, &error));
	check_subject(f, "CN=second");
	unlink(file);
	assert_false(rr_reload_caller_server(f->ctx, f->server, &error));
	g_clear_error(&error);
	check_subject(f, "CN=second");
	unlink(key);
	rmdir(directory);
	g_free(file);
	g_free(key);
	g_free(directory);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, caller_set_up, caller_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_requires_a_token),
		TEST(test_serves_and_reloads_a_certificate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
