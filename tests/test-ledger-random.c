/*
 * test-ledger-random.c - two ledgers on one store in virtual time, with
 * crashes, pauses, clock steps and all outcomes of a store call.
 *
 * The checks compare the executions at the fake upstream with the contents of
 * the store and do not rely on the ledgers' own state. `--seed N --steps N`
 * repeats one run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ragwort/ledger.h"
#include "support/fake-store.h"
#include "wire/ledger-value.h"

#define INSTANCES 2
#define BUCKETS 2
#define RETENTION_S 600
/*
 * All keys are used within 24 minutes, slightly longer than entries are kept.
 */
#define SLICE_S 1
#define SLICES 1440
#define TIMEOUT_MS 200
#define RECENT_IDS 12
#define MAX_PAUSE_US 30000000
#define WALL_START_US (1700000000 * (int64_t)G_USEC_PER_SEC)

/* State of one request id at the fake upstream and in the test. */
struct request {
	char *id;
	uint32_t runs;
	uint32_t holders; /* claims acquired and not released */
	bool recorded;
};

struct submission {
	uint64_t claim;
	struct request *request;
	uint64_t fingerprint;
	bool reported;
	enum rr_claim_status status;
	const char *reason; /* static */
};

struct queued_reply {
	struct rr_store_reply reply;
	char *value;
};

struct instance {
	struct simulation *simulation;
	char name[8];
	struct rr_context *ctx;
	struct rr_ledger *ledger;
	struct fake_client *client;
	uint64_t incarnation;
	uint64_t next_call_id;
	int64_t paused_until_us;
	int64_t clock_error_us;
	GHashTable *submissions; /* claim id to struct submission */
	GQueue acquired;	 /* struct submission, acquired */
	GQueue replies;		 /* struct queued_reply, while paused */
};

struct simulation {
	GRand *random;
	struct fake_store *store;
	struct instance instances[INSTANCES];
	GPtrArray *requests;
	GPtrArray *clients;
	/*
	 * The store is restored from copies; the instances' clocks are right,
	 * since the floor of a new era depends on them.
	 */
	bool has_restores;
	uint64_t restores;
	uint64_t outcomes[RR_CLAIM_UNRESOLVED + 1];
	uint64_t crashes;
	uint64_t pauses;
	uint64_t late_effects;
};

static int random_below(struct simulation *simulation, int limit)
{
	return g_rand_int_range(simulation->random, 0, limit);
}

static int64_t wall_us(const struct instance *instance)
{
	return WALL_START_US + instance->simulation->store->now_us +
	       instance->clock_error_us;
}

static void handle_claimed(void *data, const struct rr_claim_result *result)
{
	struct instance *instance = data;
	struct submission *submission;
	char *expected;

	submission =
		g_hash_table_lookup(instance->submissions, &result->claim_id);
	assert_non_null(submission);
	assert_false(submission->reported);
	submission->reported = true;
	submission->status = result->status;
	submission->reason = result->reason;
	instance->simulation->outcomes[result->status]++;
	if (result->status == RR_CLAIM_ACQUIRED) {
		assert_int_equal(submission->request->holders, 0);
		assert_int_equal(submission->request->runs, 0);
		submission->request->holders++;
		g_queue_push_tail(&instance->acquired, submission);
	} else if (result->status == RR_CLAIM_DONE) {
		expected = g_strdup_printf("\"%s\"", submission->request->id);
		assert_int_equal(submission->request->runs, 1);
		assert_int_equal(result->result_length, strlen(expected));
		assert_memory_equal(result->result, expected, strlen(expected));
		g_free(expected);
	}
}

static bool is_paused(const struct instance *instance)
{
	return instance->paused_until_us > instance->simulation->store->now_us;
}

static void handle_store_reply(void *data, const struct rr_store_reply *reply)
{
	struct instance *instance = data;
	struct queued_reply *queued;

	if (!is_paused(instance) && !instance->replies.length) {
		rr_handle_ledger_reply(instance->ctx, instance->ledger,
				       instance->simulation->store->now_us,
				       reply);
		return;
	}
	queued = g_new(struct queued_reply, 1);
	queued->reply = *reply;
	queued->value = g_memdup2(reply->value, reply->length);
	queued->reply.value = queued->value;
	g_queue_push_tail(&instance->replies, queued);
}

