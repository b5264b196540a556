/*
 * test-core-search.c - searches end to end: one snapshot, correct coverage.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/fake-cluster.h"

static const char *const one_zone[] = { "ruaraka" };

struct fixture {
	struct fake_cluster *cluster;
	struct rr_config *config;
	struct fake_instance *instance;
};

static struct fixture new_fixture(size_t n_shards, size_t n_replicas)
{
	struct fixture fixture = { .cluster = fake_new_cluster(3) };

	fixture.config = fake_config(1, n_shards, n_replicas, one_zone, 1);
	fake_add_replicas(fixture.cluster, fixture.config);
	fixture.instance =
		fake_add_instance(fixture.cluster, "ruaraka-1", "ruaraka", 9);
	return fixture;
}

static void start(struct fixture *fixture)
{
	fake_set_config(fixture->instance, fixture->config);
	fake_run_for(fixture->cluster, 2000 * FAKE_MS);
}

static void drop_fixture(struct fixture *fixture)
{
	rr_drop_config(fixture->config);
	fake_drop_cluster(fixture->cluster);
}

static struct fake_answer *search(struct fixture *fixture)
{
	fake_search(fixture->instance);
	assert_true(fake_wait_for_answers(fixture->instance,
					  fixture->instance->answers->len + 1));
	return fake_last_answer(fixture->instance);
}

static void test_complete_search(void **state)
{
	struct fixture fixture = new_fixture(20, 2);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->covered->len, 20);
	assert_int_equal(answer->keys->len, 200);
	assert_int_equal(answer->version, 7);
	assert_int_equal(answer->attempts, 20);
	for (guint i = 0; i < answer->keys->len; i++)
		assert_int_equal(g_array_index(answer->keys, uint64_t, i),
				 i * 10);
	drop_fixture(&fixture);
}

static void assert_one_version(const struct fake_answer *answer)
{
	for (guint i = 0; i < answer->versions->len; i++)
		assert_int_equal(g_array_index(answer->versions, uint64_t, i),
				 answer->version);
}

/*
 * One yard has reindexed, the others not yet.  Guards against requesting the
 * newest version from each replica: versions differ, and a pallet was shown in
 * both its old and its new place.
 */
static void test_pin_most_shards_hold(void **state)
{
	struct fixture fixture = new_fixture(6, 2);
	struct fake_answer *answer;

	(void)state;
	fake_replica(fixture.cluster, "s0a")->newest = 8;
	fake_replica(fixture.cluster, "s0b")->newest = 8;
	start(&fixture);
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->version, 7);
	assert_one_version(answer);
	drop_fixture(&fixture);
}

/*
 * As above, before any health poll has completed.  Guards against the first
 * replies of two shards setting two versions while none is known.
 */
static void test_first_reply_sets_pin(void **state)
{
	struct fixture fixture = new_fixture(6, 2);
	struct fake_answer *answer;

	(void)state;
	for (char *id = "abcdef"; *id; id++) {
		char *name = g_strdup_printf("s%da", (int)(*id - 'a'));

		fake_replica(fixture.cluster, name)->newest = 7 + (*id & 1);
		fake_replica(fixture.cluster, name)->no_health = true;
		name[2] = 'b';
		fake_replica(fixture.cluster, name)->no_health = true;
		fake_replica(fixture.cluster, name)->newest = 8;
		g_free(name);
	}
	fake_set_config(fixture.instance, fixture.config);
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_one_version(answer);
	drop_fixture(&fixture);
}

/*
 * Guards against a search that mixes two versions because an upstream replies
 * with its newest version, whatever was requested.
 */
static void test_wrong_version_is_not_merged(void **state)
{
	struct fixture fixture = new_fixture(6, 1);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	fake_replica(fixture.cluster, "s2a")->newest = 9;
	fake_replica(fixture.cluster, "s2a")->mode = FAKE_WRONG_VERSION;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_int_equal(answer->missing->len, 1);
	assert_true(fake_is_missing(answer, "s2:version-not-held"));
	assert_one_version(answer);
	assert_int_equal(answer->keys->len, 50);
	assert_int_equal(fake_counter_value(fixture.instance, RR_N_BAD_REPLIES),
			 1);
	drop_fixture(&fixture);
}

