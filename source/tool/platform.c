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
static bool call_platform(const char *address, struct rr_store_request *made,
			  struct rr_http_reply *http,
			  enum rr_store_status *status, char **why)
{
	struct rr_http_request call = {
		.method = made->method,
		.address = address,
		.path = made->path,
		.body = made->body,
		.length = made->body ? strlen(made->body) : 0,
		.timeout_ms = RR_PLATFORM_TIMEOUT_MS,
	};
	GError *error = NULL;
	bool answered = rr_send_http_request(&call, http, &error);

	*why = explain(answered, http, address, error);
	if (!answered)
		*status = error->code == RR_ERROR_UNAVAILABLE ?
				  RR_STORE_UNAVAILABLE :
				  RR_STORE_UNKNOWN;
	g_clear_error(&error);
	rr_clear_store_request(made);
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

void rr_get_platform_key(const char *address, const char *key,
			 struct rr_store_reply *reply, char **body, char **why)
{
	struct rr_key_reply decoded;
	struct rr_store_request call;
	struct rr_http_reply http;

	*reply = (struct rr_store_reply){ 0 };
	*body = NULL;
	rr_make_get_request(&call, key);
	if (call_platform(address, &call, &http, &reply->status, why)) {
		rr_decode_get_reply((uint16_t)http.status, http.body,
				    http.length, &decoded);
		give_reply(&decoded, reply, body);
	}
	rr_clear_http_reply(&http);
}

void rr_cas_platform_key(const char *address, const char *key,
			 uint64_t revision, const char *value, size_t length,
			 struct rr_store_reply *reply, char **why)
{
	struct rr_key_reply decoded;
	struct rr_store_request call;
	struct rr_http_reply http;
	char *none;

	*reply = (struct rr_store_reply){ 0 };
	rr_make_cas_request(&call, key, revision, value, length);
	if (call_platform(address, &call, &http, &reply->status, why)) {
		rr_decode_cas_reply(key, (uint16_t)http.status, http.body,
				    http.length, &decoded);
		give_reply(&decoded, reply, &none);
	}
	rr_clear_http_reply(&http);
}

/* Read one page.  False on failure. */
static bool read_page(const char *address, const char *prefix,
		      const char *after_key, struct rr_feed_reply *page,
		      char **why)
{
	enum rr_store_status status;
	struct rr_store_request call;
	struct rr_http_reply http;

	*page = (struct rr_feed_reply){ .status = RR_FEED_FAILED };
	rr_make_range_request(&call, prefix, after_key);
	g_clear_pointer(why, g_free);
	if (call_platform(address, &call, &http, &status, why))
		rr_decode_feed_reply(RR_FEED_RANGE, (uint16_t)http.status,
				     (const uint8_t *)http.body, http.length,
				     page);
	rr_clear_http_reply(&http);
	return page->status == RR_FEED_OK;
}

GPtrArray *rr_read_platform_items(const char *address,
				  enum rr_feed_item_kind kind, char **why)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(rr_free_feed_item);
	const char *after_key = NULL;
	struct rr_feed_reply page;

	do {
		bool good = read_page(address, rr_store_prefix(kind), after_key,
				      &page, why);

		if (good)
			g_ptr_array_extend_and_steal(
				items, g_steal_pointer(&page.items));
		if (page.items)
			g_ptr_array_unref(page.items);
		if (!good) {
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
			       const struct rr_feed_item *item, char **why)
{
	struct rr_quarantine_entry named = { 0 };
	struct rr_feed_call removal = {
		.kind = RR_FEED_REPORT,
		.entry = &named,
		.remove_entry = true,
		.expected_revision = item->revision,
	};
	static char *nobody[] = { NULL };
	enum rr_store_status status;
	struct rr_store_request call;
	struct rr_http_reply http;
	bool removed = false;

	named.crashed = nobody;
	if (!rr_parse_fingerprint(item->id, &named.fingerprint)) {
		*why = g_strdup("its key is no fingerprint");
		return false;
	}
	rr_make_feed_request(&call, &removal);
	if (call_platform(address, &call, &http, &status, why))
		removed = http.status == 200;
	rr_clear_http_reply(&http);
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
	char *why;

	*code = RR_EXIT_USAGE;
	if (!addresses)
		return NULL;
	g_strfreev(addresses);
	rr_get_platform_key(address, RR_CONFIG_RECORD_KEY, &reply, &body, &why);
	if (reply.status != RR_STORE_OK) {
		rr_print_message(command,
				 "the platform's service cannot be read: %s",
				 why);
		*code = RR_EXIT_UNREACHABLE;
	} else if (!reply.value) {
		record = rr_new_config_record();
	} else {
		record = rr_decode_config_record(reply.value, reply.length,
						 &error);
		if (!record) {
			rr_print_message(
				command,
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
