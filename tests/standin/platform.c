/*
 * platform.c - The platform stand-in as a process.
 *
 * Serves the platform's key-value store in its protocol, with the list of
 * replicas and instances in it.  POST /control injects faults while it runs:
 *
 *     {"outage": true}        connections are closed; "refuse": closes the
 *                             listening socket, "hang": sends no replies,
 *                             false: ends the outage
 *     {"slow_ms": N}          each reply is delayed by N ms
 *     {"lose_replies": N}     the next N writes take effect without a reply
 *     {"late_effect_ms": N}   the next write gets no reply and takes effect
 *                             after N ms, if its condition still holds;
 *                             "late_effects": the number of such writes
 *     {"rate_limit": N}       writes per second; calls over the limit get 429
 *     {"copy": true}          copies the store's content
 *     {"restore": true}       restores it from the copy, in the next era
 *     {"instances": [...]}    replaces the list, with "kind" "entry" for an
 *                             instance and "upstream" for a replica
 *     {"instances_lag_ms": N} delay before such a list takes effect
 *
 * GET /control/counts returns the calls per key prefix.  Prints "port PORT",
 * then "control PORT"; the control port serves /control even while the store's
 * port refuses connections.
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
	GPtrArray *listed_keys; /* keys of the last list */
	uint32_t list_delay_ms;
};

static void set_json(SoupServerMessage *message, const char *json)
{
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, json, strlen(json));
}

static const char *get_string(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static char *format_key(JsonObject *object)
{
	return g_strconcat(!strcmp(get_string(object, "kind"), "entry") ?
				   "ragwort/instances/" :
				   "servers/",
			   get_string(object, "name"), NULL);
}

static char *format_value(JsonObject *object)
{
	struct test_replica_entry replica = {
		.address = get_string(object, "address"),
		.zone = get_string(object, "zone"),
		.slots = 2,
		.draining = !strcmp(get_string(object, "state"), "leaving"),
	};

	if (strcmp(get_string(object, "kind"), "entry"))
		return test_make_replica_entry(&replica);
	return g_strdup_printf(
		"{\"zone\":\"%s\",\"address\":\"%s\",\"strength\":1000}",
		get_string(object, "zone"), get_string(object, "address"));
}

/* An invalid list element is stored as a malformed replica entry. */
static char *put_list_entry(struct platform *platform, JsonNode *node,
			    guint index)
{
	bool is_valid = JSON_NODE_HOLDS_OBJECT(node) &&
			*get_string(json_node_get_object(node), "name");
	char *key = is_valid ? format_key(json_node_get_object(node)) :
			       g_strdup_printf("servers/bad-%u", index);
	char *value = is_valid ? format_value(json_node_get_object(node)) :
				 json_to_string(node, FALSE);

	test_store_put(&platform->store, key, value);
	g_free(value);
	return key;
}

static bool contains_key(GPtrArray *keys, const char *key)
{
	return g_ptr_array_find_with_equal_func(keys, key, g_str_equal, NULL);
}

/* Store the entries of the list; remove those that it no longer contains. */
static void put_list(struct platform *platform, JsonNode *root)
{
	JsonArray *array = json_node_get_array(root);
	GPtrArray *previous_keys = platform->listed_keys;

	platform->listed_keys = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < json_array_get_length(array); i++)
		g_ptr_array_add(platform->listed_keys,
				put_list_entry(platform,
					       json_array_get_element(array, i),
					       i));
	for (guint i = 0; i < previous_keys->len; i++) {
		const char *key = g_ptr_array_index(previous_keys, i);

		if (!contains_key(platform->listed_keys, key))
			test_store_remove(&platform->store, key);
	}
	g_ptr_array_unref(previous_keys);
}

struct delayed_list {
	struct platform *platform;
	JsonNode *root;
};

static gboolean put_delayed_list(gpointer data)
{
	struct delayed_list *delayed = data;

	put_list(delayed->platform, delayed->root);
	json_node_unref(delayed->root);
	g_free(delayed);
	return G_SOURCE_REMOVE;
}

static void set_instances(struct platform *platform, JsonNode *node)
{
	struct delayed_list *delayed;

	if (!platform->list_delay_ms) {
		put_list(platform, node);
		return;
	}
	delayed = g_new0(struct delayed_list, 1);
	delayed->platform = platform;
	delayed->root = json_node_copy(node);
	g_timeout_add(platform->list_delay_ms, put_delayed_list, delayed);
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

static void apply_control(struct platform *platform, JsonObject *object)
{
	struct test_store *store = &platform->store;
	uint32_t previous_delay_ms = store->write_delay_ms;

	set_number(object, "slow_ms", &store->answer_delay_ms);
	set_number(object, "lose_replies", &store->lose_next_writes);
	set_number(object, "late_effect_ms", &store->write_delay_ms);
	if (store->write_delay_ms != previous_delay_ms)
		store->delay_next_writes = store->write_delay_ms ? 1 : 0;
	set_number(object, "late_effects", &store->delay_next_writes);
	set_number(object, "instances_lag_ms", &platform->list_delay_ms);
	set_number(object, "rate_limit", &store->rate.max_writes_per_s);
	if (json_object_has_member(object, "copy"))
		test_copy_store(store);
	if (json_object_has_member(object, "restore"))
		test_restore_store(store);
	if (json_object_has_member(object, "instances"))
		set_instances(platform,
			      json_object_get_member(object, "instances"));
	if (json_object_has_member(object, "outage"))
		set_outage(platform, json_object_get_member(object, "outage"));
}

static void handle_control(SoupServer *server, SoupServerMessage *message,
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
		apply_control(platform, json_node_get_object(root));
	} else {
		soup_server_message_set_status(message, 400,
					       "body is not a JSON object");
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
	soup_server_add_handler(platform->control, "/control", handle_control,
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
	struct arg_int *port =
		arg_int0(NULL, "port", "N", "port of the store; 0: any free");
	struct arg_int *rate_limit = arg_int0(
		NULL, "rate-limit", "N", "writes per second; 0: unlimited");
	struct arg_end *end = arg_end(5);
	void *table[] = { port, rate_limit, end };
	uint16_t control;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "platform");
		return 2;
	}
	platform.loop = g_main_loop_new(NULL, FALSE);
	platform.listed_keys = g_ptr_array_new_with_free_func(g_free);
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
	g_ptr_array_unref(platform.listed_keys);
	g_object_unref(platform.control);
	g_main_loop_unref(platform.loop);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
