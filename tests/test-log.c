/*
 * test-log.c - log lines: their two forms, levels and the rate bound.
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

struct log_book {
	GPtrArray *lines;
	int64_t now_us;
};

static void keep_line(void *data, enum rr_log_level level, const char *line)
{
	struct log_book *book = data;

	(void)level;
	g_ptr_array_add(book->lines, g_strdup(line));
}

static int64_t tell_time(void *data)
{
	struct log_book *book = data;

	return book->now_us;
}

static struct rr_context *open_book(struct log_book *book,
				    enum rr_log_format format,
				    uint32_t max_lines_per_s)
{
	struct rr_context_options options = {
		.log = { .write = keep_line,
			 .clock = tell_time,
			 .data = book,
			 .max_level = RR_LOG_DECISION,
			 .format = format,
			 .max_lines_per_s = max_lines_per_s },
	};

	book->lines = g_ptr_array_new_with_free_func(g_free);
	book->now_us = START_US;
	return rr_new_context(&options);
}

static void close_book(struct log_book *book, struct rr_context *ctx)
{
	g_ptr_array_unref(book->lines);
	rr_drop_context(ctx);
}

static const char *line_of(const struct log_book *book, guint i)
{
	assert_true(i < book->lines->len);
	return book->lines->pdata[i];
}

static void test_key_value_lines(void **state)
{
	struct log_book book;
	struct rr_context *ctx = open_book(&book, RR_LOG_KEY_VALUE, 0);

	(void)state;
	rr_log(ctx, RR_LOG_DECISION, "route", RR_FIELD_STRING("request", "r1"),
	       RR_FIELD_U64("shard", 7), RR_FIELD_I64("left_ms", -3),
	       RR_FIELD_DOUBLE("load", 0.25), RR_FIELD_BOOL("hedge", true));
	assert_string_equal(line_of(&book, 0),
			    "time=2026-12-02T20:00:00.000000Z level=decision "
			    "event=route request=r1 shard=7 left_ms=-3 "
			    "load=0.25 hedge=true");
	rr_log(ctx, RR_LOG_INFO, "x", RR_FIELD_STRING("a", "b c=\"d\"\n"),
	       RR_FIELD_STRING("e", ""), RR_FIELD_STRING("n", NULL));
	assert_non_null(strstr(line_of(&book, 1),
			       "a=\"b c=\\\"d\\\"\\u000a\" e=\"\" n=\"\""));
	rr_log(ctx, RR_LOG_DEBUG, "x", RR_FIELD_U64("a", 1));
	assert_int_equal(book.lines->len, 2);
	rr_set_log_options(ctx, RR_LOG_DEBUG, RR_LOG_JSON, 0);
	rr_log(ctx, RR_LOG_DEBUG, "x", RR_FIELD_U64("a", 1));
	assert_string_equal(line_of(&book, 2),
			    "{\"time\":\"2026-12-02T20:00:00.000000Z\","
			    "\"level\":\"debug\",\"event\":\"x\",\"a\":1}");
	close_book(&book, ctx);
}

/*
 * Story: a caller sends a request id with bytes that are no UTF-8; the log
 * collector throws the line away and the request cannot be followed.
 * Cause: the bytes went into the JSON as they came.
 */
static void test_any_bytes_give_valid_json(void **state)
{
	struct log_book book;
	struct rr_context *ctx = open_book(&book, RR_LOG_JSON, 0);
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
		line = line_of(&book, (guint)c - 1);
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
	assert_true(g_utf8_validate(line_of(&book, 255), -1, NULL));
	close_book(&book, ctx);
}

/*
 * Story: a replica that refuses connections makes an instance log thousands
 * of lines a second; the operator's disk fills and the lines that tell of
 * another fault are lost among them.
 * Cause: no bound, or one bound for all events together.
 */
static void test_rate_is_bound_for_each_event(void **state)
{
	struct log_book book;
	struct rr_context *ctx = open_book(&book, RR_LOG_KEY_VALUE, 10);

	(void)state;
	for (int i = 0; i < 100; i++)
		rr_log(ctx, RR_LOG_INFO, "flood", RR_FIELD_I64("i", i));
	assert_int_equal(book.lines->len, 10);
	rr_log(ctx, RR_LOG_INFO, "other", RR_FIELD_I64("i", 0));
	assert_int_equal(book.lines->len, 11);
	assert_null(strstr(line_of(&book, 10), "left_out"));
	assert_int_equal(rr_counter_value(ctx, RR_N_LOG_LINES_DROPPED), 90);
	book.now_us += G_USEC_PER_SEC;
	rr_log(ctx, RR_LOG_INFO, "flood", RR_FIELD_I64("i", 100));
	assert_non_null(strstr(line_of(&book, 11), "i=100 left_out=90"));
	rr_log(ctx, RR_LOG_INFO, "flood", RR_FIELD_I64("i", 101));
	assert_null(strstr(line_of(&book, 12), "left_out"));
	close_book(&book, ctx);
}

static void test_context_without_log_is_silent(void **state)
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
		cmocka_unit_test(test_rate_is_bound_for_each_event),
		cmocka_unit_test(test_context_without_log_is_silent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
