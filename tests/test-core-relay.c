/*
 * test-core-relay.c - shards reached through owners: one message an owner and
 * query, lost and doubled relays, zones cut off.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "support/fake-cluster.h"

#define ID "1700000001-abcdefgh"

static const char *const two_zones[] = { "ruaraka", "athi" };

/* Two instances a zone; shards take turns between the zones. */
struct scene {
	struct fake_cluster *world;
	struct rr_config *config;
	struct fake_instance *here;
	struct fake_instance *here_too;
	struct fake_instance *there;
	struct fake_instance *there_too;
};

static struct scene set_scene(uint32_t owners)
{
	struct scene scene = { .world = fake_new_cluster(11) };

	scene.config = fake_config(1, 20, 2, two_zones, 2);
	scene.config->owners_per_replica = owners;
	fake_add_replicas(scene.world, scene.config);
	scene.here = fake_add_instance(scene.world, "ruaraka-1", "ruaraka", 91);
	scene.here_too =
		fake_add_instance(scene.world, "ruaraka-2", "ruaraka", 92);
	scene.there = fake_add_instance(scene.world, "athi-1", "athi", 93);
	scene.there_too = fake_add_instance(scene.world, "athi-2", "athi", 94);
	for (guint i = 0; i < scene.world->instances->len; i++)
		fake_set_config(g_ptr_array_index(scene.world->instances, i),
				scene.config);
	fake_hint_all_members(scene.world);
	fake_run_for(scene.world, 5000 * FAKE_MS);
	return scene;
}

static void clear_scene(struct scene *scene)
{
	rr_drop_config(scene->config);
	fake_drop_cluster(scene->world);
}

static struct fake_answer *search(struct fake_instance *instance)
{
	guint n = instance->answers->len;

	fake_search(instance);
	assert_true(fake_wait_for_answers(instance, n + 1));
	return fake_answer_at(instance, n);
}

/*
 * Story: a search over both zones costs a message a shard, and the link
 * between the zones is full.  With one owner a replica a query sends at most
 * one message to each other owner.
 */
static void test_one_message_an_owner(void **state)
{
	struct scene scene = set_scene(1);
	struct fake_answer *answer;
	uint64_t before;

	(void)state;
	search(scene.here);
	before = fake_counter_value(scene.here, RR_N_RELAYS_SENT);
	answer = search(scene.here);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->keys->len, 200);
	assert_int_equal(answer->version, 7);
	assert_int_equal(answer->attempts, 20);
	for (guint i = 0; i < answer->keys->len; i++)
		assert_int_equal(g_array_index(answer->keys, uint64_t, i),
				 i * 10);
	assert_in_range(fake_counter_value(scene.here, RR_N_RELAYS_SENT) -
				before,
			2, 3);
	clear_scene(&scene);
}

/* Who is an owner of all replicas of its zone needs no message for them. */
static void test_owners_send_directly(void **state)
{
	struct scene scene = set_scene(2);

	(void)state;
	search(scene.here);
	search(scene.here);
	assert_int_equal(scene.here_too->sent_by_kind[RR_PEER_RELAY_REPLY], 0);
	clear_scene(&scene);
}

/*
 * Story: an owner dies with a search in its hands; the caller waits for the
 * whole deadline, and the yards of that zone are missing.  Cause: the relay
 * was given up with its owner, though the zone has another.
 */
static void test_dead_owner_is_replaced(void **state)
{
	struct scene scene = set_scene(2);
	struct fake_answer *answer;

	(void)state;
	search(scene.here);
	fake_kill_instance(scene.there);
	for (int i = 0; i < 5; i++)
		search(scene.here);
	fake_run_for(scene.world, 10000 * FAKE_MS);
	answer = search(scene.here);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->keys->len, 200);
	clear_scene(&scene);
}

/* A lost relay is sent to another owner in time for the deadline. */
static void test_lost_relay_is_retried(void **state)
{
	struct scene scene = set_scene(2);
	struct rr_config *config = fake_config(2, 20, 2, two_zones, 2);
	struct fake_answer *answer;

	(void)state;
	config->services[0].deadline_ms = 2000;
	config->services[0].retry_budget = 1.0;
	config->owners_per_replica = 2;
	for (guint i = 0; i < scene.world->instances->len; i++)
		fake_set_config(g_ptr_array_index(scene.world->instances, i),
				config);
	rr_drop_config(config);
	for (int i = 0; i < 10; i++)
		search(scene.here);
	scene.there->partitioned = true;
	answer = search(scene.here);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	clear_scene(&scene);
}

/*
 * Story: a zone is cut off; each search waits the whole deadline for it.
 * Cause: that nothing can come of it was known, and it was waited for.
 */
