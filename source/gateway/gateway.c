/*
 * gateway.c - wiring: callers, replicas and the store hand events to the
 * gate and the feed, whose actions go back to them.
 */
#include "gateway/gateway.h"

#include <glib-unix.h>
#include <signal.h>
#include <string.h>

#include "gateway/log-writer.h"
#include "gateway/request-head.h"
#include "net/front-port.h"
#include "net/poller.h"
#include "net/replica-port.h"
#include "platform/platform.h"
#include "ragwort/counters.h"
#include "ragwort/feed.h"
#include "ragwort/gate.h"
#include "ragwort/lifecycle.h"

/* Lines wait so long to be written, many at once. */
#define FLUSH_US (200 * 1000)
/* While stopping, how often it is looked at what is still open. */
#define STOP_CHECK_US (100 * 1000)
/* Of the ready and metrics addresses: few ask, and seldom. */
#define MOST_ASKERS 64
/*
 * Between instances: time until a search that is handed over has to be
 * answered, in microseconds; and the promise that it was not run.
 */
#define LEFT_HEADER "Ragwort-Left-Us"
#define NOT_RUN_HEADER "Ragwort-Not-Run"
/* The one endpoint of the port that makes the store's calls. */
#define STORE "store"
/* A watch, and one for the other calls. */
#define STORE_CONNECTIONS 2

/* Ticks whatever is due. */
struct tick_source {
	GSource source; /* first: GLib allocates the whole */
	struct rr_gateway *gateway;
};

/* A request that a caller waits for. */
struct open_request {
	struct rr_caller *caller;
	bool handed; /* its caller is another instance */
	const struct rr_http_message *message;
	GString *head;
	const char *request_id;
};

/* A call to the store. */
struct open_call {
	uint64_t id; /* the feed's */
	enum rr_feed_call_kind kind;
};

struct rr_gateway {
	struct rr_context *ctx;
	const struct rr_gateway_settings *settings;
	const struct rr_gate_names *names;
	GMainLoop *loop;
	struct rr_poller *poller;
	struct tick_source *ticker;
	struct rr_gate *gate;
	struct rr_feed *feed;
	struct rr_front_port *callers;
	struct rr_front_port *ready;
	struct rr_front_port *metrics;
	struct rr_front_port *peers; /* other instances that hand over */
	struct rr_replica_port *replicas;
	struct rr_replica_port *store;
	struct rr_replica_port *strong; /* instances to hand over to */
	struct rr_lifecycle lifecycle;
	GHashTable *requests;	     /* gate's id -> struct open_request */
	struct open_request *taking; /* being taken: its id is not known yet */
	GHashTable *calls;	     /* id -> struct open_call */
	int64_t flush_us;	     /* 0: no line waits */
	int64_t stop_check_us;
	bool was_ready;
	guint signal_sources[3];
};

static int64_t now_us(void)
{
	return g_get_monotonic_time();
}

static void free_open_request(gpointer data)
{
	struct open_request *open = data;

	g_string_free(open->head, TRUE);
	g_free(open);
}

/* Readiness. */

static bool takes_callers(const struct rr_gateway *gateway, const char **reason)
{
	bool serves = rr_gate_serves(gateway->gate, reason);

	if (serves && !rr_feed_has_read(gateway->feed)) {
		*reason = "store-not-read";
		serves = false;
	}
	if (gateway->lifecycle.stop_us)
		*reason = "stopping";
	return rr_takes_callers(&gateway->lifecycle, serves);
}

static void look_at_readiness(struct rr_gateway *gateway)
{
	const char *reason = "";
	bool ready = takes_callers(gateway, &reason);

	if (ready == gateway->was_ready)
		return;
	gateway->was_ready = ready;
	rr_set_gauge(gateway->ctx, RR_G_READY, ready);
	rr_log(gateway->ctx, RR_LOG_INFO, ready ? "ready" : "not-ready",
	       RR_FIELD_STRING("reason", reason));
}

