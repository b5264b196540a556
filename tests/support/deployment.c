/*
 * deployment.c - Starts, queries and checks small deployments of processes.
 */
#include "support/deployment.h"
#include "support/port.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "platform/platform.h"
#include "ragwort/record.h"

#define SITE "site"

static void append_shard(struct test_deployment *d, GString *out, int shard)
{
	int moved = d->options.n_moved_keys;

	g_string_append_printf(out,
			       "      - name: desk-%02d\n"
			       "        yard: yard-%02d\n"
			       "        keys: [%d, %d]\n"
			       "        replicas:\n",
			       shard + 1, shard + 1,
			       shard * 1000 - (shard == 1 ? moved : 0),
			       shard * 1000 + 1000 - (shard ? 0 : moved));
	for (int copy = 0; copy < d->options.replicas_per_shard; copy++)
		g_string_append_printf(
			out,
			"          - {id: desk-%02d-%c, zone: zone-%d, "
			"address: \"127.0.0.1:%u\"}\n",
			shard + 1, 'a' + copy,
			(shard + copy) % d->options.n_zones,
			d->upstreams[copy]->ports[shard]);
}

static char *make_base(struct test_deployment *d)
{
	GString *out = g_string_new("services:\n  - name: desk\n");

	if (d->options.service_settings)
		g_string_append(out, d->options.service_settings);
	g_string_append(out, "    shards:\n");
	for (int shard = 0; shard < d->options.n_shards; shard++)
		append_shard(d, out, shard);
	return g_string_free(out, FALSE);
}

static struct test_http_reply *call_platform(struct test_deployment *d,
					     struct rr_store_request *call)
{
	struct test_http_reply *reply = test_http_request(
		call->method, d->platform->port, call->path, NULL, call->body);

	rr_clear_store_request(call);
	return reply;
}

/* Write the configuration record to the platform's store. */
static void put_record(struct test_deployment *d)
{
	char *base = make_base(d);
	struct rr_key_reply current;
	struct rr_store_request call;
	struct test_http_reply *reply;
	size_t length;
	char *text;

	rr_make_get_request(&call, RR_CONFIG_RECORD_KEY);
	reply = call_platform(d, &call);
	rr_decode_get_reply((uint16_t)reply->status, reply->body,
			    strlen(reply->body), &current);
	test_drop_reply(reply);
	rr_update_config_record(d->config_record, RR_CONFIG_BASE_FILE, base,
				"change", "test", 1);
	text = rr_encode_config_record(d->config_record, &length);
	rr_make_cas_request(&call, RR_CONFIG_RECORD_KEY, current.revision, text,
			    length, NULL);
	reply = call_platform(d, &call);
	assert_int_equal(reply->status, 200);
	test_drop_reply(reply);
	rr_clear_key_reply(&current);
	g_free(text);
	g_free(base);
}

uint64_t test_change_settings(struct test_deployment *d,
			      const char *service_settings)
{
	d->options.service_settings = service_settings;
	put_record(d);
	return rr_config_record_revision(d->config_record);
}

int64_t test_read_metric(struct test_deployment *d, int i, const char *name)
{
	struct test_http_reply *reply = test_http_request(
		"GET", d->caller_ports[i], "/metrics", NULL, NULL);
	char *start = g_strdup_printf("\nragwort_%s ", name);
	const char *line = strstr(reply->body, start);
	int64_t value;

	assert_non_null(line);
	value = g_ascii_strtoll(line + strlen(start), NULL, 10);
	g_free(start);
	test_drop_reply(reply);
	return value;
}