/*
 * Stock is reindexed between the poll and the search, and half the shards no
 * longer hold the pinned version.  Guards against keeping the pin to the end:
 * the answer misses those shards though all hold a newer version.
 */
static void test_restart_on_newer_version(void **state)
{
	struct fixture fixture = new_fixture(4, 1);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	for (int i = 0; i < 4; i++) {
		char *id = g_strdup_printf("s%da", i);

		fake_replica(fixture.cluster, id)->oldest = i == 0 ? 7 : 8;
		fake_replica(fixture.cluster, id)->newest = 8;
		g_free(id);
	}
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->version, 8);
	assert_one_version(answer);
	assert_int_equal(answer->keys->len, 40);
	assert_int_equal(
		fake_counter_value(fixture.instance, RR_N_SNAPSHOT_RESTARTS),
		1);
	drop_fixture(&fixture);
}

/* A replica without the version is skipped for one that holds it. */
static void test_other_replica_holds_version(void **state)
{
	struct fixture fixture = new_fixture(4, 2);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	for (int i = 0; i < 4; i++) {
		char *id = g_strdup_printf("s%da", i);

		fake_replica(fixture.cluster, id)->mode = FAKE_NO_VERSION;
		g_free(id);
	}
	for (int i = 0; i < 5; i++) {
		answer = search(&fixture);
		assert_int_equal(answer->outcome, RR_COMPLETE);
		assert_int_equal(answer->version, 7);
	}
	assert_int_equal(fake_counter_value(fixture.instance, RR_N_RETRIES), 0);
	drop_fixture(&fixture);
}

/*
 * The connection breaks within the body.  Guards against taking the rows
 * received for all of them: the last rows of a yard are missing and the answer
 * says "complete".
 */
static void test_truncated_body_is_missing(void **state)
{
	struct fixture fixture = new_fixture(6, 1);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	fake_replica(fixture.cluster, "s4a")->mode = FAKE_TRUNCATE;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s4:truncated"));
	assert_int_equal(answer->keys->len, 50);
	drop_fixture(&fixture);
}

/*
 * A split moves half of a shard's keys.  Guards against a reply that counts as
 * covering the whole shard instead of the ranges that it names: the search says
 * "complete" and finds nothing in that half.
 */
static void test_gap_is_missing(void **state)
{
	struct fixture fixture = new_fixture(6, 1);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	fake_replica(fixture.cluster, "s1a")->range.to = 150;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s1:moved"));
	assert_int_equal(answer->keys->len, 55);
	drop_fixture(&fixture);
}

/*
 * The next shard names keys that it took over in a split, but only its own were
 * requested from it.  Guards against a reply that counts as covering all ranges
 * that it names: the answer says "complete" without the rows of those keys.
 */
static void test_only_requested_keys_are_covered(void **state)
{
	struct fixture fixture = new_fixture(3, 1);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	fake_replica(fixture.cluster, "s1a")->range.to = 150;
	fake_replica(fixture.cluster, "s2a")->range.from = 120;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s1:moved"));
	assert_int_equal(answer->keys->len, 25);
	drop_fixture(&fixture);
}

/*
 * During a split neither of a shard's two replicas holds all of its keys, but
 * together they do.  The answer is complete, and rows that both still hold are
 * in it once.
 */
static void test_union_covers_without_duplicates(void **state)
{
	struct fixture fixture = new_fixture(3, 2);
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	fake_replica(fixture.cluster, "s1a")->range.to = 160;
	fake_replica(fixture.cluster, "s1b")->range.from = 130;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->covered->len, 3);
	assert_int_equal(answer->keys->len, 30);
	for (guint i = 0; i < answer->keys->len; i++)
		assert_int_equal(g_array_index(answer->keys, uint64_t, i),
				 i * 10);
	drop_fixture(&fixture);
}

