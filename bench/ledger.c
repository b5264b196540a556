/*
 * ledger.c - store calls and claim latency of reservations, with grouped
 * buckets and with a key per reservation, in virtual time with a seed.
 *
 * The store takes 2 to 5 ms per call and serves 400 writes and 2,000 reads per
 * second; calls above that rate are queued.  Each reservation is claimed, runs
 * for 6 ms, and its result is recorded.
 */
#include <argtable2.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../tests/support/fake-store.h"
#include "ragwort/counters.h"
#include "ragwort/ledger.h"

#define INSTANCES 9
#define EXECUTION_US 6000
#define TIMEOUT_MS 1000
#define RETENTION_S 86400
#define WALL_START_US (1700000000 * (int64_t)G_USEC_PER_SEC)
#define RESULT "{\"reservation\":\"0123456789abcdef\",\"state\":\"held\"}"

enum scheme {
	SCHEME_KEY_EACH, /* a key per reservation, no reads */
	SCHEME_BUCKETS,	 /* each instance writes its own claims */
	SCHEME_ROUTED,	 /* one instance writes all claims of a bucket */
};

struct options {
	enum scheme scheme;
	uint32_t buckets;
	uint32_t rate_per_s;
	uint32_t seconds;
	uint32_t seed;
};

struct execution {
	int64_t due_us;
	uint64_t claim; /* claim id, or the number of its key */
	int instance;
};

struct instance {
	struct run *run;
	struct rr_context *ctx;
	struct rr_ledger *ledger;
	struct fake_client client;
	uint64_t next_call_id;
	GHashTable *started; /* claim id to its start time (int64_t) */
};

struct run {
	struct options options;
	GRand *random;
	struct fake_store *store;
	struct instance instances[INSTANCES];
	GQueue running; /* struct execution, in order of due_us */
	GArray *latencies_us;
	uint64_t rejected;
	uint64_t unresolved;
};

static void start_execution(struct instance *instance, uint64_t claim)
{
	struct run *run = instance->run;
	int64_t *started_us = g_hash_table_lookup(instance->started, &claim);
	int64_t latency_us = run->store->now_us - *started_us;
	struct execution *execution = g_new(struct execution, 1);

	g_array_append_val(run->latencies_us, latency_us);
	execution->due_us = run->store->now_us + EXECUTION_US;
	execution->claim = claim;
	execution->instance = (int)(instance - run->instances);
	g_queue_push_tail(&run->running, execution);
}

static void handle_claim_result(void *data,
				const struct rr_claim_result *result)
{
	struct instance *instance = data;

	if (result->status == RR_CLAIM_ACQUIRED)
		start_execution(instance, result->claim_id);
	else if (result->status == RR_CLAIM_UNRESOLVED)
		instance->run->unresolved++;
	else
		instance->run->rejected++;
}

static void handle_reply(void *data, const struct rr_store_reply *reply)
{
	struct instance *instance = data;

	if (instance->run->options.scheme != SCHEME_KEY_EACH)
		rr_handle_ledger_reply(instance->ctx, instance->ledger,
				       instance->run->store->now_us, reply);
	else if (g_hash_table_contains(instance->started, &reply->call_id))
		start_execution(instance, reply->call_id);
}

static void init_instance(struct run *run, int i)
{
	struct instance *instance = &run->instances[i];
	char *name = g_strdup_printf("catania-sala-%d", i);
	struct rr_context_options ctx_options = { .seed = run->options.seed +
							  i };
	struct rr_ledger_options options = {
		.instance = name,
		.incarnation = WALL_START_US,
		.buckets = run->options.buckets,
		.retention_s = RETENTION_S,
		.call_timeout_ms = TIMEOUT_MS,
		.claimed = handle_claim_result,
		.data = instance,
		.next_call_id = &instance->next_call_id,
	};

	instance->run = run;
	instance->next_call_id = 1;
	instance->ctx = rr_new_context(&ctx_options);
	instance->client =
		(struct fake_client){ run->store, handle_reply, instance };
	options.store = fake_client_port(&instance->client);
	instance->ledger = rr_new_ledger(instance->ctx, &options);
	instance->started = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	g_free(name);
}

