/*
 * test-upstream.c - upstream client against the stand-in upstream: each attempt
 * is sent once, and each kind of failure gives the right status.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "ragwort/counters.h"
#include "ragwort/net-upstream.h"
#include "support/process.h"

struct fixture {
	struct rr_context *ctx;
	struct rr_upstream_client *client;
	struct test_upstreams *upstreams;
	char address[32];
	uint64_t next_id;
	/* The last reply or health result. */
	bool replied;
	uint32_t replies;
	struct rr_reply reply;
	size_t n_rows;
	struct rr_health health;
};

static void on_replied(void *data, const struct rr_reply *reply)
{
	struct fixture *f = data;

	f->reply = *reply;
	f->n_rows = rr_count_rows(reply->rows);
	f->replies++;
	f->replied = true;
}

static void on_polled(void *data, const struct rr_health *health)
{
	struct fixture *f = data;

	f->health = *health;
	f->replied = true;
}

static struct rr_upstream_client *open_client(struct fixture *f,
					      const char *instance)
{
	struct rr_upstream_client_options options = {
		.instance = instance,
		.replied = on_replied,
		.polled = on_polled,
		.data = f,
		.cancel_grace_ms = 500,
	};

	return rr_new_upstream_client(f->ctx, &options);
}

static int set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->ctx = rr_new_context(NULL);
	f->client = open_client(f, "athi-1");
	f->upstreams = test_start_upstreams(1, NULL);
	g_snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
		   f->upstreams->ports[0]);
	f->next_id = 1;
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	rr_drop_upstream_client(f->client);
	while (g_main_context_iteration(NULL, FALSE))
		;
	test_drop_upstreams(f->upstreams);
	rr_drop_context(f->ctx);
	g_free(f);
	return 0;
}

static uint64_t post(struct fixture *f, enum rr_request_kind kind,
		     const char *key)
{
	struct rr_attempt attempt = {
		.id = f->next_id++,
		.replica = "r",
		.address = f->address,
		.shard = "shard-1",
		.service = "s",
		.kind = kind,
		.request_id = "test",
		.idempotency_key = key,
		.body = "{\"text\":\"brick\"}",
		.key_to = 1000,
		.row_limit = 100,
		.deadline_ms = 20000,
	};

	f->replied = false;
	rr_send_attempt(f->ctx, f->client, &attempt);
	return attempt.id;
}

static void post_and_wait(struct fixture *f, enum rr_request_kind kind,
			  const char *key)
{
	post(f, kind, key);
	test_run_until(&f->replied);
}

static void test_reads_rows_on_one_connection(void **state)
{
	struct fixture *f = *state;

	for (int i = 0; i < 5; i++) {
		post_and_wait(f, RR_SEARCH, NULL);
		assert_int_equal(f->reply.status, RR_REPLY_OK);
		assert_int_equal(f->n_rows, 10);
		assert_int_equal(f->reply.version, 1);
		assert_true(f->reply.body_complete);
	}
	assert_int_equal(test_read_count(f->upstreams, 0, "accepted"), 1);
	assert_int_equal(test_read_count(f->upstreams, 0, "ran"), 5);
}

/*
 * Guards against resent reservations: an upstream reads a reservation, runs it
 * and dies before it replies. An HTTP library that resends the request by
 * itself would reserve twice, and only the upstream would notice.
 */
static void check_single_send(struct fixture *f)
{
	int64_t n_before = test_read_count(f->upstreams, 0, "requests");

	test_post_control(f->upstreams->control_port, "{\"cut\":\"hang-up\"}");
	post_and_wait(f, RR_RESERVE, "1700000000-abcdefgh");
	assert_int_equal(f->reply.status, RR_REPLY_LOST);
	/* A resend would be immediate; wait long enough for it. */
	g_usleep(200 * 1000);
	while (g_main_context_iteration(NULL, FALSE))
		;
	assert_int_equal(test_read_count(f->upstreams, 0, "requests"),
			 n_before + 1);
	assert_int_equal(
		test_read_run_count(f->upstreams, "1700000000-abcdefgh"), 1);
	assert_int_equal(test_read_count(f->upstreams, -1, "repeated_attempts"),
			 0);
}

