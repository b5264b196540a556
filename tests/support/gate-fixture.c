/*
 * gate-fixture.c - a gate driven by hand.
 */
#include "support/gate-fixture.h"

#include <string.h>

static const char *const one_service[] = { "s", NULL };
const char *const test_shards[] = { "s1", "s2", "s3", "s4", NULL };

const struct test_route test_non_idempotent_route = {
	.name = "once",
	.prefix = "/once/",
	.services = one_service,
	.non_idempotent = true,
	.max_attempts = 2,
	.objective_ms = 250,
	.timeout_ms = 4000,
};
const struct test_route test_idempotent_route = {
	.name = "often",
	.prefix = "/often/",
	.services = one_service,
	.max_attempts = 2,
	.objective_ms = 250,
	.timeout_ms = 4000,
};
const struct test_route test_search_route = {
	.name = "search",
	.prefix = "/search/",
	.services = test_shards,
	.gather = true,
	.max_attempts = 2,
	.objective_ms = 80,
	.timeout_ms = 1200,
	.min_share = 0.75,
};

static void free_sent(gpointer data)
{
	struct test_sent_attempt *sent = data;

	g_free(sent->endpoint);
	g_free(sent->incarnation);
	g_free(sent->address);
	g_free(sent);
}

static void free_answer(gpointer data)
{
	struct test_answer *answer = data;

	g_free(answer->reason);
	g_free(answer->signatures);
	g_free(answer);
}

static void note_send(void *data, const struct rr_gate_attempt_info *send)
{
	struct gate_fixture *scene = data;
	struct test_sent_attempt *sent = g_new0(struct test_sent_attempt, 1);

	sent->attempt = send->attempt;
	sent->request = send->request;
	sent->endpoint = g_strdup(send->endpoint);
	sent->incarnation = g_strdup(send->incarnation);
	sent->address = g_strdup(send->address);
	sent->deadline_ms = send->deadline_ms;
	sent->at_us = scene->now_us;
	g_ptr_array_add(scene->attempts, sent);
}

static void note_withdraw(void *data, uint64_t attempt)
{
	struct gate_fixture *scene = data;

	for (guint i = 0; i < scene->attempts->len; i++) {
		if (test_attempt_at(scene, i)->attempt == attempt)
			test_attempt_at(scene, i)->cancelled = true;
	}
}

static bool note_recall(void *data, uint64_t attempt)
{
	struct gate_fixture *scene = data;

	if (!scene->nothing_sent)
		return false;
	note_withdraw(data, attempt);
	return true;
}

static void note_answer(void *data, const struct rr_gate_answer *answer)
{
	struct gate_fixture *scene = data;
	struct test_answer *kept = g_new0(struct test_answer, 1);

	kept->request = answer->request;
	kept->kind = answer->kind;
	kept->status = answer->status;
	kept->reason = g_strdup(answer->reason);
	kept->retry_after_ms = answer->retry_after_ms;
	kept->close_connection = answer->close_connection;
	kept->signatures = g_strdup(answer->signatures);
	kept->missing = answer->missing;
	kept->length = answer->length;
	kept->at_us = scene->now_us;
	g_ptr_array_add(scene->answers, kept);
}

static void note_open(void *data, const char *lifetime, const char *address)
{
	struct gate_fixture *scene = data;

	g_ptr_array_add(scene->preconnected, g_strdup(lifetime));
}

static void note_probe(void *data, const char *lifetime, const char *address)
{
	struct gate_fixture *scene = data;

	g_ptr_array_add(scene->probes, g_strdup(lifetime));
}

static void note_forget(void *data, const char *lifetime)
{
	struct gate_fixture *scene = data;

	g_ptr_array_add(scene->idle_closed, g_strdup(lifetime));
}

static void free_report(gpointer data)
{
	struct test_report *report = data;

	rr_free_quarantine_entry(report->entry);
	g_free(report);
}

