/*
 * config-apply.c - applying configurations, always of a higher revision.
 */
#include "core/core-private.h"

#include <stdlib.h>
#include <string.h>

#include "ragwort/record.h"

/* Token budget capacities of a service; see set_budgets(). */
#define MIN_TOKEN_CAPACITY 10.0
#define INITIAL_HEDGE_TOKENS 3.0
/* Minimum interval between requests for a record, answered or not. */
#define REQUEST_PERIOD_US G_USEC_PER_SEC
/* Number of instances of a zone that write a lost record back. */
#define CONFIG_WRITERS_PER_ZONE 1

static int compare_shards(const void *a, const void *b)
{
	const struct rr_shard_config *x =
		((const struct rr_shard_map *)a)->config;
	const struct rr_shard_config *y =
		((const struct rr_shard_map *)b)->config;

	if (x->key_from != y->key_from)
		return x->key_from < y->key_from ? -1 : 1;
	return strcmp(x->name, y->name);
}

/*
 * A replica whose address has changed is another process, so it is added as a
 * new replica.
 */
static struct rr_replica *
find_or_add_replica(struct rr_context *ctx, struct rr_core *core,
		    struct rr_service *service,
		    const struct rr_replica_config *config)
{
	struct rr_replica *replica = rr_find_replica(core, config->id);

	if (replica && !strcmp(replica->address, config->address) &&
	    !strcmp(replica->zone, config->zone) && replica->service == service)
		return replica;
	if (replica) {
		replica->shard = NULL;
		g_hash_table_steal(core->replicas, replica->id);
	}
	return rr_add_replica(ctx, core, service, config);
}

static void init_shard(struct rr_context *ctx, struct rr_core *core,
		       struct rr_service *service, struct rr_shard_map *shard)
{
	shard->owner_key =
		g_strdup_printf("%s/%s", service->name, shard->config->name);
	shard->n_replicas = shard->config->n_replicas;
	shard->replicas =
		g_new0(struct rr_replica *, MAX(1, shard->n_replicas));
	for (size_t i = 0; i < shard->n_replicas; i++) {
		struct rr_replica *replica = find_or_add_replica(
			ctx, core, service, &shard->config->replicas[i]);

		shard->replicas[i] = rr_keep_replica(replica);
	}
}

static struct rr_service_map *
new_service_map(struct rr_context *ctx, struct rr_core *core,
		struct rr_service *service, struct rr_config *config,
		const struct rr_service_config *entry)
{
	struct rr_service_map *map = g_new0(struct rr_service_map, 1);

	map->refs = 1;
	map->config = rr_keep_config(config);
	map->service = entry;
	map->n_shards = entry->n_shards;
	map->shards = g_new0(struct rr_shard_map, MAX(1, map->n_shards));
	for (size_t i = 0; i < map->n_shards; i++)
		map->shards[i].config = &entry->shards[i];
	qsort(map->shards, map->n_shards, sizeof(*map->shards), compare_shards);
	for (size_t i = 0; i < map->n_shards; i++)
		init_shard(ctx, core, service, &map->shards[i]);
	return map;
}

static struct rr_service *find_or_add_service(struct rr_core *core,
					      const char *name)
{
	struct rr_service *service = g_hash_table_lookup(core->services, name);

	if (service)
		return service;
	service = g_new0(struct rr_service, 1);
	service->name = g_strdup(name);
	service->change_count = 1;
	g_hash_table_insert(core->services, service->name, service);
	g_ptr_array_add(core->service_list, service);
	return service;
}

/*
 * Point the replicas of a map at their shards, and add those that are attached
 * to no shard yet to core->replica_list.
 */
static void adopt_replicas(struct rr_core *core, struct rr_service_map *map)
{
	for (size_t i = 0; i < map->n_shards; i++) {
		struct rr_shard_map *shard = &map->shards[i];

		for (size_t j = 0; j < shard->n_replicas; j++) {
			struct rr_replica *replica = shard->replicas[j];

			if (!replica->shard)
				g_ptr_array_add(core->replica_list,
						rr_keep_replica(replica));
			replica->shard = shard;
			replica->owners_generation = 0;
			if (replica->limit.value < 1)
				rr_reset_limit(&replica->limit,
					       rr_slot_share(replica));
		}
	}
}

