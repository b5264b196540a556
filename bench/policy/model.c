/*
 * model.c - open-loop load, the core's callbacks and the run of the experiment.
 */
#include "policy/model-private.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "ragwort/counters.h"

double policy_capacity_per_s(void)
{
	return (double)POLICY_REPLICAS * SLOTS * SECOND / (double)SERVICE_US;
}

void schedule_event(struct model *model, int64_t delay_us,
		    void (*run)(void *context, void *data), void *data)
{
	push_event(model->events, model->now_us + delay_us, run, data);
}

static void count_versions(struct model *model, const struct rr_answer *answer)
{
	uint64_t first = 0;

	for (size_t i = 0; i < answer->n_rows; i++) {
		size_t length;
		uint64_t version = 0;
		const char *text = rr_row_json(answer->rows[i].rows,
					       answer->rows[i].index, &length);

		sscanf(text, "{\"v\":%" G_GUINT64_FORMAT, &version);
		if (!first)
			first = version;
		if (version != first) {
			model->result->mixed_versions++;
			return;
		}
	}
}

static void on_answer(void *data, const struct rr_answer *answer)
{
	struct model *model = data;
	struct run_result *result = model->result;
	struct query *query = model->submitting;
	int64_t latency_us;

	if (!query) {
		query = g_hash_table_lookup(model->queries, &answer->query_id);
		g_hash_table_steal(model->queries, &answer->query_id);
	}
	model->submitting = NULL;
	if (query->is_list) {
		model->list_pending = false;
		g_clear_pointer(&model->list_cursor, g_free);
		model->list_cursor = g_strdup(answer->next_cursor);
		result->list_rows += answer->n_rows;
		return;
	}
	if (!query->measured)
		return;
	count_versions(model, answer);
	latency_us = model->now_us - query->started_us;
	if (answer->outcome == RR_NOT_RUN) {
		result->rejected++;
		g_array_append_val(result->rejection_latencies_us, latency_us);
		return;
	}
	g_array_append_val(result->latencies_us, latency_us);
	result->shards_needed += answer->n_covered + answer->n_missing;
	result->shards_covered += answer->n_covered;
	if (answer->outcome == RR_COMPLETE && latency_us <= DEADLINE_MS * MS)
		result->answered_in_time++;
	result->needed_attempts += POLICY_SHARDS;
}

static void on_send_peer(void *data, const char *instance, const char *address,
			 const struct rr_peer_message *message)
{
}

static void on_config_record(void *data, const char *record, size_t length)
{
}

static void store_get(void *data, uint64_t call_id, const char *key)
{
}

static void store_swap(void *data, uint64_t call_id, const char *key,
		       uint64_t revision, const char *value, size_t length,
		       const struct rr_store_guard *guard)
{
}

static void tick(void *context, void *data)
{
	struct model *model = context;

	if (model->next_tick_us > model->now_us)
		return;
	model->next_tick_us = INT64_MAX;
	rr_core_tick(model->ctx, model->core, model->now_us);
	schedule_core_tick(model);
}

void schedule_core_tick(struct model *model)
{
	int64_t wake_us = rr_core_wake_us(model->core);

	if (wake_us >= model->next_tick_us)
		return;
	model->next_tick_us = MAX(wake_us, model->now_us + 1);
	push_event(model->events, model->next_tick_us, tick, NULL);
}

static void submit_request(struct model *model, struct rr_request *request)
{
	struct query *query = g_new0(struct query, 1);
	uint64_t *query_id = g_new(uint64_t, 1);
	char request_id[32];
	static uint64_t number;

	snprintf(request_id, sizeof(request_id), "q%" G_GUINT64_FORMAT,
		 ++number);
	request->request_id = request_id;
	request->service = POLICY_SERVICE;
	request->body = "{}";
	query->started_us = model->now_us;
	query->measured = model->now_us >= model->options->warm_up_us;
	query->is_list = request->kind == RR_LIST;
	if (query->measured && !query->is_list)
		model->result->requests++;
	model->submitting = query;
	*query_id =
		rr_core_handle_request(model->ctx, model->core, model->now_us,
				       WALL_START_US + model->now_us, request);
	request->request_id = NULL;
	if (model->submitting) {
		g_hash_table_insert(model->queries, query_id, query);
	} else {
		/* Answered before the call returned. */
		g_free(query_id);
		g_free(query);
	}
	model->submitting = NULL;
	schedule_core_tick(model);
}

