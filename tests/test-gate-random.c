/*
 * test-gate-random.c - the gate under random replies, lists, routes and
 * leavers; what must always hold is checked at each step.
 *
 * Run with a seed and a number of steps to look at one run: gate-random 17
 * 200000.
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
#define FIRST_BORN_MS INT64_C(1700000000000)

static const char *const shards[] = { "s0", "s1", "s2", "s3", NULL };
static const char *const other_shards[] = { "s2", "s3", "s4", "s5", NULL };
static const char *const first[] = { "s0", NULL };
static const char *const second[] = { "s1", NULL };

/* What the world knows of a request; its index is the request's id. */
struct request {
	bool open;
	bool once;
	bool gathers;
	bool left;
	uint32_t may_have_run; /* attempts without proof */
	uint32_t max_attempts;
	int64_t end_us;
	GHashTable *per_service; /* service letter -> attempts that may run */
};

struct world {
	struct gate_fixture *scene;
	GRand *rand;
	GHashTable *requests; /* id -> struct request */
	guint sent_seen;
	guint answers_seen;
	uint64_t version;
	int64_t born_ms[SERVICES][REPLICAS]; /* of the newest lifetime told */
	bool draining[SERVICES][REPLICAS];   /* that lifetime */
	int64_t unlisted_us[SERVICES][REPLICAS]; /* 0: listed */
	uint64_t extras;
	uint64_t asked;
};

static uint32_t draw(struct world *world, uint32_t below)
{
	return (uint32_t)g_rand_int_range(world->rand, 0, (gint32)below);
}

static void free_request(gpointer data)
{
	struct request *request = data;

	g_hash_table_unref(request->per_service);
	g_free(request);
}

static struct request *find(struct world *world, uint64_t id)
{
	return g_hash_table_lookup(world->requests, &id);
}

static void set_routes(struct world *world)
{
	const struct test_route routes[] = {
		{ .name = "once",
		  .prefix = "/once/",
		  .services = first,
		  .non_idempotent = true,
		  .max_attempts = 2,
		  .objective_ms = 250,
		  .timeout_ms = 1000 },
		{ .name = "often",
		  .prefix = "/often/",
		  .services = second,
		  .max_attempts = 2,
		  .objective_ms = 250,
		  .timeout_ms = 1000 },
		{ .name = "search",
		  .prefix = "/search/",
		  .services = draw(world, 2) ? shards : other_shards,
		  .gather = true,
		  .max_attempts = 2,
		  .objective_ms = 80,
		  .timeout_ms = 600,
		  .min_share = 0.75,
		  .priority = 1 },
	};

	test_set_routes(world->scene, ++world->version, routes,
			G_N_ELEMENTS(routes));
}

static void list_lifetime(struct world *world, uint32_t service,
			  uint32_t replica, int64_t born_ms, bool draining)
{
	char *name = g_strdup_printf("s%u", service);
	char *id = g_strdup_printf("s%u.%u", service, replica);
	static const char *const zones[] = { "a", "b", "c" };
	struct test_incarnation lifetime = {
		.id = id,
		.service = name,
		.zone = zones[replica],
		.started_ms = born_ms,
		.draining = draining,
	};

	test_list_incarnation(world->scene, &lifetime);
	g_free(id);
	g_free(name);
}

static void list(struct world *world, uint32_t service, uint32_t replica,
		 bool draining)
{
	list_lifetime(world, service, replica, world->born_ms[service][replica],
		      draining);
	world->draining[service][replica] |= draining;
	world->unlisted_us[service][replica] = 0;
}

/* It starts again under its id: a drain was the lifetime's before. */
static void bear_again(struct world *world, uint32_t service, uint32_t replica)
{
	world->born_ms[service][replica] += 1 + draw(world, 9000);
	world->draining[service][replica] = false;
	list(world, service, replica, draw(world, 10) == 0);
}

/* News of a lifetime that is over come late; they change nothing. */
static void list_earlier(struct world *world, uint32_t service,
			 uint32_t replica)
{
	list_lifetime(world, service, replica,
		      world->born_ms[service][replica] - 1 - draw(world, 50),
		      draw(world, 2));
}

static void unlist(struct world *world, uint32_t service, uint32_t replica)
{
	char *id = g_strdup_printf("s%u.%u", service, replica);

	rr_gate_unlist_endpoint(world->scene->ctx, world->scene->gate,
				world->scene->now_us, id);
	if (!world->unlisted_us[service][replica])
		world->unlisted_us[service][replica] = world->scene->now_us;
	g_free(id);
}

