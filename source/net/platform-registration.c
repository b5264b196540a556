/*
 * platform-registration.c - this instance's entry in the platform's list: a lease,
 * the key under it, and its renewal.
 */
#include "net/platform-private.h"
#include "ragwort/log.h"

/* Renewals in a lease: two may be lost. */
#define RENEWALS 3

static gboolean renew_entry(gpointer data);

static void renew_after(struct rr_platform_client *port, uint32_t delay_ms)
{
	port->registration_timer = g_timeout_add(delay_ms, renew_entry, port);
}

/* What is to be done next: a lease, the entry under it, or its renewal. */
static enum rr_feed_call_kind next_call(const struct rr_platform_client *port)
{
	if (!port->lease)
		return RR_FEED_LEASE_GRANT;
	return port->is_registered ? RR_FEED_LEASE_RENEW :
				     RR_FEED_WRITE_ENTRIES;
}

static void take_entry_reply(void *data,
			     const struct rr_exchange_result *result)
{
	struct rr_platform_client *port = data;
	enum rr_feed_call_kind kind = next_call(port);
	struct rr_feed_reply reply;

	rr_decode_platform_reply(kind, result, &reply);
	switch (reply.status) {
	case RR_FEED_OK:
		if (kind == RR_FEED_LEASE_GRANT)
			port->lease = reply.lease;
		port->is_registered = kind != RR_FEED_LEASE_GRANT;
		renew_after(port, port->is_registered ?
					  port->options.lease_ms / RENEWALS :
					  0);
		return;
	case RR_FEED_NO_LEASE:
		rr_log(port->ctx, RR_LOG_INFO, "entry-lapsed",
		       RR_FIELD_U64("lease", port->lease));
		port->lease = 0;
		port->is_registered = false;
		renew_after(port, 0);
		return;
	case RR_FEED_COMPACTED:
	case RR_FEED_CONFLICT:
	case RR_FEED_FAILED:
		rr_log_platform_failure(port, "entry-not-renewed", result);
		renew_after(port, port->options.retry_ms);
		return;
	}
}

static gboolean renew_entry(gpointer data)
{
	struct rr_platform_client *port = data;
	struct rr_instance self = {
		.id = (char *)port->options.instance,
		.zone = (char *)port->options.zone,
		.address = (char *)port->options.peer_address,
		.strength = 1,
		.started_ms = port->started_ms,
	};
	gpointer entries[] = { &self };
	GPtrArray entered = { .pdata = entries, .len = 1 };
	struct rr_feed_call wanted = {
		.kind = next_call(port),
		.ttl_ms = port->options.lease_ms,
		.lease = port->lease,
		.added = &entered,
	};
	struct rr_store_request call;

	port->registration_timer = 0;
	rr_make_feed_request(&call, &wanted);
	rr_start_platform_call(port, &call, port->options.call_timeout_ms,
			       take_entry_reply, port);
	return G_SOURCE_REMOVE;
}

void rr_start_platform_registration(struct rr_platform_client *port)
{
	if (port->options.instance)
		renew_after(port, 0);
}

void rr_stop_platform_registration(struct rr_platform_client *port)
{
	if (port->registration_timer)
		g_source_remove(port->registration_timer);
}
