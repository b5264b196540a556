/*
 * explain-print.c - report of a request's trace and its cause.
 */
#include <string.h>

#include "tool/explain.h"

/* Width of the timeline in characters. */
#define TIMELINE_WIDTH 60

static const struct rr_log_line *line_at(const GPtrArray *lines, guint i)
{
	return g_ptr_array_index(lines, i);
}

/* Return the line of the final outcome, or NULL if it is missing. */
static const struct rr_log_line *
find_final_line(const struct rr_logged_trace *trace)
{
	for (guint i = 0; i < trace->lines->len; i++) {
		const struct rr_log_line *line = line_at(trace->lines, i);

		if (rr_is_log_event(line, "answered") ||
		    rr_is_log_event(line, "turned-away"))
			return line;
	}
	return NULL;
}

static double field_ms(const struct rr_log_line *line, const char *key)
{
	return rr_get_log_field_number(line, key) / 1000;
}

/* List the services in the order in which the request reached them. */
static GPtrArray *list_services(const struct rr_logged_trace *trace)
{
	GPtrArray *services = g_ptr_array_new();

	for (guint i = 0; i < trace->lines->len; i++) {
		const char *service =
			rr_get_log_field(line_at(trace->lines, i), "service");

		if (*service && !g_ptr_array_find_with_equal_func(
					services, service, g_str_equal, NULL))
			g_ptr_array_add(services, (gpointer)service);
	}
	return services;
}

static bool is_service_line(const struct rr_log_line *line, const char *service)
{
	return !strcmp(rr_get_log_field(line, "service"), service);
}

/* Return whether the lines show a successful reply of a service. */
static bool has_success(const struct rr_logged_trace *trace,
			const char *service)
{
	for (guint i = 0; i < trace->lines->len; i++) {
		const struct rr_log_line *line = line_at(trace->lines, i);
		double status = rr_get_log_field_number(line, "status");

		if (is_service_line(line, service) &&
		    rr_is_log_event(line, "reply") &&
		    !strcmp(rr_get_log_field(line, "reason"), "answered") &&
		    status >= 200 && status < 300)
			return true;
	}
	return false;
}

/* Return the last line of a service, which has its final state. */
static const struct rr_log_line *
last_service_line(const struct rr_logged_trace *trace, const char *service)
{
	const struct rr_log_line *last = NULL;

	for (guint i = 0; i < trace->lines->len; i++) {
		if (is_service_line(line_at(trace->lines, i), service))
			last = line_at(trace->lines, i);
	}
	return last;
}

/* Return why the answer lacks the part that a service provides. */
static const char *explain_missing_part(const struct rr_logged_trace *trace,
					const char *service)
{
	const struct rr_log_line *last = last_service_line(trace, service);
	const char *reason = rr_get_log_field(last, "reason");

	if (rr_is_log_event(last, "withdrawn"))
		return "its replica had not replied when the answer was due";
	if (rr_is_log_event(last, "waits"))
		return "no replica of it had free capacity";
	if (rr_is_log_event(last, "not-sent") && !strcmp(reason, "no-replica"))
		return "all its replicas had been tried or seemed unreachable";
	if (rr_is_log_event(last, "not-sent") && !strcmp(reason, "evacuated"))
		return "its replicas are in evacuated zones only";
	if (rr_is_log_event(last, "not-sent") &&
	    !strcmp(reason, "no-extra-left"))
		return "the retry budget was exhausted";
	if (rr_is_log_event(last, "reply") && !strcmp(reason, "refused"))
		return "its replica rejected the attempt for lack of capacity";
	if (rr_is_log_event(last, "reply") && !strcmp(reason, "unsent"))
		return "no connection to its replica could be established";
	if (rr_is_log_event(last, "reply"))
		return "its replica's reply was lost or invalid";
	return "its replica had not replied by the end";
}

/* Append the counts of missing parts by reason, if the final line has any. */
static void format_missing_reasons(const struct rr_log_line *end, GString *out)
{
	static const struct {
		const char *field;
		const char *description;
	} missing_reasons[] = {
		{ "lacks_waiting", "had no replica with free capacity" },
		{ "lacks_evacuated", "had replicas in evacuated zones only" },
		{ "lacks_no_replica", "had no replica to try" },
		{ "lacks_no_extra", "had one slow replica and no retry budget "
				    "left" },
		{ "lacks_one_asked", "had one slow replica and no other to try "
				     "or no time for it" },
		{ "lacks_more_asked", "had only slow replicas" },
	};
	bool found = false;

	for (gsize i = 0; i < G_N_ELEMENTS(missing_reasons); i++) {
		if (rr_get_log_field_number(end, missing_reasons[i].field) <= 0)
			continue;
		g_string_append_printf(
			out, "; %s %s",
			rr_get_log_field(end, missing_reasons[i].field),
			missing_reasons[i].description);
		found = true;
	}
	if (!found)
		g_string_append(out,
				"; the reason of each is not in these lines: "
				"see the earlier state changes");
}

