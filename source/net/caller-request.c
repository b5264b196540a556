/*
 * caller-request.c - parser and validation of callers' requests.
 */
#include "net/caller-private.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json-private.h"
#include "ragwort/error.h"
#include "ragwort/wire.h"

#define SERVICES_PATH "/v1/services/"
#define MAX_ID_BYTES 128
#define MAX_ROWS_LIMIT 1000000
#define MAX_NESTING 64
/*
 * A query is forwarded to other instances in one peer message. A message that
 * is too long is dropped, so the shards of those instances would be missing
 * each time. The limit leaves 1 MiB for the rest of a message, the names and
 * ranges of the shards, which are far smaller. It applies to the serialised
 * query, which can be longer than the query received, because control
 * characters are escaped.
 */
#define MAX_QUERY_BYTES (RR_MAX_PEER_BYTES - (1u << 20))

struct action {
	const char *name;
	const char *method;
	enum rr_request_kind kind;
};

static const struct action actions[] = {
	{ "search", "POST", RR_SEARCH },
	{ "lookup", "POST", RR_LOOKUP },
	{ "reserve", "POST", RR_RESERVE },
	{ "list", "GET", RR_LIST },
};

static bool set_call_error(uint32_t *status, uint32_t code, GError **error,
			   const char *format, ...) G_GNUC_PRINTF(4, 5);

static bool set_call_error(uint32_t *status, uint32_t code, GError **error,
			   const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	*status = code;
	g_set_error_literal(error, RR_ERROR, RR_ERROR_SYNTAX, text);
	g_free(text);
	return false;
}

static const struct action *find_action(const char *path, char **service)
{
	const char *name;
	const char *slash;

	if (!g_str_has_prefix(path, SERVICES_PATH))
		return NULL;
	name = path + strlen(SERVICES_PATH);
	slash = strchr(name, '/');
	if (!slash || slash == name)
		return NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (strcmp(slash + 1, actions[i].name))
			continue;
		*service = g_strndup(name, (gsize)(slash - name));
		return &actions[i];
	}
	return NULL;
}

/* Ids are written to logs and upstream headers: printable, no spaces. */
static bool is_valid_id(const char *text)
{
	size_t length = strlen(text);

	if (length == 0 || length > MAX_ID_BYTES)
		return false;
	for (; *text; text++) {
		if (!g_ascii_isgraph(*text))
			return false;
	}
	return true;
}

static bool parse_u32(const char *name, const char *text, uint32_t max,
		      uint32_t *value, uint32_t *status, GError **error)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 1, max, &number, NULL))
		return set_call_error(status, SOUP_STATUS_BAD_REQUEST, error,
				      "%s: an integer from 1 to %u is needed",
				      name, max);
	*value = (uint32_t)number;
	return true;
}

static bool parse_headers(struct rr_context *ctx, SoupMessageHeaders *headers,
			  struct rr_call_request *call, uint32_t *status,
			  GError **error)
{
	const char *id = soup_message_headers_get_one(headers, "X-Request-Id");
	const char *key =
		soup_message_headers_get_one(headers, "Idempotency-Key");
	const char *deadline =
		soup_message_headers_get_one(headers, "X-Deadline-Ms");
	const char *priority =
		soup_message_headers_get_one(headers, "X-Priority");

	if (id && !is_valid_id(id))
		return set_call_error(
			status, SOUP_STATUS_BAD_REQUEST, error,
			"X-Request-Id: 1 to %d printable characters "
			"without spaces are allowed",
			MAX_ID_BYTES);
	call->request_id = id ? g_strdup(id) :
				g_strdup_printf("%016" G_GINT64_MODIFIER "x",
						rr_random_u64(ctx));
	if (key && !is_valid_id(key))
		return set_call_error(
			status, SOUP_STATUS_BAD_REQUEST, error,
			"Idempotency-Key: "
			"<unix-seconds>-<8 to 64 of A-Za-z0-9_.-> "
			"is needed");
	if (!key && call->request.kind == RR_RESERVE)
		return set_call_error(status, SOUP_STATUS_BAD_REQUEST, error,
				      "Idempotency-Key: needed for reserve");
	call->idempotency_key = g_strdup(key);
	if (deadline && !parse_u32("X-Deadline-Ms", deadline, G_MAXINT32,
				   &call->request.deadline_ms, status, error))
		return false;
	if (priority && strcmp(priority, "batch") != 0)
		return set_call_error(status, SOUP_STATUS_BAD_REQUEST, error,
				      "X-Priority: only \"batch\" is allowed");
	call->request.priority = priority ? RR_BATCH : RR_INTERACTIVE;
	return true;
}

static bool parse_integer(JsonNode *node, const char *name, gint64 min,
			  gint64 max, gint64 *value, GError **error)
{
	if (JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_INT64) {
		*value = json_node_get_int(node);
		if (*value >= min && *value <= max)
			return true;
	}
	g_set_error(error, RR_ERROR, RR_ERROR_OUT_OF_RANGE,
		    "%s: an integer from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT " is needed",
		    name, min, max);
	return false;
}

