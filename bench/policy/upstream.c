/*
 * upstream.c - fake replicas with slots, a queue, connection set-up time and
 * the faults of the scenario.
 */
#include "policy/model-private.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

static bool in_third(const struct model *model, int third)
{
	int64_t length_us = model->options->duration_us;

	return model->now_us >= length_us * (third - 1) / 3 &&
	       model->now_us < length_us * third / 3;
}

static bool is_lost(const struct model *model, const struct upstream *upstream)
{
	return upstream->shard == 1 && upstream->replica_index == 1 &&
	       model->scenario->replica_lost && !in_third(model, 1);
}

static bool is_isolated(const struct model *model,
			const struct upstream *upstream)
{
	return upstream->replica_index == 1 && model->scenario->zone_isolated &&
	       in_third(model, 2);
}

static int64_t one_way_delay_us(const struct upstream *upstream)
{
	return upstream->replica_index ? CROSS_ZONE_DELAY_US :
					 SAME_ZONE_DELAY_US;
}

static double draw_normal(GRand *random)
{
	double u = 1.0 - g_rand_double(random);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * g_rand_double(random));
}

static int64_t draw_service_time_us(struct upstream *upstream)
{
	struct model *model = upstream->model;
	const struct scenario *scenario = model->scenario;
	double time_us = (double)SERVICE_US *
			 exp(SERVICE_SIGMA * draw_normal(model->random) -
			     SERVICE_SIGMA * SERVICE_SIGMA / 2.0);

	if (scenario->straggler_factor > 0 && !upstream->shard &&
	    !upstream->replica_index)
		time_us *= scenario->straggler_factor;
	if (scenario->slow_share > 0 &&
	    g_rand_double(model->random) < scenario->slow_share)
		time_us *= scenario->slow_factor;
	if (upstream->cold_until_us > model->now_us)
		time_us *= COLD_FACTOR;
	return (int64_t)time_us;
}

/* A reply in transit to the core. */
struct delivery {
	struct rr_reply reply;
	struct rr_key_range range;
};

static void deliver_reply(void *context, void *data)
{
	struct model *model = context;
	struct delivery *delivery = data;

	if (delivery->reply.n_ranges)
		delivery->reply.ranges = &delivery->range;
	rr_core_handle_reply(model->ctx, model->core, model->now_us,
			     &delivery->reply);
	rr_drop_rows(delivery->reply.rows);
	g_free(delivery);
	schedule_core_tick(model);
}

static double reported_load(struct upstream *upstream)
{
	double load = MIN(
		1.0, (upstream->busy_slots + (double)upstream->queue.length) /
			     (4.0 * SLOTS));

	if (upstream->model->scenario->inverted_load)
		return 1.0 - load;
	return load;
}

static struct delivery *new_delivery(struct upstream *upstream,
				     uint64_t attempt_id,
				     enum rr_reply_status status)
{
	struct delivery *delivery = g_new0(struct delivery, 1);

	delivery->reply.attempt_id = attempt_id;
	delivery->reply.status = status;
	delivery->reply.newest_version = upstream->newest_version;
	delivery->reply.oldest_version =
		upstream->newest_version - VERSIONS_KEPT + 1;
	delivery->reply.map_epoch = 1;
	delivery->reply.state =
		upstream->cold_until_us > upstream->model->now_us ?
			RR_UPSTREAM_COLD :
			RR_UPSTREAM_READY;
	delivery->reply.load = reported_load(upstream);
	return delivery;
}

