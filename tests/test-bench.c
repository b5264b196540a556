/*
 * test-bench.c - tests of the scenario parser and histogram of `ragwort bench`.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "tool/bench-histogram.h"
#include "tool/bench-scenario.h"

static struct rr_bench_scenario *parse_scenario(const char *text,
						GPtrArray **diagnostics)
{
	struct rr_settings_source file = { "s.yaml", text, strlen(text) };

	*diagnostics = rr_new_diagnostics();
	return rr_parse_bench_scenario(&file, *diagnostics);
}

static void test_scenario(void **state)
{
	GPtrArray *diagnostics;
	struct rr_bench_scenario *scenario = parse_scenario(
		"duration_s: 5\n"
		"mix:\n"
		"  - {kind: search, service: desk, rate: 12.5, query: '[1]'}\n"
		"  - {kind: reserve, service: pay, rate: 1, keys: [3, 9]}\n"
		"  - {kind: list, service: desk, rate: 2, name: nightly}\n",
		&diagnostics);

	(void)state;
	assert_int_equal(diagnostics->len, 0);
	assert_non_null(scenario);
	assert_int_equal(scenario->duration_s, 5);
	assert_int_equal(scenario->warm_up_s, 2);
	assert_int_equal(scenario->n_entries, 3);
	assert_true(scenario->entries[0].rate == 12.5);
	assert_string_equal(scenario->entries[0].query, "[1]");
	assert_int_equal(scenario->entries[1].kind, RR_RESERVE);
	assert_int_equal(scenario->entries[1].key_from, 3);
	assert_int_equal(scenario->entries[1].key_to, 9);
	assert_string_equal(scenario->entries[2].name, "nightly");
	assert_true(scenario->entries[2].batch);
	assert_false(scenario->entries[0].batch);
	rr_drop_bench_scenario(scenario);
	g_ptr_array_unref(diagnostics);
}

/* Expects one diagnostic: its line, and part of its message. */
static void expect_diagnostic(const char *text, uint32_t line, const char *part)
{
	GPtrArray *diagnostics;
	const struct rr_diagnostic *diagnostic;

	assert_null(parse_scenario(text, &diagnostics));
	assert_int_equal(diagnostics->len, 1);
	diagnostic = diagnostics->pdata[0];
	assert_int_equal(diagnostic->line, line);
	assert_non_null(strstr(diagnostic->message, part));
	g_ptr_array_unref(diagnostics);
}

static void test_scenario_errors(void **state)
{
	(void)state;
	expect_diagnostic("duration_s: 1\nmix:\n"
			  "  - {kind: find, service: d, rate: 1}\n",
			  3, "found 'find'");
	expect_diagnostic("mix:\n  - {kind: search, service: d, rate: 0}\n", 2,
			  "rate: found '0'");
	expect_diagnostic("mix:\n  - {kind: search, service: d, rate: 1x}\n", 2,
			  "rate: found '1x'");
	expect_diagnostic("mix:\n  - {kind: search, service: d, rate: nan}\n",
			  2, "rate: found 'nan'");
	expect_diagnostic("mix:\n  - {kind: lookup, service: d, rate: 1}\n", 2,
			  "found no 'keys'");
	expect_diagnostic("mix:\n  - {kind: lookup, service: d, rate: 1,\n"
			  "     keys: [9, 3]}\n",
			  3, "keys: found");
	expect_diagnostic("mix:\n  - {kind: search, rate: 1}\n", 2,
			  "found no 'service'");
	expect_diagnostic("mix:\n  - {kind: search, service: d}\n", 2,
			  "found no 'rate'");
	expect_diagnostic("mix:\n  - {kind: search, service: d, rate: 1,\n"
			  "     query: '{'}\n",
			  3, "query: found");
	expect_diagnostic(
		"mix:\n  - {kind: search, service: d, rate: 1, x: 2}\n", 2,
		"unknown key 'x'");
	expect_diagnostic("duration_s: 1.5\nmix:\n"
			  "  - {kind: search, service: d, rate: 1}\n",
			  1, "whole number");
	expect_diagnostic("duration_s: 1\n", 1, "found no 'mix'");
	expect_diagnostic("mix: []\n", 1, "1 to 32 elements");
	expect_diagnostic("[1]\n", 1, "is a mapping");
}

static void test_histogram(void **state)
{
	struct rr_bench_histogram *histogram =
		g_new0(struct rr_bench_histogram, 1);
	struct rr_bench_histogram *sum = g_new0(struct rr_bench_histogram, 1);

	(void)state;
	assert_int_equal(rr_bench_quantile_us(histogram, 0.5), 0);
	for (int64_t i = 1; i <= 1000; i++)
		rr_add_bench_sample(histogram, i * 1000);
	assert_in_range(rr_bench_quantile_us(histogram, 0.5), 500000, 510000);
	assert_in_range(rr_bench_quantile_us(histogram, 0.99), 990000, 1010000);
	assert_in_range(rr_bench_quantile_us(histogram, 0.999), 999000,
			1019000);
	rr_merge_bench_histogram(sum, histogram);
	rr_merge_bench_histogram(sum, histogram);
	assert_int_equal(sum->total, 2000);
	assert_int_equal(rr_bench_quantile_us(sum, 0.5),
			 rr_bench_quantile_us(histogram, 0.5));
	g_free(histogram);
	g_free(sum);
}

/* A bucket's upper bound is not below the value, nor over 2 % above it. */
static void test_histogram_bounds(void **state)
{
	(void)state;
	for (int64_t latency_us = 0; latency_us < (int64_t)1 << 40;
	     latency_us = latency_us * 5 / 4 + 1) {
		struct rr_bench_histogram *histogram =
			g_new0(struct rr_bench_histogram, 1);
		int64_t bound_us;

		rr_add_bench_sample(histogram, latency_us);
		bound_us = rr_bench_quantile_us(histogram, 1.0);
		assert_true(bound_us >= latency_us);
		assert_true(bound_us <= latency_us + latency_us / 50);
		g_free(histogram);
	}
}

static void test_histogram_extremes(void **state)
{
	struct rr_bench_histogram *histogram =
		g_new0(struct rr_bench_histogram, 1);
	GString *plot = g_string_new(NULL);

	(void)state;
	rr_format_bench_plot(histogram, "a <b>", plot);
	assert_non_null(strstr(plot->str, "a &lt;b&gt;"));
	rr_add_bench_sample(histogram, -5);
	assert_int_equal(rr_bench_quantile_us(histogram, 1.0), 0);
	rr_add_bench_sample(histogram, INT64_MAX);
	assert_true(rr_bench_quantile_us(histogram, 1.0) > (int64_t)1 << 40);
	rr_format_bench_plot(histogram, "both", plot);
	assert_non_null(strstr(plot->str, "<polyline"));
	assert_true(g_str_has_suffix(plot->str, "</svg>\n"));
	g_string_free(plot, TRUE);
	g_free(histogram);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scenario),
		cmocka_unit_test(test_scenario_errors),
		cmocka_unit_test(test_histogram),
		cmocka_unit_test(test_histogram_bounds),
		cmocka_unit_test(test_histogram_extremes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
