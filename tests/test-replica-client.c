/*
 * test-replica-client.c - replica client against a peer that sends raw bytes:
 * each request is sent once, and only complete answers to it are reported.
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

static void test_complete_answer(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(fixture);

	assert_string_equal(fixture->body->str, "ab");
	assert_string_equal(fixture->signature, "s");
	/* The connection is kept and reused. */
	replica_send_get(fixture);
	raw_expect(peer, REPLICA_GET);
	raw_send(peer, REPLICA_OK "\r\ncd");
	raw_run_until(&fixture->replies, 2);
	assert_string_equal(fixture->body->str, "cd");
	assert_false(raw_has_connection(fixture->listener));
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/*
 * Guards against an answer that is lost because of a malformed load report in
 * it.
 */
static void test_load_report_with_an_answer(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(fixture);

	(void)state;
	raw_send(peer, REPLICA_OK "Load: 2,5,2,800\r\n\r\nab");
	raw_run_until(&fixture->replies, 1);
	assert_true(fixture->load.reported);
	assert_int_equal(fixture->load.pace_percent, 800);
	replica_send_get(fixture);
	raw_expect(peer, REPLICA_GET);
	raw_send(peer, REPLICA_OK "Load: busy\r\n\r\ncd");
	raw_run_until(&fixture->replies, 2);
	assert_false(fixture->load.reported);
	assert_int_equal(fixture->outcome, RR_GATE_ANSWERED);
	assert_int_equal(rr_counter_value(fixture->ctx, RR_N_BAD_LOAD_REPORTS),
			 1);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/*
 * Connections closed before any byte, within the headers, within a body with a
 * length, and within chunks.
 */
static void test_truncated_answer(void **state)
{
	static const char *const texts[] = {
		"",
		"HTTP/1.1 200 O",
		REPLICA_OK "\r\na",
		"HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n"
		"\r\n2\r\nab\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct replica_fixture *fixture = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(fixture);

		raw_send(peer, texts[i]);
		raw_drop(peer);
		raw_run_until(&fixture->replies, 1);
		assert_int_equal(fixture->outcome, RR_GATE_BROKEN);
		assert_false(fixture->unreachable);
		replica_drop_fixture(fixture);
	}
}

/*
 * An answer without a length is complete only at an orderly end of the stream:
 * after a reset it is unknown what is missing.
 */
static void test_answer_without_length(void **state)
{
	for (int reset = 0; reset < 2; reset++) {
		struct replica_fixture *fixture = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(fixture);

		raw_send(peer, "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nabc");
		raw_run_for(20000);
		if (reset)
			raw_reset(peer);
		else
			raw_shutdown_write(peer);
		raw_run_until(&fixture->replies, 1);
		assert_int_equal(fixture->outcome,
				 reset ? RR_GATE_BROKEN : RR_GATE_ANSWERED);
		raw_drop(peer);
		replica_drop_fixture(fixture);
	}
}

/*
 * Guards against a late second answer to the previous request where the next
 * answer is expected. It is recognised by its id and skipped.
 */
static void test_mismatched_answer_is_skipped(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(fixture);

	raw_send(peer, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\n"
		       "Content-Length: 2\r\n\r\nno" REPLICA_OK "\r\nab");
	raw_run_until(&fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_ANSWERED);
	assert_string_equal(fixture->body->str, "ab");
	/* The connection is closed, as more mismatched answers may follow. */
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

static void test_only_mismatched_answers(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(fixture);

	for (int i = 0; i < 3; i++)
		raw_send(peer, "HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\n"
			       "Content-Length: 2\r\n\r\nno");
	raw_run_until(&fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_BROKEN);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/*
 * Unexpected bytes after a complete answer: the answer is used, the connection
 * is closed.
 */
static void test_bytes_after_an_answer(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(fixture);

	raw_send(peer, REPLICA_OK "\r\nabHTTP/1.1 200 OK\r\n");
	raw_run_until(&fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

static void test_bytes_on_an_idle_connection(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(fixture);

	raw_send(peer, REPLICA_OK "\r\nxy");
	raw_expect_end(peer);
	replica_send_get(fixture);
	raw_drop(peer);
	peer = raw_accept(fixture->listener);
	raw_expect(peer, REPLICA_GET);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

static void test_invalid_answers(void **state)
{
	static const char *const texts[] = {
		"GARBAGE\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		/* A success without its signature is not accepted. */
		"HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nab",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct replica_fixture *fixture = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(fixture);

		raw_send(peer, texts[i]);
		raw_run_until(&fixture->replies, 1);
		assert_int_equal(fixture->outcome, RR_GATE_BROKEN);
		raw_drop(peer);
		replica_drop_fixture(fixture);
	}
}

/*
 * Guards against an answer with an invalid status that is passed on, or skipped
 * like an interim one, so that what follows it is taken for the answer.
 */
static void test_invalid_statuses(void **state)
{
	static const char *const statuses[] = { "000",	"099", "101",
						"20",	"600", "999",
						"1000", "2x0", "0200" };

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct replica_fixture *fixture = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(fixture);
		char *text = g_strdup_printf(
			"HTTP/1.1 %s Odd\r\nId: one\r\nSeal: s\r\n"
			"Content-Length: 0\r\n\r\n" REPLICA_OK "\r\nab",
			statuses[i]);

		raw_send(peer, text);
		raw_run_until(&fixture->replies, 1);
		if (fixture->outcome != RR_GATE_BROKEN)
			fail_msg("status %s is accepted as %u", statuses[i],
				 fixture->status);
		raw_expect_end(peer);
		g_free(text);
		raw_drop(peer);
		replica_drop_fixture(fixture);
	}
}

static void test_rejections(void **state)
{
	static const struct {
		const char *text;
		bool wrong_incarnation;
	} cases[] = {
		{ "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  false },
		{ "HTTP/1.1 429 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  false },
		{ "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct replica_fixture *fixture = replica_new_fixture();
		struct raw_peer *peer = replica_send_and_accept(fixture);

		raw_send(peer, cases[i].text);
		raw_run_until(&fixture->replies, 1);
		assert_int_equal(fixture->outcome, RR_GATE_REJECTED);
		assert_int_equal(fixture->wrong_incarnation,
				 cases[i].wrong_incarnation);
		raw_drop(peer);
		replica_drop_fixture(fixture);
	}
}

/*
 * A 503 without the Not-Run header is an ordinary answer: the request may have
 * run.
 */
static void test_503_without_not_run_header(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(fixture);

	raw_send(peer, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
	raw_run_until(&fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_ANSWERED);
	assert_int_equal(fixture->status, 503);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/*
 * Guards against an HTTP library that resends a request when a reused
 * connection closes, which runs a reservation twice. Each attempt must be sent
 * once, and the reply must say that it may have run.
 */
static void test_nothing_is_sent_twice(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(fixture);

	replica_send(fixture,
		     "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n",
		     "xy", false, false);
	raw_expect(peer, "POST /2");
	raw_drop(peer);
	raw_run_until(&fixture->replies, 2);
	assert_int_equal(fixture->outcome, RR_GATE_BROKEN);
	assert_false(raw_has_connection(fixture->listener));
	replica_drop_fixture(fixture);
}

/*
 * Guards against reuse of a connection on which a replica answered a long
 * request before reading its body: the rest of the body is still due on it, so
 * no other request may follow.
 */
static void test_answer_before_the_body_is_sent(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	char *body = g_strnfill(8 * 1024 * 1024, 'b');
	char *headers = g_strdup_printf("POST /2 HTTP/1.1\r\nHost: h\r\n"
					"Content-Length: %zu\r\n\r\n",
					strlen(body));
	struct raw_peer *peer;

	replica_send(fixture, headers, body, true, false);
	peer = raw_accept(fixture->listener);
	raw_expect(peer, "POST /2");
	raw_send(peer, REPLICA_OK "\r\nab");
	raw_run_until(&fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	g_free(headers);
	g_free(body);
	replica_drop_fixture(fixture);
}

static void test_head_request_and_interim_response(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer;

	replica_send(fixture, "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n", NULL, true,
		     true);
	peer = raw_accept(fixture->listener);
	raw_expect(peer, "HEAD /1");
	raw_send(peer, "HTTP/1.1 103 Early\r\n\r\n"
		       "HTTP/1.1 200 OK\r\nSeal: s\r\n"
		       "Content-Length: 500\r\n\r\n");
	raw_run_until(&fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_ANSWERED);
	/* The connection can still be used. */
	g_string_truncate(peer->received, 0);
	replica_send_get(fixture);
	raw_expect(peer, REPLICA_GET);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_complete_answer),
		cmocka_unit_test(test_load_report_with_an_answer),
		cmocka_unit_test(test_truncated_answer),
		cmocka_unit_test(test_answer_without_length),
		cmocka_unit_test(test_mismatched_answer_is_skipped),
		cmocka_unit_test(test_only_mismatched_answers),
		cmocka_unit_test(test_bytes_after_an_answer),
		cmocka_unit_test(test_bytes_on_an_idle_connection),
		cmocka_unit_test(test_invalid_answers),
		cmocka_unit_test(test_invalid_statuses),
		cmocka_unit_test(test_rejections),
		cmocka_unit_test(test_503_without_not_run_header),
		cmocka_unit_test(test_nothing_is_sent_twice),
		cmocka_unit_test(test_answer_before_the_body_is_sent),
		cmocka_unit_test(test_head_request_and_interim_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
