/*
 * member-net.h - memberships connected by an event queue in virtual time, with
 * seeded loss, delay and duplication, for the tests and scaling measurements of
 * that module.
 */
#ifndef RAGWORT_TEST_MEMBER_NET_H
#define RAGWORT_TEST_MEMBER_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "ragwort/member.h"
#include "support/event-queue.h"

#define NET_SECOND INT64_C(1000000)

struct net_node {
	struct member_net *net;
	guint index;
	char *instance;
	char *address;
	guint zone;
	uint64_t incarnation;
	struct rr_members *members; /* NULL: not running */
	bool leaving;
	int64_t paused_until_us;
	int64_t scheduled_us; /* earliest tick in the queue */
	/* lowest number of usable members it reported, itself included */
	size_t min_usable;
	uint64_t messages; /* sent */
	uint64_t bytes;
	/* struct net_node sent to; cleared by the code that counts them */
	GHashTable *contacted_nodes;
};

struct member_net {
	struct rr_context *ctx;
	GRand *random;
	int64_t now_us;
	GPtrArray *nodes; /* struct net_node */
	struct event_queue *events;
	double loss_rate;
	double duplicate_rate;
	int64_t min_delay_us;
	int64_t max_delay_us;
	/* one bit per zone: its nodes reach only each other */
	uint32_t isolated_zones;
	/* one bit for each of the first 32 nodes: reaches no other node */
	uint32_t isolated_nodes;
	/*
	 * Messages from blocked_from to blocked_to are lost; the other
	 * direction works.
	 */
	const struct net_node *blocked_from;
	const struct net_node *blocked_to;
	uint64_t messages;
	uint64_t bytes;
	size_t max_updates; /* maximum per message, full-sync acks excepted */
	size_t max_sync_updates;
	uint64_t changes;  /* number of calls of the changed callback */
	clock_t check_cpu; /* CPU time spent in net_has_converged() */
};

struct member_net *new_member_net(uint32_t seed);
void drop_member_net(struct member_net *net);

/*
 * Add a node that does not run yet. Its address follows from the zone and the
 * index.
 */
struct net_node *add_node(struct member_net *net, guint zone);
struct net_node *node_at(const struct member_net *net, guint index);
/* Start a node as a new process, with hints of `n_hints` other nodes. */
void start_node(struct net_node *node, guint n_hints);
void kill_node(struct net_node *node);
void pause_node(struct net_node *node, int64_t duration_us);
void run_net(struct member_net *net, int64_t duration_us);

/*
 * Return whether every running node that is not leaving knows exactly the
 * running nodes that are not leaving, with their current incarnations.
 */
bool net_has_converged(const struct member_net *net);
/*
 * Run until net_has_converged() or for `timeout_us`. Returns the time taken, or
 * -1 on time-out.
 */
int64_t run_until_converged(struct member_net *net, int64_t timeout_us);
/* Return the number of other running nodes that consider this one usable. */
guint count_nodes_seeing(const struct member_net *net,
			 const struct net_node *node);
/* Add and start `n` nodes, spread over the zones, with three hints each. */
void start_nodes(struct member_net *net, guint n, guint zones);

#endif
