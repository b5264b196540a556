/*
 * member-net.h - memberships on a message queue in virtual time, with seeded
 * loss, delay and duplication; for the tests and slopes of that one module.
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
	size_t min_usable;    /* fewest it ever told, this instance included */
	uint64_t messages;    /* sent */
	uint64_t bytes;
	GHashTable *
		contacted_nodes; /* addresses sent to; cleared by whoever counts */
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
	uint32_t isolated_zones; /* a bit each: reach only themselves */
	uint32_t isolated_nodes; /* a bit each of the first 32: reach nobody */
	/* Nothing gets from the one to the other; the way back works. */
	const struct net_node *blocked_from;
	const struct net_node *blocked_to;
	uint64_t messages;
	uint64_t bytes;
	size_t max_updates; /* of one message, acks to newcomers excepted */
	size_t max_sync_updates;
	uint64_t changes;  /* calls of the changed callback */
	clock_t check_cpu; /* spent in net_has_converged() */
};

struct member_net *new_member_net(uint32_t seed);
void drop_member_net(struct member_net *net);

/* A node that does not run yet; addresses follow from the index. */
struct net_node *add_node(struct member_net *net, guint zone);
struct net_node *node_at(const struct member_net *net, guint index);
/* Run a node as a new process, with hints of `n_hints` other nodes. */
void start_node(struct net_node *node, guint n_hints);
void kill_node(struct net_node *node);
void pause_node(struct net_node *node, int64_t for_us);
void run_net(struct member_net *net, int64_t for_us);

/* Whether every running node that isn't leaving names exactly these. */
bool net_has_converged(const struct member_net *net);
/* Run until net_has_converged() or the limit; the time taken, or -1. */
int64_t run_until_converged(struct member_net *net, int64_t limit_us);
/* How many running nodes hold this one usable. */
guint count_nodes_seeing(const struct member_net *net,
			 const struct net_node *node);
/* Make `n` nodes spread over the zones, all running and agreed. */
void start_nodes(struct member_net *net, guint n, guint zones);

#endif
