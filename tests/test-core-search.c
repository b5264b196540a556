/*
 * test-core-search.c - searches end to end: one snapshot, true coverage.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/fake-cluster.h"

static const char *const one_zone[] = { "ruaraka" };

struct scene {
	struct fake_cluster *world;
	struct rr_config *config;
	struct fake_instance *desk;
};

static struct scene set_scene(size_t n_shards, size_t n_replicas)
{
	struct scene scene = { .world = fake_new_cluster(3) };

	scene.config = fake_config(1, n_shards, n_replicas, one_zone, 1);
	fake_add_replicas(scene.world, scene.config);
	scene.desk = fake_add_instance(scene.world, "ruaraka-1", "ruaraka", 9);
	return scene;
}

static void start(struct scene *scene)
{
	fake_set_config(scene->desk, scene->config);
	fake_run_for(scene->world, 2000 * FAKE_MS);
}

static void clear_scene(struct scene *scene)
{
	rr_drop_config(scene->config);
	fake_drop_cluster(scene->world);
}

static struct fake_answer *search(struct scene *scene)
{
	fake_search(scene->desk);
	assert_true(fake_wait_for_answers(scene->desk,
					  scene->desk->answers->len + 1));
	return fake_last_answer(scene->desk);
}

static void test_complete_search(void **state)
{
	struct scene scene = set_scene(20, 2);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->covered->len, 20);
	assert_int_equal(answer->keys->len, 200);
	assert_int_equal(answer->version, 7);
	assert_int_equal(answer->attempts, 20);
	for (guint i = 0; i < answer->keys->len; i++)
		assert_int_equal(g_array_index(answer->keys, uint64_t, i),
				 i * 10);
	clear_scene(&scene);
}

static void assert_one_version(const struct fake_answer *answer)
{
	for (guint i = 0; i < answer->versions->len; i++)
		assert_int_equal(g_array_index(answer->versions, uint64_t, i),
				 answer->version);
}

/*
 * Story: a pallet is shown both in the old and the new place.  One yard has
 * reindexed, the others not yet.  Cause: each replica was asked for its
 * newest version, and they differ.
 */
static void test_pin_most_shards_hold(void **state)
{
	struct scene scene = set_scene(6, 2);
	struct fake_answer *answer;

	(void)state;
	fake_replica(scene.world, "s0a")->newest = 8;
	fake_replica(scene.world, "s0b")->newest = 8;
	start(&scene);
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->version, 7);
	assert_one_version(answer);
	clear_scene(&scene);
}

/*
 * Story: as above, before any health poll came in.  Cause: with no version
 * known, the first replies of two shards set two versions.
 */
static void test_scout_learns_pin(void **state)
{
	struct scene scene = set_scene(6, 2);
	struct fake_answer *answer;

	(void)state;
	for (char *id = "abcdef"; *id; id++) {
		char *name = g_strdup_printf("s%da", (int)(*id - 'a'));

		fake_replica(scene.world, name)->newest = 7 + (*id & 1);
		fake_replica(scene.world, name)->no_health = true;
		name[2] = 'b';
		fake_replica(scene.world, name)->no_health = true;
		fake_replica(scene.world, name)->newest = 8;
		g_free(name);
	}
	fake_set_config(scene.desk, scene.config);
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_one_version(answer);
	clear_scene(&scene);
}

/*
 * Story: a search mixes two versions though it asked for one.  Cause: an
 * upstream answers with its newest, whatever was asked.
 */
static void test_wrong_version_is_not_merged(void **state)
{
	struct scene scene = set_scene(6, 1);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	fake_replica(scene.world, "s2a")->newest = 9;
	fake_replica(scene.world, "s2a")->mode = FAKE_WRONG_VERSION;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_int_equal(answer->missing->len, 1);
	assert_true(fake_is_missing(answer, "s2:version-not-held"));
	assert_one_version(answer);
	assert_int_equal(answer->keys->len, 50);
	assert_int_equal(fake_counter_value(scene.desk, RR_N_BAD_REPLIES), 1);
	clear_scene(&scene);
}

/*
 * Story: stock reindexed between the poll and the search; half the shards no
 * longer hold the version that was pinned, and the answer lacks them though
 * all hold a newer one.  Cause: the pin was kept to the end.
 */
static void test_restart_on_newer_version(void **state)
{
	struct scene scene = set_scene(4, 1);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	for (int i = 0; i < 4; i++) {
		char *id = g_strdup_printf("s%da", i);

		fake_replica(scene.world, id)->oldest = i == 0 ? 7 : 8;
		fake_replica(scene.world, id)->newest = 8;
		g_free(id);
	}
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->version, 8);
	assert_one_version(answer);
	assert_int_equal(answer->keys->len, 40);
	assert_int_equal(fake_counter_value(scene.desk, RR_N_SNAPSHOT_RESTARTS),
			 1);
	clear_scene(&scene);
}

