/*
 * watch.c - number of calls to the platform for the configuration and the
 * instance list when all or only some of the instances watch.
 *
 * Needs a running build/standin/platform, whose counters it reads.
 */
#include <argtable2.h>
#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "ragwort/net-platform.h"
#include "ragwort/record.h"

#define CHANGE_PERIOD_MS 2000

struct instance {
	struct rr_context *ctx;
	struct rr_platform_client *client;
	bool watches;
};

struct run {
	GMainLoop *loop;
	GPtrArray *instances;
	uint64_t key_revision;
	uint32_t changes;
	uint64_t call_id;
	uint64_t records_seen;
};

static bool is_watcher(void *data)
{
	const struct instance *instance = data;

	return instance->watches;
}

static struct run *current_run;

static void handle_record(void *data, const char *record, size_t length,
			  uint64_t key_revision)
{
	(void)data;
	current_run->records_seen++;
}

static void handle_reply(void *data, const struct rr_store_reply *reply)
{
	(void)data;
	if (reply->status == RR_STORE_OK)
		current_run->key_revision = reply->revision;
}

static void ignore_member(void *data, const char *name, const char *zone,
			  const char *address)
{
	(void)data;
}

static void ignore_replica(void *data, const char *name, int64_t started_ms,
			   enum rr_upstream_state state)
{
	(void)data;
}

static gboolean make_change(gpointer data)
{
	struct run *run = data;
	struct instance *first = run->instances->pdata[0];
	struct rr_store_port store = rr_make_store_port(first->client);
	struct rr_config_record *record = rr_new_config_record();
	size_t length;
	char *text;

	for (uint64_t i = 0; i <= run->key_revision; i++)
		rr_update_config_record(record, RR_CONFIG_BASE_FILE, "",
					"bench", "bench", 0);
	text = rr_encode_config_record(record, &length);
	store.compare_and_swap(store.data, ++run->call_id, RR_CONFIG_RECORD_KEY,
			       run->key_revision, text, length, NULL);
	g_free(text);
	rr_drop_config_record(record);
	return --run->changes > 0;
}

static void add_instance(struct run *run, const char *address, bool watches,
			 uint32_t watch_ms)
{
	struct instance *instance = g_new0(struct instance, 1);
	struct rr_platform_client_options options = {
		.address = address,
		.replied = handle_reply,
		.record_received = handle_record,
		.member_listed = ignore_member,
		.replica_listed = ignore_replica,
		.is_watcher = is_watcher,
		.data = instance,
		.watch_ms = watch_ms,
	};

	instance->ctx = rr_new_context(NULL);
	instance->watches = watches;
	instance->client = rr_new_platform_client(instance->ctx, &options);
	g_ptr_array_add(run->instances, instance);
}

static void print_counts(const char *address)
{
	SoupSession *session = soup_session_new();
	char *uri = g_strdup_printf("http://%s/control/counts", address);
	SoupMessage *message = soup_message_new("GET", uri);
	GBytes *body = soup_session_send_and_read(session, message, NULL, NULL);

	if (body)
		printf("%.*s", (int)g_bytes_get_size(body),
		       (const char *)g_bytes_get_data(body, NULL));
	g_clear_pointer(&body, g_bytes_unref);
	g_object_unref(message);
	g_object_unref(session);
	g_free(uri);
}

static gboolean quit(gpointer data)
{
	struct run *run = data;

	g_main_loop_quit(run->loop);
	return G_SOURCE_REMOVE;
}

static struct arg_int *new_int_arg(const char *name, int default_value,
				   const char *help)
{
	struct arg_int *arg = arg_int0(NULL, name, "N", help);

	arg->ival[0] = default_value;
	return arg;
}

int main(int argc, char **argv)
{
	struct run run = { 0 };
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "address of the platform stand-in");
	struct arg_int *instances =
		new_int_arg("instances", 9, "number of instances");
	struct arg_int *watching =
		new_int_arg("watching", 9, "number of instances that watch");
	struct arg_int *seconds =
		new_int_arg("seconds", 20, "length of the run");
	struct arg_int *changes = new_int_arg(
		"changes", 5, "configuration changes, one every 2 s");
	struct arg_int *watch_ms =
		new_int_arg("watch-ms", 20000, "duration of a watch call");
	struct arg_end *end = arg_end(5);
	void *table[] = { platform, instances, watching, seconds,
			  changes,  watch_ms,  end };

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "watch");
		return 2;
	}
	current_run = &run;
	run.loop = g_main_loop_new(NULL, FALSE);
	run.instances = g_ptr_array_new();
	run.changes = (uint32_t)changes->ival[0];
	for (int i = 0; i < instances->ival[0]; i++)
		add_instance(&run, platform->sval[0], i < watching->ival[0],
			     (uint32_t)watch_ms->ival[0]);
	g_timeout_add(CHANGE_PERIOD_MS, make_change, &run);
	g_timeout_add_seconds((guint)seconds->ival[0], quit, &run);
	g_main_loop_run(run.loop);
	printf("instances %d, watching %d, %d s, records read %" G_GUINT64_FORMAT
	       ", counts ",
	       instances->ival[0], watching->ival[0], seconds->ival[0],
	       run.records_seen);
	print_counts(platform->sval[0]);
	return 0;
}
