/*
 * test-process-replica.c - Process tests with changing upstream replicas.
 *
 * Replicas are replaced, repartitioned, or report a false load.  The tests
 * wait for events and assert no durations.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "support/deployment.h"

#define N_RESERVATIONS 4

static struct test_deployment *start_deployment(int n_shards,
						int replicas_per_shard)
{
	struct test_deployment_options options = {
		.n_shards = n_shards,
		.replicas_per_shard = replicas_per_shard,
		.n_zones = 1,
		.n_instances = 1,
		.service_settings = "    deadline_ms: 8000\n"
				    "    attempt_timeout_ms: 8000\n"
				    "    retry_budget: 1.0\n",
	};

	return test_start_deployment(&options);
}

static void search_all(struct test_deployment *d, int n)
{
	for (int i = 0; i < n; i++) {
		struct test_http_reply *reply = test_search(d, 0);

		assert_int_equal(test_check_search(d, reply), 0);
		test_drop_reply(reply);
	}
}

struct state_wait {
	struct test_deployment *d;
	const char *id;
	const char *state;
};

static bool has_state(void *data)
{
	struct state_wait *wait = data;
	struct test_http_reply *reply = test_http_request(
		"GET", wait->d->caller_ports[0], "/status", NULL, NULL);
	JsonObject *service = json_array_get_object_element(
		json_object_get_array_member(json_node_get_object(reply->json),
					     "services"),
		0);
	JsonArray *replicas = json_object_get_array_member(service, "replicas");
	bool found = false;

	for (guint i = 0; i < json_array_get_length(replicas); i++) {
		JsonObject *replica =
			json_array_get_object_element(replicas, i);

		found |=
			!strcmp(json_object_get_string_member(replica, "id"),
				wait->id) &&
			!strcmp(json_object_get_string_member(replica, "state"),
				wait->state);
	}
	test_drop_reply(reply);
	return found;
}

static void wait_for_state(struct test_deployment *d, const char *id,
			   const char *state)
{
	struct state_wait wait = { d, id, state };

	assert_true(test_wait_until(has_state, &wait));
}

static bool is_first_replica_busy(void *data)
{
	struct test_deployment *d = data;

	return test_read_count(d->upstreams[0], 0, "running") +
		       test_read_count(d->upstreams[0], 1, "running") >
	       0;
}

/*
 * Guards against work that is lost when upstream replicas are stopped.  One
 * replica of each shard gets SIGTERM during a search and reservations; it
 * reports "draining", finishes and exits.  Each search must be complete, each
 * reservation must run once, and a draining replica must get no new requests.
 */
static void test_sigterm_of_replicas_loses_no_work(void **state)
{
	struct test_deployment *d = start_deployment(2, 2);
	struct test_pending_request *search;
	struct test_pending_request *reservations[N_RESERVATIONS];
	char *ids[N_RESERVATIONS];
	struct test_http_reply *reply;
	int64_t before;

	search_all(d, 2);
	for (int copy = 0; copy < 2; copy++)
		test_post_control(d->upstreams[copy]->control_port,
				  "{\"service_ms\":1000}");
	test_post_control(d->upstreams[0]->control_port, "{\"stay\":1}");
	search = test_start_request(d->caller_ports[0], TEST_SERVICE "/search",
				    NULL, NULL, "{\"query\":1}");
	for (int i = 0; i < N_RESERVATIONS; i++) {
		char *name = g_strdup_printf("replica-drain-%d", i);

		ids[i] = test_new_idempotency_key(name);
		reservations[i] = test_start_request(
			d->caller_ports[0], TEST_SERVICE "/reserve",
			"Idempotency-Key", ids[i], "{\"key\":0}");
		g_free(name);
	}
	assert_true(test_wait_until(is_first_replica_busy, d));
	test_signal_process(d->upstreams[0]->process, SIGTERM);
	reply = test_finish_request(search);
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	for (int i = 0; i < N_RESERVATIONS; i++) {
		reply = test_finish_request(reservations[i]);
		assert_int_equal(reply->status, 200);
		test_drop_reply(reply);
		assert_int_equal(
			test_read_run_count(d->upstreams[0], ids[i]) +
				test_read_run_count(d->upstreams[1], ids[i]),
			1);
		g_free(ids[i]);
	}
	test_post_control(d->upstreams[1]->control_port, "{\"service_ms\":1}");
	wait_for_state(d, "desk-01-a", "draining");
	wait_for_state(d, "desk-02-a", "draining");
	before = test_read_count(d->upstreams[0], -1, "requests");
	search_all(d, 20);
	assert_int_equal(test_read_count(d->upstreams[0], -1, "requests"),
			 before);
	test_post_control(d->upstreams[0]->control_port, "{\"stay\":0}");
	assert_int_equal(test_wait_process(d->upstreams[0]->process), 0);
	search_all(d, 20);
	test_drop_deployment(d);
}

/*
 * Check that each row's key is a multiple of 100, unique, and in the right
 * shard; returns the number of rows with a key in [from, to).
 */
