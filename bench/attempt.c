/*
 * attempt.c - CPU time of sending an attempt over a kept connection, and of
 * cancelling one by a request or by closing the connection.
 *
 * The upstream stand-in runs in a separate process and is not included.
 */
#include <argtable2.h>
#include <stdio.h>
#include <sys/resource.h>

#include "ragwort/net-upstream.h"
#include "support/process.h"

#define N_WARM_UP_ATTEMPTS 500

struct bench {
	struct rr_context *ctx;
	struct rr_upstream_client *client;
	char address[32];
	uint64_t next_id;
	uint32_t to_send;
	uint32_t open;
	uint32_t failed;
};

static int64_t cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (int64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
		       1000000 +
	       usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
}

static uint64_t send_one(struct bench *bench, uint32_t rows)
{
	struct rr_attempt attempt = {
		.id = bench->next_id++,
		.replica = "r",
		.address = bench->address,
		.shard = "shard-1",
		.service = "counter-desk",
		.kind = RR_SEARCH,
		.request_id = "0123456789abcdef",
		.body = "{\"text\":\"old Nairobi red\"}",
		.key_to = (uint64_t)rows * 100,
		.row_limit = 1000,
		.deadline_ms = 2000,
	};

	bench->to_send--;
	bench->open++;
	rr_send_attempt(bench->ctx, bench->client, &attempt);
	return attempt.id;
}

static uint32_t rows_per_reply;

static void handle_reply(void *data, const struct rr_reply *reply)
{
	struct bench *bench = data;

	if (reply->status != RR_REPLY_OK)
		bench->failed++;
	bench->open--;
	if (bench->to_send)
		send_one(bench, rows_per_reply);
}

static void run(struct bench *bench, uint32_t count, uint32_t concurrency)
{
	bench->to_send = count;
	for (uint32_t i = 0; i < concurrency && bench->to_send; i++)
		send_one(bench, rows_per_reply);
	while (bench->open)
		g_main_context_iteration(NULL, TRUE);
}

static struct bench *new_bench(struct test_upstreams *upstreams,
			       bool cancel_by_close)
{
	struct bench *bench = g_new0(struct bench, 1);
	struct rr_upstream_client_options options = {
		.instance = "bench-1",
		.replied = handle_reply,
		.data = bench,
		.cancel_by_close = cancel_by_close,
	};

	bench->ctx = rr_new_context(NULL);
	bench->client = rr_new_upstream_client(bench->ctx, &options);
	bench->next_id = (uint64_t)g_get_real_time();
	g_snprintf(bench->address, sizeof(bench->address), "127.0.0.1:%u",
		   upstreams->ports[0]);
	return bench;
}

static void drop_bench(struct bench *bench)
{
	rr_drop_upstream_client(bench->client);
	while (g_main_context_iteration(NULL, FALSE))
		;
	rr_drop_context(bench->ctx);
	g_free(bench);
}

static void measure_attempts(struct test_upstreams *upstreams, uint32_t count,
			     uint32_t concurrency)
{
	struct bench *bench = new_bench(upstreams, false);
	int64_t cpu_before_us;
	int64_t before_us;
	int64_t cpu_used_us;
	int64_t elapsed_us;

	run(bench, N_WARM_UP_ATTEMPTS, concurrency);
	cpu_before_us = cpu_us();
	before_us = g_get_monotonic_time();
	run(bench, count, concurrency);
	cpu_used_us = cpu_us() - cpu_before_us;
	elapsed_us = g_get_monotonic_time() - before_us;
	printf("attempts at_once=%u rows=%u count=%u cpu_us=%.1f "
	       "per_s=%.0f failed=%u\n",
	       concurrency, rows_per_reply, count, (double)cpu_used_us / count,
	       count * 1e6 / (double)elapsed_us, bench->failed);
	drop_bench(bench);
}

static gboolean set_flag(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Cancel each attempt while its upstream works on it. */
static void measure_cancellations(struct test_upstreams *upstreams,
				  uint32_t count, bool by_close)
{
	struct bench *bench = new_bench(upstreams, by_close);
	int64_t accepted = test_read_count(upstreams, 0, "accepted");
	int64_t before_us;

	before_us = cpu_us();
	for (uint32_t i = 0; i < count; i++) {
		uint64_t id = send_one(bench, rows_per_reply);
		bool waited = false;

		g_timeout_add(3, set_flag, &waited);
		while (!waited)
			g_main_context_iteration(NULL, TRUE);
		rr_cancel_attempt(bench->ctx, bench->client, id);
		while (rr_count_upstream_exchanges(bench->client))
			g_main_context_iteration(NULL, TRUE);
	}
	printf("withdrawals by=%s count=%u connections_made=%" G_GINT64_FORMAT
	       " cpu_us=%.1f\n",
	       by_close ? "closing" : "cancel call", count,
	       test_read_count(upstreams, 0, "accepted") - accepted,
	       (double)(cpu_us() - before_us) / count);
	drop_bench(bench);
}

int main(int argc, char **argv)
{
	struct arg_int *count =
		arg_int0(NULL, "count", "N", "attempts per run");
	struct arg_int *rows = arg_int0(NULL, "rows", "N", "rows per reply");
	struct arg_end *end = arg_end(5);
	void *table[] = { count, rows, end };
	const char *arguments[] = { "--slots=64", "--queue=1000",
				    "--connections=200", "--service-ms=0",
				    NULL };
	static const uint32_t concurrency[] = { 1, 8, 25 };
	struct test_upstreams *upstreams;

	count->ival[0] = 20000;
	rows->ival[0] = 10;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "attempt");
		return 2;
	}
	rows_per_reply = (uint32_t)rows->ival[0];
	upstreams = test_start_upstreams(1, arguments);
	for (size_t i = 0; i < G_N_ELEMENTS(concurrency); i++)
		measure_attempts(upstreams, (uint32_t)count->ival[0],
				 concurrency[i]);
	test_post_control(upstreams->control_port, "{\"service_ms\":10000}");
	measure_cancellations(upstreams, 200, false);
	measure_cancellations(upstreams, 200, true);
	test_drop_upstreams(upstreams);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