static void note_report(void *data, const struct rr_quarantine_report *told)
{
	struct gate_fixture *scene = data;
	struct test_report *report = g_new0(struct test_report, 1);

	report->entry = rr_copy_quarantine_entry(told->entry);
	report->released = told->released;
	report->claim = told->claim;
	g_ptr_array_add(scene->reports, report);
}

static void keep_line(void *data, enum rr_log_level level, const char *line)
{
	struct gate_fixture *scene = data;

	g_string_append(scene->log, line);
	g_string_append_c(scene->log, '\n');
}

static struct gate_fixture *new_scene_by(uint32_t seed,
					 const struct rr_gate_policy *policy)
{
	struct gate_fixture *scene = g_new0(struct gate_fixture, 1);
	struct rr_context_options context = {
		.seed = seed,
		.log = { .write = keep_line,
			 .data = scene,
			 .max_level = RR_LOG_INFO },
	};
	static const char *const places[] = { "a/north", "b/north", "c/south",
					      NULL };
	struct rr_gate_options options = {
		.zone_regions = places,
		.instance = "self",
		.zone = "a",
		.actions = {
			.send = note_send,
			.cancel = note_withdraw,
			.cancel_unsent = note_recall,
			.answer = note_answer,
			.preconnect = note_open,
			.probe = note_probe,
			.close_idle = note_forget,
			.report = note_report,
			.data = scene,
		},
		.extra_ratio = 0.2,
		.extra_slack = 50,
		.extra_window_ms = 10000,
		.cold_overage = 1.5,
		.cold_slack = 5,
		.process_started_us = 1000 * TEST_MS,
		.strength = 1,
		.log_lines_per_s = 50,
		.policy = policy,
	};

	scene->now_us = 1000 * TEST_MS;
	scene->attempts = g_ptr_array_new_with_free_func(free_sent);
	scene->answers = g_ptr_array_new_with_free_func(free_answer);
	scene->probes = g_ptr_array_new_with_free_func(g_free);
	scene->preconnected = g_ptr_array_new_with_free_func(g_free);
	scene->idle_closed = g_ptr_array_new_with_free_func(g_free);
	scene->reports = g_ptr_array_new_with_free_func(free_report);
	scene->log = g_string_new(NULL);
	scene->ctx = rr_new_context(&context);
	scene->gate = rr_new_gate(scene->ctx, &options);
	return scene;
}

struct gate_fixture *test_new_uncounted_gate(uint32_t seed)
{
	return new_scene_by(seed, NULL);
}

static struct gate_fixture *
new_counted_scene(uint32_t seed, const struct rr_gate_policy *policy)
{
	struct gate_fixture *scene = new_scene_by(seed, policy);

	rr_gate_set_instance_count(scene->ctx, scene->gate, 10);
	return scene;
}

struct gate_fixture *test_new_gate(uint32_t seed)
{
	return new_counted_scene(seed, NULL);
}

void test_free_gate(struct gate_fixture *scene)
{
	rr_drop_gate(scene->gate);
	rr_drop_context(scene->ctx);
	g_ptr_array_unref(scene->attempts);
	g_ptr_array_unref(scene->answers);
	g_ptr_array_unref(scene->probes);
	g_ptr_array_unref(scene->preconnected);
	g_ptr_array_unref(scene->idle_closed);
	g_ptr_array_unref(scene->reports);
	g_string_free(scene->log, TRUE);
	g_free(scene);
}

static void add_service(struct rr_route_table *table, const char *name,
			double cold_per_s)
{
	struct rr_route_service *service = g_new0(struct rr_route_service, 1);

	service->name = g_strdup(name);
	service->max_connections = 26;
	service->cold_per_s = cold_per_s;
	rr_add_route_service(table, service);
}

