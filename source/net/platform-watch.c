/*
 * platform-watch.c - watch of the configuration record, and reading of the
 * instance list.
 */
#include <string.h>

#include "net/platform-private.h"
#include "ragwort/log.h"
#include "ragwort/record.h"

/* How much longer than requested a watch may take before it counts as lost. */
#define WATCH_GRACE_MS 2000

static gboolean watch_record(gpointer data);
static gboolean read_list(gpointer data);

static void schedule_watch(struct rr_platform_client *client, uint32_t delay_ms)
{
	client->watch_timer = g_timeout_add(delay_ms, watch_record, client);
}

static void schedule_list(struct rr_platform_client *client, uint32_t delay_ms)
{
	client->list_timer = g_timeout_add(delay_ms, read_list, client);
}

void rr_decode_platform_reply(struct rr_platform_client *client,
			      enum rr_feed_call_kind kind,
			      const struct rr_exchange_result *result,
			      struct rr_feed_reply *reply)
{
	*reply = (struct rr_feed_reply){ .status = RR_FEED_FAILED };
	if (result->complete)
		rr_decode_feed_reply(kind, (uint16_t)result->status,
				     (const uint8_t *)result->body,
				     result->length, reply);
	reply->era = rr_note_platform_era(client, result);
}

/* Reports the newest value of the record key itself, if there is one. */
static void report_record(struct rr_platform_client *client,
			  const GPtrArray *items)
{
	const struct rr_feed_item *newest = NULL;
	gsize length;
	guchar *value;

	for (guint i = 0; i < items->len; i++) {
		const struct rr_feed_item *item = g_ptr_array_index(items, i);

		if (!strcmp(item->key, RR_CONFIG_RECORD_KEY) && item->value)
			newest = item;
	}
	if (!newest)
		return;
	value = g_base64_decode(newest->value, &length);
	client->options.record_received(client->options.data,
					(const char *)value, length,
					newest->revision);
	g_free(value);
}

static void handle_record_reply(void *data,
				const struct rr_exchange_result *result)
{
	struct rr_platform_client *client = data;
	bool is_watch = client->record_read;
	struct rr_feed_reply reply;

	client->record_exchange = NULL;
	rr_decode_platform_reply(client,
				 is_watch ? RR_FEED_WATCH : RR_FEED_RANGE,
				 result, &reply);
	if (is_watch && !client->record_read) {
		/* The watch was of an earlier era of the store. */
		schedule_watch(client, 0);
	} else if (reply.status == RR_FEED_OK) {
		client->record_read = true;
		client->record_revision = reply.revision;
		report_record(client, reply.items);
		schedule_watch(client, 0);
	} else if (reply.status == RR_FEED_COMPACTED) {
		/* The changes since then have been compacted: read it again. */
		client->record_read = false;
		schedule_watch(client, 0);
	} else {
		rr_log_platform_failure(client, "record-not-read", result);
		schedule_watch(client, client->options.retry_ms);
	}
	if (reply.items)
		g_ptr_array_unref(reply.items);
}

/*
 * The first read returns immediately; later ones wait for changes. Instances
 * that do not watch (others in their zone do, and notify them) check again
 * later whether that has changed.
 */
static gboolean watch_record(gpointer data)
{
	struct rr_platform_client *client = data;
	uint32_t timeout_ms = client->options.call_timeout_ms;
	struct rr_store_request call;

	client->watch_timer = 0;
	if (client->record_read &&
	    !client->options.is_watcher(client->options.data)) {
		schedule_watch(client, client->options.list_period_ms);
		return G_SOURCE_REMOVE;
	}
	if (client->record_read) {
		rr_make_watch_request(&call, RR_CONFIG_RECORD_KEY,
				      client->record_revision,
				      client->options.watch_ms);
		timeout_ms = client->options.watch_ms + WATCH_GRACE_MS;
	} else {
		rr_make_range_request(&call, RR_CONFIG_RECORD_KEY, NULL);
	}
	client->record_exchange = rr_start_platform_call(
		client, &call, timeout_ms, handle_record_reply, client);
	return G_SOURCE_REMOVE;
}

static void report_replica(struct rr_platform_client *client,
			   const struct rr_endpoint_info *replica)
{
	client->options.replica_listed(
		client->options.data, replica->id, replica->started_ms,
		replica->draining ? RR_UPSTREAM_DRAINING : RR_UPSTREAM_READY);
}

