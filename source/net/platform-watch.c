/*
 * platform-watch.c - the configuration record's watch and the list of
 * instances.
 */
#include <string.h>

#include "net/platform-private.h"
#include "ragwort/log.h"
#include "ragwort/record.h"

/* A watch may wait a little longer than asked before it counts as lost. */
#define WATCH_GRACE_MS 2000

static gboolean watch_record(gpointer data);
static gboolean read_list(gpointer data);

static void watch_after(struct rr_platform_client *port, uint32_t delay_ms)
{
	port->watch_timer = g_timeout_add(delay_ms, watch_record, port);
}

static void list_after(struct rr_platform_client *port, uint32_t delay_ms)
{
	port->list_timer = g_timeout_add(delay_ms, read_list, port);
}

void rr_decode_platform_reply(enum rr_feed_call_kind kind,
			      const struct rr_exchange_result *result,
			      struct rr_feed_reply *reply)
{
	*reply = (struct rr_feed_reply){ .status = RR_FEED_FAILED };
	if (result->complete)
		rr_decode_feed_reply(kind, (uint16_t)result->status,
				     (const uint8_t *)result->body,
				     result->length, reply);
}

/* The newest value of the record's own key, if there is news of it. */
static void tell_record(struct rr_platform_client *port, const GPtrArray *items)
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
	port->options.record_received(port->options.data, (const char *)value,
				      length);
	g_free(value);
}

static void take_record(void *data, const struct rr_exchange_result *result)
{
	struct rr_platform_client *port = data;
	struct rr_feed_reply reply;

	rr_decode_platform_reply(port->record_read ? RR_FEED_WATCH :
						     RR_FEED_RANGE,
				 result, &reply);
	if (reply.status == RR_FEED_OK) {
		port->record_read = true;
		port->record_revision = reply.revision;
		tell_record(port, reply.items);
		watch_after(port, 0);
	} else if (reply.status == RR_FEED_COMPACTED) {
		/* What has changed is no longer told: it is read anew. */
		port->record_read = false;
		watch_after(port, 0);
	} else {
		rr_log_platform_failure(port, "record-not-read", result);
		watch_after(port, port->options.retry_ms);
	}
	if (reply.items)
		g_ptr_array_unref(reply.items);
}

/*
 * The first read is plain; later ones wait for changes.  Instances that do
 * not watch (others of their zone do, and tell them) look again later whether
 * that has changed.
 */
static gboolean watch_record(gpointer data)
{
	struct rr_platform_client *port = data;
	uint32_t timeout_ms = port->options.call_timeout_ms;
	struct rr_store_request call;

	port->watch_timer = 0;
	if (port->record_read &&
	    !port->options.is_watcher(port->options.data)) {
		watch_after(port, port->options.list_period_ms);
		return G_SOURCE_REMOVE;
	}
	if (port->record_read) {
		rr_make_watch_request(&call, RR_CONFIG_RECORD_KEY,
				      port->record_revision,
				      port->options.watch_ms);
		timeout_ms = port->options.watch_ms + WATCH_GRACE_MS;
	} else {
		rr_make_range_request(&call, RR_CONFIG_RECORD_KEY, NULL);
	}
	rr_start_platform_call(port, &call, timeout_ms, take_record, port);
	return G_SOURCE_REMOVE;
}

static void tell_replica(struct rr_platform_client *port,
			 const struct rr_endpoint_info *replica)
{
	port->options.replica_listed(
		port->options.data, replica->id, replica->started_ms,
		replica->draining ? RR_UPSTREAM_DRAINING : RR_UPSTREAM_READY);
}

static void tell_member(struct rr_platform_client *port,
			const struct rr_instance *instance)
{
	if (instance->zone && instance->address &&
	    g_strcmp0(instance->id, port->options.instance))
		port->options.member_listed(port->options.data, instance->id,
					    instance->zone, instance->address);
}

static void tell_list(struct rr_platform_client *port, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		const struct rr_feed_item *item = g_ptr_array_index(items, i);

		if (item->replica)
			tell_replica(port, item->replica);
		else if (item->instance)
			tell_member(port, item->instance);
		else
			rr_log(port->ctx, RR_LOG_WARNING, "item-unreadable",
			       RR_FIELD_STRING("key", item->key),
			       RR_FIELD_STRING("reason", item->decode_error));
	}
}

/*
 * Read the whole list every 2 s by 1,200 instances, 600 of the platform's
 * 2,000 reads a second would go for it.  So those that do not watch read it
 * seldom, and spread: started together, they do not come together.
 */
static int64_t next_seldom_read_us(struct rr_platform_client *port)
{
	uint64_t period_us = (uint64_t)port->options.list_slow_period_ms * 1000;

	return g_get_monotonic_time() +
	       (int64_t)(period_us * 3 / 4 +
			 rr_random_u64(port->ctx) % (period_us / 2));
}

static void read_page(struct rr_platform_client *port,
		      enum rr_feed_item_kind kind, const char *after_key);

/* The pages of the instances come first, then those of the replicas. */
static void take_page(struct rr_platform_client *port,
		      enum rr_feed_item_kind kind,
		      const struct rr_exchange_result *result)
{
	struct rr_feed_reply reply;
	bool good;

	rr_decode_platform_reply(RR_FEED_RANGE, result, &reply);
	good = reply.status == RR_FEED_OK;
	if (!good)
		rr_log_platform_failure(port, "instance-list-not-read", result);
	else
		tell_list(port, reply.items);
	if (good && reply.more && reply.items->len) {
		const struct rr_feed_item *last =
			g_ptr_array_index(reply.items, reply.items->len - 1);

		read_page(port, kind, last->key);
	} else if (good && kind == RR_FEED_INSTANCE) {
		read_page(port, RR_FEED_REPLICA, NULL);
	} else {
		port->slow_list_due_us = next_seldom_read_us(port);
		list_after(port, port->options.list_period_ms);
	}
	if (reply.items)
		g_ptr_array_unref(reply.items);
}

static void take_replicas(void *data, const struct rr_exchange_result *result)
{
	take_page(data, RR_FEED_REPLICA, result);
}

static void take_members(void *data, const struct rr_exchange_result *result)
{
	take_page(data, RR_FEED_INSTANCE, result);
}

static void read_page(struct rr_platform_client *port,
		      enum rr_feed_item_kind kind, const char *after_key)
{
	struct rr_store_request call;

	rr_make_range_request(&call, rr_store_prefix(kind), after_key);
	rr_start_platform_call(
		port, &call, port->options.call_timeout_ms,
		kind == RR_FEED_REPLICA ? take_replicas : take_members, port);
}

/*
 * The look at whether this instance watches is made at each period, so that
 * one whose watcher has gone, or that lost sight of all members, reads on
 * within a period.
 */
static gboolean read_list(gpointer data)
{
	struct rr_platform_client *port = data;

	port->list_timer = 0;
	if (g_get_monotonic_time() < port->slow_list_due_us &&
	    !port->options.is_watcher(port->options.data)) {
		list_after(port, port->options.list_period_ms);
		return G_SOURCE_REMOVE;
	}
	read_page(port, RR_FEED_INSTANCE, NULL);
	return G_SOURCE_REMOVE;
}

void rr_start_platform_watch(struct rr_platform_client *port)
{
	watch_after(port, 0);
	list_after(port, 0);
}

void rr_stop_platform_watch(struct rr_platform_client *port)
{
	if (port->watch_timer)
		g_source_remove(port->watch_timer);
	if (port->list_timer)
		g_source_remove(port->list_timer);
}