static void record_start(struct instance *instance, uint64_t claim)
{
	int64_t now_us = instance->run->store->now_us;

	g_hash_table_insert(instance->started, g_memdup2(&claim, sizeof(claim)),
			    g_memdup2(&now_us, sizeof(now_us)));
}

static int select_instance(struct run *run, const char *id)
{
	if (run->options.scheme != SCHEME_ROUTED)
		return g_rand_int_range(run->random, 0, INSTANCES);
	return (int)(rr_ledger_group("invoicing", id, run->options.buckets) %
		     INSTANCES);
}

static void write_own_key(struct instance *instance, uint64_t call_id,
			  uint64_t number, uint64_t revision, const char *value)
{
	struct rr_store_port port = fake_client_port(&instance->client);
	char *key = g_strdup_printf("%p/%" PRIu64, (void *)instance, number);

	port.compare_and_swap(port.data, call_id, key, revision, value,
			      strlen(value), NULL);
	g_free(key);
}

static void start_reservation(struct run *run)
{
	int64_t now_us = run->store->now_us;
	char *id = g_strdup_printf("%" PRId64 "-%08x%08x",
				   (WALL_START_US + now_us) / G_USEC_PER_SEC,
				   g_rand_int(run->random),
				   g_rand_int(run->random));
	struct instance *instance = &run->instances[select_instance(run, id)];
	uint64_t claim;

	if (run->options.scheme == SCHEME_KEY_EACH) {
		claim = instance->next_call_id;
		instance->next_call_id += 2;
		record_start(instance, claim);
		write_own_key(instance, claim, claim, 0, id);
	} else {
		/* The result is always reported after the call returns. */
		claim = rr_claim_request_id(instance->ctx, instance->ledger,
					    now_us, WALL_START_US + now_us,
					    "invoicing", id, 1);
		record_start(instance, claim);
	}
	g_free(id);
}

static void end_reservation(struct run *run)
{
	struct execution *execution = g_queue_pop_head(&run->running);
	struct instance *instance = &run->instances[execution->instance];

	if (run->options.scheme == SCHEME_KEY_EACH)
		write_own_key(instance, execution->claim + 1, execution->claim,
			      1, RESULT);
	else
		rr_record_claim_result(instance->ctx, instance->ledger,
				       run->store->now_us, execution->claim,
				       RESULT, strlen(RESULT));
	g_free(execution);
}

static int64_t next_wake_us(struct run *run)
{
	int64_t wake_us = fake_store_due_us(run->store);
	struct execution *execution = g_queue_peek_head(&run->running);

	if (execution)
		wake_us = MIN(wake_us, execution->due_us);
	for (int i = 0; i < INSTANCES; i++)
		wake_us = MIN(wake_us,
			      rr_ledger_wake_us(run->instances[i].ledger));
	return wake_us;
}

static void run_until(struct run *run, int64_t until_us)
{
	struct fake_store *store = run->store;

	while (next_wake_us(run) <= until_us) {
		int64_t wake_us = next_wake_us(run);
		struct execution *execution;

		if (fake_store_due_us(store) <= wake_us)
			run_fake_store_event(store);
		store->now_us = MAX(store->now_us, wake_us);
		execution = g_queue_peek_head(&run->running);
		if (execution && execution->due_us <= store->now_us)
			end_reservation(run);
		for (int i = 0; i < INSTANCES; i++) {
			struct instance *instance = &run->instances[i];

			if (rr_ledger_wake_us(instance->ledger) <=
			    store->now_us)
				rr_tick_ledger(instance->ctx, instance->ledger,
					       store->now_us);
		}
	}
	store->now_us = MAX(store->now_us, until_us);
}

static int compare_i64(gconstpointer a, gconstpointer b)
{
	int64_t first = *(const int64_t *)a;
	int64_t second = *(const int64_t *)b;

	return (first > second) - (first < second);
}

static double quantile_ms(GArray *latencies_us, double quantile)
{
	size_t index;

	if (!latencies_us->len)
		return 0;
	index = (size_t)(quantile * (latencies_us->len - 1));
	return (double)g_array_index(latencies_us, int64_t, index) / 1000;
}

