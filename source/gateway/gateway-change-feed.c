/*
 * gateway-change-feed.c - store changes for other instances.
 *
 * A peer's request waits here until there is a change or its time is up.
 */
#include "gateway/gateway-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

static void send_rejection(const struct rr_gateway *gateway,
			   struct rr_caller_conn *caller, uint16_t status)
{
	struct rr_http_header isolated_header = { ISOLATED_HEADER, "1" };
	struct rr_http_response answer = {
		.status = status,
		.headers = &isolated_header,
		.n_headers = rr_gate_is_isolated(gateway->gate) ? 1 : 0,
	};

	rr_send_http_response(caller, &answer);
}

/* Send a status or, with 200, a body, with the era that it is valid in. */
static void send_with_era(struct rr_gateway *gateway,
			  struct rr_caller_conn *caller, uint16_t status,
			  const GString *body)
{
	char era[G_ASCII_DTOSTR_BUF_SIZE];
	char age_ms[G_ASCII_DTOSTR_BUF_SIZE];
	struct rr_http_header headers[] = {
		{ CHANGES_AGE_HEADER, age_ms },
		{ rr_platform_names()->store_era, era },
	};
	struct rr_http_response answer = { .status = status,
					   .headers = headers };

	answer.n_headers = rr_feed_cursor(gateway->feed).era ? 2 : 1;
	g_snprintf(era, sizeof(era), "%" G_GUINT64_FORMAT,
		   rr_feed_cursor(gateway->feed).era);
	g_snprintf(age_ms, sizeof(age_ms), "%" G_GINT64_FORMAT,
		   rr_feed_age_us(gateway->feed, rr_gateway_now_us()) / 1000 +
			   1);
	if (body) {
		answer.body = (const uint8_t *)body->str;
		answer.length = body->len;
	}
	rr_send_http_response(caller, &answer);
}

static void send_changes(struct rr_gateway *gateway,
			 struct rr_caller_conn *caller,
			 const struct rr_change_feed_request *request)
{
	struct rr_store_cursor upto;
	GArray *changes = rr_feed_changes(gateway->feed, request->after, &upto);
	GString *body;

	if (!changes) {
		send_with_era(gateway, caller, rr_compacted_status(), NULL);
		return;
	}
	body = rr_encode_change_feed_reply(request, changes, upto.revision);
	rr_count(gateway->ctx, RR_N_FEED_REPLIES_SERVED, 1);
	send_with_era(gateway, caller, 200, body);
	g_string_free(body, TRUE);
	g_array_unref(changes);
}

/*
 * Answer a request; return false if it has to wait. A request for a snapshot
 * never waits. A request for changes waits until there are changes or it times
 * out. If this instance cannot serve changes, the request waits during the
 * grace period, even past its timeout, since this instance may be about to
 * follow the store again; otherwise it is rejected, so that the peer asks
 * another instance.
 */
static bool try_answer(struct rr_gateway *gateway,
		       struct rr_caller_conn *caller,
		       const struct rr_change_feed_request *request,
		       bool timed_out)
{
	if (request->wants_snapshot) {
		if (rr_feed_can_serve_items(gateway->feed))
			send_changes(gateway, caller, request);
		else
			send_rejection(gateway, caller, 503);
		return true;
	}
	if (!rr_feed_can_serve_changes(gateway->feed)) {
		if (rr_feed_is_in_serve_grace(gateway->feed,
					      rr_gateway_now_us()))
			return false;
		send_rejection(gateway, caller, 503);
		return true;
	}
	/* The peer has learnt of a restore of the store first. */
	if (request->after.era > rr_feed_cursor(gateway->feed).era) {
		send_rejection(gateway, caller, 503);
		return true;
	}
	if (!timed_out &&
	    !rr_feed_has_changes_after(gateway->feed, request->after))
		return false;
	send_changes(gateway, caller, request);
	return true;
}

