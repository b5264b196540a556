/*
 * test-process-key-rotation.c - real processes whose CURVE keys are replaced.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>

#include "support/deployment.h"
#include "support/tool-run.h"

#define N_ENTRIES 3
/* Answers that each instance has to give in each stage of a change. */
#define ANSWERS_A_STAGE 20

/* A pair made by `ragwort keys new`. */
struct pair {
	char *public_key;
	char *secret_file;
};

static void make_pair(struct pair *pair)
{
	char *option;
	struct tool_run *run;

	pair->secret_file = test_write_temp_file("");
	g_unlink(pair->secret_file);
	option = g_strdup_printf("--secret-file=%s", pair->secret_file);
	run = test_run_tool("keys", "new", option, NULL);
	assert_int_equal(run->exit_code, 0);
	pair->public_key = g_strstrip(g_strdup(run->out));
	test_drop_tool_run(run);
	/* A key that is in use is never overwritten. */
	test_expect_output(test_run_tool("keys", "new", option, NULL), 1, NULL,
			   "File exists");
	g_free(option);
}

static void drop_pair(struct pair *pair)
{
	test_remove_temp_file(pair->secret_file);
	g_free(pair->public_key);
}

struct scene {
	struct pair old_pair;
	struct pair new_pair;
	struct test_deployment *d;
};

static char *curve_lines(const struct pair *own, const char *allowed,
			 const char *also_allowed)
{
	return g_strdup_printf("curve:\n"
			       "  public_key: \"%s\"\n"
			       "  secret_key_file: %s\n"
			       "  allowed_keys: [\"%s\"%s%s%s]\n",
			       own->public_key, own->secret_file, allowed,
			       also_allowed ? ", \"" : "",
			       also_allowed ? also_allowed : "",
			       also_allowed ? "\"" : "");
}

/* Three zones with a shard each: every search is relayed to two peers. */
static void open_scene(struct scene *scene)
{
	struct test_deployment_options options = {
		.n_shards = N_ENTRIES,
		.replicas_per_shard = 1,
		.n_zones = N_ENTRIES,
		.n_instances = N_ENTRIES,
		.service_settings = "    deadline_ms: 5000\n",
	};

	make_pair(&scene->old_pair);
	make_pair(&scene->new_pair);
	for (int i = 0; i < N_ENTRIES; i++)
		options.start_file_lines[i] = curve_lines(
			&scene->old_pair, scene->old_pair.public_key, NULL);
	scene->d = test_start_deployment(&options);
}

static void close_scene(struct scene *scene)
{
	char *lines[N_ENTRIES];

	for (int i = 0; i < N_ENTRIES; i++)
		lines[i] = (char *)scene->d->options.start_file_lines[i];
	test_drop_deployment(scene->d);
	for (int i = 0; i < N_ENTRIES; i++)
		g_free(lines[i]);
	drop_pair(&scene->old_pair);
	drop_pair(&scene->new_pair);
}

struct count_wait {
	struct test_deployment *d;
	int entry;
	const char *metric;
	int64_t least;
};

static bool has_counted(void *data)
{
	struct count_wait *wait = data;

	return test_read_metric(wait->d, wait->entry, wait->metric) >=
	       wait->least;
}

static void wait_for_count(struct test_deployment *d, int entry,
			   const char *metric, int64_t least)
{
	struct count_wait wait = { d, entry, metric, least };

	assert_true(test_wait_until(has_counted, &wait));
}

static bool has_renewed(void *data)
{
	struct test_deployment *d = data;

	for (int i = 0; i < N_ENTRIES; i++) {
		if (test_read_metric(d, i, "peer_renewals"))
			return false;
	}
	return true;
}

