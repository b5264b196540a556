/*
 * upstream.c - A stand-in for upstream replicas, many in one process.
 *
 * Implements the protocol of docs/FORMATS.md "Upstreams" on plain sockets, so
 * that it can break off a reply at any point.  Rows are a function of shard,
 * key and index version: each key that is a multiple of --key-step has a row.
 * POST /control sets faults of one replica or of all; GET /control/counts
 * returns the numbers of requests received and executed.
 *
 * On SIGTERM all replicas report "draining", reject new requests and finish
 * those that they have; then the process exits.  While {"stay": 1} is set, it
 * keeps running and reports "draining".
 *
 * Prints "control PORT", then "replica N PORT" for each replica, then "ready".
 */
#include <glib-unix.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/standin-replica.h"

#define COLD_FACTOR 5
#define IDLE_CHECK_MS 20

/* State of the request of a connection. */
struct request_state {
	bool in_slot; /* executing, occupies a slot */
	guint timer;  /* source for the service time or connect time; or 0 */
	guint deadline_timer; /* source for the deadline while queued; or 0 */
};

static struct test_replica *replicas;
static int n_replicas = 1;
static int base_port;
static int control_port;
static int key_step = 100;
static int version_period_ms;
static int versions_kept = 3;
static int seed = 1;
static struct test_replica defaults = {
	.slots = 2,
	.queue = 16,
	.max_connections = 25,
	.service_ms = 2,
	.service_time_factor = 1,
	.reported_load = -1,
	.oldest_version = 1,
	.newest_version = 1,
	.map_epoch = 1,
	.range_to = G_MAXINT64,
};
static int cold_ms;
static GHashTable *runs;     /* idempotency key to number of executions */
static GHashTable *attempts; /* ids of the attempts received */
static int64_t repeated_attempts;
static GRand *random_source;
static GMainLoop *loop;
static bool stay_after_drain;

static void update_listening(struct test_replica *replica);
static void start_queued_requests(struct test_replica *replica);

static struct test_replica *get_replica(struct test_connection *connection)
{
	return connection->server->data;
}

static void release_slot(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	struct request_state *request_state = connection->user;

	if (request_state->timer)
		g_source_remove(request_state->timer);
	if (request_state->deadline_timer)
		g_source_remove(request_state->deadline_timer);
	request_state->timer = 0;
	request_state->deadline_timer = 0;
	g_queue_remove(&replica->waiting, connection);
	if (request_state->in_slot)
		replica->running--;
	request_state->in_slot = false;
}

/* `extra` holds additional header lines, each terminated by CRLF. */
static void reply(struct test_connection *connection, int status,
		  const char *extra, const char *body)
{
	struct test_replica *replica = get_replica(connection);
	bool truncated = replica->fault == TEST_FAULT_HALF_BODY &&
			 status == 200 &&
			 g_str_has_prefix(connection->path, "/v1/shards/");

	release_slot(connection);
	test_reply_to(connection, status, extra, body, truncated);
	start_queued_requests(replica);
}

static void handle_closing(struct test_connection *connection)
{
	if (connection->busy)
		get_replica(connection)->abandoned++;
	release_slot(connection);
}

static void handle_closed(struct test_server *server)
{
	update_listening(server->data);
	start_queued_requests(server->data);
}

static void reject(struct test_connection *connection, int status,
		   const char *reason)
{
	struct test_replica *replica = get_replica(connection);
	char *extra = g_strdup_printf(
		"X-Not-Run: %s\r\nX-Retry-After-Ms: 50\r\n"
		"X-Oldest-Version: %" G_GINT64_FORMAT "\r\n"
		"X-Newest-Version: %" G_GINT64_FORMAT "\r\n",
		reason, replica->oldest_version, replica->newest_version);

	reply(connection, status, extra, "{}");
	g_free(extra);
}

