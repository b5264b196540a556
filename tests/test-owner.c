/*
 * test-owner.c - selection of owners by rendezvous hashing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "ragwort/owner.h"

#define MAX_MEMBERS 60
#define REPLICAS 2000
#define OWNERS 2

struct fleet {
	struct rr_member_ref members[MAX_MEMBERS];
	char names[MAX_MEMBERS][32];
	size_t n;
};

static void make_fleet(struct fleet *fleet, size_t n, size_t zones)
{
	static const char *const zone_names[] = { "ruaraka", "embakasi",
						  "athi" };

	memset(fleet, 0, sizeof(*fleet));
	fleet->n = n;
	for (size_t i = 0; i < n; i++) {
		const char *zone = zone_names[i % zones];

		g_snprintf(fleet->names[i], sizeof(fleet->names[i]), "%s-%zu",
			   zone, i);
		fleet->members[i].instance = fleet->names[i];
		fleet->members[i].zone = zone;
	}
}

static void remove_member(struct fleet *fleet, size_t i)
{
	memmove(&fleet->members[i], &fleet->members[i + 1],
		(fleet->n - i - 1) * sizeof(fleet->members[0]));
	fleet->n--;
}

static size_t find_owner_names(const struct fleet *fleet, int replica,
			       const char *zone, size_t k, const char **names)
{
	size_t owners[RR_MAX_OWNERS];
	char id[32];
	size_t n;

	g_snprintf(id, sizeof(id), "replica-%d", replica);
	n = rr_find_owners(id, zone, fleet->members, fleet->n, k, owners);
	for (size_t i = 0; i < n; i++)
		names[i] = fleet->members[owners[i]].instance;
	return n;
}

static void test_owners_are_in_zone(void **state)
{
	struct fleet fleet;
	const char *names[RR_MAX_OWNERS];

	(void)state;
	make_fleet(&fleet, 9, 3);
	for (int r = 0; r < REPLICAS; r++) {
		assert_int_equal(
			find_owner_names(&fleet, r, "athi", OWNERS, names), 2);
		assert_true(g_str_has_prefix(names[0], "athi-"));
		assert_true(g_str_has_prefix(names[1], "athi-"));
		assert_string_not_equal(names[0], names[1]);
	}
	/* More owners requested than the zone has members. */
	assert_int_equal(find_owner_names(&fleet, 1, "athi", 16, names), 3);
	/* For a zone without instances, members of other zones are used. */
	assert_int_equal(find_owner_names(&fleet, 1, "siracusa", OWNERS, names),
			 2);
	assert_int_equal(find_owner_names(&fleet, 1, "athi", 0, names), 0);
	fleet.n = 0;
	assert_int_equal(find_owner_names(&fleet, 1, "athi", OWNERS, names), 0);
}

/* The same members give the same owners, in any order. */
static void test_member_order_is_irrelevant(void **state)
{
	struct fleet fleet;
	struct fleet reversed;
	const char *names[RR_MAX_OWNERS];
	const char *other_names[RR_MAX_OWNERS];

	(void)state;
	make_fleet(&fleet, 30, 1);
	reversed = fleet;
	for (size_t i = 0; i < fleet.n; i++)
		reversed.members[i] = fleet.members[fleet.n - 1 - i];
	/* One list has precomputed hashes; for the other they are computed. */
	for (size_t i = 0; i < fleet.n; i++) {
		struct rr_member_ref *member = &reversed.members[i];

		member->instance_hash = rr_hash_name(member->instance);
		member->zone_hash = rr_hash_name(member->zone);
	}
	for (int r = 0; r < REPLICAS; r++) {
		find_owner_names(&fleet, r, "ruaraka", OWNERS, names);
		find_owner_names(&reversed, r, "ruaraka", OWNERS, other_names);
		assert_string_equal(names[0], other_names[0]);
		assert_string_equal(names[1], other_names[1]);
	}
}

/*
 * Guards against moving nearly all replicas when the number of members changes,
 * as owners by modulo would: after the replacement of one instance, all others
 * would close and open connections at 6 ms each, which delays every search for
 * seconds. Only the share k/n of the removed instance may move.
 */
static void test_removal_moves_only_own_share(void **state)
{
	static const size_t sizes[] = { 6, 20, 60 };

	(void)state;
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		struct fleet before;
		struct fleet after;
		const char *names[RR_MAX_OWNERS];
		const char *other_names[RR_MAX_OWNERS];
		const char *removed;
		int n_owned = 0;
		int n_moved = 0;

		make_fleet(&before, sizes[s], 1);
		removed = before.members[sizes[s] / 2].instance;
		after = before;
		remove_member(&after, sizes[s] / 2);
		for (int r = 0; r < REPLICAS; r++) {
			find_owner_names(&before, r, "ruaraka", OWNERS, names);
			find_owner_names(&after, r, "ruaraka", OWNERS,
					 other_names);
			n_owned += !strcmp(names[0], removed) ||
				   !strcmp(names[1], removed);
			n_moved += strcmp(names[0], other_names[0]) ||
				   strcmp(names[1], other_names[1]);
		}
		print_message("%zu members: %d of %d replicas moved, "
			      "%.1f %% is k/n\n",
			      sizes[s], n_moved, REPLICAS,
			      100.0 * OWNERS / (double)sizes[s]);
		assert_int_equal(n_moved, n_owned);
		assert_true((double)n_moved <
			    1.3 * OWNERS * REPLICAS / (double)sizes[s]);
	}
}

static void test_shares_are_even(void **state)
{
	struct fleet fleet;
	const char *names[RR_MAX_OWNERS] = { NULL };
	GHashTable *shares = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer share;
	int mean = OWNERS * REPLICAS / 6;

	(void)state;
	make_fleet(&fleet, 6, 1);
	for (int r = 0; r < REPLICAS; r++) {
		find_owner_names(&fleet, r, "ruaraka", OWNERS, names);
		for (int i = 0; i < OWNERS; i++) {
			int n_owned = GPOINTER_TO_INT(
				g_hash_table_lookup(shares, names[i]));

			g_hash_table_insert(shares, (gpointer)names[i],
					    GINT_TO_POINTER(n_owned + 1));
		}
	}
	assert_int_equal(g_hash_table_size(shares), 6);
	g_hash_table_iter_init(&iter, shares);
	while (g_hash_table_iter_next(&iter, NULL, &share)) {
		assert_true(GPOINTER_TO_INT(share) > mean * 8 / 10);
		assert_true(GPOINTER_TO_INT(share) < mean * 12 / 10);
	}
	g_hash_table_unref(shares);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_owners_are_in_zone),
		cmocka_unit_test(test_member_order_is_irrelevant),
		cmocka_unit_test(test_removal_moves_only_own_share),
		cmocka_unit_test(test_shares_are_even),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
