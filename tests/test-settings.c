/*
 * test-settings.c - the operators' files and the start file: all faults with
 * their lines, overlays, bounds on what a file can do.
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
#include "support/paths.h"

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

static void free_fault(gpointer fault)
{
	rr_free_fault(fault);
}

static GPtrArray *new_faults(void)
{
	return g_ptr_array_new_with_free_func(free_fault);
}

static struct rr_source source_of(const char *file, const char *text)
{
	struct rr_source source = { file, text, strlen(text) };

	return source;
}

static struct rr_config *parse(const char *base, const char *overlay,
			       GPtrArray *faults)
{
	struct rr_source lower = source_of("base", base);
	struct rr_source upper = source_of("overlay", overlay ? overlay : "");

	return rr_parse_config(&lower, overlay ? &upper : NULL, "site", faults);
}

static bool has_fault(const GPtrArray *faults, const char *file, uint32_t line,
		      const char *part)
{
	for (guint i = 0; i < faults->len; i++) {
		const struct rr_fault *fault = faults->pdata[i];

		if (!strcmp(fault->file, file) && fault->line == line &&
		    strstr(fault->what, part))
			return true;
	}
	return false;
}

static void assert_fault(const GPtrArray *faults, const char *file,
			 uint32_t line, const char *part)
{
	if (has_fault(faults, file, line, part))
		return;
	for (guint i = 0; i < faults->len; i++) {
		const struct rr_fault *fault = faults->pdata[i];

		print_message("%s:%u: %s\n", fault->file, fault->line,
			      fault->what);
	}
	fail_msg("no fault '%s' at %s:%u", part, file, line);
}

/* The one fault of a text, and nothing made of it. */
static void assert_only_fault(const char *base, const char *overlay,
			      const char *file, uint32_t line, const char *part)
{
	GPtrArray *faults = new_faults();

	assert_null(parse(base, overlay, faults));
	assert_fault(faults, file, line, part);
	if (faults->len != 1)
		assert_fault(faults, file, line, "no other fault");
	g_ptr_array_unref(faults);
}

/*
 * Story: an operator mends the fault that the check names, pushes again and
 * is told of the next one, five times over, while a yard is down.
 * Cause: a check that stops at the first fault.
 */
static void test_five_faults_at_once(void **state)
{
	GPtrArray *faults = new_faults();

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
		      NULL, faults));
	assert_fault(faults, "base", 1,
		     "found '99', allowed is a whole number "
		     "from 1 to 16");
	assert_fault(faults, "base", 3, "unknown key 'deadline'");
	assert_fault(faults, "base", 6,
		     "found 'fast', allowed is one of "
		     "coverage, latency");
	assert_fault(faults, "base", 11, "found 'desk:80', allowed is IP:PORT");
	assert_fault(faults, "base", 13, "overlaps [0, 100] of shard 'desk-1'");
	assert_int_equal(faults->len, 5);
	for (guint i = 1; i < faults->len; i++) {
		const struct rr_fault *before = faults->pdata[i - 1];
		const struct rr_fault *fault = faults->pdata[i];

		assert_true(before->line <= fault->line);
	}
	g_ptr_array_unref(faults);
}

static void test_overlay_is_laid_over_base(void **state)
{
	GPtrArray *faults = new_faults();
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
		faults);

	(void)state;
	assert_int_equal(faults->len, 0);
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
	assert_string_equal(desk->shards[0].yard, "north");
	assert_int_equal(desk->shards[0].n_replicas, 1);
	assert_string_equal(desk->shards[0].replicas[0].id, "b");
	assert_string_equal(desk->shards[0].replicas[0].zone, "z2");
	assert_string_equal(desk->shards[0].replicas[0].address, "10.0.0.9:80");
	assert_int_equal(config->services[1].deadline_ms, 500);
	assert_string_equal(config->services[1].shards[0].yard, "load-1");
	assert_true(config->services[1].shards[0].key_to == UINT64_C(1) << 63);
	rr_drop_config(config);
	g_ptr_array_unref(faults);
}

/*
 * Story: a site's overlay takes a replica away that the base has renamed; the
 * site goes on sending work to the machine it wanted rid of.
 * Cause: a removal that matches nothing is passed over in silence.
 */