static void report_member(struct rr_platform_client *client,
			  const struct rr_instance *instance)
{
	if (instance->zone && instance->address &&
	    g_strcmp0(instance->id, client->options.instance))
		client->options.member_listed(client->options.data,
					      instance->id, instance->zone,
					      instance->address);
}

static void report_list(struct rr_platform_client *client,
			const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		const struct rr_feed_item *item = g_ptr_array_index(items, i);

		if (item->replica)
			report_replica(client, item->replica);
		else if (item->instance)
			report_member(client, item->instance);
		else
			rr_log(client->ctx, RR_LOG_WARNING, "item-unreadable",
			       RR_FIELD_STRING("key", item->key),
			       RR_FIELD_STRING("reason", item->decode_error));
	}
}

/*
 * If 1,200 instances read the whole list every 2 s, that would take 600 of the
 * 2,000 reads per second that the platform allows. So instances that do not
 * watch read it at a longer period with jitter, which spreads the reads of
 * instances started at the same time.
 */
static int64_t next_slow_read_us(struct rr_platform_client *client)
{
	uint64_t period_us =
		(uint64_t)client->options.list_slow_period_ms * 1000;

	return g_get_monotonic_time() +
	       (int64_t)(period_us * 3 / 4 +
			 rr_random_u64(client->ctx) % (period_us / 2));
}

static void read_page(struct rr_platform_client *client,
		      enum rr_feed_item_kind kind, const char *after_key);

/* Reads the pages of the instances first, then those of the replicas. */
static void handle_page(struct rr_platform_client *client,
			enum rr_feed_item_kind kind,
			const struct rr_exchange_result *result)
{
	struct rr_feed_reply reply;
	bool ok;

	rr_decode_platform_reply(client, RR_FEED_RANGE, result, &reply);
	ok = reply.status == RR_FEED_OK;
	if (!ok)
		rr_log_platform_failure(client, "instance-list-not-read",
					result);
	else
		report_list(client, reply.items);
	if (ok && reply.more && reply.items->len) {
		const struct rr_feed_item *last =
			g_ptr_array_index(reply.items, reply.items->len - 1);

		read_page(client, kind, last->key);
	} else if (ok && kind == RR_FEED_INSTANCE) {
		read_page(client, RR_FEED_REPLICA, NULL);
	} else {
		client->slow_list_due_us = next_slow_read_us(client);
		schedule_list(client, client->options.list_period_ms);
	}
	if (reply.items)
		g_ptr_array_unref(reply.items);
}

static void handle_replica_page(void *data,
				const struct rr_exchange_result *result)
{
	handle_page(data, RR_FEED_REPLICA, result);
}

static void handle_instance_page(void *data,
				 const struct rr_exchange_result *result)
{
	handle_page(data, RR_FEED_INSTANCE, result);
}

static void read_page(struct rr_platform_client *client,
		      enum rr_feed_item_kind kind, const char *after_key)
{
	struct rr_store_request call;

	rr_make_range_request(&call, rr_store_prefix(kind), after_key);
	rr_start_platform_call(client, &call, client->options.call_timeout_ms,
			       kind == RR_FEED_REPLICA ? handle_replica_page :
							 handle_instance_page,
			       client);
}

/*
 * Whether this instance watches is checked in each period, so that an instance
 * whose watcher has failed, or that no longer reaches any member, reads the
 * list again within one period.
 */
static gboolean read_list(gpointer data)
{
	struct rr_platform_client *client = data;

	client->list_timer = 0;
	if (g_get_monotonic_time() < client->slow_list_due_us &&
	    !client->options.is_watcher(client->options.data)) {
		schedule_list(client, client->options.list_period_ms);
		return G_SOURCE_REMOVE;
	}
	read_page(client, RR_FEED_INSTANCE, NULL);
	return G_SOURCE_REMOVE;
}

void rr_start_platform_watch(struct rr_platform_client *client)
{
	schedule_watch(client, 0);
	schedule_list(client, 0);
}

void rr_stop_platform_watch(struct rr_platform_client *client)
{
	if (client->watch_timer)
		g_source_remove(client->watch_timer);
	if (client->list_timer)
		g_source_remove(client->list_timer);
}
