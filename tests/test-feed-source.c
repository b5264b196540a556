/*
 * test-feed-source.c - which instances watch the store, and which sources the
 * others use.
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

struct fixture {
	struct rr_context *ctx;
	struct rr_sources *sources;
	int64_t now_us;
};

static void init_fixture(struct fixture *fixture, const char *name,
			 double strength, const char *const *seeds)
{
	struct rr_instance self = {
		.id = (char *)name,
		.zone = (char *)"a",
		.strength = strength,
	};

	fixture->ctx = rr_new_context(NULL);
	fixture->sources = rr_new_sources(&self, seeds);
	fixture->now_us = 1000 * MS;
}

static void clear_fixture(struct fixture *fixture)
{
	rr_drop_sources(fixture->sources);
	rr_drop_context(fixture->ctx);
}

static void add_instance(struct fixture *fixture, const char *id,
			 const char *zone, double strength)
{
	struct rr_instance instance = {
		.id = (char *)id,
		.zone = (char *)zone,
		.address = (char *)id,
		.strength = strength,
	};

	rr_update_source(fixture->sources, fixture->now_us, id, &instance);
}

static const char *pick(struct fixture *fixture)
{
	int64_t due_us;

	return rr_pick_source(fixture->sources, fixture->now_us, false,
			      &due_us);
}

static void mark_failed(struct fixture *fixture, const char *address)
{
	rr_mark_source_failed(fixture->ctx, fixture->sources, address,
			      fixture->now_us);
}

/*
 * Guards against eighty-four watches that wake, and are paid for, on every
 * replica change.  The first instance of a zone watches and the others read
 * from it; the first two register the others, half of them each.
 */
static void test_weak_instances_read_from_strong_ones(void **state)
{
	guint n_first_registrar = 0;

	for (int i = 0; i < 40; i++) {
		char *name = g_strdup_printf("weak%d", i);
		struct fixture fixture;

		init_fixture(&fixture, name, 1, NULL);
		add_instance(&fixture, "strong1", "a", 5);
		add_instance(&fixture, "strong2", "a", 4);
		add_instance(&fixture, "far", "b", 9);
		add_instance(&fixture, "weaker", "a", 0.5);
		assert_string_equal(pick(&fixture), "");
		rr_enable_peer_sources(fixture.sources);
		assert_true(rr_prefers_peer_source(fixture.sources));
		assert_string_equal(pick(&fixture), "strong1");
		n_first_registrar += !strcmp(
			rr_find_registrar(fixture.sources, 0), "strong1");
		assert_string_not_equal(rr_find_registrar(fixture.sources, 0),
					rr_find_registrar(fixture.sources, 1));
		assert_int_equal(rr_count_watchers(fixture.sources), 2);
		clear_fixture(&fixture);
		g_free(name);
	}
	assert_in_range(n_first_registrar, 10, 30);
}

static void test_strong_instances_watch(void **state)
{
	struct fixture fixture;

	init_fixture(&fixture, "strong1", 4, NULL);
	add_instance(&fixture, "strong2", "a", 3);
	/* Its own entry, read back. */
	add_instance(&fixture, "strong1", "a", 4);
	add_instance(&fixture, "weak", "a", 1);
	rr_enable_peer_sources(fixture.sources);
	assert_false(rr_prefers_peer_source(fixture.sources));
	assert_string_equal(pick(&fixture), "");
	assert_null(rr_find_registrar(fixture.sources, 0));
	clear_fixture(&fixture);
	/*
	 * The second reads changes from the first, and registers itself as
	 * well.
	 */
	init_fixture(&fixture, "strong2", 3, NULL);
	add_instance(&fixture, "strong1", "a", 4);
	add_instance(&fixture, "weak", "a", 1);
	add_instance(&fixture, "weaker", "a", 0.5);
	rr_enable_peer_sources(fixture.sources);
	assert_string_equal(pick(&fixture), "strong1");
	assert_null(rr_find_registrar(fixture.sources, 0));
	clear_fixture(&fixture);
}

/*
 * The store rejects some instances for nine seconds, those first that use it: a
 * zone's watcher and the next one.  If each of the others watched the store
 * meanwhile, each change would be paid for sixty times.  The third of the zone
 * watches, since none before it is connected to the store, and the others read
 * from it; only when all four fail do they ask other zones, then the store.
 */
