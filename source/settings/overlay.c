/*
 * overlay.c - merge of a site's overlay into the base file's tree.
 */
#include "settings/settings-table.h"

#include <string.h>

static struct rr_yaml_entry *find_entry(const struct rr_yaml_node *mapping,
					const char *key)
{
	for (guint i = 0; i < mapping->entries->len; i++) {
		struct rr_yaml_entry *entry = mapping->entries->pdata[i];

		if (!strcmp(entry->key, key))
			return entry;
	}
	return NULL;
}

/* Map the identity of each list element, such as its name, to its node. */
static GHashTable *index_list(const struct rr_yaml_node *list,
			      const char *identity)
{
	GHashTable *index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < list->items->len; i++) {
		const char *name =
			rr_find_yaml_text(list->items->pdata[i], identity);

		if (name && !g_hash_table_contains(index, name))
			g_hash_table_insert(index, g_strdup(name),
					    list->items->pdata[i]);
	}
	return index;
}

static bool is_removal(const struct rr_yaml_node *element)
{
	return !g_strcmp0(rr_find_yaml_text(element, "remove"), "true");
}

static void remove_element(struct rr_yaml_node *list, GHashTable *index,
			   const struct rr_yaml_node *element,
			   const char *identity, GPtrArray *diagnostics)
{
	const char *name = rr_find_yaml_text(element, identity);
	struct rr_yaml_node *match = g_hash_table_lookup(index, name);
	char *quoted;

	if (match) {
		g_hash_table_remove(index, name);
		g_ptr_array_remove(list->items, match);
		return;
	}
	/*
	 * The base may have changed since the overlay was written, or the name
	 * is misspelt.
	 */
	quoted = rr_quote_text(name);
	rr_add_diagnostic(diagnostics, element->file, element->line,
			  "remove: the base has no %s %s here", identity,
			  quoted);
	g_free(quoted);
}

static struct rr_yaml_node *new_empty_like(const struct rr_yaml_node *node)
{
	struct rr_yaml_node *empty = g_new0(struct rr_yaml_node, 1);

	empty->kind = node->kind;
	empty->file = node->file;
	empty->line = node->line;
	if (node->kind == RR_YAML_LIST)
		empty->items = g_ptr_array_new_with_free_func(
			(GDestroyNotify)rr_drop_yaml_node);
	if (node->kind == RR_YAML_MAPPING)
		empty->entries = g_ptr_array_new_with_free_func(
			(GDestroyNotify)rr_drop_yaml_entry);
	return empty;
}

/*
 * Return the base's element with the same identity, or add one that has only
 * the identity.
 */
static struct rr_yaml_node *find_or_add(struct rr_yaml_node *list,
					GHashTable *index,
					const struct rr_yaml_node *element,
					const char *identity)
{
	struct rr_yaml_entry *name = find_entry(element, identity);
	struct rr_yaml_node *match =
		g_hash_table_lookup(index, name->value->text);
	struct rr_yaml_entry *identity_entry;

	if (match)
		return match;
	match = new_empty_like(element);
	identity_entry = g_new0(struct rr_yaml_entry, 1);
	identity_entry->key = g_strdup(identity);
	identity_entry->line = name->line;
	identity_entry->value = name->value;
	name->value = new_empty_like(name->value);
	name->value->text = g_strdup(identity_entry->value->text);
	g_ptr_array_add(match->entries, identity_entry);
	g_ptr_array_add(list->items, match);
	g_hash_table_insert(index, g_strdup(identity_entry->value->text),
			    match);
	return match;
}

static void merge_list(struct rr_yaml_node *base, struct rr_yaml_node *overlay,
		       enum rr_setting_scope scope, GPtrArray *diagnostics)
{
	const char *identity = rr_find_identity_key(scope);
	GHashTable *index = index_list(base, identity);

	for (guint i = 0; i < overlay->items->len; i++) {
		struct rr_yaml_node *element = overlay->items->pdata[i];

		if (!rr_find_yaml_text(element, identity))
			continue;
		if (is_removal(element))
			remove_element(base, index, element, identity,
				       diagnostics);
		else
			rr_merge_overlay(
				find_or_add(base, index, element, identity),
				element, scope, diagnostics);
	}
	g_hash_table_destroy(index);
}

static void merge_entry(struct rr_yaml_node *base, struct rr_yaml_entry *entry,
			const struct rr_setting *setting,
			GPtrArray *diagnostics)
{
	struct rr_yaml_entry *base_entry = find_entry(base, entry->key);
	bool nested = setting->type == RR_TYPE_MAPPING ||
		      setting->type == RR_TYPE_MAPPING_LIST;

	if (!base_entry) {
		base_entry = g_new0(struct rr_yaml_entry, 1);
		base_entry->key = g_strdup(entry->key);
		base_entry->line = entry->line;
		base_entry->value = new_empty_like(entry->value);
		g_ptr_array_add(base->entries, base_entry);
	}
	nested = nested && base_entry->value->kind == entry->value->kind;
	if (nested && entry->value->kind == RR_YAML_MAPPING) {
		rr_merge_overlay(base_entry->value, entry->value,
				 setting->inner_scope, diagnostics);
	} else if (nested && setting->type == RR_TYPE_MAPPING_LIST &&
		   entry->value->kind == RR_YAML_LIST) {
		merge_list(base_entry->value, entry->value,
			   setting->inner_scope, diagnostics);
	} else {
		struct rr_yaml_node *replaced = base_entry->value;

		base_entry->value = entry->value;
		entry->value = replaced;
	}
}

void rr_merge_overlay(struct rr_yaml_node *base, struct rr_yaml_node *overlay,
		      enum rr_setting_scope scope, GPtrArray *diagnostics)
{
	if (base->kind != RR_YAML_MAPPING || overlay->kind != RR_YAML_MAPPING)
		return;
	for (guint i = 0; i < overlay->entries->len; i++) {
		struct rr_yaml_entry *entry = overlay->entries->pdata[i];
		const struct rr_setting *setting =
			rr_find_setting(scope, entry->key);

		if (setting && !setting->is_identity && !setting->base_only)
			merge_entry(base, entry, setting, diagnostics);
	}
}
