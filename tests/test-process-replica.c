/*
 * test-process-replica.c - real processes whose upstream replicas are
 * replaced, moved or tell lies.  Waits for events, asserts no times.
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

static struct test_deployment *start(int n_shards, int n_copies)
{
	struct test_deployment_options options = {
		.n_shards = n_shards,
		.replicas_per_shard = n_copies,
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

static bool first_copy_works(void *data)
{
	struct test_deployment *d = data;

	return test_read_count(d->upstreams[0], 0, "running") +
		       test_read_count(d->upstreams[0], 1, "running") >
	       0;
}

/*
 * An operator replaces one copy of the upstreams while mechanics wait for
 * answers and pallets are being reserved at it.  It gets SIGTERM, tells that
 * it is draining, finishes and goes.  No search lacks a yard, each
 * reservation runs once, and after the news nothing new comes to it.
 */
static void test_sigterm_of_replicas_loses_nothing(void **state)
{
	struct test_deployment *d = start(2, 2);
	struct test_pending_request *search;
	struct test_pending_request *reserves[N_RESERVATIONS];
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
		reserves[i] = test_start_request(
			d->caller_ports[0], TEST_SERVICE "/reserve",
			"Idempotency-Key", ids[i], "{\"key\":0}");
		g_free(name);
	}
	assert_true(test_wait_until(first_copy_works, d));
	test_signal_process(d->upstreams[0]->process, SIGTERM);
	reply = test_finish_request(search);
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	for (int i = 0; i < N_RESERVATIONS; i++) {
		reply = test_finish_request(reserves[i]);
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

/* Every row's key is a multiple of 100, comes once, and is in the right
 * shard; returns how many rows have a key in [from, to). */
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

static bool moved_search_is_complete(void *data)
{
	struct test_deployment *d = data;
	struct test_http_reply *reply = test_search(d, 0);
	bool complete = !*test_missing_reason(reply) &&
			check_rows(reply, 500, 0, 2000) == 20;

	test_drop_reply(reply);
	return complete;
}

/*
 * Half of the first shard's keys move to the second while a search runs at
 * both.  That search gets what the first shard still has, and is told that
 * the shard has moved and not that its yard has no more pallets.  With the
 * new map in force a search has every row again, each once.
 */
static void test_repartition_in_mid_query(void **state)
{
	struct test_deployment *d = start(2, 1);
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
	assert_true(test_wait_until(moved_search_is_complete, d));
	test_drop_deployment(d);
}

static bool first_copy_is_asked(void *data)
{
	struct test_deployment *d = data;

	search_all(d, 5);
	return test_read_count(d->upstreams[0], 0, "requests") > 0;
}

/*
 * A replica dies and another takes its place at the same address, cold: each
 * of its first answers takes five times as long and it says so.  Searches
 * stay complete all the while, and once it is warm it is asked again.
 */
static void test_cold_replacement_is_taken_in(void **state)
{
	struct test_deployment *d = start(1, 2);
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
	assert_true(test_wait_until(first_copy_is_asked, d));
	g_free(port);
	test_drop_deployment(d);
}

/*
 * One copy is very slow and tells that it is idle; the other is quick and
 * tells that it is full.  What the instance sees itself must count for more:
 * the quick one gets most of the work, and every search is complete.
 */
static void test_false_load_reports_are_seen_through(void **state)
{
	struct test_deployment *d = start(2, 2);
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
		cmocka_unit_test(test_sigterm_of_replicas_loses_nothing),
		cmocka_unit_test(test_repartition_in_mid_query),
		cmocka_unit_test(test_cold_replacement_is_taken_in),
		cmocka_unit_test(test_false_load_reports_are_seen_through),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
