/*
 * test-feed-source.c - who watches the store, and whom the others ask.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "core/feed-source.h"

#define MS ((int64_t)1000)

struct scene {
	struct rr_context *ctx;
	struct rr_sources *sources;
	int64_t now_us;
};

static void start(struct scene *scene, const char *name, double strength,
		  const char *const *seeds)
{
	struct rr_instance self = {
		.id = (char *)name,
		.zone = (char *)"a",
		.strength = strength,
	};

	scene->ctx = rr_new_context(NULL);
	scene->sources = rr_new_sources(&self, seeds);
	scene->now_us = 1000 * MS;
}

static void stop(struct scene *scene)
{
	rr_drop_sources(scene->sources);
	rr_drop_context(scene->ctx);
}

static void note(struct scene *scene, const char *id, const char *zone,
		 double strength)
{
	struct rr_instance instance = {
		.id = (char *)id,
		.zone = (char *)zone,
		.address = (char *)id,
		.strength = strength,
	};

	rr_update_source(scene->sources, scene->now_us, id, &instance);
}

static const char *pick(struct scene *scene)
{
	int64_t due_us;

	return rr_pick_source(scene->sources, scene->now_us, false, &due_us);
}

static void give_up_on(struct scene *scene, const char *address)
{
	rr_mark_source_failed(scene->ctx, scene->sources, address,
			      scene->now_us);
}

/*
 * Story: eighty-four watches wake for each replica that comes or goes, and
 * each is paid for.  The first instance of a zone watches, its others ask it;
 * the first two enter the others in the store, half of the others each.
 */
static void test_weak_instances_ask_strong_ones(void **state)
{
	guint entered_first = 0;

	for (int i = 0; i < 40; i++) {
		char *name = g_strdup_printf("weak%d", i);
		struct scene scene;

		start(&scene, name, 1, NULL);
		note(&scene, "strong1", "a", 5);
		note(&scene, "strong2", "a", 4);
		note(&scene, "far", "b", 9);
		note(&scene, "weaker", "a", 0.5);
		assert_string_equal(pick(&scene), "");
		rr_enable_peer_sources(scene.sources);
		assert_true(rr_prefers_peer_source(scene.sources));
		assert_string_equal(pick(&scene), "strong1");
		entered_first +=
			!strcmp(rr_find_registrar(scene.sources, 0), "strong1");
		assert_string_not_equal(rr_find_registrar(scene.sources, 0),
					rr_find_registrar(scene.sources, 1));
		assert_int_equal(rr_count_watchers(scene.sources), 2);
		stop(&scene);
		g_free(name);
	}
	assert_in_range(entered_first, 10, 30);
}

static void test_strong_ones_watch(void **state)
{
	struct scene scene;

	start(&scene, "strong1", 4, NULL);
	note(&scene, "strong2", "a", 3);
	note(&scene, "strong1", "a", 4); /* its own entry, read back */
	note(&scene, "weak", "a", 1);
	rr_enable_peer_sources(scene.sources);
	assert_false(rr_prefers_peer_source(scene.sources));
	assert_string_equal(pick(&scene), "");
	assert_null(rr_find_registrar(scene.sources, 0));
	stop(&scene);
	/* The second asks the first for news, and enters itself as well. */
	start(&scene, "strong2", 3, NULL);
	note(&scene, "strong1", "a", 4);
	note(&scene, "weak", "a", 1);
	note(&scene, "weaker", "a", 0.5);
	rr_enable_peer_sources(scene.sources);
	assert_string_equal(pick(&scene), "strong1");
	assert_null(rr_find_registrar(scene.sources, 0));
	stop(&scene);
}

/*
 * Story: the store turns instances away for nine seconds, those first that use
 * it: a zone's watcher and the one after it.  Were each of the others to watch
 * the store meanwhile, each change would be paid for sixty times.  The third
 * of the zone does, since none before it hears the store, and the others ask
 * that one; only where all four fail do they ask other zones, then the store.
 */
