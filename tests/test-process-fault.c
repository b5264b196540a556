/*
 * test-process-fault.c - real processes whose partners fail: upstreams that
 * break off, callers that leave, a platform that is down.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "support/deployment.h"

static struct test_deployment *start(int n_entries)
{
	struct test_deployment_options options = {
		.n_shards = 3,
		.replicas_per_shard = 1,
		.n_zones = 1,
		.n_instances = n_entries,
		.service_settings = "    deadline_ms: 5000\n"
				    "    attempt_timeout_ms: 5000\n",
	};

	return test_start_deployment(&options);
}

static void control(struct test_deployment *d, const char *json)
{
	test_post_control(d->upstreams[0]->control_port, json);
}

/*
 * A reservation reaches the upstream, which runs it and dies before it
 * replies.  The caller is told that the outcome is unknown and asks again
 * under the same id, here and at another instance: it must not run again.
 */
static void test_hang_up_after_a_reservation_runs_once(void **state)
{
	struct test_deployment *d = start(2);
	char *id = test_new_idempotency_key("hang-up");

	control(d, "{\"cut\":\"hang-up\"}");
	for (int i = 0; i < 4; i++) {
		struct test_http_reply *reply;

		if (i == 2)
			control(d, "{\"cut\":\"none\"}");
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

/* Twice under one id, at two instances: the second gets the first's result. */
static void test_repeated_reservation_is_replayed(void **state)
{
	struct test_deployment *d = start(2);
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

static bool work_is_cancelled(void *data)
{
	struct test_deployment *d = data;

	for (int shard = 0; shard < d->options.n_shards; shard++) {
		if (!test_read_count(d->upstreams[0], shard, "cancelled"))
			return false;
	}
	return true;
}

/*
 * A mechanic's phone call ends and the counter closes the page.  The search
 * still runs at every shard; each has to be told to stop.
 */
static void test_leaving_caller_cancels_the_work(void **state)
{
	static const char request[] =
		"POST " TEST_SERVICE "/search HTTP/1.1\r\nHost: x\r\n"
		"Content-Length: 11\r\n\r\n{\"query\":1}";
	struct test_deployment *d = start(1);
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	struct test_http_reply *reply = test_search(d, 0);

	/* From now on the versions are known: all shards are asked at once. */
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	control(d, "{\"service_ms\":20000}");
	connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", d->caller_ports[0], NULL, NULL);
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), request,
		strlen(request), NULL, NULL, NULL);
	assert_true(test_wait_until(test_is_first_shard_busy, d));
	g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
	assert_true(test_wait_until(work_is_cancelled, d));
	g_object_unref(connection);
	g_object_unref(client);
	test_drop_deployment(d);
}

/*
 * One yard's upstream sends a body that stops in the middle.  The answer
 * must name that yard as lacking instead of giving half of its pallets.
 */
static void test_truncated_body_is_named(void **state)
{
	struct test_deployment *d = start(1);
	struct test_http_reply *reply;

	control(d, "{\"replica\":1,\"cut\":\"truncate\"}");
	reply = test_search(d, 0);
	assert_int_equal(test_check_search(d, reply), 1);
	assert_string_equal(test_missing_reason(reply), "truncated");
	test_drop_reply(reply);
	test_drop_deployment(d);
}

/*
 * The platform is down for the whole time.  Searches go on with the last
 * configuration.  A reservation can't be claimed, so it is refused at once
 * as not run, with when to come back, and indeed never reaches an upstream.
 */
static void check_reads_without_platform(const char *outage)
{
	struct test_deployment *d = start(2);
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

static void test_platform_refuses(void **state)
{
	check_reads_without_platform("{\"outage\":\"refuse\"}");
}

static void test_platform_closes(void **state)
{
	check_reads_without_platform("{\"outage\":true}");
}

struct repeat {
	struct test_deployment *d;
	const char *id;
	int instance;
};

/* Ask again, as a caller does who was told "unknown" or "not run". */
static bool reservation_is_known(void *data)
{
	struct repeat *repeat = data;
	struct test_http_reply *reply =
		test_reserve(repeat->d, repeat->instance, repeat->id);
	bool known = reply->status == 200;

	assert_true(known || reply->status == 503 || reply->status == 504);
	repeat->instance ^= 1;
	test_drop_reply(reply);
	return known;
}

/*
 * The platform takes a claim and its reply is lost.  The same reservation is
 * under way at two instances, for the caller's balancer sent it twice.  An
 * instance that took the lost reply for "not written" would claim again, and
 * one that took it for "written by another" would leave it to nobody: it must
 * run exactly once, and the caller who asks on must get its result.
 */
static void test_lost_claim_replies_run_once(void **state)
{
	struct test_deployment *d = start(2);

	for (int lost = 0; lost < 6; lost++) {
		char *name = g_strdup_printf("lost-claim-%d", lost);
		char *id = test_new_idempotency_key(name);
		char *json =
			g_strdup_printf("{\"lose_replies\":%d}", 1 + lost % 3);
		struct repeat repeat = { d, id, 0 };
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
		assert_true(test_wait_until(reservation_is_known, &repeat));
		assert_int_equal(test_read_run_count(d->upstreams[0], id), 1);
		g_free(json);
		g_free(id);
		g_free(name);
	}
	test_drop_deployment(d);
}

/*
 * A zone is cut off from the platform, from its peers and from the other
 * zone's upstreams.  Its counters go on searching: the answers have the own
 * zone's yards and name the others.  Reservations are refused as not run.
 * When the cut is over, everything is covered again.
 */
static void test_zone_that_is_cut_off(void **state)
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
	control(d, "{\"replica\":1,\"cut\":\"hang-up\"}");
	control(d, "{\"replica\":3,\"cut\":\"hang-up\"}");
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
	control(d, "{\"cut\":\"none\"}");
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
		cmocka_unit_test(test_hang_up_after_a_reservation_runs_once),
		cmocka_unit_test(test_repeated_reservation_is_replayed),
		cmocka_unit_test(test_lost_claim_replies_run_once),
		cmocka_unit_test(test_leaving_caller_cancels_the_work),
		cmocka_unit_test(test_truncated_body_is_named),
		cmocka_unit_test(test_platform_refuses),
		cmocka_unit_test(test_platform_closes),
		cmocka_unit_test(test_zone_that_is_cut_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
