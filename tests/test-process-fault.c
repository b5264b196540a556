/*
 * test-process-fault.c - Process tests of failures around an instance.
 *
 * The failures are upstreams that close connections or truncate replies,
 * callers that disconnect, and a platform that is unavailable.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "support/deployment.h"

static struct test_deployment *start_deployment(int n_instances)
{
	struct test_deployment_options options = {
		.n_shards = 3,
		.replicas_per_shard = 1,
		.n_zones = 1,
		.n_instances = n_instances,
		.service_settings = "    deadline_ms: 5000\n"
				    "    attempt_timeout_ms: 5000\n",
	};

	return test_start_deployment(&options);
}

static void control_upstreams(struct test_deployment *d, const char *json)
{
	test_post_control(d->upstreams[0]->control_port, json);
}

/*
 * Guards against a reservation that runs twice.  The upstream runs it and
 * closes the connection before the reply.  The caller gets the outcome
 * "unknown" and repeats the request with the same id, at the same and at
 * another instance.
 */
static void test_connection_closed_after_reservation_runs_once(void **state)
{
	struct test_deployment *d = start_deployment(2);
	char *id = test_new_idempotency_key("hang-up");

	control_upstreams(d, "{\"cut\":\"hang-up\"}");
	for (int i = 0; i < 4; i++) {
		struct test_http_reply *reply;

		if (i == 2)
			control_upstreams(d, "{\"cut\":\"none\"}");
		reply = test_reserve(d, i % 2, id);
		assert_int_equal(reply->status, 504);
		assert_string_equal(test_get_reply_string(reply, "outcome"),
				    "unknown");
		assert_non_null(reply->retry_after);
		test_drop_reply(reply);
	}
	assert_int_equal(test_read_run_count(d->upstreams[0], id), 1);
	g_free(id);
	test_drop_deployment(d);
}

/*
 * Guards against running a repeated reservation.  The same id is sent to two
 * instances; the second must return the result of the first.
 */
static void test_repeated_reservation_is_replayed(void **state)
{
	struct test_deployment *d = start_deployment(2);
	char *id = test_new_idempotency_key("replayed");
	struct test_http_reply *first = test_reserve(d, 0, id);
	struct test_http_reply *second = test_reserve(d, 1, id);
	JsonObject *object;

	assert_int_equal(first->status, 200);
	assert_int_equal(second->status, 200);
	object = json_node_get_object(second->json);
	assert_true(json_object_get_boolean_member(object, "replayed"));
	assert_true(json_node_equal(
		json_object_get_member(json_node_get_object(first->json),
				       "result"),
		json_object_get_member(object, "result")));
	assert_int_equal(test_read_run_count(d->upstreams[0], id), 1);
	test_drop_reply(first);
	test_drop_reply(second);
	g_free(id);
	test_drop_deployment(d);
}

static bool is_work_cancelled(void *data)
{
	struct test_deployment *d = data;

	for (int shard = 0; shard < d->options.n_shards; shard++) {
		if (!test_read_count(d->upstreams[0], shard, "cancelled"))
			return false;
	}
	return true;
}

/*
 * Guards against upstreams that continue to work for a caller that has
 * disconnected.  The search runs at every shard; each must be cancelled.
 */
static void test_caller_disconnect_cancels_work(void **state)
{
	static const char request[] =
		"POST " TEST_SERVICE "/search HTTP/1.1\r\nHost: x\r\n"
		"Content-Length: 11\r\n\r\n{\"query\":1}";
	struct test_deployment *d = start_deployment(1);
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	struct test_http_reply *reply = test_search(d, 0);

	/* The index versions are now known, so all shards are queried at once. */
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	control_upstreams(d, "{\"service_ms\":20000}");
	connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", d->caller_ports[0], NULL, NULL);
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), request,
		strlen(request), NULL, NULL, NULL);
	assert_true(test_wait_until(test_is_first_shard_busy, d));
	g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
	assert_true(test_wait_until(is_work_cancelled, d));
	g_object_unref(connection);
	g_object_unref(client);
	test_drop_deployment(d);
}

/*
 * Guards against an answer with part of a shard's rows.  The upstream of one
 * shard sends a truncated body; the answer must name that shard as missing.
 */
static void test_truncated_body_is_reported(void **state)
{
	struct test_deployment *d = start_deployment(1);
	struct test_http_reply *reply;

	control_upstreams(d, "{\"replica\":1,\"cut\":\"truncate\"}");
	reply = test_search(d, 0);
	assert_int_equal(test_check_search(d, reply), 1);
	assert_string_equal(test_missing_reason(reply), "truncated");
	test_drop_reply(reply);
	test_drop_deployment(d);
}

/*
 * Guards against a platform outage that affects reads or loses reservations.
 * Searches continue with the last configuration.  A reservation cannot be
 * claimed: it is rejected as not run, with Retry-After, and must not reach an
 * upstream.
 */
static void check_reads_without_platform(const char *outage)
{
	struct test_deployment *d = start_deployment(2);
	struct test_http_reply *reply;
	char *id = test_new_idempotency_key("platform-down");

	test_post_control(d->platform->control_port, outage);
	for (int i = 0; i < 4; i++) {
		reply = test_search(d, i % 2);
		assert_int_equal(test_check_search(d, reply), 0);
		test_drop_reply(reply);
	}
	reply = test_reserve(d, 0, id);
	assert_int_equal(reply->status, 503);
	assert_string_equal(test_get_reply_string(reply, "outcome"), "not-run");
	assert_non_null(reply->retry_after);
	test_drop_reply(reply);
	assert_int_equal(test_read_run_count(d->upstreams[0], id), 0);
	test_post_control(d->platform->control_port, "{\"outage\":false}");
	g_free(id);
	test_drop_deployment(d);
}

