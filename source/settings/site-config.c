/*
 * site-config.c - checked configuration of a site from base file and overlay.
 */
#include "settings/settings-table.h"

#include <string.h>

static struct rr_yaml_node *find_list(const struct rr_yaml_node *mapping,
				      const char *key)
{
	struct rr_yaml_node *list = rr_find_yaml_value(mapping, key);

	return list && list->kind == RR_YAML_LIST ? list : NULL;
}

/* Key range of a shard, with the nodes for messages. */
struct shard_range {
	uint64_t from;
	uint64_t to;
	const struct rr_yaml_node *shard;
	const struct rr_yaml_node *keys;
};

static int compare_ranges(gconstpointer a, gconstpointer b)
{
	const struct shard_range *first = a;
	const struct shard_range *second = b;

	return (first->from > second->from) - (first->from < second->from);
}

static GArray *collect_ranges(const struct rr_yaml_node *shards)
{
	GArray *ranges = g_array_new(FALSE, TRUE, sizeof(struct shard_range));

	for (guint i = 0; i < shards->items->len; i++) {
		struct shard_range range = { .shard = shards->items->pdata[i] };

		range.keys = rr_find_yaml_value(range.shard, "keys");
		if (range.keys &&
		    rr_parse_key_range(range.keys, &range.from, &range.to))
			g_array_append_val(ranges, range);
	}
	g_array_sort(ranges, compare_ranges);
	return ranges;
}

/*
 * Report shards whose key ranges overlap.  Both would be queried for a key that
 * they share, and the answer would contain its rows twice.
 */
static void check_overlaps(const struct rr_yaml_node *shards,
			   GPtrArray *diagnostics)
{
	GArray *ranges = collect_ranges(shards);
	const struct shard_range *last_ending = NULL;

	for (guint i = 0; i < ranges->len; i++) {
		const struct shard_range *range =
			&g_array_index(ranges, struct shard_range, i);

		if (last_ending && range->from < last_ending->to)
			rr_add_diagnostic(
				diagnostics, range->keys->file,
				range->keys->line,
				"keys: found [%" G_GUINT64_FORMAT
				", %" G_GUINT64_FORMAT "] of shard '%s', "
				"which overlaps [%" G_GUINT64_FORMAT
				", %" G_GUINT64_FORMAT "] of shard '%s' at "
				"%s:%u",
				range->from, range->to,
				rr_find_yaml_text(range->shard, "name"),
				last_ending->from, last_ending->to,
				rr_find_yaml_text(last_ending->shard, "name"),
				last_ending->keys->file,
				last_ending->keys->line);
		if (!last_ending || range->to > last_ending->to)
			last_ending = range;
	}
	g_array_unref(ranges);
}

struct replica_index {
	GHashTable *replicas; /* id to its node */
	GHashTable *shards;   /* id to its shard's node */
};

/*
 * Report a replica id that is used in two shards.  Duplicates within a shard
 * are reported by rr_check_settings_tree().
 */
static void check_replica_id(struct replica_index *index,
			     const struct rr_yaml_node *shard,
			     const struct rr_yaml_node *replica,
			     GPtrArray *diagnostics)
{
	const char *id = rr_find_yaml_text(replica, "id");
	const struct rr_yaml_node *first;
	char *quoted;

	if (!id)
		return;
	first = g_hash_table_lookup(index->replicas, id);
	if (!first) {
		g_hash_table_insert(index->replicas, (gpointer)id,
				    (gpointer)replica);
		g_hash_table_insert(index->shards, (gpointer)id,
				    (gpointer)shard);
		return;
	}
	if (g_hash_table_lookup(index->shards, id) == shard)
		return;
	quoted = rr_quote_text(id);
	rr_add_diagnostic(diagnostics, replica->file, replica->line,
			  "replicas: duplicate id %s, first defined at %s:%u",
			  quoted, first->file, first->line);
	g_free(quoted);
}

