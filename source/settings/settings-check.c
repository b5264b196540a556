/*
 * settings-check.c - check of a file's tree against the table of settings.
 */
#include "settings/settings-table.h"

#include <string.h>

#define MAX_COMPARED_LENGTH 40
/* Maximum edit distance of a key that is suggested for an unknown one. */
#define MAX_SUGGESTION_EDITS 2

/* Levenshtein distance; MAX_COMPARED_LENGTH if a word is longer than that. */
static size_t edit_distance(const char *a, const char *b)
{
	size_t costs[MAX_COMPARED_LENGTH + 1];
	size_t width = strlen(b);

	if (strlen(a) > MAX_COMPARED_LENGTH || width > MAX_COMPARED_LENGTH)
		return MAX_COMPARED_LENGTH;
	for (size_t j = 0; j <= width; j++)
		costs[j] = j;
	for (size_t i = 1; a[i - 1]; i++) {
		size_t diagonal = costs[0];

		costs[0] = i;
		for (size_t j = 1; j <= width; j++) {
			size_t replaced = diagonal + (a[i - 1] != b[j - 1]);

			diagonal = costs[j];
			costs[j] =
				MIN(replaced, MIN(costs[j], costs[j - 1]) + 1);
		}
	}
	return costs[width];
}

static const char *find_similar_key(enum rr_setting_scope scope,
				    const char *key)
{
	const char *similar = NULL;
	size_t min_edits = MAX_SUGGESTION_EDITS + 1;

	for (size_t i = 0; i < rr_n_settings; i++) {
		size_t edits;

		if (!rr_is_setting_in_scope(&rr_settings[i], scope))
			continue;
		edits = edit_distance(key, rr_settings[i].name);
		if (edits < min_edits) {
			min_edits = edits;
			similar = rr_settings[i].name;
		}
	}
	return similar;
}

static char *list_keys(enum rr_setting_scope scope)
{
	GString *names = g_string_new(NULL);

	for (size_t i = 0; i < rr_n_settings; i++) {
		if (!rr_is_setting_in_scope(&rr_settings[i], scope))
			continue;
		g_string_append_printf(names, "%s%s", names->len ? ", " : "",
				       rr_settings[i].name);
	}
	return g_string_free(names, FALSE);
}

static void report_unknown_key(enum rr_setting_scope scope, const char *file,
			       const struct rr_yaml_entry *entry,
			       GPtrArray *diagnostics)
{
	const char *similar = find_similar_key(scope, entry->key);
	char *quoted = rr_quote_text(entry->key);
	char *allowed = list_keys(scope);

	if (similar)
		rr_add_diagnostic(diagnostics, file, entry->line,
				  "unknown key %s, did you mean '%s'?", quoted,
				  similar);
	else
		rr_add_diagnostic(diagnostics, file, entry->line,
				  "unknown key %s, allowed here: %s", quoted,
				  allowed);
	g_free(quoted);
	g_free(allowed);
}

static void check_mapping(const struct rr_yaml_node *mapping,
			  enum rr_setting_scope scope, bool overlay,
			  GPtrArray *diagnostics);

/* Report keys other than the identity in an element with `remove: true`. */
static void check_removal(const struct rr_yaml_node *element,
			  enum rr_setting_scope scope, GPtrArray *diagnostics)
{
	const struct rr_yaml_node *removal =
		rr_find_yaml_value(element, "remove");

	if (!removal || g_strcmp0(removal->text, "true"))
		return;
	for (guint i = 0; i < element->entries->len; i++) {
		const struct rr_yaml_entry *entry = element->entries->pdata[i];

		if (strcmp(entry->key, "remove") &&
		    g_strcmp0(entry->key, rr_find_identity_key(scope)))
			rr_add_diagnostic(
				diagnostics, removal->file, entry->line,
				"%s: not allowed with 'remove: true', which "
				"allows only '%s'",
				entry->key, rr_find_identity_key(scope));
	}
}

/*
 * Check the elements of a list.  Of two elements with the same identity, one
 * would silently override the other.
 */
