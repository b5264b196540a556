/*
 * test-member.c - membership with message loss, churn, pauses and partitions,
 * in virtual time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "ragwort/counters.h"
#include "ragwort/wire.h"
#include "support/member-net.h"

#define ZONES 3

static struct member_net *new_converged_net(uint32_t seed, guint n)
{
	struct member_net *net = new_member_net(seed);

	start_nodes(net, n, ZONES);
	assert_true(run_until_converged(net, 60 * NET_SECOND) >= 0);
	return net;
}

static void test_join_with_loss(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct member_net *net = new_member_net(seed);

		net->loss_rate = 0.1;
		net->duplicate_rate = 0.1;
		net->max_delay_us = 60000;
		start_nodes(net, 30, ZONES);
		assert_true(run_until_converged(net, 60 * NET_SECOND) >= 0);
		drop_member_net(net);
	}
}

/*
 * Guards against a crashed instance that stays in member lists: searches would
 * be relayed to it and miss its shards. It has to be removed from all member
 * lists within a time limit, and updates still in circulation must not keep it
 * alive.
 */
static void test_dead_member_is_removed_in_time(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct member_net *net = new_converged_net(seed, 30);

		net->loss_rate = 0.05;
		kill_node(node_at(net, 7));
		run_net(net, 30 * NET_SECOND);
		assert_int_equal(count_nodes_seeing(net, node_at(net, 7)), 0);
		run_net(net, 60 * NET_SECOND);
		assert_int_equal(count_nodes_seeing(net, node_at(net, 7)), 0);
		drop_member_net(net);
	}
}

/*
 * Guards against declaring a live instance dead because its acks are lost for
 * two seconds, which would move the owners of shards. A lost message looks like
 * a crash until the suspect had the chance to refute.
 */
static void test_suspect_refutes(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct member_net *net = new_converged_net(seed, 30);
		uint64_t changes = net->changes;

		net->isolated_nodes = 1u << 4;
		run_net(net, 2 * NET_SECOND);
		net->isolated_nodes = 0;
		run_net(net, 30 * NET_SECOND);
		assert_true(net_has_converged(net));
		assert_int_equal(net->changes, changes);
		drop_member_net(net);
	}
}

/* Return how often an instance had to refute the state reported for it. */
static uint32_t refutation_count(const struct net_node *node)
{
	size_t n;
	struct rr_member_update *list = rr_list_members(node->members, &n);
	uint32_t number = list[0].refutation;

	g_free(list);
	return number;
}

/*
 * Guards against flapping when a switch drops only the messages from one
 * instance to another: the two would alternately consider each other dead and
 * alive, and owners would move each time. Other members can reach both and have
 * to be asked to ping, so that not even a suspicion arises.
 */
static void test_one_way_loss_is_tolerated(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct member_net *net = new_converged_net(seed, 12);
		uint64_t changes = net->changes;

		net->blocked_from = node_at(net, 2);
		net->blocked_to = node_at(net, 5);
		run_net(net, 120 * NET_SECOND);
		assert_int_equal(net->changes, changes);
		assert_int_equal(refutation_count(net->blocked_from), 0);
		assert_int_equal(refutation_count(net->blocked_to), 0);
		drop_member_net(net);
	}
}

/*
 * Guards against a partition that never heals: two zones are separated for five
 * minutes while the platform is down too. If each side considers the other dead
 * and pings only live members, searches in one zone miss all shards of the
 * other for ever after the network recovers.
 */
static void test_partition_heals(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct member_net *net = new_converged_net(seed, 30);

		net->isolated_zones = 1u << 1;
		run_net(net, 300 * NET_SECOND);
		assert_int_equal(count_nodes_seeing(net, node_at(net, 1)), 9);
		assert_int_equal(count_nodes_seeing(net, node_at(net, 0)), 19);
		net->isolated_zones = 0;
		assert_true(run_until_converged(net, 60 * NET_SECOND) >= 0);
		drop_member_net(net);
	}
}

/*
 * Guards against an instance that considers all others dead after its own
 * pause: its link was bad for two seconds, then it is stopped for a minute. At
 * its first tick every suspicion is overdue, since no member could refute
 * during the pause, and it would relay nothing.
 */
