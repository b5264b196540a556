/*
 * http-listener-limits.c - closes connections that time out, that hold memory
 * while it is short, or that keep others from being accepted.
 */
#include "net/http-listener-private.h"

#include "ragwort/counters.h"
#include "ragwort/log.h"

/* Period of the timeout check; the timeouts are of the order of seconds. */
#define CHECK_PERIOD_US (250 * 1000)
#define BODY_TIMEOUT_FACTOR 4 /* a body may take this many header timeouts */
/* A caller that does not read its response is disconnected after this time. */
#define WRITE_TIMEOUT_US (10 * G_USEC_PER_SEC)
/*
 * How long a connection stays after a rejection that leaves bytes unread, so
 * that the caller reads the response before a reset: a round trip and a margin.
 */
#define LINGER_US (200 * 1000)
/*
 * Connections that may be replaced while callers wait to be accepted: idle ones
 * on which no request can be on its way, and requests that arrive slowly.
 */
#define MIN_REPLACED_IDLE_US (250 * 1000)
#define MIN_REPLACED_REQUEST_US G_USEC_PER_SEC

/* Returns when the connection's state times out, INT64_MAX for never. */
static int64_t get_deadline(const struct rr_caller_conn *caller)
{
	const struct rr_caller_limits *limits = &caller->listener->limits;
	int64_t timeout_ms = 0;

	switch (caller->state) {
	case CALLER_READING:
		if (!rr_http_is_started(caller->reader))
			timeout_ms = limits->idle_timeout_ms;
		else if (!rr_http_has_headers(caller->reader))
			timeout_ms = limits->header_timeout_ms;
		else
			timeout_ms = (int64_t)limits->header_timeout_ms *
				     BODY_TIMEOUT_FACTOR;
		break;
	case CALLER_OPEN:
		break;
	case CALLER_WRITING:
		return caller->since_us + WRITE_TIMEOUT_US;
	case CALLER_CLOSING:
		return caller->since_us + LINGER_US;
	}
	return timeout_ms ? caller->since_us + timeout_ms * 1000 : INT64_MAX;
}

/* Closes a timed-out connection, with a 408 if it has started a request. */
static void close_overdue(struct rr_caller_conn *caller)
{
	rr_count(caller->listener->ctx, RR_N_CALLER_CONNS_TIMED_OUT, 1);
	if (caller->state != CALLER_READING ||
	    !rr_http_is_started(caller->reader)) {
		rr_free_caller_conn(caller);
		return;
	}
	rr_reject_incomplete_request(caller, 408);
}

/* Returns rr_memory_cost() of a caller that may be closed, otherwise 0. */
static double get_memory_cost(struct rr_caller_conn *caller, int64_t now_us)
{
	if (caller->state != CALLER_WRITING &&
	    (caller->state != CALLER_READING || rr_is_idle_caller(caller)))
		return 0;
	rr_update_caller_memory(caller);
	return rr_memory_cost(&caller->memory, now_us - caller->since_us);
}

/* Returns the caller to close first to release memory, or NULL. */
static struct rr_caller_conn *find_memory_hog(struct rr_http_listener *listener,
					      int64_t now_us)
{
	struct rr_caller_conn *found = NULL;
	double greatest = 0;

	for (GList *l = listener->callers.head; l; l = l->next) {
		double cost = get_memory_cost(l->data, now_us);

		if (cost <= greatest)
			continue;
		greatest = cost;
		found = l->data;
	}
	return found;
}

/* Returns the text of a connection's state for the log. */
static const char *describe_state(const struct rr_caller_conn *caller)
{
	if (rr_is_idle_caller(caller))
		return "idle";
	return caller->state == CALLER_WRITING ? "response-unread" :
						 "request-incomplete";
}

static void report_closed(struct rr_caller_conn *caller, const char *reason)
{
	struct rr_context *ctx = caller->listener->ctx;
	char *ip = rr_stream_peer_ip(caller->stream);

	rr_count(ctx, RR_N_CALLER_CONNS_RECLAIMED, 1);
	rr_log(ctx, RR_LOG_WARNING, "caller-closed",
	       RR_FIELD_STRING("reason", reason), RR_FIELD_STRING("caller", ip),
	       RR_FIELD_STRING("state", describe_state(caller)),
	       RR_FIELD_U64("bytes", caller->memory.held_bytes),
	       RR_FIELD_U64("requests", caller->n_requests));
	g_free(ip);
}

