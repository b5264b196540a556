/*
 * test-process-end-to-end.c - End-to-end tests with real processes.
 *
 * They cover relays, pages of a list, look-ups, changing index versions and
 * exit codes.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "support/deployment.h"

#define N_SHARDS 40

static struct test_deployment *start_deployment(int n_instances,
						int replicas_per_shard)
{
	struct test_deployment_options options = {
		.n_shards = N_SHARDS,
		.replicas_per_shard = replicas_per_shard,
		.n_zones = 3,
		.n_instances = n_instances,
		.service_settings = "    deadline_ms: 5000\n"
				    "    attempt_timeout_ms: 5000\n"
				    "    hedge_budget: 0\n"
				    "    max_rows: 1000\n",
	};

	return test_start_deployment(&options);
}

/*
 * Guards against a relay message per replica.  For a search over 40 shards in
 * three zones, that would be 27 messages to replicas of other zones; one
 * message per owner makes two.
 */
static void test_one_relay_per_owner_and_query(void **state)
{
	struct test_deployment *d = start_deployment(3, 1);
	struct test_http_reply *reply;
	int64_t before = 0;

	for (int i = 0; i < 11; i++) {
		/* Not counted: the first search obtains the index versions. */
		if (i == 1)
			before = test_read_metric(d, 0, "relays_sent_total");
		reply = test_search(d, 0);
		assert_int_equal(test_check_search(d, reply), 0);
		test_drop_reply(reply);
	}
	assert_int_equal(test_read_metric(d, 0, "relays_sent_total") - before,
			 10 * 2);
	test_drop_deployment(d);
}

/*
 * Guards against answers that mix rows of two index versions, while replicas
 * move to a new version, one per search.
 */
static void test_changing_versions_are_never_mixed(void **state)
{
	struct test_deployment *d = start_deployment(3, 2);

	for (int64_t version = 2; version < 60; version++) {
		char *json =
			g_strdup_printf("{\"newest\":%" G_GINT64_FORMAT
					",\"oldest\":%" G_GINT64_FORMAT "}",
					version, MAX(1, version - 2));
		struct test_http_reply *reply;

		/* One replica of each shard moves first; the other is behind. */
		test_post_control(d->upstreams[version % 2]->control_port,
				  json);
		reply = test_search(d, (int)(version % 3));
		/* Checks that each row has the answer's index version. */
		test_check_search(d, reply);
		test_drop_reply(reply);
		test_post_control(d->upstreams[1 - version % 2]->control_port,
				  json);
		g_free(json);
	}
	test_drop_deployment(d);
}

static char *fetch_list_page(struct test_deployment *d, int i,
			     const char *cursor, int64_t *next_key)
{
	char *path =
		g_strdup_printf(TEST_SERVICE "/list?max_rows=70%s%s",
				cursor ? "&cursor=" : "", cursor ? cursor : "");
	struct test_http_reply *reply =
		test_http_request("GET", d->caller_ports[i], path, NULL, NULL);
	JsonArray *rows;
	char *next;

	assert_int_equal(reply->status, 200);
	rows = json_object_get_array_member(json_node_get_object(reply->json),
					    "rows");
	for (guint row = 0; row < json_array_get_length(rows); row++) {
		JsonObject *object = json_array_get_object_element(rows, row);

		assert_int_equal(json_object_get_int_member(object, "key"),
				 *next_key);
		*next_key += 100;
	}
	next = g_strdup(test_get_reply_string(reply, "next_cursor"));
	test_drop_reply(reply);
	g_free(path);
	return next;
}

/*
 * Guards against a list whose pages are of different index versions.  Each
 * page is requested from another instance.  Once the upstreams have dropped
 * the version, the next page must fail with "gone".
 */
static void test_list_pages_until_version_is_gone(void **state)
{
	struct test_deployment *d = start_deployment(3, 1);
	int64_t next_key = 0;
	char *cursor = fetch_list_page(d, 0, NULL, &next_key);
	char *path;
	struct test_http_reply *reply;

	for (int i = 1; *cursor; i++) {
		char *next = fetch_list_page(d, i % 3, cursor, &next_key);

		g_free(cursor);
		cursor = next;
	}
	assert_int_equal(next_key, N_SHARDS * 1000);
	g_free(cursor);
	next_key = 0;
	cursor = fetch_list_page(d, 0, NULL, &next_key);
	test_post_control(d->upstreams[0]->control_port,
			  "{\"oldest\":5,\"newest\":6}");
	path = g_strdup_printf(TEST_SERVICE "/list?max_rows=70&cursor=%s",
			       cursor);
	reply = test_http_request("GET", d->caller_ports[1], path, NULL, NULL);
	assert_int_equal(reply->status, 410);
	assert_string_equal(test_get_reply_string(reply, "outcome"), "gone");
	test_drop_reply(reply);
	g_free(path);
	g_free(cursor);
	test_drop_deployment(d);
}

static void test_lookup_and_unknown_names(void **state)
{
	struct test_deployment *d = start_deployment(3, 1);
	struct test_http_reply *reply;
	JsonArray *rows;
	int64_t before = test_read_count(d->upstreams[0], -1, "requests");

	reply = test_http_request("POST", d->caller_ports[0],
				  TEST_SERVICE "/lookup", NULL,
				  "{\"key\":17300}");
	assert_int_equal(reply->status, 200);
	rows = json_object_get_array_member(json_node_get_object(reply->json),
					    "rows");
	assert_int_equal(json_array_get_length(rows), 1);
	test_drop_reply(reply);
	/* The look-up queried only one shard. */
	assert_int_equal(test_read_count(d->upstreams[0], -1, "requests"),
			 before + 1);
	reply = test_http_request("POST", d->caller_ports[0],
				  "/v1/services/nothing/search", NULL,
				  "{\"query\":1}");
	assert_int_equal(reply->status, 404);
	assert_string_equal(test_get_reply_string(reply, "reason"),
			    "unknown-service");
	test_drop_reply(reply);
	test_drop_deployment(d);
}

static int run_daemon(const char *option)
{
	const char *arguments[] = { option, NULL };
	struct test_process *process =
		test_start_process("ragwortd", arguments, true);
	int code = test_wait_process(process);

	test_drop_process(process);
	return code;
}

static void test_exit_codes(void **state)
{
	char *file = NULL;
	char *option;

	assert_int_equal(run_daemon("--help"), 0);
	assert_int_equal(run_daemon("--version"), 0);
	assert_int_equal(run_daemon("--unknown"), 2);
	assert_int_equal(run_daemon("--settings=/nonexistent"), 2);
	close(g_file_open_tmp("ragwort-start-XXXXXX", &file, NULL));
	option = g_strdup_printf("--settings=%s", file);
	g_file_set_contents(file, "instance: x\ncolour: red\n", -1, NULL);
	assert_int_equal(run_daemon(option), 2);
	/* An address that is not local, so that listening on it fails. */
	g_file_set_contents(file,
			    "instance: x\nzone: z\nsite: s\n"
			    "caller_address: 192.0.2.1:80\n"
			    "peer_address: 127.0.0.1:1\n"
			    "platform_address: 127.0.0.1:1\n",
			    -1, NULL);
	assert_int_equal(run_daemon(option), 1);
	unlink(file);
	g_free(option);
	g_free(file);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_relay_per_owner_and_query),
		cmocka_unit_test(test_changing_versions_are_never_mixed),
		cmocka_unit_test(test_list_pages_until_version_is_gone),
		cmocka_unit_test(test_lookup_and_unknown_names),
		cmocka_unit_test(test_exit_codes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
