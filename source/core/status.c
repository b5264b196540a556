/*
 * status.c - state of the core as JSON, for `ragwort status`.
 */
#include "base/json-private.h"
#include "core/core-private.h"

static const char *state_name(const struct rr_replica *replica)
{
	if (replica->draining_since_us)
		return "draining";
	switch (replica->state) {
	case RR_UPSTREAM_UNKNOWN:
		return "unknown";
	case RR_UPSTREAM_READY:
		return "ready";
	case RR_UPSTREAM_COLD:
		return "cold";
	case RR_UPSTREAM_DRAINING:
		return "draining";
	case RR_UPSTREAM_DOWN:
		return "down";
	}
	return "unknown";
}

static void format_replica(const struct rr_core *core,
			   const struct rr_shard_map *shard,
			   const struct rr_replica *replica, GString *out)
{
	g_string_append(out, "{\"id\":");
	rr_append_json_string(out, replica->id);
	g_string_append(out, ",\"shard\":");
	rr_append_json_string(out, shard->config->name);
	g_string_append(out, ",\"zone\":");
	rr_append_json_string(out, replica->zone);
	g_string_append_printf(
		out,
		",\"state\":\"%s\",\"owned\":%s,\"in_flight\":%u,"
		"\"waiting\":%u,\"limit\":%u,\"latency_us\":%.0f,"
		"\"oldest\":%" G_GUINT64_FORMAT ",\"newest\":%" G_GUINT64_FORMAT
		",\"set_aside\":%s}",
		state_name(replica), replica->owned ? "true" : "false",
		replica->in_flight,
		replica->queues[0].length + replica->queues[1].length,
		rr_replica_limit(core, replica), replica->latency_us,
		replica->oldest_version, replica->newest_version,
		replica->ejected_until_us > core->now_us ? "true" : "false");
}

static void format_replicas(const struct rr_core *core,
			    const struct rr_service_map *map, GString *out)
{
	const char *comma = "";

	for (size_t i = 0; i < map->n_shards; i++) {
		for (size_t j = 0; j < map->shards[i].n_replicas; j++) {
			g_string_append(out, comma);
			format_replica(core, &map->shards[i],
				       map->shards[i].replicas[j], out);
			comma = ",";
		}
	}
}

static void format_service(const struct rr_core *core,
			   const struct rr_service *service, GString *out)
{
	g_string_append(out, "{\"name\":");
	rr_append_json_string(out, service->name);
	g_string_append_printf(
		out,
		",\"open\":%u,\"waiting\":%u,\"pin\":%" G_GUINT64_FORMAT
		",\"hedge_tokens\":%.1f,\"retry_tokens\":%.1f,\"replicas\":[",
		service->n_open, service->n_queued, service->pin_version,
		service->hedge_budget.tokens, service->retry_budget.tokens);
	format_replicas(core, service->map, out);
	g_string_append(out, "]}");
}

static const char *member_state_name(enum rr_member_state state)
{
	switch (state) {
	case RR_MEMBER_ALIVE:
		return "alive";
	case RR_MEMBER_SUSPECT:
		return "suspect";
	case RR_MEMBER_LEAVING:
		return "leaving";
	case RR_MEMBER_DEAD:
		return "dead";
	}
	return "unknown";
}

static void format_members(const struct rr_core *core, GString *out)
{
	size_t n;
	struct rr_member_update *members = rr_list_members(core->members, &n);

	for (size_t i = 0; i < n; i++) {
		g_string_append(out, i ? ",{\"instance\":" : "{\"instance\":");
		rr_append_json_string(out, members[i].instance);
		g_string_append(out, ",\"zone\":");
		rr_append_json_string(out, members[i].zone);
		g_string_append_printf(out, ",\"state\":\"%s\"}",
				       member_state_name(members[i].state));
	}
	g_free(members);
}

static void format_services(const struct rr_core *core, GString *out)
{
	const char *comma = "";

	for (guint i = 0; i < core->service_list->len; i++) {
		const struct rr_service *service =
			g_ptr_array_index(core->service_list, i);

		if (!service->map)
			continue;
		g_string_append(out, comma);
		format_service(core, service, out);
		comma = ",";
	}
}

/*
 * Whether every replica of a shard is known to be down or draining.  A replica
 * of unknown state does not count: this instance polls only the replicas that
 * it owns, and others may well answer their owners.
 */
static bool is_unavailable(const struct rr_shard_map *shard)
{
	for (size_t i = 0; i < shard->n_replicas; i++) {
		const struct rr_replica *replica = shard->replicas[i];

		if (!replica->draining_since_us &&
		    replica->state != RR_UPSTREAM_DOWN &&
		    replica->state != RR_UPSTREAM_DRAINING)
			return false;
	}
	return true;
}

static void format_unavailable_shard(const struct rr_service *service,
				     const struct rr_shard_map *shard,
				     GString *out)
{
	g_string_append(out, "{\"service\":");
	rr_append_json_string(out, service->name);
	g_string_append(out, ",\"shard\":");
	rr_append_json_string(out, shard->config->name);
	g_string_append(out, ",\"yard\":");
	rr_append_json_string(out, shard->config->public_name);
	g_string_append_printf(out, ",\"reason\":\"%s\"}",
			       rr_missing_reason_name(RR_MISSING_NO_REPLICA));
}

static void format_unavailable_shards(const struct rr_core *core, GString *out)
{
	const char *comma = "";

	for (guint i = 0; i < core->service_list->len; i++) {
		const struct rr_service *service =
			g_ptr_array_index(core->service_list, i);

		for (size_t j = 0; service->map && j < service->map->n_shards;
		     j++) {
			if (!is_unavailable(&service->map->shards[j]))
				continue;
			g_string_append(out, comma);
			format_unavailable_shard(service,
						 &service->map->shards[j], out);
			comma = ",";
		}
	}
}

void rr_core_format_status(const struct rr_core *core, int64_t now_us,
			   GString *out)
{
	const char *reason;
	bool ready = rr_core_is_ready(core, &reason);

	g_string_append(out, "{\"instance\":");
	rr_append_json_string(out, core->instance);
	g_string_append(out, ",\"zone\":");
	rr_append_json_string(out, core->zone);
	g_string_append_printf(
		out,
		",\"ready\":%s,\"reason\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
		",\"config_age_ms\":%" G_GINT64_FORMAT
		",\"open_queries\":%u,\"members\":[",
		ready ? "true" : "false", reason ? reason : "",
		rr_core_config_revision(core),
		core->config ? (now_us - core->config_set_us) / 1000 : -1,
		g_hash_table_size(core->queries));
	format_members(core, out);
	g_string_append(out, "],\"services\":[");
	format_services(core, out);
	g_string_append(out, "],\"lacking\":[");
	format_unavailable_shards(core, out);
	g_string_append(out, "]}");
}
