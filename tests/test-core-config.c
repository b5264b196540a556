/*
 * test-core-config.c - configuration in force, passed on by peers, and the
 * planned stop.
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
	struct fake_instance *first;
	struct fake_instance *second;
};

static struct scene set_scene(void)
{
	struct scene scene = { .world = fake_new_cluster(41) };
	struct rr_config *config = fake_config(9, 4, 2, one_zone, 1);

	fake_add_replicas(scene.world, config);
	rr_drop_config(config);
	scene.first = fake_add_instance(scene.world, "ruaraka-1", "ruaraka", 5);
	scene.second =
		fake_add_instance(scene.world, "ruaraka-2", "ruaraka", 6);
	fake_hint_all_members(scene.world);
	return scene;
}

static bool set_revision(struct fake_instance *instance, uint64_t revision,
			 size_t n_shards)
{
	struct rr_config *config =
		fake_config(revision, n_shards, 2, one_zone, 1);
	char text[] = "record";
	bool taken = rr_core_set_config(instance->ctx, instance->core,
					instance->cluster->now_us, config, text,
					strlen(text));

	rr_drop_config(config);
	return taken;
}

static struct fake_answer *search(struct fake_instance *instance)
{
	guint n = instance->answers->len;

	fake_search(instance);
	assert_true(fake_wait_for_answers(instance, n + 1));
	return fake_answer_at(instance, n);
}

/*
 * Story: a limit that was lowered is back at its old value on one instance.
 * A slow read of the store brought the older record after the newer.  Cause:
 * the last one to come was put in force.
 */
static void test_revision_never_goes_down(void **state)
{
	struct scene scene = set_scene();

	(void)state;
	assert_true(set_revision(scene.first, 4, 4));
	assert_false(set_revision(scene.first, 3, 2));
	assert_false(set_revision(scene.first, 4, 2));
	assert_int_equal(rr_core_config_revision(scene.first->core), 4);
	assert_int_equal(search(scene.first)->covered->len, 4);
	assert_true(set_revision(scene.first, 5, 2));
	assert_int_equal(search(scene.first)->covered->len, 2);
	fake_drop_cluster(scene.world);
}

/* An instance that can't reach the store learns it from a peer. */
static void test_peer_passes_it_on(void **state)
{
	struct scene scene = set_scene();
	struct rr_config *config = fake_config(3, 4, 2, one_zone, 1);
	const char *reason;

	(void)state;
	assert_false(rr_core_is_ready(scene.second->core, &reason));
	assert_string_equal(reason, "no-configuration");
	fake_set_config(scene.first, config);
	fake_run_for(scene.world, 5000 * FAKE_MS);
	assert_int_equal(scene.second->offered_revision, 3);
	rr_drop_config(config);
	/* One ask at a time, though every message tells the revision. */
	assert_in_range(scene.second->sent_by_kind[RR_PEER_CONFIG_GET], 1, 10);
	fake_drop_cluster(scene.world);
}

/* A search under way keeps the configuration it began with. */
static void test_change_during_a_query(void **state)
{
	struct scene scene = set_scene();

	(void)state;
	set_revision(scene.first, 1, 4);
	fake_run_for(scene.world, 2000 * FAKE_MS);
	fake_search(scene.first);
	set_revision(scene.first, 2, 1);
	assert_true(fake_wait_for_answers(scene.first, 1));
	assert_int_equal(fake_last_answer(scene.first)->covered->len +
				 fake_last_answer(scene.first)->missing->len,
			 4);
	assert_int_equal(search(scene.first)->covered->len, 1);
	fake_drop_cluster(scene.world);
}

/*
 * Story: an instance is replaced; the searches it had are cut off.  They end,
 * new ones are refused at once, and only then is it drained.
 */
static void test_planned_stop(void **state)
{
	struct scene scene = set_scene();
	struct fake_answer *answer;
	const char *reason;

	(void)state;
	set_revision(scene.first, 1, 4);
	fake_run_for(scene.world, 2000 * FAKE_MS);
	fake_search(scene.first);
	rr_core_drain(scene.first->ctx, scene.first->core, scene.world->now_us);
	assert_false(rr_core_is_drained(scene.first->core));
	assert_false(rr_core_is_ready(scene.first->core, &reason));
	assert_string_equal(reason, "stopping");
	fake_search(scene.first);
	answer = fake_last_answer(scene.first);
	assert_int_equal(answer->outcome, RR_NOT_RUN);
	assert_true(answer->retry_after_ms > 0);
	assert_true(fake_wait_for_answers(scene.first, 2));
	assert_int_equal(fake_last_answer(scene.first)->outcome, RR_COMPLETE);
	assert_true(rr_core_is_drained(scene.first->core));
	fake_drop_cluster(scene.world);
}

/* A reservation in hand is settled before the instance is drained. */
static void test_stop_settles_claims(void **state)
{
	struct scene scene = set_scene();

	(void)state;
	set_revision(scene.first, 1, 4);
	fake_run_for(scene.world, 2000 * FAKE_MS);
	fake_reserve(scene.first, 20, "1700000001-abcdefgh");
	rr_core_drain(scene.first->ctx, scene.first->core, scene.world->now_us);
	assert_true(fake_wait_for_answers(scene.first, 1));
	assert_int_equal(fake_last_answer(scene.first)->outcome, RR_COMPLETE);
	assert_false(rr_core_is_drained(scene.first->core));
	fake_run_for(scene.world, 100 * FAKE_MS);
	assert_true(rr_core_is_drained(scene.first->core));
	fake_drop_cluster(scene.world);
}

static void test_status_is_json(void **state)
{
	struct scene scene = set_scene();
	GString *text = g_string_new(NULL);

	(void)state;
	set_revision(scene.first, 1, 4);
	search(scene.first);
	rr_core_format_status(scene.first->core, scene.world->now_us, text);
	assert_non_null(strstr(text->str, "\"revision\":1"));
	assert_non_null(strstr(text->str, "\"id\":\"s3b\""));
	assert_int_equal(text->str[text->len - 1], '}');
	g_string_free(text, TRUE);
	fake_drop_cluster(scene.world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_revision_never_goes_down),
		cmocka_unit_test(test_peer_passes_it_on),
		cmocka_unit_test(test_change_during_a_query),
		cmocka_unit_test(test_planned_stop),
		cmocka_unit_test(test_stop_settles_claims),
		cmocka_unit_test(test_status_is_json),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
