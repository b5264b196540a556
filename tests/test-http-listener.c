/*
 * test-http-listener.c - the server end of the data path, against raw bytes.
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

struct scene {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_http_listener *port;
	char *address;
	GPtrArray *open; /* struct rr_caller_conn */
	GString *targets;
	GString *body;
	int requests;
	int left;
	int gone;
};

static void take_request(void *data, struct rr_caller_conn *caller,
			 const struct rr_http_message *message)
{
	struct scene *scene = data;

	g_ptr_array_add(scene->open, caller);
	g_string_append_printf(scene->targets, "%s ", message->target);
	g_string_append_len(scene->body, (const char *)message->body,
			    (gssize)message->body_length);
	scene->requests++;
}

static void take_left(void *data, struct rr_caller_conn *caller)
{
	((struct scene *)data)->left++;
}

static void take_gone(void *data, struct rr_caller_conn *caller)
{
	struct scene *scene = data;

	g_ptr_array_remove(scene->open, caller);
	scene->gone++;
}

static struct scene *start(uint32_t max_connections)
{
	struct scene *scene = g_new0(struct scene, 1);
	struct rr_http_listener_options options = {
		.max_connections = max_connections,
		.request = take_request,
		.half_closed = take_left,
		.disconnected = take_gone,
		.data = scene,
	};
	const struct rr_caller_limits limits = {
		.max_header_bytes = 1024,
		.max_body_bytes = 100,
		.header_timeout_ms = 1000,
		.idle_timeout_ms = 5000,
	};

	scene->ctx = rr_new_context(NULL);
	scene->poller = rr_new_poller(NULL);
	scene->open = g_ptr_array_new();
	scene->targets = g_string_new(NULL);
	scene->body = g_string_new(NULL);
	scene->address = g_strdup_printf("127.0.0.1:%u", test_reserve_port());
	options.poller = scene->poller;
	options.address = scene->address;
	scene->port = rr_new_http_listener(scene->ctx, &options, NULL);
	assert_non_null(scene->port);
	rr_set_http_listener_limits(scene->port, &limits);
	return scene;
}

static void stop(struct scene *scene)
{
	rr_drop_http_listener(scene->port);
	rr_drop_poller(scene->poller);
	rr_drop_context(scene->ctx);
	g_ptr_array_unref(scene->open);
	g_string_free(scene->targets, TRUE);
	g_string_free(scene->body, TRUE);
	g_free(scene->address);
	g_free(scene);
}

static void answer(struct scene *scene, uint16_t status, const char *body)
{
	const struct rr_http_header header = { "X-Mine", "1" };
	struct rr_http_response reply = {
		.status = status,
		.headers = &header,
		.n_headers = 1,
		.body = (const uint8_t *)body,
		.length = strlen(body),
	};
	struct rr_caller_conn *caller = g_ptr_array_index(scene->open, 0);

	g_ptr_array_remove_index(scene->open, 0);
	rr_send_http_response(caller, &reply);
}

static void test_request_and_answer(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	for (int i = 1; i <= 3; i++) {
		raw_send(peer, GET("a"));
		raw_run_until(&scene->requests, i);
		answer(scene, 200, "hello");
		raw_expect(peer, "HTTP/1.1 200 OK\r\nX-Mine: 1\r\n"
				 "Content-Length: 5\r\n\r\nhello");
		g_string_truncate(peer->received, 0);
	}
	raw_drop(peer);
	stop(scene);
}

static void test_pipelined_requests_in_order(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	raw_send(peer, GET("a") GET("b") GET("c"));
	raw_run_until(&scene->requests, 1);
	raw_run_for(20000);
	/* One at a time: the next is read when this one is answered. */
	assert_int_equal(scene->requests, 1);
	answer(scene, 200, "1");
	raw_run_until(&scene->requests, 2);
	answer(scene, 200, "2");
	raw_run_until(&scene->requests, 3);
	answer(scene, 200, "3");
	raw_expect(peer, "\r\n\r\n3");
	assert_string_equal(scene->targets->str, "/a /b /c ");
	assert_true(strstr(peer->received->str, "\r\n1HTTP") <
		    strstr(peer->received->str, "\r\n2HTTP"));
	raw_drop(peer);
	stop(scene);
}

