/*
 * test-process-stop.c - real processes that are stopped: gracefully, killed,
 * or paused.  Waits for events, asserts no times.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "support/deployment.h"

static struct test_deployment *start(int n_zones, int n_entries, int n_copies)
{
	struct test_deployment_options options = {
		.n_shards = 4,
		.replicas_per_shard = n_copies,
		.n_zones = n_zones,
		.n_instances = n_entries,
		.service_settings = "    deadline_ms: 8000\n"
				    "    attempt_timeout_ms: 8000\n"
				    "    retry_budget: 1.0\n",
	};

	return test_start_deployment(&options);
}

static bool work_is_running(void *data)
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

/* A search that the replicas work on for so long. */
static struct test_pending_request *begin_search(struct test_deployment *d,
						 int service_ms)
{
	struct test_pending_request *pending;

	set_service_ms(d, service_ms);
	pending = test_start_request(d->caller_ports[0], TEST_SERVICE "/search",
				     NULL, NULL, "{\"query\":1}");
	assert_true(test_wait_until(work_is_running, d));
	return pending;
}

static void expect_whole_answer(struct test_deployment *d,
				struct test_pending_request *pending)
{
	struct test_http_reply *reply = test_finish_request(pending);

	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
}

/*
 * An operator replaces an instance while a contractor waits for its answer.
 * The instance gets SIGTERM with attempts in flight; the contractor must
 * still get the whole answer, and only then the process may end.
 */
static void test_sigterm_answers_what_is_in_flight(void **state)
{
	struct test_deployment *d = start(1, 1, 1);
	struct test_pending_request *pending = begin_search(d, 1500);

	test_signal_process(d->instances[0], SIGTERM);
	expect_whole_answer(d, pending);
	assert_int_equal(test_wait_process(d->instances[0]), 0);
	test_drop_deployment(d);
}

/*
 * The same for an instance that runs attempts on behalf of one in another
 * availability zone: the relay's reply must leave before the process ends.
 */
static void test_sigterm_of_an_owner_ends_its_relays(void **state)
{
	struct test_deployment *d = start(2, 2, 1);
	struct test_pending_request *pending = begin_search(d, 1500);

	/* Both zones' attempts have started when replica 2 (zone 1) works. */
	while (!test_read_count(d->upstreams[0], 1, "running"))
		g_usleep(10 * 1000);
	test_signal_process(d->instances[1], SIGTERM);
	expect_whole_answer(d, pending);
	assert_int_equal(test_wait_process(d->instances[1]), 0);
	test_drop_deployment(d);
}

/*
 * All first replicas die in the middle of a search.  The caller gets either
 * the other replicas' rows or is told what lacks, never half of a shard; the
 * next search is complete.
 */
static void test_sigkill_of_replicas_in_mid_query(void **state)
{
	struct test_deployment *d = start(1, 1, 2);
	struct test_pending_request *pending = begin_search(d, 1000);
	struct test_http_reply *reply;

	test_signal_process(d->upstreams[0]->process, SIGKILL);
	reply = test_finish_request(pending);
	test_check_search(d, reply);
	test_drop_reply(reply);
	/* One process is gone: its counts can't be read any more. */
	test_post_control(d->upstreams[1]->control_port, "{\"service_ms\":1}");
	reply = test_search(d, 0);
	assert_int_equal(test_check_search(d, reply), 0);
	test_drop_reply(reply);
	test_drop_deployment(d);
}

/*
 * An instance is paused (a stopped virtual machine) with a reservation in
 * flight, long enough that its peers give it up, and wakes up believing that
 * no time has passed.  The caller has tried again under the same id at
 * another instance meanwhile.  The reservation must have run once at most.
 */
static void test_paused_instance_reserves_once(void **state)
{
	struct test_deployment *d = start(1, 2, 1);
	char *id = test_new_idempotency_key("paused-instance");
	struct test_pending_request *pending;
	struct test_http_reply *reply;

	set_service_ms(d, 300);
	pending =
		test_start_request(d->caller_ports[0], TEST_SERVICE "/reserve",
				   "Idempotency-Key", id, "{\"key\":0}");
	assert_true(test_wait_until(work_is_running, d));
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

/* Instance 1 counts itself alone. */
static bool peer_is_given_up(void *data)
{
	return test_read_metric(data, 1, "members") == 1;
}

struct repeat {
	struct test_deployment *d;
	const char *id;
};

static bool is_told_of_the_claim(void *data)
{
	struct repeat *repeat = data;
	struct test_http_reply *reply = test_reserve(repeat->d, 1, repeat->id);
	bool told = reply->status == 504;

	assert_true(told || reply->status == 503);
	assert_int_equal(
		test_read_run_count(repeat->d->upstreams[0], repeat->id), 0);
	test_drop_reply(reply);
	return told;
}

/*
 * An instance has claimed a reservation and is paused before it has sent it.
 * Its peers give it up, and the same id comes to another instance, which must
 * not take the claim over.  Awake again, the holder goes on where it was.  In
 * the end it has run once at most, and "not run" is true.
 */
static void test_holder_paused_after_its_claim(void **state)
{
	struct test_deployment *d = start(1, 2, 1);
	char *id = test_new_idempotency_key("paused-holder");
	struct repeat repeat = { d, id };
	struct test_pending_request *pending;
	struct test_http_reply *reply;
	int64_t runs;

	/*
	 * The claim's reply is lost and the holder reads it back, which takes
	 * a while: time to stop it.  Should it send before, the long service
	 * still keeps it from a result.
	 */
	set_service_ms(d, 3000);
	test_post_control(d->platform->control_port,
			  "{\"slow_ms\":200,\"lose_replies\":1}");
	pending =
		test_start_request(d->caller_ports[0], TEST_SERVICE "/reserve",
				   "Idempotency-Key", id, "{\"key\":0}");
	while (!count_ledger_writes(d))
		g_usleep(1000);
	test_signal_process(d->instances[0], SIGSTOP);
	test_post_control(d->platform->control_port, "{\"slow_ms\":0}");
	assert_true(test_wait_until(is_told_of_the_claim, &repeat));
	assert_true(test_wait_until(peer_is_given_up, d));
	assert_true(test_wait_until(is_told_of_the_claim, &repeat));
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
 * The only instance of a zone dies without warning.  The others go on: an
 * answer may lack its zone's shards for a moment and then says so, and the
 * zone's replicas soon fall to instances of other zones.
 */
static void test_sigkill_of_the_only_instance_of_a_zone(void **state)
{
	struct test_deployment *d = start(2, 2, 1);
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
		cmocka_unit_test(test_sigterm_answers_what_is_in_flight),
		cmocka_unit_test(test_sigterm_of_an_owner_ends_its_relays),
		cmocka_unit_test(test_sigkill_of_replicas_in_mid_query),
		cmocka_unit_test(test_paused_instance_reserves_once),
		cmocka_unit_test(test_holder_paused_after_its_claim),
		cmocka_unit_test(test_sigkill_of_the_only_instance_of_a_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