void test_write_start_file(struct test_deployment *d, int i)
{
	GString *text = g_string_new(NULL);
	char *file = g_strdup_printf("%s/entry-%d.yaml", d->directory, i);

	g_string_printf(text,
			"instance: entry-%d\nzone: zone-%d\nsite: " SITE "\n"
			"caller_address: 127.0.0.1:%u\n"
			"peer_address: 127.0.0.1:%u\n"
			"platform_address: 127.0.0.1:%u\n"
			"log: {level: warning}\n"
			"drain_timeout_ms: 20000\nseed_peers: [",
			i, i % d->options.n_zones, d->caller_ports[i],
			d->peer_ports[i], d->platform->port);
	for (int other = 0; other < d->options.n_instances; other++)
		g_string_append_printf(text, "%s\"127.0.0.1:%u\"",
				       other ? ", " : "", d->peer_ports[other]);
	g_string_append(text, "]\n");
	if (d->options.start_file_lines[i])
		g_string_append(text, d->options.start_file_lines[i]);
	g_file_set_contents(file, text->str, -1, NULL);
	g_string_free(text, TRUE);
	g_free(file);
}

void test_start_instance(struct test_deployment *d, int i)
{
	char *file = g_strdup_printf("%s/entry-%d.yaml", d->directory, i);
	char *option = g_strdup_printf("--settings=%s", file);
	const char *arguments[] = { option, NULL };

	test_write_start_file(d, i);
	test_drop_process(d->instances[i]);
	d->instances[i] = test_start_process("ragwortd", arguments, false);
	g_free(option);
	g_free(file);
}

struct readiness {
	uint16_t port;
	struct test_process *process;
};

static bool is_ready(void *data)
{
	struct readiness *readiness = data;
	struct test_http_reply *reply = test_http_request(
		"GET", readiness->port, "/readyz", NULL, NULL);
	bool ready = reply->status == 200;

	test_drop_reply(reply);
	return ready;
}

void test_wait_ready(struct test_deployment *d, int i)
{
	struct readiness readiness = { d->caller_ports[i], d->instances[i] };

	assert_true(test_wait_until(is_ready, &readiness));
}

/* Whether each instance has all instances as members (gauge "members"). */
static bool all_see_all_members(void *data)
{
	struct test_deployment *d = data;

	for (int i = 0; i < d->options.n_instances; i++) {
		struct test_http_reply *reply = test_http_request(
			"GET", d->caller_ports[i], "/metrics", NULL, NULL);
		char *line = g_strdup_printf("\nragwort_members %d\n",
					     d->options.n_instances);
		bool found = reply->body && strstr(reply->body, line);

		g_free(line);
		test_drop_reply(reply);
		if (!found)
			return false;
	}
	return true;
}

struct test_deployment *
test_start_deployment(const struct test_deployment_options *options)
{
	struct test_deployment *d = g_new0(struct test_deployment, 1);

	d->options = *options;
	d->config_record = rr_new_config_record();
	d->directory = g_dir_make_tmp("ragwort-test-XXXXXX", NULL);
	d->platform = test_start_platform();
	for (int copy = 0; copy < options->replicas_per_shard; copy++)
		d->upstreams[copy] =
			test_start_upstreams(options->n_shards, NULL);
	put_record(d);
	for (int i = 0; i < options->n_instances; i++) {
		d->caller_ports[i] = test_reserve_port();
		d->peer_ports[i] = test_reserve_port();
	}
	for (int i = 0; i < options->n_instances; i++)
		test_start_instance(d, i);
	for (int i = 0; i < options->n_instances; i++)
		test_wait_ready(d, i);
	assert_true(test_wait_until(all_see_all_members, d));
	return d;
}

void test_drop_deployment(struct test_deployment *d)
{
	for (int i = 0; i < d->options.n_instances; i++) {
		char *file =
			g_strdup_printf("%s/entry-%d.yaml", d->directory, i);

		test_drop_process(d->instances[i]);
		g_unlink(file);
		g_free(file);
	}
	g_rmdir(d->directory);
	rr_drop_config_record(d->config_record);
	g_free(d->directory);
	for (int copy = 0; copy < d->options.replicas_per_shard; copy++)
		test_drop_upstreams(d->upstreams[copy]);
	test_drop_platform(d->platform);
	g_free(d);
}

struct test_pending_request {
	GThread *thread;
	uint16_t port;
	char *path;
	char *header;
	char *value;
	char *body;
	gint done;
};

