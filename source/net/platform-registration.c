/*
 * platform-registration.c - registration of this instance in the platform's
 * list: a lease, the key attached to it, and its renewal.
 */
#include "net/platform-private.h"
#include "ragwort/log.h"

/* Renewals per lease period, so that two may be lost. */
#define RENEWALS_PER_LEASE 3

static gboolean continue_registration(gpointer data);

static void schedule_registration(struct rr_platform_client *client,
				  uint32_t delay_ms)
{
	client->registration_timer =
		g_timeout_add(delay_ms, continue_registration, client);
}

/*
 * Returns the next step: grant a lease, write the entry attached to it, or
 * renew it.
 */
static enum rr_feed_call_kind next_call(const struct rr_platform_client *client)
{
	if (!client->lease)
		return RR_FEED_LEASE_GRANT;
	return client->is_registered ? RR_FEED_LEASE_RENEW :
				       RR_FEED_WRITE_ENTRIES;
}

static void handle_entry_reply(void *data,
			       const struct rr_exchange_result *result)
{
	struct rr_platform_client *client = data;
	enum rr_feed_call_kind kind = next_call(client);
	struct rr_feed_reply reply;

	rr_decode_platform_reply(client, kind, result, &reply);
	if (next_call(client) != kind) {
		/* The lease was of an earlier era of the store. */
		schedule_registration(client, 0);
		return;
	}
	switch (reply.status) {
	case RR_FEED_OK:
		if (kind == RR_FEED_LEASE_GRANT)
			client->lease = reply.lease;
		client->is_registered = kind != RR_FEED_LEASE_GRANT;
		schedule_registration(client,
				      client->is_registered ?
					      client->options.lease_ms /
						      RENEWALS_PER_LEASE :
					      0);
		return;
	case RR_FEED_NO_LEASE:
		rr_log(client->ctx, RR_LOG_INFO, "entry-lapsed",
		       RR_FIELD_U64("lease", client->lease));
		client->lease = 0;
		client->is_registered = false;
		schedule_registration(client, 0);
		return;
	case RR_FEED_COMPACTED:
	case RR_FEED_CONFLICT:
	case RR_FEED_FAILED:
		rr_log_platform_failure(client, "entry-not-renewed", result);
		schedule_registration(client, client->options.retry_ms);
		return;
	}
}

static gboolean continue_registration(gpointer data)
{
	struct rr_platform_client *client = data;
	struct rr_instance self = {
		.id = (char *)client->options.instance,
		.zone = (char *)client->options.zone,
		.address = (char *)client->options.peer_address,
		.strength = 1,
		.started_ms = client->started_ms,
	};
	gpointer entries[] = { &self };
	GPtrArray added = { .pdata = entries, .len = 1 };
	struct rr_feed_call feed_call = {
		.kind = next_call(client),
		.ttl_ms = client->options.lease_ms,
		.lease = client->lease,
		.added = &added,
	};
	struct rr_store_request call;

	client->registration_timer = 0;
	rr_make_feed_request(&call, &feed_call);
	rr_start_platform_call(client, &call, client->options.call_timeout_ms,
			       handle_entry_reply, client);
	return G_SOURCE_REMOVE;
}

void rr_start_platform_registration(struct rr_platform_client *client)
{
	if (client->options.instance)
		schedule_registration(client, 0);
}

void rr_stop_platform_registration(struct rr_platform_client *client)
{
	if (client->registration_timer)
		g_source_remove(client->registration_timer);
}
