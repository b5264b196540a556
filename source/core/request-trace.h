/*
 * request-trace.h - event trace of one request, logged when the request ends.
 *
 * Most requests succeed and are not worth logging.  Whether a request is to be
 * logged is known only when it ends, so its events are kept as small records
 * until then.  A trace is logged as a whole, in part or not at all.
 */
#ifndef RAGWORT_CORE_REQUEST_TRACE_H
#define RAGWORT_CORE_REQUEST_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ragwort/context.h"

enum rr_trace_event_kind {
	RR_TRACE_SENT,
	RR_TRACE_REPLY,
	RR_TRACE_CANCELLED,
	RR_TRACE_QUEUED,	/* no replica had capacity */
	RR_TRACE_NOT_SENT,	/* a hedge or retry that was not possible */
	RR_TRACE_CALLER_CLOSED, /* the caller closed the connection */
};

/* One decision and its inputs.  Strings are owned by the gate. */
struct rr_trace_event {
	int64_t at_us;
	enum rr_trace_event_kind kind;
	const char *reason;  /* or the outcome */
	const char *service; /* or NULL */
	char *endpoint;	     /* or NULL; owned by the trace */
	uint64_t attempt;    /* 0: not about an attempt */
	uint32_t status;
	uint32_t in_flight;
	double slowness;
	uint32_t pace_percent; /* last reported by the replica; 0: none */
	double extras_left;    /* of the service, at that time */
};

struct rr_request_trace {
	GArray *events; /* struct rr_trace_event */
};

/* Rate limit on log lines; unused lines are saved for two seconds. */
struct rr_log_budget {
	double tokens; /* lines that may be written now */
	double lines_per_s;
	int64_t refilled_us;
};

/* Initialise an empty trace; rr_clear_trace() frees its contents. */
void rr_init_trace(struct rr_request_trace *trace);
void rr_clear_trace(struct rr_request_trace *trace);
/* Append an event; the id of the endpoint is copied. */
void rr_add_trace_event(struct rr_request_trace *trace,
			const struct rr_trace_event *event);
/*
 * Charge the lines of a trace to the budget.  Return false if there are too few
 * left.  Traces of `ordinary` requests leave half of the capacity in reserve,
 * so that failed requests can still be logged.
 */
bool rr_take_log_lines(struct rr_log_budget *budget, int64_t now_us,
		       size_t lines, bool ordinary);
/* Log the events of a request that started at `started_us`. */
void rr_log_trace(struct rr_context *ctx, const struct rr_request_trace *trace,
		  const char *request, int64_t started_us);
/* Log, or count, only the events for which `matches` returns true. */
void rr_log_trace_matching(struct rr_context *ctx,
			   const struct rr_request_trace *trace,
			   const char *request, int64_t started_us,
			   bool (*matches)(void *data,
					   const struct rr_trace_event *event),
			   void *data);
size_t rr_count_trace_events(
	const struct rr_request_trace *trace,
	bool (*matches)(void *data, const struct rr_trace_event *event),
	void *data);
/* Whether a request with this id is logged even if it succeeds. */
bool rr_is_sampled(const char *request_id);

#endif