static void test_cut_zone_is_named_and_not_waited_for(void **state)
{
	struct scene scene = set_scene(2);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	search(scene.here);
	scene.there->partitioned = true;
	scene.there_too->partitioned = true;
	answer = search(scene.here);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_int_equal(answer->covered->len, 10);
	assert_true(fake_is_missing(answer, "s1:zone-unreachable"));
	before_us = scene.world->now_us;
	answer = search(scene.here);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s1:zone-unreachable"));
	assert_true(answer->answered_us - before_us < 50 * FAKE_MS);
	/* The zone itself goes on serving what it has. */
	scene.here->partitioned = true;
	scene.here_too->partitioned = true;
	answer = search(scene.there);
	assert_int_equal(answer->covered->len, 10);
	assert_true(fake_is_missing(answer, "s0:zone-unreachable"));
	clear_scene(&scene);
}

/*
 * Story: a replica in the other zone stalls; searches from here wait for it
 * though its copy is idle.  Cause: its owner held no connections to the copy.
 */
static void test_owner_hedges(void **state)
{
	struct scene scene = set_scene(1);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	for (int i = 0; i < 30; i++)
		search(scene.here);
	fake_replica(scene.world, "s1a")->mode = FAKE_HANG;
	fake_replica(scene.world, "s3b")->mode = FAKE_HANG;
	for (int i = 0; i < 3; i++) {
		before_us = scene.world->now_us;
		answer = search(scene.here);
		assert_int_equal(answer->outcome, RR_COMPLETE);
		assert_true(answer->answered_us - before_us < 50 * FAKE_MS);
		fake_run_for(scene.world, 50 * FAKE_MS);
	}
	clear_scene(&scene);
}

/* After the cut the zone is served again. */
static void test_zone_comes_back(void **state)
{
	struct scene scene = set_scene(2);

	(void)state;
	search(scene.here);
	scene.there->partitioned = true;
	scene.there_too->partitioned = true;
	search(scene.here);
	fake_run_for(scene.world, 3000 * FAKE_MS);
	scene.there->partitioned = false;
	scene.there_too->partitioned = false;
	fake_run_for(scene.world, 10000 * FAKE_MS);
	assert_int_equal(search(scene.here)->outcome, RR_COMPLETE);
	clear_scene(&scene);
}

/* The caller leaves: owners withdraw what they sent for it. */
static void test_cancel_reaches_owners(void **state)
{
	struct scene scene = set_scene(2);
	uint64_t query;

	(void)state;
	search(scene.here);
	query = fake_search(scene.here);
	fake_run_for(scene.world, 2 * FAKE_MS);
	rr_core_cancel(scene.here->ctx, scene.here->core, scene.world->now_us,
		       query);
	fake_run_for(scene.world, 100 * FAKE_MS);
	assert_int_equal(
		fake_counter_value(scene.there, RR_N_ATTEMPTS_CANCELLED) +
			fake_counter_value(scene.there_too,
					   RR_N_ATTEMPTS_CANCELLED),
		10);
	clear_scene(&scene);
}