/* After each event: the next tick. */
static void settle(struct rr_gateway *gateway)
{
	int64_t due_us = rr_gate_wake_us(gateway->gate);

	look_at_readiness(gateway);
	due_us = MIN(due_us, rr_feed_wake_us(gateway->feed));
	due_us = MIN(due_us, rr_front_port_wake_us(gateway->callers));
	due_us = MIN(due_us, rr_front_port_wake_us(gateway->ready));
	if (gateway->peers)
		due_us = MIN(due_us, rr_front_port_wake_us(gateway->peers));
	due_us = MIN(due_us, rr_replica_port_wake_us(gateway->replicas));
	due_us = MIN(due_us, rr_replica_port_wake_us(gateway->store));
	due_us = MIN(due_us, rr_replica_port_wake_us(gateway->strong));
	if (gateway->lifecycle.stop_us)
		due_us = MIN(due_us, gateway->stop_check_us);
	if (rr_log_waits() && !gateway->flush_us)
		gateway->flush_us = now_us() + FLUSH_US;
	if (gateway->flush_us)
		due_us = MIN(due_us, gateway->flush_us);
	g_source_set_ready_time(&gateway->ticker->source,
				due_us == INT64_MAX ? -1 : due_us);
}

static void check_stop(struct rr_gateway *gateway)
{
	size_t callers = rr_count_callers(gateway->callers);
	enum rr_stop_step step;

	if (!gateway->lifecycle.stop_us || now_us() < gateway->stop_check_us)
		return;
	gateway->stop_check_us = now_us() + STOP_CHECK_US;
	step = rr_next_stop_step(&gateway->lifecycle, now_us(),
				 rr_gate_open_requests(gateway->gate), callers);
	if (step == RR_STOP_CLOSE_IDLE) {
		rr_close_idle_callers(gateway->callers);
		if (gateway->peers)
			rr_close_idle_callers(gateway->peers);
	}
	if (step == RR_STOP_EXIT)
		g_main_loop_quit(gateway->loop);
}

static void tick(struct rr_gateway *gateway)
{
	int64_t now = now_us();

	rr_tick_replica_port(gateway->store, now);
	rr_tick_replica_port(gateway->replicas, now);
	rr_tick_replica_port(gateway->strong, now);
	rr_feed_tick(gateway->ctx, gateway->feed, now);
	rr_gate_tick(gateway->ctx, gateway->gate, now);
	rr_tick_front_port(gateway->callers, now);
	rr_tick_front_port(gateway->ready, now);
	if (gateway->peers)
		rr_tick_front_port(gateway->peers, now);
	check_stop(gateway);
	if (gateway->flush_us && gateway->flush_us <= now) {
		rr_flush_log();
		gateway->flush_us = 0;
	}
}

