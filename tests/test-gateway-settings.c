/*
 * test-gateway-settings.c - a gateway's start file as the platform fills its
 * template: whole numbers, fractions, true or false, or nothing at all.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/settings.h"
#include "support/paths.h"

#define TEMPLATE "deploy/gateway.yaml.template"

/* What stands in a field of the template; NULL: there is no such field. */
struct fill {
	const char *field;
	const char *text;
};

static const struct fill usual[] = {
	{ "node", "front-1" },
	{ "zone", "a" },
	{ "listen.front", "127.0.0.1:8104" },
	{ "listen.ready", "127.0.0.1:8108" },
	{ "listen.control", "127.0.0.1:8106" },
	{ "platform.address", "127.0.0.1:8102" },
	{ "limits.cpuShare", "0.25" },
	{ "bounds.configApplyMs", "3000" },
	{ "bounds.retryBudgetRatio", "0.2" },
	{ "bounds.retryBudgetSlack", "58" },
	{ "bounds.budgetWindowS", "10" },
	{ "bounds.graceS", "6" },
};

/* Fields that not every platform has: their lines are left out then. */
static const struct section {
	const char *field;
	const char *key;
	const char *text;
} sections[] = {
	{ "bounds.coldOverage", "cold_overage", "1.5" },
	{ "bounds.coldSlack", "cold_slack", "5" },
	{ "bounds.evacuateMs", "evacuation_bound_ms", "2000" },
};

static char *replace(char *text, const char *from, const char *to)
{
	char **pieces = g_strsplit(text, from, -1);
	char *joined = g_strjoinv(to, pieces);

	g_strfreev(pieces);
	g_free(text);
	return joined;
}

/* One section: its line with the usual or another text, or no line. */
static char *fill_section(char *out, const struct section *section,
			  const char *text)
{
	char *from = g_strdup_printf("{{#%s}}%s: {{.}}{{/%s}}", section->field,
				     section->key, section->field);
	char *line = g_strdup_printf("%s: %s", section->key, text);

	out = replace(out, from, text ? line : "");
	g_free(line);
	g_free(from);
	return out;
}

static char *fill_template(const char *field, const char *text)
{
	char *path = rr_source_path(TEMPLATE);
	char *out;

	assert_true(g_file_get_contents(path, &out, NULL, NULL));
	g_free(path);
	out = replace(out, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}",
		      "\"127.0.0.1:8106\"");
	out = replace(out, "{{#zones}}\"{{@}}/{{.}}\"{{,}}{{/zones}}",
		      "\"a/north\",\"b/south\"");
	for (size_t i = 0; i < G_N_ELEMENTS(usual); i++) {
		char *place = g_strdup_printf("{{%s}}", usual[i].field);
		bool changed = field && !strcmp(usual[i].field, field);

		out = replace(out, place, changed ? text : usual[i].text);
		g_free(place);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		bool changed = field && !strcmp(sections[i].field, field);

		out = fill_section(out, &sections[i],
				   changed ? text : sections[i].text);
	}
	if (strstr(out, "{{"))
		fail_msg("a field of the template is not known here: %s", out);
	return out;
}

static struct rr_gateway_settings *parse(const char *field, const char *text,
					 guint *n_left_out)
{
	char *filled = fill_template(field, text);
	struct rr_settings_source file = { "boot", filled, strlen(filled) };
	GPtrArray *faults = rr_new_diagnostics();
	struct rr_gateway_settings *settings =
		rr_parse_gateway_settings(&file, faults);

	*n_left_out = faults->len;
	if (!settings)
		fail_msg("no gateway starts with %s: %s", field, text);
	g_ptr_array_unref(faults);
	g_free(filled);
	return settings;
}

