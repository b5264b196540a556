/*
 * emulator.c - the gates' actions, ways and clock of the emulated emulation.
 */
#include "gate/emulator-private.h"

#include <math.h>

/* A connection that does not come about is given up after this. */
#define CONNECT_TIMEOUT_US (400 * 1000)
/* One way within a zone. */
#define NEAR_US 100
/* Virtual time begins here: 0 means "never" to the gate. */
#define BEGIN_US (INT64_C(1000) * 1000 * 1000)
#define COLD_OVERAGE 1.5
#define COLD_SLACK 5
/* What is still open at the end is let run out for so long. */
#define RUN_OUT_US (6 * G_USEC_PER_SEC)

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
		return NEAR_US;
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

	/* One set for later: an earlier tick has come since. */
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

static struct replica *replica_of(struct emulation *emulation,
				  const char *lifetime)
{
	guint64 number = g_ascii_strtoull(lifetime + 1, NULL, 10);

	return g_ptr_array_index(emulation->replicas, number);
}

static double draw_work_us(struct emulation *emulation,
			   const struct emulated_route *route)
{
	double mean_us = route->work_ms * US_PER_MS;

	return mean_us * (0.5 - 0.5 * log(1 - draw_uniform(emulation)));
}

static void give_up_connecting(void *context, void *data)
{
	struct emulated_attempt *work = data;

	reply_to_gate(work, RR_GATE_UNSENT, 0, true);
	drop_attempt(work);
}

/* How long until the request is at the replica; -1: it never is. */
static int64_t time_to(struct instance *instance, struct replica *replica)
{
	struct emulation *emulation = instance->emulation;
	int64_t way =
		one_way_delay_us(emulation, instance->zone, replica->zone);
	uint32_t *idle = &instance->idle_conns[replica->number];

	if (*idle && !replica->is_down) {
		--*idle;
		return way < 0 || replica->unresponsive ? INT64_MAX : way;
	}
	if (way < 0 || replica->unresponsive)
		return -1;
	return 3 * way + ms_to_us(emulation->scenario->connect_ms);
}

static struct request *find_request(struct instance *instance, uint64_t id)
{
	struct request *request =
		g_hash_table_lookup(instance->open_requests, &id);

	return request ? request : instance->submitting;
}

static void send_attempt(void *data, const struct rr_gate_attempt_info *send)
{
	struct instance *instance = data;
	struct emulation *emulation = instance->emulation;
	struct request *request = find_request(instance, send->request);
	struct emulated_attempt *work = g_new0(struct emulated_attempt, 1);
	int64_t after_us;

	work->emulation = emulation;
	work->attempt_id = send->attempt;
	work->instance_number = instance->number;
	work->replica = replica_of(emulation, send->incarnation);
	work->request_number = request->number;
	work->is_query_of_death = request->is_query_of_death;
	work->work_us = draw_work_us(emulation, request->route);
	work->refs = 1;
	g_hash_table_insert(instance->attempts, &work->attempt_id, work);
	emulation->result->attempts++;
	after_us = time_to(instance, work->replica);
	if (after_us == INT64_MAX)
		return;
	keep_attempt(work);
	if (after_us < 0)
		push_event(emulation->events,
			   emulation->now_us + CONNECT_TIMEOUT_US,
			   give_up_connecting, work);
	else
		push_event(emulation->events, emulation->now_us + after_us,
			   handle_attempt_arrival, work);
}

static void withdraw(void *data, uint64_t attempt)
{
	struct instance *instance = data;
	struct emulation *emulation = instance->emulation;
	struct emulated_attempt *work =
		g_hash_table_lookup(instance->attempts, &attempt);
	int64_t way;

	if (!work)
		return;
	work->cancelled = true;
	way = one_way_delay_us(emulation, instance->zone, work->replica->zone);
	g_hash_table_remove(instance->attempts, &attempt);
	if (way < 0) {
		drop_attempt(work);
		return;
	}
	push_event(emulation->events, emulation->now_us + way,
		   handle_attempt_cancel, work);
}

static bool recall(void *data, uint64_t attempt)
{
	return false;
}

static void give_answer(void *data, const struct rr_gate_answer *answer)
{
	struct instance *instance = data;
	struct request *request = find_request(instance, answer->request);

	if (request == instance->submitting)
		instance->submitting = NULL;
	g_hash_table_remove(instance->open_requests, &answer->request);
	handle_gate_answer(instance, request, answer);
}

static void open_connection(void *data, const char *lifetime,
			    const char *address)
{
	struct instance *instance = data;
	const struct replica *replica =
		replica_of(instance->emulation, lifetime);

	instance->idle_conns[replica->number] = 1;
}

