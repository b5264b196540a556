/*
 * bench-load.c - open-loop load on running instances.
 */
#include "tool/bench-load.h"

#include <libsoup/soup.h>
#include <math.h>
#include <string.h>

#include "tool/credentials.h"
#include "tool/tool.h"

#define MOST_CONNECTIONS 4096
/* What an answer may take beyond its deadline. */
#define SLACK_MS 2000

/* The run of one entry of the mix. */
struct stream {
	const struct rr_bench_mix_entry *entry;
	struct rr_bench_stats *tally;
	int64_t due_us;	 /* of its next request */
	char *cursor;	 /* list: the next page */
	bool list_asked; /* list: a page is under way */
};

struct run {
	const struct rr_bench_load *load;
	SoupSession *session;
	GRand *random;
	struct stream *streams;
	GSource *timer;
	int64_t begin_us; /* the warm-up is over */
	int64_t end_us;
	uint64_t n_asked;
	uint64_t n_open;
	size_t n_instances;
};

/* One request that is under way. */
struct ask {
	struct run *run;
	struct stream *stream;
	SoupMessage *message;
	GCancellable *cancel;
	GSource *limit;
	int64_t due_us;
	bool measured;
};

static enum rr_bench_outcome outcome_of(const char *text)
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

static guint length_of(JsonArray *array)
{
	return array ? json_array_get_length(array) : 0;
}

static void count_answer(struct ask *ask, JsonObject *answer)
{
	struct rr_bench_stats *tally = ask->stream->tally;
	int64_t took_us = g_get_monotonic_time() - ask->due_us;
	enum rr_bench_outcome outcome =
		outcome_of(rr_json_string_or(answer, "outcome", "?"));
	JsonObject *coverage = rr_json_object(answer, "coverage");

	tally->outcome_counts[outcome]++;
	if (outcome == RR_BENCH_NOT_RUN)
		rr_add_bench_sample(&tally->rejection_latencies, took_us);
	if (outcome != RR_BENCH_COMPLETE && outcome != RR_BENCH_PARTIAL)
		return;
	rr_add_bench_sample(&tally->latencies, took_us);
	tally->shards_covered += length_of(rr_json_array(coverage, "covered"));
	tally->shards_missing += length_of(rr_json_array(coverage, "lacking"));
	tally->attempts += (uint64_t)rr_json_integer_or(answer, "attempts", 0);
	tally->rows += length_of(rr_json_array(answer, "rows"));
}

static void take_answer(struct ask *ask, GBytes *body)
{
	gsize length;
	const char *text = g_bytes_get_data(body, &length);
	char *copy = g_strndup(text ? text : "", length);
	JsonNode *root = json_from_string(copy, NULL);
	struct stream *stream = ask->stream;
	JsonObject *answer = NULL;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		answer = json_node_get_object(root);
	if (stream->entry->kind == RR_LIST && answer)
		stream->cursor = g_strdup(
			rr_json_string_or(answer, "next_cursor", NULL));
	if (ask->measured && answer)
		count_answer(ask, answer);
	else if (ask->measured)
		stream->tally->outcome_counts[RR_BENCH_OTHER]++;
	if (root)
		json_node_unref(root);
	g_free(copy);
}

static void end_ask(GObject *session, GAsyncResult *result, gpointer data)
{
	struct ask *ask = data;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session),
							 result, NULL);

	if (ask->stream->entry->kind == RR_LIST)
		ask->stream->list_asked = false;
	if (body)
		take_answer(ask, body);
	else if (ask->measured)
		ask->stream->tally->outcome_counts[RR_BENCH_NO_ANSWER]++;
	g_clear_pointer(&body, g_bytes_unref);
	g_source_destroy(ask->limit);
	g_source_unref(ask->limit);
	g_object_unref(ask->message);
	g_object_unref(ask->cancel);
	ask->run->n_open--;
	g_free(ask);
}

