/*
 * test-request-trace.c - which requests are told, whole or not at all, and how many
 * lines that makes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "core/request-trace.h"
#include "ragwort/context.h"

#define SECOND_US ((int64_t)1000000)

static void note(struct rr_request_trace *trail, int64_t at_us,
		 const char *endpoint)
{
	struct rr_trace_event step = {
		.at_us = at_us,
		.kind = RR_TRACE_SENT,
		.reason = "first",
		.service = "s",
		.endpoint = (char *)endpoint,
		.attempt = 1,
	};

	rr_add_trace_event(trail, &step);
}

static void keep_line(void *data, enum rr_log_level level, const char *line)
{
	g_string_append(data, line);
	g_string_append_c(data, '\n');
}

static void test_steps_as_lines(void **state)
{
	GString *out = g_string_new(NULL);
	struct rr_context_options options = {
		.log = { .write = keep_line,
			 .data = out,
			 .max_level = RR_LOG_INFO },
	};
	struct rr_context *ctx = rr_new_context(&options);
	struct rr_request_trace trail;
	char endpoint[] = "i-1";

	rr_init_trace(&trail);
	note(&trail, 5000, endpoint);
	/* The replica may be gone before its line is written. */
	memset(endpoint, 'x', 3);
	rr_log_trace(ctx, &trail, "id", 2000);
	assert_non_null(strstr(out->str, "event=sent request=id after_us=3000 "
					 "attempt=1 service=s endpoint=i-1"));
	rr_clear_trace(&trail);
	rr_drop_context(ctx);
	g_string_free(out, TRUE);
}

/* Lines written in ten seconds by so many requests of 41 lines a second. */
static size_t write_for_ten_seconds(int per_s, bool ordinary)
{
	struct rr_log_budget budget = { .lines_per_s = 100 };
	size_t lines = 0;

	for (int i = 0; i < 10 * per_s; i++) {
		if (rr_take_log_lines(&budget, i * SECOND_US / per_s, 41,
				      ordinary))
			lines += 41;
	}
	return lines;
}

/* At ten times the load there are no more lines than the bound allows. */
static void test_bound_holds(void **state)
{
	size_t calm = write_for_ten_seconds(20, false);
	size_t busy = write_for_ten_seconds(200, false);

	assert_in_range(calm, 700, 1000);
	assert_in_range(busy, 700, 1000);
}

/* Ordinary requests leave room for those that go wrong. */
static void test_ordinary_ones_come_last(void **state)
{
	struct rr_log_budget budget = { .lines_per_s = 100 };

	while (rr_take_log_lines(&budget, 10 * SECOND_US, 10, true))
		;
	assert_true(rr_take_log_lines(&budget, 10 * SECOND_US, 90, false));
	assert_false(rr_take_log_lines(&budget, 10 * SECOND_US, 41, false));
	assert_true(rr_take_log_lines(&budget, 11 * SECOND_US, 90, false));
}

static void test_sampling_goes_by_the_id(void **state)
{
	int n = 0;

	for (int i = 0; i < 6400; i++) {
		char *id = g_strdup_printf("%d-%x", i, i * 7919);

		n += rr_is_sampled(id);
		assert_int_equal(rr_is_sampled(id), rr_is_sampled(id));
		g_free(id);
	}
	assert_in_range(n, 50, 150);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steps_as_lines),
		cmocka_unit_test(test_bound_holds),
		cmocka_unit_test(test_ordinary_ones_come_last),
		cmocka_unit_test(test_sampling_goes_by_the_id),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