static void test_overlay_removes_what_is_not_there(void **state)
{
	(void)state;
	assert_only_fault(SMALL_BASE,
			  "services:\n"
			  "  - name: desk\n"
			  "    shards:\n"
			  "      - name: desk-1\n"
			  "        replicas:\n"
			  "          - {id: gone, remove: true}\n",
			  "overlay", 6, "the base has no id 'gone'");
	assert_only_fault(SMALL_BASE, "services: [{name: x, remove: true}]\n",
			  "overlay", 1, "the base has no name 'x'");
	assert_only_fault(SMALL_BASE,
			  "services:\n"
			  "  - name: desk\n"
			  "    shards:\n"
			  "      - {name: desk-1, remove: true}\n"
			  "      - {name: desk-2, remove: true}\n",
			  "base", 5, "found an empty list");
	assert_only_fault(
		SMALL_BASE,
		"services:\n"
		"  - name: desk\n"
		"    shards: [{name: desk-2, remove: true, yard: x}]\n",
		"overlay", 3, "stands beside 'remove: true'");
	assert_only_fault(SMALL_BASE, "ledger_buckets: 8\n", "overlay", 1,
			  "allowed in the base file only");
}

static void test_names_and_ids_are_unique(void **state)
{
	(void)state;
	assert_only_fault("slots: 1\n" SMALL_BASE, NULL, "base", 1,
			  "unknown key 'slots', allowed here: owners_per");
	assert_only_fault("ledger_bucket: 1\n" SMALL_BASE, NULL, "base", 1,
			  "did you mean 'ledger_buckets'?");
	assert_only_fault("log: {level: info}\nlog: {}\n" SMALL_BASE, NULL,
			  "base", 2, "second time, it stands at line 1");
	assert_only_fault(SMALL_BASE "      - name: desk-1\n"
				     "        keys: [500, 600]\n"
				     "        replicas: [{id: d, zone: z, "
				     "address: 10.0.0.1:80}]\n",
			  NULL, "base", 14, "found name 'desk-1' a second");
	assert_only_fault(SMALL_BASE "      - name: desk-3\n"
				     "        keys: [500, 600]\n"
				     "        replicas: [{id: a, zone: z, "
				     "address: 10.0.0.1:80}]\n",
			  NULL, "base", 16,
			  "found id 'a' a second time, it stands at base:8");
	assert_only_fault(
		SMALL_BASE
		"          - {id: d, zone: z, address: 10.0.0.3:80}\n",
		NULL, "base", 14, "a second time in one shard");
}

static void test_limits_between_keys(void **state)
{
	(void)state;
	assert_only_fault("defaults:\n  connection_reserve: 30\n" SMALL_BASE,
			  NULL, "base", 2, "allowed is less than connections");
	assert_only_fault("defaults:\n  wait_ms: 301\n" SMALL_BASE, NULL,
			  "base", 2, "at most deadline_ms, which is 300");
}

/* A whole file in which one key of one scope has the given value. */
struct slot {
	enum rr_scope scope;
	const char *key;
	const char *value;
	bool used;
};

static void put(GString *out, struct slot *slot, enum rr_scope scope,
		const char *indent, const char *key, const char *value)
{
	bool here = slot->scope == scope && !strcmp(slot->key, key);

	slot->used |= here;
	g_string_append_printf(out, "%s%s: %s\n", indent, key,
			       here ? slot->value : value);
}

/* The slot's line where its key is none of the required ones. */
static void put_rest(GString *out, struct slot *slot, enum rr_scope scope,
		     const char *indent)
{
	if (slot->scope != scope || slot->used)
		return;
	slot->used = true;
	g_string_append_printf(out, "%s%s: %s\n", indent, slot->key,
			       slot->value);
}

