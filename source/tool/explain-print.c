/*
 * explain-print.c - the account of a request, and its cause.
 */
#include <string.h>

#include "tool/explain.h"

/* Characters of the time line. */
#define PICTURE 60

static const struct rr_log_line *line_at(const GPtrArray *lines, guint i)
{
	return g_ptr_array_index(lines, i);
}

/* How it ended; NULL where that line is missing. */
static const struct rr_log_line *find_end(const struct rr_logged_trace *story)
{
	for (guint i = 0; i < story->lines->len; i++) {
		const struct rr_log_line *line = line_at(story->lines, i);

		if (rr_is_log_event(line, "answered") ||
		    rr_is_log_event(line, "turned-away"))
			return line;
	}
	return NULL;
}

static double ms_of(const struct rr_log_line *line, const char *key)
{
	return rr_get_log_field_number(line, key) / 1000;
}

/* Services in the order in which the request came to them. */
static GPtrArray *list_services(const struct rr_logged_trace *story)
{
	GPtrArray *services = g_ptr_array_new();

	for (guint i = 0; i < story->lines->len; i++) {
		const char *service =
			rr_get_log_field(line_at(story->lines, i), "service");

		if (*service && !g_ptr_array_find_with_equal_func(
					services, service, g_str_equal, NULL))
			g_ptr_array_add(services, (gpointer)service);
	}
	return services;
}

static bool is_of(const struct rr_log_line *line, const char *service)
{
	return !strcmp(rr_get_log_field(line, "service"), service);
}

/* Whether a service answered well, as far as the lines tell. */
static bool has_answer(const struct rr_logged_trace *story, const char *service)
{
	for (guint i = 0; i < story->lines->len; i++) {
		const struct rr_log_line *line = line_at(story->lines, i);
		double status = rr_get_log_field_number(line, "status");

		if (is_of(line, service) && rr_is_log_event(line, "reply") &&
		    !strcmp(rr_get_log_field(line, "reason"), "answered") &&
		    status >= 200 && status < 300)
			return true;
	}
	return false;
}

/* The last line about a service: what became of it. */
static const struct rr_log_line *last_of(const struct rr_logged_trace *story,
					 const char *service)
{
	const struct rr_log_line *last = NULL;

	for (guint i = 0; i < story->lines->len; i++) {
		if (is_of(line_at(story->lines, i), service))
			last = line_at(story->lines, i);
	}
	return last;
}

/* Why a part is missing, in words. */
static const char *why_missing(const struct rr_logged_trace *story,
			       const char *service)
{
	const struct rr_log_line *last = last_of(story, service);
	const char *reason = rr_get_log_field(last, "reason");

	if (rr_is_log_event(last, "withdrawn"))
		return "its replica had not answered when it was time to "
		       "answer";
	if (rr_is_log_event(last, "waits"))
		return "no replica of it had room";
	if (rr_is_log_event(last, "not-sent") && !strcmp(reason, "no-replica"))
		return "all its replicas were asked already or seem gone";
	if (rr_is_log_event(last, "not-sent") && !strcmp(reason, "evacuated"))
		return "its replicas are in evacuated zones only";
	if (rr_is_log_event(last, "not-sent") &&
	    !strcmp(reason, "no-extra-left"))
		return "the budget of extra attempts was spent";
	if (rr_is_log_event(last, "reply") && !strcmp(reason, "refused"))
		return "its replica refused for want of room";
	if (rr_is_log_event(last, "reply") && !strcmp(reason, "unsent"))
		return "no connection to its replica could be made";
	if (rr_is_log_event(last, "reply"))
		return "its replica's answer was lost or no good";
	return "its replica had not answered by the end";
}

/* Why parts lack, as the line of the end counts them, if it does. */
static void format_lacks(const struct rr_log_line *end, GString *out)
{
	static const struct {
		const char *field;
		const char *words;
	} lacks[] = {
		{ "lacks_waiting", "had no replica with room" },
		{ "lacks_evacuated", "had replicas in evacuated zones only" },
		{ "lacks_no_replica", "had no replica to ask" },
		{ "lacks_no_extra", "had one slow replica and no extra attempt "
				    "left" },
		{ "lacks_one_asked", "had one slow replica and no other to ask "
				     "or no time to" },
		{ "lacks_more_asked", "had only slow replicas" },
	};
	bool any = false;

	for (gsize i = 0; i < G_N_ELEMENTS(lacks); i++) {
		if (rr_get_log_field_number(end, lacks[i].field) <= 0)
			continue;
		g_string_append_printf(out, "; %s %s",
				       rr_get_log_field(end, lacks[i].field),
				       lacks[i].words);
		any = true;
	}
	if (!any)
		g_string_append(out, ", why each did is not in these lines: "
				     "see what had been learnt before");
}

