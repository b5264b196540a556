/*
 * test-http-listener.c - HTTP listener against a peer that sends raw bytes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "net/http-listener.h"
#include "net/poller.h"
#include "support/port.h"
#include "support/process.h"
#include "support/raw-http.h"
#include "support/raw-peer.h"

#define GET(n) "GET /" n " HTTP/1.1\r\nHost: h\r\n\r\n"

struct fixture {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_http_listener *listener;
	char *address;
	GPtrArray *open; /* struct rr_caller_conn */
	GString *targets;
	GString *body;
	int requests;
	int half_closed;
	int disconnected;
};

static void on_request(void *data, struct rr_caller_conn *caller,
		       const struct rr_http_message *message)
{
	struct fixture *fixture = data;

	g_ptr_array_add(fixture->open, caller);
	g_string_append_printf(fixture->targets, "%s ", message->target);
	g_string_append_len(fixture->body, (const char *)message->body,
			    (gssize)message->body_length);
	fixture->requests++;
}

static void on_half_closed(void *data, struct rr_caller_conn *caller)
{
	((struct fixture *)data)->half_closed++;
}

static void on_disconnected(void *data, struct rr_caller_conn *caller)
{
	struct fixture *fixture = data;

	g_ptr_array_remove(fixture->open, caller);
	fixture->disconnected++;
}

static struct fixture *start_fixture(uint32_t max_connections)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct rr_http_listener_options options = {
		.max_connections = max_connections,
		.request = on_request,
		.half_closed = on_half_closed,
		.disconnected = on_disconnected,
		.data = fixture,
	};
	const struct rr_caller_limits limits = {
		.max_header_bytes = 1024,
		.max_body_bytes = 100,
		.header_timeout_ms = 1000,
		.idle_timeout_ms = 5000,
	};

	fixture->ctx = rr_new_context(NULL);
	fixture->poller = rr_new_poller(NULL);
	fixture->open = g_ptr_array_new();
	fixture->targets = g_string_new(NULL);
	fixture->body = g_string_new(NULL);
	fixture->address = g_strdup_printf("127.0.0.1:%u", test_reserve_port());
	options.poller = fixture->poller;
	options.address = fixture->address;
	fixture->listener = rr_new_http_listener(fixture->ctx, &options, NULL);
	assert_non_null(fixture->listener);
	rr_set_http_listener_limits(fixture->listener, &limits);
	return fixture;
}

static void stop_fixture(struct fixture *fixture)
{
	rr_drop_http_listener(fixture->listener);
	rr_drop_poller(fixture->poller);
	rr_drop_context(fixture->ctx);
	g_ptr_array_unref(fixture->open);
	g_string_free(fixture->targets, TRUE);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->address);
	g_free(fixture);
}

static void send_answer(struct fixture *fixture, uint16_t status,
			const char *body)
{
	const struct rr_http_header header = { "X-Mine", "1" };
	struct rr_http_response response = {
		.status = status,
		.headers = &header,
		.n_headers = 1,
		.body = (const uint8_t *)body,
		.length = strlen(body),
	};
	struct rr_caller_conn *caller = g_ptr_array_index(fixture->open, 0);

	g_ptr_array_remove_index(fixture->open, 0);
	rr_send_http_response(caller, &response);
}

static void test_request_and_answer(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	for (int i = 1; i <= 3; i++) {
		raw_send(peer, GET("a"));
		raw_run_until(&fixture->requests, i);
		send_answer(fixture, 200, "hello");
		raw_expect(peer, "HTTP/1.1 200 OK\r\nX-Mine: 1\r\n"
				 "Content-Length: 5\r\n\r\nhello");
		g_string_truncate(peer->received, 0);
	}
	raw_drop(peer);
	stop_fixture(fixture);
}

static void test_pipelined_requests_in_order(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_send(peer, GET("a") GET("b") GET("c"));
	raw_run_until(&fixture->requests, 1);
	raw_run_for(20000);
	/* The next request is read only after this one is answered. */
	assert_int_equal(fixture->requests, 1);
	send_answer(fixture, 200, "1");
	raw_run_until(&fixture->requests, 2);
	send_answer(fixture, 200, "2");
	raw_run_until(&fixture->requests, 3);
	send_answer(fixture, 200, "3");
	raw_expect(peer, "\r\n\r\n3");
	assert_string_equal(fixture->targets->str, "/a /b /c ");
	assert_true(strstr(peer->received->str, "\r\n1HTTP") <
		    strstr(peer->received->str, "\r\n2HTTP"));
	raw_drop(peer);
	stop_fixture(fixture);
}

/*
 * A pipelined request arrives in two pieces.  Guards against a connection that
 * is not read from again, so that the request times out.
 */
static void test_pipelined_request_in_two_pieces(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_send(peer, GET("a") "GET /b HTTP/1.1\r\nHo");
	raw_run_until(&fixture->requests, 1);
	raw_run_for(20000);
	send_answer(fixture, 200, "1");
	raw_expect(peer, "\r\n\r\n1");
	raw_send(peer, "st: h\r\n\r\n");
	raw_run_until(&fixture->requests, 2);
	send_answer(fixture, 200, "2");
	raw_expect(peer, "\r\n\r\n2");
	assert_string_equal(fixture->targets->str, "/a /b ");
	raw_drop(peer);
	stop_fixture(fixture);
}