static bool put_list(GString *out, struct slot *slot, enum rr_scope scope,
		     const char *indent, const char *key)
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

	if (slot->scope == RR_IN_SITE_LOG) {
		g_string_append(out, "log:\n");
		put_rest(out, slot, RR_IN_SITE_LOG, "  ");
	}
	if (slot->scope == RR_IN_DEFAULTS) {
		g_string_append(out, "defaults:\n");
		put_rest(out, slot, RR_IN_DEFAULTS, "  ");
	}
	if (put_list(out, slot, RR_IN_SITE, "", "services")) {
		put(out, slot, RR_IN_SERVICE, "- ", "name", "s");
		if (put_list(out, slot, RR_IN_SERVICE, "  ", "shards")) {
			put(out, slot, RR_IN_SHARD, "  - ", "name", "s");
			put(out, slot, RR_IN_SHARD, "    ", "keys", "[0, 1]");
			if (put_list(out, slot, RR_IN_SHARD, "    ",
				     "replicas")) {
				put(out, slot, RR_IN_REPLICA, "    - ", "id",
				    "r");
				put(out, slot, RR_IN_REPLICA, "      ", "zone",
				    "z");
				put(out, slot, RR_IN_REPLICA, "      ",
				    "address", "10.0.0.1:1");
				put_rest(out, slot, RR_IN_REPLICA, "      ");
			}
			put_rest(out, slot, RR_IN_SHARD, "    ");
		}
		put_rest(out, slot, RR_IN_SERVICE, "  ");
	}
	put_rest(out, slot, RR_IN_SITE, "");
	return g_string_free(out, FALSE);
}

static char *make_start_file(struct slot *slot)
{
	static const char key[] =
		"\"0123456789012345678901234567890123456789\"";
	GString *out = g_string_new(NULL);

	put(out, slot, RR_IN_START, "", "instance", "i");
	put(out, slot, RR_IN_START, "", "zone", "z");
	put(out, slot, RR_IN_START, "", "site", "s");
	put(out, slot, RR_IN_START, "", "caller_address", "10.0.0.1:0");
	put(out, slot, RR_IN_START, "", "peer_address", "10.0.0.1:0");
	put(out, slot, RR_IN_START, "", "platform_address", "10.0.0.1:1");
	if (slot->scope == RR_IN_START_LOG) {
		g_string_append(out, "log:\n");
		put_rest(out, slot, RR_IN_START_LOG, "  ");
	}
	if (slot->scope == RR_IN_START_TLS) {
		g_string_append(out, "tls:\n");
		put(out, slot, RR_IN_START_TLS, "  ", "certificate_file", "c");
		put(out, slot, RR_IN_START_TLS, "  ", "key_file", "k");
		put_rest(out, slot, RR_IN_START_TLS, "  ");
	}
	if (slot->scope == RR_IN_START_CURVE) {
		g_string_append(out, "curve:\n");
		put(out, slot, RR_IN_START_CURVE, "  ", "public_key", key);
		put(out, slot, RR_IN_START_CURVE, "  ", "secret_key_file", "k");
		put_rest(out, slot, RR_IN_START_CURVE, "  ");
	}
	put_rest(out, slot, RR_IN_START, "");
	return g_string_free(out, FALSE);
}

static char *make_gateway_file(struct slot *slot)
{
	GString *out = g_string_new(NULL);

	put(out, slot, RR_IN_GATEWAY, "", "instance", "i");
	put(out, slot, RR_IN_GATEWAY, "", "zone", "z");
	put(out, slot, RR_IN_GATEWAY, "", "caller_address", "10.0.0.1:0");
	put(out, slot, RR_IN_GATEWAY, "", "ready_address", "10.0.0.1:0");
	put(out, slot, RR_IN_GATEWAY, "", "store_address", "10.0.0.1:1");
	if (slot->scope == RR_IN_GATEWAY_LOG) {
		g_string_append(out, "log:\n");
		put_rest(out, slot, RR_IN_GATEWAY_LOG, "  ");
	}
	put_rest(out, slot, RR_IN_GATEWAY, "");
	return g_string_free(out, FALSE);
}

static char *make_file(struct slot *slot)
{
	if (slot->scope >= RR_IN_GATEWAY)
		return make_gateway_file(slot);
	return slot->scope >= RR_IN_START ? make_start_file(slot) :
					    make_site_file(slot);
}

