/*
 * emulator.c - virtual clock, network delays and gate actions of the emulation.
 */
#include "gate/emulator-private.h"

#include <math.h>

/* Time after which a connection attempt without a reply fails. */
#define CONNECT_TIMEOUT_US (400 * 1000)
/* One-way delay within a zone. */
#define SAME_ZONE_DELAY_US 100
/* Start of virtual time; not 0, which means "never" to the gate. */
#define START_US (INT64_C(1000) * 1000 * 1000)
#define COLD_OVERAGE 1.5
#define COLD_SLACK 5
/* Time after the end of the load for open requests to finish. */
#define DRAIN_US (6 * G_USEC_PER_SEC)

int64_t ms_to_us(double ms)
{
	return (int64_t)(ms * US_PER_MS);
}

double draw_uniform(struct emulation *emulation)
{
	return g_rand_double(emulation->rand);
}

int64_t one_way_delay_us(const struct emulation *emulation, uint32_t from,
			 uint32_t to)
{
	if (from == to)
		return SAME_ZONE_DELAY_US;
	if ((int)from == emulation->isolated_zone ||
	    (int)to == emulation->isolated_zone)
		return -1;
	return ms_to_us(emulation->scenario->far_ms);
}

double max_cold_per_s(const struct emulation *emulation)
{
	double per_s = emulation->scenario->cold_per_s;

	return per_s > 0 ? per_s * COLD_OVERAGE + COLD_SLACK : 0;
}

/* The gate's clock. */

static void tick(void *context, void *data)
{
	struct instance *instance = data;
	int64_t now_us = instance->emulation->now_us;

	/* Superseded by a tick that was scheduled for an earlier time. */
	if (instance->next_tick_us != now_us)
		return;
	instance->next_tick_us = INT64_MAX;
	if (rr_gate_next_tick_us(instance->gate) <= now_us)
		rr_gate_tick(instance->ctx, instance->gate, now_us);
	schedule_tick(instance);
}

void schedule_tick(struct instance *instance)
{
	struct emulation *emulation = instance->emulation;
	int64_t wake_us = rr_gate_next_tick_us(instance->gate);
	const char *reason;

	if (rr_gate_is_ready(instance->gate, &reason))
		instance->unready_since_us = 0;
	else if (!instance->unready_since_us)
		instance->unready_since_us = emulation->now_us;
	if (wake_us == INT64_MAX)
		return;
	wake_us = MAX(wake_us, emulation->now_us);
	if (wake_us >= instance->next_tick_us)
		return;
	instance->next_tick_us = wake_us;
	push_event(emulation->events, wake_us, tick, instance);
}

/* The gate's actions. */

static struct replica *find_replica(struct emulation *emulation,
				    const char *incarnation)
{
	guint64 number = g_ascii_strtoull(incarnation + 1, NULL, 10);

	return g_ptr_array_index(emulation->replicas, number);
}

static double draw_work_us(struct emulation *emulation,
			   const struct emulated_route *route)
{
	double mean_us = route->work_ms * US_PER_MS;

	return mean_us * (0.5 - 0.5 * log(1 - draw_uniform(emulation)));
}

static void handle_connect_timeout(void *context, void *data)
{
	struct emulated_attempt *attempt = data;

	reply_to_gate(attempt, RR_GATE_UNSENT, 0, true);
	drop_attempt(attempt);
}

/*
 * The time until a request arrives at its replica; -1 if connecting times out,
 * INT64_MAX if it is lost on an open connection.
 */
static int64_t time_to_arrival_us(struct instance *instance,
				  struct replica *replica)
{
	struct emulation *emulation = instance->emulation;
	int64_t delay_us =
		one_way_delay_us(emulation, instance->zone, replica->zone);
	uint32_t *n_idle = &instance->idle_conns[replica->number];

	if (*n_idle && !replica->is_down) {
		--*n_idle;
		return delay_us < 0 || replica->unresponsive ? INT64_MAX :
							       delay_us;
	}
	if (delay_us < 0 || replica->unresponsive)
		return -1;
	return 3 * delay_us + ms_to_us(emulation->scenario->connect_ms);
}

static struct request *find_request(struct instance *instance, uint64_t id)
{
	struct request *request =
		g_hash_table_lookup(instance->open_requests, &id);

	return request ? request : instance->submitting;
}

