/*
 * bench-scenario.c - parser of the scenario file of `ragwort bench`.
 */
#include "tool/bench-scenario.h"

#include <json-glib/json-glib.h>
#include <math.h>
#include <string.h>

#include "settings/yaml-tree.h"

#define MAX_ENTRIES 32
#define MAX_RATE 100000.0 /* requests per second */
#define MAX_SECONDS 3600
#define MAX_ROWS 100000

static const char *const scenario_keys[] = { "duration_s",  "warm_up_s", "seed",
					     "deadline_ms", "mix",	 NULL };
static const char *const entry_keys[] = { "name",  "kind",  "service",
					  "query", "rate",  "max_rows",
					  "keys",  "batch", NULL };

static void check_keys(const struct rr_yaml_node *mapping,
		       const char *const *known_keys, GPtrArray *diagnostics)
{
	for (guint i = 0; i < mapping->entries->len; i++) {
		const struct rr_yaml_entry *entry = mapping->entries->pdata[i];
		char *quoted;
		char *names;

		if (g_strv_contains(known_keys, entry->key))
			continue;
		quoted = rr_quote_text(entry->key);
		names = g_strjoinv(", ", (char **)known_keys);
		rr_add_diagnostic(diagnostics, mapping->file, entry->line,
				  "unknown key %s, known keys are %s", quoted,
				  names);
		g_free(quoted);
		g_free(names);
	}
}

static void add_value_diagnostic(const struct rr_yaml_node *node,
				 const char *key, const char *allowed,
				 GPtrArray *diagnostics)
{
	char *quoted = rr_quote_value(node);

	rr_add_diagnostic(diagnostics, node->file, node->line,
			  "%s: found %s, allowed %s", key, quoted, allowed);
	g_free(quoted);
}

/*
 * Read a number from min to max.  Return the fallback if the key is missing
 * or, after adding a diagnostic, if the value is invalid.
 */
static double read_number(const struct rr_yaml_node *mapping, const char *key,
			  double min, double max, double fallback,
			  GPtrArray *diagnostics)
{
	const struct rr_yaml_node *node = rr_find_yaml_value(mapping, key);
	char *allowed;
	char *end = NULL;
	double value = NAN;

	if (!node)
		return fallback;
	if (node->kind == RR_YAML_SCALAR && *node->text) {
		value = g_ascii_strtod(node->text, &end);
		if (*end)
			value = NAN;
	}
	if (value >= min && value <= max)
		return value;
	allowed = g_strdup_printf("is a number from %g to %g", min, max);
	add_value_diagnostic(node, key, allowed, diagnostics);
	g_free(allowed);
	return fallback;
}

static uint32_t read_integer(const struct rr_yaml_node *mapping,
			     const char *key, uint32_t min, uint32_t max,
			     uint32_t fallback, GPtrArray *diagnostics)
{
	double value =
		read_number(mapping, key, min, max, fallback, diagnostics);

	if (value != floor(value)) {
		add_value_diagnostic(rr_find_yaml_value(mapping, key), key,
				     "is a whole number", diagnostics);
		return fallback;
	}
	return (uint32_t)value;
}

static bool read_key(const struct rr_yaml_node *node, uint64_t *key)
{
	return node->kind == RR_YAML_SCALAR &&
	       g_ascii_string_to_unsigned(node->text, 10, 0, G_MAXINT64, key,
					  NULL);
}

static void read_keys(const struct rr_yaml_node *mapping,
		      struct rr_bench_mix_entry *entry, GPtrArray *diagnostics)
{
	const struct rr_yaml_node *node = rr_find_yaml_value(mapping, "keys");

	if (!node) {
		if (entry->kind == RR_LOOKUP || entry->kind == RR_RESERVE)
			rr_add_diagnostic(
				diagnostics, mapping->file, mapping->line,
				"found no 'keys', a lookup or reserve "
				"needs [FIRST, END]");
		return;
	}
	if (node->kind != RR_YAML_LIST || node->items->len != 2 ||
	    !read_key(node->items->pdata[0], &entry->key_from) ||
	    !read_key(node->items->pdata[1], &entry->key_to) ||
	    entry->key_from >= entry->key_to)
		add_value_diagnostic(node, "keys",
				     "is [FIRST, END] with FIRST below END",
				     diagnostics);
}

static void read_kind(const struct rr_yaml_node *mapping,
		      struct rr_bench_mix_entry *entry, GPtrArray *diagnostics)
{
	static const struct {
		const char *name;
		enum rr_request_kind kind;
	} kinds[] = { { "search", RR_SEARCH },
		      { "lookup", RR_LOOKUP },
		      { "reserve", RR_RESERVE },
		      { "list", RR_LIST } };
	const struct rr_yaml_node *node = rr_find_yaml_value(mapping, "kind");
	const char *text = rr_find_yaml_text(mapping, "kind");

	for (size_t i = 0; text && i < G_N_ELEMENTS(kinds); i++) {
		if (!strcmp(text, kinds[i].name)) {
			entry->kind = kinds[i].kind;
			return;
		}
	}
	if (node)
		add_value_diagnostic(node, "kind",
				     "is search, lookup, reserve or list",
				     diagnostics);
	else
		rr_add_diagnostic(diagnostics, mapping->file, mapping->line,
				  "found no 'kind', allowed is search, lookup, "
				  "reserve or list");
}