static gboolean dispatch_tick(GSource *source, GSourceFunc callback,
			      gpointer data)
{
	struct rr_gateway *gateway = ((struct tick_source *)source)->gateway;

	g_source_set_ready_time(source, -1);
	tick(gateway);
	settle(gateway);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs tick_funcs = { .dispatch = dispatch_tick };

/* The gate's actions. */

static struct open_request *find_open(const struct rr_gateway *gateway,
				      uint64_t id)
{
	struct open_request *open = g_hash_table_lookup(gateway->requests, &id);

	return open ? open : gateway->taking;
}

static void send_attempt(void *data, const struct rr_gate_send *send)
{
	struct rr_gateway *gateway = data;
	struct open_request *open = find_open(gateway, send->request);
	struct rr_request_bytes request = {
		.body = open->message->body,
		.body_length = open->message->body_length,
		.request_id = open->request_id,
		.no_body = !strcmp(open->message->method, "HEAD"),
	};
	gsize shared = open->head->len;

	if (send->handed)
		g_string_append_printf(open->head,
				       LEFT_HEADER ": %" G_GINT64_FORMAT "\r\n",
				       send->handed_left_us);
	else
		g_string_append_printf(open->head, "%s: %s\r\n",
				       gateway->names->expect_endpoint,
				       send->endpoint);
	if (send->deadline_ms >= 0)
		g_string_append_printf(
			open->head, "%s: %" G_GINT64_FORMAT "\r\n",
			gateway->names->deadline, send->deadline_ms);
	g_string_append(open->head, "\r\n");
	request.head = open->head->str;
	request.head_length = open->head->len;
	rr_send_to_replica(send->handed ? gateway->strong : gateway->replicas,
			   now_us(), send, &request);
	g_string_truncate(open->head, shared);
}

static void withdraw_attempt(void *data, uint64_t attempt)
{
	struct rr_gateway *gateway = data;

	rr_withdraw_from_replica(gateway->replicas, attempt);
	rr_withdraw_from_replica(gateway->strong, attempt);
}

static void answer_own(struct rr_caller *caller,
		       const struct rr_gate_answer *answer, bool handed)
{
	char seconds[G_ASCII_DTOSTR_BUF_SIZE];
	struct rr_http_header headers[] = {
		{ "Retry-After", seconds },
		{ NOT_RUN_HEADER, "1" },
	};
	struct rr_front_answer reply = {
		.status = answer->status,
		.headers = headers,
		.n_headers = answer->retry_after_ms ? (handed ? 2 : 1) : 0,
	};

	g_ascii_formatd(seconds, sizeof(seconds), "%.3f",
			answer->retry_after_ms / 1000.0);
	rr_answer_caller(caller, &reply);
}

static void answer_gathered(struct rr_gateway *gateway,
			    struct rr_caller *caller,
			    const struct rr_gate_answer *answer)
{
	char missing[32];
	struct rr_http_header headers[] = {
		{ gateway->names->part_seals, answer->seals },
		{ gateway->names->missing_parts, missing },
	};
	struct rr_front_answer reply = {
		.status = answer->status,
		.headers = headers,
		.n_headers = answer->missing ? 2 : 1,
		.body = answer->body,
		.length = answer->length,
	};

	g_snprintf(missing, sizeof(missing), "%" G_GSIZE_FORMAT,
		   answer->missing);
	rr_answer_caller(caller, &reply);
}

static void answer_forwarded(const struct open_request *open,
			     const struct rr_gate_answer *answer)
{
	const struct rr_http_message *message = answer->message;
	bool bodiless = !strcmp(open->message->method, "HEAD") ||
			message->status == 304;
	GArray *headers = rr_make_answer_headers(message, bodiless);
	struct rr_front_answer reply = {
		.status = message->status,
		.reason = message->reason,
		.headers = (struct rr_http_header *)(void *)headers->data,
		.n_headers = headers->len,
		.body = message->body,
		.length = message->body_length,
	};

	rr_answer_caller(open->caller, &reply);
	g_array_unref(headers);
}

static void give_answer(void *data, const struct rr_gate_answer *answer)
{
	struct rr_gateway *gateway = data;
	struct open_request *open = find_open(gateway, answer->request);

	switch (answer->kind) {
	case RR_GATE_OWN:
		answer_own(open->caller, answer, open->handed);
		break;
	case RR_GATE_FORWARDED:
		answer_forwarded(open, answer);
		break;
	case RR_GATE_GATHERED:
		answer_gathered(gateway, open->caller, answer);
		break;
	}
	if (open == gateway->taking) {
		gateway->taking = NULL;
		free_open_request(open);
	} else {
		g_hash_table_remove(gateway->requests, &answer->request);
	}
}

static void open_endpoint(void *data, const char *endpoint, const char *address)
{
	struct rr_gateway *gateway = data;

	rr_open_replica(gateway->replicas, now_us(), endpoint, address);
}

static void probe_endpoint(void *data, const char *endpoint,
			   const char *address)
{
	struct rr_gateway *gateway = data;

	rr_probe_replica(gateway->replicas, now_us(), endpoint, address);
}

static void forget_endpoint(void *data, const char *endpoint)
{
	struct rr_gateway *gateway = data;

	rr_forget_replica(gateway->replicas, endpoint);
}

/* Callers. */

/* A header's whole number; -1 if it is none. */
static int64_t read_number(const struct rr_http_message *message,
			   const char *name)
{
	const char *value = rr_http_value(message, name);
	guint64 number;

	if (!value || !g_ascii_string_to_unsigned(value, 10, 0, G_MAXINT32,
						  &number, NULL))
		return -1;
	return (int64_t)number;
}

static uint64_t *new_key(uint64_t id)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = id;
	return key;
}