static void format_missing(const struct rr_logged_trace *story,
			   const struct rr_log_line *end, GString *out)
{
	GPtrArray *services = list_services(story);

	for (guint i = 0; i < services->len; i++) {
		const char *service = g_ptr_array_index(services, i);

		if (!has_answer(story, service))
			g_string_append_printf(out, "; %s: %s", service,
					       why_missing(story, service));
	}
	if (rr_get_log_field_number(end, "steps_left_out") > 0) {
		g_string_append_printf(out, "; %s of %s parts lacked",
				       rr_get_log_field(end, "missing"),
				       rr_get_log_field(end, "parts"));
		format_lacks(end, out);
	}
	g_ptr_array_unref(services);
}

static const char *refusal_in_words(const char *reason)
{
	if (!strcmp(reason, "no-replica"))
		return "too few of the services it needs had a replica that "
		       "answered";
	if (!strcmp(reason, "evacuated"))
		return "too few of the services it needs have a replica "
		       "outside the zones that the operators evacuated";
	if (!strcmp(reason, "overrun"))
		return "more work came than the replicas can do in time";
	if (!strcmp(reason, "refused-there"))
		return "the strong instance that it was handed to refused it: "
		       "no replica had room there either";
	if (!strcmp(reason, "no-routes"))
		return "this instance knew no configuration yet";
	if (!strcmp(reason, "no-route"))
		return "the configuration in force has no such route";
	if (!strcmp(reason, "quarantined"))
		return "replicas crashed under it before, and it is kept from "
		       "them";
	if (!strcmp(reason, "crashes-replicas"))
		return "the replicas that ran it crashed";
	if (!strcmp(reason, "time-over"))
		return "its time was over";
	if (!strcmp(reason, "too-few-parts"))
		return "so many parts failed that the least share could not "
		       "be reached any more";
	return reason;
}

void rr_format_cause(const struct rr_logged_trace *story, GString *out)
{
	const struct rr_log_line *end = find_end(story);
	const char *reason;
	double status;

	if (!end) {
		g_string_append(out, "the line of its end is missing");
		return;
	}
	status = rr_get_log_field_number(end, "status");
	reason = rr_get_log_field(end, "reason");
	if (status == 503) {
		g_string_append_printf(out, "refused, and not run: %s",
				       refusal_in_words(reason));
	} else if (status >= 400) {
		g_string_append_printf(out, "failed: %s",
				       refusal_in_words(reason));
	} else if (!strcmp(reason, "caller-gone")) {
		g_string_append(out, "its caller left first");
		return;
	} else if (rr_get_log_field_number(end, "missing") > 0) {
		g_string_append(out, "partial");
	} else if (!strcmp(rr_get_log_field(end, "late"), "true")) {
		g_string_append(out, "whole, but late");
		return;
	} else {
		g_string_append(out, "answered as it should be");
		return;
	}
	if (rr_get_log_field_number(end, "may_have_run") > 0 || status < 400)
		format_missing(story, end, out);
}

static void format_head(const struct rr_logged_trace *story,
			const char *request, GString *out)
{
	const struct rr_log_line *end = find_end(story);

	g_string_append_printf(out, "request %s", request);
	if (!end) {
		g_string_append(out, ": how it ended is not in these lines\n");
		return;
	}
	if (*rr_get_log_field(end, "instance"))
		g_string_append_printf(out, " at %s",
				       rr_get_log_field(end, "instance"));
	if (*rr_get_log_field(end, "fingerprint"))
		g_string_append_printf(out, ", fingerprint %s",
				       rr_get_log_field(end, "fingerprint"));
	if (rr_is_log_event(end, "turned-away")) {
		g_string_append_printf(
			out, ": turned away with %s, configuration %s\n",
			rr_get_log_field(end, "status"),
			rr_get_log_field(end, "version"));
		return;
	}
	g_string_append_printf(
		out,
		", route %s, configuration %s (in force for %.1f s)\n"
		"ended with %s (%s) after %.1f ms; to be in time it had %.1f "
		"ms, at most %.1f ms\n%.0f of %.0f parts, %s attempts may "
		"have run\n",
		rr_get_log_field(end, "route"),
		rr_get_log_field(end, "version"),
		ms_of(end, "version_age_us") / 1000,
		rr_get_log_field(end, "status"),
		rr_get_log_field(end, "reason"), ms_of(end, "after_us"),
		ms_of(end, "objective_us"), ms_of(end, "end_us"),
		rr_get_log_field_number(end, "parts") -
			rr_get_log_field_number(end, "missing"),
		rr_get_log_field_number(end, "parts"),
		rr_get_log_field(end, "may_have_run"));
	if (rr_get_log_field_number(end, "steps_left_out") > 0)
		g_string_append_printf(out,
				       "%s steps were left out of the log "
				       "by its bound\n",
				       rr_get_log_field(end, "steps_left_out"));
}

