/*
 * entries.c - Fuzz target: store entries, change feed, registrations and load.
 *
 * Any client of the store may write entries under the keys of replicas,
 * instances, evacuated zones and queries of death.  The input is also passed
 * through the change feed, parsed as a request of one instance to another to
 * write registrations, and parsed as the load that a replica reports.
 *
 * The first byte is the length of the key; the key and its value follow.
 */
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

/* Either a replica with all fields that are used, or a reason. */
static void decode_replica(const char *id, const char *text, size_t length)
{
	struct rr_feed_item *item = g_new0(struct rr_feed_item, 1);
	const char *reason;

	item->replica = rr_decode_endpoint_info(id, text, length, &reason);
	if (!item->replica == !reason)
		abort();
	if (item->replica &&
	    (!*item->replica->service || !*item->replica->zone ||
	     !item->replica->slots || item->replica->started_ms < 0 ||
	     strpbrk(item->replica->id, "\r\n ")))
		abort();
	rr_free_feed_item(item);
}

static void decode_instance(const char *id, const char *text, size_t length)
{
	const char *reason;
	struct rr_instance *instance =
		rr_decode_instance(id, text, length, &reason);

	if (!instance == !reason)
		abort();
	if (instance && (!instance->zone || !instance->address ||
			 !(instance->strength >= 0)))
		abort();
	rr_free_instance(instance);
}

/* Any value is accepted; a key without a zone name is rejected. */
static void validate_evacuation(const char *zone, const char *text,
				size_t length)
{
	const char *reason = rr_validate_evacuation(zone, text, length);

	if (!*zone && !reason)
		abort();
}

/* Either an entry that names crashed replicas, or a reason. */
static void decode_quarantine(const char *id, const char *text, size_t length)
{
	const char *reason;
	struct rr_quarantine_entry *entry =
		rr_decode_quarantine(id, text, length, &reason);

	if (!entry == !reason)
		abort();
	if (entry &&
	    (!entry->crashed[0] || !rr_is_fingerprint_set(&entry->fingerprint)))
		abort();
	rr_free_quarantine_entry(entry);
}

/* Either non-zero slots and pace, or no reported load. */
static void decode_load(const char *text, size_t length)
{
	char *copy = g_strndup(text, length);
	struct rr_gate_load load;
	bool good = rr_decode_load(copy, &load);

	if (good != load.reported ||
	    (good && (!load.slots || !load.pace_percent)))
		abort();
	g_free(copy);
}

/* An entry sent through the change feed is decoded unchanged, for any key. */
static void check_change_feed_round_trip(const char *key, const char *text,
					 size_t length)
{
	struct rr_change_feed_request call = { .after.revision = 1 };
	GArray *items =
		g_array_new(FALSE, FALSE, sizeof(struct rr_feed_change));
	char *value = g_base64_encode((const guchar *)text, length);
	struct rr_feed_change item = { .key = key,
				       .value = value,
				       .revision = 2 };
	struct rr_feed_reply reply = { 0 };
	GString *body;

	g_array_append_val(items, item);
	body = rr_encode_change_feed_reply(&call, items, 2);
	rr_decode_feed_reply(RR_FEED_WATCH, 200, (const uint8_t *)body->str,
			     body->len, &reply);
	if (reply.status != RR_FEED_OK || reply.items->len != 1)
		abort();
	if (g_utf8_validate(key, -1, NULL) &&
	    strcmp(((struct rr_feed_item *)reply.items->pdata[0])->key, key))
		abort();
	g_ptr_array_unref(reply.items);
	g_string_free(body, TRUE);
	g_array_unref(items);
	g_free(value);
}

/* Either registrations that may be written, or a reason. */
static void parse_registration(const char *text, size_t length)
{
	const char *reason;
	struct rr_registration_request *call =
		rr_parse_registration_request(text, length, &reason);

	if (!call == !reason)
		abort();
	if (!call)
		return;
	for (guint i = 0; i < call->added->len; i++) {
		const struct rr_instance *instance =
			g_ptr_array_index(call->added, i);

		if (!*instance->id || !instance->zone || !instance->address)
			abort();
	}
	rr_free_registration_request(call);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	size_t key_length;
	const char *text;
	char *key;

	if (!length || data[0] + (size_t)1 > length)
		return 0;
	key_length = data[0];
	key = g_strndup((const char *)data + 1, key_length);
	text = (const char *)data + 1 + key_length;
	length -= 1 + key_length;
	decode_replica(key, text, length);
	decode_instance(key, text, length);
	validate_evacuation(key, text, length);
	decode_quarantine(key, text, length);
	decode_load(text, length);
	check_change_feed_round_trip(key, text, length);
	parse_registration(text, length);
	g_free(key);
	return 0;
}
