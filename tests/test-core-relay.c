/*
 * test-core-relay.c - shards queried through owners: one message per owner and
 * query, lost and duplicate relays, isolated zones.
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

/*
 * Two instances per zone; the replicas of the shards alternate between the
 * zones.
 */
struct fixture {
	struct fake_cluster *cluster;
	struct rr_config *config;
	struct fake_instance *local;
	struct fake_instance *local_second;
	struct fake_instance *remote;
	struct fake_instance *remote_second;
};

static struct fixture set_up(uint32_t owners)
{
	struct fixture fixture = { .cluster = fake_new_cluster(11) };

	fixture.config = fake_config(1, 20, 2, two_zones, 2);
	fixture.config->owners_per_replica = owners;
	fake_add_replicas(fixture.cluster, fixture.config);
	fixture.local =
		fake_add_instance(fixture.cluster, "ruaraka-1", "ruaraka", 91);
	fixture.local_second =
		fake_add_instance(fixture.cluster, "ruaraka-2", "ruaraka", 92);
	fixture.remote =
		fake_add_instance(fixture.cluster, "athi-1", "athi", 93);
	fixture.remote_second =
		fake_add_instance(fixture.cluster, "athi-2", "athi", 94);
	for (guint i = 0; i < fixture.cluster->instances->len; i++)
		fake_set_config(
			g_ptr_array_index(fixture.cluster->instances, i),
			fixture.config);
	fake_hint_all_members(fixture.cluster);
	fake_run_for(fixture.cluster, 5000 * FAKE_MS);
	return fixture;
}

static void tear_down(struct fixture *fixture)
{
	rr_drop_config(fixture->config);
	fake_drop_cluster(fixture->cluster);
}

static struct fake_answer *search(struct fake_instance *instance)
{
	guint n = instance->answers->len;

	fake_search(instance);
	assert_true(fake_wait_for_answers(instance, n + 1));
	return fake_answer_at(instance, n);
}

/*
 * Guards against one message per shard in a search over both zones, which
 * overloads the link between the zones. With one owner per replica, a query
 * sends at most one message to each other owner.
 */
static void test_one_message_per_owner(void **state)
{
	struct fixture fixture = set_up(1);
	struct fake_answer *answer;
	uint64_t before;

	(void)state;
	search(fixture.local);
	before = fake_counter_value(fixture.local, RR_N_RELAYS_SENT);
	answer = search(fixture.local);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->keys->len, 200);
	assert_int_equal(answer->version, 7);
	assert_int_equal(answer->attempts, 20);
	for (guint i = 0; i < answer->keys->len; i++)
		assert_int_equal(g_array_index(answer->keys, uint64_t, i),
				 i * 10);
	assert_in_range(fake_counter_value(fixture.local, RR_N_RELAYS_SENT) -
				before,
			2, 3);
	tear_down(&fixture);
}

/* An owner of all replicas of its zone needs no relay for them. */
static void test_owner_needs_no_relay(void **state)
{
	struct fixture fixture = set_up(2);

	(void)state;
	search(fixture.local);
	search(fixture.local);
	assert_int_equal(
		fixture.local_second->sent_by_kind[RR_PEER_RELAY_REPLY], 0);
	tear_down(&fixture);
}

/*
 * Guards against abandoning a relay when its owner dies although the zone has
 * another owner: the caller would wait for the whole deadline, and the shards
 * of that zone would be missing.
 */
static void test_dead_owner_is_replaced(void **state)
{
	struct fixture fixture = set_up(2);
	struct fake_answer *answer;

	(void)state;
	search(fixture.local);
	fake_kill_instance(fixture.remote);
	for (int i = 0; i < 5; i++)
		search(fixture.local);
	fake_run_for(fixture.cluster, 10000 * FAKE_MS);
	answer = search(fixture.local);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_int_equal(answer->keys->len, 200);
	tear_down(&fixture);
}

/* A lost relay is sent to another owner early enough for the deadline. */
static void test_lost_relay_is_retried(void **state)
{
	struct fixture fixture = set_up(2);
	struct rr_config *config = fake_config(2, 20, 2, two_zones, 2);
	struct fake_answer *answer;

	(void)state;
	config->services[0].deadline_ms = 2000;
	config->services[0].retry_budget = 1.0;
	config->owners_per_replica = 2;
	for (guint i = 0; i < fixture.cluster->instances->len; i++)
		fake_set_config(
			g_ptr_array_index(fixture.cluster->instances, i),
			config);
	rr_drop_config(config);
	for (int i = 0; i < 10; i++)
		search(fixture.local);
	fixture.remote->partitioned = true;
	answer = search(fixture.local);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	tear_down(&fixture);
}