static int64_t get_member_i64(JsonObject *object, const char *name,
			      int64_t fallback)
{
	if (!object || !json_object_has_member(object, name))
		return fallback;
	return json_object_get_int_member(object, name);
}

static char *make_answer(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	char **parts = g_strsplit(connection->path, "/", -1);
	const char *shard = parts[3];
	const char *id = test_request_header(connection, "idempotency-key");
	JsonNode *root = json_from_string(connection->body, NULL);
	JsonObject *request_object = root && JSON_NODE_HOLDS_OBJECT(root) ?
					     json_node_get_object(root) :
					     NULL;
	int64_t from = MAX(get_member_i64(request_object, "key_from", 0),
			   replica->range_from);
	int64_t to = MIN(get_member_i64(request_object, "key_to", 0),
			 replica->range_to);
	int64_t limit = get_member_i64(request_object, "limit", 1000);
	int64_t version =
		(int64_t)test_request_header_i64(connection, "x-index-version");
	bool reserve = g_strcmp0(parts[4], "reserve") == 0;
	int64_t n = 0;
	bool more = false;
	GString *out = g_string_new(NULL);

	if (!version)
		version = replica->newest_version;
	g_string_printf(out,
			"{\"version\":%" G_GINT64_FORMAT
			",\"oldest\":%" G_GINT64_FORMAT
			",\"newest\":%" G_GINT64_FORMAT
			",\"epoch\":%" G_GINT64_FORMAT ",\"ranges\":[",
			version, replica->oldest_version,
			replica->newest_version, replica->map_epoch);
	if (from < to)
		g_string_append_printf(
			out, "[%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT "]",
			from, to);
	g_string_append(out, "],\"rows\":[");
	if (!reserve)
		n = test_append_rows(out, shard, from, to, key_step, version,
				     limit, &more);
	g_string_append_printf(out,
			       "],\"row_count\":%" G_GINT64_FORMAT
			       ",\"more\":%s,\"state\":\"%s\",\"load\":%.3f",
			       n, more ? "true" : "false",
			       test_reported_state(replica),
			       test_reported_load(replica));
	if (reserve)
		g_string_append_printf(
			out,
			",\"result\":{\"reserved\":%" G_GINT64_FORMAT
			",\"id\":\"%s\",\"replica\":%d}",
			from, id ? id : "", replica->index);
	g_string_append(out, ",\"end\":true}");
	if (root)
		json_node_unref(root);
	g_strfreev(parts);
	return g_string_free(out, FALSE);
}

/* Sends the reply at the end of the service time. */
static gboolean finish_service(gpointer data)
{
	struct test_connection *connection = data;
	struct test_replica *replica = get_replica(connection);
	char *body;

	((struct request_state *)connection->user)->timer = 0;
	body = make_answer(connection);
	if (replica->fault == TEST_FAULT_TRUNCATED_JSON)
		body[strlen(body) * 2 / 3] = '\0';
	if (replica->fault == TEST_FAULT_REDIRECT)
		reply(connection, 307, "Location: /v1/shards/s/reserve\r\n",
		      "{}");
	else if (replica->fault == TEST_FAULT_CHALLENGE)
		reply(connection, 401, "WWW-Authenticate: Basic realm=x\r\n",
		      "{}");
	else
		reply(connection, 200, "", body);
	g_free(body);
	return G_SOURCE_REMOVE;
}

static guint service_time_ms(struct test_replica *replica)
{
	double ms = replica->service_ms * replica->service_time_factor;

	if (replica->slow_share > 0 &&
	    g_rand_double(random_source) < replica->slow_share)
		ms += replica->slow_ms;
	if (replica->cold_until_us > g_get_monotonic_time())
		ms *= COLD_FACTOR;
	return (guint)ms;
}

static void count_run(struct test_connection *connection)
{
	const char *id = test_request_header(connection, "idempotency-key");
	gpointer n_runs;

	get_replica(connection)->ran++;
	if (!id)
		return;
	n_runs = g_hash_table_lookup(runs, id);
	g_hash_table_replace(runs, g_strdup(id),
			     GINT_TO_POINTER(GPOINTER_TO_INT(n_runs) + 1));
}

