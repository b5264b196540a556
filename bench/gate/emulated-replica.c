/*
 * emulated-replica.c - slots, queue, pauses and faults of a replica.
 */
#include "gate/emulator-private.h"

#include <math.h>

#define FIRST_START_MS INT64_C(1700000000000)
/* Replicas of one service differ in speed: range of the service time factor. */
#define SERVICE_TIME_SPREAD 0.5
#define MIN_SERVICE_TIME_FACTOR 0.8

void keep_attempt(struct emulated_attempt *attempt)
{
	attempt->refs++;
}

void drop_attempt(struct emulated_attempt *attempt)
{
	if (!--attempt->refs)
		g_free(attempt);
}

void start_replicas(struct emulation *emulation)
{
	const struct emulated_scenario *scenario = emulation->scenario;
	uint32_t per_shard = (uint32_t)scenario->replicas;
	uint32_t n = (uint32_t)scenario->shards * per_shard;

	for (uint32_t i = 0; i < n; i++) {
		struct replica *replica = g_new0(struct replica, 1);

		replica->emulation = emulation;
		replica->number = i;
		replica->shard = i / per_shard;
		replica->zone = (replica->shard + i % per_shard) %
				(uint32_t)scenario->zones;
		replica->id = g_strdup_printf("r%u", i);
		replica->started_ms = FIRST_START_MS;
		replica->service_time_factor =
			MIN_SERVICE_TIME_FACTOR +
			SERVICE_TIME_SPREAD *
				g_rand_double(emulation->layout_rand);
		replica->slowdown_factor = 1;
		replica->pause_offset_us =
			(int64_t)(g_rand_double(emulation->layout_rand) *
				  ms_to_us(scenario->pause_every_ms));
		replica->arrivals_us =
			g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_queue_init(&replica->queue);
		g_ptr_array_add(emulation->replicas, replica);
	}
}

void drop_replica(gpointer data)
{
	struct replica *replica = data;
	struct emulated_attempt *attempt;

	while ((attempt = g_queue_pop_head(&replica->queue)))
		drop_attempt(attempt);
	g_array_unref(replica->arrivals_us);
	g_free(replica->id);
	g_free(replica);
}

void announce_replica(struct instance *instance, const struct replica *replica,
		      bool draining)
{
	char service[16];
	char address[32];
	char zone[16];
	struct rr_endpoint_info endpoint = {
		.id = replica->id,
		.started_ms = replica->started_ms,
		.service = service,
		.address = address,
		.zone = zone,
		.slots = (uint32_t)instance->emulation->scenario->slots,
		.draining = draining,
		.cold_ms = (uint32_t)(MAX(replica->cold_until_us -
						  instance->emulation->now_us,
					  0) /
				      1000),
	};

	g_snprintf(service, sizeof(service), "s%u", replica->shard);
	g_snprintf(address, sizeof(address), "10.0.0.1:%u",
		   1000 + replica->number);
	g_snprintf(zone, sizeof(zone), "z%u", replica->zone);
	rr_gate_update_endpoint(instance->ctx, instance->gate,
				instance->emulation->now_us, &endpoint);
	schedule_tick(instance);
}

/* End time of work that starts now; pauses of the replica delay it. */
static int64_t work_end_us(const struct replica *replica, double work_us)
{
	const struct emulation *emulation = replica->emulation;
	int64_t period_us = ms_to_us(emulation->scenario->pause_every_ms);
	int64_t pause_us = ms_to_us(emulation->scenario->pause_ms);
	int64_t end_us = emulation->now_us + (int64_t)work_us;
	int64_t since_pause_us;
	int64_t next_pause_us;

	if (!period_us || !pause_us)
		return end_us;
	since_pause_us =
		(emulation->now_us + replica->pause_offset_us) % period_us;
	if (since_pause_us < pause_us)
		end_us += pause_us - since_pause_us;
	for (next_pause_us = emulation->now_us - since_pause_us + period_us;
	     next_pause_us < end_us; next_pause_us += period_us)
		end_us += pause_us;
	return end_us;
}

static void finish_work(void *context, void *data);

static void start_work(struct replica *replica,
		       struct emulated_attempt *attempt)
{
	struct emulation *emulation = replica->emulation;
	double work_us = attempt->work_us * replica->service_time_factor *
			 replica->slowdown_factor;
	int64_t end_us = work_end_us(replica, work_us);

