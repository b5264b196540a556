/*
 * test-replica-port.c - the client end of the data path, against raw bytes:
 * each request leaves once, and only whole answers to it come back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "net/poller.h"
#include "net/replica-port.h"
#include "support/raw-peer.h"

#define GET "GET /1 HTTP/1.1\r\nHost: h\r\nId: one\r\n\r\n"
#define OK "HTTP/1.1 200 OK\r\nId: one\r\nSeal: s\r\nContent-Length: 2\r\n"

struct scene {
	struct rr_context *ctx;
	struct rr_poller *poller;
	struct rr_replica_port *port;
	struct raw_listener *listener;
	uint64_t next_attempt;
	int replies;
	enum rr_gate_outcome outcome;
	uint16_t status;
	bool unreachable;
	bool other_instance;
	char *seal;
	GString *body;
	int probes;
	bool reached;
};

static void take_reply(void *data, const struct rr_gate_reply *reply)
{
	struct scene *scene = data;

	scene->replies++;
	scene->outcome = reply->outcome;
	scene->status = reply->status;
	scene->unreachable = reply->unreachable;
	scene->other_instance = reply->other_instance;
	g_free(scene->seal);
	scene->seal = g_strdup(reply->seal);
	g_string_truncate(scene->body, 0);
	if (reply->length)
		g_string_append_len(scene->body, (const char *)reply->body,
				    (gssize)reply->length);
}

static void take_probe(void *data, const char *endpoint, bool reached)
{
	struct scene *scene = data;

	scene->probes++;
	scene->reached = reached;
}

static struct scene *start(void)
{
	struct scene *scene = g_new0(struct scene, 1);
	struct rr_replica_port_options options = {
		.request_id = "Id",
		.seal = "Seal",
		.not_run = "Not-Run",
		.replied = take_reply,
		.probed = take_probe,
		.data = scene,
	};

	scene->ctx = rr_new_context(NULL);
	scene->poller = rr_new_poller(NULL);
	scene->body = g_string_new(NULL);
	options.poller = scene->poller;
	scene->port = rr_new_replica_port(scene->ctx, &options);
	scene->listener = raw_listen();
	return scene;
}

static void stop(struct scene *scene)
{
	rr_drop_replica_port(scene->port);
	rr_drop_poller(scene->poller);
	rr_drop_context(scene->ctx);
	raw_drop_listener(scene->listener);
	g_string_free(scene->body, TRUE);
	g_free(scene->seal);
	g_free(scene);
}

static uint64_t send_bytes(struct scene *scene, const char *head,
			   const char *body, bool idempotent, bool no_body)
{
	struct rr_gate_send send = {
		.attempt = ++scene->next_attempt,
		.endpoint = "r",
		.address = scene->listener->address,
		.deadline_ms = 1000,
		.idempotent = idempotent,
		.kept_connections = 1,
	};
	struct rr_request_bytes request = {
		.head = head,
		.head_length = strlen(head),
		.body = (const uint8_t *)body,
		.body_length = body ? strlen(body) : 0,
		.request_id = "one",
		.no_body = no_body,
	};

	rr_send_to_replica(scene->port, g_get_monotonic_time(), &send,
			   &request);
	return send.attempt;
}

static uint64_t ask(struct scene *scene)
{
	return send_bytes(scene, GET, NULL, true, false);
}

/* Ask, and have the request on a new connection. */
static struct raw_peer *ask_and_accept(struct scene *scene)
{
	struct raw_peer *peer;

	ask(scene);
	peer = raw_accept(scene->listener);
	raw_expect(peer, GET);
	return peer;
}

/* Ask once more on a new connection or a kept one, and answer it well. */
static struct raw_peer *serve_once(struct scene *scene)
{
	struct raw_peer *peer;

	ask(scene);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "\r\n\r\n");
	raw_send(peer, OK "\r\nab");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	g_string_truncate(peer->in, 0);
	return peer;
}