static void start_instance(struct instance *instance)
{
	struct simulation *simulation = instance->simulation;
	struct fake_client *client = g_new0(struct fake_client, 1);
	struct rr_ledger_options options = {
		.instance = instance->name,
		.incarnation = ++instance->incarnation,
		.buckets = BUCKETS,
		.time_slice_s = SLICE_S,
		.retention_s = RETENTION_S,
		.call_timeout_ms = TIMEOUT_MS,
		.claimed = handle_claimed,
		.data = instance,
		.next_call_id = &instance->next_call_id,
	};

	client->store = simulation->store;
	client->reply = handle_store_reply;
	client->data = instance;
	g_ptr_array_add(simulation->clients, client);
	instance->client = client;
	options.store = fake_client_port(client);
	instance->ledger = rr_new_ledger(instance->ctx, &options);
	instance->submissions = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
}

static void free_queued_reply(gpointer data)
{
	struct queued_reply *queued = data;

	g_free(queued->value);
	g_free(queued);
}

static void stop_instance(struct instance *instance)
{
	instance->client->reply = NULL;
	instance->paused_until_us = 0;
	rr_drop_ledger(instance->ledger);
	g_hash_table_destroy(instance->submissions);
	g_queue_clear(&instance->acquired);
	g_queue_clear_full(&instance->replies, free_queued_reply);
}

static void free_request(gpointer data)
{
	struct request *request = data;

	g_free(request->id);
	g_free(request);
}

static struct simulation *new_simulation(uint32_t seed, bool has_restores)
{
	struct simulation *simulation = g_new0(struct simulation, 1);

	simulation->random = g_rand_new_with_seed(seed);
	simulation->store = new_fake_store(seed + 1);
	simulation->store->max_late_us = 3000000;
	simulation->has_restores = has_restores;
	simulation->store->era = has_restores ? 1 : 0;
	simulation->requests = g_ptr_array_new_with_free_func(free_request);
	simulation->clients = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < INSTANCES; i++) {
		struct instance *instance = &simulation->instances[i];
		struct rr_context_options options = { .seed = seed + 2 + i };

		instance->simulation = simulation;
		g_snprintf(instance->name, sizeof(instance->name), "i-%d", i);
		instance->ctx = rr_new_context(&options);
		instance->next_call_id = 1;
		start_instance(instance);
	}
	return simulation;
}

static void drop_simulation(struct simulation *simulation)
{
	for (int i = 0; i < INSTANCES; i++) {
		stop_instance(&simulation->instances[i]);
		rr_drop_context(simulation->instances[i].ctx);
	}
	drop_fake_store(simulation->store);
	g_ptr_array_unref(simulation->requests);
	g_ptr_array_unref(simulation->clients);
	g_rand_free(simulation->random);
	g_free(simulation);
}

static void resume_instance(struct instance *instance)
{
	struct queued_reply *queued;
	int64_t now_us = instance->simulation->store->now_us;

	/* A process that resumes sees its timers and replies in any order. */
	if (random_below(instance->simulation, 2))
		rr_tick_ledger(instance->ctx, instance->ledger, now_us);
	while ((queued = g_queue_pop_head(&instance->replies))) {
		rr_handle_ledger_reply(instance->ctx, instance->ledger, now_us,
				       &queued->reply);
		free_queued_reply(queued);
	}
}

static void tick_instance(struct instance *instance)
{
	int64_t now_us = instance->simulation->store->now_us;

	if (is_paused(instance))
		return;
	if (instance->replies.length)
		resume_instance(instance);
	if (rr_ledger_wake_us(instance->ledger) <= now_us)
		rr_tick_ledger(instance->ctx, instance->ledger, now_us);
}