/* Write the keys into an instance's start file and let it read them. */
static void change_keys(struct scene *scene, int i, const struct pair *own,
			const char *allowed, const char *also_allowed)
{
	struct test_deployment *d = scene->d;
	int64_t before = test_read_metric(d, i, "reloads_total");

	g_free((char *)d->options.start_file_lines[i]);
	d->options.start_file_lines[i] =
		curve_lines(own, allowed, also_allowed);
	test_write_start_file(d, i);
	test_signal_process(d->instances[i], SIGHUP);
	wait_for_count(d, i, "reloads_total", before + 1);
}

/* Searches one after the other at one instance, in a thread. */
struct load {
	struct test_deployment *d;
	int entry;
	GThread *thread;
	gint stop;
	gint n_done;
	GPtrArray *replies;
};

static gpointer run_load(gpointer data)
{
	struct load *load = data;

	while (!g_atomic_int_get(&load->stop)) {
		g_ptr_array_add(load->replies,
				test_search(load->d, load->entry));
		g_atomic_int_inc(&load->n_done);
	}
	return NULL;
}

static void begin_load(struct load *load, struct test_deployment *d, int entry)
{
	*load = (struct load){ .d = d, .entry = entry };
	load->replies =
		g_ptr_array_new_with_free_func((GDestroyNotify)test_drop_reply);
	load->thread = g_thread_new("load", run_load, load);
}

/* How many answers lack something. */
static int end_load(struct load *load)
{
	int n_lacking = 0;

	g_atomic_int_set(&load->stop, 1);
	g_thread_join(load->thread);
	for (guint i = 0; i < load->replies->len; i++) {
		struct test_http_reply *reply = load->replies->pdata[i];

		if (!test_check_search(load->d, reply))
			continue;
		n_lacking++;
		print_message("instance %d, answer %u of %u lacks: %s\n",
			      load->entry, i, load->replies->len,
			      test_missing_reason(reply));
	}
	g_ptr_array_unref(load->replies);
	return n_lacking;
}

struct progress {
	struct load *loads;
	gint least[N_ENTRIES];
};

static bool all_went_on(void *data)
{
	struct progress *progress = data;

	for (int i = 0; i < N_ENTRIES; i++) {
		if (g_atomic_int_get(&progress->loads[i].n_done) <
		    progress->least[i])
			return false;
	}
	return true;
}

static void wait_for_answers(struct load *loads)
{
	struct progress progress = { .loads = loads };

	for (int i = 0; i < N_ENTRIES; i++)
		progress.least[i] =
			g_atomic_int_get(&loads[i].n_done) + ANSWERS_A_STAGE;
	assert_true(test_wait_until(all_went_on, &progress));
}

/*
 * Story: the keys are replaced in the middle of the day, as the page says:
 * allow both everywhere, change one instance after the other, allow the new
 * one only.  Searches at every instance need both others all the time; an
 * answer that lacks a shard would be a relay lost between two keys.
 */
static void test_no_answer_suffers_from_a_change_of_keys(void **state)
{
	struct scene scene;
	struct load loads[N_ENTRIES];
	const char *old_key;
	const char *new_key;
	int n_lacking = 0;

	open_scene(&scene);
	old_key = scene.old_pair.public_key;
	new_key = scene.new_pair.public_key;
	for (int i = 0; i < N_ENTRIES; i++)
		begin_load(&loads[i], scene.d, i);
	for (int i = 0; i < N_ENTRIES; i++)
		change_keys(&scene, i, &scene.old_pair, old_key, new_key);
	wait_for_answers(loads);
	for (int i = 0; i < N_ENTRIES; i++) {
		change_keys(&scene, i, &scene.new_pair, old_key, new_key);
		wait_for_answers(loads);
	}
	assert_true(test_wait_until(has_renewed, scene.d));
	for (int i = 0; i < N_ENTRIES; i++) {
		change_keys(&scene, i, &scene.new_pair, new_key, NULL);
		wait_for_answers(loads);
	}
	for (int i = 0; i < N_ENTRIES; i++)
		n_lacking += end_load(&loads[i]);
	assert_int_equal(n_lacking, 0);
	for (int i = 0; i < N_ENTRIES; i++)
		assert_int_equal(
			test_read_metric(scene.d, i,
					 "peer_connections_refused_total"),
			0);
	close_scene(&scene);
}

