/*
 * fake-cluster.c - cores, replicas and their configuration in virtual time.
 */
#include "support/fake-cluster-private.h"

#include <string.h>

#define KEYS_PER_SHARD 100

int64_t fake_wall_us(const struct fake_cluster *cluster)
{
	return FAKE_WALL_S * G_USEC_PER_SEC + cluster->now_us;
}

static void free_answer(gpointer data)
{
	struct fake_answer *answer = data;

	g_free(answer->reason);
	g_free(answer->result);
	g_free(answer->cursor);
	g_array_unref(answer->keys);
	g_array_unref(answer->versions);
	g_ptr_array_unref(answer->covered);
	g_ptr_array_unref(answer->missing);
	g_free(answer);
}

static void free_replica(gpointer data)
{
	struct fake_replica *replica = data;

	g_hash_table_destroy(replica->run_counts);
	g_free(replica->id);
	g_free(replica);
}

static void free_instance(gpointer data)
{
	struct fake_instance *instance = data;

	rr_drop_core(instance->core);
	rr_drop_context(instance->ctx);
	g_ptr_array_unref(instance->answers);
	g_string_free(instance->log, TRUE);
	g_free(instance->name);
	g_free(instance->zone);
	g_free(instance);
}

struct fake_cluster *fake_new_cluster(uint32_t seed)
{
	struct fake_cluster *cluster = g_new0(struct fake_cluster, 1);

	cluster->seed = seed;
	cluster->now_us = 1000 * FAKE_MS;
	cluster->store_delay_us = 2 * FAKE_MS;
	cluster->link_delay_us = FAKE_MS;
	cluster->instances = g_ptr_array_new_with_free_func(free_instance);
	cluster->replicas = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_replica);
	cluster->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						fake_free_value);
	cluster->events = new_event_queue();
	return cluster;
}

void fake_drop_cluster(struct fake_cluster *cluster)
{
	drop_event_queue(cluster->events, fake_free_event);
	g_ptr_array_unref(cluster->instances);
	g_hash_table_destroy(cluster->replicas);
	g_hash_table_destroy(cluster->values);
	g_free(cluster);
}

static void fill_shard(struct rr_shard_config *shard, size_t i,
		       size_t n_replicas, const char *const *zones,
		       size_t n_zones)
{
	shard->name = g_strdup_printf("s%zu", i);
	shard->public_name = g_strdup(zones[i % n_zones]);
	shard->key_from = i * KEYS_PER_SHARD;
	shard->key_to = (i + 1) * KEYS_PER_SHARD;
	shard->n_replicas = n_replicas;
	shard->replicas = g_new0(struct rr_replica_config, n_replicas);
	for (size_t j = 0; j < n_replicas; j++) {
		shard->replicas[j].id =
			g_strdup_printf("s%zu%c", i, (char)('a' + j));
		shard->replicas[j].zone = g_strdup(zones[i % n_zones]);
		shard->replicas[j].address = g_strdup_printf(
			"127.0.0.1:%zu", 7000 + i * n_replicas + j);
	}
}

struct rr_config *fake_config(uint64_t revision, size_t n_shards,
			      size_t n_replicas, const char *const *zones,
			      size_t n_zones)
{
	struct rr_config *config = rr_new_config();
	struct rr_service_config *service;

	config->revision = revision;
	config->site = g_strdup("nairobi");
	config->ledger_buckets = 4;
	config->n_services = 1;
	config->services = g_new0(struct rr_service_config, 1);
	service = &config->services[0];
	rr_init_service_config(service);
	service->name = g_strdup("desk");
	service->deadline_ms = 400;
	service->attempt_timeout_ms = 100;
	service->slots = 4;
	service->n_shards = n_shards;
	service->shards = g_new0(struct rr_shard_config, n_shards);
	for (size_t i = 0; i < n_shards; i++)
		fill_shard(&service->shards[i], i, n_replicas, zones, n_zones);
	return config;
}

static void add_replica(struct fake_cluster *cluster,
			const struct rr_shard_config *shard, size_t j)
{
	struct fake_replica *replica = g_new0(struct fake_replica, 1);

	replica->id = g_strdup(shard->replicas[j].id);
	replica->state = RR_UPSTREAM_READY;
	replica->oldest = 5;
	replica->newest = 7;
	replica->range.from = shard->key_from;
	replica->range.to = shard->key_to;
	replica->latency_us = 3 * FAKE_MS;
	replica->run_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(cluster->replicas, replica->id, replica);
}

void fake_add_replicas(struct fake_cluster *cluster,
		       const struct rr_config *config)
{
	for (size_t s = 0; s < config->n_services; s++) {
		const struct rr_service_config *service = &config->services[s];

		for (size_t i = 0; i < service->n_shards; i++) {
			for (size_t j = 0; j < service->shards[i].n_replicas;
			     j++)
				add_replica(cluster, &service->shards[i], j);
		}
	}
}

struct fake_replica *fake_replica(struct fake_cluster *cluster, const char *id)
{
	struct fake_replica *replica =
		g_hash_table_lookup(cluster->replicas, id);

	if (!replica)
		g_error("no replica %s", id);
	return replica;
}

static void write_log(void *data, enum rr_log_level level, const char *line)
{
	(void)level;
	g_string_append_printf(data, "%s\n", line);
}