static void read_batch(const struct rr_yaml_node *mapping,
		       struct rr_bench_mix_entry *entry, GPtrArray *diagnostics)
{
	const struct rr_yaml_node *node = rr_find_yaml_value(mapping, "batch");
	const char *text = rr_find_yaml_text(mapping, "batch");

	entry->batch = entry->kind == RR_LIST;
	if (!node)
		return;
	if (text && (!strcmp(text, "true") || !strcmp(text, "false")))
		entry->batch = !strcmp(text, "true");
	else
		add_value_diagnostic(node, "batch", "is true or false",
				     diagnostics);
}

static void read_query(const struct rr_yaml_node *mapping,
		       struct rr_bench_mix_entry *entry, GPtrArray *diagnostics)
{
	const struct rr_yaml_node *node = rr_find_yaml_value(mapping, "query");
	const char *text = rr_find_yaml_text(mapping, "query");
	JsonNode *json;

	entry->query = g_strdup(text ? text : "{}");
	if (!node)
		return;
	json = text ? json_from_string(text, NULL) : NULL;
	if (json)
		json_node_unref(json);
	else
		add_value_diagnostic(node, "query", "is JSON in quotes",
				     diagnostics);
}

static void read_entry(const struct rr_yaml_node *mapping,
		       struct rr_bench_mix_entry *entry, GPtrArray *diagnostics)
{
	const char *service;
	const char *name;

	if (mapping->kind != RR_YAML_MAPPING) {
		add_value_diagnostic(mapping, "mix", "is a list of mappings",
				     diagnostics);
		return;
	}
	check_keys(mapping, entry_keys, diagnostics);
	read_kind(mapping, entry, diagnostics);
	service = rr_find_yaml_text(mapping, "service");
	if (!service || !*service)
		rr_add_diagnostic(diagnostics, mapping->file, mapping->line,
				  "found no 'service', each element of the mix "
				  "needs its name");
	name = rr_find_yaml_text(mapping, "name");
	entry->service = g_strdup(service);
	entry->name =
		g_strdup(name ? name : rr_find_yaml_text(mapping, "kind"));
	if (!rr_find_yaml_value(mapping, "rate"))
		rr_add_diagnostic(
			diagnostics, mapping->file, mapping->line,
			"found no 'rate', each element of the mix needs "
			"its requests per second");
	entry->rate =
		read_number(mapping, "rate", 0.01, MAX_RATE, 0, diagnostics);
	entry->max_rows = read_integer(mapping, "max_rows", 1, MAX_ROWS, 100,
				       diagnostics);
	read_keys(mapping, entry, diagnostics);
	read_batch(mapping, entry, diagnostics);
	read_query(mapping, entry, diagnostics);
}

static void read_mix(const struct rr_yaml_node *root,
		     struct rr_bench_scenario *scenario, GPtrArray *diagnostics)
{
	const struct rr_yaml_node *mix = rr_find_yaml_value(root, "mix");

	if (!mix) {
		rr_add_diagnostic(
			diagnostics, root->file, root->line,
			"found no 'mix', the list of requests to send");
		return;
	}
	if (mix->kind != RR_YAML_LIST || !mix->items->len ||
	    mix->items->len > MAX_ENTRIES) {
		rr_add_diagnostic(diagnostics, mix->file, mix->line,
				  "mix: allowed is a list of 1 to %d elements",
				  MAX_ENTRIES);
		return;
	}
	scenario->n_entries = mix->items->len;
	scenario->entries =
		g_new0(struct rr_bench_mix_entry, scenario->n_entries);
	for (size_t i = 0; i < scenario->n_entries; i++)
		read_entry(mix->items->pdata[i], &scenario->entries[i],
			   diagnostics);
}

struct rr_bench_scenario *
rr_parse_bench_scenario(const struct rr_settings_source *file,
			GPtrArray *diagnostics)
{
	guint before = diagnostics->len;
	struct rr_yaml_node *root = rr_parse_yaml(file, diagnostics);
	struct rr_bench_scenario *scenario;

	if (!root)
		return NULL;
	scenario = g_new0(struct rr_bench_scenario, 1);
	if (root->kind == RR_YAML_MAPPING) {
		check_keys(root, scenario_keys, diagnostics);
		scenario->duration_s = read_integer(
			root, "duration_s", 1, MAX_SECONDS, 20, diagnostics);
		scenario->warm_up_s = read_integer(root, "warm_up_s", 0,
						   MAX_SECONDS, 2, diagnostics);
		scenario->seed = read_integer(root, "seed", 0, G_MAXINT32, 1,
					      diagnostics);
		scenario->deadline_ms = read_integer(root, "deadline_ms", 1,
						     600000, 2000, diagnostics);
		read_mix(root, scenario, diagnostics);
	} else {
		add_value_diagnostic(root, "scenario", "is a mapping",
				     diagnostics);
	}
	rr_drop_yaml_node(root);
	rr_sort_diagnostics(diagnostics, before);
	if (diagnostics->len > before)
		g_clear_pointer(&scenario, rr_drop_bench_scenario);
	return scenario;
}

void rr_drop_bench_scenario(struct rr_bench_scenario *scenario)
{
	if (!scenario)
		return;
	for (size_t i = 0; i < scenario->n_entries; i++) {
		g_free(scenario->entries[i].name);
		g_free(scenario->entries[i].service);
		g_free(scenario->entries[i].query);
	}
	g_free(scenario->entries);
	g_free(scenario);
}
