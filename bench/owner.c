/*
 * owner.c - CPU time of finding the owners of a replica.  After each change of
 * the member list the owners of all replicas are computed again.
 *
 *     build/bench/owner
 */
#include <glib.h>
#include <stdio.h>
#include <time.h>

#include "ragwort/owner.h"

#define ZONES 5
#define REPLICAS 5400
#define OWNERS 2
#define ROUNDS 20

static void measure(guint n, bool stored_hashes)
{
	struct rr_member_ref *members = g_new0(struct rr_member_ref, n);
	size_t owners[RR_MAX_OWNERS];
	size_t n_found = 0;
	clock_t before;
	double us_per_replica;

	for (guint i = 0; i < n; i++) {
		struct rr_member_ref *member = &members[i];

		member->zone = g_strdup_printf("zone-%u", i % ZONES);
		member->instance =
			g_strdup_printf("zone-%u-entry-%04u", i % ZONES, i);
		if (!stored_hashes)
			continue;
		member->instance_hash = rr_hash_name(member->instance);
		member->zone_hash = rr_hash_name(member->zone);
	}
	before = clock();
	for (int i = 0; i < REPLICAS * ROUNDS; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "replica-%d", i % REPLICAS);
		n_found += rr_find_owners(id, "zone-3", members, n, OWNERS,
					  owners);
	}
	us_per_replica = (double)(clock() - before) * 1e6 / CLOCKS_PER_SEC /
			 (REPLICAS * ROUNDS);
	printf("{\"bench\":\"owner\",\"members\":%u,\"stored_hashes\":%s,"
	       "\"owners\":%zu,\"us_per_replica\":%.2f,"
	       "\"ms_per_change_of_5400\":%.1f}\n",
	       n, stored_hashes ? "true" : "false", n_found / ROUNDS / REPLICAS,
	       us_per_replica, us_per_replica * REPLICAS / 1000);
	for (guint i = 0; i < n; i++) {
		g_free((char *)members[i].instance);
		g_free((char *)members[i].zone);
	}
	g_free(members);
}

int main(void)
{
	static const guint sizes[] = { 10, 50, 200, 1200 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		measure(sizes[i], false);
		measure(sizes[i], true);
	}
	return 0;
}
