/*
 * test-gate-random.c - invariants of the gate under random events.
 *
 * Replies, list entries, routes and closing callers are drawn at random, and
 * the invariants are checked at each step.  To run a single seed, pass it and
 * a number of steps: gate-random 17 200000.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "support/gate-fixture.h"

#define SERVICES 6
#define REPLICAS 3
#define FIRST_START_MS INT64_C(1700000000000)

static const char *const shards[] = { "s0", "s1", "s2", "s3", NULL };
static const char *const other_shards[] = { "s2", "s3", "s4", "s5", NULL };
static const char *const first_service[] = { "s0", NULL };
static const char *const second_service[] = { "s1", NULL };

/* Expected state of a request. */
struct request {
	bool open;
	bool non_idempotent;
	bool gather;
	bool caller_closed;
	uint32_t may_have_run; /* attempts not proven not to have run */
	uint32_t max_attempts;
	int64_t deadline_us;
	/* Service number -> attempts that may have run. */
	GHashTable *attempts_per_service;
};

struct simulation {
	struct gate_fixture *fixture;
	GRand *rand;
	GHashTable *requests; /* id -> struct request */
	guint n_attempts_checked;
	guint n_answers_checked;
	uint64_t version;
	/* Start of the newest incarnation listed, and whether it drains. */
	int64_t started_ms[SERVICES][REPLICAS];
	bool draining[SERVICES][REPLICAS];
	int64_t unlisted_us[SERVICES][REPLICAS]; /* 0 if listed */
	uint64_t extras;
	uint64_t asked;
};

static uint32_t draw(struct simulation *simulation, uint32_t below)
{
	return (uint32_t)g_rand_int_range(simulation->rand, 0, (gint32)below);
}

static void free_request(gpointer data)
{
	struct request *request = data;

	g_hash_table_unref(request->attempts_per_service);
	g_free(request);
}

static struct request *find_request(struct simulation *simulation, uint64_t id)
{
	return g_hash_table_lookup(simulation->requests, &id);
}

static void set_routes(struct simulation *simulation)
{
	const struct test_route routes[] = {
		{ .name = "once",
		  .prefix = "/once/",
		  .services = first_service,
		  .non_idempotent = true,
		  .max_attempts = 2,
		  .objective_ms = 250,
		  .timeout_ms = 1000 },
		{ .name = "often",
		  .prefix = "/often/",
		  .services = second_service,
		  .max_attempts = 2,
		  .objective_ms = 250,
		  .timeout_ms = 1000 },
		{ .name = "search",
		  .prefix = "/search/",
		  .services = draw(simulation, 2) ? shards : other_shards,
		  .gather = true,
		  .max_attempts = 2,
		  .objective_ms = 80,
		  .timeout_ms = 600,
		  .min_share = 0.75,
		  .priority = 1 },
	};

	test_set_routes(simulation->fixture, ++simulation->version, routes,
			G_N_ELEMENTS(routes));
}

static void list_incarnation(struct simulation *simulation, uint32_t service,
			     uint32_t replica, int64_t started_ms,
			     bool draining)
{
	char *name = g_strdup_printf("s%u", service);
	char *id = g_strdup_printf("s%u.%u", service, replica);
	static const char *const zones[] = { "a", "b", "c" };
	struct test_incarnation incarnation = {
		.id = id,
		.service = name,
		.zone = zones[replica],
		.started_ms = started_ms,
		.draining = draining,
	};

	test_list_incarnation(simulation->fixture, &incarnation);
	g_free(id);
	g_free(name);
}

static void list_replica(struct simulation *simulation, uint32_t service,
			 uint32_t replica, bool draining)
{
	list_incarnation(simulation, service, replica,
			 simulation->started_ms[service][replica], draining);
	simulation->draining[service][replica] |= draining;
	simulation->unlisted_us[service][replica] = 0;
}

/* Restart a replica under its id: its drain was the previous incarnation's. */
static void restart_replica(struct simulation *simulation, uint32_t service,
			    uint32_t replica)
{
	simulation->started_ms[service][replica] += 1 + draw(simulation, 9000);
	simulation->draining[service][replica] = false;
	list_replica(simulation, service, replica, draw(simulation, 10) == 0);
}

/* List an earlier incarnation, as by a late entry; it has no effect. */
static void list_earlier(struct simulation *simulation, uint32_t service,
			 uint32_t replica)
{
	list_incarnation(simulation, service, replica,
			 simulation->started_ms[service][replica] - 1 -
				 draw(simulation, 50),
			 draw(simulation, 2));
}

static void unlist_replica(struct simulation *simulation, uint32_t service,
			   uint32_t replica)
{
	char *id = g_strdup_printf("s%u.%u", service, replica);

	rr_gate_unlist_endpoint(simulation->fixture->ctx,
				simulation->fixture->gate,
				simulation->fixture->now_us, id);
	if (!simulation->unlisted_us[service][replica])
		simulation->unlisted_us[service][replica] =
			simulation->fixture->now_us;
	g_free(id);
}