struct probe {
	struct instance *instance;
	char *lifetime;
	bool reached;
};

static void end_probe(void *context, void *data)
{
	struct probe *probe = data;
	struct instance *instance = probe->instance;

	rr_gate_handle_probe_result(instance->ctx, instance->gate,
				    instance->emulation->now_us,
				    probe->lifetime, probe->reached);
	schedule_tick(instance);
	g_free(probe->lifetime);
	g_free(probe);
}

static void send_probe(void *data, const char *lifetime, const char *address)
{
	struct instance *instance = data;
	struct emulation *emulation = instance->emulation;
	const struct replica *replica = replica_of(emulation, lifetime);
	int64_t way =
		one_way_delay_us(emulation, instance->zone, replica->zone);
	struct probe *probe = g_new0(struct probe, 1);

	probe->instance = instance;
	probe->lifetime = g_strdup(lifetime);
	probe->reached =
		way >= 0 && !replica->unresponsive && !replica->is_down;
	push_event(emulation->events,
		   emulation->now_us + (probe->reached || replica->is_down ?
						2 * MAX(way, NEAR_US) :
						CONNECT_TIMEOUT_US),
		   end_probe, probe);
}

static void forget(void *data, const char *lifetime)
{
	struct instance *instance = data;

	instance->idle_conns[replica_of(instance->emulation, lifetime)
				     ->number] = 0;
}

void reply_to_gate(struct emulated_attempt *work, enum rr_gate_outcome outcome,
		   uint16_t status, bool unreachable)
{
	struct emulation *emulation = work->emulation;
	struct instance *instance =
		g_ptr_array_index(emulation->instances, work->instance_number);
	static const uint8_t record[16] = { 'r' };
	struct rr_gate_reply reply = {
		.attempt = work->attempt_id,
		.outcome = outcome,
		.status = status,
		.signature = "seal",
		.body = record,
		.length = sizeof(record),
		.unreachable = unreachable,
		.connection_closed = outcome == RR_GATE_BROKEN,
	};

	if (work->cancelled)
		return;
	if (outcome == RR_GATE_ANSWERED || outcome == RR_GATE_REJECTED)
		instance->idle_conns[work->replica->number]++;
	g_hash_table_remove(instance->attempts, &work->attempt_id);
	rr_gate_reply(instance->ctx, instance->gate, emulation->now_us, &reply);
	schedule_tick(instance);
	drop_attempt(work);
}

/* Making the emulation. */

static struct rr_route *make_route(const struct emulation *emulation,
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
		rr_add_route(table, make_route(instance->emulation,
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
	struct rr_context_options context = { .seed = seed + number };
	char zone[16];
	char name[16];
	struct rr_gate_options options = {
		.zone = zone,
		.actions = {
			.send = send_attempt,
			.cancel = withdraw,
			.cancel_unsent = recall,
			.answer = give_answer,
			.preconnect = open_connection,
			.probe = send_probe,
			.close_idle = forget,
			.report = write_quarantine_report,
			.data = instance,
		},
		.extra_ratio = scenario->extra_ratio,
		.extra_slack = scenario->extra_slack,
		.extra_window_ms = 10000,
		.cold_overage = COLD_OVERAGE,
		.cold_slack = COLD_SLACK,
		/* Long enough ago that its window is full. */
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
	/* Only then is there a share for each to be known by. */
	if (scenario->cold_per_s > 0)
		options.instance = name;
	instance->open_requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	instance->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	instance->idle_conns = g_new0(uint32_t, emulation->replicas->len);
	instance->ctx = rr_new_context(&context);
	instance->gate = rr_new_gate(instance->ctx, &options);
	return instance;
}

/* The member list, from which shares of cold replicas follow. */
static void note_instances(struct instance *instance)
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
		note_instances(instance);
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
	double used_us = 0;
	double had_us = emulation->scenario->seconds * US_PER_S *
			emulation->scenario->slots * emulation->replicas->len;

	for (guint i = 0; i < emulation->replicas->len; i++) {
		const struct replica *replica =
			g_ptr_array_index(emulation->replicas, i);

		used_us += (double)replica->slot_used_us;
	}
	return used_us / had_us;
}

/* What never was answered has failed. */
static void count_unanswered(struct emulated_result *result)
{
	result->failed = result->requests - result->in_time - result->late -
			 result->rejected;
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
		.now_us = BEGIN_US,
		.end_us = BEGIN_US + (int64_t)(scenario->seconds * US_PER_S),
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
	while (next_event_us(emulation.events) <= emulation.end_us + RUN_OUT_US)
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
