/*
 * status.c - `ragwort status`: table of instances, members, upstreams and
 * missing shards.
 */
#include <stdio.h>
#include <string.h>

#include "tool/credentials.h"
#include "tool/instances.h"
#include "tool/tool.h"

/* Normal states, which are not printed. */
#define READY_STATE "ready"
#define ALIVE_STATE "alive"
/* State of an upstream that only other instances have connections to. */
#define UNKNOWN_STATE "unknown"

static JsonObject *status_object(const struct rr_instance_status *status)
{
	return status->json_root ? json_node_get_object(status->json_root) :
				   NULL;
}

static char *format_age(int64_t age_ms)
{
	if (age_ms < 0)
		return g_strdup("-");
	return g_strdup_printf("%.1f s", (double)age_ms / 1000);
}

static guint array_length(JsonObject *object, const char *name)
{
	JsonArray *array = rr_json_array(object, name);

	return array ? json_array_get_length(array) : 0;
}

static void print_instance(const struct rr_instance_status *status)
{
	JsonObject *object = status_object(status);
	const char *reason = rr_json_string_or(object, "reason", NULL);
	bool ready = rr_json_boolean(object, "ready");
	char *age;

	if (!object) {
		printf("%-22s no answer: %s\n", status->address,
		       status->error_message);
		return;
	}
	age = format_age(rr_json_integer_or(object, "config_age_ms", -1));
	printf("%-22s %-18s %-18s %-10s %8" G_GINT64_FORMAT " %10s %8u "
	       "%6" G_GINT64_FORMAT "%s%s\n",
	       status->address, rr_json_string_or(object, "instance", "?"),
	       rr_json_string_or(object, "zone", "?"),
	       ready ? "ready" : "not ready",
	       rr_json_integer_or(object, "revision", 0), age,
	       array_length(object, "members"),
	       rr_json_integer_or(object, "open_queries", 0),
	       !ready && reason ? "  " : "", !ready && reason ? reason : "");
	g_free(age);
}

static void print_instances(const GPtrArray *statuses)
{
	printf("%-22s %-18s %-18s %-10s %8s %10s %8s %6s\n", "ADDRESS",
	       "INSTANCE", "ZONE", "STATE", "REVISION", "AGE", "MEMBERS",
	       "OPEN");
	for (guint i = 0; i < statuses->len; i++)
		print_instance(statuses->pdata[i]);
}

/*
 * Print each element whose state differs from `expected_state`; return their
 * number.
 */
static guint print_other_states(JsonArray *array, const char *key,
				const char *expected_state, const char *noun)
{
	guint n = array ? json_array_get_length(array) : 0;
	guint printed = 0;

	for (guint i = 0; i < n; i++) {
		JsonObject *element = rr_json_object_at(array, i);
		const char *state = rr_json_string_or(element, "state", "?");

		if (!strcmp(state, expected_state))
			continue;
		printf("  %s %s in zone %s: %s\n", noun,
		       rr_json_string_or(element, key, "?"),
		       rr_json_string_or(element, "zone", "?"), state);
		printed++;
	}
	return printed;
}

/* Number of upstreams by state. */
struct upstream_counts {
	guint ready;
	guint unknown;	 /* connected to other instances only */
	guint not_ready; /* not ready or ejected; each is printed */
};

static void print_upstreams(JsonArray *array, struct upstream_counts *counts)
{
	guint n = array ? json_array_get_length(array) : 0;

	for (guint i = 0; i < n; i++) {
		JsonObject *replica = rr_json_object_at(array, i);
		const char *state = rr_json_string_or(replica, "state", "?");
		bool ejected = rr_json_boolean(replica, "set_aside");

		if (!strcmp(state, READY_STATE) && !ejected) {
			counts->ready++;
		} else if (!strcmp(state, UNKNOWN_STATE)) {
			counts->unknown++;
		} else {
			counts->not_ready++;
			printf("  upstream %s in zone %s: %s%s\n",
			       rr_json_string_or(replica, "id", "?"),
			       rr_json_string_or(replica, "zone", "?"), state,
			       ejected ? ", ejected as an outlier" : "");
		}
	}
}

static struct upstream_counts print_services(JsonObject *object)
{
	JsonArray *services = rr_json_array(object, "services");
	guint n = services ? json_array_get_length(services) : 0;
	struct upstream_counts counts = { 0 };

	for (guint i = 0; i < n; i++)
		print_upstreams(rr_json_array(rr_json_object_at(services, i),
					      "replicas"),
				&counts);
	return counts;
}