static void take_request(struct rr_gateway *gateway, struct rr_caller *caller,
			 const struct rr_http_message *message, bool handed)
{
	const char *host = rr_http_value(message, "Host");
	struct rr_front_answer bad = { .status = 400, .close = true };
	struct rr_gate_ask ask = {
		.host = host,
		.path = message->target,
		.path_length = message->target_length,
		.request_id =
			rr_http_value(message, gateway->names->request_id),
		.deadline_ms = read_number(message, gateway->names->deadline),
		.caller_rtt_us = rr_caller_rtt_us(caller),
		.handed_left_us =
			handed ? read_number(message, LEFT_HEADER) : -1,
	};
	struct open_request *open;
	uint64_t id;

	if (!host || message->target[0] != '/') {
		rr_count(gateway->ctx, RR_N_CALLS_INVALID, 1);
		rr_answer_caller(caller, &bad);
		return;
	}
	open = g_new0(struct open_request, 1);
	open->caller = caller;
	open->handed = handed;
	open->message = message;
	open->request_id = ask.request_id;
	open->head = g_string_sized_new(512);
	rr_append_request_head(open->head, message, gateway->names);
	gateway->taking = open;
	id = rr_gate_take(gateway->ctx, gateway->gate, now_us(), &ask);
	if (gateway->taking) {
		rr_set_caller_mark(caller, id);
		g_hash_table_insert(gateway->requests, new_key(id), open);
		gateway->taking = NULL;
	}
	settle(gateway);
}

static void take_callers_request(void *data, struct rr_caller *caller,
				 const struct rr_http_message *message)
{
	take_request(data, caller, message, false);
}

static void take_peers_request(void *data, struct rr_caller *caller,
			       const struct rr_http_message *message)
{
	take_request(data, caller, message, true);
}

static void take_leaver(void *data, struct rr_caller *caller)
{
	struct rr_gateway *gateway = data;

	rr_gate_leave(gateway->ctx, gateway->gate, now_us(),
		      rr_caller_mark(caller));
	settle(gateway);
}

static void take_gone(void *data, struct rr_caller *caller)
{
	struct rr_gateway *gateway = data;
	uint64_t id = rr_caller_mark(caller);

	rr_gate_abandon(gateway->ctx, gateway->gate, now_us(), id);
	g_hash_table_remove(gateway->requests, &id);
	settle(gateway);
}

static void answer_ready(void *data, struct rr_caller *caller,
			 const struct rr_http_message *message)
{
	struct rr_gateway *gateway = data;
	struct rr_front_answer answer = { .status = 404 };
	const char *reason = "";

	if (!strcmp(message->target, gateway->names->ready_path)) {
		answer.status = takes_callers(gateway, &reason) ? 200 : 503;
		answer.body = (const uint8_t *)reason;
		answer.length = strlen(reason);
	}
	rr_answer_caller(caller, &answer);
}

static void answer_metrics(void *data, struct rr_caller *caller,
			   const struct rr_http_message *message)
{
	struct rr_gateway *gateway = data;
	struct rr_http_header header = { "Content-Type",
					 "text/plain; version=0.0.4" };
	struct rr_front_answer answer = {
		.status = 200,
		.headers = &header,
		.n_headers = 1,
	};
	GString *text = g_string_new(NULL);

	rr_measure_process(gateway->ctx);
	rr_set_gauge(gateway->ctx, RR_G_OPEN_QUERIES,
		     rr_gate_open_requests(gateway->gate));
	rr_format_metrics(gateway->ctx, text);
	answer.body = (const uint8_t *)text->str;
	answer.length = text->len;
	rr_answer_caller(caller, &answer);
	g_string_free(text, TRUE);
}

