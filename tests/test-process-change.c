/*
 * test-process-change.c - real processes while things change: a new
 * configuration, new instances, upstreams that leave.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "support/deployment.h"

#define SETTINGS "    deadline_ms: 5000\n    attempt_timeout_ms: 5000\n"

static struct test_deployment *start(int n_entries, int n_copies)
{
	struct test_deployment_options options = {
		.n_shards = 3,
		.replicas_per_shard = n_copies,
		.n_zones = 1,
		.n_instances = n_entries,
		.service_settings = SETTINGS,
	};

	return test_start_deployment(&options);
}

struct revision_wait {
	struct test_deployment *d;
	int64_t revision;
};

static bool all_have_revision(void *data)
{
	struct revision_wait *wait = data;

	for (int i = 0; i < wait->d->options.n_instances; i++) {
		if (test_read_metric(wait->d, i, "config_revision") !=
		    wait->revision)
			return false;
	}
	return true;
}

static void wait_for_revision(struct test_deployment *d, uint64_t revision)
{
	struct revision_wait wait = { d, (int64_t)revision };

	assert_true(test_wait_until(all_have_revision, &wait));
}

static int64_t count_watches(struct test_deployment *d)
{
	struct test_http_reply *reply =
		test_http_request("GET", d->platform->control_port,
				  "/control/counts", NULL, NULL);
	JsonObject *counts = json_object_get_object_member(
		json_node_get_object(reply->json), "ragwort");
	int64_t watches = json_object_get_int_member(counts, "watches");

	test_drop_reply(reply);
	return watches;
}

/*
 * Four instances of one zone, of which two watch the record: a change must
 * come into force at all four, the others by their peers.  Each change ends
 * the two waits and begins two; four watching would begin four.
 */
static void test_change_reaches_instances_that_do_not_watch(void **state)
{
	struct test_deployment *d = start(4, 1);
	const int64_t changes = 4;
	int64_t before = 0;

	for (int64_t change = 0; change <= changes; change++) {
		const char *settings =
			change % 2 ? SETTINGS : SETTINGS "    slots: 3\n";

		/* All began to watch before they knew each other. */
		if (change == 1)
			before = count_watches(d);
		wait_for_revision(d, test_change_settings(d, settings));
	}
	assert_in_range(count_watches(d) - before, changes, changes * 3 - 1);
	test_drop_deployment(d);
}

/*
 * The platform is out and an instance is replaced.  The new one has no
 * configuration of its own; it must take its peers' and serve.
 */
static void test_new_instance_learns_from_peers(void **state)
{
	struct test_deployment *d = start(2, 1);
	struct test_http_reply *reply;

	test_post_control(d->platform->control_port, "{\"outage\":\"refuse\"}");
	test_signal_process(d->instances[1], SIGTERM);
	assert_int_equal(test_wait_process(d->instances[1]), 0);
	test_start_instance(d, 1);
	test_wait_ready(d, 1);
	reply = test_search(d, 1);
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	test_drop_deployment(d);
}

/* With neither platform nor peers it stays not ready, says why and waits. */
static void test_alone_without_platform_is_not_ready(void **state)
{
	struct test_deployment *d = start(1, 1);
	struct test_http_reply *reply;

	test_post_control(d->platform->control_port, "{\"outage\":\"refuse\"}");
	test_signal_process(d->instances[0], SIGKILL);
	test_wait_process(d->instances[0]);
	test_start_instance(d, 0);
	do {
		reply = test_http_request("GET", d->caller_ports[0], "/readyz",
					  NULL, NULL);
		if (!reply->status) {
			test_drop_reply(reply);
			reply = NULL;
			g_usleep(20 * 1000);
		}
	} while (!reply);
	assert_int_equal(reply->status, 503);
	assert_string_equal(test_get_reply_string(reply, "reason"),
			    "no-configuration");
	test_drop_reply(reply);
	reply = test_search(d, 0);
	assert_int_equal(reply->status, 503);
	assert_string_equal(test_get_reply_string(reply, "outcome"), "not-run");
	test_drop_reply(reply);
	test_post_control(d->platform->control_port, "{\"outage\":false}");
	test_wait_ready(d, 0);
	test_drop_deployment(d);
}

/*
 * The first copy's upstreams drain while searches go on.  They may get work
 * for a moment, until a refusal or a health poll tells; after that nothing.
 */
static void test_draining_upstreams_get_no_new_work(void **state)
{
	struct test_deployment *d = start(2, 2);
	struct test_http_reply *reply;
	int64_t before;

	for (int i = 0; i < 4; i++) {
		reply = test_search(d, i % 2);
		assert_int_equal(test_check_search(d, reply), 0);
		test_drop_reply(reply);
	}
	test_post_control(d->upstreams[0]->control_port,
			  "{\"state\":\"draining\"}");
	g_usleep(3 * G_USEC_PER_SEC);
	before = test_read_count(d->upstreams[0], -1, "requests");
	for (int i = 0; i < 40; i++) {
		reply = test_search(d, i % 2);
		assert_int_equal(test_check_search(d, reply), 0);
		test_drop_reply(reply);
	}
	assert_int_equal(test_read_count(d->upstreams[0], -1, "requests"),
			 before);
	/* They come back: work goes to them again. */
	test_post_control(d->upstreams[0]->control_port,
			  "{\"state\":\"ready\"}");
	g_usleep(3 * G_USEC_PER_SEC);
	for (int i = 0; i < 40; i++) {
		reply = test_search(d, i % 2);
		assert_int_equal(test_check_search(d, reply), 0);
		test_drop_reply(reply);
	}
	assert_true(test_read_count(d->upstreams[0], -1, "requests") > before);
	test_drop_deployment(d);
}

/*
 * An instance is stopped while it holds a reservation that runs.  Its result
 * must be recorded before the process ends: the caller who asks again, at
 * another instance, gets that result and not "unknown".
 */
static void test_sigterm_settles_a_reservation(void **state)
{
	struct test_deployment *d = start(2, 1);
	char *id = test_new_idempotency_key("sigterm-settles");
	struct test_pending_request *pending;
	struct test_http_reply *reply;

	test_post_control(d->upstreams[0]->control_port,
			  "{\"service_ms\":1000}");
	pending =
		test_start_request(d->caller_ports[0], TEST_SERVICE "/reserve",
				   "Idempotency-Key", id, "{\"key\":0}");
	assert_true(test_wait_until(test_is_first_shard_busy, d));
	test_signal_process(d->instances[0], SIGTERM);
	reply = test_finish_request(pending);
	assert_int_equal(reply->status, 200);
	test_drop_reply(reply);
	assert_int_equal(test_wait_process(d->instances[0]), 0);
	reply = test_reserve(d, 1, id);
	assert_int_equal(reply->status, 200);
	assert_true(json_object_get_boolean_member(
		json_node_get_object(reply->json), "replayed"));
	test_drop_reply(reply);
	assert_int_equal(test_read_run_count(d->upstreams[0], id), 1);
	g_free(id);
	test_drop_deployment(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_change_reaches_instances_that_do_not_watch),
		cmocka_unit_test(test_new_instance_learns_from_peers),
		cmocka_unit_test(test_alone_without_platform_is_not_ready),
		cmocka_unit_test(test_draining_upstreams_get_no_new_work),
		cmocka_unit_test(test_sigterm_settles_a_reservation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