/*
 * Guards against silent connections that displace one that is used: of idle
 * connections, those that were never used are closed first.
 */
static void test_used_connection_is_kept(void **state)
{
	struct fixture *fixture = start_fixture(2);
	struct raw_peer *used = raw_connect(fixture->address);
	struct raw_peer *silent;
	struct raw_peer *next;

	raw_send(used, GET("a"));
	raw_run_until(&fixture->requests, 1);
	send_answer(fixture, 200, "1");
	raw_expect(used, "\r\n\r\n1");
	silent = raw_connect(fixture->address);
	raw_run_for(300000);
	next = raw_connect(fixture->address);
	raw_expect_end(silent);
	raw_send(used, GET("b"));
	raw_run_until(&fixture->requests, 2);
	raw_drop(next);
	raw_drop(silent);
	raw_drop(used);
	stop_fixture(fixture);
}

static void test_fragmented_body(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_send(peer, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Len");
	raw_run_for(20000);
	raw_send(peer, "gth: 5\r\n\r\nab");
	raw_run_for(20000);
	assert_int_equal(fixture->requests, 0);
	raw_send(peer, "cde");
	raw_run_until(&fixture->requests, 1);
	assert_string_equal(fixture->body->str, "abcde");
	send_answer(fixture, 200, "");
	raw_expect(peer, "Content-Length: 0\r\n\r\n");
	raw_drop(peer);
	stop_fixture(fixture);
}

static void test_malformed_requests(void **state)
{
	static const struct {
		const char *text;
		const char *answer;
	} cases[] = {
		{ "NONSENSE\r\n\r\n", "HTTP/1.1 400 " },
		{ "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  "HTTP/1.1 400 " },
		{ "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
		  "HTTP/1.1 413 " },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *fixture = start_fixture(0);
		struct raw_peer *peer = raw_connect(fixture->address);

		raw_send(peer, cases[i].text);
		raw_expect(peer, cases[i].answer);
		raw_expect(peer, "Connection: close\r\n");
		assert_int_equal(fixture->requests, 0);
		raw_drop(peer);
		stop_fixture(fixture);
	}
}

static void test_long_headers(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);
	char *value = g_strnfill(2000, 'x');

	raw_send(peer, "GET /a HTTP/1.1\r\nHost: h\r\nLong: ");
	raw_send(peer, value);
	raw_send(peer, "\r\n\r\n");
	raw_expect(peer, "HTTP/1.1 431 ");
	raw_drop(peer);
	g_free(value);
	stop_fixture(fixture);
}

static void test_sends_continue(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_send(peer, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
		       "Expect: 100-continue\r\n\r\n");
	raw_expect(peer, "HTTP/1.1 100 Continue\r\n\r\n");
	raw_send(peer, "ab");
	raw_run_until(&fixture->requests, 1);
	send_answer(fixture, 200, "");
	raw_expect(peer, "HTTP/1.1 200 OK");
	raw_drop(peer);
	stop_fixture(fixture);
}

static void test_responses_without_body(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);
	char *text;

	raw_send(peer, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
	raw_run_until(&fixture->requests, 1);
	send_answer(fixture, 200, "never");
	text = raw_read_available(peer);
	assert_null(strstr(text, "never"));
	assert_null(strstr(text, "Content-Length"));
	g_free(text);
	raw_send(peer, GET("a"));
	raw_run_until(&fixture->requests, 2);
	send_answer(fixture, 304, "never");
	text = raw_read_available(peer);
	assert_non_null(strstr(text, "304"));
	assert_null(strstr(text, "never"));
	g_free(text);
	raw_drop(peer);
	stop_fixture(fixture);
}

/* A caller that closes its sending side still receives its answer. */
static void test_half_closed_caller(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_send(peer, GET("a"));
	raw_run_until(&fixture->requests, 1);
	raw_shutdown_write(peer);
	raw_run_until(&fixture->half_closed, 1);
	assert_int_equal(fixture->disconnected, 0);
	send_answer(fixture, 200, "late");
	raw_expect(peer, "late");
	raw_expect_end(peer);
	raw_drop(peer);
	stop_fixture(fixture);
}

static void test_caller_disconnects(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_send(peer, GET("a"));
	raw_run_until(&fixture->requests, 1);
	raw_reset(peer);
	raw_run_until(&fixture->disconnected, 1);
	assert_int_equal(fixture->open->len, 0);
	assert_int_equal(rr_count_caller_conns(fixture->listener), 0);
	raw_drop(peer);
	stop_fixture(fixture);
}

static void test_slow_headers(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_send(peer, "GET /a HTTP/1.1\r\nHo");
	raw_run_for(20000);
	rr_tick_http_listener(fixture->listener,
			      g_get_monotonic_time() + 500000);
	assert_int_equal(rr_count_caller_conns(fixture->listener), 1);
	rr_tick_http_listener(fixture->listener,
			      g_get_monotonic_time() + 1500000);
	raw_expect(peer, "HTTP/1.1 408 ");
	raw_drop(peer);
	stop_fixture(fixture);
}

static void test_idle_connections_time_out(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);

	raw_run_for(20000);
	rr_tick_http_listener(fixture->listener,
			      g_get_monotonic_time() + 4000000);
	assert_int_equal(rr_count_caller_conns(fixture->listener), 1);
	rr_tick_http_listener(fixture->listener,
			      g_get_monotonic_time() + 5500000);
	raw_expect_end(peer);
	assert_int_equal(peer->received->len, 0);
	raw_drop(peer);
	stop_fixture(fixture);
}