static int64_t next_due_us(struct simulation *simulation)
{
	int64_t due_us = fake_store_due_us(simulation->store);

	for (int i = 0; i < INSTANCES; i++) {
		struct instance *instance = &simulation->instances[i];
		int64_t wake_us = rr_ledger_wake_us(instance->ledger);

		wake_us = MAX(wake_us, instance->paused_until_us);
		if (instance->replies.length)
			wake_us = instance->paused_until_us;
		due_us = MIN(due_us, wake_us);
	}
	return due_us;
}

static void advance(struct simulation *simulation, int64_t until_us)
{
	while (next_due_us(simulation) <= until_us) {
		int64_t due_us = next_due_us(simulation);

		if (fake_store_due_us(simulation->store) <= due_us)
			run_fake_store_event(simulation->store);
		simulation->store->now_us =
			MAX(simulation->store->now_us, due_us);
		for (int i = 0; i < INSTANCES; i++)
			tick_instance(&simulation->instances[i]);
	}
	simulation->store->now_us = MAX(simulation->store->now_us, until_us);
	for (int i = 0; i < INSTANCES; i++)
		tick_instance(&simulation->instances[i]);
}

static struct request *pick_request(struct simulation *simulation)
{
	struct request *request;
	GPtrArray *requests = simulation->requests;
	int64_t created_s =
		(WALL_START_US + simulation->store->now_us) / G_USEC_PER_SEC;

	/* Usually a recent id, sometimes an old one whose entry was pruned. */
	if (requests->len && random_below(simulation, 3)) {
		int recent = (int)MIN(requests->len, RECENT_IDS);
		int age = random_below(simulation, random_below(simulation, 8) ?
							   recent :
							   (int)requests->len);

		return requests->pdata[requests->len - 1 - age];
	}
	request = g_new0(struct request, 1);
	request->id = g_strdup_printf("%" G_GINT64_FORMAT "-request-%u",
				      created_s - random_below(simulation, 60),
				      requests->len);
	g_ptr_array_add(requests, request);
	return request;
}

static void submit(struct simulation *simulation, struct instance *instance)
{
	struct submission *submission = g_new0(struct submission, 1);

	submission->request = pick_request(simulation);
	submission->fingerprint = random_below(simulation, 50) ? 1 : 2;
	submission->claim = rr_claim_request_id(
		instance->ctx, instance->ledger, simulation->store->now_us,
		wall_us(instance), "invoicing", submission->request->id,
		submission->fingerprint);
	g_hash_table_insert(instance->submissions, &submission->claim,
			    submission);
}

/*
 * Finish an acquired claim: the request ran, was rejected, or its outcome is
 * unknown.
 */
static void finish_claim(struct simulation *simulation,
			 struct instance *instance)
{
	struct submission *submission = g_queue_pop_head(&instance->acquired);
	struct request *request;
	char *result;

	if (!submission)
		return;
	request = submission->request;
	if (!random_below(simulation, 4)) {
		request->holders--;
		rr_release_claim(instance->ctx, instance->ledger,
				 simulation->store->now_us, submission->claim);
		return;
	}
	if (random_below(simulation, 8)) {
		request->runs++;
		assert_int_equal(request->runs, 1);
	}
	if (!request->runs || !random_below(simulation, 5)) {
		rr_abandon_claim(instance->ctx, instance->ledger,
				 submission->claim);
		return;
	}
	result = g_strdup_printf("\"%s\"", request->id);
	rr_record_claim_result(instance->ctx, instance->ledger,
			       simulation->store->now_us, submission->claim,
			       result, strlen(result));
	request->recorded = true;
	g_free(result);
}

static void set_store_faults(struct simulation *simulation)
{
	struct fake_store *store = simulation->store;
	int fault_kind = random_below(simulation, 10);

	memset(store->per_mille, 0, sizeof(store->per_mille));
	store->max_delay_us = 2500;
	if (fault_kind == 1)
		store->per_mille[FAKE_UNAVAILABLE] = 1000;
	if (fault_kind == 2)
		store->max_delay_us = 300000;
	if (fault_kind < 6)
		return;
	store->per_mille[FAKE_UNAVAILABLE] = random_below(simulation, 200);
	store->per_mille[FAKE_LOST_AFTER_EFFECT] =
		random_below(simulation, 300);
	store->per_mille[FAKE_LOST_WITHOUT_EFFECT] =
		random_below(simulation, 200);
	store->per_mille[FAKE_LATE_EFFECT] = random_below(simulation, 300);
}

