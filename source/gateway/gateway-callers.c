/*
 * gateway-callers.c - passes requests of callers and other instances to the
 * gate, and carries out the gate's actions, such as attempts and answers.
 */
#include "gateway/gateway-private.h"

#include <string.h>

#include "gateway/request-head.h"
#include "ragwort/counters.h"
#include "ragwort/fingerprint.h"

void rr_free_open_request(gpointer data)
{
	struct open_request *open = data;

	g_string_free(open->head, TRUE);
	g_free(open);
}

/* Actions of the gate. */

static struct open_request *find_open_request(const struct rr_gateway *gateway,
					      uint64_t id)
{
	struct open_request *open = g_hash_table_lookup(gateway->requests, &id);

	return open ? open : gateway->submitting;
}

/* The key itself is never sent on. */
static void append_account(const struct rr_gateway *gateway, GString *head,
			   const struct rr_gate_attempt_info *info)
{
	if (!info->account)
		return;
	if (info->forwarded)
		g_string_append_printf(head,
				       RR_ACCOUNT_HEADER
				       ": %s\r\n" RR_RANK_HEADER
				       ": %" G_GUINT32_FORMAT "\r\n",
				       info->account, info->priority);
	else
		g_string_append_printf(head, "%s: %s\r\n",
				       gateway->names->account, info->account);
}

static void send_attempt(void *data, const struct rr_gate_attempt_info *info)
{
	struct rr_gateway *gateway = data;
	struct open_request *open = find_open_request(gateway, info->request);
	struct rr_raw_request request = {
		.body = open->message->body,
		.body_length = open->message->body_length,
		.request_id = open->request_id,
		.no_body = !strcmp(open->message->method, "HEAD"),
	};
	gsize shared_length = open->head->len;

	if (info->forwarded)
		g_string_append_printf(open->head,
				       FORWARD_DEADLINE_HEADER
				       ": %" G_GINT64_FORMAT "\r\n",
				       info->forward_deadline_us);
	else
		g_string_append_printf(open->head, "%s: %s\r\n",
				       gateway->names->expect_incarnation,
				       info->endpoint);
	append_account(gateway, open->head, info);
	if (info->deadline_ms >= 0)
		g_string_append_printf(
			open->head, "%s: %" G_GINT64_FORMAT "\r\n",
			gateway->names->deadline, info->deadline_ms);
	g_string_append(open->head, "\r\n");
	request.head = open->head->str;
	request.head_length = open->head->len;
	rr_send_to_replica(info->forwarded ? gateway->coordinator_client :
					     gateway->replica_client,
			   rr_gateway_now_us(), info, &request);
	g_string_truncate(open->head, shared_length);
}

static void cancel_attempt(void *data, uint64_t attempt)
{
	struct rr_gateway *gateway = data;

	rr_cancel_replica_attempt(gateway->replica_client, attempt);
	rr_cancel_replica_attempt(gateway->coordinator_client, attempt);
}

static bool cancel_unsent_attempt(void *data, uint64_t attempt)
{
	struct rr_gateway *gateway = data;

	return rr_cancel_unsent_attempt(gateway->replica_client, attempt) ||
	       rr_cancel_unsent_attempt(gateway->coordinator_client, attempt);
}

static void send_local_answer(struct rr_caller_conn *caller,
			      const struct rr_gate_answer *answer,
			      bool from_peer)
{
	char seconds[G_ASCII_DTOSTR_BUF_SIZE];
	struct rr_http_header headers[] = {
		{ "Retry-After", seconds },
		{ NOT_RUN_HEADER, "1" },
	};
	struct rr_http_response reply = {
		.status = answer->status,
		.headers = headers,
		.n_headers = answer->retry_after_ms ? (from_peer ? 2 : 1) : 0,
		.close = answer->close_connection && !from_peer,
	};

	g_ascii_formatd(seconds, sizeof(seconds), "%.3f",
			answer->retry_after_ms / 1000.0);
	rr_send_http_response(caller, &reply);
}

static void send_merged_answer(struct rr_gateway *gateway,
			       struct rr_caller_conn *caller,
			       const struct rr_gate_answer *answer)
{
	char missing[32];
	struct rr_http_header headers[] = {
		{ gateway->names->part_signatures, answer->signatures },
		{ gateway->names->missing_parts, missing },
	};
	struct rr_http_response reply = {
		.status = answer->status,
		.headers = headers,
		.n_headers = answer->missing ? 2 : 1,
		.body = answer->body,
		.length = answer->length,
	};

	g_snprintf(missing, sizeof(missing), "%" G_GSIZE_FORMAT,
		   answer->missing);
	rr_send_http_response(caller, &reply);
}