/*
 * The number of caller connections is limited, because otherwise a few callers
 * could use up all descriptors. A further connection waits until another one
 * ends; it is not closed.
 */
static void test_connection_limit(void **state)
{
	struct fixture *fixture = start_fixture(2);
	struct raw_peer *peers[3];

	for (int i = 0; i < 3; i++)
		peers[i] = raw_connect(fixture->address);
	raw_send(peers[2], GET("c"));
	raw_run_for(30000);
	assert_int_equal(rr_count_caller_conns(fixture->listener), 2);
	assert_int_equal(fixture->requests, 0);
	raw_drop(peers[0]);
	raw_run_for(30000);
	rr_tick_http_listener(fixture->listener,
			      g_get_monotonic_time() + 1000000);
	raw_run_until(&fixture->requests, 1);
	assert_int_equal(rr_count_caller_conns(fixture->listener), 2);
	raw_drop(peers[1]);
	raw_drop(peers[2]);
	stop_fixture(fixture);
}

/*
 * During a shutdown each answer closes its connection, and idle connections are
 * closed.
 */
static void test_draining(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *busy = raw_connect(fixture->address);
	struct raw_peer *idle = raw_connect(fixture->address);

	raw_send(busy, GET("a"));
	raw_run_until(&fixture->requests, 1);
	rr_drain_http_listener(fixture->listener);
	rr_close_idle_caller_conns(fixture->listener);
	raw_expect_end(idle);
	send_answer(fixture, 200, "bye");
	raw_expect(busy, "Connection: close\r\n\r\nbye");
	raw_expect_end(busy);
	raw_drop(busy);
	raw_drop(idle);
	stop_fixture(fixture);
}

/*
 * After the listener stops accepting, requests on existing connections are
 * still answered.
 */
static void test_stop_accepting(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *busy = raw_connect(fixture->address);

	raw_send(busy, GET("a"));
	raw_run_until(&fixture->requests, 1);
	rr_stop_accepting(fixture->listener);
	assert_true(raw_is_refused(fixture->address));
	send_answer(fixture, 200, "bye");
	raw_expect(busy, "bye");
	raw_drop(busy);
	stop_fixture(fixture);
}

/*
 * A caller that does not read its answer neither blocks others nor holds memory
 * forever.
 */
static void test_caller_that_does_not_read(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct raw_peer *peer = raw_connect(fixture->address);
	char *body = g_strnfill(16 * 1024 * 1024, 'b');

	raw_send(peer, GET("a") GET("b"));
	raw_run_until(&fixture->requests, 1);
	send_answer(fixture, 200, body);
	raw_run_for(30000);
	assert_int_equal(fixture->requests, 1);
	rr_tick_http_listener(fixture->listener,
			      g_get_monotonic_time() + 11000000);
	assert_int_equal(rr_count_caller_conns(fixture->listener), 0);
	raw_drop(peer);
	g_free(body);
	stop_fixture(fixture);
}

static void test_address_in_use(void **state)
{
	struct fixture *fixture = start_fixture(0);
	struct rr_http_listener_options options = {
		.poller = fixture->poller,
		.address = fixture->address,
		.request = on_request,
	};
	GError *error = NULL;

	assert_null(rr_new_http_listener(fixture->ctx, &options, &error));
	assert_non_null(error);
	g_error_free(error);
	stop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_and_answer),
		cmocka_unit_test(test_pipelined_requests_in_order),
		cmocka_unit_test(test_pipelined_request_in_two_pieces),
		cmocka_unit_test(test_used_connection_is_kept),
		cmocka_unit_test(test_fragmented_body),
		cmocka_unit_test(test_malformed_requests),
		cmocka_unit_test(test_long_headers),
		cmocka_unit_test(test_sends_continue),
		cmocka_unit_test(test_responses_without_body),
		cmocka_unit_test(test_half_closed_caller),
		cmocka_unit_test(test_caller_disconnects),
		cmocka_unit_test(test_slow_headers),
		cmocka_unit_test(test_idle_connections_time_out),
		cmocka_unit_test(test_connection_limit),
		cmocka_unit_test(test_draining),
		cmocka_unit_test(test_stop_accepting),
		cmocka_unit_test(test_caller_that_does_not_read),
		cmocka_unit_test(test_address_in_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
