/*
 * upstream-reply.c - conversion of HTTP results to replies; decides which
 * results prove that an attempt was not run.
 */
#include "net/upstream-private.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json-private.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"

/* A health reply is one object; unknown members may hold others. */
#define MAX_HEALTH_DEPTH 64

/* Returns the number in a header, 0 if it is absent or malformed. */
static uint64_t header_u64(SoupMessageHeaders *headers, const char *name)
{
	const char *text = soup_message_headers_get_one(headers, name);
	guint64 value;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &value, NULL))
		return 0;
	return value;
}

struct rejection {
	const char *name;
	enum rr_reply_status status;
	enum rr_upstream_state state;
};

/* Values of X-Not-Run. */
static const struct rejection rejections[] = {
	{ "shed", RR_REPLY_SHED, RR_UPSTREAM_UNKNOWN },
	{ "draining", RR_REPLY_DRAINING, RR_UPSTREAM_DRAINING },
	{ "no-version", RR_REPLY_NO_VERSION, RR_UPSTREAM_UNKNOWN },
	{ "refused", RR_REPLY_REFUSED, RR_UPSTREAM_UNKNOWN },
};

/*
 * Returns whether the result proves that the attempt was not run: only a 503 or
 * 409 with a known X-Not-Run value does.
 */
static bool read_rejection(const struct rr_exchange_result *result,
			   struct rr_reply *reply)
{
	const char *name;

	if (result->status != 503 && result->status != 409)
		return false;
	name = soup_message_headers_get_one(result->headers, "X-Not-Run");
	for (size_t i = 0; name && i < G_N_ELEMENTS(rejections); i++) {
		if (strcmp(name, rejections[i].name))
			continue;
		reply->status = rejections[i].status;
		reply->state = rejections[i].state;
		reply->retry_after_ms = (uint32_t)MIN(
			header_u64(result->headers, "X-Retry-After-Ms"),
			G_MAXUINT32);
		reply->oldest_version =
			header_u64(result->headers, "X-Oldest-Version");
		reply->newest_version =
			header_u64(result->headers, "X-Newest-Version");
		return true;
	}
	return false;
}

static void count_bad_reply(struct rr_context *ctx, const char *what)
{
	rr_count(ctx, RR_N_BAD_REPLIES, 1);
	rr_log(ctx, RR_LOG_WARNING, "bad-reply", RR_FIELD_STRING("what", what));
}

void rr_decode_upstream_result(struct rr_context *ctx,
			       const struct rr_exchange_result *result,
			       struct rr_reply *reply,
			       struct rr_upstream_body **body)
{
	GError *error = NULL;

	*body = NULL;
	*reply = (struct rr_reply){ .status = RR_REPLY_LOST, .load = -1 };
	if (result->never_sent) {
		reply->status = RR_REPLY_REFUSED;
		reply->state = RR_UPSTREAM_DOWN;
		return;
	}
	if (result->status && read_rejection(result, reply))
		return;
	if (result->status != SOUP_STATUS_OK) {
		if (result->status)
			count_bad_reply(ctx, "status");
		return;
	}
	/*
	 * The upstream ran the attempt, even if the body is unusable, because a
	 * lost connection or a full disk truncated it. Without the end mark the
	 * core uses none of its rows and reports the shard as "truncated".
	 */
	reply->status = RR_REPLY_OK;
	if (result->complete)
		*body = rr_decode_upstream_body(result->body, result->length,
						&error);
	if (!*body) {
		rr_log(ctx, RR_LOG_WARNING, "bad-body",
		       RR_FIELD_STRING("what",
				       error ? error->message : result->error));
		g_clear_error(&error);
		return;
	}
	*reply = *rr_get_upstream_reply(*body);
}

static const char *const state_names[] = {
	[RR_UPSTREAM_READY] = "ready",
	[RR_UPSTREAM_COLD] = "cold",
	[RR_UPSTREAM_DRAINING] = "draining",
};

static bool is_number(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_VALUE(node) &&
	       (json_node_get_value_type(node) == G_TYPE_INT64 ||
		json_node_get_value_type(node) == G_TYPE_DOUBLE);
}

static uint64_t member_u64(JsonObject *object, const char *name)
{
	gint64 value = 0;

	if (is_number(object, name))
		value = json_object_get_int_member(object, name);
	return value > 0 ? (uint64_t)value : 0;
}

static enum rr_upstream_state member_state(JsonObject *object)
{
	JsonNode *node = json_object_get_member(object, "state");
	const char *name = NULL;

	if (node && JSON_NODE_HOLDS_VALUE(node))
		name = json_node_get_string(node);
	for (size_t i = 0; name && i < G_N_ELEMENTS(state_names); i++) {
		if (state_names[i] && !strcmp(name, state_names[i]))
			return (enum rr_upstream_state)i;
	}
	return RR_UPSTREAM_UNKNOWN;
}

void rr_decode_health_result(struct rr_context *ctx,
			     const struct rr_exchange_result *result,
			     struct rr_health *health)
{
	JsonParser *parser;
	JsonNode *root;

	health->state = RR_UPSTREAM_DOWN;
	if (!result->complete || result->status != SOUP_STATUS_OK)
		return;
	health->reachable = true;
	health->state = RR_UPSTREAM_UNKNOWN;
	parser = json_parser_new_immutable();
	if (rr_check_json_nesting(result->body, result->length,
				  MAX_HEALTH_DEPTH, NULL) &&
	    json_parser_load_from_data(parser, result->body,
				       (gssize)result->length, NULL) &&
	    (root = json_parser_get_root(parser)) &&
	    JSON_NODE_HOLDS_OBJECT(root)) {
		JsonObject *object = json_node_get_object(root);

		health->state = member_state(object);
		if (is_number(object, "load"))
			health->load =
				json_object_get_double_member(object, "load");
		health->oldest_version = member_u64(object, "oldest");
		health->newest_version = member_u64(object, "newest");
		health->map_epoch = member_u64(object, "epoch");
	} else {
		count_bad_reply(ctx, "health is not a JSON object");
	}
	g_object_unref(parser);
}