/* Whether a file with that value is accepted; the fault must name the key. */
static bool accepts(const struct rr_setting *setting, const char *value)
{
	struct slot slot = { setting->scope, setting->name, value, false };
	bool start = setting->scope >= RR_IN_START;
	char *text = make_file(&slot);
	struct rr_source source = source_of("file", text);
	GPtrArray *faults = new_faults();
	bool accepted;
	bool named = false;

	assert_true(slot.used);
	if (setting->scope >= RR_IN_GATEWAY) {
		struct rr_gateway_settings *settings =
			rr_parse_gateway_settings(&source, faults);

		accepted = settings != NULL;
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
		const struct rr_fault *fault = faults->pdata[i];

		named |= strstr(fault->what, setting->name) && fault->line;
	}
	if (!accepted && !named)
		fail_msg("no fault names %s in:\n%s", setting->name, text);
	g_ptr_array_unref(faults);
	g_free(text);
	return accepted;
}

static void check_bounds(const struct rr_setting *setting)
{
	double step = setting->type == RR_SET_INTEGER ? 1 : 0.001;
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
	if (setting->type == RR_SET_INTEGER)
		assert_false(accepts(setting, "010"));
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
		if (setting->type == RR_SET_MAPPING)
			assert_false(accepts(setting, "[a]"));
		else
			assert_false(accepts(setting, "{a: 1}"));
		if (setting->type == RR_SET_INTEGER ||
		    setting->type == RR_SET_NUMBER)
			check_bounds(setting);
		if (setting->type == RR_SET_NAME) {
			assert_false(accepts(setting, "a b"));
			assert_false(accepts(setting, "-a"));
			assert_false(accepts(setting, "a/b"));
		}
		if (setting->type == RR_SET_BOOL) {
			assert_false(accepts(setting, "yes"));
			assert_false(accepts(setting, "\"true\""));
		}
		if (setting->type == RR_SET_CHOICE)
			assert_false(accepts(setting, "no-such-choice"));
		if (setting->type == RR_SET_KEY_RANGE) {
			assert_false(accepts(setting, "[1, 1]"));
			assert_false(accepts(setting, "[0]"));
			assert_false(accepts(setting, "[a, b]"));
			assert_false(
				accepts(setting, "[0, 9223372036854775809]"));
		}
		if (setting->type != RR_SET_ADDRESS &&
		    setting->type != RR_SET_LISTEN_ADDRESS)
			continue;
		for (size_t j = 0; j < G_N_ELEMENTS(bad_addresses); j++)
			assert_false(accepts(setting, bad_addresses[j]));
	}
}

/* What a written value becomes is what the struct's reader shows. */
static void test_values_round_trip(void **state)
{
	GPtrArray *faults = new_faults();

	(void)state;
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];
		const void *bytes[128] = { 0 };
		struct rr_yaml_node node = { .kind = RR_YAML_SCALAR };
		GString *shown = g_string_new(NULL);

		if (setting->type != RR_SET_INTEGER &&
		    setting->type != RR_SET_NUMBER &&
		    setting->type != RR_SET_CHOICE)
			goto next;
		if (setting->type == RR_SET_CHOICE)
			node.text = g_strdup(setting->choices[1]);
		else
			node.text = g_strdup_printf("%.0f", setting->max);
		assert_true(rr_check_value(setting, &node, faults));
		rr_store_value(setting, &node, bytes);
		if (setting->type == RR_SET_NUMBER) {
			assert_true(
				*(double *)((char *)bytes + setting->offset) ==
				setting->max);
		} else {
			rr_format_stored(setting, bytes, shown);
			assert_string_equal(shown->str, node.text);
		}
next:
		g_free(node.text);
		g_string_free(shown, TRUE);
	}
	g_ptr_array_unref(faults);
}