/*
 * Guards against waiting the whole deadline of each search for an isolated zone
 * that is already known to be unreachable.
 */
static void test_unreachable_zone_is_not_awaited(void **state)
{
	struct fixture fixture = set_up(2);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	search(fixture.local);
	fixture.remote->partitioned = true;
	fixture.remote_second->partitioned = true;
	answer = search(fixture.local);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_int_equal(answer->covered->len, 10);
	assert_true(fake_is_missing(answer, "s1:zone-unreachable"));
	before_us = fixture.cluster->now_us;
	answer = search(fixture.local);
	assert_int_equal(answer->outcome, RR_PARTIAL);
	assert_true(fake_is_missing(answer, "s1:zone-unreachable"));
	assert_true(answer->answered_us - before_us < 50 * FAKE_MS);
	/* The isolated zone itself still serves the shards it has. */
	fixture.local->partitioned = true;
	fixture.local_second->partitioned = true;
	answer = search(fixture.remote);
	assert_int_equal(answer->covered->len, 10);
	assert_true(fake_is_missing(answer, "s0:zone-unreachable"));
	tear_down(&fixture);
}

/*
 * Guards against searches that wait for a stalled replica in the other zone
 * although its copy is idle, because the owner of the stalled replica has no
 * connections to the copy.
 */
static void test_owner_hedges(void **state)
{
	struct fixture fixture = set_up(1);
	struct fake_answer *answer;
	int64_t before_us;

	(void)state;
	for (int i = 0; i < 30; i++)
		search(fixture.local);
	fake_replica(fixture.cluster, "s1a")->mode = FAKE_HANG;
	fake_replica(fixture.cluster, "s3b")->mode = FAKE_HANG;
	for (int i = 0; i < 3; i++) {
		before_us = fixture.cluster->now_us;
		answer = search(fixture.local);
		assert_int_equal(answer->outcome, RR_COMPLETE);
		assert_true(answer->answered_us - before_us < 50 * FAKE_MS);
		fake_run_for(fixture.cluster, 50 * FAKE_MS);
	}
	tear_down(&fixture);
}

/* The zone is served again after the partition ends. */
static void test_zone_recovers(void **state)
{
	struct fixture fixture = set_up(2);

	(void)state;
	search(fixture.local);
	fixture.remote->partitioned = true;
	fixture.remote_second->partitioned = true;
	search(fixture.local);
	fake_run_for(fixture.cluster, 3000 * FAKE_MS);
	fixture.remote->partitioned = false;
	fixture.remote_second->partitioned = false;
	fake_run_for(fixture.cluster, 10000 * FAKE_MS);
	assert_int_equal(search(fixture.local)->outcome, RR_COMPLETE);
	tear_down(&fixture);
}

/* If the caller disconnects, owners cancel the attempts they sent for it. */
static void test_cancel_reaches_owner(void **state)
{
	struct fixture fixture = set_up(2);
	uint64_t query;

	(void)state;
	search(fixture.local);
	query = fake_search(fixture.local);
	fake_run_for(fixture.cluster, 2 * FAKE_MS);
	rr_core_cancel(fixture.local->ctx, fixture.local->core,
		       fixture.cluster->now_us, query);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	assert_int_equal(
		fake_counter_value(fixture.remote, RR_N_ATTEMPTS_CANCELLED) +
			fake_counter_value(fixture.remote_second,
					   RR_N_ATTEMPTS_CANCELLED),
		10);
	tear_down(&fixture);
}