static void next_search(void *context, void *data)
{
	struct model *model = context;
	double rate = model->scenario->load * policy_capacity_per_s();
	struct rr_request request = { .kind = RR_SEARCH };

	if (model->now_us >= model->options->duration_us)
		return;
	schedule_event(model,
		       (int64_t)(-log(1.0 - g_rand_double(model->random)) *
				 (double)SECOND / rate),
		       next_search, NULL);
	submit_request(model, &request);
}

static void next_page(void *context, void *data)
{
	struct model *model = context;
	struct rr_request request = {
		.kind = RR_LIST,
		.priority = RR_BATCH,
		.max_rows = 5,
	};

	if (model->now_us >= model->options->duration_us)
		return;
	schedule_event(model, 2 * MS, next_page, NULL);
	if (model->list_pending)
		return;
	model->list_pending = true;
	request.cursor = model->list_cursor;
	submit_request(model, &request);
}

static void update_version(void *context, void *data)
{
	struct upstream *upstream = data;

	upstream->newest_version++;
}

static void next_version(void *context, void *data)
{
	struct model *model = context;

	model->version++;
	for (int i = 0; i < N_REPLICAS_ALL; i++)
		schedule_event(
			model,
			(int64_t)(g_rand_double(model->random) * 0.6 *
				  (double)model->scenario->index_period_us),
			update_version, &model->upstreams[i]);
	if (model->now_us < model->options->duration_us)
		schedule_event(model, model->scenario->index_period_us,
			       next_version, NULL);
}

static void replace_replica(void *context, void *data)
{
	struct model *model = context;
	struct upstream *upstream = data;

	upstream->cold_until_us = model->now_us + COLD_PERIOD_US;
	upstream->connections = upstream->conns_in_use;
}

static struct rr_config *make_config(struct model *model)
{
	struct rr_config *config = rr_new_config();
	struct rr_service_config *service;

	config->revision = 1;
	config->site = g_strdup("experiment");
	config->n_services = 1;
	config->services = g_new0(struct rr_service_config, 1);
	service = &config->services[0];
	rr_init_service_config(service);
	service->name = g_strdup(POLICY_SERVICE);
	service->deadline_ms = DEADLINE_MS;
	service->attempt_timeout_ms = ATTEMPT_TIMEOUT_MS;
	service->slots = SLOTS;
	service->connections = model->result->connection_cap;
	service->connect_ms = CONNECT_US / MS;
	if (model->options->policy->no_retry)
		service->retry_budget = 0.0;
	service->n_shards = POLICY_SHARDS;
	service->shards = g_new0(struct rr_shard_config, POLICY_SHARDS);
	for (int s = 0; s < POLICY_SHARDS; s++) {
		struct rr_shard_config *shard = &service->shards[s];

		shard->name = g_strdup_printf("shard-%02d", s);
		shard->public_name = g_strdup(shard->name);
		shard->key_from = (uint64_t)s * POLICY_KEYS_PER_SHARD;
		shard->key_to = shard->key_from + POLICY_KEYS_PER_SHARD;
		shard->n_replicas = POLICY_REPLICAS;
		shard->replicas =
			g_new0(struct rr_replica_config, POLICY_REPLICAS);
		for (int r = 0; r < POLICY_REPLICAS; r++) {
			struct upstream *upstream =
				&model->upstreams[s * POLICY_REPLICAS + r];

			shard->replicas[r].id = g_strdup(upstream->id);
			shard->replicas[r].address =
				g_strdup(upstream->address);
			shard->replicas[r].zone = g_strdup(r ? "b" : "a");
		}
	}
	return config;
}