static void test_start_file(void **state)
{
	GPtrArray *faults = new_faults();
	struct rr_source source = source_of(
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
		rr_parse_start_settings(&source, faults);

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
	source = source_of("start", "instance: a\nseed_peers: [x, 10.0.0.1:1]\n"
				    "tls: {key_file: k}\n");
	assert_null(rr_parse_start_settings(&source, faults));
	assert_fault(faults, "start", 2, "seed_peers: found 'x'");
	assert_fault(faults, "start", 3, "'certificate_file' is missing");
	assert_fault(faults, "start", 1, "'platform_address' is missing");
	g_ptr_array_unref(faults);
}

static char *repeat(const char *before, const char *part, size_t n,
		    const char *after)
{
	GString *text = g_string_new(before);

	for (size_t i = 0; i < n; i++)
		g_string_append(text, part);
	g_string_append(text, after);
	return g_string_free(text, FALSE);
}

/*
 * Story: a file of a few lines, or a pasted one, hangs the tool or an
 * instance or fills its memory.
 * Cause: YAML lets aliases multiply, nests without end and holds several
 * documents; libraries follow.
 */
static void test_yaml_traps_are_faults(void **state)
{
	char *deep = repeat("", "[", 100000, "");
	char *wide = repeat("[", "a,", 400000, "]");
	char *huge = repeat("# ", "x", RR_MAX_SETTINGS_BYTES, "\n");

	(void)state;
	assert_only_fault(deep, NULL, "base", 1, "nested deeper than 12");
	assert_only_fault(wide, NULL, "base", 1, "more than 300000 values");
	assert_only_fault(huge, NULL, "base", 1, "a settings file has at most");
	assert_only_fault("services:\n\t- name: x\n", NULL, "base", 2,
			  "found a tab, indentation is by spaces only");
	assert_only_fault(SMALL_BASE "---\nservices: []\n", NULL, "base", 14,
			  "found a second document");
	assert_only_fault("log: &l {}\n" SMALL_BASE, NULL, "base", 1,
			  "found an anchor 'l'");
	assert_only_fault("log: !!map {}\n" SMALL_BASE, NULL, "base", 1,
			  "tags are not allowed");
	assert_only_fault("", NULL, "base", 1, "holds no settings");
	assert_only_fault("- a\n", NULL, "base", 1, "found ['a'], a settings");
	assert_only_fault("x: \xff\n", NULL, "base", 1, "not YAML");
	assert_only_fault("a: [\n", NULL, "base", 2, "not YAML");
	assert_only_fault("log: {level: \"info\\0x\"}\n" SMALL_BASE, NULL,
			  "base", 1, "found a NUL character");
	assert_only_fault("? [a]\n: b\n", NULL, "base", 1,
			  "a key that is no plain text");
	g_free(deep);
	g_free(wide);
	g_free(huge);
}

static void test_aliases_do_not_multiply(void **state)
{
	GPtrArray *faults = new_faults();
	GString *text = g_string_new("a0: &a0 [x]\n");

	(void)state;
	for (int i = 1; i < 40; i++)
		g_string_append_printf(text, "a%d: &a%d [*a%d, *a%d, *a%d]\n",
				       i, i, i - 1, i - 1, i - 1);
	assert_null(parse(text->str, NULL, faults));
	assert_fault(faults, "base", 2, "found an alias");
	assert_true(faults->len <= RR_MAX_FAULTS + 1);
	g_string_free(text, TRUE);
	g_ptr_array_unref(faults);
}

static void test_change_is_described(void **state)
{
	GPtrArray *faults = new_faults();
	struct rr_config *old = parse(SMALL_BASE, NULL, faults);
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
		      faults);
	GString *out = g_string_new(NULL);

	(void)state;
	rr_describe_change(old, old, out);
	assert_string_equal(out->str, "");
	rr_describe_change(old, new, out);
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
	g_ptr_array_unref(faults);
}

/* The page that operators read is the table that checks their files. */
static void test_reference_page_is_current(void **state)
{
	GString *made = g_string_new(NULL);
	char *path = rr_source_path("docs/SETTINGS.md");
	char *page = NULL;

	(void)state;
	rr_format_settings_reference(made);
	assert_true(g_file_get_contents(path, &page, NULL, NULL));
	assert_string_equal(page, made->str);
	g_free(page);
	g_free(path);
	g_string_free(made, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_five_faults_at_once),
		cmocka_unit_test(test_overlay_is_laid_over_base),
		cmocka_unit_test(test_overlay_removes_what_is_not_there),
		cmocka_unit_test(test_names_and_ids_are_unique),
		cmocka_unit_test(test_limits_between_keys),
		cmocka_unit_test(test_every_key_refuses_bad_values),
		cmocka_unit_test(test_values_round_trip),
		cmocka_unit_test(test_start_file),
		cmocka_unit_test(test_yaml_traps_are_faults),
		cmocka_unit_test(test_aliases_do_not_multiply),
		cmocka_unit_test(test_change_is_described),
		cmocka_unit_test(test_reference_page_is_current),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
