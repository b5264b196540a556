/*
 * test-gateway-settings.c - gateway start files made from the template.
 *
 * The platform may fill in integers, fractions, booleans or nothing at all.
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

/* Text of a field of the template. */
struct template_field {
	const char *field;
	const char *text;
};

static const struct template_field default_fields[] = {
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

/* Optional fields of the platform; their lines are omitted if absent. */
static const struct section {
	const char *field;
	const char *key;
	const char *text;
} sections[] = {
	{ "bounds.coldOverage", "cold_overage", "1.5" },
	{ "bounds.coldSlack", "cold_slack", "5" },
	{ "bounds.evacuateMs", "evacuation_bound_ms", "2000" },
	{ "bounds.drainMs", "drain_ms", "2500" },
	{ "bounds.quotaWindowS", "allowance_window_s", "4" },
	{ "bounds.quotaOverage", "allowance_overage", "0.1" },
	{ "bounds.quotaSlack", "allowance_slack", "20" },
	{ "limits.memoryMb", "memory_mb", "260" },
};

static char *replace(char *text, const char *from, const char *to)
{
	char **parts = g_strsplit(text, from, -1);
	char *joined = g_strjoinv(to, parts);

	g_strfreev(parts);
	g_free(text);
	return joined;
}

/* Replace a section by its line with a text, or by nothing if it is NULL. */
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
	for (size_t i = 0; i < G_N_ELEMENTS(default_fields); i++) {
		char *placeholder =
			g_strdup_printf("{{%s}}", default_fields[i].field);
		bool replaced =
			field && !strcmp(default_fields[i].field, field);

		out = replace(out, placeholder,
			      replaced ? text : default_fields[i].text);
		g_free(placeholder);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		bool replaced = field && !strcmp(sections[i].field, field);

		out = fill_section(out, &sections[i],
				   replaced ? text : sections[i].text);
	}
	if (strstr(out, "{{"))
		fail_msg("unknown field in the template: %s", out);
	return out;
}

static struct rr_gateway_settings *parse(const char *field, const char *text,
					 guint *n_left_out)
{
	char *filled = fill_template(field, text);
	struct rr_settings_source file = { "boot", filled, strlen(filled) };
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_gateway_settings *settings =
		rr_parse_gateway_settings(&file, diagnostics);

	*n_left_out = diagnostics->len;
	if (!settings)
		fail_msg("start file rejected with %s: %s", field, text);
	g_ptr_array_unref(diagnostics);
	g_free(filled);
	return settings;
}

static void test_default_values(void **state)
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
	assert_int_equal(settings->allowance_window_ms, 4000);
	assert_true(settings->allowance_overage == 0.1);
	assert_true(settings->allowance_slack == 20);
	assert_true(settings->cold_slack == 5);
	assert_int_equal(settings->evacuation_bound_ms, 2000);
	assert_int_equal(settings->drain_ms, 2500);
	rr_drop_gateway_settings(settings);
}

/* Guards against a failed start where a platform omits optional fields. */
static void test_missing_sections(void **state)
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
 * Guards against fractions that are misread or rejected: a deployment has a
 * window of 7.5 s and a slack of 58.5.  With the unit appended to the text, the
 * window would become 7.5 ms, or no gateway of the deployment would start.
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
 * Guards against a deployment in which no instance starts, because one limit
 * is missing or a boolean.  The setting is ignored instead.
 */
static void test_invalid_numbers(void **state)
{
	static const char *const fields[] = {
		"limits.cpuShare",	   "bounds.configApplyMs",
		"bounds.retryBudgetRatio", "bounds.retryBudgetSlack",
		"bounds.budgetWindowS",	   "bounds.graceS",
		"bounds.coldOverage",	   "bounds.coldSlack",
		"bounds.evacuateMs",	   "bounds.drainMs",
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
			assert_true(settings->drain_ms >= 100);
			assert_true(settings->extra_window_ms >= 100);
			assert_true(settings->stop_timeout_ms > 0);
			rr_drop_gateway_settings(settings);
		}
	}
}

/* An instance without a peer listener has no address for one. */
static void test_no_peer_address(void **state)
{
	guint left_out;
	struct rr_gateway_settings *settings =
		parse("listen.control", "", &left_out);

	assert_int_equal(left_out, 1);
	assert_null(settings->peer_address);
	rr_drop_gateway_settings(settings);
}

/* Guards against a link-local IPv6 address that is rejected for its scope. */
static void test_address_with_scope(void **state)
{
	guint left_out;
	struct rr_gateway_settings *settings =
		parse("listen.front", "[fe80::1%1]:8104", &left_out);

	assert_int_equal(left_out, 0);
	assert_string_equal(settings->caller_address, "[fe80::1%1]:8104");
	rr_drop_gateway_settings(settings);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_default_values),
		cmocka_unit_test(test_missing_sections),
		cmocka_unit_test(test_fractions),
		cmocka_unit_test(test_invalid_numbers),
		cmocka_unit_test(test_no_peer_address),
		cmocka_unit_test(test_address_with_scope),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
