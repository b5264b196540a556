/*
 * test-settings.c - tests of parsing operators' files and start files.
 *
 * Covers errors with their lines, overlays and limits on the size of a file.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/settings.h"
#include "settings/settings-table.h"

#define SMALL_BASE                                              \
	"services:\n"                                           \
	"  - name: desk\n"                                      \
	"    deadline_ms: 300\n"                                \
	"    shards:\n"                                         \
	"      - name: desk-1\n"                                \
	"        keys: [0, 100]\n"                              \
	"        replicas:\n"                                   \
	"          - {id: a, zone: z1, address: 10.0.0.1:80}\n" \
	"          - {id: b, zone: z2, address: 10.0.0.2:80}\n" \
	"      - name: desk-2\n"                                \
	"        keys: [100, 200]\n"                            \
	"        replicas:\n"                                   \
	"          - {id: c, zone: z1, address: 10.0.0.3:80}\n"

static struct rr_settings_source make_source(const char *file, const char *text)
{
	struct rr_settings_source source = { file, text, strlen(text) };

	return source;
}

static struct rr_config *parse(const char *base, const char *overlay,
			       GPtrArray *diagnostics)
{
	struct rr_settings_source base_source = make_source("base", base);
	struct rr_settings_source overlay_source =
		make_source("overlay", overlay ? overlay : "");

	return rr_parse_config(&base_source, overlay ? &overlay_source : NULL,
			       "site", diagnostics);
}

static bool has_diagnostic(const GPtrArray *diagnostics, const char *file,
			   uint32_t line, const char *text)
{
	for (guint i = 0; i < diagnostics->len; i++) {
		const struct rr_diagnostic *diagnostic = diagnostics->pdata[i];

		if (!strcmp(diagnostic->file, file) &&
		    diagnostic->line == line &&
		    strstr(diagnostic->message, text))
			return true;
	}
	return false;
}

static void assert_diagnostic(const GPtrArray *diagnostics, const char *file,
			      uint32_t line, const char *text)
{
	if (has_diagnostic(diagnostics, file, line, text))
		return;
	for (guint i = 0; i < diagnostics->len; i++) {
		const struct rr_diagnostic *diagnostic = diagnostics->pdata[i];

		print_message("%s:%u: %s\n", diagnostic->file, diagnostic->line,
			      diagnostic->message);
	}
	fail_msg("no diagnostic '%s' at %s:%u", text, file, line);
}

/* Assert that parsing fails with exactly one diagnostic. */
static void assert_only_diagnostic(const char *base, const char *overlay,
				   const char *file, uint32_t line,
				   const char *text)
{
	GPtrArray *diagnostics = rr_new_diagnostics();

	assert_null(parse(base, overlay, diagnostics));
	assert_diagnostic(diagnostics, file, line, text);
	if (diagnostics->len != 1)
		assert_diagnostic(diagnostics, file, line,
				  "no other diagnostic");
	g_ptr_array_unref(diagnostics);
}

/*
 * Guards against a check that stops at the first error: an operator who fixes
 * it and pushes again would see the next error only then, and need five pushes
 * for five errors during an outage.
 */
static void test_all_errors_are_reported(void **state)
{
	GPtrArray *diagnostics = rr_new_diagnostics();

	(void)state;
	assert_null(
		parse("owners_per_replica: 99\n"
		      "defaults:\n"
		      "  deadline: 400\n"
		      "services:\n"
		      "  - name: desk\n"
		      "    answer: fast\n"
		      "    shards:\n"
		      "      - name: desk-1\n"
		      "        keys: [0, 100]\n"
		      "        replicas:\n"
		      "          - {id: a, zone: z1, address: desk:80}\n"
		      "      - name: desk-2\n"
		      "        keys: [99, 200]\n"
		      "        replicas:\n"
		      "          - {id: b, zone: z1, address: 10.0.0.1:80}\n",
		      NULL, diagnostics));
	assert_diagnostic(diagnostics, "base", 1,
			  "found '99', allowed is a whole number "
			  "from 1 to 16");
	assert_diagnostic(diagnostics, "base", 3, "unknown key 'deadline'");
	assert_diagnostic(diagnostics, "base", 6,
			  "found 'fast', allowed is one of "
			  "coverage, latency");
	assert_diagnostic(diagnostics, "base", 11,
			  "found 'desk:80', allowed is IP:PORT");
	assert_diagnostic(diagnostics, "base", 13,
			  "overlaps [0, 100] of shard 'desk-1'");
	assert_int_equal(diagnostics->len, 5);
	for (guint i = 1; i < diagnostics->len; i++) {
		const struct rr_diagnostic *previous =
			diagnostics->pdata[i - 1];
		const struct rr_diagnostic *diagnostic = diagnostics->pdata[i];

		assert_true(previous->line <= diagnostic->line);
	}
	g_ptr_array_unref(diagnostics);
}

