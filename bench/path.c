/*
 * path.c - throughput, latency, attempts and CPU time of a whole deployment
 * under load: callers, instances and upstream stand-ins as processes.
 */
#include <argtable2.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/deployment.h"

struct load {
	struct test_deployment *deployment;
	SoupSession *session;
	GArray *latencies_us; /* int64_t */
	uint32_t open;
	uint32_t complete;
	uint32_t partial;
	uint32_t rejected;
	uint32_t failed;
	bool stopping;
};

struct call {
	struct load *load;
	int instance;
	int64_t started_us;
	SoupMessage *message;
};

static void start_call(struct load *load, int instance);

static void handle_answer(GObject *source, GAsyncResult *async, gpointer data)
{
	struct call *call = data;
	struct load *load = call->load;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 async, NULL);
	uint32_t status = soup_message_get_status(call->message);
	int64_t latency_us = g_get_monotonic_time() - call->started_us;

	if (!body) {
		load->failed++;
	} else if (status != 200) {
		load->rejected++;
	} else {
		gsize length;
		const char *text = g_bytes_get_data(body, &length);

		if (g_strstr_len(text, (gssize)length, "\"partial\""))
			load->partial++;
		else
			load->complete++;
		g_array_append_val(load->latencies_us, latency_us);
	}
	if (body)
		g_bytes_unref(body);
	load->open--;
	if (!load->stopping)
		start_call(load, call->instance);
	g_object_unref(call->message);
	g_free(call);
}

static void start_call(struct load *load, int instance)
{
	struct call *call = g_new0(struct call, 1);
	char *url =
		g_strdup_printf("http://127.0.0.1:%u" TEST_SERVICE "/search",
				load->deployment->caller_ports[instance]);
	GBytes *body = g_bytes_new_static("{\"query\":1}", 11);

	call->load = load;
	call->instance = instance;
	call->started_us = g_get_monotonic_time();
	call->message = soup_message_new("POST", url);
	soup_message_set_flags(call->message, SOUP_MESSAGE_IDEMPOTENT);
	soup_message_set_request_body_from_bytes(call->message,
						 "application/json", body);
	load->open++;
	soup_session_send_and_read_async(load->session, call->message,
					 G_PRIORITY_DEFAULT, NULL,
					 handle_answer, call);
	g_bytes_unref(body);
	g_free(url);
}

static gboolean stop_load(gpointer data)
{
	struct load *load = data;

	load->stopping = true;
	return G_SOURCE_REMOVE;
}

/* Return the user and system CPU time of a process in microseconds. */
static int64_t process_cpu_us(pid_t pid)
{
	char *file = g_strdup_printf("/proc/%d/stat", pid);
	char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;
	const char *rest;

	g_file_get_contents(file, &text, NULL, NULL);
	rest = text ? strrchr(text, ')') : NULL;
	if (!rest || sscanf(rest,
			    ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
			    "%lu %lu",
			    &user, &system) != 2)
		user = 0;
	g_free(text);
	g_free(file);
	return (int64_t)(user + system) * 1000000 / sysconf(_SC_CLK_TCK);
}

static int compare_i64(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static double quantile_ms(GArray *sorted, double quantile)
{
	guint i;

	if (!sorted->len)
		return 0;
	i = MIN((guint)(quantile * sorted->len), sorted->len - 1);
	return (double)g_array_index(sorted, int64_t, i) / 1000;
}

struct totals {
	int64_t cpu_us;
	int64_t attempts;
	int64_t hedges;
	int64_t relays;
};

static struct totals read_totals(struct test_deployment *deployment)
{
	struct totals totals = { 0 };

	for (int i = 0; i < deployment->options.n_instances; i++) {
		totals.cpu_us += process_cpu_us(deployment->instances[i]->pid);
		totals.attempts +=
			test_read_metric(deployment, i, "attempts_total");
		totals.hedges +=
			test_read_metric(deployment, i, "hedges_total");
		totals.relays +=
			test_read_metric(deployment, i, "relays_sent_total");
	}
	return totals;
}

static void report(struct load *load, const struct totals *before,
		   const struct totals *after, double seconds,
		   uint32_t concurrency)
{
	uint32_t answers = load->complete + load->partial;

	g_array_sort(load->latencies_us, compare_i64);
	printf("path shards=%d zones=%d instances=%d at_once=%u per_s=%.0f "
	       "p50_ms=%.1f p99_ms=%.1f complete=%u partial=%u refused=%u "
	       "failed=%u attempts_each=%.2f hedges_each=%.3f "
	       "relays_each=%.2f cpu_ms_each=%.2f\n",
	       load->deployment->options.n_shards,
	       load->deployment->options.n_zones,
	       load->deployment->options.n_instances, concurrency,
	       answers / seconds, quantile_ms(load->latencies_us, 0.5),
	       quantile_ms(load->latencies_us, 0.99), load->complete,
	       load->partial, load->rejected, load->failed,
	       (double)(after->attempts - before->attempts) / answers,
	       (double)(after->hedges - before->hedges) / answers,
	       (double)(after->relays - before->relays) / answers,
	       (double)(after->cpu_us - before->cpu_us) / 1000 / answers);
}

static void run(struct test_deployment *deployment, uint32_t concurrency,
		uint32_t seconds)
{
	struct load load = { .deployment = deployment };
	struct totals before;
	struct totals after;
	int64_t started_us;

	load.session = soup_session_new_with_options(
		"max-conns", 1000, "max-conns-per-host", 1000, "proxy-resolver",
		NULL, NULL);
	load.latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	before = read_totals(deployment);
	started_us = g_get_monotonic_time();
	g_timeout_add_seconds(seconds, stop_load, &load);
	for (uint32_t i = 0; i < concurrency; i++)
		start_call(&load, (int)i % deployment->options.n_instances);
	while (load.open)
		g_main_context_iteration(NULL, TRUE);
	after = read_totals(deployment);
	report(&load, &before, &after,
	       (double)(g_get_monotonic_time() - started_us) / 1e6,
	       concurrency);
	g_array_unref(load.latencies_us);
	g_object_unref(load.session);
}

int main(int argc, char **argv)
{
	struct arg_int *shards = arg_int0(NULL, "shards", "N",
					  "number of shards, 2 replicas each");
	struct arg_int *zones = arg_int0(NULL, "zones", "N", "number of zones");
	struct arg_int *instances =
		arg_int0(NULL, "instances", "N", "number of instances");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "length of each run");
	struct arg_end *end = arg_end(5);
	void *table[] = { shards, zones, instances, seconds, end };
	static const uint32_t concurrency[] = { 1, 3, 12, 48 };
	struct test_deployment_options options = {
		.replicas_per_shard = 2,
		.service_settings = "    deadline_ms: 2000\n"
				    "    max_rows: 1000\n",
	};
	struct test_deployment *deployment;

	shards->ival[0] = 20;
	zones->ival[0] = 3;
	instances->ival[0] = 3;
	seconds->ival[0] = 5;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "path");
		return 2;
	}
	options.n_shards = shards->ival[0];
	options.n_zones = zones->ival[0];
	options.n_instances = instances->ival[0];
	deployment = test_start_deployment(&options);
	for (size_t i = 0; i < G_N_ELEMENTS(concurrency); i++)
		run(deployment, concurrency[i], (uint32_t)seconds->ival[0]);
	test_drop_deployment(deployment);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