static void format_missing(const struct rr_logged_trace *trace,
			   const struct rr_log_line *end, GString *out)
{
	GPtrArray *services = list_services(trace);

	for (guint i = 0; i < services->len; i++) {
		const char *service = g_ptr_array_index(services, i);

		if (!has_success(trace, service))
			g_string_append_printf(
				out, "; %s: %s", service,
				explain_missing_part(trace, service));
	}
	if (rr_get_log_field_number(end, "steps_left_out") > 0) {
		g_string_append_printf(out, "; %s of %s parts missing",
				       rr_get_log_field(end, "missing"),
				       rr_get_log_field(end, "parts"));
		format_missing_reasons(end, out);
	}
	g_ptr_array_unref(services);
}

static const char *describe_rejection(const char *reason)
{
	if (!strcmp(reason, "no-replica"))
		return "too few of the services it needs had a replica that "
		       "responded";
	if (!strcmp(reason, "evacuated"))
		return "too few of the services it needs have a replica "
		       "outside the zones that the operators evacuated";
	if (!strcmp(reason, "overrun"))
		return "the load exceeds what the replicas can process in time";
	if (!strcmp(reason, "refused-there"))
		return "the coordinator that it was forwarded to rejected it: "
		       "no replica had free capacity there either";
	if (!strcmp(reason, "no-routes"))
		return "this instance had no configuration yet";
	if (!strcmp(reason, "no-route"))
		return "the configuration in force has no such route";
	if (!strcmp(reason, "quarantined"))
		return "replicas crashed while running it before, and it is "
		       "quarantined";
	if (!strcmp(reason, "crashes-replicas"))
		return "the replicas that ran it crashed";
	if (!strcmp(reason, "time-over"))
		return "its deadline had passed";
	if (!strcmp(reason, "no-key"))
		return "it had no key of a client account, or more than one";
	if (!strcmp(reason, "unknown-key"))
		return "no account of the configuration in force has its key";
	if (!strcmp(reason, "key-revoked"))
		return "its key was taken away while it waited";
	if (!strcmp(reason, "over-allowance"))
		return "its account's allowance was spent";
	if (!strcmp(reason, "allowance-unknown"))
		return "no instance that may grant from its account's "
		       "allowance was reached";
	if (!strcmp(reason, "too-few-parts"))
		return "so many parts failed that the minimum share could no "
		       "longer be reached";
	return reason;
}

void rr_format_cause(const struct rr_logged_trace *trace, GString *out)
{
	const struct rr_log_line *end = find_final_line(trace);
	const char *reason;
	double status;

	if (!end) {
		g_string_append(out, "the line of its outcome is missing");
		return;
	}
	status = rr_get_log_field_number(end, "status");
	reason = rr_get_log_field(end, "reason");
	if (status == 503 || status == 429) {
		g_string_append_printf(out, "rejected, and not run: %s",
				       describe_rejection(reason));
	} else if (status >= 400) {
		g_string_append_printf(out, "failed: %s",
				       describe_rejection(reason));
	} else if (!strcmp(reason, "caller-gone")) {
		g_string_append(out, "its caller disconnected first");
		return;
	} else if (rr_get_log_field_number(end, "missing") > 0) {
		g_string_append(out, "partial");
	} else if (!strcmp(rr_get_log_field(end, "late"), "true")) {
		g_string_append(out, "complete, but late");
		return;
	} else {
		g_string_append(out, "answered completely and in time");
		return;
	}
	if (rr_get_log_field_number(end, "may_have_run") > 0 || status < 400)
		format_missing(trace, end, out);
}

static void format_summary(const struct rr_logged_trace *trace,
			   const char *request, GString *out)
{
	const struct rr_log_line *end = find_final_line(trace);

	g_string_append_printf(out, "request %s", request);
	if (!end) {
		g_string_append(out, ": its outcome is not in these lines\n");
		return;
	}
	if (*rr_get_log_field(end, "instance"))
		g_string_append_printf(out, " at %s",
				       rr_get_log_field(end, "instance"));
	if (*rr_get_log_field(end, "fingerprint"))
		g_string_append_printf(out, ", fingerprint %s",
				       rr_get_log_field(end, "fingerprint"));
	if (*rr_get_log_field(end, "account"))
		g_string_append_printf(out, ", account %s",
				       rr_get_log_field(end, "account"));
	if (rr_is_log_event(end, "turned-away")) {
		g_string_append_printf(out,
				       ": rejected with %s, configuration %s\n",
				       rr_get_log_field(end, "status"),
				       rr_get_log_field(end, "version"));
		return;
	}
	g_string_append_printf(
		out,
		", route %s, configuration %s (in force for %.1f s)\n"
		"ended with %s (%s) after %.1f ms; latency objective %.1f "
		"ms, deadline %.1f ms\n%.0f of %.0f parts, %s attempts may "
		"have run\n",
		rr_get_log_field(end, "route"),
		rr_get_log_field(end, "version"),
		field_ms(end, "version_age_us") / 1000,
		rr_get_log_field(end, "status"),
		rr_get_log_field(end, "reason"), field_ms(end, "after_us"),
		field_ms(end, "objective_us"), field_ms(end, "end_us"),
		rr_get_log_field_number(end, "parts") -
			rr_get_log_field_number(end, "missing"),
		rr_get_log_field_number(end, "parts"),
		rr_get_log_field(end, "may_have_run"));
	if (rr_get_log_field_number(end, "steps_left_out") > 0)
		g_string_append_printf(out,
				       "%s steps were omitted by the limit of "
				       "the log\n",
				       rr_get_log_field(end, "steps_left_out"));
}

