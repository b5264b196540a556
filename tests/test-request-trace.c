/*
 * test-request-trace.c - log lines of request traces, their rate and sampling.
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

static void add_sent_event(struct rr_request_trace *trace, int64_t at_us,
			   const char *endpoint)
{
	struct rr_trace_event event = {
		.at_us = at_us,
		.kind = RR_TRACE_SENT,
		.reason = "first",
		.service = "s",
		.endpoint = (char *)endpoint,
		.attempt = 1,
	};

	rr_add_trace_event(trace, &event);
}

static void append_line(void *data, enum rr_log_level level, const char *line)
{
	g_string_append(data, line);
	g_string_append_c(data, '\n');
}

static void test_events_as_log_lines(void **state)
{
	GString *out = g_string_new(NULL);
	struct rr_context_options options = {
		.log = { .write = append_line,
			 .data = out,
			 .max_level = RR_LOG_INFO },
	};
	struct rr_context *ctx = rr_new_context(&options);
	struct rr_request_trace trace;
	char endpoint[] = "i-1";

	rr_init_trace(&trace);
	add_sent_event(&trace, 5000, endpoint);
	/* The replica's id may be freed before its line is written. */
	memset(endpoint, 'x', 3);
	rr_log_trace(ctx, &trace, "id", 2000);
	assert_non_null(strstr(out->str, "event=sent request=id after_us=3000 "
					 "attempt=1 service=s endpoint=i-1"));
	rr_clear_trace(&trace);
	rr_drop_context(ctx);
	g_string_free(out, TRUE);
}

/*
 * Returns the lines logged in ten seconds, at `per_s` requests per second of 41
 * lines each.
 */
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

/* Guards against more lines than the limit allows, at ten times the load. */
static void test_rate_limit(void **state)
{
	size_t lines_at_20 = write_for_ten_seconds(20, false);
	size_t lines_at_200 = write_for_ten_seconds(200, false);

	assert_in_range(lines_at_20, 700, 1000);
	assert_in_range(lines_at_200, 700, 1000);
}

/* Guards against ordinary requests that leave no lines for failed ones. */
static void test_reserve_for_failed_requests(void **state)
{
	struct rr_log_budget budget = { .lines_per_s = 100 };

	while (rr_take_log_lines(&budget, 10 * SECOND_US, 10, true))
		;
	assert_true(rr_take_log_lines(&budget, 10 * SECOND_US, 90, false));
	assert_false(rr_take_log_lines(&budget, 10 * SECOND_US, 41, false));
	assert_true(rr_take_log_lines(&budget, 11 * SECOND_US, 90, false));
}

static void test_sampling_by_id(void **state)
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
		cmocka_unit_test(test_events_as_log_lines),
		cmocka_unit_test(test_rate_limit),
		cmocka_unit_test(test_reserve_for_failed_requests),
		cmocka_unit_test(test_sampling_by_id),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