/* No attempt goes to a replica that drains or was unlisted 2 s ago. */
static void check_sent(struct simulation *simulation,
		       const struct test_sent_attempt *sent)
{
	struct request *request = find_request(simulation, sent->request);
	uint32_t service = (uint32_t)(sent->endpoint[1] - '0');
	uint32_t replica = (uint32_t)(sent->endpoint[3] - '0');
	int64_t unlisted_us = simulation->unlisted_us[service][replica];
	gpointer key = GUINT_TO_POINTER(service);
	guint count;

	assert_non_null(request);
	assert_true(request->open);
	assert_false(request->caller_closed);
	assert_false(simulation->draining[service][replica]);
	assert_int_equal(
		g_ascii_strtoll(strchr(sent->incarnation, '@') + 1, NULL, 10),
		simulation->started_ms[service][replica]);
	assert_true(!unlisted_us || sent->at_us - unlisted_us < 2000 * TEST_MS);
	count = GPOINTER_TO_UINT(
		g_hash_table_lookup(request->attempts_per_service, key));
	assert_true(count < request->max_attempts);
	if (request->non_idempotent)
		assert_int_equal(request->may_have_run, 0);
	g_hash_table_insert(request->attempts_per_service, key,
			    GUINT_TO_POINTER(count + 1));
	request->may_have_run++;
	assert_true(sent->deadline_ms >= 0);
	assert_true(sent->at_us + sent->deadline_ms * 1000 <=
		    request->deadline_us + TEST_MS);
}

static void check_answer(struct simulation *simulation,
			 const struct test_answer *answer)
{
	struct request *request = find_request(simulation, answer->request);

	if (!request)
		return; /* rejected: it has no attempts */
	assert_true(request->open);
	request->open = false;
	switch (answer->kind) {
	case RR_GATE_LOCAL_ANSWER:
		if (answer->status == 503 || answer->status == 429)
			assert_int_equal(request->may_have_run, 0);
		else
			assert_true(answer->status == 502 ||
				    answer->status == 504);
		assert_true((answer->status == 503) ==
			    (answer->retry_after_ms > 0));
		break;
	case RR_GATE_PROXIED_ANSWER:
		assert_false(request->gather);
		break;
	case RR_GATE_MERGED_ANSWER:
		assert_true(request->gather);
		assert_true(answer->missing <= 1);
		break;
	}
	assert_true(answer->at_us <= request->deadline_us + TEST_MS);
}

static void check_new_events(struct simulation *simulation)
{
	struct gate_fixture *fixture = simulation->fixture;

	while (simulation->n_attempts_checked < fixture->attempts->len)
		check_sent(simulation,
			   test_attempt_at(fixture,
					   simulation->n_attempts_checked++));
	while (simulation->n_answers_checked < fixture->answers->len)
		check_answer(
			simulation,
			g_ptr_array_index(fixture->answers,
					  simulation->n_answers_checked++));
}

/* The id is known only after the call, which may already answer or send. */
static void submit_request(struct simulation *simulation)
{
	static const char *const paths[] = { "/once/1", "/often/1",
					     "/search/1" };
	uint32_t kind = draw(simulation, 3);
	int64_t deadline_ms = 50 + draw(simulation, 900);
	struct request *request = g_new0(struct request, 1);
	int64_t timeout_ms = kind == 2 ? 600 : 1000;
	uint64_t *key = g_new(uint64_t, 1);

	request->open = true;
	request->non_idempotent = kind == 0;
	request->gather = kind == 2;
	request->max_attempts = 2;
	request->deadline_us = simulation->fixture->now_us +
			       MIN(deadline_ms, timeout_ms) * TEST_MS;
	/* Replicas may get the caller's own deadline. */
	if (deadline_ms > timeout_ms)
		request->deadline_us =
			simulation->fixture->now_us + deadline_ms * TEST_MS;
	request->attempts_per_service = g_hash_table_new(NULL, NULL);
	simulation->asked++;
	*key = test_submit(simulation->fixture, paths[kind], deadline_ms);
	g_hash_table_insert(simulation->requests, key, request);
}

static void reply_to_attempt(struct simulation *simulation)
{
	static const enum rr_gate_outcome outcomes[] = {
		RR_GATE_ANSWERED, RR_GATE_ANSWERED, RR_GATE_ANSWERED,
		RR_GATE_ANSWERED, RR_GATE_REJECTED, RR_GATE_UNSENT,
		RR_GATE_BROKEN,	  RR_GATE_NO_REPLY,
	};
	struct gate_fixture *fixture = simulation->fixture;
	enum rr_gate_outcome outcome =
		outcomes[draw(simulation, G_N_ELEMENTS(outcomes))];
	uint16_t status = outcome == RR_GATE_ANSWERED ?
				  (draw(simulation, 10) ? 200 : 500) :
				  0;
	guint from =
		fixture->attempts->len > 40 ? fixture->attempts->len - 40 : 0;

	for (guint i = from; i < fixture->attempts->len; i++) {
		struct test_sent_attempt *sent = test_attempt_at(fixture, i);
		struct request *request =
			find_request(simulation, sent->request);

		if (sent->replied || sent->cancelled || draw(simulation, 3))
			continue;
		if (outcome == RR_GATE_REJECTED || outcome == RR_GATE_UNSENT) {
			gpointer key = GUINT_TO_POINTER(
				(guint)(sent->endpoint[1] - '0'));
			guint count = GPOINTER_TO_UINT(g_hash_table_lookup(
				request->attempts_per_service, key));

			g_hash_table_insert(request->attempts_per_service, key,
					    GUINT_TO_POINTER(count - 1));
			request->may_have_run--;
		}
		test_reply(fixture, sent, outcome, status);
		return;
	}
}

