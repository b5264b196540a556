/*
 * service.c - services of the current configuration and shard look-up.
 */
#include "core/core-private.h"

#include <string.h>

struct rr_service *rr_find_service_state(struct rr_core *core, const char *name)
{
	struct rr_service *service =
		name ? g_hash_table_lookup(core->services, name) : NULL;

	return service && service->map ? service : NULL;
}

struct rr_service_map *rr_keep_service_map(struct rr_service_map *map)
{
	map->refs++;
	return map;
}

void rr_drop_service_map(struct rr_service_map *map)
{
	if (!map || --map->refs > 0)
		return;
	for (size_t i = 0; i < map->n_shards; i++) {
		for (size_t j = 0; j < map->shards[i].n_replicas; j++)
			rr_drop_replica(map->shards[i].replicas[j]);
		g_free(map->shards[i].replicas);
		g_free(map->shards[i].owner_key);
	}
	g_free(map->shards);
	rr_drop_config(map->config);
	g_free(map);
}

size_t rr_find_shard_by_key(const struct rr_service_map *map, uint64_t key)
{
	for (size_t i = 0; i < map->n_shards; i++) {
		const struct rr_shard_config *shard = map->shards[i].config;

		if (key >= shard->key_from && key < shard->key_to)
			return i;
	}
	return map->n_shards;
}

size_t rr_find_shard_by_name(const struct rr_service_map *map, const char *name,
			     size_t guess)
{
	for (size_t i = 0; name && i < map->n_shards; i++) {
		size_t at = (guess + i) % map->n_shards;

		if (!strcmp(map->shards[at].config->name, name))
			return at;
	}
	return map->n_shards;
}