static void test_paused_member_suspects_no_member(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct member_net *net = new_converged_net(seed, 30);
		struct net_node *node = node_at(net, 3);

		net->isolated_nodes = 1u << node->index;
		run_net(net, 2500000);
		net->isolated_nodes = 0;
		pause_node(node, 60 * NET_SECOND);
		run_net(net, 59 * NET_SECOND);
		assert_int_equal(count_nodes_seeing(net, node), 0);
		node->min_usable = 30;
		assert_true(run_until_converged(net, 30 * NET_SECOND) >= 0);
		assert_int_equal(node->min_usable, 30);
		drop_member_net(net);
	}
}

/*
 * Guards against relays to an instance that stops as planned, from members that
 * have not received its announcement. All members have to learn of it within
 * seconds, while it still runs.
 */
static void test_leaving_member_is_removed(void **state)
{
	struct member_net *net = new_converged_net(1, 60);
	struct net_node *node = node_at(net, 5);
	size_t n;

	(void)state;
	rr_announce_leaving(net->ctx, node->members, net->now_us);
	node->leaving = true;
	run_net(net, 5 * NET_SECOND);
	assert_int_equal(count_nodes_seeing(net, node), 0);
	assert_true(rr_members_is_leaving(node->members));
	rr_usable_members(node->members, &n);
	assert_int_equal(n, 59);
	kill_node(node);
	run_net(net, 60 * NET_SECOND);
	assert_true(net_has_converged(net));
	drop_member_net(net);
}

/* Return how many running nodes have declared a node dead. */
static guint count_nodes_declaring_dead(const struct member_net *net,
					const struct net_node *node)
{
	guint n_dead = 0;

	for (guint i = 0; i < net->nodes->len; i++) {
		const struct net_node *other = node_at(net, i);
		struct rr_member_update *list;
		size_t n;

		if (other == node || !other->members)
			continue;
		list = rr_list_members(other->members, &n);
		for (size_t at = 0; at < n; at++)
			n_dead += !strcmp(list[at].instance, node->instance) &&
				  list[at].state == RR_MEMBER_DEAD;
		g_free(list);
	}
	return n_dead;
}

/*
 * Guards against parts that are lost in a planned stop: an instance that leaves
 * misses a probe, answers all later ones, and is declared dead while it finishes
 * what it has accepted.
 */
static void test_leaving_member_that_answers_is_not_dead(void **state)
{
	struct member_net *net = new_converged_net(1, 3);
	struct net_node *node = node_at(net, 1);

	(void)state;
	rr_announce_leaving(net->ctx, node->members, net->now_us);
	node->leaving = true;
	run_net(net, NET_SECOND);
	pause_node(node, NET_SECOND);
	for (int i = 0; i < 20; i++) {
		run_net(net, NET_SECOND);
		assert_int_equal(count_nodes_declaring_dead(net, node), 0);
	}
	kill_node(node);
	run_net(net, 10 * NET_SECOND);
	assert_int_equal(count_nodes_declaring_dead(net, node), 2);
	drop_member_net(net);
}

/*
 * Guards against confusing a restarted instance with the earlier process of the
 * same name: relays to the earlier one would run twice or be dropped. A restart
 * has to be recognised as a new incarnation, and late messages of the earlier
 * one as stale.
 */
static void test_restart_same_name(void **state)
{
	struct member_net *net = new_converged_net(1, 20);
	struct net_node *node = node_at(net, 6);
	struct net_node *other = node_at(net, 0);
	struct rr_peer_message *late = rr_new_peer_message(RR_PEER_PING);
	uint64_t stale;

	(void)state;
	late->from = g_strdup(node->instance);
	late->from_incarnation = node->incarnation;
	start_node(node, 1);
	assert_true(run_until_converged(net, 30 * NET_SECOND) >= 0);
	stale = rr_counter_value(net->ctx, RR_N_PEER_MESSAGES_STALE);
	rr_handle_member_message(net->ctx, other->members, net->now_us, late);
	assert_int_equal(rr_counter_value(net->ctx, RR_N_PEER_MESSAGES_STALE),
			 stale + 1);
	rr_drop_peer_message(late);
	drop_member_net(net);
}

/*
 * Guards against a dead instance that seems alive for ever because the platform
 * assigned its address to a new instance, which answers its pings.
 */
static void test_address_is_reused(void **state)
{
	struct member_net *net = new_converged_net(1, 12);
	struct net_node *old = node_at(net, 2);

	(void)state;
	kill_node(old);
	g_free(old->instance);
	old->instance = g_strdup("replacement");
	start_node(old, 2);
	assert_true(run_until_converged(net, 60 * NET_SECOND) >= 0);
	drop_member_net(net);
}