static int check_rows(const struct test_http_reply *reply, int64_t first_end,
		      int64_t from, int64_t to)
{
	JsonArray *rows = json_object_get_array_member(
		json_node_get_object(reply->json), "rows");
	int64_t last = -1;
	int n = 0;

	assert_int_equal(reply->status, 200);
	for (guint i = 0; i < json_array_get_length(rows); i++) {
		JsonObject *row = json_object_get_object_member(
			json_array_get_object_element(rows, i), "row");
		int64_t key = json_object_get_int_member(row, "key");

		assert_true(key > last);
		last = key;
		assert_int_equal(key % 100, 0);
		assert_string_equal(json_object_get_string_member(row, "shard"),
				    key < first_end ? "desk-01" : "desk-02");
		n += key >= from && key < to;
	}
	return n;
}

static bool is_search_complete_after_move(void *data)
{
	struct test_deployment *d = data;
	struct test_http_reply *reply = test_search(d, 0);
	bool complete = !*test_missing_reason(reply) &&
			check_rows(reply, 500, 0, 2000) == 20;

	test_drop_reply(reply);
	return complete;
}

/*
 * Guards against rows that disappear silently during a repartition.  Half of
 * the first shard's keys move to the second while a search runs at both.  The
 * search must return the rows that the first shard still has and report the
 * shard as moved.  With the new map a search must return each row once.
 */
static void test_repartition_during_query(void **state)
{
	struct test_deployment *d = start_deployment(2, 1);
	struct test_pending_request *search;
	struct test_http_reply *reply;

	search_all(d, 2);
	test_post_control(d->upstreams[0]->control_port,
			  "{\"service_ms\":1000}");
	search = test_start_request(d->caller_ports[0], TEST_SERVICE "/search",
				    NULL, NULL, "{\"query\":1}");
	while (!test_read_count(d->upstreams[0], 0, "running"))
		g_usleep(10 * 1000);
	test_post_control(d->upstreams[0]->control_port,
			  "{\"replica\":0,\"epoch\":2,\"range_to\":500}");
	reply = test_finish_request(search);
	assert_string_equal(test_missing_reason(reply), "moved");
	assert_int_equal(check_rows(reply, 1000, 0, 500), 5);
	assert_int_equal(check_rows(reply, 1000, 500, 1000), 0);
	assert_int_equal(check_rows(reply, 1000, 1000, 2000), 10);
	test_drop_reply(reply);
	test_post_control(d->upstreams[0]->control_port,
			  "{\"service_ms\":1,\"epoch\":2}");
	d->options.n_moved_keys = 500;
	test_change_settings(d, d->options.service_settings);
	assert_true(test_wait_until(is_search_complete_after_move, d));
	test_drop_deployment(d);
}

static bool is_first_replica_used(void *data)
{
	struct test_deployment *d = data;

	search_all(d, 5);
	return test_read_count(d->upstreams[0], 0, "requests") > 0;
}

/*
 * Guards against a replaced replica that causes partial answers or stays
 * unused.  A replica is killed and replaced at the same address.  The new one
 * is cold: its first answers take five times as long, and it reports that.
 * Searches must stay complete, and it must get requests once it is warm.
 */
static void test_cold_replacement_is_used_once_warm(void **state)
{
	struct test_deployment *d = start_deployment(1, 2);
	char *port =
		g_strdup_printf("--base-port=%u", d->upstreams[0]->ports[0]);
	const char *arguments[] = { port, "--cold-ms=600000", NULL };

	search_all(d, 5);
	test_drop_upstreams(d->upstreams[0]);
	search_all(d, 5);
	wait_for_state(d, "desk-01-a", "down");
	d->upstreams[0] = test_start_upstreams(1, arguments);
	wait_for_state(d, "desk-01-a", "cold");
	search_all(d, 20);
	test_post_control(d->upstreams[0]->control_port, "{\"cold_ms\":0}");
	wait_for_state(d, "desk-01-a", "ready");
	assert_true(test_wait_until(is_first_replica_used, d));
	g_free(port);
	test_drop_deployment(d);
}

/*
 * Guards against trusting false load reports.  One replica of each shard is
 * very slow and reports that it is idle; the other is fast and reports full
 * load.  The instance's own measurements must have more weight: the fast one
 * gets most of the work, and each search is complete.
 */
static void test_false_load_reports_have_little_weight(void **state)
{
	struct test_deployment *d = start_deployment(2, 2);
	int64_t requests[2];

	test_post_control(d->upstreams[0]->control_port,
			  "{\"service_ms\":200,\"told_load\":0.0}");
	test_post_control(d->upstreams[1]->control_port,
			  "{\"service_ms\":1,\"told_load\":1.0}");
	search_all(d, 20);
	for (int copy = 0; copy < 2; copy++)
		requests[copy] =
			test_read_count(d->upstreams[copy], -1, "requests");
	search_all(d, 40);
	for (int copy = 0; copy < 2; copy++)
		requests[copy] =
			test_read_count(d->upstreams[copy], -1, "requests") -
			requests[copy];
	assert_true(requests[1] > requests[0]);
	test_drop_deployment(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sigterm_of_replicas_loses_no_work),
		cmocka_unit_test(test_repartition_during_query),
		cmocka_unit_test(test_cold_replacement_is_used_once_warm),
		cmocka_unit_test(test_false_load_reports_have_little_weight),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
