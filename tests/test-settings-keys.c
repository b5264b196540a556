/*
 * test-settings-keys.c - tests of each key of the settings table.
 *
 * Covers the values that a key rejects and the reference page.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "settings/settings-table.h"
#include "support/paths.h"

/* Replacement for the value of one key in an otherwise valid file. */
struct override {
	enum rr_setting_scope scope;
	const char *key;
	const char *value;
	bool used; /* the key has been written */
};

static void append_key(GString *out, struct override *override,
		       enum rr_setting_scope scope, const char *indent,
		       const char *key, const char *value)
{
	bool replaced = override->scope == scope && !strcmp(override->key, key);

	override->used |= replaced;
	g_string_append_printf(out, "%s%s: %s\n", indent, key,
			       replaced ? override->value : value);
}

/* Append the replaced key unless it was written as a required one. */
static void append_extra_key(GString *out, struct override *override,
			     enum rr_setting_scope scope, const char *indent)
{
	if (override->scope != scope || override->used)
		return;
	override->used = true;
	g_string_append_printf(out, "%s%s: %s\n", indent, override->key,
			       override->value);
}

/* Append a list's key; false if its value was replaced. */
static bool append_list_key(GString *out, struct override *override,
			    enum rr_setting_scope scope, const char *indent,
			    const char *key)
{
	if (override->scope == scope && !strcmp(override->key, key)) {
		append_extra_key(out, override, scope, indent);
		return false;
	}
	g_string_append_printf(out, "%s%s:\n", indent, key);
	return true;
}

static char *make_site_file(struct override *override)
{
	GString *out = g_string_new(NULL);

	if (override->scope == RR_SCOPE_SITE_LOG) {
		g_string_append(out, "log:\n");
		append_extra_key(out, override, RR_SCOPE_SITE_LOG, "  ");
	}
	if (override->scope == RR_SCOPE_DEFAULTS) {
		g_string_append(out, "defaults:\n");
		append_extra_key(out, override, RR_SCOPE_DEFAULTS, "  ");
	}
	if (append_list_key(out, override, RR_SCOPE_SITE, "", "services")) {
		append_key(out, override, RR_SCOPE_SERVICE, "- ", "name", "s");
		if (append_list_key(out, override, RR_SCOPE_SERVICE, "  ",
				    "shards")) {
			append_key(out, override, RR_SCOPE_SHARD, "  - ",
				   "name", "s");
			append_key(out, override, RR_SCOPE_SHARD, "    ",
				   "keys", "[0, 1]");
			if (append_list_key(out, override, RR_SCOPE_SHARD,
					    "    ", "replicas")) {
				append_key(out, override, RR_SCOPE_REPLICA,
					   "    - ", "id", "r");
				append_key(out, override, RR_SCOPE_REPLICA,
					   "      ", "zone", "z");
				append_key(out, override, RR_SCOPE_REPLICA,
					   "      ", "address", "10.0.0.1:1");
				append_extra_key(out, override,
						 RR_SCOPE_REPLICA, "      ");
			}
			append_extra_key(out, override, RR_SCOPE_SHARD, "    ");
		}
		append_extra_key(out, override, RR_SCOPE_SERVICE, "  ");
	}
	append_extra_key(out, override, RR_SCOPE_SITE, "");
	return g_string_free(out, FALSE);
}

static char *make_start_file(struct override *override)
{
	static const char key[] =
		"\"0123456789012345678901234567890123456789\"";
	GString *out = g_string_new(NULL);

	append_key(out, override, RR_SCOPE_START, "", "instance", "i");
	append_key(out, override, RR_SCOPE_START, "", "zone", "z");
	append_key(out, override, RR_SCOPE_START, "", "site", "s");
	append_key(out, override, RR_SCOPE_START, "", "caller_address",
		   "10.0.0.1:0");
	append_key(out, override, RR_SCOPE_START, "", "peer_address",
		   "10.0.0.1:0");
	append_key(out, override, RR_SCOPE_START, "", "platform_address",
		   "10.0.0.1:1");
	if (override->scope == RR_SCOPE_START_LOG) {
		g_string_append(out, "log:\n");
		append_extra_key(out, override, RR_SCOPE_START_LOG, "  ");
	}
	if (override->scope == RR_SCOPE_START_TLS) {
		g_string_append(out, "tls:\n");
		append_key(out, override, RR_SCOPE_START_TLS, "  ",
			   "certificate_file", "c");
		append_key(out, override, RR_SCOPE_START_TLS, "  ", "key_file",
			   "k");
		append_extra_key(out, override, RR_SCOPE_START_TLS, "  ");
	}
	if (override->scope == RR_SCOPE_START_CURVE) {
		g_string_append(out, "curve:\n");
		append_key(out, override, RR_SCOPE_START_CURVE, "  ",
			   "public_key", key);
		append_key(out, override, RR_SCOPE_START_CURVE, "  ",
			   "secret_key_file", "k");
		append_extra_key(out, override, RR_SCOPE_START_CURVE, "  ");
	}
	append_extra_key(out, override, RR_SCOPE_START, "");
	return g_string_free(out, FALSE);
}