static void test_platform_refuses_connections(void **state)
{
	check_reads_without_platform("{\"outage\":\"refuse\"}");
}

static void test_platform_closes_connections(void **state)
{
	check_reads_without_platform("{\"outage\":true}");
}

struct repeated_request {
	struct test_deployment *d;
	const char *id;
	int instance;
};

/* Repeat the request, as a caller does after "unknown" or "not run". */
static bool is_reservation_complete(void *data)
{
	struct repeated_request *repeated_request = data;
	struct test_http_reply *reply =
		test_reserve(repeated_request->d, repeated_request->instance,
			     repeated_request->id);
	bool complete = reply->status == 200;

	assert_true(complete || reply->status == 503 || reply->status == 504);
	repeated_request->instance ^= 1;
	test_drop_reply(reply);
	return complete;
}

/*
 * Guards against a reservation that runs twice or never when the platform's
 * reply to a claim is lost.  The caller's load balancer sends the reservation
 * to two instances.  An instance that treats the lost reply as "not written"
 * claims again; one that treats it as "written by another instance" leaves the
 * reservation to no instance.  It must run exactly once, and a caller that
 * keeps repeating the request must get its result.
 */
static void test_lost_claim_replies_run_once(void **state)
{
	struct test_deployment *d = start_deployment(2);

	for (int lost = 0; lost < 6; lost++) {
		char *name = g_strdup_printf("lost-claim-%d", lost);
		char *id = test_new_idempotency_key(name);
		char *json =
			g_strdup_printf("{\"lose_replies\":%d}", 1 + lost % 3);
		struct repeated_request repeated_request = { d, id, 0 };
		struct test_pending_request *pending[2];

		test_post_control(d->platform->control_port, json);
		for (int i = 0; i < 2; i++)
			pending[i] = test_start_request(
				d->caller_ports[i], TEST_SERVICE "/reserve",
				"Idempotency-Key", id, "{\"key\":0}");
		for (int i = 0; i < 2; i++) {
			struct test_http_reply *reply =
				test_finish_request(pending[i]);

			assert_true(reply->status == 200 ||
				    reply->status == 503 ||
				    reply->status == 504);
			test_drop_reply(reply);
		}
		test_post_control(d->platform->control_port,
				  "{\"lose_replies\":0}");
		assert_true(test_wait_until(is_reservation_complete,
					    &repeated_request));
		assert_int_equal(test_read_run_count(d->upstreams[0], id), 1);
		g_free(json);
		g_free(id);
		g_free(name);
	}
	test_drop_deployment(d);
}

/*
 * Guards against an instance that fails when its zone is partitioned from the
 * platform, its peers and the other zone's upstreams.  Searches return the own
 * zone's shards and name the others as missing; reservations are rejected as
 * not run.  After the partition all shards are covered again.
 */
static void test_partitioned_zone(void **state)
{
	struct test_deployment_options options = {
		.n_shards = 4,
		.replicas_per_shard = 1,
		.n_zones = 2,
		.n_instances = 2,
		.service_settings = "    deadline_ms: 1500\n",
	};
	struct test_deployment *d = test_start_deployment(&options);
	char *id = test_new_idempotency_key("zone-cut-off");
	int64_t revision = test_read_metric(d, 0, "config_revision");
	struct test_http_reply *reply;

	assert_true(test_wait_until(test_search_is_complete, d));
	test_post_control(d->platform->control_port, "{\"outage\":\"refuse\"}");
	test_signal_process(d->instances[1], SIGSTOP);
	control_upstreams(d, "{\"replica\":1,\"cut\":\"hang-up\"}");
	control_upstreams(d, "{\"replica\":3,\"cut\":\"hang-up\"}");
	for (int i = 0; i < 5; i++) {
		reply = test_search(d, 0);
		assert_int_equal(test_check_search(d, reply), 2);
		assert_string_equal(test_get_reply_string(reply, "outcome"),
				    "partial");
		test_drop_reply(reply);
	}
	reply = test_reserve(d, 0, id);
	assert_int_equal(reply->status, 503);
	assert_string_equal(test_get_reply_string(reply, "outcome"), "not-run");
	assert_non_null(reply->retry_after);
	test_drop_reply(reply);
	assert_int_equal(test_read_run_count(d->upstreams[0], id), 0);
	control_upstreams(d, "{\"cut\":\"none\"}");
	test_post_control(d->platform->control_port, "{\"outage\":false}");
	test_signal_process(d->instances[1], SIGCONT);
	assert_true(test_wait_until(test_search_is_complete, d));
	assert_int_equal(test_read_metric(d, 0, "config_revision"), revision);
	g_free(id);
	test_drop_deployment(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_connection_closed_after_reservation_runs_once),
		cmocka_unit_test(test_repeated_reservation_is_replayed),
		cmocka_unit_test(test_lost_claim_replies_run_once),
		cmocka_unit_test(test_caller_disconnect_cancels_work),
		cmocka_unit_test(test_truncated_body_is_reported),
		cmocka_unit_test(test_platform_refuses_connections),
		cmocka_unit_test(test_platform_closes_connections),
		cmocka_unit_test(test_partitioned_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