static void start_service(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	struct request_state *request_state = connection->user;

	replica->running++;
	request_state->in_slot = true;
	if (request_state->deadline_timer)
		g_source_remove(request_state->deadline_timer);
	request_state->deadline_timer = 0;
	count_run(connection);
	if (replica->fault == TEST_FAULT_NO_REPLY) {
		connection->busy = false;
		test_close_connection(connection);
		return;
	}
	request_state->timer = g_timeout_add(service_time_ms(replica),
					     finish_service, connection);
}

static void start_queued_requests(struct test_replica *replica)
{
	while (replica->running < replica->slots && replica->waiting.length)
		start_service(g_queue_pop_head(&replica->waiting));
}

static gboolean expire_queued_request(gpointer data)
{
	struct test_connection *connection = data;

	((struct request_state *)connection->user)->deadline_timer = 0;
	reject(connection, 503, "refused");
	return G_SOURCE_REMOVE;
}

static void record_attempt(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	const char *id = test_request_header(connection, "x-attempt-id");

	replica->requests++;
	if (replica->draining_since_us)
		replica->last_after_drain_ms =
			(g_get_monotonic_time() - replica->draining_since_us) /
			1000;
	if (id && !g_hash_table_add(attempts, g_strdup(id)))
		repeated_attempts++;
}

static void handle_attempt(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	struct request_state *request_state = connection->user;
	int64_t version =
		(int64_t)test_request_header_i64(connection, "x-index-version");
	int64_t deadline_ms =
		test_request_header_i64(connection, "x-deadline-ms");

	record_attempt(connection);
	if (!strcmp(replica->state, "draining")) {
		reject(connection, 503, "draining");
	} else if (replica->shed || replica->waiting.length >= replica->queue) {
		reject(connection, 503, "shed");
	} else if (version && (version < replica->oldest_version ||
			       version > replica->newest_version)) {
		reject(connection, 409, "no-version");
	} else {
		if (deadline_ms)
			request_state->deadline_timer = g_timeout_add(
				(guint)deadline_ms, expire_queued_request,
				connection);
		g_queue_push_tail(&replica->waiting, connection);
		start_queued_requests(replica);
	}
}

static void cancel_attempt(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	const char *id = test_request_header(connection, "x-attempt-id");

	replica->cancel_calls++;
	for (guint i = 0; id && i < replica->server.connections->len; i++) {
		struct test_connection *other =
			g_ptr_array_index(replica->server.connections, i);

		if (other == connection || !other->busy ||
		    g_strcmp0(test_request_header(other, "x-attempt-id"), id) !=
			    0)
			continue;
		replica->cancelled++;
		reply(other, 499, "", "{}");
		break;
	}
	reply(connection, 200, "", "{}");
}

static void send_health(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	char *body = g_strdup_printf(
		"{\"state\":\"%s\",\"load\":%.3f,\"oldest\":%" G_GINT64_FORMAT
		",\"newest\":%" G_GINT64_FORMAT ",\"epoch\":%" G_GINT64_FORMAT
		"}",
		test_reported_state(replica), test_reported_load(replica),
		replica->oldest_version, replica->newest_version,
		replica->map_epoch);

	reply(connection, 200, "", body);
	g_free(body);
}

static void apply_control(struct test_connection *connection)
{
	JsonNode *root = json_from_string(connection->body, NULL);
	JsonObject *object = root && JSON_NODE_HOLDS_OBJECT(root) ?
				     json_node_get_object(root) :
				     NULL;
	int64_t only = -1;
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	if (object && json_object_has_member(object, "stay"))
		stay_after_drain = json_object_get_int_member(object, "stay");
	if (object && json_object_has_member(object, "replica"))
		only = json_object_get_int_member(object, "replica");
	for (int i = 0; object && i < n_replicas; i++) {
		if (only >= 0 && only != i)
			continue;
		json_object_iter_init(&iter, object);
		while (json_object_iter_next(&iter, &name, &node))
			test_set_replica_option(&replicas[i], name, node);
		update_listening(&replicas[i]);
	}
	test_reply_to(connection, object ? 200 : 400, "", "{}", false);
	if (root)
		json_node_unref(root);
}

