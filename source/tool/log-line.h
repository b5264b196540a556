/*
 * log-line.h - parser of structured log lines.
 */
#ifndef TOOL_LOG_LINE_H
#define TOOL_LOG_LINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_log_line {
	GHashTable *fields; /* key -> value, both owned */
	int64_t time_us;    /* since 1970; 0 if there is no time stamp */
	guint line_number;  /* in the input, from 1; set by the caller */
};

/*
 * Parse a line of key=value fields or a JSON object.  Text before the first
 * field, such as the time stamp of a log collector, is ignored.  Return NULL if
 * the line is not a log line.  Release with rr_free_log_line().
 */
struct rr_log_line *rr_parse_log_line(const char *text);
void rr_free_log_line(gpointer line);
/* Return the value of a field, or "" if it is missing. */
const char *rr_get_log_field(const struct rr_log_line *line, const char *key);
double rr_get_log_field_number(const struct rr_log_line *line, const char *key);
bool rr_is_log_event(const struct rr_log_line *line, const char *event);

#endif