	attempt->running = true;
	replica->busy_slots++;
	replica->slot_used_us += (int64_t)work_us;
	keep_attempt(attempt);
	push_event(emulation->events, end_us, finish_work, attempt);
}

static void start_next(struct replica *replica)
{
	uint32_t slots = (uint32_t)replica->emulation->scenario->slots;

	while (replica->busy_slots < slots && replica->queue.length) {
		struct emulated_attempt *attempt =
			g_queue_pop_head(&replica->queue);

		start_work(replica, attempt);
		drop_attempt(attempt);
	}
}

/* A reply in transit. */
struct reply {
	struct emulated_attempt *attempt;
	enum rr_gate_outcome outcome;
	uint16_t status;
	bool unreachable;
};

static void deliver_reply(void *context, void *data)
{
	struct reply *reply = data;

	reply_to_gate(reply->attempt, reply->outcome, reply->status,
		      reply->unreachable);
	drop_attempt(reply->attempt);
	g_free(reply);
}

static void send_reply(struct emulated_attempt *attempt,
		       enum rr_gate_outcome outcome, uint16_t status,
		       bool unreachable)
{
	struct emulation *emulation = attempt->emulation;
	const struct instance *instance = g_ptr_array_index(
		emulation->instances, attempt->instance_number);
	int64_t delay_us = one_way_delay_us(emulation, attempt->replica->zone,
					    instance->zone);
	struct reply *reply;

	attempt->done = true;
	if (attempt->cancelled || delay_us < 0)
		return;
	reply = g_new0(struct reply, 1);
	reply->attempt = attempt;
	reply->outcome = outcome;
	reply->status = status;
	reply->unreachable = unreachable;
	keep_attempt(attempt);
	push_event(emulation->events, emulation->now_us + delay_us,
		   deliver_reply, reply);
}

static void finish_work(void *context, void *data)
{
	struct emulated_attempt *attempt = data;
	struct replica *replica = attempt->replica;

	if (attempt->running) {
		attempt->running = false;
		replica->busy_slots--;
		if (attempt->is_query_of_death)
			crash_on_query_of_death(attempt);
		if (!replica->unresponsive && !replica->is_down)
			send_reply(attempt, RR_GATE_ANSWERED,
				   draw_uniform(replica->emulation) <
						   replica->error_share ?
					   500 :
					   200,
				   false);
		start_next(replica);
	}
	drop_attempt(attempt);
}

void abort_attempt(struct emulated_attempt *attempt)
{
	struct replica *replica = attempt->replica;

	if (attempt->running) {
		attempt->running = false;
		replica->busy_slots--;
	} else if (g_queue_remove(&replica->queue, attempt)) {
		attempt->refs--; /* the queue's; never the last reference */
	}
	send_reply(attempt, RR_GATE_BROKEN, 0, false);
}

void handle_attempt_arrival(void *context, void *data)
{
	struct emulated_attempt *attempt = data;
	struct replica *replica = attempt->replica;

	if (replica->is_down) {
		send_reply(attempt, RR_GATE_UNSENT, 0, true);
	} else if (!replica->unresponsive && !attempt->cancelled) {
		count_limit_violations(attempt);
		if (draw_uniform(replica->emulation) < replica->shed_share ||
		    replica->queue.length >=
			    (guint)replica->emulation->scenario->queue) {
			send_reply(attempt, RR_GATE_REJECTED, 503, false);
		} else {
			if (attempt->is_query_of_death)
				count_late_query_of_death(attempt);
			attempt->accepted = true;
			keep_attempt(attempt);
			g_queue_push_tail(&replica->queue, attempt);
			start_next(replica);
		}
	}
	drop_attempt(attempt);
}

void handle_attempt_cancel(void *context, void *data)
{
	struct emulated_attempt *attempt = data;
	struct replica *replica = attempt->replica;

	if (attempt->running) {
		attempt->running = false;
		replica->busy_slots--;
		start_next(replica);
	} else if (g_queue_remove(&replica->queue, attempt)) {
		attempt->refs--; /* the queue's; never the last reference */
	}
	drop_attempt(attempt);
}