static void send_counts(struct test_connection *connection)
{
	GString *out = g_string_new("{\"replicas\":[");
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	bool first = true;
	int64_t requests = 0;
	int64_t ran = 0;

	for (int i = 0; i < n_replicas; i++) {
		if (i)
			g_string_append_c(out, ',');
		test_append_replica_counts(out, &replicas[i]);
		requests += replicas[i].requests;
		ran += replicas[i].ran;
	}
	g_string_append_printf(
		out,
		"],\"requests\":%" G_GINT64_FORMAT ",\"ran\":%" G_GINT64_FORMAT
		",\"repeated_attempts\":%" G_GINT64_FORMAT ",\"runs\":{",
		requests, ran, repeated_attempts);
	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		g_string_append_printf(out, "%s\"%s\":%d", first ? "" : ",",
				       (char *)key, GPOINTER_TO_INT(value));
		first = false;
	}
	g_string_append(out, "}}\n");
	test_reply_to(connection, 200, "", out->str, false);
	g_string_free(out, TRUE);
}

static void handle_control_request(struct test_connection *connection)
{
	if (!strcmp(connection->path, "/control"))
		apply_control(connection);
	else if (!strcmp(connection->path, "/control/counts"))
		send_counts(connection);
	else
		test_reply_to(connection, 404, "", "{}", false);
}

static void handle_request(struct test_connection *connection)
{
	const char *path = connection->path;

	if (g_str_has_prefix(path, "/v1/shards/"))
		handle_attempt(connection);
	else if (!strcmp(path, "/v1/cancel"))
		cancel_attempt(connection);
	else if (!strcmp(path, "/v1/health"))
		send_health(connection);
	else
		reply(connection, 404, "", "{}");
}

static gboolean finish_connect(gpointer data)
{
	struct test_connection *connection = data;

	((struct request_state *)connection->user)->timer = 0;
	test_release_connection(connection);
	return G_SOURCE_REMOVE;
}

static void handle_accepted(struct test_connection *connection)
{
	struct test_replica *replica = get_replica(connection);
	struct request_state *request_state = g_new0(struct request_state, 1);

	connection->user = request_state;
	connection->held = replica->connect_ms > 0;
	if (connection->held)
		request_state->timer = g_timeout_add(
			(guint)replica->connect_ms, finish_connect, connection);
	replica->accepted++;
	replica->peak_connections = MAX(replica->peak_connections,
					replica->server.connections->len);
	update_listening(replica);
}

/* Listens unless a fault or the connection limit forbids it. */
static void update_listening(struct test_replica *replica)
{
	replica->server.reset = replica->fault == TEST_FAULT_RESET;
	test_set_listening(&replica->server,
			   replica->fault != TEST_FAULT_REFUSED &&
				   replica->server.connections->len <
					   replica->max_connections);
}

static void make_replica(struct test_replica *replica, int index)
{
	*replica = defaults;
	replica->index = index;
	replica->server = (struct test_server){
		.port = (uint16_t)(base_port ? base_port + index : 0),
		.data = replica,
		.accepted = handle_accepted,
		.request = handle_request,
		.closing = handle_closing,
		.closed = handle_closed,
		.connections = g_ptr_array_new(),
	};
	replica->state = "ready";
	g_queue_init(&replica->waiting);
	if (cold_ms)
		replica->cold_until_us =
			g_get_monotonic_time() + (int64_t)cold_ms * 1000;
	update_listening(replica);
	printf("replica %d %u\n", index, replica->server.port);
}