void rr_handle_change_feed_request(struct rr_gateway *gateway,
				   struct rr_caller_conn *caller,
				   const struct rr_change_feed_request *request)
{
	struct watching_peer waiting = {
		.caller = caller,
		.request = *request,
		.deadline_us =
			rr_gateway_now_us() + (int64_t)request->wait_ms * 1000,
	};

	if (!try_answer(gateway, caller, request, false))
		g_array_append_val(gateway->watching_peers, waiting);
}

/*
 * Apply a registration request.  False if any of it was rejected; the peer
 * then asks another instance.
 */
static bool apply_registration(struct rr_gateway *gateway,
			       const struct rr_registration_request *request)
{
	int64_t now_us = rr_gateway_now_us();

	for (guint i = 0; i < request->removed->len; i++)
		rr_feed_deregister_instance(
			gateway->feed, now_us,
			g_ptr_array_index(request->removed, i));
	for (guint i = 0; i < request->added->len; i++) {
		if (!rr_feed_register_instance(
			    gateway->ctx, gateway->feed, now_us,
			    g_ptr_array_index(request->added, i)))
			return false;
	}
	return true;
}

void rr_handle_registration_request(struct rr_gateway *gateway,
				    struct rr_caller_conn *caller,
				    const struct rr_http_message *message)
{
	const char *body = rr_registration_accepted_body();
	struct rr_http_response accepted = { .status = 200,
					     .body = (const uint8_t *)body,
					     .length = strlen(body) };
	const char *reason;
	struct rr_registration_request *request = rr_parse_registration_request(
		(const char *)message->body, message->body_length, &reason);

	if (!request) {
		rr_count(gateway->ctx, RR_N_PEER_MESSAGES_BAD, 1);
		rr_log(gateway->ctx, RR_LOG_WARNING, "entry-call-refused",
		       RR_FIELD_STRING("reason", reason));
		send_rejection(gateway, caller, 400);
		return;
	}
	if (apply_registration(gateway, request))
		rr_send_http_response(caller, &accepted);
	else
		send_rejection(gateway, caller, 503);
	rr_free_registration_request(request);
}

void rr_answer_watching_peers(struct rr_gateway *gateway, int64_t now_us)
{
	guint i = 0;

	while (i < gateway->watching_peers->len) {
		struct watching_peer waiting = g_array_index(
			gateway->watching_peers, struct watching_peer, i);

		if (try_answer(gateway, waiting.caller, &waiting.request,
			       waiting.deadline_us <= now_us))
			g_array_remove_index_fast(gateway->watching_peers, i);
		else
			i++;
	}
}

void rr_reject_watching_peers(struct rr_gateway *gateway)
{
	while (gateway->watching_peers->len) {
		struct watching_peer waiting = g_array_index(
			gateway->watching_peers, struct watching_peer, 0);

		g_array_remove_index_fast(gateway->watching_peers, 0);
		send_rejection(gateway, waiting.caller, 503);
	}
}

int64_t rr_watching_peers_wake_us(const struct rr_gateway *gateway)
{
	int64_t wake_us = INT64_MAX;

	for (guint i = 0; i < gateway->watching_peers->len; i++)
		wake_us = MIN(wake_us, g_array_index(gateway->watching_peers,
						     struct watching_peer, i)
					       .deadline_us);
	if (!gateway->watching_peers->len)
		return wake_us;
	if (!rr_feed_can_serve_changes(gateway->feed))
		return rr_feed_serve_grace_end_us(gateway->feed);
	return MIN(wake_us, rr_feed_serve_end_us(gateway->feed));
}

void rr_handle_peer_disconnect(void *data, struct rr_caller_conn *caller)
{
	struct rr_gateway *gateway = data;

	if (rr_drop_allowance_caller(gateway, caller))
		return;
	for (guint i = 0; i < gateway->watching_peers->len; i++) {
		if (g_array_index(gateway->watching_peers, struct watching_peer,
				  i)
			    .caller != caller)
			continue;
		g_array_remove_index_fast(gateway->watching_peers, i);
		return;
	}
	rr_handle_caller_disconnect(data, caller);
}