static void fill_delivery(struct delivery *delivery, const struct job *job)
{
	uint64_t from = (uint64_t)job->upstream->shard * POLICY_KEYS_PER_SHARD;
	uint64_t to = from + POLICY_KEYS_PER_SHARD;

	from = MAX(from, job->key_from);
	to = MIN(to, job->key_to);
	delivery->range = (struct rr_key_range){ from, to };
	delivery->reply.n_ranges = from < to;
	delivery->reply.version = job->version;
	delivery->reply.rows = rr_new_rows();
	for (uint64_t key = (from + 9) / 10 * 10; key < to; key += 10) {
		char text[64];
		int length =
			snprintf(text, sizeof(text),
				 "{\"v\":%" G_GUINT64_FORMAT "}", job->version);

		if (job->row_limit &&
		    rr_count_rows(delivery->reply.rows) == job->row_limit) {
			delivery->reply.has_more = true;
			break;
		}
		rr_append_row(delivery->reply.rows, key, text, (size_t)length);
	}
	delivery->reply.row_count =
		(uint32_t)rr_count_rows(delivery->reply.rows);
	delivery->reply.body_complete = true;
}

static void end_job(struct job *job)
{
	g_hash_table_remove(job->model->jobs, &job->attempt_id);
	job->upstream->conns_in_use--;
	g_free(job);
}

static void start_jobs(struct upstream *upstream);

static void finish_job(void *context, void *data)
{
	struct model *model = context;
	struct job *job = data;
	struct upstream *upstream = job->upstream;

	if (job->slot_released) {
		g_free(job);
		return;
	}
	upstream->busy_slots--;
	if (!job->cancelled && !is_isolated(model, upstream) &&
	    !is_lost(model, upstream)) {
		struct delivery *delivery =
			new_delivery(upstream, job->attempt_id, RR_REPLY_OK);

		fill_delivery(delivery, job);
		schedule_event(model, one_way_delay_us(upstream), deliver_reply,
			       delivery);
	}
	end_job(job);
	start_jobs(upstream);
}

static void start_jobs(struct upstream *upstream)
{
	struct model *model = upstream->model;

	while (upstream->busy_slots < SLOTS && upstream->queue.length) {
		struct job *job = g_queue_pop_head(&upstream->queue);

		/* Skip attempts that are cancelled or past their deadline. */
		if (job->cancelled || job->deadline_us < model->now_us) {
			end_job(job);
			continue;
		}
		job->started = true;
		upstream->busy_slots++;
		schedule_event(model, draw_service_time_us(upstream),
			       finish_job, job);
	}
}

static void reject_job(struct job *job, enum rr_reply_status status,
		       uint32_t retry_after_ms)
{
	struct model *model = job->model;
	struct delivery *delivery =
		new_delivery(job->upstream, job->attempt_id, status);

	delivery->reply.retry_after_ms = retry_after_ms;
	schedule_event(model, one_way_delay_us(job->upstream), deliver_reply,
		       delivery);
	end_job(job);
}

static void handle_job_arrival(void *context, void *data)
{
	struct model *model = context;
	struct job *job = data;
	struct upstream *upstream = job->upstream;

	if (is_lost(model, upstream)) {
		struct delivery *delivery = new_delivery(
			upstream, job->attempt_id, RR_REPLY_REFUSED);

		delivery->reply.newest_version =
			delivery->reply.oldest_version = 0;
		delivery->reply.state = RR_UPSTREAM_DOWN;
		schedule_event(model, one_way_delay_us(upstream), deliver_reply,
			       delivery);
		end_job(job);
		return;
	}
	if (is_isolated(model, upstream)) {
		end_job(job); /* packets are lost: no reply */
		return;
	}
	if (!job->version)
		job->version = upstream->newest_version;
	if (job->version > upstream->newest_version ||
	    job->version + VERSIONS_KEPT <= upstream->newest_version) {
		reject_job(job, RR_REPLY_NO_VERSION, 0);
		return;
	}
	if (model->scenario->shedding &&
	    upstream->queue.length >= SHED_QUEUE_LIMIT) {
		reject_job(job, RR_REPLY_SHED, 20);
		return;
	}
	g_queue_push_tail(&upstream->queue, job);
	start_jobs(upstream);
}

/*
 * Acquire an idle or a new connection for an attempt and set the set-up time;
 * return false at the connection limit.
 */