/* Replicas. */

static void take_reply(void *data, const struct rr_gate_reply *reply)
{
	struct rr_gateway *gateway = data;

	rr_gate_reply(gateway->ctx, gateway->gate, now_us(), reply);
	settle(gateway);
}

static void take_probe(void *data, const char *endpoint, bool reached)
{
	struct rr_gateway *gateway = data;

	rr_gate_probed(gateway->ctx, gateway->gate, now_us(), endpoint,
		       reached);
	settle(gateway);
}

/* The store. */

static void make_call(void *data, const struct rr_feed_call *call)
{
	struct rr_gateway *gateway = data;
	struct rr_platform_entry entry = {
		.instance = gateway->settings->instance,
		.zone = gateway->settings->zone,
		.address = gateway->settings->peer_address,
		.strength = gateway->settings->strength,
	};
	GString *bytes = rr_encode_feed_call(
		call, gateway->settings->store_address, &entry);
	struct rr_request_bytes request = {
		.head = bytes->str,
		.head_length = bytes->len,
	};
	/* Sent once: a repeat is the feed's to decide. */
	struct rr_gate_send send = {
		.attempt = call->id,
		.endpoint = STORE,
		.address = gateway->settings->store_address,
		.deadline_ms = call->timeout_ms,
		.idempotent = false,
		.kept_connections = STORE_CONNECTIONS,
	};
	struct open_call *open = g_new0(struct open_call, 1);

	open->id = call->id;
	open->kind = call->kind;
	g_hash_table_insert(gateway->calls, &open->id, open);
	rr_send_to_replica(gateway->store, now_us(), &send, &request);
	g_string_free(bytes, TRUE);
}

static void cancel_call(void *data, uint64_t call)
{
	struct rr_gateway *gateway = data;

	rr_withdraw_from_replica(gateway->store, call);
	g_hash_table_remove(gateway->calls, &call);
}

static void take_store_reply(void *data, const struct rr_gate_reply *reply)
{
	struct rr_gateway *gateway = data;
	struct open_call *open =
		g_hash_table_lookup(gateway->calls, &reply->attempt);
	struct rr_feed_reply decoded = { .status = RR_FEED_FAILED };

	if (!open)
		return;
	if (reply->outcome == RR_GATE_ANSWERED)
		rr_decode_feed_reply(open->kind, reply->status, reply->body,
				     reply->length, &decoded);
	decoded.call = open->id;
	g_hash_table_remove(gateway->calls, &reply->attempt);
	rr_feed_reply(gateway->ctx, gateway->feed, now_us(), &decoded);
	if (decoded.items)
		g_ptr_array_unref(decoded.items);
	settle(gateway);
}

static void take_routes(void *data, struct rr_route_table *table)
{
	struct rr_gateway *gateway = data;

	if (rr_gate_set_routes(gateway->ctx, gateway->gate, now_us(), table))
		rr_bound_front_port(gateway->callers,
				    rr_table_caller_limits(table));
}

static void take_listing(void *data, const struct rr_listing *listing)
{
	struct rr_gateway *gateway = data;

	rr_gate_list(gateway->ctx, gateway->gate, now_us(), listing);
}

static void take_unlisted(void *data, const char *id)
{
	struct rr_gateway *gateway = data;

	rr_gate_unlist(gateway->ctx, gateway->gate, now_us(), id);
}

static void take_instance(void *data, const char *id,
			  const struct rr_instance *instance)
{
	struct rr_gateway *gateway = data;

	rr_gate_note_instance(gateway->ctx, gateway->gate, now_us(), id,
			      instance ? instance->zone : NULL,
			      instance ? instance->address : NULL,
			      instance ? instance->strength : 0);
}

static void take_instances(void *data, uint32_t instances)
{
	struct rr_gateway *gateway = data;

	rr_gate_set_instances(gateway->ctx, gateway->gate, instances);
}

/* Signals. */

