/*
 * test-settings-keys.c - each key of the settings table: values that it
 * refuses, and the page that operators read of it.
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

/* A whole file in which one key of one scope has the given value. */
struct slot {
	enum rr_setting_scope scope;
	const char *key;
	const char *value;
	bool used;
};

static void put(GString *out, struct slot *slot, enum rr_setting_scope scope,
		const char *indent, const char *key, const char *value)
{
	bool here = slot->scope == scope && !strcmp(slot->key, key);

	slot->used |= here;
	g_string_append_printf(out, "%s%s: %s\n", indent, key,
			       here ? slot->value : value);
}

/* The slot's line where its key is none of the required ones. */
static void put_rest(GString *out, struct slot *slot,
		     enum rr_setting_scope scope, const char *indent)
{
	if (slot->scope != scope || slot->used)
		return;
	slot->used = true;
	g_string_append_printf(out, "%s%s: %s\n", indent, slot->key,
			       slot->value);
}

static bool put_list(GString *out, struct slot *slot,
		     enum rr_setting_scope scope, const char *indent,
		     const char *key)
{
	if (slot->scope == scope && !strcmp(slot->key, key)) {
		put_rest(out, slot, scope, indent);
		return false;
	}
	g_string_append_printf(out, "%s%s:\n", indent, key);
	return true;
}

static char *make_site_file(struct slot *slot)
{
	GString *out = g_string_new(NULL);

	if (slot->scope == RR_SCOPE_SITE_LOG) {
		g_string_append(out, "log:\n");
		put_rest(out, slot, RR_SCOPE_SITE_LOG, "  ");
	}
	if (slot->scope == RR_SCOPE_DEFAULTS) {
		g_string_append(out, "defaults:\n");
		put_rest(out, slot, RR_SCOPE_DEFAULTS, "  ");
	}
	if (put_list(out, slot, RR_SCOPE_SITE, "", "services")) {
		put(out, slot, RR_SCOPE_SERVICE, "- ", "name", "s");
		if (put_list(out, slot, RR_SCOPE_SERVICE, "  ", "shards")) {
			put(out, slot, RR_SCOPE_SHARD, "  - ", "name", "s");
			put(out, slot, RR_SCOPE_SHARD, "    ", "keys",
			    "[0, 1]");
			if (put_list(out, slot, RR_SCOPE_SHARD, "    ",
				     "replicas")) {
				put(out, slot, RR_SCOPE_REPLICA, "    - ", "id",
				    "r");
				put(out, slot, RR_SCOPE_REPLICA, "      ",
				    "zone", "z");
				put(out, slot, RR_SCOPE_REPLICA, "      ",
				    "address", "10.0.0.1:1");
				put_rest(out, slot, RR_SCOPE_REPLICA, "      ");
			}
			put_rest(out, slot, RR_SCOPE_SHARD, "    ");
		}
		put_rest(out, slot, RR_SCOPE_SERVICE, "  ");
	}
	put_rest(out, slot, RR_SCOPE_SITE, "");
	return g_string_free(out, FALSE);
}

static char *make_start_file(struct slot *slot)
{
	static const char key[] =
		"\"0123456789012345678901234567890123456789\"";
	GString *out = g_string_new(NULL);

	put(out, slot, RR_SCOPE_START, "", "instance", "i");
	put(out, slot, RR_SCOPE_START, "", "zone", "z");
	put(out, slot, RR_SCOPE_START, "", "site", "s");
	put(out, slot, RR_SCOPE_START, "", "caller_address", "10.0.0.1:0");
	put(out, slot, RR_SCOPE_START, "", "peer_address", "10.0.0.1:0");
	put(out, slot, RR_SCOPE_START, "", "platform_address", "10.0.0.1:1");
	if (slot->scope == RR_SCOPE_START_LOG) {
		g_string_append(out, "log:\n");
		put_rest(out, slot, RR_SCOPE_START_LOG, "  ");
	}
	if (slot->scope == RR_SCOPE_START_TLS) {
		g_string_append(out, "tls:\n");
		put(out, slot, RR_SCOPE_START_TLS, "  ", "certificate_file",
		    "c");
		put(out, slot, RR_SCOPE_START_TLS, "  ", "key_file", "k");
		put_rest(out, slot, RR_SCOPE_START_TLS, "  ");
	}
	if (slot->scope == RR_SCOPE_START_CURVE) {
		g_string_append(out, "curve:\n");
		put(out, slot, RR_SCOPE_START_CURVE, "  ", "public_key", key);
		put(out, slot, RR_SCOPE_START_CURVE, "  ", "secret_key_file",
		    "k");
		put_rest(out, slot, RR_SCOPE_START_CURVE, "  ");
	}
	put_rest(out, slot, RR_SCOPE_START, "");
	return g_string_free(out, FALSE);
}

