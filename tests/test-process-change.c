/*
 * test-process-change.c - Process tests of changes during operation.
 *
 * The changes are a new configuration, new instances and draining upstreams.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "platform/platform.h"
#include "ragwort/record.h"
#include "support/deployment.h"

/* Time for all threads of a process to stop. */
#define STOP_US (200 * 1000)
#define SETTINGS "    deadline_ms: 5000\n    attempt_timeout_ms: 5000\n"

static struct test_deployment *start_deployment(int n_instances,
						int replicas_per_shard)
{
	struct test_deployment_options options = {
		.n_shards = 3,
		.replicas_per_shard = replicas_per_shard,
		.n_zones = 1,
		.n_instances = n_instances,
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
 * Guards against a configuration change that reaches only the instances that
 * watch the record, and against a zone in which all instances watch it.  Two
 * of the zone's four instances watch; the others get the change from peers.
 * Each change ends the two pending watches and starts two; if all four
 * instances watched, it would start four.
 */
static void test_config_change_reaches_instances_without_watch(void **state)
{
	struct test_deployment *d = start_deployment(4, 1);
	const int64_t changes = 4;
	int64_t before = 0;

	for (int64_t change = 0; change <= changes; change++) {
		const char *settings =
			change % 2 ? SETTINGS : SETTINGS "    slots: 3\n";

		/* Until the instances know each other, all of them watch. */
		if (change == 1)
			before = count_watches(d);
		wait_for_revision(d, test_change_settings(d, settings));
	}
	assert_in_range(count_watches(d) - before, changes, changes * 3 - 1);
	test_drop_deployment(d);
}

/*
 * Guards against an instance that cannot start during a platform outage.  It
 * has no configuration of its own and must get it from its peers.
 */
static void test_new_instance_gets_config_from_peers(void **state)
{
	struct test_deployment *d = start_deployment(2, 1);
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

/*
 * Guards against an instance that serves or exits when it can get no
 * configuration from either the platform or peers.  It must report not ready
 * with the reason, and become ready once the platform is reachable again.
 */
static void test_single_instance_without_platform_is_not_ready(void **state)
{
	struct test_deployment *d = start_deployment(1, 1);
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
 * Guards against new work for draining upstreams.  The first replica of each
 * shard drains during searches.  It may get requests until a rejected one or a
 * health poll reports the state, and none after that.
 */
static void test_draining_upstreams_get_no_new_work(void **state)
{
	struct test_deployment *d = start_deployment(2, 2);
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
	/* When they are ready again, they get work again. */
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
 * Guards against an instance that exits before it has recorded the result of
 * a running reservation.  A caller that repeats the request at another
 * instance must get that result and not "unknown".
 */
static void test_sigterm_records_running_reservation(void **state)
{
	struct test_deployment *d = start_deployment(2, 1);
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

/* Return the revision of the record in the store; 0 if there is none. */
static uint64_t read_stored_revision(const struct test_deployment *d)
{
	struct rr_config_record *record = NULL;
	struct rr_key_reply stored;
	struct rr_store_request call;
	struct test_http_reply *reply;
	uint64_t revision = 0;

	rr_make_get_request(&call, RR_CONFIG_RECORD_KEY);
	reply = test_http_request(call.method, d->platform->port, call.path,
				  NULL, NULL);
	rr_decode_get_reply((uint16_t)reply->status, reply->body,
			    strlen(reply->body), &stored);
	if (stored.value)
		record = rr_decode_config_record(stored.value, stored.length,
						 NULL);
	if (record)
		revision = rr_config_record_revision(record);
	rr_drop_config_record(record);
	rr_clear_key_reply(&stored);
	rr_clear_store_request(&call);
	test_drop_reply(reply);
	return revision;
}

struct stored_revision {
	const struct test_deployment *d;
	uint64_t expected;
};

static bool has_stored_revision(void *data)
{
	const struct stored_revision *stored = data;

	return read_stored_revision(stored->d) == stored->expected;
}

static void signal_instances(struct test_deployment *d, int number)
{
	for (int i = 0; i < d->options.n_instances; i++)
		test_signal_process(d->instances[i], number);
}

/*
 * Guards against an accepted change that a restore of the store has lost: new
 * instances would start without it, and the next change would take its revision
 * and be left out by those that have it.
 */
static void test_lost_config_change_is_written_back(void **state)
{
	struct test_deployment *d = start_deployment(2, 1);
	struct stored_revision stored = { .d = d };

	test_post_control(d->platform->control_port, "{\"copy\":true}");
	stored.expected = test_change_settings(d, SETTINGS "    slots: 3\n");
	wait_for_revision(d, stored.expected);
	/* Stopped, none writes it back before the store is read. */
	signal_instances(d, SIGSTOP);
	g_usleep(STOP_US);
	test_post_control(d->platform->control_port, "{\"restore\":true}");
	assert_int_not_equal(read_stored_revision(d), stored.expected);
	signal_instances(d, SIGCONT);
	assert_true(test_wait_until(has_stored_revision, &stored));
	wait_for_revision(d, test_change_settings(d, SETTINGS));
	test_drop_deployment(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_config_change_reaches_instances_without_watch),
		cmocka_unit_test(test_new_instance_gets_config_from_peers),
		cmocka_unit_test(test_lost_config_change_is_written_back),
		cmocka_unit_test(
			test_single_instance_without_platform_is_not_ready),
		cmocka_unit_test(test_draining_upstreams_get_no_new_work),
		cmocka_unit_test(test_sigterm_records_running_reservation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