static bool parse_member(struct rr_call_request *call, const char *name,
			 JsonNode *node, bool *has_key, GError **error)
{
	bool has_shard_key = call->request.kind != RR_SEARCH;
	gint64 value;

	if (!strcmp(name, "query")) {
		call->body = json_to_string(node, FALSE);
		return true;
	}
	if (!strcmp(name, "max_rows")) {
		if (!parse_integer(node, name, 1, MAX_ROWS_LIMIT, &value,
				   error))
			return false;
		call->request.max_rows = (uint32_t)value;
		return true;
	}
	if (has_shard_key && !strcmp(name, "key")) {
		*has_key = true;
		if (!parse_integer(node, name, 0, G_MAXINT64 - 1, &value,
				   error))
			return false;
		call->request.key = (uint64_t)value;
		return true;
	}
	g_set_error(error, RR_ERROR, RR_ERROR_UNSUPPORTED,
		    "%s: unknown member; query, max_rows%s are allowed", name,
		    has_shard_key ? ", key" : "");
	return false;
}

static bool parse_object(JsonNode *root, struct rr_call_request *call,
			 GError **error)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;
	bool has_key = false;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
			    "body: a JSON object is needed");
		return false;
	}
	json_object_iter_init(&iter, json_node_get_object(root));
	while (json_object_iter_next(&iter, &name, &node)) {
		if (!parse_member(call, name, node, &has_key, error))
			return false;
	}
	if (call->request.kind == RR_SEARCH || has_key)
		return true;
	g_set_error(error, RR_ERROR, RR_ERROR_SYNTAX,
		    "key: needed for lookup and reserve");
	return false;
}

static bool parse_body(SoupServerMessage *message, struct rr_call_request *call,
		       uint32_t *status, GError **error)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	gsize length;
	const char *text = g_bytes_get_data(bytes, &length);
	JsonParser *parser = json_parser_new_immutable();
	GError *parse_error = NULL;
	bool ok = false;

	if (length == 0 || !g_utf8_validate(text, (gssize)length, NULL))
		set_call_error(status, SOUP_STATUS_BAD_REQUEST, error,
			       "body: JSON in UTF-8 is needed");
	else if (!rr_check_json_nesting(text, length, MAX_NESTING,
					&parse_error))
		set_call_error(status, SOUP_STATUS_BAD_REQUEST, error,
			       "body: %s", parse_error->message);
	else if (!json_parser_load_from_data(parser, text, (gssize)length,
					     &parse_error))
		set_call_error(status, SOUP_STATUS_BAD_REQUEST, error,
			       "body: not JSON: %s", parse_error->message);
	else if (!parse_object(json_parser_get_root(parser), call,
			       &parse_error))
		set_call_error(status, SOUP_STATUS_BAD_REQUEST, error, "%s",
			       parse_error->message);
	else if (call->body && strlen(call->body) > MAX_QUERY_BYTES)
		set_call_error(status, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
			       error, "query: over %u bytes as written out",
			       MAX_QUERY_BYTES);
	else
		ok = true;
	g_clear_error(&parse_error);
	g_object_unref(parser);
	g_bytes_unref(bytes);
	return ok;
}

static bool parse_list(GHashTable *query, struct rr_call_request *call,
		       uint32_t *status, GError **error)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if (!query)
		return true;
	g_hash_table_iter_init(&iter, query);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (!strcmp(name, "cursor")) {
			call->cursor = g_strdup(value);
		} else if (!strcmp(name, "max_rows")) {
			if (!parse_u32("max_rows", value, MAX_ROWS_LIMIT,
				       &call->request.max_rows, status, error))
				return false;
		} else {
			return set_call_error(
				status, SOUP_STATUS_BAD_REQUEST, error,
				"%s: unknown; max_rows and cursor are "
				"allowed",
				(const char *)name);
		}
	}
	return true;
}

bool rr_parse_call(struct rr_context *ctx, SoupServerMessage *message,
		   const char *path, GHashTable *query,
		   struct rr_call_request *call, uint32_t *status,
		   GError **error)
{
	const struct action *action;
	bool ok;

	memset(call, 0, sizeof(*call));
	action = find_action(path, &call->service);
	if (!action)
		return set_call_error(
			status, SOUP_STATUS_NOT_FOUND, error,
			"no such path; "
			"/v1/services/SERVICE/search, lookup, reserve "
			"and list, /healthz, /readyz, /metrics and "
			"/status are served");
	if (strcmp(soup_server_message_get_method(message), action->method) !=
	    0)
		return set_call_error(status, SOUP_STATUS_METHOD_NOT_ALLOWED,
				      error, "%s is needed", action->method);
	call->request.kind = action->kind;
	if (!parse_headers(ctx,
			   soup_server_message_get_request_headers(message),
			   call, status, error))
		return false;
	if (action->kind == RR_LIST)
		ok = parse_list(query, call, status, error);
	else
		ok = parse_body(message, call, status, error);
	call->request.request_id = call->request_id;
	call->request.service = call->service;
	call->request.body = call->body ? call->body : "null";
	call->request.idempotency_key = call->idempotency_key;
	call->request.cursor = call->cursor;
	return ok;
}

void rr_clear_call(struct rr_call_request *call)
{
	g_free(call->request_id);
	g_free(call->service);
	g_free(call->body);
	g_free(call->idempotency_key);
	g_free(call->cursor);
}