/* Nothing goes to a replica that drains, or is gone from the list for 2 s. */
static void check_sent(struct world *world,
		       const struct test_sent_attempt *sent)
{
	struct request *request = find(world, sent->request);
	uint32_t service = (uint32_t)(sent->endpoint[1] - '0');
	uint32_t replica = (uint32_t)(sent->endpoint[3] - '0');
	int64_t unlisted_us = world->unlisted_us[service][replica];
	gpointer key = GUINT_TO_POINTER(service);
	guint count;

	assert_non_null(request);
	assert_true(request->open);
	assert_false(request->left);
	assert_false(world->draining[service][replica]);
	assert_int_equal(
		g_ascii_strtoll(strchr(sent->incarnation, '@') + 1, NULL, 10),
		world->born_ms[service][replica]);
	assert_true(!unlisted_us || sent->at_us - unlisted_us < 2000 * TEST_MS);
	count = GPOINTER_TO_UINT(
		g_hash_table_lookup(request->per_service, key));
	assert_true(count < request->max_attempts);
	if (request->once)
		assert_int_equal(request->may_have_run, 0);
	g_hash_table_insert(request->per_service, key,
			    GUINT_TO_POINTER(count + 1));
	request->may_have_run++;
	assert_true(sent->deadline_ms >= 0);
	assert_true(sent->at_us + sent->deadline_ms * 1000 <=
		    request->end_us + TEST_MS);
}

static void check_answer(struct world *world, const struct test_answer *answer)
{
	struct request *request = find(world, answer->request);

	if (!request)
		return; /* turned away: it has no attempts */
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
		assert_false(request->gathers);
		break;
	case RR_GATE_MERGED_ANSWER:
		assert_true(request->gathers);
		assert_true(answer->missing <= 1);
		break;
	}
	assert_true(answer->at_us <= request->end_us + TEST_MS);
}

static void check_news(struct world *world)
{
	struct gate_fixture *scene = world->scene;

	while (world->sent_seen < scene->attempts->len)
		check_sent(world, test_attempt_at(scene, world->sent_seen++));
	while (world->answers_seen < scene->answers->len)
		check_answer(world, g_ptr_array_index(scene->answers,
						      world->answers_seen++));
}

/* The id is known only after the call, which may answer or send already. */
static void take(struct world *world)
{
	static const char *const paths[] = { "/once/1", "/often/1",
					     "/search/1" };
	uint32_t kind = draw(world, 3);
	int64_t deadline_ms = 50 + draw(world, 900);
	struct request *request = g_new0(struct request, 1);
	int64_t timeout_ms = kind == 2 ? 600 : 1000;
	uint64_t *key = g_new(uint64_t, 1);

	request->open = true;
	request->once = kind == 0;
	request->gathers = kind == 2;
	request->max_attempts = 2;
	request->end_us =
		world->scene->now_us + MIN(deadline_ms, timeout_ms) * TEST_MS;
	/* Replicas may be told of the caller's own deadline. */
	if (deadline_ms > timeout_ms)
		request->end_us = world->scene->now_us + deadline_ms * TEST_MS;
	request->per_service = g_hash_table_new(NULL, NULL);
	world->asked++;
	*key = test_submit(world->scene, paths[kind], deadline_ms);
	g_hash_table_insert(world->requests, key, request);
}

static void reply(struct world *world)
{
	static const enum rr_gate_outcome outcomes[] = {
		RR_GATE_ANSWERED, RR_GATE_ANSWERED, RR_GATE_ANSWERED,
		RR_GATE_ANSWERED, RR_GATE_REJECTED, RR_GATE_UNSENT,
		RR_GATE_BROKEN,	  RR_GATE_NO_REPLY,
	};
	struct gate_fixture *scene = world->scene;
	enum rr_gate_outcome outcome =
		outcomes[draw(world, G_N_ELEMENTS(outcomes))];
	uint16_t status =
		outcome == RR_GATE_ANSWERED ? (draw(world, 10) ? 200 : 500) : 0;
	guint from = scene->attempts->len > 40 ? scene->attempts->len - 40 : 0;

	for (guint i = from; i < scene->attempts->len; i++) {
		struct test_sent_attempt *sent = test_attempt_at(scene, i);
		struct request *request = find(world, sent->request);

		if (sent->replied || sent->cancelled || draw(world, 3))
			continue;
		if (outcome == RR_GATE_REJECTED || outcome == RR_GATE_UNSENT) {
			gpointer key = GUINT_TO_POINTER(
				(guint)(sent->endpoint[1] - '0'));
			guint count = GPOINTER_TO_UINT(
				g_hash_table_lookup(request->per_service, key));

			g_hash_table_insert(request->per_service, key,
					    GUINT_TO_POINTER(count - 1));
			request->may_have_run--;
		}
		test_reply(scene, sent, outcome, status);
		return;
	}
}

