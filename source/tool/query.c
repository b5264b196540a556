/*
 * query.c - `ragwort query`: queries a service and prints its answer.
 */
#include <stdio.h>
#include <string.h>

#include "ragwort/error.h"
#include "tool/credentials.h"
#include "tool/http.h"
#include "tool/tool.h"

#define DEFAULT_DEADLINE_MS 10000
/* Time past the deadline after which the tool stops waiting for a reply. */
#define REPLY_GRACE_MS 2000

struct query_arguments {
	struct arg_str *instance;
	struct arg_str *service;
	struct arg_str *query;
	struct arg_str *key;
	struct arg_str *reserve;
	struct arg_str *id;
	struct arg_lit *list;
	struct arg_str *cursor;
	struct arg_int *max_rows;
	struct arg_int *deadline;
	struct arg_str *request_id;
	struct arg_lit *batch;
	struct arg_lit *json;
	struct arg_lit *require_complete;
	struct rr_credential_arguments credential_options;
	struct rr_common_arguments common;
};

/* Parse --query as JSON; text that is not JSON becomes a JSON string. */
static JsonNode *parse_query(const char *text)
{
	JsonNode *node = json_from_string(text, NULL);

	if (!node) {
		node = json_node_new(JSON_NODE_VALUE);
		json_node_set_string(node, text);
	}
	return node;
}

static char *make_body(const struct query_arguments *arguments)
{
	JsonObject *object = json_object_new();
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	const char *query = "{}";
	char *text;

	if (arguments->query->count)
		query = arguments->query->sval[0];
	json_object_set_member(object, "query", parse_query(query));
	if (arguments->key->count)
		json_object_set_int_member(
			object, "key",
			g_ascii_strtoll(arguments->key->sval[0], NULL, 10));
	if (arguments->max_rows->count && !arguments->key->count)
		json_object_set_int_member(object, "max_rows",
					   arguments->max_rows->ival[0]);
	json_node_take_object(root, object);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	return text;
}

static char *make_list_path(const struct query_arguments *arguments,
			    const char *service)
{
	GString *path = g_string_new(NULL);
	char *cursor;

	g_string_printf(path, "/v1/services/%s/list", service);
	if (arguments->max_rows->count)
		g_string_append_printf(path, "?max_rows=%d",
				       arguments->max_rows->ival[0]);
	if (arguments->cursor->count) {
		cursor = g_uri_escape_string(arguments->cursor->sval[0], NULL,
					     FALSE);
		g_string_append_printf(path, "%scursor=%s",
				       arguments->max_rows->count ? "&" : "?",
				       cursor);
		g_free(cursor);
	}
	return g_string_free(path, FALSE);
}

static char *make_path(const struct query_arguments *arguments)
{
	char *service =
		g_uri_escape_string(arguments->service->sval[0], NULL, FALSE);
	const char *kind = "search";
	char *path;

	if (arguments->key->count)
		kind = arguments->reserve->count ? "reserve" : "lookup";
	if (arguments->list->count)
		path = make_list_path(arguments, service);
	else
		path = g_strdup_printf("/v1/services/%s/%s", service, kind);
	g_free(service);
	return path;
}

static void print_missing_shards(JsonObject *answer)
{
	JsonObject *coverage = rr_json_object(answer, "coverage");
	JsonArray *missing = rr_json_array(coverage, "lacking");
	JsonArray *covered = rr_json_array(coverage, "covered");
	guint n_missing = missing ? json_array_get_length(missing) : 0;
	guint n_covered = covered ? json_array_get_length(covered) : 0;

	if (!n_missing) {
		if (n_covered)
			printf("covers all %u shards queried\n", n_covered);
		return;
	}
	printf("MISSING %u of %u shards:\n", n_missing, n_missing + n_covered);
	for (guint i = 0; i < n_missing; i++) {
		JsonObject *shard = rr_json_object_at(missing, i);

		printf("  %s (yard %s): %s\n",
		       rr_json_string_or(shard, "shard", "?"),
		       rr_json_string_or(shard, "yard", "?"),
		       rr_json_string_or(shard, "reason", "?"));
	}
}

static void print_member(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	char *text = node ? json_to_string(node, FALSE) : g_strdup("");

	printf("%s\n", text);
	g_free(text);
}