static int count_runs(struct fake_cluster *world, const char *id)
{
	GHashTableIter iter;
	gpointer value;
	int runs = 0;

	g_hash_table_iter_init(&iter, world->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		runs += GPOINTER_TO_INT(g_hash_table_lookup(
			((struct fake_replica *)value)->run_counts, id));
	return runs;
}

/* A reservation in another zone: claimed here, run once there. */
static void test_reservation_in_other_zone(void **state)
{
	struct scene scene = set_scene(2);
	struct fake_answer *answer;

	(void)state;
	fake_reserve(scene.here, 120, ID);
	assert_true(fake_wait_for_answers(scene.here, 1));
	answer = fake_last_answer(scene.here);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_non_null(answer->result);
	fake_run_for(scene.world, 100 * FAKE_MS);
	fake_reserve(scene.there, 120, ID);
	assert_true(fake_wait_for_answers(scene.there, 1));
	assert_true(fake_last_answer(scene.there)->replayed);
	assert_int_equal(count_runs(scene.world, ID), 1);
	clear_scene(&scene);
}

/*
 * Story: the owner dies after it sent the reservation on; the caller hears
 * "not run", reserves again, and two pallets are gone.  Cause: a relay
 * without a reply was taken for one that did not run.
 */
static void test_owner_dies_after_sending(void **state)
{
	struct scene scene = set_scene(2);
	struct fake_answer *answer;

	(void)state;
	fake_replica(scene.world, "s1a")->latency_us = 50 * FAKE_MS;
	fake_replica(scene.world, "s1b")->latency_us = 50 * FAKE_MS;
	fake_reserve(scene.here, 120, ID);
	while (!count_runs(scene.world, ID))
		fake_run_for(scene.world, FAKE_MS);
	fake_kill_instance(scene.there);
	fake_kill_instance(scene.there_too);
	assert_true(fake_wait_for_answers(scene.here, 1));
	answer = fake_last_answer(scene.here);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	fake_run_for(scene.world, 20000 * FAKE_MS);
	fake_reserve(scene.here_too, 120, ID);
	assert_true(fake_wait_for_answers(scene.here_too, 1));
	assert_int_equal(fake_last_answer(scene.here_too)->outcome, RR_UNKNOWN);
	assert_int_equal(count_runs(scene.world, ID), 1);
	clear_scene(&scene);
}

static struct rr_peer_message *make_relay(uint64_t to_incarnation)
{
	struct rr_peer_message *message = rr_new_peer_message(RR_PEER_RELAY);
	struct rr_relay *relay = g_new0(struct rr_relay, 1);

	message->from = g_strdup("athi-1");
	message->from_incarnation = 93;
	message->to_incarnation = to_incarnation;
	message->relay = relay;
	relay->query_id = 77;
	relay->kind = RR_RESERVE;
	relay->service = g_strdup("desk");
	relay->request_id = g_strdup("r");
	relay->body = g_strdup("{}");
	relay->idempotency_key = g_strdup(ID);
	relay->key_from = 20;
	relay->key_to = 21;
	relay->row_limit = 10;
	relay->remaining_ms = 300;
	relay->n_shards = 1;
	relay->shards = g_new0(struct rr_relay_shard, 1);
	relay->shards[0].shard = g_strdup("s0");
	relay->shards[0].preferred_replica = g_strdup("s0a");
	return message;
}

static void hand_relay(struct scene *scene, uint64_t to_incarnation)
{
	struct rr_peer_message *message = make_relay(to_incarnation);

	rr_core_handle_peer_message(scene->here->ctx, scene->here->core,
				    scene->world->now_us,
				    FAKE_WALL_S * G_USEC_PER_SEC, message);
	rr_drop_peer_message(message);
}

/*
 * Story: one claim, two reservations.  The relay came to the owner twice, the
 * second time after the first was done.  Cause: the owner ran what it got.
 */
static void test_doubled_relay_runs_once(void **state)
{
	struct scene scene = set_scene(2);

	(void)state;
	hand_relay(&scene, 91);
	hand_relay(&scene, 91);
	fake_run_for(scene.world, 100 * FAKE_MS);
	hand_relay(&scene, 91);
	fake_run_for(scene.world, 100 * FAKE_MS);
	assert_int_equal(count_runs(scene.world, ID), 1);
	clear_scene(&scene);
}

/* A relay meant for the instance's earlier life, or for nobody's: not run. */
static void test_relay_for_earlier_life(void **state)
{
	struct scene scene = set_scene(2);

	(void)state;
	hand_relay(&scene, 90);
	hand_relay(&scene, 0);
	fake_run_for(scene.world, 100 * FAKE_MS);
	assert_int_equal(count_runs(scene.world, ID), 0);
	assert_int_equal(
		fake_counter_value(scene.here, RR_N_PEER_MESSAGES_STALE), 1);
	clear_scene(&scene);
}

/*
 * Story: an instance is stopped as planned, and searches of the others fail.
 * Its peers go elsewhere; what it has in hand it ends.
 */
static void test_stopping_owner(void **state)
{
	struct scene scene = set_scene(2);
	struct fake_answer *answer;
	guint i;

	(void)state;
	search(scene.here);
	for (i = 0; i < 10; i++) {
		fake_search(scene.here);
		if (i == 3)
			rr_core_drain(scene.there->ctx, scene.there->core,
				      scene.world->now_us);
		assert_true(fake_wait_for_answers(scene.here, i + 2));
		answer = fake_last_answer(scene.here);
		assert_int_equal(answer->outcome, RR_COMPLETE);
	}
	fake_search(scene.there);
	assert_int_equal(fake_last_answer(scene.there)->outcome, RR_NOT_RUN);
	assert_true(rr_core_is_drained(scene.there->core));
	clear_scene(&scene);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_message_an_owner),
		cmocka_unit_test(test_owners_send_directly),
		cmocka_unit_test(test_dead_owner_is_replaced),
		cmocka_unit_test(test_lost_relay_is_retried),
		cmocka_unit_test(test_cut_zone_is_named_and_not_waited_for),
		cmocka_unit_test(test_owner_hedges),
		cmocka_unit_test(test_zone_comes_back),
		cmocka_unit_test(test_cancel_reaches_owners),
		cmocka_unit_test(test_reservation_in_other_zone),
		cmocka_unit_test(test_owner_dies_after_sending),
		cmocka_unit_test(test_doubled_relay_runs_once),
		cmocka_unit_test(test_relay_for_earlier_life),
		cmocka_unit_test(test_stopping_owner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
