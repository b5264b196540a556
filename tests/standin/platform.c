/*
 * platform.c - the platform's stand-in as a process: its key-value store in
 * its own protocol, and the list of replicas and instances in it.  Faults come
 * by POST /control while it runs:
 *
 *     {"outage": true}        connections end; "refuse": no listener, "hang":
 *                             no reply, false: none
 *     {"slow_ms": N}          each reply is held back so long
 *     {"lose_replies": N}     the next N writes take effect, no reply comes
 *     {"late_effect_ms": N}   the next write gets no reply and takes effect
 *                             after N ms, if its condition still holds;
 *                             "late_effects": how many writes
 *     {"rate_limit": N}       writes a second; more get 429
 *     {"instances": [...]}    who is listed, "kind" "entry" or "upstream",
 *                             after
 *     {"instances_lag_ms": N}
 *
 * GET /control/counts gives the calls per key prefix.  The second port
 * printed serves /control also while connections are refused.
 */
#include <argtable2.h>
#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "support/process.h"
#include "support/standin-store.h"

struct platform {
	GMainLoop *loop;
	struct test_store store;
	SoupServer *control;
	GPtrArray *listed; /* keys of those that the last list named */
	uint32_t list_lag_ms;
};

static void set_json(SoupServerMessage *message, const char *json)
{
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, json, strlen(json));
}

static const char *text_of(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static char *key_of(JsonObject *object)
{
	return g_strconcat(!strcmp(text_of(object, "kind"), "entry") ?
				   "ragwort/instances/" :
				   "servers/",
			   text_of(object, "name"), NULL);
}

static char *value_of(JsonObject *object)
{
	struct test_replica_entry replica = {
		.address = text_of(object, "address"),
		.zone = text_of(object, "zone"),
		.slots = 2,
		.draining = !strcmp(text_of(object, "state"), "leaving"),
	};

	if (strcmp(text_of(object, "kind"), "entry"))
		return test_make_replica_entry(&replica);
	return g_strdup_printf(
		"{\"zone\":\"%s\",\"address\":\"%s\",\"strength\":1000}",
		text_of(object, "zone"), text_of(object, "address"));
}

/* What is no entry is listed all the same, under a value that is none. */
static char *list_one(struct platform *platform, JsonNode *node, guint index)
{
	bool is_entry = JSON_NODE_HOLDS_OBJECT(node) &&
			*text_of(json_node_get_object(node), "name");
	char *key = is_entry ? key_of(json_node_get_object(node)) :
			       g_strdup_printf("servers/bad-%u", index);
	char *value = is_entry ? value_of(json_node_get_object(node)) :
				 json_to_string(node, FALSE);

	test_store_put(&platform->store, key, value);
	g_free(value);
	return key;
}

static bool names(GPtrArray *keys, const char *key)
{
	return g_ptr_array_find_with_equal_func(keys, key, g_str_equal, NULL);
}

/* List those named now, and no longer those named before. */
static void list_all(struct platform *platform, JsonNode *root)
{
	JsonArray *array = json_node_get_array(root);
	GPtrArray *before = platform->listed;

	platform->listed = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < json_array_get_length(array); i++)
		g_ptr_array_add(platform->listed,
				list_one(platform,
					 json_array_get_element(array, i), i));
	for (guint i = 0; i < before->len; i++) {
		const char *key = g_ptr_array_index(before, i);

		if (!names(platform->listed, key))
			test_store_remove(&platform->store, key);
	}
	g_ptr_array_unref(before);
}

struct late_list {
	struct platform *platform;
	JsonNode *root;
};

static gboolean list_late(gpointer data)
{
	struct late_list *late = data;

	list_all(late->platform, late->root);
	json_node_unref(late->root);
	g_free(late);
	return G_SOURCE_REMOVE;
}

static void set_instances(struct platform *platform, JsonNode *node)
{
	struct late_list *late;

	if (!platform->list_lag_ms) {
		list_all(platform, node);
		return;
	}
	late = g_new0(struct late_list, 1);
	late->platform = platform;
	late->root = json_node_copy(node);
	g_timeout_add(platform->list_lag_ms, list_late, late);
}