static gboolean begin_stop(gpointer data)
{
	struct rr_gateway *gateway = data;

	rr_log(gateway->ctx, RR_LOG_INFO, "stopping",
	       RR_FIELD_U64("requests", rr_gate_open_requests(gateway->gate)),
	       RR_FIELD_U64("callers", rr_count_callers(gateway->callers)));
	rr_ask_stop(&gateway->lifecycle, now_us());
	gateway->stop_check_us = now_us() + STOP_CHECK_US;
	rr_close_front_port(gateway->callers);
	if (gateway->peers)
		rr_close_front_port(gateway->peers);
	rr_feed_leave(gateway->ctx, gateway->feed, now_us());
	settle(gateway);
	return G_SOURCE_CONTINUE;
}

static gboolean note_reload(gpointer data)
{
	struct rr_gateway *gateway = data;

	rr_log(gateway->ctx, RR_LOG_INFO, "reload",
	       RR_FIELD_STRING("reason", "nothing of the start file changes "
					 "without a restart"));
	settle(gateway);
	return G_SOURCE_CONTINUE;
}

/* Making it. */

static void make_cores(struct rr_gateway *gateway)
{
	struct rr_gate_options gate = {
		.instance = gateway->settings->instance,
		.zone = gateway->settings->zone,
		.actions = {
			.send = send_attempt,
			.withdraw = withdraw_attempt,
			.answer = give_answer,
			.open = open_endpoint,
			.probe = probe_endpoint,
			.forget = forget_endpoint,
			.data = gateway,
		},
		.extra_ratio = gateway->settings->extra_share,
		.extra_slack = gateway->settings->extra_slack,
		.strength = gateway->settings->strength,
		.log_lines_per_s = gateway->settings->log_request_lines_per_s,
	};
	struct rr_feed_options feed = {
		.actions = {
			.call = make_call,
			.cancel = cancel_call,
			.routes = take_routes,
			.listed = take_listing,
			.unlisted = take_unlisted,
			.instances = take_instances,
			.instance = take_instance,
			.data = gateway,
		},
		.news_bound_ms = gateway->settings->news_bound_ms,
	};

	gateway->gate = rr_new_gate(gateway->ctx, &gate);
	gateway->feed = rr_new_feed(gateway->ctx, &feed, now_us());
}

static void make_clients(struct rr_gateway *gateway)
{
	struct rr_replica_port_options replicas = {
		.poller = gateway->poller,
		.request_id = gateway->names->request_id,
		.seal = gateway->names->seal,
		.not_run = gateway->names->not_run,
		.replied = take_reply,
		.probed = take_probe,
		.data = gateway,
	};
	struct rr_replica_port_options store = {
		.poller = gateway->poller,
		.replied = take_store_reply,
		.data = gateway,
	};

	struct rr_replica_port_options strong = {
		.poller = gateway->poller,
		.not_run = NOT_RUN_HEADER,
		.replied = take_reply,
		.probed = take_probe,
		.data = gateway,
	};

	gateway->strong = rr_new_replica_port(gateway->ctx, &strong);
	gateway->replicas = rr_new_replica_port(gateway->ctx, &replicas);
	gateway->store = rr_new_replica_port(gateway->ctx, &store);
}

static bool listen_all(struct rr_gateway *gateway, GError **error)
{
	const struct rr_gateway_settings *settings = gateway->settings;
	struct rr_front_port_options callers = {
		.poller = gateway->poller,
		.address = settings->caller_address,
		.max_connections = settings->max_connections,
		.request = take_callers_request,
		.left = take_leaver,
		.gone = take_gone,
		.data = gateway,
	};
	struct rr_front_port_options ready = {
		.poller = gateway->poller,
		.address = settings->ready_address,
		.max_connections = MOST_ASKERS,
		.request = answer_ready,
		.data = gateway,
	};
	struct rr_front_port_options metrics = ready;
	struct rr_front_port_options peers = callers;

	gateway->callers = rr_new_front_port(gateway->ctx, &callers, error);
	if (!gateway->callers)
		return false;
	gateway->ready = rr_new_front_port(gateway->ctx, &ready, error);
	if (!gateway->ready)
		return false;
	if (settings->peer_address) {
		peers.address = settings->peer_address;
		peers.request = take_peers_request;
		gateway->peers = rr_new_front_port(gateway->ctx, &peers, error);
		if (!gateway->peers)
			return false;
	}
	if (!settings->metrics_address)
		return true;
	metrics.address = settings->metrics_address;
	metrics.request = answer_metrics;
	gateway->metrics = rr_new_front_port(gateway->ctx, &metrics, error);
	return gateway->metrics != NULL;
}