static bool acquire_connection(struct upstream *upstream, int64_t *setup_us)
{
	struct run_result *result = upstream->model->result;

	*setup_us = 0;
	if (upstream->conns_in_use >= upstream->connections) {
		if (upstream->connections >= result->connection_cap) {
			result->connections_refused++;
			return false;
		}
		upstream->connections++;
		result->connections_opened++;
		result->peak_connections =
			MAX(result->peak_connections, upstream->connections);
		*setup_us = CONNECT_US;
	}
	upstream->conns_in_use++;
	return true;
}

static struct upstream *find_upstream(struct model *model, const char *id)
{
	int shard = 0;
	int replica_index = 0;

	sscanf(id, "r%d-%d", &shard, &replica_index);
	return &model->upstreams[shard * POLICY_REPLICAS + replica_index];
}

void on_send_attempt(void *data, const struct rr_attempt *attempt)
{
	struct model *model = data;
	struct upstream *upstream = find_upstream(model, attempt->replica);
	struct job *job;
	int64_t setup_us;

	if (model->now_us >= model->options->warm_up_us)
		model->result->attempts++;
	if (!acquire_connection(upstream, &setup_us)) {
		struct delivery *delivery =
			new_delivery(upstream, attempt->id, RR_REPLY_REFUSED);

		delivery->reply.newest_version =
			delivery->reply.oldest_version = 0;
		schedule_event(model, one_way_delay_us(upstream), deliver_reply,
			       delivery);
		return;
	}
	job = g_new0(struct job, 1);
	job->model = model;
	job->upstream = upstream;
	job->attempt_id = attempt->id;
	job->version = attempt->version;
	job->key_from = attempt->key_from;
	job->key_to = attempt->key_to;
	job->row_limit = attempt->row_limit;
	job->deadline_us = model->now_us + (int64_t)attempt->deadline_ms * MS;
	g_hash_table_insert(model->jobs, &job->attempt_id, job);
	schedule_event(model, setup_us + one_way_delay_us(upstream),
		       handle_job_arrival, job);
}

static void cancel_job(void *context, void *data)
{
	struct model *model = context;
	struct job *job = g_hash_table_lookup(model->jobs, data);

	if (job)
		job->cancelled = true;
	if (job && job->started) {
		/* Upstreams support cancellation: the slot is free at once. */
		job->slot_released = true;
		job->upstream->busy_slots--;
		job->upstream->conns_in_use--;
		g_hash_table_remove(model->jobs, data);
		start_jobs(job->upstream);
	}
	g_free(data);
}

void on_cancel_attempt(void *data, uint64_t attempt_id)
{
	struct model *model = data;

	schedule_event(model, SAME_ZONE_DELAY_US, cancel_job,
		       g_memdup2(&attempt_id, sizeof(attempt_id)));
}

static void deliver_health(void *context, void *data)
{
	struct model *model = context;
	struct upstream *upstream = data;
	struct rr_health health = {
		.replica = upstream->id,
		.reachable = !is_lost(model, upstream),
		.state = RR_UPSTREAM_READY,
		.load = reported_load(upstream),
		.newest_version = upstream->newest_version,
		.oldest_version = upstream->newest_version - VERSIONS_KEPT + 1,
		.map_epoch = 1,
	};

	if (!health.reachable)
		health.state = RR_UPSTREAM_DOWN;
	else if (upstream->cold_until_us > model->now_us)
		health.state = RR_UPSTREAM_COLD;
	rr_core_handle_health(model->ctx, model->core, model->now_us, &health);
	schedule_core_tick(model);
}

void on_poll_health(void *data, const char *replica, const char *address)
{
	struct model *model = data;
	struct upstream *upstream = find_upstream(model, replica);

	if (!is_isolated(model, upstream))
		schedule_event(model, 2 * one_way_delay_us(upstream),
			       deliver_health, upstream);
}