/*
 * Over time, extra attempts stay within their share of the required ones; the
 * capacity limits how many may start at once.  A lost owner fails many shards
 * of a query together, so the retry budget has room for a whole query.
 */
static void set_budgets(struct rr_service *service,
			const struct rr_service_config *entry)
{
	double capacity = MAX(MIN_TOKEN_CAPACITY, (double)entry->n_shards);

	rr_set_token_budget(&service->hedge_budget, entry->hedge_budget,
			    MIN_TOKEN_CAPACITY, INITIAL_HEDGE_TOKENS);
	rr_set_token_budget(&service->retry_budget, entry->retry_budget,
			    capacity, capacity);
}

static void apply_service(struct rr_context *ctx, struct rr_core *core,
			  struct rr_config *config,
			  const struct rr_service_config *entry)
{
	struct rr_service *service = find_or_add_service(core, entry->name);

	service->map = new_service_map(ctx, core, service, config, entry);
	service->change_count++;
	set_budgets(service, entry);
	adopt_replicas(core, service->map);
}

/*
 * Detach all maps and replicas of the old configuration.  Replicas that the new
 * configuration contains are attached again by adopt_replicas(), with their
 * state.
 */
static GPtrArray *detach_all(struct rr_core *core, GPtrArray *old_maps)
{
	GPtrArray *old = core->replica_list;

	core->replica_list = g_ptr_array_new();
	for (guint i = 0; i < old->len; i++)
		((struct rr_replica *)g_ptr_array_index(old, i))->shard = NULL;
	for (guint i = 0; i < core->service_list->len; i++) {
		struct rr_service *service =
			g_ptr_array_index(core->service_list, i);

		if (service->map)
			g_ptr_array_add(old_maps, service->map);
		service->map = NULL;
	}
	return old;
}

static void drop_removed_replicas(struct rr_context *ctx, struct rr_core *core,
				  GPtrArray *old)
{
	for (guint i = 0; i < old->len; i++) {
		struct rr_replica *replica = g_ptr_array_index(old, i);

		if (!replica->shard) {
			rr_return_queued_attempts(ctx, core, replica);
			rr_retire_replica(core, replica);
		}
		rr_drop_replica(replica);
	}
	g_ptr_array_unref(old);
}

static void apply_config(struct rr_context *ctx, struct rr_core *core,
			 struct rr_config *config)
{
	GPtrArray *old_maps = g_ptr_array_new();
	GPtrArray *old = detach_all(core, old_maps);
	struct rr_config *before = core->config;

	core->config = rr_keep_config(config);
	for (size_t i = 0; i < config->n_services; i++)
		apply_service(ctx, core, config, &config->services[i]);
	drop_removed_replicas(ctx, core, old);
	for (guint i = 0; i < old_maps->len; i++)
		rr_drop_service_map(g_ptr_array_index(old_maps, i));
	g_ptr_array_unref(old_maps);
	rr_drop_config(before);
}

bool rr_core_set_config(struct rr_context *ctx, struct rr_core *core,
			int64_t now_us, struct rr_config *config,
			const char *record, size_t length)
{
	uint64_t before = rr_core_config_revision(core);

	core->ctx = ctx;
	core->now_us = MAX(core->now_us, now_us);
#ifndef RR_MUTANT_CONFIG_OLDER
	if (core->config && config->revision <= before)
		return false;
#endif
	apply_config(ctx, core, config);
	core->config_set_us = core->now_us;
	/*
	 * An older record may arrive late, from a peer or a slow store.
	 * Applying it would revert an accepted change at this site.
	 */
	rr_invariant("config", core->config->revision > before ||
				       (!before && !core->config->revision));
	g_free(core->config_record);
	core->config_record = g_memdup2(record, length);
	core->config_record_length = record ? length : 0;
	rr_start_ledger(ctx, core);
	rr_refresh_member_copies(core);
	rr_poll_owned_replicas(ctx, core);
	rr_count(ctx, RR_N_CONFIG_CHANGES, 1);
	rr_set_gauge(ctx, RR_G_CONFIG_REVISION, config->revision);
	rr_log(ctx, RR_LOG_INFO, "config",
	       RR_FIELD_U64("revision", config->revision),
	       RR_FIELD_U64("before", before));
	rr_run_scheduled_work(ctx, core);
	return true;
}

