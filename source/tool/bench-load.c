/*
 * bench-load.c - open-loop load generator.
 */
#include "tool/bench-load.h"

#include <libsoup/soup.h>
#include <math.h>
#include <string.h>

#include "tool/credentials.h"
#include "tool/tool.h"

#define MAX_CONNECTIONS 4096
/* Time past its deadline after which a request is cancelled. */
#define REPLY_GRACE_MS 2000

/* Arrival process of one entry of the mix. */
struct stream {
	const struct rr_bench_mix_entry *entry;
	struct rr_bench_stats *stats;
	int64_t due_us; /* scheduled time of the next request */
	char *cursor;	/* list: cursor of the next page; NULL for the first */
	bool page_pending; /* list: a page request is in flight */
};

struct run {
	const struct rr_bench_load *load;
	SoupSession *session;
	GRand *random;
	struct stream *streams;
	GSource *timer;
	int64_t measure_start_us; /* end of the warm-up */
	int64_t end_us;
	uint64_t n_sent;
	uint64_t n_in_flight;
	size_t n_instances;
};

/* A request in flight. */
struct request {
	struct run *run;
	struct stream *stream;
	SoupMessage *message;
	GCancellable *cancellable;
	GSource *timeout;
	int64_t due_us;
	bool measured; /* due after the warm-up */
};

static enum rr_bench_outcome parse_outcome(const char *text)
{
	if (!strcmp(text, "complete"))
		return RR_BENCH_COMPLETE;
	if (!strcmp(text, "partial"))
		return RR_BENCH_PARTIAL;
	if (!strcmp(text, "not-run"))
		return RR_BENCH_NOT_RUN;
	if (!strcmp(text, "unknown"))
		return RR_BENCH_UNKNOWN;
	return RR_BENCH_OTHER;
}

static guint array_length(JsonArray *array)
{
	return array ? json_array_get_length(array) : 0;
}

static void record_answer(struct request *request, JsonObject *answer)
{
	struct rr_bench_stats *stats = request->stream->stats;
	int64_t latency_us = g_get_monotonic_time() - request->due_us;
	enum rr_bench_outcome outcome =
		parse_outcome(rr_json_string_or(answer, "outcome", "?"));
	JsonObject *coverage = rr_json_object(answer, "coverage");

	stats->outcome_counts[outcome]++;
	if (outcome == RR_BENCH_NOT_RUN)
		rr_add_bench_sample(&stats->rejection_latencies, latency_us);
	if (outcome != RR_BENCH_COMPLETE && outcome != RR_BENCH_PARTIAL)
		return;
	rr_add_bench_sample(&stats->latencies, latency_us);
	stats->shards_covered +=
		array_length(rr_json_array(coverage, "covered"));
	stats->shards_missing +=
		array_length(rr_json_array(coverage, "lacking"));
	stats->attempts += (uint64_t)rr_json_integer_or(answer, "attempts", 0);
	stats->rows += array_length(rr_json_array(answer, "rows"));
}

static void handle_reply(struct request *request, GBytes *body)
{
	gsize length;
	const char *text = g_bytes_get_data(body, &length);
	char *copy = g_strndup(text ? text : "", length);
	JsonNode *root = rr_parse_json_text(copy);
	struct stream *stream = request->stream;
	JsonObject *answer = NULL;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		answer = json_node_get_object(root);
	if (stream->entry->kind == RR_LIST && answer)
		stream->cursor = g_strdup(
			rr_json_string_or(answer, "next_cursor", NULL));
	if (request->measured && answer)
		record_answer(request, answer);
	else if (request->measured)
		stream->stats->outcome_counts[RR_BENCH_OTHER]++;
	if (root)
		json_node_unref(root);
	g_free(copy);
}

static void request_done(GObject *session, GAsyncResult *result, gpointer data)
{
	struct request *request = data;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session),
							 result, NULL);

	if (request->stream->entry->kind == RR_LIST)
		request->stream->page_pending = false;
	if (body)
		handle_reply(request, body);
	else if (request->measured)
		request->stream->stats->outcome_counts[RR_BENCH_NO_ANSWER]++;
	g_clear_pointer(&body, g_bytes_unref);
	g_source_destroy(request->timeout);
	g_source_unref(request->timeout);
	g_object_unref(request->message);
	g_object_unref(request->cancellable);
	request->run->n_in_flight--;
	g_free(request);
}

static gboolean cancel_request(gpointer data)
{
	struct request *request = data;

	g_cancellable_cancel(request->cancellable);
	return G_SOURCE_REMOVE;
}

