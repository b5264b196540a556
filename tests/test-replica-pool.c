/*
 * test-replica-pool.c - connections to replicas: made, kept, used again, ended.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "support/replica-fixture.h"

/* A kept connection that the replica has closed meanwhile is not used for
 * what may run once. */
static void test_closed_connection_is_noticed(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_serve_once(scene);

	raw_drop(peer);
	g_usleep(20000);
	replica_send(scene, "POST /2 HTTP/1.1\r\nHost: h\r\n\r\n", NULL, false,
		     false);
	peer = raw_accept(scene->listener);
	raw_expect(peer, "POST /2");
	raw_drop(peer);
	replica_drop_fixture(scene);
}

static void test_connection_close_is_heeded(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer = replica_send_and_accept(scene);

	raw_send(peer, REPLICA_OK "Connection: close\r\n\r\nab");
	raw_run_until(&scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_ANSWERED);
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

/* It is not used for longer than the replica says it keeps it. */
static void test_keep_alive_is_heeded(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *first;
	struct raw_peer *second;

	replica_send_get(scene);
	first = raw_accept(scene->listener);
	raw_expect(first, REPLICA_GET);
	raw_send(first, REPLICA_OK "Keep-Alive: timeout=1\r\n\r\nab");
	raw_run_until(&scene->replies, 1);
	raw_run_for(500000);
	replica_send_get(scene);
	second = raw_accept(scene->listener);
	raw_expect(second, REPLICA_GET);
	raw_drop(first);
	raw_drop(second);
	replica_drop_fixture(scene);
}

static void test_withdrawn(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer;
	uint64_t attempt = replica_send_get(scene);

	peer = raw_accept(scene->listener);
	raw_expect(peer, REPLICA_GET);
	rr_cancel_replica_attempt(scene->client, attempt);
	raw_expect_end(peer);
	assert_int_equal(scene->replies, 0);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

/* What has left cannot be recalled; what has not is as if never sent. */
static void test_recall(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	uint64_t attempt = replica_send_get(scene);

	assert_true(rr_cancel_unsent_attempt(scene->client, attempt));
	raw_run_for(30000);
	assert_int_equal(scene->replies, 0);
	replica_drop_fixture(scene);
	scene = replica_new_fixture();
	raw_drop(replica_send_and_accept(scene));
	assert_false(
		rr_cancel_unsent_attempt(scene->client, scene->next_attempt));
	replica_drop_fixture(scene);
}

/* What may run once is given up some time after its deadline. */
static void test_silence(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer;

	replica_send(scene, REPLICA_GET, NULL, false, false);
	peer = raw_accept(scene->listener);
	raw_expect(peer, REPLICA_GET);
	rr_tick_replica_client(scene->client,
			       g_get_monotonic_time() + 900 * 1000);
	assert_int_equal(scene->replies, 0);
	rr_tick_replica_client(scene->client,
			       g_get_monotonic_time() + 1600 * 1000);
	assert_int_equal(scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_NO_REPLY);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

static void test_open_and_forget(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peer;

	rr_preconnect_replica(scene->client, g_get_monotonic_time(), "r",
			      scene->listener->address);
	peer = raw_accept(scene->listener);
	raw_run_for(20000);
	replica_send_get(scene);
	raw_expect(peer, REPLICA_GET);
	raw_send(peer, REPLICA_OK "\r\nab");
	raw_run_until(&scene->replies, 1);
	rr_close_replica_conns(scene->client, "r");
	raw_expect_end(peer);
	raw_drop(peer);
	replica_drop_fixture(scene);
}

/*
 * Story: all instances lose power.  Their connections still count at the
 * replicas when they are back, so that a cap that was full of connections at
 * rest has no room for new ones.  Few are kept.
 */
static void test_few_are_kept_at_rest(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();
	struct raw_peer *peers[2];

	replica_send_get(scene);
	replica_send_get(scene);
	peers[0] = raw_accept(scene->listener);
	peers[1] = raw_accept(scene->listener);
	for (int i = 0; i < 2; i++) {
		raw_expect(peers[i], REPLICA_GET);
		raw_send(peers[i], REPLICA_OK "\r\nab");
		raw_run_until(&scene->replies, i + 1);
	}
	raw_expect_end(peers[1]);
	g_string_truncate(peers[0]->received, 0);
	replica_send_get(scene);
	raw_expect(peers[0], REPLICA_GET);
	raw_drop(peers[0]);
	raw_drop(peers[1]);
	replica_drop_fixture(scene);
}

static void test_probe(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();

	rr_probe_replica(scene->client, g_get_monotonic_time(), "r",
			 scene->listener->address);
	raw_run_until(&scene->probes, 1);
	assert_true(scene->probe_reached);
	raw_close_listener(scene->listener);
	rr_probe_replica(scene->client, g_get_monotonic_time(), "r",
			 scene->listener->address);
	for (int i = 0; scene->probes < 2 && i < 1000; i++) {
		raw_run_for(1000);
		rr_tick_replica_client(scene->client, g_get_monotonic_time());
	}
	assert_int_equal(scene->probes, 2);
	assert_false(scene->probe_reached);
	replica_drop_fixture(scene);
}

static void test_nobody_listens(void **state)
{
	struct replica_fixture *scene = replica_new_fixture();

	raw_close_listener(scene->listener);
	replica_send_get(scene);
	for (int i = 0; !scene->replies && i < 1000; i++) {
		raw_run_for(1000);
		rr_tick_replica_client(scene->client, g_get_monotonic_time());
	}
	assert_int_equal(scene->replies, 1);
	assert_int_equal(scene->outcome, RR_GATE_UNSENT);
	assert_true(scene->unreachable);
	replica_drop_fixture(scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_closed_connection_is_noticed),
		cmocka_unit_test(test_connection_close_is_heeded),
		cmocka_unit_test(test_keep_alive_is_heeded),
		cmocka_unit_test(test_withdrawn),
		cmocka_unit_test(test_recall),
		cmocka_unit_test(test_silence),
		cmocka_unit_test(test_open_and_forget),
		cmocka_unit_test(test_few_are_kept_at_rest),
		cmocka_unit_test(test_probe),
		cmocka_unit_test(test_nobody_listens),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
