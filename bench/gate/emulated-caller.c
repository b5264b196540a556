/*
 * emulated-caller.c - open-loop callers that retry after the Retry-After time.
 */
#include "gate/emulator-private.h"

#include <math.h>

/* The load balancer checks every second and acts on the second failure. */
#define BALANCER_DELAY_US (1500 * 1000)
/* Total number of tries of a caller. */
#define MAX_TRIES 2
/* Value of a late answer, relative to one in time. */
#define LATE_ANSWER_VALUE 0.1

double value_of_answer(double share, bool in_time)
{
	return share * share * (in_time ? 1 : LATE_ANSWER_VALUE);
}

static struct instance *get_instance(struct emulation *emulation, uint32_t i)
{
	return g_ptr_array_index(emulation->instances, i);
}

static bool is_in_rotation(struct instance *instance)
{
	return !instance->unready_since_us ||
	       instance->emulation->now_us - instance->unready_since_us <
		       BALANCER_DELAY_US;
}

/* Select an instance in rotation: of this zone if possible, else the next. */
static struct instance *select_instance(struct emulation *emulation,
					uint32_t zone)
{
	uint32_t zones = (uint32_t)emulation->scenario->zones;

	for (uint32_t zone_offset = 0; zone_offset < zones; zone_offset++) {
		struct instance *selected = NULL;
		uint32_t n_candidates = 0;

		for (guint i = 0; i < emulation->instances->len; i++) {
			struct instance *instance = get_instance(emulation, i);

			if (instance->zone != (zone + zone_offset) % zones ||
			    !is_in_rotation(instance))
				continue;
			if (g_rand_int_range(emulation->rand, 0,
					     (gint32)++n_candidates) == 0)
				selected = instance;
		}
		if (selected)
			return selected;
	}
	return get_instance(emulation, 0);
}

static void handle_request_arrival(void *context, void *data)
{
	struct request *request = data;
	struct emulation *emulation = request->emulation;
	struct instance *instance =
		get_instance(emulation, request->instance_number);
	char path[NAME_SIZE + 4];
	struct rr_gate_request_info info = {
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

	info.path_length = (size_t)g_snprintf(path, sizeof(path), "/%s/1",
					      request->route->name);
	instance->submitting = request;
	id = rr_gate_submit(instance->ctx, instance->gate, emulation->now_us,
			    &info);
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
	int64_t one_way_us = ms_to_us(emulation->scenario->caller_ms);

	request->number = ++emulation->last_request_number;
	request->instance_number =
		select_instance(emulation, request->zone)->number;
	/* A new connection adds a round trip. */
	push_event(emulation->events,
		   emulation->now_us + after_us +
			   (request->new_connection ? 3 : 1) * one_way_us,
		   handle_request_arrival, request);
}

/* An answer in transit to the caller. */
struct delivery {
	struct request *request;
	uint16_t status;
	double share;
	uint32_t retry_after_ms;
};

static void count_success(struct emulation *emulation, struct request *request,
			  double share)
{
	struct emulated_result *result = emulation->result;
	double latency_us = (double)(emulation->now_us - request->started_us);
	bool in_time = latency_us <= ms_to_us(request->route->objective_ms);

	/* Queries of death are not counted. */
	if (request->is_query_of_death) {
		g_free(request);
		return;
	}
	if (in_time)
		result->answered_in_time++;
	else
		result->late++;
	if (in_time && share < 1)
		result->partial++;
	result->total_value += value_of_answer(share, in_time);
	g_array_append_val(result->latencies_us, latency_us);
	g_free(request);
}

static void handle_answer_arrival(void *context, void *data)
{
	struct delivery *delivery = data;
	struct request *request = delivery->request;
	struct emulation *emulation = request->emulation;
	int64_t retry_after_us = (int64_t)delivery->retry_after_ms * 1000;

	if (delivery->status == 200) {
		count_success(emulation, request, delivery->share);
	} else if (++request->n_tries < MAX_TRIES &&
		   emulation->now_us + retry_after_us < request->deadline_us) {
		request->new_connection = true;
		emulation->result->caller_retries +=
			!request->is_query_of_death;
		send_request(request, retry_after_us);
	} else {
		/* Requests neither answered nor rejected count as failed. */
		if (delivery->status == 503)
			emulation->result->rejected +=
				!request->is_query_of_death;
		g_free(request);
	}
	g_free(delivery);
}

void handle_gate_answer(struct instance *instance, struct request *request,
			const struct rr_gate_answer *answer)
{
	struct emulation *emulation = instance->emulation;
	struct delivery *delivery = g_new0(struct delivery, 1);
	double shards = emulation->scenario->shards;

	delivery->request = request;
	delivery->share = 1;
	delivery->status = answer->status;
	delivery->retry_after_ms = answer->retry_after_ms;
	if (answer->kind == RR_GATE_MERGED_ANSWER)
		delivery->share = 1 - (double)answer->missing / shards;
	push_event(emulation->events,
		   emulation->now_us + ms_to_us(emulation->scenario->caller_ms),
		   handle_answer_arrival, delivery);
}

/* The requests of one route. */
struct route_load {
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

static void start_request(void *context, void *data)
{
	struct route_load *route_load = data;
	struct emulation *emulation = route_load->emulation;
	const struct emulated_route *route = route_load->route;
	double gap_s = -log(1 - g_rand_double(emulation->arrivals_rand)) /
		       route->per_s / emulation->load_factor;
	struct request *request;

	if (emulation->now_us >= emulation->end_us) {
		g_free(route_load);
		return;
	}
	push_event(emulation->events,
		   emulation->now_us + (int64_t)(gap_s * US_PER_S),
		   start_request, route_load);
	request = new_request(emulation, route);
	request->content_id = emulation->result->requests++;
	send_request(request, 0);
}

void send_query_of_death(struct emulation *emulation, uint64_t content_id)
{
	struct request *request =
		new_request(emulation, &emulation->scenario->routes[0]);

	request->content_id = content_id;
	request->is_query_of_death = true;
	send_request(request, 0);
}

void start_callers(struct emulation *emulation)
{
	for (uint32_t i = 0; i < emulation->scenario->n_routes; i++) {
		struct route_load *route_load = g_new0(struct route_load, 1);

		route_load->emulation = emulation;
		route_load->route = &emulation->scenario->routes[i];
		push_event(emulation->events, emulation->now_us, start_request,
			   route_load);
	}
}