static void init_upstreams(struct model *model)
{
	for (int i = 0; i < N_REPLICAS_ALL; i++) {
		struct upstream *upstream = &model->upstreams[i];

		upstream->model = model;
		upstream->shard = i / POLICY_REPLICAS;
		upstream->replica_index = i % POLICY_REPLICAS;
		upstream->newest_version = model->version;
		snprintf(upstream->id, sizeof(upstream->id), "r%d-%d",
			 upstream->shard, upstream->replica_index);
		snprintf(upstream->address, sizeof(upstream->address),
			 "127.0.0.1:%d", 7000 + i);
		g_queue_init(&upstream->queue);
	}
}

static void start_core(struct model *model)
{
	struct rr_context_options context_options = {
		.seed = model->options->seed
	};
	struct rr_core_options options = {
		.instance = "only",
		.zone = "a",
		.peer_address = "127.0.0.1:9000",
		.incarnation = 1,
		.actions = { on_send_attempt, on_cancel_attempt, on_answer,
			     on_send_peer, on_poll_health, on_config_record,
			     model },
		.store = { store_get, store_swap, model },
		.switches = model->options->policy->switches,
	};
	struct rr_config *config = make_config(model);

	model->ctx = rr_new_context(&context_options);
	model->core = rr_new_core(model->ctx, &options, model->now_us);
	rr_core_set_config(model->ctx, model->core, model->now_us, config, "1",
			   1);
	rr_drop_config(config);
}

void run_policy(const struct run_options *options, struct run_result *result)
{
	struct model *model = g_new0(struct model, 1);
	const struct scenario *scenario = options->scenario;

	memset(result, 0, sizeof(*result));
	result->latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	result->rejection_latencies_us =
		g_array_new(FALSE, FALSE, sizeof(int64_t));
	result->connection_cap = scenario->connection_cap ?
					 scenario->connection_cap :
					 CONNECTIONS;
	result->seconds = (double)(options->duration_us - options->warm_up_us) /
			  (double)SECOND;
	model->options = options;
	model->scenario = scenario;
	model->result = result;
	model->events = new_event_queue();
	model->random = g_rand_new_with_seed(options->seed);
	model->next_tick_us = INT64_MAX;
	model->version = 10;
	model->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	model->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	init_upstreams(model);
	start_core(model);
	schedule_core_tick(model);
	/* Start the load when health is known, as in a ready instance. */
	schedule_event(model, SECOND, next_search, NULL);
	if (scenario->nightly_list)
		schedule_event(model, SECOND, next_page, NULL);
	if (scenario->index_period_us)
		schedule_event(model, SECOND, next_version, NULL);
	if (scenario->replica_cold)
		schedule_event(model, options->duration_us / 3, replace_replica,
			       &model->upstreams[3]);
	while (model->now_us < options->duration_us + 2 * SECOND &&
	       run_next_event(model->events, &model->now_us, model))
		;
	result->snapshot_restarts =
		rr_counter_value(model->ctx, RR_N_SNAPSHOT_RESTARTS);
	rr_drop_core(model->core);
	rr_drop_context(model->ctx);
	/* The model and its events are released only at process exit. */
}

void clear_result(struct run_result *result)
{
	g_array_unref(result->latencies_us);
	g_array_unref(result->rejection_latencies_us);
}

static int compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

double quantile_ms(GArray *times_us, double quantile)
{
	guint i;

	if (!times_us->len)
		return 0;
	g_array_sort(times_us, compare_times);
	i = (guint)(quantile * (double)(times_us->len - 1) + 0.5);
	return (double)g_array_index(times_us, int64_t, i) / (double)MS;
}