/* A replica without the version is passed over for one that has it. */
static void test_other_replica_holds_version(void **state)
{
	struct scene scene = set_scene(4, 2);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	for (int i = 0; i < 4; i++) {
		char *id = g_strdup_printf("s%da", i);

		fake_replica(scene.world, id)->mode = FAKE_NO_VERSION;
		g_free(id);
	}
	for (int i = 0; i < 5; i++) {
		answer = search(&scene);
		assert_int_equal(answer->outcome, RR_COMPLETE);
		assert_int_equal(answer->version, 7);
	}
	assert_int_equal(fake_counter_value(scene.desk, RR_N_RETRIES), 0);
	clear_scene(&scene);
}

/*
 * Story: a yard's last rows are missing and the answer says "complete".  The
 * connection broke in the body.  Cause: rows that came were taken for all.
 */
static void test_cut_body_is_lacking(void **state)
{
	struct scene scene = set_scene(6, 1);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	fake_replica(scene.world, "s4a")->mode = FAKE_TRUNCATE;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s4:truncated"));
	assert_int_equal(answer->keys->len, 50);
	clear_scene(&scene);
}

/*
 * Story: a split moves half of a shard's keys; the search says "complete" and
 * finds nothing in that half.  Cause: a reply was taken to cover the shard
 * and not the ranges it names.
 */
static void test_hole_is_lacking(void **state)
{
	struct scene scene = set_scene(6, 1);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	fake_replica(scene.world, "s1a")->range.to = 150;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s1:moved"));
	assert_int_equal(answer->keys->len, 55);
	clear_scene(&scene);
}

/*
 * Story: the neighbour names keys it took over in a split, but was asked for
 * its own only; the answer says "complete" and lacks their rows.  Cause: a
 * reply was taken to cover all that it names.
 */
static void test_only_asked_keys_are_covered(void **state)
{
	struct scene scene = set_scene(3, 1);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	fake_replica(scene.world, "s1a")->range.to = 150;
	fake_replica(scene.world, "s2a")->range.from = 120;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s1:moved"));
	assert_int_equal(answer->keys->len, 25);
	clear_scene(&scene);
}

/*
 * Story: a split moves from one replica to the next; none of a shard's two
 * holds all of its keys, together they do.  The answer is complete, and the
 * rows that both still hold are in it once.
 */
static void test_union_covers_and_rows_are_once(void **state)
{
	struct scene scene = set_scene(3, 2);
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	fake_replica(scene.world, "s1a")->range.to = 160;
	fake_replica(scene.world, "s1b")->range.from = 130;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->covered->len, 3);
	assert_int_equal(answer->keys->len, 30);
	for (guint i = 0; i < answer->keys->len; i++)
		assert_int_equal(g_array_index(answer->keys, uint64_t, i),
				 i * 10);
	clear_scene(&scene);
}

/* The caller hears at the deadline which shards hang; each named once. */
static void test_deadline_names_the_missing(void **state)
{
	struct scene scene = set_scene(10, 1);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	scene.config->services[0].attempt_timeout_ms = 1000;
	start(&scene);
	fake_replica(scene.world, "s3a")->mode = FAKE_HANG;
	before_us = scene.world->now_us;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_int_equal(answer->missing->len, 1);
	assert_true(fake_is_missing(answer, "s3:deadline"));
	assert_int_equal(answer->answered_us - before_us, 400 * FAKE_MS);
	clear_scene(&scene);
}

/*
 * Story: a line stands still because one of a hundred shards hangs.  With
 * `answer: latency` the caller has the rest at once, and sees what lacks.
 */
static void test_latency_mode_answers_when_enough(void **state)
{
	struct scene scene = set_scene(10, 1);
	struct rr_service_config *service = &scene.config->services[0];
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	service->answer = RR_ANSWER_LATENCY;
	service->min_coverage = 0.9;
	service->straggler_wait_ms = 5;
	start(&scene);
	fake_replica(scene.world, "s3a")->mode = FAKE_HANG;
	before_us = scene.world->now_us;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s3:enough"));
	assert_int_equal(answer->answered_us - before_us, (3 + 5) * FAKE_MS);
	assert_int_equal(
		fake_counter_value(scene.desk, RR_N_ATTEMPTS_CANCELLED), 1);
	clear_scene(&scene);
}

/* All refused with proof: "not run", at once and with a time to come back. */
static void test_all_refused_is_not_run(void **state)
{
	struct scene scene = set_scene(3, 1);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	start(&scene);
	for (int i = 0; i < 3; i++) {
		char *id = g_strdup_printf("s%da", i);

		fake_replica(scene.world, id)->mode = FAKE_SHED;
		fake_replica(scene.world, id)->retry_after_ms = 5000;
		g_free(id);
	}
	before_us = scene.world->now_us;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	assert_true(answer->retry_after_ms >= 4990);
	assert_int_equal(answer->answered_us - before_us, 3 * FAKE_MS);
	clear_scene(&scene);
}

/*
 * Story: an answer has rows of somebody else's search.  A reply came after
 * its attempt was withdrawn, another one twice.  Cause: it was matched by
 * anything less than the attempt's own id.
 */
