/*
 * emulated-caller.c - callers in open loop, who come back as they are told.
 */
#include "gate/emulator-private.h"

#include <math.h>

/* The balancer asks each second, and believes the second refusal. */
#define NOTICED_US (1500 * 1000)
/* What a caller tries in all. */
#define MOST_TRIES 2
/* Late answers are worth a tenth to their callers. */
#define LATE_VALUE 0.1

double value_of_answer(double share, bool in_time)
{
	return share * share * (in_time ? 1 : LATE_VALUE);
}

static struct instance *instance_at(struct emulation *emulation, uint32_t i)
{
	return g_ptr_array_index(emulation->instances, i);
}

static bool is_in_rotation(struct instance *instance)
{
	return !instance->unready_since_us ||
	       instance->emulation->now_us - instance->unready_since_us <
		       NOTICED_US;
}

/* One of the zone that is in rotation, else of the next zone. */
static struct instance *draw_instance(struct emulation *emulation,
				      uint32_t zone)
{
	uint32_t zones = (uint32_t)emulation->scenario->zones;

	for (uint32_t away = 0; away < zones; away++) {
		struct instance *drawn = NULL;
		uint32_t seen = 0;

		for (guint i = 0; i < emulation->instances->len; i++) {
			struct instance *instance = instance_at(emulation, i);

			if (instance->zone != (zone + away) % zones ||
			    !is_in_rotation(instance))
				continue;
			if (g_rand_int_range(emulation->rand, 0,
					     (gint32)++seen) == 0)
				drawn = instance;
		}
		if (drawn)
			return drawn;
	}
	return instance_at(emulation, 0);
}

static void take_at_instance(void *context, void *data)
{
	struct request *request = data;
	struct emulation *emulation = request->emulation;
	struct instance *instance =
		instance_at(emulation, request->instance_number);
	char path[NAME_SIZE + 4];
	struct rr_gate_request_info ask = {
		.host = "h",
		.path = path,
		.request_id = "id",
		.fingerprint = { request->is_query_of_death ? 1 : 2,
				 request->content_id },
		.deadline_ms = MAX(
			(request->deadline_us - emulation->now_us) / 1000, 0),
		.caller_rtt_us = 2 * ms_to_us(emulation->scenario->caller_ms),
		.new_connection = request->new_connection,
		.forward_deadline_us = -1,
	};
	uint64_t id;

	ask.path_length = (size_t)g_snprintf(path, sizeof(path), "/%s/1",
					     request->route->name);
	instance->submitting = request;
	id = rr_gate_submit(instance->ctx, instance->gate, emulation->now_us,
			    &ask);
	if (instance->submitting) {
		uint64_t *key = g_new(uint64_t, 1);

		*key = id;
		g_hash_table_insert(instance->open_requests, key, request);
		instance->submitting = NULL;
	}
	schedule_tick(instance);
}

static void send_request(struct request *request, int64_t after_us)
{
	struct emulation *emulation = request->emulation;
	int64_t way = ms_to_us(emulation->scenario->caller_ms);

	request->number = ++emulation->last_request_number;
	request->instance_number =
		draw_instance(emulation, request->zone)->number;
	/* A connection takes a round trip before the request's own way. */
	push_event(emulation->events,
		   emulation->now_us + after_us +
			   (request->new_connection ? 3 : 1) * way,
		   take_at_instance, request);
}

/* What has come to the caller. */
struct arrival {
	struct request *request;
	uint16_t status;
	double share;
	uint32_t retry_after_ms;
};

static void take_success(struct emulation *emulation, struct request *request,
			 double share)
{
	struct emulated_result *result = emulation->result;
	double wait_us = (double)(emulation->now_us - request->started_us);
	bool in_time = wait_us <= ms_to_us(request->route->objective_ms);

	/* Queries of death are not counted. */
	if (request->is_query_of_death) {
		g_free(request);
		return;
	}
	if (in_time)
		result->in_time++;
	else
		result->late++;
	if (in_time && share < 1)
		result->partial++;
	result->total_value += value_of_answer(share, in_time);
	g_array_append_val(result->latencies_us, wait_us);
	g_free(request);
}

static void arrive_at_caller(void *context, void *data)
{
	struct arrival *arrival = data;
	struct request *request = arrival->request;
	struct emulation *emulation = request->emulation;
	int64_t again_us = (int64_t)arrival->retry_after_ms * 1000;

	if (arrival->status == 200) {
		take_success(emulation, request, arrival->share);
	} else if (++request->n_tries < MOST_TRIES &&
		   emulation->now_us + again_us < request->deadline_us) {
		request->new_connection = true;
		emulation->result->caller_retries +=
			!request->is_query_of_death;
		send_request(request, again_us);
	} else {
		/* What is neither answered nor refused is counted as failed. */
		if (arrival->status == 503)
			emulation->result->rejected +=
				!request->is_query_of_death;
		g_free(request);
	}
	g_free(arrival);
}

void handle_gate_answer(struct instance *instance, struct request *request,
			const struct rr_gate_answer *answer)
{
	struct emulation *emulation = instance->emulation;
	struct arrival *arrival = g_new0(struct arrival, 1);
	double shards = emulation->scenario->shards;

	arrival->request = request;
	arrival->share = 1;
	arrival->status = answer->status;
	arrival->retry_after_ms = answer->retry_after_ms;
	if (answer->kind == RR_GATE_MERGED_ANSWER)
		arrival->share = 1 - (double)answer->missing / shards;
	push_event(emulation->events,
		   emulation->now_us + ms_to_us(emulation->scenario->caller_ms),
		   arrive_at_caller, arrival);
}

/* The next request of a kind, and the one after it. */
struct stream {
	struct emulation *emulation;
	const struct emulated_route *route;
};

static struct request *new_request(struct emulation *emulation,
				   const struct emulated_route *route)
{
	struct request *request = g_new0(struct request, 1);

	request->emulation = emulation;
	request->route = route;
	request->zone =
		(uint32_t)g_rand_int_range(emulation->arrivals_rand, 0,
					   (gint32)emulation->scenario->zones);
	request->started_us = emulation->now_us;
	request->deadline_us = emulation->now_us + ms_to_us(route->deadline_ms);
	request->new_connection = g_rand_double(emulation->arrivals_rand) <
				  emulation->scenario->new_callers;
	return request;
}

static void begin_request(void *context, void *data)
{
	struct stream *stream = data;
	struct emulation *emulation = stream->emulation;
	const struct emulated_route *route = stream->route;
	double gap_s = -log(1 - g_rand_double(emulation->arrivals_rand)) /
		       route->per_s / emulation->load_factor;
	struct request *request;

	if (emulation->now_us >= emulation->end_us) {
		g_free(stream);
		return;
	}
	push_event(emulation->events,
		   emulation->now_us + (int64_t)(gap_s * US_PER_S),
		   begin_request, stream);
	request = new_request(emulation, route);
	request->content_id = emulation->result->requests++;
	send_request(request, 0);
}

void send_query_of_death(struct emulation *emulation, uint64_t asks)
{
	struct request *request =
		new_request(emulation, &emulation->scenario->routes[0]);

	request->content_id = asks;
	request->is_query_of_death = true;
	send_request(request, 0);
}

void start_callers(struct emulation *emulation)
{
	for (uint32_t i = 0; i < emulation->scenario->n_routes; i++) {
		struct stream *stream = g_new0(struct stream, 1);

		stream->emulation = emulation;
		stream->route = &emulation->scenario->routes[i];
		push_event(emulation->events, emulation->now_us, begin_request,
			   stream);
	}
}