static void test_whole_answer(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = serve_once(scene);

	assert_string_equal(scene->body->str, "ab");
	assert_string_equal(scene->seal, "s");
	/* The connection is kept and used again. */
	ask(scene);
	raw_expect(peer, GET);
	raw_send(peer, OK "\r\ncd");
	raw_turn_until(&scene->replies, 2);
	assert_string_equal(scene->body->str, "cd");
	assert_false(raw_has_connection(scene->listener));
	raw_drop(peer);
	stop(scene);
}

/* Broken off in the middle of the length, of chunks, or before any byte. */
static void test_cut_short(void **state)
{
	static const char *const texts[] = {
		"",
		"HTTP/1.1 200 O",
		OK "\r\na",
		"HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n"
		"\r\n2\r\nab\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct scene *scene = start();
		struct raw_peer *peer = ask_and_accept(scene);

		raw_send(peer, texts[i]);
		raw_drop(peer);
		raw_turn_until(&scene->replies, 1);
		assert_int_equal(scene->outcome, RR_GATE_BROKEN);
		assert_false(scene->unreachable);
		stop(scene);
	}
}

/*
 * An answer without a length is whole at an orderly end only: after a reset
 * nobody knows what is missing.
 */
static void test_answer_without_length(void **state)
{
	for (int reset = 0; reset < 2; reset++) {
		struct scene *scene = start();
		struct raw_peer *peer = ask_and_accept(scene);

		raw_send(peer, "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nabc");
		raw_turn_for(20000);
		if (reset)
			raw_reset(peer);
		else
			raw_finish(peer);
		raw_turn_until(&scene->replies, 1);
		assert_int_equal(scene->outcome,
				 reset ? RR_GATE_BROKEN : RR_GATE_ANSWERED);
		raw_drop(peer);
		stop(scene);
	}
}

/*
 * Story: a replica answers the request before once more, late, where the
 * next answer is expected.  It is told by its id and passed over.
 */
static void test_foreign_answer_is_passed_over(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = ask_and_accept(scene);

	raw_send(peer, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\n"
		       "Content-Length: 2\r\n\r\nno" OK "\r\nab");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	assert_string_equal(scene->body->str, "ab");
	/* What strays once may stray again. */
	raw_expect_end(peer);
	raw_drop(peer);
	stop(scene);
}

static void test_only_foreign_answers(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = ask_and_accept(scene);

	for (int i = 0; i < 3; i++)
		raw_send(peer, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\n"
			       "Content-Length: 2\r\n\r\nno");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_BROKEN);
	raw_drop(peer);
	stop(scene);
}

/* Bytes behind a whole answer belong to nobody: the answer counts, the
 * connection does not. */
static void test_bytes_behind_an_answer(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = ask_and_accept(scene);

	raw_send(peer, OK "\r\nabHTTP/1.1 200 OK\r\n");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	stop(scene);
}

static void test_bytes_on_an_idle_connection(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = serve_once(scene);

	raw_send(peer, OK "\r\nxy");
	raw_expect_end(peer);
	ask(scene);
	raw_drop(peer);
	peer = raw_accept(scene->listener);
	raw_expect(peer, GET);
	raw_drop(peer);
	stop(scene);
}

static void test_no_answer_at_all(void **state)
{
	static const char *const texts[] = {
		"GARBAGE\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		/* A success without its signature counts for nothing. */
		"HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nab",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct scene *scene = start();
		struct raw_peer *peer = ask_and_accept(scene);

		raw_send(peer, texts[i]);
		raw_turn_until(&scene->replies, 1);
		assert_int_equal(scene->outcome, RR_GATE_BROKEN);
		raw_drop(peer);
		stop(scene);
	}
}