static void check_list(const struct rr_yaml_node *list,
		       const struct rr_setting *setting, bool overlay,
		       GPtrArray *diagnostics)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	const char *identity = rr_find_identity_key(setting->inner_scope);

	for (guint i = 0; i < list->items->len; i++) {
		struct rr_yaml_node *item = list->items->pdata[i];
		const struct rr_yaml_node *first;
		const char *name;

		if (item->kind != RR_YAML_MAPPING) {
			char *quoted = rr_quote_value(item);

			rr_add_diagnostic(
				diagnostics, item->file, item->line,
				"%s: found %s, each element must be a "
				"mapping with '%s'",
				setting->name, quoted, identity);
			g_free(quoted);
			continue;
		}
		check_mapping(item, setting->inner_scope, overlay, diagnostics);
		check_removal(item, setting->inner_scope, diagnostics);
		name = rr_find_yaml_text(item, identity);
		if (!name) {
			if (!rr_find_yaml_value(item, identity))
				rr_add_diagnostic(
					diagnostics, item->file, item->line,
					"%s: an element has no key '%s'",
					setting->name, identity);
			continue;
		}
		first = g_hash_table_lookup(seen, name);
		if (first) {
			char *quoted = rr_quote_text(name);

			rr_add_diagnostic(
				diagnostics, item->file, item->line,
				"%s: duplicate %s %s, first defined at line %u",
				setting->name, identity, quoted, first->line);
			g_free(quoted);
			continue;
		}
		g_hash_table_insert(seen, (gpointer)name, item);
	}
	g_hash_table_destroy(seen);
}

static void check_file_kind(const struct rr_setting *setting,
			    const struct rr_yaml_entry *entry, const char *file,
			    bool overlay, GPtrArray *diagnostics)
{
	if (overlay && setting->base_only)
		rr_add_diagnostic(
			diagnostics, file, entry->line,
			"%s: found in an overlay, allowed in the base "
			"file only, because all sites share it",
			setting->name);
	if (!overlay && setting->overlay_only)
		rr_add_diagnostic(
			diagnostics, file, entry->line,
			"%s: found in a base file, allowed in an overlay "
			"only",
			setting->name);
}

static void check_mapping(const struct rr_yaml_node *mapping,
			  enum rr_setting_scope scope, bool overlay,
			  GPtrArray *diagnostics)
{
	for (guint i = 0; i < mapping->entries->len; i++) {
		const struct rr_yaml_entry *entry = mapping->entries->pdata[i];
		const struct rr_setting *setting =
			rr_find_setting(scope, entry->key);

		if (!setting) {
			report_unknown_key(scope, mapping->file, entry,
					   diagnostics);
			continue;
		}
		check_file_kind(setting, entry, mapping->file, overlay,
				diagnostics);
		if (!rr_check_setting_value(setting, entry->value, diagnostics))
			continue;
		if (setting->type == RR_TYPE_MAPPING)
			check_mapping(entry->value, setting->inner_scope,
				      overlay, diagnostics);
		if (setting->type == RR_TYPE_MAPPING_LIST)
			check_list(entry->value, setting, overlay, diagnostics);
	}
}

void rr_check_settings_tree(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope, bool overlay,
			    GPtrArray *diagnostics)
{
	char *quoted;

	if (root->kind == RR_YAML_MAPPING) {
		check_mapping(root, scope, overlay, diagnostics);
		return;
	}
	quoted = rr_quote_value(root);
	rr_add_diagnostic(
		diagnostics, root->file, root->line,
		"found %s, a settings file is a mapping of keys to values",
		quoted);
	g_free(quoted);
}

static void check_required_list(const struct rr_setting *setting,
				const struct rr_yaml_node *list,
				GPtrArray *diagnostics)
{
	if (list->kind != RR_YAML_LIST)
		return;
	if (!list->items->len && setting->required)
		rr_add_diagnostic(
			diagnostics, list->file, list->line,
			"%s: found an empty list, at least one element is "
			"required",
			setting->name);
	for (guint i = 0; i < list->items->len; i++)
		rr_check_required_keys(list->items->pdata[i],
				       setting->inner_scope, diagnostics);
}

void rr_check_required_keys(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope, GPtrArray *diagnostics)
{
	if (root->kind != RR_YAML_MAPPING)
		return;
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];
		const struct rr_yaml_node *value;

		if (!rr_is_setting_in_scope(setting, scope))
			continue;
		value = rr_find_yaml_value(root, setting->name);
		/* check_list() has reported elements without identity. */
		if (!value && setting->required && !setting->is_identity)
			rr_add_diagnostic(diagnostics, root->file, root->line,
					  "the key '%s' is missing",
					  setting->name);
		if (!value)
			continue;
		if (setting->type == RR_TYPE_MAPPING)
			rr_check_required_keys(value, setting->inner_scope,
					       diagnostics);
		if (setting->type == RR_TYPE_MAPPING_LIST)
			check_required_list(setting, value, diagnostics);
	}
}