static void test_body_in_pieces(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	raw_send(peer, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Len");
	raw_run_for(20000);
	raw_send(peer, "gth: 5\r\n\r\nab");
	raw_run_for(20000);
	assert_int_equal(scene->requests, 0);
	raw_send(peer, "cde");
	raw_run_until(&scene->requests, 1);
	assert_string_equal(scene->body->str, "abcde");
	answer(scene, 200, "");
	raw_expect(peer, "Content-Length: 0\r\n\r\n");
	raw_drop(peer);
	stop(scene);
}

static void test_bad_requests(void **state)
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
		struct scene *scene = start(0);
		struct raw_peer *peer = raw_connect(scene->address);

		raw_send(peer, cases[i].text);
		raw_expect(peer, cases[i].answer);
		raw_expect(peer, "Connection: close\r\n");
		assert_int_equal(scene->requests, 0);
		raw_drop(peer);
		stop(scene);
	}
}

static void test_long_head(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);
	char *value = g_strnfill(2000, 'x');

	raw_send(peer, "GET /a HTTP/1.1\r\nHost: h\r\nLong: ");
	raw_send(peer, value);
	raw_send(peer, "\r\n\r\n");
	raw_expect(peer, "HTTP/1.1 431 ");
	raw_drop(peer);
	g_free(value);
	stop(scene);
}

static void test_asks_for_a_body(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	raw_send(peer, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
		       "Expect: 100-continue\r\n\r\n");
	raw_expect(peer, "HTTP/1.1 100 Continue\r\n\r\n");
	raw_send(peer, "ab");
	raw_run_until(&scene->requests, 1);
	answer(scene, 200, "");
	raw_expect(peer, "HTTP/1.1 200 OK");
	raw_drop(peer);
	stop(scene);
}

static void test_answers_without_body(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);
	char *text;

	raw_send(peer, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
	raw_run_until(&scene->requests, 1);
	answer(scene, 200, "never");
	text = raw_read_available(peer);
	assert_null(strstr(text, "never"));
	assert_null(strstr(text, "Content-Length"));
	g_free(text);
	raw_send(peer, GET("a"));
	raw_run_until(&scene->requests, 2);
	answer(scene, 304, "never");
	text = raw_read_available(peer);
	assert_non_null(strstr(text, "304"));
	assert_null(strstr(text, "never"));
	g_free(text);
	raw_drop(peer);
	stop(scene);
}

/* A caller that closes its sending side still waits for its answer. */
static void test_half_closed_caller(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	raw_send(peer, GET("a"));
	raw_run_until(&scene->requests, 1);
	raw_shutdown_write(peer);
	raw_run_until(&scene->left, 1);
	assert_int_equal(scene->gone, 0);
	answer(scene, 200, "late");
	raw_expect(peer, "late");
	raw_expect_end(peer);
	raw_drop(peer);
	stop(scene);
}

static void test_caller_is_gone(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	raw_send(peer, GET("a"));
	raw_run_until(&scene->requests, 1);
	raw_reset(peer);
	raw_run_until(&scene->gone, 1);
	assert_int_equal(scene->open->len, 0);
	assert_int_equal(rr_count_caller_conns(scene->port), 0);
	raw_drop(peer);
	stop(scene);
}

static void test_slow_headers(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	raw_send(peer, "GET /a HTTP/1.1\r\nHo");
	raw_run_for(20000);
	rr_tick_http_listener(scene->port, g_get_monotonic_time() + 500000);
	assert_int_equal(rr_count_caller_conns(scene->port), 1);
	rr_tick_http_listener(scene->port, g_get_monotonic_time() + 1500000);
	raw_expect(peer, "HTTP/1.1 408 ");
	raw_drop(peer);
	stop(scene);
}

static void test_idle_connections_end(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);

	raw_run_for(20000);
	rr_tick_http_listener(scene->port, g_get_monotonic_time() + 4000000);
	assert_int_equal(rr_count_caller_conns(scene->port), 1);
	rr_tick_http_listener(scene->port, g_get_monotonic_time() + 5500000);
	raw_expect_end(peer);
	assert_int_equal(peer->received->len, 0);
	raw_drop(peer);
	stop(scene);
}