static guint print_missing_shards(JsonObject *object)
{
	JsonArray *array = rr_json_array(object, "lacking");
	guint n = array ? json_array_get_length(array) : 0;

	for (guint i = 0; i < n; i++) {
		JsonObject *shard = rr_json_object_at(array, i);

		printf("  missing shard %s of %s (yard %s): %s\n",
		       rr_json_string_or(shard, "shard", "?"),
		       rr_json_string_or(shard, "service", "?"),
		       rr_json_string_or(shard, "yard", "?"),
		       rr_json_string_or(shard, "reason", "?"));
	}
	return n;
}

static void print_instance_view(const struct rr_instance_status *status)
{
	JsonObject *object = status_object(status);
	struct upstream_counts counts;

	if (!object)
		return;
	printf("\nview of %s:\n",
	       rr_json_string_or(object, "instance", status->address));
	if (!print_missing_shards(object))
		printf("  no shard missing\n");
	print_other_states(rr_json_array(object, "members"), "instance",
			   ALIVE_STATE, "instance");
	counts = print_services(object);
	printf("  upstreams: %u ready, %u not ready, %u of other instances\n",
	       counts.ready, counts.not_ready, counts.unknown);
}

static void print_json(const GPtrArray *statuses)
{
	JsonNode *root = json_node_new(JSON_NODE_ARRAY);
	JsonArray *array = json_array_new();
	char *text;

	for (guint i = 0; i < statuses->len; i++) {
		const struct rr_instance_status *status = statuses->pdata[i];
		JsonObject *object = json_object_new();

		json_object_set_string_member(object, "address",
					      status->address);
		if (status->json_root)
			json_object_set_member(
				object, "status",
				json_node_copy(status->json_root));
		else
			json_object_set_string_member(object, "problem",
						      status->error_message);
		json_array_add_object_element(array, object);
	}
	json_node_take_array(root, array);
	text = json_to_string(root, TRUE);
	printf("%s\n", text);
	g_free(text);
	json_node_unref(root);
}

/* Print the instances whose revision is older than the newest one. */
static void print_behind(const GPtrArray *statuses)
{
	int64_t newest = 0;

	for (guint i = 0; i < statuses->len; i++)
		newest = MAX(newest, rr_json_integer_or(
					     status_object(statuses->pdata[i]),
					     "revision", 0));
	for (guint i = 0; i < statuses->len; i++) {
		const struct rr_instance_status *status = statuses->pdata[i];
		JsonObject *object = status_object(status);

		if (object &&
		    rr_json_integer_or(object, "revision", 0) < newest)
			printf("%s is behind revision %" G_GINT64_FORMAT "\n",
			       status->address, newest);
	}
}

static int status_exit_code(const GPtrArray *statuses)
{
	guint answered = 0;
	guint ready = 0;

	for (guint i = 0; i < statuses->len; i++) {
		JsonObject *object = status_object(statuses->pdata[i]);

		answered += object != NULL;
		ready += rr_json_boolean(object, "ready");
	}
	if (!answered)
		return RR_EXIT_UNREACHABLE;
	return ready == statuses->len ? RR_EXIT_OK : RR_EXIT_FAILED;
}

int rr_run_status(const struct rr_command *command, int argc, char **argv)
{
	struct arg_str *instances = arg_str1(NULL, "instances", "IP:PORT,...",
					     "caller addresses to query");
	struct arg_lit *json =
		arg_lit0(NULL, "json", "print all replies as one JSON array");
	struct rr_credential_arguments credential_options =
		rr_new_credential_arguments();
	struct rr_common_arguments common = rr_new_common_arguments();
	void *table[] = { instances,
			  json,
			  credential_options.token_file,
			  credential_options.ca_file,
			  common.help,
			  common.end };
	struct rr_credentials credentials = { 0 };
	char **addresses = NULL;
	GPtrArray *statuses;
	int code;

	if (rr_parse_arguments(command, table, &common, argc, argv, &code)) {
		addresses = rr_parse_address_list(command, instances->sval[0]);
		code = RR_EXIT_USAGE;
	}
	if (addresses &&
	    rr_load_credentials(command, &credential_options, &credentials)) {
		statuses = rr_fetch_instance_statuses(addresses, &credentials);
		if (json->count) {
			print_json(statuses);
		} else {
			print_instances(statuses);
			print_behind(statuses);
			for (guint i = 0; i < statuses->len; i++)
				print_instance_view(statuses->pdata[i]);
		}
		code = status_exit_code(statuses);
		g_ptr_array_unref(statuses);
	}
	rr_clear_credentials(&credentials);
	g_strfreev(addresses);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