/* Report replicas with the same address: one upstream would count twice. */
static void check_shard_addresses(const struct rr_yaml_node *replicas,
				  GPtrArray *diagnostics)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < replicas->items->len; i++) {
		const struct rr_yaml_node *replica = replicas->items->pdata[i];
		const char *address = rr_find_yaml_text(replica, "address");
		const struct rr_yaml_node *first;
		char *quoted;

		if (!address)
			continue;
		first = g_hash_table_lookup(seen, address);
		if (!first) {
			g_hash_table_insert(seen, (gpointer)address,
					    (gpointer)replica);
			continue;
		}
		quoted = rr_quote_text(address);
		rr_add_diagnostic(
			diagnostics, replica->file, replica->line,
			"address: duplicate %s in one shard, first defined at "
			"%s:%u",
			quoted, first->file, first->line);
		g_free(quoted);
	}
	g_hash_table_destroy(seen);
}

static void check_shards(const struct rr_yaml_node *shards,
			 struct replica_index *index, GPtrArray *diagnostics)
{
	check_overlaps(shards, diagnostics);
	for (guint i = 0; i < shards->items->len; i++) {
		const struct rr_yaml_node *shard = shards->items->pdata[i];
		const struct rr_yaml_node *replicas =
			find_list(shard, "replicas");

		if (!replicas)
			continue;
		check_shard_addresses(replicas, diagnostics);
		for (guint j = 0; j < replicas->items->len; j++)
			check_replica_id(index, shard,
					 replicas->items->pdata[j],
					 diagnostics);
	}
}

/*
 * Find the node that sets a service's value: in the service or in `defaults`;
 * the service itself if neither has it.
 */
static const struct rr_yaml_node *
find_value_node(const struct rr_yaml_node *root,
		const struct rr_yaml_node *service, const char *key)
{
	const struct rr_yaml_node *defaults =
		rr_find_yaml_value(root, "defaults");
	const struct rr_yaml_node *value = rr_find_yaml_value(service, key);

	if (!value && defaults)
		value = rr_find_yaml_value(defaults, key);
	return value ? value : service;
}

/* Check values whose limits depend on another key. */
static void check_related_values(const struct rr_yaml_node *root,
				 const struct rr_yaml_node *node,
				 const struct rr_service_config *service,
				 GPtrArray *diagnostics)
{
	const struct rr_yaml_node *value;

	if (service->connection_reserve >= service->connections) {
		value = find_value_node(root, node, "connection_reserve");
		rr_add_diagnostic(
			diagnostics, value->file, value->line,
			"connection_reserve: found %u, allowed is less "
			"than connections, which is %u",
			service->connection_reserve, service->connections);
	}
	if (service->straggler_wait_ms > service->deadline_ms) {
		value = find_value_node(root, node, "wait_ms");
		rr_add_diagnostic(diagnostics, value->file, value->line,
				  "wait_ms: found %u, allowed is at most "
				  "deadline_ms, which is %u",
				  service->straggler_wait_ms,
				  service->deadline_ms);
	}
}

static void build_replicas(const struct rr_yaml_node *list,
			   struct rr_shard_config *shard)
{
	shard->n_replicas = list->items->len;
	shard->replicas = g_new0(struct rr_replica_config, shard->n_replicas);
	for (guint i = 0; i < list->items->len; i++) {
		const struct rr_yaml_node *node = list->items->pdata[i];

		if (node->kind == RR_YAML_MAPPING)
			rr_assign_setting_mapping(RR_SCOPE_REPLICA, node,
						  &shard->replicas[i]);
	}
}

static void build_shard(const struct rr_yaml_node *node,
			struct rr_shard_config *shard)
{
	const struct rr_yaml_node *keys = rr_find_yaml_value(node, "keys");
	const struct rr_yaml_node *replicas = find_list(node, "replicas");

