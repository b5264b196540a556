/*
 * platform.c - blocking client of the platform's key-value service.
 */
#include "tool/platform.h"

#include <string.h>

#include "platform/platform.h"
#include "ragwort/error.h"
#include "tool/http.h"
#include "tool/tool.h"

static char *format_failure(bool replied,
			    const struct rr_http_reply *http_reply,
			    const char *address, const GError *error)
{
	if (!replied)
		return g_strdup(error->message);
	return g_strdup_printf("%s replied with status %u", address,
			       http_reply->status);
}

/*
 * Send a request and release its members.  Without a complete reply, return
 * false and set *status: RR_STORE_UNAVAILABLE if it was not sent,
 * RR_STORE_UNKNOWN if it may have taken effect.
 */
static bool call_platform(const char *address,
			  struct rr_store_request *store_request,
			  struct rr_http_reply *http_reply,
			  enum rr_store_status *status, char **reason)
{
	struct rr_http_request request = {
		.method = store_request->method,
		.address = address,
		.path = store_request->path,
		.body = store_request->body,
		.length = store_request->body ? strlen(store_request->body) : 0,
		.timeout_ms = RR_PLATFORM_TIMEOUT_MS,
	};
	GError *error = NULL;
	bool replied = rr_send_http_request(&request, http_reply, &error);

	*reason = format_failure(replied, http_reply, address, error);
	if (!replied)
		*status = error->code == RR_ERROR_UNAVAILABLE ?
				  RR_STORE_UNAVAILABLE :
				  RR_STORE_UNKNOWN;
	g_clear_error(&error);
	rr_clear_store_request(store_request);
	return replied;
}

/* Fill in the reply for a key; *body takes over the value. */
static void fill_store_reply(struct rr_key_reply *decoded,
			     struct rr_store_reply *reply, char **body)
{
	*body = g_steal_pointer(&decoded->value);
	reply->status = decoded->status;
	reply->revision = decoded->revision;
	reply->value = *body;
	reply->length = decoded->length;
}

void rr_get_platform_key(const char *address, const char *key,
			 struct rr_store_reply *reply, char **body,
			 char **reason)
{
	struct rr_key_reply decoded;
	struct rr_store_request request;
	struct rr_http_reply http_reply;

	*reply = (struct rr_store_reply){ 0 };
	*body = NULL;
	rr_make_get_request(&request, key);
	if (call_platform(address, &request, &http_reply, &reply->status,
			  reason)) {
		rr_decode_get_reply((uint16_t)http_reply.status,
				    http_reply.body, http_reply.length,
				    &decoded);
		fill_store_reply(&decoded, reply, body);
	}
	rr_clear_http_reply(&http_reply);
}

void rr_cas_platform_key(const char *address, const char *key,
			 uint64_t revision, const char *value, size_t length,
			 struct rr_store_reply *reply, char **reason)
{
	struct rr_key_reply decoded;
	struct rr_store_request request;
	struct rr_http_reply http_reply;
	char *unused_body;

	*reply = (struct rr_store_reply){ 0 };
	rr_make_cas_request(&request, key, revision, value, length, NULL);
	if (call_platform(address, &request, &http_reply, &reply->status,
			  reason)) {
		rr_decode_cas_reply(key, (uint16_t)http_reply.status,
				    http_reply.body, http_reply.length,
				    &decoded);
		fill_store_reply(&decoded, reply, &unused_body);
	}
	rr_clear_http_reply(&http_reply);
}

/* Read one page of items; false on failure. */
static bool read_page(const char *address, const char *prefix,
		      const char *after_key, struct rr_feed_reply *page,
		      char **reason)
{
	enum rr_store_status status;
	struct rr_store_request request;
	struct rr_http_reply http_reply;

	*page = (struct rr_feed_reply){ .status = RR_FEED_FAILED };
	rr_make_range_request(&request, prefix, after_key);
	g_clear_pointer(reason, g_free);
	if (call_platform(address, &request, &http_reply, &status, reason))
		rr_decode_feed_reply(RR_FEED_RANGE, (uint16_t)http_reply.status,
				     (const uint8_t *)http_reply.body,
				     http_reply.length, page);
	rr_clear_http_reply(&http_reply);
	return page->status == RR_FEED_OK;
}

GPtrArray *rr_read_platform_items(const char *address,
				  enum rr_feed_item_kind kind, char **reason)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(rr_free_feed_item);
	const char *after_key = NULL;
	struct rr_feed_reply page;

	do {
		bool ok = read_page(address, rr_store_prefix(kind), after_key,
				    &page, reason);

		if (ok)
			g_ptr_array_extend_and_steal(
				items, g_steal_pointer(&page.items));
		if (page.items)
			g_ptr_array_unref(page.items);
		if (!ok) {
			g_ptr_array_unref(items);
			return NULL;
		}
		if (items->len)
			after_key = ((struct rr_feed_item *)g_ptr_array_index(
					     items, items->len - 1))
					    ->key;
	} while (page.more && after_key);
	return items;
}

bool rr_remove_quarantine_item(const char *address,
			       const struct rr_feed_item *item, char **reason)
{
	struct rr_quarantine_entry entry = { 0 };
	struct rr_feed_call removal = {
		.kind = RR_FEED_REPORT,
		.entry = &entry,
		.remove_entry = true,
		.expected_revision = item->revision,
	};
	static char *no_replicas[] = { NULL };
	enum rr_store_status status;
	struct rr_store_request request;
	struct rr_http_reply http_reply;
	bool removed = false;

	entry.crashed = no_replicas;
	if (!rr_parse_fingerprint(item->id, &entry.fingerprint)) {
		*reason = g_strdup("its key is not a fingerprint");
		return false;
	}
	rr_make_feed_request(&request, &removal);
	if (call_platform(address, &request, &http_reply, &status, reason))
		removed = http_reply.status == 200;
	rr_clear_http_reply(&http_reply);
	return removed;
}

struct rr_config_record *rr_read_config_record(const struct rr_command *command,
					       const char *address, int *code)
{
	struct rr_store_reply reply;
	struct rr_config_record *record = NULL;
	char **addresses = rr_parse_address_list(command, address);
	GError *error = NULL;
	char *body;
	char *reason;

	*code = RR_EXIT_USAGE;
	if (!addresses)
		return NULL;
	g_strfreev(addresses);
	rr_get_platform_key(address, RR_CONFIG_RECORD_KEY, &reply, &body,
			    &reason);
	if (reply.status != RR_STORE_OK) {
		rr_print_message(
			command,
			"the platform's key-value service cannot be read: %s",
			reason);
		*code = RR_EXIT_UNREACHABLE;
	} else if (!reply.value) {
		record = rr_new_config_record();
	} else {
		record = rr_decode_config_record(reply.value, reply.length,
						 &error);
		if (!record) {
			rr_print_message(
				command,
				"the accepted configuration record in the "
				"platform's key-value service is invalid: %s",
				error->message);
			*code = RR_EXIT_FAILED;
			g_clear_error(&error);
		}
	}
	if (record)
		*code = RR_EXIT_OK;
	g_free(body);
	g_free(reason);
	return record;
}
