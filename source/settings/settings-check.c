/*
 * settings-check.c - check a file's tree by the table of settings.
 */
#include "settings/settings-table.h"

#include <string.h>

#define LONGEST_COMPARED 40
/* A key this many letters off is worth a "did you mean". */
#define NEAR_EDITS 2

/* Letters to insert, drop or change to get from one word to the other. */
static size_t count_edits(const char *a, const char *b)
{
	size_t row[LONGEST_COMPARED + 1];
	size_t width = strlen(b);

	if (strlen(a) > LONGEST_COMPARED || width > LONGEST_COMPARED)
		return LONGEST_COMPARED;
	for (size_t j = 0; j <= width; j++)
		row[j] = j;
	for (size_t i = 1; a[i - 1]; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= width; j++) {
			size_t change = diagonal + (a[i - 1] != b[j - 1]);

			diagonal = row[j];
			row[j] = MIN(change, MIN(row[j], row[j - 1]) + 1);
		}
	}
	return row[width];
}

static const char *find_near_key(enum rr_setting_scope scope, const char *key)
{
	const char *near = NULL;
	size_t fewest = NEAR_EDITS + 1;

	for (size_t i = 0; i < rr_n_settings; i++) {
		size_t edits;

		if (!rr_is_setting_in_scope(&rr_settings[i], scope))
			continue;
		edits = count_edits(key, rr_settings[i].name);
		if (edits < fewest) {
			fewest = edits;
			near = rr_settings[i].name;
		}
	}
	return near;
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

static void add_unknown_key_fault(enum rr_setting_scope scope, const char *file,
				  const struct rr_yaml_entry *entry,
				  GPtrArray *faults)
{
	const char *near = find_near_key(scope, entry->key);
	char *shown = rr_quote_text(entry->key);
	char *allowed = list_keys(scope);

	if (near)
		rr_add_diagnostic(
			faults, file, entry->line,
			"found the unknown key %s, did you mean '%s'?", shown,
			near);
	else
		rr_add_diagnostic(faults, file, entry->line,
				  "found the unknown key %s, allowed here: %s",
				  shown, allowed);
	g_free(shown);
	g_free(allowed);
}

static void check_mapping(const struct rr_yaml_node *mapping,
			  enum rr_setting_scope scope, bool overlay,
			  GPtrArray *faults);

/* `remove: true` stands alone beside the name of what it takes away. */
static void check_removal(const struct rr_yaml_node *element,
			  enum rr_setting_scope scope, GPtrArray *faults)
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
				faults, removal->file, entry->line,
				"%s: stands beside 'remove: true', which "
				"goes with '%s' only",
				entry->key, rr_find_identity_key(scope));
	}
}

/* Two elements of one name: one of them would silently win. */
static void check_list(const struct rr_yaml_node *list,
		       const struct rr_setting *setting, bool overlay,
		       GPtrArray *faults)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	const char *identity = rr_find_identity_key(setting->inner_scope);

	for (guint i = 0; i < list->items->len; i++) {
		struct rr_yaml_node *item = list->items->pdata[i];
		const struct rr_yaml_node *first;
		const char *name;

		if (item->kind != RR_YAML_MAPPING) {
			char *shown = rr_quote_value(item);

			rr_add_diagnostic(
				faults, item->file, item->line,
				"%s: found %s, each element is a mapping "
				"with '%s'",
				setting->name, shown, identity);
			g_free(shown);
			continue;
		}
		check_mapping(item, setting->inner_scope, overlay, faults);
		check_removal(item, setting->inner_scope, faults);
		name = rr_find_yaml_text(item, identity);
		if (!name) {
			if (!rr_find_yaml_value(item, identity))
				rr_add_diagnostic(
					faults, item->file, item->line,
					"%s: an element lacks the key "
					"'%s'",
					setting->name, identity);
			continue;
		}
		first = g_hash_table_lookup(seen, name);
		if (first) {
			char *shown = rr_quote_text(name);

			rr_add_diagnostic(
				faults, item->file, item->line,
				"%s: found %s %s a second time, it stands "
				"at line %u already",
				setting->name, identity, shown, first->line);
			g_free(shown);
			continue;
		}
		g_hash_table_insert(seen, (gpointer)name, item);
	}
	g_hash_table_destroy(seen);
}

static void check_place(const struct rr_setting *setting,
			const struct rr_yaml_entry *entry, const char *file,
			bool overlay, GPtrArray *faults)
{
	if (overlay && setting->base_only)
		rr_add_diagnostic(
			faults, file, entry->line,
			"%s: found in an overlay, allowed in the base "
			"file only, because all sites share it",
			setting->name);
	if (!overlay && setting->overlay_only)
		rr_add_diagnostic(
			faults, file, entry->line,
			"%s: found in a base file, allowed in an overlay "
			"only",
			setting->name);
}

static void check_mapping(const struct rr_yaml_node *mapping,
			  enum rr_setting_scope scope, bool overlay,
			  GPtrArray *faults)
{
	for (guint i = 0; i < mapping->entries->len; i++) {
		const struct rr_yaml_entry *entry = mapping->entries->pdata[i];
		const struct rr_setting *setting =
			rr_find_setting(scope, entry->key);

		if (!setting) {
			add_unknown_key_fault(scope, mapping->file, entry,
					      faults);
			continue;
		}
		check_place(setting, entry, mapping->file, overlay, faults);
		if (!rr_check_setting_value(setting, entry->value, faults))
			continue;
		if (setting->type == RR_TYPE_MAPPING)
			check_mapping(entry->value, setting->inner_scope,
				      overlay, faults);
		if (setting->type == RR_TYPE_MAPPING_LIST)
			check_list(entry->value, setting, overlay, faults);
	}
}

void rr_check_settings_tree(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope, bool overlay,
			    GPtrArray *faults)
{
	char *shown;

	if (root->kind == RR_YAML_MAPPING) {
		check_mapping(root, scope, overlay, faults);
		return;
	}
	shown = rr_quote_value(root);
	rr_add_diagnostic(
		faults, root->file, root->line,
		"found %s, a settings file is a mapping of keys to values",
		shown);
	g_free(shown);
}

static void check_required_list(const struct rr_setting *setting,
				const struct rr_yaml_node *list,
				GPtrArray *faults)
{
	if (list->kind != RR_YAML_LIST)
		return;
	if (!list->items->len && setting->required)
		rr_add_diagnostic(
			faults, list->file, list->line,
			"%s: found an empty list, allowed is at least one "
			"element",
			setting->name);
	for (guint i = 0; i < list->items->len; i++)
		rr_check_required_keys(list->items->pdata[i],
				       setting->inner_scope, faults);
}

void rr_check_required_keys(const struct rr_yaml_node *root,
			    enum rr_setting_scope scope, GPtrArray *faults)
{
	if (root->kind != RR_YAML_MAPPING)
		return;
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];
		const struct rr_yaml_node *value;

		if (!rr_is_setting_in_scope(setting, scope))
			continue;
		value = rr_find_yaml_value(root, setting->name);
		/* A list element without its name was told of already. */
		if (!value && setting->required && !setting->is_identity)
			rr_add_diagnostic(faults, root->file, root->line,
					  "the key '%s' is missing",
					  setting->name);
		if (!value)
			continue;
		if (setting->type == RR_TYPE_MAPPING)
			rr_check_required_keys(value, setting->inner_scope,
					       faults);
		if (setting->type == RR_TYPE_MAPPING_LIST)
			check_required_list(setting, value, faults);
	}
}
