/*
 * test-replica-client.c - the client end of the data path, against raw bytes:
 * each request leaves once, and only whole answers to it come back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/counters.h"
#include "support/replica-fixture.h"

static void test_whole_answer(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(scene);

	assert_string_equal(scene->body->str, "ab");
	assert_string_equal(scene->signature, "s");
	/* The connection is kept and used again. */
	replica_send_get(scene);
	raw_expect(peer, REPLICA_GET);
	raw_send(peer, REPLICA_OK "\r\ncd");
	raw_run_until(&scene->replies, 2);
	assert_string_equal(scene->body->str, "cd");
	assert_false(raw_has_connection(scene->listener));
	raw_drop(peer);
	replica_drop_fixture(scene);
}

/* Guards against an answer that is lost for what stands in a report. */
static void test_load_beside_an_answer(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(scene);

	(void)state;
	raw_send(peer, REPLICA_OK "Load: 2,5,2,800\r\n\r\nab");
	raw_run_until(&scene->replies, 1);
	assert_true(scene->load.reported);
	assert_int_equal(scene->load.pace_percent, 800);
	replica_send_get(scene);
	raw_expect(peer, REPLICA_GET);
	raw_send(peer, REPLICA_OK "Load: busy\r\n\r\ncd");
	raw_run_until(&scene->replies, 2);
	assert_false(scene->load.reported);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	assert_int_equal(rr_counter_value(scene->ctx, RR_N_BAD_LOAD_REPORTS),
			 1);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

/* Broken off in the middle of the length, of chunks, or before any byte. */
static void test_cut_short(void **state)
{
	static const char *const texts[] = {
		"",
		"HTTP/1.1 200 O",
		REPLICA_OK "\r\na",
		"HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n"
		"\r\n2\r\nab\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct replica_fixture *scene = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(scene);

		raw_send(peer, texts[i]);
		raw_drop(peer);
		raw_run_until(&scene->replies, 1);
		assert_int_equal(scene->outcome, RR_GATE_BROKEN);
		assert_false(scene->unreachable);
		replica_drop_fixture(scene);
	}
}

/*
 * An answer without a length is whole at an orderly end only: after a reset
 * nobody knows what is missing.
 */
static void test_answer_without_length(void **state)
{
	for (int reset = 0; reset < 2; reset++) {
		struct replica_fixture *scene = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(scene);

		raw_send(peer, "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nabc");
		raw_run_for(20000);
		if (reset)
			raw_reset(peer);
		else
			raw_shutdown_write(peer);
		raw_run_until(&scene->replies, 1);
		assert_int_equal(scene->outcome,
				 reset ? RR_GATE_BROKEN : RR_GATE_ANSWERED);
		raw_drop(peer);
		replica_drop_fixture(scene);
	}
}

/*
 * Story: a replica answers the request before once more, late, where the
 * next answer is expected.  It is told by its id and passed over.
 */
static void test_foreign_answer_is_passed_over(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(scene);

	raw_send(peer, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\n"
		       "Content-Length: 2\r\n\r\nno" REPLICA_OK "\r\nab");
	raw_run_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	assert_string_equal(scene->body->str, "ab");
	/* What strays once may stray again. */
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

static void test_only_foreign_answers(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(scene);

	for (int i = 0; i < 3; i++)
		raw_send(peer, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\n"
			       "Content-Length: 2\r\n\r\nno");
	raw_run_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_BROKEN);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

/* Bytes behind a whole answer belong to nobody: the answer counts, the
 * connection does not. */
static void test_bytes_behind_an_answer(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(scene);

	raw_send(peer, REPLICA_OK "\r\nabHTTP/1.1 200 OK\r\n");
	raw_run_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

static void test_bytes_on_an_idle_connection(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(scene);

	raw_send(peer, REPLICA_OK "\r\nxy");
	raw_expect_end(peer);
	replica_send_get(scene);
	raw_drop(peer);
	peer = raw_accept(scene->listener);
	raw_expect(peer, REPLICA_GET);
	raw_drop(peer);
	replica_drop_fixture(scene);
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
		struct replica_fixture *scene = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(scene);

		raw_send(peer, texts[i]);
		raw_run_until(&scene->replies, 1);
		assert_int_equal(scene->outcome, RR_GATE_BROKEN);
		raw_drop(peer);
		replica_drop_fixture(scene);
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
		struct replica_fixture *scene = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(scene);

		raw_send(peer, cases[i].text);
		raw_run_until(&scene->replies, 1);
		assert_int_equal(scene->outcome, RR_GATE_REJECTED);
		assert_int_equal(scene->wrong_incarnation, cases[i].other);
		raw_drop(peer);
		replica_drop_fixture(scene);
	}
}

/* 503 without the proof is an answer like any other: it may have run. */
static void test_no_proof(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(scene);

	raw_send(peer, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
	raw_run_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	assert_int_equal(scene->status, 503);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

/*
 * Story: a library that resends by itself when a kept connection closes runs
 * a reservation twice.  Here each attempt is sent once: the reply says that
 * it may have run.
 */
static void test_nothing_is_sent_twice(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(scene);

	replica_send(scene,
		     "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n",
		     "xy", false, false);
	raw_expect(peer, "POST /2");
	raw_drop(peer);
	raw_run_until(&scene->replies, 2);
	assert_int_equal(scene->outcome, RR_GATE_BROKEN);
	assert_false(raw_has_connection(scene->listener));
	replica_drop_fixture(scene);
}

/*
 * Story: a replica rejects a long request before it has read the body.  What
 * is left of the body is still due on that connection, so nothing else may
 * follow on it.
 */
static void test_answer_before_the_body_is_out(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	char *body = g_strnfill(8 * 1024 * 1024, 'b');
	char *head = g_strdup_printf("POST /2 HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %zu\r\n\r\n",
				     strlen(body));
	struct raw_peer *peer;

	replica_send(scene, head, body, true, false);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "POST /2");
	raw_send(peer, REPLICA_OK "\r\nab");
	raw_run_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	g_free(head);
	g_free(body);
	replica_drop_fixture(scene);
}

static void test_head_and_interim(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer;

	replica_send(scene, "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n", NULL, true,
		     true);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "HEAD /1");
	raw_send(peer, "HTTP/1.1 103 Early\r\n\r\n"
		       "HTTP/1.1 200 OK\r\nSeal: s\r\n"
		       "Content-Length: 500\r\n\r\n");
	raw_run_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	/* And the connection is still in step. */
	g_string_truncate(peer->received, 0);
	replica_send_get(scene);
	raw_expect(peer, REPLICA_GET);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_answer),
		cmocka_unit_test(test_load_beside_an_answer),
		cmocka_unit_test(test_cut_short),
		cmocka_unit_test(test_answer_without_length),
		cmocka_unit_test(test_foreign_answer_is_passed_over),
		cmocka_unit_test(test_only_foreign_answers),
		cmocka_unit_test(test_bytes_behind_an_answer),
		cmocka_unit_test(test_bytes_on_an_idle_connection),
		cmocka_unit_test(test_no_answer_at_all),
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_no_proof),
		cmocka_unit_test(test_nothing_is_sent_twice),
		cmocka_unit_test(test_answer_before_the_body_is_out),
		cmocka_unit_test(test_head_and_interim),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