static void print_rows(JsonObject *answer)
{
	JsonArray *rows = rr_json_array(answer, "rows");
	guint n_rows = rows ? json_array_get_length(rows) : 0;

	printf("rows: %u%s, index version %" G_GINT64_FORMAT "\n", n_rows,
	       rr_json_boolean(answer, "rows_cut") ?
		       " (truncated: more rows match)" :
		       "",
	       rr_json_integer_or(answer, "index_version", 0));
	for (guint i = 0; i < n_rows; i++) {
		JsonObject *row = rr_json_object_at(rows, i);

		if (!row)
			continue;
		printf("  %-12" G_GINT64_FORMAT " ",
		       rr_json_integer_or(row, "key", 0));
		print_member(row, "row");
	}
}

static void print_answer(JsonObject *answer)
{
	const char *reason = rr_json_string_or(answer, "reason", NULL);
	const char *cursor = rr_json_string_or(answer, "next_cursor", NULL);
	int64_t retry_after_ms =
		rr_json_integer_or(answer, "retry_after_ms", 0);

	printf("outcome: %s%s%s\n", rr_json_string_or(answer, "outcome", "?"),
	       reason ? ", " : "", reason ? reason : "");
	print_missing_shards(answer);
	if (retry_after_ms)
		printf("retry after %" G_GINT64_FORMAT " ms\n", retry_after_ms);
	if (json_object_has_member(answer, "result")) {
		printf("result%s: ", rr_json_boolean(answer, "replayed") ?
					     " (of an earlier request)" :
					     "");
		print_member(answer, "result");
	}
	print_rows(answer);
	if (cursor)
		printf("next page: --list --cursor '%s'\n", cursor);
	printf("request %s: %.1f ms, %" G_GINT64_FORMAT " attempts\n",
	       rr_json_string_or(answer, "request_id", "?"),
	       rr_json_number_or(answer, "elapsed_ms", 0),
	       rr_json_integer_or(answer, "attempts", 0));
}

static int outcome_exit_code(const char *outcome, bool require_complete)
{
	if (!strcmp(outcome, "complete"))
		return RR_EXIT_OK;
	if (!strcmp(outcome, "partial"))
		return require_complete ? RR_EXIT_FAILED : RR_EXIT_OK;
	if (!strcmp(outcome, "invalid"))
		return RR_EXIT_USAGE;
	return RR_EXIT_FAILED;
}

static int show_reply(const struct rr_command *command,
		      const struct query_arguments *arguments,
		      const struct rr_http_reply *reply)
{
	JsonNode *root = rr_parse_json_text(reply->body);
	JsonObject *answer;
	int code = RR_EXIT_FAILED;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		rr_print_message(
			command,
			"status %u with a body that is not an answer; is this "
			"the caller address of an instance?",
			reply->status);
	} else {
		answer = json_node_get_object(root);
		if (arguments->json->count)
			printf("%s\n", reply->body);
		else
			print_answer(answer);
		code = outcome_exit_code(
			rr_json_string_or(answer, "outcome", ""),
			arguments->require_complete->count > 0);
	}
	if (root)
		json_node_unref(root);
	return code;
}

static size_t add_headers(const struct query_arguments *arguments,
			  const char *deadline, struct rr_http_header *headers)
{
	const char *id = NULL;
	size_t n = 0;

	if (arguments->reserve->count)
		id = arguments->reserve->sval[0];
	else if (arguments->id->count)
		id = arguments->id->sval[0];
	headers[n++] = (struct rr_http_header){ "X-Deadline-Ms", deadline };
	if (id)
		headers[n++] = (struct rr_http_header){ "Idempotency-Key", id };
	if (arguments->request_id->count)
		headers[n++] = (struct rr_http_header){
			"X-Request-Id", arguments->request_id->sval[0]
		};
	if (arguments->batch->count)
		headers[n++] = (struct rr_http_header){ "X-Priority", "batch" };
	return n;
}

static int send_query(const struct rr_command *command,
		      const struct query_arguments *arguments,
		      const struct rr_credentials *credentials)
{
	int deadline_ms = arguments->deadline->count ?
				  arguments->deadline->ival[0] :
				  DEFAULT_DEADLINE_MS;
	char *deadline = g_strdup_printf("%d", deadline_ms);
	char *path = make_path(arguments);
	char *body = arguments->list->count ? NULL : make_body(arguments);
	struct rr_http_header headers[4];
	struct rr_http_request request = {
		.method = body ? "POST" : "GET",
		.address = arguments->instance->sval[0],
		.credentials = credentials,
		.path = path,
		.headers = headers,
		.n_headers = add_headers(arguments, deadline, headers),
		.body = body,
		.length = body ? strlen(body) : 0,
		.timeout_ms = (uint32_t)deadline_ms + REPLY_GRACE_MS,
	};
	struct rr_http_reply reply;
	GError *error = NULL;
	int code;

	if (rr_send_http_request(&request, &reply, &error)) {
		code = show_reply(command, arguments, &reply);
		rr_clear_http_reply(&reply);
	} else {
		code = RR_EXIT_UNREACHABLE;
		rr_print_message(
			command, "%s%s", error->message,
			error->code == RR_ERROR_UNAVAILABLE ?
				"; nothing was run, try another instance" :
				"; it may have run, retry with the same "
				"id");
		g_clear_error(&error);
	}
	g_free(body);
	g_free(path);
	g_free(deadline);
	return code;
}