static void leave(struct world *world)
{
	struct gate_fixture *scene = world->scene;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, world->requests);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct request *request = value;

		if (!request->open || request->left || draw(world, 4))
			continue;
		request->left = true;
		if (draw(world, 2)) {
			rr_gate_half_close(scene->ctx, scene->gate,
					   scene->now_us, *(uint64_t *)key);
			return;
		}
		request->open = false;
		rr_gate_abandon(scene->ctx, scene->gate, scene->now_us,
				*(uint64_t *)key);
		return;
	}
}

static gboolean is_over(gpointer key, gpointer value, gpointer data)
{
	return !((struct request *)value)->open;
}

/* Old requests and attempts go, or the run would be quadratic. */
static void clean_up(struct world *world)
{
	if (world->scene->attempts->len < 4000)
		return;
	check_news(world);
	test_advance_time(world->scene, 2000 * TEST_MS);
	check_news(world);
	for (guint i = 0; i < world->scene->attempts->len; i++) {
		struct test_sent_attempt *sent =
			test_attempt_at(world->scene, i);

		if (!sent->replied && !sent->cancelled)
			test_reply(world->scene, sent, RR_GATE_NO_REPLY, 0);
	}
	check_news(world);
	assert_int_equal(rr_gate_count_requests(world->scene->gate), 0);
	g_hash_table_foreach_remove(world->requests, is_over, NULL);
	assert_int_equal(g_hash_table_size(world->requests), 0);
	g_ptr_array_set_size(world->scene->attempts, 0);
	g_ptr_array_set_size(world->scene->answers, 0);
	world->sent_seen = 0;
	world->answers_seen = 0;
}

static void probe_outcome(struct world *world)
{
	struct gate_fixture *scene = world->scene;
	char *id;

	if (!scene->probes->len)
		return;
	id = g_strdup(g_ptr_array_index(scene->probes, 0));
	g_ptr_array_remove_index(scene->probes, 0);
	rr_gate_handle_probe_result(scene->ctx, scene->gate, scene->now_us, id,
				    draw(world, 2));
	g_free(id);
}

static void step(struct world *world)
{
	uint32_t service = draw(world, SERVICES);
	uint32_t replica = draw(world, REPLICAS);
	uint32_t what = draw(world, 1000);

	if (what < 250)
		take(world);
	else if (what < 850)
		reply(world);
	else if (what < 960)
		test_advance_time(world->scene, draw(world, 20) * TEST_MS);
	else if (what < 980)
		leave(world);
	else if (what < 985)
		probe_outcome(world);
	else if (what < 988)
		set_routes(world);
	else if (what < 990)
		unlist(world, service, replica);
	else if (what < 997 && !world->draining[service][replica])
		list(world, service, replica, false);
	else if (what == 997)
		list_earlier(world, service, replica);
	else if (what == 998)
		bear_again(world, service, replica);
	else if (what == 999 && !draw(world, 10))
		list(world, service, replica, true);
	check_news(world);
	clean_up(world);
}

static void run(uint32_t seed, int steps)
{
	struct world world = { .scene = test_new_gate(seed) };

	world.rand = g_rand_new_with_seed(seed);
	world.requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, free_request);
	set_routes(&world);
	for (uint32_t i = 0; i < SERVICES; i++) {
		for (uint32_t j = 0; j < REPLICAS; j++) {
			world.born_ms[i][j] = FIRST_BORN_MS;
			list(&world, i, j, false);
		}
	}
	for (int i = 0; i < steps; i++)
		step(&world);
	g_hash_table_unref(world.requests);
	g_rand_free(world.rand);
	test_free_gate(world.scene);
}

static void test_seeds(void **state)
{
	for (uint32_t seed = 1; seed <= 12; seed++)
		run(seed, 40000);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_seeds),
	};

	if (argc == 3) {
		run((uint32_t)atoi(argv[1]), atoi(argv[2]));
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