static void close_caller(struct simulation *simulation)
{
	struct gate_fixture *fixture = simulation->fixture;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, simulation->requests);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct request *request = value;

		if (!request->open || request->caller_closed ||
		    draw(simulation, 4))
			continue;
		request->caller_closed = true;
		if (draw(simulation, 2)) {
			rr_gate_half_close(fixture->ctx, fixture->gate,
					   fixture->now_us, *(uint64_t *)key);
			return;
		}
		request->open = false;
		rr_gate_abandon(fixture->ctx, fixture->gate, fixture->now_us,
				*(uint64_t *)key);
		return;
	}
}

static gboolean is_ended(gpointer key, gpointer value, gpointer data)
{
	return !((struct request *)value)->open;
}

/* Discard old requests and attempts; keeping them makes the run quadratic. */
static void discard_ended(struct simulation *simulation)
{
	if (simulation->fixture->attempts->len < 4000)
		return;
	check_new_events(simulation);
	test_advance_time(simulation->fixture, 2000 * TEST_MS);
	check_new_events(simulation);
	for (guint i = 0; i < simulation->fixture->attempts->len; i++) {
		struct test_sent_attempt *sent =
			test_attempt_at(simulation->fixture, i);

		if (!sent->replied && !sent->cancelled)
			test_reply(simulation->fixture, sent, RR_GATE_NO_REPLY,
				   0);
	}
	check_new_events(simulation);
	assert_int_equal(rr_gate_count_requests(simulation->fixture->gate), 0);
	g_hash_table_foreach_remove(simulation->requests, is_ended, NULL);
	assert_int_equal(g_hash_table_size(simulation->requests), 0);
	g_ptr_array_set_size(simulation->fixture->attempts, 0);
	g_ptr_array_set_size(simulation->fixture->answers, 0);
	simulation->n_attempts_checked = 0;
	simulation->n_answers_checked = 0;
}

static void report_probe(struct simulation *simulation)
{
	struct gate_fixture *fixture = simulation->fixture;
	char *id;

	if (!fixture->probes->len)
		return;
	id = g_strdup(g_ptr_array_index(fixture->probes, 0));
	g_ptr_array_remove_index(fixture->probes, 0);
	rr_gate_handle_probe_result(fixture->ctx, fixture->gate,
				    fixture->now_us, id, draw(simulation, 2));
	g_free(id);
}

static void run_step(struct simulation *simulation)
{
	uint32_t service = draw(simulation, SERVICES);
	uint32_t replica = draw(simulation, REPLICAS);
	uint32_t action = draw(simulation, 1000);

	if (action < 250)
		submit_request(simulation);
	else if (action < 850)
		reply_to_attempt(simulation);
	else if (action < 960)
		test_advance_time(simulation->fixture,
				  draw(simulation, 20) * TEST_MS);
	else if (action < 980)
		close_caller(simulation);
	else if (action < 985)
		report_probe(simulation);
	else if (action < 988)
		set_routes(simulation);
	else if (action < 990)
		unlist_replica(simulation, service, replica);
	else if (action < 997 && !simulation->draining[service][replica])
		list_replica(simulation, service, replica, false);
	else if (action == 997)
		list_earlier(simulation, service, replica);
	else if (action == 998)
		restart_replica(simulation, service, replica);
	else if (action == 999 && !draw(simulation, 10))
		list_replica(simulation, service, replica, true);
	check_new_events(simulation);
	discard_ended(simulation);
}

static void run_simulation(uint32_t seed, int steps)
{
	struct simulation simulation = { .fixture = test_new_gate(seed) };

	simulation.rand = g_rand_new_with_seed(seed);
	simulation.requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, free_request);
	set_routes(&simulation);
	for (uint32_t i = 0; i < SERVICES; i++) {
		for (uint32_t j = 0; j < REPLICAS; j++) {
			simulation.started_ms[i][j] = FIRST_START_MS;
			list_replica(&simulation, i, j, false);
		}
	}
	for (int i = 0; i < steps; i++)
		run_step(&simulation);
	g_hash_table_unref(simulation.requests);
	g_rand_free(simulation.rand);
	test_free_gate(simulation.fixture);
}

static void test_random_events(void **state)
{
	for (uint32_t seed = 1; seed <= 12; seed++)
		run_simulation(seed, 40000);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_events),
	};

	if (argc == 3) {
		run_simulation((uint32_t)atoi(argv[1]), atoi(argv[2]));
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