/* Copy the store, or restore it from the copy made before. */
static void copy_or_restore_store(struct simulation *simulation)
{
	if (!simulation->store->copy || !random_below(simulation, 3)) {
		copy_fake_store(simulation->store);
		return;
	}
	restore_fake_store(simulation->store);
	simulation->restores++;
}

static void inject_fault(struct simulation *simulation,
			 struct instance *instance)
{
	switch (random_below(simulation, 14)) {
	case 0:
		stop_instance(instance);
		start_instance(instance);
		simulation->crashes++;
		break;
	case 1:
		instance->paused_until_us =
			simulation->store->now_us +
			random_below(simulation, MAX_PAUSE_US);
		simulation->pauses++;
		break;
	case 2:
		if (simulation->has_restores)
			break;
		instance->clock_error_us =
			(random_below(simulation, 7200) - 3600) *
			(int64_t)G_USEC_PER_SEC /
			(1 + random_below(simulation, 10));
		break;
	case 3:
	case 6:
		instance->clock_error_us = 0;
		break;
	case 5:
		advance(simulation,
			simulation->store->now_us +
				(int64_t)random_below(simulation, 1000) *
					G_USEC_PER_SEC);
		break;
	case 7:
	case 8:
		if (simulation->has_restores)
			copy_or_restore_store(simulation);
		break;
	default:
		set_store_faults(simulation);
	}
}

static void step(struct simulation *simulation)
{
	struct instance *instance =
		&simulation->instances[random_below(simulation, INSTANCES)];
	int choice = random_below(simulation, 100);

	if (!is_paused(instance)) {
		if (choice < 45)
			submit(simulation, instance);
		else if (choice < 70)
			finish_claim(simulation, instance);
	}
	if (choice == 99)
		inject_fault(simulation, instance);
	if (choice >= 30)
		advance(simulation, simulation->store->now_us +
					    random_below(simulation, 6000));
}

/*
 * Check an entry against the claim it belongs to. The entry of a claim that a
 * live instance no longer holds (rejected, unresolved or released) would block
 * its id for ever although nothing runs for it.
 */
static void check_entry(struct simulation *simulation,
			const struct rr_ledger_entry *entry)
{
	for (int i = 0; i < INSTANCES; i++) {
		struct instance *instance = &simulation->instances[i];
		struct submission *submission;

		if (strcmp(instance->name, entry->instance) != 0 ||
		    instance->incarnation != entry->incarnation)
			continue;
		submission = g_hash_table_lookup(instance->submissions,
						 &entry->sequence);
		assert_non_null(submission);
		if (submission->status != RR_CLAIM_ACQUIRED)
			fail_msg("entry %s of %s remains; claim status %d (%s)",
				 entry->name, entry->instance,
				 submission->status, submission->reason);
		assert_int_equal(submission->request->holders, 1);
		assert_true(entry->done <= submission->request->recorded);
	}
}

static void check_store(struct simulation *simulation)
{
	for (int i = 0; i < BUCKETS * SLICES; i++) {
		char *key =
			g_strdup_printf("ledger/%d/%d", i / SLICES, i % SLICES);
		uint64_t revision;
		size_t length;
		const char *bytes = get_fake_value(simulation->store, key,
						   &length, &revision);
		struct rr_ledger_value *value;
		GHashTableIter iter;
		gpointer entry;

		g_free(key);
		if (!bytes)
			continue;
		value = rr_decode_ledger_value(bytes, length, NULL);
		assert_non_null(value);
		g_hash_table_iter_init(&iter, value->entries);
		while (g_hash_table_iter_next(&iter, NULL, &entry))
			check_entry(simulation, entry);
		rr_drop_ledger_value(value);
	}
}

