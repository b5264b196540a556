/*
 * test-process-stop.c - Process tests of drained, killed and paused processes.
 *
 * The tests wait for events and assert no durations.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "support/deployment.h"

static struct test_deployment *start_deployment(int n_zones, int n_instances,
						int replicas_per_shard)
{
	struct test_deployment_options options = {
		.n_shards = 4,
		.replicas_per_shard = replicas_per_shard,
		.n_zones = n_zones,
		.n_instances = n_instances,
		.service_settings = "    deadline_ms: 8000\n"
				    "    attempt_timeout_ms: 8000\n"
				    "    retry_budget: 1.0\n",
	};

	return test_start_deployment(&options);
}

static bool is_work_running(void *data)
{
	struct test_deployment *d = data;

	for (int copy = 0; copy < d->options.replicas_per_shard; copy++) {
		for (int shard = 0; shard < d->options.n_shards; shard++) {
			if (test_read_count(d->upstreams[copy], shard,
					    "running"))
				return true;
		}
	}
	return false;
}

static void set_service_ms(struct test_deployment *d, int service_ms)
{
	char *json = g_strdup_printf("{\"service_ms\":%d}", service_ms);

	for (int copy = 0; copy < d->options.replicas_per_shard; copy++)
		test_post_control(d->upstreams[copy]->control_port, json);
	g_free(json);
}

/* Start a search whose attempts each take `service_ms` at the replicas. */
static struct test_pending_request *start_search(struct test_deployment *d,
						 int service_ms)
{
	struct test_pending_request *pending;

	set_service_ms(d, service_ms);
	pending = test_start_request(d->caller_ports[0], TEST_SERVICE "/search",
				     NULL, NULL, "{\"query\":1}");
	assert_true(test_wait_until(is_work_running, d));
	return pending;
}

static void expect_complete_answer(struct test_deployment *d,
				   struct test_pending_request *pending)
{
	struct test_http_reply *reply = test_finish_request(pending);

	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
}

/*
 * Guards against requests that are lost when an instance is replaced.  It
 * gets SIGTERM with attempts in flight; the caller must still get the complete
 * answer before the process exits.
 */
static void test_sigterm_completes_requests_in_flight(void **state)
{
	struct test_deployment *d = start_deployment(1, 1, 1);
	struct test_pending_request *pending = start_search(d, 1500);

	test_signal_process(d->instances[0], SIGTERM);
	expect_complete_answer(d, pending);
	assert_int_equal(test_wait_process(d->instances[0]), 0);
	test_drop_deployment(d);
}

/*
 * The same for an instance that runs attempts for one in another availability
 * zone: it must send the reply to the relay before the process exits.
 */
static void test_sigterm_of_owner_completes_relays(void **state)
{
	struct test_deployment *d = start_deployment(2, 2, 1);
	struct test_pending_request *pending = start_search(d, 1500);

	/* Attempts run in both zones once replica 1 (in zone 1) is busy. */
	while (!test_read_count(d->upstreams[0], 1, "running"))
		g_usleep(10 * 1000);
	test_signal_process(d->instances[1], SIGTERM);
	expect_complete_answer(d, pending);
	assert_int_equal(test_wait_process(d->instances[1]), 0);
	test_drop_deployment(d);
}

/*
 * Guards against partial shards when the first replica of each shard is killed
 * during a search.  For each shard the caller gets either all rows, from the
 * other replica, or a missing shard; the next search is complete.
 */
static void test_sigkill_of_replicas_during_query(void **state)
{
	struct test_deployment *d = start_deployment(1, 1, 2);
	struct test_pending_request *pending = start_search(d, 1000);
	struct test_http_reply *reply;

	test_signal_process(d->upstreams[0]->process, SIGKILL);
	reply = test_finish_request(pending);
	test_check_search(d, reply);
	test_drop_reply(reply);
	/* The killed process does not serve its counts any more. */
	test_post_control(d->upstreams[1]->control_port, "{\"service_ms\":1}");
	reply = test_search(d, 0);
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	test_drop_deployment(d);
}

/*
 * Guards against a reservation that runs twice when an instance is paused,
 * such as by a stopped virtual machine.  It is paused with a reservation in
 * flight for long enough that its peers consider it dead, and resumes without
 * noticing the time that has passed.  In the meantime the caller has repeated
 * the request with the same id at another instance.  The reservation must have
 * run at most once.
 */
static void test_paused_instance_runs_reservation_once(void **state)
{
	struct test_deployment *d = start_deployment(1, 2, 1);
	char *id = test_new_idempotency_key("paused-instance");
	struct test_pending_request *pending;
	struct test_http_reply *reply;

	set_service_ms(d, 300);
	pending =
		test_start_request(d->caller_ports[0], TEST_SERVICE "/reserve",
				   "Idempotency-Key", id, "{\"key\":0}");
	assert_true(test_wait_until(is_work_running, d));
	test_signal_process(d->instances[0], SIGSTOP);
	reply = test_reserve(d, 1, id);
	assert_true(reply->status == 200 || reply->status == 503 ||
		    reply->status == 504);
	test_drop_reply(reply);
	g_usleep(4 * G_USEC_PER_SEC);
	reply = test_search(d, 1);
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	test_signal_process(d->instances[0], SIGCONT);
	reply = test_finish_request(pending);
	assert_true(reply->status == 200 || reply->status == 504);
	test_drop_reply(reply);
	assert_int_equal(test_read_run_count(d->upstreams[0], id), 1);
	assert_true(test_wait_until(test_search_is_complete, d));
	g_free(id);
	test_drop_deployment(d);
}

