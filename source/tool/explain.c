/*
 * explain.c - `ragwort explain`: put the lines of one request in order.
 */
#include "tool/explain.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "tool/tool.h"

/* Beliefs count from so long before the request: what decided it is fresh. */
#define BELIEF_US (10 * G_USEC_PER_SEC)
#define LONGEST_LINE 16384

static gint by_moment(gconstpointer a, gconstpointer b)
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

static bool is_belief(const struct rr_log_line *line)
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

/* The request's last moment by the wall clock; 0 where no line has it. */
static int64_t end_of(const struct rr_logged_trace *story)
{
	int64_t end_us = 0;

	for (guint i = 0; i < story->lines->len; i++) {
		const struct rr_log_line *line =
			g_ptr_array_index(story->lines, i);

		end_us = MAX(end_us, line->time_us);
	}
	return end_us;
}

/* Whether a line has the request's fingerprint. */
static bool is_of_same(const struct rr_logged_trace *story,
		       const struct rr_log_line *belief)
{
	const char *fingerprint = rr_get_log_field(belief, "fingerprint");

	for (guint i = 0; *fingerprint && i < story->lines->len; i++) {
		if (!strcmp(rr_get_log_field(g_ptr_array_index(story->lines, i),
					     "fingerprint"),
			    fingerprint))
			return true;
	}
	return false;
}

/* Whether a belief is about what the request had to do with. */
static bool concerns(const struct rr_logged_trace *story,
		     const struct rr_log_line *belief)
{
	const char *endpoint = rr_get_log_field(belief, "endpoint");
	const char *service = rr_get_log_field(belief, "service");

	if (*rr_get_log_field(belief, "fingerprint"))
		return false;
	if (!*endpoint)
		return true;
	for (guint i = 0; i < story->lines->len; i++) {
		const struct rr_log_line *line =
			g_ptr_array_index(story->lines, i);

		if (!strcmp(rr_get_log_field(line, "endpoint"), endpoint) ||
		    !strcmp(rr_get_log_field(line, "service"), service))
			return true;
	}
	return false;
}

static void add_beliefs(struct rr_logged_trace *story, const GPtrArray *lines)
{
	int64_t end_us = end_of(story);

	for (guint i = 0; end_us && i < lines->len; i++) {
		struct rr_log_line *line = g_ptr_array_index(lines, i);

		if (!is_belief(line) || line->time_us > end_us)
			continue;
		if (is_of_same(story, line) ||
		    (line->time_us >= end_us - BELIEF_US &&
		     concerns(story, line)))
			g_ptr_array_add(story->state_changes, line);
	}
}

struct rr_logged_trace *rr_collect_logged_trace(const GPtrArray *lines,
						const char *request)
{
	struct rr_logged_trace *story = g_new0(struct rr_logged_trace, 1);

	story->lines = g_ptr_array_new();
	story->state_changes = g_ptr_array_new();
	for (guint i = 0; i < lines->len; i++) {
		struct rr_log_line *line = g_ptr_array_index(lines, i);

		if (!strcmp(rr_get_log_field(line, "request"), request))
			g_ptr_array_add(story->lines, line);
	}
	g_ptr_array_sort(story->lines, by_moment);
	add_beliefs(story, lines);
	return story;
}

void rr_free_logged_trace(struct rr_logged_trace *story)
{
	g_ptr_array_unref(story->lines);
	g_ptr_array_unref(story->state_changes);
	g_free(story);
}

/* Lines that are cut off or are none are left out and counted. */
static GPtrArray *read_lines(FILE *in, guint *left_out)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(rr_free_log_line);
	char *text = g_malloc(LONGEST_LINE);
	guint number = 0;

	while (fgets(text, LONGEST_LINE, in)) {
		struct rr_log_line *line;

		text[strcspn(text, "\r\n")] = '\0';
		line = rr_parse_log_line(text);
		number++;
		if (line) {
			line->line_number = number;
			g_ptr_array_add(lines, line);
		} else if (*text) {
			(*left_out)++;
		}
	}
	g_free(text);
	return lines;
}

static int explain(const struct rr_command *command, const char *request,
		   FILE *in)
{
	guint left_out = 0;
	GPtrArray *lines = read_lines(in, &left_out);
	struct rr_logged_trace *story = rr_collect_logged_trace(lines, request);
	GString *out = g_string_new(NULL);
	int code = RR_EXIT_OK;

	if (left_out)
		rr_print_message(command,
				 "%u lines are no log lines and were left out",
				 left_out);
	if (story->lines->len) {
		rr_format_logged_trace(story, request, out);
		fputs(out->str, stdout);
	} else {
		rr_print_message(command, "no line tells of request %s",
				 request);
		code = RR_EXIT_FAILED;
	}
	g_string_free(out, TRUE);
	rr_free_logged_trace(story);
	g_ptr_array_unref(lines);
	return code;
}

int rr_run_explain(const struct rr_command *command, int argc, char **argv)
{
	struct rr_common_arguments common = rr_new_common_arguments();
	struct arg_str *request =
		arg_str1(NULL, NULL, "ID", "the request's id");
	struct arg_file *file = arg_file0(
		NULL, "logs", "FILE", "logs of instances; standard input else");
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