static struct rr_route *make_route(struct rr_route_table *table,
				   const struct test_route *spec)
{
	struct rr_route *route = g_new0(struct rr_route, 1);
	size_t n = 0;

	while (spec->services[n])
		n++;
	route->name = g_strdup(spec->name);
	route->host = g_strdup("h");
	route->prefix = g_strdup(spec->prefix);
	route->mode = spec->gather ? RR_ROUTE_GATHER : RR_ROUTE_PROXY;
	route->idempotent = !spec->non_idempotent;
	route->max_attempts = spec->max_attempts;
	route->objective_ms = spec->objective_ms;
	route->timeout_ms = spec->timeout_ms;
	route->min_share = spec->min_share;
	route->priority = spec->priority;
	if (spec->region)
		route->regions = g_strsplit(spec->region, ",", -1);
	route->top_k = 4;
	route->parts = g_new0(struct rr_route_part, n);
	route->n_parts = n;
	for (size_t i = 0; i < n; i++) {
		route->parts[i].service = g_strdup(spec->services[i]);
		route->parts[i].weight = spec->weights ? spec->weights[i] : 1;
		add_service(table, spec->services[i], spec->cold_per_s);
	}
	return route;
}

bool test_set_routes(struct gate_fixture *scene, uint64_t version,
		     const struct test_route *routes, size_t n)
{
	struct rr_route_table *table = rr_new_route_table(version);
	bool taken;

	for (size_t i = 0; i < n; i++)
		g_assert_true(
			rr_add_route(table, make_route(table, &routes[i])));
	taken = rr_gate_set_routes(scene->ctx, scene->gate, scene->now_us,
				   table);
	rr_drop_route_table(table);
	return taken;
}

void test_list_incarnation(struct gate_fixture *scene,
			   const struct test_incarnation *lifetime)
{
	struct rr_endpoint_info listing = {
		.id = lifetime->id,
		.started_ms = lifetime->started_ms,
		.service = lifetime->service,
		.address =
			lifetime->address ? lifetime->address : "127.0.0.1:1",
		.zone = lifetime->zone,
		.slots = 2,
		.draining = lifetime->draining,
		.cold_ms = lifetime->cold_ms,
	};

	rr_gate_update_endpoint(scene->ctx, scene->gate, scene->now_us,
				&listing);
}

void test_list_replica(struct gate_fixture *scene, const char *id,
		       const char *service, const char *zone)
{
	struct test_incarnation lifetime = { .id = id,
					     .service = service,
					     .zone = zone };

	test_list_incarnation(scene, &lifetime);
}

void test_list_draining_replica(struct gate_fixture *scene, const char *id,
				const char *service, const char *zone)
{
	struct test_incarnation lifetime = {
		.id = id, .service = service, .zone = zone, .draining = true
	};

	test_list_incarnation(scene, &lifetime);
}

void test_update_instance(struct gate_fixture *scene, const char *id,
			  const char *zone, double strength, int64_t born_ms)
{
	struct rr_gate_instance instance = {
		.id = id,
		.zone = zone,
		.address = "127.0.0.1:4",
		.strength = strength,
		.started_ms = born_ms,
	};

	rr_gate_update_instance(scene->ctx, scene->gate, scene->now_us,
				&instance);
}

uint64_t test_submit(struct gate_fixture *scene, const char *path,
		     int64_t deadline_ms)
{
	struct rr_gate_request_info ask = {
		.host = "h",
		.path = path,
		.path_length = strlen(path),
		.request_id = "id",
		.fingerprint = scene->fingerprint,
		.deadline_ms = deadline_ms,
		.caller_rtt_us = 2000,
		.new_connection = scene->new_connection,
		.forward_deadline_us = -1,
	};

	return rr_gate_submit(scene->ctx, scene->gate, scene->now_us, &ask);
}

void test_advance_time(struct gate_fixture *scene, int64_t us)
{
	int64_t end_us = scene->now_us + us;

	while (rr_gate_next_tick_us(scene->gate) <= end_us) {
		scene->now_us =
			MAX(scene->now_us, rr_gate_next_tick_us(scene->gate));
		rr_gate_tick(scene->ctx, scene->gate, scene->now_us);
	}
	scene->now_us = end_us;
}

struct test_sent_attempt *test_attempt_at(struct gate_fixture *scene, guint i)
{
	g_assert_cmpuint(i, <, scene->attempts->len);
	return g_ptr_array_index(scene->attempts, i);
}