static void send_attempt(void *data, const struct rr_gate_attempt_info *info)
{
	struct instance *instance = data;
	struct emulation *emulation = instance->emulation;
	struct request *request = find_request(instance, info->request);
	struct emulated_attempt *attempt = g_new0(struct emulated_attempt, 1);
	int64_t delay_us;

	attempt->emulation = emulation;
	attempt->attempt_id = info->attempt;
	attempt->instance_number = instance->number;
	attempt->replica = find_replica(emulation, info->incarnation);
	attempt->request_number = request->number;
	attempt->is_query_of_death = request->is_query_of_death;
	attempt->work_us = draw_work_us(emulation, request->route);
	attempt->refs = 1;
	g_hash_table_insert(instance->attempts, &attempt->attempt_id, attempt);
	emulation->result->attempts++;
	delay_us = time_to_arrival_us(instance, attempt->replica);
	if (delay_us == INT64_MAX)
		return;
	keep_attempt(attempt);
	if (delay_us < 0)
		push_event(emulation->events,
			   emulation->now_us + CONNECT_TIMEOUT_US,
			   handle_connect_timeout, attempt);
	else
		push_event(emulation->events, emulation->now_us + delay_us,
			   handle_attempt_arrival, attempt);
}

static void cancel_attempt(void *data, uint64_t attempt_id)
{
	struct instance *instance = data;
	struct emulation *emulation = instance->emulation;
	struct emulated_attempt *attempt =
		g_hash_table_lookup(instance->attempts, &attempt_id);
	int64_t delay_us;

	if (!attempt)
		return;
	attempt->cancelled = true;
	delay_us = one_way_delay_us(emulation, instance->zone,
				    attempt->replica->zone);
	g_hash_table_remove(instance->attempts, &attempt_id);
	if (delay_us < 0) {
		drop_attempt(attempt);
		return;
	}
	push_event(emulation->events, emulation->now_us + delay_us,
		   handle_attempt_cancel, attempt);
}

static bool cancel_unsent(void *data, uint64_t attempt_id)
{
	return false;
}

static void handle_answer(void *data, const struct rr_gate_answer *answer)
{
	struct instance *instance = data;
	struct request *request = find_request(instance, answer->request);

	if (request == instance->submitting)
		instance->submitting = NULL;
	g_hash_table_remove(instance->open_requests, &answer->request);
	handle_gate_answer(instance, request, answer);
}

static void preconnect(void *data, const char *incarnation, const char *address)
{
	struct instance *instance = data;
	const struct replica *replica =
		find_replica(instance->emulation, incarnation);

	instance->idle_conns[replica->number] = 1;
}

struct probe {
	struct instance *instance;
	char *incarnation;
	bool reachable;
};

static void end_probe(void *context, void *data)
{
	struct probe *probe = data;
	struct instance *instance = probe->instance;

	rr_gate_handle_probe_result(instance->ctx, instance->gate,
				    instance->emulation->now_us,
				    probe->incarnation, probe->reachable);
	schedule_tick(instance);
	g_free(probe->incarnation);
	g_free(probe);
}

static void send_probe(void *data, const char *incarnation, const char *address)
{
	struct instance *instance = data;
	struct emulation *emulation = instance->emulation;
	const struct replica *replica = find_replica(emulation, incarnation);
	int64_t delay_us =
		one_way_delay_us(emulation, instance->zone, replica->zone);
	struct probe *probe = g_new0(struct probe, 1);

	probe->instance = instance;
	probe->incarnation = g_strdup(incarnation);
	probe->reachable =
		delay_us >= 0 && !replica->unresponsive && !replica->is_down;
	push_event(emulation->events,
		   emulation->now_us +
			   (probe->reachable || replica->is_down ?
				    2 * MAX(delay_us, SAME_ZONE_DELAY_US) :
				    CONNECT_TIMEOUT_US),
		   end_probe, probe);
}

static void close_idle(void *data, const char *incarnation)
{
	struct instance *instance = data;

	instance->idle_conns[find_replica(instance->emulation, incarnation)
				     ->number] = 0;
}

void reply_to_gate(struct emulated_attempt *attempt,
		   enum rr_gate_outcome outcome, uint16_t status,
		   bool unreachable)
{
	struct emulation *emulation = attempt->emulation;
	struct instance *instance = g_ptr_array_index(emulation->instances,
						      attempt->instance_number);
	static const uint8_t record[16] = { 'r' };
	struct rr_gate_reply reply = {
		.attempt = attempt->attempt_id,
		.outcome = outcome,
		.status = status,
		.signature = "seal",
		.body = record,
		.length = sizeof(record),
		.unreachable = unreachable,
		.connection_closed = outcome == RR_GATE_BROKEN,
	};

	if (attempt->cancelled)
		return;
	if (outcome == RR_GATE_ANSWERED || outcome == RR_GATE_REJECTED)
		instance->idle_conns[attempt->replica->number]++;
	g_hash_table_remove(instance->attempts, &attempt->attempt_id);
	rr_gate_reply(instance->ctx, instance->gate, emulation->now_us, &reply);
	schedule_tick(instance);
	drop_attempt(attempt);
}