static char *make_body(struct run *run, const struct rr_bench_mix_entry *entry)
{
	uint64_t keys = entry->key_to - entry->key_from;
	uint64_t key;

	if (entry->kind == RR_SEARCH)
		return g_strdup_printf("{\"query\":%s,\"max_rows\":%u}",
				       entry->query, entry->max_rows);
	key = entry->key_from +
	      (uint64_t)(g_rand_double(run->random) * (double)keys);
	return g_strdup_printf("{\"query\":%s,\"key\":%" G_GUINT64_FORMAT "}",
			       entry->query, key);
}

static char *make_uri(struct run *run, struct stream *stream)
{
	const struct rr_bench_mix_entry *entry = stream->entry;
	const struct rr_bench_load *load = run->load;
	const char *address = load->addresses[run->n_sent % run->n_instances];
	bool tls = load->credentials && load->credentials->ca_database;
	GString *uri = g_string_new(NULL);

	g_string_printf(uri, "%s://%s/v1/services/", tls ? "https" : "http",
			address);
	g_string_append_uri_escaped(uri, entry->service, NULL, FALSE);
	g_string_append_printf(uri, "/%s", rr_request_kind_name(entry->kind));
	if (entry->kind == RR_LIST)
		g_string_append_printf(uri, "?max_rows=%u", entry->max_rows);
	if (stream->cursor) {
		g_string_append(uri, "&cursor=");
		g_string_append_uri_escaped(uri, stream->cursor, NULL, FALSE);
		g_clear_pointer(&stream->cursor, g_free);
	}
	return g_string_free(uri, FALSE);
}

static void set_headers(struct run *run, const struct rr_bench_mix_entry *entry,
			SoupMessageHeaders *headers)
{
	const struct rr_credentials *credentials = run->load->credentials;
	char *text = g_strdup_printf("%u", run->load->scenario->deadline_ms);

	soup_message_headers_append(headers, "X-Deadline-Ms", text);
	g_free(text);
	if (entry->batch)
		soup_message_headers_append(headers, "X-Priority", "batch");
	if (credentials && credentials->authorization)
		soup_message_headers_append(headers, "Authorization",
					    credentials->authorization);
	if (entry->kind != RR_RESERVE)
		return;
	/*
	 * The id is not derived from the seed: a second run with the same seed
	 * would reuse the ids and get the results of the first one.
	 */
	text = g_strdup_printf("%" G_GINT64_FORMAT "-bench-%08x%08x",
			       g_get_real_time() / G_USEC_PER_SEC,
			       g_random_int(), g_random_int());
	soup_message_headers_append(headers, "Idempotency-Key", text);
	g_free(text);
}

static SoupMessage *make_message(struct run *run, struct stream *stream)
{
	const struct rr_bench_mix_entry *entry = stream->entry;
	char *uri = make_uri(run, stream);
	SoupMessage *message =
		soup_message_new(entry->kind == RR_LIST ? "GET" : "POST", uri);
	GBytes *body;
	char *text;

	g_free(uri);
	/*
	 * Marked idempotent so that POSTs use persistent connections; they are
	 * sent once, see http.h.
	 */
	soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT |
						SOUP_MESSAGE_NO_REDIRECT);
	set_headers(run, entry, soup_message_get_request_headers(message));
	if (entry->kind == RR_LIST)
		return message;
	text = make_body(run, entry);
	body = g_bytes_new_take(text, strlen(text));
	soup_message_set_request_body_from_bytes(message, "application/json",
						 body);
	g_bytes_unref(body);
	return message;
}

static void send_request(struct run *run, struct stream *stream, int64_t now_us)
{
	struct request *request;

	/* Like the nightly job, fetch the pages of a list sequentially. */
	if (stream->entry->kind == RR_LIST && stream->page_pending)
		return;
	request = g_new0(struct request, 1);
	request->run = run;
	request->stream = stream;
	request->due_us = stream->due_us;
	request->measured = stream->due_us >= run->measure_start_us;
	request->cancellable = g_cancellable_new();
	request->message = make_message(run, stream);
	request->timeout = g_timeout_source_new(
		run->load->scenario->deadline_ms + REPLY_GRACE_MS);
	g_source_set_callback(request->timeout, cancel_request, request, NULL);
	g_source_attach(request->timeout, NULL);
	stream->page_pending = stream->entry->kind == RR_LIST;
	run->n_sent++;
	run->n_in_flight++;
	if (request->measured) {
		stream->stats->requests++;
		rr_add_bench_sample(&stream->stats->send_delays,
				    now_us - request->due_us);
	}
	soup_session_send_and_read_async(
		run->session, request->message, G_PRIORITY_DEFAULT,
		request->cancellable, request_done, request);
}