static bool is_open(const struct test_sent_attempt *sent)
{
	return !sent->cancelled && !sent->replied;
}

guint test_count_open_attempts(struct gate_fixture *scene)
{
	guint n = 0;

	for (guint i = 0; i < scene->attempts->len; i++)
		n += is_open(test_attempt_at(scene, i));
	return n;
}

struct test_sent_attempt *test_find_open_attempt(struct gate_fixture *scene,
						 const char *endpoint)
{
	for (guint i = 0; i < scene->attempts->len; i++) {
		struct test_sent_attempt *sent = test_attempt_at(scene, i);

		if (is_open(sent) && !strcmp(sent->endpoint, endpoint))
			return sent;
	}
	return NULL;
}

void test_reply(struct gate_fixture *scene, struct test_sent_attempt *sent,
		enum rr_gate_outcome outcome, uint16_t status)
{
	uint8_t body[32];
	char seal[32];
	struct rr_gate_reply reply = {
		.attempt = sent->attempt,
		.outcome = outcome,
		.status = status,
		.signature = seal,
		.body = body,
		.length = sizeof(body),
		.wrong_incarnation = status == 421,
	};

	memset(body, 'r', sizeof(body));
	g_snprintf(seal, sizeof(seal), "seal-%s", sent->endpoint);
	sent->replied = true;
	rr_gate_reply(scene->ctx, scene->gate, scene->now_us, &reply);
}

void test_reply_all(struct gate_fixture *scene)
{
	for (guint i = 0; i < scene->attempts->len; i++) {
		if (is_open(test_attempt_at(scene, i)))
			test_reply(scene, test_attempt_at(scene, i),
				   RR_GATE_ANSWERED, 200);
	}
}

struct test_answer *test_last_answer(struct gate_fixture *scene)
{
	g_assert_cmpuint(scene->answers->len, >, 0);
	return g_ptr_array_index(scene->answers, scene->answers->len - 1);
}

struct gate_fixture *test_start_gate(const struct test_route *route)
{
	return test_start_gate_with_policy(route, NULL);
}

struct gate_fixture *
test_start_gate_with_policy(const struct test_route *route,
			    const struct rr_gate_policy *policy)
{
	struct gate_fixture *scene = new_counted_scene(7, policy);

	for (size_t i = 0; route->services[i]; i++) {
		char *near = g_strconcat(route->services[i], ".a", NULL);
		char *far = g_strconcat(route->services[i], ".b", NULL);

		test_list_replica(scene, near, route->services[i], "a");
		test_list_replica(scene, far, route->services[i], "b");
		g_free(near);
		g_free(far);
	}
	g_assert_true(test_set_routes(scene, 5, route, 1));
	return scene;
}

void test_earn_retry_budget(struct gate_fixture *scene, const char *path)
{
	for (int i = 0; i < 60; i++) {
		test_submit(scene, path, 1000);
		test_advance_time(scene, 2 * TEST_MS);
		test_reply_all(scene);
		test_advance_time(scene, 10 * TEST_MS);
	}
	g_ptr_array_set_size(scene->attempts, 0);
	g_ptr_array_set_size(scene->answers, 0);
}

void test_close_attempt(struct gate_fixture *scene,
			struct test_sent_attempt *sent)
{
	struct rr_gate_reply reply = {
		.attempt = sent->attempt,
		.outcome = RR_GATE_BROKEN,
		.connection_closed = true,
	};

	sent->replied = true;
	rr_gate_reply(scene->ctx, scene->gate, scene->now_us, &reply);
}

void test_report_probe(struct gate_fixture *scene, const char *lifetime,
		       bool reached)
{
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us,
				    lifetime, reached);
}

void test_crash_replica(struct gate_fixture *scene,
			struct test_sent_attempt *sent)
{
	test_close_attempt(scene, sent);
	test_report_probe(scene, sent->incarnation, false);
}

struct test_report *test_last_report(struct gate_fixture *scene)
{
	return scene->reports->len ?
		       g_ptr_array_index(scene->reports,
					 scene->reports->len - 1) :
		       NULL;
}