static char *make_gateway_file(struct slot *slot)
{
	GString *out = g_string_new(NULL);

	put(out, slot, RR_SCOPE_GATEWAY, "", "instance", "i");
	put(out, slot, RR_SCOPE_GATEWAY, "", "zone", "z");
	put(out, slot, RR_SCOPE_GATEWAY, "", "caller_address", "10.0.0.1:0");
	put(out, slot, RR_SCOPE_GATEWAY, "", "ready_address", "10.0.0.1:0");
	put(out, slot, RR_SCOPE_GATEWAY, "", "store_address", "10.0.0.1:1");
	if (slot->scope == RR_SCOPE_GATEWAY_LOG) {
		g_string_append(out, "log:\n");
		put_rest(out, slot, RR_SCOPE_GATEWAY_LOG, "  ");
	}
	put_rest(out, slot, RR_SCOPE_GATEWAY, "");
	return g_string_free(out, FALSE);
}

static char *make_file(struct slot *slot)
{
	if (slot->scope >= RR_SCOPE_GATEWAY)
		return make_gateway_file(slot);
	return slot->scope >= RR_SCOPE_START ? make_start_file(slot) :
					       make_site_file(slot);
}

/* Whether a file with that value is accepted; the fault must name the key. */
static bool accepts(const struct rr_setting *setting, const char *value)
{
	struct slot slot = { setting->scope, setting->name, value, false };
	bool start = setting->scope >= RR_SCOPE_START;
	char *text = make_file(&slot);
	struct rr_settings_source source = { "file", text, strlen(text) };
	GPtrArray *faults = rr_new_diagnostics();
	bool accepted;
	bool named = false;

	assert_true(slot.used);
	if (setting->scope >= RR_SCOPE_GATEWAY) {
		struct rr_gateway_settings *settings =
			rr_parse_gateway_settings(&source, faults);

		accepted = settings && !faults->len;
		/* What has a default keeps no gateway from starting. */
		assert_int_equal(settings != NULL,
				 accepted || setting->default_if_invalid);
		rr_drop_gateway_settings(settings);
	} else if (start) {
		struct rr_start_settings *settings =
			rr_parse_start_settings(&source, faults);

		accepted = settings != NULL;
		rr_drop_start_settings(settings);
	} else {
		struct rr_config *config =
			rr_parse_config(&source, NULL, NULL, faults);

		accepted = config != NULL;
		rr_drop_config(config);
	}
	assert_int_equal(accepted, !faults->len);
	for (guint i = 0; i < faults->len; i++) {
		const struct rr_diagnostic *fault = faults->pdata[i];

		named |= strstr(fault->message, setting->name) && fault->line;
	}
	if (!accepted && !named)
		fail_msg("no fault names %s in:\n%s", setting->name, text);
	g_ptr_array_unref(faults);
	g_free(text);
	return accepted;
}

