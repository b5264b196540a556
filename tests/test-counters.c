/*
 * test-counters.c - counters, gauges, latency histograms and Prometheus text.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/context.h"
#include "ragwort/counters.h"
#include "support/paths.h"

static void assert_line(const GString *text, const char *line)
{
	char *terminated_line = g_strdup_printf("\n%s\n", line);

	if (!strstr(text->str, terminated_line))
		fail_msg("no line '%s' in:\n%s", line, text->str);
	g_free(terminated_line);
}

static void test_counters_and_gauges(void **state)
{
	struct rr_context *ctx = rr_new_context(NULL);
	GString *text = g_string_new("\n");

	(void)state;
	rr_count(ctx, RR_N_ATTEMPTS, 3);
	rr_count(ctx, RR_N_ATTEMPTS, 4);
	rr_set_gauge(ctx, RR_G_MEMBERS, 9);
	rr_set_gauge(ctx, RR_G_MEMBERS, 6);
	assert_int_equal(rr_counter_value(ctx, RR_N_ATTEMPTS), 7);
	rr_format_metrics(ctx, text);
	assert_line(text, "# TYPE ragwort_attempts_total counter");
	assert_line(text, "ragwort_attempts_total 7");
	assert_line(text, "# TYPE ragwort_members gauge");
	assert_line(text, "ragwort_members 6");
	assert_line(text, "ragwort_requests_total 0");
	g_string_free(text, TRUE);
	rr_drop_context(ctx);
}

/* Names must be unique and valid for Prometheus. */
static void test_names_are_valid_and_unique(void **state)
{
	struct rr_context *ctx = rr_new_context(NULL);
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GString *text = g_string_new(NULL);
	char **lines;
	int n_types = 0;

	(void)state;
	rr_format_metrics(ctx, text);
	lines = g_strsplit(text->str, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		char **words = g_strsplit(lines[i], " ", 4);

		if (g_str_has_prefix(lines[i], "# TYPE ")) {
			bool counter = !strcmp(words[3], "counter");

			assert_true(g_regex_match_simple("^ragwort_[a-z_]+$",
							 words[2], 0, 0));
			assert_int_equal(g_str_has_suffix(words[2], "_total"),
					 counter);
			assert_true(g_hash_table_add(seen, g_strdup(words[2])));
			n_types++;
		}
		g_strfreev(words);
	}
	assert_int_equal(n_types, RR_COUNTER_COUNT + 1);
	g_strfreev(lines);
	g_hash_table_destroy(seen);
	g_string_free(text, TRUE);
	rr_drop_context(ctx);
}

static void test_quantiles_are_within_a_bucket(void **state)
{
	struct rr_context *ctx = rr_new_context(NULL);

	(void)state;
	assert_int_equal(rr_latency_quantile_us(ctx, "desk", 0.5), 0);
	for (int64_t us = 1; us <= 100000; us++)
		rr_observe_latency(ctx, "desk", us);
	for (int tenth = 1; tenth < 10; tenth++) {
		double quantile = tenth / 10.0;
		double exact = quantile * 100000;
		int64_t reported_us =
			rr_latency_quantile_us(ctx, "desk", quantile);

		assert_true((double)reported_us >= exact);
		assert_true((double)reported_us <= exact * 1.1);
	}
	rr_observe_latency(ctx, "odd", -5);
	rr_observe_latency(ctx, "odd", INT64_MAX);
	assert_true(rr_latency_quantile_us(ctx, "odd", 0) <= 2);
	assert_true(rr_latency_quantile_us(ctx, "odd", 1) > 1000000000);
	rr_drop_context(ctx);
}

/* Buckets are cumulative: each counts the latencies up to its bound. */
static void test_histogram_text(void **state)
{
	struct rr_context *ctx = rr_new_context(NULL);
	GString *text = g_string_new(NULL);

	(void)state;
	rr_observe_latency(ctx, "desk", 1500);
	rr_observe_latency(ctx, "desk", 30000);
	rr_observe_latency(ctx, "desk", 60000000);
	rr_format_metrics(ctx, text);
	assert_line(text, "ragwort_answer_seconds_bucket"
			  "{service=\"desk\",le=\"0.001\"} 0");
	assert_line(text, "ragwort_answer_seconds_bucket"
			  "{service=\"desk\",le=\"0.002\"} 1");
	assert_line(text, "ragwort_answer_seconds_bucket"
			  "{service=\"desk\",le=\"0.05\"} 2");
	assert_line(text, "ragwort_answer_seconds_bucket"
			  "{service=\"desk\",le=\"5\"} 2");
	assert_line(text, "ragwort_answer_seconds_bucket"
			  "{service=\"desk\",le=\"+Inf\"} 3");
	assert_line(text, "ragwort_answer_seconds_sum{service=\"desk\"} "
			  "60.031500");
	assert_line(text, "ragwort_answer_seconds_count{service=\"desk\"} 3");
	g_string_free(text, TRUE);
	rr_drop_context(ctx);
}

/*
 * An unescaped quotation mark or line feed in one label makes the whole page
 * invalid, and the collector loses the metrics of every service.
 */
static void test_labels_are_escaped(void **state)
{
	struct rr_context *ctx = rr_new_context(NULL);
	GString *text = g_string_new(NULL);

	(void)state;
	rr_observe_latency(ctx, "a\"b\\c\nd", 1);
	rr_format_metrics(ctx, text);
	assert_line(text, "ragwort_answer_seconds_count"
			  "{service=\"a\\\"b\\\\c\\nd\"} 1");
	g_string_free(text, TRUE);
	rr_drop_context(ctx);
}

static void test_reference_page_is_current(void **state)
{
	GString *page = g_string_new(NULL);

	(void)state;
	rr_format_metrics_reference(page);
	rr_assert_page_is_current("docs/METRICS.md", page->str);
	g_string_free(page, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_counters_and_gauges),
		cmocka_unit_test(test_names_are_valid_and_unique),
		cmocka_unit_test(test_quantiles_are_within_a_bucket),
		cmocka_unit_test(test_histogram_text),
		cmocka_unit_test(test_labels_are_escaped),
		cmocka_unit_test(test_reference_page_is_current),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
