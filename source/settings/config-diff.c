/*
 * config-diff.c - text of the differences between two configurations of a site.
 */
#include "settings/settings-table.h"

#include <string.h>

static bool same_value(const struct rr_setting *setting, const void *old,
		       const void *new)
{
	const char *a = (const char *)old + setting->offset;
	const char *b = (const char *)new + setting->offset;

	switch (setting->type) {
	case RR_TYPE_INTEGER:
	case RR_TYPE_DURATION:
		return *(const uint32_t *)a == *(const uint32_t *)b;
	case RR_TYPE_NUMBER:
		return *(const double *)a == *(const double *)b;
	case RR_TYPE_BOOL:
		return *(const bool *)a == *(const bool *)b;
	case RR_TYPE_ENUM:
		return *(const int *)a == *(const int *)b;
	default:
		return !g_strcmp0(*(char *const *)a, *(char *const *)b);
	}
}

/* Append the values of one scope that differ, one line each. */
static void format_values(enum rr_setting_scope scope, const char *path,
			  const void *old, const void *new, GString *out)
{
	for (size_t i = 0; i < rr_n_settings; i++) {
		const struct rr_setting *setting = &rr_settings[i];

		if (setting->scope != scope || setting->no_field ||
		    same_value(setting, old, new))
			continue;
		g_string_append_printf(out, "  %s%s: ", path, setting->name);
		rr_format_setting_value(setting, old, out);
		g_string_append(out, " -> ");
		rr_format_setting_value(setting, new, out);
		g_string_append_c(out, '\n');
	}
}

static const struct rr_shard_config *
find_shard(const struct rr_service_config *service, const char *name)
{
	for (size_t i = 0; i < service->n_shards; i++) {
		if (!strcmp(service->shards[i].name, name))
			return &service->shards[i];
	}
	return NULL;
}

static const struct rr_replica_config *
find_replica(const struct rr_shard_config *shard, const char *id)
{
	for (size_t i = 0; i < shard->n_replicas; i++) {
		if (!strcmp(shard->replicas[i].id, id))
			return &shard->replicas[i];
	}
	return NULL;
}

static void format_replicas(const char *path, const struct rr_shard_config *old,
			    const struct rr_shard_config *new, GString *out)
{
	for (size_t i = 0; i < old->n_replicas; i++) {
		const char *id = old->replicas[i].id;

		if (!find_replica(new, id))
			g_string_append_printf(out, "  %sreplica %s: removed\n",
					       path, id);
	}
	for (size_t i = 0; i < new->n_replicas; i++) {
		const struct rr_replica_config *replica = &new->replicas[i];
		const struct rr_replica_config *before =
			find_replica(old, replica->id);
		char *replica_path;

		if (!before) {
			g_string_append_printf(
				out, "  %sreplica %s: added, %s in zone %s\n",
				path, replica->id, replica->address,
				replica->zone);
			continue;
		}
		replica_path =
			g_strdup_printf("%sreplica %s: ", path, replica->id);
		format_values(RR_SCOPE_REPLICA, replica_path, before, replica,
			      out);
		g_free(replica_path);
	}
}

static void format_shard(const char *service, const struct rr_shard_config *old,
			 const struct rr_shard_config *new, GString *out)
{
	char *path = g_strdup_printf("%s, shard %s, ", service, new->name);

	format_values(RR_SCOPE_SHARD, path, old, new, out);
	if (old->key_from != new->key_from || old->key_to != new->key_to)
		g_string_append_printf(
			out,
			"  %skeys: [%" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT
			"] -> [%" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT "]\n",
			path, old->key_from, old->key_to, new->key_from,
			new->key_to);
	format_replicas(path, old, new, out);
	g_free(path);
}

static void format_service(const struct rr_service_config *old,
			   const struct rr_service_config *new, GString *out)
{
	char *path = g_strdup_printf("%s, ", new->name);

	format_values(RR_SCOPE_SERVICE, path, old, new, out);
	for (size_t i = 0; i < old->n_shards; i++) {
		if (!find_shard(new, old->shards[i].name))
			g_string_append_printf(out, "  %sshard %s: removed\n",
					       path, old->shards[i].name);
	}
	for (size_t i = 0; i < new->n_shards; i++) {
		const struct rr_shard_config *shard = &new->shards[i];
		const struct rr_shard_config *before =
			find_shard(old, shard->name);

		if (before)
			format_shard(new->name, before, shard, out);
		else
			g_string_append_printf(
				out, "  %sshard %s: added, %zu replicas\n",
				path, shard->name, shard->n_replicas);
	}
	g_free(path);
}

void rr_format_config_diff(const struct rr_config *old,
			   const struct rr_config *new, GString *out)
{
	format_values(RR_SCOPE_SITE, "", old, new, out);
	format_values(RR_SCOPE_SITE_LOG, "log, ", old, new, out);
	for (size_t i = 0; i < old->n_services; i++) {
		const char *name = old->services[i].name;

		if (!rr_find_service(new, name))
			g_string_append_printf(out, "  service %s: removed\n",
					       name);
	}
	for (size_t i = 0; i < new->n_services; i++) {
		const struct rr_service_config *service = &new->services[i];
		const struct rr_service_config *before =
			rr_find_service(old, service->name);

		if (before)
			format_service(before, service, out);
		else
			g_string_append_printf(
				out, "  service %s: added, %zu shards\n",
				service->name, service->n_shards);
	}
}