static void test_one_after_the_other(void **state)
{
	static const char *const near[] = { "first", "second", "third",
					    "fourth" };
	struct scene scene;
	int64_t due_us;

	(void)state;
	start(&scene, "weak", 1, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(near); i++)
		note(&scene, near[i], "a", 9 - i);
	note(&scene, "weaker", "a", 0.5);
	note(&scene, "far1", "b", 9);
	note(&scene, "far2", "c", 9);
	note(&scene, "far3", "d", 9);
	rr_enable_peer_sources(scene.sources);
	for (guint i = 0; i < G_N_ELEMENTS(near); i++) {
		assert_string_equal(pick(&scene), near[i]);
		give_up_on(&scene, near[i]);
	}
	for (int i = 0; i < 2; i++) {
		assert_true(g_str_has_prefix(pick(&scene), "far"));
		give_up_on(&scene, pick(&scene));
	}
	assert_string_equal(pick(&scene), "");
	give_up_on(&scene, "");
	assert_true(g_str_has_prefix(pick(&scene), "far"));
	give_up_on(&scene, pick(&scene));
	assert_null(
		rr_pick_source(scene.sources, scene.now_us, false, &due_us));
	assert_in_range(due_us, scene.now_us + 500 * MS,
			scene.now_us + 1000 * MS);
	/* Later the first is tried again, before the store. */
	scene.now_us += 1000 * MS;
	assert_string_equal(pick(&scene), "first");
	stop(&scene);
}

/* A standby asks those before it, then the store; nobody behind it before. */
static void test_standby(void **state)
{
	struct scene scene;
	int64_t due_us;

	(void)state;
	start(&scene, "third", 7, NULL);
	note(&scene, "first", "a", 9);
	note(&scene, "second", "a", 8);
	note(&scene, "fourth", "a", 6);
	note(&scene, "weak", "a", 1);
	note(&scene, "far1", "b", 9);
	rr_enable_peer_sources(scene.sources);
	assert_string_equal(pick(&scene), "first");
	give_up_on(&scene, "first");
	assert_string_equal(pick(&scene), "second");
	give_up_on(&scene, "second");
	assert_string_equal(pick(&scene), "");
	give_up_on(&scene, "");
	assert_string_equal(pick(&scene), "fourth");
	assert_false(rr_may_serve_changes_from(scene.sources, "fourth"));
	give_up_on(&scene, "fourth");
	assert_string_equal(pick(&scene), "far1");
	give_up_on(&scene, "far1");
	/* It is at the store again soon, since others wait for it. */
	assert_null(
		rr_pick_source(scene.sources, scene.now_us, false, &due_us));
	assert_in_range(due_us, scene.now_us + 100 * MS,
			scene.now_us + 200 * MS);
	scene.now_us = due_us;
	assert_string_equal(pick(&scene), "");
	stop(&scene);
}

/* Sources of instance `number` in a zone of `n` alike. */
static void start_in_zone(struct scene *scene, guint number, guint n)
{
	char *name = g_strdup_printf("i%u", number);

	start(scene, name, 1, NULL);
	for (guint i = 0; i < n; i++) {
		char *other = g_strdup_printf("i%u", i);

		note(scene, other, "a", 1);
		g_free(other);
	}
	rr_enable_peer_sources(scene->sources);
	g_free(name);
}

static guint number_of(const char *name)
{
	return (guint)g_ascii_strtoull(name + 1, NULL, 10);
}

/* Whom each of a zone asks; the store is `n`. */
static guint *find_asked(guint n)
{
	guint *asked = g_new(guint, n);

	for (guint i = 0; i < n; i++) {
		struct scene scene;
		const char *first;

		start_in_zone(&scene, i, n);
		first = pick(&scene);
		asked[i] = *first ? number_of(first) : n;
		stop(&scene);
	}
	return asked;
}

/*
 * Story: in a zone of 240 instances two watch, and each configuration goes
 * from them to 119 others: half a megabyte a second, where control may have
 * 7 KB.  So those that ask are asked in turn: nobody by many, and each is
 * within three questions of the store.
 */