static void test_fallback_order(void **state)
{
	static const char *const candidates[] = { "first", "second", "third",
						  "fourth" };
	struct fixture fixture;
	int64_t due_us;

	(void)state;
	init_fixture(&fixture, "weak", 1, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(candidates); i++)
		add_instance(&fixture, candidates[i], "a", 9 - i);
	add_instance(&fixture, "weaker", "a", 0.5);
	add_instance(&fixture, "far1", "b", 9);
	add_instance(&fixture, "far2", "c", 9);
	add_instance(&fixture, "far3", "d", 9);
	rr_enable_peer_sources(fixture.sources);
	for (guint i = 0; i < G_N_ELEMENTS(candidates); i++) {
		assert_string_equal(pick(&fixture), candidates[i]);
		mark_failed(&fixture, candidates[i]);
	}
	for (int i = 0; i < 2; i++) {
		assert_true(g_str_has_prefix(pick(&fixture), "far"));
		mark_failed(&fixture, pick(&fixture));
	}
	assert_string_equal(pick(&fixture), "");
	mark_failed(&fixture, "");
	assert_true(g_str_has_prefix(pick(&fixture), "far"));
	mark_failed(&fixture, pick(&fixture));
	assert_null(rr_pick_source(fixture.sources, fixture.now_us, false,
				   &due_us));
	assert_in_range(due_us, fixture.now_us + 500 * MS,
			fixture.now_us + 1000 * MS);
	/* After its backoff the first is tried again, before the store. */
	fixture.now_us += 1000 * MS;
	assert_string_equal(pick(&fixture), "first");
	clear_fixture(&fixture);
}

/*
 * A standby asks the instances that rank before it, then the store; only after
 * that those that rank after it.
 */
static void test_standby(void **state)
{
	struct fixture fixture;
	int64_t due_us;

	(void)state;
	init_fixture(&fixture, "third", 7, NULL);
	add_instance(&fixture, "first", "a", 9);
	add_instance(&fixture, "second", "a", 8);
	add_instance(&fixture, "fourth", "a", 6);
	add_instance(&fixture, "weak", "a", 1);
	add_instance(&fixture, "far1", "b", 9);
	rr_enable_peer_sources(fixture.sources);
	assert_string_equal(pick(&fixture), "first");
	mark_failed(&fixture, "first");
	assert_string_equal(pick(&fixture), "second");
	mark_failed(&fixture, "second");
	assert_string_equal(pick(&fixture), "");
	mark_failed(&fixture, "");
	assert_string_equal(pick(&fixture), "fourth");
	assert_false(rr_may_serve_changes_from(fixture.sources, "fourth"));
	mark_failed(&fixture, "fourth");
	assert_string_equal(pick(&fixture), "far1");
	mark_failed(&fixture, "far1");
	/* It calls the store again soon, since others wait for it. */
	assert_null(rr_pick_source(fixture.sources, fixture.now_us, false,
				   &due_us));
	assert_in_range(due_us, fixture.now_us + 100 * MS,
			fixture.now_us + 200 * MS);
	fixture.now_us = due_us;
	assert_string_equal(pick(&fixture), "");
	clear_fixture(&fixture);
}

/*
 * Create the sources of instance `number` in a zone of `n` instances of equal
 * strength.
 */
static void start_in_zone(struct fixture *fixture, guint number, guint n)
{
	char *name = g_strdup_printf("i%u", number);

	init_fixture(fixture, name, 1, NULL);
	for (guint i = 0; i < n; i++) {
		char *other = g_strdup_printf("i%u", i);

		add_instance(fixture, other, "a", 1);
		g_free(other);
	}
	rr_enable_peer_sources(fixture->sources);
	g_free(name);
}

static guint number_of(const char *name)
{
	return (guint)g_ascii_strtoull(name + 1, NULL, 10);
}

/* The source of each instance of a zone; `n` stands for the store. */
static guint *find_sources(guint n)
{
	guint *source_of = g_new(guint, n);

	for (guint i = 0; i < n; i++) {
		struct fixture fixture;
		const char *first;

		start_in_zone(&fixture, i, n);
		first = pick(&fixture);
		source_of[i] = *first ? number_of(first) : n;
		clear_fixture(&fixture);
	}
	return source_of;
}

