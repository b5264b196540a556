/*
 * test-log.c - log lines: key=value and JSON formats, levels and rate limit.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <math.h>
#include <string.h>

#include "ragwort/context.h"
#include "ragwort/counters.h"
#include "ragwort/log.h"

/* 2026-12-02T20:00:00Z */
#define START_US (INT64_C(1796241600) * G_USEC_PER_SEC)

struct log_recorder {
	GPtrArray *lines;
	int64_t now_us;
};

static void record_line(void *data, enum rr_log_level level, const char *line)
{
	struct log_recorder *recorder = data;

	(void)level;
	g_ptr_array_add(recorder->lines, g_strdup(line));
}

static int64_t read_clock(void *data)
{
	struct log_recorder *recorder = data;

	return recorder->now_us;
}

static struct rr_context *new_recording_context(struct log_recorder *recorder,
						enum rr_log_format format,
						uint32_t max_lines_per_s)
{
	struct rr_context_options options = {
		.log = { .write = record_line,
			 .clock = read_clock,
			 .data = recorder,
			 .max_level = RR_LOG_DECISION,
			 .format = format,
			 .max_lines_per_s = max_lines_per_s },
	};

	recorder->lines = g_ptr_array_new_with_free_func(g_free);
	recorder->now_us = START_US;
	return rr_new_context(&options);
}

static void free_recording_context(struct log_recorder *recorder,
				   struct rr_context *ctx)
{
	g_ptr_array_unref(recorder->lines);
	rr_drop_context(ctx);
}

static const char *get_line(const struct log_recorder *recorder, guint i)
{
	assert_true(i < recorder->lines->len);
	return recorder->lines->pdata[i];
}

static void test_key_value_lines(void **state)
{
	struct log_recorder recorder;
	struct rr_context *ctx =
		new_recording_context(&recorder, RR_LOG_KEY_VALUE, 0);

	(void)state;
	rr_log(ctx, RR_LOG_DECISION, "route", RR_FIELD_STRING("request", "r1"),
	       RR_FIELD_U64("shard", 7), RR_FIELD_I64("left_ms", -3),
	       RR_FIELD_DOUBLE("load", 0.25), RR_FIELD_BOOL("hedge", true));
	assert_string_equal(get_line(&recorder, 0),
			    "time=2026-12-02T20:00:00.000000Z level=decision "
			    "event=route request=r1 shard=7 left_ms=-3 "
			    "load=0.25 hedge=true");
	rr_log(ctx, RR_LOG_INFO, "x", RR_FIELD_STRING("a", "b c=\"d\"\n"),
	       RR_FIELD_STRING("e", ""), RR_FIELD_STRING("n", NULL));
	assert_non_null(strstr(get_line(&recorder, 1),
			       "a=\"b c=\\\"d\\\"\\u000a\" e=\"\" n=\"\""));
	rr_log(ctx, RR_LOG_DEBUG, "x", RR_FIELD_U64("a", 1));
	assert_int_equal(recorder.lines->len, 2);
	rr_set_log_options(ctx, RR_LOG_DEBUG, RR_LOG_JSON, 0);
	rr_log(ctx, RR_LOG_DEBUG, "x", RR_FIELD_U64("a", 1));
	assert_string_equal(get_line(&recorder, 2),
			    "{\"time\":\"2026-12-02T20:00:00.000000Z\","
			    "\"level\":\"debug\",\"event\":\"x\",\"a\":1}");
	free_recording_context(&recorder, ctx);
}

/*
 * A caller sends a request id that is not valid UTF-8.  If its bytes were
 * written to the JSON unchanged, the log collector would discard the line and
 * the request could not be traced.
 */
static void test_any_bytes_give_valid_json(void **state)
{
	struct log_recorder recorder;
	struct rr_context *ctx =
		new_recording_context(&recorder, RR_LOG_JSON, 0);
	char text[5] = { 0 };

	(void)state;
	for (int c = 1; c < 256; c++) {
		const char *line;
		JsonNode *node;
		JsonObject *object;

		text[0] = 'a';
		text[1] = (char)c;
		text[2] = (char)(c ^ 0x55);
		rr_log(ctx, RR_LOG_INFO, "x", RR_FIELD_STRING(text, text),
		       RR_FIELD_DOUBLE("nan", NAN),
		       RR_FIELD_DOUBLE("inf", INFINITY));
		line = get_line(&recorder, (guint)c - 1);
		assert_true(g_utf8_validate(line, -1, NULL));
		assert_null(strpbrk(line, "\n\r"));
		node = json_from_string(line, NULL);
		assert_non_null(node);
		object = json_node_get_object(node);
		assert_string_equal(
			json_object_get_string_member(object, "event"), "x");
		assert_true(json_object_get_null_member(object, "nan"));
		if (g_utf8_validate(text, -1, NULL))
			assert_string_equal(
				json_object_get_string_member(object, text),
				text);
		json_node_unref(node);
	}
	rr_set_log_options(ctx, RR_LOG_INFO, RR_LOG_KEY_VALUE, 0);
	rr_log(ctx, RR_LOG_INFO, "x", RR_FIELD_STRING("id", "a\xff"));
	assert_true(g_utf8_validate(get_line(&recorder, 255), -1, NULL));
	free_recording_context(&recorder, ctx);
}

/*
 * A replica that refuses connections makes an instance log thousands of lines a
 * second.  Without a rate limit the operator's disk fills; with a single limit
 * for all events, the lines about another fault are lost.
 */
static void test_rate_is_limited_per_event(void **state)
{
	struct log_recorder recorder;
	struct rr_context *ctx =
		new_recording_context(&recorder, RR_LOG_KEY_VALUE, 10);

	(void)state;
	for (int i = 0; i < 100; i++)
		rr_log(ctx, RR_LOG_INFO, "flood", RR_FIELD_I64("i", i));
	assert_int_equal(recorder.lines->len, 10);
	rr_log(ctx, RR_LOG_INFO, "other", RR_FIELD_I64("i", 0));
	assert_int_equal(recorder.lines->len, 11);
	assert_null(strstr(get_line(&recorder, 10), "left_out"));
	assert_int_equal(rr_counter_value(ctx, RR_N_LOG_LINES_DROPPED), 90);
	recorder.now_us += G_USEC_PER_SEC;
	rr_log(ctx, RR_LOG_INFO, "flood", RR_FIELD_I64("i", 100));
	assert_non_null(strstr(get_line(&recorder, 11), "i=100 left_out=90"));
	rr_log(ctx, RR_LOG_INFO, "flood", RR_FIELD_I64("i", 101));
	assert_null(strstr(get_line(&recorder, 12), "left_out"));
	free_recording_context(&recorder, ctx);
}

static void test_context_without_log_writes_nothing(void **state)
{
	struct rr_context *ctx = rr_new_context(NULL);

	(void)state;
	assert_false(rr_log_enabled(ctx, RR_LOG_ERROR));
	rr_log_fields(ctx, RR_LOG_ERROR, "x", NULL, 0);
	rr_drop_context(ctx);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_key_value_lines),
		cmocka_unit_test(test_any_bytes_give_valid_json),
		cmocka_unit_test(test_rate_is_limited_per_event),
		cmocka_unit_test(test_context_without_log_writes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