static void format_step(const struct rr_log_line *line, GString *out)
{
	g_string_append_printf(out, "  %8.1f ms  %-10s %-10s %s",
			       field_ms(line, "after_us"),
			       rr_get_log_field(line, "event"),
			       rr_get_log_field(line, "service"),
			       rr_get_log_field(line, "reason"));
	if (*rr_get_log_field(line, "endpoint"))
		g_string_append_printf(
			out,
			" %s (in flight %s, slowness %.1f, retry budget %.1f)",
			rr_get_log_field(line, "endpoint"),
			rr_get_log_field(line, "in_flight"),
			rr_get_log_field_number(line, "slowness"),
			rr_get_log_field_number(line, "extras_left"));
	if (rr_get_log_field_number(line, "status") > 0)
		g_string_append_printf(out, " status %s",
				       rr_get_log_field(line, "status"));
	g_string_append_c(out, '\n');
}

static void format_steps(const struct rr_logged_trace *trace, GString *out)
{
	g_string_append(out, "steps:\n");
	for (guint i = 0; i < trace->lines->len; i++) {
		const struct rr_log_line *line = line_at(trace->lines, i);

		if (line != find_final_line(trace))
			format_step(line, out);
	}
}

/* Return the character of a step in the timeline. */
static char step_symbol(const struct rr_log_line *line)
{
	const char *reason = rr_get_log_field(line, "reason");

	if (rr_is_log_event(line, "sent"))
		return !strcmp(reason, "first") ? 'S' : *reason;
	if (rr_is_log_event(line, "reply"))
		return !strcmp(reason, "answered") ? 'A' : '!';
	if (rr_is_log_event(line, "withdrawn"))
		return 'x';
	return rr_is_log_event(line, "waits") ? 'w' : '-';
}

static void format_timeline(const struct rr_logged_trace *trace, GString *out)
{
	GPtrArray *services = list_services(trace);
	double end_us = 1;

	for (guint i = 0; i < trace->lines->len; i++)
		end_us = MAX(end_us,
			     rr_get_log_field_number(line_at(trace->lines, i),
						     "after_us"));
	if (services->len)
		g_string_append_printf(
			out,
			"timeline, 0 to %.1f ms (S sent, h hedge, r repeat or "
			"room, A answered, ! lost, x cancelled, w waiting):\n",
			end_us / 1000);
	for (guint i = 0; i < services->len; i++) {
		const char *service = g_ptr_array_index(services, i);
		char timeline[TIMELINE_WIDTH + 1];

		memset(timeline, '.', TIMELINE_WIDTH);
		timeline[TIMELINE_WIDTH] = '\0';
		for (guint j = 0; j < trace->lines->len; j++) {
			const struct rr_log_line *line =
				line_at(trace->lines, j);
			double at = rr_get_log_field_number(line, "after_us") /
				    end_us;

			if (is_service_line(line, service))
				timeline[(size_t)(at * (TIMELINE_WIDTH - 1))] =
					step_symbol(line);
		}
		g_string_append_printf(out, "  %-10s |%s|\n", service,
				       timeline);
	}
	g_ptr_array_unref(services);
}

static void format_state_changes(const struct rr_logged_trace *trace,
				 GString *out)
{
	int64_t end_us = 0;

	if (!trace->state_changes->len)
		return;
	for (guint i = 0; i < trace->lines->len; i++)
		end_us = MAX(end_us, line_at(trace->lines, i)->time_us);
	g_string_append(out, "earlier state changes:\n");
	for (guint i = 0; i < trace->state_changes->len; i++) {
		const struct rr_log_line *line =
			line_at(trace->state_changes, i);
		const char *subject = rr_get_log_field(line, "endpoint");

		if (!*subject)
			subject = rr_get_log_field(line, "zone");
		if (!*subject)
			subject = rr_get_log_field(line, "endpoints");
		g_string_append_printf(
			out, "  %6.1f s before its end: %s %s %s %s\n",
			(double)(end_us - line->time_us) / G_USEC_PER_SEC,
			rr_get_log_field(line, "event"),
			rr_get_log_field(line, "service"), subject,
			rr_get_log_field(line, "reason"));
	}
}

void rr_format_logged_trace(const struct rr_logged_trace *trace,
			    const char *request, GString *out)
{
	format_summary(trace, request, out);
	g_string_append(out, "cause: ");
	rr_format_cause(trace, out);
	g_string_append_c(out, '\n');
	if (trace->lines->len > 1 || !find_final_line(trace)) {
		format_steps(trace, out);
		format_timeline(trace, out);
	}
	format_state_changes(trace, out);
}
