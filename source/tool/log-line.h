/*
 * log-line.h - structured log lines, read back.
 */
#ifndef TOOL_LOG_LINE_H
#define TOOL_LOG_LINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rr_log_line {
	GHashTable *fields; /* key -> value, both owned */
	int64_t time_us;    /* since 1970; 0 where it has no stamp */
	guint line_number;  /* of the line in its input */
};

/*
 * Read a line of key=value fields, or a JSON object.  Whatever stands before
 * the first field (a collector's own stamp) is passed over.  NULL for what is
 * no such line.
 */
struct rr_log_line *rr_parse_log_line(const char *text);
void rr_free_log_line(gpointer line);
/* "" where there is no such field. */
const char *rr_get_log_field(const struct rr_log_line *line, const char *key);
double rr_get_log_field_number(const struct rr_log_line *line, const char *key);
bool rr_is_log_event(const struct rr_log_line *line, const char *event);

#endif