/* Use Poisson arrivals, since callers are independent of each other. */
static void schedule_next(struct run *run, struct stream *stream)
{
	double uniform = 1.0 - g_rand_double(run->random);

	stream->due_us +=
		(int64_t)(-log(uniform) / stream->entry->rate * G_USEC_PER_SEC);
}

static struct stream *earliest_stream(struct run *run)
{
	struct stream *first = &run->streams[0];

	for (size_t i = 1; i < run->load->scenario->n_entries; i++) {
		if (run->streams[i].due_us < first->due_us)
			first = &run->streams[i];
	}
	return first;
}

static gboolean send_due_requests(gpointer data)
{
	struct run *run = data;
	int64_t now_us = g_get_monotonic_time();
	struct stream *stream = earliest_stream(run);

	while (stream->due_us <= now_us && stream->due_us < run->end_us) {
		send_request(run, stream, now_us);
		schedule_next(run, stream);
		stream = earliest_stream(run);
		now_us = g_get_monotonic_time();
	}
	/*
	 * Disable the timer after the last request: a ready time in the past
	 * would dispatch it on every iteration.
	 */
	g_source_set_ready_time(
		run->timer, stream->due_us < run->end_us ? stream->due_us : -1);
	return G_SOURCE_CONTINUE;
}

static gboolean dispatch_timer(GSource *source, GSourceFunc callback,
			       gpointer data)
{
	(void)source;
	return callback(data);
}

static GSourceFuncs timer_functions = { .dispatch = dispatch_timer };

static void start_streams(struct run *run, struct rr_bench_stats *stats)
{
	const struct rr_bench_scenario *scenario = run->load->scenario;
	int64_t now_us = g_get_monotonic_time();

	run->measure_start_us = now_us + scenario->warm_up_s * G_USEC_PER_SEC;
	run->end_us =
		run->measure_start_us + scenario->duration_s * G_USEC_PER_SEC;
	run->streams = g_new0(struct stream, scenario->n_entries);
	for (size_t i = 0; i < scenario->n_entries; i++) {
		run->streams[i].entry = &scenario->entries[i];
		run->streams[i].stats = &stats[i];
		run->streams[i].due_us = now_us;
		schedule_next(run, &run->streams[i]);
	}
	/* g_timeout_source_new() has a resolution of one millisecond only. */
	run->timer = g_source_new(&timer_functions, sizeof(GSource));
	g_source_set_callback(run->timer, send_due_requests, run, NULL);
	g_source_set_priority(run->timer, G_PRIORITY_HIGH);
	g_source_set_ready_time(run->timer, 0);
	g_source_attach(run->timer, NULL);
}

/* Wake the main loop, so that run_until() checks the clock while it is idle. */
static gboolean wake_main_loop(gpointer data)
{
	(void)data;
	return G_SOURCE_CONTINUE;
}

static void run_until(int64_t until_us)
{
	while (g_get_monotonic_time() < until_us)
		g_main_context_iteration(NULL, TRUE);
}

static void stop_streams(struct run *run)
{
	g_source_destroy(run->timer);
	g_source_unref(run->timer);
	while (run->n_in_flight)
		g_main_context_iteration(NULL, TRUE);
	for (size_t i = 0; i < run->load->scenario->n_entries; i++)
		g_free(run->streams[i].cursor);
	g_free(run->streams);
}

struct rr_bench_stats *rr_run_bench_load(const struct rr_bench_load *load)
{
	struct rr_bench_stats *stats =
		g_new0(struct rr_bench_stats, load->scenario->n_entries);
	struct run run = { .load = load };
	guint wake_timer_id = g_timeout_add(100, wake_main_loop, NULL);

	run.n_instances = g_strv_length(load->addresses);
	run.random = g_rand_new_with_seed(load->scenario->seed);
	run.session = soup_session_new_with_options(
		"proxy-resolver", NULL, "max-conns", MAX_CONNECTIONS,
		"max-conns-per-host", MAX_CONNECTIONS, NULL);
	if (load->credentials && load->credentials->ca_database)
		soup_session_set_tls_database(run.session,
					      load->credentials->ca_database);
	start_streams(&run, stats);
	run_until(run.measure_start_us);
	load->measurement_started(load->data);
	run_until(run.end_us);
	load->measurement_ended(load->data);
	stop_streams(&run);
	g_source_remove(wake_timer_id);
	g_object_unref(run.session);
	g_rand_free(run.random);
	return stats;
}