static int count_runs(struct fake_cluster *cluster, const char *id)
{
	GHashTableIter iter;
	gpointer value;
	int runs = 0;

	g_hash_table_iter_init(&iter, cluster->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		runs += GPOINTER_TO_INT(g_hash_table_lookup(
			((struct fake_replica *)value)->run_counts, id));
	return runs;
}

/* A reservation in another zone is claimed here and runs once there. */
static void test_reservation_in_other_zone(void **state)
{
	struct fixture fixture = set_up(2);
	struct fake_answer *answer;

	(void)state;
	fake_reserve(fixture.local, 120, ID);
	assert_true(fake_wait_for_answers(fixture.local, 1));
	answer = fake_last_answer(fixture.local);
	assert_int_equal(answer->outcome, RR_COMPLETE);
	assert_non_null(answer->result);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	fake_reserve(fixture.remote, 120, ID);
	assert_true(fake_wait_for_answers(fixture.remote, 1));
	assert_true(fake_last_answer(fixture.remote)->replayed);
	assert_int_equal(count_runs(fixture.cluster, ID), 1);
	tear_down(&fixture);
}

/*
 * Guards against treating a relay without a reply as not run: the owner dies
 * after it sent a reservation to a replica, the caller receives "not run" and
 * reserves again, and two reservations are made.
 */
static void test_owner_dies_after_sending(void **state)
{
	struct fixture fixture = set_up(2);
	struct fake_answer *answer;

	(void)state;
	fake_replica(fixture.cluster, "s1a")->latency_us = 50 * FAKE_MS;
	fake_replica(fixture.cluster, "s1b")->latency_us = 50 * FAKE_MS;
	fake_reserve(fixture.local, 120, ID);
	while (!count_runs(fixture.cluster, ID))
		fake_run_for(fixture.cluster, FAKE_MS);
	fake_kill_instance(fixture.remote);
	fake_kill_instance(fixture.remote_second);
	assert_true(fake_wait_for_answers(fixture.local, 1));
	answer = fake_last_answer(fixture.local);
	assert_int_equal(answer->outcome, RR_UNKNOWN);
	fake_run_for(fixture.cluster, 20000 * FAKE_MS);
	fake_reserve(fixture.local_second, 120, ID);
	assert_true(fake_wait_for_answers(fixture.local_second, 1));
	assert_int_equal(fake_last_answer(fixture.local_second)->outcome,
			 RR_UNKNOWN);
	assert_int_equal(count_runs(fixture.cluster, ID), 1);
	tear_down(&fixture);
}

static struct rr_peer_message *new_relay_message(uint64_t to_incarnation)
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

static void deliver_relay(struct fixture *fixture, uint64_t to_incarnation)
{
	struct rr_peer_message *message = new_relay_message(to_incarnation);

	rr_core_handle_peer_message(fixture->local->ctx, fixture->local->core,
				    fixture->cluster->now_us,
				    FAKE_WALL_S * G_USEC_PER_SEC, message);
	rr_drop_peer_message(message);
}

/*
 * Guards against two reservations under one claim: the relay reaches the owner
 * a second time after the first was finished, and the owner runs it again.
 */
static void test_duplicate_relay_runs_once(void **state)
{
	struct fixture fixture = set_up(2);

	(void)state;
	deliver_relay(&fixture, 91);
	deliver_relay(&fixture, 91);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	deliver_relay(&fixture, 91);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	assert_int_equal(count_runs(fixture.cluster, ID), 1);
	tear_down(&fixture);
}

/*
 * A relay to an earlier incarnation, or without an incarnation, does not run.
 */
static void test_relay_to_earlier_incarnation(void **state)
{
	struct fixture fixture = set_up(2);

	(void)state;
	deliver_relay(&fixture, 90);
	deliver_relay(&fixture, 0);
	fake_run_for(fixture.cluster, 100 * FAKE_MS);
	assert_int_equal(count_runs(fixture.cluster, ID), 0);
	assert_int_equal(
		fake_counter_value(fixture.local, RR_N_PEER_MESSAGES_STALE), 1);
	tear_down(&fixture);
}

/*
 * Guards against failed searches of other instances during a planned stop.
 * Peers choose other owners, and the stopping instance finishes what it has
 * accepted.
 */
static void test_draining_owner(void **state)
{
	struct fixture fixture = set_up(2);
	struct fake_answer *answer;
	guint i;

	(void)state;
	search(fixture.local);
	for (i = 0; i < 10; i++) {
		fake_search(fixture.local);
		if (i == 3)
			rr_core_drain(fixture.remote->ctx, fixture.remote->core,
				      fixture.cluster->now_us);
		assert_true(fake_wait_for_answers(fixture.local, i + 2));
		answer = fake_last_answer(fixture.local);
		assert_int_equal(answer->outcome, RR_COMPLETE);
	}
	fake_search(fixture.remote);
	assert_int_equal(fake_last_answer(fixture.remote)->outcome, RR_NOT_RUN);
	assert_true(rr_core_is_drained(fixture.remote->core));
	tear_down(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_message_per_owner),
		cmocka_unit_test(test_owner_needs_no_relay),
		cmocka_unit_test(test_dead_owner_is_replaced),
		cmocka_unit_test(test_lost_relay_is_retried),
		cmocka_unit_test(test_unreachable_zone_is_not_awaited),
		cmocka_unit_test(test_owner_hedges),
		cmocka_unit_test(test_zone_recovers),
		cmocka_unit_test(test_cancel_reaches_owner),
		cmocka_unit_test(test_reservation_in_other_zone),
		cmocka_unit_test(test_owner_dies_after_sending),
		cmocka_unit_test(test_duplicate_relay_runs_once),
		cmocka_unit_test(test_relay_to_earlier_incarnation),
		cmocka_unit_test(test_draining_owner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