static char *make_gateway_file(struct override *override)
{
	GString *out = g_string_new(NULL);

	append_key(out, override, RR_SCOPE_GATEWAY, "", "instance", "i");
	append_key(out, override, RR_SCOPE_GATEWAY, "", "zone", "z");
	append_key(out, override, RR_SCOPE_GATEWAY, "", "caller_address",
		   "10.0.0.1:0");
	append_key(out, override, RR_SCOPE_GATEWAY, "", "ready_address",
		   "10.0.0.1:0");
	append_key(out, override, RR_SCOPE_GATEWAY, "", "store_address",
		   "10.0.0.1:1");
	if (override->scope == RR_SCOPE_GATEWAY_LOG) {
		g_string_append(out, "log:\n");
		append_extra_key(out, override, RR_SCOPE_GATEWAY_LOG, "  ");
	}
	append_extra_key(out, override, RR_SCOPE_GATEWAY, "");
	return g_string_free(out, FALSE);
}

static char *make_file(struct override *override)
{
	if (override->scope >= RR_SCOPE_GATEWAY)
		return make_gateway_file(override);
	return override->scope >= RR_SCOPE_START ? make_start_file(override) :
						   make_site_file(override);
}

/*
 * Whether a file with a value is accepted.  If not, a diagnostic with a line
 * must name the key.
 */
static bool is_accepted(const struct rr_setting *setting, const char *value)
{
	struct override override = { setting->scope, setting->name, value,
				     false };
	bool is_start_file = setting->scope >= RR_SCOPE_START;
	char *text = make_file(&override);
	struct rr_settings_source source = { "file", text, strlen(text) };
	GPtrArray *diagnostics = rr_new_diagnostics();
	bool accepted;
	bool key_named = false;

	assert_true(override.used);
	if (setting->scope >= RR_SCOPE_GATEWAY) {
		struct rr_gateway_settings *settings =
			rr_parse_gateway_settings(&source, diagnostics);

		accepted = settings && !diagnostics->len;
		/* An invalid value with a default does not stop a gateway. */
		assert_int_equal(settings != NULL,
				 accepted || setting->default_if_invalid);
		rr_drop_gateway_settings(settings);
	} else if (is_start_file) {
		struct rr_start_settings *settings =
			rr_parse_start_settings(&source, diagnostics);

		accepted = settings != NULL;
		rr_drop_start_settings(settings);
	} else {
		struct rr_config *config =
			rr_parse_config(&source, NULL, NULL, diagnostics);

		accepted = config != NULL;
		rr_drop_config(config);
	}
	assert_int_equal(accepted, !diagnostics->len);
	for (guint i = 0; i < diagnostics->len; i++) {
		const struct rr_diagnostic *diagnostic = diagnostics->pdata[i];

		key_named |= strstr(diagnostic->message, setting->name) &&
			     diagnostic->line;
	}
	if (!accepted && !key_named)
		fail_msg("no diagnostic names %s in:\n%s", setting->name, text);
	g_ptr_array_unref(diagnostics);
	g_free(text);
	return accepted;
}

static void check_bounds(const struct rr_setting *setting)
{
	double step = setting->type == RR_TYPE_INTEGER ? 1 : 0.001;
	char value[64];

	g_snprintf(value, sizeof(value), "%.10g", setting->max + step);
	assert_false(is_accepted(setting, value));
	if (setting->min > 0) {
		g_snprintf(value, sizeof(value), "%.10g", setting->min - step);
		assert_false(is_accepted(setting, value));
	}
	assert_false(is_accepted(setting, "-1"));
	assert_false(is_accepted(setting, "1e1"));
	assert_false(is_accepted(setting, "nan"));
	assert_false(is_accepted(setting, "\"1\""));
	assert_false(is_accepted(setting, "~"));
	assert_false(is_accepted(setting, "99999999999999999999999"));
	assert_false(is_accepted(setting, "true"));
	assert_false(is_accepted(setting, "false"));
	if (setting->type == RR_TYPE_INTEGER)
		assert_false(is_accepted(setting, "010"));
	else
		assert_true(is_accepted(setting, "0.25") ||
			    setting->min > 0.25);
}

