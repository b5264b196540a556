/*
 * emulated-replica.c - slots, queue, pauses and troubles of a replica.
 */
#include "gate/emulator-private.h"

#include <math.h>

#define FIRST_BORN_MS INT64_C(1700000000000)
/* Replicas of one service differ: the slowest takes so much longer. */
#define SPEED_SPREAD 0.5
#define LEAST_SPEED 0.8

void keep_attempt(struct emulated_attempt *work)
{
	work->refs++;
}

void drop_attempt(struct emulated_attempt *work)
{
	if (!--work->refs)
		g_free(work);
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
		replica->started_ms = FIRST_BORN_MS;
		replica->service_time_factor =
			LEAST_SPEED +
			SPEED_SPREAD * g_rand_double(emulation->layout_rand);
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
	struct emulated_attempt *work;

	while ((work = g_queue_pop_head(&replica->queue)))
		drop_attempt(work);
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
	struct rr_endpoint_info listing = {
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
				instance->emulation->now_us, &listing);
	schedule_tick(instance);
}

/* When work of so long ends that begins now: a pause stops it. */
static int64_t end_of(const struct replica *replica, double work_us)
{
	const struct emulation *emulation = replica->emulation;
	int64_t every_us = ms_to_us(emulation->scenario->pause_every_ms);
	int64_t pause_us = ms_to_us(emulation->scenario->pause_ms);
	int64_t end_us = emulation->now_us + (int64_t)work_us;
	int64_t into_us;
	int64_t next_us;

	if (!every_us || !pause_us)
		return end_us;
	into_us = (emulation->now_us + replica->pause_offset_us) % every_us;
	if (into_us < pause_us)
		end_us += pause_us - into_us;
	for (next_us = emulation->now_us - into_us + every_us; next_us < end_us;
	     next_us += every_us)
		end_us += pause_us;
	return end_us;
}

static void end_work(void *context, void *data);

static void start_work(struct replica *replica, struct emulated_attempt *work)
{
	struct emulation *emulation = replica->emulation;
	double work_us = work->work_us * replica->service_time_factor *
			 replica->slowdown_factor;
	int64_t end_us = end_of(replica, work_us);

	work->running = true;
	replica->busy_slots++;
	replica->slot_used_us += (int64_t)work_us;
	keep_attempt(work);
	push_event(emulation->events, end_us, end_work, work);
}

static void start_next(struct replica *replica)
{
	uint32_t slots = (uint32_t)replica->emulation->scenario->slots;

	while (replica->busy_slots < slots && replica->queue.length) {
		struct emulated_attempt *work =
			g_queue_pop_head(&replica->queue);

		start_work(replica, work);
		drop_attempt(work);
	}
}

/* A reply that is on its way. */
struct reply {
	struct emulated_attempt *work;
	enum rr_gate_outcome outcome;
	uint16_t status;
	bool unreachable;
};

static void deliver(void *context, void *data)
{
	struct reply *reply = data;

	reply_to_gate(reply->work, reply->outcome, reply->status,
		      reply->unreachable);
	drop_attempt(reply->work);
	g_free(reply);
}

static void send_reply(struct emulated_attempt *work,
		       enum rr_gate_outcome outcome, uint16_t status,
		       bool unreachable)
{
	struct emulation *emulation = work->emulation;
	const struct instance *instance =
		g_ptr_array_index(emulation->instances, work->instance_number);
	int64_t back_us = one_way_delay_us(emulation, work->replica->zone,
					   instance->zone);
	struct reply *reply;

	work->done = true;
	if (work->cancelled || back_us < 0)
		return;
	reply = g_new0(struct reply, 1);
	reply->work = work;
	reply->outcome = outcome;
	reply->status = status;
	reply->unreachable = unreachable;
	keep_attempt(work);
	push_event(emulation->events, emulation->now_us + back_us, deliver,
		   reply);
}

static void end_work(void *context, void *data)
{
	struct emulated_attempt *work = data;
	struct replica *replica = work->replica;

	if (work->running) {
		work->running = false;
		replica->busy_slots--;
		if (work->is_query_of_death)
			crash_on_query_of_death(work);
		if (!replica->unresponsive && !replica->is_down)
			send_reply(work, RR_GATE_ANSWERED,
				   draw_uniform(replica->emulation) <
						   replica->error_share ?
					   500 :
					   200,
				   false);
		start_next(replica);
	}
	drop_attempt(work);
}

void abort_attempt(struct emulated_attempt *work)
{
	struct replica *replica = work->replica;

	if (work->running) {
		work->running = false;
		replica->busy_slots--;
	} else if (g_queue_remove(&replica->queue, work)) {
		work->refs--; /* the queue's, and not the last one */
	}
	send_reply(work, RR_GATE_BROKEN, 0, false);
}

void handle_attempt_arrival(void *context, void *data)
{
	struct emulated_attempt *work = data;
	struct replica *replica = work->replica;

	if (replica->is_down) {
		send_reply(work, RR_GATE_UNSENT, 0, true);
	} else if (!replica->unresponsive && !work->cancelled) {
		count_limit_violations(work);
		if (draw_uniform(replica->emulation) < replica->shed_share ||
		    replica->queue.length >=
			    (guint)replica->emulation->scenario->queue) {
			send_reply(work, RR_GATE_REJECTED, 503, false);
		} else {
			if (work->is_query_of_death)
				count_late_query_of_death(work);
			work->accepted = true;
			keep_attempt(work);
			g_queue_push_tail(&replica->queue, work);
			start_next(replica);
		}
	}
	drop_attempt(work);
}

void handle_attempt_cancel(void *context, void *data)
{
	struct emulated_attempt *work = data;
	struct replica *replica = work->replica;

	if (work->running) {
		work->running = false;
		replica->busy_slots--;
		start_next(replica);
	} else if (g_queue_remove(&replica->queue, work)) {
		work->refs--; /* the queue's, and not the last one */
	}
	drop_attempt(work);
}