/* Setup. */

static struct rr_route *new_route(const struct emulation *emulation,
				  const struct emulated_route *from)
{
	struct rr_route *route = g_new0(struct rr_route, 1);
	size_t n =
		from->least_share > 0 ? (size_t)emulation->scenario->shards : 1;

	route->name = g_strdup(from->name);
	route->host = g_strdup("h");
	route->prefix = g_strdup_printf("/%s/", from->name);
	route->mode = from->least_share > 0 ? RR_ROUTE_GATHER : RR_ROUTE_PROXY;
	route->idempotent = true;
	route->timeout_ms = (uint32_t)from->deadline_ms;
	route->objective_ms = (uint32_t)from->objective_ms;
	route->max_attempts = (uint32_t)from->max_attempts;
	route->min_share = from->least_share;
	route->top_k = 1;
	route->parts = g_new0(struct rr_route_part, n);
	route->n_parts = n;
	for (size_t i = 0; i < n; i++) {
		route->parts[i].service = g_strdup_printf("s%zu", i);
		route->parts[i].weight = 1;
	}
	return route;
}

static void set_routes(struct instance *instance)
{
	const struct emulated_scenario *scenario =
		instance->emulation->scenario;
	struct rr_route_table *table = rr_new_route_table(1);

	for (uint32_t i = 0; i < scenario->n_routes; i++)
		rr_add_route(table, new_route(instance->emulation,
					      &scenario->routes[i]));
	for (uint32_t i = 0; i < (uint32_t)scenario->shards; i++) {
		struct rr_route_service *service =
			g_new0(struct rr_route_service, 1);

		service->name = g_strdup_printf("s%u", i);
		service->max_connections = (uint32_t)scenario->connections;
		service->cold_per_s = scenario->cold_per_s;
		service->cold_ms = COLD_PERIOD_US / 1000;
		rr_add_route_service(table, service);
	}
	rr_gate_set_routes(instance->ctx, instance->gate,
			   instance->emulation->now_us, table);
	rr_drop_route_table(table);
}

static struct instance *new_instance(struct emulation *emulation,
				     uint32_t number, uint32_t seed)
{
	struct instance *instance = g_new0(struct instance, 1);
	const struct emulated_scenario *scenario = emulation->scenario;
	struct rr_context_options context_options = { .seed = seed + number };
	char zone[16];
	char name[16];
	struct rr_gate_options options = {
		.zone = zone,
		.actions = {
			.send = send_attempt,
			.cancel = cancel_attempt,
			.cancel_unsent = cancel_unsent,
			.answer = handle_answer,
			.preconnect = preconnect,
			.probe = send_probe,
			.close_idle = close_idle,
			.report = write_quarantine_report,
			.data = instance,
		},
		.extra_ratio = scenario->extra_ratio,
		.extra_slack = scenario->extra_slack,
		.extra_window_ms = 10000,
		.cold_overage = COLD_OVERAGE,
		.cold_slack = COLD_SLACK,
		/* Long enough ago for a full retry budget window. */
		.process_started_us = 1,
		.strength = 1,
		.policy = emulation->policy,
	};

	instance->emulation = emulation;
	instance->number = number;
	instance->zone = number % (uint32_t)scenario->zones;
	instance->next_tick_us = INT64_MAX;
	g_snprintf(zone, sizeof(zone), "z%u", instance->zone);
	g_snprintf(name, sizeof(name), "g%u", number);
	/* Instances need names only to share a cold replica's limit. */
	if (scenario->cold_per_s > 0)
		options.instance = name;
	instance->open_requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	instance->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	instance->idle_conns = g_new0(uint32_t, emulation->replicas->len);
	instance->ctx = rr_new_context(&context_options);
	instance->gate = rr_new_gate(instance->ctx, &options);
	return instance;
}

/* Set the member list, from which shares of cold replicas are derived. */
static void set_instances(struct instance *instance)
{
	struct emulation *emulation = instance->emulation;
	char name[16];
	struct rr_gate_instance peer = {
		.id = name, .zone = "z0", .address = "", .strength = 1
	};

	for (guint i = 0; i < emulation->instances->len; i++) {
		g_snprintf(name, sizeof(name), "g%u", i);
		rr_gate_update_instance(instance->ctx, instance->gate,
					emulation->now_us, &peer);
	}
}

