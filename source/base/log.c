/*
 * log.c - formatting and rate limiting of structured log lines.
 */
#include "ragwort/log.h"

#include <math.h>

#include "base/context-private.h"
#include "base/json-private.h"
#include "ragwort/counters.h"

static const char *const level_names[] = {
	[RR_LOG_ERROR] = "error", [RR_LOG_WARNING] = "warning",
	[RR_LOG_INFO] = "info",	  [RR_LOG_DECISION] = "decision",
	[RR_LOG_DEBUG] = "debug",
};

/* Rate limit of one event: its lines in the current second. */
struct log_window {
	int64_t second;
	uint32_t lines;
	uint64_t dropped; /* lines dropped since the last one written */
};

bool rr_log_enabled(struct rr_context *ctx, enum rr_log_level level)
{
	return ctx->log.write && level <= ctx->log.max_level;
}

void rr_set_log_options(struct rr_context *ctx, enum rr_log_level max_level,
			enum rr_log_format format, uint32_t max_lines_per_s)
{
	ctx->log.max_level = max_level;
	ctx->log.format = format;
	ctx->log.max_lines_per_s = max_lines_per_s;
}

/*
 * Return whether the event's rate limit allows one more line at now_us.  If so,
 * *dropped is the number of lines dropped since the event's last one, which the
 * new line reports.  Without the limit, a fault that logs on every request
 * would fill the operator's log.
 */
static bool allow_line(struct rr_context *ctx, const char *event,
		       int64_t now_us, uint64_t *dropped)
{
	struct log_window *window;
	int64_t second = now_us / G_USEC_PER_SEC;

	*dropped = 0;
	if (!ctx->log.max_lines_per_s || !ctx->log.clock)
		return true;
	window = g_hash_table_lookup(ctx->log_windows, event);
	if (!window) {
		window = g_new0(struct log_window, 1);
		g_hash_table_insert(ctx->log_windows, g_strdup(event), window);
	}
	if (window->second != second) {
		window->second = second;
		window->lines = 0;
	}
	if (window->lines >= ctx->log.max_lines_per_s) {
		window->dropped++;
		rr_count(ctx, RR_N_LOG_LINES_DROPPED, 1);
		return false;
	}
	window->lines++;
	*dropped = window->dropped;
	window->dropped = 0;
	return true;
}

static void format_timestamp(struct rr_context *ctx, int64_t now_us,
			     char *timestamp, size_t size)
{
	int64_t second = now_us / G_USEC_PER_SEC;

	if (second != ctx->timestamp_s || !ctx->timestamp_prefix[0]) {
		GDateTime *time = g_date_time_new_from_unix_utc(second);
		char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");

		g_strlcpy(ctx->timestamp_prefix, text,
			  sizeof(ctx->timestamp_prefix));
		ctx->timestamp_s = second;
		g_free(text);
		g_date_time_unref(time);
	}
	g_snprintf(timestamp, size, "%s.%06dZ", ctx->timestamp_prefix,
		   (int)(now_us % G_USEC_PER_SEC));
}

static bool needs_quotes(const char *text)
{
	if (!*text || !g_utf8_validate(text, -1, NULL))
		return true;
	for (; *text; text++) {
		if ((unsigned char)*text <= ' ' || *text == '"' ||
		    *text == '=' || *text == '\\' || *text == 0x7f)
			return true;
	}
	return false;
}

static void append_value(GString *line, const struct rr_log_field *field,
			 bool json)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];
	const char *text;

	switch (field->type) {
	case RR_LOG_STRING:
		text = field->value.string ? field->value.string : "";
		if (json || needs_quotes(text))
			rr_append_json_string(line, text);
		else
			g_string_append(line, text);
		break;
	case RR_LOG_U64:
		g_string_append_printf(line, "%" G_GUINT64_FORMAT,
				       field->value.u64);
		break;
	case RR_LOG_I64:
		g_string_append_printf(line, "%" G_GINT64_FORMAT,
				       field->value.i64);
		break;
	case RR_LOG_DOUBLE:
		/* JSON cannot represent NaN and infinity. */
		if (json && !isfinite(field->value.f64)) {
			g_string_append(line, "null");
			break;
		}
		g_string_append(line,
				g_ascii_formatd(number, sizeof(number), "%.6g",
						field->value.f64));
		break;
	case RR_LOG_BOOL:
		g_string_append(line, field->value.boolean ? "true" : "false");
		break;
	}
}

static void append_field(GString *line, const struct rr_log_field *field,
			 bool json)
{
	if (json) {
		if (line->str[line->len - 1] != '{')
			g_string_append_c(line, ',');
		rr_append_json_string(line, field->key);
		g_string_append_c(line, ':');
	} else {
		if (line->len)
			g_string_append_c(line, ' ');
		g_string_append(line, field->key);
		g_string_append_c(line, '=');
	}
	append_value(line, field, json);
}

void rr_log_fields(struct rr_context *ctx, enum rr_log_level level,
		   const char *event, const struct rr_log_field *fields,
		   size_t n_fields)
{
	bool json = ctx->log.format == RR_LOG_JSON;
	uint64_t dropped;
	int64_t now_us = 0;
	GString *line;

	if (!rr_log_enabled(ctx, level))
		return;
	if (ctx->log.clock)
		now_us = ctx->log.clock(ctx->log.data);
	if (!allow_line(ctx, event, now_us, &dropped))
		return;
	line = g_string_new(json ? "{" : "");
	if (ctx->log.clock) {
		char timestamp[48];

		format_timestamp(ctx, now_us, timestamp, sizeof(timestamp));
		append_field(line, &RR_FIELD_STRING("time", timestamp), json);
	}
	append_field(line, &RR_FIELD_STRING("level", level_names[level]), json);
	append_field(line, &RR_FIELD_STRING("event", event), json);
	for (size_t i = 0; i < n_fields; i++)
		append_field(line, &fields[i], json);
	if (dropped)
		append_field(line, &RR_FIELD_U64("left_out", dropped), json);
	if (json)
		g_string_append_c(line, '}');
	ctx->log.write(ctx->log.data, level, line->str);
	g_string_free(line, TRUE);
}
