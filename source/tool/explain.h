/*
 * explain.h - trace of one request, collected from log lines.
 */
#ifndef TOOL_EXPLAIN_H
#define TOOL_EXPLAIN_H

#include <glib.h>

#include "tool/log-line.h"

/* Log lines of a request, and state changes that may explain its outcome. */
struct rr_logged_trace {
	/* struct rr_log_line of the request, by time since its start */
	GPtrArray *lines;
	/* struct rr_log_line of replicas, zones, the store; before its end */
	GPtrArray *state_changes;
};

/*
 * Collect the lines of a request from an array of struct rr_log_line, which
 * must outlive the result: it holds pointers to them.
 */
struct rr_logged_trace *rr_collect_logged_trace(const GPtrArray *lines,
						const char *request);
void rr_free_logged_trace(struct rr_logged_trace *trace);
/* Append a human-readable report with a timeline. */
void rr_format_logged_trace(const struct rr_logged_trace *trace,
			    const char *request, GString *out);
/* Append the cause in one sentence, as far as the lines show it. */
void rr_format_cause(const struct rr_logged_trace *trace, GString *out);

#endif