static void start_instance(struct instance *instance)
{
	struct emulation *emulation = instance->emulation;

	set_routes(instance);
	for (guint i = 0; i < emulation->replicas->len; i++)
		announce_replica(instance,
				 g_ptr_array_index(emulation->replicas, i),
				 false);
	rr_gate_set_instance_count(instance->ctx, instance->gate,
				   emulation->instances->len);
	if (emulation->scenario->cold_per_s > 0)
		set_instances(instance);
	schedule_tick(instance);
}

static void drop_instance(gpointer data)
{
	struct instance *instance = data;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, instance->open_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_free(value);
	g_hash_table_iter_init(&iter, instance->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_attempt(value);
	g_hash_table_unref(instance->attempts);
	g_hash_table_unref(instance->open_requests);
	rr_drop_gate(instance->gate);
	rr_drop_context(instance->ctx);
	g_free(instance->idle_conns);
	g_free(instance);
}

static double measure_slot_use(const struct emulation *emulation)
{
	double busy_us = 0;
	double available_us = emulation->scenario->seconds * US_PER_S *
			      emulation->scenario->slots *
			      emulation->replicas->len;

	for (guint i = 0; i < emulation->replicas->len; i++) {
		const struct replica *replica =
			g_ptr_array_index(emulation->replicas, i);

		busy_us += (double)replica->slot_used_us;
	}
	return busy_us / available_us;
}

/* Requests without an answer count as failed. */
static void count_unanswered(struct emulated_result *result)
{
	result->failed = result->requests - result->answered_in_time -
			 result->late - result->rejected;
}

void emulate_scenario(const struct emulated_scenario *scenario,
		      const struct rr_gate_policy *policy, uint32_t seed,
		      struct emulated_result *result)
{
	struct emulation emulation = {
		.scenario = scenario,
		.policy = policy,
		.result = result,
		.events = new_event_queue(),
		.now_us = START_US,
		.end_us = START_US + (int64_t)(scenario->seconds * US_PER_S),
		.rand = g_rand_new_with_seed(seed),
		.arrivals_rand = g_rand_new_with_seed(~seed),
		.layout_rand = g_rand_new_with_seed(seed ^ 0x5a5a5a5a),
		.isolated_zone = -1,
		.evacuated_zone = -1,
		.load_factor = 1,
	};

	*result = (struct emulated_result){ 0 };
	result->latencies_us = g_array_new(FALSE, FALSE, sizeof(double));
	emulation.late_numbers = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	emulation.quarantine_entries = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_quarantine_entry);
	emulation.replicas = g_ptr_array_new_with_free_func(drop_replica);
	emulation.instances = g_ptr_array_new_with_free_func(drop_instance);
	start_replicas(&emulation);
	for (uint32_t i = 0; i < (uint32_t)scenario->instances; i++)
		g_ptr_array_add(emulation.instances,
				new_instance(&emulation, i, seed));
	for (guint i = 0; i < emulation.instances->len; i++)
		start_instance(g_ptr_array_index(emulation.instances, i));
	start_callers(&emulation);
	schedule_faults(&emulation);
	while (next_event_us(emulation.events) <= emulation.end_us + DRAIN_US)
		run_next_event(emulation.events, &emulation.now_us, &emulation);
	count_unanswered(result);
	result->slot_use = measure_slot_use(&emulation);
	drop_event_queue(emulation.events, NULL);
	g_ptr_array_unref(emulation.instances);
	g_ptr_array_unref(emulation.replicas);
	g_hash_table_unref(emulation.late_numbers);
	g_hash_table_unref(emulation.quarantine_entries);
	g_rand_free(emulation.rand);
	g_rand_free(emulation.arrivals_rand);
	g_rand_free(emulation.layout_rand);
}

void clear_emulated_result(struct emulated_result *result)
{
	g_array_unref(result->latencies_us);
}

double mean_answer_value(const struct emulated_result *result)
{
	return result->requests ?
		       result->total_value / (double)result->requests :
		       0;
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

double latency_quantile_ms(const struct emulated_result *result,
			   double quantile)
{
	guint n = result->latencies_us->len;

	if (!n)
		return 0;
	g_array_sort(result->latencies_us, compare_doubles);
	return g_array_index(result->latencies_us, double,
			     (guint)(quantile * (n - 1))) /
	       US_PER_MS;
}