/*
 * Guards against two watchers that each serve 119 others in a zone of 240:
 * every configuration costs half a megabyte a second, where control traffic may
 * use 7 KB.  Instances therefore read through levels: none has many readers,
 * and each is within three steps of the store.
 */
static void test_large_zone_reads_in_levels(void **state)
{
	const guint n = 240;
	guint *source_of = find_sources(n);
	guint *n_readers = g_new0(guint, n + 1);

	(void)state;
	for (guint i = 0; i < n; i++) {
		guint at = i;

		n_readers[source_of[i]]++;
		for (int steps = 0; steps < 3 && at < n; steps++)
			at = source_of[at];
		assert_int_equal(at, n);
	}
	assert_int_equal(n_readers[n], 2);
	for (guint i = 0; i < n; i++)
		assert_in_range(n_readers[i], 0, 18);
	g_free(n_readers);
	g_free(source_of);
}

/*
 * Guards against two watchers in a zone of three, where each replica change is
 * paid for twice.  One watches; if it freezes, the next one reads from the
 * store.
 */
static void test_zone_of_three_has_one_watcher(void **state)
{
	struct fixture fixture;

	(void)state;
	init_fixture(&fixture, "b", 1, NULL);
	add_instance(&fixture, "a", "a", 1.5);
	add_instance(&fixture, "c", "a", 0.5);
	add_instance(&fixture, "far1", "b", 1);
	add_instance(&fixture, "far2", "b", 2);
	rr_enable_peer_sources(fixture.sources);
	assert_string_equal(pick(&fixture), "a");
	assert_int_equal(rr_count_watchers(fixture.sources), 2);
	assert_string_equal(rr_find_registrar(fixture.sources, 1), "a");
	mark_failed(&fixture, "a");
	assert_string_equal(pick(&fixture), "");
	mark_failed(&fixture, "");
	assert_string_equal(pick(&fixture), "c");
	mark_failed(&fixture, "c");
	assert_string_equal(pick(&fixture), "far2");
	clear_fixture(&fixture);
	init_fixture(&fixture, "a", 1.5, NULL);
	add_instance(&fixture, "b", "a", 1);
	add_instance(&fixture, "c", "a", 0.5);
	rr_enable_peer_sources(fixture.sources);
	assert_string_equal(pick(&fixture), "");
	assert_false(rr_prefers_peer_source(fixture.sources));
	clear_fixture(&fixture);
}

/*
 * Up to 13 instances of a zone all read from the watcher, and serve no others.
 */
static void test_small_zone_has_two_levels(void **state)
{
	const guint n = 13;

	(void)state;
	for (guint i = 0; i < n; i++) {
		struct fixture fixture;

		start_in_zone(&fixture, i, n);
		assert_false(rr_may_serve_changes_from(fixture.sources,
						       pick(&fixture)));
		clear_fixture(&fixture);
	}
}

/*
 * The parent of a third-level instance freezes.  The instance asks the watcher,
 * and if that fails as well the standbys, which are then connected to the
 * store; the store comes last.
 */
static void test_third_level_falls_back_to_watcher(void **state)
{
	const guint n = 60;
	guint *source_of = find_sources(n);
	guint n_third_level = 0;

	(void)state;
	for (guint i = 0; i < n; i++) {
		struct fixture fixture;
		guint first = source_of[i];
		guint steps = 0;

		if (first == n || source_of[first] == n)
			continue;
		n_third_level++;
		start_in_zone(&fixture, i, n);
		mark_failed(&fixture, pick(&fixture));
		assert_int_equal(source_of[number_of(pick(&fixture))], n);
		while (*pick(&fixture)) {
			mark_failed(&fixture, pick(&fixture));
			steps++;
		}
		assert_in_range(steps, 3, 4);
		clear_fixture(&fixture);
	}
	assert_int_equal(n_third_level, 60 - 13);
	g_free(source_of);
}

/*
 * Guards against two instances that each rank the other first, since each knows
 * its own strength more exactly than the other's entry states it.  They would
 * report to each other forever that nothing changes.
 */
static void test_order_is_the_same_for_all(void **state)
{
	static const double strengths[] = { 0.1204, 0.1196, 0.12, 0.1199 };
	const guint n = G_N_ELEMENTS(strengths);
	guint n_watching = 0;

	(void)state;
	for (guint i = 0; i < n; i++) {
		struct fixture fixture;
		char name[2] = { (char)('a' + i), '\0' };

		init_fixture(&fixture, name, strengths[i], NULL);
		for (guint other = 0; other < n; other++) {
			name[0] = (char)('a' + other);
			add_instance(&fixture, name, "a", 0.12);
		}
		rr_enable_peer_sources(fixture.sources);
		n_watching += !rr_prefers_peer_source(fixture.sources);
		clear_fixture(&fixture);
	}
	assert_int_equal(n_watching, 1);
}

