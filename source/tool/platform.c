/*
 * platform.c - the tool's calls to the platform's key-value service.
 */
#include "tool/platform.h"

#include <string.h>

#include "platform/platform.h"
#include "ragwort/error.h"
#include "tool/http.h"
#include "tool/tool.h"

static char *explain(bool answered, const struct rr_http_reply *http,
		     const char *address, const GError *error)
{
	if (!answered)
		return g_strdup(error->message);
	return g_strdup_printf("%s answered with status %u", address,
			       http->status);
}

/*
 * Make a call, which is cleared.  False, with *status, if there is no whole
 * reply: it never left, or may have had its effect.
 */
static bool call_platform(const char *address, struct rr_store_call *made,
			  struct rr_http_reply *http,
			  enum rr_store_status *status, char **why)
{
	struct rr_http_call call = {
		.method = made->method,
		.address = address,
		.path = made->path,
		.body = made->body,
		.length = made->body ? strlen(made->body) : 0,
		.timeout_ms = RR_PLATFORM_TIMEOUT_MS,
	};
	GError *error = NULL;
	bool answered = rr_call_http(&call, http, &error);

	*why = explain(answered, http, address, error);
	if (!answered)
		*status = error->code == RR_ERROR_UNAVAILABLE ?
				  RR_STORE_UNAVAILABLE :
				  RR_STORE_UNKNOWN;
	g_clear_error(&error);
	rr_clear_store_call(made);
	return answered;
}

/* What is told of a key; its value goes to *body. */
static void give_reply(struct rr_key_reply *decoded,
		       struct rr_store_reply *reply, char **body)
{
	*body = g_steal_pointer(&decoded->value);
	reply->status = decoded->status;
	reply->revision = decoded->revision;
	reply->value = *body;
	reply->length = decoded->length;
}

void rr_read_platform(const char *address, const char *key,
		      struct rr_store_reply *reply, char **body, char **why)
{
	struct rr_key_reply decoded;
	struct rr_store_call call;
	struct rr_http_reply http;

	*reply = (struct rr_store_reply){ 0 };
	*body = NULL;
	rr_make_key_get(&call, key);
	if (call_platform(address, &call, &http, &reply->status, why)) {
		rr_decode_key_get((uint16_t)http.status, http.body, http.length,
				  &decoded);
		give_reply(&decoded, reply, body);
	}
	rr_clear_http_reply(&http);
}

void rr_swap_platform(const char *address, const char *key, uint64_t revision,
		      const char *value, size_t length,
		      struct rr_store_reply *reply, char **why)
{
	struct rr_key_reply decoded;
	struct rr_store_call call;
	struct rr_http_reply http;
	char *none;

	*reply = (struct rr_store_reply){ 0 };
	rr_make_key_swap(&call, key, revision, value, length);
	if (call_platform(address, &call, &http, &reply->status, why)) {
		rr_decode_key_swap(key, (uint16_t)http.status, http.body,
				   http.length, &decoded);
		give_reply(&decoded, reply, &none);
	}
	rr_clear_http_reply(&http);
}

struct rr_record *rr_read_record(const struct rr_command *command,
				 const char *address, int *code)
{
	struct rr_store_reply reply;
	struct rr_record *record = NULL;
	char **addresses = rr_split_addresses(command, address);
	GError *error = NULL;
	char *body;
	char *why;

	*code = RR_EXIT_USAGE;
	if (!addresses)
		return NULL;
	g_strfreev(addresses);
	rr_read_platform(address, RR_RECORD_KEY, &reply, &body, &why);
	if (reply.status != RR_STORE_OK) {
		rr_tell(command, "the platform's service cannot be read: %s",
			why);
		*code = RR_EXIT_UNREACHABLE;
	} else if (!reply.value) {
		record = rr_new_record();
	} else {
		record = rr_decode_record(reply.value, reply.length, &error);
		if (!record) {
			rr_tell(command,
				"the accepted record in the platform's "
				"service cannot be used: %s",
				error->message);
			*code = RR_EXIT_FAILED;
			g_clear_error(&error);
		}
	}
	if (record)
		*code = RR_EXIT_OK;
	g_free(body);
	g_free(why);
	return record;
}