static void set_outage(struct platform *platform, JsonNode *node)
{
	struct test_store *store = &platform->store;
	const char *text = "";
	bool hangs;

	if (json_node_get_value_type(node) == G_TYPE_STRING)
		text = json_node_get_string(node);
	else if (json_node_get_boolean(node))
		text = "close";
	hangs = !strcmp(text, "hang");
	if (hangs)
		store->state = TEST_STORE_UNRESPONSIVE;
	else
		test_store_set_state(store, !strcmp(text, "close") ?
						    TEST_STORE_RESET :
						    TEST_STORE_UP);
	test_set_listening(&store->server, strcmp(text, "refuse") != 0);
}

static void set_number(JsonObject *object, const char *name, uint32_t *number)
{
	if (json_object_has_member(object, name))
		*number = (uint32_t)json_object_get_int_member(object, name);
}

static void obey(struct platform *platform, JsonObject *object)
{
	struct test_store *store = &platform->store;
	uint32_t before_ms = store->write_delay_ms;

	set_number(object, "slow_ms", &store->answer_delay_ms);
	set_number(object, "lose_replies", &store->lose_next_writes);
	set_number(object, "late_effect_ms", &store->write_delay_ms);
	if (store->write_delay_ms != before_ms)
		store->delay_next_writes = store->write_delay_ms ? 1 : 0;
	set_number(object, "late_effects", &store->delay_next_writes);
	set_number(object, "instances_lag_ms", &platform->list_lag_ms);
	set_number(object, "rate_limit", &store->rate.max_writes_per_s);
	if (json_object_has_member(object, "instances"))
		set_instances(platform,
			      json_object_get_member(object, "instances"));
	if (json_object_has_member(object, "outage"))
		set_outage(platform, json_object_get_member(object, "outage"));
}

static void take_control(SoupServer *server, SoupServerMessage *message,
			 const char *path, GHashTable *query, gpointer data)
{
	struct platform *platform = data;
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	JsonNode *root;
	GBytes *bytes;
	char *text;

	if (!strcmp(path, "/control/counts")) {
		text = test_format_call_counts(platform->store.counts);
		set_json(message, text);
		g_free(text);
		return;
	}
	bytes = soup_message_body_flatten(body);
	text = g_strndup(g_bytes_get_data(bytes, NULL),
			 g_bytes_get_size(bytes));
	root = json_from_string(text, NULL);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		set_json(message, "{}\n");
		obey(platform, json_node_get_object(root));
	} else {
		soup_server_message_set_status(message, 400, "no JSON object");
	}
	g_clear_pointer(&root, json_node_unref);
	g_free(text);
	g_bytes_unref(bytes);
}

static uint16_t open_control(struct platform *platform)
{
	GInetAddress *loopback =
		g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address = g_inet_socket_address_new(loopback, 0);
	GError *error = NULL;
	GSList *uris;
	int port;

	platform->control = soup_server_new(NULL, NULL);
	soup_server_add_handler(platform->control, "/control", take_control,
				platform, NULL);
	if (!soup_server_listen(platform->control, address, 0, &error))
		g_error("platform: %s", error->message);
	uris = soup_server_get_uris(platform->control);
	port = g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_object_unref(address);
	g_object_unref(loopback);
	return (uint16_t)port;
}

static gboolean quit(gpointer data)
{
	struct platform *platform = data;

	g_main_loop_quit(platform->loop);
	return G_SOURCE_REMOVE;
}

int main(int argc, char **argv)
{
	struct platform platform = { 0 };
	struct arg_int *port = arg_int0(NULL, "port", "N", "0: any");
	struct arg_int *rate_limit =
		arg_int0(NULL, "rate-limit", "N", "writes per second; 0: none");
	struct arg_end *end = arg_end(5);
	void *table[] = { port, rate_limit, end };
	uint16_t control;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "platform");
		return 2;
	}
	platform.loop = g_main_loop_new(NULL, FALSE);
	platform.listed = g_ptr_array_new_with_free_func(g_free);
	test_open_store_at(&platform.store,
			   port->count ? (uint16_t)port->ival[0] : 0, 1);
	platform.store.counts = test_new_call_counts();
	if (rate_limit->count)
		platform.store.rate.max_writes_per_s =
			(uint32_t)rate_limit->ival[0];
	control = open_control(&platform);
	printf("port %u\ncontrol %u\n", platform.store.server.port, control);
	fflush(stdout);
	g_unix_signal_add(SIGTERM, quit, &platform);
	g_unix_signal_add(SIGINT, quit, &platform);
	g_main_loop_run(platform.loop);
	test_drop_call_counts(platform.store.counts);
	test_close_store(&platform.store);
	g_ptr_array_unref(platform.listed);
	g_object_unref(platform.control);
	g_main_loop_unref(platform.loop);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
