/*
 * request-trace.h - what was decided for one request, kept until its end and then
 * told whole or not at all.
 *
 * Most requests go well and are not worth their lines.  Which ones are is
 * known only at the end, so decisions are kept as small records meanwhile.
 */
#ifndef RAGWORT_CORE_TRAIL_H
#define RAGWORT_CORE_TRAIL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"

enum rr_trace_event_kind {
	RR_TRACE_SENT,
	RR_TRACE_REPLY,
	RR_TRACE_CANCELLED,
	RR_TRACE_QUEUED,	/* no replica had room */
	RR_TRACE_NOT_SENT,	/* a hedge or repeat that could not be */
	RR_TRACE_CALLER_CLOSED, /* its caller closed */
};

/* One decision with what decided it; strings live as long as the gate. */
struct rr_trace_event {
	int64_t at_us;
	enum rr_trace_event_kind kind;
	const char *reason;  /* or outcome */
	const char *service; /* may be NULL, and those below */
	char *endpoint;	     /* the trail's */
	uint64_t attempt;
	uint32_t status;
	uint32_t in_flight;
	double slowness;
	uint32_t pace_percent; /* that the replica last told; 0: it did not */
	double extras_left;    /* of the service, when it was decided */
};

struct rr_request_trace {
	GArray *events; /* struct rr_trace_event */
};

/* Lines that may be written: so many a second, saved up for two. */
struct rr_log_budget {
	double tokens;
	double lines_per_s;
	int64_t refilled_us;
};

void rr_init_trace(struct rr_request_trace *trail);
void rr_clear_trace(struct rr_request_trace *trail);
/* Keep a step; the endpoint's id is copied. */
void rr_add_trace_event(struct rr_request_trace *trail,
			const struct rr_trace_event *step);
/*
 * Take the lines of a trail from the budget.  Ordinary ones get only what is
 * left while half of it is saved, so that those that went wrong find room.
 */
bool rr_take_log_lines(struct rr_log_budget *budget, int64_t now_us,
		       size_t lines, bool ordinary);
/* Write the steps of a request that began at `began_us`. */
void rr_log_trace(struct rr_context *ctx, const struct rr_request_trace *trail,
		  const char *request, int64_t began_us);
/* Those steps only that are wanted; how many these are. */
void rr_log_trace_matching(struct rr_context *ctx,
			   const struct rr_request_trace *trail,
			   const char *request, int64_t began_us,
			   bool (*wanted)(void *data,
					  const struct rr_trace_event *step),
			   void *data);
size_t rr_count_trace_events(const struct rr_request_trace *trail,
			     bool (*wanted)(void *data,
					    const struct rr_trace_event *step),
			     void *data);
/* Whether this id is among those told although they went well. */
bool rr_is_sampled(const char *request_id);

#endif