/*
 * Story: a key was stolen and is removed at all instances but one, which was
 * forgotten.  Cause: keys are checked when a peer connects, and the forgotten
 * one has connections that stand.  It must be refused, and be let in again
 * when it gets the new key.
 */
static void test_removed_key_is_refused_and_counted(void **state)
{
	struct scene scene;
	const char *old_key;
	const char *new_key;
	struct test_http_reply *reply;

	open_scene(&scene);
	old_key = scene.old_pair.public_key;
	new_key = scene.new_pair.public_key;
	for (int i = 0; i < N_ENTRIES; i++)
		change_keys(&scene, i, &scene.old_pair, old_key, new_key);
	for (int i = 0; i < N_ENTRIES - 1; i++)
		change_keys(&scene, i, &scene.new_pair, old_key, new_key);
	for (int i = 0; i < N_ENTRIES - 1; i++)
		change_keys(&scene, i, &scene.new_pair, new_key, NULL);
	for (int i = 0; i < N_ENTRIES - 1; i++)
		wait_for_count(scene.d, i, "peer_connections_refused_total", 1);
	change_keys(&scene, N_ENTRIES - 1, &scene.new_pair, new_key, NULL);
	for (int i = 0; i < N_ENTRIES; i++)
		wait_for_count(scene.d, i, "members", N_ENTRIES);
	do {
		reply = test_search(scene.d, N_ENTRIES - 1);
		if (test_check_search(scene.d, reply)) {
			test_drop_reply(reply);
			reply = NULL;
		}
	} while (!reply);
	test_drop_reply(reply);
	close_scene(&scene);
}

/*
 * Story: an operator puts half a key into the file and tells the instance to
 * read it.  It goes on under the keys it had, and counts the failure.
 */
static void test_bad_keys_change_nothing(void **state)
{
	struct scene scene;
	struct test_http_reply *reply;

	open_scene(&scene);
	g_free((char *)scene.d->options.start_file_lines[0]);
	scene.d->options.start_file_lines[0] =
		curve_lines(&scene.old_pair, "half-a-key", NULL);
	test_write_start_file(scene.d, 0);
	test_signal_process(scene.d->instances[0], SIGHUP);
	wait_for_count(scene.d, 0, "reloads_failed_total", 1);
	/* Nor does taking them out let anybody in. */
	g_free((char *)scene.d->options.start_file_lines[0]);
	scene.d->options.start_file_lines[0] = NULL;
	test_write_start_file(scene.d, 0);
	test_signal_process(scene.d->instances[0], SIGHUP);
	wait_for_count(scene.d, 0, "reloads_failed_total", 2);
	reply = test_search(scene.d, 0);
	assert_int_equal(test_check_search(scene.d, reply), 0);
	test_drop_reply(reply);
	close_scene(&scene);
}

/* Neither page tells the secret key, by which anybody could join. */
static void test_pages_hold_no_secret(void **state)
{
	static const char *const pages[] = { "/status", "/metrics", "/readyz" };
	struct scene scene;
	char *secret;

	(void)state;
	open_scene(&scene);
	assert_true(g_file_get_contents(scene.old_pair.secret_file, &secret,
					NULL, NULL));
	g_strstrip(secret);
	assert_int_equal(strlen(secret), 40);
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		struct test_http_reply *reply = test_http_request(
			"GET", scene.d->caller_ports[0], pages[i], NULL, NULL);

		assert_int_equal(reply->status, 200);
		assert_null(strstr(reply->body, secret));
		test_drop_reply(reply);
	}
	g_free(secret);
	close_scene(&scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_answer_suffers_from_a_change_of_keys),
		cmocka_unit_test(test_removed_key_is_refused_and_counted),
		cmocka_unit_test(test_bad_keys_change_nothing),
		cmocka_unit_test(test_pages_hold_no_secret),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
