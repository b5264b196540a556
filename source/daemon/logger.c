/*
 * logger.c - log output to stderr, and the log settings in effect.
 */
#include <stdio.h>

#include "daemon/daemon.h"

void rr_write_log_line(void *data, enum rr_log_level level, const char *line)
{
	fprintf(stderr, "%s\n", line);
}

void rr_apply_log_settings(struct rr_context *ctx,
			   const struct rr_log_settings *start,
			   const struct rr_log_settings *site)
{
	int level = site->level < 0 ? start->level : site->level;
	int format = site->format < 0 ? start->format : site->format;
	uint32_t max_lines_per_s = site->max_lines_per_s == UINT32_MAX ?
					   start->max_lines_per_s :
					   site->max_lines_per_s;

	rr_set_log_options(ctx, (enum rr_log_level)level,
			   (enum rr_log_format)format, max_lines_per_s);
	rr_log(ctx, RR_LOG_INFO, "log-settings", RR_FIELD_I64("level", level),
	       RR_FIELD_I64("format", format),
	       RR_FIELD_U64("max_lines_per_s", max_lines_per_s));
}