static void test_the_usual(void **state)
{
	guint left_out;
	struct rr_gateway_settings *settings = parse(NULL, NULL, &left_out);

	assert_int_equal(left_out, 0);
	assert_string_equal(settings->instance, "front-1");
	assert_int_equal(settings->news_bound_ms, 3000);
	assert_int_equal(settings->extra_window_ms, 10000);
	assert_int_equal(settings->stop_timeout_ms, 6000);
	assert_true(settings->extra_slack == 58);
	assert_string_equal(settings->zone_regions[1], "b/south");
	assert_true(settings->cold_overage == 1.5);
	assert_true(settings->cold_slack == 5);
	assert_int_equal(settings->evacuation_bound_ms, 2000);
	rr_drop_gateway_settings(settings);
}

/* Guards against a platform that tells nothing of cold replicas. */
static void test_sections_left_out(void **state)
{
	guint left_out;
	struct rr_gateway_settings *settings;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		settings = parse(sections[i].field, NULL, &left_out);
		assert_int_equal(left_out, 0);
		assert_true(settings->cold_overage >= 1);
		rr_drop_gateway_settings(settings);
	}
}

/*
 * Story: a deployment's window is 7.5 s, its slack 58.5.  Read with a unit
 * added in the text, the window becomes 7.5 ms or the file is refused, and no
 * gateway of that deployment starts.
 */
static void test_fractions(void **state)
{
	guint left_out;
	struct rr_gateway_settings *settings =
		parse("bounds.budgetWindowS", "7.5", &left_out);

	assert_int_equal(left_out, 0);
	assert_int_equal(settings->extra_window_ms, 7500);
	rr_drop_gateway_settings(settings);
	settings = parse("bounds.graceS", "6.25", &left_out);
	assert_int_equal(left_out, 0);
	assert_int_equal(settings->stop_timeout_ms, 6250);
	rr_drop_gateway_settings(settings);
	settings = parse("bounds.retryBudgetSlack", "58.5", &left_out);
	assert_int_equal(left_out, 0);
	assert_true(settings->extra_slack == 58.5);
	rr_drop_gateway_settings(settings);
	settings = parse("bounds.configApplyMs", "2500.5", &left_out);
	assert_int_equal(left_out, 0);
	assert_int_equal(settings->news_bound_ms, 2501);
	rr_drop_gateway_settings(settings);
	settings = parse("bounds.retryBudgetRatio", "1", &left_out);
	assert_int_equal(left_out, 0);
	assert_true(settings->extra_share == 1);
	rr_drop_gateway_settings(settings);
}

/*
 * Story: a deployment lacks a bound, or has true or false in its place.  One
 * figure that is of no use must not keep all instances of it from starting.
 */
static void test_what_is_no_figure(void **state)
{
	static const char *const fields[] = {
		"limits.cpuShare",	   "bounds.configApplyMs",
		"bounds.retryBudgetRatio", "bounds.retryBudgetSlack",
		"bounds.budgetWindowS",	   "bounds.graceS",
		"bounds.coldOverage",	   "bounds.coldSlack",
		"bounds.evacuateMs",
	};
	static const char *const texts[] = { "",   "true", "false",
					     "-1", "null", "1e400" };

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(texts); j++) {
			guint left_out;
			struct rr_gateway_settings *settings =
				parse(fields[i], texts[j], &left_out);

			assert_int_equal(left_out, 1);
			assert_true(settings->strength > 0);
			assert_true(settings->extra_share > 0);
			assert_true(settings->extra_slack > 0);
			assert_true(settings->news_bound_ms >= 100);
			assert_true(settings->extra_window_ms >= 100);
			assert_true(settings->stop_timeout_ms > 0);
			rr_drop_gateway_settings(settings);
		}
	}
}

/* Without a role that others come to there is no address of that kind. */
static void test_no_address_for_others(void **state)
{
	guint left_out;
	struct rr_gateway_settings *settings =
		parse("listen.control", "", &left_out);

	assert_int_equal(left_out, 1);
	assert_null(settings->peer_address);
	rr_drop_gateway_settings(settings);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_the_usual),
		cmocka_unit_test(test_sections_left_out),
		cmocka_unit_test(test_fractions),
		cmocka_unit_test(test_what_is_no_figure),
		cmocka_unit_test(test_no_address_for_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
