/*
 * request-trace.c - the decisions of one request as log lines.
 */
#include "core/request-trace.h"

#include "ragwort/log.h"

/* One request in so many is told though it went well. */
#define SAMPLE 64
#define SAVED_S 2

static const char *const names[] = {
	[RR_TRACE_SENT] = "sent",
	[RR_TRACE_REPLY] = "reply",
	[RR_TRACE_CANCELLED] = "withdrawn",
	[RR_TRACE_QUEUED] = "waits",
	[RR_TRACE_NOT_SENT] = "not-sent",
	[RR_TRACE_CALLER_CLOSED] = "caller-left",
};

static void clear_step(gpointer data)
{
	struct rr_trace_event *step = data;

	g_free(step->endpoint);
}

void rr_init_trace(struct rr_request_trace *trail)
{
	trail->events =
		g_array_new(FALSE, FALSE, sizeof(struct rr_trace_event));
	g_array_set_clear_func(trail->events, clear_step);
}

void rr_clear_trace(struct rr_request_trace *trail)
{
	g_clear_pointer(&trail->events, g_array_unref);
}

void rr_add_trace_event(struct rr_request_trace *trail,
			const struct rr_trace_event *step)
{
	struct rr_trace_event kept = *step;

	kept.endpoint = g_strdup(step->endpoint);
	g_array_append_val(trail->events, kept);
}

bool rr_take_log_lines(struct rr_log_budget *budget, int64_t now_us,
		       size_t lines, bool ordinary)
{
	double most = budget->lines_per_s * SAVED_S;
	double passed_s =
		(double)(now_us - budget->refilled_us) / G_USEC_PER_SEC;
	double kept_back = ordinary ? most / 2 : 0;

	budget->tokens =
		MIN(most, budget->tokens + passed_s * budget->lines_per_s);
	budget->refilled_us = now_us;
	if (budget->tokens - kept_back < (double)lines)
		return false;
	budget->tokens -= (double)lines;
	return true;
}

static void write_attempt(struct rr_context *ctx,
			  const struct rr_trace_event *step,
			  const char *request, int64_t after_us)
{
	rr_log(ctx, RR_LOG_INFO, names[step->kind],
	       RR_FIELD_STRING("request", request),
	       RR_FIELD_I64("after_us", after_us),
	       RR_FIELD_U64("attempt", step->attempt),
	       RR_FIELD_STRING("service", step->service),
	       RR_FIELD_STRING("endpoint", step->endpoint),
	       RR_FIELD_STRING("reason", step->reason),
	       RR_FIELD_U64("status", step->status),
	       RR_FIELD_U64("in_flight", step->in_flight),
	       RR_FIELD_DOUBLE("slowness", step->slowness),
	       RR_FIELD_U64("pace_percent", step->pace_percent),
	       RR_FIELD_DOUBLE("extras_left", step->extras_left));
}

static void write_other(struct rr_context *ctx,
			const struct rr_trace_event *step, const char *request,
			int64_t after_us)
{
	rr_log(ctx, RR_LOG_INFO, names[step->kind],
	       RR_FIELD_STRING("request", request),
	       RR_FIELD_I64("after_us", after_us),
	       RR_FIELD_STRING("service", step->service),
	       RR_FIELD_STRING("reason", step->reason),
	       RR_FIELD_DOUBLE("extras_left", step->extras_left));
}

static void write_step(struct rr_context *ctx,
		       const struct rr_trace_event *step, const char *request,
		       int64_t began_us)
{
	if (step->attempt)
		write_attempt(ctx, step, request, step->at_us - began_us);
	else
		write_other(ctx, step, request, step->at_us - began_us);
}

void rr_log_trace(struct rr_context *ctx, const struct rr_request_trace *trail,
		  const char *request, int64_t began_us)
{
	for (guint i = 0; i < trail->events->len; i++)
		write_step(
			ctx,
			&g_array_index(trail->events, struct rr_trace_event, i),
			request, began_us);
}

void rr_log_trace_matching(struct rr_context *ctx,
			   const struct rr_request_trace *trail,
			   const char *request, int64_t began_us,
			   bool (*wanted)(void *data,
					  const struct rr_trace_event *step),
			   void *data)
{
	for (guint i = 0; i < trail->events->len; i++) {
		const struct rr_trace_event *step =
			&g_array_index(trail->events, struct rr_trace_event, i);

		if (wanted(data, step))
			write_step(ctx, step, request, began_us);
	}
}

size_t rr_count_trace_events(const struct rr_request_trace *trail,
			     bool (*wanted)(void *data,
					    const struct rr_trace_event *step),
			     void *data)
{
	size_t n = 0;

	for (guint i = 0; i < trail->events->len; i++)
		n += wanted(data, &g_array_index(trail->events,
						 struct rr_trace_event, i));
	return n;
}

bool rr_is_sampled(const char *request_id)
{
	return g_str_hash(request_id) % SAMPLE == 0;
}