static void test_every_key_rejects_invalid_values(void **state)
{
	static const char *const bad_addresses[] = {
		"\"10.0.0.1\"",	   "\":80\"",	       "\"10.0.0.1:65536\"",
		"\"10.0.0.1:-1\"", "\"::1:80\"",       "\"[::1]80\"",
		"\"host:80\"",	   "\"10.0.0:80\"",    "\"10.0.0.1: \"",
		"\"[]:80\"",	   "\"300.0.0.1:80\"", "\"10.0.0.1:08\"",
	};

	(void)state;
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];

		assert_false(is_accepted(setting, ""));
		if (setting->type == RR_TYPE_MAPPING)
			assert_false(is_accepted(setting, "[a]"));
		else
			assert_false(is_accepted(setting, "{a: 1}"));
		if (setting->type == RR_TYPE_INTEGER ||
		    setting->type == RR_TYPE_NUMBER ||
		    setting->type == RR_TYPE_DURATION)
			check_bounds(setting);
		if (setting->type == RR_TYPE_NAME) {
			assert_false(is_accepted(setting, "a b"));
			assert_false(is_accepted(setting, "-a"));
			assert_false(is_accepted(setting, "a/b"));
		}
		if (setting->type == RR_TYPE_BOOL) {
			assert_false(is_accepted(setting, "yes"));
			assert_false(is_accepted(setting, "\"true\""));
		}
		if (setting->type == RR_TYPE_ENUM)
			assert_false(is_accepted(setting, "no-such-choice"));
		if (setting->type == RR_TYPE_KEY_RANGE) {
			assert_false(is_accepted(setting, "[1, 1]"));
			assert_false(is_accepted(setting, "[0]"));
			assert_false(is_accepted(setting, "[a, b]"));
			assert_false(is_accepted(setting,
						 "[0, 9223372036854775809]"));
		}
		if (setting->type != RR_TYPE_ADDRESS &&
		    setting->type != RR_TYPE_LISTEN_ADDRESS)
			continue;
		for (size_t j = 0; j < G_N_ELEMENTS(bad_addresses); j++)
			assert_false(is_accepted(setting, bad_addresses[j]));
	}
}

/* Guards against a stored value that is formatted differently. */
static void test_values_round_trip(void **state)
{
	GPtrArray *diagnostics = rr_new_diagnostics();

	(void)state;
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];
		const void *storage[128] = { 0 };
		struct rr_yaml_node node = { .kind = RR_YAML_SCALAR };
		GString *text = g_string_new(NULL);

		if (setting->type != RR_TYPE_INTEGER &&
		    setting->type != RR_TYPE_NUMBER &&
		    setting->type != RR_TYPE_DURATION &&
		    setting->type != RR_TYPE_ENUM)
			goto next;
		if (setting->type == RR_TYPE_ENUM)
			node.text = g_strdup(setting->choices[1]);
		else
			node.text = g_strdup_printf("%.0f", setting->max);
		assert_true(
			rr_check_setting_value(setting, &node, diagnostics));
		rr_assign_setting_value(setting, &node, storage);
		if (setting->type == RR_TYPE_NUMBER) {
			assert_true(*(double *)((char *)storage +
						setting->offset) ==
				    setting->max);
		} else {
			rr_format_setting_value(setting, storage, text);
			assert_string_equal(text->str, node.text);
		}
next:
		g_free(node.text);
		g_string_free(text, TRUE);
	}
	g_ptr_array_unref(diagnostics);
}

/* Guards against a reference page that differs from the settings table. */
static void test_reference_page_is_current(void **state)
{
	GString *page = g_string_new(NULL);

	(void)state;
	rr_format_settings_reference(page);
	rr_assert_page_is_current("docs/SETTINGS.md", page->str);
	g_string_free(page, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_key_rejects_invalid_values),
		cmocka_unit_test(test_values_round_trip),
		cmocka_unit_test(test_reference_page_is_current),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
