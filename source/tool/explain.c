/*
 * explain.c - `ragwort explain`: collects the log lines of one request.
 */
#include "tool/explain.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "tool/tool.h"

/*
 * State changes within this time before the end of the request are reported,
 * since those that affect its outcome are recent.  Changes with the fingerprint
 * of the request are reported regardless of their age.
 */
#define STATE_CHANGE_WINDOW_US (10 * G_USEC_PER_SEC)
#define MAX_LINE_SIZE 16384 /* bytes */

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const struct rr_log_line *x = *(struct rr_log_line *const *)a;
	const struct rr_log_line *y = *(struct rr_log_line *const *)b;
	double after_x = rr_get_log_field_number(x, "after_us");
	double after_y = rr_get_log_field_number(y, "after_us");

	if (after_x != after_y)
		return after_x < after_y ? -1 : 1;
	return x->line_number < y->line_number ?
		       -1 :
		       x->line_number > y->line_number;
}

static bool is_state_change(const struct rr_log_line *line)
{
	static const char *const events[] = {
		"endpoint-suspected",
		"endpoint-retired",
		"endpoint-listed",
		"endpoint-unlisted",
		"endpoints-changed",
		"held-up",
		"zone-silent",
		"zone-heard",
		"zone-evacuated",
		"zone-taken-back",
		"replica-crashed",
		"request-suspected",
		"request-quarantined",
		"request-released",
		"cut-off",
		"not-cut-off",
		"store-lost",
		"store-regained",
		"routes-in-force",
		"ready",
		"not-ready",
		"stopping",
		"started",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		if (rr_is_log_event(line, events[i]))
			return true;
	}
	return false;
}

/*
 * Return the latest wall-clock time of the request's lines; 0 if none has a
 * time.
 */
static int64_t last_time_us(const struct rr_logged_trace *trace)
{
	int64_t end_us = 0;

	for (guint i = 0; i < trace->lines->len; i++) {
		const struct rr_log_line *line =
			g_ptr_array_index(trace->lines, i);

		end_us = MAX(end_us, line->time_us);
	}
	return end_us;
}

/* Return whether a state change has the fingerprint of the request. */
static bool shares_fingerprint(const struct rr_logged_trace *trace,
			       const struct rr_log_line *change)
{
	const char *fingerprint = rr_get_log_field(change, "fingerprint");

	for (guint i = 0; *fingerprint && i < trace->lines->len; i++) {
		if (!strcmp(rr_get_log_field(g_ptr_array_index(trace->lines, i),
					     "fingerprint"),
			    fingerprint))
			return true;
	}
	return false;
}

/*
 * Return whether a state change concerns the request: it names no endpoint,
 * or an endpoint or service of the request.  Changes with a fingerprint are
 * matched by shares_fingerprint() only.
 */
static bool is_relevant(const struct rr_logged_trace *trace,
			const struct rr_log_line *change)
{
	const char *endpoint = rr_get_log_field(change, "endpoint");
	const char *service = rr_get_log_field(change, "service");

	if (*rr_get_log_field(change, "fingerprint"))
		return false;
	if (!*endpoint)
		return true;
	for (guint i = 0; i < trace->lines->len; i++) {
		const struct rr_log_line *line =
			g_ptr_array_index(trace->lines, i);

		if (!strcmp(rr_get_log_field(line, "endpoint"), endpoint) ||
		    !strcmp(rr_get_log_field(line, "service"), service))
			return true;
	}
	return false;
}

static void add_state_changes(struct rr_logged_trace *trace,
			      const GPtrArray *lines)
{
	int64_t end_us = last_time_us(trace);

	for (guint i = 0; end_us && i < lines->len; i++) {
		struct rr_log_line *line = g_ptr_array_index(lines, i);

		if (!is_state_change(line) || line->time_us > end_us)
			continue;
		if (shares_fingerprint(trace, line) ||
		    (line->time_us >= end_us - STATE_CHANGE_WINDOW_US &&
		     is_relevant(trace, line)))
			g_ptr_array_add(trace->state_changes, line);
	}
}

struct rr_logged_trace *rr_collect_logged_trace(const GPtrArray *lines,
						const char *request)
{
	struct rr_logged_trace *trace = g_new0(struct rr_logged_trace, 1);

	trace->lines = g_ptr_array_new();
	trace->state_changes = g_ptr_array_new();
	for (guint i = 0; i < lines->len; i++) {
		struct rr_log_line *line = g_ptr_array_index(lines, i);

		if (!strcmp(rr_get_log_field(line, "request"), request))
			g_ptr_array_add(trace->lines, line);
	}
	g_ptr_array_sort(trace->lines, compare_lines);
	add_state_changes(trace, lines);
	return trace;
}

void rr_free_logged_trace(struct rr_logged_trace *trace)
{
	g_ptr_array_unref(trace->lines);
	g_ptr_array_unref(trace->state_changes);
	g_free(trace);
}

/* Read log lines; skip and count truncated ones and other text. */
static GPtrArray *read_lines(FILE *in, guint *n_skipped)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(rr_free_log_line);
	char *text = g_malloc(MAX_LINE_SIZE);
	guint number = 0;

	while (fgets(text, MAX_LINE_SIZE, in)) {
		struct rr_log_line *line;

		text[strcspn(text, "\r\n")] = '\0';
		line = rr_parse_log_line(text);
		number++;
		if (line) {
			line->line_number = number;
			g_ptr_array_add(lines, line);
		} else if (*text) {
			(*n_skipped)++;
		}
	}
	g_free(text);
	return lines;
}

static int explain(const struct rr_command *command, const char *request,
		   FILE *in)
{
	guint n_skipped = 0;
	GPtrArray *lines = read_lines(in, &n_skipped);
	struct rr_logged_trace *trace = rr_collect_logged_trace(lines, request);
	GString *out = g_string_new(NULL);
	int code = RR_EXIT_OK;

	if (n_skipped)
		rr_print_message(command,
				 "skipped %u lines that are not log lines",
				 n_skipped);
	if (trace->lines->len) {
		rr_format_logged_trace(trace, request, out);
		fputs(out->str, stdout);
	} else {
		rr_print_message(command, "no log line of request %s", request);
		code = RR_EXIT_FAILED;
	}
	g_string_free(out, TRUE);
	rr_free_logged_trace(trace);
	g_ptr_array_unref(lines);
	return code;
}

int rr_run_explain(const struct rr_command *command, int argc, char **argv)
{
	struct rr_common_arguments common = rr_new_common_arguments();
	struct arg_str *request = arg_str1(NULL, NULL, "ID", "request id");
	struct arg_file *file =
		arg_file0(NULL, "logs", "FILE",
			  "logs of instances (default: standard input)");
	void *table[] = { request, file, common.help, common.end };
	int code = RR_EXIT_OK;
	FILE *in = stdin;

	if (!rr_parse_arguments(command, table, &common, argc, argv, &code))
		goto done;
	if (file->count)
		in = fopen(file->filename[0], "r");
	if (!in) {
		rr_print_message(command, "%s: %s", file->filename[0],
				 g_strerror(errno));
		code = RR_EXIT_USAGE;
		goto done;
	}
	code = explain(command, request->sval[0], in);
	if (file->count)
		fclose(in);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
