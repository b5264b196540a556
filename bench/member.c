/*
 * member.c - cost and convergence time of the membership protocol, by number
 * of members.
 *
 * All members run in this process in virtual time; each message passes through
 * the peer message encoder and decoder.  CPU time is that of the whole process
 * including the experiment's message queue, so it is an upper bound.
 *
 *     build/bench/member [members...]    (10 50 200 1200)
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../tests/support/member-net.h"

#define ZONES 5
#define SAMPLE_US (NET_SECOND / 10)
#define CONVERGENCE_TIMEOUT_US (600 * NET_SECOND)
/* Target deployment: 18 failures and 1,000 restarts a day at 1,200 nodes. */
#define EVENTS_PER_DAY 1018.0
#define TARGET_NODES 1200
#define DAY_S 86400
#define RACK_NODES 40
#define FAILURES 5

struct sample {
	int64_t now_us;
	uint64_t messages;
	uint64_t bytes;
	clock_t cpu;
};

static struct sample take_sample(const struct member_net *net)
{
	return (struct sample){ net->now_us, net->messages, net->bytes,
				clock() - net->check_cpu };
}

/* Print rates per member and second since a sample, as JSON members. */
static void print_rates(const struct member_net *net, struct sample since)
{
	double n = net->nodes->len;
	double seconds = (double)(net->now_us - since.now_us) / NET_SECOND;
	double cpu_us = (double)(clock() - net->check_cpu - since.cpu) * 1e6 /
			CLOCKS_PER_SEC;

	printf(",\"seconds\":%.1f,\"messages_per_s\":%.2f,"
	       "\"bytes_per_s\":%.0f,\"cpu_us_per_s\":%.1f",
	       seconds, (double)(net->messages - since.messages) / n / seconds,
	       (double)(net->bytes - since.bytes) / n / seconds,
	       cpu_us / n / seconds);
}

static void begin_line(const struct member_net *net, const char *phase)
{
	printf("{\"bench\":\"member\",\"members\":%u,\"phase\":\"%s\"",
	       net->nodes->len, phase);
}

static void end_line(void)
{
	printf("}\n");
	fflush(stdout);
}

static void require_convergence(struct member_net *net, const char *phase,
				bool print_time)
{
	int64_t elapsed_us = run_until_converged(net, CONVERGENCE_TIMEOUT_US);

	if (elapsed_us < 0) {
		fprintf(stderr,
			"member: member lists did not converge after %s\n",
			phase);
		exit(1);
	}
	if (print_time)
		printf(",\"agreed_s\":%.1f", (double)elapsed_us / NET_SECOND);
}

static void measure_start(struct member_net *net, guint n)
{
	struct sample since = take_sample(net);
	size_t before = mallinfo2().uordblks;

	start_nodes(net, n, ZONES);
	begin_line(net, "start-all");
	require_convergence(net, "the start", true);
	print_rates(net, since);
	run_net(net, 60 * NET_SECOND);
	printf(",\"memory_bytes_per_node\":%zu",
	       (mallinfo2().uordblks - before) / n);
	end_line();
}

/* Measure rates over a minute, and the number of peers a member contacts. */
static void measure_steady(struct member_net *net)
{
	struct sample since = take_sample(net);
	guint n_contacted = 0;

	for (guint i = 0; i < net->nodes->len; i++)
		g_hash_table_remove_all(node_at(net, i)->contacted_nodes);
	run_net(net, 60 * NET_SECOND);
	for (guint i = 0; i < net->nodes->len; i++)
		n_contacted +=
			g_hash_table_size(node_at(net, i)->contacted_nodes);
	begin_line(net, "steady");
	print_rates(net, since);
	printf(",\"links\":%.1f", (double)n_contacted / net->nodes->len);
	end_line();
}

static struct net_node *select_node(struct member_net *net)
{
	guint i = (guint)g_rand_int_range(net->random, 0,
					  (gint32)net->nodes->len);

	return node_at(net, i);
}

static double seconds_since(const struct member_net *net, int64_t start_us)
{
	return (double)(net->now_us - start_us) / NET_SECOND;
}