static void test_sends_once_on_a_new_connection(void **state)
{
	check_single_send(*state);
}

static void test_sends_once_on_a_reused_connection(void **state)
{
	struct fixture *f = *state;

	post_and_wait(f, RR_SEARCH, NULL);
	check_single_send(f);
	/* The request was sent on the reused connection. */
	assert_int_equal(test_read_count(f->upstreams, 0, "accepted"), 1);
}

/*
 * An upstream process is down. The core may try another replica, even for a
 * reservation, because a refused connection proves that nothing ran.
 */
static void test_refused_connection_proves_not_run(void **state)
{
	struct fixture *f = *state;

	test_post_control(f->upstreams->control_port, "{\"cut\":\"refuse\"}");
	post_and_wait(f, RR_RESERVE, "1700000000-abcdefgh");
	assert_int_equal(f->reply.status, RR_REPLY_REFUSED);
	assert_int_equal(test_read_count(f->upstreams, 0, "ran"), 0);
}

/* A connection that was established and then reset proves nothing. */
static void test_reset_connection_proves_nothing(void **state)
{
	struct fixture *f = *state;

	test_post_control(f->upstreams->control_port, "{\"cut\":\"reset\"}");
	post_and_wait(f, RR_SEARCH, NULL);
	assert_int_equal(f->reply.status, RR_REPLY_LOST);
}

static void test_reads_rejections(void **state)
{
	struct fixture *f = *state;

	test_post_control(f->upstreams->control_port, "{\"shed\":true}");
	post_and_wait(f, RR_SEARCH, NULL);
	assert_int_equal(f->reply.status, RR_REPLY_SHED);
	assert_int_equal(f->reply.retry_after_ms, 50);
	test_post_control(f->upstreams->control_port,
			  "{\"shed\":false,\"state\":\"draining\"}");
	post_and_wait(f, RR_SEARCH, NULL);
	assert_int_equal(f->reply.status, RR_REPLY_DRAINING);
	assert_int_equal(f->reply.state, RR_UPSTREAM_DRAINING);
	assert_int_equal(test_read_count(f->upstreams, 0, "ran"), 0);
}

/*
 * Guards against truncated bodies, which look like fewer rows. If one were
 * accepted as complete, pallets of a yard would be missing from an answer that
 * claims to cover it.
 */
static void test_truncated_bodies_have_no_end_mark(void **state)
{
	static const char *const faults[] = { "{\"cut\":\"half\"}",
					      "{\"cut\":\"truncate\"}" };
	struct fixture *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		test_post_control(f->upstreams->control_port, faults[i]);
		post_and_wait(f, RR_SEARCH, NULL);
		assert_int_equal(f->reply.status, RR_REPLY_OK);
		assert_false(f->reply.body_complete);
		assert_int_equal(f->n_rows, 0);
	}
}

/*
 * Guards against resent reservations: a proxy in front of an upstream answers a
 * reservation that has run with a redirect or an authentication challenge. A
 * library that follows either sends the reservation a second time.
 */
static void test_sends_once_to_redirects_and_challenges(void **state)
{
	static const char *const faults[] = { "{\"cut\":\"redirect\"}",
					      "{\"cut\":\"challenge\"}" };
	struct fixture *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		test_post_control(f->upstreams->control_port, faults[i]);
		post_and_wait(f, RR_RESERVE, "1700000000-abcdefgh");
		assert_int_equal(f->reply.status, RR_REPLY_LOST);
		assert_int_equal(test_read_count(f->upstreams, 0, "requests"),
				 i + 1);
	}
}

/*
 * A hedge that lost is cancelled. Its upstream must stop the work, and the
 * connection must be kept: a new one costs 6 ms and counts against the
 * connection limit of the upstream.
 */