static void send_proxied_answer(const struct open_request *open,
				const struct rr_gate_answer *answer)
{
	const struct rr_http_message *message = answer->message;
	bool no_body = !strcmp(open->message->method, "HEAD") ||
		       message->status == 304;
	GArray *headers = rr_make_answer_headers(message, no_body);
	struct rr_http_response reply = {
		.status = message->status,
		.reason = message->reason,
		.headers = (struct rr_http_header *)(void *)headers->data,
		.n_headers = headers->len,
		.body = message->body,
		.length = message->body_length,
	};

	rr_send_http_response(open->caller, &reply);
	g_array_unref(headers);
}

static void send_answer(void *data, const struct rr_gate_answer *answer)
{
	struct rr_gateway *gateway = data;
	struct open_request *open = find_open_request(gateway, answer->request);
	bool at_once = open == gateway->submitting;

	/* Sending may start the next request of the same connection. */
	if (at_once)
		gateway->submitting = NULL;
	switch (answer->kind) {
	case RR_GATE_LOCAL_ANSWER:
		send_local_answer(open->caller, answer, open->from_peer);
		break;
	case RR_GATE_PROXIED_ANSWER:
		send_proxied_answer(open, answer);
		break;
	case RR_GATE_MERGED_ANSWER:
		send_merged_answer(gateway, open->caller, answer);
		break;
	}
	if (at_once)
		rr_free_open_request(open);
	else
		g_hash_table_remove(gateway->requests, &answer->request);
}

static void preconnect_replica(void *data, const char *incarnation,
			       const char *address)
{
	struct rr_gateway *gateway = data;

	rr_preconnect_replica(gateway->replica_client, rr_gateway_now_us(),
			      incarnation, address);
}

static void probe_replica(void *data, const char *incarnation,
			  const char *address)
{
	struct rr_gateway *gateway = data;

	rr_probe_replica(gateway->replica_client, rr_gateway_now_us(),
			 incarnation, address);
}

static void close_idle_conns(void *data, const char *incarnation)
{
	struct rr_gateway *gateway = data;

	rr_close_replica_conns(gateway->replica_client, incarnation);
}

static void report_quarantine(void *data,
			      const struct rr_quarantine_report *report)
{
	struct rr_gateway *gateway = data;

	rr_feed_report(gateway->feed, rr_gateway_now_us(), report);
}

struct rr_gate_actions rr_gateway_gate_actions(struct rr_gateway *gateway)
{
	return (struct rr_gate_actions){
		.send = send_attempt,
		.cancel = cancel_attempt,
		.cancel_unsent = cancel_unsent_attempt,
		.answer = send_answer,
		.preconnect = preconnect_replica,
		.probe = probe_replica,
		.close_idle = close_idle_conns,
		.report = report_quarantine,
		.call_allowance = rr_call_allowance,
		.reply_allowance = rr_reply_allowance,
		.data = gateway,
	};
}

/* Requests. */

/* Parse an integer header; -1 if it is absent or invalid. */
static int64_t parse_integer_header(const struct rr_http_message *message,
				    const char *name)
{
	const char *value = rr_find_http_header(message, name);
	guint64 number;

	if (!value || !g_ascii_string_to_unsigned(value, 10, 0, G_MAXINT32,
						  &number, NULL))
		return -1;
	return (int64_t)number;
}

/* Find a header; NULL if it is absent or repeated. */
static const char *find_single_header(const struct rr_http_message *message,
				      const char *name)
{
	const char *value = NULL;

	for (size_t i = 0; i < message->n_headers; i++) {
		if (g_ascii_strcasecmp(message->headers[i].name, name))
			continue;
		if (value)
			return NULL;
		value = message->headers[i].value;
	}
	return value;
}

static uint64_t *new_request_key(uint64_t id)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = id;
	return key;
}

/*
 * Return the fingerprint of a request. It covers only what is sent to the
 * replica unchanged in every attempt.
 */
static struct rr_fingerprint
fingerprint_request(const struct rr_http_message *message)
{
	struct rr_fingerprint_parts parts = {
		.method = message->method,
		.host = rr_find_http_header(message, "Host"),
		.path = message->target,
		.path_length = message->target_length,
		.credentials = rr_find_http_header(message, "Authorization"),
		.body = message->body,
		.body_length = message->body_length,
	};

	return rr_fingerprint(&parts);
}

static bool uses_accounts(const struct rr_gateway *gateway)
{
	const struct rr_route_table *routes = rr_gate_routes(gateway->gate);

	return routes && rr_route_table_accounts(routes);
}