static void release_memory(struct rr_http_listener *listener, int64_t now_us)
{
	struct rr_caller_conn *caller;

	while (rr_memory_shortage_bytes(listener->options.memory) &&
	       (caller = find_memory_hog(listener, now_us))) {
		report_closed(caller, "memory-short");
		if (caller->state == CALLER_WRITING)
			rr_free_caller_conn(caller);
		else
			rr_reject_incomplete_request(caller, 503);
	}
}

/* Returns whether replacing `a` harms callers less than replacing `b`. */
static bool is_used_less(const struct rr_caller_conn *a,
			 const struct rr_caller_conn *b)
{
	if (!a->n_requests != !b->n_requests)
		return !a->n_requests;
	return a->since_us < b->since_us;
}

/*
 * Returns an idle connection to replace: the oldest one that was never used, or
 * else the one that has been idle for longest; NULL if there is none.
 */
static struct rr_caller_conn *
find_idle_caller(const struct rr_http_listener *listener, int64_t now_us)
{
	struct rr_caller_conn *found = NULL;

	for (GList *l = listener->callers.head; l; l = l->next) {
		struct rr_caller_conn *caller = l->data;

		if (!rr_is_idle_caller(caller) ||
		    now_us - caller->since_us < MIN_REPLACED_IDLE_US ||
		    (found && !is_used_less(caller, found)) ||
		    rr_stream_has_input(caller->stream))
			continue;
		found = caller;
		if (!caller->n_requests)
			break;
	}
	return found;
}

/* Rejects requests that arrive slowly; their connections close soon. */
static void reject_slow_requests(struct rr_http_listener *listener,
				 int64_t now_us)
{
	GList *next;

	for (GList *l = listener->callers.head; l; l = next) {
		struct rr_caller_conn *caller = l->data;

		next = l->next;
		if (caller->state != CALLER_READING ||
		    rr_is_idle_caller(caller) ||
		    now_us - caller->since_us < MIN_REPLACED_REQUEST_US)
			continue;
		report_closed(caller, "connection-limit");
		rr_reject_incomplete_request(caller, 408);
	}
}

bool rr_make_room_for_caller(struct rr_http_listener *listener)
{
	int64_t now_us = g_get_monotonic_time();
	struct rr_caller_conn *caller = find_idle_caller(listener, now_us);

	if (!caller) {
		reject_slow_requests(listener, now_us);
		return false;
	}
	report_closed(caller, "connection-limit");
	rr_free_caller_conn(caller);
	return true;
}

void rr_tick_http_listener(struct rr_http_listener *listener, int64_t now_us)
{
	GList *next;

	if (rr_is_memory_short(listener->options.memory) &&
	    now_us >= listener->memory_checked_us + RR_MEMORY_CHECK_US) {
		listener->memory_checked_us = now_us;
		release_memory(listener, now_us);
	}
	if (now_us < listener->checked_us + CHECK_PERIOD_US)
		return;
	listener->checked_us = now_us;
	for (GList *l = listener->callers.head; l; l = next) {
		struct rr_caller_conn *caller = l->data;

		next = l->next;
		if (get_deadline(caller) <= now_us)
			close_overdue(caller);
	}
	if (listener->must_retry_accept)
		rr_accept_callers(listener);
}

int64_t rr_http_listener_wake_us(const struct rr_http_listener *listener)
{
	int64_t wake_us = INT64_MAX;

	for (GList *l = listener->callers.head; l; l = l->next)
		wake_us = MIN(wake_us, get_deadline(l->data));
	if (listener->must_retry_accept)
		wake_us = MIN(wake_us, listener->checked_us + CHECK_PERIOD_US);
	return wake_us == INT64_MAX ?
		       wake_us :
		       MAX(wake_us, listener->checked_us + CHECK_PERIOD_US);
}