static void check_bounds(const struct rr_setting *setting)
{
	double step = setting->type == RR_TYPE_INTEGER ? 1 : 0.001;
	char value[64];

	g_snprintf(value, sizeof(value), "%.10g", setting->max + step);
	assert_false(accepts(setting, value));
	if (setting->min > 0) {
		g_snprintf(value, sizeof(value), "%.10g", setting->min - step);
		assert_false(accepts(setting, value));
	}
	assert_false(accepts(setting, "-1"));
	assert_false(accepts(setting, "1e1"));
	assert_false(accepts(setting, "nan"));
	assert_false(accepts(setting, "\"1\""));
	assert_false(accepts(setting, "~"));
	assert_false(accepts(setting, "99999999999999999999999"));
	assert_false(accepts(setting, "true"));
	assert_false(accepts(setting, "false"));
	if (setting->type == RR_TYPE_INTEGER)
		assert_false(accepts(setting, "010"));
	else
		assert_true(accepts(setting, "0.25") || setting->min > 0.25);
}

static void test_every_key_refuses_bad_values(void **state)
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

		assert_false(accepts(setting, ""));
		if (setting->type == RR_TYPE_MAPPING)
			assert_false(accepts(setting, "[a]"));
		else
			assert_false(accepts(setting, "{a: 1}"));
		if (setting->type == RR_TYPE_INTEGER ||
		    setting->type == RR_TYPE_NUMBER ||
		    setting->type == RR_TYPE_DURATION)
			check_bounds(setting);
		if (setting->type == RR_TYPE_NAME) {
			assert_false(accepts(setting, "a b"));
			assert_false(accepts(setting, "-a"));
			assert_false(accepts(setting, "a/b"));
		}
		if (setting->type == RR_TYPE_BOOL) {
			assert_false(accepts(setting, "yes"));
			assert_false(accepts(setting, "\"true\""));
		}
		if (setting->type == RR_TYPE_ENUM)
			assert_false(accepts(setting, "no-such-choice"));
		if (setting->type == RR_TYPE_KEY_RANGE) {
			assert_false(accepts(setting, "[1, 1]"));
			assert_false(accepts(setting, "[0]"));
			assert_false(accepts(setting, "[a, b]"));
			assert_false(
				accepts(setting, "[0, 9223372036854775809]"));
		}
		if (setting->type != RR_TYPE_ADDRESS &&
		    setting->type != RR_TYPE_LISTEN_ADDRESS)
			continue;
		for (size_t j = 0; j < G_N_ELEMENTS(bad_addresses); j++)
			assert_false(accepts(setting, bad_addresses[j]));
	}
}

/* What a written value becomes is what the struct's reader shows. */
static void test_values_round_trip(void **state)
{
	GPtrArray *faults = rr_new_diagnostics();

	(void)state;
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];
		const void *bytes[128] = { 0 };
		struct rr_yaml_node node = { .kind = RR_YAML_SCALAR };
		GString *shown = g_string_new(NULL);

		if (setting->type != RR_TYPE_INTEGER &&
		    setting->type != RR_TYPE_NUMBER &&
		    setting->type != RR_TYPE_DURATION &&
		    setting->type != RR_TYPE_ENUM)
			goto next;
		if (setting->type == RR_TYPE_ENUM)
			node.text = g_strdup(setting->choices[1]);
		else
			node.text = g_strdup_printf("%.0f", setting->max);
		assert_true(rr_check_setting_value(setting, &node, faults));
		rr_assign_setting_value(setting, &node, bytes);
		if (setting->type == RR_TYPE_NUMBER) {
			assert_true(
				*(double *)((char *)bytes + setting->offset) ==
				setting->max);
		} else {
			rr_format_setting_value(setting, bytes, shown);
			assert_string_equal(shown->str, node.text);
		}
next:
		g_free(node.text);
		g_string_free(shown, TRUE);
	}
	g_ptr_array_unref(faults);
}

/* The page that operators read is the table that checks their files. */
static void test_reference_page_is_current(void **state)
{
	GString *made = g_string_new(NULL);

	(void)state;
	rr_format_settings_reference(made);
	rr_assert_page_is_current("docs/SETTINGS.md", made->str);
	g_string_free(made, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_key_refuses_bad_values),
		cmocka_unit_test(test_values_round_trip),
		cmocka_unit_test(test_reference_page_is_current),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
