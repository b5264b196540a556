/*
 * config.c - creation, reference counting and lookup of a site's configuration.
 */
#include "ragwort/config.h"

#include <glib.h>

struct rr_config *rr_new_config(void)
{
	struct rr_config *config = g_new0(struct rr_config, 1);

	config->refs = 1;
	config->owners_per_replica = 2;
	config->reservation_retention_s = 24 * 3600;
	config->ledger_buckets = 64;
	config->log = (struct rr_log_settings){ -1, -1, UINT32_MAX };
	return config;
}

struct rr_config *rr_keep_config(struct rr_config *config)
{
	config->refs++;
	return config;
}

static void clear_shard(struct rr_shard_config *shard)
{
	for (size_t i = 0; i < shard->n_replicas; i++) {
		g_free(shard->replicas[i].id);
		g_free(shard->replicas[i].zone);
		g_free(shard->replicas[i].address);
	}
	g_free(shard->replicas);
	g_free(shard->name);
	g_free(shard->public_name);
}

static void clear_service(struct rr_service_config *service)
{
	for (size_t i = 0; i < service->n_shards; i++)
		clear_shard(&service->shards[i]);
	g_free(service->shards);
	g_free(service->name);
}

void rr_drop_config(struct rr_config *config)
{
	if (!config || --config->refs > 0)
		return;
	for (size_t i = 0; i < config->n_services; i++)
		clear_service(&config->services[i]);
	g_free(config->services);
	g_free(config->site);
	g_free(config);
}

void rr_init_service_config(struct rr_service_config *service)
{
	*service = (struct rr_service_config){
		.answer = RR_ANSWER_COVERAGE,
		.deadline_ms = 2000,
		.min_coverage = 1.0,
		.straggler_wait_ms = 0,
		.idempotent = true,
		.slots = 2,
		.connections = 25,
		.connect_ms = 6,
		.connection_reserve = 2,
		.hedge_budget = 0.05,
		.retry_budget = 0.1,
		.attempt_timeout_ms = 1000,
		.max_open_requests = 512,
		.batch_share = 0.25,
		.max_rows = 1000,
	};
}

const struct rr_service_config *rr_find_service(const struct rr_config *config,
						const char *name)
{
	for (size_t i = 0; i < config->n_services; i++) {
		if (!g_strcmp0(config->services[i].name, name))
			return &config->services[i];
	}
	return NULL;
}
