/*
 * test-push.c - tests of configuration pushes to a store that fails.
 *
 * `--seed N --steps N` repeats one random run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ragwort/push.h"
#include "ragwort/record.h"
#include "ragwort/settings.h"
#include "support/fake-store.h"

#define BASE                       \
	"services:\n"              \
	"  - name: banco\n"        \
	"    shards:\n"            \
	"      - name: banco-01\n" \
	"        keys: [0, 100]\n" \
	"        replicas:\n"      \
	"          - {id: banco-01-a, zone: sala, address: 127.0.0.1:1}\n"
#define MAX_TRIES 6
#define N_EDITORS 3

/* One editor's push and its call to the store. */
struct editor {
	struct fake_client client;
	struct rr_context *ctx;
	struct rr_push *push;
	uint64_t last_call;
	bool waiting;	 /* for a reply */
	int64_t wake_us; /* time of the next step */
};

static void handle_reply(void *data, const struct rr_store_reply *reply)
{
	struct editor *editor = data;

	assert_true(editor->waiting);
	editor->waiting = false;
	rr_handle_push_reply(editor->ctx, editor->push, reply);
}

static void init_editor(struct editor *editor, struct fake_store *store)
{
	editor->client = (struct fake_client){ store, handle_reply, editor };
	editor->ctx = rr_new_context(NULL);
}

static void clear_editor(struct editor *editor)
{
	editor->client.reply = NULL;
	rr_drop_push(editor->push);
	rr_drop_context(editor->ctx);
}

static void start_push_with(struct editor *editor,
			    const struct rr_push_options *options)
{
	rr_drop_push(editor->push);
	editor->push = rr_new_push(editor->ctx, options);
	editor->wake_us = 0;
}

static void start_push(struct editor *editor, const char *file,
		       const char *text, uint64_t base_revision,
		       const char *change_id)
{
	const struct rr_push_options options = {
		.file = file,
		.text = text,
		.base_revision = base_revision,
		.change_id = change_id,
		.author = "anna",
		.when_s = 1700000000,
		.max_tries = MAX_TRIES,
	};

	start_push_with(editor, &options);
}

/* Run the steps that are due; returns whether the push has ended. */
static bool run_due_steps(struct editor *editor)
{
	struct fake_store *store = editor->client.store;
	struct rr_store_port port = fake_client_port(&editor->client);
	struct rr_push_step step;

	while (!editor->waiting && store->now_us >= editor->wake_us) {
		if (rr_push_step(editor->push, &step))
			return true;
		if (step.action == RR_PUSH_WAIT) {
			editor->wake_us =
				store->now_us + (int64_t)step.wait_ms * 1000;
			continue;
		}
		editor->waiting = true;
		if (step.action == RR_PUSH_READ)
			port.get(port.data, ++editor->last_call, step.key);
		else
			port.compare_and_swap(port.data, ++editor->last_call,
					      step.key, step.revision,
					      step.value, step.length, NULL);
	}
	return false;
}

static enum rr_push_status run_push(struct editor *editor)
{
	struct fake_store *store = editor->client.store;

	while (!run_due_steps(editor)) {
		if (editor->waiting)
			run_fake_store_event(store);
		else
			store->now_us = editor->wake_us;
	}
	return rr_push_result(editor->push)->status;
}

static struct rr_config_record *peek_record(struct fake_store *store)
{
	uint64_t revision;
	size_t length;
	const char *text =
		get_fake_value(store, RR_CONFIG_RECORD_KEY, &length, &revision);
	struct rr_config_record *record;

	if (!text)
		return rr_new_config_record();
	record = rr_decode_config_record(text, length, NULL);
	assert_non_null(record);
	return record;
}

struct fixture {
	struct fake_store *store;
	struct editor a;
	struct editor b;
};

/* Create a store that holds a base file at revision 1. */
static int set_up(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);

	fixture->store = new_fake_store(1);
	init_editor(&fixture->a, fixture->store);
	init_editor(&fixture->b, fixture->store);
	start_push(&fixture->a, RR_CONFIG_BASE_FILE, BASE, 0, "c-1");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_ACCEPTED);
	assert_int_equal(rr_push_result(fixture->a.push)->revision, 1);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *fixture = *state;

	clear_editor(&fixture->a);
	clear_editor(&fixture->b);
	drop_fake_store(fixture->store);
	g_free(fixture);
	return 0;
}

static void assert_file(struct fixture *fixture, const char *file,
			const char *text, uint64_t revision)
{
	struct rr_config_record *record = peek_record(fixture->store);

	if (text)
		assert_string_equal(rr_config_file_text(record, file), text);
	else
		assert_null(rr_config_file_text(record, file));
	assert_int_equal(rr_config_record_revision(record), revision);
	rr_drop_config_record(record);
}