static void print_row(struct run *run, uint64_t n_requests, double cpu_us)
{
	static const char *const names[] = { "key each", "buckets", "routed" };
	const struct options *options = &run->options;
	const struct fake_store *store = run->store;
	double seconds = options->seconds;
	uint64_t claimed = run->latencies_us->len;

	g_array_sort(run->latencies_us, compare_i64);
	printf("| %s | %u | %u | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | "
	       "%.1f | %.1f | %.0f |\n",
	       names[options->scheme],
	       options->scheme == SCHEME_KEY_EACH ? 0 : options->buckets,
	       options->rate_per_s, (double)store->writes / seconds,
	       (double)store->reads / seconds,
	       (double)store->conflicts / seconds,
	       (double)store->bytes_written / seconds / 1000,
	       (double)claimed / seconds,
	       100.0 * (double)(run->rejected + run->unresolved) /
		       (double)n_requests,
	       quantile_ms(run->latencies_us, 0.5),
	       quantile_ms(run->latencies_us, 0.99),
	       cpu_us / (double)n_requests);
	fflush(stdout);
}

static void drop_run(struct run *run)
{
	for (int i = 0; i < INSTANCES; i++) {
		rr_drop_ledger(run->instances[i].ledger);
		rr_drop_context(run->instances[i].ctx);
		g_hash_table_destroy(run->instances[i].started);
	}
	g_queue_clear_full(&run->running, g_free);
	g_array_unref(run->latencies_us);
	drop_fake_store(run->store);
	g_rand_free(run->random);
}

static void measure(const struct options *options)
{
	struct run run = { .options = *options };
	const int64_t end_us = options->seconds * (int64_t)G_USEC_PER_SEC;
	clock_t before = clock();
	uint64_t n_requests = 0;
	double at_us = 0;

	run.random = g_rand_new_with_seed(options->seed);
	run.store = new_fake_store(options->seed);
	run.store->write_busy_us = 2500;
	run.store->read_busy_us = 500;
	run.latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < INSTANCES; i++)
		init_instance(&run, i);
	for (;;) {
		at_us += 2e6 * g_rand_double(run.random) / options->rate_per_s;
		if (at_us >= (double)end_us)
			break;
		run_until(&run, (int64_t)at_us);
		start_reservation(&run);
		n_requests++;
	}
	run_until(&run, end_us);
	print_row(&run, n_requests,
		  (double)(clock() - before) * 1e6 / CLOCKS_PER_SEC);
	drop_run(&run);
}

int main(int argc, char **argv)
{
	static const uint32_t rates[] = { 10, 100, 150, 300, 1000, 3000 };
	static const struct {
		enum scheme scheme;
		uint32_t buckets;
	} schemes[] = {
		{ SCHEME_KEY_EACH, 1 }, { SCHEME_BUCKETS, 256 },
		{ SCHEME_BUCKETS, 16 }, { SCHEME_BUCKETS, 64 },
		{ SCHEME_ROUTED, 16 },	{ SCHEME_ROUTED, 64 },
	};
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed, default 1");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N",
					   "length of each run, default 20");
	struct arg_int *rate =
		arg_int0(NULL, "rate", "N", "reservations/s; default: several");
	struct arg_end *end = arg_end(5);
	void *table[] = { seed, seconds, rate, end };

	seed->ival[0] = 1;
	seconds->ival[0] = 20;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "ledger");
		return 2;
	}
	printf("| scheme | buckets | reservations/s | writes/s | reads/s | "
	       "conflicts/s | KB/s written | claimed/s | refused %% | "
	       "claim ms p50 | p99 | CPU us a reservation |\n"
	       "| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | "
	       "--: | --: |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		/* A given rate replaces the table of rates. */
		if (rate->count && i)
			break;
		for (size_t k = 0; k < G_N_ELEMENTS(schemes); k++) {
			const struct options options = {
				.scheme = schemes[k].scheme,
				.buckets = schemes[k].buckets,
				.rate_per_s = rate->count ?
						      (uint32_t)rate->ival[0] :
						      rates[i],
				.seconds = (uint32_t)seconds->ival[0],
				.seed = (uint32_t)seed->ival[0],
			};

			measure(&options);
		}
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