static gpointer run_pending_request(gpointer data)
{
	struct test_pending_request *pending = data;
	const char *headers[] = { pending->header, pending->value, NULL };
	struct test_http_reply *reply = test_http_request(
		"POST", pending->port, pending->path, headers, pending->body);

	g_atomic_int_set(&pending->done, 1);
	return reply;
}

struct test_pending_request *test_start_request(uint16_t port, const char *path,
						const char *header,
						const char *value,
						const char *body)
{
	struct test_pending_request *pending =
		g_new0(struct test_pending_request, 1);

	pending->port = port;
	pending->path = g_strdup(path);
	pending->header = g_strdup(header);
	pending->value = g_strdup(value);
	pending->body = g_strdup(body);
	pending->thread = g_thread_new("call", run_pending_request, pending);
	return pending;
}

bool test_is_request_pending(struct test_pending_request *pending)
{
	return !g_atomic_int_get(&pending->done);
}

struct test_http_reply *
test_finish_request(struct test_pending_request *pending)
{
	struct test_http_reply *reply = g_thread_join(pending->thread);

	g_free(pending->path);
	g_free(pending->header);
	g_free(pending->value);
	g_free(pending->body);
	g_free(pending);
	return reply;
}

struct test_http_reply *test_search(struct test_deployment *d, int i)
{
	return test_http_request("POST", d->caller_ports[i],
				 TEST_SERVICE "/search", NULL, "{\"query\":1}");
}

struct test_http_reply *test_reserve(struct test_deployment *d, int i,
				     const char *id)
{
	const char *headers[] = { "Idempotency-Key", id, NULL };

	return test_http_request("POST", d->caller_ports[i],
				 TEST_SERVICE "/reserve", headers,
				 "{\"key\":0}");
}

char *test_new_idempotency_key(const char *name)
{
	return g_strdup_printf("%" G_GINT64_FORMAT "-test-%s",
			       g_get_real_time() / G_USEC_PER_SEC, name);
}

static JsonArray *get_missing_shards(const struct test_http_reply *reply)
{
	JsonObject *coverage;

	assert_non_null(reply->json);
	coverage = json_object_get_object_member(
		json_node_get_object(reply->json), "coverage");
	return json_object_get_array_member(coverage, "lacking");
}

const char *test_missing_reason(const struct test_http_reply *reply)
{
	JsonArray *missing = get_missing_shards(reply);

	if (!json_array_get_length(missing))
		return "";
	return json_object_get_string_member(
		json_array_get_object_element(missing, 0), "reason");
}

int test_check_search(struct test_deployment *d,
		      const struct test_http_reply *reply)
{
	JsonObject *object;
	JsonArray *rows;
	JsonArray *covered;
	int n_missing;
	int n_covered;

	assert_int_equal(reply->status, 200);
	object = json_node_get_object(reply->json);
	rows = json_object_get_array_member(object, "rows");
	covered = json_object_get_array_member(
		json_object_get_object_member(object, "coverage"), "covered");
	n_missing = (int)json_array_get_length(get_missing_shards(reply));
	n_covered = (int)json_array_get_length(covered);
	assert_int_equal(n_covered + n_missing, d->options.n_shards);
	assert_int_equal(json_array_get_length(rows), n_covered * 10);
	for (guint i = 0; i < json_array_get_length(rows); i++) {
		JsonObject *row = json_object_get_object_member(
			json_array_get_object_element(rows, i), "row");
		const char *shard = json_object_get_string_member(row, "shard");
		const char *expected_shard =
			json_array_get_string_element(covered, i / 10);

		assert_string_equal(shard, expected_shard);
		assert_int_equal(
			json_object_get_int_member(row, "version"),
			json_object_get_int_member(object, "index_version"));
	}
	return n_missing;
}

bool test_search_is_complete(void *deployment)
{
	struct test_deployment *d = deployment;
	struct test_http_reply *reply = test_search(d, 0);
	bool complete = reply->status == 200 && !test_check_search(d, reply);

	test_drop_reply(reply);
	return complete;
}

bool test_is_first_shard_busy(void *deployment)
{
	struct test_deployment *d = deployment;

	return test_read_count(d->upstreams[0], 0, "running") > 0;
}