static gboolean advance_versions(gpointer data)
{
	for (int i = 0; i < n_replicas; i++) {
		struct test_replica *replica = &replicas[i];

		replica->newest_version++;
		if (replica->newest_version >=
		    replica->oldest_version + versions_kept)
			replica->oldest_version =
				replica->newest_version - versions_kept + 1;
	}
	return G_SOURCE_CONTINUE;
}

static gboolean exit_when_idle(gpointer data)
{
	bool busy = stay_after_drain;

	for (int i = 0; i < n_replicas; i++)
		busy |= replicas[i].running || replicas[i].waiting.length;
	if (!busy)
		g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

static gboolean drain(gpointer data)
{
	for (int i = 0; i < n_replicas; i++) {
		replicas[i].state = "draining";
		replicas[i].draining_since_us = g_get_monotonic_time();
	}
	g_timeout_add(IDLE_CHECK_MS, exit_when_idle, NULL);
	return G_SOURCE_REMOVE;
}

static const GOptionEntry option_entries[] = {
	{ "replicas", 0, 0, G_OPTION_ARG_INT, &n_replicas, "number of replicas",
	  "N" },
	{ "base-port", 0, 0, G_OPTION_ARG_INT, &base_port,
	  "port of the first replica, consecutive from there; 0: any free",
	  "PORT" },
	{ "control-port", 0, 0, G_OPTION_ARG_INT, &control_port,
	  "port for /control; 0: any free", "PORT" },
	{ "key-step", 0, 0, G_OPTION_ARG_INT, &key_step,
	  "every Nth key has a row", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT64, &defaults.slots,
	  "concurrent requests per replica", "N" },
	{ "queue", 0, 0, G_OPTION_ARG_INT64, &defaults.queue,
	  "queued requests before the replica sheds load", "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT64, &defaults.max_connections,
	  "maximum number of connections per replica", "N" },
	{ "connect-ms", 0, 0, G_OPTION_ARG_INT64, &defaults.connect_ms,
	  "delay of a new connection", "MS" },
	{ "service-ms", 0, 0, G_OPTION_ARG_INT64, &defaults.service_ms,
	  "service time of a request", "MS" },
	{ "slow-ms", 0, 0, G_OPTION_ARG_INT64, &defaults.slow_ms,
	  "additional service time of slow requests", "MS" },
	{ "slow-share", 0, 0, G_OPTION_ARG_DOUBLE, &defaults.slow_share,
	  "share of slow requests", "0..1" },
	{ "cold-ms", 0, 0, G_OPTION_ARG_INT, &cold_ms,
	  "time for which replicas are cold after start", "MS" },
	{ "version-period-ms", 0, 0, G_OPTION_ARG_INT, &version_period_ms,
	  "period of new index versions; 0: none", "MS" },
	{ "versions-kept", 0, 0, G_OPTION_ARG_INT, &versions_kept,
	  "index versions kept at a time", "N" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the random numbers",
	  "N" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

int main(int argc, char **argv)
{
	GOptionContext *options = g_option_context_new(NULL);
	GError *error = NULL;
	static struct test_server control = {
		.request = handle_control_request,
	};

	g_option_context_add_main_entries(options, option_entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &error)) {
		fprintf(stderr, "upstream: %s\n", error->message);
		return 1;
	}
	g_option_context_free(options);
	random_source = g_rand_new_with_seed((guint32)seed);
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	control.port = (uint16_t)control_port;
	test_set_listening(&control, true);
	printf("control %u\n", control.port);
	replicas = g_new0(struct test_replica, (gsize)n_replicas);
	for (int i = 0; i < n_replicas; i++)
		make_replica(&replicas[i], i);
	if (version_period_ms)
		g_timeout_add((guint)version_period_ms, advance_versions, NULL);
	printf("ready\n");
	fflush(stdout);
	loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, drain, NULL);
	g_main_loop_run(loop);
	return 0;
}