/* At the deadline the answer names each shard that did not reply, once. */
static void test_deadline_names_missing_shards(void **state)
{
	struct fixture fixture = new_fixture(10, 1);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	fixture.config->services[0].attempt_timeout_ms = 1000;
	start(&fixture);
	fake_replica(fixture.cluster, "s3a")->mode = FAKE_HANG;
	before_us = fixture.cluster->now_us;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_int_equal(answer->missing->len, 1);
	assert_true(fake_is_missing(answer, "s3:deadline"));
	assert_int_equal(answer->answered_us - before_us, 400 * FAKE_MS);
	drop_fixture(&fixture);
}

/*
 * Guards against one hanging shard, of a hundred, that delays the answer to the
 * deadline and brings a line to a standstill.  With `answer: latency` the
 * caller gets the other shards at once, with the missing one named.
 */
static void test_latency_mode_answers_at_min_coverage(void **state)
{
	struct fixture fixture = new_fixture(10, 1);
	struct rr_service_config *service = &fixture.config->services[0];
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	service->answer = RR_ANSWER_LATENCY;
	service->min_coverage = 0.9;
	service->straggler_wait_ms = 5;
	start(&fixture);
	fake_replica(fixture.cluster, "s3a")->mode = FAKE_HANG;
	before_us = fixture.cluster->now_us;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s3:enough"));
	assert_int_equal(answer->answered_us - before_us, (3 + 5) * FAKE_MS);
	assert_int_equal(
		fake_counter_value(fixture.instance, RR_N_ATTEMPTS_CANCELLED),
		1);
	drop_fixture(&fixture);
}

/* All replicas reject with proof: "not run", at once and with a retry time. */
static void test_all_rejected_is_not_run(void **state)
{
	struct fixture fixture = new_fixture(3, 1);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	start(&fixture);
	for (int i = 0; i < 3; i++) {
		char *id = g_strdup_printf("s%da", i);

		fake_replica(fixture.cluster, id)->mode = FAKE_SHED;
		fake_replica(fixture.cluster, id)->retry_after_ms = 5000;
		g_free(id);
	}
	before_us = fixture.cluster->now_us;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	assert_true(answer->retry_after_ms >= 4990);
	assert_int_equal(answer->answered_us - before_us, 3 * FAKE_MS);
	drop_fixture(&fixture);
}

/*
 * Guards against rows of another caller's search in an answer: a reply arrived
 * after its attempt was cancelled, another one twice.  Replies must match the
 * id of the attempt and nothing less.
 */
static void test_late_replies_are_dropped(void **state)
{
	struct fixture fixture = new_fixture(4, 1);
	struct fake_answer *answer;
	struct rr_reply unknown = {
		.attempt_id = 12345,
		.status = RR_REPLY_OK,
		.body_complete = true,
	};

	(void)state;
	start(&fixture);
	fake_replica(fixture.cluster, "s0a")->latency_us = 390 * FAKE_MS;
	fixture.config->services[0].attempt_timeout_ms = 100;
	answer = search(&fixture);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	fake_run_for(fixture.cluster, 1000 * FAKE_MS);
	rr_core_handle_reply(fixture.instance->ctx, fixture.instance->core,
			     fixture.cluster->now_us, &unknown);
	assert_true(fake_counter_value(fixture.instance, RR_N_LATE_REPLIES) >=
		    2);
	assert_int_equal(fixture.instance->answers->len, 1);
	drop_fixture(&fixture);
}

