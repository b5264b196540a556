/*
 * explain.h - what happened to one request, from the lines of logs.
 */
#ifndef TOOL_EXPLAIN_H
#define TOOL_EXPLAIN_H

#include <glib.h>

#include "tool/log-line.h"

/* The lines that tell of a request, and of what was believed meanwhile. */
struct rr_logged_trace {
	GPtrArray *lines; /* struct rr_log_line of the request, in order */
	GPtrArray *
		state_changes; /* of replicas, zones and the store, before it */
};

/* `lines` are struct rr_log_line; the story keeps pointers to them. */
struct rr_logged_trace *rr_collect_logged_trace(const GPtrArray *lines,
						const char *request);
void rr_free_logged_trace(struct rr_logged_trace *story);
/* Append an account that a person reads, with a time line. */
void rr_format_logged_trace(const struct rr_logged_trace *story,
			    const char *request, GString *out);
/* Append the cause in one sentence, as far as the lines tell. */
void rr_format_cause(const struct rr_logged_trace *story, GString *out);

#endif