static void test_late_replies_are_dropped(void **state)
{
	struct scene scene = set_scene(4, 1);
	struct fake_answer *answer;
	struct rr_reply foreign = {
		.attempt_id = 12345,
		.status = RR_REPLY_OK,
		.body_complete = true,
	};

	(void)state;
	start(&scene);
	fake_replica(scene.world, "s0a")->latency_us = 390 * FAKE_MS;
	scene.config->services[0].attempt_timeout_ms = 100;
	answer = search(&scene);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	fake_run_for(scene.world, 1000 * FAKE_MS);
	rr_core_handle_reply(scene.desk->ctx, scene.desk->core,
			     scene.world->now_us, &foreign);
	assert_true(fake_counter_value(scene.desk, RR_N_LATE_REPLIES) >= 2);
	assert_int_equal(scene.desk->answers->len, 1);
	clear_scene(&scene);
}

/* A caller that leaves: nothing is waited for, no answer is given. */
static void test_cancel_withdraws_reads(void **state)
{
	struct scene scene = set_scene(4, 1);
	uint64_t id;

	(void)state;
	start(&scene);
	id = fake_search(scene.desk);
	rr_core_cancel(scene.desk->ctx, scene.desk->core, scene.world->now_us,
		       id);
	fake_run_for(scene.world, 1000 * FAKE_MS);
	assert_int_equal(scene.desk->answers->len, 0);
	assert_int_equal(
		fake_counter_value(scene.desk, RR_N_ATTEMPTS_CANCELLED), 4);
	assert_int_equal(fake_counter_value(scene.desk, RR_N_LATE_REPLIES), 4);
	clear_scene(&scene);
}

static void test_lookup_asks_one_shard(void **state)
{
	struct scene scene = set_scene(4, 2);
	struct rr_request request = {
		.kind = RR_LOOKUP,
		.service = "desk",
		.key = 210,
	};
	struct fake_answer *answer;

	(void)state;
	start(&scene);
	fake_request(scene.desk, &request);
	assert_true(fake_wait_for_answers(scene.desk, 1));
	answer = fake_last_answer(scene.desk);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->keys->len, 1);
	assert_int_equal(g_array_index(answer->keys, uint64_t, 0), 210);
	assert_int_equal(answer->attempts, 1);
	assert_string_equal(g_ptr_array_index(answer->covered, 0), "s2");
	clear_scene(&scene);
}

static void test_bad_requests_are_invalid(void **state)
{
	struct scene scene = set_scene(2, 1);
	struct rr_request requests[] = {
		{ .kind = RR_SEARCH, .service = "nowhere" },
		{ .kind = RR_SEARCH },
		{ .kind = RR_LOOKUP, .service = "desk", .key = 5000 },
		{ .kind = RR_RESERVE, .service = "desk", .key = 5 },
		{ .kind = RR_LIST, .service = "desk", .cursor = "x" },
		{ .kind = (enum rr_request_kind)99, .service = "desk" },
	};

	(void)state;
	start(&scene);
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		fake_request(scene.desk, &requests[i]);
		assert_int_equal(scene.desk->answers->len, i + 1);
		assert_int_equal(fake_last_answer(scene.desk)->outcome,
				 RR_INVALID);
		assert_non_null(fake_last_answer(scene.desk)->reason);
	}
	assert_int_equal(fake_total_attempts(scene.world), 0);
	clear_scene(&scene);
}

/* Ids of a restarted instance are none of those it gave before. */
static void test_ids_do_not_repeat(void **state)
{
	struct scene scene = set_scene(2, 1);
	struct fake_instance *again;
	uint64_t highest = 0;
	uint64_t id;

	(void)state;
	start(&scene);
	for (int i = 0; i < 100; i++)
		highest = MAX(highest, fake_search(scene.desk));
	again = fake_add_instance(scene.world, "ruaraka-1", "ruaraka", 10);
	fake_set_config(again, scene.config);
	id = fake_search(again);
	assert_true(id > highest + 100);
	clear_scene(&scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_complete_search),
		cmocka_unit_test(test_pin_most_shards_hold),
		cmocka_unit_test(test_scout_learns_pin),
		cmocka_unit_test(test_wrong_version_is_not_merged),
		cmocka_unit_test(test_restart_on_newer_version),
		cmocka_unit_test(test_other_replica_holds_version),
		cmocka_unit_test(test_cut_body_is_lacking),
		cmocka_unit_test(test_hole_is_lacking),
		cmocka_unit_test(test_only_asked_keys_are_covered),
		cmocka_unit_test(test_union_covers_and_rows_are_once),
		cmocka_unit_test(test_deadline_names_the_missing),
		cmocka_unit_test(test_latency_mode_answers_when_enough),
		cmocka_unit_test(test_all_refused_is_not_run),
		cmocka_unit_test(test_late_replies_are_dropped),
		cmocka_unit_test(test_cancel_withdraws_reads),
		cmocka_unit_test(test_lookup_asks_one_shard),
		cmocka_unit_test(test_bad_requests_are_invalid),
		cmocka_unit_test(test_ids_do_not_repeat),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