/* Measure the time until the first and until all members see a node as dead. */
static void measure_failure(struct member_net *net)
{
	double detected_s = 0;
	double all_s = 0;
	double worst_s = 0;

	for (int i = 0; i < FAILURES; i++) {
		struct net_node *node = select_node(net);
		int64_t killed_us = net->now_us;
		guint n_seeing = net->nodes->len - 1;
		double elapsed_s = 0;

		kill_node(node);
		while (n_seeing) {
			run_net(net, SAMPLE_US);
			n_seeing = count_nodes_seeing(net, node);
			if (!elapsed_s && n_seeing < net->nodes->len - 1)
				elapsed_s = seconds_since(net, killed_us);
		}
		detected_s += elapsed_s;
		elapsed_s = seconds_since(net, killed_us);
		all_s += elapsed_s;
		worst_s = MAX(worst_s, elapsed_s);
		start_node(node, 2);
		require_convergence(net, "a failure", false);
	}
	begin_line(net, "one-failure");
	printf(",\"failures\":%d,\"detected_s\":%.1f,\"all_know_s\":%.1f,"
	       "\"worst_all_know_s\":%.1f",
	       FAILURES, detected_s / FAILURES, all_s / FAILURES, worst_s);
	end_line();
}

/* Planned restart: leave, stop, start again with the same name. */
static void restart(struct member_net *net)
{
	struct net_node *node = select_node(net);

	rr_announce_leaving(net->ctx, node->members, net->now_us);
	node->leaving = true;
	run_net(net, 2 * NET_SECOND);
	kill_node(node);
	run_net(net, 5 * NET_SECOND);
	start_node(node, 2);
}

/* Measure rates with restarts at the target deployment's rate per node. */
static void measure_churn(struct member_net *net)
{
	double interval_s =
		DAY_S / EVENTS_PER_DAY * TARGET_NODES / net->nodes->len;
	int events = interval_s < 600 ? 3 : 1;
	struct sample since;

	interval_s = MIN(interval_s, 3000);
	since = take_sample(net);
	for (int i = 0; i < events; i++) {
		restart(net);
		run_net(net, (int64_t)((interval_s - 7) * NET_SECOND));
	}
	begin_line(net, "churn");
	printf(",\"restarts\":%d", events);
	print_rates(net, since);
	require_convergence(net, "churn", true);
	end_line();
}

static void measure_rack(struct member_net *net)
{
	struct sample since = take_sample(net);

	/* Nodes of the same zone, as in a rack. */
	for (guint i = 0; i < RACK_NODES; i++)
		kill_node(node_at(net, i * ZONES));
	begin_line(net, "rack-lost");
	require_convergence(net, "the loss of a rack", true);
	print_rates(net, since);
	end_line();
	since = take_sample(net);
	for (guint i = 0; i < RACK_NODES; i++)
		start_node(node_at(net, i * ZONES), 2);
	begin_line(net, "rack-back");
	require_convergence(net, "the return of a rack", true);
	print_rates(net, since);
	end_line();
}

static void measure_partition(struct member_net *net)
{
	struct sample since = take_sample(net);

	net->isolated_zones = 1;
	run_net(net, 180 * NET_SECOND);
	begin_line(net, "zone-cut");
	print_rates(net, since);
	end_line();
	net->isolated_zones = 0;
	since = take_sample(net);
	begin_line(net, "zone-back");
	require_convergence(net, "a partition", true);
	print_rates(net, since);
	end_line();
}

static void measure(guint n)
{
	struct member_net *net = new_member_net(1);

	measure_start(net, n);
	measure_steady(net);
	measure_failure(net);
	measure_churn(net);
	if (n >= ZONES * RACK_NODES)
		measure_rack(net);
	measure_partition(net);
	drop_member_net(net);
}

int main(int argc, char **argv)
{
	static const guint sizes[] = { 10, 50, 200, 1200 };

	if (argc > 1) {
		for (int i = 1; i < argc; i++)
			measure((guint)MAX(2, atoi(argv[i])));
		return 0;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	return 0;
}