static void test_overlay_is_merged(void **state)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	const struct rr_service_config *desk;
	struct rr_config *config = parse(
		"defaults: {deadline_ms: 500, slots: 3}\n" SMALL_BASE,
		"owners_per_replica: 4\n"
		"log: {level: debug}\n"
		"defaults: {slots: 5}\n"
		"services:\n"
		"  - name: desk\n"
		"    max_rows: 7\n"
		"    shards:\n"
		"      - name: desk-1\n"
		"        yard: north\n"
		"        replicas:\n"
		"          - {id: a, remove: true}\n"
		"          - {id: b, address: 10.0.0.9:80}\n"
		"      - {name: desk-2, remove: true}\n"
		"  - name: load\n"
		"    shards:\n"
		"      - name: load-1\n"
		"        keys: [0, 9223372036854775808]\n"
		"        replicas: [{id: d, zone: z3, address: '[::1]:80'}]\n",
		diagnostics);

	(void)state;
	assert_int_equal(diagnostics->len, 0);
	assert_non_null(config);
	assert_string_equal(config->site, "site");
	assert_int_equal(config->owners_per_replica, 4);
	assert_int_equal(config->log.level, RR_LOG_DEBUG);
	assert_int_equal(config->log.format, -1);
	assert_int_equal(config->n_services, 2);
	desk = rr_find_service(config, "desk");
	assert_int_equal(desk->deadline_ms, 300);
	assert_int_equal(desk->slots, 5);
	assert_int_equal(desk->max_rows, 7);
	assert_int_equal(desk->n_shards, 1);
	assert_string_equal(desk->shards[0].public_name, "north");
	assert_int_equal(desk->shards[0].n_replicas, 1);
	assert_string_equal(desk->shards[0].replicas[0].id, "b");
	assert_string_equal(desk->shards[0].replicas[0].zone, "z2");
	assert_string_equal(desk->shards[0].replicas[0].address, "10.0.0.9:80");
	assert_int_equal(config->services[1].deadline_ms, 500);
	assert_string_equal(config->services[1].shards[0].public_name,
			    "load-1");
	assert_true(config->services[1].shards[0].key_to == UINT64_C(1) << 63);
	rr_drop_config(config);
	g_ptr_array_unref(diagnostics);
}

/*
 * Guards against an overlay's removal that matches nothing and is silently
 * ignored.  After the base renames a replica, a site would go on sending
 * requests to the machine that its overlay removes.
 */
static void test_overlay_removal_without_match(void **state)
{
	(void)state;
	assert_only_diagnostic(SMALL_BASE,
			       "services:\n"
			       "  - name: desk\n"
			       "    shards:\n"
			       "      - name: desk-1\n"
			       "        replicas:\n"
			       "          - {id: gone, remove: true}\n",
			       "overlay", 6, "the base has no id 'gone'");
	assert_only_diagnostic(SMALL_BASE,
			       "services: [{name: x, remove: true}]\n",
			       "overlay", 1, "the base has no name 'x'");
	assert_only_diagnostic(SMALL_BASE,
			       "services:\n"
			       "  - name: desk\n"
			       "    shards:\n"
			       "      - {name: desk-1, remove: true}\n"
			       "      - {name: desk-2, remove: true}\n",
			       "base", 5, "found an empty list");
	assert_only_diagnostic(
		SMALL_BASE,
		"services:\n"
		"  - name: desk\n"
		"    shards: [{name: desk-2, remove: true, yard: x}]\n",
		"overlay", 3, "not allowed with 'remove: true'");
	assert_only_diagnostic(SMALL_BASE, "ledger_buckets: 8\n", "overlay", 1,
			       "allowed in the base file only");
}