static int64_t count_ledger_writes(struct test_deployment *d)
{
	struct test_http_reply *reply =
		test_http_request("GET", d->platform->control_port,
				  "/control/counts", NULL, NULL);
	JsonObject *counts = json_node_get_object(reply->json);
	int64_t writes = 0;

	if (json_object_has_member(counts, "ledger"))
		writes = json_object_get_int_member(
			json_object_get_object_member(counts, "ledger"),
			"writes");
	test_drop_reply(reply);
	return writes;
}

/* Whether instance 1 has no other members left. */
static bool is_peer_dead(void *data)
{
	return test_read_metric(data, 1, "members") == 1;
}

struct repeated_request {
	struct test_deployment *d;
	const char *id;
};

static bool is_claim_reported(void *data)
{
	struct repeated_request *repeated_request = data;
	struct test_http_reply *reply =
		test_reserve(repeated_request->d, 1, repeated_request->id);
	bool reported = reply->status == 504;

	assert_true(reported || reply->status == 503);
	assert_int_equal(test_read_run_count(repeated_request->d->upstreams[0],
					     repeated_request->id),
			 0);
	test_drop_reply(reply);
	return reported;
}

/*
 * Make a reservation at the first instance, so that the next write of the
 * ledger is that of a claim: the first one of all records the store's era.
 * Return the number of writes.
 */
static int64_t use_ledger(struct test_deployment *d)
{
	char *id = test_new_idempotency_key("first-use");
	struct test_http_reply *reply = test_reserve(d, 0, id);
	int64_t writes;

	assert_int_equal(reply->status, 200);
	test_drop_reply(reply);
	g_free(id);
	/* The result is written after the reply: wait until writes cease. */
	do {
		writes = count_ledger_writes(d);
		g_usleep(300 * 1000);
	} while (count_ledger_writes(d) != writes);
	return writes;
}

/*
 * Guards against a claim that is taken over from a paused instance.  The
 * instance has claimed a reservation and is paused before it sends the
 * attempt.  Its peers consider it dead, and the same id is sent to another
 * instance, which must not take over the claim.  After the pause the holder
 * continues.  The reservation must have run at most once, and an outcome
 * "not run" must be true.
 */
static void test_holder_paused_after_claim(void **state)
{
	struct test_deployment *d = start_deployment(1, 2, 1);
	char *id = test_new_idempotency_key("paused-holder");
	struct repeated_request repeated_request = { d, id };
	struct test_pending_request *pending;
	struct test_http_reply *reply;
	int64_t writes;
	int64_t runs;

	writes = use_ledger(d);
	/*
	 * The reply to the claim is lost and the holder reads the claim back,
	 * which takes long enough to pause it.  If it sends the attempt before
	 * the pause, the long service time still delays the result.
	 */
	set_service_ms(d, 3000);
	test_post_control(d->platform->control_port,
			  "{\"slow_ms\":200,\"lose_replies\":1}");
	pending =
		test_start_request(d->caller_ports[0], TEST_SERVICE "/reserve",
				   "Idempotency-Key", id, "{\"key\":0}");
	while (count_ledger_writes(d) == writes)
		g_usleep(1000);
	test_signal_process(d->instances[0], SIGSTOP);
	test_post_control(d->platform->control_port, "{\"slow_ms\":0}");
	assert_true(test_wait_until(is_claim_reported, &repeated_request));
	assert_true(test_wait_until(is_peer_dead, d));
	assert_true(test_wait_until(is_claim_reported, &repeated_request));
	set_service_ms(d, 1);
	test_signal_process(d->instances[0], SIGCONT);
	reply = test_finish_request(pending);
	assert_true(reply->status == 200 || reply->status == 503 ||
		    reply->status == 504);
	runs = test_read_run_count(d->upstreams[0], id);
	if (reply->status != 504)
		assert_int_equal(runs, reply->status == 200);
	test_drop_reply(reply);
	reply = test_reserve(d, 1, id);
	assert_true(reply->status == 200 || reply->status == 504);
	test_drop_reply(reply);
	assert_in_range(test_read_run_count(d->upstreams[0], id), 0, 1);
	g_free(id);
	test_drop_deployment(d);
}

/*
 * Guards against shards that stay missing when the only instance of a zone is
 * killed.  An answer may miss the zone's shards at first, and must report
 * them as missing; then instances of other zones take over its replicas.
 */
static void test_sigkill_of_only_instance_of_zone(void **state)
{
	struct test_deployment *d = start_deployment(2, 2, 1);
	struct test_http_reply *reply;

	reply = test_search(d, 0);
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	test_signal_process(d->instances[1], SIGKILL);
	test_wait_process(d->instances[1]);
	assert_true(test_wait_until(test_search_is_complete, d));
	test_start_instance(d, 1);
	test_wait_ready(d, 1);
	assert_true(test_wait_until(test_search_is_complete, d));
	test_drop_deployment(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sigterm_completes_requests_in_flight),
		cmocka_unit_test(test_sigterm_of_owner_completes_relays),
		cmocka_unit_test(test_sigkill_of_replicas_during_query),
		cmocka_unit_test(test_paused_instance_runs_reservation_once),
		cmocka_unit_test(test_holder_paused_after_claim),
		cmocka_unit_test(test_sigkill_of_only_instance_of_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