static void test_refusals(void **state)
{
	static const struct {
		const char *text;
		bool other;
	} cases[] = {
		{ "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  false },
		{ "HTTP/1.1 429 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  false },
		{ "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct scene *scene = start();
		struct raw_peer *peer = ask_and_accept(scene);

		raw_send(peer, cases[i].text);
		raw_turn_until(&scene->replies, 1);
		assert_int_equal(scene->outcome, RR_GATE_REFUSED);
		assert_int_equal(scene->other_instance, cases[i].other);
		raw_drop(peer);
		stop(scene);
	}
}

/* 503 without the proof is an answer like any other: it may have run. */
static void test_no_proof(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = ask_and_accept(scene);

	raw_send(peer, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	assert_int_equal(scene->status, 503);
	raw_drop(peer);
	stop(scene);
}

static void test_nobody_listens(void **state)
{
	struct scene *scene = start();

	raw_close_listener(scene->listener);
	ask(scene);
	for (int i = 0; !scene->replies && i < 1000; i++) {
		raw_turn_for(1000);
		rr_tick_replica_port(scene->port, g_get_monotonic_time());
	}
	assert_int_equal(scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_UNSENT);
	assert_true(scene->unreachable);
	stop(scene);
}

/*
 * Story: a library that resends by itself when a kept connection closes runs
 * a reservation twice.  Here each attempt is sent once: the reply says that
 * it may have run.
 */
static void test_nothing_is_sent_twice(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = serve_once(scene);

	send_bytes(scene,
		   "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n",
		   "xy", false, false);
	raw_expect(peer, "POST /2");
	raw_drop(peer);
	raw_turn_until(&scene->replies, 2);
	assert_int_equal(scene->outcome, RR_GATE_BROKEN);
	assert_false(raw_has_connection(scene->listener));
	stop(scene);
}

/* A kept connection that the replica has closed meanwhile is not used for
 * what may run once. */
static void test_closed_connection_is_noticed(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = serve_once(scene);

	raw_drop(peer);
	g_usleep(20000);
	send_bytes(scene, "POST /2 HTTP/1.1\r\nHost: h\r\n\r\n", NULL, false,
		   false);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "POST /2");
	raw_drop(peer);
	stop(scene);
}

static void test_connection_close_is_heeded(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer = ask_and_accept(scene);

	raw_send(peer, OK "Connection: close\r\n\r\nab");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	stop(scene);
}

/* It is not used for longer than the replica says it keeps it. */
static void test_keep_alive_is_heeded(void **state)
{
	struct scene *scene = start();
	struct raw_peer *first;
	struct raw_peer *second;

	ask(scene);
	first = raw_accept(scene->listener);
	raw_expect(first, GET);
	raw_send(first, OK "Keep-Alive: timeout=1\r\n\r\nab");
	raw_turn_until(&scene->replies, 1);
	raw_turn_for(500000);
	ask(scene);
	second = raw_accept(scene->listener);
	raw_expect(second, GET);
	raw_drop(first);
	raw_drop(second);
	stop(scene);
}

/*
 * Story: a replica rejects a long request before it has read the body.  What
 * is left of the body is still due on that connection, so nothing else may
 * follow on it.
 */
static void test_answer_before_the_body_is_out(void **state)
{
	struct scene *scene = start();
	char *body = g_strnfill(8 * 1024 * 1024, 'b');
	char *head = g_strdup_printf("POST /2 HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %zu\r\n\r\n",
				     strlen(body));
	struct raw_peer *peer;

	send_bytes(scene, head, body, true, false);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "POST /2");
	raw_send(peer, OK "\r\nab");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	g_free(head);
	g_free(body);
	stop(scene);
}

static void test_head_and_interim(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer;

	send_bytes(scene, "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n", NULL, true,
		   true);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "HEAD /1");
	raw_send(peer, "HTTP/1.1 103 Early\r\n\r\n"
		       "HTTP/1.1 200 OK\r\nSeal: s\r\n"
		       "Content-Length: 500\r\n\r\n");
	raw_turn_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	/* And the connection is still in step. */
	g_string_truncate(peer->in, 0);
	ask(scene);
	raw_expect(peer, GET);
	raw_drop(peer);
	stop(scene);
}

static void test_withdrawn(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer;
	uint64_t attempt = ask(scene);

	peer = raw_accept(scene->listener);
	raw_expect(peer, GET);
	rr_withdraw_from_replica(scene->port, attempt);
	raw_expect_end(peer);
	assert_int_equal(scene->replies, 0);
	raw_drop(peer);
	stop(scene);
}

/* What may run once is given up some time after its deadline. */
static void test_silence(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer;

	send_bytes(scene, GET, NULL, false, false);
	peer = raw_accept(scene->listener);
	raw_expect(peer, GET);
	rr_tick_replica_port(scene->port, g_get_monotonic_time() + 900 * 1000);
	assert_int_equal(scene->replies, 0);
	rr_tick_replica_port(scene->port, g_get_monotonic_time() + 1600 * 1000);
	assert_int_equal(scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_SILENT);
	raw_drop(peer);
	stop(scene);
}

static void test_open_and_forget(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peer;

	rr_open_replica(scene->port, g_get_monotonic_time(), "r",
			scene->listener->address);
	peer = raw_accept(scene->listener);
	raw_turn_for(20000);
	ask(scene);
	raw_expect(peer, GET);
	raw_send(peer, OK "\r\nab");
	raw_turn_until(&scene->replies, 1);
	rr_forget_replica(scene->port, "r");
	raw_expect_end(peer);
	raw_drop(peer);
	stop(scene);
}

/*
 * Story: all instances lose power.  Their connections still count at the
 * replicas when they are back, so that a cap that was full of connections at
 * rest has no room for new ones.  Few are kept.
 */
static void test_few_are_kept_at_rest(void **state)
{
	struct scene *scene = start();
	struct raw_peer *peers[2];

	ask(scene);
	ask(scene);
	peers[0] = raw_accept(scene->listener);
	peers[1] = raw_accept(scene->listener);
	for (int i = 0; i < 2; i++) {
		raw_expect(peers[i], GET);
		raw_send(peers[i], OK "\r\nab");
		raw_turn_until(&scene->replies, i + 1);
	}
	raw_expect_end(peers[1]);
	g_string_truncate(peers[0]->in, 0);
	ask(scene);
	raw_expect(peers[0], GET);
	raw_drop(peers[0]);
	raw_drop(peers[1]);
	stop(scene);
}

static void test_probe(void **state)
{
	struct scene *scene = start();

	rr_probe_replica(scene->port, g_get_monotonic_time(), "r",
			 scene->listener->address);
	raw_turn_until(&scene->probes, 1);
	assert_true(scene->reached);
	raw_close_listener(scene->listener);
	rr_probe_replica(scene->port, g_get_monotonic_time(), "r",
			 scene->listener->address);
	for (int i = 0; scene->probes < 2 && i < 1000; i++) {
		raw_turn_for(1000);
		rr_tick_replica_port(scene->port, g_get_monotonic_time());
	}
	assert_int_equal(scene->probes, 2);
	assert_false(scene->reached);
	stop(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_answer),
		cmocka_unit_test(test_cut_short),
		cmocka_unit_test(test_answer_without_length),
		cmocka_unit_test(test_foreign_answer_is_passed_over),
		cmocka_unit_test(test_only_foreign_answers),
		cmocka_unit_test(test_bytes_behind_an_answer),
		cmocka_unit_test(test_bytes_on_an_idle_connection),
		cmocka_unit_test(test_no_answer_at_all),
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_no_proof),
		cmocka_unit_test(test_nobody_listens),
		cmocka_unit_test(test_nothing_is_sent_twice),
		cmocka_unit_test(test_closed_connection_is_noticed),
		cmocka_unit_test(test_connection_close_is_heeded),
		cmocka_unit_test(test_keep_alive_is_heeded),
		cmocka_unit_test(test_answer_before_the_body_is_out),
		cmocka_unit_test(test_head_and_interim),
		cmocka_unit_test(test_withdrawn),
		cmocka_unit_test(test_silence),
		cmocka_unit_test(test_open_and_forget),
		cmocka_unit_test(test_few_are_kept_at_rest),
		cmocka_unit_test(test_probe),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