static void test_names_and_ids_are_unique(void **state)
{
	(void)state;
	assert_only_diagnostic("slots: 1\n" SMALL_BASE, NULL, "base", 1,
			       "unknown key 'slots', allowed here: owners_per");
	assert_only_diagnostic("ledger_bucket: 1\n" SMALL_BASE, NULL, "base", 1,
			       "did you mean 'ledger_buckets'?");
	assert_only_diagnostic("log: {level: info}\nlog: {}\n" SMALL_BASE, NULL,
			       "base", 2,
			       "duplicate key 'log', first defined at line 1");
	assert_only_diagnostic(
		SMALL_BASE "      - name: desk-1\n"
			   "        keys: [500, 600]\n"
			   "        replicas: [{id: d, zone: z, "
			   "address: 10.0.0.1:80}]\n",
		NULL, "base", 14,
		"duplicate name 'desk-1', first defined at line");
	assert_only_diagnostic(SMALL_BASE "      - name: desk-3\n"
					  "        keys: [500, 600]\n"
					  "        replicas: [{id: a, zone: z, "
					  "address: 10.0.0.1:80}]\n",
			       NULL, "base", 16,
			       "duplicate id 'a', first defined at base:8");
	assert_only_diagnostic(
		SMALL_BASE
		"          - {id: d, zone: z, address: 10.0.0.3:80}\n",
		NULL, "base", 14, "duplicate '10.0.0.3:80' in one shard");
}

static void test_limits_between_keys(void **state)
{
	(void)state;
	assert_only_diagnostic(
		"defaults:\n  connection_reserve: 30\n" SMALL_BASE, NULL,
		"base", 2, "allowed is less than connections");
	assert_only_diagnostic("defaults:\n  wait_ms: 301\n" SMALL_BASE, NULL,
			       "base", 2, "at most deadline_ms, which is 300");
}

static void test_start_file(void **state)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_settings_source source = make_source(
		"start", "instance: ruaraka-1\n"
			 "zone: ruaraka\n"
			 "site: nairobi\n"
			 "caller_address: 127.0.0.1:0\n"
			 "peer_address: 127.0.0.1:8201\n"
			 "platform_address: 127.0.0.1:8001\n"
			 "seed_peers: [127.0.0.1:8202, 127.0.0.1:8203]\n"
			 "log: {level: info, format: json}\n"
			 "tls: {certificate_file: c.pem, key_file: k.pem}\n");
	struct rr_start_settings *settings =
		rr_parse_start_settings(&source, diagnostics);

	(void)state;
	assert_non_null(settings);
	assert_string_equal(settings->instance, "ruaraka-1");
	assert_int_equal(g_strv_length(settings->seed_peers), 2);
	assert_string_equal(settings->seed_peers[1], "127.0.0.1:8203");
	assert_int_equal(settings->log_level, RR_LOG_INFO);
	assert_int_equal(settings->log_format, RR_LOG_JSON);
	assert_string_equal(settings->tls_key_file, "k.pem");
	assert_null(settings->peer_public_key);
	assert_int_equal(g_strv_length(settings->peer_allowed_keys), 0);
	rr_drop_start_settings(settings);
	source = make_source("start",
			     "instance: a\nseed_peers: [x, 10.0.0.1:1]\n"
			     "tls: {key_file: k}\n");
	assert_null(rr_parse_start_settings(&source, diagnostics));
	assert_diagnostic(diagnostics, "start", 2, "seed_peers: found 'x'");
	assert_diagnostic(diagnostics, "start", 3,
			  "'certificate_file' is missing");
	assert_diagnostic(diagnostics, "start", 1,
			  "'platform_address' is missing");
	g_ptr_array_unref(diagnostics);
}

static char *repeat(const char *prefix, const char *part, size_t n,
		    const char *suffix)
{
	GString *text = g_string_new(prefix);

	for (size_t i = 0; i < n; i++)
		g_string_append(text, part);
	g_string_append(text, suffix);
	return g_string_free(text, FALSE);
}

/*
 * Guards against a short or pasted file that hangs the tool or an instance or
 * exhausts its memory.  YAML and its libraries allow aliases that multiply,
 * unlimited nesting and several documents.
 */