static void test_large_zone_asks_in_levels(void **state)
{
	const guint n = 240;
	guint *asked = find_asked(n);
	guint *askers = g_new0(guint, n + 1);

	(void)state;
	for (guint i = 0; i < n; i++) {
		guint at = i;

		askers[asked[i]]++;
		for (int steps = 0; steps < 3 && at < n; steps++)
			at = asked[at];
		assert_int_equal(at, n);
	}
	assert_int_equal(askers[n], 2);
	for (guint i = 0; i < n; i++)
		assert_in_range(askers[i], 0, 18);
	g_free(askers);
	g_free(asked);
}

/*
 * Story: a zone has three instances, and two of them watch: each replica that
 * comes or goes is paid for twice.  One watches; where it freezes, the next
 * one turns to the store.
 */
static void test_one_watches_in_a_zone_of_three(void **state)
{
	struct scene scene;

	(void)state;
	start(&scene, "b", 1, NULL);
	note(&scene, "a", "a", 1.5);
	note(&scene, "c", "a", 0.5);
	note(&scene, "far1", "b", 1);
	note(&scene, "far2", "b", 2);
	rr_enable_peer_sources(scene.sources);
	assert_string_equal(pick(&scene), "a");
	assert_int_equal(rr_count_watchers(scene.sources), 2);
	assert_string_equal(rr_find_registrar(scene.sources, 1), "a");
	give_up_on(&scene, "a");
	assert_string_equal(pick(&scene), "");
	give_up_on(&scene, "");
	assert_string_equal(pick(&scene), "c");
	give_up_on(&scene, "c");
	assert_string_equal(pick(&scene), "far2");
	stop(&scene);
	start(&scene, "a", 1.5, NULL);
	note(&scene, "b", "a", 1);
	note(&scene, "c", "a", 0.5);
	rr_enable_peer_sources(scene.sources);
	assert_string_equal(pick(&scene), "");
	assert_false(rr_prefers_peer_source(scene.sources));
	stop(&scene);
}

/* Up to 13 of a zone all ask the one that watches, and tell nobody. */
static void test_small_zone_has_two_levels(void **state)
{
	const guint n = 13;

	(void)state;
	for (guint i = 0; i < n; i++) {
		struct scene scene;

		start_in_zone(&scene, i, n);
		assert_false(
			rr_may_serve_changes_from(scene.sources, pick(&scene)));
		stop(&scene);
	}
}

/*
 * Story: the one that an instance of the third level asks freezes.  It asks
 * the watcher, and where that one fails as well the standbys, which hear the
 * store then; the store is the last.
 */
static void test_third_level_asks_the_first(void **state)
{
	const guint n = 60;
	guint *asked = find_asked(n);
	guint third = 0;

	(void)state;
	for (guint i = 0; i < n; i++) {
		struct scene scene;
		guint first = asked[i];
		guint steps = 0;

		if (first == n || asked[first] == n)
			continue;
		third++;
		start_in_zone(&scene, i, n);
		give_up_on(&scene, pick(&scene));
		assert_int_equal(asked[number_of(pick(&scene))], n);
		while (*pick(&scene)) {
			give_up_on(&scene, pick(&scene));
			steps++;
		}
		assert_in_range(steps, 3, 4);
		stop(&scene);
	}
	assert_int_equal(third, 60 - 13);
	g_free(asked);
}

/*
 * Story: of two instances each takes the other to go first, since each knows
 * its own strength more exactly than the other's entry tells it.  They would
 * tell each other that nothing changes, for good.
 */
static void test_order_is_the_same_for_all(void **state)
{
	static const double strengths[] = { 0.1204, 0.1196, 0.12, 0.1199 };
	const guint n = G_N_ELEMENTS(strengths);
	guint first_of_all = 0;

	(void)state;
	for (guint i = 0; i < n; i++) {
		struct scene scene;
		char name[2] = { (char)('a' + i), '\0' };

		start(&scene, name, strengths[i], NULL);
		for (guint other = 0; other < n; other++) {
			name[0] = (char)('a' + other);
			note(&scene, name, "a", 0.12);
		}
		rr_enable_peer_sources(scene.sources);
		first_of_all += !rr_prefers_peer_source(scene.sources);
		stop(&scene);
	}
	assert_int_equal(first_of_all, 1);
}