static void start_sources(struct rr_gateway *gateway)
{
	gateway->ticker = (struct tick_source *)g_source_new(
		&tick_funcs, sizeof(struct tick_source));
	gateway->ticker->gateway = gateway;
	g_source_attach(&gateway->ticker->source, NULL);
	gateway->signal_sources[0] =
		g_unix_signal_add(SIGTERM, begin_stop, gateway);
	gateway->signal_sources[1] =
		g_unix_signal_add(SIGINT, begin_stop, gateway);
	gateway->signal_sources[2] =
		g_unix_signal_add(SIGHUP, note_reload, gateway);
}

struct rr_gateway *rr_new_gateway(struct rr_context *ctx,
				  const struct rr_gateway_settings *settings,
				  GError **error)
{
	struct rr_gateway *gateway = g_new0(struct rr_gateway, 1);

	gateway->ctx = rr_keep_context(ctx);
	gateway->settings = settings;
	gateway->names = rr_platform_names();
	gateway->loop = g_main_loop_new(NULL, FALSE);
	gateway->lifecycle.stop_timeout_ms = settings->stop_timeout_ms;
	gateway->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, free_open_request);
	gateway->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	gateway->poller = rr_new_poller(error);
	if (!gateway->poller || !listen_all(gateway, error)) {
		rr_drop_gateway(gateway);
		return NULL;
	}
	make_clients(gateway);
	make_cores(gateway);
	start_sources(gateway);
	settle(gateway);
	return gateway;
}

void rr_drop_gateway(struct rr_gateway *gateway)
{
	if (!gateway)
		return;
	for (gsize i = 0; i < G_N_ELEMENTS(gateway->signal_sources); i++) {
		if (gateway->signal_sources[i])
			g_source_remove(gateway->signal_sources[i]);
	}
	if (gateway->ticker) {
		g_source_destroy(&gateway->ticker->source);
		g_source_unref(&gateway->ticker->source);
	}
	rr_drop_front_port(gateway->callers);
	rr_drop_front_port(gateway->ready);
	rr_drop_front_port(gateway->metrics);
	rr_drop_front_port(gateway->peers);
	rr_drop_replica_port(gateway->replicas);
	rr_drop_replica_port(gateway->store);
	rr_drop_replica_port(gateway->strong);
	rr_drop_feed(gateway->feed);
	rr_drop_gate(gateway->gate);
	g_hash_table_unref(gateway->requests);
	g_hash_table_unref(gateway->calls);
	rr_drop_poller(gateway->poller);
	g_main_loop_unref(gateway->loop);
	rr_drop_context(gateway->ctx);
	g_free(gateway);
}

void rr_run_gateway(struct rr_gateway *gateway)
{
	const struct rr_gateway_settings *settings = gateway->settings;

	rr_log(gateway->ctx, RR_LOG_INFO, "started",
	       RR_FIELD_STRING("instance", settings->instance),
	       RR_FIELD_STRING("zone", settings->zone),
	       RR_FIELD_STRING("callers", settings->caller_address),
	       RR_FIELD_STRING("store", settings->store_address));
	g_main_loop_run(gateway->loop);
	rr_log(gateway->ctx, RR_LOG_INFO, "stopped",
	       RR_FIELD_U64("requests",
			    rr_counter_value(gateway->ctx, RR_N_REQUESTS)),
	       RR_FIELD_U64("open", rr_gate_open_requests(gateway->gate)));
}