static gboolean give_up(gpointer data)
{
	struct ask *ask = data;

	g_cancellable_cancel(ask->cancel);
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
	const char *address = load->addresses[run->n_asked % run->n_instances];
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
	const struct rr_credentials *access = run->load->credentials;
	char *text = g_strdup_printf("%u", run->load->scenario->deadline_ms);

	soup_message_headers_append(headers, "X-Deadline-Ms", text);
	g_free(text);
	if (entry->batch)
		soup_message_headers_append(headers, "X-Priority", "batch");
	if (access && access->authorization)
		soup_message_headers_append(headers, "Authorization",
					    access->authorization);
	if (entry->kind != RR_RESERVE)
		return;
	/* Not from the seed: an id of an earlier run would not run again. */
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
	/* Kept connections for POSTs, sent once: see http.h. */
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

static void send_ask(struct run *run, struct stream *stream, int64_t now_us)
{
	struct ask *ask;

	/* The nightly job reads one page after the other. */
	if (stream->entry->kind == RR_LIST && stream->list_asked)
		return;
	ask = g_new0(struct ask, 1);
	ask->run = run;
	ask->stream = stream;
	ask->due_us = stream->due_us;
	ask->measured = stream->due_us >= run->begin_us;
	ask->cancel = g_cancellable_new();
	ask->message = make_message(run, stream);
	ask->limit = g_timeout_source_new(run->load->scenario->deadline_ms +
					  SLACK_MS);
	g_source_set_callback(ask->limit, give_up, ask, NULL);
	g_source_attach(ask->limit, NULL);
	stream->list_asked = stream->entry->kind == RR_LIST;
	run->n_asked++;
	run->n_open++;
	if (ask->measured) {
		stream->tally->requests++;
		rr_add_bench_sample(&stream->tally->send_delays,
				    now_us - ask->due_us);
	}
	soup_session_send_and_read_async(run->session, ask->message,
					 G_PRIORITY_DEFAULT, ask->cancel,
					 end_ask, ask);
}

/* Exponential gaps: callers don't know of each other. */
static void draw_next(struct run *run, struct stream *stream)
{
	double unit = 1.0 - g_rand_double(run->random);

	stream->due_us +=
		(int64_t)(-log(unit) / stream->entry->rate * G_USEC_PER_SEC);
}

static struct stream *first_due(struct run *run)
{
	struct stream *first = &run->streams[0];

	for (size_t i = 1; i < run->load->scenario->n_entries; i++) {
		if (run->streams[i].due_us < first->due_us)
			first = &run->streams[i];
	}
	return first;
}

static gboolean send_due(gpointer data)
{
	struct run *run = data;
	int64_t now_us = g_get_monotonic_time();
	struct stream *stream = first_due(run);

	while (stream->due_us <= now_us && stream->due_us < run->end_us) {
		send_ask(run, stream, now_us);
		draw_next(run, stream);
		stream = first_due(run);
		now_us = g_get_monotonic_time();
	}
	/* None is due any more: a time that is past would be called for good. */
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

static void start_streams(struct run *run, struct rr_bench_stats *tallies)
{
	const struct rr_bench_scenario *scenario = run->load->scenario;
	int64_t now_us = g_get_monotonic_time();

	run->begin_us = now_us + scenario->warm_up_s * G_USEC_PER_SEC;
	run->end_us = run->begin_us + scenario->duration_s * G_USEC_PER_SEC;
	run->streams = g_new0(struct stream, scenario->n_entries);
	for (size_t i = 0; i < scenario->n_entries; i++) {
		run->streams[i].entry = &scenario->entries[i];
		run->streams[i].tally = &tallies[i];
		run->streams[i].due_us = now_us;
		draw_next(run, &run->streams[i]);
	}
	/* A plain timeout is exact to a millisecond only. */
	run->timer = g_source_new(&timer_functions, sizeof(GSource));
	g_source_set_callback(run->timer, send_due, run, NULL);
	g_source_set_priority(run->timer, G_PRIORITY_HIGH);
	g_source_set_ready_time(run->timer, 0);
	g_source_attach(run->timer, NULL);
}

static gboolean wake(gpointer data)
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
	while (run->n_open)
		g_main_context_iteration(NULL, TRUE);
	for (size_t i = 0; i < run->load->scenario->n_entries; i++)
		g_free(run->streams[i].cursor);
	g_free(run->streams);
}

struct rr_bench_stats *rr_run_bench_load(const struct rr_bench_load *load)
{
	struct rr_bench_stats *tallies =
		g_new0(struct rr_bench_stats, load->scenario->n_entries);
	struct run run = { .load = load };
	guint waker = g_timeout_add(100, wake, NULL);

	run.n_instances = g_strv_length(load->addresses);
	run.random = g_rand_new_with_seed(load->scenario->seed);
	run.session = soup_session_new_with_options(
		"proxy-resolver", NULL, "max-conns", MOST_CONNECTIONS,
		"max-conns-per-host", MOST_CONNECTIONS, NULL);
	if (load->credentials && load->credentials->ca_database)
		soup_session_set_tls_database(run.session,
					      load->credentials->ca_database);
	start_streams(&run, tallies);
	run_until(run.begin_us);
	load->measurement_started(load->data);
	run_until(run.end_us);
	load->measurement_ended(load->data);
	stop_streams(&run);
	g_source_remove(waker);
	g_object_unref(run.session);
	g_rand_free(run.random);
	return tallies;
}