struct fake_instance *fake_add_instance(struct fake_cluster *cluster,
					const char *name, const char *zone,
					uint64_t incarnation)
{
	struct fake_instance *instance = g_new0(struct fake_instance, 1);
	struct rr_context_options context = {
		.seed = cluster->seed + cluster->instances->len,
		.log = { .write = write_log, .max_level = RR_LOG_DECISION },
	};
	struct rr_core_options options = {
		.instance = name,
		.zone = zone,
		.incarnation = incarnation,
		.actions = fake_actions(instance),
		.store = fake_store_actions(instance),
	};
	char *address =
		g_strdup_printf("127.0.0.1:%u", 8000 + cluster->instances->len);

	instance->cluster = cluster;
	instance->name = g_strdup(name);
	instance->zone = g_strdup(zone);
	instance->answers = g_ptr_array_new_with_free_func(free_answer);
	instance->log = g_string_new(NULL);
	context.log.data = instance->log;
	instance->ctx = rr_new_context(&context);
	options.peer_address = address;
	instance->core = rr_new_core(instance->ctx, &options, cluster->now_us);
	g_ptr_array_add(cluster->instances, instance);
	g_free(address);
	return instance;
}

void fake_kill_instance(struct fake_instance *instance)
{
	rr_drop_core(instance->core);
	instance->core = NULL;
}

void fake_set_config(struct fake_instance *instance, struct rr_config *config)
{
	char *record = g_strdup_printf("%" G_GUINT64_FORMAT, config->revision);

	rr_core_set_config(instance->ctx, instance->core,
			   instance->cluster->now_us, config, record,
			   strlen(record));
	g_free(record);
}

void fake_hint_all_members(struct fake_cluster *cluster)
{
	for (guint i = 0; i < cluster->instances->len; i++) {
		struct fake_instance *to =
			g_ptr_array_index(cluster->instances, i);

		for (guint j = 0; j < cluster->instances->len; j++) {
			struct fake_instance *other =
				g_ptr_array_index(cluster->instances, j);
			char *address =
				g_strdup_printf("127.0.0.1:%u", 8000 + j);

			if (to != other)
				rr_core_hint_member(
					to->ctx, to->core, cluster->now_us,
					other->name, other->zone, address);
			g_free(address);
		}
	}
}

static int64_t next_wake_us(const struct fake_cluster *cluster)
{
	int64_t wake_us = INT64_MAX;

	for (guint i = 0; i < cluster->instances->len; i++) {
		struct fake_instance *instance =
			g_ptr_array_index(cluster->instances, i);

		if (instance->core)
			wake_us = MIN(wake_us, rr_core_wake_us(instance->core));
	}
	return wake_us;
}

static void tick_due(struct fake_cluster *cluster)
{
	for (guint i = 0; i < cluster->instances->len; i++) {
		struct fake_instance *instance =
			g_ptr_array_index(cluster->instances, i);

		if (instance->core &&
		    rr_core_wake_us(instance->core) <= cluster->now_us)
			rr_core_tick(instance->ctx, instance->core,
				     cluster->now_us);
	}
}

/* Run the next event, or the ticks that are due before it. */
static bool step(struct fake_cluster *cluster, int64_t until_us)
{
	int64_t wake_us = next_wake_us(cluster);

	if (next_event_us(cluster->events) <= MIN(until_us, wake_us))
		return run_next_event(cluster->events, &cluster->now_us,
				      cluster);
	if (wake_us > until_us)
		return false;
	cluster->now_us = MAX(cluster->now_us, wake_us);
	tick_due(cluster);
	return true;
}

void fake_run_for(struct fake_cluster *cluster, int64_t us)
{
	int64_t until_us = cluster->now_us + us;

	while (step(cluster, until_us))
		;
	cluster->now_us = until_us;
}

bool fake_wait_for_answers(struct fake_instance *instance, guint n)
{
	struct fake_cluster *cluster = instance->cluster;
	int64_t until_us = cluster->now_us + 60 * G_USEC_PER_SEC;

	while (instance->answers->len < n) {
		if (!step(cluster, until_us))
			return false;
	}
	return true;
}

uint64_t fake_request(struct fake_instance *instance,
		      const struct rr_request *request)
{
	return rr_core_handle_request(instance->ctx, instance->core,
				      instance->cluster->now_us,
				      fake_wall_us(instance->cluster), request);
}

uint64_t fake_search(struct fake_instance *instance)
{
	struct rr_request request = {
		.kind = RR_SEARCH,
		.request_id = "r",
		.service = "desk",
		.body = "{}",
	};

	return fake_request(instance, &request);
}

uint64_t fake_reserve(struct fake_instance *instance, uint64_t key,
		      const char *id)
{
	struct rr_request request = {
		.kind = RR_RESERVE,
		.request_id = "r",
		.service = "desk",
		.body = "{}",
		.key = key,
		.idempotency_key = id,
	};

	return fake_request(instance, &request);
}

struct fake_answer *fake_answer_at(struct fake_instance *instance, guint i)
{
	if (i >= instance->answers->len)
		g_error("no answer %u", i);
	return g_ptr_array_index(instance->answers, i);
}

struct fake_answer *fake_last_answer(struct fake_instance *instance)
{
	return fake_answer_at(instance, instance->answers->len - 1);
}

bool fake_is_missing(const struct fake_answer *answer, const char *shard_reason)
{
	for (guint i = 0; i < answer->missing->len; i++) {
		if (!strcmp(g_ptr_array_index(answer->missing, i),
			    shard_reason))
			return true;
	}
	return false;
}

uint64_t fake_counter_value(struct fake_instance *instance,
			    enum rr_counter counter)
{
	return rr_counter_value(instance->ctx, counter);
}

uint32_t fake_total_attempts(struct fake_cluster *cluster)
{
	uint32_t n = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((struct fake_replica *)value)->attempts;
	return n;
}