static void test_unanswered_hint_is_not_usable(void **state)
{
	struct member_net *net = new_converged_net(1, 3);
	struct net_node *node = node_at(net, 0);
	const char *address;
	uint64_t incarnation;

	(void)state;
	rr_hint_member(net->ctx, node->members, net->now_us, "ghost", "zone-1",
		       "10.1.0.2:8201");
	run_net(net, 60 * NET_SECOND);
	assert_false(
		rr_find_member(node->members, "ghost", &address, &incarnation));
	assert_true(net_has_converged(net));
	drop_member_net(net);
}

/* A seed has only an address; its name is learned from its answer. */
static void test_join_by_seed(void **state)
{
	struct member_net *net = new_converged_net(1, 10);
	struct net_node *node = add_node(net, 0);

	(void)state;
	start_node(node, 0);
	rr_hint_member(net->ctx, node->members, net->now_us, NULL, NULL,
		       node_at(net, 4)->address);
	assert_true(run_until_converged(net, 30 * NET_SECOND) >= 0);
	drop_member_net(net);
}

static void inject_fault(struct member_net *net)
{
	struct net_node *node =
		node_at(net, (guint)g_rand_int_range(net->random, 0, 24));

	switch (g_rand_int_range(net->random, 0, 8)) {
	case 0:
		kill_node(node);
		break;
	case 1:
	case 2:
		start_node(node, 2);
		break;
	case 3:
		if (node->members) {
			rr_announce_leaving(net->ctx, node->members,
					    net->now_us);
			node->leaving = true;
		}
		break;
	case 4:
		pause_node(node,
			   g_rand_int_range(net->random, 1, 40) * NET_SECOND);
		break;
	case 5:
		net->isolated_zones ^=
			1u << g_rand_int_range(net->random, 0, ZONES);
		break;
	case 6:
		net->isolated_nodes ^= 1u << node->index;
		break;
	default:
		net->loss_rate = 0.3 * g_rand_double(net->random);
		break;
	}
}

/*
 * Guards against a member that stays missing from another's member list
 * although both run and reach each other. After any mix of faults and then a
 * period without faults, all live members have to agree again. Restarted nodes
 * get only a few hints, so that the members have to find each other.
 */
static void test_random_churn(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 8; seed++) {
		struct member_net *net = new_converged_net(seed, 24);

		net->duplicate_rate = 0.05;
		for (int i = 0; i < 60; i++) {
			inject_fault(net);
			run_net(net, g_rand_int_range(net->random, 1, 12) *
					     NET_SECOND);
		}
		net->loss_rate = 0;
		net->isolated_zones = 0;
		net->isolated_nodes = 0;
		for (guint i = 0; i < 24; i++) {
			node_at(net, i)->paused_until_us = 0;
			if (!node_at(net, i)->members)
				start_node(node_at(net, i), 4);
		}
		if (run_until_converged(net, 120 * NET_SECOND) < 0)
			fail_msg("seed %u: member lists did not converge",
				 seed);
		run_net(net, 60 * NET_SECOND);
		assert_true(net_has_converged(net));
		drop_member_net(net);
	}
}

/*
 * Under any churn a message has at most 24 updates; only the full-sync ack for
 * a new member is longer, and it is limited by the wire format.
 */
static void test_messages_are_bounded(void **state)
{
	struct member_net *net = new_member_net(1);

	(void)state;
	start_nodes(net, 100, ZONES);
	run_net(net, 60 * NET_SECOND);
	net->isolated_zones = 2;
	run_net(net, 60 * NET_SECOND);
	net->isolated_zones = 0;
	run_net(net, 60 * NET_SECOND);
	assert_true(net->max_updates <= 24);
	assert_true(net->max_sync_updates > 24);
	assert_true(net->max_sync_updates <= RR_MAX_PEER_UPDATES);
	assert_true(net_has_converged(net));
	drop_member_net(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_join_with_loss),
		cmocka_unit_test(test_dead_member_is_removed_in_time),
		cmocka_unit_test(test_suspect_refutes),
		cmocka_unit_test(test_one_way_loss_is_tolerated),
		cmocka_unit_test(test_partition_heals),
		cmocka_unit_test(test_paused_member_suspects_no_member),
		cmocka_unit_test(test_leaving_member_is_removed),
		cmocka_unit_test(test_leaving_member_that_answers_is_not_dead),
		cmocka_unit_test(test_restart_same_name),
		cmocka_unit_test(test_address_is_reused),
		cmocka_unit_test(test_unanswered_hint_is_not_usable),
		cmocka_unit_test(test_join_by_seed),
		cmocka_unit_test(test_random_churn),
		cmocka_unit_test(test_messages_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