/* After a cancel nothing is awaited and no answer is sent. */
static void test_cancel_stops_reads(void **state)
{
	struct fixture fixture = new_fixture(4, 1);
	uint64_t id;

	(void)state;
	start(&fixture);
	id = fake_search(fixture.instance);
	rr_core_cancel(fixture.instance->ctx, fixture.instance->core,
		       fixture.cluster->now_us, id);
	fake_run_for(fixture.cluster, 1000 * FAKE_MS);
	assert_int_equal(fixture.instance->answers->len, 0);
	assert_int_equal(
		fake_counter_value(fixture.instance, RR_N_ATTEMPTS_CANCELLED),
		4);
	assert_int_equal(
		fake_counter_value(fixture.instance, RR_N_LATE_REPLIES), 4);
	drop_fixture(&fixture);
}

static void test_lookup_queries_one_shard(void **state)
{
	struct fixture fixture = new_fixture(4, 2);
	struct rr_request request = {
		.kind = RR_LOOKUP,
		.service = "desk",
		.key = 210,
	};
	struct fake_answer *answer;

	(void)state;
	start(&fixture);
	fake_request(fixture.instance, &request);
	assert_true(fake_wait_for_answers(fixture.instance, 1));
	answer = fake_last_answer(fixture.instance);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->keys->len, 1);
	assert_int_equal(g_array_index(answer->keys, uint64_t, 0), 210);
	assert_int_equal(answer->attempts, 1);
	assert_string_equal(g_ptr_array_index(answer->covered, 0), "s2");
	drop_fixture(&fixture);
}

static void test_bad_requests_are_invalid(void **state)
{
	struct fixture fixture = new_fixture(2, 1);
	struct rr_request requests[] = {
		{ .kind = RR_SEARCH, .service = "nowhere" },
		{ .kind = RR_SEARCH },
		{ .kind = RR_LOOKUP, .service = "desk", .key = 5000 },
		{ .kind = RR_RESERVE, .service = "desk", .key = 5 },
		{ .kind = RR_LIST, .service = "desk", .cursor = "x" },
		{ .kind = (enum rr_request_kind)99, .service = "desk" },
	};

	(void)state;
	start(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		fake_request(fixture.instance, &requests[i]);
		assert_int_equal(fixture.instance->answers->len, i + 1);
		assert_int_equal(fake_last_answer(fixture.instance)->outcome,
				 RR_INVALID);
		assert_non_null(fake_last_answer(fixture.instance)->reason);
	}
	assert_int_equal(fake_total_attempts(fixture.cluster), 0);
	drop_fixture(&fixture);
}

/* Ids of a restarted instance differ from all that it issued before. */
static void test_ids_do_not_repeat(void **state)
{
	struct fixture fixture = new_fixture(2, 1);
	struct fake_instance *restarted;
	uint64_t highest = 0;
	uint64_t id;

	(void)state;
	start(&fixture);
	for (int i = 0; i < 100; i++)
		highest = MAX(highest, fake_search(fixture.instance));
	restarted =
		fake_add_instance(fixture.cluster, "ruaraka-1", "ruaraka", 10);
	fake_set_config(restarted, fixture.config);
	id = fake_search(restarted);
	assert_true(id > highest + 100);
	drop_fixture(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_complete_search),
		cmocka_unit_test(test_pin_most_shards_hold),
		cmocka_unit_test(test_first_reply_sets_pin),
		cmocka_unit_test(test_wrong_version_is_not_merged),
		cmocka_unit_test(test_restart_on_newer_version),
		cmocka_unit_test(test_other_replica_holds_version),
		cmocka_unit_test(test_truncated_body_is_missing),
		cmocka_unit_test(test_gap_is_missing),
		cmocka_unit_test(test_only_requested_keys_are_covered),
		cmocka_unit_test(test_union_covers_without_duplicates),
		cmocka_unit_test(test_deadline_names_missing_shards),
		cmocka_unit_test(test_latency_mode_answers_at_min_coverage),
		cmocka_unit_test(test_all_rejected_is_not_run),
		cmocka_unit_test(test_late_replies_are_dropped),
		cmocka_unit_test(test_cancel_stops_reads),
		cmocka_unit_test(test_lookup_queries_one_shard),
		cmocka_unit_test(test_bad_requests_are_invalid),
		cmocka_unit_test(test_ids_do_not_repeat),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
