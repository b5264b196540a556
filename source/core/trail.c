/*
 * trail.c - the decisions of one request as log lines.
 */
#include "core/trail.h"

#include "ragwort/log.h"

/* One request in so many is told though it went well. */
#define SAMPLE 64
#define SAVED_S 2

static const char *const names[] = {
	[RR_TRAIL_SENT] = "sent",	    [RR_TRAIL_REPLY] = "reply",
	[RR_TRAIL_WITHDRAWN] = "withdrawn", [RR_TRAIL_WAITS] = "waits",
	[RR_TRAIL_NOT_SENT] = "not-sent",   [RR_TRAIL_LEFT] = "caller-left",
};

static void clear_step(gpointer data)
{
	struct rr_trail_step *step = data;

	g_free(step->endpoint);
}

void rr_init_trail(struct rr_trail *trail)
{
	trail->steps = g_array_new(FALSE, FALSE, sizeof(struct rr_trail_step));
	g_array_set_clear_func(trail->steps, clear_step);
}

void rr_clear_trail(struct rr_trail *trail)
{
	g_clear_pointer(&trail->steps, g_array_unref);
}

void rr_note_step(struct rr_trail *trail, const struct rr_trail_step *step)
{
	struct rr_trail_step kept = *step;

	kept.endpoint = g_strdup(step->endpoint);
	g_array_append_val(trail->steps, kept);
}

bool rr_take_trail_lines(struct rr_trail_budget *budget, int64_t now_us,
			 size_t lines, bool ordinary)
{
	double most = budget->per_s * SAVED_S;
	double passed_s = (double)(now_us - budget->filled_us) / G_USEC_PER_SEC;
	double kept_back = ordinary ? most / 2 : 0;

	budget->tokens = MIN(most, budget->tokens + passed_s * budget->per_s);
	budget->filled_us = now_us;
	if (budget->tokens - kept_back < (double)lines)
		return false;
	budget->tokens -= (double)lines;
	return true;
}

static void write_attempt(struct rr_context *ctx,
			  const struct rr_trail_step *step, const char *request,
			  int64_t after_us)
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
			const struct rr_trail_step *step, const char *request,
			int64_t after_us)
{
	rr_log(ctx, RR_LOG_INFO, names[step->kind],
	       RR_FIELD_STRING("request", request),
	       RR_FIELD_I64("after_us", after_us),
	       RR_FIELD_STRING("service", step->service),
	       RR_FIELD_STRING("reason", step->reason),
	       RR_FIELD_DOUBLE("extras_left", step->extras_left));
}

static void write_step(struct rr_context *ctx, const struct rr_trail_step *step,
		       const char *request, int64_t began_us)
{
	if (step->attempt)
		write_attempt(ctx, step, request, step->at_us - began_us);
	else
		write_other(ctx, step, request, step->at_us - began_us);
}

void rr_write_steps(struct rr_context *ctx, const struct rr_trail *trail,
		    const char *request, int64_t began_us)
{
	for (guint i = 0; i < trail->steps->len; i++)
		write_step(
			ctx,
			&g_array_index(trail->steps, struct rr_trail_step, i),
			request, began_us);
}

void rr_write_some_steps(struct rr_context *ctx, const struct rr_trail *trail,
			 const char *request, int64_t began_us,
			 bool (*wanted)(void *data,
					const struct rr_trail_step *step),
			 void *data)
{
	for (guint i = 0; i < trail->steps->len; i++) {
		const struct rr_trail_step *step =
			&g_array_index(trail->steps, struct rr_trail_step, i);

		if (wanted(data, step))
			write_step(ctx, step, request, began_us);
	}
}

size_t rr_count_steps(const struct rr_trail *trail,
		      bool (*wanted)(void *data,
				     const struct rr_trail_step *step),
		      void *data)
{
	size_t n = 0;

	for (guint i = 0; i < trail->steps->len; i++)
		n += wanted(data, &g_array_index(trail->steps,
						 struct rr_trail_step, i));
	return n;
}

bool rr_is_sampled(const char *request_id)
{
	return g_str_hash(request_id) % SAMPLE == 0;
}