	if (node->kind != RR_YAML_MAPPING)
		return;
	rr_assign_setting_mapping(RR_SCOPE_SHARD, node, shard);
	if (!shard->public_name)
		shard->public_name = g_strdup(shard->name);
	if (keys)
		rr_parse_key_range(keys, &shard->key_from, &shard->key_to);
	if (replicas)
		build_replicas(replicas, shard);
}

static void build_service(const struct rr_yaml_node *root,
			  const struct rr_yaml_node *node,
			  struct rr_service_config *service,
			  struct replica_index *index, GPtrArray *diagnostics)
{
	const struct rr_yaml_node *defaults =
		rr_find_yaml_value(root, "defaults");
	const struct rr_yaml_node *shards = find_list(node, "shards");

	rr_init_service_config(service);
	if (node->kind != RR_YAML_MAPPING)
		return;
	if (defaults && defaults->kind == RR_YAML_MAPPING)
		rr_assign_setting_mapping(RR_SCOPE_DEFAULTS, defaults, service);
	rr_assign_setting_mapping(RR_SCOPE_SERVICE, node, service);
	check_related_values(root, node, service, diagnostics);
	if (!shards)
		return;
	check_shards(shards, index, diagnostics);
	service->n_shards = shards->items->len;
	service->shards = g_new0(struct rr_shard_config, service->n_shards);
	for (guint i = 0; i < shards->items->len; i++)
		build_shard(shards->items->pdata[i], &service->shards[i]);
}

static struct rr_config *build_config(const struct rr_yaml_node *root,
				      const char *site, GPtrArray *diagnostics)
{
	struct rr_config *config = rr_new_config();
	const struct rr_yaml_node *services = find_list(root, "services");
	const struct rr_yaml_node *log = rr_find_yaml_value(root, "log");
	struct replica_index index;

	config->site = g_strdup(site ? site : "");
	if (root->kind != RR_YAML_MAPPING)
		return config;
	rr_assign_setting_mapping(RR_SCOPE_SITE, root, config);
	if (log && log->kind == RR_YAML_MAPPING)
		rr_assign_setting_mapping(RR_SCOPE_SITE_LOG, log, config);
	if (!services)
		return config;
	index.replicas = g_hash_table_new(g_str_hash, g_str_equal);
	index.shards = g_hash_table_new(g_str_hash, g_str_equal);
	config->n_services = services->items->len;
	config->services = g_new0(struct rr_service_config, config->n_services);
	for (guint i = 0; i < services->items->len; i++)
		build_service(root, services->items->pdata[i],
			      &config->services[i], &index, diagnostics);
	g_hash_table_destroy(index.replicas);
	g_hash_table_destroy(index.shards);
	return config;
}

struct rr_config *rr_parse_config(const struct rr_settings_source *base,
				  const struct rr_settings_source *overlay,
				  const char *site, GPtrArray *diagnostics)
{
	guint n_before = diagnostics->len;
	struct rr_yaml_node *root = rr_parse_yaml(base, diagnostics);
	struct rr_yaml_node *overlay_root = NULL;
	struct rr_config *config = NULL;

	if (overlay)
		overlay_root = rr_parse_yaml(overlay, diagnostics);
	if (root)
		rr_check_settings_tree(root, RR_SCOPE_SITE, false, diagnostics);
	if (overlay_root)
		rr_check_settings_tree(overlay_root, RR_SCOPE_SITE, true,
				       diagnostics);
	/*
	 * Merge only if both files were parsed: one alone may lack keys or
	 * have errors that the other one corrects.
	 */
	if (root && (overlay_root || !overlay)) {
		if (overlay_root)
			rr_merge_overlay(root, overlay_root, RR_SCOPE_SITE,
					 diagnostics);
		rr_check_required_keys(root, RR_SCOPE_SITE, diagnostics);
		config = build_config(root, site, diagnostics);
	}
	rr_drop_yaml_node(root);
	rr_drop_yaml_node(overlay_root);
	rr_sort_diagnostics(diagnostics, n_before);
	if (config && diagnostics->len > n_before) {
		rr_drop_config(config);
		config = NULL;
	}
	return config;
}