static void check_all_reported(struct simulation *simulation)
{
	for (int i = 0; i < INSTANCES; i++) {
		struct instance *instance = &simulation->instances[i];
		GHashTableIter iter;
		gpointer data;

		assert_true(rr_ledger_is_idle(instance->ledger));
		g_hash_table_iter_init(&iter, instance->submissions);
		while (g_hash_table_iter_next(&iter, NULL, &data)) {
			struct submission *submission = data;

			assert_true(submission->reported);
		}
	}
}

/*
 * Run without store faults, which resolves all claims within seconds, and
 * check.
 */
static void settle_and_check(struct simulation *simulation)
{
	memset(simulation->store->per_mille, 0,
	       sizeof(simulation->store->per_mille));
	simulation->store->max_delay_us = 2500;
	advance(simulation,
		simulation->store->now_us + MAX_PAUSE_US + 20000000);
	check_all_reported(simulation);
	/* A restore brings entries back that were removed. */
	if (!simulation->has_restores)
		check_store(simulation);
}

static void run_random(uint32_t seed, uint64_t steps, bool has_restores)
{
	struct simulation *simulation = new_simulation(seed, has_restores);

	for (uint64_t i = 0; i < steps; i++) {
		step(simulation);
		if (i % 5000 == 4999)
			settle_and_check(simulation);
	}
	settle_and_check(simulation);
	printf("ledger: ok seed=%u steps=%" G_GUINT64_FORMAT
	       " ours=%" G_GUINT64_FORMAT " done=%" G_GUINT64_FORMAT
	       " held=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
	       " unsettled=%" G_GUINT64_FORMAT " crashes=%" G_GUINT64_FORMAT
	       " freezes=%" G_GUINT64_FORMAT " store_writes=%" G_GUINT64_FORMAT
	       " conflicts=%" G_GUINT64_FORMAT " restores=%" G_GUINT64_FORMAT
	       "\n",
	       seed, steps, simulation->outcomes[RR_CLAIM_ACQUIRED],
	       simulation->outcomes[RR_CLAIM_DONE],
	       simulation->outcomes[RR_CLAIM_HELD],
	       simulation->outcomes[RR_CLAIM_REJECTED],
	       simulation->outcomes[RR_CLAIM_UNRESOLVED], simulation->crashes,
	       simulation->pauses, simulation->store->writes,
	       simulation->store->conflicts, simulation->restores);
	assert_true(simulation->outcomes[RR_CLAIM_ACQUIRED] > steps / 1000);
	drop_simulation(simulation);
}

static uint32_t only_seed;
static uint64_t only_steps;

/*
 * Guards against running one reservation twice, for example billing a customer
 * twice. The first attempt's claim took effect but its reply was lost, or the
 * claimant was paused beyond every time-out, crashed, or had a wrong clock; the
 * second attempt then goes to another instance, which must not consider the
 * first claim absent or abandoned.
 */
static void test_random_faults(void **state)
{
	static const uint32_t seeds[] = { 1, 2, 3, 4, 5, 6, 7, 8 };

	(void)state;
	if (only_steps) {
		run_random(only_seed, only_steps, false);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		run_random(seeds[i], 20000, false);
}

/*
 * Guards against a reservation that runs again since a restore of the store has
 * lost its claim, or since a write that is based on the era before removes it.
 */
static void test_random_restores(void **state)
{
	static const uint32_t seeds[] = { 101, 102, 103, 104, 105, 106 };

	(void)state;
	if (only_steps) {
		run_random(only_seed, only_steps, true);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		run_random(seeds[i], 20000, true);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_faults),
		cmocka_unit_test(test_random_restores),
	};

	for (int i = 1; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--seed"))
			only_seed = (uint32_t)g_ascii_strtoull(argv[i + 1],
							       NULL, 10);
		if (!strcmp(argv[i], "--steps"))
			only_steps = g_ascii_strtoull(argv[i + 1], NULL, 10);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