static bool check_arguments(const struct rr_command *command,
			    const struct query_arguments *arguments)
{
	char **addresses;
	const char *key;

	addresses =
		rr_parse_address_list(command, arguments->instance->sval[0]);
	if (!addresses)
		return false;
	g_strfreev(addresses);
	if (arguments->reserve->count && !arguments->key->count) {
		rr_print_message(command,
				 "--reserve needs --key, the key to reserve");
		return false;
	}
	if (arguments->reserve->count && arguments->id->count) {
		rr_print_message(command, "give either --reserve or --id");
		return false;
	}
	if (arguments->list->count && arguments->key->count) {
		rr_print_message(command,
				 "--list cannot be combined with --key");
		return false;
	}
	if (arguments->cursor->count && !arguments->list->count) {
		rr_print_message(command, "--cursor needs --list");
		return false;
	}
	if (arguments->deadline->count && arguments->deadline->ival[0] < 1) {
		rr_print_message(command,
				 "--deadline-ms: found %d, allowed is 1 or "
				 "more",
				 arguments->deadline->ival[0]);
		return false;
	}
	key = arguments->key->count ? arguments->key->sval[0] : "0";
	if (!g_ascii_string_to_unsigned(key, 10, 0, INT64_MAX, NULL, NULL)) {
		rr_print_message(
			command,
			"--key: found '%s', allowed is a whole number from 0 "
			"to 2^63-1",
			key);
		return false;
	}
	return true;
}

int rr_run_query(const struct rr_command *command, int argc, char **argv)
{
	struct query_arguments arguments = {
		.instance = arg_str1(NULL, "instance", "IP:PORT",
				     "caller address of any instance"),
		.service =
			arg_str1(NULL, "service", "NAME", "service to query"),
		.query = arg_str0(NULL, "query", "JSON",
				  "query, passed to the upstreams unchanged"),
		.key = arg_str0(NULL, "key", "N",
				"look up one key instead of searching"),
		.reserve =
			arg_str0(NULL, "reserve", "ID",
				 "with --key: reserve the key under this id, "
				 "<unix-seconds>-<8 to 64 characters>"),
		.id = arg_str0(NULL, "id", "ID",
			       "such an id, for a service that costs money or "
			       "is not idempotent"),
		.list = arg_lit0(NULL, "list", "one page of all rows"),
		.cursor = arg_str0(
			NULL, "cursor", "CURSOR",
			"with --list: cursor printed with the last page"),
		.max_rows = arg_int0(NULL, "max-rows", "N",
				     "maximum number of rows in the answer"),
		.deadline =
			arg_int0(NULL, "deadline-ms", "N",
				 "deadline in milliseconds (default 10000)"),
		.request_id = arg_str0(NULL, "request-id", "ID",
				       "request id for the logs"),
		.batch = arg_lit0(
			NULL, "batch",
			"send with batch priority, like a nightly job"),
		.json = arg_lit0(NULL, "json", "print the answer as received"),
		.require_complete = arg_lit0(
			NULL, "whole", "exit with 1 if a shard is missing"),
		.credential_options = rr_new_credential_arguments(),
		.common = rr_new_common_arguments(),
	};
	void *table[] = { arguments.instance,
			  arguments.service,
			  arguments.query,
			  arguments.key,
			  arguments.reserve,
			  arguments.id,
			  arguments.list,
			  arguments.cursor,
			  arguments.max_rows,
			  arguments.deadline,
			  arguments.request_id,
			  arguments.batch,
			  arguments.json,
			  arguments.require_complete,
			  arguments.credential_options.token_file,
			  arguments.credential_options.ca_file,
			  arguments.common.help,
			  arguments.common.end };
	struct rr_credentials credentials = { 0 };
	int code;

	if (rr_parse_arguments(command, table, &arguments.common, argc, argv,
			       &code)) {
		code = RR_EXIT_USAGE;
		if (check_arguments(command, &arguments) &&
		    rr_load_credentials(command, &arguments.credential_options,
					&credentials))
			code = send_query(command, &arguments, &credentials);
	}
	rr_clear_credentials(&credentials);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
