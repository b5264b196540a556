/*
 * gateway-allowance.c - calls between instances for accounts' allowances.
 *
 * Each is an HTTP request to the address for other instances, with the text of
 * wire-allowance.c as its body.
 */
#include "gateway/gateway-private.h"

#include <string.h>

#include "ragwort/counters.h"

#define ALLOWANCE_PATH "/allowance"
#define MAX_IDLE_CONNS 1

void rr_call_allowance(void *data, uint64_t id, const char *address,
		       uint32_t timeout_ms,
		       const struct rr_allowance_call *call)
{
	struct rr_gateway *gateway = data;
	GString *body = rr_encode_allowance_call(call);
	GString *head = g_string_new(NULL);
	struct rr_raw_request request = { 0 };
	struct rr_gate_attempt_info info = {
		.attempt = id,
		.incarnation = address,
		.address = address,
		.deadline_ms = timeout_ms,
		.max_idle_connections = MAX_IDLE_CONNS,
	};

	g_string_append_printf(head,
			       "POST " ALLOWANCE_PATH " HTTP/1.1\r\n"
			       "Host: %s\r\n"
			       "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
			       address, body->len);
	request.head = head->str;
	request.head_length = head->len;
	request.body = (const uint8_t *)body->str;
	request.body_length = body->len;
	rr_send_to_replica(gateway->allowance_client, rr_gateway_now_us(),
			   &info, &request);
	g_string_free(head, TRUE);
	g_string_free(body, TRUE);
}

void rr_handle_allowance_reply(void *data, const struct rr_gate_reply *reply)
{
	struct rr_gateway *gateway = data;
	struct rr_allowance_reply decoded = {
		.status = RR_ALLOWANCE_NO_REPLY,
	};

	/* The allowances have a timer for each call. */
	if (reply->outcome == RR_GATE_NO_REPLY)
		return;
	if (reply->outcome == RR_GATE_ANSWERED && reply->status == 200) {
		if (!rr_parse_allowance_reply(reply->body, reply->length,
					      &decoded)) {
			rr_count(gateway->ctx, RR_N_PEER_MESSAGES_BAD, 1);
			decoded.status = RR_ALLOWANCE_NOT_OWNER;
		}
	}
	rr_gate_handle_allowance_reply(gateway->gate, rr_gateway_now_us(),
				       reply->attempt, &decoded);
}

static struct rr_caller_conn *take_caller(struct rr_gateway *gateway,
					  uint64_t handle)
{
	GArray *callers = gateway->allowance_callers;

	for (guint i = 0; i < callers->len; i++) {
		struct allowance_caller entry =
			g_array_index(callers, struct allowance_caller, i);

		if (entry.handle != handle)
			continue;
		g_array_remove_index_fast(callers, i);
		return entry.caller;
	}
	return NULL;
}

void rr_reply_allowance(void *data, uint64_t handle,
			const struct rr_allowance_reply *reply)
{
	struct rr_gateway *gateway = data;
	struct rr_caller_conn *caller = take_caller(gateway, handle);
	GString *body;
	struct rr_http_response response = { .status = 200 };

	if (!caller)
		return;
	rr_count(gateway->ctx, RR_N_ALLOWANCE_CALLS_SERVED, 1);
	body = rr_encode_allowance_reply(reply);
	response.body = (const uint8_t *)body->str;
	response.length = body->len;
	rr_send_http_response(caller, &response);
	g_string_free(body, TRUE);
}

bool rr_is_allowance_request(const struct rr_http_message *message)
{
	return !strcmp(message->method, "POST") &&
	       !strcmp(message->target, ALLOWANCE_PATH);
}

void rr_handle_allowance_request(struct rr_gateway *gateway,
				 struct rr_caller_conn *caller,
				 const struct rr_http_message *message)
{
	struct rr_http_response bad_request = { .status = 400 };
	struct allowance_caller entry = {
		.handle = ++gateway->next_allowance_handle,
		.caller = caller,
	};
	struct rr_allowance_call call;

	if (!rr_parse_allowance_call(message->body, message->body_length,
				     &call)) {
		rr_count(gateway->ctx, RR_N_PEER_MESSAGES_BAD, 1);
		rr_send_http_response(caller, &bad_request);
		return;
	}
	g_array_append_val(gateway->allowance_callers, entry);
	rr_gate_handle_allowance_call(gateway->gate, rr_gateway_now_us(),
				      entry.handle, &call);
	rr_clear_allowance_call(&call);
}

bool rr_drop_allowance_caller(struct rr_gateway *gateway,
			      const struct rr_caller_conn *caller)
{
	GArray *callers = gateway->allowance_callers;

	for (guint i = 0; i < callers->len; i++) {
		struct allowance_caller entry =
			g_array_index(callers, struct allowance_caller, i);

		if (entry.caller != caller)
			continue;
		g_array_remove_index_fast(callers, i);
		rr_gate_drop_allowance_call(gateway->gate, entry.handle);
		return true;
	}
	return false;
}