const char *rr_core_config_record(const struct rr_core *core, size_t *length)
{
	*length = core->config_record_length;
	return core->config_record;
}

void rr_core_write_config_back(struct rr_context *ctx, struct rr_core *core,
			       int64_t now_us,
			       const struct rr_config_write_back *write)
{
	bool is_older = write->stored_revision < rr_core_config_revision(core);

	core->ctx = ctx;
	core->now_us = MAX(core->now_us, now_us);
	if (!core->config_record || (!write->record && !is_older) ||
	    !rr_core_is_config_watcher(core, CONFIG_WRITERS_PER_ZONE))
		return;
	rr_log(ctx, RR_LOG_WARNING, "config-written-back",
	       RR_FIELD_U64("revision", rr_core_config_revision(core)),
	       RR_FIELD_U64("stored", write->stored_revision),
	       RR_FIELD_BOOL("with_changes", write->record != NULL));
	/* The reply is not needed: the watch reports what the store holds. */
	core->store.compare_and_swap(
		core->store.data, core->next_call_id++, RR_CONFIG_RECORD_KEY,
		write->key_revision,
		write->record ? write->record : core->config_record,
		write->record ? write->length : core->config_record_length,
		NULL);
}

uint64_t rr_core_config_revision(const struct rr_core *core)
{
	return core->config ? core->config->revision : 0;
}

static void request_record(struct rr_context *ctx, struct rr_core *core,
			   const char *instance)
{
	const char *address;
	uint64_t incarnation;
	struct rr_peer_message *message;

	if (!rr_find_member(core->members, instance, &address, &incarnation))
		return;
	message = rr_prepare_peer_message(core, RR_PEER_CONFIG_GET);
	message->to_incarnation = incarnation;
	core->awaiting_config = true;
	core->config_request_id++;
	rr_set_timer(core->timers, core->now_us + REQUEST_PERIOD_US,
		     RR_TIMER_CONFIG_REQUEST, core->config_request_id, 0);
	rr_send_peer_message(ctx, core, instance, address, message);
}

void rr_check_peer_config_revision(struct rr_context *ctx, struct rr_core *core,
				   const struct rr_peer_message *message)
{
	if (message->config_revision <= rr_core_config_revision(core) ||
	    message->kind == RR_PEER_CONFIG)
		return;
	/*
	 * One request at a time: after a change, all members announce the new
	 * revision at about the same time.
	 */
	if (core->awaiting_config)
		return;
	request_record(ctx, core, message->from);
}

void rr_fire_config_request(struct rr_context *ctx, struct rr_core *core,
			    uint64_t number)
{
	if (core->awaiting_config && number == core->config_request_id)
		core->awaiting_config = false;
}

void rr_answer_config_get(struct rr_context *ctx, struct rr_core *core,
			  const struct rr_peer_message *message)
{
	const char *address;
	uint64_t incarnation;
	struct rr_peer_message *reply;

	if (!core->config_record ||
	    !rr_find_member(core->members, message->from, &address,
			    &incarnation))
		return;
	reply = rr_prepare_peer_message(core, RR_PEER_CONFIG);
	reply->to_incarnation = message->from_incarnation;
	reply->config_record =
		g_memdup2(core->config_record, core->config_record_length);
	reply->config_length = core->config_record_length;
	rr_send_peer_message(ctx, core, message->from, address, reply);
}

void rr_handle_config_record(struct rr_context *ctx, struct rr_core *core,
			     const struct rr_peer_message *message)
{
	if (!message->config_record || !message->config_length)
		return;
	if (message->config_revision <= rr_core_config_revision(core))
		return;
	core->actions.apply_config_record(core->actions.data,
					  message->config_record,
					  message->config_length);
}
