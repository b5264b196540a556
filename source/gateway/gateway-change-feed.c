/*
 * gateway-change-feed.c - the store's news for other instances: those who ask wait
 * here until there is something to tell.
 */
#include "gateway/gateway-private.h"

#include <string.h>

#include "ragwort/counters.h"
#include "ragwort/log.h"

static void refuse(const struct rr_gateway *gateway,
		   struct rr_caller_conn *caller, uint16_t status)
{
	struct rr_http_header cut_off = { ISOLATED_HEADER, "1" };
	struct rr_http_response answer = {
		.status = status,
		.headers = &cut_off,
		.n_headers = rr_gate_is_isolated(gateway->gate) ? 1 : 0,
	};

	rr_send_http_response(caller, &answer);
}

static void tell(struct rr_gateway *gateway, struct rr_caller_conn *caller,
		 const struct rr_change_feed_request *call)
{
	uint64_t revision;
	GArray *items =
		rr_feed_changes(gateway->feed, call->after_revision, &revision);
	struct rr_http_response answer = { .status = 200 };
	GString *body;

	if (!items) {
		refuse(gateway, caller, rr_compacted_status());
		return;
	}
	body = rr_encode_change_feed_reply(call, items, revision);
	answer.body = (const uint8_t *)body->str;
	answer.length = body->len;
	rr_count(gateway->ctx, RR_N_FEED_REPLIES_SERVED, 1);
	rr_send_http_response(caller, &answer);
	g_string_free(body, TRUE);
	g_array_unref(items);
}

/*
 * Whether an answer can be given now.  One that cannot be, since this
 * instance does not hear the store, is refused, so that whoever asks turns to
 * another; at once, unless it is about to hear the store again.
 */
static bool answer_now(struct rr_gateway *gateway,
		       struct rr_caller_conn *caller,
		       const struct rr_change_feed_request *call, bool is_late)
{
	if (call->wants_snapshot) {
		if (rr_feed_has_synced(gateway->feed))
			tell(gateway, caller, call);
		else
			refuse(gateway, caller, 503);
		return true;
	}
	if (!rr_feed_can_serve_changes(gateway->feed)) {
		if (rr_feed_is_in_serve_grace(gateway->feed,
					      rr_gateway_now_us()))
			return false;
		refuse(gateway, caller, 503);
		return true;
	}
	if (!is_late && rr_feed_revision(gateway->feed) <= call->after_revision)
		return false;
	tell(gateway, caller, call);
	return true;
}

void rr_handle_change_feed_request(struct rr_gateway *gateway,
				   struct rr_caller_conn *caller,
				   const struct rr_change_feed_request *call)
{
	struct watching_peer asker = {
		.caller = caller,
		.request = *call,
		.deadline_us =
			rr_gateway_now_us() + (int64_t)call->wait_ms * 1000,
	};

	if (!answer_now(gateway, caller, call, false))
		g_array_append_val(gateway->watching_peers, asker);
}

/* Whether all of a call was taken; else whoever asks turns to another. */
static bool take_entries(struct rr_gateway *gateway,
			 const struct rr_registration_request *call)
{
	int64_t now_us = rr_gateway_now_us();

	for (guint i = 0; i < call->removed->len; i++)
		rr_feed_deregister_instance(
			gateway->feed, now_us,
			g_ptr_array_index(call->removed, i));
	for (guint i = 0; i < call->added->len; i++) {
		if (!rr_feed_register_instance(
			    gateway->ctx, gateway->feed, now_us,
			    g_ptr_array_index(call->added, i)))
			return false;
	}
	return true;
}

void rr_handle_registration_request(struct rr_gateway *gateway,
				    struct rr_caller_conn *caller,
				    const struct rr_http_message *message)
{
	const char *body = rr_registration_accepted_body();
	struct rr_http_response taken = { .status = 200,
					  .body = (const uint8_t *)body,
					  .length = strlen(body) };
	const char *fault;
	struct rr_registration_request *call = rr_parse_registration_request(
		(const char *)message->body, message->body_length, &fault);

	if (!call) {
		rr_count(gateway->ctx, RR_N_PEER_MESSAGES_BAD, 1);
		rr_log(gateway->ctx, RR_LOG_WARNING, "entry-call-refused",
		       RR_FIELD_STRING("reason", fault));
		refuse(gateway, caller, 400);
		return;
	}
	if (take_entries(gateway, call))
		rr_send_http_response(caller, &taken);
	else
		refuse(gateway, caller, 503);
	rr_free_registration_request(call);
}

void rr_answer_watching_peers(struct rr_gateway *gateway, int64_t now_us)
{
	guint i = 0;

	while (i < gateway->watching_peers->len) {
		struct watching_peer asker = g_array_index(
			gateway->watching_peers, struct watching_peer, i);

		if (answer_now(gateway, asker.caller, &asker.request,
			       asker.deadline_us <= now_us))
			g_array_remove_index_fast(gateway->watching_peers, i);
		else
			i++;
	}
}

void rr_reject_watching_peers(struct rr_gateway *gateway)
{
	while (gateway->watching_peers->len) {
		struct watching_peer asker = g_array_index(
			gateway->watching_peers, struct watching_peer, 0);

		g_array_remove_index_fast(gateway->watching_peers, 0);
		refuse(gateway, asker.caller, 503);
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
	return wake_us;
}

void rr_handle_peer_disconnect(void *data, struct rr_caller_conn *caller)
{
	struct rr_gateway *gateway = data;

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
