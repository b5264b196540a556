/*
 * path.c - the whole path under load: callers, instances, upstream stand-ins
 * as processes; answers a second, latency, attempts and processor time.
 */
#include <argtable2.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/deployment.h"

struct load {
	struct test_deployment *d;
	SoupSession *session;
	GArray *latencies_us; /* int64_t */
	uint32_t open;
	uint32_t complete;
	uint32_t partial;
	uint32_t refused;
	uint32_t failed;
	bool stopping;
};

struct call {
	struct load *load;
	int entry;
	int64_t began_us;
	SoupMessage *message;
};

static void begin_call(struct load *load, int entry);

static void take_answer(GObject *source, GAsyncResult *async, gpointer data)
{
	struct call *call = data;
	struct load *load = call->load;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 async, NULL);
	uint32_t status = soup_message_get_status(call->message);
	int64_t took_us = g_get_monotonic_time() - call->began_us;

	if (!body) {
		load->failed++;
	} else if (status != 200) {
		load->refused++;
	} else {
		gsize length;
		const char *text = g_bytes_get_data(body, &length);

		if (g_strstr_len(text, (gssize)length, "\"partial\""))
			load->partial++;
		else
			load->complete++;
		g_array_append_val(load->latencies_us, took_us);
	}
	if (body)
		g_bytes_unref(body);
	load->open--;
	if (!load->stopping)
		begin_call(load, call->entry);
	g_object_unref(call->message);
	g_free(call);
}

static void begin_call(struct load *load, int entry)
{
	struct call *call = g_new0(struct call, 1);
	char *url =
		g_strdup_printf("http://127.0.0.1:%u" TEST_SERVICE "/search",
				load->d->caller_ports[entry]);
	GBytes *body = g_bytes_new_static("{\"query\":1}", 11);

	call->load = load;
	call->entry = entry;
	call->began_us = g_get_monotonic_time();
	call->message = soup_message_new("POST", url);
	soup_message_set_flags(call->message, SOUP_MESSAGE_IDEMPOTENT);
	soup_message_set_request_body_from_bytes(call->message,
						 "application/json", body);
	load->open++;
	soup_session_send_and_read_async(load->session, call->message,
					 G_PRIORITY_DEFAULT, NULL, take_answer,
					 call);
	g_bytes_unref(body);
	g_free(url);
}

static gboolean stop_load(gpointer data)
{
	struct load *load = data;

	load->stopping = true;
	return G_SOURCE_REMOVE;
}

/* User and system time of a process in microseconds. */
static int64_t process_us(pid_t pid)
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
	int64_t processor_us;
	int64_t attempts;
	int64_t hedges;
	int64_t relays;
};

static struct totals read_totals(struct test_deployment *d)
{
	struct totals totals = { 0 };

	for (int i = 0; i < d->options.n_instances; i++) {
		totals.processor_us += process_us(d->instances[i]->pid);
		totals.attempts += test_read_metric(d, i, "attempts_total");
		totals.hedges += test_read_metric(d, i, "hedges_total");
		totals.relays += test_read_metric(d, i, "relays_sent_total");
	}
	return totals;
}

static void report(struct load *load, const struct totals *before,
		   const struct totals *after, double seconds, uint32_t at_once)
{
	uint32_t answers = load->complete + load->partial;

	g_array_sort(load->latencies_us, compare_i64);
	printf("path shards=%d zones=%d instances=%d at_once=%u per_s=%.0f "
	       "p50_ms=%.1f p99_ms=%.1f complete=%u partial=%u refused=%u "
	       "failed=%u attempts_each=%.2f hedges_each=%.3f "
	       "relays_each=%.2f cpu_ms_each=%.2f\n",
	       load->d->options.n_shards, load->d->options.n_zones,
	       load->d->options.n_instances, at_once, answers / seconds,
	       quantile_ms(load->latencies_us, 0.5),
	       quantile_ms(load->latencies_us, 0.99), load->complete,
	       load->partial, load->refused, load->failed,
	       (double)(after->attempts - before->attempts) / answers,
	       (double)(after->hedges - before->hedges) / answers,
	       (double)(after->relays - before->relays) / answers,
	       (double)(after->processor_us - before->processor_us) / 1000 /
		       answers);
}

static void run(struct test_deployment *d, uint32_t at_once, uint32_t seconds)
{
	struct load load = { .d = d };
	struct totals before;
	struct totals after;
	int64_t began_us;

	load.session = soup_session_new_with_options(
		"max-conns", 1000, "max-conns-per-host", 1000, "proxy-resolver",
		NULL, NULL);
	load.latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	before = read_totals(d);
	began_us = g_get_monotonic_time();
	g_timeout_add_seconds(seconds, stop_load, &load);
	for (uint32_t i = 0; i < at_once; i++)
		begin_call(&load, (int)i % d->options.n_instances);
	while (load.open)
		g_main_context_iteration(NULL, TRUE);
	after = read_totals(d);
	report(&load, &before, &after,
	       (double)(g_get_monotonic_time() - began_us) / 1e6, at_once);
	g_array_unref(load.latencies_us);
	g_object_unref(load.session);
}

int main(int argc, char **argv)
{
	struct arg_int *shards = arg_int0(NULL, "shards", "N", "2 copies each");
	struct arg_int *zones = arg_int0(NULL, "zones", "N", "");
	struct arg_int *entries = arg_int0(NULL, "instances", "N", "");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N", "a run");
	struct arg_end *end = arg_end(5);
	void *table[] = { shards, zones, entries, seconds, end };
	static const uint32_t at_once[] = { 1, 3, 12, 48 };
	struct test_deployment_options options = {
		.replicas_per_shard = 2,
		.service_settings = "    deadline_ms: 2000\n"
				    "    max_rows: 1000\n",
	};
	struct test_deployment *d;

	shards->ival[0] = 20;
	zones->ival[0] = 3;
	entries->ival[0] = 3;
	seconds->ival[0] = 5;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "path");
		return 2;
	}
	options.n_shards = shards->ival[0];
	options.n_zones = zones->ival[0];
	options.n_instances = entries->ival[0];
	d = test_start_deployment(&options);
	for (size_t i = 0; i < G_N_ELEMENTS(at_once); i++)
		run(d, at_once[i], (uint32_t)seconds->ival[0]);
	test_drop_deployment(d);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