/*
 * Story: the store ends the lease of the first of a zone and turns it away.
 * Were all others to take new places at once, they would ask one that is not
 * told of it yet, and each would go to the store.  The first keeps its place
 * for a while; who asks it is refused and turns to another zone.
 */
static void test_one_whose_entry_went_keeps_its_place(void **state)
{
	struct scene scene;

	(void)state;
	start(&scene, "weak", 1, NULL);
	note(&scene, "strong1", "a", 5);
	note(&scene, "strong2", "a", 4);
	note(&scene, "weaker", "a", 0.5);
	rr_enable_peer_sources(scene.sources);
	rr_update_source(scene.sources, scene.now_us, "strong1", NULL);
	scene.now_us += 11000 * MS;
	assert_string_equal(pick(&scene), "strong1");
	/* It enters again; later it goes for good. */
	note(&scene, "strong1", "a", 5);
	scene.now_us += 11000 * MS;
	assert_string_equal(pick(&scene), "strong1");
	rr_update_source(scene.sources, scene.now_us, "strong1", NULL);
	scene.now_us += 12000 * MS;
	assert_string_equal(pick(&scene), "strong2");
	stop(&scene);
}

/* What is known of a source outlives new entries. */
static void test_failures_are_remembered(void **state)
{
	struct scene scene;

	start(&scene, "weak", 1, NULL);
	note(&scene, "strong1", "a", 5);
	note(&scene, "strong2", "a", 4);
	note(&scene, "weaker", "a", 0.5);
	rr_enable_peer_sources(scene.sources);
	assert_string_equal(pick(&scene), "strong1");
	give_up_on(&scene, "strong1");
	note(&scene, "weak2", "a", 1);
	assert_string_equal(pick(&scene), "strong2");
	give_up_on(&scene, "strong2");
	assert_string_not_equal(pick(&scene), "strong1");
	rr_update_source(scene.sources, scene.now_us, "strong1", NULL);
	scene.now_us += 12000 * MS;
	assert_string_equal(pick(&scene), "strong2");
	stop(&scene);
}

/*
 * Story: all processes are killed while the store is down.  One that starts
 * first finds nobody; the next ones read from those that they were given.
 */
static void test_seeds_tell_everything(void **state)
{
	static const char *const seeds[] = { "seed1", "seed2", NULL };
	struct scene scene;
	int64_t due_us;

	start(&scene, "new", 1, seeds);
	assert_string_equal(
		rr_pick_source(scene.sources, scene.now_us, true, &due_us), "");
	give_up_on(&scene, "");
	assert_string_equal(
		rr_pick_source(scene.sources, scene.now_us, true, &due_us),
		"seed1");
	give_up_on(&scene, "seed1");
	assert_string_equal(
		rr_pick_source(scene.sources, scene.now_us, true, &due_us),
		"seed2");
	/* Changes are asked of those only that are known to watch. */
	assert_null(
		rr_pick_source(scene.sources, scene.now_us, false, &due_us));
	stop(&scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_weak_instances_ask_strong_ones),
		cmocka_unit_test(test_strong_ones_watch),
		cmocka_unit_test(test_one_after_the_other),
		cmocka_unit_test(test_standby),
		cmocka_unit_test(test_large_zone_asks_in_levels),
		cmocka_unit_test(test_small_zone_has_two_levels),
		cmocka_unit_test(test_one_watches_in_a_zone_of_three),
		cmocka_unit_test(test_third_level_asks_the_first),
		cmocka_unit_test(test_order_is_the_same_for_all),
		cmocka_unit_test(test_one_whose_entry_went_keeps_its_place),
		cmocka_unit_test(test_failures_are_remembered),
		cmocka_unit_test(test_seeds_tell_everything),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