static void format_step(const struct rr_log_line *line, GString *out)
{
	g_string_append_printf(out, "  %8.1f ms  %-10s %-10s %s",
			       ms_of(line, "after_us"),
			       rr_get_log_field(line, "event"),
			       rr_get_log_field(line, "service"),
			       rr_get_log_field(line, "reason"));
	if (*rr_get_log_field(line, "endpoint"))
		g_string_append_printf(
			out, " %s (open %s, slowness %.1f, extras left %.1f)",
			rr_get_log_field(line, "endpoint"),
			rr_get_log_field(line, "in_flight"),
			rr_get_log_field_number(line, "slowness"),
			rr_get_log_field_number(line, "extras_left"));
	if (rr_get_log_field_number(line, "status") > 0)
		g_string_append_printf(out, " status %s",
				       rr_get_log_field(line, "status"));
	g_string_append_c(out, '\n');
}

static void format_steps(const struct rr_logged_trace *story, GString *out)
{
	g_string_append(out, "steps:\n");
	for (guint i = 0; i < story->lines->len; i++) {
		const struct rr_log_line *line = line_at(story->lines, i);

		if (line != find_end(story))
			format_step(line, out);
	}
}

/* The character of a step in the time line. */
static char mark_of(const struct rr_log_line *line)
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

static void format_picture(const struct rr_logged_trace *story, GString *out)
{
	GPtrArray *services = list_services(story);
	double end_us = 1;

	for (guint i = 0; i < story->lines->len; i++)
		end_us = MAX(end_us,
			     rr_get_log_field_number(line_at(story->lines, i),
						     "after_us"));
	if (services->len)
		g_string_append_printf(
			out,
			"time line, 0 to %.1f ms (S sent, h hedge, r repeat or "
			"room, A answered, ! lost, x withdrawn, w waits):\n",
			end_us / 1000);
	for (guint i = 0; i < services->len; i++) {
		const char *service = g_ptr_array_index(services, i);
		char picture[PICTURE + 1];

		memset(picture, '.', PICTURE);
		picture[PICTURE] = '\0';
		for (guint j = 0; j < story->lines->len; j++) {
			const struct rr_log_line *line =
				line_at(story->lines, j);
			double at = rr_get_log_field_number(line, "after_us") /
				    end_us;

			if (is_of(line, service))
				picture[(size_t)(at * (PICTURE - 1))] =
					mark_of(line);
		}
		g_string_append_printf(out, "  %-10s |%s|\n", service, picture);
	}
	g_ptr_array_unref(services);
}

static void format_beliefs(const struct rr_logged_trace *story, GString *out)
{
	int64_t end_us = 0;

	if (!story->state_changes->len)
		return;
	for (guint i = 0; i < story->lines->len; i++)
		end_us = MAX(end_us, line_at(story->lines, i)->time_us);
	g_string_append(out, "what had been learnt before:\n");
	for (guint i = 0; i < story->state_changes->len; i++) {
		const struct rr_log_line *line =
			line_at(story->state_changes, i);
		const char *about = rr_get_log_field(line, "endpoint");

		if (!*about)
			about = rr_get_log_field(line, "zone");
		if (!*about)
			about = rr_get_log_field(line, "endpoints");
		g_string_append_printf(
			out, "  %6.1f s before its end: %s %s %s %s\n",
			(double)(end_us - line->time_us) / G_USEC_PER_SEC,
			rr_get_log_field(line, "event"),
			rr_get_log_field(line, "service"), about,
			rr_get_log_field(line, "reason"));
	}
}

void rr_format_logged_trace(const struct rr_logged_trace *story,
			    const char *request, GString *out)
{
	format_head(story, request, out);
	g_string_append(out, "cause: ");
	rr_format_cause(story, out);
	g_string_append_c(out, '\n');
	if (story->lines->len > 1 || !find_end(story)) {
		format_steps(story, out);
		format_picture(story, out);
	}
	format_beliefs(story, out);
}