/*
 * Guards against a lost update.  An editor's change takes effect and is then
 * undone by the push of another site's editor, who read the record before the
 * change and writes it back whole after it.
 */
static void test_racing_edits(void **state)
{
	struct fixture *fixture = *state;
	const struct rr_push_result *result;

	start_push(&fixture->a, "sala", "owners_per_replica: 3\n", 0, "c-2");
	start_push(&fixture->b, "athi", "owners_per_replica: 4\n", 0, "c-3");
	run_due_steps(&fixture->a);
	assert_int_equal(run_push(&fixture->b), RR_PUSH_ACCEPTED);
	assert_int_equal(run_push(&fixture->a), RR_PUSH_ACCEPTED);
	assert_file(fixture, "sala", "owners_per_replica: 3\n", 3);
	assert_file(fixture, "athi", "owners_per_replica: 4\n", 3);
	start_push(&fixture->b, "sala", "owners_per_replica: 5\n", 1, "c-4");
	assert_int_equal(run_push(&fixture->b), RR_PUSH_CONFLICT);
	result = rr_push_result(fixture->b.push);
	assert_non_null(strstr(result->message, "sala was changed"));
	assert_non_null(strstr(result->message, "revision 3 by anna (c-2)"));
	assert_file(fixture, "sala", "owners_per_replica: 3\n", 3);
	start_push(&fixture->b, "sala", NULL, 3, "c-5");
	assert_int_equal(run_push(&fixture->b), RR_PUSH_ACCEPTED);
	assert_file(fixture, "sala", NULL, 4);
}

static void test_lost_reply_is_resolved(void **state)
{
	struct fixture *fixture = *state;

	fixture->store->next_outcome = FAKE_LOST_AFTER_EFFECT;
	fixture->store->n_next_outcomes = 1;
	start_push(&fixture->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_ACCEPTED);
	assert_int_equal(rr_push_result(fixture->a.push)->revision, 2);
	assert_int_equal(fixture->store->writes, 2);
	assert_file(fixture, "sala", "owners_per_replica: 3\n", 2);
}

/*
 * Guards against a push that reports "nothing was written" but takes effect
 * later.  The swap gets no reply, a read returns the old record and then the
 * store goes down.  The read is no proof, as the swap may still be in flight.
 */
static void test_late_write_is_not_reported_unwritten(void **state)
{
	struct fixture *fixture = *state;

	fixture->store->max_late_us = 60000000;
	fixture->store->next_outcome = FAKE_LATE_EFFECT;
	fixture->store->n_next_outcomes = 1;
	start_push(&fixture->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	while (fixture->store->writes < 2) {
		run_due_steps(&fixture->a);
		run_fake_store_event(fixture->store);
	}
	fixture->store->next_outcome = FAKE_UNAVAILABLE;
	fixture->store->n_next_outcomes = MAX_TRIES;
	assert_int_equal(run_push(&fixture->a), RR_PUSH_UNRESOLVED);
	while (fake_store_due_us(fixture->store) < INT64_MAX)
		run_fake_store_event(fixture->store);
	assert_file(fixture, "sala", "owners_per_replica: 3\n", 2);
	/* As the message says: a retry with the same id finds the change. */
	fixture->store->n_next_outcomes = 0;
	start_push(&fixture->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_ACCEPTED);
	assert_file(fixture, "sala", "owners_per_replica: 3\n", 2);
}

static void test_store_down(void **state)
{
	struct fixture *fixture = *state;

	fixture->store->per_mille[FAKE_UNAVAILABLE] = 1000;
	start_push(&fixture->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_UNAVAILABLE);
	assert_file(fixture, "sala", NULL, 1);
}

static void test_invalid_is_not_written(void **state)
{
	struct fixture *fixture = *state;

	start_push(&fixture->a, "sala", "nonsense: 1\n", 1, "c-2");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_INVALID);
	assert_true(rr_push_result(fixture->a.push)->diagnostics->len > 0);
	start_push(&fixture->a, "no/name", "", 1, "c-3");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_INVALID);
	start_push(&fixture->a, RR_CONFIG_BASE_FILE, NULL, 1, "c-4");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_INVALID);
	start_push(&fixture->a, RR_CONFIG_BASE_FILE,
		   "ledger_buckets: 32\n" BASE, 1, "c-5");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_INVALID);
	assert_non_null(strstr(rr_push_result(fixture->a.push)->message,
			       "ledger_buckets"));
	assert_file(fixture, RR_CONFIG_BASE_FILE, BASE, 1);
}