static void submit_request(struct rr_gateway *gateway,
			   struct rr_caller_conn *caller,
			   const struct rr_http_message *message,
			   bool from_peer)
{
	const char *host = rr_find_http_header(message, "Host");
	struct rr_http_response bad_request = { .status = 400, .close = true };
	struct rr_gate_request_info info = {
		.host = host,
		.path = message->target,
		.path_length = message->target_length,
		.request_id = rr_find_http_header(message,
						  gateway->names->request_id),
		.fingerprint = fingerprint_request(message),
		.key = find_single_header(message, gateway->names->account_key),
		.account = from_peer ? rr_find_http_header(message,
							   RR_ACCOUNT_HEADER) :
				       NULL,
		.account_priority =
			from_peer ?
				parse_integer_header(message, RR_RANK_HEADER) :
				-1,
		.deadline_ms =
			parse_integer_header(message, gateway->names->deadline),
		.caller_rtt_us = rr_caller_rtt_us(caller),
		.new_connection = rr_is_first_request(caller),
		.forward_deadline_us =
			from_peer ? parse_integer_header(
					    message, FORWARD_DEADLINE_HEADER) :
				    -1,
	};
	struct open_request *open;
	uint64_t id;

	if (!host || message->target[0] != '/') {
		rr_count(gateway->ctx, RR_N_CALLS_INVALID, 1);
		rr_send_http_response(caller, &bad_request);
		return;
	}
	open = g_new0(struct open_request, 1);
	open->caller = caller;
	open->from_peer = from_peer;
	open->message = message;
	open->request_id = info.request_id;
	open->head = g_string_sized_new(512);
	rr_append_request_head(open->head, message, gateway->names,
			       uses_accounts(gateway));
	gateway->submitting = open;
	id = rr_gate_submit(gateway->ctx, gateway->gate, rr_gateway_now_us(),
			    &info);
	if (gateway->submitting) {
		rr_set_caller_user_data(caller, id);
		g_hash_table_insert(gateway->requests, new_request_key(id),
				    open);
		gateway->submitting = NULL;
	}
}

void rr_handle_caller_request(void *data, struct rr_caller_conn *caller,
			      const struct rr_http_message *message)
{
	submit_request(data, caller, message, false);
}

void rr_handle_peer_request(void *data, struct rr_caller_conn *caller,
			    const struct rr_http_message *message)
{
	struct rr_change_feed_request request;

	if (rr_find_http_header(message, FORWARD_DEADLINE_HEADER))
		submit_request(data, caller, message, true);
	else if (rr_is_allowance_request(message))
		rr_handle_allowance_request(data, caller, message);
	else if (rr_parse_change_feed_request(message->target, &request))
		rr_handle_change_feed_request(data, caller, &request);
	else if (rr_is_registration_request(message->method, message->target))
		rr_handle_registration_request(data, caller, message);
	else
		submit_request(data, caller, message, true);
}

void rr_handle_caller_half_close(void *data, struct rr_caller_conn *caller)
{
	struct rr_gateway *gateway = data;

	rr_gate_half_close(gateway->ctx, gateway->gate, rr_gateway_now_us(),
			   rr_get_caller_user_data(caller));
}

void rr_handle_caller_disconnect(void *data, struct rr_caller_conn *caller)
{
	struct rr_gateway *gateway = data;
	uint64_t id = rr_get_caller_user_data(caller);

	rr_gate_abandon(gateway->ctx, gateway->gate, rr_gateway_now_us(), id);
	g_hash_table_remove(gateway->requests, &id);
}

void rr_handle_readiness_request(void *data, struct rr_caller_conn *caller,
				 const struct rr_http_message *message)
{
	struct rr_gateway *gateway = data;
	struct rr_http_response answer = { .status = 404 };
	const char *reason = "";

	if (!strcmp(message->target, gateway->names->ready_path)) {
		answer.status =
			rr_gateway_is_ready(gateway, &reason) ? 200 : 503;
		answer.body = (const uint8_t *)reason;
		answer.length = strlen(reason);
	}
	rr_send_http_response(caller, &answer);
}

void rr_handle_metrics_request(void *data, struct rr_caller_conn *caller,
			       const struct rr_http_message *message)
{
	struct rr_gateway *gateway = data;
	struct rr_http_header header = { "Content-Type",
					 "text/plain; version=0.0.4" };
	struct rr_http_response answer = {
		.status = 200,
		.headers = &header,
		.n_headers = 1,
	};
	GString *text = g_string_new(NULL);

	rr_update_process_gauges(gateway->ctx);
	rr_set_gauge(gateway->ctx, RR_G_OPEN_QUERIES,
		     rr_gate_count_requests(gateway->gate));
	rr_set_gauge(gateway->ctx, RR_G_CALLER_BYTES,
		     rr_held_memory_bytes(gateway->memory));
	rr_format_metrics(gateway->ctx, text);
	answer.body = (const uint8_t *)text->str;
	answer.length = text->len;
	rr_send_http_response(caller, &answer);
	g_string_free(text, TRUE);
}