static void test_cancels_without_closing(void **state)
{
	struct fixture *f = *state;
	uint64_t id;

	test_post_control(f->upstreams->control_port, "{\"service_ms\":10000}");
	id = post(f, RR_SEARCH, NULL);
	while (!test_read_count(f->upstreams, 0, "running"))
		g_main_context_iteration(NULL, FALSE);
	rr_cancel_attempt(f->ctx, f->client, id);
	while (rr_count_upstream_exchanges(f->client))
		g_main_context_iteration(NULL, TRUE);
	assert_int_equal(f->replies, 0);
	assert_int_equal(test_read_count(f->upstreams, 0, "cancelled"), 1);
	assert_int_equal(test_read_count(f->upstreams, 0, "abandoned"), 0);
	test_post_control(f->upstreams->control_port, "{\"service_ms\":1}");
	post_and_wait(f, RR_SEARCH, NULL);
	assert_int_equal(f->reply.status, RR_REPLY_OK);
	assert_int_equal(test_read_count(f->upstreams, 0, "accepted"), 2);
}

/*
 * Guards against cancelling the attempt of another instance. Two instances
 * started in the same microsecond after a power failure number their attempts
 * alike. One cancels a lost hedge, which must not end the search of the other
 * at the same replica.
 */
static void test_cancels_only_its_own_attempt(void **state)
{
	struct fixture *f = *state;
	struct rr_upstream_client *clients[] = { f->client,
						 open_client(f, "athi-2") };
	uint64_t id = f->next_id;

	test_post_control(f->upstreams->control_port,
			  "{\"service_ms\":60000,\"slots\":2}");
	for (uint32_t i = 0; i < 2; i++) {
		f->client = clients[i];
		f->next_id = id;
		post(f, RR_SEARCH, NULL);
		while (test_read_count(f->upstreams, 0, "running") != i + 1)
			g_main_context_iteration(NULL, FALSE);
	}
	f->client = clients[0];
	rr_cancel_attempt(f->ctx, clients[1], id);
	while (rr_count_upstream_exchanges(clients[1]))
		g_main_context_iteration(NULL, TRUE);
	assert_int_equal(test_read_count(f->upstreams, 0, "cancelled"), 1);
	assert_int_equal(test_read_count(f->upstreams, -1, "repeated_attempts"),
			 0);
	assert_int_equal(rr_count_upstream_exchanges(clients[0]), 1);
	assert_int_equal(f->replies, 0);
	rr_drop_upstream_client(clients[1]);
}

/* Guards against a poll that leaks, since the client is dropped before its end. */
static void test_drop_frees_open_poll(void **state)
{
	struct fixture *f = *state;

	rr_poll_upstream_health(f->ctx, f->client, "r", f->address);
}

static void test_polls_health(void **state)
{
	struct fixture *f = *state;

	test_post_control(f->upstreams->control_port,
			  "{\"told_state\":\"cold\",\"told_load\":0.75}");
	f->replied = false;
	rr_poll_upstream_health(f->ctx, f->client, "r", f->address);
	test_run_until(&f->replied);
	assert_true(f->health.reachable);
	assert_int_equal(f->health.state, RR_UPSTREAM_COLD);
	assert_true(f->health.load > 0.7 && f->health.load < 0.8);
	test_post_control(f->upstreams->control_port, "{\"cut\":\"reset\"}");
	test_signal_process(f->upstreams->process, 9);
	test_wait_process(f->upstreams->process);
	f->replied = false;
	rr_poll_upstream_health(f->ctx, f->client, "r", f->address);
	test_run_until(&f->replied);
	assert_false(f->health.reachable);
	assert_int_equal(f->health.state, RR_UPSTREAM_DOWN);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_reads_rows_on_one_connection),
		TEST(test_sends_once_on_a_new_connection),
		TEST(test_sends_once_on_a_reused_connection),
		TEST(test_refused_connection_proves_not_run),
		TEST(test_reset_connection_proves_nothing),
		TEST(test_reads_rejections),
		TEST(test_truncated_bodies_have_no_end_mark),
		TEST(test_sends_once_to_redirects_and_challenges),
		TEST(test_cancels_without_closing),
		TEST(test_cancels_only_its_own_attempt),
		TEST(test_polls_health),
		TEST(test_drop_frees_open_poll),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