/*
 * Story: connections of callers are bounded, or a few of them could take all
 * descriptors.  One more waits until another ends; it is not cut off.
 */
static void test_bound_on_connections(void **state)
{
	struct scene *scene = start(2);
	struct raw_peer *peers[3];

	for (int i = 0; i < 3; i++)
		peers[i] = raw_connect(scene->address);
	raw_send(peers[2], GET("c"));
	raw_run_for(30000);
	assert_int_equal(rr_count_caller_conns(scene->port), 2);
	assert_int_equal(scene->requests, 0);
	raw_drop(peers[0]);
	raw_run_for(30000);
	rr_tick_http_listener(scene->port, g_get_monotonic_time() + 1000000);
	raw_run_until(&scene->requests, 1);
	assert_int_equal(rr_count_caller_conns(scene->port), 2);
	raw_drop(peers[1]);
	raw_drop(peers[2]);
	stop(scene);
}

/* While stopping, each answer ends its connection, and those at rest go. */
static void test_closing(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *busy = raw_connect(scene->address);
	struct raw_peer *idle = raw_connect(scene->address);

	raw_send(busy, GET("a"));
	raw_run_until(&scene->requests, 1);
	rr_drain_http_listener(scene->port);
	rr_close_idle_caller_conns(scene->port);
	raw_expect_end(idle);
	answer(scene, 200, "bye");
	raw_expect(busy, "Connection: close\r\n\r\nbye");
	raw_expect_end(busy);
	raw_drop(busy);
	raw_drop(idle);
	stop(scene);
}

/* What was accepted is still answered when nobody else is. */
static void test_refusing(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *busy = raw_connect(scene->address);

	raw_send(busy, GET("a"));
	raw_run_until(&scene->requests, 1);
	rr_stop_accepting(scene->port);
	assert_true(raw_is_refused(scene->address));
	answer(scene, 200, "bye");
	raw_expect(busy, "bye");
	raw_drop(busy);
	stop(scene);
}

/* A caller that does not read does not hold up others, nor memory for ever. */
static void test_caller_that_does_not_read(void **state)
{
	struct scene *scene = start(0);
	struct raw_peer *peer = raw_connect(scene->address);
	char *body = g_strnfill(16 * 1024 * 1024, 'b');

	raw_send(peer, GET("a") GET("b"));
	raw_run_until(&scene->requests, 1);
	answer(scene, 200, body);
	raw_run_for(30000);
	assert_int_equal(scene->requests, 1);
	rr_tick_http_listener(scene->port, g_get_monotonic_time() + 11000000);
	assert_int_equal(rr_count_caller_conns(scene->port), 0);
	raw_drop(peer);
	g_free(body);
	stop(scene);
}

static void test_address_in_use(void **state)
{
	struct scene *scene = start(0);
	struct rr_http_listener_options options = {
		.poller = scene->poller,
		.address = scene->address,
		.request = take_request,
	};
	GError *error = NULL;

	assert_null(rr_new_http_listener(scene->ctx, &options, &error));
	assert_non_null(error);
	g_error_free(error);
	stop(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_and_answer),
		cmocka_unit_test(test_pipelined_requests_in_order),
		cmocka_unit_test(test_body_in_pieces),
		cmocka_unit_test(test_bad_requests),
		cmocka_unit_test(test_long_head),
		cmocka_unit_test(test_asks_for_a_body),
		cmocka_unit_test(test_answers_without_body),
		cmocka_unit_test(test_half_closed_caller),
		cmocka_unit_test(test_caller_is_gone),
		cmocka_unit_test(test_slow_headers),
		cmocka_unit_test(test_idle_connections_end),
		cmocka_unit_test(test_bound_on_connections),
		cmocka_unit_test(test_closing),
		cmocka_unit_test(test_refusing),
		cmocka_unit_test(test_caller_that_does_not_read),
		cmocka_unit_test(test_address_in_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
