/*
 * test-push.c - pushes of editors at several sites, on a store that fails.
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
#define EDITORS 3

/* One push with the calls it has on the store. */
struct editor {
	struct fake_client client;
	struct rr_context *ctx;
	struct rr_push *push;
	uint64_t last_call;
	bool waiting; /* for a reply */
	int64_t wake_us;
};

static void take_reply(void *data, const struct rr_store_reply *reply)
{
	struct editor *editor = data;

	assert_true(editor->waiting);
	editor->waiting = false;
	rr_handle_push_reply(editor->ctx, editor->push, reply);
}

static void init_editor(struct editor *editor, struct fake_store *store)
{
	editor->client = (struct fake_client){ store, take_reply, editor };
	editor->ctx = rr_new_context(NULL);
}

static void clear_editor(struct editor *editor)
{
	editor->client.reply = NULL;
	rr_drop_push(editor->push);
	rr_drop_context(editor->ctx);
}

static void start_options(struct editor *editor,
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

	start_options(editor, &options);
}

/* Do the next steps of a push; returns whether it has ended. */
static bool drive(struct editor *editor)
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
					      step.value, step.length);
	}
	return false;
}

static enum rr_push_status run_push(struct editor *editor)
{
	struct fake_store *store = editor->client.store;

	while (!drive(editor)) {
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
	const char *text = peek_fake_value(store, RR_CONFIG_RECORD_KEY, &length,
					   &revision);
	struct rr_config_record *record;

	if (!text)
		return rr_new_config_record();
	record = rr_decode_config_record(text, length, NULL);
	assert_non_null(record);
	return record;
}

struct scene {
	struct fake_store *store;
	struct editor a;
	struct editor b;
};

/* The store holds a base file as revision 1. */
static int set_up(void **state)
{
	struct scene *scene = g_new0(struct scene, 1);

	scene->store = new_fake_store(1);
	init_editor(&scene->a, scene->store);
	init_editor(&scene->b, scene->store);
	start_push(&scene->a, RR_CONFIG_BASE_FILE, BASE, 0, "c-1");
	assert_int_equal(run_push(&scene->a), RR_PUSH_ACCEPTED);
	assert_int_equal(rr_push_result(scene->a.push)->revision, 1);
	*state = scene;
	return 0;
}

static int tear_down(void **state)
{
	struct scene *scene = *state;

	clear_editor(&scene->a);
	clear_editor(&scene->b);
	drop_fake_store(scene->store);
	g_free(scene);
	return 0;
}

static void assert_file(struct scene *scene, const char *file, const char *text,
			uint64_t revision)
{
	struct rr_config_record *record = peek_record(scene->store);

	if (text)
		assert_string_equal(rr_config_file_text(record, file), text);
	else
		assert_null(rr_config_file_text(record, file));
	assert_int_equal(rr_config_record_revision(record), revision);
	rr_drop_config_record(record);
}

/*
 * Story: an editor's change was in force for a minute, then gone.  Another
 * site's editor had read the configuration before and pushed after it.
 * Cause: the whole record was written as it had been read.
 */
static void test_racing_edits(void **state)
{
	struct scene *scene = *state;
	const struct rr_push_result *result;

	start_push(&scene->a, "sala", "owners_per_replica: 3\n", 0, "c-2");
	start_push(&scene->b, "athi", "owners_per_replica: 4\n", 0, "c-3");
	drive(&scene->a);
	assert_int_equal(run_push(&scene->b), RR_PUSH_ACCEPTED);
	assert_int_equal(run_push(&scene->a), RR_PUSH_ACCEPTED);
	assert_file(scene, "sala", "owners_per_replica: 3\n", 3);
	assert_file(scene, "athi", "owners_per_replica: 4\n", 3);
	start_push(&scene->b, "sala", "owners_per_replica: 5\n", 1, "c-4");
	assert_int_equal(run_push(&scene->b), RR_PUSH_CONFLICT);
	result = rr_push_result(scene->b.push);
	assert_non_null(strstr(result->message, "sala was changed"));
	assert_non_null(strstr(result->message, "revision 3 by anna (c-2)"));
	assert_file(scene, "sala", "owners_per_replica: 3\n", 3);
	start_push(&scene->b, "sala", NULL, 3, "c-5");
	assert_int_equal(run_push(&scene->b), RR_PUSH_ACCEPTED);
	assert_file(scene, "sala", NULL, 4);
}

static void test_lost_reply_is_settled(void **state)
{
	struct scene *scene = *state;

	scene->store->next_outcome = FAKE_LOST_AFTER_EFFECT;
	scene->store->n_next_outcomes = 1;
	start_push(&scene->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	assert_int_equal(run_push(&scene->a), RR_PUSH_ACCEPTED);
	assert_int_equal(rr_push_result(scene->a.push)->revision, 2);
	assert_int_equal(scene->store->writes, 2);
	assert_file(scene, "sala", "owners_per_replica: 3\n", 2);
}

/*
 * Story: the tool said "nothing was written", the editor went home, and
 * the change came into force a minute later.  The swap had no reply, a read
 * showed the old record, then the store went down.  Cause: the read was
 * taken as proof while the swap was still on its way.
 */
static void test_late_write_is_not_denied(void **state)
{
	struct scene *scene = *state;

	scene->store->max_late_us = 60000000;
	scene->store->next_outcome = FAKE_LATE_EFFECT;
	scene->store->n_next_outcomes = 1;
	start_push(&scene->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	while (scene->store->writes < 2) {
		drive(&scene->a);
		run_fake_store_event(scene->store);
	}
	scene->store->next_outcome = FAKE_UNAVAILABLE;
	scene->store->n_next_outcomes = MAX_TRIES;
	assert_int_equal(run_push(&scene->a), RR_PUSH_UNRESOLVED);
	while (fake_store_due_us(scene->store) < INT64_MAX)
		run_fake_store_event(scene->store);
	assert_file(scene, "sala", "owners_per_replica: 3\n", 2);
	/* As the message says: the same change id again finds it accepted. */
	scene->store->n_next_outcomes = 0;
	start_push(&scene->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	assert_int_equal(run_push(&scene->a), RR_PUSH_ACCEPTED);
	assert_file(scene, "sala", "owners_per_replica: 3\n", 2);
}

static void test_store_down(void **state)
{
	struct scene *scene = *state;

	scene->store->per_mille[FAKE_UNAVAILABLE] = 1000;
	start_push(&scene->a, "sala", "owners_per_replica: 3\n", 1, "c-2");
	assert_int_equal(run_push(&scene->a), RR_PUSH_UNAVAILABLE);
	assert_file(scene, "sala", NULL, 1);
}

static void test_invalid_is_not_written(void **state)
{
	struct scene *scene = *state;

	start_push(&scene->a, "sala", "nonsense: 1\n", 1, "c-2");
	assert_int_equal(run_push(&scene->a), RR_PUSH_INVALID);
	assert_true(rr_push_result(scene->a.push)->diagnostics->len > 0);
	start_push(&scene->a, "no/name", "", 1, "c-3");
	assert_int_equal(run_push(&scene->a), RR_PUSH_INVALID);
	start_push(&scene->a, RR_CONFIG_BASE_FILE, NULL, 1, "c-4");
	assert_int_equal(run_push(&scene->a), RR_PUSH_INVALID);
	start_push(&scene->a, RR_CONFIG_BASE_FILE, "ledger_buckets: 32\n" BASE,
		   1, "c-5");
	assert_int_equal(run_push(&scene->a), RR_PUSH_INVALID);
	assert_non_null(strstr(rr_push_result(scene->a.push)->message,
			       "ledger_buckets"));
	assert_file(scene, RR_CONFIG_BASE_FILE, BASE, 1);
}

static void test_unusable_record_is_left_alone(void **state)
{
	struct scene *scene = *state;

	/* A record older than the one that was edited: changes were lost. */
	start_push(&scene->a, "sala", "owners_per_replica: 3\n", 7, "c-2");
	assert_int_equal(run_push(&scene->a), RR_PUSH_BAD_RECORD);
	poke_fake_value(scene->store, RR_CONFIG_RECORD_KEY, "nonsense", 8);
	start_push(&scene->a, "sala", "owners_per_replica: 3\n", 1, "c-3");
	assert_int_equal(run_push(&scene->a), RR_PUSH_BAD_RECORD);
	assert_int_equal(scene->store->writes, 1);
}

/* What the test knows of one change id. */
struct change {
	char *id;
	char *file;
	char *text;
	uint64_t base_revision;
	uint64_t revision; /* found in the store at; 0: not */
	bool denied;	   /* the editor was told "nothing was written" */
};

struct world {
	GRand *random;
	struct fake_store *store;
	struct editor editors[EDITORS];
	struct change *current[EDITORS];
	GHashTable *changes;
	struct rr_config_record *last;
	uint64_t key_revision;
	uint64_t ended[RR_PUSH_BAD_RECORD + 1];
};

static int draw(struct world *world, int limit)
{
	return g_rand_int_range(world->random, 0, limit);
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

/* Each version in the store: one change, its own, once, not denied. */
static void watch_store(struct world *world)
{
	const struct rr_config_change *changes;
	struct rr_config_record *record;
	struct change *change;
	uint64_t revision;
	size_t length;

	peek_fake_value(world->store, RR_CONFIG_RECORD_KEY, &length, &revision);
	if (revision == world->key_revision)
		return;
	assert_int_equal(revision, world->key_revision + 1);
	world->key_revision = revision;
	record = peek_record(world->store);
	assert_int_equal(rr_config_record_revision(record),
			 rr_config_record_revision(world->last) + 1);
	assert_true(rr_list_config_changes(record, &changes) > 0);
	change = g_hash_table_lookup(world->changes, changes[0].change_id);
	assert_non_null(change);
	assert_int_equal(change->revision, 0);
	assert_false(change->denied);
	assert_true(rr_config_file_revision(world->last, change->file) <=
		    change->base_revision);
	assert_true(same_text(rr_config_file_text(record, change->file),
			      change->text));
	change->revision = rr_config_record_revision(record);
	rr_drop_config_record(world->last);
	world->last = record;
}

static char *draw_text(struct world *world, const char *file)
{
	int draws = draw(world, 20);

	if (draws == 0)
		return g_strdup("nonsense: 1\n");
	if (draws == 1 && strcmp(file, RR_CONFIG_BASE_FILE) != 0)
		return NULL;
	if (strcmp(file, RR_CONFIG_BASE_FILE) != 0)
		return g_strdup_printf("owners_per_replica: %d\n",
				       1 + draw(world, 8));
	return g_strdup_printf("owners_per_replica: %d\n" BASE,
			       1 + draw(world, 8));
}

static void start_change(struct world *world, int i)
{
	static const char *const files[] = { RR_CONFIG_BASE_FILE, "sala",
					     "athi" };
	struct change *change = g_new0(struct change, 1);

	change->id = g_strdup_printf("c-%u", g_hash_table_size(world->changes));
	change->file = g_strdup(files[draw(world, G_N_ELEMENTS(files))]);
	change->text = draw_text(world, change->file);
	change->base_revision = rr_config_record_revision(world->last);
	if (change->base_revision && !draw(world, 4))
		change->base_revision--;
	g_hash_table_insert(world->changes, change->id, change);
	world->current[i] = change;
	start_push(&world->editors[i], change->file, change->text,
		   change->base_revision, change->id);
}

/* After "unsettled", with the same change id. */
static void push_again(struct world *world, int i)
{
	const struct change *change = world->current[i];
	const struct rr_push_options options = {
		.file = change->file,
		.text = change->text,
		.base_revision = change->base_revision,
		.change_id = change->id,
		.is_retry = true,
		.author = "anna",
		.max_tries = MAX_TRIES,
	};

	start_options(&world->editors[i], &options);
}

static void end_change(struct world *world, int i)
{
	struct change *change = world->current[i];
	const struct rr_push_result *result =
		rr_push_result(world->editors[i].push);

	world->ended[result->status]++;
	if (result->status == RR_PUSH_ACCEPTED) {
		/* The text is in force, by this change or by an equal one. */
		assert_true(result->revision <=
			    rr_config_record_revision(world->last));
		if (change->revision)
			assert_int_equal(change->revision, result->revision);
	} else if (result->status == RR_PUSH_UNRESOLVED && draw(world, 3)) {
		push_again(world, i);
		return;
	} else if (result->status != RR_PUSH_UNRESOLVED) {
		assert_int_equal(change->revision, 0);
		change->denied = true;
	}
	world->current[i] = NULL;
}

static void change_weather(struct world *world)
{
	struct fake_store *store = world->store;

	memset(store->per_mille, 0, sizeof(store->per_mille));
	if (draw(world, 2))
		return;
	store->max_late_us = 2000u << draw(world, 8);
	store->per_mille[FAKE_UNAVAILABLE] = draw(world, 400);
	store->per_mille[FAKE_LOST_AFTER_EFFECT] = draw(world, 300);
	store->per_mille[FAKE_LOST_WITHOUT_EFFECT] = draw(world, 200);
	store->per_mille[FAKE_LATE_EFFECT] = draw(world, 300);
}

static void step(struct world *world)
{
	int i = draw(world, EDITORS);

	if (!world->current[i] && !draw(world, 3))
		start_change(world, i);
	else if (world->current[i] && drive(&world->editors[i]))
		end_change(world, i);
	if (!draw(world, 200))
		change_weather(world);
	if (fake_store_due_us(world->store) <= world->store->now_us) {
		run_fake_store_event(world->store);
		watch_store(world);
	} else {
		world->store->now_us += draw(world, 1500);
	}
}

static void run_random(uint32_t seed, uint64_t steps)
{
	struct world world = { 0 };

	world.random = g_rand_new_with_seed(seed);
	world.store = new_fake_store(seed);
	world.store->max_late_us = 100000;
	world.changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_change);
	world.last = rr_new_config_record();
	for (int i = 0; i < EDITORS; i++)
		init_editor(&world.editors[i], world.store);
	for (uint64_t i = 0; i < steps; i++)
		step(&world);
	printf("push: ok seed=%u steps=%" G_GUINT64_FORMAT
	       " accepted=%" G_GUINT64_FORMAT " changed=%" G_GUINT64_FORMAT
	       " invalid=%" G_GUINT64_FORMAT " unavailable=%" G_GUINT64_FORMAT
	       " unsettled=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
	       "\n",
	       seed, steps, world.ended[RR_PUSH_ACCEPTED],
	       world.ended[RR_PUSH_CONFLICT], world.ended[RR_PUSH_INVALID],
	       world.ended[RR_PUSH_UNAVAILABLE],
	       world.ended[RR_PUSH_UNRESOLVED],
	       rr_config_record_revision(world.last));
	assert_true(rr_config_record_revision(world.last) > steps / 1000);
	for (int i = 0; i < EDITORS; i++)
		clear_editor(&world.editors[i]);
	g_hash_table_destroy(world.changes);
	rr_drop_config_record(world.last);
	drop_fake_store(world.store);
	g_rand_free(world.random);
}

static uint32_t only_seed;
static uint64_t only_steps;

/*
 * Story: editors at three sites push at the same time to a store that
 * loses replies; a change told "accepted" was later gone, or one told
 * "nothing was written" came into force.
 */
static void test_random_editors(void **state)
{
	(void)state;
	if (only_steps) {
		run_random(only_seed, only_steps);
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
		TEST(test_lost_reply_is_settled),
		TEST(test_late_write_is_not_denied),
		TEST(test_store_down),
		TEST(test_invalid_is_not_written),
		TEST(test_unusable_record_is_left_alone),
		cmocka_unit_test(test_random_editors),
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