static void test_hostile_yaml_is_rejected(void **state)
{
	char *deep = repeat("", "[", 100000, "");
	char *wide = repeat("[", "a,", 400000, "]");
	char *huge = repeat("# ", "x", RR_MAX_SETTINGS_BYTES, "\n");

	(void)state;
	assert_only_diagnostic(deep, NULL, "base", 1, "nested deeper than 12");
	assert_only_diagnostic(wide, NULL, "base", 1,
			       "more than 300000 values");
	assert_only_diagnostic(huge, NULL, "base", 1,
			       "a settings file has at most");
	assert_only_diagnostic("services:\n\t- name: x\n", NULL, "base", 2,
			       "found a tab, indent with spaces only");
	assert_only_diagnostic(SMALL_BASE "---\nservices: []\n", NULL, "base",
			       14, "found a second document");
	assert_only_diagnostic("log: &l {}\n" SMALL_BASE, NULL, "base", 1,
			       "found an anchor 'l'");
	assert_only_diagnostic("log: !!map {}\n" SMALL_BASE, NULL, "base", 1,
			       "tags are not allowed");
	assert_only_diagnostic("", NULL, "base", 1, "holds no settings");
	assert_only_diagnostic("- a\n", NULL, "base", 1,
			       "found ['a'], a settings");
	assert_only_diagnostic("x: \xff\n", NULL, "base", 1, "not YAML");
	assert_only_diagnostic("a: [\n", NULL, "base", 2, "not YAML");
	assert_only_diagnostic("log: {level: \"info\\0x\"}\n" SMALL_BASE, NULL,
			       "base", 1, "found a NUL character");
	assert_only_diagnostic("? [a]\n: b\n", NULL, "base", 1,
			       "found a key that is not a scalar");
	g_free(deep);
	g_free(wide);
	g_free(huge);
}

static void test_aliases_are_not_expanded(void **state)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	GString *text = g_string_new("a0: &a0 [x]\n");

	(void)state;
	for (int i = 1; i < 40; i++)
		g_string_append_printf(text, "a%d: &a%d [*a%d, *a%d, *a%d]\n",
				       i, i, i - 1, i - 1, i - 1);
	assert_null(parse(text->str, NULL, diagnostics));
	assert_diagnostic(diagnostics, "base", 2, "found an alias");
	assert_true(diagnostics->len <= RR_MAX_DIAGNOSTICS + 1);
	g_string_free(text, TRUE);
	g_ptr_array_unref(diagnostics);
}

static void test_config_diff(void **state)
{
	GPtrArray *diagnostics = rr_new_diagnostics();
	struct rr_config *old = parse(SMALL_BASE, NULL, diagnostics);
	struct rr_config *new =
		parse(SMALL_BASE,
		      "services:\n"
		      "  - name: desk\n"
		      "    deadline_ms: 250\n"
		      "    shards:\n"
		      "      - name: desk-1\n"
		      "        replicas:\n"
		      "          - {id: a, remove: true}\n"
		      "          - {id: b, zone: z9}\n"
		      "          - {id: n, zone: z1, address: 10.0.0.4:80}\n",
		      diagnostics);
	GString *out = g_string_new(NULL);

	(void)state;
	rr_format_config_diff(old, old, out);
	assert_string_equal(out->str, "");
	rr_format_config_diff(old, new, out);
	assert_string_equal(
		out->str,
		"  desk, deadline_ms: 300 -> 250\n"
		"  desk, shard desk-1, replica a: removed\n"
		"  desk, shard desk-1, replica b: zone: z2 -> z9\n"
		"  desk, shard desk-1, replica n: added, 10.0.0.4:80 in zone "
		"z1\n");
	g_string_free(out, TRUE);
	rr_drop_config(old);
	rr_drop_config(new);
	g_ptr_array_unref(diagnostics);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_errors_are_reported),
		cmocka_unit_test(test_overlay_is_merged),
		cmocka_unit_test(test_overlay_removal_without_match),
		cmocka_unit_test(test_names_and_ids_are_unique),
		cmocka_unit_test(test_limits_between_keys),
		cmocka_unit_test(test_start_file),
		cmocka_unit_test(test_hostile_yaml_is_rejected),
		cmocka_unit_test(test_aliases_are_not_expanded),
		cmocka_unit_test(test_config_diff),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
