/*
 * bench-scrape.c - reads counters of instances and of upstream stand-ins
 * over HTTP.
 */
#include "tool/bench-scrape.h"

#include <string.h>

#include "tool/http.h"
#include "tool/tool.h"

#define SCRAPE_TIMEOUT_MS 5000
#define METRIC_PREFIX "ragwort_"

static const char *const metric_names[RR_BENCH_METRIC_COUNT] = {
	[RR_BENCH_CPU_MS] = "process_cpu_milliseconds",
	[RR_BENCH_RESIDENT_BYTES] = "process_resident_bytes",
	[RR_BENCH_REQUESTS] = "requests_total",
	[RR_BENCH_ATTEMPTS] = "attempts_total",
	[RR_BENCH_HEDGES] = "hedges_total",
	[RR_BENCH_RETRIES] = "retries_total",
	[RR_BENCH_REJECTED] = "sheds_total",
	[RR_BENCH_RELAYS_SENT] = "relays_sent_total",
	[RR_BENCH_PEER_MESSAGES] = "peer_messages_sent_total",
};

/* Parse lines "ragwort_NAME VALUE"; no counter read here has labels. */
static void parse_metrics(const char *text, struct rr_bench_instance *instance)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char *space = strchr(*line, ' ');

		if (!space || !g_str_has_prefix(*line, METRIC_PREFIX))
			continue;
		*space = '\0';
		for (int i = 0; i < RR_BENCH_METRIC_COUNT; i++) {
			if (!strcmp(*line + strlen(METRIC_PREFIX),
				    metric_names[i]))
				instance->values[i] =
					g_ascii_strtoull(space + 1, NULL, 10);
		}
	}
	g_strfreev(lines);
}

static void parse_replica_counts(const char *control_address, const char *text,
				 GArray *replicas)
{
	JsonNode *root = rr_parse_json_text(text);
	JsonArray *array = NULL;
	guint n;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		array = rr_json_array(json_node_get_object(root), "replicas");
	n = array ? json_array_get_length(array) : 0;
	for (guint i = 0; i < n; i++) {
		JsonObject *object = rr_json_object_at(array, i);
		struct rr_bench_replica replica = {
			.control_address = control_address,
			.replica_number =
				rr_json_integer_or(object, "replica", 0),
			.requests = rr_json_integer_or(object, "requests", 0),
			.connections_opened =
				rr_json_integer_or(object, "accepted", 0),
			.peak_connections = rr_json_integer_or(
				object, "most_connections", 0),
		};

		g_array_append_val(replicas, replica);
	}
	if (root)
		json_node_unref(root);
}

static bool http_get(const char *address, const char *path,
		     const struct rr_credentials *credentials,
		     struct rr_http_reply *reply)
{
	struct rr_http_request request = { .method = "GET",
					   .address = address,
					   .credentials = credentials,
					   .path = path,
					   .timeout_ms = SCRAPE_TIMEOUT_MS };

	if (!rr_send_http_request(&request, reply, NULL))
		return false;
	if (reply->status == 200)
		return true;
	rr_clear_http_reply(reply);
	return false;
}

struct rr_bench_scrape *
rr_scrape_bench_metrics(char *const *instances, char *const *control_addresses,
			const struct rr_credentials *credentials)
{
	struct rr_bench_scrape *scrape = g_new0(struct rr_bench_scrape, 1);
	struct rr_http_reply reply;

	scrape->scraped_us = g_get_monotonic_time();
	scrape->instances =
		g_array_new(FALSE, TRUE, sizeof(struct rr_bench_instance));
	scrape->replicas =
		g_array_new(FALSE, TRUE, sizeof(struct rr_bench_replica));
	for (char *const *address = instances; *address; address++) {
		struct rr_bench_instance instance = { .address = *address };

		if (http_get(*address, "/metrics", credentials, &reply)) {
			instance.answered = true;
			parse_metrics(reply.body, &instance);
			rr_clear_http_reply(&reply);
		}
		g_array_append_val(scrape->instances, instance);
	}
	for (char *const *address = control_addresses; *address; address++) {
		if (!http_get(*address, "/control/counts", NULL, &reply))
			continue;
		parse_replica_counts(*address, reply.body, scrape->replicas);
		rr_clear_http_reply(&reply);
	}
	return scrape;
}

void rr_drop_bench_scrape(struct rr_bench_scrape *scrape)
{
	if (!scrape)
		return;
	g_array_unref(scrape->instances);
	g_array_unref(scrape->replicas);
	g_free(scrape);
}