static void test_bad_record_is_not_overwritten(void **state)
{
	struct fixture *fixture = *state;

	/* The record is older than the edited one: the store lost changes. */
	start_push(&fixture->a, "sala", "owners_per_replica: 3\n", 7, "c-2");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_BAD_RECORD);
	set_fake_value(fixture->store, RR_CONFIG_RECORD_KEY, "nonsense", 8);
	start_push(&fixture->a, "sala", "owners_per_replica: 3\n", 1, "c-3");
	assert_int_equal(run_push(&fixture->a), RR_PUSH_BAD_RECORD);
	assert_int_equal(fixture->store->writes, 1);
}

/* Expected state of one change id. */
struct change {
	char *id;
	char *file;
	char *text;
	uint64_t base_revision;
	uint64_t revision;	 /* of the record that has it; 0: none */
	bool reported_unwritten; /* the push ended as not written */
};

struct simulation {
	GRand *random;
	struct fake_store *store;
	struct editor editors[N_EDITORS];
	struct change *current[N_EDITORS];
	GHashTable *changes;
	struct rr_config_record *last_record;
	uint64_t key_revision;
	uint64_t status_counts[RR_PUSH_BAD_RECORD + 1];
};

static int random_below(struct simulation *simulation, int limit)
{
	return g_rand_int_range(simulation->random, 0, limit);
}

static void free_change(gpointer data)
{
	struct change *change = data;

	g_free(change->id);
	g_free(change->file);
	g_free(change->text);
	g_free(change);
}

static bool same_text(const char *a, const char *b)
{
	return a && b ? !strcmp(a, b) : a == b;
}

/*
 * Check that each new record in the store has exactly one new change, that the
 * change is of a known push, appears once, has the right base and text, and was
 * not reported as unwritten.
 */
static void check_store(struct simulation *simulation)
{
	const struct rr_config_change *changes;
	struct rr_config_record *record;
	struct change *change;
	uint64_t revision;
	size_t length;

	get_fake_value(simulation->store, RR_CONFIG_RECORD_KEY, &length,
		       &revision);
	if (revision == simulation->key_revision)
		return;
	assert_int_equal(revision, simulation->key_revision + 1);
	simulation->key_revision = revision;
	record = peek_record(simulation->store);
	assert_int_equal(rr_config_record_revision(record),
			 rr_config_record_revision(simulation->last_record) +
				 1);
	assert_true(rr_list_config_changes(record, &changes) > 0);
	change = g_hash_table_lookup(simulation->changes, changes[0].change_id);
	assert_non_null(change);
	assert_int_equal(change->revision, 0);
	assert_false(change->reported_unwritten);
	assert_true(rr_config_file_revision(simulation->last_record,
					    change->file) <=
		    change->base_revision);
	assert_true(same_text(rr_config_file_text(record, change->file),
			      change->text));
	change->revision = rr_config_record_revision(record);
	rr_drop_config_record(simulation->last_record);
	simulation->last_record = record;
}

static char *generate_text(struct simulation *simulation, const char *file)
{
	int kind = random_below(simulation, 20);

	if (kind == 0)
		return g_strdup("nonsense: 1\n");
	if (kind == 1 && strcmp(file, RR_CONFIG_BASE_FILE) != 0)
		return NULL;
	if (strcmp(file, RR_CONFIG_BASE_FILE) != 0)
		return g_strdup_printf("owners_per_replica: %d\n",
				       1 + random_below(simulation, 8));
	return g_strdup_printf("owners_per_replica: %d\n" BASE,
			       1 + random_below(simulation, 8));
}

static void start_change(struct simulation *simulation, int i)
{
	static const char *const files[] = { RR_CONFIG_BASE_FILE, "sala",
					     "athi" };
	struct change *change = g_new0(struct change, 1);

	change->id =
		g_strdup_printf("c-%u", g_hash_table_size(simulation->changes));
	change->file =
		g_strdup(files[random_below(simulation, G_N_ELEMENTS(files))]);
	change->text = generate_text(simulation, change->file);
	change->base_revision =
		rr_config_record_revision(simulation->last_record);
	if (change->base_revision && !random_below(simulation, 4))
		change->base_revision--;
	g_hash_table_insert(simulation->changes, change->id, change);
	simulation->current[i] = change;
	start_push(&simulation->editors[i], change->file, change->text,
		   change->base_revision, change->id);
}

/* Retry with the same change id after RR_PUSH_UNRESOLVED. */
static void retry_change(struct simulation *simulation, int i)
{
	const struct change *change = simulation->current[i];
	const struct rr_push_options options = {
		.file = change->file,
		.text = change->text,
		.base_revision = change->base_revision,
		.change_id = change->id,
		.is_retry = true,
		.author = "anna",
		.max_tries = MAX_TRIES,
	};

	start_push_with(&simulation->editors[i], &options);
}