/*
 * The store ends the lease of the first instance of a zone and rejects it.  If
 * all others changed rank at once, they would ask an instance that does not
 * know of the change yet, and each would call the store.  The first keeps its
 * rank for a while; its readers are rejected and turn to another zone.
 */
static void test_removed_instance_keeps_its_rank(void **state)
{
	struct fixture fixture;

	(void)state;
	init_fixture(&fixture, "weak", 1, NULL);
	add_instance(&fixture, "strong1", "a", 5);
	add_instance(&fixture, "strong2", "a", 4);
	add_instance(&fixture, "weaker", "a", 0.5);
	rr_enable_peer_sources(fixture.sources);
	rr_update_source(fixture.sources, fixture.now_us, "strong1", NULL);
	fixture.now_us += 11000 * MS;
	assert_string_equal(pick(&fixture), "strong1");
	/* It registers again; later it leaves permanently. */
	add_instance(&fixture, "strong1", "a", 5);
	fixture.now_us += 11000 * MS;
	assert_string_equal(pick(&fixture), "strong1");
	rr_update_source(fixture.sources, fixture.now_us, "strong1", NULL);
	fixture.now_us += 12000 * MS;
	assert_string_equal(pick(&fixture), "strong2");
	clear_fixture(&fixture);
}

/* The state of a source is kept when entries change. */
static void test_failures_are_remembered(void **state)
{
	struct fixture fixture;

	init_fixture(&fixture, "weak", 1, NULL);
	add_instance(&fixture, "strong1", "a", 5);
	add_instance(&fixture, "strong2", "a", 4);
	add_instance(&fixture, "weaker", "a", 0.5);
	rr_enable_peer_sources(fixture.sources);
	assert_string_equal(pick(&fixture), "strong1");
	mark_failed(&fixture, "strong1");
	add_instance(&fixture, "weak2", "a", 1);
	assert_string_equal(pick(&fixture), "strong2");
	mark_failed(&fixture, "strong2");
	assert_string_not_equal(pick(&fixture), "strong1");
	rr_update_source(fixture.sources, fixture.now_us, "strong1", NULL);
	fixture.now_us += 12000 * MS;
	assert_string_equal(pick(&fixture), "strong2");
	clear_fixture(&fixture);
}

/*
 * All processes are killed while the store is down.  The first to start finds
 * no source; the next ones read from their configured seeds.
 */
static void test_seeds_serve_range_reads(void **state)
{
	static const char *const seeds[] = { "seed1", "seed2", NULL };
	struct fixture fixture;
	int64_t due_us;

	init_fixture(&fixture, "new", 1, seeds);
	assert_string_equal(
		rr_pick_source(fixture.sources, fixture.now_us, true, &due_us),
		"");
	mark_failed(&fixture, "");
	assert_string_equal(
		rr_pick_source(fixture.sources, fixture.now_us, true, &due_us),
		"seed1");
	mark_failed(&fixture, "seed1");
	assert_string_equal(
		rr_pick_source(fixture.sources, fixture.now_us, true, &due_us),
		"seed2");
	/* Changes are read only from instances known to watch. */
	assert_null(rr_pick_source(fixture.sources, fixture.now_us, false,
				   &due_us));
	clear_fixture(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_weak_instances_read_from_strong_ones),
		cmocka_unit_test(test_strong_instances_watch),
		cmocka_unit_test(test_fallback_order),
		cmocka_unit_test(test_standby),
		cmocka_unit_test(test_large_zone_reads_in_levels),
		cmocka_unit_test(test_small_zone_has_two_levels),
		cmocka_unit_test(test_zone_of_three_has_one_watcher),
		cmocka_unit_test(test_third_level_falls_back_to_watcher),
		cmocka_unit_test(test_order_is_the_same_for_all),
		cmocka_unit_test(test_removed_instance_keeps_its_rank),
		cmocka_unit_test(test_failures_are_remembered),
		cmocka_unit_test(test_seeds_serve_range_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
