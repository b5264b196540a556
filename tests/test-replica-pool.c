/*
 * test-replica-pool.c - connections to replicas: opened, kept, reused, closed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/replica-fixture.h"

/*
 * A kept connection that the replica has closed is not reused for a request
 * that is not idempotent.
 */
static void test_closed_connection_is_noticed(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(fixture);

	raw_drop(peer);
	g_usleep(20000);
	replica_send(fixture, "POST /2 HTTP/1.1\r\nHost: h\r\n\r\n", NULL,
		     false, false);
	peer = raw_accept(fixture->listener);
	raw_expect(peer, "POST /2");
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/*
 * Guards against a closed connection that is dropped, and not reported, by a
 * request that comes before its end of stream is read.
 */
static void test_closed_connection_is_reported(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(fixture);

	raw_drop(peer);
	g_usleep(20000);
	replica_send(fixture, "POST /2 HTTP/1.1\r\nHost: h\r\n\r\n", NULL,
		     false, false);
	assert_int_equal(fixture->idle_closes, 0);
	assert_int_equal(rr_replica_client_wake_us(fixture->client), 0);
	rr_tick_replica_client(fixture->client, g_get_monotonic_time());
	assert_int_equal(fixture->idle_closes, 1);
	replica_drop_fixture(fixture);
}

static void test_connection_close_is_obeyed(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(fixture);

	raw_send(peer, REPLICA_OK "Connection: close\r\n\r\nab");
	raw_run_until(&fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/* A connection is not reused for longer than the replica says it keeps it. */
static void test_keep_alive_timeout_is_obeyed(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *first;
	struct raw_peer *second;

	replica_send_get(fixture);
	first = raw_accept(fixture->listener);
	raw_expect(first, REPLICA_GET);
	raw_send(first, REPLICA_OK "Keep-Alive: timeout=1\r\n\r\nab");
	raw_run_until(&fixture->replies, 1);
	raw_run_for(500000);
	replica_send_get(fixture);
	second = raw_accept(fixture->listener);
	raw_expect(second, REPLICA_GET);
	raw_drop(first);
	raw_drop(second);
	replica_drop_fixture(fixture);
}

static void test_cancelled_attempt(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer;
	uint64_t attempt = replica_send_get(fixture);

	peer = raw_accept(fixture->listener);
	raw_expect(peer, REPLICA_GET);
	rr_cancel_replica_attempt(fixture->client, attempt);
	raw_expect_end(peer);
	assert_int_equal(fixture->replies, 0);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/*
 * An attempt that was sent cannot be taken back; one that was not counts as
 * never sent.
 */
static void test_cancel_unsent_attempt(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	uint64_t attempt = replica_send_get(fixture);

	assert_true(rr_cancel_unsent_attempt(fixture->client, attempt));
	raw_run_for(30000);
	assert_int_equal(fixture->replies, 0);
	replica_drop_fixture(fixture);
	fixture = replica_new_fixture();
	raw_drop(replica_send_and_accept(fixture));
	assert_false(rr_cancel_unsent_attempt(fixture->client,
					      fixture->next_attempt));
	replica_drop_fixture(fixture);
}

/*
 * A request that is not idempotent is abandoned some time after its deadline.
 */
static void test_reply_timeout(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer;

	replica_send(fixture, REPLICA_GET, NULL, false, false);
	peer = raw_accept(fixture->listener);
	raw_expect(peer, REPLICA_GET);
	rr_tick_replica_client(fixture->client,
			       g_get_monotonic_time() + 900 * 1000);
	assert_int_equal(fixture->replies, 0);
	rr_tick_replica_client(fixture->client,
			       g_get_monotonic_time() + 1600 * 1000);
	assert_int_equal(fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_NO_REPLY);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

static void test_preconnect_and_close(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peer;

	rr_preconnect_replica(fixture->client, g_get_monotonic_time(), "r",
			      fixture->listener->address);
	peer = raw_accept(fixture->listener);
	raw_run_for(20000);
	replica_send_get(fixture);
	raw_expect(peer, REPLICA_GET);
	raw_send(peer, REPLICA_OK "\r\nab");
	raw_run_until(&fixture->replies, 1);
	rr_close_replica_conns(fixture->client, "r");
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(fixture);
}

/*
 * After a power failure of all instances, the replicas still count their old
 * connections.  If these had filled the connection cap while idle, no new
 * connection would be accepted.  So only few idle connections are kept.
 */
static void test_idle_connections_are_limited(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();
	struct raw_peer *peers[2];

	replica_send_get(fixture);
	replica_send_get(fixture);
	peers[0] = raw_accept(fixture->listener);
	peers[1] = raw_accept(fixture->listener);
	for (int i = 0; i < 2; i++) {
		raw_expect(peers[i], REPLICA_GET);
		raw_send(peers[i], REPLICA_OK "\r\nab");
		raw_run_until(&fixture->replies, i + 1);
	}
	raw_expect_end(peers[1]);
	g_string_truncate(peers[0]->received, 0);
	replica_send_get(fixture);
	raw_expect(peers[0], REPLICA_GET);
	raw_drop(peers[0]);
	raw_drop(peers[1]);
	replica_drop_fixture(fixture);
}

static void test_probe(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();

	rr_probe_replica(fixture->client, g_get_monotonic_time(), "r",
			 fixture->listener->address);
	raw_run_until(&fixture->probes, 1);
	assert_true(fixture->probe_reached);
	raw_close_listener(fixture->listener);
	rr_probe_replica(fixture->client, g_get_monotonic_time(), "r",
			 fixture->listener->address);
	for (int i = 0; fixture->probes < 2 && i < 1000; i++) {
		raw_run_for(1000);
		rr_tick_replica_client(fixture->client, g_get_monotonic_time());
	}
	assert_int_equal(fixture->probes, 2);
	assert_false(fixture->probe_reached);
	replica_drop_fixture(fixture);
}

static void test_connection_refused(void **state)
{
	struct replica_fixture *fixture = replica_new_fixture();

	raw_close_listener(fixture->listener);
	replica_send_get(fixture);
	for (int i = 0; !fixture->replies && i < 1000; i++) {
		raw_run_for(1000);
		rr_tick_replica_client(fixture->client, g_get_monotonic_time());
	}
	assert_int_equal(fixture->replies, 1);
	assert_int_equal(fixture->outcome, RR_GATE_UNSENT);
	assert_true(fixture->unreachable);
	replica_drop_fixture(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_closed_connection_is_noticed),
		cmocka_unit_test(test_closed_connection_is_reported),
		cmocka_unit_test(test_connection_close_is_obeyed),
		cmocka_unit_test(test_keep_alive_timeout_is_obeyed),
		cmocka_unit_test(test_cancelled_attempt),
		cmocka_unit_test(test_cancel_unsent_attempt),
		cmocka_unit_test(test_reply_timeout),
		cmocka_unit_test(test_preconnect_and_close),
		cmocka_unit_test(test_idle_connections_are_limited),
		cmocka_unit_test(test_probe),
		cmocka_unit_test(test_connection_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