static void finish_change(struct simulation *simulation, int i)
{
	struct change *change = simulation->current[i];
	const struct rr_push_result *result =
		rr_push_result(simulation->editors[i].push);

	simulation->status_counts[result->status]++;
	if (result->status == RR_PUSH_ACCEPTED) {
		/* The text is in effect, by this change or by an equal one. */
		assert_true(result->revision <=
			    rr_config_record_revision(simulation->last_record));
		if (change->revision)
			assert_int_equal(change->revision, result->revision);
	} else if (result->status == RR_PUSH_UNRESOLVED &&
		   random_below(simulation, 3)) {
		retry_change(simulation, i);
		return;
	} else if (result->status != RR_PUSH_UNRESOLVED) {
		assert_int_equal(change->revision, 0);
		change->reported_unwritten = true;
	}
	simulation->current[i] = NULL;
}

static void change_store_faults(struct simulation *simulation)
{
	struct fake_store *store = simulation->store;

	memset(store->per_mille, 0, sizeof(store->per_mille));
	if (random_below(simulation, 2))
		return;
	store->max_late_us = 2000u << random_below(simulation, 8);
	store->per_mille[FAKE_UNAVAILABLE] = random_below(simulation, 400);
	store->per_mille[FAKE_LOST_AFTER_EFFECT] =
		random_below(simulation, 300);
	store->per_mille[FAKE_LOST_WITHOUT_EFFECT] =
		random_below(simulation, 200);
	store->per_mille[FAKE_LATE_EFFECT] = random_below(simulation, 300);
}

static void run_step(struct simulation *simulation)
{
	int i = random_below(simulation, N_EDITORS);

	if (!simulation->current[i] && !random_below(simulation, 3))
		start_change(simulation, i);
	else if (simulation->current[i] &&
		 run_due_steps(&simulation->editors[i]))
		finish_change(simulation, i);
	if (!random_below(simulation, 200))
		change_store_faults(simulation);
	if (fake_store_due_us(simulation->store) <= simulation->store->now_us) {
		run_fake_store_event(simulation->store);
		check_store(simulation);
	} else {
		simulation->store->now_us += random_below(simulation, 1500);
	}
}

static void run_random(uint32_t seed, uint64_t steps)
{
	struct simulation simulation = { 0 };

	simulation.random = g_rand_new_with_seed(seed);
	simulation.store = new_fake_store(seed);
	simulation.store->max_late_us = 100000;
	simulation.changes = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_change);
	simulation.last_record = rr_new_config_record();
	for (int i = 0; i < N_EDITORS; i++)
		init_editor(&simulation.editors[i], simulation.store);
	for (uint64_t i = 0; i < steps; i++)
		run_step(&simulation);
	printf("push: ok seed=%u steps=%" G_GUINT64_FORMAT
	       " accepted=%" G_GUINT64_FORMAT " changed=%" G_GUINT64_FORMAT
	       " invalid=%" G_GUINT64_FORMAT " unavailable=%" G_GUINT64_FORMAT
	       " unsettled=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
	       "\n",
	       seed, steps, simulation.status_counts[RR_PUSH_ACCEPTED],
	       simulation.status_counts[RR_PUSH_CONFLICT],
	       simulation.status_counts[RR_PUSH_INVALID],
	       simulation.status_counts[RR_PUSH_UNAVAILABLE],
	       simulation.status_counts[RR_PUSH_UNRESOLVED],
	       rr_config_record_revision(simulation.last_record));
	assert_true(rr_config_record_revision(simulation.last_record) >
		    steps / 1000);
	for (int i = 0; i < N_EDITORS; i++)
		clear_editor(&simulation.editors[i]);
	g_hash_table_destroy(simulation.changes);
	rr_drop_config_record(simulation.last_record);
	drop_fake_store(simulation.store);
	g_rand_free(simulation.random);
}

static uint32_t given_seed;
static uint64_t given_steps;

/*
 * Guards against wrong results of concurrent pushes to a store that loses
 * replies: a change reported as accepted that is lost later, or one reported as
 * not written that takes effect.
 */
static void test_random_editors(void **state)
{
	(void)state;
	if (given_steps) {
		run_random(given_seed, given_steps);
		return;
	}
	for (uint32_t seed = 1; seed <= 6; seed++)
		run_random(seed, 20000);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		TEST(test_racing_edits),
		TEST(test_lost_reply_is_resolved),
		TEST(test_late_write_is_not_reported_unwritten),
		TEST(test_store_down),
		TEST(test_invalid_is_not_written),
		TEST(test_bad_record_is_not_overwritten),
		cmocka_unit_test(test_random_editors),
	};

	for (int i = 1; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--seed"))
			given_seed = (uint32_t)g_ascii_strtoull(argv[i + 1],
								NULL, 10);
		if (!strcmp(argv[i], "--steps"))
			given_steps = g_ascii_strtoull(argv[i + 1], NULL, 10);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
