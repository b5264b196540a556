/*
 * test-core-config.c - applying a configuration, reading it from peers, and
 * draining an instance.
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
	struct fake_instance *first;
	struct fake_instance *second;
};

static struct fixture new_fixture(void)
{
	struct fixture fixture = { .cluster = fake_new_cluster(41) };
	struct rr_config *config = fake_config(9, 4, 2, one_zone, 1);

	fake_add_replicas(fixture.cluster, config);
	rr_drop_config(config);
	fixture.first =
		fake_add_instance(fixture.cluster, "ruaraka-1", "ruaraka", 5);
	fixture.second =
		fake_add_instance(fixture.cluster, "ruaraka-2", "ruaraka", 6);
	fake_hint_all_members(fixture.cluster);
	return fixture;
}

static bool set_revision(struct fake_instance *instance, uint64_t revision,
			 size_t n_shards)
{
	struct rr_config *config =
		fake_config(revision, n_shards, 2, one_zone, 1);
	char text[] = "record";
	bool applied = rr_core_set_config(instance->ctx, instance->core,
					  instance->cluster->now_us, config,
					  text, strlen(text));

	rr_drop_config(config);
	return applied;
}

static struct fake_answer *search(struct fake_instance *instance)
{
	guint n = instance->answers->len;

	fake_search(instance);
	assert_true(fake_wait_for_answers(instance, n + 1));
	return fake_answer_at(instance, n);
}

/*
 * Guards against an older record that a slow read of the store delivers after a
 * newer one: the last record to arrive was applied, and a lowered limit was
 * back at its old value on one instance.
 */
static void test_revision_never_goes_down(void **state)
{
	struct fixture fixture = new_fixture();

	(void)state;
	assert_true(set_revision(fixture.first, 4, 4));
	assert_false(set_revision(fixture.first, 3, 2));
	assert_false(set_revision(fixture.first, 4, 2));
	assert_int_equal(rr_core_config_revision(fixture.first->core), 4);
	assert_int_equal(search(fixture.first)->covered->len, 4);
	assert_true(set_revision(fixture.first, 5, 2));
	assert_int_equal(search(fixture.first)->covered->len, 2);
	fake_drop_cluster(fixture.cluster);
}

/*
 * An instance that cannot reach the store gets the configuration from a peer.
 */
static void test_record_from_peer(void **state)
{
	struct fixture fixture = new_fixture();
	struct rr_config *config = fake_config(3, 4, 2, one_zone, 1);
	const char *reason;

	(void)state;
	assert_false(rr_core_is_ready(fixture.second->core, &reason));
	assert_string_equal(reason, "no-configuration");
	fake_set_config(fixture.first, config);
	fake_run_for(fixture.cluster, 5000 * FAKE_MS);
	assert_int_equal(fixture.second->offered_revision, 3);
	rr_drop_config(config);
	/*
	 * One request at a time, although every message carries the revision.
	 */
	assert_in_range(fixture.second->sent_by_kind[RR_PEER_CONFIG_GET], 1,
			10);
	fake_drop_cluster(fixture.cluster);
}

/* A running search keeps the configuration it started with. */
static void test_change_during_a_query(void **state)
{
	struct fixture fixture = new_fixture();

	(void)state;
	set_revision(fixture.first, 1, 4);
	fake_run_for(fixture.cluster, 2000 * FAKE_MS);
	fake_search(fixture.first);
	set_revision(fixture.first, 2, 1);
	assert_true(fake_wait_for_answers(fixture.first, 1));
	assert_int_equal(fake_last_answer(fixture.first)->covered->len +
				 fake_last_answer(fixture.first)->missing->len,
			 4);
	assert_int_equal(search(fixture.first)->covered->len, 1);
	fake_drop_cluster(fixture.cluster);
}

/*
 * Guards against searches that are aborted when an instance is replaced.
 * Running searches complete, new ones are rejected at once, and only then is
 * the instance drained.
 */
static void test_drain(void **state)
{
	struct fixture fixture = new_fixture();
	struct fake_answer *answer;
	const char *reason;

	(void)state;
	set_revision(fixture.first, 1, 4);
	fake_run_for(fixture.cluster, 2000 * FAKE_MS);
	fake_search(fixture.first);
	rr_core_drain(fixture.first->ctx, fixture.first->core,
		      fixture.cluster->now_us);
	assert_false(rr_core_is_drained(fixture.first->core));
	assert_false(rr_core_is_ready(fixture.first->core, &reason));
	assert_string_equal(reason, "stopping");
	fake_search(fixture.first);
	answer = fake_last_answer(fixture.first);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	assert_true(answer->retry_after_ms > 0);
	assert_true(fake_wait_for_answers(fixture.first, 2));
	assert_int_equal(fake_last_answer(fixture.first)->outcome, RR_COMPLETE);
	assert_true(rr_core_is_drained(fixture.first->core));
	fake_drop_cluster(fixture.cluster);
}

/* A running reservation is settled before the instance is drained. */
static void test_drain_settles_claims(void **state)
{
	struct fixture fixture = new_fixture();

	(void)state;
	set_revision(fixture.first, 1, 4);
	fake_run_for(fixture.cluster, 2000 * FAKE_MS);
	fake_reserve(fixture.first, 20, "1700000001-abcdefgh");
	rr_core_drain(fixture.first->ctx, fixture.first->core,
		      fixture.cluster->now_us);
	assert_true(fake_wait_for_answers(fixture.first, 1));
	assert_int_equal(fake_last_answer(fixture.first)->outcome, RR_COMPLETE);
	assert_false(rr_core_is_drained(fixture.first->core));
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	assert_true(rr_core_is_drained(fixture.first->core));
	fake_drop_cluster(fixture.cluster);
}

static void test_status_is_json(void **state)
{
	struct fixture fixture = new_fixture();
	GString *text = g_string_new(NULL);

	(void)state;
	set_revision(fixture.first, 1, 4);
	search(fixture.first);
	rr_core_format_status(fixture.first->core, fixture.cluster->now_us,
			      text);
	assert_non_null(strstr(text->str, "\"revision\":1"));
	assert_non_null(strstr(text->str, "\"id\":\"s3b\""));
	assert_int_equal(text->str[text->len - 1], '}');
	g_string_free(text, TRUE);
	fake_drop_cluster(fixture.cluster);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_revision_never_goes_down),
		cmocka_unit_test(test_record_from_peer),
		cmocka_unit_test(test_change_during_a_query),
		cmocka_unit_test(test_drain),
		cmocka_unit_test(test_drain_settles_claims),
		cmocka_unit_test(test_status_is_json),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
