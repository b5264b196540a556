/*
 * request-trace.c - event trace of one request, written as log lines.
 */
#include "core/request-trace.h"

#include "ragwort/log.h"

/* One in this many successful requests is logged. */
#define SAMPLE_INTERVAL 64
/* Unused lines are saved for this long. */
#define BURST_S 2

static const char *const event_names[] = {
	[RR_TRACE_SENT] = "sent",
	[RR_TRACE_REPLY] = "reply",
	[RR_TRACE_CANCELLED] = "withdrawn",
	[RR_TRACE_QUEUED] = "waits",
	[RR_TRACE_NOT_SENT] = "not-sent",
	[RR_TRACE_CALLER_CLOSED] = "caller-left",
};

static void clear_event(gpointer data)
{
	struct rr_trace_event *event = data;

	g_free(event->endpoint);
}

void rr_init_trace(struct rr_request_trace *trace)
{
	trace->events =
		g_array_new(FALSE, FALSE, sizeof(struct rr_trace_event));
	g_array_set_clear_func(trace->events, clear_event);
}

void rr_clear_trace(struct rr_request_trace *trace)
{
	g_clear_pointer(&trace->events, g_array_unref);
}

void rr_add_trace_event(struct rr_request_trace *trace,
			const struct rr_trace_event *event)
{
	struct rr_trace_event copy = *event;

	copy.endpoint = g_strdup(event->endpoint);
	g_array_append_val(trace->events, copy);
}

bool rr_take_log_lines(struct rr_log_budget *budget, int64_t now_us,
		       size_t lines, bool ordinary)
{
	double capacity = budget->lines_per_s * BURST_S;
	double passed_s =
		(double)(now_us - budget->refilled_us) / G_USEC_PER_SEC;
	double reserved = ordinary ? capacity / 2 : 0;

	budget->tokens =
		MIN(capacity, budget->tokens + passed_s * budget->lines_per_s);
	budget->refilled_us = now_us;
	if (budget->tokens - reserved < (double)lines)
		return false;
	budget->tokens -= (double)lines;
	return true;
}

static void log_attempt_event(struct rr_context *ctx,
			      const struct rr_trace_event *event,
			      const char *request, int64_t after_us)
{
	rr_log(ctx, RR_LOG_INFO, event_names[event->kind],
	       RR_FIELD_STRING("request", request),
	       RR_FIELD_I64("after_us", after_us),
	       RR_FIELD_U64("attempt", event->attempt),
	       RR_FIELD_STRING("service", event->service),
	       RR_FIELD_STRING("endpoint", event->endpoint),
	       RR_FIELD_STRING("reason", event->reason),
	       RR_FIELD_U64("status", event->status),
	       RR_FIELD_U64("in_flight", event->in_flight),
	       RR_FIELD_DOUBLE("slowness", event->slowness),
	       RR_FIELD_U64("pace_percent", event->pace_percent),
	       RR_FIELD_DOUBLE("extras_left", event->extras_left));
}

static void log_other_event(struct rr_context *ctx,
			    const struct rr_trace_event *event,
			    const char *request, int64_t after_us)
{
	rr_log(ctx, RR_LOG_INFO, event_names[event->kind],
	       RR_FIELD_STRING("request", request),
	       RR_FIELD_I64("after_us", after_us),
	       RR_FIELD_STRING("service", event->service),
	       RR_FIELD_STRING("reason", event->reason),
	       RR_FIELD_DOUBLE("extras_left", event->extras_left));
}

static void log_event(struct rr_context *ctx,
		      const struct rr_trace_event *event, const char *request,
		      int64_t started_us)
{
	if (event->attempt)
		log_attempt_event(ctx, event, request,
				  event->at_us - started_us);
	else
		log_other_event(ctx, event, request, event->at_us - started_us);
}

void rr_log_trace(struct rr_context *ctx, const struct rr_request_trace *trace,
		  const char *request, int64_t started_us)
{
	for (guint i = 0; i < trace->events->len; i++)
		log_event(
			ctx,
			&g_array_index(trace->events, struct rr_trace_event, i),
			request, started_us);
}

void rr_log_trace_matching(struct rr_context *ctx,
			   const struct rr_request_trace *trace,
			   const char *request, int64_t started_us,
			   bool (*matches)(void *data,
					   const struct rr_trace_event *event),
			   void *data)
{
	for (guint i = 0; i < trace->events->len; i++) {
		const struct rr_trace_event *event =
			&g_array_index(trace->events, struct rr_trace_event, i);

		if (matches(data, event))
			log_event(ctx, event, request, started_us);
	}
}

size_t rr_count_trace_events(
	const struct rr_request_trace *trace,
	bool (*matches)(void *data, const struct rr_trace_event *event),
	void *data)
{
	size_t n = 0;

	for (guint i = 0; i < trace->events->len; i++)
		n += matches(data, &g_array_index(trace->events,
						  struct rr_trace_event, i));
	return n;
}

bool rr_is_sampled(const char *request_id)
{
	return g_str_hash(request_id) % SAMPLE_INTERVAL == 0;
}
